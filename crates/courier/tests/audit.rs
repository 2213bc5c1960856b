//! The audit: it finds nothing in days of random load and random faults, and each book that is spoilt.

mod common;

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use bytes::Bytes;
use common::{
    command, config, own_address, put, settings, until, Client, Endpoint, Folder, Platform, Reply, OK,
};
use meadowhold::interface::{Outcome, PeerNote, Time, SECOND};
use meadowhold_courier::discovery::List;
use meadowhold_courier::exchange::{
    Answer, Call, CallMail, Clock, ConnectReport, Exchange, Notice, Offer, Order,
};
use meadowhold_courier::journal::{Found, Journal};
use meadowhold_settings::decode_json;
use serde_json::{json, Value};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver};

/// A process's start, in the module's time.
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

/// A courier's exchange, with all that is round it played by chance: clients, endpoints, the list, other couriers, the
/// platform, time and the process's end.
struct Day {
    chance: fastrand::Rng,
    now: Time,
    folder: Folder,
    exchange: Exchange,
    orders: UnboundedReceiver<Order>,
    notices: UnboundedReceiver<Notice>,
    /// Calls that wait for their connection, and mails whose call has begun.
    waiting: Vec<Call>,
    out: Vec<CallMail>,
    /// Told of as silent; what came of them may turn out yet.
    silent: Vec<u64>,
    owed_notices: Vec<u64>,
    entries: BTreeMap<String, Value>,
    index: u64,
    old_lines: Vec<List>,
    ids: u64,
    broken: u64,
    taken: u64,
    begun: u64,
    restarts: u64,
    turns: u32,
    turning: Duration,
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

impl Day {
    fn new(seed: u64) -> Day {
        let (folder, now) = (Folder::new(), START);
        let (exchange, orders, notices) = open(&folder, now);
        let mut day = Day {
            chance: fastrand::Rng::with_seed(seed),
            now,
            folder,
            exchange,
            orders,
            notices,
            waiting: Vec::new(),
            out: Vec::new(),
            silent: Vec::new(),
            owed_notices: Vec::new(),
            entries: BTreeMap::new(),
            index: 1,
            old_lines: Vec::new(),
            ids: 0,
            broken: 0,
            taken: 0,
            begun: 0,
            restarts: 0,
            turns: 0,
            turning: Duration::ZERO,
        };
        for name in ["e0", "e1", "e2", "e3", "e4"] {
            day.change(name, "SERVING");
        }
        day.list(true);
        day
    }

    /// An entry's kind follows from its destination, as everywhere; the second kind's calls carry ten.
    fn change(&mut self, name: &str, status: &str) {
        let group = name.as_bytes()[1] % 3;
        let kind = ["single", "many", "single"][usize::from(group)];
        // Now and then it has moved, or turns up at another destination.
        let group = if self.chance.u8(..60) == 0 { 3 } else { group };
        let port = if self.chance.u8(..8) == 0 { self.chance.u8(1..9) } else { 9 };
        let entry = json!({"name": name, "address": format!("127.0.0.1:{port}"), "zone": "a", "type": kind,
            "group": group, "status": status, "weight": 100.0, "since_ms": 0});
        self.entries.insert(name.to_string(), entry);
        self.index += 1;
    }

    fn list(&mut self, whole: bool) {
        let some = self.entries.values().filter(|_| whole || self.chance.u8(..3) == 0).cloned();
        let some: Vec<Value> = some.collect();
        let list = json!({"index": self.index, "snapshot": whole, "endpoints": some});
        let list: List = serde_json::from_value(list).unwrap();
        self.exchange.listed(&list);
        self.old_lines.push(list);
    }

    fn some_change(&mut self) {
        let name = format!("e{}", self.chance.u8(..9));
        let status = ["SERVING", "SERVING", "SERVING", "DRAINING", "DELETED"][self.chance.usize(..5)];
        match self.chance.u8(..12) {
            0 => drop(self.entries.remove(&name)),
            _ => self.change(&name, status),
        }
        let whole = self.chance.u8(..6) == 0;
        self.list(whole);
        // Lines of other days come late, and another agent's whole list with versions of its own.
        if self.chance.u8(..4) == 0 && !self.old_lines.is_empty() {
            let old = self.old_lines[self.chance.usize(..self.old_lines.len())].clone();
            self.exchange.listed(&old);
        }
    }

