//! Chooses the relay that a follower uses: when to leave one that has become silent, and when to return. Relays
//! are ranked by weighted rendezvous hashing, so the followers of a lost relay spread over all others, and adding
//! or removing a relay moves only its own followers. Time and random numbers are passed in; at most one query is
//! in flight.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::versions::Version;
use crate::{Time, SECOND};

/// Interval at which the followed relay is asked which version it holds; up to a quarter shorter at random.
pub const CHECK_INTERVAL: Time = SECOND;
/// A query that is not answered within this time has failed.
pub const ANSWER_TIMEOUT: Time = 8 * SECOND / 10;
/// Maximum random delay before a follower that has lost its relay queries the next one, so that not all its
/// followers do so at once.
pub const FAILOVER_JITTER: Time = 4 * SECOND / 10;
/// Pause after a round in which all relays have failed: the initial one, which doubles with each round, and the
/// maximum.
const ROUND_PAUSE: (Time, Time) = (SECOND / 5, 2 * SECOND);
/// Time until another relay is queried for comparison: the fixed part, and the maximum random addition.
pub const RETURN_DELAY: (Time, Time) = (5 * SECOND, 25 * SECOND);
/// A relay that lags for this long behind the version held here or known from another relay is left.
const MAX_LAG: Time = 3 * SECOND;

/// Ranks the relays for this follower by weighted rendezvous hashing; returns their indexes, the preferred one
/// first. `relays` holds addresses and weights; a relay of weight 0 comes last.
pub fn rank_relays(follower: &str, relays: &[(String, f64)]) -> Vec<usize> {
    let seed = xxh3_64_with_seed(follower.as_bytes(), 0);
    let score = |(address, weight): &(String, f64)| {
        // Uniform in (0, 1].
        let uniform = ((xxh3_64_with_seed(address.as_bytes(), seed) >> 11) + 1) as f64 / (1_u64 << 53) as f64;
        -uniform.ln() / weight.max(f64::MIN_POSITIVE)
    };
    let mut scored: Vec<(f64, &str, usize)> =
        relays.iter().enumerate().map(|(i, relay)| (score(relay), relay.0.as_str(), i)).collect();
    scored.sort_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.cmp(b.1)));
    scored.into_iter().map(|(_, _, i)| i).collect()
}

/// Relays are given by their rank for this follower, from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// No relay is followed; this one is queried next.
    Idle(usize),
    /// No relay is followed; this one has been queried.
    Querying(usize),
    /// This relay is followed.
    Following(usize),
    /// This relay is followed and has been queried.
    Checking(usize),
    /// The first relay is followed and the second has been queried: it may rank higher, or hold a newer version.
    Comparing(usize, usize),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Input {
    /// The time given by `due` has come.
    Due,
    /// The queried relay holds this version.
    Answered(Version),
    /// The query was refused or broke off, or the relay holds no list.
    Failed,
    /// Instead of `Due` or `Failed`: the followed relay did not answer the query, but data of its list still
    /// arrives, so it is alive.
    FailedButAlive,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Nothing,
    /// Ask this relay which version it holds, and drop any query in flight. The relay is given by its index.
    Query(usize),
    /// Follow the list of the relay with this index from now on.
    Follow(usize),
}

pub struct Choice {
    order: Vec<usize>,
    state: State,
    due_at: Time,
    /// Ranks still to be queried in this round.
    remaining: Vec<usize>,
    rounds: u32,
    /// Of the relays found behind the held version in this round, the least behind one, with its version.
    least_behind: Option<(Version, usize)>,
    /// The relay queried next is followed even if it is behind, since the round found no better one.
    accept_behind: bool,
    /// When another relay is queried for comparison.
    compare_at: Time,
    /// Counter that selects the next relay for comparison.
    candidate: usize,
    behind_since: Option<Time>,
    /// A version newer than the held one that another relay holds, and since when it is known. Detects a followed
    /// relay that still answers but gets no changes any more.
    newer_elsewhere: Option<(Version, Time)>,
}

impl Choice {
    /// `order` is the result of `rank_relays`; it must not be empty.
    pub fn new(order: Vec<usize>, now: Time) -> Choice {
        debug_assert!(!order.is_empty());
        let remaining = (1..order.len()).collect();
        Choice {
            order,
            state: State::Idle(0),
            due_at: now,
            remaining,
            rounds: 0,
            least_behind: None,
            accept_behind: false,
            compare_at: now,
            candidate: 0,
            behind_since: None,
            newer_elsewhere: None,
        }
    }

    /// When to call `handle` with `Input::Due`, unless another input comes first.
    pub fn due(&self) -> Time {
        self.due_at
    }

    pub fn state(&self) -> State {
        self.state
    }

    /// Whether the query in flight is to the followed relay.
    pub fn is_checking(&self) -> bool {
        matches!(self.state, State::Checking(_))
    }

    /// The index of the followed relay.
    pub fn followed(&self) -> Option<usize> {
        match self.state {
            State::Idle(_) | State::Querying(_) => None,
            State::Following(r) | State::Checking(r) | State::Comparing(r, _) => Some(self.order[r]),
        }
    }

