//! `meadowhold-capacity [FOLDER]`: regenerates the tables of `docs/CAPACITY.md` from
//! `docs/capacity/capacity.toml`, both under FOLDER (default: the working directory). If the input has
//! faults, all of them are reported and nothing is written.
#![forbid(unsafe_code)]

use std::path::PathBuf;
use std::process::ExitCode;
use std::{env, fs};

use meadowhold_capacity::file::Figures;
use meadowhold_capacity::page;

fn main() -> ExitCode {
    match run() {
        Ok(message) => {
            println!("{message}");
            ExitCode::SUCCESS
        }
        Err(message) => {
            eprintln!("meadowhold-capacity: {message}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<String, String> {
    let mut arguments = env::args_os().skip(1);
    let folder = arguments.next().map_or_else(|| PathBuf::from("."), PathBuf::from);
    if arguments.next().is_some() {
        return Err("too many arguments; expected at most one folder".to_string());
    }
    let read = |name: &str| fs::read_to_string(folder.join(name)).map_err(|error| format!("{name}: {error}"));
    let read_source = |name: &str| read(&format!("docs/capacity/{name}"));
    let figures = Figures::read(&read_source("capacity.toml")?, &read_source).map_err(|faults| {
        let lines: Vec<String> = faults.iter().map(|fault| format!("  {fault}")).collect();
        format!("docs/capacity/capacity.toml is invalid:\n{}", lines.join("\n"))
    })?;
    const PAGE: &str = "docs/CAPACITY.md";
    let old = read(PAGE)?;
    let new = page::render(&old, &figures).map_err(|message| format!("{PAGE}: {message}"))?;
    if new == old {
        return Ok(format!("{PAGE} is as the figures have it"));
    }
    fs::write(folder.join(PAGE), new).map_err(|error| format!("{PAGE}: {error}"))?;
    Ok(format!("{PAGE} is written anew"))
}
