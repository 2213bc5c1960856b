//! All decisions of a courier. Build one `Control` and call `step` once a turn with the current time, the
//! inputs since the last turn and a buffer for the actions (see `interface`); it returns when to call again.
//!
//! In the ordinary case each destination has a cap on its calls in flight, and mails above the cap are
//! queued.

use crate::control::attribution::SurplusDelay;
use crate::interface::{AcceptedMail, Settings, Time, SECOND};
use crate::interface::{
    Action, ConnectResult, Effect, EndpointStatus, Input, ListEntry, Outcome, PeerNote, Shutdown,
};
use crate::state::{ensure_index, is_in_state, queued_mails, sum_fair_shares, to_seconds};
use crate::state::{Call, Destination, Endpoint, Key, LimitScope, LimitScopes, Mail, MailState, TokenBucket};

pub mod attribution;
mod inspect;

/// Headroom over Little's law in the cap on calls in flight, for mails that arrive in batches.
const HEADROOM: f64 = 1.0 / 3.0;
/// Mean deviations above the mean latency of relayed calls at which the tail latency is put.
const TAIL_DEVIATIONS: f64 = 4.0;
/// Weight of the newest relayed call in a latency estimate, and of the newest answer in an error rate.
const NEWEST_WEIGHT: f64 = 0.1;
/// Largest share of the slots for one destination: with healthy endpoints, with an unhealthy one, and with
/// unhealthy ones only.
const SLOT_SHARES: [(usize, usize); 3] = [(3, 4), (1, 2), (1, 4)];
/// Timeout in tail latencies for redeliverable and for tagged mails. Calls of once-only mails may run until
/// the deadline.
const TIMEOUT_TAILS: [f64; 2] = [3.0, 4.0];
/// Factor on a count of connection failures at each relayed call.
const COUNT_DECAY: f64 = 0.95;
/// Window over which rates are counted.
const RATE_WINDOW: Time = 2 * SECOND;
/// Factor on the paced rate after a refusal, and what a relayed call adds to it while mails are queued, as
/// part of the fair share.
const PACE_DECREASE: f64 = 0.85;
const PACE_INCREASE: f64 = 0.05;
/// Fair share in calls per target delay below which no rate is enforced: it would starve a courier that has
/// few mails.
const MIN_PACED_CALLS: f64 = 0.5;
/// Fair share in calls per target delay below which calls are sent by turns at the fair share itself: so few
/// calls meet a refusal too late to learn a rate from it.
const MAX_TURN_CALLS: f64 = 2.0;
/// Part of a mail's remaining time within which its turn must come, behind the mails queued ahead, for it to
/// be accepted.
const MAX_QUEUE_SHARE: f64 = 0.6;
/// Turns at a limit that a courier may save up.
const MAX_SAVED_TURNS: f64 = 2.0;
/// Target delays that a fee of one mail's whole importance adds to the expected time at an endpoint.
const FEE_TARGET_DELAYS: f64 = 8.0;
/// Expected uses of a connection within the idle timeout, and those uses times the cost of a handshake, below
/// both of which it is closed.
const RARE_USE: (f64, f64) = (0.25, 0.005);
/// Remaining part of a limit up to which the limit counts as exhausted.
const EXHAUSTED_SHARE: f64 = 0.02;
/// Seconds over which queued mails are spread for each second's worth of a limit in reported refusals.
const REFUSAL_SPREAD: f64 = 4.0;
/// Mean number of couriers that one observation is sent to. In a larger fleet each observation is sent only
/// with the matching probability.
const MEAN_NOTE_RECIPIENTS: f64 = 256.0;
/// Factor on the paced share of a recovering endpoint.
const RECOVERY_SHARE: f64 = 1.1;

/// Health of an endpoint as this courier sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Health {
    #[default]
    Healthy,
    /// One sign of trouble: only trial calls, and no mails that must not run twice.
    Suspect,
    /// Taken to be out of service: a trial call now and then.
    Down,
    /// Back and cold: a paced share that grows.
    Recovering,
}

/// How the calls to an endpoint are kept within its limit; depends on the size of this courier's fair share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LimitControl {
    /// At a rate that is learnt from refusals.
    Paced,
    /// At the fair share itself, by turns: too few calls to learn a rate.
    Turns,
    /// Too few calls even to wait for a turn: stays away for a while after a refusal.
    BackOff,
}

/// What was observed of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Signal {
    /// A call was relayed.
    Success,
    /// A call was relayed after a gap in which an outage may have begun and ended.
    SuccessAfterGap,
    /// A call failed, could not connect, got no answer, or was refused when no limit explains it.
    Failure,
    /// A call exceeds its usual latency with nothing relayed since it was sent, or a trial was refused.
    Overdue,
    /// The warm-up time is over.
    WarmedUp,
    /// Another courier's call was relayed, too soon after the failure for an outage that leaves the endpoint
    /// cold.
    FalseAlarm,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HealthEffect {
    ResetTrials,
    ScheduleTrial,
    StartRamp,
}

/// (health, signal, next health, effect). A pair that is not listed changes nothing.
const HEALTH_TRANSITIONS: [(Health, Signal, Health, HealthEffect); 12] = [
    (Health::Healthy, Signal::Failure, Health::Suspect, HealthEffect::ScheduleTrial),
    (Health::Healthy, Signal::Overdue, Health::Suspect, HealthEffect::ScheduleTrial),
    (Health::Suspect, Signal::Overdue, Health::Suspect, HealthEffect::ScheduleTrial),
    (Health::Down, Signal::Overdue, Health::Down, HealthEffect::ScheduleTrial),
    (Health::Suspect, Signal::Success, Health::Healthy, HealthEffect::ResetTrials),
    (Health::Suspect, Signal::SuccessAfterGap, Health::Recovering, HealthEffect::StartRamp),
    (Health::Suspect, Signal::Failure, Health::Down, HealthEffect::ScheduleTrial),
    (Health::Down, Signal::Success, Health::Recovering, HealthEffect::StartRamp),
    (Health::Down, Signal::Failure, Health::Down, HealthEffect::ScheduleTrial),
    (Health::Recovering, Signal::Failure, Health::Down, HealthEffect::ScheduleTrial),
    (Health::Recovering, Signal::WarmedUp, Health::Healthy, HealthEffect::ResetTrials),
    (Health::Down, Signal::FalseAlarm, Health::Healthy, HealthEffect::ResetTrials),
];

#[derive(Default)]
pub struct Control {
    settings: Settings,
    rng: fastrand::Rng,
    now: Time,
    /// The shortest target delay of all queue classes, and the highest importance.
    min_target_delay: Time,
    max_importance: f64,
    /// The shortest lifetime. What is learnt within it is learnt in time for the mails that are queued.
    min_lifetime: Time,
    mail_limit: usize,
    mails: Vec<Mail>,
    calls: Vec<Call>,
    endpoints: Vec<Endpoint>,
    limit_scopes: LimitScopes,
    destinations: Vec<Destination>,
    keys: Vec<Key>,
    open_mails: usize,
    calls_in_flight: usize,
    list_request_at: Option<Time>,
    failed_list_requests: u32,
    /// Reused connections that broke, decaying with each relayed call.
    broken_reused: f64,
    /// By kind: connects that found nobody listening, decaying with each relayed call.
    unreached_by_kind: Vec<f64>,
    /// Endpoints whose idle connections are to be closed.
    idle_to_close: Vec<usize>,
    /// Notes for the other couriers.
    outgoing_notes: Vec<(usize, PeerNote)>,
    /// Endpoints that left the list and whose index is not released yet.
    removed_endpoints: Vec<usize>,
    surplus_delay: SurplusDelay,
    shutdown: Option<Shutdown>,
    dispatch_order: Vec<(f64, usize)>,
    quiet_keys: Vec<usize>,
}

