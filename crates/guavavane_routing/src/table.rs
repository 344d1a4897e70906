//! The endpoints that agents have announced.
//!
//! There is no other list of endpoints. An announcement replaces what the same agent announced
//! before and holds for its expiry, counted from its arrival. Older announcements of the same
//! incarnation are ignored, and so are those of an incarnation that was replaced a moment ago.

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

/// Time for which a replaced incarnation is ignored.
const REPLACED_IGNORE: Duration = Duration::from_millis(3_000);

/// Time for which an expired endpoint is remembered.
const FORGET_AFTER: Duration = Duration::from_millis(60_000);

/// What an announcement changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnnouncementOutcome {
    /// The announcement is in force.
    Taken,
    /// A newer one of the same agent is in force.
    Older,
    /// The agent that sent it was replaced.
    Replaced,
    /// No room for its endpoints.
    Full,
}

#[derive(Clone, Debug)]
struct AgentRecord {
    incarnation: IncarnationId,
    sequence: u64,
    replaced: Option<(IncarnationId, BootTime)>,
    endpoints: Vec<EndpointName>,
}

/// Indices of the endpoints of one service.
#[derive(Clone, Debug, Default)]
pub struct ServicePool {
    /// Endpoints in the entry's data centre.
    pub local: Vec<usize>,
    /// All other endpoints.
    pub remote: Vec<usize>,
}

impl ServicePool {
    fn members(&mut self, local: bool) -> &mut Vec<usize> {
        if local {
            &mut self.local
        } else {
            &mut self.remote
        }
    }
}

/// All endpoints known to an entry.
#[derive(Clone, Debug)]
pub struct EndpointTable {
    data_centre: DataCentreName,
    endpoints_max: usize,
    agents: IndexMap<WorkerName, AgentRecord>,
    endpoints: IndexMap<EndpointName, EndpointRecord>,
    pools: IndexMap<ServiceKey, ServicePool>,
    out: IndexSet<DataCentreName>,
    statuses: IndexMap<DataCentreName, u64>,
}

impl EndpointTable {
    /// An empty table of an entry in `data_centre`.
    pub fn new(data_centre: DataCentreName, endpoints_max: usize) -> Self {
        Self {
            data_centre,
            endpoints_max,
            agents: IndexMap::new(),
            endpoints: IndexMap::new(),
            pools: IndexMap::new(),
            out: IndexSet::new(),
            statuses: IndexMap::new(),
        }
    }

