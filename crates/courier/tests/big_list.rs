//! Lists of any size: read as they arrive, rejected over the limits of the configuration, and what they cost.

mod common;

use std::fs;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::{
    command, config, serve, unique_address, wait_until, wait_until_ready, wait_until_within, Client,
    Endpoint, Folder, Platform,
};
use serde_json::{json, Value};

const CHUNKED_HEADERS: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

fn entry(name: &str, address: SocketAddr, group: usize, status: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"address\":\"{address}\",\"zone\":\"a\",\"type\":\"single\",\"group\":{group},\
        \"status\":\"{status}\",\"weight\":1000.0,\"since_ms\":0}}"
    )
}

fn list(index: u64, snapshot: bool, entries: &[String]) -> String {
    format!("{{\"index\":{index},\"snapshot\":{snapshot},\"endpoints\":[{}]}}", entries.join(","))
}

/// A list of this many destinations, every second of them with two endpoints; the last one has the only endpoint that is up.
fn destinations(count: usize, there: SocketAddr) -> Vec<String> {
    let mut entries = Vec::with_capacity(count + count / 2);
    for destination in 1..count {
        for twin in 0..1 + destination % 2 {
            let at = destination * 2 + twin;
            let address = SocketAddr::from(([127, 251, (at / 250 % 250) as u8, (at % 250) as u8], 6379));
            entries.push(entry(
                &format!("s-{:08x}", (at as u32).wrapping_mul(0x9e37_79b1)),
                address,
                destination,
                "SERVING",
            ));
        }
    }
    entries.push(entry("there", there, count, "SERVING"));
    entries
}

type Requests = Arc<Mutex<Vec<(Instant, bool)>>>;

/// A fake discovery: `answer` is passed whether a watch is requested, and from which version on. Returning false closes the
/// connection.
fn discovery(
    answer: impl Fn(bool, u64, &mut TcpStream) -> bool + Send + Sync + 'static,
) -> (SocketAddr, Requests) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (address, requests) = (listener.local_addr().unwrap(), Requests::default());
    let seen = requests.clone();
    serve(listener, move |request, out| {
        if request.target == "/v1/notices" {
            return out.write_all(b"HTTP/1.1 204 X\r\n\r\n").is_ok();
        }
        let watch = request.target.contains("watch=1");
        seen.lock().unwrap().push((request.at, watch));
        let after = request.target.split_once("after=").map_or(0, |(_, after)| after.parse().unwrap());
        answer(watch, after, out)
    });
    (address, requests)
}

fn whole(out: &mut TcpStream, text: &str) -> bool {
    write!(out, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", text.len()).is_ok()
        && out.write_all(text.as_bytes()).is_ok()
}

fn chunk(out: &mut TcpStream, text: &str) -> bool {
    write!(out, "{:x}\r\n{text}\r\n", text.len()).is_ok()
}

fn idle_watch(out: &mut TcpStream) -> bool {
    while chunk(out, "\n") {
        thread::sleep(Duration::from_millis(500));
    }
    false
}

/// A courier process whose log is collected.
struct LoggedCourier {
    child: Child,
    folder: Folder,
    config: Value,
    listen: SocketAddr,
    log: Arc<Mutex<Vec<String>>>,
}

impl LoggedCourier {
    fn start(discovery: SocketAddr, mode: &str, known: &str, limits: Value) -> LoggedCourier {
        let (folder, listen) = (Folder::new(), unique_address());
        let mut config = config(&Platform::new(), listen);
        config["discovery"] = json!(discovery.to_string());
        config["known"] = serde_json::from_str(known).unwrap();
        config["settings"]["MembershipMode"] = json!(mode);
        config["settings"]["Rules"]["AskWithinUs"] = json!(10_000_000);
        for (limit, value) in limits.as_object().unwrap() {
            config["limits"][limit] = value.clone();
        }
        let child = command(&folder, &config, "serve").stderr(Stdio::piped()).spawn().unwrap();
        let mut courier = LoggedCourier { child, folder, config, listen, log: Arc::default() };
        courier.read_log();
        wait_until_ready(listen);
        courier
    }

    fn read_log(&mut self) {
        let (lines, log) = (BufReader::new(self.child.stderr.take().unwrap()), self.log.clone());
        thread::spawn(move || {
            lines.lines().map_while(Result::ok).for_each(|line| log.lock().unwrap().push(line))
        });
    }

    /// Kills the process and starts it again with the current configuration.
    fn restart(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
        self.child = command(&self.folder, &self.config, "serve").stderr(Stdio::piped()).spawn().unwrap();
        self.read_log();
        wait_until_ready(self.listen);
    }

    fn count_lines(&self, part: &str) -> usize {
        self.log.lock().unwrap().iter().filter(|line| line.contains(part)).count()
    }

    fn client(&self) -> Client {
        Client::connect(self.listen).unwrap()
    }

    /// Hands in a mail on a new connection.
    fn put(&self, id: &str, destination: usize) -> String {
        self.client().put(id, "again", &format!("d=4000,dest={destination}"))
    }

    /// A field of `/proc/PID/status`, in bytes.
    fn memory_bytes(&self, what: &str) -> f64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find_map(|line| line.strip_prefix(what)).unwrap();
        line.split_whitespace().next().unwrap().parse::<f64>().unwrap() * 1024.0
    }

    /// The processor time used so far, in seconds; the system counts in ticks of 10 ms.
    fn cpu_seconds(&self) -> f64 {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap();
        let fields: Vec<&str> = stat.rsplit_once(") ").unwrap().1.split(' ').collect();
        (fields[11].parse::<f64>().unwrap() + fields[12].parse::<f64>().unwrap()) / 100.0
    }
}

