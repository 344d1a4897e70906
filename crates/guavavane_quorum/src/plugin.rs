//! Start of a replica on its data folder.

use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::RwLock;
use std::thread;

use thiserror::Error;

use crate::core::ConsensusCore;
use crate::handle::QuorumHandle;
use crate::handle::SharedState;
use crate::machine::RestoreError;
use crate::machine::StateMachine;
use crate::member::ReplicaId;
use crate::message::OutgoingMessage;
use crate::message::PeerMessage;
use crate::runner::ReplicaRunner;
use crate::settings::CheckedSettings;
use crate::storage::DiskFolder;
use crate::storage::LocalFolder;
use crate::storage::LogStore;
use crate::storage::StorageError;
use guavavane_model::time::BootClock;

/// Error of starting a replica.
#[derive(Debug, Error)]
pub enum StartError {
    /// The data folder can't be opened or read.
    #[error(transparent)]
    Storage(#[from] StorageError),
    /// The data folder belongs to another cell.
    #[error("the data folder belongs to cell {folder}, the settings name cell {settings}")]
    OtherCell {
        /// Cell that the folder was initialised for.
        folder: u16,
        /// Cell that the settings name.
        settings: u16,
    },
    /// The state machine refused the snapshot.
    #[error(transparent)]
    Restore(#[from] RestoreError),
    /// The operating system could not start a thread.
    #[error("can't start a thread of the replica: {0}")]
    Thread(io::Error),
}

/// Configuration of a replica that runs in this process.
pub struct QuorumPlugin<M: StateMachine> {
    /// Settings of the replica and its group.
    pub settings: CheckedSettings,
    /// Data folder, initialised by [`init_cluster`](crate::storage::init_cluster) or
    /// [`init_learner`](crate::storage::init_learner).
    pub data_folder: PathBuf,
    /// State machine in its state before the first entry.
    pub machine: M,
}

impl<M: StateMachine> QuorumPlugin<M> {
    /// Starts the replica on its own thread.
    ///
    /// Messages that do not fit into `outbox` are dropped; the protocol sends them again. The
    /// `inbox` is closed when the replica stops or its state machine fails.
    pub fn start(
        self,
        inbox: flume::Receiver<PeerMessage>,
        outbox: flume::Sender<OutgoingMessage>,
    ) -> Result<QuorumHandle<M>, StartError> {
        let label = self.data_folder.display().to_string();
        let folder = LocalFolder::open(&self.data_folder).map_err(|error| {
            if error.kind() == io::ErrorKind::WouldBlock {
                return StorageError::Locked { folder: label };
            }
            StorageError::Io {
                file: label,
                source: error,
            }
        })?;
        start_on_folder(folder, self.settings, self.machine, inbox, outbox)
    }
}

/// Starts a replica on any implementation of [`DiskFolder`].
pub fn start_on_folder<M: StateMachine, D: DiskFolder>(
    folder: D,
    settings: CheckedSettings,
    mut machine: M,
    inbox: flume::Receiver<PeerMessage>,
    outbox: flume::Sender<OutgoingMessage>,
) -> Result<QuorumHandle<M>, StartError> {
    let (store, stored) = LogStore::open(folder, settings.segment_bytes)?;
    let identity = store.identity();
    if identity.cell != settings.cell {
        return Err(StartError::OtherCell {
            folder: identity.cell.0,
            settings: settings.cell.0,
        });
    }
    if let Some(image) = &stored.snapshot {
        machine.restore(&image.bytes)?;
    }
    let id: ReplicaId = identity.replica;
    let now = BootClock.now();
    let core = ConsensusCore::new(id, settings.clone(), stored, now, rand::random());
    let (requests, queue) = flume::bounded(settings.proposal_queue);
    let view = ReplicaRunner::<M, D>::build_view(&core, core.commit(), false);
    let shared = Arc::new(SharedState {
        machine: Mutex::new(machine),
        view: RwLock::new(Arc::new(view)),
    });
    let runner = ReplicaRunner::new(
        core,
        store,
        settings.clone(),
        Arc::clone(&shared),
        inbox,
        queue,
        outbox,
    )
    .map_err(StartError::Thread)?;
    let thread = thread::Builder::new()
        .name(format!("replica-{id}"))
        .spawn(move || runner.run())
        .map_err(StartError::Thread)?;
    Ok(QuorumHandle {
        requests,
        shared,
        thread: Arc::new(Mutex::new(Some(thread))),
        command_bytes_max: settings.command_bytes_max,
    })
}
