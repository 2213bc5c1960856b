//! The file of a long list: appending, compaction, and how truncated and corrupt files are read.

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;

use meadowhold::interface::{Time, SECOND};
use meadowhold_courier::discovery::List;
use meadowhold_courier::entries::Update;
use meadowhold_courier::memory::{load, ListStore, Memory};
use serde_json::{json, Value};

const NOW: Time = 17_000_000_000_000;
const ROOM: u64 = 300_000_000;
const OURS: &str = "ours";

fn entry(name: usize, status: &str, zone: &str) -> Value {
    json!({"name": format!("s-{name:07}"), "address": format!("10.1.{}.{}:6379", name / 250 % 250, name % 250), "zone": zone,
        "type": "m2", "group": name / 2, "status": status, "weight": 12.5, "since_ms": name})
}

fn list(index: u64, snapshot: bool, endpoints: Vec<Value>) -> List {
    serde_json::from_value(json!({"index": index, "snapshot": snapshot, "endpoints": endpoints})).unwrap()
}

fn whole(index: u64, count: usize) -> List {
    list(index, true, (0..count).map(|name| entry(name, "SERVING", "a")).collect())
}

/// A store with its folder, and a plain map with the list that it should hold.
struct Fixture {
    folder: tempfile::TempDir,
    store: ListStore,
    now: Time,
    map: BTreeMap<String, (String, String, u64)>,
    index: u64,
}

type Version = (u64, BTreeMap<String, (String, String, u64)>);

impl Fixture {
    fn new(room: u64) -> Fixture {
        let folder = tempfile::tempdir().unwrap();
        let store = ListStore::new(folder.path(), room, OURS.to_string());
        Fixture { folder, store, now: NOW, map: BTreeMap::new(), index: 0 }
    }

    fn file(&self) -> Vec<u8> {
        fs::read(self.folder.path().join("memory")).unwrap_or_default()
    }

    /// Applies a list or changes, and saves a second later.
    fn take_up(&mut self, list: &List) {
        self.store.apply_list(list);
        self.index = list.index;
        if list.snapshot {
            self.map.clear();
        }
        for entry in &list.endpoints {
            let told = (entry.status.clone(), entry.zone.clone(), entry.since_ms);
            match entry.status.as_str() {
                "SERVING" | "DRAINING" => drop(self.map.insert(entry.name.clone(), told)),
                _ => drop(self.map.remove(&entry.name)),
            }
        }
        self.now += SECOND;
        self.store.save(self.now);
    }

    fn version(&self) -> Version {
        (self.index, self.map.clone())
    }
}

fn version(memory: Memory) -> Version {
    let told = memory.endpoints.into_iter().map(|kept| (kept.name, (kept.status, kept.zone, kept.since_ms)));
    (memory.index, told.collect())
}

fn load_version(folder: &Path, now: Time) -> Option<Version> {
    load(folder, ROOM, now).map(version)
}

fn recalled(folder: &Path, known: List, now: Time) -> (ListStore, Update) {
    let mut store = ListStore::new(folder, ROOM, OURS.to_string());
    let update = store.recall(known, now, |_| false);
    (store, update)
}

#[test]
fn changes_are_appended_and_compacted_and_the_file_matches_the_list() {
    let mut rng = fastrand::Rng::with_seed(3);
    let mut fixture = Fixture::new(ROOM);
    fixture.take_up(&whole(1, 2000));
    let base = fixture.file().len();
    assert!(base < 2000 * 60, "{base}");
    let (mut written, mut compactions, mut changed) = (0, 0, 0);
    for index in 2..400 {
        let before = fixture.file();
        let names = (0..rng.usize(1..40)).map(|_| rng.usize(..2300)).collect::<Vec<_>>();
        let statuses = ["SERVING", "DRAINING", "DELETED"];
        let made = |name: &usize| {
            entry(*name, statuses[name % 3 * index as usize % 3], ["a", "b"][index as usize % 2])
        };
        changed += names.len();
        fixture.take_up(&list(index, false, names.iter().map(made).collect()));
        let after = fixture.file();
        let appended = after.len() > before.len() && after[..before.len()] == before[..];
        written += if appended { after.len() - before.len() } else { after.len() };
        compactions += usize::from(!appended);
        assert!(after.len() <= 2 * base + base / 2, "{}", after.len());
        if index % 20 == 0 || !appended {
            assert_eq!(
                load_version(fixture.folder.path(), fixture.now).unwrap(),
                fixture.version(),
                "{index}"
            );
        }
    }
    assert!((2..8).contains(&compactions), "{compactions}");
    // Compaction at most doubles what is written, and each version adds a few bytes.
    assert!(written < changed * 60 * 3 + 398 * 80, "{written} bytes for {changed} changes");
}

