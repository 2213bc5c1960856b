//! The HTTP server of a relay: the whole list, watches on it, the held version, and the status. A watch holds a
//! position in the sequence of changes and at most one chunk in flight; it is closed if the follower does not take that
//! chunk within `STALL_TIMEOUT`.

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

/// How often an empty line is sent on a watch while nothing changes; the same interval as the agent's.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// Time limit for receiving a request's head, including the idle time before it on a kept-alive connection.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum size of a request's head, and of one write.
const BUFFER_BYTES: usize = 16 * 1024;
/// Send buffer of a connection in the kernel.
const SOCKET_BUFFER_BYTES: usize = 128 * 1024;
/// Maximum number of connections that have not sent a request yet; one more closes the oldest of them.
const MAX_AWAITING_REQUEST: usize = 256;

type Reply = Response<BoxBody<Bytes, Infallible>>;

/// A response body made of chunks that are shared with other responses.
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

/// Connections that have not sent a request yet, oldest first.
#[derive(Default)]
struct AwaitingRequest(BTreeMap<u64, AbortHandle>);

/// Accepts and serves connections; never returns.
pub async fn listen(hub: SharedHub, listener: TcpListener, followers: usize) {
    // A follower has one connection for its watch, one for its reports, and a third to request the whole list.
    let max_connections = followers.saturating_mul(3).saturating_add(MAX_AWAITING_REQUEST);
    let awaiting: Rc<RefCell<AwaitingRequest>> = Rc::default();
    let mut open = JoinSet::new();
    let mut next = 0_u64;
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, from)) => {
                    // Bounds the number of connections that are opened and never used.
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
    // The watches of a connection end with it.
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

/// The raw value of a query parameter.
fn query_param<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
}

/// The content hash in a query, written in hexadecimal digits.
fn content_hash(query: &str) -> Option<u64> {
    u64::from_str_radix(query_param(query, "hash")?, 16).ok()
}

fn numeric_param(query: &str, name: &str) -> Option<u64> {
    query_param(query, name)?.parse().ok()
}

/// Decodes percent-encoded text. `None` if the encoding is malformed or the result is not UTF-8.
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

/// Parses partition numbers and ranges separated by commas, such as `3,5-9`. The error is the text of the response.
fn parse_partitions(text: &str, count: u32) -> Result<HashSet<u32>, String> {
    let mut asked = HashSet::new();
    for piece in text.split(',') {
        let one = |text: &str| text.parse::<u32>().ok().filter(|&p| p < count);
        let range = match piece.split_once('-') {
            Some((first, last)) => one(first).zip(one(last)).filter(|(first, last)| first <= last),
            None => one(piece).map(|p| (p, p)),
        };
        // The set holds at most `count` numbers, however often a range is repeated.
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
        Err(message) => return respond(StatusCode::BAD_REQUEST, message),
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
        // Removes the watches that have ended.
        while watches.try_join_next().is_some() {}
        // A follower that names the content it holds gets the changes since exactly that content, or else the whole
        // list.
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

/// Keeps a watch registered in the hub until it is dropped.
struct OpenWatch {
    hub: SharedHub,
    id: u64,
}

impl Drop for OpenWatch {
    fn drop(&mut self) {
        self.hub.borrow_mut().watches.remove(&self.id);
    }
}

/// `after` is the index that the follower holds, and the step at which this relay held it. As with the agent, a
/// follower that is up to date receives nothing, and one whose version is not known here receives the whole list.
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
