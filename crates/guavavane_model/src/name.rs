//! Defines validated names, stored as shared immutable strings.
//!
//! A name has 1 to 63 characters from `a-z`, `0-9` and `-`, and starts and ends with a letter or
//! a digit, so that it needs no escaping in logs, metrics and addresses.

use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// Longest name, in bytes.
pub const NAME_MAX_BYTES: usize = 63;

/// Why a string is not a valid name.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum NameError {
    /// The string is empty or longer than [`NAME_MAX_BYTES`].
    #[error("{text:?} has {length} bytes; a name has 1 to {NAME_MAX_BYTES}")]
    Length {
        /// Rejected text, cut to [`NAME_MAX_BYTES`] characters.
        text: String,
        /// Length of the rejected text, in bytes.
        length: usize,
    },
    /// The string has a character that is not allowed, or starts or ends with `-`.
    #[error("{text:?} is not a valid name: only a-z, 0-9 and inner '-' are allowed")]
    Character {
        /// Rejected text.
        text: String,
    },
}

fn validate_name(text: &str) -> Result<(), NameError> {
    if text.is_empty() || text.len() > NAME_MAX_BYTES {
        return Err(NameError::Length {
            text: text.chars().take(NAME_MAX_BYTES).collect(),
            length: text.len(),
        });
    }
    let is_allowed = |c: u8| c.is_ascii_lowercase() || c.is_ascii_digit() || c == b'-';
    let is_not_hyphen = |c: Option<&u8>| c.is_some_and(|c| *c != b'-');
    let bytes = text.as_bytes();
    if !bytes.iter().copied().all(is_allowed)
        || !is_not_hyphen(bytes.first())
        || !is_not_hyphen(bytes.last())
    {
        return Err(NameError::Character {
            text: text.to_owned(),
        });
    }
    Ok(())
}

macro_rules! define_names {
    ($($(#[$meta:meta])* $name:ident;)*) => {$(
        $(#[$meta])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<&str> for $name {
            type Error = NameError;

            fn try_from(text: &str) -> Result<Self, NameError> {
                validate_name(text)?;
                Ok(Self(Arc::from(text)))
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(text: String) -> Result<Self, NameError> {
                Self::try_from(text.as_str())
            }
        }

        impl std::str::FromStr for $name {
            type Err = NameError;

            fn from_str(text: &str) -> Result<Self, NameError> {
                Self::try_from(text)
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0.as_ref().to_owned()
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(formatter, "{}({})", stringify!($name), self.0)
            }
        }
    )*};
}

define_names! {
    /// Name of an environment, such as `trial` or `production`.
    EnvironmentName;
    /// Name of a region, a group of data centres.
    RegionName;
    /// Name of a data centre.
    DataCentreName;
    /// Name of a rack.
    RackName;
    /// Name of a worker, a VM that runs tasks.
    WorkerName;
    /// Name of a team, to which services and batches are charged.
    TeamName;
    /// Name of a service.
    ServiceName;
    /// Name of a declared batch.
    BatchName;
    /// Name of an endpoint of a service.
    EndpointName;
}
