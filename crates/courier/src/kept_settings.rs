//! The last good version of the configuration, on file in the folder that lasts: one small file, written whole under
//! another name and renamed. A start that finds a bad or an older configuration goes on with it.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::Path;

use meadowhold::interface::Time;
use serde_json::{json, Value};

use crate::version::{Checksum, Fingerprint, VersionId};

const FILE_NAME: &str = "settings";
const TEMP_FILE_NAME: &str = "settings.new";
/// A later version's file is passed over.
const MAGIC: &[u8] = b"meadowhold settings 1\n";
const HEADER: usize = 8;
const BLOCK: u64 = 512;
/// Hundredths of the folder's allowance. Twice that while it is written anew; journal and memory take up to 96.
const PERCENT: u64 = 2;
/// Guards against a file that fills the memory of the process: the allowance is not known when it is read.
const MAX_LENGTH: u64 = 64 << 20;

/// A version that was in force.
#[derive(Clone, Debug, PartialEq)]
pub struct SavedSettings {
    /// Since when, by the system's clock, in tenths of a millisecond.
    pub since: Time,
    pub fingerprint: Fingerprint,
    /// What the list in the folder may be kept for (`memory::deployment`), by the process that put this on file or by
    /// one before, the latest first. Guards against a list that is passed over as another deployment's because a class
    /// has changed meanwhile.
    pub deployments: Vec<Checksum>,
    /// The file's text; without spaces, and without the list that it knew, where that is too long.
    pub text: Vec<u8>,
}

impl SavedSettings {
    /// `None` where it has no number.
    pub fn new(text: Vec<u8>, since: Time, deployments: Vec<Checksum>) -> Option<SavedSettings> {
        let fingerprint =
            Fingerprint::read(&text).filter(|fingerprint| fingerprint.version_id().is_some())?;
        Some(SavedSettings { since, fingerprint, deployments, text })
    }

    pub fn version_id(&self) -> Option<VersionId> {
        self.fingerprint.version_id()
    }

    /// The file's bytes, `max_length` at most.
    fn encode_within(&self, max_length: u64) -> io::Result<Vec<u8>> {
        let mut bytes = self.encode(&self.text);
        if bytes.len() as u64 > max_length {
            let mut text: Value = serde_json::from_slice(&self.text)?;
            bytes = self.encode(text.to_string().as_bytes());
            if bytes.len() as u64 > max_length {
                text.as_object_mut().and_then(|text| text.remove("known"));
                bytes = self.encode(text.to_string().as_bytes());
            }
        }
        let words = "the version is over its part of the folder";
        let fits = bytes.len() as u64 <= max_length;
        fits.then_some(bytes).ok_or_else(|| io::Error::new(io::ErrorKind::StorageFull, words))
    }

    /// A line of what is known of the text, and the text.
    fn encode(&self, text: &[u8]) -> Vec<u8> {
        let (content, known) = (self.fingerprint.content, self.fingerprint.restart_only.get("known"));
        let known = known.map(|sum| json!([sum.0, sum.1]));
        let line = json!({"since": self.since, "content": [content.0, content.1], "known": known,
            "lists": self.deployments.iter().map(|sum| [sum.0.into(), sum.1]).collect::<Vec<[u64; 2]>>()});
        let body = [line.to_string().as_bytes(), b"\n", text].concat();
        let mut out = MAGIC.to_vec();
        out.extend_from_slice(&(body.len() as u32).to_be_bytes());
        out.extend_from_slice(&crc32fast::hash(&body).to_be_bytes());
        out.extend_from_slice(&body);
        out
    }

    /// What a file's bytes say; the words tell an operator why nothing is taken from them.
    pub fn decode(bytes: &[u8]) -> Result<SavedSettings, &'static str> {
        let rest = bytes.strip_prefix(MAGIC).ok_or("it is no such file")?;
        let (header, body) = rest.split_at_checked(HEADER).ok_or("it is cut short")?;
        let number =
            |at: usize| u32::from_be_bytes([header[at], header[at + 1], header[at + 2], header[at + 3]]);
        if body.len() as u64 != u64::from(number(0)) || crc32fast::hash(body) != number(4) {
            return Err("its checksum is wrong");
        }
        SavedSettings::decode_body(body).ok_or("it cannot be read")
    }

    fn decode_body(body: &[u8]) -> Option<SavedSettings> {
        let end = body.iter().position(|&b| b == b'\n')?;
        let line: Value = serde_json::from_slice(&body[..end]).ok()?;
        let sum = |value: &Value| {
            Some(Checksum(u32::try_from(value.get(0)?.as_u64()?).ok()?, value.get(1)?.as_u64()?))
        };
        let (since, content, known) = (line["since"].as_u64()?, sum(&line["content"])?, sum(&line["known"]));
        let deployments = line["lists"].as_array()?.iter().filter_map(sum).collect();
        let mut saved = SavedSettings::new(body[end + 1..].to_vec(), since, deployments)?;
        // What the file itself said, the list that it knew included.
        saved.fingerprint.content = content;
        saved.fingerprint.restart_only.extend(known.map(|sum| ("known".to_string(), sum)));
        Some(saved)
    }
}

/// What the folder keeps; `None` where there is nothing, or nothing that can be used, which is worth one line.
pub fn load(folder: &Path) -> Option<SavedSettings> {
    let path = folder.join(FILE_NAME);
    let read = match fs::metadata(&path) {
        Err(e) if e.kind() == io::ErrorKind::NotFound => return None,
        Err(e) => Err(e.to_string()),
        Ok(found) if found.len() > MAX_LENGTH => Err("it is too long".to_string()),
        Ok(_) => {
            let bytes = fs::read(&path).map_err(|e| e.to_string());
            bytes.and_then(|bytes| SavedSettings::decode(&bytes).map_err(str::to_string))
        }
    };
    read.inspect_err(|words| log::warn!("the settings that were kept are passed over: {words}")).ok()
}

/// Puts a new file in the place of the old one.
///
/// # Errors
/// The system's, or that it would be over its part of the folder's allowance, in bytes; the old file stays then.
pub fn save(folder: &Path, allowance: u64, settings: &SavedSettings) -> io::Result<()> {
    let bytes = settings.encode_within((allowance / 100 * PERCENT).saturating_sub(BLOCK))?;
    let path = folder.join(TEMP_FILE_NAME);
    let mut file = File::create(&path)?;
    let written = file.write_all(&bytes).and_then(|()| fs::rename(&path, folder.join(FILE_NAME)));
    // Guards against half a file that takes room until the next start.
    written.inspect_err(|_| drop(fs::remove_file(&path)))
}
