//! Head of an answer.

use httparse::Header;
use httparse::Response;
use httparse::Status;
use httparse::EMPTY_HEADER;

use super::body::BodyFraming;
use guavavane_contract::prelude::REQUEST_ID_HEADER;
use guavavane_protocol::prelude::HeaderField;

/// Headers of an answer at most.
const HEADERS_MAX: usize = 64;

/// Longest head, in bytes.
const HEAD_MAX_BYTES: usize = 16 * 1024;

/// Headers that concern the connection to the endpoint and are not passed on.
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

/// A head that is whole.
#[derive(Debug)]
pub(super) struct AnswerHead {
    pub(super) status: u16,
    /// Headers to pass on.
    pub(super) fields: Vec<HeaderField>,
    /// Length of the head.
    pub(super) bytes: usize,
    lengths: Vec<String>,
    encodings: Vec<String>,
    ids: Vec<String>,
}

/// What the bytes so far are.
#[derive(Debug)]
pub(super) enum HeadState {
    Whole(AnswerHead),
    Partial,
    Malformed,
}

pub(super) fn parse_head(bytes: &[u8]) -> HeadState {
    let mut headers = [EMPTY_HEADER; HEADERS_MAX];
    let mut response = Response::new(&mut headers);
    match response.parse(bytes) {
        Ok(Status::Complete(length)) if length <= HEAD_MAX_BYTES => {
            match collect_head(&response, length) {
                Some(head) => HeadState::Whole(head),
                None => HeadState::Malformed,
            }
        }
        Ok(Status::Partial) if bytes.len() <= HEAD_MAX_BYTES => HeadState::Partial,
        Ok(_) | Err(_) => HeadState::Malformed,
    }
}

fn collect_head(response: &Response<'_, '_>, bytes: usize) -> Option<AnswerHead> {
    let mut head = AnswerHead {
        status: response.code?,
        fields: Vec::with_capacity(response.headers.len()),
        bytes,
        lengths: Vec::new(),
        encodings: Vec::new(),
        ids: Vec::new(),
    };
    for header in response.headers.iter() {
        head.take_header(header)?;
    }
    Some(head)
}

impl AnswerHead {
    fn take_header(&mut self, header: &Header<'_>) -> Option<()> {
        let name = header.name.to_ascii_lowercase();
        let value = std::str::from_utf8(header.value).ok()?.trim().to_owned();
        match name.as_str() {
            "content-length" => self.lengths.push(value.clone()),
            "transfer-encoding" => self.encodings.push(value.to_ascii_lowercase()),
            REQUEST_ID_HEADER => self.ids.push(value.clone()),
            _ => {}
        }
        if !DROPPED_HEADERS.contains(&name.as_str()) {
            self.fields.push(HeaderField { name, value });
        }
        Some(())
    }

    /// Whether the answer names this request and no other.
    pub(super) fn repeats(&self, id: &str) -> bool {
        self.ids.len() == 1 && self.ids[0] == id
    }

    /// How the end of the body is told, or nothing if it cannot be.
    pub(super) fn framing(&self, is_head_request: bool) -> Option<BodyFraming> {
        if self.status < 200 {
            return None;
        }
        if is_head_request || self.status == 204 || self.status == 304 {
            return Some(BodyFraming::Length(0));
        }
        match (self.lengths.as_slice(), self.encodings.as_slice()) {
            ([length], []) if length.bytes().all(|byte| byte.is_ascii_digit()) => {
                length.parse().ok().map(BodyFraming::Length)
            }
            ([], [encoding]) if encoding == "chunked" => Some(BodyFraming::Chunked),
            _ => None,
        }
    }
}