impl Control {
    pub fn new(settings: Settings) -> Control {
        let (rng, list_request_at) =
            (fastrand::Rng::with_seed(settings.seed), settings.poll_list.then_some(0));
        let mut control = Control { rng, list_request_at, ..Control::default() };
        control.apply_settings(settings);
        control
    }

    /// Makes decisions follow these settings from now on. Calls in flight and accepted mails stay, also
    /// beyond the new limits.
    fn apply_settings(&mut self, settings: Settings) {
        // Settle token buckets and cap growth under the old limits first. Otherwise a raised limit would
        // release at once what was saved up and grown before it.
        let _ =
            (0..self.endpoints.len()).filter(|&e| self.endpoints[e].known && self.check_available(e)).count();
        for destination in (0..self.destinations.len()).filter(|_| settings.slots > self.settings.slots) {
            self.destinations[destination].cap_growth =
                self.destinations[destination].cap_growth.min(self.call_cap(destination));
        }
        let ratio = self.settings.couriers as f64 / settings.couriers.max(1) as f64;
        self.limit_scopes.iter_mut().for_each(|scope| {
            (scope.fair_share, scope.paced_rate) = (scope.fair_share * ratio, scope.paced_rate * ratio)
        });
        (self.max_importance, self.min_lifetime, self.min_target_delay) = settings.extremes(RATE_WINDOW);
        self.mail_limit = self.mail_limit.max(settings.max_mails);
        self.settings = settings.extended_from(std::mem::take(&mut self.settings));
        self.unreached_by_kind.resize(self.settings.kinds.len(), 0.0);
        let used = self.calls.iter().rposition(|call| call.pending_mails > 0).map_or(0, |last| last + 1);
        self.calls.resize(used.max(self.settings.slots.min(1 << 16)), Call::default());
        sum_fair_shares(&mut self.destinations, &self.endpoints, &self.limit_scopes);
    }

    /// Whether a call that was decided on may still begin: since then its endpoint was neither listed as
    /// leaving nor put on hold.
    pub fn may_call(&self, endpoint: usize, now: Time) -> bool {
        let e = &self.endpoints[endpoint];
        e.status == EndpointStatus::Ready && now >= self.limit_scopes[e.limit_scope].hold_until
    }

    /// Whether a mail that is not accepted yet would be the next one to be evicted by the limit on mails,
    /// would get its turn too late, or would not be sent before a shutdown that it cannot outlast. Rejecting
    /// it at once costs nothing; accepted, it would be handed back unsent.
    pub fn would_reject(&self, destination: usize, class: usize, deadline: Time) -> bool {
        let Some((c, d)) = self.settings.classes.get(class).zip(self.destinations.get(destination)) else {
            return false;
        };
        let mail =
            Mail { destination, class, target_time: self.now + c.target_delay, deadline, ..Mail::default() };
        let (full, value) =
            ((self.open_mails + 1) * 20 > self.settings.max_mails * 19, self.value_rate(&mail));
        let by_turns =
            d.endpoints.iter().any(|&e| self.limit_control(&self.endpoints[e]) == LimitControl::Turns);
        let importance = |mail: usize| self.settings.classes[self.mails[mail].class].importance;
        let ahead =
            d.queues.iter().flatten().filter(|&&mail| importance(mail) >= c.importance).count() as f64;
        let turn_too_late = by_turns
            && ahead > d.fair_share * MAX_QUEUE_SHARE * to_seconds(deadline.saturating_sub(self.now));
        let not_sent_in_time = self.shutdown.is_some_and(|end| {
            deadline <= end.successor_from && !self.is_likely_sent(destination, end.calls_until)
        });
        not_sent_in_time
            || turn_too_late
            || full && queued_mails(&self.mails).all(|m| self.value_rate(&self.mails[m]) >= value)
    }

    /// Whether one more mail is likely to be sent by then: an endpoint is up, and the mails ahead are
    /// through.
    fn is_likely_sent(&self, destination: usize, until: Time) -> bool {
        let unhealthy = |e: usize| matches!(self.endpoints[e].health, Health::Suspect | Health::Down);
        let reachable = self.destinations[destination]
            .endpoints
            .iter()
            .any(|&e| !unhealthy(e) && self.may_call(e, until));
        let wait = self.destinations[destination].queued() as f64
            * self.destinations[destination].latency.mean
            / self.call_cap(destination) as f64;
        reachable && self.now + (wait as Time) < until
    }

    /// Runs one turn: reads all inputs, then decides. Returns the latest time for the next turn.
    pub fn step(&mut self, now: Time, inputs: &[Input], actions: &mut Vec<Action>) -> Option<Time> {
        self.now = self.now.max(now);
        inputs.iter().for_each(|input| self.handle_input(input, actions));
        self.mark_overdue_calls();
        actions.extend(self.list_request_at.take_if(|at| *at <= now).map(|_| Action::RequestList));
        self.give_up_hopeless(actions);
        self.dispatch(actions);
        actions.extend(self.idle_to_close.drain(..).map(Action::CloseIdle));
        let send_probability =
            if self.settings.peer_notes { MEAN_NOTE_RECIPIENTS / self.settings.couriers as f64 } else { 0.0 };
        let notes = self.outgoing_notes.drain(..).filter(|_| self.rng.f64() < send_probability);
        actions.extend(notes.map(|(endpoint, note)| Action::SendNote { endpoint, note }));
        self.release_quiet_keys(actions);
        self.release_removed_endpoints(actions);
        let busy = self.open_mails > 0 || self.calls_in_flight > 0 || !self.quiet_keys.is_empty();
        busy.then_some(now + self.check_interval()).into_iter().chain(self.list_request_at).min()
    }

    /// How often queued mails and calls in flight are checked. Answers that must come in time need a larger
    /// margin.
    fn check_interval(&self) -> Time {
        2 * self.settings.timer_resolution.max(SECOND / 1000)
    }

