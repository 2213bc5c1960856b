//! Mails whose last outcome is provisional: what becomes of them when it is final or revoked, when their time is up, and
//! after a kill.

mod common;
#[path = "common/fixture.rs"]
mod fixture;

use std::thread;
use std::time::Duration;

use common::Folder;
use fixture::{report, serial, setup, start, Fixture};
use meadowhold::interface::{Outcome, Time, SECOND};
use meadowhold::response_order::Claim;
use meadowhold_courier::exchange::{Answer, Clock, ConnectReport, RevokeReason};
use meadowhold_courier::journal::{JournalContents, Verdict};

const EFFECTS: [&str; 3] = ["again", "tagged", "once"];
/// That of the fixture's mails, and a little more.
const LIFETIME: Duration = Duration::from_millis(4050);
const ALLOWANCE: u64 = 3_000_000;
const START: Time = 1_700_000_000 * SECOND;

/// A mail whose call has begun and whose answer makes this claim.
fn held(fixture: &mut Fixture, class: &str, claim: Claim) -> u64 {
    let serial = serial(fixture.put("01", class, 1));
    let call = fixture.call();
    assert_eq!(fixture.exchange.begin(&call, call.mails.clone()).len(), 1);
    let outcome = if claim == Claim::Delivered { Outcome::Relayed } else { Outcome::Unsent };
    fixture.exchange.connect_ended_provisionally(serial, ConnectReport::of(outcome), claim);
    assert!(fixture.exchange.is_held(serial));
    serial
}

fn check_consistency(fixture: &Fixture) {
    assert_eq!(fixture.exchange.audit(), Vec::<String>::new());
    let (found, _) = JournalContents::load(&fixture.folder.path).unwrap();
    assert_eq!(fixture.exchange.audit_file(&found), Vec::<String>::new());
    assert_eq!(fixture.exchange.counts.broken, 0);
}

/// What came of the mail: another call, the result of a notice, its end, or nothing yet.
fn came_of(fixture: &mut Fixture) -> &'static str {
    // The decision module releases the mail in one turn and gets it back in the next.
    let calls = fixture.calls().len() + fixture.calls().len();
    check_consistency(fixture);
    match fixture.notices.try_recv().map(|notice| notice.verdict) {
        Ok(Verdict::Dead) => "dead",
        Ok(Verdict::Bounced(_)) => "bounced",
        Err(_) if calls > 0 => "called again",
        Err(_) if fixture.exchange.in_hand() == 0 => "ended",
        Err(_) => "held",
    }
}

#[test]
fn a_held_mail_goes_on_as_its_outcome_turns_out() {
    use Claim::{Delivered, NeverRan, Over};
    let rows = [
        (Over, "again", "ended", "bounced"),
        (Over, "tagged", "ended", "bounced"),
        (Over, "once", "ended", "dead"),
        (Delivered, "again", "ended", "called again"),
        (Delivered, "tagged", "ended", "called again"),
        (Delivered, "once", "ended", "dead"),
        (NeverRan, "again", "called again", "called again"),
        (NeverRan, "tagged", "called again", "called again"),
        (NeverRan, "once", "called again", "dead"),
    ];
    for (claim, class, confirmed, revoked) in rows {
        for (is_final, expected) in [(true, confirmed), (false, revoked)] {
            let mut fixture = setup("single");
            let serial = held(&mut fixture, class, claim);
            assert_eq!(came_of(&mut fixture), "held");
            if is_final {
                fixture.exchange.confirm(serial);
            } else {
                fixture.exchange.revoke(serial, RevokeReason::Unproven);
            }
            assert_eq!(came_of(&mut fixture), expected, "{claim:?} {class}, final: {is_final}");
        }
    }
}

