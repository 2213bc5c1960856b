//! Stand-ins for the cases of the second review: clients, endpoints and the platform, written from the users' protocol page,
//! with the standard library alone. Each case includes this file as a module.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const CANNOT_RUN: i32 = 2;

/// `record.txt`: what was sent, answered and run, with the time in milliseconds since the start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn open() -> Record {
        let folder = std::env::var("CASE_FOLDER").expect("CASE_FOLDER is set by run.sh");
        let file = File::create(PathBuf::from(folder).join("record.txt")).expect("record.txt");
        Record { start: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn ms(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1000.0
    }

    pub fn say(&self, line: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:10.1} {line}", self.start.elapsed().as_secs_f64() * 1000.0);
    }

    /// The verdict goes to the record and to standard output.
    pub fn verdict(&self, line: &str) {
        self.say(line);
        println!("{line}");
    }
}

/// A small generator of chance with a fixed seed.
pub struct Chance(pub u64);

impl Chance {
    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    pub fn below(&mut self, n: u64) -> u64 {
        self.next() % n
    }
}

pub fn free_port() -> u16 {
    TcpListener::bind("127.0.0.1:0").expect("a free port").local_addr().unwrap().port()
}

/// A folder of the case's own, removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Folder {
        let base = std::env::temp_dir().join(format!("case-{}-{}", std::process::id(), free_port()));
        fs::create_dir_all(&base).expect("a temporary folder");
        Folder(base)
    }

    pub fn sub(&self, name: &str) -> PathBuf {
        let path = self.0.join(name);
        let _ = fs::create_dir_all(&path);
        path
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

// ---------------------------------------------------------------------------------------------- the courier

pub struct Courier {
    pub name: String,
    pub listen: SocketAddr,
    pub state: PathBuf,
    pub config: PathBuf,
    log: PathBuf,
    pub child: Option<Child>,
}

impl Courier {
    /// Prepares a courier; `config` is its configuration without `name`, `listen` and the braces.
    pub fn new(folder: &Folder, name: &str, discovery: SocketAddr, config: &str) -> Courier {
        let listen: SocketAddr = format!("127.0.0.1:{}", free_port()).parse().unwrap();
        let (state, home) = (folder.sub(&format!("{name}-state")), folder.sub(name));
        let path = home.join("config.json");
        let text = format!(
            "{{\"name\":\"{name}\",\"listen\":\"{listen}\",\"discovery\":\"{discovery}\",\"seed\":\"1\",{config}}}"
        );
        fs::write(&path, text).expect("config.json");
        Courier { name: name.into(), listen, state, config: path, log: home.join("log"), child: None }
    }

    /// Starts it by the deploy file's command, which run.sh passes on.
    pub fn start(&mut self) {
        let run = std::env::var("CASE_RUN").expect("CASE_RUN is set by run.sh");
        let log = fs::OpenOptions::new().create(true).append(true).open(&self.log).expect("log");
        let tmp = self.state.parent().unwrap().join(format!("{}-tmp", self.name));
        let _ = fs::create_dir_all(&tmp);
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(run)
            .env("ROUTER_CONFIG", &self.config)
            .env("ROUTER_STATE", &self.state)
            .env("TMPDIR", &tmp)
            .env("RUST_LOG", std::env::var("CASE_LOG").unwrap_or("warn".into()))
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .expect("the courier starts");
        self.child = Some(child);
    }

    /// Waits until it answers PING.
    pub fn ready(&mut self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if let Ok(mut client) = Client::connect(self.listen) {
                if client.command(&[b"PING"], Duration::from_millis(400)) == Answer::Ok {
                    return true;
                }
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> Option<String> {
        let child = self.child.as_mut()?;
        child.try_wait().ok().flatten().map(|status| status.to_string())
    }

    /// Kills it outright.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// A figure of /proc/PID/status in KiB.
    pub fn status_kib(&self, name: &str) -> u64 {
        let text = fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap_or_default();
        let line = text.lines().find(|line| line.starts_with(name)).unwrap_or_default();
        line.split_whitespace().nth(1).and_then(|n| n.parse().ok()).unwrap_or(0)
    }

    pub fn log_text(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Courier {
    fn drop(&mut self) {
        self.kill();
    }
}

// ---------------------------------------------------------------------------------------------- clients

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    Ok,
    Busy,
    Failed,
    /// No answer within the time.
    None,
    /// The connection was closed without one.
    Closed,
}

pub struct Client {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(address: SocketAddr) -> io::Result<Client> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_millis(400))?;
        stream.set_nodelay(true)?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(Client { stream, reader })
    }

    pub fn command(&mut self, words: &[&[u8]], limit: Duration) -> Answer {
        let mut out = format!("*{}\r\n", words.len()).into_bytes();
        for word in words {
            out.extend_from_slice(format!("${}\r\n", word.len()).as_bytes());
            out.extend_from_slice(word);
            out.extend_from_slice(b"\r\n");
        }
        if self.stream.write_all(&out).is_err() {
            return Answer::Closed;
        }
        let _ = self.stream.set_read_timeout(Some(limit));
        let mut line = String::new();
        match self.reader.read_line(&mut line) {
            Ok(0) => Answer::Closed,
            Ok(_) if line.starts_with('+') => Answer::Ok,
            Ok(_) if line.starts_with("-BUSY") => Answer::Busy,
            Ok(_) => Answer::Failed,
            Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => Answer::None,
            Err(_) => Answer::Closed,
        }
    }
}

/// A message as its client hands it in.
#[derive(Clone)]
pub struct Message {
    pub id: String,
    pub class: &'static str,
    pub key: Option<String>,
    pub lifetime_ms: u64,
    pub destination: u64,
    pub body: Vec<u8>,
}

/// Hands a message in, on the kept connection or a new one. A request on a kept connection that is closed unread goes once
/// more, on a new connection.
pub fn hand_in(kept: &mut Option<Client>, address: SocketAddr, message: &Message) -> Answer {
    let mut pairs = format!("c={},d={},", message.class, message.lifetime_ms);
    if let Some(key) = &message.key {
        pairs.push_str(&format!("k={key},"));
    }
    pairs.push_str(&format!("dest={}", message.destination));
    let words: [&[u8]; 5] = [b"MSG.PUT", b"0000000000000000", message.id.as_bytes(), pairs.as_bytes(), &message.body];
    for _ in 0..2 {
        let was_kept = kept.is_some();
        if kept.is_none() {
            *kept = Client::connect(address).ok();
        }
        let Some(client) = kept.as_mut() else { return Answer::Closed };
        let answer = client.command(&words, Duration::from_millis(400));
        if matches!(answer, Answer::None | Answer::Closed) {
            *kept = None;
        }
        if answer != Answer::Closed || !was_kept {
            return answer;
        }
    }
    Answer::Closed
}

// ---------------------------------------------------------------------------------------------- the platform

#[derive(Default)]
pub struct PlatformState {
    pub version: u64,
    /// Entries by name, as JSON.
    pub entries: Vec<(String, String)>,
    /// When each notice came, with its result.
    pub notices: HashMap<String, (Instant, String)>,
    /// Changes not yet written to the watches, by version.
    changes: Vec<(u64, String)>,
}

#[derive(Clone)]
pub struct Platform {
    pub address: SocketAddr,
    pub state: Arc<Mutex<PlatformState>>,
    record: Record,
}

pub fn entry(name: &str, address: SocketAddr, group: u64, status: &str, weight: f64) -> String {
    format!(
        "{{\"name\":\"{name}\",\"address\":\"{address}\",\"zone\":\"a\",\"type\":\"k\",\"group\":{group},\
         \"status\":\"{status}\",\"weight\":{weight:.1},\"since_ms\":0}}"
    )
}

impl Platform {
    pub fn start(record: &Record, entries: Vec<(String, String)>) -> Platform {
        let listener = TcpListener::bind("127.0.0.1:0").expect("the platform's port");
        let address = listener.local_addr().unwrap();
        let state = PlatformState { version: 1, entries, ..PlatformState::default() };
        let platform = Platform { address, state: Arc::new(Mutex::new(state)), record: record.clone() };
        let each = platform.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let platform = each.clone();
                thread::spawn(move || platform.serve(stream));
            }
        });
        platform
    }

    pub fn list(&self) -> String {
        let state = self.state.lock().unwrap();
        let entries: Vec<&str> = state.entries.iter().map(|(_, text)| text.as_str()).collect();
        format!("{{\"index\":{},\"snapshot\":true,\"endpoints\":[{}]}}", state.version, entries.join(","))
    }

    /// Changes one entry; `text` is its new form, which every watch is written.
    pub fn change(&self, name: &str, text: &str, is_listed: bool) {
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        state.entries.retain(|(other, _)| other != name);
        if is_listed {
            state.entries.push((name.into(), text.into()));
        }
        let version = state.version;
        state.changes.push((
            version,
            format!("{{\"index\":{version},\"snapshot\":false,\"endpoints\":[{text}]}}\n"),
        ));
    }

    pub fn notice_of(&self, id: &str) -> Option<(Instant, String)> {
        self.state.lock().unwrap().notices.get(id).cloned()
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut out) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader) {
            if request.line.starts_with("POST /v1/notices") {
                for line in String::from_utf8_lossy(&request.body).lines() {
                    let field = |name: &str| {
                        let from = line.split(&format!("\"{name}\":\"")).nth(1)?;
                        from.split('"').next().map(str::to_string)
                    };
                    if let (Some(id), Some(result)) = (field("ref"), field("result")) {
                        self.record.say(&format!("notice {id} {result}"));
                        let mut state = self.state.lock().unwrap();
                        state.notices.entry(id).or_insert((Instant::now(), result));
                    }
                }
                if out.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").is_err() {
                    return;
                }
            } else if request.line.contains("watch=1") {
                let after = request.line.split("after=").nth(1).and_then(|rest| {
                    rest.split(|c: char| !c.is_ascii_digit()).next()?.parse::<u64>().ok()
                });
                self.watch(&mut out, after.unwrap_or(0));
                return;
            } else {
                let list = self.list();
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", list.len());
                if out.write_all((head + &list).as_bytes()).is_err() {
                    return;
                }
            }
        }
    }

    fn watch(&self, out: &mut TcpStream, after: u64) {
        let chunk = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
        let mut told = after;
        if out.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").is_err() {
            return;
        }
        let mut next_empty = Instant::now();
        loop {
            let new: Vec<(u64, String)> = {
                let state = self.state.lock().unwrap();
                state.changes.iter().filter(|(version, _)| *version > told).cloned().collect()
            };
            for (version, line) in new {
                if out.write_all(chunk(&line).as_bytes()).is_err() {
                    return;
                }
                self.record.say(&format!("told version {version}"));
                told = version;
                next_empty = Instant::now() + Duration::from_secs(2);
            }
            if Instant::now() >= next_empty {
                if out.write_all(chunk("\n").as_bytes()).is_err() {
                    return;
                }
                next_empty = Instant::now() + Duration::from_secs(2);
            }
            thread::sleep(Duration::from_millis(2));
        }
    }
}

