//! Record of attempts, which makes sure that no attempt runs twice.
//!
//! Each attempt that was accepted, refused or revoked is recorded with its phase. An ended attempt
//! is forgotten after a retention time that is longer than any deadline. Forgetting it raises the
//! floor of its entry incarnation above the attempt's sequence number: an attempt below the floor
//! that is not recorded never runs, and its outcome is unknown. When the record is full, a refusal
//! extends a closed range of sequence numbers instead; attempts in it stay refused for good.

use std::collections::VecDeque;

use indexmap::IndexMap;

use guavavane_model::prelude::BootTime;
use guavavane_model::prelude::EndpointName;
use guavavane_model::prelude::IncarnationId;
use guavavane_protocol::prelude::RefusalReason;
use guavavane_protocol::prelude::RequestAttempt;
use guavavane_protocol::prelude::UnknownReason;

/// Phase of a recorded attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum RequestPhase {
    /// Waits for a slot of this endpoint.
    Queued(EndpointName),
    /// Was handed to this endpoint and holds one of its slots.
    Running(EndpointName),
    /// Never ran and never will.
    Refused(RefusalReason),
    /// Ran; its answer is in the answer store.
    Kept,
    /// Ran or may have run, but no answer is available.
    Lost(UnknownReason),
}

/// Result of looking up an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum AttemptLookup<'a> {
    /// The attempt is recorded.
    Known(&'a RequestPhase),
    /// The attempt was never seen.
    Fresh,
    /// The attempt is in the range that is refused for good.
    Closed,
    /// The attempt is below the floor: it may have been seen and forgotten.
    Forgotten,
}

/// Status of the sequence numbers of one entry incarnation that are not recorded one by one.
#[derive(Clone, Copy, Debug, Default)]
struct SequenceWindow {
    /// Sequence numbers below this one may have been forgotten.
    floor: u64,
    /// First and last sequence number of the range that is refused for good.
    closed: Option<(u64, u64)>,
}

/// Attempts that one incarnation of the agent has seen.
#[derive(Debug)]
pub(crate) struct AttemptRecord {
    phases: IndexMap<RequestAttempt, RequestPhase>,
    windows: IndexMap<IncarnationId, SequenceWindow>,
    /// Ended attempts and when they are forgotten, in order of time.
    expiries: VecDeque<(BootTime, RequestAttempt)>,
    recorded_attempts_max: usize,
    entry_incarnations_max: usize,
}

impl AttemptRecord {
    pub(crate) fn new(recorded_attempts_max: usize, entry_incarnations_max: usize) -> Self {
        Self {
            phases: IndexMap::new(),
            windows: IndexMap::new(),
            expiries: VecDeque::new(),
            recorded_attempts_max,
            entry_incarnations_max,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.phases.len()
    }

    pub(crate) fn lookup(&self, attempt: &RequestAttempt) -> AttemptLookup<'_> {
        if let Some(phase) = self.phases.get(attempt) {
            return AttemptLookup::Known(phase);
        }
        let sequence = attempt.request.sequence;
        match self.windows.get(&attempt.request.entry) {
            Some(window) if sequence < window.floor => AttemptLookup::Forgotten,
            Some(window) if window.is_closed(sequence) => AttemptLookup::Closed,
            _ => AttemptLookup::Fresh,
        }
    }

    /// Whether the attempt can be recorded: neither the attempts nor the entry incarnations exceed
    /// their limit.
    pub(crate) fn has_room(&self, attempt: &RequestAttempt) -> bool {
        let is_known_entry = self.windows.contains_key(&attempt.request.entry);
        self.phases.len() < self.recorded_attempts_max
            && (is_known_entry || self.windows.len() < self.entry_incarnations_max)
    }

    /// Records a phase; the caller has checked [`AttemptRecord::has_room`].
    pub(crate) fn set_phase(&mut self, attempt: RequestAttempt, phase: RequestPhase) {
        self.windows.entry(attempt.request.entry).or_default();
        self.phases.insert(attempt, phase);
    }

    /// Records the final phase of an attempt, which is forgotten at `expiry`.
    pub(crate) fn finish(
        &mut self,
        attempt: RequestAttempt,
        phase: RequestPhase,
        expiry: BootTime,
    ) {
        self.set_phase(attempt, phase);
        let index = self.expiries.partition_point(|(due, _)| *due <= expiry);
        self.expiries.insert(index, (expiry, attempt));
    }

    /// Refuses an attempt for good by extending the closed range of its entry incarnation.
    ///
    /// Windows are never removed: once the limit is reached, all attempts of a new entry
    /// incarnation are refused without being recorded.
    pub(crate) fn close(&mut self, attempt: &RequestAttempt) {
        let entry = attempt.request.entry;
        if self.windows.contains_key(&entry) || self.windows.len() < self.entry_incarnations_max {
            let window = self.windows.entry(entry).or_default();
            window.close(attempt.request.sequence);
        }
    }

    /// Forgets the attempts that have expired by `now` and returns them.
    pub(crate) fn expire(&mut self, now: BootTime) -> Vec<RequestAttempt> {
        let mut expired = Vec::new();
        while let Some((due, attempt)) = self.expiries.front().copied() {
            if due > now {
                break;
            }
            self.expiries.pop_front();
            self.phases.swap_remove(&attempt);
            self.raise_floor(&attempt);
            expired.push(attempt);
        }
        expired
    }

    fn raise_floor(&mut self, attempt: &RequestAttempt) {
        let window = self.windows.entry(attempt.request.entry).or_default();
        window.floor = window.floor.max(attempt.request.sequence.saturating_add(1));
        if window.closed.is_some_and(|(_, last)| last < window.floor) {
            window.closed = None;
        }
    }
}

impl SequenceWindow {
    fn is_closed(&self, sequence: u64) -> bool {
        self.closed
            .is_some_and(|(first, last)| (first..=last).contains(&sequence))
    }

    fn close(&mut self, sequence: u64) {
        let (first, last) = self.closed.unwrap_or((sequence, sequence));
        self.closed = Some((first.min(sequence), last.max(sequence)));
    }
}
