//! Starts with mails owed: repeated kills, the order of restored mails, and missing discovery.

mod common;

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::TcpListener;
use std::time::{Duration, Instant};

use bytes::Bytes;
use common::{put, wait_until, Courier, Endpoint, Platform, Reply, OK};
use meadowhold_courier::exchange::Clock;
use meadowhold_courier::journal::{Journal, OwedMail, Record};
use serde_json::{json, Value};

/// One slot, so that calls go out in the order in which mails are offered, and a different importance for each class.
fn one_slot_and_importance_by_class(config: &mut Value) {
    config["settings"]["FamilyInfo"]["Slots"] = json!(1);
    for (class, worth) in [("once", 8.0), ("tagged", 4.0), ("again", 1.0)] {
        let profiles = config["settings"]["Profiles"].as_array_mut().unwrap();
        let profile = profiles.iter_mut().find(|profile| profile["Name"] == class).unwrap();
        profile["Worth"] = json!(worth);
        profile["HardLimitUs"] = json!(30_000_000);
        profile["PromiseUs"] = json!(8_000_000);
    }
}

#[test]
fn three_kills_during_the_start_lose_no_mail_and_repeat_no_once_only_mail() {
    // Slow enough that each kill finds a call in flight and other mails waiting.
    let slow: Vec<Reply> = (0..64).map(|_| Reply::Delayed(40, Box::new(OK))).collect();
    let (platform, endpoint) = (Platform::new(), Endpoint::new(&slow));
    let closed_address = common::unique_address();
    // No endpoint listens while the mails are handed in, so all of them stay owed.
    platform.set_entry("e1", closed_address, "single", 7, "SERVING");
    let mut courier = Courier::start(&platform, one_slot_and_importance_by_class);
    let mut class_of = HashMap::new();
    let mut client = courier.client();
    // Least important first, so that the order of acceptance differs from the order of importance.
    for (class, letter) in [("again", "a"), ("tagged", "t"), ("once", "x")] {
        for i in 0..6 {
            let id = format!("{letter}{i}");
            // Each has an earlier deadline than the one before, so within a class the last one goes first.
            let text = format!("d={},k=k{id}", 29_000 - 1000 * i);
            assert_eq!(client.request(&put("00", &id, class, &text, b"hello")), "+OK");
            class_of.insert(id, class);
        }
    }
    courier.kill();
    let owed = class_of.len();
    platform.set_entry("e1", endpoint.address, "single", 7, "SERVING");
    courier.config["known"] = platform.list_json();
    let mut seen_before = 0;
    for kill in 1..=3 {
        courier.restart();
        // Some mails have been sent and others not.
        wait_until("calls after a start", || endpoint.calls().len() >= seen_before + 2);
        courier.kill();
        seen_before = endpoint.calls().len();
        assert!(seen_before < owed, "kill {kill} came after the start was complete");
    }
    courier.restart();
    wait_until("settling of all mails", || courier.owes_nothing());

    let calls = endpoint.ids();
    let times = |id: &str| calls.iter().filter(|call| *call == id).count();
    let notices = platform.notices();
    for (id, class) in &class_of {
        let (called, notified) = (times(id), notices.iter().filter(|n| n.0 == *id).count());
        assert!(called + notified >= 1, "{id} is lost");
        match *class {
            // A mail in flight at a kill may have run: it is not sent again, and a notice says so.
            "once" => assert!(called <= 1 && notified <= 1, "{id}: {called} calls, {notified} notices"),
            _ => assert!(
                (1..=4).contains(&called) && notified == 0,
                "{id}: {called} calls, {notified} notices"
            ),
        }
    }
    assert!(notices.iter().all(|n| n.1 == "dead"), "{notices:?}");

    // The order is by importance, then by deadline. A mail in flight at a kill may be sent again, first of its class.
    let mut first = Vec::new();
    for id in &calls {
        if !first.contains(id) {
            first.push(id.clone());
        }
    }
    let expected: Vec<String> =
        ["x", "t", "a"].iter().flat_map(|c| (0..6).rev().map(move |i| format!("{c}{i}"))).collect();
    assert_eq!(first, expected);
}

#[test]
fn a_new_mail_does_not_overtake_a_restored_mail_of_the_same_key() {
    let (platform, endpoint) = (Platform::new(), Endpoint::new(&[]));
    platform.set_entry("e1", common::unique_address(), "single", 7, "SERVING");
    let mut courier = Courier::start(&platform, |config| {
        config["settings"]["Rules"]["TurnGapUs"] = json!(1000);
    });
    let mut client = courier.client();
    // Many other mails, so that the next start has a long backlog, and one with an ordering key that goes last.
    for i in 0..30 {
        assert_eq!(client.put(&format!("p{i}"), "again", "d=3000"), "+OK");
    }
    assert_eq!(client.request(&put("7f3a", "first", "turns", "d=4000", b"hello")), "+OK");
    courier.kill();
    platform.set_entry("e1", endpoint.address, "single", 7, "SERVING");
    courier.config["known"] = platform.list_json();
    courier.restart();
    let came = Instant::now();
    assert_eq!(courier.client().request(&put("7f3a", "second", "turns", "d=4000", b"hello")), "+OK");
    wait_until("settling of all mails", || courier.owes_nothing());
    assert!(came.elapsed() < Duration::from_secs(4));
    let ids = endpoint.ids();
    let place = |id: &str| ids.iter().position(|seen| seen == id);
    assert!(place("first").is_some() && place("first") < place("second"), "{ids:?}");
    assert!(platform.notices().is_empty(), "{:?}", platform.notices());
}

