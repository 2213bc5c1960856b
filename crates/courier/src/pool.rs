//! The open connections to endpoints: which of them are idle, how many there may be, and why each is closed.

use std::collections::BTreeMap;
use std::fmt;
use std::time::{Duration, Instant};

use meadowhold::interface::Time;
use meadowhold::response_order::ResponseOrder;
use tokio::task::AbortHandle;

use crate::link::{HttpConnection, Rest};

/// At most one warning about surplus answers is logged in this time; their number is in the counts.
const WARNING_INTERVAL: Duration = Duration::from_secs(1);

/// Why a connection to an endpoint is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The decisions keep no idle connection to this endpoint.
    NotKept,
    /// It was idle for nearly as long as the endpoint keeps it open.
    IdleTimeout,
    /// Bytes came on it that answer no call.
    UnsolicitedBytes,
    ClosedByEndpoint,
    /// Its descriptor was needed for another connection.
    NoRoom,
    /// The endpoint has moved, restarted or left the list.
    EndpointChanged,
    /// The answer says that the endpoint closes it.
    AnswerCloses,
    AnswerUnreadable,
    /// It broke, or the endpoint closed it, before the call was answered.
    Broken,
    /// The call timed out.
    NoAnswer,
    WriteFailed,
    /// The answer came after a message of its call had expired.
    AnswerTooLate,
    /// The answer names messages of another call.
    ForeignAnswer,
    /// A message is called again whose call may still be out on it, and no two calls of a message may be out at once.
    CallMayBeOut,
    /// Its outcomes are final, and no idle connection is kept to this endpoint.
    Confirmed,
    /// Its endpoint has not answered since, so that its outcomes could not become final.
    Unproven,
}

impl CloseReason {
    /// An answer came that belongs to no call, or to another one than the one that was out.
    fn is_surplus_answer(self) -> bool {
        matches!(self, CloseReason::UnsolicitedBytes | CloseReason::ForeignAnswer)
    }
}

impl fmt::Display for CloseReason {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            CloseReason::NotKept => "no idle connection is kept to this endpoint",
            CloseReason::IdleTimeout => "idle timeout",
            CloseReason::UnsolicitedBytes => "unsolicited bytes",
            CloseReason::ClosedByEndpoint => "closed by the endpoint",
            CloseReason::NoRoom => "the connection limit is reached",
            CloseReason::EndpointChanged => "the endpoint has moved, restarted or left the list",
            CloseReason::AnswerCloses => "the answer closes it",
            CloseReason::AnswerUnreadable => "unreadable answer",
            CloseReason::Broken => "broken before the answer",
            CloseReason::NoAnswer => "no answer in time",
            CloseReason::WriteFailed => "the request could not be written",
            CloseReason::AnswerTooLate => "the answer came after a message had expired",
            CloseReason::ForeignAnswer => "the answer names messages of another call",
            CloseReason::CallMayBeOut => "a call may be out on it whose message is called again",
            CloseReason::Confirmed => "its outcomes are final",
            CloseReason::Unproven => "its outcomes could not be confirmed",
        })
    }
}

/// An open connection, and the calls that it has carried.
pub struct Connection {
    /// Identifies the connection in the log.
    pub number: u64,
    pub endpoint: usize,
    pub incarnation: u64,
    pub link: HttpConnection,
    pub calls: u32,
    pub order: ResponseOrder,
    /// When the last answer had been read to its end.
    answered_at: Option<Instant>,
    /// How long it had rested before the last call; zero for the first.
    pub rested: Duration,
    /// How long after an answer another one came that belongs to no call.
    surplus_delay: Option<Duration>,
}

impl Connection {
    pub fn is_reused(&self) -> bool {
        self.calls > 0
    }

    /// Notes that an answer has come now that belongs to no call. Returns how long after the answer before it came.
    pub fn note_surplus_answer(&mut self) -> Option<Duration> {
        self.surplus_delay = self.surplus_delay.or_else(|| Some(self.answered_at?.elapsed()));
        self.surplus_delay
    }
}

struct Idle {
    connection: Connection,
    since: Instant,
    /// It may carry further calls; otherwise it is only open until its outcomes are final.
    is_kept: bool,
    /// Waits for bytes, and for provisional outcomes to become final.
    watcher: Option<AbortHandle>,
}

impl Idle {
    fn stop_watcher(&mut self) {
        if let Some(watcher) = self.watcher.take() {
            watcher.abort();
        }
    }
}

/// What the owner of the pool has to do after connections were closed.
#[derive(Default)]
pub struct Released {
    /// How many connections were closed.
    pub connections: usize,
    /// Messages whose provisional outcomes cannot be confirmed any more, and why.
    pub revoked: Vec<(u64, CloseReason)>,
    /// How long after an answer those came that belong to no call.
    pub surplus_delays: Vec<Duration>,
}

/// Counts since the start of the process, for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectionCounts {
    pub opened: u64,
    /// Calls that went out on a connection that had carried an earlier one.
    pub reused: u64,
    /// Connections on which an answer came that belongs to no call, or to another one than the one that was out.
    pub surplus: u64,
}

