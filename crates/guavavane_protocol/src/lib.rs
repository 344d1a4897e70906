//! Messages between the processes of the system.
//!
//! A message that starts a call implements [`call::RemoteCall`], which names its reply. Every
//! frame carries the protocol version, the cell and the sender's incarnation; the transport
//! refuses a frame of another version or cell. Durations travel as milliseconds that count
//! from a moment both sides can bound: a deadline counts from the arrival of the message, a
//! permit from the moment its poll was sent.

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
