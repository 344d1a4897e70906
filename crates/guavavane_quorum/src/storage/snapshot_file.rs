//! Snapshot files, written atomically: to a temporary name, synced, then renamed.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use super::disk::DiskFile;
use super::disk::DiskFolder;
use super::frame::decode_body;
use super::frame::encode_frame;
use super::frame::read_frame;
use super::frame::FrameRead;
use super::StorageError;
use crate::entry::LogIndex;
use crate::entry::SnapshotImage;
use crate::entry::Term;
use crate::member::MemberSet;

/// Name of a snapshot file while it is written.
const PARTIAL_FILE: &str = "snapshot.partial";

#[derive(Serialize, Deserialize)]
struct SnapshotHeader {
    index: LogIndex,
    term: Term,
    members: MemberSet,
    length: u64,
    checksum: u32,
}

/// Writes a snapshot, durable on return, and removes older snapshots.
pub(super) fn save<D: DiskFolder>(folder: &D, image: &SnapshotImage) -> Result<(), StorageError> {
    let header = SnapshotHeader {
        index: image.index,
        term: image.term,
        members: image.members.clone(),
        length: image.bytes.len() as u64,
        checksum: crc32fast::hash(&image.bytes),
    };
    let name = snapshot_name(image.index);
    let encoded_header = encode_frame(&header, image.index.0, 0);
    let write = || {
        let mut file = folder.create(PARTIAL_FILE)?;
        file.append(&encoded_header)?;
        file.append(&image.bytes)?;
        file.sync()?;
        folder.rename(PARTIAL_FILE, &name)?;
        folder.sync_folder()
    };
    write()
        .inspect_err(|_| remove_partial(folder))
        .map_err(StorageError::io(&name))?;
    remove_older(folder, image.index)
}

/// Frees the space of a snapshot that could not be written; the log may need it.
fn remove_partial<D: DiskFolder>(folder: &D) {
    if let Err(error) = folder.remove(PARTIAL_FILE) {
        // The next snapshot replaces the file, and a restart removes it.
        tracing::debug!(event = "partial_snapshot_kept", folder = folder.label(), %error);
    }
}

fn remove_older<D: DiskFolder>(folder: &D, index: LogIndex) -> Result<(), StorageError> {
    for (older, name) in list_snapshots(folder)? {
        if older < index {
            folder.remove(&name).map_err(StorageError::io(&name))?;
        }
    }
    Ok(())
}

/// Reads the latest snapshot; removes older and partly written ones.
pub(super) fn load<D: DiskFolder>(folder: &D) -> Result<Option<SnapshotImage>, StorageError> {
    let names = folder.list().map_err(StorageError::io(folder.label()))?;
    if names.iter().any(|n| n == PARTIAL_FILE) {
        let removed = folder.remove(PARTIAL_FILE);
        removed.map_err(StorageError::io(PARTIAL_FILE))?;
    }
    let Some((index, name)) = list_snapshots(folder)?.pop() else {
        return Ok(None);
    };
    let bytes = folder.read(&name).map_err(StorageError::io(&name))?;
    let image = decode(&bytes, index).map_err(|(offset, reason)| StorageError::Corrupt {
        file: name,
        offset: offset as u64,
        reason,
    })?;
    remove_older(folder, index)?;
    Ok(Some(image))
}

fn decode(bytes: &[u8], index: LogIndex) -> Result<SnapshotImage, (usize, &'static str)> {
    let FrameRead::Complete { body, next } = read_frame(bytes, index.0, 0) else {
        return Err((0, "the snapshot's header fails its checksum"));
    };
    let header = decode_body::<SnapshotHeader>(body);
    let header = header.ok_or((0, "the snapshot's header can't be decoded"))?;
    let encoded_state = &bytes[next..];
    if header.index != index {
        return Err((0, "the snapshot's header names another index than the file"));
    }
    if encoded_state.len() as u64 != header.length
        || crc32fast::hash(encoded_state) != header.checksum
    {
        return Err((next, "the snapshot's state fails its checksum"));
    }
    Ok(SnapshotImage {
        index,
        term: header.term,
        members: header.members,
        bytes: Arc::from(encoded_state),
    })
}

/// Returns index and name of each snapshot file, oldest first.
fn list_snapshots<D: DiskFolder>(folder: &D) -> Result<Vec<(LogIndex, String)>, StorageError> {
    let names = folder.list().map_err(StorageError::io(folder.label()))?;
    let mut snapshots: Vec<_> = names
        .into_iter()
        .filter_map(|name| Some((snapshot_index(&name)?, name)))
        .collect();
    snapshots.sort_unstable();
    Ok(snapshots)
}

/// Whether `name` is the name of a snapshot file.
pub(super) fn is_snapshot(name: &str) -> bool {
    snapshot_index(name).is_some()
}

fn snapshot_name(index: LogIndex) -> String {
    format!("snapshot-{:016x}.state", index.0)
}

fn snapshot_index(name: &str) -> Option<LogIndex> {
    let digits = name.strip_prefix("snapshot-")?.strip_suffix(".state")?;
    u64::from_str_radix(digits, 16).ok().map(LogIndex)
}
