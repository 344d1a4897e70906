//! Lease renewals: extend the worker's lease and process the runs and completions they return.
//!
//! Each renewal report also leads to new CPU shares of best-effort runs and, at intervals, to the
//! utilisation report and the stalled runs that the leader gets.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;

use super::agent_loop::AgentLoop;
use super::agent_loop::RenewalPlan;
use super::agent_loop::RenewalResult;
use super::worker::LocalWorker;
use crate::message::ToControl;
use crate::worker_api::RenewalAnswer;
use crate::worker_api::RenewalReport;
use crate::worker_api::WorkerApi;
use guavavane_jobs::prelude::WorkerKey;
use guavavane_model::prelude::BootClock;
use guavavane_model::prelude::BootTime;

/// Longest wait of a renewal while nothing requires a faster reaction.
const RENEWAL_WAIT_MAX: Duration = Duration::from_millis(800);
/// Wait of a renewal while best-effort tasks run beside latency-critical ones: the worker's
/// measurements are means over half a second.
const MIXED_LOAD_WAIT: Duration = Duration::from_millis(200);
/// Wait of a renewal while a stop is unconfirmed.
const STOP_CONFIRMATION_WAIT: Duration = Duration::from_millis(40);
/// Wait of a renewal without a deadline: the next one carries it once the leader has granted a lease.
const GRANT_WAIT: Duration = Duration::from_millis(40);
/// Longest wait for the leader to acknowledge completions before the lease is renewed anyway.
const ACKNOWLEDGEMENT_WAIT: Duration = Duration::from_millis(250);
/// Backoff after a renewal that was refused or not answered.
const RENEWAL_BACKOFF: Duration = Duration::from_millis(100);
/// Time between two reports of utilisation to the leader: tail latencies change within seconds.
const UTILISATION_INTERVAL: Duration = Duration::from_millis(500);

impl<A: WorkerApi> AgentLoop<A> {
    /// Drops the completions that the leader has committed; the worker drops them at a renewal. Those
    /// after an unreadable one are kept, because the worker would drop that one as well.
    pub(super) fn acknowledge_completions(&mut self, key: &WorkerKey, last_completion: u64) {
        let acknowledge_max = self.acknowledge_max.unwrap_or(u64::MAX);
        let last_completion = last_completion.min(acknowledge_max);
        let Some(worker) = self.worker.as_mut().filter(|worker| worker.key == *key) else {
            return;
        };
        worker.acknowledged_completion = worker.acknowledged_completion.max(last_completion);
        let acknowledged = worker.acknowledged_completion;
        worker
            .completions
            .retain(|completion| completion.number > acknowledged);
        if worker.completions.is_empty() {
            self.renew_now();
        }
    }

    pub(super) fn renew_now(&mut self) {
        if let RenewalPlan::DueAt(_) = self.renewal {
            self.renewal = RenewalPlan::DueAt(BootClock.now());
        }
    }

    /// Sends a renewal if one is due and a leader has answered a ping.
    pub(super) fn start_renewal(&mut self) {
        let now = BootClock.now();
        let RenewalPlan::DueAt(due) = self.renewal else {
            return;
        };
        if now < due || self.fencing_token == 0 {
            return;
        }
        let Some(worker) = &self.worker else {
            return;
        };
        // Acknowledgement and deadline are by the counts and the clock of one incarnation.
        let (deadline_ms, last_completion) = if self.asks_incarnation {
            (None, 0)
        } else {
            let deadline_ms = self.lease.extend_deadline(now);
            (deadline_ms, worker.completion_to_forget())
        };
        let mut wait = self.renewal_wait(worker).min(self.lease.renewal_wait_max());
        if deadline_ms.is_none() {
            wait = wait.min(GRANT_WAIT);
        }
        let (key, fencing_token) = (worker.key.clone(), self.fencing_token);
        for listed_next in self.unconfirmed_stops.values_mut() {
            *listed_next = true;
        }
        self.renewal_number += 1;
        let number = self.renewal_number;
        let worker_api = self.worker_api.clone();
        let results = self.renewal_results.0.clone();
        tokio::spawn(async move {
            let answer = worker_api
                .renew_lease(
                    key.clone(),
                    fencing_token,
                    last_completion,
                    deadline_ms,
                    wait,
                )
                .await;
            // Sending fails only after the loop has stopped.
            let _ = results.send(RenewalResult {
                key,
                number,
                last_completion,
                answer,
            });
        });
        self.renewal_sent_at = now;
        self.renewal = RenewalPlan::InFlight;
    }

