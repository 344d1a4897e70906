//! State machine of a worker, free of I/O.
//!
//! A batch task progresses by `elapsed time * CPU share / slowdown`, where the slowdown is
//! `1 + busy slots * slot noise` (interference of requests on the same worker). A service task runs
//! until it is stopped or its lease expires.
//!
//! A lease ends at an absolute time of the worker's clock. After that time the attempt is expired
//! for good: a late renewal does not extend the lease, and the elapsed time does not count as
//! progress.

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::evidence::EvidenceEvent;
use crate::evidence::EvidenceRecord;
use crate::evidence::StartRefusal;
use crate::worker::profile::TaskProfile;
use guavavane_contract::prelude::AttemptKey;
use guavavane_contract::prelude::AttemptList;
use guavavane_contract::prelude::AttemptState;
use guavavane_contract::prelude::AttemptStatus;
use guavavane_contract::prelude::OrderAnswer;
use guavavane_contract::prelude::RenewOrder;
use guavavane_contract::prelude::StartOrder;
use guavavane_contract::prelude::StartProgram;
use guavavane_contract::prelude::ThrottleOrder;
use guavavane_contract::prelude::UsageSample;
use guavavane_contract::prelude::WorkerFacts;
use guavavane_model::prelude::AttemptNumber;
use guavavane_model::prelude::BootTime;
use guavavane_model::prelude::FenceNumber;
use guavavane_model::prelude::ResourceVector;
use guavavane_model::prelude::TaskId;

/// Longest time that counts as progress between two calls of [`WorkerMachine::advance`].
///
/// A longer gap means that the whole worker process was frozen, and its tasks with it.
const PROGRESS_GAP_MAX_MS: u64 = 500;
/// CPU share and speed of a task without throttling and interference, in thousandths.
const FULL_SHARE_MILLIS: u64 = 1_000;

/// Settings of the usage samples.
#[derive(Clone, Copy, Debug)]
pub struct UsageSettings {
    /// Length of the interval that a sample covers, in ms.
    pub interval_ms: u64,
    /// Delay from the end of an interval until its sample is reported, in ms.
    pub lag_ms: u64,
}

#[derive(Clone, Debug)]
struct AttemptRecord {
    order: StartOrder,
    state: AttemptState,
    lease_until_ms: u64,
    share_millis: u64,
    advanced_until: BootTime,
    progress_us: u64,
    checkpoint_ms: u64,
    actual_run_ms: u64,
    fails: bool,
    samples: Vec<UsageSample>,
    sample_start: BootTime,
}

/// Highest attempt number and fencing token that this worker accepted for a task.
///
/// Outlives the record of the attempt, so that an old start order is refused after a forget order.
#[derive(Clone, Copy, Debug)]
struct AcceptedStart {
    attempt: AttemptNumber,
    fence: FenceNumber,
}

impl AcceptedStart {
    fn is_older_than(&self, order: &StartOrder) -> bool {
        self.fence < order.fence && self.attempt < order.key.attempt
    }
}

/// Attempts of a worker with their leases, progress and usage.
#[derive(Debug)]
pub struct WorkerMachine {
    facts: WorkerFacts,
    profile: TaskProfile,
    usage: UsageSettings,
    attempt_records: IndexMap<AttemptKey, AttemptRecord>,
    accepted_starts: IndexMap<TaskId, AcceptedStart>,
    revoked: IndexSet<AttemptKey>,
    draining: bool,
    busy_slots: u64,
    events: Vec<EvidenceRecord>,
}

impl WorkerMachine {
    /// Returns a worker without attempts.
    pub fn new(facts: WorkerFacts, profile: TaskProfile, usage: UsageSettings) -> Self {
        Self {
            facts,
            profile,
            usage,
            attempt_records: IndexMap::new(),
            accepted_starts: IndexMap::new(),
            revoked: IndexSet::new(),
            draining: false,
            busy_slots: 0,
            events: Vec::new(),
        }
    }

    /// Returns name, location, boot and capacity of the worker.
    pub fn facts(&self) -> &WorkerFacts {
        &self.facts
    }

    /// Returns the events since the last call and removes them.
    pub fn take_events(&mut self) -> Vec<EvidenceRecord> {
        std::mem::take(&mut self.events)
    }

    /// Refuses all start orders from now on.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Sets the number of busy slots of all endpoints, which slow batch tasks down.
    pub fn set_busy_slots(&mut self, busy_slot_count: u64) {
        self.busy_slots = busy_slot_count;
    }

