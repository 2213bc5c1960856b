//! Distributes the endpoint list to many followers: versions that never go back (`versions`), content hashes
//! (`content`), the partitioned list with its recent changes (`store`), and each follower's choice of a relay
//! (`choice`). Pure logic: no I/O, no clock, no random numbers of its own.
#![forbid(unsafe_code)]

pub mod choice;
pub mod content;
pub mod store;
pub mod versions;

/// Ticks of 0.1 ms on the caller's clock.
pub type Time = u64;
pub const SECOND: Time = 10_000;
