//! Volatile state of the leader, which each tenure builds anew: an unbroken time as the leader.
//!
//! Agents keep the interference estimates that they were sent and return them in their worker
//! reports, so that the interference model does not start from nothing.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;

use super::copied_runs::is_losing_run;
use super::copied_runs::CopiedRuns;
use super::open_completions::OpenCompletions;
use super::session::LeaderSession;
use super::session::SessionId;
use super::session::SessionRole;
use super::wall_clock::time_of_day_ms;
use crate::limits_feed::LimitsFeed;
use crate::message::FromControl;
use crate::message::WorkerReport;
use crate::timing::LeaseTiming;
use guavavane_jobs::ledger::TaskPhase;
use guavavane_jobs::ledger::WorkerIndex;
use guavavane_jobs::plan::advice::AdviceCache;
use guavavane_jobs::plan::capacity::WorkerCondition;
use guavavane_jobs::plan::capacity_table::CapacityTable;
use guavavane_jobs::plan::interference::BestEffortLoad;
use guavavane_jobs::plan::interference::InterferenceModel;
use guavavane_jobs::plan::interference::UtilisationSample;
use guavavane_jobs::plan::order::step_rank;
use guavavane_jobs::plan::pass::PassInput;
use guavavane_jobs::plan::probation::JobFailures;
use guavavane_jobs::plan::probation::WorkerProbation;
use guavavane_jobs::plan::slack::RunTimes;
use guavavane_jobs::plan::speculation::SpeculationWatch;
use guavavane_jobs::prelude::JobKey;
use guavavane_jobs::prelude::JobLedger;
use guavavane_jobs::prelude::JobPhase;
use guavavane_jobs::prelude::RunCompletion;
use guavavane_jobs::prelude::RunNumber;
use guavavane_jobs::prelude::RunOutcome;
use guavavane_jobs::prelude::StartChoice;
use guavavane_jobs::prelude::StepKey;
use guavavane_jobs::prelude::TaskKey;
use guavavane_jobs::prelude::WorkerKey;
use guavavane_model::prelude::BootClock;
use guavavane_model::prelude::BootTime;

/// Volatile state of a worker: what its agent and its completions have reported in this term.
#[derive(Clone, Debug)]
pub(super) struct WorkerState {
    /// Session on which the worker's agent has reported it.
    pub(super) session: Option<SessionId>,
    /// Whether the worker accepts no new runs.
    pub(super) draining: bool,
    /// Whether the worker left the latest lease renewal unanswered.
    pub(super) silent: bool,
    /// Number of lease expiries of the worker, as its agent counts them.
    pub(super) epoch: u64,
    /// Time at which the agent's lease has certainly expired, and all runs on the worker have
    /// stopped, unless the agent reconnects.
    pub(super) lease_expires_at: BootTime,
    /// Failures and trials of the worker.
    pub(super) probation: WorkerProbation,
    /// Highest utilisation of each latency-critical image, from 0 to 1.
    pub(super) utilisations: IndexMap<Arc<str>, f64>,
    /// Best-effort load beside which `utilisations` was measured.
    pub(super) observed_load: BestEffortLoad,
}

impl WorkerState {
    pub(super) fn new(lease_expires_at: BootTime) -> Self {
        Self {
            session: None,
            draining: false,
            silent: false,
            epoch: 0,
            lease_expires_at,
            probation: WorkerProbation::default(),
            utilisations: IndexMap::new(),
            observed_load: BestEffortLoad::new(),
        }
    }
}

/// Loss of a worker that is to be committed.
#[derive(Clone, Debug)]
pub(super) struct PendingLoss {
    /// Whether the incarnation never returns.
    pub(super) ended: bool,
    /// Whether a proposal of the loss has no result yet.
    pub(super) in_flight: bool,
    /// Latest report of the worker since the loss was noticed.
    pub(super) deferred: Option<DeferredReport>,
}

/// Worker report that arrived while the loss of its worker was not committed.
#[derive(Clone, Debug)]
pub(super) struct DeferredReport {
    pub(super) session: SessionId,
    pub(super) report: Box<WorkerReport>,
}

