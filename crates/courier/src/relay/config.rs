//! The configuration of a relay, a JSON file. All faults are reported together, each with the place where it was found.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use garde::Validate;
use meadowhold_catalog::store::{Bounds as StoreBounds, MAX_PARTITIONS};
use serde::Deserialize;

use crate::config::{self, validate_address, validate_addresses, ConfigError};
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
    /// The platform's agent, or any other server of its published protocol.
    Agent(SocketAddr),
    Relays(Vec<SocketAddr>),
}

/// Limits on the resources of a relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Validate)]
#[serde(default, deny_unknown_fields)]
pub struct Bounds {
    /// Watches served at the same time.
    #[garde(range(min = 1, max = 100_000))]
    pub followers: usize,
    /// Entries of the list.
    #[garde(range(min = 1, max = 1_000_000))]
    pub entries: usize,
    /// Total size of the text of all entries, in megabytes.
    #[garde(range(min = 1, max = 1024))]
    pub list_mb: usize,
    /// Changes remembered for followers that are behind.
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

    /// Limits on a received list.
    pub fn list_limits(&self) -> Limits {
        Limits { entries: self.entries, bytes: self.list_mb << 20 }
    }

    /// Maximum size of the saved list: the entries and a margin of one megabyte for the rest of the file.
    pub fn max_file_bytes(&self) -> u64 {
        (self.list_mb as u64 + 1) << 20
    }
}

/// Required values are optional here and checked after parsing, so that a missing one does not hide other faults.
#[derive(Default, Deserialize, Validate)]
#[serde(default, deny_unknown_fields)]
#[garde(allow_unvalidated)]
struct File {
    name: String,
    #[garde(required, custom(validate_address))]
    listen: Option<String>,
    #[garde(custom(validate_address))]
    source: Option<String>,
    #[garde(inner(length(min = 1, max = MAX_RELAYS)), custom(validate_addresses))]
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
    /// Returns all faults of the file with their places.
    pub fn load(path: &Path) -> Result<Config, ConfigError> {
        let file = Some(path.display().to_string());
        let text = std::fs::read(path).map_err(|e| ConfigError {
            file: None,
            faults: [(path.display().to_string(), format!("cannot be read: {e}"))].into(),
        })?;
        Config::read(&text).map_err(|refused| ConfigError { file, ..refused })
    }

    /// # Errors
    /// Returns all faults of the text with their places.
    pub fn read(text: &[u8]) -> Result<Config, ConfigError> {
        let (file, mut faults) = config::parse::<File>(text)?;
        if let Err(report) = file.validate() {
            for (place, error) in report.iter() {
                // The parser has already reported and removed a value that it cannot read; that value is not missing.
                faults.entry(place.to_string()).or_insert_with(|| error.to_string());
            }
        }
        let has_fault = |name: &str| faults.contains_key(name);
        if file.source.is_some() == file.relays.is_some() && !has_fault("source") && !has_fault("relays") {
            let message = if file.source.is_some() {
                "must not be set together with relays"
            } else {
                "must be set if relays is not"
            };
            faults.insert("source".to_string(), message.to_string());
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
            return Err(ConfigError { file: None, faults });
        };
        let name = if file.name.is_empty() { listen.to_string() } else { file.name };
        let partitions = file.partitions.unwrap_or(1024);
        Ok(Config { name, listen, source, state, epoch: file.epoch, partitions, bounds: file.bounds })
    }
}
