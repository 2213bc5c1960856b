//! Answers that belong to another call than the one that is out: copied, early, or in the place of a missing one. The
//! crossing of an answer with the next call is forced: the endpoint writes it once it has read that call.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use common::{put, serve, wait_until, wait_until_within, Courier, Platform, Request};
use meadowhold_courier::link::{HttpConnection, SendError};
use serde_json::{json, Value};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

const LIFETIME: &str = "d=4000,k=5c0f";
/// Leaves time for a further call behind one that is crossed.
const CROSSED_LIFETIME: &str = "d=6000,k=5c0f";
/// A connection that has rested for so long takes the next call, where no answer has come late.
const REST: Duration = Duration::from_millis(200);
/// How long after the foreign answer the endpoint writes the call's own one.
const OWN_ANSWER_DELAY: Duration = Duration::from_millis(40);
const EFFECTS: [&str; 3] = ["again", "tagged", "once"];
const OK: &str = "200 OK";
const BUSY: &str = "503 Busy";
/// Size of a body that is read in several pieces, and of the first of them.
const LARGE_BODY: usize = 60 << 10;
const FIRST_BYTES: usize = 64;

fn response(status: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// What an endpoint writes when it has read a call: texts, each after a pause.
type Script = Vec<(Duration, String)>;

fn at_once(status: &str) -> (Duration, String) {
    (Duration::ZERO, response(status, ""))
}

fn later(status: &str) -> (Duration, String) {
    (OWN_ANSWER_DELAY, response(status, ""))
}

/// An endpoint that answers the calls by their number, from 0, and relays those without a script.
struct ScriptedEndpoint {
    address: SocketAddr,
    calls: Arc<Mutex<Vec<(SocketAddr, Request)>>>,
}

impl ScriptedEndpoint {
    fn new(scripts: Vec<Script>) -> ScriptedEndpoint {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let calls: Arc<Mutex<Vec<(SocketAddr, Request)>>> = Arc::default();
        let seen = calls.clone();
        serve(listener, move |request, out| {
            let number = {
                let mut seen = seen.lock().unwrap();
                seen.push((out.peer_addr().unwrap(), request.clone()));
                seen.len() - 1
            };
            let script = scripts.get(number).cloned().unwrap_or_else(|| vec![(Duration::ZERO, ok(&request))]);
            // On a thread of its own, so that the next call is read meanwhile.
            let mut out = out.try_clone().unwrap();
            thread::spawn(move || {
                for (pause, text) in script {
                    thread::sleep(pause);
                    let _ = out.write_all(text.as_bytes());
                }
            });
            true
        });
        ScriptedEndpoint { address, calls }
    }

    /// The messages of each call.
    fn ids(&self) -> Vec<Vec<String>> {
        self.calls.lock().unwrap().iter().map(|(_, call)| call.ids()).collect()
    }

    /// The number of calls that carried a message.
    fn calls_of(&self, id: &str) -> usize {
        self.ids().iter().flatten().filter(|carried| *carried == id).count()
    }

    fn connection_of(&self, call: usize) -> SocketAddr {
        self.calls.lock().unwrap()[call].0
    }
}

/// An endpoint that answers its first call at once, and writes an answer too many once it has read a further call on the
/// connection: a second copy, or one that nobody asked for. All calls but the first run for a time.
struct CopyingEndpoint {
    address: SocketAddr,
    runs: Arc<Mutex<Vec<String>>>,
    /// The messages that were called while an earlier call of them was out on an open connection.
    overlapping: Arc<Mutex<Vec<String>>>,
}

/// Whether the courier has closed a connection or ended its sending on it.
fn is_abandoned(stream: &TcpStream) -> bool {
    stream.set_read_timeout(Some(Duration::from_millis(20))).unwrap();
    matches!(stream.peek(&mut [0]), Ok(0))
}

impl CopyingEndpoint {
    fn new(first: String, crossing: String, work: Duration) -> CopyingEndpoint {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let runs: Arc<Mutex<Vec<String>>> = Arc::default();
        let overlapping: Arc<Mutex<Vec<String>>> = Arc::default();
        let (seen, overlaps, refused_at) = (runs.clone(), overlapping.clone(), Mutex::new(None));
        let out_now: Mutex<Vec<(String, TcpStream)>> = Mutex::default();
        serve(listener, move |request, out| {
            let peer = out.peer_addr().unwrap();
            let mut refused = refused_at.lock().unwrap();
            match *refused {
                None => {
                    *refused = Some(peer);
                    return out.write_all(first.as_bytes()).is_ok();
                }
                Some(refused_peer) if refused_peer == peer => {
                    let _ = out.write_all(crossing.as_bytes());
                }
                Some(_) => {}
            }
            drop(refused);
            let id = request.ids().remove(0);
            seen.lock().unwrap().push(id.clone());
            let mut calls = out_now.lock().unwrap();
            if calls.iter().any(|(other, stream)| *other == id && !is_abandoned(stream)) {
                overlaps.lock().unwrap().push(id.clone());
            }
            calls.push((id.clone(), out.try_clone().unwrap()));
            drop(calls);
            thread::sleep(work);
            out_now.lock().unwrap().retain(|(other, _)| *other != id);
            out.write_all(ok(&request).as_bytes()).is_ok()
        });
        CopyingEndpoint { address, runs, overlapping }
    }

    /// The messages that have run, in their order.
    fn runs(&self) -> Vec<String> {
        self.runs.lock().unwrap().clone()
    }
}

/// Status 200, with the state `ok` for each message of a batch.
fn ok(request: &Request) -> String {
    if request.target == "/hook" {
        return response(OK, "");
    }
    let items: Vec<Value> = request.ids().into_iter().map(|id| json!({"id": id, "state": "ok"})).collect();
    response(OK, &Value::from(items).to_string())
}

/// A courier with one endpoint. An endpoint that is not measured yet has a short tail latency.
fn courier_at(address: SocketAddr, kind: &str) -> (Platform, Courier) {
    let platform = Platform::new();
    platform.set_entry("e1", address, kind, 7, "SERVING");
    let courier = Courier::start(&platform, |_| {});
    (platform, courier)
}

/// Hands in a message and waits until the endpoint has got so many calls.
fn send(courier: &Courier, endpoint: &ScriptedEndpoint, id: &str, class: &str, calls: usize) {
    assert_eq!(courier.client().put(id, class, LIFETIME), "+OK");
    wait_until("the call", || endpoint.ids().len() >= calls);
}

/// The end that a message got: relayed by a later call, or the result of its notice.
fn end_of(platform: &Platform, endpoint: &ScriptedEndpoint, id: &str) -> String {
    let notice = platform.notices().into_iter().find(|notice| notice.0 == id);
    match notice {
        Some((_, result)) => result,
        None if endpoint.calls_of(id) > 1 => "called again".to_string(),
        None => "none".to_string(),
    }
}

/// Sends a message whose call is crossed by these texts, behind one that was relayed on the same connection.
fn cross(class: &str, crossing: Script) -> (Platform, ScriptedEndpoint, Courier) {
    let endpoint = ScriptedEndpoint::new(vec![vec![at_once(OK)], crossing]);
    let (platform, courier) = courier_at(endpoint.address, "single");
    send(&courier, &endpoint, "a1", "again", 1);
    wait_until("the first answer", || courier.owes_nothing());
    thread::sleep(REST);
    send(&courier, &endpoint, "b2", class, 2);
    assert_eq!(endpoint.connection_of(0), endpoint.connection_of(1), "the connection is kept");
    (platform, endpoint, courier)
}

fn expect_end(class: &str, crossing: Script, what: &str) {
    let (platform, endpoint, courier) = cross(class, crossing);
    wait_until(what, || courier.owes_nothing());
    let expected = if class == "once" { "dead" } else { "called again" };
    assert_eq!(end_of(&platform, &endpoint, "b2"), expected, "{class}: {what}");
}

#[test]
fn a_copied_answer_that_crosses_a_call_does_not_end_its_message() {
    thread::scope(|scope| {
        for class in EFFECTS {
            scope.spawn(move || expect_end(class, vec![at_once(OK), later(BUSY)], "a copy, then 503"));
        }
    });
}

#[test]
fn a_copied_answer_in_one_segment_with_the_own_one_does_not_end_its_message() {
    thread::scope(|scope| {
        for class in EFFECTS {
            let both = (Duration::ZERO, response(OK, "") + &response(BUSY, ""));
            scope.spawn(move || expect_end(class, vec![both], "a copy and 503 together"));
        }
    });
}

#[test]
fn a_copied_answer_cut_in_the_middle_does_not_end_its_message() {
    thread::scope(|scope| {
        for class in EFFECTS {
            let cut = (Duration::ZERO, "HTTP/1.1 200 OK\r\nContent-Le".to_string());
            scope.spawn(move || expect_end(class, vec![cut, later(BUSY)], "half a copy, then 503"));
        }
    });
}

#[test]
fn a_copied_answer_followed_by_a_reset_does_not_end_its_message() {
    for class in EFFECTS {
        let (platform, endpoint, courier) = {
            let listener = TcpListener::bind("127.0.0.1:0").unwrap();
            let address = listener.local_addr().unwrap();
            let calls: Arc<Mutex<Vec<(SocketAddr, Request)>>> = Arc::default();
            let seen = calls.clone();
            serve(listener, move |request, out| {
                let text = ok(&request);
                let mut seen = seen.lock().unwrap();
                seen.push((out.peer_addr().unwrap(), request));
                let _ = out.write_all(text.as_bytes());
                // The copy has crossed the second call, which the endpoint drops with the connection.
                seen.len() != 2
            });
            let endpoint = ScriptedEndpoint { address, calls };
            let (platform, courier) = courier_at(address, "single");
            (platform, endpoint, courier)
        };
        send(&courier, &endpoint, "a1", "again", 1);
        wait_until("the first answer", || courier.owes_nothing());
        thread::sleep(REST);
        send(&courier, &endpoint, "b2", class, 2);
        assert_eq!(endpoint.connection_of(0), endpoint.connection_of(1), "the connection is kept");
        wait_until("the end", || courier.owes_nothing());
        let expected = if class == "once" { "dead" } else { "called again" };
        assert_eq!(end_of(&platform, &endpoint, "b2"), expected, "{class}");
    }
}

/// The answers of a connection are shifted by one: the refusal of the call before comes in the place of the own answer.
#[test]
fn a_refusal_of_the_call_before_does_not_send_a_once_only_message_again() {
    let refused_late = vec![at_once(OK)];
    let refusal_of_the_second = vec![at_once(BUSY), later(OK)];
    let endpoint = ScriptedEndpoint::new(vec![vec![at_once(OK)], refused_late, refusal_of_the_second]);
    let platform = Platform::new();
    platform.set_entry("e1", endpoint.address, "single", 7, "SERVING");
    let courier = Courier::start(&platform, |config| {
        // The outcome of the second is still held when the third is called.
        config["settings"]["Limits"]["ConnectTimeoutUs"] = json!(1_000_000);
    });
    send(&courier, &endpoint, "a1", "again", 1);
    wait_until("the first answer", || courier.owes_nothing());
    thread::sleep(REST);
    send(&courier, &endpoint, "b2", "once", 2);
    thread::sleep(REST);
    send(&courier, &endpoint, "c3", "once", 3);
    wait_until("both ends", || courier.owes_nothing());
    assert_eq!((endpoint.calls_of("b2"), endpoint.calls_of("c3")), (1, 1), "neither is sent again");
    assert_eq!(endpoint.connection_of(2), endpoint.connection_of(1), "the connection is kept");
    let notices = platform.notices();
    assert!(notices.iter().any(|(id, result)| id == "c3" && result == "dead"), "{notices:?}");
}

/// Guards against a once-only message that runs twice: a second copy of the refusal before it crosses its call, which runs
/// for much longer than the calls before.
#[test]
fn a_copied_refusal_that_crosses_a_once_only_call_does_not_send_it_again() {
    const WORK: Duration = Duration::from_millis(1500);
    let refusal = || {
        (Duration::ZERO, "HTTP/1.1 429 Busy\r\nRetry-After: 0.010\r\nContent-Length: 0\r\n\r\n".to_string())
    };
    // Connections that cost nothing are not shared behind a refusal; those that cost more than a message is worth are.
    for (class, handshake, shares) in
        [("again", 0.0, false), ("once", 0.0, false), ("again", 2.0, true), ("once", 2.0, true)]
    {
        // The copy belongs to the connection of the refusal: it is written there once the next call has been read.
        let endpoint = CopyingEndpoint::new(refusal().1, refusal().1, WORK);
        let platform = Platform::new();
        platform.set_entry("e1", endpoint.address, "single", 7, "SERVING");
        let courier = Courier::start(&platform, |config| {
            config["settings"]["Penalties"] = json!({"Handshake": handshake});
        });
        let put = |id: &str, class: &str| assert_eq!(courier.client().put(id, class, LIFETIME), "+OK");
        put("a1", class);
        thread::sleep(REST);
        put("b2", "once");
        wait_until("both ends", || courier.owes_nothing());
        let runs = endpoint.runs();
        let runs_of = |id: &str| runs.iter().filter(|run| *run == id).count();
        let what = format!("behind {class}, shared: {shares}");
        assert!(runs_of("b2") <= 1, "{what}: a once-only message has run {} times", runs_of("b2"));
        let notices = platform.notices();
        let end = notices.iter().find(|(id, _)| id == "b2").map(|(_, result)| &result[..]);
        // Told of as dead, at once, where its answer may be a copy; never as one that may come again.
        assert!(matches!((end, runs_of("b2")), (Some("dead"), _) | (None, 1)), "{what}: {end:?}");
        if !shares {
            assert_eq!(end, None, "{what}: delivered on a connection of its own");
        }
    }
}

/// Guards against two calls of a message at once where the settings forbid that: a copied refusal or error, or an unasked one,
/// frees a message whose own call is still out.
#[test]
fn an_answer_of_another_call_does_not_have_a_message_called_twice_at_once() {
    let refusal = "HTTP/1.1 429 Busy\r\nRetry-After: 0.010\r\nContent-Length: 0\r\n\r\n".to_string();
    let (ok, error, conflict) = (response(OK, ""), response("500 Error", ""), response("409 Conflict", ""));
    let rows = [
        (&refusal, &refusal),
        (&error, &error),
        (&conflict, &conflict),
        (&ok, &refusal),
        (&ok, &error),
        (&ok, &conflict),
    ];
    for (first, crossing) in rows {
        expect_one_call_at_a_time(first, crossing);
    }
}

fn expect_one_call_at_a_time(first: &str, crossing: &str) {
    const WORK: Duration = Duration::from_millis(1500);
    for class in ["again", "tagged"] {
        let endpoint = CopyingEndpoint::new(first.to_string(), crossing.to_string(), WORK);
        let platform = Platform::new();
        platform.set_entry("e1", endpoint.address, "single", 7, "SERVING");
        let courier = Courier::start(&platform, |config| {
            config["settings"]["Limits"]["MayDuplicate"] = json!(false);
        });
        let put = |id: &str| assert_eq!(courier.client().put(id, class, CROSSED_LIFETIME), "+OK");
        put("a1");
        thread::sleep(REST);
        put("b2");
        wait_until("both ends", || courier.owes_nothing());
        let overlapping = endpoint.overlapping.lock().unwrap().clone();
        let what = format!("{class}, {first:?}, then {crossing:?}");
        assert_eq!(overlapping, Vec::<String>::new(), "{what}: {:?}", endpoint.runs());
    }
}

/// Guards against two calls of a message at once where the settings forbid that: a held delivery becomes doubtful while the
/// connection stays open for another message.
#[test]
fn a_doubtful_delivery_does_not_have_a_message_called_twice_at_once() {
    let copy_at_once = vec![at_once(OK)];
    // The last copy comes at rest, and shows that the connection of the others had not rested for long enough.
    let late_copy = vec![at_once(OK), (Duration::from_millis(150), response(OK, ""))];
    let scripts = [vec![at_once(OK)], copy_at_once.clone(), copy_at_once, late_copy];
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let calls: Arc<Mutex<Vec<(String, TcpStream)>>> = Arc::default();
    let seen = calls.clone();
    serve(listener, move |request, out| {
        let mut seen = seen.lock().unwrap();
        let script = scripts.get(seen.len()).cloned().unwrap_or_else(|| vec![at_once(OK)]);
        seen.push((request.ids().remove(0), out.try_clone().unwrap()));
        drop(seen);
        let mut out = out.try_clone().unwrap();
        thread::spawn(move || {
            for (pause, text) in script {
                thread::sleep(pause);
                let _ = out.write_all(text.as_bytes());
            }
        });
        true
    });
    let platform = Platform::new();
    platform.set_entry("e1", address, "single", 7, "SERVING");
    let courier = Courier::start(&platform, |config| {
        config["settings"]["Limits"]["MayDuplicate"] = json!(false);
        config["settings"]["Limits"]["ConnectTimeoutUs"] = json!(500_000);
    });
    let count = || calls.lock().unwrap().len();
    for (number, (id, class)) in
        [("a1", "again"), ("b2", "again"), ("c3", "once"), ("d4", "again")].into_iter().enumerate()
    {
        assert_eq!(courier.client().put(id, class, LIFETIME), "+OK");
        wait_until("the call", || count() > number);
        // The last one goes on a connection of its own, at once.
        if id != "c3" {
            thread::sleep(REST);
        }
    }
    let connection = |call: usize| calls.lock().unwrap()[call].1.peer_addr().unwrap();
    assert_eq!((connection(0), connection(1)), (connection(2), connection(2)), "the connection is kept");
    wait_until("the second call of b2", || count() > 4);
    let (again, earlier) = {
        let calls = calls.lock().unwrap();
        (calls[4].0.clone(), calls[1].1.try_clone().unwrap())
    };
    assert!(again == "b2" && is_abandoned(&earlier), "{again} is called while its call is out");
    wait_until("all ends", || courier.owes_nothing());
}

#[test]
fn a_copied_answer_to_a_batch_ends_no_message_of_the_next_and_shifts_none() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let calls: Arc<Mutex<Vec<(SocketAddr, Request)>>> = Arc::default();
    let seen = calls.clone();
    serve(listener, move |request, out| {
        let mut seen = seen.lock().unwrap();
        seen.push((out.peer_addr().unwrap(), request.clone()));
        match seen.len() {
            // The answer of the first batch comes in the place of the second's.
            2 => out.write_all(ok(&seen[0].1).as_bytes()).is_ok(),
            _ => out.write_all(ok(&request).as_bytes()).is_ok(),
        }
    });
    let endpoint = ScriptedEndpoint { address, calls };
    let platform = Platform::new();
    platform.set_entry("e1", address, "many", 7, "DRAINING");
    let courier = Courier::start(&platform, |_| {});
    let submit = |ids: [&str; 2], class: &str| {
        platform.set_entry("e1", address, "many", 7, "DRAINING");
        thread::sleep(Duration::from_millis(100));
        let mut client = courier.client();
        let all: Vec<u8> = ids.iter().flat_map(|id| put("0", id, class, LIFETIME, b"x")).collect();
        assert_eq!(client.request(&all), "+OK");
        assert_eq!(client.read_line(), "+OK");
        platform.set_entry("e1", address, "many", 7, "SERVING");
    };
    submit(["a1", "a2"], "again");
    wait_until("the first batch", || courier.owes_nothing());
    thread::sleep(REST);
    submit(["b1", "b2"], "once");
    wait_until("the ends of the second batch", || courier.owes_nothing());
    let mut notices = platform.notices();
    notices.sort();
    let dead = |id: &str| (id.to_string(), "dead".to_string());
    assert_eq!(notices, [dead("b1"), dead("b2")]);
    submit(["c1", "c2"], "again");
    wait_until("the third batch", || courier.owes_nothing());
    assert_eq!(endpoint.connection_of(0), endpoint.connection_of(1), "the connection is kept");
    for call in 2..endpoint.ids().len() {
        assert_ne!(endpoint.connection_of(1), endpoint.connection_of(call), "a foreign answer came on it");
    }
}

