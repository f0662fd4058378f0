//! Targets as this entry knows them: their lives, connections and load, what they say of themselves, and one
//! sending to one of them.

pub mod attempt;
pub mod availability;
pub mod engine;
pub mod fleet;
pub mod pool;
pub mod target;
pub mod workload;
