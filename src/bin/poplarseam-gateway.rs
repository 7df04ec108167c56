//! The program `poplarseam-gateway`.

use std::process::ExitCode;

fn main() -> ExitCode {
    let _logs = match poplarseam::node::logs::start("warn") {
        Ok(logs) => logs,
        Err(error) => return poplarseam::program::finish("poplarseam-gateway", Err(error)),
    };
    poplarseam::program::finish("poplarseam-gateway", poplarseam::gateway::gateway::run())
}
