//! Checks invariants of the replicated state over generated sequences of commands.

#![allow(clippy::unwrap_used, reason = "a test may fail by unwrapping")]

mod support;

use bolero::produce;
use bolero::TypeGenerator;
use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::support::apply;
use crate::support::apply_document;
use crate::support::assert_ledger_consistent;
use crate::support::data_centre;
use crate::support::document;
use crate::support::end_attempt;
use crate::support::observation;
use crate::support::place_task;
use crate::support::worker;
use guavavane_control::state::command::AttemptCompletion;
use guavavane_control::state::command::AttemptOutcome;
use guavavane_control::state::command::ControlCommand;
use guavavane_control::state::command::ControlOutcome;
use guavavane_control::state::command::EvictionCause;
use guavavane_control::state::command::TaskEviction;
use guavavane_control::state::job_record::TaskPhase;
use guavavane_control::state::ControlState;
use guavavane_model::prelude::AttemptNumber;
use guavavane_model::prelude::FenceNumber;
use guavavane_model::prelude::JobId;
use guavavane_model::prelude::TaskId;
use guavavane_protocol::operator::OperatorCommand;
use guavavane_protocol::poll::TaskAttempt;
use guavavane_quorum::prelude::StateMachine;
use guavavane_testing::for_each_value;

/// Maximum capacity of the generated workers, in thousandths of a core.
const CPU_MILLIS_MAX: u64 = 8_000;

/// Generated operation; numbers of tasks, workers and boots are taken modulo small ranges, so that
/// commands often meet.
#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Operation {
    Observe { worker: u8, boot: u8, cores: u8 },
    Apply { instances: u8, tasks: u8 },
    Place { task: u8, worker: u8 },
    PlaceAll { worker: u8 },
    PlaceStale { task: u8, worker: u8, attempt: u8 },
    End { task: u8, outcome: u8 },
    EndStale { task: u8, attempt: u8 },
    Evict { task: u8 },
    Replace { task: u8 },
    SetDataCentre { data_centre: u8, out: bool },
    Cancel { job: u8 },
    Forget { worker: u8 },
    GiveUp { task: u8 },
    Restore,
}

fn task(number: u8) -> TaskId {
    TaskId(u64::from(number % 24) + 1)
}

fn outcome_of(number: u8) -> AttemptOutcome {
    [
        AttemptOutcome::Finished,
        AttemptOutcome::Failed,
        AttemptOutcome::Stopped,
        AttemptOutcome::NotStarted,
        AttemptOutcome::LeaseExpired,
    ][usize::from(number) % 5]
}

fn to_command(state: &ControlState, operation: Operation) -> Option<ControlCommand> {
    let current_attempt = |task: TaskId| {
        let record = state.jobs().task(task)?;
        Some(TaskAttempt {
            task,
            attempt: record.attempt,
        })
    };
    Some(match operation {
        Operation::Observe {
            worker,
            boot,
            cores,
        } => ControlCommand::ObserveWorker(observation(
            usize::from(worker % 4),
            u64::from(boot % 3),
            u64::from(cores % 8 + 1) * 1_000,
        )),
        Operation::Evict { task: number } => ControlCommand::EvictTask(TaskEviction {
            attempt: current_attempt(task(number))?,
            cause: EvictionCause::Interference,
        }),
        Operation::Replace { task: number } => {
            ControlCommand::ReplaceTask(current_attempt(task(number))?)
        }
        Operation::EndStale {
            task: number,
            attempt,
        } => ControlCommand::EndAttempt(AttemptCompletion {
            attempt: TaskAttempt {
                task: task(number),
                attempt: AttemptNumber(u32::from(attempt % 8)),
            },
            outcome: AttemptOutcome::Stopped,
            progress_ms: 0,
        }),
        Operation::SetDataCentre {
            data_centre: number,
            out,
        } => ControlCommand::Operate(OperatorCommand::SetDataCentre {
            data_centre: data_centre(usize::from(number)),
            out,
            replaces: None,
        }),
        Operation::Cancel { job } => ControlCommand::Operate(OperatorCommand::Cancel {
            job: JobId(u64::from(job % 4)),
        }),
        Operation::Forget { worker: index } => {
            ControlCommand::ForgetWorker(worker(usize::from(index % 4)))
        }
        Operation::GiveUp { task: number } => ControlCommand::GiveUpTask(task(number)),
        _ => return None,
    })
}

/// Highest values seen so far; the state must never fall below them.
#[derive(Default)]
struct StateHistory {
    attempts: IndexMap<TaskId, AttemptNumber>,
    fences: IndexSet<FenceNumber>,
    last_fence: FenceNumber,
    ended: IndexSet<TaskId>,
    version: u64,
}

impl StateHistory {
    fn check(&mut self, state: &ControlState) {
        assert_ledger_consistent(state, CPU_MILLIS_MAX);
        let previous_last_fence = self.last_fence;
        for (id, record) in state.jobs().tasks() {
            let highest = self.attempts.entry(id).or_default();
            assert!(
                record.attempt >= *highest,
                "the attempt number of {id} decreased"
            );
            *highest = record.attempt;
            if self.ended.contains(&id) {
                assert!(record.has_ended(), "{id} had ended and is active again");
            }
            if record.has_ended() {
                self.ended.insert(id);
            }
            if let TaskPhase::Committed(commitment) = &record.phase {
                if self.fences.insert(commitment.fence) {
                    assert!(
                        commitment.fence > previous_last_fence,
                        "a fencing token decreased"
                    );
                    self.last_fence = self.last_fence.max(commitment.fence);
                }
                let worker_record = state.workers().get(&commitment.worker).unwrap();
                assert!(
                    worker_record.tasks.contains(&id),
                    "{id} is not in the ledger"
                );
                assert_eq!(
                    worker_record.boot, commitment.boot,
                    "{id} is committed under an earlier boot"
                );
            }
        }
        let version = state
            .documents()
            .current_versions()
            .first()
            .map_or(0, |v| v.version.0);
        assert!(version >= self.version, "the current version decreased");
        self.version = version;
    }
}

