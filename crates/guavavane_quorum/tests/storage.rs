//! Log store on faulty disks: corruption at every offset, crashes, full disks and failed syncs.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

#[path = "network/memory_disk.rs"]
mod memory_disk;

use bolero::generator::TypeGenerator;
use bolero::produce;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::memory_disk::MemoryDisk;
use guavavane_model::identity::CellId;
use guavavane_quorum::core::StoredState;
use guavavane_quorum::entry::EntryPayload;
use guavavane_quorum::entry::HardState;
use guavavane_quorum::entry::LogEntry;
use guavavane_quorum::entry::SnapshotImage;
use guavavane_quorum::prelude::*;
use guavavane_quorum::storage::DiskFolder;
use guavavane_quorum::storage::LogStore;
use guavavane_testing::for_each_seeded_value;

const SEQUENCE_COUNT: u64 = 50_000;
const SEGMENT_BYTES: u64 = 250;
/// Segment size of several sectors, in bytes.
const LONG_SEGMENT_BYTES: u64 = 3_000;

/// Number of operations up to which a snapshot and the removals after it are interrupted.
const REMOVAL_OPERATIONS_MAX: usize = 40;
/// Number of crashes after each of them.
const REMOVAL_SEED_COUNT: u64 = 32;

type OpenResult = Result<(LogStore<MemoryDisk>, StoredState), StorageError>;

fn open(disk: &MemoryDisk) -> OpenResult {
    LogStore::open(disk.clone(), SEGMENT_BYTES)
}

fn open_with_long_segments(disk: &MemoryDisk) -> OpenResult {
    LogStore::open(disk.clone(), LONG_SEGMENT_BYTES)
}

fn new_disk() -> MemoryDisk {
    let disk = MemoryDisk::default();
    let address = "127.0.0.1:1".parse().unwrap();
    let role = MemberRole::Voter;
    let id = ReplicaId(1);
    let members = [ReplicaMember { id, address, role }];
    init_cluster(&disk, CellId(0), id, members.into_iter().collect()).unwrap();
    disk
}

/// State that the log store should return when it is opened.
#[derive(Clone, Debug, Default, PartialEq)]
struct ExpectedState {
    hard_state: HardState,
    snapshot: Option<SnapshotImage>,
    entries: Vec<LogEntry>,
}

impl ExpectedState {
    fn of(state: StoredState) -> Self {
        Self {
            hard_state: state.hard_state,
            snapshot: state.snapshot,
            entries: state.entries,
        }
    }

    fn base(&self) -> (LogIndex, Term) {
        let base = self.snapshot.as_ref().map(|s| (s.index, s.term));
        base.unwrap_or_default()
    }

    fn last(&self) -> (LogIndex, Term) {
        let last = self.entries.last().map(|e| (e.index, e.term));
        last.unwrap_or(self.base())
    }

    /// Removes up to `replaced` of the last entries, then appends `count` entries.
    fn append(&mut self, count: u8, replaced: u8, term: Term) -> Vec<LogEntry> {
        let kept = self.entries.len().saturating_sub(usize::from(replaced));
        self.entries.truncate(kept);
        let mut added = Vec::new();
        for number in 0..count {
            let bytes = vec![number; usize::from(number) * 3];
            added.push(LogEntry {
                index: self.last().0.next(),
                term,
                payload: EntryPayload::Command(bytes.into()),
            });
            self.entries.extend(added.last().cloned());
        }
        added
    }

    fn compact(&mut self, image: SnapshotImage) {
        self.entries.retain(|e| e.index > image.index);
        self.snapshot = Some(image);
    }

    fn image(index: LogIndex, term: Term) -> SnapshotImage {
        SnapshotImage {
            index,
            term,
            members: MemberSet::default(),
            bytes: vec![index.0 as u8; 40].into(),
        }
    }
}

