//! Applies events about tasks.
//!
//! Late and duplicate events name an attempt that is no longer current and change nothing. A
//! placement that the replicated state has committed is adopted even if the policy decided
//! otherwise.

use super::allocation::Reservation;
use super::queue::QueueEnd;
use super::EventOutcome;
use super::IgnoredReason;
use super::KindKey;
use super::PendingReplacement;
use super::PlacementCore;
use super::UnconfirmedPlacement;
use crate::decision::DecisionNumber;
use crate::decision::EvictionCause;
use crate::event::ReleaseCause;
use crate::event::TaskPlacement;
use crate::event::TaskRelease;
use crate::event::TaskRestore;
use crate::index::DataCentreSet;
use crate::index::WorkerIndex;
use crate::record::TaskAttempt;
use crate::record::TaskRecord;
use crate::shape::ShapeKey;
use crate::task_table::TaskEntry;
use crate::task_table::TaskState;
use crate::worker_table::Allocation;
use guavavane_model::prelude::BootTime;
use guavavane_model::prelude::TaskId;

impl PlacementCore {
    pub(super) fn task_submitted(&mut self, record: TaskRecord) -> EventOutcome {
        if self.tasks.has_ended(record.id) {
            return EventOutcome::Ignored(IgnoredReason::Ended);
        }
        if let Some(entry) = self.tasks.get_mut(record.id) {
            return update_resubmitted(entry, &record);
        }
        let key = self.shape_key(&record);
        let shape = self.shapes.acquire(key);
        let entry = TaskEntry {
            job: record.job,
            shape,
            attempt: record.attempt,
            last_attempt: record.attempt,
            // `enqueue` sets the state below.
            state: TaskState::Awaiting,
            expected_run_ms: u32::try_from(record.expected_run_ms).unwrap_or(u32::MAX),
            failures: 0,
            cancelled: false,
        };
        self.tasks.insert(record.id, entry);
        self.enqueue(record.id, QueueEnd::Back);
        EventOutcome::Applied
    }

    /// Adds a task with every attempt that the replicated state has committed.
    pub(super) fn task_restored(&mut self, now: BootTime, restore: TaskRestore) -> EventOutcome {
        let task = restore.record.id;
        let outcome = self.task_submitted(restore.record);
        if outcome != EventOutcome::Applied {
            return outcome;
        }
        let mut placements = restore.placements;
        placements.sort_by_key(|placement| placement.attempt);
        // The attempt that stays is applied last and becomes the current one.
        placements.sort_by_key(|placement| !placement.evicting);
        for placement in &placements {
            self.apply_commitment(now, placement);
        }
        placements.pop();
        for placement in placements {
            let attempt = placement.attempt;
            if let Some(worker) = self.workers.find(&placement.worker) {
                let attempt = TaskAttempt { task, attempt };
                self.order_eviction(worker, attempt, EvictionCause::DataCentreOut);
            }
        }
        EventOutcome::Applied
    }

    fn shape_key(&mut self, record: &TaskRecord) -> ShapeKey {
        let mut data_centres = DataCentreSet::default();
        for name in record.data_centres.iter() {
            if let Some(data_centre) = self.data_centres.intern(name) {
                data_centres.insert(data_centre);
            }
        }
        let kind = KindKey {
            kind: record.kind.clone(),
            class: record.class,
        };
        ShapeKey {
            team: self.teams.intern(&record.team),
            kind: self.kinds.intern(&kind),
            class: record.class,
            priority: record.priority,
            exclusive: record.exclusive,
            demand: record.demand,
            data_centres,
        }
    }

    pub(super) fn task_cancelled(&mut self, task: TaskId) -> EventOutcome {
        if self.tasks.has_ended(task) {
            return EventOutcome::Ignored(IgnoredReason::Duplicate);
        }
        let Some(entry) = self.tasks.get_mut(task) else {
            self.tasks.remember_ended(task);
            return EventOutcome::Applied;
        };
        if entry.cancelled {
            return EventOutcome::Ignored(IgnoredReason::Duplicate);
        }
        entry.cancelled = true;
        let state = entry.state;
        self.drop_hold(task);
        if !matches!(state, TaskState::Placed { .. }) {
            self.end_task(task);
        }
        EventOutcome::Applied
    }

    /// Forgets a task; its committed attempts stay allocated until they are released.
    pub(super) fn end_task(&mut self, task: TaskId) {
        self.remove_from_waiting(task);
        self.replacements.swap_remove(&task);
        self.tasks.remember_ended(task);
        if let Some(entry) = self.tasks.remove(task) {
            self.shapes.release(entry.shape);
        }
    }

    /// Removes a task from its queue, backoff or hold.
    fn remove_from_waiting(&mut self, task: TaskId) {
        self.drop_hold(task);
        self.dequeue(task);
        let state = self.tasks.get(task).map(|entry| entry.state);
        if let Some(TaskState::Delayed { until }) = state {
            self.backoffs.remove(&super::BackoffEntry { until, task });
        }
    }

