//! What a relay holds: the list, each text once, and who follows it. A follower costs its place in the
//! changes, not the changes: what it is given next is made from that when it can take it, and shared with all
//! at the same place.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::fmt::Write;
use std::net::IpAddr;

use bytes::{Bytes, BytesMut};
use meadowhold::interface::{EndpointStatus, Time, SECOND};
use meadowhold_catalog::content::Content;
use meadowhold_catalog::store::{CatalogEntry, Snapshot, Store};
use meadowhold_catalog::versions::{Offer, Verdict, Version};
use tokio::sync::watch;

use crate::discovery::{Entry, Listener};
use crate::entries::{EntryRef, Update};
use crate::exchange::Clock;
use crate::memory::KeptEntry;
use crate::relays::{Heard, Held, Holder};

use super::config::Bounds;

/// A follower that has not said what it holds for so long is not counted.
const FORGOTTEN: Time = 10 * SECOND;
const LONGEST_NAME: usize = 128;
/// Lines of one version that are shared; beyond them each follower's is its own, and no longer than this, in
/// bytes.
const MOST_LINES: usize = 16;
const LONG: usize = 64 * 1024;

/// What a follower said that it holds.
#[derive(Clone, Debug)]
pub struct Stated {
    pub version: Version,
    pub at: Time,
    pub from: IpAddr,
    /// The version that it has lacked first, and since when.
    pub behind: Option<(Version, Time)>,
}

/// A watch that is open.
#[derive(Clone, Copy, Debug)]
pub struct Watch {
    pub from: IpAddr,
    /// The version that it asked after.
    pub asked: u64,
    /// The last that was written to it, as far as its connection took it.
    pub told: u64,
    pub since: Time,
}

/// What a follower is given next.
pub enum Next {
    /// One line, whole: of this index.
    Line(Bytes, u64),
    /// All of it, of this index.
    Whole(Vec<Bytes>, u64),
    /// Nothing that it asked for has changed.
    Nothing,
    /// It must ask anew: on an open watch so few entries for so many versions would look like a gap.
    Anew,
}

pub struct Hub {
    pub store: Store,
    pub clock: Clock,
    /// Told of each step; watches wait on it.
    pub step: watch::Sender<u64>,
    heard: Heard,
    /// The list is from the file still.
    kept: bool,
    pub taken_at: Time,
    pub stated: BTreeMap<String, Stated>,
    pub watches: BTreeMap<u64, Watch>,
    pub connections: usize,
    bound: usize,
    next_watch: u64,
    /// Lines of this step, by the step that they come after.
    lines: HashMap<u64, Bytes>,
    /// Words on what was not taken have been logged.
    refused: bool,
}

fn item(entry: EntryRef) -> CatalogEntry {
    let text = KeptEntry::from(&entry).to_json();
    let gone = entry.endpoint_status() == EndpointStatus::Removed;
    CatalogEntry { name: entry.name.to_string(), destination: entry.group, text: text.into(), removed: gone }
}

impl Hub {
    pub fn new(clock: Clock, partitions: u32, bounds: Bounds) -> Hub {
        Hub {
            store: Store::new(partitions, bounds.held()),
            clock,
            step: watch::Sender::new(0),
            heard: Heard::default(),
            kept: false,
            taken_at: clock.now(),
            stated: BTreeMap::new(),
            watches: BTreeMap::new(),
            connections: 0,
            bound: bounds.followers,
            next_watch: 0,
            lines: HashMap::new(),
            refused: false,
        }
    }

    /// Begins with what was on file.
    pub fn begin(&mut self, version: Version, entries: &[Entry], saved_at: Time) {
        self.heard.epoch = self.heard.epoch.max(version.epoch);
        self.put(Offer { version, after: None }, entries.iter().map(|entry| item(entry.into())).collect());
        (self.kept, self.taken_at) = (true, saved_at.min(self.taken_at));
    }

    /// Lists that come are of this epoch from here on, unless a newer one was held.
    pub fn raise(&mut self, epoch: u64) {
        if epoch > self.heard.epoch {
            // What comes next must be whole.
            self.heard.comes(epoch, None);
            self.heard.wants_whole = true;
        }
    }

