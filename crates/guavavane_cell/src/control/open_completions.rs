//! Completions of one worker that were proposed and are not known to be recorded.
//!
//! A worker forgets all completions up to the highest acknowledged one, so none may be acknowledged
//! before all lower ones that have arrived are recorded.

use std::collections::BTreeMap;

use guavavane_jobs::prelude::RunCompletion;

/// Completion with whether its latest proposal failed.
#[derive(Clone, Debug)]
struct OpenCompletion {
    completion: RunCompletion,
    is_refused: bool,
}

/// Open completions of one worker by number.
#[derive(Clone, Debug, Default)]
pub(super) struct OpenCompletions(BTreeMap<u64, OpenCompletion>);

impl OpenCompletions {
    /// Adds completions that are about to be proposed and returns those that no proposal in flight
    /// holds.
    pub(super) fn add(&mut self, completions: Vec<RunCompletion>) -> Vec<RunCompletion> {
        let mut added = completions;
        added.retain(|completion| {
            let open = self.0.get(&completion.number);
            open.is_none_or(|open| open.is_refused)
        });
        for completion in &added {
            let open = OpenCompletion {
                completion: completion.clone(),
                is_refused: false,
            };
            self.0.insert(completion.number, open);
        }
        added
    }

    /// Removes completions that are recorded.
    pub(super) fn remove(&mut self, completions: &[RunCompletion]) {
        for completion in completions {
            self.0.remove(&completion.number);
        }
    }

    /// Marks completions whose proposal has failed.
    pub(super) fn mark_refused(&mut self, completions: &[RunCompletion]) {
        for completion in completions {
            if let Some(open) = self.0.get_mut(&completion.number) {
                open.is_refused = true;
            }
        }
    }

    /// Completions that have to be proposed again.
    pub(super) fn refused(&self) -> Vec<RunCompletion> {
        let refused = self.0.values().filter(|open| open.is_refused);
        refused.map(|open| open.completion.clone()).collect()
    }

    /// Highest completion that may be acknowledged if `last_completion` is recorded.
    pub(super) fn acknowledgeable(&self, last_completion: u64) -> u64 {
        let first_open = self.0.keys().next();
        first_open.map_or(last_completion, |first| {
            last_completion.min(first.saturating_sub(1))
        })
    }
}
