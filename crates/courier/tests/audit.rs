//! The audit finds nothing under random load and faults, and finds each inconsistency that is introduced on purpose.

mod common;

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use bytes::Bytes;
use common::{
    command, config, put, settings, unique_address, wait_until, Client, Endpoint, Folder, Platform, Reply, OK,
};
use meadowhold::interface::{Outcome, PeerNote, Time, SECOND};
use meadowhold_courier::discovery::List;
use meadowhold_courier::exchange::{
    Answer, Call, CallMail, Clock, ConnectReport, Exchange, Notice, Offer, Order,
};
use meadowhold_courier::journal::{Journal, JournalContents};
use meadowhold_settings::decode_json;
use serde_json::{json, Value};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver};

/// Time of the first start, by the clock of the decisions.
const START: Time = 1_700_000_000 * SECOND;
const CLASSES: [&str; 4] = ["again", "tagged", "once", "turns"];
const OUTCOMES: [Outcome; 9] = [
    Outcome::Relayed,
    Outcome::Error,
    Outcome::Refused,
    Outcome::Silent,
    Outcome::Unreached,
    Outcome::Broken,
    Outcome::Spoilt,
    Outcome::CalledOff,
    Outcome::Unsent,
];

/// A courier's exchange in a random environment: clients, endpoints, the list, other couriers, the platform, time and
/// restarts.
struct RandomRun {
    rng: fastrand::Rng,
    now: Time,
    folder: Folder,
    exchange: Exchange,
    orders: UnboundedReceiver<Order>,
    notices: UnboundedReceiver<Notice>,
    /// Calls that wait for a connection, and mails whose call has begun.
    waiting: Vec<Call>,
    in_flight: Vec<CallMail>,
    /// Mails reported as silent, whose real outcome may still arrive.
    unanswered: Vec<u64>,
    owed_notices: Vec<u64>,
    entries: BTreeMap<String, Value>,
    index: u64,
    old_lists: Vec<List>,
    ids: u64,
    broken: u64,
    taken: u64,
    begun: u64,
    restarts: u64,
    turns: u32,
    turn_time: Duration,
}

fn text(text: &str) -> Bytes {
    Bytes::copy_from_slice(text.as_bytes())
}

fn open(folder: &Folder, now: Time) -> (Exchange, UnboundedReceiver<Order>, UnboundedReceiver<Notice>) {
    let (orders_in, orders) = unbounded_channel();
    let (notices_in, notices) = unbounded_channel();
    let mut settings = settings();
    settings["Limits"]["MayTell"] = json!(true);
    settings["NInstances"] = json!(3);
    let decoded = decode_json(1, &settings).unwrap();
    let journal = Journal::open(&folder.path, 8_000_000).unwrap();
    let exchange = Exchange::with_clock(Clock::still(now), decoded, journal, orders_in, notices_in, None);
    (exchange, orders, notices)
}

impl RandomRun {
    fn new(seed: u64) -> RandomRun {
        let (folder, now) = (Folder::new(), START);
        let (exchange, orders, notices) = open(&folder, now);
        let mut run = RandomRun {
            rng: fastrand::Rng::with_seed(seed),
            now,
            folder,
            exchange,
            orders,
            notices,
            waiting: Vec::new(),
            in_flight: Vec::new(),
            unanswered: Vec::new(),
            owed_notices: Vec::new(),
            entries: BTreeMap::new(),
            index: 1,
            old_lists: Vec::new(),
            ids: 0,
            broken: 0,
            taken: 0,
            begun: 0,
            restarts: 0,
            turns: 0,
            turn_time: Duration::ZERO,
        };
        for name in ["e0", "e1", "e2", "e3", "e4"] {
            run.change_entry(name, "SERVING");
        }
        run.send_list(true);
        run
    }

    /// The kind of an endpoint follows from its destination; calls of the second kind carry up to ten mails.
    fn change_entry(&mut self, name: &str, status: &str) {
        let group = name.as_bytes()[1] % 3;
        let kind = ["single", "many", "single"][usize::from(group)];
        // Occasionally it moves to another destination or has another address.
        let group = if self.rng.u8(..60) == 0 { 3 } else { group };
        let port = if self.rng.u8(..8) == 0 { self.rng.u8(1..9) } else { 9 };
        let entry = json!({"name": name, "address": format!("127.0.0.1:{port}"), "zone": "a", "type": kind,
            "group": group, "status": status, "weight": 100.0, "since_ms": 0});
        self.entries.insert(name.to_string(), entry);
        self.index += 1;
    }