/// A process that is killed before a relayed message is confirmed leaves it to the next one.
#[test]
fn a_kill_right_behind_a_copied_answer_loses_no_message() {
    thread::scope(|scope| {
        for class in EFFECTS {
            scope.spawn(move || {
                let (platform, endpoint, mut courier) = cross(class, vec![at_once(OK)]);
                // The copy is read within a few milliseconds.
                thread::sleep(Duration::from_millis(20));
                courier.kill();
                courier.restart();
                wait_until("the end", || courier.owes_nothing());
                let expected = if class == "once" { "dead" } else { "called again" };
                assert_eq!(end_of(&platform, &endpoint, "b2"), expected, "{class}");
            });
        }
    });
}

/// The endpoint answers a large request from its first bytes on, as one does that still has an answer to give away. Its own
/// answer follows.
#[test]
fn an_answer_to_the_first_bytes_of_a_request_on_a_kept_connection_is_not_its_answer() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let calls: Arc<Mutex<usize>> = Arc::default();
    let seen = calls.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let seen = seen.clone();
            thread::spawn(move || answer_the_second_call_early(stream, &seen));
        }
    });
    let (platform, courier) = courier_at(address, "single");
    let mut client = courier.client();
    assert_eq!(client.put("a1", "again", LIFETIME), "+OK");
    wait_until("the first answer", || courier.owes_nothing());
    thread::sleep(REST);
    let body = vec![b'x'; LARGE_BODY];
    assert_eq!(client.request(&put("0000000000000000", "b2", "again", "d=4000", &body)), "+OK");
    wait_until_within(Duration::from_secs(20), "the end", || courier.owes_nothing());
    assert_eq!((*calls.lock().unwrap(), platform.notices()), (3, vec![]), "it is sent again and relayed");
}

