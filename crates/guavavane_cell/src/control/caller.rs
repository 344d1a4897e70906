//! Callers' requests, as entries pass them on.

use std::sync::Arc;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use super::commit::CommitPurpose;
use super::engine::ControlEngine;
use super::session::SessionId;
use crate::message::CallerAction;
use crate::message::CallerReply;
use crate::message::CallerRequest;
use crate::message::FromControl;
use crate::message::JobState;
use guavavane_jobs::prelude::JobKey;
use guavavane_jobs::prelude::JobLedger;
use guavavane_jobs::prelude::JobPhase;
use guavavane_jobs::prelude::JobSpec;
use guavavane_jobs::prelude::LedgerCommand;
use guavavane_jobs::prelude::RawJob;

/// Time after which another try makes sense when a kind of job is not served here.
const UNSERVED_RETRY_MS: u64 = 5_000;

/// The request that a reply belongs to.
#[derive(Clone, Copy, Debug)]
pub(super) struct CallTicket {
    pub(super) session: SessionId,
    pub(super) ticket: u64,
}

/// What a path names.
enum CallTarget {
    Queue {
        queue: Arc<str>,
    },
    Job {
        queue: Arc<str>,
        advised: bool,
        key: JobKey,
    },
}

/// The leader's time of day in milliseconds since 1970.
pub(super) fn time_of_day_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| {
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    })
}

fn find_target(ledger: &JobLedger, host: &str, path: &str) -> Result<CallTarget, CallerReply> {
    if ledger.catalog_text().is_empty() {
        return Err(CallerReply::Unavailable);
    }
    let Some((queue, rest)) = ledger.catalog().find(host, path) else {
        return Err(CallerReply::NoQueue);
    };
    let name = Arc::clone(&queue.name);
    let advised = queue.advice.is_some();
    if rest.is_empty() {
        return Ok(CallTarget::Queue { queue: name });
    }
    let key = rest
        .parse()
        .map_err(|error: guavavane_jobs::identity::IdentityFault| {
            CallerReply::Invalid(error.to_string())
        })?;
    Ok(CallTarget::Job {
        queue: name,
        advised,
        key,
    })
}

fn job_state(ledger: &JobLedger, key: JobKey) -> CallerReply {
    let Some(job) = ledger.job(key) else {
        return CallerReply::NoJob;
    };
    CallerReply::State(match job.phase {
        JobPhase::Active if job.started => JobState::Running,
        JobPhase::Active => JobState::Queued,
        JobPhase::Completed => JobState::Completed,
        JobPhase::Failed => JobState::Failed,
        JobPhase::Cancelled => JobState::Cancelled,
    })
}

impl ControlEngine {
    pub(super) fn serve_call(&mut self, ticket: CallTicket, request: CallerRequest) {
        let target = self
            .quorum
            .local(|ledger| find_target(ledger, &request.host, &request.path));
        let reply = match (target, request.action) {
            (Err(reply), _) => reply,
            (Ok(CallTarget::Queue { queue }), CallerAction::Query) => {
                let pending = self.quorum.local(|ledger| ledger.pending_jobs(&queue));
                CallerReply::Pending(pending as u64)
            }
            (Ok(CallTarget::Queue { .. }), _) => {
                CallerReply::Invalid("the path names no job".to_owned())
            }
            (Ok(CallTarget::Job { key, .. }), CallerAction::Query) => {
                self.quorum.local(|ledger| job_state(ledger, key))
            }
            (Ok(CallTarget::Job { key, .. }), CallerAction::Cancel) => {
                return self.cancel(ticket, key);
            }
            (
                Ok(CallTarget::Job {
                    key,
                    queue,
                    advised,
                }),
                CallerAction::Submit(job),
            ) => {
                return self.submit(ticket, key, queue, advised, *job);
            }
        };
        self.reply(ticket, reply);
    }

    pub(super) fn reply(&self, ticket: CallTicket, reply: CallerReply) {
        let session = self
            .memory
            .as_ref()
            .and_then(|m| m.sessions.get(&ticket.session));
        if let Some(session) = session {
            let ticket = ticket.ticket;
            session.sender.send(FromControl::Reply { ticket, reply });
        }
    }

    fn cancel(&mut self, ticket: CallTicket, key: JobKey) {
        let known = self
            .quorum
            .local(|ledger| ledger.job(key).map(|job| job.phase));
        match known {
            None => self.reply(ticket, CallerReply::NoJob),
            Some(JobPhase::Active) => {
                let command = LedgerCommand::Cancel { job: key };
                self.propose(command, CommitPurpose::Cancel { ticket, key });
            }
            Some(_) => self.reply(ticket, CallerReply::Cancelled),
        }
    }

    fn submit(
        &mut self,
        ticket: CallTicket,
        key: JobKey,
        queue: Arc<str>,
        advised: bool,
        job: RawJob,
    ) {
        if self.quorum.local(|ledger| ledger.job(key).is_some()) {
            return self.reply(ticket, CallerReply::Accepted);
        }
        let spec = match JobSpec::try_from(job) {
            Ok(spec) => spec,
            Err(fault) => return self.reply(ticket, CallerReply::Invalid(fault.to_string())),
        };
        if advised && self.settings.advice.is_none() {
            // Nobody can be asked for tickets: the job could never start.
            tracing::info!(event = "job_refused", job = %key, reason = "advised_queue");
            let retry_after_ms = UNSERVED_RETRY_MS;
            return self.reply(ticket, CallerReply::Refused { retry_after_ms });
        }
        let command = LedgerCommand::Submit {
            job: key,
            queue,
            spec: Arc::new(spec),
            accepted_ms: time_of_day_ms(),
        };
        self.propose(command, CommitPurpose::Submit { ticket, key });
    }
}
