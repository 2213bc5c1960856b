//! A folder that another deployment's settings have left: what is owed keeps its end and the effect that it was taken
//! on with, and nothing that was kept is applied to another.

mod common;

use std::collections::BTreeMap;
use std::fs;
use std::time::Duration;

use bytes::Bytes;
use common::{settings, until, Courier, Endpoint, Folder, Platform};
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

fn with(classes: &[Value], zones: &[&str]) -> Value {
    let mut settings = settings();
    settings["Profiles"] = json!(classes);
    settings["Dcs"] = json!(zones);
    settings
}

/// One of every effect.
fn ours() -> Vec<Value> {
    vec![class("again", "read_like"), class("tagged", "idempotency_key"), class("once", "non_idempotent")]
}

struct World {
    exchange: Exchange,
    orders: UnboundedReceiver<Order>,
    notices: UnboundedReceiver<Notice>,
    now: Time,
}

/// A process on this folder, by these settings, with an endpoint of destination 7 in each of these zones.
fn process(folder: &Folder, settings: &Value, at: &[&str], now: Time) -> World {
    let (orders_in, orders) = unbounded_channel();
    let (notices_in, notices) = unbounded_channel();
    // A process that another test has just begun to start holds all our descriptors for a moment, locks too.
    let mut journal = None;
    until("the folder's lock", || match Journal::open(&folder.path, 3_000_000) {
        Err(e) if e.to_string().contains("another courier") => false,
        opened => journal.replace(opened.unwrap()).is_none(),
    });
    let journal = journal.unwrap();
    let decoded = decode_json(1, settings).unwrap();
    let mut exchange = Exchange::with_clock(Clock::still(now), decoded, journal, orders_in, notices_in, None);
    exchange.listed(&list(at));
    World { exchange, orders, notices, now }
}

fn list(at: &[&str]) -> List {
    let entry = |(i, zone): (usize, &&str)| {
        json!({"name": format!("e{i}"), "address": "127.0.0.1:9", "zone": zone, "type": "single", "group": 7,
            "status": "SERVING", "weight": 1000.0})
    };
    let entries: Vec<Value> = at.iter().enumerate().map(entry).collect();
    serde_json::from_value(json!({"index": 2, "snapshot": true, "endpoints": entries})).unwrap()
}

impl World {
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

    fn pass(&mut self, ms: u64) {
        self.now += ms * 10;
        self.exchange.clock = Clock::still(self.now);
    }

    /// The calls of the next turns, up to this time from now; those that find nothing to begin are over.
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
            self.pass(5);
        }
        calls
    }

    /// The id of the next mail that is called for, its call begun, and its endpoint.
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
            assert_eq!(before, None, "one end each");
        }
        ends
    }
}

/// What the settings of the next process may have become.
fn others() -> Vec<(&'static str, Vec<Value>)> {
    let [again, tagged, once] = [ours()[0].clone(), ours()[1].clone(), ours()[2].clone()];
    let other = |name, effect| vec![class(name, effect)];
    vec![
        ("the same", ours()),
        ("another order", vec![once.clone(), tagged.clone(), again.clone()]),
        ("moved by one that is new", [other("new", "read_like"), ours()].concat()),
        ("renamed", vec![class("x", "read_like"), class("y", "read_like"), class("z", "read_like")]),
        ("removed", vec![again.clone()]),
        ("only keyed ones", vec![class("once", "idempotency_key"), tagged.clone()]),
        ("may run again now", vec![again, tagged, class("once", "read_like")]),
    ]
}

#[test]
fn what_must_not_run_twice_and_may_have_run_is_ended_and_never_sent_again() {
    for (words, classes) in others() {
        let folder = Folder::new();
        let mut world = process(&folder, &with(&ours(), &["a", "b"]), &["a"], START);
        world.put("01", "once");
        assert_eq!(world.begun(0), Some(("01".to_string(), 0)));
        let now = world.now + SECOND;
        drop(world);
        // Twice, since the second process writes the file anew.
        for late in [0, SECOND] {
            let mut next = process(&folder, &with(&classes, &["a", "b"]), &["a"], now + late);
            assert_eq!(next.exchange.in_hand(), 1, "{words}");
            assert!(next.calls(5000).is_empty(), "{words}: sent again");
            assert_eq!(next.ends(), BTreeMap::from([("01".to_string(), Verdict::Dead)]), "{words}");
        }
    }
}

