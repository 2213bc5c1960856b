//! Deciders for comparison that use common techniques instead of this project's design. They share the
//! bookkeeping and keep the rules on effects, waits, drains and order; none of them limits the load on a
//! returning destination. `InjectedFault` breaks one rule on purpose, to show that the judge detects it.

use std::collections::VecDeque;

use meadowhold::interface::{
    AcceptedMail, Action, ConnectResult, Effect, EndpointStatus, Input, Outcome, Settings, Time, SECOND,
};

use crate::chance::{Purpose, Stream};
use crate::decider::{Decider, WorldView};
use crate::slots::{entry_mut, may_retry, CallSlots};

/// How a baseline limits calls and retries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Style {
    /// One connect for each mail, to a random endpoint.
    OneTry,
    /// One pool of slots for all destinations, in order of arrival, with immediate retries.
    SharedPool,
    /// A quarter of the slots for each destination, whatever its state.
    FixedCap,
    /// A limit for each destination that grows by one a round trip, and falls with latency or failure.
    Gradient,
    /// An endpoint that fails five times in a row is not used for a while; retries are limited to a fifth of
    /// first tries.
    Ejection,
}

impl Style {
    pub const ALL: [(&'static str, Style); 5] = [
        ("one-try", Style::OneTry),
        ("shared-pool", Style::SharedPool),
        ("fixed-cap", Style::FixedCap),
        ("gradient", Style::Gradient),
        ("ejection", Style::Ejection),
    ];
}

/// A fault that breaks one rule on purpose.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum InjectedFault {
    #[default]
    Nothing,
    /// One mail in seven is accepted and forgotten.
    Loses,
    /// Once-only mails are retried like all others.
    Repeats,
    IgnoresDrains,
    /// All waiting mails are sent at once, whatever the outcome of earlier ones.
    Floods,
    IgnoresOrder,
    IgnoresWaits,
}

const EJECT_AFTER: u32 = 5;
const EJECT_FOR: Time = 5 * SECOND;
const RETRY_SHARE: f64 = 0.2;
/// A gradient limit stops growing once latency exceeds the best seen by this factor.
const SLOW_MULTIPLE: f64 = 4.0;
const SHRINK: f64 = 0.8;

#[derive(Clone, Default)]
struct MailState {
    destination: usize,
    class: usize,
    key: Option<usize>,
    due: Time,
    connects: usize,
    sent: Time,
    endpoint: usize,
    call: usize,
    ran: Option<(Time, usize)>,
    out: bool,
    over: bool,
    used: bool,
}

#[derive(Clone, Default)]
struct Endpoint {
    known: bool,
    destination: usize,
    scope: usize,
    zone: usize,
    batch: usize,
    ready: bool,
    named: bool,
    fails: u32,
    ejections: u32,
    ejected_until: Time,
    out: usize,
}

#[derive(Clone, Default)]
struct Destination {
    endpoints: Vec<usize>,
    out: usize,
    limit: f64,
    best: f64,
}

pub struct Baseline {
    settings: Settings,
    style: Style,
    wrong: InjectedFault,
    chance: Stream,
    mails: Vec<MailState>,
    endpoints: Vec<Endpoint>,
    destinations: Vec<Destination>,
    wait_until: Vec<Time>,
    key_queues: Vec<(VecDeque<usize>, Time)>,
    parked: VecDeque<usize>,
    slots: CallSlots,
    budget: f64,
    poll_at: Option<Time>,
}

impl Baseline {
    pub fn new(settings: Settings, style: Style, wrong: InjectedFault) -> Baseline {
        Baseline {
            chance: Stream::new(settings.seed, Purpose::Decider, 1),
            poll_at: settings.poll_list.then_some(0),
            style,
            wrong,
            mails: Vec::new(),
            endpoints: Vec::new(),
            destinations: Vec::new(),
            wait_until: Vec::new(),
            key_queues: Vec::new(),
            parked: VecDeque::new(),
            slots: CallSlots::default(),
            budget: 1.0,
            settings,
        }
    }

    fn handle_input(&mut self, now: Time, input: &Input, out: &mut Vec<Action>) {
        match input {
            Input::ListBegin { complete: whole } => {
                self.endpoints.iter_mut().filter(|_| *whole).for_each(|e| e.named = false)
            }
            Input::ListEntry(entry) => {
                let (apart, batch) = (
                    self.settings.kinds[entry.kind].per_endpoint_limits,
                    self.settings.kinds[entry.kind].max_batch,
                );
                let destination = entry_mut(&mut self.destinations, entry.destination);
                destination.limit = if destination.limit > 0.0 { destination.limit } else { 4.0 };
                let e = entry_mut(&mut self.endpoints, entry.endpoint);
                if !e.known {
                    destination.endpoints.push(entry.endpoint);
                }
                (e.known, e.named, e.destination, e.zone) = (true, true, entry.destination, entry.zone);
                e.batch = batch;
                e.ready = entry.status == EndpointStatus::Ready;
                e.scope = if apart { 2 * entry.endpoint + 1 } else { 2 * entry.destination };
                let scope = e.scope;
                entry_mut(&mut self.wait_until, scope);
            }
            Input::ListEnd => self.endpoints.iter_mut().filter(|e| !e.named).for_each(|e| e.ready = false),
            Input::ListFailed => self.poll_at = Some(now + self.settings.max_poll_delay / 8),
            Input::AcceptedMail(taken) => self.take(taken),
            Input::KeyInFlight { key, at: since } => {
                let rest = &mut entry_mut(&mut self.key_queues, *key).1;
                *rest = (*rest).max(since + self.settings.ordering_gap);
            }
            Input::ClientGone { mail } => self.close(*mail, out),
            Input::ConnectResult(ended) => self.handle_result(now, ended, out),
            // The emulator's endpoints do not say that a mail is over.
            Input::NoMoreConnects { .. } => {}
            Input::PeerNote { .. } | Input::Settings(_) | Input::Shutdown(_) | Input::Wakeup => {}
        }
    }

