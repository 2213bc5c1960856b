//! Versions of the settings in a courier: what a start begins with, and what a running courier is offered. The decision
//! is `version`'s; here it is carried out, the good one kept on file before it is in force, and said in one line.

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

/// A configuration that a running courier is offered. What comes back: whether its `discovery` is to be followed now,
/// and where that is, or that nothing of it can be read; nothing if it is turned down.
pub struct Change {
    pub offered: Candidate,
    pub answer: oneshot::Sender<Option<Result<SocketAddr, ConfigError>>>,
}

/// What a courier runs by.
#[derive(Clone, Debug, Default)]
pub struct Held {
    /// Nothing where versions are no matter.
    whole: Option<Fingerprint>,
    /// The newest version that was ever in force here.
    newest: Option<VersionId>,
    /// What a list in the folder may be kept for: by this process, and before that by those whose versions it follows.
    lists: Vec<Checksum>,
    /// To be put on file before it is said to be in force.
    fresh: Option<SavedSettings>,
    versions: Versions,
}

/// What a courier starts with.
pub struct Start {
    pub config: Config,
    pub held: Held,
}

fn words(whole: Option<&Fingerprint>, faults: Faults) -> String {
    let number = match whole.map(|whole| whole.version) {
        Some(VersionNumber::Valid(number)) => format!("version {number}"),
        _ => "without a version that can be read".to_string(),
    };
    format!("settings {number} are turned down: {}", ConfigError { file: None, faults })
}

/// Guards against a file that grows with each start.
const MOST_LISTS: usize = 16;

fn lists(config: &Config, before: Vec<Checksum>) -> Vec<Checksum> {
    let mut lists = vec![Checksum::of(&deployment(&config.decoded).into())];
    lists.extend(before.into_iter().filter(|sum| *sum != lists[0]).collect::<Vec<_>>());
    lists.truncate(MOST_LISTS);
    lists
}

fn faults(read: &Result<Config, ConfigError>) -> Faults {
    read.as_ref().err().map(|refused| refused.faults.clone()).unwrap_or_default()
}

/// The configuration that `ROUTER_CONFIG` names, or the last good version that the folder keeps of it.
///
/// # Errors
/// What is wrong with the file, where nothing is kept that could stand in for it.
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
                    log::warn!("the settings that were kept cannot stand in: {e}");
                    return Err(refused);
                }
            };
            let words = words(whole.as_ref(), faults);
            log::warn!("{words}");
            let lists = lists(&config, kept.deployments);
            let in_force = newest.map(|stamp| (stamp.number, kept.since));
            let versions = Versions { in_force, rejected: Some(words) };
            let whole = Some(kept.fingerprint);
            Ok(Start { config, held: Held { whole, newest, lists, fresh: None, versions } })
        }
        step => {
            let config = read?;
            let now = Clock::new().now();
            let before = kept.as_ref().filter(|_| config.version.is_some());
            let lists = lists(&config, before.map(|kept| kept.deployments.clone()).unwrap_or_default());
            let fresh = text.filter(|_| step == Decision::Apply);
            let fresh = fresh.and_then(|text| SavedSettings::new(text, now, lists.clone()));
            let since = kept.filter(|_| step == Decision::AlreadyHeld).map_or(now, |kept| kept.since);
            if let (None, Some(stamp)) = (config.version, newest) {
                log::warn!("settings without a version are taken; version {} was held before", stamp.number);
            }
            let versions =
                Versions { in_force: config.version.map(|number| (number, since)), rejected: None };
            let newest = whole.as_ref().and_then(Fingerprint::version_id).or(newest);
            Ok(Start { config, held: Held { whole, newest, lists, fresh, versions } })
        }
    }
}

/// Puts on file what a start has taken, and says which version is in force.
pub fn begin(exchange: &mut Exchange, held: &mut Held, folder: &Path, allowance: u64) {
    if let Some(kept) = held.fresh.take() {
        // Guards against a courier that serves nobody for want of a few bytes: its settings are good.
        if let Err(e) = kept_settings::save(folder, allowance, &kept) {
            log::warn!("the settings cannot be kept: {e}");
        }
    }
    exchange.versions = held.versions.clone();
    if let Some((number, _)) = held.versions.in_force {
        log::info!("settings version {number} are in force");
    }
}

