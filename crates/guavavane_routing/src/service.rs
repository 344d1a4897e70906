//! Names of services across environments.

use std::fmt;

use guavavane_model::prelude::EnvironmentName;
use guavavane_model::prelude::ServiceName;

/// A service of an environment.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ServiceKey {
    /// The environment.
    pub environment: EnvironmentName,
    /// The service.
    pub service: ServiceName,
}

impl fmt::Display for ServiceKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.environment, self.service)
    }
}
