//! Agent process: represents the worker on its VM to the leader.
//!
//! The agent learns of its worker from heartbeats; a missing heartbeat has no effect. It keeps one
//! lease renewal open, which returns a list of the worker's runs and completions. It forwards
//! completions to the leader and executes the leader's orders. It throttles best-effort tasks on
//! its own at each renewal report ([`guavavane_jobs::plan::throttle`]), since that must not wait
//! for the leader.

mod agent_loop;
mod late_starts;
mod lease;
mod lease_renewal;
mod order;
mod order_dispatch;
mod order_executor;
mod refusal;
mod report;
mod target_watch;
mod worker;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use flume::Sender;
use tokio::sync::oneshot;

use self::agent_loop::AgentInput;
use self::agent_loop::AgentLoop;
use crate::leader_client::LeaderClient;
use crate::message::ToControl;
use crate::seeds::SeedAddresses;
use crate::timing::LeaseTiming;
use crate::worker_api::WorkerApi;
use guavavane_jobs::prelude::WorkerFacts;
use guavavane_jobs::prelude::WorkerKey;

/// Capacity of the queue of heartbeats to the loop.
const INPUTS_MAX: usize = 1_024;

/// Settings of an agent.
#[derive(Clone, Debug)]
pub struct AgentSettings {
    /// Name of the VM that the agent runs on.
    pub node: Arc<str>,
    /// Addresses of control processes to contact first.
    pub seeds: Vec<SocketAddr>,
    /// Durations of the leases of agents and workers.
    pub timing: LeaseTiming,
    /// Violation timeout: how long a latency target may be violated before all best-effort tasks
    /// get a CPU share of 0. Throttling itself begins earlier.
    pub violation_timeout: Duration,
}

/// Heartbeat of the worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerHeartbeat {
    /// Incarnation of the worker.
    pub key: WorkerKey,
    /// Pool, data centre, capacity and labels that the worker advertises.
    pub facts: WorkerFacts,
    /// Number of the heartbeat, rising within an incarnation.
    pub sequence: u64,
    /// Whether the worker accepts no new runs.
    pub draining: bool,
    /// Reading of the worker's clock in milliseconds, if the heartbeat carries one.
    pub clock_ms: Option<u64>,
}

/// Handle to a running agent; clones share the agent.
#[derive(Clone)]
pub struct AgentHandle {
    inputs: Sender<AgentInput>,
    seeds: SeedAddresses,
}

impl AgentHandle {
    /// Hands a heartbeat to the agent; returns whether the agent has accepted it.
    pub async fn record_heartbeat(&self, heartbeat: WorkerHeartbeat) -> bool {
        let (reply, answer) = oneshot::channel();
        let input = AgentInput::Heartbeat { heartbeat, reply };
        self.inputs.try_send(input).is_ok() && answer.await.is_ok()
    }

    /// Tells the agent that its worker shuts down; returns whether the agent's queue had space.
    pub async fn record_leave(&self, name: Arc<str>) -> bool {
        self.inputs.try_send(AgentInput::Leave { name }).is_ok()
    }

    /// Waits until the process may end: until the lease of a worker that doesn't answer has expired and
    /// the expiry is reported, because the next process would begin the wait anew.
    pub async fn prepare_shutdown(&self) {
        let (reply, answer) = oneshot::channel();
        let input = AgentInput::Shutdown { reply };
        if self.inputs.try_send(input).is_ok() {
            // The answer fails only if the loop has ended, and with it the reason to wait.
            let _ = answer.await;
        }
    }

    /// Replaces the addresses of control processes to contact first.
    pub fn replace_seeds(&self, seeds: Vec<SocketAddr>) {
        self.seeds.replace(seeds);
    }
}

/// Starts an agent on the current runtime.
pub fn start_agent<A: WorkerApi>(settings: AgentSettings, worker_api: A) -> AgentHandle {
    let (inputs, queue) = flume::bounded(INPUTS_MAX);
    let (events, session_events) = flume::unbounded();
    let hello = ToControl::AgentHello {
        node: Arc::clone(&settings.node),
    };
    let seeds = SeedAddresses::new(settings.seeds);
    tokio::spawn(LeaderClient::new(hello, seeds.clone(), events).run());
    let agent = AgentLoop::new(settings.timing, settings.violation_timeout, worker_api);
    tokio::spawn(agent.run(queue, session_events));
    AgentHandle { inputs, seeds }
}
