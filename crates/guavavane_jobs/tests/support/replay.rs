//! Replays a load against the decisions: simulated workers, arrivals and tail latencies.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;

use super::apply;
use guavavane_jobs::ledger::WorkerIndex;
use guavavane_jobs::plan::order::WaitingStep;
use guavavane_jobs::plan::press::PressTable;
use guavavane_jobs::plan::room::rooms;
use guavavane_jobs::plan::room::WorkerOutlook;
use guavavane_jobs::plan::round::choose_in_order;
use guavavane_jobs::plan::round::RoundInput;
use guavavane_jobs::plan::slack::RunTimes;
use guavavane_jobs::prelude::JobKey;
use guavavane_jobs::prelude::JobLedger;
use guavavane_jobs::prelude::JobPhase;
use guavavane_jobs::prelude::LedgerCommand;
use guavavane_jobs::prelude::LedgerOutcome;
use guavavane_jobs::prelude::RunEnd;
use guavavane_jobs::prelude::RunEnding;
use guavavane_jobs::prelude::RunNumber;
use guavavane_jobs::prelude::StepKey;
use guavavane_jobs::prelude::TaskKey;

/// What the decisions may see of the replay.
#[derive(Default)]
pub(crate) struct ReplayView {
    pub(crate) now_ms: u64,
    pub(crate) press: PressTable,
    pub(crate) run_times: RunTimes,
    pub(crate) outlooks: IndexMap<WorkerIndex, WorkerOutlook>,
    pub(crate) waiting_since: IndexMap<StepKey, u64>,
}

impl RoundInput for ReplayView {
    fn saved(&self, _task: TaskKey) -> Option<Arc<str>> {
        None
    }

    fn run_times(&self) -> &RunTimes {
        &self.run_times
    }

    fn press(&self) -> &PressTable {
        &self.press
    }

    fn time_of_day_ms(&self) -> u64 {
        self.now_ms
    }

    fn advised(&self, _step: StepKey) -> IndexSet<WorkerIndex> {
        IndexSet::new()
    }

    fn waited(&self, step: StepKey) -> Duration {
        let since = self.waiting_since.get(&step).copied();
        Duration::from_millis(self.now_ms - since.unwrap_or(self.now_ms))
    }
}

/// A run of the replay.
pub(crate) struct ReplayRun {
    pub(crate) task: TaskKey,
    pub(crate) run: RunNumber,
    pub(crate) worker: WorkerIndex,
    pub(crate) begun_ms: u64,
    pub(crate) left_ms: f64,
}

/// A replayed cell.
pub(crate) struct Replay {
    pub(crate) ledger: JobLedger,
    pub(crate) view: ReplayView,
    pub(crate) runs: Vec<ReplayRun>,
    /// When jobs were completed.
    pub(crate) completed: IndexMap<JobKey, u64>,
}

impl Replay {
    pub(crate) fn new(ledger: JobLedger) -> Self {
        let usable = |(index, _)| {
            let outlook = WorkerOutlook {
                usable: true,
                ..WorkerOutlook::default()
            };
            (index, outlook)
        };
        let view = ReplayView {
            outlooks: ledger.workers().map(usable).collect(),
            ..ReplayView::default()
        };
        Self {
            ledger,
            view,
            runs: Vec::new(),
            completed: IndexMap::new(),
        }
    }

    /// Starts what fits, in the order that `order` gives.
    pub(crate) fn place(
        &mut self,
        order: impl Fn(&JobLedger, &ReplayView) -> Vec<WaitingStep>,
        work_ms: impl Fn(TaskKey) -> f64,
    ) {
        let known = std::mem::take(&mut self.view.waiting_since);
        let now_ms = self.view.now_ms;
        let ready = self.ledger.ready_steps();
        let ready = ready.map(|(key, _)| (key, known.get(&key).copied().unwrap_or(now_ms)));
        self.view.waiting_since = ready.collect();
        let steps = order(&self.ledger, &self.view);
        let outlooks = &self.view.outlooks;
        let rooms = rooms(&self.ledger, |index| outlooks[&index].clone());
        let choices = choose_in_order(&self.ledger, rooms, &self.view, &steps);
        let command = LedgerCommand::Start {
            choices: choices.clone(),
        };
        let LedgerOutcome::Started(started) = apply(&mut self.ledger, command) else {
            panic!("a start answers what it started");
        };
        for (choice, started) in choices.into_iter().zip(started) {
            assert!(started, "{} was chosen and not committed", choice.task);
            self.runs.push(ReplayRun {
                task: choice.task,
                run: choice.run,
                worker: choice.worker,
                begun_ms: now_ms,
                left_ms: work_ms(choice.task),
            });
        }
    }

    /// Ends the runs whose work is done.
    pub(crate) fn finish(&mut self) {
        let (done, left) = std::mem::take(&mut self.runs)
            .into_iter()
            .partition::<Vec<_>, _>(|run| run.left_ms <= 0.0);
        self.runs = left;
        for run in done {
            self.end(&run, RunEnding::Done);
        }
        for (key, job) in self.ledger.jobs() {
            if job.phase == JobPhase::Completed {
                self.completed.entry(key).or_insert(self.view.now_ms);
            }
        }
    }

    pub(crate) fn end(&mut self, run: &ReplayRun, ending: RunEnding) {
        if ending == RunEnding::Done {
            let queue = self
                .ledger
                .job(run.task.step.job)
                .map(|job| Arc::clone(&job.queue));
            let took = Duration::from_millis(self.view.now_ms - run.begun_ms);
            if let Some(queue) = queue {
                self.view.run_times.learn(&queue, took);
            }
        }
        let number = self.ledger.worker(run.worker).unwrap().last_end + 1;
        let end = RunEnd {
            number,
            task: run.task,
            run: run.run,
            ending,
            saved: Arc::from(""),
        };
        let command = LedgerCommand::NoteEnds {
            worker: run.worker,
            ends: vec![end],
        };
        apply(&mut self.ledger, command);
    }
}
