//! What a courier is told at its start: a file of JSON, and variables of the environment. All that is out of
//! order is told at once, each fault with its place.

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
use crate::members::{Members, MOST_MEMBERS};
use crate::reader;
use crate::relays::MAX_RELAYS;
use crate::version::{Faults, Whole};

pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub state: PathBuf,
    pub sockets: usize,
    /// Bytes that the folder that lasts may hold.
    pub disk: u64,
    /// What a list may have at most to be taken up.
    pub list: reader::Limits,
    pub known: List,
    pub decoded: Decoded,
    pub peers: Option<Peers>,
    /// Where the list is followed, if not at the platform's agent; notices go there all the same.
    pub relays: Option<Vec<SocketAddr>>,
    /// The number of the settings' version; without one they are those of the start.
    pub version: Option<u64>,
}

/// Where notes from other couriers are heard, and where they are.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peers {
    pub listen: SocketAddr,
    pub others: Vec<SocketAddr>,
    /// Where membership is spoken, if it is.
    pub members: Option<Members>,
}

/// Text, so that a variable may go before what the file says, whatever that is.
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
    #[garde(custom(given))]
    settings: Value,
    #[garde(dive)]
    peers: Option<PeersText>,
    #[garde(inner(length(min = 1, max = MAX_RELAYS)), custom(many_addresses))]
    relays: Option<Vec<String>>,
    #[garde(custom(counted))]
    version: Option<u64>,
}

#[derive(Deserialize, Validate)]
#[serde(default)]
struct Limits {
    #[garde(custom(enough))]
    sockets: usize,
    #[garde(custom(size))]
    disk_mb: f64,
    #[garde(custom(some))]
    list_entries: usize,
    #[garde(custom(size))]
    list_mb: f64,
}

impl Default for Limits {
    fn default() -> Self {
        let reader::Limits { entries, bytes } = reader::Limits::default();
        Limits { sockets: 1024, disk_mb: 3.0, list_entries: entries, list_mb: bytes as f64 / 1e6 }
    }
}

/// Guards against a file of nothing but faults, over which a courier that runs would stand still: each fault
/// that is found costs another look at the whole.
const MOST_FAULTS: usize = 32;

/// Guards against a note that is sent thousands of times over; as many as members, so that one list serves both.
const MOST_PEERS: usize = MOST_MEMBERS;

/// A value that must be there is optional here, and its absence found afterwards: so it hides no other fault.
#[derive(Default, Deserialize, Validate)]
#[serde(default, deny_unknown_fields)]
#[garde(allow_unvalidated)]
struct PeersText {
    #[garde(required, custom(one_address))]
    listen: Option<String>,
    #[garde(required, length(max = MOST_PEERS), custom(many_addresses))]
    others: Option<Vec<String>>,
    members: Option<Members>,
}

impl PeersText {
    fn read(self) -> Option<Peers> {
        let others = self.others?.iter().map(|other| other.parse().ok()).collect::<Option<_>>()?;
        Some(Peers { listen: self.listen?.parse().ok()?, others, members: self.members })
    }
}

/// Guards against a courier with descriptors for itself only.
fn enough(sockets: &usize, (): &()) -> garde::Result {
    holds(*sockets >= 64, || "is under 64".to_string())
}

fn some(entries: &usize, (): &()) -> garde::Result {
    holds(*entries > 0, || "admits none".to_string())
}

fn size(megabytes: &f64, (): &()) -> garde::Result {
    holds(*megabytes > 0.0 && *megabytes < 1e9, || "is no size".to_string())
}

fn counted(version: &Option<u64>, (): &()) -> garde::Result {
    holds(*version != Some(0), || "is under 1".to_string())
}

fn given(settings: &Value, (): &()) -> garde::Result {
    let words = if settings.is_null() { "is missing" } else { "is no object" };
    holds(settings.is_object(), || words.to_string())
}

pub(crate) fn one_address(text: &Option<String>, (): &()) -> garde::Result {
    all_addresses(text.as_slice())
}

pub(crate) fn many_addresses(texts: &Option<Vec<String>>, (): &()) -> garde::Result {
    all_addresses(texts.as_deref().unwrap_or_default())
}

fn all_addresses(texts: &[String]) -> garde::Result {
    let wrong = texts.iter().filter(|text| text.parse::<SocketAddr>().is_err());
    let wrong: Vec<&str> = wrong.map(String::as_str).collect();
    holds(wrong.is_empty(), || format!("is no address: {}", wrong.join(", ")))
}

