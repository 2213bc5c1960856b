//! A discovery that answers late: its list must be heard all the same, and no message may go by an old one.

mod common;

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::{wait_until_within, Courier, Endpoint, Platform};
use serde_json::{json, Value};

/// From when on a list counts as told: the protocol's six seconds, and 50 ms as every time limit.
const TOLD_AFTER: Duration = Duration::from_millis(6050);
const EMPTY_LINE_INTERVAL: Duration = Duration::from_millis(500);

/// How late a part of each answer about the list comes.
#[derive(Clone, Copy, Debug, Default)]
struct Delays {
    head: Duration,
    body: Duration,
}

/// A discovery whose answers about the list come late.
struct SlowDiscovery {
    address: SocketAddr,
    list: Arc<Mutex<Value>>,
    requests: Arc<Mutex<usize>>,
}

impl SlowDiscovery {
    fn new(list: Value, delays: Delays) -> SlowDiscovery {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (list, requests) = (Arc::new(Mutex::new(list)), Arc::new(Mutex::new(0)));
        let discovery = SlowDiscovery { address, list: list.clone(), requests: requests.clone() };
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (list, requests) = (list.clone(), requests.clone());
                thread::spawn(move || answer(stream, &list, &requests, delays));
            }
        });
        discovery
    }

    fn requests(&self) -> usize {
        *self.requests.lock().unwrap()
    }
}

/// Answers one request about the list.
fn answer(mut stream: TcpStream, list: &Mutex<Value>, requests: &Mutex<usize>, delays: Delays) -> Option<()> {
    let mut lines = BufReader::new(stream.try_clone().ok()?).lines();
    let target = lines.next()?.ok()?;
    while !lines.next()?.ok()?.is_empty() {}
    *requests.lock().unwrap() += 1;
    thread::sleep(delays.head);
    if !target.contains("watch=1") {
        let text = list.lock().unwrap().to_string();
        write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", text.len()).ok()?;
        let (first, rest) = text.split_at(text.len() / 2);
        stream.write_all(first.as_bytes()).ok()?;
        thread::sleep(delays.body);
        return stream.write_all(rest.as_bytes()).ok();
    }
    write!(stream, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").ok()?;
    let mut sent = target.split("after=").nth(1)?.split(' ').next()?.parse::<u64>().ok()?;
    loop {
        let current = list.lock().unwrap().clone();
        let index = current["index"].as_u64()?;
        let line = if index > sent { format!("{current}\n") } else { "\n".to_string() };
        sent = index;
        write!(stream, "{:x}\r\n{line}\r\n", line.len()).ok()?;
        thread::sleep(EMPTY_LINE_INTERVAL);
    }
}

fn entry(name: &str, address: SocketAddr, group: u64) -> Value {
    json!({"name": name, "address": address.to_string(), "zone": "a", "type": "single", "group": group,
        "status": "SERVING", "weight": 1000.0, "since_ms": 0})
}

fn list(index: u64, entries: &[Value]) -> Value {
    json!({"index": index, "snapshot": true, "endpoints": entries})
}

/// Which endpoint got each message: the one of another destination, or that of its own.
struct Calls {
    foreign: Endpoint,
    own: Endpoint,
    sent: BTreeMap<String, Instant>,
}

impl Calls {
    /// Hands in a message each 100 ms until a time.
    fn send_until(&mut self, courier: &Courier, prefix: &str, end: Instant) {
        let mut client = courier.client();
        while Instant::now() < end {
            let id = format!("{prefix}{:03}", self.sent.len());
            self.sent.insert(id.clone(), Instant::now());
            assert_eq!(client.put(&id, "again", "d=4000"), "+OK");
            thread::sleep(Duration::from_millis(100));
        }
    }

    /// The messages at the foreign endpoint that were handed in from a time on.
    fn foreign_from(&self, told: Instant) -> Vec<String> {
        self.foreign.ids().into_iter().filter(|id| self.sent[id] >= told).collect()
    }
}

/// The list of before names the foreign endpoint for destination 7. Discovery has another one from the start, or after a
/// change. Returns the requests that discovery got.
fn expect_heard(mode: &'static str, delays: Delays, is_change: bool) -> usize {
    let mut calls = Calls { foreign: Endpoint::new(&[]), own: Endpoint::new(&[]), sent: BTreeMap::new() };
    let (foreign, own) = (calls.foreign.address, calls.own.address);
    let before = list(41, &[entry("s-1", foreign, 7)]);
    let after = list(43, &[entry("s-2", foreign, 9), entry("s-3", own, 7)]);
    let discovery = SlowDiscovery::new(if is_change { before.clone() } else { after.clone() }, delays);
    let courier = Courier::start(&Platform::new(), |config| {
        config["discovery"] = json!(discovery.address.to_string());
        config["known"] = before;
        config["settings"]["MembershipMode"] = json!(mode);
    });
    if is_change {
        calls.send_until(&courier, "a", Instant::now() + Duration::from_secs(4));
        *discovery.list.lock().unwrap() = after;
    }
    let told = Instant::now() + TOLD_AFTER;
    calls.send_until(&courier, "b", told + Duration::from_secs(1));
    wait_until_within(Duration::from_secs(5), "nothing is owed", || courier.owes_nothing());
    let (foreign, own) = (calls.foreign_from(told), calls.own.ids().len());
    let what = format!("{mode}, {delays:?}, change: {is_change}");
    println!("{what}: {own} at the own endpoint, {} requests", discovery.requests());
    assert!(foreign.is_empty() && own > 0, "{what}: {} went to another destination's", foreign.len());
    discovery.requests()
}

/// Guards against a list that is never heard because each request for it is given up before its answer: messages go to the
/// endpoint of another destination for as long as discovery is slow.
#[test]
fn a_slow_discovery_is_heard_within_six_seconds() {
    let late = |milliseconds| Delays { head: Duration::from_millis(milliseconds), ..Delays::default() };
    let dripping = |milliseconds| Delays { body: Duration::from_millis(milliseconds), ..Delays::default() };
    let rows = [
        ("push", late(500), false),
        ("push", late(2000), false),
        ("push", dripping(2500), false),
        ("ask", late(1500), false),
        ("ask", late(3000), false),
        ("ask", dripping(2500), false),
        ("push", late(500), true),
        ("push", late(1500), true),
    ];
    thread::scope(|scope| {
        for (mode, delays, is_change) in rows {
            scope.spawn(move || expect_heard(mode, delays, is_change));
        }
    });
}

/// Guards against a watch that is given up before its headers: a slow discovery would be asked without end.
#[test]
fn a_slow_discovery_is_watched() {
    let delays = Delays { head: Duration::from_millis(500), body: Duration::ZERO };
    let requests = expect_heard("push", delays, false);
    assert!(requests <= 8, "{requests} requests in seven seconds");
}
