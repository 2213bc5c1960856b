//! Hundreds of clients that hold the courier's memory and places: it stays within its memory limit, and other clients are
//! served. Each test runs a process with the least memory that the platform gives.

mod common;

use std::io::Read;
use std::net::SocketAddr;
use std::process::Stdio;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use common::{command, put, unique_address, wait_until_ready, Client, Courier, Endpoint, Folder, Platform};
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

const MEMORY_MB: u64 = 32;
const DESCRIPTORS: usize = 1024;
const CROWD_SIZE: usize = 900;
const CROWD_DURATION: Duration = Duration::from_secs(5);
/// How long a client waits for an answer, from its connect on.
const CLIENT_PATIENCE: Duration = Duration::from_millis(400);
const PING_PAUSE: Duration = Duration::from_millis(50);
const RECONNECT_PAUSE: Duration = Duration::from_millis(20);
const DRIP_PAUSE: Duration = Duration::from_millis(100);
/// Within this time of its connect a bad client is owed an error or a close.
const ERROR_DUE: Duration = Duration::from_secs(3);
/// After this time a client gives up.
const VISIT_LIMIT: Duration = Duration::from_secs(6);
const LARGE_BODY: usize = 60_000;

/// What each client of a crowd sends on a connection.
struct Habit {
    at_once: Vec<u8>,
    /// Sent byte by byte behind it.
    dripped: Vec<u8>,
}

/// Connects, sends, and waits for an answer or the end of the connection. Returns the time that took.
async fn visit(listen: SocketAddr, habit: &Habit) -> Duration {
    let Ok(Ok(mut stream)) = timeout(ERROR_DUE, TcpStream::connect(listen)).await else {
        return Duration::ZERO;
    };
    let start = Instant::now();
    let (mut unread, mut out) = stream.split();
    let send = async {
        let _ = out.write_all(&habit.at_once).await;
        for byte in &habit.dripped {
            sleep(DRIP_PAUSE).await;
            let _ = out.write_all(&[*byte]).await;
        }
        std::future::pending::<()>().await
    };
    let mut answer = [0; 512];
    tokio::select! {
        _ = unread.read(&mut answer) => {}
        () = send => {}
        () = sleep(VISIT_LIMIT) => {}
    }
    start.elapsed()
}

/// Clients that all do the same, again and again, each on a new connection.
struct Crowd {
    is_over: Arc<AtomicBool>,
    thread: JoinHandle<Duration>,
}

impl Crowd {
    fn start(listen: SocketAddr, habit: Habit) -> Crowd {
        let is_over = Arc::new(AtomicBool::new(false));
        let over = is_over.clone();
        let thread = thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
            runtime.block_on(run_crowd(listen, Arc::new(habit), over))
        });
        Crowd { is_over, thread }
    }

    /// Ends the crowd. Returns the longest time until one of its clients got an answer or a close.
    fn end(self) -> Duration {
        self.is_over.store(true, Ordering::Relaxed);
        self.thread.join().unwrap()
    }
}

async fn run_crowd(listen: SocketAddr, habit: Arc<Habit>, is_over: Arc<AtomicBool>) -> Duration {
    let mut clients = JoinSet::new();
    for _ in 0..CROWD_SIZE {
        let (habit, is_over) = (habit.clone(), is_over.clone());
        clients.spawn(async move {
            let mut longest = Duration::ZERO;
            while !is_over.load(Ordering::Relaxed) {
                longest = longest.max(visit(listen, &habit).await);
                sleep(RECONNECT_PAUSE).await;
            }
            longest
        });
    }
    clients.join_all().await.into_iter().max().unwrap_or_default()
}

/// A courier with the least memory of the platform.
fn small_courier(platform: &Platform) -> Courier {
    Courier::start(platform, |config| {
        config["limits"]["memory_mb"] = json!(MEMORY_MB);
        config["limits"]["sockets"] = json!(DESCRIPTORS);
    })
}

/// Pings on new connections, and returns the longest time to the answer and the largest sum of the process's memory and
/// what the system holds for its clients.
fn watch(courier: &Courier) -> (Duration, u64) {
    let (start, mut longest, mut most) = (Instant::now(), Duration::ZERO, 0);
    while start.elapsed() < CROWD_DURATION {
        let asked_at = Instant::now();
        let answer = Client::connect(courier.listen).map(|mut client| client.request(b"PING\r\n"));
        let waited =
            if answer.is_ok_and(|answer| answer == "+PONG") { asked_at.elapsed() } else { VISIT_LIMIT };
        longest = longest.max(waited);
        most = most.max(courier.peak_memory() + courier.queued_bytes());
        thread::sleep(PING_PAUSE);
    }
    (longest, most)
}

