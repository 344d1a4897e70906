//! Bounds on what a process holds for peers that it does not control.
//!
//! The load: some hundred connections that each send a request of legal size and stop just short of
//! its end, send it in very small pieces, send far more than a request may have, or send nothing.
//! Without bounds, 200 such connections took a process from 6 MB to 814 MB. The thresholds follow from
//! two needs of other callers: they get connections and memory while that load lasts, and a request of
//! the largest legal size is served when there is no such load.
//!
//! [`limits`] derives the bounds from the memory and the descriptors of the VM. [`table`] is the pure
//! state: it charges bytes as they arrive and chooses the connections to close. [`log_limiter`] bounds
//! the log lines. [`gate`] applies the table to the tasks of a process; all listeners of a process
//! share one gate.

pub mod gate;
pub mod limits;
pub mod log_limiter;
pub mod table;
