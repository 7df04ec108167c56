//! Authenticated links between processes.
//!
//! In the handshake, each side proves that it holds a mesh key. After that, each message is signed
//! together with its sequence number, so that messages cannot be forged, replayed or reordered.

use super::frame::{Reader, Writer, frame_error};
use super::generated::{Hello, Message, Proof, Sealed, frame::Body};
use super::key::{Key, Ring};
use crate::common::*;
use prost::Message as _;
use std::net::TcpStream;

/// Read and write time-out of a link.
pub const IO_TIMEOUT: Duration = Duration::from_secs(10);
const NONCE_BYTES: usize = 16;

/// Sending side of a link.
#[derive(Debug)]
pub struct Sender {
    writer: Writer<TcpStream>,
    session_key: Key,
    next_sequence: u64,
}

/// Receiving side of a link.
#[derive(Debug)]
pub struct Receiver {
    reader: Reader<TcpStream>,
    session_key: Key,
    next_sequence: u64,
    /// Identity of the peer, from its handshake.
    pub hello: Hello,
}

/// Performs the handshake of the connecting side and returns a link for sending.
///
/// # Errors
/// [`Error::Frame`] if the handshake fails or the peer does not hold an accepted key.
pub fn dial(stream: &TcpStream, local_hello: &Hello, keys: &Ring) -> Result<Sender> {
    let (mut reader, mut writer) = prepare(stream)?;
    let sent_hello = with_nonce(local_hello);
    writer.write(Body::Hello(sent_hello.clone()))?;
    let peer_hello = expect_hello(&mut reader)?;
    let transcript = transcript(&sent_hello, &peer_hello);
    let key = keys.signing_key();
    writer.write(Body::Proof(proof(key, b"dial", &transcript)))?;
    let tag = expect_proof(&mut reader)?;
    let accepted = keys.find(&[b"accept", &transcript], &tag);
    let accepted = accepted.ok_or_else(|| frame_error(&"the peer's key is not accepted"))?;
    let session_key = accepted.derive(&[b"session", &transcript]);
    Ok(Sender {
        writer,
        session_key,
        next_sequence: 0,
    })
}

/// Performs the handshake of the accepting side and returns a link for receiving.
///
/// # Errors
/// [`Error::Frame`] if the handshake fails or the peer does not hold an accepted key.
pub fn accept(stream: &TcpStream, local_hello: &Hello, keys: &Ring) -> Result<Receiver> {
    let (mut reader, mut writer) = prepare(stream)?;
    let hello = expect_hello(&mut reader)?;
    let sent_hello = with_nonce(local_hello);
    writer.write(Body::Hello(sent_hello.clone()))?;
    let transcript = transcript(&hello, &sent_hello);
    let tag = expect_proof(&mut reader)?;
    let key = keys.find(&[b"dial", &transcript], &tag);
    let key = key.ok_or_else(|| frame_error(&"the peer's key is not accepted"))?;
    writer.write(Body::Proof(proof(key, b"accept", &transcript)))?;
    let session_key = key.derive(&[b"session", &transcript]);
    Ok(Receiver {
        reader,
        session_key,
        next_sequence: 0,
        hello,
    })
}

impl Sender {
    /// Sends a message and returns its encoded length in bytes.
    ///
    /// # Errors
    /// [`Error::Frame`] if the connection fails or the message is too long.
    pub fn send(&mut self, message: &Message) -> Result<usize> {
        let message = message.encode_to_vec();
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let tag = self
            .session_key
            .sign(&[&sequence.to_be_bytes(), &message])
            .to_vec();
        self.writer.write(Body::Sealed(Sealed {
            sequence,
            message,
            tag,
        }))
    }
}

impl Receiver {
    /// Receives the next message; returns `None` if the peer closed the link.
    ///
    /// # Errors
    /// [`Error::Frame`] if the connection fails, or the message is out of order or not authentic.
    pub fn receive(&mut self) -> Result<Option<Message>> {
        let Some(body) = self.reader.read()? else {
            return Ok(None);
        };
        let Body::Sealed(sealed) = body else {
            return Err(frame_error(&"expected a sealed message"));
        };
        let parts: [&[u8]; 2] = [&sealed.sequence.to_be_bytes(), &sealed.message];
        let is_authentic = self.session_key.verify(&parts, &sealed.tag);
        if !is_authentic || sealed.sequence != self.next_sequence {
            return Err(frame_error(&"the message is not authentic or out of order"));
        }
        self.next_sequence += 1;
        let message = Message::decode(sealed.message.as_slice());
        message.map(Some).map_err(|error| frame_error(&error))
    }
}

fn prepare(stream: &TcpStream) -> Result<(Reader<TcpStream>, Writer<TcpStream>)> {
    let io = |error: std::io::Error| frame_error(&error);
    stream.set_read_timeout(Some(IO_TIMEOUT)).map_err(io)?;
    stream.set_write_timeout(Some(IO_TIMEOUT)).map_err(io)?;
    stream.set_nodelay(true).map_err(io)?;
    let reader = Reader::new(stream.try_clone().map_err(io)?);
    let writer = Writer::new(stream.try_clone().map_err(io)?);
    Ok((reader, writer))
}

fn with_nonce(local_hello: &Hello) -> Hello {
    let nonce: [u8; NONCE_BYTES] = rand::random();
    Hello {
        nonce: nonce.to_vec(),
        ..local_hello.clone()
    }
}

fn transcript(dialer: &Hello, acceptor: &Hello) -> Vec<u8> {
    let mut text = dialer.encode_length_delimited_to_vec();
    text.extend(acceptor.encode_length_delimited_to_vec());
    text
}

fn proof(key: &Key, side: &[u8], transcript: &[u8]) -> Proof {
    Proof {
        tag: key.sign(&[side, transcript]).to_vec(),
    }
}

fn expect_hello(reader: &mut Reader<TcpStream>) -> Result<Hello> {
    match reader.read()? {
        Some(Body::Hello(hello)) => Ok(hello),
        _ => Err(frame_error(&"expected a hello")),
    }
}

fn expect_proof(reader: &mut Reader<TcpStream>) -> Result<Vec<u8>> {
    match reader.read()? {
        Some(Body::Proof(proof)) => Ok(proof.tag),
        _ => Err(frame_error(&"expected a proof of the key")),
    }
}
