//! An answer that comes twice, and a wait that is not heeded. See claim.txt.

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
const DESTINATIONS: u64 = 100;
/// Each destination gets a clump of so many messages each so many milliseconds.
const CLUMP: u64 = 3;
const CLUMP_EACH_MS: u64 = 1500;
/// Of a hundred calls that come to an open destination so many find it shut from then on, and of a hundred answers so many are sent
/// twice.
const SHUTS: u64 = 5;
const COPIED: u64 = 33;
/// How long it is shut, and so the wait that it tells, in milliseconds.
const SHUT_MS: u64 = 3000;
const SERVICE_MS: (u64, u64) = (110, 190);
const REFUSED_AFTER_MS: (u64, u64) = (20, 60);
const LINK_MS: link::Delays = (8, 30);
const LIFETIME_MS: u64 = 8000;
/// Calls that arrive so long after a wait was written are let through: 100 ms, and 50 ms as every time limit on sockets.
const LET_THROUGH: Duration = Duration::from_millis(150);

const CONFIG: &str = r#""limits":{"cores":1.0,"memory_mb":192,"sockets":1024,"disk_mb":3},
"known":KNOWN,
"settings":{"NInstances":1,"FamilyInfo":{"Slots":80,"KindBatch":[1]},
"Limits":{"MaxOpen":600,"MaxAttempts":8,"ConnectTimeoutUs":1000000,"KeepaliveUs":10000000,"MayDuplicate":true},
"ResolutionUs":5000,"MembershipMode":"push","Kinds":["k"],"Dcs":["a"],
"Rules":{"ColdFrom":0.2,"ColdUs":13000000,"DrainGraceUs":500000,"OverloadForUs":2000000,"TipMultiple":2.0},
"Penalties":{"Handshake":0.04},
"Profiles":[{"Name":"capture","Effect":"non_idempotent","PromiseUs":1500000,"HardLimitUs":8000000,"Worth":1.0}]}"#;

/// What a destination has seen.
#[derive(Default)]
struct Destination {
    shut_until: Option<Instant>,
    /// When each wait was written, until when it lasts, and the message of its call.
    waits: Vec<(Instant, Instant, String)>,
    /// When each call arrived.
    calls: Vec<(Instant, String)>,
}

#[derive(Clone)]
struct World {
    record: Record,
    chance: Arc<Mutex<Chance>>,
    destinations: Arc<Mutex<HashMap<u64, Destination>>>,
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
        let (id, place) = (request.id().to_string(), format!("e{endpoint}, connection {connection}"));
        let arrived = Instant::now();
        world.record.say(&format!("call {id} arrives at {place}"));
        let shuts = world.draw(100) < SHUTS;
        let is_shut = {
            let mut destinations = world.destinations.lock().unwrap();
            let of = destinations.entry(endpoint).or_default();
            of.calls.push((arrived, id.clone()));
            let was_shut = of.shut_until.is_some_and(|until| arrived < until);
            if shuts && !was_shut {
                of.shut_until = Some(arrived + Duration::from_millis(SHUT_MS));
            }
            was_shut || shuts
        };
        thread::sleep(world.between(if is_shut { REFUSED_AFTER_MS } else { SERVICE_MS }));
        if link.ended().is_some() {
            world.record.say(&format!("call {id} at {place}: the courier has ended it"));
            return;
        }
        let (mut answer, mut words) = (OK_ANSWER.to_vec(), "200".to_string());
        if is_shut {
            let mut destinations = world.destinations.lock().unwrap();
            let of = destinations.entry(endpoint).or_default();
            let (now, until) = (Instant::now(), of.shut_until.unwrap_or(arrived));
            let wait = until.saturating_duration_since(now).as_secs_f64();
            of.waits.push((now, until, id.clone()));
            answer = format!("HTTP/1.1 429 Too Many Requests\r\nRetry-After: {wait:.3}\r\nContent-Length: 0\r\n\r\n").into_bytes();
            words = format!("429, wait {wait:.3} s");
        }
        link.write(&answer);
        // The second copy comes right behind, when nothing else waits on the connection.
        let is_copied = world.draw(100) < COPIED && trouble() && !link.arriving.is_waiting();
        if is_copied {
            link.write(&answer);
            *world.copies.lock().unwrap() += 1;
        }
        world.record.say(&format!("call {id} at {place}: {words}{}", if is_copied { ", sent twice" } else { "" }));
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
        destinations: Arc::default(),
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
    let clients: Vec<_> = (0..DESTINATIONS)
        .map(|destination| {
            let (record, address) = (record.clone(), courier.listen);
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
                            class: "capture",
                            key: None,
                            lifetime_ms: LIFETIME_MS,
                            destination,
                            body: b"card 7".to_vec(),
                        };
                        number += 1;
                        let answer = hand_in(&mut kept, address, &message);
                        record.say(&format!("sent {} answered {answer:?}", message.id));
                    }
                }
            })
        })
        .collect();
    clients.into_iter().for_each(|client| drop(client.join()));
    thread::sleep(Duration::from_millis(LIFETIME_MS + 500));
    let ended = courier.has_ended();
    courier.kill();
    if let Some(status) = ended {
        println!("the courier has ended: {status}");
        std::process::exit(CANNOT_RUN);
    }
    let destinations = world.destinations.lock().unwrap();
    let (mut calls, mut waits, mut unheeded) = (0, 0, 0);
    for (number, of) in destinations.iter() {
        (calls, waits) = (calls + of.calls.len(), waits + of.waits.len());
        for (written, until, told) in &of.waits {
            let early = of.calls.iter().filter(|(at, _)| *at > *written + LET_THROUGH && *at < *until);
            for (at, id) in early {
                unheeded += 1;
                record.say(&format!(
                    "destination {number}: call {id} arrives {} ms after the wait told to {told} was written, {} ms before its end",
                    at.duration_since(*written).as_millis(),
                    until.duration_since(*at).as_millis()
                ));
            }
        }
    }
    let (word, code) = if unheeded > 0 { ("BROKEN", BROKEN) } else { ("held", HELD) };
    record.verdict(&format!(
        "{word}: {calls} calls, {waits} waits told, {unheeded} calls within a wait; {} answers came twice",
        world.copies.lock().unwrap()
    ));
    drop(destinations);
    drop(courier);
    drop(folder);
    std::process::exit(code);
}
