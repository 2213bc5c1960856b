//! What a courier keeps beside its journal for its next process: the last list with its version, and what it knew
//! of each endpoint. One file, written whole under another name and renamed; to a long one changes are appended (`list_file`).
//! It saves questions and stands in
//! for no answer: what the agent has counts as told from the first moment, so it is asked at each start.

use std::collections::HashSet;
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use meadowhold::interface::{Time, SECOND};
use meadowhold_settings::Decoded;
use meadowhold_start::recall::Sight;
use serde::{Deserialize, Serialize};

use crate::discovery::{Entry, List};
use crate::entries::{unpack, Entries, EntryRef, Update};
use crate::list_file::{self, Table};

const FILE: &str = "memory";
const TEMPORARY_FILE: &str = "memory.new";
/// The version stands in the first line. A later version's file is passed over.
const MAGIC: &str = "meadowhold memory ";
const VERSION: u32 = 1;
const HEADER_LEN: usize = 8;
const BLOCK: u64 = 512;
/// Hundredths of the folder's allowance. Twice that while it is written anew; the journal takes up to 80.
pub const SHARE_PERCENT: u64 = 8;
/// The file is written no more often: lists may change many times in a row.
const SAVE_INTERVAL: Time = SECOND;
const MAX_ENTRIES: usize = 65_536;
/// A list of no more entries is written whole, and can then be read by earlier versions of the program too.
const SHORT_LIST: usize = 256;
const OVER_SHARE: &str = "it is over its part of the folder (8 hundredths of limits.disk_mb)";
/// So far ahead of the clock a file may be: clocks are set.
const MAX_CLOCK_SKEW: Time = 60 * SECOND;

/// What is kept. Times are by the system's clock, in tenths of a millisecond.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Memory {
    pub saved_at: Time,
    /// Whose it is, by `deployment`; empty in files of earlier versions.
    #[serde(default)]
    pub deployment: String,
    /// The list's version; 0: no list is kept.
    pub index: u64,
    pub endpoints: Vec<KeptEntry>,
    pub sights: Vec<KeptSight>,
}

/// An entry of the list.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct KeptEntry {
    pub name: String,
    pub address: String,
    pub zone: String,
    #[serde(rename = "type")]
    pub kind: String,
    pub group: u64,
    pub status: String,
    pub weight: f64,
    pub since_ms: u64,
}

impl KeptEntry {
    /// As relays tell it, and as its content hash is reckoned.
    pub fn to_json(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }
}

/// What was known of the endpoint of this name: the fields of `Sight`.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct KeptSight {
    pub name: String,
    pub at: Time,
    pub out: bool,
    pub back_at: Time,
    pub wait_until: Time,
    pub tail: Time,
    pub pace: f64,
}

impl KeptSight {
    pub fn new(name: &str, sight: &Sight) -> KeptSight {
        let Sight { at, out, back_at, wait_until, tail, pace } = *sight;
        KeptSight { name: name.to_string(), at, out, back_at, wait_until, tail, pace }
    }

    pub fn sight(&self) -> Sight {
        let KeptSight { at, out, back_at, wait_until, tail, pace, .. } = *self;
        Sight { at, out, back_at, wait_until, tail, pace }
    }
}

impl From<&EntryRef<'_>> for KeptEntry {
    fn from(entry: &EntryRef) -> KeptEntry {
        let EntryRef { name, address, zone, kind, group, weight, since_ms, .. } = *entry;
        let [name, address, zone, kind, status] =
            [name, address, zone, kind, entry.status()].map(str::to_string);
        KeptEntry { name, address, zone, kind, group, status, weight, since_ms }
    }
}

impl From<KeptEntry> for Entry {
    fn from(kept: KeptEntry) -> Entry {
        let KeptEntry { name, address, zone, kind, group, status, weight, since_ms } = kept;
        Entry { name, address, zone, kind, group, status, weight, since_ms }
    }
}

/// What tells one deployment's settings from another's: names and effects of classes, zones and kinds. Limits, costs
/// and the fleet's size may change under a list that still holds.
pub fn deployment(decoded: &Decoded) -> String {
    let effects = decoded.settings.classes.iter().map(|class| class.effect);
    let classes: Vec<_> = decoded.classes.iter().zip(effects).collect();
    format!("{classes:?} {:?} {:?}", decoded.zones, decoded.kinds)
}

