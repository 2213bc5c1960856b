//! Reads lists as they come: the text of one entry at a time, and of the object itself what is left without its
//! entries, is held and given to serde_json; entries that were read are packed. An object counts once it is complete.

use std::borrow::Cow;

use serde::de::Error;
use serde::Deserialize;
use serde_json::Value;

use crate::discovery::{Entry, List};
use crate::entries::{Entries, Listing, Update};

/// Of one entry, in bytes of text: a longer one is passed over.
const MOST_ENTRY: usize = 16 << 10;
/// Of an object without its entries.
const MOST_FRAME: usize = 64 << 10;

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
pub enum Fault {
    Unreadable(serde_json::Error),
    /// It is past a limit of the configuration, which the words name.
    TooLong(String),
}

impl From<serde_json::Error> for Fault {
    fn from(error: serde_json::Error) -> Fault {
        Fault::Unreadable(error)
    }
}

fn unreadable(words: &str) -> Fault {
    Fault::Unreadable(serde_json::Error::custom(words))
}

impl Limits {
    pub fn too_many(&self) -> Fault {
        Fault::TooLong(format!("the list has more than {} entries (limits.list_entries)", self.entries))
    }

    fn too_long(&self) -> Fault {
        let megabytes = self.bytes as f64 / 1e6;
        Fault::TooLong(format!("the list is longer than {megabytes} MB (limits.list_mb)"))
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
    text: bool,
    escaped: bool,
    /// The object without its entries.
    frame: Vec<u8>,
    /// Where in the frame the last text of the object itself is, and whether that was the name of the entries, of which
    /// the value comes next.
    word: (usize, usize),
    named: bool,
    /// Within the list of entries, and there after a comma.
    listing: bool,
    comma: bool,
    entry: Vec<u8>,
    /// The entry is longer than one may be.
    long: bool,
    seen: usize,
    /// Entries that cannot be read.
    spoilt: usize,
    entries: Entries,
    /// Bytes of the object.
    read: usize,
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
            self.read
        }
    }

    /// Reads on; `each` is given what is complete. Whether there was something between objects, such as an empty line.
    pub fn read(
        &mut self,
        bytes: &[u8],
        mut each: impl FnMut(Update) -> Result<(), Fault>,
    ) -> Result<bool, Fault> {
        let (mut rest, mut blank) = (bytes, false);
        while let Some((&byte, after)) = rest.split_first() {
            if self.depth == 0 && is_blank(byte) {
                (rest, blank) = (after, true);
                continue;
            }
            // All of a text at once, up to what may end it: nothing in it counts.
            let run = match self.listing && self.text && !self.escaped {
                true => memchr::memchr2(b'"', b'\\', rest).unwrap_or(rest.len()),
                false => 0,
            };
            self.read += run.max(1);
            if self.read > self.limits.bytes {
                return Err(self.limits.too_long());
            }
            if run > 0 {
                let fits = run.min(MOST_ENTRY.saturating_sub(self.entry.len()));
                self.entry.extend_from_slice(&rest[..fits]);
                self.long |= fits < run;
                rest = &rest[run..];
                continue;
            }
            rest = after;
            if self.listing {
                self.list(byte)?;
            } else if self.frame(byte)? {
                each(self.complete()?)?;
            }
        }
        Ok(blank)
    }

    /// Keeps count of the depth.
    fn count(&mut self, byte: u8) {
        match byte {
            _ if self.escaped => self.escaped = false,
            b'\\' if self.text => self.escaped = true,
            b'"' => self.text = !self.text,
            _ if self.text => {}
            b'{' | b'[' => self.depth = self.depth.saturating_add(1),
            b'}' | b']' => self.depth = self.depth.saturating_sub(1),
            _ => {}
        }
    }

    /// A byte of the object that is none of its entries; whether it was the last one.
    fn frame(&mut self, byte: u8) -> Result<bool, Fault> {
        let (own, before) = (self.depth == 1 && !self.text, self.frame.len());
        if self.depth == 0 && byte != b'{' && byte != b'[' {
            return Err(unreadable("what comes is no object"));
        }
        // Guards against an object that fills the memory with what is no entry.
        if before == MOST_FRAME {
            return Err(unreadable("the object has too much besides its entries"));
        }
        self.frame.push(byte);
        let in_text = self.text;
        self.count(byte);
        match byte {
            b'"' if own => self.word.0 = before,
            b'"' if self.depth == 1 && in_text && !self.text => self.word.1 = before + 1,
            _ => {}
        }
        if own && byte == b':' {
            let word = &self.frame[self.word.0.min(self.word.1)..self.word.1];
            self.named = serde_json::from_slice::<Cow<str>>(word).is_ok_and(|word| word == "endpoints");
        } else if own && !is_blank(byte) {
            self.listing = self.named && byte == b'[';
            self.named = false;
        }
        Ok(self.depth == 0)
    }

    /// A byte within the list of entries.
    fn list(&mut self, byte: u8) -> Result<(), Fault> {
        let between = self.depth == 2 && !self.text;
        match byte {
            b',' if between && self.entry.is_empty() => return Err(unreadable("an entry is missing")),
            b',' if between => {
                self.finish()?;
                self.comma = true;
            }
            b']' if between && self.entry.is_empty() && self.comma => {
                return Err(unreadable("a comma has nothing after it"));
            }
            b']' if between => {
                if !self.entry.is_empty() {
                    self.finish()?;
                }
                (self.listing, self.comma) = (false, false);
                self.frame(byte)?;
            }
            b'}' if between => return Err(unreadable("the list of entries has another end")),
            _ if between && self.entry.is_empty() && is_blank(byte) => {}
            _ => {
                if self.entry.len() < MOST_ENTRY {
                    self.entry.push(byte);
                } else {
                    self.long = true;
                }
                self.count(byte);
            }
        }
        Ok(())
    }

    /// An entry has come. Guards against one that cannot be read and would cost all the others: it counts as not
    /// listed, also if it is one of changes and was listed before.
    fn finish(&mut self) -> Result<(), Fault> {
        self.comma = false;
        if self.seen == self.limits.entries {
            return Err(self.limits.too_many());
        }
        self.seen += 1;
        let mut words = None;
        if std::mem::take(&mut self.long) {
            words = Some("it is too long".to_string());
        } else if let Ok(raw) = serde_json::from_slice::<Raw>(&self.entry) {
            let Raw { name, address, zone, kind, group, status, weight, since_ms } = &raw;
            let (group, weight, since_ms) = (*group, *weight, *since_ms);
            let listing =
                Listing { name, address, zone, kind, group, weight, since_ms, ..Listing::default() };
            self.entries.push(&listing.with_status(status));
        } else {
            // What is no JSON spoils the whole.
            let value: Value = serde_json::from_slice(&self.entry)?;
            match Entry::deserialize(&value) {
                Ok(entry) => self.entries.push(&Listing::from(&entry)),
                Err(e) => {
                    words = Some(e.to_string());
                    let name = value["name"].as_str();
                    name.into_iter().for_each(|name| self.entries.push(&Listing::gone(name)));
                }
            }
        }
        self.entry.clear();
        if let Some(words) = words {
            // One line for all of a list.
            if self.spoilt == 0 {
                log::warn!("an entry of the list: {words}");
            }
            self.spoilt += 1;
        }
        Ok(())
    }

    /// The object that has come.
    fn complete(&mut self) -> Result<Update, Fault> {
        let Reader { frame, mut entries, spoilt, .. } = std::mem::replace(self, Reader::new(self.limits));
        if spoilt > 1 {
            log::warn!("{spoilt} entries of the list cannot be read");
        }
        let list: List = serde_json::from_slice(&frame)?;
        // An object may be written as a list of its values, and then has its entries here.
        if entries.len() + list.endpoints.len() > self.limits.entries {
            return Err(self.limits.too_many());
        }
        list.endpoints.iter().for_each(|entry| entries.push(&entry.into()));
        Ok(Update { index: list.index, whole: list.snapshot, entries })
    }
}

fn is_blank(byte: u8) -> bool {
    matches!(byte, b' ' | b'\t' | b'\n' | b'\r')
}
