//! One courier's view of the other members: a state per member, advanced by a transition table. No clock and
//! no I/O: each observation comes with its time.

use std::net::SocketAddrV4;

use arrayvec::ArrayString;

use crate::Time;

/// Maximum length of a courier's name in membership datagrams, in bytes; longer names are truncated.
pub const MAX_NAME_BYTES: usize = 32;
pub type Name = ArrayString<MAX_NAME_BYTES>;

/// Truncates a name to the maximum length at a character boundary.
pub fn truncate_name(text: &str) -> Name {
    let end = text.char_indices().map(|(at, c)| at + c.len_utf8()).take_while(|&end| end <= MAX_NAME_BYTES);
    let end = end.last().unwrap_or(0);
    Name::from(&text[..end]).unwrap_or_default()
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberState {
    /// Configured, but nothing has been heard of it yet.
    Unknown,
    Alive,
    /// A member's probe failed, and the suspicion has not been refuted yet. Counts as up until the suspicion
    /// times out.
    Suspect,
    Down,
}

impl MemberState {
    pub fn is_up(self) -> bool {
        matches!(self, MemberState::Alive | MemberState::Suspect)
    }
}

/// What the protocol reports about a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    Alive,
    /// Alive with a later start than the known one.
    Restarted,
    Suspect,
    Down,
}

/// What an observation changes, as reported to the consumer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    Unchanged,
    Up,
    Suspected,
    /// A suspicion was refuted.
    Cleared,
    Down,
    /// Up after it was down.
    Recovered,
    /// Up with a new start, without having been seen down in between.
    Restarted,
}

/// The complete state machine of a member: (state, observation, next state, change).
#[rustfmt::skip]
pub const TRANSITIONS: [(MemberState, Observation, MemberState, Change); 16] = {
    use {Change::*, MemberState as State, Observation as Observed};
    [
        (State::Unknown, Observed::Alive,     State::Alive,   Up),
        (State::Unknown, Observed::Restarted, State::Alive,   Up),
        // First heard of through a member that suspects it: it was up a moment ago and may still be.
        (State::Unknown, Observed::Suspect,   State::Suspect, Suspected),
        (State::Unknown, Observed::Down,      State::Down,    Down),
        (State::Alive,   Observed::Alive,     State::Alive,   Unchanged),
        (State::Alive,   Observed::Restarted, State::Alive,   Restarted),
        (State::Alive,   Observed::Suspect,   State::Suspect, Suspected),
        (State::Alive,   Observed::Down,      State::Down,    Down),
        (State::Suspect, Observed::Alive,     State::Alive,   Cleared),
        (State::Suspect, Observed::Restarted, State::Alive,   Restarted),
        (State::Suspect, Observed::Suspect,   State::Suspect, Unchanged),
        (State::Suspect, Observed::Down,      State::Down,    Down),
        (State::Down,    Observed::Alive,     State::Alive,   Recovered),
        (State::Down,    Observed::Restarted, State::Alive,   Recovered),
        // Back up, but a probe has failed since.
        (State::Down,    Observed::Suspect,   State::Suspect, Recovered),
        (State::Down,    Observed::Down,      State::Down,    Unchanged),
    ]
};

pub fn transition(state: MemberState, observation: Observation) -> (MemberState, Change) {
    let row = TRANSITIONS.iter().find(|row| (row.0, row.1) == (state, observation));
    row.map_or((state, Change::Unchanged), |row| (row.2, row.3))
}

/// A member as the protocol library holds it at this moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProtocolRecord {
    pub at: SocketAddrV4,
    pub name: Name,
    /// Identifies the process behind the address: a later process has a greater value. Has no unit.
    pub start: (u64, u8),
    pub incarnation: u16,
    pub state: MemberState,
}

/// A member as this view knows it. Holds the complete state and replaces any earlier value of the same
/// member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Member {
    pub at: SocketAddrV4,
    /// Empty until the member has been heard of.
    pub name: Name,
    pub start: (u64, u8),
    pub incarnation: u16,
    pub state: MemberState,
    /// Time of the last change of state.
    pub since: Time,
    /// Since when it has been up without an observed interruption; refuted suspicions do not count as one.
    pub up_since: Option<Time>,
}

