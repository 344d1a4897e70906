//! Scheduling decisions of the leader and of the agents, as pure functions.
//!
//! The leader runs a scheduling pass ([`round`]): it orders the waiting steps ([`order`]) by
//! deadlines from estimated run times ([`slack`]) and chooses a worker for each task
//! ([`place`]) by the capacity of each worker ([`room`]). [`advice`] holds the tickets of the
//! external approval service that some queues need.
//!
//! The agent of each worker throttles best-effort tasks that slow down latency-critical ones
//! ([`pace`]). Leader and agents share the interference model ([`press`]).

pub mod advice;
pub mod order;
pub mod pace;
pub mod place;
pub mod press;
mod press_filter;
pub mod room;
pub mod round;
pub mod slack;
