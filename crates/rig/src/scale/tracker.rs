//! Records when each list version was created and sent and when each courier reported it in force, and checks the rules
//! on them. Has no clock and does no I/O: times are passed in, as microseconds since the start of the run.

use std::collections::BTreeMap;

use serde::Serialize;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// No courier reports a version in force that it was not sent.
    NotTooEarly,
    /// A change is in force at each courier within the time limit.
    InForceInTime,
    /// The stored list matches the source's list at the version that is reported in force.
    HoldsWhatItSays,
    /// Processes end only when requested, and log no faults.
    Sound,
}

impl Rule {
    pub const ALL: [(Rule, &'static str); 4] = [
        (Rule::NotTooEarly, "nothing in force before it was sent"),
        (Rule::InForceInTime, "changes in force in time"),
        (Rule::HoldsWhatItSays, "what is on file is what is in force"),
        (Rule::Sound, "processes sound"),
    ];
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Violation {
    pub rule: Rule,
    pub words: String,
}

#[derive(Clone, Debug, Default)]
struct Courier {
    process: usize,
    /// Versions reported in force, with the time, in order of arrival.
    reports: Vec<(u64, u64)>,
    /// The highest version in `reports`.
    highest: u64,
    /// End of its last trouble; `None` while a trouble affects it.
    trouble_end: Option<u64>,
}

#[derive(Clone, Debug, Default)]
pub struct VersionTracker {
    couriers: Vec<Courier>,
    /// Creation time of each version; the first version is 1.
    created: Vec<u64>,
    /// For each process, how many lists and changes of each version were sent to it.
    sent: Vec<BTreeMap<u64, u64>>,
    /// The highest version sent to each relay.
    relays: Vec<u64>,
    pub broken: Vec<Violation>,
}

/// How far one change has spread.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    pub version: u64,
    /// Microseconds until it was in force, ascending, at couriers without trouble since it was created.
    pub times: Vec<u64>,
    /// Couriers affected by a trouble, and couriers (of all) that have not reported it yet.
    pub befallen: usize,
    pub missing: usize,
}

impl VersionTracker {
    /// `processes`: the process number of each courier.
    pub fn new(processes: &[usize]) -> VersionTracker {
        let couriers =
            processes.iter().map(|&process| Courier { process, trouble_end: Some(0), ..Courier::default() });
        let many = processes.iter().max().map_or(0, |most| most + 1);
        let sent = vec![BTreeMap::new(); many];
        VersionTracker {
            couriers: couriers.collect(),
            created: Vec::new(),
            sent,
            relays: Vec::new(),
            broken: Vec::new(),
        }
    }

    /// Sets the number of relays between the source and the couriers.
    pub fn with_relays(self, relays: usize) -> VersionTracker {
        VersionTracker { relays: vec![0; relays], ..self }
    }

    /// Records a new version and returns its number.
    pub fn create_version(&mut self, at: u64) -> u64 {
        self.created.push(at);
        self.created.len() as u64
    }

    pub fn last(&self) -> u64 {
        self.created.len() as u64
    }

    /// Must be called before the first byte of the version is sent.
    pub fn record_sent(&mut self, process: usize, version: u64) {
        if let Some(sent) = self.sent.get_mut(process) {
            *sent.entry(version).or_default() += 1;
        }
    }

    /// Records that the source sends a version to a relay.
    pub fn record_sent_to_relay(&mut self, relay: usize, version: u64) {
        if let Some(most) = self.relays.get_mut(relay) {
            *most = version.max(*most);
        }
    }

    /// Records that a relay sends a version to a courier of a process; must be called before its first byte arrives.
    /// Detects a relay that invents versions: couriers that accept them would otherwise pass the checks.
    pub fn record_passed_on(&mut self, relay: usize, process: usize, version: u64) {
        let most = self.relays.get(relay).copied().unwrap_or(0);
        if version > most {
            let words = format!(
                "relay {relay} tells process {process} version {version}, and was told {most} at most"
            );
            self.broken.push(Violation { rule: Rule::NotTooEarly, words });
        }
        self.record_sent(process, version);
    }

