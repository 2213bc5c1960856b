//! Follows the list of endpoints: the whole list, then a watch on its changes. When to ask, and when what was
//! asked is broken, is the clock's to say (`schedule`).

use std::cell::{Cell, RefCell};
use std::fmt;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::StatusCode;
use meadowhold::interface::{Life, Time};
use meadowhold_catalog::content::Content;
use serde::de::Error as _;
use serde::de::{SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};
use serde_json::Value;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;

use crate::entries::{self, Update};
use crate::exchange::Clock;
use crate::platform::Connection;
use crate::reader::{Limits, ReadError, Reader};
use crate::schedule::{Effect, HeldVersion, Input, Request, Schedule, Verdict, WATCH_TIMEOUT};

/// A list of which more than this has come may take its time: shorter ones have the time of any ask.
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

/// Guards against one entry that cannot be read and would cost all the others: it counts as not listed, also if it
/// is one of changes and was listed before. One at a time: all of a long list as values would take many times its
/// text.
fn readable_entries<'de, D: Deserializer<'de>>(list: D) -> Result<Vec<Entry>, D::Error> {
    struct Entries;

    impl<'de> Visitor<'de> for Entries {
        type Value = Vec<Entry>;

        fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
            f.write_str("entries of the list")
        }

        fn visit_seq<A: SeqAccess<'de>>(self, mut list: A) -> Result<Vec<Entry>, A::Error> {
            let mut entries = Vec::new();
            while let Some(value) = list.next_element::<Value>()? {
                match Entry::deserialize(&value) {
                    Ok(entry) => entries.push(entry),
                    Err(e) => {
                        log::warn!("an entry of the list: {e}");
                        entries.extend(value["name"].as_str().map(Entry::gone));
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
    fn gone(name: &str) -> Entry {
        let (name, text) = (name.to_string(), String::new);
        let (address, zone, kind, status) = (text(), text(), text(), text());
        Entry { name, address, zone, kind, group: 0, status, weight: 0.0, since_ms: 0 }
    }

    pub fn life(&self) -> Life {
        entries::life(&self.status)
    }
}

/// Who hears of the list: a courier's exchange, or whatever else keeps a list.
pub trait Listener {
    /// The whole list, or changes to it, taken up as far as the version held allows.
    fn apply_update(&mut self, list: &Update);

    /// Entries that it would hold with these changes.
    fn count_after(&self, changes: &Update) -> usize;

    /// Nothing may begin by the list until `release_calls`: it was not asked for yet.
    fn hold_calls(&mut self);

    fn release_calls(&mut self);

    /// The content that is held, where it is known; a source that checks it tells only what has changed since.
    fn held_content(&self) -> Option<Content> {
        None
    }
}

/// When something of a list was heard last, for whoever wants to know whether its source lives.
#[derive(Clone, Default)]
pub struct LastHeard(Rc<Cell<Option<Time>>>);

impl LastHeard {
    /// Whether the list or watch that is out was heard within the time in which a healthy one says something.
    pub fn is_recent(&self, now: Time) -> bool {
        self.0.get().is_some_and(|at| now < at + WATCH_TIMEOUT)
    }

    fn note(&self, now: Time, input: Input, effect: Effect) {
        match input {
            Input::Headers
            | Input::LongListData
            | Input::WatchData
            | Input::ListTaken
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

/// What comes of an ask.
enum Event {
    Headers,
    Bytes(Bytes),
    /// The answer is over.
    End,
    Failed(io::Error),
    Status(u16),
}

/// Carries one ask out; it is over, and its connection closed, when it is dropped.
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
    /// The source is a relay: which list is taken is the listener's to say.
    is_relay: bool,
    last_heard: LastHeard,
    address: watch::Receiver<SocketAddr>,
    clock: Clock,
    schedule: Schedule,
    version: HeldVersion,
    rng: fastrand::Rng,
    limits: Limits,
    reader: Reader,
    /// The whole list, until its answer has ended.
    whole_list: Option<Update>,
    /// The present ask is for the whole list, or for a watch of which nothing was read.
    request: Request,
    is_first: bool,
    /// The task of the present ask; dropped with it.
    task: JoinSet<()>,
    events: Option<mpsc::Receiver<Event>>,
}

impl<L: Listener> Follower<L> {
    fn send(&mut self, what: Request) {
        self.cancel();
        (self.request, self.is_first) = (what, true);
        let path = match what {
            Request::List => "/catalog/members".to_string(),
            Request::Watch => self.watch_path(),
        };
        let address = *self.address.borrow();
        let (out, events) = mpsc::channel(1);
        self.events = Some(events);
        self.task.spawn_local(async move {
            let end = send_request(address, path, &out).await.unwrap_or_else(Event::Failed);
            let _ = out.send(end).await;
        });
    }

    /// A relay is told what is held under the index, where just that is known.
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
        self.task = JoinSet::new();
        self.events = None;
        self.reader = Reader::new(self.limits);
        self.whole_list = None;
    }

    /// Takes a list up as far as the version held allows.
    fn apply(&mut self, list: &Update) -> Result<Verdict, ReadError> {
        let (now, whole) = (self.clock.now(), list.whole);
        // Guards against changes that add up to more than a whole list may have.
        if !whole && self.listener.borrow().count_after(list) > self.limits.entries {
            return Err(self.limits.too_many_entries());
        }
        let first = std::mem::take(&mut self.is_first);
        if whole && self.is_relay {
            // Guards against an older list that the listener never hears of: it would take what changed since that
            // list for what changed since its own.
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

    /// Reads what a watch says: one object after another, in one line or in several. A part of one is no word. Guards
    /// against an object that comes byte by byte and keeps a watch open of which nothing is heard.
    fn read_watch(&mut self, bytes: &[u8]) -> Result<Input, ReadError> {
        let mut reader = std::mem::take(&mut self.reader);
        let mut input = Input::Headers;
        let separated = reader.read(bytes, |list| {
            match self.apply(&list)? {
                Verdict::AcceptAndRefetch | Verdict::IgnoreAndRefetch => input = Input::VersionGap,
                Verdict::Accept | Verdict::Ignore | Verdict::IgnoreAndRetry if input == Input::VersionGap => {
                }
                Verdict::Accept | Verdict::Ignore | Verdict::IgnoreAndRetry => input = Input::WatchData,
            }
            Ok(())
        })?;
        self.reader = reader;
        // An empty line, of one that has been read or of its own.
        Ok(if separated && input == Input::Headers { Input::WatchData } else { input })
    }

    /// Reads of a whole list what has come; it counts once the answer has ended.
    fn read_list(&mut self, bytes: &[u8]) -> Result<Input, ReadError> {
        let (reader, held) = (&mut self.reader, &mut self.whole_list);
        reader.read(bytes, |list| match held.replace(list) {
            None => Ok(()),
            Some(_) => Err(serde_json::Error::custom("something follows the list").into()),
        })?;
        Ok(Input::Headers)
    }

    fn finish_list(&mut self) -> Result<Input, ReadError> {
        let unreadable = |words| Err(serde_json::Error::custom(words).into());
        let Some(list) = self.whole_list.take().filter(|_| self.reader.pending() == 0) else {
            return unreadable("the list is cut off");
        };
        // Guards against changes, or an error in an object, that would stand for all that there is.
        if !list.whole {
            return unreadable("the answer is no whole list");
        }
        Ok(if self.apply(&list)? == Verdict::IgnoreAndRetry { Input::OlderList } else { Input::ListTaken })
    }

    /// What an event means to the clock, and what of it is news for the log.
    fn read(&mut self, event: Event) -> (Input, String) {
        let was_long = self.reader.pending() > LONG_LIST;
        let (input, words) = self.read_event(event);
        match input {
            // Guards against many megabytes that are of no use and would be read again and again.
            Input::Unreadable | Input::Closed if was_long => {
                (Input::OverLimit, format!("a long list was spoilt: {words}"))
            }
            Input::Headers if self.reader.pending() > LONG_LIST => (Input::LongListData, words),
            _ => (input, words),
        }
    }

    fn read_event(&mut self, event: Event) -> (Input, String) {
        let read = match event {
            Event::Headers => Ok(Input::Headers),
            Event::Bytes(bytes) if self.request == Request::Watch => self.read_watch(&bytes),
            Event::Bytes(bytes) => self.read_list(&bytes),
            Event::End if self.request == Request::List => self.finish_list(),
            Event::End => return (Input::Closed, "the watch has ended".to_string()),
            Event::Status(status) => return (Input::Rejected, format!("discovery answers {status}")),
            Event::Failed(e) if e.kind() == io::ErrorKind::ConnectionRefused => {
                return (Input::Rejected, e.to_string());
            }
            Event::Failed(e) => return (Input::Closed, e.to_string()),
        };
        match read {
            Ok(Input::VersionGap) => (Input::VersionGap, "changes are missing".to_string()),
            Ok(Input::OlderList) => (Input::OlderList, "the list is from before what is held".to_string()),
            Ok(input) => (input, String::new()),
            Err(ReadError::Unreadable(e)) => (Input::Unreadable, e.to_string()),
            Err(ReadError::OverLimit(words)) => (Input::OverLimit, words),
        }
    }

    async fn run(mut self) {
        loop {
            let due = self.clock.instant(self.schedule.due());
            let (input, words) = tokio::select! {
                biased;
                () = address_changed(&mut self.address) => (Input::AddressChanged, String::new()),
                event = next_event(&mut self.events) => self.read(event),
                () = tokio::time::sleep_until(due.into()) => (Input::Timer, "discovery is silent".to_string()),
            };
            let (now, failed) = (self.clock.now(), self.schedule.consecutive_failures());
            let too_long = self.schedule.consecutive_over_limit();
            if input == Input::AddressChanged {
                self.version.address_changed(self.schedule.ignores_lower_until(now));
            }
            let effect = self.schedule.handle(now, input, self.rng.f64());
            self.last_heard.note(now, input, effect);
            match effect {
                Effect::Nothing => {}
                Effect::Send(what) => self.send(what),
                Effect::Cancel => self.cancel(),
            }
            match (too_long, self.schedule.consecutive_over_limit()) {
                (0, 1) => log::warn!("{words}: the list that is held stays in force"),
                (before, after) if after > before => log::debug!("still {words}"),
                _ => {}
            }
            // The first failure in a row is worth a line, the others are not.
            match (failed, self.schedule.consecutive_failures()) {
                (0, 1) => log::warn!("the list cannot be followed: {words}"),
                (before, after) if after > before => {
                    log::debug!("the list still cannot be followed: {words}")
                }
                _ => {}
            }
            if self.schedule.allows_calls() {
                self.listener.borrow_mut().release_calls();
            }
        }
    }
}

/// What comes next of an ask, if one is out.
async fn next_event(events: &mut Option<mpsc::Receiver<Event>>) -> Event {
    let event = match events {
        Some(events) => events.recv().await,
        None => std::future::pending().await,
    };
    match event {
        Some(event) => event,
        None => {
            *events = None;
            Event::End
        }
    }
}

/// Follows the list from the version that is held. `push`: lists are pushed to an agent, so calls are held until
/// it was asked, for a quarter of a second at most. `limits` are those of one list,
/// and `seed` spreads the couriers' asks.
pub fn follow<L: Listener>(
    listener: Rc<RefCell<L>>,
    clock: Clock,
    address: watch::Receiver<SocketAddr>,
    index: u64,
    push: bool,
    (limits, seed): (Limits, u64),
) -> impl Future<Output = ()> {
    let schedule = Schedule::new(push, clock.now());
    // Here and not in the task, before which another might begin calls.
    if !schedule.allows_calls() {
        listener.borrow_mut().hold_calls();
    }
    follower(listener, clock, address, (schedule, HeldVersion::new(index)), (limits, seed)).run()
}

/// Follows the list at a relay: from the content that is held, where the relay checks it, or else from the whole list.
/// What is heard is noted in `last_heard`.
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
        task: JoinSet::new(),
        events: None,
    }
}

/// Done when another address has been given.
pub async fn address_changed(address: &mut watch::Receiver<SocketAddr>) {
    if address.changed().await.is_err() {
        // Nobody is left to give one.
        std::future::pending().await
    }
}
