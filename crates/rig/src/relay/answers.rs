//! Faults of the answers on a link that carries HTTP/1.1: copied, late, missing, merged, split, cut, early and unasked
//! ones. They break the order by which the courier ties an answer to its call.

use std::io;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use fastrand::Rng;
use serde::{Deserialize, Serialize};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::stream::write_all;
use super::SpoiltAnswers;
use crate::record::lock;

/// What happens to an answer that is chosen for a fault.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AnswerFault {
    /// One of the others, drawn for each answer.
    #[default]
    Any,
    /// It comes again within 50 ms.
    Copied,
    /// It comes again when the next request on its connection has passed.
    CopiedBehindNext,
    /// It comes again after up to 3 s.
    CopiedLate,
    /// It comes twice in one segment.
    Merged,
    /// Half of it comes again when the next request has passed.
    CutCopy,
    /// It comes again before the next request passes.
    Early,
    /// It comes again, and the connection is closed behind it.
    CopiedThenClosed,
    /// It does not come.
    Missing,
    /// It comes in two parts, within 250 ms.
    Split,
    /// An interim answer follows it.
    Interim,
    /// The next request is not passed: 503 comes in its place, and the connection is closed.
    Unasked,
}

impl AnswerFault {
    /// All but `Any`.
    pub const ALL: [AnswerFault; 11] = [
        AnswerFault::Copied,
        AnswerFault::CopiedBehindNext,
        AnswerFault::CopiedLate,
        AnswerFault::Merged,
        AnswerFault::CutCopy,
        AnswerFault::Early,
        AnswerFault::CopiedThenClosed,
        AnswerFault::Missing,
        AnswerFault::Split,
        AnswerFault::Interim,
        AnswerFault::Unasked,
    ];
}

const MAX_COPY_DELAY_MS: u64 = 50;
const MAX_LATE_COPY_DELAY_MS: u64 = 3000;
/// After a request has passed, and before a copy of the previous answer follows.
const MAX_BEHIND_NEXT_US: u64 = 10_000;
const MAX_SPLIT_MS: u64 = 250;
const INTERIM: &[u8] = b"HTTP/1.1 102 Processing\r\n\r\n";
const UNASKED: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

/// What the next request on a connection sets off.
#[derive(Clone, Debug, PartialEq, Eq)]
enum AtNextRequest {
    /// Written before the request passes.
    Before(Vec<u8>),
    /// Written after it has passed.
    Behind(Vec<u8>),
    /// Written in place of its answer; the request does not pass.
    Instead(Vec<u8>),
}

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Passage {
    Passes,
    /// The connection is to be closed.
    Dropped,
}

/// The answers of one connection.
pub struct Answers {
    near: Arc<TcpStream>,
    /// Bytes of an answer that has not come completely.
    partial: Vec<u8>,
    /// An answer has no declared length: all that follows belongs to it.
    is_stream: bool,
    chance: Rng,
    at_next_request: Arc<Mutex<Option<AtNextRequest>>>,
    delayed: JoinSet<io::Result<()>>,
}

/// The side of the requests of the same connection.
pub struct Requests {
    near: Arc<TcpStream>,
    chance: Rng,
    at_next_request: Arc<Mutex<Option<AtNextRequest>>>,
    delayed: JoinSet<io::Result<()>>,
}

/// Both sides of a connection, by which answers reach `near`.
pub fn both_sides(near: &Arc<TcpStream>, mut chance: Rng) -> (Requests, Answers) {
    let at_next_request = Arc::new(Mutex::new(None));
    let requests = Requests {
        near: near.clone(),
        chance: chance.fork(),
        at_next_request: at_next_request.clone(),
        delayed: JoinSet::new(),
    };
    let (near, partial, delayed) = (near.clone(), Vec::new(), JoinSet::new());
    let answers = Answers { near, partial, is_stream: false, chance, at_next_request, delayed };
    (requests, answers)
}

/// The size of the first answer in the bytes, if it is complete.
fn answer_size(bytes: &[u8]) -> Option<usize> {
    let head = bytes.windows(4).position(|four| four == b"\r\n\r\n")? + 4;
    let text = String::from_utf8_lossy(&bytes[..head]).to_ascii_lowercase();
    let length = text.lines().find_map(|line| line.strip_prefix("content-length:"));
    let body: usize = length.and_then(|length| length.trim().parse().ok()).unwrap_or(0);
    (bytes.len() >= head + body).then_some(head + body)
}

