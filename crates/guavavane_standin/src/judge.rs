//! The judge: counts from the evidence alone what must always hold.

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

/// Bound on starts after a data centre was taken out.
pub const OUT_BOUND_MS: u64 = 3_000;

/// What the judge lets pass.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JudgeRules {
    /// Whether processes on the callers' way were killed or frozen, so that a connection that
    /// broke or timed out counts as unknown rather than cut.
    pub entries_killed: bool,
    /// Whether agents were killed or frozen for longer than a lease, so that a task whose end
    /// could not be reported may run again once that lease is over.
    pub agents_silent: bool,
    /// Bound on starts after a data centre was taken out.
    pub out_bound_ms: u64,
}

impl Default for JudgeRules {
    fn default() -> Self {
        Self {
            entries_killed: false,
            agents_silent: false,
            out_bound_ms: OUT_BOUND_MS,
        }
    }
}

/// What the evidence comes to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct JudgeReport {
    /// Requests that callers sent.
    pub requests: u64,
    /// Requests with a whole answer.
    pub answered: u64,
    /// Requests refused as not run.
    pub refused: u64,
    /// Requests whose callers were told, or had to assume, that the outcome is unknown.
    pub unknown: u64,
    /// Requests without an outcome, or answered and never executed.
    pub lost: u64,
    /// Slip entries that were executed more than once.
    pub doubled: u64,
    /// Requests whose answer was not whole, not their own, or broke off.
    pub cut: u64,
    /// Requests refused as not run that were executed.
    pub false_refusals: u64,
    /// Batch tasks that finished.
    pub batch_finished: u64,
    /// Batch attempts that were stopped after a checkpoint.
    pub evictions: u64,
    /// Starts of batch tasks that had finished.
    pub finished_twice: u64,
    /// Batch attempts that resumed with less than their eviction had kept.
    pub resumed_short: u64,
    /// Tasks that ran in two places at once.
    pub overlaps: u64,
    /// Moments at which a worker ran more than it has, or was ordered to.
    pub overruns: u64,
    /// Starts in a data centre that was out for longer than the bound.
    pub starts_in_out_data_centre: u64,
    /// Endpoints that run at the end of the evidence.
    pub running_services: u64,
    /// Attempts whose lease ran out.
    pub expired: u64,
    /// Starts of attempts.
    pub starts: u64,
    /// Starts that workers refused, by reason.
    pub start_refusals: IndexMap<StartRefusal, u64>,
    /// Reasons that entries gave for requests that were not answered.
    pub reasons: IndexMap<String, u64>,
    /// One line for each fault.
    pub faults: Vec<String>,
}

impl JudgeReport {
    /// Whether nothing that must always hold was broken.
    pub fn is_good(&self) -> bool {
        self.faults.is_empty()
    }

    /// The one line of counts.
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

    fn fault(&mut self, at_us: u64, text: String) {
        self.faults.push(format!("at_us={at_us} {text}"));
    }
}

/// Judges records that are in order of time.
pub fn judge_records(records: &[EvidenceRecord], rules: &JudgeRules) -> JudgeReport {
    let mut report = JudgeReport::default();
    judge_requests(records, rules, &mut report);
    TaskJudge::default().judge(records, rules, &mut report);
    report
}

#[derive(Debug, Default)]
struct CallerRecord {
    sent_us: u64,
    slip: bool,
    outcome: Option<CallerOutcome>,
}

fn judge_requests(records: &[EvidenceRecord], rules: &JudgeRules, report: &mut JudgeReport) {
    let mut callers: IndexMap<&str, CallerRecord> = IndexMap::new();
    let mut executions: IndexMap<&str, u64> = IndexMap::new();
    for record in records {
        match &record.event {
            EvidenceEvent::Sent {
                caller_id, method, ..
            } => {
                let caller = callers.entry(caller_id).or_default();
                caller.sent_us = record.at_us;
                caller.slip = method != "GET";
            }
            EvidenceEvent::Settled {
                caller_id,
                outcome,
                reason,
                ..
            } => {
                callers.entry(caller_id).or_default().outcome = Some(*outcome);
                if *outcome != CallerOutcome::Answered {
                    *report.reasons.entry(reason.clone()).or_default() += 1;
                }
            }
            EvidenceEvent::Executed { caller_id, .. } => {
                *executions.entry(caller_id).or_default() += 1;
            }
            _ => {}
        }
    }
    for (caller_id, caller) in &callers {
        let executed = executions.get(caller_id).copied().unwrap_or(0);
        judge_request(caller_id, caller, executed, rules, report);
    }
}

