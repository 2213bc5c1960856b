//! A day as it runs: all that there is, and the loop that takes one event after the other. What each event does stands
//! beside: `clients` (mails come in and come again), `turns` (a courier decides), `calls` (a call goes out and its
//! answer comes back), `serving` (what a destination does with it), `troubles`, `listing`.

use std::rc::Rc;

use meadowhold::interface::{Action, Input, Time, SECOND};

use crate::chance::{Purpose, Stream};
use crate::day::Day;
use crate::decider::{DeciderFactory, WorldView};
use crate::event_queue::EventQueue;
use crate::judge::Judge;
use crate::parts::{Call, Courier, DedupEntry, EndpointState, Event, LimitScope, Mail, Phase};
use crate::scenario::Limit;
use crate::series::Sample;
use crate::trace::Trace;

/// What a run is asked for beyond its figures.
#[derive(Clone, Copy, Debug, Default)]
pub struct Options {
    /// Keep the history of this mail.
    pub watch: Option<u32>,
    /// Sample the state for plots this often; 0: not at all.
    pub sample_every: Time,
}

/// Counts of what was done, whatever it was worth.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    pub events: u64,
    pub turns: u64,
    pub connects: u64,
    pub calls: u64,
    pub handshakes: u64,
    pub refused: u64,
    pub silent: u64,
    pub broken: u64,
    pub errors: u64,
    pub unreached: u64,
    pub unsent: u64,
    pub turned_away: u64,
    pub repeats_dropped: u64,
    /// Work done at destinations, and the part of it whose answer was heard, in tenths of a millisecond.
    pub work: f64,
    pub heard_work: f64,
    /// Calls beyond a courier's slots: a fault of the decider.
    pub over_slots: u64,
    pub fallen: u64,
}

pub struct World<'m> {
    pub day: Rc<Day>,
    pub factory: &'m DeciderFactory,
    pub options: Options,
    pub event_queue: EventQueue<Event>,
    pub mails: Vec<Mail>,
    pub calls: Vec<Call>,
    pub endpoint_states: Vec<EndpointState>,
    pub scopes: Vec<LimitScope>,
    pub couriers: Vec<Courier>,
    pub judge: Judge,
    pub counts: Counts,
    pub trace: Trace,
    pub samples: Vec<Sample>,
    /// The day's stream of mails, and the traffic's sums by which a destination is drawn.
    pub arrivals: Stream,
    pub traffic_sums: Vec<f64>,
    pub class_sums: Vec<f64>,
    pub mails_accepted: u64,
    /// Couriers that the front holds to be alive.
    pub front_alive: Vec<bool>,
    /// Troubles under way that change who gets mails, and how many.
    pub hot_troubles: Vec<usize>,
    pub zone_shifts: Vec<usize>,
    pub burst: f64,
    /// From zone, to zone: troubles that cut the way.
    pub cut_links: Vec<Vec<u16>>,
    pub list: crate::listing::List,
    /// Repeats that a destination knows, by mail and zone (or 0 where all zones know it together).
    pub dedup: std::collections::HashMap<(u32, usize), DedupEntry>,
    pub actions: Vec<Action>,
}

/// The end of a run: everything that figures are made of.
pub struct Ended {
    pub day: Rc<Day>,
    pub mails: Vec<Mail>,
    pub judge: Judge,
    pub counts: Counts,
    pub samples: Vec<Sample>,
    pub hash: u64,
    pub history: Vec<(Time, String)>,
    pub peak_out: usize,
}

