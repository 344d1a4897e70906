//! Faults of a document.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// One fault of a document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentFault {
    /// Line in the text, counted from one; zero if no line is to blame.
    pub line: usize,
    /// Field, as a dotted path.
    pub field: String,
    /// What is wrong and what is allowed.
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

/// All faults of a document, in the order of their lines.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{} faults, the first at {}", .0.len(), .0.first().map(ToString::to_string).unwrap_or_default())]
pub struct DocumentFaults(pub Vec<DocumentFault>);
