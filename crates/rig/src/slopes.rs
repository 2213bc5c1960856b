//! What one courier costs as its load grows, measured from outside: a real process among stand-ins, its
//! processor time and memory by /proc, its files by their size. `benches/slopes.rs` has the loads,
//! this what they share. Linux only.

use std::fmt;
use std::fs;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::fs::MetadataExt;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use rustix::process::{
    getppid, kill_process, set_parent_process_death_signal, setrlimit, Pid, Resource, Rlimit, Signal,
};
use serde::Serialize;
use serde_json::{json, Value};

use crate::client::request;
use crate::fit::{Fit, Point};
use crate::scripted;

/// A courier that takes more address space than this, in bytes, ends by itself.
pub const MOST_MEMORY: u64 = 2_000_000_000;
/// A slope takes no longer.
pub const MOST_TIME: Duration = Duration::from_secs(360);

/// Why a slope ends before its largest size.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stopped(pub String);

impl fmt::Display for Stopped {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        out.write_str(&self.0)
    }
}

impl From<io::Error> for Stopped {
    fn from(error: io::Error) -> Stopped {
        Stopped(error.to_string())
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// Set once the bench has been asked to end; every wait looks at it.
static ASKED_TO_END: AtomicBool = AtomicBool::new(false);

pub fn ask_to_end() {
    ASKED_TO_END.store(true, Ordering::Relaxed);
}

/// Until when a slope may go on.
#[derive(Clone, Copy)]
pub struct Bound(Instant);

impl Bound {
    pub fn new(longest: Duration) -> Bound {
        Bound(Instant::now() + longest)
    }

    /// # Errors
    /// Once the time is up, or the bench was asked to end.
    pub fn check(self) -> Result<(), Stopped> {
        if ASKED_TO_END.load(Ordering::Relaxed) {
            return Err(Stopped("asked to end".to_string()));
        }
        if Instant::now() >= self.0 {
            return Err(Stopped("the slope's time was up".to_string()));
        }
        Ok(())
    }

    /// # Errors
    /// As `check`, also in the middle.
    pub fn sleep(self, time: Duration) -> Result<(), Stopped> {
        let end = Instant::now() + time;
        while let Some(left) = end.checked_duration_since(Instant::now()) {
            self.check()?;
            std::thread::sleep(left.min(Duration::from_millis(50)));
        }
        self.check()
    }

    /// Looks every 5 ms; how long it took, or `None` where it did not hold within the time.
    ///
    /// # Errors
    /// As `check`, and what `holds` says.
    pub fn until(
        self,
        longest: Duration,
        mut holds: impl FnMut() -> Result<bool, Stopped>,
    ) -> Result<Option<Duration>, Stopped> {
        let start = Instant::now();
        loop {
            if holds()? {
                return Ok(Some(start.elapsed()));
            }
            if start.elapsed() >= longest {
                return Ok(None);
            }
            self.check()?;
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

/// The machine's load over the last minute, in runnable threads.
pub fn load_average() -> f64 {
    fs::read_to_string("/proc/loadavg").ok().and_then(|text| first_number(&text)).unwrap_or(f64::NAN)
}

fn first_number(text: &str) -> Option<f64> {
    text.split_whitespace().next()?.parse().ok()
}

/// Nanoseconds on a processor and in line for one, from a thread's `schedstat`: finer than `stat`'s ticks.
fn run_times(schedstat: &str) -> Option<(u64, u64)> {
    let mut numbers = schedstat.split_whitespace().map(|number| number.parse().ok());
    Some((numbers.next()??, numbers.next()??))
}

/// Bytes, from a line such as `VmRSS:   1234 kB`.
fn bytes_of(status: &str, name: &str) -> Option<u64> {
    let line = status.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(':'))?;
    line.trim().strip_suffix("kB")?.trim().parse::<u64>().ok().map(|kb| kb * 1024)
}

/// Becomes the courier: one that ends with the bench, however that ends, and within the bound on memory.
///
/// # Errors
/// Where it cannot; otherwise it does not return.
pub fn become_courier(parent: i32, binary: &Path) -> io::Error {
    let bounded = || -> io::Result<()> {
        set_parent_process_death_signal(Some(Signal::KILL))?;
        // Guards against a bench that has ended before that was set.
        if getppid().map(Pid::as_raw_nonzero).map(|id| id.get()) != Some(parent) {
            return Err(io::Error::other("the bench has ended"));
        }
        let most = Some(MOST_MEMORY);
        Ok(setrlimit(Resource::As, Rlimit { current: most, maximum: most })?)
    };
    match bounded() {
        Ok(()) => Command::new(binary).arg("serve").exec(),
        Err(e) => e,
    }
}

/// The word by which the bench's own program is told to become a courier.
pub const BECOME: &str = "--become";

/// The courier that is measured.
pub struct Courier {
    pub listen: SocketAddr,
    folder: scripted::Folder,
    binary: PathBuf,
    child: Child,
}

/// What a courier has used up to a moment.
#[derive(Clone, Copy, Debug)]
pub struct Used {
    /// Seconds on a processor.
    pub processor: f64,
    /// Seconds in line for a processor that others had.
    pub in_line: f64,
    pub at: Instant,
}

impl Used {
    /// Of one core, as a ratio.
    pub fn share_since(self, before: Used) -> f64 {
        (self.processor - before.processor) / (self.at - before.at).as_secs_f64()
    }

    /// Part of the time in which it ran or would have. Near 1 it does not keep up, whoever has its core.
    pub fn wanted_since(self, before: Used) -> f64 {
        let wanted = |used: Used| used.processor + used.in_line;
        (wanted(self) - wanted(before)) / (self.at - before.at).as_secs_f64()
    }
}

impl Courier {
    /// Starts one. Only from a thread that lasts as long as the courier: it ends with its thread.
    ///
    /// # Errors
    /// Where it cannot be started.
    pub fn start(binary: &Path, config: impl FnOnce(SocketAddr) -> Value) -> Result<Courier, Stopped> {
        let (listen, folder) = (scripted::unique_address(), scripted::Folder::new());
        fs::write(folder.path.join("config.json"), config(listen).to_string())?;
        let child = Courier::spawn(binary, &folder.path)?;
        Ok(Courier { listen, folder, binary: binary.to_path_buf(), child })
    }

    fn spawn(binary: &Path, folder: &Path) -> io::Result<Child> {
        let log = fs::OpenOptions::new().create(true).append(true).open(folder.join("log"))?;
        let mut command = Command::new(std::env::current_exe()?);
        command.arg(BECOME).arg(std::process::id().to_string()).arg(binary);
        command.env_clear().env("RUST_LOG", "warn").env("ROUTER_CONFIG", folder.join("config.json"));
        command.env("ROUTER_STATE", folder.join("state")).stdin(Stdio::null()).stdout(Stdio::null());
        command.stderr(log).spawn()
    }

    /// Kills it with SIGKILL and starts it again; the moment of the start.
    ///
    /// # Errors
    /// Where it cannot be started.
    pub fn kill_and_start(&mut self) -> Result<Instant, Stopped> {
        self.child.kill()?;
        self.child.wait()?;
        let at = Instant::now();
        self.child = Courier::spawn(&self.binary, &self.folder.path)?;
        Ok(at)
    }

    /// # Errors
    /// Where it has ended, with the end of its log.
    pub fn check(&mut self) -> Result<(), Stopped> {
        match self.child.try_wait()? {
            None => Ok(()),
            Some(status) => {
                let log = fs::read_to_string(self.folder.path.join("log")).unwrap_or_default();
                Err(Stopped(format!("the courier has ended, {status}: {}", log.lines().last().unwrap_or(""))))
            }
        }
    }

    /// Waits until it answers `PING`; how long after `since` that was.
    ///
    /// # Errors
    /// Where it has ended, or does not answer within the time.
    pub fn ready(&mut self, bound: Bound, since: Instant, longest: Duration) -> Result<Duration, Stopped> {
        let listen = self.listen;
        let answers = || {
            let said =
                scripted::Client::connect(listen).map(|mut client| client.request(&request(&[b"PING"])));
            said.is_ok_and(|answer| answer == "+PONG")
        };
        let ready = bound.until(longest, || {
            self.check()?;
            Ok(answers())
        })?;
        ready.map(|_| since.elapsed()).ok_or_else(|| Stopped("it was not ready in time".to_string()))
    }

    fn proc_file(&self, name: &str) -> PathBuf {
        PathBuf::from(format!("/proc/{}/{name}", self.child.id()))
    }

    /// # Errors
    /// Where it has ended.
    pub fn used(&self) -> Result<Used, Stopped> {
        let (mut ran, mut waited) = (0, 0);
        for task in fs::read_dir(self.proc_file("task"))? {
            // One that ends meanwhile is passed over.
            let text = fs::read_to_string(task?.path().join("schedstat")).unwrap_or_default();
            let (run, wait) = run_times(&text).unwrap_or_default();
            (ran, waited) = (ran + run, waited + wait);
        }
        let seconds = |nanoseconds: u64| nanoseconds as f64 / 1e9;
        Ok(Used { processor: seconds(ran), in_line: seconds(waited), at: Instant::now() })
    }

    /// Bytes that are resident now.
    ///
    /// # Errors
    /// Where it has ended.
    pub fn resident(&self) -> Result<u64, Stopped> {
        self.memory("VmRSS")
    }

    /// Bytes that were resident at the most since its start.
    ///
    /// # Errors
    /// Where it has ended.
    pub fn most_resident(&self) -> Result<u64, Stopped> {
        self.memory("VmHWM")
    }

    fn memory(&self, name: &str) -> Result<u64, Stopped> {
        let status = fs::read_to_string(self.proc_file("status"))?;
        bytes_of(&status, name).ok_or_else(|| Stopped("no resident memory is told".to_string()))
    }

    /// Bytes of the list that is kept for the next start.
    ///
    /// # Errors
    /// Where none is kept.
    pub fn kept_list(&self) -> Result<u64, Stopped> {
        let file = fs::metadata(self.folder.path.join("state").join("memory"));
        Ok(file.map_err(|e| Stopped(format!("no list is kept: {e}")))?.len())
    }

    /// Which file its journal is, and its bytes.
    ///
    /// # Errors
    /// Where there is none.
    pub fn journal(&self) -> Result<(u64, u64), Stopped> {
        Ok(fs::metadata(self.journal_path()).map(|file| (file.ino(), file.len()))?)
    }

    pub fn journal_path(&self) -> PathBuf {
        self.folder.path.join("state").join("journal")
    }

    pub fn signal(&self, signal: Signal) {
        let _ = kill_process(Pid::from_child(&self.child), signal);
    }
}

impl Drop for Courier {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The list's stand-in for lists of any length: what it says is written once for all asks. `list::List` looks
/// through all entries for each that it tells; `scripted::Platform` tells all of them at each change.
pub struct Registry {
    pub address: SocketAddr,
    state: Arc<(Mutex<Listed>, Condvar)>,
    counts: Arc<Counts>,
}

struct Listed {
    index: u64,
    entries: Vec<String>,
    /// Versions and what changed with them.
    lines: Vec<(u64, String)>,
    /// The whole list, of this version.
    whole: (u64, Arc<Vec<u8>>),
}

#[derive(Default)]
struct Counts {
    asks: AtomicU64,
    whole: AtomicU64,
    watch: AtomicU64,
}

/// What a registry has been asked, and the bytes of its answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Asked {
    pub asks: u64,
    pub whole_bytes: u64,
    pub watch_bytes: u64,
}

/// A watch hears an empty line so often where nothing changes, as of a healthy registry.
const EMPTY_LINE: Duration = Duration::from_secs(2);
/// Bytes of a list are counted as they are written, so many at a time.
const PIECE: usize = 1 << 16;

/// An entry of the list; each destination has one endpoint.
fn entry(destination: usize, address: SocketAddr, weight: f64) -> String {
    json!({"name": format!("e{destination:06}"), "address": address.to_string(), "zone": "a",
        "type": "single", "group": destination, "status": "SERVING", "weight": weight, "since_ms": 0})
    .to_string()
}

impl Registry {
    /// Lists so many destinations, 1 and up, each with one endpoint at this address.
    ///
    /// # Errors
    /// Where no port can be had.
    pub fn new(destinations: usize, endpoint: SocketAddr) -> Result<Registry, Stopped> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let entries = (1..=destinations).map(|destination| entry(destination, endpoint, 1000.0)).collect();
        let listed = Listed { index: 1, entries, lines: Vec::new(), whole: (0, Arc::default()) };
        let state = Arc::new((Mutex::new(listed), Condvar::new()));
        let counts: Arc<Counts> = Arc::default();
        let (seen, counted) = (state.clone(), counts.clone());
        scripted::serve(listener, move |request, out| answer(&seen, &counted, &request.target, out));
        Ok(Registry { address, state, counts })
    }

    /// Gives a destination's endpoint another rate, in calls a second.
    pub fn change(&self, destination: usize, endpoint: SocketAddr, weight: f64) {
        let mut listed = lock(&self.state.0);
        listed.index += 1;
        let (index, entry) = (listed.index, entry(destination, endpoint, weight));
        listed
            .lines
            .push((index, format!("{{\"index\":{index},\"snapshot\":false,\"endpoints\":[{entry}]}}\n")));
        listed.entries[destination - 1] = entry;
        self.state.1.notify_all();
    }

    pub fn asked(&self) -> Asked {
        let read = |count: &AtomicU64| count.load(Ordering::Relaxed);
        Asked {
            asks: read(&self.counts.asks),
            whole_bytes: read(&self.counts.whole),
            watch_bytes: read(&self.counts.watch),
        }
    }
}

impl Listed {
    fn whole(&mut self) -> Arc<Vec<u8>> {
        if self.whole.0 != self.index {
            let (index, entries) = (self.index, self.entries.join(","));
            let text = format!("{{\"index\":{index},\"snapshot\":true,\"endpoints\":[{entries}]}}");
            self.whole = (index, Arc::new(text.into_bytes()));
        }
        self.whole.1.clone()
    }
}

fn answer(state: &(Mutex<Listed>, Condvar), counts: &Counts, target: &str, out: &mut TcpStream) -> bool {
    if target == "/v1/notices" {
        return out.write_all(b"HTTP/1.1 204 X\r\n\r\n").is_ok();
    }
    counts.asks.fetch_add(1, Ordering::Relaxed);
    let Some((_, after)) = target.split_once("watch=1&after=") else {
        let whole = lock(&state.0).whole();
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", whole.len());
        if out.write_all(head.as_bytes()).is_err() {
            return false;
        }
        // Piece by piece: one that has read enough closes in the middle.
        return whole.chunks(PIECE).all(|piece| {
            counts.whole.fetch_add(piece.len() as u64, Ordering::Relaxed);
            out.write_all(piece).is_ok()
        });
    };
    let after: u64 = after.parse().unwrap_or(0);
    watch(state, counts, after, out).is_ok()
}

fn watch(
    state: &(Mutex<Listed>, Condvar),
    counts: &Counts,
    mut after: u64,
    out: &mut TcpStream,
) -> io::Result<()> {
    out.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
    loop {
        let line = {
            let mut listed = lock(&state.0);
            if listed.index == after {
                let waited = state.1.wait_timeout(listed, EMPTY_LINE);
                listed = waited.unwrap_or_else(|poisoned| poisoned.into_inner()).0;
            }
            let first = listed.lines.partition_point(|line| line.0 <= after);
            // One that holds another list than these changes follow is told all of it.
            let line = if after == 0 || after > listed.index {
                let mut whole = listed.whole().to_vec();
                whole.push(b'\n');
                whole
            } else {
                listed.lines[first..].iter().flat_map(|line| line.1.bytes()).collect()
            };
            after = listed.index;
            if line.is_empty() {
                b"\n".to_vec()
            } else {
                line
            }
        };
        counts.watch.fetch_add(line.len() as u64, Ordering::Relaxed);
        let mut chunk = format!("{:x}\r\n", line.len()).into_bytes();
        chunk.extend(line);
        chunk.extend(b"\r\n");
        out.write_all(&chunk)?;
    }
}

/// A place that refuses every connection for as long as it is kept: bound, and nobody listens.
pub struct Nowhere {
    pub address: SocketAddr,
    _held: socket2::Socket,
}

impl Nowhere {
    /// # Errors
    /// Where no port can be had.
    pub fn new() -> Result<Nowhere, Stopped> {
        let held = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)?;
        held.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())?;
        let address = held.local_addr()?.as_socket();
        Ok(Nowhere { address: address.ok_or_else(|| Stopped("no address".to_string()))?, _held: held })
    }
}

/// Bytes of every message's body.
pub const BODY: usize = 200;

/// Hands messages in, each with an id of its own, without a wait for each answer.
pub struct Client {
    stream: BufReader<TcpStream>,
    name: u32,
    next: u32,
}

/// Answers to messages, counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Heard {
    pub taken: usize,
    pub busy: usize,
    pub failed: usize,
}

