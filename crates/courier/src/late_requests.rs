//! Requests for the whole list that were not answered in time. The latest of them is listened to for a while, beside the
//! requests that follow it: a source that always takes longer than a request's time-out would never be heard otherwise.

use std::io;

use bytes::Bytes;
use meadowhold::interface::{Time, SECOND};
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use crate::entries::Update;
use crate::reader::Reader;

/// How long a late answer is waited for. From when on a source can be reached, a late request of before may be in the way
/// for so long, and the next one must leave time for its answer within the six seconds of `schedule`.
const LATE_ANSWER_TIMEOUT: Time = 7 * SECOND / 2;

/// What the task of a request reports.
pub enum Event {
    Headers,
    Bytes(Bytes),
    /// The response body is complete.
    End,
    Failed(io::Error),
    Status(u16),
}

impl Event {
    /// Nobody listens at the source's address.
    pub fn is_refused(&self) -> bool {
        matches!(self, Event::Failed(e) if e.kind() == io::ErrorKind::ConnectionRefused)
    }
}

/// A request that is out. Dropping it closes its connection.
pub struct OpenRequest {
    /// The task that reports the events.
    pub task: JoinSet<()>,
    pub events: mpsc::Receiver<Event>,
    pub sent_at: Time,
}

/// A late request for the whole list, and what has been read of its answer.
pub struct LateRequest {
    pub request: OpenRequest,
    pub reader: Reader,
    /// The list once it is parsed, until the response has ended.
    pub list: Option<Update>,
}

/// At most one late request: together with the current one, a source has two connections of this process.
#[derive(Default)]
pub struct LateRequests {
    latest: Option<LateRequest>,
}

impl LateRequests {
    /// Listens on to a request that has timed out, unless an earlier one is still waited for.
    pub fn add(&mut self, request: LateRequest, now: Time) {
        if self.latest.as_ref().is_none_or(|late| now >= late.request.sent_at + LATE_ANSWER_TIMEOUT) {
            self.latest = Some(request);
        }
    }

    pub fn clear(&mut self) {
        self.latest = None;
    }

    /// Waits for the next part of a late answer.
    async fn next_event(&mut self) -> Event {
        match &mut self.latest {
            Some(late) => late.request.events.recv().await.unwrap_or(Event::End),
            None => std::future::pending().await,
        }
    }

    /// Reads the next part of a late answer. Once its list is complete, returns it with the time at which it was asked for.
    pub async fn next_list(&mut self) -> (Update, Time) {
        loop {
            let event = self.next_event().await;
            if let Some(complete) = self.read(event) {
                return complete;
            }
        }
    }

    fn read(&mut self, event: Event) -> Option<(Update, Time)> {
        let late = self.latest.as_mut()?;
        match event {
            Event::Headers => None,
            Event::Bytes(bytes) => {
                if !late.read(&bytes) {
                    self.latest = None;
                }
                None
            }
            Event::End => self.latest.take()?.into_list(),
            Event::Failed(_) | Event::Status(_) => {
                self.latest = None;
                None
            }
        }
    }
}

impl LateRequest {
    /// Reads a part of the answer; false if it is of no use.
    fn read(&mut self, bytes: &[u8]) -> bool {
        let mut is_single = true;
        let held = &mut self.list;
        let read = self.reader.read(bytes, |list| {
            is_single &= held.replace(list).is_none();
            Ok(())
        });
        read.is_ok() && is_single
    }

    /// The whole list that has come, with the time at which it was asked for.
    fn into_list(self) -> Option<(Update, Time)> {
        let is_complete = self.reader.pending() == 0;
        let list = self.list.filter(|list| list.whole && is_complete)?;
        Some((list, self.request.sent_at))
    }
}
