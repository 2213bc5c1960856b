//! The command line: what is asked for, and what is done about it.

use std::io::Write;
use std::path::{Path, PathBuf};

use clap::{Args, Parser, Subcommand, ValueEnum};
use meadowhold_emulator::decider::DeciderFactory;
use meadowhold_emulator::figures::Figures;
use meadowhold_emulator::world::Options;
use meadowhold_emulator::{figures, history, run};

use crate::charts::{self, Chart};
use crate::hunt::{self, Found, Hunt, Shows};
use crate::load::{self, Named, Refused};
use crate::runs::{self, Job, Kept, Line};
use crate::{compare, deciders, report, speed, tables};

/// What a command found.
pub enum Verdict {
    Fine,
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
    job: Work,
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
    #[arg(long, value_parser = load::seeds)]
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
    fn load(&self) -> Result<(Named, u64, Box<DeciderFactory>), Refused> {
        let named = load::load(&self.scenario, &self.sets)?;
        let seed = self.seed.or(named.scenario.seed).unwrap_or(1);
        Ok((named, seed, deciders::maker(&self.decider).map_err(Refused::one)?))
    }
}

#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
enum Format {
    Text,
    Json,
}

#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
enum Picture {
    Svg,
    Png,
    Html,
    All,
}

#[derive(Subcommand)]
enum Work {
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
        #[arg(long, value_parser = load::seeds, default_value = "1..20")]
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
        format: Picture,
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
    pub fn run(self) -> Result<Verdict, Refused> {
        runs::threads(self.threads)?;
        match self.job {
            Work::Run { days, format, out } => run_days(&days, format, out.as_deref()),
            Work::Sweep { days, vary, out } => sweep(&days, &vary, &out),
            Work::Compare { a, b, scenario, sets, seeds } => compared(&a, &b, &scenario, &sets, &seeds),
            Work::Hunt { library, decider, seed, runs, seconds, rules, keep, shrink_runs } => {
                let library = named(&load::library(&library)?, &[])?;
                let hunt =
                    Hunt { library: &library, decider: &decider, seed, runs, seconds, rules_only: rules };
                hunt_days(&hunt, keep.as_deref(), shrink_runs)
            }
            Work::Shrink { day, runs, out } => shrink(&day, runs, out.as_deref()),
            Work::Replay { day, mail } => replay(&day, mail),
            Work::Plot { day, out, format } => plot(&day, &out, format),
            Work::Check { scenarios, sets } => {
                let all = named(&scenarios, &sets)?;
                say(&format!("{} scenarios can be run\n", all.len()))?;
                Ok(Verdict::Fine)
            }
            Work::Speed { size } => measure(&size),
            Work::List { library } => list(&library),
        }
    }
}

/// Prints; a reader that has gone ends the command without a word more.
fn say(text: &str) -> Result<(), Refused> {
    let told = std::io::stdout().write_all(text.as_bytes());
    match told {
        Err(e) if e.kind() == std::io::ErrorKind::BrokenPipe => std::process::exit(0),
        told => told.map_err(|e| Refused::one(format!("standard output: {e}"))),
    }
}

/// Loads several files, and tells the faults of all of them at once.
fn named(paths: &[PathBuf], sets: &[String]) -> Result<Vec<Named>, Refused> {
    let (mut all, mut faults) = (Vec::new(), Vec::new());
    for path in paths {
        match load::load(path, sets) {
            Ok(named) => all.push(named),
            Err(refused) => faults.extend(refused.0),
        }
    }
    if faults.is_empty() {
        Ok(all)
    } else {
        Err(Refused(faults))
    }
}

