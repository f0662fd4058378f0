//! This entry's view of the targets: which are registered, their connections, load and
//! availability, and single attempts to send to one of them.

pub mod attempt;
pub mod availability;
pub mod engine;
pub mod fleet;
pub mod head_check;
pub mod pace;
pub mod pool;
pub mod target;
pub mod workload;
