//! The exchange by itself: what clients and endpoints see of it, without sockets.

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

struct World {
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

fn world(kind: &str) -> World {
    world_with(kind, 3_000_000)
}

fn world_with(kind: &str, allowance: u64) -> World {
    let folder = Folder::new();
    let (orders_in, orders) = unbounded_channel();
    let (notices_in, notices) = unbounded_channel();
    let decoded = decode_json(1, &settings()).unwrap();
    let journal = Journal::open(&folder.path, allowance).unwrap();
    let mut exchange = Exchange::new(decoded, journal, orders_in, notices_in, None);
    exchange.listed(&list("SERVING", kind));
    World { exchange, orders, notices, folder }
}

impl World {
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

fn seen(outcome: Outcome) -> ConnectReport {
    let wait = Duration::from_secs(if outcome == Outcome::Refused { 2 } else { 0 });
    ConnectReport { wait, ..ConnectReport::of(outcome) }
}

fn serial(answer: Answer) -> u64 {
    match answer {
        Answer::Taken(serial) => serial,
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_call_does_not_begin_at_an_endpoint_that_drains_or_wants_to_be_left_alone() {
    for told in ["drain", "wait"] {
        let mut world = world("single");
        let first = serial(world.put("01", "once", 1));
        let call = world.call();
        serial(world.put("02", "once", 1));
        // While the first waits for its connection.
        if told == "drain" {
            world.exchange.listed(&list("DRAINING", "single"));
            world.exchange.turn();
        } else {
            let second = world.call();
            assert_eq!(world.exchange.begin(&second, second.mails.clone()).len(), 1);
            world.exchange.connect_ended(second.mails[0].serial, seen(Outcome::Refused));
            world.exchange.turn();
        }
        assert!(world.exchange.begin(&call, call.mails.clone()).is_empty(), "{told}");
        assert!(world.calls().is_empty(), "{told}: it waits");
        // Never sent, so it can be served later; nothing was given up.
        assert_eq!((first, world.exchange.in_hand(), world.exchange.in_flight()), (1, 2, 0));
        assert!(world.notices.try_recv().is_err());
    }
}

#[test]
fn while_calls_are_held_mails_are_taken_and_what_is_learned_goes_before_what_was_known() {
    let mut world = world("single");
    world.exchange.hold();
    assert!(matches!(world.put("01", "once", 1), Answer::Taken(1)));
    assert_eq!(world.put("01", "once", 1), Answer::Known);
    assert!(world.calls().is_empty(), "held");
    world.exchange.listed(&list("DRAINING", "single"));
    world.exchange.release();
    assert!(world.calls().is_empty(), "the endpoint drains");
    world.exchange.listed(&list("SERVING", "single"));
    assert_eq!(world.call().mails.len(), 1);
}

#[test]
fn a_mail_whose_time_passed_while_its_call_waited_for_a_connection_is_not_sent() {
    let mut world = world("many");
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
fn a_client_that_is_gone_before_its_answer_is_owed_nothing() {
    for out in [false, true] {
        let mut world = world("single");
        let mail = serial(world.put("01", "once", 1));
        let call = out.then(|| world.call());
        let begun = call.map(|call| world.exchange.begin(&call, call.mails.clone()));
        world.exchange.hangup(mail);
        assert_eq!((world.calls().len(), world.exchange.in_hand()), (0, 0));
        if begun.is_some_and(|mails| mails.len() == 1) {
            world.exchange.connect_ended(mail, seen(Outcome::Broken));
            assert_eq!((world.calls().len(), world.exchange.in_flight()), (0, 0));
        }
        assert!(world.notices.try_recv().is_err());
        assert_eq!(world.put("01", "once", 1), Answer::Taken(mail + 1));
    }
}

#[test]
fn an_index_is_given_back_when_its_endpoint_has_gone_and_a_call_knows_where_it_was_to_go() {
    let mut world = world("single");
    let mut list = list("SERVING", "single");
    let (mut most, mut incarnations) = (0, Vec::new());
    for i in 0..50 {
        serial(world.put(&i.to_string(), "once", 1));
        let call = world.call();
        most = most.max(call.endpoint);
        incarnations.push(call.incarnation);
        assert!(world.exchange.is_current(&call));
        // Another endpoint at the same address, while the call waits for its connection.
        list.endpoints[0].name = format!("n{i}");
        world.exchange.listed(&list);
        world.exchange.turn();
        assert!(world.exchange.begin(&call, call.mails.clone()).is_empty(), "it has gone");
        let again = world.call();
        most = most.max(again.endpoint);
        assert!(!world.exchange.is_current(&call) && again.incarnation != call.incarnation);
        assert_eq!(world.exchange.begin(&again, again.mails.clone()).len(), 1);
        world.exchange.connect_ended(again.mails[0].serial, seen(Outcome::Relayed));
        world.exchange.turn();
    }
    assert!(most < 4, "{most}");
    incarnations.sort();
    incarnations.dedup();
    assert_eq!((incarnations.len(), world.exchange.in_hand(), world.exchange.counts.broken), (50, 0, 0));
}

#[test]
fn a_mail_handed_in_twice_is_taken_once_and_a_full_room_refuses() {
    let mut world = world("single");
    assert_eq!([world.put("01", "again", 1), world.put("01", "again", 1)], [Answer::Taken(1), Answer::Known]);
    assert_eq!(world.put("02", "what", 1), Answer::Failed("ERR unknown class"));
    let answers: Vec<Answer> = (10..80).map(|id| world.put(&id.to_string(), "again", 1)).collect();
    assert_eq!(answers.iter().filter(|a| **a == Answer::Busy).count(), 70 - 63);
}

#[test]
fn a_timed_out_connect_that_was_served_after_all_ends_its_mail() {
    let mut world = world("single");
    let mail = serial(world.put("01", "again", 1));
    let call = world.call();
    assert_eq!(world.exchange.begin(&call, call.mails.clone()).len(), 1);
    world.exchange.connect_ended(mail, seen(Outcome::Silent));
    world.exchange.turn();
    world.exchange.relayed_late(mail);
    world.exchange.relayed_late(mail);
    world.exchange.turn();
    assert_eq!((world.exchange.in_hand(), world.exchange.counts.late), (0, 1));
}

#[test]
fn a_once_only_mail_that_may_have_run_is_given_up_at_once_with_a_notice() {
    let mut world = world("single");
    let mail = serial(world.put("01", "once", 1));
    let call = world.call();
    world.exchange.begin(&call, call.mails.clone());
    world.exchange.connect_ended(mail, seen(Outcome::Broken));
    assert!(world.calls().is_empty());
    let notice = world.notices.try_recv().unwrap();
    assert_eq!((notice.serial, notice.verdict), (mail, Verdict::Dead));
    assert_eq!(world.exchange.in_hand(), 1, "until the platform has heard of it");
    world.exchange.notice_accepted(mail);
    assert_eq!(world.exchange.in_hand(), 0);
}

#[test]
fn the_journal_can_be_read_whole_whichever_record_has_it_written_anew() {
    let mut world = world_with("single", 10_000);
    // The clock is the test's: a call whose time is over before it begins is rightly not sent, and an endpoint that
    // has always answered at once is given 4 ms.
    let start = world.exchange.clock.now();
    let mut steps = 0;
    let mut anew: BTreeMap<&str, usize> = BTreeMap::new();
    let mut look = |world: &World, what: &'static str| {
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
        // One may have run and is given up, one is relayed, one is sent again; all of them at once, for a record is
        // looked at by those before it.
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
                world.exchange.connect_ended(mail, seen(outcome));
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
fn a_batch_holds_no_more_than_a_body_may() {
    let mut world = world("many");
    (0..5).for_each(|id| assert_ne!(world.put(&id.to_string(), "again", 20_000), Answer::Busy));
    let calls = world.calls();
    let sizes: Vec<usize> = calls.iter().map(|call| call.mails.len()).collect();
    assert_eq!(sizes, [2, 2, 1]);
    assert!(calls.iter().all(|call| call.size <= 64 * 1024));
}

#[test]
fn what_may_run_once_only_does_not_wait_for_good_for_an_endpoint_in_doubt() {
    // What became of the first call, and how late; nothing but once-only mails comes.
    for (outcome, after) in [(Outcome::Unsent, 250), (Outcome::Refused, 250), (Outcome::Broken, 10)] {
        let mut world = world("single");
        let start = world.exchange.clock.now();
        world.exchange.clock = Clock::still(start);
        serial(world.put("01", "once", 1));
        let call = world.call();
        assert_eq!(world.exchange.begin(&call, call.mails.clone()).len(), 1);
        world.exchange.clock = Clock::still(start + after * 10);
        assert!(world.calls().is_empty());
        world.exchange.connect_ended(call.mails[0].serial, seen(outcome));
        let mut next = None;
        for ms in (after + 10..30_000).step_by(10) {
            world.exchange.clock = Clock::still(start + ms * 10);
            if ms % 3000 < 10 {
                serial(world.put(&ms.to_string(), "once", 1));
            }
            for call in world.calls() {
                next = next.or(Some(ms));
                assert_eq!(world.exchange.begin(&call, call.mails.clone()).len(), 1);
                world.exchange.connect_ended(call.mails[0].serial, seen(Outcome::Relayed));
            }
            while let Ok(notice) = world.notices.try_recv() {
                world.exchange.notice_accepted(notice.serial);
            }
        }
        assert!(next.is_some(), "{outcome:?}: not one call in half a minute");
    }
}