    fn send_list(&mut self, whole: bool) {
        let some = self.entries.values().filter(|_| whole || self.rng.u8(..3) == 0).cloned();
        let some: Vec<Value> = some.collect();
        let list = json!({"index": self.index, "snapshot": whole, "endpoints": some});
        let list: List = serde_json::from_value(list).unwrap();
        self.exchange.listed(&list);
        self.old_lists.push(list);
    }

    fn change_list(&mut self) {
        let name = format!("e{}", self.rng.u8(..9));
        let status = ["SERVING", "SERVING", "SERVING", "DRAINING", "DELETED"][self.rng.usize(..5)];
        match self.rng.u8(..12) {
            0 => drop(self.entries.remove(&name)),
            _ => self.change_entry(&name, status),
        }
        let whole = self.rng.u8(..6) == 0;
        self.send_list(whole);
        // Old changes arrive late, as do whole lists of an agent with other versions.
        if self.rng.u8(..4) == 0 && !self.old_lists.is_empty() {
            let old = self.old_lists[self.rng.usize(..self.old_lists.len())].clone();
            self.exchange.listed(&old);
        }
    }

    fn offer(&mut self) {
        self.ids += u64::from(self.rng.u8(..8) > 0); // else a repeat of the same id
        let class = CLASSES[self.rng.usize(..4)];
        let offer = Offer {
            id: text(&self.ids.to_string()),
            key: Bytes::new(),
            order_key: text(["0000", "7f3a", "9b1f"][self.rng.usize(..3)]),
            class: text(class),
            destination: self.rng.u64(..4),
            lifetime: Duration::from_millis(self.rng.u64(1..4000)),
            body: vec![b'x'; self.rng.usize(..300) * if self.rng.u8(..20) == 0 { 100 } else { 1 }].into(),
        };
        if let Answer::Taken(serial) = self.exchange.hand_in(offer) {
            self.taken += 1;
            if self.rng.u8(..20) == 0 {
                self.exchange.withdraw(serial);
            }
        }
    }

    fn begin_call(&mut self) {
        if self.waiting.is_empty() {
            return;
        }
        let mut call = self.waiting.swap_remove(self.rng.usize(..self.waiting.len()));
        let mails = std::mem::take(&mut call.mails);
        if self.rng.u8(..10) == 0 {
            let unreached = ConnectReport::of(Outcome::Unreached);
            return mails.iter().for_each(|mail| self.exchange.connect_ended(mail.serial, unreached.clone()));
        }
        let going = self.exchange.begin(&call, mails);
        self.begun += going.len() as u64;
        self.in_flight.extend(going);
    }

    fn end_connect(&mut self) {
        if self.in_flight.is_empty() {
            return;
        }
        let mail = self.in_flight.swap_remove(self.rng.usize(..self.in_flight.len()));
        let any = OUTCOMES[self.rng.usize(..9)];
        let outcome = if self.rng.bool() { Outcome::Relayed } else { any };
        let wait = if outcome == Outcome::Refused { self.rng.u64(..1500) } else { 0 };
        let over = outcome == Outcome::Relayed || outcome == Outcome::Unsent && self.rng.bool();
        let (wait, kept) = (Duration::from_millis(wait), self.rng.bool());
        self.exchange.connect_ended(
            mail.serial,
            ConnectReport {
                finished: over,
                retry_after: wait,
                reused_connection: kept,
                ..ConnectReport::of(outcome)
            },
        );
        if outcome == Outcome::Silent {
            self.unanswered.push(mail.serial);
        }
    }

    fn turn(&mut self) {
        let start = Instant::now();
        self.exchange.turn();
        (self.turns, self.turn_time) = (self.turns + 1, self.turn_time + start.elapsed());
        while let Ok(order) = self.orders.try_recv() {
            self.waiting.extend(if let Order::Call(call) = order { Some(call) } else { None });
        }
        while let Ok(notice) = self.notices.try_recv() {
            self.owed_notices.push(notice.serial);
        }
        // In debug builds the exchange runs the audit itself and panics on a finding.
        if !cfg!(debug_assertions) {
            assert_eq!(self.exchange.audit(), Vec::<String>::new());
        }
    }

