//! Clients that leave while their requests are unread, and ids that come again behind them: what a client that has gone sent
//! is not called, and no id runs twice.

mod common;

use std::collections::HashMap;
use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::thread;
use std::time::Duration;

use common::{put, wait_until, Client, Courier, Endpoint, Platform, Reply, OK};

use serde_json::json;
use socket2::SockRef;

const REQUESTS: usize = 200;
/// Time in which a message that was taken on would have been called.
const CALL_TIME: Duration = Duration::from_millis(700);
const ANSWERS: usize = 4096;
/// More refusals than the courier remembers.
const REFUSALS: usize = 9000;

fn requests(prefix: &str) -> Vec<u8> {
    (0..REQUESTS).flat_map(|i| put("0", &format!("{prefix}{i}"), "once", "d=2000", b"hello")).collect()
}

fn courier_with(endpoint: &Endpoint, platform: &Platform) -> Courier {
    platform.set_entry("e0", endpoint.address, "single", 7, "SERVING");
    Courier::start(platform, |config| config["settings"]["Limits"]["MaxOpen"] = json!(1000))
}

/// Sends bytes to a courier that reads nothing meanwhile, and leaves; the courier then goes on.
fn send_and_leave(courier: &Courier, bytes: &[u8], leave: fn(TcpStream)) {
    let mut client = TcpStream::connect(courier.listen).unwrap();
    // The connection is accepted and waits for its first byte.
    thread::sleep(Duration::from_millis(50));
    courier.stop();
    client.write_all(bytes).unwrap();
    leave(client);
    thread::sleep(Duration::from_millis(20));
    courier.signal("-CONT");
}

fn close(client: TcpStream) {
    drop(client);
}

fn reset(client: TcpStream) {
    SockRef::from(&client).set_linger(Some(Duration::ZERO)).unwrap();
}

/// Guards against calls for requests that were unread when their client left.
#[test]
fn requests_that_were_unread_when_their_client_left_are_not_called() {
    for (what, leave) in [("close", close as fn(TcpStream)), ("reset", reset)] {
        let (platform, endpoint) = (Platform::new(), Endpoint::new(&vec![OK; ANSWERS]));
        let courier = courier_with(&endpoint, &platform);
        send_and_leave(&courier, &requests("a"), leave);
        thread::sleep(CALL_TIME);
        assert_eq!(endpoint.ids().len(), 0, "{what}: of {REQUESTS} requests");
        assert!(courier.owes_nothing(), "{what}: {}", courier.owed());
    }
}

/// Guards against answers that a client does not get which has only ended its sending: each request gets one, and each
/// message that was taken on its end.
#[test]
fn a_client_that_has_ended_its_sending_gets_all_its_answers() {
    let (platform, endpoint) = (Platform::new(), Endpoint::new(&vec![OK; ANSWERS]));
    let courier = courier_with(&endpoint, &platform);
    let mut client = courier.client();
    thread::sleep(Duration::from_millis(50));
    courier.stop();
    client.stream.get_mut().write_all(&requests("a")).unwrap();
    client.stream.get_mut().write_all(b"PING\r\n").unwrap();
    client.stream.get_mut().shutdown(Shutdown::Write).unwrap();
    courier.signal("-CONT");
    let answers: Vec<String> = (0..REQUESTS).map(|_| client.read_line()).collect();
    let taken = answers.iter().filter(|answer| *answer == "+OK").count();
    let refused = answers.iter().filter(|answer| *answer == "-BUSY").count();
    assert_eq!(taken + refused, REQUESTS, "{answers:?}");
    assert_eq!(client.read_line(), "+PONG");
    wait_until("the end of each message", || endpoint.ids().len() == taken && courier.owes_nothing());
}

/// Guards against an id that runs twice when it comes again, on another connection, behind a client that has left.
#[test]
fn an_id_that_comes_again_behind_its_clients_leaving_runs_once() {
    for (what, leave) in [("close", close as fn(TcpStream)), ("reset", reset)] {
        for pause_ms in [0, 1, 20, 300] {
            let (platform, endpoint) = (Platform::new(), Endpoint::new(&vec![OK; ANSWERS]));
            let courier = courier_with(&endpoint, &platform);
            send_and_leave(&courier, &requests("a"), leave);
            thread::sleep(Duration::from_millis(pause_ms));
            let mut again = courier.client();
            again.stream.get_mut().write_all(&requests("a")).unwrap();
            let answers: Vec<String> = (0..REQUESTS).map(|_| again.read_line()).collect();
            thread::sleep(CALL_TIME);
            let mut calls: HashMap<String, usize> = HashMap::new();
            endpoint.ids().into_iter().for_each(|id| *calls.entry(id).or_default() += 1);
            let twice: Vec<_> = calls.iter().filter(|(_, calls)| **calls > 1).collect();
            assert!(twice.is_empty(), "{what}, {pause_ms} ms: {twice:?}");
            for (number, answer) in answers.iter().enumerate() {
                let called = calls.contains_key(&format!("a{number}"));
                assert_eq!(answer == "+OK", called, "{what}, {pause_ms} ms: a{number} got {answer}");
            }
        }
    }
}

/// Guards against refusals that push ended messages out of what is remembered for copies of their requests.
#[test]
fn a_copy_of_a_delivered_request_behind_thousands_of_refusals_is_not_called_again() {
    let (platform, endpoint) = (Platform::new(), Endpoint::new(&vec![OK; ANSWERS]));
    let silent = Endpoint::new(&vec![Reply::NoAnswer; ANSWERS]);
    platform.set_entry("e0", endpoint.address, "single", 7, "SERVING");
    platform.set_entry("e1", silent.address, "single", 8, "SERVING");
    let courier = Courier::start(&platform, |config| config["settings"]["Limits"]["MaxOpen"] = json!(8));
    let mut client = courier.client();
    assert_eq!(client.put("delivered", "once", "d=8000"), "+OK");
    wait_until("the delivery", || endpoint.ids().len() == 1 && courier.owes_nothing());
    let held = |id: &str| put("0", id, "once", "d=2500,dest=8", b"hello");
    for number in 0..8 {
        client.request(&held(&format!("held{number}")));
    }
    let refusals = flood_of_refusals(&mut client);
    assert!(refusals > REFUSALS / 2, "{refusals}");
    let mut attempts = 0;
    wait_until("room", || {
        attempts += 1;
        client.put(&format!("room{attempts}"), "once", "d=8000") == "+OK"
    });
    assert_eq!(client.put("delivered", "once", "d=8000"), "+OK");
    thread::sleep(CALL_TIME);
    let calls = endpoint.ids().iter().filter(|id| *id == "delivered").count();
    assert_eq!(calls, 1, "the copy was called");
}

/// Sends requests until all are answered, and returns how many were refused.
fn flood_of_refusals(client: &mut Client) -> usize {
    let mut refusals = 0;
    for block in 0..REFUSALS / 100 {
        let number = |i: usize| format!("r{}", block * 100 + i);
        let requests: Vec<u8> =
            (0..100).flat_map(|i| put("0", &number(i), "once", "d=2500,dest=8", b"hello")).collect();
        client.stream.get_mut().write_all(&requests).unwrap();
        refusals += (0..100).filter(|_| client.read_line() == "-BUSY").count();
    }
    refusals
}
