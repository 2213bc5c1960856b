//! A folder left by a process with other settings: its mails are finished under the effect that they were
//! accepted with, and nothing saved for one deployment is used for another.

mod common;

use std::collections::BTreeMap;
use std::fs;
use std::time::Duration;

use bytes::Bytes;
use common::{settings, wait_until, Courier, Endpoint, Folder, Platform};
use meadowhold::interface::{Outcome, Time, SECOND};
use meadowhold_courier::discovery::List;
use meadowhold_courier::exchange::{Answer, Call, Clock, ConnectReport, Exchange, Notice, Offer, Order};
use meadowhold_courier::journal::{Journal, Verdict};
use meadowhold_settings::decode_json;
use serde_json::{json, Value};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver};

const START: Time = 1_700_000_000 * SECOND;

fn class(name: &str, effect: &str) -> Value {
    json!({"Name": name, "Effect": effect, "Group": "all", "DedupWindowUs": 2_000_000, "InTurn": false,
        "PromiseUs": 200_000, "HardLimitUs": 4_000_000, "Worth": 1.0, "LateWorth": 0.0})
}

fn settings_with(classes: &[Value], zones: &[&str]) -> Value {
    let mut settings = settings();
    settings["Profiles"] = json!(classes);
    settings["Dcs"] = json!(zones);
    settings
}

/// One class of each effect.
fn base_classes() -> Vec<Value> {
    vec![class("again", "read_like"), class("tagged", "idempotency_key"), class("once", "non_idempotent")]
}

struct Process {
    exchange: Exchange,
    orders: UnboundedReceiver<Order>,
    notices: UnboundedReceiver<Notice>,
    now: Time,
}

/// Starts a process on this folder with these settings and an endpoint of destination 7 in each of these
/// zones.
fn start(folder: &Folder, settings: &Value, at: &[&str], now: Time) -> Process {
    let (orders_in, orders) = unbounded_channel();
    let (notices_in, notices) = unbounded_channel();
    // A child process that another test is starting holds all our descriptors for a moment, including locks.
    let mut journal = None;
    wait_until("the folder's lock", || match Journal::open(&folder.path, 3_000_000) {
        Err(e) if e.to_string().contains("another courier") => false,
        opened => journal.replace(opened.unwrap()).is_none(),
    });
    let journal = journal.unwrap();
    let decoded = decode_json(1, settings).unwrap();
    let mut exchange = Exchange::with_clock(Clock::still(now), decoded, journal, orders_in, notices_in, None);
    exchange.listed(&list(at));
    Process { exchange, orders, notices, now }
}

fn list(at: &[&str]) -> List {
    let entry = |(i, zone): (usize, &&str)| {
        json!({"name": format!("e{i}"), "address": "127.0.0.1:9", "zone": zone, "type": "single", "group": 7,
            "status": "SERVING", "weight": 1000.0})
    };
    let entries: Vec<Value> = at.iter().enumerate().map(entry).collect();
    serde_json::from_value(json!({"index": 2, "snapshot": true, "endpoints": entries})).unwrap()
}

impl Process {
    fn put(&mut self, id: &str, class: &str) -> u64 {
        let text = |text: &str| Bytes::copy_from_slice(text.as_bytes());
        let answer = self.exchange.hand_in(Offer {
            id: text(id),
            key: text("5c0f"),
            order_key: text("0000"),
            class: text(class),
            destination: 7,
            lifetime: Duration::from_secs(4),
            body: text("hello"),
        });
        let Answer::Taken(serial) = answer else { panic!("{answer:?}") };
        serial
    }

    fn advance(&mut self, ms: u64) {
        self.now += ms * 10;
        self.exchange.clock = Clock::still(self.now);
    }

