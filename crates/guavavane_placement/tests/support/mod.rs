//! Fakes the replicated state, and checks each decision of the policy before applying it.

#![allow(dead_code, reason = "each test file uses its own part")]

use std::sync::Arc;

use indexmap::IndexMap;
use indexmap::IndexSet;

use guavavane_model::prelude::AttemptNumber;
use guavavane_model::prelude::BootTime;
use guavavane_model::prelude::DataCentreName;
use guavavane_model::prelude::JobId;
use guavavane_model::prelude::ResourceVector;
use guavavane_model::prelude::TaskId;
use guavavane_model::prelude::TeamName;
use guavavane_model::prelude::WorkerName;
use guavavane_placement::prelude::*;

/// Data centres of the cell; worker `n` is in the one at `n % 3`.
pub(crate) const DATA_CENTRES: [&str; 3] = ["caxias", "bento", "farroupilha"];

/// A committed placement.
#[derive(Clone, Debug)]
pub(crate) struct Commitment {
    pub(crate) worker: WorkerName,
    pub(crate) reserved: ResourceVector,
    pub(crate) evicting: bool,
}

/// The replicated state, the events that the policy has not received yet, and the policy.
pub(crate) struct StateFake {
    pub(crate) core: PlacementCore,
    pub(crate) now: BootTime,
    pub(crate) workers: IndexMap<WorkerName, WorkerRecord>,
    pub(crate) out: IndexSet<DataCentreName>,
    pub(crate) quotas: IndexMap<TeamName, TeamQuota>,
    pub(crate) tasks: IndexMap<TaskId, TaskRecord>,
    pub(crate) commitments: IndexMap<TaskAttempt, Commitment>,
    pub(crate) cancelled: IndexSet<TaskId>,
    pub(crate) impossible: IndexSet<TaskId>,
    pub(crate) quarantined: IndexSet<WorkerName>,
    pub(crate) given_up: IndexSet<TaskId>,
    pub(crate) undelivered: Vec<PlacementEvent>,
    pub(crate) lost_events: Vec<PlacementEvent>,
    pub(crate) throttle_levels: IndexMap<TaskId, ThrottleLevel>,
    pub(crate) reject_next: bool,
    pub(crate) settings: PlacementSettings,
    seed: u64,
}

pub(crate) fn worker_name(number: usize) -> WorkerName {
    WorkerName::try_from(format!("w{number}")).unwrap()
}

pub(crate) fn worker_record(number: usize, capacity: ResourceVector) -> WorkerRecord {
    WorkerRecord {
        name: worker_name(number),
        data_centre: DATA_CENTRES[number % 3].try_into().unwrap(),
        rack: format!("rack-{}", number / 9).try_into().unwrap(),
        capacity,
    }
}

pub(crate) fn task_record(id: u64, class: TaskClass, demand: ResourceVector) -> TaskRecord {
    let data_centres: Vec<DataCentreName> = DATA_CENTRES
        .iter()
        .map(|name| (*name).try_into().unwrap())
        .collect();
    TaskRecord {
        id: TaskId(id),
        job: JobId(id),
        team: "a".try_into().unwrap(),
        kind: "despacho".try_into().unwrap(),
        class,
        priority: TaskPriority::Normal,
        exclusive: class == TaskClass::Batch,
        demand,
        data_centres: Arc::from(data_centres),
        expected_run_ms: 60_000,
        attempt: AttemptNumber(1),
    }
}

impl StateFake {
    pub(crate) fn new(settings: PlacementSettings, seed: u64) -> Self {
        Self {
            core: PlacementCore::new(settings.clone(), seed),
            now: BootTime::from_millis(1_000),
            workers: IndexMap::new(),
            out: IndexSet::new(),
            quotas: IndexMap::new(),
            tasks: IndexMap::new(),
            commitments: IndexMap::new(),
            cancelled: IndexSet::new(),
            impossible: IndexSet::new(),
            quarantined: IndexSet::new(),
            given_up: IndexSet::new(),
            undelivered: Vec::new(),
            lost_events: Vec::new(),
            throttle_levels: IndexMap::new(),
            reject_next: false,
            settings,
            seed,
        }
    }

    pub(crate) fn advance(&mut self, millis: u64) {
        self.now = self.now + std::time::Duration::from_millis(millis);
    }

    pub(crate) fn send(&mut self, event: PlacementEvent) -> EventOutcome {
        self.core.apply_event(self.now, event)
    }

    pub(crate) fn worker_up(&mut self, record: WorkerRecord) {
        self.workers.insert(record.name.clone(), record.clone());
        self.send(PlacementEvent::WorkerUp(record));
    }

