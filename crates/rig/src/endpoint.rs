//! Mock endpoints: accept calls over HTTP, relay or refuse them, go down and come back cold.

use std::collections::HashMap;
use std::convert::Infallible;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use fastrand::Rng;
use http_body_util::{BodyExt, Full};
use hyper::body::{Bytes, Incoming};
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use serde::{Deserialize, Serialize};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::day;
use crate::record::{lock, CallResult, HandIn, Observation, Record};
use crate::relay;

/// Interval at which a hanging call checks whether it may be answered.
const HANG_POLL: Duration = Duration::from_millis(5);

/// How an endpoint that accepts connections answers calls.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Mode {
    #[default]
    Normal,
    /// Answers 503.
    Busy,
    /// Answers 500 to this share of the calls.
    Errors(f64),
    /// Answers 429 with this wait in milliseconds.
    Limit(u64),
    /// Accepts calls, but answers them only after the mode has changed.
    Hangs,
}

struct State {
    mode: Mode,
    chance: Rng,
    in_flight: usize,
    /// The current second, and the calls accepted in it.
    second: (u64, u32),
}

/// Counter that numbers the calls and connections of all endpoints of a run.
#[derive(Default)]
pub struct IdCounter(AtomicU64);

impl IdCounter {
    fn next(&self) -> u64 {
        self.0.fetch_add(1, Ordering::Relaxed)
    }
}

pub struct Endpoint {
    pub address: SocketAddr,
    inner: Arc<Inner>,
    up: watch::Sender<bool>,
    _task: JoinSet<()>,
}

struct Inner {
    index: usize,
    settings: day::Endpoints,
    record: Arc<Record>,
    numbers: Arc<IdCounter>,
    /// The courier whose relay connects from an address.
    couriers: Arc<HashMap<IpAddr, usize>>,
    state: Mutex<State>,
}

#[derive(Deserialize)]
struct Item {
    id: String,
}

#[derive(Serialize)]
struct ItemState<'a> {
    id: &'a str,
    state: &'static str,
}

impl Endpoint {
    /// Listens on a free port of `at`.
    ///
    /// # Errors
    /// If no port can be bound.
    pub async fn start(
        index: usize,
        at: IpAddr,
        settings: &day::Endpoints,
        record: Arc<Record>,
        numbers: Arc<IdCounter>,
        couriers: Arc<HashMap<IpAddr, usize>>,
        seed: u64,
    ) -> io::Result<Endpoint> {
        let listener = TcpListener::bind((at, 0)).await?;
        let address = listener.local_addr()?;
        let (up, up_in) = watch::channel(true);
        let state = State { mode: Mode::Normal, chance: Rng::with_seed(seed), in_flight: 0, second: (0, 0) };
        let (settings, state) = (settings.clone(), Mutex::new(state));
        let inner = Arc::new(Inner { index, settings, record, numbers, couriers, state });
        let mut task = JoinSet::new();
        task.spawn(listen(inner.clone(), address, listener, up_in));
        Ok(Endpoint { address, inner, up, _task: task })
    }

    pub fn set_mode(&self, mode: Mode) {
        lock(&self.inner.state).mode = mode;
    }

    /// Takes the endpoint down or up. While it is down, connections are refused and open ones are reset.
    pub fn set_up(&self, up: bool) {
        if self.up.send_replace(up) != up {
            self.inner.record.add(Observation::Outage { endpoint: self.inner.index, back: up });
        }
    }
}

