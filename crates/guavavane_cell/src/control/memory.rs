//! What only the leader knows; it starts anew with each term.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;

use super::caller::time_of_day_ms;
use super::session::LeaderSession;
use super::session::SessionId;
use super::session::SessionRole;
use crate::message::FromControl;
use crate::message::WorkerReport;
use crate::timing::LeaseTiming;
use guavavane_jobs::ledger::WorkerIndex;
use guavavane_jobs::plan::advice::AdviceBook;
use guavavane_jobs::plan::order::step_urgency;
use guavavane_jobs::plan::press::FillingLoad;
use guavavane_jobs::plan::press::PressTable;
use guavavane_jobs::plan::press::StrainSample;
use guavavane_jobs::plan::room::WorkerOutlook;
use guavavane_jobs::plan::round::RoundInput;
use guavavane_jobs::plan::slack::RunTimes;
use guavavane_jobs::prelude::JobKey;
use guavavane_jobs::prelude::JobLedger;
use guavavane_jobs::prelude::JobPhase;
use guavavane_jobs::prelude::RunEnd;
use guavavane_jobs::prelude::RunEnding;
use guavavane_jobs::prelude::RunNumber;
use guavavane_jobs::prelude::StepKey;
use guavavane_jobs::prelude::TaskKey;
use guavavane_model::prelude::BootClock;
use guavavane_model::prelude::BootTime;

/// What the leader knows of a worker.
#[derive(Clone, Debug)]
pub(super) struct WorkerMemory {
    /// Session of its agent, if the agent has reported it on one.
    pub(super) session: Option<SessionId>,
    /// Whether it takes no new work.
    pub(super) draining: bool,
    /// Whether it leaves its agent's calls unanswered.
    pub(super) silent: bool,
    /// How often its lease has run out, as its agent says.
    pub(super) epoch: u64,
    /// When everything on it has surely lapsed, if its agent stays silent.
    pub(super) lapses_at: BootTime,
    /// Failed runs since the last that was done.
    pub(super) failures_in_row: u32,
    /// Highest strain of each serving image.
    pub(super) strains: IndexMap<Arc<str>, f64>,
    /// Filling tasks beside which these strains were seen.
    pub(super) seen_load: FillingLoad,
}

impl WorkerMemory {
    pub(super) fn new(lapses_at: BootTime) -> Self {
        Self {
            session: None,
            draining: false,
            silent: false,
            epoch: 0,
            lapses_at,
            failures_in_row: 0,
            strains: IndexMap::new(),
            seen_load: FillingLoad::new(),
        }
    }
}

/// A report that came while the loss of its worker was not committed.
#[derive(Clone, Debug)]
pub(super) struct DeferredReport {
    pub(super) session: SessionId,
    pub(super) report: Box<WorkerReport>,
}

/// Memory of one term.
#[derive(Debug)]
pub(super) struct LeaderMemory {
    pub(super) term: u64,
    pub(super) sessions: IndexMap<SessionId, LeaderSession>,
    pub(super) workers: IndexMap<WorkerIndex, WorkerMemory>,
    /// Workers whose loss is proposed and not committed, with what was reported meanwhile.
    pub(super) losing: IndexMap<WorkerIndex, Option<DeferredReport>>,
    /// What another service allows.
    pub(super) advice: AdviceBook,
    /// Latest progress that agents reported.
    pub(super) saved: IndexMap<TaskKey, Arc<str>>,
    /// Since when steps have had waiting tasks.
    pub(super) waiting_since: IndexMap<StepKey, BootTime>,
    /// Run times that were seen in this term.
    pub(super) run_times: RunTimes,
    /// When runs were ordered that have not ended.
    pub(super) ordered_at: IndexMap<(TaskKey, RunNumber), BootTime>,
    /// How images slow each other down, as learned in this term.
    pub(super) press: PressTable,
    /// When jobs were seen to have ended.
    pub(super) ended_at: IndexMap<JobKey, BootTime>,
    /// Whether starts are proposed and not committed.
    pub(super) placing: bool,
    /// Whether something has changed since the latest round of placement began.
    pub(super) place_again: bool,
}

impl LeaderMemory {
    pub(super) fn new(term: u64, now: BootTime, ledger: &JobLedger, timing: &LeaseTiming) -> Self {
        let ended = ledger
            .jobs()
            .filter(|(_, job)| job.phase != JobPhase::Active);
        let ended_at = ended.map(|(key, _)| (key, now)).collect();
        let lapses_at = now + timing.surely_over(timing.agent_lease);
        let workers = ledger.workers().map(|(index, _)| {
            // An earlier leader may have granted a lease just before it lost its own.
            (index, WorkerMemory::new(lapses_at))
        });
        Self {
            term,
            sessions: IndexMap::new(),
            workers: workers.collect(),
            losing: IndexMap::new(),
            advice: AdviceBook::default(),
            saved: IndexMap::new(),
            waiting_since: IndexMap::new(),
            run_times: RunTimes::default(),
            ordered_at: IndexMap::new(),
            press: PressTable::default(),
            ended_at,
            placing: false,
            place_again: false,
        }
    }

