//! Versions of the settings in one exchange, with a clock that the test controls: mails that were accepted keep their
//! effect, the deduplication window of their key, and their end; truncated or corrupted text changes nothing; random
//! changes under random load.

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::time::Duration;

use bytes::Bytes;
use common::{settings, until, Folder};
use meadowhold::interface::{Effect, Outcome, QueueClass, Time, SECOND};
use meadowhold_courier::changes::{take, Held};
use meadowhold_courier::config::Candidate;
use meadowhold_courier::discovery::List;
use meadowhold_courier::exchange::{
    Answer, Call, CallMail, Clock, ConnectReport, Exchange, Notice, Offer, Order,
};
use meadowhold_courier::journal::{Found, Journal, Terms, Verdict};
use meadowhold_courier::kept_settings::{self, SavedSettings};
use meadowhold_courier::numbers::Classes;
use meadowhold_courier::version::Checksum;
use serde_json::{json, Value};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver};

const START: Time = 1_700_000_000 * SECOND;
const ALLOWANCE: u64 = 8_000_000;

fn class(name: &str, effect: &str) -> Value {
    json!({"Name": name, "Effect": effect, "Group": "all", "DedupWindowUs": 2_000_000, "InTurn": false,
        "PromiseUs": 200_000, "HardLimitUs": 4_000_000, "Worth": 1.0, "LateWorth": 0.0})
}

/// A queue class for each of the three effects.
fn three() -> [Value; 3] {
    [class("again", "read_like"), class("tagged", "idempotency_key"), class("once", "non_idempotent")]
}

fn config(number: u64, classes: &[Value]) -> Value {
    let mut settings = settings();
    settings["Profiles"] = json!(classes);
    json!({"name": "n1", "listen": "127.0.0.1:6379", "discovery": "127.0.0.1:8500", "seed": "1",
        "limits": {"sockets": 256, "disk_mb": 8}, "settings": settings, "version": number})
}

fn variable(name: &str) -> Option<String> {
    (name == "ROUTER_STATE").then(|| "state".to_string())
}

fn bytes(text: &str) -> Bytes {
    Bytes::copy_from_slice(text.as_bytes())
}

struct World {
    exchange: Exchange,
    orders: UnboundedReceiver<Order>,
    notices: UnboundedReceiver<Notice>,
    held: Held,
    folder: Folder,
    now: Time,
    ends: BTreeMap<String, Verdict>,
    /// Calls that were requested and have not begun.
    waiting: Vec<Call>,
}

/// (name, zone, kind, destination)
type Entry<'a> = (&'a str, &'a str, &'a str, u64);
const ENDS: [Entry; 2] = [("e0", "a", "single", 7), ("e1", "b", "single", 7)];

fn list(index: u64, entries: &[Entry]) -> List {
    let entry = |&(name, zone, kind, group): &Entry| {
        json!({"name": name, "address": "127.0.0.1:9", "zone": zone, "type": kind, "group": group,
            "status": "SERVING", "weight": 1000.0})
    };
    let entries: Vec<Value> = entries.iter().map(entry).collect();
    serde_json::from_value(json!({"index": index, "snapshot": true, "endpoints": entries})).unwrap()
}

impl World {
    fn new(folder: Folder, config: &Value, entries: &[Entry], now: Time) -> World {
        let (orders_in, orders) = unbounded_channel();
        let (notices_in, notices) = unbounded_channel();
        // A process that another test is starting briefly inherits all our descriptors, including the lock's.
        let mut journal = None;
        until("the folder's lock", || match Journal::open(&folder.path, ALLOWANCE) {
            Err(e) if e.to_string().contains("another courier") => false,
            opened => journal.replace(opened.unwrap()).is_none(),
        });
        let text = config.to_string().into_bytes();
        let decoded = Candidate::of(&text, &variable).result.unwrap().decoded;
        let clock = Clock::still(now);
        let journal = journal.unwrap();
        let mut exchange = Exchange::with_clock(clock, decoded, journal, orders_in, notices_in, None);
        exchange.listed(&list(2, entries));
        let held = Held::of(&text, now);
        let (ends, waiting) = (BTreeMap::new(), Vec::new());
        World { exchange, orders, notices, held, folder, now, ends, waiting }
    }

