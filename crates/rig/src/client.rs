//! Mock clients: hand mails in over RESP2 and wait for each answer, as the protocol requires.

use std::collections::VecDeque;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use fastrand::Rng;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{sleep, sleep_until, timeout, Instant};

use crate::day;
use crate::record::{ClientAnswer, HandIn, Observation, Record};
use crate::schedule::{Class, Mail};

/// Bounds of the times that a client's habits take.
const LONGEST_PAUSE_MS: u64 = 40;
const LONGEST_PATIENCE_MS: u64 = 500;
/// How long a client waits for an answer before it closes its connection.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);
/// Delay before a retry after a `-BUSY` answer without a time, or after a failed connection attempt.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Bounds connection attempts: over a silent link they would otherwise never end.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Encodes a request as a RESP array of bulk strings.
pub fn request(words: &[&[u8]]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", words.len()).into_bytes();
    for word in words {
        out.extend(format!("${}\r\n", word.len()).as_bytes());
        out.extend(*word);
        out.extend(b"\r\n");
    }
    out
}

/// A client's connections to its courier: the one in use, and spare ones that are used in rotation.
pub struct Pool {
    courier: SocketAddr,
    spare: usize,
    idle: VecDeque<Connection>,
}

impl Pool {
    pub fn new(courier: SocketAddr, spare: usize) -> Pool {
        Pool { courier, spare, idle: VecDeque::new() }
    }

    /// Returns a pooled connection or opens a new one; `None` if the courier cannot be reached.
    async fn take(&mut self) -> Option<Connection> {
        // Drop connections that the courier closed between requests.
        self.idle.retain(is_idle);
        while self.idle.len() < self.spare {
            match self.connect().await {
                Some(connection) => self.idle.push_back(connection),
                None => break,
            }
        }
        match self.idle.pop_front() {
            Some(connection) => Some(connection),
            None => self.connect().await,
        }
    }

    async fn connect(&self) -> Option<Connection> {
        let connection = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.courier)).await.ok()?.ok()?;
        let _ = connection.set_nodelay(true);
        Some(BufReader::new(connection))
    }
}

/// Whether a connection is idle: no unread data and no end of stream.
fn is_idle(connection: &Connection) -> bool {
    let mut byte = [0];
    matches!(connection.get_ref().try_read(&mut byte), Err(e) if e.kind() == std::io::ErrorKind::WouldBlock)
}

/// How a client departs from sending each request once and waiting for the end.
pub struct Habits {
    withdrawn: f64,
    resent: f64,
    chance: Rng,
}

impl Habits {
    pub fn new(mails: &day::Mails, seed: u64) -> Habits {
        Habits { withdrawn: mails.withdrawn, resent: mails.resent, chance: Rng::with_seed(seed) }
    }

    fn breaks_off(&mut self) -> bool {
        self.chance.f64() < self.resent
    }

    fn withdraws(&mut self) -> bool {
        self.chance.f64() < self.withdrawn
    }

    /// Time between a request and the break of its connection.
    fn pause(&mut self) -> Duration {
        Duration::from_millis(self.chance.u64(0..LONGEST_PAUSE_MS))
    }

    /// Time between an answer and the withdrawal.
    fn patience(&mut self) -> Duration {
        Duration::from_millis(self.chance.u64(0..LONGEST_PATIENCE_MS))
    }
}

/// Sends a request and closes the connection without reading the answer.
async fn break_off(
    mut connection: Connection,
    hand: HandIn,
    mail: &Mail,
    (left, body): (Duration, &[u8]),
    pause: Duration,
) {
    let _ = connection.get_mut().write_all(&put_request(hand, mail, left, body)).await;
    sleep(pause).await;
}

async fn withdraw(record: Arc<Record>, hand: HandIn, patience: Duration) {
    sleep(patience).await;
    record.add(Observation::Withdrawn { hand });
}

