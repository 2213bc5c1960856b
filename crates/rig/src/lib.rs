//! Real couriers, each a process with its own address, folder and configuration, among stand-ins for clients, endpoints
//! and the platform. Every link passes a relay with a knob for each fault; a day is a file of TOML, and a seed draws
//! its load and its troubles; a judge counts from outside. `docs/rig.md` says what it promises.
#![forbid(unsafe_code)]

pub mod client;
pub mod command;
pub mod day;
pub mod endpoint;
pub mod fit;
pub mod judge;
pub mod list;
pub mod process;
pub mod record;
pub mod relay;
pub mod run;
pub mod scale;
pub mod schedule;
pub mod scripted;
pub mod slopes;
pub mod soak;
