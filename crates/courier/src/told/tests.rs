use super::Input::*;
use super::*;

const ASK: bool = false;
const PUSH: bool = true;

/// What comes, and when in ms.
type Script<'a> = &'a [(Time, Input)];

/// Begins at 0 and plays inputs; a number of ms is how far `Due` is let to come, or what comes by then.
/// Gives what was begun, and when in ms.
fn play(push: bool, chance: f64, script: Script, until: Time) -> (Told, Vec<(Time, Ask)>) {
    let mut told = Told::new(push, 0);
    let mut begun = Vec::new();
    let mut script = script.iter().copied().peekable();
    loop {
        let next = script.peek().map(|(at, _)| at * MS).filter(|&at| at <= told.due());
        let (now, input) = match next {
            Some(at) => (at, script.next().unwrap().1),
            None => (told.due(), Due),
        };
        if now > until * MS {
            return (told, begun);
        }
        if let Effect::Begin(ask) = told.put(now, input, chance) {
            begun.push((now / MS, ask));
        }
    }
}

#[test]
fn a_change_behind_silence_is_in_hand_within_six_seconds() {
    use Ask::{Watch, Whole};
    // A watch was open from 10 ms on, with its last word then or later.
    let up: Script = &[(1, Head), (2, Taken), (10, Head)];
    let word: Script = &[(1, Head), (2, Taken), (10, Head), (2010, Word)];
    // (name, pushed, chance, script, it fell silent, third ask since then of which the first two are silent too)
    let rows: [(&str, bool, f64, Script, Time, Ask); 8] = [
        ("asked, from the first moment", ASK, 1.0, &[], 0, Whole),
        ("asked, from the first moment", ASK, 0.0, &[], 0, Whole),
        ("asked, the watch's head never comes", ASK, 1.0, &up[..2], 2, Watch),
        ("asked, after the head", ASK, 1.0, up, 10, Watch),
        ("asked, after a line", ASK, 1.0, word, 2010, Watch),
        ("pushed, from the first moment", PUSH, 1.0, &[], 0, Whole),
        ("pushed, after the head", PUSH, 1.0, up, 10, Whole),
        ("pushed, after a line", PUSH, 1.0, word, 2010, Whole),
    ];
    for (name, push, chance, script, silent, ask) in rows {
        let (_, begun) = play(push, chance, script, silent + 6000);
        let after: Vec<_> = begun.iter().filter(|(at, _)| *at > silent).collect();
        // Three fit, and the last has its whole time before the six seconds are over.
        assert!(after.len() >= 3 && after[2].0 + 800 <= silent + 6000, "{name}: {begun:?}");
        assert!(after.iter().all(|begun| begun.1 == ask), "{name}: {begun:?}");
    }
}

#[test]
fn a_second_watch_that_falls_silent_after_its_head_leaves_time_for_a_third() {
    let script = [(1, Head), (2, Taken), (10, Head), (2615, Head)];
    let (_, begun) = play(ASK, 1.0, &script, 6000);
    let watches: Vec<_> = begun.iter().filter(|begun| begun.1 == Ask::Watch).map(|begun| begun.0).collect();
    assert!(watches.len() == 3 && watches[2] < 5500, "{watches:?}");
}

#[test]
fn a_healthy_watch_is_left_alone() {
    let mut script = vec![(1, Head), (2, Taken), (10, Head)];
    script.extend((1..=20).map(|i| (10 + i * 2200, Word)));
    for push in [PUSH, ASK] {
        assert_eq!(play(push, 0.5, &script, 40_000).1, [(0, Ask::Whole), (2, Ask::Watch)]);
    }
}