    /// Offers a text as the new configuration; returns whether it is applied.
    fn offer(&mut self, text: &[u8]) -> bool {
        let offered = Candidate::of(text, &variable);
        let place = (&*self.folder.path, ALLOWANCE);
        let heard = take(&mut self.exchange, &mut self.held, offered, place);
        // Applied settings set the timeouts of the endpoint connections.
        let orders: Vec<Order> = std::iter::from_fn(|| self.orders.try_recv().ok()).collect();
        let mut times = 0;
        for order in orders {
            match order {
                Order::Call(call) => self.waiting.push(call),
                Order::SetTimeouts { .. } => times += 1,
                Order::CloseIdle(_) => {}
            }
        }
        let taken = heard.is_some_and(|read| read.is_ok()) && times == 1;
        assert_eq!(times, usize::from(taken));
        taken
    }

    fn change(&mut self, config: &Value) {
        assert!(self.offer(config.to_string().as_bytes()), "{:?}", self.exchange.versions);
    }

    fn put(&mut self, id: &str, class: &str) -> Answer {
        self.offer_to(id, class, 7)
    }

    fn put_to(&mut self, id: &str, class: &str, dest: u64) {
        assert!(matches!(self.offer_to(id, class, dest), Answer::Taken(_)));
    }

    fn offer_to(&mut self, id: &str, class: &str, dest: u64) -> Answer {
        self.exchange.hand_in(Offer {
            id: bytes(id),
            key: bytes("5c0f"),
            order_key: bytes("0000"),
            class: bytes(class),
            destination: dest,
            lifetime: Duration::from_secs(4),
            body: bytes("hello"),
        })
    }

    fn takes(&mut self, id: &str, class: &str) {
        assert!(matches!(self.put(id, class), Answer::Taken(_)), "{id} of {class}");
    }

    fn pass(&mut self, time: Time) {
        self.now += time;
        self.exchange.clock = Clock::still(self.now);
    }

    fn turn(&mut self) {
        self.exchange.turn();
        assert_eq!(self.exchange.audit(), Vec::<String>::new());
        while let Ok(order) = self.orders.try_recv() {
            self.waiting.extend(if let Order::Call(call) = order { Some(call) } else { None });
        }
        while let Ok(notice) = self.notices.try_recv() {
            let id = String::from_utf8(notice.id.to_vec()).unwrap();
            assert_eq!(self.ends.insert(id, notice.verdict), None, "a mail ended twice");
        }
    }

    /// Runs turns until calls begin, for at most `time`. Returns the mails of these calls with their endpoints.
    fn begun(&mut self, time: Time) -> Vec<(CallMail, usize)> {
        let until = self.now + time;
        loop {
            self.turn();
            let calls = std::mem::take(&mut self.waiting);
            let begin = |call: Call| {
                let mails = self.exchange.begin(&call, call.mails.clone());
                mails.into_iter().map(move |mail| (mail, call.endpoint))
            };
            let begun: Vec<(CallMail, usize)> = calls.into_iter().flat_map(begin).collect();
            if !begun.is_empty() || self.now >= until {
                return begun;
            }
            self.pass(50);
        }
    }

    /// The number of mails in the largest call of the next turn. All mails are then relayed.
    fn longest(&mut self) -> Option<usize> {
        self.turn();
        let calls = std::mem::take(&mut self.waiting);
        for call in &calls {
            for mail in self.exchange.begin(call, call.mails.clone()) {
                self.exchange.connect_ended(mail.serial, ConnectReport::of(Outcome::Relayed));
            }
        }
        self.play(SECOND, Outcome::Relayed);
        calls.iter().map(|call| call.mails.len()).max()
    }

    /// Runs turns for `time` and ends each connect with `outcome`. Returns the ids of the mails in order.
    fn play(&mut self, time: Time, outcome: Outcome) -> Vec<String> {
        let (mut sent, until) = (Vec::new(), self.now + time);
        while self.now < until {
            for (mail, _) in self.begun(0) {
                sent.push(String::from_utf8(mail.id.to_vec()).unwrap());
                self.exchange.connect_ended(mail.serial, ConnectReport::of(outcome));
            }
            self.pass(100);
        }
        sent
    }
}

