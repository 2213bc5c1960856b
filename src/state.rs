//! What a courier keeps in mind, as plain types, and the arithmetic of what fades or is saved up. Nothing is
//! decided here.

use std::ops::{Deref, DerefMut, Index, IndexMut};

use smallvec::SmallVec;

use crate::control::Health;
use crate::interface::{EndpointStatus, Time, SECOND};

/// A count that fades over the window, so that what has gone quiet ages.
#[derive(Clone, Copy, Debug, Default)]
pub struct Fading {
    pub count: f64,
    pub at: Time,
}

impl Fading {
    const NONE: Fading = Fading { count: 0.0, at: 0 };

    pub fn count(&mut self, now: Time, window: Time) {
        self.add(now, window, 1.0);
    }

    pub fn add(&mut self, now: Time, window: Time, much: f64) {
        (self.count, self.at) = (self.rate(now, window) * seconds(window) + much, now);
    }

    pub fn rate(&self, now: Time, window: Time) -> f64 {
        let age = (now - self.at) as f64 / window as f64;
        self.count * (-age).exp() / seconds(window)
    }
}

/// Latency of served calls: mean and mean deviation.
#[derive(Clone, Copy, Debug, Default)]
pub struct Latency {
    pub mean: f64,
    pub deviation: f64,
    pub seen: bool,
}

impl Latency {
    const NONE: Latency = Latency { mean: 0.0, deviation: 0.0, seen: false };

    /// `newest`: weight of this call.
    pub fn learn(&mut self, took: f64, newest: f64) {
        if !self.seen {
            *self = Latency { mean: took, deviation: took / 2.0, seen: true };
        }
        self.deviation += newest * ((took - self.mean).abs() - self.deviation);
        self.mean += newest * (took - self.mean);
    }

