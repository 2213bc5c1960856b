//! What goes into the decisions and what comes out: plain types, nothing of any protocol.
//! Times are whole tenths of a millisecond on the caller's clock; indices come from `door`.

pub type Time = u64;
/// Tenths of a millisecond in a second.
pub const SECOND: Time = 10_000;

/// What a repeat of a mail would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Redeliverable,
    Tagged,
    OnceOnly,
}

#[derive(Clone, Debug, PartialEq)]
pub struct QueueClass {
    pub effect: Effect,
    /// Tagged: only endpoints in the zone of the first connect drop a repeat.
    pub by_zone: bool,
    /// Tagged: for how long a repeat is dropped, from the send of the first connect that may have run.
    pub window: Time,
    pub target: Time,
    pub lifetime: Time,
    pub importance: f64,
    /// Share of the importance that is left at the end of the lifetime.
    pub late_worth: f64,
    pub in_turn: bool,
}

impl QueueClass {
    /// Importance that a mail earns when relayed so long past its target delay, and what it then loses a second.
    pub fn worth(&self, by_half: bool, late: Time) -> (f64, f64) {
        let second = SECOND as f64;
        if by_half {
            let target = self.target.max(1) as f64;
            let left = self.importance * 0.5f64.powf(late as f64 / target).max(self.late_worth);
            (left, left * std::f64::consts::LN_2 / target * second)
        } else {
            let over = self.lifetime.saturating_sub(self.target).max(1) as f64;
            let slope = self.importance * (1.0 - self.late_worth) / over * second;
            (self.importance - slope * late as f64 / second, slope)
        }
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct Kind {
    /// Mails in one call at most.
    pub batch: usize,
    /// Its endpoints are routes apart: each with its own limit, waits and outages.
    pub apart: bool,
}

/// Read at the start of a courier, and whenever others are in force (`Input::Settings`).
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    pub seed: u64,
    pub couriers: usize,
    /// This courier's number among them, from 0.
    pub me: usize,
    pub slots: usize,
    pub room: usize,
    pub max_connects: usize,
    pub resolution: Time,
    pub connect_timeout: Time,
    /// The far side closes a connection left idle for so long.
    pub keep_idle: Time,
    /// Price of a new connection, as part of a mail's worth.
    pub handshake_price: f64,
    /// Longest time to come back that a client heeds; 0 where none can be named.
    pub max_pause: Time,
    /// Couriers may send each other notes.
    pub may_tell: bool,
    /// The list must be asked for.
    pub ask_list: bool,
    pub ask_within: Time,
    pub cold_from: f64,
    pub cold: Time,
    pub tip_multiple: f64,
    pub overload_for: Time,
    pub turn_gap: Time,
    /// Late importance halves with each further target delay; else it falls evenly.
    pub by_half: bool,
    pub rates_listed: bool,
    /// Fee of a connect by the zone of a route apart.
    pub fees: Vec<f64>,
    /// At least one of each: whoever decodes the settings refuses fewer.
    pub kinds: Vec<Kind>,
    pub classes: Vec<QueueClass>,
}

impl Settings {
    /// The highest importance, the shortest lifetime, `least` at least, and the shortest target delay of the classes.
    pub fn extremes(&self, least: Time) -> (f64, Time, Time) {
        let top = self.classes.iter().map(|c| c.importance).fold(0.0, f64::max);
        let lifetime = self.classes.iter().map(|c| c.lifetime).min().unwrap_or(least).max(least);
        (top, lifetime, self.classes.iter().map(|c| c.target).min().unwrap_or(SECOND))
    }

