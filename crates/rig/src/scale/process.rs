//! A process of real or hollow couriers: starts and signals it, and reads its standard error line by line with
//! timestamps of the run's own clock.

use std::io;
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};
use std::sync::{Arc, Mutex};

use rustix::process::{kill_process, Pid, Signal};
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, ChildStderr, Command};
use tokio::task::JoinHandle;

use super::day::Place;
use super::guard::Guard;
use super::tracker::VersionTracker;
use crate::process::faults_in;
use crate::record::{lock, Record};

/// Maximum number of log lines kept per process; lines that report a version in force are not kept.
const MAX_LOG_LINES: usize = 20_000;

/// The version that a line reports in force, and the courier if the line names one.
pub fn parse_in_force(line: &str) -> Option<(u64, Option<&str>)> {
    let (_, rest) = line.split_once("in_force] list ")?;
    let (version, rest) = rest.split_once(" is in force")?;
    Some((version.parse().ok()?, rest.strip_prefix(" at ")))
}

/// The name of a hollow courier; `hollow_number` is the inverse.
pub fn hollow_name(courier: usize) -> String {
    format!("h{courier}")
}

fn hollow_number(name: &str) -> Option<usize> {
    name.strip_prefix('h')?.parse().ok()
}

pub struct Process {
    pub place: Place,
    command: Box<dyn Fn() -> Command + Send + Sync>,
    child: Option<Child>,
    reader: Option<JoinHandle<()>>,
    log: Arc<Mutex<Vec<String>>>,
    tracker: Arc<Mutex<VersionTracker>>,
    record: Arc<Record>,
    guard: Arc<tokio::sync::Mutex<Guard>>,
}

/// The command of a real courier, with its state folder.
pub fn courier_command(program: &Path, subcommand: &str, config: &Path, state: &Path) -> Command {
    let mut command = Command::new(program);
    command
        .arg(subcommand)
        .env_clear()
        .env("RUST_LOG", "info,in_force=trace,meadowhold_courier::discovery=debug");
    command.env("ROUTER_CONFIG", config).env("ROUTER_STATE", state);
    command
}

/// The command of a relay; its configuration file names its state folder.
pub fn relay_command(program: &Path, config: &Path) -> Command {
    let mut command = Command::new(program);
    command.arg("relay").arg(config).env_clear().env("RUST_LOG", "info");
    command
}

impl Process {
    pub fn new(
        place: Place,
        command: impl Fn() -> Command + Send + Sync + 'static,
        tracker: Arc<Mutex<VersionTracker>>,
        record: Arc<Record>,
        guard: Arc<tokio::sync::Mutex<Guard>>,
    ) -> Process {
        let command = Box::new(command);
        Process { place, command, child: None, reader: None, log: Arc::default(), tracker, record, guard }
    }

    /// The process id while it runs.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().and_then(Child::id)
    }

    /// # Errors
    /// If the program cannot be started, or the guard cannot be told of it and would not end it if the run were killed.
    pub async fn start(&mut self) -> io::Result<()> {
        let mut command = (self.command)();
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
        // A process group of its own: a signal from the terminal reaches only the run, which ends its processes in
        // order.
        let mut child = command.kill_on_drop(true).process_group(0).spawn()?;
        let id = child.id().ok_or(io::ErrorKind::NotFound)?;
        let stderr = child.stderr.take().ok_or(io::ErrorKind::BrokenPipe)?;
        self.child = Some(child);
        self.guard.lock().await.started(id).await?;
        let (tracker, record, log) = (self.tracker.clone(), self.record.clone(), self.log.clone());
        self.reader = Some(tokio::spawn(read(stderr, self.place.clone(), tracker, record, log)));
        Ok(())
    }

    /// Signals only a child that has not been waited for, whose id cannot have been reused.
    pub fn signal(&self, signal: Signal) {
        if let Some(id) = self.id().and_then(|id| Pid::from_raw(id as i32)) {
            let _ = kill_process(id, signal);
        }
    }

    /// Waits until the process has ended and its output has been read.
    pub async fn ended(&mut self) -> Option<ExitStatus> {
        let id = self.id();
        let status = self.child.as_mut()?.wait().await.ok();
        self.child = None;
        if let Some(id) = id {
            self.guard.lock().await.ended(id).await;
        }
        if let Some(reader) = self.reader.take() {
            let _ = reader.await;
        }
        status
    }

    /// Whether a process that should be running has ended unexpectedly.
    pub fn has_crashed(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| !matches!(child.try_wait(), Ok(None)))
    }

    pub fn log(&self) -> String {
        lock(&self.log).join("\n")
    }

    /// The reasons for which the process cannot follow the list.
    pub fn list_errors(&self) -> ListErrors {
        list_errors(lock(&self.log).iter().map(String::as_str))
    }
}

/// Reasons found in a log for which the list cannot be followed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ListErrors {
    /// A permanent reason, which retries cannot resolve.
    pub for_good: Option<String>,
    pub last: Option<String>,
}