    fn offer(&mut self) {
        self.ids += u64::from(self.chance.u8(..8) > 0); // else the same once more
        let class = CLASSES[self.chance.usize(..4)];
        let offer = Offer {
            id: text(&self.ids.to_string()),
            key: Bytes::new(),
            order_key: text(["0000", "7f3a", "9b1f"][self.chance.usize(..3)]),
            class: text(class),
            destination: self.chance.u64(..4),
            lifetime: Duration::from_millis(self.chance.u64(1..4000)),
            body: vec![b'x'; self.chance.usize(..300) * if self.chance.u8(..20) == 0 { 100 } else { 1 }]
                .into(),
        };
        if let Answer::Taken(serial) = self.exchange.hand_in(offer) {
            self.taken += 1;
            if self.chance.u8(..20) == 0 {
                self.exchange.withdraw(serial);
            }
        }
    }

    fn begin(&mut self) {
        if self.waiting.is_empty() {
            return;
        }
        let mut call = self.waiting.swap_remove(self.chance.usize(..self.waiting.len()));
        let mails = std::mem::take(&mut call.mails);
        if self.chance.u8(..10) == 0 {
            let unreached = ConnectReport::of(Outcome::Unreached);
            return mails.iter().for_each(|mail| self.exchange.connect_ended(mail.serial, unreached.clone()));
        }
        let going = self.exchange.begin(&call, mails);
        self.begun += going.len() as u64;
        self.out.extend(going);
    }

    fn outcome(&mut self) {
        if self.out.is_empty() {
            return;
        }
        let mail = self.out.swap_remove(self.chance.usize(..self.out.len()));
        let any = OUTCOMES[self.chance.usize(..9)];
        let outcome = if self.chance.bool() { Outcome::Relayed } else { any };
        let wait = if outcome == Outcome::Refused { self.chance.u64(..1500) } else { 0 };
        let over = outcome == Outcome::Relayed || outcome == Outcome::Unsent && self.chance.bool();
        let (wait, kept) = (Duration::from_millis(wait), self.chance.bool());
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
            self.silent.push(mail.serial);
        }
    }

    fn turn(&mut self) {
        let start = Instant::now();
        self.exchange.turn();
        (self.turns, self.turning) = (self.turns + 1, self.turning + start.elapsed());
        while let Ok(order) = self.orders.try_recv() {
            self.waiting.extend(if let Order::Call(call) = order { Some(call) } else { None });
        }
        while let Ok(notice) = self.notices.try_recv() {
            self.owed_notices.push(notice.serial);
        }
        // In debug builds the exchange itself has looked, and has stopped the test.
        if !cfg!(debug_assertions) {
            assert_eq!(self.exchange.audit(), Vec::<String>::new());
        }
    }

    fn pass(&mut self, time: Time) {
        self.now += time;
        self.exchange.clock = Clock::still(self.now);
    }

    /// The process is gone, and another has its folder: what was out is lost to it.
    fn restart(&mut self) {
        self.broken += self.exchange.counts.broken;
        let found = Found::load(&self.folder.path).unwrap().0;
        assert_eq!(self.exchange.audit_file(&found), Vec::<String>::new());
        let in_hand = self.exchange.in_hand();
        let next = Folder::new();
        fs::copy(self.folder.path.join("journal"), next.path.join("journal")).unwrap();
        let away = self.chance.u64(..SECOND);
        self.pass(away);
        (self.exchange, self.orders, self.notices) = open(&next, self.now);
        self.folder = next;
        assert_eq!(self.exchange.in_hand(), in_hand);
        [&mut self.silent, &mut self.owed_notices].into_iter().for_each(Vec::clear);
        (self.waiting, self.out) = (Vec::new(), Vec::new());
        self.restarts += 1;
        self.list(true);
    }

