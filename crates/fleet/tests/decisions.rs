//! Views and elections, from tables and under random observations; datagrams decode to what was encoded, and
//! damaged ones are rejected.

use std::net::{Ipv4Addr, SocketAddrV4};

use meadowhold_fleet::view::{
    transition, truncate_name, Change, Member, MemberState, Observation, ProtocolRecord, Tally, View,
    MAX_NAME_BYTES,
};
use meadowhold_fleet::wire::{open, seal, DatagramKind, OpenError, ENVELOPE_BYTES, MAX_DATAGRAM_BYTES};

fn at(n: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(127, 0, 0, n), 7946)
}

fn record(n: u8, state: MemberState, start: u64, incarnation: u16) -> ProtocolRecord {
    ProtocolRecord { at: at(n), name: truncate_name(&format!("n{n}")), start: (start, 0), incarnation, state }
}

/// The view of courier 1 of `count`.
fn view(count: u8) -> View {
    let others: Vec<_> = (1..=count).map(at).collect();
    View::new(record(1, MemberState::Alive, 1, 0), &others, 0)
}

#[test]
fn each_state_has_one_transition_for_each_observation() {
    use meadowhold_fleet::view::TRANSITIONS;
    for state in [MemberState::Unknown, MemberState::Alive, MemberState::Suspect, MemberState::Down] {
        for observation in
            [Observation::Alive, Observation::Restarted, Observation::Suspect, Observation::Down]
        {
            let rows = TRANSITIONS.iter().filter(|row| (row.0, row.1) == (state, observation)).count();
            assert_eq!(rows, 1, "{state:?} {observation:?}");
            let (next, change) = transition(state, observation);
            // `Unchanged` is reported exactly if nothing changes, and a member is up exactly if it was not
            // observed as down.
            assert_eq!(
                change == Change::Unchanged,
                next == state && observation != Observation::Restarted,
                "{state:?} {observation:?}"
            );
            assert_eq!(next.is_up(), observation != Observation::Down, "{state:?} {observation:?}");
            assert!(!matches!(change, Change::Up | Change::Recovered) || !state.is_up());
        }
    }
}

#[test]
fn a_member_passes_through_all_states() {
    use {Change::*, MemberState as Is};
    let mut view = view(3);
    let rows: [(u64, ProtocolRecord, Change, Is, u64, Option<u64>); 12] = [
        (10, record(2, Is::Alive, 5, 0), Up, Is::Alive, 10, Some(10)),
        (20, record(2, Is::Alive, 5, 1), Unchanged, Is::Alive, 10, Some(10)),
        (30, record(2, Is::Suspect, 5, 1), Suspected, Is::Suspect, 30, Some(10)),
        (35, record(2, Is::Suspect, 5, 1), Unchanged, Is::Suspect, 30, Some(10)),
        (40, record(2, Is::Alive, 5, 2), Cleared, Is::Alive, 40, Some(10)),
        (50, record(2, Is::Suspect, 5, 2), Suspected, Is::Suspect, 50, Some(10)),
        (60, record(2, Is::Down, 5, 2), Down, Is::Down, 60, None),
        (70, record(2, Is::Down, 5, 2), Unchanged, Is::Down, 60, None),
        (80, record(2, Is::Alive, 6, 0), Recovered, Is::Alive, 80, Some(80)),
        (90, record(2, Is::Alive, 7, 0), Restarted, Is::Alive, 90, Some(90)),
        (95, record(2, Is::Unknown, 9, 0), Unchanged, Is::Alive, 90, Some(90)),
        (99, record(9, Is::Alive, 7, 0), Unchanged, Is::Alive, 90, Some(90)),
    ];
    for (now, record, change, state, since, up_since) in rows {
        assert_eq!(view.observe(now, &record), change, "at {now}");
        let member = view.member(at(2)).unwrap();
        assert_eq!((member.state, member.since, member.up_since), (state, since, up_since), "at {now}");
    }
    assert_eq!(view.others().len(), 2);
}

