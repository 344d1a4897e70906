//! Applies usage and latency samples, and protects slow services from batch tasks.
//!
//! Samples arrive late and name the interval that they measured. Usage corrects declared sizes;
//! latency fits the interference estimates. If the slowdown of a service stays high, the batch task
//! that slows it most (its worst antagonist) is throttled to a half, then to a quarter, then
//! evicted (compare CPI2, Zhang et al., EuroSys 2013). An excess is a slowdown beyond the latency
//! target, as a fraction of the target.

use super::EventOutcome;
use super::IgnoredReason;
use super::LastSample;
use super::PlacementCore;
use crate::allocation_history::AllocationSpan;
use crate::decision::EvictionCause;
use crate::decision::PlacementDecision;
use crate::decision::ThrottleDecision;
use crate::decision::ThrottleLevel;
use crate::event::LatencySample;
use crate::event::UsageSample;
use crate::index::KindIndex;
use crate::index::WorkerIndex;
use crate::interference::AttributedSample;
use crate::interference::NeighbourShare;
use crate::record::TaskAttempt;
use crate::record::TaskClass;
use crate::shape::ShapeKey;
use crate::slowdown_hysteresis::SlowdownAction;
use crate::worker_table::Allocation;
use guavavane_model::prelude::BootTime;
use guavavane_model::prelude::TaskId;
use guavavane_model::prelude::WorkerName;

/// Maximum number of service tasks whose previous sample is kept.
const LAST_SAMPLES_MAX: usize = 16_384;

/// Minimum predicted excess at which a batch task counts as an antagonist.
const ANTAGONIST_EXCESS_MIN: f32 = 0.03;

/// Minimum fraction of a service's excess that an antagonist is predicted to cause.
const ANTAGONIST_FRACTION_MIN: f32 = 0.15;

/// Weight of a new sample in the moving average of a service's excess.
const EXCESS_SMOOTHING_FACTOR: f32 = 0.3;

/// Weight of a service's current excess when its worker is scored: tail latency grows faster
/// than the excess, so that a slow service suffers more from one more neighbour.
const CURRENT_EXCESS_WEIGHT: f32 = 2.0;

/// Slowdown at which a task is throttled to a quarter at once, in thousandths of
/// `slowdown_high_permille`.
const SEVERE_SLOWDOWN_PERMILLE: u32 = 1_500;

const SECONDS_PER_HOUR: u64 = 3_600;

/// Divisor of the hourly eviction budget that gives the largest burst: five minutes' worth.
const EVICTION_BURSTS_PER_HOUR: u64 = 12;

/// Batch task on the worker of a slow service.
#[derive(Clone, Copy, Debug)]
struct Antagonist {
    attempt: TaskAttempt,
    level: ThrottleLevel,
    /// Excess that the task is predicted to cause at its current CPU share.
    excess: f32,
    cpu_millis: u64,
}

impl PlacementCore {
    pub(super) fn usage_sample(&mut self, sample: &UsageSample) -> EventOutcome {
        let attempt = TaskAttempt {
            task: sample.task,
            attempt: sample.attempt,
        };
        let Some(allocation) = self.find_allocation(&sample.worker, attempt) else {
            return EventOutcome::Ignored(IgnoredReason::Stale);
        };
        let key = self.shapes.get(allocation.shape).key;
        self.sizes.record_usage(key.kind, &key.demand, &sample.used);
        EventOutcome::Applied
    }

    fn find_allocation(&self, worker: &WorkerName, attempt: TaskAttempt) -> Option<&Allocation> {
        let worker = self.workers.find(worker)?;
        self.workers.get(worker).allocation(attempt)
    }

