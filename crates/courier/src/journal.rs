//! The journal: what a courier has taken on, on file, so that it outlasts the process.
//! One file of records, each with its length and checksum; what does not add up ends the reading. When it
//! has grown, a file with only what is still owed takes its place by a rename.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;

use bytes::{Buf, BufMut, Bytes};
use meadowhold::interface::{Effect, QueueClass, Time};

use crate::files::{is_transient, FileSystem, OsFileSystem};

/// A send: when, and to which zone, by its place among those of the settings.
pub type Sent = (Time, u16);

/// A zone of which no later process can say which one it is: no endpoint is in it.
pub const UNKNOWN_ZONE: u16 = u16::MAX;

/// What goes to the platform about a mail that was given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Dead,
    /// With a time to come back, in tenths of a millisecond; 0: none named.
    Bounced(Time),
}

/// What a mail was taken on with, by the settings of then. Guards against a folder that other settings left: a
/// place in their list of classes says nothing by today's.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClassTerms {
    /// The name of its class.
    pub class: Bytes,
    /// `None`: on file before that was noted.
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

/// So many classes of the module at most stand for what other settings left. Guards against a file of nothing
/// but classes, by a fault of ours or another's hand.
pub const MAX_CLASSES: usize = 4096;

/// The module's class by which a mail of an earlier process is held: today's of the same name, if that allows no
/// more than what the mail was taken on with, else one more that allows only what both do. `current`: what the
/// settings' classes stand for, the first of `classes`.
pub fn class_for_restored(owed: &OwedMail, current: &[ClassTerms], classes: &mut Vec<QueueClass>) -> u16 {
    let accepted = &owed.terms;
    let same_name = match accepted.effect {
        Some(_) => current.iter().position(|terms| terms.class == accepted.class),
        None => Some(usize::from(owed.class)).filter(|&class| class < current.len()),
    };
    let same_effect = || current.iter().position(|terms| terms.effect == accepted.effect).unwrap_or_default();
    // What a delay costs, and the like, is current's.
    let base = classes[same_name.unwrap_or_else(same_effect)].clone();
    // Guards against a second run of what was taken on when nobody noted what a repeat would do.
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
    restored.ordered |= owed.terms.effect.is_none() && !owed.item.is_empty();
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

/// What both classes allow of a mail.
fn stricter_of(a: &QueueClass, b: &QueueClass, without_key: bool) -> QueueClass {
    let ordered = a.ordered || b.ordered;
    match (a.effect, b.effect) {
        (Effect::Tagged, Effect::Tagged) => {
            let (dedup_by_zone, dedup_window) =
                (a.dedup_by_zone || b.dedup_by_zone, a.dedup_window.min(b.dedup_window));
            QueueClass { dedup_by_zone, dedup_window, ordered, ..a.clone() }
        }
        // Guards against repeats of what was taken on without a key.
        (Effect::Tagged, Effect::Redeliverable) | (Effect::Redeliverable, Effect::Tagged) if without_key => {
            QueueClass { effect: Effect::OnceOnly, ordered, ..a.clone() }
        }
        (x, y) => QueueClass { ordered, ..if x as u8 >= y as u8 { a } else { b }.clone() },
    }
}

/// A mail that is owed its end. Times are by the system's clock, in tenths of a millisecond.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OwedMail {
    pub id: Bytes,
    /// The idempotency key; empty: none.
    pub key: Bytes,
    /// What the mail is about, in a queue class that keeps its order; empty: nothing.
    pub item: Bytes,
    /// The module's class for it, by today's settings.
    pub class: u16,
    pub terms: ClassTerms,
    pub destination: u64,
    /// When it was handed in; 0: on file before that was noted.
    pub submitted_at: Time,
    pub deadline: Time,
    pub body: Bytes,
    pub connects: u32,
    /// The first connect that may have run.
    pub first_run: Option<Sent>,
    /// A connect that is out.
    pub in_flight: Option<Sent>,
    /// Given up: only the notice is owed.
    pub verdict: Option<Verdict>,
}

impl OwedMail {
    /// Its sends were to zones of which nothing is known any more.
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
    /// The connect that was out has an outcome; `ran`: it may have run. `rests`: it may be running still.
    ConnectEnded {
        serial: u64,
        may_have_run: bool,
        may_still_run: bool,
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
        item: &'a [u8],
        since: Time,
    },
    /// The settings' zones, by whose places sends name theirs from here on; joined by commas.
    Zones {
        names: &'a [u8],
    },
}

