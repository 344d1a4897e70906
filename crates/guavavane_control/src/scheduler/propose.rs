//! Proposes the policy's decisions and tells it which were refused.

use crate::context::ControlContext;
use crate::context::QUORUM_TIMEOUT;
use crate::scheduler::replacement::ReplacementPlan;
use crate::scheduler::RoundBreak;
use crate::state::command::ControlCommand;
use crate::state::command::ControlOutcome;
use crate::state::command::EvictionCause;
use crate::state::command::TaskEviction;
use crate::state::command::TaskPlacement;
use guavavane_model::prelude::AttemptNumber;
use guavavane_model::prelude::BootTime;
use guavavane_model::prelude::TaskId;
use guavavane_placement::prelude as placement;
use guavavane_placement::prelude::DecisionNumber;
use guavavane_placement::prelude::PlacementCore;
use guavavane_placement::prelude::PlacementDecision;
use guavavane_placement::prelude::PlacementEvent;
use guavavane_protocol::poll::TaskAttempt;
use guavavane_quorum::prelude::ProposeError;

type PendingOutcome = flume::Receiver<Result<ControlOutcome, ProposeError>>;

/// A proposal whose outcome is awaited.
struct PendingProposal {
    /// Decision to take back if the proposal is refused.
    placement: Option<DecisionNumber>,
    outcome: PendingOutcome,
}

/// Proposes all decisions of a round together, so that they share the syncs of the log.
pub(super) fn propose_all(
    context: &ControlContext,
    now: BootTime,
    core: &mut PlacementCore,
    plan: &mut ReplacementPlan,
    decisions: Vec<PlacementDecision>,
) -> Result<(), RoundBreak> {
    let mut pending = Vec::with_capacity(decisions.len());
    for decision in decisions {
        log_decision(&decision);
        let number = placement_number(&decision);
        if let Some(command) = decision_command(context, plan, now, decision) {
            pending.push(PendingProposal {
                placement: number,
                outcome: context.quorum.propose_async(command),
            });
        }
    }
    for proposal in pending {
        await_outcome(context, core, proposal)?;
    }
    Ok(())
}

fn await_outcome(
    context: &ControlContext,
    core: &mut PlacementCore,
    proposal: PendingProposal,
) -> Result<(), RoundBreak> {
    let outcome = match proposal.outcome.recv_timeout(QUORUM_TIMEOUT) {
        Ok(Ok(outcome)) => outcome,
        Ok(Err(ProposeError::Overloaded)) => ControlOutcome::Stale,
        Ok(Err(ProposeError::NotLeader { .. } | ProposeError::Stopped)) => {
            return Err(RoundBreak::NotLeader)
        }
        Ok(Err(_)) | Err(_) => return Err(RoundBreak::Rebuild),
    };
    if outcome == ControlOutcome::Changed {
        return Ok(());
    }
    if let Some(number) = proposal.placement {
        tracing::info!(event = "placement_refused", decision = number.0, outcome = ?outcome);
        core.apply_event(context.now(), PlacementEvent::PlacementRejected(number));
    }
    Ok(())
}

fn placement_number(decision: &PlacementDecision) -> Option<DecisionNumber> {
    match decision {
        PlacementDecision::Place(place) => Some(place.number),
        _ => None,
    }
}

/// The command that a decision asks for, if it changes the replicated state.
fn decision_command(
    context: &ControlContext,
    plan: &mut ReplacementPlan,
    now: BootTime,
    decision: PlacementDecision,
) -> Option<ControlCommand> {
    match decision {
        PlacementDecision::Place(place) => Some(ControlCommand::PlaceTask(TaskPlacement {
            attempt: task_attempt(place.task, place.attempt),
            worker: place.worker,
            demand: place.reserved,
        })),
        PlacementDecision::Evict(evict) => Some(eviction_command(context, plan, now, &evict)),
        PlacementDecision::Throttle(throttle) => {
            set_throttle(context, &throttle);
            None
        }
        PlacementDecision::ReportImpossible(report) => Some(ControlCommand::SetImpossible {
            task: report.task,
            lacks: Some(format!("{:?}", report.lacks)),
        }),
        PlacementDecision::GiveUp(give_up) => Some(ControlCommand::GiveUpTask(give_up.task)),
        PlacementDecision::QuarantineWorker(_) | PlacementDecision::ReleaseQuarantine(_) => None,
    }
}

