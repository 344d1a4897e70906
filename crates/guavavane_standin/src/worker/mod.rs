//! Stand-in of the platform's worker, with the endpoints that it runs.
//!
//! [`machine::WorkerMachine`] decides without I/O; [`server::WorkerServer`] serves its contract
//! over HTTP, starts endpoints and writes the evidence.

mod core;
mod endpoint;
pub mod machine;
pub mod misbehaviour;
pub mod profile;
pub mod server;
pub mod settings;
mod slots;
