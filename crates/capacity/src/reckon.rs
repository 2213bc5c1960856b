//! The arithmetic: what a formula comes to at the target, and how well that is known.

use std::collections::BTreeSet;

use crate::file::{Cell, Failure, Fault, Figures, Formula, Slope, Standing, Text, MISSING, SIZE};

/// A size beyond so many times the largest that was run says next to nothing.
pub const FAR: f64 = 10.0;

/// How a value is known, from the best to the worst: a value is known no better than the worst of its parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Mark {
    /// From the target's own figures.
    Target,
    /// At a size that was run, or by a fit within the sizes that were.
    Measured,
    /// By a formula, or by a fit beyond the largest size that was run.
    Inferred,
    /// By a fit beyond ten times the largest size that was run.
    Far,
    /// It was run, and no fit through what was measured says anything.
    NoFit,
    NotRun,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Known {
    /// Nothing: not run.
    pub value: Option<f64>,
    pub mark: Mark,
    /// Of which text of the program, and the greatest size asked for over the largest that was run.
    pub texts: BTreeSet<Text>,
    pub stretch: f64,
}

impl Known {
    fn plain(value: f64) -> Known {
        Known { value: Some(value), mark: Mark::Target, texts: BTreeSet::new(), stretch: 0.0 }
    }

    fn with(mut self, other: Known, join: impl FnOnce(f64, f64) -> f64) -> Known {
        self.value = self.value.zip(other.value).map(|(a, b)| join(a, b));
        self.mark = self.mark.max(other.mark);
        self.texts.extend(other.texts);
        self.stretch = self.stretch.max(other.stretch);
        self
    }
}

/// What a formula comes to. `size` is that of the inferred slope it belongs to; `through` are the slopes that are
/// being reckoned already, and guards against one that is inferred from itself.
fn value(figures: &Figures, formula: &Formula, size: Option<f64>, through: &[&str]) -> Result<Known, String> {
    match formula {
        Formula::Number(number) if number.is_finite() => Ok(Known::plain(*number)),
        Formula::Number(number) => Err(format!("{number} is no figure")),
        Formula::Named(name) if name == SIZE => {
            size.map(Known::plain).ok_or(format!("{SIZE:?} stands in the formula of an inferred slope only"))
        }
        Formula::Named(name) => match figures.target.get(name) {
            Some(figure) => Ok(Known::plain(figure.value)),
            None => Err(format!("the target has no figure {name:?}")),
        },
        Formula::Slope { slope, at } => {
            let at = value(figures, at, size, through)?;
            let found = figures.slope.get(slope).ok_or_else(|| format!("there is no slope {slope:?}"))?;
            if through.contains(&slope.as_str()) {
                return Err(format!("the slope {slope:?} is inferred from itself"));
            }
            let through: Vec<&str> = through.iter().copied().chain([slope.as_str()]).collect();
            slope_at(figures, found, at, &through)
        }
        Formula::Sum { sum } => fold(figures, sum, 0.0, size, through, |a, b| a + b),
        Formula::Product { product } => fold(figures, product, 1.0, size, through, |a, b| a * b),
        Formula::Over { over } => {
            let [upper, lower] = &**over;
            let lower = value(figures, lower, size, through)?;
            if lower.value == Some(0.0) {
                return Err("divides by 0".to_string());
            }
            Ok(value(figures, upper, size, through)?.with(lower, |a, b| a / b))
        }
    }
}

fn fold(
    figures: &Figures,
    parts: &[Formula],
    first: f64,
    size: Option<f64>,
    through: &[&str],
    join: impl Fn(f64, f64) -> f64,
) -> Result<Known, String> {
    if parts.is_empty() {
        return Err("has no parts".to_string());
    }
    let mut all = Known::plain(first);
    for part in parts {
        all = all.with(value(figures, part, size, through)?, &join);
    }
    Ok(all)
}

