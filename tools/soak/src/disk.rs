//! Disk faults of a control process, caused from outside in its data folder.
//!
//! They reach each operation that opens a file: the start of a log segment, the write of a
//! snapshot and the start of the process. Appends to the open segment go on.

use std::fs;
use std::io;
use std::os::unix::fs::symlink;
use std::path::Path;
use std::path::PathBuf;

use rustix::fs::renameat_with;
use rustix::fs::RenameFlags;
use rustix::fs::CWD;

/// Device that refuses each write as a full disk does.
const FULL_DEVICE: &str = "/dev/full";
/// Name of a snapshot file while it is written.
const PARTIAL_SNAPSHOT: &str = "snapshot.partial";

/// Kind of a disk fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskFault {
    /// The file system is detached: no file of the folder can be opened or created.
    Detached,
    /// The disk is full while a snapshot is written.
    FullSnapshot,
}

impl DiskFault {
    /// Causes the fault in a log folder.
    ///
    /// # Errors
    ///
    /// Fails if the folder is missing, or if a snapshot is being written.
    pub fn begin(self, folder: &Path) -> io::Result<()> {
        match self {
            Self::Detached => {
                // A file in the place of the folder keeps the process from creating a new one.
                fs::write(detached_path(folder), "")?;
                swap(folder, &detached_path(folder))
            }
            Self::FullSnapshot => symlink(FULL_DEVICE, folder.join(PARTIAL_SNAPSHOT)),
        }
    }

    /// Ends the fault.
    ///
    /// # Errors
    ///
    /// Fails if the folder can't be restored.
    pub fn end(self, folder: &Path) -> io::Result<()> {
        match self {
            Self::Detached => {
                swap(folder, &detached_path(folder))?;
                fs::remove_file(detached_path(folder))
            }
            Self::FullSnapshot => {
                let link = folder.join(PARTIAL_SNAPSHOT);
                // The process may have removed the link.
                let is_link = fs::symlink_metadata(&link).is_ok_and(|meta| meta.is_symlink());
                if is_link {
                    fs::remove_file(link)?;
                }
                Ok(())
            }
        }
    }
}

/// Exchanges two paths atomically, so that a process that starts meanwhile finds either of them.
fn swap(left: &Path, right: &Path) -> io::Result<()> {
    Ok(renameat_with(CWD, left, CWD, right, RenameFlags::EXCHANGE)?)
}

fn detached_path(folder: &Path) -> PathBuf {
    folder.with_extension("detached")
}
