//! Starts the control daemon, connects its parts and stops it.

use std::thread;
use std::time::Duration;

use crate::context::ControlContext;
use crate::group_watch::start_group_watch;
use crate::replica;
use crate::scheduler::start_scheduler;
use crate::serve::start_serving;
use crate::settings::ControlCommandLine;
use crate::settings::RunSettings;
use crate::status::start_status;
use guavavane_daemon::prelude::random_incarnation_id;
use guavavane_daemon::prelude::MetricSink;
use guavavane_daemon::prelude::ShutdownSignal;
use guavavane_transport::prelude::CallClient;
use guavavane_transport::prelude::CallServer;
use guavavane_transport::prelude::FrameIdentity;

/// Maximum number of received calls that wait to be routed.
const CALL_BACKLOG: usize = 8_192;

/// Maximum number of replica messages that wait for the log, and of those that wait for the
/// transport.
const MESSAGE_BACKLOG: usize = 4_096;

/// Maximum wait for another replica to take over the leadership.
const TRANSFER_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Time between two checks of the leadership during a transfer.
const TRANSFER_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Runs the command of the command line; `run` returns after shutdown.
///
/// # Errors
///
/// Returns an error if the data folder cannot be initialised or the daemon cannot start.
pub fn run_command(command: ControlCommandLine) -> anyhow::Result<()> {
    match command {
        ControlCommandLine::Init(settings) => replica::init_folder(&settings),
        ControlCommandLine::Run(settings) => run_replica(*settings),
    }
}

fn run_replica(settings: RunSettings) -> anyhow::Result<()> {
    let shutdown = ShutdownSignal::install()?;
    let metrics = MetricSink::open("guavavane.control", settings.metrics)?;
    let identity = FrameIdentity {
        cell: settings.cell,
        incarnation: random_incarnation_id(),
    };
    let server = CallServer::start(settings.listen, identity, CALL_BACKLOG)?;
    let client = CallClient::new(identity);
    let (inbox_sender, inbox) = flume::bounded(MESSAGE_BACKLOG);
    let (outbox_sender, outbox) = flume::bounded(MESSAGE_BACKLOG);
    let quorum = replica::start_replica(&settings, inbox, outbox_sender)?;
    replica::start_sender(client.clone(), outbox)?;
    let context = ControlContext::new(settings, quorum, client, metrics);
    start_serving(&context, server.calls().clone(), inbox_sender)?;
    replica::start_join_loop(&context, &shutdown)?;
    start_group_watch(&context, &shutdown)?;
    start_scheduler(&context, &shutdown)?;
    let status = start_status(&context, &shutdown)?;
    tracing::info!(
        event = "started",
        role = "control",
        listen = %server.address(),
        http = %status.address(),
        replica = %context.quorum.leadership().id,
    );
    shutdown.wait();
    transfer_leadership(&context);
    context.quorum.stop();
    tracing::info!(event = "stopped", role = "control");
    Ok(())
}

/// Transfers the leadership before shutdown, so that the group has no election timeout to wait for.
fn transfer_leadership(context: &ControlContext) {
    if context.confirmed_leadership().is_none() {
        return;
    }
    tracing::info!(event = "leadership_transfer");
    context.quorum.transfer_leadership();
    let started = context.now();
    while context.now().saturating_since(started) < TRANSFER_TIMEOUT {
        let view = context.quorum.leadership();
        if view.leader.is_some_and(|leader| leader.id != view.id) {
            return;
        }
        thread::sleep(TRANSFER_POLL_INTERVAL);
    }
}
