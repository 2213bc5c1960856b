//! Evaluates what the target requires of each role from measured slopes, and renders the tables of
//! `docs/CAPACITY.md`. `file` parses `docs/capacity/capacity.toml`, `evaluate` does the arithmetic, `page`
//! renders the tables. The library works on strings only; `main` reads and writes the files.
#![forbid(unsafe_code)]

pub mod evaluate;
pub mod file;
pub mod page;
