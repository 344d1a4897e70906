//! Defines dense indexes that stand for names inside the policy, and the tables that intern
//! names.

use std::hash::Hash;
use std::marker::PhantomData;

use indexmap::IndexSet;

/// Typed index into a vector.
pub(crate) trait DenseIndex: Copy {
    /// Creates the index of a position; panics if the index type is too small.
    fn from_position(position: usize) -> Self;
    /// Position in the vector.
    fn position(self) -> usize;
}

macro_rules! define_indexes {
    ($($(#[$meta:meta])* $name:ident($inner:ty);)*) => {$(
        $(#[$meta])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub(crate) struct $name($inner);

        impl DenseIndex for $name {
            fn from_position(position: usize) -> Self {
                let inner = <$inner>::try_from(position);
                Self(inner.expect("more names than the index type can number"))
            }

            fn position(self) -> usize {
                self.0 as usize
            }
        }
    )*};
}

define_indexes! {
    /// Index of a worker.
    WorkerIndex(u32);
    /// Index of a data centre, below [`DataCentreSet::LIMIT`].
    DataCentreIndex(u8);
    /// Index of a rack; racks of different data centres have different indexes.
    RackIndex(u32);
    /// Index of a team.
    TeamIndex(u16);
    /// Index of a workload together with its class.
    KindIndex(u32);
    /// Index of a shape.
    ShapeIndex(u32);
}

/// Interns names; a name is never removed and keeps its index.
#[derive(Debug)]
pub(crate) struct NameTable<N, I> {
    names: IndexSet<N>,
    index: PhantomData<I>,
}

impl<N: Hash + Eq + Clone, I: DenseIndex> NameTable<N, I> {
    pub(crate) fn new() -> Self {
        Self {
            names: IndexSet::new(),
            index: PhantomData,
        }
    }

    /// Returns the index of a name, and adds the name if it is new.
    pub(crate) fn intern(&mut self, name: &N) -> I {
        let position = match self.names.get_index_of(name) {
            Some(position) => position,
            None => self.names.insert_full(name.clone()).0,
        };
        I::from_position(position)
    }

    /// Whether a name has an index.
    pub(crate) fn contains(&self, name: &N) -> bool {
        self.names.contains(name)
    }
}

/// A set of data centres, as a bitmap in one word.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct DataCentreSet(u64);

impl DataCentreSet {
    /// Maximum number of data centres of a cell: the bits of a word.
    pub(crate) const LIMIT: usize = 64;

    pub(crate) fn insert(&mut self, data_centre: DataCentreIndex) {
        self.0 |= 1 << data_centre.position();
    }

    pub(crate) fn contains(self, data_centre: DataCentreIndex) -> bool {
        self.0 & (1 << data_centre.position()) != 0
    }

    pub(crate) fn iter(self) -> impl Iterator<Item = DataCentreIndex> {
        (0..Self::LIMIT)
            .map(DataCentreIndex::from_position)
            .filter(move |data_centre| self.contains(*data_centre))
    }
}
