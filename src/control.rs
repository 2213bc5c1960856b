//! All decisions of a courier: build one `Control`, call `step` once a turn with the clock, its inputs and
//! a buffer for the actions (`interface.rs`); it returns when to call again.
//! The ordinary path is the design's: a cap on each destination's calls in flight, what is over it is parked.

use crate::interface::{AcceptedMail, Settings, Time, SECOND};
use crate::interface::{
    Action, ConnectResult, Effect, EndpointStatus, Input, ListEntry, Outcome, PeerNote, Shutdown,
};
use crate::state::{grow, is_at, parked, seconds, sum_shares};
use crate::state::{Call, Dest, Endpoint, Key, Mail, Place, Saved, Unit, Units};

mod inspect;

/// Headroom of Little's law; the design's figure for arrivals in batches.
const HEADROOM: f64 = 1.0 / 3.0;
/// Deviations above the mean at which the tail of served calls is put.
const TAIL_DEVIATIONS: f64 = 4.0;
/// Weight of the newest served call in a latency estimate.
const NEWEST: f64 = 0.1;
/// The clamp's share of the slots, that of a sick destination, and of one whose endpoints are all sick.
const SHARES: [(usize, usize); 3] = [(3, 4), (1, 2), (1, 4)];
/// Time-out in tails: redeliverable, tagged; once-only calls may run to their end.
const PATIENCE: [f64; 2] = [3.0, 4.0];
/// What is kept of a count of bad outcomes at each served call.
const KEPT: f64 = 0.95;
/// Window over which rates are counted.
const WINDOW: Time = 2 * SECOND;
/// A pace after a refusal, and what a served call adds to it while mails wait, as part of the even share.
const SLOWER: f64 = 0.85;
const FASTER: f64 = 0.05;
/// Calls a target delay in an even share, under which no pace is kept: it would starve a courier's few mails.
const SCANT: f64 = 0.5;
/// The same, under which the share itself is kept to, by turns: refusals would teach a pace too late.
const FEW: f64 = 2.0;
/// Part of a mail's time within which its turn must come, by the turns of those ahead, for it to be taken on.
const IN_TIME: f64 = 0.6;
/// Turns at a limit that a courier saves up.
const SAVED: f64 = 2.0;
/// Target delays that a fee of a whole mail's worth weighs in the pick.
const FEE_TARGETS: f64 = 8.0;
/// Calls while a connection is kept idle, and those times its price, under which it is closed.
const SELDOM: (f64, f64) = (0.25, 0.005);
/// Part of a limit that is left, up to which it counts as used up.
const USED_UP: f64 = 0.02;
/// Seconds over which mails for a full unit spread, for refusals of a second of its limit told of late.
const SPREAD: f64 = 4.0;
/// Couriers that hear what one saw, in the mean: with more of them one sight in several is told of.
const HEARD_BY: f64 = 256.0;
/// Part of its paced share that a returning endpoint is sent.
const RETURN_SHARE: f64 = 1.1;

/// What an endpoint is held to be.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Health {
    #[default]
    Healthy,
    Suspect,    // one sign of trouble: trials only, nothing that must not run twice
    Down,       // held to be out: a trial call now and then
    Recovering, // back and cold: a paced share that grows
}

/// What keeps the calls to an endpoint within its limit, by how much of it is this courier's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kept {
    Pace,  // a pace that refusals teach
    Share, // too little for that: the share itself, by turns
    Stay,  // too little to wait for: it stays away for a while after a refusal
}

/// What was seen of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Sign {
    Good,  // a call was served
    Back,  // a call was served after a gap in which an outage may have come and gone
    Bad,   // a call failed, found nobody, got no answer, or was refused when no limit explains it
    Late,  // a call outlasts its usual latency with nothing served since it was sent, or a trial was refused
    Warm,  // the time for warming up is over
    Brief, // another courier's call was served, too soon for an outage that leaves it cold
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    Note,
    BackOff,
    Ramp,
}

/// (state, input, next state, effect); a pair that is not listed changes nothing.
const STANDINGS: [(Health, Sign, Health, Step); 12] = [
    (Health::Healthy, Sign::Bad, Health::Suspect, Step::BackOff),
    (Health::Healthy, Sign::Late, Health::Suspect, Step::BackOff),
    (Health::Suspect, Sign::Late, Health::Suspect, Step::BackOff),
    (Health::Down, Sign::Late, Health::Down, Step::BackOff),
    (Health::Suspect, Sign::Good, Health::Healthy, Step::Note),
    (Health::Suspect, Sign::Back, Health::Recovering, Step::Ramp),
    (Health::Suspect, Sign::Bad, Health::Down, Step::BackOff),
    (Health::Down, Sign::Good, Health::Recovering, Step::Ramp),
    (Health::Down, Sign::Bad, Health::Down, Step::BackOff),
    (Health::Recovering, Sign::Bad, Health::Down, Step::BackOff),
    (Health::Recovering, Sign::Warm, Health::Healthy, Step::Note),
    (Health::Down, Sign::Brief, Health::Healthy, Step::Note),
];

#[derive(Default)]
pub struct Control {
    set: Settings,
    chance: fastrand::Rng,
    now: Time,
    /// The shortest target delay of all queue classes, and the highest importance.
    target: Time,
    top: f64,
    /// The shortest lifetime: what is learnt over it is learnt in time for what waits.
    window: Time,
    room: usize,
    mails: Vec<Mail>,
    calls: Vec<Call>,
    endpoints: Vec<Endpoint>,
    units: Units,
    dests: Vec<Dest>,
    keys: Vec<Key>,
    open: usize,
    out: usize,
    ask_at: Option<Time>,
    asks_failed: u32,
    /// Kept connections that broke of late; fading with each served call.
    stale: f64,
    /// Connects that found nobody, by kind, fading with each served call; endpoints whose connections close.
    crowded: Vec<f64>,
    unused: Vec<usize>,
    /// What the other couriers are to be told.
    news: Vec<(usize, PeerNote)>,
    /// Endpoints that left the list and are still kept in mind.
    leaving: Vec<usize>,
    ending: Option<Shutdown>,
    order: Vec<(f64, usize)>,
    resting: Vec<usize>,
}

