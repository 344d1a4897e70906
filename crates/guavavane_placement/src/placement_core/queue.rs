//! Queues tasks by shape, and makes shapes ready, blocked or impossible.

use std::time::Duration;

use super::BackoffEntry;
use super::PlacementCore;
use crate::decision::ImpossibleDecision;
use crate::decision::PlacementDecision;
use crate::decision::ResourceShortage;
use crate::index::ShapeIndex;
use crate::record::TaskPriority;
use crate::shape::QueuePosition;
use crate::shape::ShapeKey;
use crate::shape::ShapeState;
use crate::task_table::TaskState;
use crate::team::ReadyShape;
use guavavane_model::prelude::BootTime;
use guavavane_model::prelude::ResourceVector;
use guavavane_model::prelude::TaskId;

/// End of a shape's queue at which a task enters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum QueueEnd {
    /// Before all new tasks, behind the tasks that were requeued earlier.
    Front,
    /// Behind all other tasks.
    Back,
}

impl PlacementCore {
    /// Adds a task to the queue of its shape; the task must be in no queue.
    pub(super) fn enqueue(&mut self, task: TaskId, end: QueueEnd) {
        let counter = match end {
            QueueEnd::Front => &mut self.next_front_position,
            QueueEnd::Back => &mut self.next_back_position,
        };
        let position = QueuePosition(*counter);
        *counter += 1;
        let entry = self.tasks.get_mut(task);
        let entry = entry.expect("only known tasks are queued");
        entry.state = TaskState::Queued { position };
        let shape = entry.shape;
        let was_empty = self.shapes.get(shape).queue.is_empty();
        self.shapes.get_mut(shape).queue.insert(position, task);
        match self.shapes.get(shape).state {
            ShapeState::Idle if was_empty => self.activate_shape(shape),
            ShapeState::Impossible => self.report_impossible(shape, task),
            _ => self.update_ready_head(shape),
        }
    }

    /// Removes a task from the queue of its shape.
    pub(super) fn dequeue(&mut self, task: TaskId) {
        let Some(entry) = self.tasks.get(task) else {
            return;
        };
        let TaskState::Queued { position } = entry.state else {
            return;
        };
        let shape = entry.shape;
        self.shapes.get_mut(shape).queue.remove(&position);
        self.update_ready_head(shape);
    }

    pub(super) fn start_backoff(&mut self, task: TaskId, until: BootTime) {
        self.backoffs.insert(BackoffEntry { until, task });
        if let Some(entry) = self.tasks.get_mut(task) {
            entry.state = TaskState::Delayed { until };
        }
    }

    /// Requeues up to `limit` tasks whose backoff has ended.
    pub(super) fn requeue_after_backoff(&mut self, now: BootTime, limit: usize) {
        for _ in 0..limit {
            let Some(first) = self.backoffs.first().copied() else {
                return;
            };
            if first.until > now {
                return;
            }
            self.backoffs.remove(&first);
            self.enqueue(first.task, QueueEnd::Back);
        }
    }

    /// Makes up to `limit` blocked shapes ready whose retry delay has ended.
    pub(super) fn retry_due_shapes(&mut self, now: BootTime, limit: usize) {
        for _ in 0..limit {
            let Some(shape) = self.shapes.first_due(now) else {
                return;
            };
            self.retry_shape(shape);
        }
    }

    /// Makes a shape ready, or reports its tasks as impossible.
    fn activate_shape(&mut self, shape: ShapeIndex) {
        let lacks = self.find_shortage(&self.shapes.get(shape).key);
        match lacks {
            Some(lacks) => self.mark_shape_impossible(shape, lacks),
            None => self.make_ready(shape),
        }
    }

    fn make_ready(&mut self, shape: ShapeIndex) {
        let entry = self.shapes.get_mut(shape);
        let Some(head) = entry.queue.keys().next().copied() else {
            entry.state = ShapeState::Idle;
            return;
        };
        entry.state = ShapeState::Ready { head };
        let key = entry.key;
        let class = key.class;
        let ready = ReadyShape { class, head, shape };
        self.teams.insert(key.team, key.priority, ready);
    }

    /// Removes a shape from the list of its state, and sets it idle.
    fn unlist_shape(&mut self, shape: ShapeIndex) {
        let entry = self.shapes.get_mut(shape);
        let key = entry.key;
        let state = entry.state;
        entry.state = ShapeState::Idle;
        match state {
            ShapeState::Ready { head } => {
                let class = key.class;
                let ready = ReadyShape { class, head, shape };
                self.teams.remove(key.team, key.priority, ready);
            }
            ShapeState::Blocked { until } => self.shapes.unblock(shape, until),
            ShapeState::Impossible => self.shapes.unmark_impossible(shape),
            ShapeState::Idle => {}
        }
    }