fn judge_request(
    caller_id: &str,
    caller: &CallerRecord,
    executed: u64,
    rules: &JudgeRules,
    report: &mut JudgeReport,
) {
    report.requests += 1;
    let at = caller.sent_us;
    match caller.outcome {
        None => {
            report.lost += 1;
            report.fault(at, format!("lost: {caller_id} has no outcome"));
        }
        Some(CallerOutcome::Answered) => {
            report.answered += 1;
            if executed == 0 {
                report.lost += 1;
                report.fault(at, format!("lost: {caller_id} answered but not executed"));
            }
        }
        Some(CallerOutcome::NotRun) => {
            report.refused += 1;
            if executed > 0 {
                report.false_refusals += 1;
                let text = format!("false refusal: {caller_id} executed {executed} times");
                report.fault(at, text);
            }
        }
        Some(CallerOutcome::Unknown) => report.unknown += 1,
        Some(CallerOutcome::TimedOut | CallerOutcome::Broken) if rules.entries_killed => {
            report.unknown += 1;
        }
        Some(outcome) => {
            report.cut += 1;
            report.fault(at, format!("cut: {caller_id} {outcome:?}"));
        }
    }
    if caller.slip && executed > 1 {
        report.doubled += 1;
        report.fault(
            at,
            format!("doubled: {caller_id} executed {executed} times"),
        );
    }
}

#[derive(Clone, Debug)]
struct RunningTask {
    key: AttemptKey,
    batch: bool,
    demand: ResourceVector,
}

#[derive(Clone, Debug, Default)]
struct WorkerRecord {
    capacity: ResourceVector,
    running: Vec<RunningTask>,
}

#[derive(Clone, Copy, Debug)]
struct FinishedTask {
    lease_until_ms: u64,
}

#[derive(Debug, Default)]
struct TaskJudge {
    workers: IndexMap<WorkerName, WorkerRecord>,
    out_since: IndexMap<DataCentreName, u64>,
    kept: IndexMap<AttemptKey, u64>,
    evicted: IndexMap<TaskId, u64>,
    finished: IndexMap<TaskId, FinishedTask>,
}

impl TaskJudge {
    fn judge(&mut self, records: &[EvidenceRecord], rules: &JudgeRules, report: &mut JudgeReport) {
        for record in records {
            self.judge_event(record.at_us, &record.event, rules, report);
        }
        let running = self.workers.values().flat_map(|x| &x.running);
        report.running_services = running.filter(|task| !task.batch).count() as u64;
    }

    fn judge_event(
        &mut self,
        at: u64,
        event: &EvidenceEvent,
        rules: &JudgeRules,
        report: &mut JudgeReport,
    ) {
        match event {
            EvidenceEvent::WorkerUp {
                worker, capacity, ..
            } => {
                let record = self.workers.entry(worker.clone()).or_default();
                record.capacity = *capacity;
                record.running.clear();
            }
            EvidenceEvent::WorkerKilled { worker } => {
                let record = self.workers.entry(worker.clone()).or_default();
                record.running.clear();
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
                let task = RunningTask {
                    key: *key,
                    batch: matches!(program, StartProgram::Batch { .. }),
                    demand: *demand,
                };
                report.starts += 1;
                self.judge_out(at, worker, data_centre, key, rules, report);
                self.judge_resume(at, key, *resume_ms, report);
                self.judge_restart(at, key, rules, report);
                self.judge_start(at, worker, task, report);
            }
            EvidenceEvent::StartRefused {
                worker,
                key,
                reason,
            } => {
                *report.start_refusals.entry(*reason).or_default() += 1;
                if *reason == StartRefusal::Capacity {
                    report.overruns += 1;
                    let text = format!("overrun: {worker} was ordered beyond it, {key:?}");
                    report.fault(at, text);
                }
            }
            EvidenceEvent::Checkpointed {
                key, progress_ms, ..
            } => {
                self.kept.insert(*key, *progress_ms);
            }
            EvidenceEvent::Ended {
                worker,
                key,
                state,
                lease_until_ms,
                ..
            } => self.judge_end(worker, key, *state, *lease_until_ms, report),
            EvidenceEvent::DataCentreOut { data_centre } => {
                self.out_since.insert(data_centre.clone(), at);
            }
            EvidenceEvent::DataCentreBack { data_centre } => {
                self.out_since.shift_remove(data_centre);
            }
            EvidenceEvent::Executed { .. }
            | EvidenceEvent::Sent { .. }
            | EvidenceEvent::Settled { .. } => {}
        }
    }

