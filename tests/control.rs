//! The decisions, case by case: caps, holds, waits, outages, recoveries and limits, each in its edge cases.

use meadowhold::control::{Control, Health};
use meadowhold::interface::{
    AcceptedMail, Action, ConnectResult, Effect, EndpointStatus, Input, Kind, LimitReport, ListEntry,
    Outcome, PeerNote, QueueClass, Settings, Time, SECOND,
};

const REDELIVERABLE: usize = 0;
const TAGGED: usize = 1;
const ONCE_ONLY: usize = 2;
const BATCHED: usize = 0;
const SINGLE: usize = 1;
const OWN_LIMITS: usize = 2;

fn queue_class(effect: Effect, importance: f64) -> QueueClass {
    let (dedup_window, target_delay, lifetime) = (4 * SECOND, 2 * SECOND, 10 * SECOND);
    let (dedup_by_zone, expiry_importance, ordered) = (false, 0.2, false);
    QueueClass {
        effect,
        dedup_by_zone,
        dedup_window,
        target_delay,
        lifetime,
        importance,
        expiry_importance,
        ordered,
    }
}

fn settings() -> Settings {
    Settings {
        seed: 7,
        couriers: 2,
        slots: 8,
        max_mails: 40,
        max_connects: 4,
        timer_resolution: 50,
        connection_timeout: SECOND,
        idle_timeout: 10 * SECOND,
        max_poll_delay: 10 * SECOND,
        cold_capacity: 0.2,
        warm_up: 10 * SECOND,
        overload_multiple: 2.0,
        overload_duration: 2 * SECOND,
        ordering_gap: SECOND,
        list_has_rates: true,
        kinds: [(4, false), (1, false), (1, true)]
            .map(|(max_batch, per_endpoint_limits)| Kind { max_batch, per_endpoint_limits })
            .to_vec(),
        classes: vec![
            queue_class(Effect::Redeliverable, 1.0),
            queue_class(Effect::Tagged, 1.0),
            queue_class(Effect::OnceOnly, 4.0),
        ],
        ..Settings::default()
    }
}

/// One courier. `step` returns the actions of a turn.
struct TestCourier {
    control: Control,
    next: usize,
}

impl TestCourier {
    /// Destination 0 has `ends` endpoints of one kind.
    fn new(set: Settings, kind: usize, ends: usize, rate: f64) -> TestCourier {
        TestCourier::started_at(0, set, kind, ends, rate)
    }

    /// The same for a process that starts later.
    fn started_at(ms: Time, set: Settings, kind: usize, ends: usize, rate: f64) -> TestCourier {
        let mut courier = TestCourier { control: Control::new(set), next: 0 };
        let mut list = vec![Input::ListBegin { complete: true }];
        list.extend((0..ends).map(|endpoint| entry(endpoint, kind, EndpointStatus::Ready, rate)));
        list.push(Input::ListEnd);
        courier.step(ms, &list);
        courier
    }

    fn step(&mut self, ms: Time, inputs: &[Input]) -> Vec<Action> {
        let mut out = Vec::new();
        self.control.step(SECOND + ms * 10, inputs, &mut out);
        out
    }

    fn new_mail(&mut self, ms: Time, class: usize) -> Input {
        self.next += 1;
        let submitted_at = SECOND + ms * 10;
        Input::AcceptedMail(AcceptedMail {
            mail: self.next - 1,
            class,
            submitted_at,
            deadline: submitted_at + 10 * SECOND,
            ..AcceptedMail::default()
        })
    }

    fn submit(&mut self, ms: Time, class: usize, count: usize) -> Vec<Action> {
        let inputs: Vec<Input> = (0..count).map(|_| self.new_mail(ms, class)).collect();
        self.step(ms, &inputs)
    }

    /// Gives every connect of a turn this outcome, and those that follow at once; returns the connects turn
    /// by turn.
    fn answer_all(&mut self, ms: Time, actions: &[Action], outcome: Outcome) -> Vec<Vec<(usize, usize)>> {
        let (mut turns, mut sent) = (Vec::new(), connects(actions));
        while !sent.is_empty() {
            let ends: Vec<Input> = sent.iter().map(|c| result(c.0, outcome, 2)).collect();
            turns.push(sent);
            sent = connects(&self.step(ms, &ends));
        }
        turns
    }

    /// Relays each call after `took` ms, one after the other, so that the latency of the destination is
    /// known.
    fn relay_calls(&mut self, from: Time, took: Time, rounds: usize) -> Time {
        let mut ms = from;
        for _ in 0..rounds {
            let mut sent = connects(&self.submit(ms, REDELIVERABLE, 1));
            while let Some((mail, _)) = sent.pop() {
                ms += took;
                sent.extend(connects(&self.step(ms, &[result(mail, Outcome::Relayed, took)])));
            }
        }
        ms
    }
}

fn entry(endpoint: usize, kind: usize, status: EndpointStatus, rate: f64) -> Input {
    Input::ListEntry(ListEntry { endpoint, destination: 0, zone: endpoint, kind, status, rate })
}

#[test]
fn once_only_mails_wait_while_several_of_an_endpoints_latest_answers_were_errors() {
    for (errors, goes) in [(1, true), (3, false)] {
        let mut courier = TestCourier::new(settings(), SINGLE, 1, 40.0);
        let mut ms = courier.relay_calls(0, 100, 6);
        let mut sent = connects(&courier.submit(ms, REDELIVERABLE, 1));
        for outcome in std::iter::repeat_n(Outcome::Error, errors).chain([Outcome::Relayed]) {
            while sent.is_empty() {
                ms += 50;
                sent = connects(&courier.step(ms, &[]));
            }
            ms += 10;
            sent = connects(&courier.step(ms, &[result(sent[0].0, outcome, 10)]));
        }
        // The endpoint is recovering or healthy: its last answer was good.
        let once = courier.submit(ms, ONCE_ONLY, 1);
        let later: Vec<Action> = (1..30).flat_map(|i| courier.step(ms + 50 * i, &[])).collect();
        let sent = connects(&once).len() + connects(&later).len();
        assert_eq!(sent > 0, goes, "{errors}");
    }
}

#[test]
fn a_break_on_a_reused_connection_is_no_failure_and_once_only_mails_use_new_ones_for_a_while() {
    let mut courier = TestCourier::new(settings(), SINGLE, 1, 0.0);
    let mut ms = courier.relay_calls(0, 100, 6);
    for (reused, relayed, well, new_connection) in
        [(true, 0, true, true), (true, 60, true, false), (false, 0, false, false)]
    {
        let sent = connects(&courier.submit(ms, REDELIVERABLE, 1));
        let broken = ConnectResult {
            mail: sent[0].0,
            outcome: Outcome::Broken,
            finished: false,
            retry_after: 0,
            duration: 50,
            reused_connection: reused,
            limit_report: None,
        };
        // At once if the break says nothing about the endpoint; otherwise a quarter of the connection timeout
        // later.
        let again = connects(&courier.step(ms + 5, &[Input::ConnectResult(broken)]));
        assert_eq!(again.len(), usize::from(reused), "{reused}");
        assert!(connects(&courier.step(ms + 250, &[])).is_empty());
        let again = if reused { again } else { connects(&courier.step(ms + 260, &[])) };
        assert_eq!(again.len(), 1, "{reused}");
        if well {
            courier.step(ms + 100, &[result(again[0].0, Outcome::Relayed, 95)]);
        }
        ms = courier.relay_calls(ms + 100, 100, relayed);
        let actions = courier.submit(ms, ONCE_ONLY, 1);
        let goes =
            actions.iter().any(|action| matches!(action, Action::Connect { new_connection: true, .. }));
        assert_eq!(
            (connects(&actions).len(), goes),
            (usize::from(well), new_connection),
            "{reused} {relayed}"
        );
        let actions = courier.answer_all(ms + 100, &actions, Outcome::Relayed);
        ms += 100 + actions.len() as Time;
    }
}

