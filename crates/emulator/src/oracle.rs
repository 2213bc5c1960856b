//! An upper bound for comparison: a decider that sees the true state of all endpoints, sends no call that is
//! certain to fail, and sends first what earns most for its slot time. No courier has this knowledge; its
//! calls fail only by chance.

use meadowhold::interface::{AcceptedMail, Action, Effect, EndpointStatus, Input, Settings, Time};

use crate::decider::{Decider, WorldView};
use crate::slots::{entry_mut, may_retry, CallSlots};

/// A once-only mail waits until its chance of success is above this.
const MIN_ONCE_ONLY_CHANCE: f64 = 0.9;

/// A call times out after this multiple of its expected duration.
const TIMEOUT_MULTIPLE: f64 = 6.0;

#[derive(Clone, Default)]
struct MailState {
    taken: AcceptedMail,
    out: bool,
    call: usize,
    over: bool,
    used: bool,
}

#[derive(Clone, Default)]
struct Endpoint {
    known: bool,
    zone: usize,
    batch: usize,
    scope: usize,
    ready: bool,
    named: bool,
}

pub struct Oracle {
    settings: Settings,
    courier: usize,
    mails: Vec<MailState>,
    sent: Vec<Time>,
    zone: Vec<usize>,
    scope: Vec<usize>,
    endpoints: Vec<Endpoint>,
    destinations: Vec<Vec<usize>>,
    wait_until: Vec<Time>,
    parked: Vec<usize>,
    /// Mails of each key in the order of acceptance, and the time until which new connects of the key must
    /// wait.
    key_queues: Vec<(Vec<usize>, Time)>,
    order: Vec<(f64, usize)>,
    slots: CallSlots,
    list_requested: bool,
}

impl Oracle {
    /// `courier` is the courier it decides for; what it sees of the endpoints depends on that courier's zone.
    pub fn new(settings: Settings, courier: usize) -> Oracle {
        Oracle {
            list_requested: !settings.poll_list,
            settings,
            courier,
            mails: Vec::new(),
            sent: Vec::new(),
            zone: Vec::new(),
            scope: Vec::new(),
            endpoints: Vec::new(),
            destinations: Vec::new(),
            wait_until: Vec::new(),
            parked: Vec::new(),
            key_queues: Vec::new(),
            order: Vec::new(),
            slots: CallSlots::default(),
        }
    }

    fn may_retry(&self, now: Time, t: &AcceptedMail) -> (bool, bool) {
        let left = t.connects_used < self.settings.max_connects && now < t.deadline;
        let (again, deferrable) = may_retry(&self.settings, now, t.class, t.first_run);
        (left && again, deferrable)
    }

    fn close(&mut self, mail: usize, out: &mut Vec<Action>) {
        let m = &mut self.mails[mail];
        if !m.used {
            return;
        }
        m.over = true;
        if !m.out {
            m.used = false;
            if let Some(key) = m.taken.key {
                self.key_queues[key].0.retain(|&queued| queued != mail);
            }
            self.parked.retain(|&p| p != mail);
            out.push(Action::FreeMail(mail));
        }
    }

    fn give_up(&mut self, now: Time, mail: usize, out: &mut Vec<Action>) {
        let (_, deferrable) = self.may_retry(now, &self.mails[mail].taken);
        out.push(if deferrable { Action::Defer { mail, retry_after: 0 } } else { Action::Bounce { mail } });
        self.close(mail, out);
    }

    fn handle_input(&mut self, now: Time, input: &Input, out: &mut Vec<Action>) {
        match input {
            Input::ListBegin { complete: whole } => {
                self.endpoints.iter_mut().filter(|_| *whole).for_each(|e| e.named = false)
            }
            Input::ListEntry(l) => {
                let kind = &self.settings.kinds[l.kind];
                let e = entry_mut(&mut self.endpoints, l.endpoint);
                if !e.known {
                    entry_mut(&mut self.destinations, l.destination).push(l.endpoint);
                }
                let scope = if kind.per_endpoint_limits { 2 * l.endpoint + 1 } else { 2 * l.destination };
                let ready = l.status == EndpointStatus::Ready;
                let batch = kind.max_batch;
                *e = Endpoint { known: true, zone: l.zone, batch, scope, ready, named: true };
                entry_mut(&mut self.wait_until, scope);
            }
            Input::ListEnd => self.endpoints.iter_mut().filter(|e| !e.named).for_each(|e| e.ready = false),
            Input::ListFailed => self.list_requested = false,
            Input::AcceptedMail(taken) => {
                let mail = taken.mail;
                *entry_mut(&mut self.mails, mail) =
                    MailState { taken: taken.clone(), used: true, ..MailState::default() };
                entry_mut(&mut self.sent, mail);
                entry_mut(&mut self.zone, mail);
                entry_mut(&mut self.scope, mail);
                entry_mut(&mut self.destinations, taken.destination);
                if let Some(key) = taken.key {
                    entry_mut(&mut self.key_queues, key).0.push(mail);
                }
                self.parked.push(mail);
            }
            Input::ClientGone { mail } => self.close(*mail, out),
            Input::ConnectResult(ended) => {
                let m = &mut self.mails[ended.mail];
                if !m.out {
                    return;
                }
                m.out = false;
                self.slots.finish_connect(m.call);
                let scope = self.scope[ended.mail];
                self.wait_until[scope] = self.wait_until[scope].max(now + ended.retry_after);
                if !ended.outcome.never_ran() {
                    let first = (self.sent[ended.mail], self.zone[ended.mail]);
                    m.taken.first_run = m.taken.first_run.or(Some(first));
                }
                let may_run_on = ended.outcome.may_still_run();
                if let Some(key) = m.taken.key.filter(|_| may_run_on) {
                    self.key_queues[key].1 = self.key_queues[key].1.max(now + self.settings.ordering_gap);
                }
                if ended.finished || m.over {
                    self.close(ended.mail, out);
                } else if self.may_retry(now, &self.mails[ended.mail].taken).0 {
                    self.parked.push(ended.mail);
                } else {
                    self.give_up(now, ended.mail, out);
                }
            }
            Input::KeyInFlight { key, at: since } => {
                let rest = &mut entry_mut(&mut self.key_queues, *key).1;
                *rest = (*rest).max(since + self.settings.ordering_gap);
            }
            // The emulator's endpoints do not say that a mail is over.
            Input::NoMoreConnects { .. } => {}
            Input::PeerNote { .. } | Input::Settings(_) | Input::Shutdown(_) | Input::Wakeup => {}
        }
    }

