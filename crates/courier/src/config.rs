//! The courier's configuration: a JSON file, and environment variables that override it. All faults are reported
//! at once, each with its place.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;

use garde::Validate;
use meadowhold_settings::{decode_json, Decoded};
use serde::de::DeserializeOwned;
use serde::Deserialize;
use serde_json::Value;
use serde_path_to_error::{Path, Segment};

use crate::discovery::List;
use crate::members::{Members, MAX_MEMBERS};
use crate::reader;
use crate::relays::MAX_RELAYS;
use crate::version::{Faults, Fingerprint};

pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub state: PathBuf,
    pub sockets: usize,
    /// Maximum memory of the process in bytes.
    pub memory: u64,
    /// Maximum size of the state folder in bytes.
    pub disk: u64,
    /// A list beyond these limits is not applied.
    pub list_limits: reader::Limits,
    pub known: List,
    pub decoded: Decoded,
    pub peers: Option<Peers>,
    /// Relays that the list is read from instead of the platform's agent. Notices go to the agent in either case.
    pub relays: Option<Vec<SocketAddr>>,
    /// Version number of the settings. A file without one does not change the settings of a running courier.
    pub version: Option<u64>,
}

/// Where this courier receives notes from other couriers, and their addresses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peers {
    pub listen: SocketAddr,
    pub others: Vec<SocketAddr>,
    /// Addresses for the membership protocol, if it is used.
    pub members: Option<Members>,
}

/// The file as it is written. Addresses are kept as text, so that an environment variable can replace even an
/// invalid one.
#[derive(Deserialize, Validate)]
#[garde(allow_unvalidated)]
struct File {
    #[serde(default)]
    name: String,
    listen: Option<String>,
    discovery: Option<String>,
    #[serde(default)]
    seed: String,
    #[serde(default)]
    #[garde(dive)]
    limits: Limits,
    #[serde(default)]
    known: List,
    #[serde(default)]
    #[garde(custom(validate_settings))]
    settings: Value,
    #[garde(dive)]
    peers: Option<PeersText>,
    #[garde(inner(length(min = 1, max = MAX_RELAYS)), custom(validate_addresses))]
    relays: Option<Vec<String>>,
    #[garde(custom(validate_version))]
    version: Option<u64>,
}

#[derive(Deserialize, Validate)]
#[serde(default)]
struct Limits {
    #[garde(custom(validate_sockets))]
    sockets: usize,
    #[garde(custom(validate_memory))]
    memory_mb: f64,
    #[garde(custom(validate_megabytes))]
    disk_mb: f64,
    #[garde(custom(validate_list_entries))]
    list_entries: usize,
    #[garde(custom(validate_megabytes))]
    list_mb: f64,
}

impl Default for Limits {
    fn default() -> Self {
        let reader::Limits { entries, bytes } = reader::Limits::default();
        Limits {
            sockets: 1024,
            memory_mb: 192.0,
            disk_mb: 3.0,
            list_entries: entries,
            list_mb: bytes as f64 / 1e6,
        }
    }
}

/// Each fault costs another pass over the whole file, so a file of nothing but faults would block a running
/// courier.
const MAX_FAULTS: usize = 32;

/// Bounds the datagrams that are sent for each note. Equal to the maximum number of members, so that one list of
/// addresses can serve both.
const MAX_PEERS: usize = MAX_MEMBERS;

/// Required values are optional here and checked after parsing, so that a missing one does not hide other faults.
#[derive(Default, Deserialize, Validate)]
#[serde(default, deny_unknown_fields)]
#[garde(allow_unvalidated)]
struct PeersText {
    #[garde(required, custom(validate_address))]
    listen: Option<String>,
    #[garde(required, length(max = MAX_PEERS), custom(validate_addresses))]
    others: Option<Vec<String>>,
    members: Option<Members>,
}

impl PeersText {
    fn into_peers(self) -> Option<Peers> {
        let others = self.others?.iter().map(|other| other.parse().ok()).collect::<Option<_>>()?;
        Some(Peers { listen: self.listen?.parse().ok()?, others, members: self.members })
    }
}

