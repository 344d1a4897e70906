//! Defines the messages between agents, entries, control replicas and operators.
//!
//! A request message implements [`call::RemoteCall`], which names its reply type. Every frame
//! carries the protocol version, the cell and the sender's incarnation; the transport refuses a
//! frame of another version or cell.
//!
//! Messages carry durations in milliseconds instead of points in time. A duration counts from an
//! event whose time both sides can bound: a deadline from the arrival of its message, and a lease
//! or a start permit from the sending of the poll.

pub mod agent;
pub mod call;
pub mod claim;
pub mod entry;
pub mod operator;
pub mod poll;
pub mod replica;

/// Commonly used items of this crate.
pub mod prelude {
    pub use crate::agent::*;
    pub use crate::call::*;
    pub use crate::claim::*;
    pub use crate::entry::*;
    pub use crate::operator::*;
    pub use crate::poll::*;
    pub use crate::replica::*;
}
