//! Settings that change while a courier runs: calls in flight and accepted mails stay as they were, new calls
//! do not exceed lowered limits, and raised limits release no burst. Also random changes under random load.

use std::collections::BTreeMap;

use meadowhold::control::Control;
use meadowhold::interface::{
    AcceptedMail, Action, ConnectResult, Effect, EndpointStatus, Input, Kind, ListEntry, Outcome, PeerNote,
    QueueClass, Settings, Time, SECOND,
};

const REDELIVERABLE: usize = 0;
const TAGGED: usize = 1;
const ONCE_ONLY: usize = 2;

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
        kinds: [(1, false), (4, false), (1, true)]
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

struct TestCourier {
    control: Control,
    next: usize,
}

impl TestCourier {
    /// Destination 0 has one endpoint of the first kind.
    fn new(set: Settings, rate: f64) -> TestCourier {
        let mut courier = TestCourier { control: Control::new(set), next: 0 };
        courier.step(
            0,
            &[
                Input::ListBegin { complete: true },
                entry(0, 0, 0, EndpointStatus::Ready, rate),
                Input::ListEnd,
            ],
        );
        courier
    }

    fn step(&mut self, ms: Time, inputs: &[Input]) -> Vec<Action> {
        let mut out = Vec::new();
        self.control.step(SECOND + ms * 10, inputs, &mut out);
        assert_eq!(self.control.audit(), Vec::<String>::new());
        out
    }

    fn submit(&mut self, ms: Time, class: usize, count: usize) -> Vec<Action> {
        let first = self.next;
        self.next += count;
        let submitted_at = SECOND + ms * 10;
        let taken = |mail| AcceptedMail {
            mail,
            class,
            submitted_at,
            deadline: submitted_at + 10 * SECOND,
            ..AcceptedMail::default()
        };
        self.step(ms, &(first..self.next).map(|mail| Input::AcceptedMail(taken(mail))).collect::<Vec<_>>())
    }

    fn change(&mut self, ms: Time, set: &Settings) -> Vec<Action> {
        self.step(ms, &[Input::Settings(Box::new(set.clone()))])
    }

    /// Relays calls of 100 ms, one after the other, so that the latency is known.
    fn relay_calls(&mut self, rounds: u64) -> Time {
        for i in 0..rounds {
            let sent = connects(&self.submit(i * 100, REDELIVERABLE, 1));
            self.step(
                i * 100 + 100,
                &sent.iter().map(|&m| result(m, Outcome::Relayed, 100)).collect::<Vec<_>>(),
            );
        }
        rounds * 100
    }
}

fn entry(endpoint: usize, destination: usize, kind: usize, status: EndpointStatus, rate: f64) -> Input {
    Input::ListEntry(ListEntry { endpoint, destination, zone: endpoint % 2, kind, status, rate })
}

fn result(mail: usize, outcome: Outcome, took: Time) -> Input {
    let over = outcome == Outcome::Relayed;
    Input::ConnectResult(ConnectResult {
        mail,
        outcome,
        finished: over,
        retry_after: 0,
        duration: took * 10,
        reused_connection: false,
        limit_report: None,
    })
}

fn connects(actions: &[Action]) -> Vec<usize> {
    let sent = actions.iter().filter_map(|action| match *action {
        Action::Connect { mail, .. } => Some(mail),
        _ => None,
    });
    sent.collect()
}

fn given_up(actions: &[Action]) -> Vec<(usize, bool)> {
    let ends = actions.iter().filter_map(|action| match *action {
        Action::Defer { mail, .. } => Some((mail, true)),
        Action::Bounce { mail } => Some((mail, false)),
        _ => None,
    });
    ends.collect()
}

