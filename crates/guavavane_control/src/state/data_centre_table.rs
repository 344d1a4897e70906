//! Records which data centres operators have taken out of service.

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use guavavane_model::prelude::DataCentreName;
use guavavane_protocol::poll::DataCentreStatus;

/// Maximum number of data centres that are kept.
const DATA_CENTRES_MAX: usize = 1_024;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct DataCentreRecord {
    is_out: bool,
    version: u64,
}

/// Outcome of a change of a data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DataCentreChange {
    /// The state of the data centre changed.
    Changed(DataCentreStatus),
    /// The data centre was in the requested state already, through this or another command.
    Unchanged(DataCentreStatus),
    /// The data centre does not have the version that the command replaces.
    Conflict(DataCentreStatus),
    /// The maximum number of data centres is reached.
    Full,
}

/// Data centres with their versions; a data centre without a record is in service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DataCentreTable {
    records: IndexMap<DataCentreName, DataCentreRecord>,
}

impl DataCentreTable {
    /// Whether the data centre is out of service.
    pub fn is_out(&self, name: &DataCentreName) -> bool {
        self.records.get(name).is_some_and(|record| record.is_out)
    }

    /// State and version of a data centre; version 0 if it was never changed.
    pub fn status(&self, name: &DataCentreName) -> DataCentreStatus {
        let record = self.records.get(name).copied().unwrap_or_default();
        DataCentreStatus {
            name: name.clone(),
            out: record.is_out,
            version: record.version,
        }
    }

    /// States and versions of all data centres that were ever changed.
    pub fn statuses(&self) -> Vec<DataCentreStatus> {
        self.records.keys().map(|name| self.status(name)).collect()
    }

    /// Takes a data centre out of service or brings it back.
    ///
    /// With `replaces` the change is a compare-and-swap of that version. A repeated command is not
    /// refused while the data centre is still in the requested state.
    pub fn set(
        &mut self,
        name: &DataCentreName,
        out: bool,
        replaces: Option<u64>,
    ) -> DataCentreChange {
        let current = self.status(name);
        if current.out == out {
            let is_repeated = replaces.is_none_or(|version| version <= current.version);
            return if is_repeated {
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
        record.is_out = out;
        record.version += 1;
        DataCentreChange::Changed(self.status(name))
    }
}
