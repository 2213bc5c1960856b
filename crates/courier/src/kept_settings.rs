//! Saves the last valid version of the configuration in the state folder. The file is written under a temporary name
//! and renamed. A courier that finds an invalid or older configuration at its start uses the saved one.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::Path;

use meadowhold::interface::Time;
use serde_json::{json, Value};

use crate::version::{Checksum, Fingerprint, VersionId};

const FILE_NAME: &str = "settings";
const TEMP_FILE_NAME: &str = "settings.new";
/// File type and format version. Files of another format version are ignored.
const MAGIC: &[u8] = b"meadowhold settings 1\n";
const HEADER: usize = 8;
const BLOCK: u64 = 512;
/// Share of the folder's allowance, in percent. Twice as much is used while the file is rewritten; the journal and the
/// memory file use up to 96 %.
const PERCENT: u64 = 2;
/// Longer files are not read, as they could exhaust the memory of the process. The folder's allowance is not known
/// yet when the file is read.
const MAX_LENGTH: u64 = 64 << 20;

/// A version of the configuration that was in force.
#[derive(Clone, Debug, PartialEq)]
pub struct SavedSettings {
    /// When it came into force: system time in tenths of a millisecond.
    pub since: Time,
    pub fingerprint: Fingerprint,
    /// Checksums of the deployments (`memory::deployment`) that the list in the folder may have been saved for, by the
    /// process that wrote this file or by earlier ones, latest first. Without them, a changed queue class would make
    /// the saved list look like that of another deployment, and it would be ignored.
    pub deployments: Vec<Checksum>,
    /// Text of the configuration file. If it is too long, white space is left out, and if need be the known list.
    pub text: Vec<u8>,
}

impl SavedSettings {
    /// Returns `None` if the configuration has no version number.
    pub fn new(text: Vec<u8>, since: Time, deployments: Vec<Checksum>) -> Option<SavedSettings> {
        let fingerprint =
            Fingerprint::read(&text).filter(|fingerprint| fingerprint.version_id().is_some())?;
        Some(SavedSettings { since, fingerprint, deployments, text })
    }

    pub fn version_id(&self) -> Option<VersionId> {
        self.fingerprint.version_id()
    }

    /// Encodes the file in at most `max_length` bytes.
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
        let problem = "the settings exceed their share of the folder's allowance";
        let fits = bytes.len() as u64 <= max_length;
        fits.then_some(bytes).ok_or_else(|| io::Error::new(io::ErrorKind::StorageFull, problem))
    }

    /// Encodes a header, a line with what cannot be derived from `text`, and `text`.
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

    /// Decodes the bytes of a file. The error tells an operator why the file is not used.
    pub fn decode(bytes: &[u8]) -> Result<SavedSettings, &'static str> {
        let rest = bytes.strip_prefix(MAGIC).ok_or("not a settings file of this format version")?;
        let (header, body) = rest.split_at_checked(HEADER).ok_or("the file is truncated")?;
        let number =
            |at: usize| u32::from_be_bytes([header[at], header[at + 1], header[at + 2], header[at + 3]]);
        if body.len() as u64 != u64::from(number(0)) || crc32fast::hash(body) != number(4) {
            return Err("wrong length or checksum");
        }
        SavedSettings::decode_body(body).ok_or("the content cannot be parsed")
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
        // Checksums of the original text, which included the known list.
        saved.fingerprint.content = content;
        saved.fingerprint.restart_only.extend(known.map(|sum| ("known".to_string(), sum)));
        Some(saved)
    }
}

/// Loads the settings saved in the folder. Returns `None` if there is no file, or if it cannot be used, which is
/// logged.
pub fn load(folder: &Path) -> Option<SavedSettings> {
    let path = folder.join(FILE_NAME);
    let read = match fs::metadata(&path) {
        Err(e) if e.kind() == io::ErrorKind::NotFound => return None,
        Err(e) => Err(e.to_string()),
        Ok(found) if found.len() > MAX_LENGTH => Err("the file is too long".to_string()),
        Ok(_) => {
            let bytes = fs::read(&path).map_err(|e| e.to_string());
            bytes.and_then(|bytes| SavedSettings::decode(&bytes).map_err(str::to_string))
        }
    };
    read.inspect_err(|problem| log::warn!("ignoring the saved settings: {problem}")).ok()
}

/// Replaces the file in the folder.
///
/// # Errors
/// I/O errors, or `StorageFull` if the file would exceed its share of `allowance` bytes. The old file stays in place.
pub fn save(folder: &Path, allowance: u64, settings: &SavedSettings) -> io::Result<()> {
    let bytes = settings.encode_within((allowance / 100 * PERCENT).saturating_sub(BLOCK))?;
    let path = folder.join(TEMP_FILE_NAME);
    let mut file = File::create(&path)?;
    let written = file.write_all(&bytes).and_then(|()| fs::rename(&path, folder.join(FILE_NAME)));
    // A partial file would use space until the next start.
    written.inspect_err(|_| drop(fs::remove_file(&path)))
}
