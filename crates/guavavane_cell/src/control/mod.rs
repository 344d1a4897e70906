//! Control: the replicated ledger and, on the leader, the decisions about it.
//!
//! `replica` founds or joins the group, `peer` carries its messages, `stream` accepts
//! streams, and `engine` is the one loop that answers, decides and orders. What only a
//! leader knows is in `memory` and starts anew with each term.

mod advice;
mod caller;
mod commit;
mod engine;
mod memory;
mod operator;
mod peer;
mod replica;
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
use crate::port::AdviceCall;
use crate::timing::LeaseTiming;
use guavavane_jobs::prelude::QueueCatalog;

/// Messages that may wait for the replica's thread.
const INBOX_MESSAGES: usize = 4_096;
/// Messages of the replica that may wait for their streams.
const OUTBOX_MESSAGES: usize = 4_096;

/// Settings of a control process.
#[derive(Clone, Debug)]
pub struct ControlSettings {
    /// Name of the VM.
    pub node: Arc<str>,
    /// Where other processes reach this one.
    pub address: SocketAddr,
    /// Addresses of control processes, which may include this one.
    pub seeds: Vec<SocketAddr>,
    /// Whether the cell starts for the first time, with empty folders.
    pub founding: bool,
    /// Folder of the replicated log.
    pub data: PathBuf,
    /// Number of voters.
    pub voters: usize,
    /// How long the state of an ended job is kept, in milliseconds.
    pub retention_ms: u64,
    /// Lengths of leases.
    pub timing: LeaseTiming,
    /// Takes questions to the service that allows workers, where there is one.
    pub advice: Option<Sender<AdviceCall>>,
}

/// Answer to an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorReply {
    /// Carried out, and in force.
    Done,
    /// The configuration in force, as it was sent.
    Catalog(Arc<str>),
    /// Another process leads.
    Redirect(SocketAddr),
    /// No process is known to lead; nothing is known of the outcome.
    Unavailable,
}

/// Handle of a running control process.
#[derive(Clone)]
pub struct ControlHandle {
    inputs: Sender<EngineInput>,
}

impl ControlHandle {
    /// Puts a configuration in force if its version is higher.
    pub async fn put_catalog(&self, catalog: QueueCatalog, text: Arc<str>) -> OperatorReply {
        let catalog = Box::new(catalog);
        self.call(OperatorCall::PutCatalog { catalog, text }).await
    }

    /// Reads the configuration in force.
    pub async fn read_catalog(&self) -> OperatorReply {
        self.call(OperatorCall::ReadCatalog).await
    }

    /// Takes a data centre out, or back.
    pub async fn set_excluded(&self, data_centre: Arc<str>, excluded: bool) -> OperatorReply {
        let call = OperatorCall::SetExcluded {
            data_centre,
            excluded,
        };
        self.call(call).await
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
/// Fails if the address or the folder can't be used.
pub async fn start_control(settings: ControlSettings) -> anyhow::Result<ControlHandle> {
    let listener = TcpListener::bind(settings.address).await?;
    let (inbox_sender, inbox) = flume::bounded(INBOX_MESSAGES);
    let (outbox, outgoing) = flume::bounded(OUTBOX_MESSAGES);
    let quorum = replica::start_replica(&settings, inbox, outbox)?;
    let (inputs, queue) = flume::unbounded();
    tokio::spawn(peer::send_messages(outgoing));
    tokio::spawn(replica::keep_membership(quorum.clone(), settings.clone()));
    tokio::spawn(stream::accept(listener, inbox_sender, inputs.clone()));
    let engine = ControlEngine::new(settings, quorum, inputs.clone());
    tokio::spawn(engine.run(queue));
    Ok(ControlHandle { inputs })
}
