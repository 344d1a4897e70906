//! Defines the announcements by which agents tell entries about their endpoints.
//!
//! Each announcement lists all endpoints behind an agent and expires if no other one follows.

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

/// Whether an endpoint accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum EndpointState {
    /// The endpoint accepts new requests.
    Ready,
    /// The endpoint is draining: it completes its requests and accepts no new ones.
    Leaving,
}

/// State of one endpoint as its agent sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointStatus {
    /// Name of the endpoint, unique in the cell.
    pub name: EndpointName,
    /// Environment of the service.
    pub environment: EnvironmentName,
    /// Service of the endpoint.
    pub service: ServiceName,
    /// Whether the endpoint accepts new requests.
    pub state: EndpointState,
    /// Maximum number of requests that the endpoint runs concurrently.
    pub slots: u16,
    /// Number of requests that run on the endpoint or are queued for it at the agent.
    pub outstanding: u16,
}

/// All endpoints behind one agent; replaces the earlier announcements of the agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointAnnouncement {
    /// Worker of the agent.
    pub worker: WorkerName,
    /// Data centre of the worker.
    pub data_centre: DataCentreName,
    /// Rack of the worker.
    pub rack: RackName,
    /// Address on which the agent accepts requests.
    pub address: SocketAddr,
    /// Incarnation of the agent.
    pub incarnation: IncarnationId,
    /// Sequence number within the incarnation; an announcement with a lower one is ignored.
    pub sequence: u64,
    /// Validity of the announcement, from its arrival at the entry, in milliseconds.
    pub expiry_ms: u32,
    /// All endpoints behind the agent.
    pub endpoints: Vec<EndpointStatus>,
}

/// Reply of an entry to an announcement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnouncementReply {
    /// Incarnation of the entry.
    pub incarnation: IncarnationId,
}

impl RemoteCall for EndpointAnnouncement {
    type Reply = AnnouncementReply;

    const KIND: CallKind = CallKind::Announce;
}
