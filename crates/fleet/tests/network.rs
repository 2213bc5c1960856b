//! Several nodes on a simulated network: the guarantees of the membership, each checked with several seeds.

mod common;

use std::net::{Ipv4Addr, SocketAddrV4};

use common::{at, Simulation, GOOD, POOR};
use meadowhold_fleet::view::MemberState;
use meadowhold_fleet::wire::{seal, DatagramKind, ENVELOPE_BYTES};
use meadowhold_fleet::{Time, SECOND};

/// Bounds stated in `docs/fleet.md` for a small number of members at 5% loss.
const JOIN_BOUND: Time = 5 * SECOND;
const DETECTION_BOUND: Time = 6 * SECOND;
const RECOVERY_BOUND: Time = 3 * SECOND;
const PARTITION_BOUND: Time = 15 * SECOND;
const HEAL_BOUND: Time = 10 * SECOND;

fn assert_no_faults(sim: &Simulation) {
    for i in sim.live() {
        let node = sim.node(i);
        assert_eq!((node.counts().faults, &node.fault), (0, &None));
        assert!(node.counts().audits > 0);
        assert_eq!((node.counts().unread, node.counts().broken, node.counts().strangers), (0, 0, 0));
    }
}

fn joined(count: usize, seed: u64) -> Simulation {
    let mut sim = Simulation::new(count, POOR, seed);
    let took = sim.until(JOIN_BOUND, Simulation::converged);
    assert!(took.is_some(), "seed {seed}: {count} members have not joined");
    sim
}

#[test]
fn all_members_join_and_no_running_member_is_declared_down() {
    for seed in 0..6 {
        let mut sim = joined(5 + seed as usize * 3, seed);
        let mut suspected = 0;
        for _ in 0..600 {
            sim.run_until(sim.now + SECOND / 10);
            assert_eq!(sim.wrongly_down(), [], "seed {seed} at {}", sim.now);
            suspected += sim.live().iter().map(|&i| sim.view(i).tally().suspect).sum::<u32>();
            assert!(sim.live().iter().all(|&i| !sim.view(i).cut_off().0));
        }
        // Suspicions may occur, but none of them lasts.
        assert!(
            sim.until(2 * SECOND, Simulation::converged).is_some(),
            "seed {seed}, {suspected} suspicions seen in all"
        );
        assert_no_faults(&sim);
    }
}

#[test]
fn at_half_loss_a_member_wrongly_declared_down_recovers_within_seconds() {
    let mut wrongly_down = 0;
    for seed in 0..4 {
        let mut sim = joined(7, seed);
        sim.faults.loss = 0.5;
        let mut since: std::collections::HashMap<(usize, usize), Time> = Default::default();
        for _ in 0..900 {
            sim.run_until(sim.now + SECOND / 10);
            let now = sim.wrongly_down();
            since.retain(|pair, _| now.contains(pair));
            for pair in now {
                let held = sim.now - *since.entry(pair).or_insert(sim.now);
                wrongly_down += 1;
                assert!(held <= 20 * SECOND, "seed {seed}: {pair:?} for {held}");
            }
        }
        sim.faults.loss = 0.0;
        assert!(sim.until(HEAL_BOUND, Simulation::converged).is_some(), "seed {seed}");
        assert_no_faults(&sim);
    }
    // Otherwise the test would have shown nothing.
    assert!(wrongly_down > 0);
}

#[test]
fn a_killed_member_is_detected_and_its_restart_too() {
    // Wall-clock time that the next process reads, in milliseconds relative to the first one.
    for (seed, clock) in [(0, 60_000), (1, 900), (2, -1), (3, -900_000), (4, -86_400_000_i64), (5, 60_000)] {
        let mut sim = joined(5, seed);
        sim.kill(2);
        let took = sim.until(DETECTION_BOUND, Simulation::converged);
        assert!(took.is_some(), "seed {seed}: not detected as down");
        assert!(sim.live().iter().all(|&i| sim.view(i).member(at(2)).unwrap().state == MemberState::Down));
        sim.start(2, (common::FIRST_START_MS as i64 + clock) as u64);
        let took = sim.until(RECOVERY_BOUND, Simulation::converged);
        assert!(took.is_some(), "seed {seed}: not detected as back");
        // Killed and restarted before any member has noticed.
        let before = sim.view(0).member(at(2)).unwrap().start;
        sim.kill(2);
        sim.start(2, (common::FIRST_START_MS as i64 + 2 * clock) as u64);
        let restarted =
            |sim: &Simulation| sim.converged() && sim.view(0).member(at(2)).unwrap().start != before;
        assert!(sim.until(RECOVERY_BOUND, restarted).is_some(), "seed {seed}: restart not detected");
        assert_no_faults(&sim);
    }
}

