//! Scheduling decisions of the leader and of the agents, as pure functions.
//!
//! The leader runs a scheduling pass ([`pass`]): it orders the waiting steps ([`order`]) by
//! deadlines from estimated run times ([`slack`]) and chooses a worker for each task
//! (`placement`) by the capacity of each worker ([`capacity`]), which [`capacity_table`] keeps up to
//! date, and by the forecast loads of latency-critical jobs ([`job_loads`]). A worker on which runs keep failing is on probation ([`probation`]). [`obstacle`] tells
//! why a step waits. [`advice`] holds the
//! tickets of the external advice service that some queues need.
//!
//! The agent of each worker throttles best-effort tasks that slow down latency-critical ones
//! ([`throttle`]): a CPU share is the part of its CPU demand that a best-effort run may use.
//! [`slowdown_budget`] computes what they may use from a forecast of the load ([`load_forecast`]),
//! and [`violation_tracker`] how long a target is violated. [`stalled_runs`]
//! decides when the leader moves a run that has stalled. [`share_tracker`]
//! decides when a share is ordered. The leader learns the interference model
//! ([`interference`]) and sends each agent the estimates for the images on its worker.

pub mod advice;
mod candidate_queue;
pub mod capacity;
pub mod capacity_table;
pub mod interference;
mod interference_filter;
pub mod job_loads;
pub mod load_forecast;
pub mod obstacle;
pub mod order;
pub mod pass;
mod placement;
pub mod probation;
mod refused_demand;
pub mod share_tracker;
pub mod slack;
pub mod slowdown_budget;
pub mod stalled_runs;
pub mod throttle;
pub mod violation_tracker;
