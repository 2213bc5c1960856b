//! A network in simulated time with the real nodes on it: it loses, doubles, delays and reorders datagrams, keeps
//! parts of the couriers apart, and kills, stops and starts them. All of it follows from a seed.
#![allow(dead_code)]

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::{Ipv4Addr, SocketAddrV4};

use meadowhold_fleet::node::{Counts, Fact, Node, Setup};
use meadowhold_fleet::view::{name, Standing, View};
use meadowhold_fleet::{Time, SECOND};

pub fn at(i: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, (i / 250) as u8, 1 + (i % 250) as u8), 7946)
}

/// Whose address it is.
fn seat_at(address: SocketAddrV4) -> usize {
    let [_, _, high, low] = address.ip().octets();
    250 * usize::from(high) + usize::from(low) - 1
}

#[derive(Clone, Copy, Debug)]
pub struct Net {
    /// Parts of one.
    pub loss: f64,
    pub double: f64,
    /// The least and the most, any between them as likely: what is sent later often comes sooner.
    pub delay: (Time, Time),
}

pub const GOOD: Net = Net { loss: 0.0, double: 0.0, delay: (1, 10) };
pub const POOR: Net = Net { loss: 0.05, double: 0.05, delay: (1, 300) };

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Comes { to: usize, from: usize, datagram: Vec<u8> },
    Wake(usize),
}

struct Seat {
    node: Option<Node>,
    stopped: bool,
    /// What comes while it is stopped; the socket's buffer keeps so many.
    kept: Vec<(usize, Vec<u8>)>,
    wake: Time,
    part: u32,
    starts: u64,
    lost: Counts,
    /// Told facts put into a copy, as the exchange does.
    copy: Option<View>,
}

pub struct World {
    pub now: Time,
    pub net: Net,
    count: usize,
    seats: Vec<Seat>,
    events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    order: u64,
    chance: fastrand::Rng,
    /// Of all that was sent, in its order: equal for equal runs.
    pub trace: u64,
    /// Facts that were taken, of all.
    pub told: u64,
    /// The last datagram that was sent, and by whom.
    pub last: Vec<u8>,
    pub last_from: usize,
    /// From whom to whom nothing passes, though it does the other way.
    pub shut: Vec<(usize, usize)>,
    /// Whose configuration does not name whom, from its next start on.
    pub unnamed: Vec<(usize, usize)>,
}

const KEPT: usize = 256;
/// Milliseconds on the clock of the day when the first process begins: some date of 2026.
pub const FIRST: u64 = 1_790_000_000_000;

impl World {
    /// All start within the first second.
    pub fn new(count: usize, net: Net, seed: u64) -> World {
        let mut chance = fastrand::Rng::with_seed(seed);
        let seat = || Seat {
            node: None,
            stopped: false,
            kept: Vec::new(),
            wake: Time::MAX,
            part: 0,
            starts: 0,
            lost: Counts::default(),
            copy: None,
        };
        let seats = (0..count).map(|_| seat()).collect();
        let starts: Vec<Time> = (0..count).map(|_| chance.u64(..SECOND)).collect();
        let (events, last, shut, unnamed) = (BinaryHeap::new(), Vec::new(), Vec::new(), Vec::new());
        let mut world = World {
            now: 0,
            net,
            count,
            seats,
            events,
            order: 0,
            chance,
            trace: 0,
            told: 0,
            last,
            last_from: 0,
            shut,
            unnamed,
        };
        let mut order: Vec<usize> = (0..count).collect();
        order.sort_by_key(|&i| starts[i]);
        for i in order {
            world.run_until(starts[i]);
            world.start(i, FIRST + starts[i] / 10);
        }
        world
    }

    /// A process with an empty memory; `clock` are the milliseconds that it reads on the clock of the day.
    pub fn start(&mut self, i: usize, clock: u64) {
        let setup = Setup {
            name: name(&format!("n{i}")),
            at: at(i),
            others: (0..self.count)
                .filter(|&other| other != i && !self.unnamed.contains(&(i, other)))
                .map(at)
                .collect(),
            start: clock,
            seed: self.chance.u64(..),
        };
        let node = Node::new(&setup, self.now);
        let seat = &mut self.seats[i];
        seat.starts += 1;
        seat.copy = Some(node.view().clone());
        (seat.node, seat.stopped) = (Some(node), false);
        self.touch(i, None);
    }

    pub fn kill(&mut self, i: usize) {
        let seat = &mut self.seats[i];
        seat.kept.clear();
        seat.wake = Time::MAX;
        seat.lost = seat.node.take().unwrap().counts();
    }

    pub fn stop(&mut self, i: usize) {
        self.seats[i].stopped = true;
    }

    pub fn go_on(&mut self, i: usize) {
        self.seats[i].stopped = false;
        for (from, datagram) in std::mem::take(&mut self.seats[i].kept) {
            self.hear(i, from, &datagram);
        }
        self.touch(i, None);
    }

    pub fn leave(&mut self, i: usize) {
        let (now, mut out) = (self.now, Vec::new());
        let node = self.seats[i].node.as_mut().unwrap();
        node.leave(now, &mut |to, datagram: &[u8]| {
            out.push((to, datagram.to_vec()));
            true
        });
        self.send(i, out);
        self.kill(i);
    }

    /// From now on datagrams pass within a part only.
    pub fn part(&mut self, of: impl Fn(usize) -> u32) {
        for (i, seat) in self.seats.iter_mut().enumerate() {
            seat.part = of(i);
        }
    }

    pub fn node(&self, i: usize) -> &Node {
        self.seats[i].node.as_ref().unwrap()
    }

    pub fn view(&self, i: usize) -> &View {
        self.node(i).view()
    }

