//! Scripted mock services for single-case tests, with control over each answer down to the byte, and one real courier to
//! run against them. They panic on errors, as a test cannot go on then. Days use the other mock services.

use std::collections::{HashSet, VecDeque};
use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Output, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::{kill_process, prlimit, Pid, Resource, Rlimit, Signal};
use serde_json::{json, Value};

use crate::client::request as request_of;

/// A temporary folder for one test, removed at its end.
pub struct Folder {
    pub path: PathBuf,
    _guard: tempfile::TempDir,
}

impl Folder {
    pub fn new() -> Folder {
        let guard = tempfile::Builder::new().prefix("meadowhold-").tempdir().unwrap();
        Folder { path: guard.path().to_path_buf(), _guard: guard }
    }
}

impl Default for Folder {
    fn default() -> Folder {
        Folder::new()
    }
}

/// An address that no other test uses, in this process or another. Picking a free port instead would be racy: another
/// test may take it before it is used.
pub fn unique_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let (process, next) = (std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
    assert!(next < 250);
    SocketAddr::from(([127, 1 + (process % 200) as u8, (process / 200 % 250) as u8, next as u8], 6379))
}

/// Polls a condition until it holds; panics after 8 seconds.
pub fn wait_until(what: &str, holds: impl FnMut() -> bool) {
    wait_until_within(Duration::from_secs(8), what, holds);
}

/// Like `wait_until`, with a time limit of its own: for conditions whose duration is not under test, on a busy machine.
pub fn wait_until_within(longest: Duration, what: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < longest, "timed out waiting for: {what}");
        thread::sleep(Duration::from_millis(5));
    }
}

#[derive(Clone, Debug)]
pub struct Request {
    pub target: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
    pub at: Instant,
}

impl Request {
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|f| f.0.eq_ignore_ascii_case(name)).map(|f| &f.1[..])
    }

    /// The ids of the mails in a call.
    pub fn ids(&self) -> Vec<String> {
        match self.field("X-Request-Id") {
            Some(id) => vec![id.to_string()],
            None => {
                let items: Vec<Value> = serde_json::from_slice(&self.body).unwrap();
                items.iter().map(|item| item["id"].as_str().unwrap().to_string()).collect()
            }
        }
    }
}

fn read_request(stream: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    stream.read_line(&mut line).ok().filter(|&n| n > 0)?;
    let target = line.split(' ').nth(1)?.to_string();
    let mut fields = Vec::new();
    loop {
        line.clear();
        stream.read_line(&mut line).ok().filter(|&n| n > 0)?;
        match line.trim_end().split_once(": ") {
            Some((name, value)) => fields.push((name.to_string(), value.to_string())),
            None => break,
        }
    }
    let mut request = Request { target, fields, body: Vec::new(), at: Instant::now() };
    let length = request.field("Content-Length").map_or(0, |length| length.parse().unwrap());
    request.body = vec![0; length];
    stream.read_exact(&mut request.body).ok()?;
    request.at = Instant::now();
    Some(request)
}

/// Serves HTTP on threads of its own. `answer` writes the answer itself and returns false to close the connection.
/// Returns the counts of all connections so far and of those open now.
pub fn serve(
    listener: TcpListener,
    answer: impl Fn(Request, &mut TcpStream) -> bool + Send + Sync + 'static,
) -> Arc<Mutex<(usize, usize)>> {
    let answer = Arc::new(answer);
    let counts: Arc<Mutex<(usize, usize)>> = Arc::default();
    let connections = counts.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (answer, counts) = (answer.clone(), counts.clone());
            counts.lock().unwrap().0 += 1;
            counts.lock().unwrap().1 += 1;
            thread::spawn(move || {
                let mut out = stream.try_clone().unwrap();
                let mut stream = BufReader::new(stream);
                while let Some(request) = read_request(&mut stream) {
                    if !answer(request, &mut out) {
                        let _ = out.shutdown(Shutdown::Both);
                        break;
                    }
                }
                counts.lock().unwrap().1 -= 1;
            });
        }
    });
    connections
}

