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
    Take,
    /// It is from before what is held.
    Pass,
    /// What came between is not known.
    AskWhole,
    /// It cannot be a list; nothing of it is taken.
    TurnDown(Vec<Fault>),
}

/// One thing wrong with what was offered, with its place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Such as `endpoints[3].name`.
    pub place: String,
    pub words: &'static str,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{} {}", self.place, self.words)
    }
}

/// What is looked at of an entry that is offered.
#[derive(Clone, Copy, Debug)]
pub struct Glance<'a> {
    pub name: &'a str,
    /// Bytes of its text.
    pub length: usize,
}

/// Guards against a list of nothing but faults.
pub const MOST_FAULTS: usize = 32;
pub const LONGEST_NAME: usize = 1024;

/// Every fault of an offer, up to `MOST_FAULTS`. `entries` and `bytes` are the most that may be held. A name
/// that comes twice is one only in a whole list: among changes the later one counts.
pub fn faults<'a>(
    offer: &Offer,
    glances: impl IntoIterator<Item = Glance<'a>>,
    entries: usize,
    bytes: usize,
) -> Vec<Fault> {
    let (mut faults, mut names, mut count, mut total) = (Vec::new(), HashSet::new(), 0_usize, 0_usize);
    if offer.version.index == 0 {
        faults.push(Fault { place: "index".to_string(), words: "is 0, which is no version" });
    }
    if offer.after.is_some_and(|after| after > offer.version.index) {
        faults.push(Fault { place: "index".to_string(), words: "is lower than what the changes come after" });
    }
    for (i, glance) in glances.into_iter().enumerate() {
        (count, total) = (count + 1, total + glance.length);
        let words = if glance.name.is_empty() {
            "is empty"
        } else if glance.name.len() > LONGEST_NAME {
            "is too long"
        } else if !names.insert(glance.name) && offer.after.is_none() {
            "is there twice"
        } else {
            continue;
        };
        if faults.len() < MOST_FAULTS {
            faults.push(Fault { place: format!("endpoints[{i}].name"), words });
        }
    }
    if count > entries {
        faults.insert(0, Fault { place: "endpoints".to_string(), words: "are too many" });
    }
    if total > bytes {
        faults.insert(0, Fault { place: "endpoints".to_string(), words: "are too long" });
    }
    faults.truncate(MOST_FAULTS);
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
            return Verdict::TurnDown(faults);
        }
        let Version { epoch, index } = offer.version;
        // The table: held, whole or after which, verdict.
        match (self.held, offer.after) {
            (None, None) => Verdict::Take,
            (None, Some(_)) => Verdict::AskWhole,
            (Some(held), _) if offer.version < held => Verdict::Pass,
            // The same version once more too: a source may tell one in several pieces, and mend it by the
            // whole.
            (Some(_), None) => Verdict::Take,
            (Some(held), Some(_)) if epoch > held.epoch => Verdict::AskWhole,
            (Some(held), Some(after)) if after == held.index => {
                debug_assert!(epoch == held.epoch && index >= held.index);
                Verdict::Take
            }
            // Who tells has come to what is held.
            (Some(held), Some(_)) if index == held.index => Verdict::Pass,
            // Guards against changes from an earlier version on, of one that never saw what is held: what had
            // changed between and is as it was is not among them.
            (Some(_), Some(_)) => Verdict::AskWhole,
        }
    }

    /// Judges, and holds what is taken.
    pub fn put(&mut self, offer: &Offer, faults: Vec<Fault>) -> Verdict {
        let verdict = self.judge(offer, faults);
        if verdict == Verdict::Take {
            debug_assert!(self.held.is_none_or(|held| held <= offer.version), "a version went back");
            self.held = Some(offer.version);
        }
        verdict
    }
}