    fn advance(&mut self, time: Time) {
        self.now += time;
        self.exchange.clock = Clock::still(self.now);
    }

    /// A new process takes over the folder; the outcomes of calls in flight are lost.
    fn restart(&mut self) {
        self.broken += self.exchange.counts.broken;
        let found = JournalContents::load(&self.folder.path).unwrap().0;
        assert_eq!(self.exchange.audit_file(&found), Vec::<String>::new());
        let in_hand = self.exchange.in_hand();
        let next = Folder::new();
        fs::copy(self.folder.path.join("journal"), next.path.join("journal")).unwrap();
        let away = self.rng.u64(..SECOND);
        self.advance(away);
        (self.exchange, self.orders, self.notices) = open(&next, self.now);
        self.folder = next;
        assert_eq!(self.exchange.in_hand(), in_hand);
        [&mut self.unanswered, &mut self.owed_notices].into_iter().for_each(Vec::clear);
        (self.waiting, self.in_flight) = (Vec::new(), Vec::new());
        self.restarts += 1;
        self.send_list(true);
    }

    fn step(&mut self) {
        match self.rng.u16(..1000) {
            0..250 => self.offer(),
            250..450 => self.begin_call(),
            450..650 => self.end_connect(),
            650..900 => {
                self.turn();
                let time = if self.rng.u8(..50) == 0 { 5000 } else { 30 };
                let time = self.rng.u64(..time);
                self.advance(time);
            }
            900..940 => self.change_list(),
            940..960 => {
                let news = [PeerNote::Down, PeerNote::Recovered, PeerNote::Refusing(self.rng.u64(..9000))]
                    [self.rng.usize(..3)];
                let name = format!("e{}", self.rng.u8(..9));
                self.exchange.note_received(name.as_bytes(), news);
            }
            960..980 => {
                let accepted = self.owed_notices.pop();
                accepted.into_iter().for_each(|serial| self.exchange.notice_accepted(serial));
            }
            980..990 => {
                let late = self.unanswered.pop();
                late.into_iter().for_each(|serial| self.exchange.relayed_late(serial));
            }
            990..996 => {
                let gone = self.in_flight.first().map(|mail| mail.serial);
                gone.into_iter().for_each(|serial| self.exchange.withdraw(serial));
            }
            996..998 => {
                let found = JournalContents::load(&self.folder.path).unwrap().0;
                assert_eq!(self.exchange.audit_file(&found), Vec::<String>::new());
            }
            _ => self.restart(),
        }
    }
}

/// Two seeds that found faults and eight more, or as many as `AUDIT_SEEDS` says.
fn seeds() -> Vec<u64> {
    match std::env::var("AUDIT_SEEDS").ok().and_then(|seeds| seeds.parse().ok()) {
        Some(many) => (1..=many).collect(),
        None => [46, 222].into_iter().chain(1..=8).collect(),
    }
}

#[test]
#[ignore = "a measurement: run it alone, in a release build"]
fn what_the_audit_costs() {
    let (mut turns, mut turn_time, mut audits, mut audit_time) = (0, Duration::ZERO, 0, Duration::ZERO);
    for seed in seeds() {
        let mut run = RandomRun::new(seed);
        for _ in 0..6000 {
            run.step();
            let start = Instant::now();
            std::hint::black_box(run.exchange.audit());
            (audits, audit_time) = (audits + 1, audit_time + start.elapsed());
        }
        (turns, turn_time) = (turns + run.turns, turn_time + run.turn_time);
    }
    println!(
        "{:.0} turns a second; a turn takes {:?}, an audit {:?}",
        f64::from(turns) / turn_time.as_secs_f64(),
        turn_time / turns,
        audit_time / audits
    );
}

#[test]
fn the_audit_finds_nothing_under_random_load_and_faults() {
    let (mut taken, mut begun, mut restarts, mut runs) = (0, 0, 0, 0);
    for seed in seeds() {
        println!("seed {seed}"); // shown on failure
        let mut run = RandomRun::new(seed);
        (0..6000).for_each(|_| run.step());
        run.broken += run.exchange.counts.broken;
        assert_eq!(run.broken, 0);
        (taken, begun) = (taken + run.taken, begun + run.begun);
        (restarts, runs) = (restarts + run.restarts, runs + 1);
    }
    println!("{runs} runs: {taken} mails accepted, {begun} connects begun, {restarts} restarts");
    assert!(taken > 800 * runs && begun > 500 * runs && restarts > 7 * runs);
}

