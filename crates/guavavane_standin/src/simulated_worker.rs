//! A worker that keeps leases as the platform's workers do, and what all of them have run.
//!
//! It knows no wire: tests plug it into an agent as it is, the soak puts HTTP in front of it.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use guavavane_cell::prelude::OrderAnswer;
use guavavane_cell::prelude::OrderRefusal;
use guavavane_cell::prelude::RenewalAnswer;
use guavavane_cell::prelude::RenewalReport;
use guavavane_cell::prelude::RunStatus;
use guavavane_cell::prelude::StartOrder;
use guavavane_cell::prelude::WorkerApi;
use guavavane_jobs::prelude::RunCompletion;
use guavavane_jobs::prelude::RunNumber;
use guavavane_jobs::prelude::RunOutcome;
use guavavane_jobs::prelude::TaskKey;
use guavavane_jobs::prelude::WorkerKey;

/// A run that all workers know of, to see two at the same time.
#[derive(Clone, Debug, PartialEq)]
pub struct SeenRun {
    /// The task.
    pub task: TaskKey,
    /// The run.
    pub run: RunNumber,
    /// Index of the worker.
    pub worker: usize,
    /// When it started.
    pub started_at: Instant,
    /// When it ended.
    pub ended: Option<Instant>,
    /// How it ended.
    pub outcome: Option<RunOutcome>,
    /// Whether the lease of its worker expired before its completion was recorded: the completion
    /// is void, and the task may run again.
    pub void: bool,
}

/// What all workers have run.
#[derive(Clone, Default)]
pub struct RunHistory(Arc<Mutex<Vec<SeenRun>>>);

impl RunHistory {
    /// All runs so far.
    pub fn all(&self) -> Vec<SeenRun> {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Panics if two runs of a task overlap, or one begins after one was done.
    pub fn assert_no_duplicate_runs(&self) {
        if let Some(fault) = self.fault() {
            panic!("{fault}");
        }
    }

    /// Two runs of a task that overlap, or one that begins after one was done.
    pub fn fault(&self) -> Option<String> {
        let runs = self.all();
        for (index, one) in runs.iter().enumerate() {
            for other in &runs[index + 1..] {
                if one.task != other.task {
                    continue;
                }
                let ended = one.ended.is_some_and(|ended| ended <= other.started_at);
                let done = one.outcome == Some(RunOutcome::Done) && !one.void;
                if !ended || done {
                    return Some(format!("{} runs twice: {one:?} {other:?}", one.task));
                }
            }
        }
        None
    }
}

struct LocalRun {
    task: TaskKey,
    run: RunNumber,
    ends_at: Instant,
}

struct WorkerState {
    started_at: Instant,
    deadline_ms: u64,
    runs: Vec<LocalRun>,
    completions: Vec<RunCompletion>,
    next_completion: u64,
    refused: Vec<(TaskKey, RunNumber)>,
}

/// A worker that keeps leases, as the platform's do.
#[derive(Clone)]
pub struct SimulatedWorker {
    index: usize,
    state: Arc<Mutex<WorkerState>>,
    history: RunHistory,
    work: Duration,
    /// Whether it answers nothing.
    pub silent: Arc<AtomicBool>,
    /// Whether it refuses starts for lack of free capacity.
    pub out_of_capacity: Arc<AtomicBool>,
    /// Whether it executes starts and leaves them unanswered.
    pub drops_answers: Arc<AtomicBool>,
}

impl SimulatedWorker {
    /// A worker whose tasks take `work`.
    pub fn new(index: usize, work: Duration, history: RunHistory) -> Self {
        let state = WorkerState {
            started_at: Instant::now(),
            deadline_ms: 0,
            runs: Vec::new(),
            completions: Vec::new(),
            next_completion: 1,
            refused: Vec::new(),
        };
        Self {
            index,
            state: Arc::new(Mutex::new(state)),
            history,
            work,
            silent: Arc::default(),
            out_of_capacity: Arc::default(),
            drops_answers: Arc::default(),
        }
    }

    fn end_run(&self, state: &mut WorkerState, at: usize, outcome: RunOutcome) {
        let run = state.runs.remove(at);
        state.refused.push((run.task, run.run));
        state.completions.push(RunCompletion {
            number: state.next_completion,
            task: run.task,
            run: run.run,
            outcome,
            checkpoint: Arc::from(""),
        });
        state.next_completion += 1;
        let mut history = self
            .history
            .0
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let seen = history
            .iter_mut()
            .find(|seen| seen.task == run.task && seen.run == run.run);
        if let Some(seen) = seen {
            seen.ended = Some(Instant::now());
            seen.outcome = Some(outcome);
        }
    }

    /// Marks the completions that are not acknowledged as void.
    fn void_completions(&self, state: &WorkerState) {
        let mut history = self
            .history
            .0
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        for completion in &state.completions {
            let seen = history
                .iter_mut()
                .find(|seen| seen.task == completion.task && seen.run == completion.run);
            if let Some(seen) = seen {
                seen.void = true;
            }
        }
    }

