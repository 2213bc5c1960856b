//! Couriers that follow relays, which follow a source of the agent's published protocol; couriers and relays are
//! processes on loopback. The list that a courier holds shows in where it delivers and in what it reports to its relay.

mod common;

use std::collections::BTreeMap;
use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, ExitStatus};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

use common::{
    command, output, serve, unique_address, wait_until, wait_until_within, Courier, Endpoint, Folder,
    Platform,
};
use meadowhold_catalog::choice::rank_relays;
use rustix::process::{kill_process, Pid, Signal};
use serde_json::{json, Value};

/// Maximum time until a change is in force everywhere.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(7);
const DEADLINE: &str = "d=4000";

fn entry(name: &str, address: SocketAddr, destination: u64, status: &str) -> Value {
    json!({"name": name, "address": address.to_string(), "zone": "a", "type": "single", "group": destination,
        "status": status, "weight": 1000.0, "since_ms": 0})
}

struct SourceList {
    index: u64,
    /// Entries, with the version at which each last changed.
    entries: Vec<(Value, u64)>,
    /// Sends no changes to watches.
    frozen: bool,
}

/// A source that serves the published protocol of the platform's agent.
struct Source {
    address: SocketAddr,
    list: Arc<Mutex<SourceList>>,
}

impl Source {
    fn new(index: u64, entries: Vec<Value>) -> Source {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let entries = entries.into_iter().map(|entry| (entry, index)).collect();
        let list = Arc::new(Mutex::new(SourceList { index, entries, frozen: false }));
        let held = list.clone();
        serve(listener, move |request, out| {
            if request.target.contains("watch=1") {
                let after =
                    request.target.split_once("after=").map_or(0, |(_, after)| after.parse().unwrap());
                return watch_source(&held, after, out);
            }
            let (status, text) = match request.target.as_str() {
                "/catalog/members" => (200, list_json(&held.lock().unwrap(), None)),
                _ => (404, String::new()),
            };
            write!(out, "HTTP/1.1 {status} X\r\nContent-Length: {}\r\n\r\n{text}", text.len()).is_ok()
        });
        Source { address, list }
    }

    fn put(&self, entry: Value) -> u64 {
        let mut list = self.list.lock().unwrap();
        list.index += 1;
        let index = list.index;
        let position = list.entries.iter().position(|(old, _)| old["name"] == entry["name"]);
        match position {
            Some(at) => list.entries[at] = (entry, index),
            None => list.entries.push((entry, index)),
        }
        index
    }
}

fn list_json(list: &SourceList, after: Option<u64>) -> String {
    let is_sent = |(entry, changed): &&(Value, u64)| match after {
        Some(after) => *changed > after,
        None => entry["status"] != "DELETED",
    };
    let entries: Vec<&Value> = list.entries.iter().filter(is_sent).map(|(entry, _)| entry).collect();
    json!({"index": list.index, "snapshot": after.is_none(), "endpoints": entries}).to_string()
}

fn watch_source(list: &Mutex<SourceList>, mut after: u64, out: &mut TcpStream) -> bool {
    if write!(out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").is_err() {
        return false;
    }
    let mut quiet = Instant::now();
    loop {
        let line = {
            let list = list.lock().unwrap();
            let known = Some(after).filter(|&after| after > 0 && after < list.index);
            let has_changed = !list.frozen && list.index != after;
            let line = has_changed.then(|| list_json(&list, known) + "\n");
            after = if has_changed { list.index } else { after };
            line
        };
        let line = line.or_else(|| (quiet.elapsed() > Duration::from_secs(2)).then(|| "\n".to_string()));
        if let Some(line) = line {
            quiet = Instant::now();
            if write!(out, "{:x}\r\n{line}\r\n", line.len()).is_err() {
                return false;
            }
        }
        thread::sleep(Duration::from_millis(5));
    }
}

/// A relay process, killed at the end of its test.
struct Relay {
    address: SocketAddr,
    folder: Folder,
    config: Value,
    child: Child,
}

impl Relay {
    fn with_config(change: impl FnOnce(&mut Value)) -> Relay {
        let (address, folder) = (unique_address(), Folder::new());
        let state = folder.path.join("state");
        let mut config =
            json!({"name": "r", "listen": address.to_string(), "state": state, "partitions": 16});
        change(&mut config);
        let child = Relay::spawn(&folder, &config);
        let relay = Relay { address, folder, config, child };
        relay.wait_until_listening();
        relay
    }

    fn following(source: SocketAddr) -> Relay {
        Relay::with_config(|config| config["source"] = json!(source.to_string()))
    }

    fn command(folder: &Folder, config: &Value) -> Command {
        let path = folder.path.join("relay.json");
        fs::write(&path, config.to_string()).unwrap();
        let mut command = Command::new(command(folder, &json!({}), "relay").get_program());
        command.arg("relay").arg(path).env_clear().env("RUST_LOG", "warn");
        command
    }

    fn spawn(folder: &Folder, config: &Value) -> Child {
        Relay::command(folder, config).spawn().unwrap()
    }

    fn wait_until_listening(&self) {
        wait_until("the relay accepts connections", || TcpStream::connect(self.address).is_ok());
    }

    fn restart(&mut self) {
        self.child = Relay::spawn(&self.folder, &self.config);
        self.wait_until_listening();
    }

    fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).unwrap();
    }

    /// Shuts down with SIGTERM, which saves the list.
    fn terminate(&mut self) -> ExitStatus {
        self.signal(Signal::TERM);
        let start = Instant::now();
        wait_until("the relay exits", || self.child.try_wait().unwrap().is_some());
        assert!(start.elapsed() < Duration::from_secs(4));
        self.child.wait().unwrap()
    }

    fn status(&self) -> Value {
        let (status, _, body) = get(self.address, "/relay/status");
        assert_eq!(status, 200);
        serde_json::from_slice(&body).unwrap()
    }

    /// The held index, or 0 if no list is held.
    fn index(&self) -> u64 {
        self.status()["held"]["index"].as_u64().unwrap_or(0)
    }

    fn wait_for_index(&self, index: u64) {
        wait_until("the relay holds the version", || self.index() == index);
    }

    /// The versions that followers report: name, epoch and index.
    fn reported(&self) -> Vec<(String, u64, u64)> {
        let number = |value: &Value| value.as_u64().unwrap();
        let status = self.status();
        let of =
            |f: &Value| (f["name"].as_str().unwrap().to_string(), number(&f["epoch"]), number(&f["index"]));
        status["followers"].as_array().unwrap().iter().map(of).collect()
    }

    /// Resident memory in kilobytes.
    fn resident(&self) -> usize {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find(|line| line.starts_with("VmRSS")).unwrap();
        line.split_whitespace().nth(1).unwrap().parse().unwrap()
    }

    fn open_files(&self) -> usize {
        fs::read_dir(format!("/proc/{}/fd", self.child.id())).unwrap().count()
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Sends one request and returns the status, the head and the body of the response.
fn get(address: SocketAddr, path: &str) -> (u16, String, Vec<u8>) {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(7))).unwrap();
    write!(stream, "GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").unwrap();
    let mut stream = BufReader::new(stream);
    let (mut head, mut length) = (String::new(), 0);
    while !head.ends_with("\r\n\r\n") {
        let begin = head.len();
        assert!(stream.read_line(&mut head).unwrap() > 0, "{head}");
        let field = head[begin..].to_ascii_lowercase();
        length = field.strip_prefix("content-length: ").map_or(length, |n| n.trim_end().parse().unwrap());
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body).unwrap();
    let status = head.split(' ').nth(1).unwrap().parse().unwrap();
    (status, head, body)
}

