//! The bench wire: frames of fixed-size records with one tail. Every offset is checked before use.

use meadowhold::interface::{EndpointStatus, LimitReport, Outcome, PeerNote, Time};
use meadowhold_settings::tenths;

pub const EVENT: usize = 48;
pub const ACTION: usize = 24;
const HEADER: usize = 20;
const REPLY_HEADER: usize = 12;
const ENTRY: usize = 23;
/// Microseconds in a tenth of a millisecond.
const TENTH: u64 = 100;

pub type Address = [u8; 6];

/// What is wrong with a frame, in plain words.
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
    pub dest: u16,
    pub life: EndpointStatus,
    pub rate: f64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settled {
    pub handle: u32,
    pub over: bool,
    pub outcome: Outcome,
    pub wait: Time,
    pub took: Time,
    /// The values of the load report, as many as were told.
    pub report: (usize, [f32; 4]),
}

#[derive(Debug, PartialEq)]
pub enum Event<'a> {
    Hello { seed: u64, info: &'a [u8] },
    Census { number: u32, entries: &'a [u8] },
    View { scope: u8, census: u32 },
    Arrival { handle: u32, dest: u16, class: usize, item: u64, due: Time },
    Hangup { handle: u32 },
    Alarm,
    Crash,
    Settled(Settled),
    Message { body: &'a [u8] },
    Other,
}

/// Bytes of the frame that starts here; `None` until its length has been read.
pub fn frame_length(start: &[u8]) -> Option<Result<usize, Malformed>> {
    let length = u32::from_be_bytes(start.get(..4)?.try_into().ok()?) as usize;
    Some(if length < HEADER { Err("a frame is shorter than its header") } else { Ok(length) })
}

pub fn frame(bytes: &[u8]) -> Result<Frame<'_>, Malformed> {
    if bytes.len() < HEADER {
        return Err("a frame is shorter than its header");
    }
    let records = (be32(bytes, 4) as usize).checked_mul(EVENT).ok_or("a frame counts too many records")?;
    let body = &bytes[HEADER..];
    if records > body.len() {
        return Err("a frame ends before its last record");
    }
    let (records, tail) = body.split_at(records);
    Ok(Frame { clock_us: be64(bytes, 8), number: be32(bytes, 16), records, tail })
}

impl<'a> Frame<'a> {
    /// The events with the number of their instance (meaningless for a census).
    pub fn events(&self) -> impl Iterator<Item = Result<(u32, Event<'a>), Malformed>> + '_ {
        self.records.chunks_exact(EVENT).map(|r| Ok((be32(r, 1), self.event(r)?)))
    }

    fn event(&self, r: &[u8]) -> Result<Event<'a>, Malformed> {
        Ok(match r[0] {
            20 => Event::Census { number: be32(r, 1), entries: self.cut(r, 5, ENTRY)? },
            30 => Event::Hangup { handle: be32(r, 5) },
            40 => Event::Alarm,
            50 => Event::Hello { seed: be64(r, 5), info: self.cut(r, 13, 1)? },
            60 => Event::View { scope: r[5], census: be32(r, 14) },
            70 => {
                let dest = f32::from_bits(be32(r, 9));
                if !(0.0..=f32::from(u16::MAX)).contains(&dest) || dest.fract() != 0.0 {
                    return Err("an arrival names no destination number");
                }
                Event::Arrival {
                    handle: be32(r, 5),
                    dest: dest as u16,
                    class: r[14].into(),
                    item: be64(r, 21),
                    due: tenths(be64(r, 29)),
                }
            }
            80 => Event::Crash,
            100 => Event::Message { body: self.cut(r, 7, 1)? },
            110 => {
                let count = usize::from(r[27]).min(4);
                let outcome = outcome(be16(r, 10)).ok_or("an outcome has an unknown reason")?;
                // With other outcomes the field is no time to wait.
                let refused = outcome == Outcome::Refused;
                Event::Settled(Settled {
                    handle: be32(r, 5),
                    over: r[9] != 0,
                    outcome,
                    wait: if refused { Time::from(be32(r, 19)) * 10 } else { 0 },
                    took: tenths(be32(r, 23).into()),
                    report: (count, [28, 32, 36, 40].map(|at| f32::from_bits(be32(r, at)))),
                })
            }
            _ => Event::Other,
        })
    }

    fn cut(&self, r: &[u8], at: usize, size: usize) -> Result<&'a [u8], Malformed> {
        let (offset, count) = (be32(r, at) as usize, be32(r, at + 4) as usize);
        count
            .checked_mul(size)
            .and_then(|length| self.tail.get(offset..offset.checked_add(length)?))
            .ok_or("a record points outside the tail")
    }
}

