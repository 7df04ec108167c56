//! Plain HTTP/1.1 over blocking sockets, as far as the stand-ins need it.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request or a response: its first line, its headers in lowercase, and its body.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body ended as its framing says.
    pub is_whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        let code = self.first_line.split(' ').nth(1);
        code.and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    /// Returns a value of the query, with percent-encoding removed.
    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target().split_once('?')?.1;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let (_, value) = pairs.find(|(key, _)| *key == name)?;
        Some(percent_decoded(value))
    }
}

fn percent_decoded(text: &str) -> String {
    let mut bytes = text.bytes();
    let mut decoded = Vec::new();
    while let Some(byte) = bytes.next() {
        if byte != b'%' {
            decoded.push(byte);
            continue;
        }
        let digits: Vec<u8> = bytes.by_ref().take(2).collect();
        let digits = String::from_utf8_lossy(&digits).into_owned();
        decoded.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// One end of a connection, with the bytes that were read and not used yet.
pub struct Channel {
    pub stream: TcpStream,
    unread: Vec<u8>,
}

impl Channel {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            unread: Vec::new(),
        }
    }

    pub fn open(address: SocketAddr) -> io::Result<Self> {
        TcpStream::connect_timeout(&address, Duration::from_secs(1)).map(Self::new)
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut piece = [0; 16 << 10];
        let count = self.stream.read(&mut piece)?;
        self.unread.extend_from_slice(&piece[..count]);
        Ok(count)
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.unread.windows(2).position(|pair| pair == b"\r\n") {
                let line: Vec<u8> = self.unread.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn take(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.unread.len() < count {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.unread.drain(..count).collect())
    }

    /// Reads a head. Fails if the channel ends before it.
    pub fn head(&mut self) -> io::Result<Message> {
        let mut message = Message {
            first_line: self.line()?,
            ..Message::default()
        };
        loop {
            let line = self.line()?;
            if line.is_empty() {
                return Ok(message);
            }
            if let Some((name, value)) = line.split_once(':') {
                let header = (name.to_ascii_lowercase(), value.trim().to_owned());
                message.headers.push(header);
            }
        }
    }

    /// Reads a whole message; `is_whole` says whether its body came to its end.
    pub fn message(&mut self) -> io::Result<Message> {
        let mut message = self.head()?;
        message.is_whole = true;
        if message.header("transfer-encoding").is_some() {
            while let Ok(line) = self.line() {
                let size = usize::from_str_radix(line.trim(), 16).unwrap_or(0);
                let Ok(piece) = self.take(size + 2) else {
                    message.is_whole = false;
                    return Ok(message);
                };
                if size == 0 {
                    return Ok(message);
                }
                message.body.extend_from_slice(&piece[..size]);
            }
            message.is_whole = false;
            return Ok(message);
        }
        let length = message.header("content-length");
        let length = length.and_then(|length| length.parse().ok()).unwrap_or(0);
        match self.take(length) {
            Ok(body) => message.body = body,
            Err(_) => message.is_whole = false,
        }
        Ok(message)
    }
}

/// Builds a response with a length.
pub fn response(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status}\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!("Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