    fn put(&mut self, offer: Offer, items: Vec<CatalogEntry>) {
        let before = self.store.version();
        match self.store.apply(&offer, items) {
            Verdict::Apply => {
                let now = self.clock.now();
                if before != Some(offer.version) {
                    self.taken_at = now;
                    let behind = |stated: &&mut Stated| stated.version < offer.version;
                    for stated in self.stated.values_mut().filter(behind) {
                        stated.behind.get_or_insert((offer.version, now));
                    }
                }
                (self.kept, self.refused) = (false, false);
                self.lines.clear();
                self.step.send_replace(self.store.step());
            }
            Verdict::RequestSnapshot => self.heard.wants_whole = true,
            // One line for as long as it lasts.
            Verdict::Ignore => self.refuse(format!(
                "the source tells {:?}, from before {before:?}; if it counts anew, raise epoch",
                offer.version
            )),
            Verdict::Reject(faults) => {
                let faults: Vec<String> = faults.iter().map(ToString::to_string).collect();
                self.refuse(format!("a list is turned down: {}", faults.join("; ")));
            }
        }
    }

    fn refuse(&mut self, words: String) {
        if !std::mem::replace(&mut self.refused, true) {
            log::error!("{words}");
        }
    }

    pub fn held(&self) -> Option<Held> {
        let Version { epoch, index } = self.store.version()?;
        let age_ms = self.age() / 10;
        Some(Held {
            epoch,
            index,
            hash: format!("{:016x}", self.store.hash()),
            kept: self.kept,
            age_ms,
            resumes: true,
        })
    }

    /// How long ago what is held was taken up; by the file's time if it comes from there.
    pub fn age(&self) -> Time {
        self.clock.now().saturating_sub(self.taken_at)
    }

    /// A follower says what it holds.
    pub fn state(&mut self, name: &str, version: Version, from: IpAddr) {
        let (now, held) = (self.clock.now(), self.store.version());
        if self.stated.len() >= self.bound {
            self.stated.retain(|_, stated| now < stated.at + FORGOTTEN);
        }
        if name.is_empty() || name.len() > LONGEST_NAME {
            return;
        }
        let before = self.stated.get(name).and_then(|stated| stated.behind);
        // Guards against names without end.
        if self.stated.len() >= self.bound && !self.stated.contains_key(name) {
            return;
        }
        let behind = match (held, before) {
            (Some(held), _) if version >= held => None,
            (Some(_), Some(before)) if version < before.0 => Some(before),
            // Past the first that it lacked.
            (Some(held), Some(_)) => Some((held, self.taken_at)),
            (Some(held), None) => Some((held, now)),
            (None, _) => None,
        };
        self.stated.insert(name.to_string(), Stated { version, at: now, from, behind });
    }

    /// Those who said what they hold lately.
    pub fn stated(&self) -> impl Iterator<Item = (&String, &Stated)> {
        let now = self.clock.now();
        self.stated.iter().filter(move |(_, stated)| now < stated.at + FORGOTTEN)
    }

    /// `None`: there are as many as may be.
    pub fn open_watch(&mut self, from: IpAddr, asked: u64) -> Option<u64> {
        if self.watches.len() >= self.bound {
            return None;
        }
        self.next_watch += 1;
        let watch = Watch { from, asked, told: asked, since: self.clock.now() };
        self.watches.insert(self.next_watch, watch);
        Some(self.next_watch)
    }

    /// The whole list, or these partitions of it. `None`: nothing is held.
    pub fn whole(&mut self, of: Option<&HashSet<u32>>) -> Option<(Vec<Bytes>, u64)> {
        let Snapshot { version, texts } = self.store.snapshot()?;
        let mut pieces = Vec::with_capacity(texts.len() + 2);
        pieces.push(self.head(version, true, of, None).into());
        let asked = |p: usize| of.is_none_or(|of| of.contains(&(p as u32)));
        let mut first = true;
        for (_, text) in texts.iter().enumerate().filter(|(p, text)| asked(*p) && !text.is_empty()) {
            // Each begins with a comma.
            pieces.push(if std::mem::take(&mut first) { text.slice(1..) } else { text.clone() });
        }
        pieces.push(Bytes::from_static(b"]}\n"));
        Some((pieces, version.index))
    }

