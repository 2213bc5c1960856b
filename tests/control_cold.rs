//! A returning endpoint before a whole fleet: many couriers' decisions side by side, no word between them but the
//! list, each with messages waiting all the time. Calls at what is cold are counted from outside, in every span in
//! which it may be pushed over, against what it bears then: N + 2 root of N + 2, however many couriers there are.

use meadowhold::control::{Control, Health};
use meadowhold::interface::{
    AcceptedMail, Action, ConnectResult, Effect, EndpointStatus, Input, Kind, ListEntry, Outcome, QueueClass,
    Settings, Time, SECOND,
};

const TIP: Time = 2 * SECOND;
const COLD_FROM: f64 = 0.25;
const MULTIPLE: f64 = 2.0;
/// Well until then.
const OUT: Time = 4 * SECOND;

fn settings(seed: u64, me: usize, day: &Day) -> Settings {
    let class = |effect, importance| QueueClass {
        effect,
        dedup_by_zone: false,
        dedup_window: 8 * SECOND,
        target_delay: SECOND / 2,
        lifetime: 8 * SECOND,
        importance,
        expiry_importance: 0.0,
        ordered: false,
    };
    Settings {
        seed: seed ^ (me as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15),
        couriers: day.couriers,
        courier_index: me,
        slots: 16,
        max_mails: 200,
        max_connects: 8,
        timer_resolution: 50,
        connection_timeout: SECOND,
        idle_timeout: 10 * SECOND,
        peer_notes: day.told,
        max_poll_delay: 10 * SECOND,
        cold_capacity: COLD_FROM,
        warm_up: day.cold,
        overload_multiple: MULTIPLE,
        overload_duration: TIP,
        ordering_gap: SECOND,
        list_has_rates: true,
        kinds: vec![Kind { max_batch: 1, per_endpoint_limits: day.apart }],
        classes: vec![class(Effect::Redeliverable, 1.0), class(Effect::Tagged, 1.0)],
        ..Settings::default()
    }
}

/// What befalls a fleet and its one destination.
#[derive(Clone, Copy, Debug)]
struct Day {
    couriers: usize,
    /// Calls a second that the unit which returns is good for once it is warm.
    rate: f64,
    /// Each endpoint has its own limit and the first goes out; else all share the limit and go out together.
    apart: bool,
    ends: usize,
    /// Calls to what is out hear nothing; else they find nobody.
    hangs: bool,
    /// How long it is out, and until it is warm.
    out_for: Time,
    cold: Time,
    /// Couriers tell each other of what is out and back.
    told: bool,
    /// Part of the couriers that start within a second round the return, with nothing in mind.
    fresh: f64,
}

struct Courier {
    control: Control,
    free: Vec<usize>,
    used: usize,
    /// Calls out: when they begin and end, mail, outcome.
    out: Vec<(Time, Time, usize, Outcome)>,
    heard: Vec<Input>,
}

impl Courier {
    fn start(seed: u64, me: usize, day: &Day) -> Courier {
        let control = Control::new(settings(seed, me, day));
        let mut heard = vec![Input::ListBegin { complete: true }];
        heard.extend((0..day.ends).map(|endpoint| {
            Input::ListEntry(ListEntry {
                endpoint,
                destination: 0,
                zone: 0,
                kind: 0,
                status: EndpointStatus::Ready,
                rate: day.rate,
            })
        }));
        heard.push(Input::ListEnd);
        Courier { control, free: Vec::new(), used: 0, out: Vec::new(), heard }
    }

    /// Hands in messages until four wait.
    fn hand_in(&mut self, now: Time) {
        let waiting = self.control.destination_load(0).map_or(0, |(_, _, waiting)| waiting);
        for i in waiting..4 {
            let mail = self.free.pop().unwrap_or(self.used);
            self.used = self.used.max(mail + 1);
            let (class, due) = (i % 2, now + 8 * SECOND);
            self.heard.push(Input::AcceptedMail(AcceptedMail {
                mail,
                class,
                submitted_at: now,
                deadline: due,
                ..AcceptedMail::default()
            }));
        }
    }
}

