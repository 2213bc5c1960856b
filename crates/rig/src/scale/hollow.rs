//! The program that runs hollow couriers: `meadowhold-rig hollow FILE`. The file holds the common configuration as a
//! courier's JSON, and the name, state folder and address of each courier.

use std::cell::RefCell;
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use log::{LevelFilter, Log, Metadata, Record};
use meadowhold_courier::config::Config;
use meadowhold_courier::discovery::Listener;
use meadowhold_courier::entries::Update;
use meadowhold_courier::exchange::IN_FORCE;
use meadowhold_courier::hollow::serve;
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::{oneshot, watch, Semaphore};
use tokio::task::{JoinSet, LocalSet};
use tokio::time::timeout;

use super::day::Defect;

#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct File {
    /// A courier's configuration without the fields that differ between couriers.
    pub common: Value,
    pub couriers: Vec<HollowCourier>,
}

#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct HollowCourier {
    pub name: String,
    pub state: PathBuf,
    /// The address of its membership socket, if it takes part in membership.
    pub members: Option<SocketAddr>,
    pub seed: u64,
    pub wrong: Option<Defect>,
}

impl File {
    fn read(path: &Path) -> Result<File, String> {
        let text = std::fs::read(path).map_err(|e| format!("{} cannot be read: {e}", path.display()))?;
        serde_json::from_slice(&text).map_err(|e| format!("{} cannot be read: {e}", path.display()))
    }

    /// The configuration of one courier, parsed like a real courier's.
    fn config(&self, one: &HollowCourier) -> Result<Config, String> {
        let mut config = self.common.clone();
        config["name"] = json!(one.name);
        config["seed"] = json!(format!("{:x}", one.seed));
        match one.members {
            Some(members) => config["peers"]["members"]["listen"] = json!(members.to_string()),
            None => config["peers"] = Value::Null,
        }
        let state = one.state.to_str().ok_or("the path of a state folder is not valid UTF-8")?.to_string();
        let variable = |name: &str| (name == "ROUTER_STATE").then(|| state.clone());
        let text = config.to_string();
        Config::read(text.as_bytes(), &variable).map_err(|refused| format!("{}: {refused}", one.name))
    }
}

/// Whether the couriers are shutting down: membership's counts are logged only then.
static ENDING: AtomicBool = AtomicBool::new(false);

/// Logs to standard error: versions in force, warnings, each failure to follow the list, and membership's final counts.
struct StderrLogger;

impl Log for StderrLogger {
    fn enabled(&self, metadata: &Metadata) -> bool {
        let counts = ENDING.load(Ordering::Relaxed) && metadata.target().ends_with("::members");
        let follows = metadata.target().ends_with("::discovery");
        metadata.target() == IN_FORCE
            || metadata.level() <= if follows { log::Level::Debug } else { log::Level::Warn }
            || counts && metadata.level() == log::Level::Info
    }

    fn log(&self, record: &Record) {
        if self.enabled(record.metadata()) {
            let line = format!("[{} {}] {}\n", record.level(), record.target(), record.args());
            let _ = std::io::stderr().write_all(line.as_bytes());
        }
    }

    fn flush(&self) {}
}

/// The number of couriers of a process that fetch their first list at the same time, and the time limit for each. The
/// couriers share one processor, which in production each has to itself: without the limit none of them might finish
/// its start.
const FIRST_LISTS_AT_ONCE: usize = 2;
const FIRST_LIST_TIMEOUT: Duration = Duration::from_secs(2);

/// Wraps the listener of a hollow courier and adds a simulated defect if `how` is set.
struct DefectiveListener<L> {
    inner: Rc<RefCell<L>>,
    /// Dropped when the first list has arrived.
    first: Option<oneshot::Sender<()>>,
    how: Option<Defect>,
    name: String,
}

