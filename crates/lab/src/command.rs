//! The command line: its definition, and one function for each subcommand. Doc comments on the types that clap
//! derives from are the help text.

use std::io::Write;
use std::path::{Path, PathBuf};

use clap::{Args, Parser, Subcommand, ValueEnum};
use meadowhold_emulator::decider::DeciderFactory;
use meadowhold_emulator::figures::Figures;
use meadowhold_emulator::world::Options;
use meadowhold_emulator::{figures, history, run};

use crate::charts::{self, Chart};
use crate::hunt::{self, Finding, Hunt, Symptom};
use crate::load::{self, CommandError, NamedScenario};
use crate::runs::{self, Job, ResultsFile, RunResult};
use crate::{compare, deciders, report, speed, tables};

/// The result of a command that ran to its end; it decides the exit code.
pub enum Verdict {
    Passed,
    RulesBroken,
}

/// Tries, breaks and plots days of couriers in simulated time.
///
/// Nothing here calls anybody: partners, list, clients and network are models. Exit codes: 0 all is well, 1 a rule was
/// broken, 2 something can't be used.
#[derive(Parser)]
#[command(name = "meadowhold-lab", version, after_help = EXAMPLES)]
pub struct Command {
    /// Days that run at once; 0: one for each core. Results don't depend on it.
    #[arg(long, global = true, default_value_t = 0)]
    threads: usize,
    #[command(subcommand)]
    job: Action,
}

const EXAMPLES: &str = "Examples:
  meadowhold-lab list
  meadowhold-lab run scenarios/dark-hall.toml --seeds 1..8
  meadowhold-lab run scenarios/quiet.toml --set mails.load=0.9 --decider oracle,gradient
  meadowhold-lab sweep scenarios/hang.toml --vary trouble.0.part=0.1,0.3,0.5 --seeds 1..8 --out hang.jsonl
  meadowhold-lab compare before.jsonl after.jsonl
  meadowhold-lab hunt --library scenarios --seconds 60 --keep found
  meadowhold-lab plot scenarios/dark-hall.toml --seed 3 --out plots";

#[derive(Args)]
struct Days {
    /// Scenario files.
    #[arg(required = true)]
    scenarios: Vec<PathBuf>,
    /// Sets a value over those of the files, as `mails.load=0.9` or `trouble.0.part=[0.1,0.3]`.
    #[arg(long = "set", value_name = "KEY=VALUE")]
    sets: Vec<String>,
    /// Seeds: 7, 1..20 (both counted) or 3,9,11. Where none are named: the file's own, else 1..4.
    #[arg(long, value_parser = load::parse_seeds)]
    seeds: Option<std::vec::Vec<u64>>,
    /// Deciders, with commas between; `meadowhold-lab list` names them.
    #[arg(long, value_delimiter = ',', default_value = deciders::CONTROL)]
    decider: Vec<String>,
}

/// One day of one decider.
#[derive(Args)]
struct OneDay {
    scenario: PathBuf,
    #[arg(long = "set", value_name = "KEY=VALUE")]
    sets: Vec<String>,
    /// Where none is named: the file's own, else 1.
    #[arg(long)]
    seed: Option<u64>,
    #[arg(long, default_value = deciders::CONTROL)]
    decider: String,
}

impl OneDay {
    fn load(&self) -> Result<(NamedScenario, u64, Box<DeciderFactory>), CommandError> {
        let named = load::load(&self.scenario, &self.sets)?;
        let seed = self.seed.or(named.scenario.seed).unwrap_or(1);
        Ok((named, seed, deciders::maker(&self.decider).map_err(CommandError::new)?))
    }
}

#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
enum Format {
    Text,
    Json,
}

#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
enum PlotFormat {
    Svg,
    Png,
    Html,
    All,
}

