//! Measures the resource use of one courier as its load grows, from outside: a real process among stand-ins, with
//! processor time and memory from /proc and file sizes from the file system. The workloads are in `benches/slopes.rs`,
//! their common parts are here. Linux only.

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

/// Limit on the courier's address space in bytes; a courier that exceeds it ends by itself.
pub const MAX_MEMORY: u64 = 2_000_000_000;
/// Time limit for one slope.
pub const MAX_SLOPE_TIME: Duration = Duration::from_secs(360);

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

/// Set when the bench has been asked to end; checked by every wait.
static END_REQUESTED: AtomicBool = AtomicBool::new(false);

pub fn request_end() {
    END_REQUESTED.store(true, Ordering::Relaxed);
}

/// The deadline of a slope.
#[derive(Clone, Copy)]
pub struct Deadline(Instant);

impl Deadline {
    pub fn new(longest: Duration) -> Deadline {
        Deadline(Instant::now() + longest)
    }

    /// # Errors
    /// If the deadline has passed, or the bench was asked to end.
    pub fn check(self) -> Result<(), Stopped> {
        if END_REQUESTED.load(Ordering::Relaxed) {
            return Err(Stopped("asked to end".to_string()));
        }
        if Instant::now() >= self.0 {
            return Err(Stopped("the slope's time was up".to_string()));
        }
        Ok(())
    }

    /// # Errors
    /// As `check`, which is repeated during the sleep.
    pub fn sleep(self, time: Duration) -> Result<(), Stopped> {
        let end = Instant::now() + time;
        while let Some(left) = end.checked_duration_since(Instant::now()) {
            self.check()?;
            std::thread::sleep(left.min(Duration::from_millis(50)));
        }
        self.check()
    }

    /// Polls a condition every 5 ms. Returns the time until it held, or `None` if it did not hold within `longest`.
    ///
    /// # Errors
    /// As `check`, and any error of `holds`.
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

/// The machine's one-minute load average.
pub fn load_average() -> f64 {
    fs::read_to_string("/proc/loadavg").ok().and_then(|text| first_number(&text)).unwrap_or(f64::NAN)
}

fn first_number(text: &str) -> Option<f64> {
    text.split_whitespace().next()?.parse().ok()
}

/// Nanoseconds of running and of waiting for a processor, from a thread's `schedstat`, which is finer than the ticks of
/// `stat`.
fn run_times(schedstat: &str) -> Option<(u64, u64)> {
    let mut numbers = schedstat.split_whitespace().map(|number| number.parse().ok());
    Some((numbers.next()??, numbers.next()??))
}

/// A size in bytes, from a line such as `VmRSS:   1234 kB`.
fn status_bytes(status: &str, name: &str) -> Option<u64> {
    let line = status.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(':'))?;
    line.trim().strip_suffix("kB")?.trim().parse::<u64>().ok().map(|kb| kb * 1024)
}

/// Replaces this process by the courier, which is killed when the bench ends for any reason and has a limit on memory.
///
/// # Errors
/// The reason why the courier cannot be run; on success the function does not return.
pub fn become_courier(parent: i32, binary: &Path) -> io::Error {
    let bounded = || -> io::Result<()> {
        set_parent_process_death_signal(Some(Signal::KILL))?;
        // The bench may have ended before the signal was set.
        if getppid().map(Pid::as_raw_nonzero).map(|id| id.get()) != Some(parent) {
            return Err(io::Error::other("the bench has ended"));
        }
        let most = Some(MAX_MEMORY);
        Ok(setrlimit(Resource::As, Rlimit { current: most, maximum: most })?)
    };
    match bounded() {
        Ok(()) => Command::new(binary).arg("serve").exec(),
        Err(e) => e,
    }
}

/// The argument with which the bench's own program runs the courier in its place.
pub const BECOME_COURIER: &str = "--become";

/// The courier under measurement.
pub struct Courier {
    pub listen: SocketAddr,
    folder: scripted::Folder,
    binary: PathBuf,
    child: Child,
}

