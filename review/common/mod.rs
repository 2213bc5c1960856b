//! Stand-ins for the cases of the review: clients, endpoints and the platform, as `kit/real/PROTOCOL.md` has them, and a
//! courier as a separate process. Standard library only, one thread a connection, loopback addresses only.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

/// What was sent, answered and run, with the time in seconds since the start of the case.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Record> {
        Ok(Record { start: Instant::now(), file: Arc::new(Mutex::new(File::create(path)?)) })
    }

    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: impl AsRef<str>) -> f64 {
        let mut file = self.file.lock().unwrap();
        let at = self.now();
        let _ = writeln!(file, "{at:9.4} {}", text.as_ref());
        at
    }
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// Whether the case plays its disruption: not with TROUBLE=0.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |text| text != "0")
}

/// A request as it came.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub line: String,
    pub fields: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn path(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }

    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }
}

/// Reads a request to its last byte; `None` if the connection ends.
pub fn read_request(from: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    if from.read_line(&mut line).ok()? == 0 || !line.ends_with('\n') {
        return None;
    }
    let mut request = Request { line: line.trim().to_string(), ..Request::default() };
    loop {
        let mut field = String::new();
        if from.read_line(&mut field).ok()? == 0 || !field.ends_with('\n') {
            return None;
        }
        let field = field.trim();
        if field.is_empty() {
            break;
        }
        let (name, value) = field.split_once(':')?;
        request.fields.insert(name.trim().to_ascii_lowercase(), value.trim().to_string());
    }
    let length = request.field("content-length").parse().unwrap_or(0);
    request.body = vec![0; length];
    from.read_exact(&mut request.body).ok()?;
    Some(request)
}

/// Accepts connections for good, each in a thread of its own.
pub fn serve(listener: TcpListener, handler: impl Fn(TcpStream) + Send + Sync + 'static) {
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            let handler = handler.clone();
            thread::spawn(move || handler(stream));
        }
    });
}

/// An entry of the list.
#[derive(Clone, Debug)]
pub struct Entry {
    pub name: String,
    pub address: SocketAddr,
    pub kind: String,
    pub group: u64,
    pub status: &'static str,
    /// Calls a second that the destination takes from all couriers together.
    pub weight: f64,
}

impl Entry {
    pub fn json(&self) -> String {
        format!(
            "{{\"name\":\"{}\",\"address\":\"{}\",\"zone\":\"a\",\"type\":\"{}\",\"group\":{},\"status\":\"{}\",\
             \"weight\":{:?},\"since_ms\":0}}",
            self.name, self.address, self.kind, self.group, self.status, self.weight
        )
    }
}

pub fn list_json(index: u64, snapshot: bool, entries: &[Entry]) -> String {
    let entries: Vec<String> = entries.iter().map(Entry::json).collect();
    format!("{{\"index\":{index},\"snapshot\":{snapshot},\"endpoints\":[{}]}}", entries.join(","))
}

/// A notice as it came.
#[derive(Clone, Debug)]
pub struct Notice {
    pub at: f64,
    pub id: String,
    pub result: String,
}

/// The platform: the agent with the list, which it tells to watches, and notices, which are answered 204 at once.
#[derive(Clone)]
pub struct Platform {
    pub address: SocketAddr,
    pub notices: Arc<Mutex<Vec<Notice>>>,
    list: Arc<Mutex<List>>,
    /// While discovery is down the agent takes connections, stays silent and learns nothing.
    down: Switch,
    /// Each request for the list is answered so many ms late.
    late_ms: Counter,
    record: Record,
}

#[derive(Default)]
struct List {
    index: u64,
    entries: Vec<Entry>,
    changes: Vec<(u64, Vec<Entry>)>,
}

impl List {
    fn whole(&self) -> String {
        list_json(self.index, true, &self.entries)
    }

    /// The changes after a version, as the first line of a watch or a later one.
    fn since(&self, after: u64) -> String {
        let changes = self.changes.iter().filter(|(index, _)| *index > after);
        let entries: Vec<Entry> = changes.flat_map(|(_, entries)| entries.clone()).collect();
        list_json(self.index, false, &entries)
    }
}

