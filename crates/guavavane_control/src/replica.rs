//! Starts the replicated log, connects it to the transport and joins the group.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use flume::Receiver;

use crate::context::ControlContext;
use crate::periodic::spawn_periodic;
use crate::settings::InitSettings;
use crate::settings::RunSettings;
use crate::state::ControlState;
use guavavane_daemon::prelude::ShutdownSignal;
use guavavane_model::document::DOCUMENT_MAX_BYTES;
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

/// Timeout of the receipt of a message between replicas.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time between two checks of the membership; a replica that is no member requests it each time.
const JOIN_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout of the reply to a membership request.
const JOIN_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Maximum size of a command in the log, in bytes: a document of the largest legal size and what names its
/// environment and version.
pub const COMMAND_BYTES_MAX: usize = DOCUMENT_MAX_BYTES + (64 << 10);

/// Initialises the data folder of one of the first voters.
///
/// # Errors
///
/// Returns an error if the folder cannot be used or belongs to a replica already.
pub fn init_folder(settings: &InitSettings) -> anyhow::Result<()> {
    std::fs::create_dir_all(&settings.data_folder)?;
    let folder = LocalFolder::open(&settings.data_folder)?;
    let members: MemberSet = settings.voters.iter().copied().collect();
    init_cluster(&folder, settings.cell, settings.replica, members)?;
    tracing::info!(event = "folder_initialised", replica = %settings.replica, voters = settings.voters.len());
    Ok(())
}

/// Starts the replica of a data folder. With an empty folder it draws a new identity and joins as a
/// learner.
///
/// # Errors
///
/// Returns an error if the data folder cannot be used or a setting is invalid.
pub fn start_replica(
    settings: &RunSettings,
    inbox: Receiver<PeerMessage>,
    outbox: flume::Sender<OutgoingMessage>,
) -> anyhow::Result<QuorumHandle<ControlState>> {
    std::fs::create_dir_all(&settings.data_folder)?;
    ensure_identity(settings, &settings.data_folder)?;
    let mut quorum = QuorumSettings::new(settings.advertise);
    quorum.cell = settings.cell;
    quorum.command_bytes_max = COMMAND_BYTES_MAX;
    quorum.removal_timeout_ms = u64::try_from(settings.removal_timeout.as_millis())?;
    quorum.voters_wanted = settings.voters;
    quorum.voters_min = settings.voters;
    let plugin = QuorumPlugin {
        settings: CheckedSettings::try_from(quorum)?,
        data_folder: settings.data_folder.clone(),
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

/// Starts the thread that sends the replica's messages until the replica stops.
///
/// # Errors
///
/// Returns an error if the thread cannot be spawned.
pub fn start_sender(client: CallClient, outbox: Receiver<OutgoingMessage>) -> std::io::Result<()> {
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
            // The receipt is not awaited: the log sends lost messages again.
            drop(client.call_async(outgoing.address, &envelope, MESSAGE_TIMEOUT));
        }
        Err(error) => tracing::error!(event = "replica_message_too_large", %error),
    }
}

/// Starts the thread that requests membership while this replica is not a member of the group.
///
/// # Errors
///
/// Returns an error if the thread cannot be spawned.
pub fn start_join_loop(
    context: &Arc<ControlContext>,
    shutdown: &ShutdownSignal,
) -> std::io::Result<()> {
    let join = |context: &ControlContext| {
        if context.quorum.leadership().needs_join {
            request_membership(context);
        }
    };
    spawn_periodic("join", JOIN_INTERVAL, context, shutdown, join)
}

fn request_membership(context: &ControlContext) {
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
