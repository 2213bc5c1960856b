//! Follows the list at one of several relays: which one, the catalog's `choice` says; that no older list is
//! taken than was held, its `versions`. The list itself is followed by `discovery` as ever; beside it goes an
//! ask a second, by which the relay hears what is held here, and says what it holds. A list that is heard proves that
//! its relay lives, whatever becomes of the asks; and a move to another relay goes on from the held content.

use std::cell::RefCell;
use std::fmt::Write;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;

use http_body_util::{BodyExt, Full, Limited};
use hyper::{Request, StatusCode};
use meadowhold::interface::EndpointStatus;
use meadowhold_catalog::choice::{rank_relays, Choice, Effect, Input};
use meadowhold_catalog::content::{Content, ContentHash};
use meadowhold_catalog::versions::{Offer, Verdict, Version, Versions};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::time::sleep_until;

use crate::discovery::{self, LastHeard, Listener};
use crate::entries::Update;
use crate::exchange::Clock;
use crate::memory::KeptEntry;
use crate::platform::Connection;
use crate::reader::Limits;

/// Relays that a configuration may name.
pub const MAX_RELAYS: usize = 64;
/// Of a relay's answer on what it holds, in bytes.
const MAX_RESPONSE_BYTES: usize = 4096;
pub const HELD_PATH: &str = "/relay/held";

/// What a relay says that it holds. Fields that are not known are passed over.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct Held {
    pub epoch: u64,
    pub index: u64,
    /// Of all names and entries, in whatever order.
    #[serde(default)]
    pub hash: String,
    /// It comes from the relay's file: no source has told a list since its process began.
    #[serde(default)]
    pub kept: bool,
    /// Milliseconds since this version was taken up.
    #[serde(default)]
    pub age_ms: u64,
    /// Its watches check the content hash that a follower names: they tell what has changed since just that content
    /// was held there, and otherwise all of it.
    #[serde(default)]
    pub resumes: bool,
}

/// Who holds a list that comes by relays.
pub trait VersionedListener: Listener {
    /// The version that is held.
    fn held(&self) -> Option<Version>;

    /// From here on lists come from another relay, or under another epoch: what changes after this index, or whole.
    fn set_source(&mut self, epoch: u64, after: Option<u64>);

    /// Whether something is missing that only a whole list brings; asked once.
    fn take_snapshot_request(&mut self) -> bool;
}

/// What was heard of the list since it comes from where it does, for whoever holds it by versions.
#[derive(Debug, Default)]
pub struct SourceState {
    pub epoch: u64,
    /// The version last heard from there.
    last_index: Option<u64>,
    pub needs_snapshot: bool,
}

impl SourceState {
    /// Lists come from elsewhere, or under another epoch: what changes after this index, or whole.
    pub fn reset(&mut self, epoch: u64, after: Option<u64>) {
        *self = SourceState { epoch, last_index: after, needs_snapshot: false };
    }

    /// What a list offers that has come.
    pub fn offer(&mut self, list: &Update) -> Offer {
        let last = self.last_index.replace(list.index);
        let version = Version { epoch: self.epoch, index: list.index };
        // Changes of which nothing went before cannot be told from a part of them.
        let after = if list.whole { None } else { Some(last.unwrap_or(list.index)) };
        Offer { version, after }
    }
}

/// Stands before a courier's exchange, and passes on what is no older than what was held.
pub struct VersionFilter<L> {
    inner: Rc<RefCell<L>>,
    versions: Versions,
    source: SourceState,
    content: ContentHash,
    /// A whole list was taken, so that the content hash is that of all that is held.
    has_snapshot: bool,
}

impl<L: Listener> VersionFilter<L> {
    /// `index`: the version held at the start, 0: none.
    pub fn new(inner: Rc<RefCell<L>>, index: u64) -> VersionFilter<L> {
        let held = (index > 0).then_some(Version { epoch: 0, index });
        let (source, content) = (SourceState::default(), ContentHash::default());
        VersionFilter { inner, versions: Versions::new(held), source, content, has_snapshot: false }
    }

    fn update_content_hash(&mut self, list: &Update) {
        if list.whole {
            self.content.clear();
            self.has_snapshot = true;
        }
        for entry in list.entries.iter() {
            match entry.endpoint_status() {
                EndpointStatus::Removed => self.content.remove(entry.name),
                EndpointStatus::Ready | EndpointStatus::Draining => {
                    self.content.insert(entry.name, &KeptEntry::from(&entry).to_json())
                }
            }
        }
    }
}

impl<L: Listener> Listener for VersionFilter<L> {
    fn apply_update(&mut self, list: &Update) {
        let offer = self.source.offer(list);
        match self.versions.apply(&offer, Vec::new()) {
            Verdict::Apply => {
                self.update_content_hash(list);
                self.inner.borrow_mut().apply_update(list);
            }
            Verdict::RequestSnapshot => self.source.needs_snapshot = true,
            Verdict::Ignore | Verdict::Reject(_) => {
                let version = offer.version;
                log::debug!("a relay's list {version:?} is from before {:?}", self.versions.held());
            }
        }
    }

