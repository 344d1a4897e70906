//! Revocations: the reply proves that an attempt never runs, or tells its outcome.

use super::deadline_after;
use super::record::AttemptLookup;
use super::record::RequestPhase;
use super::CallTicket;
use super::GuardAction;
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
    pub(super) deadline: BootTime,
}

/// What the record says of a revoked attempt.
enum RevokeLookup {
    /// The record has the reply.
    Known(RevokeReply),
    /// The attempt was never seen.
    Fresh,
    /// The attempt waits in the queue of this endpoint.
    Queued(EndpointName),
    /// The attempt runs.
    Running,
}

impl RequestGuard {
    /// Handles a revocation: prevents an attempt that has not started from running, and waits for
    /// the end of a running one.
    pub(super) fn revoke(&mut self, now: BootTime, ticket: CallTicket, request: &RevokeRequest) {
        if request.incarnation != self.incarnation {
            let reply = RevokeReply::Unknown(UnknownReason::AgentRestarted);
            self.actions
                .push(GuardAction::RevokeReply { ticket, reply });
            return;
        }
        let reply = match self.look_up_revoked(&request.attempt) {
            RevokeLookup::Known(reply) => reply,
            RevokeLookup::Fresh => self.revoke_fresh(now, request.attempt),
            RevokeLookup::Queued(name) => self.revoke_queued(now, &name, request.attempt),
            RevokeLookup::Running => {
                self.add_waiter(now, ticket, request);
                return;
            }
        };
        self.actions
            .push(GuardAction::RevokeReply { ticket, reply });
    }

    fn look_up_revoked(&self, attempt: &RequestAttempt) -> RevokeLookup {
        let unknown = RevokeReply::Unknown(UnknownReason::AgentRestarted);
        let phase = match self.record.lookup(attempt) {
            AttemptLookup::Fresh => return RevokeLookup::Fresh,
            AttemptLookup::Closed => return RevokeLookup::Known(RevokeReply::NotRun),
            AttemptLookup::Forgotten => return RevokeLookup::Known(unknown),
            AttemptLookup::Known(phase) => phase,
        };
        match phase {
            RequestPhase::Queued(name) => RevokeLookup::Queued(name.clone()),
            RequestPhase::Running(_) => RevokeLookup::Running,
            RequestPhase::Refused(_) => RevokeLookup::Known(RevokeReply::NotRun),
            RequestPhase::Lost(reason) => RevokeLookup::Known(RevokeReply::Unknown(*reason)),
            RequestPhase::Kept => RevokeLookup::Known(match self.answers.get(attempt) {
                Some(answer) => RevokeReply::Answered(answer.clone()),
                None => unknown,
            }),
        }
    }

    fn revoke_fresh(&mut self, now: BootTime, attempt: RequestAttempt) -> RevokeReply {
        if !self.record.has_room(&attempt) {
            // The refusal can't be recorded, so a later duplicate could run: nothing is proven.
            return RevokeReply::Unknown(UnknownReason::AgentRestarted);
        }
        let expiry = self.record_expiry(now);
        let phase = RequestPhase::Refused(RefusalReason::Revoked);
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

    fn add_waiter(&mut self, now: BootTime, ticket: CallTicket, request: &RevokeRequest) {
        let latest = now + self.limits.revoke_wait_max;
        self.waiters.push(RevokeWaiter {
            ticket,
            attempt: request.attempt,
            deadline: deadline_after(now, request.wait_ms).min(latest),
        });
    }

    /// Replies to the revocations that wait for `attempt`, which has ended.
    pub(super) fn reply_to_waiters(&mut self, attempt: &RequestAttempt, outcome: &DispatchReply) {
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
            self.actions
                .push(GuardAction::RevokeReply { ticket, reply });
        }
    }

    /// Replies to the revocations whose wait has ended while the attempt still runs.
    pub(super) fn reply_to_overdue_waiters(&mut self, now: BootTime) {
        let (overdue, waiting) = std::mem::take(&mut self.waiters)
            .into_iter()
            .partition(|waiter| waiter.deadline <= now);
        self.waiters = waiting;
        let overdue: Vec<RevokeWaiter> = overdue;
        for waiter in overdue {
            let reply = RevokeReply::Unknown(UnknownReason::StillRunning);
            let ticket = waiter.ticket;
            self.actions
                .push(GuardAction::RevokeReply { ticket, reply });
        }
    }
}