    fn handle_input(&mut self, input: &Input, actions: &mut Vec<Action>) {
        match *input {
            Input::ListBegin { complete } => {
                self.failed_list_requests = 0;
                self.endpoints.iter_mut().filter(|_| complete).for_each(|e| e.in_current_list = false);
            }
            Input::ListEntry(ref entry) => self.update_list_entry(entry),
            Input::ListEnd => {
                let missing = |e: &Endpoint| !e.in_current_list && e.status != EndpointStatus::Removed;
                for (endpoint, e) in self.endpoints.iter_mut().enumerate().filter(|(_, e)| missing(e)) {
                    (e.status, e.removed_at) = (EndpointStatus::Removed, self.now);
                    self.removed_endpoints.push(endpoint);
                }
                sum_fair_shares(&mut self.destinations, &self.endpoints, &self.limit_scopes);
            }
            Input::ListFailed => {
                self.failed_list_requests = (self.failed_list_requests + 1).min(4);
                self.list_request_at =
                    Some(self.now + ((self.settings.max_poll_delay / 32) << self.failed_list_requests));
            }
            Input::AcceptedMail(ref mail) => self.accept(mail),
            Input::KeyInFlight { key, at } => {
                ensure_index(&mut self.keys, key);
                self.keys[key].quiet_until = self.keys[key].quiet_until.max(at + self.settings.ordering_gap);
                self.quiet_keys.push(key);
            }
            Input::ClientGone { mail }
                if is_in_state(&self.mails, mail, [MailState::Queued, MailState::InFlight]) =>
            {
                self.finish(mail, actions)
            }
            Input::ConnectResult(ref result)
                if is_in_state(&self.mails, result.mail, [MailState::InFlight, MailState::Finished]) =>
            {
                self.record_result(result, actions)
            }
            Input::NoMoreConnects { mail }
                if is_in_state(&self.mails, mail, [MailState::Queued, MailState::InFlight]) =>
            {
                self.mails[mail].connects_used = usize::MAX;
            }
            Input::PeerNote { endpoint, note } => self.handle_note(endpoint, note),
            Input::Settings(ref settings) => self.apply_settings((**settings).clone()),
            Input::Shutdown(shutdown) => self.shutdown = Some(shutdown),
            Input::ClientGone { .. }
            | Input::ConnectResult(_)
            | Input::NoMoreConnects { .. }
            | Input::Wakeup => {}
        }
    }

    /// Applies what another courier observed. None of it is passed on.
    fn handle_note(&mut self, endpoint: usize, note: PeerNote) {
        let Some(e) = self.endpoints.get(endpoint).filter(|e| e.known) else { return };
        let short_outage = self.now < e.unhealthy_since + self.settings.overload_duration;
        let (scope, already_down, retry_after) = (
            e.limit_scope,
            e.peers_know_down,
            if let PeerNote::Refusing(retry_after) = note { retry_after } else { 0 },
        );
        self.endpoints[endpoint].peers_know_down =
            note == PeerNote::Down || already_down && note != PeerNote::Recovered;
        match note {
            PeerNote::Down if already_down => {}
            PeerNote::Down => {
                [Signal::Failure; 2].into_iter().for_each(|signal| self.apply_signal(endpoint, signal))
            }
            PeerNote::Recovered if !short_outage => self.apply_signal(endpoint, Signal::Success),
            // Couriers return spread over time after a false alarm too, not all at once.
            PeerNote::Refusing(_) | PeerNote::Recovered => {
                let until = self.now + retry_after + self.refusal_spread(scope, retry_after, 0.0) as Time;
                self.limit_scopes[scope].hold_until = self.limit_scopes[scope].hold_until.max(until);
                if note == PeerNote::Recovered {
                    self.apply_signal(endpoint, Signal::FalseAlarm);
                }
            }
        }
    }

    /// A random part of the interval over which couriers spread their calls after a refusal: one call of each
    /// courier after a long wait; the time the limit needs for the refusals reported of late; or a few target
    /// delays if part of the limit remained.
    fn refusal_spread(&mut self, scope: usize, retry_after: Time, remaining: f64) -> f64 {
        let (scope, couriers) = (&mut self.limit_scopes[scope], self.settings.couriers as f64);
        let limit = (scope.fair_share * couriers).max(0.5);
        let one_call_each = 2.0 * SECOND as f64 * couriers / limit;
        let (window, weight) =
            (self.settings.connection_timeout.max(1), (couriers / MEAN_NOTE_RECIPIENTS).max(1.0));
        scope.refusal_notes.add(self.now, window, weight);
        let max_spread = match () {
            () if retry_after > self.settings.overload_duration => one_call_each,
            () if self.settings.peer_notes => {
                scope.refusal_notes.count / limit * REFUSAL_SPREAD * SECOND as f64
            }
            () if remaining > EXHAUSTED_SHARE => {
                one_call_each.min((self.min_target_delay << scope.refusals.min(4)) as f64)
            }
            () => one_call_each,
        };
        max_spread * self.rng.f64()
    }

    fn update_list_entry(&mut self, entry: &ListEntry) {
        let ListEntry { endpoint, destination, zone, kind, status, rate } = *entry;
        ensure_index(&mut self.endpoints, endpoint);
        ensure_index(&mut self.destinations, destination);
        let (now, kind) = (self.now, kind.min(self.settings.kinds.len() - 1));
        if !self.endpoints[endpoint].known {
            // A new endpoint shares the holds of its destination, unless it has limits of its own.
            let own_limits = self.settings.kinds[kind].per_endpoint_limits;
            let scope = LimitScopes::index_of(destination, own_limits.then_some(endpoint));
            self.limit_scopes.ensure(scope);
            self.limit_scopes[scope] = if own_limits {
                LimitScope::default()
            } else {
                std::mem::take(&mut self.limit_scopes[scope])
            };
            // Couriers start at random points of their share, so that they do not all begin with the cheapest
            // endpoint.
            self.limit_scopes[scope].share_tokens =
                TokenBucket { tokens: 2.0 * self.rng.f64(), updated_at: now };
            // A replacement is cold, and all couriers would fill it at once: while a sibling is unhealthy it
            // warms up like a recovering endpoint.
            let siblings = self.destinations[destination].endpoints.iter().map(|&s| &self.endpoints[s]);
            let all_healthy =
                siblings.filter(|s| s.status == EndpointStatus::Ready).all(|s| s.health == Health::Healthy);
            let health = if all_healthy { Health::Healthy } else { Health::Recovering };
            let added = Endpoint {
                known: true,
                destination,
                limit_scope: scope,
                zone,
                kind,
                health,
                ..Endpoint::default()
            };
            self.endpoints[endpoint] = added.known_since(now);
            // A random position, so that couriers do not all prefer the first endpoint of the list while none
            // is measured.
            let position = self.rng.usize(..=self.destinations[destination].endpoints.len());
            self.destinations[destination].endpoints.insert(position, endpoint);
        }
        let e = &mut self.endpoints[endpoint];
        self.removed_endpoints.extend(
            (status == EndpointStatus::Removed && e.status != EndpointStatus::Removed).then_some(endpoint),
        );
        e.removed_at = if status == EndpointStatus::Removed && e.status == EndpointStatus::Removed {
            e.removed_at
        } else {
            now
        };
        (e.status, e.in_current_list) = (status, true);
        if self.settings.list_has_rates {
            self.set_limit(endpoint, rate);
        }
    }

    /// How the calls to an endpoint are kept within its limit.
    fn limit_control(&self, e: &Endpoint) -> LimitControl {
        let fair_share = self.limit_scopes[e.limit_scope].fair_share;
        let turn_within_lifetime =
            // At least one call per lifetime.
            self.destinations[e.destination].fair_share * to_seconds(self.min_lifetime) >= 1.0;
        match fair_share * to_seconds(self.min_target_delay) {
            calls if fair_share > 0.0 && calls < MAX_TURN_CALLS && turn_within_lifetime => {
                LimitControl::Turns
            }
            calls if fair_share > 0.0 && calls < MIN_PACED_CALLS => LimitControl::BackOff,
            _ => LimitControl::Paced,
        }
    }

