//! Errors to callers, as RFC 9457 has them, with whether the request ran.

use crate::common::*;
use crate::decide::dispatch::{Reason, Refusal};
use crate::world::id;
use crate::world::time::retry_after_secs;

/// Whether a request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
#[allow(clippy::enum_variant_names)]
pub enum Run {
    /// It certainly did not run.
    NotRun,
    Ran,
    /// It may have run.
    Unknown,
}

/// One error to a caller.
#[derive(Debug, Clone, PartialEq)]
pub struct Problem {
    pub status: u16,
    pub title: &'static str,
    pub detail: String,
    pub run: Run,
    pub retry_after: Option<Duration>,
}

impl Problem {
    /// A request that is wrong in itself: it did not run, and coming back is useless.
    #[must_use]
    pub fn wrong(status: u16, title: &'static str, detail: impl Into<String>) -> Self {
        Self {
            status,
            title,
            detail: detail.into(),
            run: Run::NotRun,
            retry_after: None,
        }
    }

    /// A request that was refused.
    #[must_use]
    pub fn refused(refusal: Refusal, run: Run) -> Self {
        let (status, title, detail) = match refusal.reason {
            Reason::Limit => (
                429,
                "over the team's limit",
                "slow down, or ask operators for more",
            ),
            Reason::Deadline => (
                503,
                "cannot start in time",
                "come back later, or allow more time",
            ),
            Reason::Full => (503, "too many requests wait", "come back later"),
            Reason::Convicted => (
                422,
                "this request crashes backend servers",
                "change it; it is not run again",
            ),
            Reason::Isolated => (
                503,
                "a copy of this request runs apart after a crash",
                "come back for its result",
            ),
            Reason::Retries => (503, "backend servers failed", "come back later"),
            Reason::Version => (
                503,
                "no backend server has the software version that began the answer",
                "ask anew, without Last-Event-ID",
            ),
            Reason::Stopping => (
                503,
                "this instance is stopping",
                "come back: another one answers",
            ),
        };
        let retry_after = refusal.retry_after;
        Self {
            status,
            title,
            detail: detail.into(),
            run,
            retry_after,
        }
    }

    /// Body of the answer.
    #[must_use]
    pub fn body(&self, request: &id::Request) -> String {
        let mut body = json!({
          "type": "about:blank",
          "status": self.status,
          "title": self.title,
          "detail": self.detail,
          "run": self.run,
          "request": request,
        });
        if let Some(wait) = self.retry_after {
            body["retry_after_ms"] = json!(wait.as_millis());
        }
        body.to_string()
    }

    /// Headers of the answer.
    #[must_use]
    pub fn headers(&self) -> Vec<(&'static str, String)> {
        let mut headers = vec![("Content-Type", "application/problem+json".to_owned())];
        if let Some(wait) = self.retry_after {
            headers.push(("Retry-After", retry_after_secs(wait).to_string()));
        }
        headers
    }
}
