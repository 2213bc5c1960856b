//! Some answers of endpoints claim 3 GB and keep coming. The courier's memory is measured against `limits.memory_mb`.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::play::{
    entry, free_address, serve, serve_requests, Log, Messages, Platform, Play, CLIENT_PATIENCE,
};

const MEMORY_MB: u64 = 32;
const WORK: Duration = Duration::from_millis(200);
const CLIENTS: u32 = 24;
/// Of all clients together, a second.
const RATE: u32 = 120;
const TRAFFIC: f64 = 20.0;
const LIFETIME_MS: u64 = 6_000;
/// One answer in so many is spoilt; its pieces come at 1 MB a second.
const ONE_IN: u32 = 4;
const PIECE_PAUSE: Duration = Duration::from_millis(16);
const PIECE: [u8; 16 << 10] = [b'x'; 16 << 10];

fn config(listen: &str, discovery: &str, known: &str) -> String {
    format!(
        r#"{{"name":"n0","listen":"{listen}","discovery":"{discovery}","seed":"7f3a",
"limits":{{"cores":1.0,"memory_mb":{MEMORY_MB},"sockets":1024,"disk_mb":3}},
"known":{known},
"settings":{{"NInstances":3,"Me":0,"FamilyInfo":{{"Slots":64}},
"Limits":{{"MaxOpen":1000,"MaxAttempts":8,"ConnectTimeoutUs":1000000,"KeepaliveUs":10000000}},
"ResolutionUs":5000,"MembershipMode":"push","Weights":"off","Kinds":["partner"],"Dcs":["north-hall","east-hall"],
"Rules":{{"ColdFrom":0.3,"ColdUs":12000000,"TipMultiple":2.0,"OverloadForUs":2000000,"DrainGraceUs":500000}},
"Profiles":[{{"Name":"stock-update","Effect":"read_like","Group":"all",
"PromiseUs":1500000,"HardLimitUs":6000000,"Worth":1.0,"LateWorth":0.0}}]}}}}"#
    )
}

fn endpoint(
    log: Log,
    messages: Messages,
    trouble: bool,
    endless: Arc<AtomicU32>,
) -> Result<SocketAddr, String> {
    let calls = AtomicU32::new(1);
    serve(move |stream| {
        serve_requests(stream, |request, out| {
            thread::sleep(WORK);
            let at = log.now();
            messages.change(&request.id(), |message| {
                message.runs += 1;
                message.delivered_at.get_or_insert(at);
            });
            let number = calls.fetch_add(1, Ordering::SeqCst);
            if !trouble || number % ONE_IN > 0 {
                let head = format!("HTTP/1.1 200 OK\r\nX-Answer: {number}\r\nContent-Length: 0\r\n\r\n");
                return out.write_all(head.as_bytes()).is_ok();
            }
            endless.fetch_add(1, Ordering::SeqCst);
            let head = format!(
                "HTTP/1.1 200 OK\r\nX-Answer: {number}\r\nTransfer-Encoding: chunked\r\n\r\nC0000000\r\n"
            );
            let mut written = out.write_all(head.as_bytes());
            while written.is_ok() {
                thread::sleep(PIECE_PAUSE);
                written = out.write_all(&PIECE);
            }
            false
        });
    })
}

fn client(courier: SocketAddr, number: u32, until: f64, log: &Log, messages: &Messages) {
    let mut sent = 0;
    while log.now() < until {
        let Ok(mut stream) = TcpStream::connect(courier) else { return };
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(CLIENT_PATIENCE));
        let Ok(reader) = stream.try_clone() else { return };
        let mut reader = BufReader::new(reader);
        while log.now() < until {
            let id = format!("c{number:02}m{sent:04}");
            sent += 1;
            let pairs = format!("c=stock-update,d={LIFETIME_MS},dest=7");
            let command = format!(
                "*5\r\n$7\r\nMSG.PUT\r\n$1\r\n0\r\n${}\r\n{id}\r\n${}\r\n{pairs}\r\n$5\r\nstock\r\n",
                id.len(),
                pairs.len()
            );
            messages.hand_in(&id, log.now(), LIFETIME_MS);
            let mut line = String::new();
            let heard = stream.write_all(command.as_bytes()).and_then(|()| reader.read_line(&mut line));
            messages.change(&id, |message| message.answer = line.trim_end().to_string());
            if !heard.is_ok_and(|read| read > 0) {
                break;
            }
            thread::sleep(Duration::from_micros(u64::from(CLIENTS) * 1_000_000 / u64::from(RATE)));
        }
    }
}

pub fn run(play: &mut Play) -> Result<bool, String> {
    let endless = Arc::new(AtomicU32::new(0));
    let mut entries = Vec::new();
    for i in 0..4 {
        let address = endpoint(play.log.clone(), play.messages.clone(), play.trouble, endless.clone())?;
        entries.push(entry(&format!("s-{i}"), address, 7));
    }
    let platform = Platform { index: 41, entries, delay: Duration::ZERO };
    let known = platform.list();
    let discovery = platform.start(play.log.clone(), play.messages.clone())?.to_string();
    let listen = free_address()?;
    play.configure(&config(&listen.to_string(), &discovery, &known))?;
    play.start_courier(listen)?;
    let until = play.log.now() + TRAFFIC;
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        let (log, messages) = (play.log.clone(), play.messages.clone());
        clients.push(thread::spawn(move || client(listen, number, until, &log, &messages)));
    }
    let mut peak = 0;
    while play.log.now() < until {
        play.pause(1.0);
        let (now, most) = play.memory_kib()?;
        peak = most;
        let answers = endless.load(Ordering::SeqCst);
        play.log.say(&format!("resident {now} KiB, peak {most} KiB, {answers} answers without end so far"));
    }
    clients.into_iter().for_each(|client| drop(client.join()));
    play.sum_up();
    let limit = MEMORY_MB * 1_000_000 / 1024;
    play.log.say(&format!("peak {peak} KiB, limit {limit} KiB"));
    Ok(peak <= limit)
}
