//! Error type of this crate.

use crate::common::*;

/// Result of a fallible operation of this crate.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// An error, whose message says what failed and how to fix it.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum Error {
    #[snafu(display(
        "`{text}` is not a valid identifier: use 1 to 64 characters out of a-z A-Z 0-9 . _ -"
    ))]
    Identifier { text: String },
    #[snafu(display("`{text}` is not a valid number: write digits, with or without the unit"))]
    Number { text: String },
    #[snafu(display("`{text}` is not a valid duration: write a number followed by ms or s"))]
    Duration { text: String },
    #[snafu(display("{}", problems.join("\n")))]
    Settings { problems: Vec<String> },
    #[snafu(display("cannot listen on {address}: {source}; free the address or choose another"))]
    Listen {
        address: SocketAddr,
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    #[snafu(display("cannot set up logs: {source}; check the log level"))]
    Log {
        source: flexi_logger::FlexiLoggerError,
    },
    #[snafu(display(
        "cannot catch signals: {source}; start the process outside of a restricted environment"
    ))]
    Signal { source: std::io::Error },
    #[snafu(display(
        "cannot start a thread: {source}; raise the thread limit or free some memory"
    ))]
    Thread { source: std::io::Error },
    #[snafu(display("path `{path}`: {reason}"))]
    Entry { path: String, reason: String },
    #[snafu(display(
        "{url} gave no usable answer: {reason}; check that it runs and that the address is right"
    ))]
    Call { url: String, reason: String },
    #[snafu(display("{url} answered {status}: {text}"))]
    Answer {
        url: String,
        status: u16,
        text: String,
    },
    #[snafu(display(
        "frame refused: {reason}; check that both sides run this system with the same mesh key"
    ))]
    Frame { reason: String },
    #[snafu(display("{text}"))]
    Usage { text: String },
}
