//! A relay of the endpoint list. It follows a source or other relays in the same way as a courier, and serves the list
//! to many followers with the same protocol. `hub` holds the list and the state of its followers, `serve` is the HTTP
//! server, `stall_timeout` closes connections that are not read, `status` reports which follower holds which version,
//! and `config` reads the configuration. `docs/relay.md` describes what a relay guarantees.

pub mod config;
pub mod hub;
pub mod serve;
pub mod stall_timeout;
pub mod status;

use std::cell::RefCell;
use std::future::Future;
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use meadowhold::interface::Time;
use meadowhold_catalog::versions::Version;
use tokio::net::TcpListener;
use tokio::sync::{watch, Mutex};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use crate::discovery::{self, Entry};
use crate::entries::Update;
use crate::exchange::Clock;
use crate::memory;
use crate::relays::{self, VersionedListener};
use config::{Config, Source};
use hub::Hub;

/// Minimum time between two writes of the list to disk.
const SAVE_INTERVAL: Duration = Duration::from_secs(5);
/// How often to check whether the whole list has to be requested from the agent again.
const SNAPSHOT_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// How long a terminating relay waits for the last write of the list.
const FINAL_SAVE_TIMEOUT: Duration = Duration::from_secs(2);

/// Identifies the file as one of a relay. A courier stores its deployment in this field; a relay stores the number of
/// partitions and the epoch.
fn state_tag(partitions: u32, epoch: u64) -> String {
    format!("relay partitions={partitions} epoch={epoch}")
}

fn parse_state_tag(tag: &str) -> Option<(u32, u64)> {
    let (partitions, epoch) = tag.strip_prefix("relay partitions=")?.split_once(" epoch=")?;
    Some((partitions.parse().ok()?, epoch.parse().ok()?))
}

/// The disk quota, in bytes, of which the share that `memory` grants to the list has room for `list` bytes.
fn disk_quota(list: u64) -> u64 {
    (list + 1024) / memory::SHARE_PERCENT * 100 + 100
}

/// Loads the list saved in the state folder. Fails if it was saved with a different number of partitions or not by a
/// relay.
fn load(config: &Config, now: Time) -> io::Result<Option<(Version, Vec<Entry>, Time)>> {
    let Some(saved) = memory::load(&config.state, disk_quota(config.bounds.max_file_bytes()), now) else {
        return Ok(None);
    };
    let invalid = |message: String| Err(io::Error::new(io::ErrorKind::InvalidData, message));
    match parse_state_tag(&saved.deployment) {
        Some((partitions, epoch)) if partitions == config.partitions => {
            let version = Version { epoch, index: saved.index };
            Ok(Some((version, saved.endpoints.into_iter().map(Entry::from).collect(), saved.saved_at)))
        }
        Some((partitions, _)) => {
            let (state, wanted) = (config.state.display(), config.partitions);
            invalid(format!(
                "state {state} was saved with {partitions} partitions, but {wanted} are configured"
            ))
        }
        None => invalid(format!("state {} was not saved by a relay", config.state.display())),
    }
}

/// Writes the list to disk. Blocks for a while if the list is long, so it runs on a thread of its own.
fn save(
    folder: &Path,
    max_bytes: u64,
    tag: String,
    version: Version,
    texts: &[Bytes],
    now: Time,
) -> io::Result<()> {
    let mut list = Update { index: version.index, whole: true, ..Update::default() };
    for text in texts.iter().filter(|text| !text.is_empty()) {
        // The text of each partition begins with a comma.
        let mut entries = vec![b'['];
        entries.extend_from_slice(&text[1..]);
        entries.push(b']');
        let entries: Vec<Entry> = serde_json::from_slice(&entries)?;
        entries.iter().for_each(|entry| list.entries.push(&entry.into()));
    }
    memory::save_list(folder, disk_quota(max_bytes), tag, &list, now)
}

struct ListSaver {
    hub: Rc<RefCell<Hub>>,
    clock: Clock,
    folder: PathBuf,
    /// Maximum size of the file.
    max_bytes: u64,
    partitions: u32,
    /// The store's step at the last successful write.
    saved_step: u64,
    save_failed: bool,
}

impl ListSaver {
    fn new(hub: Rc<RefCell<Hub>>, clock: Clock, config: &Config) -> ListSaver {
        let (folder, max_bytes, partitions) =
            (config.state.clone(), config.bounds.max_file_bytes(), config.partitions);
        // The list that was loaded at the start is already in the file.
        let saved_step = hub.borrow().store.step();
        ListSaver { hub, clock, folder, max_bytes, partitions, saved_step, save_failed: false }
    }

