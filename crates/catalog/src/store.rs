//! The list in partitions, each with its own version and content hash. The text of each entry is held once. Recent
//! changes are kept in a bounded window: a follower that is behind is sent one merged delta, or the snapshot if it
//! is too far behind.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use xxhash_rust::xxh3::xxh3_64;

use crate::content::entry_hash;
use crate::versions::{self, EntrySummary, Fault, Offer, Verdict, Version, Versions};

/// The partition of a destination; must be the same in each process and release.
pub fn partition(destination: u64, partitions: u32) -> u32 {
    (xxh3_64(&destination.to_le_bytes()) % u64::from(partitions.max(1))) as u32
}

pub const MAX_PARTITIONS: u32 = 4096;

/// Maximum number of deltas that are cached for the held version; otherwise there could be one from each earlier
/// step.
const MAX_DELTAS: usize = 16;

/// Capacity of a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    pub entries: usize,
    /// Total size of the entries' texts in bytes.
    pub bytes: usize,
    /// Number of changes kept; followers that are further behind are sent the snapshot.
    pub window: usize,
}

/// An entry, with its text as sent to followers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CatalogEntry {
    pub name: String,
    pub destination: u64,
    pub text: Bytes,
    /// The entry has been removed from the list.
    pub removed: bool,
}

#[derive(Clone, Debug)]
struct StoredEntry {
    hash: u64,
    text: Bytes,
}

/// The entries of the destinations that hash to one partition.
#[derive(Clone, Debug, Default)]
pub struct Partition {
    /// Version of the list at which this partition last changed, or a later one if that is not known.
    pub version: Version,
    /// Content hash of its entries.
    pub hash: u64,
    entries: BTreeMap<String, StoredEntry>,
    /// The texts of all entries, each preceded by a comma.
    text: Bytes,
}

impl Partition {
    pub fn text(&self) -> &Bytes {
        &self.text
    }

    pub fn entries(&self) -> usize {
        self.entries.len()
    }

    /// Adds, replaces or removes an entry; returns whether anything changed.
    fn put(&mut self, item: &CatalogEntry) -> bool {
        let hash = entry_hash(&item.name, &item.text);
        match self.entries.get(&item.name) {
            None if item.removed => return false,
            Some(stored) if !item.removed && stored.hash == hash => return false,
            Some(stored) => self.hash = self.hash.wrapping_sub(stored.hash),
            None => {}
        }
        if item.removed {
            self.entries.remove(&item.name);
        } else {
            self.hash = self.hash.wrapping_add(hash);
            self.entries.insert(item.name.clone(), StoredEntry { hash, text: item.text.clone() });
        }
        true
    }

    /// Concatenates the texts, and makes each entry's text a slice of the result, so that it is held once.
    fn rebuild_text(&mut self) {
        let length = self.entries.values().map(|stored| stored.text.len() + 1).sum();
        let mut all = BytesMut::with_capacity(length);
        for stored in self.entries.values() {
            all.extend_from_slice(b",");
            all.extend_from_slice(&stored.text);
        }
        self.text = all.freeze();
        let mut at = 0;
        for stored in self.entries.values_mut() {
            let end = at + 1 + stored.text.len();
            stored.text = self.text.slice(at + 1..end);
            at = end;
        }
        debug_assert!(self.recompute_hash() == self.hash, "a partition's hash is not that of its entries");
    }

    fn recompute_hash(&self) -> u64 {
        self.entries.iter().fold(0, |sum, (name, stored)| sum.wrapping_add(entry_hash(name, &stored.text)))
    }
}

/// A changed entry. `tombstone` is set if it was removed; otherwise its text is in the partition.
#[derive(Clone, Debug)]
struct Change {
    step: u64,
    partition: u32,
    name: String,
    tombstone: Option<Bytes>,
}

/// The merged changes for a follower that is behind: the texts of `entries` entries, separated by commas.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Delta {
    pub entries: usize,
    pub text: Bytes,
}

/// The complete list of one version, in pieces shared with the store and with other snapshots.
#[derive(Clone, Debug)]
pub struct Snapshot {
    pub version: Version,
    pub texts: Arc<[Bytes]>,
}

/// The state after one step.
#[derive(Clone, Copy, Debug)]
struct Step {
    step: u64,
    index: u64,
    /// Content hash of the whole list.
    hash: u64,
}

pub struct Store {
    bounds: Bounds,
    versions: Versions,
    partitions: Vec<Partition>,
    /// The partition of each entry, by name.
    partition_by_name: HashMap<String, u32>,
    bytes: usize,
    /// Number of offers applied: two pieces of one version are two steps.
    step: u64,
    changes: VecDeque<Change>,
    /// The steps of this epoch for which all later changes are known. An index has several if it came in pieces.
    steps: VecDeque<Step>,
    /// Indexes up to this one were also held in an older epoch, so a follower that names one may hold other
    /// content.
    ambiguous_up_to: u64,
    snapshot: Option<Snapshot>,
    deltas: HashMap<u64, Delta>,
}

