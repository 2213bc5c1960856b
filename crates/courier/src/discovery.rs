//! Follows the list of endpoints at discovery or at a relay: requests the whole list, then watches for changes to it.
//! When a request is sent and when one counts as failed is decided by `schedule`.

use std::cell::{Cell, RefCell};
use std::fmt;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use http_body_util::{BodyExt, Full};
use hyper::StatusCode;
use meadowhold::interface::{EndpointStatus, Time};
use meadowhold_catalog::content::Content;
use serde::de::Error as _;
use serde::de::{SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};
use serde_json::Value;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;

use crate::entries::{self, Update};
use crate::exchange::Clock;
use crate::late_requests::{Event, LateRequest, LateRequests, OpenRequest};
use crate::platform::Connection;
use crate::reader::{Limits, ReadError, Reader};
use crate::schedule::{Effect, HeldVersion, Input, Request, Schedule, Verdict, WATCH_TIMEOUT};

/// A list is long once more bytes of it than this have arrived. It then has `Input::LongListData`'s time-out; a shorter
/// one has that of any other request.
const LONG_LIST: usize = 4 << 20;

#[derive(Clone, Debug, Default, Deserialize)]
pub struct List {
    #[serde(default)]
    pub index: u64,
    #[serde(default)]
    pub snapshot: bool,
    #[serde(default, deserialize_with = "readable_entries")]
    pub endpoints: Vec<Entry>,
}

/// Skips entries that cannot be read, so that one of them does not make the whole list unusable. Such an entry counts as
/// deleted if it has a name, also where it is part of a change and was listed before. Entries are decoded one at a time:
/// a long list held as JSON values takes many times the memory of its text.
fn readable_entries<'de, D: Deserializer<'de>>(list: D) -> Result<Vec<Entry>, D::Error> {
    struct Entries;

    impl<'de> Visitor<'de> for Entries {
        type Value = Vec<Entry>;

        fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
            f.write_str("an array of entries")
        }

        fn visit_seq<A: SeqAccess<'de>>(self, mut list: A) -> Result<Vec<Entry>, A::Error> {
            let mut entries = Vec::new();
            while let Some(value) = list.next_element::<Value>()? {
                match Entry::deserialize(&value) {
                    Ok(entry) => entries.push(entry),
                    Err(e) => {
                        log::warn!("an entry of the list cannot be read: {e}");
                        entries.extend(value["name"].as_str().map(Entry::removed));
                    }
                }
            }
            Ok(entries)
        }
    }

    list.deserialize_seq(Entries)
}

#[derive(Clone, Debug, Deserialize)]
pub struct Entry {
    pub name: String,
    #[serde(default)]
    pub address: String,
    #[serde(default)]
    pub zone: String,
    #[serde(default, rename = "type")]
    pub kind: String,
    pub group: u64,
    #[serde(default)]
    pub status: String,
    #[serde(default)]
    pub weight: f64,
    #[serde(default)]
    pub since_ms: u64,
}

impl Entry {
    fn removed(name: &str) -> Entry {
        let (name, text) = (name.to_string(), String::new);
        let (address, zone, kind, status) = (text(), text(), text(), text());
        Entry { name, address, zone, kind, group: 0, status, weight: 0.0, since_ms: 0 }
    }

    pub fn endpoint_status(&self) -> EndpointStatus {
        entries::endpoint_status(&self.status)
    }
}

/// Receives the list: a courier's exchange, or anything else that holds one.
pub trait Listener {
    /// Applies a whole list or changes to the list, which the follower has accepted by their version.
    fn apply_update(&mut self, list: &Update);

    /// The number of entries that it would hold after these changes.
    fn count_after(&self, changes: &Update) -> usize;

    /// No calls may start until `release_calls`, because discovery has not been asked for the list yet.
    fn hold_calls(&mut self);

    fn release_calls(&mut self);

    /// Version and hash of the list that is held, if known. A source that recognizes them sends only what has changed
    /// since.
    fn held_content(&self) -> Option<Content> {
        None
    }
}

/// When a source last sent something, shared with those that need to know whether it is alive.
#[derive(Clone, Default)]
pub struct LastHeard(Rc<Cell<Option<Time>>>);

impl LastHeard {
    /// Whether the current request has received data within the time in which a healthy source sends some.
    pub fn is_recent(&self, now: Time) -> bool {
        self.0.get().is_some_and(|at| now < at + WATCH_TIMEOUT)
    }

    fn note(&self, now: Time, input: Input, effect: Effect) {
        match input {
            Input::Headers
            | Input::LongListData
            | Input::WatchData
            | Input::ListTaken
            | Input::LateListTaken
            | Input::LateOlderList
            | Input::OlderList
            | Input::VersionGap => {
                self.0.set(Some(now));
            }
            Input::Closed
            | Input::Rejected
            | Input::Unreadable
            | Input::OverLimit
            | Input::AddressChanged => {
                self.0.set(None);
            }
            Input::Timer if effect == Effect::Cancel => self.0.set(None),
            Input::Timer => {}
        }
    }
}

