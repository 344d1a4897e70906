//! Life cycle of an eviction: drain, checkpoint, stop, each confirmed before the next.
//!
//! The states are types, so that a stop cannot be ordered before the checkpoint is settled,
//! nor an end be reported before the stop is confirmed.

use guavavane_model::prelude::BootTime;

/// Refusals of a checkpoint after which the attempt is stopped without a new one.
const CHECKPOINT_REFUSALS_MAX: u8 = 3;

/// The endpoint of a service ends its requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Draining {
    until: BootTime,
    checkpoint: bool,
}

/// A checkpoint was ordered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Checkpointing {
    refusals: u8,
}

/// The checkpoint is settled; a stop was ordered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stopping {
    checkpoint_ms: Option<u64>,
}

/// An eviction in state `S`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Eviction<S> {
    state: S,
}

/// An eviction in any of its states.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvictionStep {
    /// The endpoint ends its requests.
    Draining(Eviction<Draining>),
    /// Waits for the checkpoint.
    Checkpointing(Eviction<Checkpointing>),
    /// Waits for the stop.
    Stopping(Eviction<Stopping>),
}

impl Eviction<Draining> {
    /// Starts with a drain that ends at `until` at the latest.
    pub fn drain(until: BootTime, checkpoint: bool) -> Self {
        Self {
            state: Draining { until, checkpoint },
        }
    }

    /// When the drain is given up.
    pub fn until(&self) -> BootTime {
        self.state.until
    }

    /// The requests have ended, or the drain was given up.
    pub fn drained(self) -> EvictionStep {
        if self.state.checkpoint {
            EvictionStep::Checkpointing(Eviction::checkpoint())
        } else {
            EvictionStep::Stopping(Eviction::stop())
        }
    }
}

impl Eviction<Checkpointing> {
    /// Starts with a checkpoint.
    pub fn checkpoint() -> Self {
        Self {
            state: Checkpointing { refusals: 0 },
        }
    }

    /// The worker wrote the checkpoint.
    pub fn written(self, progress_ms: u64) -> Eviction<Stopping> {
        Eviction {
            state: Stopping {
                checkpoint_ms: Some(progress_ms),
            },
        }
    }

    /// The worker refused; after some refusals the last checkpoint has to do.
    pub fn refused(self) -> EvictionStep {
        let refusals = self.state.refusals + 1;
        if refusals >= CHECKPOINT_REFUSALS_MAX {
            return EvictionStep::Stopping(Eviction::stop());
        }
        EvictionStep::Checkpointing(Self {
            state: Checkpointing { refusals },
        })
    }
}

impl Eviction<Stopping> {
    /// Starts with the stop: the attempt keeps what its last checkpoint has.
    pub fn stop() -> Self {
        Self {
            state: Stopping {
                checkpoint_ms: None,
            },
        }
    }

    /// Progress in the checkpoint of this eviction, if one was written.
    pub fn checkpoint_ms(&self) -> Option<u64> {
        self.state.checkpoint_ms
    }
}
