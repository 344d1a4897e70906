//! Admission of requests, their queue and their start.

use std::collections::VecDeque;

use super::deadline_after;
use super::endpoint::QueuedRequest;
use super::endpoint::RunningRequest;
use super::record::AttemptLookup;
use super::record::AttemptPhase;
use super::CallTicket;
use super::GuardOutcome;
use super::RequestGuard;
use super::RunOrder;
use guavavane_model::prelude::BootTime;
use guavavane_model::prelude::EndpointName;
use guavavane_protocol::prelude::DispatchReply;
use guavavane_protocol::prelude::DispatchRequest;
use guavavane_protocol::prelude::RefusalReason;
use guavavane_protocol::prelude::RequestAttempt;
use guavavane_protocol::prelude::UnknownReason;

impl RequestGuard {
    pub(super) fn dispatch(&mut self, now: BootTime, ticket: CallTicket, request: DispatchRequest) {
        if request.target.incarnation != self.incarnation {
            // Another incarnation's attempts are not this one's to record.
            let reply = DispatchReply::Refused(RefusalReason::WrongIncarnation);
            self.outcomes.push(GuardOutcome::Reply { ticket, reply });
            return;
        }
        if let Some(reply) = self.known_reply(&request.attempt) {
            self.outcomes.push(GuardOutcome::Reply { ticket, reply });
            return;
        }
        let deadline = deadline_after(now, request.deadline_ms);
        match self.admit(now, deadline, &request) {
            Ok(()) => self.enqueue(ticket, deadline, request),
            Err(reason) => self.refuse(now, ticket, request.attempt, reason),
        }
    }

    /// The reply to an attempt that was seen before.
    fn known_reply(&self, attempt: &RequestAttempt) -> Option<DispatchReply> {
        match self.record.lookup(attempt) {
            AttemptLookup::Fresh => None,
            AttemptLookup::Closed => Some(DispatchReply::Refused(RefusalReason::RecordFull)),
            AttemptLookup::Forgotten => Some(DispatchReply::Unknown(UnknownReason::AgentRestarted)),
            AttemptLookup::Known(phase) => Some(self.phase_reply(attempt, phase)),
        }
    }

    fn phase_reply(&self, attempt: &RequestAttempt, phase: &AttemptPhase) -> DispatchReply {
        match phase {
            AttemptPhase::Queued(_) | AttemptPhase::Running(_) => {
                DispatchReply::Unknown(UnknownReason::StillRunning)
            }
            AttemptPhase::Refused(reason) => DispatchReply::Refused(*reason),
            AttemptPhase::Lost(reason) => DispatchReply::Unknown(*reason),
            AttemptPhase::Kept => match self.answers.get(attempt) {
                Some(answer) => DispatchReply::Answered(answer.clone()),
                None => DispatchReply::Unknown(UnknownReason::AgentRestarted),
            },
        }
    }

    fn admit(
        &self,
        now: BootTime,
        deadline: BootTime,
        request: &DispatchRequest,
    ) -> Result<(), RefusalReason> {
        if !self.record.has_room(&request.attempt) {
            return Err(RefusalReason::RecordFull);
        }
        if self.draining {
            return Err(RefusalReason::Leaving);
        }
        let endpoint = self
            .endpoints
            .get(&request.target.endpoint)
            .filter(|endpoint| {
                endpoint.expires > now && endpoint.service.service == request.service
            })
            .ok_or(RefusalReason::UnknownEndpoint)?;
        if self.is_leaving(endpoint) {
            return Err(RefusalReason::Leaving);
        }
        if deadline <= now {
            return Err(RefusalReason::DeadlinePassed);
        }
        if request.keep_answer && !self.answers.has_room() {
            return Err(RefusalReason::RecordFull);
        }
        let held_bytes = self.held_bytes + request_bytes(request);
        if held_bytes > self.limits.held_max_bytes || !endpoint.can_finish(now, deadline) {
            return Err(RefusalReason::Busy);
        }
        Ok(())
    }

    fn enqueue(&mut self, ticket: CallTicket, deadline: BootTime, request: DispatchRequest) {
        let name = request.target.endpoint.clone();
        self.held_bytes += request_bytes(&request);
        self.record
            .set(request.attempt, AttemptPhase::Queued(name.clone()));
        let endpoint = self
            .endpoints
            .get_mut(&name)
            .expect("admission found the endpoint");
        endpoint.queue.push_back(QueuedRequest {
            ticket,
            request,
            deadline,
        });
    }

