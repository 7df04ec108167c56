//! The program `poplarseam-settings`.

use std::process::ExitCode;

fn main() -> ExitCode {
    poplarseam::program::run(
        "poplarseam-settings",
        "Lets operators read, check and change settings.",
        poplarseam::node::settings::run,
    )
}
