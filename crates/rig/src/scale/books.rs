//! What the run holds the couriers to: when each version was made and sent, who said when that it is in force, and what
//! is found on file. No clock and no I/O: times come in, in microseconds of the run.

use std::collections::BTreeMap;

use serde::Serialize;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// A version is said to be in force by nobody to whom it was not sent.
    NotTooEarly,
    /// A change is in force at each courier in time.
    InForceInTime,
    /// What is on file is what the source had at the version that is said to be in force.
    HoldsWhatItSays,
    /// Processes end when they are asked to and not before, and log nothing that must not be.
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
pub struct Broken {
    pub rule: Rule,
    pub words: String,
}

#[derive(Clone, Debug, Default)]
struct Courier {
    process: usize,
    /// Versions that it said are in force, and when, as they came.
    said: Vec<(u64, u64)>,
    /// The highest of them.
    most: u64,
    /// Since when nothing befalls it; `None` while something does.
    calm: Option<u64>,
}

#[derive(Clone, Debug, Default)]
pub struct Books {
    couriers: Vec<Courier>,
    /// When each version was made; the first is 1.
    made: Vec<u64>,
    /// Lists and changes that went to each process, by version.
    sent: Vec<BTreeMap<u64, u64>>,
    /// The highest version that went to each relay.
    relays: Vec<u64>,
    pub broken: Vec<Broken>,
}

/// What is known of one change.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    pub version: u64,
    /// Microseconds until it was in force, in ascending order: at couriers that nothing befell since it was made.
    pub calm: Vec<u64>,
    /// Couriers that something befell, and how many of all have not said it yet.
    pub befallen: usize,
    pub missing: usize,
}

impl Books {
    /// `processes`: of each courier.
    pub fn new(processes: &[usize]) -> Books {
        let couriers =
            processes.iter().map(|&process| Courier { process, calm: Some(0), ..Courier::default() });
        let many = processes.iter().max().map_or(0, |most| most + 1);
        let sent = vec![BTreeMap::new(); many];
        Books { couriers: couriers.collect(), made: Vec::new(), sent, relays: Vec::new(), broken: Vec::new() }
    }

    /// With so many relays between the source and the couriers.
    pub fn with_relays(self, relays: usize) -> Books {
        Books { relays: vec![0; relays], ..self }
    }

    /// Another version, which is returned.
    pub fn made(&mut self, at: u64) -> u64 {
        self.made.push(at);
        self.made.len() as u64
    }

    pub fn last(&self) -> u64 {
        self.made.len() as u64
    }

    /// Before the first byte of it goes out.
    pub fn sent(&mut self, process: usize, version: u64) {
        if let Some(sent) = self.sent.get_mut(process) {
            *sent.entry(version).or_default() += 1;
        }
    }

    /// The source tells a relay.
    pub fn sent_to_relay(&mut self, relay: usize, version: u64) {
        if let Some(most) = self.relays.get_mut(relay) {
            *most = version.max(*most);
        }
    }

    /// A relay tells a courier of a process, before the first byte of it gets there. Guards against a relay that makes
    /// versions up: couriers that believe it would seem to speak in time.
    pub fn passed_on(&mut self, relay: usize, process: usize, version: u64) {
        let most = self.relays.get(relay).copied().unwrap_or(0);
        if version > most {
            let words = format!(
                "relay {relay} tells process {process} version {version}, and was told {most} at most"
            );
            self.broken.push(Broken { rule: Rule::NotTooEarly, words });
        }
        self.sent(process, version);
    }

    pub fn said(&mut self, courier: usize, version: u64, at: u64) {
        let Some(this) = self.couriers.get_mut(courier) else { return };
        this.said.push((version, at));
        if version <= this.most {
            return;
        }
        this.most = version;
        let process = this.process;
        // What was sent to a process's couriers cannot be told apart. Guards against one that speaks before it heard
        // because another was told: no more can have it than it was sent to.
        let say = self.couriers.iter().filter(|c| c.process == process && c.most >= version).count() as u64;
        let sent: u64 = self.sent[process].range(version..).map(|(_, count)| count).sum();
        if say > sent || version > self.last() {
            let words = format!(
                "courier {courier} says at {:.3} s that version {version} is in force: {say} of its process do, and \
                 it was sent {sent} times",
                at as f64 / 1e6
            );
            self.broken.push(Broken { rule: Rule::NotTooEarly, words });
        }
    }

    /// Something befalls a courier from now on.
    pub fn befalls(&mut self, courier: usize) {
        self.couriers[courier].calm = None;
    }

    pub fn calms(&mut self, courier: usize, at: u64) {
        self.couriers[courier].calm = Some(at);
    }

    /// How many have not said this version, or a later one.
    pub fn missing(&self, version: u64) -> usize {
        self.couriers.iter().filter(|courier| courier.most < version).count()
    }

    /// When a courier first said this version or a later one, at `from` or after.
    fn first(&self, courier: usize, version: u64, from: u64) -> Option<u64> {
        let said = &self.couriers[courier].said;
        said.iter().find(|&&(said, at)| said >= version && at >= from).map(|&(_, at)| at)
    }

    /// What became of a version so far.
    pub fn change(&self, version: u64) -> Change {
        let made = version.checked_sub(1).and_then(|i| self.made.get(i as usize)).copied().unwrap_or(0);
        let mut change = Change { version, calm: Vec::new(), befallen: 0, missing: 0 };
        for (number, courier) in self.couriers.iter().enumerate() {
            let first = self.first(number, version, 0);
            change.missing += usize::from(first.is_none());
            match courier.calm {
                Some(calm) if calm <= made => change.calm.extend(first.map(|at| at.saturating_sub(made))),
                _ => change.befallen += 1,
            }
        }
        change.calm.sort_unstable();
        change
    }

    /// Microseconds from when each of these couriers' trouble was over until the last of them had said what had been
    /// made by then, or a later one; `None` where one of them has not.
    pub fn back(&self, couriers: &[usize]) -> Option<u64> {
        let took = couriers.iter().map(|&number| {
            let calm = self.couriers[number].calm?;
            let version = self.made.partition_point(|&made| made <= calm) as u64;
            Some(self.first(number, version, 0)?.saturating_sub(calm))
        });
        took.collect::<Option<Vec<u64>>>()?.into_iter().max()
    }

    /// Holds each of these versions against the time that it may take, in microseconds: from when it was made, or from
    /// when what befell a courier was over. `now` is when this is asked: what is not due yet is no fault.
    pub fn judge(&mut self, versions: std::ops::RangeInclusive<u64>, most: u64, now: u64) {
        for version in versions {
            let Some(&made) = version.checked_sub(1).and_then(|i| self.made.get(i as usize)) else {
                continue;
            };
            let (mut late, mut never, mut example) = (0, 0, 0);
            for (number, courier) in self.couriers.iter().enumerate() {
                let Some(calm) = courier.calm else { continue };
                let due = made.max(calm) + most;
                match self.first(number, version, 0) {
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
                self.broken.push(Broken { rule: Rule::InForceInTime, words });
            }
        }
    }

    pub fn breaks(&mut self, rule: Rule, words: String) {
        self.broken.push(Broken { rule, words });
    }
}

/// The value at a part of an ascending list, by the nearest rank.
pub fn at_part(sorted: &[u64], part: f64) -> Option<u64> {
    let rank = (part * sorted.len() as f64).ceil() as usize;
    sorted.get(rank.saturating_sub(1)).copied()
}

#[cfg(test)]
mod tests;
