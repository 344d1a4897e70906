//! Command line client `guavavane` for operators.
//!
//! A command is sent as JSON to the operator listener of an entry, which forwards it to the
//! control leader. If an entry cannot be reached, the client tries the next one on its list. All
//! commands are idempotent, so that retries are safe. The command `check` validates a document
//! without a connection.

pub mod client;
pub mod command;
pub mod options;
pub mod print;

/// Commonly used items of this crate.
pub mod prelude {
    pub use crate::client::OperatorClient;
    pub use crate::command::run_command;
    pub use crate::command::CommandStatus;
    pub use crate::options::operator_options;
    pub use crate::options::OperatorOptions;
}
