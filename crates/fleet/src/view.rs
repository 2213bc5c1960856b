//! What one courier knows of the others, as standings that a table moves on. No clock, no I/O: each sight comes with
//! its time.

use std::net::SocketAddrV4;

use arrayvec::ArrayString;

use crate::Time;

/// Bytes of a courier's name that are told; a longer one is cut short.
pub const MAX_NAME_BYTES: usize = 32;
pub type Name = ArrayString<MAX_NAME_BYTES>;

/// Cut to what fits, at a character's end.
pub fn truncate_name(text: &str) -> Name {
    let end = text.char_indices().map(|(at, c)| at + c.len_utf8()).take_while(|&end| end <= MAX_NAME_BYTES);
    let end = end.last().unwrap_or(0);
    Name::from(&text[..end]).unwrap_or_default()
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberState {
    /// Named in the configuration; nothing has been heard of it yet.
    Unknown,
    Alive,
    /// Somebody's probe found it silent, and it has not spoken up since. Counts as up until its time is over.
    Suspect,
    Down,
}

impl MemberState {
    pub fn is_up(self) -> bool {
        matches!(self, MemberState::Alive | MemberState::Suspect)
    }
}

/// What is seen of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    Alive,
    /// Alive under a later start than the one that was known.
    Restarted,
    Suspect,
    Down,
}

/// What a sight changes, for those who want to know.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    Unchanged,
    Up,
    Suspected,
    /// A suspicion that did not hold.
    Cleared,
    Down,
    /// Up after it was down.
    Recovered,
    /// Up under a new start, and never seen down in between.
    Restarted,
}

/// All there is to a member's standing: (standing, sight, next standing, news).
#[rustfmt::skip]
pub const TRANSITIONS: [(MemberState, Observation, MemberState, Change); 16] = {
    use {Change::*, MemberState as State, Observation as Observed};
    [
        (State::Unknown, Observed::Alive,     State::Alive,   Up),
        (State::Unknown, Observed::Restarted, State::Alive,   Up),
        // Heard of through one who suspects it: it was up a moment ago, and may be still.
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
        // Back, but somebody's probe has failed since.
        (State::Down,    Observed::Suspect,   State::Suspect, Recovered),
        (State::Down,    Observed::Down,      State::Down,    Unchanged),
    ]
};

pub fn transition(state: MemberState, observation: Observation) -> (MemberState, Change) {
    let row = TRANSITIONS.iter().find(|row| (row.0, row.1) == (state, observation));
    row.map_or((state, Change::Unchanged), |row| (row.2, row.3))
}

/// A member as the protocol holds it at this moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProtocolRecord {
    pub at: SocketAddrV4,
    pub name: Name,
    /// Which of the processes that had this address: later ones are greater. Of no unit.
    pub start: (u64, u8),
    pub incarnation: u16,
    pub state: MemberState,
}

/// A member as it is known here, whole: one of these takes the place of all that were told before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Member {
    pub at: SocketAddrV4,
    /// Empty until it is heard of.
    pub name: Name,
    pub start: (u64, u8),
    pub incarnation: u16,
    pub state: MemberState,
    /// Since when it has this standing.
    pub since: Time,
    /// Since when it is up without a break that was seen, suspicions that did not hold included.
    pub up_since: Option<Time>,
}

impl Member {
    fn unknown(at: SocketAddrV4, now: Time) -> Member {
        let (state, name) = (MemberState::Unknown, Name::new());
        Member { at, name, start: (0, 0), incarnation: 0, state, since: now, up_since: None }
    }