#[derive(Subcommand)]
enum Action {
    /// Runs days and says what they were worth.
    Run {
        #[command(flatten)]
        days: Days,
        #[arg(long, value_enum, default_value = "text")]
        format: Format,
        /// Adds a line of JSON for each day to this file; days that it holds are not run again.
        #[arg(long)]
        out: Option<PathBuf>,
    },
    /// Runs a grid: every combination of the varied values, with every seed.
    Sweep {
        #[command(flatten)]
        days: Days,
        /// A value to vary, as `mails.load=0.5,0.7,0.9`; may be given several times.
        #[arg(long = "vary", value_name = "KEY=V1,V2,...", required = true)]
        vary: Vec<String>,
        /// Results, a line of JSON each; an interrupted sweep goes on where it was.
        #[arg(long)]
        out: PathBuf,
    },
    /// Compares two sides on the same days, and says so where there is no difference.
    Compare {
        /// A file of results, or a decider (with `--scenario`).
        a: String,
        b: String,
        #[arg(long)]
        scenario: Vec<PathBuf>,
        #[arg(long = "set", value_name = "KEY=VALUE")]
        sets: Vec<String>,
        #[arg(long, value_parser = load::parse_seeds, default_value = "1..20")]
        seeds: std::vec::Vec<u64>,
    },
    /// Looks for the worst days near those of a library: broken rules first, then what is lost against the oracle.
    Hunt {
        #[arg(long, default_value = "scenarios")]
        library: PathBuf,
        #[arg(long, default_value = deciders::CONTROL)]
        decider: String,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Days to try at most, and seconds that it may take.
        #[arg(long, default_value_t = 1_000_000)]
        runs: usize,
        #[arg(long, default_value_t = 60)]
        seconds: u64,
        /// Broken rules alone.
        #[arg(long)]
        rules: bool,
        /// Cuts down what was found, and keeps it in this folder.
        #[arg(long)]
        keep: Option<PathBuf>,
        /// Runs that cutting down one day may take.
        #[arg(long, default_value_t = 2_000)]
        shrink_runs: usize,
    },
    /// Cuts a day down to the fewest troubles, smallest fleet and shortest time that still show the same.
    Shrink {
        #[command(flatten)]
        day: OneDay,
        /// Runs that it may take.
        #[arg(long, default_value_t = 5_000)]
        runs: usize,
        #[arg(long)]
        out: Option<PathBuf>,
    },
    /// Plays one day again, and tells the history of the mails of broken rules, or of a mail that is named.
    Replay {
        #[command(flatten)]
        day: OneDay,
        #[arg(long)]
        mail: Option<u32>,
    },
    /// Draws one day: charts as SVG or PNG, and one page of HTML.
    Plot {
        #[command(flatten)]
        day: OneDay,
        /// Folder for the files; it is made if it is not there.
        #[arg(long, default_value = "plots")]
        out: PathBuf,
        #[arg(long, value_enum, default_value = "html")]
        format: PlotFormat,
    },
    /// Reads scenarios and says what is wrong with them, or that nothing is.
    Check {
        #[arg(required = true)]
        scenarios: Vec<PathBuf>,
        #[arg(long = "set", value_name = "KEY=VALUE")]
        sets: Vec<String>,
    },
    /// Measures how fast days are simulated at several sizes, one at a time on one core.
    Speed {
        /// Only the sizes whose names hold this, as 3x30 or 200x1000.
        #[arg(long, default_value = "")]
        size: String,
    },
    /// Lists scenarios with what they should show, and deciders.
    List {
        #[arg(long, default_value = "scenarios")]
        library: PathBuf,
    },
}

impl Command {
    pub fn run(self) -> Result<Verdict, CommandError> {
        runs::set_threads(self.threads)?;
        match self.job {
            Action::Run { days, format, out } => run_days(&days, format, out.as_deref()),
            Action::Sweep { days, vary, out } => sweep(&days, &vary, &out),
            Action::Compare { a, b, scenario, sets, seeds } => {
                compare_sides(&a, &b, &scenario, &sets, &seeds)
            }
            Action::Hunt { library, decider, seed, runs, seconds, rules, keep, shrink_runs } => {
                let library = load_all(&load::scenario_files(&library)?, &[])?;
                let hunt =
                    Hunt { library: &library, decider: &decider, seed, runs, seconds, rules_only: rules };
                hunt_days(&hunt, keep.as_deref(), shrink_runs)
            }
            Action::Shrink { day, runs, out } => shrink(&day, runs, out.as_deref()),
            Action::Replay { day, mail } => replay(&day, mail),
            Action::Plot { day, out, format } => plot(&day, &out, format),
            Action::Check { scenarios, sets } => {
                let all = load_all(&scenarios, &sets)?;
                print(&format!("{} scenarios can be run\n", all.len()))?;
                Ok(Verdict::Passed)
            }
            Action::Speed { size } => measure(&size),
            Action::List { library } => list(&library),
        }
    }
}

