//! Takes late samples in: sizes, interference, and relief for slow services.

use super::IgnoredReason;
use super::LastSample;
use super::PlacementCore;
use super::StepOutcome;
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
use crate::residence::ResidenceSpan;
use crate::shape::ShapeKey;
use crate::strain::StrainVerdict;
use crate::worker_table::Resident;
use guavavane_model::prelude::BootTime;
use guavavane_model::prelude::TaskId;
use guavavane_model::prelude::WorkerName;

/// Service tasks whose last sample is kept at most.
const LAST_SAMPLES_MAX: usize = 16_384;

/// Predicted excess below which a batch task is not blamed.
const BLAME_EXCESS_MIN: f32 = 0.03;

/// Part of a service's excess that a batch task must be predicted to cause to be blamed.
const BLAME_PART_MIN: f32 = 0.15;

/// Step at which what a service suffers follows its samples.
const EXCESS_RATE: f32 = 0.3;

/// Weight of what a service suffers already: tails grow faster than the excess.
const CROWDING_WEIGHT: f32 = 2.0;

/// Slowdown at which a task is throttled to a quarter at once, in thousandths of the limit.
const SEVERE_PERMILLE: u32 = 1_500;

/// Seconds in an hour, for budgets that are set by the hour.
const SECONDS_PER_HOUR: u64 = 3_600;

/// Part of an hour's budget that may be spent at once.
const EVICTION_BURSTS_PER_HOUR: u64 = 12;

/// A batch task beside a slow service.
#[derive(Clone, Copy, Debug)]
struct Suspect {
    attempt: TaskAttempt,
    level: ThrottleLevel,
    /// Excess that it is predicted to cause at its present speed.
    excess: f32,
    cpu_millis: u64,
}

impl PlacementCore {
    pub(super) fn usage_sample(&mut self, sample: &UsageSample) -> StepOutcome {
        let attempt = TaskAttempt {
            task: sample.task,
            attempt: sample.attempt,
        };
        let Some(resident) = self.find_resident(&sample.worker, attempt) else {
            return StepOutcome::Ignored(IgnoredReason::Stale);
        };
        let key = self.shapes.get(resident.shape).key;
        self.sizes.record_usage(key.kind, &key.demand, &sample.used);
        StepOutcome::Applied
    }

    fn find_resident(&self, worker: &WorkerName, attempt: TaskAttempt) -> Option<&Resident> {
        let worker = self.workers.find(worker)?;
        self.workers.get(worker).resident(attempt)
    }

    pub(super) fn latency_sample(&mut self, now: BootTime, sample: &LatencySample) -> StepOutcome {
        let attempt = TaskAttempt {
            task: sample.task,
            attempt: sample.attempt,
        };
        let Some(worker) = self.workers.find(&sample.worker) else {
            return StepOutcome::Ignored(IgnoredReason::UnknownWorker);
        };
        let Some(resident) = self.workers.get(worker).resident(attempt) else {
            return StepOutcome::Ignored(IgnoredReason::Stale);
        };
        let key = self.shapes.get(resident.shape).key;
        let service = key.kind;
        if key.class == TaskClass::Batch || !self.settings.interference {
            return StepOutcome::Ignored(IgnoredReason::Unused);
        }
        let neighbours = self.neighbours(now, worker, sample);
        let attributed = AttributedSample {
            service,
            load_permille: sample.load_permille,
            excess: sample.slowdown_permille as f32 / 1_000.0 - 1.0,
            neighbours: &neighbours,
        };
        self.interference.learn(now, &attributed);
        for resident in self.workers.residents_mut(worker) {
            if resident.is(attempt) {
                let measured = attributed.excess.max(0.0);
                resident.excess += EXCESS_RATE * (measured - resident.excess);
            }
        }
        self.learn_change(now, worker, sample, &attributed);
        match self.strains.count(sample, &self.settings) {
            StrainVerdict::Wait => {}
            StrainVerdict::Relieve => self.relieve(now, worker, service, sample),
            StrainVerdict::Relax => self.relax(now, worker, service, sample),
        }
        StepOutcome::Applied
    }

