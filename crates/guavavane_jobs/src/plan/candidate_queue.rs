//! Orders the feasible workers of one step, so that each of its tasks gets the best one.
//!
//! All workers are judged once for a step. Placing a task changes the judgement of its worker only, so
//! that the cost of a further task does not grow with the number of workers.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use super::capacity_table::CapacityTable;
use super::capacity_table::ImageCoefficients;
use super::capacity_table::WorkerSlot;
use super::placement::find_obstacle;
use super::placement::score;
use super::placement::PlacementContext;
use crate::ledger::WorkerIndex;

/// Feasible worker with its score; of equals, the lowest index comes first.
type Candidate = (i64, Reverse<WorkerIndex>);

/// Feasible workers of one step, the highest score first.
pub(super) struct CandidateQueue {
    coefficients: ImageCoefficients,
    candidates: BinaryHeap<Candidate>,
}

impl CandidateQueue {
    pub(super) fn new(context: &PlacementContext<'_>, table: &CapacityTable) -> Self {
        let coefficients = if context.spec.best_effort {
            table.coefficients_of(context.interference, &context.spec.image)
        } else {
            ImageCoefficients::default()
        };
        let judged = table
            .slots()
            .filter_map(|(index, slot)| judge(context, &coefficients, index, slot));
        Self {
            candidates: judged.collect(),
            coefficients,
        }
    }

    /// Takes the best worker out of the queue.
    pub(super) fn pop(&mut self) -> Option<WorkerIndex> {
        self.candidates.pop().map(|(_, Reverse(index))| index)
    }

    /// Puts a worker back, if it can run yet another task of the step.
    pub(super) fn push(
        &mut self,
        context: &PlacementContext<'_>,
        table: &CapacityTable,
        index: WorkerIndex,
    ) {
        let slot = table.slot(index);
        let judged = slot.and_then(|slot| judge(context, &self.coefficients, index, slot));
        self.candidates.extend(judged);
    }

    /// All workers, the best first.
    pub(super) fn into_ranking(self) -> Vec<WorkerIndex> {
        let candidates = self.candidates.into_sorted_vec().into_iter().rev();
        candidates.map(|(_, Reverse(index))| index).collect()
    }
}

fn judge(
    context: &PlacementContext<'_>,
    coefficients: &ImageCoefficients,
    index: WorkerIndex,
    slot: &WorkerSlot,
) -> Option<Candidate> {
    let feasible = find_obstacle(context, coefficients, index, slot).is_none();
    feasible.then(|| (score(context, coefficients, slot), Reverse(index)))
}