// ---------------------------------------------------------------------------------------------- endpoints

#[derive(Clone, Debug, Default)]
pub struct Request {
    pub line: String,
    pub fields: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn id(&self) -> &str {
        self.fields.get("x-request-id").map_or("", String::as_str)
    }

    /// The ids of the messages of a call.
    pub fn ids(&self) -> Vec<String> {
        if !self.line.starts_with("POST /hook/batch") {
            return vec![self.id().to_string()];
        }
        let text = String::from_utf8_lossy(&self.body).to_string();
        text.split("{\"id\":\"").skip(1).filter_map(|part| part.split('"').next().map(str::to_string)).collect()
    }
}

/// Reads one request; `None` at the end of the connection.
pub fn read_request(reader: &mut impl BufRead) -> Option<Request> {
    let mut request = Request::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if request.line.is_empty() {
            request.line = line.to_string();
        } else if line.is_empty() {
            break;
        } else if let Some((name, value)) = line.split_once(':') {
            request.fields.insert(name.to_ascii_lowercase(), value.trim().to_string());
        }
    }
    let length = request.fields.get("content-length").and_then(|n| n.parse().ok()).unwrap_or(0);
    request.body = vec![0; length];
    reader.read_exact(&mut request.body).ok()?;
    Some(request)
}

/// An endpoint: `serve` handles each connection in a thread of its own.
pub fn endpoint(serve: impl Fn(u64, TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("an endpoint's port");
    let address = listener.local_addr().unwrap();
    let (serve, count) = (Arc::new(serve), AtomicU64::new(0));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            let (serve, number) = (serve.clone(), count.fetch_add(1, Ordering::Relaxed));
            thread::spawn(move || serve(number, stream));
        }
    });
    address
}

pub const OK_ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

/// Ends a connection's both sides.
pub fn end(stream: &TcpStream) {
    let _ = stream.shutdown(Shutdown::Both);
}

/// A flag for threads to end by.
#[derive(Clone, Default)]
pub struct Flag(Arc<AtomicBool>);

impl Flag {
    pub fn set(&self) {
        self.0.store(true, Ordering::SeqCst);
    }

    pub fn is_set(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }
}
