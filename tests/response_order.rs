//! Which answers on a kept connection are believed: tables of cases, and a model of connections with copied answers.

use fastrand::Rng;
use meadowhold::interface::{Effect, Time};
use meadowhold::response_order::{
    AnswerTraits, Attribution, Claim, Held, NamedMessages, QuietPeriods, ResponseOrder, Settled, Silence,
};

const PERIODS: QuietPeriods = QuietPeriods { short: 100, long: 300 };
/// How long a connection rests between calls.
const RESTED: Time = 50;
const UNNAMED: NamedMessages = NamedMessages::Unnamed;

fn traits(fingerprint: u64, names: NamedMessages) -> AnswerTraits {
    AnswerTraits { fingerprint, names, closes: false }
}

/// An outcome of a message with much time left.
fn held(message: Option<u64>, claim: Option<Claim>, quiet_period: Time) -> Held {
    let (min_quiet_period, deadline, may_repeat) = (PERIODS.short, Time::MAX, false);
    Held { message, claim, quiet_period, min_quiet_period, deadline, may_repeat, rested: RESTED }
}

fn confirmed<const N: usize>(messages: [u64; N]) -> Settled {
    Settled { confirmed: messages.to_vec(), doubtful: Vec::new() }
}

/// The endpoint answers all the time.
fn answering(_silence: Silence) -> bool {
    true
}

/// The endpoint has answered nothing.
fn silent(_silence: Silence) -> bool {
    false
}

/// A connection that has carried one call, with the answer 1.
fn used_once() -> ResponseOrder {
    let mut order = ResponseOrder::default();
    assert_eq!(order.attribute(traits(1, UNNAMED)), Attribution::Own);
    order
}

#[test]
fn an_answer_is_attributed_by_its_content_and_by_those_before_it() {
    let doubtful = |mut order: ResponseOrder| {
        order.hold(0, held(Some(7), Some(Claim::Delivered), PERIODS.long));
        order
    };
    let closing = AnswerTraits { closes: true, ..traits(2, UNNAMED) };
    let rows = [
        ("the first", ResponseOrder::default(), traits(1, UNNAMED), Attribution::Own),
        (
            "the first, of others",
            ResponseOrder::default(),
            traits(1, NamedMessages::Foreign),
            Attribution::Foreign,
        ),
        ("one like the first", used_once(), traits(1, UNNAMED), Attribution::Repeated),
        ("another than the first", used_once(), traits(2, UNNAMED), Attribution::NoCopy),
        ("another that closes", used_once(), closing, Attribution::Own),
        ("one that names its messages", used_once(), traits(1, NamedMessages::Own), Attribution::Own),
        ("one that names others", used_once(), traits(2, NamedMessages::Foreign), Attribution::Foreign),
        ("another behind a doubtful one", doubtful(used_once()), traits(2, UNNAMED), Attribution::OutOfStep),
        ("one that closes behind a doubtful one", doubtful(used_once()), closing, Attribution::OutOfStep),
        (
            "a named one behind a doubtful one",
            doubtful(used_once()),
            traits(2, NamedMessages::Own),
            Attribution::Own,
        ),
    ];
    for (what, mut order, answer, expected) in rows {
        assert_eq!(order.attribute(answer), expected, "{what}");
    }
}

#[test]
fn only_what_can_be_no_other_calls_is_final_at_once() {
    let (delivered, never_ran) = (Some(Claim::Delivered), Some(Claim::NeverRan));
    let rows = [
        (Attribution::Own, delivered, None),
        (Attribution::Own, never_ran, None),
        (Attribution::Own, None, None),
        (Attribution::NoCopy, delivered, None),
        (Attribution::NoCopy, never_ran, Some(PERIODS.short)),
        (Attribution::NoCopy, None, Some(PERIODS.short)),
        (Attribution::Repeated, delivered, Some(PERIODS.long)),
        (Attribution::Repeated, never_ran, Some(PERIODS.short)),
        (Attribution::Repeated, None, Some(PERIODS.long)),
        (Attribution::OutOfStep, delivered, Some(PERIODS.long)),
        (Attribution::OutOfStep, never_ran, Some(PERIODS.long)),
        (Attribution::OutOfStep, None, Some(PERIODS.long)),
    ];
    for (attribution, claim, expected) in rows {
        assert_eq!(attribution.quiet_period(claim, PERIODS), expected, "{attribution:?} {claim:?}");
    }
}

