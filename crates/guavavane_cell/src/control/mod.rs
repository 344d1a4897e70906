//! Control process: keeps the replicated job ledger and, on the leader, schedules its tasks.
//!
//! `replica` bootstraps or joins the Raft group, `group_report` reports its state, `peer` sends
//! messages to other replicas, `stream` accepts connections, and `engine` is the loop that answers
//! requests and sends orders to agents. `scheduling` runs the scheduling passes and `maintenance` the
//! periodic work. `admission` decides whether submissions are refused for load. `leader_state` holds the leader's volatile state, which each tenure builds anew, and
//! `repeat` proposes again what was refused.

mod admission;
mod advice;
mod caller;
mod command_size;
mod commit;
mod engine;
mod group_report;
mod incarnation;
mod leader_state;
mod loss_confirmation;
mod maintenance;
mod open_completions;
mod operator;
mod peer;
mod repeat;
mod replica;
mod scheduling;
mod session;
mod stream;
mod worker;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use flume::Sender;
use tokio::net::TcpListener;
use tokio::sync::oneshot;

use self::engine::ControlEngine;
use self::engine::EngineInput;
use self::operator::OperatorCall;
use crate::seeds::SeedAddresses;
use crate::timing::LeaseTiming;
use crate::worker_api::AdviceRequest;
use guavavane_jobs::prelude::JobLedger;
use guavavane_jobs::prelude::QueueCatalog;
use guavavane_model::prelude::BootClock;
use guavavane_quorum::prelude::QuorumHandle;

/// Capacity of the queue of messages to the replica's thread.
const INBOX_MAX_MESSAGES: usize = 4_096;
/// Capacity of the queue of messages from the replica to its peers.
const OUTBOX_MAX_MESSAGES: usize = 4_096;

/// Maximum number of uncommitted proposals, for which a control VM has the memory.
pub const UNCOMMITTED_PROPOSALS_MAX: u64 = 4_096;

/// Settings of a control process.
#[derive(Clone, Debug)]
pub struct ControlSettings {
    /// Name of the VM that the process runs on.
    pub node: Arc<str>,
    /// Address at which other processes of the cell reach this one.
    pub address: SocketAddr,
    /// Addresses of control processes to contact first; may include `address`.
    pub seeds: Vec<SocketAddr>,
    /// Whether the cell starts for the first time, with empty data folders.
    pub bootstrap: bool,
    /// Folder of the replicated log, its snapshots and the identity of the replica.
    pub data: PathBuf,
    /// Number of voters that the group maintains.
    pub voters: usize,
    /// Time for which the state of an ended job can still be queried, in milliseconds.
    pub retention_ms: u64,
    /// Durations of the leases of agents and workers.
    pub timing: LeaseTiming,
    /// Maximum number of proposals that are not committed; further ones are refused.
    pub uncommitted_proposals_max: u64,
    /// Channel to the advice service; none where the platform has no such service.
    pub advice: Option<Sender<AdviceRequest>>,
}

/// Reply to a call of an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorReply {
    /// The change is committed or was already in force.
    Done,
    /// The configuration in force, in the text that the operator sent.
    Catalog(Arc<str>),
    /// This process is not the leader; the leader has this address.
    Redirect(SocketAddr),
    /// No leader is known, no configuration is in force yet, or the outcome of the change is
    /// unknown.
    Unavailable,
}

/// Handle to a running control process; clones share the process.
#[derive(Clone)]
pub struct ControlHandle {
    inputs: Sender<EngineInput>,
    quorum: QuorumHandle<JobLedger>,
    seeds: SeedAddresses,
}

impl ControlHandle {
    /// Replaces the configuration if its version is higher than that of the one in force.
    pub async fn put_catalog(&self, catalog: QueueCatalog, text: Arc<str>) -> OperatorReply {
        let catalog = Box::new(catalog);
        self.call(OperatorCall::PutCatalog { catalog, text }).await
    }

    /// Reads the configuration in force.
    pub async fn read_catalog(&self) -> OperatorReply {
        self.call(OperatorCall::ReadCatalog).await
    }

    /// Excludes a data centre from new starts, or readmits it.
    pub async fn set_excluded(&self, data_centre: Arc<str>, excluded: bool) -> OperatorReply {
        let call = OperatorCall::SetExcluded {
            data_centre,
            excluded,
        };
        self.call(call).await
    }

    /// Starts to hand the leadership over to another voter, if this process leads.
    pub fn transfer_leadership(&self) {
        let view = self.quorum.leadership();
        if view.holds_lease(BootClock.now()) {
            tracing::info!(event = "leadership_transfer", term = view.term.0);
            self.quorum.transfer_leadership();
        }
    }

    /// Replaces the addresses of control processes to contact first.
    pub fn replace_seeds(&self, seeds: Vec<SocketAddr>) {
        self.seeds.replace(seeds);
    }

    async fn call(&self, call: OperatorCall) -> OperatorReply {
        let (reply, answer) = oneshot::channel();
        if self
            .inputs
            .send(EngineInput::Operator(call, reply))
            .is_err()
        {
            return OperatorReply::Unavailable;
        }
        answer.await.unwrap_or(OperatorReply::Unavailable)
    }
}

/// Starts a control process on the current runtime.
///
/// # Errors
///
/// Fails if the address can't be bound or the data folder can't be read or written.
pub async fn start_control(settings: ControlSettings) -> anyhow::Result<ControlHandle> {
    let listener = TcpListener::bind(settings.address).await?;
    let (inbox_sender, inbox) = flume::bounded(INBOX_MAX_MESSAGES);
    let (outbox, outgoing) = flume::bounded(OUTBOX_MAX_MESSAGES);
    let quorum = replica::start_replica(&settings, inbox, outbox)?;
    let (inputs, queue) = flume::unbounded();
    tokio::spawn(peer::send_messages(outgoing));
    let seeds = SeedAddresses::new(settings.seeds.clone());
    tokio::spawn(replica::maintain_membership(
        quorum.clone(),
        settings.address,
        seeds.clone(),
    ));
    tokio::spawn(group_report::report_group(quorum.clone()));
    tokio::spawn(stream::accept_sessions(
        listener,
        inbox_sender,
        inputs.clone(),
    ));
    let engine = ControlEngine::new(settings, quorum.clone(), inputs.clone());
    tokio::spawn(engine.run(queue));
    Ok(ControlHandle {
        inputs,
        quorum,
        seeds,
    })
}