impl Store {
    /// `partitions` must be 1 to `MAX_PARTITIONS`.
    pub fn new(partitions: u32, bounds: Bounds) -> Store {
        debug_assert!((1..=MAX_PARTITIONS).contains(&partitions));
        Store {
            bounds,
            versions: Versions::default(),
            partitions: vec![Partition::default(); partitions.max(1) as usize],
            partition_by_name: HashMap::new(),
            bytes: 0,
            step: 0,
            changes: VecDeque::new(),
            steps: VecDeque::new(),
            ambiguous_up_to: 0,
            snapshot: None,
            deltas: HashMap::new(),
        }
    }

    pub fn version(&self) -> Option<Version> {
        self.versions.held()
    }

    pub fn step(&self) -> u64 {
        self.step
    }

    pub fn contains(&self, name: &str) -> bool {
        self.partition_by_name.contains_key(name)
    }

    pub fn entries(&self) -> usize {
        self.partition_by_name.len()
    }

    pub fn bytes(&self) -> usize {
        self.bytes
    }

    pub fn partitions(&self) -> &[Partition] {
        &self.partitions
    }

    /// Content hash of the whole list.
    pub fn hash(&self) -> u64 {
        self.partitions.iter().fold(0, |sum, partition| sum.wrapping_add(partition.hash))
    }

    fn validate(&self, offer: &Offer, items: &[CatalogEntry]) -> Vec<Fault> {
        let Bounds { entries, bytes, .. } = self.bounds;
        let length = |item: &CatalogEntry| if item.removed { 0 } else { item.text.len() };
        let summaries = items.iter().map(|item| EntrySummary { name: &item.name, length: length(item) });
        let mut faults = versions::validate(offer, summaries, entries, bytes);
        // Changes must fit together with the entries held.
        if offer.after.is_some() {
            let new =
                |item: &&CatalogEntry| !item.removed && !self.partition_by_name.contains_key(&item.name);
            let (count, length) =
                items.iter().filter(new).fold((0, 0), |(n, l), i| (n + 1, l + i.text.len()));
            if self.entries() + count > entries || self.bytes + length > bytes {
                faults.push(Fault {
                    path: "endpoints".to_string(),
                    problem: "exceed the limits together with those held",
                });
            }
        }
        faults
    }

    /// Applies an offer completely or not at all.
    pub fn apply(&mut self, offer: &Offer, items: Vec<CatalogEntry>) -> Verdict {
        let before = self.version();
        let faults = self.validate(offer, &items);
        let verdict = self.versions.apply(offer, faults);
        if verdict != Verdict::Apply {
            return verdict;
        }
        let is_new_epoch = before.is_none_or(|before| before.epoch != offer.version.epoch);
        self.step += 1;
        let mut changed = Vec::new();
        if offer.after.is_none() {
            let names: HashSet<&str> = items.iter().filter(|i| !i.removed).map(|i| i.name.as_str()).collect();
            let missing =
                self.partition_by_name.keys().filter(|name| !names.contains(name.as_str())).cloned();
            changed.extend(missing.collect::<Vec<_>>().into_iter().map(|name| (name, None)));
        }
        changed.extend(items.into_iter().map(|item| (item.name.clone(), Some(item))));
        let mut touched = HashSet::new();
        for (name, item) in changed {
            self.change_entry(&name, item, &mut touched);
        }
        if touched.is_empty() && before == Some(offer.version) {
            // The same again: followers have nothing to receive.
            self.step -= 1;
            return Verdict::Apply;
        }
        for &partition in &touched {
            let partition = &mut self.partitions[partition as usize];
            debug_assert!(partition.version <= offer.version, "a partition's version went back");
            partition.rebuild_text();
            partition.version = offer.version;
        }
        if let (true, Some(before)) = (is_new_epoch, before) {
            self.ambiguous_up_to = self.ambiguous_up_to.max(before.index);
        }
        if is_new_epoch {
            // No delta can be based on an older epoch, or on the time before the first list.
            self.changes.clear();
            self.steps.clear();
        }
        let (step, index, hash) = (self.step, offer.version.index, self.hash());
        self.steps.push_back(Step { step, index, hash });
        self.trim_history();
        (self.snapshot, self.bytes) =
            (None, self.partitions.iter().map(|partition| partition.text.len()).sum());
        self.deltas.clear();
        debug_assert!(self.is_consistent());
        Verdict::Apply
    }

