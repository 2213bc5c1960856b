//! A file system whose operations can be made to fail.
#![allow(dead_code)]

use std::cell::Cell;
use std::fs::File;
use std::io;
use std::path::Path;
use std::rc::Rc;

use meadowhold_courier::files::{FileSystem, OsFileSystem};

/// The real file system, with a range of operations that fail, counted from the first one.
pub struct FailingFileSystem {
    pub operations: Cell<u32>,
    pub fail_from: Cell<u32>,
    pub fail_count: Cell<u32>,
    pub error_code: i32,
    /// A failing append still writes the first half of its bytes.
    pub partial_writes: bool,
    /// Further reads that fail.
    pub failing_reads: Cell<u32>,
}

impl FailingFileSystem {
    pub fn new(
        fail_from: u32,
        fail_count: u32,
        error_code: i32,
        partial_writes: bool,
    ) -> Rc<FailingFileSystem> {
        let (operations, fail_from, fail_count) = (Cell::new(0), Cell::new(fail_from), Cell::new(fail_count));
        let failing_reads = Cell::new(0);
        Rc::new(FailingFileSystem {
            operations,
            fail_from,
            fail_count,
            error_code,
            partial_writes,
            failing_reads,
        })
    }

    fn next_operation(&self) -> io::Result<()> {
        let at = self.operations.replace(self.operations.get() + 1);
        let from = self.fail_from.get();
        match (from..from.saturating_add(self.fail_count.get())).contains(&at) {
            true => Err(io::Error::from_raw_os_error(self.error_code)),
            false => Ok(()),
        }
    }

    /// From now on, all operations fail.
    pub fn fail(&self) {
        self.fail_from.set(self.operations.get());
        self.fail_count.set(u32::MAX);
    }

    pub fn repair(&self) {
        self.fail_count.set(0);
    }
}

impl FileSystem for FailingFileSystem {
    fn create_folder(&self, path: &Path) -> io::Result<()> {
        self.next_operation()?;
        OsFileSystem.create_folder(path)
    }

    fn lock(&self, path: &Path) -> io::Result<File> {
        self.next_operation()?;
        OsFileSystem.lock(path)
    }

    fn read(&self, path: &Path) -> io::Result<Vec<u8>> {
        match self.failing_reads.get() {
            0 => OsFileSystem.read(path),
            left => {
                self.failing_reads.set(left - 1);
                Err(io::Error::from_raw_os_error(self.error_code))
            }
        }
    }

    fn create(&self, path: &Path) -> io::Result<File> {
        self.next_operation()?;
        OsFileSystem.create(path)
    }

    fn open(&self, path: &Path) -> io::Result<File> {
        self.next_operation()?;
        OsFileSystem.open(path)
    }

    fn append(&self, file: &mut File, bytes: &[u8]) -> io::Result<()> {
        let failed = self.next_operation();
        if failed.is_err() && self.partial_writes {
            OsFileSystem.append(file, &bytes[..bytes.len() / 2])?;
        }
        failed?;
        OsFileSystem.append(file, bytes)
    }

    fn truncate(&self, file: &File, length: u64) -> io::Result<()> {
        self.next_operation()?;
        OsFileSystem.truncate(file, length)
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        self.next_operation()?;
        OsFileSystem.rename(from, to)
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        // Never fails: the journal ignores errors of removal.
        OsFileSystem.remove(path)
    }
}
