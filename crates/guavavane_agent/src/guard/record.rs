//! What the guard remembers of attempts, so that none runs twice.
//!
//! Every attempt that was taken, refused or revoked has an entry. Ended ones are forgotten
//! after a retention period that is longer than any deadline, and from then on the entry
//! process's sequence numbers up to them lie below a floor: an attempt below the floor never
//! runs and its outcome is unknown. A refusal that finds the record full closes a range of
//! sequence numbers instead, so that it stays refused for good.

use std::collections::VecDeque;

use indexmap::IndexMap;

use guavavane_model::prelude::BootTime;
use guavavane_model::prelude::EndpointName;
use guavavane_model::prelude::IncarnationId;
use guavavane_protocol::prelude::RefusalReason;
use guavavane_protocol::prelude::RequestAttempt;
use guavavane_protocol::prelude::UnknownReason;

/// State of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum AttemptPhase {
    /// Waits for a slot.
    Queued(EndpointName),
    /// Was handed to the endpoint; holds a slot.
    Running(EndpointName),
    /// Never ran and never will.
    Refused(RefusalReason),
    /// Ran; its answer is in the answer store.
    Kept,
    /// Ran or may have run, and its answer is not to be had.
    Lost(UnknownReason),
}

/// What is known of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum AttemptLookup<'a> {
    /// It is recorded.
    Known(&'a AttemptPhase),
    /// It was never seen.
    Fresh,
    /// It lies in a range that is refused for good.
    Closed,
    /// It may have been seen and forgotten.
    Forgotten,
}

/// Sequence numbers of one entry incarnation that have no entry in the record.
#[derive(Clone, Copy, Debug, Default)]
struct SequenceWindow {
    /// Numbers below this one may have been forgotten.
    floor: u64,
    /// First and last number of the range that is refused for good.
    closed: Option<(u64, u64)>,
}

/// Entries of all attempts of an incarnation of the agent.
#[derive(Debug)]
pub(crate) struct AttemptRecord {
    phases: IndexMap<RequestAttempt, AttemptPhase>,
    windows: IndexMap<IncarnationId, SequenceWindow>,
    expiries: VecDeque<(BootTime, RequestAttempt)>,
    record_max: usize,
    entries_max: usize,
}

impl AttemptRecord {
    pub(crate) fn new(record_max: usize, entries_max: usize) -> Self {
        Self {
            phases: IndexMap::new(),
            windows: IndexMap::new(),
            expiries: VecDeque::new(),
            record_max,
            entries_max,
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

    /// Whether another attempt of this entry can be recorded.
    pub(crate) fn has_room(&self, attempt: &RequestAttempt) -> bool {
        let known = self.windows.contains_key(&attempt.request.entry);
        self.phases.len() < self.record_max && (known || self.windows.len() < self.entries_max)
    }

    /// Records a phase; the caller has checked that there is room.
    pub(crate) fn set(&mut self, attempt: RequestAttempt, phase: AttemptPhase) {
        self.windows.entry(attempt.request.entry).or_default();
        self.phases.insert(attempt, phase);
    }

    /// Records the last phase of an attempt, which is forgotten at `expiry`.
    pub(crate) fn finish(
        &mut self,
        attempt: RequestAttempt,
        phase: AttemptPhase,
        expiry: BootTime,
    ) {
        self.set(attempt, phase);
        let place = self.expiries.partition_point(|(due, _)| *due <= expiry);
        self.expiries.insert(place, (expiry, attempt));
    }

    /// Refuses an attempt for good for which there is no room.
    ///
    /// Windows are never removed: once there is none left for an entry, all its attempts are
    /// refused without a trace of their own.
    pub(crate) fn close(&mut self, attempt: &RequestAttempt) {
        let entry = attempt.request.entry;
        if self.windows.contains_key(&entry) || self.windows.len() < self.entries_max {
            let window = self.windows.entry(entry).or_default();
            window.close(attempt.request.sequence);
        }
    }

    /// Forgets what has expired and returns it.
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
