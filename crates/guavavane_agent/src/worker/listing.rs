//! Reconciliation of the agent's state with a listing of the worker, and the poll that follows.
//!
//! A listing in which an attempt is missing, or runs although it was recorded as ended, has an
//! effect only if it was requested after the attempt's last change: the worker may have answered an
//! earlier request before that change. An attempt that is missing from a listing with unreadable
//! parts may still be on the worker, so it has no effect either.

use super::attempt::ended_phase;
use super::attempt::to_attempt_key;
use super::attempt::to_task_attempt;
use super::attempt::AttemptEntry;
use super::attempt::AttemptStage;
use super::clock::WorkerClock;
use super::eviction::Eviction;
use super::eviction::EvictionStep;
use super::PollStage;
use super::WorkerAction;
use super::WorkerCommand;
use super::WorkerController;
use super::WorkerListing;
use guavavane_contract::prelude::AttemptStatus;
use guavavane_model::prelude::BootTime;
use guavavane_protocol::prelude::AttemptPhase;
use guavavane_protocol::prelude::TaskAttempt;
use guavavane_protocol::prelude::UsageReport;
use guavavane_protocol::prelude::WorkerPoll;

impl WorkerController {
    /// Reconciles all attempts with a listing and polls the leader with the result.
    pub(super) fn reconcile_listing(&mut self, now: BootTime, listing: &WorkerListing) {
        if self.stage != PollStage::Listing {
            return;
        }
        if listing.facts.boot != listing.list.boot {
            // The worker rebooted between its two answers: list it again.
            self.finish_poll_cycle(now, self.timing.poll_interval_min);
            return;
        }
        self.last_listing_at = listing.requested_at;
        self.update_boot(now, listing);
        self.ledger.set_capacity(listing.facts.capacity);
        for status in &listing.list.attempts {
            self.reconcile_attempt(now, listing, status);
        }
        if listing.list.omits_attempts {
            tracing::warn!(event = "attempt_unreadable", worker = %listing.facts.worker);
        } else {
            self.end_absent_attempts(now, listing);
            self.prune_released(now, listing);
        }
        self.collect_usage_reports(now, listing);
        self.send_poll(listing);
    }

    /// Stores the reading of the worker's clock; after a reboot, ends all attempts of the previous
    /// boot.
    fn update_boot(&mut self, now: BootTime, listing: &WorkerListing) {
        let boot = listing.list.boot;
        if self.clock.is_some_and(|clock| clock.boot() != boot) {
            tracing::warn!(event = "worker_restarted", boot = boot.0);
            let unfinished: Vec<(TaskAttempt, AttemptPhase)> = self
                .attempts
                .iter()
                .filter(|(_, entry)| !entry.is_ended())
                .map(|(attempt, entry)| (*attempt, phase_after_reboot(entry)))
                .collect();
            for (attempt, phase) in unfinished {
                self.end_attempt(now, attempt, phase);
            }
        }
        self.clock = Some(WorkerClock::new(
            boot,
            listing.list.now_ms,
            listing.received_at,
        ));
    }

    /// Reconciles one attempt with its status on the worker.
    fn reconcile_attempt(
        &mut self,
        now: BootTime,
        listing: &WorkerListing,
        status: &AttemptStatus,
    ) {
        let attempt = to_task_attempt(status.key);
        if self.released.contains_key(&attempt) {
            let command = WorkerCommand::Forget(status.key);
            self.actions.push(WorkerAction::Command(command));
            return;
        }
        let Some(entry) = self.attempts.get_mut(&attempt) else {
            self.adopt(now, attempt, status);
            return;
        };
        entry.checkpoint_ms = entry.checkpoint_ms.max(status.checkpoint_ms);
        match (ended_phase(status.state), &entry.stage) {
            (Some(_), AttemptStage::Ended(_)) => {}
            (Some(phase), _) => self.end_attempt(now, attempt, phase),
            (None, AttemptStage::Starting(_)) => {
                entry.stage = AttemptStage::Running;
                entry.changed_at = now;
            }
            (None, AttemptStage::Ended(_)) if entry.changed_at < listing.requested_at => {
                tracing::error!(
                    event = "unexpected_attempt",
                    task = %attempt.task,
                    attempt = %attempt.attempt,
                );
                entry.stage =
                    AttemptStage::Evicting(EvictionStep::Stopping(Eviction::start_stopping()));
                self.ledger.adopt(attempt, status.demand);
            }
            (None, _) => {}
        }
    }

