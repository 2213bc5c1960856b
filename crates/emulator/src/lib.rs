//! Simulates the environment of couriers: destinations and their endpoints, the list, clients, troubles, and
//! a judge of the six rules. It drives the same `Control` that the courier runs; see `docs/emulator.md`. A
//! seed determines the day and its run exactly, on any number of threads.
#![forbid(unsafe_code)]

pub mod baselines;
mod calls;
pub mod chance;
pub mod check;
mod clients;
pub mod day;
pub mod decider;
pub mod event_queue;
pub mod figures;
pub mod judge;
mod listing;
pub mod oracle;
pub mod parts;
pub mod scenario;
pub mod series;
mod serving;
pub mod slots;
mod trace;
mod troubles;
mod turns;
pub mod world;

use std::rc::Rc;

use crate::day::Day;
use crate::decider::DeciderFactory;
use crate::figures::Figures;
use crate::scenario::Scenario;
use crate::world::{Options, RunResult, World};

/// Runs one day of a scenario that `check::faults` has accepted.
pub fn run(scenario: &Scenario, seed: u64, factory: &DeciderFactory, options: Options) -> RunResult {
    World::new(Rc::new(Day::draw(scenario, seed)), factory, options).run()
}

/// Runs one day and returns its figures.
pub fn figures(scenario: &Scenario, seed: u64, factory: &DeciderFactory) -> Figures {
    Figures::of(&run(scenario, seed, factory, Options::default()))
}

/// The history of a mail, one line for each event, obtained by running the same day again.
pub fn history(scenario: &Scenario, seed: u64, factory: &DeciderFactory, mail: u32) -> Vec<String> {
    let ended = run(scenario, seed, factory, Options { watch: Some(mail), ..Options::default() });
    ended.history.iter().map(|(at, words)| format!("{:>10.1} ms  {words}", *at as f64 / 10.0)).collect()
}
