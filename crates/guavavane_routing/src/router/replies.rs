//! Ends of attempts and revocations.

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
use crate::router::LiveRequest;
use crate::router::RequestRouter;
use crate::router::RouterOutcome;
use guavavane_model::prelude::BootTime;
use guavavane_model::prelude::RequestId;
use guavavane_protocol::prelude::HttpAnswer;
use guavavane_protocol::prelude::RequestAttempt;
use guavavane_protocol::prelude::RevokeReply;
use guavavane_protocol::prelude::RevokeRequest;

impl RequestRouter {
    /// Takes the end of an attempt; one that is not open is ignored.
    pub(super) fn end_attempt(
        &mut self,
        now: BootTime,
        attempt: RequestAttempt,
        result: AttemptResult,
    ) {
        let Some(open) = self.attempts.swap_remove(&attempt) else {
            return;
        };
        let end = AttemptOutcome::from(result);
        self.judge_endpoint(now, &open, &end);
        let service = open.request.service.clone();
        self.end_running(now, &open.request, attempt, end);
        self.pump(now, &service);
    }

    fn end_running(
        &mut self,
        now: BootTime,
        request: &Arc<CallerRequest>,
        attempt: RequestAttempt,
        end: AttemptOutcome,
    ) {
        let id = attempt.request;
        let Some(LiveRequest::Running(lifecycle)) = self.requests.get(&id) else {
            self.settle_late(now, request, attempt, end);
            return;
        };
        let lifecycle = lifecycle.clone();
        let unproven = matches!(end, AttemptOutcome::Unknown(_) | AttemptOutcome::NoReply);
        self.requests.swap_remove(&id);
        match lifecycle.end_attempt(attempt, end) {
            AttemptTransition::Answered(attempt, answer) => {
                self.finish_answered(now, request, attempt, answer);
            }
            AttemptTransition::Running(lifecycle) => {
                self.requests.insert(id, LiveRequest::Running(lifecycle));
            }
            AttemptTransition::Waiting(lifecycle) => self.resend(now, lifecycle, unproven),
            AttemptTransition::Resolving(lifecycle) => self.send_revoke(now, lifecycle),
            AttemptTransition::Unknown(reason) => {
                self.finish(request, RequestResult::Unknown(reason));
            }
        }
    }

    /// Sends a request again, if its attempts, its deadline and the budget allow it.
    pub(super) fn resend(
        &mut self,
        now: BootTime,
        lifecycle: RequestLifecycle<Waiting>,
        unproven: bool,
    ) {
        let spent = lifecycle.context.attempts >= self.settings.attempts_max;
        // A refused attempt costs its endpoint nothing; one that may have run does.
        if spent || (unproven && !self.retries.try_withdraw()) {
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
        answer: HttpAnswer,
    ) {
        self.finish(request, RequestResult::Answered(answer.clone()));
        self.settle_claim(now, request, attempt, answer);
    }

    /// Asks the agent of an attempt to refuse it for good, or for its answer.
    pub(super) fn send_revoke(&mut self, now: BootTime, lifecycle: RequestLifecycle<Resolving>) {
        let request = Arc::clone(&lifecycle.context.request);
        let remaining = request.deadline.saturating_since(now);
        let wait = remaining.saturating_sub(self.settings.deadline_margin);
        let holder = lifecycle.holder().clone();
        self.requests
            .insert(request.id, LiveRequest::Resolving(lifecycle));
        self.outcomes.push(RouterOutcome::Revoke {
            request: request.id,
            call: RevokeRequest {
                attempt: holder.attempt,
                incarnation: holder.target.incarnation,
                wait_ms: u32::try_from(wait.as_millis()).unwrap_or(u32::MAX),
            },
            target: holder.target,
            limit: remaining,
        });
    }

    /// Takes the end of a revocation.
    pub(super) fn end_revoke(&mut self, now: BootTime, id: RequestId, reply: Option<RevokeReply>) {
        let Some(LiveRequest::Resolving(lifecycle)) = self.requests.get(&id) else {
            return;
        };
        let lifecycle = lifecycle.clone();
        let request = Arc::clone(&lifecycle.context.request);
        self.requests.swap_remove(&id);
        let end = reply.map_or(AttemptOutcome::NoReply, AttemptOutcome::from);
        match lifecycle.end_revocation(end) {
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
