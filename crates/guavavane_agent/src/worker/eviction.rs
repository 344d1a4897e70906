//! State machine of an eviction: drain, checkpoint, stop, each confirmed before the next.
//!
//! Each state is a type, so that the compiler rules out a stop before the checkpoint is written
//! or given up, and a reported end before the stop is confirmed.

use guavavane_model::prelude::BootTime;

/// Number of refused checkpoints after which the attempt is stopped without a new checkpoint.
const CHECKPOINT_REFUSALS_MAX: u8 = 3;

/// The endpoint of the service finishes its requests and accepts no new ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Draining {
    deadline: BootTime,
    with_checkpoint: bool,
}

/// The worker was asked for a checkpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Checkpointing {
    refusals: u8,
}

/// The checkpoint was written or given up, and the worker was asked to stop the attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stopping {
    checkpoint_ms: Option<u64>,
}

/// An eviction in state `S`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Eviction<S> {
    state: S,
}

/// An eviction in any state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvictionStep {
    /// Waits until the endpoint has finished its requests.
    Draining(Eviction<Draining>),
    /// Waits until the worker has written the checkpoint.
    Checkpointing(Eviction<Checkpointing>),
    /// Waits until a listing shows that the attempt has stopped.
    Stopping(Eviction<Stopping>),
}

impl Eviction<Draining> {
    /// Starts an eviction with a drain that ends at `deadline` at the latest.
    pub fn start_draining(deadline: BootTime, with_checkpoint: bool) -> Self {
        Self {
            state: Draining {
                deadline,
                with_checkpoint,
            },
        }
    }

    /// When the eviction continues even if requests still run.
    pub fn drain_deadline(&self) -> BootTime {
        self.state.deadline
    }

    /// Continues after the drain has finished or its deadline has passed.
    pub fn finish_drain(self) -> EvictionStep {
        if self.state.with_checkpoint {
            EvictionStep::Checkpointing(Eviction::start_checkpointing())
        } else {
            EvictionStep::Stopping(Eviction::start_stopping())
        }
    }
}

impl Eviction<Checkpointing> {
    /// Starts an eviction, or continues a drained one, with a checkpoint.
    pub fn start_checkpointing() -> Self {
        Self {
            state: Checkpointing { refusals: 0 },
        }
    }

    /// Continues with the stop after a checkpoint with `progress_ms` of work was written.
    pub fn finish_checkpoint(self, progress_ms: u64) -> Eviction<Stopping> {
        Eviction {
            state: Stopping {
                checkpoint_ms: Some(progress_ms),
            },
        }
    }

    /// Counts a refused checkpoint; after `CHECKPOINT_REFUSALS_MAX` refusals the attempt is
    /// stopped with its last checkpoint.
    pub fn refuse_checkpoint(self) -> EvictionStep {
        let refusals = self.state.refusals + 1;
        if refusals >= CHECKPOINT_REFUSALS_MAX {
            return EvictionStep::Stopping(Eviction::start_stopping());
        }
        EvictionStep::Checkpointing(Self {
            state: Checkpointing { refusals },
        })
    }
}

impl Eviction<Stopping> {
    /// Starts or continues an eviction with the stop, without a new checkpoint.
    pub fn start_stopping() -> Self {
        Self {
            state: Stopping {
                checkpoint_ms: None,
            },
        }
    }

    /// Work saved by the checkpoint of this eviction, in ms, if one was written.
    pub fn checkpoint_ms(&self) -> Option<u64> {
        self.state.checkpoint_ms
    }
}