fn list_errors<'a>(log: impl Iterator<Item = &'a str>) -> ListErrors {
    let mut refuses = ListErrors::default();
    for line in log {
        // Log messages of exceeded limits.
        let for_good = ["the list has more than ", "the list is longer than "];
        if let Some(at) = for_good.iter().find_map(|words| line.find(words)) {
            let words = line[at..].split_once(": ").map_or(&line[at..], |(words, _)| words);
            refuses.for_good = Some(words.to_string());
            refuses.last = Some(words.to_string());
        } else if let Some((_, words)) = line.split_once(" cannot be followed: ") {
            refuses.last = Some(words.to_string());
        }
    }
    refuses
}

async fn read(
    stderr: ChildStderr,
    place: Place,
    tracker: Arc<Mutex<VersionTracker>>,
    record: Arc<Record>,
    log: Arc<Mutex<Vec<String>>>,
) {
    let mut lines = BufReader::new(stderr).lines();
    // Couriers write only UTF-8: at an invalid line the rest of the log is left unread, and the process ends on its
    // closed pipe.
    while let Ok(Some(line)) = lines.next_line().await {
        let at = record.now();
        match parse_in_force(&line) {
            Some((version, name)) => {
                let courier = match name {
                    Some(name) => hollow_number(name).filter(|courier| place.couriers.contains(courier)),
                    None => place.real.then_some(place.couriers.start),
                };
                if let Some(courier) = courier {
                    lock(&tracker).record_report(courier, version, at);
                }
            }
            None => {
                let mut log = lock(&log);
                if log.len() < MAX_LOG_LINES {
                    log.push(line);
                }
            }
        }
    }
}

/// Lines of a log that indicate a fault. The final membership line counts as a fault only if membership's own audit
/// found one: its count of broken datagrams concerns received data and is no fault of the courier.
pub fn faults(log: &str) -> Vec<String> {
    let of_members = |line: &&str| line.contains("membership has ended: ");
    let (ends, rest): (Vec<&str>, Vec<&str>) = log.lines().partition(of_members);
    let sound = |line: &str| line.contains(" faults: 0 }");
    let mut faults = faults_in(&rest.join("\n"));
    faults.extend(ends.iter().filter(|line| !sound(line)).map(|line| line.to_string()));
    faults
}

/// The configuration file of a process in the run's folder.
pub fn config_path(folder: &Path, process: usize) -> PathBuf {
    folder.join(format!("p{process}.json"))
}

/// The persistent state folder of a courier.
pub fn state_path(folder: &Path, courier: usize) -> PathBuf {
    folder.join(format!("c{courier}"))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_reasons_for_not_following_a_list_are_read_from_the_log() {
        let line = |words: &str| format!("[WARN meadowhold_courier::discovery] {words}");
        let long = "the list has more than 8192 entries (limits.list_entries)";
        let heavy = "the list is longer than 4 MB (limits.list_mb)";
        let silent = "discovery is silent";
        let rows = [
            (vec![], None, None),
            (vec![line("the list cannot be followed: discovery is silent")], None, Some(silent)),
            (vec![line(&format!("{long}: the list that is held stays in force"))], Some(long), Some(long)),
            (
                vec![
                    line("the list cannot be followed: discovery is silent"),
                    line(&format!("still {heavy}")),
                    line("the list still cannot be followed: discovery is silent"),
                ],
                Some(heavy),
                Some(silent),
            ),
        ];
        for (log, for_good, last) in rows {
            let found = list_errors(log.iter().map(String::as_str));
            let expected =
                ListErrors { for_good: for_good.map(str::to_string), last: last.map(str::to_string) };
            assert_eq!(found, expected, "{log:?}");
        }
    }

    #[test]
    fn the_end_of_membership_is_a_fault_only_if_its_audit_found_one() {
        let end = |broken, faults| {
            format!("[INFO x::members] membership has ended: Counts {{ sent: 1, broken: {broken}, faults: {faults} }}, 0 wishes lost")
        };
        let rows =
            [(end(0, 0), 0), (end(3, 0), 0), (end(0, 1), 1), ("thread 'main' panicked at x".to_string(), 2)];
        for (log, many) in rows {
            assert_eq!(faults(&log).len(), many, "{log}");
        }
    }

    #[test]
    fn versions_in_force_are_read_from_lines_of_real_and_hollow_couriers() {
        let rows = [
            ("[2026-12-02T00:22:46.012345Z TRACE in_force] list 12 is in force", Some((12, None))),
            ("[TRACE in_force] list 3 is in force at h57", Some((3, Some("h57")))),
            ("[TRACE in_force] list x is in force at h57", None),
            ("[WARN meadowhold_courier::discovery] a list of version 3 came", None),
        ];
        for (line, said) in rows {
            assert_eq!(parse_in_force(line), said, "{line}");
        }
        assert_eq!(
            (hollow_number(&hollow_name(57)), hollow_number("57"), hollow_number("hx")),
            (Some(57), None, None)
        );
    }
}
