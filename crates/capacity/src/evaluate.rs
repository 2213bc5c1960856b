//! Evaluates formulas at the target and determines how reliable each result is.

use std::collections::BTreeSet;

use crate::file::{Cell, Evidence, Failure, Fault, Figures, Formula, Revision, Slope, MISSING, SIZE};

/// Results at sizes beyond this multiple of the largest measured size mean next to nothing.
pub const MAX_EXTRAPOLATION: f64 = 10.0;

/// How reliable a value is, from best to worst; a value is only as reliable as the worst of its parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Confidence {
    /// Calculated from figures of the target alone.
    Target,
    /// At a measured size, or by a fit within the range of measured sizes.
    Measured,
    /// By a formula, or by a fit beyond the largest measured size.
    Inferred,
    /// By a fit beyond `MAX_EXTRAPOLATION` times the largest measured size.
    Extrapolated,
    /// Measured, but no fit to the measurements is meaningful.
    NoFit,
    NotRun,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Estimate {
    /// `None` if it was not run or no fit is meaningful.
    pub value: Option<f64>,
    pub confidence: Confidence,
    /// The measured revisions of the program, and the largest ratio of a size asked for to the largest
    /// measured size.
    pub revisions: BTreeSet<Revision>,
    pub extrapolation: f64,
}

impl Estimate {
    fn exact(value: f64) -> Estimate {
        Estimate {
            value: Some(value),
            confidence: Confidence::Target,
            revisions: BTreeSet::new(),
            extrapolation: 0.0,
        }
    }

    fn combine(mut self, other: Estimate, operation: impl FnOnce(f64, f64) -> f64) -> Estimate {
        self.value = self.value.zip(other.value).map(|(a, b)| operation(a, b));
        self.confidence = self.confidence.max(other.confidence);
        self.revisions.extend(other.revisions);
        self.extrapolation = self.extrapolation.max(other.extrapolation);
        self
    }
}

/// Evaluates a formula. `size` is the size of the inferred slope that the formula belongs to; `visiting`
/// holds the slopes under evaluation and guards against one that is inferred from itself.
fn evaluate(
    figures: &Figures,
    formula: &Formula,
    size: Option<f64>,
    visiting: &[&str],
) -> Result<Estimate, String> {
    match formula {
        Formula::Number(number) if number.is_finite() => Ok(Estimate::exact(*number)),
        Formula::Number(number) => Err(format!("{number} is not a finite number")),
        Formula::Variable(name) if name == SIZE => size
            .map(Estimate::exact)
            .ok_or(format!("{SIZE:?} is allowed in the formula of an inferred slope only")),
        Formula::Variable(name) => match figures.target.get(name) {
            Some(figure) => Ok(Estimate::exact(figure.value)),
            None => Err(format!("the target has no figure {name:?}")),
        },
        Formula::Slope { slope, at } => {
            let at = evaluate(figures, at, size, visiting)?;
            let found = figures.slope.get(slope).ok_or_else(|| format!("unknown slope {slope:?}"))?;
            if visiting.contains(&slope.as_str()) {
                return Err(format!("the slope {slope:?} is inferred from itself"));
            }
            let visiting: Vec<&str> = visiting.iter().copied().chain([slope.as_str()]).collect();
            evaluate_slope(figures, found, at, &visiting)
        }
        Formula::Sum { sum } => fold_terms(figures, sum, 0.0, size, visiting, |a, b| a + b),
        Formula::Product { product } => fold_terms(figures, product, 1.0, size, visiting, |a, b| a * b),
        Formula::Quotient { over } => {
            let [upper, lower] = &**over;
            let lower = evaluate(figures, lower, size, visiting)?;
            if lower.value == Some(0.0) {
                return Err("division by zero".to_string());
            }
            Ok(evaluate(figures, upper, size, visiting)?.combine(lower, |a, b| a / b))
        }
    }
}

fn fold_terms(
    figures: &Figures,
    terms: &[Formula],
    first: f64,
    size: Option<f64>,
    visiting: &[&str],
    operation: impl Fn(f64, f64) -> f64,
) -> Result<Estimate, String> {
    if terms.is_empty() {
        return Err("is empty; a sum or product needs terms".to_string());
    }
    let mut all = Estimate::exact(first);
    for term in terms {
        all = all.combine(evaluate(figures, term, size, visiting)?, &operation);
    }
    Ok(all)
}

