//! The command line.

use std::ffi::OsString;
use std::future::Future;
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};

use tokio::signal::unix::{signal, SignalKind};

use crate::day::Day;
use crate::judge::Verdict;
use crate::run::{run_with, Options};
use crate::scale;
use crate::soak;

const HELP: &str = "\
meadowhold-rig, real couriers among stand-ins, with a fault for every link and process

    meadowhold-rig day FILE [--seed N] [--couriers N] [--logs DIR]
                                                        run a day, and print the judge's table; if it breaks a rule, the
                                                        logs are kept in the folder
    meadowhold-rig first                                a first try: delivered, refused, taken up after a kill
    meadowhold-rig soak [--seeds A..B] [--parallel N] [--logs DIR]
                                                        days drawn by each seed round a restart, a line for each;
                                                        logs of those that break a rule are kept in the folder
    meadowhold-rig scale [FILE] [--seed N] [--couriers N] [--points N,N,...] [--out FILE]
                         [--folder DIR]
                                                        a whole fleet, most of it hollow: 1,300 couriers if no file
                                                        is named; the points are sizes of a series without troubles

A scale run ends with a table, and the same as JSON in scale.json or the file that is named. Couriers' folders are made
in /dev/shm where there is one, or in the folder that is named.

The courier's program, meadowhold, is looked for beside this one, and logs as RUST_LOG says. A broken rule ends in failure.";

/// Soak runs in parallel; each takes about one core.
const SOAK_PARALLEL: usize = 3;

const FIRST: &str = include_str!("../days/first.toml");
const SCALE: &str = include_str!("../days/scale.toml");

/// Runs the command and prints its result.
///
/// # Errors
/// One message that says what is wrong with the arguments or the day's file, or that a rule was broken.
pub fn main(mut arguments: pico_args::Arguments) -> Result<(), String> {
    if arguments.contains(["-h", "--help"]) {
        println!("{HELP}");
        return Ok(());
    }
    let command = arguments.subcommand().map_err(|e| e.to_string())?;
    match command.as_deref() {
        Some("day") => {
            let seed: Option<u64> =
                arguments.opt_value_from_str("--seed").map_err(|e| format!("--seed: {e}"))?;
            let couriers =
                arguments.opt_value_from_str("--couriers").map_err(|e| format!("--couriers: {e}"))?;
            let logs = arguments.opt_value_from_str("--logs").map_err(|e| format!("--logs: {e}"))?;
            let file = arguments
                .free_from_str::<PathBuf>()
                .map_err(|_| "missing argument: the day's file".to_string())?;
            reject_extra_arguments(arguments.finish())?;
            let mut day = read(&file)?;
            day.couriers = couriers.unwrap_or(day.couriers);
            let faults = day.faults();
            if !faults.is_empty() {
                return Err(fault_list(
                    &format!("{} with --couriers {}", file.display(), day.couriers),
                    &faults,
                ));
            }
            let seed = seed.unwrap_or(1);
            println!("{}; seed {seed}, {} couriers", day.about, day.couriers);
            finish(&play(&day, seed, logs)?, seed)
        }
        Some("first") => {
            reject_extra_arguments(arguments.finish())?;
            let day = Day::read(FIRST).map_err(|faults| fault_list("first.toml", &faults))?;
            println!("{}", day.about);
            let verdict = play(&day, 1, None)?;
            let g = &verdict.figures;
            println!(
                "{} mails delivered, {} refused, {} taken up again after the kill",
                g.relayed,
                g.bounced + g.dead,
                g.taken_up
            );
            finish(&verdict, 1)
        }
        Some("soak") => soak(arguments),
        Some("scale") => scale(arguments),
        // Internal subcommands that a scale run starts itself.
        Some("hollow") => {
            let file = arguments
                .free_from_str::<PathBuf>()
                .map_err(|_| "missing argument: the couriers' file".to_string())?;
            reject_extra_arguments(arguments.finish())?;
            crate::scale::hollow::main(&file)
        }
        Some("guard") => {
            let folder = arguments
                .free_from_str::<PathBuf>()
                .map_err(|_| "missing argument: the run's folder".to_string())?;
            reject_extra_arguments(arguments.finish())?;
            crate::scale::guard::main(&folder)
        }
        Some(other) => Err(format!("no command {other}; see meadowhold-rig --help")),
        None => {
            println!("{HELP}");
            Ok(())
        }
    }
}