    /// Returns the slowdown of requests by the running batch tasks, in thousandths; each counts
    /// with its CPU share.
    pub fn request_slowdown(&self) -> u64 {
        let share_sum: u64 = self
            .running_records()
            .filter(|attempt| matches!(attempt.order.program, StartProgram::Batch { .. }))
            .map(|attempt| attempt.share_millis)
            .sum();
        FULL_SHARE_MILLIS + share_sum * self.profile.batch_noise_millis / FULL_SHARE_MILLIS
    }

    /// Starts an attempt; repeating the order for a known attempt has no effect.
    pub fn start(&mut self, now: BootTime, order: StartOrder) -> OrderAnswer {
        self.advance(now);
        let key = order.key;
        if self.attempt_records.contains_key(&key) {
            return OrderAnswer::Done;
        }
        if let Some(reason) = self.start_refusal(now, &order) {
            let event = EvidenceEvent::StartRefused {
                worker: self.facts.worker.clone(),
                key,
                reason,
            };
            self.record_event(now, event);
            return refuse(format!("{reason:?}"));
        }
        let last = AcceptedStart {
            attempt: key.attempt,
            fence: order.fence,
        };
        self.accepted_starts.insert(key.task, last);
        let event = EvidenceEvent::Started {
            worker: self.facts.worker.clone(),
            data_centre: self.facts.data_centre.clone(),
            key,
            fence: order.fence,
            program: order.program.clone(),
            demand: order.demand,
            resume_ms: order.resume_ms,
        };
        self.record_event(now, event);
        let record = self.new_attempt_record(now, order);
        self.attempt_records.insert(key, record);
        OrderAnswer::Done
    }

    /// Extends the leases of the running attempts; the answer is a refusal that names the others.
    pub fn renew(&mut self, now: BootTime, order: &RenewOrder) -> OrderAnswer {
        self.advance(now);
        if order.boot != self.facts.boot {
            return refuse("the order is for another boot of this worker".to_owned());
        }
        let mut not_running = Vec::new();
        for key in &order.keys {
            let is_running = |attempt: &&mut AttemptRecord| attempt.state == AttemptState::Running;
            match self.attempt_records.get_mut(key).filter(is_running) {
                Some(attempt) => {
                    attempt.lease_until_ms = attempt.lease_until_ms.max(order.lease_until_ms)
                }
                None => not_running.push(key.task.0),
            }
        }
        if not_running.is_empty() {
            return OrderAnswer::Done;
        }
        refuse(format!("tasks {not_running:?} do not run here"))
    }

    /// Sets the CPU share of a running attempt.
    pub fn throttle(&mut self, now: BootTime, order: &ThrottleOrder) -> OrderAnswer {
        self.advance(now);
        match self.attempt_records.get_mut(&order.key) {
            Some(attempt) if attempt.state == AttemptState::Running => {
                attempt.share_millis = u64::from(order.share_millis).min(FULL_SHARE_MILLIS);
                OrderAnswer::Done
            }
            _ => refuse("the attempt does not run here".to_owned()),
        }
    }

    /// Saves the progress of an attempt and returns the saved progress.
    pub fn checkpoint(&mut self, now: BootTime, key: &AttemptKey) -> OrderAnswer {
        self.advance(now);
        let Some(attempt) = self.attempt_records.get_mut(key) else {
            return refuse("the attempt is not known here".to_owned());
        };
        if attempt.state == AttemptState::Running {
            attempt.checkpoint_ms = attempt.progress_us / 1_000;
        }
        let progress_ms = attempt.checkpoint_ms;
        if attempt.state == AttemptState::Running {
            let event = EvidenceEvent::Checkpointed {
                worker: self.facts.worker.clone(),
                key: *key,
                progress_ms,
            };
            self.record_event(now, event);
        }
        OrderAnswer::Checkpointed { progress_ms }
    }

    /// Stops an attempt; the start of an attempt that is not known is refused from now on.
    pub fn stop(&mut self, now: BootTime, key: &AttemptKey) -> OrderAnswer {
        self.advance(now);
        if self.attempt_records.contains_key(key) {
            self.end(now, key, AttemptState::Stopped);
        } else {
            self.revoked.insert(*key);
        }
        OrderAnswer::Done
    }

