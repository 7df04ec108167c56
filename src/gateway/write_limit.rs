//! Limits on the time for which a caller may read nothing, and for which it may send a head.
//!
//! TCP's own limit on unacknowledged data also ends connections whose other end is alive and only
//! reads slowly, so connections to callers don't set it.

use super::callers::Connection;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep};

/// Longest time for which nothing of a response can be written: the longest deadline of callers.
const MAX_BLOCKED_TIME: Duration = Duration::from_secs(15);

/// Longest time for which the rest of a refused request is discarded.
const MAX_DISCARD_TIME: Duration = Duration::from_secs(1);
const DISCARD_BUFFER_BYTES: usize = 4 << 10;

/// A connection to a caller.
pub struct Stream {
    socket: TcpStream,
    /// Runs while a write is blocked.
    limit: Option<Pin<Box<Sleep>>>,
    connection: Rc<Connection>,
    max_head_time: Option<Duration>,
    /// Runs while a head is incomplete.
    head_limit: Option<Pin<Box<Sleep>>>,
    /// Number of bytes that are still read and discarded.
    discarding: usize,
    discard_limit: Option<Pin<Box<Sleep>>>,
}

impl Stream {
    pub fn new(
        socket: TcpStream,
        connection: Rc<Connection>,
        max_head_time: Option<Duration>,
    ) -> Self {
        Self {
            socket,
            limit: None,
            connection,
            max_head_time,
            head_limit: None,
            discarding: 0,
            discard_limit: None,
        }
    }

    /// Applies the limit on the time of a head.
    fn check_head(&mut self, context: &mut Context<'_>) -> io::Result<()> {
        let Some(max_time) = self.max_head_time.filter(|_| self.connection.awaits_head()) else {
            self.head_limit = None;
            return Ok(());
        };
        let limit = self
            .head_limit
            .get_or_insert_with(|| Box::pin(sleep(max_time)));
        if limit.as_mut().poll(context).is_ready() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        Ok(())
    }

    /// Reads and discards what a caller still sends of a refused request.
    fn discard(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.discarding += self.connection.take_discarded();
        if self.discarding == 0 {
            return Poll::Ready(Ok(()));
        }
        let limit = self
            .discard_limit
            .get_or_insert_with(|| Box::pin(sleep(MAX_DISCARD_TIME)));
        if limit.as_mut().poll(context).is_ready() {
            return Poll::Ready(Ok(()));
        }
        let mut space = [0; DISCARD_BUFFER_BYTES];
        while self.discarding > 0 {
            let mut buffer = ReadBuf::new(&mut space);
            std::task::ready!(Pin::new(&mut self.socket).poll_read(context, &mut buffer))?;
            let count = buffer.filled().len();
            if count == 0 {
                break;
            }
            self.discarding = self.discarding.saturating_sub(count);
        }
        Poll::Ready(Ok(()))
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
        let previous_len = buffer.filled().len();
        let read = Pin::new(&mut self.socket).poll_read(context, buffer);
        if buffer.filled().len() > previous_len {
            self.connection.on_bytes();
        }
        self.check_head(context)?;
        read
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.socket).poll_write(context, bytes);
        self.watch(written, context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        pieces: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.socket).poll_write_vectored(context, pieces);
        self.watch(written, context)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        std::task::ready!(Pin::new(&mut self.socket).poll_flush(context))?;
        self.connection.on_flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        std::task::ready!(Pin::new(&mut self.socket).poll_shutdown(context))?;
        self.discard(context)
    }
}
