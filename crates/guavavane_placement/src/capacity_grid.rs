//! Indexes the workers of each data centre by free capacity.
//!
//! The index is a grid with a row for each level of free processors and a column for each level
//! of free memory, in one layer for each level of free accelerators. Levels are logarithmic,
//! four to an octave, and a worker is in the cell of its capacity rounded down. Bitmaps mark the
//! rows and columns that hold workers, so that a search skips empty cells. A worker fits if its
//! levels are above those of the demand; if a level is equal (a boundary cell), the worker must
//! be checked.

use std::ops::ControlFlow;

use crate::index::DataCentreIndex;
use crate::index::DenseIndex;
use crate::index::WorkerIndex;
use guavavane_model::prelude::ResourceVector;

/// Number of levels of processors, and of memory: a bitmap of them is one word.
const LEVELS: usize = 64;
/// Number of levels of accelerators: none, one, two or three, and more.
const ACCELERATOR_LEVELS: usize = 4;
/// Processors of one unit before rounding to a level.
const CPU_UNIT_MILLIS: u64 = 50;
/// Memory of one unit before rounding to a level.
const MEMORY_UNIT_MIB: u64 = 64;

/// Order in which a search visits the cells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SearchOrder {
    /// Least free capacity first.
    LeastFree,
    /// Most free capacity first.
    MostFree,
}

/// Cells that a search visits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CellFilter {
    /// Every cell that may hold a worker that fits, boundary cells included.
    MayFit,
    /// Only cells above the levels of the demand, whose workers all fit.
    AlwaysFits,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct GridCell {
    layer: usize,
    row: usize,
    column: usize,
}

impl GridCell {
    fn of(free: &ResourceVector) -> Self {
        Self {
            layer: layer_of(free.accelerators),
            row: level_of(free.cpu_millis / CPU_UNIT_MILLIS),
            column: level_of(free.memory_mib / MEMORY_UNIT_MIB),
        }
    }

    fn cell_index(self) -> usize {
        self.row * LEVELS + self.column
    }
}

/// Level of a value, four to an octave; values of 2^17 and more share the last level.
fn level_of(value: u64) -> usize {
    if value < 4 {
        return value as usize;
    }
    let exponent = value.ilog2() as usize;
    let step = (value >> (exponent - 2)) as usize & 3;
    ((exponent - 1) * 4 + step).min(LEVELS - 1)
}

fn layer_of(accelerators: u64) -> usize {
    match accelerators {
        0 => 0,
        1 => 1,
        2 | 3 => 2,
        _ => 3,
    }
}

/// Bits of a level and all higher ones.
fn levels_from(level: usize) -> u64 {
    u64::MAX.checked_shl(level as u32).unwrap_or(0)
}

#[derive(Debug, Default)]
struct GridLayer {
    rows: u64,
    columns: Vec<u64>,
    cells: Vec<Vec<WorkerIndex>>,
}

impl GridLayer {
    fn allocate(&mut self) {
        if self.cells.is_empty() {
            self.columns = vec![0; LEVELS];
            self.cells.resize_with(LEVELS * LEVELS, Vec::new);
        }
    }