impl Client {
    /// `name` tells its ids from other clients'.
    ///
    /// # Errors
    /// Where the courier cannot be reached.
    pub fn connect(courier: SocketAddr, name: u32) -> Result<Client, Stopped> {
        let stream = TcpStream::connect(courier)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(30)))?;
        Ok(Client { stream: BufReader::new(stream), name, next: 0 })
    }

    /// Hands in one message for each destination, and hears all answers.
    ///
    /// # Errors
    /// Where the connection ends, or an answer takes half a minute.
    pub fn hand_in(&mut self, destinations: impl Iterator<Item = usize>) -> Result<Heard, Stopped> {
        let (mut bytes, mut count) = (Vec::new(), 0);
        for destination in destinations {
            let id = format!("{:08x}{:08x}", self.name, self.next);
            let pairs = format!("c=again,t=acme,d={LIFETIME_MS},dest={destination}");
            bytes.extend(request(&[b"MSG.PUT", b"0", id.as_bytes(), pairs.as_bytes(), &[b'x'; BODY]]));
            self.next += 1;
            count += 1;
        }
        self.stream.get_mut().write_all(&bytes)?;
        let mut heard = Heard::default();
        for _ in 0..count {
            match self.line()?.as_str() {
                line if line.starts_with('+') => heard.taken += 1,
                line if line.starts_with("-BUSY") => heard.busy += 1,
                _ => heard.failed += 1,
            }
        }
        Ok(heard)
    }

    /// How long it takes to be answered `PONG`.
    ///
    /// # Errors
    /// As `hand_in`.
    pub fn ping(&mut self) -> Result<Duration, Stopped> {
        let start = Instant::now();
        self.stream.get_mut().write_all(&request(&[b"PING"]))?;
        self.line()?;
        Ok(start.elapsed())
    }

    fn line(&mut self) -> Result<String, Stopped> {
        let mut line = String::new();
        match self.stream.read_line(&mut line)? {
            0 => Err(Stopped("the courier has closed the connection".to_string())),
            _ => Ok(line.trim_end().to_string()),
        }
    }
}

