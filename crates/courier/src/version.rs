//! Versions of the settings: whether one that is offered is taken as a whole or turned down, and why. No I/O and no
//! clock, so that any source can feed it.

use std::collections::BTreeMap;

use meadowhold_settings::raw_values;
use serde_json::Value;

/// What is wrong, by place: a path in the file, or `setting` and a path in the settings.
pub type Faults = BTreeMap<String, String>;

/// Tells one content from another, however it is spaced and in whatever order its keys stand.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sum(pub u32, pub u64);

impl Sum {
    pub fn of(value: &Value) -> Sum {
        let text = value.to_string();
        Sum(crc32fast::hash(text.as_bytes()), text.len() as u64)
    }
}

/// A version's number and content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stamp {
    pub number: u64,
    pub content: Sum,
}

/// The number that a configuration bears.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Numbered {
    Not,
    Unreadably,
    As(u64),
}

/// A configuration as far as versions of it are compared.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Whole {
    pub numbered: Numbered,
    pub content: Sum,
    /// What cannot change without a start, by place.
    pub fixed: BTreeMap<String, Sum>,
    /// Whether the endpoints of a kind are limited each on its own.
    pub apart: BTreeMap<String, bool>,
}

/// Places in the file of what is used once, at the start; `limits` key by key.
const FIXED: [&str; 6] = ["name", "listen", "seed", "known", "peers", "relays"];
/// The same of settings, each with what its absence means: who follows the list was started so; shares that were
/// reckoned from listed rates stand until the list comes; what is out was promised that it is alone, or not.
const FIXED_SETTINGS: [(&str, &str); 3] =
    [("MembershipMode", ""), ("Weights", ""), ("Limits.MayDuplicate", "false")];
/// A kind's waits, paces and holds are kept by endpoint or by destination from its first endpoint on.
const APART: &str = "FamilyInfo.OwnLimits";

impl Whole {
    /// `None` where the text is no JSON object.
    pub fn read(text: &[u8]) -> Option<Whole> {
        Whole::of(&serde_json::from_slice(text).ok()?)
    }

    pub fn of(value: &Value) -> Option<Whole> {
        let object = value.as_object()?;
        let mut fixed: BTreeMap<String, Sum> = BTreeMap::new();
        let named = FIXED.iter().filter_map(|key| Some((key.to_string(), Sum::of(object.get(*key)?))));
        fixed.extend(named);
        match object.get("limits") {
            Some(Value::Object(limits)) => {
                fixed.extend(limits.iter().map(|(key, value)| (format!("limits.{key}"), Sum::of(value))));
            }
            Some(other) => drop(fixed.insert("limits".to_string(), Sum::of(other))),
            None => {}
        }
        let settings = object.get("settings").unwrap_or(&Value::Null);
        for (key, absent) in FIXED_SETTINGS {
            let text = raw_values(settings, [key])[0].clone().unwrap_or_else(|| absent.to_string());
            let text = if key == "Weights" { is_rate(&text).to_string() } else { text };
            fixed.insert(format!("setting {key}"), Sum::of(&text.into()));
        }
        let numbered = match object.get("version") {
            None | Some(Value::Null) => Numbered::Not,
            Some(number) => number.as_u64().filter(|&n| n > 0).map_or(Numbered::Unreadably, Numbered::As),
        };
        Some(Whole { numbered, content: Sum::of(value), fixed, apart: apart(settings) })
    }

    pub fn stamp(&self) -> Option<Stamp> {
        match self.numbered {
            Numbered::As(number) => Some(Stamp { number, content: self.content }),
            _ => None,
        }
    }

    /// What another configuration has otherwise and a courier that runs by this one cannot take up.
    pub fn needs_start(&self, other: &Whole) -> Faults {
        let places = self.fixed.keys().chain(other.fixed.keys());
        let differs = places.filter(|place| self.fixed.get(*place) != other.fixed.get(*place));
        let words = || "cannot change without a start".to_string();
        let mut faults: Faults = differs.map(|place| (place.clone(), words())).collect();
        let moved =
            other.apart.iter().filter(|(kind, apart)| self.apart.get(*kind).is_some_and(|a| a != *apart));
        let moved: Vec<&str> = moved.map(|(kind, _)| kind.as_str()).collect();
        if !moved.is_empty() {
            faults.insert(format!("setting {APART}"), format!("{} for {}", words(), moved.join(", ")));
        }
        faults
    }

    /// This one in the place of another that has run so far.
    pub fn after(mut self, before: Whole) -> Whole {
        for (kind, apart) in before.apart {
            self.apart.entry(kind).or_insert(apart);
        }
        self
    }
}

fn is_rate(weights: &str) -> bool {
    matches!(weights, "nominal" | "rough")
}