    pub fn record_report(&mut self, courier: usize, version: u64, at: u64) {
        let Some(this) = self.couriers.get_mut(courier) else { return };
        this.reports.push((version, at));
        if version <= this.highest {
            return;
        }
        this.highest = version;
        let process = this.process;
        // The couriers of a process cannot be told apart by what was sent to them. Comparing the counts detects a
        // courier that reports a version which only another one was sent: no more couriers can hold it than it was sent
        // to.
        let say =
            self.couriers.iter().filter(|c| c.process == process && c.highest >= version).count() as u64;
        let sent: u64 = self.sent[process].range(version..).map(|(_, count)| count).sum();
        if say > sent || version > self.last() {
            let words = format!(
                "courier {courier} says at {:.3} s that version {version} is in force: {say} of its process do, and \
                 it was sent {sent} times",
                at as f64 / 1e6
            );
            self.broken.push(Violation { rule: Rule::NotTooEarly, words });
        }
    }

    /// Marks a courier as affected by a trouble from now on.
    pub fn start_trouble(&mut self, courier: usize) {
        self.couriers[courier].trouble_end = None;
    }

    pub fn end_trouble(&mut self, courier: usize, at: u64) {
        self.couriers[courier].trouble_end = Some(at);
    }

    /// The number of couriers that have not reported this version or a later one.
    pub fn missing(&self, version: u64) -> usize {
        self.couriers.iter().filter(|courier| courier.highest < version).count()
    }

    /// When a courier first reported this version or a later one, at or after `from`.
    fn first_report(&self, courier: usize, version: u64, from: u64) -> Option<u64> {
        let said = &self.couriers[courier].reports;
        said.iter().find(|&&(said, at)| said >= version && at >= from).map(|&(_, at)| at)
    }

    /// How far a version has spread so far.
    pub fn change(&self, version: u64) -> Change {
        let made = version.checked_sub(1).and_then(|i| self.created.get(i as usize)).copied().unwrap_or(0);
        let mut change = Change { version, times: Vec::new(), befallen: 0, missing: 0 };
        for (number, courier) in self.couriers.iter().enumerate() {
            let first = self.first_report(number, version, 0);
            change.missing += usize::from(first.is_none());
            match courier.trouble_end {
                Some(calm) if calm <= made => change.times.extend(first.map(|at| at.saturating_sub(made))),
                _ => change.befallen += 1,
            }
        }
        change.times.sort_unstable();
        change
    }

    /// Recovery time in microseconds: the longest time, over these couriers, from the end of a courier's trouble until
    /// it reported the version that was current at that moment, or a later one. `None` if one of them has not.
    pub fn recovery_time(&self, couriers: &[usize]) -> Option<u64> {
        let took = couriers.iter().map(|&number| {
            let calm = self.couriers[number].trouble_end?;
            let version = self.created.partition_point(|&made| made <= calm) as u64;
            Some(self.first_report(number, version, 0)?.saturating_sub(calm))
        });
        took.collect::<Option<Vec<u64>>>()?.into_iter().max()
    }

    /// Checks each of these versions against the time limit `most` in microseconds, counted from the version's creation
    /// or from the end of a courier's trouble. A version that is not yet due at `now` is no violation.
    pub fn check(&mut self, versions: std::ops::RangeInclusive<u64>, most: u64, now: u64) {
        for version in versions {
            let Some(&made) = version.checked_sub(1).and_then(|i| self.created.get(i as usize)) else {
                continue;
            };
            let (mut late, mut never, mut example) = (0, 0, 0);
            for (number, courier) in self.couriers.iter().enumerate() {
                let Some(calm) = courier.trouble_end else { continue };
                let due = made.max(calm) + most;
                match self.first_report(number, version, 0) {
                    Some(at) if at <= due => continue,
                    Some(_) => late += 1,
                    None if now <= due => continue,
                    None => never += 1,
                }
                example = number;
            }
            if late + never > 0 {
                let words = format!(
                    "version {version} is in force too late at {late} couriers and at {never} not at all, such as \
                     courier {example}"
                );
                self.broken.push(Violation { rule: Rule::InForceInTime, words });
            }
        }
    }

    pub fn breaks(&mut self, rule: Rule, words: String) {
        self.broken.push(Violation { rule, words });
    }
}

/// Percentile of an ascending list by the nearest-rank method; `part` is between 0 and 1.
pub fn percentile(sorted: &[u64], part: f64) -> Option<u64> {
    let rank = (part * sorted.len() as f64).ceil() as usize;
    sorted.get(rank.saturating_sub(1)).copied()
}

#[cfg(test)]
mod tests;