fn get_list(address: SocketAddr, path: &str) -> Value {
    let (status, _, body) = get(address, path);
    assert_eq!(status, 200, "{}", String::from_utf8_lossy(&body));
    serde_json::from_slice(&body).unwrap()
}

/// A minimal client of a watch that reads its chunks line by line.
struct Watch {
    stream: BufReader<TcpStream>,
    text: String,
}

impl Watch {
    fn open(address: SocketAddr, path: &str) -> Watch {
        let mut stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(7))).unwrap();
        write!(stream, "GET {path} HTTP/1.1\r\nHost: x\r\n\r\n").unwrap();
        let mut stream = BufReader::new(stream);
        let mut line = String::new();
        stream.read_line(&mut line).unwrap();
        assert!(line.starts_with("HTTP/1.1 200"), "{line}");
        while line.trim_end() != "" {
            line.clear();
            stream.read_line(&mut line).unwrap();
        }
        Watch { stream, text: String::new() }
    }

    /// The next line that is not empty, or `None` if the watch has ended.
    fn next(&mut self) -> Option<Value> {
        loop {
            if let Some((line, rest)) = self.text.split_once('\n') {
                let (line, rest) = (line.to_string(), rest.to_string());
                self.text = rest;
                if !line.trim().is_empty() {
                    return Some(serde_json::from_str(&line).unwrap());
                }
                continue;
            }
            let mut size = String::new();
            self.stream.read_line(&mut size).unwrap();
            let size = usize::from_str_radix(size.trim_end(), 16).unwrap_or(0);
            if size == 0 {
                return None;
            }
            let mut chunk = vec![0; size + 2];
            self.stream.read_exact(&mut chunk).unwrap();
            self.text += std::str::from_utf8(&chunk[..size]).unwrap();
        }
    }
}

/// Two endpoints of one destination, one of which is serving.
struct EndpointPair {
    first: Endpoint,
    second: Endpoint,
}

impl EndpointPair {
    fn new() -> EndpointPair {
        EndpointPair { first: Endpoint::new(&[]), second: Endpoint::new(&[]) }
    }

    fn initial_list(&self) -> Vec<Value> {
        let (first, second) = (self.first.address, self.second.address);
        vec![entry("e1", first, 7, "SERVING"), entry("e2", second, 7, "DRAINING")]
    }

    /// The second endpoint replaces the first.
    fn swapped_list(&self) -> Vec<Value> {
        let (first, second) = (self.first.address, self.second.address);
        vec![entry("e2", second, 7, "SERVING"), entry("e1", first, 7, "DRAINING")]
    }
}

fn courier(platform: &Platform, name: &str, relays: &[&Relay]) -> Courier {
    Courier::start(platform, |config| {
        config["name"] = json!(name);
        config["known"] = json!({"index": 0, "snapshot": true, "endpoints": []});
        config["relays"] = relays.iter().map(|relay| relay.address.to_string()).collect();
    })
}

/// Checks that a mail reaches this endpoint.
fn assert_delivers_to(courier: &Courier, id: &str, endpoint: &Endpoint) {
    assert_eq!(courier.client().put(id, "again", DEADLINE), "+OK");
    wait_until("the mail reaches the endpoint", || endpoint.ids().iter().any(|seen| seen.contains(id)));
}

/// Waits until each of these couriers has reported this version to one of the relays. Returns how long that took.
fn wait_in_force(relays: &[&Relay], names: &[&str], index: u64, longest: Duration) -> Duration {
    let start = Instant::now();
    wait_until_within(longest, "in force everywhere", || {
        let reported: Vec<_> = relays.iter().flat_map(|relay| relay.reported()).collect();
        names.iter().all(|name| reported.iter().any(|(by, _, at)| by == name && *at == index))
    });
    start.elapsed()
}

#[test]
fn a_courier_behind_a_relay_delivers() {
    let (platform, pair) = (Platform::new(), EndpointPair::new());
    let source = Source::new(5, pair.initial_list());
    let relay = Relay::following(source.address);
    let courier = courier(&platform, "c1", &[&relay]);
    wait_in_force(&[&relay], &["c1"], 5, IN_FORCE_LIMIT);
    assert_delivers_to(&courier, "01", &pair.first);
    assert!(pair.second.ids().is_empty());
    // Notices of mails that were given up still go to the platform.
    assert_eq!(
        courier.client().request(&common::put("0000000000000000", "02", "again", "d=50", b"x")),
        "+OK"
    );
    assert_eq!(platform.state.lock().unwrap().watches, 0, "the platform's list must not be followed");
}

#[test]
fn a_change_is_in_force_at_a_courier_behind_two_relays_in_a_row() {
    let (platform, pair) = (Platform::new(), EndpointPair::new());
    let source = Source::new(5, pair.initial_list());
    let first = Relay::following(source.address);
    let second = Relay::with_config(|config| {
        config["name"] = json!("r2");
        config["relays"] = json!([first.address.to_string()]);
    });
    let courier = courier(&platform, "c1", &[&second]);
    wait_in_force(&[&second], &["c1"], 5, IN_FORCE_LIMIT);
    assert_delivers_to(&courier, "01", &pair.first);
    let mut index = 0;
    pair.swapped_list().into_iter().for_each(|entry| index = source.put(entry));
    let took = wait_in_force(&[&second], &["c1"], index, IN_FORCE_LIMIT);
    println!("in force behind two relays after {took:?}, as reported once a second");
    assert_delivers_to(&courier, "02", &pair.second);
    // A relay that follows a relay reports its version too.
    wait_in_force(&[&first], &["r2"], index, IN_FORCE_LIMIT);
}

