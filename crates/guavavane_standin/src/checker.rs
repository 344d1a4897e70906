//! Invariant checker over evidence files, run by `guavavane-standin judge`.
//!
//! The checker counts outcomes and violations in a merged history of events, from the evidence
//! alone. The invariants:
//!
//! - Requests: each request has an outcome; an answered request was executed; one refused as not
//!   run was not; a slip entry (a write) was executed at most once; no caller got a truncated or
//!   foreign answer.
//! - Tasks: at most one attempt of a task runs at a time; a finished task does not start again; an
//!   evicted task resumes from its checkpoint or later.
//! - Capacity: the demands of the attempts that run on a worker fit into its capacity.
//! - Data centres: nothing starts in a data centre later than a bound after it was taken out.

use indexmap::IndexMap;

use crate::evidence::CallerOutcome;
use crate::evidence::EvidenceEvent;
use crate::evidence::EvidenceRecord;
use crate::evidence::StartRefusal;
use guavavane_contract::prelude::AttemptKey;
use guavavane_contract::prelude::AttemptState;
use guavavane_contract::prelude::StartProgram;
use guavavane_model::prelude::DataCentreName;
use guavavane_model::prelude::ResourceVector;
use guavavane_model::prelude::TaskId;
use guavavane_model::prelude::WorkerName;

/// Default of [`CheckRules::out_bound_ms`].
pub const OUT_BOUND_MS: u64 = 3_000;

/// Faults that were injected during the run, and the violations that they excuse.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CheckRules {
    /// Whether processes on the request path were killed or frozen. A broken connection or a
    /// timeout then counts as an unknown outcome instead of a cut answer.
    pub entries_killed: bool,
    /// Whether agents were killed or frozen for longer than a lease. A task whose completion could
    /// not be reported may then run again after its lease has expired.
    pub agents_silent: bool,
    /// Time after which nothing may start in a data centre that was taken out, in ms.
    pub out_bound_ms: u64,
}

impl Default for CheckRules {
    fn default() -> Self {
        Self {
            entries_killed: false,
            agents_silent: false,
            out_bound_ms: OUT_BOUND_MS,
        }
    }
}

/// Counts and violations of a history.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CheckReport {
    /// Requests that callers sent; sending a request again does not count.
    pub requests: u64,
    /// Requests with a complete answer.
    pub answered: u64,
    /// Requests with the outcome "not run".
    pub refused: u64,
    /// Requests of unknown outcome, reported by an entry or assumed by the caller.
    pub unknown: u64,
    /// Requests without an outcome, and answered requests that were never executed.
    pub lost: u64,
    /// Slip entries that were executed more than once.
    pub doubled: u64,
    /// Requests whose answer was truncated, belonged to another request or broke off.
    pub cut: u64,
    /// Requests with the outcome "not run" that were executed.
    pub false_refusals: u64,
    /// Batch tasks that finished.
    pub batch_finished: u64,
    /// Batch attempts that were stopped and had a checkpoint.
    pub evictions: u64,
    /// Starts of batch tasks that had finished before.
    pub finished_twice: u64,
    /// Batch attempts that resumed with less progress than the checkpoint of the evicted attempt.
    pub resumed_short: u64,
    /// Starts of a task while another attempt of it ran.
    pub overlaps: u64,
    /// Starts, accepted or refused, whose demand exceeded the free capacity of the worker.
    pub overruns: u64,
    /// Starts in a data centre that had been out for longer than the bound.
    pub starts_in_out_data_centre: u64,
    /// Service attempts that run at the end of the history.
    pub running_services: u64,
    /// Attempts that ended by lease expiry.
    pub expired: u64,
    /// Attempts started, of services and batch tasks.
    pub starts: u64,
    /// Refused start orders by reason.
    pub start_refusals: IndexMap<StartRefusal, u64>,
    /// Requests that were not answered, by the reason that an entry gave.
    pub reasons: IndexMap<String, u64>,
    /// One line for each violation, with its time.
    pub violations: Vec<String>,
}

