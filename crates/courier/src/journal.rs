//! The journal: an append-only file of the mails that a courier has accepted, so that they survive the process.
//! Each record has a length and a checksum; reading stops at the first invalid record. When the file has grown,
//! it is compacted: a new file with only the mails still owed replaces it by a rename.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;

use bytes::{Buf, BufMut, Bytes};
use meadowhold::interface::{Effect, QueueClass, Time};

use crate::files::{is_transient, read_patiently, FileSystem, OsFileSystem};

/// The time of a send and its zone, as an index into the zones of the settings.
pub type Sent = (Time, u16);

/// Stands for the number of connects of a mail that must not be called again.
pub const NO_CONNECTS_LEFT: u32 = u32::MAX;

/// Flags of a record of the end of a connect.
const MAY_HAVE_RUN: u8 = 1;
const MAY_STILL_RUN: u8 = 2;
const IS_LAST: u8 = 4;

/// Stands for a zone that a later process cannot identify. It matches no endpoint.
pub const UNKNOWN_ZONE: u16 = u16::MAX;

/// What the platform is told of a mail that was given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Dead,
    /// With the time to wait before a retry, in tenths of a millisecond; 0 if none is given.
    Bounced(Time),
}

/// The rules of a mail's queue class when the mail was accepted. They are stored with the mail because a class
/// index written under earlier settings may mean another class, or none, under the current ones.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClassTerms {
    /// The class name.
    pub class: Bytes,
    /// `None` if written by a version that did not store it.
    pub effect: Option<Effect>,
    pub dedup_by_zone: bool,
    pub dedup_window: Time,
    pub ordered: bool,
}

impl ClassTerms {
    pub fn new(name: &str, class: &QueueClass) -> ClassTerms {
        let QueueClass { effect, dedup_by_zone, dedup_window, ordered, .. } = *class;
        let class = Bytes::copy_from_slice(name.as_bytes());
        ClassTerms { class, effect: Some(effect), dedup_by_zone, dedup_window, ordered }
    }
}

/// Upper limit on queue classes, including those added for mails accepted under earlier settings. Bounds memory
/// use if the journal names an unlimited number of classes, through a bug or tampering.
pub const MAX_CLASSES: usize = 4096;

/// The index in `classes` of the queue class for a mail restored from the journal: the current class of the same
/// name if it is no more permissive than the rules the mail was accepted under, else an additional class that
/// permits only what both do. `current` holds the rules of the settings' own classes, which come first in `classes`.
pub fn class_for_restored(owed: &OwedMail, current: &[ClassTerms], classes: &mut Vec<QueueClass>) -> u16 {
    let accepted = &owed.terms;
    let same_name = match accepted.effect {
        Some(_) => current.iter().position(|terms| terms.class == accepted.class),
        None => Some(usize::from(owed.class)).filter(|&class| class < current.len()),
    };
    let same_effect = || current.iter().position(|terms| terms.effect == accepted.effect).unwrap_or_default();
    // Importance, target delay and lifetime are those of the current class.
    let base = classes[same_name.unwrap_or_else(same_effect)].clone();
    // If the effect was not stored, a repeat may do harm: the mail is sent once only.
    let effect = accepted.effect.unwrap_or(Effect::OnceOnly);
    let accepted_class = QueueClass {
        effect,
        dedup_by_zone: accepted.dedup_by_zone,
        dedup_window: accepted.dedup_window,
        ordered: accepted.ordered,
        ..base
    };
    let mut restored = if same_name.is_some() {
        stricter_of(&accepted_class, &base, owed.key.is_empty())
    } else {
        accepted_class
    };
    restored.ordered |= owed.terms.effect.is_none() && !owed.order_key.is_empty();
    if classes.len() >= MAX_CLASSES {
        restored.effect = Effect::OnceOnly;
    }
    if restored.effect != Effect::Tagged {
        (restored.dedup_by_zone, restored.dedup_window) = (base.dedup_by_zone, base.dedup_window);
    }
    let rules =
        |c: &QueueClass| (c.effect, c.dedup_by_zone, c.dedup_window, c.ordered, c.target_delay, c.lifetime);
    let worth = |c: &QueueClass| (c.importance, c.expiry_importance);
    let same = |c: &QueueClass| rules(c) == rules(&restored) && worth(c) == worth(&restored);
    let index = classes.iter().position(same).unwrap_or(classes.len());
    if index == classes.len() {
        classes.push(restored);
    }
    index as u16
}