    fn take(&mut self, taken: &AcceptedMail) {
        let AcceptedMail {
            mail,
            destination,
            class,
            key,
            deadline: due,
            connects_used: connects,
            first_run: ran,
            ..
        } = *taken;
        let new =
            MailState { destination, class, key, due, connects, ran, used: true, ..MailState::default() };
        *entry_mut(&mut self.mails, mail) = new;
        if let Some(key) = key {
            entry_mut(&mut self.key_queues, key).0.push_back(mail);
        }
        entry_mut(&mut self.destinations, destination);
        self.budget += RETRY_SHARE;
        if self.wrong != InjectedFault::Loses || mail % 7 != 0 {
            self.parked.push_back(mail);
        }
    }

    fn may_retry(&self, now: Time, m: &MailState) -> (bool, bool) {
        let left = m.connects < self.settings.max_connects && now < m.due;
        match may_retry(&self.settings, now, m.class, m.ran) {
            _ if self.wrong == InjectedFault::Repeats => (left, true),
            (again, deferrable) => (left && again, deferrable),
        }
    }

    fn close(&mut self, mail: usize, out: &mut Vec<Action>) {
        let m = &mut self.mails[mail];
        if !m.used {
            return;
        }
        m.over = true;
        if m.out {
            return;
        }
        m.used = false;
        if let Some(key) = m.key {
            self.key_queues[key].0.retain(|&queued| queued != mail);
        }
        self.parked.retain(|&parked| parked != mail);
        out.push(Action::FreeMail(mail));
    }

    fn give_up(&mut self, now: Time, mail: usize, out: &mut Vec<Action>) {
        let (_, deferrable) = self.may_retry(now, &self.mails[mail]);
        out.push(if deferrable { Action::Defer { mail, retry_after: 0 } } else { Action::Bounce { mail } });
        self.close(mail, out);
    }

    fn handle_result(&mut self, now: Time, ended: &ConnectResult, out: &mut Vec<Action>) {
        let ConnectResult { mail, outcome, finished: over, retry_after: wait, duration: took, .. } = *ended;
        let m = &mut self.mails[mail];
        if !m.out {
            return;
        }
        m.out = false;
        let (endpoint, destination) = (m.endpoint, m.destination);
        let ended = usize::from(self.slots.finish_connect(m.call));
        let e = &mut self.endpoints[endpoint];
        e.out -= ended;
        self.destinations[destination].out -= ended;
        self.wait_until[e.scope] = self.wait_until[e.scope].max(now + wait);
        if !outcome.never_ran() {
            m.ran = m.ran.or(Some((m.sent, e.zone)));
        }
        if let Some(key) = m.key.filter(|_| outcome.may_still_run()) {
            self.key_queues[key].1 = self.key_queues[key].1.max(now + self.settings.ordering_gap);
        }
        self.update_limits(now, endpoint, destination, outcome, took);
        let (again, _) = self.may_retry(now, &self.mails[mail]);
        let budgeted = self.style != Style::Ejection || self.budget >= 1.0 || outcome == Outcome::Refused;
        let unsent = outcome == Outcome::Unsent;
        if over || self.mails[mail].over {
            self.close(mail, out);
        } else if again && (unsent || (self.style != Style::OneTry && budgeted)) {
            self.budget -= if unsent || outcome == Outcome::Refused { 0.0 } else { 1.0 };
            self.parked.push_front(mail);
        } else {
            self.give_up(now, mail, out);
        }
    }

    fn update_limits(
        &mut self,
        now: Time,
        endpoint: usize,
        destination: usize,
        outcome: Outcome,
        took: Time,
    ) {
        let (e, d) = (&mut self.endpoints[endpoint], &mut self.destinations[destination]);
        let well = outcome == Outcome::Relayed;
        let neutral = matches!(outcome, Outcome::Unsent | Outcome::CalledOff | Outcome::Spoilt);
        if well {
            (e.fails, e.ejections) = (0, e.ejections.saturating_sub(1));
            let took = took as f64;
            d.best = if d.best > 0.0 { d.best.min(took) * 1.001 } else { took };
            d.limit = if took > SLOW_MULTIPLE * d.best { d.limit } else { d.limit + 1.0 / d.limit };
        } else if !neutral {
            e.fails += 1;
            d.limit *= SHRINK;
            if self.style == Style::Ejection && e.fails >= EJECT_AFTER {
                (e.fails, e.ejections) = (0, (e.ejections + 1).min(6));
                e.ejected_until = now + EJECT_FOR * Time::from(e.ejections);
            }
        }
        d.limit = d.limit.clamp(1.0, self.settings.slots as f64);
    }

