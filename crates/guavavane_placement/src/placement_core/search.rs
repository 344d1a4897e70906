//! Finds a few workers with room, without a look at the others.

use std::ops::ControlFlow;

use rand::Rng;

use super::PlacementCore;
use crate::capacity_grid::GridSearch;
use crate::capacity_grid::SearchOrder;
use crate::capacity_grid::SearchZone;
use crate::index::DataCentreIndex;
use crate::index::ShapeIndex;
use crate::index::WorkerIndex;
use crate::record::TaskClass;
use crate::shape::ShapeKey;
use guavavane_model::prelude::ResourceVector;

/// Workers that a search in doubtful cells may look at for each candidate it is to find.
const PROBES_PER_CANDIDATE: usize = 4;

/// Fewest candidates that are taken from one data centre.
const CENTRE_CANDIDATES_MIN: usize = 2;

/// Which index a search goes through.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SearchIndex {
    /// Room that is free.
    Free,
    /// Room that would be free if all preemptable tasks left.
    Preemptable,
}

/// What is searched for.
#[derive(Clone, Copy, Debug)]
pub(super) struct WorkerSearch {
    pub(super) key: ShapeKey,
    pub(super) needed: ResourceVector,
    pub(super) index: SearchIndex,
    pub(super) limit: usize,
}

impl PlacementCore {
    /// Workers that have the room, at most a few from each data centre.
    pub(super) fn find_workers(
        &mut self,
        shape: ShapeIndex,
        search: &WorkerSearch,
    ) -> Vec<WorkerIndex> {
        let rotation = self.rng.random_range(0..usize::MAX / 2);
        let centres = search.key.centres.iter();
        let centres: Vec<DataCentreIndex> = centres
            .filter(|centre| self.centres.get(*centre).accepts())
            .collect();
        if centres.is_empty() {
            return Vec::new();
        }
        let share = (search.limit / centres.len()).max(CENTRE_CANDIDATES_MIN);
        let mut found = Vec::with_capacity(share * centres.len());
        for centre in &centres {
            self.sample_centre(*centre, search, share, rotation, &mut found);
        }
        if found.is_empty() {
            self.scan_doubtful(shape, &centres, search, &mut found);
        }
        found
    }

    fn sample_centre(
        &self,
        centre: DataCentreIndex,
        search: &WorkerSearch,
        share: usize,
        rotation: usize,
        found: &mut Vec<WorkerIndex>,
    ) {
        let wanted = found.len() + share;
        let order = match search.key.class {
            TaskClass::LatencyCritical => SearchOrder::Loosest,
            TaskClass::Batch => SearchOrder::Tightest,
        };
        let possible = GridSearch {
            centre,
            demand: search.needed,
            order,
            zone: SearchZone::Possible,
            rotation,
            skip: 0,
        };
        self.collect(
            possible,
            search,
            share * PROBES_PER_CANDIDATE,
            wanted,
            found,
        );
        if found.len() < wanted {
            let certain = GridSearch {
                zone: SearchZone::Certain,
                ..possible
            };
            self.collect(certain, search, share, wanted, found);
        }
    }

    /// Goes on through the cells that may fit from where the last search ended, so that the
    /// only worker with room is found after a bounded number of tries.
    fn scan_doubtful(
        &mut self,
        shape: ShapeIndex,
        centres: &[DataCentreIndex],
        search: &WorkerSearch,
        found: &mut Vec<WorkerIndex>,
    ) {
        let probes = self.settings.boundary_probes;
        let skip = self.shapes.get(shape).cursor;
        let mut probed_most = 0;
        for centre in centres {
            let possible = GridSearch {
                centre: *centre,
                demand: search.needed,
                order: SearchOrder::Tightest,
                zone: SearchZone::Possible,
                rotation: 0,
                skip,
            };
            let probed = self.collect(possible, search, probes, found.len() + 1, found);
            probed_most = probed_most.max(probed);
        }
        let entry = self.shapes.get_mut(shape);
        entry.cursor = match probed_most < probes {
            true => 0,
            false => skip + probes,
        };
    }

    /// Adds workers that fit, up to `wanted` in all, and returns how many were looked at.
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
            SearchIndex::Preemptable => &self.workers.room_grid,
        };
        index.visit(grid, |worker| {
            probed += 1;
            let slot = self.workers.get(worker);
            let room = match search.index {
                SearchIndex::Free => slot.free(),
                SearchIndex::Preemptable => slot.room(),
            };
            if search.needed.fits_within(&room) && !found.contains(&worker) {
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
