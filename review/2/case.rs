//! Case 2: a once-only message runs twice. A second copy of a refusal crosses its call, and it is called again while it runs.
//! See claim.txt.
#[path = "../common/mod.rs"]
mod common;

use common::*;
use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::sync::mpsc;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How long a byte is on its way between courier and endpoint, one way.
const LINK: Duration = Duration::from_millis(40);
/// An ordinary call of this endpoint, one while it is slow ("8.9 to 24 times slower for 7.1 to 21 s"), and how long it is.
const USUAL_MS: u64 = 150;
const SLOW_MS: u64 = 16 * USUAL_MS;
const SLOW_FOR: Duration = Duration::from_millis(7200);
/// The wait that a refusal tells.
const WAIT_MS: u64 = 10;
/// How long behind the refusal its second copy goes out.
const BEHIND_MS: u64 = 30;
const ROUNDS: u64 = 3;
const LIFETIME_MS: u64 = 8000;

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
    let over_limit = Switch::default();
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let endpoint = listener.local_addr()?;
    {
        let (record, runs, over_limit) = (record.clone(), runs.clone(), over_limit.clone());
        let slow_until: Mutex<Option<Instant>> = Mutex::default();
        serve(listener, move |stream| {
            use std::sync::atomic::Ordering::SeqCst;
            let Ok(mut out) = stream.try_clone() else { return };
            let mut from = BufReader::new(stream);
            while let Some(request) = read_request(&mut from) {
                let id = request.field("x-request-id").to_string();
                record.line(format!("call of {id}"));
                if over_limit.swap(false, SeqCst) {
                    // Above the limit: told to wait to the end of the span.
                    let refusal = format!(
                        "HTTP/1.1 429 Too Many Requests\r\nRetry-After: 0.{WAIT_MS:03}\r\nContent-Length: 0\r\n\r\n"
                    );
                    record.line(format!("429 to {id}"));
                    if out.write_all(refusal.as_bytes()).is_err() {
                        return;
                    }
                    if trouble {
                        *slow_until.lock().unwrap() = Some(Instant::now() + SLOW_FOR);
                    }
                    sleep_ms(BEHIND_MS);
                    // Nothing else is waiting on the connection.
                    let _ = from.get_ref().set_nonblocking(true);
                    let is_quiet = from.buffer().is_empty() && from.get_ref().peek(&mut [0]).is_err();
                    let _ = from.get_ref().set_nonblocking(false);
                    if trouble && is_quiet {
                        record.line("a second copy of that 429");
                        let _ = out.write_all(refusal.as_bytes());
                    }
                    continue;
                }
                let is_slow = slow_until.lock().unwrap().is_some_and(|until| Instant::now() < until);
                sleep_ms(if is_slow { SLOW_MS } else { USUAL_MS });
                runs.lock().unwrap().push(id.clone());
                record.line(format!("{id} has run, 200"));
                if out.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").is_err() {
                    return;
                }
            }
        });
    }
    let entries = vec![Entry {
        name: "s-1a".into(),
        address: link_to(endpoint)?,
        kind: "k".into(),
        group: 1,
        status: "SERVING",
    }];
    let platform = Platform::start(record.clone(), 41, entries.clone())?;
    let classes = "{\"Name\":\"stock-update\",\"Effect\":\"read_like\",\"PromiseUs\":1500000,\"HardLimitUs\":6000000,\
                   \"Worth\":1.0,\"LateWorth\":0.0},{\"Name\":\"card-capture\",\"Effect\":\"non_idempotent\",\
                   \"PromiseUs\":3000000,\"HardLimitUs\":16000000,\"Worth\":4.0,\"LateWorth\":0.3}";
    let settings = settings(6, 100, false, 1, ",\"MayDuplicate\":true", classes);
    let known = list_json(41, true, &entries);
    let limits = "{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024,\"disk_mb\":3}";
    let mut courier = Courier::new(&folder, &platform, &known, limits, &settings)?;
    if !courier.start(&record) {
        eprintln!("the courier is not ready: {}", courier.log());
        return Ok(NOT_RUN);
    }
    let mut client = Client::new(courier.listen);
    let mut hand_in = |id: &str, class: &str| {
        let pairs = format!("c={class},d={LIFETIME_MS},dest=1");
        record.line(format!("the client hands in {id}, {pairs}"));
        let heard = client.put(id, &pairs, b"capture 12.50");
        record.line(format!("the client hears {heard:?} for {id}"));
        heard == Heard::Taken
    };
    let mut once = Vec::new();
    for round in 0..ROUNDS {
        for number in 0..25 {
            hand_in(&format!("{round:08x}{number:08x}"), "stock-update");
            sleep_ms(250);
        }
        // Quiet for longer than the endpoint keeps an idle connection. Then a message is refused, and told to wait for a
        // moment; a card capture comes meanwhile, and goes out when the wait is over.
        sleep_ms(10_500);
        over_limit.store(true, std::sync::atomic::Ordering::SeqCst);
        hand_in(&format!("a{round:015x}"), "card-capture");
        sleep_ms(2 * LINK.as_millis() as u64 + 2);
        hand_in(&format!("b{round:015x}"), "card-capture");
        once.extend([format!("a{round:015x}"), format!("b{round:015x}")]);
        sleep_ms(9000);
    }
    sleep_ms(1000);

    let runs = runs.lock().unwrap();
    let times = |id: &String| runs.iter().filter(|other| *other == id).count();
    let twice: Vec<&String> = once.iter().filter(|id| times(id) > 1).collect();
    let words = format!("{} card captures handed in, {} ran more than once: {twice:?}", once.len(), twice.len());
    record.line(&words);
    println!("{words}");
    if once.iter().all(|id| times(id) == 0) {
        return Ok(NOT_RUN);
    }
    Ok(if twice.is_empty() { HELD } else { BROKEN })
}
