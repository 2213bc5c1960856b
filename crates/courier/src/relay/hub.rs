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
use crate::relays::{Held, SourceState, VersionedListener};

use super::config::Bounds;

/// A follower that has not said what it holds for so long is not counted.
const REPORT_LIFETIME: Time = 10 * SECOND;
const MAX_NAME_BYTES: usize = 128;
/// Lines of one version that are shared; beyond them each follower's is its own, and no longer than this, in
/// bytes.
const MAX_SHARED_LINES: usize = 16;
const MAX_UNSHARED_BYTES: usize = 64 * 1024;

/// What a follower said that it holds.
#[derive(Clone, Debug)]
pub struct FollowerReport {
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
    pub asked_after: u64,
    /// The last that was written to it, as far as its connection took it.
    pub sent: u64,
    pub since: Time,
}

/// What a follower is given next.
pub enum Next {
    /// One line, whole: of this index.
    Changes(Bytes, u64),
    /// All of it, of this index.
    Snapshot(Vec<Bytes>, u64),
    /// Nothing that it asked for has changed.
    Nothing,
    /// It must ask anew: on an open watch so few entries for so many versions would look like a gap.
    Reconnect,
}

pub struct Hub {
    pub store: Store,
    pub clock: Clock,
    /// Told of each step; watches wait on it.
    pub step: watch::Sender<u64>,
    source: SourceState,
    /// The list is from the file still.
    from_file: bool,
    pub applied_at: Time,
    pub reports: BTreeMap<String, FollowerReport>,
    pub watches: BTreeMap<u64, Watch>,
    pub connections: usize,
    max_followers: usize,
    next_watch: u64,
    /// Lines of this step, by the step that they come after.
    lines: HashMap<u64, Bytes>,
    /// Words on what was not taken have been logged.
    rejection_logged: bool,
}

fn catalog_entry(entry: EntryRef) -> CatalogEntry {
    let text = KeptEntry::from(&entry).to_json();
    let gone = entry.endpoint_status() == EndpointStatus::Removed;
    CatalogEntry { name: entry.name.to_string(), destination: entry.group, text: text.into(), removed: gone }
}

impl Hub {
    pub fn new(clock: Clock, partitions: u32, bounds: Bounds) -> Hub {
        Hub {
            store: Store::new(partitions, bounds.store()),
            clock,
            step: watch::Sender::new(0),
            source: SourceState::default(),
            from_file: false,
            applied_at: clock.now(),
            reports: BTreeMap::new(),
            watches: BTreeMap::new(),
            connections: 0,
            max_followers: bounds.followers,
            next_watch: 0,
            lines: HashMap::new(),
            rejection_logged: false,
        }
    }

    /// Begins with what was on file.
    pub fn restore(&mut self, version: Version, entries: &[Entry], saved_at: Time) {
        self.source.epoch = self.source.epoch.max(version.epoch);
        self.apply(
            Offer { version, after: None },
            entries.iter().map(|entry| catalog_entry(entry.into())).collect(),
        );
        (self.from_file, self.applied_at) = (true, saved_at.min(self.applied_at));
    }

    /// Lists that come are of this epoch from here on, unless a newer one was held.
    pub fn raise_epoch(&mut self, epoch: u64) {
        if epoch > self.source.epoch {
            // What comes next must be whole.
            self.source.reset(epoch, None);
            self.source.needs_snapshot = true;
        }
    }

    fn apply(&mut self, offer: Offer, items: Vec<CatalogEntry>) {
        let before = self.store.version();
        match self.store.apply(&offer, items) {
            Verdict::Apply => {
                let now = self.clock.now();
                if before != Some(offer.version) {
                    self.applied_at = now;
                    let behind = |report: &&mut FollowerReport| report.version < offer.version;
                    for report in self.reports.values_mut().filter(behind) {
                        report.behind.get_or_insert((offer.version, now));
                    }
                }
                (self.from_file, self.rejection_logged) = (false, false);
                self.lines.clear();
                self.step.send_replace(self.store.step());
            }
            Verdict::RequestSnapshot => self.source.needs_snapshot = true,
            // One line for as long as it lasts.
            Verdict::Ignore => self.log_rejection(format!(
                "the source tells {:?}, from before {before:?}; if it counts anew, raise epoch",
                offer.version
            )),
            Verdict::Reject(faults) => {
                let faults: Vec<String> = faults.iter().map(ToString::to_string).collect();
                self.log_rejection(format!("a list is turned down: {}", faults.join("; ")));
            }
        }
    }

