//! When a starting courier may open a new connection to an endpoint. Of what an endpoint bears each courier
//! has an even part, and its instants on a grid of the common clock; the grids of all couriers lie evenly.
//! No instant is saved up: guards against couriers that all open at once what they had let pass.

use std::collections::HashMap;

use meadowhold::interface::{Time, SECOND};

use crate::stagger;

/// What endpoints bear is counted over this time.
pub const CAPACITY_WINDOW: Time = SECOND / 10;
/// Part of it that is used, for the grids are not quite even.
const USED_FRACTION: f64 = 0.7;

#[derive(Clone, Copy, Debug)]
pub struct Params {
    pub couriers: usize,
    /// New connections that an endpoint bears in `SPAN`; 0: not known, and no pace is kept.
    pub connections_per_window: f64,
    /// No connection waits longer for its instant, whatever the endpoint bears.
    pub max_wait: Time,
    /// For so long after its start a courier keeps to the pace.
    pub duration: Time,
}

#[derive(Debug)]
pub struct ConnectionPacer {
    /// Between two instants; 0: no pace.
    interval: Time,
    position: f64,
    paced_until: Time,
    /// The next instant that is not used, by endpoint.
    next_free: HashMap<Box<[u8]>, Time>,
    max_wait: Time,
}

impl ConnectionPacer {
    /// `now`: the start of the process, on a clock that the couriers have in common.
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

    /// When a connection to the endpoint of this name that is wanted now may be opened; the instant is used by
    /// that. Never later than the most wait from now.
    pub fn open_at(&mut self, now: Time, endpoint: &[u8]) -> Time {
        if self.interval == 0 || now >= self.paced_until {
            return now;
        }
        let phase = (stagger::rotated(self.position, endpoint) * self.interval as f64) as Time;
        // The first instant of the grid from now on.
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
        // Another endpoint has instants of its own; after the start there is no pace.
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
