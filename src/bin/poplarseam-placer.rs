//! The program `poplarseam-placer`.

use std::process::ExitCode;

fn main() -> ExitCode {
    poplarseam::program::run(
        "poplarseam-placer",
        "Decides which worker holds which model, or stands by.",
        poplarseam::node::placer::run,
    )
}
