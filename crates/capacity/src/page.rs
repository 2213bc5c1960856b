//! The page's tables. What stands between a table's marker and its end is written anew; the rest is the author's.

use std::fmt::Write;

use crate::file::{Figures, Kind, Slope, Standing, Text, COLUMNS, MISSING};
use crate::reckon::{Known, Mark, Reckoned, ReckonedCell};

pub const END: &str = "<!-- end -->";

type Render = fn(&Reckoned) -> String;

/// Each table by its marker's name.
pub const TABLES: [(&str, Render); 4] =
    [("roles", roles), ("failures", failures), ("next", next), ("slopes", slopes)];

fn marker(name: &str) -> String {
    format!("<!-- table: {name} -->")
}

/// The page with its tables as the figures have them. The error names every marker that is not there, or not once.
pub fn render(page: &str, figures: &Figures) -> Result<String, String> {
    let reckoned = Reckoned::of(figures);
    let (mut page, mut faults) = (page.to_string(), Vec::new());
    for (name, table) in TABLES {
        let marker = marker(name);
        let mut found = page.match_indices(&marker);
        let (first, second) = (found.next().map(|(at, _)| at), found.next());
        let place = first.filter(|_| second.is_none()).map(|at| at + marker.len());
        let end = place.and_then(|at| page[at..].find(END).map(|end| at + end));
        match place.zip(end) {
            Some((from, to)) => page.replace_range(from..to, &format!("\n\n{}\n", table(&reckoned))),
            None => faults.push(format!("{marker} stands there not once, or without {END:?} after it")),
        }
    }
    if faults.is_empty() {
        Ok(page)
    } else {
        Err(faults.join("; "))
    }
}

/// Three digits that count, and commas between thousands.
pub fn number(value: f64) -> String {
    if value == 0.0 {
        return "0".to_string();
    }
    let digits = 2 - value.abs().log10().floor() as i32;
    let scale = 10f64.powi(digits);
    let rounded = (value * scale).round() / scale;
    let text = format!("{rounded:.*}", digits.clamp(0, 12) as usize);
    let (whole, part) = text.split_once('.').unwrap_or((&text, ""));
    let (sign, whole) = whole.strip_prefix('-').map_or(("", whole), |whole| ("-", whole));
    let mut out = String::new();
    for (i, digit) in whole.chars().enumerate() {
        if i > 0 && (whole.len() - i) % 3 == 0 {
            out.push(',');
        }
        out.push(digit);
    }
    let part = part.trim_end_matches('0');
    if part.is_empty() {
        format!("{sign}{out}")
    } else {
        format!("{sign}{out}.{part}")
    }
}

fn with_unit(value: f64, unit: &str) -> String {
    format!("{} {unit}", number(value)).trim_end().to_string()
}

/// How a value is known, in a word of the legend.
fn mark(mark: Mark) -> &'static str {
    match mark {
        Mark::Target => "t",
        Mark::Measured => "m",
        Mark::Inferred => "i",
        Mark::Far => "i!",
        Mark::NoFit => "x",
        Mark::NotRun => "–",
    }
}

fn known(known: &Known) -> String {
    let mut text = mark(known.mark).to_string();
    if known.mark == Mark::Far {
        let _ = write!(text, " ({} x the largest run)", number(known.stretch));
    }
    for of in &known.texts {
        text += match of {
            Text::Before => ", before",
            Text::After => ", after",
        };
    }
    text
}

/// A bar would end the cell.
fn cell(text: &str) -> String {
    text.replace('|', "/").replace('\n', " ")
}

fn part(value: Option<f64>) -> String {
    value.map_or(String::new(), |value| format!("{value:.2}"))
}

fn carried(by: &str, reaches: Option<f64>) -> String {
    match (by, reaches) {
        (MISSING, Some(part)) if part <= 0.0 => "**missing**: no mechanism".to_string(),
        (MISSING, Some(part)) => format!("**missing**: stops at {} of the target", number(part)),
        (by, Some(part)) if part < 1.0 => format!("{}; stops at {} of the target", cell(by), number(part)),
        (by, _) => cell(by),
    }
}

