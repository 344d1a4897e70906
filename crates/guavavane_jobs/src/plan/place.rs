//! Choice of a worker for one task.
//!
//! Serving tasks are kept together by image, so that filling tasks find workers where they
//! disturb nobody.
//! Filling tasks go where most processor is idle and wait rather than share it thinly. All
//! other tasks are spread. Data on another rack and a gang on several cost run time.

use std::sync::Arc;

use indexmap::IndexMap;

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
/// Weight of each other serving image on a worker: fewer images leave more workers where a
/// filling image disturbs nobody.
const MIX_WEIGHT: i64 = 400_000;
/// Weight of a serving task that misses its target, in thousandths of a core.
const HARM_WEIGHT: f64 = 16_000.0;
/// Number of serving tasks that may be expected to miss their target.
const HARM_BORNE: f64 = 0.3;
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
    /// Whether the step has waited long enough to press on serving tasks.
    pub overdue: bool,
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

/// Whether the serving tasks of a worker are expected to bear one more filling task.
fn is_borne(context: &PlaceContext<'_>, room: &WorkerRoom) -> bool {
    if !context.spec.filling || room.serving_images.is_empty() || context.overdue {
        return true;
    }
    room.harm(context.press, &context.spec.image) <= HARM_BORNE
}

/// How well a worker suits; higher is better.
fn score(context: &PlaceContext<'_>, index: WorkerIndex, room: &WorkerRoom) -> i64 {
    let spec = context.spec;
    let mut score = match spec.kind {
        StepKind::Serving => {
            let same = room.serving_images.contains_key(&spec.image);
            let others = room.serving_images.len() - usize::from(same);
            let mixed = i64::try_from(others).unwrap_or(i64::MAX / MIX_WEIGHT) * MIX_WEIGHT;
            let packed = i64::from(room.serving) * SERVING_WEIGHT;
            packed - mixed - i64::from(room.filling) * SERVING_WEIGHT / 4
        }
        StepKind::Finite if spec.filling => {
            let harm = room.harm(context.press, &spec.image);
            room.idle_cpu() - (harm * HARM_WEIGHT) as i64
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

/// The best worker for one more task of a step.
pub fn pick_worker(
    context: &PlaceContext<'_>,
    rooms: &IndexMap<WorkerIndex, WorkerRoom>,
) -> Option<WorkerIndex> {
    let allowed = rooms
        .iter()
        .filter(|(index, room)| is_allowed(context, **index, room));
    let scored = allowed.map(|(index, room)| (score(context, *index, room), *index));
    let best = scored.max_by_key(|(score, index)| (*score, std::cmp::Reverse(*index)));
    best.map(|(_, index)| index)
}

/// The rack of a worker, to keep the next tasks of a step on it.
pub fn rack_label(ledger: &JobLedger, index: WorkerIndex) -> Option<Arc<str>> {
    rack_of(ledger, index).cloned()
}
