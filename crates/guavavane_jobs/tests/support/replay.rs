//! Replays a load against the scheduling decisions, with simulated workers and simulated time.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;

use super::apply;
use guavavane_jobs::ledger::WorkerIndex;
use guavavane_jobs::plan::capacity::WorkerCondition;
use guavavane_jobs::plan::capacity_table::CapacityTable;
use guavavane_jobs::plan::interference::InterferenceModel;
use guavavane_jobs::plan::order::WaitingStep;
use guavavane_jobs::plan::pass::choose_starts;
use guavavane_jobs::plan::pass::PassInput;
use guavavane_jobs::plan::slack::RunTimes;
use guavavane_jobs::prelude::JobKey;
use guavavane_jobs::prelude::JobLedger;
use guavavane_jobs::prelude::JobPhase;
use guavavane_jobs::prelude::LedgerCommand;
use guavavane_jobs::prelude::LedgerOutcome;
use guavavane_jobs::prelude::RunCompletion;
use guavavane_jobs::prelude::RunNumber;
use guavavane_jobs::prelude::RunOutcome;
use guavavane_jobs::prelude::StepKey;
use guavavane_jobs::prelude::TaskKey;
use guavavane_model::prelude::BootTime;

/// State of the replay that the scheduling decisions read.
#[derive(Default)]
pub(crate) struct ReplayView {
    pub(crate) now_ms: u64,
    pub(crate) interference: InterferenceModel,
    pub(crate) run_times: RunTimes,
    pub(crate) conditions: IndexMap<WorkerIndex, WorkerCondition>,
    pub(crate) waiting_since: IndexMap<StepKey, u64>,
    /// Jobs whose latest runs have failed.
    pub(crate) failing: IndexSet<JobKey>,
}

impl PassInput for ReplayView {
    fn checkpoint(&self, _task: TaskKey) -> Option<Arc<str>> {
        None
    }

    fn run_times(&self) -> &RunTimes {
        &self.run_times
    }

    fn interference(&self) -> &InterferenceModel {
        &self.interference
    }

    fn now(&self) -> BootTime {
        BootTime::from_millis(self.now_ms)
    }

    fn time_of_day_ms(&self) -> u64 {
        self.now_ms
    }

    fn allowed_workers(&self, _step: StepKey) -> IndexSet<WorkerIndex> {
        IndexSet::new()
    }

    fn is_failing(&self, job: JobKey) -> bool {
        self.failing.contains(&job)
    }

    fn waiting_time(&self, step: StepKey) -> Duration {
        let since = self.waiting_since.get(&step).copied();
        Duration::from_millis(self.now_ms - since.unwrap_or(self.now_ms))
    }
}

/// A run in progress.
pub(crate) struct ReplayRun {
    pub(crate) task: TaskKey,
    pub(crate) run: RunNumber,
    pub(crate) worker: WorkerIndex,
    pub(crate) started_ms: u64,
    pub(crate) remaining_ms: f64,
}

/// A simulated cell.
pub(crate) struct Replay {
    pub(crate) ledger: JobLedger,
    pub(crate) view: ReplayView,
    pub(crate) runs: Vec<ReplayRun>,
    /// Time of completion by job, in milliseconds of simulated time.
    pub(crate) completed: IndexMap<JobKey, u64>,
    /// Capacities as of the latest pass.
    pub(crate) table: CapacityTable,
}

impl Replay {
    pub(crate) fn new(ledger: JobLedger) -> Self {
        let schedulable_worker = |(index, _)| {
            let condition = WorkerCondition {
                schedulable: true,
                ..WorkerCondition::default()
            };
            (index, condition)
        };
        let view = ReplayView {
            conditions: ledger.workers().map(schedulable_worker).collect(),
            ..ReplayView::default()
        };
        Self {
            ledger,
            view,
            runs: Vec::new(),
            completed: IndexMap::new(),
            table: CapacityTable::default(),
        }
    }

    /// Runs one scheduling pass over the steps in the order that `order` gives, and starts the
    /// chosen tasks.
    pub(crate) fn run_pass(
        &mut self,
        order: impl Fn(&JobLedger, &ReplayView) -> Vec<WaitingStep>,
        run_time_ms: impl Fn(TaskKey) -> f64,
    ) {
        let previous = std::mem::take(&mut self.view.waiting_since);
        let now_ms = self.view.now_ms;
        let ready = self.ledger.ready_steps();
        let ready = ready.map(|(key, _)| (key, previous.get(&key).copied().unwrap_or(now_ms)));
        self.view.waiting_since = ready.collect();
        let steps = order(&self.ledger, &self.view);
        let conditions = &self.view.conditions;
        let mut table = CapacityTable::new(&self.ledger, &self.view.interference, |index| {
            conditions[&index].clone()
        });
        let choices = choose_starts(&self.ledger, &mut table, &self.view, &steps);
        let command = LedgerCommand::Start {
            choices: choices.clone(),
        };
        let LedgerOutcome::Started(started) = apply(&mut self.ledger, command) else {
            panic!("the reply to a start lists the accepted starts");
        };
        self.table = table;
        for (choice, started) in choices.into_iter().zip(started) {
            assert!(started, "{} was chosen and not committed", choice.task);
            self.runs.push(ReplayRun {
                task: choice.task,
                run: choice.run,
                worker: choice.worker,
                started_ms: now_ms,
                remaining_ms: run_time_ms(choice.task),
            });
        }
    }

    /// Completes the runs whose remaining time is over, and records completed jobs.
    pub(crate) fn complete_finished_runs(&mut self) {
        let (finished, unfinished) = std::mem::take(&mut self.runs)
            .into_iter()
            .partition::<Vec<_>, _>(|run| run.remaining_ms <= 0.0);
        self.runs = unfinished;
        for run in finished {
            self.end_run(&run, RunOutcome::Done);
        }
        for (key, job) in self.ledger.jobs() {
            if job.phase == JobPhase::Completed {
                self.completed.entry(key).or_insert(self.view.now_ms);
            }
        }
    }

    pub(crate) fn end_run(&mut self, run: &ReplayRun, outcome: RunOutcome) {
        if outcome == RunOutcome::Done {
            let queue = self
                .ledger
                .job(run.task.step.job)
                .map(|job| Arc::clone(&job.queue));
            let run_time = Duration::from_millis(self.view.now_ms - run.started_ms);
            if let Some(queue) = queue {
                self.view.run_times.learn(&queue, run_time);
            }
        }
        let number = self.ledger.worker(run.worker).unwrap().last_completion + 1;
        let completion = RunCompletion {
            number,
            task: run.task,
            run: run.run,
            outcome,
            checkpoint: Arc::from(""),
        };
        let command = LedgerCommand::NoteEnds {
            worker: run.worker,
            completions: vec![completion],
        };
        apply(&mut self.ledger, command);
    }
}
