//! The program `poplarseam`: the operators' command line.

use std::process::ExitCode;

fn main() -> ExitCode {
    poplarseam::command::main()
}