    /// Time that the worker may wait for a run to end before it answers a renewal.
    pub(super) fn renewal_wait(&self, worker: &LocalWorker) -> Duration {
        // After a refused renewal, the lease is extended again only once one is answered.
        let is_expiring = worker.silent || self.lease.is_refused();
        let has_completions = !worker.completions.is_empty();
        if !worker.has_list || has_completions || is_expiring || self.asks_incarnation {
            return Duration::ZERO;
        }
        if !self.unconfirmed_stops.is_empty() && !worker.omits_rows {
            return STOP_CONFIRMATION_WAIT;
        }
        let attributes = || worker.attributes.values();
        let has_latency_critical =
            attributes().any(|attributes| attributes.latency_target_ms.is_some());
        if has_latency_critical && attributes().any(|attributes| attributes.best_effort) {
            return MIXED_LOAD_WAIT;
        }
        RENEWAL_WAIT_MAX
    }

    pub(super) fn handle_renewal(&mut self, result: RenewalResult) {
        if result.number != self.renewal_number {
            return;
        }
        let now = BootClock.now();
        self.renewal = RenewalPlan::DueAt(now);
        if !self.is_current(&result.key) {
            return;
        }
        match result.answer {
            RenewalAnswer::Report(report) => {
                let is_other_incarnation = report
                    .started_ms
                    .is_some_and(|started_ms| started_ms != result.key.started_ms);
                if is_other_incarnation {
                    return self.await_next_incarnation();
                }
                self.handle_renewal_report(now, result.last_completion, report);
            }
            RenewalAnswer::OtherIncarnation => self.replace_worker("other_incarnation"),
            RenewalAnswer::Refused => {
                self.renewal = RenewalPlan::DueAt(now + RENEWAL_BACKOFF);
                self.lease.record_refusal();
            }
            RenewalAnswer::Unreachable if self.leaving => self.replace_worker("left"),
            RenewalAnswer::Unreachable | RenewalAnswer::Unanswered => {
                self.renewal = RenewalPlan::DueAt(now + RENEWAL_BACKOFF);
                self.record_silence(true);
            }
        }
    }

    /// Forgets the worker, since a later incarnation has its name and may still carry out its starts.
    /// The leader frees its runs once the later one has been reported and refuses them.
    fn await_next_incarnation(&mut self) {
        self.forget_worker("born_again");
        self.adopt_successor();
    }

    /// Forgets the worker, since it has ended and no later incarnation answers to its name.
    fn replace_worker(&mut self, reason: &'static str) {
        self.remove_worker(reason);
        self.adopt_successor();
    }

