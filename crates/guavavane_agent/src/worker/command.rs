//! Choice of the next command for each attempt, and handling of command results.
//!
//! An attempt has at most one command in flight. A command whose result is unknown is repeated
//! after the backoff for commands; commands are idempotent on the worker.

use super::attempt::to_attempt_key;
use super::attempt::to_task_attempt;
use super::attempt::AttemptEntry;
use super::attempt::AttemptStage;
use super::eviction::EvictionStep;
use super::CommandResult;
use super::WorkerAction;
use super::WorkerCommand;
use super::WorkerController;
use crate::guard::ServiceKey;
use guavavane_contract::prelude::AttemptKey;
use guavavane_contract::prelude::OrderAnswer;
use guavavane_contract::prelude::ThrottleOrder;
use guavavane_model::prelude::BootTime;
use guavavane_protocol::prelude::AttemptPhase;
use guavavane_protocol::prelude::TaskAttempt;

impl WorkerController {
    /// Sends the next command of each attempt that is due and has none in flight.
    ///
    /// Starts wait while the committed resources exceed the worker's capacity.
    pub(super) fn send_due_commands(&mut self, now: BootTime) {
        let has_room = self.ledger.is_within_capacity();
        for (attempt, entry) in &mut self.attempts {
            let starting = matches!(entry.stage, AttemptStage::Starting(_));
            if entry.command_in_flight || now < entry.retry_at || (starting && !has_room) {
                continue;
            }
            if let Some(command) = next_command(now, *attempt, entry) {
                entry.command_in_flight = true;
                self.actions.push(WorkerAction::Command(command));
            }
        }
    }

    /// Continues the evictions that waited until the endpoints of `service` had drained.
    pub(super) fn continue_drained_evictions(&mut self, now: BootTime, service: &ServiceKey) {
        for entry in self.attempts.values_mut() {
            let AttemptStage::Evicting(EvictionStep::Draining(eviction)) = &entry.stage else {
                continue;
            };
            if entry.service.as_ref() == Some(service) {
                entry.stage = AttemptStage::Evicting(eviction.finish_drain());
                entry.retry_at = now;
            }
        }
    }

    /// Updates the attempt of a command with the command's result.
    pub(super) fn handle_command_result(
        &mut self,
        now: BootTime,
        command: &WorkerCommand,
        result: &CommandResult,
    ) {
        match command {
            WorkerCommand::Start { order, .. } => self.handle_start_result(now, order.key, result),
            WorkerCommand::Checkpoint(key) => self.handle_checkpoint_result(now, *key, result),
            WorkerCommand::Stop(key) => self.handle_stop_result(now, *key, result),
            WorkerCommand::Throttle(order) => self.handle_throttle_result(now, order, result),
            // Each poll renews again, and each listing that still has a released attempt repeats
            // the `Forget`.
            WorkerCommand::Renew { .. } | WorkerCommand::Forget(_) => {}
        }
    }

    /// Marks the attempt's command as no longer in flight; returns the attempt unless it ended.
    ///
    /// Without an answer from the worker the next command waits for the backoff for commands.
    fn clear_in_flight_command(
        &mut self,
        now: BootTime,
        key: AttemptKey,
        result: &CommandResult,
    ) -> Option<&mut AttemptEntry> {
        let entry = self.attempts.get_mut(&to_task_attempt(key))?;
        entry.command_in_flight = false;
        if matches!(result, CommandResult::Answered(_)) {
            entry.changed_at = now;
        } else {
            entry.retry_at = now + self.timing.command_backoff;
        }
        (!entry.is_ended()).then_some(entry)
    }

