//! The agent: a process next to each target, and the only one that connects to it.
//!
//! Entries send requests to the agent over framed connections. It queues them briefly, dispatches
//! them to the target, streams the answers back and executes the orders in the log.
//!
//! - [`Context`]: the external dependencies of an agent, which tests replace.
//! - [`Daemon`]: the process itself.

mod answer;
mod answers;
mod asks;
mod attempts;
mod bootstrap;
mod claim;
mod context;
mod daemon;
mod dispatcher;
mod entry_statuses;
mod error;
mod flight;
mod health;
mod job;
mod keyed_calls;
mod kv;
mod meter;
mod metrics;
mod orders;
mod peer;
mod plan;
mod prompt;
mod refusal;
mod service_call;
mod session;
mod shared;
mod suspects;
mod tasks;

pub use context::{Backend, Context};
pub use daemon::Daemon;
pub use error::{Error, Result};
