//! Copies of answers that a slow link delays, and own answers that come later than any quiet period, or never.

mod common;

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use common::{serve, wait_until, wait_until_within, Courier, Platform, Request};

const OK: &str = "200 OK";
const EFFECTS: [&str; 3] = ["again", "tagged", "once"];
const LIFETIME: &str = "d=4000,k=5c0f";
/// Longer than the quiet period of a delivery at an endpoint with short latencies.
const OWN_ANSWER_AFTER: Duration = Duration::from_millis(700);
/// A copy comes so long after its answer: sooner than connections rest, and later.
const SHORT_COPY_DELAY: Duration = Duration::from_millis(60);
const LONG_COPY_DELAY: Duration = Duration::from_millis(150);
/// Longer than connections rest where no copy has come late, and shorter than `LONG_COPY_DELAY`.
const SHORT_REST: Duration = Duration::from_millis(120);

/// What becomes of the first call of the message `b2` in the end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ending {
    Status(&'static str),
    ClosedInOrder,
    NoAnswer,
}

/// An endpoint behind a link: the answers to the messages `a1` to `a9` have a copy that comes later. All other calls but the
/// first one of `b2` are answered at once.
struct DelayingEndpoint {
    address: SocketAddr,
    calls: Arc<Mutex<Vec<(String, SocketAddr)>>>,
}

fn response(status: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n").into_bytes()
}

/// Writes an answer and, on a thread of its own, the copy that is on its way meanwhile.
fn write_with_copy(out: &mut TcpStream, copy_delay: Duration) -> bool {
    let mut later = out.try_clone().unwrap();
    let is_written = out.write_all(&response(OK)).is_ok();
    thread::spawn(move || {
        thread::sleep(copy_delay);
        let _ = later.write_all(&response(OK));
    });
    is_written
}

/// Ends a call on a thread of its own, so that the copy is not held up.
fn end_later(out: &TcpStream, ending: Ending) {
    let mut out = out.try_clone().unwrap();
    thread::spawn(move || {
        thread::sleep(OWN_ANSWER_AFTER);
        let _ = match ending {
            Ending::Status(status) => out.write_all(&response(status)),
            Ending::ClosedInOrder => out.shutdown(std::net::Shutdown::Write),
            Ending::NoAnswer => Ok(()),
        };
    });
}

impl DelayingEndpoint {
    fn new(copy_delay: Duration, ending: Ending) -> DelayingEndpoint {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let calls: Arc<Mutex<Vec<(String, SocketAddr)>>> = Arc::default();
        let seen = calls.clone();
        serve(listener, move |request: Request, out| {
            let id = request.ids().remove(0);
            let is_first = {
                let mut seen = seen.lock().unwrap();
                let is_first = !seen.iter().any(|(other, _)| *other == id);
                seen.push((id.clone(), out.peer_addr().unwrap()));
                is_first
            };
            if id == "b2" && is_first {
                end_later(out, ending);
                return true;
            }
            match id.starts_with('a') {
                true => write_with_copy(out, copy_delay),
                false => out.write_all(&response(OK)).is_ok(),
            }
        });
        DelayingEndpoint { address, calls }
    }

    fn calls_of(&self, id: &str) -> usize {
        self.calls.lock().unwrap().iter().filter(|(other, _)| other == id).count()
    }

    fn connection_of(&self, id: &str) -> Option<SocketAddr> {
        self.calls.lock().unwrap().iter().find(|(other, _)| other == id).map(|&(_, peer)| peer)
    }
}

fn courier_at(endpoint: &DelayingEndpoint, connect_timeout: Duration) -> (Platform, Courier) {
    let platform = Platform::new();
    platform.set_entry("e1", endpoint.address, "single", 7, "SERVING");
    let courier = Courier::start(&platform, |config| {
        config["settings"]["Limits"]["ConnectTimeoutUs"] = (connect_timeout.as_micros() as u64).into();
    });
    (platform, courier)
}

fn send(courier: &Courier, endpoint: &DelayingEndpoint, id: &str, class: &str) {
    assert_eq!(courier.client().put(id, class, LIFETIME), "+OK");
    wait_until("the call", || endpoint.calls_of(id) > 0);
}

/// The message `b2` is neither delivered by its first call nor may it be forgotten.
fn expect_end(courier: &Courier, platform: &Platform, endpoint: &DelayingEndpoint, what: &str) {
    let is_told = || platform.notices().iter().any(|(id, _)| id == "b2");
    wait_until_within(Duration::from_secs(8), &format!("an end of b2: {what}"), || {
        endpoint.calls_of("b2") > 1 || is_told()
    });
    wait_until("nothing is owed", || courier.owes_nothing());
}

/// Guards against a message that is lost behind a copy of the answer before: its own call fails late, or is never answered.
#[test]
fn a_message_whose_call_meets_a_copy_on_its_way_and_fails_late_is_not_lost() {
    let endings = [
        Ending::Status("500 Error"),
        Ending::Status("503 Busy"),
        Ending::Status("409 Conflict"),
        Ending::ClosedInOrder,
        Ending::NoAnswer,
    ];
    for ending in endings {
        thread::scope(|scope| {
            for class in EFFECTS {
                scope.spawn(move || {
                    let endpoint = DelayingEndpoint::new(SHORT_COPY_DELAY, ending);
                    let (platform, courier) = courier_at(&endpoint, Duration::from_millis(100));
                    send(&courier, &endpoint, "a1", "again");
                    wait_until("the first answer", || courier.owes_nothing());
                    send(&courier, &endpoint, "b2", class);
                    expect_end(&courier, &platform, &endpoint, &format!("{class}, {ending:?}"));
                });
            }
        });
    }
}

/// Guards against copies that come later than connections rest, where one has been seen: the next calls wait for longer.
#[test]
fn a_copy_that_came_late_makes_connections_rest_for_longer() {
    let endpoint = DelayingEndpoint::new(LONG_COPY_DELAY, Ending::Status("500 Error"));
    let (platform, courier) = courier_at(&endpoint, Duration::from_millis(100));
    send(&courier, &endpoint, "a1", "again");
    thread::sleep(2 * LONG_COPY_DELAY);
    send(&courier, &endpoint, "a2", "again");
    thread::sleep(SHORT_REST);
    send(&courier, &endpoint, "b2", "again");
    assert_ne!(endpoint.connection_of("a2"), endpoint.connection_of("b2"));
    expect_end(&courier, &platform, &endpoint, "behind a copy that was seen");
}

/// Guards against a held delivery that is confirmed although a copy on another connection has shown, meanwhile, that its
/// connection had not rested for long enough.
#[test]
fn a_late_copy_elsewhere_leaves_a_held_delivery_unproven() {
    let endpoint = DelayingEndpoint::new(LONG_COPY_DELAY, Ending::NoAnswer);
    let (platform, courier) = courier_at(&endpoint, Duration::from_millis(300));
    send(&courier, &endpoint, "a1", "again");
    thread::sleep(SHORT_REST);
    send(&courier, &endpoint, "b2", "once");
    send(&courier, &endpoint, "a3", "again");
    expect_end(&courier, &platform, &endpoint, "behind a copy that was seen elsewhere");
}