impl World<'_> {
    pub fn new(day: Rc<Day>, factory: &DeciderFactory, options: Options) -> World<'_> {
        let sum = |weights: &mut dyn Iterator<Item = f64>| -> Vec<f64> {
            weights
                .scan(0.0, |sum, weight| {
                    *sum += weight;
                    Some(*sum)
                })
                .collect()
        };
        let mut scopes: Vec<LimitScope> = Vec::new();
        let mut endpoint_states = Vec::with_capacity(day.endpoints.len());
        let mut shared = vec![usize::MAX; day.destinations.len()];
        for (e, endpoint) in day.endpoints.iter().enumerate() {
            let destination = endpoint.destination;
            if day.destinations[destination].apart || shared[destination] == usize::MAX {
                shared[destination] = scopes.len();
                scopes.push(LimitScope { destination, throttle: 1.0, tokens: 1.0, ..LimitScope::default() });
            }
            let scope =
                if day.destinations[destination].apart { scopes.len() - 1 } else { shared[destination] };
            scopes[scope].endpoints.push(e);
            let mut state = EndpointState::new(scope);
            state.removed = endpoint.newcomer;
            endpoint_states.push(state);
        }
        let zones = day.zones.len();
        let mut world = World {
            factory,
            options,
            event_queue: EventQueue::default(),
            mails: Vec::new(),
            calls: Vec::new(),
            endpoint_states,
            scopes,
            couriers: day.couriers.iter().map(|&zone| Courier::new(zone)).collect(),
            judge: Judge::default(),
            counts: Counts::default(),
            trace: Trace::new(options.watch),
            samples: Vec::new(),
            arrivals: Stream::new(day.seed, Purpose::Arrivals, 0),
            traffic_sums: sum(&mut day.destinations.iter().map(|p| p.share)),
            class_sums: sum(&mut day.classes.iter().map(|c| c.share)),
            mails_accepted: 0,
            front_alive: vec![true; day.couriers.len()],
            hot_troubles: Vec::new(),
            zone_shifts: Vec::new(),
            burst: 1.0,
            cut_links: vec![vec![0; zones]; zones],
            list: crate::listing::List::default(),
            dedup: Default::default(),
            actions: Vec::new(),
            day,
        };
        world.schedule_start();
        world
    }

    fn schedule_start(&mut self) {
        for courier in 0..self.couriers.len() {
            self.start_process(courier);
        }
        self.event_queue.schedule(0, Event::NextArrival);
        for index in 0..self.day.troubles.len() {
            let (from, until) = (self.day.troubles[index].from, self.day.troubles[index].until);
            self.event_queue.schedule(from, Event::Trouble { index: index as u32, on: true });
            self.event_queue.schedule(until.max(from + 1), Event::Trouble { index: index as u32, on: false });
        }
        if self.options.sample_every > 0 {
            self.event_queue.schedule(0, Event::Sample);
        }
    }

    pub fn run(mut self) -> Ended {
        // Beyond this nothing that was sent can still have an effect that the rules ask about.
        let longest = self.day.classes.iter().map(|c| c.settings.lifetime).max().unwrap_or(0);
        let troubled = self.day.troubles.iter().map(|t| t.until).max().unwrap_or(0);
        let end = self.day.length.max(troubled) + longest + 10 * SECOND;
        while let Some((now, event)) = self.event_queue.pop() {
            if now > end {
                break;
            }
            self.handle_event(now, event);
        }
        self.close();
        let peak_out = self.couriers.iter().map(|c| c.peak_out).max().unwrap_or(0);
        self.counts.events = self.event_queue.count();
        let (hash, history) = self.trace.end();
        Ended {
            day: self.day,
            mails: self.mails,
            judge: self.judge,
            counts: self.counts,
            samples: self.samples,
            hash,
            history,
            peak_out,
        }
    }

    fn handle_event(&mut self, now: Time, event: Event) {
        match event {
            Event::NextArrival => self.next_mail(now),
            Event::Clump { destination, left } => self.clump(now, destination, left),
            Event::HandIn { mail, courier } => self.hand_in(now, mail, courier),
            Event::Resubmit { mail } => self.submit(now, mail),
            Event::HangUp { mail, tries } => self.hang_up(now, mail, tries),
            Event::Turn { courier, at } => self.turn(now, courier as usize, at),
            Event::Connected { call } => self.connected(now, call),
            Event::Unreached { call } => self.unreached(now, call),
            Event::CallArrives { call } => self.call_arrives(now, call),
            Event::ServiceDone { call } => self.service_done(now, call),
            Event::Answer { call, reply } => self.answer(now, call, reply),
            Event::Timeout { call } => self.timeout(now, call),
            Event::CloseIdle { courier, endpoint } => self.close_expired(now, courier as usize, endpoint),
            Event::Trouble { index, on } => self.trouble(now, index as usize, on),
            Event::TroublePulse { index, on } => self.pulse(now, index as usize, on),
            Event::Publish { change } => self.publish(now, change as usize),
            Event::ListUpdate { courier, process, upto } => {
                self.deliver_list_update(now, courier as usize, process, upto as usize)
            }
            Event::ListResponse { courier, process } => self.list_response(now, courier as usize, process),
            Event::CourierCrash { courier } => self.crash_courier(now, courier as usize),
            Event::CourierRestart { courier } => self.restart_courier(now, courier as usize),
            Event::FrontNotice { courier, alive } => self.front_alive[courier as usize] = alive,
            Event::Sample => self.sample(now),
        }
    }

    /// A new process of a courier: a decider without a memory, and the list.
    pub fn start_process(&mut self, courier: usize) {
        let settings = self.day.settings(courier, self.couriers[courier].process);
        let c = &mut self.couriers[courier];
        c.decider = Some((self.factory)(courier, settings));
        (c.alive, c.watching_list) = (true, false);
        c.turn_at = None;
        self.queue_first_list(courier);
        let now = self.event_queue.now();
        self.schedule_turn(courier, now);
    }

    /// Sees to it that a courier has a turn at this time or earlier, but no earlier than the resolution allows.
    pub fn schedule_turn(&mut self, courier: usize, at: Time) {
        let resolution = self.day.settings.timer_resolution;
        let c = &mut self.couriers[courier];
        if !c.alive {
            return;
        }
        let at = c.last_turn.map_or(at, |last| at.max(last + resolution)).max(c.paused_until);
        if c.turn_at.is_none_or(|set| at < set) {
            c.turn_at = Some(at);
            self.event_queue.schedule(at, Event::Turn { courier: courier as u32, at });
        }
    }

    pub fn push_input(&mut self, courier: usize, input: Input) {
        self.couriers[courier].inputs.push(input);
        let now = self.event_queue.now();
        self.schedule_turn(courier, now);
    }

    /// Whether something gets from one zone to another just now.
    pub fn link_open(&self, from: usize, to: usize) -> bool {
        self.cut_links[from][to] == 0
    }

    /// How warm an endpoint is: part of its capacity.
    pub fn warmth(&self, endpoint: usize, now: Time) -> f64 {
        let p = &self.day.destinations[self.day.endpoints[endpoint].destination];
        match self.endpoint_states[endpoint].warming_since {
            Some(since) if p.cold > 0 && now < since + p.cold => {
                p.cold_from + (1.0 - p.cold_from) * (now - since) as f64 / p.cold as f64
            }
            _ => 1.0,
        }
    }

    /// Calls a second that a unit can serve at the warmth that it has. A slowness that has come on top is left out: the
    /// rule on returning destinations is about what is cold, and no courier is told more of it.
    pub fn current_capacity(&self, scope: usize, now: Time) -> f64 {
        let well = self.scopes[scope].endpoints.iter().filter(|&&e| !self.endpoint_states[e].is_down());
        well.map(|&e| self.day.capacity(e) * self.warmth(e, now)).sum()
    }

    /// Whether a unit's limit has room for a call, `ahead` of them being on their way.
    pub fn limit_has_room(&self, scope: usize, now: Time, ahead: usize) -> bool {
        match self.day.destinations[self.scopes[scope].destination].limit {
            Limit::None => true,
            Limit::Rate => self.tokens(scope, now) >= 1.0 + ahead as f64,
            Limit::Span => self.span_used(scope, now) + ahead as f64 + 1.0 <= self.span_allows(scope),
        }
    }

    /// Calls a second that a unit's limit allows just now.
    pub fn rate(&self, scope: usize) -> f64 {
        let u = &self.scopes[scope];
        self.day.destinations[u.destination].rate * u.throttle
    }

    /// What is left of a plain rate.
    pub fn tokens(&self, scope: usize, now: Time) -> f64 {
        let (u, rate) = (&self.scopes[scope], self.rate(scope));
        let gained = rate * (now - u.tokens_at) as f64 / SECOND as f64;
        (u.tokens + gained).min(rate.max(1.0))
    }

    /// Calls that a span allows, and those that count in the present one.
    pub fn span_allows(&self, scope: usize) -> f64 {
        let span = self.day.destinations[self.scopes[scope].destination].span;
        (self.rate(scope) * span as f64 / SECOND as f64).max(1.0)
    }

    pub fn span_used(&self, scope: usize, now: Time) -> f64 {
        let u = &self.scopes[scope];
        if now / self.day.destinations[u.destination].span == u.span {
            u.used
        } else {
            0.0
        }
    }
}

