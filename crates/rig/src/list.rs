//! Mock list service: one current list and agents that serve it, each with its own injected faults. The agents also
//! take notices, and answer them even while their list requests fail.

use std::collections::HashMap;
use std::convert::Infallible;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use http_body_util::channel::{Channel, Sender};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::{Bytes, Incoming};
use hyper::service::service_fn;
use hyper::{Method, Request, Response};
use hyper_util::rt::TokioIo;
use serde::{Deserialize, Serialize};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use crate::record::{lock, HandIn, Observation, Record};

/// Interval of the empty lines on a watch without changes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);

/// How an agent answers requests for the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    #[default]
    Normal,
    /// Answers 503 to all requests and ends open watches.
    Refuses,
    /// Accepts connections without answering; open watches stay open and send nothing.
    Silent,
}

/// An entry as the agents hold it. Addresses differ by courier and are filled in when the entry is sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    pub name: String,
    pub endpoint: usize,
    pub destination: usize,
    pub drains: bool,
    /// Deleted: sent only as a change, and not in a snapshot.
    pub gone: bool,
    /// Calls per second.
    pub rate: f64,
    pub since_ms: u64,
    /// The version at which it last changed.
    pub changed: u64,
}

#[derive(Clone, Debug, Default, PartialEq)]
struct Version {
    index: u64,
    entries: Vec<Entry>,
}

#[derive(Serialize)]
pub(crate) struct ListEntry<'a> {
    pub name: &'a str,
    pub address: String,
    pub zone: &'static str,
    #[serde(rename = "type")]
    pub kind: &'static str,
    pub group: usize,
    pub status: &'static str,
    pub weight: f64,
    pub since_ms: u64,
}

#[derive(Serialize)]
pub(crate) struct ListAnswer<'a> {
    pub index: u64,
    pub snapshot: bool,
    pub endpoints: Vec<ListEntry<'a>>,
}

/// The endpoint addresses for each courier, by courier and endpoint, and the courier whose relay connects from an
/// address.
pub struct Addresses {
    pub endpoints: Mutex<Vec<Vec<SocketAddr>>>,
    pub couriers: Arc<HashMap<IpAddr, usize>>,
}

impl Version {
    /// The changes since version `after` for a courier, or a snapshot for `None`.
    fn list_for(&self, addresses: &Addresses, courier: usize, after: Option<u64>) -> ListAnswer<'_> {
        let places = lock(&addresses.endpoints);
        let listed = self.entries.iter().filter(|entry| match after {
            Some(after) => entry.changed > after,
            None => !entry.gone,
        });
        let told = |entry: &'_ Entry| places[courier][entry.endpoint].to_string();
        let endpoints = listed.map(|entry| ListEntry {
            name: &entry.name,
            address: told(entry),
            zone: "a",
            kind: "hook",
            group: entry.destination,
            status: match (entry.gone, entry.drains) {
                (true, _) => "DELETED",
                (false, true) => "DRAINING",
                (false, false) => "SERVING",
            },
            weight: entry.rate,
            since_ms: entry.since_ms,
        });
        ListAnswer { index: self.index, snapshot: after.is_none(), endpoints: endpoints.collect() }
    }
}

struct Agent {
    index: usize,
    held: watch::Sender<Version>,
    mode: watch::Sender<Mode>,
    state: Mutex<AgentState>,
    most_asks: usize,
    addresses: Arc<Addresses>,
    record: Arc<Record>,
}

#[derive(Default)]
struct AgentState {
    stale: bool,
    indented: bool,
    /// Times of the requests accepted within the last second, in microseconds.
    asks: std::collections::VecDeque<u64>,
}

pub struct List {
    current: Mutex<Version>,
    agents: Vec<Arc<Agent>>,
    pub at: Vec<SocketAddr>,
    _tasks: JoinSet<()>,
}

impl List {
    /// Starts an agent on a free port of each address.
    ///
    /// # Errors
    /// If no port can be bound.
    pub async fn start(
        at: &[IpAddr],
        entries: Vec<Entry>,
        most_asks: usize,
        addresses: Arc<Addresses>,
        record: Arc<Record>,
    ) -> io::Result<List> {
        let current = Version { index: 1, entries };
        let (mut agents, mut places, mut tasks) = (Vec::new(), Vec::new(), JoinSet::new());
        for (index, &at) in at.iter().enumerate() {
            let listener = TcpListener::bind((at, 0)).await?;
            places.push(listener.local_addr()?);
            let (held, mode) = (watch::Sender::new(current.clone()), watch::Sender::new(Mode::Normal));
            let (state, addresses, record) = (Mutex::default(), addresses.clone(), record.clone());
            let agent = Arc::new(Agent { index, held, mode, state, most_asks, addresses, record });
            tasks.spawn(listen(agent.clone(), listener));
            agents.push(agent);
        }
        Ok(List { current: Mutex::new(current), agents, at: places, _tasks: tasks })
    }

