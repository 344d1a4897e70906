//! Drops claims at the end of their retention.
//!
//! Claims have no timestamp in the replicated state. The leader samples the highest sequence number
//! of the claims on its own clock and drops the claims up to a sample once the sample is older than
//! the retention. A claim is therefore kept at least for the retention, and longer after a change
//! of leaders, since a new leader starts without samples.

use std::collections::VecDeque;
use std::time::Duration;

use crate::context::ControlContext;
use crate::scheduler::commit_change;
use crate::scheduler::PassError;
use crate::state::command::ControlCommand;
use guavavane_model::prelude::BootTime;

/// Minimum time between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(1_000);

/// Highest sequence number of the claims at one time.
#[derive(Clone, Copy, Debug)]
struct SequenceSample {
    sampled_at: BootTime,
    last_sequence: u64,
}

/// Samples that are younger than the retention, oldest first.
#[derive(Debug, Default)]
pub(super) struct ClaimRetention {
    samples: VecDeque<SequenceSample>,
}

impl ClaimRetention {
    /// Takes a sample and drops the claims up to the newest sample that is older than the
    /// retention.
    pub(super) fn drop_expired(
        &mut self,
        context: &ControlContext,
        now: BootTime,
    ) -> Result<(), PassError> {
        let last_sampled_at = self.samples.back().map(|sample| sample.sampled_at);
        if last_sampled_at
            .is_some_and(|sampled_at| now.saturating_since(sampled_at) < SAMPLE_INTERVAL)
        {
            return Ok(());
        }
        let next_sequence = context
            .quorum
            .read_local(|state| state.claims().next_sequence());
        let newest_sequence = self.samples.back().map(|sample| sample.last_sequence);
        if let Some(last_sequence) = next_sequence.checked_sub(1) {
            if newest_sequence != Some(last_sequence) {
                self.samples.push_back(SequenceSample {
                    sampled_at: now,
                    last_sequence,
                });
            }
        }
        match self.pop_expired(now, context.settings.claim_retention) {
            Some(last_sequence) => {
                commit_change(context, ControlCommand::DropClaims { last_sequence })
            }
            None => Ok(()),
        }
    }

    fn pop_expired(&mut self, now: BootTime, retention: Duration) -> Option<u64> {
        let mut last_sequence = None;
        while let Some(sample) = self.samples.front() {
            if now.saturating_since(sample.sampled_at) < retention {
                break;
            }
            last_sequence = Some(sample.last_sequence);
            self.samples.pop_front();
        }
        last_sequence
    }
}
