//! Headers of a request that an instance without a path to the servers passes to another one, and of its
//! answer.

use hyper::HeaderMap;
use hyper::header::{HeaderName, HeaderValue};

const MAX_SERVERS: HeaderName = HeaderName::from_static("x-poplarseam-max-servers");
const IS_REPEAT: HeaderName = HeaderName::from_static("x-poplarseam-repeat");
const HAS_WORKSPACES: HeaderName = HeaderName::from_static("x-poplarseam-workspaces");
const VERDICT: HeaderName = HeaderName::from_static("x-poplarseam-verdict");
/// Beside a verdict `declined`: it concerns the key of the request only.
const FOR_KEY: HeaderName = HeaderName::from_static("x-poplarseam-for-key");

/// What the carrier must know of the request's past.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Hop {
    /// Number of servers that may still run the request.
    pub max_servers: u32,
    /// Whether the request was sent to a server before, so that it earns no further retries.
    pub is_repeat: bool,
    /// Whether the sender's configuration lists workspaces, so that only an instance whose
    /// configuration does too may carry the request.
    pub has_workspaces: bool,
}

impl Hop {
    /// Adds the headers to a request.
    pub fn write(self, headers: &mut HeaderMap) {
        headers.insert(MAX_SERVERS, HeaderValue::from(self.max_servers));
        headers.insert(IS_REPEAT, HeaderValue::from(u32::from(self.is_repeat)));
        let has_workspaces = u32::from(self.has_workspaces);
        headers.insert(HAS_WORKSPACES, HeaderValue::from(has_workspaces));
    }

    /// Removes the headers from a request; `None` if they are missing or unreadable. Instances of
    /// the previous release don't state `has_workspaces`: the carrier's own configuration decides.
    pub fn take(headers: &mut HeaderMap) -> Option<Self> {
        let mut number = |name| {
            let value: HeaderValue = headers.remove(name)?;
            value.to_str().ok()?.parse::<u32>().ok()
        };
        let (max_servers, is_repeat) = (number(MAX_SERVERS), number(IS_REPEAT));
        let has_workspaces = number(HAS_WORKSPACES);
        Some(Self {
            max_servers: max_servers?,
            is_repeat: is_repeat? != 0,
            has_workspaces: has_workspaces.is_some_and(|it| it != 0),
        })
    }
}

/// What an answer of the carrier says about the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// A server's answer.
    Answer,
    /// The carrier can't serve it; it has not run, and another instance may.
    Declined,
    /// The same, because the carrier's configuration does not have the request's key; it may carry
    /// other requests. Instances of the previous release take it for `Declined`.
    KeyDeclined,
    /// It has not run and should not be tried elsewhere now.
    Refused,
    /// It may have run.
    Unknown,
}

impl Verdict {
    const ALL: [Self; 4] = [Self::Answer, Self::Declined, Self::Refused, Self::Unknown];

    const fn text(self) -> &'static str {
        match self {
            Self::Answer => "answer",
            Self::Declined | Self::KeyDeclined => "declined",
            Self::Refused => "refused",
            Self::Unknown => "unknown",
        }
    }

    /// Adds the header to an answer, in place of one that a server sent.
    pub fn write(self, headers: &mut HeaderMap) {
        headers.insert(VERDICT, HeaderValue::from_static(self.text()));
        headers.remove(FOR_KEY);
        if self == Self::KeyDeclined {
            headers.insert(FOR_KEY, HeaderValue::from_static("1"));
        }
    }

    /// Removes the header from an answer; `None` if it is missing or unreadable, as from a process that
    /// is not a carrier.
    pub fn take(headers: &mut HeaderMap) -> Option<Self> {
        let value = headers.remove(VERDICT)?;
        let is_for_key = headers.remove(FOR_KEY).is_some();
        let verdict = Self::ALL
            .into_iter()
            .find(|verdict| value.as_bytes() == verdict.text().as_bytes())?;
        Some(match verdict {
            Self::Declined if is_for_key => Self::KeyDeclined,
            verdict => verdict,
        })
    }
}
