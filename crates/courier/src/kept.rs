//! The kept list where it is long: a file to which changes are appended, each up to a commit. A record's checksum goes on
//! from that of the record before it, so that none can be left out, doubled or moved. What follows the last whole commit
//! counts for nothing.

use std::fs::{self, File, OpenOptions};
use std::hash::{BuildHasher, RandomState};
use std::io::{self, BufWriter, Write};
use std::path::Path;

use hashbrown::HashTable;
use meadowhold::interface::{EndpointStatus, Time};

use crate::entries::{name_of, packed, Entries, Listing, Update};

pub const MAGIC: &[u8] = b"meadowhold list 1\n";
/// A record: bytes of its body, checksum, kind, body. Numbers of the first two are of four bytes, highest first.
const HEADER: usize = 9;
/// Whose list it is. Once, at the begin.
const BEGIN: u8 = b'B';
/// Packed entries, those that are gone by their name alone.
const ENTRIES: u8 = b'E';
/// All records of entries since the last one of these count, as this version: time, version, entries held.
const COMMIT: u8 = b'C';
/// Entries are written in records of this size or a little more.
const PIECE: usize = 64 << 10;

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

    pub fn has(&self, name: &str) -> bool {
        let hash = self.hasher.hash_one(name.as_bytes());
        self.entries.find(hash, |other| name_of(other) == name.as_bytes()).is_some()
    }

    fn remove(&mut self, name: &[u8]) -> Option<Box<[u8]>> {
        let found = self.entries.find_entry(self.hasher.hash_one(name), |other| name_of(other) == name);
        let (removed, _) = found.ok()?.remove();
        self.bytes -= removed.len();
        Some(removed)
    }

    fn insert(&mut self, entry: Box<[u8]>) {
        self.bytes += entry.len();
        let hasher = &self.hasher;
        self.entries
            .insert_unique(hasher.hash_one(name_of(&entry)), entry, |other| hasher.hash_one(name_of(other)));
    }

    /// Takes one entry up; whether that changes anything.
    fn put(&mut self, entry: &Listing, packed: &[u8]) -> bool {
        let name = entry.name.as_bytes();
        if entry.life() == EndpointStatus::Removed {
            return self.remove(name).is_some();
        }
        let hash = self.hasher.hash_one(name);
        match self.entries.find_mut(hash, |other| name_of(other) == name) {
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
    pub fn take_up(&mut self, list: &Update, mut changed: impl FnMut(&[u8])) {
        let mut before = Table::default();
        if list.whole {
            std::mem::swap(&mut before, self);
        }
        for (entry, packed) in packed(list.entries.bytes()) {
            let Some(entry) = entry else { return };
            match before.remove(entry.name.as_bytes()).filter(|_| entry.life() != EndpointStatus::Removed) {
                Some(held) if *held == *packed => self.insert(held),
                Some(_) => {
                    self.insert(packed.into());
                    changed(packed);
                }
                None if self.put(&entry, packed) => changed(packed),
                None => {}
            }
        }
        for left in &before.entries {
            let name = std::str::from_utf8(name_of(left)).unwrap_or_default();
            changed(Entries::of(&Listing::gone(name)).bytes());
        }
    }

    /// By name, so that what is recalled comes in one order.
    pub fn sorted(&self) -> Vec<&[u8]> {
        let mut entries: Vec<&[u8]> = self.entries.iter().map(|entry| &**entry).collect();
        entries.sort_unstable_by_key(|entry| name_of(entry));
        entries
    }

    /// Bytes that a file takes that begins with this list.
    pub fn on_file(&self, deployment: &str) -> u64 {
        let records = 3 + self.bytes / PIECE;
        (MAGIC.len() + deployment.len() + self.bytes + records * HEADER + 64) as u64
    }
}

/// Where the file stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    pub length: u64,
    /// Up to the first commit.
    pub base: u64,
    checksum: u32,
}

/// Time, version and entries of a commit.
type Commit = (Time, u64, u64);

/// Writes records one after the other.
struct Writer<W> {
    out: W,
    place: Place,
}

