//! Announcements from agents to entries.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::call::CallKind;
use crate::call::RemoteCall;
use guavavane_model::prelude::DataCentreName;
use guavavane_model::prelude::EndpointName;
use guavavane_model::prelude::EnvironmentName;
use guavavane_model::prelude::IncarnationId;
use guavavane_model::prelude::RackName;
use guavavane_model::prelude::ServiceName;
use guavavane_model::prelude::WorkerName;

/// Whether an endpoint takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum EndpointState {
    /// It takes new work.
    Ready,
    /// It ends what it has and takes nothing new.
    Leaving,
}

/// One endpoint as its agent sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointStatus {
    /// Its name, unique in the cell.
    pub name: EndpointName,
    /// Environment of the service.
    pub environment: EnvironmentName,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Whether it takes new work.
    pub state: EndpointState,
    /// Requests that it runs at once.
    pub slots: u16,
    /// Requests that run or wait at the agent now.
    pub outstanding: u16,
}

/// The endpoints behind one agent; replaces what the agent announced before.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointAnnouncement {
    /// Worker of the agent.
    pub worker: WorkerName,
    /// Data centre of the worker.
    pub data_centre: DataCentreName,
    /// Rack of the worker.
    pub rack: RackName,
    /// Address at which the agent takes requests.
    pub address: SocketAddr,
    /// Incarnation of the agent.
    pub incarnation: IncarnationId,
    /// Grows with each announcement of an incarnation; older ones are ignored.
    pub sequence: u64,
    /// How long the announcement holds from its arrival.
    pub expiry_ms: u32,
    /// All endpoints behind the agent.
    pub endpoints: Vec<EndpointStatus>,
}

/// An entry's answer to an announcement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnouncementReply {
    /// Incarnation of the entry.
    pub incarnation: IncarnationId,
}

impl RemoteCall for EndpointAnnouncement {
    type Reply = AnnouncementReply;

    const KIND: CallKind = CallKind::Announce;
}
