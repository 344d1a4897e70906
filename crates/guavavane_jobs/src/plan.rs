//! Scheduling decisions of the leader and of the agents, as pure functions.
//!
//! The leader runs a scheduling pass ([`pass`]): it orders the waiting steps ([`order`]) by
//! deadlines from estimated run times ([`slack`]) and chooses a worker for each task
//! ([`placement`]) by the capacity of each worker ([`capacity`]). [`advice`] holds the tickets of
//! the external advice service that some queues need.
//!
//! The agent of each worker throttles best-effort tasks that slow down latency-critical ones
//! ([`throttle`]). Leader and agents share the interference model ([`interference`]).

pub mod advice;
pub mod capacity;
pub mod interference;
mod interference_filter;
pub mod order;
pub mod pass;
pub mod placement;
pub mod slack;
pub mod throttle;
