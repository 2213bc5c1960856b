//! A planned shutdown: whatever is accepted or kept can still be tried, by this process or by the next one.

use meadowhold::control::{Control, Health};
use meadowhold::interface::{
    AcceptedMail, Action, ConnectResult, Effect, EndpointStatus, Input, Kind, ListEntry, Outcome, QueueClass,
    Settings, Shutdown, Time, SECOND,
};

/// In milliseconds: when the shutdown is requested, when the last call may begin, and when the next process
/// begins its calls.
const SHUTDOWN_ASKED: Time = 2000;
const CALLS_UNTIL: Time = 4500;
const SUCCESSOR_FROM: Time = 6300;

fn settings(max_batch: usize) -> Settings {
    let class = QueueClass {
        effect: Effect::Redeliverable,
        dedup_by_zone: false,
        dedup_window: 4 * SECOND,
        target_delay: SECOND / 5,
        lifetime: 4 * SECOND,
        importance: 1.0,
        expiry_importance: 0.0,
        ordered: false,
    };
    Settings {
        seed: 7,
        couriers: 1,
        slots: 8,
        max_mails: 400,
        max_connects: 4,
        timer_resolution: 10,
        connection_timeout: SECOND,
        idle_timeout: 10 * SECOND,
        max_poll_delay: 10 * SECOND,
        cold_capacity: 0.2,
        warm_up: 10 * SECOND,
        overload_multiple: 2.0,
        overload_duration: 2 * SECOND,
        ordering_gap: SECOND,
        kinds: vec![Kind { max_batch, per_endpoint_limits: false }],
        classes: vec![class],
        ..Settings::default()
    }
}

fn time(ms: Time) -> Time {
    SECOND + ms * 10
}

/// Two destinations with one endpoint each, which has the number of its destination.
struct Courier {
    control: Control,
    next: usize,
}

impl Courier {
    fn new() -> Courier {
        let mut courier = Courier { control: Control::new(settings(1)), next: 0 };
        let entry = |destination| {
            Input::ListEntry(ListEntry {
                endpoint: destination,
                destination,
                zone: 0,
                kind: 0,
                status: EndpointStatus::Ready,
                rate: 0.0,
            })
        };
        courier.step(0, &[Input::ListBegin { complete: true }, entry(0), entry(1), Input::ListEnd]);
        courier
    }

    fn step(&mut self, ms: Time, inputs: &[Input]) -> Vec<Action> {
        let mut out = Vec::new();
        self.control.step(time(ms), inputs, &mut out);
        assert_eq!(self.control.audit(), Vec::<String>::new());
        out
    }

    /// Submits a mail with a deadline. Returns its number and the actions of that turn.
    fn submit(&mut self, ms: Time, destination: usize, deadline: Time) -> (usize, Vec<Action>) {
        let mail = self.next;
        self.next += 1;
        let accepted = AcceptedMail {
            mail,
            destination,
            submitted_at: time(ms),
            deadline: time(deadline),
            ..AcceptedMail::default()
        };
        (mail, self.step(ms, &[Input::AcceptedMail(accepted)]))
    }

    fn end_connect(&mut self, ms: Time, mail: usize, outcome: Outcome, took: Time) -> Vec<Action> {
        let finished = outcome == Outcome::Relayed;
        let ended = ConnectResult {
            mail,
            outcome,
            finished,
            retry_after: 0,
            duration: took * 10,
            reused_connection: false,
            limit_report: None,
        };
        self.step(ms, &[Input::ConnectResult(ended)])
    }

    /// Lets the endpoint of a destination fail until it is held to be down.
    fn bring_down(&mut self, destination: usize) {
        let (mail, _) = self.submit(10, destination, 60_000);
        let mut ms = 10;
        while self.control.health(destination) != Some(Health::Down) {
            ms += 10;
            assert!(ms < SHUTDOWN_ASKED);
            if self.control.call_of(mail).is_some() {
                self.end_connect(ms, mail, Outcome::Broken, 10);
            } else {
                self.step(ms, &[]);
            }
        }
        self.step(ms, &[Input::ClientGone { mail }]);
    }