    /// Changes an endpoint's entry and publishes the list to every agent that is not stale.
    pub fn change(&self, endpoint: usize, change: impl FnOnce(&mut Entry)) {
        let mut current = lock(&self.current);
        current.index += 1;
        let index = current.index;
        // After replacements several entries have this number; the last one is current.
        if let Some(entry) = current.entries.iter_mut().rfind(|entry| entry.endpoint == endpoint) {
            change(entry);
            entry.changed = index;
        }
        self.publish(&current);
    }

    /// Lists a replacement for a deleted endpoint under a name that has not been used.
    pub fn replace(&self, endpoint: usize, since_ms: u64) {
        let mut current = lock(&self.current);
        current.index += 1;
        let index = current.index;
        let before = current.entries.iter().filter(|entry| entry.endpoint == endpoint).count();
        if let Some(last) = current.entries.iter().rfind(|entry| entry.endpoint == endpoint).cloned() {
            let name = format!("e{endpoint}-{before}");
            let new = Entry { name, drains: false, gone: false, since_ms, changed: index, ..last };
            current.entries.push(new);
        }
        self.publish(&current);
    }

    fn publish(&self, current: &Version) {
        for agent in &self.agents {
            if !lock(&agent.state).stale {
                agent.held.send_replace(current.clone());
            }
        }
    }

    pub fn set_mode(&self, agent: usize, mode: Mode) {
        self.agents[agent].mode.send_replace(mode);
    }

    /// A stale agent keeps its version of the list; it gets the current one when `stale` is cleared.
    pub fn set_stale(&self, agent: usize, stale: bool) {
        let current = lock(&self.current);
        lock(&self.agents[agent].state).stale = stale;
        if !stale {
            self.agents[agent].held.send_replace(current.clone());
        }
    }

    /// Writes lists and watch updates as indented JSON over several lines.
    pub fn set_indented(&self, agent: usize, indented: bool) {
        lock(&self.agents[agent].state).indented = indented;
    }

    /// The list for the `known` key of a courier's configuration.
    pub fn known(&self, addresses: &Addresses, courier: usize) -> serde_json::Value {
        serde_json::to_value(lock(&self.current).list_for(addresses, courier, None)).unwrap_or_default()
    }
}

async fn listen(agent: Arc<Agent>, listener: TcpListener) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, from)) => {
                    if let Some(&courier) = agent.addresses.couriers.get(&from.ip()) {
                        connections.spawn(serve(agent.clone(), stream, courier));
                    }
                }
                Err(_) => sleep(Duration::from_millis(10)).await,
            },
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn serve(agent: Arc<Agent>, stream: TcpStream, courier: usize) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request| {
        let agent = agent.clone();
        async move { Ok::<_, Infallible>(agent.answer(courier, request).await) }
    });
    let _ = hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
}

pub(crate) type Reply = Response<BoxBody<Bytes, Infallible>>;

pub(crate) fn plain(status: u16, body: Vec<u8>) -> Reply {
    let mut answer = Response::new(Full::new(body.into()).boxed());
    *answer.status_mut() = hyper::StatusCode::from_u16(status).unwrap_or_default();
    answer
}

#[derive(Deserialize)]
struct Notice {
    #[serde(rename = "ref")]
    id: String,
    result: String,
}

