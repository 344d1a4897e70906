//! The faults, losses and final faults to pair, as the catalogue file lists them.

use std::sync::Arc;

use serde::Deserialize;
use thiserror::Error;
use toml::Table;

/// Faults, losses and final faults, by group.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultCatalogue {
    /// Their order is that of the days.
    pub groups: Vec<FaultGroup>,
}

/// Faults that are all paired with the same losses.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultGroup {
    /// First part of the days' names.
    pub name: Arc<str>,
    /// Share of each class of requests.
    pub mix: Table,
    /// Faults to pair with each loss.
    pub passing: Vec<PassingFault>,
    /// Losses to pair with each fault.
    pub losses: Vec<BorneLoss>,
    /// Used by the pairs in turn; every other pair ends without one.
    pub closings: Vec<Table>,
}

/// A fault that ends by itself.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PassingFault {
    /// Second part of the days' names.
    pub name: Arc<str>,
    /// Seconds until the fault has passed.
    pub for_s: f64,
    /// Planned work that makes up the fault.
    #[serde(default)]
    pub plan: Vec<Table>,
    /// Unplanned disruptions that make up the fault.
    #[serde(default)]
    pub faults: Vec<Table>,
}

/// A loss within the fault budget.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BorneLoss {
    /// Last part of the days' names.
    pub name: Arc<str>,
    /// Disruptions that make up the loss; a quiet time has none.
    #[serde(default)]
    pub faults: Vec<Table>,
}

/// Why a catalogue is refused.
#[derive(Debug, Error)]
pub enum CatalogueError {
    /// Not TOML, or a field is missing or unknown.
    #[error("the catalogue cannot be read")]
    Syntax(#[from] toml::de::Error),
    /// One file would overwrite the other.
    #[error("two pairs would be named {0}")]
    DuplicateName(Arc<str>),
    /// It would be played as a day without the fault.
    #[error("fault {0} has no entry")]
    EmptyFault(Arc<str>),
    /// The loss would come after the end of the day.
    #[error("fault {0} lasts too long for a loss after it")]
    TooLong(Arc<str>),
}

impl FaultCatalogue {
    /// Reads a catalogue.
    pub fn parse(text: &str) -> Result<Self, CatalogueError> {
        let catalogue: Self = toml::from_str(text)?;
        for fault in catalogue.groups.iter().flat_map(|group| &group.passing) {
            fault.check()?;
        }
        Ok(catalogue)
    }
}

impl PassingFault {
    /// Longest fault that leaves time for a loss and the recovery from it, in seconds.
    const LONGEST_S: f64 = 8.0;

    fn check(&self) -> Result<(), CatalogueError> {
        if self.plan.is_empty() && self.faults.is_empty() {
            return Err(CatalogueError::EmptyFault(self.name.clone()));
        }
        if self.for_s > Self::LONGEST_S {
            return Err(CatalogueError::TooLong(self.name.clone()));
        }
        Ok(())
    }
}
