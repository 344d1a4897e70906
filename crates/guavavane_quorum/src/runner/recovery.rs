//! Recovery after a failed write or sync of the data folder.
//!
//! While the disk is full or fails, the replica refuses requests, drops messages, and tries in
//! growing intervals to read its folder again. It then goes on like a restarted one, with a new
//! consensus core in the stored term. The state machine stays as it is: everything applied to it
//! was durable before, on this replica or in a snapshot of the leader.

use std::time::Duration;

use super::PendingReply;
use super::ReplicaRunner;
use super::RoundInput;
use super::StopReason;
use crate::core::ConsensusCore;
use crate::handle::HandleRequest;
use crate::machine::StateMachine;
use crate::storage::DiskFolder;
use crate::storage::StorageError;
use guavavane_model::time::BootClock;

/// Time between a failure of the storage and the first try to recover.
const RECOVERY_BACKOFF_MIN: Duration = Duration::from_millis(100);
/// Longest time between two tries to recover.
const RECOVERY_BACKOFF_MAX: Duration = Duration::from_millis(800);

impl<M: StateMachine, D: DiskFolder> ReplicaRunner<M, D> {
    /// Returns once the storage works again, or with an error if the replica has to stop first.
    pub(super) fn recover_storage(&mut self) -> Result<(), StopReason> {
        let failed_at = BootClock.now();
        let mut backoff = RECOVERY_BACKOFF_MIN;
        let mut last_reason = String::new();
        loop {
            self.refuse_inputs(backoff)?;
            let Err(error) = self.restart_core() else {
                break;
            };
            let reason = error.to_string();
            if reason != last_reason {
                tracing::warn!(event = "storage_not_recovered", replica = %self.core.id(), reason);
            }
            last_reason = reason;
            backoff = RECOVERY_BACKOFF_MAX.min(backoff * 2);
        }
        let failed_ms = BootClock.now().saturating_since(failed_at).as_millis() as u64;
        tracing::warn!(event = "storage_recovered", replica = %self.core.id(), failed_ms);
        Ok(())
    }

    /// Drops messages and refuses requests for this time.
    fn refuse_inputs(&self, duration: Duration) -> Result<(), StopReason> {
        let until = BootClock.now() + duration;
        loop {
            let wait = until.saturating_since(BootClock.now());
            if wait.is_zero() {
                return Ok(());
            }
            match self.receive(wait)? {
                Some(RoundInput::Request(HandleRequest::Stop)) => {
                    return Err(StopReason::Requested);
                }
                Some(RoundInput::Request(request)) => {
                    PendingReply::from_request(request).fail_storage();
                }
                Some(RoundInput::Message(_)) | None => {}
            }
        }
    }

    /// Reads the folder again and creates a follower from what it holds.
    fn restart_core(&mut self) -> Result<(), StorageError> {
        // The folder must not change while it is read.
        if let Some(Err(error)) = self.snapshots.wait() {
            self.postpone_snapshot(&error);
        }
        let stored = self.store.recover()?;
        let now = self.now();
        let (id, settings) = (self.core.id(), self.settings.clone());
        self.core = ConsensusCore::new(id, settings, stored, now, rand::random());
        self.publish(false);
        Ok(())
    }
}
