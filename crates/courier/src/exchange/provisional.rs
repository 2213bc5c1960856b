//! Mails whose last outcome is provisional: the answer may be another call's (`meadowhold::response_order`). Such a mail
//! has left the decision module and stays owed. It is finished, or goes back to the decision module, once the outcome is
//! final or revoked; at its deadline the outcome is revoked. In the journal its connect is in flight meanwhile, so that
//! after a kill the next process takes it for one that may have run.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

use meadowhold::control::attribution::Rest;
use meadowhold::interface::{Effect, Input, Outcome, Time, SECOND};
use meadowhold::response_order::{Attribution, Claim, QuietPeriods, Silence};

use super::lifecycle::Step;
use super::unrecorded_ends::MissingRecord;
use super::{ConnectReport, Exchange};
use crate::clock::to_time;
use crate::journal::{Record, Sent, NO_CONNECTS_LEFT};
use crate::pool::CloseReason;

/// How long after its deadline a held mail's outcome is revoked: some become final at the deadline itself.
const EXPIRY_GRACE: Time = SECOND / 50;

/// Counts since the start of the process, for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProvisionalCounts {
    pub held: u64,
    pub confirmed: u64,
    pub revoked: RevokedCounts,
}

/// Revoked outcomes by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RevokedCounts {
    /// The connection was closed to make room for another.
    pub no_room: u64,
    /// The connection ended or was closed for another reason.
    pub closed: u64,
    pub unproven: u64,
    /// A refusal that may be another call's.
    pub ambiguous: u64,
    pub expired: u64,
    pub shutdown: u64,
}

/// Why an outcome cannot become final.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RevokeReason {
    Closed(CloseReason),
    /// The endpoint has answered nothing since, so that the outcome is neither proven nor refuted.
    Unproven,
    /// It is a refusal that may be a copy of an earlier one, which nothing can prove.
    Ambiguous,
    Expired,
    /// The message expires before the next process begins its calls.
    Shutdown,
}

impl fmt::Display for RevokeReason {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            RevokeReason::Closed(reason) => reason.fmt(f),
            RevokeReason::Unproven => f.write_str("the endpoint has answered nothing since"),
            RevokeReason::Ambiguous => f.write_str("the refusal may be another call's"),
            RevokeReason::Expired => f.write_str("its time is up"),
            RevokeReason::Shutdown => f.write_str("it expires before the next process begins its calls"),
        }
    }
}

impl RevokedCounts {
    pub fn total(&self) -> u64 {
        let RevokedCounts { no_room, closed, unproven, ambiguous, expired, shutdown } = self;
        no_room + closed + unproven + ambiguous + expired + shutdown
    }

    fn add(&mut self, reason: RevokeReason) {
        let count = match reason {
            RevokeReason::Closed(CloseReason::NoRoom) => &mut self.no_room,
            RevokeReason::Closed(_) => &mut self.closed,
            RevokeReason::Unproven => &mut self.unproven,
            RevokeReason::Ambiguous => &mut self.ambiguous,
            RevokeReason::Expired => &mut self.expired,
            RevokeReason::Shutdown => &mut self.shutdown,
        };
        *count += 1;
    }
}

/// The mails that the decision module does not hold.
#[derive(Default)]
pub struct ProvisionalMails {
    held: BTreeMap<u64, Claim>,
    /// The deadlines of held mails.
    deadlines: BTreeSet<(Time, u64)>,
    /// Mails that are submitted to the decision module again, in the next turn in which it has released their index.
    returning: BTreeSet<u64>,
    /// Mails with a delivery that was revoked.
    claimed_delivered: BTreeSet<u64>,
}

impl ProvisionalMails {
    pub fn len(&self) -> usize {
        self.held.len() + self.returning.len()
    }

    pub fn contains(&self, serial: u64) -> bool {
        self.held.contains_key(&serial) || self.returning.contains(&serial)
    }

    /// When the outcome of a held mail is revoked next, if it does not become final.
    pub fn next_deadline(&self) -> Option<Time> {
        self.deadlines.first().map(|&(deadline, _)| deadline + EXPIRY_GRACE)
    }

    fn hold(&mut self, serial: u64, deadline: Time, claim: Claim) {
        self.held.insert(serial, claim);
        self.deadlines.insert((deadline, serial));
    }

    /// Whether an answer said that a mail was delivered, and was not believed.
    pub fn was_claimed_delivered(&self, serial: u64) -> bool {
        self.claimed_delivered.contains(&serial)
    }

    /// Removes a mail with this deadline that has ended; false if it was none of these.
    pub fn remove(&mut self, serial: u64, deadline: Time) -> bool {
        self.claimed_delivered.remove(&serial);
        self.release(serial, deadline)
    }

