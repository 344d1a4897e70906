//! In-process worker that obeys leases as the platform's workers do.
//!
//! The worker implements `WorkerApi` without a network: tests connect it to an agent directly,
//! and the soak test serves it over HTTP.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

pub use crate::run_history::RecordedRun;
pub use crate::run_history::RunHistory;
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

/// Payload of tasks that run until they are stopped or their lease expires.
pub const LONG_RUNNING_PAYLOAD: &str = "long-running";
/// Payload of tasks that fail after their service time.
pub const FAILING_PAYLOAD: &str = "failing";

/// Longest lease that the worker accepts, in milliseconds.
const LEASE_MAX_MS: u64 = 6_000;
/// CPU share of a run that has just started, in percent.
const STARTING_SHARE_PERCENT: u32 = 100;

/// Run that the worker is executing.
struct ActiveRun {
    task: TaskKey,
    run: RunNumber,
    /// CPU share of the run, in percent.
    cpu_share: u32,
    /// Time at which the run ends by itself; none for a long-running task.
    ends_at: Option<Instant>,
    /// Outcome of the run if it ends by itself.
    outcome: RunOutcome,
}

/// State of the worker, shared by its clones.
struct WorkerState {
    started_at: Instant,
    /// Start of the incarnation as the worker reports it, if it does.
    started_ms: Option<u64>,
    /// Number of restarts.
    restarts: u64,
    /// Starts that wait until [`SimulatedWorker::carry_out_held_starts`].
    held_starts: Vec<StartOrder>,
    /// End of the lease, in milliseconds on the worker's clock.
    deadline_ms: u64,
    runs: Vec<ActiveRun>,
    /// Completions that the agent has not acknowledged.
    completions: Vec<RunCompletion>,
    next_completion: u64,
    /// Runs that have ended or were stopped: starts of the same and of earlier runs are refused.
    ended_runs: Vec<(TaskKey, RunNumber)>,
    /// Measurements that the reports contain, by task; 0 for other tasks.
    measurements: IndexMap<TaskKey, u64>,
}

impl WorkerState {
    /// State of an incarnation that starts now.
    fn new(started_ms: Option<u64>, restarts: u64) -> Self {
        Self {
            started_at: Instant::now(),
            started_ms,
            restarts,
            held_starts: Vec::new(),
            deadline_ms: 0,
            runs: Vec::new(),
            completions: Vec::new(),
            next_completion: 1,
            ended_runs: Vec::new(),
            measurements: IndexMap::new(),
        }
    }

    /// Extends the lease to a deadline on the worker's clock, or as far as a lease may reach.
    fn extend_lease(&mut self, deadline_ms: u64) {
        let longest_ms = clock_ms(self) + LEASE_MAX_MS;
        self.deadline_ms = self.deadline_ms.max(deadline_ms.min(longest_ms));
    }
}

/// Simulated worker that obeys its lease; clones share the worker.
///
/// Its clock starts at 1000 ms. The methods don't use fencing tokens or incarnations.
#[derive(Clone)]
pub struct SimulatedWorker {
    index: usize,
    state: Arc<Mutex<WorkerState>>,
    history: RunHistory,
    service_time: Duration,
    /// Whether the worker leaves all calls unanswered and ignores them.
    pub silent: Arc<AtomicBool>,
    /// Whether the worker refuses starts for lack of free capacity.
    pub out_of_capacity: Arc<AtomicBool>,
    /// Whether each run that the worker starts fails at once, also one of a long-running task.
    pub fails_runs: Arc<AtomicBool>,
    /// Whether the worker executes starts but leaves them unanswered.
    pub drops_answers: Arc<AtomicBool>,
    /// Whether the worker leaves starts unanswered and holds them until it is told to carry them out.
    pub holds_starts: Arc<AtomicBool>,
    /// Whether renewals that were open at a restart stay without an answer for 500 ms.
    pub answers_late: Arc<AtomicBool>,
}

impl SimulatedWorker {
    /// Creates a worker whose tasks take `service_time`; its runs are recorded in `history`.
    pub fn new(index: usize, service_time: Duration, history: RunHistory) -> Self {
        Self {
            index,
            state: Arc::new(Mutex::new(WorkerState::new(None, 0))),
            history,
            service_time,
            silent: Arc::default(),
            out_of_capacity: Arc::default(),
            fails_runs: Arc::default(),
            drops_answers: Arc::default(),
            holds_starts: Arc::default(),
            answers_late: Arc::default(),
        }
    }

