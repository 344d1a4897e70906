//! HTTP for operators: commands, health and status.

use std::time::Duration;

use flume::Sender;
use rouille::Request;
use rouille::Response;
use serde::Serialize;

use crate::caller::health_response;
use crate::control::ControlClient;
use crate::control::ControlOutcome;
use crate::directory::ServiceDirectory;
use crate::drain::EntryPhase;
use crate::drain::RequestGate;
use crate::stage::request_report;
use crate::stage::StageInput;
use crate::stage::StageReport;
use guavavane_daemon::http::json_response;
use guavavane_daemon::http::read_body;
use guavavane_daemon::http::BodyOutcome;
use guavavane_model::prelude::BootClock;
use guavavane_protocol::prelude::ControlRefusal;
use guavavane_protocol::prelude::EnvironmentVersion;
use guavavane_protocol::prelude::OperatorCommand;
use guavavane_protocol::prelude::OperatorOutcome;
use guavavane_protocol::prelude::OperatorReply;

/// Maximum size of a command in bytes: a document and its envelope.
const COMMAND_MAX_BYTES: usize = 3 * 1024 * 1024;

/// Timeout of the report of the routing stage.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);

/// Status of an entry, written as JSON.
#[derive(Debug, Serialize)]
struct EntryStatus {
    phase: EntryPhase,
    in_flight: usize,
    view_age_ms: Option<u64>,
    documents: Vec<EnvironmentVersion>,
    stage: Option<StageReport>,
}

/// Handles the HTTP requests of operators.
#[derive(Clone, Debug)]
pub struct OperatorHandler {
    /// Client of the control replicas.
    pub control: ControlClient,
    /// Services from the documents in force.
    pub directory: ServiceDirectory,
    /// Phase of the entry and requests in flight.
    pub gate: RequestGate,
    /// Inputs of the routing stage.
    pub stage: Sender<StageInput>,
    /// Timeout of a command to the control leader.
    pub timeout: Duration,
}

impl OperatorHandler {
    /// Handles one HTTP request.
    pub fn handle(&self, request: &Request) -> Response {
        match (request.method(), request.raw_url()) {
            ("POST", "/operate") => self.operate(request),
            ("GET", "/health") => health_response(self.gate.phase()),
            ("GET", "/status") => self.status(),
            _ => Response::text("no such page\n").with_status_code(404),
        }
    }

    fn operate(&self, request: &Request) -> Response {
        let body = match read_body(request, COMMAND_MAX_BYTES) {
            BodyOutcome::Whole(body) => body,
            BodyOutcome::Oversized => return rejected_response(413, "the command is too large"),
            BodyOutcome::Broken => {
                return rejected_response(400, "the command did not arrive whole")
            }
        };
        let command: OperatorCommand = match serde_json::from_slice(&body) {
            Ok(command) => command,
            Err(error) => return rejected_response(400, &error.to_string()),
        };
        tracing::info!(event = "command", remote = %request.remote_addr());
        let outcome = match self.control.call(&command, self.timeout, operator_refusal) {
            ControlOutcome::Served(OperatorReply::Outcome(outcome)) => outcome,
            ControlOutcome::Served(OperatorReply::Refused(_)) | ControlOutcome::Unavailable => {
                OperatorOutcome::Unavailable
            }
            ControlOutcome::Unknown => OperatorOutcome::Unknown,
        };
        let status = match outcome {
            OperatorOutcome::Unavailable => 503,
            OperatorOutcome::Unknown => 504,
            _ => 200,
        };
        json_response(&outcome).with_status_code(status)
    }

    fn status(&self) -> Response {
        let now = BootClock.now();
        let age = self.directory.view_age(now);
        json_response(&EntryStatus {
            phase: self.gate.phase(),
            in_flight: self.gate.in_flight(),
            view_age_ms: age.map(|age| age.as_millis() as u64),
            documents: self.directory.versions(),
            stage: request_report(&self.stage, REPORT_TIMEOUT),
        })
    }
}

fn rejected_response(status: u16, reason: &str) -> Response {
    let outcome = OperatorOutcome::Rejected {
        reason: reason.to_owned(),
    };
    json_response(&outcome).with_status_code(status)
}

fn operator_refusal(reply: &OperatorReply) -> Option<ControlRefusal> {
    match reply {
        OperatorReply::Outcome(_) => None,
        OperatorReply::Refused(refusal) => Some(*refusal),
    }
}
