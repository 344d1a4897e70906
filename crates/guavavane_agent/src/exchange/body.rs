//! Parsing of an answer's body, framed by its length or by chunks.

use httparse::parse_chunk_size;
use httparse::Status;

/// Line end after the data of a chunk.
const CRLF: &[u8] = b"\r\n";

/// How the end of a body is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BodyFraming {
    /// After this number of bytes.
    Length(usize),
    /// After a chunk of size 0.
    Chunked,
}

/// Result of parsing the bytes received so far.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum BodyState {
    /// The complete body, without bytes after it.
    Complete(Vec<u8>),
    /// The beginning of a body.
    Partial,
    /// More bytes than declared or allowed, or invalid framing.
    Malformed,
}

/// Parses a body of at most `limit` bytes.
pub(super) fn parse_body(framing: BodyFraming, bytes: &[u8], limit: usize) -> BodyState {
    match framing {
        BodyFraming::Length(length) if length > limit || bytes.len() > length => {
            BodyState::Malformed
        }
        BodyFraming::Length(length) if bytes.len() == length => BodyState::Complete(bytes.to_vec()),
        BodyFraming::Length(_) => BodyState::Partial,
        BodyFraming::Chunked => parse_chunks(bytes, limit),
    }
}

fn parse_chunks(bytes: &[u8], limit: usize) -> BodyState {
    let mut body = Vec::new();
    let mut rest = bytes;
    loop {
        let (head, size) = match parse_chunk_size(rest) {
            Ok(Status::Complete((head, size))) => (head, size),
            Ok(Status::Partial) => return BodyState::Partial,
            Err(_) => return BodyState::Malformed,
        };
        let size = match usize::try_from(size) {
            Ok(size) if size <= limit.saturating_sub(body.len()) => size,
            _ => return BodyState::Malformed,
        };
        rest = &rest[head..];
        if rest.len() < size + CRLF.len() {
            return BodyState::Partial;
        }
        body.extend_from_slice(&rest[..size]);
        // Trailers are rejected: the line end of the last chunk ends the body.
        if rest[size..size + CRLF.len()] != *CRLF {
            return BodyState::Malformed;
        }
        rest = &rest[size + CRLF.len()..];
        if size == 0 {
            return complete_if_last(body, rest);
        }
    }
}

fn complete_if_last(body: Vec<u8>, rest: &[u8]) -> BodyState {
    if rest.is_empty() {
        BodyState::Complete(body)
    } else {
        BodyState::Malformed
    }
}
