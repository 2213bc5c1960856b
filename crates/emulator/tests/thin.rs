//! How fast one courier learns about destinations that it seldom calls. Figures for `docs/results.md` are
//! printed by `cargo test --release -p meadowhold-emulator --test thin -- --ignored --nocapture`. The
//! scenario is one courier of 1,300 with a part of its traffic. It keeps the ratio of destinations to
//! messages a second, which is the mean time between the courier's calls to one destination. Destinations
//! fail independently, for minutes at a time.

use std::collections::HashMap;
use std::rc::Rc;
use std::sync::{Arc, Mutex};

use meadowhold::control::Health;
use meadowhold::interface::{Action, Input, Outcome, Settings, Time, SECOND};
use meadowhold_emulator::check;
use meadowhold_emulator::day::Day;
use meadowhold_emulator::decider::{control, Decider, WorldView};
use meadowhold_emulator::oracle::Oracle;
use meadowhold_emulator::scenario::{Class, Effect, Figure, Kind, Limit, Scenario, Trouble, What};
use meadowhold_emulator::world::{Options, World};

const COMMAND: &str = "cargo test --release -p meadowhold-emulator --test thin -- --ignored --nocapture";
/// Environment variable that names the file to write the slopes to.
const SLOPES: &str = "MEADOWHOLD_SLOPES";
/// Messages a second in the scenario, and the number of couriers in its settings.
const RATE: f64 = 10.0;
const COURIERS: usize = 1_300;
/// Part of the destinations that is out at any time, and the range of an outage's length.
const OUT_SHARE: f64 = 0.023;
const OUTAGE_S: (f64, f64) = (60.0, 540.0);
const DAY_S: f64 = 3_600.0;
/// Seconds between two calls to a destination, and number of seeds: more seeds where few destinations give
/// few outages.
const SIZES: [(f64, u64); 4] = [(1.0, 20), (10.0, 6), (100.0, 2), (720.0, 1)];

/// Processor time of this thread in seconds; wall time says little on a shared machine.
fn thread_cpu_s() -> f64 {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::ThreadCPUTime);
    time.tv_sec as f64 + time.tv_nsec as f64 / 1e9
}

/// A day whose only troubles are outages, drawn by a generator of its own.
fn rarely_called(rate: f64, between_s: f64, what: Option<What>, long: bool, seed: u64) -> Scenario {
    let one = Figure::One;
    let mut s = Scenario { seconds: one(DAY_S), couriers: one(1.0), ..Scenario::default() };
    let destinations = (rate * between_s) as usize;
    s.partners = one(destinations as f64);
    (s.mails.full_rate, s.mails.load, s.mails.uneven) = (one(rate), one(1.0), one(0.0));
    // A message is handed in only once, so its outcome depends on the courier alone.
    (s.mails.clumps, s.mails.retries, s.mails.hang_up, s.mails.short_lived) =
        (one(0.0), one(0.0), one(0.0), one(0.0));
    s.kind = vec![Kind {
        name: "one".into(),
        limit: Limit::None,
        least_rate: one(20.0),
        endpoints: one(1.0),
        pace: one(0.0),
        error_share: one(0.0),
        ..Kind::default()
    }];
    if long {
        s.class = vec![Class {
            name: "long".into(),
            lifetime_ms: 3_600_000.0,
            late_worth: 0.5,
            effect: Effect::Redeliverable,
            ..Class::default()
        }];
    }
    (s.courier.slots_room, s.courier.hold_s) = (one(2.0), one(900.0));
    s.list.rates = false;
    let Some(what) = what else { return s };
    let mut chance = fastrand::Rng::with_seed(seed);
    let mean = (OUTAGE_S.0 + OUTAGE_S.1) / 2.0;
    let up = mean * (1.0 - OUT_SHARE) / OUT_SHARE;
    let between = |chance: &mut fastrand::Rng| OUTAGE_S.0 + (OUTAGE_S.1 - OUTAGE_S.0) * chance.f64();
    for destination in 0..destinations {
        let wait = |chance: &mut fastrand::Rng| -up * (1.0 - chance.f64()).ln();
        let mut at = if chance.f64() < OUT_SHARE { 0.0 } else { wait(&mut chance) };
        while at < DAY_S {
            let lasts = between(&mut chance);
            let mut trouble = Trouble::new(what, one(at), one(lasts), one(0.0), one(1.0));
            (trouble.partners, trouble.whole) = (vec![destination], one(1.0));
            s.trouble.push(trouble);
            at += lasts + wait(&mut chance);
        }
    }
    s
}