#[test]
fn a_partition_of_fewer_than_half_is_cut_off() {
    // (configured, other members up, cut off)
    let rows = [(1, 0, false), (2, 0, false), (3, 0, true), (3, 1, false), (4, 1, false), (5, 1, true)];
    for (configured, up, cut_off) in rows.into_iter().chain([(5, 2, false), (6, 2, false), (7, 2, true)]) {
        let mut view = view(configured);
        for n in 0..up {
            view.observe(7, &record(2 + n, MemberState::Alive, 1, 0));
        }
        assert_eq!(view.cut_off().0, cut_off, "{up} others up of {configured}");
        // Suspected members still count as up.
        for n in 0..up {
            view.observe(8, &record(2 + n, MemberState::Suspect, 1, 0));
        }
        assert_eq!(view.cut_off().0, cut_off, "{up} others suspected of {configured}");
        assert_eq!(view.tally().settled_share(), 1.0 / f64::from(configured));
    }
    let mut view = view(5);
    assert_eq!(view.cut_off(), (true, 0));
    view.observe(10, &record(2, MemberState::Alive, 1, 0));
    view.observe(20, &record(3, MemberState::Alive, 1, 0));
    view.observe(30, &record(4, MemberState::Alive, 1, 0));
    assert_eq!(view.cut_off(), (false, 20));
    assert_eq!(view.tally().settled_share(), 0.8);
    view.observe(40, &record(4, MemberState::Down, 1, 0));
    assert_eq!(view.cut_off(), (false, 20));
    view.observe(50, &record(3, MemberState::Down, 1, 0));
    assert_eq!(view.cut_off(), (true, 50));
}

/// Random observations against a model that keeps only the last one of each member. The audit, a copy built
/// from complete members, and the reported changes must agree with it after each step.
#[test]
fn views_under_random_observations_match_a_recount() {
    for seed in 0..300 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let count = rng.u8(1..12);
        let (mut view, mut copy) = (view(count), view(count));
        let mut records: Vec<ProtocolRecord> = Vec::new();
        for now in 1..200 {
            // Observations of members that are not configured or of this courier itself have no effect.
            let n = rng.u8(1..=count + 1);
            let state = [MemberState::Alive, MemberState::Suspect, MemberState::Down][rng.usize(0..3)];
            let record = record(n, state, rng.u64(1..4), rng.u16(0..3));
            let before = view.member(record.at).map(|member| member.state);
            let change = view.observe(now, &record);
            if n == 1 || n > count {
                assert_eq!(change, Change::Unchanged);
                continue;
            }
            records.retain(|old| old.at != record.at);
            records.push(record);
            assert_eq!(view.audit(records.iter()), Ok(()), "seed {seed}");
            let member = *view.member(record.at).unwrap();
            assert!(before == Some(state) || change != Change::Unchanged);
            assert_eq!(member.since == now, change != Change::Unchanged, "seed {seed}");
            // Only some updates are published, as with a ring that is sometimes full; all of them are at the
            // end.
            if rng.bool() {
                copy.replace_member(now, &member);
            }
            let mut names: Vec<_> = view.up().map(|member| member.at).collect();
            let elected = view.elected("task", 3);
            assert!(elected.iter().all(|one| one.state.is_up()));
            assert_eq!(elected.len(), names.len().min(3));
            let own = elected.iter().any(|one| one.at == at(1));
            assert_eq!(view.is_own_elected("task", 3), own, "seed {seed}");
            names.sort_unstable();
            assert_eq!(names.len() as u32, view.tally().up());
        }
        for member in view.others() {
            copy.replace_member(200, member);
        }
        assert_eq!((copy.others(), copy.tally()), (view.others(), view.tally()));
        assert_eq!(copy.cut_off().0, view.cut_off().0);
        assert_eq!(copy.audit(records.iter()), Ok(()));
        // The audit detects a record that differs in one place.
        if !records.is_empty() {
            records[0].incarnation += 1;
            assert!(view.audit(records.iter()).is_err());
            records[0].incarnation -= 1;
            let down = records[0].state == MemberState::Down;
            records[0].state = if down { MemberState::Alive } else { MemberState::Down };
            assert!(view.audit(records.iter()).is_err());
            records.remove(0);
            assert!(view.audit(records.iter()).is_err());
        }
    }
}

