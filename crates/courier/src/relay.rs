//! A relay of the list: follows a source, or other relays, as a courier does, and serves what it holds to
//! many in the same form. `hub` holds the list and its followers, `serve` answers them, `paced` closes who
//! does not read, `status` says who holds what, `config` reads what a relay is told. `docs/relay.md` says
//! what it promises.

pub mod config;
pub mod hub;
pub mod paced;
pub mod serve;
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
use crate::relays::{self, Holder};
use config::{Config, Source};
use hub::Hub;

/// The file is written no more often.
const EVERY: Duration = Duration::from_secs(5);
/// Whether a whole list is wanted of the agent is looked at so often.
const LOOK: Duration = Duration::from_secs(1);
/// At its end a relay waits no longer for its file.
const LAST: Duration = Duration::from_secs(2);

/// Whose file it is: the epoch and the partitions stand in the place of a deployment's name.
fn mark(partitions: u32, epoch: u64) -> String {
    format!("relay partitions={partitions} epoch={epoch}")
}

fn read_mark(mark: &str) -> Option<(u32, u64)> {
    let (partitions, epoch) = mark.strip_prefix("relay partitions=")?.split_once(" epoch=")?;
    Some((partitions.parse().ok()?, epoch.parse().ok()?))
}

/// The folder's allowance, in bytes, of which `memory` grants a list this many.
fn allowance(list: u64) -> u64 {
    (list + 1024) / memory::SHARE_PERCENT * 100 + 100
}

/// What the folder keeps. Errors: it was cut into another number of partitions, or cannot be a relay's.
fn load(config: &Config, now: Time) -> io::Result<Option<(Version, Vec<Entry>, Time)>> {
    let Some(kept) = memory::load(&config.state, allowance(config.bounds.file()), now) else {
        return Ok(None);
    };
    let wrong = |words: String| Err(io::Error::new(io::ErrorKind::InvalidData, words));
    match read_mark(&kept.deployment) {
        Some((partitions, epoch)) if partitions == config.partitions => {
            let version = Version { epoch, index: kept.index };
            Ok(Some((version, kept.endpoints.into_iter().map(Entry::from).collect(), kept.saved_at)))
        }
        Some((partitions, _)) => {
            let (state, wanted) = (config.state.display(), config.partitions);
            wrong(format!("state {state} holds {partitions} partitions, and {wanted} are configured"))
        }
        None => wrong(format!("state {} is no relay's", config.state.display())),
    }
}

/// Puts the list on file; on a thread of its own, since a long one takes a while.
fn save(
    folder: &Path,
    most: u64,
    mark: String,
    version: Version,
    texts: &[Bytes],
    now: Time,
) -> io::Result<()> {
    let mut list = Update { index: version.index, whole: true, ..Update::default() };
    for text in texts.iter().filter(|text| !text.is_empty()) {
        // Each text of a partition begins with a comma.
        let mut entries = vec![b'['];
        entries.extend_from_slice(&text[1..]);
        entries.push(b']');
        let entries: Vec<Entry> = serde_json::from_slice(&entries)?;
        entries.iter().for_each(|entry| list.entries.push(&entry.into()));
    }
    memory::save_list(folder, allowance(most), mark, &list, now)
}

struct Keeper {
    hub: Rc<RefCell<Hub>>,
    clock: Clock,
    folder: PathBuf,
    /// Bytes that the file may take.
    most: u64,
    partitions: u32,
    /// The step that is on file.
    saved: u64,
    unwritten: bool,
}

impl Keeper {
    fn new(hub: Rc<RefCell<Hub>>, clock: Clock, config: &Config) -> Keeper {
        let (folder, most, partitions) = (config.state.clone(), config.bounds.file(), config.partitions);
        // What was read from there is on file.
        let saved = hub.borrow().store.step();
        Keeper { hub, clock, folder, most, partitions, saved, unwritten: false }
    }

    async fn save(&mut self) {
        let (whole, step) = {
            let mut hub = self.hub.borrow_mut();
            (hub.store.snapshot(), hub.store.step())
        };
        let Some(whole) = whole.filter(|_| step != self.saved) else { return };
        let (folder, most, now) = (self.folder.clone(), self.most, self.clock.now());
        let mark = mark(self.partitions, whole.version.epoch);
        let written =
            tokio::task::spawn_blocking(move || save(&folder, most, mark, whole.version, &whole.texts, now));
        let written = written.await.unwrap_or_else(|e| Err(io::Error::other(e)));
        // One line for as long as it lasts.
        match &written {
            Err(e) if !self.unwritten => log::warn!("the list cannot be kept: {e}"),
            _ => {}
        }
        self.unwritten = written.is_err();
        if written.is_ok() {
            self.saved = step;
        }
    }
}

async fn keep(keeper: Rc<Mutex<Keeper>>) {
    loop {
        sleep(EVERY).await;
        keeper.lock().await.save().await;
    }
}

/// Runs a relay within a `LocalSet` until `stop` is done. A configuration that comes anew moves its source,
/// and raises its epoch; what else has changed in it waits for the next start.
pub async fn run(
    config: Config,
    mut anew: watch::Receiver<Option<Config>>,
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
        hub.begin(version, &entries, saved_at);
    }
    hub.raise(config.epoch);
    let hub = Rc::new(RefCell::new(hub));
    let keeper = Rc::new(Mutex::new(Keeper::new(hub.clone(), clock, &config)));
    let seed = u64::from(crc32fast::hash(config.name.as_bytes()));
    let mut parts = JoinSet::new();
    let source = match &config.source {
        Source::Agent(address) => {
            let (source, from) = watch::channel(*address);
            parts.spawn_local(discovery::follow(
                hub.clone(),
                clock,
                from,
                0,
                false,
                (config.bounds.read(), seed),
            ));
            Some(source)
        }
        Source::Relays(relays) => {
            let (name, relays) = (config.name.clone(), relays.clone());
            parts.spawn_local(relays::follow(hub.clone(), clock, name, relays, (config.bounds.read(), seed)));
            None
        }
    };
    let at = listener.local_addr()?;
    parts.spawn_local(serve::listen(hub.clone(), listener, config.bounds.followers));
    parts.spawn_local(keep(keeper.clone()));
    log::info!("{} relays the list at {at}", config.name);
    let moved = async {
        loop {
            tokio::select! {
                changed = anew.changed() => {
                    if changed.is_err() {
                        std::future::pending::<()>().await;
                    }
                    let Some(config) = anew.borrow_and_update().clone() else { continue };
                    hub.borrow_mut().raise(config.epoch);
                    if let (Some(source), Source::Agent(address)) = (&source, &config.source) {
                        source.send_replace(*address);
                    }
                }
                () = sleep(LOOK) => {}
            }
            // Of relays it is asked beside the list.
            if let Some(source) = &source {
                if hub.borrow_mut().wants_whole() {
                    source.send_modify(|_| ());
                }
            }
        }
    };
    let ended = tokio::select! {
        () = stop => Ok(()),
        // Guards against a relay that seems to run with a part of it gone.
        _ = parts.join_next() => Err(io::Error::other("a part of the relay has failed")),
        () = moved => Ok(()),
    };
    // After one that is out: both write under the same name.
    if timeout(LAST, async { keeper.lock().await.save().await }).await.is_err() {
        log::warn!("the list was not kept in time");
    }
    log::info!("{} has ended", config.name);
    ended
}
