//! The open connections of clients, in the order in which they are closed when room is short.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

/// A connection is not closed for want of room before its client had this time to send a command.
pub const MIN_COMMAND_TIME: Duration = Duration::from_millis(20);
/// How many connections without an answer are evicted together.
const EVICTED_AT_ONCE: usize = 4;

/// Which connections are evicted first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EvictionClass {
    /// Shut down on this side already. If these came last and idle clients kept theirs open, every idle client would be
    /// closed before the first descriptor is free.
    TurnedAway,
    /// Never answered, with a command that is read in part.
    Beginning,
    /// Never answered, and nothing was read.
    Silent,
    /// Answered before, with a further command that is read in part.
    Continuing,
    Idle,
}

impl EvictionClass {
    const ALL: [EvictionClass; 5] = [
        EvictionClass::TurnedAway,
        EvictionClass::Beginning,
        EvictionClass::Silent,
        EvictionClass::Continuing,
        EvictionClass::Idle,
    ];

    /// Whether its clients are given time to send a command.
    fn is_given_time(self) -> bool {
        !matches!(self, EvictionClass::TurnedAway | EvictionClass::Idle)
    }
}

/// Identifies a connection and its place in the order: its class, and a count of when it came into that class.
pub type EvictionKey = (EvictionClass, u64);

struct OpenConnection {
    closed: Rc<Notify>,
    since: Instant,
}

/// Open connections by their place in the order of eviction.
#[derive(Default)]
pub struct OpenConnections {
    by_place: BTreeMap<EvictionKey, OpenConnection>,
    last_place: u64,
}

impl OpenConnections {
    /// Puts a connection at the end of a class, and returns its key. `before` is its key so far.
    pub fn place(
        &mut self,
        before: Option<EvictionKey>,
        class: EvictionClass,
        closed: &Rc<Notify>,
    ) -> EvictionKey {
        before.and_then(|key| self.by_place.remove(&key));
        self.last_place += 1;
        let key = (class, self.last_place);
        self.by_place.insert(key, OpenConnection { closed: closed.clone(), since: Instant::now() });
        key
    }

    pub fn remove(&mut self, key: EvictionKey) {
        self.by_place.remove(&key);
    }

    /// Tells the connections to close that are next in the order, and returns how many of them are idle and how many are
    /// not. None is told if all that come before the idle ones still have time.
    pub fn evict(&mut self) -> Evicted {
        let mut evicted = Evicted::default();
        while evicted.unserved < EVICTED_AT_ONCE {
            let Some(key) = self.next(Instant::now()) else { break };
            let is_idle = key.0 == EvictionClass::Idle;
            if is_idle && evicted.unserved > 0 {
                break;
            }
            if let Some(connection) = self.by_place.remove(&key) {
                connection.closed.notify_one();
            }
            if is_idle {
                evicted.idle = 1;
                break;
            }
            evicted.unserved += 1;
        }
        evicted
    }

    fn next(&self, now: Instant) -> Option<EvictionKey> {
        let mut has_young = false;
        for class in EvictionClass::ALL {
            let first = self.by_place.range((class, 0)..).next().filter(|(key, _)| key.0 == class);
            let Some((&key, connection)) = first else { continue };
            if class == EvictionClass::Idle && has_young {
                return None;
            }
            if !class.is_given_time() || now >= connection.since + MIN_COMMAND_TIME {
                return Some(key);
            }
            has_young = true;
        }
        None
    }
}

/// How many connections were told to close.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Evicted {
    pub idle: usize,
    pub unserved: usize,
}