fn apart(settings: &Value) -> BTreeMap<String, bool> {
    let [kinds, apart] = raw_values(settings, ["Kinds", APART]).map(Option::unwrap_or_default);
    let apart: Vec<bool> = apart.split(',').map(|item| item == "true").collect();
    let kinds = kinds.split(',').enumerate();
    kinds.map(|(i, kind)| (kind.to_string(), apart.get(i).or(apart.last()) == Some(&true))).collect()
}

/// Who asks what to do with an offered configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Moment {
    Start,
    /// A courier that runs by settings without a version, or with one.
    RunsWithout,
    RunsWith,
}

/// How what is offered stands to the version that is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// It has no number.
    Without,
    /// Its number cannot be read.
    Unreadable,
    Newer,
    /// The same number, with the same content or another.
    Same,
    Other,
    Older,
}

/// What is done with it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// As where there are no versions.
    AsBefore,
    Take,
    /// It is held already.
    Known,
    /// For all of these reasons.
    TurnDown(Faults),
}

/// What a row of the table says; whether there is a fault beside it decides of `Unless`.
#[derive(Clone, Copy)]
enum Row {
    AsBefore,
    Unless,
    Known,
    /// With these words of its number.
    Down(&'static str),
}

use Moment::{RunsWith, RunsWithout, Start};
use Order::{Newer, Older, Other, Same, Unreadable, Without};

const OTHER: Row = Row::Down("has another content than the one of its number that is held");
const OLDER: Row = Row::Down("is older than the one that is held");

/// (whether a version is held, who asks, how what is offered stands to it, what is done); all that may be is listed.
const TABLE: [(bool, Moment, Order, Row); 24] = [
    (false, Start, Without, Row::AsBefore),
    (false, Start, Unreadable, Row::AsBefore),
    (false, Start, Newer, Row::Unless),
    (false, RunsWithout, Without, Row::AsBefore),
    (false, RunsWithout, Unreadable, Row::AsBefore),
    (false, RunsWithout, Newer, Row::Unless),
    (true, Start, Without, Row::AsBefore),
    (true, Start, Unreadable, Row::Down("")),
    (true, Start, Newer, Row::Unless),
    (true, Start, Same, Row::Known),
    (true, Start, Other, OTHER),
    (true, Start, Older, OLDER),
    // An earlier process held one, and this one was started without.
    (true, RunsWithout, Without, Row::AsBefore),
    (true, RunsWithout, Unreadable, Row::AsBefore),
    (true, RunsWithout, Newer, Row::Unless),
    (true, RunsWithout, Same, Row::Unless),
    (true, RunsWithout, Other, OTHER),
    (true, RunsWithout, Older, OLDER),
    (true, RunsWith, Without, Row::Down("is missing, and one is in force")),
    (true, RunsWith, Unreadable, Row::Down("")),
    (true, RunsWith, Newer, Row::Unless),
    (true, RunsWith, Same, Row::Known),
    (true, RunsWith, Other, OTHER),
    (true, RunsWith, Older, OLDER),
];

/// How a configuration stands to the version that is held.
pub fn order(held: Option<&Stamp>, offered: Option<&Whole>) -> Order {
    let Some(offered) = offered else { return Unreadable };
    match (offered.numbered, held) {
        (Numbered::Not, _) => Without,
        (Numbered::Unreadably, _) => Unreadable,
        (Numbered::As(_), None) => Newer,
        (Numbered::As(number), Some(held)) => match number.cmp(&held.number) {
            std::cmp::Ordering::Greater => Newer,
            std::cmp::Ordering::Less => Older,
            std::cmp::Ordering::Equal if held.content == offered.content => Same,
            std::cmp::Ordering::Equal => Other,
        },
    }
}

/// Takes what is offered as a whole, or turns it down. `held`: the newest version that this courier has held, by this
/// process or an earlier one. `faults`: all that is wrong with it, what cannot change now included.
pub fn decide(moment: Moment, held: Option<&Stamp>, offered: Option<&Whole>, mut faults: Faults) -> Step {
    let order = order(held, offered);
    let listed = TABLE.iter().find(|row| (row.0, row.1, row.2) == (held.is_some(), moment, order));
    match listed.map_or(OLDER, |row| row.3) {
        Row::AsBefore => Step::AsBefore,
        Row::Known => Step::Known,
        Row::Unless if faults.is_empty() => Step::Take,
        Row::Unless => Step::TurnDown(faults),
        Row::Down(words) => {
            if !words.is_empty() {
                faults.entry("version".to_string()).or_insert_with(|| words.to_string());
            }
            Step::TurnDown(faults)
        }
    }
}

#[cfg(test)]
mod tests;