    /// What was told, put together again.
    pub fn copy(&self, i: usize) -> &View {
        self.seats[i].copy.as_ref().unwrap()
    }

    /// Those that run, stopped ones not among them.
    pub fn live(&self) -> Vec<usize> {
        (0..self.count).filter(|&i| self.seats[i].node.is_some() && !self.seats[i].stopped).collect()
    }

    pub fn run_until(&mut self, end: Time) {
        while let Some(Reverse((when, ..))) = self.events.peek() {
            if *when > end {
                break;
            }
            let Some(Reverse((when, _, event))) = self.events.pop() else { break };
            self.now = when;
            match event {
                Event::Comes { to, from, datagram } => {
                    let seat = &mut self.seats[to];
                    if seat.node.is_none() {
                        continue;
                    }
                    if seat.stopped {
                        if seat.kept.len() < KEPT {
                            seat.kept.push((from, datagram));
                        }
                        continue;
                    }
                    self.hear(to, from, &datagram);
                    self.touch(to, None);
                }
                Event::Wake(i) => {
                    let seat = &mut self.seats[i];
                    if seat.node.is_some() && !seat.stopped && seat.wake == when {
                        seat.wake = Time::MAX;
                        self.touch(i, None);
                    }
                }
            }
        }
        self.now = end;
    }

    /// Looks each tenth of a second until it holds; when it did, counted from now. None after `within`.
    pub fn until(&mut self, within: Time, mut holds: impl FnMut(&World) -> bool) -> Option<Time> {
        let start = self.now;
        while !holds(self) {
            if self.now >= start + within {
                return None;
            }
            self.run_until(self.now + SECOND / 10);
        }
        Some(self.now - start)
    }

    fn hear(&mut self, to: usize, from: usize, datagram: &[u8]) {
        let (now, mut out) = (self.now, Vec::new());
        let node = self.seats[to].node.as_mut().unwrap();
        node.hear(now, at(from), datagram, &mut |to, datagram: &[u8]| {
            out.push((to, datagram.to_vec()));
            true
        });
        self.send(to, out);
    }

    /// A datagram out of nowhere.
    pub fn inject(&mut self, to: usize, from: SocketAddrV4, datagram: &[u8]) {
        self.touch(to, Some((from, datagram)));
    }

    fn touch(&mut self, i: usize, odd: Option<(SocketAddrV4, &[u8])>) {
        let (now, mut out) = (self.now, Vec::new());
        let seat = &mut self.seats[i];
        let node = seat.node.as_mut().unwrap();
        let mut send = |to, datagram: &[u8]| {
            out.push((to, datagram.to_vec()));
            true
        };
        if let Some((from, datagram)) = odd {
            node.hear(now, from, datagram, &mut send);
        }
        node.turn(now, &mut send);
        let copy = seat.copy.as_mut().unwrap();
        let (chance, told) = (&mut self.chance, &mut self.told);
        // The ring is full now and then.
        node.tell(&mut |fact| {
            if chance.u8(..4) == 0 {
                return false;
            }
            *told += 1;
            if let Fact::Member(member, _) = fact {
                copy.put(now, &member);
            }
            true
        });
        let next = node.next().max(now + 1);
        if next < seat.wake {
            seat.wake = next;
            self.order += 1;
            self.events.push(Reverse((next, self.order, Event::Wake(i))));
        }
        self.send(i, out);
    }

    fn send(&mut self, from: usize, out: Vec<(SocketAddrV4, Vec<u8>)>) {
        for (to, datagram) in out {
            assert!(datagram.len() <= meadowhold_fleet::wire::LONGEST);
            let address = to;
            let to = seat_at(address);
            assert!(to < self.count && at(to) == address, "a datagram to {address}, which nobody has");
            self.trace =
                self.trace.rotate_left(5) ^ u64::from(crc32fast::hash(&datagram)) ^ self.now ^ to as u64;
            self.last.clone_from(&datagram);
            self.last_from = from;
            if self.seats[from].part != self.seats[to].part || self.shut.contains(&(from, to)) {
                continue;
            }
            let copies = 1 + usize::from(self.chance.f64() < self.net.double);
            for _ in 0..copies {
                if self.chance.f64() < self.net.loss {
                    continue;
                }
                let when = self.now + self.chance.u64(self.net.delay.0..=self.net.delay.1);
                self.order += 1;
                let datagram = datagram.clone();
                self.events.push(Reverse((when, self.order, Event::Comes { to, from, datagram })));
            }
        }
    }

    /// Each that runs knows exactly those as up that run.
    pub fn agreed(&self) -> bool {
        let live = self.live();
        self.agree(&live, &live)
    }

    /// Each of `who` knows exactly `up` as up, and is in no doubt.
    pub fn agree(&self, who: &[usize], up: &[usize]) -> bool {
        who.iter().all(|&i| {
            let view = self.view(i);
            let alive = |member: &&meadowhold_fleet::view::Member| member.standing == Standing::Alive;
            view.tally().suspect == 0
                && view.others().iter().filter(alive).map(|member| member.at).eq({
                    let mut up: Vec<_> =
                        up.iter().filter(|&&other| other != i).map(|&other| at(other)).collect();
                    up.sort_unstable();
                    up
                })
        })
    }

    /// Pairs (who, of whom) where one that runs is held to be down.
    pub fn wronged(&self) -> Vec<(usize, usize)> {
        let live = self.live();
        let mut pairs = Vec::new();
        for &i in &live {
            for &j in live.iter().filter(|&&j| j != i) {
                if self.view(i).member(at(j)).unwrap().standing == Standing::Down {
                    pairs.push((i, j));
                }
            }
        }
        pairs
    }
}