fn text_of<'a>(line: &'a str, key: &str) -> Option<&'a str> {
    line.split_once(&format!("\"{key}\":\""))?.1.split('"').next()
}

impl Platform {
    pub fn start(record: Record, index: u64, entries: Vec<Entry>) -> io::Result<Platform> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let list = Arc::new(Mutex::new(List { index, entries, changes: Vec::new() }));
        let platform = Platform {
            address: listener.local_addr()?,
            notices: Arc::default(),
            list,
            down: Switch::default(),
            late_ms: Counter::default(),
            record,
        };
        let served = platform.clone();
        serve(listener, move |stream| {
            let _ = served.answer(stream);
        });
        Ok(platform)
    }

    /// Changes the list: each entry replaces the one of its name; `DELETED` takes it off.
    pub fn change(&self, entries: Vec<Entry>) {
        let mut list = self.list.lock().unwrap();
        list.index += 1;
        for entry in &entries {
            list.entries.retain(|other| other.name != entry.name);
            if entry.status != "DELETED" {
                list.entries.push(entry.clone());
            }
        }
        let index = list.index;
        list.changes.push((index, entries.clone()));
        self.record.line(format!("the agent has {}", list_json(index, false, &entries)));
    }

    pub fn set_down(&self, down: bool) {
        self.down.store(down, Ordering::SeqCst);
        self.record.line(format!("discovery is down: {down}"));
    }

    pub fn set_late(&self, ms: u64) {
        self.late_ms.store(ms, Ordering::SeqCst);
        self.record.line(format!("requests for the list are answered {ms} ms late"));
    }

    fn is_down(&self) -> bool {
        self.down.load(Ordering::SeqCst)
    }

    fn answer(&self, stream: TcpStream) -> Option<()> {
        let mut out = stream.try_clone().ok()?;
        let mut from = BufReader::new(stream);
        while let Some(request) = read_request(&mut from) {
            if request.path() == "/v1/notices" {
                let at = self.record.now();
                for line in String::from_utf8_lossy(&request.body).lines() {
                    let (id, result) = (text_of(line, "ref")?, text_of(line, "result")?);
                    self.record.line(format!("notice {line}"));
                    let notice = Notice { at, id: id.to_string(), result: result.to_string() };
                    self.notices.lock().unwrap().push(notice);
                }
                out.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").ok()?;
            } else {
                let unanswered = if self.is_down() { ", silent" } else { "" };
                self.record.line(format!("list: {}{unanswered}", request.line));
                while self.is_down() {
                    sleep_ms(10);
                }
                sleep_ms(self.late_ms.load(Ordering::SeqCst));
                if let Some(after) = request.path().strip_prefix("/catalog/members?watch=1&after=") {
                    return self.tell(&mut out, after.parse().ok()?);
                }
                let list = self.list.lock().unwrap().whole();
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", list.len());
                out.write_all(format!("{head}{list}").as_bytes()).ok()?;
            }
            if request.field("connection").eq_ignore_ascii_case("close") {
                return None;
            }
        }
        None
    }

    /// A watch: the changes after a version, then each further one, and an empty line every 2 s.
    fn tell(&self, out: &mut TcpStream, mut after: u64) -> Option<()> {
        out.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").ok()?;
        let mut is_first = true;
        let mut last = Instant::now();
        loop {
            if !self.is_down() {
                let news = {
                    let list = self.list.lock().unwrap();
                    let news = (is_first || list.index > after).then(|| list.since(after));
                    after = list.index;
                    news
                };
                if let Some(news) = news {
                    out.write_all(format!("{:x}\r\n{news}\n\r\n", news.len() + 1).as_bytes()).ok()?;
                    self.record.line(format!("told over the watch: version {after}"));
                    (is_first, last) = (false, Instant::now());
                } else if last.elapsed() >= Duration::from_secs(2) {
                    out.write_all(b"1\r\n\n\r\n").ok()?;
                    last = Instant::now();
                }
            }
            sleep_ms(5);
        }
    }

    pub fn notice_of(&self, id: &str) -> Option<Notice> {
        self.notices.lock().unwrap().iter().find(|notice| notice.id == id).cloned()
    }
}

