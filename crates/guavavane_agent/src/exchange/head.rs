//! Parsing of an answer's head: status line and headers.

use httparse::Header;
use httparse::Response;
use httparse::Status;
use httparse::EMPTY_HEADER;

use super::body::BodyFraming;
use guavavane_contract::prelude::REQUEST_ID_HEADER;
use guavavane_protocol::prelude::HeaderField;

/// Maximum number of headers in an answer.
const HEADERS_MAX: usize = 64;

/// Maximum size of a head in bytes.
const HEAD_MAX_BYTES: usize = 16 * 1024;

/// Headers that apply only to the connection with the endpoint; they are not forwarded.
const DROPPED_HEADERS: [&str; 8] = [
    "connection",
    "content-length",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Complete head of an answer.
#[derive(Debug)]
pub(super) struct AnswerHead {
    pub(super) status: u16,
    /// Headers to forward.
    pub(super) fields: Vec<HeaderField>,
    /// Size of the head in bytes.
    pub(super) size_bytes: usize,
    /// Values of all `content-length` headers.
    content_lengths: Vec<String>,
    /// Values of all `transfer-encoding` headers, in lower case.
    transfer_encodings: Vec<String>,
    /// Values of all [`REQUEST_ID_HEADER`] headers.
    request_ids: Vec<String>,
}

/// Result of parsing the bytes received so far.
#[derive(Debug)]
pub(super) enum HeadState {
    Complete(AnswerHead),
    Partial,
    Malformed,
}

pub(super) fn parse_head(bytes: &[u8]) -> HeadState {
    let mut headers = [EMPTY_HEADER; HEADERS_MAX];
    let mut response = Response::new(&mut headers);
    match response.parse(bytes) {
        Ok(Status::Complete(length)) if length <= HEAD_MAX_BYTES => {
            match build_head(&response, length) {
                Some(head) => HeadState::Complete(head),
                None => HeadState::Malformed,
            }
        }
        Ok(Status::Partial) if bytes.len() <= HEAD_MAX_BYTES => HeadState::Partial,
        Ok(_) | Err(_) => HeadState::Malformed,
    }
}

fn build_head(response: &Response<'_, '_>, size_bytes: usize) -> Option<AnswerHead> {
    let mut head = AnswerHead {
        status: response.code?,
        fields: Vec::with_capacity(response.headers.len()),
        size_bytes,
        content_lengths: Vec::new(),
        transfer_encodings: Vec::new(),
        request_ids: Vec::new(),
    };
    for header in response.headers.iter() {
        head.add_header(header)?;
    }
    Some(head)
}

impl AnswerHead {
    /// Adds a header; `None` if its value isn't UTF-8.
    fn add_header(&mut self, header: &Header<'_>) -> Option<()> {
        let name = header.name.to_ascii_lowercase();
        let value = std::str::from_utf8(header.value).ok()?.trim().to_owned();
        match name.as_str() {
            "content-length" => self.content_lengths.push(value.clone()),
            "transfer-encoding" => self.transfer_encodings.push(value.to_ascii_lowercase()),
            REQUEST_ID_HEADER => self.request_ids.push(value.clone()),
            _ => {}
        }
        if !DROPPED_HEADERS.contains(&name.as_str()) {
            self.fields.push(HeaderField { name, value });
        }
        Some(())
    }

    /// Whether the answer has exactly one request id, equal to `id`.
    pub(super) fn has_single_request_id(&self, id: &str) -> bool {
        self.request_ids.len() == 1 && self.request_ids[0] == id
    }

    /// How the end of the body is found; `None` if the headers are missing or contradictory.
    pub(super) fn framing(&self, is_head_request: bool) -> Option<BodyFraming> {
        if self.status < 200 {
            return None;
        }
        if is_head_request || self.status == 204 || self.status == 304 {
            return Some(BodyFraming::Length(0));
        }
        match (
            self.content_lengths.as_slice(),
            self.transfer_encodings.as_slice(),
        ) {
            ([length], []) if length.bytes().all(|byte| byte.is_ascii_digit()) => {
                length.parse().ok().map(BodyFraming::Length)
            }
            ([], [encoding]) if encoding == "chunked" => Some(BodyFraming::Chunked),
            _ => None,
        }
    }
}
