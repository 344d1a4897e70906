//! Choice of the runs that get a copy, and of the workers for the copies.
//!
//! Guards against late jobs because of a few slow runs, and against copies that take capacity from
//! other work, run on the VM or rack of the first run, or start although nothing is known of run times.

#![allow(clippy::unwrap_used, reason = "a test may fail by unwrapping")]

mod support;

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::support::add_worker;
use crate::support::add_worker_with;
use crate::support::apply;
use crate::support::job_with_steps;
use crate::support::ledger_with_queue;
use crate::support::put_catalog;
use crate::support::random_commands::start_of;
use crate::support::raw_catalog;
use crate::support::raw_queue;
use crate::support::raw_step;
use crate::support::replay::Replay;
use crate::support::replay::ReplayRun;
use crate::support::replay::ReplayView;
use crate::support::submit;
use crate::support::submit_at;
use guavavane_jobs::ledger::WorkerIndex;
use guavavane_jobs::plan::capacity_table::CapacityTable;
use guavavane_jobs::plan::order::waiting_steps;
use guavavane_jobs::plan::speculation::choose_copies;
use guavavane_jobs::plan::speculation::CopyObstacle;
use guavavane_jobs::plan::speculation::CopyPlan;
use guavavane_jobs::plan::speculation::OverdueRun;
use guavavane_jobs::plan::speculation::SpeculationWatch;
use guavavane_jobs::plan::speculation::StepRunTimes;
use guavavane_jobs::prelude::AdviceTiming;
use guavavane_jobs::prelude::JobKey;
use guavavane_jobs::prelude::JobLedger;
use guavavane_jobs::prelude::LedgerCommand;
use guavavane_jobs::prelude::LedgerOutcome;
use guavavane_jobs::prelude::RawQueue;
use guavavane_jobs::prelude::RawStep;
use guavavane_jobs::prelude::RunNumber;
use guavavane_jobs::prelude::RunOutcome;
use guavavane_jobs::prelude::StartChoice;
use guavavane_jobs::prelude::StepKey;
use guavavane_jobs::prelude::TaskKey;
use guavavane_model::prelude::BootTime;
use guavavane_model::prelude::ResourceVector;

/// Run time of an ordinary run.
const RUN_TIME_MS: u64 = 1_000;
/// Time by which a job is late: twice its critical path and a latency of a second.
const OBJECTIVE_MS: u64 = 3_000;
/// Time between two scheduling passes of the replay.
const TICK_MS: u64 = 50;
/// Time in which jobs are submitted.
const SUBMISSION_MS: u64 = 60_000;
/// Workers of 16 cores, three on each rack.
const WORKERS: u32 = 12;
/// Tasks of a job, of one core each.
const TASKS: u64 = 4;

fn queue() -> Arc<str> {
    Arc::from("tally")
}

fn speculative_step(tasks: u64) -> RawStep {
    RawStep {
        speculative: true,
        ..raw_step(tasks)
    }
}

fn first_task(job: JobKey) -> TaskKey {
    let step = StepKey {
        job,
        occurrence: 0,
        step: 0,
    };
    step.task(0)
}

/// Run times of which 3 in 100 are seven times as long as the others.
fn tailed_run_times() -> StepRunTimes {
    let mut run_times = StepRunTimes::default();
    for number in 0..200 {
        let factor = if number % 33 == 0 { 7 } else { 1 };
        run_times.learn(
            &queue(),
            0,
            Duration::from_millis(RUN_TIME_MS * factor),
            true,
        );
    }
    run_times
}

// Guards against copies by declared run times, or by a few observed ones.
#[test]
fn a_threshold_needs_observed_run_times() {
    let mut run_times = StepRunTimes::default();
    for _ in 0..20 {
        run_times.learn(&queue(), 0, Duration::from_millis(RUN_TIME_MS), true);
    }
    assert_eq!(run_times.copy_delay("tally", 0), None);
    let delay = tailed_run_times().copy_delay("tally", 0).unwrap();
    assert!(delay > Duration::from_millis(RUN_TIME_MS), "{delay:?}");
    assert!(delay < Duration::from_millis(2 * RUN_TIME_MS), "{delay:?}");
    assert_eq!(tailed_run_times().copy_delay("tally", 1), None);
    assert_eq!(tailed_run_times().copy_delay("other", 0), None);
}

