//! meadowhold decides when and where a courier delivers its mails. No I/O, no clock, no protocol.
#![forbid(unsafe_code)]

pub mod control;
pub mod interface;
pub mod interner;
mod state;
