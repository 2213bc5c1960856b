//! Which answers on a kept connection may be believed, and from when on.
//!
//! HTTP/1.1 ties an answer to its call by order alone. An endpoint or proxy that sends an answer twice shifts every
//! later answer on the connection to the call after its own. So an outcome is final at once only if its answer can
//! belong to no other call. Otherwise it is provisional until the connection has been quiet for as long as an answer may
//! still be outstanding. If an answer too many comes before that, any provisional outcome may be another call's.
//!
//! The own answer of a call may take longer than any quiet period, or never come. So silence after an answer proves a
//! delivery only together with the silence before the call: a copy of an earlier answer would have come in that time
//! (`Silence::before_call`).

use smallvec::SmallVec;

use crate::interface::{Effect, Time};

/// Distinct answers that are remembered of a connection. Beyond them each answer counts as one that has come before.
const MAX_KNOWN_ANSWERS: usize = 16;
/// A connection with provisional outcomes carries further calls for this many of the quiet periods that the first of
/// them needs. Then it rests until they are final.
const REUSE_QUIET_PERIODS: Time = 2;
/// Quiet periods after the last answer from which on an unproven delivery is doubtful.
const DOUBT_QUIET_PERIODS: Time = 2;

/// What an answer says of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Claim {
    /// It needs no further call.
    Delivered,
    /// It was over before the call, which did not run. It must not be called again, whosever the answer is.
    Over,
    /// The call did not run, so that any message may be called again.
    NeverRan,
}

/// The messages that an answer names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NamedMessages {
    Unnamed,
    /// Only messages of the call that is out.
    Own,
    /// At least one message of another call.
    Foreign,
}

/// What is known of an answer, besides its meaning.
#[derive(Clone, Copy, Debug)]
pub struct AnswerTraits {
    /// A hash of its bytes.
    pub fingerprint: u64,
    pub names: NamedMessages,
    /// It says that the endpoint closes the connection behind it.
    pub closes: bool,
}

/// Whether an answer belongs to the call that was out when it came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Attribution {
    Own,
    /// It is no copy of an earlier answer: all earlier ones belong to their calls, and it differs from each.
    NoCopy,
    /// All earlier answers belong to their calls, and it is like one of them.
    Repeated,
    /// An earlier answer need not belong to its call.
    OutOfStep,
    /// It belongs to another call.
    Foreign,
}

/// How long a connection must be quiet until provisional outcomes are final.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuietPeriods {
    /// For a refusal on a connection that was in order.
    pub short: Time,
    pub long: Time,
}

impl Attribution {
    /// The quiet period that an outcome needs to be final; `None` if it is final at once. Without a claim the call may
    /// have run, which is safe to believe, but the answer may be another call's all the same.
    pub fn quiet_period(self, claim: Option<Claim>, periods: QuietPeriods) -> Option<Time> {
        match (self, claim) {
            (Attribution::Own, _) | (Attribution::NoCopy, Some(Claim::Delivered | Claim::Over)) => None,
            // An endpoint may refuse or fail unasked, while the call is on its way. The own answer follows soon, mostly.
            (Attribution::NoCopy, _) | (Attribution::Repeated, Some(Claim::NeverRan)) => Some(periods.short),
            (Attribution::Repeated | Attribution::OutOfStep | Attribution::Foreign, _) => Some(periods.long),
        }
    }
}

/// A time in which no byte came on a connection, before a call and after its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Silence {
    /// When the answer came, or a later one that is no delivery and might be the call's own.
    pub since: Time,
    /// How long the connection had rested before the call, or before the shortest rested of the calls with provisional
    /// outcomes that it may have been shifted by.
    pub before_call: Time,
}

impl Attribution {
    /// Whether silence on the connection can make an outcome that is not final at once final for a message of this effect.
    /// Behind a refusal that may be a copy of an earlier one, the call of the message may still run, for longer than any
    /// quiet period. An endpoint that refuses unasked sends no copy, and only a once-only message must not rely on that.
    pub fn is_provable_by_silence(self, claim: Claim, effect: Effect) -> bool {
        match claim {
            Claim::Delivered | Claim::Over => true,
            Claim::NeverRan => self == Attribution::NoCopy && effect != Effect::OnceOnly,
        }
    }
}