#[test]
fn what_is_priced_is_spaced_out_and_differs_and_an_agent_is_asked_closely() {
    // A 503 to every ask, 5 ms after it.
    let refused = |push, chance| {
        let mut told = Told::new(push, 0);
        let mut begun = Vec::new();
        while told.due() < 8000 * MS {
            let now = told.due();
            if told.put(now, Due, chance) != Effect::Nothing {
                begun.push(now / MS);
                told.put(now + 5 * MS, Refused, chance);
            }
        }
        begun
    };
    let (early, late) = (refused(ASK, 0.0), refused(ASK, 1.0));
    assert!(early.len() < 16 && late.len() < 10 && early[1..5] != late[1..5], "{early:?} {late:?}");
    assert!(late.windows(2).all(|two| two[1] - two[0] <= 1605), "{late:?}");
    // An agent that stays silent or is not there: what it has when it answers is in hand soon.
    let gaps = |begun: &[Time]| begun.windows(2).map(|two| two[1] - two[0]).max().unwrap();
    assert!(gaps(&refused(PUSH, 1.0)) <= 100);
    let silent: Vec<_> = play(PUSH, 1.0, &[], 8000).1.iter().map(|begun| begun.0).collect();
    assert!(gaps(&silent) <= 480 && silent.len() > 24, "{silent:?}");
}

#[test]
fn a_new_process_waits_for_its_agent_and_not_long() {
    // (pushed, what comes, when in ms, calls may begin from then on)
    let rows: [(bool, Script, Time); 6] = [
        (ASK, &[], 0),
        (PUSH, &[], 250),
        (PUSH, &[(20, Refused)], 20),
        (PUSH, &[(20, Head), (30, Taken)], 30),
        (PUSH, &[(20, Head)], 250),
        (PUSH, &[(20, Ended), (100, Head), (120, Taken)], 120),
    ];
    for (push, script, from) in rows {
        let may = |until| play(push, 1.0, script, until).0.may_begin();
        assert!(may(from) && (from == 0 || !may(from - 1)), "{push} {script:?}");
    }
}

#[test]
fn a_gap_is_filled_soon_by_an_agent_and_not_dearly_where_lists_are_asked_for() {
    for (push, least, most) in [(PUSH, 10, 20), (ASK, 800, 1600)] {
        for chance in [0.0, 1.0] {
            let (_, begun) =
                play(push, chance, &[(1, Head), (2, Taken), (5, Head), (6, Word), (100, Gap)], 2000);
            let (at, ask) = begun[2];
            assert!(ask == Ask::Whole && (100 + least..=100 + most).contains(&at), "{begun:?}");
        }
    }
}

#[test]
fn a_move_begins_anew_also_in_an_outage_and_fits_its_four_seconds() {
    for (push, chance) in [(ASK, 0.0), (ASK, 1.0), (PUSH, 0.0), (PUSH, 1.0)] {
        for at in [3, 700, 5000, 9321] {
            let (_, begun) = play(push, chance, &[(at, Moved)], at + 4000);
            let after: Vec<_> = begun.iter().filter(|begun| begun.0 >= at).collect();
            assert_eq!(*after[0], (at, Ask::Whole));
            assert!(after.len() >= 3 && after[2].0 + 800 <= at + 4000, "{at}: {after:?}");
        }
    }
}

#[test]
fn what_is_held_never_goes_back() {
    // (version, whole, entries, first on a watch, verdict, held from then on); 50 is held at first
    let rows = [
        (49, true, 9, false, Verdict::Pass, 50),
        (49, false, 1, false, Verdict::Pass, 50),
        (50, true, 9, false, Verdict::Take, 50),
        (51, false, 1, false, Verdict::Take, 51),
        (51, false, 1, false, Verdict::Take, 51),
        (50, false, 1, true, Verdict::Pass, 51),
        (54, false, 3, false, Verdict::Take, 54),
        (58, false, 1, true, Verdict::Take, 58),
        (60, false, 1, false, Verdict::TakeAndAsk, 60),
        (70, true, 2, false, Verdict::Take, 70),
    ];
    let mut held = Held::new(50);
    for (index, whole, entries, first, verdict, after) in rows {
        assert_eq!(held.judge(0, index, whole, entries, first), verdict, "{index}");
        assert_eq!(held.index, after);
    }
}

