//! Dense numbers that stand for names inside the policy, and the tables that hand them out.

use std::hash::Hash;
use std::marker::PhantomData;

use indexmap::IndexSet;

/// A dense number made from a position.
pub(crate) trait DenseIndex: Copy {
    /// The number of a position.
    fn from_position(position: usize) -> Self;
    /// The position of this number.
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
    /// A worker.
    WorkerIndex(u32);
    /// A data centre; a set of them fits one word.
    DataCentreIndex(u8);
    /// A rack.
    RackIndex(u32);
    /// A team.
    TeamIndex(u16);
    /// A workload and its class.
    KindIndex(u32);
    /// A set of tasks that are alike to the policy.
    ShapeIndex(u32);
}

/// Hands out dense numbers for names; names are never forgotten.
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

    /// The number of a name, new if the name is.
    pub(crate) fn intern(&mut self, name: &N) -> I {
        let position = match self.names.get_index_of(name) {
            Some(position) => position,
            None => self.names.insert_full(name.clone()).0,
        };
        I::from_position(position)
    }

    /// Whether a name has a number.
    pub(crate) fn contains(&self, name: &N) -> bool {
        self.names.contains(name)
    }
}

/// A set of data centres.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct DataCentreSet(u64);

impl DataCentreSet {
    /// Data centres that one cell can have.
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
