//! Finds tasks of a service that share a worker while another worker has free capacity for one.

use indexmap::IndexMap;

use crate::state::job_record::task_attempt;
use crate::state::job_record::JobRecord;
use crate::state::ControlState;
use guavavane_model::prelude::WorkerName;
use guavavane_protocol::poll::TaskAttempt;

/// Returns at most one attempt of each service that should be replaced for a better spread.
///
/// Skips a service while one of its tasks waits, is being evicted or is being replaced.
pub fn colocated_attempts(state: &ControlState) -> Vec<TaskAttempt> {
    let services = state.jobs().jobs().map(|(_, job)| job);
    services
        .filter(|job| job.origin.is_service() && !job.cancelled)
        .filter_map(|job| colocated_attempt(state, job))
        .collect()
}

fn colocated_attempt(state: &ControlState, job: &JobRecord) -> Option<TaskAttempt> {
    let mut by_worker: IndexMap<&WorkerName, TaskAttempt> = IndexMap::new();
    let mut colocated = None;
    for task in &job.tasks {
        let record = state.jobs().task(*task)?;
        let commitment = record.commitment()?;
        if commitment.eviction.is_some() || commitment.successor.is_some() {
            return None;
        }
        let attempt = task_attempt(*task, record);
        if by_worker.insert(&commitment.worker, attempt).is_some() {
            colocated = Some(attempt);
        }
    }
    let colocated = colocated?;
    let has_alternative = state.workers().iter().any(|(name, worker)| {
        !by_worker.contains_key(name)
            && worker.has_free_capacity(&job.spec.demand)
            && job.spec.data_centres.contains(&worker.data_centre)
            && !state.data_centres().is_out(&worker.data_centre)
    });
    has_alternative.then_some(colocated)
}
