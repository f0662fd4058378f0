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
mod bootstrap;
mod calls;
mod claim;
mod context;
mod daemon;
mod dispatcher;
mod error;
mod flight;
mod health;
mod job;
mod kv;
mod meter;
mod metrics;
mod orders;
mod peer;
mod perform;
mod plan;
mod prompt;
mod refusal;
mod session;
mod shared;
mod sightings;
mod suspects;
mod tasks;

pub use context::{Backend, Context};
pub use daemon::Daemon;
pub use error::{Error, Result};