    /// What a mail earns if it is answered at this time.
    fn worth(&self, mail: usize, at: Time) -> f64 {
        let t = &self.mails[mail].taken;
        let c = &self.settings.classes[t.class];
        let late = at.saturating_sub(t.submitted_at + c.target_delay) as f64 / c.target_delay.max(1) as f64;
        if at >= t.deadline {
            0.0
        } else {
            c.importance * 0.5f64.powf(late).max(c.expiry_importance)
        }
    }

    /// The endpoint expected to answer first among those that a mail may go to now, and that answer's delay.
    fn best(&self, now: Time, mail: usize, view: &dyn WorldView) -> Option<(f64, usize)> {
        let t = &self.mails[mail].taken;
        let in_order = t.key.is_none_or(|key| {
            let (line, rest) = &self.key_queues[key];
            line.first() == Some(&mail) && (t.connects_used > 0 || now >= *rest)
        });
        if !in_order {
            return None;
        }
        let by_zone = self.settings.classes[t.class].dedup_by_zone;
        let fits = |endpoint: usize| {
            let e = &self.endpoints[endpoint];
            e.ready
                && now >= self.wait_until[e.scope]
                && t.first_run.is_none_or(|(_, zone)| !by_zone || zone == e.zone)
                && self.slots.connects(endpoint) < e.batch
                && self.slots.has_room(endpoint, e.batch, self.settings.slots)
        };
        let endpoints = self.destinations[t.destination].iter().copied().filter(|&e| fits(e));
        // A once-only mail could not be retried after a failure, so it waits until one is unlikely; other
        // mails are sent, with the expected delay divided by the chance of success.
        let once = self.settings.classes[t.class].effect == Effect::OnceOnly;
        let answers = endpoints.filter_map(|e| {
            let (answer, sure) = view.answer_in(self.courier, e, t.class)?;
            (!once || sure > MIN_ONCE_ONLY_CHANCE).then_some((answer / sure, e))
        });
        answers.min_by(|a, b| a.0.total_cmp(&b.0))
    }

    fn dispatch(&mut self, now: Time, out: &mut Vec<Action>, view: &dyn WorldView) {
        let mut order = std::mem::take(&mut self.order);
        order.clear();
        self.slots.next_turn();
        for &mail in &self.parked {
            // Earnings divided by slot time, because slots are the scarce resource.
            if let Some((answer, _)) = self.best(now, mail, view) {
                let earns = self.worth(mail, now + answer as Time);
                order.push((earns / answer.max(1.0), mail));
            }
        }
        order.sort_by(|a, b| b.0.total_cmp(&a.0));
        for &(value, mail) in &order {
            let best = self.best(now, mail, view).filter(|_| value > 0.0);
            let Some((answer, endpoint)) = best else { continue };
            let t = &self.mails[mail].taken;
            let left = t.deadline.saturating_sub(now).max(1);
            // A long overdue answer was probably lost; a mail that may be repeated need not wait for it.
            let once = self.settings.classes[t.class].effect == Effect::OnceOnly;
            let timeout = if once { left } else { left.min((TIMEOUT_MULTIPLE * answer) as Time + 1) };
            let call = self.slots.take(endpoint, self.endpoints[endpoint].batch);
            let m = &mut self.mails[mail];
            (m.out, m.call) = (true, call);
            m.taken.connects_used += 1;
            (self.sent[mail], self.zone[mail]) = (now, self.endpoints[endpoint].zone);
            self.scope[mail] = self.endpoints[endpoint].scope;
            out.push(Action::Connect { mail, endpoint, timeout, new_connection: false });
        }
        let mails = &self.mails;
        self.parked.retain(|&mail| !mails[mail].out);
        self.order = order;
    }
}

impl Decider for Oracle {
    fn step(
        &mut self,
        now: Time,
        inputs: &[Input],
        out: &mut Vec<Action>,
        view: &dyn WorldView,
    ) -> Option<Time> {
        inputs.iter().for_each(|input| self.handle_input(now, input, out));
        if !std::mem::replace(&mut self.list_requested, true) {
            out.push(Action::RequestList);
        }
        let margin = 3 * self.settings.timer_resolution;
        let expired = |&&mail: &&usize| {
            let t = &self.mails[mail].taken;
            now + margin >= t.deadline || !self.may_retry(now, t).0
        };
        let expired: Vec<usize> = self.parked.iter().filter(expired).copied().collect();
        expired.into_iter().for_each(|mail| self.give_up(now, mail, out));
        self.dispatch(now, out, view);
        let busy = self.slots.out() > 0 || !self.parked.is_empty();
        busy.then_some(now + self.settings.timer_resolution)
    }

    fn may_call(&self, endpoint: usize, now: Time) -> bool {
        let e = &self.endpoints[endpoint];
        e.ready && now >= self.wait_until[e.scope]
    }
}
