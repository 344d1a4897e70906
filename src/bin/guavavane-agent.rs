//! Agent daemon: runs beside one worker, and connects the worker and its endpoints to the control
//! replicas and the entries.

use std::process::ExitCode;

use guavavane::agent::prelude::agent_options;
use guavavane::agent::prelude::run_agent;
use guavavane::agent::prelude::AgentSettings;
use guavavane::daemon::prelude::run_daemon;

fn main() -> ExitCode {
    run_daemon(agent_options(), |settings: AgentSettings| {
        run_agent(settings)
    })
}
