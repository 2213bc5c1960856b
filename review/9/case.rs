//! A courier starts with an old list while discovery answers slowly: an address in that list has passed to another partner.
//! See claim.txt.

#[path = "../stand-2/play.rs"]
#[allow(dead_code)]
mod play;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use play::{entry, free_address, serve, serve_requests, Log, Messages, Platform, Play, Seconds};

/// How long discovery takes to answer about the list.
const SLOW: Duration = Duration::from_millis(500);
/// A change counts as told at the latest so long after discovery had it and could be reached.
const TOLD_AFTER: Seconds = 6.0;
const TRAFFIC: Seconds = 20.0;
const LIFETIME_MS: u64 = 6_000;

fn config(listen: &str, discovery: &str, known: &str) -> String {
    format!(
        r#"{{"name":"n0","listen":"{listen}","discovery":"{discovery}","seed":"7f3a",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024,"disk_mb":3}},
"known":{known},
"settings":{{"NInstances":3,"Me":0,"FamilyInfo":{{"Slots":16}},
"Limits":{{"MaxOpen":303,"MaxAttempts":8,"ConnectTimeoutUs":1000000,"KeepaliveUs":10000000}},
"ResolutionUs":5000,"MembershipMode":"push","Weights":"off","Kinds":["partner"],"Dcs":["north-hall","east-hall"],
"Rules":{{"ColdFrom":0.3,"ColdUs":12000000,"TipMultiple":2.0,"OverloadForUs":2000000,"DrainGraceUs":500000}},
"Profiles":[{{"Name":"stock-update","Effect":"read_like","Group":"all",
"PromiseUs":1500000,"HardLimitUs":6000000,"Worth":1.0,"LateWorth":0.0}}]}}}}"#
    )
}

/// Calls that arrived: when, at which group's endpoint, and the message.
type Calls = Arc<Mutex<Vec<(Seconds, u64, String)>>>;

fn endpoint(group: u64, log: Log, messages: Messages, calls: Calls) -> Result<SocketAddr, String> {
    serve(move |stream| {
        serve_requests(stream, |request, out| {
            let (id, at) = (request.id(), log.now());
            log.say(&format!("the endpoint of destination {group} gets {id}"));
            if let Ok(mut calls) = calls.lock() {
                calls.push((at, group, id.clone()));
            }
            thread::sleep(Duration::from_millis(50));
            messages.change(&id, |message| {
                message.runs += 1;
                message.delivered_at.get_or_insert(log.now());
            });
            let head = format!("HTTP/1.1 200 OK\r\nX-Run: {id}\r\nContent-Length: 0\r\n\r\n");
            std::io::Write::write_all(out, head.as_bytes()).is_ok()
        });
    })
}

fn main() {
    play::play_case(run);
}

fn run(play: &mut Play) -> Result<bool, String> {
    let calls = Calls::default();
    let start = |group| endpoint(group, play.log.clone(), play.messages.clone(), calls.clone());
    // The address of s-1, which served destination 7, is that of s-2 now, which serves destination 9.
    let (passed_on, new) = (start(9)?, start(7)?);
    let known =
        Platform { index: 41, entries: vec![entry("s-1", passed_on, 7)], delay: Duration::ZERO }.list();
    let platform = Platform {
        index: 43,
        entries: vec![entry("s-2", passed_on, 9), entry("s-3", new, 7)],
        delay: if play.trouble { SLOW } else { Duration::ZERO },
    };
    play.log.say(&format!("known to the courier: {known}"));
    play.log.say(&format!("at discovery: {}; it takes {:?} to answer", platform.list(), platform.delay));
    let discovery = platform.start(play.log.clone(), play.messages.clone())?.to_string();
    let listen = free_address()?;
    play.configure(&config(&listen.to_string(), &discovery, &known))?;
    play.start_courier(listen)?;
    let (ready, mut sent) = (play.ready_at, 0);
    while play.log.now() < ready + TRAFFIC {
        play.put(listen, &format!("m{sent:03}"), 7, "stock-update", ("0", LIFETIME_MS, b"stock of item 5"));
        sent += 1;
        play.pause(0.25);
    }
    play.pause(2.0);
    play.sum_up();
    let calls = calls.lock().map_err(|e| e.to_string())?;
    let of = |group: u64, from: Seconds| calls.iter().filter(|call| call.1 == group && call.0 > from).count();
    play.log.say(&format!(
        "calls with messages for destination 7: {} at its own endpoint, {} at that of destination 9, {} of these later than \
         {TOLD_AFTER} s after the start",
        of(7, 0.0),
        of(9, 0.0),
        of(9, ready + TOLD_AFTER)
    ));
    if sent < 20 || calls.is_empty() {
        return Err("there was no traffic".to_string());
    }
    Ok(of(9, ready + TOLD_AFTER) == 0)
}
