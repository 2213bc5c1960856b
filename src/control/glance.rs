//! What can be seen of the decisions from outside, for plots alone. Nothing is decided here.

use super::{Control, Standing};

impl Control {
    /// What an endpoint is held to be.
    pub fn standing(&self, endpoint: usize) -> Option<Standing> {
        self.endpoints.get(endpoint).filter(|e| e.known).map(|e| e.standing)
    }

    /// A destination's cap, calls out and parked mails.
    pub fn glance(&self, dest: usize) -> Option<(usize, usize, usize)> {
        self.dests.get(dest).map(|d| (self.cap(dest), d.out, d.waiting()))
    }
}
