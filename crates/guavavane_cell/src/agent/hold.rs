//! Holds: the lease of the worker, its list of runs and what follows from it.

use std::time::Duration;

use indexmap::IndexMap;

use super::order::WorkerOrder;
use super::run::AgentLoop;
use super::run::HoldPlan;
use super::run::HoldResult;
use super::worker::LocalWorker;
use crate::message::ToControl;
use crate::port::HoldAnswer;
use crate::port::HoldReport;
use crate::port::WorkerPort;
use guavavane_jobs::prelude::WorkerKey;
use guavavane_model::prelude::BootClock;
use guavavane_model::prelude::BootTime;

/// Wait of a hold while nothing needs a closer look.
const HOLD_WAIT: Duration = Duration::from_millis(800);
/// Wait of a hold while filling tasks run beside serving ones: the worker's figures are means
/// over half a second.
const WATCH_WAIT: Duration = Duration::from_millis(200);
/// Wait of a hold while a stop is not confirmed.
const CONFIRM_WAIT: Duration = Duration::from_millis(40);
/// Longest wait for the leader to note ends before the lease is extended without that.
const NOTE_WAIT: Duration = Duration::from_millis(250);
/// Pause after a hold without an answer.
const HOLD_PAUSE: Duration = Duration::from_millis(100);
/// Time between two reports of tail latencies: they change within seconds.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(500);

impl<P: WorkerPort> AgentLoop<P> {
    pub(super) fn note_ends(&mut self, key: &WorkerKey, last_end: u64) {
        let Some(worker) = self.worker.as_mut().filter(|worker| worker.key == *key) else {
            return;
        };
        worker.noted_end = worker.noted_end.max(last_end);
        let noted = worker.noted_end;
        worker.ends.retain(|end| end.number > noted);
        if worker.ends.is_empty() {
            self.hasten_hold();
        }
    }

    pub(super) fn hasten_hold(&mut self) {
        if let HoldPlan::DueAt(_) = self.hold {
            self.hold = HoldPlan::DueAt(BootClock.now());
        }
    }

    pub(super) fn start_hold(&mut self) {
        let now = BootClock.now();
        let HoldPlan::DueAt(due) = self.hold else {
            return;
        };
        if now < due || self.fence == 0 {
            return;
        }
        let Some(worker) = &self.worker else {
            return;
        };
        let deadline_ms = self.lease.next_deadline(now);
        let wait = self.hold_wait(worker).min(self.lease.longest_hold());
        let (key, last_end, fence) = (worker.key.clone(), worker.noted_end, self.fence);
        for listed_next in self.unconfirmed.values_mut() {
            *listed_next = true;
        }
        let port = self.port.clone();
        let results = self.holds.0.clone();
        tokio::spawn(async move {
            let answer = port
                .hold(key.clone(), fence, last_end, deadline_ms, wait)
                .await;
            // The loop has ended.
            let _ = results.send(HoldResult { key, answer });
        });
        self.hold_sent_at = now;
        self.hold = HoldPlan::Waiting;
    }

    pub(super) fn hold_wait(&self, worker: &LocalWorker) -> Duration {
        if !worker.listed || !worker.ends.is_empty() || worker.silent {
            return Duration::ZERO;
        }
        if !self.unconfirmed.is_empty() {
            return CONFIRM_WAIT;
        }
        let traits = || worker.traits.values();
        let serving = traits().any(|traits| traits.latency_target_ms.is_some());
        if serving && traits().any(|traits| traits.filling) {
            return WATCH_WAIT;
        }
        HOLD_WAIT
    }