/// State of one tenure of the leader.
#[derive(Debug)]
pub(super) struct LeaderState {
    pub(super) term: u64,
    /// Number of the tenure, unique in this process.
    pub(super) tenure: u64,
    pub(super) sessions: IndexMap<SessionId, LeaderSession>,
    /// Latest session on which the agent of each VM has reported, open or not.
    pub(super) reporting_sessions: IndexMap<Arc<str>, SessionId>,
    pub(super) workers: IndexMap<WorkerIndex, WorkerState>,
    /// Capacities of the workers, as of the latest scheduling decision.
    pub(super) capacities: CapacityTable,
    /// Losses of workers that are not committed.
    pub(super) pending_losses: IndexMap<WorkerIndex, PendingLoss>,
    /// Questions of agents whether their losses are committed, by session, with their numbers.
    pub(super) loss_questions: IndexMap<SessionId, u64>,
    /// Completions that are not known to be recorded.
    pub(super) open_completions: IndexMap<WorkerIndex, OpenCompletions>,
    /// Withdrawals whose proposal was refused.
    pub(super) refused_withdrawals: IndexSet<(WorkerIndex, TaskKey, RunNumber)>,
    /// Latest report of each session whose new worker could not be added.
    pub(super) refused_reports: IndexMap<SessionId, Box<WorkerReport>>,
    /// Incarnations that were reported to have ended before they were added.
    pub(super) ended_early: IndexSet<WorkerKey>,
    /// Tickets that the advice service has issued in this term.
    pub(super) advice: AdviceCache,
    /// Latest checkpoints that agents reported.
    pub(super) checkpoints: IndexMap<TaskKey, Arc<str>>,
    /// Time since which each step has had waiting tasks.
    pub(super) waiting_since: IndexMap<StepKey, BootTime>,
    /// Time at which it was last logged why steps wait.
    pub(super) waits_reported_at: BootTime,
    /// Jobs whose latest runs have failed.
    pub(super) job_failures: IndexMap<JobKey, JobFailures>,
    /// Run times observed in this term.
    pub(super) run_times: RunTimes,
    /// Runs that may need a copy, and the run times by which this is decided.
    pub(super) speculation: SpeculationWatch,
    /// Both runs of the tasks with copies.
    pub(super) copied_runs: CopiedRuns,
    /// Times at which the runs that have not ended were ordered.
    pub(super) ordered_at: IndexMap<(TaskKey, RunNumber), BootTime>,
    /// Interference model: the estimates that agents still hold from earlier terms, and what is
    /// learned from the utilisation reports of this term.
    pub(super) interference: InterferenceModel,
    /// Times at which jobs were seen to have ended.
    pub(super) ended_at: IndexMap<JobKey, BootTime>,
    /// Limits on callers' requests and the entries that have asked for them.
    pub(super) limits_feed: LimitsFeed<SessionId>,
    /// Whether another scheduling pass was requested since the latest proposal of starts.
    pub(super) pass_requested: bool,
}

impl LeaderState {
    pub(super) fn new(
        term: u64,
        tenure: u64,
        now: BootTime,
        ledger: &JobLedger,
        timing: &LeaseTiming,
    ) -> Self {
        let ended = ledger
            .jobs()
            .filter(|(_, job)| job.phase != JobPhase::Active);
        let ended_at = ended.map(|(key, _)| (key, now)).collect();
        let lease_expires_at = now + timing.expiry_bound(timing.agent_lease);
        let workers = ledger.workers().map(|(index, _)| {
            // An earlier leader may have granted a lease just before its own expired.
            (index, WorkerState::new(lease_expires_at))
        });
        Self {
            term,
            tenure,
            sessions: IndexMap::new(),
            reporting_sessions: IndexMap::new(),
            workers: workers.collect(),
            capacities: CapacityTable::default(),
            pending_losses: IndexMap::new(),
            loss_questions: IndexMap::new(),
            open_completions: IndexMap::new(),
            refused_withdrawals: IndexSet::new(),
            refused_reports: IndexMap::new(),
            ended_early: IndexSet::new(),
            advice: AdviceCache::default(),
            checkpoints: IndexMap::new(),
            waiting_since: IndexMap::new(),
            waits_reported_at: now,
            job_failures: IndexMap::new(),
            run_times: RunTimes::default(),
            speculation: SpeculationWatch::new(now, ledger),
            copied_runs: CopiedRuns::new(now, ledger),
            ordered_at: IndexMap::new(),
            interference: InterferenceModel::default(),
            ended_at,
            limits_feed: LimitsFeed::default(),
            pass_requested: false,
        }
    }

