//! Tracks the status, rate limits and worker capacities of data centres.
//!
//! Placements stop in a data centre that operators take out of service, and its tasks are
//! evicted at a limited rate. When it is back, the placement rate rises linearly over
//! `ramp_ms`; then placements are no longer limited.

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::index::DataCentreIndex;
use crate::index::DataCentreSet;
use crate::index::DenseIndex;
use crate::index::NameTable;
use crate::index::WorkerIndex;
use crate::settings::PlacementSettings;
use crate::token_bucket::TokenBucket;
use guavavane_model::prelude::BootTime;
use guavavane_model::prelude::DataCentreName;
use guavavane_model::prelude::ResourceVector;

/// Minimum burst of a rate limit, in tokens.
const BURST_TOKENS_MIN: u64 = 1;

/// Divisor of the rate that gives the burst: the tokens of a quarter of a second.
const BURSTS_PER_SECOND: u64 = 4;

/// Whether operators have a data centre in service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DataCentreStatus {
    /// In service.
    In,
    /// Back in service; the placement rate is rising.
    Ramping {
        /// Time at which the data centre was brought back.
        since: BootTime,
    },
    /// Out of service.
    Out,
}

/// State of a data centre.
#[derive(Debug)]
pub(crate) struct DataCentreEntry {
    pub(crate) status: DataCentreStatus,
    pub(crate) workers: IndexSet<WorkerIndex>,
    pub(crate) quarantined: u64,
    /// Position in `workers` at which the next pass continues the drain.
    pub(crate) next_drain_position: usize,
    pub(crate) drain_bucket: TokenBucket,
    ramp_bucket: TokenBucket,
    /// Distinct capacities of the present workers, with the number of workers of each.
    capacities: IndexMap<ResourceVector, u32>,
}

impl DataCentreEntry {
    fn new() -> Self {
        Self {
            status: DataCentreStatus::In,
            workers: IndexSet::new(),
            quarantined: 0,
            next_drain_position: 0,
            drain_bucket: TokenBucket::new(BootTime::default()),
            ramp_bucket: TokenBucket::new(BootTime::default()),
            capacities: IndexMap::new(),
        }
    }

    /// Whether the status and the ramp allow a placement now.
    pub(crate) fn accepts_placements(&self) -> bool {
        match self.status {
            DataCentreStatus::In => true,
            DataCentreStatus::Ramping { .. } => self.ramp_bucket.has_token(),
            DataCentreStatus::Out => false,
        }
    }

    pub(crate) fn is_out(&self) -> bool {
        self.status == DataCentreStatus::Out
    }

    /// Counts a placement against the rate of the ramp.
    pub(crate) fn take_ramp_token(&mut self) {
        if let DataCentreStatus::Ramping { .. } = self.status {
            self.ramp_bucket.try_take();
        }
    }

    /// Whether the cap allows the quarantine of one more worker; the last worker is never
    /// quarantined.
    pub(crate) fn can_quarantine(&self, settings: &PlacementSettings) -> bool {
        let workers = self.workers.len() as u64;
        let permitted = workers * settings.quarantine_cap_permille / 1_000;
        let limit = permitted.max(1).min(workers.saturating_sub(1));
        self.quarantined < limit
    }

    pub(crate) fn add_capacity(&mut self, capacity: ResourceVector) {
        *self.capacities.entry(capacity).or_default() += 1;
    }

    pub(crate) fn remove_capacity(&mut self, capacity: ResourceVector) {
        let Some(count) = self.capacities.get_mut(&capacity) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            self.capacities.swap_remove(&capacity);
        }
    }

    /// Distinct capacities of the present workers.
    pub(crate) fn capacities(&self) -> impl Iterator<Item = &ResourceVector> {
        self.capacities.keys()
    }

    fn refill(&mut self, now: BootTime, settings: &PlacementSettings) {
        match self.status {
            DataCentreStatus::In => {}
            DataCentreStatus::Ramping { since } => self.refill_ramp(now, since, settings),
            DataCentreStatus::Out => {
                let rate_milli = self.rate_milli(settings.drain_per_thousand);
                self.drain_bucket
                    .refill(now, rate_milli, burst_tokens(rate_milli));
            }
        }
    }

    fn refill_ramp(&mut self, now: BootTime, since: BootTime, settings: &PlacementSettings) {
        let elapsed_ms = now.as_millis().saturating_sub(since.as_millis());
        if elapsed_ms >= settings.ramp_ms {
            self.status = DataCentreStatus::In;
            return;
        }
        let start = settings.ramp_start_per_thousand;
        let rise = settings.ramp_end_per_thousand.saturating_sub(start);
        let rate = start + rise * elapsed_ms / settings.ramp_ms.max(1);
        let rate_milli = self.rate_milli(rate);
        self.ramp_bucket
            .refill(now, rate_milli, burst_tokens(rate_milli));
    }

    /// Converts a rate per thousand workers to thousandths of a token a second.
    fn rate_milli(&self, per_thousand: u64) -> u64 {
        (per_thousand * self.workers.len() as u64).max(1)
    }
}

fn burst_tokens(rate_milli: u64) -> u64 {
    (rate_milli / 1_000 / BURSTS_PER_SECOND).max(BURST_TOKENS_MIN)
}

/// All data centres.
#[derive(Debug)]
pub(crate) struct DataCentreTable {
    names: NameTable<DataCentreName, DataCentreIndex>,
    entries: Vec<DataCentreEntry>,
}

impl DataCentreTable {
    pub(crate) fn new() -> Self {
        Self {
            names: NameTable::new(),
            entries: Vec::new(),
        }
    }

    /// Finds or adds a data centre; returns `None` if the cell has the maximum number already.
    pub(crate) fn intern(&mut self, name: &DataCentreName) -> Option<DataCentreIndex> {
        if self.entries.len() == DataCentreSet::LIMIT && !self.names.contains(name) {
            return None;
        }
        let data_centre: DataCentreIndex = self.names.intern(name);
        if data_centre.position() == self.entries.len() {
            self.entries.push(DataCentreEntry::new());
        }
        Some(data_centre)
    }

    pub(crate) fn get(&self, data_centre: DataCentreIndex) -> &DataCentreEntry {
        &self.entries[data_centre.position()]
    }

    pub(crate) fn get_mut(&mut self, data_centre: DataCentreIndex) -> &mut DataCentreEntry {
        &mut self.entries[data_centre.position()]
    }

    /// Refills the token buckets up to `now`, and ends the ramps that have lasted `ramp_ms`.
    pub(crate) fn refill(&mut self, now: BootTime, settings: &PlacementSettings) {
        for entry in &mut self.entries {
            entry.refill(now, settings);
        }
    }

    /// Data centres that are out of service.
    pub(crate) fn out_of_service(&self) -> Vec<DataCentreIndex> {
        let entries = self.entries.iter().enumerate();
        entries
            .filter(|(_, entry)| entry.is_out())
            .map(|(position, _)| DataCentreIndex::from_position(position))
            .collect()
    }
}