impl Control {
    pub fn new(set: Settings) -> Control {
        let (chance, ask_at) = (fastrand::Rng::with_seed(set.seed), set.poll_list.then_some(0));
        let mut control = Control { chance, ask_at, ..Control::default() };
        control.keep_to(set);
        control
    }

    /// From here on decisions go by these settings. What is out or taken on stays, also beyond them.
    fn keep_to(&mut self, set: Settings) {
        // Guards against what a raised limit would let go at once: the old one saved it up and grew it.
        let _ = (0..self.endpoints.len()).filter(|&e| self.endpoints[e].known && self.free(e)).count();
        for dest in (0..self.dests.len()).filter(|_| set.slots > self.set.slots) {
            self.dests[dest].grown = self.dests[dest].grown.min(self.cap(dest));
        }
        let part = self.set.couriers as f64 / set.couriers.max(1) as f64;
        self.units.iter_mut().for_each(|unit| (unit.even, unit.pace) = (unit.even * part, unit.pace * part));
        (self.top, self.window, self.target) = set.extremes(WINDOW);
        self.room = self.room.max(set.max_mails);
        self.set = set.extended_from(std::mem::take(&mut self.set));
        self.crowded.resize(self.set.kinds.len(), 0.0);
        let used = self.calls.iter().rposition(|call| call.left > 0).map_or(0, |last| last + 1);
        self.calls.resize(used.max(self.set.slots.min(1 << 16)), Call::default());
        sum_shares(&mut self.dests, &self.endpoints, &self.units);
    }

    /// Whether a call may still begin: its endpoint was neither told of as leaving nor held since.
    pub fn may_call(&self, endpoint: usize, now: Time) -> bool {
        let e = &self.endpoints[endpoint];
        e.life == EndpointStatus::Ready && now >= self.units[e.unit].hold_until
    }

    /// Whether a mail that is not taken on yet would be the next to make way in a full room, or its turn come
    /// too late. Guards against mails that are taken and handed back unsent: at the door that costs nothing.
    pub fn would_reject(&self, dest: usize, class: usize, due: Time) -> bool {
        let Some((c, d)) = self.set.classes.get(class).zip(self.dests.get(dest)) else { return false };
        let mail = Mail { dest, class, target: self.now + c.target_delay, due, ..Mail::default() };
        let (full, hope) = ((self.open + 1) * 20 > self.set.max_mails * 19, self.hope(&mail));
        let by_turns = d.endpoints.iter().any(|&e| self.kept_by(&self.endpoints[e]) == Kept::Share);
        let worth = |mail: usize| self.set.classes[self.mails[mail].class].importance;
        let ahead = d.lines.iter().flatten().filter(|&&mail| worth(mail) >= c.importance).count() as f64;
        let behind = by_turns && ahead > d.even * IN_TIME * seconds(due.saturating_sub(self.now));
        let untried =
            self.ending.is_some_and(|end| due <= end.successor_from && !self.tries(dest, end.calls_until));
        untried || behind || full && parked(&self.mails).all(|m| self.hope(&self.mails[m]) >= hope)
    }

    /// Whether one more mail is likely to be sent by then: an endpoint is there, and those ahead are through.
    fn tries(&self, dest: usize, until: Time) -> bool {
        let out = |e: usize| matches!(self.endpoints[e].standing, Health::Suspect | Health::Down);
        let there = self.dests[dest].endpoints.iter().any(|&e| !out(e) && self.may_call(e, until));
        let ahead = self.dests[dest].waiting() as f64 * self.dests[dest].latency.mean / self.cap(dest) as f64;
        there && self.now + (ahead as Time) < until
    }

    /// One turn: read all inputs, then decide. Returns when the next turn is wanted at the latest.
    pub fn step(&mut self, now: Time, inputs: &[Input], out: &mut Vec<Action>) -> Option<Time> {
        self.now = self.now.max(now);
        inputs.iter().for_each(|input| self.read(input, out));
        self.watch_calls();
        out.extend(self.ask_at.take_if(|at| *at <= now).map(|_| Action::RequestList));
        self.give_up_hopeless(out);
        self.dispatch(out);
        out.extend(self.unused.drain(..).map(Action::CloseIdle));
        let heard_by = if self.set.peer_notes { HEARD_BY / self.set.couriers as f64 } else { 0.0 };
        let news = self.news.drain(..).filter(|_| self.chance.f64() < heard_by);
        out.extend(news.map(|(endpoint, news)| Action::SendNote { endpoint, note: news }));
        self.rest_keys(out);
        self.forget(out);
        let busy = self.open > 0 || self.out > 0 || !self.resting.is_empty();
        busy.then_some(now + self.tick()).into_iter().chain(self.ask_at).min()
    }

    /// How often parked mails and calls out are looked at; answers in time need a margin above it.
    fn tick(&self) -> Time {
        2 * self.set.timer_resolution.max(SECOND / 1000)
    }

