//! Handling of the results of attempts and revocations.

use std::sync::Arc;

use crate::lifecycle::AttemptTransition;
use crate::lifecycle::RequestLifecycle;
use crate::lifecycle::Resolving;
use crate::lifecycle::RevocationTransition;
use crate::lifecycle::Waiting;
use crate::request::AttemptOutcome;
use crate::request::AttemptResult;
use crate::request::CallerRequest;
use crate::request::NotRunReason;
use crate::request::RequestResult;
use crate::router::InFlightRequest;
use crate::router::RequestRouter;
use crate::router::RouterAction;
use guavavane_model::prelude::BootTime;
use guavavane_model::prelude::RequestId;
use guavavane_protocol::prelude::HttpResponse;
use guavavane_protocol::prelude::RequestAttempt;
use guavavane_protocol::prelude::RevokeReply;
use guavavane_protocol::prelude::RevokeRequest;

impl RequestRouter {
    /// Handles the result of an attempt; an attempt that is not open has no effect.
    pub(super) fn handle_attempt_result(
        &mut self,
        now: BootTime,
        attempt: RequestAttempt,
        result: AttemptResult,
    ) {
        let Some(open_attempt) = self.attempts.swap_remove(&attempt) else {
            return;
        };
        let outcome = AttemptOutcome::from(result);
        self.record_attempt_outcome(now, &open_attempt, &outcome);
        let service = open_attempt.request.service.clone();
        self.apply_attempt_outcome(now, &open_attempt.request, attempt, outcome);
        self.dispatch_queue(now, &service);
    }

    fn apply_attempt_outcome(
        &mut self,
        now: BootTime,
        request: &Arc<CallerRequest>,
        attempt: RequestAttempt,
        outcome: AttemptOutcome,
    ) {
        let id = attempt.request;
        let Some(InFlightRequest::Running(lifecycle)) = self.requests.get(&id) else {
            self.settle_late_outcome(now, request, attempt, outcome);
            return;
        };
        let lifecycle = lifecycle.clone();
        let may_have_run = matches!(
            outcome,
            AttemptOutcome::Unknown(_) | AttemptOutcome::NoReply
        );
        self.requests.swap_remove(&id);
        match lifecycle.end_attempt(attempt, outcome) {
            AttemptTransition::Answered(attempt, answer) => {
                self.finish_answered(now, request, attempt, answer);
            }
            AttemptTransition::Running(lifecycle) => {
                self.requests
                    .insert(id, InFlightRequest::Running(lifecycle));
            }
            AttemptTransition::Waiting(lifecycle) => self.resend(now, lifecycle, may_have_run),
            AttemptTransition::Resolving(lifecycle) => self.send_revoke(now, lifecycle),
            AttemptTransition::Unknown(reason) => {
                self.finish(request, RequestResult::Unknown(reason));
            }
        }
    }

    /// Sends a request again, if the maximum number of attempts and the retry budget allow it.
    ///
    /// `may_have_run` tells whether its last attempt may have run. The deadline is checked when
    /// the next attempt is placed.
    pub(super) fn resend(
        &mut self,
        now: BootTime,
        lifecycle: RequestLifecycle<Waiting>,
        may_have_run: bool,
    ) {
        let attempts_exhausted = lifecycle.context.attempts >= self.settings.attempts_max;
        // Only an attempt that may have run takes a token: a refused one costs its endpoint
        // nothing.
        if attempts_exhausted || (may_have_run && !self.retry_budget.try_withdraw()) {
            self.finish_waiting(now, lifecycle, NotRunReason::Refused);
            return;
        }
        self.place(now, lifecycle, true);
    }

    fn finish_answered(
        &mut self,
        now: BootTime,
        request: &Arc<CallerRequest>,
        attempt: RequestAttempt,
        answer: HttpResponse,
    ) {
        self.finish(request, RequestResult::Answered(answer.clone()));
        self.settle_claim(now, request, attempt, answer);
    }

    /// Asks the agent of an attempt to refuse it permanently or to return its answer.
    pub(super) fn send_revoke(&mut self, now: BootTime, lifecycle: RequestLifecycle<Resolving>) {
        let request = Arc::clone(&lifecycle.context.request);
        let remaining = request.deadline.saturating_since(now);
        let revoke_timeout = remaining.saturating_sub(self.settings.deadline_margin);
        let holder = lifecycle.holder().clone();
        self.requests
            .insert(request.id, InFlightRequest::Resolving(lifecycle));
        self.actions.push(RouterAction::Revoke {
            request: request.id,
            call: RevokeRequest {
                attempt: holder.attempt,
                incarnation: holder.target.incarnation,
                wait_ms: u32::try_from(revoke_timeout.as_millis()).unwrap_or(u32::MAX),
            },
            target: holder.target,
            timeout: remaining,
        });
    }

    /// Handles the reply of an agent to a revocation.
    pub(super) fn handle_revoke_reply(
        &mut self,
        now: BootTime,
        id: RequestId,
        reply: Option<RevokeReply>,
    ) {
        let Some(InFlightRequest::Resolving(lifecycle)) = self.requests.get(&id) else {
            return;
        };
        let lifecycle = lifecycle.clone();
        let request = Arc::clone(&lifecycle.context.request);
        self.requests.swap_remove(&id);
        let outcome = reply.map_or(AttemptOutcome::NoReply, AttemptOutcome::from);
        match lifecycle.end_revocation(outcome) {
            RevocationTransition::Answered(attempt, answer) => {
                self.finish_answered(now, &request, attempt, answer);
            }
            RevocationTransition::Waiting(lifecycle) => self.resend(now, lifecycle, false),
            RevocationTransition::Claiming(lifecycle) => self.send_claim(now, lifecycle),
            RevocationTransition::Unknown(reason) => {
                self.finish(&request, RequestResult::Unknown(reason));
            }
        }
    }
}
