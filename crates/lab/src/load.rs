//! Loads scenarios: resolves includes, applies values set on the command line, and reports faults with file and line.

use std::fmt;
use std::path::{Path, PathBuf};

use meadowhold_emulator::check::{self, Fault};
use meadowhold_emulator::scenario::Scenario;
use serde::Deserialize;
use toml::{Table, Value};

/// Maximum depth of nested includes; it stops a file that includes itself.
const MAX_INCLUDE_DEPTH: usize = 8;

/// An error that ends a command, as one or more messages for the user, each printed on a line of its own.
#[derive(Debug)]
pub struct CommandError(pub Vec<String>);

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(&self.0.join("\n"))
    }
}

impl CommandError {
    pub fn new(message: impl Into<String>) -> CommandError {
        CommandError(vec![message.into()])
    }
}

/// A scenario with its name: the file name without folder and extension.
#[derive(Clone, Debug)]
pub struct NamedScenario {
    pub name: String,
    pub scenario: Scenario,
}

/// Loads a scenario file with its includes, applies the values of `sets` (`mails.load=0.8`,
/// `trouble.0.part=[0.1,0.3]`) and checks the result.
pub fn load(path: &Path, sets: &[String]) -> Result<NamedScenario, CommandError> {
    let merged = load_merged(path, 0)?;
    let mut scenario = Scenario::deserialize(Value::Table(merged)).map_err(|e| file_error(path, &e))?;
    if !sets.is_empty() {
        scenario = with_overrides(&scenario, sets)?;
    }
    let faults = check::faults(&scenario);
    if !faults.is_empty() {
        return Err(CommandError(faults.iter().map(|fault| fault_message(path, sets, fault)).collect()));
    }
    let name = path.file_stem().map_or("day".into(), |stem| stem.to_string_lossy().into_owned());
    Ok(NamedScenario { name, scenario })
}

fn file_error(path: &Path, message: &dyn fmt::Display) -> CommandError {
    CommandError::new(format!("{}: {}", path.display(), message.to_string().trim_end()))
}

fn load_merged(path: &Path, depth: usize) -> Result<Table, CommandError> {
    if depth > MAX_INCLUDE_DEPTH {
        let message =
            format!("includes are nested more than {MAX_INCLUDE_DEPTH} deep; remove the circular include");
        return Err(file_error(path, &message));
    }
    let text = std::fs::read_to_string(path).map_err(|e| file_error(path, &e))?;
    // Each file is first parsed on its own: errors of the merged table would have no line number.
    toml::from_str::<Scenario>(&text).map_err(|e| file_error(path, &e))?;
    let own: Table = toml::from_str(&text).map_err(|e| file_error(path, &e))?;
    let includes = own.get("include").and_then(Value::as_array).cloned().unwrap_or_default();
    let mut merged = Table::new();
    for include in includes.iter().filter_map(Value::as_str) {
        let included = path.parent().unwrap_or(Path::new(".")).join(include);
        merge_tables(&mut merged, load_merged(&included, depth + 1)?);
    }
    merge_tables(&mut merged, own);
    merged.remove("include");
    Ok(merged)
}

/// Merges tables key by key, recursively; lists and single values are replaced.
fn merge_tables(base: &mut Table, overrides: Table) {
    for (key, value) in overrides {
        match (base.get_mut(&key), value) {
            (Some(Value::Table(base)), Value::Table(overrides)) => merge_tables(base, overrides),
            (_, value) => {
                base.insert(key, value);
            }
        }
    }
}

/// Returns the scenario with the given `KEY=VALUE` pairs applied; a key is a path with dots.
pub fn with_overrides(scenario: &Scenario, sets: &[String]) -> Result<Scenario, CommandError> {
    // Serializes the whole scenario, so that keys which no file mentions can also be set.
    let mut merged = Value::try_from(scenario).map_err(|e| CommandError::new(format!("--set: {e}")))?;
    for set in sets {
        let error = |message: String| CommandError::new(format!("--set {set}: {message}"));
        let (key, text) = set.split_once('=').ok_or_else(|| error("expected KEY=VALUE".into()))?;
        let table = format!("value = {text}");
        let value = toml::from_str::<Table>(&table).ok().and_then(|mut t| t.remove("value"));
        // A value that is not valid TOML, such as a bare word, is taken as a string.
        let value = value.unwrap_or_else(|| Value::String(text.trim().to_string()));
        set_value(&mut merged, key.trim(), value).map_err(error)?;
    }
    Scenario::deserialize(merged).map_err(|e| CommandError::new(format!("--set {}: {e}", sets.join(" "))))
}

fn set_value(merged: &mut Value, path: &str, value: Value) -> Result<(), String> {
    let mut target = merged;
    let mut value = Some(value);
    let parts: Vec<&str> = path.split('.').collect();
    for (depth, part) in parts.iter().enumerate() {
        let last = depth + 1 == parts.len();
        target = match target {
            Value::Table(table) if last => {
                table.insert((*part).to_string(), value.take().unwrap_or(Value::Boolean(false)));
                return Ok(());
            }
            Value::Table(table) => {
                let known: Vec<String> = table.keys().cloned().collect();
                table
                    .get_mut(*part)
                    .ok_or_else(|| format!("unknown key {part}; known keys are {}", known.join(", ")))?
            }
            Value::Array(items) => {
                let count = items.len();
                let index = part
                    .parse::<usize>()
                    .map_err(|_| format!("{part} is not an index: expected a number from 0"))?;
                let item = items.get_mut(index).ok_or_else(|| {
                    format!("index {index} is out of range: the list has {count} entries, numbered from 0")
                })?;
                if last {
                    *item = value.take().unwrap_or(Value::Boolean(false));
                    return Ok(());
                }
                item
            }
            _ => return Err(format!("{} is a single value without keys", parts[..depth].join("."))),
        };
    }
    Ok(())
}