fn evaluate_slope(
    figures: &Figures,
    slope: &Slope,
    at: Estimate,
    visiting: &[&str],
) -> Result<Estimate, String> {
    let without_value = |confidence| Estimate { value: None, confidence, ..at.clone() };
    match (slope.standing, slope.fit, slope.sizes) {
        // Without a meaningful fit, a value measured at exactly this size still counts.
        (Evidence::Measured, Some(fit), _)
            if !fit.is_usable() && at.value.is_none_or(|size| slope.measured_at(size).is_none()) =>
        {
            let mut estimate = without_value(Confidence::NoFit.max(at.confidence));
            estimate.revisions.extend(slope.text);
            Ok(estimate)
        }
        (Evidence::Measured, Some(fit), Some([_, largest])) => {
            let extrapolation = at.value.map_or(0.0, |size| size / largest);
            let own_confidence = match extrapolation {
                extrapolation if extrapolation <= 1.0 => Confidence::Measured,
                extrapolation if extrapolation <= MAX_EXTRAPOLATION => Confidence::Inferred,
                _ => Confidence::Extrapolated,
            };
            let value = at.value.map(|size| slope.measured_at(size).unwrap_or_else(|| fit.value_at(size)));
            let mut revisions = at.revisions.clone();
            revisions.extend(slope.text);
            Ok(Estimate {
                value,
                confidence: own_confidence.max(at.confidence),
                revisions,
                extrapolation: extrapolation.max(at.extrapolation),
            })
        }
        (Evidence::Inferred, ..) => match (&slope.formula, at.value) {
            (Some(formula), Some(size)) => {
                let estimate = evaluate(figures, formula, Some(size), visiting)?;
                let confidence = estimate.confidence.max(at.confidence).max(Confidence::Inferred);
                Ok(Estimate { confidence, ..estimate })
            }
            // Evaluated nevertheless, to find faults in what the formula refers to.
            (Some(formula), None) => {
                evaluate(figures, formula, Some(1.0), visiting).map(|_| without_value(Confidence::NotRun))
            }
            (None, _) => Ok(without_value(Confidence::NotRun)),
        },
        // A measured slope without its figures is reported as a fault by the validation of the file.
        _ => Ok(without_value(Confidence::NotRun)),
    }
}

/// A cell evaluated at the target.
#[derive(Clone, Debug, PartialEq)]
pub struct EvaluatedCell {
    pub estimate: Option<Estimate>,
    pub budget: Option<f64>,
    /// Share of the budget that remains; negative if the budget is exceeded.
    pub remaining: Option<f64>,
    /// Share of the target that the current program reaches, at most 1; `None` if unknown.
    pub reached: Option<f64>,
}

/// Something that stops short of the target.
#[derive(Clone, Debug, PartialEq)]
pub struct Shortfall {
    pub what: String,
    pub reached: f64,
    /// No mechanism carries it at all.
    pub no_mechanism: bool,
    pub confidence: Confidence,
    pub next: String,
}

pub struct Evaluation<'a> {
    pub figures: &'a Figures,
    pub cells: Vec<EvaluatedCell>,
    pub shortfalls: Vec<Shortfall>,
    /// Cells and failures that were not run or have no meaningful fit.
    pub not_run: usize,
}

impl<'a> Evaluation<'a> {
    /// Faults of all formulas that cannot be evaluated.
    pub fn faults(figures: &Figures) -> Vec<Fault> {
        let mut faults = Vec::new();
        let mut check = |key: String, formula: &Formula, size: Option<f64>, visiting: &[&str]| {
            if let Err(message) = evaluate(figures, formula, size, visiting) {
                faults.push(Fault { line: 0, key, message });
            }
        };
        for (name, slope) in &figures.slope {
            if let Some(formula) = &slope.formula {
                check(format!("slope.{name}.formula"), formula, Some(1.0), &[name]);
            }
        }
        for (i, cell) in figures.cell.iter().enumerate() {
            for (key, formula) in
                [("formula", &cell.formula), ("budget", &cell.budget), ("stops", &cell.stops)]
            {
                if let Some(formula) = formula {
                    check(format!("cell.{i}.{key}"), formula, None, &[]);
                }
            }
        }
        for (i, failure) in figures.failure.iter().enumerate() {
            if let Some(stops) = &failure.stops {
                check(format!("failure.{i}.stops"), stops, None, &[]);
            }
        }
        faults
    }

