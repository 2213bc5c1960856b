//! State machine of a courier's start, from reading its journal to its first `+PONG`.

use meadowhold::interface::{Time, SECOND};

use crate::backlog::{Backlog, Mail, Pace};
use crate::list_request::{self, ListRequest, Reply};
use crate::stagger;

/// How long to wait for the list service if there is a stored list. Without one, the wait lasts until
/// `START_LIMIT`.
const LIST_WAIT: Time = 3 * SECOND;
/// If the stored list is at least this old, it is worth waiting longer for the service.
const OLD_LIST_AGE: Time = 600 * SECOND;
const OLD_LIST_WAIT: Time = 6 * SECOND;
/// Once the journal is read, a courier serves from this time on, even without a list. Below the 10 s promised to
/// operators.
pub const START_LIMIT: Time = 9 * SECOND;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// The journal is being read.
    ReadingJournal,
    /// The journal is being read, and the list has been received.
    ReadingJournalWithList,
    /// The journal has been read; the list has not been received.
    AwaitingList,
    /// The mails owed (taken on by an earlier process and not finished) are being offered to the decisions.
    Offering,
    Serving,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Event {
    JournalRead,
    ListReceived,
    /// A list request was refused, broke off or timed out.
    RequestFailed,
    /// The wait for the list service is over, and there is a stored list.
    ListWaitOver,
    LimitReached,
    AllOffered,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Use the received list from now on.
    ApplyList,
    /// Use the stored list for now; requests for the list go on.
    UseStoredList,
    /// Queue the mails owed. Those that can wait no longer are offered even without a list, so that none expires
    /// while the list is awaited.
    Enqueue,
    /// Offer the queued mails at the configured pace.
    Offer,
    /// Offer all remaining mails at once.
    OfferAll,
    /// Answer `PING` with `+PONG` from now on.
    AnswerPing,
    /// Log one line for the operator: the journal is still being read, and no mail can be taken on before that.
    LogJournalDelay,
}

use Effect::{AnswerPing, ApplyList, Enqueue, LogJournalDelay, Offer, OfferAll, UseStoredList};
use Event::{AllOffered, JournalRead, LimitReached, ListReceived, ListWaitOver, RequestFailed};
use State::{AwaitingList, Offering, ReadingJournal, ReadingJournalWithList, Serving};

pub type Row = (State, Event, State, &'static [Effect]);

/// One row for each state and event. `ListRequest` decides when a request is repeated.
pub const TRANSITIONS: [Row; 30] = [
    (ReadingJournal, JournalRead, AwaitingList, &[Enqueue]),
    (ReadingJournal, ListReceived, ReadingJournalWithList, &[ApplyList]),
    (ReadingJournal, RequestFailed, ReadingJournal, &[]),
    (ReadingJournal, ListWaitOver, ReadingJournal, &[]),
    // The courier must not take on mails that it cannot write to the journal.
    (ReadingJournal, LimitReached, ReadingJournal, &[LogJournalDelay]),
    (ReadingJournal, AllOffered, ReadingJournal, &[]),
    (ReadingJournalWithList, JournalRead, Offering, &[Enqueue, Offer]),
    (ReadingJournalWithList, ListReceived, ReadingJournalWithList, &[ApplyList]),
    (ReadingJournalWithList, RequestFailed, ReadingJournalWithList, &[]),
    (ReadingJournalWithList, ListWaitOver, ReadingJournalWithList, &[]),
    (ReadingJournalWithList, LimitReached, ReadingJournalWithList, &[LogJournalDelay]),
    (ReadingJournalWithList, AllOffered, ReadingJournalWithList, &[]),
    (AwaitingList, JournalRead, AwaitingList, &[]),
    (AwaitingList, ListReceived, Offering, &[ApplyList, Offer]),
    (AwaitingList, RequestFailed, AwaitingList, &[]),
    (AwaitingList, ListWaitOver, Offering, &[UseStoredList, Offer]),
    // No endpoint is known: the mails owed expire in time, and clients are told so.
    (AwaitingList, LimitReached, Serving, &[OfferAll, AnswerPing]),
    (AwaitingList, AllOffered, AwaitingList, &[]),
    (Offering, JournalRead, Offering, &[]),
    (Offering, ListReceived, Offering, &[ApplyList]),
    (Offering, RequestFailed, Offering, &[]),
    (Offering, ListWaitOver, Offering, &[]),
    (Offering, LimitReached, Serving, &[OfferAll, AnswerPing]),
    (Offering, AllOffered, Serving, &[AnswerPing]),
    (Serving, JournalRead, Serving, &[]),
    (Serving, ListReceived, Serving, &[ApplyList]),
    (Serving, RequestFailed, Serving, &[]),
    (Serving, ListWaitOver, Serving, &[]),
    (Serving, LimitReached, Serving, &[]),
    (Serving, AllOffered, Serving, &[]),
];

pub fn transition(state: State, event: Event) -> (State, &'static [Effect]) {
    // The rows are sorted by state and event, and none is missing: see the tests.
    let row = TRANSITIONS[state as usize * 6 + event as usize];
    (row.2, row.3)
}

/// Inputs from the caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// The journal has been read; these mails are owed.
    JournalRead(Vec<Mail>),
    /// A list request has ended.
    RequestEnded(Reply),
}

