//! One courier's membership without socket, clock or chance of its own: datagrams in, datagrams out, and a view that
//! is kept by what the library holds. The simulation and the thread drive the same.

use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::net::SocketAddrV4;
use std::num::{NonZeroU32, NonZeroU8, NonZeroUsize};
use std::rc::Rc;
use std::time::Duration;

use foca::{Config, Foca, NoCustomBroadcast, Notification, PeriodicParams, Runtime, State, Timer};
use rand::rngs::SmallRng;
use rand::seq::{IteratorRandom, SliceRandom};
use rand::SeedableRng;

use crate::view::{Member, Name, News, Seen, Standing, Tally, View};
use crate::wire::{self, Gate, Gated, Id, Kind, Refused};
use crate::{Time, SECOND};

/// Each courier probes one other so often, and asks others to after the second, and the probe has failed after the
/// first.
pub const PERIOD: Duration = Duration::from_millis(500);
pub const DIRECT: Duration = Duration::from_millis(150);
/// So long, times the number of digits of the members' count, one that is suspected may speak up.
pub const SUSPICION: Duration = Duration::from_millis(1500);
/// While there is news, it goes to three so often, beside what probes carry.
const GOSSIP: Duration = Duration::from_millis(200);
/// All that is up is asked of one member so often: makes up for news that was lost on each of its ways.
const ASK: Duration = Duration::from_secs(5);
const TWICE: NonZeroU8 = NonZeroU8::new(2).unwrap();
/// Those that are not up are called so often, and so many of them.
const CALL: Time = SECOND;
const CALLED: usize = 3;
/// The audit's sample in release builds: one turn in so many.
const AUDIT_EACH: u64 = if cfg!(debug_assertions) { 1 } else { 64 };

/// What the library is told, for so many members as the configuration names.
pub fn settings(named: usize) -> Config {
    let named = NonZeroU32::new(named.try_into().unwrap_or(u32::MAX)).unwrap_or(NonZeroU32::MIN);
    let digits = f64::from(named.get()).log10().max(1.0);
    let often = |frequency, members| {
        Some(PeriodicParams {
            frequency,
            num_members: NonZeroUsize::new(members).unwrap_or(NonZeroUsize::MIN),
        })
    };
    let lan = Config::new_lan(named);
    Config {
        probe_period: PERIOD,
        probe_rtt: DIRECT,
        suspect_to_down_after: SUSPICION.mul_f64(digits),
        // More than the library's, which for five members sends news three times only. Guards against one that misses
        // all copies of what is told at once of many, where half of those it is told to are gone: it then finds them
        // one by one by its own probes, two a second. Costs nothing while there is no news.
        max_transmissions: lan.max_transmissions.saturating_mul(TWICE).saturating_add(8),
        max_packet_size: NonZeroUsize::new(wire::LONGEST - wire::ENVELOPE).unwrap_or(NonZeroUsize::MIN),
        // Never forgotten: there is one for each address at most, and who returns has a later start.
        remove_down_after: None,
        periodic_gossip: often(GOSSIP, 3),
        periodic_announce: often(ASK, 1),
        // `call` does it, also where nobody is up any more and the library rests.
        periodic_announce_to_down_members: None,
        ..lan
    }
}

#[derive(Clone, Debug)]
pub struct Setup {
    pub name: Name,
    /// Where this courier hears the others, and where they are: what the configuration names.
    pub at: SocketAddrV4,
    pub others: Vec<SocketAddrV4>,
    /// Milliseconds on the clock of the day when this process began.
    pub start: u64,
    pub seed: u64,
}

impl Setup {
    /// What is known at the start: nobody but this courier.
    pub fn view(&self, now: Time) -> View {
        let Setup { name, at, ref others, start, .. } = *self;
        let own = Seen { at, name, start: (start, 0), incarnation: 0, standing: Standing::Alive };
        View::new(own, others, now)
    }
}

/// Counted since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub sent: u64,
    pub sent_bytes: u64,
    pub heard: u64,
    pub heard_bytes: u64,
    /// Passed over: from an address that the configuration does not name.
    pub strangers: u64,
    /// Passed over: no datagram of ours, cut short, too long or changed on its way.
    pub broken: u64,
    /// Passed over: from a peer with another version.
    pub versions: u64,
    /// Passed over: whole, and yet not to be read, or of a sender that it did not come from.
    pub unread: u64,
    /// Members told of whom the configuration does not name.
    pub unnamed: u64,
    /// Went on under a later start, after the others had held this courier to be down.
    pub renewed: u64,
    /// Could not be sent.
    pub unsent: u64,
    /// Facts that found the ring full and were told later, and those that a later one of the same replaced.
    pub held_back: u64,
    pub replaced: u64,
    pub audits: u64,
    /// What must hold and did not.
    pub faults: u64,
}

