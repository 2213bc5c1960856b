//! Time limits in a process that is held up.

use std::thread;
use std::time::Duration;

use meadowhold_courier::patience::wait_for;
use tokio::sync::oneshot;
use tokio::task::{spawn_local, yield_now, LocalSet};
use tokio::time::{sleep, Instant};

const LIMIT: Duration = Duration::from_millis(50);

fn on_one_thread<T>(test: impl std::future::Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test)
}

/// Guards against an answer that has come but counts as missing, as this process did not look in time.
#[test]
fn an_answer_that_came_while_the_process_stood_still_counts() {
    let answer = on_one_thread(async {
        let (sender, answer) = oneshot::channel();
        spawn_local(async move {
            sleep(Duration::from_millis(10)).await;
            // The answer is there; the task that hands it on runs behind the time limit.
            thread::sleep(2 * LIMIT);
            yield_now().await;
            let _ = sender.send(7);
        });
        wait_for(LIMIT, answer).await
    });
    assert_eq!(answer.unwrap(), Ok(7));
}

/// Guards against a far side that is blamed for the time in which this process stood still.
#[test]
fn a_process_that_stood_still_waits_as_much_longer() {
    let answer = on_one_thread(async {
        spawn_local(async { thread::sleep(2 * LIMIT) });
        wait_for(LIMIT, sleep(2 * LIMIT + LIMIT / 2)).await
    });
    assert!(answer.is_ok());
}

#[test]
fn silence_ends_at_the_limit() {
    let waited = on_one_thread(async {
        let start = Instant::now();
        assert!(wait_for(LIMIT, std::future::pending::<()>()).await.is_err());
        start.elapsed()
    });
    assert!(waited >= LIMIT, "{waited:?}");
}