fn task_attempt(task: TaskId, attempt: AttemptNumber) -> TaskAttempt {
    TaskAttempt { task, attempt }
}

/// Evicts a task; a service that leaves a data centre gets a successor first.
fn eviction_command(
    context: &ControlContext,
    plan: &mut ReplacementPlan,
    now: BootTime,
    evict: &placement::EvictDecision,
) -> ControlCommand {
    let attempt = task_attempt(evict.task, evict.attempt);
    let leaves = evict.cause == placement::EvictionCause::DataCentreOut;
    if leaves && is_service(context, attempt) {
        plan.expect_successor(now, attempt);
        return ControlCommand::ReplaceTask(attempt);
    }
    ControlCommand::EvictTask(TaskEviction {
        attempt,
        cause: eviction_cause(evict.cause),
    })
}

fn is_service(context: &ControlContext, attempt: TaskAttempt) -> bool {
    context.quorum.local(|state| {
        let record = state.jobs().current(attempt);
        record
            .and_then(|record| state.jobs().job(record.job))
            .is_some_and(|job| job.origin.is_service())
    })
}

fn eviction_cause(cause: placement::EvictionCause) -> EvictionCause {
    match cause {
        placement::EvictionCause::Preemption { .. } => EvictionCause::Preempted,
        placement::EvictionCause::Interference { .. } => EvictionCause::Interference,
        placement::EvictionCause::DataCentreOut => EvictionCause::DataCentreOut,
        placement::EvictionCause::WorkerShrunk => EvictionCause::WorkerShrunk,
    }
}

fn set_throttle(context: &ControlContext, throttle: &placement::ThrottleDecision) {
    let attempt = task_attempt(throttle.task, throttle.attempt);
    let share = throttle.level.cpu_share_permille();
    let share = u16::try_from(share).expect("a share is at most 1000");
    context.with_memory(|memory| memory.throttles.insert(attempt, share));
}

fn log_decision(decision: &PlacementDecision) {
    match decision {
        PlacementDecision::Place(place) => tracing::info!(
            event = "placed",
            task = %place.task,
            attempt = %place.attempt,
            worker = %place.worker,
            reserved = %place.reserved,
            reason = ?place.reason,
            score = place.score.total(),
            fit = place.score.fit,
            spread = place.score.spread,
            interference = place.score.interference,
            failures = place.score.failures,
            alternatives = alternatives(&place.alternatives),
        ),
        PlacementDecision::Evict(evict) => tracing::info!(
            event = "evicted",
            task = %evict.task,
            attempt = %evict.attempt,
            worker = %evict.worker,
            cause = ?evict.cause,
        ),
        PlacementDecision::Throttle(throttle) => tracing::info!(
            event = "throttled",
            task = %throttle.task,
            worker = %throttle.worker,
            level = ?throttle.level,
            service = %throttle.service,
        ),
        PlacementDecision::ReportImpossible(report) => tracing::warn!(
            event = "impossible",
            task = %report.task,
            job = %report.job,
            lacks = ?report.lacks,
        ),
        PlacementDecision::GiveUp(give_up) => tracing::warn!(
            event = "given_up",
            task = %give_up.task,
            job = %give_up.job,
            failed_workers = give_up.failed_workers,
        ),
        PlacementDecision::QuarantineWorker(quarantine) => tracing::warn!(
            event = "quarantined",
            worker = %quarantine.worker,
            failed_jobs = quarantine.failed_jobs,
            term_ms = quarantine.term_ms,
        ),
        PlacementDecision::ReleaseQuarantine(worker) => {
            tracing::info!(event = "quarantine_released", %worker);
        }
    }
}

fn alternatives(workers: &[placement::ScoredWorker]) -> String {
    let parts: Vec<String> = workers
        .iter()
        .map(|scored| format!("{}:{}", scored.worker, scored.total))
        .collect();
    parts.join(",")
}