    fn judge_out(
        &self,
        at: u64,
        worker: &WorkerName,
        data_centre: &DataCentreName,
        key: &AttemptKey,
        rules: &JudgeRules,
        report: &mut JudgeReport,
    ) {
        let Some(since) = self.out_since.get(data_centre) else {
            return;
        };
        if at > since + rules.out_bound_ms * 1_000 {
            report.starts_in_out_data_centre += 1;
            let late_ms = (at - since) / 1_000;
            let text = format!("start out: {key:?} on {worker}, {late_ms} ms after out");
            report.fault(at, text);
        }
    }

    fn judge_resume(&mut self, at: u64, key: &AttemptKey, resume: u64, report: &mut JudgeReport) {
        let Some(kept) = self.evicted.shift_remove(&key.task) else {
            return;
        };
        if resume < kept {
            report.resumed_short += 1;
            let text = format!("resumed short: {key:?} at {resume} of {kept} ms");
            report.fault(at, text);
        }
    }

    /// A finished task may start again only if its end cannot have been reported: its agent
    /// was silent until its lease was over.
    fn judge_restart(
        &mut self,
        at: u64,
        key: &AttemptKey,
        rules: &JudgeRules,
        report: &mut JudgeReport,
    ) {
        let Some(finished) = self.finished.get(&key.task) else {
            return;
        };
        let unreported = rules.agents_silent && at >= finished.lease_until_ms * 1_000;
        if !unreported {
            report.finished_twice += 1;
            report.fault(at, format!("restart: {key:?} had finished"));
        }
    }

    fn judge_start(
        &mut self,
        at: u64,
        worker: &WorkerName,
        task: RunningTask,
        report: &mut JudgeReport,
    ) {
        for (other, record) in &self.workers {
            let mut running = record.running.iter();
            if let Some(same) = running.find(|x| x.key.task == task.key.task) {
                report.overlaps += 1;
                let (key, first) = (task.key, same.key);
                let text = format!("overlap: {key:?} on {worker} while {first:?} on {other}");
                report.fault(at, text);
            }
        }
        let record = self.workers.entry(worker.clone()).or_default();
        record.running.push(task);
        let sum = record
            .running
            .iter()
            .try_fold(ResourceVector::ZERO, |sum, x| sum.checked_add(&x.demand));
        if !sum.is_some_and(|sum| sum.fits_within(&record.capacity)) {
            report.overruns += 1;
            report.fault(at, format!("overrun: {worker} runs {sum:?}"));
        }
    }

    fn judge_end(
        &mut self,
        worker: &WorkerName,
        key: &AttemptKey,
        state: AttemptState,
        lease_until_ms: u64,
        report: &mut JudgeReport,
    ) {
        let Some(record) = self.workers.get_mut(worker) else {
            return;
        };
        let Some(index) = record.running.iter().position(|x| x.key == *key) else {
            return;
        };
        let task = record.running.swap_remove(index);
        if state == AttemptState::Expired {
            report.expired += 1;
        }
        if !task.batch {
            return;
        }
        match state {
            AttemptState::Finished => {
                let finished = FinishedTask { lease_until_ms };
                if self.finished.insert(key.task, finished).is_none() {
                    report.batch_finished += 1;
                }
            }
            AttemptState::Stopped => {
                if let Some(kept) = self.kept.get(key) {
                    report.evictions += 1;
                    self.evicted.insert(key.task, *kept);
                }
            }
            AttemptState::Running | AttemptState::Expired | AttemptState::Failed => {}
        }
    }
}
