//! Proposes the decisions of the policy to the replicated log and reports rejected placements
//! back to the policy.

use crate::context::ControlContext;
use crate::context::QUORUM_TIMEOUT;
use crate::scheduler::replacement::ReplacementController;
use crate::scheduler::PassError;
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

/// A proposal that is not committed yet.
struct PendingProposal {
    /// Number to report to the policy if the replicated state rejects the placement.
    placement: Option<DecisionNumber>,
    outcome: PendingOutcome,
}

/// Proposes all decisions of a pass before it waits for the first, so that they share disk syncs of
/// the log (group commit).
pub(super) fn propose_decisions(
    context: &ControlContext,
    now: BootTime,
    core: &mut PlacementCore,
    replacements: &mut ReplacementController,
    decisions: Vec<PlacementDecision>,
) -> Result<(), PassError> {
    let mut pending = Vec::with_capacity(decisions.len());
    for decision in decisions {
        log_decision(&decision);
        let number = placement_number(&decision);
        if let Some(command) = decision_command(context, replacements, now, decision) {
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
) -> Result<(), PassError> {
    let outcome = match proposal.outcome.recv_timeout(QUORUM_TIMEOUT) {
        Ok(Ok(outcome)) => outcome,
        // Handled like a command that changed nothing: a placement is reported as rejected.
        Ok(Err(ProposeError::Overloaded)) => ControlOutcome::Stale,
        Ok(Err(ProposeError::NotLeader { .. } | ProposeError::Stopped)) => {
            return Err(PassError::NotLeader)
        }
        Ok(Err(_)) | Err(_) => return Err(PassError::OutOfSync),
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

/// Returns the command for a decision, or `None` if it does not change the replicated state.
fn decision_command(
    context: &ControlContext,
    replacements: &mut ReplacementController,
    now: BootTime,
    decision: PlacementDecision,
) -> Option<ControlCommand> {
    match decision {
        PlacementDecision::Place(place) => Some(ControlCommand::PlaceTask(TaskPlacement {
            attempt: task_attempt(place.task, place.attempt),
            worker: place.worker,
            demand: place.reserved,
        })),
        PlacementDecision::Evict(evict) => {
            Some(eviction_command(context, replacements, now, &evict))
        }
        PlacementDecision::Throttle(throttle) => {
            record_throttle(context, &throttle);
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

/// Returns the command for an eviction. A service task in a data centre that is out of service is
/// replaced instead: its successor starts first.
fn eviction_command(
    context: &ControlContext,
    replacements: &mut ReplacementController,
    now: BootTime,
    evict: &placement::EvictDecision,
) -> ControlCommand {
    let attempt = task_attempt(evict.task, evict.attempt);
    let leaves_data_centre = evict.cause == placement::EvictionCause::DataCentreOut;
    if leaves_data_centre && is_service(context, attempt) {
        replacements.record_replacement(now, attempt);
        return ControlCommand::ReplaceTask(attempt);
    }
    ControlCommand::EvictTask(TaskEviction {
        attempt,
        cause: eviction_cause(evict.cause),
    })
}

fn is_service(context: &ControlContext, attempt: TaskAttempt) -> bool {
    context.quorum.read_local(|state| {
        let record = state.jobs().task_of_attempt(attempt);
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

fn record_throttle(context: &ControlContext, throttle: &placement::ThrottleDecision) {
    let attempt = task_attempt(throttle.task, throttle.attempt);
    let share_permille = throttle.level.cpu_share_permille();
    let share_permille = u16::try_from(share_permille).expect("a share is at most 1000");
    context.with_leader_state(|leader| leader.throttles.insert(attempt, share_permille));
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
            alternatives = format_alternatives(&place.alternatives),
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

fn format_alternatives(workers: &[placement::ScoredWorker]) -> String {
    let parts: Vec<String> = workers
        .iter()
        .map(|scored| format!("{}:{}", scored.worker, scored.total))
        .collect();
    parts.join(",")
}
