//! Compact entries of the list: serialized with postcard one after the other, about fifty bytes each. This is their form
//! while a list is received and in the list file.

use meadowhold::interface::EndpointStatus;
use serde::{Deserialize, Serialize};

use crate::discovery::{Entry, List};

/// An entry that borrows its texts, mostly from packed bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EntryRef<'a> {
    /// The first field, so that `packed_name` can read it without decoding the rest.
    pub name: &'a str,
    pub address: &'a str,
    pub zone: &'a str,
    pub kind: &'a str,
    pub group: u64,
    pub(crate) status: u8,
    pub weight: f64,
    pub since_ms: u64,
}

const REMOVED: u8 = 0;
const SERVING: u8 = 1;
const DRAINING: u8 = 2;

impl<'a> EntryRef<'a> {
    pub fn removed(name: &'a str) -> EntryRef<'a> {
        EntryRef { name, ..EntryRef::default() }
    }

    pub fn with_status(self, status: &str) -> EntryRef<'a> {
        let status = match endpoint_status(status) {
            EndpointStatus::Ready => SERVING,
            EndpointStatus::Draining => DRAINING,
            EndpointStatus::Removed => REMOVED,
        };
        EntryRef { status, ..self }
    }

    pub fn endpoint_status(&self) -> EndpointStatus {
        match self.status {
            SERVING => EndpointStatus::Ready,
            DRAINING => EndpointStatus::Draining,
            _ => EndpointStatus::Removed,
        }
    }

    pub fn status(&self) -> &'static str {
        match self.status {
            SERVING => "SERVING",
            DRAINING => "DRAINING",
            _ => "DELETED",
        }
    }
}

/// Translates the status of an entry; any unknown one counts as deleted.
pub fn endpoint_status(status: &str) -> EndpointStatus {
    match status {
        "SERVING" => EndpointStatus::Ready,
        "DRAINING" => EndpointStatus::Draining,
        _ => EndpointStatus::Removed,
    }
}

impl<'a> From<&'a Entry> for EntryRef<'a> {
    fn from(entry: &'a Entry) -> EntryRef<'a> {
        let Entry { name, address, zone, kind, group, status, weight, since_ms } = entry;
        let (group, weight, since_ms) = (*group, *weight, *since_ms);
        EntryRef { name, address, zone, kind, group, status: REMOVED, weight, since_ms }.with_status(status)
    }
}

/// Packed entries in the order in which they were listed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Entries {
    bytes: Vec<u8>,
    count: usize,
}

impl Entries {
    pub fn push(&mut self, entry: &EntryRef) {
        // Writing to a vector cannot fail.
        if postcard::to_io(entry, &mut self.bytes).is_ok() {
            self.count += 1;
        }
    }

    pub fn single(entry: &EntryRef) -> Entries {
        let mut one = Entries::default();
        one.push(entry);
        one
    }

    /// Appends an entry that is already packed.
    pub fn push_packed(&mut self, packed: &[u8]) {
        self.bytes.extend_from_slice(packed);
        self.count += 1;
    }

    pub fn len(&self) -> usize {
        self.count
    }

    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    pub fn iter(&self) -> impl Iterator<Item = EntryRef<'_>> {
        unpack(&self.bytes).map_while(|(entry, _)| entry)
    }
}

/// Decodes packed entries, each with its own bytes. Ends after the first one that cannot be decoded, which is `None`.
pub fn unpack(bytes: &[u8]) -> impl Iterator<Item = (Option<EntryRef<'_>>, &[u8])> {
    let mut rest = bytes;
    std::iter::from_fn(move || {
        if rest.is_empty() {
            return None;
        }
        let before = rest;
        match postcard::take_from_bytes::<EntryRef>(before) {
            Ok((entry, after)) => {
                rest = after;
                Some((Some(entry), &before[..before.len() - after.len()]))
            }
            Err(_) => {
                rest = &[];
                Some((None, before))
            }
        }
    })
}

/// The name of a packed entry, without decoding the rest: hash tables of entries need it often. The length of most names
/// fits in one byte.
pub fn packed_name(packed: &[u8]) -> &[u8] {
    match packed.split_first() {
        Some((&length @ ..0x80, rest)) => rest.get(..usize::from(length)).unwrap_or_default(),
        _ => postcard::take_from_bytes::<&[u8]>(packed).map_or(&[], |(name, _)| name),
    }
}

/// A whole list, or changes to a list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Update {
    pub index: u64,
    pub whole: bool,
    pub entries: Entries,
}

impl Update {
    /// How many entries these changes add; `has` tells whether an entry of this name exists.
    pub fn count_added(&self, has: impl Fn(&str) -> bool) -> usize {
        self.entries
            .iter()
            .filter(|entry| entry.endpoint_status() != EndpointStatus::Removed && !has(entry.name))
            .count()
    }
}

impl From<&List> for Update {
    fn from(list: &List) -> Update {
        let mut entries = Entries::default();
        list.endpoints.iter().for_each(|entry| entries.push(&entry.into()));
        Update { index: list.index, whole: list.snapshot, entries }
    }
}
