//! Searches for the worst days: those that break a rule, or that lose most against the oracle. A found day can be
//! shrunk to the fewest troubles, smallest fleet and shortest time that still show the same symptom.

use std::time::{Duration, Instant};

use meadowhold_emulator::chance::{Purpose, Stream};
use meadowhold_emulator::check;
use meadowhold_emulator::figures;
use meadowhold_emulator::figures::Figures;
use meadowhold_emulator::judge::Rule;
use meadowhold_emulator::scenario::{By, Figure, Scenario, Trouble, What};
use rayon::prelude::*;

use crate::deciders;
use crate::load::{CommandError, NamedScenario};

/// Candidates evaluated in parallel before the worst days are updated. Independent of the number of threads, so that
/// the same seed gives the same candidates on any machine.
const BATCH: usize = 48;
/// Number of days kept of those that lose most.
const MAX_WORST: usize = 12;
/// Share of the original loss that a reduced day must still show.
const MIN_LOSS_SHARE: f64 = 0.75;

/// Why a found day counts as bad.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Symptom {
    Breaks(Rule),
    /// G of the oracle minus G of the decider.
    Loses(f64),
}

#[derive(Clone, Debug)]
pub struct Finding {
    pub origin: String,
    pub scenario: Scenario,
    pub seed: u64,
    pub symptom: Symptom,
    pub summary: String,
}

pub struct Hunt<'a> {
    pub library: &'a [NamedScenario],
    pub decider: &'a str,
    pub seed: u64,
    pub runs: usize,
    pub seconds: u64,
    pub rules_only: bool,
}

/// Lowest and highest size of a random trouble, by its kind.
const TROUBLE_SIZES: [(What, f64, f64); 27] = [
    (What::Crash, 1.0, 1.0),
    (What::Hang, 1.0, 1.0),
    (What::Slow, 3.0, 25.0),
    (What::Pauses, 100.0, 700.0),
    (What::Errors, 0.2, 1.0),
    (What::ClassErrors, 0.3, 1.0),
    (What::Shut, 1.0, 1.0),
    (What::Throttle, 0.05, 0.6),
    (What::Resets, 0.1, 0.9),
    (What::HalfOpen, 1.0, 1.0),
    (What::LostAnswers, 0.1, 0.9),
    (What::IdleClose, 0.05, 3.0),
    (What::Replace, 1.0, 1.0),
    (What::Drain, 1.0, 1.0),
    (What::Flap, 0.5, 4.0),
    (What::Kill, 1.0, 1.0),
    (What::Roll, 0.2, 3.0),
    (What::HotCaller, 0.2, 0.9),
    (What::HallShift, 0.4, 0.9),
    (What::Burst, 1.5, 4.0),
    (What::ListLag, 1.0, 12.0),
    (What::ListStall, 1.0, 1.0),
    (What::ListLies, 1.0, 1.0),
    (What::ListEmpty, 1.0, 1.0),
    (What::LinkCut, 1.0, 1.0),
    (What::LinkOneWay, 1.0, 1.0),
    (What::ClockStep, 100.0, 5_000.0),
];

fn random_trouble(random: &mut Stream, seconds: f64) -> Trouble {
    let (what, low, high) = TROUBLE_SIZES[random.below(TROUBLE_SIZES.len())];
    let at = random.between(0.0, seconds * 0.8);
    let duration = random.between(0.3, (seconds * 0.5).max(0.5));
    let part = random.between(0.05, 0.6);
    let size = random.between(low, high);
    let round = |value: f64| Figure::One((value * 100.0).round() / 100.0);
    let mut trouble = Trouble::new(what, round(at), round(duration), round(part), round(size.max(0.01)));
    trouble.by = [By::Any, By::Hall, By::Kind][random.below(3)];
    trouble.whole = Figure::One(if random.chance(0.7) { 1.0 } else { 0.3 });
    trouble
}