    /// Removes the record of an attempt that has ended.
    pub fn forget(&mut self, now: BootTime, key: &AttemptKey) -> OrderAnswer {
        self.advance(now);
        if self.is_running(key) {
            return refuse("the attempt still runs".to_owned());
        }
        self.attempt_records.shift_remove(key);
        OrderAnswer::Done
    }

    /// Returns the status of all attempts whose records are kept.
    pub fn attempts(&mut self, now: BootTime) -> AttemptList {
        self.advance(now);
        let lag_ms = self.usage.lag_ms;
        let status = |(key, attempt): (&AttemptKey, &AttemptRecord)| AttemptStatus {
            key: *key,
            fence: attempt.order.fence,
            state: attempt.state,
            demand: attempt.order.demand,
            checkpoint_ms: attempt.checkpoint_ms,
            usage: newest_due_sample(&attempt.samples, now, lag_ms),
        };
        AttemptList {
            boot: self.facts.boot,
            now_ms: now.as_millis(),
            attempts: self.attempt_records.iter().map(status).collect(),
            omits_attempts: false,
        }
    }

    /// Whether an attempt runs and its lease is valid at `now`.
    pub fn holds_lease(&self, now: BootTime, key: &AttemptKey) -> bool {
        self.attempt_records.get(key).is_some_and(|attempt| {
            attempt.state == AttemptState::Running && now.as_millis() < attempt.lease_until_ms
        })
    }

    /// Whether an attempt runs.
    pub fn is_running(&self, key: &AttemptKey) -> bool {
        self.attempt_records
            .get(key)
            .is_some_and(|attempt| attempt.state == AttemptState::Running)
    }

    /// Returns the keys of all running attempts.
    pub fn running_keys(&self) -> Vec<AttemptKey> {
        self.running_records()
            .map(|attempt| attempt.order.key)
            .collect()
    }

    /// Returns the program of a known attempt.
    pub fn program(&self, key: &AttemptKey) -> Option<&StartProgram> {
        self.attempt_records
            .get(key)
            .map(|attempt| &attempt.order.program)
    }

    /// Advances all attempts to `now`: leases expire, batch tasks progress, fail and finish.
    pub fn advance(&mut self, now: BootTime) {
        let slowdown = FULL_SHARE_MILLIS + self.busy_slots * self.profile.slot_noise_millis;
        let mut ended = Vec::new();
        for (key, attempt) in &mut self.attempt_records {
            if attempt.state != AttemptState::Running {
                continue;
            }
            advance_attempt(attempt, now, slowdown);
            sample_usage(
                attempt,
                now,
                slowdown,
                &self.usage,
                self.profile.usage_millis,
            );
            if let Some(state) = final_state(attempt, now) {
                ended.push((*key, state));
            }
        }
        for (key, state) in ended {
            self.end(now, &key, state);
        }
    }

    fn running_records(&self) -> impl Iterator<Item = &AttemptRecord> {
        self.attempt_records
            .values()
            .filter(|attempt| attempt.state == AttemptState::Running)
    }

    fn start_refusal(&self, now: BootTime, order: &StartOrder) -> Option<StartRefusal> {
        if self.draining {
            return Some(StartRefusal::Draining);
        }
        if order.boot != self.facts.boot {
            return Some(StartRefusal::Boot);
        }
        if self.revoked.contains(&order.key) {
            return Some(StartRefusal::Stopped);
        }
        let last = self.accepted_starts.get(&order.key.task);
        if last.is_some_and(|last| !last.is_older_than(order)) {
            return Some(StartRefusal::Fence);
        }
        if now.as_millis() > order.start_by_ms {
            return Some(StartRefusal::Late);
        }
        if now.as_millis() >= order.lease_until_ms {
            return Some(StartRefusal::LeaseOver);
        }
        if self
            .running_records()
            .any(|x| x.order.key.task == order.key.task)
        {
            return Some(StartRefusal::TaskRunning);
        }
        let committed = self
            .running_records()
            .try_fold(order.demand, |sum, attempt| {
                ResourceVector::checked_add(&sum, &attempt.order.demand)
            });
        let fits = committed.is_some_and(|sum| sum.fits_within(&self.facts.capacity));
        (!fits).then_some(StartRefusal::Capacity)
    }

