//! Starts that a later incarnation of the worker may still carry out.
//!
//! A call that got no answer may be carried out seconds later. The incarnation that it was meant for
//! refuses such a start by its deadline or after a stop. A later one under the same name knows neither:
//! its clock starts anew, so the deadline lies far ahead. It has to be told to refuse the run.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;

use guavavane_jobs::prelude::RunNumber;
use guavavane_jobs::prelude::TaskKey;
use guavavane_model::prelude::BootTime;

/// Longest time after which an unanswered call is still carried out.
const LATE_CALL_MAX: Duration = Duration::from_secs(15);

/// Unanswered start of a run.
#[derive(Clone, Debug)]
struct LateStart {
    /// Name of the worker, which its incarnations share.
    worker: Arc<str>,
    /// Time from which the call is certainly no longer carried out.
    over_at: BootTime,
}

/// Unanswered starts of the worker's earlier incarnations and of the present one.
#[derive(Clone, Debug, Default)]
pub(super) struct LateStarts(IndexMap<(TaskKey, RunNumber), LateStart>);

impl LateStarts {
    /// Records that a start got no answer until `now`.
    pub(super) fn record(&mut self, now: BootTime, worker: &Arc<str>, run: (TaskKey, RunNumber)) {
        self.0.retain(|_, start| now < start.over_at);
        let start = LateStart {
            worker: Arc::clone(worker),
            over_at: now + LATE_CALL_MAX,
        };
        self.0.insert(run, start);
    }

    /// Runs that a new incarnation with this name may still start by an earlier call.
    pub(super) fn of_worker(&self, now: BootTime, worker: &str) -> Vec<(TaskKey, RunNumber)> {
        let starts = self.0.iter();
        let open = starts.filter(|(_, start)| &*start.worker == worker && now < start.over_at);
        open.map(|(run, _)| *run).collect()
    }
}