/// Takes up, or turns down, what is offered, one after the other and each between two turns. Never ends.
pub async fn follow(
    shared: Shared,
    mut held: Held,
    (folder, allowance): (std::path::PathBuf, u64),
    mut changes: mpsc::UnboundedReceiver<Change>,
) {
    while let Some(Change { offered, answer }) = changes.recv().await {
        let mut exchange = shared.borrow_mut();
        // Whoever asked may be gone.
        let _ = answer.send(take(&mut exchange, &mut held, offered, (&folder, allowance)));
    }
    std::future::pending().await
}

/// One that is offered, to a courier that has this folder and may put so many bytes there; the answer to a `Change`.
pub fn take(
    exchange: &mut Exchange,
    held: &mut Held,
    offered: Candidate,
    (folder, allowance): (&Path, u64),
) -> Option<Result<SocketAddr, ConfigError>> {
    let Candidate { text, fingerprint: whole, result: read } = offered;
    let mut faults = faults(&read);
    if let (Some(running), Some(whole)) = (&held.whole, &whole) {
        let needs_start = running.restart_required(whole);
        for (place, words) in needs_start {
            faults.entry(place).or_insert(words);
        }
    }
    let versioned = held.versions.in_force.is_some();
    let state = if versioned { CourierState::RunningVersioned } else { CourierState::RunningUnversioned };
    let step = decide(state, held.newest.as_ref(), whole.as_ref(), faults);
    let now = exchange.clock.now();
    let faults = match (step, read, whole.clone()) {
        (Decision::Apply, Ok(config), Some(whole)) => {
            let discovery = config.discovery;
            let fresh = text.and_then(|text| SavedSettings::new(text, now, held.lists.clone()));
            match in_force(exchange, config, fresh, (folder, allowance)) {
                Ok(number) => {
                    let before = held.whole.take();
                    held.newest = whole.version_id();
                    held.whole = Some(match before {
                        Some(before) => whole.retain_kinds_of(before),
                        None => whole,
                    });
                    held.versions = Versions { in_force: Some((number, now)), rejected: None };
                    exchange.versions = held.versions.clone();
                    log::info!("settings version {number} are in force");
                    return Some(Ok(discovery));
                }
                Err(faults) => faults,
            }
        }
        (Decision::Reject(faults), ..) => faults,
        (_, read, _) => return Some(read.map(|config| config.discovery)),
    };
    let words = words(whole.as_ref(), faults);
    log::warn!("{words}");
    held.versions.rejected = Some(words);
    exchange.versions = held.versions.clone();
    None
}

/// Whole or not at all: what can fail comes first, and the file before the word that it is in force.
fn in_force(
    exchange: &mut Exchange,
    config: Config,
    fresh: Option<SavedSettings>,
    (folder, allowance): (&Path, u64),
) -> Result<u64, Faults> {
    let only = |place: &str, words: String| Faults::from([(place.to_string(), words)]);
    let classes = exchange.plan_classes(&config.decoded);
    let classes = classes.map_err(|(place, words)| only(place, words.to_string()))?;
    let (Some(number), Some(fresh)) = (config.version, fresh) else {
        return Err(only("version", "is missing".to_string()));
    };
    kept_settings::save(folder, allowance, &fresh)
        .map_err(|e| only("ROUTER_STATE", format!("cannot keep it: {e}")))?;
    exchange.apply_settings(config.decoded, classes);
    Ok(number)
}

impl Held {
    /// Whether a list that was kept for this is ours, though our classes have changed since.
    pub fn has_kept_for(&self, deployment: &str) -> bool {
        self.lists.contains(&Checksum::of(&deployment.into()))
    }

    /// What an exchange runs by that was given this configuration; for who has no start of his own.
    pub fn of(text: &[u8], now: Time) -> Held {
        let whole = Fingerprint::read(text);
        let newest = whole.as_ref().and_then(Fingerprint::version_id);
        let in_force = newest.map(|stamp| (stamp.number, now));
        Held { whole, newest, versions: Versions { in_force, rejected: None }, ..Held::default() }
    }
}