/// With fewer, a courier would have hardly any descriptors left besides those it needs for itself.
fn validate_sockets(sockets: &usize, (): &()) -> garde::Result {
    ensure(*sockets >= 64, || "is under 64".to_string())
}

/// With less, hardly any would be left besides the program itself.
fn validate_memory(megabytes: &f64, (): &()) -> garde::Result {
    ensure(*megabytes >= 16.0 && *megabytes < 1e9, || "is under 16 or no size".to_string())
}

fn validate_list_entries(entries: &usize, (): &()) -> garde::Result {
    ensure(*entries > 0, || "must be at least 1".to_string())
}

fn validate_megabytes(megabytes: &f64, (): &()) -> garde::Result {
    ensure(*megabytes > 0.0 && *megabytes < 1e9, || "is no size".to_string())
}

fn validate_version(version: &Option<u64>, (): &()) -> garde::Result {
    ensure(*version != Some(0), || "is under 1".to_string())
}

fn validate_settings(settings: &Value, (): &()) -> garde::Result {
    let problem = if settings.is_null() { "is missing" } else { "is not an object" };
    ensure(settings.is_object(), || problem.to_string())
}

pub(crate) fn validate_address(text: &Option<String>, (): &()) -> garde::Result {
    check_addresses(text.as_slice())
}

pub(crate) fn validate_addresses(texts: &Option<Vec<String>>, (): &()) -> garde::Result {
    check_addresses(texts.as_deref().unwrap_or_default())
}

fn check_addresses(texts: &[String]) -> garde::Result {
    let invalid = texts.iter().filter(|text| text.parse::<SocketAddr>().is_err());
    let invalid: Vec<&str> = invalid.map(String::as_str).collect();
    ensure(invalid.is_empty(), || format!("is no address: {}", invalid.join(", ")))
}

fn ensure(holds: bool, problem: impl FnOnce() -> String) -> garde::Result {
    if holds {
        Ok(())
    } else {
        Err(garde::Error::new(problem()))
    }
}

/// A configuration that is about to be validated or applied, with the fingerprint that identifies its version.
pub struct Candidate {
    /// Text of the file, if it has a version number.
    pub text: Option<Vec<u8>>,
    /// `None` if the text is not a JSON object.
    pub fingerprint: Option<Fingerprint>,
    pub result: Result<Config, ConfigError>,
}

/// All faults of a configuration that cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    /// Path of the file, unless the place of the fault names it or there is none.
    pub file: Option<String>,
    /// Faults by place: a path in the file such as `limits.sockets`, the name of an environment variable, or an
    /// empty text for the file as a whole.
    pub faults: Faults,
}

impl ConfigError {
    fn single(place: &str, problem: impl Into<String>) -> ConfigError {
        ConfigError { file: None, faults: Faults::from([(place.to_string(), problem.into())]) }
    }
}

/// One line: `FILE: PLACE fault; PLACE fault`.
impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let mut before = "";
        if let Some(file) = &self.file {
            write!(f, "{file}: ")?;
        }
        for (place, problem) in &self.faults {
            let gap = if place.is_empty() { "" } else { " " };
            let fault = format!("{before}{place}{gap}{problem}");
            // Names and values from the file may contain line breaks.
            f.write_str(&fault.replace(char::is_control, " "))?;
            before = "; ";
        }
        Ok(())
    }
}

impl std::error::Error for ConfigError {}

fn unreadable(error: &serde_json::Error) -> String {
    format!("cannot be read: {error}")
}

