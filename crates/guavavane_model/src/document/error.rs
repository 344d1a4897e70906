//! Defines the validation errors of a document.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// One validation error of a document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentFault {
    /// Line in the text, from one; zero if the error has no position in the text.
    pub line: usize,
    /// Dotted path of the field, such as `service.demand`.
    pub field: String,
    /// What is wrong and what is allowed, as text.
    pub reason: String,
}

impl fmt::Display for DocumentFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "line {}: {}: {}",
            self.line, self.field, self.reason
        )
    }
}

/// All validation errors of a document, in line order.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("document has {} errors; the first is at {}", .0.len(), .0.first().map(ToString::to_string).unwrap_or_default())]
pub struct DocumentFaults(pub Vec<DocumentFault>);
