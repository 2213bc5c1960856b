//! Decodes the settings that a courier is given, from the bench's lines or from nested JSON: one set of
//! names, one decoder. Unknown keys are passed over.
#![forbid(unsafe_code)]

use std::cell::RefCell;
use std::collections::HashMap;
use std::fmt;
use std::str::FromStr;

use meadowhold::interface::{Effect, Kind, QueueClass, Settings, Time};
use serde_json::Value;

/// Microseconds in a tenth of a millisecond.
const TENTH: u64 = 100;

pub fn tenths(us: u64) -> Time {
    us / TENTH
}

#[derive(Debug)]
pub struct Decoded {
    pub settings: Settings,
    /// Places of the limit's two values in a load report.
    pub report: [Option<usize>; 2],
    /// Names of the report's values, and of what else is numbered by its place in a list.
    pub fields: Vec<String>,
    pub classes: Vec<String>,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
    /// A mail may have two connects out at once.
    pub may_overlap: bool,
}

/// Settings by path, every value as text.
struct Pairs(HashMap<String, String>);

impl Pairs {
    fn from_lines(text: &str) -> Pairs {
        let pairs = text.lines().filter_map(|line| line.split_once('='));
        Pairs(pairs.map(|(key, value)| (key.to_string(), value.to_string())).collect())
    }

    fn from_json(value: &Value) -> Pairs {
        let mut pairs = Pairs(HashMap::new());
        pairs.flatten("", value);
        pairs
    }

    /// Nested objects become paths, plain lists are joined with commas, other lists are numbered.
    fn flatten(&mut self, path: &str, value: &Value) {
        let below = |name: &str| if path.is_empty() { name.to_string() } else { format!("{path}.{name}") };
        match value {
            Value::Object(map) => map.iter().for_each(|(name, value)| self.flatten(&below(name), value)),
            Value::Array(items) if items.iter().any(Value::is_object) => {
                self.0.insert(below("count"), items.len().to_string());
                items.iter().enumerate().for_each(|(i, item)| self.flatten(&below(&i.to_string()), item));
            }
            Value::Array(items) => {
                let items: Vec<String> = items.iter().map(plain).collect();
                self.0.insert(path.to_string(), items.join(","));
            }
            // Guards against a name that is no longer what its clients write: only lists are joined.
            Value::String(text) => {
                self.0.insert(path.to_string(), text.clone());
            }
            value => {
                self.0.insert(path.to_string(), plain(value));
            }
        }
    }
}

/// A single value as the lines would hold it.
fn plain(value: &Value) -> String {
    match value {
        Value::String(text) => name(text),
        Value::Null => String::new(),
        value => value.to_string(),
    }
}

/// A name as settings spell it.
pub fn name(text: &str) -> String {
    text.replace([' ', ','], "_")
}

/// What is out of order at one place of the settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// A path of names and numbers, such as `Profiles.0.PromiseUs`.
    pub place: String,
    pub words: &'static str,
}

/// Everything that is out of order in a courier's settings, in the order in which they are read; each place
/// at most once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Faults(pub Vec<Fault>);

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        for (i, fault) in self.0.iter().enumerate() {
            write!(f, "{}setting {} {}", if i == 0 { "" } else { "; " }, fault.place, fault.words)?;
        }
        Ok(())
    }
}

impl std::error::Error for Faults {}

/// A list of settings is no longer.
const MOST_ITEMS: usize = 256;
const MISSING: &str = "is missing";
const UNREADABLE: &str = "cannot be read";

/// Reads values and notes what is out of order: any value stands in for one that cannot be had, and nothing
/// that is read so leaves the decoder.
struct Reader<'a> {
    pairs: &'a Pairs,
    faults: RefCell<Vec<Fault>>,
}

impl Reader<'_> {
    fn fault(&self, place: &str, words: &'static str) {
        let mut faults = self.faults.borrow_mut();
        // Guards against one fault told twice: some lists are read for more than one purpose.
        if faults.iter().all(|fault| fault.place != place) {
            faults.push(Fault { place: place.to_string(), words });
        }
    }

    fn found(&self, key: &str) -> Option<&str> {
        self.pairs.0.get(key).map(String::as_str)
    }

    fn text(&self, key: &str) -> &str {
        self.found(key).unwrap_or_else(|| {
            self.fault(key, MISSING);
            ""
        })
    }

    fn parsed<T: FromStr + Default>(&self, key: &str, text: &str) -> T {
        text.parse().unwrap_or_else(|_| {
            self.fault(key, UNREADABLE);
            T::default()
        })
    }

    fn get<T: FromStr + Default>(&self, key: &str) -> T {
        self.parsed(key, self.text(key))
    }

    fn or<T: FromStr + Default>(&self, key: &str, absent: T) -> T {
        self.found(key).map_or(absent, |text| self.parsed(key, text))
    }

    fn time(&self, key: &str) -> Time {
        self.bounded(key, self.get(key))
    }

    fn time_or(&self, key: &str, absent: u64) -> Time {
        self.bounded(key, self.or(key, absent))
    }

    /// Guards against times that would overflow once they are added up: none is longer than ten years.
    fn bounded(&self, key: &str, us: u64) -> Time {
        if us > 10 * 366 * 86_400 * 1_000_000 {
            self.fault(key, "is no time");
        }
        tenths(us)
    }

    fn figure(&self, key: &str, absent: f64) -> f64 {
        let value: f64 = self.or(key, absent);
        if !value.is_finite() {
            self.fault(key, "is not a number");
        }
        value
    }

    fn list<T: FromStr + Default>(&self, key: &str) -> Vec<T> {
        let items = self.found(key).unwrap_or("").split(',').filter(|item| !item.is_empty());
        items.map(|item| self.parsed(key, item)).collect()
    }

    fn each<T>(&self, list: &str, read: impl Fn(&str) -> T) -> Vec<T> {
        let place = format!("{list}.count");
        let count: usize = self.or(&place, 0);
        // Guards against a long list of which the rest would be passed over without a word.
        if count > MOST_ITEMS {
            self.fault(&place, "is over 256");
        }
        (0..count.min(MOST_ITEMS)).map(|i| read(&format!("{list}.{i}."))).collect()
    }
}

