//! The course of a call: the connection is made, the request is sent, and the answer arrives or times out.

use meadowhold::interface::{Outcome, Time};

use crate::parts::{Event, Phase, Reply, Stage};
use crate::world::World;

impl World<'_> {
    /// The connection is open. The courier checks once more whether the call may start, then sends it.
    pub fn connected(&mut self, now: Time, call: u32) {
        if !self.is_awaited(call) {
            self.close_connection(call);
            return;
        }
        let c = &self.calls[call as usize];
        let (courier, process, endpoint, incarnation) = (c.courier, c.process, c.endpoint, c.incarnation);
        let decider = self.couriers[courier as usize].decider.as_ref();
        let may = decider.is_some_and(|d| d.may_call(endpoint as usize, now));
        if !may {
            self.counts.unsent += 1;
            self.calls[call as usize].connected = false;
            self.keep_connection(now, courier as usize, endpoint, incarnation);
            self.report_outcome(now, call, Reply::with_outcome(Outcome::Unsent), |_| true);
            self.calls[call as usize].phase = Phase::Ended;
            return;
        }
        // Mails that were closed while the connection was being made are not sent.
        let over: Vec<u32> = self.calls[call as usize]
            .connects
            .iter()
            .filter(|r| {
                let m = &self.mails[r.mail as usize];
                !r.reported && (m.stage != Stage::Accepted || m.courier != courier)
            })
            .map(|r| r.mail)
            .collect();
        if !over.is_empty() {
            self.report_outcome(now, call, Reply::with_outcome(Outcome::Unsent), |r| over.contains(&r.mail));
        }
        if !self.calls[call as usize].open {
            self.calls[call as usize].phase = Phase::Ended;
            self.close_connection(call);
            return;
        }
        let c = &mut self.calls[call as usize];
        (c.phase, c.started) = (Phase::InTransit, now);
        let scope = self.endpoint_states[endpoint as usize].scope;
        let grace = self.day.drain_grace;
        for i in 0..self.calls[call as usize].connects.len() {
            let connect = self.calls[call as usize].connects[i];
            if connect.reported {
                continue;
            }
            self.counts.connects += 1;
            let m = &mut self.mails[connect.mail as usize];
            m.connects += 1;
            let (key, again) = (m.key, m.connects > 1);
            if i == 0 {
                self.judge.sent((courier, process), (endpoint as usize, scope), connect.mail, now, grace);
            }
            if let Some(key) = key {
                self.judge.sent_in_order(courier, key, connect.mail, again, now);
            }
            self.trace.record_event(now, 11, [connect.mail, endpoint]);
            self.trace.record_history(now, connect.mail, || {
                format!("goes out to endpoint {endpoint}, call {call}")
            });
        }
        let zone = self.day.endpoints[endpoint as usize].zone;
        if self.link_open(self.couriers[courier as usize].zone, zone) {
            let at = now + self.calls[call as usize].latency[0];
            self.event_queue.schedule(at, Event::CallArrives { call });
        } else {
            self.leave_transit(call);
            self.calls[call as usize].phase = Phase::Lost;
        }
    }

    /// A call has arrived at its endpoint, or no longer will.
    pub fn leave_transit(&mut self, call: u32) {
        let c = &mut self.calls[call as usize];
        if std::mem::take(&mut c.in_transit) {
            self.endpoint_states[c.endpoint as usize].in_transit -= 1;
        }
    }

    pub fn unreached(&mut self, now: Time, call: u32) {
        if self.is_awaited(call) {
            self.counts.unreached += 1;
            self.report_outcome(now, call, Reply::with_outcome(Outcome::Unreached), |_| true);
            self.calls[call as usize].phase = Phase::Ended;
        }
    }

    /// Sends an endpoint's reply unless the link back to the courier is cut.
    pub fn send_reply(&mut self, now: Time, call: u32, reply: Reply, after: Time) {
        let c = &self.calls[call as usize];
        let zone = self.day.endpoints[c.endpoint as usize].zone;
        if self.link_open(zone, self.couriers[c.courier as usize].zone) {
            self.event_queue.schedule(now + after + c.latency[1], Event::Answer { call, reply });
        }
    }

    pub fn answer(&mut self, now: Time, call: u32, reply: Reply) {
        if !self.is_awaited(call) {
            self.close_connection(call);
            return;
        }
        let c = &mut self.calls[call as usize];
        let (courier, endpoint, incarnation) = (c.courier as usize, c.endpoint, c.incarnation);
        c.phase = Phase::Ended;
        match reply.outcome {
            Outcome::Relayed => self.counts.heard_work += self.calls[call as usize].work,
            Outcome::Refused => self.counts.refused += self.calls[call as usize].connects.len() as u64,
            Outcome::Error => self.counts.errors += 1,
            _ => self.counts.broken += 1,
        }
        if reply.outcome == Outcome::Broken {
            self.close_connection(call);
        } else if self.calls[call as usize].connected {
            self.calls[call as usize].connected = false;
            self.keep_connection(now, courier, endpoint, incarnation);
        }
        self.report_outcome(now, call, reply, |_| true);
    }

    /// Some connects have timed out. Once all have, the connection is closed, and the call continues with
    /// nobody waiting for it.
    pub fn timeout(&mut self, now: Time, call: u32) {
        if !self.is_awaited(call) {
            return;
        }
        let connecting = self.calls[call as usize].phase == Phase::Connecting;
        let outcome = if connecting { Outcome::Unsent } else { Outcome::Silent };
        self.counts.silent += u64::from(!connecting);
        self.report_outcome(now, call, Reply::with_outcome(outcome), |r| r.timeout_at <= now);
        if !self.calls[call as usize].open && !connecting {
            self.close_connection(call);
        }
    }

    /// Stops counting a call's connection at its endpoint.
    pub fn close_connection(&mut self, call: u32) {
        let c = &mut self.calls[call as usize];
        let state = &mut self.endpoint_states[c.endpoint as usize];
        if std::mem::take(&mut c.connected) && c.incarnation == state.incarnation {
            state.connections = state.connections.saturating_sub(1);
        }
    }
}
