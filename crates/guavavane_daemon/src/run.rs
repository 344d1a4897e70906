//! Runs a daemon from its command line to its exit status.

use std::process::ExitCode;

use bpaf::Args;
use bpaf::OptionParser;
use bpaf::ParseFailure;

use crate::log;
use crate::setting::SettingError;

/// Exit status of a refused setting.
const EXIT_BAD_SETTING: u8 = 2;

/// Width to which help is wrapped, in characters.
const HELP_WIDTH: usize = 100;

/// Parses the command line, checks the settings, starts the logs and runs `main`.
///
/// The status is 0 after a clean end, 1 after an error and 2 after a refused setting.
pub fn run_daemon<R, S>(
    options: OptionParser<R>,
    main: impl FnOnce(S) -> anyhow::Result<()>,
) -> ExitCode
where
    S: TryFrom<R, Error = SettingError>,
{
    let raw = match options.run_inner(Args::current_args()) {
        Ok(raw) => raw,
        Err(failure) => return report_failure(failure),
    };
    let settings = match S::try_from(raw) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(EXIT_BAD_SETTING);
        }
    };
    log::start_logs();
    match main(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            tracing::error!(event = "daemon_failed", error = format!("{error:#}"));
            ExitCode::FAILURE
        }
    }
}

fn report_failure(failure: ParseFailure) -> ExitCode {
    match failure {
        ParseFailure::Stderr(_) => {
            failure.print_message(HELP_WIDTH);
            ExitCode::from(EXIT_BAD_SETTING)
        }
        ParseFailure::Stdout(..) | ParseFailure::Completion(_) => {
            failure.print_message(HELP_WIDTH);
            ExitCode::SUCCESS
        }
    }
}
