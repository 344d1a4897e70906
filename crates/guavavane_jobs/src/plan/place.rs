//! Choice of a worker for one task.
//!
//! Serving tasks are kept together by image, so that filling tasks find workers where they
//! disturb nobody.
//! Filling tasks go where most processor is idle and wait rather than share it thinly. All
//! other tasks are spread. Data on another rack and a gang on several cost run time.

use std::cmp::Reverse;
use std::sync::Arc;

use indexmap::IndexMap;
use indexmap::IndexSet;

use super::press::PressTable;
use super::room::WorkerRoom;
use crate::identity::StepKey;
use crate::job::StepKind;
use crate::job::StepSpec;
use crate::ledger::JobLedger;
use crate::ledger::WorkerIndex;

/// Least part of a filling task's processor that must be idle, in percent.
const FILLING_IDLE_PERCENT: i64 = 40;
/// Failures in a row after which a worker gets one task at a time.
const FAILURES_DOUBTED: u32 = 3;
/// Weight of a wrong rack against idle processor, in thousandths of a core.
const RACK_WEIGHT: i64 = 100_000;
/// Weight of serving tasks on a worker, which keeps them together.
const SERVING_WEIGHT: i64 = 20_000;
/// Weight of each other serving image on a worker while nothing is known of filling images:
/// fewer images leave more workers where a filling image disturbs nobody.
const MIX_WEIGHT: i64 = 400_000;
/// Weight of closing a worker to all filling images by a serving task.
const CLOSED_WEIGHT: f64 = 1_600_000.0;
/// Weight of a worker that is open to all filling images: those that press on nobody there
/// leave it to those that press elsewhere.
const OPEN_WEIGHT: f64 = 24_000.0;
/// Weight of idle processor that a filling task could use.
const USABLE_WEIGHT: i64 = 4;
/// Part of the weight of other idle processor.
const SPARE_DIVISOR: i64 = 4;
/// Weight of a full pace against idle processor, in thousandths of a core.
const PACE_WEIGHT: f64 = 16_000.0;
/// Pace for which a filling task waits while its job has time to spare.
pub const PACE_WANTED: f64 = 0.9;
/// Pace for which a filling task waits otherwise.
pub const PACE_BORNE: f64 = 0.5;
/// Weight of a doubted worker, in thousandths of a core.
const DOUBT_WEIGHT: i64 = 1_000_000;

/// What one placement may use.
pub struct PlaceContext<'ledger> {
    /// The ledger.
    pub ledger: &'ledger JobLedger,
    /// The step that the task belongs to.
    pub key: StepKey,
    /// Its specification.
    pub spec: &'ledger StepSpec,
    /// Pool whose workers may run it.
    pub pool: &'ledger str,
    /// Rack that the step's tasks already use, if they should share one.
    pub rack: Option<Arc<str>>,
    /// What is known of images that slow each other down.
    pub press: &'ledger PressTable,
    /// Filling images that were seen beside serving ones.
    pub filling_images: &'ledger IndexSet<&'ledger Arc<str>>,
    /// Workers that another service allows, if one must.
    pub advised: Option<IndexSet<WorkerIndex>>,
    /// Least pace that serving tasks have to leave to a filling task.
    pub least_pace: f64,
}

/// The rack of a worker: its last label.
fn rack_of(ledger: &JobLedger, index: WorkerIndex) -> Option<&Arc<str>> {
    ledger.worker(index)?.facts.labels.last()
}

/// Whether a worker may run the step at all, now.
fn is_allowed(context: &PlaceContext<'_>, index: WorkerIndex, room: &WorkerRoom) -> bool {
    let Some(worker) = context.ledger.worker(index) else {
        return false;
    };
    let spec = context.spec;
    let doubted = room.outlook.failures_in_row >= FAILURES_DOUBTED;
    room.outlook.usable
        && context
            .advised
            .as_ref()
            .is_none_or(|allowed| allowed.contains(&index))
        && &*worker.facts.pool == context.pool
        && spec
            .required_label
            .as_ref()
            .is_none_or(|label| worker.facts.has_label(label))
        && spec
            .per_worker_max
            .is_none_or(|most| room.runs_of(context.key) < most)
        && room.fits(&spec.reserved())
        && (!doubted || worker.runs.is_empty())
        && has_idle(spec, room)
        && is_borne(context, room)
}

