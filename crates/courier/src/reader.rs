//! Reads lists as they come: the text of one entry at a time, and of the object itself what is left without its
//! entries, is held and given to serde_json; entries that were read are packed. An object counts once it is complete.

use std::borrow::Cow;

use serde::de::Error;
use serde::Deserialize;
use serde_json::Value;

use crate::discovery::{Entry, List};
use crate::entries::{Entries, EntryRef, Update};

/// Of one entry, in bytes of text: a longer one is passed over.
const MAX_ENTRY_BYTES: usize = 16 << 10;
/// Of an object without its entries.
const MAX_FRAME_BYTES: usize = 64 << 10;

/// Of one object that is read: its entries, and bytes of its text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    pub entries: usize,
    pub bytes: usize,
}

/// Three hundred thousand destinations with two endpoints each.
impl Default for Limits {
    fn default() -> Self {
        Limits { entries: 700_000, bytes: 128_000_000 }
    }
}

/// Why nothing more is read of an answer.
#[derive(Debug)]
pub enum ReadError {
    Unreadable(serde_json::Error),
    /// It is past a limit of the configuration, which the words name.
    OverLimit(String),
}

impl From<serde_json::Error> for ReadError {
    fn from(error: serde_json::Error) -> ReadError {
        ReadError::Unreadable(error)
    }
}

fn unreadable(message: &str) -> ReadError {
    ReadError::Unreadable(serde_json::Error::custom(message))
}

impl Limits {
    pub fn too_many_entries(&self) -> ReadError {
        ReadError::OverLimit(format!("the list has more than {} entries (limits.list_entries)", self.entries))
    }

    fn too_many_bytes(&self) -> ReadError {
        let megabytes = self.bytes as f64 / 1e6;
        ReadError::OverLimit(format!("the list is longer than {megabytes} MB (limits.list_mb)"))
    }
}

/// An entry as it is listed; nothing of it is copied that has no escapes.
#[derive(Deserialize)]
struct Raw<'a> {
    #[serde(borrow)]
    name: Cow<'a, str>,
    #[serde(borrow, default)]
    address: Cow<'a, str>,
    #[serde(borrow, default)]
    zone: Cow<'a, str>,
    #[serde(borrow, default, rename = "type")]
    kind: Cow<'a, str>,
    group: u64,
    #[serde(borrow, default)]
    status: Cow<'a, str>,
    #[serde(default)]
    weight: f64,
    #[serde(default)]
    since_ms: u64,
}

#[derive(Default)]
pub struct Reader {
    limits: Limits,
    /// How deep within objects and lists that is, within a text, and within a text after a backslash.
    depth: u32,
    in_string: bool,
    escaped: bool,
    /// The object without its entries.
    frame: Vec<u8>,
    /// Where in the frame the last text of the object itself is, and whether that was the name of the entries, of which
    /// the value comes next.
    last_string: (usize, usize),
    after_entries_key: bool,
    /// Within the list of entries, and there after a comma.
    in_entries: bool,
    after_comma: bool,
    entry: Vec<u8>,
    /// The entry is longer than one may be.
    entry_too_long: bool,
    entry_count: usize,
    /// Entries that cannot be read.
    unreadable: usize,
    entries: Entries,
    /// Bytes of the object.
    object_bytes: usize,
}

impl Reader {
    pub fn new(limits: Limits) -> Reader {
        Reader { limits, ..Reader::default() }
    }

    /// Bytes that were read of an object that is not complete.
    pub fn pending(&self) -> usize {
        if self.depth == 0 {
            0
        } else {
            self.object_bytes
        }
    }

    /// Reads on; `each` is given what is complete. Whether there was something between objects, such as an empty line.
    pub fn read(
        &mut self,
        bytes: &[u8],
        mut on_update: impl FnMut(Update) -> Result<(), ReadError>,
    ) -> Result<bool, ReadError> {
        let (mut rest, mut separated) = (bytes, false);
        while let Some((&byte, after)) = rest.split_first() {
            if self.depth == 0 && is_whitespace(byte) {
                (rest, separated) = (after, true);
                continue;
            }
            // All of a text at once, up to what may end it: nothing in it counts.
            let run = match self.in_entries && self.in_string && !self.escaped {
                true => memchr::memchr2(b'"', b'\\', rest).unwrap_or(rest.len()),
                false => 0,
            };
            self.object_bytes += run.max(1);
            if self.object_bytes > self.limits.bytes {
                return Err(self.limits.too_many_bytes());
            }
            if run > 0 {
                let fits = run.min(MAX_ENTRY_BYTES.saturating_sub(self.entry.len()));
                self.entry.extend_from_slice(&rest[..fits]);
                self.entry_too_long |= fits < run;
                rest = &rest[run..];
                continue;
            }
            rest = after;
            if self.in_entries {
                self.entries_byte(byte)?;
            } else if self.frame_byte(byte)? {
                on_update(self.finish_object()?)?;
            }
        }
        Ok(separated)
    }

