//! HTTP/1.1 as a client of endpoints speaks it: requests out, answers in. No I/O.

use std::fmt::Write;
use std::time::Duration;

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use bytes::{Bytes, BytesMut};
use serde::Deserialize;

const MAX_HEAD: usize = 16 * 1024;
const MAX_FIELDS: usize = 64;

/// The longest body, either way.
pub const MAX_BODY: usize = 64 * 1024;

#[derive(Debug, PartialEq, Eq)]
pub struct Malformed(pub &'static str);

/// How an answer's body is told apart from what follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Body {
    Length(u64),
    /// Bytes left of the current chunk; `None` between chunks.
    Chunks(Option<u64>),
    /// After the last chunk: fields until an empty line.
    Trailer,
    UntilClose,
}

/// The first part of an answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Head {
    pub status: u16,
    pub body: Body,
    pub keep_alive: bool,
    pub retry_after: Option<Duration>,
    pub over_slots: bool,
    pub load: Option<String>,
}

/// Takes the first part of an answer off the buffer; `None` while it has not all come.
pub fn read_head(buffer: &mut BytesMut) -> Result<Option<Head>, Malformed> {
    loop {
        let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut answer = httparse::Response::new(&mut fields);
        let size = match answer.parse(buffer) {
            Ok(httparse::Status::Complete(size)) => size,
            Ok(httparse::Status::Partial) if buffer.len() < MAX_HEAD => return Ok(None),
            Ok(httparse::Status::Partial) => return Err(Malformed("an answer's head is too long")),
            // Guards against a good answer that is lost to a load report which cannot be read.
            Err(_) if remove_load_field(buffer) => continue,
            Err(_) => return Err(Malformed("an answer's head cannot be read")),
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
        };
        for field in answer.headers.iter() {
            read_field(&mut head, field)?;
        }
        if matches!(status, 204 | 304) || (100..200).contains(&status) {
            head.body = Body::Length(0);
        }
        head.keep_alive &= head.body != Body::UntilClose;
        let _ = buffer.split_to(size);
        // An interim answer: the real one follows.
        if (100..200).contains(&status) && status != 101 {
            continue;
        }
        return Ok(Some(head));
    }
}

/// Cuts the first load report out of a head; whether there was one that has come whole.
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

/// Whether the front of the buffer, of which no head can be read, is a whole first line that says 200.
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
        let length = text.parse().map_err(|_| Malformed("a length cannot be read"))?;
        if matches!(head.body, Body::Length(other) if other != length) {
            return Err(Malformed("an answer has two lengths"));
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

/// Seconds with decimals; nothing that is no time, and no more than an hour.
fn seconds(text: &str) -> Option<Duration> {
    let value: f64 = text.parse().ok()?;
    (value.is_finite() && value > 0.0).then(|| Duration::from_secs_f64(value.min(3600.0)))
}

/// The value of one name in a list of names and values.
pub fn pair_value<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let pairs = text.split(',').filter_map(|pair| pair.split_once('='));
    pairs.filter(|(key, _)| key.trim() == name).map(|(_, value)| value.trim()).next()
}

/// The next part of a body.
#[derive(Debug, PartialEq, Eq)]
pub enum Piece {
    Bytes(Bytes),
    /// Not before more has been read.
    More,
    Ended,
}

impl Body {
    /// Takes the next part off the buffer.
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
                        return Err(Malformed("a chunk does not end where it should"));
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
                    _ => return Err(Malformed("a chunk's size cannot be read")),
                },
                Body::Trailer => {
                    let Some(end) = buffer.iter().position(|&b| b == b'\n') else {
                        let long = buffer.len() >= MAX_HEAD;
                        return if long { Err(Malformed("a trailer is too long")) } else { Ok(Piece::More) };
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
    // Writing to a buffer that grows cannot fail.
    let _ = out.write_fmt(text);
}

/// A mail as a call carries it.
pub struct Mail<'a> {
    pub id: &'a str,
    pub key: &'a str,
    pub body: &'a [u8],
}

/// A call with one mail.
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

/// Bytes that a mail takes in a call with several, at most.
pub fn size_in_batch(id: &[u8], key: &[u8], body: &[u8]) -> usize {
    id.len() + key.len() + body.len().div_ceil(3) * 4 + 32
}

/// A call with several mails. Ids and keys hold nothing that JSON would want escaped.
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

/// What a batch answer says of one mail.
#[derive(Debug, Deserialize, PartialEq, Eq)]
pub struct Item {
    pub id: String,
    pub state: String,
}

pub fn read_items(body: &[u8]) -> Option<Vec<Item>> {
    serde_json::from_slice(body).ok()
}