impl Member {
    fn unknown(at: SocketAddrV4, now: Time) -> Member {
        let (state, name) = (MemberState::Unknown, Name::new());
        Member { at, name, start: (0, 0), incarnation: 0, state, since: now, up_since: None }
    }

    /// Applies an observation and returns what it changes.
    fn observe(&mut self, now: Time, record: &ProtocolRecord) -> Change {
        let observation = match record.state {
            MemberState::Alive if record.start > self.start && self.state != MemberState::Unknown => {
                Observation::Restarted
            }
            // Guards against a record without information, which changes nothing.
            MemberState::Unknown => return Change::Unchanged,
            MemberState::Alive => Observation::Alive,
            MemberState::Suspect => Observation::Suspect,
            MemberState::Down => Observation::Down,
        };
        let (next, change) = transition(self.state, observation);
        self.up_since = match (next.is_up(), change) {
            (false, _) => None,
            (true, Change::Restarted | Change::Recovered) => Some(now),
            (true, _) => self.up_since.or(Some(now)),
        };
        if next != self.state || change != Change::Unchanged {
            self.since = now;
        }
        (self.name, self.start, self.incarnation) = (record.name, record.start, record.incarnation);
        self.state = next;
        change
    }
}

/// Number of members in each state; this courier counts as alive.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    pub unknown: u32,
    pub alive: u32,
    pub suspect: u32,
    pub down: u32,
}

impl Tally {
    fn count_mut(&mut self, state: MemberState) -> &mut u32 {
        match state {
            MemberState::Unknown => &mut self.unknown,
            MemberState::Alive => &mut self.alive,
            MemberState::Suspect => &mut self.suspect,
            MemberState::Down => &mut self.down,
        }
    }

    /// All configured members, including this courier.
    pub fn configured(&self) -> u32 {
        self.unknown + self.alive + self.suspect + self.down
    }

    pub fn up(&self) -> u32 {
        self.alive + self.suspect
    }

    /// Fewer than half of the configured members are up: this partition must not act for all couriers.
    pub fn cut_off(&self) -> bool {
        2 * self.up() < self.configured()
    }

    /// Share of the configured members that are known to be either up or down: 1 if none is suspected or
    /// unknown.
    pub fn settled_share(&self) -> f64 {
        f64::from(self.alive + self.down) / f64::from(self.configured().max(1))
    }
}

/// This courier and all other configured members, in the order of their addresses.
#[derive(Clone, Debug)]
pub struct View {
    own: Member,
    others: Vec<Member>,
    tally: Tally,
    /// Whether this courier is cut off, and since when that has been the case.
    cut_off: (bool, Time),
}

impl View {
    /// Only this courier is known; cut off from the start, unless at most two members are configured.
    pub fn new(own: ProtocolRecord, others: &[SocketAddrV4], now: Time) -> View {
        let mut addresses: Vec<_> = others.iter().copied().filter(|&at| at != own.at).collect();
        addresses.sort_unstable();
        addresses.dedup();
        let mut own_member = Member::unknown(own.at, now);
        own_member.observe(now, &ProtocolRecord { state: MemberState::Alive, ..own });
        let others: Vec<Member> = addresses.into_iter().map(|at| Member::unknown(at, now)).collect();
        let tally = Tally { unknown: others.len() as u32, alive: 1, ..Tally::default() };
        View { own: own_member, others, tally, cut_off: (tally.cut_off(), now) }
    }

    pub(crate) fn index_of(&self, at: SocketAddrV4) -> Option<usize> {
        self.others.binary_search_by_key(&at, |member| member.at).ok()
    }

