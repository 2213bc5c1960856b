//! Sends the platform notices of mails that were given up, until each is acknowledged.

use std::collections::VecDeque;
use std::fmt::Write;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use http_body_util::{BodyExt, Full, Limited};
use hyper::header::{CONNECTION, CONTENT_TYPE};
use hyper::{Request, StatusCode};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::watch;
use tokio::time::{sleep, sleep_until, Instant};

use crate::discovery::address_changed;
use crate::exchange::{Notice, Shared};
use crate::journal::Verdict;
use crate::patience::wait_for;
use crate::platform::Connection;

const MAX_BATCH: usize = 256;
const MAX_ANSWER: usize = 64 * 1024;
/// The platform normally answers immediately. After this time the notices are sent again while they are still
/// useful.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(200);
/// Interval at which a notice that the platform rejects is sent again, one at a time.
const UNREADABLE_RETRY: Duration = Duration::from_millis(500);
/// Shortest time between two requests, each of which takes a local port until a minute after its end. Notices that come
/// meanwhile go together.
const MIN_POST_INTERVAL: Duration = Duration::from_millis(4);
const RETRY_PAUSES: (Duration, Duration) = (Duration::from_millis(20), Duration::from_millis(160));

fn format_lines(notices: &[Notice]) -> String {
    let mut text = String::new();
    for notice in notices {
        // Ids contain no characters that JSON has to escape.
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

/// Logs what becomes of each line of a request.
fn log_lines(notices: &[Notice], what: &str) {
    for Notice { serial, id, verdict } in notices {
        log::debug!(
            "message {}, mail {serial}: its notice, {verdict:?}, {what}",
            String::from_utf8_lossy(id)
        );
    }
}

/// Only the first failure in a row is logged as a warning.
fn failure_level(pause: Duration) -> log::Level {
    if pause == RETRY_PAUSES.0 {
        log::Level::Warn
    } else {
        log::Level::Debug
    }
}

/// Sends notices on a connection of their own and returns the status of the answer. On a kept connection the answer could
/// be that of an earlier request, and a notice that never arrived would count as accepted.
async fn post(address: SocketAddr, notices: &[Notice]) -> io::Result<StatusCode> {
    let mut connection = Connection::open(address).await?;
    let request = Request::post("/v1/notices").header(CONTENT_TYPE, "application/x-ndjson");
    let request = request.header(CONNECTION, "close");
    let request = request.body(Full::from(format_lines(notices))).map_err(io::Error::other)?;
    let answer = connection.send(request).await?;
    let status = answer.status();
    Limited::new(answer, MAX_ANSWER).collect().await.map_err(io::Error::other)?;
    Ok(status)
}

pub async fn run(
    shared: Shared,
    mut address: watch::Receiver<SocketAddr>,
    mut queue: UnboundedReceiver<Notice>,
) {
    let mut waiting: VecDeque<Notice> = VecDeque::new();
    // Notices that the platform rejects singly, and when the next of them is sent again.
    let (mut unreadable, mut retry_at): (VecDeque<Notice>, _) = (VecDeque::new(), Instant::now());
    // `searching`: bisecting the first notices for a rejected one. `accepted`: a notice was accepted since
    // the last rejected one was set aside.
    let (mut searching, mut accepted) = (false, true);
    let (mut batch_size, mut pause) = (MAX_BATCH, RETRY_PAUSES.0);
    let mut next_post = Instant::now();
    loop {
        sleep_until(next_post).await;
        while let Ok(notice) = queue.try_recv() {
            waiting.push_back(notice);
        }
        let retrying = waiting.is_empty();
        let batch: Vec<Notice> = if retrying {
            (searching, batch_size) = (false, MAX_BATCH);
            let notice = tokio::select! {
                biased;
                () = sleep_until(retry_at), if !unreadable.is_empty() => None,
                notice = queue.recv() => match notice {
                    Some(notice) => Some(notice),
                    None => return,
                },
            };
            if let Some(notice) = notice {
                waiting.push_back(notice);
                continue;
            }
            retry_at = Instant::now() + UNREADABLE_RETRY;
            unreadable.pop_front().into_iter().collect()
        } else {
            waiting.drain(..batch_size.min(waiting.len())).collect()
        };
        next_post = Instant::now() + MIN_POST_INTERVAL;
        let destination = *address.borrow_and_update();
        log_lines(&batch, "is sent");
        match wait_for(ANSWER_TIMEOUT, post(destination, &batch)).await {
            Ok(Ok(StatusCode::NO_CONTENT)) => {
                log_lines(&batch, "is acknowledged");
                batch.iter().for_each(|notice| shared.borrow_mut().notice_accepted(notice.serial));
                (accepted, pause) = (true, RETRY_PAUSES.0);
                batch_size = if searching { batch_size } else { MAX_BATCH };
                if retrying {
                    // It accepts what it rejected before, so perhaps the other rejected ones too.
                    waiting.extend(unreadable.drain(..));
                }
                continue;
            }
            Ok(Ok(status @ (StatusCode::BAD_REQUEST | StatusCode::PAYLOAD_TOO_LARGE))) => {
                // A notice that the platform rejects must not delay the others, which clients are waiting
                // for: it is found by bisection, without a pause, and set aside.
                searching = batch.len() > 1;
                batch_size = if searching { batch.len() / 2 } else { MAX_BATCH };
                if searching {
                    log::debug!("{} notices were answered {status}", batch.len());
                    requeue(&mut waiting, batch);
                } else {
                    log::warn!("a notice was answered {status}");
                    retry_at = Instant::now() + UNREADABLE_RETRY;
                    unreadable.extend(batch);
                }
                // A platform that rejects everything must not be sent each notice singly without a pause.
                if searching || std::mem::take(&mut accepted) {
                    continue;
                }
            }
            Ok(Ok(status)) => {
                log::log!(failure_level(pause), "{} notices were answered {status}", batch.len());
                // A single notice that makes the platform fail must not block the others: from here they are
                // sent singly, and this one last.
                if batch.len() == 1 {
                    waiting.extend(batch);
                } else {
                    requeue(&mut waiting, batch);
                }
                batch_size = 1;
            }
            Ok(Err(e)) => {
                log::log!(failure_level(pause), "notices cannot be sent: {e}");
                requeue(&mut waiting, batch);
            }
            Err(_) => {
                log::log!(failure_level(pause), "notices are not answered");
                requeue(&mut waiting, batch);
            }
        }
        tokio::select! {
            () = address_changed(&mut address) => pause = RETRY_PAUSES.0,
            () = sleep(pause) => pause = (pause * 2).min(RETRY_PAUSES.1),
        }
    }
}

/// Puts notices back at the front of the queue, in their order.
fn requeue(waiting: &mut VecDeque<Notice>, batch: Vec<Notice>) {
    batch.into_iter().rev().for_each(|notice| waiting.push_front(notice));
}
