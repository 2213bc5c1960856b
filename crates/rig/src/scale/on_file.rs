//! What couriers hold, read from outside: the file that each keeps its list in, held against what the source has.

use std::collections::BTreeMap;
use std::path::Path;

use serde::Deserialize;

use super::source::Expected;

#[derive(Deserialize)]
struct Head {
    index: u64,
}

#[derive(Deserialize)]
struct Kept {
    name: String,
    group: u64,
    status: String,
    weight: f64,
    since_ms: u64,
}

/// What is wrong with a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It is not there, or cannot be read.
    Unread(String),
    /// It is of another version.
    Version(u64),
    /// It is of the version, and not what the source has in it.
    Entries(String),
}

/// Holds files against one version; entries that were found to be right once are compared as bytes from then on.
pub struct Check {
    version: u64,
    expected: BTreeMap<String, Expected>,
    right: Vec<u8>,
}

impl Check {
    pub fn new(version: u64, expected: BTreeMap<String, Expected>) -> Check {
        Check { version, expected, right: Vec::new() }
    }

    /// # Errors
    /// What is wrong with the file in this folder.
    pub fn folder(&mut self, folder: &Path) -> Result<(), Fault> {
        let bytes = std::fs::read(folder.join("memory")).map_err(|e| Fault::Unread(e.to_string()))?;
        self.bytes(&bytes)
    }

    /// # Errors
    /// What is wrong with a file of these bytes: a line, eight bytes of length and checksum, and an object.
    pub fn bytes(&mut self, bytes: &[u8]) -> Result<(), Fault> {
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
        if rest == self.right {
            return Ok(());
        }
        self.entries(&rest[mark.len()..])?;
        self.right = rest.to_vec();
        Ok(())
    }

    fn entries(&self, rest: &[u8]) -> Result<(), Fault> {
        let mut lists = serde_json::Deserializer::from_slice(rest).into_iter::<Vec<Kept>>();
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
    fn a_file_is_right_only_with_the_version_and_each_entry_of_the_source() {
        let entry = |status, weight| Expected { group: 1, status, weight, since_ms: 0 };
        let expected = BTreeMap::from([
            ("a".to_string(), entry("SERVING", 2.5)),
            ("b".to_string(), entry("DRAINING", 1.0)),
        ]);
        let mut check = Check::new(7, expected);
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
}
