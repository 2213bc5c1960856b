//! The list in force at many followers: versions that never go back (`versions`), the list in partitions with
//! what changed lately (`store`), and which relay a follower uses (`choice`). No I/O, no clock, no chance of
//! its own.
#![forbid(unsafe_code)]

pub mod choice;
pub mod content;
pub mod store;
pub mod versions;

/// Tenths of a millisecond, counted from a moment that the caller chose.
pub type Time = u64;
pub const SECOND: Time = 10_000;
