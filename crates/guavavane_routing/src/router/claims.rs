//! Claims of idempotency keys: acquire, settle and release.

use std::sync::Arc;

use crate::claim::ClaimTag;
use crate::claim::ClaimUpdate;
use crate::lifecycle::ClaimConflictTransition;
use crate::lifecycle::Claiming;
use crate::lifecycle::RequestLifecycle;
use crate::request::AttemptOutcome;
use crate::request::CallerRequest;
use crate::request::NotRunReason;
use crate::request::RequestResult;
use crate::router::LiveRequest;
use crate::router::RequestRouter;
use crate::router::RouterOutcome;
use crate::timer::TimerEvent;
use guavavane_model::prelude::BootTime;
use guavavane_model::prelude::RequestId;
use guavavane_protocol::prelude::ClaimChange;
use guavavane_protocol::prelude::ClaimHolder;
use guavavane_protocol::prelude::ClaimKey;
use guavavane_protocol::prelude::ClaimOutcome;
use guavavane_protocol::prelude::ClaimReply;
use guavavane_protocol::prelude::ClaimRequest;
use guavavane_protocol::prelude::HttpAnswer;
use guavavane_protocol::prelude::RequestAttempt;

impl RequestRouter {
    /// Asks control for the claim of a request.
    pub(super) fn send_claim(&mut self, now: BootTime, lifecycle: RequestLifecycle<Claiming>) {
        let request = Arc::clone(&lifecycle.context.request);
        let call = claim_call(&request, lifecycle.change());
        let remaining = request.deadline.saturating_since(now);
        self.requests
            .insert(request.id, LiveRequest::Claiming(lifecycle));
        self.outcomes.push(RouterOutcome::Claim {
            tag: ClaimTag::Request(request.id),
            call: Box::new(call),
            limit: remaining.min(self.settings.claim_timeout),
        });
    }

    /// Takes the end of a claim.
    pub(super) fn end_claim(&mut self, now: BootTime, id: RequestId, reply: Option<ClaimReply>) {
        let Some(LiveRequest::Claiming(lifecycle)) = self.requests.get(&id) else {
            self.release_abandoned(now, id, reply);
            return;
        };
        let lifecycle = lifecycle.clone();
        let request = Arc::clone(&lifecycle.context.request);
        self.requests.swap_remove(&id);
        let holder = lifecycle.holder().clone();
        match reply {
            Some(ClaimReply::Outcome(ClaimOutcome::Granted)) => {
                if self.is_too_late(now, &request) {
                    self.release_claim(now, &request, holder.attempt);
                    self.refuse_claim(now, lifecycle, NotRunReason::DeadlinePassed);
                    return;
                }
                self.start_granted(now, lifecycle);
            }
            Some(ClaimReply::Outcome(ClaimOutcome::Held(other))) => {
                self.close_unsent(now, holder.attempt);
                self.end_held(now, lifecycle, other);
            }
            Some(ClaimReply::Outcome(ClaimOutcome::Answered(answer))) => {
                self.close_unsent(now, holder.attempt);
                self.finish(&request, RequestResult::Answered(answer));
            }
            Some(ClaimReply::Outcome(ClaimOutcome::DigestMismatch)) => {
                self.refuse_claim(now, lifecycle, NotRunReason::KeyMismatch);
            }
            Some(ClaimReply::Outcome(ClaimOutcome::Full)) => {
                self.refuse_claim(now, lifecycle, NotRunReason::ClaimsFull);
            }
            Some(ClaimReply::Refused(_)) | None => {
                // The claim may be committed all the same: free it for the next resend.
                self.release_claim(now, &request, holder.attempt);
                self.refuse_claim(now, lifecycle, NotRunReason::ControlUnavailable);
            }
        }
    }

    /// Dispatches a claimed attempt, unless its endpoint takes no work any more.
    fn start_granted(&mut self, now: BootTime, lifecycle: RequestLifecycle<Claiming>) {
        let request = Arc::clone(&lifecycle.context.request);
        let holder = lifecycle.holder().clone();
        let record = self.table.find_mut(&holder.target);
        if record.is_some_and(|record| record.is_live(now)) {
            let lifecycle = lifecycle.mark_granted();
            self.requests
                .insert(request.id, LiveRequest::Running(lifecycle));
            self.dispatch(now, &request, holder);
        } else {
            self.close_unsent(now, holder.attempt);
            self.resend(now, lifecycle.mark_unsent(), false);
        }
    }

    fn refuse_claim(
        &mut self,
        now: BootTime,
        lifecycle: RequestLifecycle<Claiming>,
        reason: NotRunReason,
    ) {
        let request = Arc::clone(&lifecycle.context.request);
        self.close_unsent(now, lifecycle.holder().attempt);
        let released = lifecycle.context.claim_to_release();
        self.finish(&request, lifecycle.finish(reason));
        if let Some(not_run) = released {
            self.release_claim(now, &request, not_run);
        }
    }

