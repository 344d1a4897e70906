//! Draining of endpoints: they finish the requests they have and accept no new ones.
//!
//! An endpoint drains when it announces that it is leaving, when control evicts its task, or when
//! the agent shuts down. Its queued requests are refused at once, since the entry can send them to
//! another endpoint; only when the agent shuts down are they still served.

use super::endpoint::EndpointSlots;
use super::GuardAction;
use super::RequestGuard;
use super::ServiceKey;
use guavavane_contract::prelude::EndpointReadiness;
use guavavane_model::prelude::BootTime;
use guavavane_model::prelude::EndpointName;
use guavavane_protocol::prelude::EndpointState;

impl RequestGuard {
    /// Whether an endpoint accepts no new requests.
    pub(super) fn is_leaving(&self, endpoint: &EndpointSlots) -> bool {
        endpoint.state == EndpointReadiness::Leaving
            || self.draining_services.contains_key(&endpoint.service)
    }

    /// State that the agent announces for an endpoint to the entries.
    pub(super) fn announced_state(&self, endpoint: &EndpointSlots) -> EndpointState {
        if self.draining || self.is_leaving(endpoint) {
            EndpointState::Leaving
        } else {
            EndpointState::Ready
        }
    }

    /// Starts the drain of all endpoints, for the shutdown of the agent.
    pub(super) fn start_drain(&mut self) {
        if !self.draining {
            self.draining = true;
            self.actions.push(GuardAction::Announce);
        }
    }

    /// Starts the drain of a service's endpoints and refuses their queued requests.
    pub(super) fn drain_service(&mut self, now: BootTime, service: ServiceKey) {
        let names: Vec<EndpointName> = self
            .endpoints
            .iter()
            .filter(|(_, endpoint)| endpoint.service == service)
            .map(|(name, _)| name.clone())
            .collect();
        self.draining_services.insert(service, false);
        self.actions.push(GuardAction::Announce);
        for name in names {
            self.refuse_queued(now, &name);
        }
    }

    /// Ends the drain of a service.
    pub(super) fn resume_service(&mut self, service: &ServiceKey) {
        if self.draining_services.swap_remove(service).is_some() {
            self.actions.push(GuardAction::Announce);
        }
    }

    /// Reports each draining service once, when none of its requests is left.
    pub(super) fn report_drained_services(&mut self) {
        let endpoints = &self.endpoints;
        for (service, reported) in &mut self.draining_services {
            let has_requests = endpoints
                .values()
                .any(|endpoint| endpoint.service == *service && endpoint.outstanding() > 0);
            if !*reported && !has_requests {
                *reported = true;
                self.actions
                    .push(GuardAction::ServiceDrained(service.clone()));
            }
        }
    }
}
