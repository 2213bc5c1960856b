//! Tables of cases for each rule: the observations, and the rules they break.

use super::*;
use crate::day::Trouble;

const MS: u64 = 1000;

/// A day with troubles, which excuse some doubts of the couriers.
fn day() -> Day {
    let mut day = Day::default();
    (day.couriers, day.rules.window_s, day.rules.late_ms) = (2, 1.0, 500);
    (day.rules.drain_grace_ms, day.rules.wait_grace_ms) = (500, 100);
    (day.endpoints.rate, day.endpoints.cold_s, day.endpoints.cold_from) = (10.0, 10.0, 0.1);
    day.trouble = vec![Trouble::default()];
    day
}

/// One mail of each queue class, and a second one of `turns` with the same key; each has a lifetime of one second.
fn mails() -> Vec<Mail> {
    let mail = |class, key| Mail { at: 0, courier: 0, client: 0, class, key, destination: 0, time: 1000 };
    let classes =
        [(Class::Again, 0), (Class::Tagged, 0), (Class::Once, 0), (Class::Turns, 7), (Class::Turns, 7)];
    classes.map(|(class, key)| mail(class, key)).to_vec()
}

const AGAIN: u32 = 0;
const TAGGED: u32 = 1;
const ONCE: u32 = 2;
const TURN: u32 = 3;
const NEXT: u32 = 4;

fn hand(mail: u32) -> HandIn {
    HandIn { mail, attempt: 0 }
}

fn taken(mail: u32) -> Observation {
    Observation::Answered { hand: hand(mail), courier: 0, answer: ClientAnswer::Taken }
}

fn called(call: u64, mail: u32, result: CallResult) -> Observation {
    Observation::Called { call, link: 1, courier: 0, endpoint: 0, hands: vec![hand(mail)], result }
}

fn replied(call: u64) -> Observation {
    Observation::Replied { call }
}

fn notice(mail: u32, dead: bool) -> Observation {
    Observation::Notice { hand: hand(mail), dead }
}

fn process(what: Process) -> Observation {
    Observation::Process { courier: 0, what }
}

fn told(drains: bool) -> Observation {
    Observation::ListSent { courier: 0, endpoint: 0, drains }
}

/// Judges observations, each with its time in milliseconds. `owed` lists the mails still in the journal at the end, at
/// 9 s.
fn verdict(seen: Vec<(u64, Observation)>, owed: &[u32]) -> Verdict {
    let events: Vec<Event> =
        seen.into_iter().map(|(at, seen)| Event { at: at * MS, observation: seen }).collect();
    let owed = owed.iter().map(|&mail| hand(mail)).collect();
    judge(&day(), &mails(), 0, &events, &FinalState { owed, faults: Vec::new(), at: 9000 * MS })
}

/// Name of the case, the observations, and the rules they break.
type Row<'a> = (&'a str, Vec<(u64, Observation)>, &'a [Rule]);

fn table(rows: Vec<Row>) {
    for (name, seen, rules) in rows {
        let verdict = verdict(seen, &[]);
        let broken: Vec<Rule> = verdict.broken.iter().map(|broken| broken.rule).collect();
        assert_eq!(broken, rules, "{name}: {:?}", verdict.broken);
    }
}

#[test]
fn each_mail_taken_ends_once_and_in_time() {
    use CallResult::Relayed;
    let lost = process(Process::FolderLost);
    table(vec![
        ("none", vec![(1, taken(AGAIN))], &[Rule::NoMailLost]),
        ("relayed", vec![(1, taken(AGAIN)), (2, called(1, AGAIN, Relayed)), (3, replied(1))], &[]),
        ("out, never answered", vec![(1, taken(AGAIN)), (2, called(1, AGAIN, Relayed))], &[Rule::NoMailLost]),
        ("a notice", vec![(1, taken(AGAIN)), (900, notice(AGAIN, false))], &[]),
        ("a late one", vec![(1, taken(AGAIN)), (1501, notice(AGAIN, false))], &[Rule::NoMailLost]),
        ("the same again", vec![(1, taken(AGAIN)), (9, notice(AGAIN, true)), (20, notice(AGAIN, true))], &[]),
        (
            "another",
            vec![(1, taken(AGAIN)), (9, notice(AGAIN, true)), (20, notice(AGAIN, false))],
            &[Rule::OneEnd],
        ),
        ("gone with its folder", vec![(1, taken(AGAIN)), (9, lost.clone())], &[]),
        ("taken after that", vec![(1, lost), (9, taken(AGAIN))], &[Rule::NoMailLost]),
        (
            "a notice for one whose 200 had been read",
            vec![
                (1, taken(AGAIN)),
                (2, called(1, AGAIN, Relayed)),
                (3, replied(1)),
                (4, called(2, TAGGED, Relayed)),
                (1005, notice(AGAIN, true)),
            ],
            &[Rule::OneEnd],
        ),
    ]);
}

