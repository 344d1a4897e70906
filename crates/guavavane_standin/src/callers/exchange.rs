//! Sends a request once and classifies the answer.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use attohttpc::ErrorKind;

use crate::answer::EchoAnswer;
use crate::http::http_get;
use crate::http::http_post;

/// Response header with the outcome of a request, set by entries.
pub const OUTCOME_HEADER: &str = "x-guavavane-outcome";
/// Response header with the reason of the outcome, set by entries.
pub const REASON_HEADER: &str = "x-guavavane-reason";

/// A request, independent of how often and to which target it is sent.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Identity that the caller gave the request.
    pub caller_id: String,
    /// Whether the request is a slip entry (a write); otherwise it is a read.
    pub slip: bool,
    /// Idempotency key; `None` for reads.
    pub key: Option<String>,
    /// Path with the prefix of the service.
    pub path: String,
    /// Request body; empty for reads.
    pub body: Vec<u8>,
}

impl CallerRequest {
    /// Returns the HTTP method.
    pub fn method(&self) -> &'static str {
        if self.slip {
            "POST"
        } else {
            "GET"
        }
    }
}

/// Result of one send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendResult {
    /// The complete answer to this request arrived.
    Answered,
    /// An entry answered that the request was not run.
    NotRun,
    /// An entry answered that the outcome is unknown.
    Unknown,
    /// The target refused the connection.
    NotConnected,
    /// No answer arrived within the timeout.
    TimedOut,
    /// The connection broke before the answer was complete.
    Broken,
    /// A complete answer arrived that is not the answer to this request.
    Mismatched,
}

/// Result of one send, with the reason that the entry gave.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SendReport {
    /// Result of the send.
    pub result: SendResult,
    /// Reason that the entry gave; empty without one.
    pub reason: String,
}

impl From<SendResult> for SendReport {
    fn from(result: SendResult) -> Self {
        Self {
            result,
            reason: String::new(),
        }
    }
}

/// Sends a request once and blocks for the answer, no longer than `timeout`.
pub fn send_once(target: SocketAddr, request: &CallerRequest, timeout: Duration) -> SendReport {
    let url = format!("http://{target}{}", request.path);
    let mut builder = if request.slip {
        http_post(url)
    } else {
        http_get(url)
    };
    builder = builder.timeout(timeout).follow_redirects(false);
    if let Some(key) = &request.key {
        builder = builder.header("Idempotency-Key", key);
    }
    let exchange = if request.slip {
        builder
            .header("Content-Type", "application/json")
            .bytes(request.body.clone())
            .send()
    } else {
        builder.send()
    };
    match exchange {
        Ok(response) => classify_answer(response, request),
        Err(error) => classify_error(&error).into(),
    }
}

fn classify_answer(response: attohttpc::Response, request: &CallerRequest) -> SendReport {
    let header = |name: &str| {
        let value = response.headers().get(name)?;
        value.to_str().ok().map(str::to_owned)
    };
    let outcome = header(OUTCOME_HEADER);
    let declared_bytes = header("content-length").and_then(|text| text.parse::<usize>().ok());
    let reason = header(REASON_HEADER).unwrap_or_default();
    let success = response.is_success();
    let body = match response.bytes() {
        Ok(body) => body,
        Err(error) => return classify_error(&error).into(),
    };
    let is_own_answer = EchoAnswer::belongs_to(&body, &request.caller_id, &request.body);
    let result = match outcome.as_deref() {
        _ if declared_bytes.is_some_and(|declared_bytes| declared_bytes != body.len()) => {
            SendResult::Broken
        }
        Some("not-run") => SendResult::NotRun,
        Some("unknown") => SendResult::Unknown,
        Some("answered") | None if is_own_answer && success => SendResult::Answered,
        _ => SendResult::Mismatched,
    };
    SendReport { result, reason }
}

fn classify_error(error: &attohttpc::Error) -> SendResult {
    let ErrorKind::Io(error) = error.kind() else {
        return SendResult::Broken;
    };
    match error.kind() {
        io::ErrorKind::ConnectionRefused => SendResult::NotConnected,
        io::ErrorKind::TimedOut | io::ErrorKind::WouldBlock => SendResult::TimedOut,
        _ => SendResult::Broken,
    }
}