/// Guards against a message that is called again as one that never ran, behind a refusal that may be another call's.
#[test]
fn behind_an_ambiguous_refusal_a_mail_may_have_run_at_once_and_after_a_kill() {
    for is_killed in [false, true] {
        for class in EFFECTS {
            let mut fixture = start(Folder::new(), Clock::still(START), "single", ALLOWANCE);
            let serial = serial(fixture.put("01", class, 1));
            let call = fixture.call();
            assert_eq!(fixture.exchange.begin(&call, call.mails.clone()).len(), 1);
            let refused = ConnectReport::of(Outcome::Unsent);
            fixture.exchange.connect_ended_ambiguously(serial, refused, Claim::NeverRan);
            assert!(!fixture.exchange.is_held(serial), "nothing is waited for");
            assert_eq!(fixture.exchange.counts.provisional.revoked.ambiguous, 1);
            if is_killed {
                fixture = after_a_kill(fixture);
            }
            let expected = if class == "once" { "dead" } else { "called again" };
            assert_eq!(came_of(&mut fixture), expected, "{class}, killed: {is_killed}");
        }
    }
}

/// Guards against a tagged message that is sent when its endpoint may have forgotten its key: the window counts from the first
/// call that may have run.
#[test]
fn behind_an_ambiguous_refusal_the_window_of_a_key_counts() {
    let mut fixture = start(Folder::new(), Clock::still(START), "single", ALLOWANCE);
    let serial = serial(fixture.put("01", "tagged", 1));
    let call = fixture.call();
    assert_eq!(fixture.exchange.begin(&call, call.mails.clone()).len(), 1);
    let refused = ConnectReport::of(Outcome::Unsent);
    fixture.exchange.connect_ended_ambiguously(serial, refused, Claim::NeverRan);
    let again = fixture.calls().into_iter().chain(fixture.calls()).next().unwrap();
    // The settings' window is 5 s.
    assert_eq!(again.mails[0].send_before, START + 5 * SECOND);
}

#[test]
fn an_outcome_is_confirmed_or_revoked_once_also_before_the_decisions_have_read_it() {
    for confirmed_first in [true, false] {
        let mut fixture = setup("single");
        let serial = held(&mut fixture, "again", Claim::Delivered);
        let exchange = &mut fixture.exchange;
        if confirmed_first {
            exchange.confirm(serial);
        }
        exchange.revoke(serial, RevokeReason::Unproven);
        exchange.revoke(serial, RevokeReason::Unproven);
        exchange.confirm(serial);
        let counts = exchange.counts.provisional;
        assert_eq!((counts.held, counts.confirmed + counts.revoked.total()), (1, 1));
        let expected = if confirmed_first { "ended" } else { "called again" };
        assert_eq!(came_of(&mut fixture), expected);
    }
}

#[test]
fn a_held_mail_whose_time_is_up_gets_a_notice() {
    let end = |claim: Claim, class: &str| {
        let mut fixture = setup("single");
        held(&mut fixture, class, claim);
        assert_eq!(came_of(&mut fixture), "held");
        thread::sleep(LIFETIME);
        let expected = if class == "once" { "dead" } else { "bounced" };
        assert_eq!(came_of(&mut fixture), expected, "{claim:?} {class}");
    };
    thread::scope(|scope| {
        for claim in [Claim::Delivered, Claim::NeverRan, Claim::Over] {
            EFFECTS.into_iter().for_each(|class| drop(scope.spawn(move || end(claim, class))));
        }
    });
}

/// The next process on the folder that a killed one left.
fn after_a_kill(fixture: Fixture) -> Fixture {
    let Fixture { exchange, folder, .. } = fixture;
    let now = exchange.clock.now();
    drop(exchange);
    start(folder, Clock::still(now + SECOND / 10), "single", ALLOWANCE)
}

#[test]
fn after_a_kill_a_held_mail_may_have_run() {
    for claim in [Claim::Delivered, Claim::NeverRan] {
        for class in EFFECTS {
            let mut fixture = start(Folder::new(), Clock::still(START), "single", ALLOWANCE);
            held(&mut fixture, class, claim);
            let mut next = after_a_kill(fixture);
            let expected = if class == "once" { "dead" } else { "called again" };
            assert_eq!(came_of(&mut next), expected, "{claim:?} {class}");
        }
    }
}

