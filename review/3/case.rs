//! Case 3: a courier forgets the newest list that it was told, and calls who is there no longer. See claim.txt.
#[path = "../common/mod.rs"]
mod common;

use common::*;
use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::TcpListener;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const LIFETIME_MS: u64 = 5000;
/// The grace of drains in the settings, and 50 ms.
const GRACE_S: f64 = 0.55;
/// "discovery is down for 8 s" (`herd+mass`).
const DOWN: Duration = Duration::from_secs(8);

struct Call {
    at: f64,
    id: String,
    address: usize,
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

    // Five addresses; each answers every call, as it belongs to a sound endpoint at all times.
    let calls: Arc<Mutex<Vec<Call>>> = Arc::default();
    let mut addresses = Vec::new();
    for address in 0..5 {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        addresses.push(listener.local_addr()?);
        let (record, calls) = (record.clone(), calls.clone());
        serve(listener, move |stream| {
            let Ok(mut out) = stream.try_clone() else { return };
            let mut from = BufReader::new(stream);
            while let Some(request) = read_request(&mut from) {
                let id = request.field("x-request-id").to_string();
                let at = record.line(format!("call of {id} at address {address}"));
                calls.lock().unwrap().push(Call { at, id: id.clone(), address });
                sleep_ms(20);
                record.line(format!("address {address} answers 200 to {id}"));
                if out.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").is_err() {
                    return;
                }
            }
        });
    }
    let entry = |name: &str, address: usize, group: u64, status: &'static str| Entry {
        name: name.into(),
        address: addresses[address],
        kind: "k".into(),
        group,
        status,
        weight: 50.0,
    };
    let entries = vec![
        entry("s-1a", 0, 1, "SERVING"),
        entry("s-1b", 1, 1, "SERVING"),
        entry("s-2a", 2, 2, "SERVING"),
        entry("s-2b", 3, 2, "SERVING"),
    ];

    let platform = Platform::start(record.clone(), 41, entries.clone())?;
    let class =
        "{\"Name\":\"stock-update\",\"Effect\":\"read_like\",\"PromiseUs\":1500000,\"HardLimitUs\":6000000,\
                 \"Worth\":1.0,\"LateWorth\":0.0}";
    let settings = settings(8, 100, false, 1, "", class);
    let known = list_json(41, true, &entries);
    let limits = "{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024,\"disk_mb\":3}";
    let mut courier = Courier::new(&folder, &platform, &known, limits, &settings)?;
    if !courier.start(&record) {
        eprintln!("the courier is not ready: {}", courier.log());
        return Ok(NOT_RUN);
    }

    let courier_address = courier.listen;
    // Destination and answer of each message. Four clients hand in at the same time.
    let sent: Mutex<HashMap<String, (u64, Heard)>> = Mutex::default();
    let hand_in = |phase: u64, messages: u64| {
        thread::scope(|scope| {
            for client in 0..4 {
                let (sent, record, listen) = (&sent, &record, courier_address);
                scope.spawn(move || {
                    let mut connection = Client::new(listen);
                    for number in 0..messages {
                        let (id, group) = (format!("{phase:04x}{client:04x}{number:08x}"), 1 + number % 2);
                        let pairs = format!("c=stock-update,d={LIFETIME_MS},dest={group}");
                        record.line(format!("client {client} hands in {id}, {pairs}"));
                        let heard = connection.put(&id, &pairs, format!("for {group}").as_bytes());
                        record.line(format!("client {client} hears {heard:?} for {id}"));
                        sent.lock().unwrap().insert(id, (group, heard));
                        sleep_ms(50);
                    }
                });
            }
        });
    };
    hand_in(1, 20);
    sleep_ms(2000);

    // A quiet time, in which two endpoints give way to new ones, in two steps. The second new one, of destination 2, stands
    // at the address of the one of destination 1 that has gone.
    platform.change(vec![entry("s-2b", 3, 2, "DELETED"), entry("s-2d", 4, 2, "SERVING")]);
    sleep_ms(400);
    platform.change(vec![entry("s-1a", 0, 1, "DELETED"), entry("s-2c", 0, 2, "SERVING")]);
    let told_at = record.now();
    sleep_ms(5000);

    if trouble {
        platform.set_down(true);
        courier.signal("KILL");
        courier.kill();
        record.line("SIGKILL to the courier");
        let up = platform.clone();
        thread::spawn(move || {
            thread::sleep(DOWN);
            up.set_down(false);
        });
        sleep_ms(600);
        if !courier.start(&record) {
            return Ok(NOT_RUN);
        }
    }
    hand_in(2, 20);
    sleep_ms(LIFETIME_MS + 1000);

    let (calls, sent) = (calls.lock().unwrap(), sent.into_inner().unwrap());
    // From then on the address is that of an endpoint of destination 2.
    let foreign: Vec<&str> = calls
        .iter()
        .filter(|call| call.address == 0 && call.at > told_at + GRACE_S)
        .filter(|call| sent.get(&call.id).is_none_or(|(group, _)| *group != 2))
        .map(|call| call.id.as_str())
        .collect();
    let misled = |id: &&&str| {
        let elsewhere = calls.iter().any(|call| call.id == **id && call.address == 1);
        !elsewhere && platform.notice_of(id).is_none()
    };
    let lost = foreign.iter().filter(misled).count();
    let taken = sent.values().filter(|(_, heard)| *heard == Heard::Taken).count();
    let words = format!(
        "{} handed in, {taken} taken on; {} messages for destination 1 went to an endpoint of destination 2 {foreign:?}; {lost} \
         of them neither reached destination 1 nor were ended by a notice",
        sent.len(),
        foreign.len()
    );
    record.line(&words);
    println!("{words}");
    if taken < 50 {
        return Ok(NOT_RUN);
    }
    Ok(if foreign.is_empty() { HELD } else { BROKEN })
}
