//! Control process: keeps the replicated job ledger and, on the leader, schedules its tasks.
//!
//! `replica` bootstraps or joins the Raft group, `group_report` reports its state, `peer` sends
//! messages to other replicas, `stream` accepts connections, and `engine` is the loop that answers
//! requests and sends orders to agents. `scheduling` runs the scheduling passes, `speculation` starts
//! copies of runs that take long (`copied_runs` keeps both runs), and `maintenance` does the periodic
//! work. `peer_format` knows which log entries the other replicas read. `leader_state` holds the
//! leader's volatile state, which each tenure builds anew, and `repeat` proposes again what was
//! refused.

mod advice;
mod caller;
mod command_size;
mod commit;
mod copied_runs;
mod engine;
mod group_report;
mod incarnation;
mod input;
mod leader_state;
mod limits_query;
mod loss_confirmation;
mod maintenance;
mod open_completions;
mod operator;
mod peer;
mod peer_format;
mod repeat;
mod replica;
mod scheduling;
mod session;
mod session_table;
mod settings;
mod speculation;
mod stream;
mod wall_clock;
mod worker;

use std::net::SocketAddr;
use std::sync::Arc;

use flume::Sender;
use tokio::net::TcpListener;
use tokio::sync::oneshot;

use self::engine::ControlEngine;
use self::input::EngineInput;
use self::input::OperatorCall;
pub use self::input::OperatorReply;
use self::peer_format::PeerFormats;
pub use self::settings::ControlSettings;
use crate::seeds::SeedAddresses;
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
    let formats = PeerFormats::default();
    tokio::spawn(peer::send_messages(outgoing, formats.clone()));
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
    let engine = ControlEngine::new(settings, quorum.clone(), inputs.clone(), formats);
    tokio::spawn(engine.run(queue));
    Ok(ControlHandle {
        inputs,
        quorum,
        seeds,
    })
}
