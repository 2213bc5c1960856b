//! Time limits for other processes that this process's own delays do not use up.

use std::future::Future;
use std::pin::pin;
use std::time::Duration;

use tokio::task::yield_now;
use tokio::time::{error::Elapsed, timeout, Instant};

/// A time limit that is found to have passed this much too late was missed by this process.
const OWN_DELAY: Duration = Duration::from_millis(5);
/// Turns of the event loop in which an answer that has come is taken through the tasks that it needs.
const LAST_LOOKS: usize = 4;

/// Waits for a future for a time. Where the time is found to have passed, what has come meanwhile is looked at once more; and
/// where this process was late by itself, the future gets that time in addition, once.
///
/// # Errors
/// If the time is over.
pub async fn wait_for<F: Future>(limit: Duration, future: F) -> Result<F::Output, Elapsed> {
    let mut future = pin!(future);
    let due = Instant::now() + limit;
    let first = timeout(limit, &mut future).await;
    if first.is_ok() {
        return first;
    }
    for _ in 0..LAST_LOOKS {
        yield_now().await;
        if let Ok(output) = timeout(Duration::ZERO, &mut future).await {
            return Ok(output);
        }
    }
    let late_by = due.elapsed();
    if late_by < OWN_DELAY {
        return first;
    }
    log::debug!("a time limit was looked at {} ms late; the answer has as much longer", late_by.as_millis());
    timeout(late_by.min(limit), future).await
}