/// The class that permits only what both classes permit.
fn stricter_of(a: &QueueClass, b: &QueueClass, without_key: bool) -> QueueClass {
    let ordered = a.ordered || b.ordered;
    match (a.effect, b.effect) {
        (Effect::Tagged, Effect::Tagged) => {
            let (dedup_by_zone, dedup_window) =
                (a.dedup_by_zone || b.dedup_by_zone, a.dedup_window.min(b.dedup_window));
            QueueClass { dedup_by_zone, dedup_window, ordered, ..a.clone() }
        }
        // Without an idempotency key an endpoint cannot detect a repeat.
        (Effect::Tagged, Effect::Redeliverable) | (Effect::Redeliverable, Effect::Tagged) if without_key => {
            QueueClass { effect: Effect::OnceOnly, ordered, ..a.clone() }
        }
        (x, y) => QueueClass { ordered, ..if x as u8 >= y as u8 { a } else { b }.clone() },
    }
}

/// An accepted mail that is not settled yet. Times are by the system clock, in tenths of a millisecond.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OwedMail {
    pub id: Bytes,
    /// The idempotency key; empty if there is none.
    pub key: Bytes,
    /// The ordering key, in a queue class that keeps mails in order; empty if there is none.
    pub order_key: Bytes,
    /// Index of its queue class in the decision settings, by the current settings.
    pub class: u16,
    pub terms: ClassTerms,
    pub destination: u64,
    /// When the client handed it in; 0 if written by a version that did not store it.
    pub submitted_at: Time,
    pub deadline: Time,
    pub body: Bytes,
    /// Or `NO_CONNECTS_LEFT`.
    pub connects: u32,
    /// The first connect that may have run.
    pub first_run: Option<Sent>,
    /// The connect without an outcome yet.
    pub in_flight: Option<Sent>,
    /// Set once the mail is given up: only the notice is still owed.
    pub verdict: Option<Verdict>,
}

impl OwedMail {
    /// Marks the zones of its sends as unknown.
    pub fn clear_zones(&mut self) {
        [&mut self.first_run, &mut self.in_flight]
            .into_iter()
            .flatten()
            .for_each(|sent| sent.1 = UNKNOWN_ZONE);
    }
}

#[derive(Debug, PartialEq)]
pub enum Record<'a> {
    Accepted {
        serial: u64,
        owed: &'a OwedMail,
    },
    ConnectStarted {
        serial: u64,
        sent: Sent,
    },
    /// The connect in flight has an outcome. `may_have_run`: the endpoint may have acted on it. `may_still_run`: it
    /// may still be doing so. `is_last`: the mail must not be called again.
    ConnectEnded {
        serial: u64,
        may_have_run: bool,
        may_still_run: bool,
        is_last: bool,
        at: Time,
    },
    GivenUp {
        serial: u64,
        verdict: Verdict,
    },
    Settled {
        serial: u64,
    },
    KeyInFlight {
        order_key: &'a [u8],
        since: Time,
    },
    /// The settings' zones, joined by commas. Zone indices in the records that follow refer to this list.
    Zones {
        names: &'a [u8],
    },
}

