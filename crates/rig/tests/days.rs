//! Days with real couriers. Each must keep all rules with its seed, and its figures must show that the troubles took
//! effect.

mod common;

use std::path::{Path, PathBuf};

use common::binary;
use meadowhold_rig::command::read;
use meadowhold_rig::judge::{Figures, Verdict};
use meadowhold_rig::run::run;

fn run_day(day: &str, seed: u64) -> Verdict {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("days").join(day);
    let day = read(&file).unwrap();
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().unwrap();
    runtime.block_on(run(&day, seed, binary())).unwrap()
}

fn run_and_check(day: &str, seed: u64) -> Figures {
    let verdict = run_day(day, seed);
    assert!(verdict.kept(), "{day} with seed {seed}:\n{verdict}");
    println!("{day} with seed {seed}:\n{verdict}");
    verdict.figures
}

#[test]
fn all_couriers_are_killed_while_the_list_service_refuses_then_hangs_then_answers_indented() {
    let g = run_and_check("herd-small.toml", 3);
    assert_eq!(g.starts, 24);
    assert!(g.relayed > 400 && g.fleet_back > 600, "{g:?}");
}

#[test]
fn a_third_of_the_couriers_is_stopped_for_five_seconds() {
    let g = run_and_check("stopped.toml", 3);
    // Clients of stopped couriers get no answer.
    assert!(g.starts == 9 && g.unheard >= 3 && g.relayed > 300, "{g:?}");
}

#[test]
fn three_kills_during_starts_lose_no_mail() {
    let g = run_and_check("start-killed.toml", 3);
    assert!(g.starts >= 14 && g.taken_up > 4 && g.relayed > 300, "{g:?}");
}

#[test]
fn drains_are_kept_when_two_agents_disagree() {
    let g = run_and_check("agents.toml", 3);
    assert!(g.starts == 10 && g.relayed > 500, "{g:?}");
}

#[test]
fn a_full_folder_refuses_mails_and_loses_none() {
    let g = run_and_check("folder-full.toml", 3);
    assert!(g.busy > 50 && g.taken_up > 0 && g.relayed > 300, "{g:?}");
}

#[test]
fn a_lost_folder_loses_only_the_mails_in_it() {
    let g = run_and_check("folder-lost.toml", 3);
    assert!(g.starts == 7 && g.with_folder <= g.taken / 10 && g.relayed > 300, "{g:?}");
}

#[test]
fn cold_endpoints_are_not_overloaded_by_all_couriers_together() {
    let g = run_and_check("cold.toml", 3);
    assert!(g.cold_calls > 50 && g.cold_used > 0.1, "{g:?}");
}

#[test]
fn faulty_links_and_notes_lose_no_mail() {
    let g = run_and_check("links.toml", 3);
    assert!(g.unheard > 0 && g.relayed > 700, "{g:?}");
}

#[test]
fn a_drain_in_an_indented_list_is_kept() {
    let g = run_and_check("indented.toml", 3);
    assert!(g.asks < 60, "a watch that is understood is not opened anew: {g:?}");
}

#[test]
fn mixed_troubles_break_no_rule() {
    let g = run_and_check("mix.toml", 7);
    // Couriers take turns at the limits, so endpoints refuse few calls; mails that would not get a turn in time are
    // answered busy.
    let at_limits = g.refused + g.busy;
    assert!(g.starts > 10 && g.taken_up > 10 && at_limits > 10 && g.relayed > 1000, "{g:?}");
}

#[test]
fn the_command_first_relays_refuses_and_resumes_mails() {
    let g = run_and_check("first.toml", 1);
    assert!(g.relayed > 0 && g.bounced + g.dead > 0 && g.taken_up > 0, "{g:?}");
}

/// A connection whose outcomes are provisional is not closed for want of room.
#[test]
fn few_descriptors_give_no_delivered_mail_a_second_end() {
    let g = run_and_check("calm-200.toml", 1);
    assert!(g.relayed > 2500 && g.told_of_delivered == 0 && g.called_after_end == 0, "{g:?}");
}

#[test]
fn every_day_can_be_read() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("days");
    let files = std::fs::read_dir(folder).unwrap().map(|file| file.unwrap().path());
    let (of_scale, files): (Vec<PathBuf>, Vec<PathBuf>) = files.partition(|file| {
        let name = file.file_name().and_then(|name| name.to_str());
        name.is_some_and(|name| name.starts_with("scale"))
    });
    assert!(!of_scale.is_empty() && !files.is_empty());
    let faults: Vec<String> = files.iter().filter_map(|file| read(file).err()).collect();
    assert!(faults.is_empty(), "{faults:?}");
    for file in of_scale {
        let day = meadowhold_rig::scale::day::Day::read(&std::fs::read_to_string(&file).unwrap());
        assert!(day.is_ok(), "{}: {day:?}", file.display());
    }
}

#[test]
fn copied_missing_and_shifted_answers_lose_no_mail_and_double_none() {
    let g = run_and_check("answers.toml", 3);
    assert!(g.relayed > 2000 && g.starts == 4, "{g:?}");
}
