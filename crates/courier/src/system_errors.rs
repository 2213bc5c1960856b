//! Errors of system calls that say nothing of the peer: the same call may succeed a moment later.

use std::io::{self, ErrorKind};
use std::time::Duration;

use bytes::BytesMut;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::time::sleep;

/// Pause before a call that failed for want of memory or the like is made again.
pub const RETRY_PAUSE: Duration = Duration::from_millis(2);
/// Errors for exhausted memory, descriptors, ports, buffers or watched descriptors on this side: ENOMEM, ENFILE, EMFILE,
/// ENOSPC, EADDRNOTAVAIL and ENOBUFS.
const SHORTAGES: [i32; 6] = [12, 23, 24, 28, 99, 105];

/// Whether a connection could not be opened for a cause on this side.
pub fn is_local(error: &io::Error) -> bool {
    let is_shortage = error.raw_os_error().is_some_and(|e| SHORTAGES.contains(&e));
    is_shortage || matches!(error.kind(), ErrorKind::Interrupted | ErrorKind::WouldBlock)
}

/// Whether a read or write on an open connection may be made again: it was interrupted, or memory was short.
pub fn is_momentary(error: &io::Error) -> bool {
    let is_shortage = error.raw_os_error().is_some_and(|e| SHORTAGES.contains(&e));
    is_shortage || error.kind() == ErrorKind::Interrupted
}

/// Reads what has come into a buffer; 0 at the end of the connection. Nothing is lost if the future is dropped.
///
/// # Errors
/// Those that say something of the peer or the connection.
pub async fn read_buf<S: AsyncRead + Unpin>(stream: &mut S, buffer: &mut BytesMut) -> io::Result<usize> {
    loop {
        match stream.read_buf(buffer).await {
            Err(e) if is_momentary(&e) => sleep(RETRY_PAUSE).await,
            read => return read,
        }
    }
}

/// Writes some of the bytes, and returns how many.
///
/// # Errors
/// Those that say something of the peer or the connection.
pub async fn write<S: AsyncWrite + Unpin>(stream: &mut S, bytes: &[u8]) -> io::Result<usize> {
    loop {
        match stream.write(bytes).await {
            Err(e) if is_momentary(&e) => sleep(RETRY_PAUSE).await,
            written => return written,
        }
    }
}