    fn step(&mut self) {
        match self.chance.u16(..1000) {
            0..250 => self.offer(),
            250..450 => self.begin(),
            450..650 => self.outcome(),
            650..900 => {
                self.turn();
                let time = if self.chance.u8(..50) == 0 { 5000 } else { 30 };
                let time = self.chance.u64(..time);
                self.pass(time);
            }
            900..940 => self.some_change(),
            940..960 => {
                let news = [PeerNote::Down, PeerNote::Recovered, PeerNote::Refusing(self.chance.u64(..9000))]
                    [self.chance.usize(..3)];
                let name = format!("e{}", self.chance.u8(..9));
                self.exchange.note_received(name.as_bytes(), news);
            }
            960..980 => {
                let told = self.owed_notices.pop();
                told.into_iter().for_each(|serial| self.exchange.notice_accepted(serial));
            }
            980..990 => {
                let late = self.silent.pop();
                late.into_iter().for_each(|serial| self.exchange.relayed_late(serial));
            }
            990..996 => {
                let gone = self.out.first().map(|mail| mail.serial);
                gone.into_iter().for_each(|serial| self.exchange.withdraw(serial));
            }
            996..998 => {
                let found = Found::load(&self.folder.path).unwrap().0;
                assert_eq!(self.exchange.audit_file(&found), Vec::<String>::new());
            }
            _ => self.restart(),
        }
    }
}

/// Two that found faults and eight more, or as many as `AUDIT_SEEDS` says.
fn seeds() -> Vec<u64> {
    match std::env::var("AUDIT_SEEDS").ok().and_then(|seeds| seeds.parse().ok()) {
        Some(many) => (1..=many).collect(),
        None => [46, 222].into_iter().chain(1..=8).collect(),
    }
}

#[test]
#[ignore = "a measurement: run it alone, in a release build"]
fn what_the_audit_costs() {
    let (mut turns, mut turning, mut looks, mut looking) = (0, Duration::ZERO, 0, Duration::ZERO);
    for seed in seeds() {
        let mut day = Day::new(seed);
        for _ in 0..6000 {
            day.step();
            let start = Instant::now();
            std::hint::black_box(day.exchange.audit());
            (looks, looking) = (looks + 1, looking + start.elapsed());
        }
        (turns, turning) = (turns + day.turns, turning + day.turning);
    }
    println!(
        "{:.0} turns a second; a turn takes {:?}, an audit {:?}",
        f64::from(turns) / turning.as_secs_f64(),
        turning / turns,
        looking / looks
    );
}

#[test]
fn the_audit_finds_nothing_in_days_of_random_load_and_faults() {
    let (mut taken, mut begun, mut restarts, mut days) = (0, 0, 0, 0);
    for seed in seeds() {
        println!("seed {seed}"); // shown where it fails
        let mut day = Day::new(seed);
        (0..6000).for_each(|_| day.step());
        day.broken += day.exchange.counts.broken;
        assert_eq!(day.broken, 0);
        (taken, begun) = (taken + day.taken, begun + day.begun);
        (restarts, days) = (restarts + day.restarts, days + 1);
    }
    println!("{days} days: {taken} mails taken, {begun} connects begun, {restarts} restarts");
    assert!(taken > 800 * days && begun > 500 * days && restarts > 7 * days);
}

/// Hands in mails 1 to `many` for the first destination, and takes up their calls in a turn.
fn handed_in(day: &mut Day, class: &str, many: usize) -> Vec<Call> {
    for i in 0..many {
        let offer = Offer {
            id: text(&format!("m{i}")),
            key: Bytes::new(),
            order_key: text("0000"),
            class: text(class),
            destination: 0,
            lifetime: Duration::from_secs(4),
            body: Bytes::from_static(b"x"),
        };
        assert!(matches!(day.exchange.hand_in(offer), Answer::Taken(_)));
    }
    day.turn();
    std::mem::take(&mut day.waiting)
}

/// A courier with one endpoint at the first destination.
fn alone() -> Day {
    let mut day = Day::new(1);
    let entry = json!({"name": "e0", "group": 0, "type": "single", "zone": "a", "status": "SERVING", "weight": 9000.0});
    let list = json!({"index": 7, "snapshot": true, "endpoints": [entry]});
    day.exchange.listed(&serde_json::from_value(list).unwrap());
    day
}

