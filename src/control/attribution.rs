//! How long an answer of an endpoint may be outstanding, for outcomes that are provisional (`response_order`).

use std::ops::Range;

use super::{Control, TAIL_DEVIATIONS, TIMEOUT_TAILS};
use crate::interface::{Time, SECOND};
use crate::liveness::KEPT_ANSWERS;
use crate::response_order::{QuietPeriods, Silence};
use crate::state::Call;

/// Part of the connection timeout below which a short quiet period does not fall.
const MIN_SHORT_PERIOD: Time = 4;
/// How long a connection rests before a call where there may be another one: longer than the delays of a link differ.
const MIN_PREFERRED_REST: Time = SECOND / 10;
/// A connection must have rested for so many times the longest delay of a surplus answer.
const REST_PER_SURPLUS_DELAY: Time = 2;
/// How long the delay of a surplus answer counts.
const SURPLUS_MEMORY: Time = 60 * SECOND;

/// How long a connection rests between an answer and the next call, so that a copy of the answer shows itself before the
/// call rather than in the place of the call's own answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rest {
    /// Without it no call goes out on the connection.
    pub required: Time,
    /// With less, a call takes another connection, if there may be one more.
    pub preferred: Time,
}

/// The longest delay behind an earlier answer with which a surplus answer came of late, from any endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SurplusDelay {
    longest: Time,
    seen_at: Time,
}

impl SurplusDelay {
    fn add(&mut self, delay: Time, now: Time) {
        if delay >= self.longest_at(now) {
            *self = SurplusDelay { longest: delay, seen_at: now };
        }
    }

    fn longest_at(&self, now: Time) -> Time {
        if now < self.seen_at + SURPLUS_MEMORY {
            self.longest
        } else {
            0
        }
    }
}

impl Control {
    /// How long a connection to an endpoint must be quiet after an answer until its outcomes are final: as long as a
    /// message that may run again waits for an answer, or one tail latency for a refusal on a connection that was in
    /// order. An endpoint that stalls for less than the connection timeout counts as one that answers.
    pub fn quiet_periods(&self, endpoint: usize) -> QuietPeriods {
        let connect = self.settings.connection_timeout;
        let Some(e) = self.endpoints.get(endpoint).filter(|e| e.known) else {
            return QuietPeriods { short: connect, long: connect };
        };
        let measured = [&e.latency, &self.destinations[e.destination].latency];
        let tail = measured.into_iter().find(|latency| latency.measured);
        let tail = tail.map_or(connect as f64, |latency| latency.tail(TAIL_DEVIATIONS));
        QuietPeriods {
            short: connect.div_ceil(MIN_SHORT_PERIOD).max(tail as Time),
            long: connect.max((tail * TIMEOUT_TAILS[0]) as Time),
        }
    }

    /// An answer that belongs to no call has come so long after the answer before it. Connections of all endpoints rest
    /// longer from now on: what copies answers, or delays them, need not be the endpoint.
    pub fn note_surplus_answer(&mut self, delay: Time, now: Time) {
        self.surplus_delay.add(delay, now);
    }

    /// How long connections rest between calls.
    pub fn rest_between_calls(&self, now: Time) -> Rest {
        let required = REST_PER_SURPLUS_DELAY * self.surplus_delay.longest_at(now);
        Rest { required, preferred: required.max(MIN_PREFERRED_REST) }
    }

    /// Whether silence on a connection to an endpoint shows that the answer before it belongs to its call: an earlier answer's
    /// copy would have come before the call, and no other answer is outstanding.
    pub fn is_proof(&self, endpoint: usize, silence: Silence, now: Time) -> bool {
        silence.before_call >= self.rest_between_calls(now).required
            && self.is_answering(endpoint, silence.since)
    }

    /// Whether silence on a connection since a time shows that no answer has been outstanding there since then: the endpoint
    /// leaves no call unanswered, or it has answered later, when the answer would have come before. As copies may come from
    /// an endpoint that hangs, one later answer does not count if calls from around that time are unanswered; many do.
    pub fn is_answering(&self, endpoint: usize, since: Time) -> bool {
        let Some(e) = self.endpoints.get(endpoint) else { return true };
        let short = self.quiet_periods(endpoint).short;
        let (from, until) = (since.saturating_sub(short), since + short);
        match e.liveness.count_answers_after(until) {
            KEPT_ANSWERS => true,
            0 => {
                // A call that has just begun shows nothing.
                let out_before = until.max(self.now.saturating_sub(short));
                !e.liveness.has_unanswered_after(from) && !self.is_call_out(endpoint, 0..out_before)
            }
            _ => !e.liveness.has_unanswered_from(&(from..until)) && !self.is_call_out(endpoint, from..until),
        }
    }

    /// Whether a call to an endpoint is out that began within a range of times.
    fn is_call_out(&self, endpoint: usize, begins: Range<Time>) -> bool {
        let is_out = |call: &Call| {
            call.endpoint == endpoint && call.pending_mails > 0 && begins.contains(&call.started_at)
        };
        self.calls.iter().any(is_out)
    }
}
