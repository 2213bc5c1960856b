//! An HTTP connection to an endpoint: the I/O for calls; the codec is in `http`.

use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{BufMut, Bytes, BytesMut};
use socket2::SockRef;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::task::yield_now;
use tokio::time::{sleep, timeout_at, Instant};

use crate::http::{self, Body, Head, Piece};
use crate::system_errors::{is_momentary, RETRY_PAUSE};

/// Time for the rest of an answer's head after its first byte.
const HEAD_TIMEOUT: Duration = Duration::from_millis(300);

/// The most bytes of one read.
const READ_SIZE: usize = 2048;

/// After so many reads other tasks run, although more bytes may be waiting.
const READS_BETWEEN_YIELDS: usize = 16;

/// The most bytes of an answer's head together with the interim answers before it.
const MAX_HEADS: usize = 64 << 10;

/// An answer's body may take so many times its largest size on the connection: chunk sizes and trailer fields add to it.
const MAX_BODY_OVERHEAD: usize = 2;

/// Time for a body after its head.
pub const BODY_TIMEOUT: Duration = Duration::from_secs(1);

/// The state of a connection on which no call is out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rest {
    /// It is open and no byte has come.
    Quiet,
    Bytes,
    /// The endpoint has closed its side, or the connection is broken.
    Ended,
}

/// Why a request was not written. Its last byte has not left, so it cannot have run.
#[derive(Debug)]
pub enum SendError {
    /// Bytes came that belong to no call.
    EarlyBytes,
    Broken(io::Error),
}

impl From<io::Error> for SendError {
    fn from(error: io::Error) -> SendError {
        SendError::Broken(error)
    }
}

pub struct HttpConnection {
    stream: Rc<TcpStream>,
    buffer: BytesMut,
    reads_since_yield: usize,
}

/// How many more bytes are read of a part of an answer.
struct ReadBudget {
    left: usize,
}

impl ReadBudget {
    fn new(bytes: usize) -> ReadBudget {
        ReadBudget { left: bytes }
    }

    /// Takes the bytes of a read from the budget.
    fn spend(&mut self, bytes: usize) -> io::Result<()> {
        self.left = self
            .left
            .checked_sub(bytes)
            .ok_or_else(|| invalid_data(http::Malformed("the answer takes more bytes than an answer may")))?;
        Ok(())
    }
}

fn invalid_data(malformed: http::Malformed) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, malformed.0)
}

/// Peeks at the socket: 1 if a byte is waiting, 0 if the peer has closed its side. Asks the operating system
/// directly, since the runtime may not have seen the socket's readiness yet.
pub fn peek(stream: &TcpStream) -> io::Result<usize> {
    loop {
        match SockRef::from(stream).peek(&mut [MaybeUninit::uninit(); 1]) {
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            peeked => return peeked,
        }
    }
}

/// Waits until bytes have come on a socket, or it has ended.
pub async fn wait_for_bytes(stream: &TcpStream) {
    loop {
        if stream.readable().await.is_err() {
            return;
        }
        let peeked = stream.try_io(Interest::READABLE, || peek(stream));
        if !peeked.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock) {
            return;
        }
    }
}

impl HttpConnection {
    pub async fn open(address: SocketAddr) -> io::Result<HttpConnection> {
        let stream = TcpStream::connect(address).await?;
        if let Err(e) = stream.set_nodelay(true) {
            log::debug!("requests to {address} may be held back: {e}");
        }
        Ok(HttpConnection { stream: Rc::new(stream), buffer: BytesMut::new(), reads_since_yield: 0 })
    }

    /// The socket, for `wait_for_bytes` while the connection is idle.
    pub fn socket(&self) -> Rc<TcpStream> {
        self.stream.clone()
    }

    /// What has happened on the connection since its last answer was read.
    pub fn rest(&self) -> Rest {
        match peek(&self.stream) {
            _ if !self.buffer.is_empty() => Rest::Bytes,
            Ok(1..) => Rest::Bytes,
            Err(e) if e.kind() == io::ErrorKind::WouldBlock || is_momentary(&e) => Rest::Quiet,
            Ok(0) | Err(_) => Rest::Ended,
        }
    }

    /// Whether the received bytes begin with a status line that says 200, although the head cannot be parsed.
    pub fn has_ok_status_line(&self) -> bool {
        http::has_ok_status_line(&self.buffer)
    }

