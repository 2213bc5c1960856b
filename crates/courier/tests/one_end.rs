//! A message has one end: nothing that is still under way calls it again or ends it a second time.

mod common;

use std::thread;
use std::time::{Duration, Instant};

use common::{put, wait_until, Courier, Endpoint, Platform, Reply, OK};

const LIFETIME: &str = "d=4000,k=5c0f";
const REPEATABLE: [&str; 2] = ["again", "tagged"];
const EFFECTS: [&str; 3] = ["again", "tagged", "once"];
const OVER: Reply = Reply::Status(410, "");
/// Longer than any outcome stays provisional here, and than any pause between two calls.
const SETTLING_TIME: Duration = Duration::from_millis(1500);

fn courier_at(endpoint: &Endpoint) -> (Platform, Courier) {
    let platform = Platform::new();
    platform.set_entry("e1", endpoint.address, "single", 7, "SERVING");
    let courier = Courier::start(&platform, |_| {});
    (platform, courier)
}

fn calls_of(endpoint: &Endpoint, id: &str) -> usize {
    endpoint.ids().iter().filter(|called| *called == id).count()
}

fn notices_of(platform: &Platform, id: &str) -> Vec<String> {
    platform.notices().into_iter().filter(|notice| notice.0 == id).map(|notice| notice.1).collect()
}

fn in_each_effect(effects: &'static [&'static str], run: impl Fn(&'static str) + Sync) {
    let run = &run;
    thread::scope(|scope| effects.iter().for_each(|effect| drop(scope.spawn(move || run(effect)))));
}

/// Two messages that are over go out on one connection, which the endpoint closes behind its second answer.
fn two_that_are_over(class: &str, second: Reply) -> (Platform, Endpoint, Courier) {
    let endpoint = Endpoint::new(&[OVER, second]);
    let (platform, courier) = courier_at(&endpoint);
    assert_eq!(courier.client().put("a1", class, LIFETIME), "+OK");
    wait_until("the first answer", || courier.owes_nothing());
    assert_eq!(courier.client().put("b2", class, LIFETIME), "+OK");
    wait_until("the second call", || endpoint.calls().len() > 1);
    (platform, endpoint, courier)
}

#[test]
fn a_message_that_is_over_is_not_called_again_when_its_connection_is_closed() {
    in_each_effect(&REPEATABLE, |class| {
        let (platform, endpoint, courier) = two_that_are_over(class, Reply::ThenClose(Box::new(OVER)));
        wait_until("the end", || courier.owes_nothing());
        thread::sleep(SETTLING_TIME);
        assert_eq!((calls_of(&endpoint, "a1"), calls_of(&endpoint, "b2")), (1, 1), "{class}");
        assert_eq!(notices_of(&platform, "a1"), [""; 0], "{class}: nothing is owed");
    });
}

#[test]
fn a_message_that_is_over_is_not_called_again_when_its_endpoint_hangs() {
    in_each_effect(&REPEATABLE, |class| {
        let endpoint = Endpoint::new(&[OVER, OVER, Reply::NoAnswer, Reply::NoAnswer, Reply::NoAnswer]);
        let (_platform, courier) = courier_at(&endpoint);
        let ids = ["a1", "b2", "c3", "d4"];
        for (number, id) in ids.into_iter().enumerate() {
            assert_eq!(courier.client().put(id, class, "d=2000,k=5c0f"), "+OK");
            wait_until("the call", || endpoint.calls().len() > number);
            thread::sleep(Duration::from_millis(20));
        }
        wait_until("the ends", || courier.owes_nothing());
        assert_eq!((calls_of(&endpoint, "a1"), calls_of(&endpoint, "b2")), (1, 1), "{class}");
    });
}

#[test]
fn a_message_that_is_over_is_not_called_by_the_next_process() {
    in_each_effect(&REPEATABLE, |class| {
        let (_platform, endpoint, mut courier) = two_that_are_over(class, OVER);
        thread::sleep(Duration::from_millis(30));
        courier.kill();
        courier.restart();
        wait_until("the end", || courier.owes_nothing());
        assert_eq!(calls_of(&endpoint, "b2"), 1, "{class}");
    });
}

#[test]
fn a_refused_request_that_comes_again_is_refused_again() {
    let endpoint = Endpoint::new(&[Reply::Delayed(600, Box::new(OK))]);
    let platform = Platform::new();
    platform.set_entry("e1", endpoint.address, "single", 7, "SERVING");
    let courier = Courier::start(&platform, |config| config["settings"]["Limits"]["MaxOpen"] = 2.into());
    assert_eq!(courier.client().put("a1", "again", LIFETIME), "+OK");
    wait_until("the call", || calls_of(&endpoint, "a1") == 1);
    let request = put("0000000000000000", "b2", "again", LIFETIME, b"hello");
    assert!(courier.client().request(&request).starts_with("-BUSY"));
    wait_until("room", || courier.owes_nothing());
    assert!(courier.client().request(&request).starts_with("-BUSY"), "the same request, the same answer");
    assert_eq!(courier.client().put("c3", "again", LIFETIME), "+OK", "another one is taken on");
    wait_until("the end", || courier.owes_nothing());
    assert_eq!(calls_of(&endpoint, "b2"), 0);
}