impl CheckReport {
    /// Whether all invariants hold.
    pub fn invariants_hold(&self) -> bool {
        self.violations.is_empty()
    }

    /// Returns the counts as one line of `key=value` pairs.
    pub fn line(&self) -> String {
        format!(
            "requests={} answered={} refused={} unknown={} lost={} doubled={} cut={} \
             batch_finished={} evictions={} starts_in_out_data_centre={}",
            self.requests,
            self.answered,
            self.refused,
            self.unknown,
            self.lost,
            self.doubled,
            self.cut,
            self.batch_finished,
            self.evictions,
            self.starts_in_out_data_centre,
        )
    }

    fn add_violation(&mut self, at_us: u64, text: String) {
        self.violations.push(format!("at_us={at_us} {text}"));
    }
}

/// Checks all invariants over `records`, which must be in order of time.
pub fn check_records(records: &[EvidenceRecord], rules: &CheckRules) -> CheckReport {
    let mut report = CheckReport::default();
    check_requests(records, rules, &mut report);
    TaskChecker::default().check(records, rules, &mut report);
    report
}

#[derive(Debug, Default)]
struct RequestRecord {
    sent_us: u64,
    is_write: bool,
    outcome: Option<CallerOutcome>,
}

fn check_requests(records: &[EvidenceRecord], rules: &CheckRules, report: &mut CheckReport) {
    let mut requests: IndexMap<&str, RequestRecord> = IndexMap::new();
    let mut execution_counts: IndexMap<&str, u64> = IndexMap::new();
    for record in records {
        match &record.event {
            EvidenceEvent::Sent {
                caller_id, method, ..
            } => {
                let request = requests.entry(caller_id).or_default();
                request.sent_us = record.at_us;
                request.is_write = method != "GET";
            }
            EvidenceEvent::Settled {
                caller_id,
                outcome,
                reason,
                ..
            } => {
                requests.entry(caller_id).or_default().outcome = Some(*outcome);
                if *outcome != CallerOutcome::Answered {
                    *report.reasons.entry(reason.clone()).or_default() += 1;
                }
            }
            EvidenceEvent::Executed { caller_id, .. } => {
                *execution_counts.entry(caller_id).or_default() += 1;
            }
            _ => {}
        }
    }
    for (caller_id, request) in &requests {
        let execution_count = execution_counts.get(caller_id).copied().unwrap_or(0);
        check_request(caller_id, request, execution_count, rules, report);
    }
}

fn check_request(
    caller_id: &str,
    request: &RequestRecord,
    execution_count: u64,
    rules: &CheckRules,
    report: &mut CheckReport,
) {
    report.requests += 1;
    let at_us = request.sent_us;
    match request.outcome {
        None => {
            report.lost += 1;
            report.add_violation(at_us, format!("lost: {caller_id} has no outcome"));
        }
        Some(CallerOutcome::Answered) => {
            report.answered += 1;
            if execution_count == 0 {
                report.lost += 1;
                report.add_violation(
                    at_us,
                    format!("lost: {caller_id} answered but not executed"),
                );
            }
        }
        Some(CallerOutcome::NotRun) => {
            report.refused += 1;
            if execution_count > 0 {
                report.false_refusals += 1;
                let text = format!("false refusal: {caller_id} executed {execution_count} times");
                report.add_violation(at_us, text);
            }
        }
        Some(CallerOutcome::Unknown) => report.unknown += 1,
        Some(CallerOutcome::TimedOut | CallerOutcome::Broken) if rules.entries_killed => {
            report.unknown += 1;
        }
        Some(outcome) => {
            report.cut += 1;
            report.add_violation(at_us, format!("cut: {caller_id} {outcome:?}"));
        }
    }
    if request.is_write && execution_count > 1 {
        report.doubled += 1;
        report.add_violation(
            at_us,
            format!("doubled: {caller_id} executed {execution_count} times"),
        );
    }
}