#[test]
fn spoilt_answers_excuse_another_call_and_a_missed_wait_but_no_loss_and_no_second_effect() {
    use CallResult::{Busy, Relayed, Throttled};
    let spoilt = |link| Observation::AnswersSpoilt { courier: 0, link };
    let read_and_called_again = |link| {
        vec![
            (0, spoilt(link)),
            (1, taken(AGAIN)),
            (2, called(1, AGAIN, Relayed)),
            (3, replied(1)),
            (4, called(2, TAGGED, Relayed)),
            (1200, called(3, AGAIN, Relayed)),
        ]
    };
    let wait = |link| {
        vec![
            (0, spoilt(link)),
            (1, called(1, AGAIN, Throttled(900))),
            (2, replied(1)),
            (500, called(2, AGAIN, Busy)),
        ]
    };
    let twice = vec![
        (0, spoilt(Link::Endpoints)),
        (1, taken(ONCE)),
        (2, called(1, ONCE, Relayed)),
        (3, replied(1)),
        (50, called(2, ONCE, Relayed)),
    ];
    let lost =
        vec![(0, spoilt(Link::Endpoints)), (1, taken(AGAIN)), (2, called(1, AGAIN, Busy)), (3, replied(1))];
    let drained = vec![(0, spoilt(Link::Endpoints)), (1, told(true)), (600, called(1, AGAIN, Busy))];
    let undrained = vec![(0, spoilt(Link::List)), (1, told(true)), (600, called(1, AGAIN, Busy))];
    table(vec![
        ("called again", read_and_called_again(Link::Endpoints), &[]),
        ("called again, the list spoilt", read_and_called_again(Link::List), &[Rule::OneEnd]),
        ("a wait", wait(Link::Endpoints), &[]),
        ("a wait, the list spoilt", wait(Link::List), &[Rule::WaitsHeeded]),
        ("twice", twice, &[Rule::NoEffectTwice]),
        ("lost", lost, &[Rule::NoMailLost]),
        ("a drain", drained, &[Rule::DrainsKept]),
        ("a drain, the list spoilt", undrained, &[]),
    ]);
}

#[test]
fn a_200_on_a_kept_connection_that_ends_soon_may_be_doubted() {
    use CallResult::Relayed;
    let on = |link, call, mail| Observation::Called {
        call,
        link,
        courier: 0,
        endpoint: 0,
        hands: vec![hand(mail)],
        result: Relayed,
    };
    let ended = |link| Observation::Disconnected { link };
    // The mail is relayed by the second call of its connection, and called again on another one.
    let repeat = |more: Vec<(u64, Observation)>| {
        let mut seen = vec![
            (1, taken(AGAIN)),
            (2, on(1, 1, TAGGED)),
            (3, replied(1)),
            (4, on(1, 2, AGAIN)),
            (5, replied(2)),
            (6, on(1, 3, TAGGED)),
            (1500, on(2, 4, AGAIN)),
        ];
        seen.extend(more);
        seen.sort_by_key(|seen| seen.0);
        seen
    };
    let first_call = vec![
        (1, taken(AGAIN)),
        (2, on(1, 1, AGAIN)),
        (3, replied(1)),
        (4, on(1, 2, TAGGED)),
        (1400, ended(1)),
        (1500, on(2, 3, AGAIN)),
    ];
    let links = |faulty| Observation::LinksChanged { courier: 0, link: Link::Endpoints, faulty };
    let other_links = |faulty| Observation::LinksChanged { courier: 0, link: Link::Clients, faulty };
    let fault = |from, to| vec![(7, replied(3)), (from, links(true)), (to, links(false))];
    let mut first_call_and_fault = first_call.clone();
    first_call_and_fault.extend([(800, links(true)), (1300, links(false))]);
    first_call_and_fault.sort_by_key(|seen| seen.0);
    table(vec![
        ("a fault of its link follows", repeat(fault(800, 1400)), &[]),
        ("a fault of its link ended before", repeat(fault(1, 2)), &[Rule::OneEnd]),
        (
            "a fault of another link follows",
            repeat(vec![(7, replied(3)), (800, other_links(true)), (1400, other_links(false))]),
            &[Rule::OneEnd],
        ),
        ("its first call, and a fault of its link follows", first_call_and_fault, &[Rule::OneEnd]),
        ("it has a call out", repeat(vec![]), &[]),
        ("it stays open, and is at rest", repeat(vec![(7, replied(3))]), &[Rule::OneEnd]),
        ("it ends before", repeat(vec![(7, replied(3)), (1400, ended(1))]), &[]),
        ("its end is recorded a little later", repeat(vec![(7, replied(3)), (1600, ended(1))]), &[]),
        ("it ends later", repeat(vec![(7, replied(3)), (1800, ended(1))]), &[Rule::OneEnd]),
        ("another ends", repeat(vec![(7, replied(3)), (1400, ended(7))]), &[Rule::OneEnd]),
        ("its first call", first_call, &[Rule::OneEnd]),
    ]);
}