pub struct Pool {
    /// Idle connections by the endpoint's incarnation, in the order in which they became idle.
    idle: BTreeMap<u64, Vec<Idle>>,
    /// Number of open connections, idle or in use, and of those that are being opened.
    open: usize,
    /// Endpoints close a connection that has been idle for this long.
    pub idle_timeout: Duration,
    next_number: u64,
    warned_at: Option<Instant>,
    released: Released,
    pub counts: ConnectionCounts,
}

impl Pool {
    pub fn new(idle_timeout: Duration) -> Pool {
        Pool {
            idle: BTreeMap::new(),
            open: 0,
            idle_timeout,
            next_number: 1,
            warned_at: None,
            released: Released::default(),
            counts: ConnectionCounts::default(),
        }
    }

    /// Counts a connection that is about to be opened. It is followed by `opened` or `not_opened`.
    pub fn reserve(&mut self) {
        self.open += 1;
    }

    pub fn opened(&mut self, endpoint: usize, incarnation: u64, link: HttpConnection) -> Connection {
        let number = self.next_number;
        self.next_number += 1;
        self.counts.opened += 1;
        Connection {
            number,
            endpoint,
            incarnation,
            link,
            calls: 0,
            order: ResponseOrder::default(),
            answered_at: None,
            rested: Duration::ZERO,
            surplus_delay: None,
        }
    }

    pub fn not_opened(&mut self) {
        self.open -= 1;
    }

    /// What has been released since the last time.
    pub fn take_released(&mut self) -> Released {
        std::mem::take(&mut self.released)
    }

    /// Closes a connection. Its provisional outcomes are revoked.
    pub fn close(&mut self, mut connection: Connection, reason: CloseReason) {
        self.open -= 1;
        self.released.connections += 1;
        let revoked = connection.order.take_all();
        let is_surplus = reason.is_surplus_answer();
        self.counts.surplus += u64::from(is_surplus);
        if is_surplus {
            self.released.surplus_delays.extend(connection.note_surplus_answer());
        }
        let level = if is_surplus { self.warning_level() } else { log::Level::Debug };
        log::log!(
            level,
            "connection {} to endpoint {} is closed after {} calls: {reason}; {} outcomes are revoked",
            connection.number,
            connection.endpoint,
            connection.calls,
            revoked.len()
        );
        self.released.revoked.extend(revoked.into_iter().map(|message| (message, reason)));
    }

    /// `Warn`, or `Debug` shortly after the last warning.
    fn warning_level(&mut self) -> log::Level {
        if self.warned_at.is_some_and(|at| at.elapsed() < WARNING_INTERVAL) {
            return log::Level::Debug;
        }
        self.warned_at = Some(Instant::now());
        log::Level::Warn
    }

    /// Removes an idle connection that is not taken for a call.
    fn remove(&mut self, incarnation: u64, place: usize) -> Option<Idle> {
        let idle = self.idle.get_mut(&incarnation)?;
        let mut removed = idle.remove(place);
        if idle.is_empty() {
            self.idle.remove(&incarnation);
        }
        removed.stop_watcher();
        Some(removed)
    }

    /// Closes all idle connections to an endpoint, or leaves them open until their outcomes are final.
    pub fn close_idle(&mut self, incarnation: u64) {
        for mut idle in self.idle.remove(&incarnation).unwrap_or_default() {
            if idle.connection.order.is_in_step() {
                idle.stop_watcher();
                self.close(idle.connection, CloseReason::NotKept);
            } else {
                idle.is_kept = false;
                self.idle.entry(incarnation).or_default().push(idle);
            }
        }
    }

    /// Keeps a connection for later calls, or only until its outcomes are final. `watcher` waits for that.
    pub fn keep(&mut self, mut connection: Connection, is_kept: bool, watcher: AbortHandle) {
        let since = Instant::now();
        connection.answered_at = Some(since);
        let idle = Idle { since, is_kept, watcher: Some(watcher), connection };
        self.idle.entry(idle.connection.incarnation).or_default().push(idle);
    }

    /// Why an idle connection cannot carry a call; `None` if it can. Idle connections are closed a twentieth of the
    /// timeout before the endpoint closes them.
    fn defect(&self, idle: &Idle) -> Option<CloseReason> {
        match idle.connection.link.rest() {
            Rest::Quiet if idle.since.elapsed() < self.idle_timeout - self.idle_timeout / 20 => None,
            Rest::Quiet => Some(CloseReason::IdleTimeout),
            Rest::Bytes => Some(CloseReason::UnsolicitedBytes),
            Rest::Ended => Some(CloseReason::ClosedByEndpoint),
        }
    }

    /// Closes the idle connections that can carry no further call, but for those that are watched.
    pub fn sweep(&mut self) {
        for (incarnation, idle) in std::mem::take(&mut self.idle) {
            for mut idle in idle {
                let defect = self.defect(&idle);
                match defect {
                    Some(reason) if idle.connection.order.is_in_step() => {
                        idle.stop_watcher();
                        self.close(idle.connection, reason);
                        continue;
                    }
                    Some(_) => idle.is_kept = false,
                    None => {}
                }
                self.idle.entry(incarnation).or_default().push(idle);
            }
        }
    }