/// Builds a log of several segments with a snapshot; returns also the state after each sync.
fn build_small_log(open: fn(&MemoryDisk) -> OpenResult) -> (MemoryDisk, Vec<ExpectedState>) {
    let disk = new_disk();
    let (mut store, _) = open(&disk).unwrap();
    let mut state = ExpectedState::default();
    let mut states = vec![state.clone()];
    for step in 1..=14u8 {
        let term = Term(u64::from(step / 4));
        let vote = Some(ReplicaId(u64::from(step)));
        state.hard_state = HardState { term, vote };
        store.save_hard_state(state.hard_state);
        store.append(state.append(3, step % 3, term));
        store.sync().unwrap();
        states.push(state.clone());
        if step == 8 {
            let (index, term) = state.last();
            let image = ExpectedState::image(index, term);
            store.save_snapshot(&image).unwrap();
            state.compact(image);
            states = vec![state.clone()];
        }
    }
    (disk, states)
}

fn last_segment(disk: &MemoryDisk) -> String {
    let names = disk.list().unwrap();
    let mut segments = names.into_iter().filter(|n| n.starts_with("segment"));
    segments.next_back().unwrap()
}

/// Guards against a store that opens a truncated file with entries missing in the middle.
#[test]
fn truncation_at_every_offset_gives_a_prefix_or_an_error() {
    let (disk, states) = build_small_log(open);
    let last = last_segment(&disk);
    for name in disk.list().unwrap() {
        let bytes = disk.read(&name).unwrap();
        for length in 0..bytes.len() {
            let truncated = disk.copy();
            truncated.write_synced(&name, bytes[..length].to_vec());
            match open(&truncated) {
                Ok((store, state)) => {
                    let state = ExpectedState::of(state);
                    assert!(states.contains(&state), "{name} cut to {length}");
                    // Earlier files were complete when the last segment was created.
                    let reopens_equal = ExpectedState::of(open(&truncated).unwrap().1) == state;
                    assert!(name == last || state == *states.last().unwrap());
                    assert!(reopens_equal, "the second open finds the same state");
                    check_append_after_recovery(&truncated, store, state);
                }
                Err(error) => assert_refusal(&error, &name, length),
            }
        }
    }
}

/// Checks that a truncated log accepts new entries.
fn check_append_after_recovery(
    disk: &MemoryDisk,
    mut store: LogStore<MemoryDisk>,
    mut state: ExpectedState,
) {
    store.append(state.append(2, 0, Term(9)));
    store.sync().unwrap();
    assert_eq!(ExpectedState::of(open(disk).unwrap().1), state);
}

fn assert_refusal(error: &StorageError, name: &str, offset: usize) {
    match error {
        StorageError::Corrupt {
            file, offset: at, ..
        } => {
            let follows = name.starts_with("segment") && file.as_str() > name;
            assert!(file == name || follows, "{error} for {name} at {offset}");
            assert!(
                *at <= offset as u64 || follows,
                "{error} for {name} at {offset}"
            );
        }
        other => panic!("{other} for {name} at {offset}"),
    }
}

/// Guards against corrupt bytes taken for a torn write, after which synced entries are lost.
#[test]
fn a_bit_flip_at_every_offset_is_refused() {
    flip_every_bit(open);
    flip_every_bit(open_with_long_segments);
}

fn flip_every_bit(open: fn(&MemoryDisk) -> OpenResult) {
    let (disk, states) = build_small_log(open);
    let last = last_segment(&disk);
    for name in disk.list().unwrap() {
        let bytes = disk.read(&name).unwrap();
        for offset in 0..bytes.len() {
            for bit in 0..8 {
                let flipped = disk.copy();
                let mut damaged = bytes.clone();
                damaged[offset] ^= 1 << bit;
                flipped.write_synced(&name, damaged);
                match open(&flipped) {
                    Err(error) => assert_refusal(&error, &name, offset),
                    Ok((_, state)) => {
                        // A flipped bit in the zeros after the last frame loses nothing.
                        let unused = bytes[offset..].iter().all(|b| *b == 0);
                        assert!(name == last && unused, "{name} bit {bit} of {offset}");
                        assert_eq!(Some(&ExpectedState::of(state)), states.last());
                    }
                }
            }
        }
    }
}

