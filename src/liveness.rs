//! What an endpoint's latest calls show of whether it answers.

use std::ops::Range;

use crate::interface::Time;

/// Latest answers whose times are kept.
pub const KEPT_ANSWERS: usize = 4;
/// Latest calls without an answer whose begins are kept.
const KEPT_UNANSWERED: usize = 8;

#[derive(Clone, Debug)]
pub struct Liveness {
    /// When it answered, whatever it said; the latest is last.
    answers: [Time; KEPT_ANSWERS],
    unanswered: [UnansweredCall; KEPT_UNANSWERED],
}

/// A call that has ended without an answer.
#[derive(Clone, Copy, Debug)]
struct UnansweredCall {
    started_at: Time,
    ended_at: Time,
}

impl Liveness {
    pub const UNKNOWN: Liveness = Liveness {
        answers: [0; KEPT_ANSWERS],
        unanswered: [UnansweredCall { started_at: 0, ended_at: 0 }; KEPT_UNANSWERED],
    };

    /// A call was answered now.
    pub fn add_answer(&mut self, now: Time) {
        push(&mut self.answers, now);
    }

    /// A call that began at a time has ended without an answer now.
    pub fn add_unanswered(&mut self, started_at: Time, now: Time) {
        push(&mut self.unanswered, UnansweredCall { started_at, ended_at: now });
    }

    /// How many of the latest answers came after a time.
    pub fn count_answers_after(&self, time: Time) -> usize {
        self.answers.iter().filter(|&&at| at > time).count()
    }

    /// Whether any of the latest calls without an answer began within a range of times.
    pub fn has_unanswered_from(&self, begins: &Range<Time>) -> bool {
        self.unanswered.iter().any(|call| begins.contains(&call.started_at))
    }

    /// Whether any of the latest calls without an answer ended after a time.
    pub fn has_unanswered_after(&self, time: Time) -> bool {
        self.unanswered.iter().any(|call| call.ended_at > time)
    }
}

impl Default for Liveness {
    fn default() -> Self {
        Liveness::UNKNOWN
    }
}

fn push<T, const N: usize>(latest: &mut [T; N], one: T) {
    latest.rotate_left(1);
    latest[N - 1] = one;
}
