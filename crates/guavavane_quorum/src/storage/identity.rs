//! Identity of a data folder, written once.
//!
//! A replica that lost its disk finds no identity and so can't vote again under its old one, which
//! could elect two leaders in one term. Initialisation writes the identity last, so that a folder
//! whose initialisation was interrupted has none.

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use super::disk::DiskFile;
use super::disk::DiskFolder;
use super::frame::decode_body;
use super::frame::encode_frame;
use super::frame::read_frame;
use super::frame::FrameRead;
use super::segment::segment_name;
use super::segment::segment_number;
use super::segment::OpenSegment;
use super::segment::SegmentHeader;
use super::segment::FORMAT_VERSION;
use super::snapshot_file::is_snapshot;
use super::StorageError;
use crate::entry::HardState;
use crate::entry::LogIndex;
use crate::entry::Term;
use crate::member::MemberSet;
use crate::member::ReplicaId;
use guavavane_model::identity::CellId;

/// Name of the identity file.
const IDENTITY_FILE: &str = "identity";
/// Name of the identity file while it is written.
const PARTIAL_FILE: &str = "identity.partial";

/// Replica and cell that a data folder belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FolderIdentity {
    version: u16,
    /// Cell of the group.
    pub cell: CellId,
    /// Identity of the replica.
    pub replica: ReplicaId,
}

/// Error of initialising a data folder.
#[derive(Debug, Error)]
pub enum InitError {
    /// The folder already has an identity.
    #[error("the folder already belongs to replica {replica}")]
    AlreadyInitialised {
        /// Replica that the folder belongs to.
        replica: ReplicaId,
    },
    /// The replica is not a voter of the given members.
    #[error("replica {replica} is not a voter of the first members")]
    NotVoter {
        /// Replica to initialise.
        replica: ReplicaId,
    },
    /// The folder holds log segments or snapshots of a replica whose identity is lost.
    #[error("{name} belongs to a replica whose identity is gone; use an empty folder")]
    FolderNotEmpty {
        /// Name of such a file.
        name: String,
    },
    /// Reading or writing the folder failed.
    #[error(transparent)]
    Storage(#[from] StorageError),
}

/// Initialises the folder of a voter of a new group.
///
/// All voters of the new group must be initialised with the same `members`.
pub fn init_cluster<D: DiskFolder>(
    folder: &D,
    cell: CellId,
    replica: ReplicaId,
    members: MemberSet,
) -> Result<(), InitError> {
    if !members.is_voter(replica) {
        return Err(InitError::NotVoter { replica });
    }
    init(folder, cell, replica, members)
}

/// Initialises the folder of a replica that will join an existing group as a learner.
pub fn init_learner<D: DiskFolder>(
    folder: &D,
    cell: CellId,
    replica: ReplicaId,
) -> Result<(), InitError> {
    init(folder, cell, replica, MemberSet::default())
}

fn init<D: DiskFolder>(
    folder: &D,
    cell: CellId,
    replica: ReplicaId,
    initial_members: MemberSet,
) -> Result<(), InitError> {
    match read_identity(folder) {
        Err(StorageError::NoIdentity { .. }) => {}
        Err(error) => return Err(error.into()),
        Ok(identity) => {
            let replica = identity.replica;
            return Err(InitError::AlreadyInitialised { replica });
        }
    }
    remove_partial_init(folder)?;
    let header = SegmentHeader {
        version: FORMAT_VERSION,
        replica,
        hard_state: HardState::default(),
        base_index: LogIndex(0),
        base_term: Term(0),
        initial_members,
    };
    // Size 0 reserves no extra space; opening the log store sets the configured segment size.
    OpenSegment::create(folder, 1, &header, 0)?;
    let identity = FolderIdentity {
        version: FORMAT_VERSION,
        cell,
        replica,
    };
    write_identity(folder, identity)?;
    Ok(())
}

/// Removes the first log segment that an interrupted initialisation may have left.
///
/// Fails if the folder holds any other segment or a snapshot, which only a replica that ran can
/// have written.
fn remove_partial_init<D: DiskFolder>(folder: &D) -> Result<(), InitError> {
    let names = folder.list().map_err(StorageError::io(folder.label()))?;
    let first = segment_name(1);
    let is_replica_file = |n: &&String| segment_number(n).is_some() || is_snapshot(n);
    if let Some(name) = names.iter().filter(is_replica_file).find(|n| **n != first) {
        return Err(InitError::FolderNotEmpty { name: name.clone() });
    }
    for name in names.iter().filter(|n| **n == first) {
        folder.remove(name).map_err(StorageError::io(name))?;
    }
    Ok(())
}

fn write_identity<D: DiskFolder>(folder: &D, identity: FolderIdentity) -> Result<(), StorageError> {
    let frame = encode_frame(&identity, 0, 0);
    let write = || {
        let mut file = folder.create(PARTIAL_FILE)?;
        file.append(&frame)?;
        file.sync()?;
        folder.rename(PARTIAL_FILE, IDENTITY_FILE)?;
        folder.sync_folder()
    };
    write().map_err(StorageError::io(IDENTITY_FILE))
}

/// Reads the identity of an initialised folder.
pub fn read_identity<D: DiskFolder>(folder: &D) -> Result<FolderIdentity, StorageError> {
    let names = folder.list().map_err(StorageError::io(folder.label()))?;
    if !names.iter().any(|n| n == IDENTITY_FILE) {
        return Err(StorageError::NoIdentity {
            folder: folder.label(),
        });
    }
    let read = folder.read(IDENTITY_FILE);
    let bytes = read.map_err(StorageError::io(IDENTITY_FILE))?;
    let identity = match read_frame(&bytes, 0, 0) {
        FrameRead::Complete { body, next } if next == bytes.len() => decode_body(body),
        _ => None,
    };
    identity.ok_or(StorageError::Corrupt {
        file: IDENTITY_FILE.to_owned(),
        offset: 0,
        reason: "the identity fails its checksum",
    })
}