    pub(super) fn latency_sample(&mut self, now: BootTime, sample: &LatencySample) -> EventOutcome {
        let attempt = TaskAttempt {
            task: sample.task,
            attempt: sample.attempt,
        };
        let Some(worker) = self.workers.find(&sample.worker) else {
            return EventOutcome::Ignored(IgnoredReason::UnknownWorker);
        };
        let Some(allocation) = self.workers.get(worker).allocation(attempt) else {
            return EventOutcome::Ignored(IgnoredReason::Stale);
        };
        let key = self.shapes.get(allocation.shape).key;
        let service = key.kind;
        if key.class == TaskClass::Batch || !self.settings.interference {
            return EventOutcome::Ignored(IgnoredReason::Unused);
        }
        let neighbours = self.neighbours(now, worker, sample);
        let attributed = AttributedSample {
            service,
            load_permille: sample.load_permille,
            excess: sample.slowdown_permille as f32 / 1_000.0 - 1.0,
            neighbours: &neighbours,
        };
        self.interference.fit_sample(now, &attributed);
        for allocation in self.workers.allocations_mut(worker) {
            if allocation.is_attempt(attempt) {
                let measured = attributed.excess.max(0.0);
                allocation.excess += EXCESS_SMOOTHING_FACTOR * (measured - allocation.excess);
            }
        }
        self.fit_change(now, worker, sample, &attributed);
        match self.slowdowns.count_sample(sample, &self.settings) {
            SlowdownAction::NoAction => {}
            SlowdownAction::Mitigate => self.mitigate_slowdown(now, worker, service, sample),
            SlowdownAction::Recover => self.ease_throttling(now, worker, service, sample),
        }
        EventOutcome::Applied
    }

    /// Fits the estimates to the change since the task's previous sample on the same worker.
    fn fit_change(
        &mut self,
        now: BootTime,
        worker: WorkerIndex,
        sample: &LatencySample,
        after: &AttributedSample<'_>,
    ) {
        let last = self.last_samples.get(&sample.task);
        let last = last.filter(|last| last.worker == worker);
        if let Some(last) = last {
            if sample.interval.until <= last.until {
                return;
            }
            let before = AttributedSample {
                service: after.service,
                load_permille: last.load_permille,
                excess: last.excess,
                neighbours: &last.neighbours,
            };
            self.interference.fit_change(now, &before, after);
        }
        if self.last_samples.len() >= LAST_SAMPLES_MAX {
            self.last_samples.swap_remove_index(0);
        }
        let last = LastSample {
            worker,
            until: sample.interval.until,
            load_permille: after.load_permille,
            excess: after.excess,
            neighbours: after.neighbours.to_vec(),
        };
        self.last_samples.insert(sample.task, last);
    }

    /// Workloads that shared the worker with a service in the interval of a sample.
    fn neighbours(
        &self,
        now: BootTime,
        worker: WorkerIndex,
        sample: &LatencySample,
    ) -> Vec<NeighbourShare> {
        let allocations = self.workers.get(worker).allocations.iter();
        let others = allocations.filter(|allocation| allocation.task != sample.task);
        let present = others.map(|allocation| {
            let span = AllocationSpan {
                kind: self.shapes.get(allocation.shape).key.kind,
                from: allocation.since,
                until: now,
            };
            NeighbourShare {
                kind: span.kind,
                share: span.overlap(&sample.interval) * cpu_share_in(allocation, sample),
            }
        });
        let departed = self.history.spans(worker).map(|span| NeighbourShare {
            kind: span.kind,
            share: span.overlap(&sample.interval),
        });
        let mut shares: Vec<NeighbourShare> = Vec::new();
        for neighbour in present
            .chain(departed)
            .filter(|neighbour| neighbour.share > 0.0)
        {
            match shares.iter_mut().find(|share| share.kind == neighbour.kind) {
                Some(share) => share.share += neighbour.share,
                None => shares.push(neighbour),
            }
        }
        shares
    }

    /// Throttles the worst antagonist of a service, or evicts it if throttling was not enough.
    fn mitigate_slowdown(
        &mut self,
        now: BootTime,
        worker: WorkerIndex,
        service: KindIndex,
        sample: &LatencySample,
    ) {
        let excess = sample.slowdown_permille as f32 / 1_000.0 - 1.0;
        let excess_min = (excess * ANTAGONIST_FRACTION_MIN).max(ANTAGONIST_EXCESS_MIN);
        self.unthrottle_unrelated(now, worker, service, sample.task, excess_min);
        let antagonist = self.worst_antagonist(now, worker, service);
        let Some(antagonist) = antagonist.filter(|antagonist| antagonist.excess >= excess_min)
        else {
            return;
        };
        let severe_permille = self
            .settings
            .slowdown_high_permille
            .saturating_mul(SEVERE_SLOWDOWN_PERMILLE)
            / 1_000;
        let is_severe = sample.slowdown_permille > severe_permille;
        match antagonist.level {
            ThrottleLevel::None if is_severe => {
                self.set_throttle(
                    worker,
                    antagonist.attempt,
                    ThrottleLevel::Quarter,
                    sample.task,
                    now,
                );
            }
            ThrottleLevel::None => {
                self.set_throttle(
                    worker,
                    antagonist.attempt,
                    ThrottleLevel::Half,
                    sample.task,
                    now,
                );
            }
            ThrottleLevel::Half if !is_severe => {
                self.set_throttle(
                    worker,
                    antagonist.attempt,
                    ThrottleLevel::Quarter,
                    sample.task,
                    now,
                );
            }
            _ => self.evict_antagonist(now, worker, antagonist.attempt, sample.task),
        }
    }

