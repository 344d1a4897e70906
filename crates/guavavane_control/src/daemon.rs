//! The control daemon from its settings to its end.

use std::thread;
use std::time::Duration;

use crate::context::ControlContext;
use crate::replica;
use crate::scheduler::start_scheduler;
use crate::serve::start_serving;
use crate::settings::ControlCommandLine;
use crate::settings::RunSettings;
use crate::status::start_status;
use guavavane_daemon::prelude::draw_incarnation;
use guavavane_daemon::prelude::MetricSink;
use guavavane_daemon::prelude::ShutdownSignal;
use guavavane_transport::prelude::CallClient;
use guavavane_transport::prelude::CallServer;
use guavavane_transport::prelude::FrameIdentity;

/// Calls that wait to be sorted.
const CALL_BACKLOG: usize = 8_192;

/// Messages that wait for the log, or for the transport.
const MESSAGE_BACKLOG: usize = 4_096;

/// Longest wait for another replica to take over the leadership.
const TRANSFER_WAIT: Duration = Duration::from_millis(3_000);

/// Time between two looks at the leadership during a transfer.
const TRANSFER_STEP: Duration = Duration::from_millis(20);

/// Runs what the command line asks for.
///
/// # Errors
///
/// Fails if the daemon cannot start.
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
        incarnation: draw_incarnation(),
    };
    let server = CallServer::start(settings.listen, identity, CALL_BACKLOG)?;
    let client = CallClient::new(identity);
    let (inbox_sender, inbox) = flume::bounded(MESSAGE_BACKLOG);
    let (outbox_sender, outbox) = flume::bounded(MESSAGE_BACKLOG);
    let quorum = replica::start_replica(&settings, inbox, outbox_sender)?;
    replica::start_sending(client.clone(), outbox)?;
    let context = ControlContext::new(settings, quorum, client, metrics);
    start_serving(&context, server.calls().clone(), inbox_sender)?;
    replica::start_joining(&context, &shutdown)?;
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
    hand_over(&context);
    context.quorum.stop();
    tracing::info!(event = "stopped", role = "control");
    Ok(())
}

/// Gives the leadership away, so that the group need not wait for an election timeout.
fn hand_over(context: &ControlContext) {
    if context.leading().is_none() {
        return;
    }
    tracing::info!(event = "leadership_transfer");
    context.quorum.transfer_leadership();
    let started = context.now();
    while context.now().saturating_since(started) < TRANSFER_WAIT {
        let view = context.quorum.leadership();
        if view.leader.is_some_and(|leader| leader.id != view.id) {
            return;
        }
        thread::sleep(TRANSFER_STEP);
    }
}
