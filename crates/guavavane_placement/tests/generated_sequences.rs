//! Tests the policy with generated sequences of events and scheduling passes.

#![allow(clippy::unwrap_used, reason = "a test may fail by unwrapping")]

mod support;

use bolero::produce;
use bolero::TypeGenerator;

use crate::support::worker_name;
use crate::support::worker_record;
use crate::support::StateFake;
use crate::support::DATA_CENTRES;
use guavavane_model::prelude::JobId;
use guavavane_model::prelude::ResourceVector;
use guavavane_model::prelude::TaskId;
use guavavane_placement::prelude::*;
use guavavane_testing::for_each_value;

#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Operation {
    Submit { cpu: u8, memory: u8, flags: u8 },
    Cancel { task: u8 },
    CancelEvery { step: u8 },
    Finish { at: u8 },
    Fail { at: u8 },
    ExpireLease { at: u8 },
    FinishEvictions,
    Deliver { at: u8, duplicate: bool },
    DeliverAll,
    LoseReport { at: u8 },
    WorkerUp { worker: u8, cpu: u8, memory: u8 },
    WorkerGone { worker: u8 },
    DataCentreOut { data_centre: u8 },
    DataCentreBack { data_centre: u8 },
    SetQuota { team: u8, cpu: u8 },
    SampleUsage { at: u8, permille: u16 },
    SampleLatency { at: u8, permille: u16 },
    RejectNext,
    Rebuild,
    Advance { millis: u16 },
    RunPass { budget: u8 },
}

fn submit(state: &mut StateFake, cpu: u8, memory: u8, flags: u8) {
    let id = TaskId(state.tasks.len() as u64 + 1_000 * state.now.as_micros());
    let class = match flags & 1 {
        0 => TaskClass::Batch,
        _ => TaskClass::LatencyCritical,
    };
    let demand = ResourceVector::new(u64::from(cpu) * 100, u64::from(memory) * 256, 0);
    let mut record = support::task_record(id.0, class, demand);
    record.job = JobId(u64::from(flags >> 4));
    record.exclusive = flags & 2 != 0;
    record.team = ["a", "b"][usize::from(flags >> 2 & 1)].try_into().unwrap();
    record.data_centres = match flags >> 5 {
        0 => record.data_centres[..1].into(),
        _ => record.data_centres,
    };
    record.priority = match flags & 8 {
        0 => TaskPriority::Normal,
        _ => TaskPriority::Urgent,
    };
    state.submit(record);
    state.advance(1);
}

fn run(state: &mut StateFake, operation: &Operation) {
    match *operation {
        Operation::Submit { cpu, memory, flags } => submit(state, cpu, memory, flags),
        Operation::Cancel { task } => {
            let position = usize::from(task).checked_rem(state.tasks.len());
            if let Some((id, _)) = position.and_then(|at| state.tasks.get_index(at)) {
                let id = *id;
                state.cancel(id);
            }
        }
        Operation::CancelEvery { step } => {
            let tasks = state.tasks.keys().copied();
            let chosen: Vec<TaskId> = tasks.step_by(usize::from(step) % 3 + 1).collect();
            chosen.into_iter().for_each(|task| state.cancel(task));
        }
        Operation::Finish { at } => release(state, at, ReleaseCause::Finished),
        Operation::Fail { at } => release(state, at, ReleaseCause::FailedOnWorker),
        Operation::ExpireLease { at } => release(state, at, ReleaseCause::LeaseExpired),
        Operation::FinishEvictions => state.confirm_evictions(),
        Operation::Deliver { at, duplicate } => state.deliver(usize::from(at), duplicate),
        Operation::DeliverAll => state.deliver_all(),
        Operation::LoseReport { at } => state.lose_event(usize::from(at)),
        Operation::WorkerUp {
            worker,
            cpu,
            memory,
        } => {
            let capacity = ResourceVector::new(u64::from(cpu) * 200, u64::from(memory) * 512, 0);
            state.worker_up(worker_record(usize::from(worker % 9), capacity));
        }
        Operation::WorkerGone { worker } => {
            state.worker_gone(&worker_name(usize::from(worker % 9)));
        }
        Operation::DataCentreOut { data_centre } => set_out(state, data_centre, true),
        Operation::DataCentreBack { data_centre } => set_out(state, data_centre, false),
        Operation::SetQuota { team, cpu } => {
            let cap = ResourceVector::new(u64::from(cpu) * 400, u64::MAX, u64::MAX);
            state.set_quota(TeamQuota {
                team: ["a", "b"][usize::from(team % 2)].try_into().unwrap(),
                weight: u32::from(team),
                cap: (cpu > 20).then_some(cap),
            });
        }
        Operation::SampleUsage { at, permille } => state.report_usage(at.into(), permille.into()),
        Operation::SampleLatency { at, permille } => {
            state.report_latency(at.into(), permille.into());
        }
        Operation::RejectNext => state.reject_next = true,
        Operation::Rebuild => state.rebuild(),
        Operation::Advance { millis } => state.advance(u64::from(millis)),
        Operation::RunPass { budget } => {
            state.run_pass(usize::from(budget % 16) + 1);
        }
    }
}

fn release(state: &mut StateFake, at: u8, cause: ReleaseCause) {
    if let Some(attempt) = state.attempt_at(usize::from(at)) {
        state.release(attempt, cause);
    }
}

fn set_out(state: &mut StateFake, data_centre: u8, out: bool) {
    let name = DATA_CENTRES[usize::from(data_centre % 3)]
        .try_into()
        .unwrap();
    state.set_out(&name, out);
}

fn new_state(seed: u64) -> StateFake {
    let mut state = StateFake::new(PlacementSettings::default(), seed);
    for number in 0..6 {
        let capacity = ResourceVector::new(16_000, 60_000, 0);
        state.worker_up(worker_record(number, capacity));
    }
    state
}

/// Guards against decisions that break an invariant after late, duplicate or lost events. The
/// state fake checks capacity, single placement, data centres, caps, cancellations, preemption
/// of urgent tasks, impossible tasks and the cap on quarantines.
#[test]
fn decisions_satisfy_all_invariants() {
    for_each_value(4_000, produce::<Vec<Operation>>(), |operations| {
        let mut state = new_state(7);
        for operation in operations {
            run(&mut state, operation);
            state.run_pass(4);
        }
        state.deliver_all();
        state.run_pass(64);
    });
}

/// Guards against nondeterminism: the same seed, events and times give the same decisions.
#[test]
fn decisions_repeat_for_a_seed() {
    for_each_value(500, produce::<Vec<Operation>>(), |operations| {
        let mut first = new_state(11);
        let mut second = new_state(11);
        for operation in operations {
            run(&mut first, operation);
            run(&mut second, operation);
            assert_eq!(first.run_pass(8), second.run_pass(8));
        }
    });
}
