//! Clients that hold a courier's places, memory and time, and never hand in a message: each does the same again and again, on
//! a new connection, until its task is aborted.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::client::request;

/// Bounds connection attempts: over a silent link they would otherwise never end.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const RECONNECT_PAUSE: Duration = Duration::from_millis(20);
const DRIP_PAUSE: Duration = Duration::from_millis(100);
const LARGE_BODY: usize = 60_000;
const MANY_FIELDS: usize = 5600;
/// Requests that a client sends before it reads their answers.
const REQUESTS_AT_ONCE: u64 = 20;

/// What the clients of a crowd do.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Habit {
    /// They stop within a large request, and stay.
    #[default]
    StopsWithin,
    /// A byte from time to time, from the start of a request on.
    Drips,
    /// The same behind half of a large request.
    DripsBehindHalf,
    /// Requests of an unknown class with very many fields, at full speed.
    ManyFields,
    /// Requests under ever new class, tenant, key and id names, at full speed.
    NewNames,
    /// Many requests at once, and a close before any answer is read.
    Leaves,
}

impl Habit {
    pub const ALL: [Habit; 6] = [
        Habit::StopsWithin,
        Habit::Drips,
        Habit::DripsBehindHalf,
        Habit::ManyFields,
        Habit::NewNames,
        Habit::Leaves,
    ];

    /// Whether a few clients are enough.
    pub fn is_at_full_speed(self) -> bool {
        matches!(self, Habit::ManyFields | Habit::NewNames)
    }
}

fn large_request() -> Vec<u8> {
    request(&[b"MSG.PUT", b"0", b"crowd", b"c=none,d=1000,dest=0", &[b'x'; LARGE_BODY]])
}

/// A request of a class that no settings name.
fn unsound_request(number: u64, fields: &str) -> Vec<u8> {
    let pairs = format!("c=none{number:x},t=t{number:x},k=k{number:x},{fields}d=1000,dest=0");
    request(&[b"MSG.PUT", b"0", format!("crowd{number:x}").as_bytes(), pairs.as_bytes(), b"x"])
}

/// Visits a courier again and again.
pub async fn run(courier: SocketAddr, habit: Habit) {
    let mut number = 0;
    loop {
        if let Ok(Ok(stream)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(courier)).await {
            visit(stream, habit, &mut number).await;
        }
        sleep(RECONNECT_PAUSE).await;
    }
}

/// One connection, until the courier answers or closes it, or the client has left.
async fn visit(mut stream: TcpStream, habit: Habit, number: &mut u64) {
    let large = large_request();
    match habit {
        Habit::StopsWithin => send_until_answered(stream, &large[..large.len() - 100], &[]).await,
        Habit::Drips => send_until_answered(stream, &[], &large).await,
        Habit::DripsBehindHalf => {
            send_until_answered(stream, &large[..LARGE_BODY / 2], &large[LARGE_BODY / 2..]).await;
        }
        Habit::ManyFields => send_at_full_speed(stream, &"a=1,".repeat(MANY_FIELDS), number).await,
        Habit::NewNames => send_at_full_speed(stream, "", number).await,
        Habit::Leaves => {
            let requests =
                (0..REQUESTS_AT_ONCE).flat_map(|i| unsound_request(*number + i, "")).collect::<Vec<_>>();
            *number += REQUESTS_AT_ONCE;
            let _ = stream.write_all(&requests).await;
        }
    }
}

async fn send_until_answered(mut stream: TcpStream, at_once: &[u8], dripped: &[u8]) {
    let (mut unread, mut out) = stream.split();
    let send = async {
        let _ = out.write_all(at_once).await;
        for byte in dripped {
            sleep(DRIP_PAUSE).await;
            let _ = out.write_all(&[*byte]).await;
        }
        std::future::pending::<()>().await;
    };
    let mut answer = [0; 64];
    tokio::select! {
        _ = unread.read(&mut answer) => {}
        () = send => {}
    }
}

async fn send_at_full_speed(mut stream: TcpStream, fields: &str, number: &mut u64) {
    let mut answers = [0; 4096];
    loop {
        let requests: Vec<u8> =
            (0..REQUESTS_AT_ONCE).flat_map(|i| unsound_request(*number + i, fields)).collect();
        *number += REQUESTS_AT_ONCE;
        let (mut unread, mut out) = stream.split();
        let (sent, read) = tokio::join!(out.write_all(&requests), unread.read(&mut answers));
        if sent.is_err() || !matches!(read, Ok(1..)) {
            return;
        }
    }
}
