//! Measures how the cost of the replicated state grows with the numbers of workers and tasks.
//!
//! Prints the placements and ends applied per second, the time to answer a poll, the size of a
//! snapshot and the times to write and restore it. Build it in release mode.

use std::sync::Arc;
use std::time::Instant;

use guavavane_control::orders::answer_poll;
use guavavane_control::state::command::AttemptCompletion;
use guavavane_control::state::command::AttemptOutcome;
use guavavane_control::state::command::ControlCommand;
use guavavane_control::state::command::TaskPlacement;
use guavavane_control::state::command::WorkerObservation;
use guavavane_control::state::ControlState;
use guavavane_model::prelude::AttemptNumber;
use guavavane_model::prelude::BootId;
use guavavane_model::prelude::DataCentreName;
use guavavane_model::prelude::DocumentVersion;
use guavavane_model::prelude::EnvironmentName;
use guavavane_model::prelude::IncarnationId;
use guavavane_model::prelude::RackName;
use guavavane_model::prelude::ResourceVector;
use guavavane_model::prelude::TaskId;
use guavavane_model::prelude::WorkerName;
use guavavane_protocol::operator::OperatorCommand;
use guavavane_protocol::poll::AttemptPhase;
use guavavane_protocol::poll::AttemptReport;
use guavavane_protocol::poll::TaskAttempt;
use guavavane_protocol::poll::WorkerPoll;
use guavavane_quorum::prelude::LogIndex;
use guavavane_quorum::prelude::StateMachine;

/// Numbers of workers to measure.
const WORKER_COUNTS: [u64; 4] = [500, 2_000, 4_900, 34_000];

/// Tasks on each worker: about 320,000 tasks on 34,000 workers.
const TASKS_PER_WORKER: u64 = 9;

/// Maximum number of polls that are timed.
const POLLS_MAX: u64 = 20_000;

fn main() -> anyhow::Result<()> {
    for workers in WORKER_COUNTS {
        measure_state(workers)?;
    }
    Ok(())
}

fn measure_state(workers: u64) -> anyhow::Result<()> {
    let tasks = workers * TASKS_PER_WORKER;
    let mut state = ControlState::default();
    apply_document(&mut state, tasks)?;
    for index in 0..workers {
        let command = ControlCommand::ObserveWorker(observation(index)?);
        state.apply(LogIndex(0), command);
    }
    let started = Instant::now();
    for task in 0..tasks {
        place_task(&mut state, task, task % workers)?;
    }
    let place_seconds = started.elapsed().as_secs_f64();
    let poll_micros = measure_poll_micros(&state, workers)?;
    let started = Instant::now();
    let snapshot = state.snapshot();
    let snapshot_ms = started.elapsed().as_secs_f64() * 1e3;
    let started = Instant::now();
    let mut restored = ControlState::default();
    restored.restore(&snapshot)?;
    let restore_ms = started.elapsed().as_secs_f64() * 1e3;
    let started = Instant::now();
    for task in 0..tasks {
        end_attempt(&mut state, task);
    }
    let end_seconds = started.elapsed().as_secs_f64();
    println!(
        "workers={workers} tasks={tasks} placements_per_second={:.0} ends_per_second={:.0} \
         poll_answer_us={poll_micros:.2} snapshot_bytes={} bytes_per_task={:.0} \
         snapshot_ms={snapshot_ms:.1} restore_ms={restore_ms:.1}",
        tasks as f64 / place_seconds,
        tasks as f64 / end_seconds,
        snapshot.len(),
        snapshot.len() as f64 / tasks as f64,
    );
    Ok(())
}

fn apply_document(state: &mut ControlState, tasks: u64) -> anyhow::Result<()> {
    let environment = EnvironmentName::try_from("production")?;
    let mut text = String::from(
        "data_centre = [{ name = \"caxias\", region = \"serra\" }]\nteam = [{ name = \"a\" }]\n",
    );
    let batches = tasks.div_ceil(90_000);
    for index in 0..batches {
        let count = (tasks - index * 90_000).min(90_000);
        text.push_str(&format!(
            "[[batch]]\nname = \"b{index}\"\nteam = \"a\"\ntasks = {count}\nrun_ms = 1000\n\
             demand = {{ cpu_millis = 100, memory_mib = 64 }}\nruns = [\"r\"]\n"
        ));
    }
    let command = OperatorCommand::Apply {
        environment,
        replaces: DocumentVersion(0),
        text: Arc::from(text),
    };
    state.apply(LogIndex(0), ControlCommand::Operate(command));
    Ok(())
}

fn worker_name(index: u64) -> anyhow::Result<WorkerName> {
    Ok(WorkerName::try_from(format!("worker-{index}"))?)
}

fn observation(index: u64) -> anyhow::Result<WorkerObservation> {
    Ok(WorkerObservation {
        worker: worker_name(index)?,
        data_centre: DataCentreName::try_from("caxias")?,
        rack: RackName::try_from(format!("rack-{}", index / 40))?,
        boot: BootId(1),
        capacity: ResourceVector::new(16_000, 61_440, 0),
    })
}

fn attempt(task: u64) -> TaskAttempt {
    TaskAttempt {
        task: TaskId(task + 1),
        attempt: AttemptNumber(1),
    }
}

fn place_task(state: &mut ControlState, task: u64, worker: u64) -> anyhow::Result<()> {
    let placement = TaskPlacement {
        attempt: attempt(task),
        worker: worker_name(worker)?,
        demand: ResourceVector::ZERO,
    };
    state.apply(LogIndex(0), ControlCommand::PlaceTask(placement));
    Ok(())
}

fn end_attempt(state: &mut ControlState, task: u64) {
    let completion = AttemptCompletion {
        attempt: attempt(task),
        outcome: AttemptOutcome::Finished,
        progress_ms: 0,
    };
    state.apply(LogIndex(0), ControlCommand::EndAttempt(completion));
}

fn measure_poll_micros(state: &ControlState, workers: u64) -> anyhow::Result<f64> {
    let polls = (0..workers.min(POLLS_MAX))
        .map(|index| worker_poll(state, index))
        .collect::<anyhow::Result<Vec<_>>>()?;
    let started = Instant::now();
    let mut renewed = 0;
    for poll in &polls {
        renewed += answer_poll(state, poll, 2_000).renewed.len();
    }
    let micros = started.elapsed().as_secs_f64() * 1e6 / polls.len() as f64;
    anyhow::ensure!(
        renewed as u64 == polls.len() as u64 * TASKS_PER_WORKER,
        "a poll does not renew all attempts of its worker"
    );
    Ok(micros)
}

fn worker_poll(state: &ControlState, index: u64) -> anyhow::Result<WorkerPoll> {
    let observed = observation(index)?;
    let record = state.workers().get(&observed.worker);
    let tasks = record.into_iter().flat_map(|record| record.tasks.iter());
    let attempts = tasks
        .filter_map(|task| {
            let record = state.jobs().task(*task)?;
            Some(AttemptReport {
                attempt: TaskAttempt {
                    task: *task,
                    attempt: record.attempt,
                },
                fence: record.commitment()?.fence,
                phase: AttemptPhase::Running,
                checkpoint_ms: 0,
            })
        })
        .collect();
    Ok(WorkerPoll {
        worker: observed.worker,
        data_centre: observed.data_centre,
        rack: observed.rack,
        boot: observed.boot,
        capacity: observed.capacity,
        address: "127.0.0.1:1".parse()?,
        incarnation: IncarnationId(1),
        sequence: 1,
        attempts,
        usage: Vec::new(),
        entries_digest: 0,
    })
}
