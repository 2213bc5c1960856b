//! The schedule of requests for the endpoint list: when a request counts as failed, when the next one is sent, and
//! whether calls may start. Does no I/O: the time and random numbers are passed in. Times are tenths of a millisecond.
//!
//! A courier must hold a change within 6 s of discovery having it and being reachable, and a change that a silent watch
//! missed within 6 s of the watch falling silent. A healthy watch sends data every 2 s, so silence is detected after
//! 2.5 s; any other request has 0.8 s. From the start of a request that fails to the start of the next one at most 2.4 s
//! pass, because the time that a request took is deducted from the pause after it. So whatever failed before, the 6 s
//! leave room for one more request to fail and the next one to be answered (the table in `schedule/tests.rs`).
//! None of these requests has to wait for anything else, so the sum contains no waiting time.
//!
//! In push mode, an agent on this machine answers at once and at no cost with the last list it was sent, and stays silent
//! while discovery is down. Its list must be held as soon as it answers, so it is asked in quick succession. In ask mode,
//! couriers poll discovery itself, where requests cost something and may be turned down: pauses grow, and are randomized
//! so that couriers do not send requests in step.
//!
//! A request for the whole list that has timed out is still listened to for a while, beside those that follow
//! (`late_requests`), and a watch has as long as the last list took, twice over: a source that is merely slow is heard.
//!
//! A long list, of a few megabytes, may take longer than other requests as long as data keeps arriving. A list over a
//! limit of the configuration is not requested in a loop: a watch is tried next, which is enough to learn of changes,
//! then the list again, with pauses that grow to five minutes. Neither delays lists within the limits.

use meadowhold::interface::Time;

const MS: Time = 10;
/// How long after its last data a watch counts as dead.
pub const WATCH_TIMEOUT: Time = 2500 * MS;
/// How long after it was requested a watch must have sent data beyond its headers if the request before it failed. A
/// second watch that falls silent after its headers must leave time, within the 6 s, for a pause of 0.1 s and a third
/// request.
const RETRIED_WATCH_TIMEOUT: Time = 2300 * MS;
/// The time that a request has, including its connection, until the whole list or the headers of a watch have arrived.
/// Every fourth request in a row of failures has the longer time, for lists that a slow machine cannot read in 0.8 s.
const REQUEST_TIMEOUT: (Time, Time) = (800 * MS, 2000 * MS);
/// The time that an agent has until its headers arrive; the longer one is for every fourth request, as above.
const AGENT_TIMEOUT: (Time, Time) = (150 * MS, 400 * MS);
/// A watch has so many times what the last list took, up to the longer time of a request.
const WATCH_PER_LIST_TIME: Time = 2;
/// The pause after the first failure in a row, and the longest: in ask mode and in push mode.
const RETRY_PAUSE: [(Time, Time); 2] = [(100 * MS, 1600 * MS), (20 * MS, 80 * MS)];
/// How long a new process waits for its agent before it makes calls: the list in its configuration may be outdated, while
/// the agent's list must be held from the start. Any answer, or a refused connection, ends the wait sooner; silence means
/// that discovery is down. A mail whose queue lifetime ends meanwhile still gets its outcome in time: notices may be
/// 300 ms late, and those that an earlier process left only count as late after 1.5 s.
const STARTUP_HOLD: Time = 250 * MS;
/// How long after an address change lists of a lower version are ignored, in ask mode and in push mode. The list at the
/// new address must be held within 6 s in ask mode and 4 s in push mode, also where its versions start anew and one more
/// request fails.
const LOWER_AFTER_MOVE: [Time; 2] = [3000 * MS, 2100 * MS];
/// How long after a version gap whole lists of a lower version are ignored.
const LOWER_AFTER_GAP: Time = 3000 * MS;

/// The pause after the first list over a limit, and the longest.
const OVER_LIMIT_PAUSE: (Time, Time) = (2000 * MS, 300_000 * MS);
/// The time that a request for a long list has while data keeps arriving.
const LONG_LIST_TIMEOUT: Time = 60_000 * MS;

/// A request to discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Request {
    List,
    Watch,
}

