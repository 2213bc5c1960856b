//! Consistency checks on a courier's state after a turn: each figure that the courier maintains is counted again in
//! an independent way. The audit changes nothing; it returns one message for each violation, and the caller counts them.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use bytes::Bytes;
use meadowhold::control::Control;
use meadowhold::interface::Time;
use meadowhold::interner::Interner;

use crate::exchange::lifecycle::{Lifecycle, Phase};
use crate::journal::{max_stored_size, JournalContents, OwedMail};

/// In release builds the audit runs once in this many turns only, since it visits all mails and all endpoints.
pub const INTERVAL_TURNS: u64 = 256;

/// A connect that was requested and has no outcome yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PendingConnect {
    /// The serial number of its mail.
    pub serial: u64,
    pub endpoint: usize,
    /// The call that it is part of; calls are numbered from the start of the process.
    pub call: u64,
    pub requested_at: Time,
    /// The first byte of its call may have been sent.
    pub begun: bool,
}

/// What has a limit of its own and can be told to wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LimitScope {
    /// A destination, by its number in the list.
    Destination(u64),
    /// An endpoint of a kind with limits per endpoint, by its index.
    Endpoint(usize),
}

/// Counters that follow the events, independent of the state that the audit checks against them.
#[derive(Clone, Debug, Default)]
pub struct AuditCounters {
    /// Mails left by an earlier process, and mails that are settled.
    pub restored: u64,
    pub settled: u64,
    /// Connects requested, and connects with an outcome.
    pub connects_started: u64,
    pub connects_ended: u64,
    /// Until when no call may begin within a scope.
    pub held_until: BTreeMap<LimitScope, Time>,
    /// The latest list version received, and how often a version was lower than the one before it.
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

/// The state to be audited, taken between two turns, when the decisions have received all events.
pub struct AuditedState<'a> {
    pub control: &'a Control,
    pub owed: &'a BTreeMap<u64, OwedMail>,
    pub ids: &'a HashMap<Bytes, u64>,
    pub unfinished: usize,
    /// Whether a mail is not with the decisions, because its last outcome is provisional or was until now.
    pub is_provisional: &'a dyn Fn(u64) -> bool,
    pub lifecycle: &'a Lifecycle,
    pub pending: &'a [Option<PendingConnect>],
    pub mail_indices: &'a Interner<u64>,
    /// Maps an endpoint index to the number of its destination.
    pub destination_of: &'a dyn Fn(usize) -> u64,
    /// Bytes of owed mails, according to the journal.
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

/// Returns one message for each violation; none if the state is consistent.
pub fn find_faults(state: &AuditedState) -> Vec<String> {
    let mut faults = Findings(state.control.audit());
    check_mails(state, &mut faults);
    check_calls(state, &mut faults);
    faults.expect_equal("list version", state.list_version, state.counters.list_version);
    faults.expect_equal("lists with a lower version", state.older_lists, state.counters.older_lists);
    faults.0
}

/// Each accepted mail is either settled, or held exactly once and on file.
fn check_mails(state: &AuditedState, faults: &mut Findings) {
    let AuditedState { control, owed, ids, counters, .. } = state;
    let total = counters.restored + state.accepted;
    faults.expect_equal("mails accepted and restored", total, counters.settled + owed.len() as u64);
    let with_decisions =
        |serial: &u64, owed: &OwedMail| owed.verdict.is_none() && !(state.is_provisional)(*serial);
    let unfinished = owed.iter().filter(|(serial, owed)| with_decisions(serial, owed)).count();
    faults.expect_equal("mails not given up", state.unfinished as u64, unfinished as u64);
    faults.expect_equal(
        "mails not given up, in the decisions",
        control.open_mails() as u64,
        unfinished as u64,
    );
    faults.expect_equal(
        "mail indices",
        state.mail_indices.len() as u64,
        control.mail_indices_in_use() as u64,
    );
    faults.expect_equal("ids of owed mails", ids.len() as u64, owed.len() as u64);
    for (serial, owed) in *owed {
        faults.check(ids.get(&owed.id) == Some(serial), || format!("mail {serial} is not found by its id"));
        let is_in_flight = owed.in_flight.is_some();
        let fits = match state.lifecycle.phase(*serial) {
            Phase::Waiting => with_decisions(serial, owed) && !is_in_flight,
            Phase::Called => with_decisions(serial, owed) && is_in_flight,
            Phase::Provisional => (state.is_provisional)(*serial),
            Phase::Returning => (state.is_provisional)(*serial) && !is_in_flight,
            Phase::GivenUp => owed.verdict.is_some(),
            Phase::Ended => false,
        };
        let phase = state.lifecycle.phase(*serial);
        faults.check(fits, || format!("mail {serial} is recorded as {phase:?}, which its state contradicts"));
    }
    faults.expect_equal("messages with a phase", state.lifecycle.len() as u64, owed.len() as u64);
    faults.expect_equal(
        "journal bytes of owed mails",
        state.journal_bytes,
        owed.values().map(max_stored_size).sum(),
    );
}

/// Each pending connect has a slot, a call, a journal record if it has begun, and an endpoint of its mail's destination.
fn check_calls(state: &AuditedState, faults: &mut Findings) {
    let AuditedState { control, owed, counters, .. } = state;
    let pending =
        || state.pending.iter().enumerate().filter_map(|(mail, connect)| Some((mail, connect.as_ref()?)));
    faults.expect_equal(
        "pending connects",
        pending().count() as u64,
        counters.connects_started - counters.connects_ended.min(counters.connects_started),
    );
    faults.expect_equal(
        "mails of calls in flight",
        control.mails_in_flight() as u64,
        pending().count() as u64,
    );
    // The endpoint of each slot, and the slot of each call.
    let mut slots: BTreeMap<usize, usize> = BTreeMap::new();
    let mut slot_of_call: BTreeMap<u64, usize> = BTreeMap::new();
    let mut recorded = 0;
    for (mail, connect) in pending() {
        let &PendingConnect { serial, endpoint, call, begun, .. } = connect;
        let indexed = state.mail_indices.id(mail) == Some(&serial);
        faults.check(indexed, || format!("mail {serial} is in flight and its index belongs to another mail"));
        let record = owed.get(&serial).map(|owed| owed.in_flight.is_some());
        recorded += usize::from(record == Some(true));
        faults.check(record.is_none_or(|record| record == begun), || {
            let state =
                if begun { "in flight without a record" } else { "recorded as in flight but has not begun" };
            format!("mail {serial} is {state}")
        });
        let actual = (state.destination_of)(endpoint);
        let expected = owed.get(&serial).map_or(actual, |owed| owed.destination);
        faults.check(actual == expected, || {
            format!("mail {serial} of destination {expected} is in flight to destination {actual}")
        });
        let Some((slot, at)) = control.call_of(mail) else {
            faults.0.push(format!("mail {serial} is in flight but not in the decisions"));
            continue;
        };
        faults
            .check(at == endpoint, || format!("mail {serial} is in flight to endpoint {endpoint}, not {at}"));
        slots.insert(slot, at);
        // A slot may have several calls, as a call is split by size; a call never has several slots.
        let first_slot = *slot_of_call.entry(call).or_insert(slot);
        faults.check(first_slot == slot, || {
            format!("call {call} carries mails of slots {first_slot} and {slot}")
        });
    }
    let in_flight = owed
        .iter()
        .filter(|(serial, owed)| owed.in_flight.is_some() && !(state.is_provisional)(**serial))
        .count();
    faults.expect_equal("records of connects in flight", in_flight as u64, recorded as u64);
    faults.expect_equal("slots of pending connects", control.slots_taken() as u64, slots.len() as u64);
    let mut calls_at: BTreeMap<usize, u64> = BTreeMap::new();
    slots.values().for_each(|&endpoint| *calls_at.entry(endpoint).or_default() += 1);
    for (endpoint, calls) in calls_at {
        faults.expect_equal("calls at an endpoint", control.calls_in_flight(endpoint) as u64, calls);
    }
    let distinct = pending().map(|(_, connect)| connect.serial).collect::<BTreeSet<_>>().len();
    faults.expect_equal("mails in flight", pending().count() as u64, distinct as u64);
}

/// Returns one message for each owed mail of which the journal file and the state in memory disagree.
pub fn find_file_faults(owed: &BTreeMap<u64, OwedMail>, journal: &JournalContents) -> Vec<String> {
    let mut faults = Findings(Vec::new());
    faults.expect_equal("mails on file", journal.owed.len() as u64, owed.len() as u64);
    for (serial, owed) in owed {
        let Some(on_file) = journal.owed.get(serial) else {
            faults.0.push(format!("mail {serial} is not on file"));
            continue;
        };
        // After a restart the file still has a connect in flight that the state has as one that may have run.
        let state = |owed: &OwedMail| (owed.connects, owed.verdict, owed.first_run.or(owed.in_flight));
        let same = state(owed) == state(on_file) && owed.terms == on_file.terms;
        faults.check(same, || format!("mail {serial} differs from its record on file"));
    }
    faults.0
}
