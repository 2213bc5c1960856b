//! A hash of all events in order, and the readable history of one mail.

use meadowhold::interface::Time;
use xxhash_rust::xxh3::Xxh3;

pub struct Trace {
    hash: Xxh3,
    buffer: Vec<u8>,
    watched: Option<u32>,
    history: Vec<(Time, String)>,
}

/// Number of bytes buffered before they are hashed.
const BUFFER_SIZE: usize = 1 << 13;

impl Trace {
    pub fn new(watched: Option<u32>) -> Trace {
        Trace {
            hash: Xxh3::new(),
            buffer: Vec::with_capacity(BUFFER_SIZE + 64),
            watched,
            history: Vec::new(),
        }
    }

    /// Adds an event to the hash: its time, code and subjects.
    pub fn record_event(&mut self, at: Time, what: u8, who: [u32; 2]) {
        self.buffer.extend_from_slice(&at.to_le_bytes());
        self.buffer.push(what);
        self.buffer.extend_from_slice(&who[0].to_le_bytes());
        self.buffer.extend_from_slice(&who[1].to_le_bytes());
        if self.buffer.len() >= BUFFER_SIZE {
            self.hash.update(&self.buffer);
            self.buffer.clear();
        }
    }

    /// Adds a line to the history of the watched mail; the text is built only for that mail.
    pub fn record_history(&mut self, at: Time, mail: u32, words: impl FnOnce() -> String) {
        if self.watched == Some(mail) {
            self.history.push((at, words()));
        }
    }

    pub fn end(mut self) -> (u64, Vec<(Time, String)>) {
        self.hash.update(&self.buffer);
        (self.hash.digest(), self.history)
    }
}
