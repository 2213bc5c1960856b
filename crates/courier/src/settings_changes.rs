//! Versions of the settings in a courier: what a start begins with, and what a running courier is offered. The decision
//! is `version`'s; here it is carried out, the good one kept on file before it is in force, and said in one line.

use std::net::SocketAddr;
use std::path::Path;

use meadowhold::interface::Time;
use tokio::sync::{mpsc, oneshot};

use crate::config::{Config, Offered, Refused};
use crate::exchange::{Clock, Exchange, Shared, Versions};
use crate::kept_settings::{self, Kept};
use crate::memory::deployment;
use crate::version::{decide, Faults, Moment, Numbered, Stamp, Step, Sum, Whole};

/// A configuration that a running courier is offered. What comes back: whether its `discovery` is to be followed now,
/// and where that is, or that nothing of it can be read; nothing if it is turned down.
pub struct Change {
    pub offered: Offered,
    pub answer: oneshot::Sender<Option<Result<SocketAddr, Refused>>>,
}

/// What a courier runs by.
#[derive(Clone, Debug, Default)]
pub struct SettingsState {
    /// Nothing where versions are no matter.
    whole: Option<Whole>,
    /// The newest version that was ever in force here.
    newest: Option<Stamp>,
    /// What a list in the folder may be kept for: by this process, and before that by those whose versions it follows.
    list_deployments: Vec<Sum>,
    /// To be put on file before it is said to be in force.
    unsaved: Option<Kept>,
    versions: Versions,
}

/// What a courier starts with.
pub struct Start {
    pub config: Config,
    pub state: SettingsState,
}

fn rejection(whole: Option<&Whole>, faults: Faults) -> String {
    let number = match whole.map(|whole| whole.numbered) {
        Some(Numbered::As(number)) => format!("version {number}"),
        _ => "without a version that can be read".to_string(),
    };
    format!("settings {number} are turned down: {}", Refused { file: None, faults })
}

/// Guards against a file that grows with each start.
const MAX_LISTS: usize = 16;

fn list_deployments(config: &Config, before: Vec<Sum>) -> Vec<Sum> {
    let mut lists = vec![Sum::of(&deployment(&config.decoded).into())];
    lists.extend(before.into_iter().filter(|sum| *sum != lists[0]).collect::<Vec<_>>());
    lists.truncate(MAX_LISTS);
    lists
}

fn faults(read: &Result<Config, Refused>) -> Faults {
    read.as_ref().err().map(|refused| refused.faults.clone()).unwrap_or_default()
}

/// The configuration that `ROUTER_CONFIG` names, or the last good version that the folder keeps of it.
///
/// # Errors
/// What is wrong with the file, where nothing is kept that could stand in for it.
pub fn start() -> Result<Start, Refused> {
    let kept = Config::folder().and_then(|folder| kept_settings::load(&folder));
    let Offered { text, whole, read } = Config::at_start();
    let newest = kept.as_ref().and_then(Kept::stamp);
    match decide(Moment::Start, newest.as_ref(), whole.as_ref(), faults(&read)) {
        Step::TurnDown(faults) => {
            let refused = Refused { file: None, faults: faults.clone() };
            let refused = read.err().unwrap_or(refused);
            let Some(kept) = kept else { return Err(refused) };
            let config = match Config::kept(&kept.text) {
                Ok(config) => config,
                Err(e) => {
                    log::warn!("the settings that were kept cannot stand in: {e}");
                    return Err(refused);
                }
            };
            let words = rejection(whole.as_ref(), faults);
            log::warn!("{words}");
            let lists = list_deployments(&config, kept.lists);
            let in_force = newest.map(|stamp| (stamp.number, kept.since));
            let versions = Versions { in_force, turned_down: Some(words) };
            let whole = Some(kept.whole);
            Ok(Start {
                config,
                state: SettingsState { whole, newest, list_deployments: lists, unsaved: None, versions },
            })
        }
        step => {
            let config = read?;
            let now = Clock::new().now();
            let before = kept.as_ref().filter(|_| config.version.is_some());
            let lists = list_deployments(&config, before.map(|kept| kept.lists.clone()).unwrap_or_default());
            let text = text.filter(|_| step == Step::Take);
            let unsaved = text.and_then(|text| Kept::new(text, now, lists.clone()));
            let since = kept.filter(|_| step == Step::Known).map_or(now, |kept| kept.since);
            if let (None, Some(stamp)) = (config.version, newest) {
                log::warn!("settings without a version are taken; version {} was held before", stamp.number);
            }
            let versions =
                Versions { in_force: config.version.map(|number| (number, since)), turned_down: None };
            let newest = whole.as_ref().and_then(Whole::stamp).or(newest);
            Ok(Start {
                config,
                state: SettingsState { whole, newest, list_deployments: lists, unsaved, versions },
            })
        }
    }
}

