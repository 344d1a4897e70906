//! Table of the endpoints that agents have announced.
//!
//! Announcements are the only source of endpoints. An announcement replaces the previous one of
//! the same agent and is valid for its announced expiry, counted from its arrival. Announcements
//! that arrive out of order are ignored, and so are late ones of an incarnation that was
//! replaced recently.

use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::ejection::EndpointHealth;
use crate::endpoint::EndpointRecord;
use crate::latency::EndpointLatency;
use crate::service::ServiceKey;
use guavavane_model::prelude::BootTime;
use guavavane_model::prelude::DataCentreName;
use guavavane_model::prelude::EndpointName;
use guavavane_model::prelude::IncarnationId;
use guavavane_model::prelude::WorkerName;
use guavavane_protocol::prelude::DataCentreStatus;
use guavavane_protocol::prelude::DispatchTarget;
use guavavane_protocol::prelude::EndpointAnnouncement;
use guavavane_protocol::prelude::EndpointState;
use guavavane_protocol::prelude::EndpointStatus;

/// Time for which announcements of a replaced incarnation are ignored.
const REPLACED_INCARNATION_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Time for which an expired endpoint stays in the table.
const EXPIRED_RETENTION: Duration = Duration::from_millis(60_000);

/// Outcome of an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnnouncementOutcome {
    /// The announcement was applied.
    Taken,
    /// The agent's last applied announcement is at least as new.
    Older,
    /// The incarnation that sent the announcement was replaced recently.
    Replaced,
    /// The table would exceed its maximum number of endpoints.
    Full,
}

#[derive(Clone, Debug)]
struct AgentRecord {
    incarnation: IncarnationId,
    sequence: u64,
    /// Replaced incarnation whose announcements are ignored, until this time.
    ignored_incarnation: Option<(IncarnationId, BootTime)>,
    endpoints: Vec<EndpointName>,
}

/// Indices of the endpoints of one service in the table.
#[derive(Clone, Debug, Default)]
pub struct EndpointPool {
    /// Endpoints in the data centre of the entry.
    pub local: Vec<usize>,
    /// Endpoints in other data centres.
    pub remote: Vec<usize>,
}

impl EndpointPool {
    fn indices_mut(&mut self, local: bool) -> &mut Vec<usize> {
        if local {
            &mut self.local
        } else {
            &mut self.remote
        }
    }
}

/// All endpoints known to an entry, with an index by service.
#[derive(Clone, Debug)]
pub struct EndpointTable {
    data_centre: DataCentreName,
    endpoints_max: usize,
    agents: IndexMap<WorkerName, AgentRecord>,
    endpoints: IndexMap<EndpointName, EndpointRecord>,
    pools: IndexMap<ServiceKey, EndpointPool>,
    /// Data centres that operators have taken out of service.
    data_centres_out: IndexSet<DataCentreName>,
    data_centre_versions: IndexMap<DataCentreName, u64>,
}

impl EndpointTable {
    /// Creates an empty table for an entry in `data_centre`.
    pub fn new(data_centre: DataCentreName, endpoints_max: usize) -> Self {
        Self {
            data_centre,
            endpoints_max,
            agents: IndexMap::new(),
            endpoints: IndexMap::new(),
            pools: IndexMap::new(),
            data_centres_out: IndexSet::new(),
            data_centre_versions: IndexMap::new(),
        }
    }

    /// Applies an announcement that arrived at `now`.
    pub fn apply_announcement(
        &mut self,
        now: BootTime,
        announcement: EndpointAnnouncement,
    ) -> AnnouncementOutcome {
        if let Some(rejection) = self.find_rejection(now, &announcement) {
            return rejection;
        }
        if self.count_new_endpoints(&announcement) + self.endpoints.len() > self.endpoints_max {
            return AnnouncementOutcome::Full;
        }
        let removed = self.record_agent(now, &announcement);
        let mut changed = !removed.is_empty();
        for name in removed {
            self.endpoints.swap_remove(&name);
        }
        for status in &announcement.endpoints {
            changed |= self.update_endpoint(now, &announcement, status);
        }
        if changed {
            self.rebuild_pools();
        }
        AnnouncementOutcome::Taken
    }

