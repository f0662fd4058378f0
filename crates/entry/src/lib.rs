//! The process on each entry VM: callers' HTTP on one side, agents on the other.
//!
//! It holds no state that cannot be rebuilt: the log gives it the configuration, and agents tell
//! their load with every reply.
//!
//! - [`Context`]: what the entry sees of the world, which tests replace.
//! - [`Entry`]: the entry without a socket for callers.
//! - [`Daemon`]: the process itself.

mod attempt;
mod auth;
mod context;
mod daemon;
mod error;
mod peer;
mod peers;
mod problem;
mod router;
mod routes;

pub use context::Context;
pub use daemon::{Daemon, Entry};
pub use error::{Error, Result};