#[test]
fn identity_renewals_make_up_for_a_clock_set_back_by_a_day() {
    let mut sim = joined(5, 9);
    sim.kill(1);
    sim.start(1, common::FIRST_START_MS - 86_400_000);
    assert!(sim.until(RECOVERY_BOUND, Simulation::converged).is_some());
    let renewed = sim.node(1).counts().renewed;
    assert!((1..=40).contains(&renewed), "{renewed}");
    assert_no_faults(&sim);
}

#[test]
fn a_member_that_leaves_is_down_without_a_suspicion() {
    for seed in 0..6 {
        let mut sim = joined(6, seed);
        sim.faults.loss = 0.0;
        sim.leave(4);
        let took = sim.until(2 * SECOND, Simulation::converged);
        assert!(took.is_some(), "seed {seed}");
        assert_no_faults(&sim);
    }
}

#[test]
fn a_member_paused_for_seconds_is_declared_down_and_recovers() {
    for seed in 0..6 {
        let mut sim = joined(5, seed);
        sim.stop(3);
        assert!(
            sim.until(DETECTION_BOUND, Simulation::converged).is_some(),
            "seed {seed}: not detected as down"
        );
        sim.resume(3);
        assert!(sim.until(RECOVERY_BOUND, Simulation::converged).is_some(), "seed {seed}: not back");
        // The member does not blame others for the time during which it was paused itself.
        for _ in 0..50 {
            sim.run_until(sim.now + SECOND / 10);
            assert_eq!(sim.wrongly_down(), [], "seed {seed}");
        }
        assert_no_faults(&sim);
    }
}

#[test]
fn a_minority_partition_detects_it_elects_its_own_members_and_rejoins() {
    for seed in 0..8 {
        let mut sim = joined(9, seed);
        let (small, large): (Vec<usize>, Vec<usize>) = (0..9).partition(|i| i % 3 == 0);
        let cut = sim.now;
        sim.partition(|i| u32::from(i % 3 == 0));
        let partitioned =
            |sim: &Simulation| sim.see_exactly(&small, &small) && sim.see_exactly(&large, &large);
        // With several members down, the last one is detected later than the first.
        assert!(sim.until(PARTITION_BOUND, partitioned).is_some(), "seed {seed}: not partitioned");
        for (part, cut_off) in [(&small, true), (&large, false)] {
            for &i in part {
                let view = sim.view(i);
                assert_eq!(view.cut_off().0, cut_off, "seed {seed}, {i}");
                assert!(!cut_off || view.cut_off().1 > cut);
                let elected = view.elected("sweep", 2);
                assert!(elected.iter().all(|one| part.iter().any(|&i| at(i) == one.at)), "seed {seed}, {i}");
                let same = sim.view(part[0]).elected("sweep", 2);
                assert!(elected.iter().map(|one| one.at).eq(same.iter().map(|one| one.at)));
            }
        }
        // Long enough for all queued updates to expire.
        sim.run_until(sim.now + 120 * SECOND);
        assert!(partitioned(&sim));
        sim.partition(|_| 0);
        assert!(sim.until(HEAL_BOUND, Simulation::converged).is_some(), "seed {seed}: not healed");
        assert!(sim.live().iter().all(|&i| !sim.view(i).cut_off().0));
        assert_no_faults(&sim);
    }
}

/// Guards against a member that misses the updates about who is down, because the others had briefly declared
/// it down itself while they exchanged them: it suspected dozens of members for a minute and did not notice
/// that it was cut off.
#[test]
fn in_a_large_partition_every_member_learns_who_is_down() {
    for seed in 0..3 {
        let mut sim = joined(40, seed);
        let (small, large): (Vec<usize>, Vec<usize>) = (0..40).partition(|i| i % 5 < 2);
        sim.partition(|i| u32::from(i % 5 < 2));
        let partitioned =
            |sim: &Simulation| sim.see_exactly(&small, &small) && sim.see_exactly(&large, &large);
        assert!(sim.until(PARTITION_BOUND, partitioned).is_some(), "seed {seed}: not partitioned");
        assert!(sim.live().iter().all(|&i| sim.view(i).cut_off().0 == (i % 5 < 2)));
        sim.partition(|_| 0);
        assert!(sim.until(HEAL_BOUND, Simulation::converged).is_some(), "seed {seed}: not healed");
        assert_no_faults(&sim);
    }
}