    fn read(&mut self, input: &Input, out: &mut Vec<Action>) {
        match *input {
            Input::ListBegin { complete: whole } => {
                self.asks_failed = 0;
                self.endpoints.iter_mut().filter(|_| whole).for_each(|e| e.named = false);
            }
            Input::ListEntry(ref entry) => self.list(entry),
            Input::ListEnd => {
                let gone = |e: &Endpoint| !e.named && e.life != EndpointStatus::Removed;
                for (endpoint, e) in self.endpoints.iter_mut().enumerate().filter(|(_, e)| gone(e)) {
                    (e.life, e.gone_at) = (EndpointStatus::Removed, self.now);
                    self.leaving.push(endpoint);
                }
                sum_shares(&mut self.dests, &self.endpoints, &self.units);
            }
            Input::ListFailed => {
                self.asks_failed = (self.asks_failed + 1).min(4);
                self.ask_at = Some(self.now + ((self.set.max_poll_delay / 32) << self.asks_failed));
            }
            Input::AcceptedMail(ref taken) => self.arrive(taken),
            Input::KeyInFlight { key, at: since } => {
                grow(&mut self.keys, key);
                self.keys[key].rest_until = self.keys[key].rest_until.max(since + self.set.ordering_gap);
                self.resting.push(key);
            }
            Input::ClientGone { mail } if is_at(&self.mails, mail, [Place::Parked, Place::Out]) => {
                self.end(mail, out)
            }
            Input::ConnectResult(ref ended) if is_at(&self.mails, ended.mail, [Place::Out, Place::Over]) => {
                self.settle(ended, out)
            }
            Input::PeerNote { endpoint, note: news } => self.hear(endpoint, news),
            Input::Settings(ref set) => self.keep_to((**set).clone()),
            Input::Shutdown(ending) => self.ending = Some(ending),
            Input::ClientGone { .. } | Input::ConnectResult(_) | Input::Wakeup => {}
        }
    }

    /// What another courier saw. Nothing of it is passed on.
    fn hear(&mut self, endpoint: usize, news: PeerNote) {
        let Some(e) = self.endpoints.get(endpoint).filter(|e| e.known) else { return };
        let brief = self.now < e.ill_since + self.set.overload_duration;
        let (unit, told, wait) = (e.unit, e.told, if let PeerNote::Refusing(wait) = news { wait } else { 0 });
        self.endpoints[endpoint].told = news == PeerNote::Down || told && news != PeerNote::Recovered;
        match news {
            PeerNote::Down if told => {}
            PeerNote::Down => [Sign::Bad; 2].into_iter().for_each(|sign| self.sign(endpoint, sign)),
            PeerNote::Recovered if !brief => self.sign(endpoint, Sign::Good),
            // After a false alarm too they come back spread, not all at once.
            PeerNote::Refusing(_) | PeerNote::Recovered => {
                let until = self.now + wait + self.spread(unit, wait, 0.0) as Time;
                self.units[unit].hold_until = self.units[unit].hold_until.max(until);
                if news == PeerNote::Recovered {
                    self.sign(endpoint, Sign::Brief);
                }
            }
        }
    }

    /// A random part of the time over which couriers spread that a unit refused: a call of each if shut,
    /// refusals told of late over its limit, or a few target delays if some of that was left.
    fn spread(&mut self, unit: usize, wait: Time, left: f64) -> f64 {
        let (unit, couriers) = (&mut self.units[unit], self.set.couriers as f64);
        let limit = (unit.even * couriers).max(0.5);
        let turns = 2.0 * SECOND as f64 * couriers / limit;
        let (memory, told) = (self.set.connection_timeout.max(1), (couriers / HEARD_BY).max(1.0));
        unit.full.add(self.now, memory, told);
        let most = match () {
            () if wait > self.set.overload_duration => turns,
            () if self.set.peer_notes => unit.full.count / limit * SPREAD * SECOND as f64,
            () if left > USED_UP => turns.min((self.target << unit.refused.min(4)) as f64),
            () => turns,
        };
        most * self.chance.f64()
    }

    fn list(&mut self, entry: &ListEntry) {
        let ListEntry { endpoint, destination: dest, zone, kind, status: life, rate } = *entry;
        grow(&mut self.endpoints, endpoint);
        grow(&mut self.dests, dest);
        let (now, kind) = (self.now, kind.min(self.set.kinds.len() - 1));
        if !self.endpoints[endpoint].known {
            // A newcomer shares its destination's waits, unless routes are apart.
            let apart = self.set.kinds[kind].per_endpoint_limits;
            let unit = Units::number(dest, apart.then_some(endpoint));
            self.units.grow(unit);
            self.units[unit] = if apart { Unit::default() } else { std::mem::take(&mut self.units[unit]) };
            // Couriers start at different points of their share, not all with the cheapest route.
            self.units[unit].share = Saved { calls: 2.0 * self.chance.f64(), at: now };
            // Guards against a cold replacement that all couriers fill at once: it warms up like one back.
            let sisters = self.dests[dest].endpoints.iter().map(|&s| &self.endpoints[s]);
            let well =
                sisters.filter(|s| s.life == EndpointStatus::Ready).all(|s| s.standing == Health::Healthy);
            let standing = if well { Health::Healthy } else { Health::Recovering };
            let new = Endpoint { known: true, dest, unit, zone, kind, standing, ..Endpoint::default() };
            self.endpoints[endpoint] = new.from(now);
            // Guards against couriers that all favour the first endpoint of the list while none is measured.
            let place = self.chance.usize(..=self.dests[dest].endpoints.len());
            self.dests[dest].endpoints.insert(place, endpoint);
        }
        let e = &mut self.endpoints[endpoint];
        self.leaving.extend(
            (life == EndpointStatus::Removed && e.life != EndpointStatus::Removed).then_some(endpoint),
        );
        e.gone_at = if life == EndpointStatus::Removed && e.life == EndpointStatus::Removed {
            e.gone_at
        } else {
            now
        };
        (e.life, e.named) = (life, true);
        if self.set.list_has_rates {
            self.limited(endpoint, rate);
        }
    }

    /// What keeps an endpoint's calls within its limit.
    fn kept_by(&self, e: &Endpoint) -> Kept {
        let even = self.units[e.unit].even;
        let waited_for = self.dests[e.dest].even * seconds(self.window) >= 1.0; // a call a lifetime
        match even * seconds(self.target) {
            calls if even > 0.0 && calls < FEW && waited_for => Kept::Share,
            calls if even > 0.0 && calls < SCANT => Kept::Stay,
            _ => Kept::Pace,
        }
    }

