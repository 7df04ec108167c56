//! The program `poplarseam-gateway`.

use std::process::ExitCode;

fn main() -> ExitCode {
    poplarseam::gateway::command::main()
}