#[derive(Clone, Copy)]
struct Outage {
    from: Time,
    until: Time,
    endpoint: usize,
    /// When the courier first suspected the endpoint in this outage, and first held it to be down.
    suspected: Option<Time>,
    known: Option<Time>,
}

impl Outage {
    fn overlap(&self, from: Time, until: Time) -> Time {
        until.min(self.until).saturating_sub(from.max(self.from))
    }
}

/// What one courier did, recorded outside its decider.
#[derive(Default)]
struct Observations {
    outages: Vec<Outage>,
    /// Indices of the outages of each endpoint, in order of time.
    by_endpoint: HashMap<usize, Vec<usize>>,
    attempts: u64,
    wasted: u64,
    out: HashMap<usize, (usize, Time)>,
    /// Total slot time, and the part used by calls while their endpoint was out.
    held: Time,
    held_by_out: Time,
    begun: usize,
    now_out: Vec<usize>,
    deciding_s: f64,
}

impl Observations {
    fn new(day: &Day) -> Observations {
        let mut outages: Vec<Outage> = day
            .troubles
            .iter()
            .map(|t| Outage {
                from: t.from,
                until: t.until,
                endpoint: t.endpoints[0],
                suspected: None,
                known: None,
            })
            .collect();
        outages.sort_by_key(|outage| outage.from);
        let mut by_endpoint: HashMap<usize, Vec<usize>> = HashMap::new();
        outages
            .iter()
            .enumerate()
            .for_each(|(i, outage)| by_endpoint.entry(outage.endpoint).or_default().push(i));
        Observations { outages, by_endpoint, ..Observations::default() }
    }

    fn outages_of(&self, endpoint: usize) -> impl Iterator<Item = &Outage> {
        self.by_endpoint.get(&endpoint).into_iter().flatten().map(|&i| &self.outages[i])
    }

    fn connect_ended(&mut self, now: Time, mail: usize, outcome: Outcome) {
        let Some((endpoint, begun)) = self.out.remove(&mail) else { return };
        if outcome == Outcome::Unsent {
            return;
        }
        self.attempts += 1;
        self.held += now - begun;
        let by_out: Time = self.outages_of(endpoint).map(|outage| outage.overlap(begun, now)).sum();
        self.held_by_out += by_out;
        let then_out = self.outages_of(endpoint).any(|outage| (outage.from..outage.until).contains(&begun));
        self.wasted += u64::from(then_out && outcome != Outcome::Relayed);
    }

    fn observe_health(&mut self, now: Time, standing: impl Fn(usize) -> Option<Health>) {
        while self.outages.get(self.begun).is_some_and(|outage| outage.from <= now) {
            self.now_out.push(self.begun);
            self.begun += 1;
        }
        let outages = &mut self.outages;
        self.now_out.retain(|&i| {
            let outage = &mut outages[i];
            if now >= outage.until {
                return false;
            }
            let held = standing(outage.endpoint);
            if matches!(held, Some(Health::Suspect | Health::Down)) {
                outage.suspected.get_or_insert(now - outage.from);
            }
            if held == Some(Health::Down) {
                outage.known.get_or_insert(now - outage.from);
            }
            outage.known.is_none()
        });
    }
}

struct ObservedDecider {
    inner: Box<dyn Decider>,
    seen: Arc<Mutex<Observations>>,
}

