//! Settings of a replica, unchecked and checked.
//!
//! A leader lease is safe only if the `lease_ms` of the leader is shorter than the
//! `election_timeout_min_ms` of every follower.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use guavavane_model::identity::CellId;

/// Unchecked settings; [`CheckedSettings`] verifies their ranges.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuorumSettings {
    /// Cell that the group belongs to.
    pub cell: CellId,
    /// Address at which the other replicas reach this one.
    pub address: SocketAddr,
    /// Interval between two heartbeats of a leader, in milliseconds; at most half of the usable
    /// lease, which is `lease_ms` less `clock_drift_margin_ms`.
    pub heartbeat_ms: u64,
    /// Minimum election timeout, in milliseconds: followers grant no vote for this time after a
    /// message from a leader.
    pub election_timeout_min_ms: u64,
    /// Maximum election timeout, in milliseconds; each timeout is drawn at random from the range.
    pub election_timeout_max_ms: u64,
    /// Length of the leader's lease from the send time of its heartbeat, in milliseconds; shorter
    /// than `election_timeout_min_ms`.
    pub lease_ms: u64,
    /// Time by which the leader shortens its lease, since clocks run at different rates, in
    /// milliseconds.
    pub clock_drift_margin_ms: u64,
    /// Number of voters up to which the leader promotes learners.
    pub voters_wanted: usize,
    /// Minimum number of voters: the leader removes a silent voter only if there are more, so that
    /// its replacement becomes a voter first.
    pub voters_min: usize,
    /// Maximum number of members, voters and learners.
    pub members_max: usize,
    /// Time without an answer after which the leader removes a member, in milliseconds.
    pub removal_timeout_ms: u64,
    /// Maximum number of entries that a learner may lack when it is promoted.
    pub promotion_lag_entries: u64,
    /// Maximum number of uncommitted entries of a leader, and of entries sent to a member and not
    /// acknowledged.
    pub in_flight_entries: u64,
    /// Maximum number of requests that wait for the replica thread.
    pub proposal_queue: usize,
    /// Maximum number of reads that wait for a round of heartbeats.
    pub read_queue: usize,
    /// Maximum size of an encoded command, in bytes.
    pub command_bytes_max: usize,
    /// Maximum size of the entries in one message, in bytes; a single larger entry is still sent.
    pub message_bytes_max: usize,
    /// Size of a snapshot chunk, in bytes.
    pub snapshot_chunk_bytes: usize,
    /// Maximum size of a snapshot, in bytes; a replica refuses larger ones.
    pub snapshot_bytes_max: u64,
    /// Number of entries applied since the last snapshot after which the next one is taken.
    pub snapshot_entries: u64,
    /// Size of the entries applied since the last snapshot after which the next one is taken, in
    /// bytes.
    pub snapshot_log_bytes: u64,
    /// Number of entries that stay in memory although a snapshot covers them, so that followers
    /// that lag a little need no snapshot.
    pub trailing_entries: u64,
    /// Maximum size of these entries, in bytes; the oldest ones over it are dropped.
    pub trailing_bytes: u64,
    /// Size at which a log segment is closed, in bytes.
    pub segment_bytes: u64,
}

impl QuorumSettings {
    /// Returns the default settings of a replica at `address`.
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
            trailing_bytes: 4 << 20,
            segment_bytes: 8 << 20,
        }
    }

    pub(crate) fn heartbeat(&self) -> Duration {
        Duration::from_millis(self.heartbeat_ms)
    }

    pub(crate) fn election_timeout_min(&self) -> Duration {
        Duration::from_millis(self.election_timeout_min_ms)
    }

    /// Length of the lease less the clock drift margin.
    pub(crate) fn usable_lease(&self) -> Duration {
        Duration::from_millis(self.lease_ms.saturating_sub(self.clock_drift_margin_ms))
    }

    pub(crate) fn removal_timeout(&self) -> Duration {
        Duration::from_millis(self.removal_timeout_ms)
    }
}

/// Error of checking settings.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// The lease is too long: followers could elect another leader while it is valid.
    #[error("lease_ms {lease_ms} must be shorter than election_timeout_min_ms {election_ms}")]
    LeaseTooLong {
        /// Length of the lease, in milliseconds.
        lease_ms: u64,
        /// Minimum election timeout, in milliseconds.
        election_ms: u64,
    },
    /// The heartbeat interval is zero or too long: a leader could not renew its lease in time.
    #[error(
        "heartbeat_ms {heartbeat_ms} must be positive and at most half of lease_ms less its margin"
    )]
    HeartbeatTooLong {
        /// Heartbeat interval, in milliseconds.
        heartbeat_ms: u64,
    },
    /// The maximum election timeout does not exceed the minimum.
    #[error("election_timeout_max_ms must exceed election_timeout_min_ms")]
    ElectionTimeoutRange,
    /// A setting is zero or contradicts another.
    #[error("{name} is out of range")]
    OutOfRange {
        /// Name of the setting.
        name: &'static str,
    },
}

/// Settings whose ranges were checked.
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
            return Err(SettingsError::ElectionTimeoutRange);
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
        Some((name, _)) => Err(SettingsError::OutOfRange { name }),
        None => Ok(()),
    }
}
