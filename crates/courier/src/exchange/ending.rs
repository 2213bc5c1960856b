//! The ends of messages: delivered, over at their endpoint, given up by the decisions, or withdrawn. Each end is on file
//! before it is told.

use std::fmt::Display;

use meadowhold::interface::Input;

use super::answered_requests::RequestEnd;
use super::lifecycle::{Phase, Step};
use super::unrecorded_ends::MissingRecord;
use super::{Exchange, Notice};
use crate::journal::{max_stored_size, Record, Verdict};
use crate::must;

impl Exchange {
    /// Moves a message to its next phase. A step that its phase does not allow is counted and changes nothing.
    pub(super) fn take_step(&mut self, serial: u64, step: Step, reason: &dyn Display) {
        let id = self.owed.get(&serial).map(|owed| String::from_utf8_lossy(&owed.id)).unwrap_or_default();
        match self.lifecycle.take(serial, step) {
            Ok((before, after)) => {
                log::debug!("message {id}, mail {serial}: {before:?} to {after:?} by {step:?}: {reason}");
            }
            Err(phase) => {
                log::warn!("message {id}, mail {serial}: {step:?} in phase {phase:?}: {reason}");
                self.counts.ended_twice += u64::from(matches!(phase, Phase::GivenUp | Phase::Ended));
                must!(self.counts.broken, false, "a message took a step that its phase does not allow");
            }
        }
    }

    /// Ends a message: nothing more has to be done for it.
    pub(super) fn finish(&mut self, serial: u64, step: Step, reason: &dyn Display) {
        if !self.owed.contains_key(&serial) {
            return;
        }
        self.take_step(serial, step, reason);
        // Recorded before the message is removed. Otherwise a compaction triggered by this record would write a
        // journal with a record of a message that it does not contain. Until the record can be written, a restart
        // restores the message as one that may have run.
        if !self.append_record(&Record::Settled { serial }) {
            self.unrecorded.add(serial, MissingRecord::Settled);
        }
        if let Some(owed) = self.owed.remove(&serial) {
            // Nobody has read the acceptance of a withdrawn message, so its request may be accepted again.
            if step != Step::Withdrawn {
                let end = owed.verdict.map_or(RequestEnd::Delivered, RequestEnd::GivenUp);
                self.answered.remember(self.clock.now(), &owed.id, end);
            }
            self.ids.remove(&owed.id);
            self.tally.settled += 1;
            self.journal.release(max_stored_size(&owed));
            let was_provisional = self.provisional.remove(serial, owed.deadline);
            self.open_mails -= usize::from(owed.verdict.is_none() && !was_provisional);
        }
    }

    /// Withdraws a message whose client left before it could read the acceptance, unless it was called: it may have run, and
    /// its client may send the request once more.
    pub fn withdraw(&mut self, serial: u64) {
        if self.owed.get(&serial).is_some_and(|owed| owed.connects > 0) {
            return;
        }
        self.end_early(serial, Step::Withdrawn, "its client left before it could read the acceptance");
    }

    /// A connect that was already reported as timed out was relayed after all.
    pub fn relayed_late(&mut self, serial: u64) {
        if self.owed.contains_key(&serial) {
            self.counts.late += 1;
            self.end_early(serial, Step::AnsweredLate, "answered after its time-out");
        }
    }

    /// Ends a message that the decisions may still hold. One that was given up stays so.
    fn end_early(&mut self, serial: u64, step: Step, reason: &str) {
        if self.owed.get(&serial).is_none_or(|owed| owed.verdict.is_some()) {
            return;
        }
        self.counts.hangups += 1;
        self.finish(serial, step, &reason);
        if let Some(mail) = self.mail_serials.get(&serial) {
            // The decision module must read this before an outcome, which could make it give up the finished message.
            let ended = |input: &Input| matches!(input, Input::ConnectResult(ended) if ended.mail == mail);
            let at = self.inputs.iter().position(ended).unwrap_or(self.inputs.len());
            self.inputs.insert(at, Input::ClientGone { mail });
        }
        self.notify.notify_one();
    }

    /// Gives a message up, as the decisions say.
    pub(super) fn give_up(&mut self, mail: usize, verdict: Verdict) {
        let now = self.clock.now();
        let serial = self.mail_serials.id(mail).copied();
        let owed = serial.and_then(|serial| self.owed.get_mut(&serial));
        let (Some(serial), Some(owed)) = (serial, owed) else {
            must!(self.counts.broken, false, "an unknown mail was given up");
            return;
        };
        must!(self.counts.broken, owed.verdict.is_none(), "a mail was given up twice");
        owed.verdict = Some(verdict);
        self.journal.release(owed.body.len() as u64);
        owed.body.clear();
        let (id, left) = (owed.id.clone(), owed.deadline.saturating_sub(now));
        let (destination, was_claimed) = (owed.destination, self.provisional.was_claimed_delivered(serial));
        self.open_mails -= 1;
        self.counts.given_up += 1;
        self.counts.told_after_delivery += u64::from(was_claimed);
        let reason = format!("{verdict:?}, destination {destination}, {} ms left", left / 10);
        self.take_step(serial, Step::GivenUp, &reason);
        // A message that was told of must not be called by a later process.
        if self.append_record(&Record::GivenUp { serial, verdict }) {
            self.send_notice(Notice { serial, id, verdict });
        } else {
            self.unrecorded.add(serial, MissingRecord::GivenUp);
        }
    }

    pub(super) fn send_notice(&self, notice: Notice) {
        // The receiver lives as long as the process.
        let _ = self.notices.send(notice);
    }

    /// The platform has acknowledged the notice of a message.
    pub fn notice_accepted(&mut self, serial: u64) {
        self.finish(serial, Step::NoticeAccepted, &"the platform has acknowledged the notice");
    }
}