/// What a client heard.
#[derive(Clone, Debug, PartialEq)]
pub enum Heard {
    Taken,
    Busy,
    Failed(String),
    /// The connection ended without an answer.
    Ended(String),
    /// No answer in the 400 ms that a client waits.
    Nothing,
    NotConnected(String),
}

/// A client: one connection, one request at a time.
pub struct Client {
    pub address: SocketAddr,
    stream: Option<BufReader<TcpStream>>,
}

impl Client {
    pub fn new(address: SocketAddr) -> Client {
        Client { address, stream: None }
    }

    fn connect(&mut self) -> io::Result<&mut BufReader<TcpStream>> {
        if self.stream.is_none() {
            let stream = TcpStream::connect_timeout(&self.address, Duration::from_millis(400))?;
            stream.set_nodelay(true)?;
            stream.set_read_timeout(Some(Duration::from_millis(400)))?;
            self.stream = Some(BufReader::new(stream));
        }
        Ok(self.stream.as_mut().unwrap())
    }

    /// Hands a message in, and closes the connection if there is no answer in 400 ms.
    pub fn put(&mut self, id: &str, pairs: &str, body: &[u8]) -> Heard {
        let mut request = Vec::new();
        let words: [&[u8]; 5] = [b"MSG.PUT", b"0000000000000000", id.as_bytes(), pairs.as_bytes(), body];
        request.extend_from_slice(b"*5\r\n");
        for word in words {
            request.extend_from_slice(format!("${}\r\n", word.len()).as_bytes());
            request.extend_from_slice(word);
            request.extend_from_slice(b"\r\n");
        }
        let reused = self.stream.is_some();
        let heard = self.ask(&request);
        // The courier may have closed the connection between two requests: once more on a new connection.
        if reused && matches!(heard, Heard::Ended(_)) {
            return self.ask(&request);
        }
        heard
    }

    fn ask(&mut self, request: &[u8]) -> Heard {
        let stream = match self.connect() {
            Ok(stream) => stream,
            Err(e) => return Heard::NotConnected(e.to_string()),
        };
        if let Err(e) = stream.get_mut().write_all(request) {
            self.stream = None;
            return Heard::Ended(e.to_string());
        }
        let mut line = String::new();
        let heard = match stream.read_line(&mut line) {
            Ok(_) if line.starts_with('+') => Heard::Taken,
            Ok(_) if line.starts_with("-BUSY") => Heard::Busy,
            Ok(_) if line.ends_with('\n') => Heard::Failed(line.trim().to_string()),
            Ok(_) => Heard::Ended("end of the connection".to_string()),
            Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
                Heard::Nothing
            }
            Err(e) => Heard::Ended(e.to_string()),
        };
        if !matches!(heard, Heard::Taken | Heard::Busy | Heard::Failed(_)) {
            self.stream = None;
        }
        heard
    }
}

/// Sends PING and waits for the answer.
pub fn ping(address: SocketAddr, wait: Duration) -> bool {
    let ask = || -> io::Result<bool> {
        let mut stream = TcpStream::connect_timeout(&address, wait)?;
        stream.set_read_timeout(Some(wait))?;
        stream.write_all(b"*1\r\n$4\r\nPING\r\n")?;
        let mut answer = [0; 7];
        stream.read_exact(&mut answer)?;
        Ok(&answer == b"+PONG\r\n")
    };
    ask().unwrap_or(false)
}

/// A port that is free now.
pub fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