    /// Runs turns for up to this time until one makes calls, and returns those.
    fn calls(&mut self, ms: u64) -> Vec<Call> {
        let mut calls = Vec::new();
        for _ in 0..=ms / 5 {
            self.exchange.turn();
            while let Ok(order) = self.orders.try_recv() {
                calls.extend(if let Order::Call(call) = order { Some(call) } else { None });
            }
            if !calls.is_empty() {
                break;
            }
            self.advance(5);
        }
        calls
    }

    /// Begins the next call; returns the id of its first mail and its endpoint.
    fn begun(&mut self, ms: u64) -> Option<(String, usize)> {
        let call = self.calls(ms).pop()?;
        let mails = self.exchange.begin(&call, call.mails.clone());
        let id = String::from_utf8(mails.first()?.id.to_vec()).unwrap();
        Some((id, call.endpoint))
    }

    fn ends(&mut self) -> BTreeMap<String, Verdict> {
        let mut ends = BTreeMap::new();
        while let Ok(notice) = self.notices.try_recv() {
            let before = ends.insert(String::from_utf8(notice.id.to_vec()).unwrap(), notice.verdict);
            assert_eq!(before, None, "one notice each");
        }
        ends
    }
}

/// Settings that the next process may have.
fn changed_settings() -> Vec<(&'static str, Vec<Value>)> {
    let [again, tagged, once] =
        [base_classes()[0].clone(), base_classes()[1].clone(), base_classes()[2].clone()];
    let other = |name, effect| vec![class(name, effect)];
    vec![
        ("the same", base_classes()),
        ("another order", vec![once.clone(), tagged.clone(), again.clone()]),
        ("moved by one that is new", [other("new", "read_like"), base_classes()].concat()),
        ("renamed", vec![class("x", "read_like"), class("y", "read_like"), class("z", "read_like")]),
        ("removed", vec![again.clone()]),
        ("only keyed ones", vec![class("once", "idempotency_key"), tagged.clone()]),
        ("may run again now", vec![again, tagged, class("once", "read_like")]),
    ]
}

#[test]
fn a_once_only_mail_that_may_have_run_is_bounced_and_never_sent_again() {
    for (words, classes) in changed_settings() {
        let folder = Folder::new();
        let mut process = start(&folder, &settings_with(&base_classes(), &["a", "b"]), &["a"], START);
        process.put("01", "once");
        assert_eq!(process.begun(0), Some(("01".to_string(), 0)));
        let now = process.now + SECOND;
        drop(process);
        // Twice, since the second process compacts the journal.
        for late in [0, SECOND] {
            let mut next = start(&folder, &settings_with(&classes, &["a", "b"]), &["a"], now + late);
            assert_eq!(next.exchange.in_hand(), 1, "{words}");
            assert!(next.calls(5000).is_empty(), "{words}: sent again");
            assert_eq!(next.ends(), BTreeMap::from([("01".to_string(), Verdict::Dead)]), "{words}");
        }
    }
}

#[test]
fn a_once_only_mail_that_has_not_run_is_sent_once() {
    for (words, classes) in changed_settings() {
        let folder = Folder::new();
        let mut process = start(&folder, &settings_with(&base_classes(), &["a", "b"]), &["a"], START);
        process.put("01", "once");
        drop(process);
        let mut next = start(&folder, &settings_with(&classes, &["a", "b"]), &["a"], START + SECOND);
        assert_eq!(next.begun(0), Some(("01".to_string(), 0)), "{words}");
        next.exchange.connect_ended(1, ConnectReport::of(Outcome::Error));
        assert!(next.calls(5000).is_empty(), "{words}: sent again");
        assert_eq!(next.ends(), BTreeMap::from([("01".to_string(), Verdict::Dead)]), "{words}");
    }
}

