//! Runs a scheduling pass.
//!
//! A pass places tasks with held capacity first, then urgent tasks; it then evicts from
//! overcommitted workers, drains data centres that are out of service, and places all other
//! tasks in the order of fair shares.

use super::allocation::Reservation;
use super::preempt::CapacityRequest;
use super::score::ScoreRequest;
use super::score::ScoredIndex;
use super::search::SearchIndex;
use super::search::WorkerSearch;
use super::PendingReplacement;
use super::PlacementCore;
use crate::decision::DecisionNumber;
use crate::decision::EvictDecision;
use crate::decision::EvictionCause;
use crate::decision::PlaceDecision;
use crate::decision::PlaceReason;
use crate::decision::PlacementDecision;
use crate::decision::ScoreBreakdown;
use crate::index::ShapeIndex;
use crate::index::WorkerIndex;
use crate::record::TaskAttempt;
use crate::record::TaskClass;
use crate::record::TaskPriority;
use crate::shape::ShapeKey;
use crate::shape::ShapeState;
use crate::task_table::TaskState;
use guavavane_model::prelude::BootTime;
use guavavane_model::prelude::ResourceVector;
use guavavane_model::prelude::TaskId;

/// Minimum number of shapes that may fail to place before a pass goes on to its next step.
const FAILED_TRIES_MIN: usize = 64;

/// Chosen placement of a task, not yet reserved.
#[derive(Debug)]
pub(super) struct PlacementChoice {
    pub(super) task: TaskId,
    pub(super) shape: ShapeIndex,
    pub(super) worker: WorkerIndex,
    pub(super) reserved: ResourceVector,
    pub(super) reason: PlaceReason,
    pub(super) score: ScoreBreakdown,
    pub(super) candidates: Vec<ScoredIndex>,
}

impl PlacementCore {
    /// Runs one scheduling pass.
    ///
    /// Returns at most `budget` placements, evictions and throttles, and at most `budget` reports;
    /// the next passes return what is left over.
    pub fn run_pass(&mut self, now: BootTime, budget: usize) -> Vec<PlacementDecision> {
        let budget = budget.max(1);
        self.start_pass(now, budget);
        self.place_held_tasks(now, budget);
        self.place_waiting(now, TaskPriority::Urgent, budget);
        self.evict_overcommitted(now);
        self.drain_data_centres(now, budget);
        self.place_waiting(now, TaskPriority::Normal, budget);
        let decision_count = self.pending_decisions.len().min(budget);
        let mut decisions: Vec<PlacementDecision> =
            self.pending_decisions.drain(..decision_count).collect();
        let report_count = self.pending_reports.len().min(budget);
        let reports: Vec<PlacementDecision> = self.pending_reports.drain(..report_count).collect();
        let current_reports = reports
            .into_iter()
            .filter(|report| self.is_report_current(report));
        decisions.extend(current_reports);
        decisions
    }

    /// Whether a report still holds after the events since it was queued.
    fn is_report_current(&self, report: &PlacementDecision) -> bool {
        let PlacementDecision::ReportImpossible(report) = report else {
            return true;
        };
        let entry = self.tasks.get(report.task);
        entry.is_some_and(|entry| self.shapes.get(entry.shape).state == ShapeState::Impossible)
    }

    fn start_pass(&mut self, now: BootTime, budget: usize) {
        self.data_centres.refill(now, &self.settings);
        self.teams.refresh_ranks();
        self.end_quarantines(now);
        self.requeue_after_backoff(now, budget.max(FAILED_TRIES_MIN));
        self.retry_due_shapes(now, budget.max(FAILED_TRIES_MIN));
    }

    fn has_budget(&self, budget: usize) -> bool {
        self.pending_decisions.len() < budget
    }

