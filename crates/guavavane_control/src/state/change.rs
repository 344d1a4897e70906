//! Changes of the replicated state, kept for the scheduler on this replica.
//!
//! The feed is not replicated and not part of a snapshot. A reader that fell behind, or whose
//! generation has passed because a snapshot was restored, rebuilds from the state itself.

use std::collections::VecDeque;

use crate::state::command::EndCause;
use guavavane_model::prelude::DataCentreName;
use guavavane_model::prelude::JobId;
use guavavane_model::prelude::TaskId;
use guavavane_model::prelude::WorkerName;
use guavavane_protocol::poll::TaskAttempt;

/// Most changes kept.
const FEED_MAX: usize = 65_536;

/// One change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StateChange {
    /// A worker appeared or changed.
    WorkerChanged(WorkerName),
    /// A worker is gone.
    WorkerForgotten(WorkerName),
    /// A data centre was taken out or brought back.
    DataCentreChanged(DataCentreName),
    /// Teams or their shares changed.
    TeamsChanged,
    /// A task waits for a worker.
    TaskPending(TaskId),
    /// A task is committed to a worker.
    TaskCommitted(TaskId),
    /// An attempt ended.
    AttemptEnded {
        /// The attempt.
        attempt: TaskAttempt,
        /// Worker that it was committed to.
        worker: WorkerName,
        /// How it ended.
        cause: EndCause,
        /// Whether its eviction was ordered.
        evicting: bool,
        /// Whether the task waits again.
        requeued: bool,
    },
    /// The spec of a service changed: its tasks are to be replaced.
    ServiceRevised(JobId),
    /// A task that waited is cancelled or given up.
    TaskDropped(TaskId),
}

/// Position of a reader.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FeedCursor {
    generation: u64,
    next: u64,
}

/// What a reader gets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FeedRead {
    /// The changes since the cursor.
    Changes(Vec<StateChange>),
    /// The changes since the cursor are no longer kept: the reader has to start from the state.
    CursorExpired,
}

/// The last changes of the state.
#[derive(Clone, Debug, Default)]
pub struct ChangeFeed {
    generation: u64,
    first: u64,
    changes: VecDeque<StateChange>,
}

impl ChangeFeed {
    /// An empty feed that makes every reader of an earlier one rebuild.
    pub fn after(earlier: &Self) -> Self {
        Self {
            generation: earlier.generation + 1,
            ..Self::default()
        }
    }

    /// Adds a change and drops the oldest beyond the bound.
    pub fn push(&mut self, change: StateChange) {
        if self.changes.len() == FEED_MAX {
            self.changes.pop_front();
            self.first += 1;
        }
        self.changes.push_back(change);
    }

    /// Cursor after the newest change.
    pub fn end(&self) -> FeedCursor {
        FeedCursor {
            generation: self.generation,
            next: self.first + self.changes.len() as u64,
        }
    }

    /// Changes since the cursor.
    pub fn read(&self, cursor: FeedCursor) -> FeedRead {
        let end = self.first + self.changes.len() as u64;
        if cursor.generation != self.generation || !(self.first..=end).contains(&cursor.next) {
            return FeedRead::CursorExpired;
        }
        let skipped = usize::try_from(cursor.next - self.first)
            .expect("the cursor lies within the feed, which is in memory");
        FeedRead::Changes(self.changes.iter().skip(skipped).cloned().collect())
    }
}