    /// Updates the team's ready queue after the head of a shape's queue may have changed.
    fn update_ready_head(&mut self, shape: ShapeIndex) {
        let entry = self.shapes.get(shape);
        let first = entry.queue.keys().next().copied();
        match (entry.state, first) {
            (ShapeState::Ready { head }, Some(first)) if head == first => {}
            (ShapeState::Ready { .. }, Some(_)) => {
                self.unlist_shape(shape);
                self.make_ready(shape);
            }
            (_, None) => self.unlist_shape(shape),
            (_, Some(_)) => {}
        }
    }

    /// Blocks a shape for a retry delay that doubles with each block, up to the maximum.
    pub(super) fn block_shape(&mut self, now: BootTime, shape: ShapeIndex) {
        self.unlist_shape(shape);
        let delay_max_ms = match self.shapes.get(shape).key.priority {
            TaskPriority::Urgent => self.settings.urgent_retry_delay_max_ms,
            TaskPriority::Normal => self.settings.retry_delay_max_ms,
        };
        let entry = self.shapes.get_mut(shape);
        let delay_ms = (entry.delay_ms * 2).max(self.settings.retry_delay_ms);
        entry.delay_ms = delay_ms.min(delay_max_ms);
        let until = now + Duration::from_millis(entry.delay_ms);
        self.shapes.block(shape, until);
    }

    pub(super) fn retry_shape(&mut self, shape: ShapeIndex) {
        self.unlist_shape(shape);
        self.make_ready(shape);
    }

    pub(super) fn mark_shape_impossible(&mut self, shape: ShapeIndex, lacks: ResourceShortage) {
        self.unlist_shape(shape);
        self.shapes.mark_impossible(shape);
        let queue = &self.shapes.get(shape).queue;
        let tasks: Vec<TaskId> = queue.values().copied().collect();
        for task in tasks {
            self.push_impossible(task, lacks);
        }
    }

    fn report_impossible(&mut self, shape: ShapeIndex, task: TaskId) {
        if let Some(lacks) = self.find_shortage(&self.shapes.get(shape).key) {
            self.push_impossible(task, lacks);
        }
    }

    fn push_impossible(&mut self, task: TaskId, lacks: ResourceShortage) {
        let Some(entry) = self.tasks.get(task) else {
            return;
        };
        let job = entry.job;
        let decision = ImpossibleDecision { task, job, lacks };
        self.pending_reports
            .push_back(PlacementDecision::ReportImpossible(decision));
    }

    /// Makes the impossible shapes ready that a worker could now take.
    pub(super) fn retry_impossible(&mut self) {
        for shape in self.shapes.impossible() {
            if self.find_shortage(&self.shapes.get(shape).key).is_none() {
                self.retry_shape(shape);
            }
        }
    }

    /// Resource by which a shape exceeds its team's cap or every worker of its data centres.
    pub(super) fn find_shortage(&self, key: &ShapeKey) -> Option<ResourceShortage> {
        let needed = key.demand;
        if let Some(cap) = self.teams.cap(key.team) {
            if !needed.fits_within(&cap) {
                return Some(ResourceShortage::TeamCap { needed, cap });
            }
        }
        let data_centres = key
            .data_centres
            .iter()
            .map(|data_centre| self.data_centres.get(data_centre));
        let mut largest = ResourceVector::ZERO;
        let mut has_workers = false;
        for capacity in data_centres.flat_map(|data_centre| data_centre.capacities()) {
            if needed.fits_within(capacity) {
                return None;
            }
            has_workers = true;
            largest.cpu_millis = largest.cpu_millis.max(capacity.cpu_millis);
            largest.memory_mib = largest.memory_mib.max(capacity.memory_mib);
            largest.accelerators = largest.accelerators.max(capacity.accelerators);
        }
        Some(classify_shortage(has_workers, needed, largest))
    }
}

fn classify_shortage(
    has_workers: bool,
    needed: ResourceVector,
    largest: ResourceVector,
) -> ResourceShortage {
    if !has_workers {
        return ResourceShortage::Workers;
    }
    if needed.accelerators > largest.accelerators {
        return ResourceShortage::Accelerators {
            needed: needed.accelerators,
            largest: largest.accelerators,
        };
    }
    if needed.memory_mib > largest.memory_mib {
        return ResourceShortage::Memory {
            needed: needed.memory_mib,
            largest: largest.memory_mib,
        };
    }
    if needed.cpu_millis > largest.cpu_millis {
        return ResourceShortage::Processors {
            needed: needed.cpu_millis,
            largest: largest.cpu_millis,
        };
    }
    ResourceShortage::Combination { needed }
}
