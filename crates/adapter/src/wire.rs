//! Codec of the bench protocol. A frame holds fixed-size records followed by a tail with data of variable
//! length, to which records refer by offset. Every offset is checked before use.

use meadowhold::interface::{EndpointStatus, LimitReport, Outcome, PeerNote, Time};
use meadowhold_settings::time_from_us;

pub const EVENT_SIZE: usize = 48;
pub const ACTION_SIZE: usize = 24;
const HEADER_SIZE: usize = 20;
const REPLY_HEADER_SIZE: usize = 12;
const ENTRY_SIZE: usize = 23;
/// Microseconds in one tick of `Time` (0.1 ms).
const US_PER_TICK: u64 = 100;

pub type Address = [u8; 6];

/// Describes what is wrong with a frame.
pub type Malformed = &'static str;

pub struct Frame<'a> {
    pub clock_us: u64,
    pub number: u32,
    records: &'a [u8],
    tail: &'a [u8],
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Entry {
    pub endpoint: Address,
    pub zone: usize,
    pub kind: usize,
    pub destination: u16,
    pub status: EndpointStatus,
    pub rate: f64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConnectEnded {
    pub handle: u32,
    pub is_final: bool,
    pub outcome: Outcome,
    pub retry_after: Time,
    pub duration: Time,
    /// The number of values that the endpoint reported, and the values.
    pub report: (usize, [f32; 4]),
}

#[derive(Debug, PartialEq)]
pub enum Event<'a> {
    Start {
        seed: u64,
        info: &'a [u8],
    },
    EndpointList {
        number: u32,
        entries: &'a [u8],
    },
    /// `scope` 0: the list has changes only, 3: there is no list as the request failed, otherwise: it is complete.
    ListUpdate {
        scope: u8,
        list: u32,
    },
    Arrival {
        handle: u32,
        destination: u16,
        class: usize,
        key: u64,
        deadline: Time,
    },
    Hangup {
        handle: u32,
    },
    TimerFired,
    Crash,
    ConnectEnded(ConnectEnded),
    Note {
        body: &'a [u8],
    },
    Unknown,
}

/// Length in bytes of the frame that begins with `start`; `None` if `start` does not hold the whole length
/// field.
pub fn frame_length(start: &[u8]) -> Option<Result<usize, Malformed>> {
    let length = u32::from_be_bytes(start.get(..4)?.try_into().ok()?) as usize;
    Some(if length < HEADER_SIZE { Err("a frame is shorter than its header") } else { Ok(length) })
}

pub fn decode_frame(bytes: &[u8]) -> Result<Frame<'_>, Malformed> {
    if bytes.len() < HEADER_SIZE {
        return Err("a frame is shorter than its header");
    }
    let records = (be32(bytes, 4) as usize)
        .checked_mul(EVENT_SIZE)
        .ok_or("the record count of a frame is too large")?;
    let body = &bytes[HEADER_SIZE..];
    if records > body.len() {
        return Err("a frame ends before its last record");
    }
    let (records, tail) = body.split_at(records);
    Ok(Frame { clock_us: be64(bytes, 8), number: be32(bytes, 16), records, tail })
}

