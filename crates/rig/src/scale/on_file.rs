//! Compares the list file that each courier stores with the source's list. A short list is stored whole; changes to a
//! long list are appended as records, each group ended by a commit.

use std::collections::{BTreeMap, HashMap};
use std::path::Path;

use meadowhold_courier::entries::{unpack, EntryRef};
use serde::Deserialize;

use super::source::Expected;

#[derive(Deserialize)]
struct Head {
    index: u64,
}

#[derive(Deserialize)]
struct StoredEntry {
    name: String,
    group: u64,
    status: String,
    weight: f64,
    since_ms: u64,
}

/// Why a file is not as expected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The file is missing, or cannot be parsed.
    Unread(String),
    /// The file has another version of the list.
    Version(u64),
    /// The version is right, but the entries differ from the source's.
    Entries(String),
}

/// Compares files with one version of the list. Once a file's entries have been found right, later files are compared
/// with its bytes first.
pub struct FileCheck {
    version: u64,
    expected: BTreeMap<String, Expected>,
    verified: Vec<u8>,
    /// `expected` by number, and the number of each name.
    numbers: HashMap<String, usize>,
    by_number: Vec<Expected>,
}

/// The first line of a file with appended changes. A record has the length of its body and a checksum that continues
/// from the previous record, each four bytes in big-endian order, then its kind (one byte) and the body.
const APPENDED: &[u8] = b"meadowhold list 1\n";
const RECORD: usize = 9;

/// Splits off the next record: its kind, body and checksum, and the remaining bytes.
fn record(rest: &[u8], before: u32) -> Option<(u8, &[u8], u32, &[u8])> {
    let (head, after) = rest.split_at_checked(RECORD)?;
    let number = |at: usize| head[at..at + 4].iter().fold(0, |number, &byte| number << 8 | u32::from(byte));
    let (body, after) = after.split_at_checked(number(0) as usize)?;
    let mut hasher = crc32fast::Hasher::new_with_initial(before);
    [&head[..4], &head[8..], body].into_iter().for_each(|part| hasher.update(part));
    let checksum = hasher.finalize();
    (checksum == number(4)).then_some((head[8], body, checksum, after))
}

impl FileCheck {
    pub fn new(version: u64, expected: BTreeMap<String, Expected>) -> FileCheck {
        let numbers = expected.keys().enumerate().map(|(number, name)| (name.clone(), number)).collect();
        let by_number = expected.values().cloned().collect();
        FileCheck { version, expected, verified: Vec::new(), numbers, by_number }
    }

    /// # Errors
    /// If the file in this folder is not as expected.
    pub fn folder(&mut self, folder: &Path) -> Result<(), Fault> {
        let bytes = std::fs::read(folder.join("memory")).map_err(|e| Fault::Unread(e.to_string()))?;
        self.bytes(&bytes)
    }

    /// # Errors If a file with these bytes is not as expected. A file without appended changes has a first line, eight
    /// bytes of length and checksum, and a JSON object.
    pub fn bytes(&mut self, bytes: &[u8]) -> Result<(), Fault> {
        if let Some(records) = bytes.strip_prefix(APPENDED) {
            return self.records(records);
        }
        let unread = |words: &str| Fault::Unread(words.to_string());
        let line = bytes.iter().position(|&b| b == b'\n').ok_or_else(|| unread("it has no first line"))?;
        let (header, body) =
            bytes[line + 1..].split_at_checked(8).ok_or_else(|| unread("it is cut short"))?;
        let length = header[..4].iter().fold(0, |length, &byte| length << 8 | usize::from(byte));
        if body.len() != length {
            return Err(unread("it is cut short"));
        }
        let mark = b",\"endpoints\":";
        let at = body.windows(mark.len()).position(|window| window == mark);
        let (head, rest) = body.split_at(at.ok_or_else(|| unread("it holds no endpoints"))?);
        let head: Head =
            serde_json::from_slice(&[head, b"}"].concat()).map_err(|e| unread(&e.to_string()))?;
        if head.index != self.version {
            return Err(Fault::Version(head.index));
        }
        if rest == self.verified {
            return Ok(());
        }
        self.entries(&rest[mark.len()..])?;
        self.verified = rest.to_vec();
        Ok(())
    }

