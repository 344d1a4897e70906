//! Encoding of a request for the endpoint.

use std::net::SocketAddr;
use std::time::Duration;

use http::HeaderName;
use http::HeaderValue;
use http::Method;

use guavavane_contract::prelude::DEADLINE_HEADER;
use guavavane_contract::prelude::REQUEST_ID_HEADER;
use guavavane_protocol::prelude::DispatchRequest;
use guavavane_protocol::prelude::RequestAttempt;

/// Headers that apply only to the connection with the entry, or that the agent sets itself; they
/// are not forwarded.
const DROPPED_HEADERS: [&str; 13] = [
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "http2-settings",
    DEADLINE_HEADER,
    REQUEST_ID_HEADER,
];

/// Value of [`REQUEST_ID_HEADER`] for an attempt, which the answer must repeat.
pub fn attempt_id(attempt: &RequestAttempt) -> String {
    format!("{}-{}", attempt.request, attempt.attempt)
}

/// Encodes a request as HTTP/1.1; `None` if it isn't a valid HTTP request.
pub(super) fn encode_request(
    address: SocketAddr,
    deadline: Duration,
    request: &DispatchRequest,
) -> Option<Vec<u8>> {
    let method = Method::from_bytes(request.method.as_bytes()).ok()?;
    let path = request.path.trim_start_matches('/');
    let is_visible = |byte: u8| byte.is_ascii_graphic();
    if method == Method::CONNECT || !path.bytes().all(is_visible) {
        return None;
    }
    let id = attempt_id(&request.attempt);
    let mut head = format!(
        "{method} /{path} HTTP/1.1\r\n\
         host: {address}\r\n\
         connection: close\r\n\
         {REQUEST_ID_HEADER}: {id}\r\n\
         {DEADLINE_HEADER}: {}\r\n\
         content-length: {}\r\n",
        deadline.as_millis(),
        request.body.len(),
    );
    for field in &request.headers {
        let name = HeaderName::from_bytes(field.name.as_bytes()).ok()?;
        HeaderValue::from_str(&field.value).ok()?;
        if !DROPPED_HEADERS.contains(&name.as_str()) {
            head.push_str(name.as_str());
            head.push_str(": ");
            head.push_str(&field.value);
            head.push_str("\r\n");
        }
    }
    head.push_str("\r\n");
    let mut message = head.into_bytes();
    message.extend_from_slice(&request.body);
    Some(message)
}
