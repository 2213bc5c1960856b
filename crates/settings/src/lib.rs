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
const US_PER_TICK: u64 = 100;

pub fn time_from_us(us: u64) -> Time {
    us / US_PER_TICK
}

#[derive(Debug)]
pub struct Decoded {
    pub settings: Settings,
    /// Places of the limit's two values in a load report.
    pub report_positions: [Option<usize>; 2],
    /// Names of the report's values, and of what else is numbered by its place in a list.
    pub report_fields: Vec<String>,
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
        let join = |name: &str| if path.is_empty() { name.to_string() } else { format!("{path}.{name}") };
        match value {
            Value::Object(map) => map.iter().for_each(|(name, value)| self.flatten(&join(name), value)),
            Value::Array(items) if items.iter().any(Value::is_object) => {
                self.0.insert(join("count"), items.len().to_string());
                items.iter().enumerate().for_each(|(i, item)| self.flatten(&join(&i.to_string()), item));
            }
            Value::Array(items) => {
                let items: Vec<String> = items.iter().map(scalar_text).collect();
                self.0.insert(path.to_string(), items.join(","));
            }
            // Guards against a name that is no longer what its clients write: only lists are joined.
            Value::String(text) => {
                self.0.insert(path.to_string(), text.clone());
            }
            value => {
                self.0.insert(path.to_string(), scalar_text(value));
            }
        }
    }
}

/// A single value as the lines would hold it.
fn scalar_text(value: &Value) -> String {
    match value {
        Value::String(text) => normalized_name(text),
        Value::Null => String::new(),
        value => value.to_string(),
    }
}

/// A name as settings spell it.
pub fn normalized_name(text: &str) -> String {
    text.replace([' ', ','], "_")
}

/// What is out of order at one place of the settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// A path of names and numbers, such as `Profiles.0.PromiseUs`.
    pub path: String,
    pub problem: &'static str,
}

/// Everything that is out of order in a courier's settings, in the order in which they are read; each place
/// at most once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Faults(pub Vec<Fault>);

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        for (i, fault) in self.0.iter().enumerate() {
            write!(f, "{}setting {} {}", if i == 0 { "" } else { "; " }, fault.path, fault.problem)?;
        }
        Ok(())
    }
}

impl std::error::Error for Faults {}

/// A list of settings is no longer.
const MAX_ITEMS: usize = 256;
const MISSING: &str = "is missing";
const UNREADABLE: &str = "cannot be read";

/// Reads values and notes what is out of order: any value stands in for one that cannot be had, and nothing
/// that is read so leaves the decoder.
struct Reader<'a> {
    pairs: &'a Pairs,
    faults: RefCell<Vec<Fault>>,
}

impl Reader<'_> {
    fn add_fault(&self, path: &str, problem: &'static str) {
        let mut faults = self.faults.borrow_mut();
        // Guards against one fault told twice: some lists are read for more than one purpose.
        if faults.iter().all(|fault| fault.path != path) {
            faults.push(Fault { path: path.to_string(), problem });
        }
    }

    fn value(&self, key: &str) -> Option<&str> {
        self.pairs.0.get(key).map(String::as_str)
    }

    fn required_text(&self, key: &str) -> &str {
        self.value(key).unwrap_or_else(|| {
            self.add_fault(key, MISSING);
            ""
        })
    }

    fn parse<T: FromStr + Default>(&self, key: &str, text: &str) -> T {
        text.parse().unwrap_or_else(|_| {
            self.add_fault(key, UNREADABLE);
            T::default()
        })
    }

    fn required<T: FromStr + Default>(&self, key: &str) -> T {
        self.parse(key, self.required_text(key))
    }

    fn optional<T: FromStr + Default>(&self, key: &str, default: T) -> T {
        self.value(key).map_or(default, |text| self.parse(key, text))
    }

    fn required_time(&self, key: &str) -> Time {
        self.checked_time(key, self.required(key))
    }

    fn optional_time(&self, key: &str, default: u64) -> Time {
        self.checked_time(key, self.optional(key, default))
    }

    /// Guards against times that would overflow once they are added up: none is longer than ten years.
    fn checked_time(&self, key: &str, us: u64) -> Time {
        if us > 10 * 366 * 86_400 * 1_000_000 {
            self.add_fault(key, "is no time");
        }
        time_from_us(us)
    }

    fn finite_number(&self, key: &str, default: f64) -> f64 {
        let value: f64 = self.optional(key, default);
        if !value.is_finite() {
            self.add_fault(key, "is not a number");
        }
        value
    }

    fn list<T: FromStr + Default>(&self, key: &str) -> Vec<T> {
        let items = self.value(key).unwrap_or("").split(',').filter(|item| !item.is_empty());
        items.map(|item| self.parse(key, item)).collect()
    }

    fn objects<T>(&self, list: &str, decode: impl Fn(&str) -> T) -> Vec<T> {
        let path = format!("{list}.count");
        let count: usize = self.optional(&path, 0);
        // Guards against a long list of which the rest would be passed over without a word.
        if count > MAX_ITEMS {
            self.add_fault(&path, "is over 256");
        }
        (0..count.min(MAX_ITEMS)).map(|i| decode(&format!("{list}.{i}."))).collect()
    }
}