#[test]
fn a_redeliverable_mail_is_sent_again_unless_its_class_is_once_only_now() {
    let [again, tagged, once] =
        [base_classes()[0].clone(), base_classes()[1].clone(), base_classes()[2].clone()];
    let rows = [
        ("another order", vec![once.clone(), tagged.clone(), again.clone()], true),
        ("renamed", vec![class("x", "non_idempotent"), class("y", "read_like")], true),
        ("no such effect", vec![once.clone()], true),
        ("must not run twice now", vec![class("again", "non_idempotent"), tagged], false),
    ];
    for (words, classes, sent) in rows {
        let folder = Folder::new();
        let mut process = start(&folder, &settings_with(&base_classes(), &["a", "b"]), &["a"], START);
        process.put("01", "again");
        process.begun(0).unwrap();
        drop(process);
        let mut next = start(&folder, &settings_with(&classes, &["a", "b"]), &["a"], START + SECOND);
        let expected = sent.then(|| ("01".to_string(), 0));
        assert_eq!(next.begun(100), expected, "{words}");
        if !sent {
            assert_eq!(next.ends(), BTreeMap::from([("01".to_string(), Verdict::Dead)]), "{words}");
        }
    }
}

#[test]
fn a_repeat_stays_within_the_shorter_of_both_windows() {
    let shorter = |window: u64| {
        let mut class = class("tagged", "idempotency_key");
        class["DedupWindowUs"] = json!(window);
        class
    };
    // (deduplication window before and after the restart, ms between the processes, whether the mail is sent
    // again)
    for (then, now, away, goes) in [
        (2_000_000, 2_000_000, 1500, true),
        (2_000_000, 1_000_000, 1500, false),
        (1_000_000, 2_000_000, 1500, false),
        (1_000_000, 1_000_000, 500, true),
        (1_000_000, 1_000_000, 950, false),
    ] {
        let folder = Folder::new();
        let mut process = start(&folder, &settings_with(&[shorter(then)], &["a"]), &["a"], START);
        process.put("01", "tagged");
        process.begun(0).unwrap();
        drop(process);
        let next = &mut start(&folder, &settings_with(&[shorter(now)], &["a"]), &["a"], START + away * 10);
        assert_eq!(next.begun(5000).is_some(), goes, "{then} {now} {away}");
    }
}