    /// The figures have been validated; a formula that nevertheless cannot be evaluated counts as not run.
    pub fn new(figures: &'a Figures) -> Evaluation<'a> {
        let estimate = |formula: &Option<Formula>| {
            formula.as_ref().map(|formula| {
                evaluate(figures, formula, None, &[]).unwrap_or(Estimate {
                    value: None,
                    confidence: Confidence::NotRun,
                    revisions: BTreeSet::new(),
                    extrapolation: 0.0,
                })
            })
        };
        let missing = figures.role.iter().filter(|role| !role.missing.is_empty());
        let mut shortfalls: Vec<Shortfall> = missing
            .map(|role| Shortfall {
                what: role.name.clone(),
                reached: 0.0,
                no_mechanism: true,
                confidence: Confidence::Target,
                next: role.next.clone(),
            })
            .collect();
        let cells: Vec<EvaluatedCell> = figures
            .cell
            .iter()
            .map(|cell| {
                let (at, budget, stops) =
                    (estimate(&cell.formula), estimate(&cell.budget), estimate(&cell.stops));
                let budget = budget.and_then(|budget| budget.value);
                let budget_use = at.as_ref().and_then(|estimate| estimate.value).zip(budget);
                let within_budget =
                    budget_use.map(|(value, budget)| if value > budget { budget / value } else { 1.0 });
                // The lower limit applies.
                let stop = stops.as_ref().and_then(|stops| stops.value);
                let reached = [stop, within_budget]
                    .into_iter()
                    .flatten()
                    .reduce(f64::min)
                    .map(|reached| reached.min(1.0));
                // If another cell of the role says what is to be done, this cell has no row of its own.
                let next_elsewhere = cell.stops.is_some() && cell.next.is_empty();
                if let Some(reached) = reached.filter(|reached| *reached < 1.0 && !next_elsewhere) {
                    let by = if stop.is_some_and(|stop| stop <= reached) { &stops } else { &at };
                    let confidence = by.as_ref().map_or(Confidence::NotRun, |estimate| estimate.confidence);
                    shortfalls.push(Shortfall::cell(cell, reached, confidence));
                }
                let remaining = budget_use.map(|(value, budget)| (budget - value) / budget);
                EvaluatedCell { estimate: at, budget, remaining, reached }
            })
            .collect();
        for failure in &figures.failure {
            let stops = estimate(&failure.stops);
            let reached = stops.as_ref().and_then(|stops| stops.value);
            if let Some(reached) = reached.filter(|reached| *reached < 1.0) {
                let confidence = stops.map_or(Confidence::NotRun, |estimate| estimate.confidence);
                // The absence of a mechanism needs no run as evidence; a share that is reached does.
                let own_confidence = match failure.standing {
                    _ if reached <= 0.0 => Confidence::Target,
                    Evidence::Measured => Confidence::Measured,
                    Evidence::Inferred => Confidence::Inferred,
                    Evidence::NotRun => Confidence::NotRun,
                };
                shortfalls.push(Shortfall::failure(failure, reached, confidence.max(own_confidence)));
            }
        }
        // The sort is stable and keeps the order of the file among equals.
        shortfalls.sort_by(|a, b| b.no_mechanism.cmp(&a.no_mechanism).then(a.reached.total_cmp(&b.reached)));
        let without_value =
            |cell: &&EvaluatedCell| cell.estimate.as_ref().is_some_and(|estimate| estimate.value.is_none());
        let not_run_failures = figures.failure.iter().filter(|failure| failure.standing == Evidence::NotRun);
        let not_run = cells.iter().filter(without_value).count() + not_run_failures.count();
        Evaluation { figures, cells, shortfalls, not_run }
    }
}

impl Shortfall {
    fn cell(cell: &Cell, reached: f64, confidence: Confidence) -> Shortfall {
        let what = if cell.what.is_empty() { String::new() } else { format!(": {}", cell.what) };
        let no_mechanism = cell.carried_by == MISSING && reached <= 0.0;
        Shortfall {
            what: format!("{}{what}", cell.role),
            reached,
            no_mechanism,
            confidence,
            next: cell.next.clone(),
        }
    }

    fn failure(failure: &Failure, reached: f64, confidence: Confidence) -> Shortfall {
        let no_mechanism = failure.carried_by == MISSING && reached <= 0.0;
        Shortfall {
            what: failure.what.clone(),
            reached,
            no_mechanism,
            confidence,
            next: failure.next.clone(),
        }
    }
}
