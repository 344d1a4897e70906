//! Holds the state that the threads of a control replica share.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use indexmap::IndexMap;

use crate::entry_registry::EntryRegistry;
use crate::lease::LeaseTable;
use crate::settings::RunSettings;
use crate::state::command::ControlCommand;
use crate::state::command::ControlOutcome;
use crate::state::ControlState;
use guavavane_daemon::prelude::MetricSink;
use guavavane_model::prelude::BootClock;
use guavavane_model::prelude::BootTime;
use guavavane_protocol::poll::TaskAttempt;
use guavavane_protocol::poll::UsageReport;
use guavavane_protocol::replica::ControlRefusal;
use guavavane_quorum::prelude::LeadershipView;
use guavavane_quorum::prelude::ProposeError;
use guavavane_quorum::prelude::QuorumHandle;
use guavavane_quorum::prelude::ReadError;
use guavavane_quorum::prelude::ReplicaMember;
use guavavane_quorum::prelude::Term;
use guavavane_transport::prelude::CallClient;

/// Timeout of a commit or a read.
pub const QUORUM_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Time that the leader adds to leases, since its clock and the worker's may run at different
/// rates.
const CLOCK_DRIFT_MARGIN: Duration = Duration::from_millis(250);

/// Time without a poll after which an entry leaves the directory that agents announce to.
const ENTRY_EXPIRY: Duration = Duration::from_millis(3_000);

/// A usage sample with its arrival time.
#[derive(Clone, Debug)]
pub struct ReceivedSample {
    /// When the poll with the sample arrived.
    pub received_at: BootTime,
    /// The sample.
    pub report: UsageReport,
}

/// State that only the leader keeps. It is not replicated and starts empty with each term.
#[derive(Debug)]
pub struct LeaderState {
    /// Term of the leadership.
    pub term: Term,
    /// Leases of workers.
    pub leases: LeaseTable,
    /// Entries that have polled this leader.
    pub entries: EntryRegistry,
    /// CPU share of throttled attempts, in thousandths of their reservation.
    pub throttles: IndexMap<TaskAttempt, u16>,
    /// When each attempt was first reported as running.
    pub running_since: IndexMap<TaskAttempt, BootTime>,
    /// Usage samples that the scheduler has not taken yet.
    pub samples: Vec<ReceivedSample>,
}

/// Shared state of a control replica.
pub struct ControlContext {
    /// Settings of the replica.
    pub settings: RunSettings,
    /// Handle of the replicated log and state.
    pub quorum: QuorumHandle<ControlState>,
    /// Client for calls to other replicas.
    pub client: CallClient,
    /// Sink of the daemon's metrics.
    pub metrics: MetricSink,
    leader_state: Mutex<Option<LeaderState>>,
}

impl ControlContext {
    /// Creates the context of a replica that does not lead yet.
    pub fn new(
        settings: RunSettings,
        quorum: QuorumHandle<ControlState>,
        client: CallClient,
        metrics: MetricSink,
    ) -> Arc<Self> {
        Arc::new(Self {
            settings,
            quorum,
            client,
            metrics,
            leader_state: Mutex::new(None),
        })
    }

    /// Returns the current time since boot.
    pub fn now(&self) -> BootTime {
        BootClock.now()
    }

    /// Returns the view of the group while this replica holds the leader lease, so that no other
    /// replica can lead.
    pub fn confirmed_leadership(&self) -> Option<Arc<LeadershipView>> {
        let view = self.quorum.leadership();
        view.holds_lease(self.now()).then_some(view)
    }

    /// Runs `operation` on the leader's state; returns `None` if this replica does not lead.
    ///
    /// State of another term is discarded first.
    pub fn with_leader_state<R>(&self, operation: impl FnOnce(&mut LeaderState) -> R) -> Option<R> {
        let view = self.confirmed_leadership()?;
        let led_since = view.led_since?;
        let mut leader_state = self.lock_leader_state();
        if leader_state
            .as_ref()
            .is_none_or(|current| current.term != view.term)
        {
            *leader_state = Some(self.new_leader_state(view.term, led_since));
        }
        leader_state.as_mut().map(operation)
    }

    fn new_leader_state(&self, term: Term, led_since: BootTime) -> LeaderState {
        LeaderState {
            term,
            leases: LeaseTable::new(led_since, self.settings.lease_duration, CLOCK_DRIFT_MARGIN),
            entries: EntryRegistry::new(led_since, ENTRY_EXPIRY),
            throttles: IndexMap::new(),
            running_since: IndexMap::new(),
            samples: Vec::new(),
        }
    }

    fn lock_leader_state(&self) -> MutexGuard<'_, Option<LeaderState>> {
        self.leader_state
            .lock()
            .expect("no thread panics while it holds the leader's state")
    }

    /// Commits a command and returns its outcome.
    ///
    /// # Errors
    ///
    /// Returns the refusal to send to the calling process.
    pub fn propose(&self, command: ControlCommand) -> Result<ControlOutcome, ControlRefusal> {
        self.quorum
            .propose(command, QUORUM_TIMEOUT)
            .map_err(propose_refusal)
    }

    /// Reads the replicated state; the read is linearizable and sees all earlier commits.
    ///
    /// # Errors
    ///
    /// Returns the refusal to send to the calling process.
    pub fn read<R>(&self, read: impl FnOnce(&ControlState) -> R) -> Result<R, ControlRefusal> {
        self.quorum.read(QUORUM_TIMEOUT, read).map_err(read_refusal)
    }

    /// Returns the refusal of a replica that does not lead, with the leader's address if known.
    pub fn not_leader(&self) -> ControlRefusal {
        ControlRefusal::NotLeader {
            leader: leader_address(self.quorum.leadership().leader),
        }
    }
}

fn leader_address(leader: Option<ReplicaMember>) -> Option<SocketAddr> {
    leader.map(|member| member.address)
}

fn propose_refusal(error: ProposeError) -> ControlRefusal {
    match error {
        ProposeError::NotLeader { leader } => ControlRefusal::NotLeader {
            leader: leader_address(leader),
        },
        ProposeError::Overloaded => ControlRefusal::Overloaded,
        ProposeError::Unknown => ControlRefusal::Unknown,
        ProposeError::TooLarge { .. } | ProposeError::StorageFailed | ProposeError::Stopped => {
            ControlRefusal::Unavailable
        }
    }
}

fn read_refusal(error: ReadError) -> ControlRefusal {
    match error {
        ReadError::NotLeader { leader } => ControlRefusal::NotLeader {
            leader: leader_address(leader),
        },
        ReadError::Overloaded => ControlRefusal::Overloaded,
        ReadError::TimedOut | ReadError::StorageFailed | ReadError::Stopped => {
            ControlRefusal::Unavailable
        }
    }
}