/// Parses a range of seeds, `A..B` with both ends included, or a single seed.
fn seeds(text: &str) -> Result<RangeInclusive<u64>, String> {
    let number = |text: &str| text.parse::<u64>().map_err(|e| format!("{text}: {e}"));
    match text.split_once("..") {
        None => number(text).map(|seed| seed..=seed),
        Some((first, last)) => Ok(number(first)?..=number(last)?),
    }
}

fn soak(mut arguments: pico_args::Arguments) -> Result<(), String> {
    let seeds = arguments.opt_value_from_fn("--seeds", seeds).map_err(|e| format!("--seeds: {e}"))?;
    let parallel: Option<usize> =
        arguments.opt_value_from_str("--parallel").map_err(|e| format!("--parallel: {e}"))?;
    let logs: Option<PathBuf> = arguments.opt_value_from_str("--logs").map_err(|e| format!("--logs: {e}"))?;
    reject_extra_arguments(arguments.finish())?;
    let soak = soak::Soak {
        seeds: seeds.unwrap_or(1..=50),
        without: Vec::new(),
        parallel: parallel.unwrap_or(SOAK_PARALLEL),
        logs: logs.unwrap_or_else(|| std::env::temp_dir().join("meadowhold-soak")),
    };
    let binary = courier_binary()?;
    let results = run_until_signalled(async {
        Ok(soak::soak(&soak, &binary, |result| println!("{}", result.line())).await)
    })?;
    println!("{}", soak::summary(&results));
    if results.iter().all(soak::SeedResult::kept) {
        return Ok(());
    }
    Err(format!("a seed broke a rule; logs are in {}", soak.logs.display()))
}

fn scale(mut arguments: pico_args::Arguments) -> Result<(), String> {
    let mut number = |name: &'static str| {
        arguments.opt_value_from_str::<_, usize>(name).map_err(|e| format!("{name}: {e}"))
    };
    let (seed, couriers) = (number("--seed")?.unwrap_or(1) as u64, number("--couriers")?);
    let out = arguments.opt_value_from_str::<_, PathBuf>("--out").map_err(|e| format!("--out: {e}"))?;
    let out = out.unwrap_or_else(|| PathBuf::from("scale.json"));
    let folder =
        arguments.opt_value_from_str::<_, PathBuf>("--folder").map_err(|e| format!("--folder: {e}"))?;
    let folder = folder.unwrap_or_else(scale::gauge::folder);
    let list =
        |text: &str| text.split(',').map(|one| one.trim().parse::<usize>()).collect::<Result<Vec<_>, _>>();
    let points = arguments.opt_value_from_fn("--points", list).map_err(|e| format!("--points: {e}"))?;
    let file = arguments.opt_free_from_str::<PathBuf>().map_err(|e| e.to_string())?;
    reject_extra_arguments(arguments.finish())?;
    let (name, text) = match file {
        None => ("scale.toml".to_string(), SCALE.to_string()),
        Some(file) => {
            let text = std::fs::read_to_string(&file);
            let name = file.display().to_string();
            (name.clone(), text.map_err(|e| format!("{name} cannot be read: {e}"))?)
        }
    };
    let day = scale::day::Day::read(&text).map_err(|faults| fault_list(&name, &faults))?;
    let days: Vec<scale::day::Day> = match (&points, couriers) {
        (Some(_), Some(_)) => return Err("give --couriers or --points".to_string()),
        (Some(points), None) => {
            points.iter().map(|&size| scale::day::Day { trouble: Vec::new(), ..day.at(size) }).collect()
        }
        (None, Some(couriers)) => vec![day.at(couriers)],
        (None, None) => vec![day.clone()],
    };
    // Check all sizes before the first run is started.
    let machine = scale::gauge::machine(&folder);
    for day in &days {
        let faults = [day.faults(), day.missing_resources(&machine)].concat();
        if !faults.is_empty() {
            return Err(fault_list(&format!("{name} with {} couriers", day.couriers), &faults));
        }
    }
    let rig = std::env::current_exe().map_err(|e| e.to_string())?;
    let programs = scale::run::Programs { courier: courier_binary()?, rig, folder };
    let mut reports = Vec::new();
    for day in &days {
        println!("{}; seed {seed}, {} couriers", day.about, day.couriers);
        let report = run_until_signalled(scale::run::run(day, seed, &programs, true))?;
        print!("{report}");
        reports.push(report);
    }
    let (kept, json) = match (points, reports) {
        (None, reports) => (reports.iter().all(|r| r.kept()), serde_json::to_vec_pretty(&reports)),
        (Some(_), reports) => {
            let series = scale::series::Series::new(reports);
            print!("{series}");
            (series.kept(), serde_json::to_vec_pretty(&series))
        }
    };
    let written = json.map_err(|e| e.to_string()).and_then(|json| {
        std::fs::write(&out, json).map_err(|e| format!("{} cannot be written: {e}", out.display()))
    });
    written?;
    println!("written: {}", out.display());
    if kept {
        return Ok(());
    }
    Err(format!("a rule was broken, with seed {seed}"))
}

