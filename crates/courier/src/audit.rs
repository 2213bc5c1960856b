//! The audit: what must hold of a courier's state after a turn, counted another way than they are kept. It
//! changes nothing and decides nothing; what does not hold comes back in words, and whoever asked counts it.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use bytes::Bytes;
use meadowhold::control::Control;
use meadowhold::interface::Time;
use meadowhold::interner::Interner;

use crate::journal::{max_stored_size, JournalContents, OwedMail};

/// In release builds the audit runs after every so-manieth turn: it looks at all mails and all endpoints.
pub const INTERVAL_TURNS: u64 = 256;

/// A connect that was asked for and has no outcome yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PendingConnect {
    /// Of its mail.
    pub serial: u64,
    pub endpoint: usize,
    /// Number of the call that it travels with; calls are numbered from the start of the process.
    pub call: u64,
    /// When it was asked for.
    pub requested_at: Time,
    /// Its call's first byte may have gone out.
    pub begun: bool,
}

/// What is limited, and told to wait, on its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LimitScope {
    /// A destination, by its outside number.
    Destination(u64),
    /// An endpoint that is a route apart, by its index.
    Endpoint(usize),
}

/// What is counted beside the state, event by event.
#[derive(Clone, Debug, Default)]
pub struct AuditCounters {
    /// Mails that an earlier process had left, and mails of which nothing is owed any more.
    pub restored: u64,
    pub ended: u64,
    /// Connects asked for, and outcomes.
    pub connects_started: u64,
    pub connects_ended: u64,
    /// Until when a unit was told to be left alone.
    pub held_until: BTreeMap<LimitScope, Time>,
    /// Versions of the list as they came: the last one, and how often it was lower than the one before.
    pub list_version: u64,
    pub older_lists: u64,
}

impl AuditCounters {
    pub fn record_list_version(&mut self, version: u64) {
        self.older_lists += u64::from(version < self.list_version);
        self.list_version = version;
    }

    pub fn hold(&mut self, scope: LimitScope, until: Time) {
        let held = self.held_until.entry(scope).or_default();
        *held = until.max(*held);
    }

    pub fn is_held(&self, scope: LimitScope, now: Time) -> bool {
        self.held_until.get(&scope).is_some_and(|&until| now < until)
    }
}

/// The state that is looked at, between two turns: all that was seen has been told to the decisions.
pub struct AuditedState<'a> {
    pub control: &'a Control,
    pub owed: &'a BTreeMap<u64, OwedMail>,
    pub ids: &'a HashMap<Bytes, u64>,
    pub unfinished: usize,
    pub pending: &'a [Option<PendingConnect>],
    pub mail_indices: &'a Interner<u64>,
    /// The destination of an endpoint, by its outside number.
    pub destination_of: &'a dyn Fn(usize) -> u64,
    /// Bytes that the journal says what is owed takes.
    pub journal_bytes: u64,
    pub accepted: u64,
    pub list_version: u64,
    pub older_lists: u64,
    pub counters: &'a AuditCounters,
}

struct Findings(Vec<String>);

impl Findings {
    fn expect_equal(&mut self, what: &str, recorded: u64, counted: u64) {
        if recorded != counted {
            self.0.push(format!("{what}: {recorded} kept, {counted} counted"));
        }
    }

    fn check(&mut self, holds: bool, message: impl FnOnce() -> String) {
        if !holds {
            self.0.push(message());
        }
    }
}

/// What does not hold, in words; nothing where all does.
pub fn find_faults(state: &AuditedState) -> Vec<String> {
    let mut faults = Findings(state.control.audit());
    check_mails(state, &mut faults);
    check_calls(state, &mut faults);
    faults.expect_equal("version of the list", state.list_version, state.counters.list_version);
    faults.expect_equal("lists of a lower version", state.older_lists, state.counters.older_lists);
    faults.0
}

/// Each mail that was taken has ended or is in hand, once, and on file.
fn check_mails(state: &AuditedState, faults: &mut Findings) {
    let AuditedState { control, owed, ids, counters, .. } = state;
    let total = counters.restored + state.accepted;
    faults.expect_equal("mails taken and found", total, counters.ended + owed.len() as u64);
    let unfinished = owed.values().filter(|owed| owed.verdict.is_none()).count();
    faults.expect_equal("mails without an end", state.unfinished as u64, unfinished as u64);
    faults.expect_equal(
        "mails without an end, by the decisions",
        control.open_mails() as u64,
        unfinished as u64,
    );
    faults.expect_equal(
        "indices of mails",
        state.mail_indices.len() as u64,
        control.mail_indices_in_use() as u64,
    );
    faults.expect_equal("ids of mails in hand", ids.len() as u64, owed.len() as u64);
    for (serial, owed) in *owed {
        faults.check(ids.get(&owed.id) == Some(serial), || format!("mail {serial} is not known by its id"));
    }
    faults.expect_equal("bytes owed on file", state.journal_bytes, owed.values().map(max_stored_size).sum());
}

