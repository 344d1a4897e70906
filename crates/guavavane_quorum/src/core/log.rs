//! Part of the Raft log that is kept in memory.

use std::collections::VecDeque;

use crate::entry::LogEntry;
use crate::entry::LogIndex;
use crate::entry::Term;

/// Log entries after a base entry, the last one that was compacted.
#[derive(Clone, Debug, Default)]
pub(crate) struct EntryLog {
    base_index: LogIndex,
    base_term: Term,
    entries: VecDeque<LogEntry>,
    bytes: u64,
}

impl EntryLog {
    pub(crate) fn new(base_index: LogIndex, base_term: Term, entries: Vec<LogEntry>) -> Self {
        let bytes = entries.iter().map(|e| e.size_bytes() as u64).sum();
        Self {
            base_index,
            base_term,
            entries: entries.into(),
            bytes,
        }
    }

    pub(crate) fn base_index(&self) -> LogIndex {
        self.base_index
    }

    pub(crate) fn last_index(&self) -> LogIndex {
        LogIndex(self.base_index.0 + self.entries.len() as u64)
    }

    pub(crate) fn last_term(&self) -> Term {
        self.entries.back().map_or(self.base_term, |e| e.term)
    }

    pub(crate) fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Term of the entry at `index`, or `None` if it was compacted or does not exist.
    pub(crate) fn term_at(&self, index: LogIndex) -> Option<Term> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.get(index).map(|e| e.term)
    }

    pub(crate) fn get(&self, index: LogIndex) -> Option<&LogEntry> {
        let offset = index.0.checked_sub(self.base_index.0 + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    pub(crate) fn push(&mut self, entry: LogEntry) {
        debug_assert_eq!(entry.index, self.last_index().next());
        self.bytes += entry.size_bytes() as u64;
        self.entries.push_back(entry);
    }

    /// Removes the entries from `from` on.
    pub(crate) fn truncate(&mut self, from: LogIndex) {
        while self.last_index() >= from {
            let Some(entry) = self.entries.pop_back() else {
                return;
            };
            self.bytes -= entry.size_bytes() as u64;
        }
    }

    /// Removes the entries up to and including `through`, which becomes the base entry.
    pub(crate) fn drop_through(&mut self, through: LogIndex) {
        while self.base_index < through {
            let Some(entry) = self.entries.pop_front() else {
                return;
            };
            self.bytes -= entry.size_bytes() as u64;
            self.base_index = entry.index;
            self.base_term = entry.term;
        }
    }

    /// First index from `oldest` on after which the entries up to `last` have at most `bytes_max` bytes.
    pub(crate) fn bound_trailing(
        &self,
        oldest: LogIndex,
        last: LogIndex,
        bytes_max: u64,
    ) -> LogIndex {
        let mut first = last;
        let mut bytes = 0;
        while first > oldest {
            let Some(entry) = self.get(first) else {
                break;
            };
            bytes += entry.size_bytes() as u64;
            if bytes > bytes_max {
                break;
            }
            first = LogIndex(first.0 - 1);
        }
        first
    }

    /// Clones entries from `from` on, up to `count` entries and `bytes` bytes.
    ///
    /// The first entry is returned even if it alone exceeds `bytes`.
    pub(crate) fn slice(&self, from: LogIndex, count: u64, bytes: usize) -> Vec<LogEntry> {
        let mut total = 0;
        let mut slice = Vec::new();
        let mut index = from;
        while let Some(entry) = self.get(index) {
            total += entry.size_bytes();
            let full = slice.len() as u64 >= count || (total > bytes && !slice.is_empty());
            if full {
                break;
            }
            slice.push(entry.clone());
            index = index.next();
        }
        slice
    }
}
