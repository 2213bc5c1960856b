//! Tells the platform of mails that were given up, until it has heard of each.

use std::collections::VecDeque;
use std::fmt::Write;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use http_body_util::{BodyExt, Full, Limited};
use hyper::header::CONTENT_TYPE;
use hyper::{Request, StatusCode};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::watch;
use tokio::time::{sleep, sleep_until, timeout, Instant};

use crate::discovery::address_changed;
use crate::exchange::{Notice, Shared};
use crate::journal::Verdict;
use crate::platform::Connection;

const MOST_LINES: usize = 256;
const MOST_ANSWER: usize = 64 * 1024;
/// The platform answers at once; one that hangs is asked again while the answer still counts.
const PATIENCE: Duration = Duration::from_millis(200);
/// One that it cannot read is sent again, alone, so often.
const AGAIN: Duration = Duration::from_millis(500);
const PAUSES: (Duration, Duration) = (Duration::from_millis(20), Duration::from_millis(160));

fn lines(notices: &[Notice]) -> String {
    let mut text = String::new();
    for notice in notices {
        // Ids hold nothing that JSON would want escaped.
        let id = String::from_utf8_lossy(&notice.id);
        let _ = match notice.verdict {
            Verdict::Dead => writeln!(text, "{{\"ref\":\"{id}\",\"result\":\"dead\"}}"),
            Verdict::Bounced(0) => writeln!(text, "{{\"ref\":\"{id}\",\"result\":\"bounced\"}}"),
            Verdict::Bounced(wait) => {
                let wait = wait.div_ceil(10);
                writeln!(text, "{{\"ref\":\"{id}\",\"result\":\"bounced\",\"wait_ms\":{wait}}}")
            }
        };
    }
    text
}

/// The first failure in a row is worth a line, the others are not.
fn failed(pause: Duration) -> log::Level {
    if pause == PAUSES.0 {
        log::Level::Warn
    } else {
        log::Level::Debug
    }
}

struct Teller {
    address: watch::Receiver<SocketAddr>,
    kept: Option<Connection>,
}

impl Teller {
    /// Sends some notices on the connection that is kept, or a new one; the status of the answer.
    async fn post(&mut self, notices: &[Notice]) -> io::Result<StatusCode> {
        // One that leads to where the platform was is not used again.
        let kept = self.kept.take().filter(Connection::is_usable);
        let kept = if self.address.has_changed().unwrap_or(false) { None } else { kept };
        let address = *self.address.borrow_and_update();
        let mut connection = match kept {
            Some(connection) => connection,
            None => Connection::open(address).await?,
        };
        let request = Request::post("/v1/notices").header(CONTENT_TYPE, "application/x-ndjson");
        let request = request.body(Full::from(lines(notices))).map_err(io::Error::other)?;
        let answer = connection.send(request).await?;
        let status = answer.status();
        Limited::new(answer, MOST_ANSWER).collect().await.map_err(io::Error::other)?;
        self.kept = Some(connection);
        Ok(status)
    }
}

pub async fn tell(
    shared: Shared,
    mut address: watch::Receiver<SocketAddr>,
    mut queue: UnboundedReceiver<Notice>,
) {
    let mut teller = Teller { address: address.clone(), kept: None };
    let mut waiting: VecDeque<Notice> = VecDeque::new();
    // What the platform could not read, each by itself, and when one of it is sent again.
    let (mut unread, mut again): (VecDeque<Notice>, _) = (VecDeque::new(), Instant::now());
    // One among the first is looked for; one was heard since the last was put aside.
    let (mut searching, mut heard) = (false, true);
    let (mut most, mut pause) = (MOST_LINES, PAUSES.0);
    loop {
        while let Ok(notice) = queue.try_recv() {
            waiting.push_back(notice);
        }
        let aside = waiting.is_empty();
        let some: Vec<Notice> = if aside {
            (searching, most) = (false, MOST_LINES);
            let notice = tokio::select! {
                biased;
                () = sleep_until(again), if !unread.is_empty() => None,
                notice = queue.recv() => match notice {
                    Some(notice) => Some(notice),
                    None => return,
                },
            };
            if let Some(notice) = notice {
                waiting.push_back(notice);
                continue;
            }
            again = Instant::now() + AGAIN;
            unread.pop_front().into_iter().collect()
        } else {
            waiting.drain(..most.min(waiting.len())).collect()
        };
        match timeout(PATIENCE, teller.post(&some)).await {
            Ok(Ok(StatusCode::NO_CONTENT)) => {
                some.iter().for_each(|notice| shared.borrow_mut().told(notice.serial));
                (heard, pause) = (true, PAUSES.0);
                most = if searching { most } else { MOST_LINES };
                if aside {
                    // It can read what it could not: the others too, perhaps.
                    waiting.extend(unread.drain(..));
                }
                continue;
            }
            Ok(Ok(status @ (StatusCode::BAD_REQUEST | StatusCode::PAYLOAD_TOO_LARGE))) => {
                // One that the platform cannot read must not hold up the others, which are owed to their clients by
                // now: it is found by halves, without a pause, and put aside.
                searching = some.len() > 1;
                most = if searching { some.len() / 2 } else { MOST_LINES };
                if searching {
                    log::debug!("{} notices were answered {status}", some.len());
                    put_back(&mut waiting, some);
                } else {
                    log::warn!("a notice was answered {status}");
                    again = Instant::now() + AGAIN;
                    unread.extend(some);
                }
                // Guards against a platform that can read nothing, and gets everything singly without a pause.
                if searching || std::mem::take(&mut heard) {
                    continue;
                }
            }
            Ok(Ok(status)) => {
                log::log!(failed(pause), "{} notices were answered {status}", some.len());
                // Guards against one over which the platform fails: singly from here, it last.
                if some.len() == 1 {
                    waiting.extend(some);
                } else {
                    put_back(&mut waiting, some);
                }
                most = 1;
            }
            Ok(Err(e)) => {
                log::log!(failed(pause), "notices cannot be sent: {e}");
                put_back(&mut waiting, some);
            }
            Err(_) => {
                log::log!(failed(pause), "notices are not answered");
                put_back(&mut waiting, some);
            }
        }
        tokio::select! {
            () = address_changed(&mut address) => pause = PAUSES.0,
            () = sleep(pause) => pause = (pause * 2).min(PAUSES.1),
        }
    }
}

/// In their order, before those that wait.
fn put_back(waiting: &mut VecDeque<Notice>, some: Vec<Notice>) {
    some.into_iter().rev().for_each(|notice| waiting.push_front(notice));
}
