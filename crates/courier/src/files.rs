//! The file operations of the journal, behind a trait so that tests can make each of them fail.

use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, ErrorKind, Write};
use std::path::Path;
use std::thread;
use std::time::Duration;

use crate::system_errors::is_local;

/// Attempts to read a file, and the pause between them.
const READ_ATTEMPTS: u32 = 50;
const READ_RETRY_PAUSE: Duration = Duration::from_millis(20);

/// The file operations that the journal needs.
pub trait FileSystem {
    fn create_folder(&self, path: &Path) -> io::Result<()>;

    /// Creates or opens a lock file and locks it for as long as it stays open.
    fn lock(&self, path: &Path) -> io::Result<File>;

    fn read(&self, path: &Path) -> io::Result<Vec<u8>>;

    /// Creates a file for appending; fails if it exists.
    fn create(&self, path: &Path) -> io::Result<File>;

    /// Opens an existing file for appending.
    fn open(&self, path: &Path) -> io::Result<File>;

    fn append(&self, file: &mut File, bytes: &[u8]) -> io::Result<()>;

    fn truncate(&self, file: &File, length: u64) -> io::Result<()>;

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()>;

    fn remove(&self, path: &Path) -> io::Result<()>;
}

/// The file system of the operating system.
pub struct OsFileSystem;

impl FileSystem for OsFileSystem {
    fn create_folder(&self, path: &Path) -> io::Result<()> {
        fs::create_dir_all(path)
    }

    fn lock(&self, path: &Path) -> io::Result<File> {
        let lock = File::create(path)?;
        match lock.try_lock() {
            Err(TryLockError::WouldBlock) => {
                return Err(io::Error::other("another courier process has locked the folder"))
            }
            Err(TryLockError::Error(e)) => log::warn!("the state folder cannot be locked: {e}"),
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

/// Linux's code for a device error; `ErrorKind` has no variant for it.
const EIO: i32 = 5;

/// Whether a retry may succeed with an unchanged configuration: no space left, a device error, an interrupted call, or a
/// shortage of memory or descriptors.
pub fn is_transient(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::StorageFull | ErrorKind::QuotaExceeded)
        || error.raw_os_error() == Some(EIO)
        || is_local(error)
}

/// Reads a file, again for a while if that fails for a cause that may pass.
///
/// # Errors
/// The last error if the file still cannot be read.
pub fn read_patiently(files: &dyn FileSystem, path: &Path) -> io::Result<Vec<u8>> {
    let mut read = files.read(path);
    for _ in 1..READ_ATTEMPTS {
        match &read {
            Err(e) if is_transient(e) => thread::sleep(READ_RETRY_PAUSE),
            _ => return read,
        }
        read = files.read(path);
    }
    read
}
