//! Calls that end, or whose mails expire, while the endpoint acts. Each race is forced: the endpoint stops at
//! a given byte and goes on once the test has seen what it waits for.

mod common;

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use common::{put, serve, wait_until_within, Courier, Platform, Request};
use serde_json::{json, Value};
use socket2::{Domain, Socket, Type};

/// Longer than any test takes.
const LONG_LIFETIME: &str = "d=60000";
/// Expires during a test, but not before its call has begun.
const SHORT_LIFETIME: &str = "d=2500";

/// Polls for as long as a loaded machine may need.
fn until(what: &str, holds: impl FnMut() -> bool) {
    wait_until_within(Duration::from_secs(50), what, holds);
}

/// Makes the answer to a call.
type Answer = Box<dyn Fn(&Request) -> String + Send>;

/// An endpoint that holds back its first answer until the test sends it through `gate`.
struct GatedEndpoint {
    address: SocketAddr,
    calls: Arc<Mutex<Vec<Request>>>,
    connections: Arc<Mutex<(usize, usize)>>,
    gate: Sender<Answer>,
}

fn response(status: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// Status 200, with the state `ok` for each mail of a batch.
fn ok(request: &Request) -> String {
    let items = request.ids().into_iter().map(|id| json!({"id": id, "state": "ok"})).collect::<Vec<_>>();
    response("200 OK", &Value::from(items).to_string())
}

impl GatedEndpoint {
    fn new() -> GatedEndpoint {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let calls: Arc<Mutex<Vec<Request>>> = Arc::default();
        let (gate, opened) = channel();
        let opened: Mutex<Receiver<Answer>> = Mutex::new(opened);
        let seen = calls.clone();
        let connections = serve(listener, move |request, out| {
            let first = {
                let mut seen = seen.lock().unwrap();
                seen.push(request.clone());
                seen.len() == 1
            };
            let answer = if first {
                opened.lock().unwrap().recv().map_or_else(|_| ok(&request), |a| a(&request))
            } else {
                ok(&request)
            };
            out.write_all(answer.as_bytes()).is_ok()
        });
        GatedEndpoint { address, calls, connections, gate }
    }

    fn ids(&self) -> Vec<Vec<String>> {
        let calls = self.calls.lock().unwrap();
        let sorted = |call: &Request| {
            let mut ids = call.ids();
            ids.sort();
            ids
        };
        calls.iter().map(sorted).collect()
    }
}

/// A courier with one endpoint, which takes batches and is draining at first. No deduplication window and no
/// timeout ends within a test.
fn courier_at(address: SocketAddr, connect_us: u64) -> (Platform, Courier) {
    let platform = Platform::new();
    platform.set_entry("e1", address, "many", 7, "DRAINING");
    let courier = Courier::start(&platform, |config| {
        config["settings"]["Limits"]["ConnectTimeoutUs"] = json!(connect_us);
        for class in config["settings"]["Profiles"].as_array_mut().unwrap() {
            class["PromiseUs"] = json!(30_000_000);
            class["HardLimitUs"] = json!(60_000_000);
            class["DedupWindowUs"] = json!(120_000_000);
        }
    });
    (platform, courier)
}

/// Submits several mails and makes the endpoint ready once all are in hand, so that one turn puts them into
/// one call.
fn submit_together(
    courier: &Courier,
    platform: &Platform,
    address: SocketAddr,
    messages: &[(&str, &str, &str)],
) {
    let mut client = courier.client();
    let all =
        messages.iter().flat_map(|&(id, class, time)| put("0", id, class, time, b"x")).collect::<Vec<_>>();
    assert_eq!(client.request(&all), "+OK");
    messages[1..].iter().for_each(|_| assert_eq!(client.read_line(), "+OK"));
    platform.set_entry("e1", address, "many", 7, "SERVING");
}

fn notices(platform: &Platform) -> Vec<(String, String)> {
    let mut notices = platform.notices();
    notices.sort();
    notices
}

fn expected(notices: &[(&str, &str)]) -> Vec<(String, String)> {
    notices.iter().map(|&(id, end)| (id.to_string(), end.to_string())).collect()
}

/// A listener with a full backlog: further connections are not established until somebody accepts. Returns
/// the listener and the connections in the backlog.
fn full_backlog() -> (TcpListener, Vec<TcpStream>) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    socket.listen(0).unwrap();
    let listener = TcpListener::from(socket);
    let address = listener.local_addr().unwrap();
    let mut line = Vec::new();
    while let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(100)) {
        line.push(stream);
        assert!(line.len() < 16, "the backlog does not fill up");
    }
    (listener, line)
}