/// Hands in a client's mails one after the other, each at its scheduled time or once the previous one has been
/// answered, whichever is later.
pub async fn hand_in(
    mut pool: Pool,
    mails: Vec<(u32, Mail)>,
    body: Vec<u8>,
    start: Instant,
    (record, mut habits): (Arc<Record>, Habits),
) {
    for (number, mail) in mails {
        let at = start + Duration::from_micros(mail.at);
        sleep_until(at).await;
        let end = at + Duration::from_millis(mail.time);
        let mut attempt = 0;
        loop {
            let now = Instant::now();
            if now >= end {
                record.add(Observation::NeverOffered { mail: number });
                break;
            }
            let Some(connection) = pool.take().await else {
                sleep(RETRY_DELAY).await;
                continue;
            };
            let hand = HandIn { mail: number, attempt };
            let mut connection = connection;
            if habits.breaks_off() {
                break_off(connection, hand, &mail, (end - now, &body), habits.pause()).await;
                record.add(Observation::BrokenOff { hand });
                let Some(another) = pool.connect().await else { break };
                connection = another;
            }
            let (answer, wait, reusable) = put(connection, hand, &mail, end - now, &body).await;
            pool.idle.extend(reusable);
            record.add(Observation::Answered { hand, courier: mail.courier, answer });
            attempt += 1;
            if answer == ClientAnswer::Taken && habits.withdraws() {
                tokio::spawn(withdraw(record.clone(), hand, habits.patience()));
            }
            match answer {
                // A hand-in without an answer does not count as taken and is not repeated: a retry would have an id of
                // its own, and whether the first hand-in took effect is judged by the first id.
                ClientAnswer::Taken | ClientAnswer::Failed | ClientAnswer::None | ClientAnswer::Closed => {
                    break
                }
                ClientAnswer::Busy => sleep(wait.unwrap_or(RETRY_DELAY)).await,
            }
        }
    }
}

type Connection = BufReader<TcpStream>;

fn put_request(hand: HandIn, mail: &Mail, left: Duration, body: &[u8]) -> Vec<u8> {
    let key = if mail.class == Class::Tagged { format!("k={:016x},", hand.mail + 1) } else { String::new() };
    let (class, time, destination) = (mail.class.name(), left.as_millis(), mail.destination);
    let pairs = format!("c={class},t=acme,d={time},{key}dest={destination}");
    let (item, id) = (format!("{:016x}", mail.key), hand.id());
    request(&[b"MSG.PUT", item.as_bytes(), id.as_bytes(), pairs.as_bytes(), body])
}

async fn put(
    mut connection: Connection,
    hand: HandIn,
    mail: &Mail,
    left: Duration,
    body: &[u8],
) -> (ClientAnswer, Option<Duration>, Option<Connection>) {
    let words = put_request(hand, mail, left, body);
    let mut line = String::new();
    let exchange = async {
        if connection.get_mut().write_all(&words).await.is_err() {
            return ClientAnswer::None;
        }
        match connection.read_line(&mut line).await {
            Ok(1..) if line.ends_with("\r\n") => ClientAnswer::Taken,
            _ => ClientAnswer::Closed,
        }
    };
    match timeout(ANSWER_TIMEOUT, exchange).await {
        Ok(ClientAnswer::Taken) => {}
        Ok(answer) => return (answer, None, None),
        Err(_) => return (ClientAnswer::None, None, None),
    }
    let line = line.trim_end();
    let answer = match line {
        _ if line.starts_with('+') => ClientAnswer::Taken,
        _ if line == "-BUSY" || line.starts_with("-BUSY ") => ClientAnswer::Busy,
        _ => ClientAnswer::Failed,
    };
    let wait = line.strip_prefix("-BUSY ").and_then(|ms| ms.parse().ok()).map(Duration::from_millis);
    (answer, wait, Some(connection))
}

/// Makes one call to an endpoint from a courier's address, in the form that a courier uses.
///
/// # Errors
/// If the endpoint cannot be reached.
pub async fn call(from: IpAddr, to: SocketAddr, hand: HandIn) -> std::io::Result<()> {
    let socket = TcpSocket::new_v4()?;
    socket.bind((from, 0).into())?;
    let mut connection = socket.connect(to).await?;
    let id = hand.id();
    let head = format!("POST /hook HTTP/1.1\r\nHost: x\r\nX-Request-Id: {id}\r\nContent-Length: 0\r\n\r\n");
    connection.write_all(head.as_bytes()).await?;
    let mut answer = [0; 256];
    connection.read(&mut answer).await.map(drop)
}

/// Connects without sending a request, waits until the connection is closed, and connects again. Runs until its task
/// is aborted.
pub async fn stay_idle(courier: SocketAddr) {
    loop {
        if let Ok(Ok(mut connection)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(courier)).await {
            let mut nothing = [0; 16];
            let _ = connection.read(&mut nothing).await;
        }
        sleep(RETRY_DELAY).await;
    }
}

/// Whether a courier answers a single `PING`.
pub async fn is_ready(courier: SocketAddr) -> bool {
    let exchange = async {
        let mut connection = BufReader::new(TcpStream::connect(courier).await?);
        connection.get_mut().write_all(&request(&[b"PING"])).await?;
        let mut line = String::new();
        connection.read_line(&mut line).await?;
        Ok::<_, std::io::Error>(line == "+PONG\r\n")
    };
    matches!(timeout(CONNECT_TIMEOUT, exchange).await, Ok(Ok(true)))
}