#[test]
fn a_starting_member_learns_who_is_down() {
    for seed in 0..4 {
        let mut sim = joined(5, seed);
        sim.kill(0);
        sim.kill(1);
        assert!(sim.until(2 * DETECTION_BOUND, Simulation::converged).is_some(), "seed {seed}");
        // Long enough that no member still sends it these updates unasked.
        sim.run_until(sim.now + 60 * SECOND);
        sim.start(1, common::FIRST_START_MS + 60_000);
        let learned = |sim: &Simulation| sim.view(1).member(at(0)).unwrap().state == MemberState::Down;
        assert!(sim.until(DETECTION_BOUND, learned).is_some(), "seed {seed}");
        assert!(sim.until(RECOVERY_BOUND, Simulation::converged).is_some(), "seed {seed}");
        assert_no_faults(&sim);
    }
}

#[test]
fn fully_isolated_members_rejoin() {
    let mut sim = joined(7, 3);
    sim.partition(|i| i as u32);
    let alone = |sim: &Simulation| (0..7).all(|i| sim.view(i).tally().up() == 1 && sim.view(i).cut_off().0);
    assert!(sim.until(60 * SECOND, alone).is_some());
    sim.partition(|_| 0);
    assert!(sim.until(HEAL_BOUND, Simulation::converged).is_some());
    assert_no_faults(&sim);
}

#[test]
fn updates_through_a_ring_that_is_sometimes_full_add_up_to_the_view() {
    let mut sim = joined(8, 5);
    for round in 0..6 {
        sim.kill(round);
        sim.until(DETECTION_BOUND, Simulation::converged).unwrap();
        sim.start(round, common::FIRST_START_MS + 1_000_000 + round as u64);
        sim.until(RECOVERY_BOUND, Simulation::converged).unwrap();
    }
    // Pending updates are published on the next turns.
    sim.faults = GOOD;
    sim.run_until(sim.now + 5 * SECOND);
    let published = sim.published;
    sim.run_until(sim.now + 5 * SECOND);
    assert_eq!(sim.published, published, "published updates without any change");
    let held_back: u64 = sim.live().iter().map(|&i| sim.node(i).counts().held_back).sum();
    assert!(held_back > 0);
    for i in sim.live() {
        assert_eq!((sim.copy(i).others(), sim.copy(i).tally()), (sim.view(i).others(), sim.view(i).tally()));
    }
    assert_no_faults(&sim);
}

#[test]
fn a_link_blocked_in_one_direction_takes_no_member_down() {
    for seed in 0..4 {
        let mut sim = joined(6, seed);
        sim.blocked = vec![(0, 1), (2, 3), (3, 2)];
        for _ in 0..600 {
            sim.run_until(sim.now + SECOND / 10);
            assert_eq!(sim.wrongly_down(), [], "seed {seed} at {}", sim.now);
        }
        assert_no_faults(&sim);
    }
}

/// As happens while configurations are changed on one courier after the other.
#[test]
fn a_member_configured_on_some_couriers_only_does_not_disturb_the_others() {
    for seed in 0..4 {
        let mut sim = joined(6, seed);
        // Two couriers do not have the newest one configured, though it has them.
        sim.not_configured = vec![(0, 5), (1, 5)];
        for i in [0, 1] {
            sim.kill(i);
            sim.start(i, common::FIRST_START_MS + 60_000);
        }
        let known = |sim: &Simulation| {
            sim.see_exactly(&[0, 1], &[0, 1, 2, 3, 4]) && sim.see_exactly(&[2, 3, 4], &[0, 1, 2, 3, 4, 5])
        };
        assert!(sim.until(RECOVERY_BOUND, known).is_some(), "seed {seed}");
        let all_known =
            |sim: &Simulation| (0..5).all(|i| (0..5).all(|j| sim.view(i).member(at(j)).is_some()));
        for _ in 0..600 {
            sim.run_until(sim.now + SECOND / 10);
            assert!(all_known(&sim) && (0..5).all(|i| sim.view(i).tally().down == 0), "seed {seed}");
        }
        assert!(sim.until(RECOVERY_BOUND, known).is_some(), "seed {seed}");
        let counts = sim.node(0).counts();
        assert!(counts.unnamed > 0 && counts.strangers > 0 && counts.faults == 0, "{counts:?}");
        assert_eq!(sim.view(0).others().len(), 4);
    }
}