impl<'a> Frame<'a> {
    /// The events, each with the number of the courier that it is for (meaningless for `EndpointList`).
    pub fn events(&self) -> impl Iterator<Item = Result<(u32, Event<'a>), Malformed>> + '_ {
        self.records.chunks_exact(EVENT_SIZE).map(|r| Ok((be32(r, 1), self.event(r)?)))
    }

    fn event(&self, r: &[u8]) -> Result<Event<'a>, Malformed> {
        Ok(match r[0] {
            20 => Event::EndpointList { number: be32(r, 1), entries: self.tail_slice(r, 5, ENTRY_SIZE)? },
            30 => Event::Hangup { handle: be32(r, 5) },
            40 => Event::TimerFired,
            50 => Event::Start { seed: be64(r, 5), info: self.tail_slice(r, 13, 1)? },
            60 => Event::ListUpdate { scope: r[5], list: be32(r, 14) },
            70 => {
                let destination = f32::from_bits(be32(r, 9));
                if !(0.0..=f32::from(u16::MAX)).contains(&destination) || destination.fract() != 0.0 {
                    return Err("the destination of an arrival is not a 16-bit number");
                }
                Event::Arrival {
                    handle: be32(r, 5),
                    destination: destination as u16,
                    class: r[14].into(),
                    key: be64(r, 21),
                    deadline: time_from_us(be64(r, 29)),
                }
            }
            80 => Event::Crash,
            100 => Event::Note { body: self.tail_slice(r, 7, 1)? },
            110 => {
                let count = usize::from(r[27]).min(4);
                let outcome = outcome(be16(r, 10)).ok_or("an outcome has an unknown reason")?;
                // The wait field has a meaning for refusals only.
                let refused = outcome == Outcome::Refused;
                Event::ConnectEnded(ConnectEnded {
                    handle: be32(r, 5),
                    is_final: r[9] != 0,
                    outcome,
                    retry_after: if refused { Time::from(be32(r, 19)) * 10 } else { 0 },
                    duration: time_from_us(be32(r, 23).into()),
                    report: (count, [28, 32, 36, 40].map(|at| f32::from_bits(be32(r, at)))),
                })
            }
            _ => Event::Unknown,
        })
    }

    /// The tail's part to which a record refers by an offset and a count of items of `size` bytes.
    fn tail_slice(&self, r: &[u8], at: usize, size: usize) -> Result<&'a [u8], Malformed> {
        let (offset, count) = (be32(r, at) as usize, be32(r, at + 4) as usize);
        count
            .checked_mul(size)
            .and_then(|length| self.tail.get(offset..offset.checked_add(length)?))
            .ok_or("a record points outside the tail")
    }
}

/// A three-byte hash that stands for an endpoint in notes, which are charged by the byte. Two endpoints of one
/// list are unlikely to share one. A collision makes a note a wrong hint, which couriers tolerate as they do a
/// late note.
pub fn short_name(endpoint: Address) -> u32 {
    let mixed = endpoint.iter().fold(0x811c_9dc5_u32, |h, &b| (h ^ u32::from(b)).wrapping_mul(0x0100_0193));
    (mixed ^ mixed >> 24) & 0xff_ffff
}

/// Longest wait in a note, in tenths of a second: six bits.
const MAX_NOTE_WAIT: Time = 63;

/// Encodes a note: the short name of the endpoint, two bits for the kind of news and six for its wait in tenths
/// of a second, rounded up.
pub fn encode_note(endpoint: Address, note: PeerNote) -> [u8; 4] {
    let news = match note {
        PeerNote::Refusing(wait) => wait.div_ceil(1000).min(MAX_NOTE_WAIT) as u32,
        PeerNote::Down => 1 << 6,
        PeerNote::Recovered => 2 << 6,
    };
    (short_name(endpoint) << 8 | news).to_be_bytes()
}

/// Decodes a note; `None` if the length or the kind of news is unknown.
pub fn decode_note(body: &[u8]) -> Option<(u32, PeerNote)> {
    let note = u32::from_be_bytes(body.try_into().ok()?);
    let news = match note >> 6 & 3 {
        0 => PeerNote::Refusing(Time::from(note & 63) * 1000),
        1 => PeerNote::Down,
        2 => PeerNote::Recovered,
        _ => return None,
    };
    Some((note >> 8, news))
}

pub fn decode_entries(bytes: &[u8]) -> impl Iterator<Item = Entry> + '_ {
    bytes.chunks_exact(ENTRY_SIZE).map(|e| Entry {
        endpoint: address(e, 0),
        zone: e[6].into(),
        kind: e[7].into(),
        destination: be16(e, 8),
        status: match e[10] {
            1 => EndpointStatus::Ready,
            2 => EndpointStatus::Draining,
            _ => EndpointStatus::Removed,
        },
        rate: f32::from_bits(be32(e, 11)).into(),
    })
}

fn outcome(reason: u16) -> Option<Outcome> {
    Some(match reason {
        0 => Outcome::Relayed,
        255 => Outcome::Error,
        254 => Outcome::Refused,
        253 => Outcome::Silent,
        252 => Outcome::Unreached,
        251 => Outcome::Broken,
        250 => Outcome::CalledOff,
        249 => Outcome::Unsent,
        _ => return None,
    })
}

