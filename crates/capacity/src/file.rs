//! The input file `capacity.toml`: its types, and its validation, which reports all faults at once, each with
//! its line and key.

use std::collections::BTreeMap;
use std::fmt;

use serde::Deserialize;
use toml::de::{DeTable, DeValue};
use toml::{Table, Value};

use crate::evaluate::Evaluation;

/// Variable in the formula of an inferred slope: the size at which the slope is evaluated.
pub const SIZE: &str = "size";
/// Value of `carried_by` if no mechanism carries a cell or a failure.
pub const MISSING: &str = "missing";

/// A formula. Evaluating it gives a value for everything it refers to, or a fault; references must not form a
/// cycle.
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
    /// The first divided by the second.
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

/// The evidence for a slope or a failure.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Evidence {
    Measured,
    /// Calculated by a formula from other slopes.
    Inferred,
    #[default]
    NotRun,
}

/// The revision of the program that was measured.
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
    /// Of a line; 0 if not given.
    pub intercept: Option<f64>,
    /// Of a power law.
    pub exponent: Option<f64>,
    /// Relative residual of the fit (root mean square).
    pub residual: f64,
}

impl Fit {
    /// Whether the fit is meaningful: it is not if its residual exceeds the measured values themselves.
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
    /// What the size counts.
    pub of: String,
    pub standing: Evidence,
    pub text: Option<Revision>,
    /// `FILE#NAME`, or `FILE#NAME@BINARY` if the file has entries of several programs: refers to an entry of
    /// a file of slopes in the same folder, in place of command, sizes and fit.
    pub from: Option<String>,
    pub command: String,
    /// The smallest and the largest measured size.
    pub sizes: Option<[f64; 2]>,
    pub fit: Option<Fit>,
    /// What prevented a larger size from being measured.
    pub stopped_by: String,
    /// The smallest and the largest load average of the machine during the runs; from the file of slopes.
    #[serde(skip)]
    pub loads: Option<[f64; 2]>,
    /// Size and value of each run; from the file of slopes.
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
    /// Set if the current program has no such part: the reason, and what the part would do. Such a role has
    /// no cells.
    pub missing: String,
    /// What is to be done if the role is missing.
    pub next: String,
}

#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Cell {
    pub role: String,
    pub column: Option<Column>,
    /// What the cell holds, if the heading of its column does not say so.
    pub what: String,
    pub unit: String,
    /// `None` if the role uses none of it.
    pub formula: Option<Formula>,
    pub budget: Option<Formula>,
    /// The mechanism, or `missing`.
    pub carried_by: String,
    /// The share of the target that the current program reaches.
    pub stops: Option<Formula>,
    /// What is to be done if the target is not reached. Omitted if another cell of the role says so; this
    /// cell then has no row of its own in the table of next steps.
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
    /// The run that measured it.
    pub run: String,
    pub stops: Option<Formula>,
    pub next: String,
}

/// The complete contents of the file.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Figures {
    pub target: BTreeMap<String, Figure>,
    pub slope: BTreeMap<String, Slope>,
    pub role: Vec<Role>,
    pub cell: Vec<Cell>,
    pub failure: Vec<Failure>,
}

/// A fault in a file: its line (0 if it has none), its key, and a message.
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

/// An entry of a file of slopes, as written by the measuring programs.
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

/// A file of the slopes bench: entries of several programs, and the machine they ran on.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Bench {
    #[serde(rename = "machine")]
    _machine: serde_json::Map<String, serde_json::Value>,
    slopes: Vec<serde_json::Value>,
}

/// An entry of such a file. All fields are declared, so that an unknown one is rejected instead of being
/// ignored.
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

/// What a slope takes from a file of slopes.
struct SourceEntry {
    unit: String,
    command: String,
    sizes: [f64; 2],
    points: Vec<[f64; 2]>,
    fit: Option<Fit>,
    stopped_by: String,
    /// What the size counts, if the file says so.
    of: Option<String>,
    /// The smallest and the largest load average of the machine, if the file has them.
    loads: Option<[f64; 2]>,
}