#[test]
fn what_was_taken_on_keeps_its_effect_and_what_comes_after_has_the_new_one() {
    // (class, new effect, whether a failed connect of an old mail is repeated, the same of a new mail)
    let rows = [
        ("tagged", "non_idempotent", true, false),
        ("again", "non_idempotent", true, false),
        ("once", "read_like", false, true),
        ("once", "idempotency_key", false, true),
        ("tagged", "idempotency_key", true, true),
    ];
    for (name, effect, old, new) in rows {
        let mut world = World::new(Folder::new(), &config(1, &three()), &ENDS, START);
        // One mail is in flight when the settings change, one waits, and one is accepted afterwards.
        world.takes("out", name);
        let begun = world.begun(0);
        assert_eq!(begun.len(), 1);
        world.takes("parked", name);
        let classes = three().map(|c| if c["Name"] == name { class(name, effect) } else { c });
        world.change(&config(2, &classes));
        world.takes("new", name);
        world.exchange.connect_ended(begun[0].0.serial, ConnectReport::of(Outcome::Error));
        let sent = world.play(5 * SECOND, Outcome::Error);
        let times = |id: &str| sent.iter().filter(|sent| *sent == id).count() + usize::from(id == "out");
        for (id, again) in [("out", old), ("parked", old), ("new", new)] {
            assert_eq!(times(id) > 1, again, "{name} {effect}: {id} was sent {} times", times(id));
            assert!(world.ends.contains_key(id), "{id} has not ended");
        }
        assert_eq!(world.exchange.counts.broken, 0);
    }
}

#[test]
fn what_was_taken_on_keeps_the_window_of_its_key() {
    for (window, old, new) in [(300_000, true, false), (2_000_000, true, true)] {
        let mut world = World::new(Folder::new(), &config(1, &three()), &ENDS, START);
        world.takes("old", "tagged");
        let begun = world.begun(0);
        let mut classes = three();
        classes[1]["DedupWindowUs"] = json!(window);
        world.change(&config(2, &classes));
        world.takes("new", "tagged");
        let also = world.begun(0);
        assert_eq!((begun.len(), also.len()), (1, 1));
        // Half a second later: within one window, beyond the other.
        world.pass(SECOND / 2);
        begun.iter().chain(&also).for_each(|(mail, _)| {
            world.exchange.connect_ended(mail.serial, ConnectReport::of(Outcome::Error));
        });
        let sent = world.play(SECOND, Outcome::Relayed);
        let goes = |id: &str| sent.iter().any(|sent| sent == id);
        assert_eq!((goes("old"), goes("new")), (old, new), "{window}");
    }
}

#[test]
fn a_class_that_is_gone_takes_nothing_on_and_each_message_of_it_has_its_one_end() {
    let mut world = World::new(Folder::new(), &config(1, &three()), &ENDS, START);
    let outcomes = [Outcome::Relayed, Outcome::Error, Outcome::Silent, Outcome::Unsent];
    for (i, name) in ["again", "tagged", "once"].into_iter().cycle().take(24).enumerate() {
        world.takes(&format!("m{i}"), name);
    }
    let begun = world.begun(0);
    assert!(begun.len() > 3);
    world.change(&config(2, &[class("other", "read_like")]));
    for name in ["again", "tagged", "once"] {
        assert_eq!(world.put("x", name), Answer::Failed("ERR unknown class"));
    }
    world.takes("x", "other");
    for (i, (mail, _)) in begun.iter().enumerate() {
        world.exchange.connect_ended(mail.serial, ConnectReport::of(outcomes[i % 4]));
    }
    world.play(5 * SECOND, Outcome::Relayed);
    let counts = world.exchange.counts;
    assert_eq!(counts.taken, counts.relayed + world.ends.len() as u64, "{counts:?}");
    assert!(counts.relayed > 15 && world.ends.values().all(|end| *end == Verdict::Dead));
    // The class comes back with another effect.
    world.change(&config(3, &[class("again", "non_idempotent")]));
    world.takes("y", "again");
    assert_eq!(world.play(SECOND, Outcome::Error), ["y"]);
    assert_eq!(world.put("z", "other"), Answer::Failed("ERR unknown class"));
}

