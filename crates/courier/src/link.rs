//! One HTTP connection to an endpoint: the I/O under the codec, for calls.

use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{timeout_at, Instant};

use crate::http::{self, Body, Head, Piece};

/// What has begun of an answer's head is followed by the rest within this time.
const HEAD_TIMEOUT: Duration = Duration::from_millis(300);

/// And a head by its body.
const BODY_TIMEOUT: Duration = Duration::from_secs(1);

pub struct HttpConnection {
    stream: TcpStream,
    buffer: BytesMut,
}

fn invalid_data(malformed: http::Malformed) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, malformed.0)
}

/// Whether a byte waits to be read (1), or the other side has ended (0). Guards against what the runtime has not
/// heard of yet: its own reads ask the system only once it has.
pub fn peek(stream: &TcpStream) -> io::Result<usize> {
    SockRef::from(stream).peek(&mut [MaybeUninit::uninit(); 1])
}

impl HttpConnection {
    pub async fn open(address: SocketAddr) -> io::Result<HttpConnection> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        Ok(HttpConnection { stream, buffer: BytesMut::new() })
    }

    /// Whether an idle connection can carry a request: still open, and nothing unasked has come on it.
    pub fn usable(&self) -> bool {
        self.buffer.is_empty() && peek(&self.stream).is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Whether what has come of an answer is a first line that says 200, though no head can be read.
    pub fn has_ok_status_line(&self) -> bool {
        http::has_ok_status_line(&self.buffer)
    }

    pub async fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    async fn fill(&mut self) -> io::Result<usize> {
        self.buffer.reserve(2048);
        self.stream.read_buf(&mut self.buffer).await
    }

    /// The first part of an answer. Interim ones are passed over, however long the real one takes.
    pub async fn read_head(&mut self) -> io::Result<Head> {
        let mut deadline = None;
        loop {
            if let Some(head) = http::read_head(&mut self.buffer).map_err(invalid_data)? {
                return Ok(head);
            }
            // Guards against a head that has begun and never ends, which would hold a slot for nothing.
            deadline =
                if self.buffer.is_empty() { None } else { deadline.or(Some(Instant::now() + HEAD_TIMEOUT)) };
            let read = match deadline {
                None => self.fill().await?,
                Some(deadline) => {
                    let read = timeout_at(deadline, self.fill()).await;
                    read.map_err(|_| invalid_data(http::Malformed("an answer's head does not end")))??
                }
            };
            if read == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Some more of a body; `None` at its end.
    pub async fn next_piece(&mut self, body: &mut Body) -> io::Result<Option<Bytes>> {
        loop {
            match body.next(&mut self.buffer).map_err(invalid_data)? {
                Piece::Bytes(bytes) => return Ok(Some(bytes)),
                Piece::Ended => return Ok(None),
                Piece::More => {}
            }
            if self.fill().await? == 0 {
                let complete = *body == Body::UntilClose;
                return if complete { Ok(None) } else { Err(io::ErrorKind::UnexpectedEof.into()) };
            }
        }
    }

    /// The body that follows a head that has come.
    pub async fn read_body(&mut self, body: Body, max_size: usize) -> io::Result<BytesMut> {
        timeout_at(Instant::now() + BODY_TIMEOUT, self.collect_body(body, max_size)).await?
    }

    /// All of a body, which may be no longer than `max_size`.
    async fn collect_body(&mut self, mut body: Body, max_size: usize) -> io::Result<BytesMut> {
        let mut collected = BytesMut::new();
        if matches!(body, Body::Length(length) if length > max_size as u64) {
            return Err(io::Error::new(io::ErrorKind::InvalidData, "a body claims to be too long"));
        }
        while let Some(bytes) = self.next_piece(&mut body).await? {
            if collected.len() + bytes.len() > max_size {
                return Err(io::Error::new(io::ErrorKind::InvalidData, "a body is too long"));
            }
            collected.extend_from_slice(&bytes);
        }
        Ok(collected)
    }
}
