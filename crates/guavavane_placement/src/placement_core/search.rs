//! Samples workers with enough capacity from the capacity indexes.

use std::ops::ControlFlow;

use rand::Rng;

use super::PlacementCore;
use crate::capacity_grid::CellFilter;
use crate::capacity_grid::GridSearch;
use crate::capacity_grid::SearchOrder;
use crate::index::DataCentreIndex;
use crate::index::ShapeIndex;
use crate::index::WorkerIndex;
use crate::record::TaskClass;
use crate::shape::ShapeKey;
use guavavane_model::prelude::ResourceVector;

/// Workers that a search in boundary cells may check for each candidate that it needs.
const PROBES_PER_CANDIDATE: usize = 4;

/// Minimum number of candidates to ask of each data centre.
const DATA_CENTRE_CANDIDATES_MIN: usize = 2;

/// Capacity index that a search uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SearchIndex {
    /// Workers by free capacity.
    Free,
    /// Workers by the capacity that is free once all preemptable tasks have left.
    Preemptable,
}

/// Requirements of a search for candidates.
#[derive(Clone, Copy, Debug)]
pub(super) struct WorkerSearch {
    pub(super) key: ShapeKey,
    pub(super) needed: ResourceVector,
    pub(super) index: SearchIndex,
    pub(super) limit: usize,
}

impl PlacementCore {
    /// Finds workers that fit, with `limit` spread evenly over the allowed data centres.
    pub(super) fn find_workers(
        &mut self,
        shape: ShapeIndex,
        search: &WorkerSearch,
    ) -> Vec<WorkerIndex> {
        let rotation = self.rng.random_range(0..usize::MAX / 2);
        let data_centres = search.key.data_centres.iter();
        let data_centres: Vec<DataCentreIndex> = data_centres
            .filter(|data_centre| self.data_centres.get(*data_centre).accepts_placements())
            .collect();
        if data_centres.is_empty() {
            return Vec::new();
        }
        let per_data_centre = (search.limit / data_centres.len()).max(DATA_CENTRE_CANDIDATES_MIN);
        let mut found = Vec::with_capacity(per_data_centre * data_centres.len());
        for data_centre in &data_centres {
            self.sample_data_centre(*data_centre, search, per_data_centre, rotation, &mut found);
        }
        if found.is_empty() {
            self.scan_boundary_cells(shape, &data_centres, search, &mut found);
        }
        found
    }

    fn sample_data_centre(
        &self,
        data_centre: DataCentreIndex,
        search: &WorkerSearch,
        per_data_centre: usize,
        rotation: usize,
        found: &mut Vec<WorkerIndex>,
    ) {
        let wanted = found.len() + per_data_centre;
        let order = match search.key.class {
            TaskClass::LatencyCritical => SearchOrder::MostFree,
            TaskClass::Batch => SearchOrder::LeastFree,
        };
        let may_fit = GridSearch {
            data_centre,
            demand: search.needed,
            order,
            filter: CellFilter::MayFit,
            rotation,
            skip: 0,
        };
        self.collect(
            may_fit,
            search,
            per_data_centre * PROBES_PER_CANDIDATE,
            wanted,
            found,
        );
        if found.len() < wanted {
            let always_fits = GridSearch {
                filter: CellFilter::AlwaysFits,
                ..may_fit
            };
            self.collect(always_fits, search, per_data_centre, wanted, found);
        }
    }

    /// Checks the next cells that may fit, from where the last search of the shape ended. A
    /// single worker that fits is thereby found in a bounded number of passes.
    fn scan_boundary_cells(
        &mut self,
        shape: ShapeIndex,
        data_centres: &[DataCentreIndex],
        search: &WorkerSearch,
        found: &mut Vec<WorkerIndex>,
    ) {
        let probes = self.settings.boundary_probes;
        let skip = self.shapes.get(shape).scan_offset;
        let mut probed_max = 0;
        for data_centre in data_centres {
            let may_fit = GridSearch {
                data_centre: *data_centre,
                demand: search.needed,
                order: SearchOrder::LeastFree,
                filter: CellFilter::MayFit,
                rotation: 0,
                skip,
            };
            let probed = self.collect(may_fit, search, probes, found.len() + 1, found);
            probed_max = probed_max.max(probed);
        }
        let entry = self.shapes.get_mut(shape);
        entry.scan_offset = match probed_max < probes {
            true => 0,
            false => skip + probes,
        };
    }

    /// Adds workers that fit until `found` has `wanted`; returns the number of workers checked.
    fn collect(
        &self,
        grid: GridSearch,
        search: &WorkerSearch,
        probes: usize,
        wanted: usize,
        found: &mut Vec<WorkerIndex>,
    ) -> usize {
        let mut probed = 0;
        let index = match search.index {
            SearchIndex::Free => &self.workers.free_grid,
            SearchIndex::Preemptable => &self.workers.preemption_grid,
        };
        index.visit(grid, |worker| {
            probed += 1;
            let slot = self.workers.get(worker);
            let available = match search.index {
                SearchIndex::Free => slot.free(),
                SearchIndex::Preemptable => slot.free_after_preemption(),
            };
            if search.needed.fits_within(&available) && !found.contains(&worker) {
                found.push(worker);
            }
            match probed >= probes || found.len() >= wanted {
                true => ControlFlow::Break(()),
                false => ControlFlow::Continue(()),
            }
        });
        probed
    }
}