/// Whether the bytes begin with an answer that goes on for as long as its connection, such as a watch.
fn is_stream(bytes: &[u8]) -> bool {
    let head = bytes.windows(4).position(|four| four == b"\r\n\r\n").unwrap_or(0);
    String::from_utf8_lossy(&bytes[..head]).to_ascii_lowercase().contains("transfer-encoding: chunked")
}

async fn write_later(near: Arc<TcpStream>, delay: Duration, bytes: Vec<u8>) -> io::Result<()> {
    sleep(delay).await;
    write_all(&near, &bytes).await
}

impl Requests {
    /// Called before a chunk of a request passes.
    pub async fn before_chunk(&mut self) -> io::Result<Passage> {
        let due = lock(&self.at_next_request).take();
        match due {
            None => Ok(Passage::Passes),
            Some(AtNextRequest::Before(bytes)) => {
                write_all(&self.near, &bytes).await?;
                Ok(Passage::Passes)
            }
            Some(AtNextRequest::Behind(bytes)) => {
                let delay = Duration::from_micros(500 + self.chance.u64(..MAX_BEHIND_NEXT_US - 500));
                self.delayed.spawn(write_later(self.near.clone(), delay, bytes));
                Ok(Passage::Passes)
            }
            Some(AtNextRequest::Instead(bytes)) => {
                write_all(&self.near, &bytes).await?;
                Ok(Passage::Dropped)
            }
        }
    }
}

impl Answers {
    /// Passes bytes of answers on, and spoils some of the answers. Returns whether the connection stays open.
    pub async fn pass(&mut self, bytes: &[u8], spoilt: Option<SpoiltAnswers>) -> io::Result<Passage> {
        self.partial.extend_from_slice(bytes);
        self.is_stream |= is_stream(&self.partial);
        let Some(SpoiltAnswers { fault, share }) = spoilt.filter(|_| !self.is_stream) else {
            let all = std::mem::take(&mut self.partial);
            write_all(&self.near, &all).await?;
            return Ok(Passage::Passes);
        };
        while let Some(size) = answer_size(&self.partial) {
            let answer: Vec<u8> = self.partial.drain(..size).collect();
            if self.chance.f64() >= share {
                write_all(&self.near, &answer).await?;
            } else if self.spoil(answer, fault).await? == Passage::Dropped {
                return Ok(Passage::Dropped);
            }
        }
        Ok(Passage::Passes)
    }

    async fn spoil(&mut self, answer: Vec<u8>, fault: AnswerFault) -> io::Result<Passage> {
        let fault = match fault {
            AnswerFault::Any => AnswerFault::ALL[self.chance.usize(..AnswerFault::ALL.len())],
            fault => fault,
        };
        if fault == AnswerFault::Missing {
            return Ok(Passage::Passes);
        }
        if fault == AnswerFault::Split {
            let (first, second) = answer.split_at(answer.len() / 2);
            write_all(&self.near, first).await?;
            sleep(Duration::from_millis(self.chance.u64(1..MAX_SPLIT_MS))).await;
            write_all(&self.near, second).await?;
            return Ok(Passage::Passes);
        }
        if fault == AnswerFault::Merged {
            write_all(&self.near, &[answer.clone(), answer].concat()).await?;
            return Ok(Passage::Passes);
        }
        write_all(&self.near, &answer).await?;
        match fault {
            AnswerFault::Copied => self.write_within(MAX_COPY_DELAY_MS, answer),
            AnswerFault::CopiedLate => self.write_within(MAX_LATE_COPY_DELAY_MS, answer),
            AnswerFault::Interim => self.write_within(MAX_COPY_DELAY_MS, INTERIM.to_vec()),
            AnswerFault::CopiedBehindNext => self.at_next_request(AtNextRequest::Behind(answer)),
            AnswerFault::CutCopy => {
                self.at_next_request(AtNextRequest::Behind(answer[..answer.len() / 2].to_vec()))
            }
            AnswerFault::Early => self.at_next_request(AtNextRequest::Before(answer)),
            AnswerFault::Unasked => self.at_next_request(AtNextRequest::Instead(UNASKED.to_vec())),
            AnswerFault::CopiedThenClosed => {
                write_all(&self.near, &answer).await?;
                return Ok(Passage::Dropped);
            }
            AnswerFault::Any | AnswerFault::Missing | AnswerFault::Split | AnswerFault::Merged => {}
        }
        Ok(Passage::Passes)
    }

    fn write_within(&mut self, max_ms: u64, bytes: Vec<u8>) {
        let delay = Duration::from_millis(self.chance.u64(..max_ms));
        self.delayed.spawn(write_later(self.near.clone(), delay, bytes));
    }

    fn at_next_request(&self, event: AtNextRequest) {
        *lock(&self.at_next_request) = Some(event);
    }
}
