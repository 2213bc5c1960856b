//! The content hash of a list: a sum over its entries, so that one change costs one entry. Who holds the same entries
//! under the same names has the same hash, in whatever order they came. It guards against accidents, not against
//! somebody who searches for a collision.

use std::collections::HashMap;

use xxhash_rust::xxh3::xxh3_64;

/// Which content is held under which index.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Content {
    pub index: u64,
    pub hash: u64,
}

/// The part that one entry has in the content hash.
pub fn entry_hash(name: &str, text: &[u8]) -> u64 {
    // The name's length too: guards against a name and a text that share their bytes otherwise.
    xxh3_64(text) ^ xxh3_64(name.as_bytes()).rotate_left(17) ^ name.len() as u64
}

/// The content hash of a list of which nothing else is kept: sixteen bytes an entry.
#[derive(Clone, Debug, Default)]
pub struct ContentHash {
    /// The hash of each entry by the hash of its name.
    entries: HashMap<u64, u64>,
    sum: u64,
}

impl ContentHash {
    /// Begins again with an empty list.
    pub fn clear(&mut self) {
        self.entries.clear();
        self.sum = 0;
    }

    /// An entry is listed, or listed with another text.
    pub fn insert(&mut self, name: &str, text: &[u8]) {
        let hash = entry_hash(name, text);
        let before = self.entries.insert(xxh3_64(name.as_bytes()), hash).unwrap_or(0);
        self.sum = self.sum.wrapping_sub(before).wrapping_add(hash);
    }

    /// An entry is listed no more.
    pub fn remove(&mut self, name: &str) {
        let before = self.entries.remove(&xxh3_64(name.as_bytes())).unwrap_or(0);
        self.sum = self.sum.wrapping_sub(before);
    }

    /// The hash of all entries that are listed.
    pub fn value(&self) -> u64 {
        self.sum
    }
}
