//! The thread on real sockets: members join, a member that stops is detected and so is its return, and
//! invalid datagrams are dropped.

use std::net::{Ipv4Addr, SocketAddrV4, UdpSocket};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use meadowhold_fleet::node::{Setup, Update};
use meadowhold_fleet::thread::{start, Command, Exit, Handle};
use meadowhold_fleet::view::{truncate_name, Change, MemberState};

/// Addresses that no other test of this or another process uses: all in a /24 of this process's own, on a
/// port that the system has just assigned.
fn addresses(count: u8) -> Vec<SocketAddrV4> {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let first = NEXT.fetch_add(count, Ordering::Relaxed);
    let process = std::process::id();
    let one = |n| Ipv4Addr::new(127, 1 + (process % 200) as u8, (process / 200 % 250) as u8, n);
    let free = UdpSocket::bind((one(first), 0)).unwrap();
    let port = free.local_addr().unwrap().port();
    (first..first + count).map(|n| SocketAddrV4::new(one(n), port)).collect()
}

struct Member {
    handle: Handle,
    changes: Vec<(SocketAddrV4, Change)>,
    woken: mpsc::Receiver<()>,
}

impl Member {
    fn start(all: &[SocketAddrV4], i: usize, clock: u64) -> Member {
        let others = all.iter().copied().filter(|&at| at != all[i]).collect();
        let setup =
            Setup { name: truncate_name(&format!("n{i}")), at: all[i], others, start: clock, seed: i as u64 };
        let (wake, woken) = mpsc::channel();
        let handle = start(setup, move || _ = wake.send(())).unwrap();
        Member { handle, changes: Vec::new(), woken }
    }

    fn read(&mut self) {
        while let Some(update) = self.handle.next_update() {
            if let Update::Member(member, change) = update {
                self.handle.view.replace_member(0, &member);
                self.changes.push((member.at, change));
            }
        }
    }

    fn state_of(&self, at: SocketAddrV4) -> MemberState {
        self.handle.view.member(at).unwrap().state
    }

    fn leave(mut self) -> Exit {
        self.handle.send_command(Command::Leave);
        let start = Instant::now();
        loop {
            if let Some(end) = self.handle.try_join() {
                return end.unwrap();
            }
            assert!(start.elapsed() < Duration::from_secs(5));
            thread::sleep(Duration::from_millis(1));
        }
    }
}