#[test]
fn equal_seeds_give_equal_runs() {
    let run = |seed| {
        let mut sim = Simulation::new(6, POOR, seed);
        sim.run_until(20 * SECOND);
        sim.kill(0);
        sim.run_until(30 * SECOND);
        sim.trace
    };
    assert_eq!(run(1), run(1));
    assert_ne!(run(1), run(2));
}

#[test]
fn invalid_datagrams_are_dropped_and_counted() {
    let mut sim = joined(5, 7);
    let mut rng = fastrand::Rng::with_seed(7);
    let (mut strangers, mut broken, mut versions) = (0, 0, 0);
    let start = sim.node(0).counts();
    for n in 0..4000 {
        sim.run_until(sim.now + 7);
        let mut datagram = sim.last_datagram.clone();
        let mut from = at(1 + n % 4);
        match n % 5 {
            0 => {
                let length = rng.usize(0..1600);
                datagram = (0..length).map(|_| rng.u8(..)).collect();
                broken += 1;
            }
            1 => {
                datagram.truncate(rng.usize(..datagram.len()));
                broken += 1;
            }
            2 => {
                let bit = rng.usize(24..datagram.len() * 8);
                datagram[bit / 8] ^= 1 << (bit % 8);
                broken += 1;
            }
            3 => {
                datagram[2] = rng.u8(2..);
                versions += 1;
            }
            _ => {
                from = [UNCONFIGURED, at(0), at(77)][n / 5 % 3];
                strangers += 1;
            }
        }
        sim.inject(0, from, &datagram);
        assert_eq!(sim.wrongly_down(), []);
    }
    let end = sim.node(0).counts();
    assert_eq!((end.strangers, end.broken, end.versions), (strangers, broken, versions));
    assert_eq!((end.unread, end.unnamed, start.broken), (0, 0, 0));
    assert!(sim.converged() || sim.until(2 * SECOND, Simulation::converged).is_some());
}

/// A valid datagram from a configured address that names another member as its sender.
#[test]
fn datagrams_with_a_forged_sender_are_dropped() {
    let mut sim = joined(5, 8);
    let before = sim.node(0).counts().unread;
    let mut forged = 0;
    while forged < 300 {
        sim.run_until(sim.now + 50);
        let (datagram, from) = (sim.last_datagram.clone(), sim.last_from);
        let to = 0;
        let other = (1..5).find(|&other| other != from && other != to).unwrap();
        // Lists of down members name no sender and are accepted from any configured member.
        if from != to && datagram[3] == DatagramKind::Protocol as u8 {
            sim.inject(to, at(other), &datagram);
            forged += 1;
        }
    }
    assert_eq!(sim.node(0).counts().unread - before, forged);
    assert!(sim.until(2 * SECOND, Simulation::converged).is_some());
}

const UNCONFIGURED: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(10, 9, 9, 9), 7946);

/// Invalid content in a valid envelope from a configured peer may damage the view, but must not affect the
/// process, its memory or any address that is not configured.
#[test]
fn garbage_from_a_configured_peer_neither_crashes_nor_grows_a_node() {
    for seed in 0..6 {
        let mut sim = joined(5, seed);
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut sealed = Vec::new();
        for n in 0..3000 {
            sim.run_until(sim.now + 9);
            let mut body = sim.last_datagram[ENVELOPE_BYTES..].to_vec();
            for _ in 0..rng.usize(1..4) {
                match rng.u8(..4) {
                    0 => body.truncate(rng.usize(..=body.len())),
                    1 if !body.is_empty() => {
                        let place = rng.usize(..body.len());
                        body[place] = rng.u8(..);
                    }
                    2 => body.extend((0..rng.usize(..30)).map(|_| rng.u8(..))),
                    _ => body.insert(rng.usize(..=body.len()), rng.u8(..)),
                }
            }
            let kind = if rng.u8(..8) == 0 { DatagramKind::DownList } else { DatagramKind::Protocol };
            seal(kind, &body, &mut sealed);
            sim.inject(0, at(1 + n % 4), &sealed);
            assert_eq!(sim.view(0).others().len(), 4);
        }
        let counts = sim.node(0).counts();
        assert!(counts.unread > 1000, "{counts:?}");
        assert_eq!(counts.faults, 0);
    }
}