    /// Index of a member, trying `near` first: with a thousand members that are read in the same order on
    /// every turn, a search for each took most of a courier's processor time.
    pub(crate) fn index_near(&self, at: SocketAddrV4, near: usize) -> Option<usize> {
        match self.others.get(near) {
            Some(member) if member.at == at => Some(near),
            _ => self.index_of(at),
        }
    }

    /// Applies a record of the protocol; ignores members that are not configured.
    pub fn observe(&mut self, now: Time, record: &ProtocolRecord) -> Change {
        self.index_of(record.at).map_or(Change::Unchanged, |index| self.observe_at(now, index, record))
    }

    /// Like `observe`, for the member at this index.
    pub(crate) fn observe_at(&mut self, now: Time, index: usize, record: &ProtocolRecord) -> Change {
        let member = &mut self.others[index];
        let before = member.state;
        let change = member.observe(now, record);
        let after = member.state;
        self.count_transition(now, before, after);
        change
    }

    /// Replaces a member by its state in another view.
    pub fn replace_member(&mut self, now: Time, member: &Member) {
        let Some(index) = self.index_of(member.at) else { return };
        let before = std::mem::replace(&mut self.others[index], *member).state;
        self.count_transition(now, before, member.state);
    }

    /// Sets a later start of this courier, after the others had declared it down.
    pub fn set_own_start(&mut self, now: Time, start: (u64, u8)) {
        (self.own.start, self.own.since, self.own.up_since) = (start, now, Some(now));
    }

    fn count_transition(&mut self, now: Time, before: MemberState, after: MemberState) {
        if before != after {
            *self.tally.count_mut(before) -= 1;
            *self.tally.count_mut(after) += 1;
            if self.tally.cut_off() != self.cut_off.0 {
                self.cut_off = (!self.cut_off.0, now);
            }
        }
    }

    pub fn own(&self) -> &Member {
        &self.own
    }

    pub fn others(&self) -> &[Member] {
        &self.others
    }

    pub fn member(&self, at: SocketAddrV4) -> Option<&Member> {
        if at == self.own.at {
            return Some(&self.own);
        }
        self.index_of(at).map(|index| &self.others[index])
    }

    /// All members that are up, including this courier.
    pub fn up(&self) -> impl Iterator<Item = &Member> {
        std::iter::once(&self.own).chain(self.others.iter().filter(|member| member.state.is_up()))
    }

    pub fn tally(&self) -> Tally {
        self.tally
    }

    /// Whether this courier is cut off, and since when that has or has not been the case.
    pub fn cut_off(&self) -> (bool, Time) {
        self.cut_off
    }

    /// Recounts from the protocol's records and compares the result with this view; the error describes the
    /// first difference. `records` holds each member at most once; records of this courier and of members
    /// that are not configured are ignored.
    pub fn audit<'a>(&self, records: impl Iterator<Item = &'a ProtocolRecord>) -> Result<(), String> {
        let (mut up, mut suspect, mut down) = (1, 0, 0);
        for record in records {
            // Does not use `index_of`, on which the view itself relies.
            let Some(member) = self.others.iter().find(|member| member.at == record.at) else { continue };
            up += u32::from(record.state.is_up());
            suspect += u32::from(record.state == MemberState::Suspect);
            down += u32::from(record.state == MemberState::Down);
            let known = (member.state, member.start, member.incarnation);
            if known != (record.state, record.start, record.incarnation) {
                return Err(format!("{}: record {record:?} differs from the view's {known:?}", record.at));
            }
            if member.up_since.is_some() != record.state.is_up() {
                return Err(format!(
                    "{}: state {:?} contradicts up_since {:?}",
                    record.at, record.state, member.up_since
                ));
            }
        }
        let (configured, tally) = (1 + self.others.len() as u32, self.tally);
        let counted = Tally { unknown: configured - up - down, alive: up - suspect, suspect, down };
        if counted != tally {
            return Err(format!("recounted {counted:?}, the view has {tally:?}"));
        }
        if (configured - up > up) != self.cut_off.0 {
            return Err(format!("{up} of {configured} members are up, but cut_off is {}", self.cut_off.0));
        }
        Ok(())
    }
}
