//! HTTP client of a caller and an operator: submits jobs, queries their states and puts a
//! configuration in force.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;

use http::StatusCode;
use serde_json::json;
use serde_json::Value;

use guavavane_standin::simulated_worker::LONG_RUNNING_PAYLOAD;

/// Path prefix of the queues; the job's key follows as 16 hexadecimal digits.
pub const PATH_PREFIX: &str = "/tally/";
/// Timeout for the response of a control process that is asked whether it leads.
const LEADER_QUERY_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout for a response; longer than the timeout of the queues, 3000 ms.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(3_500);
/// Number of failed runs of a task after which its job fails.
pub const ATTEMPTS_MAX: usize = 3;

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

/// Tasks of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobKind {
    /// Two consecutive steps with this many tasks each.
    Batch(u64),
    /// One step with this many long-running tasks.
    LongRunning(u64),
}

impl JobKind {
    fn body(self) -> Value {
        match self {
            Self::Batch(tasks) => json!({"Spec": "text", "Phases": [
                {"Count": tasks, "Cpu": 500, "MemMb": 100, "EstimateMs": 300},
                {"Count": tasks, "Cpu": 500, "MemMb": 100, "EstimateMs": 300, "After": [0]},
            ]}),
            Self::LongRunning(tasks) => json!({"Spec": LONG_RUNNING_PAYLOAD, "Phases": [
                {"Count": tasks, "Cpu": 300, "MemMb": 100, "EstimateMs": 300, "LongRunning": true},
            ]}),
        }
    }
}

/// Submits a job.
pub fn submit(entry: SocketAddr, key: u64, kind: JobKind) -> RequestResult {
    let request = attohttpc::post(format!("http://{entry}{PATH_PREFIX}{key:016x}"))
        .timeout(REQUEST_TIMEOUT)
        .text(kind.body().to_string());
    read_result(request.send())
}

/// Queries the state of a job.
pub fn query_state(entry: SocketAddr, key: u64) -> RequestResult {
    let request =
        attohttpc::get(format!("http://{entry}{PATH_PREFIX}{key:016x}")).timeout(REQUEST_TIMEOUT);
    read_result(request.send())
}

/// Configuration that an operator sends.
#[derive(Clone, Debug)]
pub struct ConfigRequest {
    /// Version of the configuration.
    pub version: u64,
    /// Hosts with a queue each. Callers send the address of the entry as the host, so each entry
    /// needs a queue.
    pub hosts: Vec<IpAddr>,
    /// Number of spaces that are appended to the text.
    pub padding_bytes: usize,
}

impl ConfigRequest {
    fn text(&self) -> String {
        let routes = self.hosts.iter().enumerate().map(|(number, host)| {
            json!({"Name": format!("tally-{number}"), "Host": host.to_string(),
                "PathPrefix": PATH_PREFIX, "Kind": "unsafe", "TimeoutMs": 3000,
                "TargetLatencyMs": 250, "Priority": 0, "Service": "pool",
                "MaxAttempts": ATTEMPTS_MAX, "Stretch": 2.0})
        });
        let body = json!({"Version": self.version, "Routes": routes.collect::<Vec<_>>(),
            "Services": [{"Name": "pool", "AdmissionCheck": true}]});
        body.to_string() + &" ".repeat(self.padding_bytes)
    }
}

/// Puts a configuration in force; true if it is acknowledged.
pub fn put_config(control: SocketAddr, config: &ConfigRequest) -> bool {
    let request = attohttpc::post(format!("http://{control}/Config.Put"))
        .timeout(REQUEST_TIMEOUT)
        .follow_redirects(true)
        .text(config.text());
    let ok_status = StatusCode::OK.as_u16();
    matches!(read_result(request.send()), RequestResult::Answered(status, _) if status == ok_status)
}

/// Reads the version of the configuration in force; none if the process doesn't answer with one.
pub fn read_config_version(control: SocketAddr) -> Option<u64> {
    let request = attohttpc::get(format!("http://{control}/Config.Get"))
        .timeout(REQUEST_TIMEOUT)
        .follow_redirects(true);
    let RequestResult::Answered(_, text) = read_result(request.send()) else {
        return None;
    };
    let config = serde_json::from_str::<Value>(&text).ok()?;
    config["Version"].as_u64()
}

/// Whether a control process leads: the others redirect a read of the configuration.
pub fn is_leader(control: SocketAddr) -> bool {
    let request = attohttpc::get(format!("http://{control}/Config.Get"))
        .timeout(LEADER_QUERY_TIMEOUT)
        .follow_redirects(false);
    let ok_status = StatusCode::OK.as_u16();
    matches!(read_result(request.send()), RequestResult::Answered(status, _) if status == ok_status)
}
