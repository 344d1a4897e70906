//! Starts the replicated log and connects it to the transport.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use flume::Receiver;

use crate::context::ControlContext;
use crate::settings::InitSettings;
use crate::settings::RunSettings;
use crate::state::ControlState;
use guavavane_daemon::prelude::ShutdownSignal;
use guavavane_protocol::replica::JoinReply;
use guavavane_protocol::replica::JoinRequest;
use guavavane_protocol::replica::ReplicaEnvelope;
use guavavane_quorum::prelude::init_cluster;
use guavavane_quorum::prelude::init_learner;
use guavavane_quorum::prelude::CheckedSettings;
use guavavane_quorum::prelude::LocalFolder;
use guavavane_quorum::prelude::MemberSet;
use guavavane_quorum::prelude::OutgoingMessage;
use guavavane_quorum::prelude::PeerMessage;
use guavavane_quorum::prelude::QuorumHandle;
use guavavane_quorum::prelude::QuorumPlugin;
use guavavane_quorum::prelude::QuorumSettings;
use guavavane_quorum::prelude::ReplicaId;
use guavavane_quorum::storage::read_identity;
use guavavane_quorum::storage::StorageError;
use guavavane_transport::codec::encode_message;
use guavavane_transport::prelude::CallClient;

/// Longest wait for the receipt of a message between replicas.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time between two requests to join.
const JOIN_INTERVAL: Duration = Duration::from_millis(500);

/// Longest wait for the answer to a request to join.
const JOIN_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Initialises the folder of one of the first voters.
///
/// # Errors
///
/// Fails if the folder cannot be used or belongs to a replica already.
pub fn init_folder(settings: &InitSettings) -> anyhow::Result<()> {
    std::fs::create_dir_all(&settings.data)?;
    let folder = LocalFolder::open(&settings.data)?;
    let members: MemberSet = settings.voters.iter().copied().collect();
    init_cluster(&folder, settings.cell, settings.replica, members)?;
    tracing::info!(event = "folder_initialised", replica = %settings.replica, voters = settings.voters.len());
    Ok(())
}

/// Starts the replica of a folder; an empty folder gets a fresh identity and joins as a learner.
///
/// # Errors
///
/// Fails if the folder cannot be used.
pub fn start_replica(
    settings: &RunSettings,
    inbox: Receiver<PeerMessage>,
    outbox: flume::Sender<OutgoingMessage>,
) -> anyhow::Result<QuorumHandle<ControlState>> {
    std::fs::create_dir_all(&settings.data)?;
    ensure_identity(settings, &settings.data)?;
    let mut quorum = QuorumSettings::new(settings.advertise);
    quorum.cell = settings.cell;
    quorum.removal_timeout_ms = u64::try_from(settings.removal.as_millis())?;
    quorum.voters_wanted = settings.voters;
    quorum.voters_min = settings.voters;
    let plugin = QuorumPlugin {
        settings: CheckedSettings::try_from(quorum)?,
        data_folder: settings.data.clone(),
        machine: ControlState::default(),
    };
    Ok(plugin.start(inbox, outbox)?)
}

fn ensure_identity(settings: &RunSettings, data: &Path) -> anyhow::Result<()> {
    let folder = LocalFolder::open(data)?;
    match read_identity(&folder) {
        Ok(_) => Ok(()),
        Err(StorageError::NoIdentity { .. }) => {
            let replica = ReplicaId::random();
            init_learner(&folder, settings.cell, replica)?;
            tracing::warn!(event = "empty_folder", %replica, action = "join-as-learner");
            Ok(())
        }
        Err(error) => Err(error.into()),
    }
}

/// Sends the replica's messages until the replica stops.
///
/// # Errors
///
/// Fails if the system gives no thread.
pub fn start_sending(client: CallClient, outbox: Receiver<OutgoingMessage>) -> std::io::Result<()> {
    thread::Builder::new()
        .name("outbox".to_owned())
        .spawn(move || {
            outbox
                .iter()
                .for_each(|message| send_message(&client, &message))
        })?;
    Ok(())
}

fn send_message(client: &CallClient, outgoing: &OutgoingMessage) {
    match encode_message(&outgoing.message) {
        Ok(message) => {
            let envelope = ReplicaEnvelope { message };
            // Receipts are not waited for: the log repeats what gets lost.
            drop(client.start_call(outgoing.address, &envelope, MESSAGE_TIMEOUT));
        }
        Err(error) => tracing::error!(event = "replica_message_too_large", %error),
    }
}

/// Asks for membership whenever this replica is not a member.
///
/// # Errors
///
/// Fails if the system gives no thread.
pub fn start_joining(
    context: &Arc<ControlContext>,
    shutdown: &ShutdownSignal,
) -> std::io::Result<()> {
    let context = Arc::clone(context);
    let shutdown = shutdown.clone();
    thread::Builder::new()
        .name("join".to_owned())
        .spawn(move || {
            while !shutdown.is_raised() {
                if !is_member(&context) {
                    ask_to_join(&context);
                }
                thread::sleep(JOIN_INTERVAL);
            }
        })?;
    Ok(())
}

fn is_member(context: &ControlContext) -> bool {
    let view = context.quorum.leadership();
    view.members.get(view.id).is_some()
}

fn ask_to_join(context: &ControlContext) {
    let view = context.quorum.leadership();
    let request = JoinRequest {
        replica: view.id.0,
        address: context.settings.advertise,
    };
    let known = view.members.iter().map(|member| member.address);
    let peers = context.settings.peers.iter().copied().chain(known);
    for peer in peers.filter(|peer| *peer != context.settings.advertise) {
        match context.client.call(peer, &request, JOIN_TIMEOUT) {
            Ok(JoinReply::Accepted) => {
                tracing::info!(event = "joined", replica = %view.id, via = %peer);
                return;
            }
            Ok(JoinReply::Refused(refusal)) => {
                tracing::debug!(event = "join_refused", via = %peer, ?refusal);
            }
            Err(error) => tracing::debug!(event = "join_failed", via = %peer, %error),
        }
    }
}