#[test]
fn elections_agree_spread_evenly_and_change_only_for_the_member_that_leaves() {
    let count = 20;
    let views: Vec<View> = (1..=count)
        .map(|own| {
            let others: Vec<_> = (1..=count).map(at).collect();
            let mut view = View::new(record(own, MemberState::Alive, 1, 0), &others, 0);
            for n in (1..=count).filter(|&n| n != own) {
                view.observe(1, &record(n, MemberState::Alive, 1, 0));
            }
            view
        })
        .collect();
    let addresses = |all: Vec<&Member>| all.iter().map(|member| member.at).collect::<Vec<_>>();
    let mut chosen = vec![0; usize::from(count) + 1];
    for task in 0..2000 {
        let task = format!("task {task}");
        let first = addresses(views[0].elected(&task, 3));
        for one in &first {
            chosen[usize::from(one.ip().octets()[3])] += 1;
        }
        for view in &views[1..] {
            assert_eq!(addresses(view.elected(&task, 3)), first);
        }
        // A member that was not elected can leave without any effect; if an elected one leaves, only its own
        // place is filled anew.
        let mut without_last = views[0].clone();
        without_last.observe(2, &record(20, MemberState::Down, 1, 0));
        let after = addresses(without_last.elected(&task, 3));
        let kept: Vec<_> = first.iter().copied().filter(|&one| one != at(20)).collect();
        assert_eq!(after[..kept.len()], kept, "{task}");
        assert_eq!(after.len(), 3);
    }
    // 300 each on average; 4 standard deviations are 65.
    assert!(chosen[1..].iter().all(|&n| (235..=365).contains(&n)), "{chosen:?}");
    // Fixed for all versions: couriers of different versions must elect the same members.
    assert_eq!(addresses(views[0].elected("example", 2)), [at(11), at(4)]);
    assert_eq!(views[0].elected("example", 0).len(), 0);
    assert_eq!(views[0].elected("example", 99).len(), 20);
}

#[test]
fn envelopes_round_trip_and_damaged_ones_are_rejected() {
    let mut rng = fastrand::Rng::with_seed(11);
    let mut sealed = Vec::new();
    for n in 0..500 {
        let length = rng.usize(0..MAX_DATAGRAM_BYTES - ENVELOPE_BYTES);
        let body: Vec<u8> = (0..length).map(|_| rng.u8(..)).collect();
        let kind = [DatagramKind::Protocol, DatagramKind::DownList][n % 2];
        seal(kind, &body, &mut sealed);
        assert_eq!(open(&sealed), Ok((kind, &body[..])));
        let cut = rng.usize(..sealed.len());
        let short = if cut < ENVELOPE_BYTES { OpenError::TooShort } else { OpenError::Checksum };
        assert_eq!(open(&sealed[..cut]), Err(short));
        let bit = rng.usize(..sealed.len() * 8);
        sealed[bit / 8] ^= 1 << (bit % 8);
        assert!(open(&sealed).is_err(), "bit {bit}");
    }
    seal(DatagramKind::Protocol, b"body", &mut sealed);
    sealed[2] += 1;
    assert_eq!(open(&sealed), Err(OpenError::UnknownVersion));
    assert_eq!(open(b"\x01\x00\x01\xf4e1 a note"), Err(OpenError::BadMagic));
    assert_eq!(open(&[0; MAX_DATAGRAM_BYTES + 1]), Err(OpenError::TooLong));
}

#[test]
fn names_are_truncated_at_a_character_boundary() {
    assert_eq!(truncate_name("n3").as_str(), "n3");
    assert_eq!(truncate_name("").as_str(), "");
    assert_eq!(truncate_name(&"ä".repeat(40)).as_str(), "ä".repeat(MAX_NAME_BYTES / 2));
    assert_eq!(
        truncate_name(&format!("a{}", "ä".repeat(40))).as_str(),
        format!("a{}", "ä".repeat(MAX_NAME_BYTES / 2 - 1))
    );
    assert_eq!(Tally::default().configured(), 0);
}