/// Writes to standard output; exits silently with code 0 if the reader has closed the pipe.
fn print(text: &str) -> Result<(), CommandError> {
    let written = std::io::stdout().write_all(text.as_bytes());
    match written {
        Err(e) if e.kind() == std::io::ErrorKind::BrokenPipe => std::process::exit(0),
        written => written.map_err(|e| CommandError::new(format!("cannot write to standard output: {e}"))),
    }
}

/// Loads several scenario files; the error holds the faults of all of them.
fn load_all(paths: &[PathBuf], sets: &[String]) -> Result<Vec<NamedScenario>, CommandError> {
    let (mut all, mut faults) = (Vec::new(), Vec::new());
    for path in paths {
        match load::load(path, sets) {
            Ok(named) => all.push(named),
            Err(error) => faults.extend(error.0),
        }
    }
    if faults.is_empty() {
        Ok(all)
    } else {
        Err(CommandError(faults))
    }
}

fn jobs(days: &Days) -> Result<Vec<Job>, CommandError> {
    if let Some(unknown) = days.decider.iter().find_map(|name| deciders::maker(name).err()) {
        return Err(CommandError::new(unknown));
    }
    let mut jobs = Vec::new();
    for named in load_all(&days.scenarios, &days.sets)? {
        let scenario_seeds = named.scenario.seed.map(|seed| vec![seed]);
        let seeds = days.seeds.clone().or(scenario_seeds).unwrap_or_else(|| (1..=4).collect());
        for decider in &days.decider {
            jobs.extend(seeds.iter().map(|&seed| Job {
                name: named.name.clone(),
                scenario: named.scenario.clone(),
                sets: days.sets.clone(),
                decider: decider.clone(),
                seed,
            }));
        }
    }
    Ok(jobs)
}

fn verdict(results: &[RunResult]) -> Verdict {
    // Baselines serve as a comparison: rules that they break are printed, but do not change the exit code.
    let control_broke_a_rule =
        |result: &&RunResult| result.decider == deciders::CONTROL && result.figures.rules_broken > 0;
    if results.iter().any(|result| control_broke_a_rule(&result)) {
        Verdict::RulesBroken
    } else {
        Verdict::Passed
    }
}

fn run_days(days: &Days, format: Format, out: Option<&Path>) -> Result<Verdict, CommandError> {
    let results_file = out.map(ResultsFile::open).transpose()?;
    let results = runs::run(&jobs(days)?, results_file.as_ref())?;
    match format {
        Format::Text => {
            print(&tables::summary(&results))?;
            print(&tables::broken_rules(&results))?;
        }
        Format::Json => {
            for result in &results {
                let text = serde_json::to_string(result).map_err(|e| CommandError::new(e.to_string()))?;
                print(&(text + "\n"))?;
            }
        }
    }
    Ok(verdict(&results))
}

/// Returns every combination of one value for each varied key, as lists of `KEY=VALUE`.
fn grid(vary: &[String]) -> Result<Vec<Vec<String>>, CommandError> {
    let mut grid = vec![Vec::new()];
    for entry in vary {
        let usage_error = || CommandError::new(format!("--vary {entry}: expected KEY=V1,V2,..."));
        let (key, values) = entry.split_once('=').ok_or_else(usage_error)?;
        let values: Vec<&str> = split_outside_brackets(values);
        if values.iter().any(|value| value.trim().is_empty()) {
            return Err(usage_error());
        }
        grid = grid
            .into_iter()
            .flat_map(|sets: Vec<String>| {
                values.iter().map(move |value| {
                    let mut sets = sets.clone();
                    sets.push(format!("{key}={}", value.trim()));
                    sets
                })
            })
            .collect();
    }
    Ok(grid)
}