    /// Takes an idle connection that has rested for a time, for a call: of those whose outcomes are all final the one that has
    /// rested longest, since a late copy of an answer has had the most time to show itself there; otherwise the one that was
    /// used last, since the others are nearer to having their outcomes final.
    pub fn take(&mut self, incarnation: u64, now: Time, rest: Duration) -> Option<Connection> {
        let in_step = self.place_in_step(incarnation, rest);
        let place = in_step.or_else(|| self.last_provisional_place(incarnation, now, rest))?;
        let Idle { mut connection, since, .. } = self.remove(incarnation, place)?;
        connection.rested = since.elapsed();
        self.counts.reused += 1;
        log::debug!(
            "connection {} is reused after {} calls and {} ms at rest, {}",
            connection.number,
            connection.calls,
            since.elapsed().as_millis(),
            if connection.order.is_in_step() { "in step" } else { "with provisional outcomes" }
        );
        Some(connection)
    }

    /// The place of the kept connection in step that has rested longest, if it has for this time. Those before it that can
    /// carry no call are closed.
    fn place_in_step(&mut self, incarnation: u64, rest: Duration) -> Option<usize> {
        loop {
            let idle = self.idle.get(&incarnation)?;
            let place = idle.iter().position(|one| one.is_kept && one.connection.order.is_in_step())?;
            let Some(reason) = self.defect(&idle[place]) else {
                return (idle[place].since.elapsed() >= rest).then_some(place);
            };
            let defective = self.remove(incarnation, place)?;
            self.close(defective.connection, reason);
        }
    }

    /// The place of the kept connection with provisional outcomes that was used last and may carry a further call. What
    /// becomes of the outcomes on those that cannot, their watchers decide.
    fn last_provisional_place(&self, incarnation: u64, now: Time, rest: Duration) -> Option<usize> {
        let is_reusable = |order: &ResponseOrder| !order.is_in_step() && order.is_reusable(now);
        let suits = |one: &Idle| {
            let is_rested = one.since.elapsed() >= rest;
            one.is_kept && is_rested && is_reusable(&one.connection.order) && self.defect(one).is_none()
        };
        self.idle.get(&incarnation)?.iter().rposition(suits)
    }

    /// Whether there may be one more connection.
    pub fn has_room(&self, limit: usize) -> bool {
        self.open < limit
    }

    /// Makes room for one more connection by closing the one that has been idle longest, if the limit is reached. One with
    /// provisional outcomes stays open: its messages would be called again, or be told of as failed, for want of room alone.
    pub fn make_room(&mut self, limit: usize) -> bool {
        if self.has_room(limit) {
            return true;
        }
        let oldest = self
            .idle
            .iter()
            .flat_map(|(&incarnation, idle)| {
                idle.iter().enumerate().map(move |(i, one)| (incarnation, i, one))
            })
            .filter(|(.., idle)| idle.connection.order.is_in_step())
            .min_by_key(|(.., idle)| idle.since);
        let Some((incarnation, place)) = oldest.map(|(incarnation, place, _)| (incarnation, place)) else {
            return false;
        };
        let removed = self.remove(incarnation, place);
        let closed = removed.map(|idle| self.close(idle.connection, CloseReason::NoRoom));
        closed.is_some()
    }

    /// The quiet idle connections with provisional outcomes, by incarnation and number.
    pub fn provisional(&self) -> Vec<(u64, u64)> {
        let all =
            self.idle.iter().flat_map(|(&incarnation, idle)| idle.iter().map(move |one| (incarnation, one)));
        let provisional = all.filter(|(_, one)| {
            !one.connection.order.is_in_step() && one.connection.link.rest() == Rest::Quiet
        });
        provisional.map(|(incarnation, one)| (incarnation, one.connection.number)).collect()
    }

    fn place_of(&self, incarnation: u64, number: u64) -> Option<usize> {
        self.idle.get(&incarnation)?.iter().position(|idle| idle.connection.number == number)
    }

    /// The watched connection of this number, while it is idle.
    pub fn watched(&mut self, incarnation: u64, number: u64) -> Option<&mut Connection> {
        let place = self.place_of(incarnation, number)?;
        Some(&mut self.idle.get_mut(&incarnation)?.get_mut(place)?.connection)
    }

    /// Takes a connection out of the pool for its watcher, which goes on.
    pub fn take_watched(&mut self, incarnation: u64, number: u64) -> Option<Connection> {
        let place = self.place_of(incarnation, number)?;
        let idle = self.idle.get_mut(&incarnation)?;
        idle[place].watcher = None;
        self.remove(incarnation, place).map(|idle| idle.connection)
    }

    /// Whether a watched connection is open only until its outcomes are final.
    pub fn is_retired(&self, incarnation: u64, number: u64) -> bool {
        let place = self.place_of(incarnation, number);
        place.is_some_and(|place| !self.idle[&incarnation][place].is_kept)
    }
}
