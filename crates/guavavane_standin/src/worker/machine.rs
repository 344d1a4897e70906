//! Decisions of a worker, free of I/O.
//!
//! Batch tasks progress by time, slowed by their throttle and by busy slots. A lease ends at an
//! absolute moment on the worker's clock: past it no order revives the attempt, and work past
//! it does not count.

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

/// Longest time between two looks at tasks that run.
const STEP_MAX_MS: u64 = 500;
/// Undisturbed speed, in thousandths.
const FULL_SPEED_MILLIS: u64 = 1_000;

/// Settings of the usage reports.
#[derive(Clone, Copy, Debug)]
pub struct UsageSettings {
    /// Length of an interval.
    pub interval_ms: u64,
    /// Time from the end of an interval until it is reported.
    pub lag_ms: u64,
}

#[derive(Clone, Debug)]
struct TaskRecord {
    order: StartOrder,
    state: AttemptState,
    lease_until_ms: u64,
    share_millis: u64,
    advanced: BootTime,
    progress_us: u64,
    checkpoint_ms: u64,
    end_ms: u64,
    fails: bool,
    samples: Vec<UsageSample>,
    sample_start: BootTime,
}

/// The newest placement of a task here; it outlives the task's record.
#[derive(Clone, Copy, Debug)]
struct LastPlacement {
    attempt: AttemptNumber,
    fence: FenceNumber,
}

impl LastPlacement {
    fn precedes(&self, order: &StartOrder) -> bool {
        self.fence < order.fence && self.attempt < order.key.attempt
    }
}

/// State of a worker.
#[derive(Debug)]
pub struct WorkerMachine {
    facts: WorkerFacts,
    profile: TaskProfile,
    usage: UsageSettings,
    tasks: IndexMap<AttemptKey, TaskRecord>,
    placements: IndexMap<TaskId, LastPlacement>,
    revoked: IndexSet<AttemptKey>,
    draining: bool,
    busy_slots: u64,
    events: Vec<EvidenceRecord>,
}

impl WorkerMachine {
    /// A worker that runs nothing.
    pub fn new(facts: WorkerFacts, profile: TaskProfile, usage: UsageSettings) -> Self {
        Self {
            facts,
            profile,
            usage,
            tasks: IndexMap::new(),
            placements: IndexMap::new(),
            revoked: IndexSet::new(),
            draining: false,
            busy_slots: 0,
            events: Vec::new(),
        }
    }

    /// What the worker says of itself.
    pub fn facts(&self) -> &WorkerFacts {
        &self.facts
    }

    /// Takes what happened since the last call.
    pub fn take_events(&mut self) -> Vec<EvidenceRecord> {
        std::mem::take(&mut self.events)
    }

    /// Refuses all further starts.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Notes how many slots of its endpoints are busy.
    pub fn set_busy_slots(&mut self, busy: u64) {
        self.busy_slots = busy;
    }

    /// Slowdown of requests by the batch tasks here, in thousandths.
    pub fn request_slowdown(&self) -> u64 {
        let shares: u64 = self
            .running()
            .filter(|task| matches!(task.order.program, StartProgram::Batch { .. }))
            .map(|task| task.share_millis)
            .sum();
        FULL_SPEED_MILLIS + shares * self.profile.batch_noise_millis / FULL_SPEED_MILLIS
    }

    /// Starts an attempt, once.
    pub fn start(&mut self, now: BootTime, order: StartOrder) -> OrderAnswer {
        self.advance(now);
        let key = order.key;
        if self.tasks.contains_key(&key) {
            return OrderAnswer::Done;
        }
        if let Some(reason) = self.start_fault(now, &order) {
            let event = EvidenceEvent::StartRefused {
                worker: self.facts.worker.clone(),
                key,
                reason,
            };
            self.note(now, event);
            return refuse(format!("{reason:?}"));
        }
        let last = LastPlacement {
            attempt: key.attempt,
            fence: order.fence,
        };
        self.placements.insert(key.task, last);
        let event = EvidenceEvent::Started {
            worker: self.facts.worker.clone(),
            data_centre: self.facts.data_centre.clone(),
            key,
            fence: order.fence,
            program: order.program.clone(),
            demand: order.demand,
            resume_ms: order.resume_ms,
        };
        self.note(now, event);
        let record = self.new_record(now, order);
        self.tasks.insert(key, record);
        OrderAnswer::Done
    }

    /// Moves the ends of leases that have not run out.
    pub fn renew(&mut self, now: BootTime, order: &RenewOrder) -> OrderAnswer {
        self.advance(now);
        if order.boot != self.facts.boot {
            return refuse("the worker has another boot".to_owned());
        }
        let mut ended = Vec::new();
        for key in &order.keys {
            let running = |task: &&mut TaskRecord| task.state == AttemptState::Running;
            match self.tasks.get_mut(key).filter(running) {
                Some(task) => task.lease_until_ms = task.lease_until_ms.max(order.lease_until_ms),
                None => ended.push(key.task.0),
            }
        }
        if ended.is_empty() {
            return OrderAnswer::Done;
        }
        refuse(format!("tasks {ended:?} do not run here"))
    }

