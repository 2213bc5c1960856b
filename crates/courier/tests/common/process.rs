//! A courier's exchange and journal without sockets, on a folder and with a clock that the test sets.
#![allow(dead_code)]

use std::time::Duration;

use bytes::Bytes;
use meadowhold::interface::{Outcome, Time, SECOND};
use meadowhold_courier::discovery::List;
use meadowhold_courier::exchange::{Answer, Call, Clock, ConnectReport, Exchange, Notice, Offer, Order};
use meadowhold_courier::journal::{Journal, JournalContents, Verdict};
use meadowhold_settings::decode_json;
use serde_json::json;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver};

use crate::common::{open_journal, settings, Folder};

/// Initial time of the clock.
pub const START: Time = 1_700_000_000 * SECOND;

/// A courier process without sockets, on a folder.
pub struct Process {
    pub exchange: Exchange,
    orders: UnboundedReceiver<Order>,
    notices: UnboundedReceiver<Notice>,
    pub now: Time,
}

pub fn text(text: &str) -> Bytes {
    Bytes::copy_from_slice(text.as_bytes())
}

impl Process {
    pub fn start(folder: &Folder, allowance: u64, now: Time, window: Option<u64>) -> Process {
        Process::with_journal(open_journal(folder, allowance), now, window)
    }

    /// Like `start`, with an open journal. `window`: for how long a repeat of a tagged mail is dropped.
    pub fn with_journal(journal: (Journal, JournalContents), now: Time, window: Option<u64>) -> Process {
        let (order_sender, orders) = unbounded_channel();
        let (notice_sender, notices) = unbounded_channel();
        let mut settings = settings();
        if let Some(window) = window {
            settings["Profiles"][1]["DedupWindowUs"] = json!(window);
        }
        let decoded = decode_json(1, &settings).unwrap();
        let clock = Clock::still(now);
        let mut exchange = Exchange::with_clock(clock, decoded, journal, order_sender, notice_sender, None);
        // Two endpoints for each destination, so that a failing one does not delay other mails.
        let entry = |i: u64| {
            json!({"name": format!("e{i}"), "address": "127.0.0.1:9", "zone": "a", "type": "single",
                "group": i / 2, "status": "SERVING", "weight": 1000.0})
        };
        let entries: Vec<_> = (0..20).map(entry).collect();
        let list = json!({"index": 2, "snapshot": true, "endpoints": entries});
        let list: List = serde_json::from_value(list).unwrap();
        exchange.listed(&list);
        Process { exchange, orders, notices, now }
    }

    pub fn put(&mut self, id: &str, class: &str, destination: u64) -> Answer {
        self.exchange.hand_in(Offer {
            id: text(id),
            key: text("5c0f"),
            order_key: text("0000"),
            class: text(class),
            destination,
            lifetime: Duration::from_secs(4),
            body: text("hello"),
        })
    }

    pub fn advance(&mut self, time: Time) {
        self.now += time;
        self.exchange.clock = Clock::still(self.now);
    }

    pub fn calls(&mut self) -> Vec<Call> {
        self.exchange.turn();
        let orders = std::iter::from_fn(|| self.orders.try_recv().ok());
        orders.filter_map(|order| if let Order::Call(call) = order { Some(call) } else { None }).collect()
    }

    /// Advances the clock in steps of 5 ms until there is a call, for at most a second. The call is not begun yet.
    pub fn call(&mut self) -> Option<Call> {
        (0..200).find_map(|_| {
            let call = self.calls().pop();
            self.advance(if call.is_none() { 50 } else { 0 });
            call
        })
    }

    pub fn begin(&mut self, call: &Call) -> bool {
        !self.exchange.begin(call, call.mails.clone()).is_empty()
    }

    pub fn verdicts(&mut self) -> Vec<(String, Verdict)> {
        let notices = std::iter::from_fn(|| self.notices.try_recv().ok());
        notices.map(|n| (String::from_utf8(n.id.to_vec()).unwrap(), n.verdict)).collect()
    }

    /// Runs the exchange for this time and ends every connect with this outcome. Returns the ids of the mails sent and the
    /// verdicts.
    pub fn run_for(&mut self, time: Time, outcome: Outcome) -> (Vec<String>, Vec<(String, Verdict)>) {
        let (mut sent, end) = (Vec::new(), self.now + time);
        while self.now < end {
            for call in self.calls() {
                for mail in self.exchange.begin(&call, call.mails.clone()) {
                    sent.push(String::from_utf8(mail.id.to_vec()).unwrap());
                    self.exchange.connect_ended(mail.serial, ConnectReport::of(outcome));
                }
            }
            self.advance(200);
        }
        (sent, self.verdicts())
    }
}
