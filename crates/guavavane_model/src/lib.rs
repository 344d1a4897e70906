//! Defines the validated domain types that all crates share: names, identities, resources, time
//! and environment documents.
//!
//! Input is validated when it is converted to one of these types, by `TryFrom` or
//! [`document::EnvironmentDocument::parse`]; a value of such a type is always valid. Names are
//! shared immutable strings, and amounts are integers. Decision code takes the current time as a
//! [`time::BootTime`] argument, which keeps it free of I/O.

pub mod document;
pub mod identity;
pub mod name;
pub mod resource;
pub mod time;

/// Commonly used items of this crate.
pub mod prelude {
    pub use crate::document::BatchSpec;
    pub use crate::document::DocumentFault;
    pub use crate::document::DocumentFaults;
    pub use crate::document::EnvironmentDocument;
    pub use crate::document::ServiceSpec;
    pub use crate::identity::AttemptNumber;
    pub use crate::identity::BootId;
    pub use crate::identity::CellId;
    pub use crate::identity::DocumentVersion;
    pub use crate::identity::FenceNumber;
    pub use crate::identity::IncarnationId;
    pub use crate::identity::JobId;
    pub use crate::identity::RequestId;
    pub use crate::identity::TaskId;
    pub use crate::name::BatchName;
    pub use crate::name::DataCentreName;
    pub use crate::name::EndpointName;
    pub use crate::name::EnvironmentName;
    pub use crate::name::NameError;
    pub use crate::name::RackName;
    pub use crate::name::RegionName;
    pub use crate::name::ServiceName;
    pub use crate::name::TeamName;
    pub use crate::name::WorkerName;
    pub use crate::resource::ResourceVector;
    pub use crate::time::BootClock;
    pub use crate::time::BootTime;
}