#[test]
fn zones_and_kinds_keep_their_numbers_wherever_they_stand_and_new_ones_follow() {
    let mut first = config(1, &three());
    first["settings"]["Profiles"][1]["Group"] = json!("zone");
    let mut world = World::new(Folder::new(), &first, &ENDS, START);
    world.takes("m", "tagged");
    let begun = world.begun(0);
    let zone = ["a", "b"][begun[0].1];
    let mut second = first.clone();
    second["version"] = json!(2);
    second["settings"]["Dcs"] = json!(["c", "b", "a"]);
    second["settings"]["Kinds"] = json!(["new", "many", "single"]);
    second["settings"]["FamilyInfo"]["KindBatch"] = json!([3, 10, 1]);
    second["settings"]["FamilyInfo"]["OwnLimits"] = json!([false, false, true]);
    world.change(&second);
    // The first endpoints are gone; each zone has another one.
    let ends: [Entry; 5] = [
        ("n0", "a", "single", 7),
        ("n1", "b", "single", 7),
        ("n2", "c", "single", 7),
        ("n3", "a", "many", 8),
        ("n4", "a", "new", 9),
    ];
    world.exchange.listed(&list(3, &ends));
    world.exchange.connect_ended(begun[0].0.serial, ConnectReport::of(Outcome::Error));
    let again = world.begun(2 * SECOND);
    assert_eq!(again.len(), 1);
    let name = ends[again[0].1 - 2].1;
    assert_eq!(name, zone, "a repeat left the zone that knows its key");
    for (dest, most) in [(8, 10), (9, 3)] {
        (0..20).for_each(|i| world.put_to(&format!("b{dest}-{i}"), "again", dest));
        assert_eq!(world.longest(), Some(most), "destination {dest}");
    }
    // A kind that the settings do not name is treated as the last kind that they name.
    world.exchange.listed(&list(4, &[("n5", "a", "odd", 10)]));
    second["version"] = json!(3);
    second["settings"]["Kinds"] = json!(["new", "single", "many"]);
    second["settings"]["FamilyInfo"]["KindBatch"] = json!([3, 1, 10]);
    second["settings"]["FamilyInfo"]["OwnLimits"] = json!([false, true, false]);
    world.change(&second);
    world.exchange.listed(&list(5, &[("n5", "a", "odd", 10), ("n6", "a", "odd", 11)]));
    for (dest, most) in [(10, 1), (11, 10)] {
        (0..20).for_each(|i| world.put_to(&format!("c{dest}-{i}"), "again", dest));
        assert_eq!(world.longest(), Some(most), "destination {dest}");
    }
    // Changing whether the endpoints of a kind have limits of their own needs a restart.
    second["version"] = json!(4);
    second["settings"]["FamilyInfo"]["OwnLimits"] = json!([false, true, true]);
    assert!(!world.offer(second.to_string().as_bytes()));
}

#[test]
fn fees_follow_their_zones_by_name() {
    // Two zones, one of which has a fee. The fee follows the zone's name, not its position in the list.
    let first = |number: u64, zones: &[&str], fees: &[f64]| {
        let mut first = config(number, &three());
        first["settings"]["Dcs"] = json!(zones);
        first["settings"]["FamilyInfo"]["Carriage"] = json!(fees);
        first
    };
    let rows =
        [(["b", "a"], [0.9, 0.0], "e0"), (["b", "a"], [0.0, 0.9], "e1"), (["a", "b"], [0.0, 0.9], "e0")];
    for (zones, fees, cheap) in rows {
        let mut world = World::new(Folder::new(), &first(1, &["a", "b"], &[0.0, 0.0]), &ENDS, START);
        world.change(&first(2, &zones, &fees));
        let mut at = [0u32; 2];
        for i in 0..40 {
            world.takes(&format!("m{i}"), "again");
            for (mail, endpoint) in world.begun(SECOND / 10) {
                at[endpoint] += 1;
                world.exchange.connect_ended(mail.serial, ConnectReport::of(Outcome::Relayed));
            }
            world.pass(SECOND / 5);
        }
        let [e0, e1] = at;
        assert_eq!(if e0 > e1 { "e0" } else { "e1" }, cheap, "{at:?}");
        assert!(e0.abs_diff(e1) > 30, "{at:?}");
    }
}