/// What is told to whoever wants to know. Each is a state, whole, and takes the place of those before it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fact {
    Member(Member, News),
    Part { cut_off: bool, since: Time, tally: Tally },
}

struct Due {
    at: Time,
    order: u64,
    timer: Timer<Id>,
}

impl Ord for Due {
    /// The soonest is the greatest; of those due together, in the order that the library wants.
    fn cmp(&self, other: &Due) -> Ordering {
        let kinds = || other.timer.cmp(&self.timer);
        other.at.cmp(&self.at).then_with(kinds).then_with(|| other.order.cmp(&self.order))
    }
}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Due) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Due {
    fn eq(&self, other: &Due) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Due {}

/// Where datagrams go: to an address, sealed. False when it could not be sent.
pub type Send<'a> = &'a mut dyn FnMut(SocketAddrV4, &[u8]) -> bool;

/// What the library asks for while it is at work.
#[derive(Default)]
struct Desk {
    now: Time,
    timers: BinaryHeap<Due>,
    ordered: u64,
    /// This courier's present start, when it has changed.
    renewed: Option<(u64, u8)>,
    sealed: Vec<u8>,
    counts: Counts,
}

struct AtWork<'a> {
    desk: &'a mut Desk,
    gate: &'a Gate,
    own: SocketAddrV4,
    send: Send<'a>,
}

impl AtWork<'_> {
    fn post(&mut self, to: SocketAddrV4, kind: Kind, body: &[u8]) {
        let desk = &mut *self.desk;
        wire::seal(kind, body, &mut desk.sealed);
        if (self.send)(to, &desk.sealed) {
            desk.counts.sent += 1;
            desk.counts.sent_bytes += desk.sealed.len() as u64;
        } else {
            desk.counts.unsent += 1;
        }
    }
}

impl Runtime<Id> for AtWork<'_> {
    fn notify(&mut self, notification: Notification<'_, Id>) {
        // What becomes of members is read whole after each turn.
        if let Notification::Rejoin(own) = notification {
            self.desk.renewed = Some((own.start, own.turn));
            self.desk.counts.renewed += 1;
        }
    }

    fn send_to(&mut self, to: Id, data: &[u8]) {
        // Guards against datagrams to this courier itself, whose former identities the library keeps, and, with the
        // codec's, against any to an address that the configuration does not name.
        if to.at == self.own || !self.gate.names(to.at) {
            return;
        }
        self.post(to.at, Kind::Library, data);
    }

    fn submit_after(&mut self, timer: Timer<Id>, after: Duration) {
        let desk = &mut *self.desk;
        desk.ordered += 1;
        let after = (after.as_micros() / 100) as Time;
        desk.timers.push(Due { at: desk.now + after, order: desk.ordered, timer });
    }
}

pub struct Node {
    foca: Foca<Id, Gated, SmallRng, NoCustomBroadcast>,
    gate: Rc<Gate>,
    desk: Desk,
    view: View,
    chance: SmallRng,
    next_call: Time,
    turns: u64,
    /// What has yet to be told: of each other its last news, and of all whether this part is cut off.
    untold: Vec<News>,
    untold_part: bool,
    /// Where the view had each member when the library's were last read, in their order there.
    places: Vec<usize>,
    /// A datagram's content while it is written, and what is held of the members while it is audited; kept for
    /// their room.
    body: Vec<u8>,
    held: Vec<Seen>,
    /// The first thing that the audit found amiss.
    pub fault: Option<String>,
    left: bool,
}

fn seen(member: &foca::Member<Id>) -> Seen {
    let standing = match member.state() {
        State::Alive => Standing::Alive,
        State::Suspect => Standing::Suspect,
        State::Down => Standing::Down,
    };
    let Id { at, name, start, turn } = *member.id();
    Seen { at, name, start: (start, turn), incarnation: member.incarnation(), standing }
}

