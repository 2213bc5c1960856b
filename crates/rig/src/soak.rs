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
use draw::Drawing;

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
pub struct Play {
    pub drawing: Drawing,
    /// `Err` if the day could not be run.
    pub verdict: Result<Verdict, String>,
}

impl Play {
    pub fn kept(&self) -> bool {
        self.verdict.as_ref().is_ok_and(Verdict::kept)
    }

    /// One line with the seed, its result, the mails taken and those of them that ended without a call, and the drawn
    /// day.
    pub fn line(&self) -> String {
        let drawing = &self.drawing;
        match &self.verdict {
            Err(words) => format!("seed {}: NOT PLAYED: {words}; {drawing}", drawing.seed),
            Ok(verdict) => {
                let figures = &verdict.figures;
                let ended = if verdict.kept() { "kept".to_string() } else { broken(verdict) };
                let (taken, untried) = (figures.taken, &figures.untried);
                format!("seed {}: {ended}; taken {taken}, untried {untried}; {drawing}", drawing.seed)
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
pub async fn soak(soak: &Soak, binary: &Path, mut on_end: impl FnMut(&Play)) -> Vec<Play> {
    let permits = Arc::new(Semaphore::new(soak.parallel.max(1)));
    let mut playing = JoinSet::new();
    for seed in soak.seeds.clone().filter(|seed| !soak.without.contains(seed)) {
        let (permits, binary) = (permits.clone(), binary.to_path_buf());
        let logs = soak.logs.join(format!("seed-{seed}"));
        playing.spawn(async move {
            // Acquiring cannot fail: the semaphore is never closed.
            let _permit = permits.acquire_owned().await.ok();
            let drawing = Drawing::of(seed);
            let options = Options { logs: Some(logs), ..Options::default() };
            let verdict = run_with(&drawing.day, seed, &binary, &options).await;
            Play { drawing, verdict }
        });
    }
    let mut plays = Vec::new();
    while let Some(play) = playing.join_next().await {
        let Ok(play) = play else { continue };
        on_end(&play);
        plays.push(play);
    }
    plays.sort_by_key(|play| play.drawing.seed);
    plays
}

/// One-line summary of all results.
pub fn summary(plays: &[Play]) -> String {
    let failed: Vec<u64> = plays.iter().filter(|play| !play.kept()).map(|play| play.drawing.seed).collect();
    let figures = plays.iter().filter_map(|play| play.verdict.as_ref().ok()).map(|verdict| &verdict.figures);
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
        plays.len(),
        plays.len() - failed.len()
    )
}
