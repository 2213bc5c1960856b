//! HTTP/1.1 client codec for calls to endpoints: writes requests and parses answers. No I/O.

use std::fmt::Write;
use std::hash::{DefaultHasher, Hasher};
use std::time::Duration;

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use bytes::{Bytes, BytesMut};
use serde::Deserialize;

const MAX_HEAD: usize = 16 * 1024;
const MAX_FIELDS: usize = 64;

/// The largest body in bytes, of a mail as submitted and of a request to an endpoint.
pub const MAX_BODY: usize = 64 * 1024;

#[derive(Debug, PartialEq, Eq)]
pub struct Malformed(pub &'static str);

/// How the end of an answer's body is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Body {
    Length(u64),
    /// Bytes left of the current chunk; `None` between chunks.
    Chunks(Option<u64>),
    /// After the last chunk: trailer fields up to an empty line.
    Trailer,
    UntilClose,
}

/// The status line and header fields of an answer, as far as a call uses them.
#[derive(Clone, Debug, PartialEq)]
pub struct Head {
    pub status: u16,
    pub body: Body,
    pub keep_alive: bool,
    pub retry_after: Option<Duration>,
    pub over_slots: bool,
    pub load: Option<String>,
    /// A hash of its bytes, by which copies are recognised.
    pub fingerprint: u64,
}

/// Takes the head of an answer off the buffer; `None` while it is incomplete.
pub fn read_head(buffer: &mut BytesMut) -> Result<Option<Head>, Malformed> {
    loop {
        let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut answer = httparse::Response::new(&mut fields);
        let size = match answer.parse(buffer) {
            Ok(httparse::Status::Complete(size)) => size,
            Ok(httparse::Status::Partial) if buffer.len() < MAX_HEAD => return Ok(None),
            Ok(httparse::Status::Partial) => return Err(Malformed("answer head exceeds the size limit")),
            // A malformed load report must not invalidate the answer: it is removed and the head parsed
            // again.
            Err(_) if remove_load_field(buffer) => continue,
            Err(_) => return Err(Malformed("malformed answer head")),
        };
        let status = answer.code.unwrap_or(0);
        let keep_alive = answer.version == Some(1);
        let mut head = Head {
            status,
            body: Body::UntilClose,
            keep_alive,
            retry_after: None,
            over_slots: false,
            load: None,
            fingerprint: fingerprint(&buffer[..size]),
        };
        for field in answer.headers.iter() {
            read_field(&mut head, field)?;
        }
        if matches!(status, 204 | 304) || (100..200).contains(&status) {
            head.body = Body::Length(0);
        }
        head.keep_alive &= head.body != Body::UntilClose;
        let _ = buffer.split_to(size);
        // An interim answer: the final one follows.
        if (100..200).contains(&status) && status != 101 {
            continue;
        }
        return Ok(Some(head));
    }
}

fn fingerprint(bytes: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    hasher.write(bytes);
    hasher.finish()
}

/// Removes the first load report from a head; false if there is no complete one.
fn remove_load_field(buffer: &mut BytesMut) -> bool {
    let name = b"\r\nx-load:";
    let Some(start) = buffer.windows(name.len()).position(|bytes| bytes.eq_ignore_ascii_case(name)) else {
        return false;
    };
    let head = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n").unwrap_or(buffer.len());
    let Some(length) = buffer[start + 2..].windows(2).position(|bytes| bytes == b"\r\n") else {
        return false;
    };
    if start > head {
        return false;
    }
    let rest = buffer.split_off(start);
    buffer.extend_from_slice(&rest[2 + length..]);
    true
}

/// Whether the buffer begins with a complete status line that says 200, for a head that cannot be parsed.
pub fn has_ok_status_line(buffer: &[u8]) -> bool {
    let line = buffer.iter().position(|&b| b == b'\n').map(|end| buffer[..end].trim_ascii_end());
    let Some(rest) = line.and_then(|line| line.strip_prefix(b"HTTP/1.")) else { return false };
    matches!(rest, [b'0' | b'1', b' ', b'2', b'0', b'0'] | [b'0' | b'1', b' ', b'2', b'0', b'0', b' ', ..])
}

fn read_field(head: &mut Head, field: &httparse::Header) -> Result<(), Malformed> {
    let is = |name: &str| field.name.eq_ignore_ascii_case(name);
    let text = std::str::from_utf8(field.value).unwrap_or("").trim();
    let names = |word: &str| text.split(',').any(|part| part.trim().eq_ignore_ascii_case(word));
    if is("Content-Length") {
        let length = text.parse().map_err(|_| Malformed("invalid Content-Length"))?;
        if matches!(head.body, Body::Length(other) if other != length) {
            return Err(Malformed("conflicting Content-Length fields"));
        }
        if head.body == Body::UntilClose {
            head.body = Body::Length(length);
        }
    } else if is("Transfer-Encoding") && names("chunked") {
        head.body = Body::Chunks(None);
    } else if is("Connection") {
        head.keep_alive &= !names("close");
    } else if is("Retry-After") {
        head.retry_after = seconds(text);
    } else if is("X-Over-Slots") {
        head.over_slots = text == "1";
    } else if is("X-Load") {
        head.load = Some(text.to_string());
    }
    Ok(())
}

/// Parses decimal seconds, capped at an hour; `None` for anything but a positive number.
fn seconds(text: &str) -> Option<Duration> {
    let value: f64 = text.parse().ok()?;
    (value.is_finite() && value > 0.0).then(|| Duration::from_secs_f64(value.min(3600.0)))
}

