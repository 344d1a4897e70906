//! Randomised soak test: runs the real processes on loopback while it injects faults.
//!
//! [`programs`] starts and signals the processes, [`worker`] serves simulated workers over HTTP,
//! [`cell`] holds both, and [`connection`] keeps connections to the processes open. [`caller`]
//! submits jobs, queries their states and sends configurations, [`operator`] sends them in quick
//! succession. [`faults`] and [`disk`] inject faults, [`crash`] crashes workers that start again
//! under their name, [`lost_worker`] loses a worker together with its agent and the leader,
//! [`office`] watches which process leads, [`subnet`] keeps soaks apart that run at the same time,
//! [`run`] executes one seed, and [`checks`] checks what callers and workers observed;
//! [`machine_load`] measures how busy the machine was.

pub mod caller;
pub mod cell;
pub mod checks;
pub mod connection;
pub mod crash;
pub mod disk;
pub mod faults;
pub mod lost_worker;
pub mod machine_load;
pub mod office;
pub mod operator;
pub mod programs;
pub mod run;
pub mod subnet;
pub mod worker;
