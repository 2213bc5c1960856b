//! Changes of a courier's settings: which version a start uses, and what becomes of a version offered to a running courier.
//! `version` makes the decision; this module carries it out. An accepted version is saved before it is in force, and each
//! decision is logged in one line.

use std::net::SocketAddr;
use std::path::Path;

use meadowhold::interface::Time;
use tokio::sync::{mpsc, oneshot};

use crate::config::{Candidate, Config, ConfigError};
use crate::exchange::{Clock, Exchange, Shared, Versions};
use crate::kept_settings::{self, SavedSettings};
use crate::memory::deployment;
use crate::version::{
    decide, Checksum, CourierState, Decision, Faults, Fingerprint, VersionId, VersionNumber,
};

/// A configuration offered to a running courier. The answer is the address of discovery to use from now on, or why the
/// file cannot be read; `None` if the configuration is turned down.
pub struct Change {
    pub offered: Candidate,
    pub answer: oneshot::Sender<Option<Result<SocketAddr, ConfigError>>>,
}

/// The settings that a courier runs with.
#[derive(Clone, Debug, Default)]
pub struct SettingsState {
    /// The configuration in force; `None` if it has no versions.
    whole: Option<Fingerprint>,
    /// The newest version that was ever in force here.
    newest: Option<VersionId>,
    /// The deployments whose stored list may be used: that of this process, and those of the earlier processes that its
    /// version follows.
    list_deployments: Vec<Checksum>,
    /// Accepted settings that must be saved before they are in force.
    unsaved: Option<SavedSettings>,
    versions: Versions,
}

/// The configuration that a courier starts with.
pub struct Start {
    pub config: Config,
    pub state: SettingsState,
}

fn rejection(whole: Option<&Fingerprint>, faults: Faults) -> String {
    let number = match whole.map(|whole| whole.version) {
        Some(VersionNumber::Valid(number)) => format!("version {number}"),
        _ => "without a version that can be read".to_string(),
    };
    format!("settings {number} are turned down: {}", ConfigError { file: None, faults })
}

/// Bounds the file of the settings, which would otherwise grow with each start.
const MAX_LISTS: usize = 16;

fn list_deployments(config: &Config, before: Vec<Checksum>) -> Vec<Checksum> {
    let mut lists = vec![Checksum::of(&deployment(&config.decoded).into())];
    lists.extend(before.into_iter().filter(|sum| *sum != lists[0]).collect::<Vec<_>>());
    lists.truncate(MAX_LISTS);
    lists
}

fn faults(read: &Result<Config, ConfigError>) -> Faults {
    read.as_ref().err().map(|refused| refused.faults.clone()).unwrap_or_default()
}

/// Reads the configuration that `ROUTER_CONFIG` names. If it is turned down, the last valid version saved in the folder is
/// used instead.
///
/// # Errors
/// What is wrong with the file, if there is no saved version to use instead.
pub fn start() -> Result<Start, ConfigError> {
    let kept = Config::state_folder().and_then(|folder| kept_settings::load(&folder));
    let Candidate { text, fingerprint: whole, result: read } = Config::at_start();
    let newest = kept.as_ref().and_then(SavedSettings::version_id);
    match decide(CourierState::Starting, newest.as_ref(), whole.as_ref(), faults(&read)) {
        Decision::Reject(faults) => {
            let refused = ConfigError { file: None, faults: faults.clone() };
            let refused = read.err().unwrap_or(refused);
            let Some(kept) = kept else { return Err(refused) };
            let config = match Config::from_saved(&kept.text) {
                Ok(config) => config,
                Err(e) => {
                    log::warn!("the saved settings cannot be used instead: {e}");
                    return Err(refused);
                }
            };
            let message = rejection(whole.as_ref(), faults);
            log::warn!("{message}");
            let lists = list_deployments(&config, kept.deployments);
            let in_force = newest.map(|stamp| (stamp.number, kept.since));
            let versions = Versions { in_force, rejected: Some(message) };
            let whole = Some(kept.fingerprint);
            Ok(Start {
                config,
                state: SettingsState { whole, newest, list_deployments: lists, unsaved: None, versions },
            })
        }
        step => {
            let config = read?;
            let now = Config::state_folder().map_or_else(Clock::new, |folder| Clock::resume(&folder)).now();
            let before = kept.as_ref().filter(|_| config.version.is_some());
            let lists =
                list_deployments(&config, before.map(|kept| kept.deployments.clone()).unwrap_or_default());
            let text = text.filter(|_| step == Decision::Apply);
            let unsaved = text.and_then(|text| SavedSettings::new(text, now, lists.clone()));
            let since = kept.filter(|_| step == Decision::AlreadyHeld).map_or(now, |kept| kept.since);
            if let (None, Some(stamp)) = (config.version, newest) {
                log::warn!("settings without a version are taken; version {} was held before", stamp.number);
            }
            let versions =
                Versions { in_force: config.version.map(|number| (number, since)), rejected: None };
            let newest = whole.as_ref().and_then(Fingerprint::version_id).or(newest);
            Ok(Start {
                config,
                state: SettingsState { whole, newest, list_deployments: lists, unsaved, versions },
            })
        }
    }
}

