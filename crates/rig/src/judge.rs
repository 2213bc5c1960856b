//! Checks the rules against what was observed from outside the couriers. Input is the record of the mock services; of
//! what a courier reports about itself, only its final journal (mails still owed) and faults in its log are used.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::fmt;

use hdrhistogram::Histogram;

use crate::day::{Day, Link};
use crate::record::{CallResult, ClientAnswer, Event, HandIn, Observation, Process};
use crate::schedule::{Class, Mail};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Rule {
    /// Every mail that was taken ends: it is relayed, has a notice, or is still owed in the journal within its lifetime.
    NoMailLost,
    /// A mail has only one end.
    OneEnd,
    NoEffectTwice,
    DrainsKept,
    NotPushedOver,
    OrderKept,
    WaitsHeeded,
    /// Calls follow the protocol and contain only mails that were handed in.
    CallsInForm,
    /// Couriers do not crash, are ready in time, and their logs show no fault.
    CouriersSound,
    /// The day's limits for list requests and new connections.
    Budgets,
}

impl Rule {
    pub const ALL: [(Rule, &'static str); 10] = [
        (Rule::NoMailLost, "no mail lost"),
        (Rule::OneEnd, "one final answer each"),
        (Rule::NoEffectTwice, "no effect twice"),
        (Rule::DrainsKept, "drains kept"),
        (Rule::NotPushedOver, "none pushed over that returns"),
        (Rule::OrderKept, "order kept"),
        (Rule::WaitsHeeded, "told waits heeded"),
        (Rule::CallsInForm, "calls in form"),
        (Rule::CouriersSound, "couriers sound"),
        (Rule::Budgets, "budgets"),
    ];
}

#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    pub rule: Rule,
    /// Microseconds from the start of the record.
    pub at: u64,
    pub words: String,
}

/// State of the couriers after the day.
#[derive(Clone, Debug, Default)]
pub struct FinalState {
    /// Hand-ins that their journals still owe.
    pub owed: HashSet<HandIn>,
    /// Faults in their logs, shutdowns or journals, by courier.
    pub faults: Vec<(usize, String)>,
    /// End of the day, in microseconds since the start of the record.
    pub at: u64,
}

/// Counts of mails that were taken and ended without a call, by the time at which they were taken.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Untried {
    /// Between SIGTERM and the end of the process.
    pub in_shutdown: u64,
    /// Before a SIGTERM that came within their lifetime.
    pub before_shutdown: u64,
    pub elsewhere: u64,
    pub by_destination: BTreeMap<usize, u64>,
}

impl fmt::Display for Untried {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let Untried { in_shutdown, before_shutdown, elsewhere, by_destination } = self;
        write!(f, "{} ({before_shutdown} taken on before a SIGTERM in their time, ", self.total())?;
        write!(f, "{in_shutdown} after it, {elsewhere} elsewhere; by destination {by_destination:?})")
    }
}

impl Untried {
    pub fn total(&self) -> u64 {
        self.in_shutdown + self.before_shutdown + self.elsewhere
    }
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Figures {
    pub handed: u64,
    pub taken: u64,
    pub busy: u64,
    pub unheard: u64,
    pub never_offered: u64,
    pub relayed: u64,
    pub bounced: u64,
    pub dead: u64,
    pub owed: u64,
    pub with_folder: u64,
    /// Mails taken by a process that ended, and ended by a later process.
    pub taken_up: u64,
    pub calls: u64,
    pub refused: u64,
    /// Milliseconds from `+OK` to the endpoint's 200, and the longest delay of an end beyond its mail's deadline.
    pub relay_p50: u64,
    pub relay_p99: u64,
    pub latest_end: u64,
    /// List requests: the largest number in any second, and the total.
    pub asks_peak: u64,
    pub asks: u64,
    /// Refused list requests, and the time of the last one in milliseconds of the day.
    pub asks_refused: u64,
    pub last_refused: u64,
    /// New connections: the largest number at one endpoint in any 100 ms, and the total.
    pub connects_peak: u64,
    pub connects: u64,
    /// The largest share of its budget that a cold endpoint got in any window; the calls, the expected capacity and the
    /// budget of that window; and all calls at cold endpoints.
    pub cold_used: f64,
    pub cold_worst: (u64, f64, f64),
    pub cold_calls: u64,
    /// Number of starts, and the median, 95th percentile and maximum of the milliseconds until ready.
    pub starts: u64,
    pub ready_p50: u64,
    pub ready_p95: u64,
    pub ready_last: u64,
    /// Milliseconds from the first end of a process until 95% of all couriers were ready again.
    pub fleet_back: u64,
    pub untried: Untried,
    /// Relayed mails that a notice says to have failed, and calls that came behind a mail's 200 or notice.
    pub told_of_delivered: u64,
    pub called_after_end: u64,
}

#[derive(Clone, Debug, Default)]
pub struct Verdict {
    pub broken: Vec<Violation>,
    pub figures: Figures,
}

impl Verdict {
    pub fn kept(&self) -> bool {
        self.broken.is_empty()
    }

