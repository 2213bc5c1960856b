//! When the list is asked for. A first ask is spread by the courier's name over a window that grows with the
//! couriers' number; a further one by chance, that differs from courier to courier, and further out with each
//! failure in a row. A told wait is kept.

use meadowhold::interface::{Time, SECOND};

use crate::stagger;

/// Where nobody knows what the list's service bears: this much of the window for each courier.
const WINDOW_PER_COURIER: Time = SECOND / 250;
/// Nobody is kept from a first ask for longer: what a service bears less of than this, it refuses.
const MAX_WINDOW: Time = 6 * SECOND;
/// A service that is well has answered by then; one that is silent is asked anew.
pub const ANSWER_TIMEOUT: Time = SECOND;
/// Least mean pause after a failure, and doublings at most.
const MIN_PAUSE: Time = SECOND / 4;
const MAX_DOUBLINGS: u32 = 3;

#[derive(Clone, Copy, Debug)]
pub struct Params {
    /// All couriers, this one included: as many may start at once.
    pub couriers: usize,
    /// Asks a second that the list's service bears; 0: not known.
    pub requests_per_second: f64,
}

impl Params {
    /// Over how long the first asks of all couriers are spread.
    pub fn window(&self) -> Time {
        let per_courier = if self.requests_per_second > 0.0 {
            SECOND as f64 / self.requests_per_second
        } else {
            WINDOW_PER_COURIER as f64
        };
        ((self.couriers as f64 * per_courier) as Time).min(MAX_WINDOW)
    }
}

/// How the last ask ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    List,
    /// It failed; with a told wait, or 0.
    Failed(Time),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    Send,
    /// The ask that is out has been silent for too long: its connection is to be closed.
    Abort,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Waiting(Time),
    /// Since when.
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
    /// `now`: the start of the process.
    pub fn new(now: Time, position: f64, params: Params) -> ListRequest {
        let window = params.window();
        let first = now + (stagger::rotated(position, b"list") * window as f64) as Time;
        ListRequest { window, stage: Stage::Waiting(first), failures: 0 }
    }

    /// When `turn` has something to do; `None` once the list has come.
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

    /// What came of an ask, also of one that was abandoned: a list is a list.
    pub fn on_reply(&mut self, now: Time, reply: Reply, rng: &mut fastrand::Rng) {
        match (reply, self.stage) {
            (Reply::List, _) => self.stage = Stage::Done,
            (Reply::Failed(wait), Stage::InFlight(_)) => self.back_off(now, wait, rng),
            // The failure of an ask that was abandoned has been counted. A wait that it told still holds.
            (Reply::Failed(wait), Stage::Waiting(at)) => self.stage = Stage::Waiting(at.max(now + wait)),
            (Reply::Failed(_), Stage::Done) => {}
        }
    }

    fn back_off(&mut self, now: Time, wait: Time, rng: &mut fastrand::Rng) {
        // A window and more: guards against first and second asks that add up to over twice the even rate.
        let mean = (self.window.max(MIN_PAUSE) << self.failures.min(MAX_DOUBLINGS)) as f64;
        self.failures += 1;
        let pause = (mean * (0.5 + rng.f64())) as Time;
        // Guards against couriers that were all told to come back at the same time.
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
        // (couriers, asks a second that are borne, window)
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