/// Checks a crowd of clients with this habit.
fn check_crowd(what: &str, habit: Habit) {
    let (platform, endpoint) = (Platform::new(), Endpoint::new(&[]));
    platform.set_entry("e0", endpoint.address, "single", 7, "SERVING");
    let courier = small_courier(&platform);
    let at_rest = courier.peak_memory();
    let crowd = Crowd::start(courier.listen, habit);
    let (longest, most) = watch(&courier);
    let error = crowd.end();
    println!(
        "{what}: memory {at_rest} at rest, {most} at most; PING {} ms; error or close {} ms",
        longest.as_millis(),
        error.as_millis()
    );
    assert!(most <= MEMORY_MB * 1_000_000, "{what}: {most} bytes");
    assert!(longest < CLIENT_PATIENCE, "{what}: a PING took {longest:?}");
    assert!(error < ERROR_DUE, "{what}: a client had neither error nor close in {error:?}");
}

fn large_request() -> Vec<u8> {
    put("0", "large", "again", "d=1000", &[b'x'; LARGE_BODY])
}

/// Guards against clients that stop in the middle of a large request.
#[test]
fn clients_that_stop_within_a_large_request_take_neither_memory_nor_places() {
    let request = large_request();
    let habit = Habit { at_once: request[..request.len() - 100].to_vec(), dripped: Vec::new() };
    check_crowd("stopped", habit);
}

/// Guards against clients whose large requests go on byte by byte.
#[test]
fn clients_that_go_on_slowly_behind_half_a_request_take_neither_memory_nor_places() {
    let request = large_request();
    let habit =
        Habit { at_once: request[..LARGE_BODY / 2].to_vec(), dripped: request[LARGE_BODY / 2..].to_vec() };
    check_crowd("slow behind 30 KB", habit);
}

/// Guards against clients that write byte by byte from the start.
#[test]
fn clients_that_write_slowly_from_the_start_take_no_places() {
    let request = large_request();
    check_crowd("slow from the start", Habit { at_once: Vec::new(), dripped: request });
}

/// Guards against clients that connect and say nothing.
#[test]
fn silent_clients_take_no_places() {
    check_crowd("silent", Habit { at_once: Vec::new(), dripped: Vec::new() });
}

/// Guards against lists of very many short words, of which each takes more memory than its bytes.
#[test]
fn clients_that_stop_within_a_list_of_many_words_take_neither_memory_nor_places() {
    let fields = "f=1,".repeat(LARGE_BODY / 4);
    let request = format!("*5\r\n$7\r\nMSG.PUT\r\n$1\r\n0\r\n$1\r\nx\r\n${}\r\n{fields}", fields.len() + 9);
    check_crowd("many words", Habit { at_once: request.into_bytes(), dripped: Vec::new() });
}

/// Guards against a process that says nothing of its memory before the system ends it.
#[test]
fn a_courier_that_nears_its_memory_limit_says_so() {
    let (platform, folder) = (Platform::new(), Folder::new());
    let listen = unique_address();
    let mut config = common::config(&platform, listen);
    // Less than half of what the program takes alone is not accepted as a limit; a debug build is over half of this.
    config["limits"]["memory_mb"] = json!(16);
    let mut command = command(&folder, &config, "serve");
    let mut child = command.env("RUST_LOG", "info").stderr(Stdio::piped()).spawn().unwrap();
    let mut log = child.stderr.take().unwrap();
    wait_until_ready(listen);
    let ids: Vec<u8> =
        (0..40).flat_map(|i| put("0", &format!("m{i}"), "again", "d=5000", &[b'x'; LARGE_BODY])).collect();
    let _ = Client::connect(listen).unwrap().request(&ids);
    thread::sleep(Duration::from_millis(2500));
    child.kill().unwrap();
    child.wait().unwrap();
    let mut text = String::new();
    log.read_to_string(&mut text).unwrap();
    assert!(text.contains("MB of 16.0 MB are used (limits.memory_mb)"), "{text}");
}