fn holds(it_does: bool, words: impl FnOnce() -> String) -> garde::Result {
    if it_does {
        Ok(())
    } else {
        Err(garde::Error::new(words()))
    }
}

/// A configuration as it is found: what tells it from another as far as that can be read, and what it says.
pub struct Offered {
    /// The file, where it has a version.
    pub text: Option<Vec<u8>>,
    pub whole: Option<Whole>,
    pub read: Result<Config, Refused>,
}

/// Why there is no configuration: every fault that was found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refused {
    /// The file, if there is one.
    pub file: Option<String>,
    /// What is wrong, by place: a path in the file such as `limits.sockets`, a variable's name, or nothing for
    /// the file as a whole.
    pub faults: Faults,
}

impl Refused {
    fn only(place: &str, words: impl Into<String>) -> Refused {
        Refused { file: None, faults: Faults::from([(place.to_string(), words.into())]) }
    }
}

/// One line: `FILE: PLACE words; PLACE words`.
impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let mut before = "";
        if let Some(file) = &self.file {
            write!(f, "{file}: ")?;
        }
        for (place, words) in &self.faults {
            let gap = if place.is_empty() { "" } else { " " };
            let fault = format!("{before}{place}{gap}{words}");
            // Guards against a name or a text of the file that would break the line.
            f.write_str(&fault.replace(char::is_control, " "))?;
            before = "; ";
        }
        Ok(())
    }
}

impl std::error::Error for Refused {}

fn unreadable(error: &serde_json::Error) -> String {
    format!("cannot be read: {error}")
}

/// The file, and what cannot be read in it; without what cannot be read, so that the rest can be looked into.
pub(crate) fn parse<T: DeserializeOwned>(text: &[u8]) -> Result<(T, Faults), Refused> {
    let mut from = serde_json::Deserializer::from_slice(text);
    let refused = match serde_path_to_error::deserialize(&mut from) {
        Ok(file) => match from.end() {
            Ok(()) => return Ok((file, Faults::new())),
            Err(e) => return Err(Refused::only("", unreadable(&e))),
        },
        Err(refused) => refused,
    };
    let first = (refused.path().to_string(), unreadable(refused.inner()));
    // Text that is no JSON has one fault, where it breaks.
    let mut value: Value = serde_json::from_slice(text).map_err(|e| Refused::only("", unreadable(&e)))?;
    let mut faults = Faults::new();
    // Items taken out so far, by list: those after them have moved up.
    let mut taken = BTreeMap::new();
    loop {
        let refused = match serde_path_to_error::deserialize::<_, T>(&value) {
            Ok(file) => {
                // Such as a name that is there twice: of this the value keeps nothing.
                faults.entry(first.0).or_insert(first.1);
                return Ok((file, faults));
            }
            Err(refused) => refused,
        };
        let place = take(&mut value, refused.path(), &mut taken);
        let known = place.as_ref().is_some_and(|place| faults.contains_key(place));
        faults.insert(place.clone().unwrap_or_default(), unreadable(refused.inner()));
        // What cannot be taken out hides what is left, and would be found again without end.
        if place.is_none() || known || faults.len() == MOST_FAULTS {
            return Err(Refused { file: None, faults });
        }
    }
}

/// Takes the value at `path` out, and says at which place of the text it was; `None` if it is not there.
fn take(whole: &mut Value, path: &Path, taken: &mut BTreeMap<String, usize>) -> Option<String> {
    let mut segments = path.iter().peekable();
    let (mut value, mut place) = (whole, String::new());
    while let Some(segment) = segments.next() {
        let last = segments.peek().is_none();
        match segment {
            Segment::Map { key } => {
                let below = value.as_object_mut()?;
                place += if place.is_empty() { "" } else { "." };
                place += key;
                if last {
                    return below.remove(key).map(|_| place);
                }
                value = below.get_mut(key)?;
            }
            Segment::Seq { index } => {
                let below = value.as_array_mut().filter(|items| *index < items.len())?;
                let before = taken.entry(place.clone()).or_default();
                place += &format!("[{}]", *index + *before);
                if last {
                    below.remove(*index);
                    *before += 1;
                    return Some(place);
                }
                value = &mut below[*index];
            }
            Segment::Enum { .. } | Segment::Unknown => return None,
        }
    }
    None
}