    /// The rate that this courier keeps to at an endpoint in calls per second, and the calls it may save up;
    /// rate 0: none.
    fn pace_and_burst(&self, e: &Endpoint) -> (f64, f64) {
        let scope = &self.limit_scopes[e.limit_scope];
        match self.limit_control(e) {
            LimitControl::Turns => (scope.fair_share, MAX_SAVED_TURNS),
            LimitControl::Paced => (scope.paced_rate, scope.paced_rate / 2.0),
            LimitControl::BackOff => (0.0, 0.0),
        }
    }

    /// Takes a limit from the list or from an answer. Where calls carry several mails, a rate from the start
    /// lets batches fill.
    fn set_limit(&mut self, endpoint: usize, limit: f64) {
        let e = &self.endpoints[endpoint];
        let scope = &mut self.limit_scopes[e.limit_scope];
        let previous =
            std::mem::replace(&mut scope.fair_share, limit.max(0.0) / self.settings.couriers as f64);
        if scope.fair_share > 0.0 && previous > 0.0 {
            // A lowered limit lowers the rate at once, before refusals do.
            scope.paced_rate *= scope.fair_share / previous;
        } else if self.settings.kinds[e.kind].max_batch > 1
            && scope.fair_share * to_seconds(self.min_target_delay) >= MAX_TURN_CALLS
        {
            scope.paced_rate = scope.fair_share;
        }
    }

    fn accept(&mut self, accepted: &AcceptedMail) {
        let AcceptedMail { mail, destination, class, key, submitted_at, deadline, connects_used, first_run } =
            *accepted;
        let class = class.min(self.settings.classes.len() - 1);
        if let Some(key) = key {
            ensure_index(&mut self.keys, key).queue.push(mail);
        }
        let (state, target_time) =
            (MailState::Queued, submitted_at + self.settings.classes[class].target_delay);
        *ensure_index(&mut self.mails, mail) =
            Mail { state, destination, class, key, target_time, deadline, connects_used, first_run, call: 0 };
        let d = ensure_index(&mut self.destinations, destination);
        d.arrivals.increment(self.now, RATE_WINDOW);
        d.warm_up_arrivals.increment(self.now, self.settings.warm_up.max(RATE_WINDOW));
        d.queues[usize::from(connects_used > 0)].push(mail);
        self.open_mails += 1;
    }

    /// Whether a mail may be connected again, and whether it may be deferred. Nothing else decides either.
    fn allowed_next(&self, m: &Mail) -> (bool, bool) {
        let c = &self.settings.classes[m.class];
        let connects_left = m.connects_used < self.settings.max_connects && self.now < m.deadline;
        match (m.first_run, c.effect) {
            (None, _) | (_, Effect::Redeliverable) => (connects_left, true),
            (Some((sent, _)), Effect::Tagged) => {
                // The repeat must reach the endpoint within the window, even if its connection has to be made
                // first.
                let within_window = self.now + self.settings.connection_timeout < sent + c.dedup_window;
                (connects_left && within_window, !c.dedup_by_zone)
            }
            (Some(_), Effect::OnceOnly) => (false, false),
        }
    }

    /// Gives a mail up at once, with its final answer.
    fn give_up(&mut self, mail: usize, actions: &mut Vec<Action>) {
        let (_, deferrable) = self.allowed_next(&self.mails[mail]);
        let retry_after =
            self.settings.max_retry_after.min(self.mails[mail].deadline.saturating_sub(self.now));
        actions.push(if deferrable { Action::Defer { mail, retry_after } } else { Action::Bounce { mail } });
        self.finish(mail, actions);
    }

    /// Ends a mail: it leaves its queues, and its index is freed once no connect of it is in flight.
    fn finish(&mut self, mail: usize, actions: &mut Vec<Action>) {
        let m = &mut self.mails[mail];
        self.open_mails -= usize::from(m.state != MailState::Finished);
        if m.state == MailState::InFlight {
            m.state = MailState::Finished;
            return;
        }
        self.destinations[m.destination]
            .queues
            .iter_mut()
            .for_each(|queue| queue.retain(|&other| other != mail));
        m.state = MailState::Unused;
        if let Some(key) = m.key {
            self.keys[key].queue.retain(|&other| other != mail);
            if self.keys[key].queue.is_empty() && !self.quiet_keys.contains(&key) {
                self.quiet_keys.push(key);
            }
        }
        actions.push(Action::FreeMail(mail));
    }

    /// Takes the outcome of a connect: frees the slot, updates the endpoint, and sends the mail on or ends
    /// it.
    fn record_result(&mut self, result: &ConnectResult, actions: &mut Vec<Action>) {
        let ConnectResult { mail, outcome, finished, retry_after, .. } = *result;
        let now = self.now;
        let m = &mut self.mails[mail];
        let was_finished = m.state == MailState::Finished;
        let call = &mut self.calls[m.call];
        let (endpoint, started_at) = (call.endpoint, call.started_at);
        let e = &mut self.endpoints[endpoint];
        // The wait may have come with any mail of the call.
        let scope = &mut self.limit_scopes[e.limit_scope];
        scope.hold_until = scope.hold_until.max(now + retry_after);
        call.pending_mails -= 1;
        let call_done = call.pending_mails == 0;
        if call_done {
            self.calls_in_flight -= 1;
            self.destinations[m.destination].calls_in_flight -= 1;
            (e.calls_in_flight, e.overdue_calls) =
                (e.calls_in_flight - 1, e.overdue_calls - usize::from(call.overdue));
        }
        if !outcome.never_ran() {
            m.first_run = m.first_run.or(Some((started_at, e.zone)));
        }
        if let Some(key) = m.key.filter(|_| outcome.may_still_run()) {
            self.keys[key].quiet_until = self.keys[key].quiet_until.max(now + self.settings.ordering_gap);
        }
        m.state = if was_finished { MailState::Finished } else { MailState::Queued };
        result.limit_report.into_iter().for_each(|report| self.set_limit(endpoint, report.limit));
        if call_done {
            self.learn_from_result(endpoint, started_at, result);
        }
        if finished || was_finished {
            self.finish(mail, actions);
        } else if self.allowed_next(&self.mails[mail]).0 {
            self.destinations[self.mails[mail].destination].queues[1].push(mail);
        } else {
            self.give_up(mail, actions);
        }
    }