/// Splits at commas outside brackets, since `[low,high]` is a single value: a range.
fn split_outside_brackets(text: &str) -> Vec<&str> {
    let (mut depth, mut start, mut parts) = (0, 0, Vec::new());
    for (at, letter) in text.char_indices() {
        match letter {
            '[' => depth += 1,
            ']' => depth -= 1,
            ',' if depth == 0 => {
                parts.push(&text[start..at]);
                start = at + 1;
            }
            _ => {}
        }
    }
    parts.push(&text[start..]);
    parts
}

fn sweep(days: &Days, vary: &[String], out: &Path) -> Result<Verdict, CommandError> {
    let mut all = Vec::new();
    for sets in grid(vary)? {
        let sets = [days.sets.clone(), sets].concat();
        let days = Days {
            scenarios: days.scenarios.clone(),
            sets,
            seeds: days.seeds.clone(),
            decider: days.decider.clone(),
        };
        all.extend(jobs(&days)?);
    }
    let results_file = ResultsFile::open(out)?;
    let new_results = runs::run(&all, Some(&results_file))?;
    // The summary also covers results that an earlier, interrupted sweep wrote to the file.
    let digests: Vec<String> = all.iter().map(|job| runs::digest(&job.scenario)).collect();
    let build = deciders::build_id();
    let results: Vec<RunResult> = runs::read_results(out)?
        .into_iter()
        .filter(|result| result.build == build && digests.contains(&result.digest))
        .collect();
    print(&tables::summary(&results))?;
    print(&format!("{} of {} days run now, all in {}\n", new_results.len(), all.len(), out.display()))?;
    Ok(verdict(&results))
}

fn compare_sides(
    a: &str,
    b: &str,
    scenarios: &[PathBuf],
    sets: &[String],
    seeds: &[u64],
) -> Result<Verdict, CommandError> {
    let side = |name: &str| -> Result<Vec<RunResult>, CommandError> {
        if deciders::maker(name).is_err() {
            return runs::read_results(Path::new(name));
        }
        if scenarios.is_empty() {
            return Err(CommandError::new(format!(
                "{name} is a decider: give the scenarios to run with --scenario"
            )));
        }
        let days = Days {
            scenarios: scenarios.to_vec(),
            sets: sets.to_vec(),
            seeds: Some(seeds.to_vec()),
            decider: vec![name.to_string()],
        };
        runs::run(&jobs(&days)?, None)
    };
    let (left, right) = (side(a)?, side(b)?);
    let groups = compare::pairs_by_scenario(&left, &right);
    if groups.is_empty() {
        return Err(CommandError::new(format!(
            "{a} and {b} have no run in common: a run is a scenario with its --set values and a seed"
        )));
    }
    let header = ["scenario", "pairs", "A", "B", "B - A", "95 in 100 within", "verdict"];
    let mut rows = vec![header.map(String::from).to_vec()];
    let mut all_pairs = Vec::new();
    let mut row = |name: &str, pairs: &[(f64, f64)]| {
        let Some(d) = compare::paired_difference(pairs) else { return };
        rows.push(vec![
            name.to_string(),
            d.pairs.to_string(),
            format!("{:.3}", d.a),
            format!("{:.3}", d.b),
            format!("{:+.4}", d.mean),
            format!("{:+.4} to {:+.4}", d.low, d.high),
            d.verdict().to_string(),
        ]);
    };
    for (name, pairs) in &groups {
        row(name, pairs);
        all_pairs.extend(pairs.iter().copied());
    }
    if groups.len() > 1 {
        row("all", &all_pairs);
    }
    print(&format!("A: {a}   B: {b}\n{}", tables::table(&rows)))?;
    Ok(Verdict::Passed)
}

