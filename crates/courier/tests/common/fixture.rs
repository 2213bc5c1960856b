//! An exchange without sockets: one endpoint, and the calls and notices that come out.
#![allow(dead_code)]

use std::time::Duration;

use bytes::Bytes;
use meadowhold::interface::Outcome;
use meadowhold_courier::discovery::List;
use meadowhold_courier::exchange::{Answer, Call, Clock, ConnectReport, Exchange, Notice, Offer, Order};
use meadowhold_settings::decode_json;
use serde_json::json;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver};

use crate::common::{open_journal, settings, Folder};

pub struct Fixture {
    pub exchange: Exchange,
    pub orders: UnboundedReceiver<Order>,
    pub notices: UnboundedReceiver<Notice>,
    pub folder: Folder,
}

pub fn list(status: &str, kind: &str) -> List {
    let entry = json!({"name": "e1", "address": "127.0.0.1:9", "zone": "a", "type": kind, "group": 7,
        "status": status, "weight": 1000.0});
    serde_json::from_value(json!({"index": 2, "snapshot": true, "endpoints": [entry]})).unwrap()
}

pub fn setup(kind: &str) -> Fixture {
    setup_with(kind, 3_000_000)
}

pub fn setup_with(kind: &str, allowance: u64) -> Fixture {
    start(Folder::new(), Clock::new(), kind, allowance)
}

/// A process at a time of its own clock, on a folder that an earlier one may have left.
pub fn start(folder: Folder, clock: Clock, kind: &str, allowance: u64) -> Fixture {
    let (orders_in, orders) = unbounded_channel();
    let (notices_in, notices) = unbounded_channel();
    let decoded = decode_json(1, &settings()).unwrap();
    let journal = open_journal(&folder, allowance);
    let mut exchange = Exchange::with_clock(clock, decoded, journal, orders_in, notices_in, None);
    exchange.listed(&list("SERVING", kind));
    Fixture { exchange, orders, notices, folder }
}

impl Fixture {
    pub fn put(&mut self, id: &str, class: &str, body: usize) -> Answer {
        let text = |text: &str| Bytes::copy_from_slice(text.as_bytes());
        self.exchange.hand_in(Offer {
            id: text(id),
            key: Bytes::new(),
            order_key: text("0000"),
            class: text(class),
            destination: 7,
            lifetime: Duration::from_secs(4),
            body: vec![b'x'; body].into(),
        })
    }

    pub fn calls(&mut self) -> Vec<Call> {
        self.exchange.turn();
        let mut calls = Vec::new();
        while let Ok(order) = self.orders.try_recv() {
            calls.extend(if let Order::Call(call) = order { Some(call) } else { None });
        }
        calls
    }

    pub fn call(&mut self) -> Call {
        let mut calls = self.calls();
        assert_eq!(calls.len(), 1);
        calls.remove(0)
    }
}

pub fn report(outcome: Outcome) -> ConnectReport {
    let wait = Duration::from_secs(if outcome == Outcome::Refused { 2 } else { 0 });
    ConnectReport { retry_after: wait, ..ConnectReport::of(outcome) }
}

pub fn serial(answer: Answer) -> u64 {
    match answer {
        Answer::Taken(serial) => serial,
        other => panic!("{other:?}"),
    }
}
