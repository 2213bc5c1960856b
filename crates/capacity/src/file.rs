//! The file of figures: what it may say, and all that is wrong with it at once, each fault with its line and key.

use std::collections::BTreeMap;
use std::fmt;

use serde::Deserialize;
use toml::de::{DeTable, DeValue};
use toml::{Table, Value};

use crate::evaluate::Evaluation;

/// Names `size` in a formula of an inferred slope: the size that the slope is asked at.
pub const SIZE: &str = "size";
/// What a cell or a failure is carried by where nothing carries it.
pub const MISSING: &str = "missing";

/// Something that a formula may be: it has a value for whatever it names, or a fault; there are no loops.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(
    untagged,
    deny_unknown_fields,
    expecting = "expected a number, the name of a figure of the target, {slope, at}, {sum}, {product} or {over}"
)]
pub enum Formula {
    Number(f64),
    /// A figure of the target, or `size`.
    Variable(String),
    Slope {
        slope: String,
        at: Box<Formula>,
    },
    Sum {
        sum: Vec<Formula>,
    },
    Product {
        product: Vec<Formula>,
    },
    /// The first over the second.
    Quotient {
        over: Box<[Formula; 2]>,
    },
}

impl fmt::Display for Formula {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let joined = |f: &mut fmt::Formatter, parts: &[Formula], sign: &str| {
            f.write_str("(")?;
            for (i, part) in parts.iter().enumerate() {
                write!(f, "{}{part}", if i > 0 { sign } else { "" })?;
            }
            f.write_str(")")
        };
        match self {
            Formula::Number(number) => write!(f, "{number}"),
            Formula::Variable(name) => f.write_str(name),
            Formula::Slope { slope, at } => write!(f, "{slope} at {at}"),
            Formula::Sum { sum } => joined(f, sum, " + "),
            Formula::Product { product } => joined(f, product, " x "),
            Formula::Quotient { over } => joined(f, &**over, " / "),
        }
    }
}

/// How a slope is known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Evidence {
    Measured,
    /// By a formula from other slopes.
    Inferred,
    #[default]
    NotRun,
}

/// Which text of the program was measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Revision {
    Before,
    After,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FitKind {
    /// `slope * size + intercept`
    Linear,
    /// `slope * size ^ exponent`
    Power,
}

#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fit {
    pub kind: FitKind,
    pub slope: f64,
    /// Of a line; 0 where it is not said.
    pub intercept: Option<f64>,
    /// Of a power law.
    pub exponent: Option<f64>,
    /// Part of the measured values that the fit leaves unexplained (root of the mean square).
    pub residual: f64,
}

impl Fit {
    /// Whether it says anything: one that is off by more than the values themselves does not.
    pub fn is_usable(&self) -> bool {
        self.residual <= 1.0
    }

    pub fn value_at(&self, size: f64) -> f64 {
        match self.kind {
            FitKind::Linear => self.slope * size + self.intercept.unwrap_or(0.0),
            FitKind::Power => self.slope * size.powf(self.exponent.unwrap_or(1.0)),
        }
    }
}

#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Slope {
    pub what: String,
    pub unit: String,
    /// What its size counts.
    pub of: String,
    pub standing: Evidence,
    pub text: Option<Revision>,
    /// `FILE#NAME`, or `FILE#NAME@BINARY` where the file has several programs' entries: an entry of a file of slopes beside this one, in place of command, sizes and fit.
    pub from: Option<String>,
    pub command: String,
    /// The smallest and the largest size that were run.
    pub sizes: Option<[f64; 2]>,
    pub fit: Option<Fit>,
    /// What kept the run from a larger size.
    pub stopped_by: String,
    /// The machine's load averages beside the runs, the smallest and the largest; from the file beside.
    #[serde(skip)]
    pub loads: Option<[f64; 2]>,
    /// Size and value of each run; from the file beside.
    #[serde(skip)]
    pub points: Vec<[f64; 2]>,
    /// Of an inferred slope.
    pub formula: Option<Formula>,
}

#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Figure {
    pub value: f64,
    pub unit: String,
    pub what: String,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Column {
    State,
    Messages,
    Processor,
    Memory,
    Bytes,
    Disk,
}

