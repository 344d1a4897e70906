//! Command line of operators.

use std::process::ExitCode;

use guavavane::command::prelude::operator_options;
use guavavane::command::prelude::run_command;
use guavavane::command::prelude::CommandStatus;
use guavavane::command::prelude::OperatorOptions;
use guavavane::daemon::prelude::run_daemon;

fn main() -> ExitCode {
    let mut end = CommandStatus::Done;
    let status = run_daemon(operator_options(), |options: OperatorOptions| {
        end = run_command(options)?;
        Ok(())
    });
    match end {
        CommandStatus::Done => status,
        CommandStatus::Refused => ExitCode::FAILURE,
    }
}