impl WorldView for World<'_> {
    fn answer_in(&self, courier: usize, endpoint: usize, class: usize) -> Option<(f64, f64)> {
        let (now, state) = (self.event_queue.now(), &self.endpoint_states[endpoint]);
        let e = &self.day.endpoints[endpoint];
        let zone = self.couriers[courier].zone;
        let in_transit: usize =
            self.scopes[state.scope].endpoints.iter().map(|&e| self.endpoint_states[e].in_transit).sum();
        let waiting = state.queue.len() + state.in_transit;
        let bad = state.is_down() || state.shut > 0 || state.half_open > 0 || state.is_stalled();
        let struck = state.class_errors.iter().filter(|(c, _)| *c == class);
        let well = struck
            .fold((1.0 - state.errors.min(1.0)) * (1.0 - state.resets.min(1.0)), |w, (_, e)| w * (1.0 - e));
        let sure = well * (1.0 - state.lost.min(1.0));
        // Who waits at the destination can't be overtaken; who waits at the courier can. A call may be on its way
        // while another ends.
        let full = state.active.len() + waiting > e.slots;
        let cut = !self.link_open(zone, e.zone) || !self.link_open(e.zone, zone);
        let kept = self.couriers[courier].idle.get(&(endpoint as u32)).is_some_and(|idle| !idle.is_empty());
        let barred = e.connections > 0 && state.connections >= e.connections && !kept;
        if bad || full || barred || cut || sure <= 0.0 || !self.limit_has_room(state.scope, now, in_transit) {
            return None;
        }
        let ahead = (waiting + state.active.len()) as f64 / e.slots as f64;
        let service = self.day.mean_service(e.destination) * state.slow / self.warmth(endpoint, now);
        Some((2.0 * self.day.zone_latency[zone][e.zone] as f64 + service * (1.0 + ahead.floor()), sure))
    }
}

impl World<'_> {
    /// Whether a call is still of the process that began it, and that process waits for it.
    pub fn is_awaited(&self, call: u32) -> bool {
        let c = &self.calls[call as usize];
        let courier = &self.couriers[c.courier as usize];
        c.open && c.phase != Phase::Ended && courier.alive && courier.process == c.process
    }
}
