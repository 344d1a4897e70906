//! File operations that storage uses, as traits, so that tests can inject disk faults.

use std::fs;
use std::fs::File;
use std::fs::OpenOptions;
use std::io;
use std::os::unix::fs::FileExt;
use std::path::Path;
use std::path::PathBuf;

use rustix::fs::flock;
use rustix::fs::FlockOperation;

/// Name of the lock file.
const LOCK_FILE: &str = "lock";

/// File that is open for appending.
pub trait DiskFile: Send + 'static {
    /// Writes all bytes at the end of the appended bytes.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;

    /// Extends the file by `bytes` zeros, which later appends overwrite.
    ///
    /// Such an append changes no metadata of the file, which makes a sync much cheaper.
    fn reserve(&mut self, bytes: u64) -> io::Result<()>;

    /// Writes bytes again that the file holds at `offset`.
    ///
    /// After a failed sync, they may be in memory only, and no later sync would write them.
    fn rewrite(&mut self, offset: u64, bytes: &[u8]) -> io::Result<()>;

    /// Makes all written bytes durable.
    fn sync(&mut self) -> io::Result<()>;
}

/// Folder of files, without subfolders.
pub trait DiskFolder: Send + Sync + 'static {
    /// File type of the folder.
    type File: DiskFile;

    /// Name of the folder in error messages.
    fn label(&self) -> String;

    /// Returns the names of the files, without the lock file.
    fn list(&self) -> io::Result<Vec<String>>;

    /// Reads the contents of a file.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;

    /// Creates an empty file, or truncates an existing one.
    fn create(&self, name: &str) -> io::Result<Self::File>;

    /// Truncates a file to `length` bytes, durably, and opens it for appending.
    fn reopen(&self, name: &str, length: u64) -> io::Result<Self::File>;

    /// Renames a file, replacing an existing file named `to`.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file; the removal is durable after [`DiskFolder::sync_folder`].
    fn remove(&self, name: &str) -> io::Result<()>;

    /// Makes earlier creations, renames and removals durable.
    fn sync_folder(&self) -> io::Result<()>;
}

/// Folder of the local file system, locked against use by a second process.
#[derive(Debug)]
pub struct LocalFolder {
    path: PathBuf,
    folder: File,
    _lock: File,
}

impl LocalFolder {
    /// Opens and locks a folder; creates it if it is missing.
    ///
    /// Fails with [`io::ErrorKind::WouldBlock`] if another process holds the lock.
    pub fn open(path: &Path) -> io::Result<Self> {
        fs::create_dir_all(path)?;
        sync_parent(path)?;
        let lock = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(path.join(LOCK_FILE))?;
        flock(&lock, FlockOperation::NonBlockingLockExclusive)?;
        Ok(Self {
            path: path.to_owned(),
            folder: File::open(path)?,
            _lock: lock,
        })
    }
}

/// Makes the name of a folder durable.
fn sync_parent(path: &Path) -> io::Result<()> {
    match path.parent() {
        Some(parent) if parent != Path::new("") => File::open(parent)?.sync_all(),
        _ => Ok(()),
    }
}

impl DiskFolder for LocalFolder {
    type File = LocalFile;

    fn label(&self) -> String {
        self.path.display().to_string()
    }

    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            let name = entry?.file_name().to_string_lossy().into_owned();
            if name != LOCK_FILE {
                names.push(name);
            }
        }
        names.sort_unstable();
        Ok(names)
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.path.join(name))
    }

    fn create(&self, name: &str) -> io::Result<LocalFile> {
        let file = File::create(self.path.join(name))?;
        Ok(LocalFile {
            file,
            appended: 0,
            length: 0,
        })
    }

    fn reopen(&self, name: &str, length: u64) -> io::Result<LocalFile> {
        let path = self.path.join(name);
        let file = OpenOptions::new().write(true).open(path)?;
        file.set_len(length)?;
        file.sync_all()?;
        Ok(LocalFile {
            file,
            appended: length,
            length,
        })
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        fs::remove_file(self.path.join(name))
    }

    fn sync_folder(&self) -> io::Result<()> {
        self.folder.sync_all()
    }
}

/// File of a [`LocalFolder`].
#[derive(Debug)]
pub struct LocalFile {
    file: File,
    /// Offset of the end of the appended bytes.
    appended: u64,
    /// Length of the file, including the reserved zeros.
    length: u64,
}

impl DiskFile for LocalFile {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.file.write_all_at(bytes, self.appended)?;
        self.appended += bytes.len() as u64;
        self.length = self.length.max(self.appended);
        Ok(())
    }

    fn reserve(&mut self, bytes: u64) -> io::Result<()> {
        let zeros = vec![0; usize::try_from(bytes).unwrap_or(usize::MAX)];
        self.file.write_all_at(&zeros, self.length)?;
        self.length += bytes;
        Ok(())
    }

    fn rewrite(&mut self, offset: u64, bytes: &[u8]) -> io::Result<()> {
        self.file.write_all_at(bytes, offset)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.file.sync_data()
    }
}