    fn release(&mut self, serial: u64, deadline: Time) -> bool {
        self.deadlines.remove(&(deadline, serial));
        self.held.remove(&serial).is_some() || self.returning.remove(&serial)
    }
}

impl ConnectReport {
    /// What the outcome claims; `None` if the call may have run, which needs no proof.
    pub fn claim(&self) -> Option<Claim> {
        match self.outcome {
            Outcome::Relayed if self.finished => Some(Claim::Delivered),
            _ if self.finished => Some(Claim::Over),
            outcome if outcome.never_ran() => Some(Claim::NeverRan),
            _ => None,
        }
    }
}

impl Exchange {
    /// The quiet periods of an endpoint's connections.
    pub fn quiet_periods(&self, endpoint: usize) -> QuietPeriods {
        self.control.quiet_periods(endpoint)
    }

    /// Whether silence on a connection to an endpoint shows that the answer before it belongs to its call.
    pub fn is_proof(&self, endpoint: usize, silence: Silence) -> bool {
        self.control.is_proof(endpoint, silence, self.clock.now())
    }

    /// How long connections to endpoints rest between calls.
    pub fn rest_between_calls(&self) -> Rest {
        self.control.rest_between_calls(self.clock.now())
    }

    /// An answer that belongs to no call came so long after the answer before it.
    pub fn note_surplus_answer(&mut self, delay: Duration) {
        log::debug!("a surplus answer came {} ms after the one before it", delay.as_millis());
        self.control.note_surplus_answer(to_time(delay), self.clock.now());
    }

    /// The effect of a mail that is owed.
    fn effect_of(&self, serial: u64) -> Option<Effect> {
        let class = usize::from(self.owed.get(&serial)?.class);
        Some(self.classes.classes[class].effect)
    }

    /// Whether a mail may be called again though its call may have run.
    pub fn may_repeat(&self, serial: u64) -> bool {
        self.effect_of(serial).is_some_and(|effect| effect != Effect::OnceOnly)
    }

    /// Whether silence on its connection can make the held outcome of a mail final.
    pub fn is_provable_by_silence(&self, serial: u64, attribution: Attribution, claim: Claim) -> bool {
        let effect = self.effect_of(serial);
        effect.is_none_or(|effect| attribution.is_provable_by_silence(claim, effect))
    }

    /// The claim of an outcome that must be held until it is final; `None` if nothing is lost should it be another
    /// call's.
    pub fn claim_to_hold(&self, serial: u64, report: &ConnectReport) -> Option<Claim> {
        let repeatable = self.effect_of(serial)? == Effect::Redeliverable;
        // A mail that may be in flight twice is sent again at once, whether or not its call runs.
        report.claim().filter(|claim| *claim != Claim::NeverRan || !repeatable || !self.may_overlap)
    }

    /// Takes the outcome of one mail's connect and holds it: it is final after `confirm` and void after `revoke`.
    pub fn connect_ended_provisionally(&mut self, serial: u64, report: ConnectReport, claim: Claim) {
        self.end_connect(serial, report, Some(claim));
    }

    /// Takes the outcome of one mail's connect that nothing can prove: the call may have run.
    pub fn connect_ended_ambiguously(&mut self, serial: u64, report: ConnectReport, claim: Claim) {
        self.connect_ended_provisionally(serial, report, claim);
        self.revoke(serial, RevokeReason::Ambiguous);
    }

    pub(super) fn detach(&mut self, serial: u64, claim: Claim) {
        let Some(owed) = self.owed.get(&serial) else { return };
        self.provisional.hold(serial, owed.deadline, claim);
        self.take_step(serial, Step::OutcomeHeld, &format_args!("{claim:?}"));
        self.open_mails -= 1;
        self.counts.provisional.held += 1;
        if claim == Claim::Over {
            self.record_over(serial);
            self.owed.get_mut(&serial).into_iter().for_each(|owed| owed.in_flight = None);
        }
    }

    /// Records that a message must not be called again, by this process or the next, before anything depends on whether the
    /// answer that says so is its own.
    fn record_over(&mut self, serial: u64) {
        let Some(owed) = self.owed.get_mut(&serial) else { return };
        owed.connects = NO_CONNECTS_LEFT;
        // If the answer is another call's, its own call may have run.
        owed.first_run = owed.first_run.or(owed.in_flight);
        if !self.write_over(serial, self.clock.now()) {
            self.unrecorded.add(serial, MissingRecord::Over);
        }
    }

