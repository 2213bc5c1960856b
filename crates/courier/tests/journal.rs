//! The journal after a truncation, a flipped byte or an unfinished compaction, and its size limits.

mod common;

use std::collections::BTreeMap;
use std::fs;

use bytes::Bytes;
use common::Folder;
use meadowhold_courier::journal::{Journal, JournalContents, OwedMail, Record, Verdict};

fn owed_mail(id: &str, body: usize) -> OwedMail {
    let (id, order_key) = (Bytes::copy_from_slice(id.as_bytes()), Bytes::from_static(b"7f3a"));
    let body = vec![b'x'; body].into();
    OwedMail {
        id,
        order_key,
        class: 1,
        destination: 7,
        submitted_at: 30_000,
        deadline: 90_000,
        body,
        ..OwedMail::default()
    }
}

fn journal_bytes(folder: &Folder) -> Bytes {
    fs::read(folder.path.join("journal")).unwrap().into()
}

/// Writes a journal with every type of record. Returns its length and contents after each record.
fn journal_with_every_record(folder: &Folder) -> Vec<(usize, JournalContents)> {
    let (mut journal, found) = Journal::open(&folder.path, 3_000_000).unwrap();
    assert_eq!(found, JournalContents::default());
    let (first, second) = (owed_mail("a1", 3), owed_mail("b2", 300));
    let records = [
        Record::Accepted { serial: 1, owed: &first },
        Record::Accepted { serial: 2, owed: &second },
        Record::ConnectStarted { serial: 1, sent: (500, 2) },
        Record::ConnectStarted { serial: 2, sent: (510, 0) },
        Record::ConnectEnded { serial: 1, may_have_run: true, may_still_run: true, is_last: false, at: 600 },
        Record::ConnectEnded {
            serial: 2,
            may_have_run: false,
            may_still_run: false,
            is_last: false,
            at: 610,
        },
        Record::ConnectStarted { serial: 1, sent: (700, 1) },
        Record::GivenUp { serial: 2, verdict: Verdict::Bounced(250) },
        Record::KeyInFlight { order_key: b"99", since: 720 },
        Record::Settled { serial: 1 },
        Record::GivenUp { serial: 2, verdict: Verdict::Dead },
    ];
    let mut states = vec![(journal_bytes(folder).len(), JournalContents::default())];
    for record in &records {
        journal.append(record).unwrap();
        let bytes = journal_bytes(folder);
        states.push((bytes.len(), JournalContents::read(&bytes).0));
    }
    states
}

#[test]
fn every_record_updates_the_owed_mails() {
    let folder = Folder::new();
    let states = journal_with_every_record(&folder);
    let at = |i: usize, serial: u64| states[i].1.owed.get(&serial).cloned();
    assert_eq!(at(2, 1), Some(owed_mail("a1", 3)));
    assert_eq!(at(4, 2).map(|o| (o.in_flight, o.first_run, o.connects)), Some((Some((510, 0)), None, 1)));
    assert_eq!(at(5, 1).map(|o| (o.in_flight, o.first_run)), Some((None, Some((500, 2)))));
    assert_eq!(at(6, 2).map(|o| (o.in_flight, o.first_run)), Some((None, None)), "the connect did not run");
    let again = at(7, 1).map(|o| (o.in_flight, o.first_run, o.connects));
    assert_eq!(
        again,
        Some((Some((700, 1)), Some((500, 2)), 2)),
        "the first connect that may have run is kept"
    );
    assert_eq!(at(8, 2).unwrap().verdict, Some(Verdict::Bounced(250)));
    let keys_in_flight =
        |i: usize| states[i].1.keys_in_flight.iter().map(|r| (r.0.to_vec(), r.1)).collect::<Vec<_>>();
    assert_eq!(keys_in_flight(10), [(b"7f3a".to_vec(), 600), (b"99".to_vec(), 720)]);
    assert_eq!((at(10, 1), at(11, 2).unwrap().verdict), (None, Some(Verdict::Dead)));
}

#[test]
fn a_mail_written_by_an_earlier_version_is_still_owed() {
    // A record of version 0.2, which has no time of submission.
    let mut record = vec![1, 0, 0, 0, 0, 0, 0, 0, 9, 0, 2, b'a', b'1', 0, 0, 0, 0, 0, 1];
    record.extend(7u64.to_be_bytes().iter().chain(&90_000u64.to_be_bytes()).chain(&2u32.to_be_bytes()));
    record.extend([0; 22].iter().chain(b"xyz"));
    let mut file = b"meadowhold journal 1\n".to_vec();
    file.extend((record.len() as u32).to_be_bytes().iter().chain(&crc32fast::hash(&record).to_be_bytes()));
    file.extend(&record);
    let size = file.len();
    let (found, valid_len) = JournalContents::read(&file.into());
    let old = OwedMail { order_key: Bytes::new(), submitted_at: 0, connects: 2, ..owed_mail("a1", 3) };
    assert_eq!((valid_len, &found.owed[&9]), (size, &OwedMail { body: Bytes::from_static(b"xyz"), ..old }));
}

