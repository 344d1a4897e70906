//! Remembers recent allocations of each worker, so that late samples are attributed to the
//! tasks that ran in their interval.

use std::collections::VecDeque;

use indexmap::IndexMap;

use crate::event::MeasuredInterval;
use crate::index::KindIndex;
use crate::index::WorkerIndex;
use guavavane_model::prelude::BootTime;

/// Age at which a task that left its worker is forgotten; later samples are attributed without
/// it.
const SPAN_RETENTION_MS: u64 = 120_000;

/// Time that a task of a workload spent on a worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AllocationSpan {
    pub(crate) kind: KindIndex,
    pub(crate) from: BootTime,
    pub(crate) until: BootTime,
}

impl AllocationSpan {
    /// Fraction of a measured interval that the span covers, from zero to one.
    pub(crate) fn overlap(&self, interval: &MeasuredInterval) -> f32 {
        let from = self.from.max(interval.from);
        let until = self.until.min(interval.until);
        let length = interval.until.saturating_since(interval.from);
        let covered = until.saturating_since(from);
        covered.as_secs_f32() / length.as_secs_f32().max(f32::EPSILON)
    }
}

/// Spans of tasks that left their worker.
#[derive(Debug, Default)]
pub(crate) struct AllocationHistory {
    workers: IndexMap<WorkerIndex, VecDeque<AllocationSpan>>,
}

impl AllocationHistory {
    /// Adds a span; forgets old spans and the oldest beyond `limit`.
    pub(crate) fn record(&mut self, worker: WorkerIndex, span: AllocationSpan, limit: usize) {
        let spans = self.workers.entry(worker).or_default();
        spans.push_back(span);
        let oldest_ms = span.until.as_millis().saturating_sub(SPAN_RETENTION_MS);
        let is_old = |span: &AllocationSpan| span.until.as_millis() < oldest_ms;
        while spans.len() > limit || spans.front().is_some_and(is_old) {
            spans.pop_front();
        }
    }

    /// Spans of tasks that left a worker, oldest first.
    pub(crate) fn spans(&self, worker: WorkerIndex) -> impl Iterator<Item = &AllocationSpan> {
        self.workers.get(&worker).into_iter().flatten()
    }

    pub(crate) fn forget_worker(&mut self, worker: WorkerIndex) {
        self.workers.swap_remove(&worker);
    }
}