#[test]
fn text_that_is_cut_at_any_byte_changes_nothing() {
    let mut world = World::new(Folder::new(), &config(1, &three()), &ENDS, START);
    world.change(&config(2, &three()));
    let kept = fs::read(world.folder.path.join("settings")).unwrap();
    let text = config(3, &[class("other", "read_like")]).to_string().into_bytes();
    for cut in 0..text.len() {
        assert!(!world.offer(&text[..cut]), "cut at {cut}");
        assert_eq!(world.exchange.versions.in_force, Some((2, START)));
        assert!(world.exchange.versions.rejected.as_ref().unwrap().contains("turned down: cannot be read"));
    }
    assert_eq!(fs::read(world.folder.path.join("settings")).unwrap(), kept);
    world.takes("m", "again");
    world.change(&config(3, &[class("other", "read_like")]));
    assert_eq!(world.put("n", "again"), Answer::Failed("ERR unknown class"));
}

#[test]
fn what_is_kept_is_read_whole_or_passed_over() {
    let folder = Folder::new();
    let kept = SavedSettings::new(
        config(7, &three()).to_string().into_bytes(),
        START,
        vec![Checksum(7, 9), Checksum(8, 1)],
    )
    .unwrap();
    kept_settings::save(&folder.path, ALLOWANCE, &kept).unwrap();
    assert_eq!(kept_settings::load(&folder.path), Some(kept.clone()));
    let whole = fs::read(folder.path.join("settings")).unwrap();
    for at in 0..whole.len() {
        assert!(SavedSettings::decode(&whole[..at]).is_err(), "cut at {at}");
        let mut spoilt = whole.clone();
        spoilt[at] ^= 1 << (at % 8);
        assert!(SavedSettings::decode(&spoilt).is_err(), "spoilt at {at}");
    }
    assert!(SavedSettings::decode(&[&whole[..], b"x"].concat()).is_err());
    // Too long for its share of the folder: the known list is left out, but its checksum is kept.
    let mut long = config(8, &three());
    long["known"] = json!({"index": 1, "endpoints": vec![json!({"name": "e".repeat(400)}); 400]});
    let long = SavedSettings::new(
        serde_json::to_vec_pretty(&long).unwrap(),
        START,
        vec![Checksum(7, 9), Checksum(8, 1)],
    )
    .unwrap();
    kept_settings::save(&folder.path, ALLOWANCE, &long).unwrap();
    let found = kept_settings::load(&folder.path).unwrap();
    assert_eq!(found.fingerprint, long.fingerprint);
    assert!(!String::from_utf8(found.text.clone()).unwrap().contains("known"));
    // Without enough space, or without a version number, the old file stays.
    assert!(kept_settings::save(&folder.path, 50_000, &kept).is_err());
    assert_eq!(kept_settings::load(&folder.path), Some(found));
    let mut without = config(9, &three());
    without["version"] = Value::Null;
    assert_eq!(SavedSettings::new(without.to_string().into_bytes(), START, Vec::new()), None);
}

#[test]
fn a_version_that_cannot_be_kept_is_turned_down() {
    let mut world = World::new(Folder::new(), &config(1, &three()), &ENDS, START);
    let next = config(2, &[class("other", "read_like")]);
    // A folder blocks the path of the file to be written.
    fs::create_dir(world.folder.path.join("settings.new")).unwrap();
    assert!(!world.offer(next.to_string().as_bytes()));
    let words = world.exchange.versions.summary(START).unwrap();
    assert!(words.contains("version 2 are turned down: ROUTER_STATE cannot keep it: "), "{words}");
    world.takes("m", "again");
    fs::remove_dir(world.folder.path.join("settings.new")).unwrap();
    world.change(&next);
}

fn random_class(chance: &mut fastrand::Rng, names: u8) -> Value {
    let effect = ["read_like", "idempotency_key", "non_idempotent"][chance.usize(..3)];
    let mut class = class(&format!("c{}", chance.u8(..names)), effect);
    class["Group"] = json!(["all", "zone"][chance.usize(..2)]);
    class["InTurn"] = json!(chance.bool());
    class["DedupWindowUs"] = json!(chance.u64(1..4) * 1_000_000);
    class["Worth"] = json!(chance.f64());
    class["PromiseUs"] = json!(chance.u64(1..1_000_000));
    class
}

