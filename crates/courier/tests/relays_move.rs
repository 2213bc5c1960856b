//! A courier that loses its relay continues at another one from the content that it holds, if that relay can check it.

mod common;

use std::cell::RefCell;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use common::serve;
use meadowhold_catalog::content::ContentHash;
use meadowhold_courier::discovery::Listener;
use meadowhold_courier::entries::Update;
use meadowhold_courier::exchange::Clock;
use meadowhold_courier::reader::Limits;
use meadowhold_courier::relays::{follow, VersionFilter};
use serde_json::json;

/// Received lists: the index, and whether it was a whole list.
#[derive(Default)]
struct ReceivedLists(Vec<(u64, bool)>);

impl Listener for ReceivedLists {
    fn apply_update(&mut self, list: &Update) {
        self.0.push((list.index, list.whole));
    }

    fn count_after(&self, _: &Update) -> usize {
        0
    }

    fn hold_calls(&mut self) {}

    fn release_calls(&mut self) {}
}

fn entry(weight: f64) -> String {
    json!({"name": "e1", "address": "127.0.0.1:9", "zone": "a", "type": "single", "group": 7,
        "status": "SERVING", "weight": weight, "since_ms": 0})
    .to_string()
}

/// The entry as relays send and hash it, with the fields in this order.
fn relay_text(weight: &str) -> String {
    format!(
        "{{\"name\":\"e1\",\"address\":\"127.0.0.1:9\",\"zone\":\"a\",\"type\":\"single\",\"group\":7,\
         \"status\":\"SERVING\",\"weight\":{weight},\"since_ms\":0}}"
    )
}

struct Relay {
    address: SocketAddr,
    targets: Arc<Mutex<Vec<String>>>,
    is_down: Arc<Mutex<bool>>,
}

impl Relay {
    /// Reports that it holds version 5. A watch from the content with the weight `known_weight` receives empty lines
    /// only, any other the whole list of version 6.
    fn new(known_weight: &'static str) -> Relay {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let targets: Arc<Mutex<Vec<String>>> = Arc::default();
        let is_down: Arc<Mutex<bool>> = Arc::default();
        let (recorded, down) = (targets.clone(), is_down.clone());
        serve(listener, move |request, out| {
            recorded.lock().unwrap().push(request.target.clone());
            if *down.lock().unwrap() {
                return false;
            }
            if request.target.contains("watch=1") {
                return watch(&request.target, known_weight, &down, out);
            }
            let body = match request.target.starts_with("/relay/held") {
                true => "{\"epoch\":0,\"index\":5,\"resumes\":true}".to_string(),
                false => format!("{{\"index\":5,\"snapshot\":true,\"endpoints\":[{}]}}\n", entry(1.0)),
            };
            write!(out, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).is_ok()
        });
        Relay { address, targets, is_down }
    }

    fn snapshot_requests(&self) -> usize {
        self.targets.lock().unwrap().iter().filter(|target| *target == "/catalog/members").count()
    }

    fn watches(&self) -> Vec<String> {
        let targets = self.targets.lock().unwrap();
        targets.iter().filter(|target| target.contains("watch=1")).cloned().collect()
    }
}

fn watch(target: &str, known_weight: &str, down: &Mutex<bool>, out: &mut TcpStream) -> bool {
    let mut content = ContentHash::default();
    content.insert("e1", relay_text(known_weight).as_bytes());
    let agrees = target.ends_with(&format!("after=5&hash={:016x}", content.value()));
    // The relay that is followed first has no changes.
    let line = match (agrees, known_weight) {
        (true, _) => "\n".to_string(),
        (false, _) => format!("{{\"index\":6,\"snapshot\":true,\"endpoints\":[{}]}}\n", entry(2.0)),
    };
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let _ = write!(out, "{head}{:x}\r\n{line}\r\n", line.len());
    while !*down.lock().unwrap() {
        if out.write_all(b"1\r\n\n\r\n").is_err() {
            return false;
        }
        thread::sleep(Duration::from_millis(50));
    }
    false
}

/// Follows the list at the first relay, which goes down once it is followed, and then at the second until a watch there
/// has been open for half a second.
fn run_move(first: &Relay, second: &Relay) -> Vec<(u64, bool)> {
    let lists = Rc::new(RefCell::new(ReceivedLists::default()));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let filter = Rc::new(RefCell::new(VersionFilter::new(lists.clone(), 0)));
        let limits = Limits { entries: 100, bytes: 1 << 20 };
        // The second relay is down at first, so that the first is followed even if the second ranks higher.
        *second.is_down.lock().unwrap() = true;
        let relays = vec![first.address, second.address];
        let following = follow(filter, Clock::new(), "c1".to_string(), relays, (limits, 1));
        let moved = async {
            while first.watches().is_empty() {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            *second.is_down.lock().unwrap() = false;
            *first.is_down.lock().unwrap() = true;
            while second.watches().is_empty() {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            tokio::time::sleep(Duration::from_millis(500)).await;
        };
        tokio::select! {
            () = following => panic!("`follow` returned"),
            done = tokio::time::timeout(Duration::from_secs(30), moved) => done.expect("a move within 30 s"),
        }
    });
    let received = lists.borrow().0.clone();
    received
}

/// Guards against fetching the whole list on a move although the new relay has held the same content.
#[test]
fn a_move_to_a_relay_with_the_same_content_requests_no_whole_list() {
    let (first, second) = (Relay::new("1.0"), Relay::new("1.0"));
    let received = run_move(&first, &second);
    assert_eq!((first.snapshot_requests(), second.snapshot_requests()), (1, 0));
    assert_eq!(received, [(5, true)]);
}

/// Guards against applying changes to content that is not held, as after a gap of which one relay sent only a part.
#[test]
fn a_move_to_a_relay_with_other_content_at_the_same_index_gets_the_whole_list() {
    let (first, second) = (Relay::new("1.0"), Relay::new("3.0"));
    let received = run_move(&first, &second);
    assert_eq!(received, [(5, true), (6, true)]);
    assert!(second.watches()[0].contains("after=5&hash="), "{:?}", second.watches());
}