    /// All that stands before the entries. Who names partitions is told of epoch, versions and hashes.
    fn head(
        &self,
        version: Version,
        snapshot: bool,
        of: Option<&HashSet<u32>>,
        after: Option<Version>,
    ) -> String {
        let Version { epoch, index } = version;
        let mut head = format!("{{\"index\":{index},\"snapshot\":{snapshot},");
        if let Some(of) = of {
            let parts = self.store.partitions();
            let _ = write!(head, "\"epoch\":{epoch},\"partitions\":{},\"parts\":[", parts.len());
            let mut of: Vec<u32> = of.iter().copied().collect();
            of.sort_unstable();
            let mut comma = "";
            for p in of {
                let Some(part) = parts.get(p as usize) else { continue };
                // Of changes: of what has changed alone.
                if after.is_some_and(|after| part.version <= after) {
                    continue;
                }
                let Version { epoch, index } = part.version;
                let _ = write!(
                    head,
                    "{comma}{{\"partition\":{p},\"epoch\":{epoch},\"version\":{index},\"hash\":\"{:016x}\"}}",
                    part.hash
                );
                comma = ",";
            }
            head.push_str("],");
        }
        head.push_str("\"endpoints\":[");
        head
    }

    /// What comes for one who has been told up to `step`, when `index` was held; `first`: on this watch.
    pub fn next(&mut self, step: Option<u64>, index: u64, first: bool, of: Option<&HashSet<u32>>) -> Next {
        let Some(version) = self.store.version() else { return Next::Nothing };
        let fold = step.and_then(|step| Some((step, self.store.changes_since(step, of)?)));
        let Some((step, fold)) = fold else {
            return self.whole(of).map_or(Next::Nothing, |(pieces, index)| Next::Whole(pieces, index));
        };
        if of.is_some() && fold.entries == 0 {
            return Next::Nothing;
        }
        let versions = version.index.saturating_sub(index);
        if of.is_none() && !first && versions > (fold.entries as u64).max(1) {
            return Next::Anew;
        }
        let make = |hub: &Hub| {
            let after = Version { epoch: version.epoch, index };
            let head = hub.head(version, false, of, Some(after));
            let mut line = BytesMut::with_capacity(head.len() + fold.text.len() + 3);
            line.extend_from_slice(head.as_bytes());
            line.extend_from_slice(&fold.text);
            line.extend_from_slice(b"]}\n");
            line.freeze()
        };
        if of.is_some() {
            return Next::Line(make(self), version.index);
        }
        if let Some(line) = self.lines.get(&step) {
            return Next::Line(line.clone(), version.index);
        }
        // Guards against long differences, one for each of many followers: the whole is shared by all.
        if self.lines.len() >= MOST_LINES {
            if fold.text.len() > LONG {
                return self.whole(of).map_or(Next::Nothing, |(pieces, index)| Next::Whole(pieces, index));
            }
            return Next::Line(make(self), version.index);
        }
        let line = make(self);
        self.lines.insert(step, line.clone());
        Next::Line(line, version.index)
    }
}

impl Listener for Hub {
    fn apply_update(&mut self, list: &Update) {
        let offer = self.heard.offer(list);
        self.put(offer, list.entries.iter().map(item).collect());
    }

    fn count_after(&self, changes: &Update) -> usize {
        self.store.entries() + changes.count_added(|name| self.store.contains(name))
    }

    /// Nothing begins here.
    fn hold_calls(&mut self) {}

    fn release_calls(&mut self) {}

    fn held_content(&self) -> Option<Content> {
        let version = self.store.version()?;
        Some(Content { index: version.index, hash: self.store.hash() })
    }
}

impl Holder for Hub {
    fn held(&self) -> Option<Version> {
        self.store.version()
    }

    fn comes(&mut self, epoch: u64, after: Option<u64>) {
        self.heard.comes(epoch, after);
    }

    fn wants_whole(&mut self) -> bool {
        std::mem::take(&mut self.heard.wants_whole)
    }
}