fn jobs(days: &Days) -> Result<Vec<Job>, Refused> {
    if let Some(unknown) = days.decider.iter().find_map(|name| deciders::maker(name).err()) {
        return Err(Refused::one(unknown));
    }
    let mut jobs = Vec::new();
    for named in named(&days.scenarios, &days.sets)? {
        let own = named.scenario.seed.map(|seed| vec![seed]);
        let seeds = days.seeds.clone().or(own).unwrap_or_else(|| (1..=4).collect());
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

fn verdict(lines: &[Line]) -> Verdict {
    // Baselines are there for comparison: what they break is told, and is no fault of the project's.
    let ours = |line: &&Line| line.decider == deciders::CONTROL && line.figures.rules_broken > 0;
    if lines.iter().any(|line| ours(&line)) {
        Verdict::RulesBroken
    } else {
        Verdict::Fine
    }
}

fn run_days(days: &Days, format: Format, out: Option<&Path>) -> Result<Verdict, Refused> {
    let kept = out.map(Kept::open).transpose()?;
    let lines = runs::run(&jobs(days)?, kept.as_ref())?;
    match format {
        Format::Text => {
            say(&tables::summary(&lines))?;
            say(&tables::broken(&lines))?;
        }
        Format::Json => {
            for line in &lines {
                let text = serde_json::to_string(line).map_err(|e| Refused::one(e.to_string()))?;
                say(&(text + "\n"))?;
            }
        }
    }
    Ok(verdict(&lines))
}

/// All combinations of one value of each key.
fn grid(vary: &[String]) -> Result<Vec<Vec<String>>, Refused> {
    let mut grid = vec![Vec::new()];
    for one in vary {
        let told = || Refused::one(format!("--vary {one}: say KEY=V1,V2,..."));
        let (key, values) = one.split_once('=').ok_or_else(told)?;
        let values: Vec<&str> = split_outside_brackets(values);
        if values.iter().any(|value| value.trim().is_empty()) {
            return Err(told());
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

/// Commas within brackets belong to a range.
fn split_outside_brackets(text: &str) -> Vec<&str> {
    let (mut depth, mut from, mut parts) = (0, 0, Vec::new());
    for (at, letter) in text.char_indices() {
        match letter {
            '[' => depth += 1,
            ']' => depth -= 1,
            ',' if depth == 0 => {
                parts.push(&text[from..at]);
                from = at + 1;
            }
            _ => {}
        }
    }
    parts.push(&text[from..]);
    parts
}

fn sweep(days: &Days, vary: &[String], out: &Path) -> Result<Verdict, Refused> {
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
    let kept = Kept::open(out)?;
    let ran = runs::run(&all, Some(&kept))?;
    // What an earlier sitting finished is part of the answer too.
    let wanted: Vec<String> = all.iter().map(|job| runs::digest(&job.scenario)).collect();
    let build = deciders::build();
    let lines: Vec<Line> = runs::read(out)?
        .into_iter()
        .filter(|line| line.build == build && wanted.contains(&line.digest))
        .collect();
    say(&tables::summary(&lines))?;
    say(&format!("{} of {} days run now, all in {}\n", ran.len(), all.len(), out.display()))?;
    Ok(verdict(&lines))
}

fn compared(
    a: &str,
    b: &str,
    scenarios: &[PathBuf],
    sets: &[String],
    seeds: &[u64],
) -> Result<Verdict, Refused> {
    let side = |name: &str| -> Result<Vec<Line>, Refused> {
        if deciders::maker(name).is_err() {
            return runs::read(Path::new(name));
        }
        if scenarios.is_empty() {
            return Err(Refused::one(format!("{name} is a decider: name the days with --scenario")));
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
    let groups = compare::by_scenario(&left, &right);
    if groups.is_empty() {
        return Err(Refused::one(format!("{a} and {b} have no day in common")));
    }
    let head = ["scenario", "pairs", "A", "B", "B - A", "95 in 100 within", "verdict"];
    let mut rows = vec![head.map(String::from).to_vec()];
    let mut means = Vec::new();
    let mut row = |name: &str, pairs: &[(f64, f64)]| {
        let Some(d) = compare::paired(pairs) else { return };
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
        means.extend(pairs.iter().copied());
    }
    if groups.len() > 1 {
        row("all", &means);
    }
    say(&format!("A: {a}   B: {b}\n{}", tables::table(&rows)))?;
    Ok(Verdict::Fine)
}

fn hunt_days(hunt: &Hunt, keep: Option<&Path>, shrink_runs: usize) -> Result<Verdict, Refused> {
    let (broken, worst) = hunt::hunt(hunt, |done, broken, worst| {
        let most = worst.first().map_or(String::new(), |w| format!(", worst: {}", w.words));
        eprintln!("{done} days tried, {} ways to break a rule{most}", broken.len());
    })?;
    for found in broken.iter().chain(&worst) {
        let kinds: Vec<String> =
            found.scenario.trouble.iter().map(|t| format!("{:?}", t.what).to_lowercase()).collect();
        say(&format!("near {} seed {} ({}): {}\n", found.from, found.seed, kinds.join("+"), found.words))?;
    }
    if let Some(folder) = keep {
        std::fs::create_dir_all(folder).map_err(|e| Refused::one(format!("{}: {e}", folder.display())))?;
        for (i, found) in broken.iter().chain(worst.iter().take(3)).enumerate() {
            let (small, runs) = hunt::shrink(found, hunt.decider, shrink_runs);
            let kind = match found.shows {
                Shows::Breaks(rule) => format!("{rule:?}").to_lowercase(),
                Shows::Loses(_) => "loss".to_string(),
            };
            let path = folder.join(format!("{kind}-{i}.toml"));
            write(&path, &hunt::as_file(&small)?)?;
            say(&format!("{}: cut down in {runs} runs, {}\n", path.display(), small_words(&small)))?;
        }
    }
    Ok(if broken.is_empty() { Verdict::Fine } else { Verdict::RulesBroken })
}

fn small_words(found: &Found) -> String {
    let s = &found.scenario;
    format!(
        "{} troubles, {} couriers, {} partners, {} s",
        s.trouble.len(),
        s.couriers.low(),
        s.partners.low(),
        s.seconds.low()
    )
}

fn write(path: &Path, text: &str) -> Result<(), Refused> {
    std::fs::write(path, text).map_err(|e| Refused::one(format!("{}: {e}", path.display())))
}

fn shrink(day: &OneDay, runs: usize, out: Option<&Path>) -> Result<Verdict, Refused> {
    let (named, seed, maker) = day.load()?;
    let own = figures(&named.scenario, seed, &*maker);
    let (shows, words) = match own.broken.first() {
        Some(b) => (Shows::Breaks(b.rule), format!("{:?}: {}", b.rule, b.words)),
        None => {
            let oracle = deciders::maker(deciders::ORACLE).map_err(Refused::one)?;
            let loss = figures(&named.scenario, seed, &*oracle).g - own.g;
            if loss < 0.02 {
                let words = format!(
                    "seed {seed} breaks no rule and loses {loss:.3}: there is nothing to cut down to"
                );
                return Err(Refused::one(words));
            }
            (Shows::Loses(loss), format!("loses {loss:.3} against who sees all"))
        }
    };
    let found = Found { from: named.name.clone(), scenario: named.scenario.clone(), seed, shows, words };
    let (small, runs) = hunt::shrink(&found, &day.decider, runs);
    let text = hunt::as_file(&small)?;
    eprintln!("{}; cut down in {runs} runs to {}, seed {}", found.words, small_words(&small), small.seed);
    match out {
        Some(path) => write(path, &text)?,
        None => say(&text)?,
    }
    Ok(Verdict::Fine)
}

fn replay(day: &OneDay, mail: Option<u32>) -> Result<Verdict, Refused> {
    let (named, seed, maker) = day.load()?;
    let found = figures(&named.scenario, seed, &*maker);
    let told: Vec<u32> = match mail {
        Some(mail) if u64::from(mail) >= found.mails => {
            return Err(Refused::one(format!("--mail {mail}: the day has {} mails, from 0", found.mails)));
        }
        Some(mail) => vec![mail],
        None => found.broken.iter().take(3).map(|b| b.mail).collect(),
    };
    let text = serde_json::to_string_pretty(&found).map_err(|e| Refused::one(e.to_string()))?;
    say(&(text + "\n"))?;
    for mail in told {
        say(&format!("\nmail {mail}\n"))?;
        for line in history(&named.scenario, seed, &*maker, mail) {
            say(&format!("{line}\n"))?;
        }
    }
    Ok(if found.rules_broken > 0 { Verdict::RulesBroken } else { Verdict::Fine })
}

fn plot(day: &OneDay, out: &Path, format: Picture) -> Result<Verdict, Refused> {
    let (named, seed, maker) = day.load()?;
    let decider = &day.decider;
    std::fs::create_dir_all(out).map_err(|e| Refused::one(format!("{}: {e}", out.display())))?;
    // Some two hundred samples, whatever the day's length.
    let every = ((named.scenario.seconds.low() * 50.0) as u64).max(10);
    let ended = run(&named.scenario, seed, &*maker, Options { sample_every: every, ..Options::default() });
    let stem = format!("{}-{decider}-{seed}", named.name);
    let mut files = Vec::new();
    for (chart, name) in Chart::ALL {
        if matches!(format, Picture::Svg | Picture::All) {
            let path = out.join(format!("{stem}-{name}.svg"));
            write(&path, &charts::svg(chart, &ended)?)?;
            files.push(path);
        }
        if matches!(format, Picture::Png | Picture::All) {
            let path = out.join(format!("{stem}-{name}.png"));
            charts::png(chart, &ended, &path)?;
            files.push(path);
        }
    }
    if matches!(format, Picture::Html | Picture::All) {
        let path = out.join(format!("{stem}.html"));
        write(&path, &report::page(&named, decider, &*maker, &ended)?)?;
        files.push(path);
    }
    for path in files {
        say(&format!("{}\n", path.display()))?;
    }
    let broken = Figures::of(&ended).rules_broken;
    Ok(if broken > 0 { Verdict::RulesBroken } else { Verdict::Fine })
}

fn measure(size: &str) -> Result<Verdict, Refused> {
    let head = ["size", "mails", "mails/s", "events/s", "turns", "deciding", "peak MiB", "G", "took s"];
    let mut rows = vec![head.map(String::from).to_vec()];
    for (name, couriers, partners, rate, seconds) in speed::SIZES {
        if !name.contains(size) {
            continue;
        }
        let found = speed::measure(&speed::scenario(couriers, partners, rate, seconds), 1);
        let (f, took) = (&found.figures, found.took.as_secs_f64());
        rows.push(vec![
            format!("{name} ({} x {})", f.couriers, f.endpoints),
            f.mails.to_string(),
            format!("{:.0}", f.mails as f64 / took),
            format!("{:.0}", f.events as f64 / took),
            f.turns.to_string(),
            format!("{:.0}%", 100.0 * found.deciding.as_secs_f64() / took),
            found.peak_mib.map_or("not told".into(), |mib| mib.to_string()),
            format!("{:.3}", f.g),
            format!("{took:.1}"),
        ]);
    }
    if rows.len() == 1 {
        return Err(Refused::one(format!(
            "--size {size}: no such size; there are 3x30, 200x1000, 1000x10000, 2000x20000"
        )));
    }
    say(&tables::table(&rows))?;
    Ok(Verdict::Fine)
}

fn list(library: &Path) -> Result<Verdict, Refused> {
    let mut rows = Vec::new();
    for path in load::library(library)? {
        let named = load::load(&path, &[])?;
        rows.push(vec![named.name, format!(" {}", named.scenario.about)]);
    }
    let width = rows.iter().map(|row| row[0].len()).max().unwrap_or(0);
    let lines = rows.iter().map(|row| format!("{:<width$} {}\n", row[0], row[1]));
    say(&format!("Scenarios in {}:\n{}", library.display(), lines.collect::<String>()))?;
    let deciders = deciders::all();
    let lines = deciders.iter().map(|(name, words)| format!("{name:<width$}  {words}\n"));
    say(&format!("\nDeciders:\n{}", lines.collect::<String>()))?;
    Ok(Verdict::Fine)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_grid_has_every_combination_and_ranges_keep_their_commas() {
        let found = grid(&["a=1,2".into(), "b=[1,2],3".into()]).unwrap();
        let want = [["a=1", "b=[1,2]"], ["a=1", "b=3"], ["a=2", "b=[1,2]"], ["a=2", "b=3"]];
        assert_eq!(found, want);
        assert!(grid(&["a".into()]).is_err() && grid(&["a=1,".into()]).is_err());
    }

    #[test]
    fn the_command_line_is_sound() {
        use clap::CommandFactory;
        Command::command().debug_assert();
    }
}
