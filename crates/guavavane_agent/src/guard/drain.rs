//! Endpoints that leave: by their own announcement, by order of control, or with the agent.

use super::endpoint::EndpointSlots;
use super::GuardOutcome;
use super::RequestGuard;
use super::ServiceKey;
use guavavane_contract::prelude::NoticeState;
use guavavane_model::prelude::BootTime;
use guavavane_model::prelude::EndpointName;
use guavavane_protocol::prelude::EndpointState;

impl RequestGuard {
    /// Whether an endpoint takes nothing new.
    pub(super) fn is_leaving(&self, endpoint: &EndpointSlots) -> bool {
        endpoint.state == NoticeState::Leaving || self.leaving.contains_key(&endpoint.service)
    }

    pub(super) fn announced_state(&self, endpoint: &EndpointSlots) -> EndpointState {
        if self.draining || self.is_leaving(endpoint) {
            EndpointState::Leaving
        } else {
            EndpointState::Ready
        }
    }

    pub(super) fn drain(&mut self) {
        if !self.draining {
            self.draining = true;
            self.outcomes.push(GuardOutcome::Announce);
        }
    }

    pub(super) fn drain_service(&mut self, now: BootTime, service: ServiceKey) {
        let names: Vec<EndpointName> = self
            .endpoints
            .iter()
            .filter(|(_, endpoint)| endpoint.service == service)
            .map(|(name, _)| name.clone())
            .collect();
        self.leaving.insert(service, false);
        self.outcomes.push(GuardOutcome::Announce);
        for name in names {
            self.refuse_queue_of_leaving(now, &name);
        }
    }

    pub(super) fn resume_service(&mut self, service: &ServiceKey) {
        if self.leaving.swap_remove(service).is_some() {
            self.outcomes.push(GuardOutcome::Announce);
        }
    }

    /// Reports once for each service that was to drain when its requests have ended.
    pub(super) fn report_drained(&mut self) {
        let endpoints = &self.endpoints;
        for (service, reported) in &mut self.leaving {
            let busy = endpoints
                .values()
                .any(|endpoint| endpoint.service == *service && endpoint.outstanding() > 0);
            if !*reported && !busy {
                *reported = true;
                self.outcomes
                    .push(GuardOutcome::ServiceDrained(service.clone()));
            }
        }
    }
}
