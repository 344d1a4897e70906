//! Control, entry and agent: the processes of a cell that runs jobs.
//!
//! Each process is one asynchronous loop that owns its state, receives inputs through channels
//! and sends messages. The wire formats of callers, operators and workers are outside this crate:
//! their calls arrive at [`entry::EntryHandle`], [`control::ControlHandle`] and
//! [`agent::AgentHandle`], and agents call workers through [`worker_api::WorkerApi`].
//!
//! Entries and agents open streams to control processes and exchange [`message::ToControl`] and
//! [`message::FromControl`] on them. Only the leader keeps a session; others redirect to it.
//!
//! `guavavane_platform` runs these processes. The crates `guavavane_control`, `guavavane_entry` and
//! `guavavane_agent` are the daemons for documents and services, and `guavavane_placement` is the
//! placement policy of that control daemon. This crate uses none of the four.

pub mod agent;
pub mod command_limit;
pub mod control;
pub mod entry;
pub mod leader_client;
pub mod leader_contact;
pub mod limits_feed;
pub mod message;
pub mod metric;
pub mod seeds;
pub mod timing;
pub mod worker_api;

/// Commonly used items of this crate.
pub mod prelude {
    pub use crate::agent::start_agent;
    pub use crate::agent::AgentHandle;
    pub use crate::agent::AgentSettings;
    pub use crate::agent::WorkerHeartbeat;
    pub use crate::command_limit::CatalogAdmission;
    pub use crate::command_limit::CatalogRefusal;
    pub use crate::command_limit::CommandLimit;
    pub use crate::control::start_control;
    pub use crate::control::ControlHandle;
    pub use crate::control::ControlSettings;
    pub use crate::control::OperatorReply;
    pub use crate::control::UNCOMMITTED_PROPOSALS_MAX;
    pub use crate::entry::start_entry;
    pub use crate::entry::EntryHandle;
    pub use crate::entry::EntryReply;
    pub use crate::entry::EntrySettings;
    pub use crate::message::CallerAction;
    pub use crate::message::CallerReply;
    pub use crate::message::JobState;
    pub use crate::message::RequestLimits;
    pub use crate::timing::LeaseTiming;
    pub use crate::worker_api::AdviceRequest;
    pub use crate::worker_api::AdvisedWorker;
    pub use crate::worker_api::OrderAnswer;
    pub use crate::worker_api::OrderRefusal;
    pub use crate::worker_api::RenewalAnswer;
    pub use crate::worker_api::RenewalReport;
    pub use crate::worker_api::RunStatus;
    pub use crate::worker_api::StartOrder;
    pub use crate::worker_api::WorkerApi;
}
