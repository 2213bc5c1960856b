//! A state folder that fails: with no room, or with an error of the device, at each file operation of the journal.

mod common;
#[path = "common/process.rs"]
mod process;

use std::cell::Cell;
use std::collections::BTreeSet;
use std::fs::File;
use std::io;
use std::path::Path;
use std::rc::Rc;

use common::Folder;
use meadowhold::interface::{Outcome, SECOND};
use meadowhold_courier::exchange::Answer;
use meadowhold_courier::files::{FileSystem, OsFileSystem};
use meadowhold_courier::journal::Journal;
use process::{Process, START};

/// Small: the file is written anew again and again.
const ALLOWANCE: u64 = 22_000;
/// By the system's numbers: no room, and an error of the device.
const FAULTS: [i32; 2] = [28, 5];

/// The system's files, of which operations fail from one on, for so many.
struct Failing {
    done: Cell<u32>,
    from: Cell<u32>,
    many: Cell<u32>,
    fault: i32,
    /// Half of what is appended still gets there.
    in_half: bool,
}

impl Failing {
    fn new(from: u32, many: u32, fault: i32, in_half: bool) -> Rc<Failing> {
        let (done, from, many) = (Cell::new(0), Cell::new(from), Cell::new(many));
        Rc::new(Failing { done, from, many, fault, in_half })
    }

    fn fails(&self) -> io::Result<()> {
        let at = self.done.replace(self.done.get() + 1);
        let from = self.from.get();
        match (from..from.saturating_add(self.many.get())).contains(&at) {
            true => Err(io::Error::from_raw_os_error(self.fault)),
            false => Ok(()),
        }
    }

    fn mend(&self) {
        self.many.set(0);
    }
}

impl FileSystem for Failing {
    fn create_folder(&self, path: &Path) -> io::Result<()> {
        self.fails()?;
        OsFileSystem.create_folder(path)
    }

    fn lock(&self, path: &Path) -> io::Result<File> {
        self.fails()?;
        OsFileSystem.lock(path)
    }

    fn read(&self, path: &Path) -> io::Result<Vec<u8>> {
        // What cannot be read is no matter of room: `a_journal_that_cannot_be_read_...`.
        OsFileSystem.read(path)
    }

    fn create(&self, path: &Path) -> io::Result<File> {
        self.fails()?;
        OsFileSystem.create(path)
    }

    fn open(&self, path: &Path) -> io::Result<File> {
        self.fails()?;
        OsFileSystem.open(path)
    }

    fn append(&self, file: &mut File, bytes: &[u8]) -> io::Result<()> {
        let failed = self.fails();
        if failed.is_err() && self.in_half {
            OsFileSystem.append(file, &bytes[..bytes.len() / 2])?;
        }
        failed?;
        OsFileSystem.append(file, bytes)
    }

    fn truncate(&self, file: &File, length: u64) -> io::Result<()> {
        self.fails()?;
        OsFileSystem.truncate(file, length)
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        self.fails()?;
        OsFileSystem.rename(from, to)
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        // Nobody hears of its failure.
        OsFileSystem.remove(path)
    }
}

/// What is put on the folder's file and answered `+OK`, by one process.
fn take(process: &mut Process, taken: &mut BTreeSet<String>, name: &str, many: u64) {
    for i in 0..many {
        let (id, class) = (format!("{name}{i}"), ["again", "once"][i as usize % 2]);
        if matches!(process.put(&id, class, i % 10), Answer::Taken(_)) {
            taken.insert(id);
        }
    }
}

/// A process on failing files does not end by them, takes on again when the fault is over, and what was answered `+OK`
/// is sent or ended, by it or the next one; nothing that must run once is sent twice.
fn survives(folder: &Folder, files: &Rc<Failing>, mut taken: BTreeSet<String>) {
    let told = format!("from {} for {}, error {}", files.from.get(), files.many.get(), files.fault);
    let journal = Journal::open_with(files.clone(), &folder.path, ALLOWANCE);
    let journal = journal.unwrap_or_else(|e| panic!("{told}: the start ends with {e}"));
    let mut process = Process::with(journal, START + SECOND, None);
    take(&mut process, &mut taken, "early", 20);
    let (mut sent, mut ends) = process.play(SECOND / 10, Outcome::Relayed);
    take(&mut process, &mut taken, "late", 20);
    files.mend();
    let before = taken.len();
    take(&mut process, &mut taken, "after", 4);
    assert_eq!(taken.len(), before + 4, "{told}: no intake though the fault is over");
    drop(process);
    let mut next = Process::start(folder, ALLOWANCE, START + 2 * SECOND, None);
    let (sent_next, ends_next) = next.play(5 * SECOND, Outcome::Relayed);
    sent.extend(sent_next);
    ends.extend(ends_next);
    let ended = ends.into_iter().map(|(id, _)| id);
    let over: BTreeSet<String> = sent.iter().cloned().chain(ended).collect();
    let lost: Vec<&String> = taken.difference(&over).collect();
    assert!(lost.is_empty(), "{told}: {lost:?} were answered +OK and have no end");
    let is_once =
        |id: &&String| id.trim_start_matches(char::is_alphabetic).parse::<u64>().is_ok_and(|i| i % 2 == 1);
    let once: Vec<&String> = sent.iter().filter(is_once).collect();
    let different: BTreeSet<&&String> = once.iter().collect();
    assert_eq!(once.len(), different.len(), "{told}: a once-only message was sent twice");
}

/// How many operations one process takes where none fails.
fn operations(folder: &Folder) -> u32 {
    let files = Failing::new(0, 0, 0, false);
    survives(folder, &files, BTreeSet::new());
    files.done.get()
}

/// Guards against a courier that ends by itself, as one did on a full disk, and against messages lost by one that does not.
#[test]
fn a_folder_that_fails_at_any_operation_of_a_first_start_costs_no_message_and_no_process() {
    let all = operations(&Folder::new());
    assert!((60..1000).contains(&all), "{all}");
    for fault in FAULTS {
        for from in (0..12).chain((12..all).step_by(7)) {
            for (many, in_half) in [(1, false), (1, true), (3, true), (40, false), (u32::MAX, true)] {
                survives(&Folder::new(), &Failing::new(from, many, fault, in_half), BTreeSet::new());
            }
        }
    }
}

#[test]
fn a_folder_that_fails_at_any_operation_of_a_restart_costs_no_message_and_no_process() {
    for fault in FAULTS {
        for from in (0..12).chain((12..200).step_by(11)) {
            for (many, in_half) in [(1, true), (3, false), (40, true), (u32::MAX, true)] {
                let folder = Folder::new();
                let mut taken = BTreeSet::new();
                let mut process = Process::start(&folder, ALLOWANCE, START, None);
                take(&mut process, &mut taken, "old", 10);
                drop(process);
                survives(&folder, &Failing::new(from, many, fault, in_half), taken);
            }
        }
    }
}

/// What is owed is not known then: nothing may be answered, and the operator reads why.
#[test]
fn a_journal_that_cannot_be_read_ends_the_start() {
    let folder = Folder::new();
    std::fs::create_dir(folder.path.join("journal")).unwrap();
    assert!(Journal::open(&folder.path, ALLOWANCE).is_err());
}
