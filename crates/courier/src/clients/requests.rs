//! Reads the words of `MSG.PUT`.

use std::time::Duration;

use bytes::Bytes;

use crate::exchange::Offer;

const MAX_LIFETIME: Duration = Duration::from_secs(7 * 24 * 3600);
/// The longest id or key, in bytes.
pub const MAX_ID: usize = 128;
/// Place of the id among the words of a request, from 0.
pub const ID_PLACE: usize = 2;

/// The values of the names that a request is read by; the first of each name counts.
#[derive(Default)]
struct Pairs<'a> {
    class: Option<&'a str>,
    key: Option<&'a str>,
    lifetime: Option<&'a str>,
    destination: Option<&'a str>,
}

impl<'a> Pairs<'a> {
    /// Reads a comma-separated list of `name=value` pairs, in one pass.
    fn read(text: &'a str) -> Pairs<'a> {
        let mut pairs = Pairs::default();
        for (name, value) in text.split(',').filter_map(|pair| pair.split_once('=')) {
            let place = match name.trim() {
                "c" => &mut pairs.class,
                "k" => &mut pairs.key,
                "d" => &mut pairs.lifetime,
                "dest" => &mut pairs.destination,
                _ => continue,
            };
            place.get_or_insert(value.trim());
        }
        pairs
    }
}

/// Whether a text can be used in an HTTP header and in JSON without escaping.
fn is_plain(text: &[u8]) -> bool {
    text.len() <= MAX_ID && text.iter().all(|&b| b.is_ascii_graphic() && b != b'"' && b != b'\\')
}

/// Reads a request. The error is the text of the answer.
pub fn parse_offer(words: &[Bytes]) -> Result<Offer, &'static str> {
    let [_, item, id, pairs, body] = words else { return Err("ERR wrong number of arguments") };
    let id = id.as_ref();
    if id.is_empty() || !is_plain(id) {
        return Err("ERR an id is 1 to 128 plain characters");
    }
    let text = std::str::from_utf8(pairs).map_err(|_| "ERR the names and values are no text")?;
    let values = Pairs::read(text);
    let key = values.key.unwrap_or_default().as_bytes();
    if !is_plain(key) || !is_plain(item) {
        return Err("ERR a key is up to 128 plain characters");
    }
    let lifetime = values.lifetime.and_then(|text| text.parse().ok()).map(Duration::from_millis);
    let destination = values.destination.and_then(|text| text.parse().ok());
    let class = values.class.ok_or("ERR no class")?;
    // Copied, since a slice such as the id in an undelivered notice would keep the whole read buffer alive,
    // with the bodies of finished mails and other clients' commands.
    let names = Bytes::from([id, key, item.as_ref()].concat());
    Ok(Offer {
        id: names.slice(..id.len()),
        key: names.slice(id.len()..id.len() + key.len()),
        order_key: names.slice(id.len() + key.len()..),
        class: pairs.slice_ref(class.as_bytes()),
        destination: destination.ok_or("ERR no destination")?,
        lifetime: lifetime.ok_or("ERR no time")?.min(MAX_LIFETIME),
        body: Bytes::copy_from_slice(body),
    })
}
