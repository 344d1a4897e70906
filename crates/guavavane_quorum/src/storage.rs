//! Durable storage of a replica under one data folder.
//!
//! The folder holds an identity, written once; a lock against a second process; log segments;
//! and the latest snapshot. Each batch of log records is one checksummed frame, and a frame is
//! written only after the one before it was synced. So at most the last frame can be torn by a
//! crash: a torn tail is cut, and damage anywhere else is refused with file and offset. An
//! error while writing or syncing is final: the store refuses all further work, because what a
//! failed sync left behind is unknown until the folder is read again.

mod disk;
mod frame;
mod identity;
mod replay;
mod segment;
mod snapshot_file;
mod store;

use std::io;

use thiserror::Error;

pub use self::disk::DiskFile;
pub use self::disk::DiskFolder;
pub use self::disk::LocalFile;
pub use self::disk::LocalFolder;
pub use self::identity::init_cluster;
pub use self::identity::init_learner;
pub use self::identity::read_identity;
pub use self::identity::FolderIdentity;
pub use self::identity::InitError;
pub use self::store::LogStore;
pub use self::store::SnapshotWriter;

/// Why storage could not do its work.
#[derive(Debug, Error)]
pub enum StorageError {
    /// The operating system reported an error.
    #[error("{file}: {source}")]
    Io {
        /// File or folder.
        file: String,
        /// The error.
        source: io::Error,
    },
    /// Stored bytes are not what was written.
    #[error("{file} is corrupt at offset {offset}: {reason}")]
    Corrupt {
        /// File.
        file: String,
        /// Offset of the damaged record in bytes.
        offset: u64,
        /// What is wrong.
        reason: &'static str,
    },
    /// The folder was never initialised, or its disk was lost.
    #[error("{folder} has no identity: initialise it as a new learner, never as an old replica")]
    NoIdentity {
        /// The folder.
        folder: String,
    },
    /// Another process uses the folder.
    #[error("{folder} is in use by another process")]
    Locked {
        /// The folder.
        folder: String,
    },
    /// An earlier write or sync failed.
    #[error("storage failed earlier; restart the replica to read the folder again")]
    Failed,
}

impl StorageError {
    fn io(file: impl Into<String>) -> impl FnOnce(io::Error) -> Self {
        let file = file.into();
        move |source| Self::Io { file, source }
    }
}