/// In the order of the page, each with its heading.
pub const COLUMNS: [(Column, &str); 6] = [
    (Column::State, "state"),
    (Column::Messages, "messages a second"),
    (Column::Processor, "processor time"),
    (Column::Memory, "memory"),
    (Column::Bytes, "bytes a second"),
    (Column::Disk, "disk"),
];

#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Role {
    pub name: String,
    pub what: String,
    /// There is no such part in today's text: why, and what it would do. It has no cells.
    pub missing: String,
    /// What is to be done where it is missing.
    pub next: String,
}

#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Cell {
    pub role: String,
    pub column: Option<Column>,
    /// What stands in the cell, where the column's heading does not say it.
    pub what: String,
    pub unit: String,
    /// Nothing: the role has none of it.
    pub formula: Option<Formula>,
    pub budget: Option<Formula>,
    /// The mechanism, or `missing`.
    pub carried_by: String,
    /// The part of the target at which today's text stops.
    pub stops: Option<Formula>,
    /// What is to be done where the target is not reached. Left out where another cell of the role says it: this one
    /// then stands in no place of its own in what comes next.
    pub next: String,
}

#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Failure {
    pub what: String,
    pub often: String,
    pub lost: String,
    pub late: String,
    /// The mechanism, or `missing`.
    pub carried_by: String,
    pub standing: Evidence,
    /// What measured it.
    pub run: String,
    pub stops: Option<Formula>,
    pub next: String,
}

/// All that stands in the file.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Figures {
    pub target: BTreeMap<String, Figure>,
    pub slope: BTreeMap<String, Slope>,
    pub role: Vec<Role>,
    pub cell: Vec<Cell>,
    pub failure: Vec<Failure>,
}

/// Something wrong with a file: on which line (0: nowhere in particular), at which key, and what.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    pub line: usize,
    pub key: String,
    pub message: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match (self.line, self.key.is_empty()) {
            (0, true) => f.write_str(&self.message),
            (0, false) => write!(f, "{}: {}", self.key, self.message),
            (line, true) => write!(f, "line {line}: {}", self.message),
            (line, false) => write!(f, "line {line}, {}: {}", self.key, self.message),
        }
    }
}

/// An entry of a file of slopes, as the programs that measure write it.
#[derive(Clone, Debug, Deserialize)]
struct Entry {
    name: String,
    unit: String,
    command: String,
    points: Vec<Point>,
    fit: Option<Fit>,
    largest: f64,
    #[serde(default)]
    stopped_by: String,
}

/// A file of the bench of slopes: entries of several programs beside each other, and the machine they ran on.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Bench {
    #[serde(rename = "machine")]
    _machine: serde_json::Map<String, serde_json::Value>,
    slopes: Vec<serde_json::Value>,
}

