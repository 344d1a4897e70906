//! Judges workers for the tasks of one step: which are feasible, and which is best.
//!
//! - Long-running tasks are packed by image, so that best-effort tasks find workers on which they
//!   interfere with no latency-critical task.
//! - Best-effort tasks are placed where most processor time is idle, and wait if each would get
//!   only a small CPU share.
//! - All other tasks are spread.
//!
//! Data on another rack and a gang on several racks prolong a run, so another rack lowers the
//! score. Weights and penalties are relative to thousandths of a core of idle processor.

use std::sync::Arc;

use indexmap::IndexSet;

use super::capacity::WorkerCapacity;
use super::capacity_table::ImageCoefficients;
use super::capacity_table::WorkerSlot;
use super::interference::InterferenceModel;
use super::obstacle::WorkerObstacle;
use crate::identity::StepKey;
use crate::job::StepKind;
use crate::job::StepSpec;
use crate::ledger::WorkerIndex;
use guavavane_model::prelude::BootTime;

/// Part of a best-effort task's processor demand that must be idle, in percent.
const BEST_EFFORT_IDLE_CPU_MIN_PERCENT: i64 = 40;
/// Penalty of another rack than the preferred one.
const RACK_WEIGHT: i64 = 100_000;
/// Score of each long-running task on a worker, which packs long-running tasks.
const LONG_RUNNING_WEIGHT: i64 = 20_000;
/// Penalty of each other latency-critical image on a worker as long as no best-effort image is
/// known: fewer images leave more workers on which a best-effort image does not interfere.
const IMAGE_MIX_WEIGHT: i64 = 400_000;
/// Penalty of a worker on which no best-effort image interferes yet, and on which all of them
/// would interfere with the new latency-critical task.
const NEWLY_HARMFUL_WEIGHT: f64 = 1_600_000.0;
/// Penalty for a best-effort task of a worker on which no best-effort image interferes, such as one
/// without latency-critical tasks; less if some images do. It keeps these workers for images that
/// interfere on other workers.
const HARMLESS_WEIGHT: f64 = 24_000.0;
/// Weight of idle processor that a best-effort task could use.
const USABLE_CPU_WEIGHT: i64 = 4;
/// Divisor of idle processor, which makes idle processor beyond the demand count less.
const SURPLUS_CPU_DIVISOR: i64 = 4;
/// Score of a full CPU share.
const CPU_SHARE_WEIGHT: f64 = 16_000.0;
/// CPU share, from 0 to 1, for which a best-effort task waits while its job has slack.
pub(super) const CPU_SHARE_WANTED: f64 = 0.9;
/// CPU share, from 0 to 1, for which a best-effort task waits otherwise.
pub(super) const CPU_SHARE_ACCEPTED: f64 = 0.5;
/// Penalty of each consecutive failure of a worker.
const FAILURE_WEIGHT: i64 = 1_000_000;

/// Step whose tasks are placed, and constraints on its workers.
pub(super) struct PlacementContext<'ledger> {
    /// Step that the tasks belong to.
    pub(super) key: StepKey,
    /// Specification of the step.
    pub(super) spec: &'ledger StepSpec,
    /// Pool whose workers may run the step.
    pub(super) pool: &'ledger str,
    /// Rack of the tasks already placed, if the step should stay on a single one.
    pub(super) rack: Option<Arc<str>>,
    /// Interference model.
    pub(super) interference: &'ledger InterferenceModel,
    /// Best-effort images that the interference model has coefficients of, if the step is long-running.
    pub(super) best_effort_images: IndexSet<&'ledger Arc<str>>,
    /// Workers for which the step holds a ticket; none if the step needs no tickets.
    pub(super) allowed_workers: Option<IndexSet<WorkerIndex>>,
    /// Whether the step needs no tickets, or they are valid for long enough to be used.
    pub(super) has_usable_advice: bool,
    /// CPU share, from 0 to 1, that latency-critical tasks have to leave to a best-effort task.
    pub(super) cpu_share_min: f64,
    /// Whether a best-effort task that requires no CPU share is placed on any worker, and not only on
    /// one of which half is free.
    pub(super) accepts_busy_workers: bool,
    /// Whether a task may be a trial of a worker on probation.
    pub(super) allows_trials: bool,
    /// Time of the pass, for workers on probation.
    pub(super) now: BootTime,
}

/// Rack of a worker, which is its last label.
pub(super) fn worker_rack(slot: &WorkerSlot) -> Option<&Arc<str>> {
    slot.facts.labels.last()
}

/// What keeps a worker from running one more task of the step now; none if it is feasible.
pub(super) fn find_obstacle(
    context: &PlacementContext<'_>,
    coefficients: &ImageCoefficients,
    index: WorkerIndex,
    slot: &WorkerSlot,
) -> Option<WorkerObstacle> {
    let (spec, capacity) = (context.spec, &slot.capacity);
    let run_count = || capacity.run_count(context.key);
    let allowed_workers = context.allowed_workers.as_ref();
    let label = spec.required_label.as_ref();
    if !capacity.condition.schedulable {
        Some(WorkerObstacle::Unschedulable)
    } else if !capacity.fits(&spec.reserved()) {
        Some(WorkerObstacle::NoCapacity)
    } else if allowed_workers.is_some_and(|allowed| !allowed.contains(&index)) {
        Some(if context.has_usable_advice {
            WorkerObstacle::NoTicket
        } else {
            WorkerObstacle::NoUsableTicket
        })
    } else if &*slot.facts.pool != context.pool {
        Some(WorkerObstacle::OtherPool)
    } else if label.is_some_and(|label| !slot.facts.has_label(label)) {
        Some(WorkerObstacle::NoLabel)
    } else if spec
        .per_worker_max
        .is_some_and(|maximum| run_count() >= maximum)
    {
        Some(WorkerObstacle::StepLimit)
    } else if !allows_start(context, capacity) {
        Some(WorkerObstacle::OnProbation)
    } else if !has_idle_cpu(context, capacity) {
        Some(WorkerObstacle::NoIdleCpu)
    } else if !leaves_cpu_share(context, coefficients, slot) {
        Some(WorkerObstacle::NoCpuShare)
    } else {
        None
    }
}