    /// The worker that a session's agent speaks for.
    pub(super) fn session_worker(&self, id: SessionId) -> Option<WorkerIndex> {
        match &self.sessions.get(&id)?.role {
            SessionRole::Agent { worker, .. } => *worker,
            SessionRole::Entry => None,
        }
    }

    /// The session of a worker's agent.
    pub(super) fn worker_session(&self, index: WorkerIndex) -> Option<&LeaderSession> {
        let session = self.workers.get(&index)?.session?;
        self.sessions.get(&session)
    }

    /// What placement has to know of a worker.
    pub(super) fn outlook(&self, index: WorkerIndex) -> WorkerOutlook {
        let Some(worker) = self.workers.get(&index) else {
            return WorkerOutlook::default();
        };
        WorkerOutlook {
            usable: worker.session.is_some() && !worker.draining && !worker.silent,
            failures_in_row: worker.failures_in_row,
            strains: worker.strains.clone(),
            seen_load: worker.seen_load.clone(),
        }
    }

    /// Rank of a task among those that can't all work: those that can still make their
    /// objective first, by its time.
    pub(super) fn urgency(&self, ledger: &JobLedger, task: TaskKey) -> u64 {
        step_urgency(ledger, &self.run_times, task.step, time_of_day_ms()).unwrap_or(u64::MAX)
    }

    /// An order with the ticket that it needs, if there is one.
    pub(super) fn with_ticket(&self, mut order: FromControl, worker: WorkerIndex) -> FromControl {
        if let FromControl::Start { order, .. } = &mut order {
            let ticket = self.advice.ticket(BootClock.now(), order.task.step, worker);
            order.ticket = ticket.unwrap_or_else(|| Arc::from(""));
        }
        order
    }

    /// Notes which steps have waiting tasks.
    pub(super) fn note_waiting(&mut self, ledger: &JobLedger) {
        let now = BootClock.now();
        let known = std::mem::take(&mut self.waiting_since);
        let ready = ledger.ready_steps();
        let ready = ready.map(|(step, _)| (step, known.get(&step).copied().unwrap_or(now)));
        self.waiting_since = ready.collect();
    }

    /// Learns from strains that an agent reported.
    pub(super) fn learn_strains(
        &mut self,
        index: WorkerIndex,
        samples: &[StrainSample],
        load: FillingLoad,
    ) {
        self.press.learn(BootClock.now(), samples, &load);
        let Some(worker) = self.workers.get_mut(&index) else {
            return;
        };
        worker.strains.clear();
        for sample in samples {
            let serving = Arc::clone(&sample.serving);
            let worst = worker.strains.entry(serving).or_insert(0.0);
            *worst = worst.max(sample.strain);
        }
        worker.seen_load = load;
    }

    /// Learns from ends that were noted.
    pub(super) fn learn_ends(
        &mut self,
        index: WorkerIndex,
        ends: &[RunEnd],
        queue_of: impl Fn(JobKey) -> Option<Arc<str>>,
    ) {
        let now = BootClock.now();
        for end in ends {
            self.saved.swap_remove(&end.task);
            let ordered_at = self.ordered_at.swap_remove(&(end.task, end.run));
            let queue = queue_of(end.task.step.job);
            if let (Some(at), Some(queue), RunEnding::Done) = (ordered_at, queue, end.ending) {
                self.run_times.learn(&queue, now.saturating_since(at));
            }
            let Some(worker) = self.workers.get_mut(&index) else {
                continue;
            };
            match end.ending {
                RunEnding::Failed => worker.failures_in_row += 1,
                RunEnding::Done => worker.failures_in_row = 0,
                _ => {}
            }
        }
    }
}

impl RoundInput for LeaderMemory {
    fn saved(&self, task: TaskKey) -> Option<Arc<str>> {
        self.saved.get(&task).cloned()
    }

    fn run_times(&self) -> &RunTimes {
        &self.run_times
    }

    fn press(&self) -> &PressTable {
        &self.press
    }

    fn time_of_day_ms(&self) -> u64 {
        time_of_day_ms()
    }

    fn advised(&self, step: StepKey) -> IndexSet<WorkerIndex> {
        self.advice.allowed(BootClock.now(), step)
    }

    fn waited(&self, step: StepKey) -> Duration {
        let since = self.waiting_since.get(&step);
        since.map_or(Duration::ZERO, |since| {
            BootClock.now().saturating_since(*since)
        })
    }
}