    /// Takes over an attempt that an earlier incarnation of the agent started.
    fn adopt(&mut self, now: BootTime, attempt: TaskAttempt, status: &AttemptStatus) {
        let stage = match ended_phase(status.state) {
            Some(phase) => AttemptStage::Ended(phase),
            None => AttemptStage::Running,
        };
        let mut entry = AttemptEntry::new(now, status.fence, stage);
        entry.checkpoint_ms = status.checkpoint_ms;
        // Until starts are allowed, a repeated start from the earlier incarnation may still arrive
        // at the worker.
        entry.permit_end = self.starts_allowed_from;
        if !entry.is_ended() {
            self.ledger.adopt(attempt, status.demand);
        }
        let highest = self.fences.entry(attempt.task).or_insert(status.fence);
        *highest = status.fence.max(*highest);
        self.attempts.insert(attempt, entry);
    }

    /// Ends the attempts that are missing from a listing requested after their last change.
    fn end_absent_attempts(&mut self, now: BootTime, listing: &WorkerListing) {
        let listed: indexmap::IndexSet<TaskAttempt> = listing
            .list
            .attempts
            .iter()
            .map(|status| to_task_attempt(status.key))
            .collect();
        let absent: Vec<(TaskAttempt, AttemptPhase)> = self
            .attempts
            .iter()
            .filter(|(attempt, entry)| {
                !listed.contains(*attempt)
                    && !entry.command_in_flight
                    && entry.changed_at < listing.requested_at
            })
            .filter_map(|(attempt, entry)| Some((*attempt, absent_phase(entry, listing)?)))
            .collect();
        for (attempt, phase) in absent {
            self.end_attempt(now, attempt, phase);
        }
    }

    /// Forgets released attempts after their retention time, once the worker lists them no more,
    /// and the fencing tokens of tasks without attempts.
    fn prune_released(&mut self, now: BootTime, listing: &WorkerListing) {
        let listed = |attempt: &TaskAttempt| {
            let key = to_attempt_key(*attempt);
            listing.list.attempts.iter().any(|status| status.key == key)
        };
        self.released
            .retain(|attempt, until| now < *until || listed(attempt));
        let (attempts, released) = (&self.attempts, &self.released);
        self.fences.retain(|task, _| {
            let mut remembered = attempts.keys().chain(released.keys());
            remembered.any(|attempt| attempt.task == *task)
        });
    }

    /// Collects the usage samples that control has not yet acknowledged.
    fn collect_usage_reports(&mut self, now: BootTime, listing: &WorkerListing) {
        self.usage_reports.clear();
        self.sent_usage_ends.clear();
        let Some(clock) = self.clock else {
            return;
        };
        for status in &listing.list.attempts {
            let attempt = to_task_attempt(status.key);
            let (Some(usage), Some(entry)) = (status.usage, self.attempts.get(&attempt)) else {
                continue;
            };
            if usage.until_ms <= entry.received_usage_until_ms {
                continue;
            }
            self.sent_usage_ends.push((attempt, usage.until_ms));
            self.usage_reports.push(UsageReport {
                attempt,
                age_ms: clock.age_ms(now, usage.until_ms),
                interval_ms: usage.interval_ms,
                used: usage.used,
                slowdown_millis: usage.slowdown_millis,
            });
        }
    }

    fn send_poll(&mut self, listing: &WorkerListing) {
        self.sequence += 1;
        self.stage = PollStage::Polling {
            sequence: self.sequence,
        };
        let attempts = self
            .attempts
            .iter()
            .filter_map(|(attempt, entry)| entry.report(*attempt))
            .collect();
        self.actions.push(WorkerAction::Poll(WorkerPoll {
            worker: listing.facts.worker.clone(),
            data_centre: listing.facts.data_centre.clone(),
            rack: listing.facts.rack.clone(),
            boot: listing.facts.boot,
            capacity: listing.facts.capacity,
            address: self.identity.address,
            incarnation: self.identity.incarnation,
            sequence: self.sequence,
            attempts,
            usage: std::mem::take(&mut self.usage_reports),
            entries_digest: self.entries_digest,
        }));
    }
}

/// Outcome of an attempt that ended with a reboot of the worker.
fn phase_after_reboot(entry: &AttemptEntry) -> AttemptPhase {
    match &entry.stage {
        AttemptStage::Starting(pending) if !pending.was_sent => AttemptPhase::NotStarted,
        _ => AttemptPhase::Stopped,
    }
}

/// Outcome of an attempt that is missing from a listing; `None` if it has ended already or may
/// still start.
fn absent_phase(entry: &AttemptEntry, listing: &WorkerListing) -> Option<AttemptPhase> {
    match &entry.stage {
        AttemptStage::Starting(pending) if listing.list.now_ms > pending.order.start_by_ms => {
            Some(AttemptPhase::NotStarted)
        }
        AttemptStage::Starting(_) | AttemptStage::Ended(_) => None,
        AttemptStage::Running | AttemptStage::Evicting(_) => Some(AttemptPhase::Stopped),
    }
}