/// A courier as a process of its own, ended when dropped.
pub struct Courier {
    pub listen: SocketAddr,
    folder: PathBuf,
    config: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Courier {
    /// `folder`: a temporary one. `settings`: nested JSON.
    pub fn new(
        folder: &Path,
        platform: &Platform,
        known: &str,
        limits: &str,
        settings: &str,
    ) -> io::Result<Courier> {
        let listen = free_address()?;
        let config = folder.join("config.json");
        std::fs::create_dir_all(folder.join("state"))?;
        let text = format!(
            "{{\"name\":\"n0\",\"listen\":\"{listen}\",\"discovery\":\"{}\",\"seed\":\"5eed\",\"limits\":{limits},\
             \"known\":{known},\"settings\":{settings}}}",
            platform.address
        );
        std::fs::write(&config, text)?;
        let (folder, log) = (folder.to_path_buf(), folder.join("log.txt"));
        Ok(Courier { listen, folder, config, log, child: None })
    }

    /// Starts the process by the deploy file's `run`, in RUN, and waits until it answers PING.
    pub fn start(&mut self, record: &Record) -> bool {
        let run = std::env::var("RUN").unwrap_or_else(|_| "exec target/release/meadowhold serve".to_string());
        let log = File::options().create(true).append(true).open(&self.log);
        let Ok(log) = log else { return false };
        let child = Command::new("/bin/sh")
            .args(["-c", &run])
            .env("ROUTER_NAME", "n0")
            .env("ROUTER_CONFIG", &self.config)
            .env("ROUTER_STATE", self.folder.join("state"))
            .env("RUST_LOG", std::env::var("CASE_LOG").unwrap_or_else(|_| "info".to_string()))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn();
        let Ok(child) = child else { return false };
        record.line(format!("courier started, process {}", child.id()));
        self.child = Some(child);
        for _ in 0..500 {
            if ping(self.listen, Duration::from_millis(200)) {
                record.line("courier answers PING");
                return true;
            }
            sleep_ms(20);
        }
        false
    }

    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            let _ = Command::new("/bin/sh").args(["-c", &format!("kill -{name} {}", child.id())]).status();
        }
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    /// CPU time of the process in ticks of 10 ms.
    pub fn cpu_ticks(&self) -> u64 {
        let Some(child) = &self.child else { return 0 };
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", child.id())).unwrap_or_default();
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
        let tick = |i: usize| fields.get(i).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
        tick(11) + tick(12)
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Courier {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Settings of a small deployment, with these queue classes.
pub fn settings(
    slots: usize,
    max_open: usize,
    own_limits: bool,
    batch: usize,
    extra: &str,
    profiles: &str,
) -> String {
    format!(
        "{{\"NInstances\":1,\"Me\":0,\"FamilyInfo\":{{\"Slots\":{slots},\"OwnLimits\":[{own_limits}],\
         \"KindBatch\":[{batch}],\"Late\":\"by_half\"}},\"ResolutionUs\":5000,\"MembershipMode\":\"push\",\
         \"Kinds\":[\"k\"],\"Dcs\":[\"a\"],\"Weights\":\"nominal\",\
         \"Limits\":{{\"MaxOpen\":{max_open},\"MaxAttempts\":8,\"ConnectTimeoutUs\":1000000,\"KeepaliveUs\":10000000{extra}}},\
         \"Rules\":{{\"AnswerSlackUs\":20000,\"ColdFrom\":0.2,\"ColdUs\":13000000,\"DrainGraceUs\":500000,\
         \"OverloadForUs\":2000000,\"TipMultiple\":2.0,\"AskWithinUs\":10000000}},\"Profiles\":[{profiles}]}}"
    )
}

/// A signal that threads wait for.
#[derive(Clone, Default)]
pub struct Flag(Arc<(Mutex<bool>, Condvar)>);

impl Flag {
    pub fn set(&self) {
        *self.0 .0.lock().unwrap() = true;
        self.0 .1.notify_all();
    }

    pub fn is_set(&self) -> bool {
        *self.0 .0.lock().unwrap()
    }

    pub fn wait(&self, most: Duration) -> bool {
        let guard = self.0 .0.lock().unwrap();
        let (guard, _) = self.0 .1.wait_timeout_while(guard, most, |set| !*set).unwrap();
        *guard
    }
}

pub type Counter = Arc<AtomicU64>;

pub fn count(counter: &Counter) -> u64 {
    counter.fetch_add(1, Ordering::SeqCst)
}

pub type Switch = Arc<AtomicBool>;
