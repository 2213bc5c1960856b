//! Versions of the settings: whether one that is offered is taken as a whole or turned down, and why. No I/O and no
//! clock, so that any source can feed it.

use std::collections::BTreeMap;

use meadowhold_settings::raw_values;
use serde_json::Value;

/// What is wrong, by place: a path in the file, or `setting` and a path in the settings.
pub type Faults = BTreeMap<String, String>;

/// Tells one content from another, however it is spaced and in whatever order its keys stand.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Checksum(pub u32, pub u64);

impl Checksum {
    pub fn of(value: &Value) -> Checksum {
        let text = value.to_string();
        Checksum(crc32fast::hash(text.as_bytes()), text.len() as u64)
    }
}

/// A version's number and content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VersionId {
    pub number: u64,
    pub content: Checksum,
}

/// The number that a configuration bears.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionNumber {
    Absent,
    Invalid,
    Valid(u64),
}

/// A configuration as far as versions of it are compared.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fingerprint {
    pub version: VersionNumber,
    pub content: Checksum,
    /// What cannot change without a start, by place.
    pub restart_only: BTreeMap<String, Checksum>,
    /// Whether the endpoints of a kind are limited each on its own.
    pub own_limits: BTreeMap<String, bool>,
}

/// Places in the file of what is used once, at the start; `limits` key by key.
const RESTART_ONLY_KEYS: [&str; 6] = ["name", "listen", "seed", "known", "peers", "relays"];
/// The same of settings, each with what its absence means: who follows the list was started so; shares that were
/// reckoned from listed rates stand until the list comes; what is out was promised that it is alone, or not.
const RESTART_ONLY_SETTINGS: [(&str, &str); 3] =
    [("MembershipMode", ""), ("Weights", ""), ("Limits.MayDuplicate", "false")];
/// A kind's waits, paces and holds are kept by endpoint or by destination from its first endpoint on.
const OWN_LIMITS: &str = "FamilyInfo.OwnLimits";

impl Fingerprint {
    /// `None` where the text is no JSON object.
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

    /// What another configuration has otherwise and a courier that runs by this one cannot take up.
    pub fn restart_required(&self, other: &Fingerprint) -> Faults {
        let places = self.restart_only.keys().chain(other.restart_only.keys());
        let differs = places.filter(|place| self.restart_only.get(*place) != other.restart_only.get(*place));
        let problem = || "cannot change without a start".to_string();
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

    /// This one in the place of another that has run so far.
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

/// Who asks what to do with an offered configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CourierState {
    Starting,
    /// A courier that runs by settings without a version, or with one.
    RunningUnversioned,
    RunningVersioned,
}

/// How what is offered stands to the version that is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Comparison {
    /// It has no number.
    Unversioned,
    /// Its number cannot be read.
    Unreadable,
    Newer,
    /// The same number, with the same content or another.
    Same,
    Conflicting,
    Older,
}

/// What is done with it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// As where there are no versions.
    HandleUnversioned,
    Apply,
    /// It is held already.
    AlreadyHeld,
    /// For all of these reasons.
    Reject(Faults),
}

/// What a row of the table says; whether there is a fault beside it decides of `Unless`.
#[derive(Clone, Copy)]
enum Rule {
    HandleUnversioned,
    ApplyIfValid,
    AlreadyHeld,
    /// With these words of its number.
    Reject(&'static str),
}

use Comparison::{Conflicting, Newer, Older, Same, Unreadable, Unversioned};
use CourierState::{RunningUnversioned, RunningVersioned, Starting};

const REJECT_CONFLICTING: Rule = Rule::Reject("has another content than the one of its number that is held");
const REJECT_OLDER: Rule = Rule::Reject("is older than the one that is held");

/// (whether a version is held, who asks, how what is offered stands to it, what is done); all that may be is listed.
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
    // An earlier process held one, and this one was started without.
    (true, RunningUnversioned, Unversioned, Rule::HandleUnversioned),
    (true, RunningUnversioned, Unreadable, Rule::HandleUnversioned),
    (true, RunningUnversioned, Newer, Rule::ApplyIfValid),
    (true, RunningUnversioned, Same, Rule::ApplyIfValid),
    (true, RunningUnversioned, Conflicting, REJECT_CONFLICTING),
    (true, RunningUnversioned, Older, REJECT_OLDER),
    (true, RunningVersioned, Unversioned, Rule::Reject("is missing, and one is in force")),
    (true, RunningVersioned, Unreadable, Rule::Reject("")),
    (true, RunningVersioned, Newer, Rule::ApplyIfValid),
    (true, RunningVersioned, Same, Rule::AlreadyHeld),
    (true, RunningVersioned, Conflicting, REJECT_CONFLICTING),
    (true, RunningVersioned, Older, REJECT_OLDER),
];

/// How a configuration stands to the version that is held.
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

/// Takes what is offered as a whole, or turns it down. `held`: the newest version that this courier has held, by this
/// process or an earlier one. `faults`: all that is wrong with it, what cannot change now included.
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