impl Agent {
    async fn answer(self: Arc<Self>, courier: usize, request: Request<Incoming>) -> Reply {
        if request.method() == Method::POST && request.uri().path() == "/v1/notices" {
            return match request.into_body().collect().await {
                Ok(body) => take_notices(&self.record, &body.to_bytes()),
                Err(_) => plain(400, Vec::new()),
            };
        }
        if request.uri().path() != "/catalog/members" {
            return plain(404, Vec::new());
        }
        let mut mode = self.mode.subscribe();
        let refused = *mode.borrow() != Mode::Normal || self.is_over_limit();
        self.record.add(Observation::ListRequest { agent: self.index, refused });
        if *mode.borrow_and_update() == Mode::Silent {
            // Requests that are still waiting when the mode changes are answered 503.
            let _ = mode.wait_for(|mode| *mode != Mode::Silent).await;
            return plain(503, Vec::new());
        }
        if refused {
            return plain(503, Vec::new());
        }
        let after = request.uri().query().filter(|query| query.contains("watch=1")).map(|query| {
            let after = query.split('&').find_map(|pair| pair.strip_prefix("after="));
            after.and_then(|after| after.parse().ok()).unwrap_or(0)
        });
        let Some(after) = after else {
            let held = self.held.borrow().clone();
            let told = held.list_for(&self.addresses, courier, None);
            let text = self.text(&told);
            self.record_sent(courier, &told, &held);
            return plain(200, text);
        };
        let (lines, body) = Channel::new(4);
        tokio::spawn(self.watch(courier, after, lines, mode));
        Response::new(body.boxed())
    }

    fn text(&self, told: &ListAnswer) -> Vec<u8> {
        let indented = lock(&self.state).indented;
        let text = if indented { serde_json::to_vec_pretty(told) } else { serde_json::to_vec(told) };
        text.unwrap_or_default()
    }

    /// Whether a request exceeds the limit. Accepted requests are counted, refused ones are not.
    fn is_over_limit(&self) -> bool {
        let now = self.record.now();
        let mut state = lock(&self.state);
        while state.asks.front().is_some_and(|&at| at + 1_000_000 < now) {
            state.asks.pop_front();
        }
        if self.most_asks > 0 && state.asks.len() >= self.most_asks {
            return true;
        }
        state.asks.push_back(now);
        false
    }

    /// Records each endpoint's status that a courier has been sent.
    fn record_sent(&self, courier: usize, told: &ListAnswer, held: &Version) {
        for entry in &held.entries {
            if told.endpoints.iter().any(|told| told.name == entry.name) {
                let (endpoint, drains) = (entry.endpoint, entry.drains || entry.gone);
                self.record.add(Observation::ListSent { courier, endpoint, drains });
            }
        }
    }

    async fn watch(
        self: Arc<Self>,
        courier: usize,
        mut after: u64,
        mut lines: Sender<Bytes>,
        mut mode: watch::Receiver<Mode>,
    ) {
        let mut held = self.held.subscribe();
        loop {
            let now = held.borrow_and_update().clone();
            if *mode.borrow_and_update() == Mode::Refuses {
                return;
            }
            if *mode.borrow() == Mode::Silent {
                let _ = mode.wait_for(|mode| *mode != Mode::Silent).await;
                return;
            }
            if now.index != after {
                // A courier without a version, or with a newer one than this agent's, gets a snapshot.
                let known = Some(after).filter(|&after| after > 0 && after < now.index);
                let told = now.list_for(&self.addresses, courier, known);
                let mut line = self.text(&told);
                line.push(b'\n');
                if lines.send_data(line.into()).await.is_err() {
                    return;
                }
                self.record_sent(courier, &told, &now);
                after = now.index;
            }
            tokio::select! {
                changed = held.changed() => if changed.is_err() { return },
                changed = mode.changed() => if changed.is_err() { return },
                () = sleep(KEEPALIVE_INTERVAL) => {
                    // The time-out ends watches whose client is gone; they would otherwise stay open forever.
                    let sent = timeout(KEEPALIVE_INTERVAL * 5, lines.send_data(Bytes::from_static(b"\n"))).await;
                    if !matches!(sent, Ok(Ok(()))) {
                        return;
                    }
                }
            }
        }
    }
}

/// Records notices of mails that couriers gave up, one per line.
pub(crate) fn take_notices(record: &Record, body: &[u8]) -> Reply {
    let lines = body.split(|&b| b == b'\n').filter(|line| !line.trim_ascii().is_empty());
    let notices: Result<Vec<Notice>, _> = lines.map(serde_json::from_slice).collect();
    let Ok(notices) = notices else { return plain(400, Vec::new()) };
    for notice in notices {
        let Some(hand) = HandIn::read(&notice.id) else { return plain(400, Vec::new()) };
        record.add(Observation::Notice { hand, dead: notice.result == "dead" });
    }
    plain(204, Vec::new())
}

#[cfg(test)]
mod tests;
