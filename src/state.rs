//! What a courier keeps in mind, as plain types, and the arithmetic of what fades or is saved up. Nothing is
//! decided here.

use crate::control::Standing;
use crate::interface::{Life, Time, SECOND};

/// A count that fades over the window, so that what has gone quiet ages.
#[derive(Clone, Copy, Debug, Default)]
pub struct Fading {
    pub count: f64,
    pub at: Time,
}

impl Fading {
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

/// What is limited and waits on its own: a destination, or an endpoint that is a route apart.
#[derive(Clone, Debug, Default)]
pub struct Unit {
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
    /// This courier's even share, in calls a second, of the limit that is listed or told; 0: not known.
    pub even: f64,
    /// Calls a second that this courier allows itself, and what it has saved up; 0: no pace is kept.
    pub pace: f64,
    pub saved: Saved,
    pub sent: Fading,
    /// What is left of this courier's even share of the limit.
    pub share: Saved,
}

/// Calls saved up at a pace.
#[derive(Clone, Copy, Debug, Default)]
pub struct Saved {
    pub calls: f64,
    pub at: Time,
}

impl Saved {
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
    pub life: Life,
    pub named: bool,
    /// When it left the list.
    pub gone_at: Time,
    pub standing: Standing,
    pub since: Time,
    /// When it was last held to be well.
    pub ill_since: Time,
    pub last_good: Time,
    pub bad_since_good: bool,
    /// The other couriers know that it is down.
    pub told: bool,
    /// Share of errors among its latest answers.
    pub errs: f64,
    pub trial_at: Time,
    pub trials: u32,
    pub ramp: Saved,
    pub out: usize,
    pub late: usize,
    pub latency: Latency,
}

#[derive(Clone, Debug, Default)]
pub struct Dest {
    pub endpoints: Vec<usize>,
    /// Parked mails: first connects, and further ones in a line of their own.
    pub lines: [Vec<usize>; 2],
    pub out: usize,
    pub arrivals: Fading,
    /// Arrivals over the time that a destination takes to warm up.
    pub steady: Fading,
    pub grown: usize,
    /// This courier's even share, in calls a second, of the limits of its ready endpoints.
    pub even: f64,
    pub latency: Latency,
}

impl Endpoint {
    /// The same as one that is known since now.
    pub fn from(self, now: Time) -> Endpoint {
        Endpoint { last_good: now, since: now, ramp: Saved { calls: 0.0, at: now }, ..self }
    }
}

impl Dest {
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