/// A courier's processor use up to a moment.
#[derive(Clone, Copy, Debug)]
pub struct ProcessorUse {
    /// Seconds of processor time.
    pub processor: f64,
    /// Seconds spent runnable while waiting for a processor.
    pub waiting: f64,
    pub at: Instant,
}

impl ProcessorUse {
    /// Processor use since `before`, as a fraction of one core.
    pub fn share_since(self, before: ProcessorUse) -> f64 {
        (self.processor - before.processor) / (self.at - before.at).as_secs_f64()
    }

    /// Fraction of the time since `before` in which it ran or was runnable. A courier near 1 does not keep up, even if
    /// other processes had its core.
    pub fn runnable_share_since(self, before: ProcessorUse) -> f64 {
        let wanted = |used: ProcessorUse| used.processor + used.waiting;
        (wanted(self) - wanted(before)) / (self.at - before.at).as_secs_f64()
    }
}

impl Courier {
    /// Starts a courier. The calling thread must live as long as the courier, which is killed when that thread ends.
    ///
    /// # Errors
    /// If it cannot be started.
    pub fn start(binary: &Path, config: impl FnOnce(SocketAddr) -> Value) -> Result<Courier, Stopped> {
        let (listen, folder) = (scripted::unique_address(), scripted::Folder::new());
        fs::write(folder.path.join("config.json"), config(listen).to_string())?;
        let child = Courier::spawn(binary, &folder.path)?;
        Ok(Courier { listen, folder, binary: binary.to_path_buf(), child })
    }

    fn spawn(binary: &Path, folder: &Path) -> io::Result<Child> {
        let log = fs::OpenOptions::new().create(true).append(true).open(folder.join("log"))?;
        let mut command = Command::new(std::env::current_exe()?);
        command.arg(BECOME_COURIER).arg(std::process::id().to_string()).arg(binary);
        command.env_clear().env("RUST_LOG", "warn").env("ROUTER_CONFIG", folder.join("config.json"));
        command.env("ROUTER_STATE", folder.join("state")).stdin(Stdio::null()).stdout(Stdio::null());
        command.stderr(log).spawn()
    }

    /// Kills it with SIGKILL and restarts it. Returns the moment of the restart.
    ///
    /// # Errors
    /// If it cannot be started.
    pub fn restart_after_kill(&mut self) -> Result<Instant, Stopped> {
        self.child.kill()?;
        self.child.wait()?;
        let at = Instant::now();
        self.child = Courier::spawn(&self.binary, &self.folder.path)?;
        Ok(at)
    }

    /// # Errors
    /// If it has ended; the error has the last line of its log.
    pub fn check(&mut self) -> Result<(), Stopped> {
        match self.child.try_wait()? {
            None => Ok(()),
            Some(status) => {
                let log = fs::read_to_string(self.folder.path.join("log")).unwrap_or_default();
                Err(Stopped(format!("the courier has ended, {status}: {}", log.lines().last().unwrap_or(""))))
            }
        }
    }

    /// Waits until it answers `PING`. Returns the time since `since`.
    ///
    /// # Errors
    /// If it has ended, or does not answer within `longest`.
    pub fn ready(
        &mut self,
        deadline: Deadline,
        since: Instant,
        longest: Duration,
    ) -> Result<Duration, Stopped> {
        let listen = self.listen;
        let answers = || {
            let said =
                scripted::Client::connect(listen).map(|mut client| client.request(&request(&[b"PING"])));
            said.is_ok_and(|answer| answer == "+PONG")
        };
        let ready = deadline.until(longest, || {
            self.check()?;
            Ok(answers())
        })?;
        ready.map(|_| since.elapsed()).ok_or_else(|| Stopped("it was not ready in time".to_string()))
    }

    fn proc_file(&self, name: &str) -> PathBuf {
        PathBuf::from(format!("/proc/{}/{name}", self.child.id()))
    }

