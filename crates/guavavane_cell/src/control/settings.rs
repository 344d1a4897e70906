//! Settings of a control process.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use flume::Sender;

use crate::limits_feed::LimitsReader;
use crate::timing::LeaseTiming;
use crate::worker_api::AdviceRequest;

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
    /// Memory that the process may use, in bytes; none if it is not bounded.
    pub memory_bytes: Option<usize>,
    /// Channel to the advice service; none where the platform has no such service.
    pub advice: Option<Sender<AdviceRequest>>,
    /// Derives the limits on callers' requests from the text of the configuration; none if entries get
    /// no limits.
    pub read_limits: Option<LimitsReader>,
}