    pub(super) fn placement_committed(
        &mut self,
        now: BootTime,
        placement: &TaskPlacement,
    ) -> EventOutcome {
        let attempt = TaskAttempt {
            task: placement.task,
            attempt: placement.attempt,
        };
        if let Some(worker) = self.workers.find(&placement.worker) {
            if let Some(allocation) = self.workers.get(worker).allocation(attempt) {
                let number = allocation.unconfirmed;
                return self.confirm_allocation(worker, attempt, number);
            }
        }
        let Some(entry) = self.tasks.get(placement.task) else {
            return EventOutcome::Ignored(match self.tasks.has_ended(placement.task) {
                true => IgnoredReason::Ended,
                false => IgnoredReason::UnknownTask,
            });
        };
        if placement.attempt < entry.last_attempt {
            return EventOutcome::Ignored(IgnoredReason::Stale);
        }
        if let TaskState::Placed { worker } = entry.state {
            return self.replace_commitment(now, worker, placement, attempt);
        }
        self.apply_commitment(now, placement)
    }

    /// Confirms the allocation of an attempt, and evicts the attempt if it is not the current one.
    fn confirm_allocation(
        &mut self,
        worker: WorkerIndex,
        attempt: TaskAttempt,
        number: Option<DecisionNumber>,
    ) -> EventOutcome {
        let Some(number) = number else {
            return EventOutcome::Ignored(IgnoredReason::Duplicate);
        };
        self.unconfirmed.swap_remove(&number);
        self.workers
            .update_allocation(worker, attempt, |allocation| allocation.unconfirmed = None);
        self.activate_replacement(worker, attempt);
        let current = self.tasks.get(attempt.task);
        let is_current = current.is_some_and(|entry| entry.attempt == attempt.attempt);
        if !is_current {
            self.order_eviction(worker, attempt, EvictionCause::DataCentreOut);
        }
        EventOutcome::Applied
    }

    /// Makes a confirmed replacement the current attempt, and evicts the replaced attempt.
    fn activate_replacement(&mut self, worker: WorkerIndex, attempt: TaskAttempt) {
        let Some(replacement) = self.replacements.get(&attempt.task) else {
            return;
        };
        if replacement.attempt != attempt.attempt {
            return;
        }
        self.replacements.swap_remove(&attempt.task);
        let Some(entry) = self.tasks.get_mut(attempt.task) else {
            return;
        };
        let old = entry.attempt_of(attempt.task);
        let state = entry.state;
        entry.attempt = attempt.attempt;
        entry.state = TaskState::Placed { worker };
        if let TaskState::Placed { worker } = state {
            self.order_eviction(worker, old, EvictionCause::DataCentreOut);
        }
    }

    /// Applies a committed placement of a task that the policy has placed on another worker.
    fn replace_commitment(
        &mut self,
        now: BootTime,
        worker: WorkerIndex,
        placement: &TaskPlacement,
        attempt: TaskAttempt,
    ) -> EventOutcome {
        let entry = self.tasks.get(attempt.task);
        let entry = entry.expect("the caller found the task");
        let old = entry.attempt_of(attempt.task);
        let last_attempt = entry.last_attempt;
        let allocation = self.workers.get(worker).allocation(old);
        let confirmed = allocation.is_some_and(|allocation| allocation.unconfirmed.is_none());
        if !confirmed {
            self.release_allocation(now, worker, old);
            return self.apply_commitment(now, placement);
        }
        if attempt.attempt <= last_attempt {
            return EventOutcome::Ignored(IgnoredReason::Conflict);
        }
        // Both attempts are committed, so the older one was being replaced.
        let outcome = self.apply_commitment(now, placement);
        self.order_eviction(worker, old, EvictionCause::DataCentreOut);
        outcome
    }

    /// Allocates the worker that the replicated state has committed to an attempt.
    fn apply_commitment(&mut self, now: BootTime, placement: &TaskPlacement) -> EventOutcome {
        let attempt = TaskAttempt {
            task: placement.task,
            attempt: placement.attempt,
        };
        let name = &placement.worker;
        self.remove_from_waiting(attempt.task);
        self.release_replacement(now, attempt.task);
        let entry = self.tasks.get(attempt.task);
        let shape = entry.expect("the caller found the task").shape;
        let key = self.shapes.get(shape).key;
        let known = self.workers.find(name);
        let worker = known.or_else(|| {
            let data_centre = key.data_centres.iter().next()?;
            self.add_unknown_worker(name, data_centre)
        });
        let Some(worker) = worker else {
            self.enqueue(attempt.task, QueueEnd::Front);
            return EventOutcome::Ignored(IgnoredReason::UnknownWorker);
        };
        let reservation = Reservation {
            task: attempt.task,
            attempt: attempt.attempt,
            shape,
            worker,
            reserved: placement.reserved,
            unconfirmed: None,
            evicting: placement.evicting,
            since: BootTime::from_millis(now.as_millis().saturating_sub(placement.ran_ms)),
        };
        self.reserve(reservation);
        if let Some(entry) = self.tasks.get_mut(attempt.task) {
            entry.attempt = attempt.attempt;
            entry.record_attempt(attempt.attempt);
            entry.state = TaskState::Placed { worker };
        }
        self.mark_if_overcommitted(worker);
        self.holds_changed = true;
        EventOutcome::Applied
    }

