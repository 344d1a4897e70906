//! Queues waiting tasks by shape.
//!
//! A shape is an equivalence class of tasks (as in Borg): its tasks have equal requirements, so
//! that the policy can't tell them apart. If no worker fits the first task of a shape, none fits
//! the others. The whole shape is then blocked for a retry delay and delays no other shape.

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

/// Requirements that all tasks of a shape share.
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
    /// Whether tasks of this shape may preempt others: urgent and latency-critical ones may.
    pub(crate) fn can_preempt(&self) -> bool {
        self.priority == TaskPriority::Urgent || self.class == TaskClass::LatencyCritical
    }

    /// Whether tasks of this shape may be preempted: batch tasks that are not urgent may.
    pub(crate) fn preemptable(&self) -> bool {
        !self.can_preempt()
    }
}

/// Position in a shape's queue; the lowest goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueuePosition(pub(crate) u64);

/// Whether a scheduling pass tries the tasks of a shape.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ShapeState {
    /// No task of the shape waits.
    Idle,
    /// Listed in the ready queue of its team, ordered by the position of its first task.
    Ready {
        /// Position under which the ready queue lists the shape.
        head: QueuePosition,
    },
    /// Skipped until the retry delay ends.
    Blocked {
        /// End of the retry delay.
        until: BootTime,
    },
    /// The shape exceeds every present worker of its data centres or its team's cap.
    Impossible,
}

/// A shape and its waiting tasks.
#[derive(Debug)]
pub(crate) struct ShapeEntry {
    pub(crate) key: ShapeKey,
    pub(crate) queue: BTreeMap<QueuePosition, TaskId>,
    pub(crate) state: ShapeState,
    /// Last retry delay, in milliseconds; zero after a placement.
    pub(crate) delay_ms: u64,
    /// Workers in boundary cells that the next search skips; earlier searches checked them.
    pub(crate) scan_offset: usize,
    reference_count: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct BlockedShape {
    until: BootTime,
    shape: ShapeIndex,
}

/// All shapes of known tasks and of allocations, by reference count.
#[derive(Debug, Default)]
pub(crate) struct ShapeTable {
    by_key: IndexMap<ShapeKey, ShapeIndex>,
    slots: Vec<Option<ShapeEntry>>,
    vacant: Vec<ShapeIndex>,
    blocked: BTreeSet<BlockedShape>,
    impossible: IndexSet<ShapeIndex>,
}

impl ShapeTable {
    /// Finds or adds the shape of a key, and adds a reference to it.
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

    /// Removes a reference; the shape is removed with its last reference.
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

    /// Lists a shape as blocked.
    pub(crate) fn block(&mut self, shape: ShapeIndex, until: BootTime) {
        self.get_mut(shape).state = ShapeState::Blocked { until };
        self.blocked.insert(BlockedShape { until, shape });
    }

    /// Removes a shape from the list of blocked shapes.
    pub(crate) fn unblock(&mut self, shape: ShapeIndex, until: BootTime) {
        self.blocked.remove(&BlockedShape { until, shape });
    }

    /// The shape whose retry delay ends first, if it has ended by `now`.
    pub(crate) fn first_due(&self, now: BootTime) -> Option<ShapeIndex> {
        let first = self.blocked.first()?;
        (first.until <= now).then_some(first.shape)
    }

    /// Up to `limit` shapes whose retry delays end first.
    pub(crate) fn first_blocked(&self, limit: usize) -> Vec<ShapeIndex> {
        let blocked = self.blocked.iter().take(limit);
        blocked.map(|blocked| blocked.shape).collect()
    }

    /// Lists a shape as impossible.
    pub(crate) fn mark_impossible(&mut self, shape: ShapeIndex) {
        self.get_mut(shape).state = ShapeState::Impossible;
        self.impossible.insert(shape);
    }

    /// Removes a shape from the list of impossible shapes.
    pub(crate) fn unmark_impossible(&mut self, shape: ShapeIndex) {
        self.impossible.swap_remove(&shape);
    }

    /// All impossible shapes.
    pub(crate) fn impossible(&self) -> Vec<ShapeIndex> {
        self.impossible.iter().copied().collect()
    }
}
