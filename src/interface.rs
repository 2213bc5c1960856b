//! Inputs and outputs of the decisions: plain types, independent of any protocol.
//!
//! Times are whole tenths of a millisecond on the caller's clock. Indices come from `interner`.

pub type Time = u64;
/// Tenths of a millisecond in a second.
pub const SECOND: Time = 10_000;

/// The effect of delivering a mail more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// None: it may be delivered again at any time.
    Redeliverable,
    /// Endpoints drop a repeat by its key, within a window.
    Tagged,
    /// It must not be delivered again once it may have run.
    OnceOnly,
}

#[derive(Clone, Debug, PartialEq)]
pub struct QueueClass {
    pub effect: Effect,
    /// Tagged: only endpoints in the zone of the first connect drop a repeat.
    pub dedup_by_zone: bool,
    /// Tagged: how long a repeat is dropped, counted from the send of the first connect that may have run.
    pub dedup_window: Time,
    /// Delay up to which a mail keeps its whole importance.
    pub target_delay: Time,
    pub lifetime: Time,
    pub importance: f64,
    /// Share of the importance that is left at the end of the lifetime.
    pub expiry_importance: f64,
    /// Mails of the same key go one after the other.
    pub ordered: bool,
}

impl QueueClass {
    /// Importance of a mail that is relayed so long past its target delay, and the importance that it loses
    /// per second from then on.
    pub fn decayed_importance(&self, half_life_decay: bool, overdue: Time) -> (f64, f64) {
        let second = SECOND as f64;
        if half_life_decay {
            let target = self.target_delay.max(1) as f64;
            let remaining =
                self.importance * 0.5f64.powf(overdue as f64 / target).max(self.expiry_importance);
            (remaining, remaining * std::f64::consts::LN_2 / target * second)
        } else {
            let span = self.lifetime.saturating_sub(self.target_delay).max(1) as f64;
            let loss = self.importance * (1.0 - self.expiry_importance) / span * second;
            (self.importance - loss * overdue as f64 / second, loss)
        }
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct Kind {
    /// Most mails in one call.
    pub max_batch: usize,
    /// Each endpoint has limits, waits and outages of its own, rather than sharing those of its destination.
    pub per_endpoint_limits: bool,
}

/// Read when a courier starts, and whenever new settings come into force (`Input::Settings`).
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    pub seed: u64,
    pub couriers: usize,
    /// This courier's number among them, from 0.
    pub courier_index: usize,
    pub slots: usize,
    /// Most mails in hand.
    pub max_mails: usize,
    /// Most connects per mail.
    pub max_connects: usize,
    pub timer_resolution: Time,
    pub connection_timeout: Time,
    /// How long an endpoint keeps an idle connection open.
    pub idle_timeout: Time,
    /// Cost of a new connection, as a part of a mail's importance.
    pub handshake_cost: f64,
    /// Longest time to come back that a client heeds; 0 if none can be named.
    pub max_retry_after: Time,
    /// Whether couriers may send each other notes.
    pub peer_notes: bool,
    /// Whether the list has to be requested, rather than being pushed.
    pub poll_list: bool,
    /// A failed request for the list is repeated within half of this time.
    pub max_poll_delay: Time,
    /// Share of its capacity that an endpoint has when cold, and the time until it is warm.
    pub cold_capacity: f64,
    pub warm_up: Time,
    /// An endpoint breaks down when it gets this multiple of its capacity for this long.
    pub overload_multiple: f64,
    pub overload_duration: Time,
    /// Time to leave between mails of one key after a connect that may still be running.
    pub ordering_gap: Time,
    /// Importance halves with each target delay that a mail is late; otherwise it falls linearly.
    pub half_life_decay: bool,
    /// Whether the entries of the list carry rate limits.
    pub list_has_rates: bool,
    /// Fee of a connect by zone, for kinds whose endpoints have limits of their own.
    pub zone_fees: Vec<f64>,
    /// At least one of each; the decoder of the settings refuses fewer.
    pub kinds: Vec<Kind>,
    pub classes: Vec<QueueClass>,
}

impl Settings {
    /// The highest importance, the shortest lifetime (at least `min_lifetime`) and the shortest target delay
    /// of all classes.
    pub fn extremes(&self, min_lifetime: Time) -> (f64, Time, Time) {
        let max_importance = self.classes.iter().map(|c| c.importance).fold(0.0, f64::max);
        let lifetime =
            self.classes.iter().map(|c| c.lifetime).min().unwrap_or(min_lifetime).max(min_lifetime);
        (max_importance, lifetime, self.classes.iter().map(|c| c.target_delay).min().unwrap_or(SECOND))
    }

