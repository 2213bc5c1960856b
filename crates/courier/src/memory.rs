//! What a courier keeps beside its journal for its next process: the last list with its version, and what it knew
//! of each endpoint. One small file, written whole under another name and renamed. It saves questions and stands in
//! for no answer: what the agent has counts as told from the first moment, so it is asked at each start.

use std::collections::{BTreeMap, HashSet};
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use meadowhold::interface::{Life, Time, SECOND};
use meadowhold_settings::Decoded;
use meadowhold_start::recall::Sight;
use serde::{Deserialize, Serialize};

use crate::discovery::{Entry, List};

const NAME: &str = "memory";
const FRESH: &str = "memory.new";
/// The version stands in the first line. A later version's file is passed over.
const MAGIC: &str = "meadowhold memory ";
const VERSION: u32 = 1;
const HEADER: usize = 8;
const BLOCK: u64 = 512;
/// Hundredths of the folder's allowance. Twice that while it is written anew; the journal takes up to 80.
pub const PART: u64 = 8;
/// The file is written no more often: lists may change many times in a row.
const EVERY: Time = SECOND;
const MOST_ENTRIES: usize = 65_536;
/// So far ahead of the clock a file may be: clocks are set.
const AHEAD: Time = 60 * SECOND;

/// What is kept. Times are by the system's clock, in tenths of a millisecond.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Memory {
    pub saved_at: Time,
    /// Whose it is, by `deployment`; empty in files of earlier versions.
    #[serde(default)]
    pub deployment: String,
    /// The list's version; 0: no list is kept.
    pub index: u64,
    pub endpoints: Vec<Kept>,
    pub sights: Vec<Seen>,
}

/// An entry of the list.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Kept {
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

/// What was known of the endpoint of this name: the fields of `Sight`.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Seen {
    pub name: String,
    pub at: Time,
    pub out: bool,
    pub back_at: Time,
    pub wait_until: Time,
    pub tail: Time,
    pub pace: f64,
}

impl Seen {
    pub fn new(name: &str, sight: &Sight) -> Seen {
        let Sight { at, out, back_at, wait_until, tail, pace } = *sight;
        Seen { name: name.to_string(), at, out, back_at, wait_until, tail, pace }
    }

    pub fn sight(&self) -> Sight {
        let Seen { at, out, back_at, wait_until, tail, pace, .. } = *self;
        Sight { at, out, back_at, wait_until, tail, pace }
    }
}

impl From<&Entry> for Kept {
    fn from(entry: &Entry) -> Kept {
        let Entry { name, address, zone, kind, group, status, weight, since_ms } = entry.clone();
        Kept { name, address, zone, kind, group, status, weight, since_ms }
    }
}

