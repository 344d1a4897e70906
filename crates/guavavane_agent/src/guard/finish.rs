//! Results of exchanges with endpoints, and replies to calls whose deadline has passed.

use super::answer::answer_bytes;
use super::endpoint::RunningRequest;
use super::record::AttemptLookup;
use super::record::RequestPhase;
use super::CallTicket;
use super::ExchangeResult;
use super::GuardAction;
use super::RequestGuard;
use guavavane_model::prelude::BootTime;
use guavavane_protocol::prelude::DispatchReply;
use guavavane_protocol::prelude::HttpResponse;
use guavavane_protocol::prelude::RefusalReason;
use guavavane_protocol::prelude::RequestAttempt;
use guavavane_protocol::prelude::UnknownReason;

impl RequestGuard {
    /// Handles the result of an exchange; a second result of the same attempt is ignored.
    pub(super) fn finish_request(
        &mut self,
        now: BootTime,
        attempt: RequestAttempt,
        result: ExchangeResult,
    ) {
        let Some(running) = self.remove_running(now, &attempt) else {
            return;
        };
        let reply = self.reply_for_result(result);
        let phase = self.store_answer(&attempt, &running, &reply);
        let retention = match phase {
            RequestPhase::Kept => self.limits.answer_retention,
            _ => self.limits.record_retention,
        };
        self.record.finish(attempt, phase, now + retention);
        self.reply_to_waiters(&attempt, &reply);
        if let Some(ticket) = running.ticket {
            self.actions.push(GuardAction::Reply { ticket, reply });
        }
    }

    /// Frees the slot of a running attempt; `None` if the attempt does not run.
    fn remove_running(
        &mut self,
        now: BootTime,
        attempt: &RequestAttempt,
    ) -> Option<RunningRequest> {
        let AttemptLookup::Known(RequestPhase::Running(name)) = self.record.lookup(attempt) else {
            return None;
        };
        let endpoint = self
            .endpoints
            .get_mut(name)
            .expect("an endpoint stays while it has requests");
        let running = endpoint.running.swap_remove(attempt)?;
        endpoint.record_service_time(now.saturating_since(running.started));
        self.running -= 1;
        self.buffered_bytes -= running.buffered_bytes;
        Some(running)
    }

    /// The reply that the result of an exchange proves; an oversized answer proves nothing.
    fn reply_for_result(&self, result: ExchangeResult) -> DispatchReply {
        match result {
            ExchangeResult::Answered(answer) if self.is_oversized(&answer) => {
                DispatchReply::Unknown(UnknownReason::BadAnswer)
            }
            ExchangeResult::Answered(answer) => DispatchReply::Answered(answer),
            ExchangeResult::NotSent => DispatchReply::Refused(RefusalReason::ConnectionRefused),
            ExchangeResult::Lost => DispatchReply::Unknown(UnknownReason::ConnectionLost),
            ExchangeResult::Malformed => DispatchReply::Unknown(UnknownReason::BadAnswer),
            ExchangeResult::TimedOut => DispatchReply::Unknown(UnknownReason::EndpointTimeout),
        }
    }

    fn is_oversized(&self, answer: &HttpResponse) -> bool {
        answer_bytes(answer) > self.limits.answer_max_bytes
    }

    /// Stores the answer if the request asked for that; returns the final phase of the attempt.
    fn store_answer(
        &mut self,
        attempt: &RequestAttempt,
        running: &RunningRequest,
        reply: &DispatchReply,
    ) -> RequestPhase {
        match reply {
            DispatchReply::Answered(answer) if running.keep_answer => {
                self.answers.store(*attempt, answer.clone());
                return RequestPhase::Kept;
            }
            _ if running.keep_answer => self.answers.release_reservation(),
            _ => {}
        }
        match reply {
            DispatchReply::Answered(_) => RequestPhase::Lost(UnknownReason::AgentRestarted),
            DispatchReply::Unknown(reason) => RequestPhase::Lost(*reason),
            // Nothing was sent. If the deadline has passed, the caller was already told that the
            // outcome is unknown.
            DispatchReply::Refused(reason) => RequestPhase::Refused(*reason),
        }
    }

    /// Replies to calls whose deadline has passed that the outcome is unknown.
    pub(super) fn reply_to_overdue_running(&mut self, now: BootTime) {
        let running = self
            .endpoints
            .values_mut()
            .flat_map(|endpoint| endpoint.running.values_mut());
        let overdue: Vec<CallTicket> = running
            .filter(|running| running.deadline <= now)
            .filter_map(|running| running.ticket.take())
            .collect();
        for ticket in overdue {
            let reply = DispatchReply::Unknown(UnknownReason::EndpointTimeout);
            self.actions.push(GuardAction::Reply { ticket, reply });
        }
    }
}