// Guards against copies where run times vary by nature, so that a copy takes as long as what is left.
#[test]
fn run_times_without_a_long_tail_start_no_copies() {
    let mut run_times = StepRunTimes::default();
    for number in 1..=200 {
        // Quantiles of an exponential distribution.
        let fraction = (f64::from(number) - 0.5) / 200.0;
        let run_time = Duration::from_secs_f64(-(1.0 - fraction).ln());
        run_times.learn(&queue(), 0, run_time, true);
    }
    assert_eq!(run_times.copy_delay("tally", 0), None);
}

// Guards against copies that end because nobody sees a long run time any more: each straggler is
// stopped soon after its copy has started.
#[test]
fn stopped_runs_keep_copies_worth_their_cost() {
    let mut run_times = StepRunTimes::default();
    for number in 0..2_000 {
        let is_slow = number % 33 == 0;
        let factor = if is_slow { 2.5 } else { 1.0 };
        let run_time = Duration::from_millis(RUN_TIME_MS).mul_f64(factor);
        run_times.learn(&queue(), 0, run_time, !is_slow);
    }
    assert!(run_times.copy_delay("tally", 0).is_some());
}

/// Cell with one run of a job, which has passed its threshold.
struct Overdue {
    ledger: JobLedger,
    view: ReplayView,
    run: OverdueRun,
}

impl Overdue {
    fn new(mut ledger: JobLedger, worker: WorkerIndex, step: RawStep) -> Self {
        let job = submit(&mut ledger, 1, job_with_steps(vec![step]));
        let task = first_task(job);
        let choices = vec![start_of(task, RunNumber(1), worker)];
        apply(&mut ledger, LedgerCommand::Start { choices });
        let view = Replay::new(ledger.clone()).view;
        Self {
            ledger,
            view,
            run: OverdueRun {
                task,
                run: RunNumber(1),
                started_at: BootTime::from_millis(0),
                delay: Duration::from_secs(1),
            },
        }
    }

    fn plan(&self) -> CopyPlan {
        self.plan_after(&[])
    }

    fn plan_after(&self, starts: &[StartChoice]) -> CopyPlan {
        let conditions = &self.view.conditions;
        let mut table = CapacityTable::new(&self.ledger, &self.view.interference, |index| {
            conditions.get(&index).cloned().unwrap_or_default()
        });
        choose_copies(&self.ledger, &mut table, &self.view, starts, vec![self.run])
    }

    fn obstacle(&self) -> CopyObstacle {
        let plan = self.plan();
        assert!(plan.choices.is_empty());
        plan.refused[0].1
    }
}

/// Ledger with workers 1 and 2 on one rack, and 3 on another one.
fn ledger_with_racks() -> (JobLedger, Vec<WorkerIndex>) {
    let mut ledger = ledger_with_queue();
    let workers = (1..=3).map(|number| add_worker(&mut ledger, number));
    let workers = workers.collect();
    (ledger, workers)
}

// Guards against a copy that the fault of a rack or VM takes together with the first run.
#[test]
fn a_copy_runs_on_another_rack_or_at_least_another_vm() {
    let (ledger, workers) = ledger_with_racks();
    let mut overdue = Overdue::new(ledger, workers[0], speculative_step(1));
    let choice = &overdue.plan().choices[0];
    assert_eq!((choice.worker, choice.run), (workers[2], RunNumber(2)));
    let drained = overdue.view.conditions.get_mut(&workers[2]).unwrap();
    drained.schedulable = false;
    assert_eq!(overdue.plan().choices[0].worker, workers[1]);
    let drained = overdue.view.conditions.get_mut(&workers[1]).unwrap();
    drained.schedulable = false;
    assert_eq!(overdue.obstacle(), CopyObstacle::NoWorker);
}

