//! How a destination handles a call: serve, queue, refuse, fail or lose it, and count its effects. The load
//! on a destination that returns from an outage is measured here and can overload it.

use meadowhold::interface::{Effect, LimitReport, Outcome, Time, SECOND};

use crate::chance::{Purpose, Stream};
use crate::judge::Rule;
use crate::parts::{DedupEntry, Event, Phase, Reply};
use crate::scenario::Limit;
use crate::world::World;

/// Time until a call fails quickly; a refusal takes a quarter of it.
const QUICK_ANSWER: Time = SECOND / 50;
/// Share of quick failures that happen after the effect.
const FAILED_AFTER_EFFECT: f64 = 0.1;
/// Work of a recognized repeat relative to a first delivery.
const REPEAT_WORK: f64 = 0.05;
/// Coefficient of variation of the service time between connects of one mail.
const CONNECT_NOISE: f64 = 0.25;
/// Calls by which the load on a cold scope may exceed its bound by chance.
const OVERLOAD_SLACK: f64 = 2.0;
/// The rule counts as broken only if at least this part of the load came from couriers that had seen the
/// outage.
const MIN_INFORMED_PART: f64 = 2.0 / 3.0;

impl World<'_> {
    fn call_stream(&self, call: u32, purpose: Purpose) -> Stream {
        let c = &self.calls[call as usize];
        let mail = c.connects[0].mail;
        let connects = u64::from(self.mails[mail as usize].connects);
        let tries = u64::from(self.mails[mail as usize].tries);
        Stream::new(self.day.seed, purpose, u64::from(mail) << 16 | connects << 8 | tries)
    }

    /// A call arrives at its endpoint.
    pub fn call_arrives(&mut self, now: Time, call: u32) {
        let endpoint = self.calls[call as usize].endpoint as usize;
        self.leave_transit(call);
        let state = &self.endpoint_states[endpoint];
        let c = &self.calls[call as usize];
        let closed = state.idle_close.is_some_and(|idle| c.reused && now >= c.idle_since + idle);
        if state.is_down() || c.incarnation != state.incarnation || closed {
            self.calls[call as usize].phase = Phase::Lost;
            self.send_reply(now, call, Reply::with_outcome(Outcome::Broken), 0);
            return;
        }
        if state.half_open > 0 {
            self.calls[call as usize].phase = Phase::Lost;
            return;
        }
        let p = &self.day.destinations[self.day.endpoints[endpoint].destination];
        let further = (self.calls[call as usize].connects.len() - 1) as f64;
        let load = 1.0 + p.item_work * further;
        self.check_overload(now, call, endpoint, load);
        if self.endpoint_states[endpoint].is_down() {
            self.calls[call as usize].phase = Phase::Lost;
            self.send_reply(now, call, Reply::with_outcome(Outcome::Broken), 0);
            return;
        }
        if self.endpoint_states[endpoint].is_stalled() {
            self.serve_or_queue(now, call, endpoint, true);
        } else if self.endpoint_states[endpoint].shut > 0 {
            let until = self.endpoint_states[endpoint].shut_until;
            self.refuse(now, call, until.saturating_sub(now));
        } else if !self.admit(now, endpoint) {
            let wait = self.retry_after(now, endpoint);
            self.refuse(now, call, wait);
        } else if !self.inject_failure(now, call, endpoint) {
            self.serve_or_queue(now, call, endpoint, false);
        }
    }

    fn serve_or_queue(&mut self, now: Time, call: u32, endpoint: usize, stalled: bool) {
        let (slots, depth) = (self.day.endpoints[endpoint].slots, self.day.endpoints[endpoint].queue);
        if !stalled && self.endpoint_states[endpoint].active.len() < slots {
            self.mark_repeats(now, call);
            self.start_service(now, call);
            return;
        }
        let state = &mut self.endpoint_states[endpoint];
        if state.queue.len() < depth + if stalled { slots } else { 0 } {
            self.calls[call as usize].phase = Phase::Waiting;
            state.queue.push_back(call);
            self.mark_repeats(now, call);
        } else if stalled {
            // A stalled endpoint sends no refusal: a call that finds no room is dropped silently.
            self.calls[call as usize].phase = Phase::Lost;
        } else {
            self.refuse(now, call, 0);
        }
    }

    /// Whether the limit admits one call; refused calls may count against it too.
    fn admit(&mut self, now: Time, endpoint: usize) -> bool {
        let scope = self.endpoint_states[endpoint].scope;
        let (rate, tokens, allowed) = (self.rate(scope), self.tokens(scope, now), self.span_allows(scope));
        let u = &mut self.scopes[scope];
        let p = &self.day.destinations[u.destination];
        match p.limit {
            Limit::None => true,
            Limit::Rate => {
                (u.tokens, u.tokens_at) = (tokens, now);
                let room = u.tokens >= 1.0;
                if room || p.refused_count {
                    u.tokens = (u.tokens - 1.0).max(-rate);
                }
                room
            }
            Limit::Span => {
                let span = now / p.span;
                if span != u.span {
                    // Refused calls carry over into the next span, up to half of its allowance.
                    let over = if span == u.span + 1 { (u.used - allowed).max(0.0) } else { 0.0 };
                    (u.span, u.used) = (span, over.min(allowed / 2.0));
                }
                let room = u.used + 1.0 <= allowed;
                u.used += f64::from(u8::from(room || p.refused_count));
                room
            }
        }
    }

    /// Time until the limit has room again, as told in a refusal.
    fn retry_after(&self, now: Time, endpoint: usize) -> Time {
        let scope = self.endpoint_states[endpoint].scope;
        let p = &self.day.destinations[self.scopes[scope].destination];
        match p.limit {
            Limit::None => 0,
            Limit::Rate => {
                let lacks = (1.0 - self.scopes[scope].tokens).max(0.0) / self.rate(scope).max(1e-6);
                p.wait.max((lacks * SECOND as f64) as Time)
            }
            Limit::Span => (now / p.span + 1) * p.span - now,
        }
    }

    fn refuse(&mut self, now: Time, call: u32, wait: Time) {
        let endpoint = self.calls[call as usize].endpoint as usize;
        let p = &self.day.destinations[self.day.endpoints[endpoint].destination];
        let tells = self.call_stream(call, Purpose::Answer).chance(p.tells_wait);
        self.calls[call as usize].phase = Phase::Lost;
        let wait = if tells { wait } else { 0 };
        let report = self.limit_report(now, endpoint);
        self.send_reply(now, call, Reply { outcome: Outcome::Refused, wait, report }, QUICK_ANSWER / 4);
    }

    fn limit_report(&self, now: Time, endpoint: usize) -> Option<LimitReport> {
        let scope = self.endpoint_states[endpoint].scope;
        let (p, limit) = (&self.day.destinations[self.scopes[scope].destination], self.rate(scope));
        let left = match p.limit {
            Limit::Rate => (self.scopes[scope].tokens / limit.max(1.0)).clamp(0.0, 1.0),
            _ => (1.0 - self.span_used(scope, now) / self.span_allows(scope)).clamp(0.0, 1.0),
        };
        (self.day.told_limits && p.limit != Limit::None).then_some(LimitReport { remaining: left, limit })
    }

    /// Fails or breaks a call as active troubles demand; returns whether it did.
    fn inject_failure(&mut self, now: Time, call: u32, endpoint: usize) -> bool {
        let d = &mut self.call_stream(call, Purpose::Answer);
        d.unit(); // skips the draw that `refuse` takes from the same stream
        let p = &self.day.destinations[self.day.endpoints[endpoint].destination];
        let state = &self.endpoint_states[endpoint];
        let affected = |class: usize| {
            let connects = &self.calls[call as usize].connects;
            connects.iter().any(|r| usize::from(self.mails[r.mail as usize].class) == class)
        };
        let of_class = state.class_errors.iter().filter(|(class, _)| affected(*class));
        let well =
            of_class.fold((1.0 - p.error_share) * (1.0 - state.errors.min(1.0)), |w, (_, e)| w * (1.0 - e));
        let (fails, breaks) = (d.chance(1.0 - well), d.chance(state.resets));
        let after = d.chance(if fails { FAILED_AFTER_EFFECT } else { 0.5 });
        if !fails && !breaks {
            return false;
        }
        self.calls[call as usize].phase = Phase::Lost;
        if after {
            self.mark_repeats(now, call);
            self.apply_effects(now, call);
        }
        let outcome = if fails { Outcome::Error } else { Outcome::Broken };
        self.counts.work += QUICK_ANSWER as f64;
        self.send_reply(now, call, Reply::with_outcome(outcome), QUICK_ANSWER);
        true
    }

    /// Marks those mails of an arriving call that the destination recognizes as repeats within the
    /// deduplication window.
    fn mark_repeats(&mut self, now: Time, call: u32) {
        let zone = self.day.endpoints[self.calls[call as usize].endpoint as usize].zone;
        for i in 0..self.calls[call as usize].connects.len() {
            let mail = self.calls[call as usize].connects[i].mail;
            let set = &self.day.classes[usize::from(self.mails[mail as usize].class)].settings;
            if set.effect != Effect::Tagged {
                continue;
            }
            let dedup_key = (mail, if set.dedup_by_zone { zone } else { 0 });
            let known = self.dedup.entry(dedup_key).or_insert(DedupEntry {
                window_start: now,
                window: 0,
                effects: 0,
            });
            // The first connect creates the entry; after the window the entry starts anew.
            let repeat = known.window_start < now && now <= known.window_start + set.dedup_window;
            if now > known.window_start + set.dedup_window {
                (known.window_start, known.window) = (now, (known.window + 1).min(31));
            }
            let window = known.window;
            let connect = &mut self.calls[call as usize].connects[i];
            (connect.window, connect.repeat) = (window, repeat);
            self.counts.repeats_dropped += u64::from(repeat);
        }
    }

    fn start_service(&mut self, now: Time, call: u32) {
        let c = &self.calls[call as usize];
        let endpoint = c.endpoint as usize;
        let p = &self.day.destinations[self.day.endpoints[endpoint].destination];
        let d = &mut self.call_stream(call, Purpose::Service);
        let noise = d.lognormal(CONNECT_NOISE);
        let (mut longest, mut repeats) = (0.0f64, 0);
        for connect in &c.connects {
            let class = &self.day.classes[usize::from(self.mails[connect.mail as usize].class)];
            let own =
                Stream::new(self.day.seed, Purpose::Service, u64::from(connect.mail)).lognormal(class.spread);
            longest = longest.max(class.service * own);
            repeats += usize::from(connect.repeat && self.has_effect(connect.mail, endpoint));
        }
        let further = (c.connects.len() - 1) as f64;
        let known = if repeats == c.connects.len() { REPEAT_WORK } else { 1.0 };
        let pace = p.pace * self.endpoint_states[endpoint].slow / self.warmth(endpoint, now);
        let took = longest * noise * known * (1.0 + p.item_work * further) * pace * (SECOND / 1000) as f64;
        let took = took.max(1.0);
        let c = &mut self.calls[call as usize];
        (c.phase, c.work) = (Phase::Served, took);
        self.endpoint_states[endpoint].active.push(call);
        self.event_queue.schedule(now + took as Time, Event::ServiceDone { call });
    }

    pub fn service_done(&mut self, now: Time, call: u32) {
        let c = &self.calls[call as usize];
        let (phase, endpoint, work) = (c.phase, c.endpoint as usize, c.work);
        let awaited = self.is_awaited(call);
        if phase != Phase::Served {
            return;
        }
        if self.endpoint_states[endpoint].is_stalled() {
            self.endpoint_states[endpoint].stalled_calls.push(call);
            return;
        }
        let state = &mut self.endpoint_states[endpoint];
        let Some(at) = state.active.iter().position(|&a| a == call) else { return };
        state.active.swap_remove(at);
        let lost = state.lost;
        self.counts.work += work;
        self.apply_effects(now, call);
        self.trace.record_event(now, 12, [call, endpoint as u32]);
        let answer_lost = self.call_stream(call, Purpose::List).chance(lost);
        if awaited && !answer_lost {
            let report = self.limit_report(now, endpoint);
            self.send_reply(now, call, Reply { outcome: Outcome::Relayed, wait: 0, report }, 0);
        }
        self.next_in_queue(now, endpoint);
    }

    pub fn next_in_queue(&mut self, now: Time, endpoint: usize) {
        let slots = self.day.endpoints[endpoint].slots;
        while self.endpoint_states[endpoint].active.len() < slots
            && !self.endpoint_states[endpoint].is_stalled()
        {
            let Some(call) = self.endpoint_states[endpoint].queue.pop_front() else { break };
            self.start_service(now, call);
        }
    }

    /// Whether a tagged mail has already had its effect in the present window, which makes a repeat cheap.
    fn has_effect(&self, mail: u32, endpoint: usize) -> bool {
        let set = &self.day.classes[usize::from(self.mails[mail as usize].class)].settings;
        let dedup_key = (mail, if set.dedup_by_zone { self.day.endpoints[endpoint].zone } else { 0 });
        self.dedup.get(&dedup_key).is_some_and(|known| known.effects >> known.window & 1 == 1)
    }

    /// Counts the effects of a served call at the destination, independent of what couriers report.
    pub fn apply_effects(&mut self, now: Time, call: u32) {
        let zone = self.day.endpoints[self.calls[call as usize].endpoint as usize].zone;
        for i in 0..self.calls[call as usize].connects.len() {
            let connect = self.calls[call as usize].connects[i];
            let m = &mut self.mails[connect.mail as usize];
            let class = &self.day.classes[usize::from(m.class)];
            let counts = match class.settings.effect {
                Effect::Redeliverable => false,
                Effect::Tagged => {
                    let dedup_key = (connect.mail, if class.settings.dedup_by_zone { zone } else { 0 });
                    let known = self.dedup.get_mut(&dedup_key);
                    known.is_none_or(|known| {
                        let new = known.effects >> connect.window & 1 == 0;
                        known.effects |= 1 << connect.window;
                        new
                    })
                }
                Effect::OnceOnly => true,
            };
            if !counts {
                continue;
            }
            m.effects = m.effects.saturating_add(1);
            let effects = m.effects;
            self.trace.record_history(now, connect.mail, || format!("takes effect, for the {effects}. time"));
            if effects > 1 {
                let courier = self.calls[call as usize].courier;
                let words = format!("queue class {} took effect {effects} times", class.name);
                self.judge.record_violation(Rule::NoEffectTwice, now, connect.mail, courier, words);
            }
        }
    }

    /// Measures the load sent to a scope that is back from an outage but still cold, and overloads it above
    /// the bound.
    fn check_overload(&mut self, now: Time, call: u32, endpoint: usize, load: f64) {
        let scope = self.endpoint_states[endpoint].scope;
        let u = &self.scopes[scope];
        let cold = self.day.destinations[u.destination].cold;
        let Some(back) = u.returned_at.filter(|&back| !u.in_outage && now < back + cold) else { return };
        let courier = self.calls[call as usize].courier;
        let seen = self.judge.saw_this_outage(courier, scope, u.outage);
        let (length, multiple) = (self.day.settings.overload_duration, self.day.settings.overload_multiple);
        let u = &mut self.scopes[scope];
        u.recent_load.push_back((now, load, seen));
        u.recent_work += load;
        u.informed_work += if seen { load } else { 0.0 };
        while let Some(&(at, load, seen)) = u.recent_load.front().filter(|w| w.0 + length < now || w.0 < back)
        {
            u.recent_load.pop_front();
            u.recent_work -= load;
            u.informed_work -= if seen { load } else { 0.0 };
            debug_assert!(at <= now);
        }
        let (work, warned) = (u.recent_work, u.informed_work);
        let capacity = self.current_capacity(scope, now) * length as f64 / SECOND as f64;
        if work <= multiple * capacity + OVERLOAD_SLACK {
            return;
        }
        self.counts.fallen += 1;
        for i in 0..self.scopes[scope].endpoints.len() {
            let endpoint = self.scopes[scope].endpoints[i];
            self.endpoint_states[endpoint].overloaded = true;
            self.crash_endpoint(now, endpoint);
        }
        self.update_outage(now, scope);
        if warned >= MIN_INFORMED_PART * work {
            let words = format!(
                "partner {} was pushed over: {work:.1} calls in {} ms where it can do {capacity:.1}, {warned:.1} of them by couriers that had seen its outage",
                self.scopes[scope].destination,
                length / 10,
            );
            let mail = self.calls[call as usize].connects[0].mail;
            self.judge.record_violation(Rule::NotPushedOver, now, mail, courier, words);
        }
    }

    /// The endpoint's process ends: its calls are broken off, about half of those being served after their
    /// effect.
    pub fn crash_endpoint(&mut self, now: Time, endpoint: usize) {
        let state = &mut self.endpoint_states[endpoint];
        state.incarnation += 1;
        state.connections = 0;
        state.stalled_calls.clear();
        let active = std::mem::take(&mut state.active);
        let queue = std::mem::take(&mut state.queue);
        for &call in &active {
            if self.call_stream(call, Purpose::List).chance(0.5) {
                self.apply_effects(now, call);
            }
        }
        for call in active.into_iter().chain(queue) {
            self.calls[call as usize].connected = false;
            self.counts.work += self.calls[call as usize].work / 2.0;
            if self.calls[call as usize].phase != Phase::Ended {
                self.calls[call as usize].phase = Phase::Lost;
                self.send_reply(now, call, Reply::with_outcome(Outcome::Broken), 0);
            }
        }
    }
}
