//! The status of a relay: its followers and the version in force at each. Followers that report their version are
//! listed with it; for the others it is known only what they requested and what was written to them.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use http_body_util::{BodyExt, Full, Limited};
use hyper::{Request, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::time::timeout;

use super::hub::Hub;
use crate::platform::Connection;
use crate::relays::Held;

pub const PATH: &str = "/relay/status";
/// Limits on the time and the size of a response.
const QUERY_TIMEOUT: Duration = Duration::from_secs(5);
const MAX_RESPONSE_BYTES: usize = 32 << 20;
/// Maximum number of lagging followers, and of watches, that are listed.
const MAX_LISTED: usize = 20;

#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Status {
    /// `None`: no list is held yet.
    pub held: Option<Held>,
    pub entries: usize,
    pub bytes: usize,
    pub partitions: usize,
    pub connections: usize,
    /// Followers that report their version each second; removed after ten seconds without a report.
    pub followers: Vec<Follower>,
    /// Open watches. For followers that do not report their version, they show what was requested and what was written.
    pub watches: Vec<Watch>,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Follower {
    pub name: String,
    pub from: String,
    pub epoch: u64,
    pub index: u64,
    /// Milliseconds for which it has been missing a version that is held here.
    pub behind_ms: Option<u64>,
    /// Milliseconds since its last report.
    pub said_ms: u64,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Watch {
    pub from: String,
    pub asked_after: u64,
    pub told: u64,
    pub open_ms: u64,
}

impl Status {
    pub fn of(hub: &Hub) -> Status {
        let now = hub.clock.now();
        let ms = |at| now.saturating_sub(at) / 10;
        let followers = hub.recent_reports().map(|(name, report)| Follower {
            name: name.clone(),
            from: report.from.to_string(),
            epoch: report.version.epoch,
            index: report.version.index,
            behind_ms: report.behind.map(|(_, since)| ms(since)),
            said_ms: ms(report.reported_at),
        });
        let watches = hub.watches.values().map(|watch| Watch {
            from: watch.from.to_string(),
            asked_after: watch.asked_after,
            told: watch.sent,
            open_ms: ms(watch.opened_at),
        });
        Status {
            held: hub.held(),
            entries: hub.store.entries(),
            bytes: hub.store.bytes(),
            partitions: hub.store.partitions().len(),
            connections: hub.connections,
            followers: followers.collect(),
            watches: watches.collect(),
        }
    }
}

/// The output of the command `relay status`.
impl fmt::Display for Status {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let Some(held) = &self.held else {
            return writeln!(f, "no list is held yet; {} connections", self.connections);
        };
        let from = if held.kept { "from its file, which no source has confirmed; " } else { "" };
        let age = held.age_ms as f64 / 1000.0;
        writeln!(
            f,
            "epoch {} index {}, hash {}; {from}{age:.1} s old; {} entries in {} partitions; {} connections",
            held.epoch, held.index, held.hash, self.entries, self.partitions, self.connections
        )?;
        let mut behind: Vec<&Follower> = self.followers.iter().filter(|f| f.behind_ms.is_some()).collect();
        behind.sort_by_key(|follower| std::cmp::Reverse(follower.behind_ms));
        let (m, n) = (self.followers.len(), self.followers.len() - behind.len());
        writeln!(f, "in force at {n} of {m} that state what they hold")?;
        for follower in behind.iter().take(MAX_LISTED) {
            let since = follower.behind_ms.unwrap_or_default() as f64 / 1000.0;
            let Follower { name, from, epoch, index, .. } = follower;
            writeln!(f, "  {name} at {from} holds epoch {epoch} index {index}, behind for {since:.1} s")?;
        }
        if behind.len() > MAX_LISTED {
            writeln!(f, "  and {} more", behind.len() - MAX_LISTED)?;
        }
        let told = self.watches.iter().filter(|watch| watch.told == held.index).count();
        writeln!(
            f,
            "written to {told} of {} open watches; which they asked after, from when on:",
            self.watches.len()
        )?;
        let late = self.watches.iter().filter(|watch| watch.told != held.index);
        for watch in late.take(MAX_LISTED) {
            let (since, Watch { from, asked_after, told, .. }) = (watch.open_ms as f64 / 1000.0, watch);
            writeln!(f, "  {from} asked after {asked_after} {since:.1} s ago, written up to {told}")?;
        }
        Ok(())
    }
}

/// Fetches the status of a relay; must run within a `LocalSet`.
///
/// # Errors
/// Fails if the relay cannot be reached or the response is not a relay's status.
pub async fn fetch(address: SocketAddr) -> io::Result<Status> {
    let response = async {
        let mut connection = Connection::open(address).await?;
        let request = Request::get(PATH).body(Full::default()).map_err(io::Error::other)?;
        let response = connection.send(request).await?;
        if response.status() != StatusCode::OK {
            return Err(io::Error::other(format!(
                "the relay responded with status {}",
                response.status().as_u16()
            )));
        }
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES)
            .collect()
            .await
            .map_err(io::Error::other)?;
        Ok(serde_json::from_slice(&body.to_bytes())?)
    };
    timeout(QUERY_TIMEOUT, response).await.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
}