/// A message's time, in milliseconds: far longer than any run.
const LIFETIME_MS: u64 = 86_400_000;

/// The configuration: one class that may be sent again, with room for so many messages and megabytes on file.
pub fn config(listen: SocketAddr, discovery: SocketAddr, room: usize, disk_mb: f64) -> Value {
    let mut settings = scripted::settings();
    settings["Limits"]["MaxOpen"] = json!(room);
    // What cannot be delivered stays held: no attempt is the last one.
    settings["Limits"]["MaxAttempts"] = json!(1_000_000_000_u64);
    settings["Profiles"][0]["HardLimitUs"] = json!(LIFETIME_MS * 1000);
    settings["FamilyInfo"]["Slots"] = json!(64);
    settings["Limits"]["KeepaliveUs"] = json!(5_000_000);
    // As on the rig's days. Without a time for which endpoints stay cold there is no pause between trials.
    settings["Limits"]["ConnectTimeoutUs"] = json!(1_000_000);
    settings["Rules"] = json!({"TurnGapUs": 600_000, "OverloadForUs": 2_000_000, "TipMultiple": 2.0,
        "ColdFrom": 0.25, "ColdUs": 4_000_000});
    json!({"name": "n1", "listen": listen.to_string(), "discovery": discovery.to_string(),
        "seed": "8c1f30d27a5be964", "limits": {"sockets": 1024, "disk_mb": disk_mb},
        "known": {"index": 0, "snapshot": true, "endpoints": []}, "settings": settings})
}

