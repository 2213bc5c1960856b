//! The meaning of an answer for the mails of its call.

use std::io;
use std::sync::Arc;

use bytes::BytesMut;
use meadowhold::interface::Outcome;
use meadowhold::response_order::{AnswerTraits, Claim, NamedMessages};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::timeout;

use crate::exchange::{CallMail, ConnectReport};
use crate::http::{self, Body, Head, Item};
use crate::link::{HttpConnection, BODY_TIMEOUT};

/// Largest body of an answer, in bytes.
pub const MAX_ANSWER: usize = http::MAX_BODY;
/// What reading the largest body may take, in bytes: the buffer doubles as it grows.
const MAX_ANSWER_BUFFER: usize = 2 * MAX_ANSWER;

/// The memory for bodies of answers that are read at a time.
#[derive(Clone)]
pub struct AnswerMemory {
    free: Arc<Semaphore>,
}

impl AnswerMemory {
    /// Memory of so many bytes, but for one body at least.
    pub fn new(bytes: u64) -> AnswerMemory {
        let bytes = usize::try_from(bytes).unwrap_or(Semaphore::MAX_PERMITS);
        AnswerMemory {
            free: Arc::new(Semaphore::new(bytes.clamp(MAX_ANSWER_BUFFER, Semaphore::MAX_PERMITS))),
        }
    }

    /// Waits for the memory for one body, for as long as a body may take.
    async fn reserve(&self) -> io::Result<OwnedSemaphorePermit> {
        let share = self.free.clone().acquire_many_owned(MAX_ANSWER_BUFFER as u32);
        timeout(BODY_TIMEOUT, share).await?.map_err(io::Error::other)
    }
}

/// A body that was read, and its share of the memory.
pub struct ReadBody {
    pub bytes: BytesMut,
    _share: OwnedSemaphorePermit,
}

/// How far the body of an answer has been read.
pub enum AnswerBody {
    NotRead,
    /// To its end; nothing in it counts.
    Skipped,
    Read(ReadBody),
}

/// The answer to a call.
pub enum Answer {
    Read(Head, AnswerBody),
    /// No readable answer, and the outcome that follows from that.
    Unread(Outcome),
}

/// Reads an answer as far as its meaning depends on it. A single mail is relayed as soon as the status line
/// says so. An answer to a batch, or one that says that nothing has run, counts only if it is read to its
/// end: after a malformed answer the mails may have run.
pub async fn read_answer(link: &mut HttpConnection, is_batch: bool, memory: &AnswerMemory) -> Answer {
    let head = match link.read_head().await {
        Ok(head) => head,
        Err(_) if !is_batch && link.has_ok_status_line() => return Answer::Unread(Outcome::Relayed),
        Err(e) => return Answer::Unread(read_error_outcome(&e)),
    };
    // A body that ends with the connection is not waited for.
    let unrun = head.status != 200 && head.body != Body::UntilClose;
    let body = match head.status {
        200 if is_batch => read_body(link, head.body, memory).await.map(AnswerBody::Read),
        _ if unrun => link.skip_body(head.body, MAX_ANSWER).await.map(|()| AnswerBody::Skipped),
        _ => Ok(AnswerBody::NotRead),
    };
    match body {
        Ok(body) => Answer::Read(head, body),
        Err(e) => Answer::Unread(read_error_outcome(&e)),
    }
}

async fn read_body(link: &mut HttpConnection, body: Body, memory: &AnswerMemory) -> io::Result<ReadBody> {
    let share = memory.reserve().await?;
    Ok(ReadBody { bytes: link.read_body(body, MAX_ANSWER).await?, _share: share })
}

fn read_error_outcome(e: &io::Error) -> Outcome {
    match e.kind() {
        io::ErrorKind::InvalidData | io::ErrorKind::TimedOut => Outcome::Spoilt,
        _ => Outcome::Broken,
    }
}

/// What an answer says: a report for each mail of its call, in their order, and what is known of the answer itself.
pub struct Meaning {
    pub reports: Vec<ConnectReport>,
    pub traits: AnswerTraits,
    /// What it says of the call as a whole.
    pub claim: Option<Claim>,
}

impl Meaning {
    /// `body`: the body of an answer to a batch. `reused`: the call used a connection that had carried an earlier one.
    pub fn of(mails: &[CallMail], head: &Head, body: Option<&[u8]>, reused: bool) -> Meaning {
        let is_batch = mails.len() > 1;
        let items = body
            .filter(|_| is_batch && head.status == 200)
            .map(|body| http::read_items(body).unwrap_or_default());
        let report = |mail: &CallMail| match &items {
            Some(items) => {
                let item = items.iter().find(|item| item.id.as_bytes() == mail.id);
                report_by_item(item.map(|item| item.state.as_str()), head)
            }
            None => report_by_status(head, is_batch, reused),
        };
        let reports: Vec<ConnectReport> = mails.iter().map(report).collect();
        let names = named_messages(mails, items.as_deref().unwrap_or_default());
        let traits = AnswerTraits { fingerprint: head.fingerprint, names, closes: !head.keep_alive };
        let claim = reports.first().and_then(ConnectReport::claim);
        Meaning { reports, traits, claim }
    }
}

/// Whose messages the items of an answer name.
fn named_messages(mails: &[CallMail], items: &[Item]) -> NamedMessages {
    let is_own = |item: &Item| mails.iter().any(|mail| mail.id == item.id.as_bytes());
    match items {
        [] => NamedMessages::Unnamed,
        items if items.iter().all(is_own) => NamedMessages::Own,
        _ => NamedMessages::Foreign,
    }
}

/// Maps the status of an answer to the report for every mail of the call. `reused`: the call used a connection
/// that had carried an earlier one.
pub fn report_by_status(head: &Head, is_batch: bool, reused: bool) -> ConnectReport {
    let (outcome, finished) = match head.status {
        200 => (Outcome::Relayed, true),
        429 => (Outcome::Refused, false),
        503 if head.over_slots => (Outcome::Unsent, false),
        // An endpoint whose connection table is full answers a new connection with 503 and closes it. Taken
        // for a rate limit, this would make every courier hold on to the connections that it has.
        503 if !head.keep_alive && !reused => (Outcome::Unreached, false),
        503 => (Outcome::Refused, false),
        504 => (Outcome::Unsent, false),
        410 => (Outcome::Unsent, true),
        // The request could not be parsed or was too large, so no mail in it has run.
        400 | 413 if is_batch => (Outcome::Unsent, false),
        _ => (Outcome::Error, false),
    };
    report_with_head(outcome, finished, head)
}

/// Maps the state of one item of a batch answer to a report. A mail that the answer does not name may have
/// run.
pub fn report_by_item(state: Option<&str>, head: &Head) -> ConnectReport {
    let (outcome, finished) = match state {
        Some("ok") => (Outcome::Relayed, true),
        Some("later") => (Outcome::Refused, false),
        Some("gone") => (Outcome::Unsent, true),
        Some("exhausted") => (Outcome::Unsent, false),
        _ => (Outcome::Error, false),
    };
    report_with_head(outcome, finished, head)
}

/// The head's wait and load report apply to each mail of the call.
pub fn report_with_head(outcome: Outcome, finished: bool, head: &Head) -> ConnectReport {
    ConnectReport {
        retry_after: head.retry_after.unwrap_or_default(),
        load: head.load.clone(),
        finished,
        ..ConnectReport::of(outcome)
    }
}
