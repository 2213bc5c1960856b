//! RESP2 as clients speak it: commands in, answers out. No I/O.

use bytes::{Bytes, BytesMut};

use crate::http::MAX_BODY;

/// A body, with room for the words before it.
pub const MAX_COMMAND: usize = MAX_BODY + 4096;
const MAX_WORDS: usize = 16;
/// A line that counts or measures something is never longer.
const MAX_LINE: usize = 1024;

/// Why the bytes are no command; the connection cannot be read on.
#[derive(Debug, PartialEq, Eq)]
pub struct Malformed(pub &'static str);

struct Scanner<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl<'a> Scanner<'a> {
    /// The next line without its end; `None` while it has not all come.
    fn line(&mut self) -> Result<Option<&'a [u8]>, Malformed> {
        let rest = &self.bytes[self.at..];
        match rest.iter().take(MAX_LINE).position(|&b| b == b'\n') {
            Some(end) => {
                self.at += end + 1;
                let line = &rest[..end];
                Ok(Some(line.strip_suffix(b"\r").unwrap_or(line)))
            }
            None if rest.len() >= MAX_LINE => Err(Malformed("a line is too long")),
            None => Ok(None),
        }
    }
}

fn parse_count(digits: &[u8], most: usize, words: &'static str) -> Result<usize, Malformed> {
    let number = std::str::from_utf8(digits).ok().and_then(|text| text.parse::<usize>().ok());
    number.filter(|&n| n <= most).ok_or(Malformed(words))
}

/// Takes one whole command off the front of the buffer, as slices of it; `None` while it has not all come.
/// An empty command is an empty line between commands.
pub fn read_command(buffer: &mut BytesMut) -> Result<Option<Vec<Bytes>>, Malformed> {
    let mut scanner = Scanner { bytes: buffer, at: 0 };
    let Some(first) = scanner.line()? else { return Ok(None) };
    let mut ranges = Vec::new();
    if let Some(digits) = first.strip_prefix(b"*") {
        let words = parse_count(digits, MAX_WORDS, "a command has too many words")?;
        for _ in 0..words {
            let Some(line) = scanner.line()? else { return Ok(None) };
            let digits = line.strip_prefix(b"$").ok_or(Malformed("a word is no bulk string"))?;
            let length = parse_count(digits, MAX_BODY, "a word is too long")?;
            let (start, end) = (scanner.at, scanner.at + length);
            if end + 2 > MAX_COMMAND {
                return Err(Malformed("a command is too long"));
            }
            match scanner.bytes.get(end..end + 2) {
                Some(b"\r\n") => {}
                Some(_) => return Err(Malformed("a word does not end where it should")),
                None => return Ok(None),
            }
            ranges.push(start..end);
            scanner.at = end + 2;
        }
    } else {
        // A line typed by hand: words between blanks.
        let mut at = 0;
        for word in first.split(|&b| b == b' ') {
            if !word.is_empty() {
                ranges.push(at..at + word.len());
            }
            at += word.len() + 1;
        }
    }
    let used = scanner.at;
    let whole = buffer.split_to(used).freeze();
    Ok(Some(ranges.into_iter().map(|range| whole.slice(range)).collect()))
}

pub fn write_simple(out: &mut BytesMut, text: &str) {
    out.extend_from_slice(b"+");
    out.extend_from_slice(text.as_bytes());
    out.extend_from_slice(b"\r\n");
}

pub fn write_error(out: &mut BytesMut, text: &str) {
    out.extend_from_slice(b"-");
    out.extend_from_slice(text.as_bytes());
    out.extend_from_slice(b"\r\n");
}
