//! Bodies of requests and answers, and the check that an answer is whole and its own.

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

/// A batch slip as a caller sends it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlipBody {
    /// The caller's id of the slip.
    pub slip: String,
    /// Household that it pays.
    pub household: u32,
    /// Sticks of the lot.
    pub sticks: u32,
}

/// What an endpoint answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EchoAnswer {
    /// The caller's id of the request.
    pub caller_id: String,
    /// Digest of the request's body, in hex.
    pub digest: String,
    /// Length of `padding`.
    pub padding_bytes: usize,
    /// Filling.
    pub padding: String,
}

impl EchoAnswer {
    /// The answer to a request with this id and body.
    pub fn new(caller_id: String, body: &[u8], padding_bytes: usize) -> Self {
        Self {
            caller_id,
            digest: body_digest(body),
            padding_bytes,
            padding: "x".repeat(padding_bytes),
        }
    }

    /// Whether `text` is the whole answer to the request with this id and body.
    pub fn belongs_to(text: &[u8], caller_id: &str, body: &[u8]) -> bool {
        let Ok(answer) = serde_json::from_slice::<Self>(text) else {
            return false;
        };
        answer.caller_id == caller_id
            && answer.digest == body_digest(body)
            && answer.padding.len() == answer.padding_bytes
    }
}

/// The caller's id of a request: from the body, or else the last part of the path.
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