impl Drop for LoggedCourier {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

#[test]
fn a_list_over_a_limit_leaves_the_old_one_in_force_with_one_log_line_and_no_request_loop() {
    thread::scope(|scope| {
        for mode in ["push", "ask"] {
            for (limit, value, words) in [
                ("list_entries", json!(400), "the list has more than 400 entries (limits.list_entries)"),
                ("list_mb", json!(0.05), "the list is longer than 0.05 MB (limits.list_mb)"),
            ] {
                scope.spawn(move || {
                    let (old, new) = (Endpoint::new(&[]), Endpoint::new(&[]));
                    // If it were applied, the old endpoint would be gone.
                    let many = list(9, true, &destinations(300, unique_address()));
                    assert!(many.len() > 50_000);
                    let change = list(10, false, &[entry("new", new.address, 8, "SERVING")]);
                    let (address, requests) = discovery(move |watch, after, out| match watch {
                        false => whole(out, &many),
                        // The watch starts from the held version, since the list over the limit was not applied.
                        true => {
                            assert_eq!(after, 5);
                            out.write_all(CHUNKED_HEADERS.as_bytes()).is_ok()
                                && chunk(out, &change)
                                && idle_watch(out)
                        }
                    });
                    let known = list(5, true, &[entry("old", old.address, 7, "SERVING")]);
                    let courier = LoggedCourier::start(address, mode, &known, json!({limit: value}));
                    let begun = Instant::now();
                    assert_eq!(courier.put("first", 7), "+OK");
                    wait_until("a call by the old list", || old.ids() == ["first"]);
                    // A watch is enough to receive the next change.
                    wait_until("the change", || courier.put("second", 8) == "+OK");
                    wait_until("its call", || new.ids() == ["second"]);
                    wait_until("some time", || begun.elapsed() > Duration::from_secs(4));
                    let seen: Vec<bool> = requests.lock().unwrap().iter().map(|request| request.1).collect();
                    assert_eq!(seen, [false, true], "{mode} {limit}");
                    assert_eq!(courier.count_lines(words), 1);
                    assert_eq!(courier.log.lock().unwrap().len(), 1, "{:?}", courier.log.lock().unwrap());
                });
            }
        }
    });
}

#[test]
fn lists_over_a_limit_also_on_a_watch_are_requested_less_and_less_often() {
    let old = Endpoint::new(&[]);
    let many = list(9, true, &destinations(300, unique_address()));
    let (address, requests) = discovery(move |watch, _, out| match watch {
        false => whole(out, &many),
        true => out.write_all(CHUNKED_HEADERS.as_bytes()).is_ok() && chunk(out, &many) && idle_watch(out),
    });
    let known = list(5, true, &[entry("old", old.address, 7, "SERVING")]);
    let courier = LoggedCourier::start(address, "push", &known, json!({"list_entries": 400}));
    let begun = Instant::now();
    wait_until_within(Duration::from_secs(20), "three requests", || requests.lock().unwrap().len() >= 3);
    assert_eq!(courier.put("first", 7), "+OK");
    wait_until("a call by the old list", || old.ids() == ["first"]);
    // The first two pauses are at least one and two seconds.
    assert!(begun.elapsed() > Duration::from_millis(2500), "{:?}", begun.elapsed());
    let seen: Vec<bool> = requests.lock().unwrap().iter().map(|request| request.1).collect();
    assert_eq!(seen, [false, true, false]);
    assert_eq!(courier.count_lines("limits.list_entries"), 1);
    assert!(courier.cpu_seconds() < 0.5, "{}", courier.cpu_seconds());
}

#[test]
fn changes_cannot_grow_a_list_over_its_limit() {
    let (old, new) = (Endpoint::new(&[]), unique_address());
    let change = |index: u64, status: &str| {
        let names = (0..60).map(|i| format!("c{index}-{i}"));
        list(index, false, &names.map(|name| entry(&name, new, 8, status)).collect::<Vec<_>>())
    };
    let first = list(5, true, &[entry("old", old.address, 7, "SERVING")]);
    let lines = [
        change(6, "SERVING"),
        list(7, false, &[entry("there", old.address, 9, "SERVING")]),
        change(8, "SERVING"),
    ];
    let begin = first.clone();
    let (address, requests) = discovery(move |watch, after, out| match watch {
        false => whole(out, &begin),
        true if after < 6 => {
            out.write_all(CHUNKED_HEADERS.as_bytes()).is_ok()
                && lines.iter().all(|line| chunk(out, line))
                && idle_watch(out)
        }
        true => out.write_all(CHUNKED_HEADERS.as_bytes()).is_ok() && idle_watch(out),
    });
    let courier = LoggedCourier::start(address, "push", &first, json!({"list_entries": 100}));
    wait_until("the changes within the limit", || courier.put("first", 9) == "+OK");
    wait_until("the log line", || courier.count_lines("limits.list_entries") == 1);
    wait_until("the call", || old.ids() == ["first"]);
    assert_eq!(courier.put("second", 7), "+OK");
    wait_until("a call by the list still in force", || old.ids() == ["first", "second"]);
    let begun = Instant::now();
    wait_until("some time", || begun.elapsed() > Duration::from_secs(3));
    // The list, a watch, and both again after the pause. A busy machine may cause some more requests by time-outs.
    let count = requests.lock().unwrap().len();
    assert!(count <= 6, "{count}");
}

#[test]
fn a_long_list_that_is_cut_changes_nothing_and_the_next_one_counts() {
    let (old, new) = (Endpoint::new(&[]), Endpoint::new(&[]));
    let entries = destinations(30_000, new.address);
    let many = list(9, true, &entries);
    assert!(many.len() > 5_000_000);
    let (cut, first) = (many.len() - 10, Mutex::new(true));
    let (address, requests) = discovery(move |watch, _, out| match watch {
        false if std::mem::take(&mut *first.lock().unwrap()) => {
            let _ = write!(out, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", many.len());
            let _ = out.write_all(&many.as_bytes()[..cut]);
            false
        }
        // The watch after the truncated list sends it completely, in pieces.
        false => whole(out, &many),
        true => {
            let pieces = || many.as_bytes().chunks(60_000).map(|piece| std::str::from_utf8(piece).unwrap());
            out.write_all(CHUNKED_HEADERS.as_bytes()).is_ok()
                && pieces().all(|piece| chunk(out, piece))
                && idle_watch(out)
        }
    });
    let known = list(5, true, &[entry("old", old.address, 40_000, "SERVING")]);
    let courier = LoggedCourier::start(address, "push", &known, json!({}));
    assert_eq!(courier.put("first", 40_000), "+OK");
    wait_until("a call by the old list", || old.ids() == ["first"]);
    wait_until_within(Duration::from_secs(30), "the new list", || courier.put("second", 30_000) == "+OK");
    wait_until("a call by the new list", || new.ids() == ["second"]);
    assert!(requests.lock().unwrap().iter().any(|request| request.1));
    assert_eq!(courier.count_lines("a long list was unusable"), 1);
}

/// What a list with this many destinations costs a courier.
#[derive(Debug)]
#[expect(dead_code, reason = "printed whole")]
struct Cost {
    destinations: f64,
    /// Seconds from the courier's first answer until it accepts a mail for the last destination of the list.
    in_force: f64,
    /// Processor time until then in seconds, and the idle load as a fraction of a core.
    cpu: f64,
    idle: f64,
    /// The longest that a client waited for an answer meanwhile, in seconds.
    stall: f64,
    /// Resident memory some time after, and its peak, in bytes.
    resident: f64,
    peak: f64,
    /// Size of the list file in bytes.
    on_file: f64,
    /// After a restart from the list file, with a silent discovery: seconds until the first answer, resident memory and its
    /// peak in bytes.
    restart_in: f64,
    restart_held: f64,
    restart_peak: f64,
}

/// Measures a courier that receives such a list, delivers a mail by it, idles and restarts.
fn cost(count: usize, disk_mb: f64) -> Cost {
    let endpoint = Endpoint::new(&[]);
    let text = list(9, true, &destinations(count, endpoint.address));
    let (address, _) = discovery(move |watch, _, out| match watch {
        false => whole(out, &text),
        true => out.write_all(CHUNKED_HEADERS.as_bytes()).is_ok() && idle_watch(out),
    });
    let mut courier = LoggedCourier::start(address, "push", &list(0, true, &[]), json!({"disk_mb": disk_mb}));
    let (begun, taken, listen) = (Instant::now(), Arc::new(AtomicBool::new(false)), courier.listen);
    let is_taken = taken.clone();
    let asking = thread::spawn(move || {
        let mut longest: f64 = 0.0;
        while !is_taken.load(Ordering::SeqCst) {
            let (asked, mut client) = (Instant::now(), Client::connect(listen).unwrap());
            assert_eq!(client.request(b"PING\r\n"), "+PONG");
            longest = longest.max(asked.elapsed().as_secs_f64());
            thread::sleep(Duration::from_millis(2));
        }
        longest
    });
    wait_until_within(Duration::from_secs(60), "the list", || courier.put("first", count) == "+OK");
    let (in_force, cpu) = (begun.elapsed().as_secs_f64(), courier.cpu_seconds());
    taken.store(true, Ordering::SeqCst);
    let stall = asking.join().unwrap();
    wait_until("its call", || endpoint.ids() == ["first"]);
    thread::sleep(Duration::from_millis(2500));
    let (before, span) = (courier.cpu_seconds(), Instant::now());
    thread::sleep(Duration::from_millis(3000));
    let idle = (courier.cpu_seconds() - before) / span.elapsed().as_secs_f64();
    let [resident, peak] = ["VmRSS:", "VmHWM:"].map(|what| courier.memory_bytes(what));
    let on_file =
        fs::metadata(courier.folder.path.join("state/memory")).map_or(0.0, |file| file.len() as f64);
    assert_eq!(courier.count_lines("WARN") - courier.count_lines("the list cannot be kept"), 0);
    let (mut restart_in, mut restart_held, mut restart_peak) = (0.0, 0.0, 0.0);
    if on_file > 0.0 {
        let silent = TcpListener::bind("127.0.0.1:0").unwrap();
        courier.config["discovery"] = json!(silent.local_addr().unwrap().to_string());
        let begun = Instant::now();
        courier.restart();
        restart_in = begun.elapsed().as_secs_f64();
        assert_eq!(courier.put("second", count), "+OK");
        wait_until("a call by the stored list", || endpoint.ids() == ["first", "second"]);
        thread::sleep(Duration::from_secs(1));
        [restart_held, restart_peak] = ["VmRSS:", "VmHWM:"].map(|what| courier.memory_bytes(what));
    }
    let destinations = count as f64;
    Cost {
        destinations,
        in_force,
        cpu,
        idle,
        stall,
        resident,
        peak,
        on_file,
        restart_in,
        restart_held,
        restart_peak,
    }
}

/// The slope of the least-squares line, and the largest deviation from it relative to the largest value.
fn fit(points: &[(f64, f64)]) -> (f64, f64) {
    let mean = |of: &dyn Fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / points.len() as f64;
    let (x, y) = (mean(&|p| p.0), mean(&|p| p.1));
    let slope = mean(&|p| (p.0 - x) * (p.1 - y)) / mean(&|p| (p.0 - x).powi(2));
    let off = points.iter().map(|p| (p.1 - y - slope * (p.0 - x)).abs()).fold(0.0, f64::max);
    (slope, off / points.iter().map(|p| p.1).fold(0.0, f64::max))
}

#[test]
fn a_long_list_is_in_force_soon_and_takes_little_for_each_destination() {
    let costs = [3_000, 30_000].map(|count| cost(count, 60.0));
    let held = (costs[1].resident - costs[0].resident) / (costs[1].destinations - costs[0].destinations);
    // The time limit is generous because debug builds are slow: a release build takes 0.1 s.
    assert!(held < 850.0 && costs[1].in_force < 8.0 && costs[1].idle < 0.05, "{held:.0} {costs:?}");
    // A restarted process loads it from the file and takes no more memory.
    assert!(costs[1].restart_held < 1.3 * costs[1].resident, "{costs:?}");
    assert!(costs[1].on_file > 30_000.0 * 50.0 && costs[1].on_file < 30_000.0 * 100.0, "{costs:?}");
}

#[test]
#[ignore = "a measurement of a minute, for release builds"]
fn figures_by_size() {
    for disk_mb in [3.0, 600.0] {
        let costs: Vec<Cost> =
            [3_000, 14_000, 65_000, 300_000].into_iter().map(|count| cost(count, disk_mb)).collect();
        costs.iter().for_each(|cost| println!("disk_mb {disk_mb}: {cost:.2?}"));
        let of = |what: &dyn Fn(&Cost) -> f64| {
            fit(&costs.iter().map(|c| (c.destinations, what(c))).collect::<Vec<_>>())
        };
        println!("bytes a destination: held {:.3?}, at most {:.3?}", of(&|c| c.resident), of(&|c| c.peak));
        println!(
            "by the file: held {:.3?}, at most {:.3?}",
            of(&|c| c.restart_held),
            of(&|c| c.restart_peak)
        );
    }
}