/// Sends one request and reports its response. Dropping the future cancels the request and closes its connection.
async fn send_request(address: SocketAddr, path: String, out: &mpsc::Sender<Event>) -> io::Result<Event> {
    let mut connection = Connection::open(address).await?;
    let request = hyper::Request::get(path).body(Full::default()).map_err(io::Error::other)?;
    let answer = connection.send(request).await?;
    if answer.status() != StatusCode::OK {
        return Ok(Event::Status(answer.status().as_u16()));
    }
    let _ = out.send(Event::Headers).await;
    let mut body = answer.into_body();
    while let Some(frame) = body.frame().await {
        if let Ok(bytes) = frame.map_err(io::Error::other)?.into_data() {
            let _ = out.send(Event::Bytes(bytes)).await;
        }
    }
    Ok(Event::End)
}

struct Follower<L> {
    listener: Rc<RefCell<L>>,
    /// The source is a relay: the listener, not `version`, decides which whole list is accepted.
    is_relay: bool,
    last_heard: LastHeard,
    address: watch::Receiver<SocketAddr>,
    clock: Clock,
    schedule: Schedule,
    version: HeldVersion,
    rng: fastrand::Rng,
    limits: Limits,
    reader: Reader,
    /// The whole list once it is parsed, until its response has ended.
    whole_list: Option<Update>,
    request: Request,
    /// Nothing of the current response has been applied yet.
    is_first: bool,
    current: Option<OpenRequest>,
    late: LateRequests,
}

impl<L: Listener> Follower<L> {
    fn send(&mut self, request: Request) {
        self.cancel();
        (self.request, self.is_first) = (request, true);
        let path = match request {
            Request::List => "/catalog/members".to_string(),
            Request::Watch => self.watch_path(),
        };
        let address = *self.address.borrow();
        let (out, events) = mpsc::channel(1);
        let mut task = JoinSet::new();
        task.spawn_local(async move {
            let end = send_request(address, path, &out).await.unwrap_or_else(Event::Failed);
            let _ = out.send(end).await;
        });
        self.current = Some(OpenRequest { task, events, sent_at: self.clock.now() });
    }

    /// The path of a watch for changes after the version that is held. A relay also gets the content hash, if it is known
    /// for exactly this version.
    fn watch_path(&self) -> String {
        let index = self.version.index;
        let path = format!("/catalog/members?watch=1&after={index}");
        let content = self.listener.borrow().held_content();
        match content.filter(|content| self.is_relay && content.index == index) {
            Some(content) => format!("{path}&hash={:016x}", content.hash),
            None => path,
        }
    }

    fn cancel(&mut self) {
        self.current = None;
        self.reader = Reader::new(self.limits);
        self.whole_list = None;
    }

    /// Listens on to the current request beside those that follow, if it is one for the whole list that is late. A long list
    /// has a longer time-out instead.
    fn keep_late(&mut self) {
        if self.request != Request::List || self.reader.pending() > LONG_LIST {
            return;
        }
        let Some(request) = self.current.take() else { return };
        let reader = std::mem::replace(&mut self.reader, Reader::new(self.limits));
        let list = self.whole_list.take();
        self.late.add(LateRequest { request, reader, list }, self.clock.now());
    }

    /// Takes the list of a late answer. The current request is not waited for, unless it has been answered.
    fn take_late_list(&mut self, list: &Update, sent_at: Time) -> (Input, String) {
        log::debug!("a list of version {} came late", list.index);
        self.schedule.note_answer_time(self.clock.now().saturating_sub(sent_at));
        match self.apply(list) {
            Ok(Verdict::IgnoreAndRetry) => (Input::LateOlderList, "the late list is older".to_string()),
            Ok(_) => (Input::LateListTaken, String::new()),
            Err(e) => {
                log::debug!("a late list cannot be taken: {e:?}");
                (Input::LateOlderList, "the late list cannot be taken".to_string())
            }
        }
    }