#[test]
fn a_mail_in_the_journal_is_owed_until_long_after_its_lifetime() {
    assert_eq!(verdict(vec![(1, taken(AGAIN))], &[AGAIN]).breaks(Rule::NoMailLost), 1);
    let restart = vec![
        (1, taken(AGAIN)),
        (2, process(Process::Ended)),
        (8000, process(Process::Started)),
        (8500, process(Process::Ready)),
    ];
    let verdict = verdict(restart, &[AGAIN]);
    assert_eq!((verdict.kept(), verdict.figures.owed), (true, 1), "no notice is overdue after a restart");
}

#[test]
fn mails_take_effect_once_where_required() {
    use CallResult::{Failed, Relayed, Throttled};
    let twice = |mail, first, at| {
        vec![(1, taken(mail)), (10, called(1, mail, first)), (at, called(2, mail, Relayed)), (at, replied(2))]
    };
    table(vec![
        ("once, served", twice(ONCE, Relayed, 50), &[Rule::NoEffectTwice]),
        ("once, 500", twice(ONCE, Failed, 50), &[Rule::NoEffectTwice]),
        ("once, refused", twice(ONCE, Throttled(1), 50), &[]),
        ("tagged within its window", twice(TAGGED, Failed, 900), &[]),
        ("tagged after it", twice(TAGGED, Failed, 1011), &[Rule::NoEffectTwice]),
        ("again", twice(AGAIN, Failed, 1011), &[]),
        (
            "refused after it ran",
            vec![(1, taken(ONCE)), (10, called(1, ONCE, Failed)), (20, notice(ONCE, false))],
            &[Rule::NoEffectTwice],
        ),
    ]);
}

#[test]
fn drains_and_waits_apply_to_the_process_that_was_told() {
    let call = |at| vec![(at, taken(AGAIN)), (at, called(1, AGAIN, CallResult::Relayed)), (at, replied(1))];
    let after = |mut seen: Vec<(u64, Observation)>, at| {
        seen.extend(call(at));
        seen
    };
    let restart =
        [(10, process(Process::Ended)), (11, process(Process::Started)), (12, process(Process::Ready))];
    let again = |seen: Vec<(u64, Observation)>| [seen, restart.to_vec()].concat();
    let full = vec![(1, called(9, AGAIN, CallResult::Throttled(800))), (2, replied(9))];
    let stop = vec![(3, process(Process::Stopped)), (500, process(Process::Continued))];
    table(vec![
        ("in its grace", after(vec![(1, told(true))], 501), &[]),
        ("after it", after(vec![(1, told(true))], 502), &[Rule::DrainsKept]),
        ("taken back", after(vec![(1, told(true)), (9, told(false))], 502), &[]),
        ("by another process", after(again(vec![(1, told(true))]), 502), &[]),
        ("by one that was stopped", after([vec![(1, told(true))], stop].concat(), 999), &[]),
        ("a call that was on its way", after(full.clone(), 102), &[]),
        ("within the wait", after(full.clone(), 700), &[Rule::WaitsHeeded]),
        ("at its end", after(full.clone(), 802), &[]),
        ("a wait ends with the process", after(again(full), 700), &[]),
    ]);
}