#[test]
fn what_must_not_run_twice_and_has_not_run_is_sent_once() {
    for (words, classes) in others() {
        let folder = Folder::new();
        let mut world = process(&folder, &with(&ours(), &["a", "b"]), &["a"], START);
        world.put("01", "once");
        drop(world);
        let mut next = process(&folder, &with(&classes, &["a", "b"]), &["a"], START + SECOND);
        assert_eq!(next.begun(0), Some(("01".to_string(), 0)), "{words}");
        next.exchange.connect_ended(1, ConnectReport::of(Outcome::Error));
        assert!(next.calls(5000).is_empty(), "{words}: sent again");
        assert_eq!(next.ends(), BTreeMap::from([("01".to_string(), Verdict::Dead)]), "{words}");
    }
}

#[test]
fn what_may_run_again_is_sent_again_unless_its_class_must_not_now() {
    let [again, tagged, once] = [ours()[0].clone(), ours()[1].clone(), ours()[2].clone()];
    let rows = [
        ("another order", vec![once.clone(), tagged.clone(), again.clone()], true),
        ("renamed", vec![class("x", "non_idempotent"), class("y", "read_like")], true),
        ("no such effect", vec![once.clone()], true),
        ("must not run twice now", vec![class("again", "non_idempotent"), tagged], false),
    ];
    for (words, classes, sent) in rows {
        let folder = Folder::new();
        let mut world = process(&folder, &with(&ours(), &["a", "b"]), &["a"], START);
        world.put("01", "again");
        world.begun(0).unwrap();
        drop(world);
        let mut next = process(&folder, &with(&classes, &["a", "b"]), &["a"], START + SECOND);
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
    // (its window then and now, milliseconds until the next process, whether it goes again)
    for (then, now, away, goes) in [
        (2_000_000, 2_000_000, 1500, true),
        (2_000_000, 1_000_000, 1500, false),
        (1_000_000, 2_000_000, 1500, false),
        (1_000_000, 1_000_000, 500, true),
        (1_000_000, 1_000_000, 950, false),
    ] {
        let folder = Folder::new();
        let mut world = process(&folder, &with(&[shorter(then)], &["a"]), &["a"], START);
        world.put("01", "tagged");
        world.begun(0).unwrap();
        drop(world);
        let next = &mut process(&folder, &with(&[shorter(now)], &["a"]), &["a"], START + away * 10);
        assert_eq!(next.begun(5000).is_some(), goes, "{then} {now} {away}");
    }
}

/// Zones of the settings then, and now; the zone of the first connect; the endpoints' zones now; where it may go.
type ZoneRow =
    (&'static [&'static str], &'static [&'static str], &'static str, &'static [&'static str], Option<usize>);

#[test]
fn a_repeat_goes_where_its_key_is_known_by_the_name_of_the_zone() {
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
        let mut world = process(&folder, &with(&[by_zone.clone()], then), &[first], START);
        world.put("01", "tagged");
        world.begun(0).unwrap();
        drop(world);
        let mut next = process(&folder, &with(&[by_zone.clone()], now), at, START + SECOND / 10);
        assert_eq!(next.begun(5000).map(|(_, at)| at), to, "{then:?} {now:?} {first} {at:?}");
        if to.is_none() {
            assert_eq!(next.ends(), BTreeMap::from([("01".to_string(), Verdict::Dead)]));
        }
    }
}

#[test]
fn zones_that_the_settings_do_not_name_are_not_one_zone() {
    let mut by_zone = class("tagged", "idempotency_key");
    by_zone["Group"] = json!("zone");
    let mut world = process(&Folder::new(), &with(&[by_zone], &["a"]), &["x"], START);
    let serial = world.put("01", "tagged");
    world.begun(0).unwrap();
    world.exchange.listed(&list(&["DRAINED", "y"]));
    world.exchange.connect_ended(serial, ConnectReport::of(Outcome::Error));
    let call = world.calls(1900);
    assert!(call.iter().all(|call| call.endpoint == 0), "{call:?}");
}

#[test]
fn what_is_owed_at_a_destination_that_no_list_names_now_is_kept_and_ended_at_its_time() {
    let folder = Folder::new();
    let mut world = process(&folder, &with(&ours(), &["a", "b"]), &["a"], START);
    for (i, class) in ["again", "tagged", "once"].iter().enumerate() {
        world.put(&format!("0{i}"), class);
    }
    drop(world);
    let mut next = process(&folder, &with(&ours(), &["a", "b"]), &[], START + SECOND);
    assert!(next.calls(2900).is_empty());
    assert_eq!((next.ends(), next.exchange.in_hand()), (BTreeMap::new(), 3), "their time is not over");
    assert!(next.calls(100).is_empty());
    let ends = next.ends();
    assert!(ends.len() == 3 && ends.values().all(|end| matches!(end, Verdict::Bounced(_))), "{ends:?}");
}