#[test]
fn a_similar_whole_list_is_appended_as_changes_and_a_different_one_rewrites_the_file() {
    let mut fixture = Fixture::new(ROOM);
    fixture.take_up(&whole(1, 3000));
    let before = fixture.file().len();
    // The whole list again, as after a restart or a closed watch, with one entry changed and one deleted.
    let mut again = whole(2, 2999);
    again.endpoints[7].status = "DRAINING".to_string();
    fixture.take_up(&again);
    let after = fixture.file().len();
    assert!(after > before && after < before + 300, "{before} {after}");
    assert_eq!(load_version(fixture.folder.path(), fixture.now).unwrap(), fixture.version());
    // The list of another registry, with a lower version and other names.
    let other = list(1, true, (5000..8000).map(|name| entry(name, "SERVING", "b")).collect());
    fixture.take_up(&other);
    assert!(fixture.file().len() < before * 11 / 10);
    assert_eq!(load_version(fixture.folder.path(), fixture.now).unwrap(), fixture.version());
    // A short list is written in the JSON format, and a long one in the list format again.
    fixture.take_up(&whole(9, 3));
    assert!(fixture.file().starts_with(b"meadowhold memory 1\n"));
    assert_eq!(load_version(fixture.folder.path(), fixture.now).unwrap(), fixture.version());
    fixture.take_up(&whole(10, 300));
    assert!(fixture.file().starts_with(b"meadowhold list 1\n"));
    assert_eq!(load_version(fixture.folder.path(), fixture.now).unwrap(), fixture.version());
}

#[test]
fn the_next_process_appends_to_the_file_that_it_loaded() {
    let mut fixture = Fixture::new(ROOM);
    fixture.take_up(&whole(5, 1000));
    fixture.take_up(&list(6, false, vec![entry(3, "DELETED", ""), entry(2000, "DRAINING", "b")]));
    let before = fixture.file();
    let (store, update) = recalled(fixture.folder.path(), whole(4, 1), fixture.now);
    let names: Vec<&str> = update.entries.iter().map(|entry| entry.name).collect();
    assert_eq!((update.index, update.whole, names.len()), (6, true, 1000));
    assert!(names.is_sorted() && !names.contains(&"s-0000003") && names.contains(&"s-0002000"));
    // Applying the loaded list writes nothing, and later changes are appended.
    fixture.store = store;
    fixture.store.apply(&update);
    fixture.store.save(fixture.now + 9 * SECOND);
    assert!(fixture.file() == before);
    fixture.now += 9 * SECOND;
    fixture.take_up(&list(7, false, vec![entry(4, "DELETED", "")]));
    assert!(fixture.file().starts_with(&before) && fixture.file().len() < before.len() + 200);
    assert_eq!(load_version(fixture.folder.path(), fixture.now).unwrap(), fixture.version());
    // A configured list of the same version takes precedence, and a list of another deployment is ignored.
    let (_, update) = recalled(fixture.folder.path(), whole(7, 1), fixture.now);
    assert_eq!((update.index, update.entries.len()), (7, 1));
    let update = ListStore::new(fixture.folder.path(), ROOM, "another".to_string()).recall(
        whole(1, 1),
        fixture.now,
        |_| false,
    );
    assert_eq!((update.index, update.entries.len()), (1, 1));
    // A file from the future, after the clock was set back, is ignored.
    let (_, update) = recalled(fixture.folder.path(), whole(1, 1), fixture.now - 90 * SECOND);
    assert_eq!(update.index, 1);
}

/// A file with four versions, and for each the length at which it is complete and its list.
fn file_with_versions() -> (Fixture, Vec<(usize, Version)>) {
    let mut fixture = Fixture::new(ROOM);
    let mut known = Vec::new();
    fixture.take_up(&whole(5, 260));
    known.push((fixture.file().len(), fixture.version()));
    for (index, change) in [
        (6, vec![entry(3, "DELETED", "")]),
        (9, vec![entry(4, "DRAINING", "b"), entry(900, "SERVING", "c")]),
        (10, vec![]),
    ] {
        fixture.take_up(&list(index, false, change));
        known.push((fixture.file().len(), fixture.version()));
    }
    (fixture, known)
}

#[test]
fn a_file_truncated_at_any_byte_yields_the_last_complete_version_or_nothing() {
    let (fixture, known) = file_with_versions();
    let (whole, folder) = (fixture.file(), tempfile::tempdir().unwrap());
    let path = folder.path().join("memory");
    for cut in 0..=whole.len() {
        fs::write(&path, &whole[..cut]).unwrap();
        let expected = known.iter().rfind(|(length, _)| *length <= cut).map(|(_, version)| version.clone());
        assert_eq!(load_version(folder.path(), fixture.now), expected, "cut at {cut}");
    }
    // A process that loads a truncated file writes a complete one.
    fs::write(&path, &whole[..whole.len() - 3]).unwrap();
    let (mut store, update) = recalled(folder.path(), List::default(), fixture.now);
    assert_eq!(update.index, 9);
    store.apply(&update);
    store.apply_list(&list(12, false, vec![entry(5, "DELETED", "")]));
    store.save(fixture.now + 9 * SECOND);
    let (index, map) = load_version(folder.path(), fixture.now + 9 * SECOND).unwrap();
    assert_eq!((index, map.len()), (12, 259));
}

