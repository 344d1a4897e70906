//! Messages between the processes whose bytes were damaged.
//!
//! Guards against a message that ends the process that decodes it, or that makes it allocate as
//! much as a damaged length says.

#![allow(clippy::unwrap_used, reason = "a test may fail by unwrapping")]

mod support;

use std::sync::Arc;

use rand::Rng;

use crate::support::idle_report;
use crate::support::step;
use crate::support::worker_heartbeat;
use guavavane_cell::entry::CallerRequest;
use guavavane_cell::message::FromControl;
use guavavane_cell::message::StartTask;
use guavavane_cell::message::ToControl;
use guavavane_cell::prelude::CallerAction;
use guavavane_jobs::prelude::RawJob;
use guavavane_jobs::prelude::RunCompletion;
use guavavane_jobs::prelude::RunNumber;
use guavavane_jobs::prelude::RunOutcome;
use guavavane_jobs::prelude::TaskKey;
use guavavane_testing::for_each_seed;
use guavavane_transport::codec::decode_message;
use guavavane_transport::codec::encode_message;

/// Number of damaged messages of each kind, one for each seed.
const MESSAGES: u64 = 2_000;

fn task() -> TaskKey {
    "5c0e7a21d94b36f8.0.1.17".parse().unwrap()
}

fn to_control() -> Vec<ToControl> {
    let mut report = idle_report(0, 1);
    report.running = vec![(task(), RunNumber(2))];
    report.completions = vec![RunCompletion {
        number: 58,
        task: task(),
        run: RunNumber(1),
        outcome: RunOutcome::Done,
        checkpoint: Arc::from("00000bb87a21d94b"),
    }];
    let job = RawJob {
        payload: "payload".to_owned(),
        steps: vec![step(4, vec![]), step(2, vec![0])],
        ..RawJob::default()
    };
    let request = CallerRequest {
        host: support::HOST.to_owned(),
        path: format!("{}{:016x}", support::PREFIX, 1),
        action: CallerAction::Submit(Arc::new(job)),
    };
    vec![
        ToControl::WorkerReport(Box::new(report)),
        ToControl::Call {
            call_id: 7,
            request,
        },
    ]
}

fn from_control() -> FromControl {
    let order = StartTask {
        task: task(),
        run: RunNumber(2),
        payload: Arc::from("payload"),
        checkpoint: Arc::from(""),
        latency_target_ms: Some(50),
        best_effort: false,
        image: Arc::from("image"),
        cpu_millis: 500,
        rank: u64::MAX,
        epoch: 1,
        ticket: Arc::from(""),
    };
    FromControl::Start {
        key: worker_heartbeat(0).key,
        order: Box::new(order),
    }
}

fn damage(mut bytes: Vec<u8>, random: &mut impl Rng) -> Vec<u8> {
    for _ in 0..random.random_range(1..5) {
        let index = random.random_range(0..bytes.len());
        // The largest bytes announce the longest lengths.
        bytes[index] = if random.random_bool(0.5) {
            random.random_range(250..=255)
        } else {
            random.random()
        };
    }
    if random.random_bool(0.2) {
        bytes.truncate(random.random_range(0..bytes.len()));
    }
    bytes
}

#[test]
fn a_damaged_message_is_decoded_or_refused() {
    let to_control: Vec<Vec<u8>> = to_control()
        .iter()
        .map(|message| encode_message(message).unwrap())
        .collect();
    let from_control = encode_message(&from_control()).unwrap();
    for_each_seed(MESSAGES, |_, random| {
        for message in &to_control {
            let _ = decode_message::<ToControl>(&damage(message.clone(), random));
        }
        let _ = decode_message::<FromControl>(&damage(from_control.clone(), random));
    });
}
