//! A hollow courier: only the control path of a real one. It follows the list, saves it to disk, loads it at the start,
//! and takes part in membership, but has no clients, calls or journal. For the scale run (`docs/scale.md`), many of
//! them run in one process, each with its own address and folder.

use std::cell::RefCell;
use std::fs;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::{watch, Notify};
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, Instant};

use crate::config::Config;
use crate::discovery::{self, Listener};
use crate::entries::Update;
use crate::exchange::{to_duration, Clock, IN_FORCE};
use crate::members;
use crate::memory::{deployment, ListStore};
use crate::relays;

/// Delay between a turn and saving the list. A real courier saves before the list is in force; here the other couriers in
/// the process take their turns first, so that the measured time until a list is in force does not include their writes.
const SAVE_DELAY: Duration = Duration::from_millis(50);

/// Receives the list in place of an exchange.
pub struct Hollow {
    name: String,
    clock: Clock,
    store: ListStore,
    /// Version of the list that was applied last, and the version in force since the last turn.
    index: u64,
    index_in_force: u64,
    calls_held: bool,
    notify: Rc<Notify>,
}

impl Hollow {
    /// One turn: the applied list is in force from now on.
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

/// Runs a hollow courier within a `LocalSet` until `stop` completes. `wrap_listener` is given the hollow courier and
/// returns the listener that receives the list in its place.
///
/// # Errors
/// Fails if its folder cannot be created or its membership address is in use.
pub async fn serve<L: Listener + 'static>(
    config: Config,
    discovery: watch::Receiver<SocketAddr>,
    stop: impl Future<Output = ()>,
    wrap_listener: impl FnOnce(Rc<RefCell<Hollow>>) -> Rc<RefCell<L>>,
) -> io::Result<()> {
    let Config { name, state, disk, list_limits, known, decoded, peers, relays, .. } = config;
    let clock = Clock::new();
    let membership = members::start(&name, peers.as_ref(), clock)?;
    fs::create_dir_all(&state)?;
    let mut store = ListStore::new(&state, disk, deployment(&decoded));
    // As in a real courier: the version in the configuration, not the saved one.
    let index = known.index;
    let initial = store.recall(known, clock.now(), |_| false);
    let notify = Rc::new(Notify::new());
    let hollow =
        Hollow { name: name.clone(), clock, store, index: 0, index_in_force: 0, calls_held: false, notify };
    let hollow = Rc::new(RefCell::new(hollow));
    let (push, seed) = (!decoded.settings.poll_list, decoded.settings.seed);
    hollow.borrow_mut().apply_update(&initial);
    let mut tasks = JoinSet::new();
    tasks.spawn_local(run_turns(hollow.clone(), to_duration(decoded.settings.timer_resolution)));
    let (listener, limits) = (wrap_listener(hollow), (list_limits, seed));
    match relays {
        None => tasks.spawn_local(discovery::follow(listener, clock, discovery, index, push, limits)),
        Some(relays) => tasks.spawn_local(relays::follow_for(listener, clock, name, relays, index, limits)),
    };
    if let Some(membership) = &membership {
        tasks.spawn_local(membership.clone().run());
    }
    tokio::select! {
        () = stop => {}
        // If one task ends, the courier must not appear to run on without it.
        _ = tasks.join_next() => return Err(io::Error::other("a task of the courier ended unexpectedly")),
    }
    if let Some(membership) = membership {
        membership.leave().await;
    }
    Ok(())
}

/// Takes a turn after each notification, at the timer resolution of the settings at most, and then saves the list.
async fn run_turns(hollow: Rc<RefCell<Hollow>>, resolution: Duration) {
    let notify = hollow.borrow().notify.clone();
    loop {
        notify.notified().await;
        sleep(resolution).await;
        hollow.borrow_mut().turn();
        let save_at = Instant::now() + SAVE_DELAY;
        // Notifications that arrive meanwhile get their turn at once.
        loop {
            tokio::select! {
                () = sleep_until(save_at) => break,
                () = notify.notified() => {
                    sleep(resolution).await;
                    hollow.borrow_mut().turn();
                }
            }
        }
        let mut hollow = hollow.borrow_mut();
        let now = hollow.clock.now();
        hollow.store.save(now);
    }
}
