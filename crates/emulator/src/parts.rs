//! The data types of a running day: mails, calls, endpoint states, limit scopes, couriers and events.

use std::collections::{HashMap, VecDeque};

use meadowhold::interface::{ConnectResult, Input, LimitReport, Outcome, Time};

use crate::decider::Decider;

/// The process behind an endpoint and the troubles that affect it. Troubles overlap, so each is a count or a
/// factor.
#[derive(Debug)]
pub struct EndpointState {
    pub scope: usize,
    pub down: u16,
    pub hung: u16,
    pub paused: u16,
    pub shut: u16,
    pub shut_until: Time,
    pub half_open: u16,
    pub slow: f64,
    pub errors: f64,
    pub class_errors: Vec<(usize, f64)>,
    pub resets: f64,
    pub lost: f64,
    pub idle_close: Option<Time>,
    /// Permanently gone: drained or replaced.
    pub removed: bool,
    /// Overloaded while cold; it stays down.
    pub overloaded: bool,
    /// When its warm-up started.
    pub warming_since: Option<Time>,
    /// Calls being served, queued, and finished but stalled.
    pub active: Vec<u32>,
    pub queue: VecDeque<u32>,
    pub stalled_calls: Vec<u32>,
    /// Calls on their way to this endpoint.
    pub in_transit: usize,
    pub connections: usize,
    /// Number of the process; connections to an earlier one are closed.
    pub incarnation: u32,
}

impl EndpointState {
    pub fn new(scope: usize) -> EndpointState {
        EndpointState {
            scope,
            down: 0,
            hung: 0,
            paused: 0,
            shut: 0,
            shut_until: 0,
            half_open: 0,
            slow: 1.0,
            errors: 0.0,
            class_errors: Vec::new(),
            resets: 0.0,
            lost: 0.0,
            idle_close: None,
            removed: false,
            overloaded: false,
            warming_since: None,
            active: Vec::new(),
            queue: VecDeque::new(),
            stalled_calls: Vec::new(),
            in_transit: 0,
            connections: 0,
            incarnation: 0,
        }
    }

    /// Whether it refuses connections.
    pub fn is_down(&self) -> bool {
        self.down > 0 || self.removed || self.overloaded
    }

    /// Whether it accepts calls without making progress.
    pub fn is_stalled(&self) -> bool {
        self.hung > 0 || self.paused > 0
    }

    /// Whether the rule on returning destinations counts it as out: down, silent, hung, shut, or with most
    /// calls failing.
    pub fn is_out(&self) -> bool {
        self.is_down()
            || self.hung > 0
            || self.shut > 0
            || self.half_open > 0
            || self.errors >= 0.5
            || self.resets >= 0.5
    }
}

/// The unit to which limits, outages and told waits apply: a destination, or a single endpoint where limits
/// are per endpoint.
#[derive(Debug, Default)]
pub struct LimitScope {
    pub destination: usize,
    pub endpoints: Vec<usize>,
    /// Tokens left under a limit of kind `Rate`, and when they were computed.
    pub tokens: f64,
    pub tokens_at: Time,
    /// The current span, and the calls counted in it.
    pub span: Time,
    pub used: f64,
    pub throttle: f64,
    pub in_outage: bool,
    /// End of the last outage, and its number.
    pub returned_at: Option<Time>,
    pub outage: u32,
    /// Recent load while cold: time, amount, and whether its courier had seen the outage.
    pub recent_load: VecDeque<(Time, f64, bool)>,
    pub recent_work: f64,
    pub informed_work: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// With its client, waiting to be handed in (again).
    WithClient,
    /// Accepted by a courier.
    Accepted,
    /// Will not be handed in again.
    Closed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    Relayed,
    Deferred,
    Bounced,
    /// The client hung up; no answer is owed any more.
    HungUp,
}

#[derive(Clone, Debug)]
pub struct Mail {
    pub destination: u32,
    pub class: u16,
    pub zone: u16,
    pub key: Option<u32>,
    pub created_at: Time,
    pub deadline: Time,
    pub target: Time,
    pub stage: Stage,
    pub courier: u32,
    /// Its index at the courier.
    pub index: u32,
    pub accepted_at: Time,
    /// Number of times handed in, and number of times a dead courier was found instead.
    pub tries: u8,
    pub misses: u8,
    /// Connects since it was accepted, and send time and zone of the first that may have run.
    pub connects: u16,
    pub first_run: Option<(Time, u16)>,
    /// The call in flight for it.
    pub active_call: Option<u32>,
    /// Its position in the order of acceptance, which is the order within its key.
    pub accept_number: u64,
    /// Effects at the destination, for mails that must have at most one.
    pub effects: u8,
    /// Final answers since it was accepted.
    pub answers: u8,
    pub relayed_at: Option<Time>,
}

/// A mail in a call.
#[derive(Clone, Copy, Debug)]
pub struct Connect {
    pub mail: u32,
    /// When the courier stops waiting for the answer.
    pub timeout_at: Time,
    /// Whether the courier has been given the outcome.
    pub reported: bool,
    /// Number of the deduplication window in which it arrived; effects within one window count once.
    pub window: u8,
    /// Whether the destination recognized it as a repeat.
    pub repeat: bool,
}

