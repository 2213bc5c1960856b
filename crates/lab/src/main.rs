//! `meadowhold-lab`: runs, sweeps, compares, hunts and plots days of the emulator. Everything here is simulated.
#![forbid(unsafe_code)]

mod charts;
mod command;
mod compare;
mod deciders;
mod hunt;
mod load;
mod report;
mod runs;
mod speed;
mod tables;

use std::process::ExitCode;

use clap::Parser;

fn main() -> ExitCode {
    let command = command::Command::parse();
    match command.run() {
        Ok(command::Verdict::Passed) => ExitCode::SUCCESS,
        Ok(command::Verdict::RulesBroken) => ExitCode::from(1),
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}
