//! The state that the decisions are based on, as plain types, and the arithmetic of decaying counts and token
//! buckets. No decision is made here.

use std::ops::{Deref, DerefMut, Index, IndexMut};

use smallvec::SmallVec;

use crate::control::Health;
use crate::interface::{EndpointStatus, Time, SECOND};
use crate::liveness::Liveness;

/// A count that decays exponentially over a window.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayingCount {
    pub count: f64,
    pub updated_at: Time,
}

impl DecayingCount {
    const ZERO: DecayingCount = DecayingCount { count: 0.0, updated_at: 0 };

    pub fn increment(&mut self, now: Time, window: Time) {
        self.add(now, window, 1.0);
    }

    pub fn add(&mut self, now: Time, window: Time, amount: f64) {
        (self.count, self.updated_at) = (self.rate(now, window) * to_seconds(window) + amount, now);
    }

    pub fn rate(&self, now: Time, window: Time) -> f64 {
        let age = (now - self.updated_at) as f64 / window as f64;
        self.count * (-age).exp() / to_seconds(window)
    }
}

/// Latency of relayed calls: mean and mean deviation.
#[derive(Clone, Copy, Debug, Default)]
pub struct Latency {
    pub mean: f64,
    pub deviation: f64,
    pub measured: bool,
}

impl Latency {
    const UNMEASURED: Latency = Latency { mean: 0.0, deviation: 0.0, measured: false };

    /// `weight`: weight of this call.
    pub fn update(&mut self, duration: f64, weight: f64) {
        if !self.measured {
            *self = Latency { mean: duration, deviation: duration / 2.0, measured: true };
        }
        self.deviation += weight * ((duration - self.mean).abs() - self.deviation);
        self.mean += weight * (duration - self.mean);
    }

