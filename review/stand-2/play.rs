//! What cases 9 and 10 share: the record, the courier's process, and plain stand-ins for clients, endpoints and the platform.

use std::collections::{BTreeMap, HashMap};
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Seconds since the start of the case.
pub type Seconds = f64;

/// How long a client waits for an answer.
pub const CLIENT_PATIENCE: Duration = Duration::from_millis(400);
/// A message is lost if it has no end this long after its time is up: 300 ms, and 50 ms for sockets.
const END_GRACE: Seconds = 0.35;
/// No notice is overdue until this long after the courier is ready again.
const READY_GRACE: Seconds = 1.5;

#[derive(Clone)]
pub struct Log(Arc<(Instant, Mutex<File>)>);

impl Log {
    pub fn now(&self) -> Seconds {
        self.0 .0.elapsed().as_secs_f64()
    }

    pub fn say(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.now());
        print!("{line}");
        if let Ok(mut file) = self.0 .1.lock() {
            let _ = file.write_all(line.as_bytes());
        }
    }
}

/// A message that a client has handed in.
#[derive(Clone, Debug)]
pub struct Message {
    pub deadline: Seconds,
    pub answer: String,
    /// When a first line with 200 was written for it.
    pub delivered_at: Option<Seconds>,
    /// The first notice about it.
    pub notice: Option<(Seconds, String)>,
    /// How many calls of it an endpoint has carried out.
    pub runs: u32,
}

impl Message {
    pub fn is_taken(&self) -> bool {
        self.answer.starts_with('+')
    }
}

#[derive(Clone, Default)]
pub struct Messages(Arc<Mutex<BTreeMap<String, Message>>>);

impl Messages {
    pub fn with<T>(&self, f: impl FnOnce(&mut BTreeMap<String, Message>) -> T) -> T {
        f(&mut self.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner()))
    }

    /// Notes a message that is handed in now.
    pub fn hand_in(&self, id: &str, now: Seconds, lifetime_ms: u64) {
        let message = Message {
            deadline: now + lifetime_ms as f64 / 1000.0,
            answer: String::new(),
            delivered_at: None,
            notice: None,
            runs: 0,
        };
        self.with(|all| all.insert(id.to_string(), message));
    }

    pub fn change(&self, id: &str, f: impl FnOnce(&mut Message)) {
        self.with(|all| all.get_mut(id).map(f));
    }
}

pub struct Play {
    pub log: Log,
    pub messages: Messages,
    /// A temporary folder, removed at the end.
    pub temp: PathBuf,
    pub trouble: bool,
    couriers: Vec<Child>,
    /// When a courier was last ready.
    pub ready_at: Seconds,
}

impl Play {
    /// Reads what `run.sh` has set: the case's folder, a temporary one, and whether there is a disruption.
    pub fn new() -> io::Result<Play> {
        let folder = std::env::var("CASE_FOLDER").map_err(io::Error::other)?;
        let record = File::create(PathBuf::from(folder).join("record.txt"))?;
        let temp = std::env::temp_dir().join("case");
        fs::create_dir_all(&temp)?;
        let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        let log = Log(Arc::new((Instant::now(), Mutex::new(record))));
        log.say(if trouble { "with the disruption" } else { "without the disruption" });
        Ok(Play { log, messages: Messages::default(), temp, trouble, couriers: Vec::new(), ready_at: 0.0 })
    }

    pub fn pause(&self, seconds: Seconds) {
        thread::sleep(Duration::from_secs_f64(seconds.max(0.0)));
    }

    /// Sleeps until a time of the case.
    pub fn sleep_until(&self, at: Seconds) {
        self.pause(at - self.log.now());
    }

    /// Writes the courier's configuration.
    pub fn configure(&self, text: &str) -> Result<(), String> {
        let new = self.temp.join("config.new");
        let written = fs::write(&new, text).and_then(|()| fs::rename(new, self.temp.join("config.json")));
        written.map_err(|e| format!("the configuration cannot be written: {e}"))
    }

    /// Starts a courier with the command of the deploy file and waits until it is in use.
    pub fn start_courier(&mut self, listen: SocketAddr) -> Result<(), String> {
        let run = std::env::var("CASE_RUN").map_err(|e| format!("the deploy file's run: {e}"))?;
        let errors = File::options().create(true).append(true).open(self.temp.join("courier.log"));
        let errors = errors.map_err(|e| e.to_string())?;
        let child = Command::new("/bin/sh")
            .args(["-c", &run])
            .env("ROUTER_CONFIG", self.temp.join("config.json"))
            .env("ROUTER_STATE", self.temp.join("state"))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(errors)
            .spawn()
            .map_err(|e| format!("the courier cannot be started: {e}"))?;
        self.couriers.push(child);
        let until = Instant::now() + Duration::from_secs(30);
        while Instant::now() < until {
            if ping(listen) {
                self.ready_at = self.log.now();
                self.log.say("the courier is ready");
                return Ok(());
            }
            thread::sleep(Duration::from_millis(10));
        }
        Err("the courier is not ready within 30 s".to_string())
    }