    pub fn tail(&self, deviations: f64) -> f64 {
        self.mean + deviations * self.deviation
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Place {
    #[default]
    Free,
    Parked,
    Out,
    /// Answered, with a connect whose outcome is still to come.
    Over,
}

#[derive(Clone, Debug, Default)]
pub struct Mail {
    pub place: Place,
    pub dest: usize,
    pub class: usize,
    pub key: Option<usize>,
    pub target: Time,
    pub due: Time,
    pub connects: usize,
    pub call: usize,
    /// Send of the first connect that may have run, and the zone that it went to.
    pub ran: Option<(Time, usize)>,
}

#[derive(Clone, Debug, Default)]
pub struct Call {
    pub endpoint: usize,
    pub started: Time,
    /// Mails without an outcome; 0: the place is free.
    pub left: usize,
    pub late: bool,
}

/// What is limited and waits on its own: a destination, or an endpoint that is a route apart. What only calls teach is
/// made when it is first written to, here and below: a courier never calls most of a long list.
#[derive(Clone, Debug, Default)]
pub struct Unit {
    /// This courier's even share, in calls a second, of the limit that is listed or told; 0: not known.
    pub even: f64,
    /// Calls a second that this courier allows itself; 0: no pace is kept.
    pub pace: f64,
    /// What is left of this courier's even share of the limit.
    pub share: Saved,
    called: Option<Box<CalledUnit>>,
}

#[derive(Clone, Debug, Default)]
pub struct CalledUnit {
    /// Nothing is sent before this time: a told wait, or a back-off of our own.
    pub hold_until: Time,
    /// Until then only what is worth most goes, after a refusal.
    pub ease_until: Time,
    /// Refusals since the last served call, and when they began.
    pub refused: u32,
    pub refused_since: Time,
    /// When the last of them came: a call that began before says nothing new.
    pub refused_at: Time,
    /// Notes that it is full, fading.
    pub full: Fading,
    /// What was saved up at the pace.
    pub saved: Saved,
    pub sent: Fading,
}

/// Reads as `$fresh` until it is written to.
macro_rules! made_when_written {
    ($whole:ty, $called:ty, $fresh:expr) => {
        impl Deref for $whole {
            type Target = $called;

            fn deref(&self) -> &$called {
                static FRESH: $called = $fresh;
                self.called.as_deref().unwrap_or(&FRESH)
            }
        }

        impl DerefMut for $whole {
            fn deref_mut(&mut self) -> &mut $called {
                self.called.get_or_insert_default()
            }
        }
    };
}

made_when_written!(
    Unit,
    CalledUnit,
    CalledUnit {
        hold_until: 0,
        ease_until: 0,
        refused: 0,
        refused_since: 0,
        refused_at: 0,
        full: Fading::NONE,
        saved: Saved::NONE,
        sent: Fading::NONE,
    }
);

/// Units by number: the even ones are destinations', the odd ones routes'. A list of their own for each: most couriers
/// have one sort, and the other's numbers would take room for nothing.
#[derive(Clone, Debug, Default)]
pub struct Units([Vec<Unit>; 2]);

impl Units {
    /// The number of a destination's unit, or of that of a route apart.
    pub fn number(dest: usize, route: Option<usize>) -> usize {
        route.map_or(2 * dest, |endpoint| 2 * endpoint + 1)
    }

    pub fn is_route(unit: usize) -> bool {
        unit % 2 == 1
    }

    pub fn grow(&mut self, unit: usize) {
        grow(&mut self.0[unit % 2], unit / 2);
    }

    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Unit> {
        self.0.iter_mut().flatten()
    }
}

/// One that was never made reads as new.
impl Index<usize> for Units {
    type Output = Unit;

    fn index(&self, unit: usize) -> &Unit {
        static NEW: Unit = Unit { even: 0.0, pace: 0.0, share: Saved::NONE, called: None };
        self.0[unit % 2].get(unit / 2).unwrap_or(&NEW)
    }
}

impl IndexMut<usize> for Units {
    fn index_mut(&mut self, unit: usize) -> &mut Unit {
        self.grow(unit);
        &mut self.0[unit % 2][unit / 2]
    }
}

/// Calls saved up at a pace.
#[derive(Clone, Copy, Debug, Default)]
pub struct Saved {
    pub calls: f64,
    pub at: Time,
}

impl Saved {
    const NONE: Saved = Saved { calls: 0.0, at: 0 };

    /// Saves up to `depth` calls, one at least; whether a call may go.
    pub fn refill(&mut self, now: Time, pace: f64, depth: f64) -> bool {
        self.add(now, pace * (now - self.at) as f64 / SECOND as f64, depth)
    }

    /// The same with what was gained since the last time.
    pub fn add(&mut self, now: Time, gained: f64, depth: f64) -> bool {
        (self.calls, self.at) = ((self.calls + gained).min(depth.max(1.0)), now);
        self.calls >= 1.0
    }
}

#[derive(Clone, Debug, Default)]
pub struct Endpoint {
    pub known: bool,
    pub dest: usize,
    pub unit: usize,
    pub zone: usize,
    pub kind: usize,
    pub life: EndpointStatus,
    pub named: bool,
    /// When it left the list.
    pub gone_at: Time,
    pub standing: Health,
    pub since: Time,
    pub last_good: Time,
    pub ramp: Saved,
    pub called: Option<Box<CalledEndpoint>>,
}

#[derive(Clone, Debug, Default)]
pub struct CalledEndpoint {
    /// When it was last held to be well.
    pub ill_since: Time,
    pub bad_since_good: bool,
    /// The other couriers know that it is down.
    pub told: bool,
    /// Share of errors among its latest answers.
    pub errs: f64,
    pub trial_at: Time,
    pub trials: u32,
    pub out: usize,
    pub late: usize,
    pub latency: Latency,
}

made_when_written!(
    Endpoint,
    CalledEndpoint,
    CalledEndpoint {
        ill_since: 0,
        bad_since_good: false,
        told: false,
        errs: 0.0,
        trial_at: 0,
        trials: 0,
        out: 0,
        late: 0,
        latency: Latency::NONE,
    }
);

#[derive(Clone, Debug, Default)]
pub struct Dest {
    /// Two of them take no room of their own.
    pub endpoints: SmallVec<[usize; 2]>,
    /// This courier's even share, in calls a second, of the limits of its ready endpoints.
    pub even: f64,
    called: Option<Box<CalledDest>>,
}

#[derive(Clone, Debug, Default)]
pub struct CalledDest {
    /// Parked mails: first connects, and further ones in a line of their own.
    pub lines: [Vec<usize>; 2],
    pub out: usize,
    pub arrivals: Fading,
    /// Arrivals over the time that a destination takes to warm up.
    pub steady: Fading,
    pub grown: usize,
    pub latency: Latency,
}

impl Endpoint {
    /// The same as one that is known since now.
    pub fn from(self, now: Time) -> Endpoint {
        Endpoint { last_good: now, since: now, ramp: Saved { calls: 0.0, at: now }, ..self }
    }
}

made_when_written!(
    Dest,
    CalledDest,
    CalledDest {
        lines: [Vec::new(), Vec::new()],
        out: 0,
        arrivals: Fading::NONE,
        steady: Fading::NONE,
        grown: 0,
        latency: Latency::NONE,
    }
);

impl CalledDest {
    /// Parked mails of both lines.
    pub fn waiting(&self) -> usize {
        self.lines[0].len() + self.lines[1].len()
    }
}

#[derive(Clone, Debug, Default)]
pub struct Key {
    pub line: Vec<usize>,
    pub rest_until: Time,
}

pub fn seconds(time: Time) -> f64 {
    time as f64 / SECOND as f64
}

pub fn grow<T: Default>(list: &mut Vec<T>, index: usize) -> &mut T {
    if index >= list.len() {
        list.resize_with(index + 1, T::default);
    }
    &mut list[index]
}

/// Whether a mail is in one of these places.
pub fn is_at(mails: &[Mail], mail: usize, places: [Place; 2]) -> bool {
    mails.get(mail).is_some_and(|m| places.contains(&m.place))
}

/// The indices of parked mails.
pub fn parked(mails: &[Mail]) -> impl Iterator<Item = usize> + '_ {
    (0..mails.len()).filter(|&i| mails[i].place == Place::Parked)
}

/// Sums this courier's even share of each destination's limits: its own, or those of its routes apart.
pub fn sum_shares(dests: &mut [Dest], endpoints: &[Endpoint], units: &Units) {
    dests.iter_mut().for_each(|d| d.even = 0.0);
    for e in endpoints.iter().filter(|e| e.known && e.life == EndpointStatus::Ready) {
        let (d, even) = (&mut dests[e.dest], units[e.unit].even);
        d.even = if Units::is_route(e.unit) { d.even + even } else { even };
    }
}
