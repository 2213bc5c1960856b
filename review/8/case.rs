//! Answers that never end, and the courier's memory limit. See claim.txt.

#[path = "../stand-2/stand.rs"]
mod stand;

use stand::*;
use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const MEMORY_MB: u64 = 32;
const SECONDS: u64 = 30;
const RATE: u64 = 100;
/// One answer in so many is spoilt: it says 200 and never ends.
const SPOILT_ONE_IN: u64 = 5;
const DESTINATIONS: u64 = 6;
/// An endless answer brings 4 KiB each so many milliseconds.
const PAUSE_MS: u64 = 4;

fn config() -> String {
    format!(
        r#""limits":{{"cores":1.0,"memory_mb":{MEMORY_MB},"sockets":512,"disk_mb":3}},
"known":{{"index":0,"snapshot":true,"endpoints":[]}},
"settings":{{"NInstances":1,"FamilyInfo":{{"Slots":24,"KindBatch":[1]}},
"Limits":{{"MaxOpen":300,"MaxAttempts":8,"ConnectTimeoutUs":1000000,"KeepaliveUs":10000000,"MayDuplicate":true}},
"ResolutionUs":5000,"MembershipMode":"push","Kinds":["k"],"Dcs":["a"],
"Rules":{{"ColdFrom":0.2,"ColdUs":13000000,"DrainGraceUs":500000,"OverloadForUs":2000000,"TipMultiple":2.0}},
"Profiles":[{{"Name":"update","Effect":"read_like","PromiseUs":1500000,"HardLimitUs":6000000,"Worth":1.0}}]}}"#
    )
}

/// Serves calls; some answers say 200 and go on without end.
fn serve(stream: TcpStream, record: Record, chance: Arc<Mutex<Chance>>, ran: Arc<Mutex<HashMap<String, u32>>>) {
    let Ok(mut out) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        thread::sleep(Duration::from_millis(40));
        *ran.lock().unwrap().entry(request.id().to_string()).or_insert(0) += 1;
        let is_spoilt = trouble() && chance.lock().unwrap().below(SPOILT_ONE_IN) == 0;
        record.say(&format!("ran {}{}", request.id(), if is_spoilt { ", its answer never ends" } else { "" }));
        if !is_spoilt {
            if out.write_all(OK_ANSWER).is_err() {
                return;
            }
            continue;
        }
        let mut piece = b"1000\r\n".to_vec();
        piece.extend_from_slice(&[b'x'; 0x1000]);
        piece.extend_from_slice(b"\r\n");
        if out.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").is_err() {
            return;
        }
        // 4 KiB each time, until the courier closes the connection.
        while out.write_all(&piece).is_ok() {
            thread::sleep(Duration::from_millis(PAUSE_MS));
        }
        return;
    }
}

/// Whether the disruption takes place: not with `TROUBLE=0`.
fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

fn main() {
    let record = Record::open();
    let folder = Folder::new();
    let ran = Arc::new(Mutex::new(HashMap::new()));
    let chance = Arc::new(Mutex::new(Chance(0x9e37_79b9_7f4a_7c15)));
    let mut entries = Vec::new();
    for i in 0..DESTINATIONS * 2 {
        let (record, chance, ran) = (record.clone(), chance.clone(), ran.clone());
        let address =
            endpoint(move |_, stream| serve(stream, record.clone(), chance.clone(), ran.clone()));
        entries.push((format!("e{i}"), entry(&format!("e{i}"), address, i / 2, "SERVING", 60.0)));
    }
    let platform = Platform::start(&record, entries);
    let known = platform.list();
    let config = config().replace(r#"{"index":0,"snapshot":true,"endpoints":[]}"#, &known);
    let mut courier = Courier::new(&folder, "n1", platform.address, &config);
    courier.start();
    if !courier.ready(Duration::from_secs(10)) {
        println!("the courier is not ready: {}", courier.log_text());
        std::process::exit(CANNOT_RUN);
    }
    // Clients, each with a kept connection.
    let (stop, answers) = (Flag::default(), Arc::new(Mutex::new(HashMap::<String, u32>::new())));
    let started = Instant::now();
    let clients: Vec<_> = (0..10u64)
        .map(|number| {
            let (stop, answers, record, address) = (stop.clone(), answers.clone(), record.clone(), courier.listen);
            thread::spawn(move || {
                let (mut kept, mut sent) = (None, 0u64);
                while !stop.is_set() {
                    let due = started + Duration::from_micros((sent * 10 + number) * 1_000_000 / RATE);
                    thread::sleep(due.saturating_duration_since(Instant::now()));
                    let message = Message {
                        id: format!("{number:04x}{sent:012x}"),
                        class: "update",
                        key: None,
                        lifetime_ms: 6000,
                        destination: (sent * 10 + number) % DESTINATIONS,
                        body: b"stock 7".to_vec(),
                    };
                    let answer = hand_in(&mut kept, address, &message);
                    record.say(&format!("sent {} answered {answer:?}", message.id));
                    *answers.lock().unwrap().entry(format!("{answer:?}")).or_insert(0) += 1;
                    sent += 1;
                }
            })
        })
        .collect();
    // The platform's part: a courier over its memory limit is killed. A megabyte is taken as 1,048,576 bytes, and the folder's
    // files, which count as memory too, are left out.
    let (mut most, mut crash) = (0, None);
    while started.elapsed() < Duration::from_secs(SECONDS) && crash.is_none() {
        thread::sleep(Duration::from_millis(10));
        let resident = courier.status_kib("VmRSS:");
        if resident > most + 512 {
            most = resident;
            record.say(&format!("the courier holds {most} KiB"));
        }
        if resident > MEMORY_MB * 1024 {
            crash = Some(format!("it holds {resident} KiB, over its limit of {} KiB, and is killed", MEMORY_MB * 1024));
        } else if let Some(status) = courier.has_ended() {
            crash = Some(format!("it has ended: {status}"));
        }
    }
    let seconds = started.elapsed().as_secs_f64();
    stop.set();
    clients.into_iter().for_each(|client| drop(client.join()));
    courier.kill();
    record.say(&format!("answers: {:?}; messages run: {}", answers.lock().unwrap(), ran.lock().unwrap().len()));
    let code = match crash {
        Some(what) => {
            record.verdict(&format!("BROKEN: the courier crashes after {seconds:.1} s: {what}"));
            BROKEN
        }
        None => {
            record.verdict(&format!("held: at most {most} KiB of {} KiB in {seconds:.1} s", MEMORY_MB * 1024));
            HELD
        }
    };
    drop(courier);
    drop(folder);
    std::process::exit(code);
}