/// What a journal held at its opening.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct JournalContents {
    pub owed: BTreeMap<u64, OwedMail>,
    /// Keys of which a connect may be running still, and since when.
    pub keys_in_flight: Vec<(Bytes, Time)>,
    /// The zones by whose places sends name theirs.
    pub zones: Bytes,
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
/// Parts of the allowance, in hundredths: what is owed may take so much, the file grows to so much before
/// it is written anew. For that moment both files stand there; `memory` has what is beyond the two.
const OWED_PERCENT: u64 = 34;
const FILE_PERCENT: u64 = 44;

pub struct Journal {
    folder: PathBuf,
    files: Rc<dyn FileSystem>,
    /// Held for as long as the journal is open. None: it could not be made yet, and nothing is written before.
    lock: Option<File>,
    /// None: it could not be written at the start, and is as soon as a record is to be noted and there is room.
    file: Option<File>,
    size: u64,
    allowance: u64,
    /// Bytes that the mails owed would take in a fresh file.
    owed_bytes: u64,
    /// What the file says of zones.
    zones: Bytes,
    /// Part of a record may stand behind the file's last whole one.
    has_partial_tail: bool,
    buffer: Vec<u8>,
}

/// Effects by their number on file.
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
            [&owed.id, &owed.key, &owed.item].into_iter().for_each(|bytes| put_short_bytes(out, bytes));
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
        Record::ConnectEnded { serial, may_have_run, may_still_run, at } => {
            out.put_u8(code::CONNECT_ENDED);
            out.put_u64(serial);
            out.put_u8(u8::from(may_have_run) | u8::from(may_still_run) << 1);
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
        Record::KeyInFlight { item, since } => {
            out.put_u8(code::KEY_IN_FLIGHT);
            out.put_u64(since);
            put_short_bytes(out, item);
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

/// What a mail takes in a fresh file, with its verdict, at most.
pub fn max_stored_size(owed: &OwedMail) -> u64 {
    let texts = [&owed.id, &owed.key, &owed.item, &owed.terms.class, &owed.body];
    (HEADER_SIZE + 104) as u64 + texts.iter().map(|text| text.len() as u64).sum::<u64>()
}

/// Reads fields off the front of a record; `None` where it is too short.
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
    /// What a folder's journal says, and how many of its last bytes cannot be read.
    pub fn load(folder: &Path) -> io::Result<(JournalContents, usize)> {
        let bytes = Bytes::from(fs::read(folder.join(FILE_NAME))?);
        let (contents, valid_len) = JournalContents::read(&bytes);
        Ok((contents, bytes.len() - valid_len))
    }

    /// What the bytes of a journal say, up to the first that do not add up; and how many those are.
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
                let (id, key, item) = (fields.short_bytes()?, fields.short_bytes()?, fields.short_bytes()?);
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
                    item,
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
                // Guards against a second restart that forgets the first: what was out then may have run.
                let unresolved = owed.in_flight.replace(sent);
                owed.first_run = owed.first_run.or(unresolved);
                owed.connects += 1;
            }
            code::CONNECT_ENDED => {
                let (flags, at) = (fields.u8()?, fields.u64()?);
                let owed = self.owed.get_mut(&serial)?;
                let possible_run = owed.in_flight.take().filter(|_| flags & 1 != 0);
                owed.first_run = owed.first_run.or(possible_run);
                if flags & 2 != 0 && !owed.item.is_empty() {
                    self.keys_in_flight.push((owed.item.clone(), at));
                }
            }
            code::GIVEN_UP => {
                let wait = fields.u64()?;
                let verdict = if wait == u64::MAX { Verdict::Dead } else { Verdict::Bounced(wait) };
                self.owed.get_mut(&serial)?.verdict = Some(verdict);
            }
            // Guards against a whole record that speaks of a mail which is not there, as 0.2.0 could leave one:
            // it would hide all that follows.
            code::SETTLED => drop(self.owed.remove(&serial)),
            // The place of the serial holds the time.
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
    /// Opens the folder's journal, or a new one, and tells what it held. It is written anew at once, so that
    /// a torn tail is gone.
    ///
    /// # Errors
    /// Where what it holds cannot be read, another courier has it open, or the folder cannot be had for good. One whose
    /// disk is full, or fails, is opened all the same: nothing is taken on before it can be written.
    pub fn open(folder: &Path, allowance: u64) -> io::Result<(Journal, JournalContents)> {
        Journal::open_with(Rc::new(OsFileSystem), folder, allowance)
    }

    /// The same on files of a test's own.
    pub fn open_with(
        files: Rc<dyn FileSystem>,
        folder: &Path,
        allowance: u64,
    ) -> io::Result<(Journal, JournalContents)> {
        let lock = unless_transient(lock_folder(&*files, folder))?;
        let bytes = match files.read(&folder.join(FILE_NAME)) {
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
            log::warn!("the journal cannot be written anew at the start: {e}");
            // Guards against a full disk that keeps what is owed from its end: the old file still serves.
            let old =
                if valid_len > 0 && journal.lock.is_some() { journal.reopen_truncated() } else { Err(e) };
            journal.file = unless_transient(old)?;
        }
        Ok((journal, contents))
    }

    /// The folder that lasts, and the bytes that it may hold.
    pub fn location(&self) -> (&Path, u64) {
        (&self.folder, self.allowance)
    }

    fn percent_of_allowance(&self, percent: u64) -> u64 {
        (self.allowance / 100 * percent).saturating_sub(BLOCK_SIZE)
    }

    /// Whether one more mail may be taken on.
    pub fn has_room(&self, owed: &OwedMail) -> bool {
        self.owed_bytes + max_stored_size(owed) <= self.percent_of_allowance(OWED_PERCENT)
    }

    /// Whether the file should be written anew before this record.
    pub fn needs_compaction(&self, record: &Record) -> bool {
        let added = if let Record::Accepted { owed, .. } = record { max_stored_size(owed) } else { 0 };
        self.file.is_none() || self.size + added > self.percent_of_allowance(FILE_PERCENT)
    }

    pub fn append(&mut self, record: &Record) -> io::Result<()> {
        self.buffer.clear();
        encode(&mut self.buffer, record);
        if self.size + self.buffer.len() as u64 > self.percent_of_allowance(FILE_PERCENT + 2) {
            return Err(io::Error::new(io::ErrorKind::StorageFull, "the journal is full"));
        }
        let Some(file) = &mut self.file else {
            return Err(io::Error::new(io::ErrorKind::StorageFull, "there is no journal yet"));
        };
        // Guards against half a record in the middle, behind which nothing would be read again.
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

    /// Bytes that the mails owed would take in a fresh file, for audits.
    pub fn owed_bytes(&self) -> u64 {
        self.owed_bytes
    }

    /// So many bytes less are owed, once the file is written anew.
    pub fn release(&mut self, bytes: u64) {
        self.owed_bytes = self.owed_bytes.saturating_sub(bytes);
    }

    /// Puts a fresh file of what is owed in the place of the old one.
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

    /// The folder's journal as it stands, for appending behind what could be read of it.
    fn reopen_truncated(&self) -> io::Result<File> {
        let file = self.files.open(&self.folder.join(FILE_NAME))?;
        self.files.truncate(&file, self.size)?;
        Ok(file)
    }
}

/// Nothing, with a line of the log, where it may go well later.
fn unless_transient(result: io::Result<File>) -> io::Result<Option<File>> {
    match result {
        Err(e) if is_transient(&e) => {
            log::warn!("nothing is taken on before the journal can be written: {e}");
            Ok(None)
        }
        result => result.map(Some),
    }
}

/// Guards against a second courier on the folder, which would put a file of its own in the place of ours.
fn lock_folder(files: &dyn FileSystem, folder: &Path) -> io::Result<File> {
    files.create_folder(folder)?;
    files.lock(&folder.join(LOCK_FILE_NAME))
}

/// Writes a file of what is owed and renames it to be the folder's journal; the file, for appending, and its
/// size.
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
    for (item, since) in keys_in_flight {
        encode(&mut bytes, &Record::KeyInFlight { item, since: *since });
    }
    let path = folder.join(NEW_FILE_NAME);
    // One that an earlier process left behind half written.
    let _ = files.remove(&path);
    // Appending, so that a write that is cut back is followed by no gap.
    let mut file = files.create(&path)?;
    let written = files.append(&mut file, &bytes).and_then(|()| files.rename(&path, &folder.join(FILE_NAME)));
    if let Err(e) = written {
        let _ = files.remove(&path);
        return Err(e);
    }
    Ok((file, bytes.len() as u64))
}
