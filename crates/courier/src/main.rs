//! The `meadowhold` command.
#![forbid(unsafe_code)]

use std::process::ExitCode;

fn main() -> ExitCode {
    match meadowhold_courier::command::run(std::env::args_os()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("meadowhold: {message}");
            ExitCode::FAILURE
        }
    }
}
