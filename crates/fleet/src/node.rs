//! Membership of one courier without socket, clock or randomness of its own: datagrams in, datagrams out, and
//! a view kept in step with the state of the `foca` library. The simulation in the tests and the thread drive
//! the same code.

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

/// Each courier probes one other member per period. Without a reply within the direct timeout it asks other
/// members to probe; at the end of the period the probe has failed.
pub const PROBE_PERIOD: Duration = Duration::from_millis(500);
pub const DIRECT_PROBE_TIMEOUT: Duration = Duration::from_millis(150);
/// Time for a suspected member to refute the suspicion, multiplied by the decimal logarithm of the number of
/// members (at least 1).
pub const SUSPICION_TIMEOUT: Duration = Duration::from_millis(1500);
/// Interval at which pending updates are gossiped to three members, in addition to those that probes carry.
const GOSSIP_PERIOD: Duration = Duration::from_millis(200);
/// Interval at which one member is asked for everyone that is up: makes up for updates that were lost on
/// every path.
const ANNOUNCE_PERIOD: Duration = Duration::from_secs(5);
const TWICE: NonZeroU8 = NonZeroU8::new(2).unwrap();
/// Interval at which members that are not up are contacted, and how many of them at a time.
const RECONTACT_PERIOD: Time = SECOND;
const RECONTACT_TARGETS: usize = 3;
/// An audit runs once in this many turns: on every turn in debug builds, on a sample of them in release
/// builds.
const TURNS_PER_AUDIT: u64 = if cfg!(debug_assertions) { 1 } else { 64 };

/// Configuration of the `foca` library for this many configured members.
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
        // More than the library's default, which sends an update only three times with five members. Guards
        // against a member that misses every copy of updates about many members at once, when half of their
        // recipients are gone: it would find those members one by one with its own probes, two per second.
        // Costs nothing while there are no updates.
        max_transmissions: lan.max_transmissions.saturating_mul(TWICE).saturating_add(8),
        max_packet_size: NonZeroUsize::new(wire::MAX_DATAGRAM_BYTES - wire::ENVELOPE_BYTES)
            .unwrap_or(NonZeroUsize::MIN),
        // Down members are never removed: there is at most one per address, and a member that returns has a
        // later start.
        remove_down_after: None,
        periodic_gossip: periodic(GOSSIP_PERIOD, 3),
        periodic_announce: periodic(ANNOUNCE_PERIOD, 1),
        // `announce_to_some` does this, also when no member is up any more and the library is idle.
        periodic_announce_to_down_members: None,
        ..lan
    }
}

#[derive(Clone, Debug)]
pub struct Setup {
    pub name: Name,
    /// Address at which this courier receives membership datagrams, and those of the other couriers, as
    /// configured.
    pub at: SocketAddrV4,
    pub others: Vec<SocketAddrV4>,
    /// Start of this process in milliseconds of wall-clock time.
    pub start: u64,
    pub seed: u64,
}

impl Setup {
    /// The view at start: only this courier is known.
    pub fn initial_view(&self, now: Time) -> View {
        let Setup { name, at, ref others, start, .. } = *self;
        let own = ProtocolRecord { at, name, start: (start, 0), incarnation: 0, state: MemberState::Alive };
        View::new(own, others, now)
    }
}

/// Counters since the start of the node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub sent: u64,
    pub sent_bytes: u64,
    pub heard: u64,
    pub heard_bytes: u64,
    /// Dropped: from an address that is not configured.
    pub strangers: u64,
    /// Dropped: not a membership datagram, truncated, too long or corrupted.
    pub broken: u64,
    /// Dropped: from a peer with another protocol version.
    pub versions: u64,
    /// Dropped: the envelope is valid, but the content cannot be decoded or names a sender other than its
    /// source.
    pub unread: u64,
    /// Reported members that are not configured.
    pub unnamed: u64,
    /// Times that this courier took a later start because the others had declared it down.
    pub renewed: u64,
    /// Datagrams that could not be sent.
    pub unsent: u64,
    /// Updates that found the ring full and were published later, and updates replaced by a later one of the
    /// same member before they were published.
    pub held_back: u64,
    pub replaced: u64,
    pub audits: u64,
    /// Violated invariants.
    pub faults: u64,
}

/// An update for the consumer. Each holds the complete state and replaces all earlier ones of its subject.
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
    /// The earliest timer is the greatest, as `BinaryHeap` pops the greatest; timers due at the same time
    /// follow the order that the library requires.
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

/// Sends a sealed datagram to an address; returns false if it could not be sent.
pub type SendFn<'a> = &'a mut dyn FnMut(SocketAddrV4, &[u8]) -> bool;