/// A name of three bytes for an endpoint in notes, which are paid for by the byte. Two endpoints of one list
/// hardly share one; a note that is taken for another's is a wrong hint, as a late one is.
pub fn short(endpoint: Address) -> u32 {
    let mixed = endpoint.iter().fold(0x811c_9dc5_u32, |h, &b| (h ^ u32::from(b)).wrapping_mul(0x0100_0193));
    (mixed ^ mixed >> 24) & 0xff_ffff
}

/// Tenths of a second that a note can hold: six bits.
const LONGEST: Time = 63;

/// A note: the endpoint's short name, then two bits of news and six of its time in tenths of a second, rounded up.
pub fn note(endpoint: Address, news: PeerNote) -> [u8; 4] {
    let news = match news {
        PeerNote::Refusing(wait) => wait.div_ceil(1000).min(LONGEST) as u32,
        PeerNote::Down => 1 << 6,
        PeerNote::Recovered => 2 << 6,
    };
    (short(endpoint) << 8 | news).to_be_bytes()
}

/// What is no note that this courier knows is none.
pub fn noted(body: &[u8]) -> Option<(u32, PeerNote)> {
    let note = u32::from_be_bytes(body.try_into().ok()?);
    let news = match note >> 6 & 3 {
        0 => PeerNote::Refusing(Time::from(note & 63) * 1000),
        1 => PeerNote::Down,
        2 => PeerNote::Recovered,
        _ => return None,
    };
    Some((note >> 8, news))
}

pub fn entries(bytes: &[u8]) -> impl Iterator<Item = Entry> + '_ {
    bytes.chunks_exact(ENTRY).map(|e| Entry {
        endpoint: address(e, 0),
        zone: e[6].into(),
        kind: e[7].into(),
        dest: be16(e, 8),
        life: match e[10] {
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

/// Reads any `load report` by the names of its fields.
pub fn report(told: (usize, [f32; 4]), left: Option<usize>, limit: Option<usize>) -> Option<LimitReport> {
    let value = |at: Option<usize>| at.filter(|&i| i < told.0).map(|i| f64::from(told.1[i]));
    let known = LimitReport { remaining: value(left)?, limit: value(limit)? };
    (known.remaining.is_finite() && known.limit.is_finite()).then_some(known)
}

/// A reply under way: records, and the tail for their words.
#[derive(Default)]
pub struct Reply {
    records: Vec<u8>,
    tail: Vec<u8>,
}

impl Reply {
    fn record(&mut self, code: u8, instance: u32, fields: &[&[u8]]) {
        let end = self.records.len() + ACTION;
        self.records.push(code);
        self.records.extend_from_slice(&instance.to_be_bytes());
        fields.iter().for_each(|f| self.records.extend_from_slice(f));
        self.records.resize(end, 0);
    }

    pub fn transmit(&mut self, instance: u32, handle: u32, endpoint: Address, timeout: Time) {
        let us = u32::try_from(timeout * TENTH).unwrap_or(u32::MAX).max(1);
        self.record(40, instance, &[&handle.to_be_bytes(), &endpoint, &us.to_be_bytes()]);
    }

    pub fn busy(&mut self, instance: u32, handle: u32, pause: Time) {
        let us = u32::try_from(pause * TENTH).unwrap_or(u32::MAX);
        self.record(120, instance, &[&handle.to_be_bytes(), &us.to_be_bytes()]);
    }

    pub fn finish_error(&mut self, instance: u32, handle: u32) {
        self.record(50, instance, &[&handle.to_be_bytes()]);
    }

    pub fn let_go(&mut self, instance: u32, endpoint: Address) {
        self.record(20, instance, &[&endpoint]);
    }

    /// To all other couriers.
    pub fn publish(&mut self, instance: u32, body: &[u8]) {
        let (offset, length) = (self.tail.len() as u32, body.len() as u32);
        self.tail.extend_from_slice(body);
        self.record(100, instance, &[&[0xff; 4], &offset.to_be_bytes(), &length.to_be_bytes()]);
    }

    pub fn watch(&mut self, instance: u32) {
        self.record(10, instance, &[&[1]]);
    }

    pub fn after(&mut self, instance: u32, at: Time) {
        self.record(70, instance, &[&(at * TENTH).to_be_bytes()]);
    }

    pub fn bail_out(&mut self, instance: u32, words: &str) {
        let (offset, length) = (self.tail.len() as u32, words.len() as u32);
        self.tail.extend_from_slice(words.as_bytes());
        self.record(30, instance, &[&offset.to_be_bytes(), &length.to_be_bytes()]);
    }

    /// Writes the reply to `out` and starts the next one.
    pub fn finish(&mut self, number: u32, out: &mut Vec<u8>) {
        let count = (self.records.len() / ACTION) as u32;
        let length = (REPLY_HEADER + self.records.len() + self.tail.len()) as u32;
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