/// A destination's memory of an idempotency key: start of its present window, number of that window, and a
/// bit for each window in which it had its effect.
#[derive(Clone, Copy, Debug)]
pub struct DedupEntry {
    pub window_start: Time,
    pub window: u8,
    pub effects: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    Connecting,
    InTransit,
    Waiting,
    Served,
    /// Broken, or lost at the endpoint.
    Lost,
    Ended,
}

#[derive(Debug)]
pub struct Call {
    pub courier: u32,
    pub process: u32,
    pub endpoint: u32,
    pub connects: Vec<Connect>,
    pub started: Time,
    pub reused: bool,
    /// Whether the courier still waits for an outcome.
    pub open: bool,
    pub phase: Phase,
    /// Network latency to the endpoint and back.
    pub latency: [Time; 2],
    /// Number of the endpoint's process that it is connected to, and whether its connection counts there.
    pub incarnation: u32,
    pub connected: bool,
    /// Whether it is on its way, including the making of the connection.
    pub in_transit: bool,
    /// When the reused connection became idle.
    pub idle_since: Time,
    pub work: f64,
}

/// What an endpoint sends back to a courier.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reply {
    pub outcome: Outcome,
    pub wait: Time,
    pub report: Option<LimitReport>,
}

impl Reply {
    pub fn with_outcome(outcome: Outcome) -> Reply {
        Reply { outcome, wait: 0, report: None }
    }
}

/// An idle connection: since when, and to which process.
#[derive(Clone, Copy, Debug)]
pub struct Idle {
    pub since: Time,
    pub incarnation: u32,
}

pub struct Courier {
    pub zone: usize,
    pub alive: bool,
    /// Number of its process, from 0.
    pub process: u32,
    /// When that process started.
    pub started: Time,
    pub decider: Option<Box<dyn Decider>>,
    pub inputs: Vec<Input>,
    /// The next turn starts with the complete list. It is built only then, because a list for each of
    /// thousands of couriers would take too much memory.
    pub full_list_due: bool,
    pub turn_at: Option<Time>,
    pub last_turn: Option<Time>,
    /// Mails by index, and free indices.
    pub mails: Vec<u32>,
    pub free: Vec<u32>,
    /// Mails without a final answer, and calls in flight.
    pub mails_held: usize,
    pub calls_in_flight: usize,
    pub idle: HashMap<u32, Vec<Idle>>,
    /// Mails of an ended process that its successor takes over, in the order of acceptance.
    pub owed_mails: Vec<u32>,
    /// Keys whose connects may still be running, and since when, as recorded in the journal.
    pub held_keys: Vec<(u32, Time)>,
    /// No turns before this time, because the courier's clock stands still.
    pub paused_until: Time,
    /// Number of published list changes that it has received.
    pub list_position: usize,
    pub watching_list: bool,
    pub peak_out: usize,
}

impl Courier {
    pub fn new(zone: usize) -> Courier {
        Courier {
            zone,
            alive: true,
            process: 0,
            started: 0,
            decider: None,
            inputs: Vec::new(),
            full_list_due: false,
            turn_at: None,
            last_turn: None,
            mails: Vec::new(),
            free: Vec::new(),
            mails_held: 0,
            calls_in_flight: 0,
            idle: HashMap::new(),
            owed_mails: Vec::new(),
            held_keys: Vec::new(),
            paused_until: 0,
            list_position: 0,
            watching_list: false,
            peak_out: 0,
        }
    }

    /// Assigns an index to a mail.
    pub fn assign_index(&mut self, mail: u32) -> u32 {
        if let Some(index) = self.free.pop() {
            self.mails[index as usize] = mail;
            return index;
        }
        self.mails.push(mail);
        self.mails.len() as u32 - 1
    }
}

pub const NO_COURIER: u32 = u32::MAX;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event {
    /// The next arrival of the day's random stream.
    NextArrival,
    /// A further mail of a clump.
    Clump {
        destination: u32,
        left: u32,
    },
    HandIn {
        mail: u32,
        courier: u32,
    },
    Resubmit {
        mail: u32,
    },
    HangUp {
        mail: u32,
        tries: u8,
    },
    Turn {
        courier: u32,
        at: Time,
    },
    Connected {
        call: u32,
    },
    Unreached {
        call: u32,
    },
    CallArrives {
        call: u32,
    },
    ServiceDone {
        call: u32,
    },
    Answer {
        call: u32,
        reply: Reply,
    },
    Timeout {
        call: u32,
    },
    CloseIdle {
        courier: u32,
        endpoint: u32,
    },
    Trouble {
        index: u32,
        on: bool,
    },
    TroublePulse {
        index: u32,
        on: bool,
    },
    Publish {
        change: u32,
    },
    ListUpdate {
        courier: u32,
        process: u32,
        position: u32,
    },
    ListResponse {
        courier: u32,
        process: u32,
    },
    CourierCrash {
        courier: u32,
    },
    CourierRestart {
        courier: u32,
    },
    FrontNotice {
        courier: u32,
        alive: bool,
    },
    Sample,
}

/// The input that tells a courier the outcome of one connect.
pub fn ended(index: usize, reply: &Reply, over: bool, took: Time, kept: bool) -> Input {
    Input::ConnectResult(ConnectResult {
        mail: index,
        outcome: reply.outcome,
        finished: over,
        retry_after: reply.wait,
        duration: took,
        reused_connection: kept,
        limit_report: reply.report,
    })
}