/// The state that the records of a journal add up to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct JournalContents {
    pub owed: BTreeMap<u64, OwedMail>,
    /// Ordering keys for which a connect may still be running, each with the time from which the ordering gap counts.
    pub keys_in_flight: Vec<(Bytes, Time)>,
    /// The zones, joined by commas, that zone indices refer to.
    pub zones: Bytes,
    /// Mails that have ended since the file was last compacted, but for those that were withdrawn.
    pub ended: Vec<EndedMail>,
}

/// A mail that is not owed any more.
#[derive(Clone, Debug, PartialEq)]
pub struct EndedMail {
    pub id: Bytes,
    /// `None` if it was delivered.
    pub verdict: Option<Verdict>,
}

const FILE_NAME: &str = "journal";
const NEW_FILE_NAME: &str = "journal.new";
const LOCK_FILE_NAME: &str = "lock";
const MAGIC: &[u8] = b"meadowhold journal 1\n";
/// Record types by their number on file. 1 and 7 were written by earlier versions and are only read.
mod code {
    pub const ACCEPTED_WITHOUT_TIME: u8 = 1;
    pub const CONNECT_STARTED: u8 = 2;
    pub const CONNECT_ENDED: u8 = 3;
    pub const GIVEN_UP: u8 = 4;
    pub const SETTLED: u8 = 5;
    pub const KEY_IN_FLIGHT: u8 = 6;
    pub const ACCEPTED_WITHOUT_TERMS: u8 = 7;
    pub const ACCEPTED: u8 = 8;
    pub const ZONES: u8 = 9;
}

const HEADER_SIZE: usize = 8;
const BLOCK_SIZE: u64 = 512;
/// Shares of the allowance in per cent: what the owed mails may take, and the size at which the file is compacted.
/// During compaction both files exist; the file `memory` may use what the two leave.
const OWED_PERCENT: u64 = 34;
const FILE_PERCENT: u64 = 44;

pub struct Journal {
    folder: PathBuf,
    files: Rc<dyn FileSystem>,
    /// Held while the journal is open. `None` if it could not be created yet; nothing is written before it is.
    lock: Option<File>,
    /// `None` if it could not be written at the start; the next record to be written tries again.
    file: Option<File>,
    size: u64,
    allowance: u64,
    /// Bytes that the owed mails would take after compaction.
    owed_bytes: u64,
    /// The zones last written to the file.
    zones: Bytes,
    /// The file may end in part of a record.
    has_partial_tail: bool,
    buffer: Vec<u8>,
}

/// Effects, indexed by their number on file.
const EFFECTS: [Option<Effect>; 4] =
    [None, Some(Effect::Redeliverable), Some(Effect::Tagged), Some(Effect::OnceOnly)];

fn put_short_bytes(out: &mut Vec<u8>, bytes: &[u8]) {
    out.put_u16(bytes.len() as u16);
    out.extend_from_slice(bytes);
}

fn put_optional_sent(out: &mut Vec<u8>, sent: Option<Sent>) {
    out.put_u8(u8::from(sent.is_some()));
    let (at, zone) = sent.unwrap_or_default();
    out.put_u64(at);
    out.put_u16(zone);
}