#[test]
fn couriers_of_a_killed_relay_move_to_another_and_get_the_next_change_in_time() {
    let (platform, pair) = (Platform::new(), EndpointPair::new());
    let source = Source::new(5, pair.initial_list());
    let mut relays = [
        Relay::following(source.address),
        Relay::following(source.address),
        Relay::following(source.address),
    ];
    let names = ["c1", "c2", "c3", "c4"];
    let couriers: Vec<Courier> = {
        let all: Vec<&Relay> = relays.iter().collect();
        names.iter().map(|name| courier(&platform, name, &all)).collect()
    };
    let all: Vec<&Relay> = relays.iter().collect();
    wait_in_force(&all, &names, 5, IN_FORCE_LIMIT);
    // The relay with the most followers, by rendezvous hashing.
    let addresses: Vec<(String, f64)> = relays.iter().map(|relay| (relay.address.to_string(), 1.0)).collect();
    let own = |relay: usize| -> Vec<&str> {
        names.into_iter().filter(|name| rank_relays(name, &addresses)[0] == relay).collect()
    };
    let killed = (0..3).max_by_key(|&relay| own(relay).len()).unwrap();
    let moved = own(killed);
    wait_in_force(&[&relays[killed]], &moved, 5, IN_FORCE_LIMIT);
    relays[killed].kill();
    let (start, mut index) = (Instant::now(), 0);
    pair.swapped_list().into_iter().for_each(|entry| index = source.put(entry));
    let left: Vec<&Relay> = relays.iter().enumerate().filter(|(i, _)| *i != killed).map(|(_, r)| r).collect();
    wait_in_force(&left, &names, index, IN_FORCE_LIMIT);
    println!(
        "{} of 4 lost their relay; the change was in force at all after {:?}",
        moved.len(),
        start.elapsed()
    );
    for (i, courier) in couriers.iter().enumerate() {
        assert_delivers_to(courier, &format!("0{i}"), &pair.second);
    }
    // The relay is back: its couriers return, each after its own delay.
    relays[killed].restart();
    wait_in_force(&[&relays[killed]], &moved, index, Duration::from_secs(90));
}

#[test]
fn a_stopped_relay_is_left_and_catches_up_when_it_continues() {
    let (platform, pair) = (Platform::new(), EndpointPair::new());
    let source = Source::new(5, pair.initial_list());
    let relays = [Relay::following(source.address), Relay::following(source.address)];
    let all: Vec<&Relay> = relays.iter().collect();
    let names = ["c1", "c2", "c3"];
    let couriers: Vec<Courier> = names.iter().map(|name| courier(&platform, name, &all)).collect();
    wait_in_force(&all, &names, 5, IN_FORCE_LIMIT);
    let stopped = usize::from(relays[1].reported().len() > relays[0].reported().len());
    let start = Instant::now();
    relays[stopped].signal(Signal::STOP);
    let mut index = 0;
    pair.swapped_list().into_iter().for_each(|entry| index = source.put(entry));
    let running = &relays[1 - stopped];
    wait_in_force(&[running], &names, index, IN_FORCE_LIMIT);
    println!("a relay was stopped: the change was in force at all after {:?}", start.elapsed());
    for (i, courier) in couriers.iter().enumerate() {
        assert_delivers_to(courier, &format!("0{i}"), &pair.second);
    }
    thread::sleep(Duration::from_secs(10).saturating_sub(start.elapsed()));
    relays[stopped].signal(Signal::CONT);
    relays[stopped].wait_for_index(index);
    // Couriers that go back to it hold the current version.
    let index = source.put(entry("e3", pair.first.address, 9, "SERVING"));
    wait_in_force(&all, &names, index, IN_FORCE_LIMIT);
}

#[test]
fn a_saved_list_is_served_without_a_source_and_a_truncated_one_is_ignored() {
    let pair = EndpointPair::new();
    let source = Source::new(5, pair.initial_list());
    let mut relay = Relay::following(source.address);
    relay.wait_for_index(5);
    let whole = get_list(relay.address, "/catalog/members");
    assert!(relay.terminate().success());
    let path = relay.folder.path.join("state/memory");
    let kept = fs::read(&path).unwrap();
    // Nobody listens there any more.
    let unused = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    relay.config["source"] = json!(unused.to_string());
    relay.restart();
    let (status, head, body) = get(relay.address, "/catalog/members");
    assert_eq!((status, serde_json::from_slice::<Value>(&body).unwrap()), (200, whole.clone()));
    assert!(head.to_ascii_lowercase().contains("\r\nage: "), "{head}");
    assert_eq!(relay.status()["held"]["kept"], json!(true));
    let listed = Command::new(command(&relay.folder, &json!({}), "relay").get_program())
        .args(["relay", "status", &relay.address.to_string()])
        .output()
        .unwrap();
    let message = String::from_utf8(listed.stdout).unwrap();
    assert!(
        message.contains("from its file, which no source has confirmed")
            && message.contains("in force at 0 of 0")
    );
    relay.kill();
    let mut rng = fastrand::Rng::with_seed(11);
    let mut places: Vec<usize> = (0..10).map(|_| rng.usize(..kept.len())).collect();
    places.extend([0, 1, kept.len() - 1]);
    for place in places {
        fs::write(&path, &kept[..place]).unwrap();
        relay.restart();
        assert_eq!(get(relay.address, "/catalog/members").0, 503, "cut at {place}");
        assert_eq!(get(relay.address, "/relay/held?name=x").0, 503, "cut at {place}");
        relay.kill();
    }
    // A file with a changed byte is ignored too; now a source is available again.
    let mut other = kept.clone();
    let place = kept.len() / 2;
    other[place] ^= 1;
    fs::write(&path, &other).unwrap();
    relay.config["source"] = json!(source.address.to_string());
    relay.restart();
    relay.wait_for_index(5);
    assert_eq!(get_list(relay.address, "/catalog/members"), whole);
    // A different number of partitions cannot use the saved list.
    assert!(relay.terminate().success());
    relay.config["partitions"] = json!(17);
    let (success, message) = output(Relay::command(&relay.folder, &relay.config));
    assert!(!success && message.contains("was saved with 16 partitions, but 17 are configured"), "{message}");
}

#[test]
fn between_two_relays_that_disagree_a_courier_never_takes_an_older_list() {
    let (platform, pair) = (Platform::new(), EndpointPair::new());
    let (fresh, stale) = (Source::new(5, pair.initial_list()), Source::new(5, pair.initial_list()));
    let (mut ahead, behind) = (Relay::following(fresh.address), Relay::following(stale.address));
    let courier = courier(&platform, "c1", &[&ahead, &behind]);
    wait_in_force(&[&ahead, &behind], &["c1"], 5, IN_FORCE_LIMIT);
    let mut index = 0;
    pair.swapped_list().into_iter().for_each(|entry| index = fresh.put(entry));
    // Whichever relay it followed, it ends at the one that is ahead.
    wait_in_force(&[&ahead, &behind], &["c1"], index, Duration::from_secs(45));
    assert_delivers_to(&courier, "01", &pair.second);
    ahead.kill();
    // Observe it at the stale relay for longer than lists of a lower version are ignored after an address change.
    let there = || behind.reported().iter().any(|(name, _, at)| name == "c1" && *at == index);
    wait_until("the courier follows the other relay", there);
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(6) {
        let reported = behind.reported();
        assert!(
            reported.iter().all(|(_, _, at)| *at == index),
            "the courier took an older list: {reported:?}"
        );
        thread::sleep(Duration::from_millis(100));
    }
    assert_delivers_to(&courier, "02", &pair.second);
    assert!(pair.first.ids().is_empty());
    // Once the stale source is ahead of the held version, its list is applied again.
    pair.swapped_list().into_iter().for_each(|entry| {
        stale.put(entry);
    });
    let index = stale.put(entry("e1", pair.first.address, 7, "SERVING"));
    stale.put(entry("e2", pair.second.address, 7, "DRAINING"));
    wait_in_force(&[&behind], &["c1"], index + 1, IN_FORCE_LIMIT);
    assert_delivers_to(&courier, "03", &pair.first);
}

