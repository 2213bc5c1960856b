//! The list of endpoints. Changes are published after a lag, and couriers receive them later still. Troubles
//! delay, stall, falsify or empty the list.

use meadowhold::interface::{EndpointStatus, Input, ListEntry, Time, SECOND};

use crate::chance::{Purpose, Stream};
use crate::parts::Event;
use crate::scenario::ListMode;
use crate::world::World;

#[derive(Default)]
pub struct List {
    /// Actual changes in order, and the indices of those held back by a stall.
    changes: Vec<(usize, EndpointStatus)>,
    waiting: Vec<usize>,
    /// Published changes in order; each courier has received a prefix of them.
    log: Vec<(usize, EndpointStatus)>,
    /// Sum of the delays, and number of the stalls, of active troubles.
    pub lag: Time,
    pub stalls: u16,
}

impl World<'_> {
    fn entry(&self, endpoint: usize, status: EndpointStatus) -> Input {
        let e = &self.day.endpoints[endpoint];
        let p = &self.day.destinations[e.destination];
        Input::ListEntry(ListEntry {
            endpoint,
            destination: e.destination,
            zone: e.zone,
            kind: p.kind,
            status,
            rate: p.listed_rate,
        })
    }

    /// The complete list as published now, in the order of the endpoints.
    pub fn full_list(&self) -> Vec<Input> {
        let mut statuses: Vec<Option<EndpointStatus>> =
            self.day.endpoints.iter().map(|e| (!e.newcomer).then_some(EndpointStatus::Ready)).collect();
        self.list.log.iter().for_each(|&(endpoint, status)| statuses[endpoint] = Some(status));
        let named = statuses.iter().enumerate().filter_map(|(e, status)| status.map(|status| (e, status)));
        let named = named.filter(|(_, status)| *status != EndpointStatus::Removed);
        let entries = named.map(|(endpoint, status)| self.entry(endpoint, status));
        let begin = std::iter::once(Input::ListBegin { complete: true });
        begin.chain(entries).chain(std::iter::once(Input::ListEnd)).collect()
    }

    /// Sends the list to a new process, unless it has to request it.
    pub fn queue_first_list(&mut self, courier: usize) {
        self.couriers[courier].list_position = self.list.log.len();
        self.couriers[courier].full_list_due = self.day.list_mode == ListMode::Push;
    }

    /// The status of an endpoint has changed; the list will show it after its lag.
    pub fn record_change(&mut self, now: Time, endpoint: usize, status: EndpointStatus) {
        self.list.changes.push((endpoint, status));
        let change = self.list.changes.len() as u32 - 1;
        let at = now + self.day.list_lag + self.list.lag;
        self.event_queue.schedule(at, Event::Publish { change });
    }

    pub fn publish(&mut self, now: Time, change: usize) {
        if self.list.stalls > 0 {
            self.list.waiting.push(change);
            return;
        }
        let (endpoint, status) = self.list.changes[change];
        self.announce(now, endpoint, status);
    }

    /// Publishes a status, true or not; couriers receive it one after the other.
    pub fn announce(&mut self, now: Time, endpoint: usize, status: EndpointStatus) {
        self.list.log.push((endpoint, status));
        let position = self.list.log.len() as u32;
        for courier in 0..self.couriers.len() {
            let c = &self.couriers[courier];
            if !c.alive || (self.day.list_mode == ListMode::Ask && !c.watching_list) {
                continue;
            }
            let index = (courier as u64) << 32 | u64::from(position);
            let part = Stream::new(self.day.seed, Purpose::List, index).unit();
            let at = now + (self.day.list_spread as f64 * part) as Time + 1;
            self.event_queue
                .schedule(at, Event::ListUpdate { courier: courier as u32, process: c.process, position });
        }
    }

    pub fn deliver_list_update(&mut self, now: Time, courier: usize, process: u32, position: usize) {
        let c = &self.couriers[courier];
        if !c.alive || c.process != process || c.list_position >= position {
            return;
        }
        if self.list.stalls > 0 {
            // The update was in flight when the list stalled; it is delivered after the stall.
            self.event_queue.schedule(
                now + SECOND / 2,
                Event::ListUpdate { courier: courier as u32, process, position: position as u32 },
            );
            return;
        }
        let updates: Vec<Input> = self.list.log[c.list_position..position]
            .iter()
            .map(|&(endpoint, status)| self.entry(endpoint, status))
            .collect();
        let c = &mut self.couriers[courier];
        c.list_position = position;
        c.inputs.push(Input::ListBegin { complete: false });
        c.inputs.extend(updates);
        self.push_input(courier, Input::ListEnd);
    }

    pub fn request_list(&mut self, now: Time, courier: usize) {
        let process = self.couriers[courier].process;
        let at = now + SECOND / 20;
        self.event_queue.schedule(at, Event::ListResponse { courier: courier as u32, process });
    }

    pub fn list_response(&mut self, now: Time, courier: usize, process: u32) {
        if !self.couriers[courier].alive || self.couriers[courier].process != process {
            return;
        }
        if self.list.stalls > 0 {
            self.push_input(courier, Input::ListFailed);
            return;
        }
        let whole = self.full_list();
        let c = &mut self.couriers[courier];
        (c.list_position, c.watching_list) = (self.list.log.len(), true);
        c.inputs.extend(whole);
        self.schedule_turn(courier, now);
    }

    /// Publishes what a stall held back.
    pub fn resume_list(&mut self, now: Time) {
        for change in std::mem::take(&mut self.list.waiting) {
            self.publish(now, change);
        }
    }

    /// Sends all couriers an empty list, or the complete one.
    pub fn resend_list(&mut self, now: Time, empty: bool) {
        for courier in 0..self.couriers.len() {
            if !self.couriers[courier].alive {
                continue;
            }
            let list = if empty {
                vec![Input::ListBegin { complete: true }, Input::ListEnd]
            } else {
                self.full_list()
            };
            self.couriers[courier].list_position = self.list.log.len();
            self.couriers[courier].inputs.extend(list);
            self.schedule_turn(courier, now);
        }
    }

    /// Endpoints missing from a complete list count as removed; the judge records that the courier has read
    /// it.
    pub fn record_missing_entries(&mut self, now: Time, courier: usize, inputs: &[Input]) {
        let begin =
            inputs.iter().rposition(|i| matches!(i, Input::ListBegin { complete: true })).unwrap_or(0);
        let mut named = vec![false; self.endpoint_states.len()];
        for input in &inputs[begin..] {
            if let Input::ListEntry(entry) = input {
                named[entry.endpoint] = true;
            }
        }
        let process = self.couriers[courier].process;
        for (endpoint, _) in named.iter().enumerate().filter(|(_, named)| !**named) {
            self.judge.status_read(courier as u32, process, endpoint, false, now);
        }
    }
}