    /// # Errors
    /// If it has ended.
    pub fn processor_use(&self) -> Result<ProcessorUse, Stopped> {
        let (mut ran, mut waited) = (0, 0);
        for task in fs::read_dir(self.proc_file("task"))? {
            // A thread that has ended in the meantime is skipped.
            let text = fs::read_to_string(task?.path().join("schedstat")).unwrap_or_default();
            let (run, wait) = run_times(&text).unwrap_or_default();
            (ran, waited) = (ran + run, waited + wait);
        }
        let seconds = |nanoseconds: u64| nanoseconds as f64 / 1e9;
        Ok(ProcessorUse { processor: seconds(ran), waiting: seconds(waited), at: Instant::now() })
    }

    /// Resident memory in bytes.
    ///
    /// # Errors
    /// If it has ended.
    pub fn resident(&self) -> Result<u64, Stopped> {
        self.memory("VmRSS")
    }

    /// Peak resident memory in bytes since its start.
    ///
    /// # Errors
    /// If it has ended.
    pub fn peak_resident(&self) -> Result<u64, Stopped> {
        self.memory("VmHWM")
    }

    fn memory(&self, name: &str) -> Result<u64, Stopped> {
        let status = fs::read_to_string(self.proc_file("status"))?;
        status_bytes(&status, name).ok_or_else(|| Stopped("no resident memory is told".to_string()))
    }

    /// The size in bytes of the list stored for the next start.
    ///
    /// # Errors
    /// If none is stored.
    pub fn stored_list_size(&self) -> Result<u64, Stopped> {
        let file = fs::metadata(self.folder.path.join("state").join("memory"));
        Ok(file.map_err(|e| Stopped(format!("no list is kept: {e}")))?.len())
    }

    /// The inode number and the size in bytes of its journal.
    ///
    /// # Errors
    /// If it has no journal.
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

/// A stand-in for the list service that can serve lists of any length: each text is serialized once for all requests.
/// `list::List` scans all entries for each one it sends, and `scripted::Platform` sends all of them at each change.
pub struct Registry {
    pub address: SocketAddr,
    state: Arc<(Mutex<RegistryState>, Condvar)>,
    counts: Arc<Counts>,
}

struct RegistryState {
    index: u64,
    entries: Vec<String>,
    /// The text of each change, by version.
    lines: Vec<(u64, String)>,
    /// The text of the whole list and its version.
    whole: (u64, Arc<Vec<u8>>),
}

#[derive(Default)]
struct Counts {
    asks: AtomicU64,
    whole: AtomicU64,
    watch: AtomicU64,
}

/// The number of requests to a registry, and the bytes of its responses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestCounts {
    pub asks: u64,
    pub whole_bytes: u64,
    pub watch_bytes: u64,
}

/// Interval of the empty lines (keep-alives) on a watch without changes, as of a healthy registry.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// Size of the pieces in which a list is written; the bytes are counted per piece.
const CHUNK_BYTES: usize = 1 << 16;

/// An entry of the list; each destination has one endpoint.
fn entry(destination: usize, address: SocketAddr, weight: f64) -> String {
    json!({"name": format!("e{destination:06}"), "address": address.to_string(), "zone": "a",
        "type": "single", "group": destination, "status": "SERVING", "weight": weight, "since_ms": 0})
    .to_string()
}

impl Registry {
    /// Serves a list of the destinations from 1 to `destinations`, each with one endpoint at this address.
    ///
    /// # Errors
    /// If no port can be bound.
    pub fn new(destinations: usize, endpoint: SocketAddr) -> Result<Registry, Stopped> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let entries = (1..=destinations).map(|destination| entry(destination, endpoint, 1000.0)).collect();
        let listed = RegistryState { index: 1, entries, lines: Vec::new(), whole: (0, Arc::default()) };
        let state = Arc::new((Mutex::new(listed), Condvar::new()));
        let counts: Arc<Counts> = Arc::default();
        let (seen, counted) = (state.clone(), counts.clone());
        scripted::serve(listener, move |request, out| answer(&seen, &counted, &request.target, out));
        Ok(Registry { address, state, counts })
    }

    /// Changes the rate of a destination's endpoint, in calls per second.
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

    pub fn request_counts(&self) -> RequestCounts {
        let read = |count: &AtomicU64| count.load(Ordering::Relaxed);
        RequestCounts {
            asks: read(&self.counts.asks),
            whole_bytes: read(&self.counts.whole),
            watch_bytes: read(&self.counts.watch),
        }
    }
}