/// Actions for the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    RequestList,
    /// Close the connection of the request in flight.
    AbortRequest,
    /// Use the received list, or the stored one, from now on.
    ApplyList,
    UseStoredList,
    /// Offer the mail with this serial number to the decisions. Expired mails are offered too, for their final
    /// answer.
    Offer(u64),
    AnswerPing,
    LogJournalDelay,
}

pub struct Params<'a> {
    pub name: &'a str,
    pub list_request: list_request::Params,
    pub pace: Pace,
    /// Age of the stored list; `None`: there is none.
    pub stored_list_age: Option<Time>,
    pub seed: u64,
}

pub struct Start {
    state: State,
    list_request: ListRequest,
    pace: Pace,
    /// The mails owed, until they are queued in `backlog`.
    owed: Vec<Mail>,
    backlog: Backlog,
    list_wait_end: Option<Time>,
    limit: Option<Time>,
    rng: fastrand::Rng,
}

impl Start {
    /// `now` is the start of the process.
    pub fn new(now: Time, params: &Params) -> Start {
        let position = stagger::position(params.name);
        // The name is mixed in so that couriers with equal seeds do not back off in step.
        let seed = params.seed ^ position.to_bits();
        let list_wait_end = params
            .stored_list_age
            .map(|age| now + if age < OLD_LIST_AGE { LIST_WAIT } else { OLD_LIST_WAIT });
        Start {
            state: ReadingJournal,
            list_request: ListRequest::new(now, position, params.list_request),
            pace: params.pace,
            owed: Vec::new(),
            backlog: Backlog::default(),
            list_wait_end,
            limit: Some(now + START_LIMIT),
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    pub fn state(&self) -> State {
        self.state
    }

    pub fn input(&mut self, now: Time, input: Input, out: &mut Vec<Action>) {
        match input {
            Input::JournalRead(owed) => {
                self.owed = owed;
                self.event(now, JournalRead, out);
                // Both waits ended while the journal was being read: raise the limit's event again.
                if self.state == AwaitingList && self.list_wait_end.is_none() && self.limit.is_none() {
                    self.event(now, LimitReached, out);
                }
            }
            Input::RequestEnded(reply) => {
                self.list_request.on_reply(now, reply, &mut self.rng);
                self.event(now, if reply == Reply::List { ListReceived } else { RequestFailed }, out);
            }
        }
        self.poll(now, out);
    }

    /// Handles all that is due by now. To be called at `wake`; may be called at any time.
    pub fn poll(&mut self, now: Time, out: &mut Vec<Action>) {
        while let Some(step) = self.list_request.poll(now, &mut self.rng) {
            match step {
                list_request::Step::Send => out.push(Action::RequestList),
                list_request::Step::Abort => {
                    out.push(Action::AbortRequest);
                    self.event(now, RequestFailed, out);
                }
            }
        }
        // The event is held back until the journal has been read: it has no effect before.
        if self.state != ReadingJournal && self.list_wait_end.take_if(|at| *at <= now).is_some() {
            self.event(now, ListWaitOver, out);
        }
        if self.limit.take_if(|at| *at <= now).is_some() {
            self.event(now, LimitReached, out);
        }
        while let Some(serial) = self.backlog.pop_due(now) {
            out.push(Action::Offer(serial));
        }
        if self.state == Offering && self.backlog.is_empty() {
            self.event(now, AllOffered, out);
        }
    }

    pub fn wake(&self) -> Option<Time> {
        let list_wait_end = self.list_wait_end.filter(|_| self.state != ReadingJournal);
        let backlog = self.backlog.wake();
        [self.list_request.wake(), list_wait_end, self.limit, backlog].into_iter().flatten().min()
    }

    fn event(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        let (next, effects) = transition(self.state, event);
        self.state = next;
        for effect in effects {
            match effect {
                Effect::ApplyList => out.push(Action::ApplyList),
                Effect::UseStoredList => out.push(Action::UseStoredList),
                Effect::Enqueue => self.backlog = Backlog::new(now, std::mem::take(&mut self.owed)),
                Effect::Offer => self.backlog.set_pace(now, self.pace),
                Effect::OfferAll => self.backlog.set_pace(now, Pace { max_duration: 0, ..self.pace }),
                Effect::AnswerPing => out.push(Action::AnswerPing),
                Effect::LogJournalDelay => out.push(Action::LogJournalDelay),
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const STATES: [State; 5] = [ReadingJournal, ReadingJournalWithList, AwaitingList, Offering, Serving];
    const EVENTS: [Event; 6] =
        [JournalRead, ListReceived, RequestFailed, ListWaitOver, LimitReached, AllOffered];

    #[test]
    fn the_transition_table_is_complete_ordered_and_consistent() {
        let pairs: Vec<_> = STATES.iter().flat_map(|&s| EVENTS.map(|e| (s, e))).collect();
        assert_eq!(TRANSITIONS.map(|row| (row.0, row.1)).to_vec(), pairs);
        for (state, event, next, effects) in TRANSITIONS {
            assert_eq!(transition(state, event), (next, effects));
            assert!(
                next >= state || (state, next) == (ReadingJournalWithList, Offering),
                "goes back: {state:?}"
            );
            // The first PONG comes with the transition to serving, and mails are offered only before it.
            let enters = next == Serving && state != Serving;
            assert_eq!(effects.contains(&AnswerPing), enters, "{state:?} {event:?}");
            let offers = effects.contains(&Offer) || effects.contains(&OfferAll);
            assert!(!offers || !matches!(state, ReadingJournal | Serving), "{state:?} {event:?}");
            assert_eq!(effects.contains(&Enqueue), event == JournalRead && state <= ReadingJournalWithList);
            // A received list is applied in every state.
            assert_eq!(effects.contains(&ApplyList), event == ListReceived, "{state:?} {event:?}");
            // Clients are served only once the journal can be written.
            assert!(
                !matches!(state, ReadingJournal | ReadingJournalWithList) || !enters,
                "{state:?} {event:?}"
            );
        }
    }

    fn start(stored_list_age: Option<Time>) -> Start {
        let list_request = list_request::Params { couriers: 1, requests_per_second: 0.0 };
        Start::new(
            0,
            &Params {
                name: "n0",
                list_request,
                pace: Pace { mails_per_second: 0.0, max_duration: 2500, batch: 1 },
                stored_list_age,
                seed: 1,
            },
        )
    }

    fn mails(many: u64) -> Vec<Mail> {
        (0..many).map(|serial| Mail { serial, deadline: 90 * SECOND, ..Mail::default() }).collect()
    }

    /// Polls at each `wake` until the time `to`; collects the actions except requests.
    fn run(start: &mut Start, to: Time, seen: &mut Vec<(Time, Action)>) {
        while let Some(now) = start.wake().filter(|&at| at <= to) {
            let mut out = Vec::new();
            start.poll(now, &mut out);
            let told = out.into_iter().filter(|a| !matches!(a, Action::RequestList | Action::AbortRequest));
            seen.extend(told.map(|action| (now, action)));
        }
    }

    #[test]
    fn starts_with_delayed_or_missing_list_and_journal() {
        use Action::{AnswerPing, ApplyList, LogJournalDelay, Offer, UseStoredList};
        let (never, second) = (Time::MAX, SECOND);
        // (age of the stored list, journal read at, list received at, number of mails, expected actions)
        type Row = (Option<Time>, Time, Time, u64, Vec<(Time, Action)>);
        let rows: Vec<Row> = vec![
            // No trouble, in both orders.
            (None, 100, 300, 0, vec![(300, ApplyList), (300, AnswerPing)]),
            (None, 300, 100, 0, vec![(100, ApplyList), (300, AnswerPing)]),
            (
                None,
                100,
                300,
                2,
                vec![(300, ApplyList), (300, Offer(0)), (1550, Offer(1)), (1550, AnswerPing)],
            ),
            // The service is out: start with the stored list, sooner if it is recent, or without one at the limit.
            (Some(second), 100, never, 0, vec![(LIST_WAIT, UseStoredList), (LIST_WAIT, AnswerPing)]),
            (
                Some(OLD_LIST_AGE),
                100,
                never,
                0,
                vec![(OLD_LIST_WAIT, UseStoredList), (OLD_LIST_WAIT, AnswerPing)],
            ),
            (None, 100, never, 1, vec![(START_LIMIT, AnswerPing), (START_LIMIT, Offer(0))]),
            // The list comes late: it is applied while serving.
            (
                Some(0),
                100,
                LIST_WAIT + 5,
                0,
                vec![(LIST_WAIT, UseStoredList), (LIST_WAIT, AnswerPing), (LIST_WAIT + 5, ApplyList)],
            ),
            // The journal takes long: serving begins as soon as it is read.
            (Some(0), 4 * second, never, 0, vec![(4 * second, UseStoredList), (4 * second, AnswerPing)]),
            (
                None,
                12 * second,
                never,
                1,
                vec![(START_LIMIT, LogJournalDelay), (12 * second, AnswerPing), (12 * second, Offer(0))],
            ),
            (
                None,
                12 * second,
                100,
                0,
                vec![(100, ApplyList), (START_LIMIT, LogJournalDelay), (12 * second, AnswerPing)],
            ),
        ];
        for (old, read, list, many, expected) in rows {
            let (mut start, mut seen) = (start(old), Vec::new());
            let mut given =
                [(read, Input::JournalRead(mails(many))), (list, Input::RequestEnded(Reply::List))];
            given.sort_by_key(|g| g.0);
            for (at, input) in given.into_iter().filter(|g| g.0 < never) {
                run(&mut start, at - 1, &mut seen);
                let mut out = Vec::new();
                start.input(at, input, &mut out);
                let told =
                    out.into_iter().filter(|a| !matches!(a, Action::RequestList | Action::AbortRequest));
                seen.extend(told.map(|action| (at, action)));
            }
            run(&mut start, 20 * second, &mut seen);
            assert_eq!(seen, expected, "old {old:?}, read {read}, list {list}");
            assert_eq!(start.state(), Serving);
        }
    }

    #[test]
    fn the_limit_ends_slow_offering() {
        let list_request = list_request::Params { couriers: 1, requests_per_second: 0.0 };
        let pace = Pace { mails_per_second: 0.0, max_duration: 60 * SECOND, batch: 1 };
        let mut start =
            Start::new(0, &Params { name: "n0", list_request, pace, stored_list_age: None, seed: 1 });
        let (mut out, mut seen) = (Vec::new(), Vec::new());
        start.input(0, Input::JournalRead(mails(100)), &mut out);
        start.input(1, Input::RequestEnded(Reply::List), &mut out);
        seen.extend(out.into_iter().map(|action| (1, action)));
        run(&mut start, 10 * SECOND, &mut seen);
        let offered: Vec<_> = seen.iter().filter(|s| matches!(s.1, Action::Offer(_))).collect();
        assert_eq!(offered.len(), 100);
        assert!(offered.windows(2).all(|w| w[0].0 <= w[1].0));
        assert_eq!(
            seen.iter().filter(|s| s.1 == Action::AnswerPing).map(|s| s.0).collect::<Vec<_>>(),
            [START_LIMIT]
        );
    }
}