/// The worst span: calls, N, bound; and calls at what was cold altogether.
#[derive(Clone, Copy, Debug, Default)]
struct Worst {
    calls: usize,
    good_for: f64,
    bound: f64,
    at: f64,
    all: usize,
}

impl Worst {
    fn used(&self) -> f64 {
        if self.bound > 0.0 {
            self.calls as f64 / self.bound
        } else {
            0.0
        }
    }
}

fn play(day: Day, seed: u64) -> Worst {
    let mut chance = fastrand::Rng::with_seed(seed ^ 0x636f_6c64);
    let back = SECOND + OUT + day.out_for;
    // Of many couriers no turn is worth much.
    let step: Time = [100, 200, 500][usize::from(day.couriers > 5) + usize::from(day.couriers > 24)];
    let mut couriers: Vec<Courier> = (0..day.couriers).map(|me| Courier::start(seed, me, &day)).collect();
    // Evenly drawn from those that start anew, each at its own moment round the return.
    let mut anew: Vec<usize> = (0..day.couriers).collect();
    chance.shuffle(&mut anew);
    anew.truncate((day.fresh * day.couriers as f64).round() as usize);
    let mut starts = vec![None; day.couriers];
    anew.iter().for_each(|&me| starts[me] = Some(back - SECOND / 2 + chance.u64(..SECOND)));
    // Couriers are not in step: each has its turns at an offset of its own.
    let offsets: Vec<Time> = (0..day.couriers).map(|_| chance.u64(..step)).collect();
    let (mut recent, mut worst) = (std::collections::VecDeque::new(), Worst::default());
    let mut base = SECOND;
    // What is slow to warm up is coldest at first.
    while base < back + day.cold.min(10 * SECOND) {
        let mut calls: Vec<Time> = Vec::new();
        let mut notes: Vec<(usize, Input)> = Vec::new();
        for me in 0..day.couriers {
            let now = base + offsets[me];
            if starts[me].is_some_and(|at| now >= at) {
                starts[me] = None;
                couriers[me] = Courier::start(seed ^ 0xf5e5, me, &day);
            }
            let courier = &mut couriers[me];
            courier.hand_in(now);
            let mut inputs = std::mem::take(&mut courier.heard);
            courier.out.retain(|&(from, to, mail, outcome)| {
                if to > now {
                    return true;
                }
                let (over, took) = (outcome == Outcome::Relayed, to - from);
                let (wait, kept, report) = (0, false, None);
                inputs.push(Input::ConnectResult(ConnectResult {
                    mail,
                    outcome,
                    finished: over,
                    retry_after: wait,
                    duration: took,
                    reused_connection: kept,
                    limit_report: report,
                }));
                false
            });
            let mut acts = Vec::new();
            courier.control.step(now, &inputs, &mut acts);
            for act in acts {
                match act {
                    Action::Connect { mail, endpoint, timeout, .. } => {
                        let concerned = !day.apart || endpoint == 0;
                        let out = concerned && now >= SECOND + OUT && now < back;
                        let (at, outcome) = match (out, day.hangs) {
                            (false, _) => (now + 300, Outcome::Relayed),
                            (true, false) => (now + 10, Outcome::Unreached),
                            (true, true) => (now + timeout, Outcome::Silent),
                        };
                        courier.out.push((now, at, mail, outcome));
                        calls.extend((concerned && now >= back).then_some(now));
                    }
                    Action::FreeMail(mail) => courier.free.push(mail),
                    Action::SendNote { endpoint, note: news } => {
                        notes.push((me, Input::PeerNote { endpoint, note: news }))
                    }
                    _ => {}
                }
            }
        }
        for (from, note) in notes {
            let others = couriers.iter_mut().enumerate().filter(|(me, _)| *me != from);
            others.for_each(|(_, courier)| courier.heard.push(note.clone()));
        }
        calls.sort_unstable();
        for at in calls {
            recent.push_back(at);
            while recent.front().is_some_and(|&first| first + TIP <= at) {
                recent.pop_front();
            }
            let warm = ((at - back) as f64 / day.cold as f64).min(1.0);
            let warmth = COLD_FROM + (1.0 - COLD_FROM) * warm;
            let good_for = MULTIPLE * day.rate * warmth * TIP as f64 / SECOND as f64;
            let bound = good_for + 2.0 * good_for.sqrt() + 2.0;
            let seen = Worst { calls: recent.len(), good_for, bound, at: (at - back) as f64 / 1e4, ..worst };
            worst = if seen.used() > worst.used() { seen } else { worst };
            worst.all += 1;
        }
        base += step;
    }
    worst
}