#[test]
fn a_relay_restarted_with_an_old_file_takes_no_follower_back() {
    let (platform, pair) = (Platform::new(), EndpointPair::new());
    let source = Source::new(5, pair.initial_list());
    let mut relay = Relay::following(source.address);
    relay.wait_for_index(5);
    assert!(relay.terminate().success());
    let path = relay.folder.path.join("state/memory");
    let old = fs::read(&path).unwrap();
    relay.restart();
    let courier = courier(&platform, "c1", &[&relay]);
    let mut index = 0;
    pair.swapped_list().into_iter().for_each(|entry| index = source.put(entry));
    wait_in_force(&[&relay], &["c1"], index, IN_FORCE_LIMIT);
    // The relay restarts with the old file and no source. It serves the old list, and the courier keeps its newer one.
    relay.kill();
    // Long enough for the courier to give up the relay and start over.
    thread::sleep(Duration::from_millis(2500));
    fs::write(&path, &old).unwrap();
    let unused = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    relay.config["source"] = json!(unused.to_string());
    relay.restart();
    assert_eq!(relay.index(), 5);
    wait_until("the courier reports to the restarted relay", || {
        relay.reported().iter().any(|(name, _, at)| name == "c1" && *at == index)
    });
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(5) {
        assert!(relay.reported().iter().all(|(_, _, at)| *at == index));
        thread::sleep(Duration::from_millis(100));
    }
    assert_delivers_to(&courier, "01", &pair.second);
    assert!(pair.first.ids().is_empty());
}

#[test]
fn a_source_that_restarts_its_index_is_followed_only_under_a_newer_epoch() {
    let (platform, pair) = (Platform::new(), EndpointPair::new());
    let source = Source::new(50, pair.initial_list());
    let mut first = Relay::following(source.address);
    let second = Relay::with_config(|config| {
        config["name"] = json!("r2");
        config["relays"] = json!([first.address.to_string()]);
    });
    let courier = courier(&platform, "c1", &[&second]);
    wait_in_force(&[&second], &["c1"], 50, IN_FORCE_LIMIT);
    // Another source process, whose index starts over and whose list is different.
    let restarted = Source::new(3, pair.swapped_list());
    first.config["source"] = json!(restarted.address.to_string());
    let reconfigure = |relay: &Relay| {
        fs::write(relay.folder.path.join("relay.json"), relay.config.to_string()).unwrap();
        relay.signal(Signal::HUP);
    };
    reconfigure(&first);
    thread::sleep(Duration::from_secs(6));
    assert_eq!(
        (first.index(), second.index()),
        (50, 50),
        "without a newer epoch, a lower index may belong to a stale list"
    );
    first.config["epoch"] = json!(1);
    let start = Instant::now();
    reconfigure(&first);
    let there = || second.reported() == [("c1".to_string(), 1, 3)];
    wait_until_within(Duration::from_secs(20), "the list under the new epoch is in force", there);
    println!(
        "the list of a source that restarted its index was in force behind two relays after {:?}",
        start.elapsed()
    );
    assert_delivers_to(&courier, "01", &pair.second);
    // Later changes are followed too.
    let index = restarted.put(entry("e1", pair.first.address, 7, "SERVING"));
    wait_in_force(&[&second], &["c1"], index, IN_FORCE_LIMIT);
    // The epoch survives a restart, even if the configuration has a lower one.
    assert!(first.terminate().success());
    first.config["epoch"] = json!(0);
    first.restart();
    assert_eq!(first.status()["held"]["epoch"], json!(1));
    let index = restarted.put(entry("e1", pair.first.address, 7, "DRAINING"));
    wait_in_force(&[&second], &["c1"], index, IN_FORCE_LIMIT);
}

#[test]
fn a_source_behind_the_saved_list_is_followed_once_it_is_ahead() {
    let pair = EndpointPair::new();
    let (first, other) = (Source::new(5, pair.initial_list()), Source::new(5, pair.initial_list()));
    let mut relay = Relay::following(first.address);
    pair.swapped_list().into_iter().for_each(|entry| {
        first.put(entry);
    });
    relay.wait_for_index(7);
    let held = get_list(relay.address, "/catalog/members");
    assert!(relay.terminate().success());
    relay.config["source"] = json!(other.address.to_string());
    relay.restart();
    // The source jumps past 7 in one line, with the content it had at 5. The relay must take over all of that content.
    thread::sleep(Duration::from_secs(1));
    assert_eq!(get_list(relay.address, "/catalog/members"), held);
    {
        let mut list = other.list.lock().unwrap();
        list.index = 9;
        list.entries.iter_mut().for_each(|(_, changed)| *changed = 9);
    }
    relay.wait_for_index(9);
    let sorted = |mut list: Value| {
        let entries = list["endpoints"].as_array_mut().unwrap();
        entries.sort_by_key(|entry| entry["name"].to_string());
        list
    };
    let (got, expected) =
        (get_list(relay.address, "/catalog/members"), get_list(other.address, "/catalog/members"));
    assert_eq!(sorted(got), sorted(expected));
}

/// Entries with long names, each of its own destination.
fn distinct_entries(count: u64) -> Vec<Value> {
    distinct_entries_from(0, count)
}

fn distinct_entries_from(first: u64, count: u64) -> Vec<Value> {
    let address = SocketAddr::from(([127, 0, 0, 1], 9));
    (first..first + count)
        .map(|i| entry(&format!("endpoint-with-a-long-name-{i}"), address, i, "SERVING"))
        .collect()
}

