//! An endpoint that comes back before a whole fleet. The decisions of many couriers run side by side; they
//! share only the list, and each has mails queued at all times. Calls at the cold endpoint are counted over
//! every span in which they could overload it. The bound for the N calls that it bears in a span is N + 2
//! sqrt(N) + 2, however many couriers there are.

use meadowhold::control::{Control, Health};
use meadowhold::interface::{
    AcceptedMail, Action, ConnectResult, Effect, EndpointStatus, Input, Kind, ListEntry, Outcome, QueueClass,
    Settings, Time, SECOND,
};

const OVERLOAD_SPAN: Time = 2 * SECOND;
const COLD_CAPACITY: f64 = 0.25;
const OVERLOAD_MULTIPLE: f64 = 2.0;
/// Healthy until then.
const OUTAGE_START: Time = 4 * SECOND;

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
        peer_notes: day.notes,
        max_poll_delay: 10 * SECOND,
        cold_capacity: COLD_CAPACITY,
        warm_up: day.warm_up,
        overload_multiple: OVERLOAD_MULTIPLE,
        overload_duration: OVERLOAD_SPAN,
        ordering_gap: SECOND,
        list_has_rates: true,
        kinds: vec![Kind { max_batch: 1, per_endpoint_limits: day.own_limits }],
        classes: vec![class(Effect::Redeliverable, 1.0), class(Effect::Tagged, 1.0)],
        ..Settings::default()
    }
}

/// A fleet with one destination, and what happens to it.
#[derive(Clone, Copy, Debug)]
struct Day {
    couriers: usize,
    /// Calls per second that the recovering limit scope bears once it is warm.
    rate: f64,
    /// Each endpoint has its own limit and only the first one fails; otherwise all share one limit and fail
    /// together.
    own_limits: bool,
    endpoints: usize,
    /// Calls during the outage get no answer; otherwise they cannot connect.
    hangs: bool,
    /// Length of the outage, and of the warm-up after it.
    outage: Time,
    warm_up: Time,
    /// Couriers send each other notes of outages and recoveries.
    notes: bool,
    /// Part of the couriers that restart within a second around the recovery, without any state.
    restarted: f64,
}

struct Courier {
    control: Control,
    free: Vec<usize>,
    used: usize,
    /// Calls in flight: begin, end, mail, outcome.
    in_flight: Vec<(Time, Time, usize, Outcome)>,
    inputs: Vec<Input>,
}

impl Courier {
    fn start(seed: u64, me: usize, day: &Day) -> Courier {
        let control = Control::new(settings(seed, me, day));
        let mut inputs = vec![Input::ListBegin { complete: true }];
        inputs.extend((0..day.endpoints).map(|endpoint| {
            Input::ListEntry(ListEntry {
                endpoint,
                destination: 0,
                zone: 0,
                kind: 0,
                status: EndpointStatus::Ready,
                rate: day.rate,
            })
        }));
        inputs.push(Input::ListEnd);
        Courier { control, free: Vec::new(), used: 0, in_flight: Vec::new(), inputs }
    }

    /// Submits mails until four are queued.
    fn submit(&mut self, now: Time) {
        let waiting = self.control.destination_load(0).map_or(0, |(_, _, waiting)| waiting);
        for i in waiting..4 {
            let mail = self.free.pop().unwrap_or(self.used);
            self.used = self.used.max(mail + 1);
            let (class, deadline) = (i % 2, now + 8 * SECOND);
            self.inputs.push(Input::AcceptedMail(AcceptedMail {
                mail,
                class,
                submitted_at: now,
                deadline,
                ..AcceptedMail::default()
            }));
        }
    }
}

/// The span with the most calls for its bound, and all calls at the cold endpoint.
#[derive(Clone, Copy, Debug, Default)]
struct Worst {
    calls: usize,
    capacity: f64,
    bound: f64,
    at: f64,
    total: usize,
}

impl Worst {
    fn load(&self) -> f64 {
        if self.bound > 0.0 {
            self.calls as f64 / self.bound
        } else {
            0.0
        }
    }
}

