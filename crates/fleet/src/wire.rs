//! Datagrams between couriers: an envelope of eight bytes, followed by content written by the library.
//! Anything else is rejected with a reason before its content is read.

use std::cell::Cell;
use std::fmt;
use std::net::SocketAddrV4;
use std::rc::Rc;

use bytes::{Buf, BufMut};
use foca::{Codec, Header, Identity, Member, Message, PostcardCodec, State};
use serde::{Deserialize, Serialize};

use crate::view::Name;

/// Maximum size of a datagram including its envelope; avoids IP fragmentation.
pub const MAX_DATAGRAM_BYTES: usize = 1400;
const MAGIC: [u8; 2] = *b"mf";
/// Incremented by any change to the format of the fields that follow.
const VERSION: u8 = 1;
pub const ENVELOPE_BYTES: usize = 8;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OpenError {
    TooLong,
    TooShort,
    /// Does not start with the magic bytes.
    BadMagic,
    /// A membership datagram of a version or kind that this courier does not support.
    UnknownVersion,
    /// Corrupted or truncated.
    Checksum,
}

/// A message of the protocol library, or a list of members that are down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DatagramKind {
    Protocol = 0,
    DownList = 1,
}

/// Writes an envelope and its content: magic, version, kind, checksum of everything after the magic (itself
/// excluded).
pub fn seal(kind: DatagramKind, body: &[u8], out: &mut Vec<u8>) {
    out.clear();
    out.extend(MAGIC);
    out.extend([VERSION, kind as u8]);
    out.extend(checksum(kind as u8, body).to_be_bytes());
    out.extend(body);
}

fn checksum(kind: u8, body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&[VERSION, kind]);
    hasher.update(body);
    hasher.finalize()
}

pub fn open(datagram: &[u8]) -> Result<(DatagramKind, &[u8]), OpenError> {
    if datagram.len() > MAX_DATAGRAM_BYTES {
        return Err(OpenError::TooLong);
    }
    let Some((&[m0, m1, version, kind, a, b, c, d], body)) = datagram.split_first_chunk::<ENVELOPE_BYTES>()
    else {
        return Err(OpenError::TooShort);
    };
    match ([m0, m1], version) {
        (MAGIC, VERSION) if checksum(kind, body) == u32::from_be_bytes([a, b, c, d]) => match kind {
            0 => Ok((DatagramKind::Protocol, body)),
            1 => Ok((DatagramKind::DownList, body)),
            _ => Err(OpenError::UnknownVersion),
        },
        (MAGIC, VERSION) => Err(OpenError::Checksum),
        (MAGIC, _) => Err(OpenError::UnknownVersion),
        _ => Err(OpenError::BadMagic),
    }
}

/// Encodes as many members as fit; all of them are reported as down.
pub fn encode_down_members<'a>(down: impl Iterator<Item = &'a Member<Id>>, out: &mut Vec<u8>) {
    out.clear();
    for member in down {
        let end = out.len();
        if PostcardCodec.encode_member(member, &mut *out).is_err()
            || out.len() > MAX_DATAGRAM_BYTES - ENVELOPE_BYTES
        {
            out.truncate(end);
            return;
        }
    }
}

/// Decodes a list of members that are down and keeps those that are configured; `None` if any part of it is
/// invalid.
pub fn decode_down_members(mut body: &[u8], filter: &AddressFilter) -> Option<Vec<Member<Id>>> {
    let mut down = Vec::new();
    while !body.is_empty() {
        let member: Member<Id> = PostcardCodec.decode_member(&mut body).ok()?;
        if member.state() != State::Down {
            return None;
        }
        if filter.contains(member.id().at) {
            down.push(member);
        } else {
            filter.unknown_members.set(filter.unknown_members.get() + 1);
        }
    }
    Some(down)
}

/// Identity of a courier: its address is unique, and each of its processes has a later start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Id {
    pub at: SocketAddrV4,
    /// Start of the process in milliseconds of wall-clock time, plus what `renew` has added.
    pub start: u64,
    /// Number of renewals.
    pub turn: u8,
    pub name: Name,
}

impl Id {
    /// Recipient of an announcement when only its address is known.
    pub fn with_address_only(at: SocketAddrV4) -> Id {
        Id { at, start: 0, turn: 0, name: Name::new() }
    }
}

/// A renewal adds at most 2^37 ms, about four years.
const MAX_STEP_EXPONENT: u8 = 37;

impl Identity for Id {
    type Addr = SocketAddrV4;

    /// Each renewal doubles the step: a clock that was set back by a day is made up for in 27 renewals, each
    /// of which takes one round trip.
    fn renew(&self) -> Option<Id> {
        let step = 1 << self.turn.min(MAX_STEP_EXPONENT);
        Some(Id { start: self.start.saturating_add(step), turn: self.turn.saturating_add(1), ..*self })
    }

