//! An error that comes twice, where no message may have two calls out at once. See claim.txt.

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

const SECONDS: u64 = 50;
const RATE: u64 = 120;
const DESTINATIONS: u64 = 3;
const ENDPOINTS_EACH: u64 = 4;
/// Of a hundred calls so many fail, and of a hundred answers so many are sent twice.
const ERRORS: u64 = 6;
const COPIED: u64 = 33;
/// One way, in milliseconds, drawn for each piece that is written; pieces keep their order.
const LINK_MS: link::Delays = (8, 30);
/// Two calls overlap if the second arrives at least so long before the first is answered or its connection ended.
const OVERLAP: Duration = Duration::from_millis(100);

const CONFIG: &str = r#""limits":{"cores":1.0,"memory_mb":192,"sockets":1024,"disk_mb":3},
"known":KNOWN,
"settings":{"NInstances":1,"FamilyInfo":{"Slots":64,"KindBatch":[1]},
"Limits":{"MaxOpen":300,"MaxAttempts":8,"ConnectTimeoutUs":1000000,"KeepaliveUs":10000000,"MayDuplicate":false},
"ResolutionUs":5000,"MembershipMode":"push","Kinds":["k"],"Dcs":["a"],
"Rules":{"ColdFrom":0.2,"ColdUs":13000000,"DrainGraceUs":500000,"OverloadForUs":2000000,"TipMultiple":2.0},
"Profiles":[{"Name":"update","Effect":"read_like","PromiseUs":1500000,"HardLimitUs":8000000,"Worth":1.0}]}"#;

/// One call as its endpoint saw it.
struct Call {
    endpoint: u64,
    connection: u64,
    arrived: Instant,
    answered: Option<Instant>,
    /// The courier ended the connection, or its sending on it.
    ended: Option<Instant>,
}

type Calls = Arc<Mutex<HashMap<String, Vec<Call>>>>;

#[derive(Clone)]
struct World {
    record: Record,
    chance: Arc<Mutex<Chance>>,
    calls: Calls,
}

impl World {
    fn draw(&self, below: u64) -> u64 {
        self.chance.lock().unwrap().below(below)
    }
}

fn serve(world: World, endpoint: u64, connection: u64, stream: TcpStream) {
    let Ok(mut link) = Link::new(stream, LINK_MS, world.chance.clone()) else { return };
    while let Some(request) = link.arriving.request() {
        let (id, arrived) = (request.id().to_string(), Instant::now());
        world.record.say(&format!("call {id} arrives at e{endpoint}, connection {connection}"));
        let place = {
            let mut calls = world.calls.lock().unwrap();
            let of = calls.entry(id.clone()).or_default();
            of.push(Call { endpoint, connection, arrived, answered: None, ended: None });
            of.len() - 1
        };
        thread::sleep(Duration::from_millis(200 + world.draw(200)));
        let has_ended = link.ended();
        {
            let mut calls = world.calls.lock().unwrap();
            let call = &mut calls.get_mut(&id).unwrap()[place];
            (call.answered, call.ended) = (Some(Instant::now()), has_ended);
        }
        if has_ended.is_some() {
            world.record.say(&format!("call {id} at e{endpoint}, connection {connection}: the courier has ended it"));
            return;
        }
        let fails = world.draw(100) < ERRORS;
        let answer: &[u8] =
            if fails { b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n" } else { OK_ANSWER };
        link.write(answer);
        // The second copy comes right behind, when nothing else waits on the connection.
        let is_copied = world.draw(100) < COPIED && trouble() && !link.arriving.is_waiting();
        if is_copied {
            link.write(answer);
        }
        world.record.say(&format!(
            "call {id} at e{endpoint}, connection {connection}: {}{}",
            if fails { 500 } else { 200 },
            if is_copied { ", sent twice" } else { "" }
        ));
    }
}

/// Whether the disruption takes place: not with `TROUBLE=0`.
fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

fn main() {
    let record = Record::open();
    let folder = Folder::new();
    let world = World { record: record.clone(), chance: Arc::new(Mutex::new(Chance(0x2545_f491_4f6c_dd1d))), calls: Calls::default() };
    let mut entries = Vec::new();
    for i in 0..DESTINATIONS * ENDPOINTS_EACH {
        let world = world.clone();
        let address = endpoint(move |connection, stream| serve(world.clone(), i, connection, stream));
        entries.push((format!("e{i}"), entry(&format!("e{i}"), address, i / ENDPOINTS_EACH, "SERVING", 200.0)));
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
    let clients: Vec<_> = (0..10u64)
        .map(|number| {
            let (record, address) = (record.clone(), courier.listen);
            thread::spawn(move || {
                let mut kept = None;
                for sent in 0.. {
                    let due = Duration::from_micros((sent * 10 + number) * 1_000_000 / RATE);
                    if due >= Duration::from_secs(SECONDS) {
                        return;
                    }
                    thread::sleep((started + due).saturating_duration_since(Instant::now()));
                    let message = Message {
                        id: format!("{number:04x}{sent:012x}"),
                        class: "update",
                        key: None,
                        lifetime_ms: 8000,
                        destination: (sent * 10 + number) % DESTINATIONS,
                        body: b"stock 7".to_vec(),
                    };
                    let answer = hand_in(&mut kept, address, &message);
                    record.say(&format!("sent {} answered {answer:?}", message.id));
                }
            })
        })
        .collect();
    clients.into_iter().for_each(|client| drop(client.join()));
    thread::sleep(Duration::from_secs(9));
    let ended = courier.has_ended();
    courier.kill();
    if let Some(status) = ended {
        println!("the courier has ended: {status}");
        std::process::exit(CANNOT_RUN);
    }
    // Judged: a second call of a message arrives while an earlier one is out, on a connection that stays open until it is
    // answered, 100 ms later or more.
    let calls = world.calls.lock().unwrap();
    let (mut messages, mut repeated, mut broken) = (0, 0, 0);
    for (id, of) in calls.iter() {
        messages += 1;
        repeated += usize::from(of.len() > 1);
        for (i, first) in of.iter().enumerate() {
            for second in &of[i + 1..] {
                let until = first.ended.or(first.answered).unwrap_or_else(Instant::now);
                if until >= second.arrived + OVERLAP {
                    broken += 1;
                    record.say(&format!(
                        "two calls of {id} are out at once for {} ms: e{} connection {} and e{} connection {}",
                        until.duration_since(second.arrived).as_millis(),
                        first.endpoint,
                        first.connection,
                        second.endpoint,
                        second.connection
                    ));
                }
            }
        }
    }
    let code = if broken > 0 { BROKEN } else { HELD };
    let word = if broken > 0 { "BROKEN" } else { "held" };
    record.verdict(&format!("{word}: of {messages} messages {repeated} were called again, {broken} while an earlier call was out"));
    drop(calls);
    drop(courier);
    drop(folder);
    std::process::exit(code);
}