#[test]
fn a_slow_reader_delays_no_other_follower_and_takes_bounded_memory() {
    let source = Source::new(5, distinct_entries(8000));
    let relay = Relay::with_config(|config| {
        config["source"] = json!(source.address.to_string());
        config["bounds"] = json!({"followers": 64});
    });
    relay.wait_for_index(5);
    let mut reader = Watch::open(relay.address, "/catalog/members?watch=1&after=5");
    let at_rest = relay.resident();
    // Forty requests for the whole list and forty watches from version 0, all of which read very slowly.
    let slow: Vec<TcpStream> = (0..80)
        .map(|i| {
            let mut stream = TcpStream::connect(relay.address).unwrap();
            let path = ["/catalog/members", "/catalog/members?watch=1&after=0"][i % 2];
            write!(stream, "GET {path} HTTP/1.1\r\nHost: x\r\n\r\n").unwrap();
            stream.set_nonblocking(true).unwrap();
            stream
        })
        .collect();
    let (mut latest, mut most) = (Duration::ZERO, 0);
    for change in 0..60_u64 {
        if change % 5 == 0 {
            slow.iter().for_each(|mut stream| drop(stream.read(&mut [0])));
        }
        let index = source.put(entry(
            &format!("endpoint-with-a-long-name-{}", change * 97),
            unused_address(),
            1,
            "SERVING",
        ));
        let start = Instant::now();
        loop {
            let line = reader.next().expect("the watch stays open");
            if line["index"] == json!(index) {
                break;
            }
        }
        latest = latest.max(start.elapsed());
        most = most.max(relay.resident());
        thread::sleep(Duration::from_millis(200));
    }
    println!(
        "80 slow readers: a change reached another follower within {latest:?}; {at_rest} kB at rest, {most} at most"
    );
    assert!(latest < IN_FORCE_LIMIT, "{latest:?}");
    assert!(most < at_rest + 24_000, "{at_rest} kB at rest, {most} kB with slow readers");
    // The slow connections are closed in the end, and the one that reads is not.
    wait_until_within(Duration::from_secs(20), "the slow connections are closed", || relay.open_files() < 30);
    let index = source.put(entry("last", unused_address(), 1, "SERVING"));
    assert_eq!(reader.next().unwrap()["index"], json!(index));
}

fn unused_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 10))
}

#[test]
fn three_hundred_changes_reach_every_watch_and_leave_all_lists_equal() {
    let source = Source::new(5, distinct_entries(200));
    let first = Relay::following(source.address);
    let second = Relay::with_config(|config| config["relays"] = json!([first.address.to_string()]));
    second.wait_for_index(5);
    let mut watch = Watch::open(second.address, "/catalog/members?watch=1&after=5");
    let mut rng = fastrand::Rng::with_seed(3);
    let writer = thread::spawn({
        let (list, address) = (source.list.clone(), source.address);
        move || {
            let source = Source { address, list };
            let mut index = 0;
            for _ in 0..300 {
                let name = format!("endpoint-with-a-long-name-{}", rng.u64(..250));
                let status = ["SERVING", "DRAINING", "DELETED"][rng.usize(..3)];
                index = source.put(entry(&name, unused_address(), rng.u64(..50), status));
                thread::sleep(Duration::from_millis(rng.u64(..20)));
            }
            index
        }
    });
    let mut held = BTreeMap::new();
    let whole = |list: &Value| {
        let entries = list["endpoints"].as_array().unwrap().clone();
        entries.into_iter().map(|entry| (entry["name"].as_str().unwrap().to_string(), entry)).collect()
    };
    let mut index = 0;
    let mut last = 5;
    for entry in distinct_entries(200) {
        held.insert(entry["name"].as_str().unwrap().to_string(), entry);
    }
    while index < 305 {
        let Some(line) = watch.next() else {
            // The relay closed the watch: open a new one from the held version.
            watch = Watch::open(second.address, &format!("/catalog/members?watch=1&after={last}"));
            continue;
        };
        index = line["index"].as_u64().unwrap();
        assert!(index >= last, "the index went back from {last} to {index}");
        last = index;
        if line["snapshot"] == json!(true) {
            held = whole(&line);
            continue;
        }
        for entry in line["endpoints"].as_array().unwrap() {
            let name = entry["name"].as_str().unwrap().to_string();
            match entry["status"].as_str().unwrap() {
                "DELETED" => drop(held.remove(&name)),
                _ => drop(held.insert(name, entry.clone())),
            }
        }
    }
    assert_eq!(writer.join().unwrap(), 305);
    let expected = whole(&get_list(source.address, "/catalog/members"));
    assert_eq!(held, expected);
    assert_eq!(whole(&get_list(first.address, "/catalog/members")), expected);
    assert_eq!(whole(&get_list(second.address, "/catalog/members")), expected);
}

#[test]
fn a_client_of_the_agents_protocol_gets_the_same_answers_from_a_relay() {
    let pair = EndpointPair::new();
    let source = Source::new(5, pair.initial_list());
    let relay = Relay::following(source.address);
    relay.wait_for_index(5);
    let sorted = |list: &Value| {
        let mut entries = list["endpoints"].as_array().unwrap().clone();
        entries.sort_by_key(|entry| entry["name"].to_string());
        (list["index"].clone(), list["snapshot"].clone(), entries, list.as_object().unwrap().len())
    };
    let same = |path: &str| {
        assert_eq!(sorted(&get_list(relay.address, path)), sorted(&get_list(source.address, path)));
    };
    same("/catalog/members");
    // Unknown query parameters are ignored.
    assert_eq!(get_list(relay.address, "/catalog/members?x=1"), get_list(relay.address, "/catalog/members"));
    source.put(entry("e3", pair.first.address, 8, "SERVING"));
    relay.wait_for_index(6);
    source.put(entry("e1", pair.first.address, 7, "DELETED"));
    relay.wait_for_index(7);
    same("/catalog/members");
    // Watches from each version, from none, and from one that does not exist yet.
    for after in [0, 5, 6, 99] {
        let path = format!("/catalog/members?watch=1&after={after}");
        let first_line = |address| sorted(&Watch::open(address, &path).next().unwrap());
        if after == 5 || after == 6 {
            assert_eq!(first_line(relay.address), first_line(source.address), "{after}");
        } else {
            assert_eq!(first_line(relay.address).1, json!(true), "{after}");
            assert_eq!(first_line(relay.address), first_line(source.address), "{after}");
        }
    }
    // An empty line arrives every two seconds; without it, followers would take the relay for dead.
    let mut quiet = TcpStream::connect(relay.address).unwrap();
    write!(quiet, "GET /catalog/members?watch=1&after=7 HTTP/1.1\r\nHost: x\r\n\r\n").unwrap();
    let (mut lines, start) = (BufReader::new(quiet).lines(), Instant::now());
    let turns = lines.by_ref().map_while(Result::ok).filter(|line| line == "1").take(2).count();
    assert!(turns == 2 && start.elapsed() < Duration::from_millis(5500), "{:?}", start.elapsed());
}

