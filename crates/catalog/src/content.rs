//! Content hash of a list: the wrapping sum of its entries' hashes, so that a change can be applied at the cost of
//! one entry. It depends only on the names and texts of the entries, not on their order. It detects accidental
//! differences; it does not withstand deliberate collisions.

use std::collections::HashMap;

use xxhash_rust::xxh3::xxh3_64;

/// The content held under an index of the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Content {
    pub index: u64,
    pub hash: u64,
}

/// The hash that one entry adds to the content hash.
pub fn entry_hash(name: &str, text: &[u8]) -> u64 {
    // The length of the name distinguishes entries whose name and text are split differently.
    xxh3_64(text) ^ xxh3_64(name.as_bytes()).rotate_left(17) ^ name.len() as u64
}

/// Maintains the content hash of a list without the list itself, in 16 bytes per entry.
#[derive(Clone, Debug, Default)]
pub struct ContentHash {
    /// The hash of each entry by the hash of its name.
    entries: HashMap<u64, u64>,
    sum: u64,
}

impl ContentHash {
    /// Resets to an empty list.
    pub fn clear(&mut self) {
        self.entries.clear();
        self.sum = 0;
    }

    /// Adds an entry, or replaces its text.
    pub fn insert(&mut self, name: &str, text: &[u8]) {
        let hash = entry_hash(name, text);
        let before = self.entries.insert(xxh3_64(name.as_bytes()), hash).unwrap_or(0);
        self.sum = self.sum.wrapping_sub(before).wrapping_add(hash);
    }

    /// Removes an entry.
    pub fn remove(&mut self, name: &str) {
        let before = self.entries.remove(&xxh3_64(name.as_bytes())).unwrap_or(0);
        self.sum = self.sum.wrapping_sub(before);
    }

    /// The content hash of all entries.
    pub fn value(&self) -> u64 {
        self.sum
    }
}
