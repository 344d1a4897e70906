//! What every daemon shares: settings, logs, metrics, HTTP listeners and shutdown.
//!
//! Settings come as flags and environment variables. They are parsed as text, checked by
//! `TryFrom` and refused with one line that names the flag, the value and what is allowed;
//! the exit status is then 2. Logs go to standard error, one line of key=value pairs an event.

pub mod http;
pub mod incarnation;
pub mod log;
pub mod metric;
pub mod run;
pub mod setting;
pub mod shutdown;

/// Commonly used items of this crate.
pub mod prelude {
    pub use crate::http::HttpError;
    pub use crate::http::HttpServer;
    pub use crate::incarnation::draw_incarnation;
    pub use crate::log::start_logs;
    pub use crate::log::start_stdout_logs;
    pub use crate::metric::MetricSink;
    pub use crate::run::run_daemon;
    pub use crate::setting::check_setting;
    pub use crate::setting::parse_setting;
    pub use crate::setting::SettingError;
    pub use crate::shutdown::ShutdownSignal;
}