/// The value of a name in a comma-separated list of `name=value` pairs.
pub fn pair_value<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let pairs = text.split(',').filter_map(|pair| pair.split_once('='));
    pairs.filter(|(key, _)| key.trim() == name).map(|(_, value)| value.trim()).next()
}

/// The next part of a body.
#[derive(Debug, PartialEq, Eq)]
pub enum Piece {
    Bytes(Bytes),
    /// More input is needed.
    More,
    Ended,
}

impl Body {
    /// Takes the next piece of the body off the buffer.
    pub fn next(&mut self, buffer: &mut BytesMut) -> Result<Piece, Malformed> {
        loop {
            match self {
                Body::Length(0) => return Ok(Piece::Ended),
                Body::UntilClose if buffer.is_empty() => return Ok(Piece::More),
                Body::UntilClose => return Ok(Piece::Bytes(buffer.split().freeze())),
                Body::Length(left) => return Ok(take_up_to(buffer, left)),
                Body::Chunks(Some(0)) => {
                    if buffer.len() < 2 {
                        return Ok(Piece::More);
                    }
                    if buffer.split_to(2) != b"\r\n"[..] {
                        return Err(Malformed("chunk data not followed by CRLF"));
                    }
                    *self = Body::Chunks(None);
                }
                Body::Chunks(Some(left)) => return Ok(take_up_to(buffer, left)),
                Body::Chunks(None) => match httparse::parse_chunk_size(buffer) {
                    Ok(httparse::Status::Complete((size, length))) => {
                        let _ = buffer.split_to(size);
                        *self = if length == 0 { Body::Trailer } else { Body::Chunks(Some(length)) };
                    }
                    Ok(httparse::Status::Partial) if buffer.len() < MAX_HEAD => return Ok(Piece::More),
                    _ => return Err(Malformed("invalid chunk size")),
                },
                Body::Trailer => {
                    let Some(end) = buffer.iter().position(|&b| b == b'\n') else {
                        let long = buffer.len() >= MAX_HEAD;
                        return if long {
                            Err(Malformed("trailer exceeds the size limit"))
                        } else {
                            Ok(Piece::More)
                        };
                    };
                    let line = buffer.split_to(end + 1);
                    if line.iter().all(|&b| b == b'\r' || b == b'\n') {
                        *self = Body::Length(0);
                    }
                }
            }
        }
    }
}

fn take_up_to(buffer: &mut BytesMut, left: &mut u64) -> Piece {
    if buffer.is_empty() {
        return Piece::More;
    }
    let size = buffer.len().min(usize::try_from(*left).unwrap_or(usize::MAX));
    *left -= size as u64;
    Piece::Bytes(buffer.split_to(size).freeze())
}

fn write_post(out: &mut BytesMut, path: &str, host: &str, extra_fields: std::fmt::Arguments, body: &[u8]) {
    let length = body.len();
    write_fmt(
        out,
        format_args!(
            "POST {path} HTTP/1.1\r\nHost: {host}\r\n{extra_fields}Content-Length: {length}\r\n\r\n"
        ),
    );
    out.extend_from_slice(body);
}

fn write_fmt(out: &mut BytesMut, text: std::fmt::Arguments) {
    // Writing to a growable buffer cannot fail.
    let _ = out.write_fmt(text);
}

/// A mail as it is written into a request.
pub struct Mail<'a> {
    pub id: &'a str,
    pub key: &'a str,
    pub body: &'a [u8],
}

/// Writes a request with a single mail.
pub fn write_hook(out: &mut BytesMut, host: &str, mail: &Mail, wait: Duration) {
    let (id, key, wait) = (mail.id, mail.key, wait.as_secs_f64());
    let fields = |key: std::fmt::Arguments, out: &mut BytesMut| {
        let extra_fields = format_args!("X-Request-Id: {id}\r\n{key}X-Deadline: {wait:.3}\r\n");
        write_post(out, "/hook", host, extra_fields, mail.body);
    };
    match key {
        "" => fields(format_args!(""), out),
        key => fields(format_args!("Idempotency-Key: {key}\r\n"), out),
    }
}

/// Upper bound of the bytes that a mail takes in the body of a batch request.
pub fn size_in_batch(id: &[u8], key: &[u8], body: &[u8]) -> usize {
    id.len() + key.len() + body.len().div_ceil(3) * 4 + 32
}

/// Writes a request with several mails. Ids and keys contain no characters that JSON has to escape.
pub fn write_hook_batch(out: &mut BytesMut, host: &str, mails: &[Mail], wait: Duration) {
    let mut body = String::from("[");
    for (i, mail) in mails.iter().enumerate() {
        let comma = if i > 0 { "," } else { "" };
        let _ = write!(body, "{comma}{{\"id\":\"{}\",", mail.id);
        if !mail.key.is_empty() {
            let _ = write!(body, "\"key\":\"{}\",", mail.key);
        }
        body.push_str("\"body\":\"");
        STANDARD.encode_string(mail.body, &mut body);
        body.push_str("\"}");
    }
    body.push(']');
    let wait = wait.as_secs_f64();
    let extra_fields = format_args!("X-Deadline: {wait:.3}\r\nContent-Type: application/json\r\n");
    write_post(out, "/hook/batch", host, extra_fields, body.as_bytes());
}

/// The state of one mail in a batch answer.
#[derive(Debug, Deserialize, PartialEq, Eq)]
pub struct Item {
    pub id: String,
    pub state: String,
}

pub fn read_items(body: &[u8]) -> Option<Vec<Item>> {
    serde_json::from_slice(body).ok()
}
