//! Randomised soak: the real programs as separate processes on loopback, with faults from
//! outside.
//!
//! [`programs`] starts and signals the processes, [`worker`] puts HTTP in front of simulated
//! workers, [`caller`] hands in jobs and asks for their states, and [`run`] mixes faults by a
//! seed and judges by what callers and workers saw.

pub mod caller;
pub mod programs;
pub mod run;
pub mod worker;
