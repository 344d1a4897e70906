//! Settings of a replica, raw and checked.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use guavavane_model::identity::CellId;

/// Settings as given by the operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuorumSettings {
    /// Cell of the group.
    pub cell: CellId,
    /// Where other replicas reach this one.
    pub address: SocketAddr,
    /// Time between two heartbeats of a leader.
    pub heartbeat_ms: u64,
    /// Shortest silence of a leader before an election.
    pub election_timeout_min_ms: u64,
    /// Longest silence of a leader before an election.
    pub election_timeout_max_ms: u64,
    /// Length of the leader's lease from the moment its heartbeat was sent.
    pub lease_ms: u64,
    /// Taken off the lease for clocks that run at different rates.
    pub clock_drift_margin_ms: u64,
    /// Number of voters that the leader keeps by promoting learners.
    pub voters_wanted: usize,
    /// Voters below which none is removed before its replacement is ready.
    pub voters_min: usize,
    /// Most members of the group.
    pub members_max: usize,
    /// Silence after which the leader removes a member.
    pub removal_timeout_ms: u64,
    /// Most entries that a learner may lack when it is promoted.
    pub promotion_lag_entries: u64,
    /// Most entries appended and not yet committed, and sent and not yet acknowledged.
    pub in_flight_entries: u64,
    /// Most requests waiting for the replica's thread.
    pub proposal_queue: usize,
    /// Most reads waiting for a round of heartbeats.
    pub read_queue: usize,
    /// Largest encoded command.
    pub command_bytes_max: usize,
    /// Size that a message's entries may reach before the next one is started.
    pub message_bytes_max: usize,
    /// Size of a snapshot chunk.
    pub snapshot_chunk_bytes: usize,
    /// Largest snapshot that a replica accepts.
    pub snapshot_bytes_max: u64,
    /// Applied entries after which a snapshot is taken.
    pub snapshot_entries: u64,
    /// Size of the log after which a snapshot is taken.
    pub snapshot_log_bytes: u64,
    /// Entries kept in memory behind a snapshot, for followers that lag a little.
    pub trailing_entries: u64,
    /// Size after which a log segment is closed.
    pub segment_bytes: u64,
}

impl QuorumSettings {
    /// Default settings of a replica reached at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            cell: CellId(0),
            address,
            heartbeat_ms: 100,
            election_timeout_min_ms: 1_000,
            election_timeout_max_ms: 2_000,
            lease_ms: 700,
            clock_drift_margin_ms: 50,
            voters_wanted: 3,
            voters_min: 3,
            members_max: 32,
            removal_timeout_ms: 20_000,
            promotion_lag_entries: 64,
            in_flight_entries: 4_096,
            proposal_queue: 4_096,
            read_queue: 4_096,
            command_bytes_max: 1 << 20,
            message_bytes_max: 256 << 10,
            snapshot_chunk_bytes: 256 << 10,
            snapshot_bytes_max: 256 << 20,
            snapshot_entries: 10_000,
            snapshot_log_bytes: 32 << 20,
            trailing_entries: 1_000,
            segment_bytes: 8 << 20,
        }
    }

    pub(crate) fn heartbeat(&self) -> Duration {
        Duration::from_millis(self.heartbeat_ms)
    }

    pub(crate) fn election_timeout_min(&self) -> Duration {
        Duration::from_millis(self.election_timeout_min_ms)
    }

    pub(crate) fn usable_lease(&self) -> Duration {
        Duration::from_millis(self.lease_ms.saturating_sub(self.clock_drift_margin_ms))
    }

    pub(crate) fn removal_timeout(&self) -> Duration {
        Duration::from_millis(self.removal_timeout_ms)
    }
}

/// Why settings are refused.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// Followers could elect another leader during a lease.
    #[error("lease_ms {lease_ms} must be shorter than election_timeout_min_ms {election_ms}")]
    LeaseTooLong {
        /// Given lease.
        lease_ms: u64,
        /// Given shortest election timeout.
        election_ms: u64,
    },
    /// A leader could not renew its lease in time.
    #[error("heartbeat_ms {heartbeat_ms} must be at most half of the lease less its margin")]
    HeartbeatTooLong {
        /// Given heartbeat.
        heartbeat_ms: u64,
    },
    /// The longest election timeout must exceed the shortest.
    #[error("election_timeout_max_ms must exceed election_timeout_min_ms")]
    ElectionRange,
    /// A bound is zero or contradicts another.
    #[error("{name} is out of range")]
    Bound {
        /// Name of the setting.
        name: &'static str,
    },
}

/// Settings that passed all checks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CheckedSettings(QuorumSettings);

impl std::ops::Deref for CheckedSettings {
    type Target = QuorumSettings;

    fn deref(&self) -> &QuorumSettings {
        &self.0
    }
}

impl TryFrom<QuorumSettings> for CheckedSettings {
    type Error = SettingsError;

    fn try_from(raw: QuorumSettings) -> Result<Self, SettingsError> {
        if raw.lease_ms >= raw.election_timeout_min_ms {
            return Err(SettingsError::LeaseTooLong {
                lease_ms: raw.lease_ms,
                election_ms: raw.election_timeout_min_ms,
            });
        }
        let usable_ms = raw.lease_ms.saturating_sub(raw.clock_drift_margin_ms);
        if raw.heartbeat_ms == 0 || raw.heartbeat_ms * 2 > usable_ms {
            return Err(SettingsError::HeartbeatTooLong {
                heartbeat_ms: raw.heartbeat_ms,
            });
        }
        if raw.election_timeout_max_ms <= raw.election_timeout_min_ms {
            return Err(SettingsError::ElectionRange);
        }
        check_bounds(&raw)?;
        Ok(Self(raw))
    }
}

fn check_bounds(raw: &QuorumSettings) -> Result<(), SettingsError> {
    let bounds = [
        ("voters_wanted", raw.voters_wanted > 0),
        ("voters_min", raw.voters_min <= raw.voters_wanted),
        ("members_max", raw.members_max >= raw.voters_wanted),
        (
            "removal_timeout_ms",
            raw.removal_timeout_ms > raw.election_timeout_max_ms,
        ),
        ("in_flight_entries", raw.in_flight_entries > 0),
        ("proposal_queue", raw.proposal_queue > 0),
        ("read_queue", raw.read_queue > 0),
        ("command_bytes_max", raw.command_bytes_max > 0),
        ("message_bytes_max", raw.message_bytes_max > 0),
        ("snapshot_chunk_bytes", raw.snapshot_chunk_bytes > 0),
        ("snapshot_bytes_max", raw.snapshot_bytes_max > 0),
        ("snapshot_entries", raw.snapshot_entries > 0),
        ("snapshot_log_bytes", raw.snapshot_log_bytes > 0),
        ("segment_bytes", raw.segment_bytes > 0),
    ];
    match bounds.iter().find(|(_, in_range)| !in_range) {
        Some((name, _)) => Err(SettingsError::Bound { name }),
        None => Ok(()),
    }
}