    /// The standing moved on by what is seen, and what that changes.
    fn observe(&mut self, now: Time, record: &ProtocolRecord) -> Change {
        let observation = match record.state {
            MemberState::Alive if record.start > self.start && self.state != MemberState::Unknown => {
                Observation::Restarted
            }
            // Guards against a sight of nothing, which changes nothing.
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

/// How many there are of each standing, this courier among the alive.
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

    /// All that the configuration names, this courier too.
    pub fn configured(&self) -> u32 {
        self.unknown + self.alive + self.suspect + self.down
    }

    pub fn up(&self) -> u32 {
        self.alive + self.suspect
    }

    /// Fewer than half of those named are up: this part may not speak for all.
    pub fn cut_off(&self) -> bool {
        2 * self.up() < self.configured()
    }

    /// The part of those named of whom it is settled whether they are up: 1 when nobody is suspected or unheard of.
    pub fn settled_share(&self) -> f64 {
        f64::from(self.alive + self.down) / f64::from(self.configured().max(1))
    }
}

/// All members but this courier in the order of their addresses, and this courier itself.
#[derive(Clone, Debug)]
pub struct View {
    own: Member,
    others: Vec<Member>,
    tally: Tally,
    /// Cut off or joined, since when.
    cut_off: (bool, Time),
}

impl View {
    /// Knows nobody yet; cut off from the start unless it is alone by its configuration or one of two.
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

    /// Its place, looked for at `near` first: of a thousand members that are read in one order turn after turn, a
    /// search for each was most of a courier's time.
    pub(crate) fn index_near(&self, at: SocketAddrV4, near: usize) -> Option<usize> {
        match self.others.get(near) {
            Some(member) if member.at == at => Some(near),
            _ => self.index_of(at),
        }
    }

    /// Takes up what the protocol holds of a member. Of whom the configuration does not name, nothing.
    pub fn observe(&mut self, now: Time, record: &ProtocolRecord) -> Change {
        self.index_of(record.at).map_or(Change::Unchanged, |index| self.observe_at(now, index, record))
    }

    /// The same, of the member at this place.
    pub(crate) fn observe_at(&mut self, now: Time, index: usize, record: &ProtocolRecord) -> Change {
        let member = &mut self.others[index];
        let before = member.state;
        let change = member.observe(now, record);
        let after = member.state;
        self.count_transition(now, before, after);
        change
    }

    /// Takes up what another view told of a member, whole.
    pub fn replace_member(&mut self, now: Time, member: &Member) {
        let Some(index) = self.index_of(member.at) else { return };
        let before = std::mem::replace(&mut self.others[index], *member).state;
        self.count_transition(now, before, member.state);
    }

    /// This courier goes on under a later start: the others had held it to be down.
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

    /// Those that are up, this courier among them.
    pub fn up(&self) -> impl Iterator<Item = &Member> {
        std::iter::once(&self.own).chain(self.others.iter().filter(|member| member.state.is_up()))
    }

    pub fn tally(&self) -> Tally {
        self.tally
    }

    /// Whether this part is cut off, and since when that is so or not so.
    pub fn cut_off(&self) -> (bool, Time) {
        self.cut_off
    }

    /// Counts anew from what the protocol holds, and compares: what differs is said, at the first difference.
    /// `held` names each member once at most, this courier or strangers too: both are passed over.
    pub fn audit<'a>(&self, records: impl Iterator<Item = &'a ProtocolRecord>) -> Result<(), String> {
        let (mut up, mut suspect, mut down) = (1, 0, 0);
        for record in records {
            // Not by `place`, which the view itself goes by.
            let Some(member) = self.others.iter().find(|member| member.at == record.at) else { continue };
            up += u32::from(record.state.is_up());
            suspect += u32::from(record.state == MemberState::Suspect);
            down += u32::from(record.state == MemberState::Down);
            let known = (member.state, member.start, member.incarnation);
            if known != (record.state, record.start, record.incarnation) {
                return Err(format!("{} is held as {record:?} and known as {known:?}", record.at));
            }
            if member.up_since.is_some() != record.state.is_up() {
                return Err(format!("{} is {:?}, up since {:?}", record.at, record.state, member.up_since));
            }
        }
        let (configured, tally) = (1 + self.others.len() as u32, self.tally);
        let counted = Tally { unknown: configured - up - down, alive: up - suspect, suspect, down };
        if counted != tally {
            return Err(format!("counted {counted:?}, known {tally:?}"));
        }
        if (configured - up > up) != self.cut_off.0 {
            return Err(format!("{up} of {configured} are up, and cut off is {}", self.cut_off.0));
        }
        Ok(())
    }
}
