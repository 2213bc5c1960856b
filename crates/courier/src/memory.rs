//! What a courier stores beside its journal for its next process: the last list with its version, and what it knew of each
//! endpoint. One file, written completely under another name and then renamed; changes to a long list are appended
//! (`list_file`). It lets a start continue from the stored version but does not replace a request: the agent's list must
//! be held from the start, so the agent is asked at each start.

use std::collections::HashSet;
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use meadowhold::interface::{Time, SECOND};
use meadowhold_settings::Decoded;
use meadowhold_start::endpoint_state::Observation;
use serde::{Deserialize, Serialize};

use crate::discovery::{Entry, List};
use crate::entries::{unpack, Entries, EntryRef, Update};
use crate::list_file::{self, Table};

const FILE: &str = "memory";
const TEMPORARY_FILE: &str = "memory.new";
/// The first line is this text and the version of the format. A file of a later version is ignored.
const MAGIC: &str = "meadowhold memory ";
const VERSION: u32 = 1;
const HEADER_LEN: usize = 8;
const BLOCK: u64 = 512;
/// The share of the folder's allowance that the file may take, in percent. Rewriting it takes twice as much for a while;
/// the journal takes up to 80 percent.
pub const SHARE_PERCENT: u64 = 8;
/// How long after a write that failed the next one is tried.
const SAVE_RETRY_INTERVAL: Time = SECOND;
const MAX_ENTRIES: usize = 65_536;
/// A list of up to this many entries is written as JSON, which earlier versions of the program can read too.
const SHORT_LIST: usize = 256;
const OVER_SHARE: &str = "it is over its part of the folder (8 hundredths of limits.disk_mb)";
/// How far ahead of the clock the time of a file may be, as clocks are adjusted.
const MAX_CLOCK_SKEW: Time = 60 * SECOND;

/// The contents of the file. Times are those of the system clock, in tenths of a millisecond.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Memory {
    pub saved_at: Time,
    /// The deployment that it belongs to, from `deployment`; empty in files of earlier versions.
    #[serde(default)]
    pub deployment: String,
    /// The version of the list; 0 if no list is stored.
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
    /// The JSON text that relays send and that content hashes are computed from.
    pub fn to_json(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }
}

/// What was known of the endpoint of this name, with the fields of `Observation`.
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
    pub fn new(name: &str, sight: &Observation) -> KeptSight {
        let Observation { at, out, back_at, wait_until, tail, pace } = *sight;
        KeptSight { name: name.to_string(), at, out, back_at, wait_until, tail, pace }
    }

    pub fn sight(&self) -> Observation {
        let KeptSight { at, out, back_at, wait_until, tail, pace, .. } = *self;
        Observation { at, out, back_at, wait_until, tail, pace }
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

/// Identifies the deployment of these settings by the names and effects of classes, the zones and the kinds. Limits, costs
/// and the size of the fleet are left out: a stored list stays valid when they change.
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
    /// `None` if it belongs to another deployment. The destinations of another deployment may have the same numbers, and
    /// calls would go to its endpoints.
    pub fn for_deployment(self, deployment: &str) -> Option<Memory> {
        is_same_deployment(&self.deployment, deployment).then_some(self)
    }

    /// The list to start with: the newer one of the stored list and that of the configuration. Changes are requested from
    /// its version on.
    pub fn newer(kept: Option<Memory>, known: List) -> List {
        match kept {
            Some(kept) if kept.index > known.index => {
                let endpoints = kept.endpoints.into_iter().map(Entry::from).collect();
                List { index: kept.index, snapshot: true, endpoints }
            }
            _ => known,
        }
    }

    /// The contents of the file as bytes.
    pub fn bytes(&self) -> io::Result<Vec<u8>> {
        let body = serde_json::to_vec(self)?;
        let mut out = format!("{MAGIC}{VERSION}\n").into_bytes();
        out.extend_from_slice(&(body.len() as u32).to_be_bytes());
        out.extend_from_slice(&crc32fast::hash(&body).to_be_bytes());
        out.extend_from_slice(&body);
        Ok(out)
    }

    /// Reads the contents of a file. The error tells an operator why it is not used.
    pub fn read(bytes: &[u8], now: Time) -> Result<Memory, &'static str> {
        let rest = bytes.strip_prefix(MAGIC.as_bytes()).ok_or("it is not a memory file")?;
        let line = rest.iter().position(|&b| b == b'\n').ok_or("it is truncated")?;
        let version = std::str::from_utf8(&rest[..line]).ok().and_then(|text| text.parse::<u32>().ok());
        match version.ok_or("it is not a memory file")? {
            VERSION => {}
            0 => return Err("it is not a memory file"),
            _ => return Err("it was written by a later version"),
        }
        let (header, body) = rest[line + 1..].split_at_checked(HEADER_LEN).ok_or("it is truncated")?;
        let number =
            |at: usize| u32::from_be_bytes([header[at], header[at + 1], header[at + 2], header[at + 3]]);
        if (body.len() as u64) < u64::from(number(0)) {
            return Err("it is truncated");
        }
        if body.len() as u64 != u64::from(number(0)) || crc32fast::hash(body) != number(4) {
            return Err("its checksum is wrong");
        }
        let memory: Memory = serde_json::from_slice(body).map_err(|_| "it cannot be parsed")?;
        memory.check(now)?;
        Ok(memory)
    }

    /// Rejects contents with a valid checksum that are impossible, because of a bug or a manual edit.
    fn check(&self, now: Time) -> Result<(), &'static str> {
        if self.saved_at > now.saturating_add(MAX_CLOCK_SKEW) {
            return Err("its time is in the future");
        }
        if self.endpoints.len().max(self.sights.len()) > MAX_ENTRIES {
            return Err("it has too many entries");
        }
        if self.index == 0 && !self.endpoints.is_empty() {
            return Err("its list has no version");
        }
        let mut names = HashSet::new();
        let is_valid =
            |kept: &KeptEntry| !kept.name.is_empty() && kept.weight.is_finite() && kept.weight >= 0.0;
        if !self.endpoints.iter().all(|kept| is_valid(kept) && names.insert(&kept.name)) {
            return Err("its list is invalid");
        }
        names.clear();
        let is_valid =
            |seen: &KeptSight| seen.pace.is_finite() && seen.pace >= 0.0 && seen.at <= self.saved_at;
        if !self.sights.iter().all(|seen| is_valid(seen) && names.insert(&seen.name)) {
            return Err("its sights of endpoints are invalid");
        }
        Ok(())
    }
}