#[test]
fn what_was_told_holds_for_calls_that_begin_before_the_next_turn() {
    for told in ["wait", "note", "drain", "gone", "nothing"] {
        let mut day = alone();
        let calls = handed_in(&mut day, "once", 2);
        let [first, second] = &calls[..] else { panic!("{calls:?}") };
        assert_eq!(day.exchange.begin(first, first.mails.clone()).len(), 1);
        let changed = |status: &str| {
            let entry = json!({"name": "e0", "group": 0, "type": "single", "zone": "a", "status": status});
            serde_json::from_value::<List>(json!({"index": 8, "snapshot": false, "endpoints": [entry]}))
                .unwrap()
        };
        match told {
            "wait" => {
                let wait = Duration::from_secs(1);
                day.exchange.connect_ended(
                    first.mails[0].serial,
                    ConnectReport { retry_after: wait, ..ConnectReport::of(Outcome::Refused) },
                );
            }
            "note" => day.exchange.note_received(b"e0", PeerNote::Refusing(SECOND)),
            "drain" => day.exchange.listed(&changed("DRAINING")),
            "gone" => {
                let whole = json!({"index": 8, "snapshot": true, "endpoints": []});
                day.exchange.listed(&serde_json::from_value(whole).unwrap());
            }
            _ => {}
        }
        // No turn in between.
        let going = day.exchange.begin(second, second.mails.clone()).len();
        assert_eq!(going, usize::from(told == "nothing"), "{told}");
        day.turn();
        assert_eq!((day.exchange.in_hand(), day.exchange.counts.broken), (2, 0), "{told}");
    }
}

#[test]
fn a_mail_whose_client_goes_between_its_outcome_and_the_next_turn_is_given_up_by_nobody() {
    let mut day = Day::new(1);
    let calls = handed_in(&mut day, "once", 1);
    let mail = day.exchange.begin(&calls[0], calls[0].mails.clone()).remove(0);
    day.exchange.connect_ended(mail.serial, ConnectReport::of(Outcome::Broken));
    day.exchange.withdraw(mail.serial);
    day.turn();
    assert_eq!((day.exchange.in_hand(), day.exchange.counts.broken, day.owed_notices.len()), (0, 0, 0));
}

#[test]
fn lists_of_a_lower_version_are_counted() {
    let mut day = Day::new(1);
    let list = |index: u64, snapshot: bool, status: &str| {
        let entry = json!({"name": "e0", "group": 0, "type": "single", "zone": "a", "status": status});
        let list = json!({"index": index, "snapshot": snapshot, "endpoints": [entry]});
        serde_json::from_value::<List>(list).unwrap()
    };
    // (version, whole, what it says of the one endpoint, whether a call goes, lists of a lower version so far)
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
        day.exchange.listed(&list(version, whole, status));
        let begun = handed_in(&mut day, "again", 1);
        assert_eq!((begun.len(), day.exchange.counts.older), (calls, older), "{version} {status}");
        for mail in begun.iter().flat_map(|call| &call.mails) {
            day.exchange.connect_ended(
                mail.serial,
                ConnectReport { finished: true, ..ConnectReport::of(Outcome::Unsent) },
            );
        }
        let left: Vec<u64> = Found::load(&day.folder.path).unwrap().0.owed.into_keys().collect();
        left.into_iter().for_each(|serial| day.exchange.withdraw(serial));
        day.turn();
        assert_eq!(day.exchange.in_hand(), 0);
    }
}

#[test]
fn calls_of_two_slots_to_one_endpoint_are_never_made_one() {
    let mut day = Day::new(1);
    // Ten go in a call; some are so big that the first call is cut, and then has room for more in number.
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
        assert!(matches!(day.exchange.hand_in(offer), Answer::Taken(_)));
    }
    day.exchange.listed(
        &serde_json::from_value(json!({"index": 7, "snapshot": true, "endpoints": [
        {"name": "e1", "group": 1, "type": "many", "zone": "a", "status": "SERVING", "weight": 9000.0}]}))
        .unwrap(),
    );
    day.turn();
    let mails = |slot: usize| -> usize {
        day.waiting.iter().filter(|call| call.slot == slot).map(|call| call.mails.len()).sum()
    };
    assert_eq!([mails(0), mails(1)], [10, 10]);
    assert!(day.waiting.len() > 2, "cut by size");
    assert_eq!(day.exchange.audit(), Vec::<String>::new());
}

