//! A courier's turn: its inputs go to its decider, and the resulting actions are carried out as a real
//! courier would. Also crashes of couriers and their restart, with or without a journal.

use meadowhold::interface::{Action, Input, Outcome, Time};

use crate::chance::{Purpose, Stream};
use crate::judge::Rule;
use crate::parts::{Answer, Call, Connect, Event, Idle, Phase, Reply, Stage};
use crate::world::World;

/// Capacity of the input buffer that a courier keeps between turns.
const KEPT_INPUT_CAPACITY: usize = 256;
/// Maximum number of idle connections of a courier to one endpoint.
const MAX_IDLE_CONNECTIONS: usize = 64;

impl World<'_> {
    pub fn turn(&mut self, now: Time, courier: usize, at: Time) {
        let c = &mut self.couriers[courier];
        if !c.alive || c.turn_at != Some(at) {
            return;
        }
        if now < c.paused_until {
            c.turn_at = None;
            let until = c.paused_until;
            self.schedule_turn(courier, until);
            return;
        }
        (c.turn_at, c.last_turn) = (None, Some(now));
        let Some(mut decider) = c.decider.take() else { return };
        let mut inputs = std::mem::take(&mut c.inputs);
        if std::mem::take(&mut c.full_list_due) {
            let mut first = self.full_list();
            first.append(&mut inputs);
            inputs = first;
        }
        self.counts.turns += 1;
        self.record_inputs(now, courier, &inputs);
        let mut actions = std::mem::take(&mut self.actions);
        let wake = decider.step(now, &inputs, &mut actions, self);
        inputs.clear();
        inputs.shrink_to(KEPT_INPUT_CAPACITY);
        self.couriers[courier].inputs = inputs;
        self.couriers[courier].decider = Some(decider);
        self.trace.record_event(now, 9, [courier as u32, actions.len() as u32]);
        let first = self.calls.len();
        for action in actions.drain(..) {
            self.apply_action(now, courier, first, action);
        }
        self.actions = actions;
        for call in first..self.calls.len() {
            self.start_call(now, call as u32);
        }
        if let Some(at) = wake {
            self.schedule_turn(courier, at.max(now + 1));
        }
    }

    /// Tells the judge what the courier knows from this turn on.
    fn record_inputs(&mut self, now: Time, courier: usize, inputs: &[Input]) {
        let process = self.couriers[courier].process;
        let mut whole = false;
        for input in inputs {
            match input {
                Input::ListBegin { complete: all } => whole = *all,
                Input::ListEnd if whole => self.record_missing_entries(now, courier, inputs),
                Input::ListEntry(entry) => {
                    let ready = entry.status == meadowhold::interface::EndpointStatus::Ready;
                    self.judge.status_read(courier as u32, process, entry.endpoint, ready, now);
                }
                Input::ConnectResult(ended) => self.record_outcome(now, courier, ended),
                _ => {}
            }
        }
    }

    fn record_outcome(&mut self, now: Time, courier: usize, ended: &meadowhold::interface::ConnectResult) {
        let process = self.couriers[courier].process;
        let mail = self.couriers[courier].mails[ended.mail];
        let m = &self.mails[mail as usize];
        let Some(endpoint) = m.active_call.map(|call| self.calls[call as usize].endpoint as usize) else {
            return;
        };
        let scope = self.endpoint_states[endpoint].scope;
        if ended.retry_after > 0 {
            self.judge.wait_read(courier as u32, process, scope, now + ended.retry_after);
        }
        if let Some(key) = m.key.filter(|_| ended.outcome.may_still_run()) {
            self.judge.hold_key(courier as u32, key, now + self.day.settings.ordering_gap);
        }
        let (outcome, wait) = (ended.outcome, ended.retry_after);
        self.trace.record_history(now, mail, || {
            format!("courier {courier} reads {outcome:?}, told to wait {} ms", wait / 10)
        });
        self.mails[mail as usize].active_call = None;
        self.leave_key_queue(mail);
    }

    fn apply_action(&mut self, now: Time, courier: usize, first: usize, action: Action) {
        match action {
            Action::Connect { mail, endpoint, timeout, new_connection } => {
                let mail = self.couriers[courier].mails[mail];
                self.add_to_call(now, courier, first, (mail, endpoint, timeout, new_connection));
            }
            Action::Defer { mail, retry_after: pause } => {
                let mail = self.couriers[courier].mails[mail];
                if self.check_held(courier, mail, now) {
                    self.finish(now, mail, Answer::Deferred);
                    self.schedule_retry(now, mail, pause);
                }
            }
            Action::Bounce { mail } => {
                let mail = self.couriers[courier].mails[mail];
                if self.check_held(courier, mail, now) {
                    self.finish(now, mail, Answer::Bounced);
                }
            }
            Action::RequestList => self.request_list(now, courier),
            Action::SendNote { .. } => {}
            Action::CloseIdle(endpoint) => self.close_idle_connections(courier, endpoint as u32),
            Action::FreeMail(index) => self.couriers[courier].free.push(index as u32),
            Action::FreeKey(_) | Action::FreeEndpoint(_) => {}
        }
    }

    /// Whether the courier holds this mail. An answer for any other mail would be a second one, which breaks
    /// a rule.
    fn check_held(&mut self, courier: usize, mail: u32, now: Time) -> bool {
        let m = &self.mails[mail as usize];
        let held = m.stage == Stage::Accepted && m.courier == courier as u32;
        if !held {
            let words = "a final answer for a mail that has one".to_string();
            self.judge.record_violation(Rule::NoMailLost, now, mail, courier as u32, words);
        }
        held
    }

    /// Adds a mail to a call to the endpoint that was started in this turn, or starts one.
    fn add_to_call(&mut self, now: Time, courier: usize, first: usize, order: (u32, usize, Time, bool)) {
        let (mail, endpoint, timeout, new_connection) = order;
        let m = &self.mails[mail as usize];
        if m.stage != Stage::Accepted || m.courier != courier as u32 || m.active_call.is_some() {
            let words = "a connect after its final answer, or beside another".to_string();
            self.judge.record_violation(Rule::NoMailLost, now, mail, courier as u32, words);
            return;
        }
        let e = &self.day.endpoints[endpoint];
        let batch = self.day.destinations[e.destination].batch;
        let connect = Connect { mail, timeout_at: now + timeout, reported: false, window: 0, repeat: false };
        let fits = |c: &Call| c.endpoint == endpoint as u32 && c.connects.len() < batch;
        let open = (first..self.calls.len()).find(|&i| fits(&self.calls[i]));
        let call = open.unwrap_or(self.calls.len());
        if open.is_none() {
            let c = &mut self.couriers[courier];
            c.calls_in_flight += 1;
            c.peak_out = c.peak_out.max(c.calls_in_flight);
            self.counts.over_slots += u64::from(c.calls_in_flight > self.day.settings.slots);
            let index = u64::from(mail) << 16 | u64::from(m.connects) << 8 | u64::from(m.tries);
            let d = &mut Stream::new(self.day.seed, Purpose::Network, index);
            let zone_latency = self.day.zone_latency[c.zone][e.zone] as f64;
            let latency = [0, 1].map(|_| (zone_latency * d.lognormal(self.day.jitter)) as Time + 1);
            self.endpoint_states[endpoint].in_transit += 1;
            self.calls.push(Call {
                courier: courier as u32,
                process: c.process,
                endpoint: endpoint as u32,
                connects: Vec::new(),
                started: now,
                reused: true, // until a connection is chosen: whether an idle one may be used
                open: true,
                phase: Phase::Connecting,
                latency,
                incarnation: 0,
                connected: false,
                in_transit: true,
                idle_since: 0,
                work: 0.0,
            });
        }
        // If one connect requires a new connection, the whole call uses a new one.
        self.calls[call].reused &= !new_connection;
        self.calls[call].connects.push(connect);
        self.mails[mail as usize].active_call = Some(call as u32);
        self.trace.record_event(now, 10, [mail, endpoint as u32]);
        self.trace.record_history(now, mail, || {
            format!("courier {courier} decides on a connect to endpoint {endpoint}")
        });
    }

    /// Uses an idle connection for a call, or opens a new one.
    fn start_call(&mut self, now: Time, call: u32) {
        self.counts.calls += 1;
        let c = &self.calls[call as usize];
        let (courier, endpoint, may_reuse, latency) = (c.courier as usize, c.endpoint, c.reused, c.latency);
        // All connects wait for the one with the longest timeout, but each no longer than its own deadline.
        let longest = c.connects.iter().map(|r| r.timeout_at).max().unwrap_or(now);
        for i in 0..self.calls[call as usize].connects.len() {
            let connect = self.calls[call as usize].connects[i];
            let end = longest.min(self.mails[connect.mail as usize].deadline.max(now + 1));
            let connect = &mut self.calls[call as usize].connects[i];
            connect.timeout_at = end;
            let again = self.calls[call as usize].connects[..i].iter().any(|r| r.timeout_at == end);
            if !again {
                self.event_queue.schedule(end, Event::Timeout { call });
            }
        }
        if may_reuse {
            if let Some(idle) = self.reusable_connection(now, courier, endpoint) {
                let c = &mut self.calls[call as usize];
                (c.incarnation, c.connected, c.idle_since) = (idle.incarnation, true, idle.since);
                self.connected(now, call);
                return;
            }
        }
        self.calls[call as usize].reused = false;
        self.counts.handshakes += 1;
        let zone = self.day.endpoints[endpoint as usize].zone;
        let reachable = self.link_open(self.couriers[courier].zone, zone)
            && self.link_open(zone, self.couriers[courier].zone);
        let round_trip = (latency[0] + latency[1]) as f64;
        let state = &self.endpoint_states[endpoint as usize];
        let max_connections = self.day.endpoints[endpoint as usize].connections;
        if !reachable {
            let at = now + self.day.settings.connection_timeout;
            self.event_queue.schedule(at, Event::Unreached { call });
        } else if state.is_down() || (max_connections > 0 && state.connections >= max_connections) {
            self.event_queue.schedule(now + round_trip as Time, Event::Unreached { call });
        } else {
            let at = now + (round_trip * self.day.handshake_turns) as Time;
            let state = &mut self.endpoint_states[endpoint as usize];
            state.connections += 1;
            let c = &mut self.calls[call as usize];
            (c.incarnation, c.connected) = (state.incarnation, true);
            self.event_queue.schedule(at, Event::Connected { call });
        }
    }

    /// The most recently used idle connection that is not known to be closed.
    fn reusable_connection(&mut self, now: Time, courier: usize, endpoint: u32) -> Option<Idle> {
        let keep = self.day.client_idle_timeout();
        let state = &mut self.endpoint_states[endpoint as usize];
        let far_timeout = state.idle_close.unwrap_or(Time::MAX);
        let latency =
            self.day.zone_latency[self.couriers[courier].zone][self.day.endpoints[endpoint as usize].zone];
        let idle = self.couriers[courier].idle.get_mut(&endpoint)?;
        while let Some(Idle { since, incarnation }) = idle.pop() {
            // The courier learns that the endpoint closed a connection one network latency later.
            let closed =
                now >= since + keep || now >= since.saturating_add(far_timeout).saturating_add(latency);
            if !closed && incarnation == state.incarnation {
                return Some(Idle { since, incarnation });
            }
            state.connections -= usize::from(incarnation == state.incarnation);
        }
        None
    }

    /// Keeps a connection for the next call.
    pub fn keep_connection(&mut self, now: Time, courier: usize, endpoint: u32, incarnation: u32) {
        let limited = self.day.endpoints[endpoint as usize].connections > 0;
        let idle = self.couriers[courier].idle.entry(endpoint).or_default();
        if idle.len() >= MAX_IDLE_CONNECTIONS {
            let old = idle.remove(0);
            let state = &mut self.endpoint_states[endpoint as usize];
            state.connections -= usize::from(old.incarnation == state.incarnation);
        }
        idle.push(Idle { since: now, incarnation });
        if limited {
            let at = now + self.day.client_idle_timeout();
            self.event_queue.schedule(at, Event::CloseIdle { courier: courier as u32, endpoint });
        }
    }

    /// Closes connections that have been idle for too long.
    pub fn close_expired(&mut self, now: Time, courier: usize, endpoint: u32) {
        let keep = self.day.client_idle_timeout();
        let state = &mut self.endpoint_states[endpoint as usize];
        if let Some(idle) = self.couriers[courier].idle.get_mut(&endpoint) {
            idle.retain(|i| {
                let old = now >= i.since + keep;
                state.connections -= usize::from(old && i.incarnation == state.incarnation);
                !old
            });
        }
    }

    fn close_idle_connections(&mut self, courier: usize, endpoint: u32) {
        let state = &mut self.endpoint_states[endpoint as usize];
        if let Some(idle) = self.couriers[courier].idle.get_mut(&endpoint) {
            let open = idle.drain(..).filter(|i| i.incarnation == state.incarnation).count();
            state.connections -= open;
        }
    }

    /// Kills a courier (SIGKILL). Its calls continue at the destinations; the mails it held are in its
    /// journal, or back with their clients.
    pub fn crash_courier(&mut self, now: Time, courier: usize) {
        if !self.couriers[courier].alive {
            return;
        }
        self.trace.record_event(now, 20, [courier as u32, 0]);
        let held = |m: &u32| {
            let m = &self.mails[*m as usize];
            m.stage == Stage::Accepted && m.courier == courier as u32
        };
        let mut owed: Vec<u32> = self.couriers[courier].mails.iter().copied().filter(held).collect();
        owed.sort_unstable_by_key(|&m| self.mails[m as usize].accept_number);
        owed.dedup();
        for call in 0..self.calls.len() {
            if self.calls[call].courier == courier as u32 && self.is_awaited(call as u32) {
                self.calls[call].open = false;
                if self.calls[call].phase == Phase::Connecting {
                    self.leave_transit(call as u32);
                }
                self.close_connection(call as u32);
            }
        }
        for endpoint in 0..self.endpoint_states.len() as u32 {
            self.close_idle_connections(courier, endpoint);
        }
        for &mail in &owed {
            let zone = |c: &Call| self.day.endpoints[c.endpoint as usize].zone as u16;
            let m = &self.mails[mail as usize];
            let sent =
                m.active_call.map(|call| &self.calls[call as usize]).filter(|c| c.phase != Phase::Connecting);
            let ran = m.first_run.or(sent.map(|c| (c.started, zone(c))));
            self.trace.record_history(now, mail, || {
                format!("courier {courier} dies; may have run: {}", ran.is_some())
            });
            let m = &mut self.mails[mail as usize];
            (m.first_run, m.active_call) = (ran, None);
        }
        // The judge's queues start anew, including mails whose answer was given but not read; keys with
        // connects in flight are held.
        for i in 0..self.couriers[courier].mails.len() {
            let m = &mut self.mails[self.couriers[courier].mails[i] as usize];
            if m.courier != courier as u32 {
                continue;
            }
            m.active_call = None;
            if let Some(key) = m.key {
                self.judge.clear_key(courier as u32, key);
                if m.first_run.is_some() && m.stage == Stage::Accepted {
                    self.judge.hold_key(courier as u32, key, now + self.day.settings.ordering_gap);
                    self.couriers[courier].held_keys.push((key, now));
                }
            }
        }
        let journal = self.day.journal;
        let c = &mut self.couriers[courier];
        (c.alive, c.decider, c.calls_in_flight, c.mails_held) = (false, None, 0, 0);
        c.process += 1;
        c.inputs.clear();
        c.mails.clear();
        c.free.clear();
        c.idle.clear();
        if journal {
            c.owed_mails = owed;
        } else {
            owed.into_iter().for_each(|mail| self.resubmit_after_crash(now, mail));
        }
        let notice = now + self.day.mails.front_notice;
        self.event_queue.schedule(notice, Event::FrontNotice { courier: courier as u32, alive: false });
        self.event_queue.schedule(now + self.day.down, Event::CourierRestart { courier: courier as u32 });
    }

    pub fn restart_courier(&mut self, now: Time, courier: usize) {
        if self.couriers[courier].alive {
            return;
        }
        self.trace.record_event(now, 21, [courier as u32, 0]);
        self.couriers[courier].started = now;
        self.start_process(courier);
        let notice = now + self.day.mails.front_notice.min(self.day.down.max(1));
        self.event_queue.schedule(notice, Event::FrontNotice { courier: courier as u32, alive: true });
        let gap = self.day.settings.ordering_gap;
        for (key, since) in std::mem::take(&mut self.couriers[courier].held_keys) {
            if self.day.journal && since + gap > now {
                self.push_input(courier, Input::KeyInFlight { key: key as usize, at: since });
            }
        }
        for mail in std::mem::take(&mut self.couriers[courier].owed_mails) {
            if self.mails[mail as usize].stage != Stage::Accepted {
                continue;
            }
            let c = &mut self.couriers[courier];
            let index = c.assign_index(mail);
            c.mails_held += 1;
            self.mails[mail as usize].index = index;
            self.give_to_decider(courier, mail);
        }
    }

    /// Reports an outcome to the courier for those connects of a call that have none yet.
    pub fn report_outcome(&mut self, now: Time, call: u32, reply: Reply, only: impl Fn(&Connect) -> bool) {
        let c = &self.calls[call as usize];
        let (courier, took, kept) = (c.courier as usize, now - c.started.min(now), c.reused);
        let (endpoint, started) = (c.endpoint as usize, c.started);
        let (scope, zone) = (self.endpoint_states[endpoint].scope, self.day.endpoints[endpoint].zone as u16);
        let bad = !matches!(reply.outcome, Outcome::Relayed | Outcome::Unsent | Outcome::CalledOff);
        if bad && self.scopes[scope].in_outage {
            let outage = self.scopes[scope].outage;
            self.judge.saw_outage(courier as u32, scope, outage);
        }
        for i in 0..self.calls[call as usize].connects.len() {
            let connect = self.calls[call as usize].connects[i];
            if connect.reported || !only(&connect) {
                continue;
            }
            self.calls[call as usize].connects[i].reported = true;
            let m = &mut self.mails[connect.mail as usize];
            if !reply.outcome.never_ran() {
                m.first_run = m.first_run.or(Some((started, zone)));
            }
            if let Some(key) = m.key.filter(|_| reply.outcome.may_still_run()) {
                let rests = &mut self.couriers[courier].held_keys;
                rests.retain(|rest| rest.0 != key);
                rests.push((key, now));
            }
            let (index, held) = (m.index as usize, m.stage == Stage::Accepted);
            let over = reply.outcome == Outcome::Relayed;
            if over && held {
                self.finish(now, connect.mail, Answer::Relayed);
            }
            self.push_input(courier, crate::parts::ended(index, &reply, over, took, kept));
        }
        if self.calls[call as usize].connects.iter().all(|r| r.reported) {
            if self.calls[call as usize].phase == Phase::Connecting {
                self.leave_transit(call);
            }
            self.calls[call as usize].open = false;
            self.couriers[courier].calls_in_flight -= 1;
        }
    }
}
