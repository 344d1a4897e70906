//! HTTP client of a caller and an operator: submits jobs, queries their states and puts a
//! configuration in force.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;

use http::StatusCode;
use serde_json::json;

/// Path prefix of the queues; the job's key follows as 16 hexadecimal digits.
pub const PATH_PREFIX: &str = "/tally/";
/// Timeout for a response; longer than the timeout of the queues, 3000 ms.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(3_500);

/// Result of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestResult {
    /// A response with this status and body.
    Answered(u16, String),
    /// No complete response arrived; the request may have been executed.
    Unanswered,
}

fn read_result(result: Result<attohttpc::Response, attohttpc::Error>) -> RequestResult {
    let Ok(response) = result else {
        return RequestResult::Unanswered;
    };
    let status = response.status().as_u16();
    response.text().map_or(RequestResult::Unanswered, |text| {
        RequestResult::Answered(status, text)
    })
}

/// Submits a job of two consecutive steps with `tasks` tasks each.
pub fn submit(entry: SocketAddr, key: u64, tasks: u64) -> RequestResult {
    let body = json!({"Spec": "text", "Phases": [
        {"Count": tasks, "Cpu": 500, "MemMb": 100, "EstimateMs": 300},
        {"Count": tasks, "Cpu": 500, "MemMb": 100, "EstimateMs": 300, "After": [0]},
    ]});
    let request = attohttpc::post(format!("http://{entry}{PATH_PREFIX}{key:016x}"))
        .timeout(REQUEST_TIMEOUT)
        .text(body.to_string());
    read_result(request.send())
}

/// Queries the state of a job.
pub fn query_state(entry: SocketAddr, key: u64) -> RequestResult {
    let request =
        attohttpc::get(format!("http://{entry}{PATH_PREFIX}{key:016x}")).timeout(REQUEST_TIMEOUT);
    read_result(request.send())
}

/// Puts a configuration with one queue for each host in force; true if it is acknowledged.
///
/// Callers send the address of the entry as the host, so each entry needs a queue.
pub fn put_config(control: SocketAddr, version: u64, hosts: &[IpAddr]) -> bool {
    let routes = hosts.iter().enumerate().map(|(number, host)| {
        json!({"Name": format!("tally-{number}"), "Host": host.to_string(),
            "PathPrefix": PATH_PREFIX, "Kind": "unsafe", "TimeoutMs": 3000, "TargetLatencyMs": 250,
            "Priority": 0, "Service": "pool", "MaxAttempts": 3, "Stretch": 2.0})
    });
    let body = json!({"Version": version, "Routes": routes.collect::<Vec<_>>(),
        "Services": [{"Name": "pool", "AdmissionCheck": true}]});
    let request = attohttpc::post(format!("http://{control}/Config.Put"))
        .timeout(REQUEST_TIMEOUT)
        .follow_redirects(true)
        .text(body.to_string());
    let ok_status = StatusCode::OK.as_u16();
    matches!(read_result(request.send()), RequestResult::Answered(status, _) if status == ok_status)
}
