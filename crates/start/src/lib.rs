//! Paces the start of a courier, so that hundreds can start at once: when it requests the endpoint list, opens
//! connections, offers the mails that an earlier process took on to the decisions, and first answers `PING`.
//! Pure logic: no I/O, no clock, no logging. Time, names and random numbers are passed in; the actions to take
//! are returned. Times are in ticks of 0.1 ms on the caller's clock.
#![forbid(unsafe_code)]

pub mod backlog;
pub mod connection_pacing;
pub mod endpoint_state;
pub mod list_request;
pub mod stagger;
pub mod start;
