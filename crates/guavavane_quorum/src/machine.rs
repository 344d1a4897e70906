//! Interface of the replicated state machine.

use serde::de::DeserializeOwned;
use serde::Serialize;
use thiserror::Error;

use crate::entry::LogIndex;

/// Error of [`StateMachine::restore`]: the snapshot can't be decoded.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("snapshot refused: {reason}")]
pub struct RestoreError {
    /// Description of the decoding error.
    pub reason: String,
}

/// Deterministic state machine, to which each replica applies the committed commands in order.
///
/// The same commands in the same order must give the same state and outcomes on every replica.
pub trait StateMachine: Send + 'static {
    /// Command that changes the state; stored and sent encoded with bincode.
    type Command: Serialize + DeserializeOwned + Clone + Send + 'static;
    /// Result of applying a command, returned to the caller that proposed it.
    type Outcome: Clone + Send + 'static;

    /// Applies the committed command of the entry at `index`.
    fn apply(&mut self, index: LogIndex, command: Self::Command) -> Self::Outcome;

    /// Encodes the whole state.
    fn snapshot(&self) -> Vec<u8>;

    /// Replaces the state by one that [`StateMachine::snapshot`] encoded.
    ///
    /// On an error the state must stay unchanged.
    fn restore(&mut self, bytes: &[u8]) -> Result<(), RestoreError>;
}
