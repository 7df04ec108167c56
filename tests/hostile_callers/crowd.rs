//! A crowd of hostile connections, and what it costs the process that it connects to.

use super::{CROWD, FILE_FDS, MAX_BODY, MEMORY_MB};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// A write that is blocked for this long ends the sending; the connection stays open.
const WRITE_TIMEOUT: Duration = Duration::from_secs(20);
/// A process that has read nothing for this long is not waited for any longer.
const MAX_READING_PAUSE: Duration = Duration::from_secs(3);
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);
/// Pieces of a body that is sent piece by piece.
const PIECE_BYTES: usize = 16 << 10;
/// Size of a large chunk.
const CHUNK_BYTES: usize = 1 << 20;
/// Number of chunks of one byte.
const TINY_CHUNKS: usize = 100_000;
/// Size of a body far above the limit, and what is sent of it if it is not announced.
const HUGE_BODY: u64 = 1 << 62;
const SENT_BODY: usize = 8 * MAX_BODY;
/// Bytes of a head that never ends.
const ENDLESS_HEAD: usize = 4 << 20;

/// What each connection of a crowd sends before it stops and stays open.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Form {
    /// A body of legal size but for its last byte, at once.
    Whole,
    /// The same, piece by piece.
    Pieces,
    /// Chunks of legal size, without the last one.
    LargeChunks,
    /// Many chunks of one byte, without the last one.
    TinyChunks,
    /// A body that is announced as far above the limit, and some of it.
    AnnouncedHuge,
    /// Chunks far above the limit.
    SentHuge,
    /// Header fields without end.
    EndlessHead,
    /// A header field without end.
    EndlessField,
    /// Part of a head.
    CutHead,
    Nothing,
}

impl Form {
    /// Sends this on a connection until it is refused. `fields` are the request line and header fields.
    fn send(self, stream: &mut TcpStream, fields: &str) -> std::io::Result<()> {
        let announce = |length: u64| format!("{fields}Content-Length: {length}\r\n\r\n");
        let chunked = format!("{fields}Transfer-Encoding: chunked\r\n\r\n");
        let chunk = |size: usize| format!("{size:x}\r\n{}\r\n", "x".repeat(size)).into_bytes();
        match self {
            Self::Whole => {
                stream.write_all(announce(MAX_BODY as u64).as_bytes())?;
                stream.write_all(&vec![b'x'; MAX_BODY - 1])
            }
            Self::Pieces => {
                stream.write_all(announce(MAX_BODY as u64).as_bytes())?;
                let body = vec![b'x'; MAX_BODY - 1];
                body.chunks(PIECE_BYTES).try_for_each(|piece| {
                    std::thread::yield_now();
                    stream.write_all(piece)
                })
            }
            Self::LargeChunks => {
                stream.write_all(chunked.as_bytes())?;
                let chunk = chunk(CHUNK_BYTES);
                (0..MAX_BODY / CHUNK_BYTES).try_for_each(|_| stream.write_all(&chunk))
            }
            Self::TinyChunks => {
                stream.write_all(chunked.as_bytes())?;
                stream.write_all(&chunk(1).repeat(TINY_CHUNKS))
            }
            Self::AnnouncedHuge => {
                stream.write_all(announce(HUGE_BODY).as_bytes())?;
                stream.write_all(&vec![b'x'; MAX_BODY])
            }
            Self::SentHuge => {
                stream.write_all(chunked.as_bytes())?;
                let chunk = chunk(CHUNK_BYTES);
                (0..SENT_BODY / CHUNK_BYTES).try_for_each(|_| stream.write_all(&chunk))
            }
            Self::EndlessHead => {
                stream.write_all(fields.as_bytes())?;
                let field = "X-More: and more\r\n".repeat(ENDLESS_HEAD / 18);
                stream.write_all(field.as_bytes())
            }
            Self::EndlessField => {
                stream.write_all(fields.as_bytes())?;
                stream.write_all(b"X-More: ")?;
                stream.write_all(&vec![b'x'; ENDLESS_HEAD])
            }
            Self::CutHead => stream.write_all(fields.as_bytes()),
            Self::Nothing => Ok(()),
        }
    }
}

/// Connections that stay open until this is dropped.
pub struct Crowd {
    _streams: Vec<TcpStream>,
}

impl Crowd {
    /// Connects, sends and waits until the process has read or refused everything.
    pub fn open(address: SocketAddr, form: Form, fields: &str) -> Self {
        let connections: Vec<_> = (0..CROWD)
            .map(|_| {
                let fields = fields.to_owned();
                std::thread::spawn(move || {
                    let mut stream = TcpStream::connect(address).ok()?;
                    stream.set_write_timeout(Some(WRITE_TIMEOUT)).ok()?;
                    // The process may refuse the request or close the connection.
                    let _ = form.send(&mut stream, &fields);
                    Some(stream)
                })
            })
            .collect();
        let streams = connections
            .into_iter()
            .filter_map(|it| it.join().unwrap())
            .collect();
        let (mut unread, mut since) = (u64::MAX, Instant::now());
        while unread > 0 && since.elapsed() < MAX_READING_PAUSE {
            let now = unread_bytes(address);
            if now != unread {
                (unread, since) = (now, Instant::now());
            }
            std::thread::sleep(SAMPLE_INTERVAL);
        }
        Self { _streams: streams }
    }
}

