//! Tasks that wait or run, and a bounded memory of those that ended.

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

/// Where a task is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TaskState {
    /// In the queue of its shape.
    Queued {
        /// Its position there.
        position: QueuePosition,
    },
    /// Waits out its backoff.
    Delayed {
        /// End of the backoff.
        until: BootTime,
    },
    /// Waits for evicted tasks to leave the worker where room is held for it.
    Awaiting,
    /// Reserved or running on a worker.
    Placed {
        /// The worker.
        worker: WorkerIndex,
    },
}

/// A task.
#[derive(Clone, Debug)]
pub(crate) struct TaskEntry {
    pub(crate) job: JobId,
    pub(crate) shape: ShapeIndex,
    /// Attempt that waits or runs.
    pub(crate) attempt: AttemptNumber,
    /// Highest attempt that was ever reserved or reported.
    pub(crate) last_attempt: AttemptNumber,
    pub(crate) state: TaskState,
    pub(crate) expected_run_ms: u32,
    pub(crate) failures: u8,
    pub(crate) cancelled: bool,
}

impl TaskEntry {
    /// Takes the attempt that follows all others.
    pub(crate) fn advance_attempt(&mut self) -> AttemptNumber {
        self.last_attempt = self.last_attempt.next();
        self.last_attempt
    }

    /// Notes an attempt that was reserved or reported.
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

/// All tasks.
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

    /// Whether a task is remembered as ended.
    pub(crate) fn has_ended(&self, task: TaskId) -> bool {
        self.ended.contains(&task)
    }

    /// Remembers a task as ended, and forgets the one that ended longest ago if need be.
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