/// From the bench's lines.
pub fn decode(seed: u64, info: &[u8]) -> Result<Decoded, String> {
    let text = std::str::from_utf8(info).map_err(|_| "the settings are not text".to_string())?;
    read(seed, &Pairs::from_lines(text)).map_err(|faults| faults.to_string())
}

/// From the nested JSON of a courier's configuration.
pub fn decode_json(seed: u64, settings: &Value) -> Result<Decoded, Faults> {
    read(seed, &Pairs::from_json(settings))
}

/// What nested JSON says at these paths, as the lines would; `None` where it says nothing. Nothing is checked.
pub fn texts<const N: usize>(settings: &Value, paths: [&str; N]) -> [Option<String>; N] {
    let pairs = Pairs::from_json(settings);
    paths.map(|path| pairs.0.get(path).cloned())
}

fn read(seed: u64, pairs: &Pairs) -> Result<Decoded, Faults> {
    let p = &Reader { pairs, faults: RefCell::default() };
    let fields: Vec<String> = p.list("Telemetry.Fields");
    let inline = p.found("Telemetry.How") == Some("inline");
    let place = |name: &str| fields.iter().position(|f| inline && f == name);
    let batches: Vec<usize> = p.list("FamilyInfo.KindBatch");
    let apart: Vec<bool> = p.list("FamilyInfo.OwnLimits");
    let kinds: Vec<String> = p.list("Kinds");
    let settings = Settings {
        seed,
        couriers: p.get::<usize>("NInstances").max(1),
        courier_index: p.or("Me", 0),
        slots: p.get("FamilyInfo.Slots"),
        max_mails: p.get("Limits.MaxOpen"),
        max_connects: p.get("Limits.MaxAttempts"),
        timer_resolution: p.time("ResolutionUs").max(1),
        connection_timeout: p.time("Limits.ConnectTimeoutUs"),
        idle_timeout: p.time_or("Limits.KeepaliveUs", 10_000_000),
        max_retry_after: if p.or("Limits.RetryAfter", false) { p.time("Limits.MaxRetryAfterUs") } else { 0 },
        handshake_cost: p.figure("Penalties.Handshake", 0.0),
        peer_notes: p.or("Limits.MayTell", false),
        poll_list: p.text("MembershipMode") == "ask",
        max_poll_delay: p.time_or("Rules.AskWithinUs", 10_000_000),
        cold_capacity: p.figure("Rules.ColdFrom", 1.0),
        warm_up: p.time_or("Rules.ColdUs", 0),
        overload_multiple: p.figure("Rules.TipMultiple", 1.0),
        overload_duration: p.time_or("Rules.OverloadForUs", 0),
        ordering_gap: p.time_or("Rules.TurnGapUs", 0),
        half_life_decay: p.found("FamilyInfo.Late") == Some("by_half"),
        list_has_rates: matches!(p.found("Weights"), Some("nominal" | "rough")),
        zone_fees: p.list("FamilyInfo.Carriage"),
        kinds: (0..kinds.len().max(1))
            .map(|i| Kind {
                max_batch: batches.get(i).or(batches.last()).copied().unwrap_or(1).max(1),
                per_endpoint_limits: apart.get(i).or(apart.last()).copied().unwrap_or(false),
            })
            .collect(),
        classes: p.each("Profiles", |at| queue_class(p, at)),
    };
    if settings.classes.is_empty() {
        p.fault("Profiles.count", MISSING);
    }
    let report = [place("x0"), place("x1")];
    let decoded = Decoded {
        settings,
        report,
        classes: p.each("Profiles", |at| p.or(&format!("{at}Name"), String::new())),
        zones: p.list("Dcs"),
        kinds,
        may_overlap: p.or("Limits.MayDuplicate", false),
        fields,
    };
    let faults = p.faults.take();
    if faults.is_empty() {
        Ok(decoded)
    } else {
        Err(Faults(faults))
    }
}

fn queue_class(p: &Reader, at: &str) -> QueueClass {
    let key = |name: &str| format!("{at}{name}");
    QueueClass {
        effect: match p.text(&key("Effect")) {
            "read_like" => Effect::Redeliverable,
            "idempotency_key" => Effect::Tagged,
            "non_idempotent" => Effect::OnceOnly,
            _ => {
                p.fault(&key("Effect"), UNREADABLE);
                Effect::OnceOnly
            }
        },
        dedup_by_zone: p.found(&key("Group")).is_some_and(|group| group != "all"),
        dedup_window: p.time_or(&key("DedupWindowUs"), 0),
        target_delay: p.time(&key("PromiseUs")),
        lifetime: p.time(&key("HardLimitUs")),
        importance: p.figure(&key("Worth"), 1.0),
        expiry_importance: p.figure(&key("LateWorth"), 0.0),
        ordered: p.or(&key("InTurn"), false),
    }
}

#[cfg(test)]
mod tests;
