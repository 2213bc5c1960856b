//! Versions of the settings: decides whether a new configuration is applied as a whole or rejected, and why. It does
//! no I/O and uses no clock, so that it does not depend on where a configuration comes from.

use std::collections::BTreeMap;

use meadowhold_settings::raw_values;
use serde_json::Value;

/// Faults by place: a path in the file, or `setting` and a path in the settings.
pub type Faults = BTreeMap<String, String>;

/// CRC-32 and length of a JSON value's canonical text; independent of white space and of the order of keys.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Checksum(pub u32, pub u64);

impl Checksum {
    pub fn of(value: &Value) -> Checksum {
        let text = value.to_string();
        Checksum(crc32fast::hash(text.as_bytes()), text.len() as u64)
    }
}

/// Identifies a version by its number and its content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VersionId {
    pub number: u64,
    pub content: Checksum,
}

/// The `version` of a configuration: a whole number from 1 on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionNumber {
    Absent,
    Invalid,
    Valid(u64),
}

/// The parts of a configuration by which two versions of it are compared.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fingerprint {
    pub version: VersionNumber,
    pub content: Checksum,
    /// Checksums of the values that only a restart can change, by place.
    pub restart_only: BTreeMap<String, Checksum>,
    /// For each kind, whether its endpoints have limits of their own.
    pub own_limits: BTreeMap<String, bool>,
}

/// Keys of the file that are used only at the start. The keys under `limits` are compared one by one.
const RESTART_ONLY_KEYS: [&str; 6] = ["name", "listen", "seed", "known", "peers", "relays"];
/// Settings that only a restart can change, each with the value that applies when it is absent. `MembershipMode`: the
/// task that follows the list was started for one mode. `Weights`: shares computed from the rates in the list stay
/// until the next list. `Limits.MayDuplicate`: connects in flight were started under one of its values.
const RESTART_ONLY_SETTINGS: [(&str, &str); 3] =
    [("MembershipMode", ""), ("Weights", ""), ("Limits.MayDuplicate", "false")];
/// The waits, paces and holds of a kind are stored either by endpoint or by destination, from its first endpoint on.
const OWN_LIMITS: &str = "FamilyInfo.OwnLimits";

impl Fingerprint {
    /// `None` if the text is not a JSON object.
    pub fn read(text: &[u8]) -> Option<Fingerprint> {
        Fingerprint::of(&serde_json::from_slice(text).ok()?)
    }

    pub fn of(value: &Value) -> Option<Fingerprint> {
        let object = value.as_object()?;
        let mut restart_only: BTreeMap<String, Checksum> = BTreeMap::new();
        let named = RESTART_ONLY_KEYS
            .iter()
            .filter_map(|key| Some((key.to_string(), Checksum::of(object.get(*key)?))));
        restart_only.extend(named);
        match object.get("limits") {
            Some(Value::Object(limits)) => {
                restart_only
                    .extend(limits.iter().map(|(key, value)| (format!("limits.{key}"), Checksum::of(value))));
            }
            Some(other) => drop(restart_only.insert("limits".to_string(), Checksum::of(other))),
            None => {}
        }
        let settings = object.get("settings").unwrap_or(&Value::Null);
        for (key, absent) in RESTART_ONLY_SETTINGS {
            let text = raw_values(settings, [key])[0].clone().unwrap_or_else(|| absent.to_string());
            let text = if key == "Weights" { uses_listed_rates(&text).to_string() } else { text };
            restart_only.insert(format!("setting {key}"), Checksum::of(&text.into()));
        }
        let version = match object.get("version") {
            None | Some(Value::Null) => VersionNumber::Absent,
            Some(number) => {
                number.as_u64().filter(|&n| n > 0).map_or(VersionNumber::Invalid, VersionNumber::Valid)
            }
        };
        Some(Fingerprint {
            version,
            content: Checksum::of(value),
            restart_only,
            own_limits: own_limits_by_kind(settings),
        })
    }

    pub fn version_id(&self) -> Option<VersionId> {
        match self.version {
            VersionNumber::Valid(number) => Some(VersionId { number, content: self.content }),
            _ => None,
        }
    }

    /// The changes in `other` that a courier running with this configuration cannot apply without a restart.
    pub fn restart_required(&self, other: &Fingerprint) -> Faults {
        let places = self.restart_only.keys().chain(other.restart_only.keys());
        let differs = places.filter(|place| self.restart_only.get(*place) != other.restart_only.get(*place));
        let problem = || "cannot change without a restart".to_string();
        let mut faults: Faults = differs.map(|place| (place.clone(), problem())).collect();
        let changed = other
            .own_limits
            .iter()
            .filter(|(kind, own)| self.own_limits.get(*kind).is_some_and(|held| held != *own));
        let changed: Vec<&str> = changed.map(|(kind, _)| kind.as_str()).collect();
        if !changed.is_empty() {
            faults
                .insert(format!("setting {OWN_LIMITS}"), format!("{} for {}", problem(), changed.join(", ")));
        }
        faults
    }

    /// Adds the kinds that only `previous` has, so that a kind that is removed and comes back is still compared.
    pub fn retain_kinds_of(mut self, previous: Fingerprint) -> Fingerprint {
        for (kind, own_limits) in previous.own_limits {
            self.own_limits.entry(kind).or_insert(own_limits);
        }
        self
    }
}

fn uses_listed_rates(weights: &str) -> bool {
    matches!(weights, "nominal" | "rough")
}

