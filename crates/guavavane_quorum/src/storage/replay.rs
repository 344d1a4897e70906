//! Replay of the log segments when a replica starts.

use super::disk::DiskFolder;
use super::frame::decode_body;
use super::frame::read_frame;
use super::frame::FrameRead;
use super::segment::segment_name;
use super::segment::segment_number;
use super::segment::ReadFrames;
use super::segment::SegmentHeader;
use super::segment::StoredRecord;
use super::segment::FORMAT_VERSION;
use super::StorageError;
use crate::entry::HardState;
use crate::entry::LogEntry;
use crate::entry::LogIndex;
use crate::entry::Term;
use crate::member::MemberSet;
use crate::member::ReplicaId;

/// Segment that is no longer written to.
#[derive(Clone, Copy, Debug)]
pub(super) struct ClosedSegment {
    pub(super) number: u64,
    /// Highest index in the segment; 0 without entries.
    pub(super) last_index: LogIndex,
}

/// State of the log, as read from the segments so far.
#[derive(Debug)]
pub(super) struct LogReplay {
    replica: ReplicaId,
    snapshot_index: LogIndex,
    pub(super) hard_state: HardState,
    pub(super) initial_members: MemberSet,
    pub(super) last_index: LogIndex,
    /// Term of the entry at the snapshot's index, if it was read.
    pub(super) term_at_snapshot: Option<Term>,
    /// Entries after the snapshot.
    pub(super) entries: Vec<LogEntry>,
    pub(super) segments: Vec<ClosedSegment>,
    /// Complete frames of the last segment.
    pub(super) frames: ReadFrames,
}

/// Reads all segments.
///
/// A torn frame at the end is skipped; [`LogStore::open`](super::LogStore::open) truncates it.
/// A last segment whose header was not completely written is removed.
pub(super) fn replay<D: DiskFolder>(
    folder: &D,
    replica: ReplicaId,
    snapshot_index: LogIndex,
) -> Result<LogReplay, StorageError> {
    let mut log = LogReplay {
        replica,
        snapshot_index,
        hard_state: HardState::default(),
        initial_members: MemberSet::default(),
        last_index: LogIndex(0),
        term_at_snapshot: None,
        entries: Vec::new(),
        segments: Vec::new(),
        frames: ReadFrames::default(),
    };
    let numbers = segment_numbers(folder)?;
    for (position, number) in numbers.iter().enumerate() {
        let is_last = position + 1 == numbers.len();
        let name = segment_name(*number);
        let bytes = folder.read(&name).map_err(StorageError::io(&name))?;
        if is_last && position > 0 && has_torn_header(&bytes, *number) {
            folder.remove(&name).map_err(StorageError::io(&name))?;
            // A crash must not bring the segment back once the previous one is written to again.
            let synced = folder.sync_folder();
            synced.map_err(StorageError::io(folder.label()))?;
            break;
        }
        log.read_segment(*number, &bytes, is_last)
            .map_err(|(offset, reason)| StorageError::Corrupt {
                file: name,
                offset: offset as u64,
                reason,
            })?;
    }
    Ok(log)
}

fn segment_numbers<D: DiskFolder>(folder: &D) -> Result<Vec<u64>, StorageError> {
    let names = folder.list().map_err(StorageError::io(folder.label()))?;
    let mut numbers: Vec<u64> = names.iter().filter_map(|n| segment_number(n)).collect();
    numbers.sort_unstable();
    let missing = numbers.windows(2).find(|pair| pair[0] + 1 != pair[1]);
    let missing_number = match missing {
        Some(pair) => Some(pair[0] + 1),
        None => numbers.is_empty().then_some(1),
    };
    match missing_number {
        None => Ok(numbers),
        Some(number) => Err(StorageError::Corrupt {
            file: segment_name(number),
            offset: 0,
            reason: "the segment is missing",
        }),
    }
}