#[test]
fn a_new_address_that_counts_anew_is_taken_and_one_that_lags_is_not() {
    let mut held = Held::new(50);
    held.moved(3100 * MS);
    assert_eq!(held.judge(200 * MS, 3, true, 9, false), Verdict::Again);
    assert_eq!(held.judge(200 * MS, 3, false, 1, true), Verdict::Pass);
    assert_eq!(held.judge(3200 * MS, 3, true, 9, false), Verdict::Take);
    assert_eq!(held.judge(3300 * MS, 2, true, 9, false), Verdict::Pass);
    held.moved(8000 * MS);
    assert_eq!(held.judge(5100 * MS, 4, true, 9, false), Verdict::Take);
    assert_eq!(held.judge(9000 * MS, 3, true, 9, false), Verdict::Pass);
}

/// A discovery that is there answers an ask whole within the short budget, also on a slow machine.
const ANSWER: Time = 800 * MS;
/// Of the six seconds, what is left for taking an answer in.
const MARGIN: Time = 200 * MS;
/// So many failures in a row, so that each pause and each budget is met at each place of the row.
const CHAIN: u32 = 12;

/// The last moment before what is due.
fn last(told: &Told) -> Time {
    told.due() - 1
}

/// From a state at rest: its next ask, and when it begins.
fn next_ask(mut told: Told) -> (Told, Time) {
    loop {
        let now = told.due();
        if let Effect::Begin(_) = told.put(now, Due, 1.0) {
            return (told, now);
        }
    }
}

/// The ask that is out hears nothing more: the state at its end.
fn run_out(mut told: Told) -> Told {
    while !matches!(told.state, State::Rest(_)) {
        let now = told.due();
        told.put(now, Due, 1.0);
    }
    told
}

fn after(mut told: Told, now: Time, input: Input) -> Told {
    told.put(now, input, 1.0);
    told
}

/// Every way in which an ask that is out may end with nothing told, each as late as it may be: silent, with the
/// head at once or at the last moment, then cut, unreadable or silent too.
fn spoilt(told: &Told) -> Vec<Told> {
    let mut ends = vec![run_out(told.clone()), after(told.clone(), last(told), Refused)];
    for head in [told.begun, last(told)] {
        let begun = after(told.clone(), head, Head);
        ends.extend([Ended, Unreadable].map(|input| after(begun.clone(), last(&begun), input)));
        ends.push(run_out(begun));
    }
    ends
}

/// From a state at rest: when an answer is in hand at the latest, with so many asks spoilt before it.
fn worst(rest: Told, asks: usize) -> Time {
    let (told, begun) = next_ask(rest);
    let later = spoilt(&told).into_iter().filter(|_| asks > 0).map(|end| worst(end, asks - 1));
    later.max().unwrap_or(begun + ANSWER)
}

/// States in which discovery may come to be there, and since when: with what is out silent for good.
fn states(push: bool) -> Vec<(&'static str, Vec<(Told, Time)>)> {
    let start = Told::new(push, 0);
    let (first, _) = next_ask(start.clone());
    let listed = after(after(first.clone(), 1, Head), 2, Taken);
    let (watch, _) = next_ask(listed.clone());
    let open = after(watch.clone(), 3, Head);
    let word = after(open.clone(), 10, Word);
    // After chains of failures of one sort each, of the whole list and of a watch, each with its time: at rest.
    let mut chains = vec![(start.clone(), 0), (listed, 2), (after(word.clone(), 20, Ended), 20)];
    for mut told in [first.clone(), watch.clone()] {
        for way in 0..4 {
            let mut before = told.clone();
            for _ in 0..CHAIN {
                let now = before.begun + 5;
                let (end, at) = match way {
                    0 => (after(before, now, Refused), now),
                    1 => (after(after(before, now, Head), now + 1, Ended), now + 1),
                    2 => (after(after(before, now, Head), now + 1, Unreadable), now + 1),
                    _ => (run_out(before.clone()), before.due()),
                };
                before = next_ask(end.clone()).0;
                chains.push((end, at));
            }
        }
        told = after(told, 5, Refused);
        chains.push((told, 5));
    }
    let asked: Vec<_> = chains.iter().map(|(rest, _)| next_ask(rest.clone())).collect();
    let headed: Vec<_> =
        asked.iter().map(|(told, now)| (after(told.clone(), now + 5, Head), now + 5)).collect();
    let gaps = headed.iter().filter(|(told, _)| told.state == State::Open);
    let gaps = gaps.map(|(told, now)| (after(told.clone(), *now, Gap), *now)).collect();
    let moved = |of: &[(Told, Time)]| -> Vec<_> {
        of.iter().map(|(told, now)| (after(told.clone(), *now, Moved), *now)).collect()
    };
    let sent =
        |of: &[(Told, Time)]| -> Vec<_> { of.iter().map(|(told, _)| next_ask(told.clone())).collect() };
    vec![
        ("at the start", vec![(start, 0)]),
        ("at the start, an ask was sent just before", vec![(first, 0)]),
        ("a pause begins after a chain of failures", chains.clone()),
        ("an ask was sent just before, after a chain", asked.clone()),
        ("a head had just come, after a chain", headed.clone()),
        ("a watch had just said something", vec![(word.clone(), 10)]),
        ("a gap was found", vec![(after(word.clone(), 20, Gap), 20)]),
        ("a gap was found in the first words, after a chain", gaps),
        ("a watch could not be read", vec![(after(word, 20, Unreadable), 20)]),
        ("SIGHUP", moved(&[chains.clone(), asked.clone(), headed].concat())),
        ("SIGHUP, an ask was sent just before", sent(&moved(&[chains, asked].concat()))),
    ]
}

