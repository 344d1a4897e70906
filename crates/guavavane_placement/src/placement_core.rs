//! Applies events of the replicated state and computes placement decisions.
//!
//! The policy is a deterministic state machine without input or output of its own: the same
//! seed, events and times give the same decisions. Events update allocations and queues at
//! once. Decisions are made only by a scheduling pass, [`PlacementCore::run_pass`], whose work is
//! bounded by its budget and does not grow with the number of workers and tasks.

use std::collections::BTreeSet;
use std::collections::VecDeque;

use indexmap::IndexMap;
use indexmap::IndexSet;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use serde::Serialize;

use crate::allocation_history::AllocationHistory;
use crate::data_centre::DataCentreTable;
use crate::decision::DecisionNumber;
use crate::decision::PlacementDecision;
use crate::event::PlacementEvent;
use crate::failure_history::FailureHistory;
use crate::index::DataCentreIndex;
use crate::index::KindIndex;
use crate::index::NameTable;
use crate::index::RackIndex;
use crate::index::WorkerIndex;
use crate::interference::InterferenceEstimates;
use crate::interference::NeighbourShare;
use crate::record::TaskAttempt;
use crate::record::TaskClass;
use crate::record::WorkloadKind;
use crate::settings::PlacementSettings;
use crate::shape::ShapeTable;
use crate::size_estimate::SizeEstimates;
use crate::slowdown_hysteresis::SlowdownTable;
use crate::task_table::TaskTable;
use crate::team::TeamTable;
use crate::token_bucket::TokenBucket;
use crate::worker_table::WorkerTable;
use guavavane_model::prelude::AttemptNumber;
use guavavane_model::prelude::BootTime;
use guavavane_model::prelude::RackName;
use guavavane_model::prelude::ResourceVector;
use guavavane_model::prelude::TaskId;
use guavavane_model::prelude::WorkerName;

mod allocation;
mod drain;
mod failure;
mod preempt;
mod queue;
mod sample_event;
mod scheduling_pass;
mod score;
mod search;
mod task_event;
mod worker_event;

/// Effect of an event on the policy's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EventOutcome {
    /// The event changed the state.
    Applied,
    /// The event changed nothing.
    Ignored(IgnoredReason),
}

