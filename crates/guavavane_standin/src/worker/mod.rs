//! Test double of the platform's worker and of the service endpoints that the worker runs.
//!
//! [`machine::WorkerMachine`] is the state machine of the worker, free of I/O;
//! [`server::WorkerServer`] serves the worker's contract over HTTP, starts and stops endpoints and
//! writes the evidence file.

mod endpoint;
pub mod fault;
pub mod machine;
pub mod profile;
pub mod server;
pub mod settings;
mod shared_worker;
mod slots;
