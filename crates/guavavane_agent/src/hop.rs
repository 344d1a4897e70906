//! One HTTP exchange with an endpoint, on a connection of its own.
//!
//! A connection that serves one request cannot hand the answer of one request to another. The
//! answer counts only if it is whole, within its bound and repeats the request's id.

use std::io;
use std::io::Read;
use std::net::SocketAddr;
use std::time::Duration;

use attohttpc::header::HeaderName;
use attohttpc::header::HeaderValue;
use attohttpc::ErrorKind;
use attohttpc::Method;
use attohttpc::ProxySettings;
use attohttpc::RequestBuilder;
use attohttpc::Response;

use crate::guard::HopResult;
use guavavane_platform::endpoint::DEADLINE_HEADER;
use guavavane_platform::prelude::REQUEST_ID_HEADER;
use guavavane_protocol::prelude::DispatchRequest;
use guavavane_protocol::prelude::HeaderField;
use guavavane_protocol::prelude::HttpAnswer;
use guavavane_protocol::prelude::RequestAttempt;

/// Headers that concern one connection and are not passed on.
const CONNECTION_HEADERS: [&str; 9] = [
    "connection",
    "content-length",
    "host",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Longest time to open a connection to an endpoint on the same machine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// An exchange with an endpoint.
#[derive(Clone, Debug)]
pub struct EndpointHop {
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// Time after which the connection is given up.
    pub limit: Duration,
    /// Time left to the caller, which the endpoint is told.
    pub deadline: Duration,
    /// Longest answer, headers included, in bytes.
    pub answer_max_bytes: usize,
}

/// Value of [`REQUEST_ID_HEADER`] for an attempt.
pub fn attempt_id(attempt: &RequestAttempt) -> String {
    format!("{}-{}", attempt.request, attempt.attempt)
}

impl EndpointHop {
    /// Sends the request and reads the answer.
    pub fn exchange(&self, request: &DispatchRequest) -> HopResult {
        let id = attempt_id(&request.attempt);
        let Some(builder) = self.build(request, &id) else {
            // A request that is no HTTP request is never sent.
            return HopResult::NotSent;
        };
        match builder.bytes(request.body.as_slice()).send() {
            Ok(response) => self.read_answer(response, &id),
            Err(error) => send_failure(&error),
        }
    }

    fn build(&self, request: &DispatchRequest, id: &str) -> Option<RequestBuilder> {
        let method = Method::from_bytes(request.method.as_bytes()).ok()?;
        let path = request.path.trim_start_matches('/');
        let url = format!("http://{}/{path}", self.address);
        let mut builder = RequestBuilder::try_new(method, url).ok()?;
        builder = builder
            .follow_redirects(false)
            .proxy_settings(ProxySettings::builder().build())
            .connect_timeout(CONNECT_TIMEOUT)
            .read_timeout(self.limit)
            .timeout(self.limit);
        for field in &request.headers {
            let name = HeaderName::from_bytes(field.name.as_bytes()).ok()?;
            let value = HeaderValue::from_str(&field.value).ok()?;
            if !CONNECTION_HEADERS.contains(&name.as_str()) {
                builder = builder.try_header_append(name, value).ok()?;
            }
        }
        let deadline = self.deadline.as_millis().to_string();
        builder
            .try_header(DEADLINE_HEADER, deadline)
            .ok()?
            .try_header(REQUEST_ID_HEADER, id)
            .ok()
    }

    fn read_answer(&self, response: Response, id: &str) -> HopResult {
        let (status, headers, reader) = response.split();
        let mut repeated = headers.get_all(REQUEST_ID_HEADER).iter();
        let matches = repeated.next().is_some_and(|value| value == id) && repeated.next().is_none();
        if !matches || status.is_informational() {
            return HopResult::Malformed;
        }
        let mut fields = Vec::new();
        for (name, value) in &headers {
            let Ok(value) = value.to_str() else {
                return HopResult::Malformed;
            };
            if !CONNECTION_HEADERS.contains(&name.as_str()) {
                fields.push(HeaderField {
                    name: name.as_str().to_owned(),
                    value: value.to_owned(),
                });
            }
        }
        match read_bounded(reader, self.answer_max_bytes) {
            Ok(Some(body)) => HopResult::Answered(HttpAnswer {
                status: status.as_u16(),
                headers: fields,
                body,
            }),
            Ok(None) => HopResult::Malformed,
            Err(error) => read_failure(&error),
        }
    }
}

/// Reads to the end, or `None` if there is more than `limit`.
fn read_bounded(reader: impl Read, limit: usize) -> io::Result<Option<Vec<u8>>> {
    let mut body = Vec::new();
    reader.take(limit as u64 + 1).read_to_end(&mut body)?;
    Ok((body.len() <= limit).then_some(body))
}

/// Only a refused connection proves that nothing was sent.
fn send_failure(error: &attohttpc::Error) -> HopResult {
    match error.kind() {
        ErrorKind::Io(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
            HopResult::NotSent
        }
        ErrorKind::Io(error) => read_failure(error),
        _ => HopResult::Malformed,
    }
}

fn read_failure(error: &io::Error) -> HopResult {
    match error.kind() {
        io::ErrorKind::TimedOut | io::ErrorKind::WouldBlock => HopResult::TimedOut,
        io::ErrorKind::ConnectionReset
        | io::ErrorKind::ConnectionAborted
        | io::ErrorKind::BrokenPipe
        | io::ErrorKind::NotConnected => HopResult::Lost,
        _ => HopResult::Malformed,
    }
}
