//! Calls whose end, or an end of one of their messages, crosses what the endpoint does. Each crossing is forced:
//! the endpoint stands still at the byte and goes on when the test has seen what it waits for.

mod common;

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use common::{put, serve, until_for, Courier, Platform, Request};
use serde_json::{json, Value};
use socket2::{Domain, Socket, Type};

/// Longer than any test waits for.
const LONG_LIFETIME: &str = "d=60000";
/// Its end comes in a test, and not before its call has begun.
const SHORT_LIFETIME: &str = "d=2500";

/// Looks again and again for as long as a loaded machine may take.
fn until(what: &str, holds: impl FnMut() -> bool) {
    until_for(Duration::from_secs(50), what, holds);
}

/// What a call is answered.
type Answer = Box<dyn Fn(&Request) -> String + Send>;

/// Serves calls, the first once the gate has been opened with what it is to answer.
struct GatedEndpoint {
    address: SocketAddr,
    calls: Arc<Mutex<Vec<Request>>>,
    connections: Arc<Mutex<(usize, usize)>>,
    gate: Sender<Answer>,
}

fn response(status: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// 200, with `ok` for each message of a call of several.
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

/// A courier with one endpoint that takes several messages a call, and nothing yet. No window and no time-out ends
/// within a test.
fn courier_at(address: SocketAddr, connect_us: u64) -> (Platform, Courier) {
    let platform = Platform::new();
    platform.list("e1", address, "many", 7, "DRAINING");
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

/// Hands in several, and lets them go once all are in hand: one turn makes one call of them.
fn submit_together(
    courier: &Courier,
    platform: &Platform,
    address: SocketAddr,
    messages: &[(&str, &str, &str)],
) {
    let mut client = courier.client();
    let all =
        messages.iter().flat_map(|&(id, class, time)| put("0", id, class, time, b"x")).collect::<Vec<_>>();
    assert_eq!(client.say(&all), "+OK");
    messages[1..].iter().for_each(|_| assert_eq!(client.line(), "+OK"));
    platform.list("e1", address, "many", 7, "SERVING");
}

fn notices(platform: &Platform) -> Vec<(String, String)> {
    let mut notices = platform.notices();
    notices.sort();
    notices
}

fn expected(notices: &[(&str, &str)]) -> Vec<(String, String)> {
    notices.iter().map(|&(id, end)| (id.to_string(), end.to_string())).collect()
}

/// A listener whose line is full: connections to it do not come up until somebody accepts. Returns those in the line.
fn full_backlog() -> (TcpListener, Vec<TcpStream>) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    socket.listen(0).unwrap();
    let listener = TcpListener::from(socket);
    let address = listener.local_addr().unwrap();
    let mut line = Vec::new();
    while let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(100)) {
        line.push(stream);
        assert!(line.len() < 16, "the line does not fill");
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
    // The connection has not come up, and cannot before the line is emptied below.
    until("the ends of the first two", || platform.notices().len() == 2);
    assert_eq!(notices(&platform), expected(&[("a", "bounced"), ("b", "bounced")]), "neither has run");
    let calls: Arc<Mutex<Vec<Request>>> = Arc::default();
    let seen = calls.clone();
    drop(line);
    serve(listener, move |request, out| {
        seen.lock().unwrap().push(request);
        out.write_all(response("200 OK", "").as_bytes()).is_ok()
    });
    until("the third is delivered", || courier.owes_nothing());
    let ids: Vec<String> = calls.lock().unwrap().iter().flat_map(Request::ids).collect();
    assert_eq!((ids, platform.notices().len()), (vec!["c".to_string()], 2), "and nothing else ran");
}

/// An answer to all of a call comes after the end of one of its messages. It may be to what was given up, so nothing
/// that it says of the others is believed: what may run again does, what may not is told of as failed.
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
    until("all ends", || courier.owes_nothing());
    assert_eq!(notices(&platform), expected(&[("a", "bounced"), ("b", "dead")]));
    assert_eq!(endpoint.ids()[1..].concat(), ["c"], "what may run again goes again, and nothing else");
    // What else comes on that connection belongs to no call.
    assert_eq!(endpoint.connections.lock().unwrap().0, 2);
}

/// The same, and the answer tells to wait: that is heeded whatever the answer is worth.
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
    until("the second is delivered", || courier.owes_nothing());
    let calls = endpoint.calls.lock().unwrap();
    let waited = calls[1].at - told.lock().unwrap().unwrap();
    assert!(waited >= Duration::from_millis(900), "the second went after {waited:?}");
}