    /// Applies one entry; `None`: it is missing from a snapshot and thus removed.
    fn change_entry(&mut self, name: &str, item: Option<CatalogEntry>, touched: &mut HashSet<u32>) {
        let count = self.partitions.len() as u32;
        let old = self.partition_by_name.get(name).copied();
        let new = item.as_ref().filter(|item| !item.removed).map(|item| partition(item.destination, count));
        let removal = item.as_ref().filter(|item| item.removed).map(|item| item.text.clone());
        // An entry that has moved to another destination is removed from its old partition.
        if let Some(old) = old.filter(|&old| new != Some(old)) {
            let partition = &mut self.partitions[old as usize];
            if let Some(stored) = partition.entries.remove(name) {
                partition.hash = partition.hash.wrapping_sub(stored.hash);
                touched.insert(old);
                self.partition_by_name.remove(name);
                let tombstone = removal.or_else(|| Some(tombstone_text(name)));
                self.changes.push_back(Change {
                    step: self.step,
                    partition: old,
                    name: name.to_string(),
                    tombstone,
                });
            }
        }
        let (Some(new), Some(item)) = (new, item) else { return };
        if self.partitions[new as usize].put(&item) {
            touched.insert(new);
            self.partition_by_name.insert(name.to_string(), new);
            let change = Change { step: self.step, partition: new, name: name.to_string(), tombstone: None };
            self.changes.push_back(change);
        }
    }

    /// Drops the oldest changes and steps beyond the window.
    fn trim_history(&mut self) {
        while self.changes.len() > self.bounds.window {
            let Some(oldest) = self.changes.pop_front() else { return };
            // The steps before it lack a change now.
            while self.steps.front().is_some_and(|held| held.step < oldest.step) {
                self.steps.pop_front();
            }
        }
        while self.steps.len() > self.bounds.window.max(1) {
            self.steps.pop_front();
        }
    }

    /// The step on which to base a delta for a follower that holds this index. `None`: it needs the snapshot, as
    /// the index is too old or was never held here.
    pub fn step_at_index(&self, index: u64) -> Option<u64> {
        let held = self.version()?;
        if index > held.index || index <= self.ambiguous_up_to {
            return None;
        }
        // Exactly this index: a delta from a neighbouring one could lack entries that changed and changed back.
        self.steps.iter().find(|held| held.index == index).map(|held| held.step)
    }

    /// Like `step_at_index` for a follower that also names the content hash it holds: the step after which exactly
    /// that content was held here. `None`: it needs the snapshot, as a delta from other content would be incomplete.
    pub fn step_at_content(&self, index: u64, hash: u64) -> Option<u64> {
        self.steps.iter().rev().find(|held| held.index == index && held.hash == hash).map(|held| held.step)
    }

    /// The changes after a step in these partitions (`None`: all), each entry once in its current state. `None` if
    /// changes since the step have been dropped.
    pub fn changes_since(&mut self, step: u64, of: Option<&HashSet<u32>>) -> Option<Delta> {
        let first = self.steps.front()?.step;
        if step < first {
            return None;
        }
        if of.is_none() {
            if let Some(delta) = self.deltas.get(&step) {
                return Some(delta.clone());
            }
        }
        let (mut seen, mut text, mut entries) = (HashSet::new(), BytesMut::new(), 0);
        for change in self.changes.iter().rev().take_while(|change| change.step > step) {
            let asked = of.is_none_or(|of| of.contains(&change.partition));
            // An entry that moved from a requested partition to another one is sent as removed.
            if !asked || !seen.insert(change.name.as_str()) {
                continue;
            }
            let stored = self.partitions[change.partition as usize].entries.get(&change.name);
            let Some(one) = change.tombstone.as_ref().or(stored.map(|stored| &stored.text)) else { continue };
            if entries > 0 {
                text.extend_from_slice(b",");
            }
            text.extend_from_slice(one);
            entries += 1;
        }
        let delta = Delta { entries, text: text.freeze() };
        if of.is_none() && self.deltas.len() < MAX_DELTAS {
            self.deltas.insert(step, delta.clone());
        }
        Some(delta)
    }

    /// The complete list; built once per step.
    pub fn snapshot(&mut self) -> Option<Snapshot> {
        let version = self.version()?;
        let partitions = &self.partitions;
        let snapshot = self.snapshot.get_or_insert_with(|| Snapshot {
            version,
            texts: partitions.iter().map(|partition| partition.text.clone()).collect(),
        });
        Some(snapshot.clone())
    }

    fn is_consistent(&self) -> bool {
        let entries: usize = self.partitions.iter().map(Partition::entries).sum();
        entries == self.partition_by_name.len()
            && self.changes.len() <= self.bounds.window
            && self
                .steps
                .back()
                .is_some_and(|last| self.version().is_some_and(|held| held.index == last.index))
    }
}

/// The JSON text of a removed entry; escapes the name.
fn tombstone_text(name: &str) -> Bytes {
    let mut text = String::with_capacity(name.len() + 48);
    text.push_str("{\"name\":\"");
    for c in name.chars() {
        match c {
            '"' | '\\' => text.extend(['\\', c]),
            c if c < ' ' => text.push_str(&format!("\\u{:04x}", u32::from(c))),
            c => text.push(c),
        }
    }
    text.push_str("\",\"group\":0,\"status\":\"DELETED\"}");
    text.into()
}
