//! Scheduling passes of the leader.
//!
//! Inputs request a pass, and one pass follows all inputs that arrived together. Only one proposal of
//! starts is in flight at a time.

use std::cmp::Reverse;
use std::time::Duration;

use super::caller::time_of_day_ms;
use super::command_size::starts_of_one_command;
use super::commit::CommitPurpose;
use super::engine::ControlEngine;
use super::leader_state::LeaderState;
use crate::metric;
use guavavane_jobs::ledger::WorkerIndex;
use guavavane_jobs::plan::capacity_table::CapacityTable;
use guavavane_jobs::plan::obstacle::count_obstacles;
use guavavane_jobs::plan::order::waiting_steps;
use guavavane_jobs::plan::pass::choose_movable_tasks;
use guavavane_jobs::plan::pass::choose_starts;
use guavavane_jobs::plan::pass::steps_needing_advice;
use guavavane_jobs::prelude::JobLedger;
use guavavane_jobs::prelude::LedgerCommand;
use guavavane_jobs::prelude::RunNumber;
use guavavane_jobs::prelude::StepKey;
use guavavane_jobs::prelude::TaskKey;
use guavavane_jobs::prelude::WorkerKey;
use guavavane_model::prelude::BootClock;
use guavavane_model::prelude::BootTime;

/// Time for which a step waits before a log line says why, and time between two such lines.
const WAIT_REPORT_INTERVAL: Duration = Duration::from_secs(3);
/// Most steps that are reported at a time; those that have waited longest come first.
const WAIT_REPORTS_MAX: usize = 4;

impl ControlEngine {
    /// Requests a scheduling pass after the inputs that have arrived.
    pub(super) fn request_pass(&mut self) {
        if let Some(state) = &mut self.leader_state {
            state.pass_requested = true;
        }
    }

    /// Runs a requested pass: proposes starts of the waiting tasks that fit. While a proposal of starts
    /// is in flight, the pass waits for its result.
    pub(super) fn run_requested_pass(&mut self) {
        let state = self.leader_state.as_mut();
        let Some(state) = state.filter(|state| state.pass_requested) else {
            return;
        };
        if self.starts_in_flight > 0 {
            return;
        }
        state.pass_requested = false;
        let has_advice_service = self.settings.advice.is_some();
        let (choices, advice_steps) = self.quorum.read_local(|ledger| {
            state.record_waiting_steps(ledger);
            if state.waiting_since.is_empty() {
                return (Vec::new(), Vec::new());
            }
            let steps = waiting_steps(ledger, &state.run_times, time_of_day_ms());
            state.with_capacities(ledger, |state, table| {
                let advice_steps = if has_advice_service {
                    steps_needing_advice(ledger, table, state, &steps)
                } else {
                    Vec::new()
                };
                let choices = choose_starts(ledger, table, state, &steps);
                (starts_of_one_command(ledger, choices), advice_steps)
            })
        });
        self.request_advice(advice_steps);
        if choices.is_empty() {
            return;
        }
        let command = LedgerCommand::Start {
            choices: choices.clone(),
        };
        self.propose(command, CommitPurpose::Start(choices));
    }

    /// Logs what keeps the longest waiting steps from starting.
    pub(super) fn report_waiting_steps(&mut self, now: BootTime) {
        let Some(state) = &mut self.leader_state else {
            return;
        };
        if now.saturating_since(state.waits_reported_at) < WAIT_REPORT_INTERVAL {
            return;
        }
        state.waits_reported_at = now;
        let waits = state.longest_waits(now);
        self.quorum.read_local(|ledger| {
            state.with_capacities(ledger, |state, table| {
                for (step, waited) in waits {
                    let workers = count_obstacles(ledger, table, state, step);
                    let waited_ms = waited.as_millis();
                    tracing::info!(event = "step_waits", %step, waited_ms, %workers);
                }
            });
        });
    }

    /// Stops stalled best-effort runs that would fit on another worker, where the move saves more than
    /// it costs. Once the end of a run is
    /// committed, a scheduling pass places its task anew, not necessarily on that worker.
    pub(super) fn move_stalled_runs(&mut self, key: &WorkerKey, runs: &[(TaskKey, RunNumber)]) {
        let Some(state) = &mut self.leader_state else {
            return;
        };
        let movable_runs = self
            .quorum
            .read_local(|ledger| movable_runs(state, ledger, key, runs));
        for (worker, task, run) in movable_runs {
            let state = self.leader_state.as_mut();
            if let Some(stalled) = state.and_then(|state| state.stalls.record_move(task)) {
                let stalled_ms = stalled.as_millis();
                tracing::info!(event = "run_moved", %task, %run, worker = %key, stalled_ms);
                metric::count_event("run_moved", "stalled");
            }
            self.send_stop(worker, task, run);
        }
    }
}

impl LeaderState {
    /// Steps that have waited longest, with their waiting times.
    fn longest_waits(&self, now: BootTime) -> Vec<(StepKey, Duration)> {
        let waits = self.waiting_since.iter();
        let waits = waits.map(|(step, since)| (*step, now.saturating_since(*since)));
        let mut waits: Vec<(StepKey, Duration)> = waits
            .filter(|(_, waited)| *waited >= WAIT_REPORT_INTERVAL)
            .collect();
        waits.sort_by_key(|(_, waited)| Reverse(*waited));
        waits.truncate(WAIT_REPORTS_MAX);
        waits
    }

    /// Calls `decide` with the capacities of all workers, brought up to date.
    fn with_capacities<R>(
        &mut self,
        ledger: &JobLedger,
        decide: impl FnOnce(&Self, &mut CapacityTable) -> R,
    ) -> R {
        let mut table = std::mem::take(&mut self.capacities);
        table.refresh(ledger, &self.interference, |index| {
            self.worker_condition(index)
        });
        let decision = decide(self, &mut table);
        self.capacities = table;
        decision
    }
}

/// Those of the stalled runs of a worker whose moves pay and that would fit on another one.
fn movable_runs(
    state: &mut LeaderState,
    ledger: &JobLedger,
    key: &WorkerKey,
    runs: &[(TaskKey, RunNumber)],
) -> Vec<(WorkerIndex, TaskKey, RunNumber)> {
    let Some(worker) = ledger.worker_index(key) else {
        return Vec::new();
    };
    let desired = runs
        .iter()
        .filter(|(task, run)| ledger.is_desired(*task, *run, worker));
    let now = BootClock.now();
    let worth_moving = desired.filter(|(task, run)| state.record_stall(now, *task, *run));
    let worth_moving: Vec<TaskKey> = worth_moving.map(|(task, _)| *task).collect();
    if worth_moving.is_empty() {
        return Vec::new();
    }
    let movable = state.with_capacities(ledger, |state, table| {
        choose_movable_tasks(ledger, table, state, worker, &worth_moving)
    });
    let run_of = |task: &TaskKey| runs.iter().find(|(stalled, _)| stalled == task);
    let movable = movable.iter().filter_map(run_of);
    movable.map(|(task, run)| (worker, *task, *run)).collect()
}
