//! Couriers behind relays behind a source that tells the published form: each a process on loopback. What a
//! courier holds is seen by where it delivers, and by what it states to its relay.

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

/// A change is in force everywhere within this.
const IN_FORCE: Duration = Duration::from_secs(7);
const LATE: &str = "d=4000";

fn entry(name: &str, address: SocketAddr, destination: u64, status: &str) -> Value {
    json!({"name": name, "address": address.to_string(), "zone": "a", "type": "single", "group": destination,
        "status": status, "weight": 1000.0, "since_ms": 0})
}

struct Book {
    index: u64,
    /// Entries, and the version at which each last changed.
    entries: Vec<(Value, u64)>,
    /// Says nothing, and takes no change over.
    frozen: bool,
}

/// A source that tells the published form as the platform's agent does.
struct Source {
    address: SocketAddr,
    book: Arc<Mutex<Book>>,
}

impl Source {
    fn new(index: u64, entries: Vec<Value>) -> Source {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let entries = entries.into_iter().map(|entry| (entry, index)).collect();
        let book = Arc::new(Mutex::new(Book { index, entries, frozen: false }));
        let held = book.clone();
        serve(listener, move |request, out| {
            if request.target.contains("watch=1") {
                let after =
                    request.target.split_once("after=").map_or(0, |(_, after)| after.parse().unwrap());
                return watch_source(&held, after, out);
            }
            let (status, text) = match request.target.as_str() {
                "/catalog/members" => (200, told(&held.lock().unwrap(), None)),
                _ => (404, String::new()),
            };
            write!(out, "HTTP/1.1 {status} X\r\nContent-Length: {}\r\n\r\n{text}", text.len()).is_ok()
        });
        Source { address, book }
    }

    fn put(&self, entry: Value) -> u64 {
        let mut book = self.book.lock().unwrap();
        book.index += 1;
        let index = book.index;
        let gone = book.entries.iter().position(|(old, _)| old["name"] == entry["name"]);
        match gone {
            Some(at) => book.entries[at] = (entry, index),
            None => book.entries.push((entry, index)),
        }
        index
    }
}

fn told(book: &Book, after: Option<u64>) -> String {
    let is_told = |(entry, changed): &&(Value, u64)| match after {
        Some(after) => *changed > after,
        None => entry["status"] != "DELETED",
    };
    let entries: Vec<&Value> = book.entries.iter().filter(is_told).map(|(entry, _)| entry).collect();
    json!({"index": book.index, "snapshot": after.is_none(), "endpoints": entries}).to_string()
}