#[test]
fn a_request_that_comes_again_behind_its_delivery_is_not_called_again() {
    in_each_effect(&EFFECTS, |class| {
        let endpoint = Endpoint::new(&[]);
        let (_platform, courier) = courier_at(&endpoint);
        for _ in 0..3 {
            assert_eq!(courier.client().put("a1", class, LIFETIME), "+OK", "{class}");
            wait_until("the delivery", || courier.owes_nothing());
        }
        assert_eq!(calls_of(&endpoint, "a1"), 1, "{class}");
    });
}

#[test]
fn a_request_that_comes_again_behind_its_delivery_and_a_restart_is_not_called_again() {
    in_each_effect(&EFFECTS, |class| {
        let endpoint = Endpoint::new(&[]);
        let (_platform, mut courier) = courier_at(&endpoint);
        assert_eq!(courier.client().put("a1", class, LIFETIME), "+OK", "{class}");
        wait_until("the delivery", || courier.owes_nothing());
        courier.kill();
        courier.restart();
        assert_eq!(courier.client().put("a1", class, LIFETIME), "+OK", "{class}");
        wait_until("the delivery", || courier.owes_nothing());
        assert_eq!(calls_of(&endpoint, "a1"), 1, "{class}");
    });
}

#[test]
fn a_request_that_comes_again_behind_its_notice_is_refused() {
    let errors = || Reply::Status(500, "");
    in_each_effect(&EFFECTS, |class| {
        let endpoint = Endpoint::new(&[errors(), errors(), errors(), errors(), errors()]);
        let (platform, courier) = courier_at(&endpoint);
        assert_eq!(courier.client().put("a1", class, LIFETIME), "+OK", "{class}");
        wait_until("the notice", || courier.owes_nothing());
        let (calls, result) = (calls_of(&endpoint, "a1"), notices_of(&platform, "a1"));
        assert_eq!(result.len(), 1, "{class}");
        let answer = courier.client().put("a1", class, LIFETIME);
        let refusal = if result[0] == "bounced" { "-BUSY" } else { "-ERR" };
        assert!(answer.starts_with(refusal), "{class}, {result:?}: {answer}");
        assert_eq!(calls_of(&endpoint, "a1"), calls, "{class}");
    });
}

/// The decisions give a message up whose call could not be recorded, and the record of that cannot be written either.
#[test]
fn a_message_that_was_told_as_failed_is_not_called_by_the_next_process() {
    let endpoint = Endpoint::new(&[]);
    let platform = Platform::new();
    platform.set_entry("e1", endpoint.address, "single", 7, "DRAINING");
    let mut courier = Courier::start_with_failing_disk(&platform);
    assert_eq!(courier.client().put("a1", "again", "d=6000"), "+OK");
    courier.fail_writes(true);
    platform.set_entry("e1", endpoint.address, "single", 7, "SERVING");
    let begin = Instant::now();
    while notices_of(&platform, "a1").is_empty() && begin.elapsed() < SETTLING_TIME {
        thread::sleep(Duration::from_millis(5));
    }
    courier.kill();
    courier.restart();
    wait_until("the end", || courier.owes_nothing());
    let (calls, notices) = (calls_of(&endpoint, "a1"), notices_of(&platform, "a1").len());
    assert_eq!(calls + notices, 1, "{calls} calls, {notices} notices");
}

/// The folder fails for a moment around the end; the end is told once it is on file.
#[test]
fn an_end_that_cannot_be_recorded_is_told_once_the_folder_can_be_written() {
    let endpoint = Endpoint::new(&[]);
    let platform = Platform::new();
    platform.set_entry("e1", endpoint.address, "single", 7, "DRAINING");
    let courier = Courier::start_with_failing_disk(&platform);
    assert_eq!(courier.client().put("a1", "again", "d=6000"), "+OK");
    courier.fail_writes(true);
    platform.set_entry("e1", endpoint.address, "single", 7, "SERVING");
    thread::sleep(Duration::from_millis(500));
    courier.fail_writes(false);
    wait_until("the end", || courier.owes_nothing());
    let (calls, notices) = (calls_of(&endpoint, "a1"), notices_of(&platform, "a1").len());
    assert_eq!(calls + notices, 1, "{calls} calls, {notices} notices");
}