    /// Updates an endpoint, and the scope that limits it, from the outcome of a call.
    fn learn_from_result(&mut self, endpoint: usize, started_at: Time, result: &ConnectResult) {
        let ConnectResult { outcome, retry_after, duration, reused_connection, limit_report, .. } = *result;
        let now = self.now;
        let (control, destination) =
            (self.limit_control(&self.endpoints[endpoint]), self.endpoints[endpoint].destination);
        let (scope_index, remaining) =
            (self.endpoints[endpoint].limit_scope, limit_report.map_or(0.0, |report| report.remaining));
        let refused =
            outcome == Outcome::Refused && started_at >= self.limit_scopes[scope_index].last_refused_at;
        let spread = if refused { self.refusal_spread(scope_index, retry_after, remaining) } else { 0.0 };
        let answer_time = self.quiet_periods(endpoint).short;
        let (e, scope) = (&mut self.endpoints[endpoint], &mut self.limit_scopes[scope_index]);
        match outcome {
            Outcome::Relayed | Outcome::Refused | Outcome::Error => e.liveness.add_answer(now),
            Outcome::Silent => e.liveness.add_unanswered(started_at, now),
            // One that the far side ends at once is no sign that it hangs.
            Outcome::Broken | Outcome::Unreached if duration > answer_time => {
                e.liveness.add_unanswered(started_at, now);
            }
            Outcome::Broken | Outcome::Unreached => {}
            Outcome::Spoilt | Outcome::CalledOff | Outcome::Unsent => {}
        }
        // Idle connections of many couriers can fill an endpoint's connection table; those of few hardly can.
        if matches!(outcome, Outcome::Relayed | Outcome::Refused | Outcome::Error) {
            let table_full =
                self.unreached_by_kind[e.kind] * self.settings.couriers as f64 >= self.settings.slots as f64;
            let (d, idle) = (&self.destinations[destination], to_seconds(self.settings.idle_timeout));
            let uses = d.warm_up_arrivals.rate(now, self.settings.warm_up.max(RATE_WINDOW)) * idle
                / d.endpoints.len() as f64;
            let rarely_used = uses < RARE_USE.0 && uses * self.settings.handshake_cost < RARE_USE.1;
            self.idle_to_close.extend((table_full || rarely_used).then_some(endpoint));
        }
        match outcome {
            Outcome::Relayed => {
                let counts = [&mut self.broken_reused, &mut self.unreached_by_kind[e.kind]];
                counts.into_iter().for_each(|count| *count *= COUNT_DECAY);
                let long_gap =
                    e.failed_since_success && now > e.last_success + self.settings.overload_duration;
                let signal = if long_gap && e.health == Health::Suspect {
                    Signal::SuccessAfterGap
                } else {
                    Signal::Success
                };
                // A call from before an outage does not show that the outage is over.
                let predates_outage = e.health == Health::Down && started_at < e.health_since;
                (e.last_success, e.failed_since_success, scope.refusals) = (now, false, 0);
                scope.refusal_rate -= NEWEST_WEIGHT * scope.refusal_rate;
                e.error_rate -= NEWEST_WEIGHT * e.error_rate;
                e.latency.update(duration as f64, NEWEST_WEIGHT);
                let d = &mut self.destinations[e.destination];
                d.latency.update(duration as f64, NEWEST_WEIGHT);
                d.cap_growth = if d.queued() > 0 { d.cap_growth + 1 } else { 0 };
                // The increase is larger for a courier that carries more than its fair share.
                let increase = scope.paced_rate > 0.0 && d.queued() > 0;
                scope.paced_rate +=
                    if increase { PACE_INCREASE * scope.fair_share.max(scope.paced_rate) } else { 0.0 };
                let notify =
                    !predates_outage && std::mem::take(&mut e.peers_know_down) && e.health == Health::Down;
                self.outgoing_notes.extend(notify.then_some((endpoint, PeerNote::Recovered)));
                Some(signal)
                    .filter(|_| !predates_outage)
                    .into_iter()
                    .for_each(|signal| self.apply_signal(endpoint, signal));
            }
            // Calls that are refused together count as one refusal.
            Outcome::Refused if started_at < scope.last_refused_at => {
                e.failed_since_success = true;
                scope.refusal_rate += NEWEST_WEIGHT * (1.0 - scope.refusal_rate);
            }
            Outcome::Refused => {
                scope.refusal_rate += NEWEST_WEIGHT * (1.0 - scope.refusal_rate);
                self.outgoing_notes.push((endpoint, PeerNote::Refusing(retry_after)));
                (e.failed_since_success, scope.last_refused_at) = (true, now);
                scope.refusing_since = if scope.refusals == 0 { now } else { scope.refusing_since };
                // An endpoint that has relayed nothing refuses within a round trip, and would be called again
                // in each.
                let typical = if e.latency.measured {
                    e.latency.mean
                } else {
                    self.settings.connection_timeout as f64 / 4.0
                };
                let back_off =
                    if retry_after > 0 { 0.0 } else { typical * f64::from(1 << scope.refusals.min(4)) };
                // Keeps couriers from returning in step after a wait; the most important mails go first.
                let (first, rest) =
                    if control == LimitControl::BackOff { (spread / 4.0, spread) } else { (back_off, 0.0) };
                scope.hold_until = scope.hold_until.max(now + retry_after + first as Time);
                (scope.priority_only_until, scope.refusals) =
                    (now + retry_after + rest as Time, scope.refusals + 1);
                // Refused calls may use up the limit too, whoever else shares it, so the rate falls.
                let previous_rate = if scope.paced_rate > 0.0 {
                    scope.paced_rate
                } else {
                    scope.sent_calls.rate(now, RATE_WINDOW).max(scope.fair_share)
                };
                let floor = if scope.fair_share > 0.0 { scope.fair_share / 12.0 } else { 0.2 };
                scope.paced_rate = if control == LimitControl::Paced {
                    (previous_rate * PACE_DECREASE).max(floor)
                } else {
                    0.0
                };
                let (tokens, updated_at) =
                    if control == LimitControl::Turns { (0.0, now) } else { (1.0, scope.hold_until) };
                scope.pace_tokens = TokenBucket { tokens, updated_at };
                // A refused trial is one more sign of trouble: other couriers already fill an endpoint that
                // is cold.
                let persistent = now > scope.refusing_since + self.settings.overload_duration;
                if persistent || matches!(e.health, Health::Suspect | Health::Down) {
                    self.apply_signal(endpoint, if persistent { Signal::Failure } else { Signal::Overdue });
                }
                // An endpoint that was closed for long reopens cold, and must not get all queued mails at
                // once.
                if retry_after > self.settings.overload_duration {
                    for sibling in self.destinations[destination].endpoints.clone() {
                        if self.endpoints[sibling].limit_scope == scope_index {
                            self.endpoints[sibling].failed_since_success = true;
                            self.apply_signal(sibling, Signal::Failure);
                        }
                    }
                }
            }
            // The mail's deadline ended the call early, which says nothing about the endpoint.
            Outcome::Silent if (duration as f64) < e.latency.tail(TAIL_DEVIATIONS) => {}
            // Most likely the endpoint closed an idle connection meanwhile.
            Outcome::Broken if reused_connection => self.broken_reused += 1.0,
            Outcome::Error | Outcome::Silent | Outcome::Unreached | Outcome::Broken => {
                e.failed_since_success = true;
                e.error_rate +=
                    NEWEST_WEIGHT * (f64::from(u8::from(outcome == Outcome::Error)) - e.error_rate);
                let newly_unreached = outcome == Outcome::Unreached && e.health != Health::Down;
                self.unreached_by_kind[e.kind] += f64::from(u8::from(newly_unreached));
                // Connects that found nobody raise no alarm, since a full connection table looks the same.
                // Nor does trouble of a recovering endpoint, where slow calls are to be expected.
                let notify =
                    outcome != Outcome::Unreached && e.health == Health::Suspect && !e.peers_know_down;
                self.outgoing_notes.extend(notify.then_some((endpoint, PeerNote::Down)));
                e.peers_know_down |= notify;
                self.apply_signal(endpoint, Signal::Failure);
            }
            Outcome::Spoilt | Outcome::CalledOff | Outcome::Unsent => {}
        }
    }

