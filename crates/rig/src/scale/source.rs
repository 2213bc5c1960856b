//! A stand-in for the list service with thousands of followers: one list, serialized once for all hollow couriers. It
//! runs on its own thread, so that its processor time can be read from the kernel's figures of that thread.

use std::collections::{BTreeMap, HashMap};
use std::convert::Infallible;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::{mpsc, Arc, Mutex};
use std::thread::{Builder, JoinHandle};
use std::time::Duration;

use fastrand::Rng;
use http_body_util::channel::{Channel, Sender};
use http_body_util::{BodyExt, Full};
use hyper::body::{Bytes, Incoming};
use hyper::service::service_fn;
use hyper::{Method, Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use super::tracker::VersionTracker;
use crate::list::{plain, take_notices, ListAnswer, ListEntry, Reply};
use crate::record::{lock, Observation, Record};

/// Interval of the empty lines (keep-alives) on a watch without changes.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(2);

/// An entry of the source's list.
#[derive(Clone, Debug, PartialEq)]
struct Entry {
    name: String,
    destination: usize,
    /// The number of the running endpoint behind the entry; other entries are only listed.
    live: Option<usize>,
    drains: bool,
    gone: bool,
    rate: f64,
    since_ms: u64,
    /// The version at which it last changed.
    changed: u64,
}

/// The fields of an entry that a courier with the current version must have stored.
#[derive(Clone, Debug, PartialEq)]
pub struct Expected {
    pub group: u64,
    pub status: &'static str,
    pub weight: f64,
    pub since_ms: u64,
}

impl Entry {
    fn status(&self) -> &'static str {
        match (self.gone, self.drains) {
            (true, _) => "DELETED",
            (false, true) => "DRAINING",
            (false, false) => "SERVING",
        }
    }
}

/// A follower of the list, identified by the address from which its link connects.
#[derive(Clone, Copy, Debug)]
pub struct Follower {
    pub process: usize,
    /// The number of a real courier, and that of a relay.
    pub real: Option<usize>,
    pub relay: Option<usize>,
}

/// The parameters of a source.
pub struct Setup {
    pub at: IpAddr,
    /// The number of destinations; `live` is the number of those with running endpoints, which come first, and the
    /// number of endpoints of each.
    pub destinations: usize,
    pub live: (usize, usize),
    pub rate: f64,
    /// Whether each change is sent as the whole list.
    pub untouched: bool,
    pub followers: HashMap<IpAddr, Follower>,
    pub tracker: Arc<Mutex<VersionTracker>>,
    pub record: Arc<Record>,
}

#[derive(Default)]
struct ListState {
    version: u64,
    entries: Vec<Entry>,
    /// Texts of the current version for hollow couriers, by the version that the follower already has.
    texts: HashMap<Option<u64>, Bytes>,
}

struct Inner {
    setup: Setup,
    list: Mutex<ListState>,
    version: watch::Sender<u64>,
    /// The addresses of the endpoints for each real courier.
    places: Mutex<Vec<Vec<SocketAddr>>>,
    /// The addresses of the endpoints in the list that relays pass on.
    shared: Mutex<Vec<SocketAddr>>,
    /// The address of entries without a running endpoint.
    nowhere: SocketAddr,
}

pub struct Source {
    pub at: SocketAddr,
    /// The kernel's id of its thread.
    pub thread: i32,
    inner: Arc<Inner>,
    end: watch::Sender<bool>,
    handle: Option<JoinHandle<()>>,
}