    /// These, with the classes and kinds behind them that only the settings held so far have numbers for.
    pub fn before(mut self, mut held: Settings) -> Settings {
        self.classes.extend(held.classes.drain(self.classes.len().min(held.classes.len())..));
        self.kinds.extend(held.kinds.drain(self.kinds.len().min(held.kinds.len())..));
        self
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Life {
    #[default]
    Ready,
    Draining,
    Gone,
}

/// What couriers tell each other of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum News {
    /// It refused a call, and told to wait so long.
    Full(Time),
    Out,
    Back,
}

/// How a connect ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Relayed,
    Error,
    Refused,
    Silent,
    Unreached,
    Broken,
    /// An answer came, and cannot be read.
    Spoilt,
    CalledOff,
    Unsent,
}

impl Outcome {
    /// It proves that the connect never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Refused | Outcome::Unreached | Outcome::Unsent)
    }

    /// The connect may be running still.
    pub fn may_run_on(self) -> bool {
        matches!(self, Outcome::Silent | Outcome::Broken | Outcome::CalledOff)
    }
}

/// What a destination told of its limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Report {
    pub left: f64,
    pub limit: f64,
}

/// An entry of the list.
#[derive(Clone, Debug, PartialEq)]
pub struct Listed {
    pub endpoint: usize,
    pub dest: usize,
    pub zone: usize,
    pub kind: usize,
    pub life: Life,
    pub rate: f64,
}

/// A mail that is taken on, or that an earlier process of this courier took on and still owes its end.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Taken {
    pub mail: usize,
    pub dest: usize,
    pub class: usize,
    pub key: Option<usize>,
    /// When it was handed in; its time may be shorter than its queue class has it.
    pub since: Time,
    pub due: Time,
    /// Connects used by earlier processes, and the send and zone of the first that may have run.
    pub connects: usize,
    pub ran: Option<(Time, usize)>,
}

/// The outcome of one mail's connect.
#[derive(Clone, Debug, PartialEq)]
pub struct Ended {
    pub mail: usize,
    pub outcome: Outcome,
    /// The mail has its final answer.
    pub over: bool,
    /// How long the destination wants to be left alone, if it refused.
    pub wait: Time,
    pub took: Time,
    /// It went out on a connection that was kept from an earlier call.
    pub kept: bool,
    pub report: Option<Report>,
}

/// A planned end of this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ending {
    /// Calls begin until then.
    pub calls_until: Time,
    /// The next process begins its own no sooner.
    pub next_from: Time,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// Entries follow; `whole`: what they don't name until `ListEnd` is gone.
    ListBegin {
        whole: bool,
    },
    Listed(Listed),
    ListEnd,
    ListFailed,
    Taken(Taken),
    /// A connect of a mail of this key may have been running at this time: it was out when the courier's
    /// last process ended, or ended without an answer shortly before.
    Rested {
        key: usize,
        since: Time,
    },
    /// The client is gone: nothing more is owed.
    Hangup {
        mail: usize,
    },
    Ended(Ended),
    /// A note from another courier; it may be late, and others may be lost.
    Heard {
        endpoint: usize,
        news: News,
    },
    /// From here on all decisions go by these. Classes, kinds and zones keep their numbers and new ones follow; numbers
    /// beyond the new lists mean what they meant. The same kinds are apart, and the list is told in the same way.
    Settings(Box<Settings>),
    /// The process was asked to end.
    Ending(Ending),
    Woken,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Connects of one round to one endpoint travel as one call, up to the kind's batch.
    Connect {
        mail: usize,
        endpoint: usize,
        timeout: Time,
        /// Its call must not go out on a connection that was kept.
        fresh: bool,
    },
    /// Final: handed back, with a time to come back (0: none named).
    Defer {
        mail: usize,
        pause: Time,
    },
    /// Final: given up, with no promise.
    Bounce {
        mail: usize,
    },
    WatchList,
    /// A note to all other couriers.
    Tell {
        endpoint: usize,
        news: News,
    },
    /// Close the idle connections to this endpoint.
    LetGo(usize),
    /// Nothing more will be said of this index: it may be reused.
    FreeMail(usize),
    FreeKey(usize),
    FreeEndpoint(usize),
}
