//! Durable storage of a replica under one data folder.
//!
//! The folder holds an identity file, written once; a lock file against a second process; log
//! segments; and the latest snapshot. Each batch of log records is one checksummed frame, and a
//! frame is written only after the previous one was synced. A crash can therefore tear only the
//! last frame: a torn last frame is truncated, and any other corruption is refused with file and
//! offset. After an error while writing or syncing, the store refuses all further work until
//! [`LogStore::recover`] has read the folder again, because the contents on disk after a failed
//! sync are unknown.

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

/// Error of reading or writing a data folder.
#[derive(Debug, Error)]
pub enum StorageError {
    /// A file operation failed.
    #[error("{file}: {source}")]
    Io {
        /// File or folder of the operation.
        file: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The stored bytes differ from those that were written, or a file is missing.
    #[error("{file} is corrupt at offset {offset}: {reason}")]
    Corrupt {
        /// Name of the corrupt file.
        file: String,
        /// Offset in the file of the corrupt frame or snapshot state, in bytes.
        offset: u64,
        /// Description of the corruption.
        reason: &'static str,
    },
    /// The folder was never initialised, or its disk was lost.
    #[error("{folder} has no identity: initialise it as a new learner, never as an old replica")]
    NoIdentity {
        /// Path of the folder.
        folder: String,
    },
    /// Another process holds the folder's lock.
    #[error("{folder} is in use by another process")]
    Locked {
        /// Path of the folder.
        folder: String,
    },
    /// An earlier write or sync failed, so that the store accepts no further work.
    #[error("storage failed earlier, and the folder was not read again since")]
    Failed,
}

impl StorageError {
    fn io(file: impl Into<String>) -> impl FnOnce(io::Error) -> Self {
        let file = file.into();
        move |source| Self::Io { file, source }
    }
}