    pub fn breaks(&self, rule: Rule) -> usize {
        self.broken.iter().filter(|broken| broken.rule == rule).count()
    }
}

/// Largest number of violations shown for each rule.
const MAX_SHOWN: usize = 4;

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let g = &self.figures;
        let rows = [
            (
                "mails handed in",
                format!(
                    "{} ({} busy, {} unheard, {} never offered)",
                    g.handed, g.busy, g.unheard, g.never_offered
                ),
            ),
            ("taken on", g.taken.to_string()),
            ("  relayed", g.relayed.to_string()),
            ("  ended by a notice", format!("{} bounced, {} dead", g.bounced, g.dead)),
            ("  ended without one call", g.untried.to_string()),
            ("  relayed, and told of as failed", g.told_of_delivered.to_string()),
            ("  calls behind an end", g.called_after_end.to_string()),
            ("  owed in the journals", g.owed.to_string()),
            ("  gone with a lost folder", g.with_folder.to_string()),
            ("  taken up after a process's end", g.taken_up.to_string()),
            ("time to relay, ms", format!("{} half, {} of 99 in 100", g.relay_p50, g.relay_p99)),
            ("latest end after its time, ms", g.latest_end.to_string()),
            ("calls", format!("{} ({} refused)", g.calls, g.refused)),
            (
                "asks at the list service",
                format!(
                    "{} in a second at most, {} in all, {} of them in vain, the last after {} ms",
                    g.asks_peak, g.asks, g.asks_refused, g.last_refused
                ),
            ),
            (
                "new connections at endpoints",
                format!("{} at one in 100 ms at most, {} in all", g.connects_peak, g.connects),
            ),
            (
                "cold endpoints",
                format!(
                    "{:.2} of the budget at most ({} calls, N {:.1}, bound {:.1}), {} calls in all",
                    g.cold_used, g.cold_worst.0, g.cold_worst.1, g.cold_worst.2, g.cold_calls
                ),
            ),
            (
                "starts",
                format!(
                    "{}; serve after ms: {} half, {} of 95 in 100, {} last",
                    g.starts, g.ready_p50, g.ready_p95, g.ready_last
                ),
            ),
            ("95 in 100 serve again, ms", g.fleet_back.to_string()),
        ];
        for (name, value) in rows {
            writeln!(f, "{name:<34} {value}")?;
        }
        for (rule, name) in Rule::ALL {
            match self.breaks(rule) {
                0 => writeln!(f, "{name:<34} kept")?,
                count => writeln!(f, "{name:<34} BROKEN {count} times")?,
            }
            for broken in self.broken.iter().filter(|broken| broken.rule == rule).take(MAX_SHOWN) {
                writeln!(f, "  at {:.3} s: {}", broken.at as f64 / 1e6, broken.words)?;
            }
        }
        Ok(())
    }
}

/// Time after a courier is ready again before missing notices count as overdue, in microseconds.
const NOTICE_GRACE_US: u64 = 1_500_000;
/// How long after the courier read a mail's 200 a call or notice already on its way may still arrive, in microseconds.
const IN_FLIGHT_US: u64 = 1_000_000;
/// How long before its arrival a call may have been written, in microseconds.
const CALL_ON_ITS_WAY_US: u64 = 200_000;
/// Fewest consecutive refusals after which a courier is reported as refusing everything.
const MIN_REFUSALS: u64 = 15;
/// Largest difference between the recorded end of a killed process and the closing of its connections, in microseconds.
const CLOSE_TO_END_US: u64 = 200_000;
/// How long an outcome on a kept connection may stay provisional, in connection timeouts: it carries calls for two quiet
/// periods, each of one such timeout or three tail latencies, and rests for a third.
const PROVISIONAL_CONNECT_TIMEOUTS: u64 = 4;
/// Upper bound for the clock difference between the two sides of a link, in microseconds.
const CLOCK_SKEW_US: u64 = 20_000;

#[derive(Default)]
struct MailHistory {
    taken: Option<(u64, usize)>,
    effects: Vec<u64>,
    relayed_at: Option<u64>,
    /// The connection of the 200, if it had carried an earlier call.
    kept_link: Option<u64>,
    /// When the courier sent the next call on the connection of the 200, which shows that it had read the 200.
    read_at: Option<u64>,
    notices: Vec<(u64, bool)>,
    /// Whether a call for it arrived, with any result.
    is_tried: bool,
    is_withdrawn: bool,
    /// Its request was sent before, on a connection that its client closed.
    is_broken_off: bool,
    /// When its hand-in was answered as busy.
    refused_at: Option<u64>,
    /// When an endpoint answered that it is over.
    over_at: Option<u64>,
}

impl MailHistory {
    /// Whether its request was sent before, and the mail was told of as dead.
    fn is_copy_of_dead(&self) -> bool {
        self.is_broken_off && self.notices.iter().any(|notice| notice.1)
    }

    fn end(&self) -> Option<u64> {
        let notice = self.notices.first().map(|notice| notice.0);
        self.relayed_at.into_iter().chain(notice).min()
    }
}