impl RegistryState {
    fn whole(&mut self) -> Arc<Vec<u8>> {
        if self.whole.0 != self.index {
            let (index, entries) = (self.index, self.entries.join(","));
            let text = format!("{{\"index\":{index},\"snapshot\":true,\"endpoints\":[{entries}]}}");
            self.whole = (index, Arc::new(text.into_bytes()));
        }
        self.whole.1.clone()
    }
}

fn answer(
    state: &(Mutex<RegistryState>, Condvar),
    counts: &Counts,
    target: &str,
    out: &mut TcpStream,
) -> bool {
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
        // Written in pieces: a client that has read enough closes the connection early.
        return whole.chunks(CHUNK_BYTES).all(|piece| {
            counts.whole.fetch_add(piece.len() as u64, Ordering::Relaxed);
            out.write_all(piece).is_ok()
        });
    };
    let after: u64 = after.parse().unwrap_or(0);
    watch(state, counts, after, out).is_ok()
}

fn watch(
    state: &(Mutex<RegistryState>, Condvar),
    counts: &Counts,
    mut after: u64,
    out: &mut TcpStream,
) -> io::Result<()> {
    out.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
    loop {
        let line = {
            let mut listed = lock(&state.0);
            if listed.index == after {
                let waited = state.1.wait_timeout(listed, KEEP_ALIVE_INTERVAL);
                listed = waited.unwrap_or_else(|poisoned| poisoned.into_inner()).0;
            }
            let first = listed.lines.partition_point(|line| line.0 <= after);
            // A client whose list these changes do not continue gets the whole list.
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

/// An address that refuses every connection while this exists: the port is bound, but nothing listens on it.
pub struct RefusingAddress {
    pub address: SocketAddr,
    _held: socket2::Socket,
}

impl RefusingAddress {
    /// # Errors
    /// If no port can be bound.
    pub fn new() -> Result<RefusingAddress, Stopped> {
        let held = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)?;
        held.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())?;
        let address = held.local_addr()?.as_socket();
        Ok(RefusingAddress {
            address: address.ok_or_else(|| Stopped("no address".to_string()))?,
            _held: held,
        })
    }
}

/// The size of each mail's body in bytes.
pub const BODY_BYTES: usize = 200;

/// Hands in mails with unique ids, without waiting for each answer.
pub struct Client {
    stream: BufReader<TcpStream>,
    name: u32,
    next: u32,
}

/// Counts of the answers to mails.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AnswerCounts {
    pub taken: usize,
    pub busy: usize,
    pub failed: usize,
}

impl Client {
    /// `name` distinguishes its mail ids from those of other clients.
    ///
    /// # Errors
    /// If the courier cannot be reached.
    pub fn connect(courier: SocketAddr, name: u32) -> Result<Client, Stopped> {
        let stream = TcpStream::connect(courier)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(30)))?;
        Ok(Client { stream: BufReader::new(stream), name, next: 0 })
    }

    /// Hands in one mail for each destination, and reads all answers.
    ///
    /// # Errors
    /// If the connection ends, or an answer takes half a minute.
    pub fn hand_in(&mut self, destinations: impl Iterator<Item = usize>) -> Result<AnswerCounts, Stopped> {
        let (mut bytes, mut count) = (Vec::new(), 0);
        for destination in destinations {
            let id = format!("{:08x}{:08x}", self.name, self.next);
            let pairs = format!("c=again,t=acme,d={LIFETIME_MS},dest={destination}");
            bytes.extend(request(&[b"MSG.PUT", b"0", id.as_bytes(), pairs.as_bytes(), &[b'x'; BODY_BYTES]]));
            self.next += 1;
            count += 1;
        }
        self.stream.get_mut().write_all(&bytes)?;
        let mut heard = AnswerCounts::default();
        for _ in 0..count {
            match self.line()?.as_str() {
                line if line.starts_with('+') => heard.taken += 1,
                line if line.starts_with("-BUSY") => heard.busy += 1,
                _ => heard.failed += 1,
            }
        }
        Ok(heard)
    }

    /// The time until `PING` is answered.
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