#[test]
fn an_expired_mail_does_not_wait_for_the_connection_of_its_call() {
    let (listener, line) = full_backlog();
    let address = listener.local_addr().unwrap();
    let (platform, courier) = courier_at(address, 60_000_000);
    let messages =
        [("a", "again", SHORT_LIFETIME), ("b", "once", SHORT_LIFETIME), ("c", "once", LONG_LIFETIME)];
    submit_together(&courier, &platform, address, &messages);
    // The connection cannot be established before the backlog is emptied below.
    until("the notices of the first two", || platform.notices().len() == 2);
    assert_eq!(notices(&platform), expected(&[("a", "bounced"), ("b", "bounced")]), "neither has run");
    let calls: Arc<Mutex<Vec<Request>>> = Arc::default();
    let seen = calls.clone();
    drop(line);
    serve(listener, move |request, out| {
        seen.lock().unwrap().push(request);
        out.write_all(response("200 OK", "").as_bytes()).is_ok()
    });
    until("the third to be relayed", || courier.owes_nothing());
    let ids: Vec<String> = calls.lock().unwrap().iter().flat_map(Request::ids).collect();
    assert_eq!((ids, platform.notices().len()), (vec!["c".to_string()], 2), "only the third ran");
}

/// An answer to a whole call comes after one of its mails has expired. It may belong to the expired mail, so
/// it counts for none of the others: a mail that may run again is sent again, a once-only mail is bounced.
#[test]
fn an_answer_after_the_expiry_of_one_mail_counts_for_none_of_its_call() {
    let endpoint = GatedEndpoint::new();
    let (platform, courier) = courier_at(endpoint.address, 2_000_000);
    let messages =
        [("a", "again", SHORT_LIFETIME), ("b", "once", LONG_LIFETIME), ("c", "tagged", "d=60000,k=77")];
    submit_together(&courier, &platform, endpoint.address, &messages);
    until("the call", || endpoint.ids().len() == 1);
    assert_eq!(endpoint.ids()[0], ["a", "b", "c"]);
    until("the end of the first", || platform.notices().len() == 1);
    endpoint.gate.send(Box::new(ok)).unwrap();
    until("all mails to be finished", || courier.owes_nothing());
    assert_eq!(notices(&platform), expected(&[("a", "bounced"), ("b", "dead")]));
    assert_eq!(endpoint.ids()[1..].concat(), ["c"], "only the mail that may run again is sent again");
    // Anything else on that connection belongs to no call.
    assert_eq!(endpoint.connections.lock().unwrap().0, 2);
}

/// The same with an answer that asks to wait: the wait is observed whatever else the answer counts for.
#[test]
fn a_wait_in_an_answer_that_crosses_an_end_is_heeded() {
    let endpoint = GatedEndpoint::new();
    let (platform, courier) = courier_at(endpoint.address, 2_000_000);
    submit_together(
        &courier,
        &platform,
        endpoint.address,
        &[("a", "again", SHORT_LIFETIME), ("b", "again", LONG_LIFETIME)],
    );
    until("the call", || endpoint.ids().len() == 1);
    until("the end of the first", || platform.notices().len() == 1);
    let told = Arc::new(Mutex::new(None));
    let at = told.clone();
    let refusal = move |_: &Request| {
        *at.lock().unwrap() = Some(Instant::now());
        "HTTP/1.1 429 X\r\nRetry-After: 0.900\r\nContent-Length: 0\r\n\r\n".to_string()
    };
    endpoint.gate.send(Box::new(refusal)).unwrap();
    until("the second to be relayed", || courier.owes_nothing());
    let calls = endpoint.calls.lock().unwrap();
    let waited = calls[1].at - told.lock().unwrap().unwrap();
    assert!(waited >= Duration::from_millis(900), "the second was sent after {waited:?}");
}
