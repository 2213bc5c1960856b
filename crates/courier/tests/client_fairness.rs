//! Clients that send as much as they can: other clients get their answers, and messages their ends, in time.

mod common;

use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use common::{put, wait_until, Courier, Endpoint, Platform, Reply};
use serde_json::json;

const FLOOD_DURATION: Duration = Duration::from_secs(4);
/// How long a client waits for an answer.
const CLIENT_PATIENCE: Duration = Duration::from_millis(400);
/// Lifetime of the calm client's messages, and how long after it their notices may come.
const LIFETIME: Duration = Duration::from_secs(1);
const NOTICE_SLACK: Duration = Duration::from_millis(350);
const PUT_PAUSE: Duration = Duration::from_millis(20);
const FLOODERS: usize = 12;
const MANY_FIELDS: usize = 5600;

/// Clients that send generated requests at full speed, and read what they are sent.
struct Flood {
    is_over: Arc<AtomicBool>,
    sent: Arc<AtomicU64>,
}

impl Flood {
    fn start(listen: SocketAddr, clients: usize, request: fn(u64) -> Vec<u8>) -> Flood {
        let flood = Flood { is_over: Arc::default(), sent: Arc::default() };
        for client in 0..clients as u64 {
            let (is_over, sent) = (flood.is_over.clone(), flood.sent.clone());
            thread::spawn(move || {
                let mut number = client << 32;
                while !is_over.load(Ordering::Relaxed) {
                    let Ok(mut out) = TcpStream::connect(listen) else { return };
                    let mut unread = out.try_clone().unwrap();
                    let reader = thread::spawn(move || std::io::copy(&mut unread, &mut std::io::sink()));
                    while !is_over.load(Ordering::Relaxed) && out.write_all(&request(number)).is_ok() {
                        number += 1;
                        sent.fetch_add(1, Ordering::Relaxed);
                    }
                    let _ = out.shutdown(Shutdown::Both);
                    let _ = reader.join();
                }
            });
        }
        flood
    }
}

impl Drop for Flood {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
    }
}

/// What became of the requests of a client that sends one after the other.
#[derive(Debug, Default)]
struct CalmClient {
    answered: u64,
    taken: Vec<(String, Instant)>,
    longest: Duration,
    unanswered: u64,
}

impl CalmClient {
    fn run(courier: &Courier, class: &str) -> CalmClient {
        let (mut calm, mut client, start) = (CalmClient::default(), courier.client(), Instant::now());
        while start.elapsed() < FLOOD_DURATION {
            let (id, asked_at) = (format!("calm{}", calm.answered), Instant::now());
            let lifetime = format!("d={}", LIFETIME.as_millis());
            let answer = client.put(&id, class, &lifetime);
            calm.longest = calm.longest.max(asked_at.elapsed());
            calm.answered += 1;
            match &answer[..] {
                "+OK" => calm.taken.push((id, asked_at)),
                "" => {
                    calm.unanswered += 1;
                    client = courier.client();
                }
                _ => {}
            }
            thread::sleep(PUT_PAUSE);
        }
        calm
    }
}

/// The latest time by which a message's notice came after the message's end; messages are identified by their ids.
fn latest_notice(
    platform: &Platform,
    taken: &[(String, Instant)],
    seen: &[(String, Instant)],
) -> (Duration, usize) {
    let mut latest = Duration::ZERO;
    let mut missing = 0;
    let told = platform.notices();
    for (id, asked_at) in taken {
        match seen.iter().find(|(of, _)| of == id) {
            Some((_, at)) => latest = latest.max(at.saturating_duration_since(*asked_at + LIFETIME)),
            None => missing += usize::from(!told.iter().any(|(of, _)| of == id)),
        }
    }
    (latest, missing)
}

/// Records when each notice is first seen at the platform, until the flag is set.
fn record_notices(
    platform: Arc<Platform>,
    is_over: Arc<AtomicBool>,
) -> thread::JoinHandle<Vec<(String, Instant)>> {
    thread::spawn(move || {
        let mut seen: Vec<(String, Instant)> = Vec::new();
        while !is_over.load(Ordering::Relaxed) {
            let notices = platform.notices();
            for (id, _) in &notices[seen.len().min(notices.len())..] {
                seen.push((id.clone(), Instant::now()));
            }
            thread::sleep(Duration::from_millis(2));
        }
        seen
    })
}