fn max_len(allowance: u64) -> u64 {
    (allowance / 100 * SHARE_PERCENT).saturating_sub(BLOCK)
}

/// The contents of the file, by its format.
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

/// Loads the file of a folder. `None` if there is none, or none that can be used, which is logged.
fn load_file(folder: &Path, allowance: u64, now: Time) -> Option<Loaded> {
    let path = folder.join(FILE);
    let size = match fs::metadata(&path) {
        Err(e) if e.kind() == io::ErrorKind::NotFound => return None,
        Err(e) => {
            log::warn!("the memory of an earlier process is passed over: {e}");
            return None;
        }
        Ok(metadata) => metadata.len(),
    };
    // Checked before it is read, so that a huge file cannot exhaust the memory of the process.
    let read = if size > max_len(allowance) {
        Err("it is larger than its share of the folder".to_string())
    } else {
        let bytes = fs::read(&path).map_err(|e| e.to_string());
        bytes.and_then(|bytes| read(&bytes, now).map_err(str::to_string))
    };
    read.inspect_err(|reason| log::warn!("the memory of an earlier process is passed over: {reason}")).ok()
}

fn read(bytes: &[u8], now: Time) -> Result<Loaded, &'static str> {
    if !bytes.starts_with(list_file::MAGIC) {
        return Memory::read(bytes, now).map(Loaded::Whole);
    }
    let contents = list_file::read(bytes)?;
    if contents.saved_at > now.saturating_add(MAX_CLOCK_SKEW) {
        return Err("its time is in the future");
    }
    Ok(Loaded::Packed(contents))
}

/// Loads the contents of a folder's file. `None` if there is none, or none that can be used, which is logged.
pub fn load(folder: &Path, allowance: u64, now: Time) -> Option<Memory> {
    match load_file(folder, allowance, now)? {
        Loaded::Whole(memory) => Some(memory),
        Loaded::Packed(list_file::Contents { deployment, saved_at, index, table, .. }) => {
            let entries = table.sorted().into_iter().flat_map(unpack).filter_map(|(entry, _)| entry);
            let endpoints = entries.map(|entry| KeptEntry::from(&entry)).collect();
            Some(Memory { saved_at, deployment, index, endpoints, sights: Vec::new() })
        }
    }
}

/// Replaces the file with a new one.
///
/// # Errors
/// I/O errors, or the file would be larger than its share of the folder; the old file is then unchanged.
pub fn save(folder: &Path, allowance: u64, memory: &Memory) -> io::Result<()> {
    let bytes = memory.bytes()?;
    if bytes.len() as u64 > max_len(allowance) {
        return Err(io::Error::new(io::ErrorKind::StorageFull, OVER_SHARE));
    }
    let path = folder.join(TEMPORARY_FILE);
    let mut file = File::create(&path)?;
    let written = file.write_all(&bytes).and_then(|()| fs::rename(&path, folder.join(FILE)));
    // An incomplete file would take disk space until the next start.
    written.inspect_err(|_| drop(fs::remove_file(&path)))
}

