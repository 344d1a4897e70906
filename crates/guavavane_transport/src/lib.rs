//! Calls between processes: one h2 stream a call, with length-checked bincode messages.
//!
//! tokio stays inside this crate. Its surface is plain threads and flume channels: a
//! [`server::CallServer`] hands arriving calls to handlers through a channel, a
//! [`client::CallClient`] sends a call and waits for its reply up to a deadline. A failed call
//! says whether the callee may have seen it, since "not run" depends on that.

pub mod client;
pub mod codec;
pub mod relay;
mod runtime;
pub mod server;

/// Commonly used items of this crate.
pub mod prelude {
    pub use crate::client::CallClient;
    pub use crate::client::CallError;
    pub use crate::codec::CodecError;
    pub use crate::codec::FrameIdentity;
    pub use crate::relay::CallerRelay;
    pub use crate::relay::FlightTable;
    pub use crate::relay::RelayLimits;
    pub use crate::server::CallServer;
    pub use crate::server::IncomingCall;
    pub use crate::server::ReplySender;
    pub use crate::server::ServerError;
}
