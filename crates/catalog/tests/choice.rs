//! Tests of the relay choice: transitions, the spread of followers over relays, and seeded simulations of many
//! followers.

use std::collections::HashMap;

use meadowhold_catalog::choice::{
    rank_relays, Choice, Effect, Input, State, ANSWER_TIMEOUT, CHECK_INTERVAL, FAILOVER_JITTER, RETURN_DELAY,
};
use meadowhold_catalog::versions::Version;
use meadowhold_catalog::{Time, SECOND};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn relays(count: usize) -> Vec<(String, f64)> {
    (0..count).map(|i| (format!("10.0.0.{i}:7000"), 1.0)).collect()
}

const AT: Version = Version { epoch: 1, index: 10 };

fn at(index: u64) -> Version {
    Version { index, ..AT }
}

#[test]
fn the_ranking_is_stable_and_an_added_relay_moves_only_its_own_followers() {
    assert_eq!(rank_relays("courier-1", &relays(5)), ORDER);
    let (five, six) = (relays(5), relays(6));
    let (mut moved, mut others) = (0, 0);
    for follower in 0..1300 {
        let name = format!("courier-{follower}");
        let (before, after) = (rank_relays(&name, &five)[0], rank_relays(&name, &six)[0]);
        match (before == after, after) {
            (true, _) => {}
            (false, 5) => moved += 1,
            (false, _) => others += 1,
        }
    }
    // Expected: a sixth of 1,300 = 217, within six standard deviations.
    assert!(others == 0 && (136..=298).contains(&moved), "{moved} {others}");
}

const ORDER: [usize; 5] = [1, 3, 4, 2, 0];

#[test]
fn followers_spread_by_weight_and_those_of_a_lost_relay_over_all_others() {
    let mut five = relays(5);
    let mut counts = HashMap::new();
    for follower in 0..1300 {
        let order = rank_relays(&format!("courier-{follower}"), &five);
        *counts.entry((order[0], order[1])).or_insert(0) += 1;
    }
    for first in 0..5 {
        let seconds: Vec<i32> = (0..5).filter_map(|second| counts.get(&(first, second)).copied()).collect();
        // Expected: 260 for each relay, 65 of them with each other relay as second; within six standard deviations.
        let all: i32 = seconds.iter().sum();
        assert!((174..=346).contains(&all) && seconds.len() == 4, "{seconds:?}");
        assert!(seconds.iter().all(|count| (20..=112).contains(count)), "{seconds:?}");
    }
    five[2].1 = 3.0;
    let thirds =
        (0..1300).filter(|follower| rank_relays(&format!("courier-{follower}"), &five)[0] == 2).count();
    // Expected: 3/7 of 1,300 = 557.
    assert!((450..=664).contains(&thirds), "{thirds}");
}

/// Drives the choice of one follower, an input at a time.
struct TestFollower {
    choice: Choice,
    now: Time,
    held: Option<Version>,
}

impl TestFollower {
    fn new(relays: usize) -> TestFollower {
        TestFollower { choice: Choice::new((0..relays).collect(), 0), now: 0, held: None }
    }

    fn due(&mut self) -> Effect {
        self.now = self.choice.due();
        self.choice.handle(self.now, Input::Due, self.held, 0.5)
    }

    fn handle(&mut self, input: Input) -> Effect {
        self.choice.handle(self.now, input, self.held, 0.5)
    }
}

