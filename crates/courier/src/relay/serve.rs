//! Answers a relay's followers: the whole list, watches on it, what it holds, and who follows. A watch holds
//! a place in the changes and one piece that is on its way; whoever does not take that for `STALL_TIMEOUT` is closed.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashSet, VecDeque};
use std::convert::Infallible;
use std::net::IpAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::channel::{Channel, Sender};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::header::AGE;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use meadowhold_catalog::versions::Version;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{sleep, timeout};

use super::hub::{Hub, Next};
use super::stall_timeout::{StallTimeout, STALL_TIMEOUT};
use super::status;
use crate::relays::HELD_PATH;

pub type SharedHub = Rc<RefCell<Hub>>;

/// An empty line comes so often where nothing changes: the agent's turn.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// For a request's head, and between two on one connection.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Of a request's head, and what is written at once, in bytes.
const BUFFER_BYTES: usize = 16 * 1024;
/// Kept by the system for a connection, in bytes each way.
const SOCKET_BUFFER_BYTES: usize = 128 * 1024;
/// Connections that have asked nothing yet; one more closes the oldest of them.
const MAX_AWAITING_REQUEST: usize = 256;

type Reply = Response<BoxBody<Bytes, Infallible>>;

/// A body of pieces that others share.
struct SharedChunks {
    remaining: VecDeque<Bytes>,
    length: u64,
}

impl SharedChunks {
    fn new(chunks: Vec<Bytes>) -> SharedChunks {
        let length = chunks.iter().map(|chunk| chunk.len() as u64).sum();
        SharedChunks { remaining: chunks.into(), length }
    }
}

impl Body for SharedChunks {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let chunk = self.remaining.pop_front();
        self.length -= chunk.as_ref().map_or(0, |chunk| chunk.len() as u64);
        Poll::Ready(chunk.map(|chunk| Ok(Frame::data(chunk))))
    }

    fn is_end_stream(&self) -> bool {
        self.remaining.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.length)
    }
}

/// Connections that have asked nothing, oldest first.
#[derive(Default)]
struct AwaitingRequest(BTreeMap<u64, AbortHandle>);

/// Serves who connects, for good.
pub async fn listen(hub: SharedHub, listener: TcpListener, followers: usize) {
    // A follower has one connection for its watch and one for what it says, and asks for the whole over a
    // third.
    let max_connections = followers.saturating_mul(3).saturating_add(MAX_AWAITING_REQUEST);
    let awaiting: Rc<RefCell<AwaitingRequest>> = Rc::default();
    let mut open = JoinSet::new();
    let mut next = 0_u64;
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, from)) => {
                    // Guards against thousands that connect and ask nothing.
                    let full = awaiting.borrow().0.len() >= MAX_AWAITING_REQUEST || open.len() >= max_connections;
                    if full {
                        if let Some((_, oldest)) = awaiting.borrow_mut().0.pop_first() {
                            oldest.abort();
                        }
                    }
                    if open.len() >= max_connections + MAX_AWAITING_REQUEST {
                        continue;
                    }
                    next += 1;
                    let task = connection(hub.clone(), awaiting.clone(), next, stream, from.ip());
                    let task = open.spawn_local(task);
                    awaiting.borrow_mut().0.insert(next, task);
                }
                Err(_) => sleep(Duration::from_millis(10)).await,
            },
            Some(_) = open.join_next() => {}
        }
        hub.borrow_mut().connections = open.len();
    }
}