    pub fn tail(&self, deviations: f64) -> f64 {
        self.mean + deviations * self.deviation
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum MailState {
    #[default]
    Unused,
    Queued,
    InFlight,
    /// Has its final answer, while the outcome of a connect is outstanding.
    Finished,
}

#[derive(Clone, Debug, Default)]
pub struct Mail {
    pub state: MailState,
    pub destination: usize,
    pub class: usize,
    pub key: Option<usize>,
    pub target_time: Time,
    pub deadline: Time,
    pub connects_used: usize,
    pub call: usize,
    /// Time and zone of the first connect that may have run.
    pub first_run: Option<(Time, usize)>,
}

#[derive(Clone, Debug, Default)]
pub struct Call {
    pub endpoint: usize,
    pub started_at: Time,
    /// Mails without an outcome; 0: the slot is free.
    pub pending_mails: usize,
    pub overdue: bool,
}

/// What a limit applies to: a destination, or an endpoint that has limits of its own.
///
/// Here and below, state that only calls produce is allocated on the first write, since a courier never calls
/// most entries of a long list.
#[derive(Clone, Debug, Default)]
pub struct LimitScope {
    /// This courier's fair share of the limit from the list or an answer, in calls per second; 0: not known.
    pub fair_share: f64,
    /// The rate that this courier keeps to, in calls per second; 0: none.
    pub paced_rate: f64,
    /// What remains of this courier's fair share of the limit.
    pub share_tokens: TokenBucket,
    call_state: Option<Box<LimitScopeCallState>>,
}

#[derive(Clone, Debug, Default)]
pub struct LimitScopeCallState {
    /// Nothing is sent before this time: a wait that an answer asked for, or a back-off of this courier.
    pub hold_until: Time,
    /// After a refusal only mails of the highest importance are sent until this time.
    pub priority_only_until: Time,
    /// Refusals since the last relayed call, and when they began.
    pub refusals: u32,
    pub refusing_since: Time,
    /// Time of the last refusal. One of a call that began before it adds no information.
    pub last_refused_at: Time,
    /// The share of the latest calls that were refused.
    pub refusal_rate: f64,
    /// Refusals that were observed or reported, decaying.
    pub refusal_notes: DecayingCount,
    /// Calls saved up at the rate.
    pub pace_tokens: TokenBucket,
    pub sent_calls: DecayingCount,
}

/// Reads as `$initial` until it is written to.
macro_rules! lazily_allocated {
    ($owner:ty, $call_state:ty, $initial:expr) => {
        impl Deref for $owner {
            type Target = $call_state;

            fn deref(&self) -> &$call_state {
                static INITIAL: $call_state = $initial;
                self.call_state.as_deref().unwrap_or(&INITIAL)
            }
        }

        impl DerefMut for $owner {
            fn deref_mut(&mut self) -> &mut $call_state {
                self.call_state.get_or_insert_default()
            }
        }
    };
}

lazily_allocated!(
    LimitScope,
    LimitScopeCallState,
    LimitScopeCallState {
        hold_until: 0,
        priority_only_until: 0,
        refusals: 0,
        refusing_since: 0,
        last_refused_at: 0,
        refusal_rate: 0.0,
        refusal_notes: DecayingCount::ZERO,
        pace_tokens: TokenBucket::EMPTY,
        sent_calls: DecayingCount::ZERO,
    }
);

/// Limit scopes by number: even ones are destinations, odd ones endpoints with limits of their own. They are
/// kept in separate lists, because most couriers have only one sort and the numbers of the other would take
/// up memory.
#[derive(Clone, Debug, Default)]
pub struct LimitScopes([Vec<LimitScope>; 2]);

impl LimitScopes {
    /// The number of a destination's scope, or of the scope of an endpoint with limits of its own.
    pub fn index_of(destination: usize, own_limits_of: Option<usize>) -> usize {
        own_limits_of.map_or(2 * destination, |endpoint| 2 * endpoint + 1)
    }

    pub fn is_endpoint_scope(scope: usize) -> bool {
        scope % 2 == 1
    }

    pub fn ensure(&mut self, scope: usize) {
        ensure_index(&mut self.0[scope % 2], scope / 2);
    }

    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut LimitScope> {
        self.0.iter_mut().flatten()
    }
}

/// A scope that was never written to reads as a new one.
impl Index<usize> for LimitScopes {
    type Output = LimitScope;

    fn index(&self, scope: usize) -> &LimitScope {
        static NEW: LimitScope = LimitScope {
            fair_share: 0.0,
            paced_rate: 0.0,
            share_tokens: TokenBucket::EMPTY,
            call_state: None,
        };
        self.0[scope % 2].get(scope / 2).unwrap_or(&NEW)
    }
}

impl IndexMut<usize> for LimitScopes {
    fn index_mut(&mut self, scope: usize) -> &mut LimitScope {
        self.ensure(scope);
        &mut self.0[scope % 2][scope / 2]
    }
}

/// A token bucket; one token is one call.
#[derive(Clone, Copy, Debug, Default)]
pub struct TokenBucket {
    pub tokens: f64,
    pub updated_at: Time,
}

impl TokenBucket {
    const EMPTY: TokenBucket = TokenBucket { tokens: 0.0, updated_at: 0 };

    /// Refills at a rate, up to `burst` tokens (at least one). Returns whether a call may be sent.
    pub fn refill(&mut self, now: Time, rate: f64, burst: f64) -> bool {
        self.add(now, rate * (now - self.updated_at) as f64 / SECOND as f64, burst)
    }

    /// The same with the tokens gained since the last update.
    pub fn add(&mut self, now: Time, gained: f64, depth: f64) -> bool {
        (self.tokens, self.updated_at) = ((self.tokens + gained).min(depth.max(1.0)), now);
        self.tokens >= 1.0
    }
}

#[derive(Clone, Debug, Default)]
pub struct Endpoint {
    pub known: bool,
    pub destination: usize,
    pub limit_scope: usize,
    pub zone: usize,
    pub kind: usize,
    pub status: EndpointStatus,
    pub in_current_list: bool,
    /// When it left the list.
    pub removed_at: Time,
    pub health: Health,
    pub health_since: Time,
    pub last_success: Time,
    pub ramp_tokens: TokenBucket,
    pub call_state: Option<Box<EndpointCallState>>,
}

#[derive(Clone, Debug, Default)]
pub struct EndpointCallState {
    /// When it was last held to be healthy.
    pub unhealthy_since: Time,
    pub failed_since_success: bool,
    pub liveness: Liveness,
    /// Whether the other couriers know that it is down.
    pub peers_know_down: bool,
    /// Share of errors among its latest answers.
    pub error_rate: f64,
    pub next_trial_at: Time,
    pub trial_count: u32,
    pub calls_in_flight: usize,
    pub overdue_calls: usize,
    pub latency: Latency,
}

lazily_allocated!(
    Endpoint,
    EndpointCallState,
    EndpointCallState {
        unhealthy_since: 0,
        failed_since_success: false,
        liveness: Liveness::UNKNOWN,
        peers_know_down: false,
        error_rate: 0.0,
        next_trial_at: 0,
        trial_count: 0,
        calls_in_flight: 0,
        overdue_calls: 0,
        latency: Latency::UNMEASURED,
    }
);

#[derive(Clone, Debug, Default)]
pub struct Destination {
    /// Up to two endpoints are stored inline.
    pub endpoints: SmallVec<[usize; 2]>,
    /// This courier's fair share of the limits of its ready endpoints, in calls per second.
    pub fair_share: f64,
    call_state: Option<Box<DestinationCallState>>,
}

#[derive(Clone, Debug, Default)]
pub struct DestinationCallState {
    /// Queued mails: first connects, and repeated connects in a queue of their own.
    pub queues: [Vec<usize>; 2],
    pub calls_in_flight: usize,
    pub arrivals: DecayingCount,
    /// Arrivals counted over the warm-up time of an endpoint.
    pub warm_up_arrivals: DecayingCount,
    pub cap_growth: usize,
    pub latency: Latency,
}

impl Endpoint {
    /// The same endpoint with its times set to `now`.
    pub fn known_since(self, now: Time) -> Endpoint {
        Endpoint {
            last_success: now,
            health_since: now,
            ramp_tokens: TokenBucket { tokens: 0.0, updated_at: now },
            ..self
        }
    }
}

lazily_allocated!(
    Destination,
    DestinationCallState,
    DestinationCallState {
        queues: [Vec::new(), Vec::new()],
        calls_in_flight: 0,
        arrivals: DecayingCount::ZERO,
        warm_up_arrivals: DecayingCount::ZERO,
        cap_growth: 0,
        latency: Latency::UNMEASURED,
    }
);

impl DestinationCallState {
    /// Mails in both queues.
    pub fn queued(&self) -> usize {
        self.queues[0].len() + self.queues[1].len()
    }
}

#[derive(Clone, Debug, Default)]
pub struct Key {
    pub queue: Vec<usize>,
    pub quiet_until: Time,
}

pub fn to_seconds(time: Time) -> f64 {
    time as f64 / SECOND as f64
}

pub fn ensure_index<T: Default>(list: &mut Vec<T>, index: usize) -> &mut T {
    if index >= list.len() {
        list.resize_with(index + 1, T::default);
    }
    &mut list[index]
}

/// Whether a mail is in one of these states.
pub fn is_in_state(mails: &[Mail], mail: usize, states: [MailState; 2]) -> bool {
    mails.get(mail).is_some_and(|m| states.contains(&m.state))
}

/// Indices of the queued mails.
pub fn queued_mails(mails: &[Mail]) -> impl Iterator<Item = usize> + '_ {
    (0..mails.len()).filter(|&i| mails[i].state == MailState::Queued)
}

/// Sums this courier's fair share for each destination: its own, or those of its endpoints with limits of
/// their own.
pub fn sum_fair_shares(destinations: &mut [Destination], endpoints: &[Endpoint], scopes: &LimitScopes) {
    destinations.iter_mut().for_each(|d| d.fair_share = 0.0);
    for e in endpoints.iter().filter(|e| e.known && e.status == EndpointStatus::Ready) {
        let (d, share) = (&mut destinations[e.destination], scopes[e.limit_scope].fair_share);
        d.fair_share =
            if LimitScopes::is_endpoint_scope(e.limit_scope) { d.fair_share + share } else { share };
    }
}
