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

use crate::view::{Change, Member, MemberState, Name, ProtocolRecord, Tally, View};
use crate::wire::{self, AddressFilter, DatagramKind, FilteringCodec, Id, OpenError};
use crate::{Time, SECOND};

/// Each courier probes one other so often, and asks others to after the second, and the probe has failed after the
/// first.
pub const PROBE_PERIOD: Duration = Duration::from_millis(500);
pub const DIRECT_PROBE_TIMEOUT: Duration = Duration::from_millis(150);
/// So long, times the number of digits of the members' count, one that is suspected may speak up.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_millis(1500);
/// While there is news, it goes to three so often, beside what probes carry.
const GOSSIP_PERIOD: Duration = Duration::from_millis(200);
/// All that is up is asked of one member so often: makes up for news that was lost on each of its ways.
const ANNOUNCE_PERIOD: Duration = Duration::from_secs(5);
const TWICE: NonZeroU8 = NonZeroU8::new(2).unwrap();
/// Those that are not up are called so often, and so many of them.
const RECONTACT_PERIOD: Time = SECOND;
const RECONTACT_TARGETS: usize = 3;
/// The audit's sample in release builds: one turn in so many.
const TURNS_PER_AUDIT: u64 = if cfg!(debug_assertions) { 1 } else { 64 };

