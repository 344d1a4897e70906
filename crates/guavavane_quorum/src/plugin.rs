//! Starting a replica.

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

/// Why a replica did not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// The data folder can't be used.
    #[error(transparent)]
    Storage(#[from] StorageError),
    /// The data folder belongs to another cell.
    #[error("the data folder belongs to cell {folder}, the settings name cell {settings}")]
    OtherCell {
        /// Cell of the folder.
        folder: u16,
        /// Cell in the settings.
        settings: u16,
    },
    /// The state machine refused the snapshot.
    #[error(transparent)]
    Restore(#[from] RestoreError),
    /// The system gave no thread.
    #[error("no thread for the replica: {0}")]
    Thread(io::Error),
}

/// Wires a replica into a process: its log lives in `data_folder` and drives `machine`.
pub struct QuorumPlugin<M: StateMachine> {
    /// Checked settings.
    pub settings: CheckedSettings,
    /// Folder that was initialised before.
    pub data_folder: PathBuf,
    /// State before the first entry.
    pub machine: M,
}

impl<M: StateMachine> QuorumPlugin<M> {
    /// Starts the replica on its own thread.
    ///
    /// Messages that do not fit into `outbox` are dropped; they are sent again when due. The
    /// `inbox` closes when the replica stops or its storage fails.
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
        start_on(folder, self.settings, self.machine, inbox, outbox)
    }
}

/// Starts a replica on any kind of folder.
pub fn start_on<M: StateMachine, D: DiskFolder>(
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
