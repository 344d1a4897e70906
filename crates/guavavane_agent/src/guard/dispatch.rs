//! Admission control: accepts or refuses requests, queues them and starts them.
//!
//! A request is accepted only if its endpoint is expected to answer it before the deadline; a
//! refused request never runs, so that the entry can send it to another endpoint.

use std::collections::VecDeque;

use super::deadline_after;
use super::endpoint::QueuedRequest;
use super::endpoint::RunningRequest;
use super::record::AttemptLookup;
use super::record::RequestPhase;
use super::CallTicket;
use super::GuardAction;
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
    /// Accepts or refuses a request, or answers a duplicate from the record.
    pub(super) fn dispatch(&mut self, now: BootTime, ticket: CallTicket, request: DispatchRequest) {
        if request.target.incarnation != self.incarnation {
            // Not recorded: the sequence numbers belong to the record of another incarnation.
            let reply = DispatchReply::Refused(RefusalReason::WrongIncarnation);
            self.actions.push(GuardAction::Reply { ticket, reply });
            return;
        }
        if let Some(reply) = self.reply_from_record(&request.attempt) {
            self.actions.push(GuardAction::Reply { ticket, reply });
            return;
        }
        let deadline = deadline_after(now, request.deadline_ms);
        match self.admit(now, deadline, &request) {
            Ok(()) => self.enqueue(ticket, deadline, request),
            Err(reason) => self.refuse(now, ticket, request.attempt, reason),
        }
    }

    /// The reply to a duplicate; `None` for an attempt that was never seen.
    fn reply_from_record(&self, attempt: &RequestAttempt) -> Option<DispatchReply> {
        match self.record.lookup(attempt) {
            AttemptLookup::Fresh => None,
            AttemptLookup::Closed => Some(DispatchReply::Refused(RefusalReason::RecordFull)),
            AttemptLookup::Forgotten => Some(DispatchReply::Unknown(UnknownReason::AgentRestarted)),
            AttemptLookup::Known(phase) => Some(self.reply_for_phase(attempt, phase)),
        }
    }

    fn reply_for_phase(&self, attempt: &RequestAttempt, phase: &RequestPhase) -> DispatchReply {
        match phase {
            RequestPhase::Queued(_) | RequestPhase::Running(_) => {
                DispatchReply::Unknown(UnknownReason::StillRunning)
            }
            RequestPhase::Refused(reason) => DispatchReply::Refused(*reason),
            RequestPhase::Lost(reason) => DispatchReply::Unknown(*reason),
            RequestPhase::Kept => match self.answers.get(attempt) {
                Some(answer) => DispatchReply::Answered(answer.clone()),
                None => DispatchReply::Unknown(UnknownReason::AgentRestarted),
            },
        }
    }

    /// Checks whether a new request is accepted.
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
                endpoint.expires_at > now && endpoint.service.service == request.service
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
        let buffered_bytes = self.buffered_bytes + request_bytes(request);
        if buffered_bytes > self.limits.buffered_max_bytes
            || !endpoint.can_meet_deadline(now, deadline)
        {
            return Err(RefusalReason::Busy);
        }
        Ok(())
    }

    /// Queues an accepted request.
    fn enqueue(&mut self, ticket: CallTicket, deadline: BootTime, request: DispatchRequest) {
        let name = request.target.endpoint.clone();
        self.buffered_bytes += request_bytes(&request);
        self.record
            .set_phase(request.attempt, RequestPhase::Queued(name.clone()));
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

    /// Records the refusal of a request and replies to its call.
    pub(super) fn refuse(
        &mut self,
        now: BootTime,
        ticket: CallTicket,
        attempt: RequestAttempt,
        reason: RefusalReason,
    ) {
        self.record_refusal(now, attempt, reason);
        let reply = DispatchReply::Refused(reason);
        self.actions.push(GuardAction::Reply { ticket, reply });
    }

    /// Records a refusal, so that the attempt never runs; closes its sequence number if the record
    /// is full.
    fn record_refusal(&mut self, now: BootTime, attempt: RequestAttempt, reason: RefusalReason) {
        let is_recorded = matches!(self.record.lookup(&attempt), AttemptLookup::Known(_));
        if is_recorded || self.record.has_room(&attempt) {
            let expiry = self.record_expiry(now);
            self.record
                .finish(attempt, RequestPhase::Refused(reason), expiry);
        } else {
            self.record.close(&attempt);
        }
    }

    /// Refuses the queued requests of a leaving endpoint: they never ran, so the entry can send
    /// them to another endpoint.
    pub(super) fn refuse_queued(&mut self, now: BootTime, name: &EndpointName) {
        let Some(endpoint) = self.endpoints.get_mut(name) else {
            return;
        };
        for queued in std::mem::take(&mut endpoint.queue) {
            self.buffered_bytes -= request_bytes(&queued.request);
            self.refuse(
                now,
                queued.ticket,
                queued.request.attempt,
                RefusalReason::Leaving,
            );
        }
    }

    /// Refuses queued requests whose deadline has passed.
    pub(super) fn refuse_overdue_queued(&mut self, now: BootTime) {
        let mut overdue = Vec::new();
        for endpoint in self.endpoints.values_mut() {
            if endpoint.queue.iter().all(|queued| queued.deadline > now) {
                continue;
            }
            let queue = std::mem::take(&mut endpoint.queue);
            let (expired, waiting): (VecDeque<QueuedRequest>, VecDeque<QueuedRequest>) =
                queue.into_iter().partition(|queued| queued.deadline <= now);
            endpoint.queue = waiting;
            overdue.extend(expired);
        }
        for queued in overdue {
            self.buffered_bytes -= request_bytes(&queued.request);
            let attempt = queued.request.attempt;
            self.refuse(now, queued.ticket, attempt, RefusalReason::DeadlinePassed);
        }
    }

    /// Removes a request from an endpoint's queue and returns it, if it is queued.
    pub(super) fn remove_queued(
        &mut self,
        name: &EndpointName,
        attempt: &RequestAttempt,
    ) -> Option<QueuedRequest> {
        let endpoint = self.endpoints.get_mut(name)?;
        let index = endpoint
            .queue
            .iter()
            .position(|queued| queued.request.attempt == *attempt)?;
        let queued = endpoint.queue.remove(index)?;
        self.buffered_bytes -= request_bytes(&queued.request);
        Some(queued)
    }

    /// Starts queued requests while their endpoint has a free slot and the agent may run more.
    pub(super) fn start_queued_requests(&mut self, now: BootTime) {
        for index in 0..self.endpoints.len() {
            while self.running < self.limits.running_max {
                let endpoint = &mut self.endpoints[index];
                if !endpoint.has_slot() {
                    break;
                }
                let Some(queued) = endpoint.queue.pop_front() else {
                    break;
                };
                self.start_request(now, index, queued);
            }
        }
    }

    /// Hands a request to its endpoint, unless space for its answer is no longer free.
    fn start_request(&mut self, now: BootTime, index: usize, queued: QueuedRequest) {
        let attempt = queued.request.attempt;
        let buffered_bytes = request_bytes(&queued.request);
        if queued.request.keep_answer && !self.answers.has_room() {
            self.buffered_bytes -= buffered_bytes;
            self.refuse(now, queued.ticket, attempt, RefusalReason::RecordFull);
            return;
        }
        if queued.request.keep_answer {
            self.answers.reserve();
        }
        self.running += 1;
        let name = queued.request.target.endpoint.clone();
        self.record.set_phase(attempt, RequestPhase::Running(name));
        let endpoint = &mut self.endpoints[index];
        let running = RunningRequest {
            ticket: Some(queued.ticket),
            keep_answer: queued.request.keep_answer,
            buffered_bytes,
            started: now,
            deadline: queued.deadline,
        };
        endpoint.running.insert(attempt, running);
        self.actions.push(GuardAction::Run(RunOrder {
            address: endpoint.address,
            deadline: queued.deadline,
            request: queued.request,
        }));
    }
}

/// Size of a request in bytes: path, header names, header values and body.
fn request_bytes(request: &DispatchRequest) -> usize {
    let headers: usize = request
        .headers
        .iter()
        .map(|field| field.name.len() + field.value.len())
        .sum();
    request.path.len() + headers + request.body.len()
}
