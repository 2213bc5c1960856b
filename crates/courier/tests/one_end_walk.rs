//! Walks through all orders of what can happen to a message, up to a depth, and through longer ones drawn from seeds. An
//! outside observer checks that the message has one end and is not called behind it.

mod common;
#[path = "common/failing_files.rs"]
mod failing_files;

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use common::{settings, Folder};
use failing_files::FailingFileSystem;
use meadowhold::interface::{Outcome, Time, SECOND};
use meadowhold::response_order::Claim;
use meadowhold_courier::discovery::List;
use meadowhold_courier::exchange::{
    Answer, Clock, ConnectReport, Exchange, Notice, Offer, Order, RevokeReason,
};
use meadowhold_courier::journal::{Journal, Verdict};
use meadowhold_settings::decode_json;
use serde_json::json;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver};

const START: Time = 1_700_000_000 * SECOND;
const LIFETIME: Duration = Duration::from_secs(4);
const ALLOWANCE: u64 = 3_000_000;
const CLASSES: [&str; 3] = ["again", "tagged", "once"];
const EIO: i32 = 5;
/// All orders of so many steps are walked through.
const DEPTH: usize = 4;
const DRAWN_WALKS: u64 = 60;
const DRAWN_STEPS: usize = 16;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// A copy of the request comes.
    Copy,
    /// A turn, and the begin of the calls that it draws.
    Turn,
    Relayed,
    Over,
    Silent,
    Refused,
    /// The answer may be another call's.
    HeldDelivered,
    HeldOver,
    HeldNeverRan,
    Confirm,
    Revoke,
    /// A call that had timed out is answered after all.
    RelayedLate,
    OverLate,
    NoticeAccepted,
    Wait,
    DiskFails,
    DiskWorks,
    Kill,
}

const STEPS: [Step; 18] = [
    Step::Copy,
    Step::Turn,
    Step::Relayed,
    Step::Over,
    Step::Silent,
    Step::Refused,
    Step::HeldDelivered,
    Step::HeldOver,
    Step::HeldNeverRan,
    Step::Confirm,
    Step::Revoke,
    Step::RelayedLate,
    Step::OverLate,
    Step::NoticeAccepted,
    Step::Wait,
    Step::DiskFails,
    Step::DiskWorks,
    Step::Kill,
];

/// What is seen from outside.
#[derive(Default)]
struct Observer {
    is_delivered: bool,
    is_over: bool,
    notices: Vec<Verdict>,
    /// Calls that may have run.
    effects: usize,
}

struct World {
    class: &'static str,
    folder: Folder,
    files: Rc<FailingFileSystem>,
    exchange: Exchange,
    orders: UnboundedReceiver<Order>,
    notices: UnboundedReceiver<Notice>,
    now: Time,
    serial: u64,
    is_out: bool,
    has_timed_out: bool,
    is_disk_failing: bool,
    /// The folder has failed, and no turn has come since that could write what is missing.
    is_record_missing: bool,
    was_killed: bool,
    unacknowledged: Vec<u64>,
    seen: Observer,
}

fn open(
    folder: &Folder,
    files: &Rc<FailingFileSystem>,
    now: Time,
) -> (Exchange, UnboundedReceiver<Order>, UnboundedReceiver<Notice>) {
    let (orders_in, orders) = unbounded_channel();
    let (notices_in, notices) = unbounded_channel();
    let journal = Journal::open_with(files.clone(), &folder.path, ALLOWANCE).unwrap();
    let decoded = decode_json(1, &settings()).unwrap();
    let mut exchange = Exchange::with_clock(Clock::still(now), decoded, journal, orders_in, notices_in, None);
    let entry = json!({"name": "e1", "address": "127.0.0.1:9", "zone": "a", "type": "single", "group": 7,
        "status": "SERVING", "weight": 1000.0});
    let list: List =
        serde_json::from_value(json!({"index": 2, "snapshot": true, "endpoints": [entry]})).unwrap();
    exchange.listed(&list);
    (exchange, orders, notices)
}

