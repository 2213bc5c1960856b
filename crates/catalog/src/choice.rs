//! Which relay a follower uses, when it leaves one that has fallen silent, and when it goes back. The order
//! is that of a weighted rendezvous, so who loses a relay goes to a second choice of its own, and a relay
//! more or less moves its own followers alone. Time and chance are handed in; one ask is out at a time.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::versions::Version;
use crate::{Time, SECOND};

/// A relay that is followed is asked so often what it holds, less up to a quarter by chance.
pub const EVERY: Time = SECOND;
/// An ask that is not answered by then has failed.
pub const PATIENCE: Time = 8 * SECOND / 10;
/// Who has lost its relay asks the next within this, by chance. Guards against all of them at one moment.
pub const SPREAD: Time = 4 * SECOND / 10;
/// Where all have failed: the pause before the next round, which doubles, and the most of it.
const ROUND: (Time, Time) = (SECOND / 5, 2 * SECOND);
/// A better choice is tried after the first of these and up to the sum of both, by chance.
pub const BACK: (Time, Time) = (5 * SECOND, 25 * SECOND);
/// A relay that stays behind what is held for so long is left for one that does not.
const BEHIND: Time = 3 * SECOND;

/// The relays in the order in which this follower prefers them, as indexes. `relays`: address and weight; one
/// of no weight comes last.
pub fn order(follower: &str, relays: &[(String, f64)]) -> Vec<usize> {
    let seed = xxh3_64_with_seed(follower.as_bytes(), 0);
    let score = |(address, weight): &(String, f64)| {
        // Evenly spread over (0, 1].
        let even = ((xxh3_64_with_seed(address.as_bytes(), seed) >> 11) + 1) as f64 / (1_u64 << 53) as f64;
        -even.ln() / weight.max(f64::MIN_POSITIVE)
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
    Rest(usize),
    /// None is followed, this one has been asked.
    Asked(usize),
    /// This one is followed.
    Following(usize),
    /// It is followed, and has been asked.
    Checked(usize),
    /// The first is followed, the second has been asked: it would be better, or holds what the first does
    /// not.
    Trying(usize, usize),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Input {
    /// The time that `due` named has come.
    Due,
    /// The one that was asked holds this.
    Said(Version),
    /// It was refused, broke off, or holds nothing.
    Failed,
    /// `Due` or `Failed` of the relay that is followed, while its list or watch is heard: it lives.
    Unanswered,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Nothing,
    /// Ask this relay what it holds; an ask that is out is given up.
    Ask(usize),
    /// Follow this relay's list from here on, by its index among those given.
    Follow(usize),
}

pub struct Choice {
    order: Vec<usize>,
    state: State,
    at: Time,
    /// Ranks that are left of this round.
    round: Vec<usize>,
    rounds: u32,
    /// Of those asked in this round and behind what is held, the one that is least so.
    best: Option<(Version, usize)>,
    /// It is taken though it is behind: none is better.
    lenient: bool,
    /// When a better choice is tried, and which.
    back: Time,
    better: usize,
    behind_since: Option<Time>,
    /// The newest version that another relay said it holds, and since when. Guards against one that answers
    /// on and has no news any more.
    elsewhere: Option<(Version, Time)>,
}

impl Choice {
    /// `order`: as `order` gives it, not empty.
    pub fn new(order: Vec<usize>, now: Time) -> Choice {
        debug_assert!(!order.is_empty());
        let round = (1..order.len()).collect();
        Choice {
            order,
            state: State::Rest(0),
            at: now,
            round,
            rounds: 0,
            best: None,
            lenient: false,
            back: now,
            better: 0,
            behind_since: None,
            elsewhere: None,
        }
    }

    /// When `Input::Due` is to be given, unless something comes first.
    pub fn due(&self) -> Time {
        self.at
    }

    pub fn state(&self) -> State {
        self.state
    }

    /// The relay that is followed is the one that was asked.
    pub fn is_checked(&self) -> bool {
        matches!(self.state, State::Checked(_))
    }

    /// The relay that is followed, by its index among those given.
    pub fn followed(&self) -> Option<usize> {
        match self.state {
            State::Rest(_) | State::Asked(_) => None,
            State::Following(r) | State::Checked(r) | State::Trying(r, _) => Some(self.order[r]),
        }
    }

    /// `held`: the version that the follower holds; `chance` is evenly spread from 0 to 1.
    pub fn put(&mut self, now: Time, input: Input, held: Option<Version>, chance: f64) -> Effect {
        use Input::{Due, Failed, Said, Unanswered};
        use State::{Asked, Checked, Following, Rest, Trying};
        if input == Due && now < self.at {
            return Effect::Nothing;
        }
        let is_behind = |version: Version| held.is_some_and(|held| version < held);
        // The table: state, input, next state, effect.
        match (self.state, input) {
            (Rest(r), Due) => {
                (self.state, self.at) = (Asked(r), now + PATIENCE);
                Effect::Ask(self.order[r])
            }
            (Asked(r), Said(version)) if !is_behind(version) || self.lenient => {
                self.follow(r, now, chance);
                self.behind_since = is_behind(version).then_some(now);
                Effect::Follow(self.order[r])
            }
            (Asked(r), Said(version)) => {
                self.best = self.best.max(Some((version, r)));
                self.next(now, chance);
                Effect::Nothing
            }
            (Asked(_), Failed | Unanswered | Due) => {
                self.lenient = false;
                self.next(now, chance);
                Effect::Nothing
            }
            (Following(r), Due) if self.order.len() > 1 && now >= self.back => {
                // One that would be better; where none is, any other.
                let better = if r > 0 { self.better % r } else { 1 + self.better % (self.order.len() - 1) };
                self.better = self.better.wrapping_add(1);
                (self.state, self.at) = (Trying(r, better), now + PATIENCE);
                Effect::Ask(self.order[better])
            }
            (Following(r), Due) => {
                (self.state, self.at) = (Checked(r), now + PATIENCE);
                Effect::Ask(self.order[r])
            }
            (Checked(r), Said(version)) => {
                self.elsewhere = self.elsewhere.filter(|&(newest, _)| version < newest);
                self.behind_since = is_behind(version).then(|| self.behind_since.unwrap_or(now));
                self.keep_unless_behind(r, now, chance);
                Effect::Nothing
            }
            (Checked(r), Unanswered) => {
                self.keep_unless_behind(r, now, chance);
                Effect::Nothing
            }
            (Checked(r), Failed | Due) => {
                self.lose(r, now, chance);
                Effect::Nothing
            }
            (Trying(r, better), Said(version)) if better < r && !is_behind(version) => {
                self.follow(better, now, chance);
                Effect::Follow(self.order[better])
            }
            (Trying(r, _), Said(_) | Failed | Unanswered | Due) => {
                if let Said(version) = input {
                    let newer = held.is_none_or(|held| version > held);
                    self.elsewhere = self.elsewhere.or(newer.then_some((version, now)));
                }
                (self.state, self.at, self.back) = (Following(r), now, later(now, chance));
                Effect::Nothing
            }
            // Of an ask that was given up.
            (Rest(_) | Following(_), Said(_) | Failed | Unanswered) => Effect::Nothing,
        }
    }

    /// The relay that is followed lives: it is kept, unless it has lacked for `BEHIND` what is known elsewhere.
    fn keep_unless_behind(&mut self, rank: usize, now: Time, chance: f64) {
        let since = self.behind_since.or(self.elsewhere.map(|(_, since)| since));
        if since.is_some_and(|since| now >= since + BEHIND) && self.order.len() > 1 {
            self.lose(rank, now, chance);
        } else {
            (self.state, self.at) = (State::Following(rank), now + every(chance));
        }
    }

    fn follow(&mut self, rank: usize, now: Time, chance: f64) {
        (self.state, self.at, self.back) = (State::Following(rank), now + every(chance), later(now, chance));
        (self.rounds, self.better, self.best, self.lenient) = (0, 0, None, false);
        (self.behind_since, self.elsewhere) = (None, None);
    }

    /// The others come first, and then this one.
    fn lose(&mut self, rank: usize, now: Time, chance: f64) {
        self.round = (0..self.order.len()).filter(|&other| other != rank).chain([rank]).collect();
        (self.best, self.lenient, self.rounds) = (None, false, 0);
        let first = self.round.remove(0);
        (self.state, self.at) = (State::Rest(first), now + (SPREAD as f64 * chance) as Time);
    }

    fn next(&mut self, now: Time, chance: f64) {
        if !self.round.is_empty() {
            (self.state, self.at) = (State::Rest(self.round.remove(0)), now);
            return;
        }
        // Guards against a follower without a relay where each is a little behind the one that was lost: what
        // it holds stays until the relay has caught up.
        if let Some((_, best)) = self.best.take().filter(|_| !self.lenient) {
            (self.state, self.at, self.lenient) = (State::Rest(best), now, true);
            return;
        }
        let step = (ROUND.0 << self.rounds.min(8)).min(ROUND.1);
        (self.rounds, self.lenient) = (self.rounds.saturating_add(1), false);
        self.round = (1..self.order.len()).collect();
        (self.state, self.at) = (State::Rest(0), now + step / 2 + (step as f64 / 2.0 * chance) as Time);
    }
}

fn every(chance: f64) -> Time {
    EVERY - (EVERY as f64 / 4.0 * chance) as Time
}

fn later(now: Time, chance: f64) -> Time {
    now + BACK.0 + (BACK.1 as f64 * chance) as Time
}
