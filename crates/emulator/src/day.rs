//! A day: one draw from a scenario, with every figure fixed. A courier learns only what its settings and the
//! list contain.

use meadowhold::interface::{self, Settings, Time, SECOND};

use crate::chance::{Purpose, Stream};
use crate::scenario::{By, Effect, Figure, Limit, ListMode, Scenario, Shape, Trouble, What};

/// Converts to tenths of a millisecond.
pub fn ms(value: f64) -> Time {
    (value * (SECOND / 1000) as f64).round().max(0.0) as Time
}

pub fn secs(value: f64) -> Time {
    (value * SECOND as f64).round().max(0.0) as Time
}

#[derive(Clone, Debug)]
pub struct Class {
    pub name: String,
    pub share: f64,
    pub service: f64,
    pub spread: f64,
    pub settings: interface::QueueClass,
}

/// An external system that mails are for. Its endpoints are contiguous in `Day::endpoints`.
#[derive(Clone, Debug)]
pub struct Destination {
    pub kind: usize,
    /// Share of the traffic.
    pub share: f64,
    pub first: usize,
    pub count: usize,
    pub limit: Limit,
    /// Calls a second of each limit scope (the destination, or one endpoint), and the span in which they are
    /// counted.
    pub rate: f64,
    pub span: Time,
    pub listed_rate: f64,
    pub tells_wait: f64,
    pub wait: Time,
    pub refused_count: bool,
    pub batch: usize,
    pub item_work: f64,
    pub apart: bool,
    pub pace: f64,
    pub cold_from: f64,
    pub cold: Time,
    pub error_share: f64,
}

#[derive(Clone, Copy, Debug)]
pub struct Endpoint {
    pub destination: usize,
    pub zone: usize,
    pub slots: usize,
    pub queue: usize,
    /// Maximum number of connections; 0 means no limit.
    pub connections: usize,
    /// Added during the day to replace another endpoint.
    pub newcomer: bool,
}

#[derive(Clone, Debug)]
pub struct AppliedTrouble {
    pub what: What,
    pub from: Time,
    pub until: Time,
    pub size: f64,
    pub class: Option<usize>,
    pub zone: usize,
    pub endpoints: Vec<usize>,
    /// The replacements of the endpoints, for `Replace`.
    pub newcomers: Vec<usize>,
    pub couriers: Vec<usize>,
    pub mark: u64,
}

#[derive(Clone, Debug)]
pub struct Mails {
    /// Mean number of mails a second.
    pub rate: f64,
    pub full_rate: f64,
    pub shape: Shape,
    pub swing: f64,
    pub clumps: f64,
    pub clump: f64,
    pub retries: usize,
    pub pause: Time,
    pub heed: f64,
    pub after_death: Time,
    pub hang_up: f64,
    pub short_lived: f64,
    pub short_part: f64,
    pub keys: usize,
    pub by_zone: bool,
    pub careful: bool,
    pub front_notice: Time,
}

#[derive(Clone, Debug)]
pub struct Day {
    pub seed: u64,
    pub length: Time,
    pub zones: Vec<String>,
    /// One-way latency between two zones.
    pub zone_latency: Vec<Vec<Time>>,
    pub jitter: f64,
    /// Zone of each courier.
    pub couriers: Vec<usize>,
    pub mails: Mails,
    pub classes: Vec<Class>,
    pub kinds: Vec<String>,
    pub destinations: Vec<Destination>,
    pub endpoints: Vec<Endpoint>,
    pub troubles: Vec<AppliedTrouble>,
    pub settings: Settings,
    pub journal: bool,
    pub down: Time,
    pub handshake_turns: f64,
    pub keep_idle: Time,
    pub told_limits: bool,
    pub list_mode: ListMode,
    pub list_lag: Time,
    pub list_spread: Time,
    pub drain_grace: Time,
    pub answer_grace: Time,
    /// Weights of the whole day, the worst ten seconds and the worst queue class; they sum to one.
    pub weights: [f64; 3],
    /// Prices of waste, handshakes and refusals.
    pub prices: [f64; 3],
}