#[test]
fn mails_of_a_key_are_called_in_order() {
    use CallResult::{Relayed, Throttled};
    let both = |first, second| {
        vec![
            (1, taken(TURN)),
            (2, taken(NEXT)),
            (3, called(1, first, Throttled(0))),
            (4, called(2, second, Relayed)),
            (5, replied(2)),
            (6, notice(first, true)),
        ]
    };
    table(vec![("in turn", both(TURN, NEXT), &[]), ("out of turn", both(NEXT, TURN), &[Rule::OrderKept])]);
}

#[test]
fn a_cold_endpoint_has_a_budget() {
    // (expected capacity N, budget): N + 2 sqrt(N) + 2.
    for (good_for, most) in
        [(0.0, 2.0), (1.0, 5.0), (4.0, 10.0), (16.0, 26.0), (100.0, 122.0), (400.0, 442.0)]
    {
        assert_eq!(budget(good_for), most, "{good_for}");
    }
    // The endpoint serves ten calls per second when warm and a tenth of that at first. In a window of two seconds and
    // with a multiple of two, its capacity is 4, and 7.6 after a tenth of the warm-up, so 15 calls are allowed and 16
    // are not. Calls at warm endpoints, or without an outage before, are not counted.
    let back = |at| (at, Observation::Outage { endpoint: 0, back: true });
    let calls = |at, calls: u64| (0..calls).map(move |call| (at, called(call, 90, CallResult::Busy)));
    let spread = |many: u64| (0..many).map(|call| (2 + call * 100, called(call, 90, CallResult::Busy)));
    type Overloads<'a> = (&'a str, Vec<(u64, Observation)>, usize);
    let rows: [Overloads; 9] = [
        ("the bound at its coldest", [back(1)].into_iter().chain(calls(2, 10)).collect(), 0),
        ("one call more", [back(1)].into_iter().chain(calls(2, 11)).collect(), 1),
        ("what the earlier bound let pass", [back(1)].into_iter().chain(calls(2, 13)).collect(), 1),
        ("it falls once", [back(1)].into_iter().chain(calls(2, 40)).collect(), 1),
        ("warmer", [back(1)].into_iter().chain(calls(1001, 15)).collect(), 0),
        ("warmer, one call more", [back(1)].into_iter().chain(calls(1001, 16)).collect(), 1),
        ("two spans", [back(1)].into_iter().chain(calls(2, 10)).chain(calls(2003, 10)).collect(), 0),
        ("one span", [back(1)].into_iter().chain(calls(2, 10)).chain(spread(20).skip(3)).collect(), 1),
        ("warm", [back(1)].into_iter().chain(calls(10_001, 400)).collect(), 0),
    ];
    for (name, seen, falls) in rows {
        assert_eq!(verdict(seen, &[]).breaks(Rule::NotPushedOver), falls, "{name}");
    }
    let seen = [back(1)].into_iter().chain(calls(2, 9)).chain(calls(9_000, 20)).collect();
    let g = verdict(seen, &[]).figures;
    let (calls, good_for, bound) = g.cold_worst;
    assert_eq!((calls, g.cold_calls), (9, 29), "the worst span is kept, and not the last one: {g:?}");
    assert!((good_for - 4.0).abs() < 0.01 && (bound - 10.0).abs() < 0.02, "{g:?}");
}

#[test]
fn list_requests_and_connections_are_counted_in_sliding_windows() {
    let mut seen: Vec<(u64, Observation)> =
        (0..5).map(|i| (i * 300, Observation::ListRequest { agent: 0, refused: false })).collect();
    seen.extend((0..4).map(|i| (2000 + i * 60, Observation::Connected { endpoint: 1 })));
    let g = verdict(seen, &[]).figures;
    assert_eq!((g.asks_peak, g.asks, g.connects_peak, g.connects), (4, 5, 2, 4));
}