    /// Looks up and applies a transition of the health table.
    fn apply_signal(&mut self, endpoint: usize, signal: Signal) {
        let now = self.now;
        let e = &mut self.endpoints[endpoint];
        let row = HEALTH_TRANSITIONS.iter().find(|row| row.0 == e.health && row.1 == signal);
        let Some(&(_, _, next, effect)) = row else { return };
        e.unhealthy_since = if e.health == Health::Healthy { now } else { e.unhealthy_since };
        let since = if next != e.health { now } else { e.health_since };
        (e.health, e.health_since) = (next, since);
        match effect {
            HealthEffect::ResetTrials => e.trial_count = 0,
            HealthEffect::ScheduleTrial => {
                // Doubles from a quarter of the connection timeout, up to a part of the warm-up time.
                let delay = ((self.settings.connection_timeout / 4) << e.trial_count.min(5))
                    .min(self.settings.warm_up / 6);
                e.trial_count += 1;
                // Keeps the trials of many couriers together from overloading a destination that comes back.
                // Couriers that get notes hear of a recovery at once, so some of them may try at once.
                let min_part = if self.settings.peer_notes { 0.0 } else { 0.5 };
                let part = min_part + self.rng.f64() * (1.5 - min_part);
                let part = if next == Health::Down && signal == Signal::Failure { part } else { 0.0 };
                let share_delay = (SECOND as f64 / self.recovery_rate(endpoint, 0.0) * part) as Time;
                self.endpoints[endpoint].next_trial_at = now + delay.max(share_delay);
            }
            HealthEffect::StartRamp => {
                // The trial was this courier's first call. Couriers that learn from notes start at once, with
                // a random part of a call each, so that few send together.
                let tokens = if self.settings.peer_notes { self.rng.f64() } else { 0.0 };
                (e.ramp_tokens, e.trial_count) = (TokenBucket { tokens, updated_at: now }, 0);
            }
        }
    }

    /// Marks calls that exceed their usual latency.
    fn mark_overdue_calls(&mut self) {
        for i in 0..self.calls.len() {
            let Call { endpoint, started_at, pending_mails, overdue } = self.calls[i];
            if pending_mails > 0 && !overdue && (self.now - started_at) as f64 > self.tail_latency(endpoint) {
                self.calls[i].overdue = true;
                let e = &mut self.endpoints[endpoint];
                e.overdue_calls += 1;
                // One long call among relayed ones is no sign of trouble; nothing relayed since it was sent
                // is one.
                if e.last_success <= started_at {
                    self.apply_signal(endpoint, Signal::Overdue);
                }
            }
        }
    }

    /// Tail latency at an endpoint; while it is not measured, that of its destination, or the shortest target
    /// delay.
    fn tail_latency(&self, endpoint: usize) -> f64 {
        let e = &self.endpoints[endpoint];
        let measured = [&e.latency, &self.destinations[e.destination].latency]
            .into_iter()
            .find(|latency| latency.measured);
        measured.map_or(self.min_target_delay as f64, |latency| latency.tail(TAIL_DEVIATIONS))
    }

    /// The cap on a destination's calls in flight, by Little's law. Queued mails count as arrivals.
    fn call_cap(&self, destination: usize) -> usize {
        let d = &self.destinations[destination];
        let (unhealthy, total) = self.count_unhealthy(destination);
        let share =
            SLOT_SHARES[usize::from(unhealthy > 0) + usize::from(unhealthy > 0 && unhealthy == total)];
        let [clamp, share] =
            [SLOT_SHARES[0], share].map(|(part, of)| (self.settings.slots * part / of).max(1));
        let rate = d.arrivals.rate(self.now, RATE_WINDOW) + d.queued() as f64 / to_seconds(RATE_WINDOW);
        let littles_law =
            (rate * d.latency.tail(TAIL_DEVIATIONS) / SECOND as f64 * (1.0 + HEADROOM)).ceil() as usize;
        let cap = if d.latency.measured { (littles_law + d.cap_growth).clamp(1, clamp) } else { clamp };
        cap.min(share)
    }

    /// Ready endpoints that are unhealthy or have overdue calls, and ready endpoints in all.
    fn count_unhealthy(&self, destination: usize) -> (usize, usize) {
        let ready = |e: &&Endpoint| e.status == EndpointStatus::Ready;
        let endpoints =
            self.destinations[destination].endpoints.iter().map(|&e| &self.endpoints[e]).filter(ready);
        let is_unhealthy = |e: &Endpoint| usize::from(e.health != Health::Healthy || e.overdue_calls > 0);
        endpoints.fold((0, 0), |(unhealthy, total), e| (unhealthy + is_unhealthy(e), total + 1))
    }

    /// Gives up mails early enough before the deadline that the answer still counts, and evicts mails over
    /// the limit.
    fn give_up_hopeless(&mut self, actions: &mut Vec<Action>) {
        let margin = self.check_interval() + self.settings.timer_resolution;
        // From the last call of a shutdown on, mails that expire before the next process begins its calls are
        // not held.
        let successor_from =
            self.shutdown.filter(|end| self.now >= end.calls_until).map_or(0, |end| end.successor_from);
        for mail in 0..self.mails.len() {
            let m = &self.mails[mail];
            if m.state == MailState::Queued
                && (successor_from.max(self.now + margin) >= m.deadline || !self.allowed_next(m).0)
            {
                self.give_up(mail, actions);
            }
        }
        // A full courier would reject new mails unseen, so the least valuable mail is evicted. After the
        // limit is lowered, the old one goes down as the mails that it allowed end.
        self.mail_limit = self.mail_limit.min(self.open_mails * 20 / 19 + 1).max(self.settings.max_mails);
        while self.open_mails * 20 > self.mail_limit * 19 {
            let value = |mail: usize| self.value_rate(&self.mails[mail]);
            let Some(least) = queued_mails(&self.mails).min_by(|&a, &b| value(a).total_cmp(&value(b))) else {
                return;
            };
            self.give_up(least, actions);
        }
    }

    /// The cost of waiting: the importance lost per second, which weighs more as the target time or the
    /// deadline comes near.
    fn urgency(&self, mail: usize) -> f64 {
        let (m, class) = (&self.mails[mail], &self.settings.classes[self.mails[mail].class]);
        let (remaining, loss) =
            class.decayed_importance(self.settings.half_life_decay, self.now.saturating_sub(m.target_time));
        let target_delay = to_seconds(class.target_delay.max(1));
        let proximity = |time: Time| (-to_seconds(time.saturating_sub(self.now)) / target_delay).exp();
        loss * proximity(m.target_time) + remaining / target_delay * proximity(m.deadline)
    }

    /// What giving a mail up would lose: its importance one target delay after its destination is expected to
    /// accept it, divided by that time.
    fn value_rate(&self, m: &Mail) -> f64 {
        let class = &self.settings.classes[m.class];
        let absence = self.destinations[m.destination]
            .endpoints
            .iter()
            .map(|&e| self.expected_absence(e))
            .min()
            .unwrap_or(class.target_delay);
        let at = self.now + class.target_delay + absence;
        let remaining =
            class.decayed_importance(self.settings.half_life_decay, at.saturating_sub(m.target_time)).0;
        f64::from(u8::from(at < m.deadline)) * remaining / to_seconds(self.min_target_delay + absence)
    }

