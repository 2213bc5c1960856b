//! Soak test of restarts: runs days that are drawn from seeds instead of read from files, several in parallel, and
//! judges each. `draw` generates the days; `docs/rig.md` lists what is checked.

pub mod draw;

use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use tokio::sync::Semaphore;
use tokio::task::JoinSet;

use crate::judge::{Rule, Verdict};
use crate::run::{run_with, Options};
use draw::DrawnDay;

/// Parameters of a soak.
pub struct Soak {
    pub seeds: RangeInclusive<u64>,
    /// Seeds of the range to skip.
    pub without: Vec<u64>,
    /// Number of seeds that run in parallel.
    pub parallel: usize,
    /// Folder for the couriers' logs of failing seeds.
    pub logs: PathBuf,
}

/// Result of one seed.
pub struct SeedResult {
    pub drawn: DrawnDay,
    /// `Err` if the day could not be run.
    pub verdict: Result<Verdict, String>,
}

impl SeedResult {
    pub fn kept(&self) -> bool {
        self.verdict.as_ref().is_ok_and(Verdict::kept)
    }

    /// One line with the seed, its result, the mails taken and those of them that ended without a call, and the drawn
    /// day.
    pub fn line(&self) -> String {
        let drawn = &self.drawn;
        match &self.verdict {
            Err(words) => format!("seed {}: NOT PLAYED: {words}; {drawn}", drawn.seed),
            Ok(verdict) => {
                let figures = &verdict.figures;
                let ended = if verdict.kept() { "kept".to_string() } else { broken(verdict) };
                let (taken, untried) = (figures.taken, &figures.untried);
                format!("seed {}: {ended}; taken {taken}, untried {untried}; {drawn}", drawn.seed)
            }
        }
    }
}

/// The rules that were broken, how often, and the first line of the first report of each.
fn broken(verdict: &Verdict) -> String {
    let rules = Rule::ALL.iter().filter(|(rule, _)| verdict.breaks(*rule) > 0);
    let words = rules.map(|(rule, name)| {
        let first = verdict.broken.iter().find(|broken| broken.rule == *rule);
        let first = first.map_or("", |first| first.words.lines().next().unwrap_or(""));
        format!("{name} {} times ({first})", verdict.breaks(*rule))
    });
    format!("BROKEN: {}", words.collect::<Vec<_>>().join("; "))
}

/// Runs all seeds and calls `on_end` after each. Returns the results ordered by seed.
pub async fn soak(soak: &Soak, binary: &Path, mut on_end: impl FnMut(&SeedResult)) -> Vec<SeedResult> {
    let permits = Arc::new(Semaphore::new(soak.parallel.max(1)));
    let mut running = JoinSet::new();
    for seed in soak.seeds.clone().filter(|seed| !soak.without.contains(seed)) {
        let (permits, binary) = (permits.clone(), binary.to_path_buf());
        let logs = soak.logs.join(format!("seed-{seed}"));
        running.spawn(async move {
            // Acquiring cannot fail: the semaphore is never closed.
            let _permit = permits.acquire_owned().await.ok();
            let drawn = DrawnDay::of(seed);
            let options = Options { logs: Some(logs), ..Options::default() };
            let verdict = run_with(&drawn.day, seed, &binary, &options).await;
            SeedResult { drawn, verdict }
        });
    }
    let mut results = Vec::new();
    while let Some(result) = running.join_next().await {
        let Ok(result) = result else { continue };
        on_end(&result);
        results.push(result);
    }
    results.sort_by_key(|result| result.drawn.seed);
    results
}

/// One-line summary of all results.
pub fn summary(results: &[SeedResult]) -> String {
    let failed: Vec<u64> =
        results.iter().filter(|result| !result.kept()).map(|result| result.drawn.seed).collect();
    let figures =
        results.iter().filter_map(|result| result.verdict.as_ref().ok()).map(|verdict| &verdict.figures);
    let (mut taken, mut in_shutdown, mut before, mut elsewhere) = (0, 0, 0, 0);
    for figures in figures {
        taken += figures.taken;
        in_shutdown += figures.untried.in_shutdown;
        before += figures.untried.before_shutdown;
        elsewhere += figures.untried.elsewhere;
    }
    let untried = in_shutdown + before + elsewhere;
    format!(
        "{} seeds, {} kept, failed {failed:?}; of {taken} taken on {untried} ended untried: {before} taken on before a \
         SIGTERM in their time, {in_shutdown} after it, {elsewhere} elsewhere",
        results.len(),
        results.len() - failed.len()
    )
}