    /// Passes a list on to the listener if its version is accepted.
    fn apply(&mut self, list: &Update) -> Result<Verdict, ReadError> {
        let (now, whole) = (self.clock.now(), list.whole);
        // Changes must not grow the list past the limit that holds for a whole list.
        if !whole && self.listener.borrow().count_after(list) > self.limits.entries {
            return Err(self.limits.too_many_entries());
        }
        let first = std::mem::take(&mut self.is_first);
        if whole && self.is_relay {
            // Every whole list of a relay is passed on to the listener, which judges it itself. If an older one were
            // ignored here, the listener would apply the changes that follow it to its own newer list.
            self.version = HeldVersion::new(0);
        }
        let verdict = self.version.judge(now, list.index, whole, list.entries.len(), first);
        match verdict {
            Verdict::Accept | Verdict::AcceptAndRefetch => self.listener.borrow_mut().apply_update(list),
            Verdict::Ignore | Verdict::IgnoreAndRefetch | Verdict::IgnoreAndRetry => {
                log::debug!("a list of version {} came while {} is held", list.index, self.version.index);
            }
        }
        Ok(verdict)
    }

    /// Reads data of a watch: a sequence of JSON objects, each on one line or several. Only a complete object or an empty
    /// line counts as a sign of life; otherwise an object that arrives byte by byte would keep a useless watch open.
    fn read_watch(&mut self, bytes: &[u8]) -> Result<Input, ReadError> {
        let mut reader = std::mem::take(&mut self.reader);
        let mut input = Input::Headers;
        let separated = reader.read(bytes, |list| {
            match self.apply(&list)? {
                // A source whose whole list is of a lower version may have started anew: its list is asked for again.
                Verdict::AcceptAndRefetch | Verdict::IgnoreAndRefetch | Verdict::IgnoreAndRetry => {
                    input = Input::VersionGap;
                }
                Verdict::Accept | Verdict::Ignore if input == Input::VersionGap => {}
                Verdict::Accept | Verdict::Ignore => input = Input::WatchData,
            }
            Ok(())
        })?;
        self.reader = reader;
        // An empty line is a sign of life too: a source without changes sends one every 2 s.
        Ok(if separated && input == Input::Headers { Input::WatchData } else { input })
    }

    /// Reads data of a whole list. The list is applied once the response has ended (`finish_list`).
    fn read_list(&mut self, bytes: &[u8]) -> Result<Input, ReadError> {
        let (reader, held) = (&mut self.reader, &mut self.whole_list);
        reader.read(bytes, |list| match held.replace(list) {
            None => Ok(()),
            Some(_) => Err(serde_json::Error::custom("unexpected data after the list").into()),
        })?;
        Ok(Input::Headers)
    }

    fn finish_list(&mut self) -> Result<Input, ReadError> {
        let unreadable = |message| Err(serde_json::Error::custom(message).into());
        let Some(list) = self.whole_list.take().filter(|_| self.reader.pending() == 0) else {
            return unreadable("the list is truncated");
        };
        // Changes, or an error reported as a JSON object, must not replace the whole list.
        if !list.whole {
            return unreadable("the answer is not a whole list");
        }
        Ok(if self.apply(&list)? == Verdict::IgnoreAndRetry { Input::OlderList } else { Input::ListTaken })
    }

    /// Translates an event for the schedule, with a description for the log.
    fn read(&mut self, event: Event) -> (Input, String) {
        let was_long = self.reader.pending() > LONG_LIST;
        let (input, reason) = self.read_event(event);
        match input {
            // A long list that turns out to be unusable gets the longer pauses of a list over a limit, so that many
            // megabytes are not read in vain again and again.
            Input::Unreadable | Input::Closed if was_long => {
                (Input::OverLimit, format!("a long list was unusable: {reason}"))
            }
            Input::Headers if self.reader.pending() > LONG_LIST => (Input::LongListData, reason),
            _ => (input, reason),
        }
    }

    fn read_event(&mut self, event: Event) -> (Input, String) {
        let read = match event {
            Event::Headers => Ok(Input::Headers),
            Event::Bytes(bytes) if self.request == Request::Watch => self.read_watch(&bytes),
            Event::Bytes(bytes) => self.read_list(&bytes),
            Event::End if self.request == Request::List => self.finish_list(),
            Event::End => return (Input::Closed, "the watch was closed by its source".to_string()),
            Event::Status(status) => return (Input::Rejected, format!("discovery answers {status}")),
            Event::Failed(e) if e.kind() == io::ErrorKind::ConnectionRefused => {
                return (Input::Rejected, e.to_string());
            }
            Event::Failed(e) => return (Input::Closed, e.to_string()),
        };
        match read {
            Ok(Input::VersionGap) => {
                (Input::VersionGap, "changes of earlier versions are missing".to_string())
            }
            Ok(Input::OlderList) => {
                (Input::OlderList, "the list is older than the one that is held".to_string())
            }
            Ok(input) => (input, String::new()),
            Err(ReadError::Unreadable(e)) => (Input::Unreadable, e.to_string()),
            Err(ReadError::OverLimit(reason)) => (Input::OverLimit, reason),
        }
    }

