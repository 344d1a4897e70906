//! Starts the threads of an entry and connects them.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use flume::Sender;

use crate::announcement::start_announcement_thread;
use crate::caller::CallerHandler;
use crate::caller::RequestLimits;
use crate::claim::start_claim_threads;
use crate::control::ControlClient;
use crate::directory::ServiceDirectory;
use crate::drain::RequestGate;
use crate::operator::OperatorHandler;
use crate::poll::ViewPoller;
use crate::settings::EntrySettings;
use crate::stage::request_report;
use crate::stage::RoutingStage;
use crate::stage::StageInput;
use guavavane_daemon::prelude::random_incarnation_id;
use guavavane_daemon::prelude::HttpServer;
use guavavane_daemon::prelude::MetricSink;
use guavavane_daemon::prelude::ShutdownSignal;
use guavavane_model::prelude::IncarnationId;
use guavavane_routing::prelude::RequestRouter;
use guavavane_routing::prelude::RoutingSettings;
use guavavane_transport::prelude::CallClient;
use guavavane_transport::prelude::CallServer;
use guavavane_transport::prelude::CallerProxy;
use guavavane_transport::prelude::FrameIdentity;
use guavavane_transport::prelude::InFlightRequests;
use guavavane_transport::prelude::ProxyLimits;

/// Threads of the caller server beyond one for each connection.
const SPARE_THREADS: usize = 16;

/// Threads that serve operators.
const OPERATOR_THREADS: usize = 16;

/// Timeout of an operator's command to the control leader.
const OPERATOR_TIMEOUT: Duration = Duration::from_millis(10_000);

/// Time for the last responses to leave the socket buffers at shutdown.
const SOCKET_FLUSH_DELAY: Duration = Duration::from_millis(200);

/// Time between two checks for claims that are being settled.
const SETTLE_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum wait for claims to be settled at shutdown.
const SETTLE_TIMEOUT: Duration = Duration::from_millis(3_000);

/// A running entry.
#[derive(Debug)]
pub struct EntryProcess {
    gate: RequestGate,
    stage: Sender<StageInput>,
    callers: CallerProxy,
    _caller_server: HttpServer,
    operators: HttpServer,
    calls: CallServer,
    drain_delay: Duration,
    drain_timeout: Duration,
}

impl EntryProcess {
    /// Starts all threads.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound or a thread cannot be started.
    pub fn start(settings: &EntrySettings) -> anyhow::Result<Self> {
        let incarnation = random_incarnation_id();
        let identity = FrameIdentity {
            cell: settings.cell,
            incarnation,
        };
        let metrics = MetricSink::open("guavavane.entry", settings.metrics)?;
        let calls = CallServer::start(settings.call_listen, identity, settings.announcements_max)?;
        let client = CallClient::new(identity);
        let replicas = settings.control.clone();
        let control = ControlClient::new(client.clone(), replicas, settings.control_timeout);
        let directory = ServiceDirectory::default();
        let gate = RequestGate::new(settings.requests_max);
        let stage = start_stage(settings, incarnation, client, &control, metrics)?;
        start_announcement_thread(
            incarnation,
            calls.calls().clone(),
            stage.clone(),
            settings.announcements_max,
        )?;
        let poller = ViewPoller {
            control: control.clone(),
            directory: directory.clone(),
            stage: stage.clone(),
            gate: gate.clone(),
            address: settings.call_advertise.unwrap_or(calls.address()),
            incarnation,
            interval: settings.poll_interval,
            timeout: settings.control_timeout * 2,
            view_timeout: settings.view_timeout,
        };
        poller.start()?;
        let operator_handler = OperatorHandler {
            control,
            directory: directory.clone(),
            gate: gate.clone(),
            stage: stage.clone(),
            timeout: OPERATOR_TIMEOUT,
        };
        let operators =
            HttpServer::start(settings.operator_listen, OPERATOR_THREADS, move |request| {
                operator_handler.handle(request)
            })
            .context("cannot start the listener for operators")?;
        let request_limits = RequestLimits {
            default_environment: settings.default_environment.clone(),
            body_bytes_max: settings.body_bytes_max,
            header_bytes_max: settings.header_bytes_max,
            default_timeout: settings.request_timeout,
        };
        let served_connections = InFlightRequests::default();
        let caller_handler = CallerHandler::new(
            incarnation,
            directory,
            gate.clone(),
            stage.clone(),
            served_connections.clone(),
            request_limits,
        );
        // A request whose body arrives slowly occupies a thread, so there is one for each
        // connection.
        let threads = settings.connections_max + SPARE_THREADS;
        let loopback = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let caller_server = HttpServer::start(loopback, threads, move |request| {
            caller_handler.handle(request)
        })
        .context("cannot start the HTTP server for callers")?;
        let proxy_limits = ProxyLimits {
            connections_max: settings.connections_max,
            idle_timeout: settings.idle_timeout,
            transfer_timeout: settings.receive_timeout,
        };
        let callers = CallerProxy::start(
            settings.caller_listen,
            caller_server.address(),
            proxy_limits,
            served_connections,
        )
        .context("cannot start the listener for callers")?;
        tracing::info!(
            event = "started",
            incarnation = %incarnation,
            callers = %callers.address(),
            operators = %operators.address(),
            calls = %calls.address(),
        );
        Ok(Self {
            gate,
            stage,
            callers,
            _caller_server: caller_server,
            operators,
            calls,
            drain_delay: settings.drain_delay,
            drain_timeout: settings.drain_timeout,
        })
    }

