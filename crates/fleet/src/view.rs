//! What one courier knows of the others, as standings that a table moves on. No clock, no I/O: each sight comes with
//! its time.

use std::net::SocketAddrV4;

use arrayvec::ArrayString;

use crate::Time;

/// Bytes of a courier's name that are told; a longer one is cut short.
pub const LONGEST_NAME: usize = 32;
pub type Name = ArrayString<LONGEST_NAME>;

/// Cut to what fits, at a character's end.
pub fn name(text: &str) -> Name {
    let end = text.char_indices().map(|(at, c)| at + c.len_utf8()).take_while(|&end| end <= LONGEST_NAME);
    let end = end.last().unwrap_or(0);
    Name::from(&text[..end]).unwrap_or_default()
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// Named in the configuration; nothing has been heard of it yet.
    Unheard,
    Alive,
    /// Somebody's probe found it silent, and it has not spoken up since. Counts as up until its time is over.
    Suspect,
    Down,
}

impl Standing {
    pub fn is_up(self) -> bool {
        matches!(self, Standing::Alive | Standing::Suspect)
    }
}

/// What is seen of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sight {
    Alive,
    /// Alive under a later start than the one that was known.
    Anew,
    Suspect,
    Down,
}

/// What a sight changes, for those who want to know.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum News {
    Nothing,
    Up,
    Suspected,
    /// A suspicion that did not hold.
    Cleared,
    Down,
    /// Up after it was down.
    Back,
    /// Up under a new start, and never seen down in between.
    Restarted,
}

/// All there is to a member's standing: (standing, sight, next standing, news).
#[rustfmt::skip]
pub const STANDINGS: [(Standing, Sight, Standing, News); 16] = {
    use {News::*, Sight as See, Standing as Is};
    [
        (Is::Unheard, See::Alive,   Is::Alive,   Up),
        (Is::Unheard, See::Anew,    Is::Alive,   Up),
        // Heard of through one who suspects it: it was up a moment ago, and may be still.
        (Is::Unheard, See::Suspect, Is::Suspect, Suspected),
        (Is::Unheard, See::Down,    Is::Down,    Down),
        (Is::Alive,   See::Alive,   Is::Alive,   Nothing),
        (Is::Alive,   See::Anew,    Is::Alive,   Restarted),
        (Is::Alive,   See::Suspect, Is::Suspect, Suspected),
        (Is::Alive,   See::Down,    Is::Down,    Down),
        (Is::Suspect, See::Alive,   Is::Alive,   Cleared),
        (Is::Suspect, See::Anew,    Is::Alive,   Restarted),
        (Is::Suspect, See::Suspect, Is::Suspect, Nothing),
        (Is::Suspect, See::Down,    Is::Down,    Down),
        (Is::Down,    See::Alive,   Is::Alive,   Back),
        (Is::Down,    See::Anew,    Is::Alive,   Back),
        // Back, but somebody's probe has failed since.
        (Is::Down,    See::Suspect, Is::Suspect, Back),
        (Is::Down,    See::Down,    Is::Down,    Nothing),
    ]
};

pub fn step(standing: Standing, sight: Sight) -> (Standing, News) {
    let row = STANDINGS.iter().find(|row| (row.0, row.1) == (standing, sight));
    row.map_or((standing, News::Nothing), |row| (row.2, row.3))
}

/// A member as the protocol holds it at this moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Seen {
    pub at: SocketAddrV4,
    pub name: Name,
    /// Which of the processes that had this address: later ones are greater. Of no unit.
    pub start: (u64, u8),
    pub incarnation: u16,
    pub standing: Standing,
}

/// A member as it is known here, whole: one of these takes the place of all that were told before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Member {
    pub at: SocketAddrV4,
    /// Empty until it is heard of.
    pub name: Name,
    pub start: (u64, u8),
    pub incarnation: u16,
    pub standing: Standing,
    /// Since when it has this standing.
    pub since: Time,
    /// Since when it is up without a break that was seen, suspicions that did not hold included.
    pub up_since: Option<Time>,
}

impl Member {
    fn unheard(at: SocketAddrV4, now: Time) -> Member {
        let (standing, name) = (Standing::Unheard, Name::new());
        Member { at, name, start: (0, 0), incarnation: 0, standing, since: now, up_since: None }
    }

    /// The standing moved on by what is seen, and what that changes.
    fn see(&mut self, now: Time, seen: &Seen) -> News {
        let sight = match seen.standing {
            Standing::Alive if seen.start > self.start && self.standing != Standing::Unheard => Sight::Anew,
            // Guards against a sight of nothing, which changes nothing.
            Standing::Unheard => return News::Nothing,
            Standing::Alive => Sight::Alive,
            Standing::Suspect => Sight::Suspect,
            Standing::Down => Sight::Down,
        };
        let (next, news) = step(self.standing, sight);
        self.up_since = match (next.is_up(), news) {
            (false, _) => None,
            (true, News::Restarted | News::Back) => Some(now),
            (true, _) => self.up_since.or(Some(now)),
        };
        if next != self.standing || news != News::Nothing {
            self.since = now;
        }
        (self.name, self.start, self.incarnation) = (seen.name, seen.start, seen.incarnation);
        self.standing = next;
        news
    }
}