/// Puts on file what a start has taken, and says which version is in force.
pub fn record_start(exchange: &mut Exchange, state: &mut SettingsState, folder: &Path, allowance: u64) {
    if let Some(kept) = state.unsaved.take() {
        // Guards against a courier that serves nobody for want of a few bytes: its settings are good.
        if let Err(e) = kept_settings::save(folder, allowance, &kept) {
            log::warn!("the settings cannot be kept: {e}");
        }
    }
    exchange.versions = state.versions.clone();
    if let Some((number, _)) = state.versions.in_force {
        log::info!("settings version {number} are in force");
    }
}

/// Takes up, or turns down, what is offered, one after the other and each between two turns. Never ends.
pub async fn follow(
    shared: Shared,
    mut state: SettingsState,
    (folder, allowance): (std::path::PathBuf, u64),
    mut changes: mpsc::UnboundedReceiver<Change>,
) {
    while let Some(Change { offered, answer }) = changes.recv().await {
        let mut exchange = shared.borrow_mut();
        // Whoever asked may be gone.
        let _ = answer.send(apply(&mut exchange, &mut state, offered, (&folder, allowance)));
    }
    std::future::pending().await
}

/// One that is offered, to a courier that has this folder and may put so many bytes there; the answer to a `Change`.
pub fn apply(
    exchange: &mut Exchange,
    state: &mut SettingsState,
    offered: Offered,
    (folder, allowance): (&Path, u64),
) -> Option<Result<SocketAddr, Refused>> {
    let Offered { text, whole, read } = offered;
    let mut faults = faults(&read);
    if let (Some(running), Some(whole)) = (&state.whole, &whole) {
        let needs_start = running.needs_start(whole);
        for (place, words) in needs_start {
            faults.entry(place).or_insert(words);
        }
    }
    let runs_with = state.versions.in_force.is_some();
    let moment = if runs_with { Moment::RunsWith } else { Moment::RunsWithout };
    let step = decide(moment, state.newest.as_ref(), whole.as_ref(), faults);
    let now = exchange.clock.now();
    let faults = match (step, read, whole.clone()) {
        (Step::Take, Ok(config), Some(whole)) => {
            let discovery = config.discovery;
            let unsaved = text.and_then(|text| Kept::new(text, now, state.list_deployments.clone()));
            match adopt(exchange, config, unsaved, (folder, allowance)) {
                Ok(number) => {
                    let before = state.whole.take();
                    state.newest = whole.stamp();
                    state.whole = Some(match before {
                        Some(before) => whole.after(before),
                        None => whole,
                    });
                    state.versions = Versions { in_force: Some((number, now)), turned_down: None };
                    exchange.versions = state.versions.clone();
                    log::info!("settings version {number} are in force");
                    return Some(Ok(discovery));
                }
                Err(faults) => faults,
            }
        }
        (Step::TurnDown(faults), ..) => faults,
        (_, read, _) => return Some(read.map(|config| config.discovery)),
    };
    let words = rejection(whole.as_ref(), faults);
    log::warn!("{words}");
    state.versions.turned_down = Some(words);
    exchange.versions = state.versions.clone();
    None
}

/// Whole or not at all: what can fail comes first, and the file before the word that it is in force.
fn adopt(
    exchange: &mut Exchange,
    config: Config,
    unsaved: Option<Kept>,
    (folder, allowance): (&Path, u64),
) -> Result<u64, Faults> {
    let only = |place: &str, words: String| Faults::from([(place.to_string(), words)]);
    let classes = exchange.numbered(&config.decoded);
    let classes = classes.map_err(|(place, words)| only(place, words.to_string()))?;
    let (Some(number), Some(unsaved)) = (config.version, unsaved) else {
        return Err(only("version", "is missing".to_string()));
    };
    kept_settings::save(folder, allowance, &unsaved)
        .map_err(|e| only("ROUTER_STATE", format!("cannot keep it: {e}")))?;
    exchange.adopt(config.decoded, classes);
    Ok(number)
}

impl SettingsState {
    /// Whether a list that was kept for this is ours, though our classes have changed since.
    pub fn accepts_list_of(&self, deployment: &str) -> bool {
        self.list_deployments.contains(&Sum::of(&deployment.into()))
    }

    /// What an exchange runs by that was given this configuration; for who has no start of his own.
    pub fn from_text(text: &[u8], now: Time) -> SettingsState {
        let whole = Whole::read(text);
        let newest = whole.as_ref().and_then(Whole::stamp);
        let in_force = newest.map(|stamp| (stamp.number, now));
        SettingsState {
            whole,
            newest,
            versions: Versions { in_force, turned_down: None },
            ..SettingsState::default()
        }
    }
}
