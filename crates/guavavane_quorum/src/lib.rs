//! Replicated log with durable storage, snapshots and membership changes.
//!
//! [`core`] implements the Raft consensus algorithm, free of I/O; [`storage`] keeps the log and
//! its snapshots in one data folder; [`plugin`] starts a replica, which runs both on its own
//! thread. The transport is not part of this crate: a replica receives
//! [`message::PeerMessage`]s from one `flume` channel and sends [`message::OutgoingMessage`]s to
//! another. The transport may lose, duplicate, delay or reorder messages.

pub mod core;
pub mod entry;
pub mod handle;
pub mod machine;
pub mod member;
pub mod message;
pub mod plugin;
mod runner;
pub mod settings;
pub mod storage;
pub mod view;
pub mod watch;

/// Commonly used items of this crate.
pub mod prelude {
    pub use crate::core::ReplicaRole;
    pub use crate::entry::LogIndex;
    pub use crate::entry::Term;
    pub use crate::handle::ChangeError;
    pub use crate::handle::ProposeError;
    pub use crate::handle::QuorumHandle;
    pub use crate::handle::ReadError;
    pub use crate::machine::RestoreError;
    pub use crate::machine::StateMachine;
    pub use crate::member::MemberRole;
    pub use crate::member::MemberSet;
    pub use crate::member::ReplicaId;
    pub use crate::member::ReplicaMember;
    pub use crate::message::OutgoingMessage;
    pub use crate::message::PeerMessage;
    pub use crate::plugin::QuorumPlugin;
    pub use crate::plugin::StartError;
    pub use crate::settings::CheckedSettings;
    pub use crate::settings::QuorumSettings;
    pub use crate::settings::SettingsError;
    pub use crate::storage::init_cluster;
    pub use crate::storage::init_learner;
    pub use crate::storage::FolderIdentity;
    pub use crate::storage::InitError;
    pub use crate::storage::LocalFolder;
    pub use crate::storage::StorageError;
    pub use crate::view::LeadershipView;
    pub use crate::watch::GroupChange;
    pub use crate::watch::GroupWatch;
}