    pub(super) fn task_released(&mut self, now: BootTime, release: &TaskRelease) -> EventOutcome {
        let attempt = TaskAttempt {
            task: release.task,
            attempt: release.attempt,
        };
        let Some(worker) = self.workers.find(&release.worker) else {
            return EventOutcome::Ignored(IgnoredReason::UnknownWorker);
        };
        let Some(allocation) = self.release_allocation(now, worker, attempt) else {
            return EventOutcome::Ignored(IgnoredReason::Duplicate);
        };
        let Some(entry) = self.tasks.get(release.task) else {
            return EventOutcome::Applied;
        };
        let is_current = entry.attempt == release.attempt;
        let is_over = entry.cancelled
            || matches!(
                release.cause,
                ReleaseCause::Finished | ReleaseCause::Stopped
            );
        let is_replaced = release.attempt < entry.attempt;
        match is_current {
            _ if is_over && !is_replaced => {
                self.complete_task(now, worker, &allocation, release.cause)
            }
            true => self.requeue(now, worker, &allocation, release.cause),
            false => self.forget_replacement(attempt),
        }
        EventOutcome::Applied
    }

    fn complete_task(
        &mut self,
        now: BootTime,
        worker: WorkerIndex,
        allocation: &Allocation,
        cause: ReleaseCause,
    ) {
        if cause == ReleaseCause::Finished {
            self.record_success(now, worker, allocation);
        }
        let entry = self.tasks.get(allocation.task);
        let current = entry.map(|entry| (entry.state, entry.attempt_of(allocation.task)));
        self.end_task(allocation.task);
        // If the replacement ended first, the attempt that it was to replace still runs.
        if let Some((TaskState::Placed { worker }, attempt)) = current {
            self.order_eviction(worker, attempt, EvictionCause::DataCentreOut);
        }
    }

    fn forget_replacement(&mut self, attempt: TaskAttempt) {
        let replacement = self.replacements.get(&attempt.task);
        if replacement.is_some_and(|replacement| replacement.attempt == attempt.attempt) {
            self.replacements.swap_remove(&attempt.task);
        }
    }

    /// Releases a replacement that a committed placement supersedes.
    fn release_replacement(&mut self, now: BootTime, task: TaskId) {
        let Some(replacement) = self.replacements.swap_remove(&task) else {
            return;
        };
        let attempt = TaskAttempt {
            task,
            attempt: replacement.attempt,
        };
        self.release_allocation(now, replacement.worker, attempt);
    }

    /// Requeues a task whose current attempt ended, or makes its replacement the current attempt.
    fn requeue(
        &mut self,
        now: BootTime,
        worker: WorkerIndex,
        allocation: &Allocation,
        cause: ReleaseCause,
    ) {
        let task = allocation.task;
        if let Some(replacement) = self.replacements.swap_remove(&task) {
            self.promote_replacement(task, replacement);
            return;
        }
        self.drop_hold(task);
        if let Some(entry) = self.tasks.get_mut(task) {
            entry.attempt = entry.advance_attempt();
        }
        if cause == ReleaseCause::FailedOnWorker {
            self.handle_failure(now, worker, task);
            return;
        }
        self.enqueue(task, QueueEnd::Front);
    }

    fn promote_replacement(&mut self, task: TaskId, replacement: PendingReplacement) {
        if let Some(entry) = self.tasks.get_mut(task) {
            entry.attempt = replacement.attempt;
            entry.state = TaskState::Placed {
                worker: replacement.worker,
            };
        }
    }

    pub(super) fn placement_rejected(
        &mut self,
        now: BootTime,
        number: DecisionNumber,
    ) -> EventOutcome {
        let Some(place) = self.unconfirmed.get(&number).copied() else {
            return EventOutcome::Ignored(IgnoredReason::Stale);
        };
        let UnconfirmedPlacement { worker, attempt } = place;
        self.release_allocation(now, worker, attempt);
        self.forget_replacement(attempt);
        let Some(entry) = self.tasks.get(attempt.task) else {
            return EventOutcome::Applied;
        };
        let was_current = entry.state == TaskState::Placed { worker };
        if was_current && entry.attempt == attempt.attempt {
            match entry.cancelled {
                true => self.end_task(attempt.task),
                false => self.enqueue(attempt.task, QueueEnd::Front),
            }
        }
        EventOutcome::Applied
    }
}

/// Updates the attempt of a waiting task that was submitted again.
fn update_resubmitted(entry: &mut TaskEntry, record: &TaskRecord) -> EventOutcome {
    if record.attempt <= entry.last_attempt {
        return EventOutcome::Ignored(IgnoredReason::Duplicate);
    }
    if let TaskState::Placed { .. } = entry.state {
        return EventOutcome::Ignored(IgnoredReason::Conflict);
    }
    entry.attempt = record.attempt;
    entry.last_attempt = record.attempt;
    EventOutcome::Applied
}
