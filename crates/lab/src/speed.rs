//! Measures how fast days of several sizes are simulated, the share of the time spent in deciders, and peak memory.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use meadowhold::interface::{Action, Input, Time};
use meadowhold_emulator::decider::{control, Decider, WorldView};
use meadowhold_emulator::figures::Figures;
use meadowhold_emulator::run;
use meadowhold_emulator::scenario::{Figure, Scenario};
use meadowhold_emulator::world::Options;

/// Name, couriers, destinations (about 2.5 endpoints each), mails per second at full load, and seconds.
pub const SIZES: [(&str, f64, f64, f64, f64); 4] = [
    ("3x30", 3.0, 12.0, 100.0, 300.0),
    ("200x1000", 200.0, 400.0, 4_000.0, 20.0),
    ("1000x10000", 1_000.0, 4_000.0, 20_000.0, 3.0),
    ("2000x20000", 2_000.0, 8_000.0, 40_000.0, 3.0),
];

pub struct Measurement {
    pub figures: Figures,
    pub took: Duration,
    /// The part of `took` that was spent in deciders.
    pub decider_time: Duration,
    /// Peak resident memory of the process so far, in MiB; `None` where the system does not report it.
    pub peak_mib: Option<u64>,
}

/// Measures the time spent in the wrapped decider. The two clock readings per turn cost about 25 ns each.
struct Timed {
    inner: Box<dyn Decider>,
    /// Added to `SPENT_NS` on drop.
    spent_ns: u64,
}

static SPENT_NS: AtomicU64 = AtomicU64::new(0);

impl Decider for Timed {
    fn step(
        &mut self,
        now: Time,
        inputs: &[Input],
        out: &mut Vec<Action>,
        sight: &dyn WorldView,
    ) -> Option<Time> {
        let started = Instant::now();
        let next = self.inner.step(now, inputs, out, sight);
        self.spent_ns += started.elapsed().as_nanos() as u64;
        next
    }

    fn may_call(&self, endpoint: usize, now: Time) -> bool {
        self.inner.may_call(endpoint, now)
    }
}

impl Drop for Timed {
    fn drop(&mut self) {
        SPENT_NS.fetch_add(self.spent_ns, Ordering::Relaxed);
    }
}

pub fn scenario_of_size(couriers: f64, partners: f64, rate: f64, seconds: f64) -> Scenario {
    let fixed = Figure::One;
    let mut s = Scenario {
        couriers: fixed(couriers),
        partners: fixed(partners),
        seconds: fixed(seconds),
        ..Scenario::default()
    };
    (s.mails.full_rate, s.mails.load) = (fixed(rate), fixed(0.6));
    s
}

pub fn measure(scenario: &Scenario, seed: u64) -> Measurement {
    SPENT_NS.store(0, Ordering::Relaxed);
    let started = Instant::now();
    let maker = |courier: usize, set| -> Box<dyn Decider> {
        Box::new(Timed { inner: control(courier, set), spent_ns: 0 })
    };
    let ended = run(scenario, seed, &maker, Options::default());
    let took = started.elapsed();
    let figures = Figures::of(&ended);
    Measurement {
        figures,
        took,
        decider_time: Duration::from_nanos(SPENT_NS.load(Ordering::Relaxed)),
        peak_mib: peak_mib(),
    }
}

/// Reads the peak resident set size of the process on Linux (`VmHWM` in proc(5)).
fn peak_mib() -> Option<u64> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find(|line| line.starts_with("VmHWM:"))?;
    line.split_whitespace().nth(1)?.parse::<u64>().ok().map(|kib| kib / 1024)
}