    pub(super) fn take_hold(&mut self, result: HoldResult) {
        let now = BootClock.now();
        self.hold = HoldPlan::DueAt(now);
        if !self.is_current(&result.key) {
            return;
        }
        match result.answer {
            HoldAnswer::Report(report) => {
                let other = report
                    .born_ms
                    .is_some_and(|born| born != result.key.born_ms);
                if other {
                    return self.drop_worker(true, "born_again");
                }
                self.take_report(now, report);
            }
            HoldAnswer::OtherIncarnation => self.drop_worker(true, "other_incarnation"),
            HoldAnswer::Refused => self.hold = HoldPlan::DueAt(now + HOLD_PAUSE),
            HoldAnswer::Absent | HoldAnswer::Unanswered => {
                self.hold = HoldPlan::DueAt(now + HOLD_PAUSE);
                self.note_silence(true);
            }
        }
    }

    pub(super) fn take_report(&mut self, now: BootTime, report: HoldReport) {
        self.lease.note_clock(now, report.clock_ms);
        self.note_silence(false);
        let Some(worker) = &mut self.worker else {
            return;
        };
        let fresh = worker.take_lists(report.running, report.ends);
        let sent_at = self.hold_sent_at;
        self.started.retain(|_, at| *at >= sent_at);
        let progress = worker.fresh_progress();
        let paces = worker.pace_orders(now);
        let stalled = worker.stalled_runs();
        let strains = worker.pace.strain_report();
        let sampled = now >= self.next_sample && !strains.samples.is_empty();
        let strains = sampled.then(|| strains.clone());
        let key = worker.key.clone();
        if !worker.ends.is_empty() {
            self.hold = HoldPlan::DueAt(now + NOTE_WAIT);
        }
        if self.reported {
            if !fresh.is_empty() {
                self.tell(ToControl::Ends {
                    key: key.clone(),
                    ends: fresh,
                });
            }
            if let Some(strains) = strains {
                self.next_sample = now + SAMPLE_INTERVAL;
                if !stalled.is_empty() {
                    let runs = stalled;
                    self.tell(ToControl::Stalled {
                        key: key.clone(),
                        runs,
                    });
                }
                self.tell(ToControl::Pressed {
                    key: key.clone(),
                    samples: strains.samples,
                    load: strains.load,
                });
            }
            if !progress.is_empty() {
                self.tell(ToControl::Saved { saved: progress });
            }
        }
        for pace in paces {
            let order = WorkerOrder::Pace(pace.percent);
            self.spawn_order(key.clone(), pace.task, pace.run, order);
        }
        self.confirm_stops(&key);
        self.report();
    }

    /// Notes whether the worker answers; the leader gives a silent one no work.
    pub(super) fn note_silence(&mut self, silent: bool) {
        if silent {
            self.lease.note_silence();
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
        self.tell(ToControl::Silence { key, silent });
    }

    /// Tells the leader of runs that were stopped and never showed up.
    pub(super) fn confirm_stops(&mut self, key: &WorkerKey) {
        let Some(worker) = &self.worker else {
            return;
        };
        let mut withdrawn = Vec::new();
        let mut left = IndexMap::new();
        for ((task, run), listed) in std::mem::take(&mut self.unconfirmed) {
            if !listed || worker.is_running(task, run) {
                left.insert((task, run), listed);
            } else if !worker.has_ended(task, run) {
                withdrawn.push((task, run));
            }
        }
        self.unconfirmed = left;
        for (task, run) in withdrawn {
            self.tell(ToControl::Withdrawn {
                key: key.clone(),
                task,
                run,
            });
        }
    }

    /// Notices that a silent worker has surely lapsed.
    pub(super) fn check_lapse(&mut self) {
        let now = BootClock.now();
        let Some(worker) = &mut self.worker else {
            return;
        };
        if !worker.listed || !self.lease.is_lapsed(now) {
            return;
        }
        let key = worker.key.clone();
        worker.running.clear();
        worker.listed = false;
        self.unconfirmed.clear();
        self.under_way.clear();
        self.started.clear();
        self.reported = false;
        self.lease.note_lapse();
        self.epoch += 1;
        tracing::warn!(event = "worker_lapsed", worker = %key, epoch = self.epoch);
        self.lost.push((key, false));
        self.tell_lost();
    }
}
