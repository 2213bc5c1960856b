//! The decision module's clock: tenths of a millisecond since 1970 by the system time of the folder's first process. It
//! runs on the monotonic clock, also from one process to the next, so that deadlines, windows and waits on file stay in
//! real time when the system time is stepped.

use std::fs;
use std::io;
use std::path::Path;
use std::time::{Duration, Instant, SystemTime};

use meadowhold::interface::{Time, SECOND};
use rustix::time::{clock_gettime, ClockId};
use serde::{Deserialize, Serialize};

const FILE: &str = "clock.json";
const TEMPORARY_FILE: &str = "clock.new";
const BOOT_ID: &str = "/proc/sys/kernel/random/boot_id";
const MICROSECONDS_IN_TIME: u64 = 1_000_000 / SECOND;

/// What the system's clocks show.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reading {
    /// Names the boot since which the monotonic clock runs; empty if it is not known.
    pub boot_id: String,
    pub monotonic_us: u64,
    /// Since 1970.
    pub system_us: u64,
}

impl Reading {
    pub fn take() -> Reading {
        let monotonic = Duration::try_from(clock_gettime(ClockId::Monotonic)).unwrap_or_default();
        let system = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        Reading {
            boot_id: fs::read_to_string(BOOT_ID).map(|id| id.trim().to_string()).unwrap_or_default(),
            monotonic_us: monotonic.as_micros() as u64,
            system_us: system.as_micros() as u64,
        }
    }

    /// The time since an earlier reading, in microseconds: by the monotonic clock, or by the system time after a reboot.
    fn since(&self, earlier: &Reading) -> u64 {
        let is_same_boot = !self.boot_id.is_empty() && self.boot_id == earlier.boot_id;
        if is_same_boot && self.monotonic_us >= earlier.monotonic_us {
            self.monotonic_us - earlier.monotonic_us
        } else {
            self.system_us.saturating_sub(earlier.system_us)
        }
    }
}

/// The time of an earlier process, as it is on file.
#[derive(Serialize, Deserialize)]
struct SavedTime {
    reading: Reading,
    time: Time,
}

#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    base: Time,
    still: bool,
}

impl Clock {
    /// A clock that begins with the system time.
    pub fn new() -> Clock {
        Clock::starting_at(Reading::take().system_us / MICROSECONDS_IN_TIME)
    }

    /// A clock that goes on from that of the folder's earlier process, if there was one.
    pub fn resume(folder: &Path) -> Clock {
        Clock::resume_at(folder, &Reading::take())
    }

    /// The same at a given reading of the system's clocks.
    pub fn resume_at(folder: &Path, reading: &Reading) -> Clock {
        let bytes = fs::read(folder.join(FILE)).unwrap_or_default();
        let time = match serde_json::from_slice::<SavedTime>(&bytes) {
            Ok(saved) => saved.time + reading.since(&saved.reading) / MICROSECONDS_IN_TIME,
            Err(_) => reading.system_us / MICROSECONDS_IN_TIME,
        };
        Clock::starting_at(time)
    }

    fn starting_at(base: Time) -> Clock {
        Clock { start: Instant::now(), base, still: false }
    }

    /// A clock fixed at a time, for tests that advance time themselves.
    pub fn still(at: Time) -> Clock {
        Clock { start: Instant::now(), base: at, still: true }
    }

    pub fn now(&self) -> Time {
        self.base + if self.still { 0 } else { to_time(self.start.elapsed()) }
    }

    pub fn instant(&self, at: Time) -> Instant {
        self.start + to_duration(at.saturating_sub(self.base))
    }

    /// Saves the time for the folder's next process.
    ///
    /// # Errors
    /// If the folder cannot be written to. What was saved before stays.
    pub fn save(&self, folder: &Path) -> io::Result<()> {
        self.save_at(folder, Reading::take())
    }

    /// The same at a given reading of the system's clocks.
    ///
    /// # Errors
    /// As for `save`.
    pub fn save_at(&self, folder: &Path, reading: Reading) -> io::Result<()> {
        let saved = SavedTime { reading, time: self.now() };
        let temporary = folder.join(TEMPORARY_FILE);
        fs::write(&temporary, serde_json::to_vec(&saved)?)?;
        fs::rename(temporary, folder.join(FILE))
    }
}

impl Default for Clock {
    fn default() -> Self {
        Clock::new()
    }
}

/// Converts to the decision module's unit of a tenth of a millisecond.
pub fn to_time(duration: Duration) -> Time {
    (duration.as_micros() / u128::from(MICROSECONDS_IN_TIME)) as Time
}

pub fn to_duration(time: Time) -> Duration {
    Duration::from_micros(time.saturating_mul(MICROSECONDS_IN_TIME))
}
