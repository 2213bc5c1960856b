//! A scale day: a TOML file with the size of a fleet, its distribution over processes, zones, regions and racks, its
//! load, and its troubles (injected faults). All errors of a file are reported at once, as are all resources that the
//! machine lacks.

use std::ops::Range;

use serde::{Deserialize, Serialize};

use crate::day::{self, Fault};

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Day {
    /// The purpose of the day, in one sentence.
    pub about: String,
    /// The number of all couriers; `real` of them run as real processes, the others are hollow.
    pub couriers: usize,
    pub real: usize,
    /// Maximum number of courier processes: one for each real courier, the others shared by the hollow couriers.
    pub processes: usize,
    pub zones: usize,
    pub regions: usize,
    pub racks: usize,
    /// The number of couriers that take part in membership, real ones first; all if not set.
    pub members: Option<usize>,
    /// Seconds between the first starts of consecutive processes. If all join at once on one machine, none is scheduled
    /// within the time after which the others consider it down.
    pub start_gap_s: f64,
    /// The number of destinations in the list. Each has one endpoint, except for those of `live`, which have
    /// `live.each`.
    pub destinations: usize,
    /// Changes of the list per minute, in all phases except for the one at rest.
    pub changes_per_minute: f64,
    /// Durations in seconds: from when all couriers have the list until the first measurement (`warm_s`), at rest
    /// without changes, with changes and no trouble, and after each trouble.
    pub warm_s: f64,
    pub rest_s: f64,
    pub changes_s: f64,
    pub after_s: f64,
    /// Time limit in seconds for the mails that are still open at the end.
    pub settle_s: f64,
    pub messages: day::Mails,
    /// The running endpoints, which the real couriers call.
    pub live: day::Endpoints,
    pub courier: day::Courier,
    /// `limits.list_entries` of each courier; the courier's default if not set.
    pub list_entries: Option<usize>,
    pub source: Source,
    pub relays: Relays,
    pub rules: Rules,
    /// Couriers with a simulated defect, to test the checks of the run.
    pub wrong: Vec<DefectiveCourier>,
    pub trouble: Vec<Trouble>,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Source {
    pub mode: Mode,
    pub lists: Lists,
}

/// The couriers' setting for how lists reach them (`MembershipMode`).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Lists {
    /// From a local agent: after a failure, couriers request the whole list at once.
    #[default]
    Pushed,
    /// Requests are costly: pauses between them grow, and a watch resumes from the version that the courier has.
    Asked,
}