    fn cap(&self, destination: usize) -> usize {
        match self.style {
            Style::OneTry | Style::SharedPool | Style::Ejection => self.settings.slots,
            Style::FixedCap => (self.settings.slots / 4).max(1),
            Style::Gradient => self.destinations[destination].limit as usize,
        }
    }

    fn pick(&mut self, now: Time, mail: usize) -> Option<usize> {
        let m = &self.mails[mail];
        let by_zone = self.settings.classes[m.class].dedup_by_zone;
        let (wrong, style, ran) = (self.wrong, self.style, m.ran);
        let fits = |&&e: &&usize| {
            let end = &self.endpoints[e];
            (end.ready || wrong == InjectedFault::IgnoresDrains)
                && (now >= self.wait_until[end.scope] || wrong == InjectedFault::IgnoresWaits)
                && now >= end.ejected_until
                && ran.is_none_or(|(_, zone)| !by_zone || zone == end.zone)
        };
        let endpoints = &self.destinations[m.destination].endpoints;
        let count = endpoints.iter().filter(fits).count();
        if count == 0 {
            return None;
        }
        let draw = |chance: &mut Stream| endpoints.iter().filter(fits).nth(chance.below(count)).copied();
        let (first, second) = (draw(&mut self.chance), draw(&mut self.chance));
        let two = style != Style::OneTry;
        let other =
            second.filter(|&s| two && first.is_some_and(|f| self.endpoints[s].out < self.endpoints[f].out));
        other.or(first)
    }

    fn dispatch(&mut self, now: Time, out: &mut Vec<Action>) {
        let slots = if self.wrong == InjectedFault::Floods { usize::MAX } else { self.settings.slots };
        self.slots.next_turn();
        let mut later = VecDeque::new();
        while let Some(mail) = self.parked.pop_front() {
            let m = &self.mails[mail];
            let in_order = m.key.is_none_or(|key| {
                let (line, rest) = &self.key_queues[key];
                line.front() == Some(&mail) && (m.connects > 0 || now >= *rest)
            });
            let in_order = in_order || self.wrong == InjectedFault::IgnoresOrder;
            let full = self.destinations[m.destination].out >= self.cap(m.destination)
                && self.wrong != InjectedFault::Floods;
            let endpoint = if in_order && !full { self.pick(now, mail) } else { None };
            let room = |&e: &usize| self.slots.has_room(e, self.endpoints[e].batch, slots);
            let endpoint = endpoint.filter(room);
            let Some(endpoint) = endpoint else {
                later.push_back(mail);
                continue;
            };
            let m = &mut self.mails[mail];
            let left = m.due.saturating_sub(now).max(1);
            let class = &self.settings.classes[m.class];
            let patience =
                if class.effect == Effect::OnceOnly { left } else { (2 * class.target_delay).min(left) };
            (m.out, m.sent, m.endpoint) = (true, now, endpoint);
            m.connects += 1;
            let before = self.slots.out();
            m.call = self.slots.take(endpoint, self.endpoints[endpoint].batch);
            let begun = self.slots.out() - before;
            self.endpoints[endpoint].out += begun;
            self.destinations[m.destination].out += begun;
            out.push(Action::Connect { mail, endpoint, timeout: patience, new_connection: false });
        }
        self.parked = later;
    }
}

impl Decider for Baseline {
    fn step(
        &mut self,
        now: Time,
        inputs: &[Input],
        out: &mut Vec<Action>,
        _: &dyn WorldView,
    ) -> Option<Time> {
        inputs.iter().for_each(|input| self.handle_input(now, input, out));
        out.extend(self.poll_at.take_if(|at| *at <= now).map(|_| Action::RequestList));
        let margin = 3 * self.settings.timer_resolution;
        let expired: Vec<usize> = self
            .parked
            .iter()
            .copied()
            .filter(|&mail| now + margin >= self.mails[mail].due || !self.may_retry(now, &self.mails[mail]).0)
            .collect();
        expired.into_iter().for_each(|mail| self.give_up(now, mail, out));
        self.dispatch(now, out);
        let busy = self.slots.out() > 0 || !self.parked.is_empty();
        busy.then_some(now + 2 * self.settings.timer_resolution).into_iter().chain(self.poll_at).min()
    }

    fn may_call(&self, endpoint: usize, now: Time) -> bool {
        let e = &self.endpoints[endpoint];
        (e.ready || self.wrong == InjectedFault::IgnoresDrains)
            && (now >= self.wait_until[e.scope] || self.wrong == InjectedFault::IgnoresWaits)
    }
}
