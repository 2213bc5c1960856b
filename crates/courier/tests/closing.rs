//! The last part of a shutdown, in which no call begins any more: what becomes of the mails whose time is up before the
//! next process begins its calls.

mod common;
#[path = "common/fixture.rs"]
mod fixture;

use std::time::Duration;

use fixture::{serial, setup, Fixture};
use meadowhold::interface::Outcome;
use meadowhold::response_order::Claim;
use meadowhold_courier::exchange::{ConnectReport, RevokeReason};
use meadowhold_courier::journal::Verdict;

const EFFECTS: [&str; 3] = ["again", "tagged", "once"];
/// The next process begins its calls before the end of the fixture's mails, which have 4 s, or after it.
const NEXT_PROCESS_AFTER: [(Duration, bool); 2] =
    [(Duration::from_secs(2), true), (Duration::from_secs(6), false)];

/// A courier with one call out that begins no further ones.
fn closing(class: &str, next_process_after: Duration) -> (Fixture, u64) {
    let mut fixture = setup("single");
    let serial = serial(fixture.put("01", class, 1));
    let call = fixture.call();
    assert_eq!(fixture.exchange.begin(&call, call.mails.clone()).len(), 1);
    fixture.exchange.begin_shutdown(Duration::ZERO, next_process_after);
    fixture.exchange.stop();
    (fixture, serial)
}

/// The result of the mail's notice; `None` if it stays for the next process.
fn notice(fixture: &mut Fixture) -> Option<Verdict> {
    assert!(fixture.calls().is_empty() && fixture.calls().is_empty(), "no call begins");
    assert_eq!(fixture.exchange.audit(), Vec::<String>::new());
    assert_eq!(fixture.exchange.in_hand(), 1);
    fixture.notices.try_recv().ok().map(|notice| notice.verdict)
}

/// Whether the mail must be told of as one that may have run.
fn is_dead(class: &str, outcome: Outcome) -> bool {
    class == "once" && !outcome.never_ran()
}

#[test]
fn a_call_that_fails_behind_the_last_turn_leaves_no_mail_to_a_process_that_comes_too_late() {
    for class in EFFECTS {
        for outcome in [Outcome::Silent, Outcome::Broken, Outcome::Unreached] {
            for (next_process_after, is_in_time) in NEXT_PROCESS_AFTER {
                let (mut fixture, serial) = closing(class, next_process_after);
                fixture.exchange.connect_ended(serial, ConnectReport::of(outcome));
                let what = format!("{class} {outcome:?} {next_process_after:?}");
                match notice(&mut fixture) {
                    Some(Verdict::Dead) => assert!(is_dead(class, outcome), "{what}"),
                    Some(Verdict::Bounced(_)) => assert!(!is_in_time && !is_dead(class, outcome), "{what}"),
                    None => assert!(is_in_time && !is_dead(class, outcome), "{what}"),
                }
            }
        }
    }
}

#[test]
fn an_outcome_that_is_revoked_behind_the_last_turn_leaves_no_mail_to_a_process_that_comes_too_late() {
    for class in EFFECTS {
        for (next_process_after, is_in_time) in NEXT_PROCESS_AFTER {
            let (mut fixture, serial) = closing(class, next_process_after);
            fixture.exchange.connect_ended_provisionally(
                serial,
                ConnectReport::of(Outcome::Relayed),
                Claim::Delivered,
            );
            assert_eq!(notice(&mut fixture), None, "{class}: it may still turn out to be final");
            fixture.exchange.revoke(serial, RevokeReason::Unproven);
            let expects_notice = class == "once" || !is_in_time;
            assert_eq!(notice(&mut fixture).is_some(), expects_notice, "{class} {next_process_after:?}");
        }
    }
}