    /// Calls a second that this courier allows itself at a unit, and how many it saves up; 0: no pace.
    fn pace(&self, e: &Endpoint) -> (f64, f64) {
        let unit = &self.units[e.unit];
        match self.kept_by(e) {
            Kept::Share => (unit.even, SAVED),
            Kept::Pace => (unit.pace, unit.pace / 2.0),
            Kept::Stay => (0.0, 0.0),
        }
    }

    /// A limit is listed or told. Where calls carry several mails a pace from the start fills them.
    fn limited(&mut self, endpoint: usize, limit: f64) {
        let e = &self.endpoints[endpoint];
        let unit = &mut self.units[e.unit];
        let before = std::mem::replace(&mut unit.even, limit.max(0.0) / self.set.couriers as f64);
        if unit.even > 0.0 && before > 0.0 {
            // Guards against a limit that sinks: the pace goes with it, before refusals teach it.
            unit.pace *= unit.even / before;
        } else if self.set.kinds[e.kind].max_batch > 1 && unit.even * seconds(self.target) >= FEW {
            unit.pace = unit.even;
        }
    }

    fn arrive(&mut self, taken: &AcceptedMail) {
        let AcceptedMail {
            mail,
            destination: dest,
            class,
            key,
            submitted_at: since,
            deadline: due,
            connects_used: connects,
            first_run: ran,
        } = *taken;
        let class = class.min(self.set.classes.len() - 1);
        if let Some(key) = key {
            grow(&mut self.keys, key).line.push(mail);
        }
        let (place, target) = (Place::Parked, since + self.set.classes[class].target_delay);
        *grow(&mut self.mails, mail) = Mail { place, dest, class, key, target, due, connects, ran, call: 0 };
        let d = grow(&mut self.dests, dest);
        d.arrivals.count(self.now, WINDOW);
        d.steady.count(self.now, self.set.warm_up.max(WINDOW));
        d.lines[usize::from(connects > 0)].push(mail);
        self.open += 1;
    }

    /// Whether a mail may be connected once more, and whether it may be deferred. Nothing else decides it.
    fn may(&self, m: &Mail) -> (bool, bool) {
        let c = &self.set.classes[m.class];
        let left = m.connects < self.set.max_connects && self.now < m.due;
        match (m.ran, c.effect) {
            (None, _) | (_, Effect::Redeliverable) => (left, true),
            (Some((sent, _)), Effect::Tagged) => {
                // Guards against a repeat still on its way, or its connection made, as the window ends.
                let known = self.now + self.set.connection_timeout < sent + c.dedup_window;
                (left && known, !c.dedup_by_zone)
            }
            (Some(_), Effect::OnceOnly) => (false, false),
        }
    }

    /// The final answer of a mail that is given up, at once.
    fn give_up(&mut self, mail: usize, out: &mut Vec<Action>) {
        let (_, deferrable) = self.may(&self.mails[mail]);
        let pause = self.set.max_retry_after.min(self.mails[mail].due.saturating_sub(self.now));
        out.push(if deferrable {
            Action::Defer { mail, retry_after: pause }
        } else {
            Action::Bounce { mail }
        });
        self.end(mail, out);
    }

    /// A mail is over: it leaves the lines, and its place when no connect of it is out.
    fn end(&mut self, mail: usize, out: &mut Vec<Action>) {
        let m = &mut self.mails[mail];
        self.open -= usize::from(m.place != Place::Over);
        if m.place == Place::Out {
            m.place = Place::Over;
            return;
        }
        self.dests[m.dest].lines.iter_mut().for_each(|line| line.retain(|&parked| parked != mail));
        m.place = Place::Free;
        if let Some(key) = m.key {
            self.keys[key].line.retain(|&queued| queued != mail);
            if self.keys[key].line.is_empty() && !self.resting.contains(&key) {
                self.resting.push(key);
            }
        }
        out.push(Action::FreeMail(mail));
    }

    /// A connect has its outcome: the slot returns, the endpoint is judged, the mail goes on or ends.
    fn settle(&mut self, ended: &ConnectResult, out: &mut Vec<Action>) {
        let ConnectResult { mail, outcome, finished: over, retry_after: wait, .. } = *ended;
        let now = self.now;
        let m = &mut self.mails[mail];
        let was_over = m.place == Place::Over;
        let call = &mut self.calls[m.call];
        let (endpoint, started) = (call.endpoint, call.started);
        let e = &mut self.endpoints[endpoint];
        // Any mail of a call may be the one that was told to wait.
        let unit = &mut self.units[e.unit];
        unit.hold_until = unit.hold_until.max(now + wait);
        call.left -= 1;
        let settled = call.left == 0;
        if settled {
            self.out -= 1;
            self.dests[m.dest].out -= 1;
            (e.out, e.late) = (e.out - 1, e.late - usize::from(call.late));
        }
        if !outcome.never_ran() {
            m.ran = m.ran.or(Some((started, e.zone)));
        }
        if let Some(key) = m.key.filter(|_| outcome.may_still_run()) {
            self.keys[key].rest_until = self.keys[key].rest_until.max(now + self.set.ordering_gap);
        }
        m.place = if was_over { Place::Over } else { Place::Parked };
        ended.limit_report.into_iter().for_each(|told| self.limited(endpoint, told.limit));
        if settled {
            self.judge(endpoint, started, ended);
        }
        if over || was_over {
            self.end(mail, out);
        } else if self.may(&self.mails[mail]).0 {
            self.dests[self.mails[mail].dest].lines[1].push(mail);
        } else {
            self.give_up(mail, out);
        }
    }

