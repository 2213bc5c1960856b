//! Decodes the settings of a courier, either from `key=value` lines (as the bench sends them) or from nested
//! JSON. Both forms use the same key names and the same decoder. Unknown keys are ignored.
#![forbid(unsafe_code)]

use std::cell::RefCell;
use std::collections::HashMap;
use std::fmt;
use std::str::FromStr;

use meadowhold::interface::{Effect, Kind, QueueClass, Settings, Time};
use serde_json::Value;

/// Microseconds in one tick of `Time` (0.1 ms).
const US_PER_TICK: u64 = 100;

/// Converts microseconds to `Time`, rounding down.
pub fn time_from_us(us: u64) -> Time {
    us / US_PER_TICK
}

#[derive(Debug)]
pub struct Decoded {
    pub settings: Settings,
    /// Positions of `x0` (what remains of the limit) and `x1` (the limit) in `report_fields`; `None`: not reported.
    pub report_positions: [Option<usize>; 2],
    /// Names of the values that endpoints report with an answer, in order.
    pub report_fields: Vec<String>,
    /// Names of the queue classes, zones and kinds, each indexed by its number.
    pub classes: Vec<String>,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
    /// Whether a mail may have two connects in flight at once.
    pub may_overlap: bool,
}

/// Settings keyed by dotted path, with every value as text.
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

    /// Nested objects become dotted paths and lists of scalars are joined with commas. The items of a list with
    /// objects get numbered paths, and the list's length is stored under `count`.
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
            // A single string is kept as it is: normalizing it would change names that clients send. Only names
            // in comma-separated lists need it.
            Value::String(text) => {
                self.0.insert(path.to_string(), text.clone());
            }
            value => {
                self.0.insert(path.to_string(), scalar_text(value));
            }
        }
    }
}

/// The text of a scalar as an item of a comma-separated list.
fn scalar_text(value: &Value) -> String {
    match value {
        Value::String(text) => normalized_name(text),
        Value::Null => String::new(),
        value => value.to_string(),
    }
}

/// Replaces spaces and commas, which cannot occur in a name within a comma-separated list, with underscores.
pub fn normalized_name(text: &str) -> String {
    text.replace([' ', ','], "_")
}

/// A setting that is missing or invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Dotted path of the setting, such as `Profiles.0.PromiseUs`.
    pub path: String,
    pub problem: &'static str,
}

/// All faults of a courier's settings, in decoding order, with at most one for each path.
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

/// Maximum length of a list of objects.
const MAX_ITEMS: usize = 256;
const MISSING: &str = "is missing";
const UNREADABLE: &str = "cannot be read";

/// Reads values and collects faults. A missing or invalid value is replaced by an arbitrary one so that decoding
/// can go on and find all faults; the decoder returns no settings if there is any fault.
struct Reader<'a> {
    pairs: &'a Pairs,
    faults: RefCell<Vec<Fault>>,
}

impl Reader<'_> {
    fn add_fault(&self, path: &str, problem: &'static str) {
        let mut faults = self.faults.borrow_mut();
        // Some lists are read more than once; each fault is reported only once.
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

    /// Rejects times longer than ten years, so that sums of times cannot overflow.
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
        // A list that is too long is a fault: its further items must not be dropped silently.
        if count > MAX_ITEMS {
            self.add_fault(&path, "is over 256");
        }
        (0..count.min(MAX_ITEMS)).map(|i| decode(&format!("{list}.{i}."))).collect()
    }
}

/// Decodes `key=value` lines, as the bench sends them.
pub fn decode(seed: u64, info: &[u8]) -> Result<Decoded, String> {
    let text = std::str::from_utf8(info).map_err(|_| "the settings are not text".to_string())?;
    decode_pairs(seed, &Pairs::from_lines(text)).map_err(|faults| faults.to_string())
}

/// Decodes the nested JSON of a courier's configuration.
pub fn decode_json(seed: u64, settings: &Value) -> Result<Decoded, Faults> {
    decode_pairs(seed, &Pairs::from_json(settings))
}

/// The unchecked texts of the values at these paths of nested JSON; `None` where a value is absent.
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
    let own_limits: Vec<bool> = p.list("FamilyInfo.OwnLimits");
    let kinds: Vec<String> = p.list("Kinds");
    let settings = Settings {
        seed,
        couriers: p.required::<usize>("NInstances").max(1),
        courier_index: p.optional("Me", 0),
        slots: p.required("FamilyInfo.Slots"),
        max_mails: p.required("Limits.MaxOpen"),
        max_connects: p.required("Limits.MaxAttempts"),
        timer_resolution: p.required_time("ResolutionUs").max(1),
        connection_timeout: p.required_time("Limits.ConnectTimeoutUs"),
        idle_timeout: p.optional_time("Limits.KeepaliveUs", 10_000_000),
        max_retry_after: if p.optional("Limits.RetryAfter", false) {
            p.required_time("Limits.MaxRetryAfterUs")
        } else {
            0
        },
        handshake_cost: p.finite_number("Penalties.Handshake", 0.0),
        peer_notes: p.optional("Limits.MayTell", false),
        poll_list: p.required_text("MembershipMode") == "ask",
        max_poll_delay: p.optional_time("Rules.AskWithinUs", 10_000_000),
        cold_capacity: p.finite_number("Rules.ColdFrom", 1.0),
        warm_up: p.optional_time("Rules.ColdUs", 0),
        overload_multiple: p.finite_number("Rules.TipMultiple", 1.0),
        overload_duration: p.optional_time("Rules.OverloadForUs", 0),
        ordering_gap: p.optional_time("Rules.TurnGapUs", 0),
        half_life_decay: p.value("FamilyInfo.Late") == Some("by_half"),
        list_has_rates: matches!(p.value("Weights"), Some("nominal" | "rough")),
        zone_fees: p.list("FamilyInfo.Carriage"),
        kinds: (0..kinds.len().max(1))
            .map(|i| Kind {
                max_batch: batches.get(i).or(batches.last()).copied().unwrap_or(1).max(1),
                per_endpoint_limits: own_limits.get(i).or(own_limits.last()).copied().unwrap_or(false),
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
        dedup_by_zone: p.value(&key("Group")).is_some_and(|group| group != "all"),
        dedup_window: p.optional_time(&key("DedupWindowUs"), 0),
        target_delay: p.required_time(&key("PromiseUs")),
        lifetime: p.required_time(&key("HardLimitUs")),
        importance: p.finite_number(&key("Worth"), 1.0),
        expiry_importance: p.finite_number(&key("LateWorth"), 0.0),
        ordered: p.optional(&key("InTurn"), false),
    }
}

#[cfg(test)]
mod tests;