/// Whether the worker is not on probation, or this task may be a trial.
fn allows_start(context: &PlacementContext<'_>, capacity: &WorkerCapacity) -> bool {
    let probation = &capacity.condition.probation;
    let Some(trials_due) = probation.trials_due(context.now) else {
        return true;
    };
    let is_begun = context.spec.gang && capacity.trials.contains_key(&context.key);
    context.allows_trials && (is_begun || capacity.trials.values().sum::<u32>() < trials_due)
}

/// Whether a worker has idle processor for a best-effort task. A worker without best-effort and
/// long-running tasks always has. A task that accepts any CPU share needs none on a worker of which
/// half is free, or on any if it accepts busy ones: best-effort tasks reserve no processor, and those that
/// use it may take long.
fn has_idle_cpu(context: &PlacementContext<'_>, capacity: &WorkerCapacity) -> bool {
    let spec = context.spec;
    if !spec.best_effort {
        return true;
    }
    let wanted_millis = i64::try_from(spec.demand.cpu_millis).unwrap_or(i64::MAX / 100);
    capacity.best_effort_tasks == 0 && capacity.long_running_tasks == 0
        || capacity.idle_cpu_millis() >= wanted_millis / 100 * BEST_EFFORT_IDLE_CPU_MIN_PERCENT
        || context.cpu_share_min <= 0.0 && (context.accepts_busy_workers || capacity.is_half_free())
}

/// Whether the latency-critical tasks of a worker are expected to leave a best-effort task the
/// required CPU share.
fn leaves_cpu_share(
    context: &PlacementContext<'_>,
    coefficients: &ImageCoefficients,
    slot: &WorkerSlot,
) -> bool {
    if !context.spec.best_effort || slot.capacity.latency_critical_images.is_empty() {
        return true;
    }
    let cpu_millis = context.spec.demand.cpu_millis;
    slot.available_cpu_share(coefficients, cpu_millis) >= context.cpu_share_min
}

/// Penalty for the best-effort images that a long-running task of this step would exclude from a
/// worker.
fn harm_penalty(context: &PlacementContext<'_>, capacity: &WorkerCapacity) -> i64 {
    let image = &context.spec.image;
    if context.best_effort_images.is_empty() {
        let has_image = capacity.latency_critical_images.contains_key(image);
        let other_images = capacity.latency_critical_images.len() - usize::from(has_image);
        return i64::try_from(other_images).unwrap_or(i64::MAX / IMAGE_MIX_WEIGHT)
            * IMAGE_MIX_WEIGHT;
    }
    let newly_harmful =
        capacity.newly_harmful_fraction(context.interference, &context.best_effort_images, image);
    (newly_harmful * NEWLY_HARMFUL_WEIGHT) as i64
}

/// Score of a feasible worker; the highest is chosen.
pub(super) fn score(
    context: &PlacementContext<'_>,
    coefficients: &ImageCoefficients,
    slot: &WorkerSlot,
) -> i64 {
    let (spec, capacity) = (context.spec, &slot.capacity);
    let mut score = match spec.kind {
        StepKind::LongRunning => {
            let harm = harm_penalty(context, capacity);
            let packing = i64::from(capacity.long_running_tasks) * LONG_RUNNING_WEIGHT;
            packing - harm - i64::from(capacity.best_effort_tasks) * LONG_RUNNING_WEIGHT / 4
        }
        StepKind::Finite if spec.best_effort => best_effort_score(spec, coefficients, slot),
        StepKind::Finite => capacity.idle_cpu_millis(),
    };
    let rack = worker_rack(slot);
    let preferred_rack = spec.data_rack.as_ref().or(context.rack.as_ref());
    if preferred_rack.is_some() && preferred_rack != rack {
        score = score.saturating_sub(RACK_WEIGHT);
    }
    let failures = i64::from(capacity.condition.probation.consecutive_failures());
    score.saturating_sub(failures * FAILURE_WEIGHT)
}

/// Score of a worker for a best-effort task by the processor that it would get.
fn best_effort_score(spec: &StepSpec, coefficients: &ImageCoefficients, slot: &WorkerSlot) -> i64 {
    let cpu_share = slot.available_cpu_share(coefficients, spec.demand.cpu_millis);
    let harmless = slot.headroom.harmless_fraction * HARMLESS_WEIGHT;
    let idle_cpu_millis = slot.capacity.idle_cpu_millis();
    let wanted_millis = i64::try_from(spec.demand.cpu_millis).unwrap_or(i64::MAX);
    let usable_millis = idle_cpu_millis.min(wanted_millis);
    usable_millis
        .saturating_mul(USABLE_CPU_WEIGHT)
        .saturating_add(idle_cpu_millis / SURPLUS_CPU_DIVISOR)
        .saturating_add((cpu_share * CPU_SHARE_WEIGHT - harmless) as i64)
}
