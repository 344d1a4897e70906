//! Admission control of the leader: keeps the backlog summary and the refused IDs, and decides about
//! submissions.
//!
//! The summary, the refused IDs and the outcomes of the queues belong to one tenure. The IDs with
//! a proposal in flight or of unknown outcome belong to the process: a job that may have been accepted
//! is never refused, also not in a later tenure.

use std::time::Duration;

use indexmap::IndexMap;

use crate::metric;
use guavavane_jobs::plan::admission::admitted_work;
use guavavane_jobs::plan::admission::decide_admission;
use guavavane_jobs::plan::admission::AdmissionDecision;
use guavavane_jobs::plan::admission::AdmissionLoad;
use guavavane_jobs::plan::admission::LoadEstimate;
use guavavane_jobs::plan::admission::Submission;
use guavavane_jobs::plan::admission_backlog::waiting_work;
use guavavane_jobs::plan::admission_backlog::BacklogSummary;
use guavavane_jobs::plan::admission_backlog::QueueOutcomes;
use guavavane_jobs::plan::admission_backlog::WaitingWork;
use guavavane_jobs::plan::admission_capacity::ServiceCapacity;
use guavavane_jobs::plan::admission_ids::RecentIds;
use guavavane_jobs::plan::order::yield_steps;
use guavavane_jobs::plan::order::WaitingStep;
use guavavane_jobs::plan::pass::PassInput;
use guavavane_jobs::plan::slack::RunTimes;
use guavavane_jobs::prelude::JobKey;
use guavavane_jobs::prelude::JobLedger;
use guavavane_jobs::prelude::JobPhase;
use guavavane_jobs::prelude::JobSpec;
use guavavane_jobs::prelude::StartChoice;

/// Time over which the lines of refusals and late admissions are counted.
const LOG_INTERVAL_MS: u64 = 1_000;
/// Most lines of refusals and late admissions in that time.
const LOG_LINES_MAX: u32 = 20;

/// Proposals of one job without a result.
#[derive(Debug, Default)]
struct OpenProposals {
    count: usize,
    work: Vec<WaitingWork>,
}

/// Lines that were logged and left out in the present interval.
#[derive(Debug, Default)]
struct LogBudget {
    since_ms: u64,
    lines: u32,
    omitted: u64,
}

impl LogBudget {
    /// Number of lines left out before this one; none if this one is to be left out as well.
    fn take(&mut self, now_ms: u64) -> Option<u64> {
        if now_ms.saturating_sub(self.since_ms) >= LOG_INTERVAL_MS {
            self.since_ms = now_ms;
            self.lines = 0;
        }
        if self.lines == LOG_LINES_MAX {
            self.omitted += 1;
            return None;
        }
        self.lines += 1;
        Some(std::mem::take(&mut self.omitted))
    }
}

/// Submission as the engine passes it on.
pub(super) struct SubmittedJob<'job> {
    pub(super) key: JobKey,
    pub(super) queue: &'job str,
    pub(super) spec: &'job JobSpec,
    pub(super) now_ms: u64,
}

/// What becomes of a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AdmissionOutcome {
    /// The job is to be proposed.
    Admitted {
        /// First submission of its ID, in milliseconds since 1970.
        first_submitted_ms: u64,
    },
    /// The job is refused.
    Refused {
        /// Time after which the caller should submit it again.
        retry_after_ms: u64,
    },
}

/// Result of the proposal of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ProposalResult {
    /// The ledger has the job.
    Accepted,
    /// The job was not accepted by this proposal and never will be.
    NotAccepted,
    /// The proposal may still be committed.
    Unknown,
}

/// Admission control of one process.
#[derive(Debug, Default)]
pub(super) struct AdmissionControl {
    /// Waiting work; none before the first pass of a tenure.
    backlog: Option<BacklogSummary>,
    outcomes: QueueOutcomes,
    /// IDs that were refused for load, with their first submission.
    refused: RecentIds,
    in_flight: IndexMap<JobKey, OpenProposals>,
    /// IDs whose proposal had no known outcome, which may still be committed.
    uncertain: RecentIds,
    log_budget: LogBudget,
}

impl AdmissionControl {
    /// Forgets what belongs to the previous tenure.
    pub(super) fn begin_tenure(&mut self) {
        self.backlog = None;
        self.outcomes = QueueOutcomes::default();
        self.refused = RecentIds::default();
    }

    /// Moves the steps of queues of which most jobs failed lately behind the others of their priority.
    pub(super) fn yield_failing_queues(
        &self,
        ledger: &JobLedger,
        steps: &mut [WaitingStep],
        now_ms: u64,
    ) {
        yield_steps(steps, |key| {
            let job = ledger.job(key);
            job.is_some_and(|job| self.outcomes.mostly_fails(&job.queue, now_ms))
        });
    }