/// What an endpoint does with a call.
#[derive(Clone, Debug)]
pub enum Reply {
    /// Status and header fields, each field with its line end.
    Status(u16, &'static str),
    /// 200 with a state for each mail of a batch, in the order of their ids, and header fields.
    BatchStates(&'static [&'static str], &'static str),
    Delayed(u64, Box<Reply>),
    /// Closes the connection behind the reply.
    ThenClose(Box<Reply>),
    /// Raw bytes; the connection stays open.
    Raw(&'static str),
    CloseConnection,
    NoAnswer,
}

pub const OK: Reply = Reply::Status(200, "");

/// A limit of calls per time span.
pub struct Limit {
    pub count: usize,
    pub span: Duration,
    start: Instant,
    used: Mutex<(u128, usize)>,
    /// Each mail's call: when it came, the mail's id, and the wait it was told if it was refused.
    pub calls: Mutex<Vec<(Instant, String, Option<Duration>)>>,
}

impl Limit {
    pub fn new(count: usize, span: Duration) -> Arc<Limit> {
        let (start, used, calls) = (Instant::now(), Mutex::default(), Mutex::default());
        Arc::new(Limit { count, span, start, used, calls })
    }

    pub fn rate(&self) -> f64 {
        self.count as f64 / self.span.as_secs_f64()
    }

    /// Returns the remaining calls if this call is within the limit, and the seconds to the end of the span.
    fn take(&self, request: &Request) -> (Option<usize>, f64) {
        let elapsed = self.start.elapsed();
        let index = elapsed.as_nanos() / self.span.as_nanos();
        let rest = self.span.as_secs_f64() * (index + 1) as f64 - elapsed.as_secs_f64();
        let mut used = self.used.lock().unwrap();
        *used = if used.0 == index { *used } else { (index, 0) };
        let left = self.count.checked_sub(used.1 + 1);
        used.1 += usize::from(left.is_some());
        let wait = left.is_none().then(|| Duration::from_secs_f64(rest));
        self.calls.lock().unwrap().extend(request.ids().into_iter().map(|id| (Instant::now(), id, wait)));
        (left, rest)
    }
}

/// An endpoint that answers by a script, and relays everything once the script is over.
pub struct Endpoint {
    pub address: SocketAddr,
    pub calls: Arc<Mutex<Vec<Request>>>,
    connections: Arc<Mutex<(usize, usize)>>,
}

impl Endpoint {
    pub fn new(script: &[Reply]) -> Endpoint {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let calls: Arc<Mutex<Vec<Request>>> = Arc::default();
        let recorded = calls.clone();
        let script: Mutex<VecDeque<Reply>> = Mutex::new(script.iter().cloned().collect());
        let connections = serve(listener, move |request, out| {
            let ids = request.ids();
            recorded.lock().unwrap().push(request);
            let relayed = if ids.len() > 1 { Reply::BatchStates(&["ok"; 64], "") } else { OK };
            let reply = script.lock().unwrap().pop_front().unwrap_or(relayed);
            send_reply(reply, &ids, out)
        });
        Endpoint { address, calls, connections }
    }

    /// An endpoint that shares a limit with others. Calls beyond it are told to wait until the end of the span. Every
    /// answer reports what is left of the limit.
    pub fn limited(limit: &Arc<Limit>) -> Endpoint {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let calls: Arc<Mutex<Vec<Request>>> = Arc::default();
        let (recorded, limit) = (calls.clone(), limit.clone());
        let connections = serve(listener, move |request, out| {
            let (left, wait) = limit.take(&request);
            recorded.lock().unwrap().push(request);
            let share = left.unwrap_or(0) as f64 / limit.count as f64;
            let load = format!("X-Load: x0={share:.2},x1={:.1}", limit.rate());
            let status = if left.is_some() { "200 X" } else { "429 X" };
            let wait = if left.is_some() { String::new() } else { format!("Retry-After: {wait:.3}\r\n") };
            let text = format!("HTTP/1.1 {status}\r\n{load}\r\n{wait}Content-Length: 0\r\n\r\n");
            thread::sleep(Duration::from_millis(5));
            out.write_all(text.as_bytes()).is_ok()
        });
        Endpoint { address, calls, connections }
    }

    /// All connections so far, and those open now.
    pub fn connections(&self) -> (usize, usize) {
        *self.connections.lock().unwrap()
    }

    pub fn calls(&self) -> Vec<Request> {
        self.calls.lock().unwrap().clone()
    }

    /// The ids of the mails in all calls, in order of arrival.
    pub fn ids(&self) -> Vec<String> {
        self.calls().iter().flat_map(Request::ids).collect()
    }
}

fn send_reply(reply: Reply, ids: &[String], out: &mut TcpStream) -> bool {
    let write = |out: &mut TcpStream, status: u16, fields: &str, body: &str| {
        let length = body.len();
        let text = format!("HTTP/1.1 {status} X\r\n{fields}Content-Length: {length}\r\n\r\n{body}");
        out.write_all(text.as_bytes()).is_ok()
    };
    match reply {
        Reply::Status(status, fields) => write(out, status, fields, ""),
        Reply::BatchStates(states, fields) => {
            let mut ids = ids.to_vec();
            ids.sort();
            let items = ids.iter().zip(states).map(|(id, state)| json!({"id": id, "state": state}));
            let body = Value::from(items.collect::<Vec<_>>()).to_string();
            write(out, 200, fields, &body)
        }
        Reply::Delayed(ms, reply) => {
            thread::sleep(Duration::from_millis(ms));
            send_reply(*reply, ids, out)
        }
        Reply::ThenClose(reply) => {
            send_reply(*reply, ids, out);
            false
        }
        Reply::Raw(text) => out.write_all(text.as_bytes()).is_ok(),
        Reply::CloseConnection => false,
        Reply::NoAnswer => {
            // Wait until the courier closes the connection.
            let _ = out.try_clone().unwrap().read(&mut [0]);
            false
        }
    }
}

pub struct PlatformState {
    entries: Vec<Value>,
    index: u64,
    notices: Vec<Value>,
    /// Number of notice requests still to be answered 500, and of watches still to be ended immediately.
    pub notices_to_reject: usize,
    pub watches_to_end: usize,
    /// Whether the answer to a notice comes a second time in place of the answer to the next request on its connection,
    /// which is then lost with the connection.
    pub copies_notice_answers: bool,
    answered_from: HashSet<SocketAddr>,
    /// Watches send nothing.
    pub watches_silent: bool,
    pub watches: usize,
}

/// Mock platform: discovery, and the receiver of notices.
pub struct Platform {
    pub address: SocketAddr,
    pub state: Arc<Mutex<PlatformState>>,
}

impl Default for Platform {
    fn default() -> Platform {
        Platform::new()
    }
}

impl Platform {
    pub fn new() -> Platform {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let state = PlatformState {
            entries: Vec::new(),
            index: 1,
            notices: Vec::new(),
            notices_to_reject: 0,
            watches_to_end: 0,
            copies_notice_answers: false,
            answered_from: HashSet::new(),
            watches_silent: false,
            watches: 0,
        };
        let state = Arc::new(Mutex::new(state));
        let shared = state.clone();
        serve(listener, move |request, out| {
            if request.target == "/v1/notices" {
                return receive_notices(&shared, &request, out);
            }
            if !request.target.contains("watch=1") {
                let text = list_text(&shared.lock().unwrap());
                return write!(out, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}", text.len())
                    .is_ok();
            }
            serve_watch(&shared, out)
        });
        Platform { address, state }
    }

    /// Adds an entry to the list; replaces one of the same name.
    pub fn set_entry(&self, name: &str, address: SocketAddr, kind: &str, group: u64, status: &str) {
        let mut state = self.state.lock().unwrap();
        state.entries.retain(|entry| entry["name"] != name);
        state.entries.push(json!({"name": name, "address": address.to_string(), "zone": "a", "type": kind,
            "group": group, "status": status, "weight": 1000.0, "since_ms": 0}));
        // The list always contains one entry that couriers cannot read.
        state.entries.retain(|entry| entry["name"] != "odd");
        state.entries.push(json!({"name": "odd", "group": -1}));
        state.index += 1;
    }

    pub fn list_json(&self) -> Value {
        serde_json::from_str(&list_text(&self.state.lock().unwrap())).unwrap()
    }

    pub fn notices(&self) -> Vec<(String, String)> {
        let text = |value: &Value| value.as_str().unwrap_or("").to_string();
        let state = self.state.lock().unwrap();
        state.notices.iter().map(|n| (text(&n["ref"]), text(&n["result"]))).collect()
    }
}

fn list_text(state: &PlatformState) -> String {
    json!({"index": state.index, "snapshot": true, "endpoints": state.entries}).to_string()
}

fn receive_notices(shared: &Mutex<PlatformState>, request: &Request, out: &mut TcpStream) -> bool {
    let mut state = shared.lock().unwrap();
    let from = out.peer_addr().unwrap();
    if state.copies_notice_answers && !state.answered_from.insert(from) {
        let _ = write!(out, "HTTP/1.1 204 X\r\n\r\n");
        return false;
    }
    let status = if state.notices_to_reject > 0 { 500 } else { 204 };
    if state.notices_to_reject > 0 {
        state.notices_to_reject -= 1;
    } else {
        let lines = request.body.split(|&b| b == b'\n').filter(|line| !line.is_empty());
        state.notices.extend(lines.map(|line| serde_json::from_slice::<Value>(line).unwrap()));
    }
    let length = if status == 204 { "" } else { "Content-Length: 0\r\n" };
    write!(out, "HTTP/1.1 {status} X\r\n{length}\r\n").is_ok()
}

fn serve_watch(shared: &Mutex<PlatformState>, out: &mut TcpStream) -> bool {
    let mut seen = 0;
    shared.lock().unwrap().watches += 1;
    if write!(out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").is_err() {
        return false;
    }
    loop {
        let line = {
            let mut state = shared.lock().unwrap();
            if state.watches_to_end > 0 {
                state.watches_to_end -= 1;
                return false;
            }
            let changed = !state.watches_silent && state.index != seen;
            seen = if changed { state.index } else { seen };
            changed.then(|| list_text(&state) + "\n")
        };
        if let Some(line) = line {
            if write!(out, "{:x}\r\n{line}\r\n", line.len()).is_err() {
                return false;
            }
        }
        thread::sleep(Duration::from_millis(10));
    }
}

/// Settings with one queue class for each effect, and one that keeps its order.
pub fn settings() -> Value {
    let class = |name: &str, effect: &str, in_turn: bool| {
        json!({"Name": name, "Effect": effect, "Group": "all", "DedupWindowUs": 5_000_000, "InTurn": in_turn,
            "PromiseUs": 200_000, "HardLimitUs": 4_000_000, "Worth": 1.0, "LateWorth": 0.0})
    };
    json!({
        "NInstances": 1, "FamilyInfo": {"Slots": 8, "KindBatch": [1, 10], "OwnLimits": [true, false]},
        "Limits": {"MaxOpen": 64, "MaxAttempts": 4, "ConnectTimeoutUs": 100_000, "KeepaliveUs": 2_000_000,
            "MayDuplicate": true},
        "ResolutionUs": 1000, "MembershipMode": "push", "Kinds": ["single", "many"], "Dcs": ["a", "b"],
        "Weights": "nominal", "Rules": {"TurnGapUs": 600_000, "OverloadForUs": 2_000_000},
        "Profiles": [class("again", "read_like", false), class("tagged", "idempotency_key", false),
            class("once", "non_idempotent", false), class("turns", "read_like", true)],
    })
}

pub fn config(platform: &Platform, listen: SocketAddr) -> Value {
    json!({"name": "n1", "listen": listen.to_string(), "discovery": platform.address.to_string(),
        "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256, "disk_mb": 3},
        "known": platform.list_json(), "settings": settings()})
}

/// Path of the courier's binary, which is built into the parent of the running test's folder.
fn binary() -> PathBuf {
    let own = std::env::current_exe().unwrap();
    own.parent().and_then(|folder| folder.parent()).unwrap().join("meadowhold")
}

/// A command of the courier's binary with this configuration in the folder, and the environment variables for it.
pub fn command(folder: &Folder, config: &Value, subcommand: &str) -> Command {
    let path = folder.path.join("config.json");
    fs::write(&path, config.to_string()).unwrap();
    let mut command = Command::new(binary());
    command.arg(subcommand).env_clear().env("RUST_LOG", "warn");
    command.env("ROUTER_CONFIG", path).env("ROUTER_STATE", folder.path.join("state"));
    command.envs(config["discovery"].as_str().map(|address| ("ROUTER_DISCOVERY", address)));
    command
}

/// The same command, for which a write beyond the file size limit fails and sends no signal.
pub fn without_file_size_signal(command: &Command) -> Command {
    let mut shell = Command::new("/bin/sh");
    shell
        .args(["-c", "trap '' XFSZ; exec \"$0\" \"$@\""])
        .arg(command.get_program())
        .args(command.get_args());
    shell.env_clear();
    shell.envs(command.get_envs().filter_map(|(name, value)| Some((name, value?))));
    shell
}

/// A courier's process; killed on drop.
pub struct Courier {
    pub listen: SocketAddr,
    pub folder: Folder,
    pub config: Value,
    child: Child,
}

/// Waits until the courier at an address answers `PING`.
pub fn wait_until_ready(listen: SocketAddr) {
    wait_until("the courier's first answer", || {
        let ping = Client::connect(listen).map(|mut client| client.request(b"PING\r\n"));
        ping.is_ok_and(|answer| answer == "+PONG")
    });
}

impl Courier {
    pub fn start(platform: &Platform, change: impl FnOnce(&mut Value)) -> Courier {
        let listen = unique_address();
        let (folder, mut config) = (Folder::new(), config(platform, listen));
        change(&mut config);
        let child = command(&folder, &config, "serve").spawn().unwrap();
        let courier = Courier { listen, folder, config, child };
        courier.ready();
        courier
    }

    fn ready(&self) {
        wait_until_ready(self.listen);
    }

    pub fn client(&self) -> Client {
        Client::connect(self.listen).unwrap()
    }

    pub fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    pub fn restart(&mut self) {
        self.child = command(&self.folder, &self.config, "serve").spawn().unwrap();
        self.ready();
    }

    /// Number of its open file descriptors.
    pub fn sockets(&self) -> usize {
        fs::read_dir(format!("/proc/{}/fd", self.child.id())).unwrap().count()
    }

    /// Largest resident memory of the process so far, in bytes.
    pub fn peak_memory(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
        let kibibytes: u64 = line.trim().trim_end_matches(" kB").parse().unwrap();
        kibibytes << 10
    }

    /// Bytes that the system holds for it in the buffers of its clients' connections.
    pub fn queued_bytes(&self) -> u64 {
        let SocketAddr::V4(listen) = self.listen else { return 0 };
        let local = format!("{:08X}:{:04X}", u32::from_le_bytes(listen.ip().octets()), listen.port());
        let table = fs::read_to_string(format!("/proc/{}/net/tcp", self.child.id())).unwrap();
        let fields = table.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
        // The queue of the listener itself is a count of connections. "0A" is the state of a listener.
        let own = fields.filter(|fields| fields.get(1) == Some(&&local[..]) && fields[3] != "0A");
        let queues = own.filter_map(|fields| {
            fields[4].split_once(':').map(|(out, unread)| (out.to_string(), unread.to_string()))
        });
        let bytes = |text: &str| u64::from_str_radix(text, 16).unwrap();
        queues.map(|(out, unread)| bytes(&out) + bytes(&unread)).sum()
    }

    /// Sends a signal, given by its name with a dash, such as `-TERM`.
    pub fn signal(&self, name: &str) {
        let signal = match name {
            "-TERM" => Signal::TERM,
            "-HUP" => Signal::HUP,
            "-INT" => Signal::INT,
            "-KILL" => Signal::KILL,
            "-STOP" => Signal::STOP,
            "-CONT" => Signal::CONT,
            other => panic!("unknown signal name {other}"),
        };
        kill_process(Pid::from_child(&self.child), signal).unwrap();
    }

    /// Stops the process, and returns once it runs no more: a signal takes a moment to arrive.
    pub fn stop(&self) {
        self.signal("-STOP");
        let stat = format!("/proc/{}/stat", self.child.id());
        wait_until("the process to stop", || {
            let text = fs::read_to_string(&stat).unwrap();
            text.rsplit_once(") ").is_some_and(|(_, fields)| fields.starts_with('T'))
        });
    }

    /// From now on, all writes of the process to files fail or succeed. A process that was not started by
    /// `start_with_failing_disk` is ended by the first that fails.
    pub fn fail_writes(&self, fails: bool) {
        let limit = Rlimit { current: fails.then_some(0), maximum: None };
        prlimit(Some(Pid::from_child(&self.child)), Resource::Fsize, limit).unwrap();
    }

    /// Starts a process whose writes to files can be made to fail.
    pub fn start_with_failing_disk(platform: &Platform) -> Courier {
        let listen = unique_address();
        let (folder, config) = (Folder::new(), config(platform, listen));
        let child = without_file_size_signal(&command(&folder, &config, "serve")).spawn().unwrap();
        let courier = Courier { listen, folder, config, child };
        courier.ready();
        courier
    }

    /// Replaces the configuration's text and sends SIGHUP.
    pub fn reconfigure(&self, text: &str) {
        fs::write(self.folder.path.join("config.json"), text).unwrap();
        self.signal("-HUP");
    }

    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().unwrap()
    }

    /// The output of `meadowhold owed`.
    pub fn owed(&self) -> String {
        let Output { stdout, .. } = command(&self.folder, &self.config, "owed").output().unwrap();
        String::from_utf8(stdout).unwrap()
    }

    pub fn owes_nothing(&self) -> bool {
        self.owed().starts_with("0 mails owed; 0 bytes")
    }
}

impl Drop for Courier {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub struct Client {
    pub stream: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(address: SocketAddr) -> std::io::Result<Client> {
        let stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(Duration::from_secs(7)))?;
        Ok(Client { stream: BufReader::new(stream) })
    }