impl Source {
    /// Starts the source, and creates version 1 of the list.
    ///
    /// # Errors
    /// If its thread cannot be started, or no port can be bound.
    pub fn start(setup: Setup) -> io::Result<Source> {
        let (live, each) = setup.live;
        let entry = |name, destination, live| {
            let (drains, gone, rate) = (false, false, setup.rate);
            Entry { name, destination, live, drains, gone, rate, since_ms: 0, changed: 1 }
        };
        let standing = (0..live * each).map(|n| entry(format!("e{n}"), n % live, Some(n)));
        let listed = (live..setup.destinations).map(|n| entry(format!("d{n}"), n, None));
        let entries = standing.chain(listed).collect();
        let version = lock(&setup.tracker).create_version(setup.record.now());
        let list = Mutex::new(ListState { version, entries, texts: HashMap::new() });
        let (version, nowhere) = (watch::Sender::new(version), SocketAddr::from((setup.at, 9)));
        let (places, shared) = (Mutex::default(), Mutex::default());
        let inner = Arc::new(Inner { setup, list, version, places, shared, nowhere });
        let (end, mut end_in) = watch::channel(false);
        let (ready, ready_in) = mpsc::channel();
        let of_thread = inner.clone();
        let handle = Builder::new().name("scale-source".to_string()).spawn(move || {
            let run = || -> io::Result<()> {
                let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
                runtime.block_on(async {
                    let listener = TcpListener::bind((of_thread.setup.at, 0)).await?;
                    let thread = rustix::thread::gettid().as_raw_nonzero().get();
                    let _ = ready.send(Ok((listener.local_addr()?, thread)));
                    tokio::select! {
                        () = listen(of_thread, listener) => {}
                        _ = end_in.wait_for(|end| *end) => {}
                    }
                    Ok(())
                })
            };
            if let Err(e) = run() {
                let _ = ready.send(Err(e));
            }
        })?;
        let (at, thread) = ready_in.recv().map_err(io::Error::other)??;
        Ok(Source { at, thread, inner, end, handle: Some(handle) })
    }

    /// Adds the addresses of the endpoints for the next real courier.
    pub fn add_endpoint_addresses(&self, places: Vec<SocketAddr>) {
        lock(&self.inner.places).push(places);
    }

    /// Sets the addresses of the endpoints for all followers that share one list.
    pub fn set_shared_addresses(&self, places: Vec<SocketAddr>) {
        *lock(&self.inner.shared) = places;
    }

    /// Changes a random entry without a running endpoint: its rate, whether it drains, or whether it is listed. Returns
    /// the new version, or `None` if there is no such entry.
    pub fn change(&self, chance: &mut Rng) -> Option<u64> {
        let live = self.inner.setup.live.0 * self.inner.setup.live.1;
        let mut list = lock(&self.inner.list);
        let many = list.entries.len().checked_sub(live).filter(|&many| many > 0)?;
        let version = lock(&self.inner.setup.tracker).create_version(self.inner.setup.record.now());
        let entry = &mut list.entries[live + chance.usize(..many)];
        match chance.u8(..4) {
            0 => entry.drains = !entry.drains,
            1 => {
                entry.gone = !entry.gone;
                entry.since_ms = version;
            }
            _ => entry.rate = f64::from(1 + chance.u32(..10_000)) / 8.0,
        }
        entry.changed = version;
        list.version = version;
        list.texts.clear();
        drop(list);
        self.inner.version.send_replace(version);
        Some(version)
    }

    /// The current version and its listed entries.
    pub fn expected(&self) -> (u64, BTreeMap<String, Expected>) {
        let list = lock(&self.inner.list);
        let expected = |entry: &Entry| Expected {
            group: entry.destination as u64,
            status: entry.status(),
            weight: entry.rate,
            since_ms: entry.since_ms,
        };
        let listed = list.entries.iter().filter(|entry| !entry.gone);
        (list.version, listed.map(|entry| (entry.name.clone(), expected(entry))).collect())
    }
}

impl Drop for Source {
    fn drop(&mut self) {
        self.end.send_replace(true);
        if let Some(handle) = self.handle.take() {
            let _ = handle.join();
        }
    }
}

async fn listen(inner: Arc<Inner>, listener: TcpListener) {
    let mut open = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, from)) => {
                    if let Some(&follower) = inner.setup.followers.get(&from.ip()) {
                        open.spawn(serve(inner.clone(), stream, follower));
                    }
                }
                Err(_) => sleep(Duration::from_millis(10)).await,
            },
            Some(_) = open.join_next() => {}
        }
    }
}

async fn serve(inner: Arc<Inner>, stream: TcpStream, follower: Follower) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request| {
        let inner = inner.clone();
        async move { Ok::<_, Infallible>(inner.answer(follower, request).await) }
    });
    let _ = hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
}