async fn connection(
    hub: SharedHub,
    awaiting: Rc<RefCell<AwaitingRequest>>,
    id: u64,
    stream: TcpStream,
    from: IpAddr,
) {
    struct RemoveOnDrop(Rc<RefCell<AwaitingRequest>>, u64);

    impl Drop for RemoveOnDrop {
        fn drop(&mut self) {
            self.0.borrow_mut().0.remove(&self.1);
        }
    }

    let _ = stream.set_nodelay(true);
    let socket = socket2::SockRef::from(&stream);
    let _ = socket.set_send_buffer_size(SOCKET_BUFFER_BYTES);
    let guard = RemoveOnDrop(awaiting, id);
    // Its watches end with it.
    let watches: Rc<RefCell<JoinSet<()>>> = Rc::default();
    let service = service_fn(|request| {
        guard.0.borrow_mut().0.remove(&id);
        let reply = handle_request(&hub, &watches, from, &request);
        async move { Ok::<_, Infallible>(reply) }
    });
    let mut server = http1::Builder::new();
    server.timer(TokioTimer::new()).header_read_timeout(HEAD_TIMEOUT).max_buf_size(BUFFER_BYTES);
    let _ = server.serve_connection(TokioIo::new(StallTimeout::new(stream)), service).await;
}

fn respond(status: StatusCode, body: impl Into<Bytes>) -> Reply {
    let mut reply = Response::new(Full::new(body.into()).boxed());
    *reply.status_mut() = status;
    reply
}

/// A word of the query, as it stands.
fn query_param<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
}

/// The content hash of a query, as it is written there: in hexadecimal digits.
fn content_hash(query: &str) -> Option<u64> {
    u64::from_str_radix(query_param(query, "hash")?, 16).ok()
}

fn numeric_param(query: &str, name: &str) -> Option<u64> {
    query_param(query, name)?.parse().ok()
}

/// Text of a query as it was before it was quoted; `None`: it was not, or is no text.
fn percent_decode(word: &str) -> Option<String> {
    let (mut bytes, mut rest) = (Vec::new(), word.as_bytes());
    while let Some((&first, after)) = rest.split_first() {
        rest = after;
        if first != b'%' {
            bytes.push(first);
            continue;
        }
        let (digits, after) = rest.split_at_checked(2)?;
        bytes.push(u8::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok()?);
        rest = after;
    }
    String::from_utf8(bytes).ok()
}

/// Partition numbers and ranges with a comma between: `3,5-9`. Errors: what is wrong, in words.
fn parse_partitions(text: &str, count: u32) -> Result<HashSet<u32>, String> {
    let mut asked = HashSet::new();
    for piece in text.split(',') {
        let one = |text: &str| text.parse::<u32>().ok().filter(|&p| p < count);
        let range = match piece.split_once('-') {
            Some((first, last)) => one(first).zip(one(last)).filter(|(first, last)| first <= last),
            None => one(piece).map(|p| (p, p)),
        };
        // At most `count`: what comes twice is there once.
        let (first, last) =
            range.ok_or_else(|| format!("partition: what is {piece}? 0 to {}\n", count - 1))?;
        asked.extend(first..=last);
    }
    Ok(asked)
}

fn handle_request(
    hub: &SharedHub,
    watches: &Rc<RefCell<JoinSet<()>>>,
    from: IpAddr,
    request: &Request<Incoming>,
) -> Reply {
    let query = request.uri().query().unwrap_or_default();
    if request.method() != Method::GET {
        return respond(StatusCode::METHOD_NOT_ALLOWED, "");
    }
    match request.uri().path() {
        "/catalog/members" => serve_list(hub, watches, from, query),
        HELD_PATH => {
            let mut hub = hub.borrow_mut();
            let name = query_param(query, "name").and_then(percent_decode).unwrap_or_default();
            let version = Version {
                epoch: numeric_param(query, "epoch").unwrap_or(0),
                index: numeric_param(query, "index").unwrap_or(0),
            };
            hub.record_report(&name, version, from);
            match hub.held() {
                Some(held) => respond(StatusCode::OK, serde_json::to_vec(&held).unwrap_or_default()),
                None => respond(StatusCode::SERVICE_UNAVAILABLE, "no list is held yet\n"),
            }
        }
        status::PATH => {
            let status = status::Status::of(&hub.borrow());
            respond(StatusCode::OK, serde_json::to_vec(&status).unwrap_or_default())
        }
        _ => respond(StatusCode::NOT_FOUND, ""),
    }
}