fn is_same_deployment(kept: &str, deployment: &str) -> bool {
    if kept != deployment {
        log::warn!("the memory of an earlier process is passed over: it is another deployment's");
    }
    kept == deployment
}

impl Memory {
    /// Guards against calls to another deployment's endpoints, whose destinations may bear the same numbers.
    pub fn for_deployment(self, deployment: &str) -> Option<Memory> {
        is_same_deployment(&self.deployment, deployment).then_some(self)
    }

    /// What a start begins with: the newer of what is kept and what the configuration names. Ask for what came
    /// after its version.
    pub fn newer(kept: Option<Memory>, known: List) -> List {
        match kept {
            Some(kept) if kept.index > known.index => {
                let endpoints = kept.endpoints.into_iter().map(Entry::from).collect();
                List { index: kept.index, snapshot: true, endpoints }
            }
            _ => known,
        }
    }

    /// The file's bytes.
    pub fn bytes(&self) -> io::Result<Vec<u8>> {
        let body = serde_json::to_vec(self)?;
        let mut out = format!("{MAGIC}{VERSION}\n").into_bytes();
        out.extend_from_slice(&(body.len() as u32).to_be_bytes());
        out.extend_from_slice(&crc32fast::hash(&body).to_be_bytes());
        out.extend_from_slice(&body);
        Ok(out)
    }

    /// What a file's bytes say at this time; the words tell an operator why nothing is taken from them.
    pub fn read(bytes: &[u8], now: Time) -> Result<Memory, &'static str> {
        let rest = bytes.strip_prefix(MAGIC.as_bytes()).ok_or("it is no such file")?;
        let line = rest.iter().position(|&b| b == b'\n').ok_or("it is cut short")?;
        let version = std::str::from_utf8(&rest[..line]).ok().and_then(|text| text.parse::<u32>().ok());
        match version.ok_or("it is no such file")? {
            VERSION => {}
            0 => return Err("it is no such file"),
            _ => return Err("a later version wrote it"),
        }
        let (header, body) = rest[line + 1..].split_at_checked(HEADER_LEN).ok_or("it is cut short")?;
        let number =
            |at: usize| u32::from_be_bytes([header[at], header[at + 1], header[at + 2], header[at + 3]]);
        if (body.len() as u64) < u64::from(number(0)) {
            return Err("it is cut short");
        }
        if body.len() as u64 != u64::from(number(0)) || crc32fast::hash(body) != number(4) {
            return Err("its checksum is wrong");
        }
        let memory: Memory = serde_json::from_slice(body).map_err(|_| "it cannot be read")?;
        memory.check(now)?;
        Ok(memory)
    }

    /// Guards against what adds up and cannot be, by a fault of ours or another's hand.
    fn check(&self, now: Time) -> Result<(), &'static str> {
        if self.saved_at > now.saturating_add(MAX_CLOCK_SKEW) {
            return Err("it is from the future");
        }
        if self.endpoints.len().max(self.sights.len()) > MAX_ENTRIES {
            return Err("it holds too much");
        }
        if self.index == 0 && !self.endpoints.is_empty() {
            return Err("its list has no version");
        }
        let mut names = HashSet::new();
        let is_valid =
            |kept: &KeptEntry| !kept.name.is_empty() && kept.weight.is_finite() && kept.weight >= 0.0;
        if !self.endpoints.iter().all(|kept| is_valid(kept) && names.insert(&kept.name)) {
            return Err("its list cannot be");
        }
        names.clear();
        let is_valid =
            |seen: &KeptSight| seen.pace.is_finite() && seen.pace >= 0.0 && seen.at <= self.saved_at;
        if !self.sights.iter().all(|seen| is_valid(seen) && names.insert(&seen.name)) {
            return Err("what it says of endpoints cannot be");
        }
        Ok(())
    }
}

fn max_len(allowance: u64) -> u64 {
    (allowance / 100 * SHARE_PERCENT).saturating_sub(BLOCK)
}

/// What a folder keeps, by how it was written.
enum Loaded {
    Whole(Memory),
    Packed(list_file::Contents),
}

impl Loaded {
    fn deployment(&self) -> &str {
        match self {
            Loaded::Whole(memory) => &memory.deployment,
            Loaded::Packed(contents) => &contents.deployment,
        }
    }
}

