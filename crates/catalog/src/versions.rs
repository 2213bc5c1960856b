//! What is held of the list, and what becomes of what is offered. Never back: no version older than one that
//! was held is taken. A source that counts anew says so by a newer epoch, under which any index is newer.

use std::collections::HashSet;
use std::fmt;

/// Older epochs are older whatever their index.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Version {
    pub epoch: u64,
    pub index: u64,
}

/// Another state of the list, whole, or what changed since one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Offer {
    pub version: Version,
    /// `None`: it is whole. Else the index of the same epoch from which on it brings who holds that to
    /// `version`.
    pub after: Option<u64>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    Apply,
    /// It is from before what is held.
    Ignore,
    /// What came between is not known.
    RequestSnapshot,
    /// It cannot be a list; nothing of it is taken.
    Reject(Vec<Fault>),
}

/// One thing wrong with what was offered, with its place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Such as `endpoints[3].name`.
    pub path: String,
    pub problem: &'static str,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{} {}", self.path, self.problem)
    }
}

/// What is looked at of an entry that is offered.
#[derive(Clone, Copy, Debug)]
pub struct EntrySummary<'a> {
    pub name: &'a str,
    /// Bytes of its text.
    pub length: usize,
}

/// Guards against a list of nothing but faults.
pub const MAX_FAULTS: usize = 32;
pub const MAX_NAME_LENGTH: usize = 1024;

/// Every fault of an offer, up to `MAX_FAULTS`. `entries` and `bytes` are the most that may be held. A name
/// that comes twice is one only in a whole list: among changes the later one counts.
pub fn validate<'a>(
    offer: &Offer,
    entries_offered: impl IntoIterator<Item = EntrySummary<'a>>,
    max_entries: usize,
    max_bytes: usize,
) -> Vec<Fault> {
    let (mut faults, mut names, mut count, mut total) = (Vec::new(), HashSet::new(), 0_usize, 0_usize);
    if offer.version.index == 0 {
        faults.push(Fault { path: "index".to_string(), problem: "is 0, which is no version" });
    }
    if offer.after.is_some_and(|after| after > offer.version.index) {
        faults
            .push(Fault { path: "index".to_string(), problem: "is lower than what the changes come after" });
    }
    for (i, entry) in entries_offered.into_iter().enumerate() {
        (count, total) = (count + 1, total + entry.length);
        let problem = if entry.name.is_empty() {
            "is empty"
        } else if entry.name.len() > MAX_NAME_LENGTH {
            "is too long"
        } else if !names.insert(entry.name) && offer.after.is_none() {
            "is there twice"
        } else {
            continue;
        };
        if faults.len() < MAX_FAULTS {
            faults.push(Fault { path: format!("endpoints[{i}].name"), problem });
        }
    }
    if count > max_entries {
        faults.insert(0, Fault { path: "endpoints".to_string(), problem: "are too many" });
    }
    if total > max_bytes {
        faults.insert(0, Fault { path: "endpoints".to_string(), problem: "are too long" });
    }
    faults.truncate(MAX_FAULTS);
    faults
}

/// The version that is held.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Versions {
    held: Option<Version>,
}

impl Versions {
    pub fn new(held: Option<Version>) -> Versions {
        Versions { held }
    }

    pub fn held(&self) -> Option<Version> {
        self.held
    }

    /// What becomes of an offer in which no fault was found, or some.
    pub fn judge(&self, offer: &Offer, faults: Vec<Fault>) -> Verdict {
        if !faults.is_empty() {
            return Verdict::Reject(faults);
        }
        let Version { epoch, index } = offer.version;
        // The table: held, whole or after which, verdict.
        match (self.held, offer.after) {
            (None, None) => Verdict::Apply,
            (None, Some(_)) => Verdict::RequestSnapshot,
            (Some(held), _) if offer.version < held => Verdict::Ignore,
            // The same version once more too: a source may tell one in several pieces, and mend it by the
            // whole.
            (Some(_), None) => Verdict::Apply,
            (Some(held), Some(_)) if epoch > held.epoch => Verdict::RequestSnapshot,
            (Some(held), Some(after)) if after == held.index => {
                debug_assert!(epoch == held.epoch && index >= held.index);
                Verdict::Apply
            }
            // Who tells has come to what is held.
            (Some(held), Some(_)) if index == held.index => Verdict::Ignore,
            // Guards against changes from an earlier version on, of one that never saw what is held: what had
            // changed between and is as it was is not among them.
            (Some(_), Some(_)) => Verdict::RequestSnapshot,
        }
    }

    /// Judges, and holds what is taken.
    pub fn apply(&mut self, offer: &Offer, faults: Vec<Fault>) -> Verdict {
        let verdict = self.judge(offer, faults);
        if verdict == Verdict::Apply {
            debug_assert!(self.held.is_none_or(|held| held <= offer.version), "a version went back");
            self.held = Some(offer.version);
        }
        verdict
    }
}