fn encode(out: &mut Vec<u8>, record: &Record) {
    let start = out.len();
    out.extend_from_slice(&[0; HEADER_SIZE]);
    match *record {
        Record::Accepted { serial, owed } => {
            out.put_u8(code::ACCEPTED);
            out.put_u64(serial);
            out.put_u64(owed.submitted_at);
            [&owed.id, &owed.key, &owed.order_key].into_iter().for_each(|bytes| put_short_bytes(out, bytes));
            out.put_u16(owed.class);
            let ClassTerms { class, effect, dedup_by_zone, dedup_window, ordered } = &owed.terms;
            put_short_bytes(out, class);
            out.put_u8(EFFECTS.iter().position(|known| known == effect).unwrap_or(0) as u8);
            out.put_u8(u8::from(*dedup_by_zone) | u8::from(*ordered) << 1);
            out.put_u64(*dedup_window);
            out.put_u64(owed.destination);
            out.put_u64(owed.deadline);
            out.put_u32(owed.connects);
            put_optional_sent(out, owed.first_run);
            put_optional_sent(out, owed.in_flight);
            out.extend_from_slice(&owed.body);
        }
        Record::ConnectStarted { serial, sent } => {
            out.put_u8(code::CONNECT_STARTED);
            out.put_u64(serial);
            out.put_u64(sent.0);
            out.put_u16(sent.1);
        }
        Record::ConnectEnded { serial, may_have_run, may_still_run, is_last, at } => {
            out.put_u8(code::CONNECT_ENDED);
            out.put_u64(serial);
            let flags = [(may_have_run, MAY_HAVE_RUN), (may_still_run, MAY_STILL_RUN), (is_last, IS_LAST)];
            out.put_u8(flags.iter().filter(|flag| flag.0).map(|flag| flag.1).sum());
            out.put_u64(at);
        }
        Record::GivenUp { serial, verdict } => {
            out.put_u8(code::GIVEN_UP);
            out.put_u64(serial);
            match verdict {
                Verdict::Dead => out.put_u64(u64::MAX),
                Verdict::Bounced(wait) => out.put_u64(wait),
            }
        }
        Record::Settled { serial } => {
            out.put_u8(code::SETTLED);
            out.put_u64(serial);
        }
        Record::KeyInFlight { order_key, since } => {
            out.put_u8(code::KEY_IN_FLIGHT);
            out.put_u64(since);
            put_short_bytes(out, order_key);
        }
        Record::Zones { names } => {
            out.put_u8(code::ZONES);
            out.put_u64(0);
            out.extend_from_slice(names);
        }
    }
    let length = (out.len() - start - HEADER_SIZE) as u32;
    let checksum = crc32fast::hash(&out[start + HEADER_SIZE..]);
    out[start..start + 4].copy_from_slice(&length.to_be_bytes());
    out[start + 4..start + HEADER_SIZE].copy_from_slice(&checksum.to_be_bytes());
}

/// Upper bound of the bytes that a mail and its verdict take in a compacted file.
pub fn max_stored_size(owed: &OwedMail) -> u64 {
    let texts = [&owed.id, &owed.key, &owed.order_key, &owed.terms.class, &owed.body];
    (HEADER_SIZE + 104) as u64 + texts.iter().map(|text| text.len() as u64).sum::<u64>()
}

/// Reads fields from the front of a record; `None` if it is too short.
struct FieldReader(Bytes);

impl FieldReader {
    fn u8(&mut self) -> Option<u8> {
        self.0.try_get_u8().ok()
    }

    fn u16(&mut self) -> Option<u16> {
        self.0.try_get_u16().ok()
    }

    fn u32(&mut self) -> Option<u32> {
        self.0.try_get_u32().ok()
    }

    fn u64(&mut self) -> Option<u64> {
        self.0.try_get_u64().ok()
    }

    fn short_bytes(&mut self) -> Option<Bytes> {
        let length = usize::from(self.u16()?);
        (length <= self.0.len()).then(|| self.0.split_to(length))
    }

    fn terms(&mut self) -> Option<ClassTerms> {
        let (class, effect, flags) = (self.short_bytes()?, self.u8()?, self.u8()?);
        let effect = *EFFECTS.get(usize::from(effect))?;
        Some(ClassTerms {
            class,
            effect,
            dedup_by_zone: flags & 1 != 0,
            ordered: flags & 2 != 0,
            dedup_window: self.u64()?,
        })
    }

    fn optional_sent(&mut self) -> Option<Option<Sent>> {
        let is_present = self.u8()? != 0;
        let sent = (self.u64()?, self.u16()?);
        Some(is_present.then_some(sent))
    }
}

impl JournalContents {
    /// Reads a folder's journal. Also returns the number of bytes at its end that cannot be read.
    pub fn load(folder: &Path) -> io::Result<(JournalContents, usize)> {
        let bytes = Bytes::from(fs::read(folder.join(FILE_NAME))?);
        let (contents, valid_len) = JournalContents::read(&bytes);
        Ok((contents, bytes.len() - valid_len))
    }