#[test]
fn partitions_are_served_singly_and_together_make_up_the_list() {
    let source = Source::new(5, distinct_entries(300));
    let relay = Relay::following(source.address);
    relay.wait_for_index(5);
    let whole = get_list(relay.address, "/catalog/members");
    let mut names: Vec<String> = Vec::new();
    let mut hashes = 0_u64;
    for partition in 0..16 {
        let list = get_list(relay.address, &format!("/catalog/members?partition={partition}"));
        assert_eq!((&list["epoch"], &list["partitions"]), (&json!(0), &json!(16)));
        let parts = list["parts"].as_array().unwrap();
        assert_eq!(
            (parts.len(), &parts[0]["partition"], &parts[0]["version"]),
            (1, &json!(partition), &json!(5))
        );
        hashes = hashes.wrapping_add(u64::from_str_radix(parts[0]["hash"].as_str().unwrap(), 16).unwrap());
        for entry in list["endpoints"].as_array().unwrap() {
            let destination = entry["group"].as_u64().unwrap();
            assert_eq!(meadowhold_catalog::store::partition(destination, 16), partition);
            names.push(entry["name"].as_str().unwrap().to_string());
        }
    }
    let sorted = |mut names: Vec<String>| {
        names.sort();
        names
    };
    let of = |list: &Value| {
        let entries = list["endpoints"].as_array().unwrap();
        sorted(entries.iter().map(|entry| entry["name"].as_str().unwrap().to_string()).collect())
    };
    assert_eq!(sorted(names), of(&whole));
    assert_eq!(format!("{hashes:016x}"), relay.status()["held"]["hash"].as_str().unwrap());
    assert_eq!(of(&get_list(relay.address, "/catalog/members?partition=0-7,8,9-15,3")), of(&whole));
    for bad in ["16", "-1", "3-1", "x", "", "1,,2", "0-99999999999"] {
        assert_eq!(get(relay.address, &format!("/catalog/members?partition={bad}")).0, 400, "{bad}");
    }
    // A watch on some partitions: changes in others are not sent, and an entry that moves to another is sent as
    // deleted.
    let partition = meadowhold_catalog::store::partition(3, 16);
    let elsewhere = (0..).find(|&d| meadowhold_catalog::store::partition(d, 16) != partition).unwrap();
    let mut watch =
        Watch::open(relay.address, &format!("/catalog/members?watch=1&after=5&partition={partition}"));
    source.put(entry("new", unused_address(), elsewhere, "SERVING"));
    source.put(entry("mine", unused_address(), 3, "SERVING"));
    let line = watch.next().unwrap();
    assert_eq!((&line["index"], &line["endpoints"][0]["name"]), (&json!(7), &json!("mine")));
    assert_eq!(
        (&line["parts"][0]["partition"], &line["parts"][0]["version"]),
        (&json!(partition), &json!(7))
    );
    assert_eq!(line["endpoints"].as_array().unwrap().len(), 1);
    source.put(entry("mine", unused_address(), elsewhere, "SERVING"));
    let line = watch.next().unwrap();
    assert_eq!(
        (&line["endpoints"][0]["name"], &line["endpoints"][0]["status"]),
        (&json!("mine"), &json!("DELETED"))
    );
}

#[test]
fn bad_input_is_closed_and_bounded_while_others_are_served() {
    let source = Source::new(5, distinct_entries(50));
    let relay = Relay::with_config(|config| {
        config["source"] = json!(source.address.to_string());
        config["bounds"] = json!({"followers": 8});
    });
    relay.wait_for_index(5);
    let before = relay.resident();
    let mut watch = Watch::open(relay.address, "/catalog/members?watch=1&after=5");
    // Thousands of connections that send nothing, 600 of them at the same time.
    let mut idle: Vec<TcpStream> = Vec::new();
    for i in 0..3000 {
        let stream = TcpStream::connect(relay.address).unwrap();
        if idle.len() < 600 {
            idle.push(stream);
        } else {
            idle[i % 600] = stream;
        }
    }
    assert_eq!(get_list(relay.address, "/catalog/members")["index"], json!(5));
    wait_until("idle connections over the limit are closed", || relay.open_files() < 8 * 3 + 256 + 40);
    let mut rng = fastrand::Rng::with_seed(5);
    let garbage = |rng: &mut fastrand::Rng| (0..2000).map(|_| rng.u8(..)).collect::<Vec<u8>>();
    let huge = format!("GET /catalog/members HTTP/1.1\r\nHost: {}\r\n", "x".repeat(200_000)).into_bytes();
    let fields = format!("GET / HTTP/1.1\r\n{}", "a: b\r\n".repeat(20_000)).into_bytes();
    let long = format!("GET /{} HTTP/1.1\r\n\r\n", "y".repeat(100_000)).into_bytes();
    let post = b"POST /catalog/members HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999999\r\n\r\n".to_vec();
    let mut bad = vec![huge, fields, long, post, b"\0\0\0\0\r\n\r\n".to_vec()];
    bad.extend((0..20).map(|_| [&garbage(&mut rng)[..], b"\r\n\r\n"].concat()));
    for bytes in bad {
        let mut stream = TcpStream::connect(relay.address).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(15))).unwrap();
        let _ = stream.write_all(&bytes);
        // The relay may send an error first, and then closes the connection.
        let mut answer = Vec::new();
        match stream.read_to_end(&mut answer) {
            Ok(_) => {}
            Err(e) => assert_eq!(e.kind(), std::io::ErrorKind::ConnectionReset, "not closed"),
        }
        assert!(!answer.starts_with(b"HTTP/1.1 200"));
    }
    // The numbers of watches and of reported names are limited.
    let more: Vec<Watch> =
        (0..7).map(|_| Watch::open(relay.address, "/catalog/members?watch=1&after=5")).collect();
    assert_eq!(get(relay.address, "/catalog/members?watch=1&after=5").0, 503);
    for i in 0..200 {
        assert_eq!(
            get(relay.address, &format!("/relay/held?name=n{i}&index=18446744073709551616&epoch=%")).0,
            200
        );
    }
    assert!(relay.reported().len() <= 8);
    assert_eq!(get(relay.address, "/elsewhere").0, 404);
    drop(more);
    let index = source.put(entry("last", unused_address(), 1, "SERVING"));
    assert_eq!(watch.next().unwrap()["index"], json!(index));
    let after = relay.resident();
    println!("{before} kB before, {after} after");
    assert!(after < before + 24_000, "{before} kB before, {after} after");
}

#[test]
fn a_list_over_its_limit_is_rejected_and_the_held_list_is_still_served() {
    let source = Source::new(5, distinct_entries(20));
    let relay = Relay::with_config(|config| {
        config["source"] = json!(source.address.to_string());
        config["bounds"] = json!({"entries": 25});
    });
    relay.wait_for_index(5);
    let whole = get_list(relay.address, "/catalog/members");
    {
        let mut list = source.list.lock().unwrap();
        let index = list.index + 1;
        list.entries.extend(distinct_entries(40).into_iter().map(|entry| (entry, index)));
        list.index = index;
    }
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(1) {
        assert_eq!(get_list(relay.address, "/catalog/members"), whole);
        thread::sleep(Duration::from_millis(50));
    }
}

#[test]
fn a_relay_without_a_list_answers_503_and_terminates_on_request() {
    let unused = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let mut relay = Relay::following(unused);
    for path in ["/catalog/members", "/catalog/members?watch=1&after=0", "/relay/held"] {
        assert_eq!(get(relay.address, path).0, 503);
    }
    assert_eq!(relay.status()["held"], Value::Null);
    assert!(relay.terminate().success());
}