impl World {
    /// A courier that has taken a message on.
    fn new(class: &'static str) -> World {
        let folder = Folder::new();
        let files = FailingFileSystem::new(0, 0, EIO, true);
        let (exchange, orders, notices) = open(&folder, &files, START);
        let mut world = World {
            class,
            folder,
            files,
            exchange,
            orders,
            notices,
            now: START,
            serial: 0,
            is_out: false,
            has_timed_out: false,
            is_disk_failing: false,
            is_record_missing: false,
            was_killed: false,
            unacknowledged: Vec::new(),
            seen: Observer::default(),
        };
        let Answer::Taken(serial) = world.put() else { panic!("not taken on") };
        world.serial = serial;
        world
    }

    fn put(&mut self) -> Answer {
        let text = |text: &str| Bytes::copy_from_slice(text.as_bytes());
        self.exchange.hand_in(Offer {
            id: text("01"),
            key: text("5c0f"),
            order_key: text("0000"),
            class: text(self.class),
            destination: 7,
            lifetime: LIFETIME,
            body: text("x"),
        })
    }

    fn is_possible(&self, step: Step) -> bool {
        let is_held = self.exchange.is_held(self.serial);
        match step {
            Step::Relayed | Step::Over | Step::Silent | Step::Refused => self.is_out,
            Step::HeldDelivered | Step::HeldOver | Step::HeldNeverRan => self.is_out,
            Step::Confirm | Step::Revoke => is_held,
            Step::RelayedLate | Step::OverLate => self.has_timed_out,
            Step::NoticeAccepted => !self.unacknowledged.is_empty(),
            Step::DiskFails => !self.is_disk_failing,
            Step::DiskWorks => self.is_disk_failing,
            // The journal tells the next process of ended messages, and no further one.
            Step::Kill => !self.was_killed,
            Step::Copy | Step::Turn | Step::Wait => true,
        }
    }

    fn end(&mut self, outcome: Outcome, finished: bool, claim: Option<Claim>) {
        self.is_out = false;
        let report = ConnectReport { finished, ..ConnectReport::of(outcome) };
        match claim {
            Some(claim) => self.exchange.connect_ended_provisionally(self.serial, report, claim),
            None => self.exchange.connect_ended(self.serial, report),
        }
    }

    fn take(&mut self, step: Step) {
        match step {
            Step::Copy => {
                let answer = self.put();
                assert!(!matches!(answer, Answer::Taken(_)), "a copy is taken on");
            }
            Step::Turn => self.turn(),
            Step::Relayed => {
                self.end(Outcome::Relayed, true, None);
                self.seen.is_delivered = true;
            }
            Step::Over => {
                self.end(Outcome::Unsent, true, None);
                self.seen.is_over = true;
            }
            Step::Silent => {
                self.end(Outcome::Silent, false, None);
                self.has_timed_out = true;
            }
            Step::Refused => self.end(Outcome::Refused, false, None),
            Step::HeldDelivered => self.end(Outcome::Relayed, true, Some(Claim::Delivered)),
            Step::HeldOver => {
                self.end(Outcome::Unsent, true, Some(Claim::Over));
                self.seen.is_over = true;
            }
            Step::HeldNeverRan => self.end(Outcome::Refused, false, Some(Claim::NeverRan)),
            Step::Confirm => self.exchange.confirm(self.serial),
            Step::Revoke => self.exchange.revoke(self.serial, RevokeReason::Unproven),
            Step::RelayedLate => self.exchange.relayed_late(self.serial),
            Step::OverLate => {
                self.exchange.over_late(self.serial);
                self.seen.is_over = true;
            }
            Step::NoticeAccepted => {
                self.unacknowledged.clear();
                self.exchange.notice_accepted(self.serial);
            }
            Step::Wait => self.now += SECOND / 2,
            Step::DiskFails => self.files.fail(),
            Step::DiskWorks => self.files.repair(),
            Step::Kill => self.kill(),
        }
        self.is_disk_failing = match step {
            Step::DiskFails => true,
            Step::DiskWorks | Step::Kill => false,
            _ => self.is_disk_failing,
        };
        self.is_record_missing = match step {
            Step::DiskFails => true,
            Step::Turn => self.is_disk_failing,
            Step::Kill => false,
            _ => self.is_record_missing,
        };
        self.exchange.clock = Clock::still(self.now);
    }