    /// Reads a journal up to the first invalid record. Also returns the length of the valid part.
    pub fn read(bytes: &Bytes) -> (JournalContents, usize) {
        let mut contents = JournalContents::default();
        if !bytes.starts_with(MAGIC) {
            return (contents, 0);
        }
        let mut offset = MAGIC.len();
        while let Some(mut header) = bytes.get(offset..offset + HEADER_SIZE) {
            let (length, checksum) = (header.get_u32() as usize, header.get_u32());
            let Some(end) = (offset + HEADER_SIZE).checked_add(length).filter(|&end| end <= bytes.len())
            else {
                break;
            };
            let record = bytes.slice(offset + HEADER_SIZE..end);
            if crc32fast::hash(&record) != checksum || contents.apply(FieldReader(record)).is_none() {
                break;
            }
            offset = end;
        }
        (contents, offset)
    }

    fn apply(&mut self, mut fields: FieldReader) -> Option<()> {
        let (record_type, serial) = (fields.u8()?, fields.u64()?);
        match record_type {
            code::ACCEPTED_WITHOUT_TIME | code::ACCEPTED_WITHOUT_TERMS | code::ACCEPTED => {
                let submitted_at =
                    if record_type == code::ACCEPTED_WITHOUT_TIME { 0 } else { fields.u64()? };
                let (id, key, order_key) =
                    (fields.short_bytes()?, fields.short_bytes()?, fields.short_bytes()?);
                let class = fields.u16()?;
                let terms =
                    if record_type == code::ACCEPTED { fields.terms()? } else { ClassTerms::default() };
                let (destination, deadline, connects) = (fields.u64()?, fields.u64()?, fields.u32()?);
                let (first_run, in_flight) = (fields.optional_sent()?, fields.optional_sent()?);
                let body = fields.0;
                let verdict = None;
                let owed = OwedMail {
                    id,
                    key,
                    order_key,
                    class,
                    terms,
                    destination,
                    submitted_at,
                    deadline,
                    body,
                    connects,
                    first_run,
                    in_flight,
                    verdict,
                };
                self.owed.insert(serial, owed);
            }
            code::CONNECT_STARTED => {
                let sent = (fields.u64()?, fields.u16()?);
                let owed = self.owed.get_mut(&serial)?;
                // A connect left in flight by an earlier process may have run. A new one must not hide that, also
                // after several restarts.
                let unresolved = owed.in_flight.replace(sent);
                owed.first_run = owed.first_run.or(unresolved);
                owed.connects = owed.connects.saturating_add(1);
            }
            code::CONNECT_ENDED => {
                let (flags, at) = (fields.u8()?, fields.u64()?);
                let owed = self.owed.get_mut(&serial)?;
                let possible_run = owed.in_flight.take().filter(|_| flags & MAY_HAVE_RUN != 0);
                owed.first_run = owed.first_run.or(possible_run);
                if flags & IS_LAST != 0 {
                    owed.connects = NO_CONNECTS_LEFT;
                }
                if flags & MAY_STILL_RUN != 0 && !owed.order_key.is_empty() {
                    self.keys_in_flight.push((owed.order_key.clone(), at));
                }
            }
            code::GIVEN_UP => {
                let wait = fields.u64()?;
                let verdict = if wait == u64::MAX { Verdict::Dead } else { Verdict::Bounced(wait) };
                self.owed.get_mut(&serial)?.verdict = Some(verdict);
            }
            // An unknown mail is no error here: version 0.2.0 could leave such a record, and rejecting it would hide
            // all records after it.
            code::SETTLED => {
                // Only a mail that was never called is withdrawn.
                let ended = self.owed.remove(&serial);
                let ended = ended.filter(|owed| owed.connects > 0 || owed.verdict.is_some());
                self.ended.extend(ended.map(|owed| EndedMail { id: owed.id, verdict: owed.verdict }));
            }
            // This record has the time in place of the serial.
            code::KEY_IN_FLIGHT => self.keys_in_flight.push((fields.short_bytes()?, serial)),
            code::ZONES => {
                let previous = std::mem::replace(&mut self.zones, fields.0);
                if previous != self.zones {
                    self.owed.values_mut().for_each(OwedMail::clear_zones);
                }
            }
            _ => return None,
        }
        Some(())
    }
}

