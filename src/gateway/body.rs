//! Response bodies for callers.

use super::buffer::Lease;
use super::relay::Relay;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Frame, SizeHint};
use std::pin::Pin;
use std::task::{Context, Poll};

/// A body that is in memory in full, or one that is streamed.
pub enum Body {
    Complete {
        content: Full<Bytes>,
        /// Memory that is given back when the body has been sent.
        _lease: Option<Lease>,
    },
    Relay(Box<Relay>),
}

impl From<Bytes> for Body {
    fn from(bytes: Bytes) -> Self {
        Self::Complete {
            content: Full::new(bytes),
            _lease: None,
        }
    }
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        match self.get_mut() {
            Self::Complete { content, .. } => Pin::new(content)
                .poll_frame(context)
                .map_err(std::io::Error::other),
            Self::Relay(relay) => relay
                .poll(context)
                .map(|next| next.map(|bytes| bytes.map(Frame::data))),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Complete { content, .. } => content.size_hint(),
            Self::Relay(_) => SizeHint::new(),
        }
    }
}