fn hunt_days(hunt: &Hunt, keep: Option<&Path>, shrink_runs: usize) -> Result<Verdict, CommandError> {
    let (broken, worst) = hunt::hunt(hunt, |done, broken, worst| {
        let worst_found = worst.first().map_or(String::new(), |w| format!(", worst: {}", w.summary));
        eprintln!("{done} days tried, {} ways to break a rule{worst_found}", broken.len());
    })?;
    for found in broken.iter().chain(&worst) {
        let troubles: Vec<String> =
            found.scenario.trouble.iter().map(|t| format!("{:?}", t.what).to_lowercase()).collect();
        print(&format!(
            "near {} seed {} ({}): {}\n",
            found.origin,
            found.seed,
            troubles.join("+"),
            found.summary
        ))?;
    }
    if let Some(folder) = keep {
        std::fs::create_dir_all(folder)
            .map_err(|e| CommandError::new(format!("{}: {e}", folder.display())))?;
        for (i, found) in broken.iter().chain(worst.iter().take(3)).enumerate() {
            let (reduced, runs) = hunt::shrink(found, hunt.decider, shrink_runs);
            let symptom = match found.symptom {
                Symptom::Breaks(rule) => format!("{rule:?}").to_lowercase(),
                Symptom::Loses(_) => "loss".to_string(),
            };
            let path = folder.join(format!("{symptom}-{i}.toml"));
            write(&path, &hunt::to_toml(&reduced)?)?;
            print(&format!("{}: cut down in {runs} runs, {}\n", path.display(), size_summary(&reduced)))?;
        }
    }
    Ok(if broken.is_empty() { Verdict::Passed } else { Verdict::RulesBroken })
}

fn size_summary(found: &Finding) -> String {
    let s = &found.scenario;
    format!(
        "{} troubles, {} couriers, {} partners, {} s",
        s.trouble.len(),
        s.couriers.low(),
        s.partners.low(),
        s.seconds.low()
    )
}

fn write(path: &Path, text: &str) -> Result<(), CommandError> {
    std::fs::write(path, text).map_err(|e| CommandError::new(format!("{}: {e}", path.display())))
}

fn shrink(day: &OneDay, runs: usize, out: Option<&Path>) -> Result<Verdict, CommandError> {
    let (named, seed, maker) = day.load()?;
    let own_figures = figures(&named.scenario, seed, &*maker);
    let (symptom, summary) = match own_figures.broken.first() {
        Some(b) => (Symptom::Breaks(b.rule), format!("{:?}: {}", b.rule, b.words)),
        None => {
            let oracle = deciders::maker(deciders::ORACLE).map_err(CommandError::new)?;
            let loss = figures(&named.scenario, seed, &*oracle).g - own_figures.g;
            if loss < 0.02 {
                let message = format!(
                    "nothing to shrink: seed {seed} breaks no rule, and its loss against the oracle is only {loss:.3}"
                );
                return Err(CommandError::new(message));
            }
            (Symptom::Loses(loss), format!("loses {loss:.3} against who sees all"))
        }
    };
    let found =
        Finding { origin: named.name.clone(), scenario: named.scenario.clone(), seed, symptom, summary };
    let (reduced, runs) = hunt::shrink(&found, &day.decider, runs);
    let text = hunt::to_toml(&reduced)?;
    eprintln!(
        "{}; cut down in {runs} runs to {}, seed {}",
        found.summary,
        size_summary(&reduced),
        reduced.seed
    );
    match out {
        Some(path) => write(path, &text)?,
        None => print(&text)?,
    }
    Ok(Verdict::Passed)
}

fn replay(day: &OneDay, mail: Option<u32>) -> Result<Verdict, CommandError> {
    let (named, seed, maker) = day.load()?;
    let found = figures(&named.scenario, seed, &*maker);
    let mails: Vec<u32> = match mail {
        Some(mail) if u64::from(mail) >= found.mails => {
            return Err(CommandError::new(format!(
                "--mail {mail}: the day has {} mails, numbered from 0",
                found.mails
            )));
        }
        Some(mail) => vec![mail],
        None => found.broken.iter().take(3).map(|b| b.mail).collect(),
    };
    let text = serde_json::to_string_pretty(&found).map_err(|e| CommandError::new(e.to_string()))?;
    print(&(text + "\n"))?;
    for mail in mails {
        print(&format!("\nmail {mail}\n"))?;
        for line in history(&named.scenario, seed, &*maker, mail) {
            print(&format!("{line}\n"))?;
        }
    }
    Ok(if found.rules_broken > 0 { Verdict::RulesBroken } else { Verdict::Passed })
}