/// Relays between the source and the couriers, each in its own process; without relays, couriers ask the source.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Relays {
    pub count: usize,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mode {
    /// A watch sends only the changes.
    #[default]
    Watch,
    /// Each change is sent as the whole list.
    Untouched,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rules {
    /// Seconds within which a change must be in force at each courier, counted from the end of its trouble if it had
    /// one.
    pub in_force_s: f64,
    /// Seconds within which all couriers must have the first list.
    pub start_s: f64,
    /// Seconds within which the list in force must be stored.
    pub on_file_s: f64,
    /// As in the rules of a rig day (`docs/rig.md`).
    pub late_ms: u64,
    pub ready_ms: u64,
    pub window_s: f64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DefectiveCourier {
    /// The number of a hollow courier, counted among all couriers.
    pub courier: usize,
    pub how: Defect,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Defect {
    /// Reports a change in force but keeps the old entries.
    HoldsOld,
    /// Reports the next version in force before it exists.
    TooEarly,
    /// Applies all changes and reports nothing.
    Mute,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Trouble {
    pub what: Option<What>,
    /// The number of the zone, rack, region, process or relay; unused by `source`.
    pub which: usize,
    pub for_s: f64,
    /// For slow links: delay in milliseconds of each piece of data.
    pub delay_ms: u64,
}

impl Default for Trouble {
    fn default() -> Trouble {
        Trouble { what: None, which: 0, for_s: 5.0, delay_ms: 200 }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum What {
    /// SIGKILL to all processes of a zone or rack; they are restarted after `for_s`.
    Zone,
    Rack,
    /// The links between a region's processes and the source are cut.
    Region,
    /// One process gets SIGKILL and is restarted, or gets SIGSTOP and then SIGCONT.
    Kill,
    Stop,
    /// The link of one process to the source is slow, or passes no data.
    Slow,
    Silent,
    /// The source is unreachable for all: connections are refused and reset.
    Source,
    /// One relay gets SIGKILL and is restarted, or gets SIGSTOP and then SIGCONT. No courier counts as affected: its
    /// followers must get each change in time from another relay.
    Relay,
    RelayStop,
}

impl What {
    pub fn name(self) -> &'static str {
        match self {
            What::Zone => "zone",
            What::Rack => "rack",
            What::Region => "region",
            What::Kill => "kill",
            What::Stop => "stop",
            What::Slow => "slow",
            What::Silent => "silent",
            What::Source => "source",
            What::Relay => "relay",
            What::RelayStop => "relay-stop",
        }
    }
}

impl Default for Day {
    fn default() -> Day {
        Day {
            about: String::new(),
            couriers: 1300,
            real: 20,
            processes: 40,
            zones: 6,
            regions: 2,
            racks: 10,
            members: None,
            start_gap_s: 1.5,
            destinations: 8000,
            changes_per_minute: 6.0,
            warm_s: 20.0,
            rest_s: 20.0,
            changes_s: 60.0,
            after_s: 5.0,
            settle_s: 25.0,
            messages: day::Mails { rate: 40.0, clients: 1, ..day::Mails::default() },
            live: day::Endpoints { destinations: 4, ..day::Endpoints::default() },
            courier: day::Courier::default(),
            list_entries: None,
            source: Source::default(),
            relays: Relays::default(),
            rules: Rules::default(),
            wrong: Vec::new(),
            trouble: Vec::new(),
        }
    }
}

impl Default for Rules {
    fn default() -> Rules {
        Rules {
            in_force_s: 7.0,
            start_s: 120.0,
            on_file_s: 10.0,
            late_ms: 3000,
            ready_ms: 15_000,
            window_s: 8.0,
        }
    }
}

/// A courier process and its location; processes are numbered, those of real couriers first.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    pub real: bool,
    pub couriers: Range<usize>,
    pub zone: usize,
    pub region: usize,
    pub rack: usize,
}

/// The resources of the machine.
#[derive(Clone, Copy, Debug)]
pub struct Machine {
    /// Bytes of memory, and free bytes of the file system that holds the folders.
    pub memory: u64,
    pub disk: u64,
    /// Whether that file system is in memory, so that files use memory too.
    pub disk_in_memory: bool,
    /// The limit on file descriptors per process.
    pub descriptors: u64,
}

/// A run is aborted if there are more than this many runnable threads per processor for more than `MAX_OVERLOAD_S`
/// consecutive seconds, so that it does not starve other processes on the machine.
pub const MAX_RUNNABLE_PER_CORE: u64 = 12;
pub const MAX_OVERLOAD_S: u32 = 6;

/// Maximum number of processes of a run, including the run itself and the guard.
pub const MAX_PROCESSES: usize = 200;
/// Estimated bytes: of a list entry in a courier's memory, in its file and in a relay's memory; of a member; and of a
/// hollow courier, a real courier and a relay without entries. They are above the measured values (`docs/scale.md`),
/// because they decide whether a run may be started.
const ENTRY_MEMORY: u64 = 300;
const ENTRY_DISK: u64 = 110;
const ENTRY_RELAY_MEMORY: u64 = 2000;
const MEMBER_MEMORY: u64 = 500;
const HOLLOW_MEMORY: u64 = 600_000;
const REAL_MEMORY: u64 = 16_000_000;
const RELAY_MEMORY: u64 = 24_000_000;
/// Maximum number of relays of a run; each courier process has a link to each relay.
pub const MAX_RELAYS: usize = 16;
/// File descriptors for each courier, in its own process or in the run's process, where its link has four ends. With
/// relays (`DESCRIPTORS_WITH_RELAYS`) there is a request beside each watch, and at times an attempt at another relay.
const DESCRIPTORS_PER_COURIER: usize = 6;
const DESCRIPTORS_WITH_RELAYS: usize = 10;

impl Day {
    /// Parses a day from TOML.
    ///
    /// # Errors
    /// All errors that can be found at once, each with its line and key.
    pub fn read(text: &str) -> Result<Day, Vec<Fault>> {
        day::read(text, Day::faults)
    }

    pub fn hollow(&self) -> usize {
        self.couriers.saturating_sub(self.real)
    }

    pub fn members(&self) -> usize {
        self.members.unwrap_or(self.couriers)
    }

    /// The number of entries of the list.
    pub fn entries(&self) -> usize {
        self.destinations + self.live.destinations * self.live.each.saturating_sub(1)
    }

    /// The size limit of a courier's folder in MB; the stored list may use a fraction of it.
    pub fn disk_mb(&self) -> f64 {
        let part = meadowhold_courier::memory::SHARE_PERCENT as f64 / 100.0;
        self.courier.disk_mb.max(self.entries() as f64 * ENTRY_DISK as f64 / part / 1e6 + 1.0)
    }

    pub fn region_of(&self, zone: usize) -> usize {
        zone % self.regions.max(1)
    }

    /// The courier processes. Hollow couriers are distributed evenly, and each process is in one zone.
    pub fn places(&self) -> Vec<Place> {
        let (shared, hollow) = (self.processes.saturating_sub(self.real), self.hollow());
        let shared = shared.min(hollow);
        let place = |number: usize, real, couriers| {
            let zone = number % self.zones.max(1);
            let rack = number % self.racks.max(1);
            Place { real, couriers, zone, region: self.region_of(zone), rack }
        };
        let mut places: Vec<Place> = (0..self.real).map(|i| place(i, true, i..i + 1)).collect();
        for i in 0..shared {
            let bound = |i: usize| self.real + i * hollow / shared;
            places.push(place(self.real + i, false, bound(i)..bound(i + 1)));
        }
        places
    }

    /// The numbers of the courier processes that a trouble affects.
    pub fn affected_processes(&self, trouble: &Trouble) -> Vec<usize> {
        let places = self.places();
        let hit = |(number, place): (usize, &Place)| {
            let hit = match trouble.what? {
                What::Zone => place.zone == trouble.which,
                What::Rack => place.rack == trouble.which,
                What::Region => place.region == trouble.which,
                What::Source => true,
                What::Relay | What::RelayStop => false,
                What::Kill | What::Stop | What::Slow | What::Silent => number == trouble.which,
            };
            hit.then_some(number)
        };
        places.iter().enumerate().filter_map(hit).collect()
    }

    fn affects_something(&self, trouble: &Trouble) -> bool {
        match trouble.what {
            Some(What::Relay | What::RelayStop) => trouble.which < self.relays.count,
            _ => !self.affected_processes(trouble).is_empty(),
        }
    }

    /// Estimated memory of all couriers and relays, in bytes.
    pub fn memory(&self) -> u64 {
        let (entries, members) = (self.entries() as u64, self.members() as u64);
        let each = entries * ENTRY_MEMORY + members * MEMBER_MEMORY;
        let relays = self.relays.count as u64 * (RELAY_MEMORY + entries * ENTRY_RELAY_MEMORY);
        self.hollow() as u64 * (HOLLOW_MEMORY + each) + self.real as u64 * (REAL_MEMORY + 2 * each) + relays
    }

    /// The resources that this machine lacks for the day; to be checked before anything is started.
    pub fn missing_resources(&self, machine: &Machine) -> Vec<Fault> {
        let mut faults = Vec::new();
        let mut most = |key: &str, what: &str, value: u64, most: u64| {
            if value > most {
                let words = format!("{what}: {value} where {most} may be had");
                faults.push(Fault { line: 0, key: key.to_string(), words });
            }
        };
        let mb = 1_000_000;
        // At any time about one file in twenty is rewritten, which needs room for both the old and the new file.
        let filed = self.couriers as u64 * self.entries() as u64 * ENTRY_DISK * 21 / 20;
        let memory = self.memory() + if machine.disk_in_memory { filed } else { 0 };
        let words = "MB of memory, half of the machine's at most";
        most("couriers", words, memory / mb, machine.memory / 2 / mb);
        most("destinations", "MB on disk, half of what is free at most", filed / mb, machine.disk / 2 / mb);
        let each = if self.relays.count > 0 { DESCRIPTORS_WITH_RELAYS } else { DESCRIPTORS_PER_COURIER };
        let largest = self.places().iter().map(|place| place.couriers.len()).max().unwrap_or(0);
        let needed = (each * largest.max(self.couriers) + 256) as u64;
        most("couriers", "descriptors of a process", needed, machine.descriptors);
        faults
    }

    /// The invalid values of the day, by key.
    pub fn faults(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        let mut fault =
            |key: &str, words: String| faults.push(Fault { line: 0, key: key.to_string(), words });
        let mut bound = |key: &str, value: f64, low: f64, high: f64| {
            if !(low..=high).contains(&value) {
                fault(key, format!("{value} is out of bounds; give {low} to {high}"));
            }
        };
        let most = meadowhold_courier::members::MAX_MEMBERS.min(2000);
        bound("couriers", self.couriers as f64, 1.0, most as f64);
        bound("real", self.real as f64, 1.0, self.couriers.clamp(1, 150) as f64);
        // Hollow couriers need at least one process more than the real ones; the run and its guard count as well.
        let least = self.real + usize::from(self.hollow() > 0);
        bound("relays.count", self.relays.count as f64, 0.0, MAX_RELAYS as f64);
        let left = (MAX_PROCESSES - 2).saturating_sub(self.relays.count.min(MAX_RELAYS));
        bound("processes", self.processes as f64, least as f64, left as f64);
        bound("members", self.members() as f64, 0.0, self.couriers as f64);
        bound("start_gap_s", self.start_gap_s, 0.0, 60.0);
        bound("zones", self.zones as f64, 1.0, 100.0);
        bound("regions", self.regions as f64, 1.0, self.zones.max(1) as f64);
        bound("racks", self.racks as f64, 1.0, 200.0);
        bound("destinations", self.destinations as f64, self.live.destinations as f64, 1_000_000.0);
        bound("changes_per_minute", self.changes_per_minute, 0.0, 6000.0);
        for (key, value, most) in [
            ("warm_s", self.warm_s, 600.0),
            ("rest_s", self.rest_s, 3600.0),
            ("changes_s", self.changes_s, 3600.0),
            ("after_s", self.after_s, 600.0),
            ("settle_s", self.settle_s, 600.0),
            ("rules.in_force_s", self.rules.in_force_s, 600.0),
            ("rules.start_s", self.rules.start_s, 1200.0),
            ("rules.on_file_s", self.rules.on_file_s, 600.0),
            ("rules.window_s", self.rules.window_s, 3600.0),
        ] {
            bound(key, value, 0.0, most);
        }
        let m = &self.messages;
        bound("messages.rate", m.rate, 0.1, 5000.0);
        bound("messages.clients", m.clients as f64, 1.0, 32.0);
        bound("messages.time_ms", m.time_ms[0] as f64, 100.0, m.time_ms[1] as f64);
        bound("messages.body", m.body as f64, 0.0, 60_000.0);
        bound("messages.keys", m.keys as f64, 1.0, 1000.0);
        for (key, part) in [("again", m.again), ("tagged", m.tagged), ("once", m.once), ("turns", m.turns)] {
            bound(&format!("messages.{key}"), part, 0.0, 1.0);
        }
        bound("messages.again + tagged + once + turns", m.again + m.tagged + m.once + m.turns, 0.01, 4.0);
        let e = &self.live;
        bound("live.destinations", e.destinations as f64, 1.0, 50.0);
        bound("live.each", e.each as f64, 1.0, 50.0);
        bound("live.destinations x each x real", (e.destinations * e.each * self.real) as f64, 1.0, 2000.0);
        bound("live.rate", e.rate, 0.1, 10_000.0);
        bound("live.slots", e.slots as f64, 1.0, 10_000.0);
        bound("live.batch", e.batch as f64, 1.0, 64.0);
        bound("live.serve_ms", e.serve_ms[0] as f64, 0.0, e.serve_ms[1] as f64);
        bound("live.errors", e.errors, 0.0, 1.0);
        bound("courier.slots", self.courier.slots as f64, 1.0, 1000.0);
        bound("courier.room", self.courier.room as f64, 1.0, 100_000.0);
        bound("courier.sockets", self.courier.sockets as f64, 64.0, 4096.0);
        bound("courier.disk_mb", self.courier.disk_mb, 0.005, 1000.0);
        for (i, wrong) in self.wrong.iter().enumerate() {
            let last = self.couriers.saturating_sub(1) as f64;
            bound(&format!("wrong.{i}.courier"), wrong.courier as f64, self.real as f64, last);
        }
        for (i, t) in self.trouble.iter().enumerate() {
            bound(&format!("trouble.{i}.for_s"), t.for_s, 0.0, 600.0);
            bound(&format!("trouble.{i}.delay_ms"), t.delay_ms as f64, 0.0, 60_000.0);
        }
        for (i, t) in self.trouble.iter().enumerate() {
            if t.what.is_none() {
                let words = "is not set; give zone, rack, region, kill, stop, slow, silent, source, relay or relay-stop";
                fault(&format!("trouble.{i}.what"), words.to_string());
            } else if !self.affects_something(t) {
                fault(&format!("trouble.{i}.which"), format!("there is nothing in {}", t.which));
            }
        }
        faults
    }

    /// The same day with another number of couriers, and the same number of hollow couriers per process.
    pub fn at(&self, couriers: usize) -> Day {
        let shared = self.processes.saturating_sub(self.real).max(1);
        let each = self.hollow().div_ceil(shared).max(1);
        let real = self.real.min(couriers);
        let processes = real + (couriers - real).div_ceil(each);
        Day { couriers, real, processes, members: self.members.map(|m| m.min(couriers)), ..self.clone() }
    }

    /// The equivalent rig day of the real couriers alone, for the judge of mails.
    pub fn mail_day(&self, seconds: f64) -> day::Day {
        day::Day {
            about: self.about.clone(),
            seconds,
            couriers: self.real,
            settle_s: self.settle_s,
            mails: self.messages.clone(),
            endpoints: self.live.clone(),
            courier: day::Courier { disk_mb: self.disk_mb(), ..self.courier.clone() },
            // Without peers this setting only permits membership, which is all that is needed here.
            notes: day::Notes { told: true, ..day::Notes::default() },
            rules: day::Rules {
                late_ms: self.rules.late_ms,
                ready_ms: self.rules.ready_ms,
                window_s: self.rules.window_s,
                ..day::Rules::default()
            },
            ..day::Day::default()
        }
    }
}
