//! Preempts batch tasks for urgent and latency-critical ones.
//!
//! Victims are batch tasks that are not urgent, chosen so that the least work is lost. The
//! capacity is held for the preempting task until the victims have left, so that no other task
//! takes it.

use super::search::SearchIndex;
use super::search::WorkerSearch;
use super::CapacityHold;
use super::PlacementCore;
use crate::decision::EvictionCause;
use crate::index::ShapeIndex;
use crate::index::WorkerIndex;
use crate::record::TaskAttempt;
use crate::task_table::TaskState;
use crate::worker_table::Allocation;
use crate::worker_table::WorkerSlot;
use guavavane_model::prelude::BootTime;
use guavavane_model::prelude::ResourceVector;
use guavavane_model::prelude::TaskId;

/// Victims that free enough capacity on one worker.
#[derive(Debug)]
struct PreemptionPlan {
    worker: WorkerIndex,
    victims: Vec<TaskAttempt>,
    work_lost: u64,
}

/// Capacity that a task needs on one worker.
#[derive(Clone, Copy, Debug)]
pub(super) struct CapacityRequest {
    pub(super) task: TaskId,
    pub(super) shape: ShapeIndex,
    pub(super) needed: ResourceVector,
    pub(super) replaces: Option<WorkerIndex>,
}

impl PlacementCore {
    /// Orders evictions for a task and holds the capacity; returns whether a worker was found.
    pub(super) fn preempt(&mut self, now: BootTime, request: &CapacityRequest) -> bool {
        let key = self.shapes.get(request.shape).key;
        let search = WorkerSearch {
            key,
            needed: request.needed,
            index: SearchIndex::Preemptable,
            limit: self.settings.preemption_candidates,
        };
        let workers = self.find_workers(request.shape, &search);
        let plans = workers
            .iter()
            .filter(|worker| Some(**worker) != request.replaces)
            .filter_map(|worker| self.plan_preemption(now, *worker, &request.needed));
        let Some(plan) = plans.min_by_key(|plan| plan.work_lost) else {
            return false;
        };
        let worker = plan.worker;
        let cause = EvictionCause::Preemption {
            for_task: request.task,
        };
        for victim in plan.victims {
            self.order_eviction(worker, victim, cause);
        }
        self.workers.hold(worker, &request.needed);
        self.teams.charge(key.team, &request.needed);
        let hold = CapacityHold {
            worker,
            reserved: request.needed,
            replaces: request.replaces,
        };
        self.holds.insert(request.task, hold);
        self.holds_changed = true;
        self.take_ramp_token(worker);
        true
    }

    fn plan_preemption(
        &self,
        now: BootTime,
        worker: WorkerIndex,
        needed: &ResourceVector,
    ) -> Option<PreemptionPlan> {
        let slot = self.workers.get(worker);
        let cost = |allocation: &Allocation| self.eviction_cost(now, allocation);
        let victims = choose_victims(slot, cost, needed)?;
        let work_lost = victims.iter().map(|victim| cost(victim)).sum();
        let victims = victims.iter().map(|victim| TaskAttempt {
            task: victim.task,
            attempt: victim.attempt,
        });
        Some(PreemptionPlan {
            worker,
            victims: victims.collect(),
            work_lost,
        })
    }

    /// Work lost by an eviction, doubled in the last quarter of the expected run time.
    fn eviction_cost(&self, now: BootTime, allocation: &Allocation) -> u64 {
        let work_lost = allocation.work_lost(now);
        let kind = self.shapes.get(allocation.shape).key.kind;
        let entry = self.tasks.get(allocation.task);
        let declared_ms = entry.map_or(0, |entry| u64::from(entry.expected_run_ms));
        let expected_ms = self.sizes.expected_run_ms(kind, declared_ms);
        let ran_ms = now.as_millis().saturating_sub(allocation.since.as_millis());
        let nearly_done = ran_ms > expected_ms / 4 * 3 && ran_ms < expected_ms;
        match nearly_done {
            true => work_lost.saturating_mul(2),
            false => work_lost,
        }
    }