fn own_limits_by_kind(settings: &Value) -> BTreeMap<String, bool> {
    let [kinds, own_limits] = raw_values(settings, ["Kinds", OWN_LIMITS]).map(Option::unwrap_or_default);
    let own_limits: Vec<bool> = own_limits.split(',').map(|item| item == "true").collect();
    let kinds = kinds.split(',').enumerate();
    kinds
        .map(|(i, kind)| (kind.to_string(), own_limits.get(i).or(own_limits.last()) == Some(&true)))
        .collect()
}

/// State of the courier that a configuration is decided for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CourierState {
    Starting,
    /// The settings in force have no version.
    RunningUnversioned,
    /// The settings in force have a version.
    RunningVersioned,
}

/// Result of comparing a configuration with the held version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Comparison {
    /// It has no version number.
    Unversioned,
    /// Its version number cannot be read.
    Unreadable,
    Newer,
    /// Same number and same content.
    Same,
    /// Same number but different content.
    Conflicting,
    Older,
}

/// What to do with a configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Treat it as a courier without versions does.
    HandleUnversioned,
    Apply,
    /// This version is already held.
    AlreadyHeld,
    /// Reject it for all of these faults.
    Reject(Faults),
}

/// Outcome of a row of `RULES`. `ApplyIfValid` depends on whether there are faults.
#[derive(Clone, Copy)]
enum Rule {
    HandleUnversioned,
    ApplyIfValid,
    AlreadyHeld,
    /// Reject, with this fault for `version`; if it is empty, reading the number has already reported one.
    Reject(&'static str),
}

use Comparison::{Conflicting, Newer, Older, Same, Unreadable, Unversioned};
use CourierState::{RunningUnversioned, RunningVersioned, Starting};

const REJECT_CONFLICTING: Rule = Rule::Reject("has the number of the held version but different content");
const REJECT_OLDER: Rule = Rule::Reject("is older than the held version");

/// Rows of (a version is held, state of the courier, result of the comparison, rule). All possible combinations are
/// listed.
const RULES: [(bool, CourierState, Comparison, Rule); 24] = [
    (false, Starting, Unversioned, Rule::HandleUnversioned),
    (false, Starting, Unreadable, Rule::HandleUnversioned),
    (false, Starting, Newer, Rule::ApplyIfValid),
    (false, RunningUnversioned, Unversioned, Rule::HandleUnversioned),
    (false, RunningUnversioned, Unreadable, Rule::HandleUnversioned),
    (false, RunningUnversioned, Newer, Rule::ApplyIfValid),
    (true, Starting, Unversioned, Rule::HandleUnversioned),
    (true, Starting, Unreadable, Rule::Reject("")),
    (true, Starting, Newer, Rule::ApplyIfValid),
    (true, Starting, Same, Rule::AlreadyHeld),
    (true, Starting, Conflicting, REJECT_CONFLICTING),
    (true, Starting, Older, REJECT_OLDER),
    // An earlier process held a version; this one was started without.
    (true, RunningUnversioned, Unversioned, Rule::HandleUnversioned),
    (true, RunningUnversioned, Unreadable, Rule::HandleUnversioned),
    (true, RunningUnversioned, Newer, Rule::ApplyIfValid),
    (true, RunningUnversioned, Same, Rule::ApplyIfValid),
    (true, RunningUnversioned, Conflicting, REJECT_CONFLICTING),
    (true, RunningUnversioned, Older, REJECT_OLDER),
    (true, RunningVersioned, Unversioned, Rule::Reject("is missing, but the settings in force have one")),
    (true, RunningVersioned, Unreadable, Rule::Reject("")),
    (true, RunningVersioned, Newer, Rule::ApplyIfValid),
    (true, RunningVersioned, Same, Rule::AlreadyHeld),
    (true, RunningVersioned, Conflicting, REJECT_CONFLICTING),
    (true, RunningVersioned, Older, REJECT_OLDER),
];

/// Compares a configuration with the held version.
pub fn compare(held: Option<&VersionId>, offered: Option<&Fingerprint>) -> Comparison {
    let Some(offered) = offered else { return Unreadable };
    match (offered.version, held) {
        (VersionNumber::Absent, _) => Unversioned,
        (VersionNumber::Invalid, _) => Unreadable,
        (VersionNumber::Valid(_), None) => Newer,
        (VersionNumber::Valid(number), Some(held)) => match number.cmp(&held.number) {
            std::cmp::Ordering::Greater => Newer,
            std::cmp::Ordering::Less => Older,
            std::cmp::Ordering::Equal if held.content == offered.content => Same,
            std::cmp::Ordering::Equal => Conflicting,
        },
    }
}

/// Decides whether a configuration is applied as a whole or rejected. `held` is the newest version that this process or
/// an earlier one has held. `faults` has all faults of the configuration, including changes that need a restart.
pub fn decide(
    state: CourierState,
    held: Option<&VersionId>,
    offered: Option<&Fingerprint>,
    mut faults: Faults,
) -> Decision {
    let comparison = compare(held, offered);
    let listed = RULES.iter().find(|row| (row.0, row.1, row.2) == (held.is_some(), state, comparison));
    match listed.map_or(REJECT_OLDER, |row| row.3) {
        Rule::HandleUnversioned => Decision::HandleUnversioned,
        Rule::AlreadyHeld => Decision::AlreadyHeld,
        Rule::ApplyIfValid if faults.is_empty() => Decision::Apply,
        Rule::ApplyIfValid => Decision::Reject(faults),
        Rule::Reject(problem) => {
            if !problem.is_empty() {
                faults.entry("version".to_string()).or_insert_with(|| problem.to_string());
            }
            Decision::Reject(faults)
        }
    }
}

#[cfg(test)]
mod tests;
