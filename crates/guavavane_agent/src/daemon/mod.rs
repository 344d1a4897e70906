//! The agent's threads, which perform the I/O of the guard and the worker controller.
//!
//! The guard's thread receives calls of entries, announcements of endpoints and results of
//! exchanges; it hands requests to a bounded pool of exchange threads and announces the endpoints
//! to the entries. The worker's thread runs the worker controller; the poll thread lists the worker
//! and polls the control leader for it, and the command threads send its commands. The threads are
//! connected by channels.

mod command_threads;
mod exchange_pool;
mod guard_loop;
mod listener;
mod poll_thread;
mod worker_loop;

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use anyhow::Context;
use flume::Receiver;
use flume::Sender;

use self::guard_loop::GuardEvent;
use self::guard_loop::GuardLoop;
use self::worker_loop::WorkerEvent;
use self::worker_loop::WorkerLoop;
use crate::settings::AgentSettings;
use crate::worker::AgentIdentity;
use guavavane_daemon::prelude::random_incarnation_id;
use guavavane_daemon::prelude::HttpServer;
use guavavane_daemon::prelude::MetricSink;
use guavavane_daemon::prelude::ShutdownSignal;
use guavavane_model::prelude::IncarnationId;
use guavavane_transport::prelude::CallClient;
use guavavane_transport::prelude::CallServer;
use guavavane_transport::prelude::FrameIdentity;

/// Maximum number of calls that wait for the guard's thread.
const CALL_BACKLOG: usize = 256;

/// Maximum number of events that wait for the guard's or the worker's thread, each.
const EVENT_BACKLOG: usize = 1_024;

/// Time for the last replies to be sent before the process exits.
const FLUSH_WAIT: Duration = Duration::from_millis(200);

/// State of an agent that accepts requests.
#[derive(Debug)]
pub struct Serving {
    guard: Sender<GuardEvent>,
    worker: Sender<WorkerEvent>,
}

/// State of an agent that finishes its requests and accepts no new ones.
#[derive(Debug)]
pub struct Draining;

/// A running agent in state `S`.
#[derive(Debug)]
pub struct RunningAgent<S> {
    state: S,
    address: SocketAddr,
    incarnation: IncarnationId,
    http: HttpServer,
    drained: Receiver<usize>,
}

impl<S> RunningAgent<S> {
    /// Address at which entries call the agent.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Address of the local HTTP listener.
    pub fn http_address(&self) -> SocketAddr {
        self.http.address()
    }

    /// Incarnation of the agent.
    pub fn incarnation(&self) -> IncarnationId {
        self.incarnation
    }
}

impl RunningAgent<Serving> {
    /// Starts all threads of the agent.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound or a thread cannot be started.
    pub fn start(settings: AgentSettings) -> anyhow::Result<Self> {
        let incarnation = random_incarnation_id();
        let frame = FrameIdentity {
            cell: settings.cell,
            incarnation,
        };
        let metrics = MetricSink::open("guavavane.agent", settings.metrics)
            .context("cannot open the metric socket")?;
        let server = CallServer::start(settings.listen, frame, CALL_BACKLOG)?;
        let address = settings.advertise.unwrap_or(server.address());
        let client = CallClient::new(frame);
        let (guard, guard_events) = flume::bounded(EVENT_BACKLOG);
        let (worker, worker_events) = flume::bounded(EVENT_BACKLOG);
        let (drain_sender, drained) = flume::bounded(1);
        let http = listener::start(&settings, guard.clone(), worker.clone())?;
        tracing::info!(
            event = "agent_started",
            incarnation = incarnation.0,
            listen = %server.address(),
            advertise = %address,
            http = %http.address(),
            worker = %settings.worker,
        );
        let identity = AgentIdentity {
            address,
            incarnation,
        };
        let worker_loop = WorkerLoop::start(
            &settings,
            identity.clone(),
            client.clone(),
            worker_events,
            worker.clone(),
            guard.clone(),
        )?;
        spawn("worker", move || worker_loop.run())?;
        let guard_loop = GuardLoop::new(
            settings,
            identity,
            server,
            client,
            guard_events,
            guard.clone(),
            worker.clone(),
            drain_sender,
            metrics,
        );
        spawn("guard", move || guard_loop.run())?;
        Ok(Self {
            state: Serving { guard, worker },
            address,
            incarnation,
            http,
            drained,
        })
    }

    /// Starts the drain: refuses new requests and finishes the running ones.
    pub fn drain(self) -> RunningAgent<Draining> {
        // Can't fail: the threads run as long as the process.
        let _ = self.state.guard.send(GuardEvent::Drain);
        let _ = self.state.worker.send(WorkerEvent::Drain);
        RunningAgent {
            state: Draining,
            address: self.address,
            incarnation: self.incarnation,
            http: self.http,
            drained: self.drained,
        }
    }
}

impl RunningAgent<Draining> {
    /// Waits until all requests have ended and the last replies are sent; returns the number of
    /// calls without a reply.
    pub fn wait(self) -> usize {
        let cut = self
            .drained
            .recv()
            .expect("the guard's thread sends once it has drained");
        thread::sleep(FLUSH_WAIT);
        cut
    }
}

/// Runs the agent until it receives a shutdown signal, then drains it.
///
/// # Errors
///
/// Fails if the agent cannot start.
pub fn run_agent(settings: AgentSettings) -> anyhow::Result<()> {
    let shutdown = ShutdownSignal::install().context("cannot install signal handlers")?;
    let agent = RunningAgent::start(settings)?;
    shutdown.wait();
    tracing::info!(event = "agent_draining");
    let cut = agent.drain().wait();
    tracing::info!(event = "agent_stopped", cut);
    Ok(())
}

/// Starts a named thread.
fn spawn(name: &str, body: impl FnOnce() + Send + 'static) -> anyhow::Result<()> {
    thread::Builder::new()
        .name(name.to_owned())
        .spawn(body)
        .with_context(|| format!("cannot start thread {name}"))?;
    Ok(())
}
