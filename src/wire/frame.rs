//! Length-delimited frames on a byte stream.

use super::generated::{Frame, frame::Body};
use crate::common::*;
use bytes::{Bytes, BytesMut};
use prost::Message;
use std::io::{Read, Write};
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

/// Maximum length of a frame.
pub const MAX_BYTES: usize = 8 << 20;
const READ_BYTES: usize = 16 << 10;

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_BYTES)
        .new_codec()
}

/// Reads frames from a stream.
#[derive(Debug)]
pub struct Reader<R> {
    stream: R,
    codec: LengthDelimitedCodec,
    buffer: BytesMut,
}

impl<R: Read> Reader<R> {
    /// Returns a reader of frames from a stream.
    #[must_use]
    pub fn new(stream: R) -> Self {
        Self {
            stream,
            codec: codec(),
            buffer: BytesMut::new(),
        }
    }

    /// Reads the body of the next frame; returns `None` at the end of the stream.
    ///
    /// # Errors
    /// [`Error::Frame`] if the stream fails or ends within a frame, or the frame is too long or
    /// malformed.
    pub fn read(&mut self) -> Result<Option<Body>> {
        let mut chunk = [0; READ_BYTES];
        loop {
            let frame = self
                .codec
                .decode(&mut self.buffer)
                .map_err(|error| frame_error(&error))?;
            if let Some(frame) = frame {
                let frame = Frame::decode(frame).map_err(|error| frame_error(&error))?;
                let body = frame
                    .body
                    .ok_or_else(|| frame_error(&"the frame has no body"))?;
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
                return Err(frame_error(&"the stream ended within a frame"));
            }
            self.buffer.extend_from_slice(&chunk[..read]);
        }
    }
}

/// Writes frames to a stream.
#[derive(Debug)]
pub struct Writer<W> {
    stream: W,
    codec: LengthDelimitedCodec,
    buffer: BytesMut,
}

impl<W: Write> Writer<W> {
    /// Returns a writer of frames to a stream.
    #[must_use]
    pub fn new(stream: W) -> Self {
        Self {
            stream,
            codec: codec(),
            buffer: BytesMut::new(),
        }
    }

    /// Writes a frame and returns its encoded length in bytes, including the length prefix.
    ///
    /// # Errors
    /// [`Error::Frame`] if the frame is too long or the stream fails.
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