impl Decider for ObservedDecider {
    fn step(
        &mut self,
        now: Time,
        inputs: &[Input],
        out: &mut Vec<Action>,
        view: &dyn WorldView,
    ) -> Option<Time> {
        let mut seen = self.seen.lock().expect("a courier's turn panicked");
        for input in inputs {
            if let Input::ConnectResult(ended) = input {
                seen.connect_ended(now, ended.mail, ended.outcome);
            }
        }
        let before = out.len();
        let began = thread_cpu_s();
        let next = self.inner.step(now, inputs, out, view);
        seen.deciding_s += thread_cpu_s() - began;
        for action in &out[before..] {
            if let Action::Connect { mail, endpoint, .. } = *action {
                // A call that the courier dropped without an outcome.
                seen.connect_ended(now, mail, Outcome::Silent);
                seen.out.insert(mail, (endpoint, now));
            }
        }
        seen.observe_health(now, |endpoint| self.inner.health(endpoint));
        next
    }

    fn may_call(&self, endpoint: usize, now: Time) -> bool {
        self.inner.may_call(endpoint, now)
    }

    fn health(&self, endpoint: usize) -> Option<Health> {
        self.inner.health(endpoint)
    }
}

/// Sums over the seeds of one line of the table.
#[derive(Default)]
struct Totals {
    messages: u64,
    /// Handed in while the destination was out.
    at_out: u64,
    /// Not delivered, of all messages, and of those whose destination was well throughout their lifetime.
    failed: u64,
    well: u64,
    well_failed: u64,
    well_late: u64,
    attempts: u64,
    wasted: u64,
    held: Time,
    held_by_out: Time,
    capacity: f64,
    outages: usize,
    suspected: Vec<f64>,
    known: Vec<f64>,
    deciding_s: f64,
    turns: u64,
}

impl Totals {
    fn add_day(&mut self, scenario: &Scenario, seed: u64, oracle: bool) {
        assert_eq!(check::faults(scenario), [], "the scenario is invalid");
        let mut day = Day::draw(scenario, seed);
        day.settings.couriers = COURIERS;
        let seen = Arc::new(Mutex::new(Observations::new(&day)));
        let watched = seen.clone();
        let factory = move |courier: usize, set: Settings| -> Box<dyn Decider> {
            let inner: Box<dyn Decider> =
                if oracle { Box::new(Oracle::new(set, courier)) } else { control(courier, set) };
            Box::new(ObservedDecider { inner, seen: watched.clone() })
        };
        let day = Rc::new(day);
        let ended = World::new(day.clone(), &factory, Options::default()).run();
        let seen = seen.lock().expect("a courier's turn panicked");
        for mail in &ended.mails {
            let outages = || seen.outages_of(mail.destination as usize);
            let failed = mail.relayed_at.is_none();
            self.messages += 1;
            self.failed += u64::from(failed);
            self.at_out += u64::from(outages().any(|o| (o.from..o.until).contains(&mail.created_at)));
            if outages().all(|outage| {
                outage.overlap(mail.created_at.saturating_sub(600 * SECOND), mail.deadline) == 0
            }) {
                self.well += 1;
                self.well_failed += u64::from(failed);
                self.well_late += u64::from(mail.relayed_at.is_some_and(|at| at > mail.target));
            }
        }
        self.attempts += seen.attempts;
        self.wasted += seen.wasted;
        self.held += seen.held;
        self.held_by_out += seen.held_by_out;
        self.capacity += day.settings.slots as f64 * day.length as f64;
        self.outages += seen.outages.len();
        let seconds = |time: Time| time as f64 / SECOND as f64;
        self.suspected.extend(seen.outages.iter().filter_map(|outage| outage.suspected.map(seconds)));
        self.known.extend(seen.outages.iter().filter_map(|outage| outage.known.map(seconds)));
        self.deciding_s += seen.deciding_s;
        self.turns += ended.counts.turns;
    }
}

fn median(values: &mut [f64]) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(f64::NAN)
}