#[derive(Clone, Default)]
struct Courier {
    process: u32,
    /// Since when it has been down, stopped, shutting down, or not ready.
    down_since: Option<u64>,
    /// Since when a link fault has blocked its notices.
    notices_blocked: Option<u64>,
    outages: Vec<(u64, u64)>,
    started_at: Option<u64>,
    ends: Vec<u64>,
    /// When each started process became ready.
    ready_times: Vec<u64>,
    folder_losses: Vec<u64>,
    /// Number of its kinds of links that have a fault.
    faulty_links: u32,
    /// When its links to endpoints had a fault; the end of one that lasts is far off.
    endpoint_link_faults: Vec<(u64, u64)>,
    /// Its link from the clients has a fault.
    is_client_link_faulty: bool,
    /// Answers of endpoints to it have been spoilt: it cannot know which answer belongs to a call, nor of each told wait.
    answers_spoilt: bool,
    /// The same for the list: it need not have got each list.
    lists_spoilt: bool,
    continued_at: u64,
    /// By endpoint: the process that was told of a drain, and when; the process that was told to wait, and the begin and
    /// end of the wait.
    drains: HashMap<usize, (u32, u64)>,
    waits: HashMap<usize, (u32, u64, u64)>,
    /// By key: the last mail for which a call arrived, and whether the links had no fault then.
    last_called: HashMap<u64, (u32, bool)>,
    /// Start and number of consecutive refusals without a call in between.
    refusals: Option<(u64, u64)>,
    /// Times at which SIGTERM was sent.
    term_sent: Vec<u64>,
}

impl Courier {
    /// Whether its process was neither ended nor stopped, and its links to endpoints had no fault.
    fn is_undisturbed(&self) -> bool {
        let was_signalled = !self.ends.is_empty() || !self.term_sent.is_empty() || self.continued_at > 0;
        !was_signalled && self.endpoint_link_faults.is_empty()
    }
}

/// A call or notice for a mail whose 200 had been read.
struct Repeat {
    at: u64,
    courier: Option<usize>,
    relayed_at: u64,
    kept_link: Option<u64>,
    /// A call was out on that connection, so that its answers could not be told apart yet.
    is_link_busy: bool,
    words: String,
}

struct Call {
    link: u64,
    courier: usize,
    endpoint: usize,
    process: u32,
    hands: Vec<HandIn>,
    result: CallResult,
    answered: bool,
}

#[derive(Default)]
struct Endpoint {
    cold_since: Option<u64>,
    recent_calls: VecDeque<u64>,
    recent_connects: VecDeque<u64>,
}

struct Judge<'a> {
    day: &'a Day,
    mails: &'a [Mail],
    /// When the load began.
    load_start: u64,
    verdict: Verdict,
    histories: BTreeMap<HandIn, MailHistory>,
    couriers: Vec<Courier>,
    endpoints: Vec<Endpoint>,
    calls: HashMap<u64, Call>,
    /// The last call on each connection.
    last_on_link: HashMap<u64, u64>,
    /// Connections that have carried more than one call.
    kept_links: HashSet<u64>,
    link_ends: HashMap<u64, u64>,
    repeats: Vec<Repeat>,
    recent_requests: VecDeque<u64>,
    ready_ms: Histogram<u64>,
    /// Requests that were written completely on a connection that then closed without an answer.
    closed_unanswered: Vec<(u64, HandIn, usize)>,
}

/// Judges a day by its record. `load_start`: start of the load, in microseconds since the start of the record.
pub fn judge(
    day: &Day,
    mails: &[Mail],
    load_start: u64,
    events: &[Event],
    final_state: &FinalState,
) -> Verdict {
    let endpoints = day.endpoints.destinations * day.endpoints.each;
    let mut judge = Judge {
        day,
        mails,
        load_start,
        verdict: Verdict::default(),
        histories: BTreeMap::new(),
        couriers: vec![Courier::default(); day.couriers],
        endpoints: (0..endpoints).map(|_| Endpoint::default()).collect(),
        calls: HashMap::new(),
        last_on_link: HashMap::new(),
        kept_links: HashSet::new(),
        link_ends: HashMap::new(),
        repeats: Vec::new(),
        recent_requests: VecDeque::new(),
        ready_ms: histogram(),
        closed_unanswered: Vec::new(),
    };
    events.iter().for_each(|event| judge.observe(event.at, &event.observation));
    judge.end(final_state)
}

fn histogram() -> Histogram<u64> {
    // Three significant digits; the range grows as needed.
    Histogram::new(3).unwrap_or_else(|_| unreachable!("three figures are allowed"))
}