/// Formats a fault with the `--set` that caused it, or else with the file, and the line if the file has the key.
fn fault_message(path: &Path, sets: &[String], fault: &Fault) -> String {
    if let Some(set) = sets.iter().find(|set| set.split('=').next().map(str::trim) == Some(&fault.path)) {
        return format!("--set {set}: {}; {}", fault.found, fault.remedy);
    }
    let text = std::fs::read_to_string(path).unwrap_or_default();
    match line_of(&text, &fault.path) {
        Some(line) => format!("{}:{line}: {fault}", path.display()),
        None => format!("{}: {fault}", path.display()),
    }
}

/// Returns the line of a key, or of the longest part of its path that the file has.
fn line_of(text: &str, path: &str) -> Option<usize> {
    let document = toml_edit::Document::parse(text).ok()?;
    let mut item = document.as_item();
    let mut span = None;
    for part in path.split('.') {
        let child = match part.parse::<usize>() {
            Ok(index) => item.get(index),
            Err(_) => item.get(part),
        };
        let Some(child) = child else { break };
        span = child.span().or(span);
        item = child;
    }
    span.map(|span| text[..span.start].matches('\n').count() + 1)
}

/// Parses seeds: `7`, `1..20` (inclusive) or `3,9,11`.
pub fn parse_seeds(text: &str) -> Result<Vec<u64>, String> {
    let number = |part: &str| {
        part.trim().parse::<u64>().map_err(|_| format!("{part:?} is not a seed: expected a whole number"))
    };
    if let Some((from, to)) = text.split_once("..") {
        let (from, to) = (number(from)?, number(to.trim_start_matches('='))?);
        if from > to || to - from >= 1_000_000 {
            return Err(format!("{text} is an empty range, or one of more than a million seeds"));
        }
        return Ok((from..=to).collect());
    }
    text.split(',').map(number).collect()
}

/// Returns the scenario files (`.toml`) of a folder, without subfolders, sorted by name.
pub fn scenario_files(folder: &Path) -> Result<Vec<PathBuf>, CommandError> {
    let entries = std::fs::read_dir(folder).map_err(|e| file_error(folder, &e))?;
    let mut files: Vec<PathBuf> = entries
        .filter_map(|entry| entry.ok().map(|entry| entry.path()))
        .filter(|path| path.extension().is_some_and(|extension| extension == "toml"))
        .collect();
    files.sort();
    if files.is_empty() {
        return Err(file_error(folder, &"the folder has no scenario file (*.toml)"));
    }
    Ok(files)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn folder(files: &[(&str, &str)]) -> tempfile::TempDir {
        let folder = tempfile::tempdir().unwrap();
        for (name, text) in files {
            std::fs::write(folder.path().join(name), text).unwrap();
        }
        folder
    }

    #[test]
    fn invalid_scenarios_are_reported_with_file_and_line() {
        let cases = [
            ("seconds = 10\npartnerz = 3\n", "2"),
            ("seconds = 10\n[mails]\nload = 0.5\nfull_rate = -3\n", ":4: mails.full_rate"),
            ("[[trouble]]\nwhat = \"crash\"\nat_s = 1\nfor_s = 2\nhall = \"south\"\n", ":5: trouble.0.hall"),
            ("couriers = 0\n", ":1: couriers"),
            ("seconds = \"long\"\n", "expected a number, or a range"),
            ("include = [\"none.toml\"]\n", "none.toml"),
            ("include = [\"a.toml\"]\n", "circular include"),
        ];
        for (text, expected) in cases {
            let folder = folder(&[("a.toml", text)]);
            let message = load(&folder.path().join("a.toml"), &[]).unwrap_err().to_string();
            assert!(message.contains(expected) && message.contains(".toml"), "{text}: {message}");
        }
    }

    #[test]
    fn files_override_their_includes_and_sets_override_both() {
        let folder = folder(&[
            ("base.toml", "seconds = 9\n[mails]\nload = 0.3\nswing = 0.1\n"),
            ("a.toml", "include = [\"base.toml\"]\n[mails]\nload = 0.5\n"),
        ]);
        let path = folder.path().join("a.toml");
        let plain = load(&path, &[]).unwrap().scenario;
        assert_eq!((plain.seconds.low(), plain.mails.load.low(), plain.mails.swing.low()), (9.0, 0.5, 0.1));
        let set = load(&path, &["mails.load=[0.6, 0.7]".into(), "class.0.importance=9".into()]).unwrap();
        assert_eq!((set.scenario.mails.load.high(), set.scenario.class[0].importance), (0.7, 9.0));
        for wrong in ["mails.lode=1", "mails", "class.7.importance=1", "seconds=-1", "seconds.x=1"] {
            assert!(load(&path, &[wrong.into()]).unwrap_err().to_string().contains("--set"), "{wrong}");
        }
    }

    #[test]
    fn seeds_parse_as_single_list_or_range() {
        assert_eq!(parse_seeds("7").unwrap(), [7]);
        assert_eq!(parse_seeds("1..3").unwrap(), [1, 2, 3]);
        assert_eq!(parse_seeds("4, 2").unwrap(), [4, 2]);
        assert!(parse_seeds("3..1").is_err() && parse_seeds("x").is_err());
    }
}
