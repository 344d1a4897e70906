//! Builds a small catalog, jobs and workers for the tests of this crate.

#![allow(dead_code, reason = "each test file uses a part of this module")]

pub(crate) mod random_commands;
pub(crate) mod replay;

use std::sync::Arc;

use guavavane_jobs::ledger::WorkerIndex;
use guavavane_jobs::prelude::JobKey;
use guavavane_jobs::prelude::JobLedger;
use guavavane_jobs::prelude::JobSpec;
use guavavane_jobs::prelude::LedgerCommand;
use guavavane_jobs::prelude::LedgerOutcome;
use guavavane_jobs::prelude::QueueCatalog;
use guavavane_jobs::prelude::RawCatalog;
use guavavane_jobs::prelude::RawJob;
use guavavane_jobs::prelude::RawPool;
use guavavane_jobs::prelude::RawQueue;
use guavavane_jobs::prelude::RawStep;
use guavavane_jobs::prelude::WorkerFacts;
use guavavane_jobs::prelude::WorkerKey;
use guavavane_model::prelude::ResourceVector;
use guavavane_quorum::prelude::LogIndex;
use guavavane_quorum::prelude::StateMachine;

/// Failures of a task after which its job fails.
pub(crate) const ATTEMPTS_MAX: u64 = 3;

pub(crate) fn apply(ledger: &mut JobLedger, command: LedgerCommand) -> LedgerOutcome {
    ledger.apply(LogIndex(0), command)
}

pub(crate) fn raw_queue(name: &str) -> RawQueue {
    RawQueue {
        name: name.to_owned(),
        host: "queue.example".to_owned(),
        path_prefix: format!("/{name}/"),
        timeout_ms: 3_000,
        latency_target_ms: 250,
        priority: 0,
        pool: "pool".to_owned(),
        attempts_max: ATTEMPTS_MAX,
        objective_factor: 2.0,
        advice: None,
    }
}

pub(crate) fn raw_catalog(version: u64) -> RawCatalog {
    RawCatalog {
        version,
        queues: vec![raw_queue("tally")],
        pools: vec![RawPool {
            name: "pool".to_owned(),
            guarded: true,
            standby: false,
        }],
    }
}

pub(crate) fn ledger_with_queue() -> JobLedger {
    let mut ledger = JobLedger::default();
    put_catalog(&mut ledger, raw_catalog(1));
    ledger
}

pub(crate) fn put_catalog(ledger: &mut JobLedger, raw: RawCatalog) {
    let text = Arc::from(format!("version {}", raw.version));
    let catalog = QueueCatalog::try_from(raw).unwrap();
    apply(ledger, LedgerCommand::PutCatalog { catalog, text });
}

pub(crate) fn raw_step(tasks: u64) -> RawStep {
    RawStep {
        tasks,
        demand: ResourceVector::new(1_000, 1_000, 0),
        estimate_ms: 1_000,
        ..RawStep::default()
    }
}

pub(crate) fn job_with_steps(steps: Vec<RawStep>) -> JobSpec {
    let raw = RawJob {
        payload: "payload".to_owned(),
        steps,
        ..RawJob::default()
    };
    JobSpec::try_from(raw).unwrap()
}

pub(crate) fn submit(ledger: &mut JobLedger, key: u64, spec: JobSpec) -> JobKey {
    submit_at(ledger, key, spec, 1_000 + key)
}

pub(crate) fn submit_at(
    ledger: &mut JobLedger,
    key: u64,
    spec: JobSpec,
    accepted_ms: u64,
) -> JobKey {
    let job = JobKey(key);
    let command = LedgerCommand::Submit {
        job,
        queue: Arc::from("tally"),
        spec: Arc::new(spec),
        accepted_ms,
    };
    let outcome = apply(ledger, command);
    assert_eq!(outcome, LedgerOutcome::Accepted { new: true });
    job
}

pub(crate) fn add_worker(ledger: &mut JobLedger, number: u32) -> WorkerIndex {
    add_worker_with(ledger, number, ResourceVector::new(16_000, 64_000, 0))
}

pub(crate) fn add_worker_with(
    ledger: &mut JobLedger,
    number: u32,
    capacity: ResourceVector,
) -> WorkerIndex {
    add_labelled_worker(ledger, number, capacity, "a")
}

pub(crate) fn add_labelled_worker(
    ledger: &mut JobLedger,
    number: u32,
    capacity: ResourceVector,
    label: &str,
) -> WorkerIndex {
    let command = LedgerCommand::AddWorker {
        key: WorkerKey {
            name: Arc::from(format!("worker-{number}")),
            started_ms: 1,
        },
        node: Arc::from(format!("vm-{number}")),
        facts: WorkerFacts {
            pool: Arc::from("pool"),
            data_centre: Arc::from("caxias"),
            capacity,
            labels: vec![Arc::from(label), Arc::from(format!("rack-{}", number / 3))],
        },
    };
    match apply(ledger, command) {
        LedgerOutcome::Worker(index) => index,
        other => panic!("{other:?}"),
    }
}
