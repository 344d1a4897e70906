//! Claims of idempotency keys: acquisition, settlement and release.

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
use crate::router::InFlightRequest;
use crate::router::RequestRouter;
use crate::router::RouterAction;
use crate::timer::TimerEvent;
use guavavane_model::prelude::BootTime;
use guavavane_model::prelude::RequestId;
use guavavane_protocol::prelude::ClaimChange;
use guavavane_protocol::prelude::ClaimHolder;
use guavavane_protocol::prelude::ClaimKey;
use guavavane_protocol::prelude::ClaimOutcome;
use guavavane_protocol::prelude::ClaimReply;
use guavavane_protocol::prelude::ClaimRequest;
use guavavane_protocol::prelude::HttpResponse;
use guavavane_protocol::prelude::RequestAttempt;

impl RequestRouter {
    /// Requests the claim of a request from control.
    pub(super) fn send_claim(&mut self, now: BootTime, lifecycle: RequestLifecycle<Claiming>) {
        let request = Arc::clone(&lifecycle.context.request);
        let call = build_claim_request(&request, lifecycle.change());
        let remaining = request.deadline.saturating_since(now);
        self.requests
            .insert(request.id, InFlightRequest::Claiming(lifecycle));
        self.actions.push(RouterAction::Claim {
            tag: ClaimTag::Request(request.id),
            call: Box::new(call),
            timeout: remaining.min(self.settings.claim_timeout),
        });
    }