#[test]
fn state_transitions() {
    let mut one = TestFollower::new(3);
    assert_eq!(one.due(), Effect::Query(0));
    assert_eq!(one.handle(Input::Answered(at(10))), Effect::Follow(0));
    one.held = Some(at(10));
    // The relay is checked regularly and finally times out: the next one is queried after a random delay.
    assert_eq!(one.due(), Effect::Query(0));
    assert_eq!(one.handle(Input::Answered(at(11))), Effect::Nothing);
    assert_eq!(one.choice.state(), State::Following(0));
    assert_eq!(one.due(), Effect::Query(0));
    let asked = one.now;
    assert_eq!(one.due(), Effect::Nothing);
    assert_eq!((one.choice.state(), one.now), (State::Idle(1), asked + ANSWER_TIMEOUT));
    assert_eq!(one.due(), Effect::Query(1));
    assert_eq!(one.now, asked + ANSWER_TIMEOUT + FAILOVER_JITTER / 2);
    // A relay that is behind is passed over; if all are behind, the least behind one is followed.
    assert_eq!(one.handle(Input::Answered(at(8))), Effect::Nothing);
    assert_eq!(one.due(), Effect::Query(2));
    assert_eq!(one.handle(Input::Answered(at(9))), Effect::Nothing);
    assert_eq!(one.due(), Effect::Query(0));
    assert_eq!(one.handle(Input::Failed), Effect::Nothing);
    assert_eq!(one.due(), Effect::Query(2));
    assert_eq!(one.handle(Input::Answered(at(9))), Effect::Follow(2));
    assert_eq!(one.choice.followed(), Some(2));
    // It is left after `MAX_LAG` if it does not catch up.
    assert_eq!(one.due(), Effect::Query(2));
    assert_eq!(one.handle(Input::Answered(at(10))), Effect::Nothing);
    for _ in 0..3 {
        assert_eq!(one.due(), Effect::Query(2));
        assert_eq!(one.handle(Input::Answered(at(9))), Effect::Nothing);
        assert_eq!(one.choice.state(), State::Following(2));
    }
    one.now += 4 * SECOND;
    assert_eq!(one.choice.handle(one.now, Input::Due, one.held, 0.5), Effect::Query(2));
    assert_eq!(one.handle(Input::Answered(at(9))), Effect::Nothing);
    assert_eq!(one.choice.state(), State::Idle(0));
    // If no relay answers, rounds repeat with growing pauses, and none is followed.
    let mut asks = Vec::new();
    for _ in 0..40 {
        if let Effect::Query(_) = one.due() {
            asks.push(one.now);
            assert_eq!(one.handle(Input::Failed), Effect::Nothing);
        }
        assert_eq!(one.choice.followed(), None);
    }
    assert!(asks.windows(2).all(|pair| pair[1] - pair[0] <= 2 * SECOND));
    // A relay with an older epoch is behind, whatever its index.
    let mut other = TestFollower::new(2);
    other.held = Some(Version { epoch: 2, index: 3 });
    assert_eq!(other.due(), Effect::Query(0));
    assert_eq!(other.handle(Input::Answered(at(100))), Effect::Nothing);
    assert_eq!(other.due(), Effect::Query(1));
    assert_eq!(other.handle(Input::Answered(Version { epoch: 3, index: 1 })), Effect::Follow(1));
}

#[test]
fn a_follower_returns_to_its_preferred_relay_after_a_random_delay() {
    let mut one = TestFollower::new(2);
    assert_eq!(one.due(), Effect::Query(0));
    assert_eq!(one.handle(Input::Failed), Effect::Nothing);
    assert_eq!(one.due(), Effect::Query(1));
    assert_eq!(one.handle(Input::Answered(AT)), Effect::Follow(1));
    let (since, mut tries) = (one.now, 0);
    while one.choice.followed() == Some(1) {
        let effect = one.due();
        let input = match effect {
            Effect::Query(1) => Input::Answered(AT),
            // The first query fails: the current relay stays followed, and a new delay begins.
            Effect::Query(0) if tries == 0 => Input::Failed,
            Effect::Query(0) => Input::Answered(AT),
            _ => continue,
        };
        tries += usize::from(effect == Effect::Query(0));
        one.handle(input);
    }
    let delay = RETURN_DELAY.0 + RETURN_DELAY.1 / 2;
    assert_eq!((one.choice.followed(), tries), (Some(0), 2));
    assert!((2 * delay..2 * delay + 4 * CHECK_INTERVAL).contains(&(one.now - since)), "{}", one.now - since);
}

