//! HTTP server of a simulated worker, and its heartbeats to its agent.

use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use http::StatusCode;
use serde_json::json;
use serde_json::Value;

use guavavane_cell::prelude::OrderAnswer;
use guavavane_cell::prelude::OrderRefusal;
use guavavane_cell::prelude::RenewalAnswer;
use guavavane_cell::prelude::RenewalReport;
use guavavane_cell::prelude::StartOrder;
use guavavane_cell::prelude::WorkerApi;
use guavavane_jobs::prelude::RunNumber;
use guavavane_jobs::prelude::TaskKey;
use guavavane_jobs::prelude::WorkerKey;
use guavavane_platform::client::CallRequest;
use guavavane_platform::client::PlatformClient;
use guavavane_platform::server::empty_response;
use guavavane_platform::server::json_response;
use guavavane_platform::server::serve;
use guavavane_platform::server::BufferedRequest;
use guavavane_platform::server::BufferedResponse;
use guavavane_standin::simulated_worker::SimulatedWorker;

/// Time between two heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
/// Start of a worker's first incarnation, in milliseconds since 1970.
const FIRST_STARTED_MS: u64 = 1;
/// Time after which a call that the worker leaves unanswered is given up; longer than its caller waits.
const UNANSWERED_TIME: Duration = Duration::from_secs(4);
/// Time between two checks whether the worker has started again; it then sends a heartbeat at once.
const RESTART_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Timeout for the response to a heartbeat.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(800);

/// Serves a worker and sends its heartbeats to its agent, in tasks that run until the runtime ends.
/// No heartbeat is sent while `heartbeats_paused` is true.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub async fn run_worker(
    worker: SimulatedWorker,
    address: SocketAddr,
    agent: SocketAddr,
    number: usize,
    heartbeats_paused: Arc<AtomicBool>,
) -> std::io::Result<()> {
    let key = WorkerKey {
        name: Arc::from(format!("i-{number}")),
        started_ms: FIRST_STARTED_MS,
    };
    let (served_worker, served_key) = (worker.clone(), key.clone());
    serve(address, move |request| {
        let (worker, key) = (served_worker.clone(), served_key.clone());
        async move { answer_call(&worker, key, request).await }
    })
    .await?;
    tokio::spawn(send_heartbeats(agent, worker, number, heartbeats_paused));
    Ok(())
}

/// Start of the worker's present incarnation, in milliseconds since 1970.
pub fn started_ms(worker: &SimulatedWorker) -> u64 {
    worker.started_ms().unwrap_or(FIRST_STARTED_MS)
}

async fn send_heartbeats(
    agent: SocketAddr,
    worker: SimulatedWorker,
    number: usize,
    paused: Arc<AtomicBool>,
) {
    let client = PlatformClient::new(agent);
    let paths = [
        "/Instances.Heartbeat/i-0",
        "/Instances.Heartbeat/i-1",
        "/Instances.Heartbeat/i-2",
    ];
    let (mut sequence, mut born) = (0, 0);
    loop {
        while paused.load(Ordering::Relaxed) || worker.silent.load(Ordering::Relaxed) {
            tokio::time::sleep(RESTART_CHECK_INTERVAL).await;
        }
        sequence = if born == started_ms(&worker) {
            sequence + 1
        } else {
            1
        };
        born = started_ms(&worker);
        let body = json!({
            "Service": "pool", "Addr": "127.0.0.1:1", "Zone": "caxias", "Version": "v1",
            "Slots": 8, "State": "ready", "ColdLeftMs": 0, "Seq": sequence, "born": born,
            "Capacity": {"Cpu": 8000, "MemMb": 8000, "Gpus": 0}, "Labels": ["a", "r1"],
        });
        // A failed heartbeat needs no retry: the next one follows after the interval.
        client
            .post(CallRequest {
                path: paths[number % paths.len()],
                headers: Vec::new(),
                body: body.to_string().into_bytes(),
                timeout: HEARTBEAT_TIMEOUT,
            })
            .await;
        let next_at = Instant::now() + HEARTBEAT_INTERVAL;
        while Instant::now() < next_at && born == started_ms(&worker) {
            tokio::time::sleep(RESTART_CHECK_INTERVAL).await;
        }
    }
}

