//! Bounds what a server may send before the head of its answer is whole.
//!
//! The client library bounds a head that it reads, but goes on without end over interim answers; and a
//! server that sends noise keeps its reader busy all the while.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Longest head, interim answers included. Part of the body may come in the same read, so it is far
/// above the heads of sound servers.
const MAX_HEAD_BYTES: usize = 256 << 10;

/// Bytes that came since a head was awaited; none while no head is.
#[derive(Debug, Clone, Default)]
pub struct HeadLimit(Rc<Cell<Option<usize>>>);

impl HeadLimit {
    /// Notes that a request is about to be sent.
    pub fn start(&self) {
        self.0.set(Some(0));
    }

    /// Notes that the head of its answer is whole.
    pub fn finish(&self) {
        self.0.set(None);
    }

    fn on_bytes(&self, count: usize) -> io::Result<()> {
        let Some(previous_len) = self.0.get() else {
            return Ok(());
        };
        let sum = previous_len + count;
        self.0.set(Some(sum));
        if sum > MAX_HEAD_BYTES {
            let text = format!("no whole head within {MAX_HEAD_BYTES} bytes");
            return Err(io::Error::new(io::ErrorKind::InvalidData, text));
        }
        Ok(())
    }
}

/// A connection that is read through a gauge.
#[derive(Debug)]
pub struct LimitedStream {
    pub stream: TcpStream,
    pub head_limit: HeadLimit,
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let previous_len = buffer.filled().len();
        std::task::ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        Poll::Ready(
            self.head_limit
                .on_bytes(buffer.filled().len() - previous_len),
        )
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        pieces: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, pieces)
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
