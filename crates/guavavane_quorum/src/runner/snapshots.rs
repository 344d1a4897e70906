//! Writes snapshots on a thread of its own, so that a slow disk delays no heartbeat.

use std::io;
use std::thread;
use std::thread::JoinHandle;

use crate::entry::SnapshotImage;
use crate::storage::DiskFolder;
use crate::storage::SnapshotWriter;
use crate::storage::StorageError;

/// A snapshot that is durable, or why it is not.
type SaveResult = Result<SnapshotImage, StorageError>;

/// Saves one snapshot at a time.
pub(super) struct SnapshotThread {
    jobs: Option<flume::Sender<SnapshotImage>>,
    saved: flume::Receiver<SaveResult>,
    thread: Option<JoinHandle<()>>,
    busy: bool,
}

impl SnapshotThread {
    pub(super) fn start<D: DiskFolder>(writer: SnapshotWriter<D>) -> io::Result<Self> {
        let (jobs, queue) = flume::bounded::<SnapshotImage>(1);
        let (results, saved) = flume::bounded(1);
        let save = move || {
            for image in queue {
                let result = writer.save(&image).map(|()| image);
                // The replica's thread is gone: nobody needs the result.
                let _ = results.send(result);
            }
        };
        let name = "snapshot-writer".to_owned();
        let thread = thread::Builder::new().name(name).spawn(save)?;
        Ok(Self {
            jobs: Some(jobs),
            saved,
            thread: Some(thread),
            busy: false,
        })
    }

    pub(super) fn is_busy(&self) -> bool {
        self.busy
    }

    /// Starts to save a snapshot; the one before must be done.
    pub(super) fn save(&mut self, image: SnapshotImage) {
        let jobs = self.jobs.as_ref();
        self.busy = jobs.is_some_and(|j| j.try_send(image).is_ok());
    }

    /// The snapshot that was under way, if it is done.
    pub(super) fn poll(&mut self) -> Option<SaveResult> {
        let result = self.saved.try_recv().ok()?;
        self.busy = false;
        Some(result)
    }

    /// Waits for the snapshot that is under way.
    pub(super) fn wait(&mut self) -> Option<SaveResult> {
        if !self.busy {
            return None;
        }
        self.busy = false;
        self.saved.recv().ok()
    }
}

impl Drop for SnapshotThread {
    /// Ends the thread, so that the folder is free once the replica has stopped.
    fn drop(&mut self) {
        self.jobs = None;
        if let Some(thread) = self.thread.take() {
            // A panic of the thread was reported where it happened.
            let _ = thread.join();
        }
    }
}