#[test]
fn a_corrupt_file_never_yields_a_wrong_list_or_an_old_one_as_newer() {
    let (fixture, known) = file_with_versions();
    let (good, folder) = (fixture.file(), tempfile::tempdir().unwrap());
    let path = folder.path().join("memory");
    let first = known[0].0;
    let load_bytes = |bytes: &[u8]| {
        fs::write(&path, bytes).unwrap();
        load_version(folder.path(), fixture.now)
    };
    // Each bit of the appended records, and then one or several random bytes of the whole file.
    for at in first..good.len() {
        for bit in 0..8 {
            let mut bytes = good.clone();
            bytes[at] ^= 1 << bit;
            let expected =
                known.iter().rfind(|(length, _)| *length <= at).map(|(_, version)| version.clone());
            assert_eq!(load_bytes(&bytes), expected, "byte {at}, bit {bit}");
        }
    }
    let mut rng = fastrand::Rng::with_seed(11);
    for _ in 0..2000 {
        let mut bytes = good.clone();
        let mut least = bytes.len();
        for _ in 0..rng.usize(1..4) {
            let at = rng.usize(..bytes.len());
            bytes[at] ^= rng.u8(1..);
            least = least.min(at);
        }
        let expected = known.iter().rfind(|(length, _)| *length <= least).map(|(_, version)| version.clone());
        // Two changes of the same byte may cancel out.
        if bytes != good {
            assert_eq!(load_bytes(&bytes), expected, "{least}");
        }
    }
    // With records missing, repeated or reordered, only what is before them counts.
    let [a, b, c, d] = [0, 1, 2, 3].map(|i: usize| known[i].0);
    let (one, two, three) = (&good[a..b], &good[b..c], &good[c..d]);
    for (parts, expected) in [
        (vec![two, three], 0),
        (vec![one, three], 1),
        (vec![one, one], 1),
        (vec![one, two, two], 2),
        (vec![two, one], 0),
        (vec![one, two, three, one], 3),
        (vec![one, two, three, &good[..a]], 3),
    ] {
        assert_eq!(
            load_bytes(&[&[&good[..a]], &parts[..]].concat().concat()),
            Some(known[expected].1.clone())
        );
    }
    // Records of another file do not continue the checksum of this one.
    let mut other = Fixture::new(ROOM);
    other.take_up(&whole(5, 261));
    let base = other.version();
    assert_eq!(load_bytes(&[&other.file()[..], one].concat()), Some(base));
}

#[test]
fn the_file_stays_within_its_share_and_a_list_that_does_not_fit_is_not_saved() {
    // Its share is 8 percent, 24 kB, and the list takes more than half of that.
    let room = 300_000;
    let mut fixture = Fixture::new(room);
    fixture.take_up(&whole(1, 300));
    let base = fixture.file().len();
    assert!(base as u64 > room / 100 * 4, "{base}");
    for index in 2..200 {
        let changes = (0..20).map(|name| entry(name, ["SERVING", "DRAINING"][index as usize % 2], "a"));
        fixture.take_up(&list(index, false, changes.collect()));
        assert!((fixture.file().len() as u64) < room / 100 * 8, "{index}");
    }
    assert_eq!(load(fixture.folder.path(), room, fixture.now).map(version).unwrap(), fixture.version());
    let kept = fixture.file();
    fixture.take_up(&whole(300, 3000));
    fixture.take_up(&list(301, false, vec![entry(1, "DRAINING", "a")]));
    assert!(fixture.file() == kept, "the last that fitted");
    fixture.take_up(&whole(302, 300));
    assert_eq!(load(fixture.folder.path(), room, fixture.now).map(version).unwrap(), fixture.version());
}

#[test]
fn a_file_changed_or_removed_by_another_process_is_rewritten() {
    let mut fixture = Fixture::new(ROOM);
    fixture.take_up(&whole(1, 300));
    let path = fixture.folder.path().join("memory");
    let changes: [&dyn Fn(); 3] =
        [&|| fs::remove_file(&path).unwrap(), &|| fs::write(&path, b"odd").unwrap(), &|| {
            fs::OpenOptions::new()
                .append(true)
                .open(&path)
                .and_then(|mut f| std::io::Write::write_all(&mut f, b"odd"))
                .unwrap()
        }];
    for (index, change) in (2..).zip(changes) {
        change();
        fixture.take_up(&list(index, false, vec![entry(index as usize, "DRAINING", "z")]));
        assert_eq!(load_version(fixture.folder.path(), fixture.now).unwrap(), fixture.version());
    }
}