/// A figure's name, its unit, and its value at each size.
type Points = (String, &'static str, Vec<(f64, f64)>);

/// Fits a line and a power law, and returns the one with the smaller relative error (root mean square): its
/// kind, slope, intercept or exponent, and that error.
fn fit(points: &[(f64, f64)]) -> (&'static str, f64, f64, f64) {
    let line = |points: &[(f64, f64)]| {
        let n = points.len() as f64;
        let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / n;
        let (mx, my) = (mean(|p| p.0), mean(|p| p.1));
        let over: f64 = points.iter().map(|p| (p.0 - mx).powi(2)).sum();
        let slope = points.iter().map(|p| (p.0 - mx) * (p.1 - my)).sum::<f64>() / over;
        (slope, my - slope * mx)
    };
    let unexplained = |law: &dyn Fn(f64) -> f64| {
        let squares = points.iter().map(|&(x, y)| ((law(x) - y) / y).powi(2)).sum::<f64>();
        (squares / points.len() as f64).sqrt()
    };
    let (slope, intercept) = line(points);
    let linear = unexplained(&|x| slope * x + intercept);
    let logs: Vec<_> = points.iter().map(|&(x, y)| (x.ln(), y.ln())).collect();
    let (exponent, scale) = line(&logs);
    let power = unexplained(&|x| scale.exp() * x.powf(exponent));
    if power < linear {
        ("power", scale.exp(), exponent, power)
    } else {
        ("linear", slope, intercept, linear)
    }
}

#[test]
fn one_second_between_calls_is_enough_to_learn_of_each_outage() {
    for what in [What::Crash, What::Hang] {
        let scenario = rarely_called(RATE, 1.0, Some(what), false, 1);
        let (mut present, mut oracle) = (Totals::default(), Totals::default());
        present.add_day(&scenario, 1, false);
        oracle.add_day(&scenario, 1, true);
        assert!(present.outages > 0 && present.at_out > 0, "no destination was out");
        assert_eq!((present.messages, present.at_out), (oracle.messages, oracle.at_out));
        assert_eq!(present.known.len(), present.outages, "{what:?}");
        assert!(median(&mut present.known) < OUTAGE_S.0, "{what:?}: {:?}", present.known);
        assert!(present.wasted > 0 && present.held_by_out > 0, "{what:?}");
        // The oracle sees an outage only once it has begun, so calls already on their way are lost there too.
        assert!(oracle.wasted <= oracle.outages as u64, "{what:?}: {}", oracle.wasted);
        let out: usize = scenario.trouble.len();
        assert_eq!(out, present.outages);
    }
}

#[test]
#[ignore = "minutes in a release build; prints figures"]
fn what_a_courier_learns_of_a_destination_that_it_seldom_calls() {
    let mut of: Vec<Points> = Vec::new();
    println!(
        "s between calls | fault | lives | decides | messages | at out | attempts wasted | slots held by out | \
         failed | failed at well | late at well | outages | doubted | known | s until doubted | s until known | \
         us a message | us a turn"
    );
    for (what, fault) in [(Some(What::Crash), "refused"), (Some(What::Hang), "hung"), (None, "none")] {
        for (long, lives) in [(false, "seconds"), (true, "an hour")] {
            for (between_s, seeds) in SIZES {
                for oracle in [false, true] {
                    let mut line = Totals::default();
                    for seed in 0..seeds {
                        line.add_day(&rarely_called(RATE, between_s, what, long, seed), seed, oracle);
                    }
                    let part = |part: u64, whole: u64| part as f64 / whole.max(1) as f64;
                    let wasted = part(line.wasted, line.attempts);
                    let held = line.held_by_out as f64 / line.capacity;
                    let (suspected, known) = (line.suspected.len(), line.known.len());
                    let of_outages = |many: usize| many as f64 / line.outages.max(1) as f64;
                    let until = (median(&mut line.suspected), median(&mut line.known));
                    let us = line.deciding_s / line.messages as f64 * 1e6;
                    let turn_s = line.deciding_s / line.turns as f64;
                    let name = if oracle { "oracle" } else { "present" };
                    println!(
                        "{between_s} | {fault} | {lives} | {name} | {} | {:.4} | {wasted:.4} | {held:.4} | {:.4} | \
                         {:.4} | {:.4} | {} | {:.3} | {:.3} | {:.1} | {:.1} | {us:.1} | {:.1}",
                        line.messages,
                        part(line.at_out, line.messages),
                        part(line.failed, line.messages),
                        part(line.well_failed, line.well),
                        part(line.well_late, line.well),
                        line.outages,
                        of_outages(suspected),
                        of_outages(known),
                        until.0,
                        until.1,
                        turn_s * 1e6,
                    );
                    if oracle || long || what.is_none() {
                        continue;
                    }
                    let mut note = |name: String, unit, size: f64, value: f64| match of
                        .iter_mut()
                        .find(|known| known.0 == name)
                    {
                        Some((_, _, points)) => points.push((size, value)),
                        None => of.push((name, unit, vec![(size, value)])),
                    };
                    note(format!("thin-{fault}-wasted"), "of all attempts", between_s, wasted);
                    note(format!("thin-{fault}-slots"), "of all slots", between_s, held);
                    note(
                        format!("thin-{fault}-unknown"),
                        "of all outages",
                        between_s,
                        1.0 - of_outages(known),
                    );
                    note(format!("thin-{fault}-known-s"), "s", between_s, until.1);
                    note(format!("thin-{fault}-deciding"), "s a message", RATE * between_s, us / 1e6);
                    note(format!("thin-{fault}-turn"), "s a turn", RATE * between_s, turn_s);
                }
            }
        }
    }
    let slopes: Vec<_> = of
        .iter()
        .filter(|(_, _, points)| points.len() > 2 && points.iter().all(|p| p.1 > 0.0))
        .map(|(name, unit, points)| {
            let (kind, slope, second, residual) = fit(points);
            println!("{name}: {kind} {slope} {second}, unexplained {residual}");
            let named = if kind == "power" { "exponent" } else { "intercept" };
            let largest = points.iter().map(|p| p.0).fold(0.0, f64::max);
            let points: Vec<_> =
                points.iter().map(|p| serde_json::json!({"size": p.0, "value": p.1})).collect();
            serde_json::json!({
                "name": name,
                "unit": unit,
                "command": COMMAND,
                "points": points,
                "fit": {"kind": kind, "slope": slope, named: second, "residual": residual},
                "largest": largest,
                "stopped_by": if largest > SIZES[3].0 { "time: a longer run" } else { "" },
            })
        })
        .collect();
    if let Ok(file) = std::env::var(SLOPES) {
        let text = serde_json::to_string_pretty(&slopes).expect("the slopes cannot be written as JSON");
        std::fs::write(&file, text + "\n").unwrap_or_else(|error| panic!("{file}: {error}"));
    }
}

#[test]
#[ignore = "a minute in a release build; prints figures"]
fn a_slice_four_times_as_large_says_the_same() {
    println!("messages a second | attempts wasted | slots held by out | failed | failed at well");
    let parts: Vec<[f64; 4]> = [RATE, 4.0 * RATE]
        .into_iter()
        .map(|rate| {
            let mut line = Totals::default();
            for seed in 0..2 {
                line.add_day(&rarely_called(rate, 100.0, Some(What::Hang), false, seed), seed, false);
            }
            let part = |part: u64, whole: u64| part as f64 / whole as f64;
            let parts = [
                part(line.wasted, line.attempts),
                line.held_by_out as f64 / line.capacity,
                part(line.failed, line.messages),
                part(line.well_failed, line.well),
            ];
            println!("{rate} | {:.4} | {:.4} | {:.4} | {:.4}", parts[0], parts[1], parts[2], parts[3]);
            parts
        })
        .collect();
    // Failures at well destinations come from full slots. The larger slice has more slots and so fewer such
    // failures, which is why that figure is not compared.
    for (small, large) in parts[0].iter().zip(parts[1]).take(3) {
        assert!((small / large).ln().abs() < 1.5f64.ln(), "{small} and {large}");
    }
}