    /// Handles the report of a renewal that let the worker forget the completions up to
    /// `last_completion`.
    fn handle_renewal_report(
        &mut self,
        now: BootTime,
        last_completion: u64,
        report: RenewalReport,
    ) {
        // A renewal that only asked for the incarnation had no deadline, so the next one follows at once.
        let lacked_deadline = self.lease.is_silent() || self.asks_incarnation;
        self.asks_incarnation = false;
        self.lease.record_clock(now, report.clock_ms);
        self.record_silence(false);
        let Some(worker) = &mut self.worker else {
            return;
        };
        if std::mem::take(&mut worker.follows_incarnation) {
            self.lease.record_late_calls(now);
        }
        worker.forgotten_completion = worker.forgotten_completion.max(last_completion);
        let omits_completions = report.omits_completions;
        let previous_max = self.acknowledge_max.unwrap_or(u64::MAX);
        self.acknowledge_max = report.acknowledge_max;
        if previous_max < self.acknowledge_max.unwrap_or(u64::MAX) {
            // The row that was unreadable has a lower number than those that were reported.
            worker.reported_completion = worker.acknowledged_completion;
        }
        let new_completions = worker.update_lists(report);
        let sent_at = self.renewal_sent_at;
        self.recent_starts.retain(|_, at| *at >= sent_at);
        worker.prune_runs(|run| {
            self.orders_in_flight.contains_key(run) || self.recent_starts.contains_key(run)
        });
        let new_checkpoints = worker.new_checkpoints();
        let share_orders = worker.cpu_share_orders(now);
        let stalled = worker.stalled_runs();
        let utilisation = worker.throttle.utilisation_report();
        let is_report_due = now >= self.next_utilisation_report && !utilisation.samples.is_empty();
        let utilisation = is_report_due.then(|| utilisation.clone());
        let key = worker.key.clone();
        // The worker answers at once as long as it has a completion that is not acknowledged.
        if !lacked_deadline && (!worker.completions.is_empty() || omits_completions) {
            self.renewal = RenewalPlan::DueAt(now + ACKNOWLEDGEMENT_WAIT);
        }
        if let Some((task, run)) = worker.unknown_run().filter(|_| self.reported) {
            tracing::warn!(event = "run_unknown", worker = %key, %task, %run);
            self.reported = false;
        }
        if self.reported {
            if !new_completions.is_empty() {
                self.send_to_leader(ToControl::Completions {
                    key: key.clone(),
                    completions: new_completions,
                });
            }
            if let Some(utilisation) = utilisation {
                self.next_utilisation_report = now + UTILISATION_INTERVAL;
                if !stalled.is_empty() {
                    let runs = stalled;
                    self.send_to_leader(ToControl::Stalled {
                        key: key.clone(),
                        runs,
                    });
                }
                self.send_to_leader(ToControl::Utilisation {
                    key: key.clone(),
                    samples: utilisation.samples,
                    load: utilisation.load,
                });
            }
            if !new_checkpoints.is_empty() {
                self.send_to_leader(ToControl::Checkpoints {
                    checkpoints: new_checkpoints,
                });
            }
        }
        for share_order in share_orders {
            self.spawn_share_order(key.clone(), share_order);
        }
        self.confirm_stops(&key);
        self.continue_refusals();
        self.report_worker();
    }

    /// Records whether the worker answers; the leader starts no runs on a silent worker.
    pub(super) fn record_silence(&mut self, silent: bool) {
        if silent {
            self.lease.record_silence();
        }
        let Some(worker) = &mut self.worker else {
            return;
        };
        if worker.silent == silent {
            return;
        }
        worker.silent = silent;
        let key = worker.key.clone();
        tracing::warn!(event = "worker_silence", worker = %key, silent);
        self.send_to_leader(ToControl::Silence { key, silent });
    }

    /// Reports runs to the leader that were stopped and are in no list of the worker. A list with
    /// unreadable rows confirms none.
    pub(super) fn confirm_stops(&mut self, key: &WorkerKey) {
        let Some(worker) = &mut self.worker else {
            return;
        };
        let mut withdrawn = Vec::new();
        let mut refused = false;
        let mut still_unconfirmed = IndexMap::new();
        for ((task, run), listed_next) in std::mem::take(&mut self.unconfirmed_stops) {
            if !listed_next || worker.omits_rows || worker.is_running(task, run) {
                still_unconfirmed.insert((task, run), listed_next);
            } else if worker.refusals.confirm((task, run)) {
                refused = true;
            } else if !worker.has_ended(task, run) {
                withdrawn.push((task, run));
            }
        }
        self.unconfirmed_stops = still_unconfirmed;
        if refused {
            self.finish_refusals();
        }
        for (task, run) in withdrawn {
            self.send_to_leader(ToControl::Withdrawn {
                key: key.clone(),
                task,
                run,
            });
        }
    }

    /// Reports that all runs on the VM have stopped once the lease has certainly expired, whether the
    /// worker has answered this process of the agent or not.
    pub(super) fn check_expiry(&mut self) {
        if !self.lease.is_expired(BootClock.now()) {
            return;
        }
        if self.leaving {
            return self.replace_worker("left");
        }
        self.reported = false;
        self.lease.clear_expiry();
        self.epoch += 1;
        let epoch = self.epoch;
        if let Some(worker) = &mut self.worker {
            worker.running.clear();
            worker.has_list = false;
            tracing::warn!(event = "worker_lapsed", worker = %worker.key, epoch);
            let name = Arc::clone(&worker.key.name);
            self.end_orders(&name);
        } else {
            tracing::info!(event = "lease_expired", epoch);
        }
        self.report_loss(ToControl::LeaseExpired);
    }
}