impl Judge<'_> {
    fn breaks(&mut self, rule: Rule, at: u64, words: String) {
        self.verdict.broken.push(Violation { rule, at, words });
    }

    fn class(&self, hand: HandIn) -> Class {
        self.mails.get(hand.mail as usize).map_or(Class::Again, |mail| mail.class)
    }

    fn observe(&mut self, at: u64, seen: &Observation) {
        match seen {
            Observation::Answered { hand, courier, answer } => {
                self.watch_refusals(at, *courier, *answer);
                let g = &mut self.verdict.figures;
                g.handed += u64::from(hand.attempt == 0);
                match answer {
                    ClientAnswer::Taken => {
                        g.taken += 1;
                        self.histories.entry(*hand).or_default().taken = Some((at, *courier));
                    }
                    ClientAnswer::Busy => {
                        g.busy += 1;
                        self.histories.entry(*hand).or_default().refused_at = Some(at);
                    }
                    ClientAnswer::None => g.unheard += 1,
                    ClientAnswer::Closed => {
                        g.unheard += 1;
                        // While the link from the clients has a fault, the close may not be the courier's doing.
                        if !self.couriers[*courier].is_client_link_faulty {
                            self.closed_unanswered.push((at, *hand, *courier));
                        }
                    }
                    // The copy of a request is answered as its notice says.
                    ClientAnswer::Failed
                        if self.histories.get(hand).is_some_and(MailHistory::is_copy_of_dead) => {}
                    ClientAnswer::Failed => {
                        let words = format!("mail {} was answered as failed", hand.id());
                        self.breaks(Rule::CouriersSound, at, words);
                    }
                }
            }
            Observation::NeverOffered { .. } => self.verdict.figures.never_offered += 1,
            Observation::Called { call, link, courier, endpoint, hands, result } => {
                self.called(at, *call, *link, (*courier, *endpoint), hands, *result);
            }
            Observation::Replied { call } => self.replied(at, *call),
            Observation::Disconnected { link } => drop(self.link_ends.insert(*link, at)),
            Observation::MalformedCall { endpoint } => {
                self.breaks(Rule::CallsInForm, at, format!("endpoint {endpoint} got a strange call"));
            }
            Observation::Notice { hand, dead } => self.notice(at, *hand, *dead),
            Observation::Withdrawn { hand } => self.histories.entry(*hand).or_default().is_withdrawn = true,
            Observation::BrokenOff { hand } => {
                self.histories.entry(*hand).or_default().is_broken_off = true;
            }
            Observation::Connected { endpoint } => {
                self.verdict.figures.connects += 1;
                let recent = &mut self.endpoints[*endpoint].recent_connects;
                let peak = count_in_window(recent, at, 100_000);
                let most = self.day.rules.most_connects;
                let passed = most > 0 && peak == most + 1;
                self.verdict.figures.connects_peak = self.verdict.figures.connects_peak.max(peak);
                if passed {
                    let words = format!("endpoint {endpoint} got {peak} new connections in 100 ms");
                    self.breaks(Rule::Budgets, at, words);
                }
            }
            Observation::Outage { endpoint, back } => {
                let endpoint = &mut self.endpoints[*endpoint];
                endpoint.cold_since = back.then_some(at);
                endpoint.recent_calls.clear();
            }
            Observation::ListRequest { refused, .. } => {
                let since = at.saturating_sub(self.load_start) / 1000;
                let g = &mut self.verdict.figures;
                g.asks += 1;
                g.asks_refused += u64::from(*refused);
                g.last_refused = if *refused { since } else { g.last_refused };
                let peak = count_in_window(&mut self.recent_requests, at, 1_000_000);
                self.verdict.figures.asks_peak = self.verdict.figures.asks_peak.max(peak);
                let most = self.day.rules.most_asks;
                if most > 0 && peak == most + 1 {
                    self.breaks(Rule::Budgets, at, format!("the list service got {peak} asks in a second"));
                }
            }
            Observation::ListSent { courier, endpoint, drains } => {
                let courier = &mut self.couriers[*courier];
                let process = courier.process;
                match drains {
                    false => drop(courier.drains.remove(endpoint)),
                    // Over a faulty link the message may not have arrived.
                    true if courier.faulty_links > 0 || courier.lists_spoilt => {}
                    true => {
                        let told = courier.drains.entry(*endpoint).or_insert((process, at));
                        *told = if told.0 == process { *told } else { (process, at) };
                    }
                }
            }
            Observation::Process { courier, what } => self.process(at, *courier, *what),
            Observation::AnswersSpoilt { courier, link } => {
                let courier = &mut self.couriers[*courier];
                courier.answers_spoilt |= *link == Link::Endpoints;
                courier.lists_spoilt |= *link == Link::List;
            }
            Observation::LinksChanged { courier, link, faulty } => {
                let courier = &mut self.couriers[*courier];
                courier.faulty_links =
                    if *faulty { courier.faulty_links + 1 } else { courier.faulty_links.saturating_sub(1) };
                if *link == Link::Clients {
                    courier.is_client_link_faulty = *faulty;
                }
                // Notices use the same link as the list.
                match (link, faulty) {
                    (Link::Endpoints, true) => courier.endpoint_link_faults.push((at, u64::MAX)),
                    (Link::Endpoints, false) => {
                        courier.endpoint_link_faults.last_mut().into_iter().for_each(|fault| fault.1 = at)
                    }
                    (Link::List, true) => drop(courier.notices_blocked.get_or_insert(at)),
                    (Link::List, false) => {
                        courier.outages.extend(courier.notices_blocked.take().map(|since| (since, at)))
                    }
                    _ => {}
                }
            }
        }
    }

    /// Detects a running courier that refuses every request for too long without making a call in between.
    fn watch_refusals(&mut self, at: u64, number: usize, answer: ClientAnswer) {
        let longest = self.day.rules.serves_ms * 1000;
        let courier = &mut self.couriers[number];
        if longest == 0 || answer == ClientAnswer::Taken || courier.down_since.is_some() {
            courier.refusals = None;
            return;
        }
        let (since, count) = courier.refusals.unwrap_or((at, 0));
        courier.refusals = Some((since, count + 1));
        if count + 1 >= MIN_REFUSALS && at >= since + longest {
            courier.refusals = None;
            let words =
                format!("courier {number} served nobody of {} for {} ms", count + 1, (at - since) / 1000);
            self.breaks(Rule::CouriersSound, at, words);
        }
    }

    /// Reports mails that were forwarded although their connection was closed without an answer, unless the process
    /// ended at that time.
    fn judge_closed(&mut self) {
        for (at, hand, number) in std::mem::take(&mut self.closed_unanswered) {
            let ended = |&end: &u64| end + CLOSE_TO_END_US > at && end < at + CLOSE_TO_END_US;
            let is_forwarded = self
                .histories
                .get(&hand)
                .is_some_and(|history| history.is_tried && !self.may_be_unread(history, at, number));
            if is_forwarded && !self.couriers[number].ends.iter().any(ended) {
                let words =
                    format!("mail {} was forwarded, and its connection closed with no answer", hand.id());
                self.breaks(Rule::NoMailLost, at, words);
            }
        }
    }

    /// Whether the connection on which a request was sent once more may have been closed unread: where other clients fill the
    /// descriptors, or while the courier shuts down and accepts no more. Its first copy may have been forwarded.
    fn may_be_unread(&self, history: &MailHistory, at: u64, number: usize) -> bool {
        let is_down = self.couriers[number].outages.iter().any(|&(from, to)| (from..=to).contains(&at));
        history.is_broken_off && (self.day.mails.idle + self.day.mails.crowd > 0 || is_down)
    }

    /// Whether a call is out on a connection.
    fn is_busy(&self, link: u64) -> bool {
        let last = self.last_on_link.get(&link).and_then(|call| self.calls.get(call));
        last.is_some_and(|call| !call.answered)
    }

    /// Reports mails that were called again, or got a notice, after their 200 had been read. A courier may do that if the 200
    /// came on a kept connection that ended soon, had another call out, or had a fault of its link behind it, so that an answer
    /// could not come: it cannot know then that the 200 was no other call's.
    fn judge_repeats(&mut self) {
        let provisional = PROVISIONAL_CONNECT_TIMEOUTS * self.day.courier.connect_ms * 1000;
        for Repeat { at, courier, relayed_at, kept_link, is_link_busy, words } in
            std::mem::take(&mut self.repeats)
        {
            let is_link_faulty = kept_link.is_some()
                && courier.is_some_and(|courier| {
                    let mut faults = self.couriers[courier].endpoint_link_faults.iter();
                    faults.any(|&(from, to)| from <= (relayed_at + provisional).min(at) && to >= relayed_at)
                });
            let end = kept_link.and_then(|link| self.link_ends.get(&link).copied());
            let has_ended = end.is_some_and(|end| {
                (relayed_at..=relayed_at + provisional).contains(&end) && end < at + CLOSE_TO_END_US
            });
            let is_unsure = has_ended || is_link_faulty || is_link_busy && at <= relayed_at + provisional;
            if !is_unsure {
                self.breaks(Rule::OneEnd, at, words);
            }
        }
    }

    /// On a day without any trouble, no mail has two ends and none is called behind its end: nothing excuses doubt.
    fn judge_calm(&mut self) {
        let (told, called) = (self.verdict.figures.told_of_delivered, self.verdict.figures.called_after_end);
        // The scale run has its troubles outside the day.
        let is_calm = self.day.trouble.is_empty() && self.couriers.iter().all(Courier::is_undisturbed);
        if is_calm && told + called > 0 {
            let words =
                format!("{told} relayed mails were told of as failed, {called} calls came behind an end");
            self.breaks(Rule::OneEnd, self.load_start, words);
        }
    }

    /// Counts a mail that ended without a call, by the time at which it was taken.
    fn count_untried(&mut self, hand: HandIn, taken: u64, number: usize) {
        let courier = &self.couriers[number];
        let end_after =
            |asked: u64| courier.ends.iter().copied().find(|&end| end >= asked).unwrap_or(u64::MAX);
        let in_shutdown = courier.term_sent.iter().any(|&asked| taken >= asked && taken < end_after(asked));
        let next_asked = courier.term_sent.iter().copied().find(|&asked| asked >= taken);
        let mail = &self.mails[hand.mail as usize];
        let due = self.load_start + mail.at + mail.time * 1000;
        let untried = &mut self.verdict.figures.untried;
        match () {
            () if in_shutdown => untried.in_shutdown += 1,
            () if next_asked.is_some_and(|asked| asked < due) => untried.before_shutdown += 1,
            () => untried.elsewhere += 1,
        }
        *untried.by_destination.entry(mail.destination).or_default() += 1;
    }

    fn process(&mut self, at: u64, number: usize, what: Process) {
        let courier = &mut self.couriers[number];
        courier.refusals = None;
        if what == Process::TermSent {
            courier.term_sent.push(at);
        }
        let is_back = match what {
            Process::Started => {
                courier.process += 1;
                courier.started_at = Some(at);
                courier.down_since.get_or_insert(at);
                false
            }
            Process::Ready => {
                if let Some(started) = courier.started_at.take() {
                    courier.ready_times.push(at);
                    let took = (at - started) / 1000;
                    let _ = self.ready_ms.record(took);
                    if took > self.day.rules.ready_ms {
                        self.breaks(
                            Rule::CouriersSound,
                            at,
                            format!("courier {number} served after {took} ms"),
                        );
                    }
                }
                true
            }
            Process::Continued => {
                courier.continued_at = at;
                true
            }
            Process::TermSent | Process::Stopped => {
                courier.down_since.get_or_insert(at);
                false
            }
            Process::Ended => {
                courier.down_since.get_or_insert(at);
                courier.ends.push(at);
                courier.started_at = None;
                false
            }
            Process::FolderLost => {
                courier.folder_losses.push(at);
                false
            }
            Process::Crashed => {
                courier.down_since.get_or_insert(at);
                self.breaks(Rule::CouriersSound, at, format!("courier {number} ended by itself"));
                false
            }
        };
        let courier = &mut self.couriers[number];
        if let Some(since) = courier.down_since.take_if(|_| is_back) {
            courier.outages.push((since, at));
        }
    }

    fn called(
        &mut self,
        at: u64,
        call: u64,
        link: u64,
        (number, endpoint): (usize, usize),
        hands: &[HandIn],
        result: CallResult,
    ) {
        let rules = &self.day.rules;
        self.couriers[number].refusals = None;
        self.verdict.figures.calls += 1;
        self.verdict.figures.refused += u64::from(!result.took_effect());
        // A new call on a connection shows that the courier has read the previous answer on it.
        if let Some(before) = self.last_on_link.get(&link).and_then(|before| self.calls.get(before)) {
            for hand in
                before.hands.iter().filter(|_| before.answered && before.result == CallResult::Relayed)
            {
                self.histories.entry(*hand).or_default().read_at.get_or_insert(at);
            }
        }
        let courier = &self.couriers[number];
        let (process, sound) = (courier.process, courier.faulty_links == 0);
        let mut broken = Vec::new();
        if let Some(&(told, since)) = courier.drains.get(&endpoint) {
            let since = since.max(courier.continued_at);
            if told == process && sound && at > since + rules.drain_grace_ms * 1000 {
                let words = format!(
                    "courier {number} called endpoint {endpoint} {} ms after it was told that it drains",
                    (at - since) / 1000
                );
                broken.push((Rule::DrainsKept, words));
            }
        }
        if let Some(&(told, from, until)) = courier.waits.get(&endpoint) {
            let from = from.max(courier.continued_at) + rules.wait_grace_ms * 1000;
            let was_told = sound && !courier.answers_spoilt;
            if told == process && was_told && at > from && at + CLOCK_SKEW_US < until {
                let words = format!(
                    "courier {number} called endpoint {endpoint} {} ms before the end of a told wait",
                    (until - at) / 1000
                );
                broken.push((Rule::WaitsHeeded, words));
            }
        }
        let links = hands.iter().filter_map(|hand| self.histories.get(hand)?.kept_link);
        let busy_links: Vec<u64> = links.filter(|&link| self.is_busy(link)).collect();
        for &hand in hands {
            let Some(mail) = self.mails.get(hand.mail as usize) else {
                broken.push((Rule::CallsInForm, format!("no client handed in mail {}", hand.id())));
                continue;
            };
            let taken = self.histories.get(&hand).is_some_and(|history| history.taken.is_some());
            if mail.class == Class::Turns && taken {
                let last = self.couriers[number].last_called.entry(mail.key).or_insert((hand.mail, sound));
                if hand.mail < last.0 && sound && last.1 {
                    let words = format!(
                        "courier {number}, key {}: mail {} was called after mail {}",
                        mail.key, hand.mail, last.0
                    );
                    broken.push((Rule::OrderKept, words));
                }
                if hand.mail >= last.0 {
                    *last = (hand.mail, sound);
                }
            }
            let history = self.histories.entry(hand).or_default();
            history.is_tried = true;
            let is_over = history.end().is_some_and(|end| at > end + CLOCK_SKEW_US);
            self.verdict.figures.called_after_end += u64::from(is_over);
            broken.extend(call_behind_end(&hand, history, &self.couriers[number], at));
            // With spoilt answers the courier cannot be sure of a 200: it may call again what may run again.
            let was_read = sound && !self.couriers[number].answers_spoilt;
            if was_read && history.read_at.is_some_and(|read| at > read + IN_FLIGHT_US) {
                let words = format!("mail {} was called again after its 200 had been read", hand.id());
                let (relayed_at, kept_link) = (history.relayed_at.unwrap_or(at), history.kept_link);
                let is_link_busy = kept_link.is_some_and(|link| busy_links.contains(&link));
                self.repeats.push(Repeat {
                    at,
                    courier: Some(number),
                    relayed_at,
                    kept_link,
                    is_link_busy,
                    words,
                });
            }
            if result.took_effect() {
                let first = history.effects.first().copied();
                history.effects.push(at);
                let again = first.is_some_and(|first| match mail.class {
                    Class::Once => true,
                    Class::Tagged => at > first + (rules.window_s * 1e6) as u64,
                    Class::Again | Class::Turns => false,
                });
                if again {
                    let after = (at - first.unwrap_or(at)) / 1000;
                    let words = format!(
                        "{} mail {} took effect again after {after} ms",
                        mail.class.name(),
                        hand.id()
                    );
                    broken.push((Rule::NoEffectTwice, words));
                }
            }
        }
        broken.into_iter().for_each(|(rule, words)| self.breaks(rule, at, words));
        self.check_cold_budget(at, endpoint);
        let hands = hands.to_vec();
        self.calls
            .insert(call, Call { link, courier: number, endpoint, process, hands, result, answered: false });
        if self.last_on_link.insert(link, call).is_some() {
            self.kept_links.insert(link);
        }
    }

    /// Checks the calls at a cold endpoint within the sliding window against its budget.
    fn check_cold_budget(&mut self, at: u64, number: usize) {
        let (e, rules) = (&self.day.endpoints, &self.day.rules);
        let endpoint = &mut self.endpoints[number];
        let Some(since) = endpoint.cold_since else { return };
        let warm = (at - since) as f64 / (e.cold_s * 1e6);
        if warm >= 1.0 {
            endpoint.cold_since = None;
            return;
        }
        let calls = count_in_window(&mut endpoint.recent_calls, at, (rules.tip_s * 1e6) as u64);
        let warmth = e.cold_from + (1.0 - e.cold_from) * warm;
        let good_for = rules.tip_multiple * e.rate * warmth * rules.tip_s;
        let budget = budget(good_for);
        let used = calls as f64 / budget;
        let g = &mut self.verdict.figures;
        g.cold_calls += 1;
        if used > g.cold_used {
            (g.cold_used, g.cold_worst) = (used, (calls, good_for, budget));
        }
        if used > 1.0 {
            // Report an overload only once per outage.
            endpoint.cold_since = None;
            let words = format!("endpoint {number} got {calls} calls while cold and bears {budget:.0}");
            self.breaks(Rule::NotPushedOver, at, words);
        }
    }

    fn replied(&mut self, at: u64, number: u64) {
        let Some(call) = self.calls.get_mut(&number) else { return };
        call.answered = true;
        match call.result {
            CallResult::Relayed => {
                let kept_link = Some(call.link).filter(|link| self.kept_links.contains(link));
                for hand in &call.hands {
                    let history = self.histories.entry(*hand).or_default();
                    if history.relayed_at.is_none() {
                        (history.relayed_at, history.kept_link) = (Some(at), kept_link);
                    }
                }
            }
            CallResult::Throttled(wait) => {
                let courier = &mut self.couriers[call.courier];
                let until = at + wait * 1000;
                let told = courier.waits.entry(call.endpoint).or_insert((call.process, at, until));
                if told.0 != call.process || told.2 < at {
                    *told = (call.process, at, until);
                } else {
                    told.2 = told.2.max(until);
                }
            }
            CallResult::Over => {
                for hand in &call.hands {
                    self.histories.entry(*hand).or_default().over_at.get_or_insert(at);
                }
            }
            CallResult::Failed | CallResult::Busy => {}
        }
    }

    fn notice(&mut self, at: u64, hand: HandIn, dead: bool) {
        let once = self.class(hand) == Class::Once;
        let history = self.histories.entry(hand).or_default();
        let (read, first, taken) = (history.read_at, history.notices.first().copied(), history.taken);
        let (relayed_at, kept_link) = (history.relayed_at, history.kept_link);
        let took_effect = !history.effects.is_empty();
        history.notices.push((at, dead));
        if let Some((_, before)) = first.filter(|first| first.1 != dead) {
            let name = |dead| if dead { "dead" } else { "bounced" };
            let words = format!("mail {} is {} and was {}", hand.id(), name(dead), name(before));
            self.breaks(Rule::OneEnd, at, words);
        }
        // During and after an outage, a notice may have been decided on earlier and delayed.
        let courier = taken.map(|taken| &self.couriers[taken.1]);
        let open = courier.is_none_or(|courier| {
            let last = courier.outages.iter().map(|outage| outage.1).max();
            courier.notices_blocked.is_none()
                && !courier.answers_spoilt
                && courier.down_since.is_none()
                && last.is_none_or(|last| Some(last) < read)
        });
        if open && read.is_some_and(|read| at > read + IN_FLIGHT_US) {
            let words = format!("a notice came for mail {}, the 200 of which had been read", hand.id());
            let relayed_at = relayed_at.unwrap_or(at);
            let is_link_busy = kept_link.is_some_and(|link| self.is_busy(link));
            let courier = taken.map(|taken| taken.1);
            self.repeats.push(Repeat { at, courier, relayed_at, kept_link, is_link_busy, words });
        }
        // A client that is told of a bounce hands the mail in again, so a once-only mail must not have taken effect.
        if once && took_effect && !dead {
            let words = format!("once mail {} took effect and was told of as refused", hand.id());
            self.breaks(Rule::NoEffectTwice, at, words);
        }
    }

    /// Deadline of a mail's end; extended by outages of its courier and of the link for notices.
    fn due(&self, hand: HandIn, courier: usize) -> u64 {
        let mail = &self.mails[hand.mail as usize];
        let mut due = self.load_start + mail.at + mail.time * 1000;
        for &(from, to) in &self.couriers[courier].outages {
            if from <= due + self.day.rules.late_ms * 1000 && due < to + NOTICE_GRACE_US {
                due = to + NOTICE_GRACE_US;
            }
        }
        due
    }

    fn end(mut self, final_state: &FinalState) -> Verdict {
        for courier in &mut self.couriers {
            let open = [courier.down_since.take(), courier.notices_blocked.take()];
            courier.outages.extend(open.into_iter().flatten().map(|since| (since, final_state.at)));
            courier.outages.sort_unstable();
        }
        self.judge_closed();
        self.judge_repeats();
        let (mut relays, late) = (histogram(), self.day.rules.late_ms * 1000);
        let histories = std::mem::take(&mut self.histories);
        for (&hand, history) in &histories {
            let Some((taken, courier)) = history.taken else { continue };
            let due = self.due(hand, courier);
            let lost = self.couriers[courier].folder_losses.iter().any(|&lost| lost > taken);
            let g = &mut self.verdict.figures;
            if history.end().is_none() && (history.is_withdrawn || history.over_at.is_some()) {
                continue;
            }
            let Some(end) = history.end() else {
                let owed = final_state.owed.contains(&hand);
                match (owed, lost) {
                    (true, _) => g.owed += 1,
                    (false, true) => g.with_folder += 1,
                    (false, false) => {
                        let words = format!("mail {} of courier {courier} has no end", hand.id());
                        self.breaks(Rule::NoMailLost, final_state.at, words);
                    }
                }
                if owed && final_state.at > due + late {
                    let words =
                        format!("mail {} of courier {courier} is owed long after its time", hand.id());
                    self.breaks(Rule::NoMailLost, final_state.at, words);
                }
                continue;
            };
            g.told_of_delivered += u64::from(history.relayed_at.is_some() && !history.notices.is_empty());
            match (history.relayed_at, history.notices.first()) {
                (Some(served), _) => {
                    g.relayed += 1;
                    let _ = relays.record(served.saturating_sub(taken) / 1000);
                }
                (None, Some((_, true))) => g.dead += 1,
                (None, _) => g.bounced += 1,
            }
            if !history.is_tried {
                self.count_untried(hand, taken, courier);
            }
            let g = &mut self.verdict.figures;
            let between = |end_of: &&u64| taken < **end_of && **end_of < end;
            g.taken_up += u64::from(self.couriers[courier].ends.iter().any(|end_of| between(&end_of)));
            g.latest_end = g.latest_end.max(end.saturating_sub(due) / 1000);
            if end > due + late {
                let words = format!("mail {} ended {} ms too late", hand.id(), (end - due) / 1000);
                self.breaks(Rule::NoMailLost, end, words);
            }
        }
        self.judge_calm();
        for (courier, fault) in &final_state.faults {
            self.breaks(Rule::CouriersSound, final_state.at, format!("courier {courier}: {fault}"));
        }
        let first = self.couriers.iter().filter_map(|courier| courier.ends.first()).min().copied();
        // When each courier was ready again after its first end; 0 for couriers that never ended or never came back.
        let mut back: Vec<u64> = self
            .couriers
            .iter()
            .map(|courier| {
                let ended = courier.ends.first().copied();
                ended
                    .and_then(|ended| courier.ready_times.iter().find(|&&back| back > ended).copied())
                    .unwrap_or(0)
            })
            .collect();
        back.sort_unstable();
        let g = &mut self.verdict.figures;
        if let Some(first) = first {
            let place = (back.len() * 95).div_ceil(100).max(1) - 1;
            g.fleet_back = back[place].saturating_sub(first) / 1000;
        }
        (g.starts, g.ready_last) = (self.ready_ms.len(), self.ready_ms.max());
        (g.ready_p50, g.ready_p95) =
            (self.ready_ms.value_at_quantile(0.5), self.ready_ms.value_at_quantile(0.95));
        let (most_ready, nine_in_ten) = (self.day.rules.most_ready_ms, self.ready_ms.value_at_quantile(0.9));
        (g.relay_p50, g.relay_p99) = (relays.value_at_quantile(0.5), relays.value_at_quantile(0.99));
        if most_ready > 0 && nine_in_ten > most_ready {
            let words = format!("nine in ten starts served after {nine_in_ten} ms, not {most_ready}");
            self.breaks(Rule::CouriersSound, final_state.at, words);
        }
        self.verdict
    }
}