/// What the library requests through `Runtime` while it handles an event.
#[derive(Default)]
struct RuntimeState {
    now: Time,
    timers: BinaryHeap<PendingTimer>,
    timers_submitted: u64,
    /// The new start of this courier, if it has changed.
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
        // Other changes of members are read from the library's state after each turn.
        if let Notification::Rejoin(own) = notification {
            self.runtime.renewed = Some((own.start, own.turn));
            self.runtime.counts.renewed += 1;
        }
    }

    fn send_to(&mut self, to: Id, data: &[u8]) {
        // Guards against datagrams to this courier itself, whose former identities the library keeps, and,
        // together with the codec, against any to an address that is not configured.
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
    /// What has yet to be published: the last change of each other member, and whether this courier is cut
    /// off.
    unpublished: Vec<Change>,
    unpublished_partition: bool,
    /// Index in the view of each member in the library's iteration order, as of the last read.
    view_indices: Vec<usize>,
    /// Buffers for the content of a datagram and for the records under audit; kept to reuse their
    /// allocations.
    body: Vec<u8>,
    audit_records: Vec<ProtocolRecord>,
    /// The first violated invariant.
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

    /// When `turn` must be called next, even if no datagram arrives.
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

    /// Handles a datagram. Its effects appear in the view after the next turn.
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

    /// Sends the down members to a member that asked for those that are up, as the library's reply leaves
    /// them out. Guards against a member that was unreachable while the others exchanged these updates: it
    /// would detect each down member only with its own probes, one by one.
    fn send_down_members(&mut self, now: Time, to: SocketAddrV4, send: SendFn) {
        let own = self.view.own().at;
        let down = self.foca.iter_membership_state();
        let down =
            down.filter(|member| member.state() == State::Down && ![own, to].contains(&member.id().at));
        let mut body = std::mem::take(&mut self.body);
        // A random selection if not all fit; the other member asks again.
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

    /// Down is final for a given start of a member. It can therefore be accepted from any configured member,
    /// however old the information, and before the reply that shows that the sender is up.
    fn receive_down_members(&mut self, now: Time, body: &[u8], send: SendFn) -> bool {
        let Some(down) = wire::decode_down_members(body, &self.filter) else { return false };
        self.with_foca(now, send, |foca, runtime| foca.apply_many(down.into_iter(), true, runtime)).is_ok()
    }

    /// Handles timers that are due and applies all changes since the last turn to the view.
    pub fn turn(&mut self, now: Time, mut send: SendFn) {
        if self.left {
            return;
        }
        // Timers that become due as a result wait for the next turn.
        while self.runtime.timers.peek().is_some_and(|pending| pending.at <= now) {
            let Some(pending) = self.runtime.timers.pop() else { break };
            let done =
                self.with_foca(now, &mut send, |foca, runtime| foca.handle_timer(pending.timer, runtime));
            self.check(done.is_ok(), || format!("foca: {done:?}"));
        }
        if now >= self.next_recontact {
            self.next_recontact = now + RECONTACT_PERIOD;
            self.announce_to_some(now, &mut send, |state| !state.is_up());
        }
        if let Some(start) = self.runtime.renewed.take() {
            self.view.set_own_start(now, start);
            // This courier has missed the updates that the others exchanged in the meantime.
            self.announce_to_some(now, &mut send, |state| state == MemberState::Alive);
        }
        self.update_view(now);
        self.turns += 1;
        if self.turns.is_multiple_of(TURNS_PER_AUDIT) {
            self.audit();
        }
    }

    /// Asks some of the selected members for everyone that is up. Members that are not up may have just
    /// started, may have been cut off, or may have been declared down wrongly.
    fn announce_to_some(&mut self, now: Time, mut send: SendFn, select: fn(MemberState) -> bool) {
        let some = self.view.others().iter().filter(|member| select(member.state));
        let mut chosen = [self.view.own().at; RECONTACT_TARGETS];
        let count = some.map(|member| member.at).sample_fill(&mut self.rng, &mut chosen);
        for &at in &chosen[..count] {
            let done = self
                .with_foca(now, &mut send, |foca, runtime| foca.announce(Id::with_address_only(at), runtime));
            self.check(done.is_ok(), || format!("foca: {done:?}"));
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

    /// Checks the view against the library's records and against the library's own count of active members.
    fn audit(&mut self) {
        self.runtime.counts.audits += 1;
        let mut audit_records = std::mem::take(&mut self.audit_records);
        audit_records.clear();
        audit_records.extend(self.foca.iter_membership_state().map(record_of));
        let recount = self.view.audit(audit_records.iter());
        self.audit_records = audit_records;
        self.check(recount.is_ok(), || format!("audit: {recount:?}"));
        let (up, active) = (self.view.tally().up() as usize, self.foca.num_members() + 1);
        self.check(up == active, || format!("audit: {up} members are up in the view, {active} in foca"));
    }

    /// Marks the complete state for publication, for a consumer that has lost earlier updates.
    pub fn mark_all_unpublished(&mut self) {
        for (unpublished, member) in self.unpublished.iter_mut().zip(self.view.others()) {
            // A member that has never been heard of has nothing to publish.
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

    /// Publishes pending updates until `push` returns false. The remaining ones are published by a later
    /// call, with the state as it is then.
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

    /// Announces the departure of this courier to some of the others; the node does nothing afterwards.
    pub fn leave(&mut self, now: Time, send: SendFn) {
        if !std::mem::replace(&mut self.left, true) {
            let done = self.with_foca(now, send, |foca, runtime| foca.leave_cluster(runtime));
            self.check(done.is_ok(), || format!("foca: {done:?}"));
        }
    }
}