/// Polls until the condition holds and returns how long that took.
fn wait_until(what: &str, members: &mut [Member], holds: impl Fn(&[Member]) -> bool) -> Duration {
    let start = Instant::now();
    loop {
        members.iter_mut().for_each(Member::read);
        if holds(members) {
            return start.elapsed();
        }
        assert!(start.elapsed() < Duration::from_secs(20), "timed out waiting for: {what}");
        thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn five_members_join_detect_one_that_stops_and_its_restart() {
    let all = addresses(5);
    let mut members: Vec<Member> = (0..5).map(|i| Member::start(&all, i, 1000)).collect();
    let up =
        |at| move |members: &[Member]| members.iter().all(|member| member.state_of(at) == MemberState::Alive);
    for &at in &all {
        wait_until("all up", &mut members, up(at));
    }
    assert!(members.iter().all(|member| member.woken.try_iter().count() > 0));
    // Dropping the handle makes the member leave.
    let first_start = members.remove(2).handle.view.own().start;
    let down = |members: &[Member]| members.iter().all(|member| member.state_of(all[2]) == MemberState::Down);
    wait_until("one down", &mut members, down);
    let mut restarted = Member::start(&all, 2, 2000);
    assert!(restarted.handle.view.own().start > first_start);
    wait_until("one back", &mut members, up(all[2]));
    assert!(members.iter().all(|member| member.changes.contains(&(all[2], Change::Recovered))));
    wait_until("the restarted member to see the others", std::slice::from_mut(&mut restarted), |restarted| {
        all.iter().all(|&at| restarted[0].state_of(at) == MemberState::Alive)
    });
    members.push(restarted);
    for member in members {
        let end = member.leave();
        assert_eq!((end.fault, end.counts.faults, end.counts.strangers), (None, 0, 0));
        assert!(end.counts.heard > 0 && end.counts.audits > 0);
    }
}

#[test]
fn a_silent_member_is_declared_down_by_probes() {
    let all = addresses(4);
    let mut members: Vec<Member> = (0..3).map(|i| Member::start(&all, i, 1000)).collect();
    // The fourth member is run by the test itself, which can cut it off: all of its datagrams pass through
    // this socket.
    let socket = UdpSocket::bind(all[3]).unwrap();
    socket.set_read_timeout(Some(Duration::from_millis(5))).unwrap();
    let others = all[..3].to_vec();
    let setup = Setup { name: truncate_name("n3"), at: all[3], others, start: 1000, seed: 9 };
    let mut node = meadowhold_fleet::node::Node::new(&setup, 0);
    let begin = Instant::now();
    let now = || (begin.elapsed().as_micros() / 100) as u64;
    let mut run_node = |silent: bool| {
        let mut buffer = [0; 2000];
        let mut send = |to: SocketAddrV4, datagram: &[u8]| !silent && socket.send_to(datagram, to).is_ok();
        if let Ok((length, std::net::SocketAddr::V4(from))) = socket.recv_from(&mut buffer) {
            if !silent {
                node.receive(now(), from, &buffer[..length], &mut send);
            }
        }
        node.turn(now(), &mut send);
        node.view().tally().up()
    };
    let mut phase = |silent: bool, state: MemberState| {
        let start = Instant::now();
        loop {
            let up = run_node(silent);
            members.iter_mut().for_each(Member::read);
            let known = members.iter().all(|member| member.state_of(all[3]) == state);
            // While silent, it sees the others as down itself; afterwards it sees them as up again.
            if known && up == (if silent { 1 } else { 4 }) {
                return start.elapsed();
            }
            assert!(start.elapsed() < Duration::from_secs(20), "timed out waiting for {state:?}");
        }
    };
    phase(false, MemberState::Alive);
    let detection_time = phase(true, MemberState::Down);
    // Not before the suspicion has timed out.
    assert!(detection_time >= meadowhold_fleet::node::SUSPICION_TIMEOUT, "{detection_time:?}");
    phase(false, MemberState::Alive);
    for member in members {
        assert_eq!(member.leave().fault, None);
    }
}

#[test]
fn invalid_datagrams_from_any_address_change_nothing() {
    let all = addresses(3);
    let mut members: Vec<Member> = (0..2).map(|i| Member::start(&all, i, 1000)).collect();
    let up = |members: &[Member]| {
        members[0].state_of(all[1]) == MemberState::Alive && members[1].state_of(all[0]) == MemberState::Alive
    };
    wait_until("both up", &mut members, up);
    // A configured address and one that is not configured, both sending garbage.
    let (configured, unconfigured) =
        (UdpSocket::bind(all[2]).unwrap(), UdpSocket::bind((*all[2].ip(), 0)).unwrap());
    let mut rng = fastrand::Rng::with_seed(3);
    for n in 0..600 {
        let length = rng.usize(0..1700);
        let mut datagram: Vec<u8> = (0..length).map(|_| rng.u8(..)).collect();
        // Starts like a datagram of another version.
        if n % 3 == 0 && length >= 7 {
            datagram[..3].copy_from_slice(b"mf\x02");
        }
        configured.send_to(&datagram, all[0]).unwrap();
        unconfigured.send_to(&datagram, all[0]).unwrap();
        // No faster than the member reads.
        if n % 20 == 0 {
            thread::sleep(Duration::from_millis(1));
        }
    }
    // A note between couriers that was sent to the wrong socket.
    configured.send_to(b"\x01\x00\x01\xf4e1", all[0]).unwrap();
    members[0].handle.send_command(Command::ResendAll);
    members[0].changes.clear();
    wait_until("state published again", &mut members, |members| {
        members[0].changes.contains(&(all[1], Change::Up))
    });
    assert!(up(&members));
    assert_eq!(members[0].state_of(all[2]), MemberState::Unknown);
    let ends: Vec<Exit> = members.into_iter().map(Member::leave).collect();
    let counts = ends[0].counts;
    assert!(counts.strangers > 500 && counts.broken > 300 && counts.versions > 150, "{counts:?}");
    assert_eq!((counts.unread, counts.faults, &ends[0].fault), (0, 0, &None));
}

#[test]
fn an_address_in_use_is_an_immediate_error() {
    let all = addresses(2);
    let _taken = UdpSocket::bind(all[0]).unwrap();
    let setup = Setup { name: truncate_name("n0"), at: all[0], others: vec![all[1]], start: 1, seed: 1 };
    assert!(start(setup, || {}).is_err());
}

#[test]
fn a_panic_of_the_thread_is_reported_as_its_end() {
    let all = addresses(2);
    let setup = Setup { name: truncate_name("n0"), at: all[0], others: vec![all[1]], start: 1, seed: 1 };
    let called = AtomicU8::new(0);
    // The call for the first update panics, the one at the end of the thread does not.
    let wake = move || assert!(called.fetch_add(1, Ordering::Relaxed) > 0, "on purpose");
    let mut handle = start(setup, wake).unwrap();
    let begin = Instant::now();
    while !handle.is_closing() {
        assert!(begin.elapsed() < Duration::from_secs(5));
        thread::sleep(Duration::from_millis(1));
    }
    let end = loop {
        if let Some(end) = handle.try_join() {
            break end;
        }
        assert!(begin.elapsed() < Duration::from_secs(5));
        thread::sleep(Duration::from_millis(1));
    };
    assert_eq!(end, None);
}