    fn new_attempt_record(&self, now: BootTime, order: StartOrder) -> AttemptRecord {
        let actual_run_ms = match order.program {
            StartProgram::Service { .. } => u64::MAX,
            StartProgram::Batch { run_ms } => self.profile.run_ms(&order.key, run_ms),
        };
        let batch = matches!(order.program, StartProgram::Batch { .. });
        AttemptRecord {
            state: AttemptState::Running,
            lease_until_ms: order.lease_until_ms,
            share_millis: FULL_SHARE_MILLIS,
            advanced_until: now,
            progress_us: order.resume_ms.saturating_mul(1_000),
            checkpoint_ms: order.resume_ms,
            actual_run_ms,
            fails: batch && self.profile.fails(&order.key),
            samples: Vec::new(),
            sample_start: now,
            order,
        }
    }

    /// Ends a running attempt and records its end.
    ///
    /// No attempt runs longer than its lease, so that the recorded time is the end of the lease if
    /// that came before `now`.
    fn end(&mut self, now: BootTime, key: &AttemptKey, state: AttemptState) {
        let Some(attempt) = self.attempt_records.get_mut(key) else {
            return;
        };
        if attempt.state != AttemptState::Running {
            return;
        }
        attempt.state = state;
        let lease_end = BootTime::from_millis(attempt.lease_until_ms);
        let event_time = now.min(lease_end);
        let event = EvidenceEvent::Ended {
            worker: self.facts.worker.clone(),
            key: *key,
            state,
            progress_ms: attempt.progress_us / 1_000,
            lease_until_ms: attempt.lease_until_ms,
        };
        self.record_event(event_time, event);
    }

    fn record_event(&mut self, event_time: BootTime, event: EvidenceEvent) {
        self.events.push(EvidenceRecord {
            at_us: event_time.as_micros(),
            event,
        });
    }
}

fn refuse(reason: String) -> OrderAnswer {
    OrderAnswer::Refused { reason }
}

fn advance_attempt(attempt: &mut AttemptRecord, now: BootTime, slowdown_millis: u64) {
    let until = now.min(BootTime::from_millis(attempt.lease_until_ms));
    let elapsed_us = until.saturating_since(attempt.advanced_until).as_micros();
    let elapsed_us = u64::try_from(elapsed_us).unwrap_or(u64::MAX);
    // A longer gap means that the worker process was frozen, and its tasks with it.
    let elapsed_us = elapsed_us.min(PROGRESS_GAP_MAX_MS * 1_000);
    attempt.advanced_until = attempt.advanced_until.max(until);
    if matches!(attempt.order.program, StartProgram::Batch { .. }) {
        attempt.progress_us += elapsed_us * attempt.share_millis / slowdown_millis;
    }
}

fn final_state(attempt: &AttemptRecord, now: BootTime) -> Option<AttemptState> {
    let progress_ms = attempt.progress_us / 1_000;
    if attempt.fails && progress_ms >= attempt.actual_run_ms / 2 {
        return Some(AttemptState::Failed);
    }
    if progress_ms >= attempt.actual_run_ms {
        return Some(AttemptState::Finished);
    }
    (now.as_millis() >= attempt.lease_until_ms).then_some(AttemptState::Expired)
}

fn sample_usage(
    attempt: &mut AttemptRecord,
    now: BootTime,
    slowdown_millis: u64,
    usage: &UsageSettings,
    usage_millis: u64,
) {
    let interval = now.saturating_since(attempt.sample_start).as_millis();
    if interval < u128::from(usage.interval_ms) {
        return;
    }
    let share = usage_millis * attempt.share_millis / FULL_SHARE_MILLIS;
    let demand = attempt.order.demand;
    attempt.samples.push(UsageSample {
        until_ms: now.as_millis(),
        interval_ms: u32::try_from(interval).unwrap_or(u32::MAX),
        used: ResourceVector::new(
            demand.cpu_millis * share / FULL_SHARE_MILLIS,
            demand.memory_mib * usage_millis / FULL_SHARE_MILLIS,
            demand.accelerators,
        ),
        slowdown_millis: u32::try_from(slowdown_millis).unwrap_or(u32::MAX),
    });
    attempt.sample_start = now;
    let retention_ms = usage.lag_ms + 2 * usage.interval_ms;
    let oldest_until_ms = now.as_millis().saturating_sub(retention_ms);
    attempt
        .samples
        .retain(|sample| sample.until_ms >= oldest_until_ms);
}

fn newest_due_sample(samples: &[UsageSample], now: BootTime, lag_ms: u64) -> Option<UsageSample> {
    samples
        .iter()
        .rev()
        .find(|sample| sample.until_ms + lag_ms <= now.as_millis())
        .copied()
}
