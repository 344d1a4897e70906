//! Translates the replicated state, its changes and usage samples into events of the placement
//! policy.

use std::time::Duration;

use indexmap::IndexMap;

use crate::context::ControlContext;
use crate::context::ReceivedSample;
use crate::scheduler::replacement::ReplacementController;
use crate::scheduler::PassError;
use crate::state::change_feed::FeedCursor;
use crate::state::change_feed::StateChange;
use crate::state::command::AttemptOutcome;
use crate::state::job_record::JobOrigin;
use crate::state::job_record::JobRecord;
use crate::state::job_record::TaskRecord;
use crate::state::ControlState;
use guavavane_model::prelude::BootTime;
use guavavane_model::prelude::JobId;
use guavavane_model::prelude::ResourceVector;
use guavavane_model::prelude::TaskId;
use guavavane_model::prelude::TeamName;
use guavavane_model::prelude::WorkerName;
use guavavane_placement::prelude as placement;
use guavavane_placement::prelude::PlacementCore;
use guavavane_placement::prelude::PlacementEvent;
use guavavane_protocol::poll::TaskAttempt;
use guavavane_protocol::poll::TaskProgram;

/// Events that describe the whole replicated state.
pub(super) struct InitialEvents {
    pub(super) cursor: FeedCursor,
    pub(super) events: Vec<PlacementEvent>,
    pub(super) replacements: ReplacementController,
}

/// Events of the changes that followed a cursor, and what else they mean for the scheduler.
pub(super) struct EventBatch {
    pub(super) cursor: FeedCursor,
    pub(super) events: Vec<PlacementEvent>,
    pub(super) revised_services: Vec<JobId>,
    pub(super) ended_attempts: Vec<TaskAttempt>,
}

/// Returns the events from which a new policy is built.
pub(super) fn initial_events(state: &ControlState) -> InitialEvents {
    let mut events = Vec::new();
    for (name, _) in state.workers().iter() {
        events.extend(worker_event(state, name));
    }
    events.extend(team_events(state));
    for status in state.data_centres().statuses() {
        if status.out {
            events.push(PlacementEvent::DataCentreOut(status.name));
        }
    }
    for (task, record) in state.jobs().tasks() {
        events.extend(restored_event(state, task, record));
    }
    InitialEvents {
        cursor: state.feed().end(),
        events,
        replacements: ReplacementController::from_state(state),
    }
}

/// Returns the events of `changes`, for a policy that has applied all earlier changes.
pub(super) fn change_events(state: &ControlState, changes: Vec<StateChange>) -> EventBatch {
    let mut batch = EventBatch {
        cursor: state.feed().end(),
        events: Vec::new(),
        revised_services: Vec::new(),
        ended_attempts: Vec::new(),
    };
    for change in changes {
        append_change(state, change, &mut batch);
    }
    batch
}

fn append_change(state: &ControlState, change: StateChange, batch: &mut EventBatch) {
    let events = &mut batch.events;
    match change {
        StateChange::WorkerChanged(worker) => events.extend(worker_event(state, &worker)),
        StateChange::WorkerForgotten(worker) => events.push(PlacementEvent::WorkerGone(worker)),
        StateChange::DataCentreChanged(name) => {
            let event = if state.data_centres().is_out(&name) {
                PlacementEvent::DataCentreOut(name)
            } else {
                PlacementEvent::DataCentreBack(name)
            };
            events.push(event);
        }
        StateChange::TeamsChanged => events.extend(team_events(state)),
        StateChange::TaskPending(task) => {
            let record = state.jobs().task(task).filter(|task| task.is_pending());
            events.extend(record.and_then(|record| submitted_event(state, task, record)));
        }
        StateChange::TaskCommitted(task) => {
            let record = state.jobs().task(task);
            events.extend(record.and_then(|record| committed_event(task, record)));
        }
        StateChange::AttemptEnded {
            attempt,
            worker,
            outcome,
            eviction_ordered,
            is_requeued,
        } => {
            let cause = release_cause(outcome, eviction_ordered, is_requeued);
            events.push(release_event(attempt, worker, cause));
            if !is_requeued {
                events.push(PlacementEvent::TaskCancelled(attempt.task));
            }
            batch.ended_attempts.push(attempt);
        }
        StateChange::ServiceRevised(job) => batch.revised_services.push(job),
        StateChange::TaskDropped(task) => events.push(PlacementEvent::TaskCancelled(task)),
    }
}

