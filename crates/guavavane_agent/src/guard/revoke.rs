//! Revocations: proof that an attempt never runs, or what became of it.

use super::deadline_after;
use super::record::AttemptLookup;
use super::record::AttemptPhase;
use super::CallTicket;
use super::GuardOutcome;
use super::RequestGuard;
use guavavane_model::prelude::BootTime;
use guavavane_model::prelude::EndpointName;
use guavavane_protocol::prelude::DispatchReply;
use guavavane_protocol::prelude::RefusalReason;
use guavavane_protocol::prelude::RequestAttempt;
use guavavane_protocol::prelude::RevokeReply;
use guavavane_protocol::prelude::RevokeRequest;
use guavavane_protocol::prelude::UnknownReason;

/// A revocation that waits for a running attempt to end.
#[derive(Debug)]
pub(super) struct RevokeWaiter {
    ticket: CallTicket,
    attempt: RequestAttempt,
    pub(super) until: BootTime,
}

/// What a revocation finds.
enum RevokeCase {
    Known(RevokeReply),
    Fresh,
    Queued(EndpointName),
    Running,
}

impl RequestGuard {
    pub(super) fn revoke(&mut self, now: BootTime, ticket: CallTicket, request: &RevokeRequest) {
        if request.incarnation != self.incarnation {
            let reply = RevokeReply::Unknown(UnknownReason::AgentRestarted);
            self.outcomes
                .push(GuardOutcome::RevokeReply { ticket, reply });
            return;
        }
        let reply = match self.revoke_case(&request.attempt) {
            RevokeCase::Known(reply) => reply,
            RevokeCase::Fresh => self.revoke_fresh(now, request.attempt),
            RevokeCase::Queued(name) => self.revoke_queued(now, &name, request.attempt),
            RevokeCase::Running => {
                self.wait_for_end(now, ticket, request);
                return;
            }
        };
        self.outcomes
            .push(GuardOutcome::RevokeReply { ticket, reply });
    }

    fn revoke_case(&self, attempt: &RequestAttempt) -> RevokeCase {
        let unknown = RevokeReply::Unknown(UnknownReason::AgentRestarted);
        let phase = match self.record.lookup(attempt) {
            AttemptLookup::Fresh => return RevokeCase::Fresh,
            AttemptLookup::Closed => return RevokeCase::Known(RevokeReply::NotRun),
            AttemptLookup::Forgotten => return RevokeCase::Known(unknown),
            AttemptLookup::Known(phase) => phase,
        };
        match phase {
            AttemptPhase::Queued(name) => RevokeCase::Queued(name.clone()),
            AttemptPhase::Running(_) => RevokeCase::Running,
            AttemptPhase::Refused(_) => RevokeCase::Known(RevokeReply::NotRun),
            AttemptPhase::Lost(reason) => RevokeCase::Known(RevokeReply::Unknown(*reason)),
            AttemptPhase::Kept => RevokeCase::Known(match self.answers.get(attempt) {
                Some(answer) => RevokeReply::Answered(answer.clone()),
                None => unknown,
            }),
        }
    }

    fn revoke_fresh(&mut self, now: BootTime, attempt: RequestAttempt) -> RevokeReply {
        if !self.record.has_room(&attempt) {
            // Without room the refusal could not be remembered: no proof can be given.
            return RevokeReply::Unknown(UnknownReason::AgentRestarted);
        }
        let expiry = self.record_expiry(now);
        let phase = AttemptPhase::Refused(RefusalReason::Revoked);
        self.record.finish(attempt, phase, expiry);
        RevokeReply::NotRun
    }

    fn revoke_queued(
        &mut self,
        now: BootTime,
        name: &EndpointName,
        attempt: RequestAttempt,
    ) -> RevokeReply {
        let queued = self
            .remove_queued(name, &attempt)
            .expect("a queued attempt is in its endpoint's queue");
        self.refuse(now, queued.ticket, attempt, RefusalReason::Revoked);
        RevokeReply::NotRun
    }

    fn wait_for_end(&mut self, now: BootTime, ticket: CallTicket, request: &RevokeRequest) {
        let longest = now + self.limits.revoke_wait_max;
        self.waiters.push(RevokeWaiter {
            ticket,
            attempt: request.attempt,
            until: deadline_after(now, request.wait_ms).min(longest),
        });
    }

    pub(super) fn reply_waiters(&mut self, attempt: &RequestAttempt, outcome: &DispatchReply) {
        let (ended, waiting) = std::mem::take(&mut self.waiters)
            .into_iter()
            .partition(|waiter| waiter.attempt == *attempt);
        self.waiters = waiting;
        let ended: Vec<RevokeWaiter> = ended;
        for waiter in ended {
            let reply = match outcome {
                DispatchReply::Answered(answer) => RevokeReply::Answered(answer.clone()),
                DispatchReply::Refused(_) => RevokeReply::NotRun,
                DispatchReply::Unknown(reason) => RevokeReply::Unknown(*reason),
            };
            let ticket = waiter.ticket;
            self.outcomes
                .push(GuardOutcome::RevokeReply { ticket, reply });
        }
    }

    pub(super) fn reply_overdue_waiters(&mut self, now: BootTime) {
        let (overdue, waiting) = std::mem::take(&mut self.waiters)
            .into_iter()
            .partition(|waiter| waiter.until <= now);
        self.waiters = waiting;
        let overdue: Vec<RevokeWaiter> = overdue;
        for waiter in overdue {
            let reply = RevokeReply::Unknown(UnknownReason::StillRunning);
            let ticket = waiter.ticket;
            self.outcomes
                .push(GuardOutcome::RevokeReply { ticket, reply });
        }
    }
}