/// Guards against a once-only mail on a connection on which a copy of a refusal may come: behind a refusal it goes on a new one
/// for as long as a further refusal is likelier than a connection costs.
#[test]
fn behind_a_refusal_once_only_mails_use_new_connections_for_a_while() {
    for (handshake_cost, relayed, new_connection) in
        [(0.0, 6, true), (0.04, 1, true), (0.04, 30, false), (0.5, 1, false)]
    {
        let settings = Settings { handshake_cost, ..settings() };
        let mut courier = TestCourier::new(settings, SINGLE, 1, 0.0);
        let mut ms = courier.relay_calls(0, 100, 6);
        let sent = connects(&courier.submit(ms, REDELIVERABLE, 1));
        courier.step(ms + 20, &[result(sent[0].0, Outcome::Refused, 20)]);
        let again = connects(&courier.step(ms + 1000, &[]));
        courier.step(ms + 1100, &[result(again[0].0, Outcome::Relayed, 100)]);
        // Behind a refusal the courier goes slowly for a while.
        ms += 1200;
        for _ in 0..relayed {
            ms += 1000;
            ms = courier.relay_calls(ms, 100, 1);
        }
        let mut actions = courier.submit(ms, ONCE_ONLY, 1);
        while connects(&actions).is_empty() {
            ms += 100;
            actions = courier.step(ms, &[]);
        }
        let is_new = |action: &Action| matches!(action, Action::Connect { new_connection: true, .. });
        assert_eq!(
            (connects(&actions).len(), actions.iter().any(is_new)),
            (1, new_connection),
            "{handshake_cost} {relayed}"
        );
    }
}

#[test]
fn calls_refused_together_are_one_refusal_and_one_call_goes_first_after_it() {
    for wait in [0, 300] {
        let mut courier = TestCourier::new(settings(), SINGLE, 1, 0.0);
        let ms = courier.relay_calls(0, 100, 6);
        let sent = connects(&courier.submit(ms, REDELIVERABLE, 2));
        let refused: Vec<Input> =
            sent.iter().map(|c| result_with_wait(c.0, Outcome::Refused, 20, wait)).collect();
        assert_eq!((refused.len(), connects(&courier.step(ms + 20, &refused)).len()), (2, 0));
        // One usual latency, not two, where no wait was given; otherwise the given wait.
        let back = ms + 20 + wait.max(110);
        assert!(connects(&courier.step(back - 30, &[])).is_empty(), "{wait}");
        assert_eq!(connects(&courier.step(back + 5, &[])).len(), 1, "{wait}");
    }
}

#[test]
fn a_short_lifetime_makes_a_mail_urgent_and_its_expiry_is_no_failure_of_the_endpoint() {
    let mut courier = TestCourier::new(Settings { slots: 1, ..settings() }, SINGLE, 1, 0.0);
    let ms = courier.relay_calls(0, 100, 6);
    let first = connects(&courier.submit(ms, REDELIVERABLE, 1));
    courier.submit(ms, REDELIVERABLE, 1);
    let short = |mail, left: Time| {
        let submitted_at = SECOND + ms * 10;
        Input::AcceptedMail(AcceptedMail {
            mail,
            submitted_at,
            deadline: submitted_at + left * 10,
            ..AcceptedMail::default()
        })
    };
    courier.next += 1;
    let brief = courier.next - 1;
    courier.step(ms, &[short(brief, 700)]);
    let next = connects(&courier.step(ms + 100, &[result(first[0].0, Outcome::Relayed, 100)]));
    assert_eq!(next, [(brief, 0)]);
    let next = connects(&courier.step(ms + 120, &[result(brief, Outcome::Silent, 20)]));
    assert_eq!(next.len(), 1, "an answer was not overdue: no sign of trouble");
}

/// A complete list of this endpoint only.
fn complete_list(endpoint: usize, kind: usize) -> [Input; 3] {
    [Input::ListBegin { complete: true }, entry(endpoint, kind, EndpointStatus::Ready, 40.0), Input::ListEnd]
}

#[test]
fn an_endpoint_index_is_freed_one_warm_up_after_removal_and_not_before_its_call_ends() {
    let free = |actions: &[Action]| actions.iter().any(|action| matches!(action, Action::FreeEndpoint(0)));
    for (out, kind, heeded) in [(false, SINGLE, true), (true, SINGLE, true), (false, OWN_LIMITS, false)] {
        let mut courier = TestCourier::new(settings(), kind, 1, 0.0);
        let sent = connects(&courier.submit(0, REDELIVERABLE, 1 + usize::from(out)));
        let refused =
            sent.iter().skip(usize::from(out)).map(|c| result_with_wait(c.0, Outcome::Refused, 2, 15_000));
        courier.step(1, &refused.collect::<Vec<_>>());
        let actions = courier.step(5, &complete_list(1, kind));
        courier.answer_all(6, &actions, Outcome::Relayed);
        assert!(!free(&actions) && !free(&courier.step(9_900, &[])));
        assert_eq!(free(&courier.step(10_100, &[])), !out);
        if out {
            assert!(free(&courier.step(10_200, &[result(sent[0].0, Outcome::Error, 10_200)])));
        }
        // Another endpoint gets the old index: a hold of the destination applies to it too, one of the old
        // endpoint does not.
        courier.step(10_300, &complete_list(0, kind));
        let mut sent = connects(&courier.submit(10_310, REDELIVERABLE, 1));
        (0..100).for_each(|i| sent.extend(connects(&courier.step(10_320 + 20 * i, &[]))));
        assert_eq!(sent.is_empty(), heeded, "{out} {kind}");
    }
}

#[test]
fn after_a_long_wait_an_endpoint_is_treated_as_cold() {
    // (wait in ms, fewest and most calls in the second after it): a short wait is no outage, a long one is.
    for (wait, least, most) in [(1_500, 8, 100), (6_000, 1, 6)] {
        let mut courier = TestCourier::new(settings(), SINGLE, 2, 20.0);
        let mut ms = courier.relay_calls(0, 100, 6);
        let sent = connects(&courier.submit(ms, REDELIVERABLE, 1));
        courier.step(ms + 10, &[result_with_wait(sent[0].0, Outcome::Refused, 10, wait)]);
        ms += 10 + wait;
        let mut calls = 0;
        for step in 0..100u64 {
            let actions = courier.submit(ms + 10 * step, REDELIVERABLE, usize::from(step < 20));
            calls += courier.answer_all(ms + 10 * step + 5, &actions, Outcome::Relayed).concat().len();
        }
        assert!((least..=most).contains(&calls), "{wait} ms: {calls}");
    }
}

