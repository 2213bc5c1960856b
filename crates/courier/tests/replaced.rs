//! Endpoints that are replaced again and again under new names: the state kept for removed ones does not
//! grow.

mod common;
#[path = "common/process.rs"]
mod process;

use common::Folder;
use meadowhold::interface::{Outcome, SECOND};
use meadowhold_courier::discovery::{List, Listener};
use meadowhold_courier::entries::Update;
use meadowhold_courier::exchange::Answer;
use process::{Process, START};
use serde_json::json;

const REPLACEMENTS: u64 = 3000;

/// Memory would grow with each replacement if the names or indices of removed endpoints were kept.
#[test]
fn names_and_indices_of_removed_endpoints_are_released() {
    let folder = Folder::new();
    let mut process = Process::start(&folder, 3_000_000, START, None);
    let held = process.exchange.count_after(&Update::default());
    let mut largest = 0;
    for i in 0..REPLACEMENTS {
        let entry = |name: u64, status: &str| {
            json!({"name": format!("e{name}"), "address": "127.0.0.1:9", "zone": "a", "type": "single",
                "group": name % 20 / 2, "status": status, "weight": 1000.0})
        };
        let changes = [entry(i, "DELETED"), entry(i + 20, "SERVING")];
        let list = json!({"index": i + 3, "snapshot": false, "endpoints": changes});
        process.exchange.listed(&serde_json::from_value::<List>(list).unwrap());
        assert!(matches!(process.put(&format!("m{i}"), "again", i % 10), Answer::Taken(_)));
        let (call, _) = (process.call().unwrap(), process.advance(10));
        largest = largest.max(call.endpoint);
        process.begin(&call);
        let serial = call.mails[0].serial;
        process
            .exchange
            .connect_ended(serial, meadowhold_courier::exchange::ConnectReport::of(Outcome::Relayed));
        process.advance(SECOND / 100);
        process.calls();
    }
    assert_eq!(process.exchange.count_after(&Update::default()), held);
    assert!(largest < 64, "index {largest} in use with {held} endpoints listed");
    assert_eq!(process.exchange.audit(), Vec::<String>::new());
}