fn roles(reckoned: &Reckoned) -> String {
    let mut out = String::from(
        "| role | what | at the target | known | budget | left of it | carried by |\n\
         | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for role in &reckoned.figures.role {
        if !role.missing.is_empty() {
            let _ =
                writeln!(out, "| {} | all | – | – | | | **missing**: {} |", role.name, cell(&role.missing));
            continue;
        }
        for (column, heading) in COLUMNS {
            let cells = reckoned.figures.cell.iter().zip(&reckoned.cells);
            let mut own = cells.filter(|(of, _)| of.role == role.name && of.column == Some(column));
            let Some((of, ReckonedCell { known: at, budget, left, part: reaches })) = own.next() else {
                continue;
            };
            let what =
                if of.what.is_empty() { heading.to_string() } else { format!("{heading}: {}", of.what) };
            let value = match at {
                None => "none".to_string(),
                Some(Known { value: Some(value), .. }) => with_unit(*value, &of.unit),
                Some(Known { mark: Mark::NoFit, .. }) => "no fit holds".to_string(),
                Some(_) => "not run".to_string(),
            };
            let _ = writeln!(
                out,
                "| {} | {} | {value} | {} | {} | {} | {} |",
                role.name,
                cell(&what),
                at.as_ref().map_or(String::new(), known),
                budget.map_or(String::new(), |budget| with_unit(budget, &of.unit)),
                part(*left),
                carried(&of.carried_by, *reaches),
            );
        }
    }
    out
}

fn failures(reckoned: &Reckoned) -> String {
    let mut out = String::from(
        "| failure | how often | lost | late | carried by | known |\n| --- | --- | --- | --- | --- | --- |\n",
    );
    for failure in &reckoned.figures.failure {
        let reaches = reckoned.short.iter().find(|short| short.what == failure.what).map(|short| short.part);
        let known = match failure.standing {
            Standing::Measured => format!("m: {}", cell(&failure.run)),
            Standing::Inferred => format!("i: {}", cell(&failure.run)),
            Standing::NotRun => "– not run".to_string(),
        };
        let _ = writeln!(
            out,
            "| {} | {} | {} | {} | {} | {known} |",
            cell(&failure.what),
            cell(&failure.often),
            cell(&failure.lost),
            cell(&failure.late),
            carried(&failure.carried_by, reaches),
        );
    }
    out
}

fn next(reckoned: &Reckoned) -> String {
    let mut out = String::from(
        "| | what stops short | part of the target reached | known | what is to be done |\n\
         | --- | --- | --- | --- | --- |\n",
    );
    for (i, short) in reckoned.short.iter().enumerate() {
        let part = if short.no_mechanism { "no mechanism".to_string() } else { number(short.part) };
        let next = if short.next.is_empty() { "not said" } else { &short.next };
        let _ = writeln!(
            out,
            "| {} | {} | {part} | {} | {} |",
            i + 1,
            cell(&short.what),
            mark(short.mark),
            cell(next)
        );
    }
    let _ = writeln!(
        out,
        "\nNot run or without a fit that holds, and so in no place of this order: {} cells and failures.",
        reckoned.not_run
    );
    out
}

fn slopes(reckoned: &Reckoned) -> String {
    let mut out = String::from(
        "| slope | what | fit | unexplained | sizes | text | by |\n| --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for (name, slope) in &reckoned.figures.slope {
        let _ = writeln!(out, "| {name} | {} | {} |", cell(&slope.what), slope_row(slope));
    }
    out
}

fn slope_row(slope: &Slope) -> String {
    let Slope { of, unit, .. } = slope;
    let text = match slope.text {
        Some(Text::Before) => "before",
        Some(Text::After) => "after",
        None => "",
    };
    match (slope.standing, slope.fit, slope.sizes) {
        (Standing::Measured, Some(fit), Some([from, to])) => {
            let law = match fit.kind {
                Kind::Linear => {
                    let intercept = fit.intercept.unwrap_or(0.0);
                    let sign = if intercept < 0.0 { '-' } else { '+' };
                    format!("{} x {of} {sign} {}", number(fit.slope), number(intercept.abs()))
                }
                Kind::Power => {
                    format!("{} x {of} ^ {}", number(fit.slope), number(fit.exponent.unwrap_or(1.0)))
                }
            };
            if !fit.usable() {
                let (words, told) = (cell(&slope.command), number(fit.residual));
                return format!(
                    "x: no fit holds | {told} | {} to {} {of} | {text} | `{words}`",
                    number(from),
                    number(to)
                );
            }
            let stopped =
                if slope.stopped_by.is_empty() { String::new() } else { format!("; {}", slope.stopped_by) };
            let loads = slope
                .loads
                .map_or(String::new(), |[from, to]| format!("; load {} to {}", number(from), number(to)));
            format!(
                "m: {law} {unit} | {} | {} to {} {of}{}{loads} | {text} | `{}`",
                number(fit.residual),
                number(from),
                number(to),
                cell(&stopped),
                cell(&slope.command)
            )
        }
        (Standing::Inferred, ..) => {
            let formula = slope.formula.as_ref().map(|formula| format!("{formula}"));
            format!("i: {} {unit} | | | | inferred", cell(&formula.unwrap_or_default()))
        }
        _ => format!("– not run; a size counts {of} | | | | "),
    }
}