#[test]
fn an_unreadable_answer_may_have_run_and_is_no_failure_of_the_endpoint() {
    let mut courier = TestCourier::new(settings(), SINGLE, 1, 0.0);
    for (ms, class, ends) in [(0, REDELIVERABLE, false), (10, ONCE_ONLY, true)] {
        let sent = connects(&courier.submit(ms, class, 1));
        let actions = courier.step(ms + 1, &[result(sent[0].0, Outcome::Spoilt, 1)]);
        assert_eq!(actions.contains(&Action::Bounce { mail: sent[0].0 }), ends, "{actions:?}");
        assert_eq!(connects(&actions).len(), usize::from(!ends), "sent again at once: {actions:?}");
        for (mail, _) in connects(&actions) {
            courier.step(ms + 2, &[result(mail, Outcome::Relayed, 1)]);
        }
    }
}

fn result(mail: usize, outcome: Outcome, took: Time) -> Input {
    result_with_wait(mail, outcome, took, 0)
}

fn result_with_wait(mail: usize, outcome: Outcome, took: Time, wait: Time) -> Input {
    let finished = outcome == Outcome::Relayed;
    Input::ConnectResult(ConnectResult {
        mail,
        outcome,
        finished,
        retry_after: wait * 10,
        duration: took * 10,
        reused_connection: false,
        limit_report: None,
    })
}

fn connects(actions: &[Action]) -> Vec<(usize, usize)> {
    let sent = actions.iter().filter_map(|a| match *a {
        Action::Connect { mail, endpoint, .. } => Some((mail, endpoint)),
        _ => None,
    });
    sent.collect()
}

fn deferred(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Defer { .. }))
}

fn bounced(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Bounce { .. }))
}

#[test]
fn an_unmeasured_destination_starts_at_the_clamp() {
    for (slots, clamp) in [(8, 6), (4, 3), (2, 1), (1, 1)] {
        let mut courier = TestCourier::new(Settings { slots, ..settings() }, SINGLE, 1, 0.0);
        assert_eq!(connects(&courier.submit(0, REDELIVERABLE, 20)).len(), clamp, "{slots} slots");
    }
}

#[test]
fn the_cap_follows_littles_law_and_grows_by_one_for_each_relayed_call() {
    let mut courier = TestCourier::new(settings(), SINGLE, 1, 0.0);
    let ms = courier.relay_calls(0, 100, 40) + 60_000;
    // After a long quiet period the rate has decayed, and the tail latency is 0.1 s. Ten mails at once count
    // as 5 per second: 5 x 0.1 x 4/3, twice, as arrivals and as queued mails, rounded up.
    let sent = connects(&courier.submit(ms, REDELIVERABLE, 10));
    assert!((1..=3).contains(&sent.len()), "{}", sent.len());
    // One call was relayed: its slot is free, and the cap grows by one.
    let more = connects(&courier.step(ms + 100, &[result(sent[0].0, Outcome::Relayed, 100)]));
    assert_eq!(more.len(), 2);
}

#[test]
fn a_mail_over_the_cap_is_sent_when_a_call_ends() {
    let mut courier = TestCourier::new(settings(), SINGLE, 1, 0.0);
    let sent = connects(&courier.submit(0, REDELIVERABLE, 7));
    assert_eq!(sent.len(), 6);
    assert_eq!(connects(&courier.step(10, &[])), []);
    for outcome in [Outcome::Relayed, Outcome::Unsent, Outcome::CalledOff] {
        let mut courier = TestCourier::new(settings(), SINGLE, 1, 0.0);
        let sent = connects(&courier.submit(0, REDELIVERABLE, 7));
        let ends: Vec<Input> = sent.iter().map(|c| result(c.0, outcome, 10)).collect();
        assert!(!connects(&courier.step(10, &ends)).is_empty(), "{outcome:?}");
    }
}

#[test]
fn an_unhealthy_destination_gets_half_of_the_slots_at_most() {
    let mut courier = TestCourier::new(settings(), SINGLE, 3, 0.0);
    let sent = connects(&courier.submit(0, REDELIVERABLE, 4));
    assert_eq!(sent.len(), 4);
    courier.step(10, &[result(sent[0].0, Outcome::Error, 10)]);
    let mut out = 3;
    for ms in 11..40 {
        out += connects(&courier.submit(ms, REDELIVERABLE, 2)).len();
    }
    assert!(out <= 4, "{out}");
}

#[test]
fn each_outcome_allows_a_repeat_a_deferral_or_a_bounce() {
    use Outcome::{Broken, CalledOff, Error, Refused, Silent, Unreached, Unsent};
    // (queue class, outcome, sent again, deferred at the end, bounced at once)
    let cases = [
        (REDELIVERABLE, Error, true, true, false),
        (REDELIVERABLE, Silent, true, true, false),
        (TAGGED, Broken, true, true, false),
        (TAGGED, CalledOff, true, true, false),
        (ONCE_ONLY, Refused, true, true, false),
        (ONCE_ONLY, Unreached, true, true, false),
        (ONCE_ONLY, Unsent, true, true, false),
        (ONCE_ONLY, Error, false, false, true),
        (ONCE_ONLY, Silent, false, false, true),
        (ONCE_ONLY, Broken, false, false, true),
        (ONCE_ONLY, CalledOff, false, false, true),
    ];
    for (class, outcome, again, refusable, lost) in cases {
        let mut courier = TestCourier::new(settings(), SINGLE, 2, 0.0);
        let ms = courier.relay_calls(0, 50, 3);
        let sent = connects(&courier.submit(ms, class, 1));
        let answer = courier.step(ms + 50, &[result(sent[0].0, outcome, 50)]);
        assert_eq!(bounced(&answer), lost, "{class} {outcome:?}");
        let (mut sends, mut handed_back) = (0, false);
        for later in 1..2200 {
            let mut actions = courier.step(ms + 50 + later * 5, &[]);
            if later == 1 {
                actions.extend(answer.iter().copied());
            }
            while !actions.is_empty() {
                handed_back |= deferred(&actions);
                let out = connects(&actions);
                sends += out.len();
                let ends: Vec<Input> = out.iter().map(|c| result(c.0, Unreached, 1)).collect();
                actions = if ends.is_empty() { Vec::new() } else { courier.step(ms + 50 + later * 5, &ends) };
            }
        }
        assert_eq!((sends > 0, handed_back), (again, refusable), "{class} {outcome:?}");
        assert!(sends <= 3, "{class} {outcome:?}: at most four connects in all, {sends} more");
    }
}

#[test]
fn a_tagged_mail_is_sent_again_only_within_its_window() {
    // The window of 4 s less the second that the connection may take.
    for (silent_at, again) in [(2650, true), (2760, false), (3000, false), (3900, false)] {
        let mut courier = TestCourier::new(settings(), SINGLE, 1, 0.0);
        let sent = connects(&courier.submit(0, TAGGED, 1));
        let actions = courier.step(silent_at, &[result(sent[0].0, Outcome::Silent, silent_at)]);
        // After a failure the endpoint is left alone for a quarter of that second.
        let mut later = courier.step(silent_at + 260, &[]);
        later.extend(actions.iter().copied());
        assert_eq!(!connects(&later).is_empty(), again, "{silent_at}");
        assert_eq!(deferred(&later), !again);
    }
}

#[test]
fn every_mail_is_answered_before_its_time_is_up() {
    let mut courier = TestCourier::new(settings(), SINGLE, 0, 0.0);
    courier.submit(0, ONCE_ONLY, 1);
    assert!(!deferred(&courier.step(9900, &[])));
    assert!(deferred(&courier.step(9990, &[])));
}