// Guards against copies on workers that a first run could not have.
#[test]
fn copies_respect_labels_excluded_data_centres_and_limits_of_a_worker() {
    let (ledger, workers) = ledger_with_racks();
    let labelled = RawStep {
        required_label: "rack-0".to_owned(),
        ..speculative_step(1)
    };
    let overdue = Overdue::new(ledger.clone(), workers[0], labelled);
    assert_eq!(overdue.obstacle(), CopyObstacle::NoWorker);

    let mut overdue = Overdue::new(ledger.clone(), workers[0], speculative_step(1));
    let data_centre = Arc::from("caxias");
    let command = LedgerCommand::SetExcluded {
        data_centre,
        excluded: true,
    };
    apply(&mut overdue.ledger, command);
    assert_eq!(overdue.obstacle(), CopyObstacle::TooLittleIdle);

    let limited = RawStep {
        per_worker_max: 1,
        ..speculative_step(2)
    };
    let mut overdue = Overdue::new(ledger, workers[0], limited);
    let other = overdue.run.task.step.task(1);
    let choices = vec![start_of(other, RunNumber(1), workers[2])];
    apply(&mut overdue.ledger, LedgerCommand::Start { choices });
    assert_eq!(overdue.obstacle(), CopyObstacle::NoWorker);
}

// Guards against a copy on a worker that the advice service has not allowed, and against a copy that
// never gets a ticket because only waiting steps ask for them.
#[test]
fn a_copy_needs_a_ticket_and_asks_for_one() {
    let (ledger, workers) = ledger_with_racks();
    let mut overdue = Overdue::new(ledger, workers[0], speculative_step(1));
    let mut advised = raw_catalog(2);
    advised.queues[0].advice = Some(AdviceTiming {
        decision_ms: 10,
        interval_ms: 1,
        validity_ms: 1_000,
    });
    put_catalog(&mut overdue.ledger, advised);
    assert_eq!(overdue.obstacle(), CopyObstacle::NoWorker);
    let advice_steps = overdue.plan().advice_steps;
    assert_eq!(advice_steps.len(), 1);
    assert_eq!(advice_steps[0].candidates, [workers[2]]);
}

// Guards against copies that delay first runs, and against none at all because of a step that can
// never run.
#[test]
fn no_copy_starts_while_a_step_waits_that_could_run() {
    let (ledger, workers) = ledger_with_racks();
    let mut overdue = Overdue::new(ledger, workers[0], speculative_step(1));
    let impossible = RawStep {
        demand: ResourceVector::new(1_000_000, 1_000, 0),
        ..raw_step(1)
    };
    submit(&mut overdue.ledger, 2, job_with_steps(vec![impossible]));
    assert_eq!(overdue.plan().choices.len(), 1);
    let job = job_with_steps(vec![raw_step(1)]);
    submit(&mut overdue.ledger, 3, job);
    assert_eq!(overdue.obstacle(), CopyObstacle::StepsWait);
    let starting = first_task(JobKey(3));
    let starts = [start_of(starting, RunNumber(1), workers[1])];
    assert_eq!(overdue.plan_after(&starts).choices.len(), 1);
}

// Guards against a queue of low priority whose steps always wait and so keep all copies from starting.
#[test]
fn steps_of_a_lower_priority_do_not_hold_copies_back() {
    let (ledger, workers) = ledger_with_racks();
    let mut overdue = Overdue::new(ledger, workers[0], speculative_step(1));
    let mut with_batch_queue = raw_catalog(2);
    with_batch_queue.queues.push(RawQueue {
        priority: 2,
        ..raw_queue("batch")
    });
    put_catalog(&mut overdue.ledger, with_batch_queue);
    let command = LedgerCommand::Submit {
        job: JobKey(2),
        queue: Arc::from("batch"),
        spec: Arc::new(job_with_steps(vec![raw_step(1)])),
        accepted_ms: 2_000,
    };
    apply(&mut overdue.ledger, command);
    assert_eq!(overdue.plan().choices.len(), 1);
}

