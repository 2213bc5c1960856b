//! Samples of the state for plots, taken only on request.

use meadowhold::control::Health;
use meadowhold::interface::Time;
use serde::Serialize;

use crate::parts::Event;
use crate::world::World;

/// Number of destinations, and of couriers, that are sampled in detail.
pub const DESTINATIONS: usize = 8;
const COURIERS: usize = 16;

/// One destination: calls in flight, caps and parked mails summed over the sampled couriers, the calls a
/// second it can serve, and the number of endpoints by health (healthy, suspect, down, recovering), summed
/// likewise.
#[derive(Clone, Debug, Default, Serialize)]
pub struct DestinationSample {
    pub out: usize,
    pub cap: usize,
    pub parked: usize,
    pub capacity: f64,
    pub standings: [usize; 4],
}

#[derive(Clone, Debug, Default, Serialize)]
pub struct Sample {
    /// Tenths of a millisecond from the start of the day.
    pub at: Time,
    pub open: usize,
    pub out: usize,
    pub alive: usize,
    pub refused: u64,
    pub connects: u64,
    pub dests: Vec<DestinationSample>,
}

impl World<'_> {
    pub fn sample(&mut self, now: Time) {
        let mut sample = Sample { at: now, ..Sample::default() };
        for c in &self.couriers {
            sample.open += c.mails_held;
            sample.out += c.calls_in_flight;
            sample.alive += usize::from(c.alive);
        }
        (sample.refused, sample.connects) = (self.counts.refused, self.counts.connects);
        for destination in 0..self.day.destinations.len().min(DESTINATIONS) {
            let p = &self.day.destinations[destination];
            let mut seen = DestinationSample::default();
            for decider in self.couriers.iter().take(COURIERS).filter_map(|c| c.decider.as_ref()) {
                if let Some((cap, out, parked)) = decider.destination_load(destination) {
                    seen.cap += cap;
                    seen.out += out;
                    seen.parked += parked;
                }
                for endpoint in p.first..p.first + p.count {
                    if let Some(standing) = decider.health(endpoint) {
                        let band = match standing {
                            Health::Healthy => 0,
                            Health::Suspect => 1,
                            Health::Down => 2,
                            Health::Recovering => 3,
                        };
                        seen.standings[band] += 1;
                    }
                }
            }
            let ends = (p.first..p.first + p.count).filter(|&e| {
                let state = &self.endpoint_states[e];
                !state.is_out() && !state.is_stalled()
            });
            let rate = |e: usize| self.day.capacity(e) * self.warmth(e, now) / self.endpoint_states[e].slow;
            seen.capacity = ends.map(rate).sum();
            sample.dests.push(seen);
        }
        self.samples.push(sample);
        if now + self.options.sample_every <= self.day.length {
            self.event_queue.schedule(now + self.options.sample_every, Event::Sample);
        }
    }
}
