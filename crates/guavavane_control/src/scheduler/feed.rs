//! Turns the replicated state and its changes into events of the placement policy.

use std::time::Duration;

use indexmap::IndexMap;

use crate::context::ArrivedSample;
use crate::context::ControlContext;
use crate::scheduler::replacement::ReplacementPlan;
use crate::scheduler::RoundBreak;
use crate::state::change::FeedCursor;
use crate::state::change::StateChange;
use crate::state::command::EndCause;
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

/// The whole state as events.
pub(super) struct StateImage {
    pub(super) cursor: FeedCursor,
    pub(super) events: Vec<PlacementEvent>,
    pub(super) plan: ReplacementPlan,
}

/// The changes since a cursor as events.
pub(super) struct StateUpdate {
    pub(super) cursor: FeedCursor,
    pub(super) events: Vec<PlacementEvent>,
    pub(super) revised: Vec<JobId>,
    pub(super) ended: Vec<TaskAttempt>,
}

/// Describes the whole state to a new policy.
pub(super) fn state_image(state: &ControlState) -> StateImage {
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
    StateImage {
        cursor: state.feed().end(),
        events,
        plan: ReplacementPlan::of_state(state),
    }
}

/// Describes changes to a policy that has all before them.
pub(super) fn state_update(state: &ControlState, changes: Vec<StateChange>) -> StateUpdate {
    let mut update = StateUpdate {
        cursor: state.feed().end(),
        events: Vec::new(),
        revised: Vec::new(),
        ended: Vec::new(),
    };
    for change in changes {
        describe_change(state, change, &mut update);
    }
    update
}

fn describe_change(state: &ControlState, change: StateChange, update: &mut StateUpdate) {
    let events = &mut update.events;
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
            events.extend(record.and_then(|record| running_event(task, record)));
        }
        StateChange::AttemptEnded {
            attempt,
            worker,
            cause,
            evicting,
            requeued,
        } => {
            let cause = release_cause(cause, evicting, requeued);
            events.push(release_event(attempt, worker, cause));
            if !requeued {
                events.push(PlacementEvent::TaskCancelled(attempt.task));
            }
            update.ended.push(attempt);
        }
        StateChange::ServiceRevised(job) => update.revised.push(job),
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

