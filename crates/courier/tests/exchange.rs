//! The exchange without sockets: mails submitted to it, and the calls and notices that come out of it.

mod common;
#[path = "common/fixture.rs"]
mod fixture;

use std::collections::BTreeMap;

use fixture::{list, report, serial, setup, setup_with, Fixture};
use meadowhold::interface::Outcome;
use meadowhold_courier::exchange::{Answer, Clock};
use meadowhold_courier::journal::{JournalContents, Verdict};

#[test]
fn a_call_does_not_begin_at_an_endpoint_that_is_draining_or_asked_to_wait() {
    for reason in ["drain", "wait"] {
        let mut fixture = setup("single");
        let first = serial(fixture.put("01", "once", 1));
        let call = fixture.call();
        serial(fixture.put("02", "once", 1));
        // This happens while the first call waits for its connection.
        if reason == "drain" {
            fixture.exchange.listed(&list("DRAINING", "single"));
            fixture.exchange.turn();
        } else {
            let second = fixture.call();
            assert_eq!(fixture.exchange.begin(&second, second.mails.clone()).len(), 1);
            fixture.exchange.connect_ended(second.mails[0].serial, report(Outcome::Refused));
            fixture.exchange.turn();
        }
        assert!(fixture.exchange.begin(&call, call.mails.clone()).is_empty(), "{reason}");
        assert!(fixture.calls().is_empty(), "{reason}: the mail waits");
        // It was never sent, so it can be sent later; nothing was given up.
        assert_eq!((first, fixture.exchange.in_hand(), fixture.exchange.in_flight()), (1, 2, 0));
        assert!(fixture.notices.try_recv().is_err());
    }
}

#[test]
fn while_turns_are_held_mails_are_accepted_and_a_newer_list_applies_first() {
    let mut fixture = setup("single");
    fixture.exchange.hold();
    assert!(matches!(fixture.put("01", "once", 1), Answer::Taken(1)));
    assert_eq!(fixture.put("01", "once", 1), Answer::Known);
    assert!(fixture.calls().is_empty(), "turns are held");
    fixture.exchange.listed(&list("DRAINING", "single"));
    fixture.exchange.release();
    assert!(fixture.calls().is_empty(), "the endpoint is draining");
    fixture.exchange.listed(&list("SERVING", "single"));
    assert_eq!(fixture.call().mails.len(), 1);
}

#[test]
fn a_mail_that_expires_while_its_call_waits_for_a_connection_is_not_sent() {
    let mut fixture = setup("many");
    for (id, class) in [("01", "again"), ("02", "once")] {
        serial(fixture.put(id, class, 1));
    }
    let mut call = fixture.call();
    let late = call.mails.iter().position(|mail| mail.id == "01").unwrap();
    call.mails[late].times_out_at = fixture.exchange.clock.now();
    let going = fixture.exchange.begin(&call, call.mails.clone());
    assert_eq!(going.iter().map(|mail| &mail.id[..]).collect::<Vec<_>>(), [b"02"]);
    assert_eq!((fixture.exchange.in_hand(), fixture.exchange.in_flight()), (2, 1));
}

#[test]
fn a_client_that_leaves_before_its_answer_is_owed_nothing() {
    for is_drawn in [false, true] {
        let mut fixture = setup("single");
        let mail = serial(fixture.put("01", "once", 1));
        let call = is_drawn.then(|| fixture.call());
        fixture.exchange.withdraw(mail);
        assert_eq!((fixture.calls().len(), fixture.exchange.in_hand()), (0, 0));
        if let Some(call) = call {
            assert!(
                fixture.exchange.begin(&call, call.mails.clone()).is_empty(),
                "it is not called any more"
            );
            assert_eq!((fixture.calls().len(), fixture.exchange.in_flight()), (0, 0));
        }
        assert!(fixture.notices.try_recv().is_err());
        assert_eq!(fixture.put("01", "once", 1), Answer::Taken(mail + 1));
    }
}

