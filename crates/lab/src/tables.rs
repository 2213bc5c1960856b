//! Formats results as plain-text tables.

use std::collections::BTreeMap;

use crate::runs::RunResult;

/// Aligns columns: the first to the left, the others to the right.
pub fn table(rows: &[Vec<String>]) -> String {
    let columns = rows.iter().map(Vec::len).max().unwrap_or(0);
    let width = |c: usize| rows.iter().filter_map(|r| r.get(c)).map(|t| t.chars().count()).max().unwrap_or(0);
    let widths: Vec<usize> = (0..columns).map(width).collect();
    let mut text = String::new();
    for row in rows {
        let cells = row.iter().enumerate().map(|(c, cell)| match c {
            0 => format!("{cell:<width$}", width = widths[c]),
            _ => format!("{cell:>width$}", width = widths[c]),
        });
        text.push_str(cells.collect::<Vec<_>>().join("  ").trim_end());
        text.push('\n');
    }
    text
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

/// Formats one row for each scenario, set of values and decider: means over the seeds, the lowest G, and the number
/// of days with broken rules.
pub fn summary(results: &[RunResult]) -> String {
    let mut groups: BTreeMap<(String, String, String), Vec<&RunResult>> = BTreeMap::new();
    for result in results {
        let group = (result.scenario.clone(), result.sets.join(" "), result.decider.clone());
        groups.entry(group).or_default().push(result);
    }
    let header = [
        "scenario",
        "decider",
        "days",
        "G",
        "worst G",
        "whole",
        "worst 10 s",
        "worst class",
        "waste",
        "refused",
        "connects",
        "rules broken",
    ];
    let mut rows = vec![header.map(String::from).to_vec()];
    for ((scenario, sets, decider), results) in groups {
        let of =
            |get: &dyn Fn(&RunResult) -> f64| results.iter().map(|result| get(result)).collect::<Vec<f64>>();
        let figure = |get: &dyn Fn(&RunResult) -> f64| format!("{:.3}", mean(&of(get)));
        let broken = results.iter().filter(|result| result.figures.rules_broken > 0).count();
        let name = if sets.is_empty() { scenario } else { format!("{scenario} {sets}") };
        rows.push(vec![
            name,
            decider,
            results.len().to_string(),
            figure(&|l| l.figures.g),
            format!("{:.3}", of(&|l| l.figures.g).into_iter().fold(1.0, f64::min)),
            figure(&|l| l.figures.whole),
            figure(&|l| l.figures.worst_window),
            figure(&|l| l.figures.worst_class),
            figure(&|l| l.figures.waste),
            figure(&|l| l.figures.refused),
            figure(&|l| l.figures.connects),
            if broken == 0 { "none".into() } else { format!("on {broken} days") },
        ]);
    }
    table(&rows)
}

/// Formats the first two broken rules of each run, one per line.
pub fn broken_rules(results: &[RunResult]) -> String {
    let mut text = String::new();
    for result in results {
        for b in result.figures.broken.iter().take(2) {
            text.push_str(&format!(
                "{} seed {} {}: {:?} at {:.2} s, mail {}, courier {}: {}\n",
                result.scenario,
                result.seed,
                result.decider,
                b.rule,
                b.at as f64 / 10_000.0,
                b.mail,
                b.courier,
                b.words
            ));
        }
    }
    text
}
