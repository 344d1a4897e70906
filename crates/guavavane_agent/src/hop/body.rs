//! Body of an answer, by its framing.

use httparse::parse_chunk_size;
use httparse::Status;

/// End of the line that follows a chunk.
const LINE_END: &[u8] = b"\r\n";

/// How the end of a body is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BodyFraming {
    /// By its length in bytes.
    Length(usize),
    /// By a last chunk of no bytes.
    Chunked,
}

/// What the bytes so far are.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum BodyState {
    /// The body and nothing more.
    Whole(Vec<u8>),
    /// More is to come.
    Partial,
    /// More bytes than declared or allowed, or no valid framing.
    Malformed,
}

pub(super) fn parse_body(framing: BodyFraming, bytes: &[u8], limit: usize) -> BodyState {
    match framing {
        BodyFraming::Length(length) if length > limit || bytes.len() > length => {
            BodyState::Malformed
        }
        BodyFraming::Length(length) if bytes.len() == length => BodyState::Whole(bytes.to_vec()),
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
        if rest.len() < size + LINE_END.len() {
            return BodyState::Partial;
        }
        body.extend_from_slice(&rest[..size]);
        // Trailers are not taken: the line end of the last chunk ends the body.
        if rest[size..size + LINE_END.len()] != *LINE_END {
            return BodyState::Malformed;
        }
        rest = &rest[size + LINE_END.len()..];
        if size == 0 {
            return whole_if_last(body, rest);
        }
    }
}

fn whole_if_last(body: Vec<u8>, rest: &[u8]) -> BodyState {
    if rest.is_empty() {
        BodyState::Whole(body)
    } else {
        BodyState::Malformed
    }
}
