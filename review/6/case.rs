//! An answer that comes twice, and a message that nobody delivers. See claim.txt.

#[path = "../stand-2/link.rs"]
mod link;
#[path = "../stand-2/stand.rs"]
mod stand;

use link::Link;
use stand::*;
use std::collections::HashMap;
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const SECONDS: u64 = 90;
const DESTINATIONS: u64 = 60;
/// Each destination gets a clump of so many messages each so many milliseconds.
const CLUMP: u64 = 6;
const CLUMP_EACH_MS: u64 = 5000;
/// Of a hundred calls so many fail, and of a hundred answers so many are sent twice.
const ERRORS: u64 = 6;
const COPIED: u64 = 33;
/// A call that is relayed takes so long, and one that fails, in milliseconds.
const SERVICE_MS: (u64, u64) = (110, 190);
const FAILS_AFTER_MS: (u64, u64) = (1500, 2500);
const LINK_MS: link::Delays = (8, 30);
const LIFETIME_MS: u64 = 8000;
/// How long after its time a message's end may come: 300 ms, and 50 ms as every time limit on sockets.
const SLACK: Duration = Duration::from_millis(350);

const CONFIG: &str = r#""limits":{"cores":1.0,"memory_mb":192,"sockets":1024,"disk_mb":3},
"known":KNOWN,
"settings":{"NInstances":1,"FamilyInfo":{"Slots":40,"KindBatch":[1]},
"Limits":{"MaxOpen":300,"MaxAttempts":8,"ConnectTimeoutUs":1000000,"KeepaliveUs":10000000,"MayDuplicate":true},
"ResolutionUs":5000,"MembershipMode":"push","Kinds":["k"],"Dcs":["a"],
"Rules":{"ColdFrom":0.2,"ColdUs":13000000,"DrainGraceUs":500000,"OverloadForUs":2000000,"TipMultiple":2.0},
"Profiles":[{"Name":"update","Effect":"read_like","PromiseUs":1500000,"HardLimitUs":8000000,"Worth":1.0}]}"#;

#[derive(Clone)]
struct World {
    record: Record,
    chance: Arc<Mutex<Chance>>,
    /// When a first 200 for a message was written.
    delivered: Arc<Mutex<HashMap<String, Instant>>>,
    copies: Arc<Mutex<u64>>,
}

impl World {
    fn draw(&self, below: u64) -> u64 {
        self.chance.lock().unwrap().below(below)
    }

    fn between(&self, (least, most): (u64, u64)) -> Duration {
        Duration::from_millis(least + self.draw(most - least))
    }
}

