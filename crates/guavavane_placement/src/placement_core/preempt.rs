//! Makes room for important tasks by evicting the least work.
//!
//! Only batch tasks that are not urgent are evicted. Room on the worker is held for the task
//! until the evicted ones have left, so that no other task takes it.

use super::search::SearchIndex;
use super::search::WorkerSearch;
use super::PlacementCore;
use super::RoomHold;
use crate::decision::EvictionCause;
use crate::index::ShapeIndex;
use crate::index::WorkerIndex;
use crate::record::TaskAttempt;
use crate::task_table::TaskState;
use crate::worker_table::Resident;
use crate::worker_table::WorkerSlot;
use guavavane_model::prelude::BootTime;
use guavavane_model::prelude::ResourceVector;
use guavavane_model::prelude::TaskId;

/// Evictions that make room on one worker.
#[derive(Debug)]
struct PreemptionPlan {
    worker: WorkerIndex,
    victims: Vec<TaskAttempt>,
    work_lost: u64,
}

/// What a task is to be given room for.
#[derive(Clone, Copy, Debug)]
pub(super) struct RoomRequest {
    pub(super) task: TaskId,
    pub(super) shape: ShapeIndex,
    pub(super) needed: ResourceVector,
    pub(super) replaces: Option<WorkerIndex>,
}

impl PlacementCore {
    /// Orders evictions that make room for a task and holds the room; whether it could.
    pub(super) fn preempt(&mut self, now: BootTime, request: &RoomRequest) -> bool {
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
            self.push_eviction(worker, victim, cause);
        }
        self.workers.hold(worker, &request.needed);
        self.teams.charge(key.team, &request.needed);
        let hold = RoomHold {
            worker,
            reserved: request.needed,
            replaces: request.replaces,
        };
        self.holds.insert(request.task, hold);
        self.holds_changed = true;
        self.count_placement(worker);
        true
    }

    fn plan_preemption(
        &self,
        now: BootTime,
        worker: WorkerIndex,
        needed: &ResourceVector,
    ) -> Option<PreemptionPlan> {
        let slot = self.workers.get(worker);
        let cost = |resident: &Resident| self.eviction_cost(now, resident);
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

    /// Work lost by an eviction, doubled for a task that is about to end.
    fn eviction_cost(&self, now: BootTime, resident: &Resident) -> u64 {
        let lost = resident.work_lost(now);
        let kind = self.shapes.get(resident.shape).key.kind;
        let entry = self.tasks.get(resident.task);
        let declared_ms = entry.map_or(0, |entry| u64::from(entry.expected_run_ms));
        let expected_ms = self.sizes.expected_run_ms(kind, declared_ms);
        let ran_ms = now.as_millis().saturating_sub(resident.since.as_millis());
        let nearly_done = ran_ms > expected_ms / 4 * 3 && ran_ms < expected_ms;
        match nearly_done {
            true => lost.saturating_mul(2),
            false => lost,
        }
    }

    /// Gives up room that is held for a task.
    pub(super) fn drop_hold(&mut self, task: TaskId) {
        let Some(hold) = self.holds.swap_remove(&task) else {
            return;
        };
        self.refund_hold(task, &hold);
        self.workers.unhold(hold.worker, &hold.reserved);
        self.forget_worker_if_empty(hold.worker);
    }

    /// Gives up room that is about to be reserved.
    pub(super) fn unhold_for_place(&mut self, task: TaskId) {
        let Some(hold) = self.holds.swap_remove(&task) else {
            return;
        };
        self.workers.unhold(hold.worker, &hold.reserved);
        self.refund_hold(task, &hold);
    }

    fn refund_hold(&mut self, task: TaskId, hold: &RoomHold) {
        if let Some(entry) = self.tasks.get(task) {
            let team = self.shapes.get(entry.shape).key.team;
            self.teams.refund(team, &hold.reserved);
        }
    }

    /// Gives up room that can no longer be had, and queues the tasks again.
    pub(super) fn drop_hopeless_holds(&mut self) {
        let holds = self.holds.iter();
        let hopeless: Vec<TaskId> = holds
            .filter(|(task, hold)| !self.can_still_hold(**task, hold))
            .map(|(task, _)| *task)
            .collect();
        for task in hopeless {
            self.drop_hold(task);
            let state = self.tasks.get(task).map(|entry| entry.state);
            if state == Some(TaskState::Awaiting) {
                self.enqueue(task, super::queue::QueueEnd::Front);
            }
        }
    }

    fn can_still_hold(&self, task: TaskId, hold: &RoomHold) -> bool {
        let entry = self.tasks.get(task);
        let team = entry.map(|entry| self.shapes.get(entry.shape).key.team);
        if !team.is_some_and(|team| self.teams.is_within_cap(team)) {
            return false;
        }
        let slot = self.workers.get(hold.worker);
        let centre = self.centres.get(slot.centre);
        slot.present && !slot.quarantined && !centre.is_out() && slot.holds_fit()
    }

    /// Tasks whose held room is free now.
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

/// Fewest losses first, each of them needed: no victim could stay and the task still fit.
fn choose_victims<'a>(
    slot: &'a WorkerSlot,
    cost: impl Fn(&Resident) -> u64,
    needed: &ResourceVector,
) -> Option<Vec<&'a Resident>> {
    let candidates = slot.residents.iter();
    let mut candidates: Vec<&Resident> = candidates
        .filter(|resident| resident.preemptable && resident.can_evict())
        .collect();
    candidates.sort_by_key(|resident| cost(resident));
    let mut room = slot.free_soon();
    let mut victims: Vec<&Resident> = Vec::new();
    for candidate in candidates {
        if needed.fits_within(&room) {
            break;
        }
        room = room.checked_add(&candidate.reserved)?;
        victims.push(candidate);
    }
    if !needed.fits_within(&room) {
        return None;
    }
    spare_victims(&mut victims, room, needed);
    Some(victims)
}

/// Spares the victims that turn out not to be needed, those with most work first.
fn spare_victims(victims: &mut Vec<&Resident>, mut room: ResourceVector, needed: &ResourceVector) {
    for position in (0..victims.len()).rev() {
        let Some(less) = room.checked_sub(&victims[position].reserved) else {
            continue;
        };
        if needed.fits_within(&less) {
            room = less;
            victims.remove(position);
        }
    }
}