    /// `held` is the version that the follower holds; `random` is uniform in 0..1.
    pub fn handle(&mut self, now: Time, input: Input, held: Option<Version>, random: f64) -> Effect {
        use Input::{Answered, Due, Failed, FailedButAlive};
        use State::{Checking, Comparing, Following, Idle, Querying};
        if input == Due && now < self.due_at {
            return Effect::Nothing;
        }
        let is_behind = |version: Version| held.is_some_and(|held| version < held);
        // Transitions by state and input.
        match (self.state, input) {
            (Idle(r), Due) => {
                (self.state, self.due_at) = (Querying(r), now + ANSWER_TIMEOUT);
                Effect::Query(self.order[r])
            }
            (Querying(r), Answered(version)) if !is_behind(version) || self.accept_behind => {
                self.follow(r, now, random);
                self.behind_since = is_behind(version).then_some(now);
                Effect::Follow(self.order[r])
            }
            (Querying(r), Answered(version)) => {
                self.least_behind = self.least_behind.max(Some((version, r)));
                self.try_next(now, random);
                Effect::Nothing
            }
            (Querying(_), Failed | FailedButAlive | Due) => {
                self.accept_behind = false;
                self.try_next(now, random);
                Effect::Nothing
            }
            (Following(r), Due) if self.order.len() > 1 && now >= self.compare_at => {
                // A relay that ranks higher; if there is none, any other.
                let other =
                    if r > 0 { self.candidate % r } else { 1 + self.candidate % (self.order.len() - 1) };
                self.candidate = self.candidate.wrapping_add(1);
                (self.state, self.due_at) = (Comparing(r, other), now + ANSWER_TIMEOUT);
                Effect::Query(self.order[other])
            }
            (Following(r), Due) => {
                (self.state, self.due_at) = (Checking(r), now + ANSWER_TIMEOUT);
                Effect::Query(self.order[r])
            }
            (Checking(r), Answered(version)) => {
                self.newer_elsewhere = self.newer_elsewhere.filter(|&(newest, _)| version < newest);
                self.behind_since = is_behind(version).then(|| self.behind_since.unwrap_or(now));
                self.keep_unless_behind(r, now, random);
                Effect::Nothing
            }
            (Checking(r), FailedButAlive) => {
                self.keep_unless_behind(r, now, random);
                Effect::Nothing
            }
            (Checking(r), Failed | Due) => {
                self.leave(r, now, random);
                Effect::Nothing
            }
            (Comparing(r, other), Answered(version)) if other < r && !is_behind(version) => {
                self.follow(other, now, random);
                Effect::Follow(self.order[other])
            }
            (Comparing(r, _), Answered(_) | Failed | FailedButAlive | Due) => {
                if let Answered(version) = input {
                    let newer = held.is_none_or(|held| version > held);
                    self.newer_elsewhere = self.newer_elsewhere.or(newer.then_some((version, now)));
                }
                (self.state, self.due_at, self.compare_at) = (Following(r), now, compare_time(now, random));
                Effect::Nothing
            }
            // The answer to a query that was dropped.
            (Idle(_) | Following(_), Answered(_) | Failed | FailedButAlive) => Effect::Nothing,
        }
    }

    /// Keeps the followed relay, which is alive, unless it has lagged for `MAX_LAG`.
    fn keep_unless_behind(&mut self, rank: usize, now: Time, random: f64) {
        let since = self.behind_since.or(self.newer_elsewhere.map(|(_, since)| since));
        if since.is_some_and(|since| now >= since + MAX_LAG) && self.order.len() > 1 {
            self.leave(rank, now, random);
        } else {
            (self.state, self.due_at) = (State::Following(rank), now + check_pause(random));
        }
    }

    fn follow(&mut self, rank: usize, now: Time, random: f64) {
        (self.state, self.due_at, self.compare_at) =
            (State::Following(rank), now + check_pause(random), compare_time(now, random));
        (self.rounds, self.candidate, self.least_behind, self.accept_behind) = (0, 0, None, false);
        (self.behind_since, self.newer_elsewhere) = (None, None);
    }

    /// Starts a round in which all other relays are queried first, and this one last.
    fn leave(&mut self, rank: usize, now: Time, random: f64) {
        self.remaining = (0..self.order.len()).filter(|&other| other != rank).chain([rank]).collect();
        (self.least_behind, self.accept_behind, self.rounds) = (None, false, 0);
        let first = self.remaining.remove(0);
        (self.state, self.due_at) = (State::Idle(first), now + (FAILOVER_JITTER as f64 * random) as Time);
    }

    fn try_next(&mut self, now: Time, random: f64) {
        if !self.remaining.is_empty() {
            (self.state, self.due_at) = (State::Idle(self.remaining.remove(0)), now);
            return;
        }
        // All relays may be slightly behind the lost one. Follow the least behind one rather than none: the held
        // version stays until the relay has caught up.
        if let Some((_, best)) = self.least_behind.take().filter(|_| !self.accept_behind) {
            (self.state, self.due_at, self.accept_behind) = (State::Idle(best), now, true);
            return;
        }
        let step = (ROUND_PAUSE.0 << self.rounds.min(8)).min(ROUND_PAUSE.1);
        (self.rounds, self.accept_behind) = (self.rounds.saturating_add(1), false);
        self.remaining = (1..self.order.len()).collect();
        (self.state, self.due_at) = (State::Idle(0), now + step / 2 + (step as f64 / 2.0 * random) as Time);
    }
}

fn check_pause(random: f64) -> Time {
    CHECK_INTERVAL - (CHECK_INTERVAL as f64 / 4.0 * random) as Time
}

fn compare_time(now: Time, random: f64) -> Time {
    now + RETURN_DELAY.0 + (RETURN_DELAY.1 as f64 * random) as Time
}