/// A courier with mails parked and calls out, some of keys and some of several mails, after a turn.
#[cfg(any(debug_assertions, feature = "spoil"))]
fn busy() -> Day {
    let mut day = Day::new(1);
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
        assert!(matches!(day.exchange.hand_in(offer), Answer::Taken(_)));
    }
    day.turn();
    for call in std::mem::take(&mut day.waiting) {
        let mails = call.mails.clone();
        day.out.extend(day.exchange.begin(&call, mails));
    }
    assert!(day.out.len() > 3 && day.exchange.in_hand() > day.out.len());
    assert_eq!(day.exchange.audit(), Vec::<String>::new());
    day
}

#[cfg(any(debug_assertions, feature = "spoil"))]
#[test]
fn each_book_that_is_spoilt_is_found() {
    // (what is spoilt, words of the audit)
    let rows = [
        ("taken", "mails taken and found: 61 kept, 60 counted"),
        ("ended", "mails taken and found: 60 kept, 61 counted"),
        ("open mails", "mails without an end: 61 kept, 60 counted"),
        ("an id", "mail 1 is not known by its id"),
        ("one id more", "ids of mails in hand: 61 kept, 60 counted"),
        ("bytes on file", "bytes owed on file: "),
        ("an index of a mail", "indices of mails: 61 kept, 60 counted"),
        ("an outcome", "connects out: "),
        ("a connect lost", "mails of calls out: "),
        ("a record lost", "is out without a record"),
        ("a record too many", "records of connects out: "),
        ("an endpoint", "is out to endpoint "),
        ("a group", "is out to destination "),
        ("a mail twice", "mails out: "),
        ("two calls made one", "call 0 carries mails of slots "),
        ("a version", "version of the list: 5 kept, 6 counted"),
        ("an older list", "lists of a lower version: 1 kept, 0 counted"),
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
        let mut day = busy();
        assert!(day.exchange.spoil(what), "{what}");
        let faults = day.exchange.audit();
        println!("{what}: {faults:?}");
        assert!(faults.iter().any(|fault| fault.contains(words)), "{what}: {faults:?}");
    }
}

/// Debug builds stop at what is broken; release builds count it.
#[cfg(any(debug_assertions, feature = "spoil"))]
fn is_told(day: &mut Day, words: &str, act: impl FnOnce(&mut Day)) {
    let done = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| act(day)));
    match done {
        Ok(()) => assert!(!cfg!(debug_assertions) && day.exchange.counts.broken > 0, "{words}"),
        Err(said) => {
            let said = said.downcast_ref::<String>().cloned().unwrap_or_else(|| {
                said.downcast_ref::<&str>().map_or(String::new(), |said| said.to_string())
            });
            assert!(cfg!(debug_assertions) && said.contains(words), "{words}: {said}");
        }
    }
}

#[cfg(any(debug_assertions, feature = "spoil"))]
#[test]
fn what_the_audit_finds_is_told_by_the_exchange() {
    is_told(&mut busy(), "the audit found: mails taken and found: 61 kept, 60 counted", |day| {
        assert!(day.exchange.spoil("taken"));
        (0..256).for_each(|_| day.exchange.turn());
    });
    is_told(&mut alone(), "a call begins before a told wait is over", |day| {
        let calls = handed_in(day, "once", 2);
        assert_eq!(day.exchange.begin(&calls[0], calls[0].mails.clone()).len(), 1);
        assert!(day.exchange.spoil("a told wait"));
        day.exchange.begin(&calls[1], calls[1].mails.clone());
    });
    is_told(&mut alone(), "a call begins with a connect that is not out", |day| {
        let calls = handed_in(day, "once", 1);
        (0..2).for_each(|_| drop(day.exchange.begin(&calls[0], calls[0].mails.clone())));
    });
    is_told(&mut busy(), "an outcome came for a connect that is not out", |day| {
        let serial = day.out[0].serial;
        (0..2).for_each(|_| day.exchange.connect_ended(serial, ConnectReport::of(Outcome::Broken)));
    });
}

/// A courier's process; what it says goes to a file of its own.
struct Process {
    listen: SocketAddr,
    folder: Folder,
    config: Value,
    child: Child,
    started: usize,
}

impl Process {
    fn start(platform: &Platform, hears: [SocketAddr; 3], i: usize) -> Process {
        let (listen, folder) = (own_address(), Folder::new());
        let mut config = config(platform, listen);
        let others: Vec<String> = (0..3).filter(|&o| o != i).map(|o| hears[o].to_string()).collect();
        config["settings"]["Limits"]["MayTell"] = json!(true);
        config["settings"]["NInstances"] = json!(3);
        config["peers"] = json!({"listen": hears[i].to_string(), "others": others});
        let child = Process::spawn(&folder, &config, 0);
        let process = Process { listen, folder, config, child, started: 0 };
        process.ready();
        process
    }

