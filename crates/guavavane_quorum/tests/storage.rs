//! Properties of the log on disk: damage at every offset, crashes, full and failing disks.

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

const SEQUENCES: u64 = 50_000;
const SEGMENT_BYTES: u64 = 250;
/// Several sectors.
const LONG_SEGMENT_BYTES: u64 = 3_000;

type Opened = Result<(LogStore<MemoryDisk>, StoredState), StorageError>;

fn open(disk: &MemoryDisk) -> Opened {
    LogStore::open(disk.clone(), SEGMENT_BYTES)
}

fn open_long(disk: &MemoryDisk) -> Opened {
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

/// What the log should hold.
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

    /// Appends `count` entries after dropping up to `replaced` of the last ones.
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

/// A small log of several segments with a snapshot, and its state after each sync.
fn small_log(open: fn(&MemoryDisk) -> Opened) -> (MemoryDisk, Vec<ExpectedState>) {
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

#[test]
fn truncation_at_every_offset_gives_a_prefix_or_a_refusal() {
    let (disk, states) = small_log(open);
    let last = last_segment(&disk);
    for name in disk.list().unwrap() {
        let bytes = disk.read(&name).unwrap();
        for length in 0..bytes.len() {
            let cut = disk.copy();
            cut.put(&name, bytes[..length].to_vec());
            match open(&cut) {
                Ok((store, state)) => {
                    let state = ExpectedState::of(state);
                    assert!(states.contains(&state), "{name} cut to {length}");
                    // Earlier files were complete when the last segment was begun.
                    let whole_frames = ExpectedState::of(open(&cut).unwrap().1) == state;
                    assert!(name == last || state == *states.last().unwrap());
                    assert!(whole_frames, "reopening cuts once");
                    go_on(&cut, store, state);
                }
                Err(error) => assert_refusal(&error, &name, length),
            }
        }
    }
}

/// A log that was cut goes on from there.
fn go_on(disk: &MemoryDisk, mut store: LogStore<MemoryDisk>, mut state: ExpectedState) {
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

#[test]
fn a_bit_flip_at_every_offset_is_refused() {
    flip_every_bit(open);
    flip_every_bit(open_long);
}

fn flip_every_bit(open: fn(&MemoryDisk) -> Opened) {
    let (disk, states) = small_log(open);
    let last = last_segment(&disk);
    for name in disk.list().unwrap() {
        let bytes = disk.read(&name).unwrap();
        for offset in 0..bytes.len() {
            for bit in 0..8 {
                let flipped = disk.copy();
                let mut damaged = bytes.clone();
                damaged[offset] ^= 1 << bit;
                flipped.put(&name, damaged);
                match open(&flipped) {
                    Err(error) => assert_refusal(&error, &name, offset),
                    Ok((_, state)) => {
                        // Behind the last record nothing is lost.
                        let unused = bytes[offset..].iter().all(|b| *b == 0);
                        assert!(name == last && unused, "{name} bit {bit} of {offset}");
                        assert_eq!(Some(&ExpectedState::of(state)), states.last());
                    }
                }
            }
        }
    }
}

#[test]
fn damage_to_a_record_of_zeros_is_refused_if_another_follows() {
    let disk = new_disk();
    let (mut store, _) = open_long(&disk).unwrap();
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
    disk.put(&name, bytes);
    let error = open_long(&disk).err().unwrap();
    assert_refusal(&error, &name, 300);
}

#[test]
fn a_missing_file_is_refused() {
    let (disk, states) = small_log(open);
    let last = last_segment(&disk);
    for name in disk.list().unwrap() {
        let without = disk.copy();
        without.remove(&name).unwrap();
        let opened = open(&without);
        // Only a crash before the last segment was begun leaves the others without it.
        match opened {
            Ok((_, state)) if name == last => {
                assert!(states.contains(&ExpectedState::of(state)));
            }
            Ok(_) => panic!("{name} is not missed"),
            Err(StorageError::Corrupt { .. } | StorageError::NoIdentity { .. }) => {}
            Err(error) => panic!("{error} without {name}"),
        }
    }
}

/// Length without the zeros that were written ahead.
fn written_bytes(bytes: &[u8]) -> usize {
    let last = bytes.iter().rposition(|b| *b != 0);
    last.map_or(0, |last| last + 1)
}

#[test]
fn a_torn_sector_of_the_last_record_is_cut() {
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
        torn.put(&name, unwritten);
        let (_, opened) = LogStore::open(torn, 1 << 20).unwrap();
        assert_eq!(ExpectedState::of(opened), state, "sector {sector}");
    }
}

#[test]
fn a_record_torn_at_any_alignment_is_cut() {
    for padding in 0..512 {
        let disk = new_disk();
        let (mut store, _) = open_long(&disk).unwrap();
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
        disk.put(&name, bytes);
        let (_, state) = open_long(&disk).unwrap();
        assert_eq!(state.entries.len(), 1, "padding {padding}");
    }
}

#[derive(Clone, Copy, Debug, TypeGenerator)]
enum StoreEvent {
    Append(#[generator(0..6)] u8, #[generator(0..4)] u8),
    Vote(u8),
    Sync,
    Snapshot,
    Install(bool),
    Crash(u64),
    FillUp(u8),
    FailSyncs,
}

#[test]
fn a_store_loses_nothing_that_was_synced() {
    let events = produce::<Vec<StoreEvent>>().with().len(5..80usize);
    for_each_seeded_value(SEQUENCES, events, |seed, events| {
        let mut run = StoreRun::new([open, open_long][seed as usize % 2]);
        for event in events {
            run.happen(event);
        }
        run.crash(seed);
    });
}

struct StoreRun {
    open: fn(&MemoryDisk) -> Opened,
    disk: MemoryDisk,
    store: LogStore<MemoryDisk>,
    /// State after the last sync that succeeded.
    synced: ExpectedState,
    /// State if all writes so far became durable.
    written: ExpectedState,
    term: Term,
    failed: bool,
}

impl StoreRun {
    fn new(open: fn(&MemoryDisk) -> Opened) -> Self {
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

    fn happen(&mut self, event: StoreEvent) {
        match event {
            StoreEvent::Append(..) | StoreEvent::Vote(_) if self.failed => self.sync(),
            StoreEvent::Append(count, replaced) => {
                self.term = self.term.next();
                let entries = self.written.append(count, replaced, self.term);
                // A leader replaces entries only by writing others in their place.
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
            StoreEvent::FillUp(room) => self.disk.fill_up(usize::from(room)),
            StoreEvent::FailSyncs => self.disk.fail_syncs(),
        }
    }

    fn note(&mut self, result: Result<(), StorageError>) {
        assert!(!self.failed || result.is_err(), "a failed store goes on");
        self.failed = result.is_err();
        if !self.failed {
            self.synced = self.written.clone();
        }
    }

    fn sync(&mut self) {
        let result = self.store.sync();
        self.note(result);
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
        self.note(result);
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
        self.note(result);
    }

    /// After a crash the disk holds what was synced, or all that was written.
    fn crash(&mut self, seed: u64) {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        self.disk.crash(&mut random);
        let (store, state) = (self.open)(&self.disk).unwrap();
        let state = ExpectedState::of(state);
        let expected = state == self.synced || state == self.written;
        assert!(
            expected,
            "{state:#?} is neither {:#?} nor {:#?}",
            self.synced, self.written
        );
        self.store = store;
        self.synced = state.clone();
        self.written = state;
        self.failed = false;
    }
}
