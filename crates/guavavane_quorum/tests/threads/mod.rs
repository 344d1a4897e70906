//! Replica threads on real disks, connected by in-process channels.

#![allow(dead_code, reason = "each test uses a part")]

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use indexmap::IndexSet;
use serde::Deserialize;
use serde::Serialize;

use guavavane_model::identity::CellId;
use guavavane_quorum::plugin::start_on_folder;
use guavavane_quorum::prelude::*;
use guavavane_quorum::storage::DiskFolder;

/// Maximum time to wait for an expected condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// Timeout of one proposal or read.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(20);

static NEXT_FOLDER_NUMBER: AtomicU64 = AtomicU64::new(0);

/// Temporary folder that is removed on drop.
pub(crate) struct ScratchFolder(pub(crate) PathBuf);

impl ScratchFolder {
    pub(crate) fn new() -> Self {
        let number = NEXT_FOLDER_NUMBER.fetch_add(1, Ordering::Relaxed);
        let name = format!("guavavane-quorum-{}-{number}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path).unwrap();
        Self(path)
    }
}

impl Drop for ScratchFolder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// State machine that appends numbers to a list.
#[derive(Default)]
pub(crate) struct ListMachine {
    pub(crate) values: Vec<u64>,
    pub(crate) filler_bytes: u64,
}

#[derive(Clone, Serialize, Deserialize)]
pub(crate) struct AddValue {
    pub(crate) value: u64,
    pub(crate) filler: Vec<u8>,
}

impl AddValue {
    pub(crate) fn new(value: u64) -> Self {
        let filler = Vec::new();
        Self { value, filler }
    }
}

impl StateMachine for ListMachine {
    type Command = AddValue;
    type Outcome = usize;

    fn apply(&mut self, _index: LogIndex, command: AddValue) -> usize {
        self.values.push(command.value);
        self.filler_bytes += command.filler.len() as u64;
        self.values.len()
    }

    fn snapshot(&self) -> Vec<u8> {
        let values = self.values.iter().flat_map(|v| v.to_le_bytes());
        values.collect()
    }

    fn restore(&mut self, bytes: &[u8]) -> Result<(), RestoreError> {
        let words = bytes.chunks_exact(8);
        self.values = words
            .map(|w| u64::from_le_bytes(w.try_into().unwrap()))
            .collect();
        Ok(())
    }
}

pub(crate) type TestHandle = QuorumHandle<ListMachine>;

type Inboxes = Arc<Mutex<IndexMap<SocketAddr, flume::Sender<PeerMessage>>>>;

/// Network between replicas of one process.
#[derive(Clone, Default)]
pub(crate) struct LocalNetwork {
    inboxes: Inboxes,
    partitioned: Arc<Mutex<IndexSet<SocketAddr>>>,
}

impl LocalNetwork {
    /// Starts a replica on an initialised folder of the file system.
    pub(crate) fn start(&self, settings: QuorumSettings, folder: PathBuf) -> TestHandle {
        let (inbox, outbox) = self.connect(settings.address);
        let plugin = QuorumPlugin {
            settings: settings.try_into().unwrap(),
            data_folder: folder,
            machine: ListMachine::default(),
        };
        plugin.start(inbox, outbox).unwrap()
    }

    /// Starts a replica on an initialised folder of any kind.
    pub(crate) fn start_on<D: DiskFolder>(&self, settings: QuorumSettings, disk: D) -> TestHandle {
        let (inbox, outbox) = self.connect(settings.address);
        let settings = settings.try_into().unwrap();
        start_on_folder(disk, settings, ListMachine::default(), inbox, outbox).unwrap()
    }

    /// Connects a replica at `address`; returns its inbox and outbox.
    fn connect(
        &self,
        address: SocketAddr,
    ) -> (flume::Receiver<PeerMessage>, flume::Sender<OutgoingMessage>) {
        let (sender, inbox) = flume::bounded(10_000);
        let (outbox, outgoing) = flume::bounded::<OutgoingMessage>(10_000);
        self.inboxes.lock().unwrap().insert(address, sender);
        let network = self.clone();
        thread::spawn(move || {
            for message in outgoing {
                network.deliver(address, message);
            }
        });
        (inbox, outbox)
    }

    fn deliver(&self, from: SocketAddr, message: OutgoingMessage) {
        let partitioned = self.partitioned.lock().unwrap();
        if partitioned.contains(&from) || partitioned.contains(&message.address) {
            return;
        }
        if let Some(inbox) = self.inboxes.lock().unwrap().get(&message.address) {
            let _ = inbox.try_send(message.message);
        }
    }

    pub(crate) fn partition(&self, address: SocketAddr) {
        self.partitioned.lock().unwrap().insert(address);
    }

    pub(crate) fn heal(&self, address: SocketAddr) {
        self.partitioned.lock().unwrap().shift_remove(&address);
    }
}

pub(crate) fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1_000 + number))
}

/// Initialises the folders of a new group's voters and returns the voters.
pub(crate) fn init_voters(folders: &[PathBuf]) -> Vec<ReplicaMember> {
    let open = |folder: &PathBuf| LocalFolder::open(folder).unwrap();
    let folders: Vec<LocalFolder> = folders.iter().map(open).collect();
    init_voters_on(&folders)
}

/// Initialises the folders, of any kind, of a new group's voters and returns the voters.
pub(crate) fn init_voters_on<D: DiskFolder>(folders: &[D]) -> Vec<ReplicaMember> {
    let members: Vec<ReplicaMember> = (0..folders.len())
        .map(|n| ReplicaMember {
            id: ReplicaId::random(),
            address: address(n as u16),
            role: MemberRole::Voter,
        })
        .collect();
    let set: MemberSet = members.iter().copied().collect();
    for (folder, member) in folders.iter().zip(&members) {
        init_cluster(folder, CellId(0), member.id, set.clone()).unwrap();
    }
    members
}

/// Polls `check` until it returns a value; fails after [`WAIT_TIMEOUT`].
pub(crate) fn wait_for<T>(what: &str, mut check: impl FnMut() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(value) = check() {
            return value;
        }
        assert!(
            start.elapsed() < WAIT_TIMEOUT,
            "timed out waiting for {what}"
        );
        thread::sleep(Duration::from_millis(1));
    }
}

/// Waits for a leader with a lease and returns its position.
pub(crate) fn wait_for_leader(handles: &[&TestHandle]) -> usize {
    wait_for("a leader", || {
        let leads = |h: &&TestHandle| h.leadership().lease_valid_until.is_some();
        handles.iter().position(leads)
    })
}

/// Appends each value exactly once, through whichever replica leads.
pub(crate) fn append_all(handles: &[&TestHandle], values: std::ops::Range<u64>) {
    for value in values {
        wait_for("a command", || {
            let leader = handles[wait_for_leader(handles)];
            let done = leader
                .read(REQUEST_TIMEOUT, |m| m.values.contains(&value))
                .ok()?;
            if done {
                return Some(());
            }
            let proposed = leader.propose(AddValue::new(value), REQUEST_TIMEOUT);
            proposed.ok().map(drop)
        });
    }
}

/// Reads all values through whichever replica leads.
pub(crate) fn read_all(handles: &[&TestHandle]) -> Vec<u64> {
    wait_for("a read", || {
        let leader = wait_for_leader(handles);
        handles[leader].read(REQUEST_TIMEOUT, values).ok()
    })
}

/// All values of a state machine.
pub(crate) fn values(machine: &ListMachine) -> Vec<u64> {
    machine.values.clone()
}