#[test]
fn all_faults_of_a_relay_configuration_are_reported_in_one_message() {
    let folder = Folder::new();
    let config = json!({"listen": "here", "source": "127.0.0.1:1", "relays": ["127.0.0.1:2", "there"],
        "partitions": 5000, "epoch": "x", "bounds": {"followers": 0, "entries": 1_000_001}, "odd": 1});
    let (success, message) = output(Relay::command(&folder, &config));
    assert!(!success && message.lines().count() == 1, "{message}");
    for place in
        ["bounds.entries", "bounds.followers", "epoch", "listen", "odd", "partitions", "relays", "state"]
    {
        assert!(message.contains(&format!(" {place} ")), "{place}: {message}");
    }
    let one = json!({"listen": "127.0.0.1:0", "state": "s"});
    let (success, message) = output(Relay::command(&folder, &one));
    assert!(!success && message.contains("source must be set if relays is not"), "{message}");
    // The example in `deploy` is valid.
    let worked = include_bytes!("../../../deploy/relay.json");
    assert!(meadowhold_courier::relay::config::Config::read(worked).is_ok());
    // The relays in a courier's configuration are checked too.
    let platform = Platform::new();
    let mut config = common::config(&platform, unique_address());
    config["relays"] = json!(["127.0.0.1:1", "127.0.0.1:2"]);
    let said = command(&folder, &config, "check").output().unwrap();
    let said = String::from_utf8(said.stdout).unwrap();
    assert!(said.contains("by relays instead: 127.0.0.1:1, 127.0.0.1:2\n"));
    for (relays, fault) in [(json!([]), "relays "), (json!(["x"]), "is no address: x"), (json!(3), "relays ")]
    {
        config["relays"] = relays;
        let (success, message) = output(command(&folder, &config, "check"));
        assert!(!success && message.contains(fault), "{message}");
    }
}

/// Resource usage of a process so far: processor time, and current and peak resident memory in kilobytes.
fn usage(process: u32) -> (Duration, usize, usize) {
    let stat = fs::read_to_string(format!("/proc/{process}/stat")).unwrap();
    let fields: Vec<&str> = stat.rsplit_once(") ").unwrap().1.split(' ').collect();
    // In hundredths of a second, the tick that Linux reports on all common platforms.
    let ticks: u64 = fields[11].parse::<u64>().unwrap() + fields[12].parse::<u64>().unwrap();
    let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap();
    let field = |name: &str| {
        let line = status.lines().find(|line| line.starts_with(name)).unwrap();
        line.split_whitespace().nth(1).unwrap().parse().unwrap()
    };
    (Duration::from_millis(ticks * 10), field("VmRSS"), field("VmHWM"))
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap().as_millis() as u64
}

/// Followers that behave like couriers: each has a watch, and sends a query about once a second.
struct Followers {
    read: Arc<AtomicU64>,
    written: Arc<AtomicU64>,
    /// By the time of a change in Unix milliseconds: how many followers received it, and the longest delay.
    heard: Arc<Mutex<BTreeMap<u64, (usize, u64)>>>,
    stopped: Arc<AtomicBool>,
}

impl Followers {
    fn new(address: SocketAddr, count: usize, after: u64) -> Followers {
        let followers = Followers {
            read: Arc::default(),
            written: Arc::default(),
            heard: Arc::default(),
            stopped: Arc::default(),
        };
        for follower in 0..count {
            let (read, written, heard) =
                (followers.read.clone(), followers.written.clone(), followers.heard.clone());
            let small = || thread::Builder::new().stack_size(256 * 1024);
            let watch = move || {
                let mut stream = TcpStream::connect(address).unwrap();
                let ask =
                    format!("GET /catalog/members?watch=1&after={after} HTTP/1.1\r\nHost: {address}\r\n\r\n");
                stream.write_all(ask.as_bytes()).unwrap();
                written.fetch_add(ask.len() as u64, Relaxed);
                let mut lines = BufReader::new(stream);
                let mut line = String::new();
                while lines.read_line(&mut line).is_ok_and(|n| n > 0) {
                    read.fetch_add(line.len() as u64, Relaxed);
                    let stamp = line
                        .split("\"since_ms\":")
                        .nth(1)
                        .and_then(|rest| rest.split('}').next()?.parse().ok());
                    if let Some(stamp) = stamp.filter(|&stamp| stamp > 0) {
                        let took = unix_ms().saturating_sub(stamp);
                        let mut heard = heard.lock().unwrap();
                        let one = heard.entry(stamp).or_default();
                        *one = (one.0 + 1, one.1.max(took));
                    }
                    line.clear();
                }
            };
            small().spawn(watch).unwrap();
            let (read, written, stopped) =
                (followers.read.clone(), followers.written.clone(), followers.stopped.clone());
            let ask = move || {
                let mut stream = TcpStream::connect(address).unwrap();
                let ask = format!(
                    "GET /relay/held?name=courier-{follower}&epoch=0&index={after} HTTP/1.1\r\nhost: {address}\r\n\r\n"
                );
                let mut bytes = [0; 1024];
                while !stopped.load(Relaxed) && stream.write_all(ask.as_bytes()).is_ok() {
                    written.fetch_add(ask.len() as u64, Relaxed);
                    read.fetch_add(stream.read(&mut bytes).unwrap_or(0) as u64, Relaxed);
                    thread::sleep(Duration::from_millis(750 + (follower as u64 * 37) % 250));
                }
            };
            small().spawn(ask).unwrap();
        }
        followers
    }

    /// Prints what a process and its followers used during this time.
    fn measure(&self, what: &str, process: u32, count: usize, span: Duration) {
        let (before, start) = (usage(process).0, Instant::now());
        let bytes = || (self.read.load(Relaxed), self.written.load(Relaxed));
        let bytes_before = bytes();
        self.heard.lock().unwrap().clear();
        thread::sleep(span);
        let (took, (now, resident, most)) = (start.elapsed().as_secs_f64(), usage(process));
        let after = bytes();
        let rate = |from: u64, to: u64| (to - from) as f64 / took / count as f64;
        let load = fs::read_to_string("/proc/loadavg").unwrap();
        let heard = self.heard.lock().unwrap();
        let all: Vec<u64> = heard.values().filter(|(n, _)| *n == count).map(|(_, last)| *last).collect();
        println!(
            "{what}: {:.2}% of a core, {resident} kB resident ({most} at most), {:.0} B/s to and {:.0} B/s from each \
             of {count}; {} changes, {} of them at all, the last follower after {} ms at most, {:.1} on average; \
             load {}",
            100.0 * (now - before).as_secs_f64() / took,
            rate(bytes_before.0, after.0),
            rate(bytes_before.1, after.1),
            heard.len(),
            all.len(),
            all.iter().max().unwrap_or(&0),
            all.iter().sum::<u64>() as f64 / all.len().max(1) as f64,
            load.split(' ').next().unwrap()
        );
        assert!(all.len() + 1 >= heard.len(), "a change did not reach every follower");
    }
}

impl Drop for Followers {
    fn drop(&mut self) {
        self.stopped.store(true, Relaxed);
    }
}

const FOLLOWERS: usize = 260;