/// One size's measurement, with the machine's load at the time and what else was seen.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    pub size: f64,
    pub value: f64,
    pub load: f64,
    #[serde(skip_serializing_if = "String::is_empty")]
    pub seen: String,
}

impl Row {
    pub fn new(size: usize, value: f64, seen: String) -> Row {
        Row { size: size as f64, value, load: load_average(), seen }
    }
}

/// A slope as it is written: sizes are in `size_unit`, values in `unit`.
#[derive(Clone, Debug, Serialize)]
pub struct Slope {
    pub name: String,
    pub binary: String,
    pub size_unit: String,
    pub unit: String,
    pub command: String,
    pub points: Vec<Row>,
    /// The one of the two that lies nearer.
    pub fit: Option<Fit>,
    pub other_fit: Option<Fit>,
    /// The exponent between the last two sizes. Guards against a fit over all that hides a bend.
    pub last_exponent: Option<f64>,
    pub largest: f64,
    pub stopped_by: String,
}

impl Slope {
    /// Fits the rows; `largest` is the largest size that was borne.
    pub fn new(
        (name, binary): (&str, &str),
        (size_unit, unit): (&str, &str),
        command: &str,
        points: Vec<Row>,
        stopped_by: &str,
    ) -> Slope {
        let pairs: Vec<Point> = points.iter().map(|row| Point::new(row.size, row.value)).collect();
        let mut fits: Vec<Fit> = [Fit::linear(&pairs), Fit::power(&pairs)].into_iter().flatten().collect();
        fits.sort_by(|a, b| a.residual().total_cmp(&b.residual()));
        let mut fits = fits.into_iter();
        let largest = pairs.iter().map(|pair| pair.size).fold(0.0, f64::max);
        let last_exponent = match Fit::power(&pairs[pairs.len().saturating_sub(2)..]) {
            Ok(Fit::Power { exponent, .. }) => Some(exponent),
            _ => None,
        };
        let text = str::to_string;
        Slope {
            name: text(name),
            binary: text(binary),
            size_unit: text(size_unit),
            unit: text(unit),
            command: text(command),
            points,
            fit: fits.next(),
            other_fit: fits.next(),
            last_exponent,
            largest,
            stopped_by: text(stopped_by),
        }
    }

