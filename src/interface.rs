//! What goes into the decisions and what comes out: plain types, nothing of any protocol.
//! Times are whole tenths of a millisecond on the caller's clock; indices come from `interner`.

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
    pub dedup_by_zone: bool,
    /// Tagged: for how long a repeat is dropped, from the send of the first connect that may have run.
    pub dedup_window: Time,
    pub target_delay: Time,
    pub lifetime: Time,
    pub importance: f64,
    /// Share of the importance that is left at the end of the lifetime.
    pub expiry_importance: f64,
    pub ordered: bool,
}

impl QueueClass {
    /// Importance that a mail earns when relayed so long past its target delay, and what it then loses a second.
    pub fn decayed_importance(&self, half_life_decay: bool, overdue: Time) -> (f64, f64) {
        let second = SECOND as f64;
        if half_life_decay {
            let target = self.target_delay.max(1) as f64;
            let left = self.importance * 0.5f64.powf(overdue as f64 / target).max(self.expiry_importance);
            (left, left * std::f64::consts::LN_2 / target * second)
        } else {
            let over = self.lifetime.saturating_sub(self.target_delay).max(1) as f64;
            let slope = self.importance * (1.0 - self.expiry_importance) / over * second;
            (self.importance - slope * overdue as f64 / second, slope)
        }
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct Kind {
    /// Mails in one call at most.
    pub max_batch: usize,
    /// Its endpoints are routes apart: each with its own limit, waits and outages.
    pub per_endpoint_limits: bool,
}

/// Read at the start of a courier, and whenever others are in force (`Input::Settings`).
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    pub seed: u64,
    pub couriers: usize,
    /// This courier's number among them, from 0.
    pub courier_index: usize,
    pub slots: usize,
    pub max_mails: usize,
    pub max_connects: usize,
    pub timer_resolution: Time,
    pub connection_timeout: Time,
    /// The far side closes a connection left idle for so long.
    pub idle_timeout: Time,
    /// Price of a new connection, as part of a mail's worth.
    pub handshake_cost: f64,
    /// Longest time to come back that a client heeds; 0 where none can be named.
    pub max_retry_after: Time,
    /// Couriers may send each other notes.
    pub peer_notes: bool,
    /// The list must be asked for.
    pub poll_list: bool,
    pub max_poll_delay: Time,
    pub cold_capacity: f64,
    pub warm_up: Time,
    pub overload_multiple: f64,
    pub overload_duration: Time,
    pub ordering_gap: Time,
    /// Late importance halves with each further target delay; else it falls evenly.
    pub half_life_decay: bool,
    pub list_has_rates: bool,
    /// Fee of a connect by the zone of a route apart.
    pub zone_fees: Vec<f64>,
    /// At least one of each: whoever decodes the settings refuses fewer.
    pub kinds: Vec<Kind>,
    pub classes: Vec<QueueClass>,
}

impl Settings {
    /// The highest importance, the shortest lifetime, `least` at least, and the shortest target delay of the classes.
    pub fn extremes(&self, least: Time) -> (f64, Time, Time) {
        let top = self.classes.iter().map(|c| c.importance).fold(0.0, f64::max);
        let lifetime = self.classes.iter().map(|c| c.lifetime).min().unwrap_or(least).max(least);
        (top, lifetime, self.classes.iter().map(|c| c.target_delay).min().unwrap_or(SECOND))
    }

    /// These, with the classes and kinds behind them that only the settings held so far have numbers for.
    pub fn extended_from(mut self, mut previous: Settings) -> Settings {
        self.classes.extend(previous.classes.drain(self.classes.len().min(previous.classes.len())..));
        self.kinds.extend(previous.kinds.drain(self.kinds.len().min(previous.kinds.len())..));
        self
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointStatus {
    #[default]
    Ready,
    Draining,
    Removed,
}

/// What couriers tell each other of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerNote {
    /// It refused a call, and told to wait so long.
    Refusing(Time),
    Down,
    Recovered,
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
    pub fn may_still_run(self) -> bool {
        matches!(self, Outcome::Silent | Outcome::Broken | Outcome::CalledOff)
    }
}

/// What a destination told of its limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitReport {
    pub remaining: f64,
    pub limit: f64,
}

/// An entry of the list.
#[derive(Clone, Debug, PartialEq)]
pub struct ListEntry {
    pub endpoint: usize,
    pub destination: usize,
    pub zone: usize,
    pub kind: usize,
    pub status: EndpointStatus,
    pub rate: f64,
}

/// A mail that is taken on, or that an earlier process of this courier took on and still owes its end.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AcceptedMail {
    pub mail: usize,
    pub destination: usize,
    pub class: usize,
    pub key: Option<usize>,
    /// When it was handed in; its time may be shorter than its queue class has it.
    pub submitted_at: Time,
    pub deadline: Time,
    /// Connects used by earlier processes, and the send and zone of the first that may have run.
    pub connects_used: usize,
    pub first_run: Option<(Time, usize)>,
}

/// The outcome of one mail's connect.
#[derive(Clone, Debug, PartialEq)]
pub struct ConnectResult {
    pub mail: usize,
    pub outcome: Outcome,
    /// The mail has its final answer.
    pub finished: bool,
    /// How long the destination wants to be left alone, if it refused.
    pub retry_after: Time,
    pub duration: Time,
    /// It went out on a connection that was kept from an earlier call.
    pub reused_connection: bool,
    pub limit_report: Option<LimitReport>,
}

/// A planned end of this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shutdown {
    /// Calls begin until then.
    pub calls_until: Time,
    /// The next process begins its own no sooner.
    pub successor_from: Time,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// Entries follow; `complete`: what they don't name until `ListEnd` is gone.
    ListBegin {
        complete: bool,
    },
    ListEntry(ListEntry),
    ListEnd,
    ListFailed,
    AcceptedMail(AcceptedMail),
    /// A connect of a mail of this key may have been running at this time: it was out when the courier's
    /// last process ended, or ended without an answer shortly before.
    KeyInFlight {
        key: usize,
        at: Time,
    },
    /// The client is gone: nothing more is owed.
    ClientGone {
        mail: usize,
    },
    ConnectResult(ConnectResult),
    /// A note from another courier; it may be late, and others may be lost.
    PeerNote {
        endpoint: usize,
        note: PeerNote,
    },
    /// From here on all decisions go by these. Classes, kinds and zones keep their numbers and new ones follow; numbers
    /// beyond the new lists mean what they meant. The same kinds are apart, and the list is told in the same way.
    Settings(Box<Settings>),
    /// The process was asked to end.
    Shutdown(Shutdown),
    Wakeup,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Connects of one round to one endpoint travel as one call, up to the kind's batch.
    Connect {
        mail: usize,
        endpoint: usize,
        timeout: Time,
        /// Its call must not go out on a connection that was kept.
        new_connection: bool,
    },
    /// Final: handed back, with a time to come back (0: none named).
    Defer {
        mail: usize,
        retry_after: Time,
    },
    /// Final: given up, with no promise.
    Bounce {
        mail: usize,
    },
    RequestList,
    /// A note to all other couriers.
    SendNote {
        endpoint: usize,
        note: PeerNote,
    },
    /// Close the idle connections to this endpoint.
    CloseIdle(usize),
    /// Nothing more will be said of this index: it may be reused.
    FreeMail(usize),
    FreeKey(usize),
    FreeEndpoint(usize),
}