/// Why an event changed nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum IgnoredReason {
    /// The state already reflects the event.
    Duplicate,
    /// The event names an attempt or a decision that is no longer current.
    Stale,
    /// The task has ended or was cancelled.
    Ended,
    /// The task is not known.
    UnknownTask,
    /// The worker is not known.
    UnknownWorker,
    /// The cell already has 64 data centres, the most that it can have.
    TooManyDataCentres,
    /// The latency sample is of a batch task, or interference estimates are switched off.
    Unused,
    /// The same attempt is committed to another worker.
    Conflict,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct RackKey {
    data_centre: DataCentreIndex,
    name: RackName,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct KindKey {
    kind: WorkloadKind,
    class: TaskClass,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum FailureDomain {
    Rack(RackIndex),
    DataCentre(DataCentreIndex),
    Cell,
}

/// Key of the number of service replicas of a workload in a failure domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct ReplicaCountKey {
    kind: KindIndex,
    domain: FailureDomain,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct BackoffEntry {
    until: BootTime,
    task: TaskId,
}

/// Second attempt of a service task; the first one is evicted once this one is committed.
#[derive(Clone, Copy, Debug)]
struct PendingReplacement {
    worker: WorkerIndex,
    attempt: AttemptNumber,
}

/// Allocation that the replicated state has neither committed nor rejected.
#[derive(Clone, Copy, Debug)]
struct UnconfirmedPlacement {
    worker: WorkerIndex,
    attempt: TaskAttempt,
}

/// Capacity held for a preempting task until its victims have left the worker.
#[derive(Clone, Copy, Debug)]
struct CapacityHold {
    worker: WorkerIndex,
    reserved: ResourceVector,
    /// Worker of the running attempt, if the held capacity is for its replacement.
    replaces: Option<WorkerIndex>,
}

/// Previous latency sample of a service task; the next one is compared with it.
#[derive(Clone, Debug)]
struct LastSample {
    worker: WorkerIndex,
    until: BootTime,
    load_permille: u32,
    excess: f32,
    neighbours: Vec<NeighbourShare>,
}

/// Placement policy of one cell; runs on the leader only.
#[derive(Debug)]
pub struct PlacementCore {
    settings: PlacementSettings,
    rng: ChaCha8Rng,
    data_centres: DataCentreTable,
    racks: NameTable<RackKey, RackIndex>,
    kinds: NameTable<KindKey, KindIndex>,
    teams: TeamTable,
    shapes: ShapeTable,
    tasks: TaskTable,
    workers: WorkerTable,
    failures: FailureHistory,
    sizes: SizeEstimates,
    interference: InterferenceEstimates,
    history: AllocationHistory,
    slowdowns: SlowdownTable,
    /// Previous sample of each service task, for fitting estimates to changes.
    last_samples: IndexMap<TaskId, LastSample>,
    eviction_bucket: TokenBucket,
    replica_counts: IndexMap<ReplicaCountKey, u32>,
    backoffs: BTreeSet<BackoffEntry>,
    replacements: IndexMap<TaskId, PendingReplacement>,
    /// Allocations that the replicated state has neither committed nor rejected.
    unconfirmed: IndexMap<DecisionNumber, UnconfirmedPlacement>,
    holds: IndexMap<TaskId, CapacityHold>,
    /// Whether the capacity of a hold may have become free or unattainable.
    holds_changed: bool,
    overcommitted: IndexSet<WorkerIndex>,
    /// Placements, evictions and throttles to return from the next passes.
    pending_decisions: VecDeque<PlacementDecision>,
    /// Reports of impossible and given-up tasks and of quarantines, for the next passes to return.
    pending_reports: VecDeque<PlacementDecision>,
    next_front_position: u64,
    next_back_position: u64,
    next_decision: u64,
}

/// First queue position of new tasks; requeued tasks get lower positions and go first.
const BACK_POSITION_MIN: u64 = 1 << 63;

impl PlacementCore {
    /// Creates a policy without workers and tasks; `seed` determines all random choices.
    pub fn new(settings: PlacementSettings, seed: u64) -> Self {
        let tasks = TaskTable::new(settings.ended_tasks_max);
        let interference = InterferenceEstimates::new(&settings);
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let next_decision = rng.random_range(0..u64::MAX / 2);
        Self {
            settings,
            rng,
            data_centres: DataCentreTable::new(),
            racks: NameTable::new(),
            kinds: NameTable::new(),
            teams: TeamTable::new(),
            shapes: ShapeTable::default(),
            tasks,
            workers: WorkerTable::default(),
            failures: FailureHistory::default(),
            sizes: SizeEstimates::default(),
            interference,
            history: AllocationHistory::default(),
            slowdowns: SlowdownTable::default(),
            last_samples: IndexMap::new(),
            eviction_bucket: TokenBucket::new(BootTime::default()),
            replica_counts: IndexMap::new(),
            backoffs: BTreeSet::new(),
            replacements: IndexMap::new(),
            unconfirmed: IndexMap::new(),
            holds: IndexMap::new(),
            holds_changed: false,
            overcommitted: IndexSet::new(),
            pending_decisions: VecDeque::new(),
            pending_reports: VecDeque::new(),
            next_front_position: 0,
            next_back_position: BACK_POSITION_MIN,
            next_decision,
        }
    }

    /// Applies one event at `now` on the leader's clock; returns whether it changed the state.
    pub fn apply_event(&mut self, now: BootTime, event: PlacementEvent) -> EventOutcome {
        match event {
            PlacementEvent::WorkerUp(record) => self.worker_up(record),
            PlacementEvent::WorkerChanged(record) => self.worker_up(record),
            PlacementEvent::WorkerGone(name) => self.worker_gone(&name),
            PlacementEvent::DataCentreOut(name) => self.data_centre_out(&name),
            PlacementEvent::DataCentreBack(name) => self.data_centre_back(now, &name),
            PlacementEvent::QuotaSet(quota) => self.quota_set(&quota),
            PlacementEvent::TaskSubmitted(record) => self.task_submitted(record),
            PlacementEvent::TaskRestored(restore) => self.task_restored(now, restore),
            PlacementEvent::TaskCancelled(task) => self.task_cancelled(task),
            PlacementEvent::PlacementCommitted(placement) => {
                self.placement_committed(now, &placement)
            }
            PlacementEvent::TaskReleased(release) => self.task_released(now, &release),
            PlacementEvent::PlacementRejected(number) => self.placement_rejected(now, number),
            PlacementEvent::UsageSample(sample) => self.usage_sample(&sample),
            PlacementEvent::LatencySample(sample) => self.latency_sample(now, &sample),
        }
    }

    /// Number of tasks that wait or run.
    pub fn task_count(&self) -> usize {
        self.tasks.len()
    }

    /// Number of workers that have joined and not left.
    pub fn worker_count(&self) -> usize {
        self.workers.present_count()
    }

    /// Sum of the reservations on a worker, or `None` for an unknown worker.
    pub fn committed(&self, name: &WorkerName) -> Option<ResourceVector> {
        let worker = self.workers.find(name)?;
        Some(*self.workers.get(worker).committed())
    }
}