    fn find_rejection(
        &self,
        now: BootTime,
        announcement: &EndpointAnnouncement,
    ) -> Option<AnnouncementOutcome> {
        let agent = self.agents.get(&announcement.worker)?;
        if agent.incarnation == announcement.incarnation {
            let is_newer = announcement.sequence > agent.sequence;
            return (!is_newer).then_some(AnnouncementOutcome::Older);
        }
        let (ignored_incarnation, until) = agent.ignored_incarnation?;
        let is_ignored = ignored_incarnation == announcement.incarnation && now < until;
        is_ignored.then_some(AnnouncementOutcome::Replaced)
    }

    fn count_new_endpoints(&self, announcement: &EndpointAnnouncement) -> usize {
        let is_new = |status: &&EndpointStatus| !self.endpoints.contains_key(&status.name);
        announcement.endpoints.iter().filter(is_new).count()
    }

    /// Records the announcement of an agent and returns the endpoints that are no longer
    /// announced.
    fn record_agent(
        &mut self,
        now: BootTime,
        announcement: &EndpointAnnouncement,
    ) -> Vec<EndpointName> {
        let names: Vec<EndpointName> = announcement
            .endpoints
            .iter()
            .map(|status| status.name.clone())
            .collect();
        let record = AgentRecord {
            incarnation: announcement.incarnation,
            sequence: announcement.sequence,
            ignored_incarnation: None,
            endpoints: names,
        };
        let previous = self.agents.insert(announcement.worker.clone(), record);
        let Some(previous) = previous else {
            return Vec::new();
        };
        let record = &mut self.agents[&announcement.worker];
        record.ignored_incarnation = if previous.incarnation == announcement.incarnation {
            previous.ignored_incarnation
        } else {
            Some((previous.incarnation, now + REPLACED_INCARNATION_TIMEOUT))
        };
        let announced_names = &record.endpoints;
        let is_removed = |name: &EndpointName| !announced_names.contains(name);
        previous.endpoints.into_iter().filter(is_removed).collect()
    }

    /// Updates or adds one endpoint; returns whether the pools must be rebuilt.
    fn update_endpoint(
        &mut self,
        now: BootTime,
        announcement: &EndpointAnnouncement,
        status: &EndpointStatus,
    ) -> bool {
        let expires_at = now + Duration::from_millis(u64::from(announcement.expiry_ms));
        let known = self.endpoints.get_mut(&status.name).filter(|record| {
            record.target.incarnation == announcement.incarnation
                && record.target.agent == announcement.address
                && record.service == service_key(status)
        });
        if let Some(record) = known {
            let own_outstanding =
                u16::try_from(record.attempts_started_at.len()).unwrap_or(u16::MAX);
            if now >= record.expires_at || record.state != EndpointState::Ready {
                record.health.end_ejection(now);
            }
            record.state = status.state;
            record.slots = status.slots;
            record.others_outstanding = status.outstanding.saturating_sub(own_outstanding);
            record.expires_at = expires_at;
            return false;
        }
        let record = self.create_record(now, announcement, status, expires_at);
        let (service, local) = (record.service.clone(), record.is_local);
        let (index, previous) = self.endpoints.insert_full(status.name.clone(), record);
        match previous {
            Some(previous) => previous.service != service || previous.is_local != local,
            None => {
                let pool = self.pools.entry(service).or_default();
                pool.indices_mut(local).push(index);
                false
            }
        }
    }