/// Checks that a flood neither delays answers and notices nor keeps another client's requests from being taken on.
fn check_flood(what: &str, clients: usize, request: fn(u64) -> Vec<u8>) {
    // An endpoint that never answers: each message ends by a notice.
    let (platform, silent) = (Arc::new(Platform::new()), Endpoint::new(&vec![Reply::NoAnswer; 4096]));
    platform.set_entry("e0", silent.address, "single", 7, "SERVING");
    let courier = Courier::start(&platform, |config| {
        config["limits"]["sockets"] = json!(1024);
        config["settings"]["Limits"]["MaxOpen"] = json!(600);
    });
    let is_over = Arc::new(AtomicBool::new(false));
    let notices = record_notices(platform.clone(), is_over.clone());
    let flood = Flood::start(courier.listen, clients, request);
    wait_until("the flood", || flood.sent.load(Ordering::Relaxed) > 100);
    let calm = CalmClient::run(&courier, "once");
    thread::sleep(LIFETIME + NOTICE_SLACK);
    is_over.store(true, Ordering::Relaxed);
    let seen = notices.join().unwrap();
    let (latest, missing) = latest_notice(&platform, &calm.taken, &seen);
    println!(
        "{what}: {} requests of the flood; {} calm requests, {} taken on, {} unanswered, answer {} ms; latest notice {} ms, \
         {missing} missing",
        flood.sent.load(Ordering::Relaxed),
        calm.answered,
        calm.taken.len(),
        calm.unanswered,
        calm.longest.as_millis(),
        latest.as_millis()
    );
    assert_eq!(calm.unanswered, 0, "{what}: requests without an answer");
    assert!(calm.longest < CLIENT_PATIENCE, "{what}: an answer took {:?}", calm.longest);
    assert_eq!(missing, 0, "{what}: messages without an end");
    assert!(latest < NOTICE_SLACK, "{what}: a notice came {latest:?} after its message's time");
    assert_eq!(calm.taken.len() as u64, calm.answered, "{what}: another client's requests took all the room");
}

fn with_many_fields(number: u64, class: &str) -> Vec<u8> {
    let fields = "a=1,".repeat(MANY_FIELDS);
    put("0", &format!("f{number:x}"), class, &format!("{fields}d=1000"), b"x")
}

/// Guards against requests with lists of very many short fields.
#[test]
fn unsound_requests_with_many_fields_keep_nobody_waiting() {
    check_flood("many fields, unknown class", FLOODERS, |number| with_many_fields(number, "none"));
}

/// Guards against the same where the requests are sound.
#[test]
fn sound_requests_with_many_fields_keep_nobody_waiting() {
    check_flood("many fields", FLOODERS, |number| with_many_fields(number, "again"));
}

/// Guards against small unsound requests under ever new names.
#[test]
fn unsound_requests_under_new_names_keep_nobody_waiting() {
    check_flood("new names", FLOODERS, |number| {
        let key = format!("d=1000,k=k{number:x},t=t{number:x}");
        put("0", &format!("f{number:x}"), &format!("c{number:x}"), &key, b"x")
    });
}

/// Guards against one client that takes all the room for messages.
#[test]
fn one_client_that_sends_all_it_can_leaves_room_for_others() {
    check_flood("one client", 1, |number| put("0", &format!("f{number:x}"), "once", "d=1000", b"x"));
}

/// Guards against several clients that take all the room for messages.
#[test]
fn many_clients_that_send_all_they_can_leave_room_for_others() {
    check_flood("many clients", FLOODERS, |number| put("0", &format!("f{number:x}"), "once", "d=1000", b"x"));
}

/// Guards against commands that are refused without being read as requests.
#[test]
fn commands_that_are_no_requests_keep_nobody_waiting() {
    for (what, request) in [
        ("no arguments", (|_| b"*1\r\n$7\r\nMSG.PUT\r\n".to_vec()) as fn(u64) -> Vec<u8>),
        ("empty commands", |_| b"*0\r\n".repeat(64)),
        ("inline words", |_| [&b"a ".repeat(500)[..], b"\r\n"].concat()),
        ("negative lengths", |_| b"*2\r\n$-1\r\n".to_vec()),
        ("1,500 words", |_| b"*1500\r\n".to_vec()),
    ] {
        check_flood(what, 1, request);
    }
}
