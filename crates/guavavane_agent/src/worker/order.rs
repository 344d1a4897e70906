//! Application of the leader's orders.

use std::time::Duration;

use super::eviction::Eviction;
use super::eviction::EvictionStep;
use super::task::attempt_key;
use super::task::start_program;
use super::task::PendingStart;
use super::task::TaskEntry;
use super::task::TaskStage;
use super::PollStage;
use super::WorkerCommand;
use super::WorkerControl;
use super::WorkerOutcome;
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

/// A start as control orders it.
struct StartRequest {
    attempt: TaskAttempt,
    fence: FenceNumber,
    program: TaskProgram,
    demand: ResourceVector,
    resume_ms: u64,
    permit: BootTime,
    lease: BootTime,
}

/// Why an attempt is not started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StartRefusal {
    PermitExpired,
    FenceTooLow,
    NoRoom,
}

impl WorkerControl {
    /// Takes the reply to a poll; a reply to any other poll than the last is dropped.
    pub(super) fn take_orders(
        &mut self,
        now: BootTime,
        sequence: u64,
        sent: BootTime,
        orders: WorkerOrders,
    ) {
        if self.stage != (PollStage::Polling { sequence }) {
            return;
        }
        self.confirm_usage();
        let lease = sent + Duration::from_millis(u64::from(orders.lease_ms));
        self.renew_leases(now, lease, &orders.renewed);
        let interval = Duration::from_millis(u64::from(orders.next_poll_ms));
        self.end_turn(now, interval);
        for order in orders.orders {
            self.take_order(now, sent, lease, order);
        }
        if let Some(entries) = orders.entries {
            self.entries_digest = entries.digest;
            self.outcomes.push(WorkerOutcome::Entries(entries));
        }
    }

    fn confirm_usage(&mut self) {
        for (attempt, until_ms) in std::mem::take(&mut self.usage_marks) {
            if let Some(entry) = self.tasks.get_mut(&attempt) {
                entry.usage_until_ms = entry.usage_until_ms.max(until_ms);
            }
        }
    }

    fn renew_leases(&mut self, now: BootTime, until: BootTime, renewed: &[TaskAttempt]) {
        let Some(clock) = self.clock else {
            return;
        };
        let mut keys: Vec<AttemptKey> = Vec::new();
        for attempt in renewed {
            let known = self
                .tasks
                .get(attempt)
                .is_some_and(|entry| !entry.is_ended());
            if known && self.leases.renew(now, *attempt, until) {
                keys.push(attempt_key(*attempt));
            }
        }
        if keys.is_empty() || until <= now {
            return;
        }
        let order = RenewOrder {
            boot: clock.boot(),
            keys,
            lease_until_ms: clock.before(until),
        };
        let command = WorkerCommand::Renew { order, until };
        self.outcomes.push(WorkerOutcome::Command(command));
    }

    fn take_order(&mut self, now: BootTime, sent: BootTime, lease: BootTime, order: WorkerOrder) {
        match order {
            WorkerOrder::Start {
                attempt,
                fence,
                program,
                demand,
                permit_ms,
                resume_ms,
            } => self.order_start(
                now,
                StartRequest {
                    attempt,
                    fence,
                    program,
                    demand,
                    resume_ms,
                    permit: sent + self.permit_time(permit_ms),
                    lease,
                },
            ),
            WorkerOrder::Throttle {
                attempt,
                share_millis,
            } => self.order_throttle(attempt, share_millis),
            WorkerOrder::Evict { attempt } => self.order_eviction(now, attempt, true),
            WorkerOrder::Stop { attempt } => self.order_eviction(now, attempt, false),
            WorkerOrder::Forget { attempt } => self.order_forget(now, attempt),
        }
    }

    fn permit_time(&self, permit_ms: u32) -> Duration {
        Duration::from_millis(u64::from(permit_ms)).min(self.timing.permit_max)
    }

    fn order_start(&mut self, now: BootTime, request: StartRequest) {
        let attempt = request.attempt;
        let seen = self.tasks.contains_key(&attempt) || self.released.contains_key(&attempt);
        let held = self.draining || self.listed < self.starts_from;
        if seen || held || self.runs_other_attempt(attempt) {
            // Control repeats the order as long as it holds.
            return;
        }
        let stage = TaskStage::Ended(AttemptPhase::NotStarted);
        let mut entry = TaskEntry::new(now, request.fence, stage);
        match self.admit_start(now, &request) {
            Ok(order) => {
                entry.service = program_service(&request.program);
                if let Some(service) = entry.service.clone() {
                    self.outcomes.push(WorkerOutcome::ResumeService(service));
                }
                entry.checkpoint_ms = request.resume_ms;
                entry.permit = request.permit;
                entry.stage = TaskStage::Starting(PendingStart {
                    order,
                    permit: request.permit,
                    sent: false,
                    doubtful: false,
                });
            }
            Err(reason) => {
                tracing::warn!(
                    event = "start_refused",
                    task = %attempt.task,
                    attempt = %attempt.attempt,
                    ?reason,
                );
                self.hasten_poll();
            }
        }
        self.tasks.insert(attempt, entry);
    }

