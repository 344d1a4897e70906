//! Entry daemon: HTTP for callers and operators, routing, retries and claims.
//!
//! The daemon consists of threads connected by channels. A
//! [`CallerProxy`](guavavane_transport::prelude::CallerProxy) accepts the connections of callers
//! and relays them to an HTTP server on loopback, where a [`caller`] thread turns an HTTP request
//! into a [`CallerRequest`](guavavane_routing::request::CallerRequest) and waits for its result.
//! The [`stage`] thread owns the router, passes it one input at a time and carries out its
//! actions. The [`announcement`] thread passes the announcements of agents to the stage. The
//! [`poll`] thread gets the view of control, that is, the documents of the environments and the
//! state of the data centres. The [`claim`] threads send claim calls of the stage to the control
//! leader.

pub mod announcement;
pub mod caller;
pub mod claim;
pub mod control;
pub mod directory;
pub mod drain;
pub mod operator;
pub mod options;
pub mod poll;
pub mod process;
pub mod response;
pub mod settings;
pub mod stage;

/// Commonly used items of this crate.
pub mod prelude {
    pub use crate::options::entry_options;
    pub use crate::options::RawSettings;
    pub use crate::process::EntryProcess;
    pub use crate::settings::EntrySettings;
}
