//! Data centres that operators have taken out or brought back.

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use guavavane_model::prelude::DataCentreName;
use guavavane_protocol::poll::DataCentreStatus;

/// Most data centres that are kept.
const DATA_CENTRES_MAX: usize = 1_024;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct DataCentreRecord {
    out: bool,
    version: u64,
}

/// What a change of a data centre led to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DataCentreChange {
    /// The data centre changed.
    Changed(DataCentreStatus),
    /// It was in that state already, by this command or another.
    Unchanged(DataCentreStatus),
    /// Another change came first.
    Conflict(DataCentreStatus),
    /// Too many data centres are kept.
    Full,
}

/// States of the data centres; one that was never named is in service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DataCentreTable {
    records: IndexMap<DataCentreName, DataCentreRecord>,
}

impl DataCentreTable {
    /// Whether the data centre is out.
    pub fn is_out(&self, name: &DataCentreName) -> bool {
        self.records.get(name).is_some_and(|record| record.out)
    }

    /// State of a data centre.
    pub fn status(&self, name: &DataCentreName) -> DataCentreStatus {
        let record = self.records.get(name).copied().unwrap_or_default();
        DataCentreStatus {
            name: name.clone(),
            out: record.out,
            version: record.version,
        }
    }

    /// States of all that were ever changed.
    pub fn statuses(&self) -> Vec<DataCentreStatus> {
        self.records.keys().map(|name| self.status(name)).collect()
    }

    /// Takes a data centre out or brings it back.
    ///
    /// A command that names the version it replaces is refused once another state follows it.
    pub fn set(
        &mut self,
        name: &DataCentreName,
        out: bool,
        replaces: Option<u64>,
    ) -> DataCentreChange {
        let current = self.status(name);
        if current.out == out {
            let answered = replaces.is_none_or(|version| version <= current.version);
            return if answered {
                DataCentreChange::Unchanged(current)
            } else {
                DataCentreChange::Conflict(current)
            };
        }
        if replaces.is_some_and(|version| version != current.version) {
            return DataCentreChange::Conflict(current);
        }
        if !self.records.contains_key(name) && self.records.len() >= DATA_CENTRES_MAX {
            return DataCentreChange::Full;
        }
        let record = self.records.entry(name.clone()).or_default();
        record.out = out;
        record.version += 1;
        DataCentreChange::Changed(self.status(name))
    }
}
