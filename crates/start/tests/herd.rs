//! Simulates 300 couriers that start at once (a thundering herd).

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use meadowhold::interface::{Time, SECOND};
use meadowhold_start::backlog::{Mail, Pace};
use meadowhold_start::connection_pacing::{self, ConnectionPacer};
use meadowhold_start::list_request::{self, Reply};
use meadowhold_start::stagger;
use meadowhold_start::start::{Action, Input, Params, Start, State};

const COURIERS: usize = 300;
const SEEDS: std::ops::Range<u64> = 0..21;

/// Behaviour of the list service.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Service {
    Healthy,
    /// Answers 503 with this wait until the given time.
    Refuses {
        wait: Time,
        until: Time,
    },
    Silent {
        until: Time,
    },
}

#[derive(Default)]
struct Observed {
    requests: Vec<Time>,
    /// Time from each courier's start until it answers `PING`.
    ready: Vec<Option<Time>>,
    /// Mails offered after their deadline although it had not passed when the journal was read; mails that were
    /// not offered; mails offered twice.
    late: usize,
    missing: usize,
    twice: usize,
    aborted: usize,
}

/// Simulates one start of all couriers within 50 ms; `old`: they have a stored list.
fn simulate(seed: u64, service: Service, old: bool, capacity: f64, to: Time) -> Observed {
    let mut r = fastrand::Rng::with_seed(seed);
    let began: Vec<Time> = (0..COURIERS).map(|_| 1000 * SECOND + r.u64(0..500)).collect();
    let mut starts: Vec<Start> = (0..COURIERS)
        .map(|i| {
            let name = format!("n{i}");
            let list_request = list_request::Params { couriers: COURIERS, requests_per_second: capacity };
            let pace = Pace { mails_per_second: r.f64() * 40.0, max_duration: 2500, batch: 1 };
            // All have the same seed: only their names differ.
            let params =
                Params { name: &name, list_request, pace, stored_list_age: old.then_some(SECOND), seed };
            Start::new(began[i], &params)
        })
        .collect();
    // Events by time and courier: 0: the journal is read, 1: list received, 2: request refused, 9: wake-up.
    let mut heap: BinaryHeap<Reverse<(Time, usize, u8)>> = BinaryHeap::new();
    let mut mails: Vec<Vec<Mail>> = Vec::new();
    for (i, &began) in began.iter().enumerate() {
        let read = began + r.u64(1..400);
        heap.push(Reverse((read, i, 0)));
        heap.push(Reverse((began, i, 9)));
        let many = r.usize(0..24);
        let mail = |serial| Mail {
            serial,
            importance: f64::from(r.u8(0..5)),
            deadline: (read + r.u64(0..12 * SECOND)).saturating_sub(SECOND),
            key: None,
        };
        mails.push((0..many as u64).map(mail).collect());
    }
    let mut seen = Observed { ready: vec![None; COURIERS], ..Observed::default() };
    let mut offered: Vec<Vec<bool>> = mails.iter().map(|m| vec![false; m.len()]).collect();
    let mut read_at = vec![Time::MAX; COURIERS];
    let mut wakes = began.clone();
    while let Some(Reverse((now, i, what))) = heap.pop().filter(|e| e.0 .0 <= to) {
        if what == 9 && wakes[i] != now {
            continue;
        }
        let mut out = Vec::new();
        match what {
            0 => {
                read_at[i] = now;
                starts[i].input(now, Input::JournalRead(mails[i].clone()), &mut out);
            }
            1 => starts[i].input(now, Input::RequestEnded(Reply::List), &mut out),
            2 => {
                let Service::Refuses { wait, .. } = service else { unreachable!() };
                starts[i].input(now, Input::RequestEnded(Reply::Failed(wait)), &mut out);
            }
            _ => starts[i].poll(now, &mut out),
        }
        for action in out {
            match action {
                Action::RequestList => {
                    seen.requests.push(now);
                    let answer = now + r.u64(20..400);
                    match service {
                        Service::Silent { until } if now < until => {}
                        Service::Refuses { until, .. } if now < until => heap.push(Reverse((answer, i, 2))),
                        _ => heap.push(Reverse((answer, i, 1))),
                    }
                }
                Action::Offer(serial) => {
                    let mail = &mails[i][serial as usize];
                    seen.twice += usize::from(offered[i][serial as usize]);
                    offered[i][serial as usize] = true;
                    seen.late += usize::from(mail.deadline > read_at[i] && now >= mail.deadline);
                }
                Action::AnswerPing => {
                    assert_eq!(starts[i].state(), State::Serving);
                    assert!(seen.ready[i].replace(now - began[i]).is_none(), "answered once");
                }
                Action::AbortRequest => seen.aborted += 1,
                Action::ApplyList | Action::UseStoredList => {}
                Action::LogJournalDelay => panic!("the journal is read in time"),
            }
        }
        let wake = starts[i].wake().map_or(Time::MAX, |at| at.max(now + 1));
        if what == 9 || wake != wakes[i] {
            wakes[i] = wake;
            heap.push(Reverse((wake, i, 9)));
        }
    }
    seen.missing = offered.iter().flatten().filter(|&&was| !was).count();
    seen
}