    /// Ends the incarnation with all its runs and starts the next one, which reports that it started at
    /// `started_ms` and knows nothing of before. Held starts stay held.
    pub fn restart(&self, started_ms: u64) {
        self.end_all_runs();
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let held_starts = std::mem::take(&mut state.held_starts);
        *state = WorkerState::new(Some(started_ms), state.restarts + 1);
        state.held_starts = held_starts;
    }

    /// Falls silent and ends all runs, until the next restart.
    pub fn crash(&self) {
        self.silent.store(true, Ordering::Relaxed);
        self.end_all_runs();
    }

    fn end_all_runs(&self) {
        self.advance();
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        self.void_completions(&state);
        while !state.runs.is_empty() {
            self.end_run(&mut state, 0, RunOutcome::Lapsed);
        }
    }

    fn restarts(&self) -> u64 {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.restarts
    }

    /// Start of the present incarnation as the worker reports it; none before its first restart.
    pub fn started_ms(&self) -> Option<u64> {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.started_ms
    }

    /// Number of starts that the worker holds.
    pub fn held_starts(&self) -> usize {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.held_starts.len()
    }

    /// Carries out the held starts, in the incarnation of now, with no answer.
    pub fn carry_out_held_starts(&self) {
        self.advance();
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        for order in std::mem::take(&mut state.held_starts) {
            self.carry_out_start(&mut state, order);
        }
    }

    /// Starts a run unless it has to be refused.
    fn carry_out_start(&self, state: &mut WorkerState, order: StartOrder) -> OrderAnswer {
        if order.deadline_ms < clock_ms(state) {
            return OrderAnswer::Refused(OrderRefusal::Late);
        }
        // A start that is refused as old extends the lease, too.
        state.extend_lease(order.deadline_ms);
        let is_superseded =
            |(task, run): &(TaskKey, RunNumber)| *task == order.task && *run >= order.run;
        if state.ended_runs.iter().any(is_superseded) {
            return OrderAnswer::Refused(OrderRefusal::Old);
        }
        let is_running = state
            .runs
            .iter()
            .any(|run| run.task == order.task && run.run == order.run);
        if !is_running {
            self.begin_run(state, &order);
        }
        OrderAnswer::Done
    }

    /// Begins a run and records it in the history.
    fn begin_run(&self, state: &mut WorkerState, order: &StartOrder) {
        let (run_time, outcome) = if self.fails_runs.load(Ordering::Relaxed) {
            (Some(Duration::ZERO), RunOutcome::Failed)
        } else {
            match &*order.payload {
                LONG_RUNNING_PAYLOAD => (None, RunOutcome::Done),
                FAILING_PAYLOAD => (Some(self.service_time), RunOutcome::Failed),
                _ => (Some(self.service_time), RunOutcome::Done),
            }
        };
        state.runs.push(ActiveRun {
            task: order.task,
            run: order.run,
            cpu_share: STARTING_SHARE_PERCENT,
            ends_at: run_time.map(|run_time| Instant::now() + run_time),
            outcome,
        });
        self.history.record_start(self.index, order.task, order.run);
    }