// Guards against copies beyond the budget of a pool.
#[test]
fn copies_are_a_part_of_the_running_tasks_and_of_the_idle_processor() {
    let mut ledger = ledger_with_queue();
    let workers: Vec<WorkerIndex> = (0..6).map(|n| add_worker(&mut ledger, n)).collect();
    let mut overdue = Overdue::new(ledger, workers[0], speculative_step(2));
    let other = overdue.run.task.step.task(1);
    let choices = vec![start_of(other, RunNumber(1), workers[1])];
    apply(&mut overdue.ledger, LedgerCommand::Start { choices });
    let choices = vec![start_of(other, RunNumber(2), workers[3])];
    apply(&mut overdue.ledger, LedgerCommand::StartCopies { choices });
    assert_eq!(overdue.obstacle(), CopyObstacle::TooManyCopies);

    let mut ledger = ledger_with_queue();
    let small = ResourceVector::new(1_200, 64_000, 0);
    let first = add_worker_with(&mut ledger, 1, small);
    add_worker_with(&mut ledger, 4, small);
    let overdue = Overdue::new(ledger, first, speculative_step(1));
    assert_eq!(overdue.obstacle(), CopyObstacle::TooLittleIdle);
}

// Guards against a new leader that starts copies before it has learned run times, or that never starts
// any for the runs that it has taken over.
#[test]
fn a_new_leader_starts_copies_of_the_runs_in_the_ledger_once_it_knows_run_times() {
    let (ledger, workers) = ledger_with_racks();
    let overdue = Overdue::new(ledger, workers[0], speculative_step(1));
    let at = BootTime::from_millis;
    let mut watch = SpeculationWatch::new(at(0), &overdue.ledger);
    assert!(!watch.is_due(at(500)));
    assert_eq!(watch.take_overdue(at(5_000), &overdue.ledger), []);
    for _ in 0..100 {
        watch.learn(&queue(), 0, Duration::from_millis(RUN_TIME_MS), true);
    }
    let taken = watch.take_overdue(at(10_000), &overdue.ledger);
    assert_eq!(taken.len(), 1);
    assert_eq!(
        (taken[0].task, taken[0].run),
        (overdue.run.task, RunNumber(1))
    );
    watch.put_back(at(10_000), &taken[0]);
    assert_eq!(watch.take_overdue(at(10_100), &overdue.ledger), []);
    assert_eq!(watch.take_overdue(at(11_000), &overdue.ledger), taken);
}

/// A cell under a load with a tail of run times.
struct TailReplay {
    replay: Replay,
    watch: SpeculationWatch,
    with_copies: bool,
    accepted: IndexMap<JobKey, u64>,
    copies: usize,
}

/// Run time of a run: 3 in 100 take seven times as long.
fn run_time_ms(task: TaskKey, run: RunNumber) -> f64 {
    let number = task.step.job.0 * 31 + u64::from(task.index) * 7 + u64::from(run.0) * 3;
    let mixed = number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let mixed = (mixed ^ mixed >> 29).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let factor = if (mixed >> 32) % 100 < 3 { 7 } else { 1 };
    (RUN_TIME_MS * factor) as f64
}

impl TailReplay {
    fn new(with_copies: bool) -> Self {
        let mut ledger = ledger_with_queue();
        for number in 0..WORKERS {
            add_worker(&mut ledger, number);
        }
        Self {
            replay: Replay::new(ledger),
            watch: SpeculationWatch::default(),
            with_copies,
            accepted: IndexMap::new(),
            copies: 0,
        }
    }

    /// Plays a load of one job after each interval to its end.
    fn play(mut self, interval_ms: u64) -> Self {
        let mut next_ms = 0;
        while next_ms < SUBMISSION_MS || self.replay.completed.len() < self.accepted.len() {
            let now_ms = self.replay.view.now_ms;
            while next_ms <= now_ms && next_ms < SUBMISSION_MS {
                let key = self.accepted.len() as u64 + 1;
                let job = job_with_steps(vec![speculative_step(TASKS)]);
                let job = submit_at(&mut self.replay.ledger, key, job, now_ms);
                self.accepted.insert(job, now_ms);
                next_ms += interval_ms;
            }
            self.end_runs();
            self.start_runs();
            self.replay.view.now_ms += TICK_MS;
            for run in &mut self.replay.runs {
                run.remaining_ms -= TICK_MS as f64;
            }
        }
        self
    }