    pub(super) fn refuse(
        &mut self,
        now: BootTime,
        ticket: CallTicket,
        attempt: RequestAttempt,
        reason: RefusalReason,
    ) {
        self.record_refusal(now, attempt, reason);
        let reply = DispatchReply::Refused(reason);
        self.outcomes.push(GuardOutcome::Reply { ticket, reply });
    }

    /// Makes sure that the attempt never runs.
    fn record_refusal(&mut self, now: BootTime, attempt: RequestAttempt, reason: RefusalReason) {
        let queued = matches!(self.record.lookup(&attempt), AttemptLookup::Known(_));
        if queued || self.record.has_room(&attempt) {
            let expiry = self.record_expiry(now);
            self.record
                .finish(attempt, AttemptPhase::Refused(reason), expiry);
        } else {
            self.record.close(&attempt);
        }
    }

    /// Refuses what waits for an endpoint that is leaving: it never ran and can go elsewhere.
    pub(super) fn refuse_queue_of_leaving(&mut self, now: BootTime, name: &EndpointName) {
        let Some(endpoint) = self.endpoints.get_mut(name) else {
            return;
        };
        for queued in std::mem::take(&mut endpoint.queue) {
            self.held_bytes -= request_bytes(&queued.request);
            self.refuse(
                now,
                queued.ticket,
                queued.request.attempt,
                RefusalReason::Leaving,
            );
        }
    }

    pub(super) fn drop_overdue_queued(&mut self, now: BootTime) {
        let mut overdue = Vec::new();
        for endpoint in self.endpoints.values_mut() {
            if endpoint.queue.iter().all(|queued| queued.deadline > now) {
                continue;
            }
            let queue = std::mem::take(&mut endpoint.queue);
            let (late, waiting): (VecDeque<QueuedRequest>, VecDeque<QueuedRequest>) =
                queue.into_iter().partition(|queued| queued.deadline <= now);
            endpoint.queue = waiting;
            overdue.extend(late);
        }
        for queued in overdue {
            self.held_bytes -= request_bytes(&queued.request);
            let attempt = queued.request.attempt;
            self.refuse(now, queued.ticket, attempt, RefusalReason::DeadlinePassed);
        }
    }

    /// Takes a request out of the queue, if it is there.
    pub(super) fn remove_queued(
        &mut self,
        name: &EndpointName,
        attempt: &RequestAttempt,
    ) -> Option<QueuedRequest> {
        let endpoint = self.endpoints.get_mut(name)?;
        let place = endpoint
            .queue
            .iter()
            .position(|queued| queued.request.attempt == *attempt)?;
        let queued = endpoint.queue.remove(place)?;
        self.held_bytes -= request_bytes(&queued.request);
        Some(queued)
    }

    /// Starts what has a slot.
    pub(super) fn fill_slots(&mut self, now: BootTime) {
        for place in 0..self.endpoints.len() {
            while self.running < self.limits.running_max {
                let endpoint = &mut self.endpoints[place];
                if !endpoint.has_slot() {
                    break;
                }
                let Some(queued) = endpoint.queue.pop_front() else {
                    break;
                };
                self.start(now, place, queued);
            }
        }
    }

    fn start(&mut self, now: BootTime, place: usize, queued: QueuedRequest) {
        let attempt = queued.request.attempt;
        let held_bytes = request_bytes(&queued.request);
        if queued.request.keep_answer && !self.answers.has_room() {
            self.held_bytes -= held_bytes;
            self.refuse(now, queued.ticket, attempt, RefusalReason::RecordFull);
            return;
        }
        if queued.request.keep_answer {
            self.answers.reserve();
        }
        self.running += 1;
        let name = queued.request.target.endpoint.clone();
        self.record.set(attempt, AttemptPhase::Running(name));
        let endpoint = &mut self.endpoints[place];
        let running = RunningRequest {
            ticket: Some(queued.ticket),
            keep_answer: queued.request.keep_answer,
            held_bytes,
            started: now,
            deadline: queued.deadline,
        };
        endpoint.running.insert(attempt, running);
        self.outcomes.push(GuardOutcome::Run(RunOrder {
            address: endpoint.address,
            deadline: queued.deadline,
            request: queued.request,
        }));
    }
}

/// Bytes of a request, headers included.
fn request_bytes(request: &DispatchRequest) -> usize {
    let headers: usize = request
        .headers
        .iter()
        .map(|field| field.name.len() + field.value.len())
        .sum();
    request.path.len() + headers + request.body.len()
}