/// A start that the worker refused counts against the worker, unless it was called off.
fn release_cause(cause: EndCause, evicting: bool, requeued: bool) -> placement::ReleaseCause {
    match cause {
        EndCause::Failed => placement::ReleaseCause::FailedOnWorker,
        EndCause::NotStarted if !evicting => placement::ReleaseCause::FailedOnWorker,
        EndCause::LeaseExpired => placement::ReleaseCause::LeaseExpired,
        EndCause::Finished if !requeued => placement::ReleaseCause::Finished,
        EndCause::Finished | EndCause::Stopped | EndCause::NotStarted => {
            if requeued {
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

/// Describes a task that waits or is committed to a policy that does not know it.
fn restored_event(
    state: &ControlState,
    task: TaskId,
    record: &TaskRecord,
) -> Option<PlacementEvent> {
    Some(PlacementEvent::TaskRestored(placement::TaskRestore {
        record: open_task(state, task, record)?,
        placements: task_placement(task, record).into_iter().collect(),
    }))
}

fn submitted_event(
    state: &ControlState,
    task: TaskId,
    record: &TaskRecord,
) -> Option<PlacementEvent> {
    open_task(state, task, record).map(PlacementEvent::TaskSubmitted)
}

/// The task as the policy knows it, unless it has ended.
fn open_task(
    state: &ControlState,
    task: TaskId,
    record: &TaskRecord,
) -> Option<placement::TaskRecord> {
    if record.has_ended() {
        return None;
    }
    let job = state.jobs().job(record.job)?;
    Some(policy_task(task, record, job))
}

fn policy_task(task: TaskId, record: &TaskRecord, job: &JobRecord) -> placement::TaskRecord {
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
        // A successor is a task of its own here, so no task ever runs in two places.
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

fn running_event(task: TaskId, record: &TaskRecord) -> Option<PlacementEvent> {
    task_placement(task, record).map(PlacementEvent::PlacementCommitted)
}

fn task_placement(task: TaskId, record: &TaskRecord) -> Option<placement::TaskPlacement> {
    let held = record.commitment()?;
    Some(placement::TaskPlacement {
        task,
        attempt: record.attempt,
        worker: held.worker.clone(),
        reserved: held.demand,
        evicting: held.evicting.is_some(),
        ran_ms: record.progress_ms,
    })
}

/// Shares of all teams; a team of several environments has the sum of its caps.
fn team_events(state: &ControlState) -> Vec<PlacementEvent> {
    let mut quotas: IndexMap<TeamName, placement::TeamQuota> = IndexMap::new();
    for (_, document) in state.documents().all_in_force() {
        for team in document.teams.values() {
            let next = placement::TeamQuota {
                team: team.name.clone(),
                weight: team.weight,
                cap: team.quota,
            };
            match quotas.get_mut(&team.name) {
                None => drop(quotas.insert(team.name.clone(), next)),
                Some(held) => {
                    held.weight = held.weight.max(next.weight);
                    held.cap = joined_cap(held.cap, next.cap);
                }
            }
        }
    }
    quotas.into_values().map(PlacementEvent::QuotaSet).collect()
}

fn joined_cap(
    held: Option<ResourceVector>,
    next: Option<ResourceVector>,
) -> Option<ResourceVector> {
    held?.checked_add(&next?)
}

/// Hands the samples that arrived since the last round to the policy.
pub(super) fn take_samples(
    context: &ControlContext,
    core: &mut PlacementCore,
) -> Result<(), RoundBreak> {
    let samples = context
        .with_memory(|memory| std::mem::take(&mut memory.samples))
        .ok_or(RoundBreak::NotLeader)?;
    if samples.is_empty() {
        return Ok(());
    }
    let events: Vec<PlacementEvent> = context.quorum.local(|state| {
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

fn sample_events(state: &ControlState, sample: &ArrivedSample) -> Vec<PlacementEvent> {
    let report = &sample.report;
    let Some(record) = state.jobs().current(report.attempt) else {
        return Vec::new();
    };
    let (Some(held), Some(job)) = (record.commitment(), state.jobs().job(record.job)) else {
        return Vec::new();
    };
    let interval = measured_interval(sample);
    let mut events = vec![PlacementEvent::UsageSample(placement::UsageSample {
        task: report.attempt.task,
        attempt: report.attempt.attempt,
        worker: held.worker.clone(),
        interval,
        used: report.used,
    })];
    if job.origin.is_service() {
        let load = report.used.cpu_millis * 1_000 / held.demand.cpu_millis.max(1);
        events.push(PlacementEvent::LatencySample(placement::LatencySample {
            task: report.attempt.task,
            attempt: report.attempt.attempt,
            worker: held.worker.clone(),
            interval,
            slowdown_permille: report.slowdown_millis,
            load_permille: u32::try_from(load).unwrap_or(u32::MAX),
        }));
    }
    events
}

/// The interval on this replica's clock; the poll's own delay adds to the sample's lag.
fn measured_interval(sample: &ArrivedSample) -> placement::MeasuredInterval {
    let report = &sample.report;
    let until = moment_before(sample.arrived, u64::from(report.age_ms));
    placement::MeasuredInterval {
        from: moment_before(until, u64::from(report.interval_ms)),
        until,
    }
}

fn moment_before(moment: BootTime, millis: u64) -> BootTime {
    BootTime::from_micros(moment.as_micros().saturating_sub(millis * 1_000))
}

/// Forgets what the leader remembers of attempts that have ended.
pub(super) fn forget_ended(context: &ControlContext, ended: &[TaskAttempt]) {
    if ended.is_empty() {
        return;
    }
    context.with_memory(|memory| {
        for attempt in ended {
            memory.running.swap_remove(attempt);
            memory.throttles.swap_remove(attempt);
        }
    });
}

/// How long an attempt has been reported as running.
pub(super) fn running_for(
    context: &ControlContext,
    now: BootTime,
    attempt: TaskAttempt,
) -> Option<Duration> {
    context
        .with_memory(|memory| memory.running.get(&attempt).copied())
        .flatten()
        .map(|since| now.saturating_since(since))
}