/// Guards against a message that runs twice: a copy of an earlier refusal is followed by silence for as long as its call runs.
#[test]
fn silence_proves_no_refusal_that_may_be_a_copy_and_none_of_a_once_only_message() {
    use Attribution::{Foreign, NoCopy, OutOfStep, Repeated};
    let effects = [Effect::Redeliverable, Effect::Tagged, Effect::OnceOnly];
    for (attribution, provable) in [
        (NoCopy, [true, true, false]),
        (Repeated, [false; 3]),
        (OutOfStep, [false; 3]),
        (Foreign, [false; 3]),
    ] {
        for (effect, provable) in effects.into_iter().zip(provable) {
            let proven = |claim| attribution.is_provable_by_silence(claim, effect);
            assert_eq!(proven(Claim::NeverRan), provable, "{attribution:?} {effect:?}");
            assert!(proven(Claim::Delivered) && proven(Claim::Over));
        }
    }
}

#[test]
fn more_answers_than_are_remembered_count_as_known() {
    let mut order = ResponseOrder::default();
    let first = (0..16).map(|answer| order.attribute(traits(answer, UNNAMED))).collect::<Vec<_>>();
    assert_eq!(first[1..], [Attribution::NoCopy; 15]);
    assert_eq!(order.attribute(traits(99, UNNAMED)), Attribution::Repeated);
}

#[test]
fn an_outcome_is_final_after_its_quiet_period_which_each_answer_begins_anew() {
    let mut order = used_once();
    order.hold(0, held(Some(7), Some(Claim::Delivered), PERIODS.long));
    assert_eq!((order.due(), order.take_final(299, answering)), (Some(300), confirmed([])));
    order.hold(200, held(Some(8), Some(Claim::NeverRan), PERIODS.short));
    assert_eq!((order.due(), order.is_in_step()), (Some(300), false));
    assert_eq!(order.take_final(300, answering), confirmed([8]));
    assert_eq!(order.take_final(499, answering), confirmed([]));
    assert_eq!(order.take_final(500, answering), confirmed([7]));
    assert!(order.is_in_step() && order.due().is_none());
}

#[test]
fn the_silence_of_an_endpoint_that_does_not_answer_proves_no_delivery() {
    let mut order = used_once();
    order.hold(0, held(Some(7), Some(Claim::Delivered), PERIODS.long));
    order.hold(0, held(Some(8), Some(Claim::NeverRan), PERIODS.long));
    assert_eq!(order.take_final(300, silent), confirmed([8]));
    assert_eq!((order.due(), order.take_final(399, answering)), (Some(400), confirmed([])));
    assert_eq!(order.take_final(400, answering), confirmed([7]));
}

#[test]
fn an_unproven_delivery_is_looked_at_again_at_its_deadline_at_the_latest() {
    let mut order = used_once();
    order.hold(0, Held { deadline: 350, ..held(Some(7), Some(Claim::Delivered), PERIODS.long) });
    assert_eq!((order.take_final(300, silent), order.due()), (confirmed([]), Some(350)));
    assert_eq!((order.take_final(350, silent), order.due()), (confirmed([]), Some(450)));
}

#[test]
fn an_unproven_delivery_that_may_repeat_becomes_doubtful_in_time_for_another_call() {
    for (deadline, doubtful_at) in [(Time::MAX, 600), (650, 500)] {
        let mut order = used_once();
        order.hold(0, held(None, Some(Claim::Delivered), PERIODS.long));
        order.hold(0, held(Some(7), Some(Claim::Delivered), PERIODS.long));
        let repeatable = held(Some(8), Some(Claim::Delivered), PERIODS.long);
        order.hold(0, Held { may_repeat: true, deadline, ..repeatable });
        let settled: Vec<(Time, Settled)> = [300, 400, 500, 600]
            .map(|at| (at, order.take_final(at, silent)))
            .into_iter()
            .filter(|(_, settled)| *settled != Settled::default())
            .collect();
        let doubtful = Settled { confirmed: vec![], doubtful: vec![8] };
        assert_eq!(settled, [(doubtful_at, doubtful)], "deadline {deadline}");
        assert!(order.holds_messages() && !order.is_in_step(), "the other stays");
        order.retain(|_| false);
        assert!(!order.holds_messages() && !order.is_in_step(), "an answer may still be outstanding");
    }
}

#[test]
fn later_deliveries_on_a_connection_leave_the_time_of_an_earlier_answer_but_other_answers_move_it() {
    let answered_at_100 = |silence: Silence| silence.since < 50;
    for (later, expected) in
        [(Some(Claim::Delivered), vec![7]), (Some(Claim::NeverRan), vec![]), (None, vec![])]
    {
        let mut order = used_once();
        order.hold(0, held(Some(7), Some(Claim::Delivered), PERIODS.long));
        order.hold(60, held(None, later, PERIODS.long));
        assert_eq!(order.take_final(360, answered_at_100).confirmed, expected, "{later:?}");
    }
}