    /// Checks a file with appended changes: the entries after all records have been applied.
    fn records(&self, records: &[u8]) -> Result<(), Fault> {
        let unread = |words: &str| Fault::Unread(words.to_string());
        // The stored entries by number; entries that the source does not list have no number.
        let mut held: Vec<Option<EntryRef>> = vec![None; self.by_number.len()];
        let mut unlisted: BTreeMap<&str, ()> = BTreeMap::new();
        let (mut rest, mut at, mut version, mut open) = (records, 0, 0, false);
        while !rest.is_empty() {
            let (kind, body, checksum, after) = record(rest, at).ok_or_else(|| unread("it is cut short"))?;
            (rest, at, open) = (after, checksum, kind != b'C');
            match kind {
                b'B' => {}
                b'C' => {
                    let commit = postcard::from_bytes::<(u64, u64, u64)>(body);
                    version = commit.map_err(|e| unread(&e.to_string()))?.1;
                }
                b'E' => {
                    for (entry, _) in unpack(body) {
                        let entry = entry.ok_or_else(|| unread("an entry cannot be read"))?;
                        let gone = entry.status() == "DELETED";
                        match self.numbers.get(entry.name) {
                            Some(&number) => held[number] = (!gone).then_some(entry),
                            None if gone => drop(unlisted.remove(entry.name)),
                            None => drop(unlisted.insert(entry.name, ())),
                        }
                    }
                }
                _ => return Err(unread("it has a record of no known kind")),
            }
        }
        if open {
            return Err(unread("its last changes are not committed"));
        }
        if version != self.version {
            return Err(Fault::Version(version));
        }
        if let Some((name, ())) = unlisted.first_key_value() {
            return Err(Fault::Entries(format!("{name}, which is not listed")));
        }
        for (held, expected) in held.iter().zip(&self.by_number) {
            let Some(held) = held else {
                return Err(Fault::Entries(format!("no entry where the source has {expected:?}")));
            };
            let values = (held.group, held.status(), held.weight, held.since_ms);
            if values != (expected.group, expected.status, expected.weight, expected.since_ms) {
                let name = held.name;
                return Err(Fault::Entries(format!(
                    "{name} as {values:?} where the source has {expected:?}"
                )));
            }
        }
        Ok(())
    }

    fn entries(&self, rest: &[u8]) -> Result<(), Fault> {
        let mut lists = serde_json::Deserializer::from_slice(rest).into_iter::<Vec<StoredEntry>>();
        let kept = match lists.next() {
            Some(Ok(kept)) => kept,
            Some(Err(e)) => return Err(Fault::Unread(e.to_string())),
            None => return Err(Fault::Unread("it is cut short".to_string())),
        };
        let many = format!("{} entries where the source has {}", kept.len(), self.expected.len());
        for kept in &kept {
            let Some(expected) = self.expected.get(&kept.name) else {
                return Err(Fault::Entries(format!("{}, which is not listed; {many}", kept.name)));
            };
            let held = (kept.group, kept.status.as_str(), kept.weight, kept.since_ms);
            let Expected { group, status, weight, since_ms } = *expected;
            if held != (group, status, weight, since_ms) {
                return Err(Fault::Entries(format!(
                    "{} as {held:?} where the source has {expected:?}",
                    kept.name
                )));
            }
        }
        if kept.len() == self.expected.len() {
            Ok(())
        } else {
            Err(Fault::Entries(many))
        }
    }
}

#[cfg(test)]
mod tests {
    use meadowhold_courier::discovery::{Entry, List};
    use meadowhold_courier::memory::ListStore;

    /// One second in the time unit of `ListStore`.
    const SECOND: u64 = 10_000;

    use super::*;

    fn file(index: u64, entries: &str) -> Vec<u8> {
        let mut bytes = b"meadowhold memory 1\n".to_vec();
        let body = format!(
            "{{\"saved_at\":5,\"deployment\":\"[(\\\"a\\\",1)]\",\"index\":{index},\"endpoints\":[{entries}],\"sights\":[]}}"
        );
        bytes.extend((body.len() as u32).to_be_bytes());
        bytes.extend([0; 4]);
        bytes.extend(body.bytes());
        bytes
    }

    fn kept(name: &str, status: &str, weight: f64) -> String {
        format!(
            "{{\"name\":\"{name}\",\"address\":\"x\",\"zone\":\"a\",\"type\":\"hook\",\"group\":1,\
             \"status\":\"{status}\",\"weight\":{weight},\"since_ms\":0}}"
        )
    }