/// Hands in `many` mails for the first destination, runs a turn and returns their calls.
fn submit_and_take_calls(run: &mut RandomRun, class: &str, many: usize) -> Vec<Call> {
    let taken = run.exchange.counts.taken;
    for i in 0..many {
        let offer = Offer {
            id: text(&format!("m{taken}-{i}")),
            key: Bytes::new(),
            order_key: text("0000"),
            class: text(class),
            destination: 0,
            lifetime: Duration::from_secs(4),
            body: Bytes::from_static(b"x"),
        };
        assert!(matches!(run.exchange.hand_in(offer), Answer::Taken(_)));
    }
    run.turn();
    std::mem::take(&mut run.waiting)
}

/// A courier whose list has a single endpoint, of the first destination.
fn with_one_endpoint() -> RandomRun {
    let mut run = RandomRun::new(1);
    let entry = json!({"name": "e0", "group": 0, "type": "single", "zone": "a", "status": "SERVING", "weight": 9000.0});
    let list = json!({"index": 7, "snapshot": true, "endpoints": [entry]});
    run.exchange.listed(&serde_json::from_value(list).unwrap());
    run
}

#[test]
fn waits_notes_and_list_changes_apply_to_calls_that_begin_before_the_next_turn() {
    for event in ["wait", "note", "drain", "gone", "nothing"] {
        let mut run = with_one_endpoint();
        let calls = submit_and_take_calls(&mut run, "once", 2);
        let [first, second] = &calls[..] else { panic!("{calls:?}") };
        assert_eq!(run.exchange.begin(first, first.mails.clone()).len(), 1);
        let changed = |status: &str| {
            let entry = json!({"name": "e0", "group": 0, "type": "single", "zone": "a", "status": status});
            serde_json::from_value::<List>(json!({"index": 8, "snapshot": false, "endpoints": [entry]}))
                .unwrap()
        };
        match event {
            "wait" => {
                let wait = Duration::from_secs(1);
                run.exchange.connect_ended(
                    first.mails[0].serial,
                    ConnectReport { retry_after: wait, ..ConnectReport::of(Outcome::Refused) },
                );
            }
            "note" => run.exchange.note_received(b"e0", PeerNote::Refusing(SECOND)),
            "drain" => run.exchange.listed(&changed("DRAINING")),
            "gone" => {
                let whole = json!({"index": 8, "snapshot": true, "endpoints": []});
                run.exchange.listed(&serde_json::from_value(whole).unwrap());
            }
            _ => {}
        }
        // Without a turn in between.
        let going = run.exchange.begin(second, second.mails.clone()).len();
        assert_eq!(going, usize::from(event == "nothing"), "{event}");
        run.turn();
        assert_eq!((run.exchange.in_hand(), run.exchange.counts.broken), (2, 0), "{event}");
    }
}

#[test]
fn a_mail_that_is_relayed_late_between_its_timeout_and_the_next_turn_is_not_given_up() {
    let mut run = RandomRun::new(1);
    let calls = submit_and_take_calls(&mut run, "once", 1);
    let mail = run.exchange.begin(&calls[0], calls[0].mails.clone()).remove(0);
    run.exchange.connect_ended(mail.serial, ConnectReport::of(Outcome::Silent));
    run.exchange.relayed_late(mail.serial);
    run.turn();
    assert_eq!((run.exchange.in_hand(), run.exchange.counts.broken, run.owed_notices.len()), (0, 0, 0));
}