    fn update_bits(&mut self, cell: GridCell) {
        let occupied = !self.cells[cell.cell_index()].is_empty();
        let column = 1 << cell.column;
        if occupied {
            self.columns[cell.row] |= column;
        } else {
            self.columns[cell.row] &= !column;
        }
        if self.columns[cell.row] == 0 {
            self.rows &= !(1 << cell.row);
        } else {
            self.rows |= 1 << cell.row;
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct GridPosition {
    data_centre: DataCentreIndex,
    cell: GridCell,
    offset: usize,
}

/// Search for workers whose free capacity may fit a demand.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GridSearch {
    pub(crate) data_centre: DataCentreIndex,
    pub(crate) demand: ResourceVector,
    pub(crate) order: SearchOrder,
    pub(crate) filter: CellFilter,
    /// Offset of the first worker in each cell, modulo the size of the cell.
    pub(crate) rotation: usize,
    /// Workers to skip; whole cells are skipped without visiting their workers.
    pub(crate) skip: usize,
}

/// Grids of all data centres, with the position of each worker.
#[derive(Debug, Default)]
pub(crate) struct CapacityGrid {
    data_centres: Vec<[GridLayer; ACCELERATOR_LEVELS]>,
    positions: Vec<Option<GridPosition>>,
}

impl CapacityGrid {
    /// Adds a worker to the cell of its free capacity, or moves it there.
    pub(crate) fn insert(
        &mut self,
        worker: WorkerIndex,
        data_centre: DataCentreIndex,
        free: &ResourceVector,
    ) {
        let cell = GridCell::of(free);
        if let Some(Some(position)) = self.positions.get(worker.position()) {
            if position.data_centre == data_centre && position.cell == cell {
                return;
            }
        }
        self.remove(worker);
        self.data_centres.resize_with(
            self.data_centres.len().max(data_centre.position() + 1),
            Default::default,
        );
        let layer = &mut self.data_centres[data_centre.position()][cell.layer];
        layer.allocate();
        let workers = &mut layer.cells[cell.cell_index()];
        let offset = workers.len();
        workers.push(worker);
        layer.update_bits(cell);
        let length = self.positions.len().max(worker.position() + 1);
        self.positions.resize(length, None);
        self.positions[worker.position()] = Some(GridPosition {
            data_centre,
            cell,
            offset,
        });
    }

    /// Removes a worker, so that no search finds it.
    pub(crate) fn remove(&mut self, worker: WorkerIndex) {
        let position = self.positions.get_mut(worker.position());
        let Some(position) = position.and_then(Option::take) else {
            return;
        };
        let layer = &mut self.data_centres[position.data_centre.position()][position.cell.layer];
        let workers = &mut layer.cells[position.cell.cell_index()];
        workers.swap_remove(position.offset);
        if let Some(moved) = workers.get(position.offset) {
            let moved = self.positions[moved.position()].as_mut();
            moved.expect("a worker in a cell has a position").offset = position.offset;
        }
        layer.update_bits(position.cell);
    }

    /// Calls `visitor` for each worker of the search until it returns `Break`.
    pub(crate) fn visit<F>(&self, search: GridSearch, mut visitor: F)
    where
        F: FnMut(WorkerIndex) -> ControlFlow<()>,
    {
        let Some(layers) = self.data_centres.get(search.data_centre.position()) else {
            return;
        };
        let lowest = GridCell::of(&search.demand);
        let levels_above = usize::from(search.filter == CellFilter::AlwaysFits);
        // In the layers of none and of one accelerator the number is exact, so it always fits.
        let exact_layer = search.demand.accelerators <= 1;
        let first_layer = lowest.layer + if exact_layer { 0 } else { levels_above };
        let mut skip = search.skip;
        for layer in layers.iter().skip(first_layer) {
            let rows = layer.rows & levels_from(lowest.row + levels_above);
            for row in SetBits::new(rows, search.order) {
                let columns = layer.columns[row] & levels_from(lowest.column + levels_above);
                for column in SetBits::new(columns, search.order) {
                    let workers = &layer.cells[row * LEVELS + column];
                    if skip >= workers.len() {
                        skip -= workers.len();
                        continue;
                    }
                    let count = workers.len() - skip;
                    for step in 0..count {
                        let offset = (search.rotation + skip + step) % workers.len();
                        if visitor(workers[offset]).is_break() {
                            return;
                        }
                    }
                    skip = 0;
                }
            }
        }
    }
}

/// Iterates over the set bits of a word, from the lowest or from the highest.
struct SetBits {
    bits: u64,
    order: SearchOrder,
}

impl SetBits {
    fn new(bits: u64, order: SearchOrder) -> Self {
        Self { bits, order }
    }
}

impl Iterator for SetBits {
    type Item = usize;

    fn next(&mut self) -> Option<usize> {
        if self.bits == 0 {
            return None;
        }
        let level = match self.order {
            SearchOrder::LeastFree => self.bits.trailing_zeros(),
            SearchOrder::MostFree => 63 - self.bits.leading_zeros(),
        };
        self.bits &= !(1 << level);
        Some(level as usize)
    }
}