/// Whether a crash interrupted the creation of the segment, which then holds no records.
///
/// The segment before it is complete.
fn has_torn_header(bytes: &[u8], number: u64) -> bool {
    matches!(
        read_frame(bytes, number, 0),
        FrameRead::End | FrameRead::Torn
    )
}

type ReadResult<T> = Result<T, (usize, &'static str)>;

impl LogReplay {
    fn read_segment(&mut self, number: u64, bytes: &[u8], is_last: bool) -> ReadResult<()> {
        let FrameRead::Complete { body, next } = read_frame(bytes, number, 0) else {
            return Err((0, "the segment's header fails its checksum"));
        };
        let header = decode_body(body).ok_or((0, "the segment's header can't be decoded"))?;
        self.apply_header(header)?;
        self.segments.push(ClosedSegment {
            number,
            last_index: LogIndex(0),
        });
        let mut last = 0..next;
        let mut offset = next;
        loop {
            match read_frame(bytes, number, offset) {
                FrameRead::Complete { body, next } => {
                    self.apply_frame(body, offset)?;
                    last = offset..next;
                    offset = next;
                }
                FrameRead::End => break,
                FrameRead::Torn if is_last => break,
                FrameRead::Torn => return Err((offset, "a record of a closed segment is torn")),
                FrameRead::Corrupt => return Err((offset, "a record fails its checksum")),
            }
        }
        self.frames = ReadFrames {
            bytes: offset as u64,
            last: bytes[last].to_vec(),
        };
        Ok(())
    }

    fn apply_header(&mut self, header: SegmentHeader) -> ReadResult<()> {
        if header.version != FORMAT_VERSION {
            return Err((0, "the segment has an unknown format version"));
        }
        if header.replica != self.replica {
            return Err((0, "the segment belongs to another replica"));
        }
        if self.segments.is_empty() {
            if header.base_index > self.snapshot_index {
                return Err((
                    0,
                    "entries between the snapshot and the segment are missing",
                ));
            }
            self.last_index = header.base_index;
            if header.base_index == self.snapshot_index {
                self.term_at_snapshot = Some(header.base_term);
            }
        }
        if header.base_index != self.last_index {
            return Err((0, "the segment does not continue the one before it"));
        }
        self.hard_state = header.hard_state;
        self.initial_members = header.initial_members;
        Ok(())
    }

    fn apply_frame(&mut self, body: &[u8], offset: usize) -> ReadResult<()> {
        let records = decode_body::<Vec<StoredRecord>>(body);
        let records = records.ok_or((offset, "a record can't be decoded"))?;
        for record in records {
            match record {
                StoredRecord::HardState(state) => self.hard_state = state,
                StoredRecord::Entry(entry) => self.apply_entry(entry, offset)?,
                StoredRecord::Reset { index, term } => self.reset_log(index, term),
            }
        }
        Ok(())
    }

    fn reset_log(&mut self, index: LogIndex, term: Term) {
        self.entries.clear();
        self.last_index = index;
        self.term_at_snapshot = (index == self.snapshot_index).then_some(term);
        self.record_index(index);
    }

    fn apply_entry(&mut self, entry: LogEntry, offset: usize) -> ReadResult<()> {
        let index = entry.index;
        if index > self.last_index.next() {
            return Err((offset, "entries before this one are missing"));
        }
        self.last_index = index;
        self.record_index(index);
        while self.entries.last().is_some_and(|e| e.index >= index) {
            self.entries.pop();
        }
        if index > self.snapshot_index {
            self.entries.push(entry);
        } else {
            let is_snapshot_index = index == self.snapshot_index;
            self.term_at_snapshot = is_snapshot_index.then_some(entry.term);
        }
        Ok(())
    }

    /// Raises the highest index of the segment that is being read.
    fn record_index(&mut self, index: LogIndex) {
        if let Some(segment) = self.segments.last_mut() {
            segment.last_index = segment.last_index.max(index);
        }
    }
}