/// A relay's hub and server in their own process, with a list of 30,000 entries that it generates itself. Does nothing
/// unless `figures_at_30_000_entries` starts it, which sets `RELAY_FIGURES`.
#[test]
#[ignore = "a part of figures_at_30_000_entries"]
fn the_process_that_is_measured() {
    use meadowhold_courier::discovery::{List, Listener};
    use meadowhold_courier::relay::{config::Bounds, hub::Hub, serve};
    use std::{cell::RefCell, rc::Rc};

    let Ok(every) = std::env::var("RELAY_FIGURES") else { return };
    let every = Duration::from_millis(every.parse().unwrap());
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async move {
        let hub = Hub::new(meadowhold_courier::exchange::Clock::new(), 1024, Bounds::default());
        let hub = Rc::new(RefCell::new(hub));
        let list = |index: u64, snapshot: bool, entries: Vec<Value>| -> List {
            serde_json::from_value(json!({"index": index, "snapshot": snapshot, "endpoints": entries}))
                .unwrap()
        };
        // The list is applied in pieces of one version, so that the entries are never all in memory as JSON values.
        for piece in 0..30 {
            let texts: Vec<String> =
                distinct_entries_from(piece * 1000, 1000).iter().map(Value::to_string).collect();
            let text =
                format!("{{\"index\":5,\"snapshot\":{},\"endpoints\":[{}]}}", piece == 0, texts.join(","));
            let list: List = serde_json::from_str(&text).unwrap();
            hub.borrow_mut().apply_update(&(&list).into());
        }
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        println!("\nat {}", listener.local_addr().unwrap());
        tokio::task::spawn_local(serve::listen(hub.clone(), listener, 1024));
        // The first line received from the test starts the changes.
        let mut commands = tokio::io::BufReader::new(
            tokio::net::TcpStream::connect(std::env::var("RELAY_FIGURES_AT").unwrap()).await.unwrap(),
        );
        let mut word = String::new();
        tokio::io::AsyncBufReadExt::read_line(&mut commands, &mut word).await.unwrap();
        for change in 0.. {
            let mut one = entry(
                &format!("endpoint-with-a-long-name-{}", change * 97 % 30_000),
                unused_address(),
                7,
                "SERVING",
            );
            one["since_ms"] = json!(unix_ms());
            hub.borrow_mut().apply_update(&(&list(6 + change, false, vec![one])).into());
            tokio::time::sleep(every).await;
        }
    });
}

/// `cargo test --release -p meadowhold-courier --test relay -- --ignored --nocapture figures_at`
#[test]
#[ignore = "a measurement of a minute and a half"]
fn figures_at_30_000_entries() {
    let back = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut child = Command::new(std::env::current_exe().unwrap())
        .args(["--ignored", "--exact", "the_process_that_is_measured", "--nocapture"])
        .env("RELAY_FIGURES", "1000")
        .env("RELAY_FIGURES_AT", back.local_addr().unwrap().to_string())
        .stdout(std::process::Stdio::piped())
        .spawn()
        .unwrap();
    let mut lines = BufReader::new(child.stdout.take().unwrap()).lines().map_while(Result::ok);
    let address = lines.find_map(|line| line.strip_prefix("at ")?.parse().ok()).unwrap();
    let (mut go, _) = back.accept().unwrap();
    let process = child.id();
    println!("no follower: {:?} kB resident (at most)", (usage(process).1, usage(process).2));
    let followers = Followers::new(address, FOLLOWERS, 5);
    thread::sleep(Duration::from_secs(5));
    followers.measure("at rest, 30,000 entries", process, FOLLOWERS, Duration::from_secs(20));
    go.write_all(b"go\n").unwrap();
    thread::sleep(Duration::from_secs(3));
    followers.measure("a change a second", process, FOLLOWERS, Duration::from_secs(30));
    // All followers request the whole list at once, as they do after the loss of a relay.
    let (start, before) = (Instant::now(), usage(process).0);
    let whole: Vec<_> =
        (0..FOLLOWERS).map(|_| thread::spawn(move || get(address, "/catalog/members").2.len())).collect();
    let sizes: Vec<usize> = whole.into_iter().map(|one| one.join().unwrap()).collect();
    let cost = usage(process).0 - before;
    println!("{FOLLOWERS} request the whole list of {} bytes at once: the last has it after {:?}, for {cost:?} of CPU \
        time; {:?} kB resident (at most)", sizes[0], start.elapsed(), (usage(process).1, usage(process).2));
    let _ = child.kill();
    let _ = child.wait();
}

/// The relay program with a source and 260 followers: `... --ignored --nocapture
/// three_hundred_changes_in_a_minute`
#[test]
#[ignore = "a measurement of a minute and a half"]
fn three_hundred_changes_in_a_minute_come_to_260_followers() {
    let source = Source::new(5, distinct_entries(8000));
    let relay = Relay::following(source.address);
    relay.wait_for_index(5);
    let process = relay.child.id();
    let followers = Followers::new(relay.address, FOLLOWERS, 5);
    thread::sleep(Duration::from_secs(5));
    followers.measure("at rest, 8,000 entries", process, FOLLOWERS, Duration::from_secs(20));
    let writer = thread::spawn({
        let (list, address) = (source.list.clone(), source.address);
        move || {
            let source = Source { address, list };
            for change in 0..300_u64 {
                let name = format!("endpoint-with-a-long-name-{}", change * 97 % 8000);
                let mut one = entry(&name, unused_address(), 7, "SERVING");
                one["since_ms"] = json!(unix_ms());
                source.put(one);
                thread::sleep(Duration::from_millis(200));
            }
        }
    });
    followers.measure("300 changes in a minute", process, FOLLOWERS, Duration::from_secs(64));
    writer.join().unwrap();
    assert_eq!(followers.heard.lock().unwrap().len(), 300);
}

/// Guards against sending changes to content that the follower does not hold.
#[test]
fn a_watch_with_a_content_hash_gets_the_changes_since_it_or_the_whole_list() {
    let pair = EndpointPair::new();
    let source = Source::new(5, pair.initial_list());
    let relay = Relay::following(source.address);
    relay.wait_for_index(5);
    let (_, _, held) = get(relay.address, "/relay/held?name=c");
    let held: Value = serde_json::from_slice(&held).unwrap();
    assert_eq!(held["resumes"], true);
    let hash = held["hash"].as_str().unwrap().to_string();
    let mut same = Watch::open(relay.address, &format!("/catalog/members?watch=1&after=5&hash={hash}"));
    let mut other = Watch::open(relay.address, "/catalog/members?watch=1&after=5&hash=0123456789abcdef");
    let whole = other.next().unwrap();
    assert_eq!((&whole["index"], &whole["snapshot"]), (&json!(5), &json!(true)));
    let index = source.put(entry("e1", pair.first.address, 7, "DRAINING"));
    let change = same.next().unwrap();
    assert_eq!((&change["index"], &change["snapshot"]), (&json!(index), &json!(false)));
    assert_eq!(change["endpoints"].as_array().unwrap().len(), 1);
}
