//! A courier whose ask is answered late once, while its relay's watch speaks on, keeps what it has.

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
use meadowhold_courier::relays::{follow, Guard};

#[derive(Default)]
struct Heard {
    lists: usize,
}

impl Listener for Heard {
    fn apply_update(&mut self, list: &Update) {
        self.lists += usize::from(list.whole);
    }

    fn count_after(&self, _: &Update) -> usize {
        0
    }

    fn hold_calls(&mut self) {}

    fn release_calls(&mut self) {}
}

/// Answers asks, the third a second late, and tells the list whole where all of it is asked for; a watch gets a line
/// without a word ten times a second.
fn serve(mut stream: TcpStream, asks: &AtomicUsize, wholes: &AtomicUsize) -> Option<()> {
    let mut lines = BufReader::new(stream.try_clone().ok()?);
    loop {
        let mut head = String::new();
        while !head.ends_with("\r\n\r\n") {
            if lines.read_line(&mut head).ok()? == 0 {
                return None;
            }
        }
        let body = if head.starts_with("GET /relay/held") {
            if asks.fetch_add(1, Ordering::SeqCst) == 2 {
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
            wholes.fetch_add(1, Ordering::SeqCst);
            "{\"index\":1,\"snapshot\":true,\"endpoints\":[]}\n"
        };
        let length = body.len();
        write!(stream, "HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}").ok()?;
    }
}

#[test]
fn a_late_answer_beside_a_watch_that_speaks_does_not_have_the_whole_list_told_anew() {
    let (asks, wholes) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at: SocketAddr = listener.local_addr().unwrap();
    let counts = (asks.clone(), wholes.clone());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (asks, wholes) = counts.clone();
            thread::spawn(move || serve(stream, &asks, &wholes));
        }
    });
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let heard = Rc::new(RefCell::new(Heard::default()));
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let guard = Rc::new(RefCell::new(Guard::new(heard.clone(), 0)));
        let limits = Limits { entries: 100, bytes: 1 << 20 };
        let follows = follow(guard, Clock::new(), "c1".to_string(), vec![at], (limits, 1));
        let eight = async {
            while asks.load(Ordering::SeqCst) < 8 {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        let longest = tokio::time::timeout(Duration::from_secs(30), eight);
        tokio::select! {
            () = follows => panic!("it ended"),
            done = longest => done.expect("eight asks in time"),
        }
    });
    assert_eq!((wholes.load(Ordering::SeqCst), heard.borrow().lists), (1, 1));
}
