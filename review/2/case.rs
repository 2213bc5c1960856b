//! Case 2: a once-only message runs twice. A second copy of a refusal crosses its call, and it is called again while it runs.
//! See claim.txt.
#[path = "../common/mod.rs"]
mod common;

use common::*;
use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::sync::atomic::Ordering::SeqCst;
use std::sync::mpsc;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How long a byte is on its way between courier and endpoint, one way.
const LINK: Duration = Duration::from_millis(40);
/// The work of a call, as the site file draws it for card captures: exponential, with 120 to 200 ms in the mean at a partner
/// system of usual pace.
const MEAN_MS: f64 = 200.0;
/// The wait that a refusal tells.
const WAIT_MS: u64 = 10;
/// How long behind the refusal its second copy goes out.
const BEHIND_MS: u64 = 30;
const LIFETIME_MS: u64 = 8000;
/// Partner systems that the courier calls seldom, and others with the ordinary traffic of the day.
const SELDOM: u64 = 40;
const BUSY: u64 = 4;
/// An endpoint closes a connection that was idle for 10 s.
const QUIET_MS: u64 = 10_600;
const STEP_MS: u64 = 150;

/// A small generator of chance (xorshift), with a seed for each endpoint: the same draws in each play.
struct Chance(u64);

impl Chance {
    fn work_ms(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        let part = (self.0 >> 11) as f64 / (1_u64 << 53) as f64;
        (-MEAN_MS * (1.0 - part).ln()) as u64
    }
}

/// Passes bytes on, each `LINK` after it came.
fn delay(mut from: TcpStream, mut to: TcpStream) {
    let (queue, queued) = mpsc::channel::<(Instant, Vec<u8>)>();
    thread::spawn(move || {
        let mut buffer = vec![0; 1 << 16];
        while let Ok(read @ 1..) = from.read(&mut buffer) {
            let _ = queue.send((Instant::now() + LINK, buffer[..read].to_vec()));
        }
    });
    thread::spawn(move || {
        for (due, bytes) in queued {
            thread::sleep(due.saturating_duration_since(Instant::now()));
            if to.write_all(&bytes).is_err() {
                break;
            }
        }
        let _ = to.shutdown(Shutdown::Write);
    });
}

fn link_to(endpoint: SocketAddr) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    serve(listener, move |near| {
        let Ok(far) = TcpStream::connect(endpoint) else { return };
        let _ = far.set_nodelay(true);
        let (Ok(near_too), Ok(far_too)) = (near.try_clone(), far.try_clone()) else { return };
        delay(near, far);
        delay(far_too, near_too);
    });
    Ok(address)
}

fn main() {
    std::process::exit(run().unwrap_or_else(|e| {
        eprintln!("the case cannot run: {e}");
        NOT_RUN
    }));
}

