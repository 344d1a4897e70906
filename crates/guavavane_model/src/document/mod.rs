//! Parses and validates the document of an environment: its data centres, teams, services and
//! batches.
//!
//! The document is TOML. [`EnvironmentDocument::parse`] validates all of it and reports every
//! error at once, each with its line and field. In a valid [`EnvironmentDocument`], all
//! references resolve and all amounts are within their limits. The text does not name its
//! environment, so that the same bytes can be promoted from one environment to the next.
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
mod error;
mod raw;
mod spec;

use xxhash_rust::xxh3::xxh3_64;

pub use self::error::DocumentFault;
pub use self::error::DocumentFaults;
pub use self::spec::BatchSpec;
pub use self::spec::DataCentreSpec;
pub use self::spec::EnvironmentDocument;
pub use self::spec::RouteRule;
pub use self::spec::ServiceSpec;
pub use self::spec::TeamSpec;

/// Largest text of a document, in bytes.
pub const DOCUMENT_MAX_BYTES: usize = 1024 * 1024;

/// Returns the XXH3 digest of a document text, by which a resend of the same text is recognised.
pub fn document_digest(text: &str) -> u64 {
    xxh3_64(text.as_bytes())
}
