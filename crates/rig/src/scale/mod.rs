//! The scale run: a whole fleet on one machine, mostly of hollow couriers. Checks the couriers against the versions
//! that the source published, and measures them from outside. `docs/scale.md` states the guarantees.

pub mod day;
pub mod endpoint_proxy;
pub mod gauge;
pub mod guard;
pub mod hollow;
pub mod on_file;
pub mod process;
pub mod report;
pub mod run;
pub mod series;
pub mod source;
pub mod sums;
pub mod tracker;
pub mod versions;
