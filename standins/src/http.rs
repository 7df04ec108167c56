//! A small HTTP host for stand-ins: one thread for each call, faults met before the call.

use crate::fault::{Fate, Fault, Switch};
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use tiny_http::{Method, Request, Response, Server};

/// Largest body that a stand-in reads, in bytes.
const MAX_BODY: u64 = 64 << 20;

/// One call to a stand-in.
#[derive(Debug)]
pub struct Call {
    pub method: Method,
    pub path: String,
    pub query: String,
    pub body: String,
    pub idempotency_key: String,
}

impl Call {
    /// The body as JSON, null where it is none.
    #[must_use]
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or(Value::Null)
    }

    /// A number out of the query.
    #[must_use]
    pub fn number(&self, name: &str) -> Option<u64> {
        let mut pairs = self
            .query
            .split('&')
            .filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name)?.1.parse().ok()
    }
}

/// Writes a streamed answer chunk by chunk; an error ends it without its end mark.
pub type Stream = Box<dyn FnOnce(&mut dyn Write) -> std::io::Result<()> + Send>;

/// What a stand-in answers.
pub enum Answer {
    Json(u16, Value),
    Stream(Stream),
    /// The connection closes without an answer.
    Nothing,
}

/// A running stand-in; it stops when dropped.
pub struct Host {
    pub address: SocketAddr,
    pub switch: Arc<Switch>,
    server: Arc<Server>,
}

impl Drop for Host {
    fn drop(&mut self) {
        self.server.unblock();
    }
}

/// Serves calls at `address`; port 0 takes a free one.
#[must_use]
pub fn serve(
    address: SocketAddr,
    handler: impl Fn(&Call) -> Answer + Send + Sync + 'static,
) -> Host {
    let server = Arc::new(Server::http(address).expect("the address must be free"));
    let address = server.server_addr().to_ip().expect("an IP address");
    let switch = Arc::new(Switch::default());
    let handler = Arc::new(handler);
    let host = Host {
        address,
        switch: Arc::clone(&switch),
        server: Arc::clone(&server),
    };
    std::thread::spawn(move || {
        while let Ok(request) = server.recv() {
            let handler = Arc::clone(&handler);
            let switch = Arc::clone(&switch);
            std::thread::spawn(move || handle(request, &switch, &*handler));
        }
    });
    host
}

fn handle(mut request: Request, switch: &Switch, handler: &dyn Fn(&Call) -> Answer) {
    let Some(call) = read(&mut request) else {
        return;
    };
    if call.path == "/fault" {
        let answer = set_fault(&call, switch);
        return reply(request, answer);
    }
    match switch.meet(&call.path, &call.body) {
        Fate::Normal => reply(request, handler(&call)),
        Fate::Unavailable => reply(request, Answer::Json(503, json!({"error": "outage"}))),
        Fate::DropBefore => drop(request.into_writer()),
        Fate::DropAfter => {
            let _ = handler(&call);
            drop(request.into_writer());
        }
    }
}

fn set_fault(call: &Call, switch: &Switch) -> Answer {
    match serde_json::from_str::<Fault>(&call.body) {
        Ok(fault) => {
            switch.set(fault);
            Answer::Json(200, json!({}))
        }
        Err(error) => Answer::Json(400, json!({"error": error.to_string()})),
    }
}

fn read(request: &mut Request) -> Option<Call> {
    let mut body = String::new();
    request
        .as_reader()
        .take(MAX_BODY)
        .read_to_string(&mut body)
        .ok()?;
    let url = request.url().to_owned();
    let (path, query) = url.split_once('?').unwrap_or((&url, ""));
    let key = request
        .headers()
        .iter()
        .find(|header| header.field.equiv("Idempotency-Key"));
    Some(Call {
        method: request.method().clone(),
        path: path.into(),
        query: query.into(),
        body,
        idempotency_key: key
            .map(|header| header.value.to_string())
            .unwrap_or_default(),
    })
}

fn reply(request: Request, answer: Answer) {
    match answer {
        Answer::Json(status, value) => {
            let response = Response::from_string(value.to_string()).with_status_code(status);
            let _ = request.respond(response);
        }
        Answer::Nothing => drop(request.into_writer()),
        Answer::Stream(write) => {
            let mut writer = request.into_writer();
            let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
            if writer
                .write_all(head.as_bytes())
                .and_then(|()| writer.flush())
                .is_err()
            {
                return;
            }
            let mut chunks = Chunks(writer);
            if write(&mut chunks).is_ok() {
                let _ = chunks
                    .0
                    .write_all(b"0\r\n\r\n")
                    .and_then(|()| chunks.0.flush());
            }
        }
    }
}

struct Chunks(Box<dyn Write + Send>);

impl Write for Chunks {
    fn write(&mut self, data: &[u8]) -> std::io::Result<usize> {
        let mut chunk = format!("{:x}\r\n", data.len()).into_bytes();
        chunk.extend_from_slice(data);
        chunk.extend_from_slice(b"\r\n");
        self.0.write_all(&chunk)?;
        self.0.flush()?;
        Ok(data.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        self.0.flush()
    }
}
