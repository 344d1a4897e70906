//! Provides the process infrastructure of all daemons: settings, logs, metrics, HTTP servers
//! and shutdown.
//!
//! Settings are flags or environment variables. Each daemon parses them as text and validates
//! them with `TryFrom`. An invalid setting ends the process with status 2 and one line that names
//! the flag, the value and the allowed values. The logs of a daemon go to standard error, in
//! logfmt: one line of key=value pairs per event. A process that logs to standard output calls
//! [`log::init_stdout_logging`] instead. A panic in any thread ends the process ([`mod@panic`]).

pub mod http;
pub mod incarnation;
pub mod log;
pub mod metric;
pub mod panic;
pub mod run;
pub mod setting;
pub mod shutdown;

/// Commonly used items of this crate.
pub mod prelude {
    pub use crate::http::HttpError;
    pub use crate::http::HttpServer;
    pub use crate::incarnation::random_incarnation_id;
    pub use crate::log::init_logging;
    pub use crate::log::init_stdout_logging;
    pub use crate::metric::MetricSink;
    pub use crate::panic::abort_on_panic;
    pub use crate::run::run_daemon;
    pub use crate::setting::parse_checked_setting;
    pub use crate::setting::parse_setting;
    pub use crate::setting::SettingError;
    pub use crate::shutdown::ShutdownSignal;
}
