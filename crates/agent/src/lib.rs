//! The process beside each target, the only one that talks to it.
//!
//! Entries hand requests to it over framed connections; it queues them briefly, dispatches them
//! to the target, streams the answer back, and carries out the orders in the log.
//!
//! - [`Context`]: what the agent sees of the world, which tests replace.
//! - [`Daemon`]: the process itself.

mod answer;
mod answers;
mod asks;
mod attempts;
mod context;
mod daemon;
mod dispatcher;
mod error;
mod health;
mod job;
mod kv;
mod meter;
mod perform;
mod prompt;
mod refusal;
mod session;
mod shared;
mod sightings;
mod tasks;

pub use context::{Backend, Context};
pub use daemon::Daemon;
pub use error::{Error, Result};
