//! Write-ahead log and snapshots in one data folder.

use std::collections::VecDeque;
use std::sync::Arc;

use super::disk::DiskFolder;
use super::identity::read_identity;
use super::identity::FolderIdentity;
use super::replay::replay;
use super::replay::ClosedSegment;
use super::segment::segment_name;
use super::segment::segment_number;
use super::segment::OpenSegment;
use super::segment::SegmentHeader;
use super::segment::StoredRecord;
use super::segment::FORMAT_VERSION;
use super::snapshot_file;
use super::StorageError;
use crate::core::StoredState;
use crate::entry::HardState;
use crate::entry::LogEntry;
use crate::entry::LogIndex;
use crate::entry::SnapshotImage;
use crate::entry::Term;
use crate::member::MemberSet;

/// Stores hard state, log entries and snapshots.
///
/// Hard state and entries are collected in a batch, which [`LogStore::sync`] makes durable.
#[derive(Debug)]
pub struct LogStore<D: DiskFolder> {
    folder: Arc<D>,
    identity: FolderIdentity,
    segment_bytes: u64,
    segment: OpenSegment<D::File>,
    closed_segments: VecDeque<ClosedSegment>,
    /// Highest index in the open segment; 0 without entries.
    segment_last_index: LogIndex,
    hard_state: HardState,
    last_index: LogIndex,
    last_term: Term,
    initial_members: MemberSet,
    batch: Vec<StoredRecord>,
    failed: bool,
}

impl<D: DiskFolder> LogStore<D> {
    /// Opens an initialised folder and truncates a torn last frame; all that it returns is durable.
    pub fn open(folder: D, segment_bytes: u64) -> Result<(Self, StoredState), StorageError> {
        Self::open_shared(Arc::new(folder), segment_bytes)
    }

    /// Reads the folder again after a failed write or sync, once the disk accepts writes.
    ///
    /// Discards what was written after the last successful sync, since a failed sync may have left
    /// it in memory only. On an error the store stays failed; no snapshot may be written meanwhile.
    pub fn recover(&mut self) -> Result<StoredState, StorageError> {
        self.discard_unsynced()?;
        let folder = Arc::clone(&self.folder);
        let (mut store, state) = Self::open_shared(folder, self.segment_bytes)?;
        self.check_synced_frames(&store)?;
        store.save_hard_state(state.hard_state);
        store.sync()?;
        *self = store;
        Ok(state)
    }

    fn open_shared(
        folder: Arc<D>,
        segment_bytes: u64,
    ) -> Result<(Self, StoredState), StorageError> {
        // An earlier process may have ended before it synced the names of its files.
        let synced = folder.sync_folder();
        synced.map_err(StorageError::io(folder.label()))?;
        let identity = read_identity(&*folder)?;
        let snapshot = snapshot_file::load(&*folder)?;
        let snapshot_index = snapshot.as_ref().map_or(LogIndex(0), |s| s.index);
        let mut log = replay(&*folder, identity.replica, snapshot_index)?;
        let open = log
            .segments
            .pop()
            .expect("replay returns at least one segment");
        let segment = OpenSegment::reopen(&*folder, open.number, &log.frames, segment_bytes)?;
        let snapshot_term = snapshot.as_ref().map_or(Term(0), |s| s.term);
        let mut store = Self {
            folder,
            identity,
            segment_bytes,
            segment,
            closed_segments: log.segments.into(),
            segment_last_index: open.last_index,
            hard_state: log.hard_state,
            last_index: log.last_index,
            last_term: log.entries.last().map_or(snapshot_term, |e| e.term),
            initial_members: log.initial_members.clone(),
            batch: Vec::new(),
            failed: false,
        };
        let log_matches_snapshot = log.term_at_snapshot == Some(snapshot_term);
        if snapshot.is_some() && !log_matches_snapshot {
            // A crash interrupted the installation between the snapshot and the reset of the log.
            log.entries.clear();
            store.reset_log(snapshot_index, snapshot_term);
            store.sync()?;
        }
        let state = StoredState {
            hard_state: log.hard_state,
            initial_members: log.initial_members,
            snapshot,
            entries: log.entries,
        };
        Ok((store, state))
    }

    /// Identity of the data folder.
    pub fn identity(&self) -> FolderIdentity {
        self.identity
    }

    /// Adds the term and vote to the batch.
    pub fn save_hard_state(&mut self, state: HardState) {
        self.hard_state = state;
        self.batch.push(StoredRecord::HardState(state));
    }

    /// Adds entries to the batch; they replace all stored entries from the first one's index on.
    pub fn append(&mut self, entries: Vec<LogEntry>) {
        for entry in entries {
            self.last_index = entry.index;
            self.last_term = entry.term;
            self.batch.push(StoredRecord::Entry(entry));
        }
    }

    /// Stores a received snapshot, durable on return.
    ///
    /// Without `keep_log`, all entries are discarded and the log continues after the snapshot.
    pub fn install_snapshot(
        &mut self,
        image: &SnapshotImage,
        keep_log: bool,
    ) -> Result<(), StorageError> {
        self.sync()?;
        self.save_snapshot(image)?;
        if !keep_log {
            self.reset_log(image.index, image.term);
            self.sync()?;
        }
        Ok(())
    }

