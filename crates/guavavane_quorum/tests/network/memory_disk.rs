//! A disk in memory that forgets what was not synced, tears writes, fills up and fails.

#![allow(dead_code, reason = "each test uses some of the faults")]

use std::io;
use std::sync::Arc;
use std::sync::Mutex;

use indexmap::IndexMap;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use guavavane_quorum::storage::DiskFile;
use guavavane_quorum::storage::DiskFolder;

const SECTOR_BYTES: usize = 512;

#[derive(Clone, Default)]
struct FileContent {
    bytes: Vec<u8>,
    synced: Vec<u8>,
}

impl FileContent {
    /// Each sector that was not synced is old or new, and the file may end early.
    fn tear(&mut self, random: &mut ChaCha8Rng) {
        let longest = self.bytes.len().max(self.synced.len());
        let shortest = self.bytes.len().min(self.synced.len());
        let mut torn = vec![0; random.random_range(shortest..=longest)];
        for (number, sector) in torn.chunks_mut(SECTOR_BYTES).enumerate() {
            let source = if random.random() {
                &self.bytes
            } else {
                &self.synced
            };
            let rest = source.iter().skip(number * SECTOR_BYTES);
            sector
                .iter_mut()
                .zip(rest)
                .for_each(|(to, from)| *to = *from);
        }
        self.synced = torn.clone();
        self.bytes = torn;
    }
}

type Content = Arc<Mutex<FileContent>>;

#[derive(Default)]
struct DiskState {
    names: IndexMap<String, Content>,
    synced_names: IndexMap<String, Content>,
    /// Bytes that may still be written, if the disk can fill up.
    room: Option<usize>,
    syncs_fail: bool,
}

/// A shared disk; clones see the same files.
#[derive(Clone, Default)]
pub(crate) struct MemoryDisk(Arc<Mutex<DiskState>>);

/// An open file of a [`MemoryDisk`].
pub(crate) struct MemoryFile {
    disk: MemoryDisk,
    content: Content,
    appended: usize,
}

fn not_found() -> io::Error {
    io::ErrorKind::NotFound.into()
}

impl MemoryDisk {
    /// Loses what was not synced, but for a part that happened to be written.
    pub(crate) fn crash(&self, random: &mut ChaCha8Rng) {
        let mut state = self.0.lock().unwrap();
        if random.random() {
            state.names = state.synced_names.clone();
        }
        state.synced_names = state.names.clone();
        for content in state.names.values() {
            content.lock().unwrap().tear(random);
        }
        state.room = None;
        state.syncs_fail = false;
    }

    pub(crate) fn fill_up(&self, room: usize) {
        self.0.lock().unwrap().room = Some(room);
    }

    pub(crate) fn repair(&self) {
        let mut state = self.0.lock().unwrap();
        state.room = None;
        state.syncs_fail = false;
    }

    pub(crate) fn fail_syncs(&self) {
        self.0.lock().unwrap().syncs_fail = true;
    }

    /// An independent disk with the same files, all of them synced.
    pub(crate) fn copy(&self) -> Self {
        let copy = Self::default();
        for name in self.list().unwrap() {
            copy.put(&name, self.read(&name).unwrap());
        }
        copy
    }

    pub(crate) fn put(&self, name: &str, bytes: Vec<u8>) {
        let synced = bytes.clone();
        let content = Arc::new(Mutex::new(FileContent { bytes, synced }));
        let mut state = self.0.lock().unwrap();
        state.names.insert(name.to_owned(), Arc::clone(&content));
        state.synced_names.insert(name.to_owned(), content);
    }

    fn content(&self, name: &str) -> io::Result<Content> {
        let state = self.0.lock().unwrap();
        state.names.get(name).cloned().ok_or_else(not_found)
    }
}

impl MemoryFile {
    /// Writes as much as there is room for.
    fn write_at(&mut self, at: usize, bytes: &[u8]) -> io::Result<()> {
        let mut state = self.disk.0.lock().unwrap();
        let mut content = self.content.lock().unwrap();
        let grown = (at + bytes.len()).saturating_sub(content.bytes.len());
        let room = state.room.unwrap_or(usize::MAX);
        state.room = state.room.map(|room| room.saturating_sub(grown));
        let written = bytes.len() - grown.saturating_sub(room);
        let length = content.bytes.len().max(at + written);
        content.bytes.resize(length, 0);
        content.bytes[at..at + written].copy_from_slice(&bytes[..written]);
        if written < bytes.len() {
            return Err(io::ErrorKind::StorageFull.into());
        }
        Ok(())
    }
}

impl DiskFile for MemoryFile {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.write_at(self.appended, bytes)?;
        self.appended += bytes.len();
        Ok(())
    }

    fn reserve(&mut self, bytes: u64) -> io::Result<()> {
        let length = self.content.lock().unwrap().bytes.len();
        self.write_at(length, &vec![0; bytes as usize])
    }

    fn sync(&mut self) -> io::Result<()> {
        if self.disk.0.lock().unwrap().syncs_fail {
            return Err(io::Error::other("sync failed"));
        }
        let mut content = self.content.lock().unwrap();
        content.synced = content.bytes.clone();
        Ok(())
    }
}

impl DiskFolder for MemoryDisk {
    type File = MemoryFile;

    fn label(&self) -> String {
        "memory".to_owned()
    }

    fn list(&self) -> io::Result<Vec<String>> {
        let state = self.0.lock().unwrap();
        let mut names: Vec<String> = state.names.keys().cloned().collect();
        names.sort_unstable();
        Ok(names)
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        let content = self.content(name)?;
        let content = content.lock().unwrap();
        Ok(content.bytes.clone())
    }

    fn create(&self, name: &str) -> io::Result<MemoryFile> {
        let content = Content::default();
        let mut state = self.0.lock().unwrap();
        state.names.insert(name.to_owned(), Arc::clone(&content));
        Ok(MemoryFile {
            disk: self.clone(),
            content,
            appended: 0,
        })
    }

    fn reopen(&self, name: &str, length: u64) -> io::Result<MemoryFile> {
        let content = self.content(name)?;
        {
            let mut content = content.lock().unwrap();
            content.bytes.truncate(length as usize);
            content.synced = content.bytes.clone();
        }
        Ok(MemoryFile {
            disk: self.clone(),
            content,
            appended: length as usize,
        })
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        let mut state = self.0.lock().unwrap();
        let content = state.names.swap_remove(from).ok_or_else(not_found)?;
        state.names.insert(to.to_owned(), content);
        Ok(())
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        let mut state = self.0.lock().unwrap();
        let removed = state.names.swap_remove(name);
        removed.map(drop).ok_or_else(not_found)
    }

    fn sync_folder(&self) -> io::Result<()> {
        let mut state = self.0.lock().unwrap();
        if state.syncs_fail {
            return Err(io::Error::other("sync failed"));
        }
        state.synced_names = state.names.clone();
        Ok(())
    }
}
