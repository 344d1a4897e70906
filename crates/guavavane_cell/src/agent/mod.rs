//! Agent: speaks for the worker on its VM.
//!
//! It takes the worker's heartbeats, keeps one hold open that extends the lease and returns
//! ends, passes them to the leader and carries out the leader's orders. It slows down filling
//! tasks by itself, since that must not wait for the leader.

mod hold;
mod lease;
mod order;
mod order_flow;
mod orders;
mod report;
mod run;
mod worker;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use flume::Sender;
use tokio::sync::oneshot;

use self::run::AgentInput;
use self::run::AgentLoop;
use crate::leader_link::LeaderLink;
use crate::message::ToControl;
use crate::port::WorkerPort;
use crate::timing::LeaseTiming;
use guavavane_jobs::prelude::WorkerFacts;
use guavavane_jobs::prelude::WorkerKey;

/// Heartbeats that may wait for the loop.
const INPUTS_MAX: usize = 1_024;

/// Settings of an agent.
#[derive(Clone, Debug)]
pub struct AgentSettings {
    /// Name of the VM.
    pub node: Arc<str>,
    /// Addresses of control processes.
    pub seeds: Vec<SocketAddr>,
    /// Lengths of leases.
    pub timing: LeaseTiming,
    /// How long a serving task may be over its target before filling tasks are slowed down.
    pub pace_patience: Duration,
}

/// A heartbeat of the worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerNotice {
    /// The incarnation.
    pub key: WorkerKey,
    /// What it says of itself.
    pub facts: WorkerFacts,
    /// Rises with each heartbeat of an incarnation.
    pub sequence: u64,
    /// Whether it takes no new work.
    pub draining: bool,
    /// The worker's clock, if it says so.
    pub clock_ms: Option<u64>,
}

/// Handle of a running agent.
#[derive(Clone)]
pub struct AgentHandle {
    inputs: Sender<AgentInput>,
}

impl AgentHandle {
    /// Takes a heartbeat; false means that it was not taken.
    pub async fn note_worker(&self, notice: WorkerNotice) -> bool {
        let (reply, answer) = oneshot::channel();
        let input = AgentInput::Notice { notice, reply };
        self.inputs.try_send(input).is_ok() && answer.await.unwrap_or(false)
    }

    /// Takes the word of a worker that it ends now.
    pub async fn note_leave(&self, name: Arc<str>) -> bool {
        self.inputs.try_send(AgentInput::Leave { name }).is_ok()
    }
}

/// Starts an agent on the current runtime.
pub fn start_agent<P: WorkerPort>(settings: AgentSettings, port: P) -> AgentHandle {
    let (inputs, queue) = flume::bounded(INPUTS_MAX);
    let (events, heard) = flume::unbounded();
    let hello = ToControl::AgentHello {
        node: Arc::clone(&settings.node),
    };
    tokio::spawn(LeaderLink::new(hello, settings.seeds, events).run());
    let agent = AgentLoop::new(settings.timing, settings.pace_patience, port);
    tokio::spawn(agent.run(queue, heard));
    AgentHandle { inputs }
}