fn release_event(
    attempt: TaskAttempt,
    worker: WorkerName,
    cause: placement::ReleaseCause,
) -> PlacementEvent {
    PlacementEvent::TaskReleased(placement::TaskRelease {
        task: attempt.task,
        attempt: attempt.attempt,
        worker,
        cause,
    })
}

/// Returns why an attempt released its capacity. A start that the worker refused counts as a
/// failure on this worker, unless its eviction had been ordered.
fn release_cause(
    outcome: AttemptOutcome,
    eviction_ordered: bool,
    is_requeued: bool,
) -> placement::ReleaseCause {
    match outcome {
        AttemptOutcome::Failed => placement::ReleaseCause::FailedOnWorker,
        AttemptOutcome::NotStarted if !eviction_ordered => placement::ReleaseCause::FailedOnWorker,
        AttemptOutcome::LeaseExpired => placement::ReleaseCause::LeaseExpired,
        AttemptOutcome::Finished if !is_requeued => placement::ReleaseCause::Finished,
        AttemptOutcome::Finished | AttemptOutcome::Stopped | AttemptOutcome::NotStarted => {
            if is_requeued {
                placement::ReleaseCause::Evicted
            } else {
                placement::ReleaseCause::Stopped
            }
        }
    }
}

fn worker_event(state: &ControlState, name: &WorkerName) -> Option<PlacementEvent> {
    let worker = state.workers().get(name)?;
    Some(PlacementEvent::WorkerUp(placement::WorkerRecord {
        name: name.clone(),
        data_centre: worker.data_centre.clone(),
        rack: worker.rack.clone(),
        capacity: worker.capacity,
    }))
}

/// Returns the event of a waiting or committed task for a policy that does not know the task.
fn restored_event(
    state: &ControlState,
    task: TaskId,
    record: &TaskRecord,
) -> Option<PlacementEvent> {
    Some(PlacementEvent::TaskRestored(placement::TaskRestore {
        record: active_task(state, task, record)?,
        placements: task_placement(task, record).into_iter().collect(),
    }))
}

fn submitted_event(
    state: &ControlState,
    task: TaskId,
    record: &TaskRecord,
) -> Option<PlacementEvent> {
    active_task(state, task, record).map(PlacementEvent::TaskSubmitted)
}

/// Returns the policy's record of a task, or `None` if the task has ended.
fn active_task(
    state: &ControlState,
    task: TaskId,
    record: &TaskRecord,
) -> Option<placement::TaskRecord> {
    if record.has_ended() {
        return None;
    }
    let job = state.jobs().job(record.job)?;
    Some(placement_record(task, record, job))
}

fn placement_record(task: TaskId, record: &TaskRecord, job: &JobRecord) -> placement::TaskRecord {
    let is_service = job.origin.is_service();
    let kind = match &job.origin {
        JobOrigin::Service { service, .. } => placement::WorkloadKind::from(service),
        JobOrigin::Batch { batch, .. } => placement::WorkloadKind::from(batch),
    };
    placement::TaskRecord {
        id: task,
        job: record.job,
        team: job.spec.team.clone(),
        kind,
        class: if is_service {
            placement::TaskClass::LatencyCritical
        } else {
            placement::TaskClass::Batch
        },
        priority: if job.spec.urgent {
            placement::TaskPriority::Urgent
        } else {
            placement::TaskPriority::Normal
        },
        // A successor is a task of its own here, so no task ever runs in two places at once.
        exclusive: true,
        demand: job.spec.demand,
        data_centres: job.spec.data_centres.clone(),
        expected_run_ms: match job.spec.program {
            TaskProgram::Service { .. } => 0,
            TaskProgram::Batch { run_ms } => run_ms,
        },
        attempt: record.attempt,
    }
}

fn committed_event(task: TaskId, record: &TaskRecord) -> Option<PlacementEvent> {
    task_placement(task, record).map(PlacementEvent::PlacementCommitted)
}

fn task_placement(task: TaskId, record: &TaskRecord) -> Option<placement::TaskPlacement> {
    let commitment = record.commitment()?;
    Some(placement::TaskPlacement {
        task,
        attempt: record.attempt,
        worker: commitment.worker.clone(),
        reserved: commitment.demand,
        evicting: commitment.eviction.is_some(),
        ran_ms: record.progress_ms,
    })
}