fn slope_at(figures: &Figures, slope: &Slope, at: Known, through: &[&str]) -> Result<Known, String> {
    let mark = |mark| Known { value: None, mark, ..at.clone() };
    match (slope.standing, slope.fit, slope.sizes) {
        // Without a fit that holds, what was measured at that very size is still that.
        (Standing::Measured, Some(fit), _)
            if !fit.usable() && at.value.is_none_or(|size| slope.measured_at(size).is_none()) =>
        {
            let mut known = mark(Mark::NoFit.max(at.mark));
            known.texts.extend(slope.text);
            Ok(known)
        }
        (Standing::Measured, Some(fit), Some([_, largest])) => {
            let stretch = at.value.map_or(0.0, |size| size / largest);
            let own = match stretch {
                stretch if stretch <= 1.0 => Mark::Measured,
                stretch if stretch <= FAR => Mark::Inferred,
                _ => Mark::Far,
            };
            let value = at.value.map(|size| slope.measured_at(size).unwrap_or_else(|| fit.at(size)));
            let mut texts = at.texts.clone();
            texts.extend(slope.text);
            Ok(Known { value, mark: own.max(at.mark), texts, stretch: stretch.max(at.stretch) })
        }
        (Standing::Inferred, ..) => match (&slope.formula, at.value) {
            (Some(formula), Some(size)) => {
                let known = value(figures, formula, Some(size), through)?;
                let mark = known.mark.max(at.mark).max(Mark::Inferred);
                Ok(Known { mark, ..known })
            }
            // What the formula names is looked at all the same.
            (Some(formula), None) => value(figures, formula, Some(1.0), through).map(|_| mark(Mark::NotRun)),
            (None, _) => Ok(mark(Mark::NotRun)),
        },
        // A measured one without its figures is told of as such.
        _ => Ok(mark(Mark::NotRun)),
    }
}

/// A cell at the target.
#[derive(Clone, Debug, PartialEq)]
pub struct ReckonedCell {
    pub known: Option<Known>,
    pub budget: Option<f64>,
    /// Of the budget, as a part; below 0: over it.
    pub left: Option<f64>,
    /// The part of the target that today's text reaches, 1 at most; nothing where that is not known.
    pub part: Option<f64>,
}

/// What stops short of the target, by the part that is reached.
#[derive(Clone, Debug, PartialEq)]
pub struct Short {
    pub what: String,
    pub part: f64,
    /// Nothing carries it at all.
    pub no_mechanism: bool,
    pub mark: Mark,
    pub next: String,
}

pub struct Reckoned<'a> {
    pub figures: &'a Figures,
    pub cells: Vec<ReckonedCell>,
    pub short: Vec<Short>,
    /// Cells and failures of which nothing was run, or by which no fit holds.
    pub not_run: usize,
}

impl<'a> Reckoned<'a> {
    /// All formulas that come to nothing.
    pub fn faults(figures: &Figures) -> Vec<Fault> {
        let mut faults = Vec::new();
        let mut look = |key: String, formula: &Formula, size: Option<f64>, through: &[&str]| {
            if let Err(words) = value(figures, formula, size, through) {
                faults.push(Fault { line: 0, key, words });
            }
        };
        for (name, slope) in &figures.slope {
            if let Some(formula) = &slope.formula {
                look(format!("slope.{name}.formula"), formula, Some(1.0), &[name]);
            }
        }
        for (i, cell) in figures.cell.iter().enumerate() {
            for (key, formula) in
                [("formula", &cell.formula), ("budget", &cell.budget), ("stops", &cell.stops)]
            {
                if let Some(formula) = formula {
                    look(format!("cell.{i}.{key}"), formula, None, &[]);
                }
            }
        }
        for (i, failure) in figures.failure.iter().enumerate() {
            if let Some(stops) = &failure.stops {
                look(format!("failure.{i}.stops"), stops, None, &[]);
            }
        }
        faults
    }