#[derive(Clone, Debug)]
struct RunningAttempt {
    key: AttemptKey,
    is_batch: bool,
    demand: ResourceVector,
}

#[derive(Clone, Debug, Default)]
struct WorkerState {
    capacity: ResourceVector,
    running: Vec<RunningAttempt>,
}

#[derive(Clone, Copy, Debug)]
struct FinishedAttempt {
    lease_until_ms: u64,
}

/// State of all tasks and data centres, replayed from the history.
#[derive(Debug, Default)]
struct TaskChecker {
    workers: IndexMap<WorkerName, WorkerState>,
    /// Times at which data centres were taken out, in µs.
    out_since: IndexMap<DataCentreName, u64>,
    checkpoint_progress_ms: IndexMap<AttemptKey, u64>,
    /// Saved progress of evicted tasks that have not resumed yet.
    evicted_progress_ms: IndexMap<TaskId, u64>,
    finished: IndexMap<TaskId, FinishedAttempt>,
}

impl TaskChecker {
    fn check(&mut self, records: &[EvidenceRecord], rules: &CheckRules, report: &mut CheckReport) {
        for record in records {
            self.check_event(record.at_us, &record.event, rules, report);
        }
        let running = self.workers.values().flat_map(|x| &x.running);
        report.running_services = running.filter(|attempt| !attempt.is_batch).count() as u64;
    }

    fn check_event(
        &mut self,
        at_us: u64,
        event: &EvidenceEvent,
        rules: &CheckRules,
        report: &mut CheckReport,
    ) {
        match event {
            EvidenceEvent::WorkerUp {
                worker, capacity, ..
            } => {
                let worker_state = self.workers.entry(worker.clone()).or_default();
                worker_state.capacity = *capacity;
                worker_state.running.clear();
            }
            EvidenceEvent::WorkerKilled { worker } => {
                let worker_state = self.workers.entry(worker.clone()).or_default();
                worker_state.running.clear();
            }
            EvidenceEvent::Started {
                worker,
                data_centre,
                key,
                program,
                demand,
                resume_ms,
                ..
            } => {
                let attempt = RunningAttempt {
                    key: *key,
                    is_batch: matches!(program, StartProgram::Batch { .. }),
                    demand: *demand,
                };
                report.starts += 1;
                self.check_data_centre(at_us, worker, data_centre, key, rules, report);
                self.check_resume(at_us, key, *resume_ms, report);
                self.check_restart(at_us, key, rules, report);
                self.check_start(at_us, worker, attempt, report);
            }
            EvidenceEvent::StartRefused {
                worker,
                key,
                reason,
            } => {
                *report.start_refusals.entry(*reason).or_default() += 1;
                if *reason == StartRefusal::Capacity {
                    report.overruns += 1;
                    let text = format!(
                        "overrun: {worker} was ordered to run {key:?} beyond its free capacity"
                    );
                    report.add_violation(at_us, text);
                }
            }
            EvidenceEvent::Checkpointed {
                key, progress_ms, ..
            } => {
                self.checkpoint_progress_ms.insert(*key, *progress_ms);
            }
            EvidenceEvent::Ended {
                worker,
                key,
                state,
                lease_until_ms,
                ..
            } => self.record_end(worker, key, *state, *lease_until_ms, report),
            EvidenceEvent::DataCentreOut { data_centre } => {
                self.out_since.insert(data_centre.clone(), at_us);
            }
            EvidenceEvent::DataCentreBack { data_centre } => {
                self.out_since.shift_remove(data_centre);
            }
            EvidenceEvent::Executed { .. }
            | EvidenceEvent::Sent { .. }
            | EvidenceEvent::Settled { .. } => {}
        }
    }