fn run(day: Day, seed: u64) -> Worst {
    let mut rng = fastrand::Rng::with_seed(seed ^ 0x636f_6c64);
    let recovered_at = SECOND + OUTAGE_START + day.outage;
    // With many couriers a single turn matters little, so turns may be longer.
    let step: Time = [100, 200, 500][usize::from(day.couriers > 5) + usize::from(day.couriers > 24)];
    let mut couriers: Vec<Courier> = (0..day.couriers).map(|me| Courier::start(seed, me, &day)).collect();
    // Restarting couriers are drawn at random, each restarts at its own time around the recovery.
    let mut restarting: Vec<usize> = (0..day.couriers).collect();
    rng.shuffle(&mut restarting);
    restarting.truncate((day.restarted * day.couriers as f64).round() as usize);
    let mut starts = vec![None; day.couriers];
    restarting.iter().for_each(|&me| starts[me] = Some(recovered_at - SECOND / 2 + rng.u64(..SECOND)));
    // Couriers do not run in step: each has its turns at an offset of its own.
    let offsets: Vec<Time> = (0..day.couriers).map(|_| rng.u64(..step)).collect();
    let (mut recent, mut worst) = (std::collections::VecDeque::new(), Worst::default());
    let mut base = SECOND;
    // An endpoint that warms up slowly is coldest at first.
    while base < recovered_at + day.warm_up.min(10 * SECOND) {
        let mut calls: Vec<Time> = Vec::new();
        let mut notes: Vec<(usize, Input)> = Vec::new();
        for me in 0..day.couriers {
            let now = base + offsets[me];
            if starts[me].is_some_and(|at| now >= at) {
                starts[me] = None;
                couriers[me] = Courier::start(seed ^ 0xf5e5, me, &day);
            }
            let courier = &mut couriers[me];
            courier.submit(now);
            let mut inputs = std::mem::take(&mut courier.inputs);
            courier.in_flight.retain(|&(from, to, mail, outcome)| {
                if to > now {
                    return true;
                }
                let (finished, duration) = (outcome == Outcome::Relayed, to - from);
                let (retry_after, reused_connection, limit_report) = (0, false, None);
                inputs.push(Input::ConnectResult(ConnectResult {
                    mail,
                    outcome,
                    finished,
                    retry_after,
                    duration,
                    reused_connection,
                    limit_report,
                }));
                false
            });
            let mut actions = Vec::new();
            courier.control.step(now, &inputs, &mut actions);
            for action in actions {
                match action {
                    Action::Connect { mail, endpoint, timeout, .. } => {
                        let concerned = !day.own_limits || endpoint == 0;
                        let out = concerned && now >= SECOND + OUTAGE_START && now < recovered_at;
                        let (at, outcome) = match (out, day.hangs) {
                            (false, _) => (now + 300, Outcome::Relayed),
                            (true, false) => (now + 10, Outcome::Unreached),
                            (true, true) => (now + timeout, Outcome::Silent),
                        };
                        courier.in_flight.push((now, at, mail, outcome));
                        calls.extend((concerned && now >= recovered_at).then_some(now));
                    }
                    Action::FreeMail(mail) => courier.free.push(mail),
                    Action::SendNote { endpoint, note } => {
                        notes.push((me, Input::PeerNote { endpoint, note }))
                    }
                    _ => {}
                }
            }
        }
        for (from, note) in notes {
            let others = couriers.iter_mut().enumerate().filter(|(me, _)| *me != from);
            others.for_each(|(_, courier)| courier.inputs.push(note.clone()));
        }
        calls.sort_unstable();
        for at in calls {
            recent.push_back(at);
            while recent.front().is_some_and(|&first| first + OVERLOAD_SPAN <= at) {
                recent.pop_front();
            }
            let warm = ((at - recovered_at) as f64 / day.warm_up as f64).min(1.0);
            let warmth = COLD_CAPACITY + (1.0 - COLD_CAPACITY) * warm;
            let capacity = OVERLOAD_MULTIPLE * day.rate * warmth * OVERLOAD_SPAN as f64 / SECOND as f64;
            let bound = capacity + 2.0 * capacity.sqrt() + 2.0;
            let seen =
                Worst { calls: recent.len(), capacity, bound, at: (at - recovered_at) as f64 / 1e4, ..worst };
            worst = if seen.load() > worst.load() { seen } else { worst };
            worst.total += 1;
        }
        base += step;
    }
    worst
}

const BASE: Day = Day {
    couriers: 1,
    rate: 40.0,
    own_limits: true,
    endpoints: 2,
    hangs: false,
    outage: 5 * SECOND,
    warm_up: 10 * SECOND,
    notes: false,
    restarted: 0.0,
};

/// Runs a day with each limit, number of couriers and seed. Describes the spans that exceed their bound.
fn exceeding(
    name: &str,
    day: Day,
    rates: &[f64],
    couriers: &[usize],
    seeds: std::ops::RangeInclusive<u64>,
) -> Vec<String> {
    let mut exceeded = Vec::new();
    for (&rate, &couriers) in rates.iter().flat_map(|rate| couriers.iter().map(move |many| (rate, many))) {
        for seed in seeds.clone() {
            let worst = run(Day { couriers, rate, ..day }, seed);
            let description = format!(
                "{name}, {rate} a second, {couriers} couriers, seed {seed}: {} calls, N {:.1}, bound {:.1}, \
                 {:.1} s after the return; {} in all",
                worst.calls, worst.capacity, worst.bound, worst.at, worst.total
            );
            println!("{description}");
            exceeded.extend((worst.load() > 1.0).then_some(description));
        }
    }
    exceeded
}

