//! Renders the tables of the page. The text between a table's marker and its end marker is replaced; the rest
//! is written by hand.

use std::fmt::Write;

use crate::evaluate::{Confidence, Estimate, EvaluatedCell, Evaluation};
use crate::file::{Evidence, Figures, FitKind, Revision, Slope, COLUMNS, MISSING};

pub const END: &str = "<!-- end -->";

type RenderTable = fn(&Evaluation) -> String;

/// The tables, by the names of their markers.
pub const TABLES: [(&str, RenderTable); 4] = [
    ("roles", render_roles),
    ("failures", render_failures),
    ("next", render_next),
    ("slopes", render_slopes),
];

fn marker(name: &str) -> String {
    format!("<!-- table: {name} -->")
}

/// Replaces the tables of a page. The error names every marker that does not occur exactly once.
pub fn render(page: &str, figures: &Figures) -> Result<String, String> {
    let evaluation = Evaluation::new(figures);
    let (mut page, mut faults) = (page.to_string(), Vec::new());
    for (name, table) in TABLES {
        let marker = marker(name);
        let mut found = page.match_indices(&marker);
        let (first, second) = (found.next().map(|(at, _)| at), found.next());
        let start = first.filter(|_| second.is_none()).map(|at| at + marker.len());
        let end = start.and_then(|at| page[at..].find(END).map(|end| at + end));
        match start.zip(end) {
            Some((from, to)) => page.replace_range(from..to, &format!("\n\n{}\n", table(&evaluation))),
            None => faults.push(format!("{marker} must occur exactly once, followed by {END:?}")),
        }
    }
    if faults.is_empty() {
        Ok(page)
    } else {
        Err(faults.join("; "))
    }
}

/// Three significant digits, with commas between thousands.
pub fn format_number(value: f64) -> String {
    if value == 0.0 {
        return "0".to_string();
    }
    let digits = 2 - value.abs().log10().floor() as i32;
    let scale = 10f64.powi(digits);
    let rounded = (value * scale).round() / scale;
    let text = format!("{rounded:.*}", digits.clamp(0, 12) as usize);
    let (whole, fraction) = text.split_once('.').unwrap_or((&text, ""));
    let (sign, whole) = whole.strip_prefix('-').map_or(("", whole), |whole| ("-", whole));
    let mut out = String::new();
    for (i, digit) in whole.chars().enumerate() {
        if i > 0 && (whole.len() - i) % 3 == 0 {
            out.push(',');
        }
        out.push(digit);
    }
    let fraction = fraction.trim_end_matches('0');
    if fraction.is_empty() {
        format!("{sign}{out}")
    } else {
        format!("{sign}{out}.{fraction}")
    }
}

fn format_with_unit(value: f64, unit: &str) -> String {
    format!("{} {unit}", format_number(value)).trim_end().to_string()
}

/// Symbol of a confidence level, as explained in the legend of the page.
fn confidence_symbol(confidence: Confidence) -> &'static str {
    match confidence {
        Confidence::Target => "t",
        Confidence::Measured => "m",
        Confidence::Inferred => "i",
        Confidence::Extrapolated => "i!",
        Confidence::NoFit => "x",
        Confidence::NotRun => "–",
    }
}

fn confidence_text(estimate: &Estimate) -> String {
    let mut text = confidence_symbol(estimate.confidence).to_string();
    if estimate.confidence == Confidence::Extrapolated {
        let _ = write!(text, " ({} x the largest run)", format_number(estimate.extrapolation));
    }
    for revision in &estimate.revisions {
        text += match revision {
            Revision::Before => ", before",
            Revision::After => ", after",
        };
    }
    text
}

/// A vertical bar or a line break would end the cell.
fn escape_cell(text: &str) -> String {
    text.replace('|', "/").replace('\n', " ")
}

fn format_share(value: Option<f64>) -> String {
    value.map_or(String::new(), |value| format!("{value:.2}"))
}

fn carried_by_text(by: &str, reached: Option<f64>) -> String {
    match (by, reached) {
        (MISSING, Some(reached)) if reached <= 0.0 => "**missing**: no mechanism".to_string(),
        (MISSING, Some(reached)) => format!("**missing**: stops at {} of the target", format_number(reached)),
        (by, Some(reached)) if reached < 1.0 => {
            format!("{}; stops at {} of the target", escape_cell(by), format_number(reached))
        }
        (by, _) => escape_cell(by),
    }
}

