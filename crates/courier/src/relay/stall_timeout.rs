//! A connection that fails with a time-out, and so is closed, if the peer reads too little for too long.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{sleep, Sleep};

/// A connection with pending data fails if the peer takes less than `MIN_PROGRESS_BYTES` in this time.
pub const STALL_TIMEOUT: Duration = Duration::from_secs(10);
const MIN_PROGRESS_BYTES: usize = 64 * 1024;

pub struct StallTimeout<S> {
    inner: S,
    /// Set while data is pending.
    deadline: Option<Pin<Box<Sleep>>>,
    written: usize,
}

impl<S> StallTimeout<S> {
    pub fn new(inner: S) -> StallTimeout<S> {
        StallTimeout { inner, deadline: None, written: 0 }
    }

    fn check_progress(
        &mut self,
        cx: &mut Context<'_>,
        result: Poll<io::Result<usize>>,
        offered: usize,
    ) -> Poll<io::Result<usize>> {
        match result {
            Poll::Ready(Ok(count)) => {
                self.written += count;
                if count == offered || self.written >= MIN_PROGRESS_BYTES {
                    (self.deadline, self.written) = (None, 0);
                }
                Poll::Ready(Ok(count))
            }
            Poll::Ready(Err(e)) => Poll::Ready(Err(e)),
            Poll::Pending => {
                let deadline = self.deadline.get_or_insert_with(|| Box::pin(sleep(STALL_TIMEOUT)));
                match deadline.as_mut().poll(cx) {
                    Poll::Ready(()) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
                    Poll::Pending => Poll::Pending,
                }
            }
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for StallTimeout<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(cx, buffer)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for StallTimeout<S> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.inner).poll_write(cx, bytes);
        self.check_progress(cx, result, bytes.len())
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        pieces: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.inner).poll_write_vectored(cx, pieces);
        self.check_progress(cx, result, pieces.iter().map(|piece| piece.len()).sum())
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
