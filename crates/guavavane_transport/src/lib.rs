//! Calls between processes: one h2 stream a call, with length-checked bincode messages.
//!
//! For calls, tokio stays inside this crate; the surface is plain threads and flume channels: a
//! [`server::CallServer`] hands arriving calls to handlers through a channel, a
//! [`client::CallClient`] sends a call and waits for its reply up to a deadline. A failed call
//! says whether the callee may have seen it, since "not run" depends on that. [`stream`] is for
//! programs that run on one tokio thread of their own.

pub mod client;
pub mod codec;
pub mod relay;
mod runtime;
pub mod server;
pub mod stream;

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
    pub use crate::stream::accept_streams;
    pub use crate::stream::open_stream;
    pub use crate::stream::MessageStream;
    pub use crate::stream::StreamReceiver;
    pub use crate::stream::StreamSender;
}
