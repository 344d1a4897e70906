//! Wires the filters of an entry together.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use flume::Sender;

use crate::announcement::start_announcements;
use crate::claim::start_claims;
use crate::control::ControlClient;
use crate::directory::ServiceDirectory;
use crate::drain::DrainGate;
use crate::front::CallerFront;
use crate::front::FrontLimits;
use crate::operator::OperatorDesk;
use crate::poll::ViewPoller;
use crate::settings::EntrySettings;
use crate::stage::describe_stage;
use crate::stage::RoutingStage;
use crate::stage::StageInput;
use guavavane_daemon::prelude::draw_incarnation;
use guavavane_daemon::prelude::HttpServer;
use guavavane_daemon::prelude::MetricSink;
use guavavane_daemon::prelude::ShutdownSignal;
use guavavane_model::prelude::IncarnationId;
use guavavane_routing::prelude::RequestRouter;
use guavavane_routing::prelude::RoutingSettings;
use guavavane_transport::prelude::CallClient;
use guavavane_transport::prelude::CallServer;
use guavavane_transport::prelude::CallerRelay;
use guavavane_transport::prelude::FlightTable;
use guavavane_transport::prelude::FrameIdentity;
use guavavane_transport::prelude::RelayLimits;

/// Threads beyond the connections of callers.
const SPARE_THREADS: usize = 16;

/// Threads that serve operators.
const OPERATOR_THREADS: usize = 16;

/// Longest wait for the leader on behalf of an operator.
const OPERATOR_LIMIT: Duration = Duration::from_millis(10_000);

/// Time for the last answers to leave the sockets.
const WRITE_LINGER: Duration = Duration::from_millis(200);

/// Pause between two looks at claims that are being settled.
const SETTLE_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Longest wait for claims to be settled at shutdown.
const SETTLE_LIMIT: Duration = Duration::from_millis(3_000);

/// A running entry.
#[derive(Debug)]
pub struct EntryProcess {
    gate: DrainGate,
    stage: Sender<StageInput>,
    callers: CallerRelay,
    _server: HttpServer,
    operators: HttpServer,
    calls: CallServer,
    drain_wait: Duration,
    drain_limit: Duration,
}

impl EntryProcess {
    /// Starts all filters.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound or a thread cannot be had.
    pub fn start(settings: &EntrySettings) -> anyhow::Result<Self> {
        let incarnation = draw_incarnation();
        let identity = FrameIdentity {
            cell: settings.cell,
            incarnation,
        };
        let metrics = MetricSink::open("guavavane.entry", settings.metrics)?;
        let calls = CallServer::start(settings.call_listen, identity, settings.announcements)?;
        let client = CallClient::new(identity);
        let replicas = settings.control.clone();
        let control = ControlClient::new(client.clone(), replicas, settings.control_limit);
        let directory = ServiceDirectory::default();
        let gate = DrainGate::new(settings.requests);
        let stage = start_stage(settings, incarnation, client, &control, metrics)?;
        start_announcements(
            incarnation,
            calls.calls().clone(),
            stage.clone(),
            settings.announcements,
        )?;
        let poller = ViewPoller {
            control: control.clone(),
            directory: directory.clone(),
            stage: stage.clone(),
            gate: gate.clone(),
            address: settings.call_advertise.unwrap_or(calls.address()),
            incarnation,
            interval: settings.poll_interval,
            limit: settings.control_limit * 2,
            view_wait: settings.view_wait,
        };
        poller.start()?;
        let desk = OperatorDesk {
            control,
            directory: directory.clone(),
            gate: gate.clone(),
            stage: stage.clone(),
            limit: OPERATOR_LIMIT,
        };
        let operators =
            HttpServer::start(settings.operator_listen, OPERATOR_THREADS, move |request| {
                desk.handle(request)
            })
            .context("the operators' listener")?;
        let limits = FrontLimits {
            environment: settings.environment.clone(),
            body_bytes: settings.body_bytes,
            header_bytes: settings.header_bytes,
            default_timeout: settings.request_timeout,
        };
        let flights = FlightTable::default();
        let front = CallerFront::new(
            incarnation,
            directory,
            gate.clone(),
            stage.clone(),
            flights.clone(),
            limits,
        );
        // A half-sent body holds a thread, so there is one for each connection.
        let threads = settings.connections + SPARE_THREADS;
        let upstream = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let server = HttpServer::start(upstream, threads, move |request| front.handle(request))
            .context("the callers' server")?;
        let limits = RelayLimits {
            connections: settings.connections,
            idle: settings.idle_limit,
            receive: settings.receive_limit,
        };
        let callers = CallerRelay::start(settings.caller_listen, server.address(), limits, flights)
            .context("the callers' listener")?;
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
            _server: server,
            operators,
            calls,
            drain_wait: settings.drain_wait,
            drain_limit: settings.drain_limit,
        })
    }

    /// Address at which callers are served.
    pub fn caller_address(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Address at which operators are served.
    pub fn operator_address(&self) -> SocketAddr {
        self.operators.address()
    }

    /// Address at which announcements are taken.
    pub fn call_address(&self) -> SocketAddr {
        self.calls.address()
    }

    /// Runs until the signal and then ends without cutting a request.
    pub fn run(self, shutdown: &ShutdownSignal) {
        shutdown.wait();
        self.drain();
    }

    /// Takes work until the balancer has noticed, then ends what is in flight.
    pub fn drain(self) {
        tracing::info!(event = "draining", in_flight = self.gate.in_flight());
        self.gate.start_draining();
        thread::sleep(self.drain_wait);
        let clean = self.gate.close(self.drain_limit);
        let in_flight = self.gate.in_flight();
        thread::sleep(WRITE_LINGER);
        self.await_claims();
        let _ = self.stage.send(StageInput::Stop);
        tracing::info!(event = "stopped", clean, in_flight);
    }

    /// Gives claims that are being settled some time, while control answers.
    fn await_claims(&self) {
        let end = Instant::now() + SETTLE_LIMIT;
        while Instant::now() < end {
            let report = describe_stage(&self.stage, SETTLE_POLL_INTERVAL);
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
    routing.requests_max = settings.requests;
    routing.queue_max = settings.queue;
    routing.endpoints_max = settings.endpoints;
    routing.claims_max = settings.claims;
    let (sender, inputs) = flume::unbounded();
    let (claims, claim_calls) = flume::bounded(settings.claims);
    let stage = RoutingStage::new(
        RequestRouter::new(routing),
        inputs,
        sender.clone(),
        client,
        claims,
        metrics,
    );
    start_claims(settings.claim_threads, control, &claim_calls, &sender)?;
    stage.start()?;
    Ok(sender)
}

/// Runs an entry until it is asked to end.
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
