//! Tracks the quotas of teams, and orders teams by weighted dominant resource fairness.
//!
//! With usage u(r) of a team, capacity c(r) of the cell and weight w, the team's share is
//! max over r of u(r) / c(r), divided by w. The next placement goes to the team with the least
//! share among those with a ready shape (progressive filling; Ghodsi et al., NSDI 2011).

use std::collections::BTreeSet;

use crate::event::TeamQuota;
use crate::index::DenseIndex;
use crate::index::NameTable;
use crate::index::ShapeIndex;
use crate::index::TeamIndex;
use crate::record::TaskClass;
use crate::record::TaskPriority;
use crate::shape::QueuePosition;
use guavavane_model::prelude::ResourceVector;
use guavavane_model::prelude::TeamName;

/// Fixed-point scale of shares: the value of a share of one.
const SHARE_SCALE: u128 = 1 << 32;

/// A shape in its team's ready queue: services before batch, then by the position of its head.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ReadyShape {
    pub(crate) class: TaskClass,
    pub(crate) head: QueuePosition,
    pub(crate) shape: ShapeIndex,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct TeamRank {
    share: u64,
    team: TeamIndex,
}

#[derive(Debug, Default)]
struct ReadyQueue {
    shapes: BTreeSet<ReadyShape>,
    ranked: Option<TeamRank>,
}

#[derive(Debug)]
struct TeamEntry {
    weight: u32,
    cap: Option<ResourceVector>,
    usage: ResourceVector,
    ready_queues: [ReadyQueue; 2],
}

/// All teams, ranked by share among those with ready shapes of each priority.
#[derive(Debug)]
pub(crate) struct TeamTable {
    names: NameTable<TeamName, TeamIndex>,
    entries: Vec<TeamEntry>,
    ranks: [BTreeSet<TeamRank>; 2],
    totals: ResourceVector,
    totals_changed: bool,
}

fn priority_index(priority: TaskPriority) -> usize {
    match priority {
        TaskPriority::Urgent => 0,
        TaskPriority::Normal => 1,
    }
}

fn scaled_share(used: u64, total: u64) -> u128 {
    u128::from(used) * SHARE_SCALE / u128::from(total.max(1))
}

impl TeamTable {
    pub(crate) fn new() -> Self {
        Self {
            names: NameTable::new(),
            entries: Vec::new(),
            ranks: [BTreeSet::new(), BTreeSet::new()],
            totals: ResourceVector::ZERO,
            totals_changed: false,
        }
    }

    pub(crate) fn intern(&mut self, name: &TeamName) -> TeamIndex {
        let team: TeamIndex = self.names.intern(name);
        if team.position() == self.entries.len() {
            self.entries.push(TeamEntry {
                weight: 1,
                cap: None,
                usage: ResourceVector::ZERO,
                ready_queues: [ReadyQueue::default(), ReadyQueue::default()],
            });
        }
        team
    }

    pub(crate) fn set_quota(&mut self, quota: &TeamQuota) -> TeamIndex {
        let team = self.intern(&quota.team);
        let entry = &mut self.entries[team.position()];
        entry.weight = quota.weight.max(1);
        entry.cap = quota.cap;
        self.update_rank(team);
        team
    }

    pub(crate) fn cap(&self, team: TeamIndex) -> Option<ResourceVector> {
        self.entries[team.position()].cap
    }

    /// Whether the team's usage stays within its cap with `amount` added.
    pub(crate) fn admits(&self, team: TeamIndex, amount: &ResourceVector) -> bool {
        let entry = &self.entries[team.position()];
        let Some(cap) = entry.cap else {
            return true;
        };
        let usage = entry.usage.checked_add(amount);
        usage.is_some_and(|usage| usage.fits_within(&cap))
    }

    /// Whether the team's usage is within its cap, which may have been lowered.
    pub(crate) fn is_within_cap(&self, team: TeamIndex) -> bool {
        self.admits(team, &ResourceVector::ZERO)
    }

    pub(crate) fn charge(&mut self, team: TeamIndex, amount: &ResourceVector) {
        let entry = &mut self.entries[team.position()];
        let usage = entry.usage.checked_add(amount);
        entry.usage = usage.expect("reservations of one team overflow 64 bits");
        self.update_rank(team);
    }

    pub(crate) fn refund(&mut self, team: TeamIndex, amount: &ResourceVector) {
        let entry = &mut self.entries[team.position()];
        let usage = entry.usage.checked_sub(amount);
        entry.usage = usage.expect("a team was refunded more than it was charged");
        self.update_rank(team);
    }

    /// Updates the capacity of the cell; ranks change with the next [`Self::refresh_ranks`].
    pub(crate) fn change_totals(&mut self, removed: &ResourceVector, added: &ResourceVector) {
        let totals = self.totals.saturating_sub(removed);
        let totals = totals.checked_add(added);
        self.totals = totals.expect("capacity of one cell overflows 64 bits");
        self.totals_changed = true;
    }

    /// Recomputes the ranks of all teams if the capacity of the cell has changed.
    pub(crate) fn refresh_ranks(&mut self) {
        if !self.totals_changed {
            return;
        }
        self.totals_changed = false;
        for position in 0..self.entries.len() {
            self.update_rank(TeamIndex::from_position(position));
        }
    }

    pub(crate) fn insert(&mut self, team: TeamIndex, priority: TaskPriority, shape: ReadyShape) {
        let ready_queue = &mut self.entries[team.position()].ready_queues[priority_index(priority)];
        ready_queue.shapes.insert(shape);
        self.update_rank(team);
    }

    pub(crate) fn remove(&mut self, team: TeamIndex, priority: TaskPriority, shape: ReadyShape) {
        let ready_queue = &mut self.entries[team.position()].ready_queues[priority_index(priority)];
        ready_queue.shapes.remove(&shape);
        self.update_rank(team);
    }

    /// The shape to place next: the first ready one of the team with the least share.
    pub(crate) fn next_shape(&self, priority: TaskPriority) -> Option<ShapeIndex> {
        let rank = self.ranks[priority_index(priority)].first()?;
        let ready_queue =
            &self.entries[rank.team.position()].ready_queues[priority_index(priority)];
        let first = ready_queue.shapes.first();
        Some(first.expect("a ranked team has a ready shape").shape)
    }

    fn update_rank(&mut self, team: TeamIndex) {
        let share = self.weighted_share(team);
        let entry = &mut self.entries[team.position()];
        for (ready_queue, ranks) in entry.ready_queues.iter_mut().zip(&mut self.ranks) {
            let new_rank = (!ready_queue.shapes.is_empty()).then_some(TeamRank { share, team });
            if new_rank == ready_queue.ranked {
                continue;
            }
            if let Some(rank) = ready_queue.ranked {
                ranks.remove(&rank);
            }
            ranks.extend(new_rank);
            ready_queue.ranked = new_rank;
        }
    }

    fn weighted_share(&self, team: TeamIndex) -> u64 {
        let entry = &self.entries[team.position()];
        let cpu = scaled_share(entry.usage.cpu_millis, self.totals.cpu_millis);
        let memory = scaled_share(entry.usage.memory_mib, self.totals.memory_mib);
        let accelerators = scaled_share(entry.usage.accelerators, self.totals.accelerators);
        let dominant = cpu.max(memory).max(accelerators);
        u64::try_from(dominant / u128::from(entry.weight)).unwrap_or(u64::MAX)
    }
}