    /// Sends bytes and reads one line; empty if the connection has ended.
    pub fn request(&mut self, bytes: &[u8]) -> String {
        let _ = self.stream.get_mut().write_all(bytes);
        self.read_line()
    }

    pub fn read_line(&mut self) -> String {
        let mut line = String::new();
        let _ = self.stream.read_line(&mut line);
        line.trim_end().to_string()
    }

    pub fn put(&mut self, id: &str, class: &str, more: &str) -> String {
        self.request(&put("0000000000000000", id, class, more, b"hello"))
    }
}

pub fn put(item: &str, id: &str, class: &str, more: &str, body: &[u8]) -> Vec<u8> {
    let pairs = format!("c={class},{more},dest=7");
    request_of(&[b"MSG.PUT", item.as_bytes(), id.as_bytes(), pairs.as_bytes(), body])
}

/// Runs a command that is expected to end by itself, and kills it after 5 seconds. Returns whether it succeeded, and its
/// standard error.
pub fn output(mut command: Command) -> (bool, String) {
    let command = command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
    let mut child = command.spawn().unwrap();
    let start = Instant::now();
    while child.try_wait().unwrap().is_none() {
        if start.elapsed() > Duration::from_secs(5) {
            child.kill().unwrap();
        }
        thread::sleep(Duration::from_millis(5));
    }
    let Output { status, stderr, .. } = child.wait_with_output().unwrap();
    (status.success(), String::from_utf8(stderr).unwrap())
}