#[test]
fn wakeups_at_the_returned_times_suffice_to_answer_in_time() {
    for resolution in [1, 50, 2000] {
        let mut control = Control::new(Settings { timer_resolution: resolution, ..settings() });
        let (mut now, mut out) = (SECOND, Vec::new());
        let new_mail = Input::AcceptedMail(AcceptedMail {
            class: ONCE_ONLY,
            deadline: now + 10 * SECOND,
            ..AcceptedMail::default()
        });
        let mut wake = control.step(now, &[new_mail], &mut out);
        while let Some(at) = wake {
            now = at;
            wake = control.step(now, &[Input::Wakeup], &mut out);
        }
        assert!(deferred(&out) && now < 11 * SECOND, "{resolution}: {now}");
    }
}

#[test]
fn a_mail_whose_client_left_is_freed_when_its_connect_has_ended() {
    let mut courier = TestCourier::new(settings(), SINGLE, 1, 0.0);
    courier.submit(0, REDELIVERABLE, 1);
    assert!(!courier.step(5, &[Input::ClientGone { mail: 0 }]).contains(&Action::FreeMail(0)));
    assert_eq!(courier.step(9, &[result(0, Outcome::Silent, 9)]), [Action::FreeMail(0)]);
    assert_eq!(courier.step(9, &[result(0, Outcome::Silent, 9), Input::ClientGone { mail: 9 }]), []);
}

#[test]
fn a_wait_holds_for_the_limit_scope_that_asked_for_it() {
    // (kind, endpoints that may be used during the wait)
    for (kind, others) in [(SINGLE, 0), (BATCHED, 0), (OWN_LIMITS, 1)] {
        let mut courier = TestCourier::new(settings(), kind, 2, 100.0);
        let (mail, endpoint) = connects(&courier.submit(0, ONCE_ONLY, 1))[0];
        let mut used = connects(&courier.step(10, &[result_with_wait(mail, Outcome::Refused, 10, 500)]));
        // A new endpoint shares the wait, unless endpoints have limits of their own.
        let grown = [
            Input::ListBegin { complete: false },
            entry(1 - endpoint, kind, EndpointStatus::Ready, 100.0),
            Input::ListEnd,
        ];
        used.extend(connects(&courier.step(20, &grown)));
        for ms in (14..410).step_by(4) {
            let actions = courier.submit(ms, REDELIVERABLE, 1);
            used.extend(courier.answer_all(ms + 2, &actions, Outcome::Relayed).concat());
        }
        assert!(used.iter().all(|c| c.1 != endpoint), "{kind}");
        assert_eq!(usize::from(!used.is_empty()), others, "{kind}");
        let after = (0..600).any(|i| {
            let actions = courier.submit(600 + i * 5, REDELIVERABLE, 1);
            courier
                .answer_all(602 + i * 5, &actions, Outcome::Relayed)
                .concat()
                .iter()
                .any(|c| c.1 == endpoint)
        });
        assert!(after, "{kind}");
    }
}

#[test]
fn a_wait_for_one_mail_of_a_call_holds_for_the_destination() {
    let mut courier = TestCourier::new(settings(), BATCHED, 1, 100.0);
    let sent = connects(&courier.submit(0, REDELIVERABLE, 2));
    assert_eq!(sent.len(), 2);
    let both = [
        result_with_wait(sent[0].0, Outcome::Refused, 9, 500),
        result_with_wait(sent[1].0, Outcome::Refused, 9, 0),
    ];
    courier.step(10, &both);
    assert_eq!(connects(&courier.submit(400, REDELIVERABLE, 3)), []);
}

#[test]
fn draining_and_removed_endpoints_get_nothing_new() {
    let whole =
        [Input::ListBegin { complete: true }, entry(1, SINGLE, EndpointStatus::Ready, 0.0), Input::ListEnd];
    let drain = [
        Input::ListBegin { complete: false },
        entry(0, SINGLE, EndpointStatus::Draining, 0.0),
        Input::ListEnd,
    ];
    let gone = [
        Input::ListBegin { complete: false },
        entry(0, SINGLE, EndpointStatus::Removed, 0.0),
        Input::ListEnd,
    ];
    for change in [whole, drain, gone] {
        let mut courier = TestCourier::new(settings(), SINGLE, 2, 0.0);
        let sent_before = connects(&courier.submit(0, REDELIVERABLE, 20));
        courier.step(5, &change);
        let ends: Vec<Input> = sent_before.iter().map(|c| result(c.0, Outcome::Relayed, 5)).collect();
        let sent = connects(&courier.step(6, &ends));
        assert!(!sent.is_empty() && sent.iter().all(|c| c.1 == 1));
    }
}

#[test]
fn a_silent_endpoint_is_suspect_before_the_timeout_and_gets_no_once_only_mails() {
    let mut courier = TestCourier::new(settings(), SINGLE, 1, 0.0);
    let ms = courier.relay_calls(0, 100, 30);
    courier.submit(ms, REDELIVERABLE, 1);
    assert_eq!(connects(&courier.submit(ms + 600, ONCE_ONLY, 1)), []);
    // A redeliverable mail is sent as a trial, with pauses in between.
    let tried: usize =
        (0..8).map(|i| connects(&courier.submit(ms + 1000 + i * 10, REDELIVERABLE, 1)).len()).sum();
    assert_eq!(tried, 1);
}

#[test]
fn one_long_call_among_relayed_ones_is_no_sign_of_trouble() {
    let mut courier = TestCourier::new(settings(), SINGLE, 1, 0.0);
    let ms = courier.relay_calls(0, 100, 30);
    courier.submit(ms, REDELIVERABLE, 1);
    courier.relay_calls(ms + 10, 90, 1);
    assert_eq!(connects(&courier.submit(ms + 125, ONCE_ONLY, 1)).len(), 1);
}

#[test]
fn a_recovering_endpoint_gets_its_cold_share_and_more_as_it_warms_up() {
    let mut courier = TestCourier::new(settings(), SINGLE, 1, 20.0);
    let mut ms = courier.relay_calls(0, 20, 10);
    for _ in 0..3 {
        ms += 2500;
        let actions = courier.submit(ms, REDELIVERABLE, 1);
        courier.answer_all(ms + 5, &actions, Outcome::Unreached);
    }
    // The endpoint is down now. It comes back and relays every call at once.
    let mut per_second = [0; 12];
    for step in 0..2400u64 {
        let actions = courier.submit(ms + 3000 + step * 5, TAGGED, usize::from(step % 4 == 0));
        let turns = courier.answer_all(ms + 3002 + step * 5, &actions, Outcome::Relayed);
        per_second[(step / 200) as usize] += turns.concat().len();
    }
    // It bears twice its capacity, from two couriers: at first at most the fair share of 20 x 2 x 0.2.
    assert!((1..=5).contains(&per_second[0]), "{per_second:?}");
    assert!(per_second[4] > per_second[0] && per_second[4] <= 12, "{per_second:?}");
    assert!(per_second[11] > 20, "{per_second:?}");
}

