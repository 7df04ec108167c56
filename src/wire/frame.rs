//! Frames on a byte stream: a length, then the encoded frame.

use super::generated::{Frame, frame::Body};
use crate::common::*;
use bytes::{Bytes, BytesMut};
use prost::Message;
use std::io::{Read, Write};
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

/// Longest frame, in bytes.
pub const MAX_BYTES: usize = 8 << 20;
const READ_BYTES: usize = 16 << 10;

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_BYTES)
        .new_codec()
}

/// Reads frames.
#[derive(Debug)]
pub struct Reader<R> {
    stream: R,
    codec: LengthDelimitedCodec,
    buffer: BytesMut,
}

impl<R: Read> Reader<R> {
    /// Reads frames from a stream.
    #[must_use]
    pub fn new(stream: R) -> Self {
        Self {
            stream,
            codec: codec(),
            buffer: BytesMut::new(),
        }
    }

    /// Next frame's body; none at the end of the stream.
    ///
    /// # Errors
    /// [`Error::Frame`] where the stream is cut, too long or holds no frame.
    pub fn read(&mut self) -> Result<Option<Body>> {
        let mut chunk = [0; READ_BYTES];
        loop {
            let frame = self
                .codec
                .decode(&mut self.buffer)
                .map_err(|error| frame_error(&error))?;
            if let Some(frame) = frame {
                let frame = Frame::decode(frame).map_err(|error| frame_error(&error))?;
                let body = frame.body.ok_or_else(|| frame_error(&"it is empty"))?;
                return Ok(Some(body));
            }
            let read = self
                .stream
                .read(&mut chunk)
                .map_err(|error| frame_error(&error))?;
            if read == 0 && self.buffer.is_empty() {
                return Ok(None);
            }
            if read == 0 {
                return Err(frame_error(&"the stream ended inside it"));
            }
            self.buffer.extend_from_slice(&chunk[..read]);
        }
    }
}

/// Writes frames.
#[derive(Debug)]
pub struct Writer<W> {
    stream: W,
    codec: LengthDelimitedCodec,
    buffer: BytesMut,
}

impl<W: Write> Writer<W> {
    /// Writes frames to a stream.
    #[must_use]
    pub fn new(stream: W) -> Self {
        Self {
            stream,
            codec: codec(),
            buffer: BytesMut::new(),
        }
    }

    /// Writes one frame; returns its length on the wire in bytes.
    ///
    /// # Errors
    /// [`Error::Frame`] where it is too long or the stream is cut.
    pub fn write(&mut self, body: Body) -> Result<usize> {
        let frame = Frame { body: Some(body) };
        let encoded = Bytes::from(frame.encode_to_vec());
        self.buffer.clear();
        self.codec
            .encode(encoded, &mut self.buffer)
            .map_err(|error| frame_error(&error))?;
        self.stream
            .write_all(&self.buffer)
            .map_err(|error| frame_error(&error))?;
        self.stream.flush().map_err(|error| frame_error(&error))?;
        Ok(self.buffer.len())
    }
}

pub(crate) fn frame_error(reason: &dyn Display) -> Error {
    Error::Frame {
        reason: reason.to_string(),
    }
}