/// Zones of the settings before and after the restart; the zone of the first connect; the endpoints' zones
/// after it; the endpoint that the repeat may go to.
type ZoneRow =
    (&'static [&'static str], &'static [&'static str], &'static str, &'static [&'static str], Option<usize>);

#[test]
fn a_repeat_stays_in_the_zone_of_the_same_name() {
    let mut by_zone = class("tagged", "idempotency_key");
    by_zone["Group"] = json!("zone");
    let rows: [ZoneRow; 7] = [
        (&["a", "b"], &["a", "b"], "a", &["a"], Some(0)),
        (&["a", "b"], &["a", "b"], "a", &["b"], None),
        (&["a", "b"], &["b", "a"], "a", &["b"], None),
        (&["a", "b"], &["c", "b"], "a", &["c"], None),
        (&["a", "b"], &["b"], "a", &["b"], None),
        // A zone that no settings name.
        (&["a"], &["a"], "x", &["y"], None),
        (&["a"], &["a"], "x", &["a", "y"], None),
    ];
    for (then, now, first, at, to) in rows {
        let folder = Folder::new();
        let mut process = start(&folder, &settings_with(&[by_zone.clone()], then), &[first], START);
        process.put("01", "tagged");
        process.begun(0).unwrap();
        drop(process);
        let mut next = start(&folder, &settings_with(&[by_zone.clone()], now), at, START + SECOND / 10);
        assert_eq!(next.begun(5000).map(|(_, at)| at), to, "{then:?} {now:?} {first} {at:?}");
        if to.is_none() {
            assert_eq!(next.ends(), BTreeMap::from([("01".to_string(), Verdict::Dead)]));
        }
    }
}

#[test]
fn zones_that_the_settings_do_not_name_are_distinct() {
    let mut by_zone = class("tagged", "idempotency_key");
    by_zone["Group"] = json!("zone");
    let mut process = start(&Folder::new(), &settings_with(&[by_zone], &["a"]), &["x"], START);
    let serial = process.put("01", "tagged");
    process.begun(0).unwrap();
    process.exchange.listed(&list(&["DRAINED", "y"]));
    process.exchange.connect_ended(serial, ConnectReport::of(Outcome::Error));
    let call = process.calls(1900);
    assert!(call.iter().all(|call| call.endpoint == 0), "{call:?}");
}

#[test]
fn mails_for_a_destination_that_is_no_longer_listed_are_kept_until_they_expire() {
    let folder = Folder::new();
    let mut process = start(&folder, &settings_with(&base_classes(), &["a", "b"]), &["a"], START);
    for (i, class) in ["again", "tagged", "once"].iter().enumerate() {
        process.put(&format!("0{i}"), class);
    }
    drop(process);
    let mut next = start(&folder, &settings_with(&base_classes(), &["a", "b"]), &[], START + SECOND);
    assert!(next.calls(2900).is_empty());
    assert_eq!((next.ends(), next.exchange.in_hand()), (BTreeMap::new(), 3), "not expired yet");
    assert!(next.calls(100).is_empty());
    let ends = next.ends();
    assert!(ends.len() == 3 && ends.values().all(|end| matches!(end, Verdict::Bounced(_))), "{ends:?}");
}

#[test]
fn mails_of_a_journal_without_effects_never_run_twice() {
    for (class, out) in [(0u16, true), (0, false), (2, false), (9, false)] {
        let folder = Folder::new();
        // As version 0.3 wrote it.
        let mut record = vec![7, 0, 0, 0, 0, 0, 0, 0, 9];
        record.extend(START.to_be_bytes().iter().chain(b"\0\x02a1\0\0\0\0").chain(&class.to_be_bytes()));
        let due = START + 4 * SECOND;
        record.extend(7u64.to_be_bytes().iter().chain(&due.to_be_bytes()).chain(&0u32.to_be_bytes()));
        record.extend([0; 22].iter().chain(b"xyz"));
        let mut file = b"meadowhold journal 1\n".to_vec();
        let mut add = |record: &[u8]| {
            file.extend(
                (record.len() as u32).to_be_bytes().iter().chain(&crc32fast::hash(record).to_be_bytes()),
            );
            file.extend(record);
        };
        add(&record);
        if out {
            let mut record = vec![2, 0, 0, 0, 0, 0, 0, 0, 9];
            record.extend((START + 50).to_be_bytes().iter().chain(&[0, 0]));
            add(&record);
        }
        fs::create_dir_all(&folder.path).unwrap();
        fs::write(folder.path.join("journal"), file).unwrap();
        let mut next = start(&folder, &settings_with(&base_classes(), &["a", "b"]), &["a"], START + SECOND);
        assert_eq!(next.begun(100).is_some(), !out, "{class}");
        if !out {
            next.exchange.connect_ended(9, ConnectReport::of(Outcome::Error));
        }
        assert!(next.calls(5000).is_empty(), "{class}: sent again");
        assert_eq!(next.ends(), BTreeMap::from([("a1".to_string(), Verdict::Dead)]), "{class}");
    }
}

/// What a mail was accepted with, and what became of it, as seen from outside.
#[derive(Default)]
struct MailHistory {
    name: String,
    effect: String,
    window: Time,
    by_zone: bool,
    /// Connects that have begun and may have run: when, and in which zone.
    ran: Vec<(Time, String)>,
    over: bool,
    notice: Option<Verdict>,
}

/// Consecutive processes with random settings on one folder, each killed at a random time.
struct RandomRestarts {
    chance: fastrand::Rng,
    histories: BTreeMap<String, MailHistory>,
    repeats: usize,
}

impl RandomRestarts {
    fn pick<'a>(&mut self, of: &[&'a str]) -> &'a str {
        of[self.chance.usize(..of.len())]
    }

    /// Random classes with random effects, and zones in random order.
    fn settings(&mut self) -> (Value, Vec<&'static str>) {
        let mut names = vec!["n", "p", "q", "r"];
        self.chance.shuffle(&mut names);
        names.truncate(self.chance.usize(1..=4));
        let classes = names.into_iter().map(|name| {
            let effect = self.pick(&["read_like", "idempotency_key", "idempotency_key", "non_idempotent"]);
            let mut class = class(name, effect);
            class["Group"] = json!(self.pick(&["all", "zone"]));
            class["DedupWindowUs"] = json!(self.chance.u64(5..40) * 100_000);
            class["InTurn"] = json!(self.chance.u8(..4) == 0);
            class
        });
        let classes: Vec<Value> = classes.collect();
        let mut zones = vec!["a", "b", "c"];
        self.chance.shuffle(&mut zones);
        zones.truncate(self.chance.usize(1..=3));
        (settings_with(&classes, &zones), zones)
    }

    fn begin(
        &mut self,
        process: &mut Process,
        call: Call,
        at: &[&str],
        classes: &[Value],
    ) -> Vec<(u64, String)> {
        let (now, zone) = (process.now, at[call.endpoint]);
        let begun = process.exchange.begin(&call, call.mails.clone());
        let mut out = Vec::new();
        for mail in begun {
            let id = String::from_utf8(mail.id.to_vec()).unwrap();
            let history = self.histories.get_mut(&id).unwrap();
            assert!(!history.over && history.notice.is_none(), "{id} is finished already");
            let strict = classes.iter().any(|c| c["Name"] == history.name && c["Effect"] == "non_idempotent");
            if let Some((first, where_first)) = history.ran.first() {
                self.repeats += 1;
                assert!(history.effect != "non_idempotent" && !strict, "{id} must not run twice");
                if history.effect == "idempotency_key" {
                    assert!(now < first + history.window, "{id}: its key may be forgotten");
                    assert!(!history.by_zone || where_first == zone, "{id}: its key is not known there");
                }
            }
            history.ran.push((now, zone.to_string()));
            out.push((mail.serial, id));
        }
        out
    }

    fn outcome(&mut self, process: &mut Process, (serial, id): (u64, String)) {
        let history = self.histories.get_mut(&id).unwrap();
        let outcomes =
            [Outcome::Relayed, Outcome::Error, Outcome::Refused, Outcome::Unreached, Outcome::Broken];
        let outcome = outcomes[self.chance.usize(..5)];
        if outcome.never_ran() {
            history.ran.pop();
        }
        history.over = outcome == Outcome::Relayed;
        process.exchange.connect_ended(serial, ConnectReport::of(outcome));
    }

    fn read_notices(&mut self, process: &mut Process) {
        for (id, verdict) in process.ends() {
            let history = self.histories.get_mut(&id).unwrap();
            assert!(
                !history.over && history.notice.is_none_or(|notice| notice == verdict),
                "{id} is finished twice"
            );
            let harmless = history.ran.is_empty()
                || history.effect == "read_like"
                || (history.effect == "idempotency_key" && !history.by_zone);
            assert!(verdict == Verdict::Dead || harmless, "{id}: handed back though it may have run");
            history.notice = Some(verdict);
        }
    }

    fn process(&mut self, folder: &Folder, number: u64, now: Time, last: bool) -> Time {
        let (settings, zones) = self.settings();
        let at: Vec<&str> = (0..3).map(|_| self.pick(&["a", "b", "c", "x", zones[0]])).collect();
        let classes = settings["Profiles"].as_array().unwrap().clone();
        let mut process = start(folder, &settings, &at, now);
        let (mut waiting, mut out) = (Vec::new(), Vec::new());
        for step in 0..if last { 500 } else { self.chance.u64(20..200) } {
            if !last && self.chance.u8(..3) == 0 {
                let class = &classes[self.chance.usize(..classes.len())];
                let id = format!("{number}-{step}");
                let name = class["Name"].as_str().unwrap().to_string();
                process.put(&id, &name);
                let effect = class["Effect"].as_str().unwrap().to_string();
                let window = class["DedupWindowUs"].as_u64().unwrap() / 100;
                let by_zone = class["Group"] == "zone";
                self.histories
                    .insert(id, MailHistory { name, effect, window, by_zone, ..MailHistory::default() });
            }
            process.exchange.turn();
            while let Ok(order) = process.orders.try_recv() {
                waiting.extend(if let Order::Call(call) = order { Some(call) } else { None });
            }
            // A connection may take a while.
            if !waiting.is_empty() && (last || self.chance.bool()) {
                let call = waiting.swap_remove(self.chance.usize(..waiting.len()));
                out.extend(self.begin(&mut process, call, &at, &classes));
            }
            if !out.is_empty() && (last || self.chance.bool()) {
                let flight = out.swap_remove(self.chance.usize(..out.len()));
                self.outcome(&mut process, flight);
            }
            self.read_notices(&mut process);
            let pass = if last { 10 } else { self.chance.u64(..40) };
            process.advance(pass);
        }
        process.exchange.turn();
        self.read_notices(&mut process);
        assert_eq!(process.exchange.counts.broken, 0);
        assert_eq!(process.exchange.audit(), Vec::<String>::new());
        let now = process.now;
        drop(process);
        // An incomplete record, as of a process killed while writing.
        let path = folder.path.join("journal");
        let mut bytes = fs::read(&path).unwrap();
        bytes.extend(&[0, 0, 0, 60, 7, 7, 7, 7, 8, 0, 0][..self.chance.usize(..11)]);
        fs::write(path, bytes).unwrap();
        now
    }
}

