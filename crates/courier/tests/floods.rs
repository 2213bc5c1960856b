//! Far sides that send without end, as fast as the courier reads: the one thread must go on serving the others. Each test
//! measures the longest time that another client's PING takes meanwhile.

mod common;

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use common::{put, serve, wait_until, Courier, Platform, Request};
use serde_json::json;

/// How long a client waits for an answer.
const CLIENT_PATIENCE: Duration = Duration::from_millis(400);
const FLOOD_DURATION: Duration = Duration::from_millis(1500);
const PING_PAUSE: Duration = Duration::from_millis(5);
const BLOCK_SIZE: usize = 1 << 20;
const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Something that begins and never ends: a text, and one that is then sent again and again.
#[derive(Clone, Copy)]
struct Flood {
    begin: &'static str,
    repeated: &'static str,
}

const TRAILER_LINES: Flood =
    Flood { begin: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", repeated: "a\n" };
const INTERIM_ANSWERS: Flood = Flood { begin: "", repeated: "HTTP/1.1 100 Continue\r\n\r\n" };
const HEAD_LINES: Flood = Flood { begin: "HTTP/1.1 200 OK\r\n", repeated: "a: b\r\n" };
const SMALL_CHUNKS: Flood = Flood { begin: CHUNKED, repeated: "1\r\nx\r\n" };
const CHUNK_EXTENSIONS: Flood = Flood {
    begin: CHUNKED,
    repeated: "1;aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\nx\r\n",
};
const DECLARED_LENGTH: Flood =
    Flood { begin: "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n", repeated: "x" };
const UNTIL_CLOSE: Flood = Flood { begin: "HTTP/1.1 200 OK\r\n\r\n", repeated: "x" };
const ANSWERS: Flood = Flood { begin: "", repeated: "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" };
const REFUSAL_TRAILER: Flood =
    Flood { begin: "HTTP/1.1 503 Busy\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", repeated: "a\n" };

/// The floods that are sent until they are over, and how many bytes of them were taken.
#[derive(Clone, Default)]
struct Sender {
    is_over: Arc<AtomicBool>,
    sent: Arc<AtomicU64>,
}

impl Sender {
    /// Sends a flood until the connection is closed or the test is over.
    fn send(&self, flood: Flood, out: &mut TcpStream) {
        let _ = out.write_all(flood.begin.as_bytes());
        let block = flood.repeated.repeat(BLOCK_SIZE / flood.repeated.len());
        while !self.is_over.load(Ordering::Relaxed) && out.write_all(block.as_bytes()).is_ok() {
            self.sent.fetch_add(block.len() as u64, Ordering::Relaxed);
        }
    }

    fn end(&self) {
        self.is_over.store(true, Ordering::Relaxed);
    }
}

/// An endpoint that answers each call with the flood.
fn flooding_endpoint(flood: Flood, sender: &Sender) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (address, sender) = (listener.local_addr().unwrap(), sender.clone());
    serve(listener, move |_, out| {
        sender.send(flood, out);
        false
    });
    address
}

/// Hands in messages, and returns the longest time that a client waited for PONG meanwhile.
fn longest_wait(courier: &Courier, lifetime: &str) -> Duration {
    let (mut offers, mut pings) = (courier.client(), courier.client());
    let (start, mut longest, mut number) = (Instant::now(), Duration::ZERO, 0);
    while start.elapsed() < FLOOD_DURATION {
        number += 1;
        if number % 4 == 0 {
            offers.request(&put("0", &format!("m{number}"), "again", lifetime, b"hello"));
        }
        let asked_at = Instant::now();
        pings.request(b"PING\r\n");
        longest = longest.max(asked_at.elapsed());
        thread::sleep(PING_PAUSE);
    }
    longest
}

/// The longest waits of the plays of a test.
#[derive(Default)]
struct Waits(Vec<(String, Duration)>);

impl Waits {
    fn add(&mut self, what: &str, sender: &Sender, longest: Duration) {
        sender.end();
        let megabytes = sender.sent.load(Ordering::Relaxed) >> 20;
        println!("{what}: {} ms, {megabytes} MiB were taken", longest.as_millis());
        self.0.push((what.to_string(), longest));
    }

    fn check(self) {
        let too_long: Vec<_> =
            self.0.into_iter().filter(|(_, longest)| *longest >= CLIENT_PATIENCE).collect();
        assert!(too_long.is_empty(), "a client waited too long: {too_long:?}");
    }
}

fn play_endpoints(waits: &mut Waits, what: &str, flood: Flood, endpoints: u64) {
    let (platform, sender) = (Platform::new(), Sender::default());
    for number in 0..endpoints {
        let address = flooding_endpoint(flood, &sender);
        platform.set_entry(&format!("e{number}"), address, "single", 7, "SERVING");
    }
    let courier = Courier::start(&platform, |_| {});
    let longest = longest_wait(&courier, "d=1000");
    waits.add(what, &sender, longest);
}

/// Guards against an answer of an endpoint, in any of its parts, that keeps the courier from serving others.
#[test]
fn an_answer_without_end_keeps_nobody_waiting() {
    let mut waits = Waits::default();
    for (what, flood) in [
        ("trailer lines", TRAILER_LINES),
        ("trailer lines of a refusal", REFUSAL_TRAILER),
        ("interim answers", INTERIM_ANSWERS),
        ("head lines", HEAD_LINES),
        ("small chunks", SMALL_CHUNKS),
        ("chunk extensions", CHUNK_EXTENSIONS),
        ("declared length", DECLARED_LENGTH),
        ("until close", UNTIL_CLOSE),
        ("answers", ANSWERS),
    ] {
        play_endpoints(&mut waits, what, flood, 1);
    }
    waits.check();
}

