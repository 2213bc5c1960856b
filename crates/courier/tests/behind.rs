//! Mails that may not go to a failed or cheaper endpoint go to another one that they may go to.

mod common;

use std::time::Duration;

use bytes::Bytes;
use common::{settings, Folder};
use meadowhold::interface::{Outcome, Time, SECOND};
use meadowhold_courier::discovery::List;
use meadowhold_courier::exchange::{Answer, Clock, ConnectReport, Exchange, Notice, Offer, Order};
use meadowhold_courier::journal::Journal;
use meadowhold_settings::decode_json;
use serde_json::json;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver};

const START: Time = 1_700_000_000 * SECOND;

struct Fixture {
    exchange: Exchange,
    orders: UnboundedReceiver<Order>,
    notices: UnboundedReceiver<Notice>,
    now: Time,
    _folder: Folder,
}

/// Two endpoints of one destination, one in each zone.
fn setup(seed: u64) -> Fixture {
    let (folder, (orders_in, orders), (notices_in, notices)) =
        (Folder::new(), unbounded_channel(), unbounded_channel());
    let mut settings = settings();
    settings["Profiles"][1]["Group"] = json!("zone");
    let decoded = decode_json(seed, &settings).unwrap();
    let journal = Journal::open(&folder.path, 3_000_000).unwrap();
    let clock = Clock::still(START);
    let mut exchange = Exchange::with_clock(clock, decoded, journal, orders_in, notices_in, None);
    let entry = |name: &str, zone: &str| {
        json!({"name": name, "address": "127.0.0.1:9", "zone": zone, "type": "single", "group": 7,
            "status": "SERVING", "weight": 1000.0})
    };
    let list = json!({"index": 2, "snapshot": true, "endpoints": [entry("e0", "a"), entry("e1", "b")]});
    exchange.listed(&serde_json::from_value::<List>(list).unwrap());
    Fixture { exchange, orders, notices, now: START, _folder: folder }
}

impl Fixture {
    fn put(&mut self, id: usize, class: &str) {
        let text = |text: &str| Bytes::copy_from_slice(text.as_bytes());
        let answer = self.exchange.hand_in(Offer {
            id: text(&id.to_string()),
            key: text("5c0f"),
            order_key: text("0000"),
            class: text(class),
            destination: 7,
            lifetime: Duration::from_secs(4),
            body: text("hello"),
        });
        assert!(matches!(answer, Answer::Taken(_)), "{answer:?}");
    }

    /// Runs a turn and advances by 10 ms. Returns the endpoints that were called, each with the given
    /// outcome.
    fn turn(&mut self, outcome: impl Fn(usize) -> Outcome) -> Vec<usize> {
        self.exchange.turn();
        let mut called = Vec::new();
        while let Ok(order) = self.orders.try_recv() {
            let Order::Call(call) = order else { continue };
            for mail in self.exchange.begin(&call, call.mails.clone()) {
                called.push(call.endpoint);
                self.exchange.connect_ended(mail.serial, ConnectReport::of(outcome(call.endpoint)));
            }
        }
        self.now += 100;
        self.exchange.clock = Clock::still(self.now);
        called
    }
}

#[test]
fn once_only_mails_do_not_wait_for_the_probe_of_a_failed_endpoint() {
    for seed in 0..10 {
        let mut fixture = setup(seed);
        let outcome = |endpoint| if endpoint == 0 { Outcome::Unreached } else { Outcome::Relayed };
        for i in 0..200 {
            if i % 2 == 0 {
                fixture.put(i, "again");
            }
            fixture.turn(outcome);
        }
        // Some of these mails may have used up their connects.
        while fixture.notices.try_recv().is_ok() {}
        // From here on only once-only mails come; the first endpoint is known to be down, and its next probe
        // is due.
        let mut relayed = 0;
        for i in 200..1200 {
            if i % 10 == 0 {
                fixture.put(i, "once");
            }
            relayed += fixture.turn(outcome).iter().filter(|&&endpoint| endpoint == 1).count();
        }
        assert!(relayed >= 99, "seed {seed}: the healthy endpoint took {relayed} of 100");
        assert!(fixture.notices.try_recv().is_err(), "seed {seed}: a mail was given up");
    }
}

#[test]
fn a_repeat_goes_to_the_zone_that_knows_its_key_though_another_endpoint_is_cheaper() {
    for seed in 0..20 {
        let mut fixture = setup(seed);
        fixture.put(1, "tagged");
        let mut called = Vec::new();
        for i in 0..300 {
            called.extend(fixture.turn(|_| if i == 0 { Outcome::Error } else { Outcome::Relayed }));
        }
        assert!(matches!(called[..], [a, b] if a == b), "seed {seed}: {called:?}");
        assert_eq!(fixture.exchange.in_hand(), 0);
    }
}