    /// Places the tasks whose held capacity has become free.
    fn place_held_tasks(&mut self, now: BootTime, budget: usize) {
        if !self.holds_changed {
            return;
        }
        self.drop_infeasible_holds();
        for task in self.ready_holds() {
            if !self.has_budget(budget) {
                return;
            }
            self.place_from_hold(now, task);
        }
        self.holds_changed = false;
    }

    fn place_from_hold(&mut self, now: BootTime, task: TaskId) {
        let Some(hold) = self.holds.get(&task).copied() else {
            return;
        };
        let uncommitted = self.workers.get(hold.worker).uncommitted();
        let Some(entry) = self.tasks.get(task) else {
            return;
        };
        if !hold.reserved.fits_within(&uncommitted) {
            return;
        }
        let shape = entry.shape;
        let reason = match hold.replaces {
            Some(from) => self.replacement_reason(from),
            None => PlaceReason::Preempted,
        };
        let key = self.shapes.get(shape).key;
        let request = ScoreRequest {
            now,
            shape,
            key,
            job: entry.job,
            needed: hold.reserved,
        };
        let scored = self.score_workers(&request, &[hold.worker]);
        self.release_hold_to_place(task);
        self.place(
            now,
            PlacementChoice {
                task,
                shape,
                worker: hold.worker,
                reserved: hold.reserved,
                reason,
                score: scored
                    .first()
                    .map_or_else(Default::default, |scored| scored.score),
                candidates: Vec::new(),
            },
        );
    }

    pub(super) fn replacement_reason(&self, from: WorkerIndex) -> PlaceReason {
        let from = self.workers.get(from).name.clone();
        PlaceReason::Replacement { from }
    }

    fn place_waiting(&mut self, now: BootTime, priority: TaskPriority, budget: usize) {
        let mut failed_tries_left = budget.max(FAILED_TRIES_MIN);
        while failed_tries_left > 0 && self.has_budget(budget) {
            let Some(shape) = self.teams.next_shape(priority) else {
                return;
            };
            if !self.place_shape_head(now, shape) {
                failed_tries_left -= 1;
            }
        }
    }

    /// Places the first task of a shape or preempts for it; otherwise blocks the shape.
    ///
    /// Returns whether a worker was found.
    fn place_shape_head(&mut self, now: BootTime, shape: ShapeIndex) -> bool {
        let entry = self.shapes.get(shape);
        let key = entry.key;
        let head = entry.queue.values().next().copied();
        let task = head.expect("a ready shape has a waiting task");
        let needed = self.reservation_size(&key);
        if !self.teams.admits(key.team, &needed) {
            self.block_shape(now, shape);
            return false;
        }
        let request = CapacityRequest {
            task,
            shape,
            needed,
            replaces: None,
        };
        let reason = match key.priority {
            TaskPriority::Urgent => PlaceReason::Urgent,
            TaskPriority::Normal => PlaceReason::FairShare,
        };
        if let Some(choice) = self.choose_worker(now, &request, reason) {
            self.dequeue(task);
            self.take_ramp_token(choice.worker);
            self.place(now, choice);
            return true;
        }
        if key.can_preempt() && self.preempt(now, &request) {
            self.dequeue(task);
            if let Some(entry) = self.tasks.get_mut(task) {
                entry.state = TaskState::Awaiting;
            }
            return true;
        }
        self.defer_shape(now, shape);
        false
    }

    /// Capacity to reserve: the corrected size if some worker can hold it, else the declared size.
    fn reservation_size(&self, key: &ShapeKey) -> ResourceVector {
        let raised = self.sizes.reservation_size(key.kind, &key.demand);
        let raised_key = ShapeKey {
            demand: raised,
            ..*key
        };
        if raised == key.demand || self.find_shortage(&raised_key).is_some() {
            return key.demand;
        }
        raised
    }

    /// Blocks a shape that found no worker, or reports its tasks as impossible.
    fn defer_shape(&mut self, now: BootTime, shape: ShapeIndex) {
        match self.find_shortage(&self.shapes.get(shape).key) {
            Some(lacks) => self.mark_shape_impossible(shape, lacks),
            None => self.block_shape(now, shape),
        }
    }

