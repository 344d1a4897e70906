//! Stores the claims of idempotency keys.
//!
//! A claim reserves an idempotency key for one attempt at a request and later holds the answer for
//! resends. It is kept until its retention ends, whether answered or not. At the limits new claims
//! are refused; no claim is dropped early, since a resend of its request would run again.

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use crate::state::command::ClaimLimits;
use guavavane_protocol::claim::ClaimChange;
use guavavane_protocol::claim::ClaimHolder;
use guavavane_protocol::claim::ClaimKey;
use guavavane_protocol::claim::ClaimOutcome;
use guavavane_protocol::claim::ClaimRequest;
use guavavane_protocol::entry::HttpResponse;
use guavavane_protocol::entry::RequestAttempt;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum ClaimState {
    Held(ClaimHolder),
    Answered {
        attempt: RequestAttempt,
        answer: HttpResponse,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ClaimRecord {
    sequence: u64,
    digest: u64,
    state: ClaimState,
}

/// Claims by idempotency key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimTable {
    claims: IndexMap<ClaimKey, ClaimRecord>,
    next_sequence: u64,
    answer_bytes: u64,
}

impl ClaimTable {
    /// Number of claims.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether there are no claims.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Sequence number of the next new claim.
    pub fn next_sequence(&self) -> u64 {
        self.next_sequence
    }

    /// Changes one claim within the limits.
    pub fn change(&mut self, request: &ClaimRequest, limits: &ClaimLimits) -> ClaimOutcome {
        match self.claims.get(&request.key) {
            Some(record) if record.digest != request.digest => ClaimOutcome::DigestMismatch,
            Some(_) => self.change_existing(request, limits),
            None => self.change_missing(request, limits),
        }
    }

    fn change_missing(&mut self, request: &ClaimRequest, limits: &ClaimLimits) -> ClaimOutcome {
        let holder = match &request.change {
            ClaimChange::Acquire(holder) => holder,
            // The replaced attempt was proven not to have run, and its claim has been released.
            ClaimChange::Replace { next, .. } => next,
            ClaimChange::Release { .. } | ClaimChange::Settle { .. } => {
                return ClaimOutcome::Granted
            }
        };
        if self.claims.len() as u64 >= limits.claims {
            return ClaimOutcome::Full;
        }
        let record = ClaimRecord {
            sequence: self.next_sequence,
            digest: request.digest,
            state: ClaimState::Held(holder.clone()),
        };
        self.next_sequence += 1;
        self.claims.insert(request.key.clone(), record);
        ClaimOutcome::Granted
    }

    fn change_existing(&mut self, request: &ClaimRequest, limits: &ClaimLimits) -> ClaimOutcome {
        let record = &self.claims[&request.key];
        let holder = match &record.state {
            ClaimState::Answered { answer, .. } => return ClaimOutcome::Answered(answer.clone()),
            ClaimState::Held(holder) => holder.clone(),
        };
        match &request.change {
            ClaimChange::Acquire(next) => {
                if *next == holder {
                    ClaimOutcome::Granted
                } else {
                    ClaimOutcome::Held(holder)
                }
            }
            ClaimChange::Replace { not_run, next } => {
                if *next == holder {
                    ClaimOutcome::Granted
                } else if *not_run == holder.attempt {
                    self.set_state(&request.key, ClaimState::Held(next.clone()));
                    ClaimOutcome::Granted
                } else {
                    ClaimOutcome::Held(holder)
                }
            }
            ClaimChange::Release { not_run } => {
                if *not_run == holder.attempt {
                    self.claims.swap_remove(&request.key);
                    ClaimOutcome::Granted
                } else {
                    ClaimOutcome::Held(holder)
                }
            }
            ClaimChange::Settle { attempt, answer } => {
                if *attempt == holder.attempt {
                    self.settle(&request.key, *attempt, answer, limits)
                } else {
                    ClaimOutcome::Held(holder)
                }
            }
        }
    }

    /// Stores the answer of the holder. If the answers would exceed their limit, the claim stays
    /// held, so that the request cannot run again.
    fn settle(
        &mut self,
        key: &ClaimKey,
        attempt: RequestAttempt,
        answer: &HttpResponse,
        limits: &ClaimLimits,
    ) -> ClaimOutcome {
        let bytes = answer_bytes(answer);
        if self.answer_bytes + bytes > limits.answer_bytes {
            return ClaimOutcome::Full;
        }
        self.answer_bytes += bytes;
        let answer = answer.clone();
        self.set_state(key, ClaimState::Answered { attempt, answer });
        ClaimOutcome::Granted
    }

    fn set_state(&mut self, key: &ClaimKey, state: ClaimState) {
        let record = self
            .claims
            .get_mut(key)
            .expect("the claim was found under this key");
        record.state = state;
    }

    /// Drops the claims up to a sequence number, at the end of their retention.
    pub fn drop_up_to(&mut self, last_sequence: u64) {
        let mut freed = 0;
        self.claims.retain(|_, record| {
            let kept = record.sequence > last_sequence;
            if let (false, ClaimState::Answered { answer, .. }) = (kept, &record.state) {
                freed += answer_bytes(answer);
            }
            kept
        });
        self.answer_bytes -= freed;
    }
}

fn answer_bytes(answer: &HttpResponse) -> u64 {
    let headers: usize = answer
        .headers
        .iter()
        .map(|field| field.name.len() + field.value.len())
        .sum();
    (headers + answer.body.len()) as u64
}