fn draw_figure(stream: &mut Stream, figure: Figure) -> f64 {
    // A single value takes a draw too, so that turning one figure into a range does not shift the draws of
    // the others.
    let unit = stream.unit();
    figure.low() + (figure.high() - figure.low()) * unit
}

fn draw_count(stream: &mut Stream, figure: Figure) -> usize {
    draw_figure(stream, figure).floor().max(0.0) as usize
}

impl Day {
    /// Draws the day of a seed from a scenario that `check::faults` has accepted.
    pub fn draw(s: &Scenario, seed: u64) -> Day {
        let mut stream = Stream::new(seed, Purpose::Figures, 0);
        let d = &mut stream;
        let length = secs(draw_figure(d, s.seconds));
        let couriers = draw_count(d, s.couriers).max(1);
        let destinations = draw_count(d, s.partners).max(1);
        let full_rate = draw_figure(d, s.mails.full_rate);
        let zones = s.halls.names.clone();
        let mut zone_latency = vec![vec![0; zones.len()]; zones.len()];
        for (a, b) in (0..zones.len()).flat_map(|a| (a..zones.len()).map(move |b| (a, b))) {
            let way = ms(draw_figure(d, if a == b { s.halls.same_ms } else { s.halls.cross_ms }));
            (zone_latency[a][b], zone_latency[b][a]) = (way, way);
        }
        let mails = Mails {
            rate: full_rate * draw_figure(d, s.mails.load),
            full_rate,
            shape: s.mails.shape,
            swing: draw_figure(d, s.mails.swing),
            clumps: draw_figure(d, s.mails.clumps),
            clump: draw_figure(d, s.mails.clump),
            retries: draw_count(d, s.mails.retries),
            pause: ms(draw_figure(d, s.mails.pause_ms)),
            heed: draw_figure(d, s.mails.heed),
            after_death: ms(draw_figure(d, s.mails.after_death_ms)),
            hang_up: draw_figure(d, s.mails.hang_up),
            short_lived: draw_figure(d, s.mails.short_lived),
            short_part: draw_figure(d, s.mails.short_part),
            keys: draw_count(d, s.mails.keys).max(1),
            by_zone: s.mails.by_hall,
            careful: s.mails.careful,
            front_notice: secs(draw_figure(d, s.mails.front_notice_s)),
        };
        let classes = draw_classes(s, d);
        let uneven = draw_figure(d, s.mails.uneven);
        let (destinations, endpoints) = draw_destinations(s, seed, destinations, full_rate, uneven, &classes);
        let mean = classes.iter().map(|c| c.share * c.service).sum::<f64>() / 1000.0;
        let pace = destinations.iter().map(|p| p.share * p.pace).sum::<f64>();
        let busy = full_rate / couriers as f64 * mean * pace;
        let settings = Settings {
            courier_index: 0,
            seed,
            couriers,
            slots: ((busy * draw_figure(d, s.courier.slots_room)).ceil() as usize).max(s.courier.least_slots),
            max_mails: ((full_rate / couriers as f64 * draw_figure(d, s.courier.hold_s)).ceil() as usize)
                .max(s.courier.least_room),
            max_connects: s.courier.max_connects,
            timer_resolution: ms(s.courier.resolution_ms).max(1),
            connection_timeout: ms(s.courier.connect_timeout_ms),
            idle_timeout: secs(s.courier.keep_idle_s),
            handshake_cost: 0.0,
            peer_notes: false,
            max_retry_after: ms(s.courier.max_pause_ms),
            poll_list: s.list.mode == ListMode::Ask,
            max_poll_delay: secs(s.list.ask_within_s),
            cold_capacity: destinations.iter().map(|p| p.cold_from).fold(1.0, f64::min),
            warm_up: destinations.iter().map(|p| p.cold).max().unwrap_or(0),
            overload_multiple: s.rules.tip_multiple,
            overload_duration: secs(s.rules.tip_s),
            ordering_gap: ms(s.courier.turn_gap_ms),
            half_life_decay: s.courier.by_half,
            list_has_rates: s.list.rates,
            zone_fees: s.courier.fees.clone(),
            kinds: s
                .kind
                .iter()
                .map(|k| interface::Kind { max_batch: k.batch, per_endpoint_limits: k.apart })
                .collect(),
            classes: classes.iter().map(|c| c.settings.clone()).collect(),
        };
        let down = secs(draw_figure(d, s.courier.down_s));
        let handshake_turns = draw_figure(d, s.courier.handshake_turns);
        let (list_lag, list_spread) =
            (secs(draw_figure(d, s.list.lag_s)), secs(draw_figure(d, s.list.spread_s)));
        let weights = [s.goal.whole, s.goal.worst_window, s.goal.worst_class];
        let mut day = Day {
            seed,
            length,
            couriers: (0..couriers).map(|c| c % zones.len()).collect(),
            zones,
            zone_latency,
            jitter: draw_figure(d, s.halls.jitter),
            mails,
            classes,
            kinds: s.kind.iter().map(|kind| kind.name.clone()).collect(),
            destinations,
            endpoints,
            troubles: Vec::new(),
            settings,
            journal: s.courier.journal,
            down,
            handshake_turns,
            keep_idle: secs(s.courier.keep_idle_s),
            told_limits: s.courier.told_limits,
            list_mode: s.list.mode,
            list_lag,
            list_spread,
            drain_grace: ms(s.rules.drain_grace_ms),
            answer_grace: ms(s.rules.answer_grace_ms),
            weights: weights.map(|w| w / weights.iter().sum::<f64>()),
            prices: [s.goal.waste_price, s.goal.handshake_price, s.goal.refused_price],
        };
        for (i, trouble) in s.trouble.iter().enumerate() {
            let mut applied = draw_trouble(trouble, trouble.mark.unwrap_or(i as u64), &day);
            if applied.what == What::Replace {
                applied.newcomers = (0..applied.endpoints.len()).map(|n| day.endpoints.len() + n).collect();
                let place = |&e: &usize| Endpoint { newcomer: true, ..day.endpoints[e] };
                let newcomers: Vec<Endpoint> = applied.endpoints.iter().map(place).collect();
                day.endpoints.extend(newcomers);
            }
            day.troubles.push(applied);
        }
        day
    }