#[test]
fn mails_of_one_key_go_one_at_a_time_in_order_and_pause_after_silence() {
    let mut courier = TestCourier::new(settings(), SINGLE, 2, 0.0);
    let keyed = |courier: &mut TestCourier| match courier.new_mail(0, TAGGED) {
        Input::AcceptedMail(mail) => Input::AcceptedMail(AcceptedMail { key: Some(0), ..mail }),
        other => other,
    };
    let three = [keyed(&mut courier), keyed(&mut courier), keyed(&mut courier)];
    assert_eq!(connects(&courier.step(0, &three)).iter().map(|c| c.0).collect::<Vec<_>>(), [0]);
    let second = connects(&courier.step(50, &[result(0, Outcome::Relayed, 50)]));
    assert_eq!(second.iter().map(|c| c.0).collect::<Vec<_>>(), [1]);
    // The client of the second mail leaves. Its connect gets no answer, and the key pauses.
    assert_eq!(connects(&courier.step(60, &[Input::ClientGone { mail: 1 }])), []);
    assert_eq!(connects(&courier.step(100, &[result(1, Outcome::Silent, 50)])), []);
    assert_eq!(connects(&courier.step(1000, &[])), []);
    assert_eq!(connects(&courier.step(1101, &[])).iter().map(|c| c.0).collect::<Vec<_>>(), [2]);
    let end = courier.step(1200, &[result(2, Outcome::Relayed, 99)]);
    assert!(end.contains(&Action::FreeKey(0)));
}

#[test]
fn refusals_lower_the_rate_and_paced_calls_are_filled() {
    let mut courier = TestCourier::new(settings(), BATCHED, 1, 4.0);
    let mut calls = Vec::new();
    for step in 0..400u64 {
        let actions = courier.submit(step * 5, REDELIVERABLE, usize::from(step % 10 == 0));
        let turns = courier.answer_all(step * 5 + 2, &actions, Outcome::Relayed);
        calls.extend(turns.iter().map(Vec::len));
    }
    // Two seconds at the fair share of two calls per second, a little more while mails are queued: full
    // calls.
    assert!((3..=6).contains(&calls.len()) && calls[1..3] == [4, 4], "{calls:?}");
    let mut courier = TestCourier::new(settings(), SINGLE, 1, 0.0);
    let ms = courier.relay_calls(0, 5, 200);
    let (mail, _) = connects(&courier.submit(ms, REDELIVERABLE, 1))[0];
    courier.step(ms + 5, &[result(mail, Outcome::Refused, 5)]);
    // Calls from before a rate was kept leave no debt: calls become fewer, but do not stop.
    assert!((1..20).any(|i| !connects(&courier.step(ms + 50 + i * 5, &[])).is_empty()));
}

#[test]
fn the_list_is_requested_and_requested_again_after_a_failure() {
    let mut control = Control::new(Settings { poll_list: true, ..settings() });
    let mut out = Vec::new();
    control.step(SECOND, &[], &mut out);
    assert_eq!(out, [Action::RequestList]);
    out.clear();
    let wake = control.step(SECOND + 10, &[Input::ListFailed], &mut out).unwrap();
    assert_eq!(out, []);
    assert!(wake > SECOND + 10 && wake <= SECOND + 10 + settings().max_poll_delay);
    control.step(wake, &[], &mut out);
    assert_eq!(out, [Action::RequestList]);
}

#[test]
fn a_full_courier_defers_the_least_valuable_mail_at_once_with_a_time_to_come_back() {
    let mut courier = TestCourier::new(Settings { max_retry_after: SECOND, ..settings() }, SINGLE, 0, 0.0);
    let actions: Vec<Action> = (0..14)
        .flat_map(|_| [courier.submit(0, ONCE_ONLY, 1), courier.submit(0, TAGGED, 2)])
        .flatten()
        .collect();
    let given_up: Vec<usize> = actions
        .iter()
        .filter_map(|a| match *a {
            Action::Defer { mail, retry_after: pause } => {
                assert_eq!(pause, SECOND);
                Some(mail)
            }
            _ => None,
        })
        .collect();
    assert_eq!(given_up.len(), 42 - 38);
    assert!(given_up.iter().all(|mail| mail % 3 != 0), "{given_up:?}");
}

#[test]
fn a_reported_limit_that_falls_lowers_the_rate() {
    // (limit reported from the fifth second on, fewest and most calls in the five seconds after that)
    for (limit, least, most) in [(8.0, 20, 60), (0.8, 1, 6)] {
        let mut courier = TestCourier::new(Settings { list_has_rates: false, ..settings() }, BATCHED, 1, 0.0);
        let mut calls = [0, 0];
        for step in 0..2000u64 {
            let mut sent = connects(&courier.submit(step * 5, REDELIVERABLE, usize::from(step % 10 == 0)));
            while !sent.is_empty() {
                calls[usize::from(step >= 1000)] += 1;
                let report = LimitReport { remaining: 0.5, limit: if step >= 1000 { limit } else { 8.0 } };
                let relayed = |mail| ConnectResult {
                    mail,
                    outcome: Outcome::Relayed,
                    finished: true,
                    retry_after: 0,
                    duration: 20,
                    reused_connection: false,
                    limit_report: Some(report),
                };
                let ends: Vec<Input> = sent.iter().map(|c| Input::ConnectResult(relayed(c.0))).collect();
                sent = connects(&courier.step(step * 5 + 2, &ends));
            }
        }
        assert!((least..=most).contains(&calls[1]), "{limit}: {calls:?}");
    }
}

#[test]
fn connections_are_closed_while_connects_find_nobody_and_kept_again_after_that() {
    for (outcome, closed) in [(Outcome::Unreached, true), (Outcome::Error, false)] {
        let mut courier = TestCourier::new(Settings { couriers: 20, ..settings() }, SINGLE, 4, 0.0);
        let ms = courier.relay_calls(0, 50, 3);
        let mut sent = connects(&courier.submit(ms, REDELIVERABLE, 1));
        for _ in 0..2 {
            sent = connects(&courier.step(ms + 50, &[result(sent[0].0, outcome, 50)]));
        }
        let actions = courier.step(ms + 90, &[result(sent[0].0, Outcome::Relayed, 40)]);
        assert_eq!(actions.contains(&Action::CloseIdle(sent[0].1)), closed, "{outcome:?}");
        let later = courier.relay_calls(ms + 9000, 50, 40);
        let sent = connects(&courier.submit(later, REDELIVERABLE, 1));
        let actions = courier.step(later + 50, &[result(sent[0].0, Outcome::Relayed, 50)]);
        assert!(!actions.iter().any(|a| matches!(a, Action::CloseIdle(_))), "{outcome:?}");
    }
}

#[test]
fn after_a_refusal_many_couriers_come_back_at_different_times_and_few_at_the_end_of_the_wait() {
    // (couriers, queue class, whether all of them are back within a second after the wait)
    let cases = [(2, TAGGED, true), (2, ONCE_ONLY, true), (200, TAGGED, false), (200, ONCE_ONLY, false)];
    let mut soon = Vec::new();
    for (couriers, class, prompt) in cases {
        let mut back = Vec::new();
        for seed in 0..8 {
            // Where there are many couriers, each has less than one call per lifetime.
            let mut courier = TestCourier::new(Settings { couriers, seed, ..settings() }, BATCHED, 1, 19.0);
            let (mail, _) = connects(&courier.submit(0, class, 1))[0];
            courier.step(10, &[result_with_wait(mail, Outcome::Refused, 10, 500)]);
            back.extend((102..1990).find(|i| !connects(&courier.step(i * 5, &[])).is_empty()).map(|i| i * 5));
        }
        assert!(back.iter().all(|&ms| ms >= 510), "{back:?}");
        assert_eq!(back.len() == 8 && back.iter().all(|&ms| ms < 1510), prompt, "{couriers}: {back:?}");
        soon.push(back.iter().filter(|&&ms| ms < 5510).count());
    }
    // The most important mails are sent first.
    assert!(soon[3] > soon[2], "{soon:?}");
}