/// Guards against the truncation of a synced frame: its sectors of zeros look unwritten.
#[test]
fn damage_to_a_frame_of_zeros_is_refused_if_another_follows() {
    let disk = new_disk();
    let (mut store, _) = open_with_long_segments(&disk).unwrap();
    for index in [LogIndex(1), LogIndex(2)] {
        let payload = EntryPayload::Command(vec![0; 1_000].into());
        let term = Term(1);
        store.append(vec![LogEntry {
            index,
            term,
            payload,
        }]);
        store.sync().unwrap();
    }
    let name = last_segment(&disk);
    let mut bytes = disk.read(&name).unwrap();
    bytes[300] ^= 1;
    disk.write_synced(&name, bytes);
    let error = open_with_long_segments(&disk).err().unwrap();
    assert_refusal(&error, &name, 300);
}

/// Guards against a store that opens without one of its files.
#[test]
fn a_missing_file_is_refused() {
    let (disk, states) = build_small_log(open);
    let last = last_segment(&disk);
    for name in disk.list().unwrap() {
        let without = disk.copy();
        without.remove(&name).unwrap();
        let opened = open(&without);
        // A crash before the last segment was created leaves the other files without it.
        match opened {
            Ok((_, state)) if name == last => {
                assert!(states.contains(&ExpectedState::of(state)));
            }
            Ok(_) => panic!("the missing {name} is not detected"),
            Err(StorageError::Corrupt { .. } | StorageError::NoIdentity { .. }) => {}
            Err(error) => panic!("{error} without {name}"),
        }
    }
}

/// Length of the content without the reserved zeros at the end.
fn written_bytes(bytes: &[u8]) -> usize {
    let last = bytes.iter().rposition(|b| *b != 0);
    last.map_or(0, |last| last + 1)
}

/// Guards against a replica that can't start after a crash in the middle of a write.
#[test]
fn a_last_frame_with_a_torn_sector_is_truncated() {
    let disk = new_disk();
    let (mut store, _) = LogStore::open(disk.clone(), 1 << 20).unwrap();
    let mut state = ExpectedState::default();
    store.append(state.append(30, 0, Term(1)));
    store.sync().unwrap();
    let before = written_bytes(&disk.read(&last_segment(&disk)).unwrap());
    let mut later = state.clone();
    store.append(later.append(30, 0, Term(1)));
    store.sync().unwrap();
    let name = last_segment(&disk);
    let bytes = disk.read(&name).unwrap();
    for sector in before / 512 + 1..written_bytes(&bytes) / 512 {
        let torn = disk.copy();
        let mut unwritten = bytes.clone();
        unwritten[sector * 512..(sector + 1) * 512].fill(0);
        torn.write_synced(&name, unwritten);
        let (_, opened) = LogStore::open(torn, 1 << 20).unwrap();
        assert_eq!(ExpectedState::of(opened), state, "sector {sector}");
    }
}

/// Guards against torn frames taken for corruption at some offset within a sector.
#[test]
fn a_frame_torn_at_any_alignment_is_truncated() {
    for padding in 0..512 {
        let disk = new_disk();
        let (mut store, _) = open_with_long_segments(&disk).unwrap();
        let mut entry = LogEntry {
            index: LogIndex(1),
            term: Term(1),
            payload: EntryPayload::Command(vec![1; padding].into()),
        };
        store.append(vec![entry.clone()]);
        store.sync().unwrap();
        let name = last_segment(&disk);
        let start = written_bytes(&disk.read(&name).unwrap());
        entry.index = LogIndex(2);
        entry.payload = EntryPayload::Command(vec![2; 600].into());
        store.append(vec![entry]);
        store.sync().unwrap();
        let mut bytes = disk.read(&name).unwrap();
        bytes[(start / 512 + 1) * 512..].fill(0);
        disk.write_synced(&name, bytes);
        let (_, state) = open_with_long_segments(&disk).unwrap();
        assert_eq!(state.entries.len(), 1, "padding {padding}");
    }
}