    /// Writes the record that a message must not be called again; false if it could not be written.
    pub(super) fn write_over(&mut self, serial: u64, at: Time) -> bool {
        let (may_have_run, may_still_run, is_last) = (true, true, true);
        self.append_record(&Record::ConnectEnded { serial, may_have_run, may_still_run, is_last, at })
    }

    /// An answer that may be another call's says that a message is over whose call had timed out: it is not called again.
    pub fn over_late(&mut self, serial: u64) {
        if self.owed.get(&serial).is_none_or(|owed| owed.verdict.is_some()) {
            return;
        }
        self.counts.late += 1;
        self.record_over(serial);
        // A later call of it that is out stays so.
        if let Some(sent) = self.owed.get(&serial).and_then(|owed| owed.in_flight) {
            self.append_record(&Record::ConnectStarted { serial, sent });
        }
        if let Some(mail) = self.mail_serials.get(&serial) {
            self.inputs.push(Input::NoMoreConnects { mail });
        }
        self.notify.notify_one();
    }

    /// Whether a mail's outcome is still held.
    pub fn is_held(&self, serial: u64) -> bool {
        self.provisional.held.contains_key(&serial)
    }

    /// The outcome of a held mail is final.
    pub fn confirm(&mut self, serial: u64) {
        self.confirm_all(vec![serial]);
    }

    /// Returns whether the mail may be called again now.
    fn confirm_one(&mut self, serial: u64) -> bool {
        let Some(&claim) = self.provisional.held.get(&serial) else { return false };
        self.counts.provisional.confirmed += 1;
        match claim {
            Claim::Delivered | Claim::Over => {
                self.finish(serial, Step::Answered, &"confirmed");
                false
            }
            Claim::NeverRan => {
                self.give_back(serial, &"confirmed");
                self.record_connect_end(serial, false);
                true
            }
        }
    }

    /// The outcomes of held mails are final. Returns whether any of them may be called again now.
    pub fn confirm_all(&mut self, serials: Vec<u64>) -> bool {
        serials.into_iter().fold(false, |is_called_again, serial| self.confirm_one(serial) | is_called_again)
    }

    /// The outcome of a held mail may be another call's: its own call may have run.
    pub fn revoke(&mut self, serial: u64, reason: RevokeReason) {
        let Some(&claim) = self.provisional.held.get(&serial) else { return };
        self.counts.provisional.revoked.add(reason);
        if claim == Claim::Delivered {
            self.provisional.claimed_delivered.insert(serial);
        }
        let sent = self.give_back(serial, &format_args!("{claim:?} is revoked: {reason}"));
        if let Some(owed) = self.owed.get_mut(&serial) {
            owed.first_run = owed.first_run.or(sent);
        }
        self.record_connect_end(serial, true);
    }

    /// Lets the decision module say what becomes of a held mail. Returns its last connect.
    fn give_back(&mut self, serial: u64, reason: &dyn fmt::Display) -> Option<Sent> {
        self.take_step(serial, Step::OutcomeReleased, reason);
        let owed = self.owed.get_mut(&serial)?;
        self.provisional.release(serial, owed.deadline);
        self.provisional.returning.insert(serial);
        self.notify.notify_one();
        owed.in_flight.take()
    }

    fn record_connect_end(&mut self, serial: u64, may_have_run: bool) {
        let at = self.clock.now();
        let may_still_run = may_have_run;
        let ended = Record::ConnectEnded { serial, may_have_run, may_still_run, is_last: false, at };
        self.append_record(&ended);
    }

    /// Revokes the outcomes of held mails whose time is up: what cannot be confirmed any more gets a notice.
    pub(super) fn revoke_expired(&mut self, now: Time) {
        self.revoke_before((now + 1).saturating_sub(EXPIRY_GRACE), RevokeReason::Expired);
    }

    /// Revokes the outcomes of held mails with deadlines before a time.
    pub(super) fn revoke_before(&mut self, end: Time, reason: RevokeReason) {
        while let Some(&(deadline, serial)) = self.provisional.deadlines.first() {
            if deadline >= end {
                return;
            }
            self.revoke(serial, reason);
        }
    }

    /// Submits returning mails to the decision module, but for those that it has not released yet.
    pub(super) fn resubmit(&mut self) {
        for serial in std::mem::take(&mut self.provisional.returning) {
            if self.mail_serials.get(&serial).is_some() {
                self.provisional.returning.insert(serial);
                self.notify.notify_one();
            } else if let Some(owed) = self.owed.remove(&serial) {
                self.open_mails += 1;
                self.submit(serial, &owed);
                self.owed.insert(serial, owed);
                self.take_step(serial, Step::Resubmitted, &"the decisions have released it");
            }
        }
    }
}