/// Parses a file and reports what cannot be read. Unreadable values are removed from the result, so that the rest
/// can still be validated.
pub(crate) fn parse<T: DeserializeOwned>(text: &[u8]) -> Result<(T, Faults), ConfigError> {
    let mut from = serde_json::Deserializer::from_slice(text);
    let error = match serde_path_to_error::deserialize(&mut from) {
        Ok(file) => match from.end() {
            Ok(()) => return Ok((file, Faults::new())),
            Err(e) => return Err(ConfigError::single("", unreadable(&e))),
        },
        Err(error) => error,
    };
    let first = (error.path().to_string(), unreadable(error.inner()));
    // Invalid JSON is reported as a single fault at its position.
    let mut value: Value =
        serde_json::from_slice(text).map_err(|e| ConfigError::single("", unreadable(&e)))?;
    let mut faults = Faults::new();
    // Number of items removed so far from each list, to find the original index of the items after them.
    let mut removed = BTreeMap::new();
    loop {
        let error = match serde_path_to_error::deserialize::<_, T>(&value) {
            Ok(file) => {
                // Some faults, such as a duplicate key, are not visible in the parsed value.
                faults.entry(first.0).or_insert(first.1);
                return Ok((file, faults));
            }
            Err(error) => error,
        };
        let place = remove_at(&mut value, error.path(), &mut removed);
        let repeated = place.as_ref().is_some_and(|place| faults.contains_key(place));
        faults.insert(place.clone().unwrap_or_default(), unreadable(error.inner()));
        // A fault that cannot be removed hides the remaining ones and would be found again forever.
        if place.is_none() || repeated || faults.len() == MAX_FAULTS {
            return Err(ConfigError { file: None, faults });
        }
    }
}

/// Removes the value at `path` and returns its place in the original text, or `None` if there is no such value.
fn remove_at(root: &mut Value, path: &Path, removed: &mut BTreeMap<String, usize>) -> Option<String> {
    let mut segments = path.iter().peekable();
    let (mut value, mut place) = (root, String::new());
    while let Some(segment) = segments.next() {
        let last = segments.peek().is_none();
        match segment {
            Segment::Map { key } => {
                let container = value.as_object_mut()?;
                place += if place.is_empty() { "" } else { "." };
                place += key;
                if last {
                    return container.remove(key).map(|_| place);
                }
                value = container.get_mut(key)?;
            }
            Segment::Seq { index } => {
                let container = value.as_array_mut().filter(|items| *index < items.len())?;
                let before = removed.entry(place.clone()).or_default();
                place += &format!("[{}]", *index + *before);
                if last {
                    container.remove(*index);
                    *before += 1;
                    return Some(place);
                }
                value = &mut container[*index];
            }
            Segment::Enum { .. } | Segment::Unknown => return None,
        }
    }
    None
}

/// Parses an address from an environment variable or, if that is not set, from the file under `key`.
fn address(
    (name, variable): (&str, Option<String>),
    (key, file): (&str, Option<String>),
    faults: &mut Faults,
) -> Option<SocketAddr> {
    let text = variable.or(file);
    // An unreadable value in the file has already been reported.
    if text.is_none() && faults.contains_key(key) {
        return None;
    }
    let address = text.as_deref().map(|text| text.parse().map_err(|_| format!("is no address: {text}")));
    let address = address.unwrap_or(Err("is not set".to_string()));
    address.map_err(|problem| faults.insert(format!("{key} or {name}"), problem)).ok()
}

impl Candidate {
    /// Reads the file's text and the environment variables that `variable` returns.
    pub fn of(text: &[u8], variable: &dyn Fn(&str) -> Option<String>) -> Candidate {
        let result = Config::read(text, variable);
        let fingerprint = Fingerprint::read(text);
        let versioned = fingerprint.as_ref().is_some_and(|fingerprint| fingerprint.version_id().is_some());
        Candidate { text: versioned.then(|| text.to_vec()), fingerprint, result }
    }
}

fn variable(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|value| !value.is_empty())
}

impl Config {
    /// Reads the file that `ROUTER_CONFIG` names. Other environment variables take precedence over its values.
    pub fn from_environment() -> Result<Config, ConfigError> {
        Config::load(&variable)
    }

    /// Reads the file again in a running process. Its discovery address now takes precedence over the environment
    /// variable, which dates from the start of the process.
    pub fn reload() -> Candidate {
        let variable = |name: &str| variable(name).filter(|_| name != "ROUTER_DISCOVERY");
        Config::load_candidate(&variable)
    }

    fn load(variable: &dyn Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
        Config::load_candidate(variable).result
    }