    /// Slows an attempt.
    pub fn throttle(&mut self, now: BootTime, order: &ThrottleOrder) -> OrderAnswer {
        self.advance(now);
        match self.tasks.get_mut(&order.key) {
            Some(task) if task.state == AttemptState::Running => {
                task.share_millis = u64::from(order.share_millis).min(FULL_SPEED_MILLIS);
                OrderAnswer::Done
            }
            _ => refuse("the attempt does not run here".to_owned()),
        }
    }

    /// Keeps the progress of an attempt.
    pub fn checkpoint(&mut self, now: BootTime, key: &AttemptKey) -> OrderAnswer {
        self.advance(now);
        let Some(task) = self.tasks.get_mut(key) else {
            return refuse("the attempt is not known here".to_owned());
        };
        if task.state == AttemptState::Running {
            task.checkpoint_ms = task.progress_us / 1_000;
        }
        let progress_ms = task.checkpoint_ms;
        if task.state == AttemptState::Running {
            let event = EvidenceEvent::Checkpointed {
                worker: self.facts.worker.clone(),
                key: *key,
                progress_ms,
            };
            self.note(now, event);
        }
        OrderAnswer::Checkpointed { progress_ms }
    }

    /// Stops an attempt; one that has not started is refused for good.
    pub fn stop(&mut self, now: BootTime, key: &AttemptKey) -> OrderAnswer {
        self.advance(now);
        if self.tasks.contains_key(key) {
            self.end(now, key, AttemptState::Stopped);
        } else {
            self.revoked.insert(*key);
        }
        OrderAnswer::Done
    }

    /// Forgets an attempt that has ended.
    pub fn forget(&mut self, now: BootTime, key: &AttemptKey) -> OrderAnswer {
        self.advance(now);
        if self.is_running(key) {
            return refuse("the attempt still runs".to_owned());
        }
        self.tasks.shift_remove(key);
        OrderAnswer::Done
    }

    /// All attempts that are not forgotten.
    pub fn attempts(&mut self, now: BootTime) -> AttemptList {
        self.advance(now);
        let lag = self.usage.lag_ms;
        let status = |(key, task): (&AttemptKey, &TaskRecord)| AttemptStatus {
            key: *key,
            fence: task.order.fence,
            state: task.state,
            demand: task.order.demand,
            checkpoint_ms: task.checkpoint_ms,
            usage: ready_sample(&task.samples, now, lag),
        };
        AttemptList {
            boot: self.facts.boot,
            now_ms: now.as_millis(),
            attempts: self.tasks.iter().map(status).collect(),
        }
    }

    /// Whether an attempt runs and its lease holds at `now`.
    pub fn holds_lease(&self, now: BootTime, key: &AttemptKey) -> bool {
        self.tasks.get(key).is_some_and(|task| {
            task.state == AttemptState::Running && now.as_millis() < task.lease_until_ms
        })
    }

    /// Whether an attempt runs.
    pub fn is_running(&self, key: &AttemptKey) -> bool {
        self.tasks
            .get(key)
            .is_some_and(|task| task.state == AttemptState::Running)
    }

    /// The attempts that run.
    pub fn running_keys(&self) -> Vec<AttemptKey> {
        self.running().map(|task| task.order.key).collect()
    }

    /// The program of an attempt.
    pub fn program(&self, key: &AttemptKey) -> Option<&StartProgram> {
        self.tasks.get(key).map(|task| &task.order.program)
    }

    /// Lets time pass: leases run out, batch tasks progress and end.
    pub fn advance(&mut self, now: BootTime) {
        let slowdown = FULL_SPEED_MILLIS + self.busy_slots * self.profile.slot_noise_millis;
        let mut ends = Vec::new();
        for (key, task) in &mut self.tasks {
            if task.state != AttemptState::Running {
                continue;
            }
            advance_task(task, now, slowdown);
            sample_usage(task, now, slowdown, &self.usage, self.profile.usage_millis);
            if let Some(state) = ended_state(task, now) {
                ends.push((*key, state));
            }
        }
        for (key, state) in ends {
            self.end(now, &key, state);
        }
    }

    fn running(&self) -> impl Iterator<Item = &TaskRecord> {
        self.tasks
            .values()
            .filter(|task| task.state == AttemptState::Running)
    }

