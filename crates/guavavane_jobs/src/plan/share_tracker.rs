//! Tracks which CPU share of each best-effort run is in force on a worker.
//!
//! An order sets one share and may stay without an answer: the worker then has applied it, applies it
//! later, or never does. Orders for one run therefore don't overlap: the next one is sent when the
//! one before is answered or has timed out, and carries the latest allocated share. A share counts as
//! in force once it is confirmed. As long as an unanswered order with another share may still be
//! applied, a confirmed share is ordered again at intervals.
//!
//! The share of a run that an earlier process may have throttled is unknown until an order is
//! confirmed, so it is ordered even if it is the full share, and again as long as an order of the
//! earlier process may still be applied.

use std::time::Duration;

use indexmap::IndexMap;

use super::throttle::ShareOrder;
use crate::identity::RunNumber;
use crate::identity::TaskKey;
use guavavane_model::prelude::BootTime;

/// CPU share of a run that has just started.
const STARTING_SHARE_PERCENT: u32 = 100;
/// Time after its sending within which an unanswered order may still be applied.
const LATE_EXECUTION_MAX: Duration = Duration::from_millis(15_000);
/// Shortest time between two orders for one run of which the first was not confirmed.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Time between two orders for a run whose confirmed share an unanswered order may still change.
const REPEAT_INTERVAL: Duration = Duration::from_millis(1_000);

/// Answer of the worker to a CPU share order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShareAnswer {
    /// The share is in force.
    Applied,
    /// The worker refused the order, which has no effect.
    Refused,
    /// No answer arrived; the worker may apply the order later.
    Unanswered,
}

/// Order in flight.
#[derive(Clone, Copy, Debug)]
struct InFlightOrder {
    percent: u32,
    sent_at: BootTime,
}

/// CPU share of one run, as far as it is known.
#[derive(Clone, Debug, Default)]
struct RunShare {
    /// Latest allocated share; none before the first allocation.
    allocated: Option<u32>,
    /// Share of the latest confirmed order; none while it is unknown.
    confirmed: Option<u32>,
    in_flight: Option<InFlightOrder>,
    /// Unanswered orders that the worker may still apply.
    unanswered: Vec<InFlightOrder>,
    /// Time until which an order of an earlier process may still be applied.
    foreign_until: BootTime,
    /// Time before which no order is sent.
    next_order_at: BootTime,
}

impl RunShare {
    /// Returns the order that is due, which then counts as in flight.
    fn take_order(&mut self, now: BootTime) -> Option<u32> {
        let percent = self.allocated?;
        let may_change = self.may_change(now, percent);
        let is_settled = self.confirmed == Some(percent) && !may_change;
        if self.in_flight.is_some() || is_settled || now < self.next_order_at {
            return None;
        }
        self.in_flight = Some(InFlightOrder {
            percent,
            sent_at: now,
        });
        Some(percent)
    }

    /// Whether an unanswered order may still set another share than this one.
    fn may_change(&mut self, now: BootTime, percent: u32) -> bool {
        self.unanswered
            .retain(|order| now < order.sent_at + LATE_EXECUTION_MAX);
        now < self.foreign_until || self.unanswered.iter().any(|order| order.percent != percent)
    }

    fn record_answer(&mut self, now: BootTime, answer: ShareAnswer) {
        let Some(order) = self.in_flight.take() else {
            return;
        };
        match answer {
            ShareAnswer::Applied => {
                self.confirmed = Some(order.percent);
                let may_change = self.may_change(now, order.percent);
                self.next_order_at = if may_change && self.allocated == self.confirmed {
                    now + REPEAT_INTERVAL
                } else {
                    now
                };
            }
            ShareAnswer::Refused => self.next_order_at = order.sent_at + RETRY_INTERVAL,
            ShareAnswer::Unanswered => {
                self.confirmed = None;
                self.unanswered.push(order);
                self.next_order_at = order.sent_at + RETRY_INTERVAL;
            }
        }
    }

    /// Stores an allocated share; another one than before is ordered without delay.
    fn allocate(&mut self, percent: u32) {
        if self.allocated != Some(percent) {
            self.allocated = Some(percent);
            self.next_order_at = BootTime::default();
        }
    }
}

/// CPU shares of all best-effort runs on one worker.
#[derive(Clone, Debug, Default)]
pub struct ShareTracker {
    runs: IndexMap<(TaskKey, RunNumber), RunShare>,
}

impl ShareTracker {
    /// Records that this process has ordered the start of a run, which has the full share until
    /// another one is ordered.
    pub fn record_start(&mut self, task: TaskKey, run: RunNumber) {
        let share = self.runs.entry((task, run)).or_default();
        if share.allocated.is_none() && share.in_flight.is_none() {
            share.confirmed = Some(STARTING_SHARE_PERCENT);
        }
    }

    /// Stores the allocated share of a run; returns the order that is due, if any.
    pub fn allocate(&mut self, now: BootTime, wanted: ShareOrder) -> Option<ShareOrder> {
        let (task, run) = (wanted.task, wanted.run);
        let share = self.runs.entry((task, run)).or_insert_with(|| RunShare {
            foreign_until: now + LATE_EXECUTION_MAX,
            ..RunShare::default()
        });
        share.allocate(wanted.percent);
        let percent = share.take_order(now)?;
        Some(ShareOrder { task, run, percent })
    }

    /// Records the answer to the order in flight for a run; returns the next order if one is due.
    pub fn record_answer(
        &mut self,
        now: BootTime,
        (task, run): (TaskKey, RunNumber),
        answer: ShareAnswer,
    ) -> Option<ShareOrder> {
        let share = self.runs.get_mut(&(task, run))?;
        share.record_answer(now, answer);
        let percent = share.take_order(now)?;
        Some(ShareOrder { task, run, percent })
    }

    /// Share of the latest confirmed order for a run; none while it is unknown.
    pub fn confirmed_share(&self, task: TaskKey, run: RunNumber) -> Option<u32> {
        self.runs.get(&(task, run))?.confirmed
    }

    /// Forgets all runs for which `keep` returns false.
    pub fn retain(&mut self, mut keep: impl FnMut(TaskKey, RunNumber) -> bool) {
        self.runs.retain(|(task, run), _| keep(*task, *run));
    }
}