/// The smallest and the largest value.
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
    /// Reads the text of the file; `read_source` returns the text of another file in the same folder. Reports
    /// all faults that can be found at once.
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
            // A key that could not be read has its default value by now; faults that follow from this are not
            // reported. The same holds if the file of slopes could not be read.
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

    /// Fills slopes with their entries from files of slopes.
    fn load_sources(&mut self, read_source: &dyn Fn(&str) -> Result<String, String>) -> Vec<Fault> {
        let mut faults = Vec::new();
        for (name, slope) in &mut self.slope {
            let Some(from) = slope.from.clone() else { continue };
            let mut fault = |message: String| {
                faults.push(Fault { line: 0, key: format!("slope.{name}.from"), message });
            };
            if slope.fit.is_some() || slope.sizes.is_some() || !slope.command.is_empty() {
                fault("the figures come from a file; remove command, sizes and fit here".to_string());
                continue;
            }
            match find_entry(&from, read_source) {
                Ok(source) => {
                    if let Some(of) = source.of.filter(|of| *of != slope.of) {
                        fault(format!("its sizes count {of:?}, but `of` is {:?}", slope.of));
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
                fault(format!("target.{name}"), "the name is already in use; choose another".to_string());
            }
            if !figure.value.is_finite() || figure.value <= 0.0 {
                fault(
                    format!("target.{name}.value"),
                    format!("must be a finite number above 0, not {}", figure.value),
                );
            }
        }
        for (name, slope) in &self.slope {
            slope.check(&mut |key, message| fault(format!("slope.{name}{key}"), message));
        }
        for (i, role) in self.role.iter().enumerate() {
            if role.name.is_empty() || self.role[..i].iter().any(|other| other.name == role.name) {
                fault(format!("role.{i}.name"), "each role needs a unique name".to_string());
            }
            if role.missing.is_empty() != role.next.is_empty() {
                let message = "must be set if the role is missing, and only then";
                fault(format!("role.{i}.next"), message.to_string());
            }
            for (column, heading) in COLUMNS {
                let cells = self.cell.iter().filter(|c| c.role == role.name && c.column == Some(column));
                match (cells.count(), role.missing.is_empty()) {
                    (0, false) | (1, true) => {}
                    (0, true) => fault(
                        format!("role.{i}"),
                        format!(
                            "has no cell for {heading}; add one, without a formula if the role uses none"
                        ),
                    ),
                    (n, _) => fault(
                        format!("role.{i}"),
                        format!(
                            "has {n} cells for {heading}; there must be one, or none if the role is missing"
                        ),
                    ),
                }
            }
        }
        for (i, cell) in self.cell.iter().enumerate() {
            if !self.role.iter().any(|role| role.name == cell.role) {
                fault(format!("cell.{i}.role"), format!("unknown role {:?}", cell.role));
            }
            if cell.column.is_none() {
                fault(
                    format!("cell.{i}.column"),
                    "is not set; must be state, messages, processor, memory, bytes or disk".to_string(),
                );
            }
            if cell.formula.is_none() && cell.budget.is_some() {
                fault(format!("cell.{i}.budget"), "a budget needs a formula to compare it with".to_string());
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
                fault(key_of(".run"), "is not set; name the run, or set standing to not-run".to_string());
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

/// Checks the mechanism of a cell or a failure, and what must be given if there is none.
fn check_carried_by(by: &str, stops: bool, has_next: bool, fault: &mut dyn FnMut(&str, String)) {
    if by.is_empty() {
        fault(".carried_by", format!("is not set; name the mechanism, or use {MISSING:?}"));
    }
    if by == MISSING && !stops {
        let message =
            "is not set; must be the share of the target that is reached, 0 if there is no mechanism at all";
        fault(".stops", message.to_string());
    }
    if stops && !has_next {
        fault(".next", "is not set, but the target is not reached; say what is to be done".to_string());
    }
}

impl Slope {
    /// Mean of the values measured at exactly this size.
    pub fn measured_at(&self, size: f64) -> Option<f64> {
        let values: Vec<f64> = self.points.iter().filter(|p| p[0] == size).map(|p| p[1]).collect();
        (!values.is_empty()).then(|| values.iter().sum::<f64>() / values.len() as f64)
    }

    fn check(&self, fault: &mut dyn FnMut(&str, String)) {
        if self.what.is_empty() || self.of.is_empty() {
            fault("", "`what` and `of` must be set: what is measured, and what the size counts".to_string());
        }
        match self.standing {
            Evidence::Measured => {
                if self.command.trim().is_empty() {
                    fault(".command", "a measured slope needs the command of its run".to_string());
                }
                match self.sizes {
                    None => {
                        fault(".sizes", "a measured slope needs its smallest and largest size".to_string())
                    }
                    Some([from, to]) if !(from >= 0.0 && to >= from && to.is_finite() && to > 0.0) => {
                        fault(".sizes", format!("[{from}, {to}] is not a valid range of sizes"));
                    }
                    Some(_) => {}
                }
                match self.fit {
                    None => fault(".fit", "a measured slope needs a fit".to_string()),
                    Some(fit) => {
                        let parameters = [Some(fit.slope), Some(fit.residual), fit.intercept, fit.exponent];
                        if parameters.iter().flatten().any(|value| !value.is_finite()) || fit.residual < 0.0 {
                            fault(
                                ".fit",
                                "all values must be finite, and the residual must not be negative"
                                    .to_string(),
                            );
                        }
                        if (fit.kind == FitKind::Power) != fit.exponent.is_some()
                            || (fit.kind == FitKind::Power && fit.intercept.is_some())
                        {
                            let message =
                                "a power law has an exponent and no intercept, a line has no exponent";
                            fault(".fit", message.to_string());
                        }
                    }
                }
                if self.text.is_none() {
                    fault(".text", "a measured slope needs its text: before or after".to_string());
                }
                if self.formula.is_some() {
                    fault(".formula", "a measured slope cannot have a formula".to_string());
                }
            }
            Evidence::Inferred => {
                if self.formula.is_none() {
                    fault(".formula", "an inferred slope needs a formula".to_string());
                }
                if self.fit.is_some() || self.from.is_some() {
                    fault(".fit", "an inferred slope cannot have a fit".to_string());
                }
            }
            Evidence::NotRun => {
                if self.fit.is_some() || self.formula.is_some() || self.from.is_some() {
                    fault(".standing", "a slope with figures cannot be not-run".to_string());
                }
            }
        }
    }
}

/// Finds the entry for `FILE#NAME` or `FILE#NAME@BINARY`.
fn find_entry(
    from: &str,
    read_source: &dyn Fn(&str) -> Result<String, String>,
) -> Result<SourceEntry, String> {
    let (file, wanted) = from.split_once('#').ok_or("must have the form FILE#ENTRY")?;
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    if !file.ends_with(".json") || !file.chars().all(is_allowed) {
        return Err(format!("{file:?} is not the name of a JSON file in the same folder"));
    }
    let value: serde_json::Value =
        serde_json::from_str(&read_source(file)?).map_err(|error| format!("{file}: {error}"))?;
    // Entries are decoded one by one: an invalid entry does not affect the others.
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
        return Err(format!("{file} has several entries {wanted:?}; use FILE#ENTRY@BINARY"));
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

/// Decodes the table repeatedly, each time without the key that failed before, to find all faults. Every key
/// has a default, so that removing one does not hide the fault of another.
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

/// Removes the value at a path from a table. A fault inside a table without defaults (a fit, a formula)
/// removes that whole table: only keys of `Figures` itself are removed, at most three levels deep.
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

/// Lines of the keys of a file.
struct KeyLines(Vec<(String, usize)>);

impl KeyLines {
    fn of(text: &str) -> KeyLines {
        let mut lines = Vec::new();
        if let Ok(table) = DeTable::parse(text) {
            collect_lines("", table.get_ref(), text, &mut lines);
        }
        KeyLines(lines)
    }

    /// The line of a key or of the nearest enclosing table; 0 if the file has neither.
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