    fn end_held(
        &mut self,
        now: BootTime,
        lifecycle: RequestLifecycle<Claiming>,
        other: ClaimHolder,
    ) {
        let request = Arc::clone(&lifecycle.context.request);
        match lifecycle.handle_conflict(other, self.settings.claim_conflicts_max) {
            ClaimConflictTransition::Waiting(lifecycle) => self.resend(now, lifecycle, false),
            ClaimConflictTransition::Blocked(lifecycle) => {
                self.requests
                    .insert(request.id, LiveRequest::Blocked(lifecycle));
                let at = now + self.settings.claim_backoff;
                self.timers.add(at, TimerEvent::ClaimBackoff(request.id));
            }
            ClaimConflictTransition::Resolving(lifecycle) => self.send_revoke(now, lifecycle),
            ClaimConflictTransition::Finished(result) => self.finish(&request, result),
        }
    }

    /// Asks for a claim again after the wait for its holder.
    pub(super) fn recheck_claim(&mut self, now: BootTime, id: RequestId) {
        let Some(LiveRequest::Blocked(lifecycle)) = self.requests.get(&id) else {
            return;
        };
        let lifecycle = lifecycle.clone().retry_claim();
        self.send_claim(now, lifecycle);
    }

    /// Frees the room of an attempt that was never sent.
    fn close_unsent(&mut self, now: BootTime, attempt: RequestAttempt) {
        let Some(open) = self.attempts.swap_remove(&attempt) else {
            return;
        };
        if let Some(record) = self.table.find_mut(&open.holder.target) {
            record.close_attempt(open.started_at);
        }
        self.pump(now, &open.request.service);
    }

    /// Remembers a claim whose request has ended, to release it once its call has ended.
    pub(super) fn abandon_claim(&mut self, lifecycle: &RequestLifecycle<Claiming>) {
        let request = &lifecycle.context.request;
        let change = ClaimChange::Release {
            not_run: lifecycle.holder().attempt,
        };
        self.abandoned
            .insert(request.id, claim_call(request, change));
    }

    fn release_abandoned(&mut self, now: BootTime, id: RequestId, reply: Option<ClaimReply>) {
        let Some(call) = self.abandoned.swap_remove(&id) else {
            return;
        };
        if let ClaimChange::Release { not_run } = call.change {
            self.close_unsent(now, not_run);
        }
        let other = matches!(
            reply,
            Some(ClaimReply::Outcome(
                ClaimOutcome::Held(_)
                    | ClaimOutcome::Answered(_)
                    | ClaimOutcome::DigestMismatch
                    | ClaimOutcome::Full
            ))
        );
        if !other {
            self.add_job(now, call);
        }
    }

    /// Frees the key of an attempt that did not run.
    pub(super) fn release_claim(
        &mut self,
        now: BootTime,
        request: &CallerRequest,
        not_run: RequestAttempt,
    ) {
        let call = claim_call(request, ClaimChange::Release { not_run });
        self.add_job(now, call);
    }

    /// Keeps the answer of an attempt under its key, if the request has one.
    pub(super) fn settle_claim(
        &mut self,
        now: BootTime,
        request: &CallerRequest,
        attempt: RequestAttempt,
        answer: HttpAnswer,
    ) {
        if request.claim.is_some() {
            let call = claim_call(request, ClaimChange::Settle { attempt, answer });
            self.add_job(now, call);
        }
    }

    /// Takes the end of an attempt whose request has its result already.
    pub(super) fn settle_late(
        &mut self,
        now: BootTime,
        request: &CallerRequest,
        attempt: RequestAttempt,
        end: AttemptOutcome,
    ) {
        if request.claim.is_none() {
            return;
        }
        match end {
            AttemptOutcome::Answered(answer) => self.settle_claim(now, request, attempt, answer),
            AttemptOutcome::NotRun(_) => self.release_claim(now, request, attempt),
            AttemptOutcome::Unknown(_) | AttemptOutcome::NoReply => {}
        }
    }

    fn add_job(&mut self, now: BootTime, call: ClaimRequest) {
        let job = self.next_job;
        self.next_job += 1;
        let expires_at = now + self.settings.settle_timeout;
        self.jobs.insert(job, ClaimUpdate { call, expires_at });
        self.send_job(now, job);
    }

    /// Sends a claim job, or gives it up.
    pub(super) fn send_job(&mut self, now: BootTime, job: u64) {
        let Some(record) = self.jobs.get(&job) else {
            return;
        };
        if now >= record.expires_at {
            self.jobs.swap_remove(&job);
            return;
        }
        self.outcomes.push(RouterOutcome::Claim {
            tag: ClaimTag::Update(job),
            call: Box::new(record.call.clone()),
            limit: self.settings.claim_timeout,
        });
    }

    /// Takes the end of a claim job.
    pub(super) fn end_job(&mut self, now: BootTime, job: u64, reply: Option<ClaimReply>) {
        if let Some(ClaimReply::Outcome(_)) = reply {
            self.jobs.swap_remove(&job);
            return;
        }
        let at = now + self.settings.settle_backoff;
        self.timers.add(at, TimerEvent::ClaimUpdate(job));
    }
}

fn claim_call(request: &CallerRequest, change: ClaimChange) -> ClaimRequest {
    let intent = request
        .claim
        .as_ref()
        .expect("only keyed requests change claims");
    ClaimRequest {
        key: ClaimKey {
            environment: request.service.environment.clone(),
            service: request.service.service.clone(),
            key: Arc::clone(&intent.key),
        },
        digest: intent.digest,
        change,
    }
}
