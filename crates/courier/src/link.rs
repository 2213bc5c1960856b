//! One HTTP connection to somewhere: the I/O under the codec, for calls, notices and discovery.

use std::io;
use std::net::SocketAddr;

use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::http::{self, Body, Head, Piece};

pub struct Link {
    stream: TcpStream,
    buffer: BytesMut,
}

fn bad(malformed: http::Malformed) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, malformed.0)
}

impl Link {
    pub async fn open(address: SocketAddr) -> io::Result<Link> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        Ok(Link { stream, buffer: BytesMut::new() })
    }

    /// Whether an idle connection can carry a request: still open, and nothing unasked has come on it.
    pub fn usable(&self) -> bool {
        let nothing = self.stream.try_read(&mut [0; 1]);
        self.buffer.is_empty() && nothing.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
    }

    pub async fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    async fn more(&mut self) -> io::Result<usize> {
        self.buffer.reserve(2048);
        self.stream.read_buf(&mut self.buffer).await
    }

    pub async fn head(&mut self) -> io::Result<Head> {
        loop {
            if let Some(head) = http::head(&mut self.buffer).map_err(bad)? {
                return Ok(head);
            }
            if self.more().await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Some more of a body; `None` at its end.
    pub async fn piece(&mut self, body: &mut Body) -> io::Result<Option<Bytes>> {
        loop {
            match body.next(&mut self.buffer).map_err(bad)? {
                Piece::Bytes(bytes) => return Ok(Some(bytes)),
                Piece::Ended => return Ok(None),
                Piece::More => {}
            }
            if self.more().await? == 0 {
                let whole = *body == Body::UntilEnd;
                return if whole { Ok(None) } else { Err(io::ErrorKind::UnexpectedEof.into()) };
            }
        }
    }

    /// All of a body, which may be no longer than `most`.
    pub async fn whole(&mut self, mut body: Body, most: usize) -> io::Result<BytesMut> {
        let mut whole = BytesMut::new();
        while let Some(bytes) = self.piece(&mut body).await? {
            if whole.len() + bytes.len() > most {
                return Err(io::Error::new(io::ErrorKind::InvalidData, "a body is too long"));
            }
            whole.extend_from_slice(&bytes);
        }
        Ok(whole)
    }
}