/// A mail's lifetime in milliseconds, far longer than any run.
const LIFETIME_MS: u64 = 86_400_000;

/// The courier's configuration: one redeliverable queue class, with limits on the number of mails and on the folder in
/// MB.
pub fn config(listen: SocketAddr, discovery: SocketAddr, room: usize, disk_mb: f64) -> Value {
    let mut settings = scripted::settings();
    settings["Limits"]["MaxOpen"] = json!(room);
    // Mails that cannot be relayed stay held, because the number of connects is practically unlimited.
    settings["Limits"]["MaxAttempts"] = json!(1_000_000_000_u64);
    settings["Profiles"][0]["HardLimitUs"] = json!(LIFETIME_MS * 1000);
    settings["FamilyInfo"]["Slots"] = json!(64);
    settings["Limits"]["KeepaliveUs"] = json!(5_000_000);
    // As in the rig's days. Without a time for which endpoints stay cold there is no pause between trial calls.
    settings["Limits"]["ConnectTimeoutUs"] = json!(1_000_000);
    settings["Rules"] = json!({"TurnGapUs": 600_000, "OverloadForUs": 2_000_000, "TipMultiple": 2.0,
        "ColdFrom": 0.25, "ColdUs": 4_000_000});
    json!({"name": "n1", "listen": listen.to_string(), "discovery": discovery.to_string(),
        "seed": "8c1f30d27a5be964", "limits": {"sockets": 1024, "disk_mb": disk_mb},
        "known": {"index": 0, "snapshot": true, "endpoints": []}, "settings": settings})
}

/// The measurement at one size, with the machine's load at the time and further observations.
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

/// A slope as it is written to the output: sizes are in `size_unit`, values in `unit`.
#[derive(Clone, Debug, Serialize)]
pub struct Slope {
    pub name: String,
    pub binary: String,
    pub size_unit: String,
    pub unit: String,
    pub command: String,
    pub points: Vec<Row>,
    /// The better of the linear and the power fit.
    pub fit: Option<Fit>,
    pub other_fit: Option<Fit>,
    /// The exponent between the last two sizes, which shows a bend that a fit over all sizes hides.
    pub last_exponent: Option<f64>,
    pub largest: f64,
    pub stopped_by: String,
}

impl Slope {
    /// Fits the rows; `largest` is the largest size that was measured.
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

    /// A Markdown table, followed by the fit.
    pub fn table(&self) -> String {
        let mut out = format!("**{}** ({}): {} by {}\n\n", self.name, self.binary, self.unit, self.size_unit);
        out += &format!("| {} | {} | load | seen |\n| --- | --- | --- | --- |\n", self.size_unit, self.unit);
        for Row { size, value, load, seen } in &self.points {
            out += &format!("| {size} | {} | {load:.1} | {seen} |\n", three_digits(*value));
        }
        let fits =
            [self.fit, self.other_fit].into_iter().flatten().map(fit_text).collect::<Vec<_>>().join("; ");
        let fits = if fits.is_empty() { "none".to_string() } else { fits };
        let last = self
            .last_exponent
            .map_or(String::new(), |last| format!(" Between the last two: size^{last:.2}."));
        let (largest, stopped) = (self.largest, &self.stopped_by);
        out + &format!("\nFit: {fits}.{last} Largest: {largest}; stopped by: {stopped}.\n")
    }
}

fn fit_text(fit: Fit) -> String {
    let percent = fit.residual() * 100.0;
    match fit {
        Fit::Linear { slope, intercept, .. } => {
            format!("{} + {} x size, residual {percent:.0}%", three_digits(intercept), three_digits(slope))
        }
        Fit::Power { exponent, scale, .. } => {
            format!("{} x size^{exponent:.2}, residual {percent:.0}%", three_digits(scale))
        }
    }
}

/// Formats a value with three significant digits.
fn three_digits(value: f64) -> String {
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
