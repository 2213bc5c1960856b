//! A full disk or a device error at each file operation of the journal.

mod common;
#[path = "common/failing_files.rs"]
mod failing_files;
#[path = "common/process.rs"]
mod process;

use std::collections::BTreeSet;
use std::rc::Rc;

use common::Folder;
use failing_files::FailingFileSystem;
use meadowhold::interface::{Outcome, SECOND};
use meadowhold_courier::exchange::Answer;
use meadowhold_courier::journal::Journal;
use process::{Process, START};

/// Small, so that the journal is compacted often.
const ALLOWANCE: u64 = 22_000;
/// ENOSPC, EIO and ENFILE.
const ERROR_CODES: [i32; 3] = [28, 5, 23];

/// Hands in mails of two classes and adds those that were accepted to `taken`.
fn submit(process: &mut Process, taken: &mut BTreeSet<String>, name: &str, many: u64) {
    for i in 0..many {
        let (id, class) = (format!("{name}{i}"), ["again", "once"][i as usize % 2]);
        if matches!(process.put(&id, class, i % 10), Answer::Taken(_)) {
            taken.insert(id);
        }
    }
}

/// Runs a process on a failing file system, then a second one on a working file system. The first must not end by
/// itself and must accept mails again after the repair. Each accepted mail must be sent or given up by one of the two,
/// and no once-only mail may be sent twice.
fn assert_no_mail_is_lost(folder: &Folder, files: &Rc<FailingFileSystem>, mut taken: BTreeSet<String>) {
    let case =
        format!("from {} for {}, error {}", files.fail_from.get(), files.fail_count.get(), files.error_code);
    let journal = Journal::open_with(files.clone(), &folder.path, ALLOWANCE);
    let journal = journal.unwrap_or_else(|e| panic!("{case}: the start failed with {e}"));
    let mut process = Process::with_journal(journal, START + SECOND, None);
    submit(&mut process, &mut taken, "early", 20);
    let (mut sent, mut ends) = process.run_for(SECOND / 10, Outcome::Relayed);
    submit(&mut process, &mut taken, "late", 20);
    files.repair();
    let before = taken.len();
    submit(&mut process, &mut taken, "after", 4);
    assert_eq!(taken.len(), before + 4, "{case}: mails are not accepted after the repair");
    drop(process);
    let mut next = Process::start(folder, ALLOWANCE, START + 2 * SECOND, None);
    let (sent_next, ends_next) = next.run_for(5 * SECOND, Outcome::Relayed);
    sent.extend(sent_next);
    ends.extend(ends_next);
    let ended = ends.into_iter().map(|(id, _)| id);
    let over: BTreeSet<String> = sent.iter().cloned().chain(ended).collect();
    let lost: Vec<&String> = taken.difference(&over).collect();
    assert!(lost.is_empty(), "{case}: {lost:?} were accepted and are lost");
    let is_once =
        |id: &&String| id.trim_start_matches(char::is_alphabetic).parse::<u64>().is_ok_and(|i| i % 2 == 1);
    let once: Vec<&String> = sent.iter().filter(is_once).collect();
    let different: BTreeSet<&&String> = once.iter().collect();
    assert_eq!(once.len(), different.len(), "{case}: a once-only mail was sent twice");
}

/// The number of file operations of a process when none fails.
fn count_operations(folder: &Folder) -> u32 {
    let files = FailingFileSystem::new(0, 0, 0, false);
    assert_no_mail_is_lost(folder, &files, BTreeSet::new());
    files.operations.get()
}

/// A courier once ended by itself on a full disk. One that keeps running must not lose mails instead.
#[test]
fn failing_file_operations_in_a_first_run_lose_no_mail_and_do_not_end_the_process() {
    let all = count_operations(&Folder::new());
    assert!((60..1000).contains(&all), "{all}");
    for error_code in ERROR_CODES {
        for from in (0..12).chain((12..all).step_by(7)) {
            for (many, partial_writes) in [(1, false), (1, true), (3, true), (40, false), (u32::MAX, true)] {
                assert_no_mail_is_lost(
                    &Folder::new(),
                    &FailingFileSystem::new(from, many, error_code, partial_writes),
                    BTreeSet::new(),
                );
            }
        }
    }
}

#[test]
fn failing_file_operations_after_a_restart_lose_no_mail_and_do_not_end_the_process() {
    for error_code in ERROR_CODES {
        for from in (0..12).chain((12..200).step_by(11)) {
            for (many, partial_writes) in [(1, true), (3, false), (40, true), (u32::MAX, true)] {
                let folder = Folder::new();
                let mut taken = BTreeSet::new();
                let mut process = Process::start(&folder, ALLOWANCE, START, None);
                submit(&mut process, &mut taken, "old", 10);
                drop(process);
                assert_no_mail_is_lost(
                    &folder,
                    &FailingFileSystem::new(from, many, error_code, partial_writes),
                    taken,
                );
            }
        }
    }
}

#[test]
fn a_journal_that_cannot_be_read_for_a_moment_is_read_then() {
    let folder = Folder::new();
    let mut taken = BTreeSet::new();
    let mut process = Process::start(&folder, ALLOWANCE, START, None);
    submit(&mut process, &mut taken, "old", 10);
    drop(process);
    // EINTR, EIO, ENOMEM, ENFILE and EMFILE.
    for error_code in [4, 5, 12, 23, 24] {
        let files = FailingFileSystem::new(0, 0, error_code, false);
        files.failing_reads.set(3);
        let (_, contents) = Journal::open_with(files.clone(), &folder.path, ALLOWANCE).unwrap();
        assert_eq!((contents.owed.len(), files.failing_reads.get()), (taken.len(), 0), "{error_code}");
        files.failing_reads.set(u32::MAX);
        let refused = Journal::open_with(files, &folder.path, ALLOWANCE);
        assert!(refused.is_err(), "{error_code}: what is owed is not known");
    }
}

/// The owed mails are unknown then: the courier must not serve, and the operator must see the reason.
#[test]
fn a_start_with_an_unreadable_journal_fails() {
    let folder = Folder::new();
    std::fs::create_dir(folder.path.join("journal")).unwrap();
    assert!(Journal::open(&folder.path, ALLOWANCE).is_err());
}
