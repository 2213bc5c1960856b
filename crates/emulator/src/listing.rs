//! The list of endpoints: what is true gets on it late, couriers hear of it later still, and troubles make it lag,
//! stall, lie or come empty.

use meadowhold::interface::{EndpointStatus, Input, ListEntry, Time, SECOND};

use crate::chance::{Purpose, Stream};
use crate::parts::Event;
use crate::scenario::ListMode;
use crate::world::World;

#[derive(Default)]
pub struct List {
    /// True changes, in order, and those that wait for the list to go on.
    changes: Vec<(usize, EndpointStatus)>,
    waiting: Vec<usize>,
    /// What was published, in order; couriers hear of it up to a point.
    log: Vec<(usize, EndpointStatus)>,
    /// Troubles under way: further seconds behind, and stalls.
    pub lag: Time,
    pub stalls: u16,
}

impl World<'_> {
    fn entry(&self, endpoint: usize, life: EndpointStatus) -> Input {
        let e = &self.day.endpoints[endpoint];
        let p = &self.day.destinations[e.destination];
        Input::ListEntry(ListEntry {
            endpoint,
            destination: e.destination,
            zone: e.zone,
            kind: p.kind,
            status: life,
            rate: p.listed_rate,
        })
    }

    /// What is published of each endpoint just now, in the order of the endpoints.
    pub fn full_list(&self) -> Vec<Input> {
        let mut lives: Vec<Option<EndpointStatus>> =
            self.day.endpoints.iter().map(|e| (!e.newcomer).then_some(EndpointStatus::Ready)).collect();
        self.list.log.iter().for_each(|&(endpoint, life)| lives[endpoint] = Some(life));
        let named = lives.iter().enumerate().filter_map(|(e, life)| life.map(|life| (e, life)));
        let named = named.filter(|(_, life)| *life != EndpointStatus::Removed);
        let entries = named.map(|(endpoint, life)| self.entry(endpoint, life));
        let begin = std::iter::once(Input::ListBegin { complete: true });
        begin.chain(entries).chain(std::iter::once(Input::ListEnd)).collect()
    }

    /// A new process hears the list first, unless it has to ask.
    pub fn queue_first_list(&mut self, courier: usize) {
        self.couriers[courier].list_position = self.list.log.len();
        self.couriers[courier].full_list_due = self.day.list_mode == ListMode::Push;
    }

    /// An endpoint's life has changed: it will be on the list.
    pub fn record_change(&mut self, now: Time, endpoint: usize, life: EndpointStatus) {
        self.list.changes.push((endpoint, life));
        let change = self.list.changes.len() as u32 - 1;
        let at = now + self.day.list_lag + self.list.lag;
        self.event_queue.schedule(at, Event::Publish { change });
    }

    pub fn publish(&mut self, now: Time, change: usize) {
        if self.list.stalls > 0 {
            self.list.waiting.push(change);
            return;
        }
        let (endpoint, life) = self.list.changes[change];
        self.announce(now, endpoint, life);
    }

    /// Something stands on the list, true or not, and couriers hear of it one after the other.
    pub fn announce(&mut self, now: Time, endpoint: usize, life: EndpointStatus) {
        self.list.log.push((endpoint, life));
        let upto = self.list.log.len() as u32;
        for courier in 0..self.couriers.len() {
            let c = &self.couriers[courier];
            if !c.alive || (self.day.list_mode == ListMode::Ask && !c.watching_list) {
                continue;
            }
            let index = (courier as u64) << 32 | u64::from(upto);
            let part = Stream::new(self.day.seed, Purpose::List, index).unit();
            let at = now + (self.day.list_spread as f64 * part) as Time + 1;
            self.event_queue
                .schedule(at, Event::ListUpdate { courier: courier as u32, process: c.process, upto });
        }
    }

    pub fn deliver_list_update(&mut self, now: Time, courier: usize, process: u32, upto: usize) {
        let c = &self.couriers[courier];
        if !c.alive || c.process != process || c.list_position >= upto {
            return;
        }
        if self.list.stalls > 0 {
            // It was on its way when the list fell silent: it comes once that is over.
            self.event_queue.schedule(
                now + SECOND / 2,
                Event::ListUpdate { courier: courier as u32, process, upto: upto as u32 },
            );
            return;
        }
        let news: Vec<Input> = self.list.log[c.list_position..upto]
            .iter()
            .map(|&(endpoint, life)| self.entry(endpoint, life))
            .collect();
        let c = &mut self.couriers[courier];
        c.list_position = upto;
        c.inputs.push(Input::ListBegin { complete: false });
        c.inputs.extend(news);
        self.push_input(courier, Input::ListEnd);
    }

    pub fn ask_list(&mut self, now: Time, courier: usize) {
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

    /// The list goes on after a stall.
    pub fn resume_list(&mut self, now: Time) {
        for change in std::mem::take(&mut self.list.waiting) {
            self.publish(now, change);
        }
    }

    /// All couriers are told that the list is empty, or all of it anew.
    pub fn resend_list(&mut self, now: Time, empty: bool) {
        for courier in 0..self.couriers.len() {
            if !self.couriers[courier].alive {
                continue;
            }
            let told = if empty {
                vec![Input::ListBegin { complete: true }, Input::ListEnd]
            } else {
                self.full_list()
            };
            self.couriers[courier].list_position = self.list.log.len();
            self.couriers[courier].inputs.extend(told);
            self.schedule_turn(courier, now);
        }
    }

    /// A whole list leaves out what is gone: the judge holds the courier to that too.
    pub fn judge_unnamed(&mut self, now: Time, courier: usize, inputs: &[Input]) {
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
