//! Shares the event loop between clients and the rest of the courier. In each turn of the loop one connection may read and
//! answer a little; the others wait for their turns in the order in which they came. Calls, notices and timers run in
//! every turn, so that no number of clients keeps them waiting.

use tokio::sync::{Semaphore, SemaphorePermit};
use tokio::task::yield_now;

/// The most bytes that a connection reads in a turn.
pub const READ_SIZE: usize = 4096;
/// Work that a connection may do in a turn, in bytes of input.
const TURN_WORK: usize = READ_SIZE;
/// Work of a command, and of a request to take on a message, besides that for its bytes.
const COMMAND_WORK: usize = 32;
const REQUEST_WORK: usize = 256;

/// The turns of all connections.
pub struct Turns {
    permit: Semaphore,
}

impl Turns {
    pub fn new() -> Turns {
        Turns { permit: Semaphore::new(1) }
    }

    /// Waits for the connection's next turn.
    pub async fn next(&self) -> Turn<'_> {
        // The semaphore is never closed.
        Turn { turns: self, permit: self.permit.acquire().await.ok(), work: 0 }
    }
}

/// A turn of one connection.
pub struct Turn<'a> {
    turns: &'a Turns,
    permit: Option<SemaphorePermit<'a>>,
    work: usize,
}

impl Turn<'_> {
    /// Counts a command of this many bytes.
    pub fn add_command(&mut self, bytes: usize) {
        self.work += COMMAND_WORK + bytes;
    }

    /// Counts a request to take on a message.
    pub fn add_request(&mut self) {
        self.work += REQUEST_WORK;
    }

    /// Whether the turn's work is done.
    pub fn is_over(&self) -> bool {
        self.work >= TURN_WORK
    }

    /// Ends the turn. What was done beyond the work of one turn is made up for by waiting for as many further turns.
    pub async fn end(mut self) {
        let mut turns_owed = self.work / TURN_WORK;
        loop {
            yield_now().await;
            drop(self.permit.take());
            if turns_owed <= 1 {
                return;
            }
            turns_owed -= 1;
            self.permit = self.turns.permit.acquire().await.ok();
        }
    }
}
