//! What the end of an attempt says of its endpoint.

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

/// First HTTP status that counts as a failure of the endpoint.
const STATUS_FAILURE_MIN: u16 = 500;

impl RequestRouter {
    /// Frees the room of an attempt and counts its end for or against its endpoint.
    pub(super) fn judge_endpoint(
        &mut self,
        now: BootTime,
        open: &OpenAttempt,
        end: &AttemptOutcome,
    ) {
        let elapsed = now.saturating_since(open.started_at);
        let target = &open.holder.target;
        let slow_start_window = self.settings.slow_start_window;
        let pause_until = now + self.settings.refusal_backoff;
        if let Some(record) = self.table.find_mut(target) {
            record.close_attempt(open.started_at);
        }
        match end {
            AttemptOutcome::Answered(answer) => {
                self.observe(now, open, elapsed);
                if answer.status >= STATUS_FAILURE_MIN {
                    self.fail_endpoint(now, open);
                } else if let Some(record) = self.table.find_mut(target) {
                    record.health.record_success(now, slow_start_window);
                }
            }
            AttemptOutcome::NotRun(proof) => {
                self.update(target, |record| record.backoff_until = pause_until);
                match proof.reason() {
                    Some(reason) => self.refuse_endpoint(now, open, reason),
                    None => self.fail_endpoint(now, open),
                }
            }
            AttemptOutcome::Unknown(_) | AttemptOutcome::NoReply => {
                self.observe(now, open, elapsed);
                self.fail_endpoint(now, open);
            }
        }
    }

    fn observe(&mut self, now: BootTime, open: &OpenAttempt, elapsed: Duration) {
        let decay = self.settings.latency_time_constant;
        if let Some(record) = self.table.find_mut(&open.holder.target) {
            record.latency.record_sample(now, elapsed, decay);
        }
        let queue = self.queues.entry(open.request.service.clone()).or_default();
        queue.latency.record_sample(elapsed);
    }

    fn refuse_endpoint(&mut self, now: BootTime, open: &OpenAttempt, reason: RefusalReason) {
        match reason {
            RefusalReason::Leaving => {
                self.update(&open.holder.target, |record| {
                    record.state = EndpointState::Leaving;
                });
                self.restore_floor(now);
            }
            RefusalReason::WrongIncarnation => {
                self.table.expire_replaced(now, &open.holder.target);
                self.restore_floor(now);
            }
            RefusalReason::UnknownEndpoint => {
                self.update(&open.holder.target, |record| record.expires_at = now);
                self.restore_floor(now);
            }
            RefusalReason::Busy | RefusalReason::RecordFull | RefusalReason::DeadlinePassed => {
                self.update(&open.holder.target, |record| {
                    record.others_outstanding = record.slots
                });
            }
            RefusalReason::ConnectionRefused => self.fail_endpoint(now, open),
            RefusalReason::Revoked => {}
        }
    }

    fn update(&mut self, target: &DispatchTarget, change: impl FnOnce(&mut EndpointRecord)) {
        if let Some(record) = self.table.find_mut(target) {
            change(record);
        }
    }

    fn fail_endpoint(&mut self, now: BootTime, open: &OpenAttempt) {
        let settings = &self.settings;
        let Some(record) = self.table.find_mut(&open.holder.target) else {
            return;
        };
        if record.health.is_ejected(now) || !record.health.record_failure(settings) {
            return;
        }
        if self.may_eject(now, &open.request.service) {
            if let Some(record) = self.table.find_mut(&open.holder.target) {
                record.health.eject(now, &self.settings);
            }
        }
    }

    /// Whether one more endpoint of the service may be ejected.
    fn may_eject(&self, now: BootTime, service: &ServiceKey) -> bool {
        let (live, ejected) = self.count_ejected(now, service);
        self.is_within_floor(live, ejected + 1)
    }

    fn is_within_floor(&self, live: usize, ejected: usize) -> bool {
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

    /// Ends ejections that are too many now that other endpoints have gone.
    pub(super) fn restore_floor(&mut self, now: BootTime) {
        let ejected: Vec<(ServiceKey, EndpointName)> = self
            .table
            .endpoints()
            .filter(|record| record.is_live(now) && record.health.is_ejected(now))
            .map(|record| (record.service.clone(), record.target.endpoint.clone()))
            .collect();
        for (service, name) in ejected {
            let (live, ejected) = self.count_ejected(now, &service);
            if !self.is_within_floor(live, ejected) {
                self.table.end_ejection(&name, now);
            }
        }
    }
}
