//! Effect of the outcome of an attempt on the load, latency and health of its endpoint.

use std::time::Duration;

use crate::endpoint::EndpointRecord;
use crate::request::AttemptOutcome;
use crate::router::OpenAttempt;
use crate::router::RequestRouter;
use crate::service::ServiceKey;
use guavavane_model::prelude::BootTime;
use guavavane_model::prelude::EndpointName;
use guavavane_protocol::prelude::DispatchTarget;
use guavavane_protocol::prelude::EndpointState;
use guavavane_protocol::prelude::RefusalReason;

/// Lowest HTTP status that counts as a failure of the endpoint.
const FAILURE_STATUS_MIN: u16 = 500;

impl RequestRouter {
    /// Closes an attempt and records its outcome as a success or failure of its endpoint.
    pub(super) fn record_attempt_outcome(
        &mut self,
        now: BootTime,
        open_attempt: &OpenAttempt,
        outcome: &AttemptOutcome,
    ) {
        let elapsed = now.saturating_since(open_attempt.started_at);
        let target = &open_attempt.holder.target;
        let slow_start_window = self.settings.slow_start_window;
        let backoff_until = now + self.settings.refusal_backoff;
        if let Some(record) = self.table.find_mut(target) {
            record.close_attempt(open_attempt.started_at);
        }
        match outcome {
            AttemptOutcome::Answered(answer) => {
                self.record_latency(now, open_attempt, elapsed);
                if answer.status >= FAILURE_STATUS_MIN {
                    self.record_endpoint_failure(now, open_attempt);
                } else if let Some(record) = self.table.find_mut(target) {
                    record.health.record_success(now, slow_start_window);
                }
            }
            AttemptOutcome::NotRun(proof) => {
                self.update_endpoint(target, |record| record.backoff_until = backoff_until);
                match proof.reason() {
                    Some(reason) => self.handle_refusal(now, open_attempt, reason),
                    None => self.record_endpoint_failure(now, open_attempt),
                }
            }
            AttemptOutcome::Unknown(_) | AttemptOutcome::NoReply => {
                self.record_latency(now, open_attempt, elapsed);
                self.record_endpoint_failure(now, open_attempt);
            }
        }
    }

    fn record_latency(&mut self, now: BootTime, open_attempt: &OpenAttempt, elapsed: Duration) {
        let time_constant = self.settings.latency_time_constant;
        if let Some(record) = self.table.find_mut(&open_attempt.holder.target) {
            record.latency.record_sample(now, elapsed, time_constant);
        }
        let queue = self
            .queues
            .entry(open_attempt.request.service.clone())
            .or_default();
        queue.latency.record_sample(elapsed);
    }

    fn handle_refusal(&mut self, now: BootTime, open_attempt: &OpenAttempt, reason: RefusalReason) {
        match reason {
            RefusalReason::Leaving => {
                self.update_endpoint(&open_attempt.holder.target, |record| {
                    record.state = EndpointState::Leaving;
                });
                self.enforce_ejection_limit(now);
            }
            RefusalReason::WrongIncarnation => {
                self.table.expire_replaced(now, &open_attempt.holder.target);
                self.enforce_ejection_limit(now);
            }
            RefusalReason::UnknownEndpoint => {
                self.update_endpoint(&open_attempt.holder.target, |record| {
                    record.expires_at = now
                });
                self.enforce_ejection_limit(now);
            }
            RefusalReason::Busy | RefusalReason::RecordFull | RefusalReason::DeadlinePassed => {
                // Counts all slots as occupied until the next announcement.
                self.update_endpoint(&open_attempt.holder.target, |record| {
                    record.others_outstanding = record.slots
                });
            }
            RefusalReason::ConnectionRefused => self.record_endpoint_failure(now, open_attempt),
            RefusalReason::Revoked => {}
        }
    }

    fn update_endpoint(
        &mut self,
        target: &DispatchTarget,
        change: impl FnOnce(&mut EndpointRecord),
    ) {
        if let Some(record) = self.table.find_mut(target) {
            change(record);
        }
    }

    fn record_endpoint_failure(&mut self, now: BootTime, open_attempt: &OpenAttempt) {
        let settings = &self.settings;
        let Some(record) = self.table.find_mut(&open_attempt.holder.target) else {
            return;
        };
        if record.health.is_ejected(now) || !record.health.record_failure(settings) {
            return;
        }
        if self.may_eject(now, &open_attempt.request.service) {
            if let Some(record) = self.table.find_mut(&open_attempt.holder.target) {
                record.health.eject(now, &self.settings);
            }
        }
    }

    /// Returns whether one more endpoint of the service may be ejected.
    fn may_eject(&self, now: BootTime, service: &ServiceKey) -> bool {
        let (live, ejected) = self.count_ejected(now, service);
        self.is_within_ejection_limit(live, ejected + 1)
    }

    fn is_within_ejection_limit(&self, live: usize, ejected: usize) -> bool {
        ejected * 100 <= live * self.settings.ejection_percent_max as usize
    }

    fn count_ejected(&self, now: BootTime, service: &ServiceKey) -> (usize, usize) {
        let Some(pool) = self.table.pool(service) else {
            return (0, 0);
        };
        let (mut live, mut ejected) = (0, 0);
        for index in pool.local.iter().chain(&pool.remote) {
            let record = self.table.endpoint_at(*index);
            if record.is_live(now) {
                live += 1;
                ejected += usize::from(record.health.is_ejected(now));
            }
        }
        (live, ejected)
    }

    /// Ends ejections that exceed the maximum percentage since other endpoints are no longer
    /// live.
    pub(super) fn enforce_ejection_limit(&mut self, now: BootTime) {
        let ejected: Vec<(ServiceKey, EndpointName)> = self
            .table
            .endpoints()
            .filter(|record| record.is_live(now) && record.health.is_ejected(now))
            .map(|record| (record.service.clone(), record.target.endpoint.clone()))
            .collect();
        for (service, name) in ejected {
            let (live, ejected) = self.count_ejected(now, &service);
            if !self.is_within_ejection_limit(live, ejected) {
                self.table.end_ejection(&name, now);
            }
        }
    }
}