    /// SIGKILL to the courier that was started last.
    pub fn kill_courier(&mut self) {
        if let Some(mut child) = self.couriers.pop() {
            let ended = child.try_wait().ok().flatten();
            let _ = child.kill();
            let _ = child.wait();
            match ended {
                Some(status) => self.log.say(&format!("the courier had ended by itself: {status}")),
                None => self.log.say("SIGKILL to the courier"),
            }
        }
    }

    /// What `owed` says of the folder.
    pub fn owed(&self) -> String {
        let output =
            Command::new("target/release/meadowhold").arg("owed").arg(self.temp.join("state")).output();
        output.map_or_else(|e| e.to_string(), |output| String::from_utf8_lossy(&output.stdout).to_string())
    }

    /// Ends all that was started and removes the temporary folder.
    pub fn end(&mut self) {
        for child in &mut self.couriers {
            let _ = child.kill();
            let _ = child.wait();
        }
        if let Ok(text) = fs::read_to_string(self.temp.join("courier.log")) {
            self.log.say("the courier's log:");
            text.lines().take(400).for_each(|line| self.log.say(&format!("  {line}")));
        }
        let _ = fs::remove_dir_all(&self.temp);
    }

    /// Hands a message in on a new connection, and notes the answer.
    pub fn put(
        &self,
        courier: SocketAddr,
        id: &str,
        destination: u64,
        class: &str,
        more: (&str, u64, &[u8]),
    ) {
        let (key, lifetime_ms, body) = more;
        let pairs = format!("c={class},d={lifetime_ms},dest={destination},k=k{id}");
        self.messages.hand_in(id, self.log.now(), lifetime_ms);
        let answer =
            request(courier, &["MSG.PUT", key, id, &pairs], body).unwrap_or_else(|e| format!("none: {e}"));
        self.log.say(&format!("message {id} for destination {destination}, {pairs}: {answer}"));
        self.messages.change(id, |message| message.answer = answer);
    }

    /// The messages that were taken on and have had no end in time.
    pub fn lost(&self) -> Vec<String> {
        let excuse = self.ready_at + READY_GRACE;
        self.messages.with(|all| {
            let is_lost = |message: &&Message| {
                let end =
                    message.notice.as_ref().map(|notice| notice.0).into_iter().chain(message.delivered_at);
                let end = end.fold(f64::INFINITY, f64::min);
                message.is_taken() && end > (message.deadline + END_GRACE).max(excuse)
            };
            let lost = all.iter().filter(|(_, message)| is_lost(message));
            lost.map(|(id, message)| format!("{id}: {message:?}")).collect()
        })
    }

    /// Says how the messages have ended.
    pub fn sum_up(&self) {
        let (mut taken, mut delivered, mut noticed) = (0, 0, 0);
        self.messages.with(|all| {
            for message in all.values().filter(|message| message.is_taken()) {
                taken += 1;
                delivered += u32::from(message.delivered_at.is_some());
                noticed += u32::from(message.notice.is_some());
            }
        });
        self.log.say(&format!("{taken} taken on, {delivered} delivered, notices about {noticed}"));
    }
}

/// A free loopback address.
pub fn free_address() -> Result<SocketAddr, String> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
    listener.local_addr().map_err(|e| e.to_string())
}

fn ping(courier: SocketAddr) -> bool {
    let asked = || -> io::Result<bool> {
        let mut stream = TcpStream::connect_timeout(&courier, Duration::from_millis(200))?;
        stream.set_read_timeout(Some(CLIENT_PATIENCE))?;
        stream.write_all(b"*1\r\n$4\r\nPING\r\n")?;
        let mut line = String::new();
        BufReader::new(stream).read_line(&mut line)?;
        Ok(line.starts_with("+PONG"))
    };
    asked().unwrap_or(false)
}

/// Sends a command and returns the first line of the answer.
fn request(courier: SocketAddr, words: &[&str], body: &[u8]) -> io::Result<String> {
    let mut out = format!("*{}\r\n", words.len() + 1).into_bytes();
    for word in words.iter().map(|word| word.as_bytes()).chain([body]) {
        out.extend_from_slice(format!("${}\r\n", word.len()).as_bytes());
        out.extend_from_slice(word);
        out.extend_from_slice(b"\r\n");
    }
    let mut stream = TcpStream::connect_timeout(&courier, CLIENT_PATIENCE)?;
    stream.set_nodelay(true)?;
    stream.write_all(&out)?;
    stream.set_read_timeout(Some(CLIENT_PATIENCE))?;
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line)?;
    if line.is_empty() {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end().to_string())
}

