//! Application of the leader's orders and lease renewals.
//!
//! The leader repeats an order as long as it stands, so an order that cannot be carried out yet is
//! dropped.

use std::time::Duration;

use super::attempt::to_attempt_key;
use super::attempt::to_start_program;
use super::attempt::AttemptEntry;
use super::attempt::AttemptStage;
use super::attempt::PendingStart;
use super::eviction::Eviction;
use super::eviction::EvictionStep;
use super::PollStage;
use super::WorkerAction;
use super::WorkerCommand;
use super::WorkerController;
use crate::guard::ServiceKey;
use guavavane_contract::prelude::AttemptKey;
use guavavane_contract::prelude::RenewOrder;
use guavavane_contract::prelude::StartOrder;
use guavavane_model::prelude::BootTime;
use guavavane_model::prelude::FenceNumber;
use guavavane_model::prelude::ResourceVector;
use guavavane_protocol::prelude::AttemptPhase;
use guavavane_protocol::prelude::TaskAttempt;
use guavavane_protocol::prelude::TaskProgram;
use guavavane_protocol::prelude::WorkerOrder;
use guavavane_protocol::prelude::WorkerOrders;

/// A start order of the leader, with its times converted to the agent's clock.
struct StartRequest {
    attempt: TaskAttempt,
    fence: FenceNumber,
    program: TaskProgram,
    demand: ResourceVector,
    resume_ms: u64,
    permit_end: BootTime,
    lease_end: BootTime,
}

/// Why the agent refuses to start an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StartRefusal {
    PermitExpired,
    FenceTooLow,
    NoRoom,
}

impl WorkerController {
    /// Applies the reply to the last poll; replies to earlier polls are dropped.
    pub(super) fn apply_orders(
        &mut self,
        now: BootTime,
        sequence: u64,
        sent_at: BootTime,
        orders: WorkerOrders,
    ) {
        if self.stage != (PollStage::Polling { sequence }) {
            return;
        }
        self.confirm_sent_usage();
        let lease_end = sent_at + Duration::from_millis(u64::from(orders.lease_ms));
        self.renew_leases(now, lease_end, &orders.renewed);
        let interval = Duration::from_millis(u64::from(orders.next_poll_ms));
        self.finish_poll_cycle(now, interval);
        for order in orders.orders {
            self.apply_order(now, sent_at, lease_end, order);
        }
        if let Some(entries) = orders.entries {
            self.entries_digest = entries.digest;
            self.actions.push(WorkerAction::Entries(entries));
        }
    }

    /// Marks the usage samples of the answered poll as received by control.
    fn confirm_sent_usage(&mut self) {
        for (attempt, until_ms) in std::mem::take(&mut self.sent_usage_ends) {
            if let Some(entry) = self.attempts.get_mut(&attempt) {
                entry.received_usage_until_ms = entry.received_usage_until_ms.max(until_ms);
            }
        }
    }

    /// Extends the leases of unfinished attempts to `until`, on the agent and on the worker.
    fn renew_leases(&mut self, now: BootTime, until: BootTime, renewed: &[TaskAttempt]) {
        let Some(clock) = self.clock else {
            return;
        };
        let mut keys: Vec<AttemptKey> = Vec::new();
        for attempt in renewed {
            let is_unfinished = self
                .attempts
                .get(attempt)
                .is_some_and(|entry| !entry.is_ended());
            if is_unfinished && self.leases.renew(now, *attempt, until) {
                keys.push(to_attempt_key(*attempt));
            }
        }
        if keys.is_empty() || until <= now {
            return;
        }
        let order = RenewOrder {
            boot: clock.boot(),
            keys,
            lease_until_ms: clock.lower_bound_ms(until),
        };
        let command = WorkerCommand::Renew { order, until };
        self.actions.push(WorkerAction::Command(command));
    }

    fn apply_order(
        &mut self,
        now: BootTime,
        sent_at: BootTime,
        lease_end: BootTime,
        order: WorkerOrder,
    ) {
        match order {
            WorkerOrder::Start {
                attempt,
                fence,
                program,
                demand,
                permit_ms,
                resume_ms,
            } => self.handle_start_order(
                now,
                StartRequest {
                    attempt,
                    fence,
                    program,
                    demand,
                    resume_ms,
                    permit_end: sent_at + self.bounded_permit(permit_ms),
                    lease_end,
                },
            ),
            WorkerOrder::Throttle {
                attempt,
                share_millis,
            } => self.handle_throttle_order(attempt, share_millis),
            WorkerOrder::Evict { attempt } => self.handle_eviction_order(now, attempt, true),
            WorkerOrder::Stop { attempt } => self.handle_eviction_order(now, attempt, false),
            WorkerOrder::Forget { attempt } => self.handle_forget_order(now, attempt),
        }
    }

    fn bounded_permit(&self, permit_ms: u32) -> Duration {
        Duration::from_millis(u64::from(permit_ms)).min(self.timing.permit_max)
    }