    fn start_fault(&self, now: BootTime, order: &StartOrder) -> Option<StartRefusal> {
        if self.draining {
            return Some(StartRefusal::Draining);
        }
        if order.boot != self.facts.boot {
            return Some(StartRefusal::Boot);
        }
        if self.revoked.contains(&order.key) {
            return Some(StartRefusal::Stopped);
        }
        let last = self.placements.get(&order.key.task);
        if last.is_some_and(|last| !last.precedes(order)) {
            return Some(StartRefusal::Fence);
        }
        if now.as_millis() > order.start_by_ms {
            return Some(StartRefusal::Late);
        }
        if now.as_millis() >= order.lease_until_ms {
            return Some(StartRefusal::LeaseOver);
        }
        if self.running().any(|x| x.order.key.task == order.key.task) {
            return Some(StartRefusal::TaskRunning);
        }
        let committed = self.running().try_fold(order.demand, |sum, task| {
            ResourceVector::checked_add(&sum, &task.order.demand)
        });
        let fits = committed.is_some_and(|sum| sum.fits_within(&self.facts.capacity));
        (!fits).then_some(StartRefusal::Capacity)
    }

    fn new_record(&self, now: BootTime, order: StartOrder) -> TaskRecord {
        let end_ms = match order.program {
            StartProgram::Service { .. } => u64::MAX,
            StartProgram::Batch { run_ms } => self.profile.run_ms(&order.key, run_ms),
        };
        let batch = matches!(order.program, StartProgram::Batch { .. });
        TaskRecord {
            state: AttemptState::Running,
            lease_until_ms: order.lease_until_ms,
            share_millis: FULL_SPEED_MILLIS,
            advanced: now,
            progress_us: order.resume_ms.saturating_mul(1_000),
            checkpoint_ms: order.resume_ms,
            end_ms,
            fails: batch && self.profile.fails(&order.key),
            samples: Vec::new(),
            sample_start: now,
            order,
        }
    }

    /// Ends an attempt. Nothing runs past the end of its lease, so that it ended by then even if
    /// that is seen later.
    fn end(&mut self, now: BootTime, key: &AttemptKey, state: AttemptState) {
        let Some(task) = self.tasks.get_mut(key) else {
            return;
        };
        if task.state != AttemptState::Running {
            return;
        }
        task.state = state;
        let lease_end = BootTime::from_millis(task.lease_until_ms);
        let at = now.min(lease_end);
        let event = EvidenceEvent::Ended {
            worker: self.facts.worker.clone(),
            key: *key,
            state,
            progress_ms: task.progress_us / 1_000,
            lease_until_ms: task.lease_until_ms,
        };
        self.note(at, event);
    }

    fn note(&mut self, at: BootTime, event: EvidenceEvent) {
        self.events.push(EvidenceRecord {
            at_us: at.as_micros(),
            event,
        });
    }
}

fn refuse(reason: String) -> OrderAnswer {
    OrderAnswer::Refused { reason }
}

fn advance_task(task: &mut TaskRecord, now: BootTime, slowdown_millis: u64) {
    let until = now.min(BootTime::from_millis(task.lease_until_ms));
    let passed = until.saturating_since(task.advanced).as_micros();
    let passed = u64::try_from(passed).unwrap_or(u64::MAX);
    // A longer step means that the whole worker was frozen, and its tasks with it.
    let passed = passed.min(STEP_MAX_MS * 1_000);
    task.advanced = task.advanced.max(until);
    if matches!(task.order.program, StartProgram::Batch { .. }) {
        task.progress_us += passed * task.share_millis / slowdown_millis;
    }
}

fn ended_state(task: &TaskRecord, now: BootTime) -> Option<AttemptState> {
    let progress_ms = task.progress_us / 1_000;
    if task.fails && progress_ms >= task.end_ms / 2 {
        return Some(AttemptState::Failed);
    }
    if progress_ms >= task.end_ms {
        return Some(AttemptState::Finished);
    }
    (now.as_millis() >= task.lease_until_ms).then_some(AttemptState::Expired)
}

fn sample_usage(
    task: &mut TaskRecord,
    now: BootTime,
    slowdown_millis: u64,
    usage: &UsageSettings,
    usage_millis: u64,
) {
    let interval = now.saturating_since(task.sample_start).as_millis();
    if interval < u128::from(usage.interval_ms) {
        return;
    }
    let share = usage_millis * task.share_millis / FULL_SPEED_MILLIS;
    let demand = task.order.demand;
    task.samples.push(UsageSample {
        until_ms: now.as_millis(),
        interval_ms: u32::try_from(interval).unwrap_or(u32::MAX),
        used: ResourceVector::new(
            demand.cpu_millis * share / FULL_SPEED_MILLIS,
            demand.memory_mib * usage_millis / FULL_SPEED_MILLIS,
            demand.accelerators,
        ),
        slowdown_millis: u32::try_from(slowdown_millis).unwrap_or(u32::MAX),
    });
    task.sample_start = now;
    let kept_ms = usage.lag_ms + 2 * usage.interval_ms;
    let oldest = now.as_millis().saturating_sub(kept_ms);
    task.samples.retain(|sample| sample.until_ms >= oldest);
}

fn ready_sample(samples: &[UsageSample], now: BootTime, lag_ms: u64) -> Option<UsageSample> {
    samples
        .iter()
        .rev()
        .find(|sample| sample.until_ms + lag_ms <= now.as_millis())
        .copied()
}