/// The longest of the sums from the instant to the answer, in ms.
fn longest(states: &[(Told, Time)], asks: usize) -> Time {
    states.iter().map(|(told, now)| worst(run_out(told.clone()), asks) - now).max().unwrap() / MS
}

#[test]
fn from_each_instant_at_which_discovery_is_there_an_answer_is_in_hand_within_six_seconds() {
    // (instant, sum in ms where lists are asked for with no ask spoilt and with one, the same where they are pushed)
    let rows = [
        ("at the start", [800, 1700], [800, 1620]),
        ("at the start, an ask was sent just before", [1700, 2700], [970, 1810]),
        ("a pause begins after a chain of failures", [2400, 4800], [910, 3469]),
        ("an ask was sent just before, after a chain", [3200, 5600], [1280, 3050]),
        ("a head had just come, after a chain", [3400, 5800], [3320, 4160]),
        ("a watch had just said something", [3400, 5800], [3320, 4160]),
        ("a gap was found", [2400, 4800], [820, 1660]),
        ("a gap was found in the first words, after a chain", [2400, 4800], [820, 1660]),
        ("a watch could not be read", [900, 1900], [820, 1660]),
        ("SIGHUP", [800, 1700], [800, 1620]),
        ("SIGHUP, an ask was sent just before", [1700, 2700], [970, 1810]),
    ];
    let (asked, pushed) = (states(ASK), states(PUSH));
    assert_eq!(rows.len(), asked.len());
    for ((row, asked), pushed) in rows.iter().zip(&asked).zip(&pushed) {
        let sums = |states: &[(Told, Time)]| [longest(states, 0), longest(states, 1)];
        let seen = (asked.0, sums(&asked.1), sums(&pushed.1));
        assert_eq!(seen, *row);
        assert!(seen.1.iter().chain(&seen.2).all(|&sum| sum * MS <= 6000 * MS - MARGIN), "{seen:?}");
    }
}

#[test]
fn a_new_address_that_counts_anew_is_in_hand_within_six_seconds_or_four() {
    // (pushed, sum in ms since the move with no ask spoilt and with one)
    for (push, sums) in [(ASK, [4599, 5599]), (PUSH, [3063, 3943])] {
        let (mut states, lower_from) = (Vec::new(), MOVES[usize::from(push)]);
        for older in 0..60 {
            // So many lists from before what is held, at once each; one more is read just before its time is up.
            let mut told = next_ask(after(Told::new(push, 0), 0, Moved)).0;
            for _ in 0..older {
                let now = told.begun + 5;
                told = next_ask(after(after(told, now, Head), now, Older)).0;
            }
            if told.begun >= lower_from {
                break;
            }
            let now = lower_from - 1;
            // It was slow, or it was asked for in vain first.
            if told.due() > now {
                states.push((after(after(told.clone(), told.begun + 5, Head), now, Older), 0));
            }
            states.push((run_out(told), 0));
        }
        assert_eq!([0, 1].map(|asks| longest(&states, asks)), sums, "{push}");
        assert!(sums[1] * MS <= 6000 * MS - MARGIN);
        // Where lists are pushed it counts 4 s after the move, also with one ask spoilt.
        assert!(!push || sums[1] <= 4000);
    }
}