fn run_operation(state: &mut ControlState, operation: Operation) {
    match operation {
        Operation::Apply { instances, tasks } => {
            let version = state
                .documents()
                .current_versions()
                .first()
                .map_or(0, |v| v.version.0);
            let text = document(u32::from(instances % 4 + 1), u32::from(tasks % 6 + 1));
            apply_document(state, version, &text);
        }
        Operation::Place {
            task: number,
            worker,
        } => place_and_check(state, task(number), usize::from(worker % 4)),
        Operation::PlaceAll { worker } => {
            for number in 0..24 {
                place_and_check(state, task(number), usize::from(worker % 4));
            }
        }
        Operation::PlaceStale {
            task: number,
            worker: index,
            attempt,
        } => {
            let attempt = TaskAttempt {
                task: task(number),
                attempt: AttemptNumber(u32::from(attempt % 8)),
            };
            let placement = guavavane_control::state::command::TaskPlacement {
                attempt,
                worker: worker(usize::from(index % 4)),
                demand: guavavane_model::prelude::ResourceVector::ZERO,
            };
            apply(state, ControlCommand::PlaceTask(placement));
        }
        Operation::End {
            task: number,
            outcome: outcome_number,
        } => drop(end_attempt(state, task(number), outcome_of(outcome_number))),
        Operation::Restore => {
            let bytes = state.snapshot();
            state.restore(&bytes).unwrap();
            assert_eq!(
                bytes,
                state.snapshot(),
                "restoring a snapshot changes the state"
            );
        }
        other => {
            if let Some(command) = to_command(state, other) {
                apply(state, command);
            }
        }
    }
}

fn place_and_check(state: &mut ControlState, task: TaskId, index: usize) {
    let out = state
        .workers()
        .get(&worker(index))
        .is_some_and(|record| state.data_centres().is_out(&record.data_centre));
    let outcome = place_task(state, task, index);
    assert!(
        !(out && outcome == ControlOutcome::Changed),
        "{task} was placed in a data centre that is out"
    );
}

/// Guards against overcommitted workers, attempt numbers that decrease, fencing tokens that do not
/// increase, ended tasks that become active again, placements in a data centre that is out of
/// service, and document versions that decrease.
#[test]
fn ledger_attempts_fences_and_documents_satisfy_invariants() {
    for_each_value(
        1_500,
        produce::<Vec<Operation>>().with().len(40usize..160),
        |operations| {
            let mut state = ControlState::default();
            apply_document(&mut state, 0, &document(3, 6));
            let mut history = StateHistory::default();
            for operation in operations {
                run_operation(&mut state, *operation);
                history.check(&state);
            }
        },
    );
}

/// Guards against replicas that diverge, also when one of them restored a snapshot in between.
#[test]
fn replicas_with_the_same_commands_have_equal_snapshots() {
    for_each_value(
        600,
        (
            produce::<Vec<Operation>>().with().len(40usize..160),
            produce::<u8>(),
        ),
        |(operations, restore_at)| {
            let mut first = ControlState::default();
            let mut second = ControlState::default();
            for (index, operation) in operations.iter().enumerate() {
                run_operation(&mut first, *operation);
                run_operation(&mut second, *operation);
                if index == usize::from(*restore_at) {
                    let bytes = second.snapshot();
                    second = ControlState::default();
                    second.restore(&bytes).unwrap();
                }
            }
            assert_eq!(first.snapshot(), second.snapshot());
        },
    );
}

/// Guards against a late report of an earlier attempt that ends the current one, and against the
/// loss of the progress of a stopped attempt.
#[test]
fn evicted_work_resumes_once_with_its_progress() {
    let mut state = ControlState::default();
    apply_document(&mut state, 0, &document(1, 1));
    apply(
        &mut state,
        ControlCommand::ObserveWorker(observation(0, 1, 8_000)),
    );
    apply(
        &mut state,
        ControlCommand::ObserveWorker(observation(1, 1, 8_000)),
    );
    let batch = state
        .jobs()
        .tasks()
        .find(|(_, record)| !state.jobs().job(record.job).unwrap().origin.is_service())
        .map(|(id, _)| id)
        .unwrap();
    assert_eq!(place_task(&mut state, batch, 0), ControlOutcome::Changed);
    assert_eq!(
        end_attempt(&mut state, batch, AttemptOutcome::Stopped),
        ControlOutcome::Changed
    );
    let late_completion = AttemptCompletion {
        attempt: TaskAttempt {
            task: batch,
            attempt: AttemptNumber(1),
        },
        outcome: AttemptOutcome::Finished,
        progress_ms: 99,
    };
    assert_eq!(place_task(&mut state, batch, 1), ControlOutcome::Changed);
    let outcome = apply(&mut state, ControlCommand::EndAttempt(late_completion));
    assert_eq!(
        outcome,
        ControlOutcome::Stale,
        "a late report ends a later attempt"
    );
    let record = state.jobs().task(batch).unwrap();
    assert_eq!(record.attempt, AttemptNumber(2));
    assert_eq!(record.progress_ms, 10);
    assert_eq!(place_task(&mut state, batch, 0), ControlOutcome::Stale);
}
