//! Which relay a follower uses, when it leaves one that has fallen silent, and when it goes back. The order
//! is that of a weighted rendezvous, so who loses a relay goes to a second choice of its own, and a relay
//! more or less moves its own followers alone. Time and chance are handed in; one ask is out at a time.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::versions::Version;
use crate::{Time, SECOND};

/// A relay that is followed is asked so often what it holds, less up to a quarter by chance.
pub const CHECK_INTERVAL: Time = SECOND;
/// An ask that is not answered by then has failed.
pub const ANSWER_TIMEOUT: Time = 8 * SECOND / 10;
/// Who has lost its relay asks the next within this, by chance. Guards against all of them at one moment.
pub const FAILOVER_JITTER: Time = 4 * SECOND / 10;
/// Where all have failed: the pause before the next round, which doubles, and the most of it.
const ROUND_PAUSE: (Time, Time) = (SECOND / 5, 2 * SECOND);
/// A better choice is tried after the first of these and up to the sum of both, by chance.
pub const RETURN_DELAY: (Time, Time) = (5 * SECOND, 25 * SECOND);
/// A relay that stays behind what is held for so long is left for one that does not.
const MAX_LAG: Time = 3 * SECOND;

/// The relays in the order in which this follower prefers them, as indexes. `relays`: address and weight; one
/// of no weight comes last.
pub fn rank_relays(follower: &str, relays: &[(String, f64)]) -> Vec<usize> {
    let seed = xxh3_64_with_seed(follower.as_bytes(), 0);
    let score = |(address, weight): &(String, f64)| {
        // Evenly spread over (0, 1].
        let uniform = ((xxh3_64_with_seed(address.as_bytes(), seed) >> 11) + 1) as f64 / (1_u64 << 53) as f64;
        -uniform.ln() / weight.max(f64::MIN_POSITIVE)
    };
    let mut scored: Vec<(f64, &str, usize)> =
        relays.iter().enumerate().map(|(i, relay)| (score(relay), relay.0.as_str(), i)).collect();
    scored.sort_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.cmp(b.1)));
    scored.into_iter().map(|(_, _, i)| i).collect()
}

/// Ranks count in this follower's order, from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// None is followed; this one is asked next.
    Idle(usize),
    /// None is followed, this one has been asked.
    Querying(usize),
    /// This one is followed.
    Following(usize),
    /// It is followed, and has been asked.
    Checking(usize),
    /// The first is followed, the second has been asked: it would be better, or holds what the first does
    /// not.
    Comparing(usize, usize),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Input {
    /// The time that `due` named has come.
    Due,
    /// The one that was asked holds this.
    Answered(Version),
    /// It was refused, broke off, or holds nothing.
    Failed,
    /// `Due` or `Failed` of the relay that is followed, while its list or watch is heard: it lives.
    FailedButAlive,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Nothing,
    /// Ask this relay what it holds; an ask that is out is given up.
    Query(usize),
    /// Follow this relay's list from here on, by its index among those given.
    Follow(usize),
}

pub struct Choice {
    order: Vec<usize>,
    state: State,
    due_at: Time,
    /// Ranks that are left of this round.
    remaining: Vec<usize>,
    rounds: u32,
    /// Of those asked in this round and behind what is held, the one that is least so.
    least_behind: Option<(Version, usize)>,
    /// It is taken though it is behind: none is better.
    accept_behind: bool,
    /// When a better choice is tried, and which.
    compare_at: Time,
    candidate: usize,
    behind_since: Option<Time>,
    /// The newest version that another relay said it holds, and since when. Guards against one that answers
    /// on and has no news any more.
    newer_elsewhere: Option<(Version, Time)>,
}

impl Choice {
    /// `order`: as `order` gives it, not empty.
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

    /// When `Input::Due` is to be given, unless something comes first.
    pub fn due(&self) -> Time {
        self.due_at
    }

    pub fn state(&self) -> State {
        self.state
    }

    /// The relay that is followed is the one that was asked.
    pub fn is_checking(&self) -> bool {
        matches!(self.state, State::Checking(_))
    }

    /// The relay that is followed, by its index among those given.
    pub fn followed(&self) -> Option<usize> {
        match self.state {
            State::Idle(_) | State::Querying(_) => None,
            State::Following(r) | State::Checking(r) | State::Comparing(r, _) => Some(self.order[r]),
        }
    }

    /// `held`: the version that the follower holds; `random` is evenly spread from 0 to 1.
    pub fn handle(&mut self, now: Time, input: Input, held: Option<Version>, random: f64) -> Effect {
        use Input::{Answered, Due, Failed, FailedButAlive};
        use State::{Checking, Comparing, Following, Idle, Querying};
        if input == Due && now < self.due_at {
            return Effect::Nothing;
        }
        let is_behind = |version: Version| held.is_some_and(|held| version < held);
        // The table: state, input, next state, effect.
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
                // One that would be better; where none is, any other.
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
            // Of an ask that was given up.
            (Idle(_) | Following(_), Answered(_) | Failed | FailedButAlive) => Effect::Nothing,
        }
    }

    /// The relay that is followed lives: it is kept, unless it has lacked for `MAX_LAG` what is known elsewhere.
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

    /// The others come first, and then this one.
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
        // Guards against a follower without a relay where each is a little behind the one that was lost: what
        // it holds stays until the relay has caught up.
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
