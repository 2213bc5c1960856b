//! The kept list where it is long: a file to which changes are appended, each up to a commit. A record's checksum goes on
//! from that of the record before it, so that none can be left out, doubled or moved. What follows the last whole commit
//! counts for nothing.

use std::fs::{self, File, OpenOptions};
use std::hash::{BuildHasher, RandomState};
use std::io::{self, BufWriter, Write};
use std::path::Path;

use hashbrown::HashTable;
use meadowhold::interface::{Life, Time};

use crate::entries::{packed_name, unpack, Entries, EntryRef, Update};

pub const MAGIC: &[u8] = b"meadowhold list 1\n";
/// A record: bytes of its body, checksum, kind, body. Numbers of the first two are of four bytes, highest first.
const HEADER_LEN: usize = 9;
/// Whose list it is. Once, at the begin.
const BEGIN: u8 = b'B';
/// Packed entries, those that are gone by their name alone.
const ENTRIES: u8 = b'E';
/// All records of entries since the last one of these count, as this version: time, version, entries held.
const COMMIT: u8 = b'C';
/// Entries are written in records of this size or a little more.
const RECORD_LEN: usize = 64 << 10;

/// The list, packed, by name.
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

    /// Takes one entry up; whether that changes anything.
    fn apply_entry(&mut self, entry: &EntryRef, packed: &[u8]) -> bool {
        let name = entry.name.as_bytes();
        if entry.life() == Life::Gone {
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

    /// Takes a list or changes up; `changed` is given what is otherwise than before, packed.
    pub fn apply(&mut self, list: &Update, mut changed: impl FnMut(&[u8])) {
        let mut before = Table::default();
        if list.whole {
            std::mem::swap(&mut before, self);
        }
        for (entry, packed) in unpack(list.entries.bytes()) {
            let Some(entry) = entry else { return };
            match before.remove(entry.name.as_bytes()).filter(|_| entry.life() != Life::Gone) {
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
            changed(Entries::single(&EntryRef::gone(name)).bytes());
        }
    }

    /// By name, so that what is recalled comes in one order.
    pub fn sorted(&self) -> Vec<&[u8]> {
        let mut entries: Vec<&[u8]> = self.entries.iter().map(|entry| &**entry).collect();
        entries.sort_unstable_by_key(|entry| packed_name(entry));
        entries
    }

    /// Bytes that a file takes that begins with this list.
    pub fn file_len(&self, deployment: &str) -> u64 {
        let records = 3 + self.bytes / RECORD_LEN;
        (MAGIC.len() + deployment.len() + self.bytes + records * HEADER_LEN + 64) as u64
    }
}

/// Where the file stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Position {
    pub len: u64,
    /// Up to the first commit.
    pub base_len: u64,
    checksum: u32,
}

/// Time, version and entries of a commit.
type Commit = (Time, u64, u64);

/// Writes records one after the other.
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

/// Writes a new file and puts it in the place of the old one.
///
/// # Errors
/// The system's. The old file stays then.
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
        // In no order: putting them in one took as long as all the rest.
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
    // Guards against half a file that takes room until the next start.
    written.inspect_err(|_| drop(fs::remove_file(temporary)))
}

/// Bytes that changes take.
pub fn appended_len(changes: &[u8]) -> u64 {
    (changes.len() + 2 * HEADER_LEN + 30) as u64
}

/// Appends changes.
///
/// # Errors
/// The system's, or that the file is another than it was. Nothing more is to be appended to it then.
pub fn append(path: &Path, position: Position, changes: &[u8], commit: Commit) -> io::Result<Position> {
    let mut file = OpenOptions::new().append(true).open(path)?;
    if file.metadata()?.len() != position.len {
        return Err(io::Error::other("the kept list was changed by another"));
    }
    let mut writer = Writer { out: Vec::with_capacity(changes.len() + 64), position };
    writer.record(ENTRIES, changes)?;
    writer.commit(commit)?;
    // Guards against a part that stays and takes room; it would count for nothing.
    let written = file.write_all(&writer.out).inspect_err(|_| drop(file.set_len(position.len)));
    written.map(|()| writer.position)
}

/// What a file says.
pub struct Contents {
    pub deployment: String,
    pub saved_at: Time,
    pub index: u64,
    pub table: Table,
    /// Where to append; `None` where something at the end is not whole.
    pub position: Option<Position>,
}

/// The next record, and what follows it.
fn next_record(rest: &[u8], before: u32) -> Option<(u8, &[u8], u32, &[u8])> {
    let (header, after) = rest.split_at_checked(HEADER_LEN)?;
    let number = |at: usize| u32::from_be_bytes([header[at], header[at + 1], header[at + 2], header[at + 3]]);
    let (body, after) = after.split_at_checked(number(0) as usize)?;
    let checksum = checksum(before, header[8], body);
    (checksum == number(4)).then_some((header[8], body, checksum, after))
}

/// What a file's bytes say as far as they are whole; the words tell an operator why nothing is taken from them.
pub fn read(bytes: &[u8]) -> Result<Contents, &'static str> {
    let mut rest = bytes.strip_prefix(MAGIC).ok_or("it is no such file")?;
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
                // Guards against a record of ours that adds up and cannot be: what is before it stands.
                if commit.1 == 0 || !records.iter().all(readable) {
                    break;
                }
                for (entry, packed) in records.drain(..).flat_map(unpack) {
                    if let Some(entry) = entry {
                        table.apply_entry(&entry, packed);
                    }
                }
                if table.len() as u64 != commit.2 {
                    return Err("its list does not add up");
                }
                let len = (bytes.len() - rest.len()) as u64;
                let base_len = last.map_or(len, |(_, position): (_, Position)| position.base_len);
                last = Some((commit, Position { len, base_len, checksum }));
            }
            _ => break,
        }
    }
    let (Some(deployment), Some(((saved_at, index, _), position))) = (deployment, last) else {
        return Err("it is cut short or spoilt");
    };
    let position = Some(position).filter(|position| position.len == bytes.len() as u64);
    Ok(Contents { deployment: deployment.to_string(), saved_at, index, table, position })
}