/// Guards against a delivery that a copy of an earlier answer claims, while the own answer takes longer than the quiet
/// period: the connection must have rested before the call for longer than copies come late.
#[test]
fn silence_proves_no_delivery_behind_a_rest_in_which_a_copy_could_have_been_on_its_way() {
    for (copies_come_within, expected) in [(0, vec![7]), (RESTED, vec![7]), (RESTED + 1, vec![])] {
        let is_proof = |silence: Silence| silence.before_call >= copies_come_within;
        let order = || {
            let mut order = used_once();
            order.hold(0, held(Some(7), Some(Claim::Delivered), PERIODS.long));
            order
        };
        assert_eq!(order().take_final(300, is_proof).confirmed, expected, "{copies_come_within}");
        assert_eq!(
            order().take_final_at_close(300, PERIODS.short, is_proof),
            expected,
            "{copies_come_within}"
        );
        assert_eq!(order().is_proven(is_proof), !expected.is_empty(), "{copies_come_within}");
    }
}

/// Guards against a long rest that hides a shift: the call before took a copy, and its own answer came in the place of this
/// one's.
#[test]
fn a_shift_before_a_call_counts_however_long_the_connection_rested_then() {
    let mut order = used_once();
    order.hold(0, held(Some(7), Some(Claim::Delivered), PERIODS.long));
    order.hold(100, Held { rested: 10 * RESTED, ..held(Some(8), Some(Claim::Delivered), PERIODS.long) });
    let needs_longer_rest = |silence: Silence| silence.before_call > RESTED;
    assert_eq!(order.take_final(400, needs_longer_rest), confirmed([]));
}

/// Guards against a connection that is kept for nothing: no message waits for it, and its silence proves nothing.
#[test]
fn a_connection_without_messages_that_stays_unproven_is_told_of() {
    let mut order = used_once();
    order.hold(0, held(Some(7), Some(Claim::Delivered), PERIODS.long));
    order.hold(0, held(None, Some(Claim::Delivered), PERIODS.long));
    order.take_final(600, silent);
    assert!(!order.is_unprovable(600), "a message waits for it");
    order.retain(|_| false);
    assert!(!order.is_unprovable(599) && order.is_unprovable(600));
    assert!(!used_once().is_unprovable(Time::MAX), "nothing is to be proven");
}

#[test]
fn a_connection_that_ends_has_final_outcomes_if_it_was_quiet_for_the_short_period() {
    let rows = [(99, true, vec![]), (100, true, vec![7]), (100, false, vec![])];
    for (at, is_answering, expected) in rows {
        let mut order = used_once();
        order.hold(0, held(Some(7), Some(Claim::Delivered), PERIODS.long));
        assert_eq!(order.take_final_at_close(at, PERIODS.short, |_| is_answering), expected, "{at}");
        assert_eq!(order.take_all().len(), 1 - expected.len(), "the rest is revoked");
    }
}

#[test]
fn a_connection_with_provisional_outcomes_is_reused_for_two_quiet_periods() {
    let mut order = used_once();
    assert!(order.is_reusable(Time::MAX));
    order.hold(1000, held(Some(7), Some(Claim::Delivered), PERIODS.long));
    order.hold(1500, held(Some(8), Some(Claim::Delivered), PERIODS.long));
    assert_eq!((order.is_reusable(1599), order.is_reusable(1600)), (true, false));
    order.take_final(1800, answering);
    assert!(order.is_reusable(1800));
}

#[test]
fn a_quiet_period_ends_with_the_time_of_its_message_but_not_before_the_short_one() {
    let rows = [(10_000, 1300, 1600), (1250, 1250, 1050), (1100, 1100, 900), (1050, 1100, 850)];
    for (deadline, due, reusable_until) in rows {
        let mut order = used_once();
        order.hold(1000, Held { deadline, ..held(Some(7), Some(Claim::Delivered), PERIODS.long) });
        assert_eq!(order.due(), Some(due), "deadline {deadline}");
        assert!(order.is_reusable(reusable_until - 1) && !order.is_reusable(reusable_until), "{deadline}");
    }
}

