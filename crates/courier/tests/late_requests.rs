//! Late requests for the list: which of them is listened to, for how long, and what counts as an answer.

use std::time::Duration;

use bytes::Bytes;
use meadowhold::interface::{Time, SECOND};
use meadowhold_courier::late_requests::{Event, LateRequest, LateRequests, OpenRequest};
use meadowhold_courier::reader::{Limits, Reader};
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::timeout;

const LIST: &str = r#"{"index":43,"snapshot":true,"endpoints":[]}"#;
const CHANGE: &str = r#"{"index":43,"snapshot":false,"endpoints":[]}"#;
/// For a list that has come already.
const AT_ONCE: Duration = Duration::from_millis(50);

fn late(sent_at: Time) -> (LateRequest, mpsc::Sender<Event>) {
    let (out, events) = mpsc::channel(8);
    let request = OpenRequest { task: JoinSet::new(), events, sent_at };
    (LateRequest { request, reader: Reader::new(Limits::default()), list: None }, out)
}

/// The version of the list that these events make, and when it was asked for.
async fn list_of(events: Vec<Event>) -> Option<(u64, Time)> {
    let (request, out) = late(7);
    let mut requests = LateRequests::default();
    requests.add(request, SECOND);
    for event in events {
        out.send(event).await.ok()?;
    }
    let list = timeout(AT_ONCE, requests.next_list()).await.ok()?;
    Some((list.0.index, list.1))
}

#[tokio::test]
async fn only_a_whole_list_that_has_come_to_its_end_counts() {
    let text = |text: &'static str| Event::Bytes(Bytes::from_static(text.as_bytes()));
    let (first, rest) = LIST.split_at(20);
    let rows = [
        ("in parts", vec![Event::Headers, text(first), text(rest), Event::End], Some((43, 7))),
        ("cut off", vec![Event::Headers, text(first), Event::End], None),
        ("without an end", vec![Event::Headers, text(LIST)], None),
        ("changes", vec![Event::Headers, text(CHANGE), Event::End], None),
        ("two lists", vec![Event::Headers, text(LIST), text(LIST), Event::End], None),
        ("no list", vec![Event::Headers, text("]"), Event::End], None),
        ("another status", vec![Event::Status(503)], None),
        ("a break", vec![Event::Headers, Event::Failed(std::io::ErrorKind::ConnectionReset.into())], None),
    ];
    for (what, events, expected) in rows {
        assert_eq!(list_of(events).await, expected, "{what}");
    }
}

/// Guards against more than two connections to a source, and against a silent request that is in the way for good.
#[tokio::test]
async fn one_late_request_is_waited_for_until_its_time_is_up() {
    for (added_at, expected) in [(7 * SECOND / 2 - 1, 0), (7 * SECOND / 2, SECOND)] {
        let mut requests = LateRequests::default();
        let ((first, first_out), (second, second_out)) = (late(0), late(SECOND));
        requests.add(first, SECOND / 2);
        requests.add(second, added_at);
        for out in [first_out, second_out] {
            let _ = out.send(Event::Bytes(Bytes::from_static(LIST.as_bytes()))).await;
            let _ = out.send(Event::End).await;
        }
        let (_, sent_at) = timeout(AT_ONCE, requests.next_list()).await.unwrap();
        assert_eq!(sent_at, expected, "added at {added_at}");
    }
}