    /// Worker that the agent of a session has reported.
    pub(super) fn session_worker(&self, id: SessionId) -> Option<WorkerIndex> {
        match &self.sessions.get(&id)?.role {
            SessionRole::Agent { worker, .. } => *worker,
            SessionRole::Entry => None,
        }
    }

    /// Session of the worker's agent.
    pub(super) fn worker_session(&self, index: WorkerIndex) -> Option<&LeaderSession> {
        let session = self.workers.get(&index)?.session?;
        self.sessions.get(&session)
    }

    /// Whether the worker's agent has a session on which it has reported that the worker answers.
    pub(super) fn worker_answers(&self, index: WorkerIndex) -> bool {
        let worker = self.workers.get(&index);
        worker.is_some_and(|worker| worker.session.is_some() && !worker.silent)
    }

    /// State of a worker, whose condition for scheduling may change.
    pub(super) fn worker_mut(&mut self, index: WorkerIndex) -> Option<&mut WorkerState> {
        self.capacities.mark_changed(index);
        self.workers.get_mut(&index)
    }

    /// State of a worker that a scheduling pass needs.
    pub(super) fn worker_condition(&self, index: WorkerIndex) -> WorkerCondition {
        let Some(worker) = self.workers.get(&index) else {
            return WorkerCondition::default();
        };
        WorkerCondition {
            schedulable: self.worker_answers(index) && !worker.draining,
            probation: worker.probation,
            utilisations: worker.utilisations.clone(),
            observed_load: worker.observed_load.clone(),
        }
    }

    /// Rank of a task among those that compete for CPU time; the lowest goes first. Tasks that can
    /// still meet their deadline rank before the others, ordered by deadline.
    pub(super) fn rank(&self, ledger: &JobLedger, task: TaskKey) -> u64 {
        step_rank(ledger, &self.run_times, task.step, time_of_day_ms()).unwrap_or(u64::MAX)
    }

    /// Adds the ticket of the advice service to a start that needs one.
    pub(super) fn with_ticket(&self, mut order: FromControl, worker: WorkerIndex) -> FromControl {
        if let FromControl::Start { order, .. } = &mut order {
            let ticket = self.advice.ticket(BootClock.now(), order.task.step, worker);
            order.ticket = ticket.unwrap_or_else(|| Arc::from(""));
        }
        order
    }

    /// Updates the set of steps with waiting tasks, keeping the time since which each waits.
    pub(super) fn record_waiting_steps(&mut self, ledger: &JobLedger) {
        let now = BootClock.now();
        let known = std::mem::take(&mut self.waiting_since);
        let ready = ledger.ready_steps();
        let ready = ready.map(|(step, _)| (step, known.get(&step).copied().unwrap_or(now)));
        self.waiting_since = ready.collect();
    }

    /// Records the utilisation that an agent reported and updates the interference model.
    pub(super) fn record_utilisation(
        &mut self,
        index: WorkerIndex,
        samples: &[UtilisationSample],
        load: BestEffortLoad,
    ) {
        self.interference.learn(BootClock.now(), samples, &load);
        let Some(worker) = self.worker_mut(index) else {
            return;
        };
        worker.utilisations.clear();
        for sample in samples {
            let image = Arc::clone(&sample.image);
            let highest = worker.utilisations.entry(image).or_insert(0.0);
            *highest = highest.max(sample.utilisation);
        }
        worker.observed_load = load;
    }

    /// Updates run times, checkpoints and failure counts from committed completions.
    pub(super) fn record_completions(
        &mut self,
        index: WorkerIndex,
        completions: &[RunCompletion],
        ledger: &JobLedger,
    ) {
        let now = BootClock.now();
        for completion in completions {
            if supersedes_checkpoint(ledger, completion) {
                self.checkpoints.swap_remove(&completion.task);
            }
            let ordered_at = self
                .ordered_at
                .swap_remove(&(completion.task, completion.run));
            let job = ledger.job(completion.task.step.job);
            let queue = job.map(|job| Arc::clone(&job.queue));
            if let (Some(at), Some(queue)) = (ordered_at, queue) {
                let run_time = now.saturating_since(at);
                let has_succeeded = completion.outcome == RunOutcome::Done;
                if has_succeeded {
                    self.run_times.learn(&queue, run_time);
                }
                if has_succeeded || is_losing_run(ledger, completion) {
                    let step = completion.task.step.step;
                    self.speculation
                        .learn(&queue, step, run_time, has_succeeded);
                }
            }
            self.record_job_outcome(now, completion.task.step.job, completion.outcome);
            self.record_worker_outcome(now, index, completion.outcome);
        }
        self.end_idle_trial(index, ledger);
    }