    /// Restores the CPU share of one throttled task that is predicted not to slow the service.
    fn unthrottle_unrelated(
        &mut self,
        now: BootTime,
        worker: WorkerIndex,
        service: KindIndex,
        task: TaskId,
        excess_min: f32,
    ) {
        let Some(entry) = self.slowdowns.get_mut(task) else {
            return;
        };
        let slot = self.workers.get(worker);
        let mut throttled = entry.throttled.iter().copied();
        let unrelated = throttled.find(|attempt| {
            slot.allocation(*attempt).is_some_and(|allocation| {
                let kind = self.shapes.get(allocation.shape).key.kind;
                self.interference.predict(now, service, kind) < excess_min
            })
        });
        if let Some(attempt) = unrelated {
            self.set_throttle(worker, attempt, ThrottleLevel::None, task, now);
        }
    }

    fn evict_antagonist(
        &mut self,
        now: BootTime,
        worker: WorkerIndex,
        attempt: TaskAttempt,
        service: TaskId,
    ) {
        let workers = self.workers.len() as u64;
        let per_hour = self.settings.interference_evictions_per_thousand * workers / 1_000;
        let rate_milli = (per_hour * 1_000 / SECONDS_PER_HOUR).max(1);
        let burst = (per_hour / EVICTION_BURSTS_PER_HOUR).max(1);
        self.eviction_bucket.refill(now, rate_milli, burst);
        if !self.eviction_bucket.try_take() {
            return;
        }
        self.order_eviction(worker, attempt, EvictionCause::Interference { service });
        self.slowdowns.record_action(now, service);
    }

    fn worst_antagonist(
        &self,
        now: BootTime,
        worker: WorkerIndex,
        service: KindIndex,
    ) -> Option<Antagonist> {
        let allocations = self.workers.get(worker).allocations.iter();
        let batch =
            allocations.filter(|allocation| allocation.preemptable && allocation.can_evict());
        let antagonists = batch.map(|allocation| {
            let kind = self.shapes.get(allocation.shape).key.kind;
            let cpu_share = allocation.throttle.cpu_share_permille() as f32 / 1_000.0;
            Antagonist {
                attempt: TaskAttempt {
                    task: allocation.task,
                    attempt: allocation.attempt,
                },
                level: allocation.throttle,
                excess: self.interference.predict(now, service, kind) * cpu_share,
                cpu_millis: allocation.reserved.cpu_millis,
            }
        });
        antagonists.max_by(|first, second| {
            let by_excess = first.excess.total_cmp(&second.excess);
            by_excess.then(first.cpu_millis.cmp(&second.cpu_millis))
        })
    }

    fn set_throttle(
        &mut self,
        worker: WorkerIndex,
        attempt: TaskAttempt,
        level: ThrottleLevel,
        service: TaskId,
        now: BootTime,
    ) {
        self.workers
            .update_allocation(worker, attempt, |allocation| {
                allocation.throttle = level;
                allocation.throttled_at = now;
            });
        if let Some(entry) = self.slowdowns.get_mut(service) {
            entry.throttled.retain(|throttled| *throttled != attempt);
            if level != ThrottleLevel::None {
                entry.throttled.push(attempt);
            }
        }
        self.slowdowns.record_action(now, service);
        let decision = ThrottleDecision {
            task: attempt.task,
            attempt: attempt.attempt,
            worker: self.workers.get(worker).name.clone(),
            level,
            service,
        };
        self.pending_decisions
            .push_back(PlacementDecision::Throttle(decision));
    }