fn plot(day: &OneDay, out: &Path, format: PlotFormat) -> Result<Verdict, CommandError> {
    let (named, seed, maker) = day.load()?;
    let decider = &day.decider;
    std::fs::create_dir_all(out).map_err(|e| CommandError::new(format!("{}: {e}", out.display())))?;
    // About 200 samples regardless of the length of the day: time is in units of 0.1 ms, and samples are at least
    // 10 units (1 ms) apart.
    let sample_every = ((named.scenario.seconds.low() * 50.0) as u64).max(10);
    let ended = run(&named.scenario, seed, &*maker, Options { sample_every, ..Options::default() });
    let stem = format!("{}-{decider}-{seed}", named.name);
    let mut files = Vec::new();
    for (chart, name) in Chart::ALL {
        if matches!(format, PlotFormat::Svg | PlotFormat::All) {
            let path = out.join(format!("{stem}-{name}.svg"));
            write(&path, &charts::svg(chart, &ended)?)?;
            files.push(path);
        }
        if matches!(format, PlotFormat::Png | PlotFormat::All) {
            let path = out.join(format!("{stem}-{name}.png"));
            charts::png(chart, &ended, &path)?;
            files.push(path);
        }
    }
    if matches!(format, PlotFormat::Html | PlotFormat::All) {
        let path = out.join(format!("{stem}.html"));
        write(&path, &report::page(&named, decider, &*maker, &ended)?)?;
        files.push(path);
    }
    for path in files {
        print(&format!("{}\n", path.display()))?;
    }
    let broken = Figures::of(&ended).rules_broken;
    Ok(if broken > 0 { Verdict::RulesBroken } else { Verdict::Passed })
}

fn measure(size: &str) -> Result<Verdict, CommandError> {
    let header = ["size", "mails", "mails/s", "events/s", "turns", "deciding", "peak MiB", "G", "took s"];
    let mut rows = vec![header.map(String::from).to_vec()];
    for (name, couriers, partners, rate, seconds) in speed::SIZES {
        if !name.contains(size) {
            continue;
        }
        let found = speed::measure(&speed::scenario_of_size(couriers, partners, rate, seconds), 1);
        let (f, took) = (&found.figures, found.took.as_secs_f64());
        rows.push(vec![
            format!("{name} ({} x {})", f.couriers, f.endpoints),
            f.mails.to_string(),
            format!("{:.0}", f.mails as f64 / took),
            format!("{:.0}", f.events as f64 / took),
            f.turns.to_string(),
            format!("{:.0}%", 100.0 * found.decider_time.as_secs_f64() / took),
            found.peak_mib.map_or("not told".into(), |mib| mib.to_string()),
            format!("{:.3}", f.g),
            format!("{took:.1}"),
        ]);
    }
    if rows.len() == 1 {
        return Err(CommandError::new(format!(
            "--size {size}: unknown size; known sizes are 3x30, 200x1000, 1000x10000, 2000x20000"
        )));
    }
    print(&tables::table(&rows))?;
    Ok(Verdict::Passed)
}

fn list(library: &Path) -> Result<Verdict, CommandError> {
    let mut rows = Vec::new();
    for path in load::scenario_files(library)? {
        let named = load::load(&path, &[])?;
        rows.push(vec![named.name, format!(" {}", named.scenario.about)]);
    }
    let width = rows.iter().map(|row| row[0].len()).max().unwrap_or(0);
    let lines = rows.iter().map(|row| format!("{:<width$} {}\n", row[0], row[1]));
    print(&format!("Scenarios in {}:\n{}", library.display(), lines.collect::<String>()))?;
    let deciders = deciders::all();
    let lines = deciders.iter().map(|(name, description)| format!("{name:<width$}  {description}\n"));
    print(&format!("\nDeciders:\n{}", lines.collect::<String>()))?;
    Ok(Verdict::Passed)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn grid_has_every_combination_and_splits_outside_brackets_only() {
        let found = grid(&["a=1,2".into(), "b=[1,2],3".into()]).unwrap();
        let expected = [["a=1", "b=[1,2]"], ["a=1", "b=3"], ["a=2", "b=[1,2]"], ["a=2", "b=3"]];
        assert_eq!(found, expected);
        assert!(grid(&["a".into()]).is_err() && grid(&["a=1,".into()]).is_err());
    }

    #[test]
    fn command_line_definition_is_valid() {
        use clap::CommandFactory;
        Command::command().debug_assert();
    }
}
