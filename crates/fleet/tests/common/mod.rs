//! Real nodes on a network in simulated time: it loses, duplicates, delays and reorders datagrams, partitions
//! the couriers, and kills, pauses and starts them. Everything is determined by a seed.
#![allow(dead_code)]

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::{Ipv4Addr, SocketAddrV4};

use meadowhold_fleet::node::{Counts, Node, Setup, Update};
use meadowhold_fleet::view::{truncate_name, MemberState, View};
use meadowhold_fleet::{Time, SECOND};

pub fn at(i: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, (i / 250) as u8, 1 + (i % 250) as u8), 7946)
}

/// The host that has this address.
fn host_at(address: SocketAddrV4) -> usize {
    let [_, _, high, low] = address.ip().octets();
    250 * usize::from(high) + usize::from(low) - 1
}

#[derive(Clone, Copy, Debug)]
pub struct NetworkFaults {
    /// Probabilities per datagram.
    pub loss: f64,
    pub duplicate: f64,
    /// Minimum and maximum of a uniformly distributed delay: datagrams are often reordered.
    pub delay: (Time, Time),
}

pub const GOOD: NetworkFaults = NetworkFaults { loss: 0.0, duplicate: 0.0, delay: (1, 10) };
pub const POOR: NetworkFaults = NetworkFaults { loss: 0.05, duplicate: 0.05, delay: (1, 300) };

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival { to: usize, from: usize, datagram: Vec<u8> },
    Wake(usize),
}

struct Host {
    node: Option<Node>,
    stopped: bool,
    /// Datagrams that arrive while the host is paused, up to the size of a socket buffer.
    buffered: Vec<(usize, Vec<u8>)>,
    wake_at: Time,
    partition: u32,
    starts: u64,
    last_counts: Counts,
    /// A view built from published updates alone, as a courier's exchange builds one.
    copy: Option<View>,
}

pub struct Simulation {
    pub now: Time,
    pub faults: NetworkFaults,
    count: usize,
    hosts: Vec<Host>,
    events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    sequence: u64,
    rng: fastrand::Rng,
    /// Hash of everything that was sent, in order: equal runs have equal traces.
    pub trace: u64,
    /// Updates that were accepted, over all hosts.
    pub published: u64,
    /// The last datagram that was sent, and its sender.
    pub last_datagram: Vec<u8>,
    pub last_from: usize,
    /// Pairs (from, to) of hosts between which datagrams are dropped in this direction only.
    pub blocked: Vec<(usize, usize)>,
    /// Pairs (host, other): the host's configuration lacks the other from the host's next start on.
    pub not_configured: Vec<(usize, usize)>,
}

const SOCKET_BUFFER: usize = 256;
/// Wall-clock time of the first process's start in milliseconds: an arbitrary date in 2026.
pub const FIRST_START_MS: u64 = 1_790_000_000_000;

impl Simulation {
    /// All hosts start within the first second.
    pub fn new(count: usize, faults: NetworkFaults, seed: u64) -> Simulation {
        let mut rng = fastrand::Rng::with_seed(seed);
        let host = || Host {
            node: None,
            stopped: false,
            buffered: Vec::new(),
            wake_at: Time::MAX,
            partition: 0,
            starts: 0,
            last_counts: Counts::default(),
            copy: None,
        };
        let hosts = (0..count).map(|_| host()).collect();
        let starts: Vec<Time> = (0..count).map(|_| rng.u64(..SECOND)).collect();
        let (events, last_datagram, blocked, not_configured) =
            (BinaryHeap::new(), Vec::new(), Vec::new(), Vec::new());
        let mut sim = Simulation {
            now: 0,
            faults,
            count,
            hosts,
            events,
            sequence: 0,
            rng,
            trace: 0,
            published: 0,
            last_datagram,
            last_from: 0,
            blocked,
            not_configured,
        };
        let mut start_order: Vec<usize> = (0..count).collect();
        start_order.sort_by_key(|&i| starts[i]);
        for i in start_order {
            sim.run_until(starts[i]);
            sim.start(i, FIRST_START_MS + starts[i] / 10);
        }
        sim
    }

