//! What the target asks of each role, reckoned from slopes that were measured, and the tables of `docs/CAPACITY.md`.
//! `file` reads what stands in `docs/capacity/capacity.toml`, `reckon` does the arithmetic, `page` writes the tables.
//! Nothing here reads or writes a file: texts come in and go out, and `main` has the disk.
#![forbid(unsafe_code)]

pub mod evaluate;
pub mod file;
pub mod page;
