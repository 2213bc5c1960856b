//! Watches the process itself: how late the event loop runs, and how much memory it uses of its limit. A process that the
//! system ends says nothing afterwards, so this is logged before.

use std::fs;
use std::time::Duration;

use tokio::time::{sleep, Instant};

use crate::exchange::Shared;

const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// A delay of the event loop from which on it is logged.
const LONG_DELAY: Duration = Duration::from_millis(50);
/// Memory is read at every so manieth check.
const CHECKS_BETWEEN_MEMORY: u32 = 10;
/// Parts of the memory limit, in percent, at each of which one line is logged.
const MEMORY_STEPS: [u64; 3] = [50, 75, 90];

/// Delays of the event loop, and memory, for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProcessCounts {
    /// Checks that ran later than they were due, by the delay: under 5 ms, 20 ms, 50 ms, 200 ms, and longer.
    pub delays: [u64; 5],
    pub longest_delay_ms: u64,
    /// The largest resident memory that was seen, in KiB.
    pub peak_memory_kib: u64,
}

impl ProcessCounts {
    fn add_delay(&mut self, delay: Duration) {
        let bounds_ms = [5, 20, 50, 200];
        let place = bounds_ms.iter().position(|&bound| delay < Duration::from_millis(bound));
        self.delays[place.unwrap_or(bounds_ms.len())] += 1;
        self.longest_delay_ms = self.longest_delay_ms.max(delay.as_millis() as u64);
    }
}

/// Resident memory in bytes, if the system tells it.
fn resident_memory() -> Option<u64> {
    let text = fs::read_to_string("/proc/self/status").ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kibibytes: u64 = line.trim().strip_suffix(" kB")?.parse().ok()?;
    Some(kibibytes << 10)
}

/// Checks for as long as the process runs. `limit`: its memory limit in bytes.
pub async fn run(shared: Shared, limit: u64) {
    let mut steps_reached = 0;
    let mut checks = 0;
    loop {
        let due = Instant::now() + CHECK_INTERVAL;
        sleep(CHECK_INTERVAL).await;
        let delay = Instant::now().saturating_duration_since(due);
        if delay >= LONG_DELAY {
            log::info!("the event loop ran {} ms late", delay.as_millis());
        }
        shared.borrow_mut().counts.process.add_delay(delay);
        checks += 1;
        if checks % CHECKS_BETWEEN_MEMORY == 0 {
            let Some(resident) = resident_memory() else { continue };
            steps_reached = log_memory(&shared, resident, limit, steps_reached);
        }
    }
}

/// Logs each step of the limit that was not reached before, and returns how many are.
fn log_memory(shared: &Shared, resident: u64, limit: u64, reached_before: usize) -> usize {
    let mut exchange = shared.borrow_mut();
    let peak = &mut exchange.counts.process.peak_memory_kib;
    *peak = (*peak).max(resident >> 10);
    let reached = MEMORY_STEPS.iter().filter(|&&step| resident >= limit / 100 * step).count();
    if reached > reached_before {
        let (used, limit) = (resident as f64 / 1e6, limit as f64 / 1e6);
        let (in_hand, clients) = (exchange.in_hand(), exchange.counts.clients);
        log::warn!(
            "{used:.1} MB of {limit:.1} MB are used (limits.memory_mb); {in_hand} mails in hand, {clients:?}"
        );
    }
    reached.max(reached_before)
}
