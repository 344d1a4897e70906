//! Amounts of processors, memory and accelerators, as integers.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// An amount of each resource that workers have and tasks need.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ResourceVector {
    /// Processor time, in thousandths of a core.
    pub cpu_millis: u64,
    /// Memory, in MiB.
    pub memory_mib: u64,
    /// Whole accelerators.
    pub accelerators: u64,
}

impl ResourceVector {
    /// No resources at all.
    pub const ZERO: Self = Self {
        cpu_millis: 0,
        memory_mib: 0,
        accelerators: 0,
    };

    /// An amount from its three parts: milli-cores, MiB and accelerators.
    pub const fn new(cpu_millis: u64, memory_mib: u64, accelerators: u64) -> Self {
        Self {
            cpu_millis,
            memory_mib,
            accelerators,
        }
    }

    /// Whether each part is at most that of `limit`.
    pub fn fits_within(&self, limit: &Self) -> bool {
        self.cpu_millis <= limit.cpu_millis
            && self.memory_mib <= limit.memory_mib
            && self.accelerators <= limit.accelerators
    }

    /// The sum, or `None` if a part overflows.
    #[must_use]
    pub fn checked_add(&self, other: &Self) -> Option<Self> {
        Some(Self {
            cpu_millis: self.cpu_millis.checked_add(other.cpu_millis)?,
            memory_mib: self.memory_mib.checked_add(other.memory_mib)?,
            accelerators: self.accelerators.checked_add(other.accelerators)?,
        })
    }

    /// The difference, or `None` if a part would be negative.
    #[must_use]
    pub fn checked_sub(&self, other: &Self) -> Option<Self> {
        Some(Self {
            cpu_millis: self.cpu_millis.checked_sub(other.cpu_millis)?,
            memory_mib: self.memory_mib.checked_sub(other.memory_mib)?,
            accelerators: self.accelerators.checked_sub(other.accelerators)?,
        })
    }

    /// The larger of each part.
    #[must_use]
    pub fn max_each(&self, other: &Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.max(other.cpu_millis),
            memory_mib: self.memory_mib.max(other.memory_mib),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// The difference with each part at least zero.
    #[must_use]
    pub fn saturating_sub(&self, other: &Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_sub(other.cpu_millis),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }
}

impl fmt::Display for ResourceVector {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{}m/{}MiB/{}acc",
            self.cpu_millis, self.memory_mib, self.accelerators
        )
    }
}