    /// The settings of one process of a courier.
    pub fn settings(&self, courier: usize, process: u32) -> Settings {
        let index = (courier as u64) << 32 | u64::from(process);
        let seed = Stream::new(self.seed, Purpose::Decider, index).number();
        Settings { seed, courier_index: courier, ..self.settings.clone() }
    }

    /// How long a courier keeps an idle connection: 5 % less than its endpoint does.
    pub fn client_idle_timeout(&self) -> Time {
        self.keep_idle / 20 * 19
    }

    /// Mean duration of a call with one mail at a healthy, warm destination, in tenths of a millisecond.
    pub fn mean_service(&self, destination: usize) -> f64 {
        let mean: f64 = self.classes.iter().map(|c| c.share * c.service).sum();
        mean * self.destinations[destination].pace * (SECOND / 1000) as f64
    }

    /// Calls a second that an endpoint serves when healthy and warm.
    pub fn capacity(&self, endpoint: usize) -> f64 {
        let e = &self.endpoints[endpoint];
        e.slots as f64 * SECOND as f64 / self.mean_service(e.destination)
    }
}

fn draw_classes(s: &Scenario, d: &mut Stream) -> Vec<Class> {
    let mut classes: Vec<Class> = s
        .class
        .iter()
        .map(|c| Class {
            name: c.name.clone(),
            share: draw_figure(d, c.share),
            service: draw_figure(d, c.service_ms),
            spread: draw_figure(d, c.spread),
            settings: interface::QueueClass {
                effect: match c.effect {
                    Effect::Redeliverable => interface::Effect::Redeliverable,
                    Effect::Tagged => interface::Effect::Tagged,
                    Effect::OnceOnly => interface::Effect::OnceOnly,
                },
                dedup_by_zone: c.by_hall,
                dedup_window: ms(c.window_ms),
                target_delay: ms(c.target_ms),
                lifetime: ms(c.lifetime_ms),
                importance: c.importance,
                expiry_importance: c.late_worth,
                ordered: c.in_turn,
            },
        })
        .collect();
    let whole: f64 = classes.iter().map(|c| c.share).sum();
    classes.iter_mut().for_each(|c| c.share /= whole.max(f64::MIN_POSITIVE));
    classes
}

