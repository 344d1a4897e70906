//! Model of the platform's worker that follows `guavavane_contract` exactly.
#![allow(dead_code, clippy::unwrap_used)]

use std::time::Duration;

use indexmap::IndexMap;

use guavavane_contract::prelude::AttemptKey;
use guavavane_contract::prelude::AttemptList;
use guavavane_contract::prelude::AttemptState;
use guavavane_contract::prelude::AttemptStatus;
use guavavane_contract::prelude::OrderAnswer;
use guavavane_contract::prelude::RenewOrder;
use guavavane_contract::prelude::StartOrder;
use guavavane_contract::prelude::WorkerFacts;
use guavavane_model::prelude::BootId;
use guavavane_model::prelude::BootTime;
use guavavane_model::prelude::FenceNumber;
use guavavane_model::prelude::ResourceVector;
use guavavane_model::prelude::TaskId;

/// An attempt on the worker.
#[derive(Clone, Debug)]
pub(crate) struct ModelAttempt {
    pub(crate) fence: FenceNumber,
    pub(crate) state: AttemptState,
    pub(crate) demand: ResourceVector,
    pub(crate) checkpoint_ms: u64,
    pub(crate) checkpoints: u32,
    pub(crate) refusals: u32,
    lease_until_ms: u64,
}

/// A worker with its own clock, which counts from its boot with an offset.
#[derive(Debug)]
pub(crate) struct WorkerModel {
    pub(crate) boot: BootId,
    pub(crate) capacity: ResourceVector,
    pub(crate) attempts: IndexMap<AttemptKey, ModelAttempt>,
    /// Attempts started since the test last took this list.
    pub(crate) started: Vec<AttemptKey>,
    fences: IndexMap<TaskId, FenceNumber>,
    booted_at: BootTime,
    clock_offset_ms: u64,
}

impl WorkerModel {
    pub(crate) fn new(capacity: ResourceVector) -> Self {
        Self {
            boot: BootId(1),
            capacity,
            attempts: IndexMap::new(),
            started: Vec::new(),
            fences: IndexMap::new(),
            booted_at: BootTime::default(),
            clock_offset_ms: 1_000_000,
        }
    }

    /// Reboots the worker: all attempts and fencing tokens are lost, and the clock restarts.
    pub(crate) fn reboot(&mut self, now: BootTime, clock_offset_ms: u64) {
        self.boot = self.boot.next();
        self.attempts.clear();
        self.fences.clear();
        self.booted_at = now;
        self.clock_offset_ms = clock_offset_ms;
    }

    pub(crate) fn now_ms(&self, now: BootTime) -> u64 {
        let uptime: Duration = now.saturating_since(self.booted_at);
        self.clock_offset_ms + u64::try_from(uptime.as_millis()).unwrap()
    }

    /// Stops the running attempts whose lease has expired.
    pub(crate) fn expire(&mut self, now: BootTime) {
        let now_ms = self.now_ms(now);
        for attempt in self.attempts.values_mut() {
            if attempt.state == AttemptState::Running && attempt.lease_until_ms <= now_ms {
                attempt.state = AttemptState::Expired;
            }
        }
    }

    pub(crate) fn is_running(&self, key: &AttemptKey) -> bool {
        self.attempts
            .get(key)
            .is_some_and(|attempt| attempt.state == AttemptState::Running)
    }

    pub(crate) fn running(&self) -> impl Iterator<Item = (&AttemptKey, &ModelAttempt)> {
        self.attempts
            .iter()
            .filter(|(_, attempt)| attempt.state == AttemptState::Running)
    }

