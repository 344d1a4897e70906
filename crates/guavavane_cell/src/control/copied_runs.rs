//! Both runs of each task with a copy, so that one is found when the other succeeds.

use indexmap::IndexMap;

use guavavane_jobs::ledger::TaskPhase;
use guavavane_jobs::ledger::WorkerIndex;
use guavavane_jobs::prelude::JobLedger;
use guavavane_jobs::prelude::JobPhase;
use guavavane_jobs::prelude::RunCompletion;
use guavavane_jobs::prelude::RunNumber;
use guavavane_jobs::prelude::RunOutcome;
use guavavane_jobs::prelude::TaskKey;
use guavavane_model::prelude::BootTime;

/// Both runs of each task with a copy, so that the other one is found when one succeeds.
#[derive(Clone, Debug)]
pub(super) struct CopiedRuns {
    pub(super) runs: IndexMap<TaskKey, [(WorkerIndex, RunNumber); 2]>,
    /// Earliest time of the next check for overdue runs.
    pub(super) next_check: BootTime,
    /// Earliest time of the next log line about runs that get no copy.
    pub(super) next_report: BootTime,
    /// Whether the next scheduling pass considers overdue runs.
    pub(super) is_checking: bool,
}

impl CopiedRuns {
    /// Takes over the copies of a ledger.
    pub(super) fn new(now: BootTime, ledger: &JobLedger) -> Self {
        let mut copied = Self {
            runs: IndexMap::new(),
            next_check: now,
            next_report: now,
            is_checking: false,
        };
        for (task, run, worker) in ledger.active_copies() {
            copied.record(ledger, task, (worker, run));
        }
        copied
    }

    /// Forgets the copies that have ended without a report, such as those of lost workers.
    pub(super) fn remove_ended(&mut self, ledger: &JobLedger) {
        self.runs.retain(|task, _| {
            let copy = ledger.copy_of(*task);
            copy.is_some_and(|copy| copy.worker.is_some())
        });
    }

    /// Records a copy that was committed.
    pub(super) fn record(
        &mut self,
        ledger: &JobLedger,
        task: TaskKey,
        copy: (WorkerIndex, RunNumber),
    ) {
        let Some(record) = ledger.task(task) else {
            return;
        };
        if let TaskPhase::Assigned(first) = record.phase {
            self.runs.insert(task, [(first, record.run), copy]);
        }
    }
}

/// Whether a run was stopped because the other run of its task had succeeded.
pub(super) fn is_losing_run(ledger: &JobLedger, completion: &RunCompletion) -> bool {
    if completion.outcome != RunOutcome::Stopped {
        return false;
    }
    let job = ledger.job(completion.task.step.job);
    let task = ledger.task(completion.task);
    task.is_some_and(|task| task.phase == TaskPhase::Done)
        || job.is_some_and(|job| job.phase == JobPhase::Completed)
}
