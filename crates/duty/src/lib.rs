//! The planner of a pool: derives orders from the desired resources and the observed demand.
//!
//! Any agent or entry can plan for a pool of targets, by a lease in the log; no VM is dedicated to
//! it. While the planner holds the lease it observes the pool, lets [`Decide`] choose changes of
//! role, compares the desired state with what engines report, appends at most one order for each
//! target, and writes checkpoints.
//!
//! - [`Planner`]: the control loop.
//! - [`reconcile`]: the next order that each engine needs; pure.
//! - [`Decide`]: which engines change role under load.
//! - [`Fleet`]: the planner's view of the pool; [`NetworkFleet`] pings the agents.

mod backoff;
mod decide;
mod dial;
mod fleet;
mod planner;
pub mod reconcile;
mod roles;

pub use decide::{Decide, Roles};
pub use dial::NetworkFleet;
pub use fleet::{Agent, Fleet, LoadReport, Observation};
pub use planner::{Context, Followed, Planner, scope};