#[test]
fn with_fewer_slots_calls_in_flight_keep_theirs_and_none_begins_until_they_are_below() {
    for slots in [0, 1, 3, 5] {
        let mut courier = TestCourier::new(settings(), 0.0);
        let mut out = connects(&courier.submit(0, REDELIVERABLE, 30));
        assert_eq!(out.len(), 6, "three quarters of eight");
        assert_eq!(connects(&courier.change(10, &Settings { slots, ..settings() })), []);
        let mut ms = 20;
        while let Some(mail) = out.pop() {
            let new = connects(&courier.step(ms, &[result(mail, Outcome::Relayed, ms)]));
            assert!(new.is_empty() || out.len() + new.len() <= slots, "{slots} slots: {} out", out.len());
            out.splice(0..0, new);
            ms += 10;
        }
        assert_eq!(courier.control.open_mails() == 0, slots > 0, "{slots} slots");
    }
}

#[test]
fn with_more_slots_the_cap_continues_from_where_it_was() {
    // (whether settings change, most calls at once in the turns after): growth beyond the old cap was never
    // granted
    for (changes, most) in [(false, 3), (true, 14)] {
        let small = Settings { slots: 4, max_mails: 4000, ..settings() };
        let mut courier = TestCourier::new(small.clone(), 0.0);
        let mut ms = courier.relay_calls(6);
        let mut out = connects(&courier.submit(ms, REDELIVERABLE, 600));
        // Calls are relayed while many mails are queued, so the growth goes far beyond the cap of three.
        for _ in 0..60 {
            ms += 10;
            let ends: Vec<Input> = out.iter().map(|&mail| result(mail, Outcome::Relayed, 10)).collect();
            out = connects(&courier.step(ms, &ends));
            assert_eq!(out.len(), 3);
        }
        let set = if changes { Settings { slots: 400, ..small.clone() } } else { small };
        let now = out.len() + connects(&courier.change(ms + 1, &set)).len();
        assert!(now <= most, "{now} calls at once");
        assert_eq!(now > 3, changes);
    }
}

#[test]
fn a_raised_share_of_a_limit_does_not_count_for_the_time_before_it() {
    // 200 calls per second, and the couriers that share them before and after.
    let (rate, before, after) = (200.0, 20, 4);
    let mut courier =
        TestCourier::new(Settings { couriers: before, slots: 400, max_mails: 4000, ..settings() }, rate);
    let mut ms = courier.relay_calls(6);
    // A refusal makes the courier keep a rate. Then it saves up calls for a minute.
    let sent = connects(&courier.submit(ms, REDELIVERABLE, 1));
    courier.step(ms + 20, &[result(sent[0], Outcome::Refused, 20)]);
    for later in [1000, 2000, 3000] {
        let sent = connects(&courier.step(ms + later, &[]));
        courier.step(
            ms + later + 20,
            &sent.iter().map(|&m| result(m, Outcome::Relayed, 20)).collect::<Vec<_>>(),
        );
    }
    ms += 60_000;
    courier.step(ms, &[]);
    courier.change(ms, &Settings { couriers: after, slots: 400, max_mails: 4000, ..settings() });
    let mut out = connects(&courier.submit(ms, REDELIVERABLE, 600));
    // It saved up half a second at the rate of the smaller share, and nothing of the larger one.
    let old = rate / before as f64;
    assert!(out.len() as f64 <= old / 2.0 + 1.0, "{} at once", out.len());
    // In the 0.1 s after it, a tenth of the new share at most; what relayed calls add comes later.
    let new = rate / after as f64;
    let mut first = out.len();
    for step in 1..=10 {
        let more = connects(&courier.step(ms + 10 * step, &[]));
        first += more.len();
        out.extend(more);
    }
    assert!(first as f64 <= old / 2.0 + 1.0 + new / 10.0, "{first} in a tenth of a second");
    let mut calls = 0;
    for step in 11..=110 {
        let ends: Vec<Input> = out.iter().map(|&mail| result(mail, Outcome::Relayed, 10)).collect();
        out = connects(&courier.step(ms + 10 * step, &ends));
        calls += out.len();
    }
    assert!(calls as f64 > 1.5 * old, "the new share counts: {calls} in a second");
}