    /// Chooses the worker with the best score among a sample of those that fit.
    pub(super) fn choose_worker(
        &mut self,
        now: BootTime,
        request: &CapacityRequest,
        reason: PlaceReason,
    ) -> Option<PlacementChoice> {
        let key = self.shapes.get(request.shape).key;
        let limit = match key.class {
            TaskClass::LatencyCritical => self.settings.service_candidates,
            TaskClass::Batch => self.settings.batch_candidates,
        };
        let search = WorkerSearch {
            key,
            needed: request.needed,
            index: SearchIndex::Free,
            limit,
        };
        let mut workers = self.find_workers(request.shape, &search);
        workers.retain(|worker| Some(*worker) != request.replaces);
        let score_request = ScoreRequest {
            now,
            shape: request.shape,
            key,
            job: self.tasks.get(request.task)?.job,
            needed: request.needed,
        };
        let scored = self.score_workers(&score_request, &workers);
        let best = *scored.first()?;
        Some(PlacementChoice {
            task: request.task,
            shape: request.shape,
            worker: best.worker,
            reserved: request.needed,
            reason,
            score: best.score,
            candidates: scored,
        })
    }

    pub(super) fn take_ramp_token(&mut self, worker: WorkerIndex) {
        let data_centre = self.workers.get(worker).data_centre;
        self.data_centres.get_mut(data_centre).take_ramp_token();
    }

    /// Reserves a placement and queues its decision.
    pub(super) fn place(&mut self, now: BootTime, choice: PlacementChoice) {
        let Some(entry) = self.tasks.get_mut(choice.task) else {
            return;
        };
        let worker = choice.worker;
        let replaces = matches!(choice.reason, PlaceReason::Replacement { .. });
        let attempt = match replaces {
            true => entry.advance_attempt(),
            false => entry.attempt,
        };
        if replaces {
            let replacement = PendingReplacement { worker, attempt };
            self.replacements.insert(choice.task, replacement);
        } else {
            entry.state = TaskState::Placed { worker };
        }
        self.shapes.get_mut(choice.shape).delay_ms = 0;
        let number = DecisionNumber(self.next_decision);
        self.next_decision += 1;
        let reservation = Reservation {
            task: choice.task,
            attempt,
            shape: choice.shape,
            worker,
            reserved: choice.reserved,
            unconfirmed: Some(number),
            evicting: false,
            since: now,
        };
        self.reserve(reservation);
        let decision = PlaceDecision {
            number,
            task: choice.task,
            attempt,
            worker: self.workers.get(worker).name.clone(),
            reserved: choice.reserved,
            reason: choice.reason,
            score: choice.score,
            alternatives: self.name_alternatives(&choice.candidates),
        };
        self.pending_decisions
            .push_back(PlacementDecision::Place(decision));
    }

    /// Queues the eviction of an attempt, unless it is unconfirmed or already being evicted.
    pub(super) fn order_eviction(
        &mut self,
        worker: WorkerIndex,
        attempt: TaskAttempt,
        cause: EvictionCause,
    ) {
        let slot = self.workers.find_slot(worker);
        let allocation = slot.and_then(|slot| slot.allocation(attempt));
        if !allocation.is_some_and(|allocation| allocation.can_evict()) {
            return;
        }
        self.workers
            .update_allocation(worker, attempt, |allocation| allocation.evicting = true);
        let checkpoint_limit_ms = match cause {
            EvictionCause::Preemption { .. } => self.settings.preemption_checkpoint_ms,
            _ => self.settings.eviction_checkpoint_ms,
        };
        let decision = EvictDecision {
            task: attempt.task,
            attempt: attempt.attempt,
            worker: self.workers.get(worker).name.clone(),
            cause,
            checkpoint_limit_ms,
        };
        self.pending_decisions
            .push_back(PlacementDecision::Evict(decision));
    }
}