/// An outcome that is to be held until it is final.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Held {
    /// `None` if the outcome is safe to believe for the messages of its call.
    pub message: Option<u64>,
    pub claim: Option<Claim>,
    pub quiet_period: Time,
    /// The quiet period is cut at the message's deadline, but not below the short one.
    pub min_quiet_period: Time,
    pub deadline: Time,
    /// The message may be called again though its call may have run.
    pub may_repeat: bool,
    /// How long the connection had rested before the call.
    pub rested: Time,
}

impl Held {
    /// Whether silence alone does not make it final.
    fn needs_proof(&self) -> bool {
        matches!(self.claim, Some(Claim::Delivered | Claim::Over))
    }

    /// When it is final if the last answer came at this time.
    fn due(&self, last_answer: Time) -> Time {
        let left = self.deadline.saturating_sub(last_answer);
        last_answer + self.quiet_period.min(left.max(self.min_quiet_period))
    }

    /// The last time at which a call leaves room for its answer, and for the short quiet period behind that, before the
    /// message's deadline.
    fn last_call(&self) -> Time {
        self.deadline.saturating_sub(2 * self.min_quiet_period)
    }

    /// Until when a further call may begin on the connection.
    fn reusable_until(&self, now: Time) -> Time {
        self.last_call().min(now + REUSE_QUIET_PERIODS * self.quiet_period)
    }

    /// From when on a delivery is not waited for any longer, if it is still unproven.
    fn is_doubtful(&self, now: Time, last_answer: Time) -> bool {
        self.may_repeat && now >= self.last_call().min(last_answer + DOUBT_QUIET_PERIODS * self.quiet_period)
    }