#[test]
fn what_an_earlier_version_left_without_its_effect_never_runs_twice() {
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
        let mut next = process(&folder, &with(&ours(), &["a", "b"]), &["a"], START + SECOND);
        assert_eq!(next.begun(100).is_some(), !out, "{class}");
        if !out {
            next.exchange.connect_ended(9, ConnectReport::of(Outcome::Error));
        }
        assert!(next.calls(5000).is_empty(), "{class}: sent again");
        assert_eq!(next.ends(), BTreeMap::from([("a1".to_string(), Verdict::Dead)]), "{class}");
    }
}

/// What is known of a message from outside: what it was taken on with, and what became of it.
#[derive(Default)]
struct Life {
    name: String,
    effect: String,
    window: Time,
    by_zone: bool,
    /// Attempts that have begun and are not known to have come to nothing: when, and in which zone.
    ran: Vec<(Time, String)>,
    over: bool,
    told: Option<Verdict>,
}

/// Processes of one deployment after the other on one folder, by chance, each killed in the middle.
struct Days {
    chance: fastrand::Rng,
    lives: BTreeMap<String, Life>,
    repeats: usize,
}

impl Days {
    fn any<'a>(&mut self, of: &[&'a str]) -> &'a str {
        of[self.chance.usize(..of.len())]
    }

    /// Classes of some names with any effects, and zones in any order.
    fn settings(&mut self) -> (Value, Vec<&'static str>) {
        let mut names = vec!["n", "p", "q", "r"];
        self.chance.shuffle(&mut names);
        names.truncate(self.chance.usize(1..=4));
        let classes = names.into_iter().map(|name| {
            let effect = self.any(&["read_like", "idempotency_key", "idempotency_key", "non_idempotent"]);
            let mut class = class(name, effect);
            class["Group"] = json!(self.any(&["all", "zone"]));
            class["DedupWindowUs"] = json!(self.chance.u64(5..40) * 100_000);
            class["InTurn"] = json!(self.chance.u8(..4) == 0);
            class
        });
        let classes: Vec<Value> = classes.collect();
        let mut zones = vec!["a", "b", "c"];
        self.chance.shuffle(&mut zones);
        zones.truncate(self.chance.usize(1..=3));
        (with(&classes, &zones), zones)
    }

    fn begin(&mut self, world: &mut World, call: Call, at: &[&str], classes: &[Value]) -> Vec<(u64, String)> {
        let (now, zone) = (world.now, at[call.endpoint]);
        let begun = world.exchange.begin(&call, call.mails.clone());
        let mut out = Vec::new();
        for mail in begun {
            let id = String::from_utf8(mail.id.to_vec()).unwrap();
            let life = self.lives.get_mut(&id).unwrap();
            assert!(!life.over && life.told.is_none(), "{id} is over");
            let strict = classes.iter().any(|c| c["Name"] == life.name && c["Effect"] == "non_idempotent");
            if let Some((first, where_first)) = life.ran.first() {
                self.repeats += 1;
                assert!(life.effect != "non_idempotent" && !strict, "{id} must not run twice");
                if life.effect == "idempotency_key" {
                    assert!(now < first + life.window, "{id}: its key may be forgotten");
                    assert!(!life.by_zone || where_first == zone, "{id}: its key is not known there");
                }
            }
            life.ran.push((now, zone.to_string()));
            out.push((mail.serial, id));
        }
        out
    }

    fn outcome(&mut self, world: &mut World, (serial, id): (u64, String)) {
        let life = self.lives.get_mut(&id).unwrap();
        let outcomes =
            [Outcome::Relayed, Outcome::Error, Outcome::Refused, Outcome::Unreached, Outcome::Broken];
        let outcome = outcomes[self.chance.usize(..5)];
        if outcome.never_ran() {
            life.ran.pop();
        }
        life.over = outcome == Outcome::Relayed;
        world.exchange.connect_ended(serial, ConnectReport::of(outcome));
    }

    fn heard(&mut self, world: &mut World) {
        for (id, verdict) in world.ends() {
            let life = self.lives.get_mut(&id).unwrap();
            assert!(!life.over && life.told.is_none_or(|told| told == verdict), "{id} ends twice");
            let harmless = life.ran.is_empty()
                || life.effect == "read_like"
                || (life.effect == "idempotency_key" && !life.by_zone);
            assert!(verdict == Verdict::Dead || harmless, "{id}: handed back though it may have run");
            life.told = Some(verdict);
        }
    }

    fn process(&mut self, folder: &Folder, number: u64, now: Time, last: bool) -> Time {
        let (settings, zones) = self.settings();
        let at: Vec<&str> = (0..3).map(|_| self.any(&["a", "b", "c", "x", zones[0]])).collect();
        let classes = settings["Profiles"].as_array().unwrap().clone();
        let mut world = process(folder, &settings, &at, now);
        let (mut waiting, mut out) = (Vec::new(), Vec::new());
        for step in 0..if last { 500 } else { self.chance.u64(20..200) } {
            if !last && self.chance.u8(..3) == 0 {
                let class = &classes[self.chance.usize(..classes.len())];
                let id = format!("{number}-{step}");
                let name = class["Name"].as_str().unwrap().to_string();
                world.put(&id, &name);
                let effect = class["Effect"].as_str().unwrap().to_string();
                let window = class["DedupWindowUs"].as_u64().unwrap() / 100;
                let by_zone = class["Group"] == "zone";
                self.lives.insert(id, Life { name, effect, window, by_zone, ..Life::default() });
            }
            world.exchange.turn();
            while let Ok(order) = world.orders.try_recv() {
                waiting.extend(if let Order::Call(call) = order { Some(call) } else { None });
            }
            // A connection may take its time.
            if !waiting.is_empty() && (last || self.chance.bool()) {
                let call = waiting.swap_remove(self.chance.usize(..waiting.len()));
                out.extend(self.begin(&mut world, call, &at, &classes));
            }
            if !out.is_empty() && (last || self.chance.bool()) {
                let flight = out.swap_remove(self.chance.usize(..out.len()));
                self.outcome(&mut world, flight);
            }
            self.heard(&mut world);
            let pass = if last { 10 } else { self.chance.u64(..40) };
            world.pass(pass);
        }
        world.exchange.turn();
        self.heard(&mut world);
        assert_eq!(world.exchange.counts.broken, 0);
        assert_eq!(world.exchange.audit(), Vec::<String>::new());
        let now = world.now;
        drop(world);
        // The record that was being written.
        let path = folder.path.join("journal");
        let mut bytes = fs::read(&path).unwrap();
        bytes.extend(&[0, 0, 0, 60, 7, 7, 7, 7, 8, 0, 0][..self.chance.usize(..11)]);
        fs::write(path, bytes).unwrap();
        now
    }
}