    /// Handles the reply of control to the claim of a request.
    pub(super) fn handle_claim_reply(
        &mut self,
        now: BootTime,
        id: RequestId,
        reply: Option<ClaimReply>,
    ) {
        let Some(InFlightRequest::Claiming(lifecycle)) = self.requests.get(&id) else {
            self.release_abandoned_claim(now, id, reply);
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
                    self.finish_without_claim(now, lifecycle, NotRunReason::DeadlinePassed);
                    return;
                }
                self.dispatch_granted(now, lifecycle);
            }
            Some(ClaimReply::Outcome(ClaimOutcome::Held(other))) => {
                self.close_unsent_attempt(now, holder.attempt);
                self.handle_held_claim(now, lifecycle, other);
            }
            Some(ClaimReply::Outcome(ClaimOutcome::Answered(answer))) => {
                self.close_unsent_attempt(now, holder.attempt);
                self.finish(&request, RequestResult::Answered(answer));
            }
            Some(ClaimReply::Outcome(ClaimOutcome::DigestMismatch)) => {
                self.finish_without_claim(now, lifecycle, NotRunReason::KeyMismatch);
            }
            Some(ClaimReply::Outcome(ClaimOutcome::Full)) => {
                self.finish_without_claim(now, lifecycle, NotRunReason::ClaimsFull);
            }
            Some(ClaimReply::Refused(_)) | None => {
                // The claim may have been committed nevertheless; its release lets a later
                // request with the key run.
                self.release_claim(now, &request, holder.attempt);
                self.finish_without_claim(now, lifecycle, NotRunReason::ControlUnavailable);
            }
        }
    }

    /// Dispatches the attempt of a granted claim, or chooses another endpoint if its endpoint is
    /// no longer live.
    fn dispatch_granted(&mut self, now: BootTime, lifecycle: RequestLifecycle<Claiming>) {
        let request = Arc::clone(&lifecycle.context.request);
        let holder = lifecycle.holder().clone();
        let record = self.table.find_mut(&holder.target);
        if record.is_some_and(|record| record.is_live(now)) {
            let lifecycle = lifecycle.mark_granted();
            self.requests
                .insert(request.id, InFlightRequest::Running(lifecycle));
            self.dispatch(now, &request, holder);
        } else {
            self.close_unsent_attempt(now, holder.attempt);
            self.resend(now, lifecycle.mark_unsent(), false);
        }
    }

    fn finish_without_claim(
        &mut self,
        now: BootTime,
        lifecycle: RequestLifecycle<Claiming>,
        reason: NotRunReason,
    ) {
        let request = Arc::clone(&lifecycle.context.request);
        self.close_unsent_attempt(now, lifecycle.holder().attempt);
        let holder_to_release = lifecycle.context.holder_to_release();
        self.finish(&request, lifecycle.finish(reason));
        if let Some(not_run) = holder_to_release {
            self.release_claim(now, &request, not_run);
        }
    }

    fn handle_held_claim(
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
                    .insert(request.id, InFlightRequest::Blocked(lifecycle));
                let due_at = now + self.settings.claim_backoff;
                self.timers
                    .add(due_at, TimerEvent::ClaimBackoff(request.id));
            }
            ClaimConflictTransition::Resolving(lifecycle) => self.send_revoke(now, lifecycle),
            ClaimConflictTransition::Finished(result) => self.finish(&request, result),
        }
    }

    /// Requests a claim again after the backoff.
    pub(super) fn retry_claim(&mut self, now: BootTime, id: RequestId) {
        let Some(InFlightRequest::Blocked(lifecycle)) = self.requests.get(&id) else {
            return;
        };
        let lifecycle = lifecycle.clone().retry_claim();
        self.send_claim(now, lifecycle);
    }

    /// Stops counting an attempt that was never sent.
    fn close_unsent_attempt(&mut self, now: BootTime, attempt: RequestAttempt) {
        let Some(open_attempt) = self.attempts.swap_remove(&attempt) else {
            return;
        };
        if let Some(record) = self.table.find_mut(&open_attempt.holder.target) {
            record.close_attempt(open_attempt.started_at);
        }
        self.dispatch_queue(now, &open_attempt.request.service);
    }

    /// Records the claim of a request that ended before the reply, so that it is released when
    /// the reply arrives.
    pub(super) fn abandon_claim(&mut self, lifecycle: &RequestLifecycle<Claiming>) {
        let request = &lifecycle.context.request;
        let change = ClaimChange::Release {
            not_run: lifecycle.holder().attempt,
        };
        self.abandoned_claims
            .insert(request.id, build_claim_request(request, change));
    }

    fn release_abandoned_claim(&mut self, now: BootTime, id: RequestId, reply: Option<ClaimReply>) {
        let Some(call) = self.abandoned_claims.swap_remove(&id) else {
            return;
        };
        if let ClaimChange::Release { not_run } = call.change {
            self.close_unsent_attempt(now, not_run);
        }
        let is_rejected = matches!(
            reply,
            Some(ClaimReply::Outcome(
                ClaimOutcome::Held(_)
                    | ClaimOutcome::Answered(_)
                    | ClaimOutcome::DigestMismatch
                    | ClaimOutcome::Full
            ))
        );
        if !is_rejected {
            self.start_update(now, call);
        }
    }

    /// Releases the key of an attempt that did not run.
    pub(super) fn release_claim(
        &mut self,
        now: BootTime,
        request: &CallerRequest,
        not_run: RequestAttempt,
    ) {
        let call = build_claim_request(request, ClaimChange::Release { not_run });
        self.start_update(now, call);
    }

    /// Stores the answer of an attempt under the key of the request, if it has one.
    pub(super) fn settle_claim(
        &mut self,
        now: BootTime,
        request: &CallerRequest,
        attempt: RequestAttempt,
        answer: HttpResponse,
    ) {
        if request.claim.is_some() {
            let call = build_claim_request(request, ClaimChange::Settle { attempt, answer });
            self.start_update(now, call);
        }
    }

    /// Settles or releases the claim of an attempt whose request has already ended. An unknown
    /// outcome leaves the claim held.
    pub(super) fn settle_late_outcome(
        &mut self,
        now: BootTime,
        request: &CallerRequest,
        attempt: RequestAttempt,
        outcome: AttemptOutcome,
    ) {
        if request.claim.is_none() {
            return;
        }
        match outcome {
            AttemptOutcome::Answered(answer) => self.settle_claim(now, request, attempt, answer),
            AttemptOutcome::NotRun(_) => self.release_claim(now, request, attempt),
            AttemptOutcome::Unknown(_) | AttemptOutcome::NoReply => {}
        }
    }

    fn start_update(&mut self, now: BootTime, call: ClaimRequest) {
        let update_id = self.next_update_id;
        self.next_update_id += 1;
        let expires_at = now + self.settings.settle_timeout;
        self.claim_updates
            .insert(update_id, ClaimUpdate { call, expires_at });
        self.send_update(now, update_id);
    }

    /// Sends a claim update, or gives it up once it has expired.
    pub(super) fn send_update(&mut self, now: BootTime, update_id: u64) {
        let Some(update) = self.claim_updates.get(&update_id) else {
            return;
        };
        if now >= update.expires_at {
            self.claim_updates.swap_remove(&update_id);
            return;
        }
        self.actions.push(RouterAction::Claim {
            tag: ClaimTag::Update(update_id),
            call: Box::new(update.call.clone()),
            timeout: self.settings.claim_timeout,
        });
    }

    /// Handles the reply of control to a claim update; without a confirmation the update is sent
    /// again after a backoff.
    pub(super) fn handle_update_reply(
        &mut self,
        now: BootTime,
        update_id: u64,
        reply: Option<ClaimReply>,
    ) {
        if let Some(ClaimReply::Outcome(_)) = reply {
            self.claim_updates.swap_remove(&update_id);
            return;
        }
        let due_at = now + self.settings.settle_backoff;
        self.timers.add(due_at, TimerEvent::ClaimUpdate(update_id));
    }
}

fn build_claim_request(request: &CallerRequest, change: ClaimChange) -> ClaimRequest {
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
