//! Compares two sets of results on the same days: the mean paired difference with its bootstrap confidence interval.

use std::collections::HashMap;

use meadowhold_emulator::chance::{Purpose, Stream};

use crate::runs::RunResult;

/// Number of bootstrap samples.
const RESAMPLINGS: usize = 4_000;
const SEED: u64 = 1;

#[derive(Clone, Debug, PartialEq)]
pub struct Difference {
    pub pairs: usize,
    pub a: f64,
    pub b: f64,
    /// Mean of B minus A; `low` and `high` bound its 95% confidence interval.
    pub mean: f64,
    pub low: f64,
    pub high: f64,
}

impl Difference {
    pub fn verdict(&self) -> &'static str {
        match (self.low > 0.0, self.high < 0.0) {
            (true, _) => "B is better",
            (_, true) => "A is better",
            _ => "no difference",
        }
    }
}

/// Returns the mean difference of the pairs with its bootstrap interval; `None` without pairs.
pub fn paired_difference(pairs: &[(f64, f64)]) -> Option<Difference> {
    if pairs.is_empty() {
        return None;
    }
    let count = pairs.len() as f64;
    let mean = |of: &dyn Fn(&(f64, f64)) -> f64| pairs.iter().map(of).sum::<f64>() / count;
    let mut stream = Stream::new(SEED, Purpose::Figures, 0);
    let mut means: Vec<f64> = (0..RESAMPLINGS)
        .map(|_| {
            let sample_difference = |_| {
                let (a, b) = pairs[stream.below(pairs.len())];
                b - a
            };
            (0..pairs.len()).map(sample_difference).sum::<f64>() / count
        })
        .collect();
    means.sort_by(f64::total_cmp);
    let quantile = |share: f64| means[((RESAMPLINGS - 1) as f64 * share).round() as usize];
    Some(Difference {
        pairs: pairs.len(),
        a: mean(&|p| p.0),
        b: mean(&|p| p.1),
        mean: mean(&|p| p.1 - p.0),
        low: quantile(0.025),
        high: quantile(0.975),
    })
}

/// Pairs the G of runs with the same scenario, values set and seed on both sides. Grouped by scenario and values set,
/// and sorted by name.
pub fn pairs_by_scenario(a: &[RunResult], b: &[RunResult]) -> Vec<(String, Vec<(f64, f64)>)> {
    let pair_key = |result: &RunResult| (result.scenario.clone(), result.sets.clone(), result.seed);
    let other_side: HashMap<_, f64> = b.iter().map(|result| (pair_key(result), result.figures.g)).collect();
    let mut groups: Vec<(String, Vec<(f64, f64)>)> = Vec::new();
    for result in a {
        let Some(&g) = other_side.get(&pair_key(result)) else { continue };
        let name = if result.sets.is_empty() {
            result.scenario.clone()
        } else {
            format!("{} {}", result.scenario, result.sets.join(" "))
        };
        let index = groups.iter().position(|(known, _)| *known == name).unwrap_or_else(|| {
            groups.push((name, Vec::new()));
            groups.len() - 1
        });
        groups[index].1.push((result.figures.g, g));
    }
    groups.sort_by(|a, b| a.0.cmp(&b.0));
    groups
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn verdict_names_a_side_only_for_a_significant_difference() {
        let mut stream = Stream::new(3, Purpose::Figures, 1);
        let mut noise = || stream.between(-0.05, 0.05);
        let cases = [(0.0, "no difference"), (0.04, "B is better"), (-0.04, "A is better")];
        for (shift, verdict) in cases {
            let pairs: Vec<(f64, f64)> = (0..60).map(|_| (0.9 + noise(), 0.9 + shift + noise())).collect();
            let found = paired_difference(&pairs).unwrap();
            assert_eq!(found.verdict(), verdict, "{found:?}");
            assert!(found.low <= found.mean && found.mean <= found.high);
        }
        assert_eq!(paired_difference(&[]), None);
    }
}
