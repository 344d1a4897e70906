//! Processes of a cell that runs jobs: control, entry and agent.
//!
//! Each process is one async loop on one thread that owns its state; what it hears comes in
//! through a channel and what it decides goes out as messages. How callers, operators and
//! workers speak is outside: they come in through [`entry::EntryHandle`],
//! [`control::ControlHandle`] and [`agent::AgentHandle`], and workers are called through
//! [`port::WorkerPort`].
//!
//! Between the processes go [`message::ToControl`] and [`message::FromControl`] over streams
//! that the others open to control. Only the leader keeps them; others redirect.

pub mod agent;
pub mod control;
pub mod entry;
pub mod leader_link;
pub mod message;
pub mod metric;
pub mod port;
pub mod timing;

/// Commonly used items of this crate.
pub mod prelude {
    pub use crate::agent::start_agent;
    pub use crate::agent::AgentHandle;
    pub use crate::agent::AgentSettings;
    pub use crate::agent::WorkerNotice;
    pub use crate::control::start_control;
    pub use crate::control::ControlHandle;
    pub use crate::control::ControlSettings;
    pub use crate::control::OperatorReply;
    pub use crate::entry::start_entry;
    pub use crate::entry::EntryHandle;
    pub use crate::entry::EntrySettings;
    pub use crate::message::CallerAction;
    pub use crate::message::CallerReply;
    pub use crate::message::JobState;
    pub use crate::port::AdviceCall;
    pub use crate::port::AdvisedWorker;
    pub use crate::port::HoldAnswer;
    pub use crate::port::HoldReport;
    pub use crate::port::OrderAnswer;
    pub use crate::port::OrderRefusal;
    pub use crate::port::RunRow;
    pub use crate::port::StartOrder;
    pub use crate::port::WorkerPort;
    pub use crate::timing::LeaseTiming;
}