/// Watches a process while a crowd is connected to it.
pub struct Watch {
    pid: u32,
    is_ending: Arc<AtomicBool>,
    unread: Arc<AtomicU64>,
    sockets: Arc<AtomicU64>,
    sampler: Option<JoinHandle<()>>,
}

impl Watch {
    pub fn start(pid: u32, address: SocketAddr) -> Self {
        let (is_ending, unread, sockets) = (
            Arc::new(AtomicBool::new(false)),
            Arc::new(AtomicU64::new(0)),
            Arc::new(AtomicU64::new(0)),
        );
        let (ends, most_unread, most_sockets) = (
            Arc::clone(&is_ending),
            Arc::clone(&unread),
            Arc::clone(&sockets),
        );
        let sampler = std::thread::spawn(move || {
            while !ends.load(Ordering::SeqCst) {
                most_unread.fetch_max(unread_bytes(address), Ordering::SeqCst);
                most_sockets.fetch_max(open_sockets(pid), Ordering::SeqCst);
                std::thread::sleep(SAMPLE_INTERVAL);
            }
        });
        Self {
            pid,
            is_ending,
            unread,
            sockets,
            sampler: Some(sampler),
        }
    }

    /// Checks that the process stayed within its memory, received and unread bytes included, and within
    /// its descriptors without those for files.
    pub fn finish(mut self, max_fds: u64) {
        self.is_ending.store(true, Ordering::SeqCst);
        if let Some(sampler) = self.sampler.take() {
            sampler.join().unwrap();
        }
        let peak = peak_memory(self.pid);
        let unread = self.unread.load(Ordering::SeqCst);
        let sockets = self.sockets.load(Ordering::SeqCst);
        println!(
            "peak memory {} kB, unread {} kB, sockets {sockets}",
            peak >> 10,
            unread >> 10
        );
        assert!(peak > 0, "the process has ended");
        assert!(
            peak + unread < MEMORY_MB * 1_000_000,
            "memory: {peak} bytes, and {unread} bytes received and unread"
        );
        assert!(sockets <= max_fds - FILE_FDS, "{sockets} sockets");
    }
}

/// Returns the peak of a process's resident memory in bytes.
fn peak_memory(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let number = line.and_then(|line| line.split_whitespace().next());
    let kilobytes: Option<u64> = number.and_then(|number| number.parse().ok());
    kilobytes.map_or(0, |kilobytes| kilobytes << 10)
}

fn open_sockets(pid: u32) -> u64 {
    let Ok(entries) = std::fs::read_dir(format!("/proc/{pid}/fd")) else {
        return 0;
    };
    let targets = entries.filter_map(|entry| std::fs::read_link(entry.ok()?.path()).ok());
    let sockets = targets.filter(|target| target.to_string_lossy().starts_with("socket:"));
    sockets.count() as u64
}

/// Returns the bytes that were received at an address and not read yet.
fn unread_bytes(address: SocketAddr) -> u64 {
    let SocketAddr::V4(address) = address else {
        return 0;
    };
    let [a, b, c, d] = address.ip().octets();
    let local = format!("{d:02X}{c:02X}{b:02X}{a:02X}:{:04X}", address.port());
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let rows = table.lines().filter_map(|line| {
        let mut columns = line.split_whitespace().skip(1);
        let is_local = columns.next() == Some(local.as_str());
        let (_, state, queues) = (columns.next()?, columns.next()?, columns.next()?);
        // State 0A is listening: its queue counts connections.
        let (_, received) = queues
            .split_once(':')
            .filter(|_| is_local && state != "0A")?;
        u64::from_str_radix(received, 16).ok()
    });
    rows.sum()
}

/// Sends a request on a new connection and returns the status of the answer; 0 without one.
pub fn exchange(address: SocketAddr, request: &[u8]) -> u16 {
    let answer = || -> std::io::Result<String> {
        let mut stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(WRITE_TIMEOUT))?;
        stream.write_all(request)?;
        let mut answer = Vec::new();
        let read = stream.read_to_end(&mut answer);
        if answer.is_empty() {
            read?;
        }
        Ok(String::from_utf8_lossy(&answer).into_owned())
    };
    let answer = answer().unwrap_or_default();
    let code = answer.split(' ').nth(1);
    code.and_then(|code| code.parse().ok()).unwrap_or(0)
}
