//! Stores waiting and running tasks, and a bounded set of ended ones.

use std::collections::VecDeque;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::index::ShapeIndex;
use crate::index::WorkerIndex;
use crate::record::TaskAttempt;
use crate::shape::QueuePosition;
use guavavane_model::prelude::AttemptNumber;
use guavavane_model::prelude::BootTime;
use guavavane_model::prelude::JobId;
use guavavane_model::prelude::TaskId;

/// State of a task in the policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TaskState {
    /// Waits in the queue of its shape.
    Queued {
        /// Position in the queue.
        position: QueuePosition,
    },
    /// Waits for the end of its backoff after a failure.
    Delayed {
        /// End of the backoff.
        until: BootTime,
    },
    /// Waits for its victims to leave the worker on which it has a hold.
    Awaiting,
    /// Has an allocation on a worker.
    Placed {
        /// Worker of the current attempt.
        worker: WorkerIndex,
    },
}

/// A waiting or running task.
#[derive(Clone, Debug)]
pub(crate) struct TaskEntry {
    pub(crate) job: JobId,
    pub(crate) shape: ShapeIndex,
    /// Current attempt, which waits or runs.
    pub(crate) attempt: AttemptNumber,
    /// Highest attempt that was ever reserved or reported; a replacement's may exceed `attempt`.
    pub(crate) last_attempt: AttemptNumber,
    pub(crate) state: TaskState,
    pub(crate) expected_run_ms: u32,
    pub(crate) failures: u8,
    pub(crate) cancelled: bool,
}

impl TaskEntry {
    /// Returns the next attempt number, and records it as the highest.
    pub(crate) fn advance_attempt(&mut self) -> AttemptNumber {
        self.last_attempt = self.last_attempt.next();
        self.last_attempt
    }

    /// Raises the highest attempt to one that was reserved or reported.
    pub(crate) fn record_attempt(&mut self, attempt: AttemptNumber) {
        self.last_attempt = self.last_attempt.max(attempt);
    }

    pub(crate) fn attempt_of(&self, task: TaskId) -> TaskAttempt {
        TaskAttempt {
            task,
            attempt: self.attempt,
        }
    }
}

/// Waiting and running tasks, and the most recent ended ones.
#[derive(Debug)]
pub(crate) struct TaskTable {
    entries: IndexMap<TaskId, TaskEntry>,
    ended: IndexSet<TaskId>,
    ended_order: VecDeque<TaskId>,
    ended_max: usize,
}

impl TaskTable {
    pub(crate) fn new(ended_max: usize) -> Self {
        Self {
            entries: IndexMap::new(),
            ended: IndexSet::new(),
            ended_order: VecDeque::new(),
            ended_max: ended_max.max(1),
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(crate) fn get(&self, task: TaskId) -> Option<&TaskEntry> {
        self.entries.get(&task)
    }

    pub(crate) fn get_mut(&mut self, task: TaskId) -> Option<&mut TaskEntry> {
        self.entries.get_mut(&task)
    }

    pub(crate) fn insert(&mut self, task: TaskId, entry: TaskEntry) {
        self.entries.insert(task, entry);
    }

    pub(crate) fn remove(&mut self, task: TaskId) -> Option<TaskEntry> {
        self.entries.swap_remove(&task)
    }

    /// Whether a task is among the ended ones that are remembered.
    pub(crate) fn has_ended(&self, task: TaskId) -> bool {
        self.ended.contains(&task)
    }

    /// Remembers a task as ended; beyond the maximum, the oldest ended task is forgotten.
    pub(crate) fn remember_ended(&mut self, task: TaskId) {
        if !self.ended.insert(task) {
            return;
        }
        self.ended_order.push_back(task);
        if self.ended_order.len() <= self.ended_max {
            return;
        }
        if let Some(oldest) = self.ended_order.pop_front() {
            self.ended.swap_remove(&oldest);
        }
    }
}