    #[test]
    fn a_file_matches_only_with_the_version_and_all_entries_of_the_source() {
        let entry = |status, weight| Expected { group: 1, status, weight, since_ms: 0 };
        let expected = BTreeMap::from([
            ("a".to_string(), entry("SERVING", 2.5)),
            ("b".to_string(), entry("DRAINING", 1.0)),
        ]);
        let mut check = FileCheck::new(7, expected);
        let both =
            |status: &str, weight: f64| [kept("a", "SERVING", 2.5), kept("b", status, weight)].join(",");
        let right = file(7, &both("DRAINING", 1.0));
        for _ in 0..2 {
            assert_eq!(check.bytes(&right), Ok(()));
            assert_eq!(check.bytes(&file(6, &both("DRAINING", 1.0))), Err(Fault::Version(6)));
            let wrong = [
                both("SERVING", 1.0),
                both("DRAINING", 1.5),
                kept("a", "SERVING", 2.5),
                [both("DRAINING", 1.0), kept("c", "SERVING", 1.0)].join(","),
                String::new(),
            ];
            for entries in wrong {
                assert!(matches!(check.bytes(&file(7, &entries)), Err(Fault::Entries(_))), "{entries}");
            }
            for cut in 0..right.len() {
                assert!(check.bytes(&right[..cut]).is_err(), "cut at {cut}");
            }
        }
    }

    /// A file as `ListStore` writes it: a list of 300 entries, then changes, each saved before the next.
    fn appended(changes: &[(u64, &str, &str, f64)]) -> Vec<u8> {
        let folder = tempfile::tempdir().unwrap();
        let mut store = ListStore::new(folder.path(), 10_000_000, "d".to_string());
        let entry = |name: &str, status: &str, weight| Entry {
            name: name.to_string(),
            address: "x".to_string(),
            zone: "a".to_string(),
            kind: "hook".to_string(),
            group: 1,
            status: status.to_string(),
            weight,
            since_ms: 0,
        };
        let endpoints = (0..300).map(|n| entry(&format!("d{n}"), "SERVING", 2.5)).collect();
        store.apply_list(&List { index: 1, snapshot: true, endpoints });
        store.save(10 * SECOND);
        for &(index, name, status, weight) in changes {
            store.apply_list(&List { index, snapshot: false, endpoints: vec![entry(name, status, weight)] });
            store.save(index * 20 * SECOND);
        }
        std::fs::read(folder.path().join("memory")).unwrap()
    }

    #[test]
    fn a_file_with_appended_changes_matches_only_if_all_are_complete() {
        let expected = |status, weight| Expected { group: 1, status, weight, since_ms: 0 };
        let mut listed: BTreeMap<String, Expected> =
            (0..300).map(|n| (format!("d{n}"), expected("SERVING", 2.5))).collect();
        listed.insert("d7".to_string(), expected("DRAINING", 1.0));
        listed.remove("d8");
        listed.insert("new".to_string(), expected("SERVING", 4.0));
        let mut check = FileCheck::new(4, listed);
        let changes = [(2, "d7", "DRAINING", 1.0), (3, "d8", "DELETED", 2.5), (4, "new", "SERVING", 4.0)];
        let right = appended(&changes);
        assert!(right.starts_with(APPENDED));
        assert_eq!(check.bytes(&right), Ok(()));
        assert_eq!(check.bytes(&appended(&changes[..2])), Err(Fault::Version(3)));
        let wrong = [
            // A missing change, a different value, an entry that is not listed, and a deleted entry that is listed.
            vec![changes[0], (4, "new", "SERVING", 4.0)],
            vec![changes[0], changes[1], (4, "new", "SERVING", 4.5)],
            vec![changes[0], changes[1], (3, "other", "SERVING", 1.0), changes[2]],
            vec![changes[0], changes[1], (3, "d9", "DELETED", 1.0), changes[2]],
        ];
        for changes in wrong {
            assert!(matches!(check.bytes(&appended(&changes)), Err(Fault::Entries(_))), "{changes:?}");
        }
        for cut in 0..right.len() {
            assert!(check.bytes(&right[..cut]).is_err(), "cut at {cut}");
        }
        let mut chance = fastrand::Rng::with_seed(5);
        for _ in 0..200 {
            let (mut corrupted, at) = (right.clone(), chance.usize(APPENDED.len()..right.len()));
            corrupted[at] ^= 1 << chance.u8(..8);
            assert!(check.bytes(&corrupted).is_err(), "another byte at {at}");
        }
    }
}
