//! When the silence of an endpoint shows that no answer is outstanding, and how long that takes.

use meadowhold::control::attribution::Rest;
use meadowhold::control::Control;
use meadowhold::interface::{
    AcceptedMail, Action, ConnectResult, Effect, EndpointStatus, Input, Kind, ListEntry, Outcome, QueueClass,
    Settings, Time, SECOND,
};
use meadowhold::response_order::{QuietPeriods, Silence};

const START: Time = 1000 * SECOND;
const CONNECT: Time = SECOND;
const ENDPOINT: usize = 0;

struct World {
    control: Control,
    now: Time,
    next_mail: usize,
}

impl World {
    fn new() -> World {
        let class = QueueClass {
            effect: Effect::Redeliverable,
            dedup_by_zone: false,
            dedup_window: 0,
            target_delay: SECOND,
            lifetime: 60 * SECOND,
            importance: 1.0,
            expiry_importance: 0.0,
            ordered: false,
        };
        let settings = Settings {
            couriers: 1,
            slots: 8,
            max_mails: 64,
            max_connects: 4,
            timer_resolution: 10,
            connection_timeout: CONNECT,
            idle_timeout: 10 * SECOND,
            warm_up: SECOND,
            overload_multiple: 2.0,
            overload_duration: SECOND,
            cold_capacity: 0.5,
            kinds: vec![Kind { max_batch: 1, per_endpoint_limits: false }],
            classes: vec![class],
            ..Settings::default()
        };
        let mut world = World { control: Control::new(settings), now: START, next_mail: 0 };
        let (destination, zone, kind) = (0, 0, 0);
        let status = EndpointStatus::Ready;
        let entry = ListEntry { endpoint: ENDPOINT, destination, zone, kind, status, rate: 0.0 };
        world.step(&[Input::ListBegin { complete: true }, Input::ListEntry(entry), Input::ListEnd]);
        world
    }

    fn step(&mut self, inputs: &[Input]) -> Vec<Action> {
        let mut actions = Vec::new();
        self.control.step(self.now, inputs, &mut actions);
        actions
    }

    /// Accepts a mail, which is called at once or when the endpoint is tried again.
    fn call(&mut self) -> usize {
        let mail = self.next_mail;
        self.next_mail += 1;
        let deadline = self.now + 60 * SECOND;
        let accepted = AcceptedMail { mail, submitted_at: self.now, deadline, ..AcceptedMail::default() };
        let mut actions = self.step(&[Input::AcceptedMail(accepted)]);
        for _ in 0..100 {
            if actions
                .iter()
                .any(|action| matches!(action, Action::Connect { mail: called, .. } if *called == mail))
            {
                return mail;
            }
            self.now += SECOND / 10;
            actions = self.step(&[Input::Wakeup]);
        }
        panic!("mail {mail} is not called");
    }

    fn end(&mut self, mail: usize, outcome: Outcome, duration: Time) {
        self.now += duration;
        let result = ConnectResult {
            mail,
            outcome,
            finished: true,
            retry_after: 0,
            duration,
            reused_connection: false,
            limit_report: None,
        };
        self.step(&[Input::ConnectResult(result)]);
    }
}

#[test]
fn an_endpoint_answers_while_no_call_is_out_or_has_ended_without_an_answer() {
    let soon = CONNECT / 1000;
    let rows = [
        (Outcome::Relayed, soon, true),
        (Outcome::Refused, soon, true),
        (Outcome::Error, soon, true),
        (Outcome::Spoilt, soon, true),
        (Outcome::Unsent, soon, true),
        (Outcome::Silent, soon, false),
        // Ended by the far side, so that it does not hang.
        (Outcome::Broken, soon, true),
        (Outcome::Unreached, soon, true),
        (Outcome::Broken, CONNECT, false),
        (Outcome::Unreached, CONNECT, false),
    ];
    for (outcome, duration, expected) in rows {
        let mut world = World::new();
        let mail = world.call();
        world.end(mail, Outcome::Relayed, 100);
        let last_answer = world.now;
        let mail = world.call();
        world.end(mail, outcome, duration);
        let found = world.control.is_answering(ENDPOINT, last_answer);
        assert_eq!(found, expected, "{outcome:?} after {duration}");
    }
}

/// A copy of an earlier answer may come from an endpoint that hangs already: soak, seed 140.
#[test]
fn one_later_answer_proves_nothing_while_a_call_from_around_that_time_is_unanswered_but_many_do() {
    let mut world = World::new();
    let mail = world.call();
    world.end(mail, Outcome::Relayed, 100);
    let since = world.now;
    let unanswered = world.call();
    world.now += 5 * SECOND;
    world.step(&[Input::Wakeup]);
    assert!(!world.control.is_answering(ENDPOINT, since), "it is out");
    world.end(unanswered, Outcome::Silent, 100);
    for answers in 0..4 {
        assert!(!world.control.is_answering(ENDPOINT, since), "{answers} answers since then");
        let trial = world.call();
        world.end(trial, Outcome::Error, 100);
    }
    assert!(world.control.is_answering(ENDPOINT, since));
    let trial = world.call();
    world.end(trial, Outcome::Silent, 100);
    assert!(world.control.is_answering(ENDPOINT, since), "what comes after many answers does not count");
    assert!(!world.control.is_answering(ENDPOINT, world.now), "but none came since now");
}