/// What the library is told, for so many members as the configuration names.
pub fn foca_config(members: usize) -> Config {
    let members = NonZeroU32::new(members.try_into().unwrap_or(u32::MAX)).unwrap_or(NonZeroU32::MIN);
    let digits = f64::from(members.get()).log10().max(1.0);
    let periodic = |frequency, members| {
        Some(PeriodicParams {
            frequency,
            num_members: NonZeroUsize::new(members).unwrap_or(NonZeroUsize::MIN),
        })
    };
    let lan = Config::new_lan(members);
    Config {
        probe_period: PROBE_PERIOD,
        probe_rtt: DIRECT_PROBE_TIMEOUT,
        suspect_to_down_after: SUSPICION_TIMEOUT.mul_f64(digits),
        // More than the library's, which for five members sends news three times only. Guards against one that misses
        // all copies of what is told at once of many, where half of those it is told to are gone: it then finds them
        // one by one by its own probes, two a second. Costs nothing while there is no news.
        max_transmissions: lan.max_transmissions.saturating_mul(TWICE).saturating_add(8),
        max_packet_size: NonZeroUsize::new(wire::MAX_DATAGRAM_BYTES - wire::ENVELOPE_BYTES)
            .unwrap_or(NonZeroUsize::MIN),
        // Never forgotten: there is one for each address at most, and who returns has a later start.
        remove_down_after: None,
        periodic_gossip: periodic(GOSSIP_PERIOD, 3),
        periodic_announce: periodic(ANNOUNCE_PERIOD, 1),
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
    pub fn initial_view(&self, now: Time) -> View {
        let Setup { name, at, ref others, start, .. } = *self;
        let own = ProtocolRecord { at, name, start: (start, 0), incarnation: 0, state: MemberState::Alive };
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
pub enum Update {
    Member(Member, Change),
    Partition { cut_off: bool, since: Time, tally: Tally },
}

struct PendingTimer {
    at: Time,
    sequence: u64,
    timer: Timer<Id>,
}

impl Ord for PendingTimer {
    /// The soonest is the greatest; of those due together, in the order that the library wants.
    fn cmp(&self, other: &PendingTimer) -> Ordering {
        let by_timer = || other.timer.cmp(&self.timer);
        other.at.cmp(&self.at).then_with(by_timer).then_with(|| other.sequence.cmp(&self.sequence))
    }
}

impl PartialOrd for PendingTimer {
    fn partial_cmp(&self, other: &PendingTimer) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for PendingTimer {
    fn eq(&self, other: &PendingTimer) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for PendingTimer {}

/// Where datagrams go: to an address, sealed. False when it could not be sent.
pub type SendFn<'a> = &'a mut dyn FnMut(SocketAddrV4, &[u8]) -> bool;

/// What the library asks for while it is at work.
#[derive(Default)]
struct RuntimeState {
    now: Time,
    timers: BinaryHeap<PendingTimer>,
    timers_submitted: u64,
    /// This courier's present start, when it has changed.
    renewed: Option<(u64, u8)>,
    datagram: Vec<u8>,
    counts: Counts,
}

struct NodeRuntime<'a> {
    runtime: &'a mut RuntimeState,
    filter: &'a AddressFilter,
    own: SocketAddrV4,
    send: SendFn<'a>,
}

impl NodeRuntime<'_> {
    fn send_datagram(&mut self, to: SocketAddrV4, kind: DatagramKind, body: &[u8]) {
        let runtime = &mut *self.runtime;
        wire::seal(kind, body, &mut runtime.datagram);
        if (self.send)(to, &runtime.datagram) {
            runtime.counts.sent += 1;
            runtime.counts.sent_bytes += runtime.datagram.len() as u64;
        } else {
            runtime.counts.unsent += 1;
        }
    }
}

impl Runtime<Id> for NodeRuntime<'_> {
    fn notify(&mut self, notification: Notification<'_, Id>) {
        // What becomes of members is read whole after each turn.
        if let Notification::Rejoin(own) = notification {
            self.runtime.renewed = Some((own.start, own.turn));
            self.runtime.counts.renewed += 1;
        }
    }

    fn send_to(&mut self, to: Id, data: &[u8]) {
        // Guards against datagrams to this courier itself, whose former identities the library keeps, and, with the
        // codec's, against any to an address that the configuration does not name.
        if to.at == self.own || !self.filter.contains(to.at) {
            return;
        }
        self.send_datagram(to.at, DatagramKind::Protocol, data);
    }

    fn submit_after(&mut self, timer: Timer<Id>, after: Duration) {
        let runtime = &mut *self.runtime;
        runtime.timers_submitted += 1;
        let after = (after.as_micros() / 100) as Time;
        runtime.timers.push(PendingTimer {
            at: runtime.now + after,
            sequence: runtime.timers_submitted,
            timer,
        });
    }
}

pub struct Node {
    foca: Foca<Id, FilteringCodec, SmallRng, NoCustomBroadcast>,
    filter: Rc<AddressFilter>,
    runtime: RuntimeState,
    view: View,
    rng: SmallRng,
    next_recontact: Time,
    turns: u64,
    /// What has yet to be told: of each other its last news, and of all whether this part is cut off.
    unpublished: Vec<Change>,
    unpublished_partition: bool,
    /// Where the view had each member when the library's were last read, in their order there.
    view_indices: Vec<usize>,
    /// A datagram's content while it is written, and what is held of the members while it is audited; kept for
    /// their room.
    body: Vec<u8>,
    audit_records: Vec<ProtocolRecord>,
    /// The first thing that the audit found amiss.
    pub fault: Option<String>,
    left: bool,
}

fn record_of(member: &foca::Member<Id>) -> ProtocolRecord {
    let state = match member.state() {
        State::Alive => MemberState::Alive,
        State::Suspect => MemberState::Suspect,
        State::Down => MemberState::Down,
    };
    let Id { at, name, start, turn } = *member.id();
    ProtocolRecord { at, name, start: (start, turn), incarnation: member.incarnation(), state }
}

impl Node {
    pub fn new(setup: &Setup, now: Time) -> Node {
        let Setup { name, at, ref others, start, seed } = *setup;
        let filter = Rc::new(AddressFilter::new(others.iter().copied().chain([at]).collect()));
        let id = Id { at, start, turn: 0, name };
        let mut rng = SmallRng::seed_from_u64(seed);
        let codec = FilteringCodec::new(filter.clone());
        let settings = foca_config(filter.addresses().len());
        let foca = Foca::new(id, settings, SmallRng::from_rng(&mut rng), codec);
        let view = setup.initial_view(now);
        let unpublished = vec![Change::Unchanged; view.others().len()];
        let runtime = RuntimeState { now, ..RuntimeState::default() };
        Node {
            foca,
            filter,
            runtime,
            view,
            rng,
            next_recontact: now,
            turns: 0,
            unpublished,
            unpublished_partition: true,
            view_indices: Vec::new(),
            body: Vec::new(),
            audit_records: Vec::new(),
            fault: None,
            left: false,
        }
    }

    pub fn view(&self) -> &View {
        &self.view
    }

    pub fn counts(&self) -> Counts {
        Counts { unnamed: self.filter.unknown_members.get(), ..self.runtime.counts }
    }

    /// When there is something to do though nothing is heard.
    pub fn next_deadline(&self) -> Time {
        self.runtime.timers.peek().map_or(self.next_recontact, |pending| pending.at.min(self.next_recontact))
    }

    fn with_foca<R>(
        &mut self,
        now: Time,
        send: SendFn,
        work: impl FnOnce(&mut Foca<Id, FilteringCodec, SmallRng, NoCustomBroadcast>, NodeRuntime) -> R,
    ) -> R {
        self.runtime.now = now;
        let own = self.view.own().at;
        work(&mut self.foca, NodeRuntime { runtime: &mut self.runtime, filter: &self.filter, own, send })
    }

    /// A datagram. What it changes is in the view after the next turn.
    pub fn receive(&mut self, now: Time, from: SocketAddrV4, datagram: &[u8], mut send: SendFn) {
        if self.left {
            return;
        }
        let counts = &mut self.runtime.counts;
        if from == self.view.own().at || !self.filter.contains(from) {
            counts.strangers += 1;
            return;
        }
        let (kind, body) = match wire::open(datagram) {
            Ok(opened) => opened,
            Err(OpenError::UnknownVersion) => {
                counts.versions += 1;
                return;
            }
            Err(_) => {
                counts.broken += 1;
                return;
            }
        };
        let accepted = match kind {
            DatagramKind::Protocol => {
                self.filter.source.set(Some(from));
                self.filter.announced.set(false);
                let read =
                    self.with_foca(now, &mut send, |foca, runtime| foca.handle_data(body, runtime)).is_ok();
                if read && self.filter.announced.get() {
                    self.send_down_members(now, from, send);
                }
                read
            }
            DatagramKind::DownList => self.receive_down_members(now, body, send),
        };
        let counts = &mut self.runtime.counts;
        if accepted {
            counts.heard += 1;
            counts.heard_bytes += datagram.len() as u64;
        } else {
            counts.unread += 1;
        }
    }

    /// Who asks for all that are up is told who is down as well, which the library's answer leaves out. Guards
    /// against one that was out of the others' sight while they told each other: it would find those that are down
    /// one by one, by its own probes.
    fn send_down_members(&mut self, now: Time, to: SocketAddrV4, send: SendFn) {
        let own = self.view.own().at;
        let down = self.foca.iter_membership_state();
        let down =
            down.filter(|member| member.state() == State::Down && ![own, to].contains(&member.id().at));
        let mut body = std::mem::take(&mut self.body);
        // Any of them if there are more than fit: it asks again.
        let mut down: Vec<_> = down.collect();
        down.shuffle(&mut self.rng);
        wire::encode_down_members(down.into_iter(), &mut body);
        if !body.is_empty() {
            self.with_foca(now, send, |_, mut runtime| {
                runtime.send_datagram(to, DatagramKind::DownList, &body)
            });
        }
        self.body = body;
    }

    /// Down is the last word on one start of a member, so that it may be taken from whoever is named, however old,
    /// and before the answer that says that the sender is up.
    fn receive_down_members(&mut self, now: Time, body: &[u8], send: SendFn) -> bool {
        let Some(down) = wire::decode_down_members(body, &self.filter) else { return false };
        self.with_foca(now, send, |foca, runtime| foca.apply_many(down.into_iter(), true, runtime)).is_ok()
    }

    /// Does what is due, and takes up what has changed since the last turn.
    pub fn turn(&mut self, now: Time, mut send: SendFn) {
        if self.left {
            return;
        }
        // What falls due by what is done here waits for the next turn.
        while self.runtime.timers.peek().is_some_and(|pending| pending.at <= now) {
            let Some(pending) = self.runtime.timers.pop() else { break };
            let done =
                self.with_foca(now, &mut send, |foca, runtime| foca.handle_timer(pending.timer, runtime));
            self.check(done.is_ok(), || format!("the library: {done:?}"));
        }
        if now >= self.next_recontact {
            self.next_recontact = now + RECONTACT_PERIOD;
            self.announce_to_some(now, &mut send, |state| !state.is_up());
        }
        if let Some(start) = self.runtime.renewed.take() {
            self.view.set_own_start(now, start);
            // What the others have told each other meanwhile has passed it by.
            self.announce_to_some(now, &mut send, |state| state == MemberState::Alive);
        }
        self.update_view(now);
        self.turns += 1;
        if self.turns.is_multiple_of(TURNS_PER_AUDIT) {
            self.audit();
        }
    }

    /// Asks some of them for all that are up. Of those that are not up: who has just started, who was cut off, who
    /// was held to be down.
    fn announce_to_some(&mut self, now: Time, mut send: SendFn, select: fn(MemberState) -> bool) {
        let some = self.view.others().iter().filter(|member| select(member.state));
        let mut chosen = [self.view.own().at; RECONTACT_TARGETS];
        let count = some.map(|member| member.at).sample_fill(&mut self.rng, &mut chosen);
        for &at in &chosen[..count] {
            let done = self
                .with_foca(now, &mut send, |foca, runtime| foca.announce(Id::with_address_only(at), runtime));
            self.check(done.is_ok(), || format!("the library: {done:?}"));
        }
    }

    fn update_view(&mut self, now: Time) {
        let cut_off = self.view.cut_off().0;
        for (i, member) in self.foca.iter_membership_state().enumerate() {
            let record = record_of(member);
            let near = self.view_indices.get(i).copied().unwrap_or(usize::MAX);
            let Some(index) = self.view.index_near(record.at, near) else { continue };
            if index != near {
                self.view_indices.resize(self.view_indices.len().max(i + 1), usize::MAX);
                self.view_indices[i] = index;
            }
            let change = self.view.observe_at(now, index, &record);
            if change != Change::Unchanged {
                let before = std::mem::replace(&mut self.unpublished[index], change);
                self.runtime.counts.replaced += u64::from(before != Change::Unchanged);
            }
        }
        self.unpublished_partition |= self.view.cut_off().0 != cut_off;
    }

    fn check(&mut self, holds: bool, message: impl FnOnce() -> String) {
        if !holds {
            self.runtime.counts.faults += 1;
            let message = message();
            debug_assert!(false, "{message}");
            self.fault.get_or_insert(message);
        }
    }

    /// Recounts from what the library holds, and from its own count.
    fn audit(&mut self) {
        self.runtime.counts.audits += 1;
        let mut audit_records = std::mem::take(&mut self.audit_records);
        audit_records.clear();
        audit_records.extend(self.foca.iter_membership_state().map(record_of));
        let recount = self.view.audit(audit_records.iter());
        self.audit_records = audit_records;
        self.check(recount.is_ok(), || format!("the audit: {recount:?}"));
        let (up, active) = (self.view.tally().up() as usize, self.foca.num_members() + 1);
        self.check(up == active, || format!("the audit: {up} are known as up, {active} are held so"));
    }

    /// Everything is to be told anew, for one who has lost what was told.
    pub fn mark_all_pending(&mut self) {
        for (unpublished, member) in self.unpublished.iter_mut().zip(self.view.others()) {
            // Whoever is not heard of is no news.
            if *unpublished == Change::Unchanged && member.state != MemberState::Unknown {
                *unpublished = match member.state {
                    MemberState::Down => Change::Down,
                    MemberState::Suspect => Change::Suspected,
                    _ => Change::Up,
                };
            }
        }
        self.unpublished_partition = true;
    }

    /// Tells what is untold until `put` takes no more; the rest is told another time, as it is then.
    pub fn publish(&mut self, push: &mut dyn FnMut(Update) -> bool) {
        let (cut_off, since) = self.view.cut_off();
        if self.unpublished_partition && !push(Update::Partition { cut_off, since, tally: self.view.tally() })
        {
            self.runtime.counts.held_back += 1;
            return;
        }
        self.unpublished_partition = false;
        for (unpublished, member) in self.unpublished.iter_mut().zip(self.view.others()) {
            if *unpublished != Change::Unchanged {
                if !push(Update::Member(*member, *unpublished)) {
                    self.runtime.counts.held_back += 1;
                    return;
                }
                *unpublished = Change::Unchanged;
            }
        }
    }

    /// Tells some of the others that this courier goes, and does nothing from then on.
    pub fn leave(&mut self, now: Time, send: SendFn) {
        if !std::mem::replace(&mut self.left, true) {
            let done = self.with_foca(now, send, |foca, runtime| foca.leave_cluster(runtime));
            self.check(done.is_ok(), || format!("the library: {done:?}"));
        }
    }
}