    /// Advances the runs to the current time: they end, or lapse with the lease.
    pub fn advance(&self) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        let lapsed = clock_ms(&state) > state.deadline_ms;
        if lapsed {
            self.void_completions(&state);
        }
        while let Some(at) = state
            .runs
            .iter()
            .position(|run| lapsed || run.ends_at <= now)
        {
            let outcome = if lapsed {
                RunOutcome::Lapsed
            } else {
                RunOutcome::Done
            };
            self.end_run(&mut state, at, outcome);
        }
    }

    /// Renewal report, if a completion is to be reported or the wait is over.
    fn report(&self, last_completion: u64, due: bool) -> Option<RenewalReport> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state
            .completions
            .retain(|completion| completion.number > last_completion);
        if state.completions.is_empty() && !due {
            return None;
        }
        let running = state.runs.iter().map(|run| RunStatus {
            task: run.task,
            run: run.run,
            checkpoint: Arc::from(""),
            progress_percent: 50,
            measurement: 0,
        });
        Some(RenewalReport {
            clock_ms: clock_ms(&state),
            started_ms: None,
            running: running.collect(),
            completions: state.completions.clone(),
        })
    }

    async fn answers(&self) -> bool {
        if self.silent.load(Ordering::Relaxed) {
            tokio::time::sleep(Duration::from_millis(100)).await;
            return false;
        }
        true
    }
}

fn clock_ms(state: &WorkerState) -> u64 {
    state.started_at.elapsed().as_millis() as u64 + 1_000
}

impl WorkerApi for SimulatedWorker {
    async fn start(
        &self,
        _worker: WorkerKey,
        _fencing_token: u64,
        order: StartOrder,
    ) -> OrderAnswer {
        if !self.answers().await {
            return OrderAnswer::Unanswered;
        }
        if self.out_of_capacity.load(Ordering::Relaxed) {
            return OrderAnswer::Refused(OrderRefusal::Room);
        }
        self.advance();
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if order.deadline_ms < clock_ms(&state) {
            return OrderAnswer::Refused(OrderRefusal::Late);
        }
        let old = |(task, run): &(TaskKey, RunNumber)| *task == order.task && *run >= order.run;
        if state.refused.iter().any(old) {
            return OrderAnswer::Refused(OrderRefusal::Old);
        }
        state.deadline_ms = state.deadline_ms.max(order.deadline_ms);
        let there = state
            .runs
            .iter()
            .any(|run| run.task == order.task && run.run == order.run);
        let ended = state
            .completions
            .iter()
            .any(|completion| completion.task == order.task && completion.run == order.run);
        if !there && !ended {
            state.runs.push(LocalRun {
                task: order.task,
                run: order.run,
                ends_at: Instant::now() + self.work,
            });
            self.history
                .0
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .push(SeenRun {
                    task: order.task,
                    run: order.run,
                    worker: self.index,
                    started_at: Instant::now(),
                    ended: None,
                    outcome: None,
                    void: false,
                });
        }
        if self.drops_answers.load(Ordering::Relaxed) {
            return OrderAnswer::Unanswered;
        }
        OrderAnswer::Done
    }

    async fn stop(
        &self,
        _worker: WorkerKey,
        _fencing_token: u64,
        task: TaskKey,
        run: RunNumber,
    ) -> OrderAnswer {
        if !self.answers().await {
            return OrderAnswer::Unanswered;
        }
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.refused.push((task, run));
        let at = state
            .runs
            .iter()
            .position(|known| known.task == task && known.run == run);
        if let Some(at) = at {
            self.end_run(&mut state, at, RunOutcome::Stopped);
        }
        OrderAnswer::Done
    }

    async fn set_cpu_share(
        &self,
        _worker: WorkerKey,
        _fencing_token: u64,
        _task: TaskKey,
        _run: RunNumber,
        _percent: u32,
    ) -> OrderAnswer {
        OrderAnswer::Done
    }

    async fn renew_lease(
        &self,
        _worker: WorkerKey,
        _fencing_token: u64,
        last_completion: u64,
        deadline_ms: Option<u64>,
        wait: Duration,
    ) -> RenewalAnswer {
        if !self.answers().await {
            return RenewalAnswer::Unanswered;
        }
        self.advance();
        if let Some(deadline_ms) = deadline_ms {
            let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
            state.deadline_ms = state.deadline_ms.max(deadline_ms);
        }
        let until = Instant::now() + wait;
        loop {
            if self.silent.load(Ordering::Relaxed) {
                return RenewalAnswer::Unanswered;
            }
            self.advance();
            if let Some(report) = self.report(last_completion, Instant::now() >= until) {
                return RenewalAnswer::Report(report);
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
}