fn serve_list(hub: &SharedHub, watches: &Rc<RefCell<JoinSet<()>>>, from: IpAddr, query: &str) -> Reply {
    let mut state = hub.borrow_mut();
    let count = state.store.partitions().len() as u32;
    let selected = match query_param(query, "partition").map(|text| parse_partitions(text, count)).transpose()
    {
        Ok(selected) => selected,
        Err(words) => return respond(StatusCode::BAD_REQUEST, words),
    };
    if state.store.version().is_none() {
        return respond(StatusCode::SERVICE_UNAVAILABLE, "no list is held yet\n");
    }
    let age = state.age() / 10_000;
    let mut reply = if query_param(query, "watch") == Some("1") {
        let after = numeric_param(query, "after").unwrap_or(0);
        let Some(id) = state.open_watch(from, after) else {
            return respond(StatusCode::SERVICE_UNAVAILABLE, "too many follow already\n");
        };
        let (lines, body) = Channel::new(1);
        let mut watches = watches.borrow_mut();
        // Those that have ended.
        while watches.try_join_next().is_some() {}
        // Who says what it holds is told only what has changed since, or else all of it.
        let position = match content_hash(query) {
            Some(hash) => state.store.step_at_content(after, hash),
            None => state.store.step_at_index(after),
        };
        let open = OpenWatch { hub: hub.clone(), id };
        watches.spawn_local(run_watch(open, (after, position), selected, lines));
        Response::new(body.boxed())
    } else {
        let Some((chunks, _)) = state.snapshot(selected.as_ref()) else {
            return respond(StatusCode::NOT_FOUND, "");
        };
        Response::new(SharedChunks::new(chunks).boxed())
    };
    reply.headers_mut().insert(AGE, age.into());
    reply
}

/// A watch, counted for as long as it lasts.
struct OpenWatch {
    hub: SharedHub,
    id: u64,
}

impl Drop for OpenWatch {
    fn drop(&mut self) {
        self.hub.borrow_mut().watches.remove(&self.id);
    }
}

/// `after`: the index that the follower holds, and the step at which it was held here. As the agent does: who is up to
/// date is told nothing, who knows another truth all of it.
async fn run_watch(
    open: OpenWatch,
    after: (u64, Option<u64>),
    selected: Option<HashSet<u32>>,
    mut lines: Sender<Bytes>,
) {
    let mut steps = open.hub.borrow().step.subscribe();
    let ((mut index, mut at), mut first) = (after, true);
    loop {
        steps.borrow_and_update();
        let (next, step) = {
            let mut hub = open.hub.borrow_mut();
            let step = hub.store.step();
            let nothing = at == Some(step);
            (if nothing { Next::Nothing } else { hub.next_update(at, index, first, selected.as_ref()) }, step)
        };
        let (chunks, sent) = match next {
            Next::Nothing => (Vec::new(), None),
            Next::Reconnect => return,
            Next::Changes(line, sent) => (vec![line], Some(sent)),
            Next::Snapshot(chunks, sent) => (chunks, Some(sent)),
        };
        for chunk in chunks {
            if !matches!(timeout(STALL_TIMEOUT, lines.send_data(chunk)).await, Ok(Ok(()))) {
                return;
            }
        }
        at = Some(step);
        if let Some(sent) = sent {
            (index, first) = (sent, false);
            if let Some(watch) = open.hub.borrow_mut().watches.get_mut(&open.id) {
                watch.sent = sent;
            }
        }
        tokio::select! {
            changed = steps.changed() => if changed.is_err() { return },
            () = sleep(KEEPALIVE_INTERVAL) => {
                let line = Bytes::from_static(b"\n");
                if !matches!(timeout(STALL_TIMEOUT, lines.send_data(line)).await, Ok(Ok(()))) {
                    return;
                }
            }
        }
    }
}
