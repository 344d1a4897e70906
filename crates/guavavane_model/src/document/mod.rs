//! The document of an environment: its data centres, teams, services and batch work.
//!
//! The text is TOML. [`EnvironmentDocument::parse`] checks it whole and reports all faults at
//! once, each with its line and field. The text does not name its environment, so that the same
//! bytes can be promoted from one environment to the next. A value of [`EnvironmentDocument`] has only references
//! that resolve and amounts within their limits.
//!
//! ```
//! use guavavane_model::document::EnvironmentDocument;
//!
//! let text = r#"
//! data_centre = [{ name = "jyl-aarhus", region = "dk-jylland" }]
//! team = [{ name = "rota" }]
//!
//! [[service]]
//! name = "rota-api"
//! team = "rota"
//! instances = 2
//! demand = { cpu_millis = 4000, memory_mib = 8192 }
//! "#;
//! let document = EnvironmentDocument::parse(text).expect("the document is valid");
//! assert_eq!(document.services.len(), 1);
//! ```

mod check;
mod fault;
mod raw;
mod spec;

use xxhash_rust::xxh3::xxh3_64;

pub use self::fault::DocumentFault;
pub use self::fault::DocumentFaults;
pub use self::spec::BatchSpec;
pub use self::spec::DataCentreSpec;
pub use self::spec::EnvironmentDocument;
pub use self::spec::RouteRule;
pub use self::spec::ServiceSpec;
pub use self::spec::TeamSpec;

/// Largest document, in bytes.
pub const DOCUMENT_MAX_BYTES: usize = 1024 * 1024;

/// Digest by which a resend of a document is recognised.
pub fn document_digest(text: &str) -> u64 {
    xxh3_64(text.as_bytes())
}