/// Derives a candidate by random changes to a scenario of the library or to one of the worst days found so far.
fn candidate(hunt: &Hunt, worst: &[Finding], number: u64) -> Finding {
    let random = &mut Stream::new(hunt.seed, Purpose::Trouble, number);
    let seed = random.number() >> 32;
    let (origin, mut scenario) = if !worst.is_empty() && random.chance(0.4) {
        let parent = &worst[random.below(worst.len())];
        (parent.origin.clone(), parent.scenario.clone())
    } else {
        let named = &hunt.library[random.below(hunt.library.len())];
        (named.name.clone(), named.scenario.clone())
    };
    let seconds = scenario.seconds.low();
    for _ in 0..random.below(3) {
        scenario.trouble.push(random_trouble(random, seconds));
    }
    if scenario.trouble.len() > 3 {
        let removed = random.below(scenario.trouble.len());
        scenario.trouble.remove(removed);
    }
    if random.chance(0.4) {
        scenario.mails.load = Figure::One((random.between(0.4, 1.25) * 100.0).round() / 100.0);
    }
    if random.chance(0.2) {
        scenario.courier.journal = !scenario.courier.journal;
    }
    scenario.trouble.iter_mut().enumerate().for_each(|(i, t)| t.mark = t.mark.or(Some(i as u64)));
    Finding { origin, scenario, seed, symptom: Symptom::Loses(0.0), summary: String::new() }
}

fn evaluate(found: Finding, decider: &str, rules_only: bool) -> Result<Option<Finding>, CommandError> {
    if !check::faults(&found.scenario).is_empty() {
        return Ok(None);
    }
    let maker = deciders::maker(decider).map_err(CommandError::new)?;
    let own_figures = figures(&found.scenario, found.seed, &*maker);
    if let Some(broken) = own_figures.broken.first() {
        let summary = format!("{:?} at {:.1} s: {}", broken.rule, broken.at as f64 / 10_000.0, broken.words);
        return Ok(Some(Finding { symptom: Symptom::Breaks(broken.rule), summary, ..found }));
    }
    if rules_only {
        return Ok(None);
    }
    let loss = loss_against_oracle(&found.scenario, found.seed, &own_figures)?;
    let summary = format!("G {:.3}, {loss:.3} under who sees all", own_figures.g);
    Ok(Some(Finding { symptom: Symptom::Loses(loss), summary, ..found }))
}

fn loss_against_oracle(scenario: &Scenario, seed: u64, own_figures: &Figures) -> Result<f64, CommandError> {
    let oracle = deciders::maker(deciders::ORACLE).map_err(CommandError::new)?;
    Ok(figures(scenario, seed, &*oracle).g - own_figures.g)
}

/// Returns the days that break a rule, and those that lose most. The same seed and number of runs give the same days
/// for any number of threads; the time limit is checked between batches only.
pub fn hunt(
    hunt: &Hunt,
    mut on_progress: impl FnMut(usize, &[Finding], &[Finding]),
) -> Result<(Vec<Finding>, Vec<Finding>), CommandError> {
    let deadline = Instant::now() + Duration::from_secs(hunt.seconds);
    let (mut broken, mut worst): (Vec<Finding>, Vec<Finding>) = (Vec::new(), Vec::new());
    let mut done = 0;
    while done < hunt.runs && Instant::now() < deadline {
        let count = BATCH.min(hunt.runs - done);
        let evaluated: Result<Vec<Option<Finding>>, CommandError> = (0..count)
            .into_par_iter()
            .map(|i| evaluate(candidate(hunt, &worst, (done + i) as u64), hunt.decider, hunt.rules_only))
            .collect();
        for found in evaluated?.into_iter().flatten() {
            match found.symptom {
                Symptom::Breaks(_) => {
                    // Keeps one day for each combination of broken rule and kinds of trouble.
                    let same =
                        |f: &Finding| f.symptom == found.symptom && trouble_kinds(f) == trouble_kinds(&found);
                    if !broken.iter().any(same) {
                        broken.push(found);
                    }
                }
                Symptom::Loses(_) => {
                    worst.push(found);
                    worst.sort_by(|a, b| loss_of(b).total_cmp(&loss_of(a)));
                    worst.truncate(MAX_WORST);
                }
            }
        }
        done += count;
        on_progress(done, &broken, &worst);
    }
    Ok((broken, worst))
}

fn trouble_kinds(found: &Finding) -> Vec<String> {
    let mut kinds: Vec<String> = found.scenario.trouble.iter().map(|t| format!("{:?}", t.what)).collect();
    kinds.sort();
    kinds
}

fn loss_of(found: &Finding) -> f64 {
    match found.symptom {
        Symptom::Loses(loss) => loss,
        Symptom::Breaks(_) => 0.0,
    }
}