    /// Starts a process without any state; `clock` is the wall-clock time that it reads, in milliseconds.
    pub fn start(&mut self, i: usize, clock: u64) {
        let setup = Setup {
            name: truncate_name(&format!("n{i}")),
            at: at(i),
            others: (0..self.count)
                .filter(|&other| other != i && !self.not_configured.contains(&(i, other)))
                .map(at)
                .collect(),
            start: clock,
            seed: self.rng.u64(..),
        };
        let node = Node::new(&setup, self.now);
        let host = &mut self.hosts[i];
        host.starts += 1;
        host.copy = Some(node.view().clone());
        (host.node, host.stopped) = (Some(node), false);
        self.turn(i, None);
    }

    pub fn kill(&mut self, i: usize) {
        let host = &mut self.hosts[i];
        host.buffered.clear();
        host.wake_at = Time::MAX;
        host.last_counts = host.node.take().unwrap().counts();
    }

    pub fn stop(&mut self, i: usize) {
        self.hosts[i].stopped = true;
    }

    pub fn resume(&mut self, i: usize) {
        self.hosts[i].stopped = false;
        for (from, datagram) in std::mem::take(&mut self.hosts[i].buffered) {
            self.receive(i, from, &datagram);
        }
        self.turn(i, None);
    }

    pub fn leave(&mut self, i: usize) {
        let (now, mut out) = (self.now, Vec::new());
        let node = self.hosts[i].node.as_mut().unwrap();
        node.leave(now, &mut |to, datagram: &[u8]| {
            out.push((to, datagram.to_vec()));
            true
        });
        self.send(i, out);
        self.kill(i);
    }

    /// From now on datagrams are delivered only within a partition.
    pub fn partition(&mut self, of: impl Fn(usize) -> u32) {
        for (i, host) in self.hosts.iter_mut().enumerate() {
            host.partition = of(i);
        }
    }

    pub fn node(&self, i: usize) -> &Node {
        self.hosts[i].node.as_ref().unwrap()
    }

    pub fn view(&self, i: usize) -> &View {
        self.node(i).view()
    }

    /// The view built from published updates.
    pub fn copy(&self, i: usize) -> &View {
        self.hosts[i].copy.as_ref().unwrap()
    }

    /// Hosts that run and are not paused.
    pub fn live(&self) -> Vec<usize> {
        (0..self.count).filter(|&i| self.hosts[i].node.is_some() && !self.hosts[i].stopped).collect()
    }

    pub fn run_until(&mut self, end: Time) {
        while let Some(Reverse((when, ..))) = self.events.peek() {
            if *when > end {
                break;
            }
            let Some(Reverse((when, _, event))) = self.events.pop() else { break };
            self.now = when;
            match event {
                Event::Arrival { to, from, datagram } => {
                    let host = &mut self.hosts[to];
                    if host.node.is_none() {
                        continue;
                    }
                    if host.stopped {
                        if host.buffered.len() < SOCKET_BUFFER {
                            host.buffered.push((from, datagram));
                        }
                        continue;
                    }
                    self.receive(to, from, &datagram);
                    self.turn(to, None);
                }
                Event::Wake(i) => {
                    let host = &mut self.hosts[i];
                    if host.node.is_some() && !host.stopped && host.wake_at == when {
                        host.wake_at = Time::MAX;
                        self.turn(i, None);
                    }
                }
            }
        }
        self.now = end;
    }

    /// Checks the condition every tenth of a second; returns the time from now until it held, or `None` after
    /// `within`.
    pub fn until(&mut self, within: Time, mut condition: impl FnMut(&Simulation) -> bool) -> Option<Time> {
        let start = self.now;
        while !condition(self) {
            if self.now >= start + within {
                return None;
            }
            self.run_until(self.now + SECOND / 10);
        }
        Some(self.now - start)
    }