#[test]
fn a_mail_that_expired_while_the_courier_was_down_is_given_up_at_once() {
    let platform = Platform::new();
    platform.set_entry("e1", common::unique_address(), "single", 7, "SERVING");
    let mut courier = Courier::start(&platform, one_slot_and_importance_by_class);
    let mut client = courier.client();
    let handed_in = Instant::now();
    assert_eq!(client.put("late", "again", "d=300"), "+OK");
    for i in 0..20 {
        assert_eq!(client.put(&format!("p{i}"), "once", "d=20000"), "+OK");
    }
    courier.kill();
    wait_until("expiry of the mail", || handed_in.elapsed() > Duration::from_millis(320));
    courier.restart();
    let ready = Instant::now();
    wait_until("the notice", || platform.notices().iter().any(|n| n.0 == "late"));
    assert!(ready.elapsed() < Duration::from_millis(1500), "the notice is overdue");
}

#[test]
fn without_discovery_a_start_uses_the_saved_list() {
    let (platform, endpoint) = (Platform::new(), Endpoint::new(&[]));
    let closed_address = common::unique_address();
    platform.set_entry("e1", closed_address, "single", 7, "SERVING");
    // The list in the configuration keeps this address.
    let mut courier = Courier::start(&platform, |_| {});
    platform.set_entry("e1", endpoint.address, "single", 7, "SERVING");
    let file = courier.folder.path.join("state").join("memory");
    let here = endpoint.address.to_string();
    wait_until("the saved list", || {
        let text = std::fs::read(&file).unwrap_or_default();
        String::from_utf8_lossy(&text).contains(&here)
    });
    courier.kill();
    courier.config["discovery"] = json!(closed_address.to_string());
    courier.restart();
    assert_eq!(courier.client().put("9b1f", "again", "d=3000"), "+OK");
    wait_until("the call", || endpoint.ids() == ["9b1f"]);
    // A truncated file is ignored, and the start uses the list of the configuration.
    courier.kill();
    let text = std::fs::read(&file).unwrap();
    std::fs::write(&file, &text[..text.len() - 1]).unwrap();
    courier.restart();
    assert_eq!(courier.client().put("late", "again", "d=500"), "+OK");
    // The notice stays undelivered, since discovery is down.
    wait_until("giving up by the old list", || {
        courier.owed().contains("late destination 7 connects") && courier.owed().contains("given up")
    });
    assert_eq!(endpoint.ids(), ["9b1f"]);
}

#[test]
fn a_full_journal_and_unresponsive_discovery_do_not_hold_up_a_start() {
    let (platform, endpoint) = (Platform::new(), Endpoint::new(&[]));
    platform.set_entry("e1", endpoint.address, "single", 7, "SERVING");
    let agent = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = agent.local_addr().unwrap();
    // It reads requests for the list and never answers; notices are answered.
    common::serve(agent, |request, out| {
        if request.target == "/v1/notices" {
            return write!(out, "HTTP/1.1 204 X\r\n\r\n").is_ok();
        }
        let _ = out.try_clone().unwrap().read(&mut [0]);
        false
    });
    let mut courier = Courier::start(&platform, |_| {});
    courier.kill();
    courier.config["discovery"] = json!(address.to_string());
    let (mut journal, _) = Journal::open(&courier.folder.path.join("state"), 3_000_000).unwrap();
    let now = Clock::new().now();
    let mut mails = 0;
    loop {
        let owed = OwedMail {
            id: Bytes::from(format!("{mails:016}")),
            class: 0,
            destination: 7,
            submitted_at: now,
            // One in a hundred has time left; the others expire while no process runs.
            deadline: now + if mails % 100 == 0 { 300_000 } else { 10 },
            body: Bytes::from_static(&[b'x'; 100]),
            ..OwedMail::default()
        };
        if !journal.has_room(&owed) {
            break;
        }
        journal.append(&Record::Accepted { serial: mails + 1, owed: &owed }).unwrap();
        mails += 1;
    }
    assert!(mails > 3000, "{mails}");
    drop(journal);
    let start = Instant::now();
    courier.restart();
    let ready = start.elapsed();
    assert!(ready < Duration::from_secs(10), "{ready:?}");
    let tried = (mails as usize).div_ceil(100);
    while !courier.owes_nothing() {
        assert!(start.elapsed() < Duration::from_secs(30), "{} of {tried} calls", endpoint.calls().len());
        std::thread::sleep(Duration::from_millis(50));
    }
    assert_eq!(endpoint.calls().len(), tried);
}