fn watch_source(book: &Mutex<Book>, mut after: u64, out: &mut TcpStream) -> bool {
    if write!(out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").is_err() {
        return false;
    }
    let mut quiet = Instant::now();
    loop {
        let line = {
            let book = book.lock().unwrap();
            let known = Some(after).filter(|&after| after > 0 && after < book.index);
            let news = !book.frozen && book.index != after;
            let line = news.then(|| told(&book, known) + "\n");
            after = if news { book.index } else { after };
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

/// A relay's process, killed at the end of its test.
struct Relay {
    address: SocketAddr,
    folder: Folder,
    config: Value,
    child: Child,
}

impl Relay {
    fn configured(change: impl FnOnce(&mut Value)) -> Relay {
        let (address, folder) = (unique_address(), Folder::new());
        let state = folder.path.join("state");
        let mut config =
            json!({"name": "r", "listen": address.to_string(), "state": state, "partitions": 16});
        change(&mut config);
        let child = Relay::spawn(&folder, &config);
        let relay = Relay { address, folder, config, child };
        relay.answers();
        relay
    }

    fn of(source: SocketAddr) -> Relay {
        Relay::configured(|config| config["source"] = json!(source.to_string()))
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

    fn answers(&self) {
        wait_until("the relay's first answer", || TcpStream::connect(self.address).is_ok());
    }

    fn restart(&mut self) {
        self.child = Relay::spawn(&self.folder, &self.config);
        self.answers();
    }

    fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).unwrap();
    }

    /// Ends as planned, with its list on file.
    fn end(&mut self) -> ExitStatus {
        self.signal(Signal::TERM);
        let start = Instant::now();
        wait_until("the relay's end", || self.child.try_wait().unwrap().is_some());
        assert!(start.elapsed() < Duration::from_secs(4));
        self.child.wait().unwrap()
    }

    fn status(&self) -> Value {
        let (status, _, body) = get(self.address, "/relay/status");
        assert_eq!(status, 200);
        serde_json::from_slice(&body).unwrap()
    }

    /// The index that is held, 0: none.
    fn index(&self) -> u64 {
        self.status()["held"]["index"].as_u64().unwrap_or(0)
    }

    fn holds(&self, index: u64) {
        wait_until("the relay holds it", || self.index() == index);
    }

    /// What followers state that they hold.
    fn stated(&self) -> Vec<(String, u64, u64)> {
        let number = |value: &Value| value.as_u64().unwrap();
        let status = self.status();
        let of =
            |f: &Value| (f["name"].as_str().unwrap().to_string(), number(&f["epoch"]), number(&f["index"]));
        status["followers"].as_array().unwrap().iter().map(of).collect()
    }

    /// Kilobytes of memory that are its own now.
    fn resident(&self) -> usize {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find(|line| line.starts_with("VmRSS")).unwrap();
        line.split_whitespace().nth(1).unwrap().parse().unwrap()
    }

    fn sockets(&self) -> usize {
        fs::read_dir(format!("/proc/{}/fd", self.child.id())).unwrap().count()
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// One answer, whole: status, fields, body.
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

/// A watch by hand: the text that its chunks hold, a line at a time.
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

    /// The next line that is not empty; `None`: the watch has ended.
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

/// Two endpoints of one destination, of which one serves.
struct Pair {
    first: Endpoint,
    second: Endpoint,
}

impl Pair {
    fn new() -> Pair {
        Pair { first: Endpoint::new(&[]), second: Endpoint::new(&[]) }
    }

    fn first(&self) -> Vec<Value> {
        let (first, second) = (self.first.address, self.second.address);
        vec![entry("e1", first, 7, "SERVING"), entry("e2", second, 7, "DRAINING")]
    }

    /// The second takes the first's place.
    fn second(&self) -> Vec<Value> {
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

/// Attempts go to this endpoint, before long.
fn delivers(courier: &Courier, id: &str, endpoint: &Endpoint) {
    assert_eq!(courier.client().put(id, "again", LATE), "+OK");
    wait_until("the delivery", || endpoint.ids().iter().any(|seen| seen.contains(id)));
}

/// All of these state that they hold this version, at one relay or another; says how long that took.
fn in_force(relays: &[&Relay], names: &[&str], index: u64, longest: Duration) -> Duration {
    let start = Instant::now();
    wait_until_within(longest, "in force everywhere", || {
        let stated: Vec<_> = relays.iter().flat_map(|relay| relay.stated()).collect();
        names.iter().all(|name| stated.iter().any(|(by, _, at)| by == name && *at == index))
    });
    start.elapsed()
}

#[test]
fn a_courier_behind_a_relay_delivers() {
    let (platform, pair) = (Platform::new(), Pair::new());
    let source = Source::new(5, pair.first());
    let relay = Relay::of(source.address);
    let courier = courier(&platform, "c1", &[&relay]);
    in_force(&[&relay], &["c1"], 5, IN_FORCE);
    delivers(&courier, "01", &pair.first);
    assert!(pair.second.ids().is_empty());
    // Notices go to the platform all the same: what can't be delivered is told there.
    assert_eq!(
        courier.client().request(&common::put("0000000000000000", "02", "again", "d=50", b"x")),
        "+OK"
    );
    assert_eq!(platform.state.lock().unwrap().watches, 0, "the platform's list is not followed");
}

#[test]
fn a_change_is_in_force_at_a_courier_behind_two_relays_in_a_row() {
    let (platform, pair) = (Platform::new(), Pair::new());
    let source = Source::new(5, pair.first());
    let first = Relay::of(source.address);
    let second = Relay::configured(|config| {
        config["name"] = json!("r2");
        config["relays"] = json!([first.address.to_string()]);
    });
    let courier = courier(&platform, "c1", &[&second]);
    in_force(&[&second], &["c1"], 5, IN_FORCE);
    delivers(&courier, "01", &pair.first);
    let mut index = 0;
    pair.second().into_iter().for_each(|entry| index = source.put(entry));
    let took = in_force(&[&second], &["c1"], index, IN_FORCE);
    println!("in force behind two relays after {took:?}, as stated once a second");
    delivers(&courier, "02", &pair.second);
    // The relay behind states what it holds as well.
    in_force(&[&first], &["r2"], index, IN_FORCE);
}

#[test]
fn couriers_of_a_relay_that_is_killed_move_on_and_hear_the_next_change_in_time() {
    let (platform, pair) = (Platform::new(), Pair::new());
    let source = Source::new(5, pair.first());
    let mut relays = [Relay::of(source.address), Relay::of(source.address), Relay::of(source.address)];
    let names = ["c1", "c2", "c3", "c4"];
    let couriers: Vec<Courier> = {
        let all: Vec<&Relay> = relays.iter().collect();
        names.iter().map(|name| courier(&platform, name, &all)).collect()
    };
    let all: Vec<&Relay> = relays.iter().collect();
    in_force(&all, &names, 5, IN_FORCE);
    // The one with the most followers, as the rendezvous has it.
    let addresses: Vec<(String, f64)> = relays.iter().map(|relay| (relay.address.to_string(), 1.0)).collect();
    let own = |relay: usize| -> Vec<&str> {
        names.into_iter().filter(|name| rank_relays(name, &addresses)[0] == relay).collect()
    };
    let lost = (0..3).max_by_key(|&relay| own(relay).len()).unwrap();
    let orphans = own(lost);
    in_force(&[&relays[lost]], &orphans, 5, IN_FORCE);
    relays[lost].kill();
    let (start, mut index) = (Instant::now(), 0);
    pair.second().into_iter().for_each(|entry| index = source.put(entry));
    let left: Vec<&Relay> = relays.iter().enumerate().filter(|(i, _)| *i != lost).map(|(_, r)| r).collect();
    in_force(&left, &names, index, IN_FORCE);
    println!(
        "{} of 4 lost their relay; the change in force at all after {:?}",
        orphans.len(),
        start.elapsed()
    );
    for (i, courier) in couriers.iter().enumerate() {
        delivers(courier, &format!("0{i}"), &pair.second);
    }
    // It is back: they return, each after a delay of its own.
    relays[lost].restart();
    in_force(&[&relays[lost]], &orphans, index, Duration::from_secs(90));
}

#[test]
fn a_relay_that_stands_still_is_left_and_catches_up_when_it_goes_on() {
    let (platform, pair) = (Platform::new(), Pair::new());
    let source = Source::new(5, pair.first());
    let relays = [Relay::of(source.address), Relay::of(source.address)];
    let all: Vec<&Relay> = relays.iter().collect();
    let names = ["c1", "c2", "c3"];
    let couriers: Vec<Courier> = names.iter().map(|name| courier(&platform, name, &all)).collect();
    in_force(&all, &names, 5, IN_FORCE);
    let still = usize::from(relays[1].stated().len() > relays[0].stated().len());
    let start = Instant::now();
    relays[still].signal(Signal::STOP);
    let mut index = 0;
    pair.second().into_iter().for_each(|entry| index = source.put(entry));
    let runs = &relays[1 - still];
    in_force(&[runs], &names, index, IN_FORCE);
    println!("a relay stands still: the change in force at all after {:?}", start.elapsed());
    for (i, courier) in couriers.iter().enumerate() {
        delivers(courier, &format!("0{i}"), &pair.second);
    }
    thread::sleep(Duration::from_secs(10).saturating_sub(start.elapsed()));
    relays[still].signal(Signal::CONT);
    relays[still].holds(index);
    // Whoever goes back to it holds what it held.
    let index = source.put(entry("e3", pair.first.address, 9, "SERVING"));
    in_force(&all, &names, index, IN_FORCE);
}

#[test]
fn a_kept_list_serves_without_a_source_and_one_that_is_cut_anywhere_is_passed_over() {
    let pair = Pair::new();
    let source = Source::new(5, pair.first());
    let mut relay = Relay::of(source.address);
    relay.holds(5);
    let whole = get_list(relay.address, "/catalog/members");
    assert!(relay.end().success());
    let path = relay.folder.path.join("state/memory");
    let kept = fs::read(&path).unwrap();
    // Nobody listens there any more.
    let gone = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    relay.config["source"] = json!(gone.to_string());
    relay.restart();
    let (status, head, body) = get(relay.address, "/catalog/members");
    assert_eq!((status, serde_json::from_slice::<Value>(&body).unwrap()), (200, whole.clone()));
    assert!(head.to_ascii_lowercase().contains("\r\nage: "), "{head}");
    assert_eq!(relay.status()["held"]["kept"], json!(true));
    let listed = Command::new(command(&relay.folder, &json!({}), "relay").get_program())
        .args(["relay", "status", &relay.address.to_string()])
        .output()
        .unwrap();
    let words = String::from_utf8(listed.stdout).unwrap();
    assert!(
        words.contains("from its file, which no source has confirmed")
            && words.contains("in force at 0 of 0")
    );
    relay.kill();
    let mut chance = fastrand::Rng::with_seed(11);
    let mut places: Vec<usize> = (0..10).map(|_| chance.usize(..kept.len())).collect();
    places.extend([0, 1, kept.len() - 1]);
    for place in places {
        fs::write(&path, &kept[..place]).unwrap();
        relay.restart();
        assert_eq!(get(relay.address, "/catalog/members").0, 503, "cut at {place}");
        assert_eq!(get(relay.address, "/relay/held?name=x").0, 503, "cut at {place}");
        relay.kill();
    }
    // With a byte changed as well, and then a source is there again.
    let mut other = kept.clone();
    let place = kept.len() / 2;
    other[place] ^= 1;
    fs::write(&path, &other).unwrap();
    relay.config["source"] = json!(source.address.to_string());
    relay.restart();
    relay.holds(5);
    assert_eq!(get_list(relay.address, "/catalog/members"), whole);
    // Another number of partitions is another state.
    assert!(relay.end().success());
    relay.config["partitions"] = json!(17);
    let (success, words) = output(Relay::command(&relay.folder, &relay.config));
    assert!(!success && words.contains("holds 16 partitions, and 17 are configured"), "{words}");
}

#[test]
fn between_two_relays_that_disagree_a_courier_never_goes_back() {
    let (platform, pair) = (Platform::new(), Pair::new());
    let (fresh, stale) = (Source::new(5, pair.first()), Source::new(5, pair.first()));
    let (mut ahead, behind) = (Relay::of(fresh.address), Relay::of(stale.address));
    let courier = courier(&platform, "c1", &[&ahead, &behind]);
    in_force(&[&ahead, &behind], &["c1"], 5, IN_FORCE);
    let mut index = 0;
    pair.second().into_iter().for_each(|entry| index = fresh.put(entry));
    // Wherever it was: the other one holds nothing newer.
    in_force(&[&ahead, &behind], &["c1"], index, Duration::from_secs(45));
    delivers(&courier, "01", &pair.second);
    ahead.kill();
    // At the stale one for longer than a lower list is waited for after a move.
    let there = || behind.stated().iter().any(|(name, _, at)| name == "c1" && *at == index);
    wait_until("it turns to the other", there);
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(6) {
        let stated = behind.stated();
        assert!(stated.iter().all(|(_, _, at)| *at == index), "went back: {stated:?}");
        thread::sleep(Duration::from_millis(100));
    }
    delivers(&courier, "02", &pair.second);
    assert!(pair.first.ids().is_empty());
    // The stale one catches up, past what was held: it is followed from there.
    pair.second().into_iter().for_each(|entry| {
        stale.put(entry);
    });
    let index = stale.put(entry("e1", pair.first.address, 7, "SERVING"));
    stale.put(entry("e2", pair.second.address, 7, "DRAINING"));
    in_force(&[&behind], &["c1"], index + 1, IN_FORCE);
    delivers(&courier, "03", &pair.first);
}

#[test]
fn a_relay_from_an_old_file_takes_nobody_back() {
    let (platform, pair) = (Platform::new(), Pair::new());
    let source = Source::new(5, pair.first());
    let mut relay = Relay::of(source.address);
    relay.holds(5);
    assert!(relay.end().success());
    let path = relay.folder.path.join("state/memory");
    let old = fs::read(&path).unwrap();
    relay.restart();
    let courier = courier(&platform, "c1", &[&relay]);
    let mut index = 0;
    pair.second().into_iter().for_each(|entry| index = source.put(entry));
    in_force(&[&relay], &["c1"], index, IN_FORCE);
    // Back with the file from before, and no source: it serves what it has, and the courier keeps what it
    // held.
    relay.kill();
    // For long enough that the courier gives it up, and begins anew with whatever is there.
    thread::sleep(Duration::from_millis(2500));
    fs::write(&path, &old).unwrap();
    let gone = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    relay.config["source"] = json!(gone.to_string());
    relay.restart();
    assert_eq!(relay.index(), 5);
    wait_until("it is back", || relay.stated().iter().any(|(name, _, at)| name == "c1" && *at == index));
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(5) {
        assert!(relay.stated().iter().all(|(_, _, at)| *at == index));
        thread::sleep(Duration::from_millis(100));
    }
    delivers(&courier, "01", &pair.second);
    assert!(pair.first.ids().is_empty());
}

#[test]
fn a_source_that_counts_anew_is_followed_under_a_newer_epoch_and_not_before() {
    let (platform, pair) = (Platform::new(), Pair::new());
    let source = Source::new(50, pair.first());
    let mut first = Relay::of(source.address);
    let second = Relay::configured(|config| {
        config["name"] = json!("r2");
        config["relays"] = json!([first.address.to_string()]);
    });
    let courier = courier(&platform, "c1", &[&second]);
    in_force(&[&second], &["c1"], 50, IN_FORCE);
    // Another process of the source, which counts from the beginning; its list is another one too.
    let anew = Source::new(3, pair.second());
    first.config["source"] = json!(anew.address.to_string());
    let reconfigure = |relay: &Relay| {
        fs::write(relay.folder.path.join("relay.json"), relay.config.to_string()).unwrap();
        relay.signal(Signal::HUP);
    };
    reconfigure(&first);
    thread::sleep(Duration::from_secs(6));
    assert_eq!((first.index(), second.index()), (50, 50), "a lower list alone may be a stale one");
    first.config["epoch"] = json!(1);
    let start = Instant::now();
    reconfigure(&first);
    let there = || second.stated() == [("c1".to_string(), 1, 3)];
    wait_until_within(Duration::from_secs(20), "it is followed", there);
    println!("a source that counts anew is in force behind two relays after {:?}", start.elapsed());
    delivers(&courier, "01", &pair.second);
    // And what it tells from there on.
    let index = anew.put(entry("e1", pair.first.address, 7, "SERVING"));
    in_force(&[&second], &["c1"], index, IN_FORCE);
    // The epoch outlasts the process, whatever the file of configuration says.
    assert!(first.end().success());
    first.config["epoch"] = json!(0);
    first.restart();
    assert_eq!(first.status()["held"]["epoch"], json!(1));
    let index = anew.put(entry("e1", pair.first.address, 7, "DRAINING"));
    in_force(&[&second], &["c1"], index, IN_FORCE);
}

#[test]
fn a_source_from_before_the_kept_list_is_followed_once_it_has_passed_it() {
    let pair = Pair::new();
    let (first, other) = (Source::new(5, pair.first()), Source::new(5, pair.first()));
    let mut relay = Relay::of(first.address);
    pair.second().into_iter().for_each(|entry| {
        first.put(entry);
    });
    relay.holds(7);
    let held = get_list(relay.address, "/catalog/members");
    assert!(relay.end().success());
    relay.config["source"] = json!(other.address.to_string());
    relay.restart();
    // It goes past 7 in one line, and what it tells then is as it was at 5: nothing of it is to be missed.
    thread::sleep(Duration::from_secs(1));
    assert_eq!(get_list(relay.address, "/catalog/members"), held);
    {
        let mut book = other.book.lock().unwrap();
        book.index = 9;
        book.entries.iter_mut().for_each(|(_, changed)| *changed = 9);
    }
    relay.holds(9);
    let sorted = |mut list: Value| {
        let entries = list["endpoints"].as_array_mut().unwrap();
        entries.sort_by_key(|entry| entry["name"].to_string());
        list
    };
    let (got, expected) =
        (get_list(relay.address, "/catalog/members"), get_list(other.address, "/catalog/members"));
    assert_eq!(sorted(got), sorted(expected));
}

/// Entries of destinations of their own, with long names.
fn many(count: u64) -> Vec<Value> {
    many_from(0, count)
}

fn many_from(first: u64, count: u64) -> Vec<Value> {
    let address = SocketAddr::from(([127, 0, 0, 1], 9));
    (first..first + count)
        .map(|i| entry(&format!("endpoint-with-a-long-name-{i}"), address, i, "SERVING"))
        .collect()
}

#[test]
fn who_reads_a_byte_a_second_slows_nobody_and_costs_no_memory_without_end() {
    let source = Source::new(5, many(8000));
    let relay = Relay::configured(|config| {
        config["source"] = json!(source.address.to_string());
        config["bounds"] = json!({"followers": 64});
    });
    relay.holds(5);
    let mut reader = Watch::open(relay.address, "/catalog/members?watch=1&after=5");
    let at_rest = relay.resident();
    // Forty that ask for all of it and hardly read, and forty watches from no version on that do the same.
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
            reader_address(),
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
        "80 hardly read: a change came to another within {latest:?}; {at_rest} kB at rest, {most} at most"
    );
    assert!(latest < IN_FORCE, "{latest:?}");
    assert!(most < at_rest + 24_000, "{at_rest} kB at rest, and then {most}");
    // They are closed in the end; who reads is not.
    wait_until_within(Duration::from_secs(20), "they are closed", || relay.sockets() < 30);
    let index = source.put(entry("last", reader_address(), 1, "SERVING"));
    assert_eq!(reader.next().unwrap()["index"], json!(index));
}

fn reader_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 10))
}

#[test]
fn three_hundred_changes_come_to_each_watch_and_leave_all_with_the_same_list() {
    let source = Source::new(5, many(200));
    let first = Relay::of(source.address);
    let second = Relay::configured(|config| config["relays"] = json!([first.address.to_string()]));
    second.holds(5);
    let mut watch = Watch::open(second.address, "/catalog/members?watch=1&after=5");
    let mut chance = fastrand::Rng::with_seed(3);
    let writer = thread::spawn({
        let (book, address) = (source.book.clone(), source.address);
        move || {
            let source = Source { address, book };
            let mut index = 0;
            for _ in 0..300 {
                let name = format!("endpoint-with-a-long-name-{}", chance.u64(..250));
                let status = ["SERVING", "DRAINING", "DELETED"][chance.usize(..3)];
                index = source.put(entry(&name, reader_address(), chance.u64(..50), status));
                thread::sleep(Duration::from_millis(chance.u64(..20)));
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
    for entry in many(200) {
        held.insert(entry["name"].as_str().unwrap().to_string(), entry);
    }
    while index < 305 {
        let Some(line) = watch.next() else {
            // Told to ask anew: from what is held.
            watch = Watch::open(second.address, &format!("/catalog/members?watch=1&after={last}"));
            continue;
        };
        index = line["index"].as_u64().unwrap();
        assert!(index >= last, "went back from {last} to {index}");
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
    let truth = whole(&get_list(source.address, "/catalog/members"));
    assert_eq!(held, truth);
    assert_eq!(whole(&get_list(first.address, "/catalog/members")), truth);
    assert_eq!(whole(&get_list(second.address, "/catalog/members")), truth);
}

#[test]
fn who_knows_the_published_form_alone_is_served_as_by_the_agent() {
    let pair = Pair::new();
    let source = Source::new(5, pair.first());
    let relay = Relay::of(source.address);
    relay.holds(5);
    let sorted = |list: &Value| {
        let mut entries = list["endpoints"].as_array().unwrap().clone();
        entries.sort_by_key(|entry| entry["name"].to_string());
        (list["index"].clone(), list["snapshot"].clone(), entries, list.as_object().unwrap().len())
    };
    let same = |path: &str| {
        assert_eq!(sorted(&get_list(relay.address, path)), sorted(&get_list(source.address, path)));
    };
    same("/catalog/members");
    // Words that it does not know change nothing.
    assert_eq!(get_list(relay.address, "/catalog/members?x=1"), get_list(relay.address, "/catalog/members"));
    source.put(entry("e3", pair.first.address, 8, "SERVING"));
    relay.holds(6);
    source.put(entry("e1", pair.first.address, 7, "DELETED"));
    relay.holds(7);
    same("/catalog/members");
    // From each version on, from none, and from one that is not there yet.
    for after in [0, 5, 6, 99] {
        let path = format!("/catalog/members?watch=1&after={after}");
        let told = |address| sorted(&Watch::open(address, &path).next().unwrap());
        if after == 5 || after == 6 {
            assert_eq!(told(relay.address), told(source.address), "{after}");
        } else {
            assert_eq!(told(relay.address).1, json!(true), "{after}");
            assert_eq!(told(relay.address), told(source.address), "{after}");
        }
    }
    // An empty line comes every two seconds: silence would be that of a dead one.
    let mut quiet = TcpStream::connect(relay.address).unwrap();
    write!(quiet, "GET /catalog/members?watch=1&after=7 HTTP/1.1\r\nHost: x\r\n\r\n").unwrap();
    let (mut lines, start) = (BufReader::new(quiet).lines(), Instant::now());
    let turns = lines.by_ref().map_while(Result::ok).filter(|line| line == "1").take(2).count();
    assert!(turns == 2 && start.elapsed() < Duration::from_millis(5500), "{:?}", start.elapsed());
}

#[test]
fn parts_are_given_alone_and_together_make_the_whole() {
    let source = Source::new(5, many(300));
    let relay = Relay::of(source.address);
    relay.holds(5);
    let whole = get_list(relay.address, "/catalog/members");
    let mut names: Vec<String> = Vec::new();
    let mut hashes = 0_u64;
    for part in 0..16 {
        let list = get_list(relay.address, &format!("/catalog/members?partition={part}"));
        assert_eq!((&list["epoch"], &list["partitions"]), (&json!(0), &json!(16)));
        let told = list["parts"].as_array().unwrap();
        assert_eq!((told.len(), &told[0]["partition"], &told[0]["version"]), (1, &json!(part), &json!(5)));
        hashes = hashes.wrapping_add(u64::from_str_radix(told[0]["hash"].as_str().unwrap(), 16).unwrap());
        for entry in list["endpoints"].as_array().unwrap() {
            let destination = entry["group"].as_u64().unwrap();
            assert_eq!(meadowhold_catalog::store::partition(destination, 16), part);
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
    // A watch on parts: what changes elsewhere is not told there, and what moves away is told as gone.
    let part = meadowhold_catalog::store::partition(3, 16);
    let elsewhere = (0..).find(|&d| meadowhold_catalog::store::partition(d, 16) != part).unwrap();
    let mut watch = Watch::open(relay.address, &format!("/catalog/members?watch=1&after=5&partition={part}"));
    source.put(entry("new", reader_address(), elsewhere, "SERVING"));
    source.put(entry("mine", reader_address(), 3, "SERVING"));
    let line = watch.next().unwrap();
    assert_eq!((&line["index"], &line["endpoints"][0]["name"]), (&json!(7), &json!("mine")));
    assert_eq!((&line["parts"][0]["partition"], &line["parts"][0]["version"]), (&json!(part), &json!(7)));
    assert_eq!(line["endpoints"].as_array().unwrap().len(), 1);
    source.put(entry("mine", reader_address(), elsewhere, "SERVING"));
    let line = watch.next().unwrap();
    assert_eq!(
        (&line["endpoints"][0]["name"], &line["endpoints"][0]["status"]),
        (&json!("mine"), &json!("DELETED"))
    );
}

#[test]
fn bad_input_is_closed_and_bounded_and_others_are_served_on() {
    let source = Source::new(5, many(50));
    let relay = Relay::configured(|config| {
        config["source"] = json!(source.address.to_string());
        config["bounds"] = json!({"followers": 8});
    });
    relay.holds(5);
    let before = relay.resident();
    let mut watch = Watch::open(relay.address, "/catalog/members?watch=1&after=5");
    // Thousands that connect and say nothing, 600 of them at one time.
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
    wait_until("the rest is closed", || relay.sockets() < 8 * 3 + 256 + 40);
    let mut chance = fastrand::Rng::with_seed(5);
    let garbage = |chance: &mut fastrand::Rng| (0..2000).map(|_| chance.u8(..)).collect::<Vec<u8>>();
    let huge = format!("GET /catalog/members HTTP/1.1\r\nHost: {}\r\n", "x".repeat(200_000)).into_bytes();
    let fields = format!("GET / HTTP/1.1\r\n{}", "a: b\r\n".repeat(20_000)).into_bytes();
    let long = format!("GET /{} HTTP/1.1\r\n\r\n", "y".repeat(100_000)).into_bytes();
    let post = b"POST /catalog/members HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999999\r\n\r\n".to_vec();
    let mut bad = vec![huge, fields, long, post, b"\0\0\0\0\r\n\r\n".to_vec()];
    bad.extend((0..20).map(|_| [&garbage(&mut chance)[..], b"\r\n\r\n"].concat()));
    for bytes in bad {
        let mut stream = TcpStream::connect(relay.address).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(15))).unwrap();
        let _ = stream.write_all(&bytes);
        // Some words of what is wrong, or none, and the end.
        let mut answer = Vec::new();
        match stream.read_to_end(&mut answer) {
            Ok(_) => {}
            Err(e) => assert_eq!(e.kind(), std::io::ErrorKind::ConnectionReset, "not closed"),
        }
        assert!(!answer.starts_with(b"HTTP/1.1 200"));
    }
    // As many watches as may be, and no more; names without end are not kept.
    let more: Vec<Watch> =
        (0..7).map(|_| Watch::open(relay.address, "/catalog/members?watch=1&after=5")).collect();
    assert_eq!(get(relay.address, "/catalog/members?watch=1&after=5").0, 503);
    for i in 0..200 {
        assert_eq!(
            get(relay.address, &format!("/relay/held?name=n{i}&index=18446744073709551616&epoch=%")).0,
            200
        );
    }
    assert!(relay.stated().len() <= 8);
    assert_eq!(get(relay.address, "/elsewhere").0, 404);
    drop(more);
    let index = source.put(entry("last", reader_address(), 1, "SERVING"));
    assert_eq!(watch.next().unwrap()["index"], json!(index));
    let after = relay.resident();
    println!("{before} kB before, {after} after");
    assert!(after < before + 24_000, "{before} kB before, {after} after");
}

#[test]
fn a_list_that_cannot_be_is_turned_down_and_what_was_held_serves_on() {
    let source = Source::new(5, many(20));
    let relay = Relay::configured(|config| {
        config["source"] = json!(source.address.to_string());
        config["bounds"] = json!({"entries": 25});
    });
    relay.holds(5);
    let whole = get_list(relay.address, "/catalog/members");
    {
        let mut book = source.book.lock().unwrap();
        let index = book.index + 1;
        book.entries.extend(many(40).into_iter().map(|entry| (entry, index)));
        book.index = index;
    }
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(1) {
        assert_eq!(get_list(relay.address, "/catalog/members"), whole);
        thread::sleep(Duration::from_millis(50));
    }
}

#[test]
fn until_a_list_is_held_a_relay_says_so_and_it_ends_when_asked_to() {
    let gone = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let mut relay = Relay::of(gone);
    for path in ["/catalog/members", "/catalog/members?watch=1&after=0", "/relay/held"] {
        assert_eq!(get(relay.address, path).0, 503);
    }
    assert_eq!(relay.status()["held"], Value::Null);
    assert!(relay.end().success());
}

#[test]
fn every_fault_of_a_relays_file_is_told_in_one_message() {
    let folder = Folder::new();
    let config = json!({"listen": "here", "source": "127.0.0.1:1", "relays": ["127.0.0.1:2", "there"],
        "partitions": 5000, "epoch": "x", "bounds": {"followers": 0, "entries": 1_000_001}, "odd": 1});
    let (success, words) = output(Relay::command(&folder, &config));
    assert!(!success && words.lines().count() == 1, "{words}");
    for place in
        ["bounds.entries", "bounds.followers", "epoch", "listen", "odd", "partitions", "relays", "state"]
    {
        assert!(words.contains(&format!(" {place} ")), "{place}: {words}");
    }
    let one = json!({"listen": "127.0.0.1:0", "state": "s"});
    let (success, words) = output(Relay::command(&folder, &one));
    assert!(!success && words.contains("source is missing, and relays too"), "{words}");
    // The worked file has none.
    let worked = include_bytes!("../../../deploy/relay.json");
    assert!(meadowhold_courier::relay::config::Config::read(worked).is_ok());
    // A courier's as well.
    let platform = Platform::new();
    let mut config = common::config(&platform, unique_address());
    config["relays"] = json!(["127.0.0.1:1", "127.0.0.1:2"]);
    let said = command(&folder, &config, "check").output().unwrap();
    let said = String::from_utf8(said.stdout).unwrap();
    assert!(said.contains("by relays instead: 127.0.0.1:1, 127.0.0.1:2\n"));
    for (relays, fault) in [(json!([]), "relays "), (json!(["x"]), "is no address: x"), (json!(3), "relays ")]
    {
        config["relays"] = relays;
        let (success, words) = output(command(&folder, &config, "check"));
        assert!(!success && words.contains(fault), "{words}");
    }
}

/// What a process has used so far: processor time, kilobytes resident now and at most.
fn used(process: u32) -> (Duration, usize, usize) {
    let stat = fs::read_to_string(format!("/proc/{process}/stat")).unwrap();
    let fields: Vec<&str> = stat.rsplit_once(") ").unwrap().1.split(' ').collect();
    // In hundredths of a second, as on all that Linux runs on.
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

/// Followers as couriers are: each a watch, and an ask a second of what is held.
struct Crowd {
    read: Arc<AtomicU64>,
    written: Arc<AtomicU64>,
    /// By the moment of a change, in milliseconds: how many heard of it, and the last after how long.
    heard: Arc<Mutex<BTreeMap<u64, (usize, u64)>>>,
    ends: Arc<AtomicBool>,
}

impl Crowd {
    fn new(address: SocketAddr, count: usize, after: u64) -> Crowd {
        let crowd = Crowd {
            read: Arc::default(),
            written: Arc::default(),
            heard: Arc::default(),
            ends: Arc::default(),
        };
        for follower in 0..count {
            let (read, written, heard) = (crowd.read.clone(), crowd.written.clone(), crowd.heard.clone());
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
            let (read, written, ends) = (crowd.read.clone(), crowd.written.clone(), crowd.ends.clone());
            let ask = move || {
                let mut stream = TcpStream::connect(address).unwrap();
                let ask = format!(
                    "GET /relay/held?name=courier-{follower}&epoch=0&index={after} HTTP/1.1\r\nhost: {address}\r\n\r\n"
                );
                let mut bytes = [0; 1024];
                while !ends.load(Relaxed) && stream.write_all(ask.as_bytes()).is_ok() {
                    written.fetch_add(ask.len() as u64, Relaxed);
                    read.fetch_add(stream.read(&mut bytes).unwrap_or(0) as u64, Relaxed);
                    thread::sleep(Duration::from_millis(750 + (follower as u64 * 37) % 250));
                }
            };
            small().spawn(ask).unwrap();
        }
        crowd
    }

    /// Says what a process and its followers used in so long.
    fn measure(&self, what: &str, process: u32, count: usize, span: Duration) {
        let (before, start) = (used(process).0, Instant::now());
        let bytes = || (self.read.load(Relaxed), self.written.load(Relaxed));
        let bytes_before = bytes();
        self.heard.lock().unwrap().clear();
        thread::sleep(span);
        let (took, (now, resident, most)) = (start.elapsed().as_secs_f64(), used(process));
        let after = bytes();
        let rate = |from: u64, to: u64| (to - from) as f64 / took / count as f64;
        let load = fs::read_to_string("/proc/loadavg").unwrap();
        let heard = self.heard.lock().unwrap();
        let all: Vec<u64> = heard.values().filter(|(n, _)| *n == count).map(|(_, last)| *last).collect();
        println!(
            "{what}: {:.2}% of a core, {resident} kB resident ({most} at most), {:.0} B/s to and {:.0} B/s from each \
             of {count}; {} changes, {} of them at all, the last follower after {} ms at most, {:.1} in the mean; \
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
        assert!(all.len() + 1 >= heard.len(), "a change is not everywhere");
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.ends.store(true, Relaxed);
    }
}

const CROWD: usize = 260;

/// A relay's hub and server in a process of their own, which has 30,000 entries told by itself. It runs where `figures_at_30_000_entries` starts it, by the variable.
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
        // In pieces of one version, as a reader of fewer entries at once would tell them, and never all as
        // values.
        for piece in 0..30 {
            let texts: Vec<String> = many_from(piece * 1000, 1000).iter().map(Value::to_string).collect();
            let text =
                format!("{{\"index\":5,\"snapshot\":{},\"endpoints\":[{}]}}", piece == 0, texts.join(","));
            let list: List = serde_json::from_str(&text).unwrap();
            hub.borrow_mut().apply_update(&(&list).into());
        }
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        println!("\nat {}", listener.local_addr().unwrap());
        tokio::task::spawn_local(serve::listen(hub.clone(), listener, 1024));
        // The first line from outside starts the changes.
        let mut commands = tokio::io::BufReader::new(
            tokio::net::TcpStream::connect(std::env::var("RELAY_FIGURES_AT").unwrap()).await.unwrap(),
        );
        let mut word = String::new();
        tokio::io::AsyncBufReadExt::read_line(&mut commands, &mut word).await.unwrap();
        for change in 0.. {
            let mut one = entry(
                &format!("endpoint-with-a-long-name-{}", change * 97 % 30_000),
                reader_address(),
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
    println!("no follower: {:?} kB resident (at most)", (used(process).1, used(process).2));
    let crowd = Crowd::new(address, CROWD, 5);
    thread::sleep(Duration::from_secs(5));
    crowd.measure("at rest, 30,000 entries", process, CROWD, Duration::from_secs(20));
    go.write_all(b"go\n").unwrap();
    thread::sleep(Duration::from_secs(3));
    crowd.measure("a change a second", process, CROWD, Duration::from_secs(30));
    // All ask for the whole at once, as after a relay was lost.
    let (start, before) = (Instant::now(), used(process).0);
    let whole: Vec<_> =
        (0..CROWD).map(|_| thread::spawn(move || get(address, "/catalog/members").2.len())).collect();
    let sizes: Vec<usize> = whole.into_iter().map(|one| one.join().unwrap()).collect();
    let cost = used(process).0 - before;
    println!("{CROWD} ask for the whole of {} bytes at once: the last has it after {:?}, for {cost:?} of processor \
        time; {:?} kB resident (at most)", sizes[0], start.elapsed(), (used(process).1, used(process).2));
    let _ = child.kill();
    let _ = child.wait();
}

/// The program itself, from a source to 260 followers: `... --ignored --nocapture
/// three_hundred_changes_in_a_minute`
#[test]
#[ignore = "a measurement of a minute and a half"]
fn three_hundred_changes_in_a_minute_come_to_260_followers() {
    let source = Source::new(5, many(8000));
    let relay = Relay::of(source.address);
    relay.holds(5);
    let process = relay.child.id();
    let crowd = Crowd::new(relay.address, CROWD, 5);
    thread::sleep(Duration::from_secs(5));
    crowd.measure("at rest, 8,000 entries", process, CROWD, Duration::from_secs(20));
    let writer = thread::spawn({
        let (book, address) = (source.book.clone(), source.address);
        move || {
            let source = Source { address, book };
            for change in 0..300_u64 {
                let name = format!("endpoint-with-a-long-name-{}", change * 97 % 8000);
                let mut one = entry(&name, reader_address(), 7, "SERVING");
                one["since_ms"] = json!(unix_ms());
                source.put(one);
                thread::sleep(Duration::from_millis(200));
            }
        }
    });
    crowd.measure("300 changes in a minute", process, CROWD, Duration::from_secs(64));
    writer.join().unwrap();
    assert_eq!(crowd.heard.lock().unwrap().len(), 300);
}

/// Guards against a difference from content that the follower does not hold.
#[test]
fn a_watch_that_names_its_content_is_told_what_changed_since_just_that_or_else_all() {
    let pair = Pair::new();
    let source = Source::new(5, pair.first());
    let relay = Relay::of(source.address);
    relay.holds(5);
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
