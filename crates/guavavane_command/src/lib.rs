//! Command line of operators.
//!
//! Commands go as JSON to the operator listener of an entry, which passes them on to the
//! control leader. Several entries may be named: the next one is asked when one cannot be
//! reached. Every command that changes something may be sent again without harm. Whatever is
//! read from a file is checked here first, so that faults show without a connection.

pub mod client;
pub mod command;
pub mod options;
pub mod print;

/// Commonly used items of this crate.
pub mod prelude {
    pub use crate::client::OperatorClient;
    pub use crate::command::run_command;
    pub use crate::command::CommandEnd;
    pub use crate::options::operator_options;
    pub use crate::options::OperatorOptions;
}
