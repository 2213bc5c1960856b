//! Tests of the rules on versions: which reports are accepted and which break a rule.

use super::*;

const S: u64 = 1_000_000;

/// Two couriers in one process and one in another; version 1 was created at 0 and is in force at all of them.
fn tracker() -> VersionTracker {
    let mut tracker = VersionTracker::new(&[0, 0, 1]);
    tracker.create_version(0);
    for (courier, process) in [(0, 0), (1, 0), (2, 1)] {
        tracker.record_sent(process, 1);
        tracker.record_report(courier, 1, S / 10);
    }
    tracker
}

fn violations(tracker: &VersionTracker, rule: Rule) -> usize {
    tracker.broken.iter().filter(|broken| broken.rule == rule).count()
}

#[test]
fn a_version_reported_before_it_was_sent_is_a_violation() {
    // Sends as (process, version), reports as (courier, version), and the number of reports that are too early.
    type Pairs = &'static [(usize, u64)];
    let rows: [(Pairs, Pairs, usize); 9] = [
        (&[(0, 2), (0, 2), (1, 2)], &[(0, 2), (1, 2), (2, 2)], 0),
        // Before anything was sent to it; a version that was never created.
        (&[], &[(2, 2)], 1),
        (&[(1, 2)], &[(2, 3)], 1),
        // Sent only to another process; sent only to another courier of the process.
        (&[(0, 2), (0, 2)], &[(2, 2)], 1),
        (&[(0, 2)], &[(0, 2), (1, 2)], 1),
        // A later version implies the earlier ones.
        (&[(0, 3), (0, 3)], &[(0, 2), (1, 3)], 0),
        // Reported again, as after a restart from the stored list.
        (&[(1, 2)], &[(2, 2), (2, 1), (2, 2)], 0),
        (&[(1, 2), (1, 2)], &[(2, 2), (2, 3)], 1),
        (&[(9, 2)], &[(9, 2)], 0),
    ];
    for (sent, said, early) in rows {
        let mut tracker = tracker();
        tracker.create_version(S);
        tracker.create_version(2 * S);
        sent.iter().for_each(|&(process, version)| tracker.record_sent(process, version));
        said.iter().for_each(|&(courier, version)| tracker.record_report(courier, version, 3 * S));
        assert_eq!(violations(&tracker, Rule::NotTooEarly), early, "{sent:?} {said:?}: {:?}", tracker.broken);
    }
}

#[test]
fn a_change_is_due_after_its_creation_or_after_a_couriers_trouble() {
    // When courier 2 reported version 2, which was created at 10 s and is due 7 s later; when its trouble ended (`None`
    // while it lasts); the time of the check; and the number of violations.
    let rows = [
        (Some(11), Some(0), 20, 0),
        (Some(17), Some(0), 20, 0),
        (Some(18), Some(0), 20, 1),
        (None, Some(0), 20, 1),
        (None, Some(0), 16, 0),
        (Some(18), Some(12), 20, 0),
        (Some(20), Some(12), 20, 1),
        (None, Some(12), 20, 1),
        (None, None, 20, 0),
    ];
    for (said, calm, now, broken) in rows {
        let mut tracker = tracker();
        tracker.create_version(10 * S);
        for (courier, process) in [(0, 0), (1, 0)] {
            tracker.record_sent(process, 2);
            tracker.record_report(courier, 2, 11 * S);
        }
        tracker.record_sent(1, 2);
        said.into_iter().for_each(|at| tracker.record_report(2, 2, at * S));
        match calm {
            Some(at) => tracker.end_trouble(2, at * S),
            None => tracker.start_trouble(2),
        }
        tracker.check(1..=2, 7 * S, now * S);
        assert_eq!(
            violations(&tracker, Rule::InForceInTime),
            broken,
            "{said:?} {calm:?} {now}: {:?}",
            tracker.broken
        );
        assert_eq!(tracker.broken.len(), broken);
    }
}

