//! The file operations of a courier's journal, behind a trait, so that a test can make each of them fail.

use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, ErrorKind, Write};
use std::path::Path;

/// What the journal does with files.
pub trait FileSystem {
    fn create_folder(&self, path: &Path) -> io::Result<()>;

    /// Makes a file for a lock, or opens the one that is there, and locks it for as long as it is open.
    fn lock(&self, path: &Path) -> io::Result<File>;

    fn read(&self, path: &Path) -> io::Result<Vec<u8>>;

    /// Makes a file that is not there yet, for appending.
    fn create(&self, path: &Path) -> io::Result<File>;

    /// Opens a file that is there, for appending.
    fn open(&self, path: &Path) -> io::Result<File>;

    fn append(&self, file: &mut File, bytes: &[u8]) -> io::Result<()>;

    /// Cuts a file to this length.
    fn truncate(&self, file: &File, length: u64) -> io::Result<()>;

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()>;

    fn remove(&self, path: &Path) -> io::Result<()>;
}

/// The files of the system.
pub struct OsFileSystem;

impl FileSystem for OsFileSystem {
    fn create_folder(&self, path: &Path) -> io::Result<()> {
        fs::create_dir_all(path)
    }

    fn lock(&self, path: &Path) -> io::Result<File> {
        let lock = File::create(path)?;
        match lock.try_lock() {
            Err(TryLockError::WouldBlock) => return Err(io::Error::other("another courier has it open")),
            Err(TryLockError::Error(e)) => log::warn!("the folder cannot be locked: {e}"),
            Ok(()) => {}
        }
        Ok(lock)
    }

    fn read(&self, path: &Path) -> io::Result<Vec<u8>> {
        fs::read(path)
    }

    fn create(&self, path: &Path) -> io::Result<File> {
        OpenOptions::new().create_new(true).append(true).open(path)
    }

    fn open(&self, path: &Path) -> io::Result<File> {
        OpenOptions::new().append(true).open(path)
    }

    fn append(&self, file: &mut File, bytes: &[u8]) -> io::Result<()> {
        file.write_all(bytes)
    }

    fn truncate(&self, file: &File, length: u64) -> io::Result<()> {
        file.set_len(length)
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        fs::rename(from, to)
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        fs::remove_file(path)
    }
}

/// Linux's number for an error of the device, which has no kind of its own.
const EIO: i32 = 5;

/// Whether the same may go well later, with nothing changed in the configuration: no room, or a fault of the device.
pub fn is_transient(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::StorageFull | ErrorKind::QuotaExceeded)
        || error.raw_os_error() == Some(EIO)
}
