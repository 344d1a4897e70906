//! Simulated control that stores claims.

use indexmap::IndexMap;

use guavavane_protocol::prelude::*;

#[derive(Clone, Debug)]
enum ClaimState {
    Held(ClaimHolder),
    Settled(HttpResponse),
}

#[derive(Clone, Debug, Default)]
pub struct FakeControl {
    pub is_down: bool,
    claims: IndexMap<ClaimKey, ClaimState>,
}

impl FakeControl {
    /// Commits a change; with `outcome_unknown` the reply does not tell that it was committed.
    pub fn change(&mut self, call: &ClaimRequest, outcome_unknown: bool) -> Option<ClaimReply> {
        if self.is_down {
            return None;
        }
        let outcome = self.commit(call);
        Some(match outcome_unknown {
            true => ClaimReply::Refused(ControlRefusal::Unknown),
            false => ClaimReply::Outcome(outcome),
        })
    }

    fn commit(&mut self, call: &ClaimRequest) -> ClaimOutcome {
        let held = match self.claims.get(&call.key) {
            Some(ClaimState::Settled(answer)) => return ClaimOutcome::Answered(answer.clone()),
            Some(ClaimState::Held(holder)) => Some(holder.clone()),
            None => None,
        };
        let state = match (&call.change, held) {
            (ClaimChange::Acquire(next), None) => Some(ClaimState::Held(next.clone())),
            (ClaimChange::Acquire(next), Some(held)) if held == *next => {
                Some(ClaimState::Held(held))
            }
            (ClaimChange::Replace { not_run, next }, Some(held))
                if held.attempt == *not_run || held == *next =>
            {
                Some(ClaimState::Held(next.clone()))
            }
            (ClaimChange::Replace { next, .. }, None) => Some(ClaimState::Held(next.clone())),
            (ClaimChange::Release { not_run }, Some(held)) if held.attempt == *not_run => None,
            (ClaimChange::Settle { attempt, answer }, Some(held)) if held.attempt == *attempt => {
                Some(ClaimState::Settled(answer.clone()))
            }
            (_, Some(held)) => return ClaimOutcome::Held(held),
            (_, None) => None,
        };
        match state {
            Some(state) => {
                self.claims.insert(call.key.clone(), state);
            }
            None => {
                self.claims.swap_remove(&call.key);
            }
        }
        ClaimOutcome::Granted
    }
}
