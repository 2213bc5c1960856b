//! A hollow courier: the control path of a real one, and nothing else. It follows the list and keeps it on file, takes
//! it up at its start, and speaks membership; there are no clients, no calls and no journal. Many run in one process,
//! each with an address and a folder of its own, for the scale run (`docs/scale.md`).

use std::cell::RefCell;
use std::fs;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use meadowhold::interface::{Time, SECOND};
use tokio::sync::{watch, Notify};
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, Instant};

use crate::config::Config;
use crate::discovery::{self, Listener};
use crate::entries::Update;
use crate::exchange::{duration, Clock, IN_FORCE};
use crate::members;
use crate::memory::{deployment, ListStore};
use crate::relays;

/// A real courier writes its file at the end of a turn. Here that waits, so that those who share the process have
/// their turns first: guards against a time in force that is the neighbours' writing.
const SAVE_DELAY: Duration = Duration::from_millis(50);
/// A list that came just after the file was written is on file so much later: the keeper writes once a second.
const SECOND_SAVE_DELAY: Time = SECOND + SECOND / 50;

/// What hears of the list in the place of an exchange.
pub struct Hollow {
    name: String,
    clock: Clock,
    store: ListStore,
    /// Version of the list that was taken up last, and the last by which a turn was taken.
    index: u64,
    index_in_force: u64,
    calls_held: bool,
    notify: Rc<Notify>,
}

impl Hollow {
    /// A turn: what was taken up is in force from here on.
    fn turn(&mut self) {
        if !self.calls_held && self.index != std::mem::replace(&mut self.index_in_force, self.index) {
            log::trace!(target: IN_FORCE, "list {} is in force at {}", self.index, self.name);
        }
    }
}

impl Listener for Hollow {
    fn apply_update(&mut self, list: &Update) {
        self.index = list.index;
        self.store.apply(list);
        self.notify.notify_one();
    }

    fn count_after(&self, changes: &Update) -> usize {
        self.store.count_after(changes)
    }

    fn hold_calls(&mut self) {
        self.calls_held = true;
    }

    fn release_calls(&mut self) {
        if std::mem::take(&mut self.calls_held) {
            self.notify.notify_one();
        }
    }
}

/// Runs a hollow courier within a `LocalSet` until `stop` is done. `before` puts whatever is to hear of the list in
/// the place of the hollow courier itself, which is handed to it.
///
/// # Errors
/// Where its folder cannot be had or its address for membership is taken.
pub async fn serve<L: Listener + 'static>(
    config: Config,
    discovery: watch::Receiver<SocketAddr>,
    stop: impl Future<Output = ()>,
    wrap_listener: impl FnOnce(Rc<RefCell<Hollow>>) -> Rc<RefCell<L>>,
) -> io::Result<()> {
    let Config { name, state, disk, list, known, decoded, peers, relays, .. } = config;
    let fleet = members::start(&name, peers.as_ref())?;
    fs::create_dir_all(&state)?;
    let clock = Clock::new();
    let mut store = ListStore::new(&state, disk, deployment(&decoded));
    // As a real one: the configuration's version, and not the kept one.
    let index = known.index;
    let initial = store.recall(known, clock.now(), |_| false);
    let notify = Rc::new(Notify::new());
    let hollow =
        Hollow { name: name.clone(), clock, store, index: 0, index_in_force: 0, calls_held: false, notify };
    let hollow = Rc::new(RefCell::new(hollow));
    let (push, seed) = (!decoded.settings.poll_list, decoded.settings.seed);
    hollow.borrow_mut().apply_update(&initial);
    let mut tasks = JoinSet::new();
    tasks.spawn_local(run_turns(hollow.clone(), duration(decoded.settings.timer_resolution)));
    let (listener, limits) = (wrap_listener(hollow), (list, seed));
    match relays {
        None => tasks.spawn_local(discovery::follow(listener, clock, discovery, index, push, limits)),
        Some(relays) => tasks.spawn_local(relays::follow_for(listener, clock, name, relays, index, limits)),
    };
    if let Some(fleet) = &fleet {
        tasks.spawn_local(fleet.clone().follow());
    }
    tokio::select! {
        () = stop => {}
        // Guards against a courier that seems to run with a part of it gone.
        _ = tasks.join_next() => return Err(io::Error::other("a part of the courier has failed")),
    }
    if let Some(fleet) = fleet {
        fleet.leave().await;
    }
    Ok(())
}

/// A turn when something was told, no more often than the settings say, and then the file.
async fn run_turns(hollow: Rc<RefCell<Hollow>>, resolution: Duration) {
    let notify = hollow.borrow().notify.clone();
    loop {
        notify.notified().await;
        sleep(resolution).await;
        hollow.borrow_mut().turn();
        let mut write_at = Instant::now() + SAVE_DELAY;
        // Twice, for the keeper may just have written; what is told meanwhile has its turn at once.
        for _ in 0..2 {
            loop {
                tokio::select! {
                    () = sleep_until(write_at) => break,
                    () = notify.notified() => {
                        sleep(resolution).await;
                        hollow.borrow_mut().turn();
                    }
                }
            }
            let mut hollow = hollow.borrow_mut();
            let now = hollow.clock.now();
            hollow.store.save(now);
            write_at = Instant::now() + duration(SECOND_SAVE_DELAY);
        }
    }
}
