//! `meadowhold-lab`: runs, sweeps, compares, searches and plots simulated days of the emulator. It opens no network
//! connection.
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