/// Reads one request with a body of this size.
fn read_request(stream: &mut TcpStream, buffer: &mut [u8], body: usize, mut read: usize) -> bool {
    let is_whole = |text: &[u8]| {
        let head = text.windows(4).position(|bytes| bytes == b"\r\n\r\n");
        head.is_some_and(|head| text.len() >= head + 4 + body)
    };
    while !is_whole(&buffer[..read]) {
        match stream.read(&mut buffer[read..]) {
            Ok(more @ 1..) => read += more,
            _ => return false,
        }
    }
    true
}

fn answer_the_second_call_early(mut stream: TcpStream, calls: &Mutex<usize>) {
    let mut buffer = vec![0; 4 * LARGE_BODY];
    loop {
        let Ok(read @ 1..) = stream.read(&mut buffer[..FIRST_BYTES]) else { return };
        let number = {
            let mut calls = calls.lock().unwrap();
            *calls += 1;
            *calls
        };
        if number == 2 {
            stream.write_all(response(OK, "").as_bytes()).unwrap();
        }
        let body = if number == 1 { b"hello".len() } else { LARGE_BODY };
        if !read_request(&mut stream, &mut buffer, body, read) {
            return;
        }
        thread::sleep(OWN_ANSWER_DELAY);
        let status = if number == 2 { BUSY } else { OK };
        let _ = stream.write_all(response(status, "").as_bytes());
    }
}

