//! Provides builders and checks for the tests of the replicated state.

#![allow(
    dead_code,
    reason = "each test file uses a part of what the tests share"
)]

use std::sync::Arc;

use guavavane_control::state::command::AttemptCompletion;
use guavavane_control::state::command::AttemptOutcome;
use guavavane_control::state::command::ControlCommand;
use guavavane_control::state::command::ControlOutcome;
use guavavane_control::state::command::TaskPlacement;
use guavavane_control::state::command::WorkerObservation;
use guavavane_control::state::ControlState;
use guavavane_model::prelude::BootId;
use guavavane_model::prelude::DataCentreName;
use guavavane_model::prelude::DocumentVersion;
use guavavane_model::prelude::EnvironmentName;
use guavavane_model::prelude::RackName;
use guavavane_model::prelude::ResourceVector;
use guavavane_model::prelude::TaskId;
use guavavane_model::prelude::WorkerName;
use guavavane_protocol::operator::OperatorCommand;
use guavavane_protocol::operator::OperatorOutcome;
use guavavane_protocol::poll::TaskAttempt;
use guavavane_quorum::prelude::LogIndex;
use guavavane_quorum::prelude::StateMachine;

/// Data centres; worker `index` is in data centre `index` modulo 3.
pub(crate) const DATA_CENTRES: [&str; 3] = ["caxias", "bento", "farroupilha"];

/// Returns a document with one service of `instances` tasks and one batch run of `tasks` tasks.
pub(crate) fn document(instances: u32, tasks: u32) -> Arc<str> {
    Arc::from(format!(
        r#"
data_centre = [
    {{ name = "caxias", region = "serra" }},
    {{ name = "bento", region = "serra" }},
    {{ name = "farroupilha", region = "serra" }},
]
team = [{{ name = "dispatch" }}]

[[service]]
name = "despacho"
team = "dispatch"
instances = {instances}
demand = {{ cpu_millis = 1000, memory_mib = 1024 }}

[[batch]]
name = "settlement"
team = "dispatch"
tasks = {tasks}
demand = {{ cpu_millis = 2000, memory_mib = 512 }}
run_ms = 1000
max_failures = 3
runs = ["first"]
"#
    ))
}

pub(crate) fn environment() -> EnvironmentName {
    EnvironmentName::try_from("production").unwrap()
}

pub(crate) fn data_centre(index: usize) -> DataCentreName {
    DataCentreName::try_from(DATA_CENTRES[index % DATA_CENTRES.len()]).unwrap()
}

pub(crate) fn worker(index: usize) -> WorkerName {
    WorkerName::try_from(format!("w{index}")).unwrap()
}

pub(crate) fn observation(index: usize, boot: u64, cpu_millis: u64) -> WorkerObservation {
    WorkerObservation {
        worker: worker(index),
        data_centre: data_centre(index),
        rack: RackName::try_from("r1").unwrap(),
        boot: BootId(boot),
        capacity: ResourceVector::new(cpu_millis, 4096, 0),
    }
}

pub(crate) fn apply(state: &mut ControlState, command: ControlCommand) -> ControlOutcome {
    state.apply(LogIndex(0), command)
}

pub(crate) fn apply_document(
    state: &mut ControlState,
    replaces: u64,
    text: &Arc<str>,
) -> OperatorOutcome {
    let command = OperatorCommand::Apply {
        environment: environment(),
        replaces: DocumentVersion(replaces),
        text: Arc::clone(text),
    };
    match apply(state, ControlCommand::Operate(command)) {
        ControlOutcome::Operator(outcome) => outcome,
        other => panic!("an operator's command has an operator's outcome, not {other:?}"),
    }
}

pub(crate) fn place_task(state: &mut ControlState, task: TaskId, index: usize) -> ControlOutcome {
    let Some(record) = state.jobs().task(task) else {
        return ControlOutcome::Stale;
    };
    let attempt = TaskAttempt {
        task,
        attempt: record.attempt,
    };
    let placement = TaskPlacement {
        attempt,
        worker: worker(index),
        demand: ResourceVector::ZERO,
    };
    apply(state, ControlCommand::PlaceTask(placement))
}

pub(crate) fn end_attempt(
    state: &mut ControlState,
    task: TaskId,
    outcome: AttemptOutcome,
) -> ControlOutcome {
    let Some(record) = state.jobs().task(task) else {
        return ControlOutcome::Stale;
    };
    let completion = AttemptCompletion {
        attempt: TaskAttempt {
            task,
            attempt: record.attempt,
        },
        outcome,
        progress_ms: 10,
    };
    apply(state, ControlCommand::EndAttempt(completion))
}

/// Asserts that the committed capacity of each worker equals the sum of its tasks and does not
/// exceed the largest capacity that the worker may have had.
pub(crate) fn assert_ledger_consistent(state: &ControlState, largest_cpu_millis: u64) {
    for (name, worker) in state.workers().iter() {
        let mut committed = ResourceVector::ZERO;
        for task in &worker.tasks {
            let record = state.jobs().task(*task).expect("a committed task is kept");
            let commitment = record.commitment().expect("a listed task is committed");
            assert_eq!(
                commitment.worker, *name,
                "{task} is listed at another worker"
            );
            committed = committed.checked_add(&commitment.demand).unwrap();
        }
        assert_eq!(
            committed, worker.committed,
            "the ledger of {name} does not add up"
        );
        let limit = worker.capacity.cpu_millis.max(largest_cpu_millis);
        assert!(committed.cpu_millis <= limit, "{name} is overcommitted");
        assert!(committed.memory_mib <= worker.capacity.memory_mib);
    }
}