    /// Learns from what changed since the last sample of the same task on the same worker.
    fn learn_change(
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
            self.interference.learn_change(now, &before, after);
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

    /// Workloads that were beside a service in the interval that a sample measured.
    fn neighbours(
        &self,
        now: BootTime,
        worker: WorkerIndex,
        sample: &LatencySample,
    ) -> Vec<NeighbourShare> {
        let residents = self.workers.get(worker).residents.iter();
        let others = residents.filter(|resident| resident.task != sample.task);
        let present = others.map(|resident| {
            let span = ResidenceSpan {
                kind: self.shapes.get(resident.shape).key.kind,
                from: resident.since,
                until: now,
            };
            NeighbourShare {
                kind: span.kind,
                share: span.overlap(&sample.interval) * speed_in(resident, sample),
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

    /// Throttles the batch task that slows a service most, or evicts it if that was not enough.
    fn relieve(
        &mut self,
        now: BootTime,
        worker: WorkerIndex,
        service: KindIndex,
        sample: &LatencySample,
    ) {
        let excess = sample.slowdown_permille as f32 / 1_000.0 - 1.0;
        let blamed = (excess * BLAME_PART_MIN).max(BLAME_EXCESS_MIN);
        self.exonerate(now, worker, service, sample.task, blamed);
        let suspect = self.worst_suspect(now, worker, service);
        let Some(suspect) = suspect.filter(|suspect| suspect.excess >= blamed) else {
            return;
        };
        let severe = self
            .settings
            .slowdown_high_permille
            .saturating_mul(SEVERE_PERMILLE)
            / 1_000;
        let is_severe = sample.slowdown_permille > severe;
        match suspect.level {
            ThrottleLevel::None if is_severe => {
                self.throttle(
                    worker,
                    suspect.attempt,
                    ThrottleLevel::Quarter,
                    sample.task,
                    now,
                );
            }
            ThrottleLevel::None => {
                self.throttle(
                    worker,
                    suspect.attempt,
                    ThrottleLevel::Half,
                    sample.task,
                    now,
                );
            }
            ThrottleLevel::Half if !is_severe => {
                self.throttle(
                    worker,
                    suspect.attempt,
                    ThrottleLevel::Quarter,
                    sample.task,
                    now,
                );
            }
            _ => self.evict_for(now, worker, suspect.attempt, sample.task),
        }
    }

    /// Gives speed back to one task that was throttled and turned out not to matter.
    fn exonerate(
        &mut self,
        now: BootTime,
        worker: WorkerIndex,
        service: KindIndex,
        task: TaskId,
        blamed: f32,
    ) {
        let Some(entry) = self.strains.get_mut(task) else {
            return;
        };
        let slot = self.workers.get(worker);
        let mut throttled = entry.throttled.iter().copied();
        let innocent = throttled.find(|attempt| {
            slot.resident(*attempt).is_some_and(|resident| {
                let kind = self.shapes.get(resident.shape).key.kind;
                self.interference.predict(now, service, kind) < blamed
            })
        });
        if let Some(attempt) = innocent {
            self.throttle(worker, attempt, ThrottleLevel::None, task, now);
        }
    }

    fn evict_for(
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
        if !self.eviction_bucket.take() {
            return;
        }
        self.push_eviction(worker, attempt, EvictionCause::Interference { service });
        self.strains.note_action(now, service);
    }

    fn worst_suspect(
        &self,
        now: BootTime,
        worker: WorkerIndex,
        service: KindIndex,
    ) -> Option<Suspect> {
        let residents = self.workers.get(worker).residents.iter();
        let batch = residents.filter(|resident| resident.preemptable && resident.can_evict());
        let suspects = batch.map(|resident| {
            let kind = self.shapes.get(resident.shape).key.kind;
            let speed = resident.throttle.speed_permille() as f32 / 1_000.0;
            Suspect {
                attempt: TaskAttempt {
                    task: resident.task,
                    attempt: resident.attempt,
                },
                level: resident.throttle,
                excess: self.interference.predict(now, service, kind) * speed,
                cpu_millis: resident.reserved.cpu_millis,
            }
        });
        suspects.max_by(|first, second| {
            let by_excess = first.excess.total_cmp(&second.excess);
            by_excess.then(first.cpu_millis.cmp(&second.cpu_millis))
        })
    }

    fn throttle(
        &mut self,
        worker: WorkerIndex,
        attempt: TaskAttempt,
        level: ThrottleLevel,
        service: TaskId,
        now: BootTime,
    ) {
        self.workers.update_resident(worker, attempt, |resident| {
            resident.throttle = level;
            resident.throttled_at = now;
        });
        if let Some(entry) = self.strains.get_mut(service) {
            entry.throttled.retain(|throttled| *throttled != attempt);
            if level != ThrottleLevel::None {
                entry.throttled.push(attempt);
            }
        }
        self.strains.note_action(now, service);
        let decision = ThrottleDecision {
            task: attempt.task,
            attempt: attempt.attempt,
            worker: self.workers.get(worker).name.clone(),
            level,
            service,
        };
        self.outbox.push_back(PlacementDecision::Throttle(decision));
    }

    /// Gives one throttled task some speed back if the service is predicted to bear it, or moves
    /// it to where it can run at full speed.
    fn relax(
        &mut self,
        now: BootTime,
        worker: WorkerIndex,
        service: KindIndex,
        sample: &LatencySample,
    ) {
        let Some(entry) = self.strains.get_mut(sample.task) else {
            return;
        };
        let throttled = entry.throttled.last().copied();
        let Some(attempt) = throttled else {
            self.strains.forget(sample.task);
            return;
        };
        let Some(resident) = self.workers.get(worker).resident(attempt) else {
            entry.throttled.pop();
            return;
        };
        let kind = self.shapes.get(resident.shape).key.kind;
        let level = resident.throttle.relaxed();
        let speed = resident.throttle.speed_permille();
        let gained = level.speed_permille().saturating_sub(speed);
        let added = self.interference.predict(now, service, kind) * gained as f32;
        let expected = sample.slowdown_permille as f32 + added;
        let limit = self.settings.slowdown_high_permille + self.settings.slowdown_low_permille;
        if expected < limit as f32 / 2.0 {
            self.throttle(worker, attempt, level, sample.task, now);
            return;
        }
        // Fast only because the task is held back: it can run at full speed elsewhere.
        if sample.slowdown_permille < self.settings.slowdown_low_permille {
            self.evict_for(now, worker, attempt, sample.task);
        }
    }

    /// Gives speed back to the tasks that were throttled for a service that left a worker.
    pub(super) fn end_strain(&mut self, now: BootTime, worker: WorkerIndex, service: TaskId) {
        let Some(entry) = self.strains.forget(service) else {
            return;
        };
        for attempt in entry.throttled {
            if self.workers.get(worker).resident(attempt).is_some() {
                self.throttle(worker, attempt, ThrottleLevel::None, service, now);
            }
        }
    }

    /// Predicted slowdown that a task would cause and suffer on a worker, in thousandths.
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
        let residents = &self.workers.get(worker).residents;
        let mut cost = 0.0;
        for resident in residents {
            let key = self.shapes.get(resident.shape).key;
            if key.class == TaskClass::LatencyCritical {
                let added = self.interference.predict(now, key.kind, kind);
                cost += added * (1.0 + resident.excess * CROWDING_WEIGHT);
            }
            if class == TaskClass::LatencyCritical {
                cost += self.interference.predict(now, kind, key.kind);
            }
        }
        -((cost * 1_000.0) as i64 * self.settings.interference_weight_permille / 1_000)
    }

    /// Adds to or takes from what the services of a worker suffer when a task comes or leaves.
    pub(super) fn count_excess(
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
        for resident in self.workers.residents_mut(worker) {
            let service = shapes.get(resident.shape).key;
            if service.class == TaskClass::LatencyCritical {
                let added = interference.predict(now, service.kind, key.kind);
                resident.excess = (resident.excess + sign * added).max(0.0);
            }
        }
    }
}

/// Speed of a resident over the interval of a sample, from zero to one.
fn speed_in(resident: &Resident, sample: &LatencySample) -> f32 {
    match resident.throttled_at <= sample.interval.from {
        true => resident.throttle.speed_permille() as f32 / 1_000.0,
        false => 1.0,
    }
}