/// An endpoint that hangs sends a late copy, and nothing is called any more: soak, seed 427.
#[test]
fn a_call_from_long_before_that_ends_without_an_answer_later_shows_that_the_endpoint_does_not_answer() {
    let mut world = World::new();
    let mail = world.call();
    world.end(mail, Outcome::Relayed, 100);
    let unanswered = world.call();
    world.now += 20 * CONNECT;
    let since = world.now;
    world.step(&[Input::Wakeup]);
    assert!(!world.control.is_answering(ENDPOINT, since), "it is out");
    world.end(unanswered, Outcome::Silent, 100);
    assert!(!world.control.is_answering(ENDPOINT, since));
    world.now += 20 * CONNECT;
    assert!(world.control.is_answering(ENDPOINT, world.now), "that was long before");
}

#[test]
fn one_later_answer_proves_that_an_endpoint_answered_before_it_if_only_later_calls_are_unanswered() {
    let mut world = World::new();
    let mail = world.call();
    world.end(mail, Outcome::Relayed, 100);
    let since = world.now;
    world.now += 2 * CONNECT;
    let mail = world.call();
    world.end(mail, Outcome::Relayed, 100);
    let mail = world.call();
    assert!(world.control.is_answering(ENDPOINT, since), "the call that is out began later");
    world.end(mail, Outcome::Silent, 100);
    assert!(world.control.is_answering(ENDPOINT, since));
}

#[test]
fn a_call_that_is_out_leaves_open_whether_the_endpoint_answers() {
    let mut world = World::new();
    let mail = world.call();
    world.end(mail, Outcome::Relayed, 100);
    let since = world.now;
    assert!(world.control.is_answering(ENDPOINT, since));
    let mail = world.call();
    assert!(!world.control.is_answering(ENDPOINT, since));
    world.end(mail, Outcome::Relayed, 100);
    assert!(world.control.is_answering(ENDPOINT, since));
    world.now += 10 * CONNECT;
    let young = world.call();
    assert!(world.control.is_answering(ENDPOINT, since), "it has just begun");
    world.now += 2 * CONNECT;
    world.step(&[Input::Wakeup]);
    assert!(!world.control.is_answering(ENDPOINT, since), "it should have been answered");
    world.end(young, Outcome::Relayed, 100);
    assert!(world.control.is_answering(ENDPOINT, since));
}

#[test]
fn quiet_periods_follow_the_tail_latency_and_are_not_below_parts_of_the_connection_timeout() {
    let mut world = World::new();
    let periods = |world: &World| world.control.quiet_periods(ENDPOINT);
    let unmeasured = QuietPeriods { short: CONNECT, long: 3 * CONNECT };
    assert_eq!(periods(&world), unmeasured);
    let mail = world.call();
    world.end(mail, Outcome::Relayed, 100);
    assert_eq!(periods(&world), QuietPeriods { short: CONNECT / 4, long: CONNECT });
    for _ in 0..200 {
        let mail = world.call();
        world.end(mail, Outcome::Relayed, 2 * SECOND);
    }
    let QuietPeriods { short, long } = periods(&world);
    assert!(short >= 2 * SECOND && long >= 3 * short - 3, "{short} {long}");
}

/// Guards against calls on a connection to which a copy of its last answer is still on its way: they rest for twice as long as
/// copies came late within a minute.
#[test]
fn connections_rest_for_longer_than_surplus_answers_come_late() {
    let mut world = World::new();
    let rest = |world: &World, after: Time| world.control.rest_between_calls(START + after);
    let unseen = Rest { required: 0, preferred: SECOND / 10 };
    assert_eq!(rest(&world, 0), unseen);
    world.control.note_surplus_answer(SECOND / 50, START);
    assert_eq!(rest(&world, 0), Rest { required: SECOND / 25, preferred: SECOND / 10 });
    world.control.note_surplus_answer(SECOND, START + SECOND);
    world.control.note_surplus_answer(SECOND / 50, START + 2 * SECOND);
    let longest = Rest { required: 2 * SECOND, preferred: 2 * SECOND };
    assert_eq!((rest(&world, 2 * SECOND), rest(&world, 61 * SECOND - 1)), (longest, longest));
    assert_eq!(rest(&world, 61 * SECOND), unseen, "it is forgotten");
    world.control.note_surplus_answer(SECOND / 50, START + 61 * SECOND);
    assert_eq!(rest(&world, 61 * SECOND).required, SECOND / 25);
}

#[test]
fn silence_at_an_endpoint_that_answers_is_a_proof_behind_the_required_rest_alone() {
    let mut world = World::new();
    world.control.note_surplus_answer(SECOND, START);
    for (rested, expected) in [(2 * SECOND - 1, false), (2 * SECOND, true)] {
        let silence = Silence { since: START, before_call: rested };
        assert_eq!(world.control.is_proof(ENDPOINT, silence, START + SECOND), expected, "{rested}");
    }
    world.call();
    world.now += 10 * SECOND;
    world.step(&[Input::Wakeup]);
    let silence = Silence { since: START, before_call: 2 * SECOND };
    assert!(!world.control.is_proof(ENDPOINT, silence, world.now), "a call is out for long");
}