/// Guards against answers without end on a kept connection, where each is like the one before.
#[test]
fn copies_of_an_answer_without_end_keep_nobody_waiting() {
    let mut waits = Waits::default();
    let (platform, sender) = (Platform::new(), Sender::default());
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    platform.set_entry("e0", listener.local_addr().unwrap(), "single", 7, "SERVING");
    let (flooder, calls) = (sender.clone(), AtomicU64::new(0));
    serve(listener, move |_, out| {
        if calls.fetch_add(1, Ordering::Relaxed) % 4 == 3 {
            flooder.send(ANSWERS, out);
            return false;
        }
        out.write_all(ANSWERS.repeated.as_bytes()).is_ok()
    });
    let courier = Courier::start(&platform, |_| {});
    let longest = longest_wait(&courier, "d=1000");
    waits.add("copies", &sender, longest);
    waits.check();
}

/// Guards against many such answers at once, each of which alone is bounded.
#[test]
fn many_answers_without_end_keep_nobody_waiting() {
    let mut waits = Waits::default();
    for (what, flood) in [("trailer lines", TRAILER_LINES), ("interim answers", INTERIM_ANSWERS)] {
        play_endpoints(&mut waits, what, flood, 8);
    }
    waits.check();
}

/// A platform whose answers to requests for the list, or to notices, never end.
fn flooding_platform(
    flood: Flood,
    floods: fn(&Request) -> bool,
    list: String,
    sender: &Sender,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (address, sender) = (listener.local_addr().unwrap(), sender.clone());
    serve(listener, move |request, out| {
        if floods(&request) {
            sender.send(flood, out);
            return false;
        }
        let answer = match &request.target[..] {
            "/v1/notices" => "HTTP/1.1 204 No Content\r\n\r\n".to_string(),
            target if target.contains("watch=1") => {
                let line = format!("{list}\n");
                format!("{CHUNKED}{:x}\r\n{line}\r\n", line.len())
            }
            _ => format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len()),
        };
        out.write_all(answer.as_bytes()).is_ok()
    });
    address
}

/// Guards against answers of the platform that keep the courier from serving others: to a notice, to a request for the
/// list, and to a watch.
#[test]
fn an_answer_of_the_platform_without_end_keeps_nobody_waiting() {
    let mut waits = Waits::default();
    let is_notice: fn(&Request) -> bool = |request| request.target == "/v1/notices";
    let is_list: fn(&Request) -> bool =
        |request| request.target.starts_with("/catalog") && !request.target.contains("watch=1");
    let is_watch: fn(&Request) -> bool = |request| request.target.contains("watch=1");
    let list_blanks = Flood { begin: CHUNKED, repeated: "2\r\n  \r\n" };
    for (what, floods, flood) in [
        ("interim answers to a notice", is_notice, INTERIM_ANSWERS),
        ("trailer lines to a notice", is_notice, TRAILER_LINES),
        ("small chunks to a notice", is_notice, SMALL_CHUNKS),
        ("head lines to a notice", is_notice, HEAD_LINES),
        ("interim answers for the list", is_list, INTERIM_ANSWERS),
        ("trailer lines for the list", is_list, TRAILER_LINES),
        ("blanks for the list", is_list, list_blanks),
        ("interim answers for the watch", is_watch, INTERIM_ANSWERS),
        ("trailer lines for the watch", is_watch, TRAILER_LINES),
        ("blanks for the watch", is_watch, list_blanks),
    ] {
        let (known, sender) = (Platform::new(), Sender::default());
        let endpoint = common::Endpoint::new(&vec![common::Reply::Status(500, ""); 4096]);
        known.set_entry("e0", endpoint.address, "single", 7, "SERVING");
        let list = known.list_json().to_string();
        let address = flooding_platform(flood, floods, list, &sender);
        let courier = Courier::start(&known, |config| config["discovery"] = json!(address.to_string()));
        wait_until("a flood", || {
            courier.client().put("n0", "once", "d=100");
            sender.sent.load(Ordering::Relaxed) > 0 || what.contains("head lines")
        });
        let longest = longest_wait(&courier, "d=200");
        waits.add(what, &sender, longest);
    }
    waits.check();
}

/// Guards against a client whose commands never end.
#[test]
fn a_client_that_sends_without_end_keeps_nobody_waiting() {
    let mut waits = Waits::default();
    for (what, repeated) in [("pings", "PING\r\n"), ("empty lines", "\r\n"), ("a line", "x")] {
        let (platform, sender) = (Platform::new(), Sender::default());
        let endpoint = common::Endpoint::new(&[]);
        platform.set_entry("e0", endpoint.address, "single", 7, "SERVING");
        let courier = Courier::start(&platform, |_| {});
        let (listen, flooder) = (courier.listen, sender.clone());
        thread::spawn(move || {
            while !flooder.is_over.load(Ordering::Relaxed) {
                let Ok(mut out) = TcpStream::connect(listen) else { return };
                let mut unread = out.try_clone().unwrap();
                thread::spawn(move || std::io::copy(&mut unread, &mut std::io::sink()));
                flooder.send(Flood { begin: "", repeated }, &mut out);
            }
        });
        let longest = longest_wait(&courier, "d=1000");
        waits.add(what, &sender, longest);
    }
    waits.check();
}
