//! Drops claims whose retention has ended.
//!
//! Retention counts on the leader's clock from the moment that it saw the claim, so a claim is
//! kept at least that long, and longer after a change of leaders.

use std::collections::VecDeque;
use std::time::Duration;

use crate::context::ControlContext;
use crate::scheduler::commit_change;
use crate::scheduler::RoundBreak;
use crate::state::command::ControlCommand;
use guavavane_model::prelude::BootTime;

/// Time between two marks.
const MARK_INTERVAL: Duration = Duration::from_millis(1_000);

/// Claims up to a sequence number existed at a moment.
#[derive(Clone, Copy, Debug)]
struct ClaimMark {
    at: BootTime,
    through: u64,
}

/// Marks of the claims seen, oldest first.
#[derive(Debug, Default)]
pub(super) struct ClaimRetention {
    marks: VecDeque<ClaimMark>,
}

impl ClaimRetention {
    /// Sets a mark and drops the claims up to the newest mark that is old enough.
    pub(super) fn advance(
        &mut self,
        context: &ControlContext,
        now: BootTime,
    ) -> Result<(), RoundBreak> {
        let last = self.marks.back().map(|mark| mark.at);
        if last.is_some_and(|at| now.saturating_since(at) < MARK_INTERVAL) {
            return Ok(());
        }
        let next_sequence = context.quorum.local(|state| state.claims().next_sequence());
        let newest = self.marks.back().map(|mark| mark.through);
        if let Some(through) = next_sequence.checked_sub(1) {
            if newest != Some(through) {
                self.marks.push_back(ClaimMark { at: now, through });
            }
        }
        match self.pop_ended(now, context.settings.claim_retention) {
            Some(through) => commit_change(context, ControlCommand::DropClaims { through }),
            None => Ok(()),
        }
    }

    fn pop_ended(&mut self, now: BootTime, retention: Duration) -> Option<u64> {
        let mut through = None;
        while let Some(mark) = self.marks.front() {
            if now.saturating_since(mark.at) < retention {
                break;
            }
            through = Some(mark.through);
            self.marks.pop_front();
        }
        through
    }
}