impl Inner {
    async fn answer(self: Arc<Self>, follower: Follower, request: Request<Incoming>) -> Reply {
        if request.method() == Method::POST && request.uri().path() == "/v1/notices" {
            return match request.into_body().collect().await {
                Ok(body) => take_notices(&self.setup.record, &body.to_bytes()),
                Err(_) => plain(400, Vec::new()),
            };
        }
        if request.uri().path() != "/catalog/members" {
            return plain(404, Vec::new());
        }
        let after = request.uri().query().filter(|query| query.contains("watch=1")).map(|query| {
            let after = query.split('&').find_map(|pair| pair.strip_prefix("after="));
            after.and_then(|after| after.parse().ok()).unwrap_or(0)
        });
        let Some(after) = after else {
            let (version, text) = self.current_text(follower, None);
            self.record_sent(follower, version);
            return Response::new(Full::new(text).boxed());
        };
        let (lines, body) = Channel::new(4);
        tokio::spawn(self.watch(follower, after, lines));
        Response::new(body.boxed())
    }

    fn record_sent(&self, follower: Follower, version: u64) {
        let mut tracker = lock(&self.setup.tracker);
        match follower.relay {
            Some(relay) => tracker.record_sent_to_relay(relay, version),
            None => tracker.record_sent(follower.process, version),
        }
    }

    /// The current version and its text: the changes since `after`, or the whole list if `after` is `None`.
    fn current_text(&self, follower: Follower, after: Option<u64>) -> (u64, Bytes) {
        let mut list = lock(&self.list);
        let version = list.version;
        if let Some(real) = follower.real {
            if after.is_none() {
                for endpoint in 0..self.setup.live.0 * self.setup.live.1 {
                    self.setup.record.add(Observation::ListSent { courier: real, endpoint, drains: false });
                }
            }
            let places = lock(&self.places).get(real).cloned().unwrap_or_default();
            return (version, self.text(&list, &places, after));
        }
        if let Some(text) = list.texts.get(&after) {
            return (version, text.clone());
        }
        let text = self.text(&list, &lock(&self.shared), after);
        list.texts.insert(after, text.clone());
        (version, text)
    }

    fn text(&self, list: &ListState, places: &[SocketAddr], after: Option<u64>) -> Bytes {
        let news = list.entries.iter().filter(|entry| match after {
            Some(after) => entry.changed > after,
            None => !entry.gone,
        });
        let nowhere = self.nowhere.to_string();
        let told = news.map(|entry| {
            let place = entry.live.and_then(|endpoint| places.get(endpoint));
            ListEntry {
                name: &entry.name,
                address: place.map_or_else(|| nowhere.clone(), SocketAddr::to_string),
                zone: "a",
                kind: "hook",
                group: entry.destination,
                status: entry.status(),
                weight: entry.rate,
                since_ms: entry.since_ms,
            }
        });
        let answer = ListAnswer { index: list.version, snapshot: after.is_none(), endpoints: told.collect() };
        let mut text = serde_json::to_vec(&answer).unwrap_or_default();
        text.push(b'\n');
        text.into()
    }

    async fn watch(self: Arc<Self>, follower: Follower, mut after: u64, mut lines: Sender<Bytes>) {
        let mut version = self.version.subscribe();
        loop {
            let now = *version.borrow_and_update();
            if now != after {
                // A follower with no list, or with a version that this source has not reached, gets the whole list.
                let known = Some(after).filter(|&after| after > 0 && after < now && !self.setup.untouched);
                let (told, text) = self.current_text(follower, known);
                self.record_sent(follower, told);
                if lines.send_data(text).await.is_err() {
                    return;
                }
                after = told;
            }
            tokio::select! {
                changed = version.changed() => if changed.is_err() { return },
                () = sleep(KEEP_ALIVE_INTERVAL) => {
                    // A timeout ends a watch whose peer has gone away; it would otherwise be kept forever.
                    let sent = timeout(KEEP_ALIVE_INTERVAL * 5, lines.send_data(Bytes::from_static(b"\n"))).await;
                    if !matches!(sent, Ok(Ok(()))) {
                        return;
                    }
                }
            }
        }
    }
}