#[test]
fn a_connect_without_an_outcome_may_have_run_after_any_number_of_restarts() {
    let folder = Folder::new();
    let sends = [(500, 2), (900, 1)];
    for sent in sends {
        let (mut journal, found) = Journal::open(&folder.path, 3_000_000).unwrap();
        if found.owed.is_empty() {
            journal.append(&Record::Accepted { serial: 1, owed: &owed_mail("a1", 3) }).unwrap();
        }
        journal.append(&Record::ConnectStarted { serial: 1, sent }).unwrap();
    }
    let (mut journal, _) = Journal::open(&folder.path, 3_000_000).unwrap();
    journal
        .append(&Record::ConnectEnded {
            serial: 1,
            may_have_run: false,
            may_still_run: false,
            is_last: false,
            at: 950,
        })
        .unwrap();
    let mail = JournalContents::read(&journal_bytes(&folder)).0.owed[&1].clone();
    assert_eq!((mail.first_run, mail.in_flight, mail.connects), (Some(sends[0]), None, 2));
}

#[test]
fn a_journal_cut_anywhere_holds_all_records_before_the_cut() {
    let folder = Folder::new();
    let states = journal_with_every_record(&folder);
    let whole = journal_bytes(&folder);
    for cut in 0..=whole.len() {
        let (found, valid_len) = JournalContents::read(&whole.slice(..cut));
        let before = states.iter().rev().find(|state| state.0 <= cut);
        let (end, expected) =
            before.map_or((0, JournalContents::default()), |(end, state)| (*end, state.clone()));
        assert_eq!((valid_len, found), (end, expected), "cut at {cut}");
    }
}

#[test]
fn a_flipped_byte_ends_the_reading_and_never_panics() {
    let folder = Folder::new();
    let states = journal_with_every_record(&folder);
    let whole = journal_bytes(&folder);
    for at in 0..whole.len() {
        let mut broken = whole.to_vec();
        broken[at] ^= 0x41;
        let (found, valid_len) = JournalContents::read(&broken.into());
        assert!(valid_len <= at && states.iter().any(|state| state.1 == found), "flipped at {at}");
    }
}

#[test]
fn a_journal_with_a_partial_record_is_reopened() {
    let folder = Folder::new();
    journal_with_every_record(&folder);
    let mut torn = journal_bytes(&folder).to_vec();
    torn.truncate(torn.len() - 3);
    fs::write(folder.path.join("journal"), torn).unwrap();
    // Left by a process that ended between writing the compacted file and renaming it.
    fs::write(folder.path.join("journal.new"), b"meadowhold journal 1\nhalf").unwrap();
    let (mut journal, found) = Journal::open(&folder.path, 3_000_000).unwrap();
    assert_eq!(found.owed[&2].verdict, Some(Verdict::Bounced(250)));
    journal.append(&Record::Settled { serial: 2 }).unwrap();
    drop(journal);
    let (_, found) = Journal::open(&folder.path, 3_000_000).unwrap();
    assert_eq!(found.owed, BTreeMap::new());
    assert_eq!(found.keys_in_flight.len(), 2, "keys in flight are kept by compaction");
    assert!(!folder.path.join("journal.new").exists());
}

#[test]
fn the_folder_stays_within_its_allowance() {
    let (folder, allowance) = (Folder::new(), 40_000);
    let (mut journal, _) = Journal::open(&folder.path, allowance).unwrap();
    let (mut owing, mut refused, mut most) = (BTreeMap::new(), 0, 0);
    for serial in 1..2000 {
        let mail = owed_mail(&serial.to_string(), 400 + serial as usize % 700);
        if journal.needs_compaction(&Record::Accepted { serial, owed: &mail }) {
            journal.compact(&owing, &[]).unwrap();
            // During compaction both files exist.
            most = most.max(allowance * 44 / 100 + journal_bytes(&folder).len() as u64);
        }
        if !journal.has_room(&mail) {
            refused += 1;
            // Settle the oldest mail to make room.
            let (serial, oldest): (u64, OwedMail) = owing.pop_first().unwrap();
            journal.release(meadowhold_courier::journal::max_stored_size(&oldest));
            journal.append(&Record::Settled { serial }).unwrap();
        } else {
            journal.append(&Record::Accepted { serial, owed: &mail }).unwrap();
            owing.insert(serial, mail);
        }
        most = most.max(journal_bytes(&folder).len() as u64);
    }
    assert!(refused > 900 && owing.len() > 5, "{refused} {}", owing.len());
    assert!(most < allowance * 85 / 100, "{most}");
    drop(journal);
    let (_, found) = Journal::open(&folder.path, allowance).unwrap();
    assert_eq!(found.owed, owing, "compaction loses no owed mail");
}

#[test]
fn a_second_courier_cannot_open_the_folder() {
    let folder = Folder::new();
    let (journal, _) = Journal::open(&folder.path, 10_000).unwrap();
    let second = Journal::open(&folder.path, 10_000).err().unwrap();
    assert_eq!(second.to_string(), "another courier process has locked the folder");
    drop(journal);
    assert!(Journal::open(&folder.path, 10_000).is_ok());
}

#[test]
fn a_full_journal_rejects_whole_records() {
    let folder = Folder::new();
    let (mut journal, _) = Journal::open(&folder.path, 10_000).unwrap();
    let mail = owed_mail("a", 1000);
    let fits =
        (1..).take_while(|&serial| journal.append(&Record::Accepted { serial, owed: &mail }).is_ok()).count();
    assert!((2..10).contains(&fits));
    let (found, valid_len) = JournalContents::read(&journal_bytes(&folder));
    assert_eq!((found.owed.len(), valid_len), (fits, journal_bytes(&folder).len()));
}