    fn receive(&mut self, to: usize, from: usize, datagram: &[u8]) {
        let (now, mut out) = (self.now, Vec::new());
        let node = self.hosts[to].node.as_mut().unwrap();
        node.receive(now, at(from), datagram, &mut |to, datagram: &[u8]| {
            out.push((to, datagram.to_vec()));
            true
        });
        self.send(to, out);
    }

    /// Delivers a datagram that no host has sent.
    pub fn inject(&mut self, to: usize, from: SocketAddrV4, datagram: &[u8]) {
        self.turn(to, Some((from, datagram)));
    }

    fn turn(&mut self, i: usize, incoming: Option<(SocketAddrV4, &[u8])>) {
        let (now, mut out) = (self.now, Vec::new());
        let host = &mut self.hosts[i];
        let node = host.node.as_mut().unwrap();
        let mut send = |to, datagram: &[u8]| {
            out.push((to, datagram.to_vec()));
            true
        };
        if let Some((from, datagram)) = incoming {
            node.receive(now, from, datagram, &mut send);
        }
        node.turn(now, &mut send);
        let copy = host.copy.as_mut().unwrap();
        let (rng, published) = (&mut self.rng, &mut self.published);
        // Simulates a ring that is sometimes full.
        node.publish(&mut |update| {
            if rng.u8(..4) == 0 {
                return false;
            }
            *published += 1;
            if let Update::Member(member, _) = update {
                copy.replace_member(now, &member);
            }
            true
        });
        let next = node.next_deadline().max(now + 1);
        if next < host.wake_at {
            host.wake_at = next;
            self.sequence += 1;
            self.events.push(Reverse((next, self.sequence, Event::Wake(i))));
        }
        self.send(i, out);
    }

    fn send(&mut self, from: usize, out: Vec<(SocketAddrV4, Vec<u8>)>) {
        for (to, datagram) in out {
            assert!(datagram.len() <= meadowhold_fleet::wire::MAX_DATAGRAM_BYTES);
            let address = to;
            let to = host_at(address);
            assert!(to < self.count && at(to) == address, "a datagram to {address}, which no host has");
            self.trace =
                self.trace.rotate_left(5) ^ u64::from(crc32fast::hash(&datagram)) ^ self.now ^ to as u64;
            self.last_datagram.clone_from(&datagram);
            self.last_from = from;
            if self.hosts[from].partition != self.hosts[to].partition || self.blocked.contains(&(from, to)) {
                continue;
            }
            let copies = 1 + usize::from(self.rng.f64() < self.faults.duplicate);
            for _ in 0..copies {
                if self.rng.f64() < self.faults.loss {
                    continue;
                }
                let when = self.now + self.rng.u64(self.faults.delay.0..=self.faults.delay.1);
                self.sequence += 1;
                let datagram = datagram.clone();
                self.events.push(Reverse((when, self.sequence, Event::Arrival { to, from, datagram })));
            }
        }
    }

    /// Every running host sees exactly the running hosts as up.
    pub fn converged(&self) -> bool {
        let live = self.live();
        self.see_exactly(&live, &live)
    }

    /// Each of `who` sees exactly `up` as alive and suspects no member.
    pub fn see_exactly(&self, who: &[usize], up: &[usize]) -> bool {
        who.iter().all(|&i| {
            let view = self.view(i);
            let alive = |member: &&meadowhold_fleet::view::Member| member.state == MemberState::Alive;
            view.tally().suspect == 0
                && view.others().iter().filter(alive).map(|member| member.at).eq({
                    let mut up: Vec<_> =
                        up.iter().filter(|&&other| other != i).map(|&other| at(other)).collect();
                    up.sort_unstable();
                    up
                })
        })
    }

    /// Pairs (observer, member) in which a running member is considered down.
    pub fn wrongly_down(&self) -> Vec<(usize, usize)> {
        let live = self.live();
        let mut pairs = Vec::new();
        for &i in &live {
            for &j in live.iter().filter(|&&j| j != i) {
                if self.view(i).member(at(j)).unwrap().state == MemberState::Down {
                    pairs.push((i, j));
                }
            }
        }
        pairs
    }
}