/// Replaces the file with a whole list that belongs to this deployment.
///
/// # Errors
/// As `save`.
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

/// The current list, saved when it has changed: a short list is written completely, of a long one only the changes.
pub struct ListStore {
    folder: PathBuf,
    allowance: u64,
    deployment: String,
    index: u64,
    table: Table,
    /// The list has changed since it was last saved.
    is_unsaved: bool,
    /// No save is tried before this time.
    retry_at: Time,
    /// Where changes are appended, if the file can be continued, and the packed entries to append.
    position: Option<list_file::Position>,
    changes: Vec<u8>,
    /// The last save failed, which is logged only the first time.
    save_failed: bool,
    /// How many saves have failed.
    failures: u64,
}

impl ListStore {
    /// `allowance`: the bytes that the folder may take.
    pub fn new(folder: &Path, allowance: u64, deployment: String) -> ListStore {
        let (folder, table, changes) = (folder.to_path_buf(), Table::default(), Vec::new());
        ListStore {
            folder,
            allowance,
            deployment,
            index: 0,
            table,
            is_unsaved: false,
            retry_at: 0,
            position: None,
            changes,
            save_failed: false,
            failures: 0,
        }
    }

    /// The list to start with: the newer one of the stored list and that of the configuration. `accepts` tells whether a
    /// list stored for another deployment is used all the same.
    pub fn recall(&mut self, known: List, now: Time, accepts: impl Fn(&str) -> bool) -> Update {
        let known = List { snapshot: true, ..known };
        let loaded = load_file(&self.folder, self.allowance, now);
        let is_usable = |kept: &str| accepts(kept) || is_same_deployment(kept, &self.deployment);
        match loaded.filter(|loaded| is_usable(loaded.deployment())) {
            Some(Loaded::Packed(contents)) if contents.index > known.index => {
                let mut entries = Entries::default();
                contents.table.sorted().into_iter().for_each(|packed| entries.push_packed(packed));
                (self.table, self.position, self.index) = (contents.table, contents.position, contents.index);
                Update { index: contents.index, whole: true, entries }
            }
            Some(Loaded::Whole(memory)) => Update::from(&Memory::newer(Some(memory), known)),
            Some(Loaded::Packed(_)) | None => Update::from(&known),
        }
    }

    /// Applies a whole list or changes.
    pub fn apply_list(&mut self, list: &List) {
        self.apply(&Update::from(list));
    }

    /// The same for a list as the reader returns it.
    pub fn apply(&mut self, list: &Update) {
        let ListStore { table, position, changes, is_unsaved, .. } = self;
        *is_unsaved |= self.index != list.index;
        self.index = list.index;
        // Another list service may use the same version for another list.
        table.apply(list, |packed| {
            *is_unsaved = true;
            changes.extend_from_slice(packed);
        });
        // Once the pending changes are longer than the base of the file, it is rewritten.
        if position.is_none_or(|position| changes.len() as u64 > position.base_len) {
            (self.position, self.changes) = (None, Vec::new());
        }
    }

    /// Saves the list if it has changed since the last save. After a failure it is tried again at `next_attempt`.
    pub fn save(&mut self, now: Time) {
        if self.next_attempt().is_none_or(|at| now < at) {
            return;
        }
        let saved = self.write(now);
        // Logged once for as long as saving keeps failing.
        match &saved {
            Err(e) if !self.save_failed => log::warn!("the list cannot be kept: {e}"),
            _ => {}
        }
        self.save_failed = saved.is_err();
        self.is_unsaved = self.save_failed;
        if self.save_failed {
            self.failures += 1;
            self.retry_at = now + SAVE_RETRY_INTERVAL;
        }
    }

    /// From when on `save` writes; `None` if there is nothing to save. A list without a version is not saved: no changes
    /// could be requested from it on.
    pub fn next_attempt(&self) -> Option<Time> {
        let is_due = self.is_unsaved && self.index != 0;
        is_due.then_some(if self.save_failed { self.retry_at } else { 0 })
    }

    /// How many saves have failed since the start of the process.
    pub fn failures(&self) -> u64 {
        self.failures
    }

    fn write(&mut self, now: Time) -> io::Result<()> {
        if self.table.len() > SHORT_LIST {
            self.save_changes(now)
        } else {
            self.save_whole(now)
        }
    }

    /// The number of entries that it would hold after these changes.
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

    /// Appends the changes, or rewrites the file if it would grow to more than twice its base or over its share of the
    /// folder.
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
                Err(e) => log::debug!("the list file is rewritten: {e}"),
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