#[test]
fn hundreds_of_couriers_keep_to_a_limit_by_turns_from_their_first_moment() {
    // Each courier has more mails than its share of two endpoints with 20 calls per second each, from the
    // start or after a restart.
    // (couriers that restart in the middle, most calls at an endpoint in any half second)
    for (restarted, most) in [(0, 15), (100, 15)] {
        let set = |me| Settings {
            couriers: 100,
            courier_index: me,
            seed: me as u64,
            max_mails: 2000,
            ..settings()
        };
        let mut fleet: Vec<TestCourier> =
            (0..100).map(|me| TestCourier::new(set(me), OWN_LIMITS, 2, 20.0)).collect();
        let mut calls = [[0usize; 40]; 2];
        for step in 0..400u64 {
            if step == 203 {
                (0..restarted).for_each(|me| {
                    fleet[me] = TestCourier::started_at(step * 50, set(me), OWN_LIMITS, 2, 20.0)
                });
            }
            for courier in &mut fleet {
                let actions = courier.submit(step * 50, REDELIVERABLE, usize::from(step % 10 == 0));
                for (_, endpoint) in courier.answer_all(step * 50, &actions, Outcome::Relayed).concat() {
                    calls[endpoint][step as usize / 10] += 1;
                }
            }
        }
        let peak = calls.iter().flatten().max().unwrap();
        assert!(*peak <= most, "{restarted}: {calls:?}");
        let all: usize = calls.iter().flatten().sum();
        assert!(all >= if restarted > 0 { 640 } else { 760 }, "{restarted}: {all} of 800");
    }
}

#[test]
fn a_mail_that_would_be_handed_back_unsent_is_rejected() {
    // (limit, couriers, class and number of the queued mails, class of the new mail, rejected). At one turn
    // in five seconds, one queued mail fits into six of the new mail's ten seconds. Without a limit, a
    // courier for 40 mails is full at 39.
    let cases = [
        (20.0, 100, REDELIVERABLE, 1, REDELIVERABLE, false),
        (20.0, 100, REDELIVERABLE, 2, REDELIVERABLE, true),
        (20.0, 100, REDELIVERABLE, 2, ONCE_ONLY, false),
        (20.0, 100, ONCE_ONLY, 2, REDELIVERABLE, true),
        (0.0, 2, REDELIVERABLE, 37, REDELIVERABLE, false),
        (0.0, 2, REDELIVERABLE, 38, REDELIVERABLE, true),
        (0.0, 2, REDELIVERABLE, 38, ONCE_ONLY, false),
        (0.0, 2, ONCE_ONLY, 38, REDELIVERABLE, true),
    ];
    for (rate, couriers, waiting, count, class, away) in cases {
        let mut courier = TestCourier::new(Settings { couriers, ..settings() }, SINGLE, 1, rate);
        courier.submit(0, waiting, count);
        let turned = courier.control.would_reject(0, class, 11 * SECOND);
        assert_eq!(turned, away, "{rate} {waiting} {count} {class}");
    }
}

#[test]
fn endpoints_with_a_listed_rate_are_filled_by_it_though_one_is_cheaper() {
    // Without a rate all mails go to the cheap endpoint; with one, the part that it can take.
    for (rate, least, most) in [(0.0, 40, 40), (4.0, 15, 30)] {
        // Less than one call per lifetime for each courier, so that none waits for a turn.
        let mut set = Settings { couriers: 40, zone_fees: vec![0.0, 0.06], ..settings() };
        set.classes.iter_mut().for_each(|class| class.lifetime = 4 * SECOND);
        let mut cheap = 0;
        for seed in 0..40 {
            let mut courier = TestCourier::new(Settings { seed, ..set.clone() }, OWN_LIMITS, 2, rate);
            cheap += usize::from(connects(&courier.submit(0, TAGGED, 1))[0].1 == 0);
        }
        assert!((least..=most).contains(&cheap), "{rate}: {cheap}");
    }
}

#[test]
fn trials_of_many_couriers_at_a_down_endpoint_are_spread_over_what_it_can_take_cold() {
    // 20 calls per second, a fifth of that when cold: each of few couriers tries often, each of many seldom.
    for (couriers, least, most) in [(2, 3, 100), (200, 0, 1)] {
        let mut courier = TestCourier::new(Settings { couriers, ..settings() }, SINGLE, 1, 20.0);
        let mut tried = 0;
        for step in 0..1800u64 {
            let actions = courier.submit(step * 5, REDELIVERABLE, usize::from(step % 50 == 0));
            tried += courier.answer_all(step * 5 + 1, &actions, Outcome::Unreached).concat().len()
                * usize::from(step > 200);
        }
        assert!((least..=most).contains(&tried), "{couriers}: {tried}");
    }
}

#[test]
fn a_new_endpoint_of_a_failing_destination_warms_up_and_one_of_a_healthy_one_does_not() {
    for (outcome, least, most) in [(Outcome::Relayed, 12, 12), (Outcome::Unreached, 1, 2)] {
        let mut courier = TestCourier::new(settings(), SINGLE, 1, 20.0);
        let sent = connects(&courier.submit(0, TAGGED, 1));
        courier.step(5, &[result(sent[0].0, outcome, 5)]);
        let whole = Input::ListBegin { complete: true };
        courier.step(10, &[whole, entry(1, SINGLE, EndpointStatus::Ready, 20.0), Input::ListEnd]);
        let actions = courier.submit(1000, TAGGED, 12);
        let sent = courier.answer_all(1002, &actions, Outcome::Relayed).concat().len();
        assert!((least..=most).contains(&sent), "{outcome:?}: {sent}");
    }
}

#[test]
fn couriers_differ_in_the_endpoint_that_they_try_first() {
    let first = |seed| {
        connects(&TestCourier::new(Settings { seed, ..settings() }, SINGLE, 2, 0.0).submit(0, TAGGED, 1))[0].1
    };
    let seconds: usize = (0..40).map(first).sum();
    assert!((10..=30).contains(&seconds), "{seconds}");
}

#[test]
fn a_mail_of_an_earlier_process_continues_where_it_was() {
    let now = SECOND + 50_000;
    // (class, connects used, seconds since the first connect that may have run, what becomes of the mail)
    let rows = [
        (REDELIVERABLE, 1, Some(9), "sent"),
        (REDELIVERABLE, 4, None, "deferred"),
        (TAGGED, 1, Some(2), "sent"),
        (TAGGED, 1, Some(3), "deferred"),
        (TAGGED, 1, Some(5), "deferred"),
        (ONCE_ONLY, 1, None, "sent"),
        (ONCE_ONLY, 1, Some(1), "bounced"),
    ];
    for (class, connects, seconds_ago, expected) in rows {
        let mut courier = TestCourier::new(settings(), SINGLE, 2, 0.0);
        let ran = seconds_ago.map(|seconds| (now - seconds.min(5) * SECOND, 0));
        let mail = AcceptedMail {
            class,
            connects_used: connects,
            first_run: ran,
            deadline: now + 4 * SECOND,
            ..AcceptedMail::default()
        };
        let actions = courier.step(5000, &[Input::AcceptedMail(mail)]);
        let became = match actions[0] {
            Action::Connect { .. } => "sent",
            Action::Defer { .. } => "deferred",
            Action::Bounce { .. } => "bounced",
            _ => "?",
        };
        assert_eq!(became, expected, "{class} {connects} {seconds_ago:?}");
    }
}