    fn shut_down(&mut self) -> Vec<Action> {
        let ending = Shutdown { calls_until: time(CALLS_UNTIL), successor_from: time(SUCCESSOR_FROM) };
        self.step(SHUTDOWN_ASKED, &[Input::Shutdown(ending)])
    }

    fn rejects(&self, destination: usize, deadline: Time) -> bool {
        self.control.would_reject(destination, 0, time(deadline))
    }
}

/// Guards against mails that are answered `+OK` during a shutdown and end untried.
#[test]
fn a_process_shutting_down_accepts_what_it_or_its_successor_can_try() {
    let mut courier = Courier::new();
    courier.bring_down(0);
    let rows = [
        (0, SUCCESSOR_FROM - 1),
        (0, SUCCESSOR_FROM + 1000),
        (1, SUCCESSOR_FROM - 1),
        (1, SUCCESSOR_FROM + 1000),
    ];
    let refused =
        |courier: &Courier| rows.map(|(destination, deadline)| courier.rejects(destination, deadline));
    assert_eq!(refused(&courier), [false; 4], "before the end is asked for");
    courier.shut_down();
    // Nobody answers at the first destination; the second one takes a mail at once.
    assert_eq!(refused(&courier), [true, false, false, false]);
    courier.step(CALLS_UNTIL, &[]);
    assert_eq!(refused(&courier), [true, false, true, false], "no call begins any more");
}

#[test]
fn a_process_shutting_down_accepts_no_more_than_gets_its_turn() {
    let mut courier = Courier::new();
    // Calls take a second, and a courier has only a few in flight at a time.
    let (first, _) = courier.submit(10, 1, 60_000);
    courier.end_connect(1010, first, Outcome::Relayed, 1000);
    let ahead: Vec<usize> = (0..40).map(|_| courier.submit(SHUTDOWN_ASKED - 100, 1, 60_000).0).collect();
    assert!(!courier.rejects(1, SUCCESSOR_FROM - 1));
    courier.shut_down();
    assert!(courier.rejects(1, SUCCESSOR_FROM - 1) && !courier.rejects(1, SUCCESSOR_FROM + 1000));
    for mail in ahead {
        if courier.control.call_of(mail).is_none() {
            courier.step(SHUTDOWN_ASKED + 10, &[Input::ClientGone { mail }]);
        }
    }
    assert!(!courier.rejects(1, SUCCESSOR_FROM - 1), "nobody waits any more");
}

/// Guards against mails that were accepted earlier and are held in vain until their process ends.
#[test]
fn mails_that_cannot_be_tried_any_more_are_handed_back_when_the_last_call_has_begun() {
    let mut courier = Courier::new();
    courier.bring_down(0);
    let ends = |action: &Action| matches!(action, Action::Defer { .. } | Action::Bounce { .. });
    let (short, _) = courier.submit(SHUTDOWN_ASKED - 50, 0, SUCCESSOR_FROM);
    let (long, _) = courier.submit(SHUTDOWN_ASKED - 50, 0, SUCCESSOR_FROM + 1);
    let out = |courier: &Courier, mail| courier.control.call_of(mail).is_some();
    let mut actions = courier.shut_down();
    for ms in (SHUTDOWN_ASKED + 10..CALLS_UNTIL).step_by(10) {
        for mail in [short, long].into_iter().filter(|&mail| out(&courier, mail)).collect::<Vec<_>>() {
            // A trial that could not be sent certainly never ran.
            actions.extend(courier.end_connect(ms, mail, Outcome::Unsent, 0));
        }
        actions.extend(courier.step(ms, &[]));
    }
    assert!(!actions.iter().any(ends), "{actions:?}");
    let actions = courier.step(CALLS_UNTIL, &[]);
    let given: Vec<&Action> = actions.iter().filter(|action| ends(action)).collect();
    assert!(matches!(given[..], [Action::Defer { mail, .. }] if *mail == short), "{actions:?}");
    let connects = |action: &Action| matches!(action, Action::Connect { .. });
    let (_, actions) = courier.submit(CALLS_UNTIL + 10, 1, SUCCESSOR_FROM + 1000);
    assert!(!actions.iter().any(connects), "{actions:?}");
}