/// How many there are of each standing, this courier among the alive.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    pub unheard: u32,
    pub alive: u32,
    pub suspect: u32,
    pub down: u32,
}

impl Tally {
    fn of(&mut self, standing: Standing) -> &mut u32 {
        match standing {
            Standing::Unheard => &mut self.unheard,
            Standing::Alive => &mut self.alive,
            Standing::Suspect => &mut self.suspect,
            Standing::Down => &mut self.down,
        }
    }

    /// All that the configuration names, this courier too.
    pub fn named(&self) -> u32 {
        self.unheard + self.alive + self.suspect + self.down
    }

    pub fn up(&self) -> u32 {
        self.alive + self.suspect
    }

    /// Fewer than half of those named are up: this part may not speak for all.
    pub fn cut_off(&self) -> bool {
        2 * self.up() < self.named()
    }

    /// The part of those named of whom it is settled whether they are up: 1 when nobody is suspected or unheard of.
    pub fn sure(&self) -> f64 {
        f64::from(self.alive + self.down) / f64::from(self.named().max(1))
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
    pub fn new(own: Seen, others: &[SocketAddrV4], now: Time) -> View {
        let mut addresses: Vec<_> = others.iter().copied().filter(|&at| at != own.at).collect();
        addresses.sort_unstable();
        addresses.dedup();
        let mut me = Member::unheard(own.at, now);
        me.see(now, &Seen { standing: Standing::Alive, ..own });
        let others: Vec<Member> = addresses.into_iter().map(|at| Member::unheard(at, now)).collect();
        let tally = Tally { unheard: others.len() as u32, alive: 1, ..Tally::default() };
        View { own: me, others, tally, cut_off: (tally.cut_off(), now) }
    }

    pub(crate) fn place(&self, at: SocketAddrV4) -> Option<usize> {
        self.others.binary_search_by_key(&at, |member| member.at).ok()
    }

    /// Its place, looked for at `near` first: of a thousand members that are read in one order turn after turn, a
    /// search for each was most of a courier's time.
    pub(crate) fn place_near(&self, at: SocketAddrV4, near: usize) -> Option<usize> {
        match self.others.get(near) {
            Some(member) if member.at == at => Some(near),
            _ => self.place(at),
        }
    }

    /// Takes up what the protocol holds of a member. Of whom the configuration does not name, nothing.
    pub fn see(&mut self, now: Time, seen: &Seen) -> News {
        self.place(seen.at).map_or(News::Nothing, |place| self.see_at(now, place, seen))
    }

    /// The same, of the member at this place.
    pub(crate) fn see_at(&mut self, now: Time, place: usize, seen: &Seen) -> News {
        let member = &mut self.others[place];
        let before = member.standing;
        let news = member.see(now, seen);
        let after = member.standing;
        self.moved(now, before, after);
        news
    }

    /// Takes up what another view told of a member, whole.
    pub fn put(&mut self, now: Time, told: &Member) {
        let Some(place) = self.place(told.at) else { return };
        let before = std::mem::replace(&mut self.others[place], *told).standing;
        self.moved(now, before, told.standing);
    }

    /// This courier goes on under a later start: the others had held it to be down.
    pub fn renewed(&mut self, now: Time, start: (u64, u8)) {
        (self.own.start, self.own.since, self.own.up_since) = (start, now, Some(now));
    }

    fn moved(&mut self, now: Time, before: Standing, after: Standing) {
        if before != after {
            *self.tally.of(before) -= 1;
            *self.tally.of(after) += 1;
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
        self.place(at).map(|place| &self.others[place])
    }

    /// Those that are up, this courier among them.
    pub fn up(&self) -> impl Iterator<Item = &Member> {
        std::iter::once(&self.own).chain(self.others.iter().filter(|member| member.standing.is_up()))
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
    pub fn audit<'a>(&self, held: impl Iterator<Item = &'a Seen>) -> Result<(), String> {
        let (mut up, mut suspect, mut down) = (1, 0, 0);
        for seen in held {
            // Not by `place`, which the view itself goes by.
            let Some(member) = self.others.iter().find(|member| member.at == seen.at) else { continue };
            up += u32::from(seen.standing.is_up());
            suspect += u32::from(seen.standing == Standing::Suspect);
            down += u32::from(seen.standing == Standing::Down);
            let known = (member.standing, member.start, member.incarnation);
            if known != (seen.standing, seen.start, seen.incarnation) {
                return Err(format!("{} is held as {seen:?} and known as {known:?}", seen.at));
            }
            if member.up_since.is_some() != seen.standing.is_up() {
                return Err(format!("{} is {:?}, up since {:?}", seen.at, seen.standing, member.up_since));
            }
        }
        let (named, tally) = (1 + self.others.len() as u32, self.tally);
        let counted = Tally { unheard: named - up - down, alive: up - suspect, suspect, down };
        if counted != tally {
            return Err(format!("counted {counted:?}, known {tally:?}"));
        }
        if (named - up > up) != self.cut_off.0 {
            return Err(format!("{up} of {named} are up, and cut off is {}", self.cut_off.0));
        }
        Ok(())
    }
}
