//! Reads callers' requests from their connections, within limits on size and time.

use crate::common::*;
use std::io::{BufRead, BufReader, ErrorKind, Write};
use std::net::TcpStream;
use std::time::Instant;

/// Longest head with its request line, in bytes. What is longer than the limits on headers and on the path but
/// shorter than this gets an answer that says so.
const MAX_HEAD: usize = 64 << 10;
const MAX_FIELDS: usize = 256;
/// Longest line with the size of a chunk, and longest trailer, in bytes.
const MAX_SIZE_LINE: usize = 256;
const MAX_TRAILER: usize = 16 << 10;
/// Longest time for which a connection may send nothing between requests.
const IDLE_TIME: Duration = Duration::from_mins(1);
/// Longest time for a head that has begun.
const HEAD_TIME: Duration = Duration::from_secs(10);
/// Longest time without any byte of a body, and for all of it. Five losses of the same segment in a row cause a
/// pause of 6.2 s; a body of 1 MiB needs 17 kB/s.
const BODY_PAUSE: Duration = Duration::from_secs(8);
const BODY_TIME: Duration = Duration::from_mins(1);
/// Longest time for which the rest of a refused request is discarded.
const DISCARD_TIME: Duration = Duration::from_secs(1);

/// Request line and header fields.
#[derive(Debug)]
pub struct Head {
    pub method: String,
    pub target: String,
    pub is_http_1_1: bool,
    pub fields: Vec<(String, String)>,
}

impl Head {
    /// Values of a field, in order.
    pub fn values<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        let fields = self.fields.iter();
        let fields = fields.filter(move |(other, _)| other.eq_ignore_ascii_case(name));
        fields.map(|(_, value)| value.as_str())
    }

    /// Whether the caller wants the connection closed after the answer.
    pub fn closes(&self) -> bool {
        let mut values = self.values("Connection");
        !self.is_http_1_1 || values.any(|value| value.to_ascii_lowercase().contains("close"))
    }
}

/// How the end of a body is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    Length(usize),
    Chunks,
}

/// Why a request could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The connection ended.
    Gone,
    TimedOut,
    TooLarge,
    Malformed,
    /// Whoever takes the bytes has no memory for them.
    NoMemory,
}

/// Reads from one connection.
pub struct Reader<'a> {
    stream: &'a TcpStream,
    buffered: BufReader<&'a TcpStream>,
}

impl<'a> Reader<'a> {
    pub fn new(stream: &'a TcpStream) -> Self {
        Self {
            stream,
            buffered: BufReader::new(stream),
        }
    }

