//! The exchange without sockets: mails submitted to it, and the calls and notices that come out of it.

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use common::{settings, Folder};
use meadowhold::interface::Outcome;
use meadowhold_courier::discovery::List;
use meadowhold_courier::exchange::{Answer, Call, Clock, ConnectReport, Exchange, Notice, Offer, Order};
use meadowhold_courier::journal::{Found, Journal, Verdict};
use meadowhold_settings::decode_json;
use serde_json::json;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver};

struct Fixture {
    exchange: Exchange,
    orders: UnboundedReceiver<Order>,
    notices: UnboundedReceiver<Notice>,
    folder: Folder,
}

fn list(status: &str, kind: &str) -> List {
    let entry = json!({"name": "e1", "address": "127.0.0.1:9", "zone": "a", "type": kind, "group": 7,
        "status": status, "weight": 1000.0});
    serde_json::from_value(json!({"index": 2, "snapshot": true, "endpoints": [entry]})).unwrap()
}

fn setup(kind: &str) -> Fixture {
    setup_with(kind, 3_000_000)
}

fn setup_with(kind: &str, allowance: u64) -> Fixture {
    let folder = Folder::new();
    let (orders_in, orders) = unbounded_channel();
    let (notices_in, notices) = unbounded_channel();
    let decoded = decode_json(1, &settings()).unwrap();
    let journal = Journal::open(&folder.path, allowance).unwrap();
    let mut exchange = Exchange::new(decoded, journal, orders_in, notices_in, None);
    exchange.listed(&list("SERVING", kind));
    Fixture { exchange, orders, notices, folder }
}

impl Fixture {
    fn put(&mut self, id: &str, class: &str, body: usize) -> Answer {
        let text = |text: &str| Bytes::copy_from_slice(text.as_bytes());
        self.exchange.hand_in(Offer {
            id: text(id),
            key: Bytes::new(),
            order_key: text("0000"),
            class: text(class),
            destination: 7,
            lifetime: Duration::from_secs(4),
            body: vec![b'x'; body].into(),
        })
    }

    fn calls(&mut self) -> Vec<Call> {
        self.exchange.turn();
        let mut calls = Vec::new();
        while let Ok(order) = self.orders.try_recv() {
            calls.extend(if let Order::Call(call) = order { Some(call) } else { None });
        }
        calls
    }

    fn call(&mut self) -> Call {
        let mut calls = self.calls();
        assert_eq!(calls.len(), 1);
        calls.remove(0)
    }
}

fn report(outcome: Outcome) -> ConnectReport {
    let wait = Duration::from_secs(if outcome == Outcome::Refused { 2 } else { 0 });
    ConnectReport { retry_after: wait, ..ConnectReport::of(outcome) }
}

