//! Periodic work of the leader.

use std::time::Duration;

use super::engine::ControlEngine;
use super::input::CommitPurpose;
use super::wall_clock::time_of_day_ms;
use crate::metric;
use guavavane_jobs::prelude::JobKey;
use guavavane_jobs::prelude::JobLedger;
use guavavane_jobs::prelude::LedgerCommand;
use guavavane_model::prelude::BootClock;
use guavavane_model::prelude::BootTime;

/// Time between two runs of the leader's maintenance.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(500);

impl ControlEngine {
    /// Runs the periodic work of the leader.
    pub(super) fn run_maintenance(&mut self) {
        let now = BootClock.now();
        self.request_copies(now);
        if self.leader_state.is_none() || now < self.next_maintenance {
            return;
        }
        self.next_maintenance = now + MAINTENANCE_INTERVAL;
        self.repeat_refused();
        self.expire_agent_leases();
        self.publish_changed_limits();
        self.update_gauges();
        self.report_waiting_steps(now);
        self.release_due_occurrences();
        self.forget_ended_jobs(now);
        // Repeats the stops: an agent gives up after a timeout, and any change of the ledger may have
        // made a run undesired.
        let disturbed = self
            .quorum
            .read_local(|ledger| ledger.disturbed_jobs().collect::<Vec<JobKey>>());
        self.stop_undesired_runs(&disturbed);
        self.request_pass();
    }

    /// Updates the gauges of jobs, waiting tasks and workers.
    fn update_gauges(&self) {
        let (jobs, waiting, workers) = self.quorum.read_local(|ledger| {
            let waiting = ledger.ready_steps().map(|(_, count)| count as usize);
            (
                ledger.jobs().count(),
                waiting.sum(),
                ledger.workers().count(),
            )
        });
        metric::set_gauge("jobs", jobs);
        metric::set_gauge("waiting_tasks", waiting);
        metric::set_gauge("workers", workers);
        let copies = self.quorum.read_local(|ledger| ledger.recorded_copies());
        metric::set_gauge("copies", copies);
        let job_bytes = self.quorum.read_local(JobLedger::job_bytes);
        metric::set_gauge("job_bytes", job_bytes);
        let states = self
            .leader_state
            .iter()
            .flat_map(|state| state.workers.values());
        let on_probation = states.filter(|worker| worker.probation.is_active());
        metric::set_gauge("workers_on_probation", on_probation.count());
    }

    /// Releases the occurrences of scheduled jobs whose time has come.
    fn release_due_occurrences(&mut self) {
        let now_ms = time_of_day_ms();
        let due: Vec<(JobKey, u32)> = self.quorum.read_local(|ledger| {
            let scheduled = ledger.jobs().filter_map(|(key, job)| {
                let schedule = job.spec.as_ref()?.schedule?;
                let next = job.next_occurrence;
                let is_due = next < schedule.occurrences && schedule.due_ms(next) <= now_ms;
                is_due.then_some((key, next))
            });
            scheduled.collect()
        });
        let job_bytes = self.quorum.read_local(JobLedger::job_bytes);
        let mut postponed = 0;
        let mut releasing_bytes = 0;
        for (job, occurrence) in due {
            let bytes = self.quorum.read_local(|ledger| ledger.release_bytes(job));
            let Some(bytes) = bytes else {
                continue;
            };
            let used_bytes = job_bytes + releasing_bytes;
            if self.job_admission.check(used_bytes, bytes).is_err() {
                postponed += 1;
                continue;
            }
            releasing_bytes += bytes;
            tracing::info!(event = "occurrence_due", %job, occurrence);
            let command = LedgerCommand::Release { job, occurrence };
            self.propose(command, CommitPurpose::Release);
        }
        if postponed > 0 {
            metric::count_event("occurrence", "postponed");
            tracing::warn!(
                event = "occurrences_postponed",
                postponed,
                reason = "job_bytes"
            );
        }
    }

    /// Removes the state of jobs that ended longer ago than the retention time.
    fn forget_ended_jobs(&mut self, now: BootTime) {
        let retention = Duration::from_millis(self.settings.retention_ms);
        let Some(state) = &mut self.leader_state else {
            return;
        };
        self.quorum
            .read_local(|ledger| state.advice.remove_ended_steps(ledger));
        self.quorum
            .read_local(|ledger| state.copied_runs.remove_ended(ledger));
        state
            .job_failures
            .retain(|_, failures| !failures.is_forgotten(now));
        let expired = state.ended_at.iter();
        let expired = expired.filter(|(_, at)| now.saturating_since(**at) > retention);
        let jobs: Vec<JobKey> = expired.map(|(job, _)| *job).collect();
        if jobs.is_empty() {
            return;
        }
        state.ended_at.retain(|job, _| !jobs.contains(job));
        state
            .ordered_at
            .retain(|_, at| now.saturating_since(*at) <= retention);
        let command = LedgerCommand::Forget { jobs: jobs.clone() };
        self.propose(command, CommitPurpose::Forget(jobs));
    }
}
