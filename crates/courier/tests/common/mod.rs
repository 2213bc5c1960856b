//! The rig's scripted mock services on loopback, and a courier process to run against them.
#![allow(unused_imports)]

pub use meadowhold_rig::scripted::*;