    fn log_rejection(&mut self, words: String) {
        if !std::mem::replace(&mut self.rejection_logged, true) {
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
            kept: self.from_file,
            age_ms,
            resumes: true,
        })
    }

    /// How long ago what is held was taken up; by the file's time if it comes from there.
    pub fn age(&self) -> Time {
        self.clock.now().saturating_sub(self.applied_at)
    }

    /// A follower says what it holds.
    pub fn record_report(&mut self, name: &str, version: Version, from: IpAddr) {
        let (now, held) = (self.clock.now(), self.store.version());
        if self.reports.len() >= self.max_followers {
            self.reports.retain(|_, report| now < report.at + REPORT_LIFETIME);
        }
        if name.is_empty() || name.len() > MAX_NAME_BYTES {
            return;
        }
        let before = self.reports.get(name).and_then(|report| report.behind);
        // Guards against names without end.
        if self.reports.len() >= self.max_followers && !self.reports.contains_key(name) {
            return;
        }
        let behind = match (held, before) {
            (Some(held), _) if version >= held => None,
            (Some(_), Some(before)) if version < before.0 => Some(before),
            // Past the first that it lacked.
            (Some(held), Some(_)) => Some((held, self.applied_at)),
            (Some(held), None) => Some((held, now)),
            (None, _) => None,
        };
        self.reports.insert(name.to_string(), FollowerReport { version, at: now, from, behind });
    }

    /// Those who said what they hold lately.
    pub fn recent_reports(&self) -> impl Iterator<Item = (&String, &FollowerReport)> {
        let now = self.clock.now();
        self.reports.iter().filter(move |(_, report)| now < report.at + REPORT_LIFETIME)
    }

    /// `None`: there are as many as may be.
    pub fn open_watch(&mut self, from: IpAddr, asked_after: u64) -> Option<u64> {
        if self.watches.len() >= self.max_followers {
            return None;
        }
        self.next_watch += 1;
        let watch = Watch { from, asked_after, sent: asked_after, since: self.clock.now() };
        self.watches.insert(self.next_watch, watch);
        Some(self.next_watch)
    }

    /// The whole list, or these partitions of it. `None`: nothing is held.
    pub fn snapshot(&mut self, selected: Option<&HashSet<u32>>) -> Option<(Vec<Bytes>, u64)> {
        let Snapshot { version, texts } = self.store.snapshot()?;
        let mut chunks = Vec::with_capacity(texts.len() + 2);
        chunks.push(self.line_head(version, true, selected, None).into());
        let asked = |p: usize| selected.is_none_or(|selected| selected.contains(&(p as u32)));
        let mut first = true;
        for (_, text) in texts.iter().enumerate().filter(|(p, text)| asked(*p) && !text.is_empty()) {
            // Each begins with a comma.
            chunks.push(if std::mem::take(&mut first) { text.slice(1..) } else { text.clone() });
        }
        chunks.push(Bytes::from_static(b"]}\n"));
        Some((chunks, version.index))
    }

    /// All that stands before the entries. Who names partitions is told of epoch, versions and hashes.
    fn line_head(
        &self,
        version: Version,
        snapshot: bool,
        selected: Option<&HashSet<u32>>,
        after: Option<Version>,
    ) -> String {
        let Version { epoch, index } = version;
        let mut head = format!("{{\"index\":{index},\"snapshot\":{snapshot},");
        if let Some(selected) = selected {
            let parts = self.store.partitions();
            let _ = write!(head, "\"epoch\":{epoch},\"partitions\":{},\"parts\":[", parts.len());
            let mut selected: Vec<u32> = selected.iter().copied().collect();
            selected.sort_unstable();
            let mut comma = "";
            for p in selected {
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
    pub fn next_update(
        &mut self,
        step: Option<u64>,
        index: u64,
        first: bool,
        selected: Option<&HashSet<u32>>,
    ) -> Next {
        let Some(version) = self.store.version() else { return Next::Nothing };
        let changes = step.and_then(|step| Some((step, self.store.changes_since(step, selected)?)));
        let Some((step, changes)) = changes else {
            return self
                .snapshot(selected)
                .map_or(Next::Nothing, |(chunks, index)| Next::Snapshot(chunks, index));
        };
        if selected.is_some() && changes.entries == 0 {
            return Next::Nothing;
        }
        let versions = version.index.saturating_sub(index);
        if selected.is_none() && !first && versions > (changes.entries as u64).max(1) {
            return Next::Reconnect;
        }
        let build_line = |hub: &Hub| {
            let after = Version { epoch: version.epoch, index };
            let head = hub.line_head(version, false, selected, Some(after));
            let mut line = BytesMut::with_capacity(head.len() + changes.text.len() + 3);
            line.extend_from_slice(head.as_bytes());
            line.extend_from_slice(&changes.text);
            line.extend_from_slice(b"]}\n");
            line.freeze()
        };
        if selected.is_some() {
            return Next::Changes(build_line(self), version.index);
        }
        if let Some(line) = self.lines.get(&step) {
            return Next::Changes(line.clone(), version.index);
        }
        // Guards against long differences, one for each of many followers: the whole is shared by all.
        if self.lines.len() >= MAX_SHARED_LINES {
            if changes.text.len() > MAX_UNSHARED_BYTES {
                return self
                    .snapshot(selected)
                    .map_or(Next::Nothing, |(chunks, index)| Next::Snapshot(chunks, index));
            }
            return Next::Changes(build_line(self), version.index);
        }
        let line = build_line(self);
        self.lines.insert(step, line.clone());
        Next::Changes(line, version.index)
    }
}

impl Listener for Hub {
    fn apply_update(&mut self, list: &Update) {
        let offer = self.source.offer(list);
        self.apply(offer, list.entries.iter().map(catalog_entry).collect());
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

impl VersionedListener for Hub {
    fn held(&self) -> Option<Version> {
        self.store.version()
    }

    fn set_source(&mut self, epoch: u64, after: Option<u64>) {
        self.source.reset(epoch, after);
    }

    fn take_snapshot_request(&mut self) -> bool {
        std::mem::take(&mut self.source.needs_snapshot)
    }
}