/// The state of the current request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// No request is in flight; this one is next.
    Idle(Request),
    /// The request is sent; no headers have arrived.
    Sent(Request),
    /// The whole list is being received.
    Reading,
    /// A watch is open.
    Watching,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Input {
    /// The time that `due` returned has come.
    Timer,
    /// The headers of an answer with status 200 have arrived.
    Headers,
    /// More data of a long list has arrived.
    LongListData,
    /// The list is over a limit of the configuration, or was long and turned out to be unusable.
    OverLimit,
    /// A watch has sent a complete object or an empty line.
    WatchData,
    /// The whole list was received and processed.
    ListTaken,
    /// The same for a list that was asked for by an earlier request, which had timed out.
    LateListTaken,
    /// A late list is older than the one that is held, or unusable.
    LateOlderList,
    /// A whole list older than the one that is held was received, after an address change or a version gap: the source may
    /// be lagging, or may have started its versions anew.
    OlderList,
    /// A watch has sent changes to a version that is not held.
    VersionGap,
    /// The connection or the answer ended.
    Closed,
    /// The connection was refused, or the status is not 200.
    Rejected,
    /// The data received cannot be parsed.
    Unreadable,
    /// The address of discovery has changed.
    AddressChanged,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Nothing,
    /// Send this request.
    Send(Request),
    /// Close the connection of the current request.
    Cancel,
}

/// How the deadline of the next state is determined.
#[derive(Clone, Copy)]
enum Until {
    Now,
    WatchTimeout,
    /// The time by which a watch must have sent data beyond its headers.
    FirstData,
    /// The time by which headers must have arrived.
    Headers,
    /// The time by which the whole list must have arrived.
    Complete,
    /// The same for a long list of which more data has just arrived.
    LongList,
    /// The pause after a failure, which counts as one more in a row.
    RetryPause,
    /// The pause after a list over a limit, which counts as one more.
    OverLimitPause,
}

#[derive(Clone)]
pub struct Schedule {
    push: bool,
    state: State,
    deadline: Time,
    sent_at: Time,
    /// Requests that failed in a row, since data was last received.
    failures: u32,
    /// Lists older than the held one, since a list was accepted or the address changed.
    older_lists: u32,
    /// Lists over a limit, since a list was accepted or the address changed.
    over_limit: u32,
    /// How long the last list took, or its headers.
    answer_time: Time,
    /// Calls are held until then at the latest.
    hold_until: Option<Time>,
}

impl Schedule {
    /// The schedule of a process that starts now, in push mode or in ask mode.
    pub fn new(push: bool, now: Time) -> Schedule {
        Schedule {
            push,
            state: State::Idle(Request::List),
            deadline: now,
            sent_at: now,
            failures: 0,
            older_lists: 0,
            over_limit: 0,
            answer_time: 0,
            hold_until: push.then_some(now + STARTUP_HOLD),
        }
    }

    /// The schedule of a follower that holds a whole list and continues with a watch.
    pub fn resuming(now: Time) -> Schedule {
        Schedule { state: State::Idle(Request::Watch), ..Schedule::new(false, now) }
    }

    /// When `Input::Timer` is to be passed in, unless another input comes first.
    pub fn due(&self) -> Time {
        self.hold_until.map_or(self.deadline, |until| until.min(self.deadline))
    }

    /// Whether calls may start: in push mode, a new process asks its agent first.
    pub fn allows_calls(&self) -> bool {
        self.hold_until.is_none()
    }

    /// For an address change at `now`: until when lists of a lower version are ignored.
    pub fn ignores_lower_until(&self, now: Time) -> Time {
        now + LOWER_AFTER_MOVE[usize::from(self.push)]
    }

    /// Requests that failed in a row, since data was last received.
    pub fn consecutive_failures(&self) -> u32 {
        self.failures
    }

    /// Lists over a limit, since a list was accepted or the address changed.
    pub fn consecutive_over_limit(&self) -> u32 {
        self.over_limit
    }

    /// The request that follows a failed one. In push mode always the list: it costs nothing there, and unlike a watch
    /// it has no silent phase that could be mistaken for an outage.
    fn retry_request(&self, request: Request) -> Request {
        if self.push && self.over_limit == 0 {
            Request::List
        } else {
            request
        }
    }