/// The destinations by decreasing traffic, and their endpoints.
fn draw_destinations(
    s: &Scenario,
    seed: u64,
    count: usize,
    full_rate: f64,
    uneven: f64,
    classes: &[Class],
) -> (Vec<Destination>, Vec<Endpoint>) {
    let mean: f64 = classes.iter().map(|c| c.share * c.service).sum::<f64>() / 1000.0;
    let weights: Vec<f64> = (0..count).map(|p| 1.0 / ((p + 1) as f64).powf(uneven)).collect();
    let whole: f64 = weights.iter().sum();
    let shares: f64 = s.kind.iter().map(|k| k.share.low()).sum::<f64>().max(f64::MIN_POSITIVE);
    // Kinds with a high `lean` get the destinations with the most traffic; each kind gets its share of the
    // destinations.
    let mut order: Vec<usize> = (0..s.kind.len()).collect();
    order.sort_by(|&a, &b| s.kind[b].lean.total_cmp(&s.kind[a].lean));
    let mut kinds: Vec<usize> = Vec::with_capacity(count);
    let mut until = 0.0;
    for &kind in &order {
        until += s.kind[kind].share.low() / shares * count as f64;
        while kinds.len() < count && (kinds.len() as f64) < until.round().max(1.0) {
            kinds.push(kind);
        }
    }
    kinds.resize(count, order[order.len() - 1]);
    let (mut destinations, mut endpoints) = (Vec::with_capacity(count), Vec::new());
    for (p, &kind_index) in kinds.iter().enumerate() {
        let d = &mut Stream::new(seed, Purpose::Destination, p as u64);
        let kind = &s.kind[kind_index];
        let share = weights[p] / whole;
        let kind_pace = draw_figure(d, kind.pace);
        let pace = Stream::lognormal(d, kind_pace).clamp(0.2, 5.0);
        let calls = (share * full_rate * draw_figure(d, kind.headroom)).max(draw_figure(d, kind.least_rate));
        let spare = draw_figure(d, kind.spare);
        let capacity = if kind.limit == Limit::None { calls } else { calls * spare };
        let ends = (draw_figure(d, kind.endpoints).floor() as usize).max(1);
        let busy = capacity * mean * pace / ends as f64;
        let slots = (busy.ceil() as usize).max(1);
        let home = d.below(s.halls.names.len());
        let connections = draw_figure(d, kind.connections);
        let queue = (draw_figure(d, kind.queue_s) * capacity / ends as f64).ceil() as usize;
        let units = if kind.apart { ends as f64 } else { 1.0 };
        let rate = calls / units;
        let rate_wrong = draw_figure(d, s.list.rate_wrong);
        let wrong = d.lognormal(rate_wrong);
        destinations.push(Destination {
            kind: kind_index,
            share,
            first: endpoints.len(),
            count: ends,
            limit: kind.limit,
            rate,
            span: ms(draw_figure(d, kind.span_ms)),
            listed_rate: if s.list.rates { rate * wrong } else { 0.0 },
            tells_wait: draw_figure(d, kind.tells_wait),
            wait: ms(draw_figure(d, kind.wait_ms)),
            refused_count: kind.refused_count,
            batch: kind.batch,
            item_work: draw_figure(d, kind.item_work),
            apart: kind.apart,
            pace,
            cold_from: draw_figure(d, kind.cold_from),
            cold: secs(draw_figure(d, kind.cold_s)),
            error_share: draw_figure(d, kind.error_share),
        });
        for i in 0..ends {
            // Endpoints with limits of their own are spread over the zones; those that share a limit are in
            // one zone.
            let zone = if kind.apart { (home + i) % s.halls.names.len() } else { home };
            let tables =
                if connections > 0.0 { ((connections * slots as f64).ceil() as usize).max(4) } else { 0 };
            endpoints.push(Endpoint {
                destination: p,
                zone,
                slots,
                queue,
                connections: tables,
                newcomer: false,
            });
        }
    }
    (destinations, endpoints)
}

