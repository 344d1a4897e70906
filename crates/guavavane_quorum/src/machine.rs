//! The state machine that the log drives.

use serde::de::DeserializeOwned;
use serde::Serialize;
use thiserror::Error;

use crate::entry::LogIndex;

/// A snapshot that the machine does not understand.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("snapshot refused: {reason}")]
pub struct RestoreError {
    /// What is wrong with it.
    pub reason: String,
}

/// A deterministic machine: the same commands in the same order give the same state.
pub trait StateMachine: Send + 'static {
    /// What changes the state.
    type Command: Serialize + DeserializeOwned + Clone + Send + 'static;
    /// What a command answers.
    type Outcome: Clone + Send + 'static;

    /// Applies a committed command.
    fn apply(&mut self, index: LogIndex, command: Self::Command) -> Self::Outcome;

    /// Encodes the whole state.
    fn snapshot(&self) -> Vec<u8>;

    /// Replaces the state by an encoded one; on an error the state stays as it was.
    fn restore(&mut self, bytes: &[u8]) -> Result<(), RestoreError>;
}
