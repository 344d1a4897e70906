//! Entry daemon: HTTP for callers and operators, routing, retries and claims.
//!
//! The parts are filters joined by flume channels. The [`front`] turns an HTTP request into a
//! [`CallerRequest`](guavavane_routing::request::CallerRequest) and waits for its result. The
//! [`stage`] owns the router, feeds it one input at a time and carries out its outcomes. The
//! [`announcement`] and [`poll`] filters feed it what agents and control say, and the
//! [`claim`] filter carries claims to the control leader.

pub mod announcement;
pub mod claim;
pub mod control;
pub mod directory;
pub mod drain;
pub mod front;
pub mod operator;
pub mod options;
pub mod poll;
pub mod process;
pub mod reply;
pub mod settings;
pub mod stage;

/// Commonly used items of this crate.
pub mod prelude {
    pub use crate::options::entry_options;
    pub use crate::options::RawSettings;
    pub use crate::process::EntryProcess;
    pub use crate::settings::EntrySettings;
}