    /// Counts the outcome of a run of a job.
    fn record_job_outcome(&mut self, now: BootTime, job: JobKey, outcome: RunOutcome) {
        match outcome {
            RunOutcome::Failed => {
                let failures = self.job_failures.entry(job).or_default();
                failures.record_failure(now);
            }
            RunOutcome::Done => {
                self.job_failures.swap_remove(&job);
            }
            _ => {}
        }
    }

    /// Counts the outcome of a run on a worker.
    fn record_worker_outcome(&mut self, now: BootTime, index: WorkerIndex, outcome: RunOutcome) {
        self.update_probation(index, |probation| match outcome {
            RunOutcome::Failed => probation.record_failure(now),
            RunOutcome::Done => probation.record_success(),
            _ => {}
        });
    }

    /// Changes the probation of a worker and logs whether it has begun or ended.
    pub(super) fn update_probation(
        &mut self,
        index: WorkerIndex,
        change: impl FnOnce(&mut WorkerProbation),
    ) {
        let Some(worker) = self.worker_mut(index) else {
            return;
        };
        let before = worker.probation;
        change(&mut worker.probation);
        let after = worker.probation;
        if after.is_active() != before.is_active() {
            let (active, failures) = (after.is_active(), after.consecutive_failures());
            tracing::info!(
                event = "worker_probation",
                worker = index.0,
                active,
                failures
            );
        }
    }

    /// Ends the trial of a worker that holds no finite run any more.
    fn end_idle_trial(&mut self, index: WorkerIndex, ledger: &JobLedger) {
        let Some(worker) = self.workers.get_mut(&index) else {
            return;
        };
        let runs = ledger.worker(index).map(|record| &record.runs);
        let mut runs = runs.into_iter().flat_map(|runs| runs.values());
        if worker.probation.is_active() && runs.all(|run| run.long_running) {
            worker.probation.make_trial_due();
            self.capacities.mark_changed(index);
        }
    }

    /// Records committed starts: their times, and the trials of workers on probation.
    pub(super) fn record_starts(&mut self, now: BootTime, committed: &[&StartChoice]) {
        for choice in committed {
            self.ordered_at.insert((choice.task, choice.run), now);
            self.update_probation(choice.worker, |probation| probation.record_start(now));
        }
    }
}

/// Whether a recorded completion makes the checkpoint that agents reported for its task needless: the
/// task is over, or the ledger has the later checkpoint of its latest run or of the copy of that run.
fn supersedes_checkpoint(ledger: &JobLedger, completion: &RunCompletion) -> bool {
    match ledger.task(completion.task) {
        None => true,
        Some(task) if task.phase == TaskPhase::Done => true,
        Some(task) => {
            let copy = ledger.copy_of(completion.task);
            let is_copy = copy.is_some_and(|copy| copy.run == completion.run);
            (is_copy || task.run == completion.run) && !completion.checkpoint.is_empty()
        }
    }
}

impl PassInput for LeaderState {
    fn checkpoint(&self, task: TaskKey) -> Option<Arc<str>> {
        self.checkpoints.get(&task).cloned()
    }

    fn run_times(&self) -> &RunTimes {
        &self.run_times
    }

    fn interference(&self) -> &InterferenceModel {
        &self.interference
    }

    fn now(&self) -> BootTime {
        BootClock.now()
    }

    fn time_of_day_ms(&self) -> u64 {
        time_of_day_ms()
    }

    fn allowed_workers(&self, step: StepKey) -> IndexSet<WorkerIndex> {
        self.advice.allowed_workers(BootClock.now(), step)
    }

    fn is_failing(&self, job: JobKey) -> bool {
        let failures = self.job_failures.get(&job);
        failures.is_some_and(|failures| failures.is_failing(BootClock.now()))
    }

    fn waiting_time(&self, step: StepKey) -> Duration {
        let since = self.waiting_since.get(&step);
        since.map_or(Duration::ZERO, |since| {
            BootClock.now().saturating_since(*since)
        })
    }
}
