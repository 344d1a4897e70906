//! Bodies of requests and answers, and the check that an answer is complete and belongs to its
//! request.

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

/// Body of a slip entry, the write request of the example service: it pays a household for a lot,
/// so it must not run twice.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlipBody {
    /// Identity that the caller gave the request.
    pub slip: String,
    /// Number of the household that is paid.
    pub household: u32,
    /// Number of sticks in the lot.
    pub sticks: u32,
}

/// Body of an answer, by which the caller recognises its request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EchoAnswer {
    /// Identity that the caller gave the request.
    pub caller_id: String,
    /// XXH3 digest of the request body, in hexadecimal.
    pub digest: String,
    /// Length of `padding`, by which a truncated answer is recognised.
    pub padding_bytes: usize,
    /// Bytes that bring the answer to a realistic size.
    pub padding: String,
}

impl EchoAnswer {
    /// Returns the answer to a request with this identity and body.
    pub fn new(caller_id: String, body: &[u8], padding_bytes: usize) -> Self {
        Self {
            caller_id,
            digest: body_digest(body),
            padding_bytes,
            padding: "x".repeat(padding_bytes),
        }
    }

    /// Whether `text` is the complete answer to the request with this identity and body.
    pub fn belongs_to(text: &[u8], caller_id: &str, body: &[u8]) -> bool {
        let Ok(answer) = serde_json::from_slice::<Self>(text) else {
            return false;
        };
        answer.caller_id == caller_id
            && answer.digest == body_digest(body)
            && answer.padding.len() == answer.padding_bytes
    }
}

/// Returns the identity that the caller gave a request: from its body, or else the last segment of
/// its path.
pub fn caller_id(path: &str, body: &[u8]) -> String {
    if let Ok(slip) = serde_json::from_slice::<SlipBody>(body) {
        return slip.slip;
    }
    let path = path.split('?').next().unwrap_or_default();
    path.rsplit('/').next().unwrap_or_default().to_owned()
}

fn body_digest(body: &[u8]) -> String {
    format!("{:016x}", xxh3_64(body))
}