/// From the bench's lines.
pub fn decode(seed: u64, info: &[u8]) -> Result<Decoded, String> {
    let text = std::str::from_utf8(info).map_err(|_| "the settings are not text".to_string())?;
    decode_pairs(seed, &Pairs::from_lines(text)).map_err(|faults| faults.to_string())
}

/// From the nested JSON of a courier's configuration.
pub fn decode_json(seed: u64, settings: &Value) -> Result<Decoded, Faults> {
    decode_pairs(seed, &Pairs::from_json(settings))
}

/// What nested JSON says at these paths, as the lines would; `None` where it says nothing. Nothing is checked.
pub fn raw_values<const N: usize>(settings: &Value, paths: [&str; N]) -> [Option<String>; N] {
    let pairs = Pairs::from_json(settings);
    paths.map(|path| pairs.0.get(path).cloned())
}

fn decode_pairs(seed: u64, pairs: &Pairs) -> Result<Decoded, Faults> {
    let p = &Reader { pairs, faults: RefCell::default() };
    let report_fields: Vec<String> = p.list("Telemetry.Fields");
    let inline = p.value("Telemetry.How") == Some("inline");
    let position = |name: &str| report_fields.iter().position(|f| inline && f == name);
    let batches: Vec<usize> = p.list("FamilyInfo.KindBatch");
    let apart: Vec<bool> = p.list("FamilyInfo.OwnLimits");
    let kinds: Vec<String> = p.list("Kinds");
    let settings = Settings {
        seed,
        couriers: p.required::<usize>("NInstances").max(1),
        me: p.optional("Me", 0),
        slots: p.required("FamilyInfo.Slots"),
        room: p.required("Limits.MaxOpen"),
        max_connects: p.required("Limits.MaxAttempts"),
        resolution: p.required_time("ResolutionUs").max(1),
        connect_timeout: p.required_time("Limits.ConnectTimeoutUs"),
        keep_idle: p.optional_time("Limits.KeepaliveUs", 10_000_000),
        max_pause: if p.optional("Limits.RetryAfter", false) {
            p.required_time("Limits.MaxRetryAfterUs")
        } else {
            0
        },
        handshake_price: p.finite_number("Penalties.Handshake", 0.0),
        may_tell: p.optional("Limits.MayTell", false),
        ask_list: p.required_text("MembershipMode") == "ask",
        ask_within: p.optional_time("Rules.AskWithinUs", 10_000_000),
        cold_from: p.finite_number("Rules.ColdFrom", 1.0),
        cold: p.optional_time("Rules.ColdUs", 0),
        tip_multiple: p.finite_number("Rules.TipMultiple", 1.0),
        overload_for: p.optional_time("Rules.OverloadForUs", 0),
        turn_gap: p.optional_time("Rules.TurnGapUs", 0),
        by_half: p.value("FamilyInfo.Late") == Some("by_half"),
        rates_listed: matches!(p.value("Weights"), Some("nominal" | "rough")),
        fees: p.list("FamilyInfo.Carriage"),
        kinds: (0..kinds.len().max(1))
            .map(|i| Kind {
                batch: batches.get(i).or(batches.last()).copied().unwrap_or(1).max(1),
                apart: apart.get(i).or(apart.last()).copied().unwrap_or(false),
            })
            .collect(),
        classes: p.objects("Profiles", |at| queue_class(p, at)),
    };
    if settings.classes.is_empty() {
        p.add_fault("Profiles.count", MISSING);
    }
    let report_positions = [position("x0"), position("x1")];
    let decoded = Decoded {
        settings,
        report_positions,
        classes: p.objects("Profiles", |at| p.optional(&format!("{at}Name"), String::new())),
        zones: p.list("Dcs"),
        kinds,
        may_overlap: p.optional("Limits.MayDuplicate", false),
        report_fields,
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
        effect: match p.required_text(&key("Effect")) {
            "read_like" => Effect::Redeliverable,
            "idempotency_key" => Effect::Tagged,
            "non_idempotent" => Effect::OnceOnly,
            _ => {
                p.add_fault(&key("Effect"), UNREADABLE);
                Effect::OnceOnly
            }
        },
        by_zone: p.value(&key("Group")).is_some_and(|group| group != "all"),
        window: p.optional_time(&key("DedupWindowUs"), 0),
        target: p.required_time(&key("PromiseUs")),
        lifetime: p.required_time(&key("HardLimitUs")),
        importance: p.finite_number(&key("Worth"), 1.0),
        late_worth: p.finite_number(&key("LateWorth"), 0.0),
        in_turn: p.optional(&key("InTurn"), false),
    }
}

#[cfg(test)]
mod tests;