    /// Advances the state machine. `chance` is uniformly distributed in [0, 1].
    pub fn handle(&mut self, now: Time, input: Input, chance: f64) -> Effect {
        use Input::{
            AddressChanged, Closed, Headers, LateListTaken, LateOlderList, ListTaken, LongListData,
            OlderList, OverLimit, Rejected, Timer, Unreadable, VersionGap, WatchData,
        };
        use State::{Idle, Reading, Sent, Watching};
        let answered =
            matches!(input, ListTaken | LateListTaken | OlderList | Rejected | Unreadable | OverLimit);
        self.hold_until = self.hold_until.filter(|&until| now < until && !answered);
        // The timer was set for the end of the hold, not for the deadline.
        if input == Timer && now < self.deadline {
            return Effect::Nothing;
        }
        // Transition table: state and input to next state, its deadline and effect.
        let (state, until, effect) = match (self.state, input) {
            (_, AddressChanged) => (Idle(Request::List), Until::Now, Effect::Cancel),
            (Idle(request), Timer) => (Sent(request), Until::Headers, Effect::Send(request)),
            (Idle(_) | Sent(_), LateListTaken) => (Idle(Request::Watch), Until::Now, Effect::Cancel),
            // The current request has been answered: it goes on.
            (_, LateListTaken | LateOlderList) => return Effect::Nothing,
            // Left over from a request that was cancelled.
            (Idle(_), _) => return Effect::Nothing,
            (Sent(Request::List), Headers) => (Reading, Until::Complete, Effect::Nothing),
            (Sent(Request::Watch), Headers) => (Watching, Until::FirstData, Effect::Nothing),
            (Reading | Watching, LongListData) => (self.state, Until::LongList, Effect::Nothing),
            (Reading, OverLimit) => (Idle(Request::Watch), Until::OverLimitPause, Effect::Cancel),
            (_, OverLimit) => (Idle(Request::List), Until::OverLimitPause, Effect::Cancel),
            (Watching, WatchData) => (Watching, Until::WatchTimeout, Effect::Nothing),
            (Watching, VersionGap) => (Idle(Request::List), Until::RetryPause, Effect::Cancel),
            (Reading, ListTaken) => (Idle(Request::Watch), Until::Now, Effect::Cancel),
            (_, OlderList | Unreadable) => (Idle(Request::List), Until::RetryPause, Effect::Cancel),
            (Sent(request), Timer | Closed | Rejected) => {
                (Idle(self.retry_request(request)), Until::RetryPause, Effect::Cancel)
            }
            (Reading, Timer | Closed | Rejected) => (Idle(Request::List), Until::RetryPause, Effect::Cancel),
            // If the first data of every watch is too late, watches fail forever; a list has no such time limit.
            (Watching, Timer) if self.failures >= 2 => {
                (Idle(Request::List), Until::RetryPause, Effect::Cancel)
            }
            (Watching, Timer | Closed | Rejected) => {
                (Idle(self.retry_request(Request::Watch)), Until::RetryPause, Effect::Cancel)
            }
            (Sent(_) | Reading | Watching, Headers | LongListData | WatchData | ListTaken | VersionGap) => {
                return Effect::Nothing
            }
        };
        if matches!(input, WatchData | ListTaken | LateListTaken | AddressChanged) {
            self.failures = 0;
        }
        if input == Headers && state == Reading {
            self.answer_time = now.saturating_sub(self.sent_at);
        }
        if matches!(input, ListTaken | LateListTaken | AddressChanged) {
            (self.older_lists, self.over_limit) = (0, 0);
        }
        // A source whose versions skip numbers causes a gap with each change, which would cost two requests each time.
        if input == VersionGap && !self.push {
            self.failures = 4;
        }
        // Data was received, but the pauses grow all the same, to half of the longest: once `accept_lower_from` has
        // passed the older list is accepted, and there must be time for one more request to fail then.
        if input == OlderList {
            self.failures = self.older_lists.min(3);
            self.older_lists = self.older_lists.saturating_add(1);
        }
        // What the request took beyond its short time-out. A watch that found a gap has not failed by being slow.
        let overrun =
            if input == VersionGap { 0 } else { now.saturating_sub(self.sent_at + REQUEST_TIMEOUT.0) };
        if matches!(effect, Effect::Send(_)) {
            self.sent_at = now;
        }
        self.deadline = match until {
            Until::Now => now,
            Until::WatchTimeout => now + WATCH_TIMEOUT,
            Until::FirstData if self.failures == 0 => now + WATCH_TIMEOUT,
            Until::FirstData => self.sent_at + RETRIED_WATCH_TIMEOUT,
            Until::Headers => now + self.headers_timeout(state),
            Until::Complete => self.sent_at + self.timeout(REQUEST_TIMEOUT),
            Until::LongList => (now + WATCH_TIMEOUT).min(self.sent_at + LONG_LIST_TIMEOUT),
            Until::RetryPause => now + self.retry_pause(overrun, chance),
            Until::OverLimitPause => now + self.over_limit_pause(chance),
        };
        if input == OlderList {
            self.failures = 1;
        }
        self.state = state;
        effect
    }

    /// How long the last list took to be answered.
    pub fn note_answer_time(&mut self, time: Time) {
        self.answer_time = time;
    }

    /// The time until the headers of the request that is sent now.
    fn headers_timeout(&self, state: State) -> Time {
        let timeout = self.timeout(if self.push { AGENT_TIMEOUT } else { REQUEST_TIMEOUT });
        let expected = WATCH_PER_LIST_TIME * self.answer_time;
        // A watch that is given up is not listened to any more, so it gets the time that its source needs.
        if state == State::Sent(Request::Watch) && expected <= REQUEST_TIMEOUT.1 {
            timeout.max(expected)
        } else {
            timeout
        }
    }

