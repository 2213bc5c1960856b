//! The audit: what must hold of a courier's books after a turn, counted another way than they are kept. It
//! changes nothing and decides nothing; what does not hold comes back in words, and whoever asked counts it.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use bytes::Bytes;
use meadowhold::control::Control;
use meadowhold::interface::Time;
use meadowhold::interner::Interner;

use crate::journal::{weight, Found, Owed};

/// In release builds the audit runs after every so-manieth turn: it looks at all mails and all endpoints.
pub const EVERY: u64 = 256;

/// A connect that was asked for and has no outcome yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Flight {
    /// Of its mail.
    pub serial: u64,
    pub endpoint: usize,
    /// Number of the call that it travels with; calls are numbered from the start of the process.
    pub call: u64,
    /// When it was asked for.
    pub started: Time,
    /// Its call's first byte may have gone out.
    pub begun: bool,
}

/// What is limited, and told to wait, on its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Unit {
    /// A destination, by its outside number.
    Dest(u64),
    /// An endpoint that is a route apart, by its index.
    Route(usize),
}

/// What is counted beside the books, event by event.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// Mails that an earlier process had left, and mails of which nothing is owed any more.
    pub found: u64,
    pub ended: u64,
    /// Connects asked for, and outcomes.
    pub begun: u64,
    pub landed: u64,
    /// Until when a unit was told to be left alone.
    pub held: BTreeMap<Unit, Time>,
    /// Versions of the list as they came: the last one, and how often it was lower than the one before.
    pub version: u64,
    pub went_back: u64,
}

impl Tally {
    pub fn listed(&mut self, version: u64) {
        self.went_back += u64::from(version < self.version);
        self.version = version;
    }

    pub fn hold(&mut self, unit: Unit, until: Time) {
        let held = self.held.entry(unit).or_default();
        *held = until.max(*held);
    }

    pub fn is_held(&self, unit: Unit, now: Time) -> bool {
        self.held.get(&unit).is_some_and(|&until| now < until)
    }
}

/// The books that are looked at, between two turns: all that was seen has been told to the decisions.
pub struct Books<'a> {
    pub control: &'a Control,
    pub owed: &'a BTreeMap<u64, Owed>,
    pub ids: &'a HashMap<Bytes, u64>,
    pub open: usize,
    pub flying: &'a [Option<Flight>],
    pub mails: &'a Interner<u64>,
    /// The destination of an endpoint, by its outside number.
    pub groups: &'a dyn Fn(usize) -> u64,
    /// Bytes that the journal says what is owed takes.
    pub on_file: u64,
    pub taken: u64,
    pub index: u64,
    pub older: u64,
    pub tally: &'a Tally,
}

struct Faults(Vec<String>);

impl Faults {
    fn agree(&mut self, what: &str, kept: u64, counted: u64) {
        if kept != counted {
            self.0.push(format!("{what}: {kept} kept, {counted} counted"));
        }
    }

    fn must(&mut self, holds: bool, words: impl FnOnce() -> String) {
        if !holds {
            self.0.push(words());
        }
    }
}

/// What does not hold, in words; nothing where all does.
pub fn faults(books: &Books) -> Vec<String> {
    let mut faults = Faults(books.control.audit());
    mails(books, &mut faults);
    calls(books, &mut faults);
    faults.agree("version of the list", books.index, books.tally.version);
    faults.agree("lists of a lower version", books.older, books.tally.went_back);
    faults.0
}

/// Each mail that was taken has ended or is in hand, once, and on file.
fn mails(books: &Books, faults: &mut Faults) {
    let Books { control, owed, ids, tally, .. } = books;
    let known = tally.found + books.taken;
    faults.agree("mails taken and found", known, tally.ended + owed.len() as u64);
    let open = owed.values().filter(|owed| owed.verdict.is_none()).count();
    faults.agree("mails without an end", books.open as u64, open as u64);
    faults.agree("mails without an end, by the decisions", control.open_mails() as u64, open as u64);
    faults.agree("indices of mails", books.mails.len() as u64, control.mail_indices_in_use() as u64);
    faults.agree("ids of mails in hand", ids.len() as u64, owed.len() as u64);
    for (serial, owed) in *owed {
        faults.must(ids.get(&owed.id) == Some(serial), || format!("mail {serial} is not known by its id"));
    }
    faults.agree("bytes owed on file", books.on_file, owed.values().map(weight).sum());
}

