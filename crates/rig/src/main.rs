//! The command `meadowhold-rig`.
#![forbid(unsafe_code)]

use std::process::ExitCode;

fn main() -> ExitCode {
    match meadowhold_rig::command::main(pico_args::Arguments::from_env()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(words) => {
            eprintln!("meadowhold-rig: {words}");
            ExitCode::FAILURE
        }
    }
}
