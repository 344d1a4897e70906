//! Open-loop load generator: sends requests at a fixed rate, independent of earlier outcomes.

pub mod balancer;
pub mod exchange;
pub mod load;
pub mod settings;
