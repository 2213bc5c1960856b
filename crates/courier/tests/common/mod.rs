//! The rig's scripted mock services on loopback, and a courier process to run against them.
#![allow(unused_imports, dead_code)]

use meadowhold_courier::journal::{Journal, JournalContents};
pub use meadowhold_rig::scripted::*;

/// Opens the journal of a folder that an earlier process may have left. A child process that another test is just spawning
/// holds all descriptors of this process for a moment, and with them the lock.
pub fn open_journal(folder: &Folder, allowance: u64) -> (Journal, JournalContents) {
    let mut journal = None;
    wait_until("the folder's lock", || match Journal::open(&folder.path, allowance) {
        Err(e) if e.to_string().contains("another courier") => false,
        opened => journal.replace(opened.unwrap()).is_none(),
    });
    journal.unwrap()
}
