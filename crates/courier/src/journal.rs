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

use crate::files::{may_pass, Files, System};

/// A send: when, and to which zone, by its place among those of the settings.
pub type Sent = (Time, u16);

/// A zone of which no later process can say which one it is: no endpoint is in it.
pub const NO_ZONE: u16 = u16::MAX;

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
pub struct Terms {
    /// The name of its class.
    pub class: Bytes,
    /// `None`: on file before that was noted.
    pub effect: Option<Effect>,
    pub by_zone: bool,
    pub window: Time,
    pub in_turn: bool,
}

impl Terms {
    pub fn new(name: &str, class: &QueueClass) -> Terms {
        let QueueClass { effect, dedup_by_zone: by_zone, dedup_window: window, ordered: in_turn, .. } =
            *class;
        let class = Bytes::copy_from_slice(name.as_bytes());
        Terms { class, effect: Some(effect), by_zone, window, in_turn }
    }
}

/// So many classes of the module at most stand for what other settings left. Guards against a file of nothing
/// but classes, by a fault of ours or another's hand.
pub const MOST_CLASSES: usize = 4096;

/// The module's class by which a mail of an earlier process is held: today's of the same name, if that allows no
/// more than what the mail was taken on with, else one more that allows only what both do. `today`: what the
/// settings' classes stand for, the first of `classes`.
pub fn held_as(owed: &Owed, today: &[Terms], classes: &mut Vec<QueueClass>) -> u16 {
    let own = &owed.terms;
    let named = match own.effect {
        Some(_) => today.iter().position(|terms| terms.class == own.class),
        None => Some(usize::from(owed.class)).filter(|&class| class < today.len()),
    };
    let alike = || today.iter().position(|terms| terms.effect == own.effect).unwrap_or_default();
    // What a delay costs, and the like, is today's.
    let base = classes[named.unwrap_or_else(alike)].clone();
    // Guards against a second run of what was taken on when nobody noted what a repeat would do.
    let effect = own.effect.unwrap_or(Effect::OnceOnly);
    let own = QueueClass {
        effect,
        dedup_by_zone: own.by_zone,
        dedup_window: own.window,
        ordered: own.in_turn,
        ..base
    };
    let mut held = if named.is_some() { stricter(&own, &base, owed.key.is_empty()) } else { own };
    held.ordered |= owed.terms.effect.is_none() && !owed.item.is_empty();
    if classes.len() >= MOST_CLASSES {
        held.effect = Effect::OnceOnly;
    }
    if held.effect != Effect::Tagged {
        (held.dedup_by_zone, held.dedup_window) = (base.dedup_by_zone, base.dedup_window);
    }
    let rules =
        |c: &QueueClass| (c.effect, c.dedup_by_zone, c.dedup_window, c.ordered, c.target_delay, c.lifetime);
    let worth = |c: &QueueClass| (c.importance, c.expiry_importance);
    let same = |c: &QueueClass| rules(c) == rules(&held) && worth(c) == worth(&held);
    let at = classes.iter().position(same).unwrap_or(classes.len());
    if at == classes.len() {
        classes.push(held);
    }
    at as u16
}

/// What both classes allow of a mail.
fn stricter(a: &QueueClass, b: &QueueClass, keyless: bool) -> QueueClass {
    let in_turn = a.ordered || b.ordered;
    match (a.effect, b.effect) {
        (Effect::Tagged, Effect::Tagged) => {
            let (by_zone, window) = (a.dedup_by_zone || b.dedup_by_zone, a.dedup_window.min(b.dedup_window));
            QueueClass { dedup_by_zone: by_zone, dedup_window: window, ordered: in_turn, ..a.clone() }
        }
        // Guards against repeats of what was taken on without a key.
        (Effect::Tagged, Effect::Redeliverable) | (Effect::Redeliverable, Effect::Tagged) if keyless => {
            QueueClass { effect: Effect::OnceOnly, ordered: in_turn, ..a.clone() }
        }
        (x, y) => QueueClass { ordered: in_turn, ..if x as u8 >= y as u8 { a } else { b }.clone() },
    }
}

