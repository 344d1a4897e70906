//! Finds tasks of a service that share a worker while another worker could take one.

use indexmap::IndexMap;

use crate::state::job_record::task_attempt;
use crate::state::job_record::JobRecord;
use crate::state::ControlState;
use guavavane_model::prelude::WorkerName;
use guavavane_protocol::poll::TaskAttempt;

/// At most one task of each service that is worth replacing for a better spread.
///
/// A service with a task that waits, is evicted or is replaced already is passed by.
pub fn crowded_attempts(state: &ControlState) -> Vec<TaskAttempt> {
    let services = state.jobs().jobs().map(|(_, job)| job);
    services
        .filter(|job| job.origin.is_service() && !job.cancelled)
        .filter_map(|job| crowded_attempt(state, job))
        .collect()
}

fn crowded_attempt(state: &ControlState, job: &JobRecord) -> Option<TaskAttempt> {
    let mut latest: IndexMap<&WorkerName, TaskAttempt> = IndexMap::new();
    let mut crowded = None;
    for task in &job.tasks {
        let record = state.jobs().task(*task)?;
        let held = record.commitment()?;
        if held.evicting.is_some() || held.successor.is_some() {
            return None;
        }
        let attempt = task_attempt(*task, record);
        if latest.insert(&held.worker, attempt).is_some() {
            crowded = Some(attempt);
        }
    }
    let crowded = crowded?;
    let has_better = state.workers().iter().any(|(name, worker)| {
        !latest.contains_key(name)
            && worker.has_room(&job.spec.demand)
            && job.spec.data_centres.contains(&worker.data_centre)
            && !state.data_centres().is_out(&worker.data_centre)
    });
    has_better.then_some(crowded)
}
