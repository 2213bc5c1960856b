//! The state of a relay: the list, with the text of each entry stored once, and its followers. For each follower only
//! its position in the sequence of changes is stored, not the changes themselves. The next line for it is built when it
//! can receive one, and shared by all followers at the same position.

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

/// A follower that has not reported its version for this long is no longer counted.
const REPORT_LIFETIME: Time = 10 * SECOND;
const MAX_NAME_BYTES: usize = 128;
/// Number of different lines of one version that are cached and shared between followers.
const MAX_SHARED_LINES: usize = 16;
/// Once that many are cached, further lines are built for one follower each; instead of one longer than this, the
/// follower receives the whole list.
const MAX_UNSHARED_BYTES: usize = 64 * 1024;

/// The version that a follower reported.
#[derive(Clone, Debug)]
pub struct FollowerReport {
    pub version: Version,
    pub reported_at: Time,
    pub from: IpAddr,
    /// The oldest version that the follower is missing, and since when.
    pub behind: Option<(Version, Time)>,
}

/// An open watch.
#[derive(Clone, Copy, Debug)]
pub struct Watch {
    pub from: IpAddr,
    /// The version after which it requested changes.
    pub asked_after: u64,
    /// The last version that was handed to its connection.
    pub sent: u64,
    pub opened_at: Time,
}

/// The next data for a follower.
pub enum Next {
    /// One complete line that brings the follower to this index.
    Changes(Bytes, u64),
    /// The whole list, at this index.
    Snapshot(Vec<Bytes>, u64),
    /// Nothing that the follower requested has changed.
    Nothing,
    /// The follower must open a new watch: on the open one, fewer entries than versions would look like a gap.
    Reconnect,
}

pub struct Hub {
    pub store: Store,
    pub clock: Clock,
    /// Notifies the watches of each new step of the store.
    pub step: watch::Sender<u64>,
    source: SourceState,
    /// The list was loaded from the file, and no source has confirmed it yet.
    from_file: bool,
    pub applied_at: Time,
    pub reports: BTreeMap<String, FollowerReport>,
    pub watches: BTreeMap<u64, Watch>,
    pub connections: usize,
    max_followers: usize,
    next_watch: u64,
    /// Cached lines that lead to the current step, by the step from which they start.
    lines: HashMap<u64, Bytes>,
    /// A rejected list has been logged; reset when a list is applied.
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

    /// Starts with the list that was loaded from the file.
    pub fn restore(&mut self, version: Version, entries: &[Entry], saved_at: Time) {
        self.source.epoch = self.source.epoch.max(version.epoch);
        self.apply(
            Offer { version, after: None },
            entries.iter().map(|entry| catalog_entry(entry.into())).collect(),
        );
        (self.from_file, self.applied_at) = (true, saved_at.min(self.applied_at));
    }

    /// Assigns this epoch to the lists received from now on, unless the current epoch is newer.
    pub fn raise_epoch(&mut self, epoch: u64) {
        if epoch > self.source.epoch {
            // Changes cannot cross an epoch: the next list must be a whole one.
            self.source.reset(epoch, None);
            self.source.needs_snapshot = true;
        }
    }

    fn apply(&mut self, offer: Offer, entries: Vec<CatalogEntry>) {
        let before = self.store.version();
        match self.store.apply(&offer, entries) {
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
            // Repeated rejections are logged once.
            Verdict::Ignore => self.log_rejection(format!(
                "the source sent {:?}, which is not newer than {before:?}; if its index was reset, raise epoch",
                offer.version
            )),
            Verdict::Reject(faults) => {
                let faults: Vec<String> = faults.iter().map(ToString::to_string).collect();
                self.log_rejection(format!("a list was rejected: {}", faults.join("; ")));
            }
        }
    }

    fn log_rejection(&mut self, message: String) {
        if !std::mem::replace(&mut self.rejection_logged, true) {
            log::error!("{message}");
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

    /// Time since the held version was applied or, if it was loaded from the file, saved.
    pub fn age(&self) -> Time {
        self.clock.now().saturating_sub(self.applied_at)
    }

    /// Records the version that a follower reports.
    pub fn record_report(&mut self, name: &str, version: Version, from: IpAddr) {
        let (now, held) = (self.clock.now(), self.store.version());
        if self.reports.len() >= self.max_followers {
            self.reports.retain(|_, report| now < report.reported_at + REPORT_LIFETIME);
        }
        if name.is_empty() || name.len() > MAX_NAME_BYTES {
            return;
        }
        let before = self.reports.get(name).and_then(|report| report.behind);
        // Bounds memory against clients that keep reporting new names.
        if self.reports.len() >= self.max_followers && !self.reports.contains_key(name) {
            return;
        }
        let behind = match (held, before) {
            (Some(held), _) if version >= held => None,
            (Some(_), Some(before)) if version < before.0 => Some(before),
            // It has caught up with the oldest version that it was missing, but not with the held one.
            (Some(held), Some(_)) => Some((held, self.applied_at)),
            (Some(held), None) => Some((held, now)),
            (None, _) => None,
        };
        self.reports.insert(name.to_string(), FollowerReport { version, reported_at: now, from, behind });
    }

    /// The reports of followers that have reported recently.
    pub fn recent_reports(&self) -> impl Iterator<Item = (&String, &FollowerReport)> {
        let now = self.clock.now();
        self.reports.iter().filter(move |(_, report)| now < report.reported_at + REPORT_LIFETIME)
    }

    /// Returns `None` if the maximum number of watches is open.
    pub fn open_watch(&mut self, from: IpAddr, asked_after: u64) -> Option<u64> {
        if self.watches.len() >= self.max_followers {
            return None;
        }
        self.next_watch += 1;
        let watch = Watch { from, asked_after, sent: asked_after, opened_at: self.clock.now() };
        self.watches.insert(self.next_watch, watch);
        Some(self.next_watch)
    }

    /// The whole list or the selected partitions of it, with its index. `None` if no list is held.
    pub fn snapshot(&mut self, selected: Option<&HashSet<u32>>) -> Option<(Vec<Bytes>, u64)> {
        let Snapshot { version, texts } = self.store.snapshot()?;
        let mut chunks = Vec::with_capacity(texts.len() + 2);
        chunks.push(self.line_head(version, true, selected, None).into());
        let asked = |p: usize| selected.is_none_or(|selected| selected.contains(&(p as u32)));
        let mut first = true;
        for (_, text) in texts.iter().enumerate().filter(|(p, text)| asked(*p) && !text.is_empty()) {
            // The text of each partition begins with a comma.
            chunks.push(if std::mem::take(&mut first) { text.slice(1..) } else { text.clone() });
        }
        chunks.push(Bytes::from_static(b"]}\n"));
        Some((chunks, version.index))
    }

    /// The part of a line before the entries. If partitions were selected, it includes the epoch and the version and
    /// hash of each.
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
                // A line of changes describes only the partitions that have changed.
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

    /// The next data for a follower that has received everything up to `step`, at which `index` was held. `first` is
    /// true if nothing has been sent on this watch yet.
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
        // Bounds memory when many followers each need different long changes: the whole list is shared by all.
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

    /// A relay makes no calls.
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
