//! Commands to the worker and their results.

use super::eviction::EvictionStep;
use super::task::attempt_key;
use super::task::task_attempt;
use super::task::TaskEntry;
use super::task::TaskStage;
use super::CommandResult;
use super::WorkerCommand;
use super::WorkerControl;
use super::WorkerOutcome;
use crate::guard::ServiceKey;
use guavavane_contract::prelude::AttemptKey;
use guavavane_contract::prelude::OrderAnswer;
use guavavane_contract::prelude::ThrottleOrder;
use guavavane_model::prelude::BootTime;
use guavavane_protocol::prelude::AttemptPhase;
use guavavane_protocol::prelude::TaskAttempt;

impl WorkerControl {
    /// Sends each attempt the command that it needs next.
    pub(super) fn drive_tasks(&mut self, now: BootTime) {
        let has_room = self.ledger.is_within();
        for (attempt, entry) in &mut self.tasks {
            let starting = matches!(entry.stage, TaskStage::Starting(_));
            if entry.in_flight || now < entry.retry_at || (starting && !has_room) {
                continue;
            }
            if let Some(command) = next_command(now, *attempt, entry) {
                entry.in_flight = true;
                self.outcomes.push(WorkerOutcome::Command(command));
            }
        }
    }

    /// Goes on with the evictions that waited for a service's requests.
    pub(super) fn end_drain(&mut self, now: BootTime, drained: &ServiceKey) {
        for entry in self.tasks.values_mut() {
            let TaskStage::Evicting(EvictionStep::Draining(eviction)) = &entry.stage else {
                continue;
            };
            if entry.service.as_ref() == Some(drained) {
                entry.stage = TaskStage::Evicting(eviction.drained());
                entry.retry_at = now;
            }
        }
    }

    pub(super) fn take_result(
        &mut self,
        now: BootTime,
        command: &WorkerCommand,
        result: &CommandResult,
    ) {
        match command {
            WorkerCommand::Start { order, .. } => self.take_start_result(now, order.key, result),
            WorkerCommand::Checkpoint(key) => self.take_checkpoint_result(now, *key, result),
            WorkerCommand::Stop(key) => self.take_stop_result(now, *key, result),
            WorkerCommand::Throttle(order) => self.take_throttle_result(now, order, result),
            // A lost renewal is followed by the next one, a lost release by the next listing.
            WorkerCommand::Renew { .. } | WorkerCommand::Forget(_) => {}
        }
    }

    /// Clears the command of an attempt and returns the entry if it has not ended.
    fn settle_command(
        &mut self,
        now: BootTime,
        key: AttemptKey,
        result: &CommandResult,
    ) -> Option<&mut TaskEntry> {
        let entry = self.tasks.get_mut(&task_attempt(key))?;
        entry.in_flight = false;
        if matches!(result, CommandResult::Answered(_)) {
            entry.changed = now;
        } else {
            entry.retry_at = now + self.timing.retry_interval;
        }
        (!entry.is_ended()).then_some(entry)
    }

    fn take_start_result(&mut self, now: BootTime, key: AttemptKey, result: &CommandResult) {
        let Some(entry) = self.settle_command(now, key, result) else {
            return;
        };
        let TaskStage::Starting(pending) = &mut entry.stage else {
            return;
        };
        match result {
            CommandResult::Answered(OrderAnswer::Refused { .. }) if pending.doubtful => {
                // An earlier sending may have been taken, perhaps before a reboot: a listing
                // that is later than the permit tells.
                pending.permit = pending.permit.min(now);
            }
            CommandResult::Answered(OrderAnswer::Refused { reason }) => {
                tracing::warn!(event = "start_refused", task = %key.task, attempt = %key.attempt, reason);
                self.end_task(now, task_attempt(key), AttemptPhase::NotStarted);
            }
            CommandResult::Answered(_) => {
                entry.stage = TaskStage::Running;
                tracing::info!(event = "attempt_started", task = %key.task, attempt = %key.attempt);
                self.hasten_poll();
            }
            // A listing that is later than the permit tells whether the worker took it.
            CommandResult::Unknown => pending.doubtful = true,
            CommandResult::NotSent => {}
        }
    }

    fn take_checkpoint_result(&mut self, now: BootTime, key: AttemptKey, result: &CommandResult) {
        let retry_at = now + self.timing.retry_interval;
        let Some(entry) = self.settle_command(now, key, result) else {
            return;
        };
        let TaskStage::Evicting(EvictionStep::Checkpointing(eviction)) = entry.stage.clone() else {
            return;
        };
        let CommandResult::Answered(answer) = result else {
            return;
        };
        let step = match answer {
            OrderAnswer::Checkpointed { progress_ms } => {
                entry.checkpoint_ms = entry.checkpoint_ms.max(*progress_ms);
                EvictionStep::Stopping(eviction.written(entry.checkpoint_ms))
            }
            OrderAnswer::Done => EvictionStep::Stopping(eviction.written(entry.checkpoint_ms)),
            OrderAnswer::Refused { .. } => {
                entry.retry_at = retry_at;
                eviction.refused()
            }
        };
        entry.stage = TaskStage::Evicting(step);
    }

    fn take_stop_result(&mut self, now: BootTime, key: AttemptKey, result: &CommandResult) {
        let retry_at = now + self.timing.retry_interval;
        let Some(entry) = self.settle_command(now, key, result) else {
            return;
        };
        if !matches!(entry.stage, TaskStage::Evicting(EvictionStep::Stopping(_))) {
            return;
        }
        entry.retry_at = retry_at;
        if matches!(result, CommandResult::Answered(_)) {
            // The attempt may have ended by itself before: a listing tells how it ended.
            self.hasten_poll();
        }
    }

    fn take_throttle_result(
        &mut self,
        now: BootTime,
        order: &ThrottleOrder,
        result: &CommandResult,
    ) {
        let Some(entry) = self.settle_command(now, order.key, result) else {
            return;
        };
        let answered = matches!(result, CommandResult::Answered(_));
        if answered && entry.throttle == Some(order.share_millis) {
            entry.throttle = None;
        }
    }
}

/// The command that an attempt needs next.
fn next_command(
    now: BootTime,
    attempt: TaskAttempt,
    entry: &mut TaskEntry,
) -> Option<WorkerCommand> {
    let key = attempt_key(attempt);
    if let TaskStage::Evicting(EvictionStep::Draining(eviction)) = &entry.stage {
        if now < eviction.until() {
            return None;
        }
        entry.stage = TaskStage::Evicting(eviction.drained());
    }
    match &mut entry.stage {
        TaskStage::Starting(pending) if now < pending.permit => {
            pending.sent = true;
            Some(WorkerCommand::Start {
                order: pending.order.clone(),
                permit: pending.permit,
            })
        }
        TaskStage::Running => entry
            .throttle
            .map(|share_millis| WorkerCommand::Throttle(ThrottleOrder { key, share_millis })),
        TaskStage::Evicting(EvictionStep::Checkpointing(_)) => Some(WorkerCommand::Checkpoint(key)),
        TaskStage::Evicting(EvictionStep::Stopping(_)) => Some(WorkerCommand::Stop(key)),
        TaskStage::Starting(_)
        | TaskStage::Evicting(EvictionStep::Draining(_))
        | TaskStage::Ended(_) => None,
    }
}