    fn count_after(&self, changes: &Update) -> usize {
        self.inner.borrow().count_after(changes)
    }

    fn hold_calls(&mut self) {
        self.inner.borrow_mut().hold_calls();
    }

    fn release_calls(&mut self) {
        self.inner.borrow_mut().release_calls();
    }

    fn held_content(&self) -> Option<Content> {
        let version = self.versions.held().filter(|_| self.has_snapshot)?;
        Some(Content { index: version.index, hash: self.content.value() })
    }
}

impl<L: Listener> VersionedListener for VersionFilter<L> {
    fn held(&self) -> Option<Version> {
        self.versions.held()
    }

    fn set_source(&mut self, epoch: u64, after: Option<u64>) {
        self.source.reset(epoch, after);
    }

    fn take_snapshot_request(&mut self) -> bool {
        std::mem::take(&mut self.source.needs_snapshot)
    }
}

/// A courier's listener follows the list at these relays; `index` is that of the list it begins with.
pub fn follow_for<L: Listener + 'static>(
    listener: Rc<RefCell<L>>,
    clock: Clock,
    name: String,
    relays: Vec<SocketAddr>,
    index: u64,
    limits: (Limits, u64),
) -> impl Future<Output = ()> {
    follow(Rc::new(RefCell::new(VersionFilter::new(listener, index))), clock, name, relays, limits)
}

/// Text as a word of a query.
fn percent_encode(text: &str) -> String {
    let mut encoded = String::new();
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._".contains(&byte) {
            encoded.push(char::from(byte));
        } else {
            let _ = write!(encoded, "%{byte:02x}");
        }
    }
    encoded
}

/// Asks one relay once, over the connection that is there if it can be used.
async fn query(
    connection: Option<Connection>,
    address: SocketAddr,
    path: String,
) -> io::Result<(Connection, Held)> {
    let mut connection = match connection.filter(Connection::is_usable) {
        Some(connection) => connection,
        None => Connection::open(address).await?,
    };
    let request = Request::get(path).body(Full::default()).map_err(io::Error::other)?;
    let response = connection.send(request).await?;
    if response.status() != StatusCode::OK {
        return Err(io::Error::other(format!("the relay answers {}", response.status().as_u16())));
    }
    let body =
        Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await.map_err(io::Error::other)?;
    let held = serde_json::from_slice(&body.to_bytes())?;
    Ok((connection, held))
}

type PendingQuery = Pin<Box<dyn Future<Output = io::Result<(Connection, Held)>>>>;

struct RelayFollower<H> {
    listener: Rc<RefCell<H>>,
    clock: Clock,
    name: String,
    relays: Vec<SocketAddr>,
    choice: Choice,
    rng: fastrand::Rng,
    /// The relay that is asked now, and its answer to come.
    pending: Option<(usize, PendingQuery)>,
    /// A connection to the one that was asked last and answered.
    idle_connection: Option<(usize, Connection)>,
    /// What is followed now, and when something of it was heard last.
    subscription: Option<Subscription>,
    last_heard: LastHeard,
}

/// Where the list is followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Subscription {
    relay: usize,
    /// What the relay was said to speak of.
    epoch: u64,
    /// The content from which it goes on; without one it begins with the whole list.
    from: Option<Content>,
}

impl<H: VersionedListener> RelayFollower<H> {
    fn query(&mut self, relay: usize) {
        let held = self.listener.borrow().held();
        let mut path = format!("{HELD_PATH}?name={}", percent_encode(&self.name));
        if let Some(Version { epoch, index }) = held {
            let _ = write!(path, "&epoch={epoch}&index={index}");
        }
        // A try at another relay leaves the connection to the one that is followed.
        let reusable = match self.idle_connection.take() {
            Some((of, connection)) if of == relay => Some(connection),
            other => {
                self.idle_connection = other;
                None
            }
        };
        self.pending = Some((relay, Box::pin(query(reusable, self.relays[relay], path))));
    }

    /// What an answer means to the choice.
    fn handle_response(
        &mut self,
        relay: usize,
        response: io::Result<(Connection, Held)>,
    ) -> (Input, Option<Held>) {
        let (connection, held) = match response {
            Ok(answered) => answered,
            Err(e) => {
                log::debug!("relay {}: {e}", self.relays[relay]);
                return (Input::Failed, None);
            }
        };
        let version = Version { epoch: held.epoch, index: held.index };
        self.idle_connection = Some((relay, connection));
        (Input::Answered(version), Some(held))
    }