#[test]
fn a_lowered_share_of_a_limit_is_kept_from_the_first_call_on() {
    let rate = 100.0;
    let mut courier =
        TestCourier::new(Settings { couriers: 50, slots: 400, max_mails: 4000, ..settings() }, rate);
    // A fair share of 1/50 call per target delay is kept by turns.
    courier.change(1, &Settings { couriers: 200, slots: 400, max_mails: 4000, ..settings() });
    courier.submit(2, REDELIVERABLE, 200);
    let mut calls = 0;
    for step in 0..1000 {
        let out = connects(&courier.step(10 + 10 * step, &[]));
        calls += out.len();
        courier
            .step(15 + 10 * step, &out.iter().map(|&m| result(m, Outcome::Relayed, 5)).collect::<Vec<_>>());
    }
    // Half a call per second over ten seconds, and two that may be saved up.
    assert!((3..=7).contains(&calls), "{calls}");
}

#[test]
fn a_lower_limit_on_mails_evicts_no_accepted_mail() {
    let mut courier = TestCourier::new(settings(), 0.0);
    let mut out = connects(&courier.submit(0, REDELIVERABLE, 38));
    let actions = courier.change(10, &Settings { max_mails: 5, ..settings() });
    assert_eq!((given_up(&actions), courier.control.open_mails()), (vec![], 38));
    for step in 2..60 {
        let ends: Vec<Input> = out.iter().map(|&mail| result(mail, Outcome::Relayed, 10)).collect();
        let actions = courier.step(10 * step, &ends);
        assert_eq!(given_up(&actions), []);
        out = connects(&actions);
    }
    assert_eq!(courier.control.open_mails(), 0);
    // From here on the lower limit holds.
    let actions = courier.submit(700, ONCE_ONLY, 8);
    assert_eq!(given_up(&actions).len(), 4);
}

#[test]
fn a_removed_class_keeps_its_meaning_for_accepted_mails() {
    let mut courier = TestCourier::new(settings(), 0.0);
    let sent = connects(&courier.submit(0, ONCE_ONLY, 1));
    let fewer = Settings { classes: settings().classes[..1].to_vec(), ..settings() };
    courier.change(10, &fewer);
    let actions = courier.step(20, &[result(sent[0], Outcome::Error, 20)]);
    assert_eq!(
        (connects(&actions), given_up(&actions)),
        (vec![], vec![(sent[0], false)]),
        "never a second time"
    );
    // A mail that has not run yet continues under the same class number.
    let mut calls = connects(&courier.submit(30, TAGGED, 1));
    (4..300).for_each(|i| calls.extend(connects(&courier.step(10 * i, &[]))));
    assert_eq!(calls.len(), 1);
}

#[test]
fn a_lower_limit_on_connects_holds_for_new_decisions() {
    let mut courier = TestCourier::new(settings(), 0.0);
    let sent = connects(&courier.submit(0, REDELIVERABLE, 1));
    courier.change(10, &Settings { max_connects: 1, ..settings() });
    let actions = courier.step(20, &[result(sent[0], Outcome::Error, 20)]);
    assert_eq!(given_up(&actions), [(sent[0], true)]);
}

