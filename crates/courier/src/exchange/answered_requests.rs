//! The answers that requests got whose messages are not owed. A client whose connection closes under a request sends it once
//! more, with the same id, on a new connection: the answer to the copy must be that to the original.

use std::collections::{HashMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};

use bytes::Bytes;
use meadowhold::interface::{Time, SECOND};

use super::{Answer, Offer};
use crate::journal::Verdict;

/// How long after the answer a copy of a request may come: clients wait 0.4 s, and a copy may wait in the backlog of a
/// process that is busy or starts.
const COPY_WINDOW: Time = 10 * SECOND;
/// Bounds the memory for ended messages, and under a flood for refused requests; the oldest of each are forgotten first.
pub const MAX_REMEMBERED: usize = 8192;

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// Refused, with a hash of the request: another client may use the id of its own accord.
    Refused(u64),
    Delivered,
    GivenUp(Verdict),
}

impl RequestEnd {
    /// The end of a refused request.
    pub fn refused(offer: &Offer) -> RequestEnd {
        RequestEnd::Refused(fingerprint(offer))
    }

    /// The answer to a copy; `None` if this is another request that has the same id.
    fn answer_to(self, offer: &Offer) -> Option<Answer> {
        match self {
            RequestEnd::Refused(of) => (of == fingerprint(offer)).then_some(Answer::Busy),
            RequestEnd::Delivered => Some(Answer::Known),
            RequestEnd::GivenUp(verdict) => Some(answer_behind_notice(verdict)),
        }
    }
}

/// The answer to a request whose message was given up: what the notice says.
pub fn answer_behind_notice(verdict: Verdict) -> Answer {
    match verdict {
        Verdict::Bounced(_) => Answer::Busy,
        Verdict::Dead => Answer::Failed("ERR given up"),
    }
}

fn fingerprint(offer: &Offer) -> u64 {
    let Offer { id, key, order_key, class, destination, lifetime, body } = offer;
    let mut hasher = DefaultHasher::new();
    (id, key, order_key, class, destination, lifetime, body).hash(&mut hasher);
    hasher.finish()
}

/// The latest requests that were answered. Refused ones are kept apart, so that a flood of them does not push out the ended
/// messages, which must not run again.
#[derive(Default)]
pub struct AnsweredRequests {
    ended: LatestRequests,
    refused: LatestRequests,
}

/// The latest requests, by id.
#[derive(Default)]
struct LatestRequests {
    by_id: HashMap<Bytes, (Time, RequestEnd)>,
    /// In the order of their ends. An id may stand here more than once.
    oldest_first: VecDeque<(Time, Bytes)>,
}

impl AnsweredRequests {
    pub fn remember(&mut self, now: Time, id: &Bytes, end: RequestEnd) {
        match end {
            RequestEnd::Refused(_) => self.refused.remember(now, id, end),
            RequestEnd::Delivered | RequestEnd::GivenUp(_) => {
                self.refused.by_id.remove(id);
                self.ended.remember(now, id, end);
            }
        }
    }

    /// The answer to a request that is a copy of one of these.
    pub fn answer_to(&self, now: Time, offer: &Offer) -> Option<Answer> {
        let ended = self.ended.answer_to(now, offer);
        ended.or_else(|| self.refused.answer_to(now, offer))
    }
}

impl LatestRequests {
    fn remember(&mut self, now: Time, id: &Bytes, end: RequestEnd) {
        self.forget(now);
        // Copied, since the id is a slice of a larger buffer.
        let id = Bytes::copy_from_slice(id);
        self.oldest_first.push_back((now, id.clone()));
        self.by_id.insert(id, (now, end));
    }

    fn answer_to(&self, now: Time, offer: &Offer) -> Option<Answer> {
        let &(at, end) = self.by_id.get(&offer.id)?;
        (now < at + COPY_WINDOW).then(|| end.answer_to(offer)).flatten()
    }

    fn forget(&mut self, now: Time) {
        while let Some((at, id)) = self.oldest_first.front() {
            if now < at + COPY_WINDOW && self.oldest_first.len() < MAX_REMEMBERED {
                return;
            }
            if self.by_id.get(id).is_some_and(|of| of.0 == *at) {
                self.by_id.remove(id);
            }
            self.oldest_first.pop_front();
        }
    }
}