    /// Follows the list at a relay that has said what it holds, from the held content if that can be checked there.
    fn subscribe_after_query(&mut self, relay: usize, reported: &Held) -> Option<Subscription> {
        let version = Version { epoch: reported.epoch, index: reported.index };
        let held = self.listener.borrow().held();
        // A relay that is behind, or of another epoch, has nothing to go on from.
        let resumes = reported.resumes
            && held.is_some_and(|held| held.epoch == version.epoch && held.index <= version.index);
        let from = self.listener.borrow().held_content().filter(|_| resumes);
        self.subscribe(Subscription { relay, epoch: reported.epoch, from })
    }

    fn subscribe(&mut self, subscription: Subscription) -> Option<Subscription> {
        self.last_heard = LastHeard::default();
        self.listener
            .borrow_mut()
            .set_source(subscription.epoch, subscription.from.map(|content| content.index));
        self.subscription = Some(subscription);
        self.subscription
    }

    /// Whether this is followed already, and heard.
    fn is_subscribed(&self, relay: usize, epoch: u64) -> bool {
        let same = self
            .subscription
            .is_some_and(|subscription| subscription.relay == relay && subscription.epoch == epoch);
        same && self.last_heard.is_recent(self.clock.now())
    }

    /// One input to the choice; says where the list is to be followed anew, if it is.
    async fn next_subscription(&mut self) -> Option<Subscription> {
        let due = self.clock.instant(self.choice.due());
        let (input, reported, queried) = match &mut self.pending {
            Some((relay, pending)) => {
                let relay = *relay;
                tokio::select! {
                    response = pending => {
                        self.pending = None;
                        let (input, reported) = self.handle_response(relay, response);
                        (input, reported, relay)
                    }
                    () = sleep_until(due.into()) => (Input::Due, None, relay),
                }
            }
            None => {
                sleep_until(due.into()).await;
                (Input::Due, None, 0)
            }
        };
        let (now, held) = (self.clock.now(), self.listener.borrow().held());
        if input == Input::Due && now >= self.choice.due() {
            // Where one is out its time is up.
            self.pending = None;
        }
        let before = self.choice.followed();
        let is_unanswered = matches!(input, Input::Due | Input::Failed) && self.choice.is_checking();
        let input =
            if is_unanswered && self.last_heard.is_recent(now) { Input::FailedButAlive } else { input };
        let effect = self.choice.handle(now, input, held, self.rng.f64());
        let followed = self.choice.followed();
        if let (Some(relay), None) = (before, followed) {
            log::warn!("relay {} is lost or behind: another is asked", self.relays[relay]);
        }
        match (effect, reported) {
            (Effect::Query(relay), _) => self.query(relay),
            (Effect::Follow(relay), Some(reported)) if !self.is_subscribed(relay, reported.epoch) => {
                log::info!("the list is followed at relay {}", self.relays[relay]);
                return self.subscribe_after_query(relay, &reported);
            }
            // The same relay counts anew, or a part is missing: all of it again.
            (_, Some(reported)) if followed == Some(queried) => {
                let needs_snapshot = self.listener.borrow_mut().take_snapshot_request();
                let is_new_epoch =
                    self.subscription.is_none_or(|subscription| subscription.epoch != reported.epoch);
                if is_new_epoch || needs_snapshot {
                    return self.subscribe(Subscription {
                        relay: queried,
                        epoch: reported.epoch,
                        from: None,
                    });
                }
            }
            _ => {}
        }
        None
    }
}

/// Follows the list at the relay that the choice names, for good.
pub async fn follow<H: VersionedListener + 'static>(
    listener: Rc<RefCell<H>>,
    clock: Clock,
    name: String,
    relays: Vec<SocketAddr>,
    (limits, seed): (Limits, u64),
) {
    // Guards against couriers of one seed that would all draw the same.
    let seed = seed ^ u64::from(crc32fast::hash(name.as_bytes()));
    let by_address: Vec<(String, f64)> = relays.iter().map(|relay| (relay.to_string(), 1.0)).collect();
    let choice = Choice::new(rank_relays(&name, &by_address), clock.now());
    let mut relay_follower = RelayFollower {
        listener: listener.clone(),
        clock,
        name,
        relays,
        choice,
        rng: fastrand::Rng::with_seed(seed ^ 0x5eed),
        pending: None,
        idle_connection: None,
        subscription: None,
        last_heard: LastHeard::default(),
    };
    // Asked for as where asks are priced: many follow one relay. Begun anew with each relay and epoch.
    let mut following: Option<Pin<Box<dyn Future<Output = ()>>>> = None;
    loop {
        let to = {
            let next_subscription = relay_follower.next_subscription();
            let followed = async {
                match &mut following {
                    Some(following) => following.await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                to = next_subscription => to,
                // It never ends.
                () = followed => return,
            }
        };
        if let Some(Subscription { relay, from, .. }) = to {
            let (_, address) = watch::channel(relay_follower.relays[relay]);
            let last_heard = relay_follower.last_heard.clone();
            let list_follower =
                discovery::follow_relay(listener.clone(), clock, address, from, last_heard, (limits, seed));
            following = Some(Box::pin(list_follower));
        }
    }
}