    pub(crate) fn worker_gone(&mut self, name: &WorkerName) {
        self.workers.swap_remove(name);
        self.send(PlacementEvent::WorkerGone(name.clone()));
    }

    pub(crate) fn set_out(&mut self, name: &DataCentreName, out: bool) {
        if out {
            self.out.insert(name.clone());
            self.send(PlacementEvent::DataCentreOut(name.clone()));
        } else {
            self.out.swap_remove(name);
            self.send(PlacementEvent::DataCentreBack(name.clone()));
        }
    }

    pub(crate) fn set_quota(&mut self, quota: TeamQuota) {
        self.quotas.insert(quota.team.clone(), quota.clone());
        self.send(PlacementEvent::QuotaSet(quota));
    }

    pub(crate) fn submit(&mut self, record: TaskRecord) {
        self.tasks.insert(record.id, record.clone());
        self.send(PlacementEvent::TaskSubmitted(record));
    }

    pub(crate) fn cancel(&mut self, task: TaskId) {
        self.cancelled.insert(task);
        self.send(PlacementEvent::TaskCancelled(task));
    }

    /// Ends a commitment, and queues the event for delivery.
    pub(crate) fn release(&mut self, attempt: TaskAttempt, cause: ReleaseCause) {
        let Some(commitment) = self.commitments.swap_remove(&attempt) else {
            return;
        };
        let is_final = matches!(cause, ReleaseCause::Finished | ReleaseCause::Stopped);
        let current_attempt = self.tasks.get(&attempt.task).map(|task| task.attempt);
        if current_attempt == Some(attempt.attempt) {
            if is_final || self.cancelled.contains(&attempt.task) {
                self.tasks.swap_remove(&attempt.task);
            } else {
                self.tasks[&attempt.task].attempt = attempt.attempt.next();
            }
        }
        self.undelivered
            .push(PlacementEvent::TaskReleased(TaskRelease {
                task: attempt.task,
                attempt: attempt.attempt,
                worker: commitment.worker,
                cause,
            }));
    }

    pub(crate) fn deliver(&mut self, position: usize, duplicate: bool) {
        if self.undelivered.is_empty() {
            return;
        }
        let event = self.undelivered.remove(position % self.undelivered.len());
        if duplicate {
            self.send(event.clone());
        }
        self.send(event);
    }

    pub(crate) fn lose_event(&mut self, position: usize) {
        if let Some(position) = position.checked_rem(self.undelivered.len()) {
            let event = self.undelivered.remove(position);
            self.lost_events.push(event);
        }
    }

    pub(crate) fn deliver_all(&mut self) {
        while !self.undelivered.is_empty() {
            self.deliver(0, false);
        }
    }

    /// Builds the policy of a new leader from the replicated state.
    pub(crate) fn rebuild(&mut self) {
        self.seed += 1;
        self.core = PlacementCore::new(self.settings.clone(), self.seed);
        let workers: Vec<WorkerRecord> = self.workers.values().cloned().collect();
        for record in workers {
            self.send(PlacementEvent::WorkerUp(record));
        }
        for name in self.out.clone() {
            self.send(PlacementEvent::DataCentreOut(name));
        }
        for quota in self.quotas.values().cloned().collect::<Vec<_>>() {
            self.send(PlacementEvent::QuotaSet(quota));
        }
        for record in self.tasks.values().cloned().collect::<Vec<_>>() {
            let committed = self.commitments.iter();
            let committed = committed.filter(|(attempt, _)| attempt.task == record.id);
            let placements = committed
                .map(|(attempt, c)| placement(*attempt, c))
                .collect();
            self.send(PlacementEvent::TaskRestored(TaskRestore {
                record,
                placements,
            }));
        }
        for task in self.cancelled.clone() {
            self.send(PlacementEvent::TaskCancelled(task));
        }
        self.quarantined.clear();
    }

    pub(crate) fn is_committed(&self, task: TaskId) -> bool {
        self.commitments.keys().any(|attempt| attempt.task == task)
    }

    pub(crate) fn committed(&self, worker: &WorkerName) -> ResourceVector {
        let on_worker = self.commitments.values().filter(|c| c.worker == *worker);
        on_worker.fold(ResourceVector::ZERO, |sum, c| {
            sum.checked_add(&c.reserved).unwrap()
        })
    }

    pub(crate) fn team_usage(&self, team: &TeamName) -> ResourceVector {
        let of_team = self.commitments.iter().filter(|(attempt, _)| {
            self.tasks
                .get(&attempt.task)
                .is_some_and(|task| task.team == *team)
        });
        of_team.fold(ResourceVector::ZERO, |sum, (_, c)| {
            sum.checked_add(&c.reserved).unwrap()
        })
    }