    fn timeout(&self, (short, long): (Time, Time)) -> Time {
        if self.failures % 4 == 3 {
            long
        } else {
            short
        }
    }

    /// Exponential backoff with jitter: between half and all of a step that doubles.
    fn over_limit_pause(&mut self, chance: f64) -> Time {
        let step = (OVER_LIMIT_PAUSE.0 << self.over_limit.min(16)).min(OVER_LIMIT_PAUSE.1);
        self.over_limit = self.over_limit.saturating_add(1);
        step / 2 + (step as f64 / 2.0 * chance) as Time
    }

    /// Exponential backoff with jitter, so that couriers do not send requests in step: between half and all of a step that
    /// doubles, less the time that the request overran.
    fn retry_pause(&mut self, overrun: Time, chance: f64) -> Time {
        let (first, max) = RETRY_PAUSE[usize::from(self.push)];
        let step = (first << self.failures.min(8)).min(max).saturating_sub(overrun).max(first);
        self.failures = self.failures.saturating_add(1);
        step / 2 + (step as f64 / 2.0 * chance) as Time
    }
}

/// What to do with a list or change that was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Accept,
    /// It is older than what is held.
    Ignore,
    /// A whole list that is older than what is held, after an address change or a version gap. Request it again: if it
    /// stays lower, the source has started its versions anew, or never had the version that is held.
    IgnoreAndRetry,
    /// Changes between the held version and this one are missing: apply it and request the whole list.
    AcceptAndRefetch,
    /// A change older than what is held that was never received: request the whole list, which contains it.
    IgnoreAndRefetch,
}

/// How many versions of received changes are remembered one by one.
const MAX_TRACKED: usize = 64;

/// The version of the list that is held.
pub struct HeldVersion {
    pub index: u64,
    /// All changes up to this version are known, and of later ones those in `seen`.
    complete_to: u64,
    seen: Vec<u64>,
    /// A whole list is needed, and from this time on also one of a lower version is accepted.
    accept_lower_from: Option<Time>,
}

impl HeldVersion {
    pub fn new(index: u64) -> HeldVersion {
        HeldVersion { index, complete_to: index, seen: Vec::new(), accept_lower_from: None }
    }

    /// The address has changed: lists of a lower version are ignored until then.
    pub fn address_changed(&mut self, until: Time) {
        self.accept_lower_from = Some(until);
    }

    /// Nobody listens at the source's address: the next process there may count its versions anew. Whole lists of a lower
    /// version are ignored until then.
    pub fn source_is_gone(&mut self, until: Time) {
        self.accept_lower_from.get_or_insert(until);
    }

    /// Decides what to do with a list or change of this version. `first`: it is the first object of a watch, which covers
    /// all changes after the version in the request.
    pub fn judge(&mut self, now: Time, index: u64, whole: bool, entries: usize, first: bool) -> Verdict {
        let is_older = index < self.index;
        let verdict = match (whole, is_older, self.accept_lower_from) {
            (_, false, _) if whole || first => Verdict::Accept,
            // Each version changes at least one entry: with fewer entries than versions, changes are missing.
            (_, false, _) if index - self.index > (entries as u64).max(1) => Verdict::AcceptAndRefetch,
            (_, false, _) => Verdict::Accept,
            (true, true, Some(from)) if now >= from => Verdict::Accept,
            (true, true, Some(_)) => Verdict::IgnoreAndRetry,
            // A change that arrives out of order, after a later one. It would be lost if it were merely ignored.
            (false, true, _) if !first && index > self.complete_to && !self.seen.contains(&index) => {
                Verdict::IgnoreAndRefetch
            }
            (..) => Verdict::Ignore,
        };
        if matches!(verdict, Verdict::Accept | Verdict::AcceptAndRefetch) {
            self.index = index;
            self.accept_lower_from = self.accept_lower_from.filter(|_| !whole);
            if whole || first {
                self.complete_to = index;
                self.seen.clear();
            } else if self.seen.last() != Some(&index) {
                if self.seen.len() == MAX_TRACKED {
                    self.complete_to = self.complete_to.max(self.seen.remove(0));
                }
                self.seen.push(index);
            }
        }
        // A whole list from before the gap must not count as filling it. And if the source never had the held version,
        // its lower ones must be accepted after a while, or none ever would be.
        if matches!(verdict, Verdict::AcceptAndRefetch | Verdict::IgnoreAndRefetch) {
            self.accept_lower_from = Some(now + LOWER_AFTER_GAP);
        }
        verdict
    }
}

#[cfg(test)]
mod tests;
