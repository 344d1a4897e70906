//! Randomised soak test: runs the real processes on loopback while it injects faults.
//!
//! [`programs`] starts and signals the processes, [`worker`] serves simulated workers over HTTP,
//! [`caller`] submits jobs and queries their states, and [`run`] injects faults chosen by a seed
//! and checks what callers and workers observed.

pub mod caller;
pub mod programs;
pub mod run;
pub mod worker;
