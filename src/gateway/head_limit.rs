//! Limits how many bytes a server may send before its response head is complete.
//!
//! The HTTP client limits the size of one head, but accepts any number of interim responses, and
//! a server that sends garbage keeps the reader busy all the while.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Largest head, including interim responses. Part of the body may arrive in the same read, so
/// the limit is far above the heads of healthy servers.
const MAX_HEAD_BYTES: usize = 256 << 10;

/// Number of bytes received since a request was sent; none while no head is awaited.
#[derive(Debug, Clone, Default)]
pub struct HeadLimit(Rc<Cell<Option<usize>>>);

impl HeadLimit {
    /// Starts counting, before a request is sent.
    pub fn start(&self) {
        self.0.set(Some(0));
    }

    /// Stops counting, once the head is complete.
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
            let text = format!("response head is longer than {MAX_HEAD_BYTES} bytes");
            return Err(io::Error::new(io::ErrorKind::InvalidData, text));
        }
        Ok(())
    }
}

/// A connection whose reads are counted.
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
