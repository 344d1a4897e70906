//! Keeps the latest changes of the replicated state for the scheduler of this replica.
//!
//! The feed is neither replicated nor part of a snapshot. A reader has to start again from the
//! whole state if it fell behind, or if a restored snapshot has begun a new generation of the feed.

use std::collections::VecDeque;

use crate::state::command::AttemptOutcome;
use guavavane_model::prelude::DataCentreName;
use guavavane_model::prelude::JobId;
use guavavane_model::prelude::TaskId;
use guavavane_model::prelude::WorkerName;
use guavavane_protocol::poll::TaskAttempt;

/// Maximum number of changes that are kept.
const FEED_CHANGES_MAX: usize = 65_536;

/// A change of the replicated state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StateChange {
    /// A worker was added or changed.
    WorkerChanged(WorkerName),
    /// A worker was removed.
    WorkerForgotten(WorkerName),
    /// A data centre was taken out of service or brought back.
    DataCentreChanged(DataCentreName),
    /// Teams, their weights or their caps may have changed.
    TeamsChanged,
    /// A task waits for a worker.
    TaskPending(TaskId),
    /// A task was committed to a worker.
    TaskCommitted(TaskId),
    /// An attempt ended.
    AttemptEnded {
        /// The attempt.
        attempt: TaskAttempt,
        /// Worker that the attempt was committed to.
        worker: WorkerName,
        /// How the attempt ended.
        outcome: AttemptOutcome,
        /// Whether the eviction of the attempt was ordered.
        eviction_ordered: bool,
        /// Whether the task waits for a worker again.
        is_requeued: bool,
    },
    /// The spec of a service changed, so its tasks have to be replaced.
    ServiceRevised(JobId),
    /// A waiting task was cancelled or given up.
    TaskDropped(TaskId),
}

/// Position of a reader in the feed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FeedCursor {
    generation: u64,
    next: u64,
}

/// Result of a read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FeedRead {
    /// The changes since the cursor, oldest first.
    Changes(Vec<StateChange>),
    /// The changes since the cursor are no longer kept: the reader has to start from the state.
    CursorExpired,
}

/// Bounded buffer of the latest changes.
#[derive(Clone, Debug, Default)]
pub struct ChangeFeed {
    generation: u64,
    first: u64,
    changes: VecDeque<StateChange>,
}

impl ChangeFeed {
    /// Returns an empty feed of the next generation, in which cursors of `earlier` are expired.
    pub fn after(earlier: &Self) -> Self {
        Self {
            generation: earlier.generation + 1,
            ..Self::default()
        }
    }

    /// Adds a change and drops the oldest one if the feed is full.
    pub fn push(&mut self, change: StateChange) {
        if self.changes.len() == FEED_CHANGES_MAX {
            self.changes.pop_front();
            self.first += 1;
        }
        self.changes.push_back(change);
    }

    /// Returns the cursor after the newest change.
    pub fn end(&self) -> FeedCursor {
        FeedCursor {
            generation: self.generation,
            next: self.first + self.changes.len() as u64,
        }
    }

    /// Returns the changes since the cursor.
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