/// A mail that is owed its end. Times are by the system's clock, in tenths of a millisecond.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Owed {
    pub id: Bytes,
    /// The idempotency key; empty: none.
    pub key: Bytes,
    /// What the mail is about, in a queue class that keeps its order; empty: nothing.
    pub item: Bytes,
    /// The module's class for it, by today's settings.
    pub class: u16,
    pub terms: Terms,
    pub dest: u64,
    /// When it was handed in; 0: on file before that was noted.
    pub since: Time,
    pub due: Time,
    pub body: Bytes,
    pub connects: u32,
    /// The first connect that may have run.
    pub ran: Option<Sent>,
    /// A connect that is out.
    pub out: Option<Sent>,
    /// Given up: only the notice is owed.
    pub verdict: Option<Verdict>,
}

impl Owed {
    /// Its sends were to zones of which nothing is known any more.
    pub fn forget_zones(&mut self) {
        [&mut self.ran, &mut self.out].into_iter().flatten().for_each(|sent| sent.1 = NO_ZONE);
    }
}

#[derive(Debug, PartialEq)]
pub enum Record<'a> {
    Taken {
        serial: u64,
        owed: &'a Owed,
    },
    Out {
        serial: u64,
        sent: Sent,
    },
    /// The connect that was out has an outcome; `ran`: it may have run. `rests`: it may be running still.
    Back {
        serial: u64,
        ran: bool,
        rests: bool,
        at: Time,
    },
    GivenUp {
        serial: u64,
        verdict: Verdict,
    },
    Over {
        serial: u64,
    },
    Rest {
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
pub struct Found {
    pub owed: BTreeMap<u64, Owed>,
    /// Keys of which a connect may be running still, and since when.
    pub rests: Vec<(Bytes, Time)>,
    /// The zones by whose places sends name theirs.
    pub zones: Bytes,
}

const NAME: &str = "journal";
const FRESH: &str = "journal.new";
const LOCK: &str = "lock";
const MAGIC: &[u8] = b"meadowhold journal 1\n";
const HEADER: usize = 8;
const BLOCK: u64 = 512;
/// Parts of the allowance, in hundredths: what is owed may take so much, the file grows to so much before
/// it is written anew. For that moment both files stand there; `memory` has what is beyond the two.
const OWED_PART: u64 = 34;
const FILE_PART: u64 = 44;

pub struct Journal {
    folder: PathBuf,
    files: Rc<dyn Files>,
    /// Held for as long as the journal is open. None: it could not be made yet, and nothing is written before.
    lock: Option<File>,
    /// None: it could not be written at the start, and is as soon as a record is to be noted and there is room.
    file: Option<File>,
    size: u64,
    allowance: u64,
    /// Bytes that the mails owed would take in a fresh file.
    live: u64,
    /// What the file says of zones.
    zones: Bytes,
    /// Part of a record may stand behind the file's last whole one.
    torn: bool,
    buffer: Vec<u8>,
}

/// Effects by their number on file.
const EFFECTS: [Option<Effect>; 4] =
    [None, Some(Effect::Redeliverable), Some(Effect::Tagged), Some(Effect::OnceOnly)];

fn short(out: &mut Vec<u8>, bytes: &[u8]) {
    out.put_u16(bytes.len() as u16);
    out.extend_from_slice(bytes);
}

fn maybe(out: &mut Vec<u8>, sent: Option<Sent>) {
    out.put_u8(u8::from(sent.is_some()));
    let (at, zone) = sent.unwrap_or_default();
    out.put_u64(at);
    out.put_u16(zone);
}

fn write(out: &mut Vec<u8>, record: &Record) {
    let start = out.len();
    out.extend_from_slice(&[0; HEADER]);
    match *record {
        Record::Taken { serial, owed } => {
            out.put_u8(8);
            out.put_u64(serial);
            out.put_u64(owed.since);
            [&owed.id, &owed.key, &owed.item].into_iter().for_each(|bytes| short(out, bytes));
            out.put_u16(owed.class);
            let Terms { class, effect, by_zone, window, in_turn } = &owed.terms;
            short(out, class);
            out.put_u8(EFFECTS.iter().position(|known| known == effect).unwrap_or(0) as u8);
            out.put_u8(u8::from(*by_zone) | u8::from(*in_turn) << 1);
            out.put_u64(*window);
            out.put_u64(owed.dest);
            out.put_u64(owed.due);
            out.put_u32(owed.connects);
            maybe(out, owed.ran);
            maybe(out, owed.out);
            out.extend_from_slice(&owed.body);
        }
        Record::Out { serial, sent } => {
            out.put_u8(2);
            out.put_u64(serial);
            out.put_u64(sent.0);
            out.put_u16(sent.1);
        }
        Record::Back { serial, ran, rests, at } => {
            out.put_u8(3);
            out.put_u64(serial);
            out.put_u8(u8::from(ran) | u8::from(rests) << 1);
            out.put_u64(at);
        }
        Record::GivenUp { serial, verdict } => {
            out.put_u8(4);
            out.put_u64(serial);
            match verdict {
                Verdict::Dead => out.put_u64(u64::MAX),
                Verdict::Bounced(wait) => out.put_u64(wait),
            }
        }
        Record::Over { serial } => {
            out.put_u8(5);
            out.put_u64(serial);
        }
        Record::Rest { item, since } => {
            out.put_u8(6);
            out.put_u64(since);
            short(out, item);
        }
        Record::Zones { names } => {
            out.put_u8(9);
            out.put_u64(0);
            out.extend_from_slice(names);
        }
    }
    let length = (out.len() - start - HEADER) as u32;
    let sum = crc32fast::hash(&out[start + HEADER..]);
    out[start..start + 4].copy_from_slice(&length.to_be_bytes());
    out[start + 4..start + HEADER].copy_from_slice(&sum.to_be_bytes());
}

/// What a mail takes in a fresh file, with its verdict, at most.
pub fn weight(owed: &Owed) -> u64 {
    let texts = [&owed.id, &owed.key, &owed.item, &owed.terms.class, &owed.body];
    (HEADER + 104) as u64 + texts.iter().map(|text| text.len() as u64).sum::<u64>()
}

/// Reads fields off the front of a record; `None` where it is too short.
struct Fields(Bytes);

impl Fields {
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

    fn short(&mut self) -> Option<Bytes> {
        let length = usize::from(self.u16()?);
        (length <= self.0.len()).then(|| self.0.split_to(length))
    }

    fn terms(&mut self) -> Option<Terms> {
        let (class, effect, flags) = (self.short()?, self.u8()?, self.u8()?);
        let effect = *EFFECTS.get(usize::from(effect))?;
        Some(Terms { class, effect, by_zone: flags & 1 != 0, in_turn: flags & 2 != 0, window: self.u64()? })
    }

    fn maybe(&mut self) -> Option<Option<Sent>> {
        let is = self.u8()? != 0;
        let sent = (self.u64()?, self.u16()?);
        Some(is.then_some(sent))
    }
}

impl Found {
    /// What a folder's journal says, and how many of its last bytes cannot be read.
    pub fn load(folder: &Path) -> io::Result<(Found, usize)> {
        let bytes = Bytes::from(fs::read(folder.join(NAME))?);
        let (found, good) = Found::read(&bytes);
        Ok((found, bytes.len() - good))
    }

    /// What the bytes of a journal say, up to the first that do not add up; and how many those are.
    pub fn read(bytes: &Bytes) -> (Found, usize) {
        let mut found = Found::default();
        if !bytes.starts_with(MAGIC) {
            return (found, 0);
        }
        let mut at = MAGIC.len();
        while let Some(mut header) = bytes.get(at..at + HEADER) {
            let (length, sum) = (header.get_u32() as usize, header.get_u32());
            let Some(end) = (at + HEADER).checked_add(length).filter(|&end| end <= bytes.len()) else {
                break;
            };
            let record = bytes.slice(at + HEADER..end);
            if crc32fast::hash(&record) != sum || found.apply(Fields(record)).is_none() {
                break;
            }
            at = end;
        }
        (found, at)
    }

    fn apply(&mut self, mut f: Fields) -> Option<()> {
        let (code, serial) = (f.u8()?, f.u64()?);
        match code {
            // The first two are how earlier versions had it.
            1 | 7 | 8 => {
                let since = if code == 1 { 0 } else { f.u64()? };
                let (id, key, item) = (f.short()?, f.short()?, f.short()?);
                let class = f.u16()?;
                let terms = if code == 8 { f.terms()? } else { Terms::default() };
                let (dest, due, connects) = (f.u64()?, f.u64()?, f.u32()?);
                let (ran, out) = (f.maybe()?, f.maybe()?);
                let body = f.0;
                let verdict = None;
                let owed =
                    Owed { id, key, item, class, terms, dest, since, due, body, connects, ran, out, verdict };
                self.owed.insert(serial, owed);
            }
            2 => {
                let sent = (f.u64()?, f.u16()?);
                let owed = self.owed.get_mut(&serial)?;
                // Guards against a second restart that forgets the first: what was out then may have run.
                let lost = owed.out.replace(sent);
                owed.ran = owed.ran.or(lost);
                owed.connects += 1;
            }
            3 => {
                let (flags, at) = (f.u8()?, f.u64()?);
                let owed = self.owed.get_mut(&serial)?;
                let sent = owed.out.take().filter(|_| flags & 1 != 0);
                owed.ran = owed.ran.or(sent);
                if flags & 2 != 0 && !owed.item.is_empty() {
                    self.rests.push((owed.item.clone(), at));
                }
            }
            4 => {
                let wait = f.u64()?;
                let verdict = if wait == u64::MAX { Verdict::Dead } else { Verdict::Bounced(wait) };
                self.owed.get_mut(&serial)?.verdict = Some(verdict);
            }
            // Guards against a whole record that speaks of a mail which is not there, as 0.2.0 could leave one:
            // it would hide all that follows.
            5 => drop(self.owed.remove(&serial)),
            // The place of the serial holds the time.
            6 => self.rests.push((f.short()?, serial)),
            9 => {
                let before = std::mem::replace(&mut self.zones, f.0);
                if before != self.zones {
                    self.owed.values_mut().for_each(Owed::forget_zones);
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
    pub fn open(folder: &Path, allowance: u64) -> io::Result<(Journal, Found)> {
        Journal::open_with(Rc::new(System), folder, allowance)
    }

    /// The same on files of a test's own.
    pub fn open_with(files: Rc<dyn Files>, folder: &Path, allowance: u64) -> io::Result<(Journal, Found)> {
        let lock = passing(take_lock(&*files, folder))?;
        let bytes = match files.read(&folder.join(NAME)) {
            Err(e) if e.kind() == io::ErrorKind::NotFound => Bytes::new(),
            read => Bytes::from(read?),
        };
        let (found, good) = Found::read(&bytes);
        if good < bytes.len() {
            log::warn!("the journal's last {} bytes cannot be read and are passed over", bytes.len() - good);
        }
        let mut journal = Journal {
            folder: folder.to_path_buf(),
            files,
            lock,
            file: None,
            size: good as u64,
            allowance,
            live: found.owed.values().map(weight).sum(),
            zones: found.zones.clone(),
            torn: false,
            buffer: Vec::new(),
        };
        if let Err(e) = journal.compact(&found.owed, &found.rests) {
            log::warn!("the journal cannot be written anew at the start: {e}");
            // Guards against a full disk that keeps what is owed from its end: the old file still serves.
            let old = if good > 0 && journal.lock.is_some() { journal.cut_old() } else { Err(e) };
            journal.file = passing(old)?;
        }
        Ok((journal, found))
    }

    /// The folder that lasts, and the bytes that it may hold.
    pub fn place(&self) -> (&Path, u64) {
        (&self.folder, self.allowance)
    }

    fn part(&self, hundredths: u64) -> u64 {
        (self.allowance / 100 * hundredths).saturating_sub(BLOCK)
    }

    /// Whether one more mail may be taken on.
    pub fn has_room(&self, owed: &Owed) -> bool {
        self.live + weight(owed) <= self.part(OWED_PART)
    }

    /// Whether the file should be written anew before this record.
    pub fn is_grown(&self, record: &Record) -> bool {
        let more = if let Record::Taken { owed, .. } = record { weight(owed) } else { 0 };
        self.file.is_none() || self.size + more > self.part(FILE_PART)
    }

    pub fn append(&mut self, record: &Record) -> io::Result<()> {
        self.buffer.clear();
        write(&mut self.buffer, record);
        if self.size + self.buffer.len() as u64 > self.part(FILE_PART + 2) {
            return Err(io::Error::new(io::ErrorKind::StorageFull, "the journal is full"));
        }
        let Some(file) = &mut self.file else {
            return Err(io::Error::new(io::ErrorKind::StorageFull, "there is no journal yet"));
        };
        // Guards against half a record in the middle, behind which nothing would be read again.
        if self.torn {
            self.files.cut(file, self.size)?;
            self.torn = false;
        }
        if let Err(e) = self.files.append(file, &self.buffer) {
            self.torn = self.files.cut(file, self.size).is_err();
            return Err(e);
        }
        self.size += self.buffer.len() as u64;
        match record {
            Record::Taken { owed, .. } => self.live += weight(owed),
            Record::Zones { names } => self.zones = Bytes::copy_from_slice(names),
            _ => {}
        }
        Ok(())
    }

    /// Bytes that the mails owed would take in a fresh file, for audits.
    pub fn live(&self) -> u64 {
        self.live
    }

    /// So many bytes less are owed, once the file is written anew.
    pub fn shrink(&mut self, bytes: u64) {
        self.live = self.live.saturating_sub(bytes);
    }

    /// Puts a fresh file of what is owed in the place of the old one.
    pub fn compact(&mut self, owed: &BTreeMap<u64, Owed>, rests: &[(Bytes, Time)]) -> io::Result<()> {
        if self.lock.is_none() {
            self.lock = Some(take_lock(&*self.files, &self.folder)?);
        }
        let (file, size) = write_anew(&*self.files, &self.folder, owed, rests, &self.zones)?;
        (self.file, self.size, self.torn) = (Some(file), size, false);
        Ok(())
    }

    /// The folder's journal as it stands, for appending behind what could be read of it.
    fn cut_old(&self) -> io::Result<File> {
        let file = self.files.open(&self.folder.join(NAME))?;
        self.files.cut(&file, self.size)?;
        Ok(file)
    }
}

/// Nothing, with a line of the log, where it may go well later.
fn passing(made: io::Result<File>) -> io::Result<Option<File>> {
    match made {
        Err(e) if may_pass(&e) => {
            log::warn!("nothing is taken on before the journal can be written: {e}");
            Ok(None)
        }
        made => made.map(Some),
    }
}

/// Guards against a second courier on the folder, which would put a file of its own in the place of ours.
fn take_lock(files: &dyn Files, folder: &Path) -> io::Result<File> {
    files.create_folder(folder)?;
    files.lock(&folder.join(LOCK))
}

/// Writes a file of what is owed and renames it to be the folder's journal; the file, for appending, and its
/// size.
fn write_anew(
    files: &dyn Files,
    folder: &Path,
    owed: &BTreeMap<u64, Owed>,
    rests: &[(Bytes, Time)],
    zones: &[u8],
) -> io::Result<(File, u64)> {
    let mut bytes = MAGIC.to_vec();
    if !zones.is_empty() {
        write(&mut bytes, &Record::Zones { names: zones });
    }
    for (&serial, owed) in owed {
        write(&mut bytes, &Record::Taken { serial, owed });
        if let Some(verdict) = owed.verdict {
            write(&mut bytes, &Record::GivenUp { serial, verdict });
        }
    }
    for (item, since) in rests {
        write(&mut bytes, &Record::Rest { item, since: *since });
    }
    let path = folder.join(FRESH);
    // One that an earlier process left behind half written.
    let _ = files.remove(&path);
    // Appending, so that a write that is cut back is followed by no gap.
    let mut file = files.create(&path)?;
    let written = files.append(&mut file, &bytes).and_then(|()| files.rename(&path, &folder.join(NAME)));
    if let Err(e) = written {
        let _ = files.remove(&path);
        return Err(e);
    }
    Ok((file, bytes.len() as u64))
}
