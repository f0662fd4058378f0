//! The process beside each target, the only one that talks to it.
//!
//! Entries hand requests to it over framed connections; it queues them briefly, dispatches them
//! to the target, streams the answer back, and carries out the orders in the log.
//!
//! - [`Context`]: what the agent sees of the world, which tests replace.
//! - [`Daemon`]: the process itself.

mod context;
mod daemon;
mod error;
mod job;
mod load;
mod session;

pub use context::{Backend, Context};
pub use daemon::Daemon;
pub use error::{Error, Result};
