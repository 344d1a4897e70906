//! Starts the daemons as child processes on loopback and ends them.

pub mod address;
pub mod cluster;
pub mod plan;
pub mod process;
