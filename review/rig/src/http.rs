//! A small HTTP/1.1 server and client on blocking sockets.

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

#[derive(Debug)]
pub struct Request {
    pub path: String,
    pub query: String,
    /// Names in lower case.
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn parameter(&self, name: &str) -> String {
        let mut pairs = self
            .query
            .split('&')
            .filter_map(|pair| pair.split_once('='));
        let found = pairs.find(|(key, _)| *key == name);
        found.map_or_else(String::new, |(_, value)| decode_percent(value))
    }
}

fn decode_percent(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let [first, tail @ ..] = rest {
        let code = tail
            .get(..2)
            .and_then(|code| std::str::from_utf8(code).ok());
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
            Some(byte) if *first == b'%' => {
                bytes.push(byte);
                rest = &tail[2..];
            }
            _ => {
                bytes.push(*first);
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

pub enum Reply {
    Answer(u16, Vec<(&'static str, String)>, Vec<u8>),
    /// Nothing is sent, and the channel stays open until the other side closes it.
    Silence,
}

pub type Handler = Arc<dyn Fn(Request) -> Reply + Send + Sync>;

/// Answers requests on a listener, one thread for each channel, until the process ends.
pub fn serve(listener: TcpListener, handler: Handler) {
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || serve_channel(stream, &handler));
        }
    });
}

fn serve_channel(stream: TcpStream, handler: &Handler) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader)? {
        match handler(request) {
            Reply::Answer(status, headers, body) => {
                let mut head = format!("HTTP/1.1 {status} x\r\ncontent-length: {}\r\n", body.len());
                for (name, value) in headers {
                    head.extend([name, ": ", &value, "\r\n"]);
                }
                writer.write_all(&[head.as_bytes(), b"\r\n", &body].concat())?;
            }
            Reply::Silence => {
                io::copy(&mut reader, &mut io::sink())?;
                return Ok(());
            }
        }
    }
    Ok(())
}

fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut words = line.split_whitespace();
    let target = words.nth(1).unwrap_or_default();
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let headers = read_headers(reader)?;
    let body = read_body(reader, &headers)?.unwrap_or_default();
    Ok(Some(Request {
        path: path.into(),
        query: query.into(),
        headers,
        body,
    }))
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<BTreeMap<String, String>> {
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 || line.trim().is_empty() {
            return Ok(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.trim().to_lowercase(), value.trim().to_owned());
        }
    }
}

/// Reads a body with a length or in chunks; none if there is neither.
fn read_body(
    reader: &mut impl BufRead,
    headers: &BTreeMap<String, String>,
) -> io::Result<Option<Vec<u8>>> {
    if headers
        .get("transfer-encoding")
        .is_some_and(|value| value.contains("chunked"))
    {
        let mut body = Vec::new();
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let length = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
            let mut chunk = vec![0; length + 2];
            reader.read_exact(&mut chunk)?;
            body.extend_from_slice(&chunk[..length]);
            if length == 0 {
                return Ok(Some(body));
            }
        }
    }
    let Some(length) = headers
        .get("content-length")
        .and_then(|text| text.parse().ok())
    else {
        return Ok(None);
    };
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(Some(body))
}

#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub body: Vec<u8>,
}

/// Sends one request on a new channel and reads its whole answer.
pub fn exchange(
    address: SocketAddr,
    head: &str,
    body: &[u8],
    longest: Duration,
) -> io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(longest))?;
    stream.write_all(&[head.as_bytes(), body].concat())?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line)?;
    let status = line.split(' ').nth(1).and_then(|code| code.parse().ok());
    let status = status.ok_or_else(|| io::Error::other("no answer"))?;
    let headers = read_headers(&mut reader)?;
    let mut rest = Vec::new();
    let body = if let Some(body) = read_body(&mut reader, &headers)? {
        body
    } else {
        reader.read_to_end(&mut rest)?;
        rest
    };
    Ok(Answer { status, body })
}