fn days() -> [(&'static str, Day); 8] {
    [
        ("one of two", BASE),
        ("the only one", Day { endpoints: 1, ..BASE }),
        ("a limit that two share", Day { own_limits: false, ..BASE }),
        ("silent", Day { hangs: true, ..BASE }),
        ("couriers tell each other", Day { notes: true, hangs: true, ..BASE }),
        ("they may, and nobody is found", Day { notes: true, ..BASE }),
        ("a long outage", Day { outage: 30 * SECOND, ..BASE }),
        ("a short outage", Day { outage: 5 * SECOND / 2, ..BASE }),
    ]
}

#[test]
fn the_shares_of_few_couriers_stay_within_what_a_cold_endpoint_bears() {
    let rates = [2.0, 40.0, 200.0];
    let exceeded: Vec<String> =
        days().iter().flat_map(|(name, day)| exceeding(name, *day, &rates, &[1, 5, 24], 1..=1)).collect();
    assert!(exceeded.is_empty(), "{exceeded:#?}");
}

/// Does not cover a courier with less than two turns at an endpoint during an outage, which it may not notice
/// at all.
#[test]
fn the_shares_of_hundreds_of_couriers_stay_within_what_a_cold_endpoint_bears() {
    let mut exceeded: Vec<String> =
        days().iter().flat_map(|(name, day)| exceeding(name, *day, &[2.0, 40.0], &[100], 1..=1)).collect();
    for (name, day) in days().iter().filter(|(_, day)| day.notes || day.outage > 10 * SECOND) {
        exceeded.extend(exceeding(name, *day, &[2.0], &[300], 1..=1));
    }
    exceeded.extend(exceeding("one of two", BASE, &[40.0, 200.0], &[300], 1..=1));
    // Trials and the calls right after them, before the endpoint gets much warmer.
    let slow = Day { warm_up: 60 * SECOND, outage: 15 * SECOND, endpoints: 1, ..BASE };
    exceeded.extend(exceeding("slow to warm up", slow, &[100.0], &[300], 1..=2));
    assert!(exceeded.is_empty(), "{exceeded:#?}");
}

/// Couriers that have just started know of no outage. Turns limit them where their share is below two calls
/// per target delay.
#[test]
fn a_third_that_just_started_keeps_to_its_turns_at_a_cold_endpoint() {
    let mut exceeded = Vec::new();
    for notes in [false, true] {
        let day = Day { notes, restarted: 1.0 / 3.0, ..BASE };
        exceeded.extend(exceeding("a third just started", day, &[40.0], &[24, 100], 1..=2));
        exceeded.extend(exceeding("a third just started", day, &[200.0], &[100, 300], 1..=1));
    }
    assert!(exceeded.is_empty(), "{exceeded:#?}");
}

/// Guards against couriers that have just started and send all they have to a cold endpoint: their share is
/// over two calls per target delay, so that no turns limit them.
#[test]
fn a_third_that_just_started_keeps_to_what_a_cold_endpoint_bears_where_shares_are_larger() {
    let day = Day { restarted: 1.0 / 3.0, ..BASE };
    let exceeded = exceeding("a third just started", day, &[40.0], &[5], 1..=2);
    assert!(exceeded.is_empty(), "{exceeded:#?}");
}

/// Guards against an outage that ends before a courier with less than two turns in it has noticed it.
#[test]
fn an_outage_shorter_than_two_turns_of_a_courier_is_no_overload_at_its_end() {
    let day = Day { outage: 5 * SECOND / 2, ..BASE };
    let exceeded = exceeding("a short outage", day, &[100.0], &[300], 1..=1);
    assert!(exceeded.is_empty(), "{exceeded:#?}");
}

#[test]
fn a_call_from_before_an_outage_is_no_sign_of_its_end() {
    // (whether notes are sent, whether the relayed call was sent before the two that failed, health after it)
    for (notes, earlier_call, health) in
        [(false, true, Health::Down), (true, true, Health::Down), (false, false, Health::Recovering)]
    {
        let day = Day { notes, rate: 0.0, endpoints: 1, ..BASE };
        let mut courier = Courier::start(7, 0, &day);
        let mut at = |now: Time, results: &[(usize, Outcome)]| {
            let results = results.iter().map(|&(mail, outcome)| {
                let finished = outcome == Outcome::Relayed;
                let (retry_after, duration, reused_connection, limit_report) = (0, 100, false, None);
                Input::ConnectResult(ConnectResult {
                    mail,
                    outcome,
                    finished,
                    retry_after,
                    duration,
                    reused_connection,
                    limit_report,
                })
            });
            courier.inputs.extend(results);
            courier.submit(now);
            let (inputs, mut actions) = (std::mem::take(&mut courier.inputs), Vec::new());
            courier.control.step(now, &inputs, &mut actions);
            let tells = actions.iter().any(|action| {
                matches!(action, Action::SendNote { note: meadowhold::interface::PeerNote::Recovered, .. })
            });
            let sent = actions.iter().filter_map(|action| match action {
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
        while !earlier_call && mail == sent[2] {
            now += 100;
            let (trial, _, _) = at(now, &[]);
            mail = trial.first().copied().unwrap_or(mail);
            assert!(now < 100 * SECOND, "no trial is made");
        }
        let (_, held, tells) = at(now + 100, &[(mail, Outcome::Relayed)]);
        assert_eq!((held, tells), (Some(health), false), "{notes} {earlier_call}");
    }
}