    fn handle_start_order(&mut self, now: BootTime, request: StartRequest) {
        let attempt = request.attempt;
        let is_known = self.attempts.contains_key(&attempt) || self.released.contains_key(&attempt);
        let starts_withheld = self.draining || self.last_listing_at < self.starts_allowed_from;
        if is_known || starts_withheld || self.runs_other_attempt(attempt) {
            // Control repeats the order as long as it stands.
            return;
        }
        let stage = AttemptStage::Ended(AttemptPhase::NotStarted);
        let mut entry = AttemptEntry::new(now, request.fence, stage);
        match self.admit_start(now, &request) {
            Ok(order) => {
                entry.service = program_service(&request.program);
                if let Some(service) = entry.service.clone() {
                    self.actions.push(WorkerAction::ResumeService(service));
                }
                entry.checkpoint_ms = request.resume_ms;
                entry.permit_end = request.permit_end;
                entry.stage = AttemptStage::Starting(PendingStart {
                    order,
                    permit_end: request.permit_end,
                    was_sent: false,
                    has_unknown_result: false,
                });
            }
            Err(reason) => {
                tracing::warn!(
                    event = "start_refused",
                    task = %attempt.task,
                    attempt = %attempt.attempt,
                    ?reason,
                );
                self.expedite_poll();
            }
        }
        self.attempts.insert(attempt, entry);
    }

    /// Whether another attempt of the same task may still run on this worker.
    fn runs_other_attempt(&self, attempt: TaskAttempt) -> bool {
        self.attempts.iter().any(|(other, entry)| {
            other.task == attempt.task && *other != attempt && !entry.is_ended()
        })
    }

    /// Checks permit, lease, fencing token and free capacity, and reserves the resources.
    fn admit_start(
        &mut self,
        now: BootTime,
        request: &StartRequest,
    ) -> Result<StartOrder, StartRefusal> {
        let attempt = request.attempt;
        let clock = self.clock.ok_or(StartRefusal::PermitExpired)?;
        if now >= request.permit_end || now >= request.lease_end {
            return Err(StartRefusal::PermitExpired);
        }
        let highest_fence = self.fences.get(&attempt.task).copied();
        if highest_fence.is_some_and(|highest| request.fence < highest) {
            return Err(StartRefusal::FenceTooLow);
        }
        self.ledger
            .reserve(attempt, request.demand)
            .map_err(|_| StartRefusal::NoRoom)?;
        self.fences.insert(attempt.task, request.fence);
        self.leases.renew(now, attempt, request.lease_end);
        Ok(StartOrder {
            boot: clock.boot(),
            key: to_attempt_key(attempt),
            fence: request.fence,
            program: to_start_program(request.program.clone()),
            demand: request.demand,
            resume_ms: request.resume_ms,
            start_by_ms: clock.lower_bound_ms(request.permit_end),
            lease_until_ms: clock.lower_bound_ms(request.lease_end),
        })
    }

    fn handle_throttle_order(&mut self, attempt: TaskAttempt, share_millis: u16) {
        if let Some(entry) = self.attempts.get_mut(&attempt) {
            if !entry.is_ended() {
                entry.pending_share_millis = Some(share_millis);
            }
        }
    }

    /// Starts an eviction; an order without a checkpoint also moves an eviction that waits for its
    /// checkpoint on to the stop.
    fn handle_eviction_order(
        &mut self,
        now: BootTime,
        attempt: TaskAttempt,
        with_checkpoint: bool,
    ) {
        if self.released.contains_key(&attempt) {
            return;
        }
        let drain_deadline = now + self.timing.drain_timeout;
        let Some(entry) = self.attempts.get_mut(&attempt) else {
            self.record_absent_attempt(now, attempt);
            return;
        };
        let step = match &mut entry.stage {
            AttemptStage::Ended(_) => return,
            AttemptStage::Starting(pending) => {
                // Ends the permit, so that the start is not sent again. Once a listing shows
                // whether the worker accepted it, the attempt is reported, and control
                // repeats the order if the attempt runs.
                pending.permit_end = pending.permit_end.min(now);
                return;
            }
            AttemptStage::Running => match &entry.service {
                Some(service) => {
                    let action = WorkerAction::DrainService(service.clone());
                    self.actions.push(action);
                    EvictionStep::Draining(Eviction::start_draining(
                        drain_deadline,
                        with_checkpoint,
                    ))
                }
                None if with_checkpoint => {
                    EvictionStep::Checkpointing(Eviction::start_checkpointing())
                }
                None => EvictionStep::Stopping(Eviction::start_stopping()),
            },
            AttemptStage::Evicting(EvictionStep::Checkpointing(_)) if !with_checkpoint => {
                EvictionStep::Stopping(Eviction::start_stopping())
            }
            AttemptStage::Evicting(_) => return,
        };
        entry.stage = AttemptStage::Evicting(step);
        entry.retry_at = now;
    }

    /// Records an attempt that the worker does not have as stopped: it never runs here.
    fn record_absent_attempt(&mut self, now: BootTime, attempt: TaskAttempt) {
        let stage = AttemptStage::Ended(AttemptPhase::Stopped);
        let entry = AttemptEntry::new(now, FenceNumber::default(), stage);
        self.attempts.insert(attempt, entry);
        self.expedite_poll();
    }

    /// Releases an ended attempt once the permit of its start has ended.
    fn handle_forget_order(&mut self, now: BootTime, attempt: TaskAttempt) {
        let Some(entry) = self.attempts.get(&attempt) else {
            return;
        };
        if !entry.is_ended() || now < entry.permit_end {
            return;
        }
        self.attempts.swap_remove(&attempt);
        self.leases.remove(&attempt);
        // Remembered until no start of the attempt can still arrive at the worker. Until then,
        // the worker gets a `Forget` after each listing that contains the attempt.
        self.released
            .insert(attempt, now + self.timing.released_retention);
    }
}

/// Service whose endpoint the program runs; `None` for batch programs.
fn program_service(program: &TaskProgram) -> Option<ServiceKey> {
    match program {
        TaskProgram::Service {
            environment,
            service,
            ..
        } => Some(ServiceKey {
            environment: environment.clone(),
            service: service.clone(),
        }),
        TaskProgram::Batch { .. } => None,
    }
}