#[test]
fn outcomes_of_messages_that_have_ended_are_dropped_and_those_of_no_message_stay() {
    let mut order = used_once();
    order.hold(0, held(Some(7), Some(Claim::Delivered), PERIODS.long));
    order.hold(0, held(None, None, PERIODS.long));
    assert!(!order.are_all_delivered());
    order.retain(|message| message != 7);
    assert_eq!((order.is_in_step(), order.take_final(300, answering)), (false, confirmed([])));
    assert!(order.is_in_step());
}

/// An answer on its way to the courier.
#[derive(Clone, Copy)]
struct InTransit {
    at: Time,
    status: u16,
}

/// One connection, in simulated time. The endpoint answers each call within the short quiet period and sends some of its
/// answers a second time: at any time, or right behind the next call.
struct Model {
    order: ResponseOrder,
    rng: Rng,
    now: Time,
    last_own_at: Time,
    in_transit: Vec<InTransit>,
    /// Copies that wait for the endpoint to read the next call.
    waiting_copies: Vec<u16>,
    /// The own answer of each call.
    own: Vec<u16>,
    /// Outcomes that became final, by call.
    finals: Vec<(usize, Claim)>,
}

impl Model {
    fn new(seed: u64) -> Model {
        Model {
            order: ResponseOrder::default(),
            rng: Rng::with_seed(seed),
            now: 0,
            last_own_at: 0,
            in_transit: Vec::new(),
            waiting_copies: Vec::new(),
            own: Vec::new(),
            finals: Vec::new(),
        }
    }

    fn arrive(&mut self, at: Time, status: u16) {
        self.in_transit.push(InTransit { at, status });
        self.in_transit.sort_by_key(|answer| answer.at);
    }

    fn call(&mut self) {
        let status = if self.rng.u8(..4) == 0 { 503 } else { 200 };
        self.own.push(status);
        for copy in std::mem::take(&mut self.waiting_copies) {
            self.arrive(self.now + 1, copy);
        }
        // The endpoint runs one call at a time.
        let at = self.last_own_at.max(self.now) + 2 + self.rng.u64(..PERIODS.short - 10);
        self.last_own_at = at;
        self.arrive(at, status);
        match self.rng.u8(..20) {
            0 => {
                let late = self.rng.u64(..PERIODS.long * 4);
                self.arrive(at + late, status);
            }
            1 => self.waiting_copies.push(status),
            _ => {}
        }
    }

    fn settle(&mut self, messages: Vec<u64>, claims: &[Option<Claim>]) {
        let claim = |message: u64| claims[message as usize].map(|claim| (message as usize, claim));
        self.finals.extend(messages.into_iter().filter_map(claim));
    }

    /// Carries calls until an answer too many comes or the connection has to rest. Returns whether it stayed in order.
    fn run(&mut self, calls: usize) {
        let mut claims: Vec<Option<Claim>> = Vec::new();
        for call in 0..calls {
            // Rests for a while, in which outcomes become final and answers too many show themselves.
            let rests_until = self.now + self.rng.u64(..PERIODS.long * 2);
            while let Some(due) = self.order.due().filter(|&due| due <= rests_until) {
                if self.in_transit.first().is_some_and(|answer| answer.at <= due) {
                    return;
                }
                let settled = self.order.take_final(due, answering);
                self.settle(settled.confirmed, &claims);
            }
            self.now = rests_until;
            if self.in_transit.first().is_some_and(|answer| answer.at <= self.now)
                || !self.order.is_reusable(self.now)
            {
                return;
            }
            self.call();
            let answer = self.in_transit.remove(0);
            self.now = answer.at;
            let claim = if answer.status == 200 { Claim::Delivered } else { Claim::NeverRan };
            claims.push(Some(claim));
            let attribution = self.order.attribute(traits(u64::from(answer.status), UNNAMED));
            match attribution.quiet_period(Some(claim), PERIODS) {
                None => self.finals.push((call, claim)),
                Some(quiet) => self.order.hold(self.now, held(Some(call as u64), Some(claim), quiet)),
            }
        }
    }
}

#[test]
fn no_copied_answer_makes_a_wrong_outcome_final() {
    let (mut finals, mut shifted) = (0, 0);
    for seed in 0..20_000 {
        let mut model = Model::new(seed);
        model.run(12);
        for &(call, claim) in &model.finals {
            let own = if model.own[call] == 200 { Claim::Delivered } else { Claim::NeverRan };
            assert_eq!(claim, own, "seed {seed}, call {call} of {:?}", model.own);
        }
        finals += model.finals.len();
        shifted += usize::from(!model.in_transit.is_empty());
    }
    assert!(
        finals > 20_000 && shifted > 2_000,
        "{finals} final outcomes, {shifted} connections with one too many"
    );
}
