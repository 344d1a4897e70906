//! State machine of the worker: capacity, leases, fencing tokens and start deadlines.
//!
//! The property test applies generated sequences of orders and checks after each one that running
//! attempts fit into the capacity and that an ended attempt never runs again or changes its
//! outcome.

#![allow(clippy::unwrap_used)]

use bolero::produce;
use bolero::TypeGenerator;
use indexmap::IndexMap;

use guavavane_contract::prelude::AttemptKey;
use guavavane_contract::prelude::AttemptState;
use guavavane_contract::prelude::OrderAnswer;
use guavavane_contract::prelude::RenewOrder;
use guavavane_contract::prelude::StartOrder;
use guavavane_contract::prelude::StartProgram;
use guavavane_contract::prelude::ThrottleOrder;
use guavavane_contract::prelude::WorkerFacts;
use guavavane_model::prelude::AttemptNumber;
use guavavane_model::prelude::BootId;
use guavavane_model::prelude::BootTime;
use guavavane_model::prelude::FenceNumber;
use guavavane_model::prelude::ResourceVector;
use guavavane_model::prelude::TaskId;
use guavavane_standin::prelude::WorkerMachine;
use guavavane_standin::worker::machine::UsageSettings;
use guavavane_standin::worker::profile::TaskProfile;
use guavavane_testing::for_each_value;

const USAGE: UsageSettings = UsageSettings {
    interval_ms: 100,
    lag_ms: 300,
};

#[derive(Clone, Debug, TypeGenerator)]
enum Step {
    Pass {
        ms: u8,
    },
    Start {
        task: u8,
        attempt: u8,
        fence: u8,
        cpu: u8,
        lease: u8,
        start_by: u8,
    },
    Renew {
        task: u8,
        attempt: u8,
        lease: u8,
    },
    Throttle {
        task: u8,
        attempt: u8,
        share: u16,
    },
    Stop {
        task: u8,
        attempt: u8,
    },
    Forget {
        task: u8,
        attempt: u8,
    },
}

fn machine(profile: TaskProfile) -> WorkerMachine {
    let facts = WorkerFacts {
        worker: "w1".try_into().unwrap(),
        data_centre: "bento".try_into().unwrap(),
        rack: "r1".try_into().unwrap(),
        boot: BootId(1),
        capacity: ResourceVector::new(100, 1_000, 0),
    };
    WorkerMachine::new(facts, profile, USAGE)
}

/// Maps generated numbers to 4 tasks with 4 attempts each.
fn key(task: u8, attempt: u8) -> AttemptKey {
    AttemptKey {
        task: TaskId(u64::from(task % 4)),
        attempt: AttemptNumber(u32::from(attempt % 4)),
    }
}

fn start_order(key: AttemptKey, fence: u64, now_ms: u64, lease_ms: u64) -> StartOrder {
    StartOrder {
        boot: BootId(1),
        key,
        fence: FenceNumber(fence),
        program: StartProgram::Batch { run_ms: 200 },
        demand: ResourceVector::new(40, 10, 0),
        resume_ms: 0,
        start_by_ms: now_ms,
        lease_until_ms: now_ms + lease_ms,
    }
}

/// Applies a step and returns the answer to its order; `now` is the time in ms.
fn apply_step(machine: &mut WorkerMachine, now: &mut u64, step: &Step) -> OrderAnswer {
    let at = BootTime::from_millis(*now);
    match *step {
        Step::Pass { ms } => {
            *now += u64::from(ms);
            OrderAnswer::Done
        }
        Step::Start {
            task,
            attempt,
            fence,
            cpu,
            lease,
            start_by,
        } => {
            let start_by = now.saturating_sub(50) + u64::from(start_by);
            let order = StartOrder {
                demand: ResourceVector::new(u64::from(cpu), 10, 0),
                start_by_ms: start_by,
                ..start_order(key(task, attempt), u64::from(fence), *now, u64::from(lease))
            };
            machine.start(at, order)
        }
        Step::Renew {
            task,
            attempt,
            lease,
        } => machine.renew(
            at,
            &RenewOrder {
                boot: BootId(1),
                keys: vec![key(task, attempt)],
                lease_until_ms: *now + u64::from(lease),
            },
        ),
        Step::Throttle {
            task,
            attempt,
            share,
        } => machine.throttle(
            at,
            &ThrottleOrder {
                key: key(task, attempt),
                share_millis: share,
            },
        ),
        Step::Stop { task, attempt } => machine.stop(at, &key(task, attempt)),
        Step::Forget { task, attempt } => machine.forget(at, &key(task, attempt)),
    }
}