    fn create_record(
        &self,
        now: BootTime,
        announcement: &EndpointAnnouncement,
        status: &EndpointStatus,
        expires_at: BootTime,
    ) -> EndpointRecord {
        EndpointRecord {
            target: DispatchTarget {
                agent: announcement.address,
                incarnation: announcement.incarnation,
                endpoint: status.name.clone(),
            },
            service: service_key(status),
            data_centre: announcement.data_centre.clone(),
            is_local: announcement.data_centre == self.data_centre,
            data_centre_out: self.data_centres_out.contains(&announcement.data_centre),
            state: status.state,
            slots: status.slots,
            others_outstanding: status.outstanding,
            backoff_until: now,
            expires_at,
            latency: EndpointLatency::new(now),
            health: EndpointHealth::new(now),
            attempts_started_at: Vec::new(),
        }
    }

    fn rebuild_pools(&mut self) {
        self.pools.clear();
        for (index, record) in self.endpoints.values().enumerate() {
            let pool = self.pools.entry(record.service.clone()).or_default();
            pool.indices_mut(record.is_local).push(index);
        }
    }

    /// Applies the state of data centres; a status with a version older than the known one is
    /// ignored.
    pub fn set_data_centres(&mut self, statuses: &[DataCentreStatus]) {
        for status in statuses {
            let known = self.data_centre_versions.get(&status.name);
            if known.is_some_and(|version| *version > status.version) {
                continue;
            }
            self.data_centre_versions
                .insert(status.name.clone(), status.version);
            if status.out {
                self.data_centres_out.insert(status.name.clone());
            } else {
                self.data_centres_out.swap_remove(&status.name);
            }
        }
        for record in self.endpoints.values_mut() {
            record.data_centre_out = self.data_centres_out.contains(&record.data_centre);
        }
    }

    /// Removes endpoints that expired more than 60 s ago, and agents without endpoints.
    pub fn remove_expired(&mut self, now: BootTime) {
        let previous_len = self.endpoints.len();
        self.endpoints
            .retain(|_, record| now < record.expires_at + EXPIRED_RETENTION);
        if self.endpoints.len() == previous_len {
            return;
        }
        let endpoints = &self.endpoints;
        self.agents.retain(|_, agent| {
            agent
                .endpoints
                .iter()
                .any(|name| endpoints.contains_key(name))
        });
        self.rebuild_pools();
    }

    /// Returns the endpoints of a service.
    pub fn pool(&self, service: &ServiceKey) -> Option<&EndpointPool> {
        self.pools.get(service)
    }

    /// Returns the endpoint at an index of a pool.
    pub fn endpoint_at(&self, index: usize) -> &EndpointRecord {
        &self.endpoints[index]
    }

    /// Returns the endpoint with this name.
    pub fn get(&self, name: &EndpointName) -> Option<&EndpointRecord> {
        self.endpoints.get(name)
    }

    /// Returns the endpoint of a target, unless the agent has another incarnation by now.
    pub fn find_mut(&mut self, target: &DispatchTarget) -> Option<&mut EndpointRecord> {
        self.endpoints
            .get_mut(&target.endpoint)
            .filter(|record| record.target.incarnation == target.incarnation)
    }

    /// Expires the endpoint of `target`, whose agent reported that the incarnation was replaced.
    pub fn expire_replaced(&mut self, now: BootTime, target: &DispatchTarget) {
        if let Some(record) = self.find_mut(target) {
            record.expires_at = now;
        }
        let is_replaced = |agent: &&mut AgentRecord| agent.incarnation == target.incarnation;
        if let Some(agent) = self.agents.values_mut().find(is_replaced) {
            // The new incarnation may be the one whose announcements are being ignored.
            agent.ignored_incarnation = None;
        }
    }

    /// Ends the ejection of an endpoint early.
    pub fn end_ejection(&mut self, name: &EndpointName, now: BootTime) {
        if let Some(record) = self.endpoints.get_mut(name) {
            record.health.end_ejection(now);
        }
    }

    /// Returns all endpoints.
    pub fn endpoints(&self) -> impl Iterator<Item = &EndpointRecord> {
        self.endpoints.values()
    }
}

fn service_key(status: &EndpointStatus) -> ServiceKey {
    ServiceKey {
        environment: status.environment.clone(),
        service: status.service.clone(),
    }
}