    /// What one call's outcome says of its endpoint, and of the unit that limits it.
    fn judge(&mut self, endpoint: usize, started: Time, ended: &ConnectResult) {
        let ConnectResult {
            outcome,
            retry_after: wait,
            duration: took,
            reused_connection: kept,
            limit_report: report,
            ..
        } = *ended;
        let now = self.now;
        let (kept_by, dest) = (self.kept_by(&self.endpoints[endpoint]), self.endpoints[endpoint].dest);
        let (unit_index, left) = (self.endpoints[endpoint].unit, report.map_or(0.0, |told| told.remaining));
        let refused = outcome == Outcome::Refused && started >= self.units[unit_index].refused_at;
        let spread = if refused { self.spread(unit_index, wait, left) } else { 0.0 };
        let (e, unit) = (&mut self.endpoints[endpoint], &mut self.units[unit_index]);
        // Guards against tables full of many couriers' idle connections; few couriers hardly fill one.
        if matches!(outcome, Outcome::Relayed | Outcome::Refused | Outcome::Error) {
            let crowded = self.crowded[e.kind] * self.set.couriers as f64 >= self.set.slots as f64;
            let (d, idle) = (&self.dests[dest], seconds(self.set.idle_timeout));
            let calls = d.steady.rate(now, self.set.warm_up.max(WINDOW)) * idle / d.endpoints.len() as f64;
            let seldom = calls < SELDOM.0 && calls * self.set.handshake_cost < SELDOM.1;
            self.unused.extend((crowded || seldom).then_some(endpoint));
        }
        match outcome {
            Outcome::Relayed => {
                let fading = [&mut self.stale, &mut self.crowded[e.kind]];
                fading.into_iter().for_each(|count| *count *= KEPT);
                let gap = e.bad_since_good && now > e.last_good + self.set.overload_duration;
                let sign = if gap && e.standing == Health::Suspect { Sign::Back } else { Sign::Good };
                // Guards against a call from before an outage that is taken for its end.
                let old = e.standing == Health::Down && started < e.since;
                (e.last_good, e.bad_since_good, unit.refused) = (now, false, 0);
                e.errs -= NEWEST * e.errs;
                e.latency.learn(took as f64, NEWEST);
                let d = &mut self.dests[e.dest];
                d.latency.learn(took as f64, NEWEST);
                d.grown = if d.waiting() > 0 { d.grown + 1 } else { 0 };
                // More for a courier that carries more than an even share.
                let more = unit.pace > 0.0 && d.waiting() > 0;
                unit.pace += if more { FASTER * unit.even.max(unit.pace) } else { 0.0 };
                let tells = !old && std::mem::take(&mut e.told) && e.standing == Health::Down;
                self.news.extend(tells.then_some((endpoint, PeerNote::Recovered)));
                Some(sign).filter(|_| !old).into_iter().for_each(|sign| self.sign(endpoint, sign));
            }
            // Guards against calls refused together that would count as refused one after the other.
            Outcome::Refused if started < unit.refused_at => e.bad_since_good = true,
            Outcome::Refused => {
                self.news.push((endpoint, PeerNote::Refusing(wait)));
                (e.bad_since_good, unit.refused_at) = (true, now);
                unit.refused_since = if unit.refused == 0 { now } else { unit.refused_since };
                // One that never served is refused within a round trip, and would be asked again in each.
                let usual =
                    if e.latency.seen { e.latency.mean } else { self.set.connection_timeout as f64 / 4.0 };
                let own = if wait > 0 { 0.0 } else { usual * f64::from(1 << unit.refused.min(4)) };
                // Guards against couriers back in step after a wait; what is worth most goes first.
                let (first, rest) = if kept_by == Kept::Stay { (spread / 4.0, spread) } else { (own, 0.0) };
                unit.hold_until = unit.hold_until.max(now + wait + first as Time);
                (unit.ease_until, unit.refused) = (now + wait + rest as Time, unit.refused + 1);
                // Guards against refused calls that use up the limit, whoever else shares it.
                let before =
                    if unit.pace > 0.0 { unit.pace } else { unit.sent.rate(now, WINDOW).max(unit.even) };
                let floor = if unit.even > 0.0 { unit.even / 12.0 } else { 0.2 };
                unit.pace = if kept_by == Kept::Pace { (before * SLOWER).max(floor) } else { 0.0 };
                let (calls, at) = if kept_by == Kept::Share { (0.0, now) } else { (1.0, unit.hold_until) };
                unit.saved = Saved { calls, at };
                // A trial that was turned away is one more sign: others fill what is cold.
                let lasting = now > unit.refused_since + self.set.overload_duration;
                if lasting || matches!(e.standing, Health::Suspect | Health::Down) {
                    self.sign(endpoint, if lasting { Sign::Bad } else { Sign::Late });
                }
                // Guards against one that was shut, opens cold, and gets at once what has waited for it.
                if wait > self.set.overload_duration {
                    for sister in self.dests[dest].endpoints.clone() {
                        if self.endpoints[sister].unit == unit_index {
                            self.endpoints[sister].bad_since_good = true;
                            self.sign(sister, Sign::Bad);
                        }
                    }
                }
            }
            Outcome::Silent if (took as f64) < e.latency.tail(TAIL_DEVIATIONS) => {} // cut short by its mail
            Outcome::Broken if kept => self.stale += 1.0, // closed by the far side meanwhile, most likely
            Outcome::Error | Outcome::Silent | Outcome::Unreached | Outcome::Broken => {
                e.bad_since_good = true;
                e.errs += NEWEST * (f64::from(u8::from(outcome == Outcome::Error)) - e.errs);
                let found_nobody = outcome == Outcome::Unreached && e.standing != Health::Down;
                self.crowded[e.kind] += f64::from(u8::from(found_nobody));
                // Full tables would raise the alarm, and so would slow calls of one that is cold.
                let tells = outcome != Outcome::Unreached && e.standing == Health::Suspect && !e.told;
                self.news.extend(tells.then_some((endpoint, PeerNote::Down)));
                e.told |= tells;
                self.sign(endpoint, Sign::Bad);
            }
            Outcome::Spoilt | Outcome::CalledOff | Outcome::Unsent => {}
        }
    }