fn answered(answer: ClientAnswer) -> Observation {
    Observation::Answered { hand: hand(AGAIN), courier: 0, answer }
}

fn judged_with(change: impl FnOnce(&mut Day), seen: Vec<(u64, Observation)>) -> Verdict {
    let mut day = day();
    change(&mut day);
    let events: Vec<Event> =
        seen.into_iter().map(|(at, seen)| Event { at: at * MS, observation: seen }).collect();
    judge(&day, &mails(), 0, &events, &FinalState { at: 9000 * MS, ..FinalState::default() })
}

#[test]
fn a_running_courier_that_refuses_everything_is_reported() {
    let refusals = || (0..20).map(|i| (i * 250, answered(ClientAnswer::Busy)));
    let with = |more: Vec<(u64, Observation)>| {
        let mut seen: Vec<(u64, Observation)> = refusals().chain(more).collect();
        seen.sort_by_key(|one| one.0);
        judged_with(|day| day.rules.serves_ms = 4000, seen).breaks(Rule::CouriersSound)
    };
    assert_eq!(with(Vec::new()), 1);
    assert_eq!(with(vec![(2001, called(1, ONCE, CallResult::Busy))]), 0, "a call in between");
    assert_eq!(with(vec![(2001, process(Process::Started)), (2002, process(Process::Ready))]), 0, "a start");
    assert_eq!(with(vec![(1, process(Process::TermSent))]), 0, "it is asked to end");
    assert_eq!(judged_with(|_| (), refusals().collect()).breaks(Rule::CouriersSound), 0, "not judged");
}

#[test]
fn a_forwarded_mail_without_an_answer_is_lost_unless_the_process_ended() {
    let seen = |ended: Vec<(u64, Observation)>| {
        let first = vec![(10, called(1, AGAIN, CallResult::Relayed)), (20, answered(ClientAnswer::Closed))];
        judged_with(|_| (), first.into_iter().chain(ended).collect()).breaks(Rule::NoMailLost)
    };
    assert_eq!(seen(Vec::new()), 1);
    assert_eq!(seen(vec![(50, process(Process::Ended))]), 0);
    assert_eq!(seen(vec![(500, process(Process::Ended))]), 1);
    let links = Observation::LinksChanged { courier: 0, link: Link::Clients, faulty: true };
    let cut =
        vec![(10, called(1, AGAIN, CallResult::Relayed)), (15, links), (20, answered(ClientAnswer::Closed))];
    assert!(judged_with(|_| (), cut).kept(), "the day cut the client's link");
    let links = Observation::LinksChanged { courier: 0, link: Link::Endpoints, faulty: true };
    let elsewhere =
        vec![(10, called(1, AGAIN, CallResult::Relayed)), (15, links), (20, answered(ClientAnswer::Closed))];
    assert_eq!(
        judged_with(|_| (), elsewhere).breaks(Rule::NoMailLost),
        1,
        "trouble at endpoints is no excuse"
    );
    for (idle, is_down, lost) in [(0, false, 1), (120, false, 0), (0, true, 0)] {
        let broken_off = Observation::BrokenOff { hand: hand(AGAIN) };
        let calls = [(9, broken_off), (10, called(1, AGAIN, CallResult::Relayed)), (11, replied(1))];
        let shutdown = is_down.then(|| (12, process(Process::TermSent)));
        let calls = calls.into_iter().chain(shutdown);
        let seen = calls.chain([(20, answered(ClientAnswer::Closed))]).collect();
        let verdict = judged_with(|day| day.mails.idle = idle, seen);
        assert_eq!(
            verdict.breaks(Rule::NoMailLost),
            lost,
            "the second copy's connection, {idle} idle clients, {is_down}"
        );
    }
    let unread = judged_with(|_| (), vec![(20, answered(ClientAnswer::Closed))]);
    assert!(unread.kept(), "{:?}", unread.broken);
}

#[test]
fn mails_that_end_untried_are_counted_by_when_they_were_taken() {
    let seen = vec![
        (10, taken(AGAIN)),
        (20, taken(TAGGED)),
        (30, process(Process::TermSent)),
        (40, taken(ONCE)),
        (50, called(1, TAGGED, CallResult::Busy)),
        (60, process(Process::Ended)),
        (70, taken(TURN)),
        (900, notice(AGAIN, false)),
        (900, notice(TAGGED, false)),
        (900, notice(ONCE, false)),
        (900, notice(TURN, false)),
    ];
    let untried = judged_with(|_| (), seen).figures.untried;
    assert_eq!((untried.before_shutdown, untried.in_shutdown, untried.elsewhere), (1, 1, 1));
    assert_eq!(untried.by_destination, BTreeMap::from([(0, 3)]));
}