    /// In Markdown, with the fit below.
    pub fn table(&self) -> String {
        let mut out = format!("**{}** ({}): {} by {}\n\n", self.name, self.binary, self.unit, self.size_unit);
        out += &format!("| {} | {} | load | seen |\n| --- | --- | --- | --- |\n", self.size_unit, self.unit);
        for Row { size, value, load, seen } in &self.points {
            out += &format!("| {size} | {} | {load:.1} | {seen} |\n", digits(*value));
        }
        let fits = [self.fit, self.other_fit].into_iter().flatten().map(told).collect::<Vec<_>>().join("; ");
        let fits = if fits.is_empty() { "none".to_string() } else { fits };
        let last = self
            .last_exponent
            .map_or(String::new(), |last| format!(" Between the last two: size^{last:.2}."));
        let (largest, stopped) = (self.largest, &self.stopped_by);
        out + &format!("\nFit: {fits}.{last} Largest: {largest}; stopped by: {stopped}.\n")
    }
}

fn told(fit: Fit) -> String {
    let percent = fit.residual() * 100.0;
    match fit {
        Fit::Linear { slope, intercept, .. } => {
            format!("{} + {} x size, residual {percent:.0}%", digits(intercept), digits(slope))
        }
        Fit::Power { exponent, scale, .. } => {
            format!("{} x size^{exponent:.2}, residual {percent:.0}%", digits(scale))
        }
    }
}

/// Three digits that count.
fn digits(value: f64) -> String {
    if value == 0.0 || !value.is_finite() {
        return value.to_string();
    }
    let before = value.abs().log10().floor() as i32;
    match before {
        2.. => format!("{value:.0}"),
        -4..2 => format!("{value:.*}", (2 - before) as usize),
        _ => format!("{value:.2e}"),
    }
}

#[cfg(test)]
mod tests;