    /// Takes an announcement.
    pub fn announce(
        &mut self,
        now: BootTime,
        announcement: EndpointAnnouncement,
    ) -> AnnouncementOutcome {
        if let Some(refusal) = self.check_order(now, &announcement) {
            return refusal;
        }
        if self.added(&announcement) + self.endpoints.len() > self.endpoints_max {
            return AnnouncementOutcome::Full;
        }
        let dropped = self.replace_agent(now, &announcement);
        let mut changed = !dropped.is_empty();
        for name in dropped {
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

    fn check_order(
        &self,
        now: BootTime,
        announcement: &EndpointAnnouncement,
    ) -> Option<AnnouncementOutcome> {
        let agent = self.agents.get(&announcement.worker)?;
        if agent.incarnation == announcement.incarnation {
            let newer = announcement.sequence > agent.sequence;
            return (!newer).then_some(AnnouncementOutcome::Older);
        }
        let (replaced, until) = agent.replaced?;
        let ignored = replaced == announcement.incarnation && now < until;
        ignored.then_some(AnnouncementOutcome::Replaced)
    }

    fn added(&self, announcement: &EndpointAnnouncement) -> usize {
        let known = |status: &&EndpointStatus| !self.endpoints.contains_key(&status.name);
        announcement.endpoints.iter().filter(known).count()
    }

    /// Records the agent and returns the endpoints that it no longer has.
    fn replace_agent(
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
            replaced: None,
            endpoints: names,
        };
        let previous = self.agents.insert(announcement.worker.clone(), record);
        let Some(previous) = previous else {
            return Vec::new();
        };
        let record = &mut self.agents[&announcement.worker];
        record.replaced = if previous.incarnation == announcement.incarnation {
            previous.replaced
        } else {
            Some((previous.incarnation, now + REPLACED_IGNORE))
        };
        let kept = &record.endpoints;
        let gone = |name: &EndpointName| !kept.contains(name);
        previous.endpoints.into_iter().filter(gone).collect()
    }

    /// Updates one endpoint; returns whether the pools have to be rebuilt.
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
            let own = u16::try_from(record.attempts_started_at.len()).unwrap_or(u16::MAX);
            if now >= record.expires_at || record.state != EndpointState::Ready {
                record.health.end_ejection(now);
            }
            record.state = status.state;
            record.slots = status.slots;
            record.others_outstanding = status.outstanding.saturating_sub(own);
            record.expires_at = expires_at;
            return false;
        }
        let record = self.new_record(now, announcement, status, expires_at);
        let (service, local) = (record.service.clone(), record.is_local);
        let (index, before) = self.endpoints.insert_full(status.name.clone(), record);
        match before {
            Some(before) => before.service != service || before.is_local != local,
            None => {
                let pool = self.pools.entry(service).or_default();
                pool.members(local).push(index);
                false
            }
        }
    }

    fn new_record(
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
            data_centre_out: self.out.contains(&announcement.data_centre),
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
            pool.members(record.is_local).push(index);
        }
    }

    /// Takes the state of data centres; a status older than the known one is ignored.
    pub fn set_data_centres(&mut self, statuses: &[DataCentreStatus]) {
        for status in statuses {
            let known = self.statuses.get(&status.name);
            if known.is_some_and(|version| *version > status.version) {
                continue;
            }
            self.statuses.insert(status.name.clone(), status.version);
            if status.out {
                self.out.insert(status.name.clone());
            } else {
                self.out.swap_remove(&status.name);
            }
        }
        for record in self.endpoints.values_mut() {
            record.data_centre_out = self.out.contains(&record.data_centre);
        }
    }

    /// Forgets endpoints that expired long ago and their agents.
    pub fn forget_expired(&mut self, now: BootTime) {
        let before = self.endpoints.len();
        self.endpoints
            .retain(|_, record| now < record.expires_at + FORGET_AFTER);
        if self.endpoints.len() == before {
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

    /// Endpoints of a service.
    pub fn pool(&self, service: &ServiceKey) -> Option<&ServicePool> {
        self.pools.get(service)
    }

    /// The endpoint at an index of a pool.
    pub fn record(&self, index: usize) -> &EndpointRecord {
        &self.endpoints[index]
    }

    /// The endpoint of that name.
    pub fn get(&self, name: &EndpointName) -> Option<&EndpointRecord> {
        self.endpoints.get(name)
    }

    /// The endpoint that a target names, unless its agent was replaced.
    pub fn find_mut(&mut self, target: &DispatchTarget) -> Option<&mut EndpointRecord> {
        self.endpoints
            .get_mut(&target.endpoint)
            .filter(|record| record.target.incarnation == target.incarnation)
    }

    /// Drops what the agent of a target announced: it has been replaced.
    pub fn drop_incarnation(&mut self, now: BootTime, target: &DispatchTarget) {
        if let Some(record) = self.find_mut(target) {
            record.expires_at = now;
        }
        let announced = |agent: &&mut AgentRecord| agent.incarnation == target.incarnation;
        if let Some(agent) = self.agents.values_mut().find(announced) {
            // Its successor may be the very one that was ignored as replaced.
            agent.replaced = None;
        }
    }

    /// Ends the ejection of an endpoint.
    pub fn restore(&mut self, name: &EndpointName, now: BootTime) {
        if let Some(record) = self.endpoints.get_mut(name) {
            record.health.end_ejection(now);
        }
    }

    /// All endpoints.
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
