//! What the world is made of while a day runs: mails, calls, sites, units, couriers, events. Nothing happens here.

use std::collections::{HashMap, VecDeque};

use meadowhold::interface::{ConnectResult, Input, LimitReport, Outcome, Time};

use crate::decider::Decider;

/// An endpoint's process at work, and what troubles do to it just now. Troubles add up, so each is a count or a factor.
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
    /// Left for good: drained, or replaced.
    pub removed: bool,
    /// Pushed over: it stays down.
    pub overloaded: bool,
    /// Since when it warms up.
    pub warming_since: Option<Time>,
    /// Calls that are being served, that wait, and that stand still.
    pub active: Vec<u32>,
    pub queue: VecDeque<u32>,
    pub stalled_calls: Vec<u32>,
    /// Calls on their way here.
    pub in_transit: usize,
    pub connections: usize,
    /// The process's number: connections to an earlier one are closed.
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

    /// It refuses connections.
    pub fn is_down(&self) -> bool {
        self.down > 0 || self.removed || self.overloaded
    }

    /// It takes calls and goes on with none.
    pub fn is_stalled(&self) -> bool {
        self.hung > 0 || self.paused > 0
    }

    /// In the words of the rule on returning destinations: down, silent, hung, shut, or most calls failing.
    pub fn is_out(&self) -> bool {
        self.is_down()
            || self.hung > 0
            || self.shut > 0
            || self.half_open > 0
            || self.errors >= 0.5
            || self.resets >= 0.5
    }
}

/// What is limited, has outages and tells waits on its own: a destination, or a route apart.
#[derive(Debug, Default)]
pub struct LimitScope {
    pub destination: usize,
    pub endpoints: Vec<usize>,
    /// What is left of a plain rate, and when that was reckoned.
    pub tokens: f64,
    pub tokens_at: Time,
    /// The present span, and the calls that count in it.
    pub span: Time,
    pub used: f64,
    pub throttle: f64,
    pub in_outage: bool,
    /// End of the last outage, its number, and which couriers saw a call fail or be refused in it.
    pub returned_at: Option<Time>,
    pub outage: u32,
    /// Work sent to it of late while cold: when, how much, by a courier that had seen the outage.
    pub recent_load: VecDeque<(Time, f64, bool)>,
    pub recent_work: f64,
    pub informed_work: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Its client waits to hand it in (again).
    WithClient,
    /// A courier has taken it on.
    Accepted,
    /// It will not come again.
    Closed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    Relayed,
    Deferred,
    Bounced,
    /// The client hung up: nothing more is owed.
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
    /// Times handed in, and times that a dead courier was found instead.
    pub tries: u8,
    pub misses: u8,
    /// Connects of this taking, and send and zone of the first that may have run.
    pub connects: u16,
    pub first_run: Option<(Time, u16)>,
    /// The call that is out for it.
    pub active_call: Option<u32>,
    /// Its place in the order of its key.
    pub accept_number: u64,
    /// Effects at the destination, for what must not have two.
    pub effects: u8,
    /// Final answers of this taking.
    pub answers: u8,
    pub relayed_at: Option<Time>,
}

/// A mail in a call.
#[derive(Clone, Copy, Debug)]
pub struct Connect {
    pub mail: u32,
    /// When its courier gives the answer up.
    pub timeout_at: Time,
    /// The courier has its outcome.
    pub reported: bool,
    /// How often the destination had forgotten its key when it came: what falls within one time is one effect.
    pub window: u8,
    /// The destination knew it when it came.
    pub repeat: bool,
}

/// What a destination knows of a key: when it came first in this era, and the eras that had their effect, a bit each.
#[derive(Clone, Copy, Debug)]
pub struct DedupEntry {
    pub since: Time,
    pub window: u8,
    pub done: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    Connecting,
    InTransit,
    Waiting,
    Served,
    /// Broken or lost on the far side.
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
    /// The courier still waits for something of it.
    pub open: bool,
    pub phase: Phase,
    /// Journeys there and back.
    pub latency: [Time; 2],
    /// Number of the site's process that it was connected to, and whether its connection counts there.
    pub incarnation: u32,
    pub connected: bool,
    /// It is on its way, connecting included.
    pub in_transit: bool,
    /// Since when its kept connection had been idle.
    pub idle_since: Time,
    pub work: f64,
}

/// What comes back to a courier.
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
    /// When that began.
    pub started: Time,
    pub decider: Option<Box<dyn Decider>>,
    pub inputs: Vec<Input>,
    /// Its next turn begins with the whole list; made only then, for a list to each courier of thousands fills memory.
    pub full_list_due: bool,
    pub turn_at: Option<Time>,
    pub last_turn: Option<Time>,
    /// Mails by index, and indices that are free.
    pub mails: Vec<u32>,
    pub free: Vec<u32>,
    /// Mails owed an answer, and calls out.
    pub open: usize,
    pub calls_in_flight: usize,
    pub idle: HashMap<u32, Vec<Idle>>,
    /// Owed mails of a dead process, in the order in which they were taken.
    pub owed: Vec<u32>,
    /// Keys whose connects may be running on, and since when, as the journal has them.
    pub held_keys: Vec<(u32, Time)>,
    /// No turn before this: its clock stands still.
    pub paused_until: Time,
    /// Changes of the list that it has heard of.
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
            open: 0,
            calls_in_flight: 0,
            idle: HashMap::new(),
            owed: Vec::new(),
            held_keys: Vec::new(),
            paused_until: 0,
            list_position: 0,
            watching_list: false,
            peak_out: 0,
        }
    }

    /// The index that a mail gets here.
    pub fn enter(&mut self, mail: u32) -> u32 {
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
    /// The next mail of the day's stream.
    NextArrival,
    /// A mail of a clump.
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
        upto: u32,
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

/// What a courier is told at its next turn of one connect's connect.
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