#[test]
fn times_exclude_couriers_affected_by_a_trouble() {
    let mut tracker = tracker();
    tracker.create_version(10 * S);
    tracker.start_trouble(2);
    for (courier, process, at) in [(0, 0, 12), (1, 0, 11)] {
        tracker.record_sent(process, 2);
        tracker.record_report(courier, 2, at * S);
    }
    let change = tracker.change(2);
    assert_eq!(change, Change { version: 2, times: vec![S, 2 * S], befallen: 1, missing: 1 });
    assert_eq!((tracker.missing(2), tracker.missing(1), tracker.recovery_time(&[2])), (1, 0, None));
    tracker.end_trouble(2, 20 * S);
    tracker.record_sent(1, 2);
    tracker.record_report(2, 2, 23 * S);
    assert_eq!(tracker.recovery_time(&[2]), Some(3 * S));
    tracker.create_version(21 * S);
    assert_eq!(
        tracker.recovery_time(&[2, 0]),
        Some(3 * S),
        "versions created after the end of a trouble do not count"
    );
    assert_eq!(tracker.change(2).times.len(), 2, "a courier affected by a trouble does not add to the times");
}

#[test]
fn percentiles_use_the_nearest_rank() {
    let hundred: Vec<u64> = (1..=100).collect();
    let rows = [(0.5, Some(50)), (0.99, Some(99)), (1.0, Some(100)), (0.0, Some(1))];
    for (part, value) in rows {
        assert_eq!(percentile(&hundred, part), value);
    }
    assert_eq!(
        (percentile(&[], 0.5), percentile(&[7], 0.5), percentile(&[7, 9], 0.99)),
        (None, Some(7), Some(9))
    );
}

#[test]
fn behind_relays_a_version_reported_before_it_was_passed_on_is_a_violation() {
    let tracker = || {
        let mut tracker = VersionTracker::new(&[0, 0, 1]).with_relays(2);
        tracker.create_version(0);
        tracker
    };
    // Sent to a relay as (relay, version), passed on as (relay, process, version), reported as (courier, version).
    type Rows = &'static [(
        &'static [(usize, u64)],
        &'static [(usize, usize, u64)],
        &'static [(usize, u64)],
        usize,
    )];
    let rows: Rows = &[
        (&[(0, 1)], &[(0, 1, 1)], &[(2, 1)], 0),
        // By any relay, and again after a move to another one.
        (&[(0, 1), (1, 1)], &[(0, 0, 1), (1, 0, 1), (0, 1, 1)], &[(0, 1), (1, 1), (2, 1)], 0),
        // Held by a relay but not passed on; passed on only to another process.
        (&[(0, 1), (1, 1)], &[], &[(2, 1)], 1),
        (&[(0, 1)], &[(0, 0, 1)], &[(2, 1)], 1),
        (&[(0, 1)], &[(0, 0, 1)], &[(0, 1), (1, 1)], 1),
        // A relay that was sent nothing, or an earlier version.
        (&[(0, 1)], &[(1, 1, 1)], &[(2, 1)], 1),
        (&[(0, 1)], &[(0, 1, 2)], &[], 1),
        // A relay that invents a version, and a courier that accepts it.
        (&[(0, 1)], &[(0, 1, 2)], &[(2, 2)], 2),
        (&[(0, 2)], &[(0, 1, 2)], &[(2, 2)], 1),
    ];
    for (told, passed_on, said, many) in rows {
        let mut tracker = tracker();
        told.iter().for_each(|&(relay, version)| tracker.record_sent_to_relay(relay, version));
        passed_on
            .iter()
            .for_each(|&(relay, process, version)| tracker.record_passed_on(relay, process, version));
        said.iter().for_each(|&(courier, version)| tracker.record_report(courier, version, S));
        assert_eq!(violations(&tracker, Rule::NotTooEarly), *many, "{told:?} {passed_on:?} {said:?}");
    }
}