#[test]
fn what_ran_over_its_time_is_not_paused_for_again_and_what_was_quick_is() {
    // How long a watch ran after its head without a word, once three asks had been refused, and when the next
    // ask begins after it was asked, in ms.
    for (ran, next) in [(5, 805), (800, 1600), (1000, 1600), (1500, 1600), (2200, 2300)] {
        let script = [(1, Head), (2, Taken)];
        let mut told = play(ASK, 1.0, &script, 2).0;
        for _ in 0..3 {
            let now = told.begun + 5;
            told = next_ask(after(told, now, Refused)).0;
        }
        let asked = told.begun;
        told = after(after(told, asked + 1, Head), asked + ran * MS, Ended);
        assert_eq!((next_ask(told).1 - asked) / MS, next, "{ran}");
    }
}

#[test]
fn watches_that_are_always_late_with_their_first_word_give_way_to_a_list() {
    use Ask::{Watch, Whole};
    // Each head comes 0.4 s after the ask, and a word 2 s after that.
    let mut told = Told::new(ASK, 0);
    let mut begun = Vec::new();
    while begun.len() < 7 {
        (told, _) = next_ask(told);
        let State::Asked(ask) = told.state else { panic!("{:?}", told.state) };
        begun.push(ask);
        let head = told.begun + 400 * MS;
        told = after(told, head, Head);
        told = match ask {
            Whole => after(told, head + 1, Taken),
            // The first watch had its word, and was cut then.
            Watch if begun.len() == 2 => after(after(told, head + 10, Word), head + 20, Ended),
            Watch => run_out(told),
        };
    }
    assert_eq!(begun, [Whole, Watch, Watch, Watch, Whole, Watch, Watch]);
}

#[test]
fn what_came_out_of_order_or_with_a_gap_has_the_whole_list_asked_for_until_it_is_there() {
    let mut held = Held::new(50);
    let line = |held: &mut Held, index, entries| held.judge(0, index, false, entries, false);
    assert_eq!(line(&mut held, 52, 2), Verdict::Take);
    // It came before, or was told with what is held; it did neither.
    assert_eq!(
        [52, 50, 49].map(|index| line(&mut held, index, 1)),
        [Verdict::Take, Verdict::Pass, Verdict::Pass]
    );
    assert_eq!(line(&mut held, 51, 1), Verdict::PassAndAsk);
    assert_eq!(held.judge(MS, 51, true, 9, false), Verdict::Again);
    assert_eq!(held.judge(2 * MS, 52, true, 9, false), Verdict::Take);
    assert_eq!(line(&mut held, 51, 1), Verdict::Pass);
    // The lines of a long watch are known by their versions, or by the last of those.
    (53..200).for_each(|index| assert_eq!(line(&mut held, index, 1), Verdict::Take));
    assert!((53..200).all(|index| index == 199 || line(&mut held, index, 1) == Verdict::Pass));
    assert!(held.lines.len() <= MOST_LINES);
    // A version that cannot be, and what discovery has.
    assert_eq!(held.judge(0, u64::MAX, false, 1, false), Verdict::TakeAndAsk);
    assert_eq!(held.judge(GAP - 1, 200, true, 9, false), Verdict::Again);
    assert_eq!(held.judge(GAP, 200, true, 9, false), Verdict::Take);
    assert_eq!(held.judge(2 * GAP, 199, true, 9, false), Verdict::Pass);
}

/// Plays a discovery whose lists are past a limit for so long: when what is asked, in ms. `watch`: how a watch ends.
fn past_a_limit(push: bool, chance: f64, watch: Input, until: Time) -> (Told, Vec<(Time, Ask)>) {
    let mut told = Told::new(push, 0);
    let mut begun = Vec::new();
    loop {
        let now;
        (told, now) = next_ask(told);
        if now > until * MS {
            return (told, begun);
        }
        let State::Asked(ask) = told.state else { panic!("{:?}", told.state) };
        begun.push((now / MS, ask));
        let input = if ask == Ask::Whole { TooLong } else { watch };
        told = after(told, now + 5, Head);
        told.put(now + 300 * MS, input, chance);
    }
}