#[test]
fn numbers_in_use_mean_what_they_meant_and_others_are_used_again() {
    let seed = 3;
    println!("seed {seed}");
    let mut chance = fastrand::Rng::with_seed(seed);
    let rules = |c: &QueueClass| (c.effect, c.dedup_by_zone, c.dedup_window, c.ordered);
    let mut held = Classes::default();
    // Mails in hand, with the class number and the rules that they were accepted with.
    let mut messages: Vec<(usize, (Effect, bool, Time, bool))> = Vec::new();
    let mut most = 0;
    for _ in 0..3000 {
        let classes: Vec<Value> = (0..chance.usize(1..6)).map(|_| random_class(&mut chance, 5)).collect();
        let text = config(1, &classes).to_string();
        let decoded = Candidate::of(text.as_bytes(), &variable).result.unwrap().decoded;
        let used: BTreeSet<usize> = messages.iter().map(|message| message.0).collect();
        let new = &decoded.settings.classes;
        held = held.next_version(&decoded.classes, new, |class| used.contains(&class)).unwrap();
        assert_eq!(held.classes.len(), held.terms.len());
        for name in &decoded.classes {
            let at = held.by_name[name.as_bytes()];
            // Of two classes with the same name the last one counts, as at a start.
            let last = decoded.classes.iter().rposition(|other| other == name).unwrap();
            assert_eq!(held.classes[at], new[last], "{name}");
            assert_eq!(held.terms[at], Terms::new(name, &new[last]));
        }
        assert_eq!(held.by_name.len(), decoded.classes.iter().collect::<BTreeSet<_>>().len());
        for (class, was) in &messages {
            assert_eq!(rules(&held.classes[*class]), *was);
        }
        // The importance of a removed class is limited to that of the present ones.
        let top = new.iter().map(|c| c.importance).fold(0.0, f64::max);
        assert!(held.classes.iter().all(|c| c.importance <= top));
        for _ in 0..chance.usize(..4) {
            let at = *held.by_name.values().min().unwrap();
            messages.push((at, rules(&held.classes[at])));
        }
        messages.retain(|_| chance.u8(..4) > 0);
        most = most.max(held.classes.len());
    }
    println!("at most {most} numbers");
    assert!(most < 40, "{most} numbers");
}

