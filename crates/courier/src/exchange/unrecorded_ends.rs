//! Ends of messages that could not be written to the journal, and are written again until they are. A notice waits for its
//! record: were it told before, a later process could call a message that has ended.

use std::collections::BTreeMap;

use meadowhold::interface::{Time, SECOND};

use super::{Exchange, Notice};
use crate::journal::Record;

/// Pause between two attempts.
const RETRY_INTERVAL: Time = SECOND / 50;

/// What is missing on file of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MissingRecord {
    /// That it must not be called again.
    Over,
    GivenUp,
    Settled,
}

/// The messages with a missing record, by serial number.
#[derive(Default)]
pub struct UnrecordedEnds {
    missing: BTreeMap<u64, MissingRecord>,
    /// Messages with earlier deadlines are told of without a record: no later process calls them.
    told_before: Time,
}

impl UnrecordedEnds {
    /// Adds a missing record; it replaces an earlier one of the same message.
    pub fn add(&mut self, serial: u64, record: MissingRecord) {
        self.missing.insert(serial, record);
    }

    /// When the missing records are written again, given the time of the last turn.
    pub fn next_attempt(&self, last_turn: Time) -> Option<Time> {
        (!self.missing.is_empty()).then_some(last_turn + RETRY_INTERVAL)
    }

    pub fn tell_before(&mut self, time: Time) {
        self.told_before = time;
    }
}

impl Exchange {
    /// Writes the missing records, and sends the notices that waited for them.
    pub(super) fn record_ends(&mut self, now: Time) {
        while let Some((&serial, &record)) = self.unrecorded.missing.first_key_value() {
            if !self.write_missing(serial, record, now) {
                break;
            }
            self.unrecorded.missing.remove(&serial);
            self.send_notice_of(serial, record);
        }
        self.tell_expired(now);
    }

    fn write_missing(&mut self, serial: u64, record: MissingRecord, now: Time) -> bool {
        let verdict = self.owed.get(&serial).and_then(|owed| owed.verdict);
        match (record, verdict) {
            (MissingRecord::GivenUp, Some(verdict)) => {
                self.append_record(&Record::GivenUp { serial, verdict })
            }
            (MissingRecord::Over, None) if self.owed.contains_key(&serial) => self.write_over(serial, now),
            (MissingRecord::Settled, _) => self.append_record(&Record::Settled { serial }),
            // It has ended in another way, with a record of its own.
            _ => true,
        }
    }

    /// Sends notices without a record of messages whose time is up.
    fn tell_expired(&mut self, now: Time) {
        let end = self.unrecorded.told_before.max(now + 1);
        let is_expired = |serial: &u64| {
            self.owed.get(serial).is_some_and(|owed| owed.verdict.is_some() && owed.deadline < end)
        };
        let missing = self.unrecorded.missing.keys();
        let expired: Vec<u64> = missing.filter(|serial| is_expired(serial)).copied().collect();
        for serial in expired {
            self.unrecorded.missing.remove(&serial);
            self.send_notice_of(serial, MissingRecord::GivenUp);
        }
    }

    fn send_notice_of(&self, serial: u64, record: MissingRecord) {
        let owed = self.owed.get(&serial).filter(|_| record == MissingRecord::GivenUp);
        if let Some((owed, verdict)) = owed.and_then(|owed| Some((owed, owed.verdict?))) {
            self.send_notice(Notice { serial, id: owed.id.clone(), verdict });
        }
    }
}
