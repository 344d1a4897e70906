//! Announcements of endpoints to their agent, and headers of the requests they receive.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use guavavane_model::prelude::EndpointName;
use guavavane_model::prelude::EnvironmentName;
use guavavane_model::prelude::ServiceName;

/// Header with the id of a request's attempt; the endpoint's answer must repeat it.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// Header with the time until the caller's deadline, in ms.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";

/// Whether an endpoint accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EndpointReadiness {
    /// The endpoint accepts new requests.
    Ready,
    /// The endpoint finishes its requests and then exits.
    Leaving,
}

/// Announcement of an endpoint to its agent; the endpoint repeats it well before `expiry_ms` has
/// passed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointNotice {
    /// Name of the endpoint; unique in the cell.
    pub endpoint: EndpointName,
    /// Environment of the service.
    pub environment: EnvironmentName,
    /// Service that the endpoint belongs to.
    pub service: ServiceName,
    /// Address at which the endpoint accepts requests.
    pub address: SocketAddr,
    /// Maximum number of requests that the endpoint runs at the same time.
    pub slots: u16,
    /// Maximum number of connections that the endpoint accepts; the agent holds at most that many
    /// requests for it, running and queued ones together.
    pub connections: u16,
    /// Whether the endpoint accepts new requests.
    pub state: EndpointReadiness,
    /// How long the announcement is valid after its arrival, in ms.
    pub expiry_ms: u32,
}