/// A request as an endpoint or the platform reads it.
pub struct HttpRequest {
    pub line: String,
    pub fields: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl HttpRequest {
    pub fn id(&self) -> String {
        self.fields.get("x-request-id").cloned().unwrap_or_default()
    }
}

/// Reads a request; `None` at the end of the connection.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> Option<HttpRequest> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut fields = HashMap::new();
    loop {
        let mut field = String::new();
        if reader.read_line(&mut field).ok()? == 0 {
            return None;
        }
        match field.trim_end().split_once(':') {
            Some((name, value)) => drop(fields.insert(name.to_ascii_lowercase(), value.trim().to_string())),
            None => break,
        }
    }
    let length = fields.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(HttpRequest { line: line.trim_end().to_string(), fields, body })
}

/// Listens on a loopback address and serves each connection in a thread of its own.
pub fn serve(serve_one: impl Fn(TcpStream) + Send + Sync + 'static) -> Result<SocketAddr, String> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
    let address = listener.local_addr().map_err(|e| e.to_string())?;
    let serve_one = Arc::new(serve_one);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            let serve_one = serve_one.clone();
            thread::spawn(move || serve_one(stream));
        }
    });
    Ok(address)
}

/// Serves the requests on a connection of an endpoint, one after the other, until `answer` says that it is over.
pub fn serve_requests(stream: TcpStream, mut answer: impl FnMut(&HttpRequest, &mut TcpStream) -> bool) {
    let Ok(mut out) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        if !answer(&request, &mut out) {
            return;
        }
    }
}

/// The platform: the agent with the list, and the notices.
#[derive(Clone)]
pub struct Platform {
    pub index: u64,
    /// The entries as JSON texts.
    pub entries: Vec<String>,
    /// How long discovery takes until an answer about the list begins.
    pub delay: Duration,
}

pub fn entry(name: &str, address: SocketAddr, group: u64) -> String {
    format!(
        "{{\"name\":\"{name}\",\"address\":\"{address}\",\"zone\":\"north-hall\",\"type\":\"partner\",\
         \"group\":{group},\"status\":\"SERVING\",\"weight\":1.0,\"since_ms\":0}}"
    )
}

impl Platform {
    pub fn list(&self) -> String {
        format!("{{\"index\":{},\"snapshot\":true,\"endpoints\":[{}]}}", self.index, self.entries.join(","))
    }

    /// Starts it. The list stays as it is.
    pub fn start(self, log: Log, messages: Messages) -> Result<SocketAddr, String> {
        serve(move |stream| {
            serve_requests(stream, |request, out| self.answer(request, out, &log, &messages).is_ok());
        })
    }

    fn answer(
        &self,
        request: &HttpRequest,
        out: &mut TcpStream,
        log: &Log,
        messages: &Messages,
    ) -> io::Result<()> {
        if request.line.starts_with("POST /v1/notices") {
            for line in String::from_utf8_lossy(&request.body).lines() {
                let word = |name: &str| {
                    let rest = line.split(&format!("\"{name}\":\"")).nth(1);
                    rest.and_then(|rest| rest.split('"').next()).unwrap_or_default().to_string()
                };
                log.say(&format!("notice {line}"));
                let at = log.now();
                messages.change(&word("ref"), |message| {
                    message.notice.get_or_insert((at, word("result")));
                });
            }
            return out.write_all(b"HTTP/1.1 204 No Content\r\n\r\n");
        }
        thread::sleep(self.delay);
        if !request.line.contains("watch=1") {
            let list = self.list();
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", list.len());
            return out.write_all(format!("{head}{list}").as_bytes());
        }
        out.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        let chunk = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
        let after = request.line.split("after=").nth(1).and_then(|rest| rest.split(['&', ' ']).next());
        if after.and_then(|text| text.parse().ok()) != Some(self.index) {
            out.write_all(chunk(&format!("{}\n", self.list())).as_bytes())?;
        }
        loop {
            out.write_all(chunk("\n").as_bytes())?;
            thread::sleep(Duration::from_secs(2));
        }
    }
}

/// Plays a case and ends the process: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
pub fn play_case(run: impl FnOnce(&mut Play) -> Result<bool, String>) -> ! {
    let Ok(mut play) = Play::new() else {
        eprintln!("no record can be written: start the case by its run.sh");
        std::process::exit(2);
    };
    let code = match run(&mut play) {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(problem) => {
            play.log.say(&format!("the case could not run: {problem}"));
            2
        }
    };
    play.end();
    play.log.say(match code {
        0 => "HELD",
        1 => "BROKEN",
        _ => "COULD NOT RUN",
    });
    std::process::exit(code);
}
