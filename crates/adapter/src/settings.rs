//! Decodes the settings of a courier's first message, once. Unknown keys are passed over.

use std::collections::HashMap;
use std::str::FromStr;

use meadowhold::interface::{Effect, Kind, QueueClass, Settings, Time};

use crate::wire::tenths;

pub struct Decoded {
    pub settings: Settings,
    /// Places of the limit's two values in a load report.
    pub report: [Option<usize>; 2],
}

struct Pairs<'a>(HashMap<&'a str, &'a str>);

impl<'a> Pairs<'a> {
    fn text(&self, key: &str) -> Result<&'a str, String> {
        self.0.get(key).copied().ok_or_else(|| format!("setting {key} is missing"))
    }

    fn get<T: FromStr>(&self, key: &str) -> Result<T, String> {
        self.text(key)?.parse().map_err(|_| format!("setting {key} cannot be read"))
    }

    fn or<T: FromStr>(&self, key: &str, absent: T) -> Result<T, String> {
        if self.0.contains_key(key) {
            self.get(key)
        } else {
            Ok(absent)
        }
    }

    fn time(&self, key: &str) -> Result<Time, String> {
        self.get(key).map(tenths)
    }

    fn figure(&self, key: &str, absent: f64) -> Result<f64, String> {
        let value: f64 = self.or(key, absent)?;
        if value.is_finite() {
            Ok(value)
        } else {
            Err(format!("setting {key} is not a number"))
        }
    }

    fn list<T: FromStr>(&self, key: &str) -> Result<Vec<T>, String> {
        let whole = self.0.get(key).copied().unwrap_or("");
        let items = whole.split(',').filter(|item| !item.is_empty());
        items.map(|item| item.parse().map_err(|_| format!("setting {key} cannot be read"))).collect()
    }

    fn each<T>(&self, list: &str, read: impl Fn(&str) -> Result<T, String>) -> Result<Vec<T>, String> {
        let count: usize = self.or(&format!("{list}.count"), 0)?;
        (0..count.min(256)).map(|i| read(&format!("{list}.{i}."))).collect()
    }
}

pub fn decode(seed: u64, info: &[u8]) -> Result<Decoded, String> {
    let text = std::str::from_utf8(info).map_err(|_| "the settings are not text".to_string())?;
    let p = Pairs(text.lines().filter_map(|line| line.split_once('=')).collect());
    let fields: Vec<String> = p.list("Telemetry.Fields")?;
    let inline = p.0.get("Telemetry.How").is_some_and(|how| *how == "inline");
    let place = |name: &str| fields.iter().position(|f| inline && f == name);
    let batches: Vec<usize> = p.list("FamilyInfo.KindBatch")?;
    let apart: Vec<bool> = p.list("FamilyInfo.OwnLimits")?;
    let kinds = p.list::<String>("Kinds")?.len().max(1);
    let settings = Settings {
        seed,
        couriers: p.get::<usize>("NInstances")?.max(1),
        slots: p.get("FamilyInfo.Slots")?,
        room: p.get("Limits.MaxOpen")?,
        max_connects: p.get("Limits.MaxAttempts")?,
        resolution: p.time("ResolutionUs")?.max(1),
        connect_timeout: p.time("Limits.ConnectTimeoutUs")?,
        max_pause: if p.or("Limits.RetryAfter", false)? { p.time("Limits.MaxRetryAfterUs")? } else { 0 },
        ask_list: p.text("MembershipMode")? == "ask",
        ask_within: tenths(p.or("Rules.AskWithinUs", 10_000_000)?),
        cold_from: p.figure("Rules.ColdFrom", 1.0)?,
        cold: tenths(p.or("Rules.ColdUs", 0)?),
        tip_multiple: p.figure("Rules.TipMultiple", 1.0)?,
        overload_for: tenths(p.or("Rules.OverloadForUs", 0)?),
        turn_gap: tenths(p.or("Rules.TurnGapUs", 0)?),
        by_half: p.0.get("FamilyInfo.Late").is_some_and(|late| *late == "by_half"),
        rates_listed: matches!(p.0.get("Weights").copied(), Some("nominal" | "rough")),
        fees: p.list("FamilyInfo.Carriage")?,
        kinds: (0..kinds)
            .map(|i| Kind {
                batch: batches.get(i).or(batches.last()).copied().unwrap_or(1).max(1),
                apart: apart.get(i).or(apart.last()).copied().unwrap_or(false),
            })
            .collect(),
        classes: p.each("Profiles", |at| queue_class(&p, at))?,
    };
    if settings.classes.is_empty() {
        return Err("setting Profiles.count is missing".to_string());
    }
    Ok(Decoded { settings, report: [place("x0"), place("x1")] })
}

fn queue_class(p: &Pairs, at: &str) -> Result<QueueClass, String> {
    let key = |name: &str| format!("{at}{name}");
    Ok(QueueClass {
        effect: match p.text(&key("Effect"))? {
            "read_like" => Effect::Redeliverable,
            "idempotency_key" => Effect::Tagged,
            "non_idempotent" => Effect::OnceOnly,
            _ => return Err(format!("setting {at}Effect cannot be read")),
        },
        by_zone: p.0.get(key("Group").as_str()).is_some_and(|group| *group != "all"),
        window: tenths(p.or(&key("DedupWindowUs"), 0)?),
        target: p.time(&key("PromiseUs"))?,
        lifetime: p.time(&key("HardLimitUs"))?,
        importance: p.figure(&key("Worth"), 1.0)?,
        late_worth: p.figure(&key("LateWorth"), 0.0)?,
        in_turn: p.or(&key("InTurn"), false)?,
    })
}
