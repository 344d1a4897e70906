//! Takes late samples in: sizes, interference, and relief for slow services.

use super::IgnoredReason;
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
use crate::strain::StrainVerdict;
use crate::worker_table::Resident;
use guavavane_model::prelude::BootTime;
use guavavane_model::prelude::TaskId;
use guavavane_model::prelude::WorkerName;

/// Predicted excess below which a batch task is not blamed.
const BLAME_EXCESS_MIN: f32 = 0.02;

/// Slowdown at which a task is throttled to a quarter at once, in thousandths of the limit.
const SEVERE_PERMILLE: u32 = 1_500;

/// Seconds in a minute, for budgets that are set by the minute.
const SECONDS_PER_MINUTE: u64 = 60;

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
        match self.strains.count(sample, &self.settings) {
            StrainVerdict::Wait => {}
            StrainVerdict::Relieve => self.relieve(now, worker, service, sample),
            StrainVerdict::Relax => self.relax(now, worker, service, sample),
        }
        StepOutcome::Applied
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
        let Some(suspect) = self.worst_suspect(now, worker, service) else {
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

    fn evict_for(
        &mut self,
        now: BootTime,
        worker: WorkerIndex,
        attempt: TaskAttempt,
        service: TaskId,
    ) {
        let workers = self.workers.len() as u64;
        let per_minute = self.settings.interference_evictions_per_thousand * workers / 1_000;
        let per_minute = per_minute.max(1);
        let rate_milli = (per_minute * 1_000 / SECONDS_PER_MINUTE).max(1);
        self.eviction_bucket.refill(now, rate_milli, per_minute);
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
        let blamed = suspects.filter(|suspect| suspect.excess >= BLAME_EXCESS_MIN);
        blamed.max_by(|first, second| {
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

    /// Gives one throttled task its speed back if the service is predicted to bear it, or moves
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
        let lost = 1.0 - resident.throttle.speed_permille() as f32 / 1_000.0;
        let added = self.interference.predict(now, service, kind) * lost * 1_000.0;
        let expected = sample.slowdown_permille as f32 + added;
        if expected < self.settings.slowdown_high_permille as f32 {
            self.throttle(worker, attempt, ThrottleLevel::None, sample.task, now);
            return;
        }
        self.evict_for(now, worker, attempt, sample.task);
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
        let mut excess = 0.0;
        for resident in &self.workers.get(worker).residents {
            let key = self.shapes.get(resident.shape).key;
            if key.class == TaskClass::LatencyCritical {
                excess += self.interference.predict(now, key.kind, kind);
            }
            if class == TaskClass::LatencyCritical {
                excess += self.interference.predict(now, kind, key.kind);
            }
        }
        -((excess * 1_000.0) as i64 * self.settings.interference_weight_permille / 1_000)
    }
}

/// Speed of a resident over the interval of a sample, from zero to one.
fn speed_in(resident: &Resident, sample: &LatencySample) -> f32 {
    match resident.throttled_at <= sample.interval.from {
        true => resident.throttle.speed_permille() as f32 / 1_000.0,
        false => 1.0,
    }
}
