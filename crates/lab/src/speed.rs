//! How fast days are simulated, by size, with the deciders' own share of the time and the memory that it took.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use meadowhold::interface::{Action, Input, Time};
use meadowhold_emulator::decider::{control, Decider, WorldView};
use meadowhold_emulator::figures::Figures;
use meadowhold_emulator::run;
use meadowhold_emulator::scenario::{Figure, Scenario};
use meadowhold_emulator::world::Options;

/// A size: couriers, partners (about two and a half endpoints each), mails a second at full load, seconds.
pub const SIZES: [(&str, f64, f64, f64, f64); 4] = [
    ("3x30", 3.0, 12.0, 100.0, 300.0),
    ("200x1000", 200.0, 400.0, 4_000.0, 20.0),
    ("1000x10000", 1_000.0, 4_000.0, 20_000.0, 3.0),
    ("2000x20000", 2_000.0, 8_000.0, 40_000.0, 3.0),
];

pub struct Speed {
    pub figures: Figures,
    pub took: Duration,
    /// Time that the deciders spent of it.
    pub deciding: Duration,
    /// Most memory that the process has held so far, in MiB; nothing where the system does not tell.
    pub peak_mib: Option<u64>,
}

/// Counts the time that its decider takes; a look at the clock costs some 25 ns twice a turn.
struct Timed {
    inner: Box<dyn Decider>,
    /// Nanoseconds; added to `SPENT` at the end.
    spent: u64,
}

static SPENT: AtomicU64 = AtomicU64::new(0);

impl Decider for Timed {
    fn step(
        &mut self,
        now: Time,
        inputs: &[Input],
        out: &mut Vec<Action>,
        sight: &dyn WorldView,
    ) -> Option<Time> {
        let begun = Instant::now();
        let next = self.inner.step(now, inputs, out, sight);
        self.spent += begun.elapsed().as_nanos() as u64;
        next
    }

    fn may_call(&self, endpoint: usize, now: Time) -> bool {
        self.inner.may_call(endpoint, now)
    }
}

impl Drop for Timed {
    fn drop(&mut self) {
        SPENT.fetch_add(self.spent, Ordering::Relaxed);
    }
}

pub fn scenario(couriers: f64, partners: f64, rate: f64, seconds: f64) -> Scenario {
    let one = Figure::One;
    let mut s = Scenario {
        couriers: one(couriers),
        partners: one(partners),
        seconds: one(seconds),
        ..Scenario::default()
    };
    (s.mails.full_rate, s.mails.load) = (one(rate), one(0.6));
    s
}

pub fn measure(scenario: &Scenario, seed: u64) -> Speed {
    SPENT.store(0, Ordering::Relaxed);
    let begun = Instant::now();
    let maker = |courier: usize, set| -> Box<dyn Decider> {
        Box::new(Timed { inner: control(courier, set), spent: 0 })
    };
    let ended = run(scenario, seed, &maker, Options::default());
    let took = begun.elapsed();
    let figures = Figures::of(&ended);
    Speed {
        figures,
        took,
        deciding: Duration::from_nanos(SPENT.load(Ordering::Relaxed)),
        peak_mib: peak_mib(),
    }
}

/// The process's high-water mark, as Linux tells it (proc(5), `VmHWM`).
fn peak_mib() -> Option<u64> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find(|line| line.starts_with("VmHWM:"))?;
    line.split_whitespace().nth(1)?.parse::<u64>().ok().map(|kib| kib / 1024)
}
