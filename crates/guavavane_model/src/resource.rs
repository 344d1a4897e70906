//! Defines resource vectors: integer amounts of processor time, memory and accelerators.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Amount of each resource: a capacity of workers, a demand of tasks or a usage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ResourceVector {
    /// Processor time, in thousandths of a core (millicores).
    pub cpu_millis: u64,
    /// Memory, in MiB.
    pub memory_mib: u64,
    /// Accelerators; they are not divisible.
    pub accelerators: u64,
}

impl ResourceVector {
    /// Vector whose components are all zero.
    pub const ZERO: Self = Self {
        cpu_millis: 0,
        memory_mib: 0,
        accelerators: 0,
    };

    /// Creates a vector from millicores, MiB and accelerators.
    pub const fn new(cpu_millis: u64, memory_mib: u64, accelerators: u64) -> Self {
        Self {
            cpu_millis,
            memory_mib,
            accelerators,
        }
    }

    /// Whether each component is at most the same component of `limit`.
    pub fn fits_within(&self, limit: &Self) -> bool {
        self.cpu_millis <= limit.cpu_millis
            && self.memory_mib <= limit.memory_mib
            && self.accelerators <= limit.accelerators
    }

    /// Returns the component-wise sum, or `None` if a component overflows.
    #[must_use]
    pub fn checked_add(&self, other: &Self) -> Option<Self> {
        Some(Self {
            cpu_millis: self.cpu_millis.checked_add(other.cpu_millis)?,
            memory_mib: self.memory_mib.checked_add(other.memory_mib)?,
            accelerators: self.accelerators.checked_add(other.accelerators)?,
        })
    }

    /// Returns the component-wise difference, or `None` if a component would be negative.
    #[must_use]
    pub fn checked_sub(&self, other: &Self) -> Option<Self> {
        Some(Self {
            cpu_millis: self.cpu_millis.checked_sub(other.cpu_millis)?,
            memory_mib: self.memory_mib.checked_sub(other.memory_mib)?,
            accelerators: self.accelerators.checked_sub(other.accelerators)?,
        })
    }

    /// Returns the component-wise maximum.
    #[must_use]
    pub fn component_max(&self, other: &Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.max(other.cpu_millis),
            memory_mib: self.memory_mib.max(other.memory_mib),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// Returns the component-wise difference, with zero in place of negative components.
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