#[test]
fn capacity_and_outcomes_hold_over_generated_orders() {
    for_each_value(2_000, produce::<Vec<Step>>(), |steps| {
        let mut machine = machine(TaskProfile::default());
        let mut now = 1_000;
        let mut outcomes: IndexMap<AttemptKey, AttemptState> = IndexMap::new();
        for step in steps {
            let answer = apply_step(&mut machine, &mut now, step);
            if let (Step::Start { task, attempt, .. }, OrderAnswer::Done) = (step, answer) {
                assert!(machine.program(&key(*task, *attempt)).is_some());
            }
            let list = machine.attempts(BootTime::from_millis(now));
            let mut total_demand = ResourceVector::ZERO;
            for status in &list.attempts {
                if status.state == AttemptState::Running {
                    total_demand = total_demand.checked_add(&status.demand).unwrap();
                    assert!(!outcomes.contains_key(&status.key), "revived {status:?}");
                } else {
                    let first_outcome = *outcomes.entry(status.key).or_insert(status.state);
                    assert_eq!(first_outcome, status.state, "outcome changed");
                }
            }
            assert!(total_demand.fits_within(&machine.facts().capacity));
        }
    });
}

#[test]
fn late_renewal_does_not_extend_an_expired_lease() {
    let mut machine = machine(TaskProfile::default());
    let key = key(1, 1);
    machine.start(BootTime::from_millis(0), start_order(key, 1, 0, 50));
    let order = RenewOrder {
        boot: BootId(1),
        keys: vec![key],
        lease_until_ms: 500,
    };
    let answer = machine.renew(BootTime::from_millis(50), &order);
    assert!(matches!(answer, OrderAnswer::Refused { .. }));
    let list = machine.attempts(BootTime::from_millis(51));
    assert_eq!(list.attempts[0].state, AttemptState::Expired);
}

#[test]
fn start_is_refused_past_its_deadline_below_the_fence_or_after_a_stop() {
    let mut machine = machine(TaskProfile::default());
    let now = BootTime::from_millis(10);
    let is_refused = |answer| matches!(answer, OrderAnswer::Refused { .. });
    assert!(is_refused(
        machine.start(now, start_order(key(1, 1), 5, 9, 50))
    ));
    assert_eq!(
        machine.start(now, start_order(key(1, 1), 5, 10, 50)),
        OrderAnswer::Done
    );
    machine.stop(now, &key(1, 1));
    assert!(is_refused(
        machine.start(now, start_order(key(1, 2), 4, 10, 50))
    ));
    machine.stop(now, &key(2, 1));
    assert!(is_refused(
        machine.start(now, start_order(key(2, 1), 6, 10, 50))
    ));
}

#[test]
fn progress_scales_with_cpu_share_and_resumes_from_the_checkpoint() {
    let mut machine = machine(TaskProfile::default());
    let key = key(1, 1);
    let order = StartOrder {
        resume_ms: 100,
        ..start_order(key, 1, 0, 10_000)
    };
    machine.start(BootTime::from_millis(0), order);
    let order = ThrottleOrder {
        key,
        share_millis: 500,
    };
    machine.throttle(BootTime::from_millis(0), &order);
    let answer = machine.checkpoint(BootTime::from_millis(100), &key);
    assert_eq!(answer, OrderAnswer::Checkpointed { progress_ms: 150 });
    let list = machine.attempts(BootTime::from_millis(200));
    assert_eq!(list.attempts[0].state, AttemptState::Finished);
}