#[test]
fn lists_of_a_lower_version_are_counted() {
    let mut run = RandomRun::new(1);
    let list = |index: u64, snapshot: bool, status: &str| {
        let entry = json!({"name": "e0", "group": 0, "type": "single", "zone": "a", "status": status});
        let list = json!({"index": index, "snapshot": snapshot, "endpoints": [entry]});
        serde_json::from_value::<List>(list).unwrap()
    };
    // (version, whole list, status of the endpoint, calls that begin, lists with a lower version so far)
    let rows = [
        (20, true, "SERVING", 1, 0),
        (19, false, "DRAINING", 0, 1),
        (20, false, "SERVING", 1, 1),
        (12, false, "SERVING", 1, 2),
        (5, true, "SERVING", 1, 3),
        (4, false, "DRAINING", 0, 4),
        (6, false, "DRAINING", 0, 4),
    ];
    for (version, whole, status, calls, older) in rows {
        run.exchange.listed(&list(version, whole, status));
        let begun = submit_and_take_calls(&mut run, "again", 1);
        assert_eq!((begun.len(), run.exchange.counts.older), (calls, older), "{version} {status}");
        let sent: Vec<CallMail> =
            begun.iter().flat_map(|call| run.exchange.begin(call, call.mails.clone())).collect();
        assert_eq!(sent.len(), calls, "{version} {status}");
        for mail in sent {
            run.exchange.connect_ended(
                mail.serial,
                ConnectReport { finished: true, ..ConnectReport::of(Outcome::Unsent) },
            );
        }
        let left: Vec<u64> = JournalContents::load(&run.folder.path).unwrap().0.owed.into_keys().collect();
        left.into_iter().for_each(|serial| run.exchange.withdraw(serial));
        run.turn();
        assert_eq!(run.exchange.in_hand(), 0);
    }
}

#[test]
fn calls_of_two_slots_to_one_endpoint_are_never_merged() {
    let mut run = RandomRun::new(1);
    // A call takes ten mails. Some are so big that the first call is split and then has room for more mails by number.
    for i in 0..20 {
        let offer = Offer {
            id: text(&format!("m{i}")),
            key: Bytes::new(),
            order_key: text("0000"),
            class: text("again"),
            destination: 1,
            lifetime: Duration::from_secs(4),
            body: vec![b'x'; if i % 3 == 0 { 30_000 } else { 9 }].into(),
        };
        assert!(matches!(run.exchange.hand_in(offer), Answer::Taken(_)));
    }
    run.exchange.listed(
        &serde_json::from_value(json!({"index": 7, "snapshot": true, "endpoints": [
        {"name": "e1", "group": 1, "type": "many", "zone": "a", "status": "SERVING", "weight": 9000.0}]}))
        .unwrap(),
    );
    run.turn();
    let mails = |slot: usize| -> usize {
        run.waiting.iter().filter(|call| call.slot == slot).map(|call| call.mails.len()).sum()
    };
    assert_eq!([mails(0), mails(1)], [10, 10]);
    assert!(run.waiting.len() > 2, "a call is split by size");
    assert_eq!(run.exchange.audit(), Vec::<String>::new());
}

/// A courier after a turn, with waiting mails and with calls in flight, some with ordering keys, some with several mails.
#[cfg(any(debug_assertions, feature = "spoil"))]
fn with_calls_in_flight() -> RandomRun {
    let mut run = RandomRun::new(1);
    for i in 0..60 {
        let class = CLASSES[i % 4];
        let offer = Offer {
            id: text(&format!("m{i}")),
            key: Bytes::new(),
            order_key: text("7f3a"),
            class: text(class),
            destination: i as u64 % 3,
            lifetime: Duration::from_secs(4),
            body: vec![b'x'; 9].into(),
        };
        assert!(matches!(run.exchange.hand_in(offer), Answer::Taken(_)));
    }
    run.turn();
    for call in std::mem::take(&mut run.waiting) {
        let mails = call.mails.clone();
        run.in_flight.extend(run.exchange.begin(&call, mails));
    }
    assert!(run.in_flight.len() > 3 && run.exchange.in_hand() > run.in_flight.len());
    assert_eq!(run.exchange.audit(), Vec::<String>::new());
    run
}