impl Node {
    pub fn new(setup: &Setup, now: Time) -> Node {
        let Setup { name, at, ref others, start, seed } = *setup;
        let gate = Rc::new(Gate::new(others.iter().copied().chain([at]).collect()));
        let id = Id { at, start, turn: 0, name };
        let mut chance = SmallRng::seed_from_u64(seed);
        let codec = Gated::new(gate.clone());
        let settings = settings(gate.named().len());
        let foca = Foca::new(id, settings, SmallRng::from_rng(&mut chance), codec);
        let view = setup.view(now);
        let untold = vec![News::Nothing; view.others().len()];
        let desk = Desk { now, ..Desk::default() };
        Node {
            foca,
            gate,
            desk,
            view,
            chance,
            next_call: now,
            turns: 0,
            untold,
            untold_part: true,
            places: Vec::new(),
            body: Vec::new(),
            held: Vec::new(),
            fault: None,
            left: false,
        }
    }

    pub fn view(&self) -> &View {
        &self.view
    }

    pub fn counts(&self) -> Counts {
        Counts { unnamed: self.gate.strangers.get(), ..self.desk.counts }
    }

    /// When there is something to do though nothing is heard.
    pub fn next(&self) -> Time {
        self.desk.timers.peek().map_or(self.next_call, |due| due.at.min(self.next_call))
    }

    fn with_library<R>(
        &mut self,
        now: Time,
        send: Send,
        work: impl FnOnce(&mut Foca<Id, Gated, SmallRng, NoCustomBroadcast>, AtWork) -> R,
    ) -> R {
        self.desk.now = now;
        let own = self.view.own().at;
        work(&mut self.foca, AtWork { desk: &mut self.desk, gate: &self.gate, own, send })
    }

    /// A datagram. What it changes is in the view after the next turn.
    pub fn hear(&mut self, now: Time, from: SocketAddrV4, datagram: &[u8], mut send: Send) {
        if self.left {
            return;
        }
        let counts = &mut self.desk.counts;
        if from == self.view.own().at || !self.gate.names(from) {
            counts.strangers += 1;
            return;
        }
        let (kind, body) = match wire::open(datagram) {
            Ok(opened) => opened,
            Err(Refused::Version) => {
                counts.versions += 1;
                return;
            }
            Err(_) => {
                counts.broken += 1;
                return;
            }
        };
        let read = match kind {
            Kind::Library => {
                self.gate.from.set(Some(from));
                self.gate.asked.set(false);
                let read =
                    self.with_library(now, &mut send, |foca, desk| foca.handle_data(body, desk)).is_ok();
                if read && self.gate.asked.get() {
                    self.tell_down(now, from, send);
                }
                read
            }
            Kind::Down => self.hear_down(now, body, send),
        };
        let counts = &mut self.desk.counts;
        if read {
            counts.heard += 1;
            counts.heard_bytes += datagram.len() as u64;
        } else {
            counts.unread += 1;
        }
    }

    /// Who asks for all that are up is told who is down as well, which the library's answer leaves out. Guards
    /// against one that was out of the others' sight while they told each other: it would find those that are down
    /// one by one, by its own probes.
    fn tell_down(&mut self, now: Time, to: SocketAddrV4, send: Send) {
        let own = self.view.own().at;
        let down = self.foca.iter_membership_state();
        let down =
            down.filter(|member| member.state() == State::Down && ![own, to].contains(&member.id().at));
        let mut body = std::mem::take(&mut self.body);
        // Any of them if there are more than fit: it asks again.
        let mut down: Vec<_> = down.collect();
        down.shuffle(&mut self.chance);
        wire::write_down(down.into_iter(), &mut body);
        if !body.is_empty() {
            self.with_library(now, send, |_, mut desk| desk.post(to, Kind::Down, &body));
        }
        self.body = body;
    }

    /// Down is the last word on one start of a member, so that it may be taken from whoever is named, however old,
    /// and before the answer that says that the sender is up.
    fn hear_down(&mut self, now: Time, body: &[u8], send: Send) -> bool {
        let Some(down) = wire::read_down(body, &self.gate) else { return false };
        self.with_library(now, send, |foca, desk| foca.apply_many(down.into_iter(), true, desk)).is_ok()
    }

