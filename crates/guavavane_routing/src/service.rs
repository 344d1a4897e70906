//! Key of a service across environments.

use std::fmt;

use guavavane_model::prelude::EnvironmentName;
use guavavane_model::prelude::ServiceName;

/// A service in one environment. Services of different environments may have the same name.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ServiceKey {
    /// Environment that defines the service.
    pub environment: EnvironmentName,
    /// Name of the service within the environment.
    pub service: ServiceName,
}

impl fmt::Display for ServiceKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.environment, self.service)
    }
}
