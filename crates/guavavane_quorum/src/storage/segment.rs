//! Log segments: numbered files of frames, the first of which describes the segment.

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

/// Version of the format.
pub(super) const FORMAT_VERSION: u16 = 1;

/// Zeros that are written ahead of the log at a time.
const RESERVE_BYTES: u64 = 1 << 20;

/// First frame of a segment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct SegmentHeader {
    pub(super) version: u16,
    pub(super) replica: ReplicaId,
    /// Term and vote when the segment was begun.
    pub(super) hard_state: HardState,
    /// Last entry before the segment.
    pub(super) base_index: LogIndex,
    pub(super) base_term: Term,
    /// Members before the first entry of the log.
    pub(super) first_members: MemberSet,
}

/// One change of the stored state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum StoredRecord {
    /// Term and vote.
    HardState(HardState),
    /// An entry; it replaces those from its index on.
    Entry(LogEntry),
    /// The log starts anew after a snapshot.
    Restart { index: LogIndex, term: Term },
}

/// The segment that is written to.
#[derive(Debug)]
pub(super) struct OpenSegment<F> {
    file: F,
    pub(super) number: u64,
    /// End of the last frame.
    pub(super) bytes: u64,
    /// End of the file, behind the zeros.
    reserved: u64,
    reserve_bytes: u64,
}

impl<F: DiskFile> OpenSegment<F> {
    /// A segment that holds `bytes` bytes and will hold about `segment_bytes`.
    pub(super) fn new(file: F, number: u64, bytes: u64, segment_bytes: u64) -> Self {
        Self {
            file,
            number,
            bytes,
            reserved: bytes,
            reserve_bytes: segment_bytes.min(RESERVE_BYTES),
        }
    }

    /// Creates a segment whose header is durable on return.
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

    /// Writes zeros ahead if the file ends before `end`.
    fn reserve(&mut self, end: u64) -> io::Result<()> {
        if end <= self.reserved {
            return Ok(());
        }
        let bytes = end - self.reserved + self.reserve_bytes;
        self.file.reserve(bytes)?;
        self.reserved += bytes;
        Ok(())
    }

    pub(super) fn sync(&mut self) -> Result<(), StorageError> {
        let synced = self.file.sync();
        synced.map_err(StorageError::io(segment_name(self.number)))
    }
}

pub(super) fn segment_name(number: u64) -> String {
    format!("segment-{number:016x}.log")
}

pub(super) fn segment_number(name: &str) -> Option<u64> {
    let digits = name.strip_prefix("segment-")?.strip_suffix(".log")?;
    u64::from_str_radix(digits, 16).ok()
}
