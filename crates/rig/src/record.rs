//! What was seen from outside, in the order in which it was seen. The judge reads nothing else.

use std::sync::Mutex;
use std::time::Instant;

use crate::day::Link;

/// A hand-in: a mail of the schedule, and which of its tries. Each has an id of its own.
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

/// What a client was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientAnswer {
    Taken,
    Busy,
    Failed,
    /// No answer in the client's time.
    None,
    /// The connection ended after the whole request had been written, without an answer.
    Closed,
}

/// What an endpoint made of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallResult {
    Relayed,
    /// 500: it may have run, and counts as having run.
    Failed,
    /// 429, with the wait in milliseconds.
    Throttled(u64),
    /// 503.
    Busy,
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
    /// SIGTERM was sent.
    TermSent,
    /// Killed or ended.
    Ended,
    Stopped,
    Continued,
    FolderLost,
    /// Ended by itself when nobody had asked.
    Crashed,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Observation {
    Answered {
        hand: HandIn,
        courier: usize,
        answer: ClientAnswer,
    },
    /// No courier could be reached in the mail's time.
    NeverOffered {
        mail: u32,
    },
    /// A call's last byte has come; what becomes of it is settled at that moment.
    Called {
        call: u64,
        link: u64,
        courier: usize,
        endpoint: usize,
        hands: Vec<HandIn>,
        result: CallResult,
    },
    /// Its answer was written.
    Replied {
        call: u64,
    },
    /// A call for a mail that nobody handed in, or in a form that is not the protocol's.
    MalformedCall {
        endpoint: usize,
    },
    Notice {
        hand: HandIn,
        dead: bool,
    },
    Connected {
        endpoint: usize,
    },
    /// An endpoint refuses connections, or is back and cold.
    Outage {
        endpoint: usize,
        back: bool,
    },
    /// The list service was asked, for the list or a watch; whether it had nothing to give.
    ListRequest {
        agent: usize,
        refused: bool,
    },
    /// A courier was told of an endpoint's status.
    ListSent {
        courier: usize,
        endpoint: usize,
        drains: bool,
    },
    Process {
        courier: usize,
        what: Process,
    },
    /// A courier's links of a kind are at fault, or no longer.
    LinksChanged {
        courier: usize,
        link: Link,
        faulty: bool,
    },
}

#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    /// Microseconds from the start of the day.
    pub at: u64,
    pub seen: Observation,
}

pub struct Record {
    start: Instant,
    events: Mutex<Vec<Event>>,
}

impl Record {
    pub fn new(start: Instant) -> Record {
        Record { start, events: Mutex::default() }
    }

    /// Microseconds from the start of the day.
    pub fn now(&self) -> u64 {
        self.start.elapsed().as_micros() as u64
    }

    pub fn add(&self, seen: Observation) {
        let mut events = lock(&self.events);
        // Under the lock, so that times never run backwards.
        events.push(Event { at: self.now(), seen });
    }

    pub fn read<T>(&self, read: impl FnOnce(&[Event]) -> T) -> T {
        read(&lock(&self.events))
    }
}

/// A lock that was poisoned is used all the same: whoever broke it has ended the run already.
pub fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}
