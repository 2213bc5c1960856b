//! Decides when to request the endpoint list. First requests are spread by courier name over a window that grows
//! with the number of couriers. Retries follow with randomized exponential backoff, and respect a wait that the
//! service asks for.

use meadowhold::interface::{Time, SECOND};

use crate::stagger;

/// Window per courier if the capacity of the list service is not known.
const WINDOW_PER_COURIER: Time = SECOND / 250;
/// Maximum delay of a first request. A service that cannot take the resulting rate refuses requests.
const MAX_WINDOW: Time = 6 * SECOND;
/// A healthy service answers within this time; after it the request is aborted and retried.
pub const ANSWER_TIMEOUT: Time = SECOND;
/// Minimum mean pause after a failure, and how often it is doubled at most.
const MIN_PAUSE: Time = SECOND / 4;
const MAX_DOUBLINGS: u32 = 3;

#[derive(Clone, Copy, Debug)]
pub struct Params {
    /// Number of all couriers, including this one: as many may start at once.
    pub couriers: usize,
    /// Capacity of the list service; 0: not known.
    pub requests_per_second: f64,
}

impl Params {
    /// The time over which the first requests of all couriers are spread.
    pub fn window(&self) -> Time {
        let per_courier = if self.requests_per_second > 0.0 {
            SECOND as f64 / self.requests_per_second
        } else {
            WINDOW_PER_COURIER as f64
        };
        ((self.couriers as f64 * per_courier) as Time).min(MAX_WINDOW)
    }
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    List,
    /// It failed; with the wait that the service asked for, or 0.
    Failed(Time),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    Send,
    /// Close the connection of the request in flight: it has timed out.
    Abort,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// Until this time.
    Waiting(Time),
    /// Since this time.
    InFlight(Time),
    Done,
}

#[derive(Debug)]
pub struct ListRequest {
    window: Time,
    stage: Stage,
    failures: u32,
}

impl ListRequest {
    /// `now` is the start of the process, `position` that of the courier (see `stagger`).
    pub fn new(now: Time, position: f64, params: Params) -> ListRequest {
        let window = params.window();
        let first = now + (stagger::rotated(position, b"list") * window as f64) as Time;
        ListRequest { window, stage: Stage::Waiting(first), failures: 0 }
    }

    /// When `poll` is to be called next; `None` once the list has been received.
    pub fn wake(&self) -> Option<Time> {
        match self.stage {
            Stage::Waiting(at) => Some(at),
            Stage::InFlight(since) => Some(since + ANSWER_TIMEOUT),
            Stage::Done => None,
        }
    }

    pub fn poll(&mut self, now: Time, rng: &mut fastrand::Rng) -> Option<Step> {
        if self.wake().is_none_or(|at| now < at) {
            return None;
        }
        if let Stage::InFlight(_) = self.stage {
            self.back_off(now, 0, rng);
            return Some(Step::Abort);
        }
        self.stage = Stage::InFlight(now);
        Some(Step::Send)
    }

    /// Handles the end of a request, including one that was aborted: a late list counts as well.
    pub fn on_reply(&mut self, now: Time, reply: Reply, rng: &mut fastrand::Rng) {
        match (reply, self.stage) {
            (Reply::List, _) => self.stage = Stage::Done,
            (Reply::Failed(wait), Stage::InFlight(_)) => self.back_off(now, wait, rng),
            // The failure of an aborted request has been counted already, but a wait that it carries still holds.
            (Reply::Failed(wait), Stage::Waiting(at)) => self.stage = Stage::Waiting(at.max(now + wait)),
            (Reply::Failed(_), Stage::Done) => {}
        }
    }

    fn back_off(&mut self, now: Time, wait: Time, rng: &mut fastrand::Rng) {
        // At least the window on average: otherwise first requests and retries could add up to more than twice
        // the even rate.
        let mean = (self.window.max(MIN_PAUSE) << self.failures.min(MAX_DOUBLINGS)) as f64;
        self.failures += 1;
        let pause = (mean * (0.5 + rng.f64())) as Time;
        // Couriers that were all told to come back at the same time must not do so at once.
        let jitter = (self.window as f64 * rng.f64()) as Time;
        let told = if wait > 0 { wait + jitter } else { 0 };
        self.stage = Stage::Waiting(now + pause.max(told));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const PARAMS: Params = Params { couriers: 100, requests_per_second: 100.0 };

    fn send_time(request: &mut ListRequest, rng: &mut fastrand::Rng) -> Time {
        let at = request.wake().unwrap();
        assert_eq!(request.poll(at - 1, rng), None);
        assert_eq!(request.poll(at, rng), Some(Step::Send));
        at
    }

    #[test]
    fn window_by_couriers_and_capacity() {
        // (couriers, requests per second, window)
        let rows =
            [(1, 0.0, 40), (300, 0.0, 12_000), (300, 200.0, 15_000), (300, 10.0, 60_000), (1, 1.0, SECOND)];
        for (couriers, requests_per_second, window) in rows {
            assert_eq!(
                Params { couriers, requests_per_second }.window(),
                window,
                "{couriers} {requests_per_second}"
            );
        }
    }

    #[test]
    fn pauses_grow_vary_and_respect_requested_waits() {
        for seed in 0..200 {
            let mut rng = fastrand::Rng::with_seed(seed);
            let mut request = ListRequest::new(1000, 0.3, PARAMS);
            let mut at = send_time(&mut request, &mut rng);
            assert!((1000..1000 + SECOND).contains(&at));
            for (failure, told) in [0, 0, 7 * SECOND, 0, 0, 0].into_iter().enumerate() {
                request.on_reply(at, Reply::Failed(told), &mut rng);
                let mean = SECOND << failure.min(3);
                let next = send_time(&mut request, &mut rng);
                assert!(next >= at + told.max(mean / 2) && next <= at + (mean * 3 / 2).max(told + SECOND));
                at = next;
            }
            request.on_reply(at, Reply::List, &mut rng);
            assert_eq!(request.wake(), None);
        }
    }

    #[test]
    fn a_silent_request_is_aborted_once_and_a_late_answer_counts() {
        let mut rng = fastrand::Rng::with_seed(1);
        let mut request = ListRequest::new(0, 0.0, PARAMS);
        let at = send_time(&mut request, &mut rng);
        assert_eq!(request.poll(at + ANSWER_TIMEOUT, &mut rng), Some(Step::Abort));
        let next = request.wake().unwrap();
        assert!(next > at + ANSWER_TIMEOUT);
        request.on_reply(at + ANSWER_TIMEOUT + 1, Reply::Failed(0), &mut rng);
        assert_eq!(request.wake(), Some(next), "one failure, counted once");
        request.on_reply(at + ANSWER_TIMEOUT + 2, Reply::Failed(9 * SECOND), &mut rng);
        assert!(request.wake().unwrap() >= at + 9 * SECOND);
        request.on_reply(at + ANSWER_TIMEOUT + 3, Reply::List, &mut rng);
        assert_eq!(request.poll(at + 90 * SECOND, &mut rng), None);
    }
}
