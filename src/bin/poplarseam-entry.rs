//! The program `poplarseam-entry`.

use std::process::ExitCode;

fn main() -> ExitCode {
    poplarseam::program::run(
        "poplarseam-entry",
        "Accepts callers' requests and forwards them to models and services.",
        poplarseam::node::entry::run,
    )
}
