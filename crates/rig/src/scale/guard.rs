//! A guard process that outlives the run: if the run is killed and cannot clean up, the guard kills the run's child
//! processes. It is given each child's process id and start time, so that it never kills a process that reuses the id.

use std::io::{self, BufRead};
use std::path::{Path, PathBuf};
use std::process::Stdio;

use rustix::process::{kill_process, Pid, Signal};
use tokio::io::AsyncWriteExt;
use tokio::process::{Child, ChildStdin, Command};

use super::gauge;

/// Name prefix of the folders of runs; the guard removes no other folder.
pub const FOLDER: &str = "meadowhold-scale-";

/// Reads lines `+ID START` and `-ID` until the run has ended, then kills the remaining children and removes the run's
/// folder.
pub fn main(folder: &Path) -> Result<(), String> {
    let mut children: Vec<(u32, u64)> = Vec::new();
    for line in io::stdin().lock().lines().map_while(Result::ok) {
        let (sign, rest) = line.split_at(line.len().min(1));
        let mut numbers = rest.split_whitespace().map(str::parse::<u64>);
        let Some(Ok(id)) = numbers.next() else { continue };
        children.retain(|&(known, _)| u64::from(known) != id);
        if let ("+", Some(Ok(started)), Ok(id)) = (sign, numbers.next(), u32::try_from(id)) {
            children.push((id, started));
        }
    }
    for (id, started) in children {
        let same = gauge::of_process(id).is_some_and(|taken| taken.started == started);
        if let Some(id) = Pid::from_raw(id as i32).filter(|_| same) {
            let _ = kill_process(id, Signal::KILL);
        }
    }
    let name = folder.file_name().and_then(|name| name.to_str()).unwrap_or_default();
    if name.starts_with(FOLDER) {
        let _ = std::fs::remove_dir_all(folder);
    }
    Ok(())
}

/// The run's handle of the guard process.
pub struct Guard {
    to: ChildStdin,
    _child: Child,
}

impl Guard {
    /// # Errors
    /// If the guard process cannot be started.
    pub fn start(program: &Path, folder: PathBuf) -> io::Result<Guard> {
        let mut command = Command::new(program);
        // A process group of its own: a signal from the terminal that ends the run must not end the guard.
        command.arg("guard").arg(folder).env_clear().process_group(0);
        let mut child = command.stdin(Stdio::piped()).stdout(Stdio::null()).stderr(Stdio::null()).spawn()?;
        let to = child.stdin.take().ok_or(io::ErrorKind::BrokenPipe)?;
        Ok(Guard { to, _child: child })
    }

    /// # Errors
    /// If the guard has ended. Nothing more may be started then.
    pub async fn started(&mut self, id: u32) -> io::Result<()> {
        let started = gauge::of_process(id).map_or(0, |taken| taken.started);
        self.to.write_all(format!("+{id} {started}\n").as_bytes()).await
    }

    pub async fn ended(&mut self, id: u32) {
        let _ = self.to.write_all(format!("-{id}\n").as_bytes()).await;
    }
}
