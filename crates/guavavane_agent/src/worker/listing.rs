//! Reconciliation with what the worker reports.

use super::clock::WorkerClock;
use super::eviction::Eviction;
use super::eviction::EvictionStep;
use super::task::attempt_key;
use super::task::ended_phase;
use super::task::task_attempt;
use super::task::TaskEntry;
use super::task::TaskStage;
use super::PollStage;
use super::WorkerCommand;
use super::WorkerControl;
use super::WorkerListing;
use super::WorkerOutcome;
use guavavane_contract::prelude::AttemptStatus;
use guavavane_model::prelude::BootTime;
use guavavane_protocol::prelude::AttemptPhase;
use guavavane_protocol::prelude::TaskAttempt;
use guavavane_protocol::prelude::UsageReport;
use guavavane_protocol::prelude::WorkerPoll;

impl WorkerControl {
    /// Takes a listing and polls with it.
    pub(super) fn take_listing(&mut self, now: BootTime, listing: &WorkerListing) {
        if self.stage != PollStage::Listing {
            return;
        }
        if listing.facts.boot != listing.list.boot {
            // The worker restarted between the two answers: ask again.
            self.end_turn(now, self.timing.poll_interval_min);
            return;
        }
        self.listed = listing.asked;
        self.take_boot(now, listing);
        self.ledger.set_capacity(listing.facts.capacity);
        for status in &listing.list.attempts {
            self.take_status(now, listing, status);
        }
        self.end_absent(now, listing);
        self.forget_released(now, listing);
        self.collect_usage(now, listing);
        self.poll(listing);
    }

    /// Ends everything of the last boot if the worker has another one.
    fn take_boot(&mut self, now: BootTime, listing: &WorkerListing) {
        let boot = listing.list.boot;
        if self.clock.is_some_and(|clock| clock.boot() != boot) {
            tracing::warn!(event = "worker_restarted", boot = boot.0);
            let live: Vec<(TaskAttempt, AttemptPhase)> = self
                .tasks
                .iter()
                .filter(|(_, entry)| !entry.is_ended())
                .map(|(attempt, entry)| (*attempt, phase_after_boot(entry)))
                .collect();
            for (attempt, phase) in live {
                self.end_task(now, attempt, phase);
            }
        }
        self.clock = Some(WorkerClock::new(boot, listing.list.now_ms, listing.arrived));
    }

    fn take_status(&mut self, now: BootTime, listing: &WorkerListing, status: &AttemptStatus) {
        let attempt = task_attempt(status.key);
        if self.released.contains_key(&attempt) {
            let command = WorkerCommand::Forget(status.key);
            self.outcomes.push(WorkerOutcome::Command(command));
            return;
        }
        let Some(entry) = self.tasks.get_mut(&attempt) else {
            self.adopt(now, attempt, status);
            return;
        };
        entry.checkpoint_ms = entry.checkpoint_ms.max(status.checkpoint_ms);
        match (ended_phase(status.state), &entry.stage) {
            (Some(_), TaskStage::Ended(_)) => {}
            (Some(phase), _) => self.end_task(now, attempt, phase),
            (None, TaskStage::Starting(_)) => {
                entry.stage = TaskStage::Running;
                entry.changed = now;
            }
            (None, TaskStage::Ended(_)) if entry.changed < listing.asked => {
                tracing::error!(
                    event = "unexpected_attempt",
                    task = %attempt.task,
                    attempt = %attempt.attempt,
                );
                entry.stage = TaskStage::Evicting(EvictionStep::Stopping(Eviction::stop()));
                self.ledger.adopt(attempt, status.demand);
            }
            (None, _) => {}
        }
    }

    /// Takes over an attempt that an earlier run of the agent started.
    fn adopt(&mut self, now: BootTime, attempt: TaskAttempt, status: &AttemptStatus) {
        let stage = match ended_phase(status.state) {
            Some(phase) => TaskStage::Ended(phase),
            None => TaskStage::Running,
        };
        let mut entry = TaskEntry::new(now, status.fence, stage);
        entry.checkpoint_ms = status.checkpoint_ms;
        // A doubled start of the earlier run may still be on its way until then.
        entry.permit = self.starts_from;
        if !entry.is_ended() {
            self.ledger.adopt(attempt, status.demand);
        }
        let highest = self.fences.entry(attempt.task).or_insert(status.fence);
        *highest = status.fence.max(*highest);
        self.tasks.insert(attempt, entry);
    }

