//! Integration test rig: runs real couriers, each a process with its own address, folder and configuration, against
//! mock clients, endpoints and platform services. All traffic passes relays that can inject faults. A day is a TOML
//! file; a seed determines its load and its troubles. The judge checks the rules using only what was observed from
//! outside the couriers. `docs/rig.md` lists what is checked.
#![forbid(unsafe_code)]

pub mod client;
pub mod command;
pub mod crowd;
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
