//! Handles the callers' requests that entries forward.

use std::sync::Arc;

use super::engine::ControlEngine;
use super::input::CallOrigin;
use super::input::CommitPurpose;
use super::wall_clock::time_of_day_ms;
use crate::message::CallerAction;
use crate::message::CallerReply;
use crate::message::CallerRequest;
use crate::message::FromControl;
use crate::message::JobState;
use crate::metric;
use guavavane_jobs::prelude::AdviceTiming;
use guavavane_jobs::prelude::BudgetExceeded;
use guavavane_jobs::prelude::JobKey;
use guavavane_jobs::prelude::JobLedger;
use guavavane_jobs::prelude::JobPhase;
use guavavane_jobs::prelude::JobSpec;
use guavavane_jobs::prelude::LedgerCommand;
use guavavane_jobs::prelude::RawJob;

/// Retry delay that a refused caller is given if its queue needs an advice service and none exists.
const NO_ADVICE_RETRY_MS: u64 = 5_000;
/// Retry delay that a refused caller is given if there is no memory for the job: some jobs end in that
/// time.
const BUDGET_RETRY_MS: u64 = 5_000;

/// Target that the path of a request names.
enum CallTarget {
    Queue {
        queue: Arc<str>,
    },
    Job {
        queue: Arc<str>,
        advice: Option<AdviceTiming>,
        key: JobKey,
    },
}

fn find_target(ledger: &JobLedger, host: &str, path: &str) -> Result<CallTarget, CallerReply> {
    if ledger.catalog_text().is_empty() {
        return Err(CallerReply::Unavailable);
    }
    let Some((queue, rest)) = ledger.catalog().find(host, path) else {
        return Err(CallerReply::NoQueue);
    };
    let queue_name = Arc::clone(&queue.name);
    let advice = queue.advice;
    if rest.is_empty() {
        return Ok(CallTarget::Queue { queue: queue_name });
    }
    let key = rest
        .parse()
        .map_err(|error: guavavane_jobs::identity::IdentityFault| {
            CallerReply::Invalid(error.to_string())
        })?;
    Ok(CallTarget::Job {
        queue: queue_name,
        advice,
        key,
    })
}

fn job_state(ledger: &JobLedger, key: JobKey) -> CallerReply {
    let Some(job) = ledger.job(key) else {
        return CallerReply::NoJob;
    };
    let is_running = || job.started || ledger.run_holders(key).next().is_some();
    CallerReply::State(match job.phase {
        JobPhase::Active if is_running() => JobState::Running,
        JobPhase::Active => JobState::Queued,
        JobPhase::Completed => JobState::Completed,
        JobPhase::Failed => JobState::Failed,
        JobPhase::Cancelled => JobState::Cancelled,
    })
}

impl ControlEngine {
    fn pending_jobs(&self, queue: &str) -> usize {
        let state = self.leader_state.as_ref();
        let answers = |worker| state.is_some_and(|state| state.worker_answers(worker));
        self.quorum
            .read_local(|ledger| ledger.pending_jobs(queue, answers))
    }

    pub(super) fn serve_call(&mut self, origin: CallOrigin, request: CallerRequest) {
        if request.is_for_limits() {
            return self.serve_limits_query(origin);
        }
        let target = self
            .quorum
            .read_local(|ledger| find_target(ledger, &request.host, &request.path));
        let reply = match (target, request.action) {
            (Err(reply), _) => reply,
            (Ok(CallTarget::Queue { queue }), CallerAction::Query) => {
                CallerReply::Pending(self.pending_jobs(&queue) as u64)
            }
            (Ok(CallTarget::Queue { .. }), _) => {
                CallerReply::Invalid("the path names no job".to_owned())
            }
            (Ok(CallTarget::Job { key, .. }), CallerAction::Query) => {
                self.quorum.read_local(|ledger| job_state(ledger, key))
            }
            (Ok(CallTarget::Job { key, .. }), CallerAction::Cancel) => {
                return self.cancel(origin, key);
            }
            (Ok(CallTarget::Job { key, queue, advice }), CallerAction::Submit(job)) => {
                let job = Arc::unwrap_or_clone(job);
                return self.submit(origin, key, queue, advice, job);
            }
        };
        self.reply(origin, reply);
    }

    pub(super) fn reply(&self, origin: CallOrigin, reply: CallerReply) {
        let session = self
            .leader_state
            .as_ref()
            .and_then(|state| state.sessions.get(&origin.session));
        if let Some(session) = session {
            let call_id = origin.call_id;
            session.sender.send(FromControl::Reply { call_id, reply });
        }
    }

    fn cancel(&mut self, origin: CallOrigin, key: JobKey) {
        let phase = self
            .quorum
            .read_local(|ledger| ledger.job(key).map(|job| job.phase));
        match phase {
            None => self.reply(origin, CallerReply::NoJob),
            Some(JobPhase::Active) => {
                let command = LedgerCommand::Cancel { job: key };
                self.propose(command, CommitPurpose::Cancel { origin, key });
            }
            Some(_) => self.reply(origin, CallerReply::Cancelled),
        }
    }

    fn submit(
        &mut self,
        origin: CallOrigin,
        key: JobKey,
        queue: Arc<str>,
        advice: Option<AdviceTiming>,
        job: RawJob,
    ) {
        if self.quorum.read_local(|ledger| ledger.job(key).is_some()) {
            return self.reply(origin, CallerReply::Accepted);
        }
        let spec = match JobSpec::try_from(job) {
            Ok(spec) => spec,
            Err(fault) => return self.reply(origin, CallerReply::Invalid(fault.to_string())),
        };
        let has_service = self.settings.advice.is_some();
        if advice.is_some_and(|timing| !has_service || !timing.is_usable()) {
            // No service issues tickets for this queue that a start can use, so the job could never start.
            metric::count_event("job_refused", "advised_queue");
            tracing::info!(event = "job_refused", job = %key, reason = "advised_queue", has_service, ?advice);
            let retry_after_ms = NO_ADVICE_RETRY_MS;
            return self.reply(origin, CallerReply::Refused { retry_after_ms });
        }
        let bytes = JobLedger::submission_bytes(&spec);
        let ledger_bytes = self.quorum.read_local(JobLedger::job_bytes);
        let admitted = self.job_admission.admit(key, ledger_bytes, bytes);
        if let Err(BudgetExceeded) = admitted {
            metric::count_event("job_refused", "job_bytes");
            tracing::info!(event = "job_refused", job = %key, reason = "job_bytes", bytes);
            let retry_after_ms = BUDGET_RETRY_MS;
            return self.reply(origin, CallerReply::Refused { retry_after_ms });
        }
        let command = LedgerCommand::Submit {
            job: key,
            queue,
            spec: Arc::new(spec),
            accepted_ms: time_of_day_ms(),
        };
        self.propose(command, CommitPurpose::Submit { origin, key });
    }
}
