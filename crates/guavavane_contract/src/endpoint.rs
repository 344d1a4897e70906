//! What endpoints tell their agent.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use guavavane_model::prelude::EndpointName;
use guavavane_model::prelude::EnvironmentName;
use guavavane_model::prelude::ServiceName;

/// Header that names the attempt of a request; the endpoint's answer repeats its value.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// Header that tells the endpoint how long the caller still waits, in ms.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";

/// Whether the endpoint takes new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum NoticeState {
    /// It takes new requests.
    Ready,
    /// It ends what it has and then exits.
    Leaving,
}

/// An endpoint's announcement to its agent, repeated well within `expiry_ms`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointNotice {
    /// Name of the endpoint, unique in the cell.
    pub endpoint: EndpointName,
    /// Environment of the service.
    pub environment: EnvironmentName,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Address at which it takes requests.
    pub address: SocketAddr,
    /// Requests that it runs at once.
    pub slots: u16,
    /// Connections that it takes.
    pub connections: u16,
    /// Whether it takes new requests.
    pub state: NoticeState,
    /// How long the announcement holds from its arrival.
    pub expiry_ms: u32,
}
