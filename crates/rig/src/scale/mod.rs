//! The scale run: a whole fleet on one machine, most of it hollow, held against what the source made and measured from
//! outside. `docs/scale.md` says what it promises.

pub mod books;
pub mod day;
pub mod gauge;
pub mod guard;
pub mod hollow;
pub mod on_file;
pub mod process;
pub mod report;
pub mod run;
pub mod series;
pub mod sorter;
pub mod source;
pub mod sums;
pub mod versions;