#[test]
fn mails_keep_their_effect_and_are_finished_once_under_any_sequence_of_settings() {
    let (mut repeats, mut histories) = (0, 0);
    for seed in 1..=24 {
        let (chance, histories_of) = (fastrand::Rng::with_seed(seed), BTreeMap::new());
        let mut restarts = RandomRestarts { chance, histories: histories_of, repeats: 0 };
        let (folder, mut now) = (Folder::new(), START);
        for number in 0..6 {
            now = restarts.process(&folder, number, now, number == 5) + restarts.chance.u64(..SECOND);
        }
        let open: Vec<_> = restarts
            .histories
            .iter()
            .filter(|(_, history)| !history.over && history.notice.is_none())
            .collect();
        assert!(open.is_empty(), "seed {seed}: {:?}", open.iter().map(|(id, _)| id).collect::<Vec<_>>());
        repeats += restarts.repeats;
        histories += restarts.histories.len();
    }
    assert!(histories > 1000 && repeats > 100, "{histories} {repeats}");
}

#[test]
fn a_list_saved_by_another_deployment_is_not_used_while_discovery_is_silent() {
    let (platform, endpoint) = (Platform::new(), Endpoint::new(&[]));
    platform.set_entry("e1", endpoint.address, "single", 7, "SERVING");
    let mut courier = Courier::start(&platform, |_| {});
    let kept = courier.folder.path.join("state").join("memory");
    wait_until("the list on file", || {
        fs::read(&kept).is_ok_and(|file| file.windows(4).any(|at| at == b"\"e1\""))
    });
    courier.kill();
    let silent = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    courier.config["known"] = json!({"index": 0, "snapshot": true, "endpoints": []});
    courier.config["discovery"] = json!(silent.local_addr().unwrap().to_string());
    // With the same settings the saved list is still used, and names the destinations.
    courier.restart();
    assert_eq!(courier.client().put("01", "once", "d=8000"), "+OK");
    wait_until("the mail to be finished", || courier.owes_nothing());
    courier.kill();
    courier.config["settings"]["Profiles"][0]["Name"] = json!("renamed");
    courier.restart();
    assert_eq!(courier.client().put("02", "once", "d=8000"), "-ERR unknown destination");
    assert_eq!(endpoint.ids(), ["01"]);
}
