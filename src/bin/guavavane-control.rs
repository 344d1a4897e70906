//! Control daemon: a replica of the control group, which stores the state and places tasks.

use std::process::ExitCode;

use guavavane::control::prelude::raw_control_command;
use guavavane::control::prelude::run_command;
use guavavane::control::prelude::ControlCommandLine;
use guavavane::daemon::prelude::run_daemon;

fn main() -> ExitCode {
    run_daemon(raw_control_command(), |command: ControlCommandLine| {
        run_command(command)
    })
}
