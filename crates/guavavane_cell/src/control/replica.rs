//! Bootstraps, joins and starts the replica of a control process.
//!
//! The seeds of the first start become the first voters; each process derives the same replica
//! identifiers from their addresses. Any other replica, and one whose data folder was lost, draws
//! a random identifier and joins as a learner, so that it never votes without the log and the
//! votes that it has lost.

use std::net::SocketAddr;
use std::time::Duration;

use flume::Receiver;
use flume::Sender;
use tokio::time::sleep;

use super::settings::ControlSettings;
use crate::command_limit::CommandLimit;
use crate::message::FromControl;
use crate::message::ToControl;
use crate::seeds::SeedAddresses;
use guavavane_jobs::prelude::JobLedger;
use guavavane_model::prelude::CellId;
use guavavane_quorum::prelude::init_cluster;
use guavavane_quorum::prelude::init_learner;
use guavavane_quorum::prelude::CheckedSettings;
use guavavane_quorum::prelude::LocalFolder;
use guavavane_quorum::prelude::MemberRole;
use guavavane_quorum::prelude::MemberSet;
use guavavane_quorum::prelude::OutgoingMessage;
use guavavane_quorum::prelude::PeerMessage;
use guavavane_quorum::prelude::QuorumHandle;
use guavavane_quorum::prelude::QuorumPlugin;
use guavavane_quorum::prelude::QuorumSettings;
use guavavane_quorum::prelude::ReplicaId;
use guavavane_quorum::prelude::ReplicaMember;
use guavavane_quorum::storage::read_identity;
use guavavane_quorum::storage::StorageError;
use guavavane_transport::prelude::open_stream;

/// Identifier of the cell: these processes serve only one.
const CELL: CellId = CellId(0);
/// Time between two heartbeats of the leader.
const HEARTBEAT_INTERVAL_MS: u64 = 100;
/// Shortest election timeout: covers several heartbeats and one slow disk write.
const ELECTION_TIMEOUT_MIN_MS: u64 = 450;
/// Longest election timeout.
const ELECTION_TIMEOUT_MAX_MS: u64 = 800;
/// Leader lease; shorter than any election timeout, so that it ends before the next election.
const LEADER_LEASE_MS: u64 = 350;
/// Time without a message after which a voter is replaced, if a replacement exists.
const REMOVAL_TIMEOUT_MS: u64 = 2_500;
/// Number of applied entries after which a snapshot is taken.
const SNAPSHOT_ENTRIES: u64 = 4_000;
/// Size of the log at which a snapshot is taken.
const SNAPSHOT_LOG_BYTES: u64 = 6 << 20;
/// Size at which a log segment is closed.
const SEGMENT_BYTES: u64 = 2 << 20;
/// Time between two rounds of join requests.
const JOIN_INTERVAL: Duration = Duration::from_millis(250);
/// Longest wait for a connection, and for the answer, of a process that may know the leader.
const JOIN_TIMEOUT: Duration = Duration::from_millis(500);

/// Identifier of a first voter, derived from its address, so that all seeds agree on it.
fn founder_id(address: SocketAddr) -> ReplicaId {
    let ip = match address.ip() {
        std::net::IpAddr::V4(ip) => u64::from(u32::from(ip)),
        std::net::IpAddr::V6(ip) => u128::from(ip) as u64,
    };
    ReplicaId(ip << 16 | u64::from(address.port()))
}

fn ensure_identity(settings: &ControlSettings) -> anyhow::Result<()> {
    let folder = LocalFolder::open(&settings.data)?;
    match read_identity(&folder) {
        Ok(_) => return Ok(()),
        Err(StorageError::NoIdentity { .. }) => {}
        Err(error) => return Err(error.into()),
    }
    if settings.bootstrap && settings.seeds.contains(&settings.address) {
        let founders = settings.seeds.iter().map(|address| ReplicaMember {
            id: founder_id(*address),
            address: *address,
            role: MemberRole::Voter,
        });
        let members: MemberSet = founders.collect();
        init_cluster(&folder, CELL, founder_id(settings.address), members)?;
        tracing::info!(event = "replica_founded", replica = %founder_id(settings.address));
        return Ok(());
    }
    let replica = ReplicaId::random();
    init_learner(&folder, CELL, replica)?;
    tracing::warn!(event = "replica_empty", %replica, action = "join_as_learner");
    Ok(())
}

