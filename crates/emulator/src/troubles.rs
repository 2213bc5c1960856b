//! Applies and ends troubles. Each one undoes exactly what it applied, so any number of them may overlap.

use meadowhold::interface::{EndpointStatus, Time, SECOND};

use crate::parts::Event;
use crate::scenario::What;
use crate::world::World;

/// Interval between pauses.
const PAUSE_EVERY: Time = SECOND;

impl World<'_> {
    pub fn switch_trouble(&mut self, now: Time, index: usize, on: bool) {
        let day = self.day.clone();
        let t = &day.troubles[index];
        self.trace.record_event(now, 30, [index as u32, u32::from(on)]);
        let adjust = |count: &mut u16| *count = if on { *count + 1 } else { count.saturating_sub(1) };
        match t.what {
            What::Flap | What::Pauses => {
                if on {
                    self.pulse(now, index, true);
                }
            }
            What::Kill | What::Roll if on => {
                let apart = if t.what == What::Roll { (t.size * SECOND as f64) as Time } else { 0 };
                for (i, &courier) in t.couriers.iter().enumerate() {
                    self.event_queue
                        .schedule(now + apart * i as Time, Event::CourierCrash { courier: courier as u32 });
                }
            }
            What::ClockStep if on => {
                for &courier in &t.couriers {
                    let until = now + (t.size * (SECOND / 1000) as f64) as Time;
                    self.couriers[courier].paused_until = until;
                }
            }
            What::Kill | What::Roll | What::ClockStep => {}
            What::HotCaller if on => self.hot_troubles.push(index),
            What::HotCaller => self.hot_troubles.retain(|&i| i != index),
            What::HallShift if on => self.zone_shifts.push(index),
            What::HallShift => self.zone_shifts.retain(|&i| i != index),
            What::Burst => self.burst *= if on { t.size } else { 1.0 / t.size },
            What::ListLag => {
                let further = (t.size * SECOND as f64) as Time;
                self.list.lag = if on { self.list.lag + further } else { self.list.lag - further };
            }
            What::ListStall => {
                adjust(&mut self.list.stalls);
                if !on && self.list.stalls == 0 {
                    self.resume_list(now);
                }
            }
            What::ListEmpty => self.resend_list(now, on),
            What::ListLies => {
                let status = if on { EndpointStatus::Draining } else { EndpointStatus::Ready };
                for &endpoint in &t.endpoints {
                    if !self.endpoint_states[endpoint].removed {
                        self.announce(now, endpoint, status);
                    }
                }
            }
            What::LinkCut | What::LinkOneWay => {
                for other in (0..day.zones.len()).filter(|&other| other != t.zone) {
                    adjust(&mut self.cut_links[other][t.zone]);
                    if t.what == What::LinkCut {
                        adjust(&mut self.cut_links[t.zone][other]);
                    }
                }
            }
            What::Drain | What::Replace => self.replace(now, index, on),
            _ => t.endpoints.iter().for_each(|&endpoint| self.apply_to_endpoint(now, index, endpoint, on)),
        }
    }

    /// Applies a trouble to one endpoint, or ends it there.
    fn apply_to_endpoint(&mut self, now: Time, index: usize, endpoint: usize, on: bool) {
        let day = self.day.clone();
        let t = &day.troubles[index];
        let state = &mut self.endpoint_states[endpoint];
        let adjust = |count: &mut u16| *count = if on { *count + 1 } else { count.saturating_sub(1) };
        let add = |share: &mut f64| *share = (*share + if on { t.size } else { -t.size }).max(0.0);
        match t.what {
            What::Crash | What::Flap => {
                adjust(&mut state.down);
                if on {
                    self.crash_endpoint(now, endpoint);
                }
            }
            What::Hang => adjust(&mut state.hung),
            What::Pauses => adjust(&mut state.paused),
            What::Slow => state.slow *= if on { t.size } else { 1.0 / t.size },
            What::Errors => add(&mut state.errors),
            What::ClassErrors if on => state.class_errors.push((t.class.unwrap_or(0), t.size)),
            What::ClassErrors => {
                let mine = (t.class.unwrap_or(0), t.size);
                let at = state.class_errors.iter().position(|&e| e == mine);
                if let Some(at) = at {
                    state.class_errors.swap_remove(at);
                }
            }
            What::Shut => {
                adjust(&mut state.shut);
                state.shut_until = t.until;
            }
            What::Resets => add(&mut state.resets),
            What::LostAnswers => add(&mut state.lost),
            What::HalfOpen => adjust(&mut state.half_open),
            What::IdleClose => state.idle_close = on.then_some((t.size * SECOND as f64) as Time),
            What::Throttle => {
                // Once for each scope, however many of its endpoints are affected.
                let scope = state.scope;
                let first = t.endpoints.iter().find(|&&e| self.endpoint_states[e].scope == scope);
                if first == Some(&endpoint) {
                    let size = t.size.max(1e-3);
                    self.scopes[scope].throttle *= if on { size } else { 1.0 / size };
                }
            }
            _ => {}
        }
        if !on && !self.endpoint_states[endpoint].is_stalled() && !self.endpoint_states[endpoint].is_down() {
            self.resume_endpoint(now, endpoint);
        }
        if !on && matches!(t.what, What::Crash | What::Flap | What::Hang) {
            self.endpoint_states[endpoint].warming_since = Some(now);
        }
        let scope = self.endpoint_states[endpoint].scope;
        self.update_outage(now, scope);
    }

    /// Finishes calls that were stalled and starts queued ones.
    fn resume_endpoint(&mut self, now: Time, endpoint: usize) {
        for call in std::mem::take(&mut self.endpoint_states[endpoint].stalled_calls) {
            self.service_done(now, call);
        }
        self.next_in_queue(now, endpoint);
    }

    /// Updates whether a scope is in an outage as the rule defines it; a scope that returns is cold.
    pub fn update_outage(&mut self, now: Time, scope: usize) {
        let there = self.scopes[scope].endpoints.iter().filter(|&&e| !self.endpoint_states[e].removed);
        let (mut all, mut out) = (0, 0);
        for &endpoint in there {
            all += 1;
            out += usize::from(self.endpoint_states[endpoint].is_out());
        }
        let is_out = all > 0 && out == all;
        let u = &mut self.scopes[scope];
        if is_out == u.in_outage {
            return;
        }
        u.in_outage = is_out;
        if is_out {
            u.outage += 1;
        } else {
            u.returned_at = Some(now);
            (u.recent_work, u.informed_work) = (0.0, 0.0);
            u.recent_load.clear();
            for endpoint in u.endpoints.clone() {
                self.endpoint_states[endpoint].warming_since = Some(now);
            }
        }
        self.trace.record_event(now, 31, [scope as u32, u32::from(is_out)]);
    }

    /// Troubles that start and stop repeatedly while they last.
    pub fn pulse(&mut self, now: Time, index: usize, on: bool) {
        let day = self.day.clone();
        let t = &day.troubles[index];
        if on && now >= t.until {
            return;
        }
        t.endpoints.iter().for_each(|&endpoint| self.apply_to_endpoint(now, index, endpoint, on));
        let next = match (t.what, on) {
            (What::Pauses, true) => (t.size * (SECOND / 1000) as f64) as Time,
            (What::Pauses, false) => PAUSE_EVERY,
            _ => (t.size * SECOND as f64) as Time,
        };
        let at = if on { (now + next).min(t.until.max(now + 1)) } else { now + next };
        self.event_queue.schedule(at.max(now + 1), Event::TroublePulse { index: index as u32, on: !on });
    }

    /// Endpoints drain and are then removed; with `Replace`, cold replacements are added at the same time.
    fn replace(&mut self, now: Time, index: usize, on: bool) {
        let day = self.day.clone();
        let t = &day.troubles[index];
        for (i, &endpoint) in t.endpoints.iter().enumerate() {
            if self.endpoint_states[endpoint].removed {
                continue;
            }
            if on {
                self.record_change(now, endpoint, EndpointStatus::Draining);
                if let Some(&newcomer) = t.newcomers.get(i) {
                    (self.endpoint_states[newcomer].removed, self.endpoint_states[newcomer].warming_since) =
                        (false, Some(now));
                    self.record_change(now, newcomer, EndpointStatus::Ready);
                }
            } else {
                self.endpoint_states[endpoint].removed = true;
                self.crash_endpoint(now, endpoint);
                self.record_change(now, endpoint, EndpointStatus::Removed);
            }
            let scope = self.endpoint_states[endpoint].scope;
            self.update_outage(now, scope);
        }
    }
}