#[test]
fn a_relay_that_answers_but_stays_behind_is_left_for_a_current_one() {
    let mut one = TestFollower::new(3);
    assert_eq!(one.due(), Effect::Query(0));
    assert_eq!(one.handle(Input::Answered(at(10))), Effect::Follow(0));
    one.held = Some(at(10));
    let (mut looked, mut left) = (Vec::new(), None);
    while left.is_none() && one.now < 120 * SECOND {
        match one.due() {
            Effect::Query(0) => {
                one.handle(Input::Answered(at(10)));
            }
            // The others have a newer version after 30 s.
            Effect::Query(relay) => {
                looked.push((one.now, relay));
                one.handle(Input::Answered(at(if one.now > 30 * SECOND { 11 } else { 10 })));
            }
            _ => {}
        }
        left = (one.choice.followed() != Some(0)).then_some(one.now);
    }
    let left = left.expect("the relay is left");
    assert!(looked.iter().any(|(_, relay)| *relay == 1) && looked.iter().any(|(_, relay)| *relay == 2));
    assert!(left < 30 * SECOND + RETURN_DELAY.0 + RETURN_DELAY.1 + 5 * SECOND, "{left}");
    assert_eq!(one.due(), Effect::Query(1));
    assert_eq!(one.handle(Input::Answered(Version { index: 11, ..AT })), Effect::Follow(1));
    // A relay that is only slightly later than the others is kept.
    let mut other = TestFollower::new(2);
    assert_eq!(other.due(), Effect::Query(0));
    assert_eq!(other.handle(Input::Answered(at(10))), Effect::Follow(0));
    let mut index = 10;
    while other.now < 120 * SECOND {
        other.held = Some(at(index));
        match other.due() {
            Effect::Query(0) => {
                index += 1;
                other.handle(Input::Answered(at(index)));
            }
            Effect::Query(_) => {
                other.handle(Input::Answered(at(index + 1)));
            }
            _ => {}
        }
        assert_eq!(other.choice.followed(), Some(0));
    }
}

/// A follower's choice, its held version, and the time and relay of the next answer.
type Follower = (Choice, Option<Version>, Option<(Time, usize)>);

/// Followers and relays in simulated time.
struct Simulation {
    followers: Vec<Follower>,
    rng: fastrand::Rng,
}

impl Simulation {
    fn new(followers: usize, relays: &[(String, f64)], seed: u64) -> Simulation {
        let choice = |i| Choice::new(rank_relays(&format!("courier-{i}"), relays), 0);
        let followers = (0..followers).map(|i| (choice(i), None, None)).collect();
        Simulation { followers, rng: fastrand::Rng::with_seed(seed) }
    }

    /// Runs from `from` to `to`. `answer_of` gives the answer of a relay at a time; `None`: it does not answer.
    /// Returns when which relay was followed.
    fn run(
        &mut self,
        from: Time,
        to: Time,
        answer_of: impl Fn(usize, Time) -> Option<Version>,
    ) -> Vec<(Time, usize)> {
        let mut followed = Vec::new();
        for (choice, held, out) in &mut self.followers {
            loop {
                let answer = out.filter(|&(_, relay)| answer_of(relay, from).is_some()).map(|(at, _)| at);
                let now = answer.unwrap_or(Time::MAX).min(choice.due()).max(from);
                if now >= to {
                    break;
                }
                let input = match *out {
                    Some((at, relay)) if at <= now => {
                        answer_of(relay, now).map_or(Input::Failed, Input::Answered)
                    }
                    _ => Input::Due,
                };
                if input != Input::Due || now >= choice.due() {
                    *out = out.filter(|_| input == Input::Due);
                }
                match choice.handle(now, input, *held, self.rng.f64()) {
                    Effect::Nothing => {}
                    Effect::Query(relay) => *out = answer_of(relay, now).map(|_| (now + 20, relay)),
                    Effect::Follow(relay) => followed.push((now, relay)),
                }
                if let Some(version) = choice.followed().and_then(|relay| answer_of(relay, now)) {
                    *held = (*held).max(Some(version));
                }
            }
        }
        followed
    }
}