    async fn save(&mut self) {
        let (snapshot, step) = {
            let mut hub = self.hub.borrow_mut();
            (hub.store.snapshot(), hub.store.step())
        };
        let Some(snapshot) = snapshot.filter(|_| step != self.saved_step) else { return };
        let (folder, max_bytes, now) = (self.folder.clone(), self.max_bytes, self.clock.now());
        let tag = state_tag(self.partitions, snapshot.version.epoch);
        let result = tokio::task::spawn_blocking(move || {
            save(&folder, max_bytes, tag, snapshot.version, &snapshot.texts, now)
        });
        let result = result.await.unwrap_or_else(|e| Err(io::Error::other(e)));
        // Repeated failures are logged once.
        match &result {
            Err(e) if !self.save_failed => log::warn!("cannot save the list: {e}"),
            _ => {}
        }
        self.save_failed = result.is_err();
        if result.is_ok() {
            self.saved_step = step;
        }
    }
}

async fn save_periodically(saver: Rc<Mutex<ListSaver>>) {
    loop {
        sleep(SAVE_INTERVAL).await;
        saver.lock().await.save().await;
    }
}

/// Runs a relay within a `LocalSet` until `stop` completes. A reloaded configuration changes the agent's address and
/// raises the epoch; any other change in it takes effect at the next start.
pub async fn run(
    config: Config,
    mut reloaded: watch::Receiver<Option<Config>>,
    stop: impl Future<Output = ()>,
) -> io::Result<()> {
    let clock = Clock::new();
    let listener = TcpListener::bind(config.listen).await;
    let listener =
        listener.map_err(|e| io::Error::new(e.kind(), format!("cannot listen at {}: {e}", config.listen)))?;
    std::fs::create_dir_all(&config.state)
        .map_err(|e| io::Error::new(e.kind(), format!("state {}: {e}", config.state.display())))?;
    let mut hub = Hub::new(clock, config.partitions, config.bounds);
    if let Some((version, entries, saved_at)) = load(&config, clock.now())? {
        hub.restore(version, &entries, saved_at);
    }
    hub.raise_epoch(config.epoch);
    let hub = Rc::new(RefCell::new(hub));
    let saver = Rc::new(Mutex::new(ListSaver::new(hub.clone(), clock, &config)));
    let seed = u64::from(crc32fast::hash(config.name.as_bytes()));
    let mut tasks = JoinSet::new();
    let source = match &config.source {
        Source::Agent(address) => {
            let (source, from) = watch::channel(*address);
            tasks.spawn_local(discovery::follow(
                hub.clone(),
                clock,
                from,
                0,
                false,
                (config.bounds.list_limits(), seed),
            ));
            Some(source)
        }
        Source::Relays(relays) => {
            let (name, relays) = (config.name.clone(), relays.clone());
            tasks.spawn_local(relays::follow(
                hub.clone(),
                clock,
                name,
                relays,
                (config.bounds.list_limits(), seed),
            ));
            None
        }
    };
    let at = listener.local_addr()?;
    tasks.spawn_local(serve::listen(hub.clone(), listener, config.bounds.followers));
    tasks.spawn_local(save_periodically(saver.clone()));
    log::info!("relay {} listens at {at}", config.name);
    let reconfigure = async {
        loop {
            tokio::select! {
                changed = reloaded.changed() => {
                    if changed.is_err() {
                        std::future::pending::<()>().await;
                    }
                    let Some(config) = reloaded.borrow_and_update().clone() else { continue };
                    hub.borrow_mut().raise_epoch(config.epoch);
                    if let (Some(source), Source::Agent(address)) = (&source, &config.source) {
                        source.send_replace(*address);
                    }
                }
                () = sleep(SNAPSHOT_CHECK_INTERVAL) => {}
            }
            // A relay that follows other relays checks this in `relays::follow`.
            if let Some(source) = &source {
                if hub.borrow_mut().take_snapshot_request() {
                    source.send_modify(|_| ());
                }
            }
        }
    };
    let result = tokio::select! {
        () = stop => Ok(()),
        // If one task ends, the relay must not appear to run on without it.
        _ = tasks.join_next() => Err(io::Error::other("a task of the relay ended unexpectedly")),
        () = reconfigure => Ok(()),
    };
    // The lock waits for a write in progress, because both use the same file name.
    if timeout(FINAL_SAVE_TIMEOUT, async { saver.lock().await.save().await }).await.is_err() {
        log::warn!("the last write of the list timed out");
    }
    log::info!("relay {} has stopped", config.name);
    result
}