    /// Sets the measurement that the following reports contain for a task.
    pub fn set_measurement(&self, task: TaskKey, measurement: u64) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.measurements.insert(task, measurement);
    }

    /// CPU share of the active run of a task, in percent; none while the task does not run.
    pub fn cpu_share(&self, task: TaskKey) -> Option<u32> {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let run = state.runs.iter().find(|run| run.task == task);
        run.map(|run| run.cpu_share)
    }

    /// Ends the run at an index and records its completion.
    fn end_run(&self, state: &mut WorkerState, index: usize, outcome: RunOutcome) {
        let run = state.runs.remove(index);
        state.ended_runs.push((run.task, run.run));
        state.completions.push(RunCompletion {
            number: state.next_completion,
            task: run.task,
            run: run.run,
            outcome,
            checkpoint: Arc::from(""),
        });
        state.next_completion += 1;
        self.history
            .record_end(self.index, run.task, run.run, outcome);
    }

    /// Marks the runs of unacknowledged completions as void.
    fn void_completions(&self, state: &WorkerState) {
        for completion in &state.completions {
            self.history.void(completion.task, completion.run);
        }
    }

    /// Advances the worker to the current time: runs complete after their service time, and all
    /// lapse if the lease has expired.
    pub fn advance(&self) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        let lease_expired = clock_ms(&state) > state.deadline_ms;
        if lease_expired {
            self.void_completions(&state);
        }
        while let Some(index) = state
            .runs
            .iter()
            .position(|run| lease_expired || run.ends_at.is_some_and(|ends_at| ends_at <= now))
        {
            let outcome = if lease_expired {
                RunOutcome::Lapsed
            } else {
                state.runs[index].outcome
            };
            self.end_run(&mut state, index, outcome);
        }
    }

    /// Drops the acknowledged completions and returns a report, unless there is no completion to
    /// report and the wait is not over.
    fn take_report(&self, last_completion: u64, is_due: bool) -> Option<RenewalReport> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state
            .completions
            .retain(|completion| completion.number > last_completion);
        if state.completions.is_empty() && !is_due {
            return None;
        }
        let running = state.runs.iter().map(|run| RunStatus {
            task: run.task,
            run: run.run,
            checkpoint: Arc::from(""),
            progress_percent: 50,
            measurement: state.measurements.get(&run.task).copied().unwrap_or(0),
        });
        Some(RenewalReport {
            clock_ms: clock_ms(&state),
            started_ms: state.started_ms,
            running: running.collect(),
            completions: state.completions.clone(),
            acknowledge_max: None,
            omits_runs: false,
            omits_completions: false,
        })
    }

    /// Whether the worker answers calls; waits for 100 ms first if it doesn't.
    async fn is_answering(&self) -> bool {
        if self.silent.load(Ordering::Relaxed) {
            tokio::time::sleep(Duration::from_millis(100)).await;
            return false;
        }
        true
    }
}

/// Reading of the worker's clock, in milliseconds.
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
        if !self.is_answering().await {
            return OrderAnswer::Unanswered;
        }
        if self.out_of_capacity.load(Ordering::Relaxed) {
            return OrderAnswer::Refused(OrderRefusal::Room);
        }
        self.advance();
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if self.holds_starts.load(Ordering::Relaxed) {
            state.held_starts.push(order);
            return OrderAnswer::Unanswered;
        }
        let answer = self.carry_out_start(&mut state, order);
        if answer == OrderAnswer::Done && self.drops_answers.load(Ordering::Relaxed) {
            return OrderAnswer::Unanswered;
        }
        answer
    }

    async fn stop(
        &self,
        _worker: WorkerKey,
        _fencing_token: u64,
        task: TaskKey,
        run: RunNumber,
    ) -> OrderAnswer {
        if !self.is_answering().await {
            return OrderAnswer::Unanswered;
        }
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.ended_runs.push((task, run));
        let index = state
            .runs
            .iter()
            .position(|known| known.task == task && known.run == run);
        if let Some(index) = index {
            self.end_run(&mut state, index, RunOutcome::Stopped);
        }
        OrderAnswer::Done
    }

    async fn set_cpu_share(
        &self,
        _worker: WorkerKey,
        _fencing_token: u64,
        task: TaskKey,
        run: RunNumber,
        percent: u32,
    ) -> OrderAnswer {
        if !self.is_answering().await {
            return OrderAnswer::Unanswered;
        }
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let active = state
            .runs
            .iter_mut()
            .find(|active| active.task == task && active.run == run);
        let Some(active) = active else {
            return OrderAnswer::Refused(OrderRefusal::Old);
        };
        active.cpu_share = percent;
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
        if !self.is_answering().await {
            return RenewalAnswer::Unanswered;
        }
        self.advance();
        let restarts = {
            let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
            state.extend_lease(deadline_ms.unwrap_or(0));
            state.restarts
        };
        let wait_ends_at = Instant::now() + wait;
        loop {
            if self.restarts() != restarts && self.answers_late.load(Ordering::Relaxed) {
                tokio::time::sleep(Duration::from_millis(500)).await;
            }
            if self.silent.load(Ordering::Relaxed) || self.restarts() != restarts {
                return RenewalAnswer::Unanswered;
            }
            self.advance();
            if let Some(report) = self.take_report(last_completion, Instant::now() >= wait_ends_at)
            {
                return RenewalAnswer::Report(report);
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
}
