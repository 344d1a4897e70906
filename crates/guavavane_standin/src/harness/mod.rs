//! Starts the daemons as child processes on loopback and ends them.

pub mod address;
pub mod process;
