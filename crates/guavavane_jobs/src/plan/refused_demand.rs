//! Remembers the demands that no worker could meet earlier in a pass.
//!
//! Under overload most steps wait in vain. Capacity only shrinks during a pass, so a step that needs at
//! least as much as one for which no worker was left need not be judged against all workers again.

use std::sync::Arc;

use super::placement::PlacementContext;
use guavavane_model::prelude::ResourceVector;

/// Demand of a best-effort task besides what it reserves.
#[derive(Clone, Debug)]
struct BestEffortDemand {
    image: Arc<str>,
    cpu_millis: u64,
    cpu_share_min: f64,
    accepts_busy_workers: bool,
}

impl BestEffortDemand {
    fn new(context: &PlacementContext<'_>) -> Option<Self> {
        context.spec.best_effort.then(|| Self {
            image: Arc::clone(&context.spec.image),
            cpu_millis: context.spec.demand.cpu_millis,
            cpu_share_min: context.cpu_share_min,
            accepts_busy_workers: context.accepts_busy_workers,
        })
    }

    fn is_within(&self, other: &Self) -> bool {
        self.image == other.image
            && self.cpu_millis <= other.cpu_millis
            && self.cpu_share_min <= other.cpu_share_min
            && self.accepts_busy_workers >= other.accepts_busy_workers
    }
}

/// Demand that no worker could meet.
#[derive(Clone, Debug)]
struct RefusedDemand {
    pool: Arc<str>,
    required_label: Option<Arc<str>>,
    reserved: ResourceVector,
    best_effort: Option<BestEffortDemand>,
}

/// Refused demands of one pass.
#[derive(Clone, Debug, Default)]
pub(super) struct RefusedDemands(Vec<RefusedDemand>);

impl RefusedDemands {
    /// Records that no worker is left for a step. A step that was refused for another reason than its
    /// demand, such as the number of its tasks on one worker, says nothing about others.
    pub(super) fn record(&mut self, context: &PlacementContext<'_>) {
        if context.allowed_workers.is_some() || context.spec.per_worker_max.is_some() {
            return;
        }
        self.0.push(RefusedDemand {
            pool: Arc::from(context.pool),
            required_label: context.spec.required_label.clone(),
            reserved: context.spec.reserved(),
            best_effort: BestEffortDemand::new(context),
        });
    }

    /// Whether a step certainly finds no worker.
    pub(super) fn cover(&self, context: &PlacementContext<'_>) -> bool {
        let (spec, reserved) = (context.spec, context.spec.reserved());
        let best_effort = BestEffortDemand::new(context);
        self.0.iter().any(|refused| {
            let exceeds_best_effort = match (&refused.best_effort, &best_effort) {
                (None, _) => true,
                (Some(refused), Some(demand)) => refused.is_within(demand),
                (Some(_), None) => false,
            };
            exceeds_best_effort
                && refused.reserved.fits_within(&reserved)
                && *refused.pool == *context.pool
                && (refused.required_label.is_none()
                    || refused.required_label == spec.required_label)
        })
    }
}
