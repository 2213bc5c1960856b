//! A connection that must be read from: one that takes too little for too long is an error, and so closed.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{sleep, Sleep};

/// For so long a connection with something to take may take less than `ENOUGH`.
pub const STALL: Duration = Duration::from_secs(10);
const ENOUGH: usize = 64 * 1024;

pub struct Paced<S> {
    inner: S,
    /// Runs while something waits to be taken.
    stalls: Option<Pin<Box<Sleep>>>,
    taken: usize,
}

impl<S> Paced<S> {
    pub fn new(inner: S) -> Paced<S> {
        Paced { inner, stalls: None, taken: 0 }
    }

    fn judge(
        &mut self,
        cx: &mut Context<'_>,
        wrote: Poll<io::Result<usize>>,
        wanted: usize,
    ) -> Poll<io::Result<usize>> {
        match wrote {
            Poll::Ready(Ok(count)) => {
                self.taken += count;
                if count == wanted || self.taken >= ENOUGH {
                    (self.stalls, self.taken) = (None, 0);
                }
                Poll::Ready(Ok(count))
            }
            Poll::Ready(Err(e)) => Poll::Ready(Err(e)),
            Poll::Pending => {
                let stalls = self.stalls.get_or_insert_with(|| Box::pin(sleep(STALL)));
                match stalls.as_mut().poll(cx) {
                    Poll::Ready(()) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
                    Poll::Pending => Poll::Pending,
                }
            }
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Paced<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(cx, buffer)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Paced<S> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let wrote = Pin::new(&mut self.inner).poll_write(cx, bytes);
        self.judge(cx, wrote, bytes.len())
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        pieces: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let wrote = Pin::new(&mut self.inner).poll_write_vectored(cx, pieces);
        self.judge(cx, wrote, pieces.iter().map(|piece| piece.len()).sum())
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