    /// Stores a snapshot, durable on return, and removes the closed segments that it covers.
    pub fn save_snapshot(&mut self, image: &SnapshotImage) -> Result<(), StorageError> {
        self.run_unless_failed(|store| snapshot_file::save(&*store.folder, image))?;
        self.remove_covered_segments(image.index)
    }

    /// Removes the closed segments without entries after `index`, which a durable snapshot covers.
    pub fn remove_covered_segments(&mut self, index: LogIndex) -> Result<(), StorageError> {
        self.run_unless_failed(|store| store.remove_segments(index))
    }

    /// Returns a snapshot writer for use on another thread.
    pub fn snapshot_writer(&self) -> SnapshotWriter<D> {
        SnapshotWriter {
            folder: Arc::clone(&self.folder),
        }
    }

    /// Writes the batch as one frame and makes it durable; starts a new segment if due.
    pub fn sync(&mut self) -> Result<(), StorageError> {
        if self.batch.is_empty() && !self.failed {
            return Ok(());
        }
        self.run_unless_failed(Self::write_batch)
    }

    fn reset_log(&mut self, index: LogIndex, term: Term) {
        self.last_index = index;
        self.last_term = term;
        self.batch.push(StoredRecord::Reset { index, term });
    }

    /// Runs `work` unless an earlier write failed; an error makes all later calls fail.
    fn run_unless_failed(
        &mut self,
        work: impl FnOnce(&mut Self) -> Result<(), StorageError>,
    ) -> Result<(), StorageError> {
        if self.failed {
            return Err(StorageError::Failed);
        }
        let result = work(self);
        self.failed = result.is_err();
        result
    }

    fn write_batch(&mut self) -> Result<(), StorageError> {
        let batch = std::mem::take(&mut self.batch);
        self.segment.append(&batch)?;
        self.segment.sync()?;
        for record in &batch {
            let index = match record {
                StoredRecord::HardState(_) => continue,
                StoredRecord::Entry(entry) => entry.index,
                StoredRecord::Reset { index, .. } => *index,
            };
            self.segment_last_index = self.segment_last_index.max(index);
        }
        if self.segment.bytes >= self.segment_bytes {
            self.start_segment()?;
        }
        Ok(())
    }

    fn start_segment(&mut self) -> Result<(), StorageError> {
        let header = SegmentHeader {
            version: FORMAT_VERSION,
            replica: self.identity.replica,
            hard_state: self.hard_state,
            base_index: self.last_index,
            base_term: self.last_term,
            initial_members: self.initial_members.clone(),
        };
        let number = self.segment.number + 1;
        let segment = OpenSegment::create(&*self.folder, number, &header, self.segment_bytes)?;
        self.closed_segments.push_back(ClosedSegment {
            number: self.segment.number,
            last_index: self.segment_last_index,
        });
        self.segment = segment;
        self.segment_last_index = LogIndex(0);
        Ok(())
    }

    /// Fails if the folder, as `reopened` has read it, ends before the frames that were synced: votes
    /// and acknowledgements would be forgotten.
    fn check_synced_frames(&self, reopened: &Self) -> Result<(), StorageError> {
        let synced_end = (self.segment.number, self.segment.synced_bytes);
        let end = (reopened.segment.number, reopened.segment.bytes);
        if end >= synced_end {
            return Ok(());
        }
        Err(StorageError::Corrupt {
            file: segment_name(end.0),
            offset: end.1,
            reason: "synced records are missing",
        })
    }

    /// Truncates the open segment to its durable frames and removes a later segment, whose creation
    /// has failed.
    fn discard_unsynced(&mut self) -> Result<(), StorageError> {
        let names = self.folder.list();
        let names = names.map_err(StorageError::io(self.folder.label()))?;
        let open_number = self.segment.number;
        let is_later = |name: &String| segment_number(name).is_some_and(|n| n > open_number);
        for name in names.iter().filter(|name| is_later(name)) {
            self.folder.remove(name).map_err(StorageError::io(name))?;
        }
        let synced = self.folder.sync_folder();
        synced.map_err(StorageError::io(self.folder.label()))?;
        let name = segment_name(open_number);
        let truncated = self.folder.reopen(&name, self.segment.synced_bytes);
        truncated.map(drop).map_err(StorageError::io(&name))
    }

    /// Removes covered segments, oldest first. Each removal is durable before the next one, so that
    /// no crash leaves a gap between the segments.
    fn remove_segments(&mut self, through: LogIndex) -> Result<(), StorageError> {
        let is_covered = |s: &ClosedSegment| s.last_index <= through;
        while let Some(segment) = self.closed_segments.front().copied().filter(is_covered) {
            let name = segment_name(segment.number);
            self.folder.remove(&name).map_err(StorageError::io(&name))?;
            let synced = self.folder.sync_folder();
            synced.map_err(StorageError::io(self.folder.label()))?;
            self.closed_segments.pop_front();
        }
        Ok(())
    }
}

/// Writes snapshots on another thread than the log.
///
/// Only one snapshot may be written at a time, and none while a received one is installed.
#[derive(Debug)]
pub struct SnapshotWriter<D> {
    folder: Arc<D>,
}

impl<D: DiskFolder> SnapshotWriter<D> {
    /// Writes a snapshot, durable on return.
    ///
    /// Call [`LogStore::remove_covered_segments`] next.
    pub fn save(&self, image: &SnapshotImage) -> Result<(), StorageError> {
        snapshot_file::save(&*self.folder, image)
    }
}
