//! A caller, as simple as can be.

use serde_json::Value;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(30);

/// A whole answer.
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    pub headers: BTreeMap<String, String>,
    pub body: String,
}

impl Answer {
    /// Body as JSON, null where it is none.
    #[must_use]
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or(Value::Null)
    }
}

fn request(
    method: &str,
    address: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> attohttpc::Result<attohttpc::Response> {
    let method = attohttpc::Method::from_bytes(method.as_bytes()).expect("a method");
    let url = format!("http://{address}{path}");
    let mut request = attohttpc::RequestBuilder::new(method, url)
        .proxy_settings(attohttpc::ProxySettings::builder().build())
        .connect_timeout(Duration::from_secs(2))
        .read_timeout(TIMEOUT);
    for (name, value) in headers {
        let name = attohttpc::header::HeaderName::from_bytes(name.as_bytes()).expect("a name");
        request = request.header(name, *value);
    }
    request.text(body).send()
}

/// Makes one call.
///
/// # Errors
/// When no whole answer came.
pub fn call(
    method: &str,
    address: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> attohttpc::Result<Answer> {
    let response = request(method, address, path, headers, body)?;
    let status = response.status().as_u16();
    let headers = response.headers().iter().map(|(name, value)| {
        (
            name.to_string(),
            value.to_str().unwrap_or_default().to_owned(),
        )
    });
    let headers = headers.collect();
    Ok(Answer {
        status,
        headers,
        body: response.text()?,
    })
}

/// One event of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Event {
    pub id: String,
    pub kind: String,
    pub data: String,
}

impl Event {
    /// Text of the token that it carries.
    #[must_use]
    pub fn text(&self) -> String {
        let chunk: Value = serde_json::from_str(&self.data).unwrap_or(Value::Null);
        let choice = &chunk["choices"][0];
        let text = choice["delta"]["content"]
            .as_str()
            .or(choice["text"].as_str());
        text.unwrap_or_default().to_owned()
    }
}

/// A streamed answer, event by event.
pub struct Events {
    pub status: u16,
    lines: BufReader<Box<dyn Read + Send>>,
}

/// Makes a call whose answer is streamed.
///
/// # Errors
/// When no answer came.
pub fn stream(
    address: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> attohttpc::Result<Events> {
    let (status, _, reader) = request("POST", address, path, headers, body)?.split();
    let lines = BufReader::new(Box::new(reader) as Box<dyn Read + Send>);
    Ok(Events {
        status: status.as_u16(),
        lines,
    })
}

impl Iterator for Events {
    type Item = Event;

    fn next(&mut self) -> Option<Event> {
        let mut event = Event::default();
        let mut line = String::new();
        loop {
            line.clear();
            let read = self.lines.read_line(&mut line).ok()?;
            match line.trim_end().split_once(": ") {
                _ if read == 0 => return None,
                Some(("id", id)) => event.id = id.into(),
                Some(("event", kind)) => event.kind = kind.into(),
                Some(("data", data)) => event.data = data.into(),
                _ if line.trim_end().is_empty() && event != Event::default() => {
                    return Some(event);
                }
                _ => {}
            }
        }
    }
}
