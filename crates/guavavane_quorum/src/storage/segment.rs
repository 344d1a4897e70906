//! Log segments: numbered files of frames.
//!
//! The first frame of a segment is its header; each other frame is one batch of records.

use std::io;

use serde::Deserialize;
use serde::Serialize;

use super::disk::DiskFile;
use super::disk::DiskFolder;
use super::frame::encode_frame;
use super::StorageError;
use crate::entry::HardState;
use crate::entry::LogEntry;
use crate::entry::LogIndex;
use crate::entry::Term;
use crate::member::MemberSet;
use crate::member::ReplicaId;

/// Version of the on-disk format of segments and identity.
pub(super) const FORMAT_VERSION: u16 = 1;

/// Number of zero bytes by which a segment file is extended ahead of the log.
const RESERVE_STEP_BYTES: u64 = 1 << 20;

/// Content of a segment's first frame.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct SegmentHeader {
    pub(super) version: u16,
    pub(super) replica: ReplicaId,
    /// Term and vote when the segment was created.
    pub(super) hard_state: HardState,
    /// Index of the last entry before the segment.
    pub(super) base_index: LogIndex,
    pub(super) base_term: Term,
    /// Members before the first entry of the log.
    pub(super) initial_members: MemberSet,
}

/// Log record: one change of the stored state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum StoredRecord {
    /// Term and vote.
    HardState(HardState),
    /// Log entry, which replaces all earlier records of its index and higher ones.
    Entry(LogEntry),
    /// Discards all entries; the log continues after the installed snapshot's last entry.
    Reset { index: LogIndex, term: Term },
}

/// Frames that were read from a segment.
#[derive(Clone, Debug, Default)]
pub(super) struct ReadFrames {
    /// Length of all complete frames, in bytes.
    pub(super) bytes: u64,
    /// Last complete frame.
    pub(super) last: Vec<u8>,
}

/// Last segment of the log, which is open for appending.
#[derive(Debug)]
pub(super) struct OpenSegment<F> {
    file: F,
    pub(super) number: u64,
    /// Offset of the end of the last frame.
    pub(super) bytes: u64,
    /// Offset up to which the frames are durable.
    pub(super) synced_bytes: u64,
    /// Length of the file, including the reserved zeros.
    reserved_end: u64,
    reserve_step_bytes: u64,
}

impl<F: DiskFile> OpenSegment<F> {
    /// Wraps a file that holds `bytes` durable bytes of frames and will grow to about
    /// `segment_bytes`.
    fn new(file: F, number: u64, bytes: u64, segment_bytes: u64) -> Self {
        Self {
            file,
            number,
            bytes,
            synced_bytes: bytes,
            reserved_end: bytes,
            reserve_step_bytes: segment_bytes.min(RESERVE_STEP_BYTES),
        }
    }

    /// Opens the last segment of a log that was read, without the bytes after its frames.
    ///
    /// Its last frame, whose sync may have failed in an earlier process, is durable on return.
    pub(super) fn reopen<D: DiskFolder<File = F>>(
        folder: &D,
        number: u64,
        frames: &ReadFrames,
        segment_bytes: u64,
    ) -> Result<Self, StorageError> {
        let name = segment_name(number);
        let mut file = folder
            .reopen(&name, frames.bytes)
            .map_err(StorageError::io(&name))?;
        let last_offset = frames.bytes - frames.last.len() as u64;
        file.rewrite(last_offset, &frames.last)
            .and_then(|()| file.sync())
            .map_err(StorageError::io(&name))?;
        Ok(Self::new(file, number, frames.bytes, segment_bytes))
    }

    /// Creates a segment file; file and header are durable on return.
    pub(super) fn create<D: DiskFolder<File = F>>(
        folder: &D,
        number: u64,
        header: &SegmentHeader,
        segment_bytes: u64,
    ) -> Result<Self, StorageError> {
        let name = segment_name(number);
        let file = folder.create(&name).map_err(StorageError::io(&name))?;
        let mut segment = Self::new(file, number, 0, segment_bytes);
        segment.append(header)?;
        segment.sync()?;
        let synced = folder.sync_folder();
        synced.map_err(StorageError::io(folder.label()))?;
        Ok(segment)
    }

    pub(super) fn append<T: Serialize>(&mut self, value: &T) -> Result<(), StorageError> {
        let frame = encode_frame(value, self.number, self.bytes);
        let end = self.bytes + frame.len() as u64;
        let written = self.reserve(end).and_then(|()| self.file.append(&frame));
        written.map_err(StorageError::io(segment_name(self.number)))?;
        self.bytes = end;
        Ok(())
    }

    /// Extends the file by zeros if it ends before `end`.
    fn reserve(&mut self, end: u64) -> io::Result<()> {
        if end <= self.reserved_end {
            return Ok(());
        }
        let bytes = end - self.reserved_end + self.reserve_step_bytes;
        self.file.reserve(bytes)?;
        self.reserved_end += bytes;
        Ok(())
    }

    pub(super) fn sync(&mut self) -> Result<(), StorageError> {
        let synced = self.file.sync();
        synced.map_err(StorageError::io(segment_name(self.number)))?;
        self.synced_bytes = self.bytes;
        Ok(())
    }
}

pub(super) fn segment_name(number: u64) -> String {
    format!("segment-{number:016x}.log")
}

pub(super) fn segment_number(name: &str) -> Option<u64> {
    let digits = name.strip_prefix("segment-")?.strip_suffix(".log")?;
    u64::from_str_radix(digits, 16).ok()
}
