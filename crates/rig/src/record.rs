//! The record of a run: everything observed from outside the couriers, in order of observation. The judge's main input.

use std::collections::HashSet;
use std::sync::Mutex;
use std::time::Instant;

use crate::day::Link;

/// One hand-in: a mail of the schedule and the number of the attempt. Each hand-in has its own id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct HandIn {
    pub mail: u32,
    pub attempt: u32,
}

impl HandIn {
    pub fn id(self) -> String {
        format!("{:08x}{:08x}", self.mail, self.attempt)
    }

    pub fn read(id: &str) -> Option<HandIn> {
        let (mail, attempt) = (id.get(..8)?, id.get(8..).filter(|rest| rest.len() == 8)?);
        let number = |text| u32::from_str_radix(text, 16).ok();
        Some(HandIn { mail: number(mail)?, attempt: number(attempt)? })
    }
}

/// The courier's answer to a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientAnswer {
    Taken,
    Busy,
    Failed,
    /// The request could not be written, or no answer came before the client's time-out.
    None,
    /// The connection ended after the whole request had been written, without an answer.
    Closed,
}

/// What an endpoint did with a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallResult {
    Relayed,
    /// 500: it may have taken effect, and counts as if it had.
    Failed,
    /// 429 with a wait in milliseconds.
    Throttled(u64),
    /// 503.
    Busy,
    /// 410: the mail was over before the call.
    Over,
}

impl CallResult {
    pub fn took_effect(self) -> bool {
        matches!(self, CallResult::Relayed | CallResult::Failed)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Process {
    Started,
    Ready,
    TermSent,
    /// Was killed, or ended after SIGTERM.
    Ended,
    Stopped,
    Continued,
    FolderLost,
    /// Ended, or did not become ready, without having been told to end.
    Crashed,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Observation {
    Answered {
        hand: HandIn,
        courier: usize,
        answer: ClientAnswer,
    },
    /// The courier did not take the mail within the mail's lifetime.
    NeverOffered {
        mail: u32,
    },
    /// A call has arrived completely; its result is decided at that moment.
    Called {
        call: u64,
        link: u64,
        courier: usize,
        endpoint: usize,
        hands: Vec<HandIn>,
        result: CallResult,
    },
    /// The answer to a call is being written.
    Replied {
        call: u64,
    },
    /// A connection that has carried calls has ended.
    Disconnected {
        link: u64,
    },
    /// A call that does not follow the protocol, or that has an id of the wrong form.
    MalformedCall {
        endpoint: usize,
    },
    /// A notice arrived. `dead`: its result is `dead` and not `bounced`. After `bounced` the client may hand the mail in
    /// again.
    Notice {
        hand: HandIn,
        dead: bool,
    },
    /// A client has closed its connection under a request without reading the answer, and sends it once more.
    BrokenOff {
        hand: HandIn,
    },
    /// A client has withdrawn a mail that was taken: nothing more is owed for it.
    Withdrawn {
        hand: HandIn,
    },
    Connected {
        endpoint: usize,
    },
    /// An endpoint has gone down, or is back up and cold.
    Outage {
        endpoint: usize,
        back: bool,
    },
    /// A request for the list or a watch, and whether the agent refused it.
    ListRequest {
        agent: usize,
        refused: bool,
    },
    /// A courier was sent an endpoint's entry; `drains`: as draining or deleted.
    ListSent {
        courier: usize,
        endpoint: usize,
        drains: bool,
    },
    Process {
        courier: usize,
        what: Process,
    },
    /// From now on some of the answers to a courier are copied, missing or out of order.
    AnswersSpoilt {
        courier: usize,
        link: Link,
    },
    /// A fault of a courier's links of one kind has begun or ended.
    LinksChanged {
        courier: usize,
        link: Link,
        faulty: bool,
    },
}

#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    /// Microseconds since the start of the record.
    pub at: u64,
    pub observation: Observation,
}

pub struct Record {
    start: Instant,
    events: Mutex<Vec<Event>>,
    /// Mails with a notice, and withdrawn ones.
    over: Mutex<HashSet<HandIn>>,
}

impl Record {
    pub fn new(start: Instant) -> Record {
        Record { start, events: Mutex::default(), over: Mutex::default() }
    }

    /// Microseconds since the start of the record.
    pub fn now(&self) -> u64 {
        self.start.elapsed().as_micros() as u64
    }

    pub fn add(&self, observation: Observation) {
        if let Observation::Notice { hand, .. } | Observation::Withdrawn { hand } = observation {
            lock(&self.over).insert(hand);
        }
        let mut events = lock(&self.events);
        // Read the clock while holding the lock, so that times in the record never decrease.
        events.push(Event { at: self.now(), observation });
    }

    /// Whether a mail has ended by a notice or was withdrawn.
    pub fn is_over(&self, hand: HandIn) -> bool {
        lock(&self.over).contains(&hand)
    }

    pub fn read<T>(&self, read: impl FnOnce(&[Event]) -> T) -> T {
        read(&lock(&self.events))
    }
}

/// Locks a mutex and ignores poisoning: the panic that poisoned it has already ended the run.
pub fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}