    fn turn(&mut self) {
        self.now += SECOND / 20;
        self.exchange.clock = Clock::still(self.now);
        self.exchange.turn();
        while let Ok(notice) = self.notices.try_recv() {
            assert!(!self.seen.is_delivered, "a notice behind the delivery");
            assert!(self.seen.notices.iter().all(|seen| same(*seen, notice.verdict)), "two different ends");
            self.seen.notices.push(notice.verdict);
            self.unacknowledged.push(notice.serial);
        }
        while let Ok(order) = self.orders.try_recv() {
            let Order::Call(call) = order else { continue };
            if self.exchange.begin(&call, call.mails.clone()).is_empty() {
                continue;
            }
            assert!(!self.is_out, "two calls are out");
            assert!(!self.seen.is_delivered && self.seen.notices.is_empty(), "a call behind the end");
            assert!(!self.seen.is_over, "a call of a message that is over");
            assert!(self.class != "once" || self.seen.effects == 0, "a second effect");
            self.is_out = true;
        }
        assert_eq!((self.exchange.counts.broken, self.exchange.counts.ended_twice), (0, 0));
    }

    /// The next process takes the folder over, 0.6 s later.
    fn kill(&mut self) {
        let next = Folder::new();
        std::fs::copy(self.folder.path.join("journal"), next.path.join("journal")).unwrap();
        self.now += SECOND * 6 / 10;
        self.files = FailingFileSystem::new(0, 0, EIO, true);
        (self.exchange, self.orders, self.notices) = open(&next, &self.files, self.now);
        self.folder = next;
        // What the folder could not keep, the next process cannot know.
        if self.is_record_missing {
            (self.seen.is_delivered, self.seen.is_over) = (false, false);
        }
        (self.is_out, self.has_timed_out, self.was_killed) = (false, false, true);
        self.unacknowledged.clear();
    }

    /// The folder works again, no call is answered any more, and the message's time passes.
    fn settle(&mut self) {
        self.files.repair();
        if self.is_out {
            self.end(Outcome::Silent, false, None);
        }
        for _ in 0..4 {
            self.turn();
            if self.is_out {
                self.end(Outcome::Silent, false, None);
            }
            self.now += 2 * SECOND;
        }
        let is_ended = self.exchange.in_hand() == 0 || !self.seen.notices.is_empty();
        assert!(is_ended, "no end");
    }
}

/// Whether two notices say the same; the time to come back may differ.
fn same(one: Verdict, other: Verdict) -> bool {
    (one == Verdict::Dead) == (other == Verdict::Dead)
}

/// Takes the steps; false if one of them is not possible.
fn walk(class: &'static str, steps: &[Step]) -> bool {
    let mut world = World::new(class);
    for &step in steps {
        if !world.is_possible(step) {
            return false;
        }
        if matches!(step, Step::Silent | Step::HeldDelivered | Step::Relayed)
            || step == Step::Kill && world.is_out
        {
            world.seen.effects += 1;
        }
        world.take(step);
    }
    world.settle();
    true
}

fn walk_all(class: &'static str, steps: &mut Vec<Step>, walked: &mut usize) {
    for step in STEPS {
        steps.push(step);
        println!("{class}: {steps:?}"); // the last line is shown on failure
        if walk(class, steps) {
            *walked += 1;
            if steps.len() < DEPTH {
                walk_all(class, steps, walked);
            }
        }
        steps.pop();
    }
}

#[test]
fn a_message_has_one_end_in_all_orders_of_four_steps() {
    std::thread::scope(|scope| {
        for class in CLASSES {
            scope.spawn(move || {
                let mut walked = 0;
                walk_all(class, &mut Vec::new(), &mut walked);
                println!("{class}: {walked} orders");
                assert!(walked > 500, "{walked}");
            });
        }
    });
}

#[test]
fn a_message_has_one_end_in_long_drawn_orders() {
    for seed in 0..DRAWN_WALKS {
        let mut rng = fastrand::Rng::with_seed(seed);
        let class = CLASSES[rng.usize(..CLASSES.len())];
        let mut world = World::new(class);
        let mut steps = Vec::new();
        for _ in 0..DRAWN_STEPS {
            let step = STEPS[rng.usize(..STEPS.len())];
            if !world.is_possible(step) {
                continue;
            }
            steps.push(step);
            if matches!(step, Step::Silent | Step::HeldDelivered | Step::Relayed)
                || step == Step::Kill && world.is_out
            {
                world.seen.effects += 1;
            }
            println!("seed {seed}, {class}: {steps:?}"); // the last line is shown on failure
            world.take(step);
        }
        world.settle();
    }
}
