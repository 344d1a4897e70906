//! Formats of the log that the other replicas read.
//!
//! A replica of commit b041a08 stops at a log entry with copies. Replicas answer the pings of their
//! peers with the format that they read, which those of b041a08 give as 0. The leader proposes entries
//! of a format only while all members are known to read it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::PoisonError;
use std::sync::RwLock;

use indexmap::IndexMap;

use guavavane_quorum::prelude::LeadershipView;

/// Format of the log with [`guavavane_jobs::prelude::LedgerCommand::StartCopies`].
pub(super) const COPIES_FORMAT: u64 = 1;
/// Format of the log that this process reads.
pub(super) const OWN_FORMAT: u64 = COPIES_FORMAT;

/// Formats by the address of the replica; clones share them.
#[derive(Clone, Debug, Default)]
pub(super) struct PeerFormats(Arc<RwLock<IndexMap<SocketAddr, u64>>>);

impl PeerFormats {
    /// Records the format that a replica has named.
    pub(super) fn record(&self, peer: SocketAddr, format: u64) {
        let mut formats = self.0.write().unwrap_or_else(PoisonError::into_inner);
        formats.insert(peer, format);
    }

    /// Forgets the format of a replica, in whose place another process may run.
    pub(super) fn forget(&self, peer: SocketAddr) {
        let mut formats = self.0.write().unwrap_or_else(PoisonError::into_inner);
        formats.swap_remove(&peer);
    }

    /// Whether all other members of the group are known to read a format.
    pub(super) fn are_all_known(&self, view: &LeadershipView, format: u64) -> bool {
        let formats = self.0.read().unwrap_or_else(PoisonError::into_inner);
        let mut others = view.members.iter().filter(|member| member.id != view.id);
        others.all(|member| {
            formats
                .get(&member.address)
                .is_some_and(|known| *known >= format)
        })
    }
}