    /// How long an endpoint may still accept no mail: its hold, or for an outage as long again as it has
    /// lasted.
    fn expected_absence(&self, endpoint: usize) -> Time {
        let e = &self.endpoints[endpoint];
        let outage = if e.health == Health::Down { self.now.saturating_sub(e.health_since) } else { 0 };
        outage.max(self.limit_scopes[e.limit_scope].hold_until.saturating_sub(self.now))
    }

    /// Offers queued mails to their destinations, the most urgent destination first.
    fn dispatch(&mut self, actions: &mut Vec<Action>) {
        let calls_allowed = self.shutdown.is_none_or(|end| self.now < end.calls_until);
        let mut order = std::mem::take(&mut self.dispatch_order);
        order.clear();
        for (destination, d) in
            self.destinations.iter().enumerate().filter(|(_, d)| calls_allowed && d.queued() > 0)
        {
            // What a call saves per slot time, since slots are the scarce resource.
            let max_urgency = d.queues.iter().flatten().map(|&m| self.urgency(m)).fold(0.0, f64::max);
            let kind = d.endpoints.first().map_or(0, |&e| self.endpoints[e].kind);
            let batch = self.settings.kinds[kind].max_batch.min(d.queued()) as f64;
            order.push((max_urgency * batch / d.latency.mean.max(1.0), destination));
        }
        order.sort_by(|a, b| b.0.total_cmp(&a.0));
        for &(_, destination) in &order {
            let has_room = |c: &Control| {
                c.calls_in_flight < c.settings.slots
                    && c.destinations[destination].calls_in_flight < c.call_cap(destination)
            };
            while has_room(self) && self.send_call(destination, actions) {}
        }
        self.dispatch_order = order;
    }

    /// Sends one call to one endpoint of the destination, if one is available.
    fn send_call(&mut self, destination: usize, actions: &mut Vec<Action>) -> bool {
        let Some(endpoint) = self.select_endpoint(destination) else { return false };
        let e = &self.endpoints[endpoint];
        let trial = matches!(e.health, Health::Suspect | Health::Down);
        let batch = if trial { 1 } else { self.settings.kinds[e.kind].max_batch };
        let Some(slot) = self.calls.iter().position(|c| c.pending_mails == 0) else { return false };
        let mut sent = 0;
        while sent < batch {
            let Some((queue, position)) = self.select_mail(destination, endpoint) else { break };
            let mail = self.destinations[destination].queues[queue].swap_remove(position);
            let timeout = self.connect_timeout(mail, endpoint);
            let m = &mut self.mails[mail];
            (m.state, m.call) = (MailState::InFlight, slot);
            m.connects_used += 1;
            // An ordered mail needs an outcome that is final at once, or the next of its key would be sent before it is
            // over.
            let is_once_only = self.settings.classes[m.class].effect == Effect::OnceOnly;
            let new_connection = m.key.is_some() || is_once_only && self.risks_kept_connection(endpoint);
            actions.push(Action::Connect { mail, endpoint, timeout, new_connection });
            sent += 1;
        }
        self.calls[slot] = Call { endpoint, started_at: self.now, pending_mails: sent, overdue: false };
        self.calls_in_flight += 1;
        self.destinations[destination].calls_in_flight += 1;
        let e = &mut self.endpoints[endpoint];
        (e.calls_in_flight, e.ramp_tokens.tokens) = (e.calls_in_flight + 1, e.ramp_tokens.tokens - 1.0);
        let scope = &mut self.limit_scopes[e.limit_scope];
        // Calls from before a rate was kept leave no debt.
        scope.pace_tokens.tokens = (scope.pace_tokens.tokens - 1.0).max(0.0);
        scope.sent_calls.increment(self.now, RATE_WINDOW);
        scope.share_tokens.tokens = (scope.share_tokens.tokens - 1.0).max(-1.0);
        true
    }

    /// Whether a once-only mail is likely to be lost on a kept connection to an endpoint: by a break, or by a refusal, which
    /// may be a copy of an earlier one there, so that the mail may have run.
    fn risks_kept_connection(&self, endpoint: usize) -> bool {
        let refusal_rate = self.limit_scopes[self.endpoints[endpoint].limit_scope].refusal_rate;
        self.broken_reused > NEWEST_WEIGHT || refusal_rate > self.settings.handshake_cost
    }

