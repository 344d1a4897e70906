//! One send of a request and what came back.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use attohttpc::ErrorKind;

use crate::answer::EchoAnswer;
use crate::http::http_get;
use crate::http::http_post;

/// Header in which an entry says what became of a request.
pub const OUTCOME_HEADER: &str = "x-guavavane-outcome";
/// Header in which an entry says why.
pub const REASON_HEADER: &str = "x-guavavane-reason";

/// A request as a caller means it.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// The caller's id.
    pub caller_id: String,
    /// Whether it is a slip entry; otherwise it is a read.
    pub slip: bool,
    /// Idempotency key.
    pub key: Option<String>,
    /// Path with the service's prefix.
    pub path: String,
    /// Body, empty for reads.
    pub body: Vec<u8>,
}

impl CallerRequest {
    /// HTTP method.
    pub fn method(&self) -> &'static str {
        if self.slip {
            "POST"
        } else {
            "GET"
        }
    }
}

/// What one send led to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendResult {
    /// The whole answer to this request.
    Answered,
    /// Refused as not run.
    NotRun,
    /// Reported as unknown.
    Unknown,
    /// Nobody listens there.
    NotConnected,
    /// No answer in time.
    TimedOut,
    /// The connection broke before the answer was whole.
    Broken,
    /// A whole answer that is not the one to this request.
    Mismatched,
}

/// What one send led to, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SendReport {
    /// What it led to.
    pub result: SendResult,
    /// The entry's reason, if it gave one.
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

/// Sends a request once.
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
    let sent = if request.slip {
        builder
            .header("Content-Type", "application/json")
            .bytes(request.body.clone())
            .send()
    } else {
        builder.send()
    };
    match sent {
        Ok(response) => read_answer(response, request),
        Err(error) => classify_error(&error).into(),
    }
}

fn read_answer(response: attohttpc::Response, request: &CallerRequest) -> SendReport {
    let header = |name: &str| {
        let value = response.headers().get(name)?;
        value.to_str().ok().map(str::to_owned)
    };
    let outcome = header(OUTCOME_HEADER);
    let declared = header("content-length").and_then(|text| text.parse::<usize>().ok());
    let reason = header(REASON_HEADER).unwrap_or_default();
    let success = response.is_success();
    let body = match response.bytes() {
        Ok(body) => body,
        Err(error) => return classify_error(&error).into(),
    };
    let whole = EchoAnswer::belongs_to(&body, &request.caller_id, &request.body);
    let result = match outcome.as_deref() {
        _ if declared.is_some_and(|declared| declared != body.len()) => SendResult::Broken,
        Some("not-run") => SendResult::NotRun,
        Some("unknown") => SendResult::Unknown,
        Some("answered") | None if whole && success => SendResult::Answered,
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