const PLAIN: Day = Day {
    couriers: 1,
    rate: 40.0,
    apart: true,
    ends: 2,
    hangs: false,
    out_for: 5 * SECOND,
    cold: 10 * SECOND,
    told: false,
    fresh: 0.0,
};

/// Plays a day with each number of couriers, limit and seed; the spans that pass their bound, in words.
fn over(
    name: &str,
    day: Day,
    rates: &[f64],
    couriers: &[usize],
    seeds: std::ops::RangeInclusive<u64>,
) -> Vec<String> {
    let mut over = Vec::new();
    for (&rate, &couriers) in rates.iter().flat_map(|rate| couriers.iter().map(move |many| (rate, many))) {
        for seed in seeds.clone() {
            let worst = play(Day { couriers, rate, ..day }, seed);
            let words = format!(
                "{name}, {rate} a second, {couriers} couriers, seed {seed}: {} calls, N {:.1}, bound {:.1}, \
                 {:.1} s after the return; {} in all",
                worst.calls, worst.good_for, worst.bound, worst.at, worst.all
            );
            println!("{words}");
            over.extend((worst.used() > 1.0).then_some(words));
        }
    }
    over
}

fn days() -> [(&'static str, Day); 8] {
    [
        ("one of two", PLAIN),
        ("the only one", Day { ends: 1, ..PLAIN }),
        ("a limit that two share", Day { apart: false, ..PLAIN }),
        ("silent", Day { hangs: true, ..PLAIN }),
        ("couriers tell each other", Day { told: true, hangs: true, ..PLAIN }),
        ("they may, and nobody is found", Day { told: true, ..PLAIN }),
        ("a long outage", Day { out_for: 30 * SECOND, ..PLAIN }),
        ("a short outage", Day { out_for: 5 * SECOND / 2, ..PLAIN }),
    ]
}

#[test]
fn the_parts_of_few_couriers_add_up_to_what_a_cold_endpoint_bears() {
    let rates = [2.0, 40.0, 200.0];
    let passed: Vec<String> =
        days().iter().flat_map(|(name, day)| over(name, *day, &rates, &[1, 5, 24], 1..=1)).collect();
    assert!(passed.is_empty(), "{passed:#?}");
}

/// Not among them: a courier with less than two turns at an endpoint in an outage, which it may not see at all.
#[test]
fn the_parts_of_hundreds_of_couriers_add_up_to_what_a_cold_endpoint_bears() {
    let mut passed: Vec<String> =
        days().iter().flat_map(|(name, day)| over(name, *day, &[2.0, 40.0], &[100], 1..=1)).collect();
    for (name, day) in days().iter().filter(|(_, day)| day.told || day.out_for > 10 * SECOND) {
        passed.extend(over(name, *day, &[2.0], &[300], 1..=1));
    }
    passed.extend(over("one of two", PLAIN, &[40.0, 200.0], &[300], 1..=1));
    // Trials and what follows them at once, before it gets much warmer.
    let slow = Day { cold: 60 * SECOND, out_for: 15 * SECOND, ends: 1, ..PLAIN };
    passed.extend(over("slow to warm up", slow, &[100.0], &[300], 1..=2));
    assert!(passed.is_empty(), "{passed:#?}");
}

/// Those that just started know of no outage; turns hold them where their share is under two calls a target delay.
#[test]
fn a_third_that_just_started_keeps_to_its_turns_at_a_cold_endpoint() {
    let mut passed = Vec::new();
    for told in [false, true] {
        let day = Day { told, fresh: 1.0 / 3.0, ..PLAIN };
        passed.extend(over("a third just started", day, &[40.0], &[24, 100], 1..=2));
        passed.extend(over("a third just started", day, &[200.0], &[100, 300], 1..=1));
    }
    assert!(passed.is_empty(), "{passed:#?}");
}

/// Guards against couriers that just started and send what they have to an endpoint that is cold: their share is over two
/// calls a target delay, so that no turns hold them.
#[test]
fn a_third_that_just_started_keeps_to_what_a_cold_endpoint_bears_where_shares_are_larger() {
    let day = Day { fresh: 1.0 / 3.0, ..PLAIN };
    let passed = over("a third just started", day, &[40.0], &[5], 1..=2);
    assert!(passed.is_empty(), "{passed:#?}");
}

/// Guards against an outage that is over before a courier with less than two turns in it has seen it.
#[test]
fn an_outage_shorter_than_two_turns_of_a_courier_is_no_overload_at_its_end() {
    let day = Day { out_for: 5 * SECOND / 2, ..PLAIN };
    let passed = over("a short outage", day, &[100.0], &[300], 1..=1);
    assert!(passed.is_empty(), "{passed:#?}");
}

#[test]
fn a_call_from_before_an_outage_is_no_sign_of_its_end() {
    // (served call sent before the two that failed, what the endpoint is held to be)
    for (told, before, standing) in
        [(false, true, Health::Down), (true, true, Health::Down), (false, false, Health::Recovering)]
    {
        let day = Day { told, rate: 0.0, ends: 1, ..PLAIN };
        let mut courier = Courier::start(7, 0, &day);
        let mut at = |now: Time, ends: &[(usize, Outcome)]| {
            let ends = ends.iter().map(|&(mail, outcome)| {
                let over = outcome == Outcome::Relayed;
                let (wait, took, kept, report) = (0, 100, false, None);
                Input::ConnectResult(ConnectResult {
                    mail,
                    outcome,
                    finished: over,
                    retry_after: wait,
                    duration: took,
                    reused_connection: kept,
                    limit_report: report,
                })
            });
            courier.heard.extend(ends);
            courier.hand_in(now);
            let (inputs, mut acts) = (std::mem::take(&mut courier.heard), Vec::new());
            courier.control.step(now, &inputs, &mut acts);
            let tells = acts.iter().any(|act| {
                matches!(act, Action::SendNote { note: meadowhold::interface::PeerNote::Recovered, .. })
            });
            let sent = acts.iter().filter_map(|act| match act {
                Action::Connect { mail, .. } => Some(*mail),
                _ => None,
            });
            (sent.collect::<Vec<usize>>(), courier.control.health(0), tells)
        };
        let (sent, _, _) = at(SECOND, &[]);
        assert!(sent.len() >= 3, "{sent:?}");
        let (_, down, _) = at(SECOND + 100, &[(sent[0], Outcome::Silent), (sent[1], Outcome::Silent)]);
        assert_eq!(down, Some(Health::Down));
        let mut mail = sent[2];
        let mut now = SECOND + 200;
        while !before && mail == sent[2] {
            now += 100;
            let (trial, _, _) = at(now, &[]);
            mail = trial.first().copied().unwrap_or(mail);
            assert!(now < 100 * SECOND, "no trial is made");
        }
        let (_, held, tells) = at(now + 100, &[(mail, Outcome::Relayed)]);
        assert_eq!((held, tells), (Some(standing), false), "{told} {before}");
    }
}