#[test]
fn a_client_that_leaves_behind_the_call_and_sends_its_request_again_has_it_called_once() {
    for (outcome, notices) in [(Outcome::Broken, 1), (Outcome::Relayed, 0)] {
        let mut fixture = setup("single");
        let mail = serial(fixture.put("01", "once", 1));
        let call = fixture.call();
        assert_eq!(fixture.exchange.begin(&call, call.mails.clone()).len(), 1);
        fixture.exchange.withdraw(mail);
        assert_eq!(fixture.put("01", "once", 1), Answer::Known);
        fixture.exchange.connect_ended(mail, report(outcome));
        assert_eq!((fixture.calls().len(), fixture.exchange.in_flight()), (0, 0));
        assert_eq!(std::iter::from_fn(|| fixture.notices.try_recv().ok()).count(), notices, "{outcome:?}");
        assert_ne!(fixture.put("01", "once", 1), Answer::Taken(mail + 1), "{outcome:?}");
    }
}

#[test]
fn the_index_of_a_removed_endpoint_is_reused_and_an_older_call_does_not_match_it() {
    let mut fixture = setup("single");
    let mut list = list("SERVING", "single");
    let (mut most, mut incarnations) = (0, Vec::new());
    for i in 0..50 {
        serial(fixture.put(&i.to_string(), "once", 1));
        let call = fixture.call();
        most = most.max(call.endpoint);
        incarnations.push(call.incarnation);
        assert!(fixture.exchange.is_current(&call));
        // Another endpoint appears at the same address while the call waits for its connection.
        list.endpoints[0].name = format!("n{i}");
        fixture.exchange.listed(&list);
        fixture.exchange.turn();
        assert!(fixture.exchange.begin(&call, call.mails.clone()).is_empty(), "the endpoint was removed");
        let again = fixture.call();
        most = most.max(again.endpoint);
        assert!(!fixture.exchange.is_current(&call) && again.incarnation != call.incarnation);
        assert_eq!(fixture.exchange.begin(&again, again.mails.clone()).len(), 1);
        fixture.exchange.connect_ended(again.mails[0].serial, report(Outcome::Relayed));
        fixture.exchange.turn();
    }
    assert!(most < 4, "{most}");
    incarnations.sort();
    incarnations.dedup();
    assert_eq!((incarnations.len(), fixture.exchange.in_hand(), fixture.exchange.counts.broken), (50, 0, 0));
}

#[test]
fn a_mail_handed_in_twice_is_accepted_once_and_a_full_courier_answers_busy() {
    let mut fixture = setup("single");
    assert_eq!(
        [fixture.put("01", "again", 1), fixture.put("01", "again", 1)],
        [Answer::Taken(1), Answer::Known]
    );
    assert_eq!(fixture.put("02", "what", 1), Answer::Failed("ERR unknown class"));
    let answers: Vec<Answer> = (10..80).map(|id| fixture.put(&id.to_string(), "again", 1)).collect();
    assert_eq!(answers.iter().filter(|a| **a == Answer::Busy).count(), 70 - 63);
}

#[test]
fn a_timed_out_connect_that_is_relayed_late_finishes_its_mail() {
    let mut fixture = setup("single");
    let mail = serial(fixture.put("01", "again", 1));
    let call = fixture.call();
    assert_eq!(fixture.exchange.begin(&call, call.mails.clone()).len(), 1);
    fixture.exchange.connect_ended(mail, report(Outcome::Silent));
    fixture.exchange.turn();
    fixture.exchange.relayed_late(mail);
    fixture.exchange.relayed_late(mail);
    fixture.exchange.turn();
    assert_eq!((fixture.exchange.in_hand(), fixture.exchange.counts.late), (0, 1));
}

#[test]
fn a_once_only_mail_that_may_have_run_is_given_up_at_once_with_a_notice() {
    let mut fixture = setup("single");
    let mail = serial(fixture.put("01", "once", 1));
    let call = fixture.call();
    fixture.exchange.begin(&call, call.mails.clone());
    fixture.exchange.connect_ended(mail, report(Outcome::Broken));
    assert!(fixture.calls().is_empty());
    let notice = fixture.notices.try_recv().unwrap();
    assert_eq!((notice.serial, notice.verdict), (mail, Verdict::Dead));
    assert_eq!(fixture.exchange.in_hand(), 1, "until the platform acknowledges the notice");
    fixture.exchange.notice_accepted(mail);
    assert_eq!(fixture.exchange.in_hand(), 0);
}

