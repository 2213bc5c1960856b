//! Decides when a starting courier may open a new connection to an endpoint. Each courier has an even share of
//! the endpoint's capacity: it opens connections at fixed intervals on the common clock, and the phases of all
//! couriers are evenly spread. Unused opportunities do not accumulate, since couriers could then open many
//! connections at once.

use std::collections::HashMap;

use meadowhold::interface::{Time, SECOND};

use crate::stagger;

/// The time over which an endpoint's capacity for new connections is counted.
pub const CAPACITY_WINDOW: Time = SECOND / 10;
/// Fraction of the capacity that is used, since the phases are not perfectly even.
const USED_FRACTION: f64 = 0.7;

#[derive(Clone, Copy, Debug)]
pub struct Params {
    pub couriers: usize,
    /// New connections that an endpoint can take in `CAPACITY_WINDOW`; 0: not known, and nothing is delayed.
    pub connections_per_window: f64,
    /// Maximum delay of a connection, whatever the endpoint's capacity.
    pub max_wait: Time,
    /// How long after its start a courier paces its connections.
    pub duration: Time,
}

#[derive(Debug)]
pub struct ConnectionPacer {
    /// Time between two connections to one endpoint; 0: no pacing.
    interval: Time,
    position: f64,
    paced_until: Time,
    /// By endpoint: the earliest time that is not yet taken by a connection.
    next_free: HashMap<Box<[u8]>, Time>,
    max_wait: Time,
}

impl ConnectionPacer {
    /// `now` is the start of the process on a clock that all couriers share.
    pub fn new(now: Time, position: f64, params: Params) -> ConnectionPacer {
        let windows = if params.connections_per_window > 0.0 {
            params.couriers as f64 / (params.connections_per_window * USED_FRACTION)
        } else {
            0.0
        };
        let interval = ((windows * CAPACITY_WINDOW as f64) as Time).min(params.max_wait);
        let (paced_until, max_wait) = (now + params.duration, params.max_wait);
        ConnectionPacer { interval, position, paced_until, next_free: HashMap::new(), max_wait }
    }

    /// Reserves a time to open a connection that is wanted now to the endpoint of this name: at most `max_wait`
    /// from now.
    pub fn open_at(&mut self, now: Time, endpoint: &[u8]) -> Time {
        if self.interval == 0 || now >= self.paced_until {
            return now;
        }
        let phase = (stagger::rotated(self.position, endpoint) * self.interval as f64) as Time;
        // The next time in this courier's phase.
        let next_instant = now + (self.interval + phase - now % self.interval) % self.interval;
        let next_free = self.next_free.entry(endpoint.into()).or_default();
        let at = next_instant.max(*next_free).min(now + self.max_wait);
        *next_free = (next_instant.max(*next_free) + self.interval).min(now + 2 * self.max_wait);
        at
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const PARAMS: Params =
        Params { couriers: 300, connections_per_window: 30.0, max_wait: 2 * SECOND, duration: 3 * SECOND };

    #[test]
    fn a_courier_opens_one_connection_per_interval_and_waits_a_bounded_time() {
        let mut pacer = ConnectionPacer::new(500, 0.4, PARAMS);
        let interval = pacer.interval;
        assert!((14_000..15_000).contains(&interval));
        let first = pacer.open_at(500, b"e1");
        assert!(first - 500 < interval);
        let second = pacer.open_at(500, b"e1");
        assert!(second == first + interval || second == 500 + 2 * SECOND);
        for _ in 0..5 {
            assert!(pacer.open_at(500, b"e1") <= 500 + 2 * SECOND);
        }
        // Endpoints are paced independently, and only during the start.
        assert!(pacer.open_at(500, b"e2") - 500 < interval);
        assert_eq!(pacer.open_at(500 + 3 * SECOND, b"e1"), 500 + 3 * SECOND);
    }

    #[test]
    fn one_courier_or_unknown_capacity_means_hardly_any_wait() {
        for (couriers, connections_per_window) in [(1, 50.0), (300, 0.0)] {
            let mut pacer =
                ConnectionPacer::new(0, 0.9, Params { couriers, connections_per_window, ..PARAMS });
            assert!(pacer.open_at(7, b"e") <= 7 + CAPACITY_WINDOW / 2);
        }
    }
}
