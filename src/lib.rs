//! Decides when and where a courier delivers its mails. Does no I/O, reads no clock and knows no protocol.
#![forbid(unsafe_code)]

pub mod control;
pub mod interface;
pub mod interner;
mod liveness;
pub mod response_order;
mod state;