/// Random settings in which all numbers keep their meaning, as the exchange passes them on.
fn random_settings(rng: &mut fastrand::Rng, held: &Settings) -> Settings {
    let mut set = Settings {
        couriers: rng.usize(1..40),
        courier_index: 0,
        slots: if rng.u8(..10) == 0 { 0 } else { rng.usize(1..20) },
        max_mails: rng.usize(20..200),
        max_connects: rng.usize(1..6),
        timer_resolution: rng.u64(1..100),
        connection_timeout: rng.u64(1..SECOND / 2),
        idle_timeout: rng.u64(1..10 * SECOND),
        warm_up: rng.u64(..2 * SECOND),
        cold_capacity: rng.f64(),
        overload_duration: rng.u64(..4 * SECOND),
        ordering_gap: rng.u64(..2 * SECOND),
        peer_notes: rng.bool(),
        half_life_decay: rng.bool(),
        max_retry_after: rng.u64(..SECOND),
        handshake_cost: rng.f64() / 10.0,
        zone_fees: (0..rng.usize(..4)).map(|_| rng.f64() / 100.0).collect(),
        ..held.clone()
    };
    set.kinds.iter_mut().for_each(|kind| kind.max_batch = rng.usize(1..6));
    for class in &mut set.classes {
        (class.importance, class.expiry_importance) = (rng.f64() * 8.0, rng.f64());
        (class.target_delay, class.lifetime) = (rng.u64(1..4 * SECOND), rng.u64(1..20 * SECOND));
    }
    if set.classes.len() < 30 && rng.bool() {
        let effect = [Effect::Redeliverable, Effect::Tagged, Effect::OnceOnly][rng.usize(..3)];
        set.classes.push(QueueClass {
            dedup_by_zone: effect == Effect::Tagged && rng.bool(),
            dedup_window: rng.u64(..6 * SECOND),
            ordered: rng.bool(),
            ..queue_class(effect, 1.0)
        });
    }
    if set.kinds.len() < 8 && rng.u8(..4) == 0 {
        set.kinds.push(Kind { max_batch: rng.usize(1..6), per_endpoint_limits: rng.bool() });
    }
    set
}

/// What was known of a mail when it was accepted, and what became of it.
struct ExpectedMail {
    rules: QueueClass,
    deadline: Time,
    /// Time and zone of the first connect that may have run.
    ran: Option<(Time, usize)>,
    out: Option<(usize, Time)>,
}