    /// Keeps count of the depth.
    fn track_nesting(&mut self, byte: u8) {
        match byte {
            _ if self.escaped => self.escaped = false,
            b'\\' if self.in_string => self.escaped = true,
            b'"' => self.in_string = !self.in_string,
            _ if self.in_string => {}
            b'{' | b'[' => self.depth = self.depth.saturating_add(1),
            b'}' | b']' => self.depth = self.depth.saturating_sub(1),
            _ => {}
        }
    }

    /// A byte of the object that is none of its entries; whether it was the last one.
    fn frame_byte(&mut self, byte: u8) -> Result<bool, ReadError> {
        let (at_top_level, before) = (self.depth == 1 && !self.in_string, self.frame.len());
        if self.depth == 0 && byte != b'{' && byte != b'[' {
            return Err(unreadable("what comes is no object"));
        }
        // Guards against an object that fills the memory with what is no entry.
        if before == MAX_FRAME_BYTES {
            return Err(unreadable("the object has too much besides its entries"));
        }
        self.frame.push(byte);
        let in_text = self.in_string;
        self.track_nesting(byte);
        match byte {
            b'"' if at_top_level => self.last_string.0 = before,
            b'"' if self.depth == 1 && in_text && !self.in_string => self.last_string.1 = before + 1,
            _ => {}
        }
        if at_top_level && byte == b':' {
            let word = &self.frame[self.last_string.0.min(self.last_string.1)..self.last_string.1];
            self.after_entries_key =
                serde_json::from_slice::<Cow<str>>(word).is_ok_and(|word| word == "endpoints");
        } else if at_top_level && !is_whitespace(byte) {
            self.in_entries = self.after_entries_key && byte == b'[';
            self.after_entries_key = false;
        }
        Ok(self.depth == 0)
    }

    /// A byte within the list of entries.
    fn entries_byte(&mut self, byte: u8) -> Result<(), ReadError> {
        let between = self.depth == 2 && !self.in_string;
        match byte {
            b',' if between && self.entry.is_empty() => return Err(unreadable("an entry is missing")),
            b',' if between => {
                self.finish_entry()?;
                self.after_comma = true;
            }
            b']' if between && self.entry.is_empty() && self.after_comma => {
                return Err(unreadable("a comma has nothing after it"));
            }
            b']' if between => {
                if !self.entry.is_empty() {
                    self.finish_entry()?;
                }
                (self.in_entries, self.after_comma) = (false, false);
                self.frame_byte(byte)?;
            }
            b'}' if between => return Err(unreadable("the list of entries has another end")),
            _ if between && self.entry.is_empty() && is_whitespace(byte) => {}
            _ => {
                if self.entry.len() < MAX_ENTRY_BYTES {
                    self.entry.push(byte);
                } else {
                    self.entry_too_long = true;
                }
                self.track_nesting(byte);
            }
        }
        Ok(())
    }

    /// An entry has come. Guards against one that cannot be read and would cost all the others: it counts as not
    /// listed, also if it is one of changes and was listed before.
    fn finish_entry(&mut self) -> Result<(), ReadError> {
        self.after_comma = false;
        if self.entry_count == self.limits.entries {
            return Err(self.limits.too_many_entries());
        }
        self.entry_count += 1;
        let mut problem = None;
        if std::mem::take(&mut self.entry_too_long) {
            problem = Some("it is too long".to_string());
        } else if let Ok(raw) = serde_json::from_slice::<Raw>(&self.entry) {
            let Raw { name, address, zone, kind, group, status, weight, since_ms } = &raw;
            let (group, weight, since_ms) = (*group, *weight, *since_ms);
            let listing =
                EntryRef { name, address, zone, kind, group, weight, since_ms, ..EntryRef::default() };
            self.entries.push(&listing.with_status(status));
        } else {
            // What is no JSON spoils the whole.
            let value: Value = serde_json::from_slice(&self.entry)?;
            match Entry::deserialize(&value) {
                Ok(entry) => self.entries.push(&EntryRef::from(&entry)),
                Err(e) => {
                    problem = Some(e.to_string());
                    let name = value["name"].as_str();
                    name.into_iter().for_each(|name| self.entries.push(&EntryRef::gone(name)));
                }
            }
        }
        self.entry.clear();
        if let Some(problem) = problem {
            // One line for all of a list.
            if self.unreadable == 0 {
                log::warn!("an entry of the list: {problem}");
            }
            self.unreadable += 1;
        }
        Ok(())
    }

    /// The object that has come.
    fn finish_object(&mut self) -> Result<Update, ReadError> {
        let Reader { frame, mut entries, unreadable, .. } = std::mem::replace(self, Reader::new(self.limits));
        if unreadable > 1 {
            log::warn!("{unreadable} entries of the list cannot be read");
        }
        let list: List = serde_json::from_slice(&frame)?;
        // An object may be written as a list of its values, and then has its entries here.
        if entries.len() + list.endpoints.len() > self.limits.entries {
            return Err(self.limits.too_many_entries());
        }
        list.endpoints.iter().for_each(|entry| entries.push(&entry.into()));
        Ok(Update { index: list.index, whole: list.snapshot, entries })
    }
}

fn is_whitespace(byte: u8) -> bool {
    matches!(byte, b' ' | b'\t' | b'\n' | b'\r')
}
