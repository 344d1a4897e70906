//! Computes the capacity that is reserved and expected to be used on each worker.
//!
//! Three quantities decide what still fits on a worker:
//!
//! - the sum of the reservations, which has to stay within the resources of the worker,
//! - idle processor time, as expected from the kinds of the tasks,
//! - the CPU share that the latency-critical tasks leave to one more best-effort task, from the
//!   model of [`super::interference`].
//!
//! [`super::capacity_table`] keeps the capacities of all workers up to date.

use std::sync::Arc;

use indexmap::IndexMap;
use indexmap::IndexSet;

use super::interference::slowdown_for_utilisation;
use super::interference::utilisation_limit;
use super::interference::BestEffortLoad;
use super::interference::InterferenceModel;
use super::probation::WorkerProbation;
use crate::identity::StepKey;
use crate::identity::TaskKey;
use crate::ledger::RunRecord;
use crate::ledger::WorkerRecord;
use guavavane_model::prelude::ResourceVector;

/// Part of its reserved processor that a long-running task uses on average, in percent.
///
/// Long-running tasks are sized for their peak load; best-effort tasks use the rest.
const LONG_RUNNING_CPU_USE_PERCENT: u64 = 50;

/// Utilisation that placement keeps free below the limit, because baseline utilisation may rise
/// while a best-effort task runs.
const UTILISATION_MARGIN: f64 = 0.1;
/// Interference coefficient below which placement ignores a pair.
const COEFFICIENT_MIN: f64 = 0.6;
/// Baseline utilisation of a latency-critical image without a report, whose load is then assumed
/// to be half of its peak.
const BASELINE_DEFAULT: f64 = 0.45;

/// What the leader knows of a worker besides the ledger; lost when the leader changes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WorkerCondition {
    /// Whether the worker is reachable and accepts new tasks.
    pub schedulable: bool,
    /// Failures and trials of the worker.
    pub probation: WorkerProbation,
    /// Highest utilisation of each latency-critical image in the agent's latest sample.
    pub utilisations: IndexMap<Arc<str>, f64>,
    /// Best-effort load at the time of these utilisations.
    pub observed_load: BestEffortLoad,
}

impl WorkerCondition {
    /// Utilisation of a latency-critical image without the best-effort tasks.
    fn baseline_utilisation(&self, interference: &InterferenceModel, image: &Arc<str>) -> f64 {
        let utilisation = self.utilisations.get(image);
        let baseline = utilisation.map(|utilisation| {
            utilisation - interference.added_utilisation(image, &self.observed_load)
        });
        baseline.unwrap_or(BASELINE_DEFAULT).max(0.0)
    }
}

/// Capacity of one worker, with what its runs reserve and are expected to use.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WorkerCapacity {
    /// Resources of the worker.
    pub total: ResourceVector,
    /// Sum of the reservations of its runs.
    pub reserved: ResourceVector,
    /// Processor that all tasks but the best-effort ones are expected to use, in thousandths of a
    /// core.
    pub expected_cpu_millis: u64,
    /// Processor that best-effort tasks could use, in thousandths of a core.
    pub best_effort_cpu_millis: u64,
    /// Number of tasks that run until their job is cancelled.
    pub long_running_tasks: u32,
    /// Number of best-effort tasks.
    pub best_effort_tasks: u32,
    /// Number of latency-critical tasks of each image.
    pub latency_critical_images: IndexMap<Arc<str>, u32>,
    /// Fraction of the processor that best-effort tasks could use, by image.
    pub demanded_load: BestEffortLoad,
    /// Number of runs of each step.
    pub runs_by_step: IndexMap<StepKey, u32>,
    /// Trials that the present pass has placed here by step, if the worker is on probation.
    pub trials: IndexMap<StepKey, u32>,
    /// What the leader knows of the worker besides the ledger.
    pub condition: WorkerCondition,
}

impl WorkerCapacity {
    /// Sums up the runs that the ledger has on a worker.
    pub fn new(record: &WorkerRecord, condition: WorkerCondition) -> Self {
        let mut worker = Self {
            total: record.facts.capacity,
            condition,
            ..Self::default()
        };
        for (task, run) in &record.runs {
            worker.reserve(*task, run);
        }
        worker
    }

    /// Adds a run.
    pub fn reserve(&mut self, task: TaskKey, run: &RunRecord) {
        let sum = self.reserved.checked_add(&run.reserved);
        self.reserved = sum.unwrap_or(self.total);
        let expected_cpu_millis = expected_cpu_millis(run);
        self.expected_cpu_millis = self.expected_cpu_millis.saturating_add(expected_cpu_millis);
        if run.best_effort {
            self.best_effort_cpu_millis =
                self.best_effort_cpu_millis.saturating_add(run.cpu_millis);
            self.best_effort_tasks += 1;
            let fraction = self.cpu_fraction(run.cpu_millis);
            *self
                .demanded_load
                .entry(Arc::clone(&run.image))
                .or_insert(0.0) += fraction;
        } else if run.long_running && run.latency_target_ms.is_some() {
            *self
                .latency_critical_images
                .entry(Arc::clone(&run.image))
                .or_insert(0) += 1;
        }
        self.long_running_tasks += u32::from(run.long_running);
        *self.runs_by_step.entry(task.step).or_insert(0) += 1;
    }