#[test]
fn a_key_pauses_after_a_restart_but_not_the_mail_whose_connect_was_in_flight() {
    let now = SECOND;
    let mail = |mail, connects, ran| {
        let deadline = now + 10 * SECOND;
        Input::AcceptedMail(AcceptedMail {
            mail,
            class: TAGGED,
            key: Some(0),
            deadline,
            connects_used: connects,
            first_run: ran,
            ..AcceptedMail::default()
        })
    };
    let rested = Input::KeyInFlight { key: 0, at: now };
    let mut courier = TestCourier::new(settings(), SINGLE, 2, 0.0);
    let sent = connects(&courier.step(0, &[mail(0, 1, Some((now, 0))), mail(1, 0, None), rested.clone()]));
    assert_eq!(sent.iter().map(|c| c.0).collect::<Vec<_>>(), [0]);
    assert_eq!(connects(&courier.step(50, &[result(0, Outcome::Relayed, 50)])), []);
    assert_eq!(connects(&courier.step(1001, &[])).iter().map(|c| c.0).collect::<Vec<_>>(), [1]);
    // A key that is only paused is freed at the end of the pause.
    let mut courier = TestCourier::new(settings(), SINGLE, 2, 0.0);
    assert_eq!(courier.step(0, &[rested]), []);
    assert_eq!(courier.step(1000, &[]), [Action::FreeKey(0)]);
}

#[test]
fn a_call_may_begin_unless_its_endpoint_is_draining_or_on_hold() {
    let mut courier = TestCourier::new(settings(), SINGLE, 2, 0.0);
    let now = |ms: Time| SECOND + ms * 10;
    assert!(courier.control.may_call(0, now(0)));
    let (mail, endpoint) = connects(&courier.submit(0, REDELIVERABLE, 1))[0];
    let refused = ConnectResult {
        mail,
        outcome: Outcome::Refused,
        finished: false,
        retry_after: 2 * SECOND,
        duration: 50,
        reused_connection: false,
        limit_report: None,
    };
    courier.step(5, &[Input::ConnectResult(refused)]);
    let other = 1 - endpoint;
    assert!(!courier.control.may_call(endpoint, now(2004)) && !courier.control.may_call(other, now(2004)));
    assert!(courier.control.may_call(endpoint, now(2006)));
    courier.step(2007, &[entry(endpoint, SINGLE, EndpointStatus::Draining, 0.0)]);
    assert!(!courier.control.may_call(endpoint, now(2008)) && courier.control.may_call(other, now(2008)));
}

fn note_of(endpoint: usize, note: PeerNote) -> Input {
    Input::PeerNote { endpoint, note }
}

/// Runs turns every 5 ms with no input until something is sent. Returns the time, or `None` after `most` ms.
fn first_sent(courier: &mut TestCourier, from: Time, most: Time) -> Option<Time> {
    (1..=most / 5).map(|i| from + 5 * i).find(|&ms| !connects(&courier.step(ms, &[])).is_empty())
}

#[test]
fn a_note_of_a_refusal_holds_mails_for_the_wait_and_a_spread() {
    for wait in [0, 300] {
        let mut least = Time::MAX;
        let mut most = 0;
        for seed in 0..20 {
            let set = Settings { seed, peer_notes: true, ..settings() };
            let mut courier = TestCourier::new(set, SINGLE, 2, 40.0);
            // Twenty refusals reported at once over a limit of 40 per second: half a second's worth of it,
            // spread fourfold.
            let notes = vec![note_of(0, PeerNote::Refusing(wait * 10)); 20];
            courier.step(10, &notes);
            let at_once = !connects(&courier.submit(10, REDELIVERABLE, 1)).is_empty();
            let sent = if at_once { 10 } else { first_sent(&mut courier, 10, 9000).unwrap() };
            (least, most) = (least.min(sent), most.max(sent));
        }
        assert!(least >= 10 + wait && most > 500 + wait && most <= 2100 + wait, "{wait}: {least} to {most}");
    }
}

#[test]
fn notes_of_outages_and_recoveries_change_the_health_and_unexpected_ones_change_nothing() {
    // (notes with their times in ms, health after them)
    let cases: [(&[(Time, PeerNote)], Health); 7] = [
        (&[(100, PeerNote::Down)], Health::Down),
        (&[(100, PeerNote::Down), (200, PeerNote::Down)], Health::Down),
        // A recovery before an outage could leave the endpoint cold; then one after that.
        (&[(100, PeerNote::Down), (1000, PeerNote::Recovered)], Health::Healthy),
        (&[(100, PeerNote::Down), (2500, PeerNote::Recovered)], Health::Recovering),
        // Down again while it recovers is no false alarm, however soon it is back.
        (
            &[
                (100, PeerNote::Down),
                (2500, PeerNote::Recovered),
                (2600, PeerNote::Down),
                (2700, PeerNote::Recovered),
            ],
            Health::Recovering,
        ),
        (&[(100, PeerNote::Recovered)], Health::Healthy),
        (&[(100, PeerNote::Refusing(0))], Health::Healthy),
    ];
    for (notes, health) in cases {
        let mut courier = TestCourier::new(Settings { peer_notes: true, ..settings() }, SINGLE, 1, 40.0);
        for &(ms, note) in notes {
            courier.step(ms, &[note_of(0, note), note_of(70, note)]);
        }
        assert_eq!(courier.control.health(0), Some(health), "{notes:?}");
        assert_eq!(courier.control.health(70), None);
    }
}

#[test]
fn couriers_send_notes_of_refusals_and_lost_calls_only_where_notes_are_allowed() {
    // The outcome of two calls in a row, and the notes that are sent.
    let cases: [(Outcome, &[PeerNote]); 4] = [
        (Outcome::Error, &[PeerNote::Down]),
        (Outcome::Silent, &[PeerNote::Down]),
        // A full connection table looks the same, and nothing is lost.
        (Outcome::Unreached, &[]),
        (Outcome::Refused, &[PeerNote::Refusing(0), PeerNote::Refusing(0)]),
    ];
    for (peer_notes, (outcome, expected)) in [true, false].into_iter().flat_map(|may| cases.map(|c| (may, c)))
    {
        let mut courier = TestCourier::new(Settings { peer_notes, ..settings() }, SINGLE, 1, 40.0);
        let mut ms = courier.relay_calls(0, 100, 6);
        let (mut notes, mut sent) = (Vec::new(), connects(&courier.submit(ms, REDELIVERABLE, 1)));
        for _ in 0..2 {
            while sent.is_empty() {
                ms += 5;
                sent = connects(&courier.step(ms, &[]));
            }
            ms += 2000;
            let actions = courier.step(ms, &[result(sent[0].0, outcome, 2000)]);
            notes.extend(actions.iter().filter_map(|a| match *a {
                Action::SendNote { note, .. } => Some(note),
                _ => None,
            }));
            sent = connects(&actions);
        }
        assert_eq!(notes, if peer_notes { expected } else { &[] }, "{outcome:?}");
    }
}