/// What the folder keeps; `None` where there is nothing, or nothing that can be used, which is worth one line.
fn loaded(folder: &Path, allowance: u64, now: Time) -> Option<Loaded> {
    let path = folder.join(FILE);
    let size = match fs::metadata(&path) {
        Err(e) if e.kind() == io::ErrorKind::NotFound => return None,
        Err(e) => {
            log::warn!("the memory of an earlier process is passed over: {e}");
            return None;
        }
        Ok(metadata) => metadata.len(),
    };
    // Before it is read: guards against a file that fills the memory of the process.
    let read = if size > max_len(allowance) {
        Err("it is too long".to_string())
    } else {
        let bytes = fs::read(&path).map_err(|e| e.to_string());
        bytes.and_then(|bytes| read(&bytes, now).map_err(str::to_string))
    };
    read.inspect_err(|words| log::warn!("the memory of an earlier process is passed over: {words}")).ok()
}

fn read(bytes: &[u8], now: Time) -> Result<Loaded, &'static str> {
    if !bytes.starts_with(list_file::MAGIC) {
        return Memory::read(bytes, now).map(Loaded::Whole);
    }
    let contents = list_file::read(bytes)?;
    if contents.saved_at > now.saturating_add(MAX_CLOCK_SKEW) {
        return Err("it is from the future");
    }
    Ok(Loaded::Packed(contents))
}

/// What the folder keeps, in full; `None` where there is nothing, or nothing that can be used, which is worth one line.
pub fn load(folder: &Path, allowance: u64, now: Time) -> Option<Memory> {
    match loaded(folder, allowance, now)? {
        Loaded::Whole(memory) => Some(memory),
        Loaded::Packed(list_file::Contents { deployment, saved_at, index, table, .. }) => {
            let entries = table.sorted().into_iter().flat_map(unpack).filter_map(|(entry, _)| entry);
            let endpoints = entries.map(|entry| KeptEntry::from(&entry)).collect();
            Some(Memory { saved_at, deployment, index, endpoints, sights: Vec::new() })
        }
    }
}

/// Puts a new file in the place of the old one. Errors: the system's, or that it would be over its part of the
/// folder's allowance; the old file stays then.
pub fn save(folder: &Path, allowance: u64, memory: &Memory) -> io::Result<()> {
    let bytes = memory.bytes()?;
    if bytes.len() as u64 > max_len(allowance) {
        return Err(io::Error::new(io::ErrorKind::StorageFull, OVER_SHARE));
    }
    let path = folder.join(TEMPORARY_FILE);
    let mut file = File::create(&path)?;
    let written = file.write_all(&bytes).and_then(|()| fs::rename(&path, folder.join(FILE)));
    // Guards against half a file that takes room until the next start.
    written.inspect_err(|_| drop(fs::remove_file(&path)))
}

/// Puts a whole list on file in the place of what is there; it is kept for whoever names this deployment. Errors: as `save`.
pub fn save_list(
    folder: &Path,
    allowance: u64,
    deployment: String,
    list: &Update,
    now: Time,
) -> io::Result<()> {
    let mut store = ListStore::new(folder, allowance, deployment);
    store.apply(list);
    store.write(now)
}

/// The list as it stands, put on file when it has changed: a short one whole, of a long one what has changed.
pub struct ListStore {
    folder: PathBuf,
    allowance: u64,
    deployment: String,
    index: u64,
    table: Table,
    /// The version on file, and when it was put there.
    saved: (u64, Time),
    /// The file to which changes are appended, and those that are not there yet, packed.
    position: Option<list_file::Position>,
    changes: Vec<u8>,
    save_failed: bool,
}

impl ListStore {
    /// `allowance`: bytes that the folder may hold.
    pub fn new(folder: &Path, allowance: u64, deployment: String) -> ListStore {
        let (folder, table, changes) = (folder.to_path_buf(), Table::default(), Vec::new());
        let (saved, position, save_failed) = ((0, 0), None, false);
        ListStore { folder, allowance, deployment, index: 0, table, saved, position, changes, save_failed }
    }

