//! Follows the list of endpoints: the whole list once, then a watch on its changes, opened anew when it
//! breaks or falls silent.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Buf, BytesMut};
use meadowhold::interface::Life;
use serde::{Deserialize, Deserializer};
use serde_json::Value;
use tokio::sync::watch;
use tokio::time::timeout;

use crate::exchange::Shared;
use crate::http;
use crate::link::Link;

/// A watch says something every two seconds; one that misses a turn and half of the next is held to be dead.
const SILENCE: Duration = Duration::from_secs(3);
const PAUSES: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(800));
const MOST_LIST: usize = 8 << 20;

#[derive(Clone, Debug, Default, Deserialize)]
pub struct List {
    #[serde(default)]
    pub index: u64,
    #[serde(default)]
    pub snapshot: bool,
    #[serde(default, deserialize_with = "readable")]
    pub endpoints: Vec<Entry>,
}

/// Guards against one entry that cannot be read and would cost all the others: it counts as not listed.
fn readable<'de, D: Deserializer<'de>>(list: D) -> Result<Vec<Entry>, D::Error> {
    let entries = Vec::<Value>::deserialize(list)?.into_iter().map(serde_json::from_value);
    Ok(entries
        .filter_map(|entry| entry.inspect_err(|e| log::warn!("an entry of the list: {e}")).ok())
        .collect())
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
    pub fn life(&self) -> Life {
        match self.status.as_str() {
            "SERVING" => Life::Ready,
            "DRAINING" => Life::Draining,
            _ => Life::Gone,
        }
    }
}

struct Follower {
    shared: Shared,
    address: watch::Receiver<SocketAddr>,
    index: u64,
    /// A list or a line has come since the last pause.
    heard: bool,
}

impl Follower {
    fn apply(&mut self, line: &[u8]) -> io::Result<()> {
        self.heard = true;
        if line.trim_ascii().is_empty() {
            return Ok(());
        }
        let list: List = serde_json::from_slice(line)?;
        self.index = list.index;
        self.shared.borrow_mut().listed(&list);
        Ok(())
    }

    async fn ask(&self, path: &str) -> io::Result<(Link, http::Head)> {
        let address = *self.address.borrow();
        let mut link = timeout(SILENCE, Link::open(address)).await??;
        let mut request = BytesMut::new();
        http::get(&mut request, path, &address.to_string());
        link.send(&request).await?;
        let head = timeout(SILENCE, link.head()).await??;
        match head.status {
            200 => Ok((link, head)),
            status => Err(io::Error::other(format!("discovery answers {status}"))),
        }
    }

    async fn list(&mut self) -> io::Result<()> {
        let (mut link, head) = self.ask("/catalog/members").await?;
        let whole = timeout(SILENCE, link.whole(head.body, MOST_LIST)).await??;
        self.apply(&whole)
    }

    async fn watch(&mut self) -> io::Result<()> {
        let path = format!("/catalog/members?watch=1&after={}", self.index);
        let (mut link, mut head) = self.ask(&path).await?;
        let mut lines = BytesMut::new();
        while let Some(bytes) = timeout(SILENCE, link.piece(&mut head.body)).await?? {
            lines.extend_from_slice(&bytes);
            while let Some(end) = lines.iter().position(|&b| b == b'\n') {
                self.apply(&lines[..end])?;
                lines.advance(end + 1);
            }
            if lines.len() > MOST_LIST {
                return Err(io::Error::new(io::ErrorKind::InvalidData, "a line is too long"));
            }
        }
        Ok(())
    }
}

pub async fn follow(shared: Shared, mut address: watch::Receiver<SocketAddr>, index: u64) {
    let mut follower = Follower { shared, address: address.clone(), index, heard: false };
    let (mut whole, mut pause) = (false, PAUSES.0);
    loop {
        follower.heard = false;
        let ended = tokio::select! {
            biased;
            // Another registry: its whole list first, at once.
            () = moved(&mut address) => {
                (whole, pause) = (false, PAUSES.0);
                continue;
            }
            ended = async { if whole { follower.watch().await } else { follower.list().await } } => ended,
        };
        match ended {
            Ok(()) if !whole => {
                whole = true;
                continue;
            }
            Ok(()) => log::debug!("the watch on the list has ended"),
            // The first failure in a row is worth a line, the others are not.
            Err(e) if follower.heard || pause == PAUSES.0 => log::warn!("the list cannot be followed: {e}"),
            Err(e) => log::debug!("the list still cannot be followed: {e}"),
        }
        pause = if follower.heard { PAUSES.0 } else { (pause * 2).min(PAUSES.1) };
        tokio::select! {
            () = moved(&mut address) => (whole, pause) = (false, PAUSES.0),
            () = tokio::time::sleep(pause) => {}
        }
    }
}

/// Done when another address has been given.
pub async fn moved(address: &mut watch::Receiver<SocketAddr>) {
    if address.changed().await.is_err() {
        // Nobody is left to give one.
        std::future::pending().await
    }
}
