//! The program `poplarseam-entry`.

use std::process::ExitCode;

fn main() -> ExitCode {
    poplarseam::program::run(
        "poplarseam-entry",
        "Takes callers' requests and brings them to models and services.",
        poplarseam::node::entry::run,
    )
}
