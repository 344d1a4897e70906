//! Test harness: runs whole clusters of daemons as child processes on loopback and injects faults.

pub mod address;
pub mod cluster;
pub mod plan;
pub mod process;
