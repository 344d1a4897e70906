//! State that the agent keeps of one attempt on its worker.

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

/// A start that the worker has not yet confirmed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct PendingStart {
    pub(super) order: StartOrder,
    /// End of the permit on the agent's clock.
    pub(super) permit_end: BootTime,
    /// Whether the start was sent, so that the worker may have accepted it.
    pub(super) was_sent: bool,
    /// Whether the start was sent with unknown result.
    pub(super) has_unknown_result: bool,
}

/// Life cycle stage of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum AttemptStage {
    /// The start was ordered; the worker may or may not have accepted it.
    Starting(PendingStart),
    /// The attempt runs on the worker.
    Running,
    /// The attempt runs until the worker confirms its eviction.
    Evicting(EvictionStep),
    /// The attempt has ended for good.
    Ended(AttemptPhase),
}

/// State of one attempt.
#[derive(Clone, Debug)]
pub(super) struct AttemptEntry {
    pub(super) fence: FenceNumber,
    /// Service whose endpoint the attempt runs; `None` for batch tasks and for attempts that an
    /// earlier incarnation started.
    pub(super) service: Option<ServiceKey>,
    pub(super) stage: AttemptStage,
    /// Work saved in the last checkpoint, in ms.
    pub(super) checkpoint_ms: u64,
    /// When the agent last learned of a change; listings requested before it are outdated.
    pub(super) changed_at: BootTime,
    /// End of the start's permit on the agent's clock; the attempt is not released before it.
    pub(super) permit_end: BootTime,
    /// Whether a command of the attempt has no result yet.
    pub(super) command_in_flight: bool,
    /// Earliest time of the next command.
    pub(super) retry_at: BootTime,
    /// CPU share that the worker has not yet confirmed, in thousandths of the demand.
    pub(super) pending_share_millis: Option<u16>,
    /// End of the last usage sample that control has received, in ms on the worker's clock.
    pub(super) received_usage_until_ms: u64,
}

impl AttemptEntry {
    pub(super) fn new(now: BootTime, fence: FenceNumber, stage: AttemptStage) -> Self {
        Self {
            fence,
            service: None,
            stage,
            checkpoint_ms: 0,
            changed_at: now,
            permit_end: now,
            command_in_flight: false,
            retry_at: now,
            pending_share_millis: None,
            received_usage_until_ms: 0,
        }
    }

    pub(super) fn is_ended(&self) -> bool {
        matches!(self.stage, AttemptStage::Ended(_))
    }

    /// When the next command of the attempt is due; `None` if it needs no command.
    pub(super) fn next_command_at(&self) -> Option<BootTime> {
        if self.command_in_flight {
            return None;
        }
        match &self.stage {
            AttemptStage::Starting(pending) if self.retry_at < pending.permit_end => {
                Some(self.retry_at)
            }
            AttemptStage::Running => self.pending_share_millis.map(|_| self.retry_at),
            AttemptStage::Evicting(EvictionStep::Draining(drain)) => Some(drain.drain_deadline()),
            AttemptStage::Evicting(_) => Some(self.retry_at),
            AttemptStage::Starting(_) | AttemptStage::Ended(_) => None,
        }
    }

    /// The report to control; `None` until the start is confirmed.
    pub(super) fn report(&self, attempt: TaskAttempt) -> Option<AttemptReport> {
        let phase = match &self.stage {
            AttemptStage::Starting(_) => return None,
            AttemptStage::Running => AttemptPhase::Running,
            AttemptStage::Evicting(EvictionStep::Stopping(stop))
                if stop.checkpoint_ms().is_some() =>
            {
                AttemptPhase::Checkpointed
            }
            AttemptStage::Evicting(_) => AttemptPhase::Running,
            AttemptStage::Ended(phase) => *phase,
        };
        Some(AttemptReport {
            attempt,
            fence: self.fence,
            phase,
            checkpoint_ms: self.checkpoint_ms,
        })
    }
}

/// Outcome reported to control for a state on the worker; `None` if the attempt runs.
pub(super) fn ended_phase(state: AttemptState) -> Option<AttemptPhase> {
    match state {
        AttemptState::Running => None,
        AttemptState::Stopped | AttemptState::Expired => Some(AttemptPhase::Stopped),
        AttemptState::Finished => Some(AttemptPhase::Finished),
        AttemptState::Failed => Some(AttemptPhase::Failed),
    }
}

pub(super) fn to_attempt_key(attempt: TaskAttempt) -> AttemptKey {
    AttemptKey {
        task: attempt.task,
        attempt: attempt.attempt,
    }
}

pub(super) fn to_task_attempt(key: AttemptKey) -> TaskAttempt {
    TaskAttempt {
        task: key.task,
        attempt: key.attempt,
    }
}

pub(super) fn to_start_program(program: TaskProgram) -> StartProgram {
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