    fn handle_start_result(&mut self, now: BootTime, key: AttemptKey, result: &CommandResult) {
        let Some(entry) = self.clear_in_flight_command(now, key, result) else {
            return;
        };
        let AttemptStage::Starting(pending) = &mut entry.stage else {
            return;
        };
        match result {
            CommandResult::Answered(OrderAnswer::Refused { .. }) if pending.has_unknown_result => {
                // The worker may have accepted an earlier transmission, perhaps before a
                // reboot. The first listing after the end of the permit shows whether it did.
                pending.permit_end = pending.permit_end.min(now);
            }
            CommandResult::Answered(OrderAnswer::Refused { reason }) => {
                tracing::warn!(event = "start_refused", task = %key.task, attempt = %key.attempt, reason);
                self.end_attempt(now, to_task_attempt(key), AttemptPhase::NotStarted);
            }
            CommandResult::Answered(_) => {
                entry.stage = AttemptStage::Running;
                tracing::info!(event = "attempt_started", task = %key.task, attempt = %key.attempt);
                self.expedite_poll();
            }
            // The first listing after the end of the permit shows whether the worker accepted
            // the start.
            CommandResult::Unknown => pending.has_unknown_result = true,
            CommandResult::NotSent => {}
        }
    }

    fn handle_checkpoint_result(&mut self, now: BootTime, key: AttemptKey, result: &CommandResult) {
        let retry_at = now + self.timing.command_backoff;
        let Some(entry) = self.clear_in_flight_command(now, key, result) else {
            return;
        };
        let AttemptStage::Evicting(EvictionStep::Checkpointing(eviction)) = entry.stage.clone()
        else {
            return;
        };
        let CommandResult::Answered(answer) = result else {
            return;
        };
        let step = match answer {
            OrderAnswer::Checkpointed { progress_ms } => {
                entry.checkpoint_ms = entry.checkpoint_ms.max(*progress_ms);
                EvictionStep::Stopping(eviction.finish_checkpoint(entry.checkpoint_ms))
            }
            OrderAnswer::Done => {
                EvictionStep::Stopping(eviction.finish_checkpoint(entry.checkpoint_ms))
            }
            OrderAnswer::Refused { .. } => {
                entry.retry_at = retry_at;
                eviction.refuse_checkpoint()
            }
        };
        entry.stage = AttemptStage::Evicting(step);
    }

    fn handle_stop_result(&mut self, now: BootTime, key: AttemptKey, result: &CommandResult) {
        let retry_at = now + self.timing.command_backoff;
        let Some(entry) = self.clear_in_flight_command(now, key, result) else {
            return;
        };
        if !matches!(
            entry.stage,
            AttemptStage::Evicting(EvictionStep::Stopping(_))
        ) {
            return;
        }
        entry.retry_at = retry_at;
        if matches!(result, CommandResult::Answered(_)) {
            // The attempt may have ended by itself before the stop: a listing shows its outcome.
            self.expedite_poll();
        }
    }

    fn handle_throttle_result(
        &mut self,
        now: BootTime,
        order: &ThrottleOrder,
        result: &CommandResult,
    ) {
        let Some(entry) = self.clear_in_flight_command(now, order.key, result) else {
            return;
        };
        let answered = matches!(result, CommandResult::Answered(_));
        if answered && entry.pending_share_millis == Some(order.share_millis) {
            entry.pending_share_millis = None;
        }
    }
}

/// The next command of an attempt; ends a drain whose deadline has passed.
fn next_command(
    now: BootTime,
    attempt: TaskAttempt,
    entry: &mut AttemptEntry,
) -> Option<WorkerCommand> {
    let key = to_attempt_key(attempt);
    if let AttemptStage::Evicting(EvictionStep::Draining(eviction)) = &entry.stage {
        if now < eviction.drain_deadline() {
            return None;
        }
        entry.stage = AttemptStage::Evicting(eviction.finish_drain());
    }
    match &mut entry.stage {
        AttemptStage::Starting(pending) if now < pending.permit_end => {
            pending.was_sent = true;
            Some(WorkerCommand::Start {
                order: pending.order.clone(),
                permit: pending.permit_end,
            })
        }
        AttemptStage::Running => entry
            .pending_share_millis
            .map(|share_millis| WorkerCommand::Throttle(ThrottleOrder { key, share_millis })),
        AttemptStage::Evicting(EvictionStep::Checkpointing(_)) => {
            Some(WorkerCommand::Checkpoint(key))
        }
        AttemptStage::Evicting(EvictionStep::Stopping(_)) => Some(WorkerCommand::Stop(key)),
        AttemptStage::Starting(_)
        | AttemptStage::Evicting(EvictionStep::Draining(_))
        | AttemptStage::Ended(_) => None,
    }
}