    /// Runs a scheduling pass; checks and applies each decision.
    pub(crate) fn run_pass(&mut self, budget: usize) -> Vec<PlacementDecision> {
        let decisions = self.core.run_pass(self.now, budget);
        for decision in &decisions {
            self.apply(decision);
        }
        decisions
    }

    fn apply(&mut self, decision: &PlacementDecision) {
        match decision {
            PlacementDecision::Place(place) => self.apply_place(place),
            PlacementDecision::Evict(evict) => self.apply_evict(evict),
            PlacementDecision::ReportImpossible(report) => self.apply_impossible(report),
            PlacementDecision::GiveUp(give_up) => {
                self.given_up.insert(give_up.task);
                self.tasks.swap_remove(&give_up.task);
            }
            PlacementDecision::QuarantineWorker(quarantine) => {
                self.quarantined.insert(quarantine.worker.clone());
                self.check_quarantine(&quarantine.worker);
            }
            PlacementDecision::ReleaseQuarantine(worker) => {
                self.quarantined.swap_remove(worker);
            }
            PlacementDecision::Throttle(throttle) => {
                self.throttle_levels.insert(throttle.task, throttle.level);
            }
        }
    }

    fn apply_place(&mut self, place: &PlaceDecision) {
        let attempt = TaskAttempt {
            task: place.task,
            attempt: place.attempt,
        };
        if std::mem::take(&mut self.reject_next) || self.rejects(place.task) {
            self.undelivered
                .push(PlacementEvent::PlacementRejected(place.number));
            return;
        }
        self.check_place(place);
        let commitment = Commitment {
            worker: place.worker.clone(),
            reserved: place.reserved,
            evicting: false,
        };
        let event = placement(attempt, &commitment);
        self.undelivered
            .push(PlacementEvent::PlacementCommitted(event));
        self.commitments.insert(attempt, commitment);
        self.tasks[&place.task].attempt = place.attempt;
    }

    /// Whether the task has ended; fails unless the policy has yet to receive its release.
    fn rejects(&self, task: TaskId) -> bool {
        let ended = !self.tasks.contains_key(&task);
        let unseen = |event: &PlacementEvent| match event {
            PlacementEvent::TaskReleased(release) => release.task == task,
            _ => false,
        };
        assert!(
            !ended || self.undelivered.iter().chain(&self.lost_events).any(unseen),
            "placed an ended task"
        );
        ended
    }

    fn check_place(&self, place: &PlaceDecision) {
        let worker = self
            .workers
            .get(&place.worker)
            .expect("placed on a present worker");
        let task = self
            .tasks
            .get(&place.task)
            .expect("placed a task that waits");
        assert!(
            !self.out.contains(&worker.data_centre),
            "placed into an out data centre"
        );
        assert!(
            task.data_centres.contains(&worker.data_centre),
            "placed where not allowed"
        );
        assert!(
            !self.cancelled.contains(&place.task),
            "placed a cancelled task"
        );
        assert!(
            !self.quarantined.contains(&place.worker),
            "placed on a quarantined worker"
        );
        assert!(
            task.demand.fits_within(&place.reserved),
            "reserved less than declared"
        );
        let committed = self
            .committed(&place.worker)
            .checked_add(&place.reserved)
            .unwrap();
        assert!(
            committed.fits_within(&worker.capacity),
            "overcommitted {}",
            worker.name
        );
        let attempts = self
            .commitments
            .iter()
            .filter(|(attempt, _)| attempt.task == place.task);
        let staying = attempts.clone().filter(|(_, c)| !c.evicting).count();
        let replaces = matches!(place.reason, PlaceReason::Replacement { .. });
        assert!(
            !task.exclusive || attempts.count() == 0,
            "an exclusive task placed twice"
        );
        assert!(
            staying <= usize::from(replaces),
            "a task placed twice: {place:?} {:?}",
            self.commitments
        );
        if let Some(cap) = self.quotas.get(&task.team).and_then(|quota| quota.cap) {
            let usage = self
                .team_usage(&task.team)
                .checked_add(&place.reserved)
                .unwrap();
            assert!(
                usage.fits_within(&cap),
                "cap of team {} exceeded",
                task.team
            );
        }
    }

