//! An endpoint sends one answer a second time, right behind it and while nothing waits on the connection; the copy crosses the
//! next call on its way. The endpoint stops in the middle of its work on that call, and its connection ends.

use std::io::{self, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::play::{entry, free_address, read_request, serve, Log, Messages, Platform, Play};

/// One way between the halls.
const ONE_WAY: Duration = Duration::from_millis(25);
/// How long an endpoint works on a call.
const WORK: Duration = Duration::from_millis(100);
/// How long behind the answer its copy is written.
const COPY_BEHIND: Duration = Duration::from_millis(15);
/// How long behind the begin of a call its connection ends.
const RESET_AFTER: Duration = Duration::from_millis(800);
const LIFETIME_MS: u64 = 8_000;
const MESSAGES: usize = 24;

fn config(listen: &str, discovery: &str, known: &str) -> String {
    format!(
        r#"{{"name":"n0","listen":"{listen}","discovery":"{discovery}","seed":"7f3a",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024,"disk_mb":3}},
"known":{known},
"settings":{{"NInstances":3,"Me":0,"FamilyInfo":{{"Slots":4}},
"Limits":{{"MaxOpen":40,"MaxAttempts":8,"ConnectTimeoutUs":1000000,"KeepaliveUs":10000000}},
"ResolutionUs":5000,"MembershipMode":"push","Weights":"off","Kinds":["partner"],"Dcs":["north-hall","east-hall"],
"Rules":{{"ColdFrom":0.3,"ColdUs":12000000,"TipMultiple":2.0,"OverloadForUs":2000000,"DrainGraceUs":500000}},
"Profiles":[{{"Name":"supplier-order","Effect":"idempotency_key","Group":"all","DedupWindowUs":7500000,
"PromiseUs":2500000,"HardLimitUs":28000000,"Worth":3.0,"LateWorth":0.3}}]}}}}"#
    )
}

/// Which part of the disruption is played.
#[derive(Clone, Copy)]
struct Trouble {
    copies: bool,
    resets: bool,
}

struct Endpoint {
    log: Log,
    messages: Messages,
    trouble: Trouble,
    /// Answers so far, and the call whose answer was sent twice.
    answers: AtomicU32,
    copied: Mutex<Option<String>>,
}

impl Endpoint {
    fn serve(&self, stream: TcpStream) {
        let Ok(mut out) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        let mut follows_copy = false;
        while let Some(request) = read_request(&mut reader) {
            let id = request.id();
            self.log.say(&format!("the endpoint gets {id}"));
            if std::mem::take(&mut follows_copy) && self.trouble.resets {
                self.log
                    .say(&format!("the endpoint stops in the middle of its work on {id}, without effect"));
                thread::sleep(RESET_AFTER);
                self.log.say(&format!("the connection with the call of {id} ends"));
                return;
            }
            thread::sleep(WORK);
            self.messages.change(&id, |message| message.runs += 1);
            let number = self.answers.fetch_add(1, Ordering::SeqCst);
            let answer = format!("HTTP/1.1 200 OK\r\nX-Answer: {number}\r\nContent-Length: 0\r\n\r\n");
            if out.write_all(answer.as_bytes()).is_err() {
                return;
            }
            let at = self.log.now();
            self.log.say(&format!("the endpoint has run {id} and answers 200, answer {number}"));
            self.messages.change(&id, |message| {
                message.delivered_at.get_or_insert(at);
            });
            let is_copied = self.copied.lock().is_ok_and(|mut copied| {
                let is_first = copied.is_none();
                copied.get_or_insert(id.clone());
                is_first
            });
            if is_copied {
                follows_copy = true;
                thread::sleep(COPY_BEHIND);
                if !self.trouble.copies {
                    continue;
                }
                if !is_silent(&reader) {
                    self.log.say("a call waits already: no copy");
                    continue;
                }
                self.log.say(&format!("nothing waits on the connection: answer {number} is sent once more"));
                let _ = out.write_all(answer.as_bytes());
            }
        }
    }
}

/// Whether nothing has come on a connection.
fn is_silent(reader: &BufReader<TcpStream>) -> bool {
    let stream = reader.get_ref();
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut [0]);
    let _ = stream.set_nonblocking(false);
    reader.buffer().is_empty() && peeked.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
}

/// Passes on what comes on one side to the other, each piece after the time of the way.
fn carry(mut from: TcpStream, mut to: TcpStream) {
    let (pieces, queue) = mpsc::channel::<(Instant, Vec<u8>)>();
    thread::spawn(move || {
        for (at, piece) in queue {
            thread::sleep((at + ONE_WAY).saturating_duration_since(Instant::now()));
            if piece.is_empty() || to.write_all(&piece).is_err() {
                break;
            }
        }
        let _ = to.shutdown(std::net::Shutdown::Write);
    });
    let mut buffer = [0; 1 << 14];
    loop {
        let read = from.read(&mut buffer).unwrap_or(0);
        if pieces.send((Instant::now(), buffer[..read].to_vec())).is_err() || read == 0 {
            return;
        }
    }
}

/// A way to an endpoint that takes time in both directions.
fn way_to(endpoint: SocketAddr) -> Result<SocketAddr, String> {
    serve(move |near| {
        let Ok(far) = TcpStream::connect(endpoint) else { return };
        let _ = far.set_nodelay(true);
        let (Ok(near_in), Ok(far_in)) = (near.try_clone(), far.try_clone()) else { return };
        thread::spawn(move || carry(near_in, far));
        carry(far_in, near);
    })
}

pub fn run(play: &mut Play) -> Result<bool, String> {
    let only = std::env::var("ONLY").unwrap_or_default();
    let trouble = Trouble { copies: play.trouble && only != "reset", resets: play.trouble && only != "copy" };
    let endpoint = Arc::new(Endpoint {
        log: play.log.clone(),
        messages: play.messages.clone(),
        trouble,
        answers: AtomicU32::new(0),
        copied: Mutex::new(None),
    });
    let address = serve(move |stream| endpoint.serve(stream))?;
    let way = way_to(address)?;
    let platform = Platform { index: 41, entries: vec![entry("s-1", way, 7)], delay: Duration::ZERO };
    let known = platform.list();
    let discovery = platform.start(play.log.clone(), play.messages.clone())?.to_string();
    let listen = free_address()?;
    play.configure(&config(&listen.to_string(), &discovery, &known))?;
    play.start_courier(listen)?;
    for i in 0..MESSAGES {
        play.put(
            listen,
            &format!("m{i:02}"),
            7,
            "supplier-order",
            ("0", LIFETIME_MS, b"two pallets of item 5"),
        );
        // The first come together, as in a clump; then one after the other.
        play.pause(if i < 3 { 0.0 } else { 0.25 });
    }
    let last = play.messages.with(|all| all.values().map(|message| message.deadline).fold(0.0, f64::max));
    play.sleep_until(last + 1.0);
    play.sum_up();
    let lost = play.lost();
    lost.iter().for_each(|one| play.log.say(&format!("LOST {one}")));
    let taken = play.messages.with(|all| all.values().filter(|message| message.is_taken()).count());
    if taken < MESSAGES {
        return Err(format!("only {taken} messages were taken on"));
    }
    Ok(lost.is_empty())
}