#[test]
fn whatever_deployments_follow_each_other_each_message_keeps_its_end_and_its_effect() {
    let (mut repeats, mut lives) = (0, 0);
    for seed in 1..=24 {
        let (chance, lives_of) = (fastrand::Rng::with_seed(seed), BTreeMap::new());
        let mut days = Days { chance, lives: lives_of, repeats: 0 };
        let (folder, mut now) = (Folder::new(), START);
        for number in 0..6 {
            now = days.process(&folder, number, now, number == 5) + days.chance.u64(..SECOND);
        }
        let open: Vec<_> = days.lives.iter().filter(|(_, life)| !life.over && life.told.is_none()).collect();
        assert!(open.is_empty(), "seed {seed}: {:?}", open.iter().map(|(id, _)| id).collect::<Vec<_>>());
        repeats += days.repeats;
        lives += days.lives.len();
    }
    assert!(lives > 1000 && repeats > 100, "{lives} {repeats}");
}

#[test]
fn a_list_that_another_deployment_kept_is_not_called_while_discovery_is_silent() {
    let (platform, endpoint) = (Platform::new(), Endpoint::new(&[]));
    platform.list("e1", endpoint.address, "single", 7, "SERVING");
    let mut courier = Courier::start(&platform, |_| {});
    let kept = courier.folder.path.join("state").join("memory");
    until("the list on file", || fs::read(&kept).is_ok_and(|file| file.windows(4).any(|at| at == b"\"e1\"")));
    courier.kill();
    let silent = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    courier.config["known"] = json!({"index": 0, "snapshot": true, "endpoints": []});
    courier.config["discovery"] = json!(silent.local_addr().unwrap().to_string());
    // The same settings: the list that was kept still stands, and says which destinations there are.
    courier.restart();
    assert_eq!(courier.client().put("01", "once", "d=8000"), "+OK");
    until("its end", || courier.owes_nothing());
    courier.kill();
    courier.config["settings"]["Profiles"][0]["Name"] = json!("renamed");
    courier.restart();
    assert_eq!(courier.client().put("02", "once", "d=8000"), "-ERR unknown destination");
    assert_eq!(endpoint.ids(), ["01"]);
}