fn run() -> std::io::Result<i32> {
    let folder = PathBuf::from(std::env::args().nth(1).expect("a temporary folder"));
    let record = Record::create(&PathBuf::from(std::env::args().nth(2).expect("the record")))?;
    let trouble = trouble();
    record.line(format!("trouble: {trouble}"));

    // The ids of the calls that have run, in their order.
    let runs: Arc<Mutex<Vec<String>>> = Arc::default();
    let mut entries = Vec::new();
    // For each endpoint, whether its next call is refused.
    let mut full = Vec::new();
    for group in 1..=SELDOM + BUSY {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let endpoint = listener.local_addr()?;
        let is_full = Switch::default();
        full.push(is_full.clone());
        let (record, runs) = (record.clone(), runs.clone());
        let chance = Arc::new(Mutex::new(Chance(0x9e37_79b9_7f4a_7c15 ^ (group << 32 | group))));
        serve(listener, move |stream| {
            let Ok(mut out) = stream.try_clone() else { return };
            let mut from = BufReader::new(stream);
            while let Some(request) = read_request(&mut from) {
                let id = request.field("x-request-id").to_string();
                record.line(format!("call of {id} at s-{group}"));
                if is_full.swap(false, SeqCst) {
                    let refusal = format!(
                        "HTTP/1.1 429 Too Many Requests\r\nRetry-After: 0.{WAIT_MS:03}\r\nContent-Length: 0\r\n\r\n"
                    );
                    record.line(format!("s-{group} answers 429 to {id}"));
                    if out.write_all(refusal.as_bytes()).is_err() {
                        return;
                    }
                    sleep_ms(BEHIND_MS);
                    // Only while nothing else is waiting on the connection.
                    let _ = from.get_ref().set_nonblocking(true);
                    let is_quiet = from.buffer().is_empty() && from.get_ref().peek(&mut [0]).is_err();
                    let _ = from.get_ref().set_nonblocking(false);
                    if trouble && is_quiet {
                        record.line(format!("s-{group} sends a second copy of that 429"));
                        let _ = out.write_all(refusal.as_bytes());
                    }
                    continue;
                }
                let work = chance.lock().unwrap().work_ms();
                sleep_ms(work);
                runs.lock().unwrap().push(id.clone());
                record.line(format!("{id} has run at s-{group} in {work} ms, 200"));
                if out.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").is_err() {
                    return;
                }
            }
        });
        entries.push(Entry {
            name: format!("s-{group}"),
            address: link_to(endpoint)?,
            kind: "k".into(),
            group,
            status: "SERVING",
            weight: if group > SELDOM { 50.0 } else { 5.0 },
        });
    }
    let platform = Platform::start(record.clone(), 41, entries.clone())?;
    let classes =
        "{\"Name\":\"stock-update\",\"Effect\":\"read_like\",\"PromiseUs\":1500000,\"HardLimitUs\":6000000,\
                   \"Worth\":1.0,\"LateWorth\":0.0},{\"Name\":\"card-capture\",\"Effect\":\"non_idempotent\",\
                   \"PromiseUs\":3000000,\"HardLimitUs\":16000000,\"Worth\":4.0,\"LateWorth\":0.3}";
    let settings = settings(48, 400, false, 1, ",\"MayDuplicate\":true", classes);
    let known = list_json(41, true, &entries);
    let limits = "{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024,\"disk_mb\":3}";
    let mut courier = Courier::new(&folder, &platform, &known, limits, &settings)?;
    if !courier.start(&record) {
        eprintln!("the courier is not ready: {}", courier.log());
        return Ok(NOT_RUN);
    }
    let listen = courier.listen;
    let once: Mutex<Vec<String>> = Mutex::default();
    let hand_in = |client: &mut Client, id: &str, class: &str, group: u64| {
        let pairs = format!("c={class},d={LIFETIME_MS},dest={group}");
        record.line(format!("a client hands in {id}, {pairs}"));
        let heard = client.put(id, &pairs, b"capture 12.50");
        record.line(format!("a client hears {heard:?} for {id}"));
        if class == "card-capture" && heard == Heard::Taken {
            once.lock().unwrap().push(id.to_string());
        }
    };
    let start = Instant::now();
    let last_ms = QUIET_MS + SELDOM * STEP_MS;
    thread::scope(|scope| {
        for group in SELDOM + 1..=SELDOM + BUSY {
            let hand_in = &hand_in;
            scope.spawn(move || {
                let (mut client, mut number) = (Client::new(listen), 0);
                while start.elapsed() < Duration::from_millis(last_ms) {
                    number += 1;
                    hand_in(&mut client, &format!("{group:08x}{number:08x}"), "stock-update", group);
                    sleep_ms(100);
                }
            });
        }
        for group in 1..=SELDOM {
            let (hand_in, is_full) = (&hand_in, full[group as usize - 1].clone());
            scope.spawn(move || {
                let mut client = Client::new(listen);
                sleep_ms(group * STEP_MS);
                hand_in(&mut client, &format!("a{group:015x}"), "card-capture", group);
                // Quiet for longer than the endpoint keeps an idle connection. Then a message is refused, and told to wait for
                // a moment; a card capture comes meanwhile, and goes out when the wait is over.
                sleep_ms(QUIET_MS);
                is_full.store(true, SeqCst);
                hand_in(&mut client, &format!("b{group:015x}"), "card-capture", group);
                sleep_ms(2 * LINK.as_millis() as u64 + 2);
                hand_in(&mut client, &format!("c{group:015x}"), "card-capture", group);
            });
        }
    });
    sleep_ms(LIFETIME_MS + 500);

    let (runs, once) = (runs.lock().unwrap(), once.into_inner().unwrap());
    let times = |id: &String| runs.iter().filter(|other| *other == id).count();
    let twice: Vec<&String> = once.iter().filter(|id| times(id) > 1).collect();
    let words =
        format!("{} card captures taken on, {} ran more than once: {twice:?}", once.len(), twice.len());
    record.line(&words);
    println!("{words}");
    if once.iter().all(|id| times(id) == 0) {
        return Ok(NOT_RUN);
    }
    Ok(if twice.is_empty() { HELD } else { BROKEN })
}