#[test]
fn random_changes_under_random_load_and_restarts_keep_the_books_and_lose_nothing() {
    let (mut changes, mut taken, mut begun_in_all, mut restarts, mut ends) = (0u64, 0u64, 0u64, 0u64, 0u64);
    for seed in 1..=8 {
        println!("seed {seed}");
        let mut chance = fastrand::Rng::with_seed(seed);
        let classes = |chance: &mut fastrand::Rng| -> Vec<Value> {
            (0..chance.usize(1..6)).map(|_| random_class(chance, 5)).collect()
        };
        let mut now = config(1, &classes(&mut chance));
        let mut world = World::new(Folder::new(), &now, &ENDS, START);
        // The accepted mails, with their effect at that time and how often they may have run.
        let mut known: BTreeMap<String, (String, u64)> = BTreeMap::new();
        let mut out: Vec<CallMail> = Vec::new();
        let mut over: BTreeSet<String> = BTreeSet::new();
        let mut number = 1;
        for step in 0..2500 {
            match chance.u8(..40) {
                0..10 => {
                    let name = format!("c{}", chance.u8(..5));
                    let id = format!("m{step}");
                    let all = now["settings"]["Profiles"].as_array().unwrap();
                    let class = all.iter().rfind(|class| class["Name"] == name[..]);
                    match (world.put(&id, &name), class) {
                        (Answer::Taken(_), Some(class)) => {
                            let effect = class["Effect"].as_str().unwrap().to_string();
                            known.insert(id, (effect, 0));
                            taken += 1;
                        }
                        (Answer::Failed("ERR unknown class"), None) | (Answer::Busy, Some(_)) => {}
                        other => panic!("{other:?}"),
                    }
                }
                10..22 => {
                    for (mail, _) in world.begun(0) {
                        let id = String::from_utf8(mail.id.to_vec()).unwrap();
                        let (effect, ran) = &known[&id];
                        assert!(!over.contains(&id), "{id} has already ended");
                        assert!(effect != "non_idempotent" || *ran == 0, "{id} may already have run");
                        out.push(mail);
                        begun_in_all += 1;
                    }
                    world.pass(chance.u64(1..200));
                }
                22..34 if !out.is_empty() => {
                    let mail = out.swap_remove(chance.usize(..out.len()));
                    let outcomes = [Outcome::Relayed, Outcome::Error, Outcome::Unreached, Outcome::Silent];
                    let outcome = outcomes[if chance.bool() { 0 } else { chance.usize(..4) }];
                    let id = String::from_utf8(mail.id.to_vec()).unwrap();
                    known.get_mut(&id).unwrap().1 += u64::from(!outcome.never_ran());
                    if outcome == Outcome::Relayed {
                        assert!(over.insert(id), "a mail ended twice");
                    }
                    world.exchange.connect_ended(mail.serial, ConnectReport::of(outcome));
                }
                34..38 => {
                    number += 1;
                    let mut next = config(number, &classes(&mut chance));
                    let settings = &mut next["settings"];
                    settings["FamilyInfo"]["Slots"] = json!(chance.u64(1..12));
                    settings["NInstances"] = json!(chance.u64(1..9));
                    settings["Limits"]["MaxOpen"] = json!(chance.u64(30..90));
                    settings["Limits"]["MaxAttempts"] = json!(chance.u64(1..6));
                    settings["ResolutionUs"] = json!(chance.u64(100..3000));
                    if chance.u8(..4) == 0 {
                        let text = next.to_string();
                        assert!(!world.offer(&text.as_bytes()[..chance.usize(..text.len())]));
                    } else if chance.u8(..4) == 0 {
                        next["version"] = json!(now["version"].as_u64().unwrap() - chance.u64(..2));
                        assert!(!world.offer(next.to_string().as_bytes()));
                    } else {
                        world.change(&next);
                        now = next;
                        changes += 1;
                    }
                }
                38 if chance.u8(..4) == 0 => {
                    // The process is killed, and a new one starts with the saved files.
                    let found = Found::load(&world.folder.path).unwrap().0;
                    assert_eq!(world.exchange.audit_file(&found), Vec::<String>::new());
                    let folder = Folder::new();
                    for file in ["journal", "settings"] {
                        let _ = fs::copy(world.folder.path.join(file), folder.path.join(file));
                    }
                    for mail in out.drain(..) {
                        let id = String::from_utf8(mail.id.to_vec()).unwrap();
                        known.get_mut(&id).unwrap().1 += 1;
                    }
                    let kept =
                        kept_settings::load(&folder.path).map(|kept| String::from_utf8(kept.text).unwrap());
                    let said = now.to_string();
                    assert!(kept.is_none_or(|kept| kept == said));
                    let (in_hand, ended) = (world.exchange.in_hand(), std::mem::take(&mut world.ends));
                    assert_eq!(world.exchange.counts.broken, 0);
                    ends += ended.len() as u64;
                    let gone: Vec<String> = ended.into_keys().collect();
                    world = World::new(folder, &now, &ENDS, world.now + chance.u64(..SECOND));
                    assert_eq!(world.exchange.in_hand(), in_hand);
                    over.extend(gone);
                    // Notices that were not acknowledged are sent again.
                    world.turn();
                    world.ends.retain(|id, _| !over.contains(id));
                    restarts += 1;
                }
                _ => world.pass(chance.u64(..100)),
            }
        }
        // Without further changes, every mail that is owed comes to its end.
        for mail in out.drain(..) {
            known.get_mut(std::str::from_utf8(&mail.id).unwrap()).unwrap().1 += 1;
            over.insert(String::from_utf8(mail.id.to_vec()).unwrap());
            world.exchange.connect_ended(mail.serial, ConnectReport::of(Outcome::Relayed));
        }
        let sent = world.play(6 * SECOND, Outcome::Relayed);
        over.extend(sent);
        over.extend(world.ends.keys().cloned());
        assert!(known.keys().all(|id| over.contains(id)), "a mail is lost");
        assert_eq!(world.exchange.counts.broken, 0);
        ends += world.ends.len() as u64;
    }
    println!(
        "{changes} changes, {taken} mails, {begun_in_all} connects, {restarts} restarts, {ends} given up"
    );
    assert!(changes > 800 && taken > 1500 && begun_in_all > 1500 && restarts > 20);
}