/// An entry of such a file: each field is known, so that one that comes to mean more is not passed over.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct BenchEntry {
    name: String,
    binary: String,
    size_unit: String,
    unit: String,
    command: String,
    points: Vec<BenchPoint>,
    fit: Option<BenchFit>,
    #[serde(rename = "other_fit")]
    _other_fit: Option<BenchFit>,
    #[serde(rename = "last_exponent")]
    _last_exponent: Option<f64>,
    largest: f64,
    stopped_by: String,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct BenchPoint {
    size: f64,
    value: f64,
    load: f64,
    #[serde(rename = "seen", default)]
    _seen: serde::de::IgnoredAny,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case", deny_unknown_fields)]
enum BenchFit {
    Linear { slope: f64, intercept: f64, residual: f64 },
    Power { scale: f64, exponent: f64, residual: f64 },
}

impl From<BenchFit> for Fit {
    fn from(fit: BenchFit) -> Fit {
        match fit {
            BenchFit::Linear { slope, intercept, residual } => {
                Fit { kind: FitKind::Linear, slope, intercept: Some(intercept), exponent: None, residual }
            }
            BenchFit::Power { scale, exponent, residual } => Fit {
                kind: FitKind::Power,
                slope: scale,
                intercept: None,
                exponent: Some(exponent),
                residual,
            },
        }
    }
}

/// What a slope takes from a file beside.
struct SourceEntry {
    unit: String,
    command: String,
    sizes: [f64; 2],
    points: Vec<[f64; 2]>,
    fit: Option<Fit>,
    stopped_by: String,
    /// What a size counts, where the file says it.
    of: Option<String>,
    /// The machine's load averages, from the smallest to the largest, where the file says them.
    loads: Option<[f64; 2]>,
}

/// From the least to the largest.
fn range(values: impl Iterator<Item = f64>) -> [f64; 2] {
    values.fold([f64::INFINITY, f64::NEG_INFINITY], |[from, to], value| [from.min(value), to.max(value)])
}

impl From<Entry> for SourceEntry {
    fn from(entry: Entry) -> SourceEntry {
        let smallest = entry.points.iter().map(|p| p.size).fold(entry.largest, f64::min);
        SourceEntry {
            unit: entry.unit,
            command: entry.command,
            sizes: [smallest, entry.largest],
            points: entry.points.iter().map(|p| [p.size, p.value]).collect(),
            fit: entry.fit,
            stopped_by: entry.stopped_by,
            of: None,
            loads: None,
        }
    }
}

impl From<BenchEntry> for SourceEntry {
    fn from(entry: BenchEntry) -> SourceEntry {
        let [smallest, _] = range(entry.points.iter().map(|p| p.size).chain([entry.largest]));
        SourceEntry {
            unit: entry.unit,
            command: entry.command,
            sizes: [smallest, entry.largest],
            points: entry.points.iter().map(|p| [p.size, p.value]).collect(),
            fit: entry.fit.map(Fit::from),
            stopped_by: entry.stopped_by,
            of: Some(entry.size_unit),
            loads: (!entry.points.is_empty()).then(|| range(entry.points.iter().map(|p| p.load))),
        }
    }
}

#[derive(Clone, Copy, Debug, Deserialize)]
struct Point {
    size: f64,
    value: f64,
}

impl Figures {
    /// Reads a file's text; `beside` gives the text of a file that stands beside it. All faults that can be told are
    /// told at once.
    pub fn read(
        text: &str,
        read_source: &dyn Fn(&str) -> Result<String, String>,
    ) -> Result<Figures, Vec<Fault>> {
        let table: Table = text.parse().map_err(|e: toml::de::Error| {
            let line = e.span().map_or(0, |span| line_of(text, span.start));
            vec![Fault { line, key: String::new(), message: e.message().to_string() }]
        })?;
        let (figures, mut faults) = decode(table);
        if let Some(mut figures) = figures {
            let reported: Vec<String> = faults.iter().map(|fault| fault.key.clone()).collect();
            let mut more = figures.load_sources(read_source);
            more.extend(figures.faults());
            // A key that could not be read has its default now, which is no fault of the file's own; the same where
            // a file beside could not.
            let unreadable: Vec<String> =
                more.iter().filter_map(|f| f.key.strip_suffix(".from").map(String::from)).collect();
            let is_consequence = |key: &str| {
                let slope =
                    key.rsplit_once('.').filter(|(_, last)| ["command", "sizes", "fit"].contains(last));
                slope.is_some_and(|(slope, _)| unreadable.iter().any(|from| from == slope))
            };
            more.retain(|fault| !reported.contains(&fault.key) && !is_consequence(&fault.key));
            faults.extend(more);
            if faults.is_empty() {
                return Ok(figures);
            }
        }
        let lines = KeyLines::of(text);
        for fault in &mut faults {
            fault.line = lines.line_of_key(&fault.key);
        }
        faults.sort_by_key(|fault| fault.line);
        faults.dedup();
        Err(faults)
    }

    /// Takes in what stands in files beside.
    fn load_sources(&mut self, read_source: &dyn Fn(&str) -> Result<String, String>) -> Vec<Fault> {
        let mut faults = Vec::new();
        for (name, slope) in &mut self.slope {
            let Some(from) = slope.from.clone() else { continue };
            let mut fault = |message: String| {
                faults.push(Fault { line: 0, key: format!("slope.{name}.from"), message });
            };
            if slope.fit.is_some() || slope.sizes.is_some() || !slope.command.is_empty() {
                fault("the figures come from a file; take command, sizes and fit out here".to_string());
                continue;
            }
            match find_entry(&from, read_source) {
                Ok(source) => {
                    if let Some(of) = source.of.filter(|of| *of != slope.of) {
                        fault(format!("its sizes count {of:?}, and `of` says {:?}", slope.of));
                    }
                    slope.sizes = Some(source.sizes);
                    slope.points = source.points;
                    slope.unit = source.unit;
                    slope.command = source.command;
                    slope.fit = source.fit;
                    slope.stopped_by = source.stopped_by;
                    slope.loads = source.loads;
                }
                Err(message) => fault(message),
            }
        }
        faults
    }

    fn faults(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        let mut fault = |key: String, message: String| faults.push(Fault { line: 0, key, message });
        for (name, figure) in &self.target {
            if name == SIZE || self.slope.contains_key(name) {
                fault(format!("target.{name}"), "the name is taken; give another".to_string());
            }
            if !figure.value.is_finite() || figure.value <= 0.0 {
                fault(
                    format!("target.{name}.value"),
                    format!("{} is no figure above 0; give one", figure.value),
                );
            }
        }
        for (name, slope) in &self.slope {
            slope.check(&mut |key, message| fault(format!("slope.{name}{key}"), message));
        }
        for (i, role) in self.role.iter().enumerate() {
            if role.name.is_empty() || self.role[..i].iter().any(|other| other.name == role.name) {
                fault(format!("role.{i}.name"), "give each role a name of its own".to_string());
            }
            if role.missing.is_empty() != role.next.is_empty() {
                let message = "say what is to be done where the role is missing, and only there";
                fault(format!("role.{i}.next"), message.to_string());
            }
            for (column, heading) in COLUMNS {
                let cells = self.cell.iter().filter(|c| c.role == role.name && c.column == Some(column));
                match (cells.count(), role.missing.is_empty()) {
                    (0, false) | (1, true) => {}
                    (0, true) => fault(
                        format!("role.{i}"),
                        format!("there is no cell for its {heading}; give one, without a formula if it has none"),
                    ),
                    (n, _) => fault(
                        format!("role.{i}"),
                        format!("there are {n} cells for its {heading}; give one, or none where the role is missing"),
                    ),
                }
            }
        }
        for (i, cell) in self.cell.iter().enumerate() {
            if !self.role.iter().any(|role| role.name == cell.role) {
                fault(format!("cell.{i}.role"), format!("there is no role {:?}", cell.role));
            }
            if cell.column.is_none() {
                fault(
                    format!("cell.{i}.column"),
                    "is not set; give state, messages, processor, memory, bytes or disk".to_string(),
                );
            }
            if cell.formula.is_none() && cell.budget.is_some() {
                fault(format!("cell.{i}.budget"), "there is no formula to hold against it".to_string());
            }
            if cell.formula.is_some() || !cell.carried_by.is_empty() {
                let key_of = |key: &str| format!("cell.{i}{key}");
                let states_next =
                    |other: &Cell| other.role == cell.role && other.stops.is_some() && !other.next.is_empty();
                let has_next = self.cell.iter().any(states_next);
                check_carried_by(&cell.carried_by, cell.stops.is_some(), has_next, &mut |key, message| {
                    fault(key_of(key), message);
                });
            }
        }
        for (i, failure) in self.failure.iter().enumerate() {
            let key_of = |key: &str| format!("failure.{i}{key}");
            for (key, text) in [(".what", &failure.what), (".lost", &failure.lost), (".late", &failure.late)]
            {
                if text.is_empty() {
                    fault(key_of(key), "is not set".to_string());
                }
            }
            if failure.standing != Evidence::NotRun && failure.run.is_empty() {
                fault(key_of(".run"), "say which run shows it, or that it is not-run".to_string());
            }
            let has_next = !failure.next.is_empty();
            check_carried_by(&failure.carried_by, failure.stops.is_some(), has_next, &mut |key, message| {
                fault(key_of(key), message);
            });
        }
        faults.extend(Evaluation::faults(self));
        faults
    }
}

/// What carries a cell or a failure, and what stands with it where nothing does.
fn check_carried_by(by: &str, stops: bool, has_next: bool, fault: &mut dyn FnMut(&str, String)) {
    if by.is_empty() {
        fault(".carried_by", format!("is not set; name the mechanism, or give {MISSING:?}"));
    }
    if by == MISSING && !stops {
        let message =
            "say at which part of the target today's text stops; 0 where there is no mechanism at all";
        fault(".stops", message.to_string());
    }
    if stops && !has_next {
        fault(".next", "it stops short of the target; say what is to be done".to_string());
    }
}

impl Slope {
    /// What was measured at this very size, in the mean.
    pub fn measured_at(&self, size: f64) -> Option<f64> {
        let values: Vec<f64> = self.points.iter().filter(|p| p[0] == size).map(|p| p[1]).collect();
        (!values.is_empty()).then(|| values.iter().sum::<f64>() / values.len() as f64)
    }

    fn check(&self, fault: &mut dyn FnMut(&str, String)) {
        if self.what.is_empty() || self.of.is_empty() {
            fault("", "say what it is of (`what`), and what its size counts (`of`)".to_string());
        }
        match self.standing {
            Evidence::Measured => {
                if self.command.trim().is_empty() {
                    fault(".command", "it is measured; name the command of the run".to_string());
                }
                match self.sizes {
                    None => {
                        fault(".sizes", "it is measured; give the smallest and the largest size".to_string())
                    }
                    Some([from, to]) if !(from >= 0.0 && to >= from && to.is_finite() && to > 0.0) => {
                        fault(".sizes", format!("[{from}, {to}] is no range of sizes"));
                    }
                    Some(_) => {}
                }
                match self.fit {
                    None => fault(".fit", "it is measured; give the fit".to_string()),
                    Some(fit) => {
                        let parameters = [Some(fit.slope), Some(fit.residual), fit.intercept, fit.exponent];
                        if parameters.iter().flatten().any(|value| !value.is_finite()) || fit.residual < 0.0 {
                            fault(".fit", "has a figure that is none".to_string());
                        }
                        if (fit.kind == FitKind::Power) != fit.exponent.is_some()
                            || (fit.kind == FitKind::Power && fit.intercept.is_some())
                        {
                            let message =
                                "a power law has an exponent, a line an intercept, and neither the other's";
                            fault(".fit", message.to_string());
                        }
                    }
                }
                if self.text.is_none() {
                    fault(".text", "it is measured; say of which text: before or after".to_string());
                }
                if self.formula.is_some() {
                    fault(".formula", "it is measured; a formula stands with what is inferred".to_string());
                }
            }
            Evidence::Inferred => {
                if self.formula.is_none() {
                    fault(".formula", "it is inferred; say from which slopes, by which formula".to_string());
                }
                if self.fit.is_some() || self.from.is_some() {
                    fault(".fit", "it is inferred; a fit stands with what is measured".to_string());
                }
            }
            Evidence::NotRun => {
                if self.fit.is_some() || self.formula.is_some() || self.from.is_some() {
                    fault(".standing", "it has figures, and is said not to be run".to_string());
                }
            }
        }
    }
}

/// The entry that `FILE#NAME` or `FILE#NAME@BINARY` stands for.
fn find_entry(
    from: &str,
    read_source: &dyn Fn(&str) -> Result<String, String>,
) -> Result<SourceEntry, String> {
    let (file, wanted) = from.split_once('#').ok_or("name it as FILE#ENTRY")?;
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    if !file.ends_with(".json") || !file.chars().all(is_allowed) {
        return Err(format!("{file:?} is no name of a JSON file beside this one"));
    }
    let value: serde_json::Value =
        serde_json::from_str(&read_source(file)?).map_err(|error| format!("{file}: {error}"))?;
    // Each entry by itself: one that cannot be read is no fault of the others.
    let (entries, is_bench) = match value {
        serde_json::Value::Array(entries) => (entries, false),
        other => {
            let bench: Bench = serde_json::from_value(other).map_err(|error| format!("{file}: {error}"))?;
            (bench.slopes, true)
        }
    };
    let (name, binary) = match wanted.split_once('@') {
        Some((name, binary)) if is_bench => (name, Some(binary)),
        _ => (wanted, None),
    };
    let text_of =
        |entry: &serde_json::Value, key: &str| entry.get(key).and_then(|n| n.as_str()).map(str::to_string);
    let is_wanted = |entry: &&serde_json::Value| {
        text_of(entry, "name").as_deref() == Some(name)
            && binary.is_none_or(|binary| text_of(entry, "binary").as_deref() == Some(binary))
    };
    let mut found = entries.iter().filter(is_wanted);
    let (first, second) = (found.next(), found.next());
    let first = first.ok_or_else(|| format!("{file} has no entry {wanted:?}"))?.clone();
    if second.is_some() {
        return Err(format!("{file} has several entries {wanted:?}; name one as FILE#ENTRY@BINARY"));
    }
    let fault = |error| format!("{file}, entry {wanted:?}: {error}");
    if is_bench {
        let entry: BenchEntry = serde_json::from_value(first).map_err(fault)?;
        debug_assert!(entry.name == name && binary.is_none_or(|binary| entry.binary == binary));
        return Ok(entry.into());
    }
    let entry: Entry = serde_json::from_value(first).map_err(fault)?;
    debug_assert_eq!(entry.name, name);
    Ok(entry.into())
}

/// Reads a table over and over, without the key that could not be read last time, so that the next fault is found
/// too. Every key has a default, so that one which is taken out hides no other.
fn decode(mut table: Table) -> (Option<Figures>, Vec<Fault>) {
    let mut faults: Vec<Fault> = Vec::new();
    loop {
        let error = match serde_path_to_error::deserialize::<_, Figures>(Value::Table(table.clone())) {
            Ok(figures) => return (Some(figures), faults),
            Err(error) => error,
        };
        let path: Vec<String> =
            error.path().iter().map(|part| part.to_string().trim_matches(['[', ']']).to_string()).collect();
        let message = error.inner().message().trim().to_string();
        let removed = remove_key(&mut table, &path);
        faults.push(Fault { line: 0, key: path.join("."), message });
        if !removed {
            return (None, faults);
        }
    }
}

/// Takes the value at a path out of a table. What lies in a table that has no defaults (a fit, a formula) takes the
/// whole of it out: that is done by `Figures`' own keys, three deep at most.
fn remove_key(table: &mut Table, path: &[String]) -> bool {
    let Some((first, rest)) = path.split_first() else { return false };
    let entry = match (table.get_mut(first), rest) {
        (Some(Value::Table(entries)), [name, _, ..]) => entries.get_mut(name),
        (Some(Value::Array(entries)), [index, _, ..]) => {
            index.parse().ok().and_then(|i: usize| entries.get_mut(i))
        }
        _ => None,
    };
    if let (Some(Value::Table(entry)), [_, key, ..]) = (entry, rest) {
        return entry.remove(key).is_some();
    }
    if let (Some(Value::Table(entries)), [name]) = (table.get_mut(first), rest) {
        if entries.remove(name).is_some() {
            return true;
        }
    }
    table.remove(first).is_some()
}

fn line_of(text: &str, offset: usize) -> usize {
    text.as_bytes()[..offset.min(text.len())].iter().filter(|&&b| b == b'\n').count() + 1
}

/// Where the keys of a file stand.
struct KeyLines(Vec<(String, usize)>);

impl KeyLines {
    fn of(text: &str) -> KeyLines {
        let mut lines = Vec::new();
        if let Ok(table) = DeTable::parse(text) {
            collect_lines("", table.get_ref(), text, &mut lines);
        }
        KeyLines(lines)
    }

    /// The line of a key, or of the nearest table round it; 0 where the file names neither.
    fn line_of_key(&self, mut key: &str) -> usize {
        loop {
            if let Some((_, line)) = self.0.iter().find(|(estimate, _)| estimate == key) {
                return *line;
            }
            match key.rsplit_once('.') {
                Some((outer, _)) => key = outer,
                None => return 0,
            }
        }
    }
}

fn collect_lines(path: &str, table: &DeTable, text: &str, lines: &mut Vec<(String, usize)>) {
    for (key, value) in table.iter() {
        let name = key.get_ref();
        let here = if path.is_empty() { name.to_string() } else { format!("{path}.{name}") };
        lines.push((here.clone(), line_of(text, key.span().start)));
        match value.get_ref() {
            DeValue::Table(inner) => collect_lines(&here, inner, text, lines),
            DeValue::Array(items) => {
                for (i, item) in items.iter().enumerate() {
                    let here = format!("{here}.{i}");
                    lines.push((here.clone(), line_of(text, item.span().start)));
                    if let DeValue::Table(inner) = item.get_ref() {
                        collect_lines(&here, inner, text, lines);
                    }
                }
            }
            _ => {}
        }
    }
}