    fn check_data_centre(
        &self,
        at_us: u64,
        worker: &WorkerName,
        data_centre: &DataCentreName,
        key: &AttemptKey,
        rules: &CheckRules,
        report: &mut CheckReport,
    ) {
        let Some(since) = self.out_since.get(data_centre) else {
            return;
        };
        if at_us > since + rules.out_bound_ms * 1_000 {
            report.starts_in_out_data_centre += 1;
            let out_ms = (at_us - since) / 1_000;
            let text = format!(
                "start out: {key:?} on {worker}, {out_ms} ms after taking out its data centre"
            );
            report.add_violation(at_us, text);
        }
    }

    fn check_resume(
        &mut self,
        at_us: u64,
        key: &AttemptKey,
        resume_ms: u64,
        report: &mut CheckReport,
    ) {
        let Some(saved_ms) = self.evicted_progress_ms.shift_remove(&key.task) else {
            return;
        };
        if resume_ms < saved_ms {
            report.resumed_short += 1;
            let text = format!("resumed short: {key:?} at {resume_ms} ms of {saved_ms} ms saved");
            report.add_violation(at_us, text);
        }
    }

    /// Checks the start of a task that has finished.
    ///
    /// The start is allowed only if the completion cannot have been reported, since agents were
    /// down and the lease of the finished attempt has expired.
    fn check_restart(
        &mut self,
        at_us: u64,
        key: &AttemptKey,
        rules: &CheckRules,
        report: &mut CheckReport,
    ) {
        let Some(finished) = self.finished.get(&key.task) else {
            return;
        };
        let completion_unreported = rules.agents_silent && at_us >= finished.lease_until_ms * 1_000;
        if !completion_unreported {
            report.finished_twice += 1;
            report.add_violation(
                at_us,
                format!("restart: {key:?} starts a task that had finished"),
            );
        }
    }

    fn check_start(
        &mut self,
        at_us: u64,
        worker: &WorkerName,
        attempt: RunningAttempt,
        report: &mut CheckReport,
    ) {
        for (other, worker_state) in &self.workers {
            let mut running = worker_state.running.iter();
            if let Some(running_attempt) = running.find(|x| x.key.task == attempt.key.task) {
                report.overlaps += 1;
                let (key, running_key) = (attempt.key, running_attempt.key);
                let text = format!("overlap: {key:?} on {worker} while {running_key:?} on {other}");
                report.add_violation(at_us, text);
            }
        }
        let worker_state = self.workers.entry(worker.clone()).or_default();
        worker_state.running.push(attempt);
        let total_demand = worker_state
            .running
            .iter()
            .try_fold(ResourceVector::ZERO, |total_demand, x| {
                total_demand.checked_add(&x.demand)
            });
        if !total_demand
            .is_some_and(|total_demand| total_demand.fits_within(&worker_state.capacity))
        {
            report.overruns += 1;
            report.add_violation(
                at_us,
                format!("overrun: {worker} runs {total_demand:?}, more than its capacity"),
            );
        }
    }

    fn record_end(
        &mut self,
        worker: &WorkerName,
        key: &AttemptKey,
        state: AttemptState,
        lease_until_ms: u64,
        report: &mut CheckReport,
    ) {
        let Some(worker_state) = self.workers.get_mut(worker) else {
            return;
        };
        let Some(index) = worker_state.running.iter().position(|x| x.key == *key) else {
            return;
        };
        let attempt = worker_state.running.swap_remove(index);
        if state == AttemptState::Expired {
            report.expired += 1;
        }
        if !attempt.is_batch {
            return;
        }
        match state {
            AttemptState::Finished => {
                let finished = FinishedAttempt { lease_until_ms };
                if self.finished.insert(key.task, finished).is_none() {
                    report.batch_finished += 1;
                }
            }
            AttemptState::Stopped => {
                if let Some(saved_ms) = self.checkpoint_progress_ms.get(key) {
                    report.evictions += 1;
                    self.evicted_progress_ms.insert(key.task, *saved_ms);
                }
            }
            AttemptState::Running | AttemptState::Expired | AttemptState::Failed => {}
        }
    }
}
