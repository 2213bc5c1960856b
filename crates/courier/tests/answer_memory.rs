//! Memory of a courier whose endpoints send bodies that never end.

mod common;

use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::Duration;

use common::{put, serve, Courier, Platform};
use serde_json::json;

/// The least memory of the platform, in megabytes.
const MEMORY_MB: u64 = 32;
const ENDPOINTS: usize = 8;
const MESSAGES: usize = 400;
const MESSAGE_PAUSE: Duration = Duration::from_millis(5);
/// An endpoint sends a block in each pause: a megabyte in a second.
const BLOCK: usize = 4 << 10;
const BLOCK_PAUSE: Duration = Duration::from_millis(4);
/// Guards the test's threads against an endless body that nobody cuts off.
const MAX_BLOCKS: usize = 2000;

/// An endpoint that answers each call with a head and then with chunks, or plain bytes, without end.
fn endless_endpoint(head: &'static str, is_chunked: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let bytes = "x".repeat(BLOCK);
    let block = if is_chunked { format!("{BLOCK:x}\r\n{bytes}\r\n") } else { bytes };
    serve(listener, move |_, out| {
        let _ = out.write_all(head.as_bytes());
        for _ in 0..MAX_BLOCKS {
            if out.write_all(block.as_bytes()).is_err() {
                break;
            }
            thread::sleep(BLOCK_PAUSE);
        }
        false
    });
    address
}

/// Returns the largest memory in bytes of a courier all of whose endpoints answer like that.
fn peak_memory(kind: &str, head: &'static str, is_chunked: bool) -> u64 {
    let platform = Platform::new();
    for number in 0..ENDPOINTS {
        platform.set_entry(&format!("e{number}"), endless_endpoint(head, is_chunked), kind, 7, "SERVING");
    }
    let courier = Courier::start(&platform, |config| {
        config["limits"]["memory_mb"] = json!(MEMORY_MB);
        config["settings"]["FamilyInfo"]["Slots"] = json!(64);
    });
    let mut client = courier.client();
    for number in 0..MESSAGES {
        client.request(&put("0", &format!("{number:04x}"), "again", "d=3000", b"x"));
        thread::sleep(MESSAGE_PAUSE);
    }
    courier.peak_memory()
}

/// Guards against bodies that nobody uses and that are kept all the same, by as many connections as there may be.
#[test]
fn endless_answers_stay_within_the_memory_limit() {
    let rows = [
        ("single", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", true),
        ("single", "HTTP/1.1 200 OK\r\n\r\n", false),
        ("single", "HTTP/1.1 500 Error\r\nTransfer-Encoding: chunked\r\n\r\n", true),
        ("many", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", true),
        ("single", "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n", false),
    ];
    for (kind, head, is_chunked) in rows {
        let peak = peak_memory(kind, head, is_chunked);
        println!("{kind}, {head:?}: {} KiB at most", peak >> 10);
        assert!(peak <= MEMORY_MB << 20, "{kind}, {head:?}: {peak} bytes");
    }
}
