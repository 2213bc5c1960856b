//! What a starting courier may do when, so that hundreds can start at once: asking for the list, opening
//! connections, offering the mails that an earlier process took on, answering its first `PING`.
//! Decisions only: no I/O, no clock, no logging. Time, names and chance are handed in; what is to be done comes
//! out. Times are whole tenths of a millisecond on the caller's clock, as everywhere.
#![forbid(unsafe_code)]

pub mod backlog;
pub mod connection_pacing;
pub mod endpoint_state;
pub mod list_request;
pub mod stagger;
pub mod start;