    fn addr(&self) -> SocketAddrV4 {
        self.at
    }

    fn win_addr_conflict(&self, other: &Id) -> bool {
        (self.start, self.turn, self.name) > (other.start, other.turn, other.name)
    }
}

/// State shared with the codec: what it needs to know about the datagram being decoded, and what it reports
/// about it.
#[derive(Debug)]
pub struct AddressFilter {
    /// All configured addresses, sorted, including this courier's.
    configured: Vec<SocketAddrV4>,
    /// Source address of the datagram being decoded.
    pub source: Cell<Option<SocketAddrV4>>,
    /// Whether it asked for all members that are up.
    pub announced: Cell<bool>,
    /// Reported members that were ignored because they are not configured.
    pub unknown_members: Cell<u64>,
}

impl AddressFilter {
    pub fn new(mut configured: Vec<SocketAddrV4>) -> AddressFilter {
        configured.sort_unstable();
        configured.dedup();
        AddressFilter {
            configured,
            source: Cell::new(None),
            announced: Cell::new(false),
            unknown_members: Cell::new(0),
        }
    }

    pub fn contains(&self, at: SocketAddrV4) -> bool {
        self.configured.binary_search(&at).is_ok()
    }

    pub fn addresses(&self) -> &[SocketAddrV4] {
        &self.configured
    }
}

/// The library's codec behind a filter of addresses. Guards against memory that grows with whatever a
/// datagram names, and against being made to send datagrams to arbitrary addresses.
pub struct FilteringCodec {
    pub filter: Rc<AddressFilter>,
    /// Sender of the datagram being decoded.
    sender: Option<Member<Id>>,
}

impl FilteringCodec {
    pub fn new(filter: Rc<AddressFilter>) -> FilteringCodec {
        FilteringCodec { filter, sender: None }
    }
}

impl Codec<Id> for FilteringCodec {
    type Error = DecodeError;

    fn encode_header(&mut self, header: &Header<Id>, buf: impl BufMut) -> Result<(), Self::Error> {
        PostcardCodec.encode_header(header, buf).map_err(DecodeError::Malformed)
    }

    fn decode_header(&mut self, buf: impl Buf) -> Result<Header<Id>, Self::Error> {
        let header: Header<Id> = PostcardCodec.decode_header(buf).map_err(DecodeError::Malformed)?;
        if self.filter.source.get() != Some(header.src.at) {
            return Err(DecodeError::SourceMismatch);
        }
        // A request to forward a probe is followed only for configured targets. A reply to a probe on behalf
        // of a member that only the others have configured is sent nowhere else and avoids a suspicion.
        let target = match &header.message {
            Message::PingReq { target, .. } | Message::IndirectAck { target, .. } => target.at,
            _ => header.src.at,
        };
        if ![header.src.at, header.dst.at, target].iter().all(|&at| self.filter.contains(at)) {
            return Err(DecodeError::UnknownAddress);
        }
        self.filter.announced.set(header.message == Message::Announce);
        self.sender = Some(Member::new(header.src, header.src_incarnation, State::Alive));
        Ok(header)
    }

    fn encode_member(&mut self, member: &Member<Id>, buf: impl BufMut) -> Result<(), Self::Error> {
        PostcardCodec.encode_member(member, buf).map_err(DecodeError::Malformed)
    }

    /// A member may be configured at the sender but not here, as configurations are changed on one courier
    /// after the other. Such an entry is replaced by information that the library takes from the datagram in
    /// any case: that its sender is alive.
    fn decode_member(&mut self, buf: impl Buf) -> Result<Member<Id>, Self::Error> {
        let member: Member<Id> = PostcardCodec.decode_member(buf).map_err(DecodeError::Malformed)?;
        if self.filter.contains(member.id().at) {
            return Ok(member);
        }
        self.filter.unknown_members.set(self.filter.unknown_members.get() + 1);
        self.sender.clone().ok_or(DecodeError::UnknownAddress)
    }
}

/// Why the content of a datagram was rejected.
#[derive(Debug)]
pub enum DecodeError {
    /// Cannot be decoded.
    Malformed(postcard::Error),
    /// Names a sender other than its source address.
    SourceMismatch,
    /// Concerns a member that is not configured.
    UnknownAddress,
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DecodeError::Malformed(error) => write!(f, "cannot decode the datagram: {error}"),
            DecodeError::SourceMismatch => {
                f.write_str("the sender named in the datagram differs from its source address")
            }
            DecodeError::UnknownAddress => {
                f.write_str("the datagram concerns a member that is not configured")
            }
        }
    }
}

impl std::error::Error for DecodeError {}
