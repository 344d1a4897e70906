//! A caller: hands in jobs, repeats what is unclear, and asks for states.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;

use http::StatusCode;
use serde_json::json;

/// What the paths of jobs begin with.
pub const PREFIX: &str = "/tally/";
/// Longest wait for an answer.
const TIMEOUT: Duration = Duration::from_millis(3_500);

/// What a caller learned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerWord {
    /// An answer with this status and body.
    Answered(u16, String),
    /// None.
    Silence,
}

fn word(result: Result<attohttpc::Response, attohttpc::Error>) -> CallerWord {
    let Ok(response) = result else {
        return CallerWord::Silence;
    };
    let status = response.status().as_u16();
    response.text().map_or(CallerWord::Silence, |text| {
        CallerWord::Answered(status, text)
    })
}

/// Hands in a job of two steps with `tasks` tasks each.
pub fn submit(entry: SocketAddr, key: u64, tasks: u64) -> CallerWord {
    let body = json!({"Spec": "text", "Phases": [
        {"Count": tasks, "Cpu": 500, "MemMb": 100, "EstimateMs": 300},
        {"Count": tasks, "Cpu": 500, "MemMb": 100, "EstimateMs": 300, "After": [0]},
    ]});
    let request = attohttpc::post(format!("http://{entry}{PREFIX}{key:016x}"))
        .timeout(TIMEOUT)
        .text(body.to_string());
    word(request.send())
}

/// Asks for the state of a job.
pub fn state(entry: SocketAddr, key: u64) -> CallerWord {
    let request = attohttpc::get(format!("http://{entry}{PREFIX}{key:016x}")).timeout(TIMEOUT);
    word(request.send())
}

/// Puts a configuration in force with one queue for each host; true once it is acknowledged.
///
/// Callers name the address of the entry as their host, so each entry has a queue.
pub fn put_config(control: SocketAddr, version: u64, hosts: &[IpAddr]) -> bool {
    let routes = hosts.iter().enumerate().map(|(number, host)| {
        json!({"Name": format!("tally-{number}"), "Host": host.to_string(),
            "PathPrefix": PREFIX, "Kind": "unsafe", "TimeoutMs": 3000, "TargetLatencyMs": 250,
            "Priority": 0, "Service": "pool", "MaxAttempts": 3, "Stretch": 2.0})
    });
    let body = json!({"Version": version, "Routes": routes.collect::<Vec<_>>(),
        "Services": [{"Name": "pool", "AdmissionCheck": true}]});
    let request = attohttpc::post(format!("http://{control}/Config.Put"))
        .timeout(TIMEOUT)
        .follow_redirects(true)
        .text(body.to_string());
    let acknowledged = StatusCode::OK.as_u16();
    matches!(word(request.send()), CallerWord::Answered(status, _) if status == acknowledged)
}