#[test]
fn random_changes_under_random_load_keep_the_counts_and_the_rules() {
    let (mut changes, mut mails, mut calls, mut repeats) = (0, 0, 0, 0);
    for seed in 1..=40 {
        // Printed only if the test fails.
        println!("seed {seed}");
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut set = settings();
        let mut control = Control::new(set.clone());
        let mut now = SECOND;
        let mut inputs = vec![Input::ListBegin { complete: true }];
        inputs.extend((0..9).map(|e| entry(e, e / 3, e / 3, EndpointStatus::Ready, 500.0)));
        inputs.push(Input::ListEnd);
        let mut known: BTreeMap<usize, ExpectedMail> = BTreeMap::new();
        let mut free: Vec<usize> = (0..200).rev().collect();
        let mut over: Vec<usize> = Vec::new();
        for _ in 0..2500 {
            for _ in 0..rng.usize(..6) {
                let Some(mail) = free.pop() else { break };
                let class = rng.usize(..set.classes.len());
                let deadline = now + rng.u64(1..8 * SECOND);
                let rules = set.classes[class].clone();
                let key = rules.ordered.then(|| rng.usize(..3));
                let destination = rng.usize(..3);
                inputs.push(Input::AcceptedMail(AcceptedMail {
                    mail,
                    destination,
                    class,
                    key,
                    submitted_at: now,
                    deadline,
                    ..AcceptedMail::default()
                }));
                known.insert(mail, ExpectedMail { rules, deadline, ran: None, out: None });
                mails += 1;
            }
            let out: Vec<usize> = known.iter().filter(|(_, k)| k.out.is_some()).map(|(&m, _)| m).collect();
            let slots_out = control.slots_taken();
            for mail in out {
                if rng.u8(..4) > 0 {
                    continue;
                }
                let k = known.get_mut(&mail).unwrap();
                let (endpoint, began) = k.out.take().unwrap();
                let relayed = rng.u8(..10) > 0;
                let outcome = [
                    Outcome::Relayed,
                    Outcome::Error,
                    Outcome::Refused,
                    Outcome::Silent,
                    Outcome::Unreached,
                    Outcome::Broken,
                    Outcome::Unsent,
                ][if relayed { 0 } else { rng.usize(..7) }];
                let wait = if outcome == Outcome::Refused { rng.u64(..SECOND / 4) } else { 0 };
                if !outcome.never_ran() {
                    k.ran = k.ran.or(Some((began, endpoint % 2)));
                }
                let took = now - began;
                let end = outcome == Outcome::Relayed;
                inputs.push(Input::ConnectResult(ConnectResult {
                    mail,
                    outcome,
                    finished: end,
                    retry_after: wait,
                    duration: took,
                    reused_connection: false,
                    limit_report: None,
                }));
                if end {
                    known.remove(&mail);
                    over.push(mail);
                }
            }
            if rng.u8(..60) == 0 {
                let note = [PeerNote::Down, PeerNote::Recovered, PeerNote::Refusing(rng.u64(..SECOND / 4))]
                    [rng.usize(..3)];
                inputs.push(Input::PeerNote { endpoint: rng.usize(..9), note });
            }
            if rng.u8(..10) == 0 {
                let status = [EndpointStatus::Ready, EndpointStatus::Draining][usize::from(rng.u8(..8) == 0)];
                let e = rng.usize(..9);
                inputs.push(Input::ListBegin { complete: false });
                inputs.push(entry(e, e / 3, e / 3, status, 500.0));
            }
            // At any place among the inputs of a turn, but after the mails that name its classes.
            if rng.u8(..3) == 0 {
                set = random_settings(&mut rng, &set);
                inputs.push(Input::Settings(Box::new(set.clone())));
                changes += 1;
            }
            let mut actions = Vec::new();
            control.step(now, &inputs, &mut actions);
            inputs.clear();
            assert_eq!(control.audit(), Vec::<String>::new());
            let taken = control.slots_taken();
            let begun = actions.iter().any(|action| matches!(action, Action::Connect { .. }));
            assert!(!begun || taken <= set.slots, "a call began: {taken} out with {} slots", set.slots);
            assert!(begun || taken <= slots_out);
            for action in &actions {
                match *action {
                    Action::Connect { mail, endpoint, .. } => {
                        let k = known.get_mut(&mail).expect("a mail in hand");
                        assert!(k.out.is_none() && now < k.deadline, "two at once, or late");
                        let c = &k.rules;
                        if let Some((ran, zone)) = k.ran {
                            repeats += 1;
                            assert!(c.effect != Effect::OnceOnly, "it may have run");
                            let tagged = c.effect == Effect::Tagged;
                            assert!(!tagged || now < ran + c.dedup_window, "its key is forgotten");
                            assert!(!tagged || !c.dedup_by_zone || endpoint % 2 == zone, "another zone");
                        }
                        k.out = Some((endpoint, now));
                        calls += 1;
                    }
                    Action::Defer { mail, .. } | Action::Bounce { mail } => {
                        let k = known.remove(&mail).expect("one end each");
                        assert!(k.out.is_none());
                        let handed_back = matches!(action, Action::Defer { .. });
                        let again = k.ran.is_none() || k.rules.effect == Effect::Redeliverable;
                        assert!(
                            !handed_back
                                || again
                                || k.rules.effect == Effect::Tagged && !k.rules.dedup_by_zone
                        );
                        over.push(mail);
                    }
                    Action::FreeMail(mail) => {
                        assert!(over.contains(&mail), "freed while it is still owed");
                        over.retain(|&other| other != mail);
                        free.push(mail);
                    }
                    _ => {}
                }
            }
            now += rng.u64(1..100);
        }
        assert_eq!(control.open_mails(), known.len(), "nothing lost");
    }
    println!("{changes} changes, {mails} mails, {calls} calls, {repeats} of them repeats");
    assert!(changes > 20_000 && mails > 40_000 && calls > 20_000 && repeats > 1000);
}