/// Saves the settings that a start has accepted, and logs which version is in force.
pub fn record_start(exchange: &mut Exchange, state: &mut SettingsState, folder: &Path, allowance: u64) {
    if let Some(kept) = state.unsaved.take() {
        // Not fatal: a courier with valid settings should not refuse to start because its disk is full.
        if let Err(e) = kept_settings::save(folder, allowance, &kept) {
            log::warn!("the settings cannot be kept: {e}");
        }
    }
    exchange.versions = state.versions.clone();
    if let Some((number, _)) = state.versions.in_force {
        log::info!("settings version {number} are in force");
    }
}

/// Applies or turns down the offered configurations, one after the other and each between two turns. Never completes.
pub async fn follow(
    shared: Shared,
    mut state: SettingsState,
    (folder, allowance): (std::path::PathBuf, u64),
    mut changes: mpsc::UnboundedReceiver<Change>,
) {
    while let Some(Change { offered, answer }) = changes.recv().await {
        let mut exchange = shared.borrow_mut();
        // The sender may no longer wait for the answer.
        let _ = answer.send(apply(&mut exchange, &mut state, offered, (&folder, allowance)));
    }
    std::future::pending().await
}

/// Applies or turns down an offered configuration. `allowance` is the number of bytes that the courier may store in its
/// folder. Returns the answer to the `Change`.
pub fn apply(
    exchange: &mut Exchange,
    state: &mut SettingsState,
    offered: Candidate,
    (folder, allowance): (&Path, u64),
) -> Option<Result<SocketAddr, ConfigError>> {
    let Candidate { text, fingerprint: whole, result: read } = offered;
    let mut faults = faults(&read);
    if let (Some(running), Some(whole)) = (&state.whole, &whole) {
        let needs_start = running.restart_required(whole);
        for (place, reason) in needs_start {
            faults.entry(place).or_insert(reason);
        }
    }
    let versioned = state.versions.in_force.is_some();
    let courier_state =
        if versioned { CourierState::RunningVersioned } else { CourierState::RunningUnversioned };
    let step = decide(courier_state, state.newest.as_ref(), whole.as_ref(), faults);
    let now = exchange.clock.now();
    let faults = match (step, read, whole.clone()) {
        (Decision::Apply, Ok(config), Some(whole)) => {
            let discovery = config.discovery;
            let unsaved = text.and_then(|text| SavedSettings::new(text, now, state.list_deployments.clone()));
            match adopt(exchange, config, unsaved, (folder, allowance)) {
                Ok(number) => {
                    let before = state.whole.take();
                    state.newest = whole.version_id();
                    state.whole = Some(match before {
                        Some(before) => whole.retain_kinds_of(before),
                        None => whole,
                    });
                    state.versions = Versions { in_force: Some((number, now)), rejected: None };
                    exchange.versions = state.versions.clone();
                    log::info!("settings version {number} are in force");
                    return Some(Ok(discovery));
                }
                Err(faults) => faults,
            }
        }
        (Decision::Reject(faults), ..) => faults,
        (_, read, _) => return Some(read.map(|config| config.discovery)),
    };
    let message = rejection(whole.as_ref(), faults);
    log::warn!("{message}");
    state.versions.rejected = Some(message);
    exchange.versions = state.versions.clone();
    None
}

/// Puts settings in force completely or not at all: everything that can fail comes first, and saving them comes before
/// they are adopted.
fn adopt(
    exchange: &mut Exchange,
    config: Config,
    unsaved: Option<SavedSettings>,
    (folder, allowance): (&Path, u64),
) -> Result<u64, Faults> {
    let single_fault = |place: &str, reason: String| Faults::from([(place.to_string(), reason)]);
    let classes = exchange.plan_classes(&config.decoded);
    let classes = classes.map_err(|(place, reason)| single_fault(place, reason.to_string()))?;
    let (Some(number), Some(unsaved)) = (config.version, unsaved) else {
        return Err(single_fault("version", "is missing".to_string()));
    };
    kept_settings::save(folder, allowance, &unsaved)
        .map_err(|e| single_fault("ROUTER_STATE", format!("cannot keep it: {e}")))?;
    exchange.apply_settings(config.decoded, classes);
    Ok(number)
}

impl SettingsState {
    /// Whether a list stored for this deployment may be used, although the classes may have changed since.
    pub fn accepts_list_of(&self, deployment: &str) -> bool {
        self.list_deployments.contains(&Checksum::of(&deployment.into()))
    }

    /// The state of an exchange that was given this configuration, for callers that do not use `start`.
    pub fn from_text(text: &[u8], now: Time) -> SettingsState {
        let whole = Fingerprint::read(text);
        let newest = whole.as_ref().and_then(Fingerprint::version_id);
        let in_force = newest.map(|stamp| (stamp.number, now));
        SettingsState {
            whole,
            newest,
            versions: Versions { in_force, rejected: None },
            ..SettingsState::default()
        }
    }
}