    async fn run(mut self) {
        loop {
            let due = self.clock.instant(self.schedule.due());
            let mut is_refused = false;
            let (input, reason) = tokio::select! {
                biased;
                () = address_changed(&mut self.address) => (Input::AddressChanged, String::new()),
                event = next_event(&mut self.current) => {
                    is_refused = event.is_refused();
                    self.read(event)
                }
                (list, sent_at) = self.late.next_list() => self.take_late_list(&list, sent_at),
                () = tokio::time::sleep_until(due.into()) => (Input::Timer, "discovery is silent".to_string()),
            };
            let (now, failed) = (self.clock.now(), self.schedule.consecutive_failures());
            let too_long = self.schedule.consecutive_over_limit();
            if input == Input::AddressChanged {
                self.version.address_changed(self.schedule.ignores_lower_until(now));
            }
            if matches!(input, Input::AddressChanged | Input::ListTaken | Input::WatchData) {
                self.late.clear();
            }
            if is_refused {
                let until = self.schedule.ignores_lower_until(now);
                self.version.source_is_gone(until);
            }
            let effect = self.schedule.handle(now, input, self.rng.f64());
            self.last_heard.note(now, input, effect);
            match effect {
                Effect::Nothing => {}
                Effect::Send(request) => self.send(request),
                Effect::Cancel => {
                    if input == Input::Timer {
                        self.keep_late();
                    }
                    self.cancel();
                }
            }
            match (too_long, self.schedule.consecutive_over_limit()) {
                (0, 1) => log::warn!("{reason}: the list that is held stays in force"),
                (before, after) if after > before => log::debug!("still {reason}"),
                _ => {}
            }
            // Only the first failure in a row is logged as a warning.
            match (failed, self.schedule.consecutive_failures()) {
                (0, 1) => log::warn!("the list cannot be followed: {reason}"),
                (before, after) if after > before => {
                    log::debug!("the list still cannot be followed: {reason}")
                }
                _ => {}
            }
            if self.schedule.allows_calls() {
                self.listener.borrow_mut().release_calls();
            }
        }
    }
}

/// The next event of the current request; waits forever if there is none.
async fn next_event(current: &mut Option<OpenRequest>) -> Event {
    let event = match current {
        Some(request) => request.events.recv().await,
        None => std::future::pending().await,
    };
    match event {
        Some(event) => event,
        None => {
            *current = None;
            Event::End
        }
    }
}

/// Follows the list from the version that is held. With `push`, lists are pushed to an agent on this machine, and calls
/// are held until it was asked, for a quarter of a second at most. `limits` apply to one list; `seed` makes couriers
/// pause differently between requests.
pub fn follow<L: Listener>(
    listener: Rc<RefCell<L>>,
    clock: Clock,
    address: watch::Receiver<SocketAddr>,
    index: u64,
    push: bool,
    (limits, seed): (Limits, u64),
) -> impl Future<Output = ()> {
    let schedule = Schedule::new(push, clock.now());
    // Not in the returned future: another task might start calls before it is first polled.
    if !schedule.allows_calls() {
        listener.borrow_mut().hold_calls();
    }
    follower(listener, clock, address, (schedule, HeldVersion::new(index)), (limits, seed)).run()
}

/// Follows the list at a relay: with a watch from the content that is held, which the relay compares by its hash, or else
/// from the whole list. Records in `last_heard` when data arrived.
pub fn follow_relay<L: Listener>(
    listener: Rc<RefCell<L>>,
    clock: Clock,
    address: watch::Receiver<SocketAddr>,
    from: Option<Content>,
    last_heard: LastHeard,
    limits: (Limits, u64),
) -> impl Future<Output = ()> {
    let now = clock.now();
    let start = match from {
        Some(content) => (Schedule::resuming(now), HeldVersion::new(content.index)),
        None => (Schedule::new(false, now), HeldVersion::new(0)),
    };
    let follower = follower(listener, clock, address, start, limits);
    Follower { is_relay: true, last_heard, ..follower }.run()
}

fn follower<L: Listener>(
    listener: Rc<RefCell<L>>,
    clock: Clock,
    address: watch::Receiver<SocketAddr>,
    (schedule, version): (Schedule, HeldVersion),
    (limits, seed): (Limits, u64),
) -> Follower<L> {
    Follower {
        listener,
        is_relay: false,
        last_heard: LastHeard::default(),
        address,
        clock,
        schedule,
        version,
        rng: fastrand::Rng::with_seed(seed),
        limits,
        reader: Reader::new(limits),
        whole_list: None,
        request: Request::List,
        is_first: true,
        current: None,
        late: LateRequests::default(),
    }
}

/// Completes when the address has changed.
pub async fn address_changed(address: &mut watch::Receiver<SocketAddr>) {
    if address.changed().await.is_err() {
        // The sender is gone, so the address cannot change any more.
        std::future::pending().await
    }
}
