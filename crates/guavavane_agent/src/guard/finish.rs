//! Ends of exchanges with endpoints, and replies to callers that stopped waiting.

use super::answer::answer_bytes;
use super::endpoint::RunningRequest;
use super::record::AttemptLookup;
use super::record::AttemptPhase;
use super::CallTicket;
use super::GuardOutcome;
use super::HopResult;
use super::RequestGuard;
use guavavane_model::prelude::BootTime;
use guavavane_protocol::prelude::DispatchReply;
use guavavane_protocol::prelude::HttpAnswer;
use guavavane_protocol::prelude::RefusalReason;
use guavavane_protocol::prelude::RequestAttempt;
use guavavane_protocol::prelude::UnknownReason;

impl RequestGuard {
    /// Takes the end of an exchange; a second end of the same attempt changes nothing.
    pub(super) fn finish(&mut self, now: BootTime, attempt: RequestAttempt, result: HopResult) {
        let Some(running) = self.remove_running(now, &attempt) else {
            return;
        };
        let reply = self.checked_reply(result);
        let phase = self.settle(&attempt, &running, &reply);
        let keep = match phase {
            AttemptPhase::Kept => self.limits.answer_keep,
            _ => self.limits.record_keep,
        };
        self.record.finish(attempt, phase, now + keep);
        self.reply_waiters(&attempt, &reply);
        if let Some(ticket) = running.ticket {
            self.outcomes.push(GuardOutcome::Reply { ticket, reply });
        }
    }

    fn remove_running(
        &mut self,
        now: BootTime,
        attempt: &RequestAttempt,
    ) -> Option<RunningRequest> {
        let AttemptLookup::Known(AttemptPhase::Running(name)) = self.record.lookup(attempt) else {
            return None;
        };
        let endpoint = self
            .endpoints
            .get_mut(name)
            .expect("an endpoint stays while it has requests");
        let running = endpoint.running.swap_remove(attempt)?;
        endpoint.note_service(now.saturating_since(running.started));
        self.running -= 1;
        self.held_bytes -= running.held_bytes;
        Some(running)
    }

    fn checked_reply(&self, result: HopResult) -> DispatchReply {
        match result {
            HopResult::Answered(answer) if self.is_oversized(&answer) => {
                DispatchReply::Unknown(UnknownReason::BadAnswer)
            }
            HopResult::Answered(answer) => DispatchReply::Answered(answer),
            HopResult::NotSent => DispatchReply::Refused(RefusalReason::ConnectionRefused),
            HopResult::Lost => DispatchReply::Unknown(UnknownReason::ConnectionLost),
            HopResult::Malformed => DispatchReply::Unknown(UnknownReason::BadAnswer),
            HopResult::TimedOut => DispatchReply::Unknown(UnknownReason::EndpointTimeout),
        }
    }

    fn is_oversized(&self, answer: &HttpAnswer) -> bool {
        answer_bytes(answer) > self.limits.answer_max_bytes
    }

    /// The last phase of an attempt; keeps its answer if that was asked for.
    fn settle(
        &mut self,
        attempt: &RequestAttempt,
        running: &RunningRequest,
        reply: &DispatchReply,
    ) -> AttemptPhase {
        match reply {
            DispatchReply::Answered(answer) if running.keep_answer => {
                self.answers.keep(*attempt, answer.clone());
                return AttemptPhase::Kept;
            }
            _ if running.keep_answer => self.answers.release(),
            _ => {}
        }
        match reply {
            DispatchReply::Answered(_) => AttemptPhase::Lost(UnknownReason::AgentRestarted),
            DispatchReply::Unknown(reason) => AttemptPhase::Lost(*reason),
            // The caller was told that the outcome is unknown, but nothing was sent.
            DispatchReply::Refused(reason) => AttemptPhase::Refused(*reason),
        }
    }

    /// Tells callers whose deadline has passed that the outcome is unknown.
    pub(super) fn reply_overdue_running(&mut self, now: BootTime) {
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
            self.outcomes.push(GuardOutcome::Reply { ticket, reply });
        }
    }
}