    /// Returns the address at which callers are served.
    pub fn caller_address(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Returns the address at which operators are served.
    pub fn operator_address(&self) -> SocketAddr {
        self.operators.address()
    }

    /// Returns the address at which announcements are received.
    pub fn call_address(&self) -> SocketAddr {
        self.calls.address()
    }

    /// Runs until the shutdown signal, then drains the entry.
    pub fn run(self, shutdown: &ShutdownSignal) {
        shutdown.wait();
        self.drain();
    }

    /// Admits requests for the drain delay, in which the load balancer notices the drain, then
    /// waits for those in flight.
    pub fn drain(self) {
        tracing::info!(event = "draining", in_flight = self.gate.in_flight());
        self.gate.start_draining();
        thread::sleep(self.drain_delay);
        let clean = self.gate.close(self.drain_timeout);
        let in_flight = self.gate.in_flight();
        thread::sleep(SOCKET_FLUSH_DELAY);
        self.wait_for_claims();
        let _ = self.stage.send(StageInput::Stop);
        tracing::info!(event = "stopped", clean, in_flight);
    }

    /// Waits until no claim is being settled, at most [`SETTLE_TIMEOUT`].
    fn wait_for_claims(&self) {
        let deadline = Instant::now() + SETTLE_TIMEOUT;
        while Instant::now() < deadline {
            let report = request_report(&self.stage, SETTLE_POLL_INTERVAL);
            if report.is_some_and(|report| report.claim_jobs == 0) {
                return;
            }
            thread::sleep(SETTLE_POLL_INTERVAL);
        }
    }
}

fn start_stage(
    settings: &EntrySettings,
    incarnation: IncarnationId,
    client: CallClient,
    control: &ControlClient,
    metrics: MetricSink,
) -> anyhow::Result<Sender<StageInput>> {
    let mut routing = RoutingSettings::new(settings.data_centre.clone(), incarnation.0);
    routing.requests_max = settings.requests_max;
    routing.queue_max = settings.queue_max;
    routing.endpoints_max = settings.endpoints_max;
    routing.claims_max = settings.claims_max;
    let (sender, inputs) = flume::unbounded();
    let (claim_sender, claim_calls) = flume::bounded(settings.claims_max);
    let stage = RoutingStage::new(
        RequestRouter::new(routing),
        inputs,
        sender.clone(),
        client,
        claim_sender,
        metrics,
    );
    start_claim_threads(settings.claim_threads, control, &claim_calls, &sender)?;
    stage.start()?;
    Ok(sender)
}

/// Runs an entry until it receives a shutdown signal.
///
/// # Errors
///
/// Fails if the entry cannot start.
pub fn run_entry(settings: EntrySettings) -> anyhow::Result<()> {
    let shutdown = ShutdownSignal::install()?;
    let process = EntryProcess::start(&settings)?;
    process.run(&shutdown);
    Ok(())
}