fn serve(world: World, endpoint: u64, connection: u64, stream: TcpStream) {
    let Ok(mut link) = Link::new(stream, LINK_MS, world.chance.clone()) else { return };
    while let Some(request) = link.arriving.request() {
        let id = request.id().to_string();
        let place = format!("e{endpoint}, connection {connection}");
        world.record.say(&format!("call {id} arrives at {place}"));
        let fails = world.draw(100) < ERRORS;
        thread::sleep(world.between(if fails { FAILS_AFTER_MS } else { SERVICE_MS }));
        if link.ended().is_some() {
            world.record.say(&format!("call {id} at {place}: the courier has ended it"));
            return;
        }
        let answer: &[u8] =
            if fails { b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n" } else { OK_ANSWER };
        if !fails {
            world.delivered.lock().unwrap().entry(id.clone()).or_insert_with(Instant::now);
        }
        link.write(answer);
        // The second copy comes right behind, when nothing else waits on the connection.
        let is_copied = world.draw(100) < COPIED && trouble() && !link.arriving.is_waiting();
        if is_copied {
            link.write(answer);
            *world.copies.lock().unwrap() += 1;
        }
        let status = if fails { 500 } else { 200 };
        world.record.say(&format!("call {id} at {place}: {status}{}", if is_copied { ", sent twice" } else { "" }));
    }
}

/// Whether the disruption takes place: not with `TROUBLE=0`.
fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

fn main() {
    let record = Record::open();
    let folder = Folder::new();
    let world = World {
        record: record.clone(),
        chance: Arc::new(Mutex::new(Chance(0x2545_f491_4f6c_dd1d))),
        delivered: Arc::default(),
        copies: Arc::default(),
    };
    let mut entries = Vec::new();
    for i in 0..DESTINATIONS {
        let world = world.clone();
        let address = endpoint(move |connection, stream| serve(world.clone(), i, connection, stream));
        entries.push((format!("e{i}"), entry(&format!("e{i}"), address, i, "SERVING", 60.0)));
    }
    let platform = Platform::start(&record, entries);
    let config = CONFIG.replace("KNOWN", &platform.list());
    let mut courier = Courier::new(&folder, "n1", platform.address, &config);
    courier.start();
    if !courier.ready(Duration::from_secs(10)) {
        println!("the courier is not ready: {}", courier.log_text());
        std::process::exit(CANNOT_RUN);
    }
    let started = Instant::now();
    // When each message that was taken on was sent.
    let taken = Arc::new(Mutex::new(HashMap::<String, Instant>::new()));
    let clients: Vec<_> = (0..DESTINATIONS)
        .map(|destination| {
            let (record, address, taken) = (record.clone(), courier.listen, taken.clone());
            thread::spawn(move || {
                let (mut kept, mut number) = (None, 0);
                for clump in 0.. {
                    let due = Duration::from_millis(clump * CLUMP_EACH_MS + destination * CLUMP_EACH_MS / DESTINATIONS);
                    if due >= Duration::from_secs(SECONDS) {
                        return;
                    }
                    thread::sleep((started + due).saturating_duration_since(Instant::now()));
                    for _ in 0..CLUMP {
                        let message = Message {
                            id: format!("{destination:04x}{number:012x}"),
                            class: "update",
                            key: None,
                            lifetime_ms: LIFETIME_MS,
                            destination,
                            body: b"stock 7".to_vec(),
                        };
                        number += 1;
                        let sent = Instant::now();
                        let answer = hand_in(&mut kept, address, &message);
                        record.say(&format!("sent {} answered {answer:?}", message.id));
                        if answer == Answer::Ok {
                            taken.lock().unwrap().insert(message.id.clone(), sent);
                        }
                    }
                }
            })
        })
        .collect();
    clients.into_iter().for_each(|client| drop(client.join()));
    thread::sleep(Duration::from_millis(LIFETIME_MS) + SLACK + Duration::from_millis(500));
    let ended = courier.has_ended();
    courier.kill();
    if let Some(status) = ended {
        println!("the courier has ended: {status}");
        std::process::exit(CANNOT_RUN);
    }
    let (taken, delivered) = (taken.lock().unwrap(), world.delivered.lock().unwrap());
    let mut lost = 0;
    for (id, sent) in taken.iter() {
        let until = *sent + Duration::from_millis(LIFETIME_MS) + SLACK;
        let is_delivered = delivered.get(id).is_some_and(|at| *at <= until);
        let is_noticed = platform.notice_of(id).is_some_and(|(at, _)| at <= until);
        if !is_delivered && !is_noticed {
            lost += 1;
            record.say(&format!("message {id} is lost: taken on, no 200 was written for it and no notice came"));
        }
    }
    let notices = platform.state.lock().unwrap().notices.len();
    let (word, code) = if lost > 0 { ("BROKEN", BROKEN) } else { ("held", HELD) };
    record.verdict(&format!(
        "{word}: of {} messages taken on {} were delivered, {notices} ended by a notice and {lost} lost; {} answers came twice",
        taken.len(),
        delivered.len(),
        world.copies.lock().unwrap()
    ));
    drop(courier);
    drop(folder);
    std::process::exit(code);
}