fn has_idle(spec: &StepSpec, room: &WorkerRoom) -> bool {
    if !spec.filling {
        return true;
    }
    let wanted = i64::try_from(spec.demand.cpu_millis).unwrap_or(i64::MAX / 100);
    room.filling == 0 && room.serving == 0 || room.idle_cpu() >= wanted / 100 * FILLING_IDLE_PERCENT
}

/// Whether a filling task is expected to get on beside the serving tasks of a worker.
fn is_borne(context: &PlaceContext<'_>, room: &WorkerRoom) -> bool {
    if !context.spec.filling || room.serving_images.is_empty() {
        return true;
    }
    spare_pace(context, room) >= context.least_pace
}

fn spare_pace(context: &PlaceContext<'_>, room: &WorkerRoom) -> f64 {
    let spec = context.spec;
    room.spare_pace(context.press, &spec.image, spec.demand.cpu_millis)
}

/// What a serving task on this worker costs filling tasks.
fn mixed_weight(context: &PlaceContext<'_>, room: &WorkerRoom) -> i64 {
    let image = &context.spec.image;
    if context.filling_images.is_empty() {
        let same = room.serving_images.contains_key(image);
        let others = room.serving_images.len() - usize::from(same);
        return i64::try_from(others).unwrap_or(i64::MAX / MIX_WEIGHT) * MIX_WEIGHT;
    }
    let closed = room.closed_by(context.press, context.filling_images, image);
    (closed * CLOSED_WEIGHT) as i64
}

/// How well a worker suits; higher is better.
fn score(context: &PlaceContext<'_>, index: WorkerIndex, room: &WorkerRoom) -> i64 {
    let spec = context.spec;
    let mut score = match spec.kind {
        StepKind::Serving => {
            let mixed = mixed_weight(context, room);
            let packed = i64::from(room.serving) * SERVING_WEIGHT;
            packed - mixed - i64::from(room.filling) * SERVING_WEIGHT / 4
        }
        StepKind::Finite if spec.filling => {
            let pace = spare_pace(context, room) * PACE_WEIGHT;
            let open = room.openness(context.press, context.filling_images) * OPEN_WEIGHT;
            let idle = room.idle_cpu();
            let wanted = i64::try_from(spec.demand.cpu_millis).unwrap_or(i64::MAX);
            idle.min(wanted) * USABLE_WEIGHT + idle / SPARE_DIVISOR + (pace - open) as i64
        }
        StepKind::Finite => room.idle_cpu(),
    };
    let rack = rack_of(context.ledger, index);
    let wanted = spec.data_rack.as_ref().or(context.rack.as_ref());
    if wanted.is_some() && wanted != rack {
        score -= RACK_WEIGHT;
    }
    score - i64::from(room.outlook.failures_in_row) * DOUBT_WEIGHT
}

/// Workers with room for a task of a step, with how well they suit.
fn suitable_workers<'rooms, 'ledger>(
    context: &'rooms PlaceContext<'ledger>,
    rooms: &'rooms IndexMap<WorkerIndex, WorkerRoom>,
) -> impl Iterator<Item = (i64, Reverse<WorkerIndex>)> + use<'rooms, 'ledger> {
    let allowed = rooms
        .iter()
        .filter(|(index, room)| is_allowed(context, **index, room));
    allowed.map(|(index, room)| (score(context, *index, room), Reverse(*index)))
}

/// The best worker for one more task of a step.
pub fn pick_worker(
    context: &PlaceContext<'_>,
    rooms: &IndexMap<WorkerIndex, WorkerRoom>,
) -> Option<WorkerIndex> {
    let best = suitable_workers(context, rooms).max();
    best.map(|(_, Reverse(index))| index)
}

/// Workers with room for a task of a step, the best first.
pub fn rank_workers(
    context: &PlaceContext<'_>,
    rooms: &IndexMap<WorkerIndex, WorkerRoom>,
) -> Vec<WorkerIndex> {
    let mut suitable: Vec<_> = suitable_workers(context, rooms).collect();
    suitable.sort_by_key(|worker| Reverse(*worker));
    let suitable = suitable.into_iter().map(|(_, Reverse(index))| index);
    suitable.collect()
}

/// The rack of a worker, to keep the next tasks of a step on it.
pub fn rack_label(ledger: &JobLedger, index: WorkerIndex) -> Option<Arc<str>> {
    rack_of(ledger, index).cloned()
}