impl<W: Write> Writer<W> {
    fn record(&mut self, kind: u8, body: &[u8]) -> io::Result<()> {
        let length = u32::try_from(body.len()).map_err(io::Error::other)?.to_be_bytes();
        let checksum = checksum(self.place.checksum, kind, body);
        for part in [&length[..], &checksum.to_be_bytes(), &[kind], body] {
            self.out.write_all(part)?;
        }
        self.place.length += (HEADER + body.len()) as u64;
        self.place.checksum = checksum;
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
    (fresh, path): (&Path, &Path),
    deployment: &str,
    table: &Table,
    (now, index): (Time, u64),
) -> io::Result<Place> {
    let written = (|| {
        let place = Place { length: MAGIC.len() as u64, base: 0, checksum: 0 };
        let mut writer = Writer { out: BufWriter::new(File::create(fresh)?), place };
        writer.out.write_all(MAGIC)?;
        writer.record(BEGIN, deployment.as_bytes())?;
        let mut piece = Vec::with_capacity(PIECE + 1024);
        // In no order: putting them in one took as long as all the rest.
        for entry in &table.entries {
            piece.extend_from_slice(entry);
            if piece.len() >= PIECE {
                writer.record(ENTRIES, &piece)?;
                piece.clear();
            }
        }
        writer.record(ENTRIES, &piece)?;
        writer.commit((now, index, table.len() as u64))?;
        writer.out.flush()?;
        fs::rename(fresh, path)?;
        Ok(Place { base: writer.place.length, ..writer.place })
    })();
    // Guards against half a file that takes room until the next start.
    written.inspect_err(|_| drop(fs::remove_file(fresh)))
}

/// Bytes that changes take.
pub fn appended(changes: &[u8]) -> u64 {
    (changes.len() + 2 * HEADER + 30) as u64
}

/// Appends changes.
///
/// # Errors
/// The system's, or that the file is another than it was. Nothing more is to be appended to it then.
pub fn append(path: &Path, place: Place, changes: &[u8], commit: Commit) -> io::Result<Place> {
    let mut file = OpenOptions::new().append(true).open(path)?;
    if file.metadata()?.len() != place.length {
        return Err(io::Error::other("the kept list was changed by another"));
    }
    let mut writer = Writer { out: Vec::with_capacity(changes.len() + 64), place };
    writer.record(ENTRIES, changes)?;
    writer.commit(commit)?;
    // Guards against a part that stays and takes room; it would count for nothing.
    let written = file.write_all(&writer.out).inspect_err(|_| drop(file.set_len(place.length)));
    written.map(|()| writer.place)
}

/// What a file says.
pub struct Found {
    pub deployment: String,
    pub saved_at: Time,
    pub index: u64,
    pub table: Table,
    /// Where to append; `None` where something at the end is not whole.
    pub place: Option<Place>,
}

/// The next record, and what follows it.
fn next(rest: &[u8], before: u32) -> Option<(u8, &[u8], u32, &[u8])> {
    let (header, after) = rest.split_at_checked(HEADER)?;
    let number = |at: usize| u32::from_be_bytes([header[at], header[at + 1], header[at + 2], header[at + 3]]);
    let (body, after) = after.split_at_checked(number(0) as usize)?;
    let checksum = checksum(before, header[8], body);
    (checksum == number(4)).then_some((header[8], body, checksum, after))
}

/// What a file's bytes say as far as they are whole; the words tell an operator why nothing is taken from them.
pub fn read(bytes: &[u8]) -> Result<Found, &'static str> {
    let mut rest = bytes.strip_prefix(MAGIC).ok_or("it is no such file")?;
    let (mut at, mut deployment, mut table) = (0, None, Table::default());
    let (mut pieces, mut last): (Vec<&[u8]>, Option<(Commit, Place)>) = (Vec::new(), None);
    while let Some((kind, body, checksum, after)) = next(rest, at) {
        (rest, at) = (after, checksum);
        match kind {
            BEGIN if deployment.is_none() => deployment = std::str::from_utf8(body).ok(),
            ENTRIES => pieces.push(body),
            COMMIT => {
                let Ok(commit) = postcard::from_bytes::<Commit>(body) else { break };
                let readable = |piece: &&[u8]| packed(piece).all(|(entry, _)| entry.is_some());
                // Guards against a record of ours that adds up and cannot be: what is before it stands.
                if commit.1 == 0 || !pieces.iter().all(readable) {
                    break;
                }
                for (entry, packed) in pieces.drain(..).flat_map(packed) {
                    if let Some(entry) = entry {
                        table.put(&entry, packed);
                    }
                }
                if table.len() as u64 != commit.2 {
                    return Err("its list does not add up");
                }
                let length = (bytes.len() - rest.len()) as u64;
                let base = last.map_or(length, |(_, place): (_, Place)| place.base);
                last = Some((commit, Place { length, base, checksum }));
            }
            _ => break,
        }
    }
    let (Some(deployment), Some(((saved_at, index, _), place))) = (deployment, last) else {
        return Err("it is cut short or spoilt");
    };
    let place = Some(place).filter(|place| place.length == bytes.len() as u64);
    Ok(Found { deployment: deployment.to_string(), saved_at, index, table, place })
}