    /// Ends attempts that the worker does not have, if the listing is later than all that the
    /// agent knows of them.
    fn end_absent(&mut self, now: BootTime, listing: &WorkerListing) {
        let listed: indexmap::IndexSet<TaskAttempt> = listing
            .list
            .attempts
            .iter()
            .map(|status| task_attempt(status.key))
            .collect();
        let absent: Vec<(TaskAttempt, AttemptPhase)> = self
            .tasks
            .iter()
            .filter(|(attempt, entry)| {
                !listed.contains(*attempt) && !entry.in_flight && entry.changed < listing.asked
            })
            .filter_map(|(attempt, entry)| Some((*attempt, absent_phase(entry, listing)?)))
            .collect();
        for (attempt, phase) in absent {
            self.end_task(now, attempt, phase);
        }
    }

    fn forget_released(&mut self, now: BootTime, listing: &WorkerListing) {
        let listed = |attempt: &TaskAttempt| {
            let key = attempt_key(*attempt);
            listing.list.attempts.iter().any(|status| status.key == key)
        };
        self.released
            .retain(|attempt, until| now < *until || listed(attempt));
        let (tasks, released) = (&self.tasks, &self.released);
        self.fences.retain(|task, _| {
            let mut known = tasks.keys().chain(released.keys());
            known.any(|attempt| attempt.task == *task)
        });
    }

    fn collect_usage(&mut self, now: BootTime, listing: &WorkerListing) {
        self.usage.clear();
        self.usage_marks.clear();
        let Some(clock) = self.clock else {
            return;
        };
        for status in &listing.list.attempts {
            let attempt = task_attempt(status.key);
            let (Some(usage), Some(entry)) = (status.usage, self.tasks.get(&attempt)) else {
                continue;
            };
            if usage.until_ms <= entry.usage_until_ms {
                continue;
            }
            self.usage_marks.push((attempt, usage.until_ms));
            self.usage.push(UsageReport {
                attempt,
                age_ms: clock.age_ms(now, usage.until_ms),
                interval_ms: usage.interval_ms,
                used: usage.used,
                slowdown_millis: usage.slowdown_millis,
            });
        }
    }

    fn poll(&mut self, listing: &WorkerListing) {
        self.sequence += 1;
        self.stage = PollStage::Polling {
            sequence: self.sequence,
        };
        let attempts = self
            .tasks
            .iter()
            .filter_map(|(attempt, entry)| entry.report(*attempt))
            .collect();
        self.outcomes.push(WorkerOutcome::Poll(WorkerPoll {
            worker: listing.facts.worker.clone(),
            data_centre: listing.facts.data_centre.clone(),
            rack: listing.facts.rack.clone(),
            boot: listing.facts.boot,
            capacity: listing.facts.capacity,
            address: self.identity.address,
            incarnation: self.identity.incarnation,
            sequence: self.sequence,
            attempts,
            usage: std::mem::take(&mut self.usage),
            entries_digest: self.entries_digest,
        }));
    }
}

fn phase_after_boot(entry: &TaskEntry) -> AttemptPhase {
    match &entry.stage {
        TaskStage::Starting(pending) if !pending.sent => AttemptPhase::NotStarted,
        _ => AttemptPhase::Stopped,
    }
}

/// What the absence of an attempt from a listing means, or nothing if it may still start.
fn absent_phase(entry: &TaskEntry, listing: &WorkerListing) -> Option<AttemptPhase> {
    match &entry.stage {
        TaskStage::Starting(pending) if listing.list.now_ms > pending.order.start_by_ms => {
            Some(AttemptPhase::NotStarted)
        }
        TaskStage::Starting(_) | TaskStage::Ended(_) => None,
        TaskStage::Running | TaskStage::Evicting(_) => Some(AttemptPhase::Stopped),
    }
}
