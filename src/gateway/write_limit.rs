//! Limit on the time for which a caller may read nothing.
//!
//! TCP's own limit on unacknowledged data also ends connections whose other end is alive and only
//! reads slowly, so connections to callers don't set it.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep};

/// Longest time for which nothing of a response can be written: the longest deadline of callers.
const MAX_BLOCKED_TIME: Duration = Duration::from_secs(15);

/// A connection to a caller.
pub struct Stream {
    stream: TcpStream,
    /// Runs while a write is blocked.
    limit: Option<Pin<Box<Sleep>>>,
}

impl Stream {
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            limit: None,
        }
    }

    /// Applies the limit to the result of a write.
    fn watch<T>(
        &mut self,
        written: Poll<io::Result<T>>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<T>> {
        if written.is_ready() {
            self.limit = None;
            return written;
        }
        let limit = self
            .limit
            .get_or_insert_with(|| Box::pin(sleep(MAX_BLOCKED_TIME)));
        std::task::ready!(limit.as_mut().poll(context));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.watch(written, context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        pieces: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, pieces);
        self.watch(written, context)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
