//! A courier keeps its list if one query is answered late while data still arrives on the relay's watch.

use std::cell::RefCell;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use meadowhold_courier::discovery::Listener;
use meadowhold_courier::entries::Update;
use meadowhold_courier::exchange::Clock;
use meadowhold_courier::reader::Limits;
use meadowhold_courier::relays::{follow, VersionFilter};

#[derive(Default)]
struct SnapshotCounter {
    snapshots: usize,
}

impl Listener for SnapshotCounter {
    fn apply_update(&mut self, list: &Update) {
        self.snapshots += usize::from(list.whole);
    }

    fn count_after(&self, _: &Update) -> usize {
        0
    }

    fn hold_calls(&mut self) {}

    fn release_calls(&mut self) {}
}

/// Answers queries, the third one a second late, and requests for the whole list. A watch receives an empty line ten
/// times a second.
fn serve(mut stream: TcpStream, queries: &AtomicUsize, snapshot_requests: &AtomicUsize) -> Option<()> {
    let mut lines = BufReader::new(stream.try_clone().ok()?);
    loop {
        let mut head = String::new();
        while !head.ends_with("\r\n\r\n") {
            if lines.read_line(&mut head).ok()? == 0 {
                return None;
            }
        }
        let body = if head.starts_with("GET /relay/held") {
            if queries.fetch_add(1, Ordering::SeqCst) == 2 {
                thread::sleep(Duration::from_secs(1));
            }
            "{\"epoch\":0,\"index\":1}"
        } else if head.contains("watch=1") && !head.contains("after=0") {
            stream.write_all(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n").ok()?;
            loop {
                stream.write_all(b"1\r\n\n\r\n").ok()?;
                thread::sleep(Duration::from_millis(100));
            }
        } else {
            snapshot_requests.fetch_add(1, Ordering::SeqCst);
            "{\"index\":1,\"snapshot\":true,\"endpoints\":[]}\n"
        };
        let length = body.len();
        write!(stream, "HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}").ok()?;
    }
}

#[test]
fn a_late_answer_does_not_fetch_the_list_again_while_the_watch_is_alive() {
    let (queries, snapshot_requests) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address: SocketAddr = listener.local_addr().unwrap();
    let counts = (queries.clone(), snapshot_requests.clone());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (queries, snapshot_requests) = counts.clone();
            thread::spawn(move || serve(stream, &queries, &snapshot_requests));
        }
    });
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let counter = Rc::new(RefCell::new(SnapshotCounter::default()));
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let filter = Rc::new(RefCell::new(VersionFilter::new(counter.clone(), 0)));
        let limits = Limits { entries: 100, bytes: 1 << 20 };
        let following = follow(filter, Clock::new(), "c1".to_string(), vec![address], (limits, 1));
        let eight_queries = async {
            while queries.load(Ordering::SeqCst) < 8 {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        let result = tokio::time::timeout(Duration::from_secs(30), eight_queries);
        tokio::select! {
            () = following => panic!("`follow` returned"),
            done = result => done.expect("eight queries within 30 s"),
        }
    });
    assert_eq!((snapshot_requests.load(Ordering::SeqCst), counter.borrow().snapshots), (1, 1));
}