#[test]
fn after_a_kill_a_mail_that_may_be_over_is_not_called_again() {
    for is_revoked in [false, true] {
        for class in EFFECTS {
            let mut fixture = start(Folder::new(), Clock::still(START), "single", ALLOWANCE);
            let serial = held(&mut fixture, class, Claim::Over);
            if is_revoked {
                fixture.exchange.revoke(serial, RevokeReason::Unproven);
            }
            // The file is compacted at each start.
            let mut next = after_a_kill(after_a_kill(fixture));
            let expected = if class == "once" { "dead" } else { "bounced" };
            assert_eq!(came_of(&mut next), expected, "{class}");
        }
    }
}

/// An answer says that a mail is over whose call had timed out, and may be another call's.
#[test]
fn a_mail_that_may_be_over_is_not_called_again_behind_its_timeout() {
    for (is_called_again, is_killed) in [(false, false), (false, true), (true, false), (true, true)] {
        let mut fixture = start(Folder::new(), Clock::still(START), "single", ALLOWANCE);
        let serial = serial(fixture.put("01", "again", 1));
        let call = fixture.call();
        assert_eq!(fixture.exchange.begin(&call, call.mails.clone()).len(), 1);
        fixture.exchange.connect_ended(serial, ConnectReport::of(Outcome::Silent));
        if is_called_again {
            fixture.exchange.clock = Clock::still(START + SECOND);
            let again = fixture.call();
            assert_eq!(fixture.exchange.begin(&again, again.mails.clone()).len(), 1);
        }
        fixture.exchange.over_late(serial);
        if is_killed {
            fixture = after_a_kill(fixture);
        } else if is_called_again {
            fixture.exchange.connect_ended(serial, ConnectReport::of(Outcome::Refused));
        }
        assert_eq!(came_of(&mut fixture), "bounced", "{is_called_again} {is_killed}");
    }
}

#[test]
fn after_a_kill_a_revoked_mail_may_have_run_and_a_confirmed_one_is_gone() {
    use Claim::{Delivered, NeverRan};
    for claim in [Delivered, NeverRan] {
        for class in EFFECTS {
            let mut fixture = start(Folder::new(), Clock::still(START), "single", ALLOWANCE);
            let serial = held(&mut fixture, class, claim);
            fixture.exchange.revoke(serial, RevokeReason::Unproven);
            let mut next = after_a_kill(fixture);
            let expected = if class == "once" { "dead" } else { "called again" };
            assert_eq!(came_of(&mut next), expected, "{claim:?} {class}");
        }
    }
    let mut fixture = start(Folder::new(), Clock::still(START), "single", ALLOWANCE);
    let serial = held(&mut fixture, "again", Delivered);
    fixture.exchange.confirm(serial);
    assert_eq!(after_a_kill(fixture).exchange.in_hand(), 0);
}

#[test]
fn held_mails_take_no_place_in_the_room_for_others() {
    let mut fixture = setup("single");
    let serials: Vec<u64> = (0..5).map(|i| serial(fixture.put(&format!("{i}"), "again", 1))).collect();
    for call in fixture.calls() {
        let begun = fixture.exchange.begin(&call, call.mails.clone());
        for mail in begun {
            let outcome = report(Outcome::Relayed);
            fixture.exchange.connect_ended_provisionally(mail.serial, outcome, Claim::Delivered);
        }
    }
    fixture.exchange.turn();
    check_consistency(&fixture);
    assert_eq!(fixture.exchange.in_hand(), serials.len());
    // 64 mails may be in hand.
    let taken = (100..200).filter(|i| matches!(fixture.put(&format!("{i}"), "again", 1), Answer::Taken(_)));
    assert!(taken.count() >= 60);
}