#[test]
fn a_mail_is_not_called_behind_its_end() {
    use CallResult::{Busy, Over};
    let refused = Observation::Answered { hand: hand(AGAIN), courier: 0, answer: ClientAnswer::Busy };
    let withdrawn = Observation::Withdrawn { hand: hand(AGAIN) };
    let over =
        || vec![(1, taken(AGAIN)), (2, withdrawn.clone()), (3, called(1, AGAIN, Over)), (4, replied(1))];
    let with = |mut seen: Vec<(u64, Observation)>, more: Vec<(u64, Observation)>| {
        seen.extend(more);
        seen
    };
    let second = |at| vec![(at, called(2, AGAIN, Over)), (at, replied(2))];
    let spoilt_link = || Observation::AnswersSpoilt { courier: 0, link: Link::Endpoints };
    table(vec![
        ("withdrawn, and never called", vec![(1, taken(AGAIN)), (2, withdrawn.clone())], &[]),
        ("over at its call", over(), &[]),
        ("called again", with(over(), second(300)), &[Rule::OneEnd]),
        ("that was on its way", with(over(), second(150)), &[]),
        ("an answer that may be lost", with(vec![(0, spoilt_link())], with(over(), second(300))), &[]),
        (
            "a process that ended then",
            with(over(), with(vec![(9, process(Process::Ended))], second(300))),
            &[],
        ),
        (
            "behind a notice",
            vec![
                (1, taken(AGAIN)),
                (2, notice(AGAIN, true)),
                (300, called(1, AGAIN, Over)),
                (300, replied(1)),
            ],
            &[Rule::OneEnd],
        ),
        (
            "held back by a relay that spoils answers",
            vec![
                (0, spoilt_link()),
                (1, taken(AGAIN)),
                (2, notice(AGAIN, true)),
                (300, called(1, AGAIN, Over)),
            ],
            &[],
        ),
        (
            "behind a notice and the longest time on its way",
            vec![
                (0, spoilt_link()),
                (1, taken(AGAIN)),
                (2, notice(AGAIN, true)),
                (1003, called(1, AGAIN, Over)),
            ],
            &[Rule::OneEnd],
        ),
        (
            "behind a refusal",
            vec![(1, refused), (2, taken(AGAIN)), (300, called(1, AGAIN, Busy)), (301, notice(AGAIN, false))],
            &[Rule::OneEnd],
        ),
    ]);
}

#[test]
fn without_any_trouble_no_doubt_excuses_a_second_end() {
    use CallResult::Relayed;
    let kept = || {
        let first = [(1, taken(TAGGED)), (2, called(1, TAGGED, Relayed)), (3, replied(1))];
        let second = [(4, taken(AGAIN)), (5, called(2, AGAIN, Relayed)), (6, replied(2))];
        let closed = [(7, Observation::Disconnected { link: 1 })];
        let seen = first.into_iter().chain(second).chain(closed);
        seen.chain([(8, notice(AGAIN, false))]).map(|(at, seen)| Event { at: at * MS, observation: seen })
    };
    let events: Vec<Event> = kept().collect();
    let breaks = |day: &Day| {
        let state = FinalState { at: 9000 * MS, ..FinalState::default() };
        judge(day, &mails(), 0, &events, &state).breaks(Rule::OneEnd)
    };
    let calm = Day { trouble: Vec::new(), ..day() };
    assert_eq!((breaks(&day()), breaks(&calm)), (0, 1));
    let killed = [Event { at: 5 * MS, observation: process(Process::Ended) }];
    let disturbed: Vec<Event> = killed.into_iter().chain(kept()).collect();
    let state = FinalState { at: 9000 * MS, ..FinalState::default() };
    assert_eq!(
        judge(&calm, &mails(), 0, &disturbed, &state).breaks(Rule::OneEnd),
        0,
        "a kill outside the day"
    );
}
