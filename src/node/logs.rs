//! Logs: one JSON object a line, on standard error.

use crate::common::*;
use crate::error::LogSnafu;
use flexi_logger::{Logger, LoggerHandle, json_format};
use snafu::ResultExt;

/// Starts logging; it ends when the handle is dropped.
///
/// # Errors
/// [`Error::Log`] where the level is unknown or a logger runs already.
pub fn start(level: &str) -> Result<LoggerHandle> {
    let spec = format!("{level}, tiny_http=off, rouille=off, attohttpc=off");
    let logger = Logger::try_with_str(spec).context(LogSnafu)?;
    logger.format(json_format).start().context(LogSnafu)
}
