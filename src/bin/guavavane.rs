//! Command line client of operators.

use std::process::ExitCode;

use guavavane::command::prelude::operator_options;
use guavavane::command::prelude::run_command;
use guavavane::command::prelude::CommandStatus;
use guavavane::command::prelude::OperatorOptions;
use guavavane::daemon::prelude::run_daemon;

fn main() -> ExitCode {
    let mut command_status = CommandStatus::Done;
    let exit_code = run_daemon(operator_options(), |options: OperatorOptions| {
        command_status = run_command(options)?;
        Ok(())
    });
    match command_status {
        CommandStatus::Done => exit_code,
        CommandStatus::Refused => ExitCode::FAILURE,
    }
}