fn serial(answer: Answer) -> u64 {
    match answer {
        Answer::Taken(serial) => serial,
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_call_does_not_begin_at_an_endpoint_that_is_draining_or_asked_to_wait() {
    for told in ["drain", "wait"] {
        let mut world = setup("single");
        let first = serial(world.put("01", "once", 1));
        let call = world.call();
        serial(world.put("02", "once", 1));
        // This happens while the first call waits for its connection.
        if told == "drain" {
            world.exchange.listed(&list("DRAINING", "single"));
            world.exchange.turn();
        } else {
            let second = world.call();
            assert_eq!(world.exchange.begin(&second, second.mails.clone()).len(), 1);
            world.exchange.connect_ended(second.mails[0].serial, report(Outcome::Refused));
            world.exchange.turn();
        }
        assert!(world.exchange.begin(&call, call.mails.clone()).is_empty(), "{told}");
        assert!(world.calls().is_empty(), "{told}: the mail waits");
        // It was never sent, so it can be sent later; nothing was given up.
        assert_eq!((first, world.exchange.in_hand(), world.exchange.in_flight()), (1, 2, 0));
        assert!(world.notices.try_recv().is_err());
    }
}

#[test]
fn while_turns_are_held_mails_are_accepted_and_a_newer_list_applies_first() {
    let mut world = setup("single");
    world.exchange.hold();
    assert!(matches!(world.put("01", "once", 1), Answer::Taken(1)));
    assert_eq!(world.put("01", "once", 1), Answer::Known);
    assert!(world.calls().is_empty(), "turns are held");
    world.exchange.listed(&list("DRAINING", "single"));
    world.exchange.release();
    assert!(world.calls().is_empty(), "the endpoint is draining");
    world.exchange.listed(&list("SERVING", "single"));
    assert_eq!(world.call().mails.len(), 1);
}

#[test]
fn a_mail_that_expires_while_its_call_waits_for_a_connection_is_not_sent() {
    let mut world = setup("many");
    for (id, class) in [("01", "again"), ("02", "once")] {
        serial(world.put(id, class, 1));
    }
    let mut call = world.call();
    let late = call.mails.iter().position(|mail| mail.id == "01").unwrap();
    call.mails[late].until = world.exchange.clock.now();
    let going = world.exchange.begin(&call, call.mails.clone());
    assert_eq!(going.iter().map(|mail| &mail.id[..]).collect::<Vec<_>>(), [b"02"]);
    assert_eq!((world.exchange.in_hand(), world.exchange.in_flight()), (2, 1));
}

#[test]
fn a_client_that_leaves_before_its_answer_is_owed_nothing() {
    for out in [false, true] {
        let mut world = setup("single");
        let mail = serial(world.put("01", "once", 1));
        let call = out.then(|| world.call());
        let begun = call.map(|call| world.exchange.begin(&call, call.mails.clone()));
        world.exchange.client_gone(mail);
        assert_eq!((world.calls().len(), world.exchange.in_hand()), (0, 0));
        if begun.is_some_and(|mails| mails.len() == 1) {
            world.exchange.connect_ended(mail, report(Outcome::Broken));
            assert_eq!((world.calls().len(), world.exchange.in_flight()), (0, 0));
        }
        assert!(world.notices.try_recv().is_err());
        assert_eq!(world.put("01", "once", 1), Answer::Taken(mail + 1));
    }
}

#[test]
fn the_index_of_a_removed_endpoint_is_reused_and_an_older_call_does_not_match_it() {
    let mut world = setup("single");
    let mut list = list("SERVING", "single");
    let (mut most, mut incarnations) = (0, Vec::new());
    for i in 0..50 {
        serial(world.put(&i.to_string(), "once", 1));
        let call = world.call();
        most = most.max(call.endpoint);
        incarnations.push(call.incarnation);
        assert!(world.exchange.is_current(&call));
        // Another endpoint appears at the same address while the call waits for its connection.
        list.endpoints[0].name = format!("n{i}");
        world.exchange.listed(&list);
        world.exchange.turn();
        assert!(world.exchange.begin(&call, call.mails.clone()).is_empty(), "the endpoint was removed");
        let again = world.call();
        most = most.max(again.endpoint);
        assert!(!world.exchange.is_current(&call) && again.incarnation != call.incarnation);
        assert_eq!(world.exchange.begin(&again, again.mails.clone()).len(), 1);
        world.exchange.connect_ended(again.mails[0].serial, report(Outcome::Relayed));
        world.exchange.turn();
    }
    assert!(most < 4, "{most}");
    incarnations.sort();
    incarnations.dedup();
    assert_eq!((incarnations.len(), world.exchange.in_hand(), world.exchange.counts.broken), (50, 0, 0));
}

#[test]
fn a_mail_handed_in_twice_is_accepted_once_and_a_full_courier_answers_busy() {
    let mut world = setup("single");
    assert_eq!([world.put("01", "again", 1), world.put("01", "again", 1)], [Answer::Taken(1), Answer::Known]);
    assert_eq!(world.put("02", "what", 1), Answer::Failed("ERR unknown class"));
    let answers: Vec<Answer> = (10..80).map(|id| world.put(&id.to_string(), "again", 1)).collect();
    assert_eq!(answers.iter().filter(|a| **a == Answer::Busy).count(), 70 - 63);
}

#[test]
fn a_timed_out_connect_that_is_relayed_late_finishes_its_mail() {
    let mut world = setup("single");
    let mail = serial(world.put("01", "again", 1));
    let call = world.call();
    assert_eq!(world.exchange.begin(&call, call.mails.clone()).len(), 1);
    world.exchange.connect_ended(mail, report(Outcome::Silent));
    world.exchange.turn();
    world.exchange.relayed_late(mail);
    world.exchange.relayed_late(mail);
    world.exchange.turn();
    assert_eq!((world.exchange.in_hand(), world.exchange.counts.late), (0, 1));
}

#[test]
fn a_once_only_mail_that_may_have_run_is_given_up_at_once_with_a_notice() {
    let mut world = setup("single");
    let mail = serial(world.put("01", "once", 1));
    let call = world.call();
    world.exchange.begin(&call, call.mails.clone());
    world.exchange.connect_ended(mail, report(Outcome::Broken));
    assert!(world.calls().is_empty());
    let notice = world.notices.try_recv().unwrap();
    assert_eq!((notice.serial, notice.verdict), (mail, Verdict::Dead));
    assert_eq!(world.exchange.in_hand(), 1, "until the platform acknowledges the notice");
    world.exchange.notice_accepted(mail);
    assert_eq!(world.exchange.in_hand(), 0);
}

#[test]
fn the_journal_is_complete_whichever_record_triggers_compaction() {
    let mut world = setup_with("single", 10_000);
    // The test sets the clock: a call that times out before it begins is rightly not sent, and an endpoint
    // that has always answered at once gets only 4 ms.
    let start = world.exchange.clock.now();
    let mut steps = 0;
    let mut anew: BTreeMap<&str, usize> = BTreeMap::new();
    let mut look = |world: &Fixture, what: &'static str| {
        let now = world.exchange.counts.compactions;
        if std::mem::replace(&mut steps, now) < now {
            *anew.entry(what).or_default() += 1;
            let (found, unread) = Found::load(&world.folder.path).unwrap();
            assert_eq!((found.owed.len(), unread), (world.exchange.in_hand(), 0), "{what}");
            assert_eq!(world.exchange.audit_file(&found), Vec::<String>::new(), "{what}");
        }
    };
    let mut chance = fastrand::Rng::with_seed(40);
    for i in 0..1000u64 {
        world.exchange.clock = Clock::still(start + 10_000 * i);
        // One may have run and is given up, one is relayed, one is sent again. All are in hand at once, since
        // each record is checked together with the earlier ones.
        let mut to_come = BTreeMap::new();
        for (name, class, outcomes) in [
            ("a", "once", vec![Outcome::Broken]),
            ("b", "again", vec![Outcome::Relayed]),
            ("c", "again", vec![Outcome::Relayed, Outcome::Unsent]),
        ] {
            let mail = serial(world.put(&format!("{name}{i}"), class, chance.usize(..100)));
            to_come.insert(mail, outcomes);
            look(&world, "taken");
        }
        for _ in 0..6 {
            let calls = world.calls();
            look(&world, "given up");
            for call in calls {
                assert_eq!(world.exchange.begin(&call, call.mails.clone()).len(), 1, "{i}");
                look(&world, "out");
                let mail = call.mails[0].serial;
                let outcome = to_come.get_mut(&mail).and_then(Vec::pop).unwrap();
                world.exchange.connect_ended(mail, report(outcome));
                look(&world, if outcome == Outcome::Relayed { "over" } else { "back" });
            }
            if let Ok(notice) = world.notices.try_recv() {
                world.exchange.notice_accepted(notice.serial);
                look(&world, "told");
            }
        }
        assert_eq!(world.exchange.in_hand(), 0, "{i}");
    }
    let each: Vec<&str> = anew.keys().copied().collect();
    assert_eq!(each, ["back", "given up", "out", "over", "taken", "told"], "{anew:?}");
}

#[test]
fn a_batch_is_no_larger_than_the_body_limit() {
    let mut world = setup("many");
    (0..5).for_each(|id| assert_ne!(world.put(&id.to_string(), "again", 20_000), Answer::Busy));
    let calls = world.calls();
    let sizes: Vec<usize> = calls.iter().map(|call| call.mails.len()).collect();
    assert_eq!(sizes, [2, 2, 1]);
    assert!(calls.iter().all(|call| call.size <= 64 * 1024));
}

#[test]
fn once_only_mails_do_not_wait_forever_for_a_suspected_endpoint() {
    // The outcome of the first call, and after how many ms; only once-only mails are submitted.
    for (outcome, after) in [(Outcome::Unsent, 250), (Outcome::Refused, 250), (Outcome::Broken, 10)] {
        let mut world = setup("single");
        let start = world.exchange.clock.now();
        world.exchange.clock = Clock::still(start);
        serial(world.put("01", "once", 1));
        let call = world.call();
        assert_eq!(world.exchange.begin(&call, call.mails.clone()).len(), 1);
        world.exchange.clock = Clock::still(start + after * 10);
        assert!(world.calls().is_empty());
        world.exchange.connect_ended(call.mails[0].serial, report(outcome));
        let mut next = None;
        for ms in (after + 10..30_000).step_by(10) {
            world.exchange.clock = Clock::still(start + ms * 10);
            if ms % 3000 < 10 {
                serial(world.put(&ms.to_string(), "once", 1));
            }
            for call in world.calls() {
                next = next.or(Some(ms));
                assert_eq!(world.exchange.begin(&call, call.mails.clone()).len(), 1);
                world.exchange.connect_ended(call.mails[0].serial, report(Outcome::Relayed));
            }
            while let Ok(notice) = world.notices.try_recv() {
                world.exchange.notice_accepted(notice.serial);
            }
        }
        assert!(next.is_some(), "{outcome:?}: no call within 30 s");
    }
}
