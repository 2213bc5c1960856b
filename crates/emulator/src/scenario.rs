//! What a scenario file may say. Every figure is a single value or a range, from which each seed draws. What is left
//! out has the value that stands here; what is not named here is refused.

use serde::{Deserialize, Serialize};

/// A single value, or a range that each seed draws from evenly.
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
    /// Files that this one goes out from, beside it; what stands here goes before what stands there.
    pub include: Vec<String>,
    /// The seed of the one day that the file is about, where it was found to be special.
    pub seed: Option<u64>,
    /// Length in seconds; mails come until then, and are ended after it.
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
    /// One way, milliseconds.
    pub same_ms: Figure,
    pub cross_ms: Figure,
    /// Ratio of deviation to mean of each journey.
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
    /// A quiet morning, a peak at three quarters of the day.
    Day,
    /// Bursts of a second, three times as high, one in six seconds.
    Bursts,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Mails {
    /// Mails a second at full load, all couriers together.
    pub full_rate: Figure,
    /// Part of the full load that comes.
    pub load: Figure,
    pub shape: Shape,
    /// Part by which the shape swings.
    pub swing: Figure,
    /// Exponent by which partners differ in traffic.
    pub uneven: Figure,
    /// Share of mails that come in clumps, and mails in a clump.
    pub clumps: Figure,
    pub clump: Figure,
    /// Times that a client hands in again after a deferral, and its pause.
    pub retries: Figure,
    pub pause_ms: Figure,
    /// Part of the clients that heed the time to come back that a deferral names.
    pub heed: Figure,
    /// Pause after which what a dead courier held is handed in again.
    pub after_death_ms: Figure,
    /// Share of mails whose client hangs up before the end.
    pub hang_up: Figure,
    /// Share of mails with less time than their queue class has, and the part of it that they have.
    pub short_lived: Figure,
    pub short_part: Figure,
    /// Distinct keys of queue classes that keep order.
    pub keys: Figure,
    /// A mail goes to a courier of the hall that it comes from, while one lives there.
    pub by_hall: bool,
    /// A client hands a tagged mail in again only while its partner still knows a repeat, counted from the first try.
    pub careful: bool,
    /// Seconds that the front goes on sending to a courier that is dead.
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
    /// Mean time at a partner of usual pace, and ratio of deviation to mean.
    pub service_ms: Figure,
    pub spread: Figure,
    pub target_ms: f64,
    pub lifetime_ms: f64,
    pub importance: f64,
    pub late_worth: f64,
    pub effect: Effect,
    /// Tagged: how long a partner knows a repeat, and whether only endpoints of one hall know it together.
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
    /// The three kinds that there are, by falling share.
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
    /// So many calls a second.
    Rate,
    /// So many calls in each fixed span.
    Span,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Kind {
    pub name: String,
    pub share: Figure,
    /// Above 0: the partners with much traffic are of this kind first; below 0: those with little.
    pub lean: f64,
    pub limit: Limit,
    pub span_ms: Figure,
    /// The limit (or the capacity where there is none) over the partner's mails at full load.
    pub headroom: Figure,
    pub least_rate: Figure,
    /// Capacity over the limit.
    pub spare: Figure,
    /// Share of refusals that tell a wait, and the shortest wait told.
    pub tells_wait: Figure,
    pub wait_ms: Figure,
    /// Refused calls use up the limit too.
    pub refused_count: bool,
    /// Mails in a call at most, and the work of each further mail of a call.
    pub batch: usize,
    pub item_work: Figure,
    /// Connections that an endpoint takes over the calls that it serves at once; 0: any number.
    pub connections: Figure,
    /// Its endpoints are routes apart.
    pub apart: bool,
    pub endpoints: Figure,
    /// Ratio of deviation to mean by which partners differ in pace.
    pub pace: Figure,
    /// Seconds of work that wait at an endpoint at most.
    pub queue_s: Figure,
    /// Part of its capacity that a returning partner starts with, and seconds until it is warm.
    pub cold_from: Figure,
    pub cold_s: Figure,
    /// Share of calls that fail on a good day.
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
    /// Few large partners with a limit, many small ones that are routes apart.
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
    /// Call slots over what a courier's part of the full load keeps busy.
    pub slots_room: Figure,
    pub least_slots: usize,
    /// Seconds of its part of the full load that a courier holds.
    pub hold_s: Figure,
    pub least_room: usize,
    pub resolution_ms: f64,
    pub connect_timeout_ms: f64,
    pub handshake_turns: Figure,
    /// A connection is closed by its endpoint after being idle for so long.
    pub keep_idle_s: f64,
    pub max_connects: usize,
    /// Longest time to come back that a deferral may name; 0: none may.
    pub max_pause_ms: f64,
    pub turn_gap_ms: f64,
    /// A killed courier comes back with its journal; else what it held is its clients' to hand in again.
    pub journal: bool,
    pub down_s: Figure,
    /// Late importance halves with each further target delay; else it falls evenly.
    pub by_half: bool,
    /// Fee of a connect by the hall of a route apart, as part of a mail's importance.
    pub fees: Vec<f64>,
    /// Answers tell what is left of the limit.
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
    /// It answers only when asked: the whole list, then a watch on changes.
    Ask,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct List {
    pub mode: ListMode,
    /// Seconds until a change is on the list, and further ones until a courier hears of it.
    pub lag_s: Figure,
    pub spread_s: Figure,
    /// The list gives the rate that a partner takes.
    pub rates: bool,
    /// Ratio of deviation to mean by which it is wrong.
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
    /// Allowed beyond the end of a mail's time for its final answer to be read.
    pub answer_grace_ms: f64,
}

impl Default for Rules {
    fn default() -> Self {
        Rules { drain_grace_ms: 500.0, tip_multiple: 2.0, tip_s: 2.0, answer_grace_ms: 20.0 }
    }
}

/// Weights of service (scaled to a sum of one) and prices.
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
    /// Endpoints are down and refuse connections; they come back cold.
    Crash,
    /// Endpoints take calls and answer none until it is over.
    Hang,
    /// `size` times slower.
    Slow,
    /// Stand still for `size` milliseconds every second or so.
    Pauses,
    /// A share of `size` of the calls fail quickly.
    Errors,
    /// A share of `size` of the calls with mails of `class` fail quickly.
    ClassErrors,
    /// All calls are refused; those told a wait are told its end.
    Shut,
    /// The limit sinks to `size` of itself.
    Throttle,
    /// A share of `size` of the calls have their connection broken, half of them after the effect.
    Resets,
    /// Connections stand, calls are lost on the way there.
    HalfOpen,
    /// A share of `size` of the answers are lost after the effect.
    LostAnswers,
    /// Endpoints close idle connections after `size` seconds.
    IdleClose,
    /// Endpoints are listed as draining, then gone; new ones take their place, cold.
    Replace,
    /// Endpoints are listed as draining, then go; none takes their place.
    Drain,
    /// Down and up again every `size` seconds.
    Flap,
    /// Couriers are killed and come back.
    Kill,
    /// All couriers are killed and come back one after the other, `size` seconds apart.
    Roll,
    /// One or a few couriers get a share of `size` of all mails.
    HotCaller,
    /// A share of `size` of the mails come from one hall from now on.
    HallShift,
    /// `size` times as many mails.
    Burst,
    /// The list falls `size` seconds further behind.
    ListLag,
    /// Nothing new of the list is heard; asking fails.
    ListStall,
    /// The list names healthy endpoints as draining.
    ListLies,
    /// The list is told as empty once, and whole again at the end.
    ListEmpty,
    /// Nothing passes between `hall` and the others.
    LinkCut,
    /// Calls leave `hall`, their answers do not come back.
    LinkOneWay,
    /// Couriers' clocks stand still for `size` milliseconds, once: no turn in between.
    ClockStep,
}

/// What a trouble strikes together.
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
    /// Seconds from the start, and seconds that it lasts.
    pub at_s: Figure,
    pub for_s: Figure,
    /// Share of the traffic whose partners are struck (of the couriers, where those are).
    #[serde(default = "part")]
    pub part: Figure,
    #[serde(default = "size")]
    pub size: Figure,
    #[serde(default)]
    pub by: By,
    /// Only what stands in this hall; only partners of this kind; only mails of this queue class.
    #[serde(default)]
    pub hall: Option<String>,
    #[serde(default)]
    pub kind: Option<String>,
    #[serde(default)]
    pub class: Option<String>,
    /// Only these partners, these couriers, by number from 0.
    #[serde(default)]
    pub partners: Vec<usize>,
    #[serde(default)]
    pub couriers: Vec<usize>,
    /// Chance that all endpoints of a partner are struck, not one alone.
    #[serde(default = "whole")]
    pub whole: Figure,
    /// Names its draws; its place in the file where nothing is said. Kept when other troubles are taken out.
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
