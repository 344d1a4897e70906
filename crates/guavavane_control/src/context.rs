//! What the threads of a control replica share.

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

/// Longest wait for a commit or a read.
pub const QUORUM_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Margin of leases for clocks that run at different rates.
const DRIFT_MARGIN: Duration = Duration::from_millis(250);

/// Time without a poll after which an entry is no longer announced to.
const ENTRY_EXPIRY: Duration = Duration::from_millis(3_000);

/// A usage sample with the moment that it arrived.
#[derive(Clone, Debug)]
pub struct ArrivedSample {
    /// When the poll arrived.
    pub arrived: BootTime,
    /// The sample.
    pub report: UsageReport,
}

/// What only a leader knows; it starts anew with each term.
#[derive(Debug)]
pub struct LeaderMemory {
    /// The term.
    pub term: Term,
    /// Leases of workers.
    pub leases: LeaseTable,
    /// Entries that poll.
    pub entries: EntryRegistry,
    /// Share left to throttled attempts, in thousandths.
    pub throttles: IndexMap<TaskAttempt, u16>,
    /// Attempts reported as running, and since when.
    pub running: IndexMap<TaskAttempt, BootTime>,
    /// Usage samples for the scheduler.
    pub samples: Vec<ArrivedSample>,
}

/// Shared parts of a control replica.
pub struct ControlContext {
    /// Settings.
    pub settings: RunSettings,
    /// The replicated log.
    pub quorum: QuorumHandle<ControlState>,
    /// Client for calls to other replicas.
    pub client: CallClient,
    /// Metrics.
    pub metrics: MetricSink,
    memory: Mutex<Option<LeaderMemory>>,
}

impl ControlContext {
    /// Joins the parts.
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
            memory: Mutex::new(None),
        })
    }

    /// The current moment.
    pub fn now(&self) -> BootTime {
        BootClock.now()
    }

    /// This replica's view of the group, if it leads and no other can.
    pub fn leading(&self) -> Option<Arc<LeadershipView>> {
        let view = self.quorum.leadership();
        view.holds_lease(self.now()).then_some(view)
    }

    /// Runs `work` with the leader's memory; `None` if this replica does not lead.
    ///
    /// The memory of another term is dropped first.
    pub fn with_memory<R>(&self, work: impl FnOnce(&mut LeaderMemory) -> R) -> Option<R> {
        let view = self.leading()?;
        let led_since = view.led_since?;
        let mut memory = self.lock_memory();
        if memory.as_ref().is_none_or(|held| held.term != view.term) {
            *memory = Some(self.fresh_memory(view.term, led_since));
        }
        memory.as_mut().map(work)
    }

    fn fresh_memory(&self, term: Term, led_since: BootTime) -> LeaderMemory {
        LeaderMemory {
            term,
            leases: LeaseTable::new(led_since, self.settings.lease, DRIFT_MARGIN),
            entries: EntryRegistry::new(led_since, ENTRY_EXPIRY),
            throttles: IndexMap::new(),
            running: IndexMap::new(),
            samples: Vec::new(),
        }
    }

    fn lock_memory(&self) -> MutexGuard<'_, Option<LeaderMemory>> {
        self.memory
            .lock()
            .expect("no holder of the leader's memory panics")
    }

    /// Commits a command.
    ///
    /// # Errors
    ///
    /// Fails with what is told to the caller.
    pub fn propose(&self, command: ControlCommand) -> Result<ControlOutcome, ControlRefusal> {
        self.quorum
            .propose(command, QUORUM_TIMEOUT)
            .map_err(propose_refusal)
    }

    /// Reads the state, no older than this call.
    ///
    /// # Errors
    ///
    /// Fails with what is told to the caller.
    pub fn read<R>(&self, read: impl FnOnce(&ControlState) -> R) -> Result<R, ControlRefusal> {
        self.quorum.read(QUORUM_TIMEOUT, read).map_err(read_refusal)
    }

    /// The refusal of a replica that does not lead.
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