/// More than the system buffers on both sides of a connection.
const TOO_LARGE_TO_BUFFER: usize = 32 << 20;

#[tokio::test]
async fn bytes_that_come_while_a_request_is_written_end_the_write() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut link = HttpConnection::open(listener.local_addr().unwrap()).await.unwrap();
    let (mut far, _) = listener.accept().await.unwrap();
    let request = vec![b'x'; TOO_LARGE_TO_BUFFER];
    let early = async {
        let mut buffer = vec![0; 1 << 20];
        far.read_exact(&mut buffer).await.unwrap();
        far.write_all(response(OK, "").as_bytes()).await.unwrap();
        // Reads on, so that the write goes on.
        while far.read(&mut buffer).await.is_ok_and(|read| read > 0) {}
    };
    let sent = tokio::select! {
        sent = link.send(&request) => sent,
        () = early => unreachable!("the connection ended"),
    };
    assert!(matches!(sent, Err(SendError::EarlyBytes)), "{sent:?}");
}

#[test]
fn a_copied_answer_to_a_notice_loses_no_notice() {
    let endpoint = ScriptedEndpoint::new(vec![vec![at_once("500 Error")]; 6]);
    let (platform, courier) = courier_at(endpoint.address, "single");
    platform.state.lock().unwrap().copies_notice_answers = true;
    for (number, id) in ["a1", "b2", "c3", "d4", "e5", "f6"].into_iter().enumerate() {
        assert_eq!(courier.client().put(id, "once", "d=1500"), "+OK");
        wait_until("the end", || courier.owes_nothing());
        assert_eq!(platform.notices().len(), number + 1, "{id}");
    }
}
