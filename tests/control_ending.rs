//! A planned end: what is taken on or kept can still be tried, by this process or by the next one.

use meadowhold::control::{Control, Health};
use meadowhold::interface::{
    AcceptedMail, Action, ConnectResult, Effect, EndpointStatus, Input, Kind, ListEntry, Outcome, QueueClass,
    Settings, Shutdown, Time, SECOND,
};

/// The end is asked for, calls begin until, and the next process begins its own, in milliseconds.
const ASKED: Time = 2000;
const CALLS_UNTIL: Time = 4500;
const NEXT_FROM: Time = 6300;

fn settings(batch: usize) -> Settings {
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
        kinds: vec![Kind { max_batch: batch, per_endpoint_limits: false }],
        classes: vec![class],
        ..Settings::default()
    }
}

fn time(ms: Time) -> Time {
    SECOND + ms * 10
}

/// Two destinations of one endpoint each, each with the number of its destination.
struct Courier {
    control: Control,
    next: usize,
}

impl Courier {
    fn new() -> Courier {
        let mut courier = Courier { control: Control::new(settings(1)), next: 0 };
        let listed = |dest| {
            Input::ListEntry(ListEntry {
                endpoint: dest,
                destination: dest,
                zone: 0,
                kind: 0,
                status: EndpointStatus::Ready,
                rate: 0.0,
            })
        };
        courier.at(0, &[Input::ListBegin { complete: true }, listed(0), listed(1), Input::ListEnd]);
        courier
    }

    fn at(&mut self, ms: Time, inputs: &[Input]) -> Vec<Action> {
        let mut out = Vec::new();
        self.control.step(time(ms), inputs, &mut out);
        assert_eq!(self.control.audit(), Vec::<String>::new());
        out
    }

    /// Hands in a mail that ends at a time; its number, and what came of that turn.
    fn take(&mut self, ms: Time, dest: usize, due: Time) -> (usize, Vec<Action>) {
        let mail = self.next;
        self.next += 1;
        let taken = AcceptedMail {
            mail,
            destination: dest,
            submitted_at: time(ms),
            deadline: time(due),
            ..AcceptedMail::default()
        };
        (mail, self.at(ms, &[Input::AcceptedMail(taken)]))
    }

    fn ended(&mut self, ms: Time, mail: usize, outcome: Outcome, took: Time) -> Vec<Action> {
        let over = outcome == Outcome::Relayed;
        let ended = ConnectResult {
            mail,
            outcome,
            finished: over,
            retry_after: 0,
            duration: took * 10,
            reused_connection: false,
            limit_report: None,
        };
        self.at(ms, &[Input::ConnectResult(ended)])
    }

    /// Its destination's endpoint fails until it is held to be out.
    fn fall(&mut self, dest: usize) {
        let (mail, _) = self.take(10, dest, 60_000);
        let mut ms = 10;
        while self.control.health(dest) != Some(Health::Down) {
            ms += 10;
            assert!(ms < ASKED);
            if self.control.call_of(mail).is_some() {
                self.ended(ms, mail, Outcome::Broken, 10);
            } else {
                self.at(ms, &[]);
            }
        }
        self.at(ms, &[Input::ClientGone { mail }]);
    }

    fn ask_to_end(&mut self) -> Vec<Action> {
        let ending = Shutdown { calls_until: time(CALLS_UNTIL), successor_from: time(NEXT_FROM) };
        self.at(ASKED, &[Input::Shutdown(ending)])
    }

    fn refuses(&self, dest: usize, due: Time) -> bool {
        self.control.would_reject(dest, 0, time(due))
    }
}

/// Guards against messages that are answered `+OK` in a shutdown and end untried.
#[test]
fn a_process_that_ends_takes_on_what_it_or_the_next_one_can_try() {
    let mut courier = Courier::new();
    courier.fall(0);
    let rows = [(0, NEXT_FROM - 1), (0, NEXT_FROM + 1000), (1, NEXT_FROM - 1), (1, NEXT_FROM + 1000)];
    let refused = |courier: &Courier| rows.map(|(dest, due)| courier.refuses(dest, due));
    assert_eq!(refused(&courier), [false; 4], "before the end is asked for");
    courier.ask_to_end();
    // Nobody is there for the first destination; the second's takes it at once.
    assert_eq!(refused(&courier), [true, false, false, false]);
    courier.at(CALLS_UNTIL, &[]);
    assert_eq!(refused(&courier), [true, false, true, false], "no call begins any more");
}

#[test]
fn a_process_that_ends_takes_on_no_more_than_gets_its_turn() {
    let mut courier = Courier::new();
    // Calls take a second, and one courier has a few of them out at a time.
    let (first, _) = courier.take(10, 1, 60_000);
    courier.ended(1010, first, Outcome::Relayed, 1000);
    let ahead: Vec<usize> = (0..40).map(|_| courier.take(ASKED - 100, 1, 60_000).0).collect();
    assert!(!courier.refuses(1, NEXT_FROM - 1));
    courier.ask_to_end();
    assert!(courier.refuses(1, NEXT_FROM - 1) && !courier.refuses(1, NEXT_FROM + 1000));
    for mail in ahead {
        if courier.control.call_of(mail).is_none() {
            courier.at(ASKED + 10, &[Input::ClientGone { mail }]);
        }
    }
    assert!(!courier.refuses(1, NEXT_FROM - 1), "nobody waits any more");
}

/// Guards against messages that were taken on before, and are held for nothing over the end of their process.
#[test]
fn what_nobody_can_try_any_more_is_given_back_when_the_last_call_has_begun() {
    let mut courier = Courier::new();
    courier.fall(0);
    let ends = |action: &Action| matches!(action, Action::Defer { .. } | Action::Bounce { .. });
    let (short, _) = courier.take(ASKED - 50, 0, NEXT_FROM);
    let (long, _) = courier.take(ASKED - 50, 0, NEXT_FROM + 1);
    let out = |courier: &Courier, mail| courier.control.call_of(mail).is_some();
    let mut actions = courier.ask_to_end();
    for ms in (ASKED + 10..CALLS_UNTIL).step_by(10) {
        for mail in [short, long].into_iter().filter(|&mail| out(&courier, mail)).collect::<Vec<_>>() {
            // A trial that finds nobody proves that it never ran.
            actions.extend(courier.ended(ms, mail, Outcome::Unsent, 0));
        }
        actions.extend(courier.at(ms, &[]));
    }
    assert!(!actions.iter().any(ends), "{actions:?}");
    let actions = courier.at(CALLS_UNTIL, &[]);
    let given: Vec<&Action> = actions.iter().filter(|action| ends(action)).collect();
    assert!(matches!(given[..], [Action::Defer { mail, .. }] if *mail == short), "{actions:?}");
    let connects = |action: &Action| matches!(action, Action::Connect { .. });
    let (_, actions) = courier.take(CALLS_UNTIL + 10, 1, NEXT_FROM + 1000);
    assert!(!actions.iter().any(connects), "{actions:?}");
}
