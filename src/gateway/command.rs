//! Command line of the gateway.

use super::gateway;
use crate::common::*;
use crate::node::logs;
use crate::program::{self, EXIT_INVALID_SETTINGS};
use gumdrop::Options;
use std::process::ExitCode;

const NAME: &str = "poplarseam-gateway";
/// Environment variable for the level of diagnostic messages (libraries and rare faults).
const LOG_LEVEL: &str = "POPLARSEAM_LOG_LEVEL";

#[derive(Debug, Options)]
struct Flags {
    #[options(help = "show this")]
    help: bool,
    #[options(no_short, help = "show the version")]
    version: bool,
    #[options(no_short, help = "check the settings file and end")]
    check: bool,
    #[options(
        no_short,
        meta = "LEVEL",
        help = "error, warn (default), info or debug"
    )]
    log_level: Option<String>,
}

/// Runs the program with the arguments and the environment of this process.
#[must_use]
pub fn main() -> ExitCode {
    let flags: Flags = match program::flags(NAME) {
        Ok(flags) => flags,
        Err(code) => return code,
    };
    if flags.help {
        println!("{NAME}: serves callers of the users' platform on one instance.\n");
        println!("POPLARSEAM_SETTINGS names the settings file; {LOG_LEVEL} is --log-level.\n");
        println!("{}", Flags::usage());
        return ExitCode::SUCCESS;
    }
    if flags.version {
        println!("{NAME} {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    if flags.check {
        return check();
    }
    program::finish(NAME, run(flags.log_level))
}

fn check() -> ExitCode {
    match gateway::read_settings() {
        Ok(_) => {
            println!("settings are right");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(EXIT_INVALID_SETTINGS)
        }
    }
}

fn run(log_level: Option<String>) -> Result<()> {
    let level = log_level.or_else(|| std::env::var(LOG_LEVEL).ok());
    let level = level.unwrap_or_else(|| "warn".into());
    let _logs = logs::start(&level)?;
    gateway::run()
}