/// A call of a mail that its courier had refused, had given a notice of, or had been told to be over. What was on its way, or
/// was answered over a faulty link or to a process that ended then, does not count.
fn call_behind_end(
    hand: &HandIn,
    history: &MailHistory,
    courier: &Courier,
    at: u64,
) -> Option<(Rule, String)> {
    // The relays hold some requests back while they spoil answers.
    let on_its_way = if courier.answers_spoilt { IN_FLIGHT_US } else { CALL_ON_ITS_WAY_US };
    let is_link_sound =
        courier.endpoint_link_faults.iter().all(|fault| fault.1.saturating_add(CALL_ON_ITS_WAY_US) < at);
    let was_read = |over: &u64| {
        let ended = |end: &u64| (*over..over + CALL_ON_ITS_WAY_US).contains(end);
        !courier.answers_spoilt && !courier.ends.iter().any(ended)
    };
    let notice = history.notices.first().map(|notice| notice.0);
    let ends = [
        ("its notice", notice.filter(|_| is_link_sound)),
        ("its refusal", history.refused_at),
        ("it was told to be over", history.over_at.filter(was_read).filter(|_| is_link_sound)),
    ];
    let (what, end) = ends.into_iter().find_map(|(what, end)| Some((what, end?)))?;
    let words = || format!("mail {} was called {} ms after {what}", hand.id(), (at - end) / 1000);
    (at > end + on_its_way).then(|| (Rule::OneEnd, words()))
}

/// The calls that a cold endpoint bears, given its expected capacity: two standard deviations of random arrivals and two
/// calls beyond it.
pub fn budget(calls: f64) -> f64 {
    calls + 2.0 * calls.sqrt() + 2.0
}

/// Adds a time to a sliding window and returns the number of times in it.
fn count_in_window(recent: &mut VecDeque<u64>, at: u64, span: u64) -> u64 {
    while recent.front().is_some_and(|&first| first + span <= at) {
        recent.pop_front();
    }
    recent.push_back(at);
    recent.len() as u64
}

#[cfg(test)]
mod tests;
