//! What the agent knows of one attempt on its worker.

use super::eviction::EvictionStep;
use crate::guard::ServiceKey;
use guavavane_contract::prelude::AttemptKey;
use guavavane_contract::prelude::AttemptState;
use guavavane_contract::prelude::StartOrder;
use guavavane_contract::prelude::StartProgram;
use guavavane_model::prelude::BootTime;
use guavavane_model::prelude::FenceNumber;
use guavavane_protocol::prelude::AttemptPhase;
use guavavane_protocol::prelude::AttemptReport;
use guavavane_protocol::prelude::TaskAttempt;
use guavavane_protocol::prelude::TaskProgram;

/// A start that was ordered and not yet confirmed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct PendingStart {
    pub(super) order: StartOrder,
    /// End of the permit on the agent's clock.
    pub(super) permit: BootTime,
    /// Whether the worker may have taken it.
    pub(super) sent: bool,
    /// Whether an earlier sending of it has no answer.
    pub(super) doubtful: bool,
}

/// Where an attempt is in its life.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum TaskStage {
    /// The start was ordered; the worker may or may not have taken it.
    Starting(PendingStart),
    /// The worker runs it.
    Running,
    /// It runs until its eviction is confirmed.
    Evicting(EvictionStep),
    /// It does not run and never will again.
    Ended(AttemptPhase),
}

/// One attempt.
#[derive(Clone, Debug)]
pub(super) struct TaskEntry {
    pub(super) fence: FenceNumber,
    /// Service that the attempt runs an endpoint of, if the agent started it.
    pub(super) service: Option<ServiceKey>,
    pub(super) stage: TaskStage,
    pub(super) checkpoint_ms: u64,
    /// When the agent last learned of a change; older listings say nothing new.
    pub(super) changed: BootTime,
    /// End of the permit that it was ordered with, on the agent's clock.
    pub(super) permit: BootTime,
    /// Whether a command is on its way to the worker.
    pub(super) in_flight: bool,
    /// Earliest next command.
    pub(super) retry_at: BootTime,
    /// Share that was ordered and not yet confirmed, in thousandths.
    pub(super) throttle: Option<u16>,
    /// End of the last usage sample that control has, on the worker's clock.
    pub(super) usage_until_ms: u64,
}

impl TaskEntry {
    pub(super) fn new(now: BootTime, fence: FenceNumber, stage: TaskStage) -> Self {
        Self {
            fence,
            service: None,
            stage,
            checkpoint_ms: 0,
            changed: now,
            permit: now,
            in_flight: false,
            retry_at: now,
            throttle: None,
            usage_until_ms: 0,
        }
    }

    pub(super) fn is_ended(&self) -> bool {
        matches!(self.stage, TaskStage::Ended(_))
    }

    /// When the attempt needs its next command, or nothing while it needs none.
    pub(super) fn next_command_at(&self) -> Option<BootTime> {
        if self.in_flight {
            return None;
        }
        match &self.stage {
            TaskStage::Starting(pending) if self.retry_at < pending.permit => Some(self.retry_at),
            TaskStage::Running => self.throttle.map(|_| self.retry_at),
            TaskStage::Evicting(EvictionStep::Draining(drain)) => Some(drain.until()),
            TaskStage::Evicting(_) => Some(self.retry_at),
            TaskStage::Starting(_) | TaskStage::Ended(_) => None,
        }
    }

    /// The report to control, or nothing while the start is not confirmed.
    pub(super) fn report(&self, attempt: TaskAttempt) -> Option<AttemptReport> {
        let phase = match &self.stage {
            TaskStage::Starting(_) => return None,
            TaskStage::Running => AttemptPhase::Running,
            TaskStage::Evicting(EvictionStep::Stopping(stop)) if stop.checkpoint_ms().is_some() => {
                AttemptPhase::Checkpointed
            }
            TaskStage::Evicting(_) => AttemptPhase::Running,
            TaskStage::Ended(phase) => *phase,
        };
        Some(AttemptReport {
            attempt,
            fence: self.fence,
            phase,
            checkpoint_ms: self.checkpoint_ms,
        })
    }
}

/// The last phase that a worker's state means, or nothing if the attempt runs.
pub(super) fn ended_phase(state: AttemptState) -> Option<AttemptPhase> {
    match state {
        AttemptState::Running => None,
        AttemptState::Stopped | AttemptState::Expired => Some(AttemptPhase::Stopped),
        AttemptState::Finished => Some(AttemptPhase::Finished),
        AttemptState::Failed => Some(AttemptPhase::Failed),
    }
}

pub(super) fn attempt_key(attempt: TaskAttempt) -> AttemptKey {
    AttemptKey {
        task: attempt.task,
        attempt: attempt.attempt,
    }
}

pub(super) fn task_attempt(key: AttemptKey) -> TaskAttempt {
    TaskAttempt {
        task: key.task,
        attempt: key.attempt,
    }
}

pub(super) fn start_program(program: TaskProgram) -> StartProgram {
    match program {
        TaskProgram::Service {
            environment,
            service,
            slots,
            connections,
        } => StartProgram::Service {
            environment,
            service,
            slots,
            connections,
        },
        TaskProgram::Batch { run_ms } => StartProgram::Batch { run_ms },
    }
}