fn render_roles(evaluation: &Evaluation) -> String {
    let mut out = String::from(
        "| role | what | at the target | known | budget | left of it | carried by |\n\
         | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for role in &evaluation.figures.role {
        if !role.missing.is_empty() {
            let _ = writeln!(
                out,
                "| {} | all | – | – | | | **missing**: {} |",
                role.name,
                escape_cell(&role.missing)
            );
            continue;
        }
        for (column, heading) in COLUMNS {
            let cells = evaluation.figures.cell.iter().zip(&evaluation.cells);
            let mut matching =
                cells.filter(|(cell, _)| cell.role == role.name && cell.column == Some(column));
            let Some((cell, EvaluatedCell { estimate, budget, remaining, reached })) = matching.next() else {
                continue;
            };
            let what =
                if cell.what.is_empty() { heading.to_string() } else { format!("{heading}: {}", cell.what) };
            let value = match estimate {
                None => "none".to_string(),
                Some(Estimate { value: Some(value), .. }) => format_with_unit(*value, &cell.unit),
                Some(Estimate { confidence: Confidence::NoFit, .. }) => "no fit holds".to_string(),
                Some(_) => "not run".to_string(),
            };
            let _ = writeln!(
                out,
                "| {} | {} | {value} | {} | {} | {} | {} |",
                role.name,
                escape_cell(&what),
                estimate.as_ref().map_or(String::new(), confidence_text),
                budget.map_or(String::new(), |budget| format_with_unit(budget, &cell.unit)),
                format_share(*remaining),
                carried_by_text(&cell.carried_by, *reached),
            );
        }
    }
    out
}

fn render_failures(evaluation: &Evaluation) -> String {
    let mut out = String::from(
        "| failure | how often | lost | late | carried by | known |\n| --- | --- | --- | --- | --- | --- |\n",
    );
    for failure in &evaluation.figures.failure {
        let reached = evaluation
            .shortfalls
            .iter()
            .find(|shortfall| shortfall.what == failure.what)
            .map(|shortfall| shortfall.reached);
        let estimate = match failure.standing {
            Evidence::Measured => format!("m: {}", escape_cell(&failure.run)),
            Evidence::Inferred => format!("i: {}", escape_cell(&failure.run)),
            Evidence::NotRun => "– not run".to_string(),
        };
        let _ = writeln!(
            out,
            "| {} | {} | {} | {} | {} | {estimate} |",
            escape_cell(&failure.what),
            escape_cell(&failure.often),
            escape_cell(&failure.lost),
            escape_cell(&failure.late),
            carried_by_text(&failure.carried_by, reached),
        );
    }
    out
}

fn render_next(evaluation: &Evaluation) -> String {
    let mut out = String::from(
        "| | what stops short | part of the target reached | known | what is to be done |\n\
         | --- | --- | --- | --- | --- |\n",
    );
    for (i, shortfall) in evaluation.shortfalls.iter().enumerate() {
        let reached = if shortfall.no_mechanism {
            "no mechanism".to_string()
        } else {
            format_number(shortfall.reached)
        };
        let next = if shortfall.next.is_empty() { "not said" } else { &shortfall.next };
        let _ = writeln!(
            out,
            "| {} | {} | {reached} | {} | {} |",
            i + 1,
            escape_cell(&shortfall.what),
            confidence_symbol(shortfall.confidence),
            escape_cell(next)
        );
    }
    let _ = writeln!(
        out,
        "\nNot run or without a fit that holds, and so in no place of this order: {} cells and failures.",
        evaluation.not_run
    );
    out
}

fn render_slopes(evaluation: &Evaluation) -> String {
    let mut out = String::from(
        "| slope | what | fit | unexplained | sizes | text | by |\n| --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for (name, slope) in &evaluation.figures.slope {
        let _ = writeln!(out, "| {name} | {} | {} |", escape_cell(&slope.what), slope_row(slope));
    }
    out
}

fn slope_row(slope: &Slope) -> String {
    let Slope { of, unit, .. } = slope;
    let text = match slope.text {
        Some(Revision::Before) => "before",
        Some(Revision::After) => "after",
        None => "",
    };
    match (slope.standing, slope.fit, slope.sizes) {
        (Evidence::Measured, Some(fit), Some([from, to])) => {
            let law = match fit.kind {
                FitKind::Linear => {
                    let intercept = fit.intercept.unwrap_or(0.0);
                    let sign = if intercept < 0.0 { '-' } else { '+' };
                    format!("{} x {of} {sign} {}", format_number(fit.slope), format_number(intercept.abs()))
                }
                FitKind::Power => {
                    format!(
                        "{} x {of} ^ {}",
                        format_number(fit.slope),
                        format_number(fit.exponent.unwrap_or(1.0))
                    )
                }
            };
            if !fit.is_usable() {
                let (message, residual) = (escape_cell(&slope.command), format_number(fit.residual));
                return format!(
                    "x: no fit holds | {residual} | {} to {} {of} | {text} | `{message}`",
                    format_number(from),
                    format_number(to)
                );
            }
            let stopped =
                if slope.stopped_by.is_empty() { String::new() } else { format!("; {}", slope.stopped_by) };
            let loads = slope.loads.map_or(String::new(), |[from, to]| {
                format!("; load {} to {}", format_number(from), format_number(to))
            });
            format!(
                "m: {law} {unit} | {} | {} to {} {of}{}{loads} | {text} | `{}`",
                format_number(fit.residual),
                format_number(from),
                format_number(to),
                escape_cell(&stopped),
                escape_cell(&slope.command)
            )
        }
        (Evidence::Inferred, ..) => {
            let formula = slope.formula.as_ref().map(|formula| format!("{formula}"));
            format!("i: {} {unit} | | | | inferred", escape_cell(&formula.unwrap_or_default()))
        }
        _ => format!("– not run; a size counts {of} | | | | "),
    }
}