/// Returns the first seed, of the given one and 1 to 7, with which the scenario still shows the symptom.
fn reproducing_seed(
    scenario: &Scenario,
    seed: u64,
    symptom: Symptom,
    decider: &str,
    runs: &mut usize,
) -> Option<u64> {
    if !check::faults(scenario).is_empty() {
        return None;
    }
    let seeds: Vec<u64> = std::iter::once(seed).chain(1..=7).collect();
    *runs += seeds.len();
    let reproduces = |&&seed: &&u64| {
        let Ok(maker) = deciders::maker(decider) else { return false };
        let own_figures = figures(scenario, seed, &*maker);
        match symptom {
            Symptom::Breaks(rule) => own_figures.broken.iter().any(|b| b.rule == rule),
            Symptom::Loses(full_loss) => loss_against_oracle(scenario, seed, &own_figures)
                .is_ok_and(|l| l >= MIN_LOSS_SHARE * full_loss),
        }
    };
    seeds.par_iter().find_first(reproduces).copied()
}

/// Returns smaller variants of a scenario, the largest reductions first.
fn reductions(s: &Scenario) -> Vec<Scenario> {
    let mut reduced = Vec::new();
    let mut cut = |change: &dyn Fn(&mut Scenario)| {
        let mut smaller = s.clone();
        change(&mut smaller);
        if smaller != *s {
            reduced.push(smaller);
        }
    };
    for i in 0..s.trouble.len() {
        cut(&|s| drop(s.trouble.remove(i)));
    }
    let scaled = |figure: Figure, by: f64, least: f64| Figure::One((figure.low() * by).floor().max(least));
    for by in [0.25, 0.5, 0.8] {
        cut(&|s| s.couriers = scaled(s.couriers, by, 1.0));
        cut(&|s| s.partners = scaled(s.partners, by, 1.0));
        cut(&|s| s.seconds = scaled(s.seconds, by, 2.0));
        cut(&|s| s.mails.full_rate = Figure::One((s.mails.full_rate.low() * by).max(1.0)));
    }
    for i in 0..s.class.len().min(if s.class.len() > 1 { usize::MAX } else { 0 }) {
        cut(&|s| drop(s.class.remove(i)));
    }
    for i in 0..s.kind.len().min(if s.kind.len() > 1 { usize::MAX } else { 0 }) {
        cut(&|s| drop(s.kind.remove(i)));
    }
    cut(&|s| s.mails.clumps = Figure::One(0.0));
    cut(&|s| s.mails.retries = Figure::One(0.0));
    cut(&|s| s.mails.hang_up = Figure::One(0.0));
    cut(&|s| s.mails.short_lived = Figure::One(0.0));
    cut(&|s| s.mails.shape = Default::default());
    cut(&|s| s.halls.jitter = Figure::One(0.0));
    cut(&|s| s.halls.names.truncate(1));
    for i in 0..s.trouble.len() {
        cut(&|s| s.trouble[i].for_s = Figure::One((s.trouble[i].for_s.low() * 50.0).round() / 100.0));
        cut(&|s| s.trouble[i].by = By::Any);
    }
    reduced
}

/// Reduces a found day step by step while it shows the same symptom. Returns it with the number of runs used; no
/// further reduction is tried once `max_runs` is reached.
pub fn shrink(found: &Finding, decider: &str, max_runs: usize) -> (Finding, usize) {
    let (mut best, mut runs) = (found.clone(), 0);
    best.scenario.trouble.iter_mut().enumerate().for_each(|(i, t)| t.mark = t.mark.or(Some(i as u64)));
    'reduce: while runs < max_runs {
        for smaller in reductions(&best.scenario) {
            if runs >= max_runs {
                break 'reduce;
            }
            if let Some(seed) = reproducing_seed(&smaller, best.seed, found.symptom, decider, &mut runs) {
                (best.scenario, best.seed) = (smaller, seed);
                continue 'reduce;
            }
        }
        break;
    }
    (best, runs)
}

/// Formats a found day as a scenario file, with its seed.
pub fn to_toml(found: &Finding) -> Result<String, CommandError> {
    let mut scenario = found.scenario.clone();
    scenario.about = found.summary.clone();
    scenario.seed = Some(found.seed);
    let text = toml::to_string(&scenario)
        .map_err(|e| CommandError::new(format!("cannot write a found scenario as TOML: {e}")))?;
    Ok(format!("# Found near {}.\n{text}", found.origin))
}