impl Journal {
    /// Opens the folder's journal, or creates one, and returns its contents. The file is compacted at once, which
    /// also removes a partial record at its end.
    ///
    /// # Errors
    /// If the file cannot be read, another courier has it open, or the folder is unusable for a permanent reason. If
    /// the disk is full or fails, the journal still opens, and no mail is accepted until it can be written.
    pub fn open(folder: &Path, allowance: u64) -> io::Result<(Journal, JournalContents)> {
        Journal::open_with(Rc::new(OsFileSystem), folder, allowance)
    }

    /// As `open`, on the given file system. Used by tests.
    pub fn open_with(
        files: Rc<dyn FileSystem>,
        folder: &Path,
        allowance: u64,
    ) -> io::Result<(Journal, JournalContents)> {
        let lock = unless_transient(lock_folder(&*files, folder))?;
        let bytes = match read_patiently(&*files, &folder.join(FILE_NAME)) {
            Err(e) if e.kind() == io::ErrorKind::NotFound => Bytes::new(),
            read => Bytes::from(read?),
        };
        let (contents, valid_len) = JournalContents::read(&bytes);
        if valid_len < bytes.len() {
            log::warn!(
                "the journal's last {} bytes cannot be read and are passed over",
                bytes.len() - valid_len
            );
        }
        let mut journal = Journal {
            folder: folder.to_path_buf(),
            files,
            lock,
            file: None,
            size: valid_len as u64,
            allowance,
            owed_bytes: contents.owed.values().map(max_stored_size).sum(),
            zones: contents.zones.clone(),
            has_partial_tail: false,
            buffer: Vec::new(),
        };
        if let Err(e) = journal.compact(&contents.owed, &contents.keys_in_flight) {
            log::warn!("journal compaction failed at the start: {e}");
            // On a full disk the owed mails must still be processed: the old file stays in use.
            let old =
                if valid_len > 0 && journal.lock.is_some() { journal.reopen_truncated() } else { Err(e) };
            journal.file = unless_transient(old)?;
        }
        Ok((journal, contents))
    }

    /// The state folder, and the bytes that its files may take.
    pub fn location(&self) -> (&Path, u64) {
        (&self.folder, self.allowance)
    }

    fn percent_of_allowance(&self, percent: u64) -> u64 {
        (self.allowance / 100 * percent).saturating_sub(BLOCK_SIZE)
    }

    /// Whether the allowance leaves room for one more mail.
    pub fn has_room(&self, owed: &OwedMail) -> bool {
        self.owed_bytes + max_stored_size(owed) <= self.percent_of_allowance(OWED_PERCENT)
    }

    /// Whether the file should be compacted before this record is appended.
    pub fn needs_compaction(&self, record: &Record) -> bool {
        let added = if let Record::Accepted { owed, .. } = record { max_stored_size(owed) } else { 0 };
        self.file.is_none() || self.size + added > self.percent_of_allowance(FILE_PERCENT)
    }