/// The largest number of these times within any interval of length `span`.
fn peak(mut times: Vec<Time>, span: Time) -> usize {
    times.sort_unstable();
    let mut from = 0;
    let count = |(to, &at): (usize, &Time)| {
        while times[from] + span <= at {
            from += 1;
        }
        to + 1 - from
    };
    times.iter().enumerate().map(count).max().unwrap_or(0)
}

fn ready_within(seen: &Observed, within: Time) -> usize {
    seen.ready.iter().flatten().filter(|&&at| at <= within).count()
}

#[test]
fn a_healthy_service_gets_requests_evenly_and_nearly_all_couriers_serve_within_two_seconds() {
    let to = 1015 * SECOND;
    for (old, capacity) in [(false, 0.0), (true, 0.0), (true, 250.0), (false, 200.0)] {
        let (mut max_requests, mut last) = (0, 0);
        for seed in SEEDS {
            let seen = simulate(seed, Service::Healthy, old, capacity, to);
            let even = COURIERS as f64
                / list_request::Params { couriers: COURIERS, requests_per_second: capacity }.window() as f64;
            let most = (2.0 * even * SECOND as f64) as usize;
            assert_eq!(seen.requests.len(), COURIERS, "one request each");
            let worst = peak(seen.requests.clone(), SECOND);
            assert!(worst <= most, "seed {seed}, {capacity}: {worst} requests");
            max_requests = max_requests.max(worst);
            let soon = ready_within(&seen, 2 * SECOND);
            assert!(soon * 100 >= COURIERS * 95, "seed {seed}, {capacity}: {soon} within 2 s");
            assert_eq!((seen.late, seen.missing, seen.twice), (0, 0, 0), "seed {seed}");
            last = last.max(seen.ready.iter().flatten().copied().max().unwrap_or(0));
        }
        println!(
            "healthy, capacity {capacity}: at most {max_requests} requests in a second, last ready {} ms",
            last / 10
        );
    }
}

#[test]
fn a_failing_service_gets_few_requests_and_all_couriers_serve_within_ten_seconds() {
    let to = 1060 * SECOND;
    let end = 1008 * SECOND;
    let services = [
        Service::Refuses { wait: 0, until: end },
        Service::Refuses { wait: SECOND, until: end },
        Service::Refuses { wait: 3 * SECOND, until: Time::MAX },
        Service::Silent { until: end },
        Service::Silent { until: Time::MAX },
    ];
    for service in services {
        for (old, capacity) in [(false, 0.0), (true, 100.0)] {
            let (mut max_requests, mut last) = (0, 0);
            for seed in SEEDS {
                let seen = simulate(seed, service, old, capacity, to);
                let window =
                    list_request::Params { couriers: COURIERS, requests_per_second: capacity }.window();
                let even = COURIERS as f64 / window as f64 * SECOND as f64;
                let worst = peak(seen.requests.clone(), SECOND);
                assert!(worst as f64 <= 2.0 * even, "seed {seed}, {service:?}: {worst} of {even}");
                assert_eq!(ready_within(&seen, 10 * SECOND), COURIERS, "seed {seed}, {service:?}");
                assert_eq!((seen.late, seen.missing, seen.twice), (0, 0, 0), "seed {seed}, {service:?}");
                assert!(matches!(service, Service::Silent { .. }) == (seen.aborted > 0));
                max_requests = max_requests.max(worst);
                last = last.max(seen.ready.iter().flatten().copied().max().unwrap_or(0));
            }
            println!(
                "{service:?}, capacity {capacity}: at most {max_requests} requests in a second, last ready {} ms",
                last / 10
            );
        }
    }
}

#[test]
fn no_endpoint_gets_more_new_connections_than_its_capacity() {
    let endpoints: Vec<String> = (0..30).map(|i| format!("s-{i:08x}")).collect();
    let params = connection_pacing::Params {
        couriers: COURIERS,
        connections_per_window: 30.0,
        max_wait: 2 * SECOND,
        duration: 3 * SECOND,
    };
    let mut most = 0;
    for seed in SEEDS {
        let mut r = fastrand::Rng::with_seed(seed);
        let mut opened: Vec<Vec<Time>> = vec![Vec::new(); endpoints.len()];
        for i in 0..COURIERS {
            let began = 1000 * SECOND + r.u64(0..500);
            let mut pacer = ConnectionPacer::new(began, stagger::position(&format!("n{i}")), params);
            for (endpoint, opened) in endpoints.iter().zip(&mut opened) {
                // Worst case: all want a connection at once; some want another one later.
                let second = r.bool().then(|| began + r.u64(10_000..30_000));
                for wanted in [Some(began + r.u64(0..100)), second].into_iter().flatten() {
                    let at = pacer.open_at(wanted, endpoint.as_bytes());
                    assert!(at >= wanted && at <= wanted + params.max_wait);
                    opened.push(at);
                }
            }
        }
        for times in opened {
            let worst = peak(times, connection_pacing::CAPACITY_WINDOW);
            assert!(worst <= 30, "seed {seed}: {worst}");
            most = most.max(worst);
        }
    }
    println!("at most {most} new connections to an endpoint in 100 ms; capacity 30");
}
