//! An agent of the list that is replaced by a new process at its address, which counts its versions anew.

mod common;

use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use common::{unique_address, Courier, Endpoint, Platform, OK};
use serde_json::{json, Value};

const POLL: Duration = Duration::from_millis(5);
/// How long nobody listens at the agent's address.
const OUTAGE: Duration = Duration::from_millis(400);
/// A list counts as told this long after discovery has it and can be reached.
const TOLD_AFTER: Duration = Duration::from_secs(6);

/// An agent's process: it answers each request with the same list, and leaves a watch open.
struct Agent {
    is_over: Arc<AtomicBool>,
    thread: JoinHandle<()>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Agent {
    fn start(address: SocketAddr, list: &Value) -> Agent {
        let listener = TcpListener::bind(address).unwrap();
        listener.set_nonblocking(true).unwrap();
        let (is_over, open) = (Arc::new(AtomicBool::new(false)), Arc::<Mutex<Vec<TcpStream>>>::default());
        let (over, all, text) = (is_over.clone(), open.clone(), list.to_string());
        let thread = thread::spawn(move || {
            while !over.load(Ordering::Relaxed) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(POLL);
                    continue;
                };
                stream.set_nonblocking(false).unwrap();
                all.lock().unwrap().push(stream.try_clone().unwrap());
                let text = text.clone();
                thread::spawn(move || answer(stream, &text));
            }
        });
        Agent { is_over, thread, open }
    }

    /// Ends the process: its connections are reset, and nobody listens.
    fn end(self) {
        self.is_over.store(true, Ordering::Relaxed);
        self.thread.join().unwrap();
        self.open.lock().unwrap().drain(..).for_each(|stream| drop(stream.shutdown(Shutdown::Both)));
    }
}

fn answer(mut stream: TcpStream, list: &str) {
    let mut text = Vec::new();
    let mut part = [0; 4096];
    while !text.windows(4).any(|end| end == b"\r\n\r\n") {
        match std::io::Read::read(&mut stream, &mut part) {
            Ok(read @ 1..) => text.extend_from_slice(&part[..read]),
            _ => return,
        }
    }
    let text = String::from_utf8_lossy(&text).into_owned();
    if text.starts_with("POST") {
        let _ = stream.write_all(b"HTTP/1.1 204 No Content\r\n\r\n");
    } else if text.contains("watch=1") {
        let line = format!("{list}\n");
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        let _ = stream.write_all(format!("{head}{:x}\r\n{line}\r\n", line.len()).as_bytes());
        // An empty line every two seconds.
        while stream.write_all(b"1\r\n\n\r\n").is_ok() {
            thread::sleep(Duration::from_secs(2));
        }
    } else {
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
        let _ = stream.write_all(answer.as_bytes());
    }
}

fn list(index: u64, entries: &[(&str, SocketAddr, u64)]) -> Value {
    let entry = |(name, address, group): &(&str, SocketAddr, u64)| {
        json!({"name": name, "address": address.to_string(), "zone": "a", "type": "single", "group": group,
            "status": "SERVING", "weight": 1000.0, "since_ms": 0})
    };
    json!({"index": index, "snapshot": true, "endpoints": entries.iter().map(entry).collect::<Vec<_>>()})
}

/// Guards against a new agent that is taken for the old one, so that its list is passed over as an older one: calls go on to
/// an address that is another destination's by now.
#[test]
fn the_list_of_a_new_agent_that_counts_anew_is_in_force_in_time() {
    let (first, second) = (Endpoint::new(&vec![OK; 4096]), Endpoint::new(&vec![OK; 4096]));
    let address = unique_address();
    let before = list(41, &[("e0", first.address, 7)]);
    // The first address belongs to another destination.
    let after = list(1, &[("e1", first.address, 8), ("e2", second.address, 7)]);
    let agent = Agent::start(address, &before);
    let courier = Courier::start(&Platform::new(), |config| {
        config["discovery"] = json!(address.to_string());
        config["known"] = before.clone();
    });
    let mut client = courier.client();
    assert_eq!(client.put("before", "again", "d=3000"), "+OK");
    common::wait_until("a call by the first list", || !first.ids().is_empty());
    agent.end();
    thread::sleep(OUTAGE);
    let _agent = Agent::start(address, &after);
    let restarted_at = Instant::now();
    let mut number = 0;
    while restarted_at.elapsed() < TOLD_AFTER + Duration::from_secs(1) {
        number += 1;
        client.put(&format!("m{number}"), "again", "d=3000");
        thread::sleep(Duration::from_millis(50));
    }
    let late = first.calls().iter().filter(|call| call.at > restarted_at + TOLD_AFTER).count();
    assert_eq!(late, 0, "calls at another destination's address");
    assert!(second.ids().len() > 10, "{}", second.ids().len());
}
