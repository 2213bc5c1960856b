//! Versions of the list, and the decision whether an offered version is applied. Versions never go back: none
//! older than the held one is applied. A source that restarts its numbering announces a newer epoch, in which any
//! index is newer.

use std::collections::HashSet;
use std::fmt;

/// Ordered by epoch first, then by index.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Version {
    pub epoch: u64,
    pub index: u64,
}

/// An offered state of the list: a snapshot, or the changes since an earlier index.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Offer {
    pub version: Version,
    /// `None`: a snapshot. Otherwise the index, in the same epoch, on which the changes are based.
    pub after: Option<u64>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    Apply,
    /// It is older than the held version, or brings nothing new.
    Ignore,
    /// Changes are missing in between: a snapshot is needed.
    RequestSnapshot,
    /// It is invalid, and nothing of it is applied.
    Reject(Vec<Fault>),
}

/// One fault of an offer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Path in the offer, such as `endpoints[3].name`.
    pub path: String,
    pub problem: &'static str,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{} {}", self.path, self.problem)
    }
}

/// The properties of an offered entry that are validated.
#[derive(Clone, Copy, Debug)]
pub struct EntrySummary<'a> {
    pub name: &'a str,
    /// Length of its text in bytes.
    pub length: usize,
}

/// Maximum number of reported faults, for lists that consist of faults only.
pub const MAX_FAULTS: usize = 32;
pub const MAX_NAME_LENGTH: usize = 1024;

/// Returns the faults of an offer, up to `MAX_FAULTS`. A duplicate name is a fault only in a snapshot: among changes
/// the later entry counts.
pub fn validate<'a>(
    offer: &Offer,
    entries_offered: impl IntoIterator<Item = EntrySummary<'a>>,
    max_entries: usize,
    max_bytes: usize,
) -> Vec<Fault> {
    let (mut faults, mut names, mut count, mut total) = (Vec::new(), HashSet::new(), 0_usize, 0_usize);
    if offer.version.index == 0 {
        faults.push(Fault { path: "index".to_string(), problem: "must not be 0" });
    }
    if offer.after.is_some_and(|after| after > offer.version.index) {
        faults.push(Fault {
            path: "index".to_string(),
            problem: "is lower than the index on which the changes are based",
        });
    }
    for (i, entry) in entries_offered.into_iter().enumerate() {
        (count, total) = (count + 1, total + entry.length);
        let problem = if entry.name.is_empty() {
            "is empty"
        } else if entry.name.len() > MAX_NAME_LENGTH {
            "is too long"
        } else if !names.insert(entry.name) && offer.after.is_none() {
            "is a duplicate"
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
        faults.insert(0, Fault { path: "endpoints".to_string(), problem: "are too large in total" });
    }
    faults.truncate(MAX_FAULTS);
    faults
}

/// The held version, and the rules by which it changes.
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

    /// Decides on an offer with these faults.
    pub fn judge(&self, offer: &Offer, faults: Vec<Fault>) -> Verdict {
        if !faults.is_empty() {
            return Verdict::Reject(faults);
        }
        let Version { epoch, index } = offer.version;
        // Verdicts by held version and kind of offer.
        match (self.held, offer.after) {
            (None, None) => Verdict::Apply,
            (None, Some(_)) => Verdict::RequestSnapshot,
            (Some(held), _) if offer.version < held => Verdict::Ignore,
            // Also the same version again: a source may send one in several pieces, and correct it by a snapshot.
            (Some(_), None) => Verdict::Apply,
            (Some(held), Some(_)) if epoch > held.epoch => Verdict::RequestSnapshot,
            (Some(held), Some(after)) if after == held.index => {
                debug_assert!(epoch == held.epoch && index >= held.index);
                Verdict::Apply
            }
            // The changes lead to the version that is already held.
            (Some(held), Some(_)) if index == held.index => Verdict::Ignore,
            // The changes may be based on an earlier version by a sender that never had the held one: they would
            // lack what changed up to the held version and then changed back.
            (Some(_), Some(_)) => Verdict::RequestSnapshot,
        }
    }

    /// Decides on an offer, and records its version if it is to be applied.
    pub fn apply(&mut self, offer: &Offer, faults: Vec<Fault>) -> Verdict {
        let verdict = self.judge(offer, faults);
        if verdict == Verdict::Apply {
            debug_assert!(self.held.is_none_or(|held| held <= offer.version), "a version went back");
            self.held = Some(offer.version);
        }
        verdict
    }
}
