//! HTTP responses for the results of requests.
//!
//! Each response carries [`OUTCOME_HEADER`] with `answered`, `not-run` or `unknown`. A response
//! that is not the answer of an endpoint also carries [`REASON_HEADER`].

use std::borrow::Cow;
use std::io::Cursor;
use std::io::Read;

use rouille::Response;
use rouille::ResponseBody;

use crate::drain::InFlightGuard;
use guavavane_protocol::prelude::HttpResponse;
use guavavane_protocol::prelude::UnknownReason;
use guavavane_routing::prelude::NotRunReason;
use guavavane_routing::prelude::RequestResult;
use guavavane_transport::proxy::InFlightGuard as ConnectionGuard;

/// Header with the outcome of the request: `answered`, `not-run` or `unknown`.
pub const OUTCOME_HEADER: &str = "x-guavavane-outcome";

/// Header with the reason why no endpoint answered the request.
pub const REASON_HEADER: &str = "x-guavavane-reason";

/// Headers that concern a single connection and are not forwarded.
const CONNECTION_HEADERS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
];

/// Returns whether a header concerns a single connection.
pub fn is_connection_header(name: &str) -> bool {
    CONNECTION_HEADERS
        .iter()
        .any(|header| header.eq_ignore_ascii_case(name))
}

/// Returns the HTTP response for a result.
pub fn result_response(result: RequestResult) -> Response {
    match result {
        RequestResult::Answered(answer) => answered_response(answer),
        RequestResult::NotRun(reason) => {
            not_run_response(not_run_status(reason), &reason.to_string())
        }
        RequestResult::Unknown(reason) => {
            response_without_answer(unknown_status(reason), "unknown", unknown_reason(reason))
        }
    }
}

/// Returns the HTTP response for a request that was not run.
pub fn not_run_response(status: u16, reason: &str) -> Response {
    response_without_answer(status, "not-run", reason)
}

fn response_without_answer(status: u16, outcome: &'static str, reason: &str) -> Response {
    Response::text(format!("{outcome}: {reason}\n"))
        .with_status_code(status)
        .with_unique_header(OUTCOME_HEADER, outcome)
        .with_unique_header(REASON_HEADER, reason.to_owned())
}

fn answered_response(answer: HttpResponse) -> Response {
    let mut headers: Vec<(Cow<'static, str>, Cow<'static, str>)> = answer
        .headers
        .into_iter()
        .filter(|header| !is_connection_header(&header.name))
        .filter(|header| !header.name.starts_with("x-guavavane-"))
        .map(|header| (header.name.into(), header.value.into()))
        .collect();
    headers.push((OUTCOME_HEADER.into(), "answered".into()));
    Response {
        status_code: answer.status,
        headers,
        data: ResponseBody::from_data(answer.body),
        upgrade: None,
    }
}

fn not_run_status(reason: NotRunReason) -> u16 {
    match reason {
        NotRunReason::Overloaded => 429,
        NotRunReason::KeyMismatch => 422,
        NotRunReason::NoEndpoint
        | NotRunReason::DeadlinePassed
        | NotRunReason::Refused
        | NotRunReason::ClaimsFull
        | NotRunReason::ControlUnavailable => 503,
    }
}

fn unknown_status(reason: UnknownReason) -> u16 {
    match reason {
        UnknownReason::ConnectionLost
        | UnknownReason::BadAnswer
        | UnknownReason::AgentRestarted => 502,
        UnknownReason::EndpointTimeout
        | UnknownReason::StillRunning
        | UnknownReason::AgentTimeout => 504,
    }
}

fn unknown_reason(reason: UnknownReason) -> &'static str {
    match reason {
        UnknownReason::EndpointTimeout => "endpoint-timeout",
        UnknownReason::ConnectionLost => "connection-lost",
        UnknownReason::BadAnswer => "bad-answer",
        UnknownReason::StillRunning => "still-running",
        UnknownReason::AgentRestarted => "agent-restarted",
        UnknownReason::AgentTimeout => "agent-timeout",
    }
}

/// Body that keeps its request in flight until it is written.
struct GuardedBody {
    bytes: Cursor<Vec<u8>>,
    _guard: InFlightGuard,
    _connection_guard: ConnectionGuard,
}

impl Read for GuardedBody {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        self.bytes.read(buffer)
    }
}

/// Keeps a request in flight, and its connection open, until the response is written.
pub fn hold_until_written(
    response: Response,
    guard: InFlightGuard,
    connection_guard: ConnectionGuard,
) -> Response {
    let (mut reader, _) = response.data.into_reader_and_size();
    let mut bytes = Vec::new();
    reader
        .read_to_end(&mut bytes)
        .expect("the body is in memory");
    let size = bytes.len();
    let body = GuardedBody {
        bytes: Cursor::new(bytes),
        _guard: guard,
        _connection_guard: connection_guard,
    };
    Response {
        data: ResponseBody::from_reader_and_size(body, size),
        ..response
    }
}