/// Returns the weights and caps of all teams. A team that several environments declare has the
/// largest weight and the sum of the caps; one declaration without a cap leaves it uncapped.
fn team_events(state: &ControlState) -> Vec<PlacementEvent> {
    let mut quotas: IndexMap<TeamName, placement::TeamQuota> = IndexMap::new();
    for (_, document) in state.documents().current_documents() {
        for team in document.teams.values() {
            let next = placement::TeamQuota {
                team: team.name.clone(),
                weight: team.weight,
                cap: team.quota,
            };
            match quotas.get_mut(&team.name) {
                None => drop(quotas.insert(team.name.clone(), next)),
                Some(quota) => {
                    quota.weight = quota.weight.max(next.weight);
                    quota.cap = sum_caps(quota.cap, next.cap);
                }
            }
        }
    }
    quotas.into_values().map(PlacementEvent::QuotaSet).collect()
}

fn sum_caps(cap: Option<ResourceVector>, other: Option<ResourceVector>) -> Option<ResourceVector> {
    cap?.checked_add(&other?)
}

/// Applies the samples that arrived since the last pass to the policy.
pub(super) fn apply_samples(
    context: &ControlContext,
    core: &mut PlacementCore,
) -> Result<(), PassError> {
    let samples = context
        .with_leader_state(|leader| std::mem::take(&mut leader.samples))
        .ok_or(PassError::NotLeader)?;
    if samples.is_empty() {
        return Ok(());
    }
    let events: Vec<PlacementEvent> = context.quorum.read_local(|state| {
        samples
            .iter()
            .flat_map(|sample| sample_events(state, sample))
            .collect()
    });
    let now = context.now();
    for event in events {
        core.apply_event(now, event);
    }
    Ok(())
}

fn sample_events(state: &ControlState, sample: &ReceivedSample) -> Vec<PlacementEvent> {
    let report = &sample.report;
    let Some(record) = state.jobs().task_of_attempt(report.attempt) else {
        return Vec::new();
    };
    let (Some(commitment), Some(job)) = (record.commitment(), state.jobs().job(record.job)) else {
        return Vec::new();
    };
    let interval = measured_interval(sample);
    let mut events = vec![PlacementEvent::UsageSample(placement::UsageSample {
        task: report.attempt.task,
        attempt: report.attempt.attempt,
        worker: commitment.worker.clone(),
        interval,
        used: report.used,
    })];
    if job.origin.is_service() {
        let load_permille = report.used.cpu_millis * 1_000 / commitment.demand.cpu_millis.max(1);
        events.push(PlacementEvent::LatencySample(placement::LatencySample {
            task: report.attempt.task,
            attempt: report.attempt.attempt,
            worker: commitment.worker.clone(),
            interval,
            slowdown_permille: report.slowdown_millis,
            load_permille: u32::try_from(load_permille).unwrap_or(u32::MAX),
        }));
    }
    events
}

/// Returns the interval of a sample on this replica's clock. The sample states its age when the
/// poll was sent, so the network delay of the poll shifts the interval to a later time.
fn measured_interval(sample: &ReceivedSample) -> placement::MeasuredInterval {
    let report = &sample.report;
    let until = time_before(sample.received_at, u64::from(report.age_ms));
    placement::MeasuredInterval {
        from: time_before(until, u64::from(report.interval_ms)),
        until,
    }
}

fn time_before(time: BootTime, millis: u64) -> BootTime {
    BootTime::from_micros(time.as_micros().saturating_sub(millis * 1_000))
}

/// Removes ended attempts from the leader's own state.
pub(super) fn remove_ended_attempts(context: &ControlContext, ended_attempts: &[TaskAttempt]) {
    if ended_attempts.is_empty() {
        return;
    }
    context.with_leader_state(|leader| {
        for attempt in ended_attempts {
            leader.running_since.swap_remove(attempt);
            leader.throttles.swap_remove(attempt);
        }
    });
}

/// Returns the time since an attempt was first reported as running.
pub(super) fn running_time(
    context: &ControlContext,
    now: BootTime,
    attempt: TaskAttempt,
) -> Option<Duration> {
    context
        .with_leader_state(|leader| leader.running_since.get(&attempt).copied())
        .flatten()
        .map(|since| now.saturating_since(since))
}
