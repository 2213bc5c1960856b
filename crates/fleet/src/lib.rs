//! Membership of the couriers: which of them are alive, since when, how certain that is, and whether this
//! courier is in a minority partition. `view` and `elect` hold the decisions; `wire` encodes and decodes
//! datagrams; `node` is the membership of one courier without socket or clock (the SWIM protocol is
//! implemented by the `foca` library); `thread` runs a node on a UDP socket and connects it to the rest of
//! the courier.
#![forbid(unsafe_code)]

pub mod elect;
pub mod node;
pub mod thread;
pub mod view;
pub mod wire;

/// Tenths of a millisecond since a point in time chosen by the caller.
pub type Time = u64;
pub const SECOND: Time = 10_000;