    /// The loop that reads the table of standings.
    fn sign(&mut self, endpoint: usize, sign: Sign) {
        let now = self.now;
        let e = &mut self.endpoints[endpoint];
        let row = STANDINGS.iter().find(|row| row.0 == e.standing && row.1 == sign);
        let Some(&(_, _, next, step)) = row else { return };
        e.ill_since = if e.standing == Health::Healthy { now } else { e.ill_since };
        let since = if next != e.standing { now } else { e.since };
        (e.standing, e.since) = (next, since);
        match step {
            Step::Note => e.trials = 0,
            Step::BackOff => {
                // Doubling from a quarter of the time to make a connection, up to a share of the warm-up.
                let pause = ((self.set.connection_timeout / 4) << e.trials.min(5)).min(self.set.warm_up / 6);
                e.trials += 1;
                // Guards against the trials of many couriers that push a returning destination over together.
                let least = if self.set.peer_notes { 0.0 } else { 0.5 }; // told at once, some try at once
                let part = least + self.chance.f64() * (1.5 - least);
                let part = if next == Health::Down && sign == Sign::Bad { part } else { 0.0 };
                let turn = (SECOND as f64 / self.paced_share(endpoint, 0.0) * part) as Time;
                self.endpoints[endpoint].trial_at = now + pause.max(turn);
            }
            Step::Ramp => {
                // A trial was its courier's first call. Those told begin at once, with little together.
                let calls = if self.set.peer_notes { self.chance.f64() } else { 0.0 };
                (e.ramp, e.trials) = (Saved { calls, at: now }, 0);
            }
        }
    }

    /// Calls that outlast their usual latency.
    fn watch_calls(&mut self) {
        for i in 0..self.calls.len() {
            let Call { endpoint, started, left, late } = self.calls[i];
            if left > 0 && !late && (self.now - started) as f64 > self.tail(endpoint) {
                self.calls[i].late = true;
                let e = &mut self.endpoints[endpoint];
                e.late += 1;
                // One long call among served ones is no sign: silence since it was sent is.
                if e.last_good <= started {
                    self.sign(endpoint, Sign::Late);
                }
            }
        }
    }

    /// Tail latency at an endpoint, or what is nearest to it while it is unmeasured.
    fn tail(&self, endpoint: usize) -> f64 {
        let e = &self.endpoints[endpoint];
        let known = [&e.latency, &self.dests[e.dest].latency].into_iter().find(|latency| latency.seen);
        known.map_or(self.target as f64, |latency| latency.tail(TAIL_DEVIATIONS))
    }

    /// The design's cap on a destination's calls in flight; arriving mails include held ones.
    fn cap(&self, dest: usize) -> usize {
        let d = &self.dests[dest];
        let (sick, all) = self.sick(dest);
        let share = SHARES[usize::from(sick > 0) + usize::from(sick > 0 && sick == all)];
        let [clamp, share] = [SHARES[0], share].map(|(part, of)| (self.set.slots * part / of).max(1));
        let rate = d.arrivals.rate(self.now, WINDOW) + d.waiting() as f64 / seconds(WINDOW);
        let little =
            (rate * d.latency.tail(TAIL_DEVIATIONS) / SECOND as f64 * (1.0 + HEADROOM)).ceil() as usize;
        let cap = if d.latency.seen { (little + d.grown).clamp(1, clamp) } else { clamp };
        cap.min(share)
    }

    /// Endpoints that err or are slow, and endpoints in all.
    fn sick(&self, dest: usize) -> (usize, usize) {
        let ready = |e: &&Endpoint| e.life == EndpointStatus::Ready;
        let all = self.dests[dest].endpoints.iter().map(|&e| &self.endpoints[e]).filter(ready);
        let sick = |e: &Endpoint| usize::from(e.standing != Health::Healthy || e.late > 0);
        all.fold((0, 0), |(ill, all), e| (ill + sick(e), all + 1))
    }

    /// Mails whose time is nearly up are answered while the answer still counts.
    fn give_up_hopeless(&mut self, out: &mut Vec<Action>) {
        let margin = self.tick() + self.set.timer_resolution;
        // What ends before the next process begins its calls is not held for it.
        let last = self.ending.filter(|end| self.now >= end.calls_until).map_or(0, |end| end.successor_from);
        for mail in 0..self.mails.len() {
            let m = &self.mails[mail];
            if m.place == Place::Parked && (last.max(self.now + margin) >= m.due || !self.may(m).0) {
                self.give_up(mail, out);
            }
        }
        // A full room would turn mails away unseen: what is worth least makes way.
        self.room = self.room.min(self.open * 20 / 19 + 1).max(self.set.max_mails); // sinks as what it held ends
        while self.open * 20 > self.room * 19 {
            let hope = |mail: usize| self.hope(&self.mails[mail]);
            let Some(least) = parked(&self.mails).min_by(|&a, &b| hope(a).total_cmp(&hope(b))) else {
                return;
            };
            self.give_up(least, out);
        }
    }

    /// What waiting costs: the importance lost a second, felt as the target delay or the end comes near.
    fn urgency(&self, mail: usize) -> f64 {
        let (m, class) = (&self.mails[mail], &self.set.classes[self.mails[mail].class]);
        let (left, slope) =
            class.decayed_importance(self.set.half_life_decay, self.now.saturating_sub(m.target));
        let target = seconds(class.target_delay.max(1));
        let near = |end: Time| (-seconds(end.saturating_sub(self.now)) / target).exp();
        slope * near(m.target) + left / target * near(m.due)
    }

    /// What giving a mail up loses: its worth a target delay after its destination takes it, over that time.
    fn hope(&self, m: &Mail) -> f64 {
        let class = &self.set.classes[m.class];
        let wait =
            self.dests[m.dest].endpoints.iter().map(|&e| self.away(e)).min().unwrap_or(class.target_delay);
        let at = self.now + class.target_delay + wait;
        let left = class.decayed_importance(self.set.half_life_decay, at.saturating_sub(m.target)).0;
        f64::from(u8::from(at < m.due)) * left / seconds(self.target + wait)
    }

