//! The state of one simulated day and its event loop. The handlers of the events are in `clients` (arrivals
//! and retries), `turns` (a courier's turns), `calls` (a call and its answer), `serving` (what an endpoint
//! does with a call), `troubles` and `listing`.

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

/// What a run records in addition to its figures.
#[derive(Clone, Copy, Debug, Default)]
pub struct Options {
    /// Record the history of this mail.
    pub watch: Option<u32>,
    /// Interval between samples of the state for plots; 0 takes no samples.
    pub sample_every: Time,
}

/// Running totals of a day.
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
    /// Work done at destinations, and the part of it whose answer reached the courier, in tenths of a
    /// millisecond.
    pub work: f64,
    pub heard_work: f64,
    /// Calls that exceeded a courier's slots, which is an error of the decider.
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
    /// The stream that mail arrivals are drawn from, then cumulative sums of traffic by destination and of
    /// shares by queue class.
    pub arrivals: Stream,
    pub traffic_sums: Vec<f64>,
    pub class_sums: Vec<f64>,
    pub mails_accepted: u64,
    /// For each courier, whether the front (the load balancer) believes it to be alive.
    pub front_alive: Vec<bool>,
    /// Active troubles that change which couriers get mails (`hot_troubles`, `zone_shifts`), and the factor
    /// on the rate of arrivals.
    pub hot_troubles: Vec<usize>,
    pub zone_shifts: Vec<usize>,
    pub burst: f64,
    /// Number of active troubles that cut the link, by sending and receiving zone.
    pub cut_links: Vec<Vec<u16>>,
    pub list: crate::listing::List,
    /// Idempotency keys known at destinations, by mail and zone (0 if all zones share them).
    pub dedup: std::collections::HashMap<(u32, usize), DedupEntry>,
    pub actions: Vec<Action>,
}

/// The result of a run, from which the figures are computed.
pub struct RunResult {
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

    pub fn run(mut self) -> RunResult {
        // After this time no call in flight can still have an effect that a rule covers.
        let longest = self.day.classes.iter().map(|c| c.settings.lifetime).max().unwrap_or(0);
        let troubled = self.day.troubles.iter().map(|t| t.until).max().unwrap_or(0);
        let end = self.day.length.max(troubled) + longest + 10 * SECOND;
        while let Some((now, event)) = self.event_queue.pop() {
            if now > end {
                break;
            }
            self.handle_event(now, event);
        }
        self.check_all_closed();
        let peak_out = self.couriers.iter().map(|c| c.peak_out).max().unwrap_or(0);
        self.counts.events = self.event_queue.count();
        let (hash, history) = self.trace.end();
        RunResult {
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
            Event::Trouble { index, on } => self.switch_trouble(now, index as usize, on),
            Event::TroublePulse { index, on } => self.pulse(now, index as usize, on),
            Event::Publish { change } => self.publish(now, change as usize),
            Event::ListUpdate { courier, process, position } => {
                self.deliver_list_update(now, courier as usize, process, position as usize)
            }
            Event::ListResponse { courier, process } => self.list_response(now, courier as usize, process),
            Event::CourierCrash { courier } => self.crash_courier(now, courier as usize),
            Event::CourierRestart { courier } => self.restart_courier(now, courier as usize),
            Event::FrontNotice { courier, alive } => self.front_alive[courier as usize] = alive,
            Event::Sample => self.sample(now),
        }
    }

    /// Starts a new process of a courier: a decider without state, which is sent the list.
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

    /// Schedules a turn of a courier at this time or earlier, subject to the timer resolution.
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

    /// Whether traffic currently passes from one zone to another.
    pub fn link_open(&self, from: usize, to: usize) -> bool {
        self.cut_links[from][to] == 0
    }

    /// The part of its capacity that an endpoint has while it warms up.
    pub fn warmth(&self, endpoint: usize, now: Time) -> f64 {
        let p = &self.day.destinations[self.day.endpoints[endpoint].destination];
        match self.endpoint_states[endpoint].warming_since {
            Some(since) if p.cold > 0 && now < since + p.cold => {
                p.cold_from + (1.0 - p.cold_from) * (now - since) as f64 / p.cold as f64
            }
            _ => 1.0,
        }
    }

    /// Calls a second that a limit scope can serve at its present warmth. Slowness from troubles is left out:
    /// the rule on returning destinations concerns cold ones only, and couriers are told nothing about
    /// slowness.
    pub fn current_capacity(&self, scope: usize, now: Time) -> f64 {
        let well = self.scopes[scope].endpoints.iter().filter(|&&e| !self.endpoint_states[e].is_down());
        well.map(|&e| self.day.capacity(e) * self.warmth(e, now)).sum()
    }

    /// Whether the limit of a scope allows one more call when `ahead` calls are already on their way.
    pub fn limit_has_room(&self, scope: usize, now: Time, ahead: usize) -> bool {
        match self.day.destinations[self.scopes[scope].destination].limit {
            Limit::None => true,
            Limit::Rate => self.tokens(scope, now) >= 1.0 + ahead as f64,
            Limit::Span => self.span_used(scope, now) + ahead as f64 + 1.0 <= self.span_allows(scope),
        }
    }

    /// Calls a second that the limit of a scope allows now.
    pub fn rate(&self, scope: usize) -> f64 {
        let u = &self.scopes[scope];
        self.day.destinations[u.destination].rate * u.throttle
    }

    /// Tokens left under a limit of kind `Rate`.
    pub fn tokens(&self, scope: usize, now: Time) -> f64 {
        let (u, rate) = (&self.scopes[scope], self.rate(scope));
        let gained = rate * (now - u.tokens_at) as f64 / SECOND as f64;
        (u.tokens + gained).min(rate.max(1.0))
    }

    /// Calls allowed in one span; `span_used` gives those counted in the present span.
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
        // A new call cannot overtake calls queued at the destination, whereas mails at the courier can be
        // reordered. One call may be on its way while another ends.
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
    /// Whether the courier process that started a call is still running and waits for it.
    pub fn is_awaited(&self, call: u32) -> bool {
        let c = &self.calls[call as usize];
        let courier = &self.couriers[c.courier as usize];
        c.open && c.phase != Phase::Ended && courier.alive && courier.process == c.process
    }
}