    /// Appends the classes and kinds of the previous settings that these have none for, so that their numbers
    /// stay valid.
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
    /// It refused a call, with this time to wait.
    Refusing(Time),
    Down,
    Recovered,
}

/// How a connect ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Relayed,
    Error,
    /// The endpoint turned the call down.
    Refused,
    /// No answer came in time.
    Silent,
    /// No connection could be made.
    Unreached,
    /// The connection broke before the answer.
    Broken,
    /// An answer came that cannot be read.
    Spoilt,
    /// The call was cancelled after it was sent.
    CalledOff,
    /// It certainly did not run, and says nothing of the endpoint.
    Unsent,
}

impl Outcome {
    /// Whether the connect certainly never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Refused | Outcome::Unreached | Outcome::Unsent)
    }

    /// Whether the connect may still be running.
    pub fn may_still_run(self) -> bool {
        matches!(self, Outcome::Silent | Outcome::Broken | Outcome::CalledOff)
    }
}

/// What an answer reported of a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitReport {
    pub remaining: f64,
    pub limit: f64,
}

/// An entry of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct ListEntry {
    pub endpoint: usize,
    pub destination: usize,
    pub zone: usize,
    pub kind: usize,
    pub status: EndpointStatus,
    pub rate: f64,
}

/// A mail that was accepted, by this process or by an earlier one of this courier that did not finish it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AcceptedMail {
    pub mail: usize,
    pub destination: usize,
    pub class: usize,
    pub key: Option<usize>,
    /// The time from here to the deadline may be shorter than the lifetime of the queue class.
    pub submitted_at: Time,
    pub deadline: Time,
    /// Connects used by earlier processes, and the time and zone of the first one that may have run.
    pub connects_used: usize,
    pub first_run: Option<(Time, usize)>,
}

/// The outcome of one mail's connect.
#[derive(Clone, Debug, PartialEq)]
pub struct ConnectResult {
    pub mail: usize,
    pub outcome: Outcome,
    /// The mail has got its final answer, or its outcome is provisional: it is accepted again if it needs another connect.
    pub finished: bool,
    /// How long the destination asked not to be called, if it refused.
    pub retry_after: Time,
    pub duration: Time,
    /// Whether it went out on a connection kept from an earlier call.
    pub reused_connection: bool,
    pub limit_report: Option<LimitReport>,
}

/// A planned end of this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shutdown {
    /// No call begins from this time on.
    pub calls_until: Time,
    /// The next process begins its calls no sooner.
    pub successor_from: Time,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// Entries follow. If `complete`, endpoints that are not named until `ListEnd` are removed.
    ListBegin {
        complete: bool,
    },
    ListEntry(ListEntry),
    ListEnd,
    ListFailed,
    AcceptedMail(AcceptedMail),
    /// A connect of a mail of this key may have been running at this time: it was in flight when the
    /// courier's last process ended, or ended without an answer shortly before.
    KeyInFlight {
        key: usize,
        at: Time,
    },
    /// The client has disconnected: its mail needs no answer.
    ClientGone {
        mail: usize,
    },
    ConnectResult(ConnectResult),
    /// The mail must not be connected again: an endpoint has said that it is over.
    NoMoreConnects {
        mail: usize,
    },
    /// A note from another courier. It may be late, and notes may be lost.
    PeerNote {
        endpoint: usize,
        note: PeerNote,
    },
    /// All decisions follow these from now on. Classes, kinds and zones keep their numbers and new ones are
    /// appended; numbers beyond the new lists keep their old meaning. Neither `per_endpoint_limits` of a kind
    /// nor the way the list is obtained changes.
    Settings(Box<Settings>),
    /// The process was asked to end.
    Shutdown(Shutdown),
    Wakeup,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Connects of one turn to one endpoint go out as one call, up to the batch size of its kind.
    Connect {
        mail: usize,
        endpoint: usize,
        timeout: Time,
        /// The call must not use a kept connection.
        new_connection: bool,
    },
    /// Final: hands the mail back, with a time to come back (0: none named).
    Defer {
        mail: usize,
        retry_after: Time,
    },
    /// Final: gives the mail up, with no promise.
    Bounce {
        mail: usize,
    },
    RequestList,
    /// Sends a note to all other couriers.
    SendNote {
        endpoint: usize,
        note: PeerNote,
    },
    /// Closes the idle connections to this endpoint.
    CloseIdle(usize),
    /// The index is not mentioned again and may be reused.
    FreeMail(usize),
    FreeKey(usize),
    FreeEndpoint(usize),
}
