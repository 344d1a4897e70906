//! Decisions of the leader and of the agents, as pure functions.
//!
//! [`slack`] answers declared run times that are far off,
//! [`order`] answers more waiting steps than room, [`room`] keeps what is left on each worker,
//! [`place`] picks a worker for a task, [`round`] puts these together, and [`pace`] answers
//! filling tasks that slow down serving ones on one
//! worker, with what [`press`] has learned of their pairs. [`advice`] keeps what another service
//! allows.

pub mod advice;
pub mod order;
pub mod pace;
pub mod place;
pub mod press;
mod press_filter;
pub mod room;
pub mod round;
pub mod slack;