    /// Writes a request.
    ///
    /// # Errors
    /// `SendError::EarlyBytes` if bytes come before the last byte is written: they cannot answer this request.
    pub async fn send(&mut self, mut bytes: &[u8]) -> Result<(), SendError> {
        while !bytes.is_empty() {
            if self.rest() == Rest::Bytes {
                return Err(SendError::EarlyBytes);
            }
            // `try_write` gives up its readiness only when the system would block, not after a short write.
            match self.stream.try_write(bytes) {
                Ok(0) => return Err(SendError::Broken(io::ErrorKind::WriteZero.into())),
                Ok(written) => bytes = &bytes[written..],
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => self.stream.writable().await?,
                Err(e) if is_momentary(&e) => sleep(RETRY_PAUSE).await,
                Err(e) => return Err(SendError::Broken(e)),
            }
        }
        Ok(())
    }

    /// Reads what has come; 0 at the end of the connection. As with `try_write`, a short read leaves the socket ready. Other
    /// tasks run from time to time, and so do the timers of the caller, however fast the endpoint sends.
    async fn fill(&mut self, budget: &mut ReadBudget) -> io::Result<usize> {
        if self.reads_since_yield >= READS_BETWEEN_YIELDS {
            self.reads_since_yield = 0;
            yield_now().await;
        }
        self.reads_since_yield += 1;
        loop {
            match self.stream.try_read_buf(&mut (&mut self.buffer).limit(READ_SIZE)) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => self.stream.readable().await?,
                Err(e) if is_momentary(&e) => sleep(RETRY_PAUSE).await,
                Err(e) => return Err(e),
                Ok(read) => {
                    budget.spend(read)?;
                    return Ok(read);
                }
            }
        }
    }

    /// Reads the head of an answer and skips interim (1xx) answers. There is no limit on the time until its
    /// first byte.
    pub async fn read_head(&mut self) -> io::Result<Head> {
        let (mut deadline, mut budget) = (None, ReadBudget::new(MAX_HEADS));
        loop {
            if let Some(head) = http::read_head(&mut self.buffer).map_err(invalid_data)? {
                return Ok(head);
            }
            // A head that never ends would hold a slot for nothing.
            deadline =
                if self.buffer.is_empty() { None } else { deadline.or(Some(Instant::now() + HEAD_TIMEOUT)) };
            let read = match deadline {
                None => self.fill(&mut budget).await?,
                Some(deadline) => {
                    let read = timeout_at(deadline, self.fill(&mut budget)).await;
                    read.map_err(|_| invalid_data(http::Malformed("answer head not completed in time")))??
                }
            };
            if read == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// The next bytes of a body; `None` at its end.
    async fn next_piece(&mut self, body: &mut Body, budget: &mut ReadBudget) -> io::Result<Option<Bytes>> {
        loop {
            match body.next(&mut self.buffer).map_err(invalid_data)? {
                Piece::Bytes(bytes) => return Ok(Some(bytes)),
                Piece::Ended => return Ok(None),
                Piece::More => {}
            }
            if self.fill(budget).await? == 0 {
                let complete = *body == Body::UntilClose;
                return if complete { Ok(None) } else { Err(io::ErrorKind::UnexpectedEof.into()) };
            }
        }
    }

    /// Reads the body that follows a head, of at most `max_size` bytes, within `BODY_TIMEOUT`. It is kept only here: the caller
    /// has taken the memory for it.
    pub async fn read_body(&mut self, body: Body, max_size: usize) -> io::Result<BytesMut> {
        let mut collected = BytesMut::new();
        let take = |bytes: &[u8]| collected.extend_from_slice(bytes);
        timeout_at(Instant::now() + BODY_TIMEOUT, self.read_pieces(body, max_size, take)).await??;
        Ok(collected)
    }

    /// Reads the body that follows a head as `read_body` does, and keeps nothing of it.
    pub async fn skip_body(&mut self, body: Body, max_size: usize) -> io::Result<()> {
        timeout_at(Instant::now() + BODY_TIMEOUT, self.read_pieces(body, max_size, |_| {})).await?
    }

    /// Reads a body of at most `max_size` bytes piece by piece.
    async fn read_pieces(
        &mut self,
        mut body: Body,
        max_size: usize,
        mut take: impl FnMut(&[u8]),
    ) -> io::Result<()> {
        let (mut size, mut budget) = (0, ReadBudget::new(MAX_BODY_OVERHEAD * max_size));
        if matches!(body, Body::Length(length) if length > max_size as u64) {
            return Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "declared length of the answer body exceeds the limit",
            ));
        }
        while let Some(bytes) = self.next_piece(&mut body, &mut budget).await? {
            size += bytes.len();
            if size > max_size {
                return Err(io::Error::new(io::ErrorKind::InvalidData, "answer body exceeds the limit"));
            }
            take(&bytes);
        }
        Ok(())
    }
}
