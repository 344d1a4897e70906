//! Runs a daemon: parses its settings, initialises logging and returns its exit status.

use std::process::ExitCode;

use bpaf::Args;
use bpaf::OptionParser;
use bpaf::ParseFailure;

use crate::log;
use crate::panic::abort_on_panic;
use crate::setting::SettingError;

/// Exit status for an invalid setting or command line.
const EXIT_INVALID_SETTING: u8 = 2;

/// Line width of help texts, in characters.
const HELP_WIDTH_CHARS: usize = 100;

/// Parses the command line, validates the settings, initialises logging and runs `main`.
///
/// The exit status is 0 if `main` succeeds, 1 if it fails, and 2 if the command line or a setting
/// is invalid. A request for help or the version also exits with 0.
pub fn run_daemon<R, S>(
    options: OptionParser<R>,
    main: impl FnOnce(S) -> anyhow::Result<()>,
) -> ExitCode
where
    S: TryFrom<R, Error = SettingError>,
{
    let raw = match options.run_inner(Args::current_args()) {
        Ok(raw) => raw,
        Err(failure) => return print_parse_failure(failure),
    };
    let settings = match S::try_from(raw) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(EXIT_INVALID_SETTING);
        }
    };
    log::init_logging();
    abort_on_panic();
    match main(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            tracing::error!(event = "daemon_failed", error = format!("{error:#}"));
            ExitCode::FAILURE
        }
    }
}

fn print_parse_failure(failure: ParseFailure) -> ExitCode {
    match failure {
        ParseFailure::Stderr(_) => {
            failure.print_message(HELP_WIDTH_CHARS);
            ExitCode::from(EXIT_INVALID_SETTING)
        }
        ParseFailure::Stdout(..) | ParseFailure::Completion(_) => {
            failure.print_message(HELP_WIDTH_CHARS);
            ExitCode::SUCCESS
        }
    }
}