    /// When an unproven delivery is looked at again: at its deadline at the latest.
    fn next_check(&self, now: Time) -> Time {
        let next = now + self.min_quiet_period;
        if now < self.deadline {
            next.min(self.deadline)
        } else {
            next
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Provisional {
    held: Held,
    /// When its answer came, or a later one that is no delivery and might be its own.
    answered_at: Time,
    due: Time,
}

impl Provisional {
    fn silence(&self) -> Silence {
        Silence { since: self.answered_at, before_call: self.held.rested }
    }
}

/// What has become of the messages with provisional outcomes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Settled {
    pub confirmed: Vec<u64>,
    /// Messages that are better called again than waited for.
    pub doubtful: Vec<u64>,
}

/// The answers of one connection so far.
#[derive(Clone, Debug, Default)]
pub struct ResponseOrder {
    has_answered: bool,
    known_answers: SmallVec<[u64; 4]>,
    last_answer: Time,
    provisional: Vec<Provisional>,
    reusable_until: Time,
}

impl ResponseOrder {
    /// Judges an answer to the call that is out, and remembers it.
    pub fn attribute(&mut self, answer: AnswerTraits) -> Attribution {
        let is_first = !std::mem::replace(&mut self.has_answered, true);
        let is_known =
            self.known_answers.contains(&answer.fingerprint) || self.known_answers.len() == MAX_KNOWN_ANSWERS;
        if !is_known {
            self.known_answers.push(answer.fingerprint);
        }
        match answer.names {
            NamedMessages::Foreign => Attribution::Foreign,
            NamedMessages::Own => Attribution::Own,
            NamedMessages::Unnamed if is_first => Attribution::Own,
            NamedMessages::Unnamed if !self.is_in_step() => Attribution::OutOfStep,
            NamedMessages::Unnamed if is_known => Attribution::Repeated,
            // An endpoint that closes the connection runs no call behind this answer.
            NamedMessages::Unnamed if answer.closes => Attribution::Own,
            NamedMessages::Unnamed => Attribution::NoCopy,
        }
    }

    /// Whether an answer has come on the connection, so that further bytes need not belong to the call that is out.
    pub fn has_answered(&self) -> bool {
        self.has_answered
    }

    /// Whether nothing more can be learned from the connection: no message waits for it, and its silence could not show in
    /// time that no answer is outstanding.
    pub fn is_unprovable(&self, now: Time) -> bool {
        let is_overdue =
            |one: &Provisional| now >= self.last_answer + DOUBT_QUIET_PERIODS * one.held.quiet_period;
        !self.is_in_step() && !self.holds_messages() && self.provisional.iter().any(is_overdue)
    }

    /// Whether every provisional outcome is proven by the silence since its answer.
    pub fn is_proven(&self, is_proof: impl Fn(Silence) -> bool) -> bool {
        self.provisional.iter().all(|one| is_proof(one.silence()))
    }

    /// Whether each answer so far surely belongs to its call.
    pub fn is_in_step(&self) -> bool {
        self.provisional.is_empty()
    }

    /// Whether the connection may carry a further call.
    pub fn is_reusable(&self, now: Time) -> bool {
        self.is_in_step() || now < self.reusable_until
    }

    /// Holds an outcome of the answer that has just come until the connection has been quiet for a period. Without a
    /// message only the connection waits. The quiet periods of earlier outcomes begin anew.
    pub fn hold(&mut self, now: Time, mut held: Held) {
        // Whatever shifted an earlier answer has shifted this one too.
        let rested_before = self.provisional.iter().map(|one| one.held.rested).min();
        held.rested = held.rested.min(rested_before.unwrap_or(held.rested));
        let until = held.reusable_until(now);
        self.reusable_until = if self.is_in_step() { until } else { self.reusable_until.min(until) };
        if held.claim != Some(Claim::Delivered) {
            self.provisional.iter_mut().for_each(|one| one.answered_at = now);
        }
        self.provisional.push(Provisional { held, answered_at: now, due: 0 });
        self.last_answer = now;
        self.provisional.iter_mut().for_each(|one| one.due = one.held.due(now));
    }

    /// When the next provisional outcome is final, if the connection stays quiet.
    pub fn due(&self) -> Option<Time> {
        self.provisional.iter().map(|one| one.due).min()
    }

    /// Takes the messages whose outcomes are final, since no byte has come until now. An end is proven only by a silence in
    /// which other answers would have come (`is_proof`). Otherwise it is looked at again later.
    pub fn take_final(&mut self, now: Time, is_proof: impl Fn(Silence) -> bool) -> Settled {
        let mut settled = Settled::default();
        let last_answer = self.last_answer;
        self.provisional.retain_mut(|one| {
            if now < one.due {
                return true;
            }
            if !one.held.needs_proof() || is_proof(one.silence()) {
                settled.confirmed.extend(one.held.message);
                return false;
            }
            if one.held.is_doubtful(now, last_answer) {
                settled.doubtful.extend(one.held.message);
                return false;
            }
            one.due = one.held.next_check(now);
            true
        });
        settled
    }

    /// Takes the messages whose outcomes are final though the endpoint has closed the connection: it has been quiet for
    /// the short period since the last answer.
    pub fn take_final_at_close(
        &mut self,
        now: Time,
        short: Time,
        is_proof: impl Fn(Silence) -> bool,
    ) -> Vec<u64> {
        if now < self.last_answer + short {
            return Vec::new();
        }
        let mut confirmed = Vec::new();
        self.provisional.retain(|one| {
            let is_proven = is_proof(one.silence());
            confirmed.extend(one.held.message.filter(|_| is_proven));
            !is_proven
        });
        confirmed
    }

    /// Whether the outcome of any message is provisional.
    pub fn holds_messages(&self) -> bool {
        self.provisional.iter().any(|one| one.held.message.is_some())
    }

    /// Takes all messages with provisional outcomes: either an answer names its call's messages, so that all before it
    /// were in order, or the connection ends and nothing more can be known of them.
    pub fn take_all(&mut self) -> Vec<u64> {
        self.provisional.drain(..).filter_map(|one| one.held.message).collect()
    }

    /// Whether all provisional outcomes are deliveries, so that a further answer of the same meaning changes none.
    pub fn are_all_delivered(&self) -> bool {
        self.provisional.iter().all(|one| one.held.claim == Some(Claim::Delivered))
    }

    /// Drops the provisional outcomes of messages that have ended in another way.
    pub fn retain(&mut self, mut is_held: impl FnMut(u64) -> bool) {
        self.provisional.retain(|one| one.held.message.is_none_or(&mut is_held));
    }
}