/// An address from a variable, or else from the file, where it has another name.
fn address(
    (name, variable): (&str, Option<String>),
    (key, file): (&str, Option<String>),
    faults: &mut Faults,
) -> Option<SocketAddr> {
    let text = variable.or(file);
    // What is in the file and cannot be read is told already.
    if text.is_none() && faults.contains_key(key) {
        return None;
    }
    let read = text.as_deref().map(|text| text.parse().map_err(|_| format!("is no address: {text}")));
    let read = read.unwrap_or(Err("is not set".to_string()));
    read.map_err(|words| faults.insert(format!("{key} or {name}"), words)).ok()
}

impl Offered {
    /// From the file's text, and from variables by name.
    pub fn of(text: &[u8], variable: &dyn Fn(&str) -> Option<String>) -> Offered {
        let read = Config::read(text, variable);
        let whole = Whole::read(text);
        let numbered = whole.as_ref().is_some_and(|whole| whole.stamp().is_some());
        Offered { text: numbered.then(|| text.to_vec()), whole, read }
    }
}

fn variable(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|value| !value.is_empty())
}

impl Config {
    /// Reads the file that `ROUTER_CONFIG` names; other variables go before what it says.
    pub fn from_environment() -> Result<Config, Refused> {
        Config::load(&variable)
    }

    /// The file anew, in a process that runs: what it says of discovery now goes before the variable, which
    /// is as old as the process.
    pub fn again() -> Offered {
        let variable = |name: &str| variable(name).filter(|_| name != "ROUTER_DISCOVERY");
        Config::offered(&variable)
    }

    fn load(variable: &dyn Fn(&str) -> Option<String>) -> Result<Config, Refused> {
        Config::offered(variable).read
    }

    /// The same with what tells the file's version from another, as far as that can be read.
    fn offered(variable: &dyn Fn(&str) -> Option<String>) -> Offered {
        const FILE: &str = "ROUTER_CONFIG";
        let text = variable(FILE).ok_or_else(|| Refused::only(FILE, "is not set")).and_then(|path| {
            let text = std::fs::read(&path);
            text.map(|text| (path.clone(), text))
                .map_err(|e| Refused::only(&path, format!("cannot be read: {e}")))
        });
        match text {
            Ok((path, text)) => {
                let Offered { text, whole, read } = Offered::of(&text, variable);
                let read = read.map_err(|refused| Refused { file: Some(path), ..refused });
                Offered { text, whole, read }
            }
            Err(refused) => Offered { text: None, whole: None, read: Err(refused) },
        }
    }

    /// The file as a start finds it.
    pub fn at_start() -> Offered {
        Config::offered(&variable)
    }

    /// What an earlier process kept of it, in the place of the file.
    pub fn kept(text: &[u8]) -> Result<Config, Refused> {
        Config::read(text, &variable)
    }

    /// The folder that lasts, as far as it is known.
    pub fn folder() -> Option<PathBuf> {
        variable("ROUTER_STATE").map(PathBuf::from)
    }

    /// From the file's text, and from variables by name, which go before what it says.
    pub fn read(text: &[u8], variable: &dyn Fn(&str) -> Option<String>) -> Result<Config, Refused> {
        let (file, mut faults) = parse::<File>(text)?;
        // Any text serves as a seed; the platform's is hexadecimal.
        let seed = u64::from_str_radix(&file.seed, 16);
        let seed = seed.unwrap_or_else(|_| u64::from(crc32fast::hash(file.seed.as_bytes())));
        if let Err(report) = file.validate() {
            for (place, error) in report.iter() {
                // A place that cannot be read has been taken out, and is not missing.
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
                let words = "are named, and setting Limits.MayTell does not allow notes";
                faults.entry("peers".to_string()).or_insert_with(|| words.to_string());
            }
        }
        let mut at = |name, place, text| address((name, variable(name)), (place, text), &mut faults);
        let listen = at("ROUTER_LISTEN", "listen", file.listen);
        let discovery = at("ROUTER_DISCOVERY", "discovery", file.discovery);
        let state = variable("ROUTER_STATE");
        if state.is_none() {
            faults.insert("ROUTER_STATE".to_string(), "is not set".to_string());
        }
        let peers = file.peers.and_then(PeersText::read);
        // Their faults are told already.
        let relays = file.relays.map(|all| all.iter().filter_map(|relay| relay.parse().ok()).collect());
        let (true, Some(listen), Some(discovery), Some(state), Some(decoded)) =
            (faults.is_empty(), listen, discovery, state, decoded)
        else {
            return Err(Refused { file: None, faults });
        };
        Ok(Config {
            name: variable("ROUTER_NAME").unwrap_or(file.name),
            listen,
            discovery,
            state: state.into(),
            sockets: file.limits.sockets,
            disk: (file.limits.disk_mb * 1e6) as u64,
            list: reader::Limits {
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
