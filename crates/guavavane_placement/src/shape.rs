//! Shapes: tasks that are alike to the policy wait in one queue.
//!
//! If the head of a shape finds no worker, then neither would the tasks behind it: the whole
//! shape is passed over for a while, and no other shape waits for it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::index::DataCentreSet;
use crate::index::DenseIndex;
use crate::index::KindIndex;
use crate::index::ShapeIndex;
use crate::index::TeamIndex;
use crate::record::TaskClass;
use crate::record::TaskPriority;
use guavavane_model::prelude::BootTime;
use guavavane_model::prelude::ResourceVector;
use guavavane_model::prelude::TaskId;

/// What the policy can tell tasks apart by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct ShapeKey {
    pub(crate) team: TeamIndex,
    pub(crate) kind: KindIndex,
    pub(crate) class: TaskClass,
    pub(crate) priority: TaskPriority,
    pub(crate) exclusive: bool,
    pub(crate) demand: ResourceVector,
    pub(crate) data_centres: DataCentreSet,
}

impl ShapeKey {
    /// Whether tasks of this shape may take the place of preemptable ones.
    pub(crate) fn can_preempt(&self) -> bool {
        self.priority == TaskPriority::Urgent || self.class == TaskClass::LatencyCritical
    }

    /// Whether tasks of this shape may be evicted for more important ones.
    pub(crate) fn preemptable(&self) -> bool {
        !self.can_preempt()
    }
}

/// Order within a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueuePosition(pub(crate) u64);

/// Whether the tasks of a shape are tried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ShapeState {
    /// Nothing waits.
    Idle,
    /// In the lane of its team, under the position of its head.
    Ready {
        /// Position that the lane knows.
        head: QueuePosition,
    },
    /// Passed over until a moment.
    Blocked {
        /// The moment.
        until: BootTime,
    },
    /// No worker could ever take it.
    Impossible,
}

/// A shape and its waiting tasks.
#[derive(Debug)]
pub(crate) struct ShapeEntry {
    pub(crate) key: ShapeKey,
    pub(crate) queue: BTreeMap<QueuePosition, TaskId>,
    pub(crate) state: ShapeState,
    /// Last delay, or zero after a success.
    pub(crate) delay_ms: u64,
    /// Workers that the next search in doubtful cells passes over.
    pub(crate) scan_offset: usize,
    reference_count: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct BlockedShape {
    until: BootTime,
    shape: ShapeIndex,
}

/// All shapes that a task or a resident has.
#[derive(Debug, Default)]
pub(crate) struct ShapeTable {
    by_key: IndexMap<ShapeKey, ShapeIndex>,
    slots: Vec<Option<ShapeEntry>>,
    vacant: Vec<ShapeIndex>,
    blocked: BTreeSet<BlockedShape>,
    impossible: IndexSet<ShapeIndex>,
}

impl ShapeTable {
    /// The shape of a key, with one reference more.
    pub(crate) fn acquire(&mut self, key: ShapeKey) -> ShapeIndex {
        if let Some(shape) = self.by_key.get(&key).copied() {
            self.retain(shape);
            return shape;
        }
        let shape = self.vacant.pop().unwrap_or_else(|| {
            self.slots.push(None);
            ShapeIndex::from_position(self.slots.len() - 1)
        });
        self.slots[shape.position()] = Some(ShapeEntry {
            key,
            queue: BTreeMap::new(),
            state: ShapeState::Idle,
            delay_ms: 0,
            scan_offset: 0,
            reference_count: 1,
        });
        self.by_key.insert(key, shape);
        shape
    }

    pub(crate) fn retain(&mut self, shape: ShapeIndex) {
        self.get_mut(shape).reference_count += 1;
    }

    /// Gives a reference back; the last one forgets the shape.
    pub(crate) fn release(&mut self, shape: ShapeIndex) {
        let entry = self.get_mut(shape);
        entry.reference_count -= 1;
        if entry.reference_count > 0 {
            return;
        }
        let key = entry.key;
        self.by_key.swap_remove(&key);
        self.slots[shape.position()] = None;
        self.vacant.push(shape);
    }

    pub(crate) fn get(&self, shape: ShapeIndex) -> &ShapeEntry {
        let slot = self.slots[shape.position()].as_ref();
        slot.expect("a shape index outlived its shape")
    }

    pub(crate) fn get_mut(&mut self, shape: ShapeIndex) -> &mut ShapeEntry {
        let slot = self.slots[shape.position()].as_mut();
        slot.expect("a shape index outlived its shape")
    }

    /// Lists a shape as passed over until a moment.
    pub(crate) fn block(&mut self, shape: ShapeIndex, until: BootTime) {
        self.get_mut(shape).state = ShapeState::Blocked { until };
        self.blocked.insert(BlockedShape { until, shape });
    }

    /// Takes a shape off that list.
    pub(crate) fn unblock(&mut self, shape: ShapeIndex, until: BootTime) {
        self.blocked.remove(&BlockedShape { until, shape });
    }

    /// The shape whose delay ends first, if it has ended by `now`.
    pub(crate) fn first_due(&self, now: BootTime) -> Option<ShapeIndex> {
        let first = self.blocked.first()?;
        (first.until <= now).then_some(first.shape)
    }

    /// The shapes whose delays end first.
    pub(crate) fn first_blocked(&self, limit: usize) -> Vec<ShapeIndex> {
        let blocked = self.blocked.iter().take(limit);
        blocked.map(|blocked| blocked.shape).collect()
    }

    /// Lists a shape as one that no worker could take.
    pub(crate) fn mark_impossible(&mut self, shape: ShapeIndex) {
        self.get_mut(shape).state = ShapeState::Impossible;
        self.impossible.insert(shape);
    }

    /// Takes a shape off that list.
    pub(crate) fn unmark_impossible(&mut self, shape: ShapeIndex) {
        self.impossible.swap_remove(&shape);
    }

    /// Shapes that no worker could take.
    pub(crate) fn impossible(&self) -> Vec<ShapeIndex> {
        self.impossible.iter().copied().collect()
    }
}