/// Each connect that is out has its slot, its call, its record and an endpoint of its mail's destination.
fn check_calls(state: &AuditedState, faults: &mut Findings) {
    let AuditedState { control, owed, counters, .. } = state;
    let pending =
        || state.pending.iter().enumerate().filter_map(|(mail, connect)| Some((mail, connect.as_ref()?)));
    faults.expect_equal(
        "connects out",
        pending().count() as u64,
        counters.connects_started - counters.connects_ended.min(counters.connects_started),
    );
    faults.expect_equal("mails of calls out", control.mails_in_flight() as u64, pending().count() as u64);
    // The slot of each call, and how many slots an endpoint and all have.
    let mut slots: BTreeMap<usize, usize> = BTreeMap::new();
    let mut slot_of_call: BTreeMap<u64, usize> = BTreeMap::new();
    let mut recorded = 0;
    for (mail, connect) in pending() {
        let &PendingConnect { serial, endpoint, call, begun, .. } = connect;
        let indexed = state.mail_indices.id(mail) == Some(&serial);
        faults.check(indexed, || format!("mail {serial} is out and its index is another's"));
        let record = owed.get(&serial).map(|owed| owed.in_flight.is_some());
        recorded += usize::from(record == Some(true));
        faults.check(record.is_none_or(|record| record == begun), || {
            let words = if begun { "out without a record" } else { "on record as out and not begun" };
            format!("mail {serial} is {words}")
        });
        let actual = (state.destination_of)(endpoint);
        let expected = owed.get(&serial).map_or(actual, |owed| owed.destination);
        faults.check(actual == expected, || {
            format!("mail {serial} of destination {expected} is out to destination {actual}")
        });
        let Some((slot, at)) = control.call_of(mail) else {
            faults.0.push(format!("mail {serial} is out and the decisions do not know it"));
            continue;
        };
        faults.check(at == endpoint, || format!("mail {serial} is out to endpoint {endpoint}, not {at}"));
        slots.insert(slot, at);
        // A call may be cut in two by its size; two are never made one.
        let first_slot = *slot_of_call.entry(call).or_insert(slot);
        faults.check(first_slot == slot, || {
            format!("call {call} carries mails of slots {first_slot} and {slot}")
        });
    }
    let in_flight = owed.values().filter(|owed| owed.in_flight.is_some()).count();
    faults.expect_equal("records of connects out", in_flight as u64, recorded as u64);
    faults.expect_equal("slots of connects out", control.slots_taken() as u64, slots.len() as u64);
    let mut calls_at: BTreeMap<usize, u64> = BTreeMap::new();
    slots.values().for_each(|&endpoint| *calls_at.entry(endpoint).or_default() += 1);
    for (endpoint, calls) in calls_at {
        faults.expect_equal("slots of an endpoint", control.calls_in_flight(endpoint) as u64, calls);
    }
    let distinct = pending().map(|(_, connect)| connect.serial).collect::<BTreeSet<_>>().len();
    faults.expect_equal("mails out", pending().count() as u64, distinct as u64);
}

/// Where the file does not say of the mails in hand what the state says.
pub fn find_file_faults(owed: &BTreeMap<u64, OwedMail>, journal: &JournalContents) -> Vec<String> {
    let mut faults = Findings(Vec::new());
    faults.expect_equal("mails on file", journal.owed.len() as u64, owed.len() as u64);
    for (serial, owed) in owed {
        let Some(on_file) = journal.owed.get(serial) else {
            faults.0.push(format!("mail {serial} is not on file"));
            continue;
        };
        // After a restart the file still says "out" of what the state says "may have run" of.
        let state = |owed: &OwedMail| (owed.connects, owed.verdict, owed.first_run.or(owed.in_flight));
        let same = state(owed) == state(on_file) && owed.terms == on_file.terms;
        faults.check(same, || format!("mail {serial} is otherwise on file"));
    }
    faults.0
}