    /// How long an endpoint may take no mail yet: a wait, or an outage that has lasted as long as it goes on.
    fn away(&self, endpoint: usize) -> Time {
        let e = &self.endpoints[endpoint];
        let out = if e.standing == Health::Down { self.now.saturating_sub(e.since) } else { 0 };
        out.max(self.units[e.unit].hold_until.saturating_sub(self.now))
    }

    /// Offers parked mails to their destinations, most urgent destination first.
    fn dispatch(&mut self, out: &mut Vec<Action>) {
        let begins = self.ending.is_none_or(|end| self.now < end.calls_until);
        let mut order = std::mem::take(&mut self.order);
        order.clear();
        for (dest, d) in self.dests.iter().enumerate().filter(|(_, d)| begins && d.waiting() > 0) {
            // What a call would save, over the slot time that it takes: slots are what is short.
            let top = d.lines.iter().flatten().map(|&m| self.urgency(m)).fold(0.0, f64::max);
            let kind = d.endpoints.first().map_or(0, |&e| self.endpoints[e].kind);
            let riding = self.set.kinds[kind].max_batch.min(d.waiting()) as f64;
            order.push((top * riding / d.latency.mean.max(1.0), dest));
        }
        order.sort_by(|a, b| b.0.total_cmp(&a.0));
        for &(_, dest) in &order {
            let room = |c: &Control| c.out < c.set.slots && c.dests[dest].out < c.cap(dest);
            while room(self) && self.connect(dest, out) {}
        }
        self.order = order;
    }

    /// Sends one call to one endpoint of the destination, if one is free for it.
    fn connect(&mut self, dest: usize, out: &mut Vec<Action>) -> bool {
        let Some(endpoint) = self.pick(dest) else { return false };
        let e = &self.endpoints[endpoint];
        let trial = matches!(e.standing, Health::Suspect | Health::Down);
        let batch = if trial { 1 } else { self.set.kinds[e.kind].max_batch };
        let Some(index) = self.calls.iter().position(|c| c.left == 0) else { return false };
        let mut sent = 0;
        while sent < batch {
            let Some((line, at)) = self.next(dest, endpoint) else { break };
            let mail = self.dests[dest].lines[line].swap_remove(at);
            let timeout = self.timeout(mail, endpoint);
            let m = &mut self.mails[mail];
            (m.place, m.call) = (Place::Out, index);
            m.connects += 1;
            let fresh = self.stale > NEWEST && self.set.classes[m.class].effect == Effect::OnceOnly;
            out.push(Action::Connect { mail, endpoint, timeout, new_connection: fresh });
            sent += 1;
        }
        self.calls[index] = Call { endpoint, started: self.now, left: sent, late: false };
        self.out += 1;
        self.dests[dest].out += 1;
        let e = &mut self.endpoints[endpoint];
        (e.out, e.ramp.calls) = (e.out + 1, e.ramp.calls - 1.0);
        let unit = &mut self.units[e.unit];
        unit.saved.calls = (unit.saved.calls - 1.0).max(0.0); // no debt from before a pace was kept
        unit.sent.count(self.now, WINDOW);
        unit.share.calls = (unit.share.calls - 1.0).max(-1.0);
        true
    }

