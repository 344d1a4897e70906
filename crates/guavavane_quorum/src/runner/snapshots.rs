//! Thread that writes snapshots, so that a slow disk does not delay heartbeats.

use std::io;
use std::thread;
use std::thread::JoinHandle;

use thiserror::Error;

use crate::entry::SnapshotImage;
use crate::storage::DiskFolder;
use crate::storage::SnapshotWriter;
use crate::storage::StorageError;

/// Error of a snapshot that other replicas would refuse.
#[derive(Debug, Error)]
#[error("a snapshot of {bytes} bytes exceeds snapshot_bytes_max")]
pub(super) struct OversizedSnapshot {
    /// Size of the snapshot, in bytes.
    pub(super) bytes: u64,
}

/// Durable snapshot, or the reason why it could not be written.
pub(super) type SaveResult = Result<SnapshotImage, StorageError>;

/// Handle of the snapshot thread, which saves one snapshot at a time.
pub(super) struct SnapshotThread {
    requests: Option<flume::Sender<SnapshotImage>>,
    saved: flume::Receiver<SaveResult>,
    thread: Option<JoinHandle<()>>,
    saving: bool,
}

impl SnapshotThread {
    pub(super) fn start<D: DiskFolder>(writer: SnapshotWriter<D>) -> io::Result<Self> {
        let (requests, queue) = flume::bounded::<SnapshotImage>(1);
        let (results, saved) = flume::bounded(1);
        let save = move || {
            for image in queue {
                let result = writer.save(&image).map(|()| image);
                // Fails only if the replica thread has ended and no longer needs the result.
                let _ = results.send(result);
            }
        };
        let name = "snapshot-writer".to_owned();
        let thread = thread::Builder::new().name(name).spawn(save)?;
        Ok(Self {
            requests: Some(requests),
            saved,
            thread: Some(thread),
            saving: false,
        })
    }

    pub(super) fn is_saving(&self) -> bool {
        self.saving
    }

    /// Starts to save a snapshot; an earlier one must have completed.
    pub(super) fn save(&mut self, image: SnapshotImage) {
        let requests = self.requests.as_ref();
        self.saving = requests.is_some_and(|r| r.try_send(image).is_ok());
    }

    /// Returns the result of the snapshot being saved, if it has completed.
    pub(super) fn poll(&mut self) -> Option<SaveResult> {
        let result = self.saved.try_recv().ok()?;
        self.saving = false;
        Some(result)
    }

    /// Waits until the snapshot being saved completes; `None` if there is none.
    pub(super) fn wait(&mut self) -> Option<SaveResult> {
        if !self.saving {
            return None;
        }
        self.saving = false;
        self.saved.recv().ok()
    }
}

impl Drop for SnapshotThread {
    /// Joins the thread, so that the data folder is unlocked once the replica has stopped.
    fn drop(&mut self) {
        self.requests = None;
        if let Some(thread) = self.thread.take() {
            // The panic hook has already reported a panic of the thread.
            let _ = thread.join();
        }
    }
}