    pub(crate) fn start(&mut self, now: BootTime, order: &StartOrder) -> OrderAnswer {
        self.expire(now);
        if order.boot != self.boot {
            return refuse("other boot");
        }
        if self.attempts.contains_key(&order.key) {
            return OrderAnswer::Done;
        }
        let highest = self.fences.get(&order.key.task).copied();
        if highest.is_some_and(|highest| order.fence < highest) {
            return refuse("fencing token too low");
        }
        let now_ms = self.now_ms(now);
        if now_ms > order.start_by_ms || now_ms >= order.lease_until_ms {
            return refuse("permit or lease expired");
        }
        self.fences.insert(order.key.task, order.fence);
        self.started.push(order.key);
        let attempt = ModelAttempt {
            fence: order.fence,
            state: AttemptState::Running,
            demand: order.demand,
            checkpoint_ms: order.resume_ms,
            checkpoints: 0,
            refusals: 0,
            lease_until_ms: order.lease_until_ms,
        };
        self.attempts.insert(order.key, attempt);
        OrderAnswer::Done
    }

    pub(crate) fn renew(&mut self, now: BootTime, order: &RenewOrder) -> OrderAnswer {
        self.expire(now);
        if order.boot != self.boot {
            return refuse("other boot");
        }
        for key in &order.keys {
            if let Some(attempt) = self.attempts.get_mut(key) {
                if attempt.state == AttemptState::Running {
                    attempt.lease_until_ms = attempt.lease_until_ms.max(order.lease_until_ms);
                }
            }
        }
        OrderAnswer::Done
    }

    pub(crate) fn checkpoint(
        &mut self,
        now: BootTime,
        key: &AttemptKey,
        should_refuse: bool,
    ) -> OrderAnswer {
        self.expire(now);
        let now_ms = self.now_ms(now);
        match self.attempts.get_mut(key) {
            Some(attempt) if attempt.state == AttemptState::Running && !should_refuse => {
                attempt.checkpoint_ms = attempt.checkpoint_ms.max(now_ms);
                attempt.checkpoints += 1;
                OrderAnswer::Checkpointed {
                    progress_ms: attempt.checkpoint_ms,
                }
            }
            Some(attempt) => {
                attempt.refusals += 1;
                refuse("cannot write a checkpoint")
            }
            None => refuse("unknown"),
        }
    }

    pub(crate) fn stop(&mut self, now: BootTime, key: &AttemptKey) -> OrderAnswer {
        self.expire(now);
        match self.attempts.get_mut(key) {
            Some(attempt) => {
                if attempt.state == AttemptState::Running {
                    attempt.state = AttemptState::Stopped;
                }
                OrderAnswer::Done
            }
            None => refuse("unknown"),
        }
    }

    pub(crate) fn forget(&mut self, now: BootTime, key: &AttemptKey) -> OrderAnswer {
        self.expire(now);
        if self.is_running(key) {
            return refuse("attempt runs");
        }
        self.attempts.swap_remove(key);
        OrderAnswer::Done
    }

    pub(crate) fn end(&mut self, key: &AttemptKey, state: AttemptState) {
        if let Some(attempt) = self.attempts.get_mut(key) {
            if attempt.state == AttemptState::Running {
                attempt.state = state;
            }
        }
    }

    pub(crate) fn facts(&self) -> WorkerFacts {
        WorkerFacts {
            worker: "worker-1".try_into().unwrap(),
            data_centre: "caxias".try_into().unwrap(),
            rack: "rack-1".try_into().unwrap(),
            boot: self.boot,
            capacity: self.capacity,
        }
    }

    pub(crate) fn list(&mut self, now: BootTime) -> AttemptList {
        self.expire(now);
        AttemptList {
            boot: self.boot,
            now_ms: self.now_ms(now),
            attempts: self
                .attempts
                .iter()
                .map(|(key, attempt)| AttemptStatus {
                    key: *key,
                    fence: attempt.fence,
                    state: attempt.state,
                    demand: attempt.demand,
                    checkpoint_ms: attempt.checkpoint_ms,
                    usage: None,
                })
                .collect(),
            omits_attempts: false,
        }
    }
}

fn refuse(reason: &str) -> OrderAnswer {
    OrderAnswer::Refused {
        reason: reason.to_owned(),
    }
}