    /// The most urgent mail that this endpoint may get; further connects only when no first one waits.
    fn next(&self, dest: usize, endpoint: usize) -> Option<(usize, usize)> {
        let e = &self.endpoints[endpoint];
        // Guards against what none would try again: where only these wait and none is well, one is a trial.
        let once = |&mail: &usize| self.set.classes[self.mails[mail].class].effect == Effect::OnceOnly;
        let (ill, all) = self.sick(dest);
        let alone = ill == all && e.out == 0 && self.dests[dest].lines.iter().flatten().all(once);
        let trial = matches!(e.standing, Health::Suspect | Health::Down) && !alone;
        let risky = trial || e.errs > NEWEST;
        (0..2).find_map(|line| {
            let fit = self.dests[dest].lines[line].iter().enumerate().filter(|&(_, &mail)| {
                let m = &self.mails[mail];
                let c = &self.set.classes[m.class];
                !(risky && c.effect == Effect::OnceOnly)
                    && (c.importance >= self.top || self.now >= self.units[e.unit].ease_until)
                    && m.ran.is_none_or(|(_, zone)| !c.dedup_by_zone || zone == e.zone)
                    && m.key.is_none_or(|key| {
                        let k = &self.keys[key];
                        k.line.first() == Some(&mail) && (m.connects > 0 || self.now >= k.rest_until)
                    })
            });
            let fit = fit.map(|(at, &mail)| (self.urgency(mail), at));
            fit.max_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, at)| (line, at))
        })
    }

    fn timeout(&self, mail: usize, endpoint: usize) -> Time {
        let m = &self.mails[mail];
        let left = m.due.saturating_sub(self.now).max(1);
        let Some(patience) = PATIENCE.get(self.set.classes[m.class].effect as usize) else { return left };
        let own = (self.tail(endpoint) * patience * (1.0 + m.connects as f64)) as Time;
        own.max(4 * self.set.timer_resolution).min(left)
    }

    /// Two of the free endpoints at random, the one that our own counts favour; a trial comes first.
    fn pick(&mut self, dest: usize) -> Option<usize> {
        let (mut pair, mut seen) = ([None, None], 0);
        for i in 0..self.dests[dest].endpoints.len() {
            let endpoint = self.dests[dest].endpoints[i];
            // Guards against mails that wait behind an endpoint to which none may go, by a trial or zone.
            if !self.free(endpoint) || self.next(dest, endpoint).is_none() {
                continue;
            }
            if self.endpoints[endpoint].standing == Health::Down {
                return Some(endpoint);
            }
            seen += 1;
            // Keeps two of those seen so far, each pair as likely as any other.
            let place = if seen <= 2 { seen - 1 } else { self.chance.usize(..seen) };
            pair.get_mut(place).into_iter().for_each(|kept| *kept = Some(endpoint));
        }
        pair.into_iter().flatten().min_by(|&a, &b| self.cost(a).total_cmp(&self.cost(b)))
    }

    /// Expected time at an endpoint by this courier's own counts.
    fn cost(&self, endpoint: usize) -> f64 {
        let e = &self.endpoints[endpoint];
        let doubt = if e.standing == Health::Suspect { self.tail(endpoint) } else { 0.0 };
        let mean = if e.latency.seen { e.latency.mean } else { self.dests[e.dest].latency.mean };
        let fee = self
            .set
            .zone_fees
            .get(e.zone)
            .filter(|_| self.set.kinds[e.kind].per_endpoint_limits)
            .unwrap_or(&0.0);
        // Were all couriers to do as this one does, so long would the queue be at a route with this rate.
        let unit = &self.units[e.unit];
        let lack = if unit.even > 0.0 { (1.0 - unit.share.calls).max(0.0) / unit.even } else { 0.0 };
        let kept = e.latency.seen && self.now < e.last_good + self.set.idle_timeout;
        let fee = fee + if kept { 0.0 } else { self.set.handshake_cost };
        mean * (1 + e.out) as f64 + doubt + lack * SECOND as f64 + fee * FEE_TARGETS * self.target as f64
    }

    /// Turns at a limit up to a time, by one clock. Guards against couriers that send together, and in vain.
    fn turns(&self, pace: f64, at: Time) -> f64 {
        (pace * seconds(at) - self.set.courier_index as f64 / self.set.couriers as f64).floor()
    }

    /// Whether an endpoint may be sent a call now. Refills the paced share of one that returns.
    fn free(&mut self, endpoint: usize) -> bool {
        let e = &self.endpoints[endpoint];
        let (pace, depth) = self.pace(e);
        let by_turns = self.kept_by(e) == Kept::Share;
        // Nothing is saved up from before the start: hundreds that start at once would all send.
        let since = Some(self.units[e.unit].saved.at).filter(|&at| at > 0).unwrap_or(self.now);
        let turns = if by_turns { self.turns(pace, self.now) - self.turns(pace, since) } else { 0.0 };
        let unit = &mut self.units[e.unit];
        unit.share.refill(self.now, unit.even, 2.0);
        // Nothing is saved up before a pace is kept.
        unit.saved = if pace == 0.0 { Saved { calls: 0.0, at: self.now } } else { unit.saved };
        let (held, saved) = (e.life != EndpointStatus::Ready || self.now < unit.hold_until, &mut unit.saved);
        let mut may =
            || if by_turns { saved.add(self.now, turns, depth) } else { saved.refill(self.now, pace, depth) };
        if held || (pace > 0.0 && !may()) {
            return false;
        }
        match e.standing {
            Health::Healthy => true,
            // Trials further and further apart, so that a hang gathers no slot with each late call.
            Health::Suspect | Health::Down => e.out <= e.late && self.now >= e.trial_at,
            Health::Recovering if self.now > e.since + self.set.warm_up => {
                self.sign(endpoint, Sign::Warm);
                true
            }
            Health::Recovering => {
                let warm = (self.now - e.since) as f64 / self.set.warm_up.max(1) as f64;
                let share = self.paced_share(endpoint, warm);
                self.endpoints[endpoint].ramp.refill(self.now, share, 1.0)
            }
        }
    }

    /// Calls a second for a returning endpoint: this courier's even part of what it takes at its coldest.
    fn paced_share(&self, endpoint: usize, warm: f64) -> f64 {
        let e = &self.endpoints[endpoint];
        let ends = self.sick(e.dest).1.max(1) as f64;
        let even =
            self.units[e.unit].even / if self.set.kinds[e.kind].per_endpoint_limits { 1.0 } else { ends };
        let arriving = self.dests[e.dest].steady.rate(self.now, self.set.warm_up.max(WINDOW)) / ends;
        // No least where the whole is known: couriers' parts would add up to more than it takes.
        let whole = if even > 0.0 { even } else { arriving.max(1.0 / seconds(self.set.warm_up.max(SECOND))) };
        let warmth = self.set.cold_capacity + (1.0 - self.set.cold_capacity) * warm.min(1.0);
        whole * warmth * RETURN_SHARE * self.set.overload_multiple.min(2.0) / 2.0
    }

    /// Endpoints that left the list a warm-up ago and have no call out: no input means their index any more.
    fn forget(&mut self, out: &mut Vec<Action>) {
        let mut leaving = std::mem::take(&mut self.leaving);
        leaving.retain(|&endpoint| {
            let e = &self.endpoints[endpoint];
            if e.known
                && e.life == EndpointStatus::Removed
                && e.out == 0
                && self.now >= e.gone_at + self.set.warm_up
            {
                self.dests[e.dest].endpoints.retain(|other| *other != endpoint);
                self.endpoints[endpoint] = Endpoint { life: EndpointStatus::Removed, ..Endpoint::default() };
                out.push(Action::FreeEndpoint(endpoint));
            }
            self.endpoints[endpoint].known && self.endpoints[endpoint].life == EndpointStatus::Removed
        });
        self.leaving = leaving;
    }

    /// Keys whose mails are all over are given back when their rest is over.
    fn rest_keys(&mut self, out: &mut Vec<Action>) {
        let (keys, now) = (&mut self.keys, self.now);
        self.resting.retain(|&key| {
            let (empty, over) = (keys[key].line.is_empty(), now >= keys[key].rest_until);
            out.extend((empty && over).then_some(Action::FreeKey(key)));
            empty && !over
        });
    }
}
