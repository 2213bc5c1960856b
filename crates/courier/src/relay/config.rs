//! What a relay is told: a file of JSON. All that is out of order is told at once, each fault with its place.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use garde::Validate;
use meadowhold_catalog::store::{Bounds as StoreBounds, MAX_PARTITIONS};
use serde::Deserialize;

use crate::config::{self, many_addresses, one_address, Refused};
use crate::reader::Limits;
use crate::relays::MAX_RELAYS;

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub source: Source,
    pub state: PathBuf,
    pub epoch: u64,
    pub partitions: u32,
    pub bounds: Bounds,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// The platform's agent, or whatever tells the published form.
    Agent(SocketAddr),
    Relays(Vec<SocketAddr>),
}

/// What a relay may take at most.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Validate)]
#[serde(default, deny_unknown_fields)]
pub struct Bounds {
    /// Watches that are served at one time.
    #[garde(range(min = 1, max = 100_000))]
    pub followers: usize,
    /// Entries of the list.
    #[garde(range(min = 1, max = 1_000_000))]
    pub entries: usize,
    /// Of all entries' texts, in megabytes.
    #[garde(range(min = 1, max = 1024))]
    pub list_mb: usize,
    /// Changes that are remembered for who is behind.
    #[garde(range(max = 1_000_000))]
    pub window: usize,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds { followers: 1024, entries: 700_000, list_mb: 128, window: 8192 }
    }
}

impl Bounds {
    pub fn store(&self) -> StoreBounds {
        StoreBounds { entries: self.entries, bytes: self.list_mb << 20, window: self.window }
    }

    /// What a list that comes may be.
    pub fn list_limits(&self) -> Limits {
        Limits { entries: self.entries, bytes: self.list_mb << 20 }
    }

    /// Bytes that the file may take: what is held, and some more for what stands round it.
    pub fn max_file_bytes(&self) -> u64 {
        (self.list_mb as u64 + 1) << 20
    }
}

/// A value that must be there is optional here, and its absence found afterwards: so it hides no other fault.
#[derive(Default, Deserialize, Validate)]
#[serde(default, deny_unknown_fields)]
#[garde(allow_unvalidated)]
struct File {
    name: String,
    #[garde(required, custom(one_address))]
    listen: Option<String>,
    #[garde(custom(one_address))]
    source: Option<String>,
    #[garde(inner(length(min = 1, max = MAX_RELAYS)), custom(many_addresses))]
    relays: Option<Vec<String>>,
    #[garde(required)]
    state: Option<PathBuf>,
    epoch: u64,
    #[garde(inner(range(min = 1, max = MAX_PARTITIONS)))]
    partitions: Option<u32>,
    #[garde(dive)]
    bounds: Bounds,
}

impl Config {
    /// # Errors
    /// Every fault of the file, with its place.
    pub fn load(path: &Path) -> Result<Config, Refused> {
        let file = Some(path.display().to_string());
        let text = std::fs::read(path).map_err(|e| Refused {
            file: None,
            faults: [(path.display().to_string(), format!("cannot be read: {e}"))].into(),
        })?;
        Config::read(&text).map_err(|refused| Refused { file, ..refused })
    }

    /// # Errors
    /// The same, of the file's text.
    pub fn read(text: &[u8]) -> Result<Config, Refused> {
        let (file, mut faults) = config::parse::<File>(text)?;
        if let Err(report) = file.validate() {
            for (place, error) in report.iter() {
                // A place that cannot be read has been taken out, and is not missing.
                faults.entry(place.to_string()).or_insert_with(|| error.to_string());
            }
        }
        let has_fault = |name: &str| faults.contains_key(name);
        if file.source.is_some() == file.relays.is_some() && !has_fault("source") && !has_fault("relays") {
            let words =
                if file.source.is_some() { "is named beside relays" } else { "is missing, and relays too" };
            faults.insert("source".to_string(), words.to_string());
        }
        let address = |text: &String| text.parse::<SocketAddr>().ok();
        let source = match (&file.source, &file.relays) {
            (Some(source), None) => address(source).map(Source::Agent),
            (None, Some(relays)) => relays.iter().map(address).collect::<Option<_>>().map(Source::Relays),
            _ => None,
        };
        let listen = file.listen.as_ref().and_then(address);
        let (true, Some(listen), Some(source), Some(state)) = (faults.is_empty(), listen, source, file.state)
        else {
            return Err(Refused { file: None, faults });
        };
        let name = if file.name.is_empty() { listen.to_string() } else { file.name };
        let partitions = file.partitions.unwrap_or(1024);
        Ok(Config { name, listen, source, state, epoch: file.epoch, partitions, bounds: file.bounds })
    }
}