    /// Reads the file that `ROUTER_CONFIG` names, with its fingerprint.
    fn load_candidate(variable: &dyn Fn(&str) -> Option<String>) -> Candidate {
        const FILE: &str = "ROUTER_CONFIG";
        let text = variable(FILE).ok_or_else(|| ConfigError::single(FILE, "is not set")).and_then(|path| {
            let text = std::fs::read(&path);
            text.map(|text| (path.clone(), text))
                .map_err(|e| ConfigError::single(&path, format!("cannot be read: {e}")))
        });
        match text {
            Ok((path, text)) => {
                let Candidate { text, fingerprint, result } = Candidate::of(&text, variable);
                let result = result.map_err(|error| ConfigError { file: Some(path), ..error });
                Candidate { text, fingerprint, result }
            }
            Err(error) => Candidate { text: None, fingerprint: None, result: Err(error) },
        }
    }

    /// Reads the file at the start of a process.
    pub fn at_start() -> Candidate {
        Config::load_candidate(&variable)
    }

    /// Reads the text that an earlier process saved, in place of the file.
    pub fn from_saved(text: &[u8]) -> Result<Config, ConfigError> {
        Config::read(text, &variable)
    }

    /// The state folder, if `ROUTER_STATE` is set.
    pub fn state_folder() -> Option<PathBuf> {
        variable("ROUTER_STATE").map(PathBuf::from)
    }

    /// Reads the file's text and the environment variables that `variable` returns, which take precedence.
    pub fn read(text: &[u8], variable: &dyn Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
        let (file, mut faults) = parse::<File>(text)?;
        // The platform's seed is hexadecimal; any other text is hashed.
        let seed = u64::from_str_radix(&file.seed, 16);
        let seed = seed.unwrap_or_else(|_| u64::from(crc32fast::hash(file.seed.as_bytes())));
        if let Err(report) = file.validate() {
            for (place, error) in report.iter() {
                // An unreadable value was removed above and must not be reported as missing.
                faults.entry(place.to_string()).or_insert_with(|| error.to_string());
            }
        }
        let decoded = if faults.contains_key("settings") {
            None
        } else {
            let add = |fault: &meadowhold_settings::Fault| {
                faults.insert(format!("setting {}", fault.path), fault.problem.to_string());
            };
            decode_json(seed, &file.settings).map_err(|all| all.0.iter().for_each(add)).ok()
        };
        if let (Some(_), Some(decoded)) = (&file.peers, &decoded) {
            if !decoded.settings.peer_notes {
                let problem = "are configured, but setting Limits.MayTell does not allow notes";
                faults.entry("peers".to_string()).or_insert_with(|| problem.to_string());
            }
        }
        let mut parse_address =
            |name, place, text| address((name, variable(name)), (place, text), &mut faults);
        let listen = parse_address("ROUTER_LISTEN", "listen", file.listen);
        let discovery = parse_address("ROUTER_DISCOVERY", "discovery", file.discovery);
        let state = variable("ROUTER_STATE");
        if state.is_none() {
            faults.insert("ROUTER_STATE".to_string(), "is not set".to_string());
        }
        let peers = file.peers.and_then(PeersText::into_peers);
        // Invalid addresses have already been reported.
        let relays = file.relays.map(|all| all.iter().filter_map(|relay| relay.parse().ok()).collect());
        let (true, Some(listen), Some(discovery), Some(state), Some(decoded)) =
            (faults.is_empty(), listen, discovery, state, decoded)
        else {
            return Err(ConfigError { file: None, faults });
        };
        Ok(Config {
            name: variable("ROUTER_NAME").unwrap_or(file.name),
            listen,
            discovery,
            state: state.into(),
            sockets: file.limits.sockets,
            memory: (file.limits.memory_mb * 1e6) as u64,
            disk: (file.limits.disk_mb * 1e6) as u64,
            list_limits: reader::Limits {
                entries: file.limits.list_entries,
                bytes: (file.limits.list_mb * 1e6) as usize,
            },
            known: file.known,
            decoded,
            peers,
            relays,
            version: file.version,
        })
    }
}