async fn listen(
    inner: Arc<Inner>,
    address: SocketAddr,
    listener: TcpListener,
    mut up: watch::Receiver<bool>,
) {
    let (mut listener, mut connections) = (Some(listener), JoinSet::new());
    loop {
        let is_up = *up.borrow_and_update();
        if !is_up {
            listener = None;
            connections.shutdown().await;
        } else if listener.is_none() {
            listener = TcpListener::bind(address).await.ok();
        }
        let accepted = async {
            match &listener {
                Some(listener) => listener.accept().await,
                None if !is_up => std::future::pending().await,
                None => Err(io::ErrorKind::AddrInUse.into()),
            }
        };
        tokio::select! {
            changed = up.changed() => if changed.is_err() { return },
            accepted = accepted => match accepted {
                Ok((stream, from)) => {
                    inner.record.add(Observation::Connected { endpoint: inner.index });
                    connections.spawn(serve(inner.clone(), stream, from.ip()));
                }
                Err(_) => sleep(Duration::from_millis(10)).await,
            },
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn serve(inner: Arc<Inner>, stream: TcpStream, from: IpAddr) {
    // When the endpoint goes down, dropping the stream must reset the connection.
    relay::reset(&stream);
    let _ = stream.set_nodelay(true);
    let Some(&courier) = inner.couriers.get(&from) else { return };
    let link = inner.numbers.next();
    let _end = RecordedEnd { record: inner.record.clone(), link };
    let service = service_fn(|request| {
        let inner = inner.clone();
        async move { Ok::<_, Infallible>(inner.answer(courier, link, request).await) }
    });
    // Ignore connection errors: the courier sees them at its end.
    let _ = hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
}

/// Records the end of a connection, also when the endpoint goes down.
struct RecordedEnd {
    record: Arc<Record>,
    link: u64,
}

impl Drop for RecordedEnd {
    fn drop(&mut self) {
        self.record.add(Observation::Disconnected { link: self.link });
    }
}

/// Occupies a slot until its call is answered or its connection ends.
struct Slot(Arc<Inner>);

impl Drop for Slot {
    fn drop(&mut self) {
        lock(&self.0.state).in_flight -= 1;
    }
}

impl Inner {
    /// Decides the result of a complete call and how long it runs.
    fn decide(&self) -> (CallResult, Duration) {
        let mut state = lock(&self.state);
        let (state, e) = (&mut *state, &self.settings);
        let now = self.record.now();
        let second = now / 1_000_000;
        if state.second.0 != second {
            state.second = (second, 0);
        }
        let [from, to] = e.serve_ms;
        let takes = Duration::from_millis(state.chance.u64(from..=to));
        let errors = match state.mode {
            Mode::Busy => return (CallResult::Busy, Duration::ZERO),
            Mode::Limit(wait) => return (CallResult::Throttled(wait), Duration::ZERO),
            Mode::Errors(part) => part,
            Mode::Normal | Mode::Hangs => e.errors,
        };
        if e.limit && f64::from(state.second.1) >= e.rate {
            let left = 1 + (1_000_000 - now % 1_000_000) / 1000;
            return (CallResult::Throttled(left), Duration::ZERO);
        }
        if state.in_flight >= e.slots {
            return (CallResult::Busy, Duration::ZERO);
        }
        state.second.1 += 1;
        (if state.chance.f64() < errors { CallResult::Failed } else { CallResult::Relayed }, takes)
    }

    /// Records a call of mails that are over.
    fn answer_over(&self, courier: usize, link: u64, hands: &[HandIn]) {
        let (call, endpoint, hands) = (self.numbers.next(), self.index, hands.to_vec());
        self.record.add(Observation::Called {
            call,
            link,
            courier,
            endpoint,
            hands,
            result: CallResult::Over,
        });
        self.record.add(Observation::Replied { call });
    }

    async fn answer(
        self: Arc<Self>,
        courier: usize,
        link: u64,
        request: Request<Incoming>,
    ) -> Response<Full<Bytes>> {
        let batch = request.uri().path() == "/hook/batch";
        let single = request.uri().path() == "/hook";
        let id = request.headers().get("X-Request-Id").and_then(|id| id.to_str().ok()).map(str::to_string);
        let Ok(body) = request.into_body().collect().await else { return plain(400) };
        let ids: Vec<String> = match (batch, id) {
            (false, Some(id)) if single => vec![id],
            (true, _) => {
                let items: Vec<Item> = serde_json::from_slice(&body.to_bytes()).unwrap_or_default();
                items.into_iter().map(|item| item.id).collect()
            }
            _ => Vec::new(),
        };
        let hands: Option<Vec<HandIn>> = ids.iter().map(|id| HandIn::read(id)).collect();
        let Some(hands) = hands.filter(|hands| !hands.is_empty() && hands.len() <= self.settings.batch)
        else {
            self.record.add(Observation::MalformedCall { endpoint: self.index });
            return plain(400);
        };
        let (over, hands): (Vec<HandIn>, Vec<HandIn>) =
            hands.into_iter().partition(|hand| self.record.is_over(*hand));
        if !over.is_empty() {
            self.answer_over(courier, link, &over);
        }
        if hands.is_empty() && single {
            return plain(410);
        }
        let call = self.numbers.next();
        let (result, takes) =
            if hands.is_empty() { (CallResult::Over, Duration::ZERO) } else { self.decide() };
        if !hands.is_empty() {
            self.record.add(Observation::Called { call, link, courier, endpoint: self.index, hands, result });
        }
        if result.took_effect() {
            lock(&self.state).in_flight += 1;
            let _slot = Slot(self.clone());
            sleep(takes).await;
            while lock(&self.state).mode == Mode::Hangs {
                sleep(HANG_POLL).await;
            }
        }
        self.record.add(Observation::Replied { call });
        match result {
            CallResult::Failed => plain(500),
            CallResult::Busy => plain(503),
            CallResult::Over if !batch => plain(410),
            CallResult::Throttled(wait) => {
                let mut full = plain(429);
                let seconds = format!("{:.3}", wait as f64 / 1000.0);
                if let Ok(seconds) = seconds.parse() {
                    full.headers_mut().insert("Retry-After", seconds);
                }
                full
            }
            CallResult::Relayed | CallResult::Over if batch => {
                let is_over = |id: &str| over.iter().any(|hand| hand.id() == id);
                let state = |id: &str| if is_over(id) { "gone" } else { "ok" };
                let states: Vec<ItemState> =
                    ids.iter().map(|id| ItemState { id, state: state(id) }).collect();
                Response::new(Full::new(serde_json::to_vec(&states).unwrap_or_default().into()))
            }
            CallResult::Relayed | CallResult::Over => plain(200),
        }
    }
}

fn plain(status: u16) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::default());
    *answer.status_mut() = hyper::StatusCode::from_u16(status).unwrap_or_default();
    answer
}