    fn apply_evict(&mut self, evict: &EvictDecision) {
        let attempt = TaskAttempt {
            task: evict.task,
            attempt: evict.attempt,
        };
        let Some(commitment) = self.commitments.get_mut(&attempt) else {
            return;
        };
        assert_eq!(
            commitment.worker, evict.worker,
            "evicted from another worker"
        );
        assert!(!commitment.evicting, "evicted twice");
        commitment.evicting = true;
        if let EvictionCause::Preemption { for_task } = evict.cause {
            if let Some(victim) = self.tasks.get(&evict.task) {
                assert_eq!(
                    victim.priority,
                    TaskPriority::Normal,
                    "urgent work preempted"
                );
                assert_eq!(victim.class, TaskClass::Batch, "a service preempted");
            }
            self.rejects(for_task);
        }
    }

    fn apply_impossible(&mut self, report: &ImpossibleDecision) {
        let Some(task) = self.tasks.get(&report.task) else {
            return;
        };
        self.impossible.insert(report.task);
        let cap = self.quotas.get(&task.team).and_then(|quota| quota.cap);
        let capped = cap.is_some_and(|cap| !task.demand.fits_within(&cap));
        let mut workers = self.workers.values();
        let fits = workers.any(|worker| {
            task.data_centres.contains(&worker.data_centre)
                && task.demand.fits_within(&worker.capacity)
        });
        assert!(capped || !fits, "{:?} is not impossible", report);
    }

    fn check_quarantine(&self, name: &WorkerName) {
        let Some(record) = self.workers.get(name) else {
            return;
        };
        let in_data_centre = |worker: &&WorkerRecord| worker.data_centre == record.data_centre;
        let worker_count = self.workers.values().filter(in_data_centre).count();
        let quarantined = self
            .quarantined
            .iter()
            .filter_map(|name| self.workers.get(name));
        let quarantined = quarantined.filter(in_data_centre).count();
        let limit = (worker_count * self.settings.quarantine_cap_permille as usize / 1_000).max(1);
        assert!(
            quarantined <= limit && quarantined < worker_count.max(2),
            "too many quarantined"
        );
    }

    /// Confirms the stop of each task that is being evicted.
    pub(crate) fn confirm_evictions(&mut self) {
        let evicting = self.commitments.iter().filter(|(_, c)| c.evicting);
        let evicting: Vec<TaskAttempt> = evicting.map(|(attempt, _)| *attempt).collect();
        for attempt in evicting {
            self.release(attempt, ReleaseCause::Evicted);
        }
    }

    fn interval(&self) -> MeasuredInterval {
        let until = self.now;
        let from = BootTime::from_millis(until.as_millis().saturating_sub(1_000));
        MeasuredInterval { from, until }
    }

    /// Sends a usage sample of `permille` thousandths of the declared size.
    pub(crate) fn report_usage(&mut self, position: usize, permille: u64) {
        let Some(attempt) = self.attempt_at(position) else {
            return;
        };
        let Some(task) = self.tasks.get(&attempt.task) else {
            return;
        };
        let mut used = task.demand;
        used.cpu_millis = used.cpu_millis * permille / 1_000;
        used.memory_mib = used.memory_mib * permille / 1_000;
        let worker = self.commitments[&attempt].worker.clone();
        let interval = self.interval();
        self.send(PlacementEvent::UsageSample(UsageSample {
            task: attempt.task,
            attempt: attempt.attempt,
            worker,
            interval,
            used,
        }));
    }

    /// Sends a latency sample with this slowdown at half load.
    pub(crate) fn report_latency(&mut self, position: usize, slowdown_permille: u32) {
        let Some(attempt) = self.attempt_at(position) else {
            return;
        };
        let worker = self.commitments[&attempt].worker.clone();
        let interval = self.interval();
        self.send(PlacementEvent::LatencySample(LatencySample {
            task: attempt.task,
            attempt: attempt.attempt,
            worker,
            interval,
            slowdown_permille,
            load_permille: 500,
        }));
    }

    /// Confirms the stop of the first task that is being evicted.
    pub(crate) fn confirm_one_eviction(&mut self) {
        let mut evicting = self.commitments.iter().filter(|(_, c)| c.evicting);
        let first = evicting.next().map(|(attempt, _)| *attempt);
        first
            .into_iter()
            .for_each(|attempt| self.release(attempt, ReleaseCause::Evicted));
    }

    pub(crate) fn attempt_at(&self, position: usize) -> Option<TaskAttempt> {
        let count = self.commitments.len();
        let position = position.checked_rem(count)?;
        self.commitments
            .get_index(position)
            .map(|(attempt, _)| *attempt)
    }
}

pub(crate) fn placement(attempt: TaskAttempt, commitment: &Commitment) -> TaskPlacement {
    TaskPlacement {
        task: attempt.task,
        attempt: attempt.attempt,
        worker: commitment.worker.clone(),
        reserved: commitment.reserved,
        evicting: commitment.evicting,
        ran_ms: 0,
    }
}