    pub fn append(&mut self, record: &Record) -> io::Result<()> {
        self.buffer.clear();
        encode(&mut self.buffer, record);
        if self.size + self.buffer.len() as u64 > self.percent_of_allowance(FILE_PERCENT + 2) {
            return Err(io::Error::new(io::ErrorKind::StorageFull, "the journal has reached its size limit"));
        }
        let Some(file) = &mut self.file else {
            return Err(io::Error::new(io::ErrorKind::StorageFull, "the journal has not been created yet"));
        };
        // A partial record in the middle of the file would hide all records after it.
        if self.has_partial_tail {
            self.files.truncate(file, self.size)?;
            self.has_partial_tail = false;
        }
        if let Err(e) = self.files.append(file, &self.buffer) {
            self.has_partial_tail = self.files.truncate(file, self.size).is_err();
            return Err(e);
        }
        self.size += self.buffer.len() as u64;
        match record {
            Record::Accepted { owed, .. } => self.owed_bytes += max_stored_size(owed),
            Record::Zones { names } => self.zones = Bytes::copy_from_slice(names),
            _ => {}
        }
        Ok(())
    }

    /// Bytes that the owed mails would take after compaction, for the audit.
    pub fn owed_bytes(&self) -> u64 {
        self.owed_bytes
    }

    /// Subtracts bytes that the next compaction frees.
    pub fn release(&mut self, bytes: u64) {
        self.owed_bytes = self.owed_bytes.saturating_sub(bytes);
    }

    /// Replaces the file by one with only what is still owed.
    pub fn compact(
        &mut self,
        owed: &BTreeMap<u64, OwedMail>,
        keys_in_flight: &[(Bytes, Time)],
    ) -> io::Result<()> {
        if self.lock.is_none() {
            self.lock = Some(lock_folder(&*self.files, &self.folder)?);
        }
        let (file, size) = write_compacted(&*self.files, &self.folder, owed, keys_in_flight, &self.zones)?;
        (self.file, self.size, self.has_partial_tail) = (Some(file), size, false);
        Ok(())
    }

    /// Opens the existing file for appending and cuts it after its last valid record.
    fn reopen_truncated(&self) -> io::Result<File> {
        let file = self.files.open(&self.folder.join(FILE_NAME))?;
        self.files.truncate(&file, self.size)?;
        Ok(file)
    }
}

/// Turns a transient error into `None` and logs it.
fn unless_transient(result: io::Result<File>) -> io::Result<Option<File>> {
    match result {
        Err(e) if is_transient(&e) => {
            log::warn!("no mail is accepted until the journal can be written: {e}");
            Ok(None)
        }
        result => result.map(Some),
    }
}

/// Locks the folder, so that no second courier replaces the journal by its own.
fn lock_folder(files: &dyn FileSystem, folder: &Path) -> io::Result<File> {
    files.create_folder(folder)?;
    files.lock(&folder.join(LOCK_FILE_NAME))
}

/// Writes a file with only what is still owed and renames it to the folder's journal. Returns the file, open for
/// appending, and its size.
fn write_compacted(
    files: &dyn FileSystem,
    folder: &Path,
    owed: &BTreeMap<u64, OwedMail>,
    keys_in_flight: &[(Bytes, Time)],
    zones: &[u8],
) -> io::Result<(File, u64)> {
    let mut bytes = MAGIC.to_vec();
    if !zones.is_empty() {
        encode(&mut bytes, &Record::Zones { names: zones });
    }
    for (&serial, owed) in owed {
        encode(&mut bytes, &Record::Accepted { serial, owed });
        if let Some(verdict) = owed.verdict {
            encode(&mut bytes, &Record::GivenUp { serial, verdict });
        }
    }
    for (order_key, since) in keys_in_flight {
        encode(&mut bytes, &Record::KeyInFlight { order_key, since: *since });
    }
    let path = folder.join(NEW_FILE_NAME);
    // An earlier process may have left an unfinished one.
    let _ = files.remove(&path);
    // In append mode, a write that follows a truncation leaves no gap.
    let mut file = files.create(&path)?;
    let written = files.append(&mut file, &bytes).and_then(|()| files.rename(&path, &folder.join(FILE_NAME)));
    if let Err(e) = written {
        let _ = files.remove(&path);
        return Err(e);
    }
    Ok((file, bytes.len() as u64))
}