    /// Raises the CPU share of one throttled task by a level if the predicted slowdown stays below
    /// the middle of both limits. Otherwise evicts the task if the slowdown is below the low limit,
    /// so that it can run elsewhere.
    fn ease_throttling(
        &mut self,
        now: BootTime,
        worker: WorkerIndex,
        service: KindIndex,
        sample: &LatencySample,
    ) {
        let Some(entry) = self.slowdowns.get_mut(sample.task) else {
            return;
        };
        let throttled = entry.throttled.last().copied();
        let Some(attempt) = throttled else {
            self.slowdowns.forget(sample.task);
            return;
        };
        let Some(allocation) = self.workers.get(worker).allocation(attempt) else {
            entry.throttled.pop();
            return;
        };
        let kind = self.shapes.get(allocation.shape).key.kind;
        let level = allocation.throttle.next_weaker();
        let cpu_share_permille = allocation.throttle.cpu_share_permille();
        let gained_permille = level
            .cpu_share_permille()
            .saturating_sub(cpu_share_permille);
        let added_excess = self.interference.predict(now, service, kind) * gained_permille as f32;
        let expected_permille = sample.slowdown_permille as f32 + added_excess;
        let threshold_sum_permille =
            self.settings.slowdown_high_permille + self.settings.slowdown_low_permille;
        if expected_permille < threshold_sum_permille as f32 / 2.0 {
            self.set_throttle(worker, attempt, level, sample.task, now);
            return;
        }
        // The service is fast only because the task is throttled. On another worker the task
        // can run at its full CPU share.
        if sample.slowdown_permille < self.settings.slowdown_low_permille {
            self.evict_antagonist(now, worker, attempt, sample.task);
        }
    }

    /// Restores the CPU share of the tasks that were throttled for a service that left its worker.
    pub(super) fn unthrottle_for(&mut self, now: BootTime, worker: WorkerIndex, service: TaskId) {
        let Some(entry) = self.slowdowns.forget(service) else {
            return;
        };
        for attempt in entry.throttled {
            if self.workers.get(worker).allocation(attempt).is_some() {
                self.set_throttle(worker, attempt, ThrottleLevel::None, service, now);
            }
        }
    }

    /// Penalty for the predicted excess that a task would cause and suffer on a worker, in
    /// thousandths; zero or less.
    pub(super) fn interference_score(
        &self,
        now: BootTime,
        kind: KindIndex,
        class: TaskClass,
        worker: WorkerIndex,
    ) -> i64 {
        if !self.settings.interference {
            return 0;
        }
        let allocations = &self.workers.get(worker).allocations;
        let mut cost = 0.0;
        for allocation in allocations {
            let key = self.shapes.get(allocation.shape).key;
            if key.class == TaskClass::LatencyCritical {
                let added_excess = self.interference.predict(now, key.kind, kind);
                cost += added_excess * (1.0 + allocation.excess * CURRENT_EXCESS_WEIGHT);
            }
            if class == TaskClass::LatencyCritical {
                cost += self.interference.predict(now, kind, key.kind);
            }
        }
        -((cost * 1_000.0) as i64 * self.settings.interference_weight_permille / 1_000)
    }

    /// Adds the predicted effect of a batch task to the excess of each service on its worker, or
    /// subtracts it; `sign` is 1 when the task starts and -1 when it leaves.
    pub(super) fn adjust_excess(
        &mut self,
        worker: WorkerIndex,
        key: &ShapeKey,
        now: BootTime,
        sign: f32,
    ) {
        if key.class == TaskClass::LatencyCritical || !self.settings.interference {
            return;
        }
        let shapes = &self.shapes;
        let interference = &self.interference;
        for allocation in self.workers.allocations_mut(worker) {
            let service = shapes.get(allocation.shape).key;
            if service.class == TaskClass::LatencyCritical {
                let added_excess = interference.predict(now, service.kind, key.kind);
                allocation.excess = (allocation.excess + sign * added_excess).max(0.0);
            }
        }
    }
}

/// CPU share of a task in the interval of a sample, from zero to one; one if the throttle changed
/// after the interval began.
fn cpu_share_in(allocation: &Allocation, sample: &LatencySample) -> f32 {
    match allocation.throttled_at <= sample.interval.from {
        true => allocation.throttle.cpu_share_permille() as f32 / 1_000.0,
        false => 1.0,
    }
}
