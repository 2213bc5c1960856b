//! Datagrams between couriers: an envelope of eight bytes, then what the library wrote. Whatever is not exactly that
//! is refused with its reason, before anything of it is read further.

use std::cell::Cell;
use std::fmt;
use std::net::SocketAddrV4;
use std::rc::Rc;

use bytes::{Buf, BufMut};
use foca::{Codec, Header, Identity, Member, Message, PostcardCodec, State};
use serde::{Deserialize, Serialize};

use crate::view::Name;

/// Bytes of a datagram, the envelope included: none is cut up on its way.
pub const MAX_DATAGRAM_BYTES: usize = 1400;
const MAGIC: [u8; 2] = *b"mf";
/// Another form of anything that follows takes another.
const VERSION: u8 = 1;
pub const ENVELOPE_BYTES: usize = 8;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OpenError {
    TooLong,
    TooShort,
    /// Does not begin as one of ours.
    BadMagic,
    /// Ours, in a form that this courier does not know.
    UnknownVersion,
    /// Changed on its way, or cut short.
    Checksum,
}

/// What the library says to its like, or members that are down, one after the other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DatagramKind {
    Protocol = 0,
    DownList = 1,
}

/// Magic, version, kind, checksum of all that follows the magic.
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

/// As many members as fit, all to be told as down.
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

/// Each member of it, which is down and named in the configuration, or nothing at all.
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

/// Who a courier is: its address is its own, and each of its processes has a later start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Id {
    pub at: SocketAddrV4,
    /// Milliseconds on the clock of the day when its process began, and what `renew` has added.
    pub start: u64,
    /// How often it went on under a new start.
    pub turn: u8,
    pub name: Name,
}

impl Id {
    /// Whom an announcement is for, when only the address is known.
    pub fn with_address_only(at: SocketAddrV4) -> Id {
        Id { at, start: 0, turn: 0, name: Name::new() }
    }
}

/// A renewal adds no more than 2^37 ms, four years.
const MAX_STEP_EXPONENT: u8 = 37;

impl Identity for Id {
    type Addr = SocketAddrV4;

    /// Twice as far ahead with each turn: a clock that was put back by a day is made up for in 27 turns, each as
    /// long as a datagram's way there and back.
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

/// What the codec must know of a datagram that it reads, and what it has to say of it.
#[derive(Debug)]
pub struct AddressFilter {
    /// All addresses that the configuration names, in order, this courier's too.
    configured: Vec<SocketAddrV4>,
    /// Where the datagram that is read came from.
    pub source: Cell<Option<SocketAddrV4>>,
    /// Whether it asked for all that are up.
    pub announced: Cell<bool>,
    /// Members that were passed over: the configuration does not name them.
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

/// The library's codec behind a gate. Guards against memory that grows with whatever a datagram names, and against
/// datagrams sent on to whoever one asks for.
pub struct FilteringCodec {
    pub filter: Rc<AddressFilter>,
    /// The sender of the datagram that is read.
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
        // Who is asked to send on does so to those it names alone. That it answers a probe for one whom only the
        // others name yet sends nothing there, and spares it a suspicion.
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

    /// A member that the configuration here does not name, though the sender's does (lists are changed one after
    /// the other), is read as what the library takes up in any case: that the sender is alive.
    fn decode_member(&mut self, buf: impl Buf) -> Result<Member<Id>, Self::Error> {
        let member: Member<Id> = PostcardCodec.decode_member(buf).map_err(DecodeError::Malformed)?;
        if self.filter.contains(member.id().at) {
            return Ok(member);
        }
        self.filter.unknown_members.set(self.filter.unknown_members.get() + 1);
        self.sender.clone().ok_or(DecodeError::UnknownAddress)
    }
}

/// Why a datagram's content is refused.
#[derive(Debug)]
pub enum DecodeError {
    /// Not in the form that is expected.
    Malformed(postcard::Error),
    /// Names a sender other than where it came from.
    SourceMismatch,
    /// Concerns one whom the configuration does not name.
    UnknownAddress,
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DecodeError::Malformed(error) => write!(f, "cannot be read: {error}"),
            DecodeError::SourceMismatch => f.write_str("names another sender than it came from"),
            DecodeError::UnknownAddress => f.write_str("concerns one whom the configuration does not name"),
        }
    }
}

impl std::error::Error for DecodeError {}
