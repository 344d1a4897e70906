//! Snapshots: log compaction, and transfer to lagging members in chunks.
//!
//! The follower answers each chunk with the offset that it needs next, so that lost, duplicated
//! and reordered chunks are harmless. Each chunk and the whole snapshot have a CRC-32 checksum.

use std::net::SocketAddr;
use std::sync::Arc;

use super::log::EntryLog;
use super::peer::ReplicationState;
use super::ConsensusCore;
use super::CoreOutput;
use crate::entry::LogIndex;
use crate::entry::SnapshotImage;
use crate::member::MemberSet;
use crate::member::ReplicaId;
use crate::message::MessageBody;
use crate::message::SnapshotChunk;
use crate::message::SnapshotId;
use crate::message::SnapshotResponse;
use guavavane_model::time::BootTime;

/// Time after which the leader sends an unanswered chunk again.
const CHUNK_RESEND_TIMEOUT_MS: u64 = 1_000;

/// Snapshot of which the first `bytes` have been received.
#[derive(Debug)]
pub(super) struct IncomingSnapshot {
    id: SnapshotId,
    members: MemberSet,
    bytes: Vec<u8>,
}

impl ConsensusCore {
    /// Compacts the log up to a durable snapshot.
    ///
    /// The last `trailing_entries` that the snapshot covers stay in memory for lagging members, as far
    /// as they have no more than `trailing_bytes`.
    pub(super) fn compact(&mut self, image: SnapshotImage) {
        if image.index <= self.snapshot_index() {
            return;
        }
        let trailing = self.settings.trailing_entries;
        let oldest = LogIndex(image.index.0.saturating_sub(trailing));
        let bytes_max = self.settings.trailing_bytes;
        let through = self.log.bound_trailing(oldest, image.index, bytes_max);
        self.log.drop_through(through);
        self.drop_member_sets(through);
        self.snapshot = Some(image);
        self.snapshot_id = None;
    }

    /// Identity of the latest snapshot, cached so that the checksum is computed once.
    fn current_snapshot_id(&mut self) -> Option<SnapshotId> {
        let image = self.snapshot.as_ref()?;
        let id = self.snapshot_id.unwrap_or_else(|| snapshot_id(image));
        self.snapshot_id = Some(id);
        Some(id)
    }

    /// Removes the member sets that a later one replaced at or before `index`.
    fn drop_member_sets(&mut self, index: LogIndex) {
        while self.member_sets.get(1).is_some_and(|(i, _)| *i <= index) {
            self.member_sets.pop_front();
        }
    }

    pub(super) fn begin_snapshot(&mut self, now: BootTime, id: ReplicaId) {
        let index = self.snapshot_index();
        if let Some(peer) = self.peer_mut(id) {
            peer.state = ReplicationState::Snapshot {
                index,
                offset: 0,
                sent_at: None,
            };
        }
        self.send_chunk(now, id);
    }

    /// Sends the chunk that a member needs next, unless it was sent and may still be answered.
    pub(super) fn send_chunk(&mut self, now: BootTime, id: ReplicaId) {
        let (Some(image), Some(current)) = (self.snapshot.clone(), self.current_snapshot_id())
        else {
            return;
        };
        let chunk_bytes = self.settings.snapshot_chunk_bytes;
        let Some(peer) = self.peer_mut(id) else {
            return;
        };
        let ReplicationState::Snapshot {
            index,
            offset,
            sent_at,
        } = &mut peer.state
        else {
            return;
        };
        if *index != image.index {
            *index = image.index;
            *offset = 0;
            *sent_at = None;
        }
        let resend_timeout = std::time::Duration::from_millis(CHUNK_RESEND_TIMEOUT_MS);
        if sent_at.is_some_and(|at| now < at + resend_timeout) {
            return;
        }
        *sent_at = Some(now);
        let offset = *offset;
        let start = usize::try_from(offset)
            .unwrap_or(usize::MAX)
            .min(image.bytes.len());
        let end = start.saturating_add(chunk_bytes).min(image.bytes.len());
        let bytes: Arc<[u8]> = Arc::from(&image.bytes[start..end]);
        let chunk = SnapshotChunk {
            id: current,
            members: image.members,
            offset,
            checksum: crc32fast::hash(&bytes),
            bytes,
            sent_at: now,
        };
        self.send_to(id, MessageBody::SnapshotChunk(chunk), false);
    }

