//! Draws a day's mails and troubles, with the targets of each, from a seed. Uses no clock and no I/O: the same day and
//! seed give the same schedule.

use fastrand::Rng;

use crate::day::{Day, Sent, Trouble, What};

/// The queue classes of a day, in the order in which the settings list them.
pub const CLASSES: [Class; 4] = [Class::Again, Class::Tagged, Class::Once, Class::Turns];

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    Again,
    Tagged,
    Once,
    Turns,
}

impl Class {
    pub fn name(self) -> &'static str {
        match self {
            Class::Again => "again",
            Class::Tagged => "tagged",
            Class::Once => "once",
            Class::Turns => "turns",
        }
    }
}

/// A mail that a client will hand in.
#[derive(Clone, Debug, PartialEq)]
pub struct Mail {
    /// Microseconds from the start of the day.
    pub at: u64,
    pub courier: usize,
    pub client: usize,
    pub class: Class,
    /// The ordering key; 0 for queue classes that keep no order.
    pub key: u64,
    pub destination: usize,
    /// Lifetime in milliseconds.
    pub time: u64,
}

/// A trouble as drawn; times are in microseconds from the start of the day.
#[derive(Clone, Debug, PartialEq)]
pub struct DrawnTrouble {
    pub what: What,
    pub at: u64,
    pub until: u64,
    pub which: Vec<usize>,
    /// Its index in the file, to look up its other settings.
    pub index: usize,
    /// For each start that is killed, the milliseconds until the kill.
    pub cuts: Vec<u64>,
    /// The signals, each with the delay before it in milliseconds.
    pub signals: Vec<(Sent, u64)>,
    pub behind_taken: bool,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Schedule {
    /// Ordered by time.
    pub mails: Vec<Mail>,
    pub troubles: Vec<DrawnTrouble>,
}

/// A start is killed within this time; the journal is read during it.
const MAX_START_CUT_MS: u64 = 60;

impl Schedule {
    pub fn draw(day: &Day, seed: u64) -> Schedule {
        // Separate random streams, so that adding a trouble does not change the load.
        let mut load = Rng::with_seed(seed ^ 0x6d61_696c);
        let mut chance = Rng::with_seed(seed ^ 0x7472_6f75);
        Schedule {
            mails: mails(day, &mut load),
            troubles: day
                .trouble
                .iter()
                .enumerate()
                .filter_map(|(i, t)| draw_trouble(day, i, t, &mut chance))
                .collect(),
        }
    }
}

fn mails(day: &Day, chance: &mut Rng) -> Vec<Mail> {
    let m = &day.mails;
    let parts = [m.again, m.tagged, m.once, m.turns];
    let whole: f64 = parts.iter().sum();
    let (mut mails, mut at) = (Vec::new(), 0.0);
    loop {
        // Arrivals form a Poisson process, because clients are independent of each other.
        at -= (1.0 - chance.f64()).ln() / m.rate;
        if at >= day.seconds {
            return mails;
        }
        let mut left = chance.f64() * whole;
        let class = parts.iter().position(|part| {
            left -= part;
            left < 0.0
        });
        let class = CLASSES[class.unwrap_or(0)];
        let (courier, client) = (chance.usize(..day.couriers), chance.usize(..m.clients));
        // Each key belongs to one client, which hands in its mails one after the other.
        let key = 1 + chance.u64(..m.keys) + m.keys * (courier * m.clients + client) as u64;
        // All mails of a key have the same destination, as mails about one item do.
        let drawn = chance.usize(..day.endpoints.destinations);
        let ordered = class == Class::Turns;
        mails.push(Mail {
            at: (at * 1e6) as u64,
            courier,
            client,
            class,
            key: if ordered { key } else { 0 },
            destination: if ordered { key as usize % day.endpoints.destinations } else { drawn },
            time: chance.u64(m.time_ms[0]..=m.time_ms[1]),
        });
    }
}

fn draw_trouble(day: &Day, index: usize, trouble: &Trouble, chance: &mut Rng) -> Option<DrawnTrouble> {
    let what = trouble.what?;
    let [from, to] = trouble.at_s;
    let at = from + (to - from) * chance.f64();
    let mut which = trouble.which.clone();
    if which.is_empty() {
        let mut all: Vec<usize> = (0..day.target_count(what)).collect();
        chance.shuffle(&mut all);
        all.truncate((trouble.part * all.len() as f64).round() as usize);
        which = all;
        which.sort_unstable();
    }
    let cuts = (0..trouble.times).map(|_| chance.u64(1..=MAX_START_CUT_MS)).collect();
    let us = |seconds: f64| (seconds * 1e6) as u64;
    let signals = trouble.signals.iter().copied().zip(trouble.gaps_ms.iter().copied()).collect();
    let (until, behind_taken) = (us(at + trouble.for_s), trouble.behind_taken);
    Some(DrawnTrouble { what, at: us(at), until, which, index, cuts, signals, behind_taken })
}

#[cfg(test)]
mod tests {
    use super::*;

    fn day() -> Day {
        let text = "couriers = 20\n[[trouble]]\nwhat = \"kill\"\npart = 0.7\n[[trouble]]\nwhat = \"kill-in-start\"\n";
        Day::read(text).unwrap()
    }

    #[test]
    fn one_seed_draws_one_schedule_and_another_seed_another() {
        let (a, b, c) = (Schedule::draw(&day(), 7), Schedule::draw(&day(), 7), Schedule::draw(&day(), 8));
        assert_eq!(a, b);
        assert_ne!(a.mails, c.mails);
        assert_ne!(a.troubles, c.troubles);
        assert_eq!((a.troubles[0].which.len(), a.troubles[1].which.len()), (14, 20));
    }

    #[test]
    fn another_trouble_does_not_change_the_load() {
        let mut other = day();
        other.trouble.pop();
        assert_eq!(Schedule::draw(&day(), 7).mails, Schedule::draw(&other, 7).mails);
    }

    #[test]
    fn the_load_matches_the_file() {
        let mut day = day();
        (day.seconds, day.mails.rate) = (100.0, 200.0);
        let mails = Schedule::draw(&day, 3).mails;
        // 20,000 mails are expected, with a standard deviation of 141.
        assert!((19_300..20_700).contains(&mails.len()), "{}", mails.len());
        let once = mails.iter().filter(|mail| mail.class == Class::Once).count() as f64 / mails.len() as f64;
        assert!((0.18..0.22).contains(&once), "{once}");
        assert!(mails.iter().all(|mail| (mail.key > 0) == (mail.class == Class::Turns)));
    }
}
