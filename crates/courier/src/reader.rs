//! Incremental reader of lists. Holds the text of one entry at a time and the text of the object without its entries (the
//! frame), and parses both with serde_json; parsed entries are packed. An object is returned once it is complete.

use std::borrow::Cow;

use serde::de::Error;
use serde::Deserialize;
use serde_json::Value;

use crate::discovery::{Entry, List};
use crate::entries::{Entries, EntryRef, Update};

/// The longest text of one entry, in bytes; a longer entry is skipped.
const MAX_ENTRY_BYTES: usize = 16 << 10;
/// The longest text of an object without its entries, in bytes.
const MAX_FRAME_BYTES: usize = 64 << 10;

/// Limits of one object: its entries, and the bytes of its text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    pub entries: usize,
    pub bytes: usize,
}

/// Room for three hundred thousand destinations with two endpoints each.
impl Default for Limits {
    fn default() -> Self {
        Limits { entries: 700_000, bytes: 128_000_000 }
    }
}

/// Why reading a response was aborted.
#[derive(Debug)]
pub enum ReadError {
    Unreadable(serde_json::Error),
    /// The list is over a limit of the configuration; the text names it.
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

/// An entry as it appears in JSON. Strings without escapes are borrowed from the text.
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
    /// The nesting depth of objects and arrays, and whether the position is in a string, and there after a backslash.
    depth: u32,
    in_string: bool,
    escaped: bool,
    /// The text of the object without its entries.
    frame: Vec<u8>,
    /// The range of the frame with the last string at the top level of the object, and whether that was the key
    /// `endpoints`, whose value comes next.
    last_string: (usize, usize),
    after_entries_key: bool,
    /// The position is in the array of entries, and there after a comma.
    in_entries: bool,
    after_comma: bool,
    /// The text of the current entry, cut at `MAX_ENTRY_BYTES`.
    entry: Vec<u8>,
    entry_too_long: bool,
    entry_count: usize,
    /// How many entries could not be read.
    unreadable: usize,
    entries: Entries,
    /// Bytes of the current object that were read.
    object_bytes: usize,
}

impl Reader {
    pub fn new(limits: Limits) -> Reader {
        Reader { limits, ..Reader::default() }
    }

    /// The bytes read of an object that is not complete yet.
    pub fn pending(&self) -> usize {
        if self.depth == 0 {
            0
        } else {
            self.object_bytes
        }
    }

    /// Reads more text and passes each completed object to `on_update`. Returns whether there was white space outside
    /// objects, such as an empty line.
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
            // Within a string of an entry, skip to the next byte that may end it: none before it has a meaning.
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

    /// Tracks strings and the nesting depth.
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

    /// Processes a byte of the frame. Returns whether it completes the object.
    fn frame_byte(&mut self, byte: u8) -> Result<bool, ReadError> {
        let (at_top_level, before) = (self.depth == 1 && !self.in_string, self.frame.len());
        if self.depth == 0 && byte != b'{' && byte != b'[' {
            return Err(unreadable("the answer is not a JSON object"));
        }
        // Bounds the memory that an object takes besides its entries.
        if before == MAX_FRAME_BYTES {
            return Err(unreadable("the object has more than 64 KiB besides its entries"));
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

    /// Processes a byte of the array of entries.
    fn entries_byte(&mut self, byte: u8) -> Result<(), ReadError> {
        let between = self.depth == 2 && !self.in_string;
        match byte {
            b',' if between && self.entry.is_empty() => return Err(unreadable("no entry before a comma")),
            b',' if between => {
                self.finish_entry()?;
                self.after_comma = true;
            }
            b']' if between && self.entry.is_empty() && self.after_comma => {
                return Err(unreadable("trailing comma in the entries"));
            }
            b']' if between => {
                if !self.entry.is_empty() {
                    self.finish_entry()?;
                }
                (self.in_entries, self.after_comma) = (false, false);
                self.frame_byte(byte)?;
            }
            b'}' if between => return Err(unreadable("the entries end with '}' instead of ']'")),
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

    /// Parses a complete entry. One that cannot be read does not make the whole list unusable: it counts as deleted if it
    /// has a name, also where it is part of a change and was listed before.
    fn finish_entry(&mut self) -> Result<(), ReadError> {
        self.after_comma = false;
        if self.entry_count == self.limits.entries {
            return Err(self.limits.too_many_entries());
        }
        self.entry_count += 1;
        let mut problem = None;
        if std::mem::take(&mut self.entry_too_long) {
            problem = Some("its text is longer than 16 KiB".to_string());
        } else if let Ok(raw) = serde_json::from_slice::<Raw>(&self.entry) {
            let Raw { name, address, zone, kind, group, status, weight, since_ms } = &raw;
            let (group, weight, since_ms) = (*group, *weight, *since_ms);
            let listing =
                EntryRef { name, address, zone, kind, group, weight, since_ms, ..EntryRef::default() };
            self.entries.push(&listing.with_status(status));
        } else {
            // Invalid JSON makes the whole object unreadable; valid JSON that is no entry only this entry.
            let value: Value = serde_json::from_slice(&self.entry)?;
            match Entry::deserialize(&value) {
                Ok(entry) => self.entries.push(&EntryRef::from(&entry)),
                Err(e) => {
                    problem = Some(e.to_string());
                    let name = value["name"].as_str();
                    name.into_iter().for_each(|name| self.entries.push(&EntryRef::removed(name)));
                }
            }
        }
        self.entry.clear();
        if let Some(problem) = problem {
            // Only the first one of a list is logged, and later their number.
            if self.unreadable == 0 {
                log::warn!("an entry of the list cannot be read: {problem}");
            }
            self.unreadable += 1;
        }
        Ok(())
    }

    /// Parses the frame of a complete object and resets the reader.
    fn finish_object(&mut self) -> Result<Update, ReadError> {
        let Reader { frame, mut entries, unreadable, .. } = std::mem::replace(self, Reader::new(self.limits));
        if unreadable > 1 {
            log::warn!("{unreadable} entries of the list cannot be read");
        }
        let list: List = serde_json::from_slice(&frame)?;
        // serde_json also accepts an object as an array of its values; the entries are then still in the frame.
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
