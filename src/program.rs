//! Common parts of the programs: flags, validation of settings, logs and exit codes.

use crate::common::*;
use crate::flags::{Flags, Settings};
use crate::node::logs;
use gumdrop::Options;
use std::process::ExitCode;

/// Exit code for invalid flags or settings.
pub(crate) const EXIT_INVALID_SETTINGS: u8 = 2;

/// Parses the flags of this process; on failure prints the error and returns the exit code.
pub(crate) fn flags<F: Options>(name: &str) -> Result<F, ExitCode> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    F::parse_args_default(&arguments).map_err(|error| {
        eprintln!("{name}: {error}; {name} --help lists the flags");
        ExitCode::from(EXIT_INVALID_SETTINGS)
    })
}

/// Runs a process with the settings from the command line and the environment.
pub fn run(name: &str, about: &str, start: impl FnOnce(Settings) -> Result<()>) -> ExitCode {
    let flags: Flags = match flags(name) {
        Ok(flags) => flags,
        Err(code) => return code,
    };
    if flags.help {
        println!(
            "{name}: {about}\n\nEvery flag has an environment variable: --store-timeout is POPLARSEAM_STORE_TIMEOUT.\n"
        );
        println!("{}", Flags::usage());
        return ExitCode::SUCCESS;
    }
    if flags.version {
        println!("{name} {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let settings = match Settings::check(&flags, &|variable| std::env::var(variable).ok()) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    if flags.check {
        println!("settings are right");
        return ExitCode::SUCCESS;
    }
    finish(name, serve(settings, start))
}

fn serve(settings: Settings, start: impl FnOnce(Settings) -> Result<()>) -> Result<()> {
    let _logs = logs::start(&settings.log_level)?;
    start(settings)
}

/// Prints the error of a program, if any, and returns its exit code.
#[must_use]
pub fn finish(name: &str, result: Result<()>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{name}: {error}");
            ExitCode::FAILURE
        }
    }
}