/// Starts the replica whose data is in the folder of the settings.
pub(super) fn start_replica(
    settings: &ControlSettings,
    inbox: Receiver<PeerMessage>,
    outbox: Sender<OutgoingMessage>,
) -> anyhow::Result<QuorumHandle<JobLedger>> {
    std::fs::create_dir_all(&settings.data)?;
    ensure_identity(settings)?;
    let mut quorum = QuorumSettings::new(settings.address);
    quorum.cell = CELL;
    quorum.heartbeat_ms = HEARTBEAT_INTERVAL_MS;
    quorum.election_timeout_min_ms = ELECTION_TIMEOUT_MIN_MS;
    quorum.election_timeout_max_ms = ELECTION_TIMEOUT_MAX_MS;
    quorum.lease_ms = LEADER_LEASE_MS;
    quorum.removal_timeout_ms = REMOVAL_TIMEOUT_MS;
    quorum.in_flight_entries = settings.uncommitted_proposals_max;
    quorum.voters_wanted = settings.voters;
    quorum.voters_min = settings.voters;
    quorum.snapshot_entries = SNAPSHOT_ENTRIES;
    quorum.snapshot_log_bytes = SNAPSHOT_LOG_BYTES;
    quorum.segment_bytes = SEGMENT_BYTES;
    quorum.command_bytes_max = CommandLimit::derive(settings.memory_bytes).bytes_max();
    let plugin = QuorumPlugin {
        settings: CheckedSettings::try_from(quorum)?,
        data_folder: settings.data.clone(),
        machine: JobLedger::default(),
    };
    Ok(plugin.start(inbox, outbox)?)
}

/// Sends join requests whenever this replica may have to be added to the group.
pub(super) async fn maintain_membership(
    quorum: QuorumHandle<JobLedger>,
    address: SocketAddr,
    seeds: SeedAddresses,
) {
    loop {
        let view = quorum.leadership();
        if view.needs_join {
            let known = view.members.iter().map(|member| member.address);
            let mut peers: Vec<SocketAddr> = seeds.addresses();
            peers.extend(known);
            for peer in peers.into_iter().filter(|peer| *peer != address) {
                ask_to_join(peer, view.id, address).await;
            }
        }
        sleep(JOIN_INTERVAL).await;
    }
}

/// Sends a join request to a process, and to the leader that its answer names.
async fn ask_to_join(peer: SocketAddr, replica: ReplicaId, address: SocketAddr) {
    let leader = send_join(peer, replica, address).await;
    if let Some(leader) = leader.filter(|leader| *leader != peer && *leader != address) {
        send_join(leader, replica, address).await;
    }
}

/// Sends one join request and returns the leader that the peer names.
async fn send_join(
    peer: SocketAddr,
    replica: ReplicaId,
    address: SocketAddr,
) -> Option<SocketAddr> {
    let opened = open_stream::<ToControl, FromControl>(peer, JOIN_TIMEOUT).await;
    let (sender, mut receiver) = match opened {
        Ok(halves) => halves,
        Err(error) => {
            tracing::debug!(event = "join_failed", %peer, %error);
            return None;
        }
    };
    sender.send(ToControl::Join { replica, address });
    let answer = tokio::time::timeout(JOIN_TIMEOUT, receiver.receive()).await;
    match answer {
        Ok(Some(FromControl::Redirect { leader, .. })) => leader,
        Ok(_) | Err(_) => {
            tracing::debug!(event = "join_unanswered", %peer);
            None
        }
    }
}
