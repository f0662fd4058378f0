//! The planner's duty: turns desired resources and observed demand into orders.
//!
//! Any agent or entry may have it for a pool of targets, by a lease in the log; no VM is set
//! aside for it. While it is held, the planner looks at the pool, has [`Decide`] weigh changes of
//! role, compares what operators want with what engines report, appends at most one order for
//! each target, and writes checkpoints.
//!
//! - [`Planner`]: the loop.
//! - [`reconcile`]: which order each engine needs next; pure.
//! - [`Decide`]: which engines change role under load.
//! - [`Fleet`]: how a planner sees the pool; [`NetworkFleet`] asks the agents.

mod backoff;
mod decide;
mod dial;
mod fleet;
mod planner;
pub mod reconcile;
mod roles;

pub use decide::{Decide, Roles};
pub use dial::NetworkFleet;
pub use fleet::{Agent, Fleet, Observation, Seen};
pub use planner::{Context, Followed, Planner, scope};