#[cfg(any(debug_assertions, feature = "spoil"))]
#[test]
fn each_book_that_is_spoilt_is_found() {
    // (what is corrupted, text of the finding)
    let rows = [
        ("taken", "mails accepted and restored: 61 kept, 60 counted"),
        ("ended", "mails accepted and restored: 60 kept, 61 counted"),
        ("open mails", "mails not given up: 61 kept, 60 counted"),
        ("an id", "mail 1 is not found by its id"),
        ("one id more", "ids of owed mails: 61 kept, 60 counted"),
        ("bytes on file", "journal bytes of owed mails: "),
        ("an index of a mail", "mail indices: 61 kept, 60 counted"),
        ("an outcome", "pending connects: "),
        ("a connect lost", "mails of calls in flight: "),
        ("a record lost", "is in flight without a record"),
        ("a record too many", "records of connects in flight: "),
        ("an endpoint", "is in flight to endpoint "),
        ("a group", "is in flight to destination "),
        ("a mail twice", "mails in flight: "),
        ("two calls made one", "call 0 carries mails of slots "),
        ("a version", "list version: 5 kept, 6 counted"),
        ("an older list", "lists with a lower version: 1 kept, 0 counted"),
        ("slots", "slots taken: "),
        ("calls to a destination", "calls out to destination "),
        ("calls to an endpoint", "calls out to endpoint "),
        ("mails of a call", "mails of the call in slot "),
        ("open", "open mails: "),
        ("a line that lost a mail", "in lines: 1 kept, 0 counted"),
        ("a line with a mail twice", "in lines: 1 kept, 2 counted"),
        ("the line of a key", "in lines of keys: 1 kept, 0 counted"),
        ("a mail's destination", "is out to destination "),
    ];
    for (what, words) in rows {
        let mut run = with_calls_in_flight();
        assert!(run.exchange.spoil(what), "{what}");
        let faults = run.exchange.audit();
        println!("{what}: {faults:?}");
        assert!(faults.iter().any(|fault| fault.contains(words)), "{what}: {faults:?}");
    }
}

/// Debug builds panic on a broken rule; release builds count it.
#[cfg(any(debug_assertions, feature = "spoil"))]
fn assert_reported(run: &mut RandomRun, words: &str, act: impl FnOnce(&mut RandomRun)) {
    let done = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| act(run)));
    match done {
        Ok(()) => assert!(!cfg!(debug_assertions) && run.exchange.counts.broken > 0, "{words}"),
        Err(payload) => {
            let message = payload.downcast_ref::<String>().cloned().unwrap_or_else(|| {
                payload.downcast_ref::<&str>().map_or(String::new(), |text| text.to_string())
            });
            assert!(cfg!(debug_assertions) && message.contains(words), "{words}: {message}");
        }
    }
}

#[cfg(any(debug_assertions, feature = "spoil"))]
#[test]
fn the_exchange_reports_audit_findings() {
    assert_reported(
        &mut with_calls_in_flight(),
        "the audit found: mails accepted and restored: 61 kept, 60 counted",
        |run| {
            assert!(run.exchange.spoil("taken"));
            (0..256).for_each(|_| run.exchange.turn());
        },
    );
    assert_reported(&mut with_one_endpoint(), "a call begins before a told wait is over", |run| {
        let calls = submit_and_take_calls(run, "once", 2);
        assert_eq!(run.exchange.begin(&calls[0], calls[0].mails.clone()).len(), 1);
        assert!(run.exchange.spoil("a told wait"));
        run.exchange.begin(&calls[1], calls[1].mails.clone());
    });
    assert_reported(&mut with_one_endpoint(), "a call begins with a connect that is not out", |run| {
        let calls = submit_and_take_calls(run, "once", 1);
        (0..2).for_each(|_| drop(run.exchange.begin(&calls[0], calls[0].mails.clone())));
    });
    assert_reported(&mut with_calls_in_flight(), "an outcome came for a connect that is not out", |run| {
        let serial = run.in_flight[0].serial;
        (0..2).for_each(|_| run.exchange.connect_ended(serial, ConnectReport::of(Outcome::Broken)));
    });
}

/// A courier process that logs to a file of its own.
struct Process {
    listen: SocketAddr,
    folder: Folder,
    config: Value,
    child: Child,
    started: usize,
}

impl Process {
    fn start(platform: &Platform, peer_addresses: [SocketAddr; 3], i: usize) -> Process {
        let (listen, folder) = (unique_address(), Folder::new());
        let mut config = config(platform, listen);
        let others: Vec<String> = (0..3).filter(|&o| o != i).map(|o| peer_addresses[o].to_string()).collect();
        config["settings"]["Limits"]["MayTell"] = json!(true);
        config["settings"]["NInstances"] = json!(3);
        config["peers"] = json!({"listen": peer_addresses[i].to_string(), "others": others});
        let child = Process::spawn(&folder, &config, 0);
        let process = Process { listen, folder, config, child, started: 0 };
        process.ready();
        process
    }

    fn spawn(folder: &Folder, config: &Value, started: usize) -> Child {
        let log = File::create(folder.path.join(format!("log{started}"))).unwrap();
        let mut command = command(folder, config, "serve");
        command.env("RUST_LOG", "info").stderr(log).stdin(Stdio::null()).spawn().unwrap()
    }

