//! The file of a long list: a log to which changes are appended, each ended by a commit record. The checksum of a record
//! continues that of the record before it, so that a missing, repeated or moved record is detected. Anything after the
//! last complete commit is ignored.

use std::fs::{self, File, OpenOptions};
use std::hash::{BuildHasher, RandomState};
use std::io::{self, BufWriter, Write};
use std::path::Path;

use hashbrown::HashTable;
use meadowhold::interface::{EndpointStatus, Time};

use crate::entries::{packed_name, unpack, Entries, EntryRef, Update};

pub const MAGIC: &[u8] = b"meadowhold list 1\n";
/// The header of a record: length of the body and checksum, both 32-bit big-endian, then the kind. The body follows.
const HEADER_LEN: usize = 9;
/// The first record: the deployment that the list belongs to.
const BEGIN: u8 = b'B';
/// Packed entries; deleted ones have only their name.
const ENTRIES: u8 = b'E';
/// Commits the records of entries since the previous commit: time, version and number of entries in the list.
const COMMIT: u8 = b'C';
/// A record of entries is written once it has at least this many bytes.
const RECORD_LEN: usize = 64 << 10;

/// The list as packed entries, indexed by name.
#[derive(Default)]
pub struct Table {
    entries: HashTable<Box<[u8]>>,
    hasher: RandomState,
    bytes: usize,
}

impl Table {
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    pub fn contains(&self, name: &str) -> bool {
        let hash = self.hasher.hash_one(name.as_bytes());
        self.entries.find(hash, |other| packed_name(other) == name.as_bytes()).is_some()
    }

    fn remove(&mut self, name: &[u8]) -> Option<Box<[u8]>> {
        let found = self.entries.find_entry(self.hasher.hash_one(name), |other| packed_name(other) == name);
        let (removed, _) = found.ok()?.remove();
        self.bytes -= removed.len();
        Some(removed)
    }

    fn insert(&mut self, entry: Box<[u8]>) {
        self.bytes += entry.len();
        let hasher = &self.hasher;
        self.entries.insert_unique(hasher.hash_one(packed_name(&entry)), entry, |other| {
            hasher.hash_one(packed_name(other))
        });
    }

    /// Inserts, replaces or removes one entry. Returns whether the list has changed.
    fn apply_entry(&mut self, entry: &EntryRef, packed: &[u8]) -> bool {
        let name = entry.name.as_bytes();
        if entry.endpoint_status() == EndpointStatus::Removed {
            return self.remove(name).is_some();
        }
        let hash = self.hasher.hash_one(name);
        match self.entries.find_mut(hash, |other| packed_name(other) == name) {
            Some(held) if **held == *packed => return false,
            Some(held) => {
                self.bytes = self.bytes - held.len() + packed.len();
                *held = packed.into();
            }
            None => self.insert(packed.into()),
        }
        true
    }

    /// Applies a whole list or changes. Passes each packed entry that differs from before to `changed`.
    pub fn apply(&mut self, list: &Update, mut changed: impl FnMut(&[u8])) {
        let mut before = Table::default();
        if list.whole {
            std::mem::swap(&mut before, self);
        }
        for (entry, packed) in unpack(list.entries.bytes()) {
            let Some(entry) = entry else { return };
            match before
                .remove(entry.name.as_bytes())
                .filter(|_| entry.endpoint_status() != EndpointStatus::Removed)
            {
                Some(held) if *held == *packed => self.insert(held),
                Some(_) => {
                    self.insert(packed.into());
                    changed(packed);
                }
                None if self.apply_entry(&entry, packed) => changed(packed),
                None => {}
            }
        }
        for left in &before.entries {
            let name = std::str::from_utf8(packed_name(left)).unwrap_or_default();
            changed(Entries::single(&EntryRef::removed(name)).bytes());
        }
    }

    /// The entries sorted by name, so that a loaded list always has the same order.
    pub fn sorted(&self) -> Vec<&[u8]> {
        let mut entries: Vec<&[u8]> = self.entries.iter().map(|entry| &**entry).collect();
        entries.sort_unstable_by_key(|entry| packed_name(entry));
        entries
    }

    /// An upper bound of the length of a new file with this list.
    pub fn file_len(&self, deployment: &str) -> u64 {
        let records = 3 + self.bytes / RECORD_LEN;
        (MAGIC.len() + deployment.len() + self.bytes + records * HEADER_LEN + 64) as u64
    }
}

/// The end of a file, where the next record is appended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Position {
    pub len: u64,
    /// The length of the file up to its first commit.
    pub base_len: u64,
    /// The checksum of the last record.
    checksum: u32,
}

/// Time, version and number of entries of a commit.
type Commit = (Time, u64, u64);

struct Writer<W> {
    out: W,
    position: Position,
}

impl<W: Write> Writer<W> {
    fn record(&mut self, kind: u8, body: &[u8]) -> io::Result<()> {
        let length = u32::try_from(body.len()).map_err(io::Error::other)?.to_be_bytes();
        let checksum = checksum(self.position.checksum, kind, body);
        for part in [&length[..], &checksum.to_be_bytes(), &[kind], body] {
            self.out.write_all(part)?;
        }
        self.position.len += (HEADER_LEN + body.len()) as u64;
        self.position.checksum = checksum;
        Ok(())
    }