    /// Waits for bytes until `pause` or `until` has passed; returns what is buffered, nothing at the end of the
    /// connection.
    fn fill(&mut self, pause: Duration, until: Instant) -> Result<&[u8], Failure> {
        if self.buffered.buffer().is_empty() {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(Failure::TimedOut);
            }
            let set = self.stream.set_read_timeout(Some(left.min(pause)));
            set.map_err(|_| Failure::Gone)?;
        }
        loop {
            let filled = self.buffered.fill_buf().map(|_| ());
            match filled.map_err(|error| error.kind()) {
                Ok(()) => return Ok(self.buffered.buffer()),
                Err(ErrorKind::Interrupted) => {}
                Err(ErrorKind::WouldBlock | ErrorKind::TimedOut) => return Err(Failure::TimedOut),
                Err(_) => return Err(Failure::Gone),
            }
        }
    }

    /// Waits for the first byte of a request; returns whether there is one.
    pub fn wait(&mut self) -> bool {
        let until = Instant::now() + IDLE_TIME;
        self.fill(IDLE_TIME, until)
            .is_ok_and(|bytes| !bytes.is_empty())
    }

    /// Reads a head.
    ///
    /// # Errors
    /// If it does not arrive in time, is too large or malformed, or if the connection ends.
    pub fn read_head(&mut self) -> Result<Head, Failure> {
        let until = Instant::now() + HEAD_TIME;
        let mut text = Vec::new();
        loop {
            let searched = text.len().saturating_sub(3);
            let bytes = self.fill(HEAD_TIME, until)?;
            if bytes.is_empty() {
                return Err(Failure::Gone);
            }
            let (previous, count) = (text.len(), bytes.len());
            text.extend_from_slice(bytes);
            let end = text[searched..]
                .windows(4)
                .position(|window| window == b"\r\n\r\n");
            if let Some(end) = end.map(|end| searched + end + 4) {
                self.buffered.consume(end - previous);
                text.truncate(end);
                return parse(&text);
            }
            self.buffered.consume(count);
            if text.len() > MAX_HEAD {
                return Err(Failure::TooLarge);
            }
        }
    }

    /// Tells a caller that waits for it to send the body.
    pub fn invite(&mut self) {
        if let Err(error) = (&mut &*self.stream).write_all(b"HTTP/1.1 100 Continue\r\n\r\n") {
            log::debug!(error:% = error; "a caller could not be told to go on");
        }
    }

    /// Reads a body and passes its bytes on as they arrive.
    ///
    /// # Errors
    /// If it does not arrive in time, is malformed, if the connection ends, or if `take` fails.
    pub fn read_body(
        &mut self,
        framing: Framing,
        mut take: impl FnMut(&[u8]) -> Result<(), Failure>,
    ) -> Result<(), Failure> {
        let until = Instant::now() + BODY_TIME;
        match framing {
            Framing::Length(length) => self.read_exactly(length, until, &mut take),
            Framing::Chunks => loop {
                let line = self.read_line(MAX_SIZE_LINE, until)?;
                let size = chunk_size(&line).ok_or(Failure::Malformed)?;
                if size == 0 {
                    return self.read_trailer(until);
                }
                self.read_exactly(size, until, &mut take)?;
                if !self.read_line(0, until)?.is_empty() {
                    return Err(Failure::Malformed);
                }
            },
        }
    }

    fn read_exactly(
        &mut self,
        mut length: usize,
        until: Instant,
        take: &mut impl FnMut(&[u8]) -> Result<(), Failure>,
    ) -> Result<(), Failure> {
        while length > 0 {
            let bytes = self.fill(BODY_PAUSE, until)?;
            if bytes.is_empty() {
                return Err(Failure::Gone);
            }
            let count = bytes.len().min(length);
            take(&bytes[..count])?;
            self.buffered.consume(count);
            length -= count;
        }
        Ok(())
    }

    /// Reads a line of at most `limit` bytes, and returns it without its end.
    fn read_line(&mut self, limit: usize, until: Instant) -> Result<Vec<u8>, Failure> {
        let mut line = Vec::new();
        while !line.ends_with(b"\r\n") {
            if line.len() >= limit + 2 {
                return Err(Failure::Malformed);
            }
            let bytes = self.fill(BODY_PAUSE, until)?;
            line.push(*bytes.first().ok_or(Failure::Gone)?);
            self.buffered.consume(1);
        }
        line.truncate(line.len() - 2);
        Ok(line)
    }

    fn read_trailer(&mut self, until: Instant) -> Result<(), Failure> {
        let mut left = MAX_TRAILER;
        loop {
            let line = self.read_line(left, until)?;
            if line.is_empty() {
                return Ok(());
            }
            left = left.saturating_sub(line.len() + 2);
        }
    }

    /// Reads and discards up to `limit` bytes of a refused request, so that its caller can read the answer: a
    /// connection that is closed with unread bytes is reset.
    pub fn discard(&mut self, limit: usize) {
        let until = Instant::now() + DISCARD_TIME;
        let mut left = limit;
        while left > 0 {
            match self.fill(DISCARD_TIME, until).map(<[u8]>::len) {
                Ok(0) | Err(_) => return,
                Ok(count) => {
                    self.buffered.consume(count);
                    left = left.saturating_sub(count);
                }
            }
        }
    }
}

fn parse(text: &[u8]) -> Result<Head, Failure> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut request = httparse::Request::new(&mut fields);
    match request.parse(text) {
        Ok(httparse::Status::Complete(_)) => {}
        Err(httparse::Error::TooManyHeaders) => return Err(Failure::TooLarge),
        Ok(httparse::Status::Partial) | Err(_) => return Err(Failure::Malformed),
    }
    let (Some(method), Some(target)) = (request.method, request.path) else {
        return Err(Failure::Malformed);
    };
    let fields: Option<Vec<_>> = request
        .headers
        .iter()
        .map(|field| {
            let value = std::str::from_utf8(field.value).ok()?;
            Some((field.name.to_owned(), value.trim().to_owned()))
        })
        .collect();
    Ok(Head {
        method: method.to_owned(),
        target: target.to_owned(),
        is_http_1_1: request.version == Some(1),
        fields: fields.ok_or(Failure::Malformed)?,
    })
}

/// Reads the size of a chunk, in front of its extensions.
fn chunk_size(line: &[u8]) -> Option<usize> {
    let text = std::str::from_utf8(line).ok()?;
    let digits = text.split(';').next()?.trim();
    let is_number = !digits.is_empty() && digits.bytes().all(|byte| byte.is_ascii_hexdigit());
    is_number.then(|| usize::from_str_radix(digits, 16).ok())?
}
