//! A fingerprint of all that happened, in order, and the history of one mail in words.

use meadowhold::interface::Time;
use xxhash_rust::xxh3::Xxh3;

pub struct Trace {
    hash: Xxh3,
    buffer: Vec<u8>,
    watched: Option<u32>,
    history: Vec<(Time, String)>,
}

/// Bytes gathered before they are hashed together.
const GATHERED: usize = 1 << 13;

impl Trace {
    pub fn new(watched: Option<u32>) -> Trace {
        Trace { hash: Xxh3::new(), buffer: Vec::with_capacity(GATHERED + 64), watched, history: Vec::new() }
    }

    /// Something happened: when, what, to whom.
    pub fn mark(&mut self, at: Time, what: u8, who: [u32; 2]) {
        self.buffer.extend_from_slice(&at.to_le_bytes());
        self.buffer.push(what);
        self.buffer.extend_from_slice(&who[0].to_le_bytes());
        self.buffer.extend_from_slice(&who[1].to_le_bytes());
        if self.buffer.len() >= GATHERED {
            self.hash.update(&self.buffer);
            self.buffer.clear();
        }
    }

    /// A line of the watched mail's history; the words are made only for that one.
    pub fn note(&mut self, at: Time, mail: u32, words: impl FnOnce() -> String) {
        if self.watched == Some(mail) {
            self.history.push((at, words()));
        }
    }

    pub fn end(mut self) -> (u64, Vec<(Time, String)>) {
        self.hash.update(&self.buffer);
        (self.hash.digest(), self.history)
    }
}
