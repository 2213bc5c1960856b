//! Follows the list at one of several relays. `choice` of the catalog selects the relay, and `versions` ensures that no
//! list older than the held one is applied. `discovery` receives the list itself. In addition, the followed relay is
//! queried about once a second: the query reports the version held here, and the response the version held there. Data
//! of the list proves that the relay is alive even if queries fail. After a move to another relay, the list continues
//! from the held content.

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

/// Maximum number of relays in a configuration.
pub const MAX_RELAYS: usize = 64;
/// Maximum size of a relay's response to a query.
const MAX_RESPONSE_BYTES: usize = 4096;
pub const HELD_PATH: &str = "/relay/held";

/// The version that a relay holds, as its response to a query states it. Unknown fields are ignored.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct Held {
    pub epoch: u64,
    pub index: u64,
    /// Hash of all names and entries, independent of their order.
    #[serde(default)]
    pub hash: String,
    /// The list was loaded from the relay's file, and no source has sent one since its process started.
    #[serde(default)]
    pub kept: bool,
    /// Milliseconds since this version was applied.
    #[serde(default)]
    pub age_ms: u64,
    /// Its watches check the content hash that a follower sends: they send the changes since exactly that content if
    /// the relay has held it, and otherwise the whole list.
    #[serde(default)]
    pub resumes: bool,
}

/// A listener that holds a list by its version, which includes the epoch.
pub trait VersionedListener: Listener {
    /// The version that is held.
    fn held(&self) -> Option<Version>;

    /// From now on lists come from another relay or under another epoch: changes after this index, or first a whole
    /// list.
    fn set_source(&mut self, epoch: u64, after: Option<u64>);

    /// Whether a whole list is needed because changes are missing. Resets the request.
    fn take_snapshot_request(&mut self) -> bool;
}

/// What has been received from the current source, to derive the version of each list from it.
#[derive(Debug, Default)]
pub struct SourceState {
    pub epoch: u64,
    /// The last version received from this source.
    last_index: Option<u64>,
    pub needs_snapshot: bool,
}

impl SourceState {
    /// Starts with a new source or epoch, which sends changes after this index, or first a whole list.
    pub fn reset(&mut self, epoch: u64, after: Option<u64>) {
        *self = SourceState { epoch, last_index: after, needs_snapshot: false };
    }

    /// The version of a received list, and the version that its changes follow.
    pub fn offer(&mut self, list: &Update) -> Offer {
        let last = self.last_index.replace(list.index);
        let version = Version { epoch: self.epoch, index: list.index };
        // The first changes from a source may be incomplete. Marked as following their own index, they are not applied
        // to an older list.
        let after = if list.whole { None } else { Some(last.unwrap_or(list.index)) };
        Offer { version, after }
    }
}

/// Passes lists on to a courier's exchange unless they are older than the held one.
pub struct VersionFilter<L> {
    inner: Rc<RefCell<L>>,
    versions: Versions,
    source: SourceState,
    content: ContentHash,
    /// A whole list has been applied, so the content hash covers everything that is held.
    has_snapshot: bool,
}

impl<L: Listener> VersionFilter<L> {
    /// `index` is the version held at the start, or 0 for none.
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
                log::debug!(
                    "a relay sent list {version:?}, which is not newer than {:?}",
                    self.versions.held()
                );
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

/// Follows the list at these relays for a courier's listener, which starts with the list of version `index`.
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

/// Percent-encodes text for use in a query.
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

/// Queries a relay once, over the given connection if it is still usable.
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
        return Err(io::Error::other(format!(
            "the relay responded with status {}",
            response.status().as_u16()
        )));
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
    /// The relay that is being queried, and the query.
    pending: Option<(usize, PendingQuery)>,
    /// The connection to the relay that answered last.
    idle_connection: Option<(usize, Connection)>,
    /// The list that is followed, and when data of it last arrived.
    subscription: Option<Subscription>,
    last_heard: LastHeard,
}

/// Where and from which content the list is followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Subscription {
    relay: usize,
    /// The epoch that the relay reported.
    epoch: u64,
    /// The content after which changes are requested; without one the whole list is requested first.
    from: Option<Content>,
}

impl<H: VersionedListener> RelayFollower<H> {
    fn query(&mut self, relay: usize) {
        let held = self.listener.borrow().held();
        let mut path = format!("{HELD_PATH}?name={}", percent_encode(&self.name));
        if let Some(Version { epoch, index }) = held {
            let _ = write!(path, "&epoch={epoch}&index={index}");
        }
        // A query to another relay keeps the connection to the followed one open.
        let reusable = match self.idle_connection.take() {
            Some((of, connection)) if of == relay => Some(connection),
            other => {
                self.idle_connection = other;
                None
            }
        };
        self.pending = Some((relay, Box::pin(query(reusable, self.relays[relay], path))));
    }

    /// Translates the result of a query into an input for the choice.
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

    /// Follows the list at a relay that has reported its version; from the held content if the relay can check that.
    fn subscribe_after_query(&mut self, relay: usize, reported: &Held) -> Option<Subscription> {
        let version = Version { epoch: reported.epoch, index: reported.index };
        let held = self.listener.borrow().held();
        // A relay that is behind or has another epoch cannot send changes to the held content.
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

    /// Whether the list is already followed at this relay and epoch, and data still arrives.
    fn is_subscribed(&self, relay: usize, epoch: u64) -> bool {
        let same = self
            .subscription
            .is_some_and(|subscription| subscription.relay == relay && subscription.epoch == epoch);
        same && self.last_heard.is_recent(self.clock.now())
    }

    /// Waits for one input to the choice and handles it. Returns a subscription if the list must be followed from a new
    /// start.
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
            // A query in flight has timed out.
            self.pending = None;
        }
        let before = self.choice.followed();
        let is_unanswered = matches!(input, Input::Due | Input::Failed) && self.choice.is_checking();
        let input =
            if is_unanswered && self.last_heard.is_recent(now) { Input::FailedButAlive } else { input };
        let effect = self.choice.handle(now, input, held, self.rng.f64());
        let followed = self.choice.followed();
        if let (Some(relay), None) = (before, followed) {
            log::warn!("relay {} does not respond or is behind; querying another one", self.relays[relay]);
        }
        match (effect, reported) {
            (Effect::Query(relay), _) => self.query(relay),
            (Effect::Follow(relay), Some(reported)) if !self.is_subscribed(relay, reported.epoch) => {
                log::info!("following the list at relay {}", self.relays[relay]);
                return self.subscribe_after_query(relay, &reported);
            }
            // The relay has a new epoch, or changes are missing: the whole list is requested again.
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

/// Follows the list at the relay that the choice selects; does not return.
pub async fn follow<H: VersionedListener + 'static>(
    listener: Rc<RefCell<H>>,
    clock: Clock,
    name: String,
    relays: Vec<SocketAddr>,
    (limits, seed): (Limits, u64),
) {
    // Couriers that share a seed must not draw the same random numbers.
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
    // Lists are requested in ask mode, because many couriers follow one relay. Replaced for each new relay or epoch.
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
                // The follower never returns.
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