    /// The most urgent mail that this endpoint may get. Repeated connects go only when no first connect can.
    fn select_mail(&self, destination: usize, endpoint: usize) -> Option<(usize, usize)> {
        let e = &self.endpoints[endpoint];
        // Once-only mails are not risked in trials. But where only they are queued and no endpoint is
        // healthy, one of them is the trial, since otherwise the endpoint would never be tried again.
        let is_once_only =
            |&mail: &usize| self.settings.classes[self.mails[mail].class].effect == Effect::OnceOnly;
        let (unhealthy, total) = self.count_unhealthy(destination);
        let last_resort = unhealthy == total
            && e.calls_in_flight == 0
            && self.destinations[destination].queues.iter().flatten().all(is_once_only);
        let trial = matches!(e.health, Health::Suspect | Health::Down) && !last_resort;
        let risky = trial || e.error_rate > NEWEST_WEIGHT;
        (0..2).find_map(|queue| {
            let eligible =
                self.destinations[destination].queues[queue].iter().enumerate().filter(|&(_, &mail)| {
                    let m = &self.mails[mail];
                    let c = &self.settings.classes[m.class];
                    !(risky && c.effect == Effect::OnceOnly)
                        && (c.importance >= self.max_importance
                            || self.now >= self.limit_scopes[e.limit_scope].priority_only_until)
                        && m.first_run.is_none_or(|(_, zone)| !c.dedup_by_zone || zone == e.zone)
                        && m.key.is_none_or(|key| {
                            let k = &self.keys[key];
                            k.queue.first() == Some(&mail)
                                && (m.connects_used > 0 || self.now >= k.quiet_until)
                        })
                });
            let eligible = eligible.map(|(position, &mail)| (self.urgency(mail), position));
            eligible.max_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, position)| (queue, position))
        })
    }

    fn connect_timeout(&self, mail: usize, endpoint: usize) -> Time {
        let m = &self.mails[mail];
        let remaining = m.deadline.saturating_sub(self.now).max(1);
        let Some(tails) = TIMEOUT_TAILS.get(self.settings.classes[m.class].effect as usize) else {
            return remaining;
        };
        let timeout = (self.tail_latency(endpoint) * tails * (1.0 + m.connects_used as f64)) as Time;
        timeout.max(4 * self.settings.timer_resolution).min(remaining)
    }

    /// Picks two available endpoints at random and takes the one with the lower expected time. A due trial of
    /// an endpoint that is down comes first.
    fn select_endpoint(&mut self, destination: usize) -> Option<usize> {
        let (mut candidates, mut seen) = ([None, None], 0);
        for i in 0..self.destinations[destination].endpoints.len() {
            let endpoint = self.destinations[destination].endpoints[i];
            // Skips endpoints that may get none of the queued mails, because of a trial or a zone: mails
            // would wait behind them.
            if !self.check_available(endpoint) || self.select_mail(destination, endpoint).is_none() {
                continue;
            }
            if self.endpoints[endpoint].health == Health::Down {
                return Some(endpoint);
            }
            seen += 1;
            // Reservoir sampling: each pair of those seen so far is equally likely.
            let position = if seen <= 2 { seen - 1 } else { self.rng.usize(..seen) };
            candidates.get_mut(position).into_iter().for_each(|candidate| *candidate = Some(endpoint));
        }
        candidates
            .into_iter()
            .flatten()
            .min_by(|&a, &b| self.expected_time(a).total_cmp(&self.expected_time(b)))
    }

    /// Expected time at an endpoint, by this courier's own measurements.
    fn expected_time(&self, endpoint: usize) -> f64 {
        let e = &self.endpoints[endpoint];
        let suspect_penalty = if e.health == Health::Suspect { self.tail_latency(endpoint) } else { 0.0 };
        let mean =
            if e.latency.measured { e.latency.mean } else { self.destinations[e.destination].latency.mean };
        let fee = self
            .settings
            .zone_fees
            .get(e.zone)
            .filter(|_| self.settings.kinds[e.kind].per_endpoint_limits)
            .unwrap_or(&0.0);
        // The queueing time at an endpoint of this limit if all couriers did as this one does.
        let scope = &self.limit_scopes[e.limit_scope];
        let share_wait = if scope.fair_share > 0.0 {
            (1.0 - scope.share_tokens.tokens).max(0.0) / scope.fair_share
        } else {
            0.0
        };
        let connection_open = e.latency.measured && self.now < e.last_success + self.settings.idle_timeout;
        let fee = fee + if connection_open { 0.0 } else { self.settings.handshake_cost };
        mean * (1 + e.calls_in_flight) as f64
            + suspect_penalty
            + share_wait * SECOND as f64
            + fee * FEE_TARGET_DELAYS * self.min_target_delay as f64
    }

    /// Turns at a rate up to a time. All couriers count them by the same clock, each with an offset of its
    /// own, so that they do not send together and get refused.
    fn turns_until(&self, rate: f64, at: Time) -> f64 {
        (rate * to_seconds(at) - self.settings.courier_index as f64 / self.settings.couriers as f64).floor()
    }

    /// Whether an endpoint may be sent a call now. Refills its token buckets.
    fn check_available(&mut self, endpoint: usize) -> bool {
        let e = &self.endpoints[endpoint];
        let (rate, burst) = self.pace_and_burst(e);
        let by_turns = self.limit_control(e) == LimitControl::Turns;
        // No turns are saved up from before the start, or hundreds of couriers that start together would all
        // send at once.
        let since = Some(self.limit_scopes[e.limit_scope].pace_tokens.updated_at)
            .filter(|&at| at > 0)
            .unwrap_or(self.now);
        let turns =
            if by_turns { self.turns_until(rate, self.now) - self.turns_until(rate, since) } else { 0.0 };
        let scope = &mut self.limit_scopes[e.limit_scope];
        scope.share_tokens.refill(self.now, scope.fair_share, 2.0);
        // Nothing is saved up before a rate is kept.
        scope.pace_tokens =
            if rate == 0.0 { TokenBucket { tokens: 0.0, updated_at: self.now } } else { scope.pace_tokens };
        let (on_hold, bucket) =
            (e.status != EndpointStatus::Ready || self.now < scope.hold_until, &mut scope.pace_tokens);
        let mut has_token = || {
            if by_turns {
                bucket.add(self.now, turns, burst)
            } else {
                bucket.refill(self.now, rate, burst)
            }
        };
        if on_hold || (rate > 0.0 && !has_token()) {
            return false;
        }
        match e.health {
            Health::Healthy => true,
            // Trials grow further apart, and an endpoint that hangs does not take up a slot with each overdue
            // call.
            Health::Suspect | Health::Down => {
                e.calls_in_flight <= e.overdue_calls && self.now >= e.next_trial_at
            }
            Health::Recovering if self.now > e.health_since + self.settings.warm_up => {
                self.apply_signal(endpoint, Signal::WarmedUp);
                true
            }
            Health::Recovering => {
                let warm_up_part = (self.now - e.health_since) as f64 / self.settings.warm_up.max(1) as f64;
                let rate = self.recovery_rate(endpoint, warm_up_part);
                self.endpoints[endpoint].ramp_tokens.refill(self.now, rate, 1.0)
            }
        }
    }

    /// Calls per second to a recovering endpoint: this courier's fair share of the capacity that it has so
    /// far.
    fn recovery_rate(&self, endpoint: usize, warm_up_part: f64) -> f64 {
        let e = &self.endpoints[endpoint];
        let endpoints = self.count_unhealthy(e.destination).1.max(1) as f64;
        let fair_share = self.limit_scopes[e.limit_scope].fair_share
            / if self.settings.kinds[e.kind].per_endpoint_limits { 1.0 } else { endpoints };
        let arrival_rate = self.destinations[e.destination]
            .warm_up_arrivals
            .rate(self.now, self.settings.warm_up.max(RATE_WINDOW))
            / endpoints;
        // No minimum where the limit is known: the minimums of all couriers would add up to more than it.
        let full_rate = if fair_share > 0.0 {
            fair_share
        } else {
            arrival_rate.max(1.0 / to_seconds(self.settings.warm_up.max(SECOND)))
        };
        let capacity =
            self.settings.cold_capacity + (1.0 - self.settings.cold_capacity) * warm_up_part.min(1.0);
        full_rate * capacity * RECOVERY_SHARE * self.settings.overload_multiple.min(2.0) / 2.0
    }

    /// Releases endpoints that left the list one warm-up ago and have no call in flight. No input refers to
    /// their index any more.
    fn release_removed_endpoints(&mut self, actions: &mut Vec<Action>) {
        let mut removed = std::mem::take(&mut self.removed_endpoints);
        removed.retain(|&endpoint| {
            let e = &self.endpoints[endpoint];
            if e.known
                && e.status == EndpointStatus::Removed
                && e.calls_in_flight == 0
                && self.now >= e.removed_at + self.settings.warm_up
            {
                self.destinations[e.destination].endpoints.retain(|other| *other != endpoint);
                self.endpoints[endpoint] =
                    Endpoint { status: EndpointStatus::Removed, ..Endpoint::default() };
                actions.push(Action::FreeEndpoint(endpoint));
            }
            self.endpoints[endpoint].known && self.endpoints[endpoint].status == EndpointStatus::Removed
        });
        self.removed_endpoints = removed;
    }

    /// Releases keys whose mails have all ended, once their quiet period is over.
    fn release_quiet_keys(&mut self, actions: &mut Vec<Action>) {
        let (keys, now) = (&mut self.keys, self.now);
        self.quiet_keys.retain(|&key| {
            let (empty, quiet_over) = (keys[key].queue.is_empty(), now >= keys[key].quiet_until);
            actions.extend((empty && quiet_over).then_some(Action::FreeKey(key)));
            empty && !quiet_over
        });
    }
}