    fn spawn(folder: &Folder, config: &Value, started: usize) -> Child {
        let said = File::create(folder.path.join(format!("said{started}"))).unwrap();
        let mut command = command(folder, config, "serve");
        command.env("RUST_LOG", "info").stderr(said).stdin(Stdio::null()).spawn().unwrap()
    }

    fn ready(&self) {
        until("the courier's first answer", || {
            Client::connect(self.listen).is_ok_and(|mut client| client.say(b"PING\r\n") == "+PONG")
        });
    }

    /// Ends by itself, or at once; in both cases it had not ended before, and said nothing of what must not be.
    fn end(&mut self, killed: bool) {
        assert!(self.child.try_wait().unwrap().is_none(), "it has ended: {}", self.said());
        if killed {
            self.child.kill().unwrap();
        } else {
            let id = self.child.id().to_string();
            assert!(Command::new("kill").args(["-TERM", &id]).status().unwrap().success());
            until("its end", || self.child.try_wait().unwrap().is_some());
        }
        let well = self.child.wait().unwrap().success();
        let said = self.said();
        assert!(!said.contains("ERROR") && !said.contains("panicked"), "{said}");
        if !killed {
            let last = said.lines().last().unwrap_or_default();
            assert!(well && last.contains("has ended") && last.contains("broken: 0"), "{said}");
        }
    }

    fn said(&self) -> String {
        fs::read_to_string(self.folder.path.join(format!("said{}", self.started))).unwrap()
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
fn the_last_line_of_each_of_three_couriers_among_kills_says_that_nothing_is_broken() {
    let seed = 5;
    println!("seed {seed}");
    let mut chance = fastrand::Rng::with_seed(seed);
    let platform = Platform::new();
    let script = |chance: &mut fastrand::Rng| -> Vec<Reply> {
        let replies = [
            OK,
            Reply::Status(500, ""),
            Reply::Status(429, "Retry-After: 0.050\r\n"),
            Reply::Status(503, "X-Over-Slots: 1\r\n"),
            Reply::Status(410, ""),
            Reply::Break,
            Reply::Silence,
            Reply::After(200, Box::new(OK)),
            Reply::Raw("HTTP/1.1 20"),
        ];
        let one = |_| if chance.bool() { OK } else { replies[chance.usize(..9)].clone() };
        (0..200).map(one).collect()
    };
    let ends: Vec<Endpoint> = (0..4).map(|_| Endpoint::new(&script(&mut chance))).collect();
    let list = |i: usize, status: &str| {
        let (kind, dest) = [("single", 7), ("many", 8)][i % 2];
        platform.list(&format!("e{i}"), ends[i].address, kind, dest, status);
    };
    (0..4).for_each(|i| list(i, "SERVING"));
    let hears = [0; 3].map(|_| own_address());
    let mut couriers = [0, 1, 2].map(|i| Process::start(&platform, hears, i));
    let mut taken = 0;
    for step in 0..60 {
        let courier = &mut couriers[chance.usize(..3)];
        match chance.u8(..20) {
            0..=13 => {
                let Ok(mut client) = Client::connect(courier.listen) else { panic!("it has ended") };
                for n in 0..chance.usize(1..12) {
                    let class = CLASSES[chance.usize(..4)];
                    let more = format!("d={},k=77", chance.u32(50..2500));
                    let mut mail = put(["0", "7f3a"][n % 2], &format!("{step}-{n}"), class, &more, b"hello");
                    if chance.bool() {
                        let at = mail.windows(6).position(|six| six == b"dest=7").unwrap();
                        mail[at + 5] = b'8';
                    }
                    taken += usize::from(client.say(&mail) == "+OK");
                }
            }
            14..=16 => {
                list(chance.usize(..4), ["SERVING", "SERVING", "DRAINING", "DELETED"][chance.usize(..4)])
            }
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
    println!("{taken} mails taken, restarts {started:?}");
    assert!(taken > 100 && started.iter().sum::<usize>() > 4);
    couriers.iter_mut().for_each(|courier| courier.end(false));
}
