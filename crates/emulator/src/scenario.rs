//! The format of scenario files. A figure is a single value, or a range from which each seed draws. Missing
//! keys have the defaults given here; unknown keys are rejected.

use serde::{Deserialize, Serialize};

/// A single value, or a range from which each seed draws uniformly.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged, expecting = "expected a number, or a range [low, high]")]
pub enum Figure {
    One(f64),
    Between([f64; 2]),
}

impl Figure {
    pub fn low(self) -> f64 {
        match self {
            Figure::One(value) => value,
            Figure::Between([low, _]) => low,
        }
    }

    pub fn high(self) -> f64 {
        match self {
            Figure::One(value) => value,
            Figure::Between([_, high]) => high,
        }
    }
}

const fn one(value: f64) -> Figure {
    Figure::One(value)
}

const fn between(low: f64, high: f64) -> Figure {
    Figure::Between([low, high])
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Scenario {
    /// One line on what the day should show.
    pub about: String,
    /// Files that this one extends, relative to it; values given here take precedence.
    pub include: Vec<String>,
    /// The seed of the one day that the file is about, if it is about a single day.
    pub seed: Option<u64>,
    /// Length in seconds. Mails arrive until then; the run goes on until their lifetimes are over.
    pub seconds: Figure,
    pub couriers: Figure,
    pub partners: Figure,
    pub halls: Halls,
    pub mails: Mails,
    pub class: Vec<Class>,
    pub kind: Vec<Kind>,
    pub courier: Courier,
    pub list: List,
    pub rules: Rules,
    pub goal: Goal,
    pub trouble: Vec<Trouble>,
}

impl Default for Scenario {
    fn default() -> Self {
        Scenario {
            about: String::new(),
            include: Vec::new(),
            seed: None,
            seconds: one(30.0),
            couriers: one(3.0),
            partners: one(12.0),
            halls: Halls::default(),
            mails: Mails::default(),
            class: Class::three(),
            kind: Kind::two(),
            courier: Courier::default(),
            list: List::default(),
            rules: Rules::default(),
            goal: Goal::default(),
            trouble: Vec::new(),
        }
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Halls {
    pub names: Vec<String>,
    /// One-way latency in milliseconds, within a zone and between zones.
    pub same_ms: Figure,
    pub cross_ms: Figure,
    /// Coefficient of variation of the latency.
    pub jitter: Figure,
}

impl Default for Halls {
    fn default() -> Self {
        let names = ["north", "east", "west"].map(String::from).to_vec();
        Halls { names, same_ms: between(2.0, 6.0), cross_ms: between(8.0, 25.0), jitter: one(0.15) }
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Shape {
    #[default]
    Steady,
    Wave,
    /// Low at the start and end of the day, with the peak in the middle.
    Day,
    /// Bursts of one second in every six, at `1 + 2 * swing` times the mean rate.
    Bursts,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Mails {
    /// Mails a second at full load, for all couriers together.
    pub full_rate: Figure,
    /// Actual load as part of the full load.
    pub load: Figure,
    pub shape: Shape,
    /// Amplitude of the shape.
    pub swing: Figure,
    /// Exponent of the distribution of traffic over destinations; 0 gives all the same.
    pub uneven: Figure,
    /// Share of mails that arrive in clumps, and mails in a clump.
    pub clumps: Figure,
    pub clump: Figure,
    /// Number of times that a client hands a mail in again after a deferral, and its pause before that.
    pub retries: Figure,
    pub pause_ms: Figure,
    /// Share of the clients that respect the time to come back named in a deferral.
    pub heed: Figure,
    /// Pause before mails that a crashed courier held are handed in again.
    pub after_death_ms: Figure,
    /// Share of mails whose client hangs up before the end.
    pub hang_up: Figure,
    /// Share of mails with a shorter lifetime than their queue class, and that lifetime as part of the
    /// class's.
    pub short_lived: Figure,
    pub short_part: Figure,
    /// Number of distinct keys in queue classes that keep order.
    pub keys: Figure,
    /// A mail goes to a courier of its own zone while one is alive there.
    pub by_hall: bool,
    /// A client hands a tagged mail in again only while the destination still recognizes a repeat, counted
    /// from the first try.
    pub careful: bool,
    /// Seconds during which the front (the load balancer) still sends mails to a courier that has crashed.
    pub front_notice_s: Figure,
}

impl Default for Mails {
    fn default() -> Self {
        Mails {
            full_rate: one(100.0),
            load: between(0.45, 0.6),
            shape: Shape::Steady,
            swing: one(0.25),
            uneven: one(0.8),
            clumps: one(0.1),
            clump: between(6.0, 14.0),
            retries: one(1.0),
            pause_ms: between(500.0, 1200.0),
            heed: one(0.7),
            after_death_ms: between(400.0, 1500.0),
            hang_up: one(0.003),
            short_lived: one(0.02),
            short_part: one(0.4),
            keys: one(200.0),
            by_hall: false,
            careful: true,
            front_notice_s: between(0.8, 3.0),
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Effect {
    Redeliverable,
    Tagged,
    OnceOnly,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Class {
    pub name: String,
    pub share: Figure,
    /// Mean service time at a destination of average pace, and its coefficient of variation.
    pub service_ms: Figure,
    pub spread: Figure,
    pub target_ms: f64,
    pub lifetime_ms: f64,
    pub importance: f64,
    pub late_worth: f64,
    pub effect: Effect,
    /// For tagged mails: how long a destination recognizes repeats, and whether only endpoints of one zone
    /// share that knowledge.
    pub window_ms: f64,
    pub by_hall: bool,
    pub in_turn: bool,
}

impl Default for Class {
    fn default() -> Self {
        Class {
            name: String::new(),
            share: one(1.0),
            service_ms: one(250.0),
            spread: one(0.8),
            target_ms: 2_000.0,
            lifetime_ms: 12_000.0,
            importance: 1.0,
            late_worth: 0.0,
            effect: Effect::Redeliverable,
            window_ms: 0.0,
            by_hall: false,
            in_turn: false,
        }
    }
}

impl Class {
    /// The default queue classes, by decreasing share.
    fn three() -> Vec<Class> {
        vec![
            Class {
                name: "stock".into(),
                share: one(5.0),
                target_ms: 1_500.0,
                lifetime_ms: 6_000.0,
                ..Class::default()
            },
            Class {
                name: "order".into(),
                share: one(3.0),
                service_ms: one(400.0),
                target_ms: 2_500.0,
                lifetime_ms: 25_000.0,
                importance: 3.0,
                late_worth: 0.3,
                effect: Effect::Tagged,
                window_ms: 7_500.0,
                ..Class::default()
            },
            Class {
                name: "capture".into(),
                share: one(2.0),
                service_ms: one(160.0),
                target_ms: 3_000.0,
                lifetime_ms: 15_000.0,
                importance: 4.0,
                late_worth: 0.3,
                effect: Effect::OnceOnly,
                ..Class::default()
            },
        ]
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Limit {
    #[default]
    None,
    /// A number of calls a second.
    Rate,
    /// A number of calls in each fixed span.
    Span,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Kind {
    pub name: String,
    pub share: Figure,
    /// Above 0, destinations with the most traffic are given this kind first; below 0, those with the least.
    pub lean: f64,
    pub limit: Limit,
    pub span_ms: Figure,
    /// The limit (or the capacity, if there is no limit) over the destination's mails at full load.
    pub headroom: Figure,
    pub least_rate: Figure,
    /// Capacity over the limit.
    pub spare: Figure,
    /// Share of refusals that tell a wait, and the shortest wait told.
    pub tells_wait: Figure,
    pub wait_ms: Figure,
    /// Refused calls count against the limit too.
    pub refused_count: bool,
    /// Maximum number of mails in a call, and the relative work of each mail after the first.
    pub batch: usize,
    pub item_work: Figure,
    /// Maximum number of connections to an endpoint, over the calls that it serves at once; 0 means no limit.
    pub connections: Figure,
    /// Each endpoint has a limit and outages of its own.
    pub apart: bool,
    pub endpoints: Figure,
    /// Coefficient of variation of the pace between destinations.
    pub pace: Figure,
    /// Length of an endpoint's queue, in seconds of work.
    pub queue_s: Figure,
    /// Part of its capacity that a returning destination starts with, and seconds until it is warm.
    pub cold_from: Figure,
    pub cold_s: Figure,
    /// Share of calls that fail without any trouble.
    pub error_share: Figure,
}

impl Default for Kind {
    fn default() -> Self {
        Kind {
            name: String::new(),
            share: one(1.0),
            lean: 0.0,
            limit: Limit::None,
            span_ms: between(1_000.0, 2_000.0),
            headroom: between(1.5, 2.3),
            least_rate: one(3.0),
            spare: between(1.3, 1.6),
            tells_wait: one(0.5),
            wait_ms: between(300.0, 900.0),
            refused_count: false,
            batch: 1,
            item_work: one(0.15),
            connections: one(0.0),
            apart: false,
            endpoints: between(1.0, 3.9),
            pace: one(0.8),
            queue_s: between(0.4, 0.9),
            cold_from: between(0.2, 0.28),
            cold_s: between(10.0, 13.0),
            error_share: between(0.0, 0.004),
        }
    }
}

impl Kind {
    /// A few large destinations with a shared limit, and many small ones whose endpoints are independent.
    fn two() -> Vec<Kind> {
        vec![
            Kind {
                name: "large".into(),
                share: one(1.0),
                lean: 1.0,
                limit: Limit::Span,
                headroom: between(1.2, 2.0),
                tells_wait: one(0.8),
                refused_count: true,
                batch: 20,
                ..Kind::default()
            },
            Kind { name: "small".into(), share: one(4.0), lean: -0.3, apart: true, ..Kind::default() },
        ]
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Courier {
    /// Call slots over the number that a courier's part of the full load keeps busy.
    pub slots_room: Figure,
    pub least_slots: usize,
    /// Number of mails that a courier can hold, in seconds of its part of the full load.
    pub hold_s: Figure,
    pub least_room: usize,
    pub resolution_ms: f64,
    pub connect_timeout_ms: f64,
    pub handshake_turns: Figure,
    /// Idle time after which an endpoint closes a connection.
    pub keep_idle_s: f64,
    pub max_connects: usize,
    /// Longest time to come back that a deferral may name; with 0 a deferral names none.
    pub max_pause_ms: f64,
    pub turn_gap_ms: f64,
    /// Whether a killed courier restarts with its journal; otherwise its clients hand its mails in again.
    pub journal: bool,
    pub down_s: Figure,
    /// Late importance halves with each further target delay; otherwise it falls linearly.
    pub by_half: bool,
    /// Fee of a connect by the zone of its endpoint, as part of a mail's importance.
    pub fees: Vec<f64>,
    /// Answers tell how much of the limit is left.
    pub told_limits: bool,
}

impl Default for Courier {
    fn default() -> Self {
        Courier {
            slots_room: between(1.6, 2.2),
            least_slots: 3,
            hold_s: between(6.0, 11.0),
            least_room: 16,
            resolution_ms: 5.0,
            connect_timeout_ms: 1_000.0,
            handshake_turns: between(1.0, 2.0),
            keep_idle_s: 10.0,
            max_connects: 8,
            max_pause_ms: 0.0,
            turn_gap_ms: 1_000.0,
            journal: true,
            down_s: between(0.3, 2.0),
            by_half: true,
            fees: Vec::new(),
            told_limits: false,
        }
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListMode {
    #[default]
    Push,
    /// The list answers requests only: the complete list first, then changes as they come.
    Ask,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct List {
    pub mode: ListMode,
    /// Seconds until a change is published, and further seconds until a courier receives it.
    pub lag_s: Figure,
    pub spread_s: Figure,
    /// The list gives the rate limit of a destination.
    pub rates: bool,
    /// Coefficient of variation of the error in that rate.
    pub rate_wrong: Figure,
    pub ask_within_s: f64,
}

impl Default for List {
    fn default() -> Self {
        List {
            mode: ListMode::Push,
            lag_s: between(1.5, 4.0),
            spread_s: between(0.1, 0.4),
            rates: true,
            rate_wrong: one(0.1),
            ask_within_s: 8.0,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rules {
    pub drain_grace_ms: f64,
    pub tip_multiple: f64,
    pub tip_s: f64,
    /// Time allowed after a mail's deadline for its final answer.
    pub answer_grace_ms: f64,
}

impl Default for Rules {
    fn default() -> Self {
        Rules { drain_grace_ms: 500.0, tip_multiple: 2.0, tip_s: 2.0, answer_grace_ms: 20.0 }
    }
}

/// Weights of the service (scaled to a sum of one), and prices.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Goal {
    pub whole: f64,
    pub worst_window: f64,
    pub worst_class: f64,
    pub waste_price: f64,
    pub handshake_price: f64,
    pub refused_price: f64,
}

impl Default for Goal {
    fn default() -> Self {
        Goal {
            whole: 0.5,
            worst_window: 0.25,
            worst_class: 0.25,
            waste_price: 0.03,
            handshake_price: 0.03,
            refused_price: 0.03,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum What {
    /// Endpoints are down and refuse connections; they return cold.
    Crash,
    /// Endpoints accept calls but answer none until it is over.
    Hang,
    /// Endpoints are slower by the factor `size`.
    Slow,
    /// Endpoints stall for `size` milliseconds about every second.
    Pauses,
    /// A share `size` of the calls fails quickly.
    Errors,
    /// A share `size` of the calls with mails of `class` fails quickly.
    ClassErrors,
    /// All calls are refused; a wait that is told lasts until the end of the trouble.
    Shut,
    /// The limit is multiplied by `size`.
    Throttle,
    /// A share `size` of the calls has its connection broken, half of them after the effect.
    Resets,
    /// Connections can be made, but calls are lost before they arrive.
    HalfOpen,
    /// A share `size` of the answers is lost after the effect.
    LostAnswers,
    /// Endpoints close idle connections after `size` seconds.
    IdleClose,
    /// Endpoints are listed as draining and then removed; new, cold ones replace them.
    Replace,
    /// Endpoints are listed as draining and then removed, without replacement.
    Drain,
    /// Endpoints go down and come back every `size` seconds.
    Flap,
    /// Couriers are killed and restart.
    Kill,
    /// All couriers are killed and restart one after the other, `size` seconds apart.
    Roll,
    /// One or a few couriers get a share `size` of all mails.
    HotCaller,
    /// A share `size` of the mails comes from one zone.
    HallShift,
    /// The rate of mails is multiplied by `size`.
    Burst,
    /// The list lags by `size` seconds more.
    ListLag,
    /// The list sends no updates, and requests for it fail.
    ListStall,
    /// The list shows healthy endpoints as draining.
    ListLies,
    /// An empty list is sent once, and the complete one again at the end.
    ListEmpty,
    /// Nothing passes between zone `hall` and the others.
    LinkCut,
    /// Calls leave zone `hall`, but their answers do not come back.
    LinkOneWay,
    /// Couriers' clocks stop once for `size` milliseconds, without turns in that time.
    ClockStep,
}

/// What the endpoints affected by one trouble have in common.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum By {
    #[default]
    Any,
    Hall,
    Kind,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Trouble {
    pub what: What,
    /// Start and duration in seconds.
    pub at_s: Figure,
    pub for_s: Figure,
    /// Share of the traffic whose destinations are affected (or share of the couriers, for troubles of
    /// couriers).
    #[serde(default = "part")]
    pub part: Figure,
    #[serde(default = "size")]
    pub size: Figure,
    #[serde(default)]
    pub by: By,
    /// Restricts the trouble to endpoints in this zone, destinations of this kind, or mails of this queue
    /// class.
    #[serde(default)]
    pub hall: Option<String>,
    #[serde(default)]
    pub kind: Option<String>,
    #[serde(default)]
    pub class: Option<String>,
    /// Restricts the trouble to these destinations or couriers, by index from 0.
    #[serde(default)]
    pub partners: Vec<usize>,
    #[serde(default)]
    pub couriers: Vec<usize>,
    /// Chance that all endpoints of a destination are affected instead of one.
    #[serde(default = "whole")]
    pub whole: Figure,
    /// Identifies the draws of this trouble, so that they stay the same when others are removed; by default
    /// its position in the file.
    #[serde(default)]
    pub mark: Option<u64>,
}

fn part() -> Figure {
    one(0.2)
}

fn size() -> Figure {
    one(1.0)
}

fn whole() -> Figure {
    one(0.85)
}

impl Trouble {
    pub fn new(what: What, at_s: Figure, for_s: Figure, part: Figure, size: Figure) -> Trouble {
        Trouble {
            what,
            at_s,
            for_s,
            part,
            size,
            by: By::Any,
            hall: None,
            kind: None,
            class: None,
            partners: Vec::new(),
            couriers: Vec::new(),
            whole: whole(),
            mark: None,
        }
    }
}
