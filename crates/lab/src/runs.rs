//! Runs days in parallel and appends each result to a file as a line of JSON as soon as it is available, so that an
//! interrupted run keeps all finished results.

use std::collections::HashSet;
use std::fs::{File, OpenOptions};
use std::io::{BufRead, BufReader, Read, Seek, SeekFrom, Write};
use std::path::Path;
use std::sync::Mutex;

use indicatif::{ProgressBar, ProgressStyle};
use meadowhold_emulator::figures;
use meadowhold_emulator::figures::Figures;
use meadowhold_emulator::scenario::Scenario;
use rayon::prelude::*;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::deciders;
use crate::load::CommandError;

/// One day to run: a scenario with a seed and a decider.
#[derive(Clone, Debug)]
pub struct Job {
    pub name: String,
    pub scenario: Scenario,
    pub sets: Vec<String>,
    pub decider: String,
    pub seed: u64,
}

/// The result of one run; one line of a results file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunResult {
    pub scenario: String,
    /// Hash of the scenario with all its values, see [`digest`].
    pub digest: String,
    pub sets: Vec<String>,
    pub decider: String,
    pub build: String,
    pub seed: u64,
    pub figures: Figures,
}

impl RunResult {
    /// Identifies the run: two results with the same key are of the same run.
    fn key(&self) -> String {
        run_key(&self.digest, &self.decider, &self.build, self.seed)
    }
}

fn run_key(digest: &str, decider: &str, build: &str, seed: u64) -> String {
    format!("{digest} {decider} {build} {seed}")
}

pub fn digest(scenario: &Scenario) -> String {
    let text = serde_json::to_string(scenario).unwrap_or_default();
    format!("{:016x}", xxh3_64(text.as_bytes()))
}

/// Sets the size of the global thread pool; 0 means one thread for each core.
pub fn set_threads(count: usize) -> Result<(), CommandError> {
    let built = rayon::ThreadPoolBuilder::new().num_threads(count).build_global();
    built.map_err(|e| CommandError::new(format!("--threads {count}: {e}")))
}

/// Reads a results file. An incomplete last line, left by an interrupted run, is ignored.
pub fn read_results(path: &Path) -> Result<Vec<RunResult>, CommandError> {
    let error = |message: String| CommandError::new(format!("{}: {message}", path.display()));
    let file = File::open(path).map_err(|e| error(e.to_string()))?;
    let mut results = Vec::new();
    let mut all = BufReader::new(file).lines().enumerate().peekable();
    while let Some((at, text)) = all.next() {
        let text = text.map_err(|e| error(e.to_string()))?;
        match serde_json::from_str(&text) {
            Ok(result) => results.push(result),
            Err(_) if all.peek().is_none() => {}
            Err(e) => return Err(error(format!("line {} is not a result: {e}", at + 1))),
        }
    }
    Ok(results)
}

/// A results file that is open for appending, with the keys of the runs that it holds.
pub struct ResultsFile {
    file: Mutex<File>,
    completed: HashSet<String>,
}

impl ResultsFile {
    /// Opens or creates a results file. Runs that it already holds are not repeated.
    pub fn open(path: &Path) -> Result<ResultsFile, CommandError> {
        let error = |e: std::io::Error| CommandError::new(format!("{}: {e}", path.display()));
        let completed = if path.is_file() {
            read_results(path)?.iter().map(RunResult::key).collect()
        } else {
            HashSet::new()
        };
        let mut file = OpenOptions::new()
            .create(true)
            .truncate(false)
            .read(true)
            .write(true)
            .open(path)
            .map_err(error)?;
        // Removes an incomplete last line, to which the next result would otherwise be appended. Pipes and devices
        // cannot be truncated.
        if file.metadata().map_err(error)?.is_file() {
            let mut text = Vec::new();
            file.read_to_end(&mut text).map_err(error)?;
            let end_of_last_line = text.iter().rposition(|&b| b == b'\n').map_or(0, |at| at + 1);
            file.set_len(end_of_last_line as u64).map_err(error)?;
            file.seek(SeekFrom::End(0)).map_err(error)?;
        }
        Ok(ResultsFile { file: Mutex::new(file), completed })
    }

    fn contains(&self, job: &Job, build: &str) -> bool {
        self.completed.contains(&run_key(&digest(&job.scenario), &job.decider, build, job.seed))
    }

    fn append(&self, result: &RunResult) -> Result<(), CommandError> {
        let mut text = serde_json::to_vec(result)
            .map_err(|e| CommandError::new(format!("cannot serialize a result: {e}")))?;
        text.push(b'\n');
        let mut file = self.file.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        file.write_all(&text).map_err(|e| {
            CommandError::new(format!(
                "cannot write a result ({e}); earlier results in the file are complete"
            ))
        })
    }
}

/// Runs all jobs except those that `results_file` already holds. Returns the new results in the order of the jobs.
pub fn run(jobs: &[Job], results_file: Option<&ResultsFile>) -> Result<Vec<RunResult>, CommandError> {
    let build = deciders::build_id();
    let pending: Vec<&Job> = jobs
        .iter()
        .filter(|job| results_file.is_none_or(|results_file| !results_file.contains(job, &build)))
        .collect();
    let bar = ProgressBar::new(pending.len() as u64);
    if let Ok(style) = ProgressStyle::with_template("{bar:30} {pos}/{len} days, {eta} left") {
        bar.set_style(style);
    }
    let results = pending
        .par_iter()
        .map(|job| {
            let maker = deciders::maker(&job.decider).map_err(CommandError::new)?;
            let figures = figures(&job.scenario, job.seed, &*maker);
            let result = RunResult {
                scenario: job.name.clone(),
                digest: digest(&job.scenario),
                sets: job.sets.clone(),
                decider: job.decider.clone(),
                build: build.clone(),
                seed: job.seed,
                figures,
            };
            if let Some(results_file) = results_file {
                results_file.append(&result)?;
            }
            bar.inc(1);
            Ok(result)
        })
        .collect();
    bar.finish_and_clear();
    results
}
