//! Restores what an earlier process knew of an endpoint, with less confidence the older it is.

use meadowhold::interface::{Time, SECOND};

/// What was known of an endpoint, and when.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Observation {
    /// When this was last known to be true.
    pub at: Time,
    /// Whether the endpoint was considered out.
    pub out: bool,
    /// When it was last seen to come back from an outage, cold; 0: long ago.
    pub back_at: Time,
    /// Until when it asked not to be called; 0: it did not ask.
    pub wait_until: Time,
    /// Tail latency of relayed calls; 0: not known.
    pub tail: Time,
    /// Calls per second to which this courier limited itself; 0: not limited.
    pub pace: f64,
}

#[derive(Clone, Copy, Debug)]
pub struct Params {
    /// How long an endpoint takes to warm up.
    pub warm_up: Time,
    /// Longest wait that is accepted from the file.
    pub max_wait: Time,
    /// Whether waits end with a restart, as the platform specifies it; then none is restored.
    pub restart_ends_waits: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    Healthy,
    /// One call whose mails may run twice goes first, as a probe.
    Suspect,
    Down,
}

/// The state with which a new process begins.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Restored {
    pub health: Health,
    /// Fraction of the warm-up that is still ahead; 1: all of it.
    pub cold: f64,
    /// Remaining time for which the endpoint asked not to be called.
    pub wait: Time,
    /// Tail latency, widened with age; `None` if too old or not known.
    pub tail: Option<Time>,
    /// Calls per second, moved towards the even share with age; `None` if too old or not known.
    pub pace: Option<f64>,
}

/// An endpoint that was out is considered out up to the first age, suspect up to the second, and healthy after.
const DOWN_FOR: Time = 10 * SECOND;
const SUSPECT_FOR: Time = 60 * SECOND;
/// A tail latency is doubled over the first of these ages and dropped after the second. A pace approaches the
/// even share until the third, and is dropped then.
const TAIL_WIDENS_OVER: Time = 60 * SECOND;
const TAIL_VALID_FOR: Time = 600 * SECOND;
const PACE_VALID_FOR: Time = 20 * SECOND;

/// `even_share` is this courier's even share of calls per second, which the pace approaches; 0: not known.
pub fn restore(observation: &Observation, now: Time, even_share: f64, params: Params) -> Restored {
    // A time in the future means that the clock was set back: the age is unknown and taken as the maximum.
    let age = now.checked_sub(observation.at).unwrap_or(Time::MAX);
    let health = match (observation.out, age) {
        (false, _) => Health::Healthy,
        (true, 0..DOWN_FOR) => Health::Down,
        (true, DOWN_FOR..SUSPECT_FOR) => Health::Suspect,
        (true, _) => Health::Healthy,
    };
    let since_back = now.checked_sub(observation.back_at).unwrap_or(Time::MAX);
    let warm = since_back as f64 / params.warm_up.max(1) as f64;
    let wait = observation.wait_until.saturating_sub(now).min(params.max_wait);
    let tail = (observation.tail > 0 && age < TAIL_VALID_FOR).then(|| {
        let factor = 1.0 + (age as f64 / TAIL_WIDENS_OVER as f64).min(1.0);
        (observation.tail as f64 * factor) as Time
    });
    let pace = (observation.pace > 0.0 && age < PACE_VALID_FOR).then(|| {
        let weight = age as f64 / PACE_VALID_FOR as f64;
        let target = if even_share > 0.0 { even_share } else { observation.pace };
        observation.pace + (target - observation.pace) * weight
    });
    Restored {
        health,
        cold: (1.0 - warm).clamp(0.0, 1.0),
        wait: if params.restart_ends_waits || age == Time::MAX { 0 } else { wait },
        tail,
        pace,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const PARAMS: Params = Params { warm_up: 4 * SECOND, max_wait: 30 * SECOND, restart_ends_waits: false };

    #[test]
    fn confidence_falls_with_age() {
        let now = 1_000 * SECOND;
        let seen = |age: Time| Observation {
            at: now - age,
            out: true,
            back_at: now - 3 * SECOND,
            wait_until: now + 2 * SECOND,
            tail: 1000,
            pace: 10.0,
        };
        // (age, health, tail, pace with an even share of 30)
        let rows = [
            (0, Health::Down, Some(1000), Some(10.0)),
            (DOWN_FOR - 1, Health::Down, Some(1166), None),
            (DOWN_FOR, Health::Suspect, Some(1166), Some(20.0)),
            (30 * SECOND, Health::Suspect, Some(1500), None),
            (SUSPECT_FOR, Health::Healthy, Some(2000), None),
            (TAIL_VALID_FOR, Health::Healthy, None, None),
        ];
        for (age, health, tail, pace) in rows {
            let restored = restore(&seen(age), now, 30.0, PARAMS);
            assert_eq!((restored.health, restored.tail), (health, tail), "{age}");
            assert!(pace.is_none() || restored.pace == pace, "{age}: {:?}", restored.pace);
            assert_eq!((restored.cold, restored.wait), (0.25, 2 * SECOND), "{age}");
        }
        let ended = restore(&seen(0), now, 0.0, Params { restart_ends_waits: true, ..PARAMS });
        assert_eq!((ended.wait, ended.pace), (0, Some(10.0)));
    }

    #[test]
    fn impossible_values_are_not_restored() {
        let now = 1_000 * SECOND;
        let future = Observation {
            at: now + SECOND,
            out: true,
            back_at: now + SECOND,
            wait_until: Time::MAX,
            tail: 5,
            pace: 5.0,
        };
        let restored = restore(&future, now, 0.0, PARAMS);
        assert_eq!(
            restored,
            Restored { health: Health::Healthy, cold: 0.0, wait: 0, tail: None, pace: None }
        );
        let long = Observation { at: now, wait_until: Time::MAX, ..Observation::default() };
        assert_eq!(restore(&long, now, 0.0, PARAMS).wait, PARAMS.max_wait);
    }
}
