//! Tells why waiting work does not start.
//!
//! A worker is feasible for a step if no obstacle is found. For a step that waits, the obstacles are
//! counted by kind, so that a log line distinguishes a full cell from workers that are kept out of use.

use std::fmt;

use indexmap::IndexMap;

use super::capacity_table::CapacityTable;
use super::capacity_table::ImageCoefficients;
use super::pass::step_context;
use super::pass::PassInput;
use super::placement::find_obstacle;
use super::placement::CPU_SHARE_ACCEPTED;
use crate::identity::StepKey;
use crate::ledger::JobLedger;

/// Reason why a worker can't run one more task of a step now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum WorkerObstacle {
    /// Unreachable, draining or in an excluded data centre.
    Unschedulable,
    /// Too little free capacity.
    NoCapacity,
    /// The step holds no ticket of the advice service for it.
    NoTicket,
    /// The tickets of the advice service expire before a start can use them.
    NoUsableTicket,
    /// It belongs to another pool.
    OtherPool,
    /// It lacks the label that the step requires.
    NoLabel,
    /// It runs as many tasks of the step as the step allows on one worker.
    StepLimit,
    /// It is on probation, and no trial is due.
    OnProbation,
    /// Too little processor is idle for a best-effort task.
    NoIdleCpu,
    /// Its latency-critical tasks leave a best-effort task too small a CPU share.
    NoCpuShare,
}

/// Number of workers by obstacle; none for feasible ones.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ObstacleCounts(IndexMap<Option<WorkerObstacle>, usize>);

impl ObstacleCounts {
    /// Number of workers with this obstacle, or of feasible ones.
    pub fn get(&self, obstacle: Option<WorkerObstacle>) -> usize {
        self.0.get(&obstacle).copied().unwrap_or(0)
    }
}

impl fmt::Display for ObstacleCounts {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, (obstacle, workers)) in self.0.iter().enumerate() {
            let separator = if position == 0 { "" } else { "," };
            match obstacle {
                Some(obstacle) => write!(formatter, "{separator}{obstacle:?}:{workers}")?,
                None => write!(formatter, "{separator}Feasible:{workers}")?,
            }
        }
        Ok(())
    }
}

/// Counts the workers by what keeps one more task of a step from them. A best-effort step is judged by
/// the CPU share that it accepts after waiting.
pub fn count_obstacles<I: PassInput>(
    ledger: &JobLedger,
    table: &CapacityTable,
    input: &I,
    step: StepKey,
) -> ObstacleCounts {
    let mut counts = ObstacleCounts::default();
    let Some(context) = step_context(ledger, input, step, CPU_SHARE_ACCEPTED) else {
        return counts;
    };
    let coefficients = if context.spec.best_effort {
        table.coefficients_of(context.interference, &context.spec.image)
    } else {
        ImageCoefficients::default()
    };
    for (index, slot) in table.slots() {
        let obstacle = find_obstacle(&context, &coefficients, index, slot);
        *counts.0.entry(obstacle).or_insert(0) += 1;
    }
    counts
}
