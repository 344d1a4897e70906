//! Makes the decisions of one call, most pressing first.

use super::ledger::Reservation;
use super::preempt::RoomRequest;
use super::score::ScoreRequest;
use super::score::ScoredIndex;
use super::search::SearchIndex;
use super::search::WorkerSearch;
use super::PlacementCore;
use super::ReplacementEntry;
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

/// Fewest shapes that are tried in vain before a call ends.
const MISSES_MIN: usize = 64;

/// A placement that is ready to be reserved.
#[derive(Debug)]
pub(super) struct PlacementChoice {
    pub(super) task: TaskId,
    pub(super) shape: ShapeIndex,
    pub(super) worker: WorkerIndex,
    pub(super) reserved: ResourceVector,
    pub(super) reason: PlaceReason,
    pub(super) score: ScoreBreakdown,
    pub(super) passed_over: Vec<ScoredIndex>,
}

impl PlacementCore {
    /// Makes at most `budget` placements and evictions, and returns as many reports.
    pub fn decide(&mut self, now: BootTime, budget: usize) -> Vec<PlacementDecision> {
        let budget = budget.max(1);
        self.prepare(now, budget);
        self.place_held(now, budget);
        self.place_lane(now, TaskPriority::Urgent, budget);
        self.evict_excess(now);
        self.drain_centres(now, budget);
        self.place_lane(now, TaskPriority::Normal, budget);
        let made = self.outbox.len().min(budget);
        let mut decisions: Vec<PlacementDecision> = self.outbox.drain(..made).collect();
        let reported = self.notices.len().min(budget);
        let reports: Vec<PlacementDecision> = self.notices.drain(..reported).collect();
        let still_true = reports
            .into_iter()
            .filter(|report| self.still_holds(report));
        decisions.extend(still_true);
        decisions
    }

    /// Whether a report is not outdated by events since it was queued.
    fn still_holds(&self, report: &PlacementDecision) -> bool {
        let PlacementDecision::ReportImpossible(report) = report else {
            return true;
        };
        let entry = self.tasks.get(report.task);
        entry.is_some_and(|entry| self.shapes.get(entry.shape).state == ShapeState::Impossible)
    }

    fn prepare(&mut self, now: BootTime, budget: usize) {
        self.centres.refill(now, &self.settings);
        self.teams.refresh();
        self.end_quarantines(now);
        self.end_delays(now, budget.max(MISSES_MIN));
        self.end_blocks(now, budget.max(MISSES_MIN));
    }

    fn has_budget(&self, budget: usize) -> bool {
        self.outbox.len() < budget
    }

    /// Places the tasks whose held room has become free.
    fn place_held(&mut self, now: BootTime, budget: usize) {
        if !self.holds_changed {
            return;
        }
        self.drop_hopeless_holds();
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
        self.unhold_for_place(task);
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
                passed_over: Vec::new(),
            },
        );
    }

    pub(super) fn replacement_reason(&self, from: WorkerIndex) -> PlaceReason {
        let from = self.workers.get(from).name.clone();
        PlaceReason::Replacement { from }
    }

    fn place_lane(&mut self, now: BootTime, priority: TaskPriority, budget: usize) {
        let mut misses = budget.max(MISSES_MIN);
        while misses > 0 && self.has_budget(budget) {
            let Some(shape) = self.teams.next_shape(priority) else {
                return;
            };
            if !self.place_head(now, shape) {
                misses -= 1;
            }
        }
    }

    /// Places the first task of a shape, or passes the shape over; whether it placed.
    fn place_head(&mut self, now: BootTime, shape: ShapeIndex) -> bool {
        let entry = self.shapes.get(shape);
        let key = entry.key;
        let head = entry.queue.values().next().copied();
        let task = head.expect("a ready shape has a waiting task");
        let needed = self.reservation(&key);
        if !self.teams.admits(key.team, &needed) {
            self.block_shape(now, shape);
            return false;
        }
        let request = RoomRequest {
            task,
            shape,
            needed,
            replaces: None,
        };
        let reason = match key.priority {
            TaskPriority::Urgent => PlaceReason::Urgent,
            TaskPriority::Normal => PlaceReason::FairShare,
        };
        if let Some(choice) = self.choose(now, &request, reason) {
            self.dequeue(task);
            self.count_placement(choice.worker);
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
        self.pass_over(now, shape);
        false
    }

    /// What to reserve: more than declared if measurements say so and some worker can.
    fn reservation(&self, key: &ShapeKey) -> ResourceVector {
        let raised = self.sizes.reservation(key.kind, &key.demand);
        let raised_key = ShapeKey {
            demand: raised,
            ..*key
        };
        if raised == key.demand || self.lacks(&raised_key).is_some() {
            return key.demand;
        }
        raised
    }

    fn pass_over(&mut self, now: BootTime, shape: ShapeIndex) {
        match self.lacks(&self.shapes.get(shape).key) {
            Some(lacks) => self.close_as_impossible(shape, lacks),
            None => self.block_shape(now, shape),
        }
    }

    /// The best of a few workers that have room now.
    pub(super) fn choose(
        &mut self,
        now: BootTime,
        request: &RoomRequest,
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
            passed_over: scored,
        })
    }

    pub(super) fn count_placement(&mut self, worker: WorkerIndex) {
        let centre = self.workers.get(worker).centre;
        self.centres.get_mut(centre).count_placement();
    }

    /// Reserves a placement and returns it with the decisions of this call.
    pub(super) fn place(&mut self, now: BootTime, choice: PlacementChoice) {
        let Some(entry) = self.tasks.get_mut(choice.task) else {
            return;
        };
        let worker = choice.worker;
        let replaces = matches!(choice.reason, PlaceReason::Replacement { .. });
        let attempt = match replaces {
            true => entry.raise_attempt(),
            false => entry.attempt,
        };
        if replaces {
            let replacement = ReplacementEntry { worker, attempt };
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
            alternatives: self.name_alternatives(&choice.passed_over),
        };
        self.outbox.push_back(PlacementDecision::Place(decision));
    }

    /// Orders the eviction of an attempt, once.
    pub(super) fn push_eviction(
        &mut self,
        worker: WorkerIndex,
        attempt: TaskAttempt,
        cause: EvictionCause,
    ) {
        let slot = self.workers.find_slot(worker);
        let resident = slot.and_then(|slot| slot.resident(attempt));
        if !resident.is_some_and(|resident| resident.can_evict()) {
            return;
        }
        self.workers
            .update_resident(worker, attempt, |resident| resident.evicting = true);
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
        self.outbox.push_back(PlacementDecision::Evict(decision));
    }
}