/// The limit report in the values that an endpoint reported, with its two fields at these positions; `None` if one
/// is missing or not finite.
pub fn limit_report(
    values: (usize, [f32; 4]),
    left: Option<usize>,
    limit: Option<usize>,
) -> Option<LimitReport> {
    let value = |at: Option<usize>| at.filter(|&i| i < values.0).map(|i| f64::from(values.1[i]));
    let report = LimitReport { remaining: value(left)?, limit: value(limit)? };
    (report.remaining.is_finite() && report.limit.is_finite()).then_some(report)
}

/// A reply being built: action records, and the tail that they refer to.
#[derive(Default)]
pub struct Reply {
    records: Vec<u8>,
    tail: Vec<u8>,
}

impl Reply {
    fn record(&mut self, code: u8, instance: u32, fields: &[&[u8]]) {
        let end = self.records.len() + ACTION_SIZE;
        self.records.push(code);
        self.records.extend_from_slice(&instance.to_be_bytes());
        fields.iter().for_each(|f| self.records.extend_from_slice(f));
        self.records.resize(end, 0);
    }

    pub fn connect(&mut self, instance: u32, handle: u32, endpoint: Address, timeout: Time) {
        let us = u32::try_from(timeout * US_PER_TICK).unwrap_or(u32::MAX).max(1);
        self.record(40, instance, &[&handle.to_be_bytes(), &endpoint, &us.to_be_bytes()]);
    }

    pub fn defer(&mut self, instance: u32, handle: u32, retry_after: Time) {
        let us = u32::try_from(retry_after * US_PER_TICK).unwrap_or(u32::MAX);
        self.record(120, instance, &[&handle.to_be_bytes(), &us.to_be_bytes()]);
    }

    pub fn bounce(&mut self, instance: u32, handle: u32) {
        self.record(50, instance, &[&handle.to_be_bytes()]);
    }

    /// Closes the idle connections to an endpoint.
    pub fn close_idle(&mut self, instance: u32, endpoint: Address) {
        self.record(20, instance, &[&endpoint]);
    }

    /// Sends a note to all other couriers.
    pub fn send_note(&mut self, instance: u32, body: &[u8]) {
        let (offset, length) = (self.tail.len() as u32, body.len() as u32);
        self.tail.extend_from_slice(body);
        self.record(100, instance, &[&[0xff; 4], &offset.to_be_bytes(), &length.to_be_bytes()]);
    }

    pub fn watch_list(&mut self, instance: u32) {
        self.record(10, instance, &[&[1]]);
    }

    pub fn set_timer(&mut self, instance: u32, at: Time) {
        self.record(70, instance, &[&(at * US_PER_TICK).to_be_bytes()]);
    }

    pub fn reject_settings(&mut self, instance: u32, problem: &str) {
        let (offset, length) = (self.tail.len() as u32, problem.len() as u32);
        self.tail.extend_from_slice(problem.as_bytes());
        self.record(30, instance, &[&offset.to_be_bytes(), &length.to_be_bytes()]);
    }

    /// Writes the reply to `out` and starts the next one.
    pub fn finish(&mut self, number: u32, out: &mut Vec<u8>) {
        let count = (self.records.len() / ACTION_SIZE) as u32;
        let length = (REPLY_HEADER_SIZE + self.records.len() + self.tail.len()) as u32;
        for word in [count, length, number] {
            out.extend_from_slice(&word.to_be_bytes());
        }
        out.append(&mut self.records);
        out.append(&mut self.tail);
    }
}

fn be16(r: &[u8], at: usize) -> u16 {
    u16::from_be_bytes([r[at], r[at + 1]])
}

fn be32(r: &[u8], at: usize) -> u32 {
    u32::from_be_bytes([r[at], r[at + 1], r[at + 2], r[at + 3]])
}

fn be64(r: &[u8], at: usize) -> u64 {
    u64::from(be32(r, at)) << 32 | u64::from(be32(r, at + 4))
}

fn address(r: &[u8], at: usize) -> Address {
    [r[at], r[at + 1], r[at + 2], r[at + 3], r[at + 4], r[at + 5]]
}
