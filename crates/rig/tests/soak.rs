//! The soak of restarts: the drawing of days, a few seeds with real couriers, and defective couriers that the judge must
//! detect.

mod common;

use std::path::PathBuf;

use common::binary;
use meadowhold_rig::crowd::Habit;
use meadowhold_rig::day::{Day, Link, Sent, Trouble, What};
use meadowhold_rig::judge::{Rule, Verdict};
use meadowhold_rig::run::{run_with, Defect, Options};
use meadowhold_rig::soak::draw::DrawnDay;
use meadowhold_rig::soak::{soak, summary, SeedResult, Soak};

/// Seeds that CI runs; `docs/results.md` lists those that were run by hand.
const SEEDS: std::ops::RangeInclusive<u64> = 1..=8;
const PARALLEL: usize = 2;

fn runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().unwrap()
}

#[test]
fn a_seed_draws_the_same_day_each_time_and_one_that_can_be_run() {
    for seed in 1..=2000 {
        let drawn = DrawnDay::of(seed);
        assert_eq!(drawn.day, DrawnDay::of(seed).day);
        assert_eq!(drawn.day.faults(), [], "seed {seed}: {drawn}");
    }
    assert_ne!(DrawnDay::of(1).day, DrawnDay::of(2).day);
}

#[test]
fn drawn_days_hold_every_kind_of_restart_and_trouble() {
    let days: Vec<Day> = (1..=200).map(|seed| DrawnDay::of(seed).day).collect();
    let has = |what: What| days.iter().filter(|day| day.trouble.iter().any(|t| t.what == Some(what))).count();
    let kinds =
        [What::Hang, What::Drain, What::Crash, What::ListSilent, What::ResetRequests, What::ResetAnswers];
    for what in kinds {
        assert!(has(what) >= 20, "{what:?}: {}", has(what));
    }
    assert_eq!(has(What::Answers), days.len(), "answers are spoilt in all");
    let spoils = |link: Link| {
        days.iter().flat_map(|day| &day.trouble).any(|t| t.what == Some(What::Answers) && t.link == link)
    };
    assert!(spoils(Link::Endpoints) && spoils(Link::List));
    let restarts: Vec<&Trouble> = days.iter().map(|day| &day.trouble[0]).collect();
    let sends = |sent: &[Sent]| restarts.iter().any(|restart| restart.signals == sent);
    assert!(sends(&[Sent::Hup, Sent::Term, Sent::Hup, Sent::Term]));
    assert!(sends(&[Sent::Kill, Sent::Restart, Sent::Kill, Sent::Restart, Sent::Term]));
    assert!(days.iter().any(|day| day.mails.idle > 0) && days.iter().any(|day| day.mails.spare > 0));
    assert!(
        days.iter().any(|day| day.mails.withdrawn > 0.0) && days.iter().any(|day| day.mails.resent > 0.0)
    );
    assert!(days.iter().any(|day| day.courier.sockets == 200) && has(What::DiskFails) >= 20);
    for habit in Habit::ALL {
        let crowded = days.iter().filter(|day| day.mails.crowd > 0 && day.mails.crowd_habit == habit).count();
        assert!(crowded >= 5, "{habit:?}: {crowded}");
    }
    let late =
        days.iter().flat_map(|day| &day.trouble[1..]).filter(|t| t.what == Some(What::Signals)).count();
    assert!(late >= 20, "{late}");
}

/// Seeds that `KNOWN-RED.txt` names; `.ci/known-red` runs them separately and passes them in this variable.
fn known_red() -> Vec<u64> {
    let seeds = std::env::var("KNOWN_RED_SEEDS").unwrap_or_default();
    seeds.split_whitespace().map(|seed| seed.parse().unwrap()).collect()
}

#[test]
fn restarts_under_trouble_break_no_rule() {
    let known_red = known_red();
    let mut failed = Vec::new();
    let mut results: Vec<SeedResult> = Vec::new();
    for seeds in SEEDS.collect::<Vec<_>>().chunks(PARALLEL) {
        let (first, last) = (seeds[0], seeds[seeds.len() - 1]);
        let batch =
            Soak { seeds: first..=last, without: known_red.clone(), parallel: PARALLEL, logs: logs() };
        results.extend(runtime().block_on(soak(&batch, binary(), |result| println!("{}", result.line()))));
    }
    println!("{}", summary(&results));
    failed.extend(results.iter().filter(|result| !result.kept()).map(SeedResult::line));
    assert!(failed.is_empty(), "{}", failed.join("\n"));
    assert_eq!(results.len() + SEEDS.filter(|seed| known_red.contains(seed)).count(), SEEDS.count());
}

fn logs() -> PathBuf {
    std::env::temp_dir().join("meadowhold-soak-test")
}

/// A day with one kill immediately after an answer, one planned restart, and no other trouble.
fn run_with_defect(defect: Option<Defect>) -> Verdict {
    let mut day = DrawnDay::of(1).day;
    day.couriers = 1;
    (day.seconds, day.settle_s) = (4.0, 5.0);
    let restart = Trouble {
        what: Some(What::Signals),
        at_s: [1.0, 1.0],
        signals: vec![Sent::Kill, Sent::Restart, Sent::Hup, Sent::Term],
        gaps_ms: vec![0, 0, 500, 5],
        behind_taken: true,
        ..Trouble::default()
    };
    day.trouble = vec![restart];
    runtime().block_on(run_with(&day, 1, binary(), &Options { logs: None, defect })).unwrap()
}

#[test]
fn a_courier_without_defect_keeps_all_rules() {
    let verdict = run_with_defect(None);
    assert!(verdict.kept(), "{verdict}");
    assert!(verdict.figures.starts == 2 && verdict.figures.relayed > 200, "{verdict}");
}

#[test]
fn a_courier_that_empties_its_folder_at_a_restart_loses_mails() {
    assert!(run_with_defect(Some(Defect::EmptiesFolder)).breaks(Rule::NoMailLost) > 0);
}

#[test]
fn a_courier_that_answers_before_its_record_is_written_loses_mails() {
    assert!(run_with_defect(Some(Defect::AnswersBeforeWriting)).breaks(Rule::NoMailLost) > 0);
}

#[test]
fn a_courier_that_repeats_once_only_mails_makes_them_take_effect_twice() {
    assert!(run_with_defect(Some(Defect::RepeatsOnceOnly)).breaks(Rule::NoEffectTwice) > 0);
}