async fn order_response(answer: OrderAnswer) -> BufferedResponse {
    match answer {
        OrderAnswer::Done => json_response(StatusCode::OK, r#"{"ClockMs":1}"#),
        OrderAnswer::Refused(OrderRefusal::Old) => {
            json_response(StatusCode::CONFLICT, r#"{"ClockMs":1,"Reason":"old"}"#)
        }
        OrderAnswer::Refused(OrderRefusal::Late) => {
            json_response(StatusCode::CONFLICT, r#"{"ClockMs":1,"Reason":"late"}"#)
        }
        OrderAnswer::Refused(_) => {
            json_response(StatusCode::CONFLICT, r#"{"ClockMs":1,"Reason":"room"}"#)
        }
        OrderAnswer::OtherIncarnation => empty_response(StatusCode::MISDIRECTED_REQUEST),
        OrderAnswer::Unanswered => unanswered().await,
    }
}

/// Leaves a call without a response for longer than its caller waits.
async fn unanswered() -> BufferedResponse {
    tokio::time::sleep(UNANSWERED_TIME).await;
    empty_response(StatusCode::SERVICE_UNAVAILABLE)
}

fn runs_response(report: &RenewalReport) -> BufferedResponse {
    let running = report.running.iter();
    let running = running.map(|status| json!([status.task.to_string(), status.run.0, "", 50, 0]));
    let completions = report.completions.iter();
    let completions = completions.map(|completion| {
        json!([
            completion.number,
            completion.task.to_string(),
            completion.run.0,
            completion.outcome.name(),
            ""
        ])
    });
    let body = json!({
        "ClockMs": report.clock_ms,
        "born": report.started_ms.unwrap_or(FIRST_STARTED_MS),
        "Running": running.collect::<Vec<Value>>(),
        "Finished": completions.collect::<Vec<Value>>(),
    });
    json_response(StatusCode::OK, body.to_string())
}

/// Executes an order or a lease renewal on the worker.
async fn answer_call(
    worker: &SimulatedWorker,
    key: WorkerKey,
    request: BufferedRequest,
) -> BufferedResponse {
    let Ok(body) = serde_json::from_slice::<Value>(&request.body) else {
        return empty_response(StatusCode::BAD_REQUEST);
    };
    let fencing_token = body["Fence"].as_u64().unwrap_or(0);
    let run = RunNumber(body["Run"].as_u64().unwrap_or(0) as u32);
    let task = body["Task"]
        .as_str()
        .and_then(|task| task.parse::<TaskKey>().ok());
    match (request.path(), task) {
        ("/run-start", Some(task)) => {
            let order = StartOrder {
                task,
                run,
                payload: Arc::from(body["Spec"].as_str().unwrap_or("")),
                checkpoint: Arc::from(""),
                deadline_ms: body["DeadlineMs"].as_u64().unwrap_or(0),
                ticket: Arc::from(body["Ticket"].as_str().unwrap_or("")),
            };
            order_response(worker.start(key, fencing_token, order).await).await
        }
        ("/run-stop", Some(task)) => {
            order_response(worker.stop(key, fencing_token, task, run).await).await
        }
        ("/hold", _) => {
            let wait = Duration::from_millis(body["WaitMs"].as_u64().unwrap_or(0));
            let last_completion = body["LastSeen"].as_u64().unwrap_or(0);
            let deadline = body["DeadlineMs"].as_u64();
            match worker
                .renew_lease(key, fencing_token, last_completion, deadline, wait)
                .await
            {
                RenewalAnswer::Report(report) => runs_response(&report),
                _ => unanswered().await,
            }
        }
        _ => empty_response(StatusCode::NOT_FOUND),
    }
}
