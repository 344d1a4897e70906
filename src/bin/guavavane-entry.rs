//! Entry daemon: routes the requests of callers to endpoints and forwards the commands of
//! operators.

use std::process::ExitCode;

use guavavane::daemon::run::run_daemon;
use guavavane::entry::options::entry_options;
use guavavane::entry::process::run_entry;

fn main() -> ExitCode {
    run_daemon(entry_options(), run_entry)
}