/// Guards against a folder that can't be opened after power was lost while several segments that a
/// snapshot covers were removed: each removal may be durable or not.
#[test]
fn a_power_loss_between_removals_of_segments_leaves_a_readable_folder() {
    for operations in 0..REMOVAL_OPERATIONS_MAX {
        for seed in 0..REMOVAL_SEED_COUNT {
            let disk = new_disk();
            let (mut store, _) = open(&disk).unwrap();
            let mut state = ExpectedState::default();
            for _ in 0..20 {
                store.append(state.append(5, 0, Term(1)));
                store.sync().unwrap();
            }
            let (index, term) = state.last();
            disk.fail_after(operations);
            // The result doesn't matter: power is lost during the call or after it.
            let _ = store.save_snapshot(&ExpectedState::image(index, term));
            disk.crash(&mut ChaCha8Rng::seed_from_u64(seed));
            let reopened = open(&disk).map(|(_, state)| ExpectedState::of(state).last());
            let last = reopened.unwrap_or_else(|error| {
                panic!("after {operations} operations, seed {seed}: {error}")
            });
            assert_eq!(last, (index, term));
        }
    }
}

/// Builds a store with two synced frames whose next write has failed on a full disk.
fn build_failed_store() -> (MemoryDisk, LogStore<MemoryDisk>, ExpectedState) {
    let disk = new_disk();
    let (mut store, _) = open_with_long_segments(&disk).unwrap();
    let mut state = ExpectedState::default();
    for _ in 0..2 {
        store.append(state.append(1, 0, Term(1)));
        store.sync().unwrap();
    }
    disk.limit_space(0);
    let payload = EntryPayload::Command(vec![1; LONG_SEGMENT_BYTES as usize].into());
    store.append(vec![LogEntry {
        index: LogIndex(3),
        term: Term(1),
        payload,
    }]);
    store.sync().unwrap_err();
    (disk, store, state)
}

/// Guards against a store that counts as recovered while its disk takes no more bytes.
#[test]
fn a_store_recovers_only_once_its_disk_has_space() {
    let (disk, mut store, state) = build_failed_store();
    store.recover().unwrap_err();
    store.sync().unwrap_err();
    disk.clear_faults();
    assert_eq!(ExpectedState::of(store.recover().unwrap()), state);
    store.sync().unwrap();
}

/// Guards against votes and acknowledgements that are forgotten because the disk lost synced bytes.
#[test]
fn a_store_does_not_recover_without_its_synced_frames() {
    let (disk, mut store, _) = build_failed_store();
    let name = last_segment(&disk);
    let mut bytes = disk.read(&name).unwrap();
    let end = written_bytes(&bytes);
    bytes[end - 20..].fill(0);
    disk.write_synced(&name, bytes);
    disk.clear_faults();
    let error = store.recover().unwrap_err();
    assert!(matches!(error, StorageError::Corrupt { .. }), "{error}");
}

