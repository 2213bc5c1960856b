//! The phases of a message, from its acceptance to its end. Every change of a message's phase goes through the table
//! below, so that a message ends once and nothing that is still under way brings it back.

use std::collections::HashMap;

/// Where an owed message is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// With the decisions, and no call of it is out.
    Waiting,
    Called,
    /// Its last outcome may be another call's.
    Provisional,
    /// It goes back to the decisions, since its last outcome has become final or void.
    Returning,
    /// Only its notice is still owed.
    GivenUp,
    Ended,
}

/// What happens to a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    CallBegins,
    /// Its call has ended, and nobody knows of a delivery.
    CallFails,
    OutcomeHeld,
    /// A held outcome is void, or is final and no end.
    OutcomeReleased,
    Resubmitted,
    GivenUp,
    /// A final answer of an endpoint: delivered, or over before the call.
    Answered,
    /// A call that had been given up was delivered after all.
    AnsweredLate,
    /// Its client left without having read the acceptance.
    Withdrawn,
    NoticeAccepted,
}

/// (phase, step, next phase). Any other pair is a fault.
pub const TRANSITIONS: [(Phase, Step, Phase); 18] = [
    (Phase::Waiting, Step::CallBegins, Phase::Called),
    (Phase::Waiting, Step::GivenUp, Phase::GivenUp),
    (Phase::Waiting, Step::AnsweredLate, Phase::Ended),
    (Phase::Waiting, Step::Withdrawn, Phase::Ended),
    (Phase::Called, Step::CallFails, Phase::Waiting),
    (Phase::Called, Step::OutcomeHeld, Phase::Provisional),
    (Phase::Called, Step::Answered, Phase::Ended),
    // An earlier call's answer, while a later one is out.
    (Phase::Called, Step::AnsweredLate, Phase::Ended),
    (Phase::Called, Step::Withdrawn, Phase::Ended),
    (Phase::Provisional, Step::OutcomeReleased, Phase::Returning),
    (Phase::Provisional, Step::Answered, Phase::Ended),
    (Phase::Provisional, Step::AnsweredLate, Phase::Ended),
    (Phase::Provisional, Step::Withdrawn, Phase::Ended),
    (Phase::Returning, Step::Resubmitted, Phase::Waiting),
    (Phase::Returning, Step::AnsweredLate, Phase::Ended),
    (Phase::Returning, Step::Withdrawn, Phase::Ended),
    (Phase::GivenUp, Step::NoticeAccepted, Phase::Ended),
    // An acknowledgement that comes twice changes nothing.
    (Phase::Ended, Step::NoticeAccepted, Phase::Ended),
];

/// The phase after a step; `None` if the step cannot happen in this phase.
pub fn next_phase(phase: Phase, step: Step) -> Option<Phase> {
    TRANSITIONS.iter().find(|row| (row.0, row.1) == (phase, step)).map(|row| row.2)
}

/// The phases of all owed messages, by serial number.
#[derive(Default)]
pub struct Lifecycle {
    phases: HashMap<u64, Phase>,
}

impl Lifecycle {
    /// Adds an accepted or restored message.
    pub fn add(&mut self, serial: u64, phase: Phase) {
        self.phases.insert(serial, phase);
    }

    /// A message that is not known has ended.
    pub fn phase(&self, serial: u64) -> Phase {
        self.phases.get(&serial).copied().unwrap_or(Phase::Ended)
    }

    /// Number of messages that have not ended.
    pub fn len(&self) -> usize {
        self.phases.len()
    }

    pub fn is_empty(&self) -> bool {
        self.phases.is_empty()
    }

    /// Takes a step and returns the phases before and after it.
    ///
    /// # Errors
    /// The phase, unchanged, if the step cannot happen in it.
    pub fn take(&mut self, serial: u64, step: Step) -> Result<(Phase, Phase), Phase> {
        let before = self.phase(serial);
        let after = next_phase(before, step).ok_or(before)?;
        match after {
            Phase::Ended => drop(self.phases.remove(&serial)),
            after => drop(self.phases.insert(serial, after)),
        }
        Ok((before, after))
    }
}