/// Draws what a trouble affects.
fn draw_trouble(t: &Trouble, mark: u64, day: &Day) -> AppliedTrouble {
    let d = &mut Stream::new(day.seed, Purpose::Trouble, mark);
    let from = secs(draw_figure(d, t.at_s));
    let until = from + secs(draw_figure(d, t.for_s));
    let (size, part, whole) = (draw_figure(d, t.size), draw_figure(d, t.part), draw_figure(d, t.whole));
    let zone = t.hall.as_ref().and_then(|name| day.zones.iter().position(|zone| zone == name));
    let any_zone = d.below(day.zones.len());
    let class = t.class.as_ref().and_then(|name| day.classes.iter().position(|class| class.name == *name));
    let class = class.or((t.what == What::ClassErrors).then(|| d.below(day.classes.len())));
    let kind = t.kind.as_ref().and_then(|name| day.kinds.iter().position(|kind| kind == name));
    let any_kind = day.destinations[d.below(day.destinations.len())].kind;
    let only_zone = zone.or((t.by == By::Hall).then_some(any_zone));
    let only_kind = kind.or((t.by == By::Kind).then_some(any_kind));
    let stands = |p: &usize| {
        let destination = &day.destinations[*p];
        let ends = &day.endpoints[destination.first..destination.first + destination.count];
        only_kind.is_none_or(|kind| kind == destination.kind)
            && only_zone.is_none_or(|zone| ends.iter().any(|e| e.zone == zone))
            && (t.partners.is_empty() || t.partners.contains(p))
    };
    let mut destinations: Vec<usize> = (0..day.destinations.len()).filter(stands).collect();
    d.shuffle(&mut destinations);
    let (mut endpoints, mut sum) = (Vec::new(), 0.0);
    for p in destinations {
        // Destinations named in the scenario are affected whatever their traffic; others are added until
        // `part` of the traffic is reached.
        if t.partners.is_empty()
            && (sum >= part || (sum > 0.0 && sum + day.destinations[p].share > 1.5 * part))
        {
            continue;
        }
        let destination = &day.destinations[p];
        let ends = (destination.first..destination.first + destination.count)
            .filter(|&e| only_zone.is_none_or(|zone| day.endpoints[e].zone == zone));
        let ends: Vec<usize> = ends.collect();
        let all = d.chance(whole) || only_zone.is_some();
        let applied = if all { ends } else { vec![ends[d.below(ends.len())]] };
        sum += destination.share * applied.len() as f64 / destination.count as f64;
        endpoints.extend(applied);
    }
    endpoints.sort_unstable();
    let mut couriers: Vec<usize> = (0..day.couriers.len()).collect();
    d.shuffle(&mut couriers);
    if t.couriers.is_empty() {
        let affected =
            if t.what == What::Roll { day.couriers.len() as f64 } else { day.couriers.len() as f64 * part };
        couriers.truncate((affected.round() as usize).max(1));
    } else {
        couriers = t.couriers.iter().copied().filter(|&c| c < day.couriers.len()).collect();
    }
    let zone = zone.unwrap_or(any_zone);
    AppliedTrouble {
        what: t.what,
        from,
        until,
        size,
        class,
        zone,
        endpoints,
        newcomers: Vec::new(),
        couriers,
        mark,
    }
}