    /// Sums up the waiting work after a pass, less the starts that it has chosen.
    pub(super) fn sum_up(
        &mut self,
        ledger: &JobLedger,
        input: &impl PassInput,
        steps: &[WaitingStep],
        choices: &[StartChoice],
    ) {
        let mut backlog = BacklogSummary::new(input.time_of_day_ms());
        let mut starts = IndexMap::new();
        for choice in choices {
            *starts.entry(choice.task.step).or_insert(0) += 1;
        }
        for step in steps.iter().filter(|step| !input.is_failing(step.key.job)) {
            let mut step = *step;
            let started = starts.get(&step.key).copied().unwrap_or(0);
            step.waiting_tasks = step.waiting_tasks.saturating_sub(started);
            let work = waiting_work(ledger, input.run_times(), &self.outcomes, &step);
            work.iter().for_each(|work| backlog.add(work));
        }
        // A job that the ledger has already is among the waiting steps.
        let open = self.in_flight.iter();
        let open = open.filter(|(key, _)| ledger.job(**key).is_none());
        for work in open.flat_map(|(_, proposals)| &proposals.work) {
            backlog.add(work);
        }
        self.backlog = Some(backlog);
    }

    /// Decides about a job that the ledger does not have. An admitted job counts as proposed.
    pub(super) fn decide(
        &mut self,
        ledger: &JobLedger,
        capacity: &ServiceCapacity,
        run_times: &RunTimes,
        job: &SubmittedJob<'_>,
    ) -> AdmissionOutcome {
        let (key, now_ms) = (job.key, job.now_ms);
        let first_submitted_ms = self.refused.first_time_ms(key).unwrap_or(now_ms);
        let mut work = Vec::new();
        if let Some(queue) = ledger.catalog().queue(job.queue) {
            let submission = Submission {
                key,
                queue,
                spec: job.spec,
                first_submitted_ms,
                now_ms,
            };
            if !self.may_be_accepted(key) {
                let decision = self.judge(&submission, capacity, run_times);
                if let Some(AdmissionDecision::Reject { retry_after_ms, .. }) = decision {
                    self.refused.record(key, now_ms);
                    return AdmissionOutcome::Refused { retry_after_ms };
                }
            }
            if !self.in_flight.contains_key(&key) {
                work.extend(admitted_work(&submission, run_times));
            }
        }
        if let Some(backlog) = &mut self.backlog {
            work.iter().for_each(|work| backlog.add(work));
        }
        let proposals = self.in_flight.entry(key).or_default();
        proposals.count += 1;
        proposals.work.extend(work);
        AdmissionOutcome::Admitted { first_submitted_ms }
    }

    /// Whether a job that the ledger lacks may have been accepted, or may still be.
    fn may_be_accepted(&self, key: JobKey) -> bool {
        self.in_flight.contains_key(&key) || self.uncertain.first_time_ms(key).is_some()
    }

    /// Judges a submission and records the decision; none before the first pass of the tenure.
    fn judge(
        &mut self,
        submission: &Submission<'_>,
        capacity: &ServiceCapacity,
        run_times: &RunTimes,
    ) -> Option<AdmissionDecision> {
        let backlog = self.backlog.as_ref()?;
        let load = AdmissionLoad {
            backlog,
            capacity,
            run_times,
        };
        let age_ms = submission.now_ms.saturating_sub(backlog.summed_up_ms());
        let decision = decide_admission(submission, &load);
        let (outcome, estimate) = match decision {
            AdmissionDecision::Exempt => ("exempt", None),
            AdmissionDecision::OnTime(_) => ("on_time", None),
            AdmissionDecision::Late(estimate) => ("late", Some(estimate)),
            AdmissionDecision::Reject { estimate, .. } => ("refused", Some(estimate)),
        };
        metric::count_event("admission", outcome);
        if let Some(estimate) = estimate {
            self.log_decision(submission, outcome, &estimate, age_ms);
        }
        Some(decision)
    }

    /// Logs a late admission or a refusal with its inputs.
    fn log_decision(
        &mut self,
        submission: &Submission<'_>,
        outcome: &str,
        estimate: &LoadEstimate,
        age_ms: u64,
    ) {
        let wait = Duration::from_millis(estimate.wait_ms as u64);
        metric::observe_duration("admission_wait", wait);
        let Some(omitted) = self.log_budget.take(submission.now_ms) else {
            return;
        };
        let (wait_ms, drain_ms) = (estimate.wait_ms as u64, estimate.drain_ms as u64);
        let (objective_ms, waited_ms) = (estimate.objective_ms, estimate.waited_ms);
        tracing::info!(event = "admission", job = %submission.key, queue = %submission.queue.name, outcome, wait_ms, drain_ms, objective_ms, waited_ms, age_ms, omitted);
    }

    /// Records the result of a proposal of a job. An accepted job no longer counts as refused.
    pub(super) fn record_result(&mut self, key: JobKey, now_ms: u64, result: ProposalResult) {
        if let Some(proposals) = self.in_flight.get_mut(&key) {
            proposals.count -= 1;
            if proposals.count == 0 {
                self.in_flight.swap_remove(&key);
            }
        }
        match result {
            ProposalResult::Accepted => self.refused.forget(key),
            ProposalResult::Unknown => {
                self.uncertain.record(key, now_ms);
            }
            ProposalResult::NotAccepted => {}
        }
    }

    /// Counts jobs that have ended.
    pub(super) fn record_ends(&mut self, ledger: &JobLedger, jobs: &[JobKey], now_ms: u64) {
        for job in jobs.iter().filter_map(|job| ledger.job(*job)) {
            if job.phase != JobPhase::Active {
                self.outcomes.record_end(&job.queue, job.phase, now_ms);
            }
        }
    }
}