    fn ready(&self) {
        wait_until("the courier's first answer", || {
            Client::connect(self.listen).is_ok_and(|mut client| client.request(b"PING\r\n") == "+PONG")
        });
    }

    /// Ends the process by SIGKILL or SIGTERM. It must not have exited before, and its log must have no error.
    fn end(&mut self, killed: bool) {
        assert!(self.child.try_wait().unwrap().is_none(), "the courier has exited: {}", self.log());
        if killed {
            self.child.kill().unwrap();
        } else {
            let id = self.child.id().to_string();
            assert!(Command::new("kill").args(["-TERM", &id]).status().unwrap().success());
            wait_until("exit of the courier", || self.child.try_wait().unwrap().is_some());
        }
        let well = self.child.wait().unwrap().success();
        let log = self.log();
        assert!(!log.contains("ERROR") && !log.contains("panicked"), "{log}");
        if !killed {
            let last = log.lines().last().unwrap_or_default();
            assert!(well && last.contains("has ended") && last.contains("broken: 0"), "{log}");
        }
    }

    fn log(&self) -> String {
        fs::read_to_string(self.folder.path.join(format!("log{}", self.started))).unwrap()
    }

    fn restart(&mut self) {
        self.started += 1;
        self.child = Process::spawn(&self.folder, &self.config, self.started);
        self.ready();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

#[test]
fn three_couriers_that_are_killed_and_restarted_report_no_broken_rule() {
    let seed = 5;
    println!("seed {seed}");
    let mut rng = fastrand::Rng::with_seed(seed);
    let platform = Platform::new();
    let script = |rng: &mut fastrand::Rng| -> Vec<Reply> {
        let replies = [
            OK,
            Reply::Status(500, ""),
            Reply::Status(429, "Retry-After: 0.050\r\n"),
            Reply::Status(503, "X-Over-Slots: 1\r\n"),
            Reply::Status(410, ""),
            Reply::CloseConnection,
            Reply::NoAnswer,
            Reply::Delayed(200, Box::new(OK)),
            Reply::Raw("HTTP/1.1 20"),
        ];
        let one = |_| if rng.bool() { OK } else { replies[rng.usize(..9)].clone() };
        (0..200).map(one).collect()
    };
    let endpoints: Vec<Endpoint> = (0..4).map(|_| Endpoint::new(&script(&mut rng))).collect();
    let list = |i: usize, status: &str| {
        let (kind, destination) = [("single", 7), ("many", 8)][i % 2];
        platform.set_entry(&format!("e{i}"), endpoints[i].address, kind, destination, status);
    };
    (0..4).for_each(|i| list(i, "SERVING"));
    let peer_addresses = [0; 3].map(|_| unique_address());
    let mut couriers = [0, 1, 2].map(|i| Process::start(&platform, peer_addresses, i));
    let mut taken = 0;
    for step in 0..60 {
        let courier = &mut couriers[rng.usize(..3)];
        match rng.u8(..20) {
            0..=13 => {
                let Ok(mut client) = Client::connect(courier.listen) else {
                    panic!("the courier has exited")
                };
                for n in 0..rng.usize(1..12) {
                    let class = CLASSES[rng.usize(..4)];
                    let more = format!("d={},k=77", rng.u32(50..2500));
                    let mut mail = put(["0", "7f3a"][n % 2], &format!("{step}-{n}"), class, &more, b"hello");
                    if rng.bool() {
                        let at = mail.windows(6).position(|six| six == b"dest=7").unwrap();
                        mail[at + 5] = b'8';
                    }
                    taken += usize::from(client.request(&mail) == "+OK");
                }
            }
            14..=16 => list(rng.usize(..4), ["SERVING", "SERVING", "DRAINING", "DELETED"][rng.usize(..4)]),
            17..=18 => {
                courier.end(true);
                courier.restart();
            }
            _ => {
                courier.end(false);
                courier.restart();
            }
        }
    }
    let started: Vec<usize> = couriers.iter().map(|courier| courier.started).collect();
    println!("{taken} mails accepted, restarts {started:?}");
    assert!(taken > 100 && started.iter().sum::<usize>() > 4);
    couriers.iter_mut().for_each(|courier| courier.end(false));
}