#[test]
fn the_journal_is_complete_whichever_record_triggers_compaction() {
    let mut fixture = setup_with("single", 10_000);
    // The test sets the clock: a call that times out before it begins is rightly not sent, and an endpoint
    // that has always answered at once gets only 4 ms.
    let start = fixture.exchange.clock.now();
    let mut steps = 0;
    let mut anew: BTreeMap<&str, usize> = BTreeMap::new();
    let mut look = |fixture: &Fixture, what: &'static str| {
        let now = fixture.exchange.counts.compactions;
        if std::mem::replace(&mut steps, now) < now {
            *anew.entry(what).or_default() += 1;
            let (found, unread) = JournalContents::load(&fixture.folder.path).unwrap();
            assert_eq!((found.owed.len(), unread), (fixture.exchange.in_hand(), 0), "{what}");
            assert_eq!(fixture.exchange.audit_file(&found), Vec::<String>::new(), "{what}");
        }
    };
    let mut chance = fastrand::Rng::with_seed(40);
    for i in 0..1000u64 {
        fixture.exchange.clock = Clock::still(start + 10_000 * i);
        // One may have run and is given up, one is relayed, one is sent again. All are in hand at once, since
        // each record is checked together with the earlier ones.
        let mut to_come = BTreeMap::new();
        for (name, class, outcomes) in [
            ("a", "once", vec![Outcome::Broken]),
            ("b", "again", vec![Outcome::Relayed]),
            ("c", "again", vec![Outcome::Relayed, Outcome::Unsent]),
        ] {
            let mail = serial(fixture.put(&format!("{name}{i}"), class, chance.usize(..100)));
            to_come.insert(mail, outcomes);
            look(&fixture, "taken");
        }
        for _ in 0..6 {
            let calls = fixture.calls();
            look(&fixture, "given up");
            for call in calls {
                assert_eq!(fixture.exchange.begin(&call, call.mails.clone()).len(), 1, "{i}");
                look(&fixture, "out");
                let mail = call.mails[0].serial;
                let outcome = to_come.get_mut(&mail).and_then(Vec::pop).unwrap();
                fixture.exchange.connect_ended(mail, report(outcome));
                look(&fixture, if outcome == Outcome::Relayed { "over" } else { "back" });
            }
            if let Ok(notice) = fixture.notices.try_recv() {
                fixture.exchange.notice_accepted(notice.serial);
                look(&fixture, "told");
            }
        }
        assert_eq!(fixture.exchange.in_hand(), 0, "{i}");
    }
    let each: Vec<&str> = anew.keys().copied().collect();
    assert_eq!(each, ["back", "given up", "out", "over", "taken", "told"], "{anew:?}");
}

#[test]
fn a_batch_is_no_larger_than_the_body_limit() {
    let mut fixture = setup("many");
    (0..5).for_each(|id| assert_ne!(fixture.put(&id.to_string(), "again", 20_000), Answer::Busy));
    let calls = fixture.calls();
    let sizes: Vec<usize> = calls.iter().map(|call| call.mails.len()).collect();
    assert_eq!(sizes, [2, 2, 1]);
    assert!(calls.iter().all(|call| call.size <= 64 * 1024));
}

#[test]
fn once_only_mails_do_not_wait_forever_for_a_suspected_endpoint() {
    // The outcome of the first call, and after how many ms; only once-only mails are submitted.
    for (outcome, after) in [(Outcome::Unsent, 250), (Outcome::Refused, 250), (Outcome::Broken, 10)] {
        let mut fixture = setup("single");
        let start = fixture.exchange.clock.now();
        fixture.exchange.clock = Clock::still(start);
        serial(fixture.put("01", "once", 1));
        let call = fixture.call();
        assert_eq!(fixture.exchange.begin(&call, call.mails.clone()).len(), 1);
        fixture.exchange.clock = Clock::still(start + after * 10);
        assert!(fixture.calls().is_empty());
        fixture.exchange.connect_ended(call.mails[0].serial, report(outcome));
        let mut next = None;
        for ms in (after + 10..30_000).step_by(10) {
            fixture.exchange.clock = Clock::still(start + ms * 10);
            if ms % 3000 < 10 {
                serial(fixture.put(&ms.to_string(), "once", 1));
            }
            for call in fixture.calls() {
                next = next.or(Some(ms));
                assert_eq!(fixture.exchange.begin(&call, call.mails.clone()).len(), 1);
                fixture.exchange.connect_ended(call.mails[0].serial, report(Outcome::Relayed));
            }
            while let Ok(notice) = fixture.notices.try_recv() {
                fixture.exchange.notice_accepted(notice.serial);
            }
        }
        assert!(next.is_some(), "{outcome:?}: no call within 30 s");
    }
}