    /// What a start begins with: the newer of what the folder keeps and what the configuration names. `ours`: whether
    /// what was kept for another deployment is taken all the same.
    pub fn recall(&mut self, known: List, now: Time, accepts: impl Fn(&str) -> bool) -> Update {
        let known = List { snapshot: true, ..known };
        let loaded = loaded(&self.folder, self.allowance, now);
        let is_usable = |kept: &str| accepts(kept) || is_same_deployment(kept, &self.deployment);
        match loaded.filter(|loaded| is_usable(loaded.deployment())) {
            Some(Loaded::Packed(contents)) if contents.index > known.index => {
                let mut entries = Entries::default();
                contents.table.sorted().into_iter().for_each(|packed| entries.push_packed(packed));
                (self.table, self.position, self.index) = (contents.table, contents.position, contents.index);
                self.saved = (contents.index, contents.saved_at.min(now));
                Update { index: contents.index, whole: true, entries }
            }
            Some(Loaded::Whole(memory)) => Update::from(&Memory::newer(Some(memory), known)),
            Some(Loaded::Packed(_)) | None => Update::from(&known),
        }
    }

    /// The list, or changes to it.
    pub fn apply_list(&mut self, list: &List) {
        self.apply(&Update::from(list));
    }

    /// The same, as it was read.
    pub fn apply(&mut self, list: &Update) {
        self.index = list.index;
        let ListStore { table, position, changes, .. } = self;
        table.apply(list, |packed| changes.extend_from_slice(packed));
        // As long as the file itself: it is written anew.
        if position.is_none_or(|position| changes.len() as u64 > position.base_len) {
            (self.position, self.changes) = (None, Vec::new());
        }
    }

    /// Writes the file if the list has another version than it, and it has not just been written.
    pub fn save(&mut self, now: Time) {
        // Without a version nothing could be asked for after it.
        if self.index == self.saved.0 || self.index == 0 || now < self.saved.1 + SAVE_INTERVAL {
            return;
        }
        self.saved = (self.index, now);
        let saved = self.write(now);
        // One line for as long as it lasts.
        match &saved {
            Err(e) if !self.save_failed => log::warn!("the list cannot be kept: {e}"),
            _ => {}
        }
        self.save_failed = saved.is_err();
    }

    /// A short list whole, and of a long one what has changed.
    fn write(&mut self, now: Time) -> io::Result<()> {
        if self.table.len() > SHORT_LIST {
            self.save_changes(now)
        } else {
            self.save_whole(now)
        }
    }

    /// Entries that it would hold with these changes.
    pub fn count_after(&self, changes: &Update) -> usize {
        self.table.len() + changes.count_added(|name| self.table.contains(name))
    }

    fn save_whole(&mut self, now: Time) -> io::Result<()> {
        (self.position, self.changes) = (None, Vec::new());
        let entries = self.table.sorted().into_iter().flat_map(unpack).filter_map(|(entry, _)| entry);
        let endpoints = entries.map(|entry| KeptEntry::from(&entry)).collect();
        let (deployment, sights) = (self.deployment.clone(), Vec::new());
        let memory = Memory { saved_at: now, deployment, index: self.index, endpoints, sights };
        save(&self.folder, self.allowance, &memory)
    }

    /// Appends what has changed, or writes the file anew where it would have grown to twice its list or over its part of
    /// the folder.
    fn save_changes(&mut self, now: Time) -> io::Result<()> {
        let (path, max_len) = (self.folder.join(FILE), max_len(self.allowance));
        let commit = (now, self.index, self.table.len() as u64);
        let changes = std::mem::take(&mut self.changes);
        let fits = |position: &list_file::Position| {
            let length = position.len + list_file::appended_len(&changes);
            length <= max_len && length <= 2 * position.base_len
        };
        if let Some(position) = self.position.take().filter(fits) {
            match list_file::append(&path, position, &changes, commit) {
                Ok(position) => {
                    self.position = Some(position);
                    return Ok(());
                }
                Err(e) => log::debug!("the kept list is written anew: {e}"),
            }
        }
        if self.table.file_len(&self.deployment) > max_len {
            return Err(io::Error::new(io::ErrorKind::StorageFull, OVER_SHARE));
        }
        let paths = (&*self.folder.join(TEMPORARY_FILE), &*path);
        self.position = Some(list_file::write(paths, &self.deployment, &self.table, (now, self.index))?);
        Ok(())
    }
}

#[cfg(test)]
mod tests;