/// Each connect that is out has its slot, its call, its record and an endpoint of its mail's destination.
fn calls(books: &Books, faults: &mut Faults) {
    let Books { control, owed, tally, .. } = books;
    let out = || books.flying.iter().enumerate().filter_map(|(mail, flight)| Some((mail, flight.as_ref()?)));
    faults.agree("connects out", out().count() as u64, tally.begun - tally.landed.min(tally.begun));
    faults.agree("mails of calls out", control.mails_in_flight() as u64, out().count() as u64);
    // The slot of each call, and how many slots an endpoint and all have.
    let mut slots: BTreeMap<usize, usize> = BTreeMap::new();
    let mut carried_by: BTreeMap<u64, usize> = BTreeMap::new();
    let mut recorded = 0;
    for (mail, flight) in out() {
        let &Flight { serial, endpoint, call, begun, .. } = flight;
        let indexed = books.mails.id(mail) == Some(&serial);
        faults.must(indexed, || format!("mail {serial} is out and its index is another's"));
        let record = owed.get(&serial).map(|owed| owed.out.is_some());
        recorded += usize::from(record == Some(true));
        faults.must(record.is_none_or(|record| record == begun), || {
            let words = if begun { "out without a record" } else { "on record as out and not begun" };
            format!("mail {serial} is {words}")
        });
        let (to, of) =
            ((books.groups)(endpoint), owed.get(&serial).map_or((books.groups)(endpoint), |o| o.dest));
        faults.must(to == of, || format!("mail {serial} of destination {of} is out to destination {to}"));
        let Some((slot, at)) = control.call_of(mail) else {
            faults.0.push(format!("mail {serial} is out and the decisions do not know it"));
            continue;
        };
        faults.must(at == endpoint, || format!("mail {serial} is out to endpoint {endpoint}, not {at}"));
        slots.insert(slot, at);
        // A call may be cut in two by its size; two are never made one.
        let carrier = *carried_by.entry(call).or_insert(slot);
        faults.must(carrier == slot, || format!("call {call} carries mails of slots {carrier} and {slot}"));
    }
    let marked = owed.values().filter(|owed| owed.out.is_some()).count();
    faults.agree("records of connects out", marked as u64, recorded as u64);
    faults.agree("slots of connects out", control.slots_taken() as u64, slots.len() as u64);
    let mut at: BTreeMap<usize, u64> = BTreeMap::new();
    slots.values().for_each(|&endpoint| *at.entry(endpoint).or_default() += 1);
    for (endpoint, calls) in at {
        faults.agree("slots of an endpoint", control.calls_in_flight(endpoint) as u64, calls);
    }
    let twice = out().map(|(_, flight)| flight.serial).collect::<BTreeSet<_>>().len();
    faults.agree("mails out", out().count() as u64, twice as u64);
}

/// Where the file does not say of the mails in hand what the books say.
pub fn file_faults(owed: &BTreeMap<u64, Owed>, found: &Found) -> Vec<String> {
    let mut faults = Faults(Vec::new());
    faults.agree("mails on file", found.owed.len() as u64, owed.len() as u64);
    for (serial, owed) in owed {
        let Some(filed) = found.owed.get(serial) else {
            faults.0.push(format!("mail {serial} is not on file"));
            continue;
        };
        // After a restart the file still says "out" of what the books say "may have run" of.
        let told = |owed: &Owed| (owed.connects, owed.verdict, owed.ran.or(owed.out));
        let same = told(owed) == told(filed) && owed.terms == filed.terms;
        faults.must(same, || format!("mail {serial} is otherwise on file"));
    }
    faults.0
}