    /// Releases the capacity that is held for a task.
    pub(super) fn drop_hold(&mut self, task: TaskId) {
        let Some(hold) = self.holds.swap_remove(&task) else {
            return;
        };
        self.refund_hold(task, &hold);
        self.workers.release_hold(hold.worker, &hold.reserved);
        self.forget_worker_if_empty(hold.worker);
    }

    /// Releases a hold whose capacity is reserved next; unlike `drop_hold`, keeps an empty worker.
    pub(super) fn release_hold_to_place(&mut self, task: TaskId) {
        let Some(hold) = self.holds.swap_remove(&task) else {
            return;
        };
        self.workers.release_hold(hold.worker, &hold.reserved);
        self.refund_hold(task, &hold);
    }

    fn refund_hold(&mut self, task: TaskId, hold: &CapacityHold) {
        if let Some(entry) = self.tasks.get(task) {
            let team = self.shapes.get(entry.shape).key.team;
            self.teams.refund(team, &hold.reserved);
        }
    }

    /// Releases the holds that can't be fulfilled any more, and requeues their tasks.
    pub(super) fn drop_infeasible_holds(&mut self) {
        let holds = self.holds.iter();
        let infeasible: Vec<TaskId> = holds
            .filter(|(task, hold)| !self.is_hold_feasible(**task, hold))
            .map(|(task, _)| *task)
            .collect();
        for task in infeasible {
            self.drop_hold(task);
            let state = self.tasks.get(task).map(|entry| entry.state);
            if state == Some(TaskState::Awaiting) {
                self.enqueue(task, super::queue::QueueEnd::Front);
            }
        }
    }

    fn is_hold_feasible(&self, task: TaskId, hold: &CapacityHold) -> bool {
        let entry = self.tasks.get(task);
        let team = entry.map(|entry| self.shapes.get(entry.shape).key.team);
        if !team.is_some_and(|team| self.teams.is_within_cap(team)) {
            return false;
        }
        let slot = self.workers.get(hold.worker);
        let data_centre = self.data_centres.get(slot.data_centre);
        slot.present && !slot.quarantined && !data_centre.is_out() && slot.holds_fit()
    }

    /// Tasks whose held capacity is free now.
    pub(super) fn ready_holds(&self) -> Vec<TaskId> {
        let holds = self.holds.iter();
        holds
            .filter(|(_, hold)| {
                let slot = self.workers.get(hold.worker);
                hold.reserved.fits_within(&slot.uncommitted())
            })
            .map(|(task, _)| *task)
            .collect()
    }
}

/// Chooses victims by least cost; the set is minimal, so that each victim is needed.
fn choose_victims<'a>(
    slot: &'a WorkerSlot,
    cost: impl Fn(&Allocation) -> u64,
    needed: &ResourceVector,
) -> Option<Vec<&'a Allocation>> {
    let candidates = slot.allocations.iter();
    let mut candidates: Vec<&Allocation> = candidates
        .filter(|allocation| allocation.preemptable && allocation.can_evict())
        .collect();
    candidates.sort_by_key(|allocation| cost(allocation));
    let mut free = slot.free_after_evictions();
    let mut victims: Vec<&Allocation> = Vec::new();
    for candidate in candidates {
        if needed.fits_within(&free) {
            break;
        }
        free = free.checked_add(&candidate.reserved)?;
        victims.push(candidate);
    }
    if !needed.fits_within(&free) {
        return None;
    }
    remove_unneeded_victims(&mut victims, free, needed);
    Some(victims)
}

/// Removes the victims that are not needed, the costliest first.
fn remove_unneeded_victims(
    victims: &mut Vec<&Allocation>,
    mut free: ResourceVector,
    needed: &ResourceVector,
) {
    for position in (0..victims.len()).rev() {
        let Some(less) = free.checked_sub(&victims[position].reserved) else {
            continue;
        };
        if needed.fits_within(&less) {
            free = less;
            victims.remove(position);
        }
    }
}