    /// Fraction of the worker's processor.
    fn cpu_fraction(&self, cpu_millis: u64) -> f64 {
        cpu_millis as f64 / self.total.cpu_millis.max(1) as f64
    }

    /// Whether the free capacity suffices for this reservation.
    pub fn fits(&self, reserved: &ResourceVector) -> bool {
        let sum = self.reserved.checked_add(reserved);
        sum.is_some_and(|sum| sum.fits_within(&self.total))
    }

    /// Whether the reservations take at most half of the worker.
    pub fn is_half_free(&self) -> bool {
        is_half_free(&self.reserved, &self.total)
    }

    /// Processor that no task is expected to use, in thousandths of a core; negative if best-effort
    /// tasks could use more than there is.
    pub fn idle_cpu_millis(&self) -> i64 {
        let used = self
            .expected_cpu_millis
            .saturating_add(self.best_effort_cpu_millis);
        i64::try_from(self.total.cpu_millis).unwrap_or(i64::MAX)
            - i64::try_from(used).unwrap_or(i64::MAX)
    }

    /// Slowdown that the tasks of a latency-critical image tolerate beside the present best-effort
    /// tasks; negative if these already exceed it.
    pub fn slowdown_budget(&self, interference: &InterferenceModel, image: &Arc<str>) -> f64 {
        let baseline = self.condition.baseline_utilisation(interference, image);
        let tolerated =
            slowdown_for_utilisation(utilisation_limit() - UTILISATION_MARGIN - baseline);
        tolerated - interference.slowdown(image, &self.demanded_load)
    }

    /// CPU share, from 0 to 1, that the latency-critical tasks are expected to leave to one more
    /// best-effort task without throttling the present ones further.
    pub fn available_cpu_share(
        &self,
        interference: &InterferenceModel,
        image: &Arc<str>,
        cpu_millis: u64,
    ) -> f64 {
        let limits = self.latency_critical_images.keys().map(|latency_critical| {
            let coefficient = interference.mean_coefficient(latency_critical, image);
            (
                coefficient,
                self.slowdown_budget(interference, latency_critical),
            )
        });
        self.cpu_share_within(limits, cpu_millis)
    }

    /// CPU share, from 0 to 1, of a best-effort task that stays within slowdown budgets, each given
    /// after the coefficient by which the task interferes.
    pub(super) fn cpu_share_within(
        &self,
        limits: impl Iterator<Item = (f64, f64)>,
        cpu_millis: u64,
    ) -> f64 {
        let cpu_fraction = self.cpu_fraction(cpu_millis).max(f64::MIN_POSITIVE);
        let cpu_shares = limits.map(|(coefficient, budget)| {
            if coefficient < COEFFICIENT_MIN {
                1.0
            } else {
                budget / (coefficient * cpu_fraction)
            }
        });
        cpu_shares.fold(1.0, f64::min).max(0.0)
    }

    /// Degree to which a best-effort image interferes with no latency-critical task here, from 0
    /// to 1; 1 if there is none.
    fn harmless_degree(&self, interference: &InterferenceModel, image: &Arc<str>) -> f64 {
        let latency_critical = self.latency_critical_images.keys();
        let degrees = latency_critical.map(|latency_critical| {
            1.0 - interference.interference_degree(latency_critical, image)
        });
        degrees.product()
    }

    /// Fraction of these best-effort images that interfere with no latency-critical task here: the
    /// mean of their degrees.
    pub fn harmless_fraction(
        &self,
        interference: &InterferenceModel,
        images: &IndexSet<&Arc<str>>,
    ) -> f64 {
        let harmless = images
            .iter()
            .map(|image| self.harmless_degree(interference, image));
        harmless.sum::<f64>() / images.len().max(1) as f64
    }

    /// Fraction of these best-effort images that interfere with no latency-critical task here, but
    /// would interfere with a new one of this image: the mean of the products of both degrees.
    pub fn newly_harmful_fraction(
        &self,
        interference: &InterferenceModel,
        images: &IndexSet<&Arc<str>>,
        latency_critical: &Arc<str>,
    ) -> f64 {
        if self.latency_critical_images.contains_key(latency_critical) {
            return 0.0;
        }
        let newly_harmful = images.iter().map(|image| {
            self.harmless_degree(interference, image)
                * interference.interference_degree(latency_critical, image)
        });
        newly_harmful.sum::<f64>() / images.len().max(1) as f64
    }

    /// Number of runs of a step.
    pub fn run_count(&self, step: StepKey) -> u32 {
        self.runs_by_step.get(&step).copied().unwrap_or(0)
    }
}

/// Whether reservations take at most half of these resources.
pub(super) fn is_half_free(reserved: &ResourceVector, total: &ResourceVector) -> bool {
    let twice = reserved.checked_add(reserved);
    twice.is_some_and(|twice| twice.fits_within(total))
}

/// Processor that a run is expected to use, in thousandths of a core; none for a best-effort run,
/// which uses only what others leave.
fn expected_cpu_millis(run: &RunRecord) -> u64 {
    if run.best_effort {
        0
    } else if run.long_running {
        run.cpu_millis.saturating_mul(LONG_RUNNING_CPU_USE_PERCENT) / 100
    } else {
        run.cpu_millis
    }
}