    /// Stores a received chunk and answers with the offset that is needed next.
    pub(super) fn handle_snapshot_chunk(
        &mut self,
        from: ReplicaId,
        address: SocketAddr,
        chunk: SnapshotChunk,
    ) {
        let id = chunk.id;
        let sent_at = chunk.sent_at;
        if id.total_bytes > self.settings.snapshot_bytes_max {
            return;
        }
        let installed = id.index <= self.commit || self.append_chunk(chunk);
        let received = self.incoming_snapshot.as_ref().filter(|i| i.id == id);
        let body = MessageBody::SnapshotResponse(SnapshotResponse {
            id,
            next_offset: received.map_or(0, |i| i.bytes.len() as u64),
            installed,
            sent_at,
        });
        self.send(from, address, self.hard_state.term, body, true);
    }

    /// Appends a chunk if it is the next one; returns whether the snapshot was installed.
    fn append_chunk(&mut self, chunk: SnapshotChunk) -> bool {
        let is_same_snapshot = self
            .incoming_snapshot
            .as_ref()
            .is_some_and(|i| i.id == chunk.id);
        if !is_same_snapshot {
            self.incoming_snapshot = Some(IncomingSnapshot {
                id: chunk.id,
                members: chunk.members,
                bytes: Vec::new(),
            });
        }
        let Some(incoming) = &mut self.incoming_snapshot else {
            return false;
        };
        let is_next = chunk.offset == incoming.bytes.len() as u64;
        let fits = chunk.offset + chunk.bytes.len() as u64 <= chunk.id.total_bytes;
        if is_next && fits && crc32fast::hash(&chunk.bytes) == chunk.checksum {
            incoming.bytes.extend_from_slice(&chunk.bytes);
        }
        if (incoming.bytes.len() as u64) < chunk.id.total_bytes {
            return false;
        }
        self.finish_incoming_snapshot()
    }

    /// Installs the received snapshot if its checksum matches; discards it otherwise.
    fn finish_incoming_snapshot(&mut self) -> bool {
        let Some(incoming) = self.incoming_snapshot.take() else {
            return false;
        };
        if crc32fast::hash(&incoming.bytes) != incoming.id.checksum {
            return false;
        }
        self.install(SnapshotImage {
            index: incoming.id.index,
            term: incoming.id.term,
            members: incoming.members,
            bytes: incoming.bytes.into(),
        });
        true
    }

    /// Replaces the log up to the snapshot's last entry, and outputs the snapshot to install.
    fn install(&mut self, image: SnapshotImage) {
        let keep_log = self.log.term_at(image.index) == Some(image.term);
        if keep_log {
            self.log.drop_through(image.index);
            self.drop_member_sets(image.index);
        } else {
            self.log = EntryLog::new(image.index, image.term, Vec::new());
            self.member_sets.clear();
            let members = image.members.clone();
            self.member_sets.push_back((image.index, members));
        }
        self.commit = image.index;
        self.persisted = self.persisted.max(image.index).min(self.log.last_index());
        self.snapshot = Some(image.clone());
        self.snapshot_id = None;
        self.outputs
            .push(CoreOutput::InstallSnapshot { image, keep_log });
    }

    pub(super) fn handle_snapshot_response(
        &mut self,
        now: BootTime,
        from: ReplicaId,
        response: SnapshotResponse,
    ) {
        self.observe_time(now);
        let current = self.current_snapshot_id();
        let Some(peer) = self.peer_mut(from) else {
            return;
        };
        peer.record_response(now, response.sent_at);
        if response.installed {
            peer.record_match(response.id.index);
        }
        if let ReplicationState::Snapshot {
            offset, sent_at, ..
        } = &mut peer.state
        {
            // While a chunk awaits its answer, answers to earlier sends are ignored.
            if current == Some(response.id) && *sent_at <= Some(response.sent_at) {
                *offset = response.next_offset;
                *sent_at = None;
            }
        }
        self.advance_commit(now);
        self.confirm_reads();
    }
}

fn snapshot_id(image: &SnapshotImage) -> SnapshotId {
    SnapshotId {
        index: image.index,
        term: image.term,
        total_bytes: image.bytes.len() as u64,
        checksum: crc32fast::hash(&image.bytes),
    }
}