impl From<Kept> for Entry {
    fn from(kept: Kept) -> Entry {
        let Kept { name, address, zone, kind, group, status, weight, since_ms } = kept;
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

impl Memory {
    /// Guards against calls to another deployment's endpoints, whose destinations may bear the same numbers.
    pub fn of(self, deployment: &str) -> Option<Memory> {
        let same = self.deployment == deployment;
        if !same {
            log::warn!("the memory of an earlier process is passed over: it is another deployment's");
        }
        same.then_some(self)
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
        let (header, body) = rest[line + 1..].split_at_checked(HEADER).ok_or("it is cut short")?;
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
        if self.saved_at > now.saturating_add(AHEAD) {
            return Err("it is from the future");
        }
        if self.endpoints.len().max(self.sights.len()) > MOST_ENTRIES {
            return Err("it holds too much");
        }
        if self.index == 0 && !self.endpoints.is_empty() {
            return Err("its list has no version");
        }
        let mut names = HashSet::new();
        let sound = |kept: &Kept| !kept.name.is_empty() && kept.weight.is_finite() && kept.weight >= 0.0;
        if !self.endpoints.iter().all(|kept| sound(kept) && names.insert(&kept.name)) {
            return Err("its list cannot be");
        }
        names.clear();
        let sound = |seen: &Seen| seen.pace.is_finite() && seen.pace >= 0.0 && seen.at <= self.saved_at;
        if !self.sights.iter().all(|seen| sound(seen) && names.insert(&seen.name)) {
            return Err("what it says of endpoints cannot be");
        }
        Ok(())
    }
}

fn most(allowance: u64) -> u64 {
    (allowance / 100 * PART).saturating_sub(BLOCK)
}

/// What the folder keeps; `None` where there is nothing, or nothing that can be used, which is worth one line.
pub fn load(folder: &Path, allowance: u64, now: Time) -> Option<Memory> {
    let path = folder.join(NAME);
    let size = match fs::metadata(&path) {
        Err(e) if e.kind() == io::ErrorKind::NotFound => return None,
        Err(e) => {
            log::warn!("the memory of an earlier process is passed over: {e}");
            return None;
        }
        Ok(found) => found.len(),
    };
    // Before it is read: guards against a file that fills the memory of the process.
    let read = if size > most(allowance) {
        Err("it is too long".to_string())
    } else {
        let bytes = fs::read(&path).map_err(|e| e.to_string());
        bytes.and_then(|bytes| Memory::read(&bytes, now).map_err(str::to_string))
    };
    read.inspect_err(|words| log::warn!("the memory of an earlier process is passed over: {words}")).ok()
}

/// Puts a new file in the place of the old one. Errors: the system's, or that it would be over its part of the
/// folder's allowance; the old file stays then.
pub fn save(folder: &Path, allowance: u64, memory: &Memory) -> io::Result<()> {
    let bytes = memory.bytes()?;
    if bytes.len() as u64 > most(allowance) {
        return Err(io::Error::new(io::ErrorKind::StorageFull, "the memory is over its part of the folder"));
    }
    let path = folder.join(FRESH);
    let mut file = File::create(&path)?;
    let written = file.write_all(&bytes).and_then(|()| fs::rename(&path, folder.join(NAME)));
    // Guards against half a file that takes room until the next start.
    written.inspect_err(|_| drop(fs::remove_file(&path)))
}

/// The list as it stands, put on file when it has changed.
pub struct Keeper {
    folder: PathBuf,
    allowance: u64,
    deployment: String,
    index: u64,
    endpoints: BTreeMap<String, Kept>,
    /// The version on file, and when it was put there.
    saved: (u64, Time),
    unwritten: bool,
}

impl Keeper {
    /// `allowance`: bytes that the folder may hold.
    pub fn new(folder: &Path, allowance: u64, deployment: String) -> Keeper {
        let (folder, endpoints) = (folder.to_path_buf(), BTreeMap::new());
        Keeper { folder, allowance, deployment, index: 0, endpoints, saved: (0, 0), unwritten: false }
    }

    /// The list, or changes to it.
    pub fn listed(&mut self, list: &List) {
        self.index = list.index;
        if list.snapshot {
            self.endpoints.clear();
        }
        for entry in &list.endpoints {
            if entry.life() == Life::Gone {
                self.endpoints.remove(&entry.name);
            } else {
                self.endpoints.insert(entry.name.clone(), Kept::from(entry));
            }
        }
    }

    /// Writes the file if the list has another version than it, and it has not just been written.
    pub fn save(&mut self, now: Time) {
        // Without a version nothing could be asked for after it.
        if self.index == self.saved.0 || self.index == 0 || now < self.saved.1 + EVERY {
            return;
        }
        self.saved = (self.index, now);
        let endpoints = self.endpoints.values().cloned().collect();
        let (deployment, sights) = (self.deployment.clone(), Vec::new());
        let memory = Memory { saved_at: now, deployment, index: self.index, endpoints, sights };
        let saved = save(&self.folder, self.allowance, &memory);
        // One line for as long as it lasts.
        match &saved {
            Err(e) if !self.unwritten => log::warn!("the list cannot be kept: {e}"),
            _ => {}
        }
        self.unwritten = saved.is_err();
    }
}

#[cfg(test)]
mod tests;
