//! Remote procedure calls and message streams between processes, as bincode over HTTP/2.
//!
//! Each call is one HTTP/2 stream and carries one length-checked frame in each direction. The
//! call interface is synchronous and keeps tokio inside this crate: a [`server::CallServer`]
//! queues incoming calls on a flume channel for handler threads, and a [`client::CallClient`]
//! sends a call and waits for its reply until a timeout. The error of a failed call says whether
//! a handler may have received the call: only a call that no handler received is safe to retry
//! and counts as "not run".
//!
//! [`stream`] offers long-lived bidirectional streams with an async interface, for programs that
//! have a tokio runtime of their own. [`intake`] bounds what a process holds for its peers.

pub mod client;
pub mod codec;
pub mod intake;
mod ping;
pub mod proxy;
mod runtime;
pub mod server;
pub mod stream;

/// Commonly used items of this crate.
pub mod prelude {
    pub use crate::client::CallClient;
    pub use crate::client::CallError;
    pub use crate::codec::CodecError;
    pub use crate::codec::FrameIdentity;
    pub use crate::intake::gate::CallCharge;
    pub use crate::intake::gate::ConnectionTicket;
    pub use crate::intake::gate::IntakeEvent;
    pub use crate::intake::gate::IntakeGate;
    pub use crate::intake::limits::IntakeLimits;
    pub use crate::intake::log_limiter::LogLimiter;
    pub use crate::intake::table::ConnectionPhase;
    pub use crate::intake::table::IntakeBound;
    pub use crate::intake::table::IntakeTable;
    pub use crate::proxy::CallerProxy;
    pub use crate::proxy::InFlightRequests;
    pub use crate::proxy::ProxyLimits;
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