impl<L: Listener> Listener for DefectiveListener<L> {
    fn apply_update(&mut self, list: &Update) {
        self.first = None;
        if self.how == Some(Defect::Mute) {
            // A courier whose calls stay on hold never runs a turn. If lists are polled, nothing else holds its calls.
            self.inner.borrow_mut().hold_calls();
        }
        match self.how {
            // The first list is applied: there is no older one to keep.
            Some(Defect::HoldsOld) if list.index > 1 => {
                let nothing = Update { index: list.index, ..Update::default() };
                self.inner.borrow_mut().apply_update(&nothing);
            }
            _ => self.inner.borrow_mut().apply_update(list),
        }
        if self.how == Some(Defect::TooEarly) {
            log::trace!(target: IN_FORCE, "list {} is in force at {}", list.index + 1, self.name);
        }
    }

    fn count_after(&self, changes: &Update) -> usize {
        self.inner.borrow().count_after(changes)
    }

    fn hold_calls(&mut self) {
        self.inner.borrow_mut().hold_calls();
    }

    fn release_calls(&mut self) {
        if self.how != Some(Defect::Mute) {
            self.inner.borrow_mut().release_calls();
        }
    }
}

/// Runs all couriers of a file until SIGTERM.
///
/// # Errors
/// If the file is invalid, or one of its couriers fails.
pub fn main(path: &Path) -> Result<(), String> {
    log::set_boxed_logger(Box::new(StderrLogger)).map_err(|e| e.to_string())?;
    log::set_max_level(LevelFilter::Trace);
    let file = File::read(path)?;
    let mut configs = Vec::new();
    for one in &file.couriers {
        configs.push(file.config(one)?);
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| e.to_string())?;
    let ended = LocalSet::new().block_on(&runtime, async {
        let handler = |kind| signal(kind).map_err(|e| format!("cannot install a signal handler: {e}"));
        let (mut terminate, mut hangup) = (handler(SignalKind::terminate())?, handler(SignalKind::hangup())?);
        let mut running = JoinSet::new();
        let (stop, _) = watch::channel(false);
        let (mut places, turns) = (Vec::new(), Arc::new(Semaphore::new(FIRST_LISTS_AT_ONCE)));
        for (config, one) in configs.into_iter().zip(file.couriers) {
            let (discovery, discovery_in) = watch::channel(config.discovery);
            places.push(discovery);
            let mut stop = stop.subscribe();
            let stopped = async move { drop(stop.wait_for(|stop| *stop).await) };
            let (first, listed) = oneshot::channel();
            let before = move |inner| {
                let first = Some(first);
                Rc::new(RefCell::new(DefectiveListener { inner, first, how: one.wrong, name: one.name }))
            };
            let turn = turns.clone();
            running.spawn_local(async move {
                let turn = turn.acquire_owned().await;
                tokio::task::spawn_local(async move {
                    let _ = timeout(FIRST_LIST_TIMEOUT, listed).await;
                    drop(turn);
                });
                serve(config, discovery_in, stopped, before).await
            });
        }
        loop {
            tokio::select! {
                _ = terminate.recv() => {
                    ENDING.store(true, Ordering::Relaxed);
                    stop.send_replace(true);
                }
                _ = hangup.recv() => reload(path, &places),
                ended = running.join_next() => match ended {
                    None => return Ok(()),
                    Some(Ok(Ok(()))) => {}
                    Some(Ok(Err(e))) => return Err(e.to_string()),
                    Some(Err(e)) => return Err(e.to_string()),
                },
            }
        }
    });
    runtime.shutdown_background();
    ended
}

/// Reloads the file on SIGHUP. As with a real courier, the address of discovery may change while it runs.
fn reload(path: &Path, places: &[watch::Sender<SocketAddr>]) {
    let text = |file: &File| file.common["discovery"].as_str().and_then(|text| text.parse().ok());
    match File::read(path).map(|file| text(&file)) {
        Ok(Some(now)) => {
            for place in places {
                place.send_if_modified(|known| std::mem::replace(known, now) != now);
            }
        }
        Ok(None) => log::error!("the configuration has no valid discovery address"),
        Err(words) => log::error!("the configuration cannot be reloaded: {words}"),
    }
}