fn reject_extra_arguments(rest: Vec<OsString>) -> Result<(), String> {
    match rest.first() {
        Some(first) => {
            Err(format!("unexpected argument {}; see meadowhold-rig --help", first.to_string_lossy()))
        }
        None => Ok(()),
    }
}

fn fault_list(file: &str, faults: &[crate::day::Fault]) -> String {
    let lines: Vec<String> = faults.iter().map(|fault| format!("\n  {fault}")).collect();
    format!("{file} cannot be run:{}", lines.concat())
}

/// Reads a day's file.
///
/// # Errors
/// Lists all faults of the file, one per line.
pub fn read(file: &Path) -> Result<Day, String> {
    let text =
        std::fs::read_to_string(file).map_err(|e| format!("{} cannot be read: {e}", file.display()))?;
    Day::read(&text).map_err(|faults| fault_list(&file.display().to_string(), &faults))
}

/// Path of the courier's binary, which is expected in the same folder as this one.
fn courier_binary() -> Result<PathBuf, String> {
    let own = std::env::current_exe().map_err(|e| e.to_string())?;
    let binary = own.with_file_name("meadowhold");
    if binary.is_file() {
        return Ok(binary);
    }
    Err(format!("{} is not there; build it: cargo build --release", binary.display()))
}

fn play(day: &Day, seed: u64, logs: Option<PathBuf>) -> Result<Verdict, String> {
    let binary = courier_binary()?;
    let options = Options { logs, ..Options::default() };
    run_until_signalled(run_with(day, seed, &binary, &options))
}

/// Runs a future until it completes or SIGINT, SIGTERM or SIGHUP arrives. Handling the signals ensures that no courier
/// outlives the run: dropping the future kills its child processes.
fn run_until_signalled<T>(what: impl Future<Output = Result<T, String>>) -> Result<T, String> {
    let runtime =
        tokio::runtime::Builder::new_multi_thread().enable_all().build().map_err(|e| e.to_string())?;
    runtime.block_on(async {
        let handler = |kind| signal(kind).map_err(|e| format!("signal handler cannot be installed: {e}"));
        let (mut interrupt, mut terminate) =
            (handler(SignalKind::interrupt())?, handler(SignalKind::terminate())?);
        let mut hangup = handler(SignalKind::hangup())?;
        tokio::select! {
            result = what => result,
            _ = hangup.recv() => Err("interrupted by a signal".to_string()),
            _ = interrupt.recv() => Err("interrupted by a signal".to_string()),
            _ = terminate.recv() => Err("interrupted by a signal".to_string()),
        }
    })
}

fn finish(verdict: &Verdict, seed: u64) -> Result<(), String> {
    print!("{verdict}");
    if verdict.kept() {
        return Ok(());
    }
    Err(format!("{} times a rule was broken, with seed {seed}", verdict.broken.len()))
}