    /// Whether another attempt at the same task may still run on this worker.
    fn runs_other_attempt(&self, attempt: TaskAttempt) -> bool {
        self.tasks.iter().any(|(other, entry)| {
            other.task == attempt.task && *other != attempt && !entry.is_ended()
        })
    }

    fn admit_start(
        &mut self,
        now: BootTime,
        request: &StartRequest,
    ) -> Result<StartOrder, StartRefusal> {
        let attempt = request.attempt;
        let clock = self.clock.ok_or(StartRefusal::PermitExpired)?;
        if now >= request.permit || now >= request.lease {
            return Err(StartRefusal::PermitExpired);
        }
        let highest = self.fences.get(&attempt.task).copied();
        if highest.is_some_and(|highest| request.fence < highest) {
            return Err(StartRefusal::FenceTooLow);
        }
        self.ledger
            .reserve(attempt, request.demand)
            .map_err(|_| StartRefusal::NoRoom)?;
        self.fences.insert(attempt.task, request.fence);
        self.leases.renew(now, attempt, request.lease);
        Ok(StartOrder {
            boot: clock.boot(),
            key: attempt_key(attempt),
            fence: request.fence,
            program: start_program(request.program.clone()),
            demand: request.demand,
            resume_ms: request.resume_ms,
            start_by_ms: clock.before(request.permit),
            lease_until_ms: clock.before(request.lease),
        })
    }

    fn order_throttle(&mut self, attempt: TaskAttempt, share_millis: u16) {
        if let Some(entry) = self.tasks.get_mut(&attempt) {
            if !entry.is_ended() {
                entry.throttle = Some(share_millis);
            }
        }
    }

    /// Begins an eviction, or drops the checkpoint from one that has begun.
    fn order_eviction(&mut self, now: BootTime, attempt: TaskAttempt, checkpoint: bool) {
        if self.released.contains_key(&attempt) {
            return;
        }
        let drain_until = now + self.timing.drain_max;
        let Some(entry) = self.tasks.get_mut(&attempt) else {
            self.record_absent(now, attempt);
            return;
        };
        let step = match &mut entry.stage {
            TaskStage::Ended(_) => return,
            TaskStage::Starting(pending) => {
                // Not sent again. Once a listing tells whether the worker took it, it is
                // reported, and control repeats the order if it runs.
                pending.permit = pending.permit.min(now);
                return;
            }
            TaskStage::Running => match &entry.service {
                Some(service) => {
                    let outcome = WorkerOutcome::DrainService(service.clone());
                    self.outcomes.push(outcome);
                    EvictionStep::Draining(Eviction::drain(drain_until, checkpoint))
                }
                None if checkpoint => EvictionStep::Checkpointing(Eviction::checkpoint()),
                None => EvictionStep::Stopping(Eviction::stop()),
            },
            TaskStage::Evicting(EvictionStep::Checkpointing(_)) if !checkpoint => {
                EvictionStep::Stopping(Eviction::stop())
            }
            TaskStage::Evicting(_) => return,
        };
        entry.stage = TaskStage::Evicting(step);
        entry.retry_at = now;
    }

    /// An attempt that the worker does not have will never run here.
    fn record_absent(&mut self, now: BootTime, attempt: TaskAttempt) {
        let stage = TaskStage::Ended(AttemptPhase::Stopped);
        let entry = TaskEntry::new(now, FenceNumber::default(), stage);
        self.tasks.insert(attempt, entry);
        self.hasten_poll();
    }

    fn order_forget(&mut self, now: BootTime, attempt: TaskAttempt) {
        let Some(entry) = self.tasks.get(&attempt) else {
            return;
        };
        if !entry.is_ended() || now < entry.permit {
            return;
        }
        self.tasks.swap_remove(&attempt);
        self.leases.remove(&attempt);
        // The worker forgets once a listing is later than any start that may be on its way.
        self.released
            .insert(attempt, now + self.timing.released_keep);
    }
}

/// The service whose endpoint a program runs.
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