#[derive(Clone, Copy, Debug, TypeGenerator)]
enum StoreEvent {
    /// Number of entries to append, and number of last entries that they replace.
    Append(#[generator(0..6)] u8, #[generator(0..4)] u8),
    Vote(u8),
    Sync,
    Snapshot,
    /// Installs a snapshot of the last entry if set and there is one, and otherwise a snapshot of a
    /// later entry, which resets the log.
    Install(bool),
    Crash(u64),
    LimitSpace(u8),
    FailSyncs,
    /// Lets the disk fail after this number of further operations.
    FailAfter(#[generator(0..12)] u8),
    /// Reads the folder of a failed store again; ends the faults of the disk before if set.
    Recover(bool),
}

/// Guards against the loss of synced state in any order of writes, crashes and disk faults.
#[test]
fn a_store_loses_nothing_that_was_synced() {
    let events = produce::<Vec<StoreEvent>>().with().len(5..80usize);
    for_each_seeded_value(SEQUENCE_COUNT, events, |seed, events| {
        let mut model = StoreModel::new([open, open_with_long_segments][seed as usize % 2]);
        for event in events {
            model.apply_event(event);
        }
        model.crash(seed);
    });
}

struct StoreModel {
    open: fn(&MemoryDisk) -> OpenResult,
    disk: MemoryDisk,
    store: LogStore<MemoryDisk>,
    /// State after the last successful sync.
    synced: ExpectedState,
    /// State if all writes so far are durable.
    written: ExpectedState,
    term: Term,
    failed: bool,
}

impl StoreModel {
    fn new(open: fn(&MemoryDisk) -> OpenResult) -> Self {
        let disk = new_disk();
        let (store, _) = open(&disk).unwrap();
        Self {
            open,
            disk,
            store,
            synced: ExpectedState::default(),
            written: ExpectedState::default(),
            term: Term(1),
            failed: false,
        }
    }

    fn apply_event(&mut self, event: StoreEvent) {
        match event {
            StoreEvent::Append(..) | StoreEvent::Vote(_) if self.failed => self.sync(),
            StoreEvent::Append(count, replaced) => {
                self.term = self.term.next();
                let entries = self.written.append(count, replaced, self.term);
                // Entries are only removed by writing others in their place.
                if count == 0 {
                    self.written = self.synced.clone();
                    return self.crash(u64::from(replaced));
                }
                self.store.append(entries);
            }
            StoreEvent::Vote(vote) => {
                let term = self.term;
                let vote = Some(ReplicaId(u64::from(vote)));
                self.written.hard_state = HardState { term, vote };
                self.store.save_hard_state(self.written.hard_state);
            }
            StoreEvent::Sync => self.sync(),
            StoreEvent::Snapshot => self.snapshot(),
            StoreEvent::Install(keep_log) => self.install(keep_log),
            StoreEvent::Crash(seed) => self.crash(seed),
            StoreEvent::LimitSpace(free_bytes) => self.disk.limit_space(usize::from(free_bytes)),
            StoreEvent::FailSyncs => self.disk.fail_syncs(),
            StoreEvent::FailAfter(operations) => self.disk.fail_after(usize::from(operations)),
            StoreEvent::Recover(end_faults) => self.recover(end_faults),
        }
    }

    fn record_result(&mut self, result: Result<(), StorageError>) {
        assert!(
            !self.failed || result.is_err(),
            "a store accepts work after a failed write"
        );
        self.failed = result.is_err();
        if !self.failed {
            self.synced = self.written.clone();
        }
    }

    fn sync(&mut self) {
        let result = self.store.sync();
        self.record_result(result);
    }

    fn snapshot(&mut self) {
        self.sync();
        let Some(entry) = self.synced.entries.get(self.synced.entries.len() / 2) else {
            return;
        };
        if self.failed {
            return;
        }
        let image = ExpectedState::image(entry.index, entry.term);
        self.written.compact(image.clone());
        let result = self.store.save_snapshot(&image);
        self.record_result(result);
    }

    fn install(&mut self, keep_log: bool) {
        self.sync();
        if self.failed {
            return;
        }
        let (last, term) = self.synced.last();
        let newest = self.synced.entries.last().filter(|_| keep_log);
        let image = match newest {
            Some(entry) => ExpectedState::image(entry.index, entry.term),
            None => ExpectedState::image(LogIndex(last.0 + 3), term.next()),
        };
        self.written.compact(image.clone());
        if newest.is_none() {
            self.written.entries.clear();
        }
        self.term = self.term.max(image.term);
        let result = self.store.install_snapshot(&image, newest.is_some());
        self.record_result(result);
    }

    /// Lets a failed store read its folder again; it must succeed on a sound disk.
    fn recover(&mut self, end_faults: bool) {
        if !self.failed {
            return;
        }
        if end_faults {
            self.disk.clear_faults();
        }
        match self.store.recover() {
            Ok(state) => self.adopt(ExpectedState::of(state)),
            Err(error) => assert!(!end_faults, "{error} on a sound disk"),
        }
    }

    /// Crashes the disk and checks that it holds the synced state or the written one.
    fn crash(&mut self, seed: u64) {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        self.disk.crash(&mut random);
        let (store, state) = (self.open)(&self.disk).unwrap();
        self.store = store;
        self.adopt(ExpectedState::of(state));
    }

    /// Checks that the state on disk is the synced one or the written one, and goes on with it.
    fn adopt(&mut self, state: ExpectedState) {
        let expected = state == self.synced || state == self.written;
        assert!(
            expected,
            "{state:#?} is neither {:#?} nor {:#?}",
            self.synced, self.written
        );
        self.synced = state.clone();
        self.written = state;
        self.failed = false;
    }
}