#[test]
fn a_list_past_a_limit_is_asked_for_less_and_less() {
    use Ask::{Watch, Whole};
    for push in [ASK, PUSH] {
        for chance in [0.0, 1.0] {
            let (told, begun) = past_a_limit(push, chance, TooLong, 3_600_000);
            assert!(begun.len() <= 36 && begun.len() == told.too_long_in_row() as usize, "{}", begun.len());
            assert_eq!([0, 1, 2, 3].map(|i| begun[i].1), [Whole, Watch, Whole, Watch]);
            let pauses: Vec<_> = begun.windows(2).map(|two| two[1].0 - two[0].0 - 300).collect();
            assert!(pauses[0] >= 1000 && pauses.iter().all(|&pause| pause <= 300_000), "{pauses:?}");
            assert!(pauses.windows(2).all(|two| two[0] <= two[1]) && pauses[9] >= 150_000, "{pauses:?}");
        }
    }
}

#[test]
fn after_a_list_past_a_limit_a_watch_is_enough_and_stays_one() {
    for push in [ASK, PUSH] {
        // Each watch says something, and ends.
        let (told, begun) = past_a_limit(push, 1.0, Ended, 20_000);
        assert_eq!(begun.iter().filter(|begun| begun.1 == Ask::Whole).count(), 1, "{begun:?}");
        assert_eq!(told.too_long_in_row(), 1);
        // What is silent after a word is found as ever, and the watch asked for again.
        let first = after(after(next_ask(Told::new(push, 0)).0, 5, Head), 6, TooLong);
        let (watch, at) = next_ask(first);
        let word = after(after(watch, at + 5, Head), at + 10, Word);
        let (again, asked) = next_ask(run_out(word.clone()));
        assert_eq!(again.state, State::Asked(Ask::Watch));
        assert!(asked <= at + 10 + SILENCE + 100 * MS, "{asked}");
        // A list that is taken, or another address, ends it.
        let gap = next_ask(after(word.clone(), at + 20, Gap)).0;
        let taken = after(after(gap.clone(), gap.begun + 1, Head), gap.begun + 2, Taken);
        assert_eq!(
            [&word, &taken, &after(word.clone(), at + 20, Moved)].map(Told::too_long_in_row),
            [1, 0, 0]
        );
    }
    // It is an answer: a new process that is pushed its list waits for no other.
    let told = after(after(next_ask(Told::new(PUSH, 0)).0, 5, Head), 6, TooLong);
    assert!(told.may_begin());
}

#[test]
fn a_long_list_has_its_time_while_more_of_it_comes() {
    let reading = after(next_ask(Told::new(ASK, 0)).0, 5, Head);
    assert_eq!(reading.due(), 800 * MS);
    // More each second: past the time of any ask, and to its own end at most.
    let (mut told, mut now) = (reading.clone(), 700 * MS);
    while now < told.due() {
        told = after(told, now, More);
        assert_eq!((told.state, told.due()), (State::Reading, (now + SILENCE).min(LONGEST)));
        now += 1000 * MS;
    }
    assert!((LONGEST..=LONGEST + 1000 * MS).contains(&now));
    assert_eq!(run_out(told).failed_in_row(), 1);
    // It stops coming, or has come.
    let told = after(reading.clone(), 700 * MS, More);
    assert_eq!(after(told.clone(), 3000 * MS, Taken).state, State::Rest(Ask::Watch));
    assert_eq!((told.due(), run_out(told).state), (3200 * MS, State::Rest(Ask::Whole)));
    // The same in one line of a watch; of no other state does it change anything.
    let watch = next_ask(after(reading, 10, Taken)).0;
    let open = after(watch.clone(), 20, Head);
    assert_eq!(after(open, 2000 * MS, More).due(), 4500 * MS);
    assert_eq!(after(watch.clone(), 20, More).due(), watch.due());
}
