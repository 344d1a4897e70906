//! Callers that send requests at a fixed rate, whatever becomes of the earlier ones.

pub mod balancer;
pub mod exchange;
pub mod load;
pub mod settings;