    fn commit(&mut self, commit: Commit) -> io::Result<()> {
        self.record(COMMIT, &postcard::to_stdvec(&commit).map_err(io::Error::other)?)
    }
}

fn checksum(before: u32, kind: u8, body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new_with_initial(before);
    hasher.update(&(body.len() as u32).to_be_bytes());
    hasher.update(&[kind]);
    hasher.update(body);
    hasher.finalize()
}

/// Writes a new file and replaces the old one with it.
///
/// # Errors
/// I/O errors; the old file is then unchanged.
pub fn write(
    (temporary, path): (&Path, &Path),
    deployment: &str,
    table: &Table,
    (now, index): (Time, u64),
) -> io::Result<Position> {
    let written = (|| {
        let position = Position { len: MAGIC.len() as u64, base_len: 0, checksum: 0 };
        let mut writer = Writer { out: BufWriter::new(File::create(temporary)?), position };
        writer.out.write_all(MAGIC)?;
        writer.record(BEGIN, deployment.as_bytes())?;
        let mut record = Vec::with_capacity(RECORD_LEN + 1024);
        // Not sorted: sorting took as long as everything else together.
        for entry in &table.entries {
            record.extend_from_slice(entry);
            if record.len() >= RECORD_LEN {
                writer.record(ENTRIES, &record)?;
                record.clear();
            }
        }
        writer.record(ENTRIES, &record)?;
        writer.commit((now, index, table.len() as u64))?;
        writer.out.flush()?;
        fs::rename(temporary, path)?;
        Ok(Position { base_len: writer.position.len, ..writer.position })
    })();
    // An incomplete file would take disk space until the next start.
    written.inspect_err(|_| drop(fs::remove_file(temporary)))
}

/// The most bytes that appending these changes takes.
pub fn appended_len(changes: &[u8]) -> u64 {
    (changes.len() + 2 * HEADER_LEN + 30) as u64
}

/// Appends changes and a commit.
///
/// # Errors
/// I/O errors, or the file does not have the expected length. Nothing more may be appended to it then.
pub fn append(path: &Path, position: Position, changes: &[u8], commit: Commit) -> io::Result<Position> {
    let mut file = OpenOptions::new().append(true).open(path)?;
    if file.metadata()?.len() != position.len {
        return Err(io::Error::other("the list file was changed by another process"));
    }
    let mut writer = Writer { out: Vec::with_capacity(changes.len() + 64), position };
    writer.record(ENTRIES, changes)?;
    writer.commit(commit)?;
    // Part of a record would be ignored when the file is read, but it would take disk space.
    let written = file.write_all(&writer.out).inspect_err(|_| drop(file.set_len(position.len)));
    written.map(|()| writer.position)
}

/// The contents of a file.
pub struct Contents {
    pub deployment: String,
    pub saved_at: Time,
    pub index: u64,
    pub table: Table,
    /// Where to append; `None` if the file does not end with a commit.
    pub position: Option<Position>,
}

/// The kind, body and checksum of the next record, and the bytes after it; `None` if it is incomplete or corrupt.
fn next_record(rest: &[u8], before: u32) -> Option<(u8, &[u8], u32, &[u8])> {
    let (header, after) = rest.split_at_checked(HEADER_LEN)?;
    let number = |at: usize| u32::from_be_bytes([header[at], header[at + 1], header[at + 2], header[at + 3]]);
    let (body, after) = after.split_at_checked(number(0) as usize)?;
    let checksum = checksum(before, header[8], body);
    (checksum == number(4)).then_some((header[8], body, checksum, after))
}

/// Reads a file up to its last valid commit. The error tells an operator why nothing of it is used.
pub fn read(bytes: &[u8]) -> Result<Contents, &'static str> {
    let mut rest = bytes.strip_prefix(MAGIC).ok_or("it is not a memory file")?;
    let (mut at, mut deployment, mut table) = (0, None, Table::default());
    let (mut records, mut last): (Vec<&[u8]>, Option<(Commit, Position)>) = (Vec::new(), None);
    while let Some((kind, body, checksum, after)) = next_record(rest, at) {
        (rest, at) = (after, checksum);
        match kind {
            BEGIN if deployment.is_none() => deployment = std::str::from_utf8(body).ok(),
            ENTRIES => records.push(body),
            COMMIT => {
                let Ok(commit) = postcard::from_bytes::<Commit>(body) else { break };
                let readable = |record: &&[u8]| unpack(record).all(|(entry, _)| entry.is_some());
                // A commit with a valid checksum but impossible contents, by a bug: what is before it stays valid.
                if commit.1 == 0 || !records.iter().all(readable) {
                    break;
                }
                for (entry, packed) in records.drain(..).flat_map(unpack) {
                    if let Some(entry) = entry {
                        table.apply_entry(&entry, packed);
                    }
                }
                if table.len() as u64 != commit.2 {
                    return Err("its number of entries is wrong");
                }
                let len = (bytes.len() - rest.len()) as u64;
                let base_len = last.map_or(len, |(_, position): (_, Position)| position.base_len);
                last = Some((commit, Position { len, base_len, checksum }));
            }
            _ => break,
        }
    }
    let (Some(deployment), Some(((saved_at, index, _), position))) = (deployment, last) else {
        return Err("it is truncated or corrupt");
    };
    let position = Some(position).filter(|position| position.len == bytes.len() as u64);
    Ok(Contents { deployment: deployment.to_string(), saved_at, index, table, position })
}