    /// The figures have been checked; what comes to nothing all the same counts as not run.
    pub fn of(figures: &'a Figures) -> Reckoned<'a> {
        let known = |formula: &Option<Formula>| {
            formula.as_ref().map(|formula| {
                value(figures, formula, None, &[]).unwrap_or(Known {
                    value: None,
                    mark: Mark::NotRun,
                    texts: BTreeSet::new(),
                    stretch: 0.0,
                })
            })
        };
        let missing = figures.role.iter().filter(|role| !role.missing.is_empty());
        let mut short: Vec<Short> = missing
            .map(|role| Short {
                what: role.name.clone(),
                part: 0.0,
                no_mechanism: true,
                mark: Mark::Target,
                next: role.next.clone(),
            })
            .collect();
        let cells: Vec<ReckonedCell> = figures
            .cell
            .iter()
            .map(|cell| {
                let (at, budget, stops) = (known(&cell.formula), known(&cell.budget), known(&cell.stops));
                let budget = budget.and_then(|budget| budget.value);
                let used = at.as_ref().and_then(|known| known.value).zip(budget);
                let held = used.map(|(value, budget)| if value > budget { budget / value } else { 1.0 });
                // What stops first decides.
                let stop = stops.as_ref().and_then(|stops| stops.value);
                let part = [stop, held].into_iter().flatten().reduce(f64::min).map(|part| part.min(1.0));
                // A cell that stops where another of its role says what is to be done has no place of its own.
                let said = cell.stops.is_some() && cell.next.is_empty();
                if let Some(part) = part.filter(|part| *part < 1.0 && !said) {
                    let by = if stop.is_some_and(|stop| stop <= part) { &stops } else { &at };
                    let mark = by.as_ref().map_or(Mark::NotRun, |known| known.mark);
                    short.push(Short::cell(cell, part, mark));
                }
                let left = used.map(|(value, budget)| (budget - value) / budget);
                ReckonedCell { known: at, budget, left, part }
            })
            .collect();
        for failure in &figures.failure {
            let stops = known(&failure.stops);
            let part = stops.as_ref().and_then(|stops| stops.value);
            if let Some(part) = part.filter(|part| *part < 1.0) {
                let mark = stops.map_or(Mark::NotRun, |known| known.mark);
                // That nothing carries it needs no run; a part that is reached does.
                let own = match failure.standing {
                    _ if part <= 0.0 => Mark::Target,
                    Standing::Measured => Mark::Measured,
                    Standing::Inferred => Mark::Inferred,
                    Standing::NotRun => Mark::NotRun,
                };
                short.push(Short::failure(failure, part, mark.max(own)));
            }
        }
        // The sort keeps the file's order among equals.
        short.sort_by(|a, b| b.no_mechanism.cmp(&a.no_mechanism).then(a.part.total_cmp(&b.part)));
        let unknown = |cell: &&ReckonedCell| cell.known.as_ref().is_some_and(|known| known.value.is_none());
        let unseen = figures.failure.iter().filter(|failure| failure.standing == Standing::NotRun);
        let not_run = cells.iter().filter(unknown).count() + unseen.count();
        Reckoned { figures, cells, short, not_run }
    }
}

impl Short {
    fn cell(cell: &Cell, part: f64, mark: Mark) -> Short {
        let what = if cell.what.is_empty() { String::new() } else { format!(": {}", cell.what) };
        let no_mechanism = cell.carried_by == MISSING && part <= 0.0;
        Short { what: format!("{}{what}", cell.role), part, no_mechanism, mark, next: cell.next.clone() }
    }

    fn failure(failure: &Failure, part: f64, mark: Mark) -> Short {
        let no_mechanism = failure.carried_by == MISSING && part <= 0.0;
        Short { what: failure.what.clone(), part, no_mechanism, mark, next: failure.next.clone() }
    }
}