#[test]
fn followers_leave_a_lost_relay_within_seconds_and_return_spread_over_time() {
    let five = relays(5);
    for seed in 0..20 {
        let mut simulation = Simulation::new(1300, &five, seed);
        let first = simulation.run(0, 60 * SECOND, |_, _| Some(AT));
        assert_eq!(first.len(), 1300);
        let mine = first.iter().filter(|(_, relay)| *relay == 3).count();
        // Relay 3 is silent for a minute.
        let moves = simulation.run(60 * SECOND, 120 * SECOND, |relay, _| (relay != 3).then_some(AT));
        assert_eq!(moves.len(), mine, "seed {seed}");
        let latest = moves.iter().map(|(at, _)| at - 60 * SECOND).max().unwrap();
        assert!(latest <= CHECK_INTERVAL + ANSWER_TIMEOUT + FAILOVER_JITTER + 20, "seed {seed}: {latest}");
        for relay in [0, 1, 2, 4] {
            let come = moves.iter().filter(|(_, to)| *to == relay).count();
            assert!(come * 2 < mine, "seed {seed}: {come} of {mine} to one");
        }
        // It is back: all its followers return, spread over time.
        let back = simulation.run(120 * SECOND, 200 * SECOND, |_, _| Some(AT));
        assert!(back.iter().all(|(_, relay)| *relay == 3) && back.len() == mine, "seed {seed}");
        let in_a_second =
            |from: Time| back.iter().filter(|(at, _)| (from..from + SECOND).contains(at)).count();
        let most = (120..200).map(|s| in_a_second(s * SECOND)).max().unwrap();
        assert!(most * 4 < mine, "seed {seed}: {most} of {mine} in one second");
    }
}

/// The same cases in each run; set `PROPTEST_CASES` for more.
fn seeded() -> ProptestConfig {
    ProptestConfig { failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(seeded())]

    /// Whatever the answers: the next due time is bounded, only existing relays are queried, and a relay that is
    /// behind is followed only after a round found no better one.
    #[test]
    fn invariants_hold_for_any_answers(
        count in 1_usize..6,
        steps in proptest::collection::vec((0_u8..4, 0_u64..20, 0.0..1.0, 0_u64..30_000), 1..200),
    ) {
        let mut choice = Choice::new(rank_relays("courier-1", &relays(count)), 0);
        let (mut now, mut held, mut asked) = (0, None, None);
        let mut behind_in_row = 0;
        for (kind, index, random, wait) in steps {
            now = if kind == 0 { choice.due().max(now) } else { (now + wait).min(choice.due().max(now)) };
            let input = match kind {
                0 | 1 => Input::Due,
                2 => Input::Failed,
                _ => Input::Answered(at(index)),
            };
            let state = choice.state();
            let out = matches!(state, State::Querying(_) | State::Checking(_) | State::Comparing(..));
            let effect = choice.handle(now, input, held, random);
            prop_assert!(choice.due() <= now + RETURN_DELAY.0 + RETURN_DELAY.1);
            match (input, effect) {
                (_, Effect::Query(relay)) => {
                    prop_assert!(relay < count);
                    asked = Some(relay);
                }
                (Input::Answered(version), Effect::Follow(relay)) => {
                    prop_assert!(out && asked == Some(relay));
                    if Some(version) < held {
                        prop_assert!(behind_in_row > 0, "a relay that is behind was followed at once");
                    }
                    behind_in_row = 0;
                    held = held.max(Some(version));
                }
                (Input::Answered(version), _) if matches!(state, State::Querying(_)) => {
                    behind_in_row += usize::from(Some(version) < held);
                }
                (_, Effect::Follow(_)) => prop_assert!(false, "followed without an answer"),
                _ => {}
            }
        }
    }
}