#[test]
fn a_full_courier_gives_up_mails_of_a_destination_that_is_down() {
    let mut set = Settings { max_mails: 20, slots: 2, ..settings() };
    set.classes[TAGGED].importance = 1.5;
    let mut courier = TestCourier::new(set, SINGLE, 1, 0.0);
    let other = |endpoint, destination| {
        Input::ListEntry(ListEntry {
            endpoint,
            destination,
            zone: 0,
            kind: SINGLE,
            status: EndpointStatus::Ready,
            rate: 0.0,
        })
    };
    courier.step(0, &[Input::ListBegin { complete: false }, other(1, 1), Input::ListEnd]);
    // No call to destination 0 connects; its mails are more important than those for the other destination.
    let mut actions = courier.submit(0, TAGGED, 8);
    for ms in [5, 300, 600, 2000] {
        let ends: Vec<Input> =
            connects(&actions).iter().map(|c| result(c.0, Outcome::Unreached, 5)).collect();
        actions = courier.step(ms, &ends);
    }
    assert_eq!(courier.control.health(0), Some(Health::Down));
    // Enough mails for the other destination to bring the courier up to its limit and over it.
    let (first, mut gone) = (courier.next, Vec::new());
    for n in 0..14 {
        courier.next += 1;
        let submitted_at = SECOND + (2000 + n) * 10;
        let mail = AcceptedMail {
            mail: courier.next - 1,
            destination: 1,
            submitted_at,
            deadline: submitted_at + 10 * SECOND,
            ..AcceptedMail::default()
        };
        for action in courier.step(2000 + n, &[Input::AcceptedMail(mail)]) {
            if let Action::Defer { mail, .. } | Action::Bounce { mail } = action {
                gone.push(mail);
            }
        }
    }
    assert!(!gone.is_empty() && gone.iter().all(|&mail| mail < first), "{gone:?} of {first}");
}

#[test]
fn the_rest_of_a_limit_decides_how_long_couriers_spread_after_a_refusal() {
    // (part of the limit that remains, wait in ms, longest time until the next call in ms), for a hundred
    // couriers and a limit of ten
    let cases = [(0.0, 0, 5000), (0.5, 0, 500), (0.5, 2500, 7600)];
    let longest = cases.map(|(left, wait, _)| {
        let times = (0..40).map(|seed| {
            let mut set = Settings { seed, couriers: 100, ..settings() };
            set.classes[REDELIVERABLE].importance = 4.0;
            // Less than one call per lifetime for each courier.
            set.classes.iter_mut().for_each(|class| class.lifetime = 9 * SECOND);
            let mut courier = TestCourier::new(set, SINGLE, 1, 10.0);
            let sent = connects(&courier.submit(0, REDELIVERABLE, 1));
            let mut end = result_with_wait(sent[0].0, Outcome::Refused, 20, wait);
            if let Input::ConnectResult(end) = &mut end {
                end.limit_report = Some(LimitReport { remaining: left, limit: 10.0 });
            }
            courier.step(20, &[end]);
            first_sent(&mut courier, 20, 9500).unwrap() - 20
        });
        times.max().unwrap()
    });
    for ((left, wait, most), longest) in cases.into_iter().zip(longest) {
        assert!(longest <= most + 10 && longest > most * 2 / 3, "{left} {wait}: {longest}");
    }
}

#[test]
fn connections_that_would_hardly_be_used_again_are_closed_after_any_answer() {
    // (outcome of a call, mails in the ten seconds before, whether the connection is closed)
    let cases = [
        (Outcome::Relayed, 1, true),
        (Outcome::Refused, 1, true),
        (Outcome::Error, 1, true),
        (Outcome::Relayed, 20, false),
        (Outcome::Unreached, 1, false),
    ];
    for (outcome, mails, closed) in cases {
        let set = Settings { idle_timeout: SECOND, ..settings() };
        let mut courier = TestCourier::new(set, SINGLE, 1, 0.0);
        let ms = courier.relay_calls(0, 10, mails - 1);
        let sent = connects(&courier.submit(ms, REDELIVERABLE, 1));
        let actions = courier.step(ms + 20, &[result(sent[0].0, outcome, 20)]);
        assert_eq!(actions.contains(&Action::CloseIdle(0)), closed, "{outcome:?} {mails}");
    }
}

#[test]
fn a_rate_from_the_start_needs_several_calls_per_target_delay() {
    // Target delay 2 s, two couriers: with one call of fair share in that time calls go by turns, with two
    // and a half at a rate. With less than one call per lifetime there is neither.
    for (rate, goes) in [(0.15, 3), (1.0, 0), (2.5, 1)] {
        let mut courier = TestCourier::new(settings(), BATCHED, 1, rate);
        let mut sent = 0;
        for i in 0..3 {
            let actions = courier.submit(i * 100, REDELIVERABLE, 1);
            sent += connects(&actions).len();
        }
        assert_eq!(sent, goes, "{rate}");
    }
}

#[test]
fn open_connections_are_preferred_where_new_ones_have_a_cost() {
    for (price, to) in [(0.0, 1), (0.05, 0)] {
        let set = Settings { handshake_cost: price, ..settings() };
        let mut courier = TestCourier::new(set, SINGLE, 2, 40.0);
        // Both endpoints are measured, the second one is faster. Long after, a call goes to the first while
        // the second drains.
        let ends: Vec<Input> = connects(&courier.submit(0, REDELIVERABLE, 2))
            .iter()
            .map(|&(mail, end)| result(mail, Outcome::Relayed, 100 - 40 * end as Time))
            .collect();
        assert_eq!(ends.len(), 2);
        courier.step(100, &ends);
        let changed =
            |status| [Input::ListBegin { complete: false }, entry(1, SINGLE, status, 40.0), Input::ListEnd];
        courier.step(20_000, &changed(EndpointStatus::Draining));
        let alone = connects(&courier.submit(20_005, REDELIVERABLE, 1))[0];
        assert_eq!(alone.1, 0);
        courier.step(20_105, &[result(alone.0, Outcome::Relayed, 100)]);
        courier.step(20_110, &changed(EndpointStatus::Ready));
        assert_eq!(connects(&courier.submit(20_200, REDELIVERABLE, 1))[0].1, to, "{price}");
    }
}

#[test]
fn refusals_by_an_endpoint_that_never_relayed_are_backed_off_from_too() {
    // The limit is not listed. Nothing was relayed by any endpoint, or only by the sibling.
    for relayed in [false, true] {
        let mut courier = TestCourier::new(settings(), SINGLE, 2, 0.0);
        let first = courier.submit(0, REDELIVERABLE, 2);
        let (mut ms, mut refused, mut last) = (100, 0, 0);
        let mut sent = connects(&first);
        if relayed {
            let (mail, _) = sent.remove(0);
            courier.step(100, &[result(mail, Outcome::Relayed, 100)]);
        } else {
            sent.truncate(1);
        }
        while ms < 1100 {
            let ends: Vec<Input> = sent.iter().map(|c| result(c.0, Outcome::Refused, 5)).collect();
            refused += ends.len();
            last = if ends.is_empty() { last } else { ms };
            ms += 5;
            sent = connects(&courier.step(ms, &ends));
        }
        // 0.1 s, or a quarter of the connection timeout, doubling each time: not one call in each round trip.
        assert!((1..=6).contains(&refused), "{relayed}: {refused}, the last at {last} ms");
    }
}