    /// Does what is due, and takes up what has changed since the last turn.
    pub fn turn(&mut self, now: Time, mut send: Send) {
        if self.left {
            return;
        }
        // What falls due by what is done here waits for the next turn.
        while self.desk.timers.peek().is_some_and(|due| due.at <= now) {
            let Some(due) = self.desk.timers.pop() else { break };
            let done = self.with_library(now, &mut send, |foca, desk| foca.handle_timer(due.timer, desk));
            self.must(done.is_ok(), || format!("the library: {done:?}"));
        }
        if now >= self.next_call {
            self.next_call = now + CALL;
            self.call(now, &mut send, |standing| !standing.is_up());
        }
        if let Some(start) = self.desk.renewed.take() {
            self.view.renewed(now, start);
            // What the others have told each other meanwhile has passed it by.
            self.call(now, &mut send, |standing| standing == Standing::Alive);
        }
        self.take_up(now);
        self.turns += 1;
        if self.turns.is_multiple_of(AUDIT_EACH) {
            self.audit();
        }
    }

    /// Asks some of them for all that are up. Of those that are not up: who has just started, who was cut off, who
    /// was held to be down.
    fn call(&mut self, now: Time, mut send: Send, whom: fn(Standing) -> bool) {
        let some = self.view.others().iter().filter(|member| whom(member.standing));
        let mut chosen = [self.view.own().at; CALLED];
        let count = some.map(|member| member.at).sample_fill(&mut self.chance, &mut chosen);
        for &at in &chosen[..count] {
            let done = self.with_library(now, &mut send, |foca, desk| foca.announce(Id::anyone(at), desk));
            self.must(done.is_ok(), || format!("the library: {done:?}"));
        }
    }

    fn take_up(&mut self, now: Time) {
        let cut_off = self.view.cut_off().0;
        for (i, member) in self.foca.iter_membership_state().enumerate() {
            let seen = seen(member);
            let near = self.places.get(i).copied().unwrap_or(usize::MAX);
            let Some(place) = self.view.place_near(seen.at, near) else { continue };
            if place != near {
                self.places.resize(self.places.len().max(i + 1), usize::MAX);
                self.places[i] = place;
            }
            let news = self.view.see_at(now, place, &seen);
            if news != News::Nothing {
                let before = std::mem::replace(&mut self.untold[place], news);
                self.desk.counts.replaced += u64::from(before != News::Nothing);
            }
        }
        self.untold_part |= self.view.cut_off().0 != cut_off;
    }

    fn must(&mut self, holds: bool, words: impl FnOnce() -> String) {
        if !holds {
            self.desk.counts.faults += 1;
            let words = words();
            debug_assert!(false, "{words}");
            self.fault.get_or_insert(words);
        }
    }

    /// Recounts from what the library holds, and from its own count.
    fn audit(&mut self) {
        self.desk.counts.audits += 1;
        let mut held = std::mem::take(&mut self.held);
        held.clear();
        held.extend(self.foca.iter_membership_state().map(seen));
        let recount = self.view.audit(held.iter());
        self.held = held;
        self.must(recount.is_ok(), || format!("the audit: {recount:?}"));
        let (up, active) = (self.view.tally().up() as usize, self.foca.num_members() + 1);
        self.must(up == active, || format!("the audit: {up} are known as up, {active} are held so"));
    }

    /// Everything is to be told anew, for one who has lost what was told.
    pub fn tell_all(&mut self) {
        for (untold, member) in self.untold.iter_mut().zip(self.view.others()) {
            // Whoever is not heard of is no news.
            if *untold == News::Nothing && member.standing != Standing::Unheard {
                *untold = match member.standing {
                    Standing::Down => News::Down,
                    Standing::Suspect => News::Suspected,
                    _ => News::Up,
                };
            }
        }
        self.untold_part = true;
    }

    /// Tells what is untold until `put` takes no more; the rest is told another time, as it is then.
    pub fn tell(&mut self, put: &mut dyn FnMut(Fact) -> bool) {
        let (cut_off, since) = self.view.cut_off();
        if self.untold_part && !put(Fact::Part { cut_off, since, tally: self.view.tally() }) {
            self.desk.counts.held_back += 1;
            return;
        }
        self.untold_part = false;
        for (untold, member) in self.untold.iter_mut().zip(self.view.others()) {
            if *untold != News::Nothing {
                if !put(Fact::Member(*member, *untold)) {
                    self.desk.counts.held_back += 1;
                    return;
                }
                *untold = News::Nothing;
            }
        }
    }

    /// Tells some of the others that this courier goes, and does nothing from then on.
    pub fn leave(&mut self, now: Time, send: Send) {
        if !std::mem::replace(&mut self.left, true) {
            let done = self.with_library(now, send, |foca, desk| foca.leave_cluster(desk));
            self.must(done.is_ok(), || format!("the library: {done:?}"));
        }
    }
}