    fn end_runs(&mut self) {
        let ended = self.replay.runs.iter();
        let ended = ended.filter(|run| run.remaining_ms <= 0.0);
        let run_times: Vec<u64> = ended
            .map(|run| self.replay.view.now_ms - run.started_ms)
            .collect();
        for run_time in run_times {
            self.watch
                .learn(&queue(), 0, Duration::from_millis(run_time), true);
        }
        self.replay.complete_finished_runs();
        let ledger = &self.replay.ledger;
        let (desired, undesired): (Vec<ReplayRun>, Vec<ReplayRun>) =
            std::mem::take(&mut self.replay.runs)
                .into_iter()
                .partition(|run| ledger.is_desired(run.task, run.run, run.worker));
        self.replay.runs = desired;
        for run in undesired {
            let run_time = self.replay.view.now_ms - run.started_ms;
            self.watch
                .learn(&queue(), 0, Duration::from_millis(run_time), false);
            self.replay.end_run(&run, RunOutcome::Stopped);
        }
    }

    fn start_runs(&mut self) {
        let before = self.replay.runs.len();
        self.replay.run_pass(
            |ledger, view| waiting_steps(ledger, &view.run_times, view.now_ms),
            |task| run_time_ms(task, RunNumber(1)),
        );
        let now = BootTime::from_millis(self.replay.view.now_ms);
        for run in &self.replay.runs[before..] {
            self.watch
                .record_start(now, &self.replay.ledger, run.task, run.run);
        }
        if !self.with_copies {
            return;
        }
        let overdue = self.watch.take_overdue(now, &self.replay.ledger);
        let view = &self.replay.view;
        let mut table = CapacityTable::new(&self.replay.ledger, &view.interference, |index| {
            view.conditions[&index].clone()
        });
        let plan = choose_copies(&self.replay.ledger, &mut table, view, &[], overdue);
        for (run, _) in &plan.refused {
            self.watch.put_back(now, run);
        }
        let choices = plan.choices.clone();
        let command = LedgerCommand::StartCopies { choices };
        let LedgerOutcome::Started(started) = apply(&mut self.replay.ledger, command) else {
            panic!("the reply to a start lists the accepted starts");
        };
        assert!(started.iter().all(|started| *started));
        for choice in plan.choices {
            self.copies += 1;
            self.replay.runs.push(ReplayRun {
                task: choice.task,
                run: choice.run,
                worker: choice.worker,
                started_ms: self.replay.view.now_ms,
                remaining_ms: run_time_ms(choice.task, choice.run),
            });
        }
    }

    fn late_jobs(&self) -> IndexSet<JobKey> {
        let jobs = self.accepted.iter();
        let late = jobs
            .filter(|(job, accepted_ms)| self.replay.completed[*job] - *accepted_ms > OBJECTIVE_MS);
        late.map(|(job, _)| *job).collect()
    }
}

// Guards against jobs that are late because of their slowest run although half of the cell is idle.
#[test]
fn fewer_jobs_are_late_with_copies_at_half_load() {
    let (without, with) = (
        TailReplay::new(false).play(50),
        TailReplay::new(true).play(50),
    );
    let (late_without, late_with) = (without.late_jobs().len(), with.late_jobs().len());
    println!(
        "of {}: {late_without} late without copies, {late_with} with {} copies",
        with.accepted.len(),
        with.copies
    );
    assert!(late_without > 100, "{late_without}");
    assert!(
        late_with * 4 < late_without,
        "{late_with} of {late_without}"
    );
}

// Guards against copies that harm the other jobs of a full cell.
#[test]
fn no_more_jobs_are_late_with_copies_at_full_load() {
    for interval_ms in [22, 25, 28] {
        let without = TailReplay::new(false).play(interval_ms);
        let with = TailReplay::new(true).play(interval_ms);
        let (late_without, late_with) = (without.late_jobs(), with.late_jobs());
        let harmed = late_with.difference(&late_without).count();
        println!(
            "interval {interval_ms} of {}: {} late without copies, {} with {} copies, {harmed} harmed",
            with.accepted.len(),
            late_without.len(),
            late_with.len(),
            with.copies
        );
        assert!(late_with.len() <= late_without.len());
    }
}
